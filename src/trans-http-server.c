#include "trans-http-server.h"

#include <bsd/sys/queue.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <uthash.h>

#include "state-address.h"

/* The connections are checked for overdue requests this many times within the
 * request timeout. */
#define SCANS_PER_TIMEOUT 4

/* An accepted connection. */
typedef struct Connection {
    TAILQ_ENTRY(Connection) entry;
    int fd;
    int64_t waiting_since_ns; /* since when a request is awaited; HR_TIME_NEVER
                                 while one is open or after the shutdown */
} Connection;

struct HrHttpExchange {
    UT_hash_handle hh;
    uint64_t number;
    HrHttpServer *server;
    struct MHD_Connection *mhd;
    Connection *connection;
    const char *method;
    const char *path;
    uint8_t *body;
    size_t body_bytes;
    size_t body_capacity;
    bool too_large;
    bool delivered;
    bool suspended;
    struct MHD_Response *response;
    unsigned int status;
};

TAILQ_HEAD(ConnectionList, Connection);

struct HrHttpServer {
    HrLoop *loop;
    HrHttpServerConfig config;
    HrHttpExchangeFn *fn;
    void *arg;
    struct MHD_Daemon *mhd;
    HrLoopFd *watch;
    HrLoopTimer *run_timer;
    HrLoopTimer *scan_timer;
    struct ConnectionList connections;
    HrHttpExchange *open_exchanges; /* hash by number */
    uint64_t last_exchange_number;
    MHD_socket listen_fd;
};

/* Runs microhttpd once, which processes its connections, and schedules its
 * next timeout. */
static void
run_microhttpd(void *arg)
{
    HrHttpServer *server = arg;
    MHD_UNSIGNED_LONG_LONG wait_ms;

    MHD_run(server->mhd);
    if (MHD_get_timeout(server->mhd, &wait_ms) == MHD_YES) {
        HrLoop_SetTimer(server->loop, server->run_timer,
                        HrLoop_NowNs(server->loop) +
                            (int64_t)wait_ms * HR_NS_PER_MS);
    }
    else {
        HrLoop_SetTimer(server->loop, server->run_timer, HR_TIME_NEVER);
    }
}

/* Handles events of microhttpd's epoll descriptor. */
static void
handle_epoll_event(void *arg, int fd, uint32_t events)
{
    (void)fd;
    (void)events;
    run_microhttpd(arg);
}

/* Schedules a run of microhttpd as soon as possible. */
static void
schedule_run(HrHttpServer *server)
{
    HrLoop_SetTimer(server->loop, server->run_timer,
                    HrLoop_NowNs(server->loop));
}

/* Closes the connections that take too long to send a request, and counts them
 * as bad requests. The shutdown makes microhttpd read the end of the stream
 * and close its socket. */
static void
close_overdue_connections(void *arg)
{
    HrHttpServer *server = arg;
    int64_t now_ns = HrLoop_NowNs(server->loop);
    int64_t limit_ns =
        (int64_t)server->config.request_timeout_ms * HR_NS_PER_MS;
    Connection *connection;

    for (connection = TAILQ_FIRST(&server->connections); connection != NULL;
         connection = TAILQ_NEXT(connection, entry)) {
        if (connection->waiting_since_ns != HR_TIME_NEVER &&
            now_ns - connection->waiting_since_ns >= limit_ns) {
            connection->waiting_since_ns = HR_TIME_NEVER;
            shutdown(connection->fd, SHUT_RDWR);
            HrCounters_Add(server->config.counters, HR_COUNTER_bad_requests,
                           1);
        }
    }
    HrLoop_SetTimer(server->loop, server->scan_timer,
                    now_ns + limit_ns / SCANS_PER_TIMEOUT);
}

/* Called by microhttpd when a connection is opened or closed; updates the list
 * of connections. */
static void
track_connection(void *arg, struct MHD_Connection *mhd, void **context,
                 enum MHD_ConnectionNotificationCode code)
{
    HrHttpServer *server = arg;
    Connection *connection = *context;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const union MHD_ConnectionInfo *info =
            MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);

        connection = talloc_zero(server, Connection);
        if (connection == NULL) {
            return;
        }
        connection->fd = info->connect_fd;
        connection->waiting_since_ns = HrLoop_NowNs(server->loop);
        TAILQ_INSERT_TAIL(&server->connections, connection, entry);
        *context = connection;
    }
    else if (connection != NULL) {
        TAILQ_REMOVE(&server->connections, connection, entry);
        talloc_free(connection);
        *context = NULL;
    }
}

/* Called by microhttpd when a request has ended, answered or not; frees its
 * exchange, and starts to wait for the next request on the connection. */
static void
free_completed_exchange(void *arg, struct MHD_Connection *mhd, void **context,
                        enum MHD_RequestTerminationCode code)
{
    HrHttpServer *server = arg;
    HrHttpExchange *exchange = *context;

    (void)mhd;
    (void)code;
    if (exchange == NULL) {
        return;
    }
    if (exchange->delivered && exchange->response == NULL) {
        HASH_DELETE(hh, server->open_exchanges, exchange);
    }
    if (exchange->response != NULL) {
        MHD_destroy_response(exchange->response);
    }
    if (exchange->connection != NULL) {
        exchange->connection->waiting_since_ns = HrLoop_NowNs(server->loop);
    }
    talloc_free(exchange);
    *context = NULL;
}

/* Creates the exchange of a request whose header was received. Returns NULL if
 * memory runs out. */
static HrHttpExchange *
create_exchange(HrHttpServer *server, struct MHD_Connection *mhd,
                const char *method, const char *path)
{
    HrHttpExchange *exchange = talloc_zero(server, HrHttpExchange);
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    if (exchange == NULL) {
        return NULL;
    }
    exchange->server = server;
    exchange->mhd = mhd;
    exchange->connection = info->socket_context;
    exchange->number = ++server->last_exchange_number;
    exchange->method = talloc_strdup(exchange, method);
    exchange->path = talloc_strdup(exchange, path);
    if (exchange->method == NULL || exchange->path == NULL) {
        talloc_free(exchange);
        return NULL;
    }
    return exchange;
}

/* Appends a part of the body; a body that exceeds the limit is discarded, and
 * the exchange marked as too large. Returns 0 or HR_ERR_NO_MEMORY. */
static int
append_body(HrHttpExchange *exchange, const char *data, size_t length)
{
    size_t needed = exchange->body_bytes + length, capacity;

    if (needed > exchange->server->config.max_body_bytes) {
        exchange->too_large = true;
        TALLOC_FREE(exchange->body);
        exchange->body_bytes = 0;
    }
    if (exchange->too_large) {
        return HR_OK;
    }
    if (needed > exchange->body_capacity) {
        capacity = exchange->body_capacity * 2;
        capacity = capacity < needed ? needed : capacity;
        exchange->body =
            talloc_realloc(exchange, exchange->body, uint8_t, capacity);
        if (exchange->body == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        exchange->body_capacity = capacity;
    }
    memcpy(exchange->body + exchange->body_bytes, data, length);
    exchange->body_bytes = needed;
    return HR_OK;
}

/* Rejects a request whose body exceeds the limit, and closes its connection.
 */
static enum MHD_Result
reject_large_body(HrHttpExchange *exchange)
{
    static char text[] =
        "{\"error\":\"the body is too large: send a smaller one\"}\n";
    struct MHD_Response *response = MHD_create_response_from_buffer(
        sizeof(text) - 1, text, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result;

    HrCounters_Add(exchange->server->config.counters, HR_COUNTER_bad_requests,
                   1);
    MHD_add_response_header(response, "Connection", "close");
    result = MHD_queue_response(exchange->mhd, MHD_HTTP_CONTENT_TOO_LARGE,
                                response);
    MHD_destroy_response(response);
    return result;
}

/* Passes a complete request to the callback of the listener. Suspends the
 * connection unless the callback answers the request. */
static enum MHD_Result
deliver_exchange(HrHttpExchange *exchange)
{
    HrHttpServer *server = exchange->server;

    if (exchange->connection != NULL) {
        exchange->connection->waiting_since_ns = HR_TIME_NEVER;
    }
    exchange->delivered = true;
    HASH_ADD(hh, server->open_exchanges, number, sizeof(exchange->number),
             exchange);
    server->fn(server->arg, exchange);
    if (exchange->response == NULL) {
        exchange->suspended = true;
        MHD_suspend_connection(exchange->mhd);
        return MHD_YES;
    }
    return MHD_queue_response(exchange->mhd, exchange->status,
                              exchange->response);
}

/* Called by microhttpd: once with the header of a request, then with each part
 * of its body, and again at its end and after the connection is resumed. */
static enum MHD_Result
receive_request(void *arg, struct MHD_Connection *mhd, const char *path,
                const char *method, const char *version, const char *data,
                size_t *length, void **context)
{
    HrHttpServer *server = arg;
    HrHttpExchange *exchange = *context;

    (void)version;
    if (exchange == NULL) {
        *context = create_exchange(server, mhd, method, path);
        return *context != NULL ? MHD_YES : MHD_NO;
    }
    if (*length > 0) {
        int rc = append_body(exchange, data, *length);

        *length = 0;
        return rc == HR_OK ? MHD_YES : MHD_NO;
    }
    if (exchange->too_large) {
        return reject_large_body(exchange);
    }
    if (exchange->response != NULL) {
        return MHD_queue_response(mhd, exchange->status, exchange->response);
    }
    return deliver_exchange(exchange);
}

/* Answers a request; the body is copied. */
int
HrHttpServer_SendAnswer(HrHttpServer *server, uint64_t number, int status,
                        const char *content_type, HrBytes body)
{
    HrHttpExchange *exchange = NULL;

    HASH_FIND(hh, server->open_exchanges, &number, sizeof(number), exchange);
    if (exchange == NULL) {
        return HR_ERR_NOT_FOUND;
    }
    exchange->response = MHD_create_response_from_buffer(
        body.length_bytes, (void *)body.data, MHD_RESPMEM_MUST_COPY);
    if (exchange->response == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    HASH_DELETE(hh, server->open_exchanges, exchange);
    exchange->status = (unsigned int)status;
    MHD_add_response_header(exchange->response, "Content-Type", content_type);
    if (exchange->suspended) {
        exchange->suspended = false;
        MHD_resume_connection(exchange->mhd);
        schedule_run(server);
    }
    return HR_OK;
}

/* Answers the open requests of a listener that is being freed with 503, and
 * stops it. */
static int
destroy_server(HrHttpServer *server)
{
    static const char text[] =
        "{\"error\":\"the daemon is stopping: use another one\"}\n";
    HrBytes body = {(const uint8_t *)text, sizeof(text) - 1};
    HrHttpExchange *exchange, *next;

    for (exchange = server->open_exchanges; exchange != NULL;
         exchange = next) {
        next = exchange->hh.next;
        HrHttpServer_SendAnswer(server, exchange->number, 503,
                                "application/json", body);
    }
    MHD_run(server->mhd);
    HrLoop_RemoveFd(server->loop, server->watch);
    MHD_stop_daemon(server->mhd);
    HrLoop_RemoveTimer(server->loop, server->run_timer);
    HrLoop_RemoveTimer(server->loop, server->scan_timer);
    return 0;
}

/* Starts microhttpd without a thread of its own. Returns NULL on failure. */
static struct MHD_Daemon *
start_daemon(HrHttpServer *server, const HrSockAddress *address)
{
    unsigned int flags =
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;

    if (address->storage.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    return MHD_start_daemon(
        flags, 0, NULL, NULL, receive_request, server, MHD_OPTION_SOCK_ADDR,
        (const struct sockaddr *)&address->storage,
        MHD_OPTION_CONNECTION_LIMIT,
        (unsigned int)server->config.max_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)server->config.max_header_bytes, MHD_OPTION_NOTIFY_CONNECTION,
        track_connection, server, MHD_OPTION_NOTIFY_COMPLETED,
        free_completed_exchange, server, MHD_OPTION_END);
}

/* Adds the listener to the loop and starts its timers. Returns 0, HR_ERR_IO or
 * HR_ERR_NO_MEMORY. */
static int
add_to_loop(HrHttpServer *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->mhd, MHD_DAEMON_INFO_EPOLL_FD);

    if (info == NULL) {
        return HR_ERR_IO;
    }
    server->watch = HrLoop_AddFd(server->loop, info->epoll_fd, HR_LOOP_READ,
                                 handle_epoll_event, server);
    if (server->watch == NULL || server->run_timer == NULL ||
        server->scan_timer == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    schedule_run(server);
    close_overdue_connections(server);
    return HR_OK;
}

/* Creates a listener and starts it on the loop's thread. */
HrHttpServer *
HrHttpServer_Create(const void *parent, HrLoop *loop,
                    const HrHttpServerConfig *config, HrHttpExchangeFn *fn,
                    void *arg, HrError *err)
{
    HrHttpServer *server = talloc_zero(parent, HrHttpServer);
    HrSockAddress address;

    if (server == NULL) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        return NULL;
    }
    server->loop = loop;
    server->config = *config;
    server->fn = fn;
    server->arg = arg;
    server->listen_fd = -1;
    TAILQ_INIT(&server->connections);
    server->run_timer = HrLoop_AddTimer(loop, run_microhttpd, server);
    server->scan_timer =
        HrLoop_AddTimer(loop, close_overdue_connections, server);
    if (HrSockAddress_Parse(config->listen, &address) == HR_OK) {
        server->mhd = start_daemon(server, &address);
    }
    if (server->mhd == NULL) {
        HrError_Set(err, HR_ERR_IO,
                    "%s: cannot listen: use a free port of a local address",
                    config->listen);
        talloc_free(server);
        return NULL;
    }
    talloc_set_destructor(server, destroy_server);
    if (add_to_loop(server) != HR_OK) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        talloc_free(server);
        return NULL;
    }
    return server;
}

/* Returns the port that the listener is bound to, or 0 on failure. */
uint16_t
HrHttpServer_GetPort(const HrHttpServer *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->mhd, MHD_DAEMON_INFO_BIND_PORT);

    return info != NULL ? info->port : 0;
}

/* Closes the listening socket; open connections remain. */
void
HrHttpServer_StopAccepting(HrHttpServer *server)
{
    if (server->listen_fd < 0) {
        server->listen_fd = MHD_quiesce_daemon(server->mhd);
        if (server->listen_fd >= 0) {
            close(server->listen_fd);
        }
    }
}

/* Returns the number of requests that are not answered yet. */
uint32_t
HrHttpServer_GetOpenExchangeCount(const HrHttpServer *server)
{
    return HASH_COUNT(server->open_exchanges);
}

/* Returns the number of the request. */
uint64_t
HrHttpExchange_GetNumber(const HrHttpExchange *exchange)
{
    return exchange->number;
}

/* Returns the HTTP method. */
const char *
HrHttpExchange_GetMethod(const HrHttpExchange *exchange)
{
    return exchange->method;
}

/* Returns the path without the query part. */
const char *
HrHttpExchange_GetPath(const HrHttpExchange *exchange)
{
    return exchange->path;
}

/* Returns the body. */
HrBytes
HrHttpExchange_GetBody(const HrHttpExchange *exchange)
{
    HrBytes body = {exchange->body, exchange->body_bytes};

    return body;
}

/* Returns the value of a header, or NULL. */
const char *
HrHttpExchange_GetHeader(const HrHttpExchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->mhd, MHD_HEADER_KIND, name);
}

/* Returns the value of a query parameter, or NULL. */
const char *
HrHttpExchange_GetQueryParameter(const HrHttpExchange *exchange,
                                 const char *name)
{
    return MHD_lookup_connection_value(exchange->mhd, MHD_GET_ARGUMENT_KIND,
                                       name);
}
