#ifndef HR_TRANS_HTTP_SERVER_H
#define HR_TRANS_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-counter.h"
#include "coord-types.h"
#include "trans-loop.h"

/* An HTTP listener whose requests are answered later, by number. */
typedef struct HrHttpServer HrHttpServer;

typedef struct HrHttpServerConfig {
    const char *listen; /* numeric IP address and port; port 0: any */
    uint32_t max_connections;
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    /* Time from the accept, or from the end of the last answer, to the end of
     * the next request. A connection that exceeds it is closed. */
    uint32_t request_timeout_ms;
    HrCounters *counters; /* may be NULL */
} HrHttpServerConfig;

/* A received request; valid during the callback. */
typedef struct HrHttpExchange HrHttpExchange;

/* Receives a complete request. The connection is suspended until
 * HrHttpServer_Answer is called with the exchange's number, during the
 * callback or later. */
typedef void HrHttpServerFn(void *arg, HrHttpExchange *exchange);

/* Starts a listener on the loop's thread; the loop must outlive it. Freeing
 * it answers open requests with 503. Returns NULL on failure, with err
 * filled. */
HrHttpServer *HrHttpServer_Create(const void *parent, HrLoop *loop,
                                  const HrHttpServerConfig *config,
                                  HrHttpServerFn *fn, void *arg, HrError *err);

/* Returns the port that the listener is bound to. */
uint16_t HrHttpServer_Port(const HrHttpServer *server);

/* Stops accepting connections; open ones go on. */
void HrHttpServer_StopAccepting(HrHttpServer *server);

/* Returns the number of requests without an answer. */
uint32_t HrHttpServer_OpenCount(const HrHttpServer *server);

/* Answers a request; the body is copied. Returns HR_ERR_NOT_FOUND when the
 * number names no open request. */
int HrHttpServer_Answer(HrHttpServer *server, uint64_t number, int status,
                        const char *content_type, HrBytes body);

/* Returns the number that names the request within its listener. */
uint64_t HrHttpExchange_Number(const HrHttpExchange *exchange);

const char *HrHttpExchange_Method(const HrHttpExchange *exchange);
const char *HrHttpExchange_Path(const HrHttpExchange *exchange);
HrBytes HrHttpExchange_Body(const HrHttpExchange *exchange);

/* Returns a header or query parameter, or NULL. */
const char *HrHttpExchange_Header(const HrHttpExchange *exchange,
                                  const char *name);
const char *HrHttpExchange_Query(const HrHttpExchange *exchange,
                                 const char *name);

#endif
