#include "daemon-http.h"

#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "daemon-metrics.h"
#include "trans-http-server.h"

#define BEARER_PREFIX "Bearer "

/* State of the HTTP task. */
typedef struct HttpTask {
    HrTask *task;
    HrHttpServer *servers[HR_LISTENER_COUNT];
    uint32_t next_query_task;
    bool draining; /* the daemon is shutting down */
    uint32_t reported_open;
    uint8_t token_hash[crypto_generichash_BYTES];
} HttpTask;

/* Answers a request with a text. */
static void
send_text(HttpTask *http, HrListenerId listener, uint64_t number, int status,
          const char *content_type, const char *text)
{
    HrBytes body = {(const uint8_t *)text, strlen(text)};

    HrHttpServer_SendAnswer(http->servers[listener], number, status,
                            content_type, body);
}

/* Forwards a query to a query task, in round-robin order. */
static void
forward_query(HttpTask *http, HrHttpExchange *exchange)
{
    HrDaemon *daemon = http->task->daemon;
    HrMessage *message = HrMessage_Create(HR_MESSAGE_QUERY);
    HrTask *to = daemon->query[http->next_query_task];

    http->next_query_task = (http->next_query_task + 1) % daemon->query_count;
    if (message == NULL) {
        send_text(http, HR_LISTENER_CALLER, HrHttpExchange_GetNumber(exchange),
                  503, "application/json",
                  "{\"status\":\"refused\",\"not_run\":true}\n");
        return;
    }
    message->u.query.number = HrHttpExchange_GetNumber(exchange);
    message->u.query.received_ns = HrLoop_NowNs(http->task->loop);
    message->u.query.text =
        HrMessage_CopyBytes(message, HrHttpExchange_GetBody(exchange));
    HrTask_PostMessage(http->task, to, message);
}

/* Forwards a request to the control task. */
static void
forward_request(HttpTask *http, HrListenerId listener,
                HrHttpExchange *exchange)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_HTTP_REQUEST);

    if (message == NULL) {
        send_text(http, listener, HrHttpExchange_GetNumber(exchange), 503,
                  "application/json",
                  "{\"error\":\"out of memory: repeat it later\"}\n");
        return;
    }
    message->u.request.listener = listener;
    message->u.request.number = HrHttpExchange_GetNumber(exchange);
    message->u.request.method =
        HrMessage_CopyText(message, HrHttpExchange_GetMethod(exchange));
    message->u.request.path =
        HrMessage_CopyText(message, HrHttpExchange_GetPath(exchange));
    message->u.request.body =
        HrMessage_CopyBytes(message, HrHttpExchange_GetBody(exchange));
    message->u.request.kind = HrMessage_CopyText(
        message, HrHttpExchange_GetQueryParameter(exchange, "kind"));
    message->u.request.key = HrMessage_CopyText(
        message, HrHttpExchange_GetQueryParameter(exchange, "key"));
    message->u.request.data_centre = HrMessage_CopyText(
        message, HrHttpExchange_GetQueryParameter(exchange, "data_centre"));
    message->u.request.region = HrMessage_CopyText(
        message, HrHttpExchange_GetQueryParameter(exchange, "region"));
    HrTask_PostMessage(http->task, http->task->daemon->control, message);
}

/* Answers GET /metrics. */
static void
send_metrics(HttpTask *http, HrListenerId listener, uint64_t number)
{
    char *text = HrMetrics_Format(NULL, http->task->daemon->counters);

    send_text(http, listener, number, text != NULL ? 200 : 503,
              "text/plain; version=0.0.4", text != NULL ? text : "");
    talloc_free(text);
}

/* Returns true if the request has this method and path. */
static bool
has_method_and_path(const HrHttpExchange *exchange, const char *method,
                    const char *path)
{
    return strcmp(HrHttpExchange_GetMethod(exchange), method) == 0 &&
           strcmp(HrHttpExchange_GetPath(exchange), path) == 0;
}

/* Answers with 404, because the path or method is not served. */
static void
send_not_found(HttpTask *http, HrListenerId listener, uint64_t number)
{
    HrCounters_Add(http->task->daemon->counters, HR_COUNTER_bad_requests, 1);
    send_text(http, listener, number, 404, "application/json",
              "{\"error\":\"this path or method is not served: see "
              "hickoryrouterd(8)\"}\n");
}

/* Handles a request received on the caller listener. */
static void
handle_caller_request(void *arg, HrHttpExchange *exchange)
{
    HttpTask *http = arg;
    uint64_t number = HrHttpExchange_GetNumber(exchange);

    if (has_method_and_path(exchange, "POST", "/v1/query")) {
        forward_query(http, exchange);
    }
    else if (has_method_and_path(exchange, "GET", "/v1/entries") ||
             has_method_and_path(exchange, "GET", "/readyz")) {
        forward_request(http, HR_LISTENER_CALLER, exchange);
    }
    else if (has_method_and_path(exchange, "GET", "/healthz")) {
        send_text(http, HR_LISTENER_CALLER, number, 200, "text/plain", "ok\n");
    }
    else if (has_method_and_path(exchange, "GET", "/metrics")) {
        send_metrics(http, HR_LISTENER_CALLER, number);
    }
    else {
        send_not_found(http, HR_LISTENER_CALLER, number);
    }
}

/* Returns true if the request carries the operator token of the settings.
 * Compares hashes of equal length in constant time. */
static bool
is_authorized(const HttpTask *http, const HrHttpExchange *exchange)
{
    const char *header = HrHttpExchange_GetHeader(exchange, "Authorization");
    uint8_t hash[crypto_generichash_BYTES];

    if (header == NULL ||
        strncmp(header, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0) {
        return false;
    }
    header += strlen(BEARER_PREFIX);
    crypto_generichash(hash, sizeof(hash), (const uint8_t *)header,
                       strlen(header), NULL, 0);
    return sodium_memcmp(hash, http->token_hash, sizeof(hash)) == 0;
}

/* Handles a request received on the operator listener. */
static void
handle_operator_request(void *arg, HrHttpExchange *exchange)
{
    HttpTask *http = arg;

    if (!is_authorized(http, exchange)) {
        HrCounters_Add(http->task->daemon->counters, HR_COUNTER_bad_requests,
                       1);
        send_text(http, HR_LISTENER_OPERATOR,
                  HrHttpExchange_GetNumber(exchange), 401, "application/json",
                  "{\"error\":\"send the header "
                  "Authorization: Bearer TOKEN with the token of the "
                  "daemon's settings\"}\n");
        return;
    }
    forward_request(http, HR_LISTENER_OPERATOR, exchange);
}

/* Reports the number of unanswered caller requests to the control task if it
 * has changed. Does so only while the daemon shuts down. */
static void
report_open_count(HttpTask *http)
{
    uint32_t open =
        HrHttpServer_GetOpenExchangeCount(http->servers[HR_LISTENER_CALLER]);
    HrMessage *message;

    if (!http->draining || open == http->reported_open) {
        return;
    }
    http->reported_open = open;
    message = HrMessage_Create(HR_MESSAGE_OPEN_COUNT);
    if (message != NULL) {
        message->u.open_count.task = http->task;
        message->u.open_count.open = open;
    }
    HrTask_PostMessage(http->task, http->task->daemon->control, message);
}

/* Handles a message from another task. */
static void
handle_message(void *state, HrMessage *message)
{
    HttpTask *http = state;
    int listener;

    switch (message->kind) {
    case HR_MESSAGE_HTTP_ANSWER:
        HrHttpServer_SendAnswer(http->servers[message->u.http.listener],
                                message->u.http.number, message->u.http.status,
                                message->u.http.content_type,
                                message->u.http.body);
        break;
    case HR_MESSAGE_REFUSE_NEW_QUERIES:
        http->draining = true;
        break;
    case HR_MESSAGE_CLOSE_LISTENERS:
        for (listener = 0; listener < HR_LISTENER_COUNT; listener++) {
            HrHttpServer_StopAccepting(http->servers[listener]);
        }
        break;
    default:
        break;
    }
    report_open_count(http);
    talloc_free(message);
}

/* Opens a listener. Returns NULL with err filled in if that fails. */
static HrHttpServer *
open_listener(HttpTask *http, const HrListenerSettings *settings,
              HrHttpExchangeFn *fn, HrError *err)
{
    HrHttpServerConfig config = {
        .listen = settings->listen,
        .max_connections = settings->max_connections,
        .max_header_bytes = settings->max_header_bytes,
        .max_body_bytes = settings->max_body_bytes,
        .request_timeout_ms = settings->request_timeout_ms,
        .counters = http->task->daemon->counters};

    return HrHttpServer_Create(http, http->task->loop, &config, fn, http, err);
}

/* Initializes the HTTP task. */
int
HrHttpTask_Init(HrTask *task, HrError *err)
{
    const HrSettings *settings = task->daemon->settings;
    HttpTask *http = talloc_zero(task, HttpTask);

    if (http == NULL || sodium_init() < 0) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    http->task = task;
    task->state = http;
    task->message_fn = handle_message;
    crypto_generichash(http->token_hash, sizeof(http->token_hash),
                       (const uint8_t *)settings->operator_token,
                       strlen(settings->operator_token), NULL, 0);
    http->servers[HR_LISTENER_CALLER] =
        open_listener(http, &settings->caller, handle_caller_request, err);
    if (http->servers[HR_LISTENER_CALLER] == NULL) {
        return HR_ERR_IO;
    }
    http->servers[HR_LISTENER_OPERATOR] = open_listener(
        http, &settings->operator_listener, handle_operator_request, err);
    return http->servers[HR_LISTENER_OPERATOR] != NULL ? HR_OK : HR_ERR_IO;
}

/* Returns the TCP port that a listener is bound to. */
uint16_t
HrHttpTask_GetPort(const HrTask *task, HrListenerId listener)
{
    return HrHttpServer_GetPort(
        ((const HttpTask *)task->state)->servers[listener]);
}
