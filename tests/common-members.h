#ifndef HR_TESTS_COMMON_MEMBERS_H
#define HR_TESTS_COMMON_MEMBERS_H

/* Simulates the membership modules of a few daemons, each on its own VM, and a
 * platform whose VM list lags. A daemon that is restarted on its VM has a new
 * id and the same address. */

#include "common-fleet.h"
#include "coord-member.h"

#define SIM_MEMBERS_MAX 8

typedef struct SimMembers SimMembers;

/* Creates daemons that have each other's addresses in their settings. */
SimMembers *SimMembers_Create(const void *parent, uint64_t seed,
                              uint32_t daemon_count);

/* Creates daemons as SimMembers_Create() does. If naive is set, a member that
 * does not answer one probe is declared dead at once, without indirect probes
 * or a suspicion to refute. */
SimMembers *SimMembers_CreateVariant(const void *parent, uint64_t seed,
                                     uint32_t daemon_count, bool naive);

/* Returns the simulated clock, network and processes of the daemons. */
HrFleet *SimMembers_GetFleet(SimMembers *sim);

/* Returns a daemon's module; NULL while it is down. */
HrMembership *SimMembers_GetModule(SimMembers *sim, uint32_t daemon);

/* Returns a daemon's current id; 0 while it is down. */
uint64_t SimMembers_GetId(const SimMembers *sim, uint32_t daemon);

/* Stops a daemon at once; its memory is lost. */
void SimMembers_CrashDaemon(SimMembers *sim, uint32_t daemon);

/* Starts a daemon on its VM with a new id. */
void SimMembers_RestartDaemon(SimMembers *sim, uint32_t daemon);

/* Starts a graceful shutdown; the daemon stops 8 s later. */
void SimMembers_ShutDownDaemon(SimMembers *sim, uint32_t daemon);

/* Marks a VM as leaving in the platform. Its daemon stops 8 s after its module
 * has applied the mark; a restart clears the mark. */
void SimMembers_MarkVmLeaving(SimMembers *sim, uint32_t daemon);

/* Takes a new snapshot of the platform's VM list and sends each daemon a
 * random one of the latest four. */
void SimMembers_PublishVmList(SimMembers *sim);

/* Returns the state of another daemon in a daemon's view; DEAD if the view
 * does not have it. */
HrMemberState SimMembers_GetSeenState(SimMembers *sim, uint32_t daemon,
                                      uint32_t other);

/* Returns true if the view of every running daemon has exactly the running
 * daemons, each as alive or leaving. */
bool SimMembers_HasConverged(SimMembers *sim);

/* Returns false if a module has reported that its VM is leaving although the
 * platform had not marked it. */
bool SimMembers_HasOnlyValidLeaves(const SimMembers *sim);

/* Returns the number of messages sent since the start. */
uint64_t SimMembers_GetMessageCount(const SimMembers *sim);

#endif
