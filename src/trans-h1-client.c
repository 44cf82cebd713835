#include "trans-h1-client-int.h"

#include <errno.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "trans-socket.h"

#define READ_BYTES ((size_t)16 * 1024)

/* Interval at which the time limits of connections are checked. */
#define SWEEP_INTERVAL_NS (25 * HR_NS_PER_MS)

void
HrH1ClientConn_ReleaseBuffered(HrH1ClientConn *conn)
{
    HrH1Client *client = conn->target->client;

    client->buffered_bytes -= conn->buffered_bytes;
    HrMemory_Remove(client->config.memory, conn->buffered_bytes);
    conn->buffered_bytes = 0;
    conn->reserved_bytes = 0;
    if (conn->waiting) {
        conn->waiting = false;
        TAILQ_REMOVE(&client->waiting, conn, waiting_entry);
    }
}

/* Returns the next part of the request that is not written yet. */
static HrBytes
get_unsent(const HrH1ClientConn *conn)
{
    HrBytes bytes = {HrBuffer_GetData(&conn->out),
                     HrBuffer_GetLength(&conn->out)};

    if (bytes.length_bytes == 0 && conn->shared_body != NULL) {
        bytes = HrH1Body_GetBytes(conn->shared_body);
        bytes.data += conn->shared_sent_bytes;
        bytes.length_bytes -= conn->shared_sent_bytes;
    }
    return bytes;
}

bool
HrH1ClientConn_HasUnsent(const HrH1ClientConn *conn)
{
    return get_unsent(conn).length_bytes > 0;
}

/* Releases the shared body of a request. */
static void
release_shared_body(HrH1ClientConn *conn)
{
    HrH1Body_Release(conn->shared_body);
    conn->shared_body = NULL;
    conn->shared_sent_bytes = 0;
}

void
HrH1ClientConn_Watch(HrH1ClientConn *conn)
{
    HrLoop_SetEvents(conn->target->client->loop, conn->watch,
                     (conn->waiting ? 0 : HR_LOOP_READ) |
                         (HrH1ClientConn_HasUnsent(conn) ? HR_LOOP_WRITE : 0));
}

void
HrH1ClientConn_RecordQueued(HrH1ClientConn *conn)
{
    HrMemory *memory = conn->target->client->config.memory;

    HrMemory_Add(memory, conn->out.capacity);
    HrMemory_Remove(memory, conn->queued_bytes);
    conn->queued_bytes = conn->out.capacity;
}

void
HrH1ClientConn_DropAnswer(HrH1ClientConn *conn)
{
    HrH1ClientConn_ReleaseBuffered(conn);
    HrHeaders_Reset(&conn->headers, true);
    HrBuffer_Consume(&conn->body, HrBuffer_GetLength(&conn->body));
    HrBuffer_FreeIfEmpty(&conn->body);
}

/* Has the kernel discard what it holds of a large body whose request is given
 * up. It would otherwise go on sending it, and keep other requests waiting on
 * a slow link. */
static void
discard_unsent_body(const HrH1ClientConn *conn)
{
    const struct linger discard = {.l_onoff = 1};

    if (conn->has_shared_body && !conn->answer_complete) {
        setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
}

/* Closes a connection. Its memory is freed by the next sweep, because callers
 * of this function may still use it. */
void
HrH1ClientConn_Close(HrH1ClientConn *conn)
{
    HrH1Target *target = conn->target;

    if (conn->dead) {
        return;
    }
    conn->dead = true;
    HrLoop_RemoveFd(target->client->loop, conn->watch);
    discard_unsent_body(conn);
    close(conn->fd);
    HrH1ClientConn_DropAnswer(conn);
    HrBuffer_Release(&conn->out);
    release_shared_body(conn);
    HrH1ClientConn_RecordQueued(conn);
    if (conn->state == HR_H1_CLIENT_CONN_IDLE) {
        TAILQ_REMOVE(&target->idle, conn, entry);
        target->idle_count--;
    }
    else {
        TAILQ_REMOVE(&target->busy, conn, entry);
    }
    target->open_count--;
    TAILQ_INSERT_TAIL(&target->client->dead, conn, entry);
}

/* Closes a connection and reports to the receiver, if there is one, that its
 * request ended without a complete answer. */
void
HrH1ClientConn_FailRequest(HrH1ClientConn *conn)
{
    HrH1Result result = {.fresh = conn->fresh};
    HrH1ResultFn *fn = conn->fn;
    void *arg = conn->arg;

    if (conn->dead) {
        return;
    }
    result.outcome = !conn->may_have_sent   ? HR_H1_NOT_SENT
                     : conn->answer_started ? HR_H1_BAD_ANSWER
                                            : HR_H1_LOST;
    conn->fn = NULL;
    HrH1ClientConn_Close(conn);
    if (fn != NULL) {
        fn(arg, &result);
    }
}

/* Writes the buffered output, as far as the socket accepts it. Returns false
 * if the connection failed. */
static bool
flush_output(HrH1ClientConn *conn)
{
    HrBytes unsent;

    while ((unsent = get_unsent(conn)).length_bytes > 0) {
        ssize_t sent =
            send(conn->fd, unsent.data, unsent.length_bytes, MSG_NOSIGNAL);

        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            HrH1ClientConn_Watch(conn);
            return true;
        }
        if (sent < 0) {
            return false;
        }
        conn->may_have_sent = true;
        if (HrBuffer_GetLength(&conn->out) > 0) {
            HrBuffer_Consume(&conn->out, (size_t)sent);
        }
        else {
            conn->shared_sent_bytes += (size_t)sent;
        }
    }
    HrBuffer_FreeIfEmpty(&conn->out);
    release_shared_body(conn);
    HrH1ClientConn_RecordQueued(conn);
    HrH1ClientConn_Watch(conn);
    return true;
}

/* Reads bytes from a connection and parses them as an answer. Returns false if
 * there is nothing more to read for now. */
static bool
read_input(HrH1ClientConn *conn)
{
    static _Thread_local uint8_t bytes[READ_BYTES];
    ssize_t got = recv(conn->fd, bytes, sizeof(bytes), 0);

    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    if (conn->state == HR_H1_CLIENT_CONN_IDLE) {
        /* The server closed the connection, or sent bytes that belong to no
         * request. */
        HrH1ClientConn_Close(conn);
        return false;
    }
    if (got < 0) {
        HrH1ClientConn_FailRequest(conn);
        return false;
    }
    conn->received_ns = HrLoop_NowNs(conn->target->client->loop);
    HrH1ClientConn_ParseAnswer(conn, bytes, (size_t)got);
    return (size_t)got == sizeof(bytes) && !conn->waiting;
}

/* Handles events of a connection: readable, writable or failed. */
static void
handle_conn_events(void *arg, int fd, uint32_t events)
{
    HrH1ClientConn *conn = arg;

    (void)fd;
    if ((events & HR_LOOP_WRITE) != 0 &&
        conn->state == HR_H1_CLIENT_CONN_CONNECTING) {
        int error = 0;
        socklen_t length = sizeof(error);

        getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            HrH1ClientConn_FailRequest(conn);
            return;
        }
        conn->state = HR_H1_CLIENT_CONN_BUSY;
        conn->deadline_ns =
            conn->fn != NULL ? HR_TIME_NEVER : conn->deadline_ns;
    }
    if ((events & HR_LOOP_WRITE) != 0 && !flush_output(conn)) {
        HrH1ClientConn_FailRequest(conn);
        return;
    }
    while (!conn->dead && (events & HR_LOOP_READ) != 0 && read_input(conn)) {
    }
    if (!conn->dead && (events & HR_LOOP_ERROR) != 0) {
        HrH1ClientConn_FailRequest(conn);
    }
}

/* Returns a connection of a list whose deadline has passed, or NULL. */
static HrH1ClientConn *
find_overdue_in_list(const struct HrH1ClientConnList *list, int64_t now_ns)
{
    HrH1ClientConn *conn = TAILQ_FIRST(list);

    while (conn != NULL && now_ns < conn->deadline_ns) {
        conn = TAILQ_NEXT(conn, entry);
    }
    return conn;
}

/* Returns a connection of any target whose deadline has passed, or NULL. */
static HrH1ClientConn *
find_overdue_conn(const HrH1Client *client, int64_t now_ns)
{
    const HrH1Target *target = TAILQ_FIRST(&client->targets);
    HrH1ClientConn *conn = NULL;

    while (target != NULL && conn == NULL) {
        conn = find_overdue_in_list(&target->idle, now_ns);
        if (conn == NULL) {
            conn = find_overdue_in_list(&target->busy, now_ns);
        }
        target = TAILQ_NEXT(target, entry);
    }
    return conn;
}

/* Frees closed connections, and closes those whose deadline has passed. The
 * receiver of a result may close other connections and free targets, so the
 * search starts over after each result. */
static void
sweep_conns(void *arg)
{
    HrH1Client *client = arg;
    int64_t now_ns = HrLoop_NowNs(client->loop);
    HrH1ClientConn *conn;

    while ((conn = TAILQ_FIRST(&client->dead)) != NULL) {
        TAILQ_REMOVE(&client->dead, conn, entry);
        talloc_free(conn);
    }
    HrH1Client_ContinueWaiting(client, now_ns);
    while ((conn = find_overdue_conn(client, now_ns)) != NULL) {
        HrH1ClientConn_FailRequest(conn);
    }
    HrLoop_SetTimer(client->loop, client->sweep, now_ns + SWEEP_INTERVAL_NS);
}

/* Frees the targets and the timer of a client that is being freed. */
static int
destroy_client(HrH1Client *client)
{
    HrH1Target *target;

    while ((target = TAILQ_FIRST(&client->targets)) != NULL) {
        talloc_free(target);
    }
    HrLoop_RemoveTimer(client->loop, client->sweep);
    return 0;
}

/* Creates a client; the loop must outlive it. */
HrH1Client *
HrH1Client_Create(const void *parent, HrLoop *loop,
                  const HrH1ClientConfig *config)
{
    HrH1Client *client = talloc_zero(parent, HrH1Client);

    if (client == NULL) {
        return NULL;
    }
    client->loop = loop;
    client->config = *config;
    client->config.echo_header = talloc_strdup(client, config->echo_header);
    client->sweep = HrLoop_AddTimer(loop, sweep_conns, client);
    if (client->sweep == NULL) {
        talloc_free(client);
        return NULL;
    }
    TAILQ_INIT(&client->targets);
    TAILQ_INIT(&client->dead);
    TAILQ_INIT(&client->waiting);
    talloc_set_destructor(client, destroy_client);
    HrLoop_SetTimer(loop, client->sweep,
                    HrLoop_NowNs(loop) + SWEEP_INTERVAL_NS);
    return client;
}

/* Closes the connections of a target that is being freed. */
static int
destroy_target(HrH1Target *target)
{
    HrH1ClientConn *conn;

    while ((conn = TAILQ_FIRST(&target->idle)) != NULL ||
           (conn = TAILQ_FIRST(&target->busy)) != NULL) {
        HrH1ClientConn_Close(conn);
    }
    TAILQ_REMOVE(&target->client->targets, target, entry);
    return 0;
}

/* Creates a target for an address. */
HrH1Target *
HrH1Target_Create(const void *parent, HrH1Client *client, const char *address)
{
    HrH1Target *target = talloc_zero(parent, HrH1Target);

    if (target == NULL) {
        return NULL;
    }
    if (HrSockAddress_Parse(address, &target->address) != HR_OK) {
        talloc_free(target);
        return NULL;
    }
    target->client = client;
    TAILQ_INIT(&target->busy);
    TAILQ_INIT(&target->idle);
    TAILQ_INSERT_TAIL(&client->targets, target, entry);
    talloc_set_destructor(target, destroy_target);
    return target;
}

/* Returns the number of open connections. */
uint32_t
HrH1Target_GetOpenCount(const HrH1Target *target)
{
    return target->open_count;
}

/* Returns the number of idle connections. */
uint32_t
HrH1Target_GetIdleCount(const HrH1Target *target)
{
    return target->idle_count;
}

/* Closes the idle connections. */
void
HrH1Target_CloseIdle(HrH1Target *target)
{
    HrH1ClientConn *conn;

    while ((conn = TAILQ_FIRST(&target->idle)) != NULL) {
        HrH1ClientConn_Close(conn);
    }
}

/* Returns the number of connections opened since the client was created. */
uint64_t
HrH1Client_GetOpenedCount(const HrH1Client *client)
{
    return client->opened_count;
}

/* Opens a connection. Returns NULL on failure. */
static HrH1ClientConn *
open_conn(HrH1Target *target)
{
    HrH1Client *client = target->client;
    int fd = HrSocket_StartConnect(&target->address);
    /* Closed connections outlive their target until the next sweep, so they
     * are children of the client. */
    HrH1ClientConn *conn =
        fd >= 0 ? talloc_zero(client, HrH1ClientConn) : NULL;

    if (conn != NULL) {
        conn->watch =
            HrLoop_AddFd(client->loop, fd, HR_LOOP_READ | HR_LOOP_WRITE,
                         handle_conn_events, conn);
    }
    if (conn == NULL || conn->watch == NULL) {
        if (fd >= 0) {
            close(fd);
        }
        talloc_free(conn);
        return NULL;
    }
    HrSocket_SetStreamOptions(fd, client->config.silent_timeout_s);
    conn->target = target;
    conn->fd = fd;
    conn->fresh = true;
    conn->parser.data = conn;
    conn->state = HR_H1_CLIENT_CONN_CONNECTING;
    conn->deadline_ns =
        HrLoop_NowNs(client->loop) + client->config.connect_timeout_ns;
    HrHeaders_Init(&conn->headers, conn);
    HrBuffer_Init(&conn->body, conn);
    HrBuffer_Init(&conn->out, conn);
    target->open_count++;
    client->opened_count++;
    TAILQ_INSERT_TAIL(&target->busy, conn, entry);
    return conn;
}

/* Returns the most recently used idle connection if the request may use it, or
 * else a new one. Returns NULL if none can be opened. */
static HrH1ClientConn *
acquire_conn(HrH1Target *target, const HrH1Request *request)
{
    HrH1ClientConn *conn = TAILQ_FIRST(&target->idle);
    int64_t now_ns = HrLoop_NowNs(target->client->loop);

    if (request->fresh || conn == NULL || now_ns >= conn->deadline_ns ||
        now_ns - conn->idle_since_ns > request->max_idle_ns) {
        return open_conn(target);
    }
    TAILQ_REMOVE(&target->idle, conn, entry);
    target->idle_count--;
    TAILQ_INSERT_TAIL(&target->busy, conn, entry);
    conn->state = HR_H1_CLIENT_CONN_BUSY;
    conn->deadline_ns = HR_TIME_NEVER;
    return conn;
}

/* Copies a request to the output buffer of its connection. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
queue_request(HrH1ClientConn *conn, const HrH1Request *request)
{
    int rc = HrBuffer_Append(&conn->out, request->head.data,
                             request->head.length_bytes);

    talloc_free(conn->echo);
    conn->echo =
        request->echo != NULL ? talloc_strdup(conn, request->echo) : NULL;
    if (rc == HR_OK && request->shared_body == NULL) {
        rc = HrBuffer_Append(&conn->out, request->body.data,
                             request->body.length_bytes);
    }
    conn->has_shared_body = request->shared_body != NULL;
    if (conn->has_shared_body) {
        conn->shared_body = HrH1Body_Acquire(request->shared_body);
    }
    if (request->echo != NULL && conn->echo == NULL) {
        rc = HR_ERR_NO_MEMORY;
    }
    HrH1ClientConn_RecordQueued(conn);
    return rc;
}

/* Sends a request. A failure of the first write is not reported from here: the
 * events of the socket report it to fn later. */
HrH1ClientConn *
HrH1Target_SendRequest(HrH1Target *target, const HrH1Request *request,
                       HrH1ResultFn *fn, void *arg)
{
    HrH1ClientConn *conn = acquire_conn(target, request);

    if (conn == NULL) {
        return NULL;
    }
    conn->is_head = request->is_head;
    conn->may_have_sent = false;
    conn->answer_started = false;
    conn->head_complete = false;
    conn->head_bytes = 0;
    conn->skipping_answer = false;
    conn->close_after_answer = false;
    conn->answer_complete = false;
    conn->answer_too_large = false;
    conn->answer_bytes = 0;
    http_parser_init(&conn->parser, HTTP_RESPONSE);
    if (queue_request(conn, request) != HR_OK) {
        HrH1ClientConn_Close(conn);
        return NULL;
    }
    conn->fn = fn;
    conn->arg = arg;
    if (conn->state == HR_H1_CLIENT_CONN_BUSY && !flush_output(conn)) {
        /* The write failed, so the connection is dead. The events of its
         * socket report the failure. */
        HrLoop_SetEvents(target->client->loop, conn->watch,
                         HR_LOOP_READ | HR_LOOP_WRITE);
    }
    return conn;
}

/* Abandons a request, so that its result is not reported. */
void
HrH1ClientConn_AbandonRequest(HrH1ClientConn *conn, int64_t wait_ns)
{
    conn->fn = NULL;
    if (conn->dead) {
        return;
    }
    if (wait_ns <= 0 || conn->state == HR_H1_CLIENT_CONN_CONNECTING) {
        HrH1ClientConn_Close(conn);
        return;
    }
    conn->deadline_ns = HrLoop_NowNs(conn->target->client->loop) + wait_ns;
}

/* Returns when bytes were last received, in nanoseconds of the loop's clock.
 */
int64_t
HrH1ClientConn_GetReceivedNs(const HrH1ClientConn *conn)
{
    return conn->received_ns;
}

/* Returns true if a part of the request may have been sent. */
bool
HrH1ClientConn_MayHaveSentRequest(const HrH1ClientConn *conn)
{
    return conn->may_have_sent;
}
