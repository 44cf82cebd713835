#ifndef HR_DAEMON_GATEWAY_REQUEST_INT_H
#define HR_DAEMON_GATEWAY_REQUEST_INT_H

/* Declarations shared by the files that forward callers' requests. */

#include "base-buffer.h"
#include "coord-forward.h"
#include "daemon-gateway-state.h"
#include "platform-http.h"
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
    const HrTenant *tenant;      /* in shared_table; NULL: none */
    HrLimitWaiter limit_waiter;  /* for the limit of the tenant */
    uint32_t priority;  /* of the tenant, otherwise of the route; 0 is the most
                           urgent */
    HrForward *forward; /* state machine of the request; NULL: the request
                           waits for the limit of its tenant */
    HrLoopTimer *timer; /* passes a timer event to forward */
    const char *id;     /* as stated by the caller; "": none */
    bool accepts_encoding; /* the body of the answer may be encoded */
    int64_t deadline_ns;
    int64_t spent_ns;     /* see HrForwardConfig */
    HrH1Body *body;       /* of a large request; NULL: see call->body */
    HrBuffer head;        /* head of the request, the same for all attempts */
    HrBuffer answer_head; /* header lines of the answer to the caller */
    HrTopRecords records; /* merged from the answers of the units */
    HrGatewayAttempt *attempts; /* HR_FORWARD_ATTEMPTS_MAX per unit */
    size_t state_bytes;         /* recorded in the budget of memory */
    const HrH1Result *result;   /* of the attempt whose end is being processed;
                                   NULL: none */
};

/* The decision on the head of a request, before it is forwarded. */
typedef struct HrGatewayAdmission {
    int status;                  /* 0: forward the request; otherwise answer it
                                    with this status */
    int64_t retry_after_ns;      /* 503: when the caller should retry */
    const HrForwardRoute *route; /* NULL: none */
    const HrTenant *tenant;      /* NULL: none, or not known */
    HrCredential credential;     /* if a route was found */
} HrGatewayAdmission;

/* Decides on a request by its request line and header lines; the body need not
 * have been received. The pointers of the result are in the routes in force.
 * Nothing is counted or logged. */
HrGatewayAdmission HrGatewayRequest_CheckHead(HrGateway *gateway,
                                              const HrH1Call *call,
                                              const HrPlatformRequest *parsed);

/* Counts and logs a request that was refused by HrGatewayRequest_CheckHead. */
void HrGatewayLog_RecordRefusedHead(HrGateway *gateway, const HrH1Call *call,
                                    const HrPlatformRequest *parsed,
                                    const HrGatewayAdmission *admission);

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
