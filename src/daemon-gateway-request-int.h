#ifndef HR_DAEMON_GATEWAY_REQUEST_INT_H
#define HR_DAEMON_GATEWAY_REQUEST_INT_H

/* What the files of callers' requests share. */

#include "base-buffer.h"
#include "coord-forward.h"
#include "daemon-gateway-state.h"
#include "state-records.h"

typedef struct HrGatewayRequest HrGatewayRequest;

/* One attempt that is under way. */
typedef struct HrGatewayFlight {
    HrGatewayRequest *request;
    uint32_t unit;
    uint32_t attempt;
    HrH1Send *send; /* NULL: none */
    /* For the log: */
    char server[HR_REPLICA_ID_BYTES];
    int64_t started_ns;
    int64_t ended_ns; /* 0: under way, or abandoned */
    HrAttemptOutcome reply;
} HrGatewayFlight;

/* A caller's request. */
struct HrGatewayRequest {
    HrGateway *gateway;
    HrH1Call *call; /* NULL: the caller has left */
    HrTableHold *hold;
    const HrForwardRoute *route;
    HrForward *forward;
    HrLoopTimer *timer;
    const char *id;
    int64_t deadline_ns;
    HrBuffer head;  /* what all attempts share */
    HrBuffer parts; /* header lines of the parts that are in */
    HrRecords records;
    HrGatewayFlight *flights; /* HR_FORWARD_ATTEMPTS_MAX a unit */
    const HrH1Result *result; /* that is being handled */
};

/* Counts an answer or its absence. */
void HrGatewayLog_CountReply(HrCounters *counters, HrAttemptOutcome reply);

/* Counts an attempt, and logs one that repeats work with what decided it. */
void HrGatewayLog_Send(const HrGatewayRequest *request,
                       const HrGatewayFlight *flight, HrForwardCause cause);

/* Logs the end of a request that was not answered in full: what is missing
 * and why. */
void HrGatewayLog_End(const HrGatewayRequest *request,
                      const HrForwardAction *action, int status);

#endif
