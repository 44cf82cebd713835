#ifndef HR_TESTS_COMMON_MEMBERS_H
#define HR_TESTS_COMMON_MEMBERS_H

/* Simulates the membership modules of a few daemons, each on its own VM, and a
 * platform whose VM list lags. A daemon that is restarted on its VM has a new
 * id and the same address. */

#include "common-fleet.h"
#include "coord-member.h"

#define HR_MEMBERS_MAX 8

typedef struct HrMembers HrMembers;

/* Creates daemons that know each other's addresses from their settings. */
HrMembers *HrMembers_Create(const void *parent, uint64_t seed,
                            uint32_t daemon_count);

/* The same. If naive is set, a member that misses one probe is declared dead
 * at once: there are no indirect probes and no suspicion to refute. */
HrMembers *HrMembers_CreateNaive(const void *parent, uint64_t seed,
                                 uint32_t daemon_count, bool naive);

/* Returns the simulated network and clock that drive the daemons. */
HrFleet *HrMembers_GetFleet(HrMembers *members);

/* Returns a daemon's module; NULL while it is down. */
HrMembership *HrMembers_GetModule(HrMembers *members, uint32_t daemon);

/* Returns a daemon's current id; 0 while it is down. */
uint64_t HrMembers_GetId(const HrMembers *members, uint32_t daemon);

/* Stops a daemon; its memory is lost. */
void HrMembers_Crash(HrMembers *members, uint32_t daemon);

/* Starts a daemon on its VM with a new id. */
void HrMembers_Restart(HrMembers *members, uint32_t daemon);

/* Begins a graceful shutdown; the daemon stops 8 s later. */
void HrMembers_Leave(HrMembers *members, uint32_t daemon);

/* Lets the platform mark a VM as leaving. The daemon stops 8 s after it has
 * learned of the mark; a restart clears it. */
void HrMembers_MarkVmLeaving(HrMembers *members, uint32_t daemon);

/* Takes a new snapshot of the platform's VM list and sends each daemon a
 * random one of the latest four. */
void HrMembers_PublishVmList(HrMembers *members);

/* Returns the state of another daemon in a daemon's view; DEAD when it is not
 * in the view. */
HrMemberState HrMembers_GetSeenState(HrMembers *members, uint32_t daemon,
                                     uint32_t other);

/* Returns true if the view of every daemon that is up has exactly the daemons
 * that are up, each as alive or leaving. */
bool HrMembers_HasConverged(HrMembers *members);

/* Returns false if a module asked its daemon to leave although the platform
 * had not marked its VM as leaving. */
bool HrMembers_HasOnlyValidLeaves(const HrMembers *members);

/* Returns the number of messages sent since the start. */
uint64_t HrMembers_GetMessageCount(const HrMembers *members);

#endif
