#ifndef HR_TRANS_HTTP_CLIENT_H
#define HR_TRANS_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coord-types.h"
#include "trans-loop.h"

/* An HTTP/1.1 client on libcurl for numeric addresses. It runs on the thread
 * of its loop. */
typedef struct HrHttpClient HrHttpClient;

/* A request that was started and whose callback has not returned yet. The
 * client owns it. */
typedef struct HrHttpCall HrHttpCall;

typedef struct HrHttpClientConfig {
    /* Limit of the connections to one address; further requests wait for a
     * connection. 0: no limit. */
    uint32_t connections_per_host;
    /* Connections that are idle for longer are closed and not reused; rounded
     * up to whole seconds. */
    uint32_t idle_ms;
    size_t max_answer_bytes;
} HrHttpClientConfig;

/* A request. Everything that it points to is copied. */
typedef struct HrHttpRequest {
    const char *method;
    const char *url;
    const char *const *headers; /* each "Name: value" */
    uint32_t header_count;
    HrBytes body;
    int64_t timeout_ns;
    int64_t connect_timeout_ns;
    /* Opens a new connection for this request. curl silently repeats a request
     * when a reused connection turns out to be dead, so this must be set for
     * requests that may be executed only once. */
    bool fresh_connection;
} HrHttpRequest;

/* The result of a request. */
typedef struct HrHttpAnswer {
    int error;          /* HR_OK, or why there is no complete answer */
    int status;         /* HTTP status; 0 if no status line was received */
    bool maybe_sent;    /* any byte of the request may have been sent */
    bool reused;        /* the connection carried an earlier request */
    int64_t connect_ns; /* time to open the connection; 0 if reused */
    HrBytes body;       /* valid during the callback */
    HrHttpCall *call; /* for HrHttpCall_GetHeader; valid during the callback */
} HrHttpAnswer;

/* Called with the result of a request; it may start and cancel other calls. */
typedef void HrHttpAnswerFn(void *arg, const HrHttpAnswer *answer);

/* Creates a client, as a talloc child of parent. The loop must outlive it.
 * Freeing it cancels its calls without calling their functions. Returns NULL
 * on failure. */
HrHttpClient *HrHttpClient_Create(const void *parent, HrLoop *loop,
                                  const HrHttpClientConfig *config);

/* Changes the limit of connections per host; 0: no limit. */
void HrHttpClient_SetConnectionLimit(HrHttpClient *client, uint32_t count);

/* Starts a request; fn is called exactly once, and not at all if the call is
 * cancelled. The call is freed after fn returns. Returns NULL if the request
 * cannot be started, for example when memory runs out. */
HrHttpCall *HrHttpClient_StartCall(HrHttpClient *client,
                                   const HrHttpRequest *request,
                                   HrHttpAnswerFn *fn, void *arg);

/* Returns true if any byte of the request may have been sent. */
bool HrHttpCall_MayHaveSentRequest(const HrHttpCall *call);

/* Cancels a call, whose function is then not called. A connection that carries
 * the request is closed. */
void HrHttpCall_Cancel(HrHttpCall *call);

/* Returns the value of a header of the answer, or NULL if it has none. The
 * value is valid during the callback. */
const char *HrHttpCall_GetHeader(HrHttpCall *call, const char *name);

#endif
