#include "trans-h1-server-int.h"

#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "trans-socket.h"

/* Interval at which the time limits of connections are checked. */
#define SWEEP_INTERVAL_NS (200 * HR_NS_PER_MS)

/* A connection fails after this time if the caller's host is down or cannot be
 * reached. */
#define SILENT_CALLER_S 10

/* Closing a connection with unread bytes would reset it, and the caller might
 * not receive the refusal. So the connection stays open for this time, while
 * the caller may still be writing. */
#define LINGER_MS 1000

/* Accepts one connection, and closes it at once if there are max_connections
 * already or memory runs out. Returns false if none is waiting. */
static bool
accept_conn(HrH1Server *server)
{
    int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    HrH1Conn *conn;

    if (fd < 0) {
        return false;
    }
    conn = server->conn_count < server->max_connections
               ? talloc_zero(server, HrH1Conn)
               : NULL;
    if (conn == NULL) {
        close(fd);
        return true;
    }
    HrSocket_SetStreamOptions(fd, SILENT_CALLER_S);
    conn->server = server;
    conn->fd = fd;
    conn->parser.data = conn;
    http_parser_init(&conn->parser, HTTP_REQUEST);
    HrHeaders_Init(&conn->call.headers, conn);
    HrBuffer_Init(&conn->target, conn);
    HrBuffer_Init(&conn->body, conn);
    HrBuffer_Init(&conn->pending, conn);
    HrBuffer_Init(&conn->out, conn);
    HrH1Conn_SetState(conn, HR_H1_CONN_IDLE);
    conn->watch = HrLoop_AddFd(server->loop, fd, HR_LOOP_READ,
                               HrH1Conn_HandleEvents, conn);
    if (conn->watch == NULL) {
        close(fd);
        talloc_free(conn);
        return true;
    }
    TAILQ_INSERT_TAIL(&server->conns, conn, entry);
    server->conn_count++;
    /* The request is often received together with the connection. */
    HrH1Conn_HandleEvents(conn, fd, HR_LOOP_READ);
    return true;
}

/* Accepts all waiting connections. */
static void
handle_listener_ready(void *arg, int fd, uint32_t events)
{
    HrH1Server *server = arg;

    (void)fd;
    (void)events;
    while (!server->closed && accept_conn(server)) {
    }
}

/* Returns true if a connection has exceeded the time limit of its state. */
static bool
is_conn_overdue(const HrH1Conn *conn, int64_t now_ns)
{
    const HrH1Limits *limits = &conn->server->limits;
    int64_t age_ms = (now_ns - conn->state_since_ns) / HR_NS_PER_MS;

    switch (conn->state) {
    case HR_H1_CONN_IDLE:
    case HR_H1_CONN_WRITING:
        return age_ms > limits->idle_timeout_ms;
    case HR_H1_CONN_READING:
        return age_ms > (conn->headers_complete ? limits->idle_timeout_ms
                                                : limits->header_timeout_ms);
    case HR_H1_CONN_ANSWERING:
        return false;
    case HR_H1_CONN_LINGERING:
        return age_ms > LINGER_MS;
    }
    return false;
}

/* Frees closed connections, and closes those that exceed a time limit. An
 * incomplete request is first answered with status 408. */
static void
sweep_conns(void *arg)
{
    HrH1Server *server = arg;
    int64_t now_ns = HrLoop_NowNs(server->loop);
    HrH1Conn *conn, *next;

    while ((conn = TAILQ_FIRST(&server->dead)) != NULL) {
        TAILQ_REMOVE(&server->dead, conn, entry);
        talloc_free(conn);
    }
    for (conn = TAILQ_FIRST(&server->conns); conn != NULL; conn = next) {
        next = TAILQ_NEXT(conn, entry);
        if (!is_conn_overdue(conn, now_ns)) {
            continue;
        }
        if (conn->state == HR_H1_CONN_READING) {
            HrH1Conn_Refuse(conn, 408);
        }
        else {
            HrH1Conn_Close(conn);
        }
    }
    HrLoop_SetTimer(server->loop, server->sweep, now_ns + SWEEP_INTERVAL_NS);
}

/* Closes the listening socket, unless it is closed. */
static void
close_listener(HrH1Server *server)
{
    if (server->closed) {
        return;
    }
    server->closed = true;
    HrLoop_RemoveFd(server->loop, server->watch);
    close(server->fd);
}

/* Closes the sockets and removes the timer of a listener that is being freed.
 */
static int
destroy_server(HrH1Server *server)
{
    HrH1Conn *conn;

    close_listener(server);
    while ((conn = TAILQ_FIRST(&server->conns)) != NULL) {
        TAILQ_REMOVE(&server->conns, conn, entry);
        HrLoop_RemoveFd(server->loop, conn->watch);
        close(conn->fd);
    }
    HrLoop_RemoveTimer(server->loop, server->sweep);
    return 0;
}

/* Creates a listener. */
HrH1Server *
HrH1Server_Create(const void *parent, HrLoop *loop, const char *listen,
                  uint32_t max_connections, const HrH1Limits *limits,
                  HrH1CallFn *call_fn, HrH1DisconnectFn *disconnect_fn,
                  void *arg, HrError *err)
{
    int fd = HrSocket_OpenListener(listen, err);
    HrH1Server *server;

    if (fd < 0) {
        return NULL;
    }
    server = talloc_zero(parent, HrH1Server);
    if (server != NULL) {
        server->watch = HrLoop_AddFd(loop, fd, HR_LOOP_READ,
                                     handle_listener_ready, server);
        server->sweep = HrLoop_AddTimer(loop, sweep_conns, server);
    }
    if (server == NULL || server->watch == NULL || server->sweep == NULL) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        close(fd);
        talloc_free(server);
        return NULL;
    }
    server->loop = loop;
    server->fd = fd;
    server->max_connections = max_connections;
    server->limits = *limits;
    server->call_fn = call_fn;
    server->disconnect_fn = disconnect_fn;
    server->arg = arg;
    TAILQ_INIT(&server->conns);
    TAILQ_INIT(&server->dead);
    talloc_set_destructor(server, destroy_server);
    HrLoop_SetTimer(loop, server->sweep,
                    HrLoop_NowNs(loop) + SWEEP_INTERVAL_NS);
    return server;
}

/* Changes the limits, also for open connections. */
void
HrH1Server_SetLimits(HrH1Server *server, const HrH1Limits *limits)
{
    server->limits = *limits;
}

/* Stops accepting connections, so that new ones wait in the kernel, or starts
 * accepting them again. */
void
HrH1Server_SetPaused(HrH1Server *server, bool paused)
{
    if (!server->closed) {
        HrLoop_SetEvents(server->loop, server->watch,
                         paused ? 0 : HR_LOOP_READ);
    }
}

/* From now on, closes each connection after its next answer, or after the last
 * one of the requests that were received together. */
void
HrH1Server_Drain(HrH1Server *server)
{
    server->draining = true;
}

/* Closes the listening socket, after accepting the connections that wait. */
void
HrH1Server_StopListening(HrH1Server *server)
{
    while (!server->closed && accept_conn(server)) {
    }
    close_listener(server);
}

/* Reads what idle connections have received: it may contain requests. */
static void
read_idle_conns(HrH1Server *server)
{
    HrH1Conn *conn, *next;

    for (conn = TAILQ_FIRST(&server->conns); conn != NULL; conn = next) {
        next = TAILQ_NEXT(conn, entry);
        if (conn->state == HR_H1_CONN_IDLE) {
            HrH1Conn_HandleEvents(conn, conn->fd, HR_LOOP_READ);
        }
    }
}

/* Closes the listening socket, and the connections without a request. */
void
HrH1Server_Close(HrH1Server *server)
{
    HrH1Conn *conn, *next;

    HrH1Server_StopListening(server);
    read_idle_conns(server);
    for (conn = TAILQ_FIRST(&server->conns); conn != NULL; conn = next) {
        next = TAILQ_NEXT(conn, entry);
        if (conn->state == HR_H1_CONN_IDLE) {
            HrH1Conn_Close(conn);
        }
    }
}

/* Returns the number of requests that have been received in part. */
uint32_t
HrH1Server_CountIncomingRequests(const HrH1Server *server)
{
    const HrH1Conn *conn;
    uint32_t count = 0;

    for (conn = TAILQ_FIRST(&server->conns); conn != NULL;
         conn = TAILQ_NEXT(conn, entry)) {
        count += conn->state == HR_H1_CONN_READING;
    }
    return count;
}

/* Returns the number of requests that were received and not answered
 * completely yet. */
uint32_t
HrH1Server_GetOpenCallCount(const HrH1Server *server)
{
    return server->open_calls;
}

/* Returns the port that the listener is bound to. */
uint16_t
HrH1Server_GetPort(const HrH1Server *server)
{
    return HrSocket_GetPort(server->fd);
}
