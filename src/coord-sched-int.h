#ifndef HR_COORD_SCHED_INT_H
#define HR_COORD_SCHED_INT_H

/* Internal to coord-sched: included by the coord-sched*.c files only. */

#include <bsd/sys/queue.h>

#include "coord-admit.h"
#include "coord-budget.h"
#include "coord-conns.h"
#include "coord-eject.h"
#include "coord-latency.h"
#include "coord-sched.h"
#include "coord-select.h"
#include "coord-timers.h"

/* Limit of attempts at one sub-request, over all servers. */
#define HR_SCHED_MAX_ATTEMPTS 8

/* A sub-answer is sent at the latest this long before the deadline of the
 * query, so that it still reaches the entry daemon in time. */
#define HR_SCHED_ANSWER_MARGIN_NS (1 * HR_NS_PER_MS)

/* The server counts the time left until the deadline from the arrival of the
 * request, so it may occupy the slot for this long after the deadline that
 * this daemon uses. */
#define HR_SCHED_SLOT_GRACE_NS (10 * HR_NS_PER_MS)

typedef struct HrSchedAttempt HrSchedAttempt;
typedef struct HrSchedServer HrSchedServer;
typedef struct HrSchedSub HrSchedSub;

/* How an attempt ended without a usable answer. */
typedef enum HrSchedAttemptEnd {
    HR_SCHED_END_DECLINED,     /* the server answered: not started */
    HR_SCHED_END_NO_VERSION,   /* not started: it lacks the version */
    HR_SCHED_END_SHED,         /* not started: the server is overloaded */
    HR_SCHED_END_NOT_SENT,     /* the request never reached the server */
    HR_SCHED_END_MAY_HAVE_RUN, /* sent; whether it ran is not known */
} HrSchedAttemptEnd;

typedef enum HrSchedTimerKind {
    HR_SCHED_TIMER_SUB,
    HR_SCHED_TIMER_ATTEMPT,
    HR_SCHED_TIMER_SERVER,
} HrSchedTimerKind;

/* An action that the caller has not popped yet. It is embedded in the object
 * that it is about, so that queueing it cannot fail for lack of memory. */
typedef struct HrSchedPendingAction {
    STAILQ_ENTRY(HrSchedPendingAction) link;
    HrSchedAction action;
} HrSchedPendingAction;

typedef enum HrSchedSubState {
    HR_SCHED_SUB_QUEUED,  /* waits in coord-admit */
    HR_SCHED_SUB_READY,   /* admitted; waits for a suitable server */
    HR_SCHED_SUB_RUNNING, /* at least one attempt may still be answered */
    HR_SCHED_SUB_DELAYED, /* waits for the delay before its next retry */
    HR_SCHED_SUB_DONE,    /* answered; kept to detect a duplicate request */
} HrSchedSubState;

/* A server that a sub-request was sent to. */
typedef struct HrSchedTriedServer {
    uint64_t server_serial;
    bool no_version; /* it answered that it does not hold the version */
} HrSchedTriedServer;

struct HrSchedSub {
    RB_ENTRY(HrSchedSub) by_key;
    TAILQ_ENTRY(HrSchedSub) in_ready;
    TAILQ_ENTRY(HrSchedSub) in_waiting_hedges;
    SLIST_ENTRY(HrSchedSub) in_to_free;
    LIST_HEAD(HrSchedAttemptList, HrSchedAttempt)
    attempts; /* without the detached ones */
    HrTimer timer;
    HrSchedPendingAction answer;
    HrSubRequest request;
    HrSchedSubState state;
    int64_t admitted_ns;
    int64_t hedge_ns; /* time of the hedge; HR_TIME_NEVER: none is planned */
    int64_t retry_ns; /* time of the retry, in HR_SCHED_SUB_DELAYED */
    HrSchedTriedServer tried[HR_SCHED_MAX_ATTEMPTS];
    uint32_t attempt_count;
    uint32_t live_count; /* attempts that may still be answered */
    uint32_t no_version_count;
    uint32_t not_started_count; /* attempts that certainly did not run */
    HrReason reason;            /* of the last attempt that failed */
    bool is_hedged;
    bool is_waiting_to_hedge; /* in waiting_hedges of HrSched */
    bool needs_token; /* the retry may repeat work, so it costs a token */
    bool has_token;   /* the token for the retry is already taken */
    bool needs_fresh_connection; /* for the retry */
    bool is_blocked;             /* ready, but no free server suits it */
};

struct HrSchedAttempt {
    RB_ENTRY(HrSchedAttempt) by_id;
    LIST_ENTRY(HrSchedAttempt) in_sub;
    SLIST_ENTRY(HrSchedAttempt) in_to_free;
    HrTimer timer; /* frees the slot if it is still held after the deadline */
    HrSchedPendingAction send;
    HrSchedPendingAction cancel;
    uint64_t id;
    HrAttemptKind kind;
    HrSchedServer *server;
    HrSchedSub *sub; /* NULL once the sub-request has its sub-answer */
    int64_t sent_ns;
    int64_t deadline_ns;
    int64_t silent_ns;   /* time from which the connection counts as silent */
    bool is_live;        /* may still be answered; counted in sub */
    bool has_connection; /* occupies a connection */
    bool holds_slot;
    bool cancel_pending; /* the result of the cancel has not arrived */
    bool was_cancelled;
};

struct HrSchedServer {
    RB_ENTRY(HrSchedServer) by_name;
    SLIST_ENTRY(HrSchedServer) in_to_free;
    HrTimer timer;
    HrServerStats stats;
    HrEjectServer eject;
    HrConns conns;
    char *name;
    char *address;
    uint64_t serial; /* unique in this HrSched, also after a removal */
    uint32_t index;  /* in the array of servers */
    bool is_removed; /* not in the group any more */
    bool is_in_name_tree;
    bool is_in_new_set;     /* in the server set that is being applied */
    uint32_t attempt_count; /* attempts that refer to it */
    uint32_t slots;
    uint32_t free_slots;   /* included in the sum in HrSched */
    uint32_t usable_slots; /* included in the sum in HrSched */
    bool is_serving;       /* not leaving; included in the sum in HrSched */
    bool versions_known;
    uint64_t *versions;
    uint32_t version_count;
};

TAILQ_HEAD(HrSchedReadyList, HrSchedSub);
RB_HEAD(HrSchedSubTree, HrSchedSub);
RB_HEAD(HrSchedAttemptTree, HrSchedAttempt);
RB_HEAD(HrSchedServerTree, HrSchedServer);

/* The settings that the scheduler copies from the entry of the pool in the
 * tables. */
typedef struct HrSchedPoolSettings {
    uint64_t revision;
    bool is_known; /* an entry of the pool has been applied */
    uint32_t slots;
    uint32_t connections;
    int64_t connect_ns;
    HrHedgePolicy hedge;
    double hedge_quantile;
    int64_t hedge_delay_ns;
    uint32_t queue_limit;
} HrSchedPoolSettings;

struct HrSched {
    char *pool;
    char *group;
    uint32_t candidates;
    HrCounters *counters;
    HrRng *rng;
    HrSchedRole role;
    HrSchedPoolSettings settings;
    HrAdmit *admit;
    HrBudget budget;
    HrEject eject;
    HrFreeServers free_servers;
    HrLatency latency; /* of all servers */
    HrTimerSet timers;
    STAILQ_HEAD(HrSchedActionList, HrSchedPendingAction) actions;
    /* Answers a request that is declined at once and not stored. */
    HrSchedPendingAction decline_action;
    struct HrSchedSubTree subs;
    struct HrSchedAttemptTree attempts;
    struct HrSchedServerTree by_name;
    HrSchedServer **servers;
    uint32_t server_count;
    struct HrSchedReadyList ready[HR_ADMIT_CLASSES];
    struct HrSchedReadyList waiting_hedges; /* late, so served first */
    uint32_t ready_count;                   /* without the blocked ones */
    uint32_t blocked_count;
    uint32_t pending_count; /* sub-requests without a sub-answer */
    uint32_t attempt_count;
    uint32_t free_slots;    /* of the servers that may get new work */
    uint32_t usable_slots;  /* free or occupied */
    uint32_t serving_count; /* servers that are not leaving */
    uint64_t next_attempt_id;
    uint64_t next_serial;
    int64_t hedge_wait_ns;      /* the hedge quantile of recent latencies */
    int64_t low_budget_wait_ns; /* replaces hedge_wait_ns while the budget is
                                   low */
    uint32_t samples_since_update; /* latencies since the two waits were
                                      computed */
    uint64_t attempts_by_kind[HR_ATTEMPT_RETRY + 1];
    uint64_t sheds;
    /* Removed objects, which are freed once the pending actions, which may
     * refer to them, are popped. */
    SLIST_HEAD(HrSchedSubsToFree, HrSchedSub) subs_to_free;
    SLIST_HEAD(HrSchedAttemptsToFree, HrSchedAttempt) attempts_to_free;
    SLIST_HEAD(HrSchedServersToFree, HrSchedServer) servers_to_free;
};

/* coord-sched.c */

/* Appends an action to those that wait to be popped. */
void HrSched_AppendAction(HrSched *sched, HrSchedPendingAction *pending);

/* Adds a latency to the statistics of a server and of the group. */
void HrSched_RecordLatency(HrSched *sched, HrSchedServer *server,
                           int64_t latency_ns, int64_t now_ns);

void HrSched_IncrementCounter(HrSched *sched, HrCounterId id);

/* coord-sched-sub.c */

/* Queues a new sub-request, or declines it. A duplicate is ignored. Returns 0
 * or HR_ERR_NO_MEMORY, after which it is declined. */
int HrSchedSub_HandleRequest(HrSched *sched, const HrSubRequest *request,
                             int64_t now_ns);

/* Ends a sub-request that the entry daemon withdraws. */
void HrSchedSub_HandleCancel(HrSched *sched, const HrSchedCancel *cancel,
                             int64_t now_ns);

/* Ends a sub-request with the answer of a server, and cancels the other
 * attempts. */
void HrSchedSub_Answer(HrSched *sched, HrSchedSub *sub, const char *server,
                       HrBytes payload, int64_t now_ns);

/* Ends a sub-request without the answer of a server. The outcome is
 * HR_OUTCOME_UNKNOWN if an attempt may have run. */
void HrSchedSub_Fail(HrSched *sched, HrSchedSub *sub, HrReason reason,
                     int64_t now_ns);

/* Appends a sub-request to the list of those that wait for a suitable
 * server. */
void HrSchedSub_MakeReady(HrSched *sched, HrSchedSub *sub);

/* Removes a sub-request from the list of ready ones, if it is there. */
void HrSchedSub_RemoveFromReady(HrSched *sched, HrSchedSub *sub);

/* Removes an answered sub-request; it is freed once the pending actions are
 * popped. */
void HrSchedSub_Remove(HrSched *sched, HrSchedSub *sub);

/* Sets the timer of a sub-request to its next retry, hedge, silence check or
 * deadline, whichever comes first. */
void HrSchedSub_ArmTimer(HrSched *sched, HrSchedSub *sub);

/* Fails every sub-request that has no live attempt. */
void HrSchedSub_FailAllWaiting(HrSched *sched, HrReason reason,
                               int64_t now_ns);

/* Admits and sends waiting sub-requests while there are free slots. */
void HrSchedSub_DispatchWaiting(HrSched *sched, int64_t now_ns);

/* coord-sched-attempt.c */

/* Sends an attempt to a server with a free slot. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrSchedAttempt_Send(HrSched *sched, HrSchedSub *sub, HrSchedServer *server,
                        HrAttemptKind kind, int64_t now_ns);

/* Cancels an attempt. With close_connection its connection counts as silent
 * and is closed. */
void HrSchedAttempt_Cancel(HrSched *sched, HrSchedAttempt *attempt,
                           bool close_connection, int64_t now_ns);

/* Cancels the live attempts of a sub-request and detaches all of them. */
void HrSchedAttempt_DetachAll(HrSched *sched, HrSchedSub *sub, int64_t now_ns);

/* Ends an attempt with the answer of its server. */
void HrSchedAttempt_HandleAnswer(HrSched *sched,
                                 const HrSchedBackendAnswer *answer,
                                 int64_t now_ns);

/* Ends an attempt that failed without a well-formed answer. */
void HrSchedAttempt_HandleFailure(HrSched *sched,
                                  const HrSchedAttemptFailed *failed,
                                  int64_t now_ns);

/* Frees the slot of an attempt if the server confirmed the cancel. */
void HrSchedAttempt_HandleCancelResult(HrSched *sched,
                                       const HrSchedCancelResult *result,
                                       int64_t now_ns);

/* Frees the slot of an attempt whose deadline has passed at the server too. */
void HrSchedAttempt_ExpireSlot(HrSched *sched, HrSchedAttempt *attempt,
                               int64_t now_ns);

/* coord-sched-retry.c */

/* Retries or fails a sub-request after one of its attempts ended without a
 * usable answer. */
void HrSchedRetry_HandleAttemptEnd(HrSched *sched, HrSchedSub *sub,
                                   HrSchedAttemptEnd end, int64_t now_ns);

/* Sends a hedge to a replica that was not tried yet, if the budget allows it
 * and such a replica has a free slot; otherwise tries again later. */
void HrSchedRetry_SendHedge(HrSched *sched, HrSchedSub *sub, int64_t now_ns);

/* Sends the hedges that waited for a slot, as far as slots are free. */
void HrSchedRetry_SendWaitingHedges(HrSched *sched, int64_t now_ns);

/* Removes a sub-request from the list of waiting hedges, if it is there. */
void HrSchedRetry_RemoveWaitingHedge(HrSched *sched, HrSchedSub *sub);

/* Returns when an attempt that is sent now is to be hedged; HR_TIME_NEVER:
 * not at all. */
int64_t HrSchedRetry_ComputeHedgeTime(HrSched *sched, const HrSchedSub *sub,
                                      int64_t now_ns);

/* Handles the expiry of the timer of a sub-request. */
void HrSchedRetry_HandleTimer(HrSched *sched, HrSchedSub *sub, int64_t now_ns);

/* coord-sched-server.c */

/* Applies the settings and the servers of the entry of the pool in the tables;
 * an older revision is ignored. Returns 0 or HR_ERR_NO_MEMORY. */
int HrSchedServer_ApplySet(HrSched *sched, const HrPool *pool, int64_t now_ns);

/* Applies a status report. Returns 0, HR_ERR_NO_MEMORY, or HR_ERR_NOT_FOUND
 * if the group has no such server. */
int HrSchedServer_HandleReport(HrSched *sched,
                               const HrSchedStatusReport *report,
                               int64_t now_ns);

/* Recomputes how many attempts a server may get now. */
void HrSchedServer_UpdateSlots(HrSched *sched, HrSchedServer *server,
                               int64_t now_ns);

/* Recomputes how many attempts each server may get now, as after a change of
 * role. */
void HrSchedServer_UpdateAllSlots(HrSched *sched, int64_t now_ns);

/* Count the attempts that refer to a server. A removed server is freed after
 * the last of them. */
void HrSchedServer_AddReference(HrSchedServer *server);
void HrSchedServer_DropReference(HrSched *sched, HrSchedServer *server);

/* coord-sched-choice.c */

/* Returns the best free server for the next attempt at a sub-request, or
 * NULL. A hedge only goes to a server that was not tried before. */
HrSchedServer *HrSchedChoice_FindServer(HrSched *sched, const HrSchedSub *sub,
                                        bool is_hedge, int64_t now_ns);

/* Returns true if every server that is not leaving answered this sub-request
 * that it does not hold the version. */
bool HrSchedChoice_IsVersionUnavailable(const HrSched *sched,
                                        const HrSchedSub *sub);

#endif
