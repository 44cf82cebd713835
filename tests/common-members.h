#ifndef HR_TESTS_COMMON_MEMBERS_H
#define HR_TESTS_COMMON_MEMBERS_H

/* The membership modules of a few daemons, each on its VM, with a platform
 * whose VM list lags. A daemon that starts again on a VM has a new id and the
 * same address. */

#include "common-fleet.h"
#include "coord-member.h"

#define HR_MEMBERS_MAX 8

typedef struct HrMembers HrMembers;

/* Creates daemons that know each other's addresses from their settings. */
HrMembers *HrMembers_Create(const void *parent, uint64_t seed,
                            uint32_t daemon_count);

/* The same; naive: a member that misses one probe is dead at once, without
 * indirect probes and without a suspicion that it could refute. */
HrMembers *HrMembers_CreateNaive(const void *parent, uint64_t seed,
                                 uint32_t daemon_count, bool naive);

/* Returns the fleet that drives the daemons. */
HrFleet *HrMembers_Fleet(HrMembers *members);

/* Returns a daemon's module; NULL while it is down. */
HrMembership *HrMembers_Module(HrMembers *members, uint32_t daemon);

/* Returns a daemon's present id; 0 while it is down. */
uint64_t HrMembers_Id(const HrMembers *members, uint32_t daemon);

/* Stops a daemon; its memory is lost. */
void HrMembers_Crash(HrMembers *members, uint32_t daemon);

/* Starts a daemon on its VM with a new id. */
void HrMembers_Restart(HrMembers *members, uint32_t daemon);

/* Begins a graceful shutdown; the daemon stops after some seconds. */
void HrMembers_Leave(HrMembers *members, uint32_t daemon);

/* Lets the platform mark a VM as leaving. The daemon stops some seconds after
 * it has learned of it; a restart clears the mark. */
void HrMembers_TakeAway(HrMembers *members, uint32_t daemon);

/* Takes a new snapshot of the platform's list and gives each daemon an older
 * or the newest one. */
void HrMembers_PublishVms(HrMembers *members);

/* Returns the state in which a daemon sees another one; DEAD when it is not
 * in its view. */
HrMemberState HrMembers_Sees(HrMembers *members, uint32_t daemon,
                             uint32_t other);

/* Returns true if every daemon that is up sees exactly those that are up, as
 * alive or leaving. */
bool HrMembers_Converged(HrMembers *members);

/* Returns false if a daemon was told to leave although the platform does not
 * take its VM away. */
bool HrMembers_Ok(const HrMembers *members);

/* Returns the number of messages sent since the start. */
uint64_t HrMembers_Messages(const HrMembers *members);

#endif
