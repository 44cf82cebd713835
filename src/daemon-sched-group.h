#ifndef HR_DAEMON_SCHED_GROUP_H
#define HR_DAEMON_SCHED_GROUP_H

/* One shard group of a scheduling task: the state machine, its HTTP attempts,
 * its status polls and its role. Used by daemon-sched-*.c only. */

#include <jansson.h>
#include <uthash.h>

#include "coord-sched.h"
#include "daemon-placement.h"
#include "daemon-task.h"
#include "proto-backend.h"
#include "trans-http-client.h"

typedef struct HrSchedGroup HrSchedGroup;

/* An attempt that has not ended. */
typedef struct HrSchedAttempt {
    UT_hash_handle hh;
    struct HrSchedAttempt *next_failed;
    HrSchedGroup *group;
    uint64_t attempt_id;
    HrHttpCall *call; /* NULL: it has failed already */
    HrAttemptFailure failure;
} HrSchedAttempt;

/* One backend server and its status polls. */
typedef struct HrSchedServer {
    HrSchedGroup *group;
    struct HrSchedServer *next;
    const char *name;
    const char *address;
    bool present; /* in the tables */
    HrLoopTimer *timer;
    HrHttpCall *poll;
    int64_t requested_ns;
    HrBackendStatus *status; /* the last valid one; NULL: none, or too old */
} HrSchedServer;

/* A sub-request whose answer is owed. */
typedef struct HrSchedOwed {
    UT_hash_handle hh;
    struct {
        HrQueryId query;
        uint64_t sub_id;
    } key;
    HrOrigin origin;
} HrSchedOwed;

struct HrSchedGroup {
    UT_hash_handle hh;
    char *key;
    const char *pool;
    const char *name;
    HrTask *task;
    HrSched *sched;
    HrLoopTimer *timer;
    HrHttpClient *client;
    HrSchedAttempt *attempts; /* hash by attempt id */
    HrSchedAttempt *failed;   /* to be reported after the actions */
    HrSchedOwed *owed;        /* hash */
    HrSchedServer *servers;
    HrLoopTimer *report_timer;
    /* Role; see HrSchedGroup_SetRank. */
    int rank;
    uint64_t scheduler_id; /* of rank 0 in the last view; 0: not known */
    uint64_t handover_to;  /* the next scheduler, to be told; 0: none */
    int64_t full_from_ns;  /* when all slots may be used */
    bool placed;           /* in the tables, with this daemon a candidate */
};

/* Creates a group without servers, in role NONE; NULL when memory runs
 * out. */
HrSchedGroup *HrSchedGroup_Create(HrTask *task, const char *pool,
                                  const char *group);

/* Hands one event to the state machine and carries out its actions. */
void HrSchedGroup_Handle(HrSchedGroup *group, HrSchedEvent *event);

/* Takes a sub-request in; its answer goes to origin. */
void HrSchedGroup_Submit(HrSchedGroup *group, const HrOrigin *origin,
                         const HrSubRequest *request);

/* Withdraws a sub-request. */
void HrSchedGroup_Cancel(HrSchedGroup *group, const HrQueryId *query,
                         uint32_t sub_id, HrReason reason);

/* Withdraws every sub-request that came over a link. */
void HrSchedGroup_CancelLink(HrSchedGroup *group, uint64_t link);

/* Puts the pool's row in force. */
void HrSchedGroup_SetPool(HrSchedGroup *group, const HrPool *pool);

/* Returns true if the group can be freed: it has no role and owes nothing. */
bool HrSchedGroup_IsIdle(const HrSchedGroup *group);

/* Sends an answer to whoever asked. */
void HrSchedGroup_PostAnswer(HrTask *task, const HrOrigin *origin,
                             const HrSubAnswer *answer);

/* daemon-sched-http.c */

/* Starts an attempt. A failure to start is put in group->failed. */
void HrSchedGroup_StartAttempt(HrSchedGroup *group,
                               const HrSchedSendAttempt *send);

/* Cancels an attempt. */
void HrSchedGroup_CancelAttempt(HrSchedGroup *group,
                                const HrSchedCancelAttempt *cancel);

/* daemon-sched-poll.c */

/* Makes the polled servers those of the pool's row. */
void HrSchedGroup_SetServers(HrSchedGroup *group, const HrPool *pool);

/* Polls all servers now, or only those without a status. */
void HrSchedGroup_PollSoon(HrSchedGroup *group, bool all);

/* Sends what the servers hold to the pool home, if this daemon schedules the
 * group. */
void HrSchedGroup_Report(HrSchedGroup *group);

/* daemon-sched-role.c */

/* Applies the rank of this daemon (-1: none) in a member view. */
void HrSchedGroup_SetRank(HrSchedGroup *group, const HrPlacedGroup *placed,
                          const HrMemberView *view);

/* Notes that a daemon has handed the group over. */
void HrSchedGroup_HandedOver(HrSchedGroup *group, uint64_t from_id);

/* Tells the next scheduler that this daemon has stopped, once it has. With
 * force it is told although attempts are still running. */
void HrSchedGroup_SendHandover(HrSchedGroup *group, bool force);

/* Raises the role when the waiting time of a new scheduler is over, and
 * returns when that is (HR_TIME_NEVER: no wait). */
int64_t HrSchedGroup_CheckRole(HrSchedGroup *group);

#endif
