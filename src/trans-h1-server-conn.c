#include "trans-h1-server-int.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "trans-socket.h"

#define READ_BYTES ((size_t)16 * 1024)

/* While a request is being answered, reading stops when more than this many
 * bytes of later requests are buffered. */
#define PIPELINE_MAX_BYTES ((size_t)16 * 1024)

/* A transfer of this many bytes counts as progress when memory is reclaimed:
 * a client that sends or reads a few bytes at a time holds memory as long as
 * one that has stopped. */
#define PROGRESS_BYTES 4096

/* After this many requests that were received together, a connection gives way
 * to the other ones. Without that, ordinary requests waited for more than 10 s
 * behind 400 connections with 300 pipelined requests each, in a slow build. */
#define BURST_REQUESTS 16

/* Memory of a connection apart from its buffers. */
#define CONN_BYTES 1024

/* A request that holds no more than this may use the whole budget. */
#define SMALL_REQUEST_BYTES ((size_t)48 * 1024)

/* A head may have as many bytes besides its target, names and values, such as
 * blanks and line ends, but always this number. */
#define HEAD_BYTES_FACTOR 2
#define HEAD_BYTES_MIN ((uint64_t)80 * 1024)

/* Callers that are refused because memory is short return after this time and
 * up to as long again. */
#define MEMORY_RETRY_NS (500 * HR_NS_PER_MS)

static void parse_pending(HrH1Conn *conn);

/* Returns the reason phrase for a status line. */
static const char *
get_status_phrase(int status)
{
#define PHRASE(number, name, text)                                            \
    case number:                                                              \
        return #text;
    switch (status) {
        HTTP_STATUS_MAP(PHRASE)
    default:
        return "Unknown";
    }
#undef PHRASE
}

/* Closes a connection, and reports the disconnect of the caller if a request
 * waits for its answer. The memory is freed by the next sweep, because a
 * caller of this function may still use it. */
void
HrH1Conn_Close(HrH1Conn *conn)
{
    HrH1Server *server = conn->server;
    HrH1ConnState state = conn->state;

    if (conn->dead) {
        return;
    }
    conn->dead = true;
    HrLoop_RemoveFd(server->loop, conn->watch);
    close(conn->fd);
    TAILQ_REMOVE(&server->conns, conn, entry);
    TAILQ_INSERT_TAIL(&server->dead, conn, entry);
    server->conn_count--;
    HrMemory_Remove(server->memory, conn->held_bytes);
    conn->held_bytes = 0;
    if (conn->yielded) {
        conn->yielded = false;
        TAILQ_REMOVE(&server->yielded, conn, yielded_entry);
    }
    if (state == HR_H1_CONN_ANSWERING || state == HR_H1_CONN_WRITING) {
        server->open_calls--;
    }
    if (state == HR_H1_CONN_ANSWERING) {
        server->disconnect_fn(server->arg, &conn->call);
    }
}

/* Records the memory of a connection in the budget of its listener. */
void
HrH1Conn_RecordMemory(HrH1Conn *conn)
{
    HrMemory *memory = conn->server->memory;
    size_t held = CONN_BYTES + conn->target.capacity + conn->body.capacity +
                  conn->pending.capacity + HrBuffer_GetHeldBytes(&conn->out) +
                  conn->call.headers.text_capacity_bytes +
                  conn->call.headers.capacity * sizeof(HrHeaderSpan);

    if (memory == NULL || conn->dead) {
        return;
    }
    HrMemory_Add(memory, held);
    HrMemory_Remove(memory, conn->held_bytes);
    conn->held_bytes = held;
}

/* Frees the buffers of a connection that is not being parsed. */
void
HrH1Conn_ReleaseBuffers(HrH1Conn *conn)
{
    HrHeaders_Reset(&conn->call.headers, true);
    HrBuffer_Release(&conn->target);
    HrBuffer_Release(&conn->body);
    HrBuffer_Release(&conn->pending);
    HrBuffer_Release(&conn->out);
    HrH1Conn_RecordMemory(conn);
}

/* Moves a connection to the end of the list, after its last progress. */
static void
mark_progress(HrH1Conn *conn, int64_t now_ns)
{
    struct HrH1ConnList *conns = &conn->server->conns;

    conn->held_since_ns = now_ns;
    conn->moved_bytes = 0;
    TAILQ_REMOVE(conns, conn, entry);
    TAILQ_INSERT_TAIL(conns, conn, entry);
}

/* Records that bytes were received or sent. */
static void
record_transfer(HrH1Conn *conn, size_t length)
{
    int64_t now_ns = HrLoop_NowNs(conn->server->loop);

    conn->progress_ns = now_ns;
    conn->unsent_bytes = 0;
    conn->moved_bytes += length;
    if (conn->moved_bytes >= PROGRESS_BYTES) {
        mark_progress(conn, now_ns);
    }
}

/* Sets the state, the time of its start and the limits that apply to it. A
 * request keeps the limits with which it started, but may use larger sizes
 * that come into force meanwhile. */
void
HrH1Conn_SetState(HrH1Conn *conn, HrH1ConnState state)
{
    int64_t now_ns = HrLoop_NowNs(conn->server->loop);

    conn->state = state;
    conn->state_since_ns = now_ns;
    conn->progress_ns = now_ns;
    conn->unsent_bytes = 0;
    conn->limits = conn->server->limits;
    mark_progress(conn, now_ns);
}

/* Resets the state and the buffers of a connection for its next request. */
static void
prepare_next_request(HrH1Conn *conn)
{
    bool idle = HrBuffer_GetLength(&conn->pending) == 0;

    HrH1Conn_SetState(conn, HR_H1_CONN_IDLE);
    HrHeaders_Reset(&conn->call.headers, idle);
    HrBuffer_Consume(&conn->body, HrBuffer_GetLength(&conn->body));
    HrBuffer_Consume(&conn->target, HrBuffer_GetLength(&conn->target));
    HrBuffer_FreeIfEmpty(&conn->body);
    HrBuffer_FreeIfEmpty(&conn->target);
    HrBuffer_FreeIfEmpty(&conn->pending);
    HrBuffer_FreeIfEmpty(&conn->out);
    conn->header_bytes = 0;
    conn->head_bytes = 0;
    conn->call.retry_after_ns = 0;
    conn->headers_complete = false;
    conn->message_complete = false;
    conn->call.context = NULL;
}

/* Continues with the next request of a connection whose answer was written
 * completely, or closes the connection. After a refusal, it only closes the
 * sending direction, and the connection lingers. */
static void
finish_answer(HrH1Conn *conn)
{
    conn->server->open_calls--;
    conn->state = HR_H1_CONN_IDLE;
    if (!conn->keep_alive && conn->refusal_status != 0) {
        shutdown(conn->fd, SHUT_WR);
        HrH1Conn_SetState(conn, HR_H1_CONN_LINGERING);
        HrLoop_SetEvents(conn->server->loop, conn->watch, HR_LOOP_READ);
        return;
    }
    if (!conn->keep_alive) {
        HrH1Conn_Close(conn);
        return;
    }
    prepare_next_request(conn);
    HrLoop_SetEvents(conn->server->loop, conn->watch, HR_LOOP_READ);
    if (!conn->is_parsing) {
        parse_pending(conn);
    }
}

/* Writes the buffered output, as far as the socket accepts it, and finishes
 * the answer when it is written completely. */
static void
flush_output(HrH1Conn *conn)
{
    while (HrBuffer_GetLength(&conn->out) > 0) {
        ssize_t sent = send(conn->fd, HrBuffer_GetData(&conn->out),
                            HrBuffer_GetLength(&conn->out), MSG_NOSIGNAL);

        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            HrLoop_SetEvents(conn->server->loop, conn->watch, HR_LOOP_WRITE);
            HrBuffer_ReleaseConsumed(&conn->out);
            HrH1Conn_RecordMemory(conn);
            return;
        }
        if (sent < 0) {
            HrH1Conn_Close(conn);
            return;
        }
        HrBuffer_Consume(&conn->out, (size_t)sent);
        record_transfer(conn, (size_t)sent);
    }
    finish_answer(conn);
    HrH1Conn_RecordMemory(conn);
}

/* Sends the buffered head of an answer and its body without a copy, as far as
 * the socket accepts them, and buffers the rest of the body. Returns 0,
 * HR_ERR_IO or HR_ERR_NO_MEMORY. */
static int
send_or_buffer(HrH1Conn *conn, HrBytes body)
{
    while (HrBuffer_GetLength(&conn->out) + body.length_bytes > 0) {
        size_t head_bytes = HrBuffer_GetLength(&conn->out), from_body;
        struct iovec parts[2] = {
            {(void *)HrBuffer_GetData(&conn->out), head_bytes},
            {(void *)body.data, body.length_bytes}};
        const struct msghdr message = {.msg_iov = parts, .msg_iovlen = 2};
        ssize_t sent = sendmsg(conn->fd, &message, MSG_NOSIGNAL);

        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            return HR_ERR_IO;
        }
        if (sent < 0) {
            break;
        }
        from_body = (size_t)sent > head_bytes ? (size_t)sent - head_bytes : 0;
        HrBuffer_Consume(&conn->out, (size_t)sent - from_body);
        body.data += from_body;
        body.length_bytes -= from_body;
    }
    return HrBuffer_Append(&conn->out, body.data, body.length_bytes);
}

/* Closes a connection whose answer cannot be kept until the caller reads it,
 * because the budget is exceeded even after memory was reclaimed. Returns true
 * if the connection was closed. */
static bool
close_if_exceeded(HrH1Conn *conn)
{
    HrMemory *memory = conn->server->memory;

    HrH1Conn_RecordMemory(conn);
    if (conn->out.capacity <= SMALL_REQUEST_BYTES ||
        !HrMemory_IsShort(memory, false)) {
        return false;
    }
    HrMemory_Reclaim(memory, HrLoop_NowNs(conn->server->loop));
    if (!HrMemory_IsExceededBy(memory, 0)) {
        return false;
    }
    HrMemory_Count(memory, HR_COUNTER_callers_over_memory);
    HrH1Conn_Close(conn);
    return true;
}

/* Writes the status line and the header of an answer. A status without a body
 * has no length either: that of 304 would be the length of the body that the
 * caller has already. */
static int
write_answer_head(HrBuffer *out, const HrH1Answer *answer, bool keep_alive)
{
    int rc =
        HrBuffer_AppendFormat(out, "HTTP/1.1 %03d %s\r\n%s", answer->status,
                              get_status_phrase(answer->status),
                              keep_alive ? "" : "Connection: close\r\n");

    if (rc == HR_OK && !HrHttp_IsStatusWithoutBody(answer->status)) {
        rc = HrBuffer_AppendFormat(out, "Content-Length: %zu\r\n",
                                   answer->body.length_bytes);
    }
    if (rc == HR_OK) {
        rc =
            HrBuffer_Append(out, answer->head.data, answer->head.length_bytes);
    }
    return rc == HR_OK ? HrBuffer_Append(out, "\r\n", 2) : rc;
}

/* Returns true if the connection is closed after the current answer because
 * the listener is draining. Requests that have been received already are
 * answered first. */
static bool
is_drained(const HrH1Conn *conn)
{
    bool more = conn->is_parsing ? conn->more_received
                                 : HrBuffer_GetLength(&conn->pending) > 0;

    return conn->server->draining && !more;
}

/* Sends an answer. What the socket does not accept now is sent when it is
 * writable. */
static void
send_answer(HrH1Conn *conn, const HrH1Answer *answer)
{
    HrBytes body = answer->body;

    conn->keep_alive = conn->keep_alive && !answer->close && !is_drained(conn);
    HrH1Conn_SetState(conn, HR_H1_CONN_WRITING);
    if (HrHttp_IsStatusWithoutBody(answer->status) ||
        (conn->call.method != NULL &&
         strcmp(conn->call.method, "HEAD") == 0)) {
        body.length_bytes = 0;
    }
    if (write_answer_head(&conn->out, answer, conn->keep_alive) != HR_OK ||
        send_or_buffer(conn, body) != HR_OK) {
        HrH1Conn_Close(conn);
        return;
    }
    if (!close_if_exceeded(conn)) {
        flush_output(conn);
    }
}

/* Returns the body of a request for sharing. */
HrH1Body *
HrH1Call_ShareBody(HrH1Call *call)
{
    HrH1Conn *conn = (HrH1Conn *)((char *)call - offsetof(HrH1Conn, call));
    HrH1Body *body = HrH1Body_Create(&conn->body, conn->server->memory);

    HrH1Conn_RecordMemory(conn);
    return body;
}

/* Answers a request, which is invalid afterwards. */
void
HrH1Call_Answer(HrH1Call *call, const HrH1Answer *answer)
{
    HrH1Conn *conn = (HrH1Conn *)((char *)call - offsetof(HrH1Conn, call));

    if (conn->state == HR_H1_CONN_ANSWERING) {
        send_answer(conn, answer);
    }
}

/* Return the limits of the request that is being received: what it started
 * with, or the limits in force if they are larger. The time limits stay those
 * of its start. */
static uint32_t
get_max_header_bytes(const HrH1Conn *conn)
{
    uint32_t now = conn->server->limits.max_header_bytes;

    return now > conn->limits.max_header_bytes ? now
                                               : conn->limits.max_header_bytes;
}

static uint32_t
get_max_body_bytes(const HrH1Conn *conn)
{
    uint32_t now = conn->server->limits.max_body_bytes;

    return now > conn->limits.max_body_bytes ? now
                                             : conn->limits.max_body_bytes;
}

/* Counts header bytes. Returns 1, so that the request is refused, if they
 * exceed the limit. */
static int
count_header_bytes(HrH1Conn *conn, size_t length)
{
    conn->header_bytes += (uint32_t)length;
    if (conn->header_bytes > get_max_header_bytes(conn)) {
        conn->refusal_status = 431;
        return 1;
    }
    return 0;
}

/* Callbacks of the parser. A result other than 0 stops the parser. */
static int
on_target(http_parser *parser, const char *at, size_t length)
{
    HrH1Conn *conn = parser->data;

    return count_header_bytes(conn, length) != 0 ||
           HrBuffer_Append(&conn->target, at, length) != HR_OK;
}

static int
on_name(http_parser *parser, const char *at, size_t length)
{
    HrH1Conn *conn = parser->data;

    return count_header_bytes(conn, length) != 0 ||
           HrHeaders_AppendName(&conn->call.headers, at, length) != HR_OK;
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
    HrH1Conn *conn = parser->data;

    return count_header_bytes(conn, length) != 0 ||
           HrHeaders_AppendValue(&conn->call.headers, at, length,
                                 at + length != conn->input_end) != HR_OK;
}

/* Returns true if a request whose head is complete has a body. */
static bool
has_body(const http_parser *parser)
{
    return (parser->flags & F_CHUNKED) != 0 ||
           (parser->content_length != UINT64_MAX &&
            parser->content_length > 0);
}

/* Fills in the call's method and target. Returns 0 or HR_ERR_NO_MEMORY. */
static int
fill_request_line(HrH1Conn *conn)
{
    int rc = HrBuffer_Append(&conn->target, "", 1);

    conn->call.method = http_method_str(conn->parser.method);
    conn->call.target = (const char *)HrBuffer_GetData(&conn->target);
    return rc;
}

/* States when the caller of a request that is refused because memory is short
 * should return, and counts the refusal. */
static void
record_shortage(HrH1Conn *conn)
{
    int64_t now_ns = HrLoop_NowNs(conn->server->loop);

    HrMemory_Count(conn->server->memory, HR_COUNTER_callers_over_memory);
    conn->call.retry_after_ns = MEMORY_RETRY_NS + now_ns % MEMORY_RETRY_NS;
}

/* Returns true if there is no room for a body of a known length, so that the
 * request would be refused while the body is being received. */
static bool
is_short_for_body(HrH1Conn *conn, uint64_t length)
{
    HrMemory *memory = conn->server->memory;

    if (length == UINT64_MAX || length <= SMALL_REQUEST_BYTES ||
        !HrMemory_IsShortWith(memory, (size_t)length)) {
        return false;
    }
    HrMemory_Reclaim(memory, HrLoop_NowNs(conn->server->loop));
    if (!HrMemory_IsShortWith(memory, (size_t)length)) {
        return false;
    }
    record_shortage(conn);
    return true;
}

static int
on_headers(http_parser *parser)
{
    static const char continue_answer[] = "HTTP/1.1 100 Continue\r\n\r\n";
    HrH1Conn *conn = parser->data;
    HrH1Server *server = conn->server;

    HrHeaders_EndHead(&conn->call.headers);
    conn->headers_complete = true;
    conn->progress_ns = HrLoop_NowNs(server->loop);
    if (fill_request_line(conn) != HR_OK) {
        return -1;
    }
    if (!HrHeaders_IsFramingKnown(&conn->call.headers)) {
        conn->refusal_status = 501;
        return -1;
    }
    if (server->head_fn != NULL && has_body(parser)) {
        conn->refusal_status = server->head_fn(server->arg, &conn->call);
    }
    if (conn->refusal_status == 0 && parser->content_length != UINT64_MAX &&
        parser->content_length > get_max_body_bytes(conn)) {
        conn->refusal_status = 413;
    }
    if (conn->refusal_status == 0 &&
        is_short_for_body(conn, parser->content_length)) {
        conn->refusal_status = 503;
    }
    if (conn->refusal_status != 0) {
        return -1;
    }
    if (HrHeaders_FindValue(&conn->call.headers, "expect") != NULL &&
        send(conn->fd, continue_answer, sizeof(continue_answer) - 1,
             MSG_NOSIGNAL) < 0) {
        return -1;
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    HrH1Conn *conn = parser->data;

    if (HrBuffer_GetLength(&conn->body) + length > get_max_body_bytes(conn)) {
        conn->refusal_status = 413;
        return 1;
    }
    return HrBuffer_Append(&conn->body, at, length) != HR_OK;
}

static int
on_complete(http_parser *parser)
{
    HrH1Conn *conn = parser->data;

    conn->message_complete = true;
    conn->keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return HrHeaders_MarkHopByHop(&conn->call.headers) != HR_OK;
}

static const http_parser_settings parser_settings = {
    .on_url = on_target,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* Answers a request that cannot be accepted with a status, and then closes the
 * connection. */
void
HrH1Conn_Refuse(HrH1Conn *conn, int status)
{
    HrH1Answer answer = {.status = status, .close = true};
    char retry_after[48];

    if (conn->call.retry_after_ns > 0) {
        answer.head.data = (const uint8_t *)retry_after;
        answer.head.length_bytes = (size_t)snprintf(
            retry_after, sizeof(retry_after), "Retry-After: %.3f\r\n",
            (double)conn->call.retry_after_ns / HR_NS_PER_S);
    }
    conn->server->open_calls++;
    conn->refusal_status = status;
    conn->call.method = NULL;
    HrHeaders_Reset(&conn->call.headers, true);
    HrBuffer_Release(&conn->target);
    HrBuffer_Release(&conn->body);
    send_answer(conn, &answer);
}

/* Refuses a request that is being received, or is about to be passed to the
 * receiver, if the budget is short for it even after memory was reclaimed.
 * Returns true if it was refused. */
static bool
refuse_if_short(HrH1Conn *conn)
{
    HrMemory *memory = conn->server->memory;
    bool small = conn->held_bytes <= SMALL_REQUEST_BYTES;

    if (!HrMemory_IsShort(memory, small)) {
        return false;
    }
    HrMemory_Reclaim(memory, HrLoop_NowNs(conn->server->loop));
    if (!HrMemory_IsShort(memory, small)) {
        return false;
    }
    record_shortage(conn);
    HrH1Conn_Refuse(conn, 503);
    return true;
}

/* Passes a complete request to the receiver. */
static void
dispatch_request(HrH1Conn *conn)
{
    HrH1Server *server = conn->server;

    server->open_calls++;
    conn->burst++;
    HrH1Conn_SetState(conn, HR_H1_CONN_ANSWERING);
    conn->call.body.data = HrBuffer_GetData(&conn->body);
    conn->call.body.length_bytes = HrBuffer_GetLength(&conn->body);
    conn->call.received_ns = conn->state_since_ns;
    if (conn->call.round_trip_ns == 0) {
        conn->call.round_trip_ns = HrSocket_GetRoundTripNs(conn->fd);
    }
    http_parser_init(&conn->parser, HTTP_REQUEST);
    server->call_fn(server->arg, &conn->call);
}

/* Counts bytes after which a head, or trailers, are not complete. Returns
 * false if there are too many, whatever they are. */
static bool
count_head_bytes(HrH1Conn *conn, size_t length)
{
    uint64_t limit_bytes =
        (uint64_t)get_max_header_bytes(conn) * HEAD_BYTES_FACTOR;

    conn->head_bytes += length;
    return conn->head_bytes <=
           (limit_bytes > HEAD_BYTES_MIN ? limit_bytes : HEAD_BYTES_MIN);
}

/* Parses bytes until a request is complete, and passes the request to the
 * receiver. Refuses a malformed one. Returns the number of bytes parsed. */
static size_t
parse_bytes(HrH1Conn *conn, const uint8_t *data, size_t length)
{
    size_t used;
    enum http_errno error;

    if (conn->state == HR_H1_CONN_IDLE) {
        HrH1Conn_SetState(conn, HR_H1_CONN_READING);
    }
    conn->input_end = (const char *)data + length;
    used = http_parser_execute(&conn->parser, &parser_settings,
                               (const char *)data, length);
    error = HTTP_PARSER_ERRNO(&conn->parser);
    conn->more_received = used < length;
    if (conn->parser.upgrade && conn->message_complete) {
        /* Protocol upgrades are not supported, and where the next request
         * would start is unknown. */
        conn->keep_alive = false;
    }
    if (conn->message_complete) {
        HrH1Conn_RecordMemory(conn);
        if (refuse_if_short(conn)) {
            return length;
        }
        dispatch_request(conn);
        return used;
    }
    if (error == HPE_OK &&
        (!conn->headers_complete || (conn->parser.flags & F_TRAILING) != 0) &&
        !count_head_bytes(conn, used)) {
        HrH1Conn_Refuse(conn, 431);
        return length;
    }
    if (error != HPE_OK) {
        HrH1Conn_Refuse(conn, conn->refusal_status != 0 ? conn->refusal_status
                                                        : 400);
        return length;
    }
    return used;
}

/* Returns true if a connection may parse its next request now. */
static bool
may_parse(const HrH1Conn *conn)
{
    return !conn->dead && !conn->yielded &&
           (conn->state == HR_H1_CONN_IDLE ||
            conn->state == HR_H1_CONN_READING);
}

/* Gives way to other connections after BURST_REQUESTS requests. The remaining
 * bytes count as a request that is being received. */
static void
yield_if_due(HrH1Conn *conn)
{
    HrH1Server *server = conn->server;

    if (!may_parse(conn) || conn->burst < BURST_REQUESTS) {
        return;
    }
    HrH1Conn_SetState(conn, HR_H1_CONN_READING);
    conn->yielded = true;
    TAILQ_INSERT_TAIL(&server->yielded, conn, yielded_entry);
    HrLoop_SetTimer(server->loop, server->yield_timer,
                    HrLoop_NowNs(server->loop));
}

/* Parses the bytes that were buffered while a request was being answered,
 * until one of their requests waits for its answer. */
static void
parse_pending(HrH1Conn *conn)
{
    conn->is_parsing = true;
    while (may_parse(conn) && HrBuffer_GetLength(&conn->pending) > 0) {
        size_t used = parse_bytes(conn, HrBuffer_GetData(&conn->pending),
                                  HrBuffer_GetLength(&conn->pending));

        HrBuffer_Consume(&conn->pending, used);
        if (HrBuffer_GetLength(&conn->pending) > 0) {
            yield_if_due(conn);
        }
    }
    conn->is_parsing = false;
    HrH1Conn_RecordMemory(conn);
}

/* Continues with the requests of a connection that has yielded. */
void
HrH1Conn_Resume(HrH1Conn *conn)
{
    conn->yielded = false;
    conn->burst = 0;
    HrLoop_SetEvents(conn->server->loop, conn->watch, HR_LOOP_READ);
    parse_pending(conn);
}

/* Reads and parses bytes from the caller. Returns false if there is nothing
 * more to read for now. */
static bool
read_input(HrH1Conn *conn)
{
    static _Thread_local uint8_t bytes[READ_BYTES];
    ssize_t got = recv(conn->fd, bytes, sizeof(bytes), 0);
    size_t used = 0;

    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    if (got <= 0) {
        HrH1Conn_Close(conn);
        return false;
    }
    if (conn->state == HR_H1_CONN_LINGERING) {
        return false;
    }
    record_transfer(conn, (size_t)got);
    conn->is_parsing = true;
    while (may_parse(conn) && used < (size_t)got &&
           HrBuffer_GetLength(&conn->pending) == 0) {
        used += parse_bytes(conn, bytes + used, (size_t)got - used);
        if (used < (size_t)got) {
            yield_if_due(conn);
        }
    }
    conn->is_parsing = false;
    if (!conn->dead && used < (size_t)got) {
        if (HrBuffer_Append(&conn->pending, bytes + used,
                            (size_t)got - used) != HR_OK) {
            HrH1Conn_Close(conn);
            return false;
        }
        if (HrBuffer_GetLength(&conn->pending) > PIPELINE_MAX_BYTES) {
            HrLoop_SetEvents(conn->server->loop, conn->watch, 0);
            HrH1Conn_RecordMemory(conn);
            return false;
        }
    }
    HrH1Conn_RecordMemory(conn);
    if (may_parse(conn) && conn->state == HR_H1_CONN_READING) {
        refuse_if_short(conn);
    }
    return (size_t)got == sizeof(bytes);
}

/* Handles events of a connection: readable, writable or failed. */
void
HrH1Conn_HandleEvents(void *arg, int fd, uint32_t events)
{
    HrH1Conn *conn = arg;

    (void)fd;
    if (conn->reclaimed) {
        return;
    }
    if (!conn->yielded) {
        conn->burst = 0;
    }
    if ((events & HR_LOOP_ERROR) != 0) {
        HrH1Conn_Close(conn);
        return;
    }
    if ((events & HR_LOOP_WRITE) != 0 && conn->state == HR_H1_CONN_WRITING) {
        flush_output(conn);
    }
    while (!conn->dead && (events & HR_LOOP_READ) != 0 &&
           conn->state != HR_H1_CONN_WRITING && read_input(conn)) {
    }
}
