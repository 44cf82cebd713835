#ifndef HR_TRANS_HTTP_CLIENT_H
#define HR_TRANS_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coord-types.h"
#include "trans-loop.h"

/* HTTP/1.1 requests to numeric addresses, driven by a loop. */
typedef struct HrHttpClient HrHttpClient;

/* One request that is under way. */
typedef struct HrHttpCall HrHttpCall;

typedef struct HrHttpClientConfig {
    uint32_t connections_per_host; /* further requests wait; 0: no limit */
    uint32_t idle_ms;              /* older idle connections are closed */
    size_t max_answer_bytes;
} HrHttpClientConfig;

/* A request. Everything it points to is copied. */
typedef struct HrHttpRequest {
    const char *method;
    const char *url;
    const char *const *headers; /* "Name: value" */
    uint32_t header_count;
    HrBytes body;
    int64_t timeout_ns;
    int64_t connect_timeout_ns;
    /* A connection of its own. curl silently repeats a request when a reused
     * connection turns out to be dead, so requests that may run only once
     * must set this. */
    bool fresh_connection;
} HrHttpRequest;

/* How a request ended. */
typedef struct HrHttpAnswer {
    int error;          /* HR_OK, or why there is no complete answer */
    int status;         /* HTTP status; 0 without an answer */
    bool maybe_sent;    /* any byte of the request may have been sent */
    bool reused;        /* the connection served an earlier request */
    int64_t connect_ns; /* time to open the connection; 0 if reused */
    HrBytes body;       /* valid during the callback */
    HrHttpCall *call;   /* for HrHttpCall_Header; valid during the callback */
} HrHttpAnswer;

/* Receives the answer; it may start and cancel other calls. */
typedef void HrHttpAnswerFn(void *arg, const HrHttpAnswer *answer);

/* Creates a client; the loop must outlive it. Freeing it cancels its calls
 * without an answer. */
HrHttpClient *HrHttpClient_Create(const void *parent, HrLoop *loop,
                                  const HrHttpClientConfig *config);

/* Changes the number of connections per host; 0: no limit. */
void HrHttpClient_SetConnections(HrHttpClient *client, uint32_t count);

/* Starts a request; fn is called exactly once unless the call is cancelled.
 * Returns NULL when memory runs out. */
HrHttpCall *HrHttpClient_Start(HrHttpClient *client,
                               const HrHttpRequest *request,
                               HrHttpAnswerFn *fn, void *arg);

/* Returns true if any byte of the request may have been sent. */
bool HrHttpCall_MaybeSent(const HrHttpCall *call);

/* Gives a call up. A connection on which it is under way is closed. */
void HrHttpCall_Cancel(HrHttpCall *call);

/* Returns the value of an answer header, or NULL. */
const char *HrHttpCall_Header(HrHttpCall *call, const char *name);

#endif
