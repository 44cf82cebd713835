#include "trans-http-server.h"

#include <bsd/sys/queue.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <uthash.h>

#include "state-address.h"

/* How often overdue connections are looked for, as a share of the request
 * timeout. */
#define SCAN_DIVISOR 4

/* One accepted connection. */
typedef struct Connection {
    TAILQ_ENTRY(Connection) entry;
    int fd;
    int64_t waiting_since_ns; /* HR_TIME_NEVER while a request is open */
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
    HrHttpServerFn *fn;
    void *arg;
    struct MHD_Daemon *mhd;
    HrLoopFd *watch;
    HrLoopTimer *run_timer;
    HrLoopTimer *scan_timer;
    struct ConnectionList connections;
    HrHttpExchange *open; /* hash by number */
    uint64_t last_number;
    MHD_socket listen_fd;
};

/* Lets microhttpd work and schedules its next timeout. */
static void
run_server(void *arg)
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

/* Handles readiness of microhttpd's epoll descriptor. */
static void
handle_ready(void *arg, int fd, uint32_t events)
{
    (void)fd;
    (void)events;
    run_server(arg);
}

/* Makes microhttpd run in the next round of the loop. */
static void
run_soon(HrHttpServer *server)
{
    HrLoop_SetTimer(server->loop, server->run_timer,
                    HrLoop_NowNs(server->loop));
}

/* Closes the connections that take too long to send a request. The shutdown
 * makes microhttpd see the end of the stream. */
static void
close_overdue(void *arg)
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
                    now_ns + limit_ns / SCAN_DIVISOR);
}

/* Tracks connections as they open and close. */
static void
notify_connection(void *arg, struct MHD_Connection *mhd, void **context,
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

/* Releases an exchange when microhttpd is done with the request. */
static void
notify_completed(void *arg, struct MHD_Connection *mhd, void **context,
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
        HASH_DELETE(hh, server->open, exchange);
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

/* Creates the exchange of a request whose header has arrived. */
static HrHttpExchange *
begin_exchange(HrHttpServer *server, struct MHD_Connection *mhd,
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
    exchange->number = ++server->last_number;
    exchange->method = talloc_strdup(exchange, method);
    exchange->path = talloc_strdup(exchange, path);
    if (exchange->method == NULL || exchange->path == NULL) {
        talloc_free(exchange);
        return NULL;
    }
    return exchange;
}

/* Appends a part of the body; a body over the limit is not kept. */
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

/* Refuses a request whose body is over the limit and closes the
 * connection. */
static enum MHD_Result
refuse_too_large(HrHttpExchange *exchange)
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

/* Hands a complete request to the owner; the connection sleeps unless the
 * answer is there at once. */
static enum MHD_Result
deliver_exchange(HrHttpExchange *exchange)
{
    HrHttpServer *server = exchange->server;

    if (exchange->connection != NULL) {
        exchange->connection->waiting_since_ns = HR_TIME_NEVER;
    }
    exchange->delivered = true;
    HASH_ADD(hh, server->open, number, sizeof(exchange->number), exchange);
    server->fn(server->arg, exchange);
    if (exchange->response == NULL) {
        exchange->suspended = true;
        MHD_suspend_connection(exchange->mhd);
        return MHD_YES;
    }
    return MHD_queue_response(exchange->mhd, exchange->status,
                              exchange->response);
}

/* Receives the parts of a request from microhttpd. */
static enum MHD_Result
handle_request(void *arg, struct MHD_Connection *mhd, const char *path,
               const char *method, const char *version, const char *data,
               size_t *length, void **context)
{
    HrHttpServer *server = arg;
    HrHttpExchange *exchange = *context;

    (void)version;
    if (exchange == NULL) {
        *context = begin_exchange(server, mhd, method, path);
        return *context != NULL ? MHD_YES : MHD_NO;
    }
    if (*length > 0) {
        int rc = append_body(exchange, data, *length);

        *length = 0;
        return rc == HR_OK ? MHD_YES : MHD_NO;
    }
    if (exchange->too_large) {
        return refuse_too_large(exchange);
    }
    if (exchange->response != NULL) {
        return MHD_queue_response(mhd, exchange->status, exchange->response);
    }
    return deliver_exchange(exchange);
}

/* Answers a request; the body is copied. */
int
HrHttpServer_Answer(HrHttpServer *server, uint64_t number, int status,
                    const char *content_type, HrBytes body)
{
    HrHttpExchange *exchange = NULL;

    HASH_FIND(hh, server->open, &number, sizeof(number), exchange);
    if (exchange == NULL) {
        return HR_ERR_NOT_FOUND;
    }
    exchange->response = MHD_create_response_from_buffer(
        body.length_bytes, (void *)body.data, MHD_RESPMEM_MUST_COPY);
    if (exchange->response == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    HASH_DELETE(hh, server->open, exchange);
    exchange->status = (unsigned int)status;
    MHD_add_response_header(exchange->response, "Content-Type", content_type);
    if (exchange->suspended) {
        exchange->suspended = false;
        MHD_resume_connection(exchange->mhd);
        run_soon(server);
    }
    return HR_OK;
}

/* Answers every open request with 503 and stops the listener. */
static int
destroy_server(HrHttpServer *server)
{
    static const char text[] =
        "{\"error\":\"the daemon stops: use another one\"}\n";
    HrBytes body = {(const uint8_t *)text, sizeof(text) - 1};
    HrHttpExchange *exchange, *next;

    for (exchange = server->open; exchange != NULL; exchange = next) {
        next = exchange->hh.next;
        HrHttpServer_Answer(server, exchange->number, 503, "application/json",
                            body);
    }
    MHD_run(server->mhd);
    HrLoop_RemoveFd(server->loop, server->watch);
    MHD_stop_daemon(server->mhd);
    HrLoop_RemoveTimer(server->loop, server->run_timer);
    HrLoop_RemoveTimer(server->loop, server->scan_timer);
    return 0;
}

/* Starts microhttpd without a thread of its own. */
static struct MHD_Daemon *
start_daemon(HrHttpServer *server, const HrSockAddress *address)
{
    unsigned int flags =
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;

    if (address->storage.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    return MHD_start_daemon(
        flags, 0, NULL, NULL, handle_request, server, MHD_OPTION_SOCK_ADDR,
        (const struct sockaddr *)&address->storage,
        MHD_OPTION_CONNECTION_LIMIT,
        (unsigned int)server->config.max_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)server->config.max_header_bytes, MHD_OPTION_NOTIFY_CONNECTION,
        notify_connection, server, MHD_OPTION_NOTIFY_COMPLETED,
        notify_completed, server, MHD_OPTION_END);
}

/* Attaches the listener to the loop. */
static int
attach_to_loop(HrHttpServer *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->mhd, MHD_DAEMON_INFO_EPOLL_FD);

    if (info == NULL) {
        return HR_ERR_IO;
    }
    server->watch = HrLoop_AddFd(server->loop, info->epoll_fd, HR_LOOP_READ,
                                 handle_ready, server);
    if (server->watch == NULL || server->run_timer == NULL ||
        server->scan_timer == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    run_soon(server);
    close_overdue(server);
    return HR_OK;
}

/* Starts a listener on the loop's thread. */
HrHttpServer *
HrHttpServer_Create(const void *parent, HrLoop *loop,
                    const HrHttpServerConfig *config, HrHttpServerFn *fn,
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
    server->run_timer = HrLoop_AddTimer(loop, run_server, server);
    server->scan_timer = HrLoop_AddTimer(loop, close_overdue, server);
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
    if (attach_to_loop(server) != HR_OK) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        talloc_free(server);
        return NULL;
    }
    return server;
}

/* Returns the port that the listener is bound to. */
uint16_t
HrHttpServer_Port(const HrHttpServer *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->mhd, MHD_DAEMON_INFO_BIND_PORT);

    return info != NULL ? info->port : 0;
}

/* Stops accepting connections; open ones go on. */
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

/* Returns the number of requests without an answer. */
uint32_t
HrHttpServer_OpenCount(const HrHttpServer *server)
{
    return HASH_COUNT(server->open);
}

/* Returns the number that names the request within its listener. */
uint64_t
HrHttpExchange_Number(const HrHttpExchange *exchange)
{
    return exchange->number;
}

/* Returns the HTTP method. */
const char *
HrHttpExchange_Method(const HrHttpExchange *exchange)
{
    return exchange->method;
}

/* Returns the path without the query part. */
const char *
HrHttpExchange_Path(const HrHttpExchange *exchange)
{
    return exchange->path;
}

/* Returns the body. */
HrBytes
HrHttpExchange_Body(const HrHttpExchange *exchange)
{
    HrBytes body = {exchange->body, exchange->body_bytes};

    return body;
}

/* Returns a header, or NULL. */
const char *
HrHttpExchange_Header(const HrHttpExchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->mhd, MHD_HEADER_KIND, name);
}

/* Returns a query parameter, or NULL. */
const char *
HrHttpExchange_Query(const HrHttpExchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->mhd, MHD_GET_ARGUMENT_KIND,
                                       name);
}
