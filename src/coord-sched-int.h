#ifndef HR_COORD_SCHED_INT_H
#define HR_COORD_SCHED_INT_H

/* Shared by the files of coord-sched only. */

#include <bsd/sys/queue.h>

#include "coord-admit.h"
#include "coord-budget.h"
#include "coord-conns.h"
#include "coord-eject.h"
#include "coord-latency.h"
#include "coord-sched.h"
#include "coord-select.h"
#include "coord-timers.h"

/* Attempts at one sub-request, over all servers. */
#define HR_SCHED_MAX_ATTEMPTS 8

/* A sub-answer is given this long before the deadline, so that it still
 * reaches the entry daemon in time. */
#define HR_SCHED_MARGIN_NS (1 * HR_NS_PER_MS)

/* A server that was told a deadline counts it from when the request arrives,
 * so its slot may be busy for this much longer. */
#define HR_SCHED_SLOT_GRACE_NS (10 * HR_NS_PER_MS)

typedef struct HrSchedAttempt HrSchedAttempt;
typedef struct HrSchedServer HrSchedServer;
typedef struct HrSchedSub HrSchedSub;

/* How an attempt ended without an answer. */
typedef enum HrSchedEnd {
    HR_SCHED_END_DECLINED,   /* the server said that it did not start */
    HR_SCHED_END_NO_VERSION, /* the same, as it does not hold the version */
    HR_SCHED_END_SHED,       /* the same, as it is overloaded */
    HR_SCHED_END_NOT_SENT,
    HR_SCHED_END_MAY_HAVE_RUN,
} HrSchedEnd;

typedef enum HrSchedTimerKind {
    HR_SCHED_TIMER_SUB,
    HR_SCHED_TIMER_ATTEMPT,
    HR_SCHED_TIMER_SERVER,
} HrSchedTimerKind;

/* A pending action; embedded, so that no action is lost for want of memory. */
typedef struct HrSchedNode {
    STAILQ_ENTRY(HrSchedNode) link;
    HrSchedAction action;
} HrSchedNode;

typedef enum HrSchedSubState {
    HR_SCHED_SUB_QUEUED,  /* waits in coord-admit */
    HR_SCHED_SUB_READY,   /* admitted; waits for a suitable server */
    HR_SCHED_SUB_RUNNING, /* at least one attempt may still be answered */
    HR_SCHED_SUB_DELAYED, /* waits to be retried */
    HR_SCHED_SUB_DONE,    /* answered; kept to recognize a second copy */
} HrSchedSubState;

/* A server that a sub-request was sent to. */
typedef struct HrSchedTried {
    uint64_t server_serial;
    bool no_version; /* it said so */
} HrSchedTried;

struct HrSchedSub {
    RB_ENTRY(HrSchedSub) by_key;
    TAILQ_ENTRY(HrSchedSub) in_ready;
    TAILQ_ENTRY(HrSchedSub) in_hedges;
    SLIST_ENTRY(HrSchedSub) in_graveyard;
    LIST_HEAD(HrSchedAttemptList, HrSchedAttempt)
    attempts; /* that are not detached */
    HrTimer timer;
    HrSchedNode answer;
    HrSubRequest request;
    HrSchedSubState state;
    int64_t admitted_ns;
    int64_t hedge_ns; /* HR_TIME_NEVER: no hedge is due */
    int64_t retry_ns; /* in HR_SCHED_SUB_DELAYED */
    HrSchedTried tried[HR_SCHED_MAX_ATTEMPTS];
    uint32_t attempt_count;
    uint32_t live; /* attempts that may still be answered */
    uint32_t no_version_count;
    uint32_t not_started_count; /* attempts that ended without a start */
    HrReason reason;            /* of the last attempt that failed */
    bool is_hedged;
    bool awaits_hedge; /* in the list of hedges that wait for a slot */
    bool needs_token;  /* the retry may repeat work */
    bool has_token;    /* and the token for it is taken */
    bool must_open;    /* the retry uses a fresh connection */
    bool is_blocked;   /* no free server suits it */
};

struct HrSchedAttempt {
    RB_ENTRY(HrSchedAttempt) by_id;
    LIST_ENTRY(HrSchedAttempt) in_sub;
    SLIST_ENTRY(HrSchedAttempt) in_graveyard;
    HrTimer timer; /* frees the slot when nothing else did */
    HrSchedNode send;
    HrSchedNode cancel;
    uint64_t id;
    HrAttemptKind kind;
    HrSchedServer *server;
    HrSchedSub *sub; /* NULL once that has its answer */
    int64_t sent_ns;
    int64_t deadline_ns;
    int64_t silent_ns; /* when the connection counts as silent */
    bool is_live;      /* counted in the live attempts of sub */
    bool is_open;      /* occupies a connection */
    bool holds_slot;
    bool cancel_pending; /* a cancel result is awaited */
    bool was_cancelled;
};

struct HrSchedServer {
    RB_ENTRY(HrSchedServer) by_name;
    SLIST_ENTRY(HrSchedServer) in_graveyard;
    HrTimer timer;
    HrServerStats select;
    HrEjectServer eject;
    HrConns conns;
    char *name;
    char *address;
    uint64_t serial; /* of this server in this HrSched */
    uint32_t index;  /* in the array of servers */
    bool is_removed;
    bool is_named;          /* in the tree of names */
    bool is_listed;         /* seen in the server set being applied */
    uint32_t attempt_count; /* attempts that refer to it */
    uint32_t slots;
    uint32_t free_slots;   /* counted in HrSched */
    uint32_t usable_slots; /* counted in HrSched */
    bool is_serving;       /* counted in HrSched */
    bool versions_known;
    uint64_t *versions;
    uint32_t version_count;
};

TAILQ_HEAD(HrSchedReadyList, HrSchedSub);
RB_HEAD(HrSchedSubTree, HrSchedSub);
RB_HEAD(HrSchedAttemptTree, HrSchedAttempt);
RB_HEAD(HrSchedServerTree, HrSchedServer);

/* The parts of the pool's row that the group uses. */
typedef struct HrSchedPolicy {
    uint64_t revision;
    bool is_known;
    uint32_t slots;
    uint32_t connections;
    int64_t connect_ns;
    HrHedge hedge;
    double hedge_quantile;
    int64_t hedge_delay_ns;
    uint32_t queue_limit;
} HrSchedPolicy;

struct HrSched {
    char *pool;
    char *group;
    uint32_t candidates;
    HrCounters *counters;
    HrRng *rng;
    HrSchedRole role;
    HrSchedPolicy policy;
    HrAdmit *admit;
    HrBudget budget;
    HrEject eject;
    HrFreeServers select;
    HrLatency latency; /* of all servers */
    HrTimerSet timers;
    STAILQ_HEAD(HrSchedNodeList, HrSchedNode) actions;
    HrSchedNode refusal; /* of a sub-request that is not held */
    struct HrSchedSubTree subs;
    struct HrSchedAttemptTree attempts;
    struct HrSchedServerTree by_name;
    HrSchedServer **servers;
    uint32_t server_count;
    struct HrSchedReadyList ready[HR_ADMIT_CLASSES];
    struct HrSchedReadyList hedges; /* late already; served first */
    uint32_t ready_count;           /* without the blocked ones */
    uint32_t blocked_count;
    uint32_t open_count;
    uint32_t attempt_count;
    uint32_t free_slots;    /* of the servers that may get new work */
    uint32_t usable_slots;  /* free or occupied */
    uint32_t serving_count; /* servers that are not leaving */
    uint64_t next_attempt_id;
    uint64_t next_serial;
    int64_t hedge_wait_ns;      /* the hedge quantile of recent latencies */
    int64_t hedge_late_wait_ns; /* the one used while the budget is low */
    uint32_t hedge_age;         /* samples since they were computed */
    uint64_t attempts_by_kind[HR_ATTEMPT_RETRY + 1];
    uint64_t sheds;
    /* Freed once the actions that refer to them are popped. */
    SLIST_HEAD(HrSchedDeadSubs, HrSchedSub) dead_subs;
    SLIST_HEAD(HrSchedDeadAttempts, HrSchedAttempt) dead_attempts;
    SLIST_HEAD(HrSchedDeadServers, HrSchedServer) dead_servers;
};

/* coord-sched.c */

/* Appends an action. */
void HrSched_Append(HrSched *sched, HrSchedNode *node);

/* Counts a latency in the digests of a server and of the group. */
void HrSched_RecordLatency(HrSched *sched, HrSchedServer *server,
                           int64_t latency_ns, int64_t now_ns);

/* Raises a counter. */
void HrSched_Count(HrSched *sched, HrCounterId id);

/* coord-sched-sub.c */

/* Handles a new sub-request. */
int HrSchedSub_Arrive(HrSched *sched, const HrSubRequest *request,
                      int64_t now_ns);

/* Handles a withdrawal. */
void HrSchedSub_Cancel(HrSched *sched, const HrSchedCancel *cancel,
                       int64_t now_ns);

/* Gives the answer of a server, and cancels the other attempts. */
void HrSchedSub_Answer(HrSched *sched, HrSchedSub *sub, const char *server,
                       HrBytes payload, int64_t now_ns);

/* Gives up: answers with what the attempts so far allow to say. */
void HrSchedSub_GiveUp(HrSched *sched, HrSchedSub *sub, HrReason reason,
                       int64_t now_ns);

/* Makes the sub-request wait for a suitable server. */
void HrSchedSub_MakeReady(HrSched *sched, HrSchedSub *sub);

/* Takes the sub-request off the list of ready ones, if it is there. */
void HrSchedSub_LeaveReady(HrSched *sched, HrSchedSub *sub);

/* Forgets an answered sub-request once the pending actions are popped. */
void HrSchedSub_Forget(HrSched *sched, HrSchedSub *sub);

/* Sets the timer for whatever comes next. */
void HrSchedSub_Arm(HrSched *sched, HrSchedSub *sub);

/* Gives up every sub-request that waits. */
void HrSchedSub_GiveUpWaiting(HrSched *sched, HrReason reason, int64_t now_ns);

/* Starts what the queue and the free slots allow. */
void HrSchedSub_Pump(HrSched *sched, int64_t now_ns);

/* coord-sched-attempt.c */

/* Sends an attempt to a server with a free slot. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrSchedAttempt_Send(HrSched *sched, HrSchedSub *sub, HrSchedServer *server,
                        HrAttemptKind kind, int64_t now_ns);

/* Cancels an attempt; with close_connection it is given up as silent. */
void HrSchedAttempt_Cancel(HrSched *sched, HrSchedAttempt *attempt,
                           bool close_connection, int64_t now_ns);

/* Cancels every attempt of a sub-request and detaches them. */
void HrSchedAttempt_Detach(HrSched *sched, HrSchedSub *sub, int64_t now_ns);

/* Handles the answer of a server. */
void HrSchedAttempt_Answered(HrSched *sched,
                             const HrSchedBackendAnswer *answer,
                             int64_t now_ns);

/* Handles the failure of an attempt. */
void HrSchedAttempt_Failed(HrSched *sched, const HrSchedAttemptFailed *failed,
                           int64_t now_ns);

/* Handles the result of a cancel. */
void HrSchedAttempt_CancelResult(HrSched *sched,
                                 const HrSchedCancelResult *result,
                                 int64_t now_ns);

/* Frees the slot of an attempt whose deadline has passed at the server. */
void HrSchedAttempt_Expire(HrSched *sched, HrSchedAttempt *attempt,
                           int64_t now_ns);

/* coord-sched-retry.c */

/* Decides what follows an attempt that ended without an answer. */
void HrSchedRetry_AfterEnd(HrSched *sched, HrSchedSub *sub, HrSchedEnd end,
                           int64_t now_ns);

/* Sends a hedge to another replica if budget and servers allow it. */
void HrSchedRetry_Hedge(HrSched *sched, HrSchedSub *sub, int64_t now_ns);

/* Sends the hedges that waited for a slot. */
void HrSchedRetry_DispatchHedges(HrSched *sched, int64_t now_ns);

/* Takes a sub-request out of the hedges that wait, if it is there. */
void HrSchedRetry_ForgetHedge(HrSched *sched, HrSchedSub *sub);

/* Returns when a first attempt that is sent now is to be hedged. */
int64_t HrSchedRetry_HedgeTime(HrSched *sched, const HrSchedSub *sub,
                               int64_t now_ns);

/* Handles the timer of a sub-request. */
void HrSchedRetry_Timer(HrSched *sched, HrSchedSub *sub, int64_t now_ns);

/* coord-sched-server.c */

/* Applies the pool's row. Returns 0 or HR_ERR_NO_MEMORY. */
int HrSchedServer_ApplySet(HrSched *sched, const HrPool *pool, int64_t now_ns);

/* Handles a status report. */
int HrSchedServer_Report(HrSched *sched, const HrSchedStatusReport *report,
                         int64_t now_ns);

/* Recomputes what a server may get now. */
void HrSchedServer_Refresh(HrSched *sched, HrSchedServer *server,
                           int64_t now_ns);

/* Recomputes all servers, as after a change of role. */
void HrSchedServer_RefreshAll(HrSched *sched, int64_t now_ns);

/* Counts one more or one less attempt that refers to a server. */
void HrSchedServer_Hold(HrSchedServer *server);
void HrSchedServer_Drop(HrSched *sched, HrSchedServer *server);

/* coord-sched-choice.c */

/* Returns the best free server for the next attempt at a sub-request, or
 * NULL. A hedge only goes to a server that was not tried before. */
HrSchedServer *HrSchedChoice_Find(HrSched *sched, const HrSchedSub *sub,
                                  bool is_hedge, int64_t now_ns);

/* Returns true if every server that takes new work said that it does not hold
 * the version. */
bool HrSchedChoice_NoneHolds(const HrSched *sched, const HrSchedSub *sub);

#endif
