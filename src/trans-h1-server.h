#ifndef HR_TRANS_H1_SERVER_H
#define HR_TRANS_H1_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"
#include "proto-headers.h"
#include "trans-h1-body.h"
#include "trans-loop.h"
#include "trans-memory.h"

/* An HTTP/1.1 listener. It passes each request of a caller unchanged to a
 * callback, and reports a caller that disconnects before its request is
 * answered. */
typedef struct HrH1Server HrH1Server;

/* Limits of the size of a request, and of the time that a caller may take. */
typedef struct HrH1Limits {
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    uint32_t header_timeout_ms; /* maximum time from the first byte of a
                                   request to the end of its header lines */
    uint32_t idle_timeout_ms;   /* maximum time without progress between two
                                   requests, while a body is received, and while
                                   an answer is written */
} HrH1Limits;

/* A received request. It is owned by the listener and valid until it is
 * answered or its caller disconnects. */
typedef struct HrH1Call {
    const char *method;
    const char *target; /* path and query as received, not decoded */
    HrHeaders headers;
    HrBytes body;
    int64_t received_ns;    /* when its last byte was parsed (monotonic) */
    int64_t round_trip_ns;  /* round-trip time to the caller; 0 if unknown */
    int64_t retry_after_ns; /* stated when the head is refused; 0: not */
    void *context;          /* for use by the receiver of the request */
} HrH1Call;

/* The answer to a request. */
typedef struct HrH1Answer {
    int status;
    HrBytes head; /* header lines except Content-Length and Connection, which
                     the listener writes */
    HrBytes body;
    bool close; /* close the connection after the answer */
} HrH1Answer;

/* Called with each complete request, which may be answered during the call or
 * later. */
typedef void HrH1CallFn(void *arg, HrH1Call *call);

/* Called when the head of a request with a body is complete, before the body
 * is read. Returns 0 to accept the request, or the status with which it is
 * refused; its connection is closed after that. May set call->retry_after_ns.
 */
typedef int HrH1HeadFn(void *arg, HrH1Call *call);

/* Called when the caller of an unanswered request has disconnected. The
 * request is invalid after the call. */
typedef void HrH1DisconnectFn(void *arg, HrH1Call *call);

/* Creates a listener, as a talloc child of parent. It runs on the thread of
 * the loop, which must outlive it. A connection beyond max_connections takes
 * the place of the one that has been without progress the longest, unless that
 * waits for its answer; if there is none, the new one is closed at once.
 * Returns NULL on failure, with err filled. */
HrH1Server *HrH1Server_Create(const void *parent, HrLoop *loop,
                              const char *listen, uint32_t max_connections,
                              const HrH1Limits *limits, HrH1CallFn *call_fn,
                              HrH1DisconnectFn *disconnect_fn, void *arg,
                              HrError *err);

/* Sets the check of the heads of requests; NULL: none. */
void HrH1Server_SetHeadFn(HrH1Server *server, HrH1HeadFn *head_fn);

/* Has the listener record its memory in a budget, which must outlive it, and
 * refuse requests when the budget is short. Must be called before connections
 * are accepted. Returns 0 or HR_ERR_NO_MEMORY. */
int HrH1Server_SetMemory(HrH1Server *server, HrMemory *memory);

/* Changes the limits for what starts after the call: the next request, the
 * next idle time and the next answer of each connection. Larger sizes also
 * apply to requests that are being received, and a longer idle time to
 * connections that are idle or receive a body. */
void HrH1Server_SetLimits(HrH1Server *server, const HrH1Limits *limits);

/* Stops accepting connections, so that new ones wait in the kernel, or starts
 * accepting them again. */
void HrH1Server_SetPaused(HrH1Server *server, bool paused);

/* From now on, closes each connection after its next answer, or after the last
 * one of the requests that were received together. */
void HrH1Server_Drain(HrH1Server *server);

/* Closes the listening socket, after accepting the connections that wait. Open
 * connections can still be used. */
void HrH1Server_StopListening(HrH1Server *server);

/* Closes the listening socket, and the connections without a request after
 * reading what they have received. May be called again for connections that
 * became idle since. */
void HrH1Server_Close(HrH1Server *server);

/* Returns the number of requests that have been received in part. */
uint32_t HrH1Server_CountIncomingRequests(const HrH1Server *server);

/* Returns the number of requests that were received and not answered
 * completely yet. */
uint32_t HrH1Server_GetOpenCallCount(const HrH1Server *server);

/* Returns the port that the listener is bound to. */
uint16_t HrH1Server_GetPort(const HrH1Server *server);

/* Returns the body of a request for sharing; the caller has to release it.
 * call->body stays valid as long as a reference is held. Returns NULL if
 * memory runs out; the body is as before then. */
HrH1Body *HrH1Call_ShareBody(HrH1Call *call);

/* Answers a request, which is invalid afterwards. The answer is copied. */
void HrH1Call_Answer(HrH1Call *call, const HrH1Answer *answer);

#endif
