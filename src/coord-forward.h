#ifndef HR_COORD_FORWARD_H
#define HR_COORD_FORWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "coord-server-set.h"
#include "state-forward.h"

/* Upper limit of the attempts for one service, whatever the route permits. */
#define HR_FORWARD_ATTEMPTS_MAX 4

/* State machine that forwards one HTTP request to one server, or to one server
 * of each shard. It does no I/O: it takes in events and returns actions. It
 * chooses the servers, decides when to hedge or retry, and when to answer the
 * caller. */
typedef struct HrForward HrForward;

/* Input of one forwarded request. The pointers must outlive the HrForward. */
typedef struct HrForwardConfig {
    const HrForwardRoute *route;
    const HrForwardTable *table;
    HrServerSet *servers;
    HrRng *rng;
    int64_t received_ns;
    int64_t deadline_ns; /* when the caller stops waiting */
    /* Part of the target time that is not available here: the time that had
     * passed before the request was received, and the time that the answer
     * takes to reach the caller. */
    int64_t spent_ns;
    int64_t answer_by_ns; /* when the process stops at the latest; 0: it is not
                             stopping */
    /* Only for a table with tenants: */
    const char *tenant; /* NULL: none */
    uint32_t priority;
    /* Called when HrForward_GetNextTimer has become earlier, because the turn
     * of a unit has come. It must not call functions of the HrForward. */
    void (*wake_fn)(void *arg);
    void *wake_arg;
} HrForwardConfig;

typedef enum HrForwardEventKind {
    HR_FORWARD_EVENT_ATTEMPT_ENDED, /* with or without an answer */
    HR_FORWARD_EVENT_TIMER,         /* the time of HrForward_GetNextTimer */
    HR_FORWARD_EVENT_CALLER_DISCONNECTED,
    HR_FORWARD_EVENT_STOPPING, /* the process stops by answer_by_ns */
} HrForwardEventKind;

typedef struct HrForwardEvent {
    HrForwardEventKind kind;
    int64_t now_ns;
    union {
        struct {
            uint32_t unit;
            uint32_t attempt;
            HrAttemptOutcome reply;
            HrServerSignal signal; /* in the answer; {0}: none */
        } reply;
        int64_t answer_by_ns; /* STOPPING */
    } u;
} HrForwardEvent;

typedef enum HrForwardActionKind {
    HR_FORWARD_ACTION_SEND,    /* send the request to a server */
    HR_FORWARD_ACTION_ABANDON, /* stop waiting for an attempt */
    HR_FORWARD_ACTION_FINISH,  /* answer the caller; always the last action */
} HrForwardActionKind;

/* Why an attempt is made. */
typedef enum HrForwardCause {
    HR_FORWARD_CAUSE_FIRST,
    HR_FORWARD_CAUSE_HEDGE, /* an earlier attempt is slow and still runs */
    HR_FORWARD_CAUSE_RETRY, /* the earlier attempts have failed */
} HrForwardCause;

/* How a request ends, as seen by the caller. */
typedef enum HrForwardEnd {
    HR_FORWARD_END_PASS_ON,             /* pass on the answer of one attempt */
    HR_FORWARD_END_MERGE,               /* merge the received answers */
    HR_FORWARD_END_REFUSE,              /* has not run and will not run */
    HR_FORWARD_END_FAIL,                /* failed; may have run */
    HR_FORWARD_END_TIMEOUT,             /* timed out; may have run */
    HR_FORWARD_END_CALLER_DISCONNECTED, /* no answer is needed */
} HrForwardEnd;

/* Why the request ended that way, for the log. */
typedef enum HrForwardReason {
    HR_FORWARD_REASON_COMPLETE,
    HR_FORWARD_REASON_ENOUGH,    /* the required shards had answered at the
                                    target time */
    HR_FORWARD_REASON_NO_SERVER, /* too many services had no usable server */
    HR_FORWARD_REASON_ATTEMPTS,  /* all permitted attempts failed */
    HR_FORWARD_REASON_BUDGET,    /* the limit of repeats was reached */
    HR_FORWARD_REASON_DEADLINE,
    HR_FORWARD_REASON_CALLER_DISCONNECTED,
    HR_FORWARD_REASON_STOPPING,   /* the process stops before an answer can be
                                     expected */
    HR_FORWARD_REASON_OVERLOADED, /* it would be answered too late, because of
                                     the requests that wait */
} HrForwardReason;

typedef struct HrForwardAction {
    HrForwardActionKind kind;
    uint32_t unit;
    uint32_t attempt;
    union {
        struct {
            HrReplica *replica;
            HrForwardCause cause;
        } send;
        struct {
            bool keep_connection; /* the connection may be reused if the answer
                                     arrives */
        } abandon;
        struct {
            HrForwardEnd end;
            HrForwardReason reason;
            int64_t retry_after_ns; /* REFUSE: how long the caller
                                       should wait before its next try */
        } finish;
    } u;
} HrForwardAction;

/* State of one unit of a request: its sub-request to one service. A request to
 * shards has one unit for each shard, any other request has one unit. */
typedef struct HrForwardUnit {
    HrService *service;
    HrAttempt attempts[HR_FORWARD_ATTEMPTS_MAX];
    /* The servers of the attempts. The pointers may only be compared, because
     * the servers may have been freed. */
    HrReplica *tried[HR_FORWARD_ATTEMPTS_MAX];
    uint32_t attempt_count; /* elements of attempts in use */
    uint32_t sent_count;    /* attempts that may have reached a server */
    uint32_t running_count;
    bool done;
    bool failed;
    bool waiting;       /* for a turn, or all servers are at their
                           connection limit */
    HrTurn turn;        /* at the service; only for a table with tenants */
    HrForward *forward; /* set with the turn */
    bool may_have_run;  /* an ended attempt may have run */
    uint32_t winner;    /* if done: the attempt whose answer is used */
    HrAttemptOutcome failed_outcome; /* of the last failed attempt */
    int64_t next_try_ns;    /* when to try another server, or HR_TIME_NEVER */
    int64_t credit_due_ns;  /* until when a retry waits for a part of the
                               shared slack; 0: none waits */
    HrForwardReason reason; /* if failed */
} HrForwardUnit;

/* Starts a request; pop the first actions afterwards. Returns NULL if there is
 * not enough memory. */
HrForward *HrForward_Create(const void *parent, const HrForwardConfig *config,
                            int64_t now_ns);

/* Processes one event; pop the resulting actions afterwards. Events after the
 * end of the request are ignored. */
void HrForward_HandleEvent(HrForward *forward, const HrForwardEvent *event);

/* Pops the next action. Returns false if there is none. */
bool HrForward_PopAction(HrForward *forward, HrForwardAction *action);

/* Returns when the next timer event is due, or HR_TIME_NEVER. */
int64_t HrForward_GetNextTimer(const HrForward *forward);

uint32_t HrForward_GetUnitCount(const HrForward *forward);
const HrForwardUnit *HrForward_GetUnit(const HrForward *forward,
                                       uint32_t unit);

/* Returns true once the FINISH action has been queued. */
bool HrForward_IsFinished(const HrForward *forward);

/* Returns the median latency of the route's attempts at the start of the
 * request, or 0 if there were too few samples. */
int64_t HrForward_GetMedianLatencyNs(const HrForward *forward);

/* Returns how many hedges and retries of this request were not permitted by
 * the limit of repeats. */
uint32_t HrForward_GetDeniedRepeats(const HrForward *forward);

/* Returns how often units of this request had to wait for a turn at their
 * service. */
uint32_t HrForward_GetWaitCount(const HrForward *forward);

/* Returns the name of a reason for logs. */
const char *HrForwardReason_GetName(HrForwardReason reason);

#endif
