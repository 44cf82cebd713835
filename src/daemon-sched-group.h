#ifndef HR_DAEMON_SCHED_GROUP_H
#define HR_DAEMON_SCHED_GROUP_H

/* One shard group of a scheduling task: the state machine, its HTTP attempts,
 * its status polls and its role. Internal to daemon-sched-*.c, except that
 * daemon-report.c reads the groups. */

#include <jansson.h>
#include <uthash.h>

#include "coord-sched.h"
#include "daemon-placement.h"
#include "daemon-task.h"
#include "proto-backend.h"
#include "trans-http-client.h"

typedef struct HrSchedGroup HrSchedGroup;

/* An attempt and its HTTP exchange, until its end is reported to the state
 * machine. */
typedef struct HrHttpAttempt {
    UT_hash_handle hh;
    struct HrHttpAttempt *next_failed;
    HrSchedGroup *group;
    uint64_t attempt_id;
    HrHttpCall *call; /* valid only while the attempt is in group->attempts */
    HrAttemptFailure failure;
} HrHttpAttempt;

/* One backend server and its status polls. */
typedef struct HrPolledServer {
    HrSchedGroup *group;
    struct HrPolledServer *next;
    const char *name;
    const char *address;
    bool in_tables; /* listed in the tables */
    HrLoopTimer *timer;
    HrHttpCall *poll;
    int64_t requested_ns;    /* start of the last poll */
    HrBackendStatus *status; /* the last valid one; NULL: none, or discarded */
} HrPolledServer;

/* A sub-request that has not been answered, and the receiver of its answer. */
typedef struct HrSchedPendingRequest {
    UT_hash_handle hh;
    struct {
        HrQueryId query;
        uint64_t sub_id; /* 64 bits, so that the key has no padding */
    } key;
    HrOrigin origin;
} HrSchedPendingRequest;

struct HrSchedGroup {
    UT_hash_handle hh;
    char *key; /* "POOL\nGROUP" */
    const char *pool;
    const char *name;
    HrTask *task;
    HrSched *sched;
    HrLoopTimer *timer; /* of the state machine and the takeover wait */
    HrHttpClient *client;
    HrHttpAttempt *attempts;        /* hash by attempt id */
    HrHttpAttempt *failed_attempts; /* reported once all actions are popped */
    HrSchedPendingRequest *pending; /* hash by key */
    HrPolledServer *servers;
    HrLoopTimer *report_timer;
    /* Role; set by HrSchedGroup_SetRank. */
    int rank; /* of this daemon among the candidates; 0: scheduler, -1: no
                 candidate */
    uint64_t scheduler_id;   /* daemon with rank 0 in the last member view; 0:
                                unknown */
    uint64_t handover_to_id; /* receiver of a pending handover; 0: none */
    int64_t takeover_end_ns; /* end of the takeover wait; 0: none */
    bool placed;             /* this daemon is a candidate, and the tables
                                list the group */
};

/* Creates a shard group of a pool with HR_SCHED_ROLE_NONE and no servers.
 * Returns NULL when out of memory. */
HrSchedGroup *HrSchedGroup_Create(HrTask *task, const char *pool,
                                  const char *group);

/* Sets the time of an event, passes it to the state machine and performs the
 * actions that follow. */
void HrSchedGroup_HandleEvent(HrSchedGroup *group, HrSchedEvent *event);

/* Adds a sub-request, whose answer is sent to origin. A duplicate of a pending
 * sub-request is ignored. When out of memory, the sub-request is declined with
 * HR_REASON_OVERLOADED. */
void HrSchedGroup_AddRequest(HrSchedGroup *group, const HrOrigin *origin,
                             const HrSubRequest *request);

/* Cancels a sub-request; one that is not pending is ignored. */
void HrSchedGroup_CancelRequest(HrSchedGroup *group, const HrQueryId *query,
                                uint32_t sub_id, HrReason reason);

/* Cancels every sub-request that was received over a peer link. */
void HrSchedGroup_CancelLinkRequests(HrSchedGroup *group, uint64_t link);

/* Applies the entry of the pool in the tables: its servers, and this daemon's
 * share of its connections. */
void HrSchedGroup_SetPool(HrSchedGroup *group, const HrPool *pool);

/* Returns true if the group can be freed: it has no role, no pending
 * sub-request, no open attempt and no handover to send. */
bool HrSchedGroup_IsIdle(const HrSchedGroup *group);

/* Posts a sub-answer to the task that the origin names: the peer task for a
 * request of another daemon, otherwise a query task. */
void HrSchedGroup_PostAnswer(HrTask *task, const HrOrigin *origin,
                             const HrSubAnswer *answer);

/* daemon-sched-http.c */

/* Starts an attempt. One that cannot be started is appended to
 * group->failed_attempts; when out of memory, it is only logged. */
void HrSchedGroup_StartAttempt(HrSchedGroup *group,
                               const HrSchedSendAttempt *send);

/* Sends a cancel request for an attempt to its server. With
 * cancel->close_connection, it also closes the connection and appends the
 * attempt to group->failed_attempts. */
void HrSchedGroup_CancelAttempt(HrSchedGroup *group,
                                const HrSchedCancelAttempt *cancel);

/* daemon-sched-poll.c */

/* Sets the servers to poll to those of this group in the entry of the pool in
 * the tables. */
void HrSchedGroup_SetServers(HrSchedGroup *group, const HrPool *pool);

/* Polls all servers now, or only those without a status. Servers with an open
 * poll are left out. */
void HrSchedGroup_PollServers(HrSchedGroup *group, bool all);

/* Sends the index versions of the servers to the control task, which forwards
 * them to the pool home. Only the scheduling daemon of the group sends
 * them. */
void HrSchedGroup_SendReport(HrSchedGroup *group);

/* daemon-sched-role.c */

/* Sets the role from the rank of this daemon among the candidates of the
 * group. placed is NULL if the tables do not contain the group. */
void HrSchedGroup_SetRank(HrSchedGroup *group, const HrPlacedGroup *placed,
                          const HrMemberView *view);

/* Ends the takeover wait of a new scheduler, because the daemon from_id has
 * handed the group over. Ignored unless this daemon schedules the group. */
void HrSchedGroup_AcceptHandover(HrSchedGroup *group, uint64_t from_id);

/* Sends the pending handover to the next scheduler, if any. Does nothing while
 * attempts are open, unless force is set. */
void HrSchedGroup_SendHandover(HrSchedGroup *group, bool force);

/* Applies HR_SCHED_ROLE_SCHEDULER if the takeover wait is over. Returns the
 * end of the wait, or HR_TIME_NEVER if there is none. */
int64_t HrSchedGroup_UpdateRole(HrSchedGroup *group);

#endif
