#ifndef HR_DAEMON_GATEWAY_REQUEST_INT_H
#define HR_DAEMON_GATEWAY_REQUEST_INT_H

/* Declarations shared by the files that forward callers' requests. */

#include "base-buffer.h"
#include "coord-forward.h"
#include "daemon-gateway-state.h"
#include "state-records.h"

/* One attempt of a unit of a request (see coord-forward.h). */
typedef struct HrGatewayAttempt {
    HrGatewayRequest *request;
    uint32_t unit;
    uint32_t index;       /* among the attempts of the unit */
    HrH1ClientConn *conn; /* NULL: not in progress */
    /* For the log: */
    char server[HR_REPLICA_ID_BYTES]; /* id of the server */
    int64_t started_ns;
    int64_t ended_ns; /* 0: in progress or abandoned */
    HrAttemptOutcome outcome;
} HrGatewayAttempt;

/* A caller's request that is being forwarded. */
struct HrGatewayRequest {
    TAILQ_ENTRY(HrGatewayRequest) entry;
    HrGateway *gateway;
    HrH1Call *call;              /* NULL: the caller disconnected */
    HrSharedTable *shared_table; /* version of the routes that is used until
                                    the request ends */
    const HrForwardRoute *route; /* in shared_table */
    HrForward *forward;          /* state machine of the request */
    HrLoopTimer *timer;          /* passes a timer event to forward */
    const char *id;              /* as stated by the caller; "": none */
    int64_t deadline_ns;
    HrBuffer head;        /* head of the request, the same for all attempts */
    HrBuffer answer_head; /* header lines of the answer to the caller */
    HrTopRecords records; /* merged from the answers of the units */
    HrGatewayAttempt *attempts; /* HR_FORWARD_ATTEMPTS_MAX per unit */
    const HrH1Result *result;   /* of the attempt whose end is being processed;
                                   NULL: none */
};

/* Counts the outcome of an attempt. */
void HrGatewayLog_CountOutcome(HrCounters *counters, HrAttemptOutcome outcome);

/* Counts what a server stated about itself in an answer. */
void HrGatewayLog_CountSignal(HrCounters *counters,
                              const HrServerSignal *signal);

/* Counts an attempt that is being started. Logs a hedge or a retry with its
 * cause. */
void HrGatewayLog_RecordAttempt(const HrGatewayRequest *request,
                                const HrGatewayAttempt *attempt,
                                HrForwardCause cause);

/* Logs a request that failed or got a partial answer, with the units that are
 * missing and why. status is the answer's HTTP status. */
void HrGatewayLog_RecordIncompleteRequest(const HrGatewayRequest *request,
                                          const HrForwardAction *action,
                                          int status);

#endif
