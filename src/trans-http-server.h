#ifndef HR_TRANS_HTTP_SERVER_H
#define HR_TRANS_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-counter.h"
#include "coord-types.h"
#include "trans-loop.h"

/* An HTTP listener on libmicrohttpd. Each request has a number, which
 * HrHttpServer_SendAnswer takes to answer it at once or later. */
typedef struct HrHttpServer HrHttpServer;

typedef struct HrHttpServerConfig {
    const char *listen; /* numeric IP address and port; port 0: a free one */
    uint32_t max_connections;
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    /* Time from the accept, or from the end of the last answer, to the end of
     * the next request. A connection that exceeds it is closed; this is
     * checked every quarter of the time. */
    uint32_t request_timeout_ms;
    HrCounters *counters; /* may be NULL */
} HrHttpServerConfig;

/* A received request and its later answer. The pointer is valid during the
 * callback; afterwards the number identifies the request. */
typedef struct HrHttpExchange HrHttpExchange;

/* Called with each complete request. The connection is suspended until
 * HrHttpServer_SendAnswer is called with the number of the request, during the
 * callback or later. */
typedef void HrHttpExchangeFn(void *arg, HrHttpExchange *exchange);

/* Creates a listener, as a talloc child of parent, and starts it on the loop's
 * thread. The loop must outlive it. Freeing the listener answers its open
 * requests with 503. Returns NULL on failure, with err filled. */
HrHttpServer *HrHttpServer_Create(const void *parent, HrLoop *loop,
                                  const HrHttpServerConfig *config,
                                  HrHttpExchangeFn *fn, void *arg,
                                  HrError *err);

/* Returns the port that the listener is bound to, or 0 on failure. */
uint16_t HrHttpServer_GetPort(const HrHttpServer *server);

/* Closes the listening socket; open connections remain. */
void HrHttpServer_StopAccepting(HrHttpServer *server);

/* Returns the number of requests that are not answered yet. */
uint32_t HrHttpServer_GetOpenExchangeCount(const HrHttpServer *server);

/* Answers a request; the body is copied. Returns HR_OK, HR_ERR_NO_MEMORY (the
 * request remains open), or HR_ERR_NOT_FOUND if no open request has this
 * number. */
int HrHttpServer_SendAnswer(HrHttpServer *server, uint64_t number, int status,
                            const char *content_type, HrBytes body);

/* Returns the number of the request, which is unique within its listener. */
uint64_t HrHttpExchange_GetNumber(const HrHttpExchange *exchange);

/* Return the method, the path without the query part, and the body; valid
 * during the callback. */
const char *HrHttpExchange_GetMethod(const HrHttpExchange *exchange);
const char *HrHttpExchange_GetPath(const HrHttpExchange *exchange);
HrBytes HrHttpExchange_GetBody(const HrHttpExchange *exchange);

/* Returns the value of a header, or of a query parameter, or NULL if the
 * request has none of this name. */
const char *HrHttpExchange_GetHeader(const HrHttpExchange *exchange,
                                     const char *name);
const char *HrHttpExchange_GetQueryParameter(const HrHttpExchange *exchange,
                                             const char *name);

#endif
