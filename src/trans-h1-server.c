#include "trans-h1-server-int.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <sys/ioctl.h>
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

/* Of this many bytes that are not sent yet, the kernel takes no more of an
 * answer: what a slow caller leaves unread is kept in the process, where the
 * budget counts it. */
#define KERNEL_UNSENT_BYTES (64 * 1024)

/* A connection that has made progress within this time keeps its place. */
#define DISPLACED_MIN_NS (250 * HR_NS_PER_MS)

/* Number of connections that are examined for a place. */
#define DISPLACE_TRIES 32

/* Refuses the incomplete request of a connection, or closes it, to accept
 * another one. */
static void
displace_conn(HrH1Conn *conn)
{
    static const char answer[] = "HTTP/1.1 408 Request Timeout\r\n"
                                 "Content-Length: 0\r\n"
                                 "Connection: close\r\n\r\n";

    if (conn->state == HR_H1_CONN_READING &&
        send(conn->fd, answer, sizeof(answer) - 1,
             MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
        /* The caller has disconnected. */
    }
    HrMemory_Count(conn->server->memory, HR_COUNTER_callers_displaced);
    HrH1Conn_Close(conn);
}

/* Closes the connection that has been without progress the longest, except
 * those that wait for their answers, which are moved to the end of the list.
 * Returns false if none was closed. */
static bool
make_place(HrH1Server *server)
{
    int64_t now_ns = HrLoop_NowNs(server->loop);
    uint32_t i;

    for (i = 0; i < DISPLACE_TRIES; i++) {
        HrH1Conn *conn = TAILQ_FIRST(&server->conns);

        if (conn == NULL || now_ns - conn->held_since_ns < DISPLACED_MIN_NS) {
            return false;
        }
        if (conn->state != HR_H1_CONN_ANSWERING && !conn->is_parsing) {
            displace_conn(conn);
            return true;
        }
        TAILQ_REMOVE(&server->conns, conn, entry);
        TAILQ_INSERT_TAIL(&server->conns, conn, entry);
    }
    return false;
}

/* Accepts one connection, and closes it at once if there are max_connections
 * already or memory runs out. Returns false if none is waiting. */
static bool
accept_conn(HrH1Server *server)
{
    const int unsent_bytes = KERNEL_UNSENT_BYTES;
    int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    HrH1Conn *conn;

    if (fd < 0) {
        return false;
    }
    conn = server->conn_count < server->max_connections || make_place(server)
               ? talloc_zero(server, HrH1Conn)
               : NULL;
    if (conn == NULL) {
        close(fd);
        return true;
    }
    HrSocket_SetStreamOptions(fd, SILENT_CALLER_S);
    setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_bytes,
               sizeof(unsent_bytes));
    conn->server = server;
    conn->fd = fd;
    conn->parser.data = conn;
    http_parser_init(&conn->parser, HTTP_REQUEST);
    HrHeaders_Init(&conn->call.headers, conn);
    HrBuffer_Init(&conn->target, conn);
    HrBuffer_Init(&conn->body, conn);
    HrBuffer_Init(&conn->pending, conn);
    HrBuffer_Init(&conn->out, conn);
    conn->watch = HrLoop_AddFd(server->loop, fd, HR_LOOP_READ,
                               HrH1Conn_HandleEvents, conn);
    if (conn->watch == NULL) {
        close(fd);
        talloc_free(conn);
        return true;
    }
    TAILQ_INSERT_TAIL(&server->conns, conn, entry);
    server->conn_count++;
    HrH1Conn_SetState(conn, HR_H1_CONN_IDLE);
    HrH1Conn_RecordMemory(conn);
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

/* Returns the time since an answer that is being written last made progress:
 * since the process passed bytes to the kernel, or, checked four times within
 * the limit, since the caller accepted bytes from the kernel. A slow caller
 * may take long for what the kernel holds. */
static int64_t
get_unsent_age_ms(HrH1Conn *conn, int64_t now_ns)
{
    int64_t age_ms = (now_ns - conn->progress_ns) / HR_NS_PER_MS;
    int unsent = 0;

    if (age_ms <= conn->limits.idle_timeout_ms / 4 ||
        ioctl(conn->fd, SIOCOUTQ, &unsent) != 0) {
        return age_ms;
    }
    if (conn->unsent_bytes == 0 || unsent < conn->unsent_bytes) {
        age_ms = conn->unsent_bytes == 0 ? age_ms : 0;
        conn->progress_ns =
            conn->unsent_bytes == 0 ? conn->progress_ns : now_ns;
        conn->unsent_bytes = unsent;
    }
    return age_ms;
}

/* Returns the idle time that a caller without an open request, or with a body
 * under way, may take: that of the start, or the one in force if it is longer.
 */
static uint32_t
get_idle_timeout_ms(const HrH1Conn *conn)
{
    uint32_t now = conn->server->limits.idle_timeout_ms;

    return now > conn->limits.idle_timeout_ms ? now
                                              : conn->limits.idle_timeout_ms;
}

/* Returns true if a connection has exceeded the time limit of its state. */
static bool
is_conn_overdue(HrH1Conn *conn, int64_t now_ns)
{
    const HrH1Limits *limits = &conn->limits;
    int64_t age_ms = (now_ns - conn->state_since_ns) / HR_NS_PER_MS;
    int64_t stalled_ms = (now_ns - conn->progress_ns) / HR_NS_PER_MS;

    if (conn->reclaimed || conn->yielded) {
        return false;
    }
    switch (conn->state) {
    case HR_H1_CONN_IDLE:
        return age_ms > get_idle_timeout_ms(conn);
    case HR_H1_CONN_WRITING:
        return get_unsent_age_ms(conn, now_ns) > limits->idle_timeout_ms;
    case HR_H1_CONN_READING:
        return conn->headers_complete ? stalled_ms > get_idle_timeout_ms(conn)
                                      : age_ms > limits->header_timeout_ms;
    case HR_H1_CONN_ANSWERING:
        return false;
    case HR_H1_CONN_LINGERING:
        return age_ms > LINGER_MS;
    }
    return false;
}

/* Refuses the incomplete requests of the connections whose memory was
 * reclaimed, and closes the other ones. */
static void
close_reclaimed_conns(void *arg)
{
    HrH1Server *server = arg;
    HrH1Conn *conn;

    while ((conn = SLIST_FIRST(&server->reclaimed)) != NULL) {
        SLIST_REMOVE_HEAD(&server->reclaimed, reclaimed_entry);
        conn->reclaimed = false;
        if (!conn->dead && conn->state == HR_H1_CONN_READING) {
            HrH1Conn_Refuse(conn, 408);
        }
        else {
            HrH1Conn_Close(conn);
        }
    }
}

/* Continues with the connections that have yielded, each one once. */
static void
resume_yielded_conns(void *arg)
{
    HrH1Server *server = arg;
    HrH1Conn *last = TAILQ_LAST(&server->yielded, HrH1ConnList), *conn;

    while (last != NULL && (conn = TAILQ_FIRST(&server->yielded)) != NULL) {
        bool done = conn == last;

        TAILQ_REMOVE(&server->yielded, conn, yielded_entry);
        HrH1Conn_Resume(conn);
        if (done) {
            break;
        }
    }
}

/* Lists the connections that wait for their callers, as holders of memory. */
static void
list_holders(void *arg, HrMemory *memory)
{
    HrH1Server *server = arg;
    int64_t now_ns = HrLoop_NowNs(server->loop);
    HrH1Conn *conn;

    for (conn = TAILQ_FIRST(&server->conns); conn != NULL;
         conn = TAILQ_NEXT(conn, entry)) {
        if ((conn->state == HR_H1_CONN_READING ||
             conn->state == HR_H1_CONN_WRITING) &&
            !conn->is_parsing && !conn->yielded && !conn->reclaimed) {
            HrMemory_AddHolder(memory, conn, conn->held_bytes,
                               now_ns - conn->held_since_ns);
        }
    }
}

/* Frees the buffers of a connection. It is closed in the next round of the
 * loop, because the caller of this function may iterate over the connections.
 */
static void
reclaim_conn(void *arg, void *holder)
{
    HrH1Server *server = arg;
    HrH1Conn *conn = holder;

    HrH1Conn_ReleaseBuffers(conn);
    conn->reclaimed = true;
    SLIST_INSERT_HEAD(&server->reclaimed, conn, reclaimed_entry);
    HrLoop_SetTimer(server->loop, server->reclaim_timer,
                    HrLoop_NowNs(server->loop));
}

/* Frees closed connections, and closes those that exceed a time limit. An
 * incomplete request is first answered with status 408. */
static void
sweep_conns(void *arg)
{
    HrH1Server *server = arg;
    int64_t now_ns = HrLoop_NowNs(server->loop);
    HrH1Conn *conn, *next;

    close_reclaimed_conns(server);
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
    HrLoop_RemoveTimer(server->loop, server->reclaim_timer);
    HrLoop_RemoveTimer(server->loop, server->yield_timer);
    HrMemory_RemoveSource(server->memory, server);
    return 0;
}

/* Lifts the parser's own limit of a head, 80 KB, which is the same for the
 * whole process: each connection has its limits. */
static void
lift_parser_limit(void)
{
    http_parser_set_max_header_size(UINT32_MAX);
}

/* Creates a listener. */
HrH1Server *
HrH1Server_Create(const void *parent, HrLoop *loop, const char *listen,
                  uint32_t max_connections, const HrH1Limits *limits,
                  HrH1CallFn *call_fn, HrH1DisconnectFn *disconnect_fn,
                  void *arg, HrError *err)
{
    static pthread_once_t once = PTHREAD_ONCE_INIT;
    int fd = HrSocket_OpenListener(listen, err);
    HrH1Server *server;

    if (fd < 0) {
        return NULL;
    }
    pthread_once(&once, lift_parser_limit);
    server = talloc_zero(parent, HrH1Server);
    if (server != NULL) {
        server->watch = HrLoop_AddFd(loop, fd, HR_LOOP_READ,
                                     handle_listener_ready, server);
        server->sweep = HrLoop_AddTimer(loop, sweep_conns, server);
        server->reclaim_timer =
            HrLoop_AddTimer(loop, close_reclaimed_conns, server);
        server->yield_timer =
            HrLoop_AddTimer(loop, resume_yielded_conns, server);
    }
    if (server == NULL || server->watch == NULL || server->sweep == NULL ||
        server->reclaim_timer == NULL || server->yield_timer == NULL) {
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
    SLIST_INIT(&server->reclaimed);
    TAILQ_INIT(&server->yielded);
    talloc_set_destructor(server, destroy_server);
    HrLoop_SetTimer(loop, server->sweep,
                    HrLoop_NowNs(loop) + SWEEP_INTERVAL_NS);
    return server;
}

/* Sets the check of the heads of requests. */
void
HrH1Server_SetHeadFn(HrH1Server *server, HrH1HeadFn *head_fn)
{
    server->head_fn = head_fn;
}

/* Has the listener record its memory in a budget. */
int
HrH1Server_SetMemory(HrH1Server *server, HrMemory *memory)
{
    const HrMemorySource source = {list_holders, reclaim_conn, server};

    server->memory = memory;
    return HrMemory_AddSource(memory, &source);
}

/* Changes the limits for what starts after the call. */
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
