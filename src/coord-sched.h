#ifndef HR_COORD_SCHED_H
#define HR_COORD_SCHED_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "base-rng.h"
#include "coord-types.h"
#include "state-tables.h"

/* The scheduler of one shard group. It queues sub-requests, chooses replicas,
 * sends attempts, hedges and retries, and gives exactly one sub-answer to each
 * sub-request that it receives. It does no I/O: the caller passes in events
 * and carries out the actions that follow.
 *
 * Memory: an event, with all that it points to, must stay valid until the
 * actions that it caused are popped. What an action points to stays valid
 * until the next HrSched_HandleEvent. The caller must pop every action before
 * it passes in the next event.
 *
 * Attempts: the caller must end each HR_SCHED_SEND_ATTEMPT with exactly one
 * HR_SCHED_BACKEND_ANSWER or HR_SCHED_ATTEMPT_FAILED, even after a
 * HR_SCHED_CANCEL_ATTEMPT. Each HR_SCHED_CANCEL_ATTEMPT also needs exactly one
 * HR_SCHED_CANCEL_RESULT.
 *
 * Timers: after a pause of the VM, the caller must pass in the answers that
 * have arrived before it passes in the timer event; otherwise they count as
 * late.
 *
 * Connections: each attempt occupies one connection. The scheduler leaves one
 * connection of the daemon's share to the daemon, for cancels and status
 * polls. */
typedef struct HrSched HrSched;

/* Settings that do not change while the scheduler exists. */
typedef struct HrSchedConfig {
    const char *pool;
    const char *group;
    uint32_t candidates;  /* HR_OWNER_CANDIDATES: the daemons that may schedule
                             the group; they share the connection caps */
    HrCounters *counters; /* may be NULL */
} HrSchedConfig;

typedef enum HrSchedEventKind {
    HR_SCHED_SUB_REQUEST,
    HR_SCHED_CANCEL,
    HR_SCHED_BACKEND_ANSWER,
    HR_SCHED_ATTEMPT_FAILED,
    HR_SCHED_CANCEL_RESULT,
    HR_SCHED_STATUS_REPORT,
    HR_SCHED_SERVER_SET,
    HR_SCHED_ROLE,
    HR_SCHED_TIMER,
} HrSchedEventKind;

/* What a server answered to one attempt. */
typedef enum HrBackendOutcome {
    HR_BACKEND_ANSWERED,
    HR_BACKEND_DECLINED,   /* not started */
    HR_BACKEND_NO_VERSION, /* not started: the server lacks the version */
    HR_BACKEND_SHED,       /* not started: the server is overloaded */
} HrBackendOutcome;

/* Load that a server reports: the requests of all daemons. */
typedef struct HrServerLoad {
    uint32_t running;
    uint32_t queued;
} HrServerLoad;

/* A well-formed answer of a server. The query, version and shard are those
 * that the server repeated in its answer. */
typedef struct HrSchedBackendAnswer {
    uint64_t attempt_id;
    HrQueryId query;
    uint64_t version;
    const char *shard;
    HrBackendOutcome outcome;
    HrBytes payload;
    bool draining; /* the server takes no new work */
    uint64_t start_id;
    HrServerLoad load;
} HrSchedBackendAnswer;

/* How an attempt ended without a well-formed answer. */
typedef enum HrAttemptFailure {
    HR_ATTEMPT_NOT_SENT,     /* no byte of the request left this VM */
    HR_ATTEMPT_REFUSED,      /* the server closed the connection right after
                                it accepted it, before the request was sent:
                                it has reached its connection cap */
    HR_ATTEMPT_LOST,         /* sent in part or whole, then the connection
                                failed or the attempt deadline passed */
    HR_ATTEMPT_BAD_ANSWER,   /* sent; malformed or mismatched answer */
    HR_ATTEMPT_SERVER_ERROR, /* sent; answered by a status code that does not
                                show whether the request ran */
} HrAttemptFailure;

typedef struct HrSchedAttemptFailed {
    uint64_t attempt_id;
    HrAttemptFailure failure;
} HrSchedAttemptFailed;

/* The result of a HR_SCHED_CANCEL_ATTEMPT. */
typedef struct HrSchedCancelResult {
    uint64_t attempt_id;
    bool confirmed; /* by the server: it no longer runs the attempt */
} HrSchedCancelResult;

typedef enum HrServerState {
    HR_SERVER_READY,
    HR_SERVER_COLD,
    HR_SERVER_DRAINING,
} HrServerState;

/* A server's answer to a status poll, or the failure of the poll. */
typedef struct HrSchedStatusReport {
    const char *server;   /* name */
    bool failed;          /* no valid answer; start_id and the fields after it
                             are not set */
    int64_t requested_ns; /* when the poll was sent; orders the reports */
    uint64_t start_id;
    HrServerState state;
    HrServerLoad load;
    uint32_t slots;
    uint32_t connections;
    const uint64_t *versions;
    uint32_t version_count;
} HrSchedStatusReport;

typedef enum HrSchedRoleKind {
    HR_SCHED_ROLE_NONE,      /* new and queued sub-requests are declined */
    HR_SCHED_ROLE_CANDIDATE, /* another daemon may be sending attempts for the
                                group; this one may use only slot_share slots
                                of each server */
    HR_SCHED_ROLE_SCHEDULER, /* may use all slots of the servers */
} HrSchedRoleKind;

typedef struct HrSchedRole {
    HrSchedRoleKind kind;
    uint32_t slot_share; /* only for HR_SCHED_ROLE_CANDIDATE; 0 means
                            max(1, floor(slots / candidates)) */
} HrSchedRole;

/* Cancels a sub-request, which gets its sub-answer at once. */
typedef struct HrSchedCancel {
    HrQueryId query;
    uint32_t sub_id;
    HrReason reason; /* HR_REASON_CANCELLED or HR_REASON_NOT_NEEDED */
} HrSchedCancel;

typedef struct HrSchedEvent {
    HrSchedEventKind kind;
    int64_t now_ns;
    union {
        const HrSubRequest *sub_request;
        HrSchedCancel cancel;
        HrSchedBackendAnswer backend_answer;
        HrSchedAttemptFailed attempt_failed;
        HrSchedCancelResult cancel_result;
        HrSchedStatusReport status_report;
        const HrPool *server_set; /* an older revision is ignored */
        HrSchedRole role;
    } u;
} HrSchedEvent;

typedef enum HrSchedActionKind {
    HR_SCHED_SEND_ATTEMPT,
    HR_SCHED_CANCEL_ATTEMPT,
    HR_SCHED_SUB_ANSWER,
} HrSchedActionKind;

typedef enum HrAttemptKind {
    HR_ATTEMPT_FIRST,
    HR_ATTEMPT_HEDGE,
    HR_ATTEMPT_RETRY,
} HrAttemptKind;

typedef struct HrSchedSendAttempt {
    uint64_t attempt_id; /* unique for all attempts of this HrSched */
    const char *server;
    const char *address;
    const HrSubRequest *request;
    int64_t deadline_ns; /* of the attempt: the query's, less a margin */
    HrAttemptKind kind;
    bool fresh_connection; /* open a new one; do not use an idle one */
    bool close_idle;       /* close the idle connections to the server first:
                              they may be dead, or exceed the share */
} HrSchedSendAttempt;

typedef struct HrSchedCancelAttempt {
    uint64_t attempt_id;
    HrQueryId query;
    const char *server;
    const char *address;
    bool close_connection; /* the connection counts as silent: close it, and
                              report HR_ATTEMPT_LOST for the attempt */
} HrSchedCancelAttempt;

typedef struct HrSchedAction {
    HrSchedActionKind kind;
    union {
        HrSchedSendAttempt send_attempt;
        HrSchedCancelAttempt cancel_attempt;
        HrSubAnswer sub_answer;
    } u;
} HrSchedAction;

/* Statistics of the group, for the operator listener and for drain. */
typedef struct HrSchedStats {
    uint32_t queued;   /* sub-requests that wait for a slot */
    uint32_t open;     /* sub-requests without a sub-answer */
    uint32_t attempts; /* attempts that still occupy a slot or connection */
    uint32_t slots;    /* of the servers that take new work */
    double budget_tokens;
    uint64_t first_attempts;
    uint64_t hedges;
    uint64_t retries;
    uint64_t sheds; /* HR_BACKEND_SHED and HR_ATTEMPT_REFUSED */
    int64_t p50_ns;
    int64_t p95_ns;
    int64_t p99_ns;
} HrSchedStats;

/* The state of one server, for the operator listener. */
typedef struct HrSchedServerView {
    const char *name;
    const char *address;
    bool leaving;
    bool ejected;
    bool backing_off;
    uint32_t outstanding; /* attempts that occupy a slot */
    uint32_t slot_limit;  /* now; slow start may lower it */
    uint32_t connections; /* open, busy or idle */
    uint32_t connection_limit;
    int64_t p50_ns;
    int64_t p99_ns;
    int64_t report_age_ns; /* HR_TIME_NEVER: no report yet */
} HrSchedServerView;

/* Creates the scheduler of one group, with HR_SCHED_ROLE_NONE and no servers.
 * It is a talloc child of parent and keeps rng and config->counters, which
 * must outlive it. Returns NULL when out of memory. */
HrSched *HrSched_Create(const void *parent, const HrSchedConfig *config,
                        HrRng *rng);

/* Handles one event. Returns 0; HR_ERR_NO_MEMORY, in which case a sub-request
 * that cannot be stored is answered as declined; or HR_ERR_NOT_FOUND for a
 * status report of a server that is not in the group. */
int HrSched_HandleEvent(HrSched *sched, const HrSchedEvent *event);

/* Pops the next action; returns false when there is none. */
bool HrSched_PopAction(HrSched *sched, HrSchedAction *action);

/* Returns when the next HR_SCHED_TIMER event is needed; HR_TIME_NEVER: not at
 * all. The time may change with every event. */
int64_t HrSched_GetNextTimer(const HrSched *sched);

/* Fills in the statistics of the group. */
void HrSched_GetStats(const HrSched *sched, HrSchedStats *stats);

/* Returns the number of servers of the group; HrSched_GetServer takes an index
 * below it. */
uint32_t HrSched_GetServerCount(const HrSched *sched);

/* Fills in the state of one server. The strings stay valid until the next
 * event. */
void HrSched_GetServer(const HrSched *sched, uint32_t index, int64_t now_ns,
                       HrSchedServerView *view);

#endif
