#include "trans-h1-client-int.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* Idle connections are closed this long before their server would close them,
 * so that no request is sent on a connection that is being closed. */
#define KEEP_ALIVE_MARGIN_NS (600 * HR_NS_PER_MS)

/* Limit of all bytes that are received for one request: as much framing as
 * body (short chunks), and some header lines, informational answers and late
 * answers to earlier requests. A server that sends more is sending without
 * end. */
#define ANSWER_BYTES_FACTOR 2
#define ANSWER_EXTRA_BYTES ((uint64_t)256 * 1024)

/* Limit of all bytes of the head of an answer, and of its trailers. */
#define HEAD_MAX_BYTES ((size_t)80 * 1024)

/* An answer of no more than this is received even if the requests of callers
 * have used up the budget of the process. */
#define SMALL_ANSWER_BYTES ((size_t)16 * 1024)

/* A server that has sent nothing for this time in the middle of an answer has
 * stopped, if other answers wait for the memory. */
#define STOPPED_NS (500 * HR_NS_PER_MS)

/* Returns for how long a connection may stay idle: the configured time, or
 * less if the Keep-Alive header of the answer states that the server closes
 * the connection earlier. */
static int64_t
get_idle_limit_ns(const HrH1ClientConn *conn)
{
    int64_t limit_ns = conn->target->client->config.idle_ns;
    const char *value = HrHeaders_FindValue(&conn->headers, "keep-alive");
    const char *timeout = value != NULL ? strcasestr(value, "timeout=") : NULL;
    long long stated_s;
    int64_t stated_ns;

    if (timeout == NULL) {
        return limit_ns;
    }
    stated_s = strtoll(timeout + strlen("timeout="), NULL, 10);
    if (stated_s > limit_ns / HR_NS_PER_S + 1) {
        return limit_ns;
    }
    stated_ns =
        stated_s <= 0 ? 0 : stated_s * HR_NS_PER_S - KEEP_ALIVE_MARGIN_NS;
    return stated_ns < limit_ns ? stated_ns : limit_ns;
}

/* Adds a connection to the idle ones of its target, available for further
 * requests for idle_ns. */
static void
make_conn_idle(HrH1ClientConn *conn, int64_t idle_ns)
{
    HrH1Target *target = conn->target;
    int64_t now_ns = HrLoop_NowNs(target->client->loop);

    conn->deadline_ns = now_ns + idle_ns;
    conn->idle_since_ns = now_ns;
    conn->state = HR_H1_CLIENT_CONN_IDLE;
    conn->fresh = false;
    HrBuffer_FreeIfEmpty(&conn->out);
    TAILQ_REMOVE(&target->busy, conn, entry);
    TAILQ_INSERT_HEAD(&target->idle, conn, entry);
    target->idle_count++;
}

/* Passes a complete answer to the receiver. Before that, the connection is
 * made idle if reuse is true, so that the receiver can send its next request
 * on it, and closed otherwise. The answer is moved to memory of its own, as
 * the next request resets the buffers of the connection. */
static void
deliver_answer(HrH1ClientConn *conn, bool reuse)
{
    void *answer_memory = talloc_new(NULL);
    HrHeaders headers = conn->headers;
    HrH1Result result = {.outcome = HR_H1_ANSWERED,
                         .status = conn->parser.status_code,
                         .headers = &headers,
                         .body = {HrBuffer_GetData(&conn->body),
                                  HrBuffer_GetLength(&conn->body)},
                         .fresh = conn->fresh,
                         .closing = !http_should_keep_alive(&conn->parser)};
    HrH1ResultFn *fn = conn->fn;
    void *arg = conn->arg;
    int64_t idle_ns = get_idle_limit_ns(conn);

    talloc_steal(answer_memory, headers.text);
    talloc_steal(answer_memory, headers.spans);
    talloc_steal(answer_memory, conn->body.data);
    HrHeaders_Init(&conn->headers, conn);
    HrBuffer_Init(&conn->body, conn);
    HrH1ClientConn_ReleaseBuffered(conn);
    conn->fn = NULL;
    if (reuse) {
        make_conn_idle(conn, idle_ns);
    }
    else {
        HrH1ClientConn_Close(conn);
    }
    if (fn != NULL) {
        fn(arg, &result);
    }
    talloc_free(answer_memory);
}

/* Returns the connection with the largest incomplete answer, or NULL. */
static HrH1ClientConn *
find_largest_answer(const HrH1Client *client)
{
    const HrH1Target *target;
    HrH1ClientConn *conn, *largest = NULL;

    for (target = TAILQ_FIRST(&client->targets); target != NULL;
         target = TAILQ_NEXT(target, entry)) {
        for (conn = TAILQ_FIRST(&target->busy); conn != NULL;
             conn = TAILQ_NEXT(conn, entry)) {
            if (largest == NULL ||
                conn->buffered_bytes > largest->buffered_bytes) {
                largest = conn;
            }
        }
    }
    return largest;
}

/* Returns true if more bytes of answers exceed the limit of the client, or the
 * budget of the process. */
static bool
is_limit_exceeded(const HrH1Client *client, size_t length)
{
    size_t limit_bytes = client->config.max_buffered_bytes;

    return (limit_bytes > 0 &&
            client->buffered_bytes + length > limit_bytes) ||
           HrMemory_IsExceededBy(client->config.memory, length);
}

/* Returns true if an answer is received although the budget of the process is
 * exceeded, because it is small and within the limit of the client. */
static bool
is_small_enough(const HrH1ClientConn *conn, size_t length)
{
    const HrH1Client *client = conn->target->client;
    size_t limit_bytes = client->config.max_buffered_bytes;

    return conn->buffered_bytes + length <= SMALL_ANSWER_BYTES &&
           limit_bytes > 0 && client->buffered_bytes + length <= limit_bytes;
}

/* Counts bytes of an answer that are kept. If all incomplete answers exceed
 * their limit, the largest ones are given up, by the next sweep, so that
 * answers of other servers can be received. Returns false if that is this
 * answer. */
static bool
reserve_buffered(HrH1ClientConn *conn, size_t length)
{
    HrH1Client *client = conn->target->client;
    HrMemory *memory = client->config.memory;

    if (conn->reserved_bytes >= length) {
        conn->reserved_bytes -= length;
        return !conn->answer_too_large;
    }
    if (HrMemory_IsExceededBy(memory, length)) {
        HrMemory_Reclaim(memory, HrLoop_NowNs(client->loop));
    }
    while (is_limit_exceeded(client, length)) {
        HrH1ClientConn *largest = find_largest_answer(client);

        if (largest == NULL ||
            largest->buffered_bytes <= conn->buffered_bytes + length) {
            if (is_small_enough(conn, length)) {
                break;
            }
            conn->answer_too_large = true;
            return false;
        }
        HrH1ClientConn_DropAnswer(largest);
        largest->answer_too_large = true;
        largest->deadline_ns = HrLoop_NowNs(client->loop);
    }
    conn->buffered_bytes += length;
    client->buffered_bytes += length;
    HrMemory_Add(memory, length);
    return !conn->answer_too_large;
}

/* Returns true if there is room for the body of an answer. Large answers leave
 * a quarter of the budget to small requests. */
static bool
has_room(const HrH1Client *client, size_t length)
{
    size_t limit_bytes = client->config.max_buffered_bytes;

    return (limit_bytes == 0 ||
            client->buffered_bytes + length <= limit_bytes) &&
           !HrMemory_IsShortWith(client->config.memory, length);
}

/* Records the memory for a body before it is received. */
static void
reserve_body(HrH1ClientConn *conn, size_t length)
{
    HrH1Client *client = conn->target->client;

    conn->buffered_bytes += length;
    conn->reserved_bytes += length;
    client->buffered_bytes += length;
    HrMemory_Add(client->config.memory, length);
}

/* Reserves memory for the body of an answer, or has the connection wait. */
void
HrH1ClientConn_ReserveBody(HrH1ClientConn *conn, size_t length)
{
    HrH1Client *client = conn->target->client;

    if (client->config.memory == NULL || length <= SMALL_ANSWER_BYTES) {
        return;
    }
    HrMemory_Reclaim(client->config.memory, HrLoop_NowNs(client->loop));
    if (TAILQ_EMPTY(&client->waiting) && has_room(client, length)) {
        reserve_body(conn, length);
        return;
    }
    conn->waiting = true;
    TAILQ_INSERT_TAIL(&client->waiting, conn, waiting_entry);
    HrH1ClientConn_Watch(conn);
}

/* Returns the largest answer with reserved memory whose server has stopped
 * sending, or NULL. */
static HrH1ClientConn *
find_stopped_answer(const HrH1Client *client, int64_t now_ns)
{
    const HrH1Target *target;
    HrH1ClientConn *conn, *largest = NULL;

    for (target = TAILQ_FIRST(&client->targets); target != NULL;
         target = TAILQ_NEXT(target, entry)) {
        for (conn = TAILQ_FIRST(&target->busy); conn != NULL;
             conn = TAILQ_NEXT(conn, entry)) {
            if (conn->reserved_bytes > 0 && !conn->answer_too_large &&
                now_ns - conn->received_ns > STOPPED_NS &&
                (largest == NULL ||
                 conn->buffered_bytes > largest->buffered_bytes)) {
                largest = conn;
            }
        }
    }
    return largest;
}

/* Lets waiting connections continue as far as there is room. */
void
HrH1Client_ContinueWaiting(HrH1Client *client, int64_t now_ns)
{
    HrH1ClientConn *conn;

    if (TAILQ_EMPTY(&client->waiting)) {
        return;
    }
    HrMemory_Reclaim(client->config.memory, now_ns);
    while ((conn = TAILQ_FIRST(&client->waiting)) != NULL &&
           has_room(client, (size_t)conn->parser.content_length)) {
        conn->waiting = false;
        TAILQ_REMOVE(&client->waiting, conn, waiting_entry);
        conn->received_ns = now_ns;
        reserve_body(conn, (size_t)conn->parser.content_length);
        HrH1ClientConn_Watch(conn);
    }
    conn = conn != NULL ? find_stopped_answer(client, now_ns) : NULL;
    if (conn != NULL) {
        HrH1ClientConn_DropAnswer(conn);
        conn->answer_too_large = true;
        conn->deadline_ns = now_ns;
    }
}

/* Callbacks of the parser. A result other than 0 stops the parser, except that
 * 1 from on_headers means that the answer has no body. */
static int
on_name(http_parser *parser, const char *at, size_t length)
{
    HrH1ClientConn *conn = parser->data;

    return !reserve_buffered(conn, length + sizeof(HrHeaderSpan)) ||
           HrHeaders_AppendName(&conn->headers, at, length) != HR_OK;
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
    HrH1ClientConn *conn = parser->data;

    return !reserve_buffered(conn, length) ||
           HrHeaders_AppendValue(&conn->headers, at, length,
                                 at + length != conn->input_end) != HR_OK;
}

/* Returns true if an answer may be a late one to an earlier request: it has no
 * id, and the connection has had such a request. */
static bool
is_of_unknown_request(const HrH1ClientConn *conn, const char *echo)
{
    return echo == NULL && !conn->fresh && conn->parser.status_code / 100 != 1;
}

/* Returns true if an answer states the ids of two requests. */
static bool
has_two_ids(const HrHeaders *headers, const char *name)
{
    const char *first = HrHeaders_FindValue(headers, name);
    uint32_t i;

    for (i = 0; first != NULL && i < headers->count; i++) {
        if (strcasecmp(HrHeaders_GetName(headers, i), name) == 0 &&
            strcmp(HrHeaders_GetValue(headers, i), first) != 0) {
            return true;
        }
    }
    return false;
}

/* Returns true if a header line has a space in its name, as before the colon,
 * which the parser accepts. Whether the line was meant and how the body is
 * framed is not certain then. */
static bool
has_malformed_name(const HrHeaders *headers)
{
    uint32_t i;

    for (i = 0; i < headers->count; i++) {
        if (strchr(HrHeaders_GetName(headers, i), ' ') != NULL) {
            return true;
        }
    }
    return false;
}

/* Returns true if HTTP defines the status for an answer to this client, which
 * never requests the change of protocols that status 101 announces. A status
 * such as 000 comes from a server in trouble and says nothing about the
 * request. */
static bool
is_defined_status(unsigned int status)
{
    return status >= 100 && status < 600 && status != 101;
}

/* Returns true if the answer ends with its head, whatever length it states. */
static bool
is_without_body(const HrH1ClientConn *conn)
{
    return conn->is_head ||
           HrHttp_IsStatusWithoutBody((int)conn->parser.status_code);
}

static int
on_headers(http_parser *parser)
{
    HrH1ClientConn *conn = parser->data;
    const HrH1ClientConfig *config = &conn->target->client->config;
    bool has_body = !is_without_body(conn);

    HrHeaders_EndHead(&conn->headers);
    if (parser->http_major != 1 || !is_defined_status(parser->status_code) ||
        has_malformed_name(&conn->headers) ||
        !HrHeaders_IsFramingKnown(&conn->headers)) {
        return -1;
    }
    if (config->echo_header != NULL && conn->echo != NULL) {
        const char *echo =
            HrHeaders_FindValue(&conn->headers, config->echo_header);

        if (is_of_unknown_request(conn, echo) ||
            has_two_ids(&conn->headers, config->echo_header)) {
            return -1;
        }
        if (echo != NULL && strcmp(echo, conn->echo) != 0) {
            conn->skipping_answer = true;
            conn->close_after_answer = true;
        }
    }
    if (has_body && parser->content_length != UINT64_MAX &&
        parser->content_length > config->max_answer_bytes) {
        conn->answer_too_large = true;
        return -1;
    }
    if (has_body && !conn->skipping_answer &&
        parser->content_length != UINT64_MAX) {
        HrH1ClientConn_ReserveBody(conn, (size_t)parser->content_length);
    }
    conn->head_complete = true;
    conn->head_bytes = 0;
    conn->at_head_end = true;
    http_parser_pause(parser, 1);
    return has_body ? 0 : 1;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    HrH1ClientConn *conn = parser->data;

    if (conn->skipping_answer) {
        return 0;
    }
    if (HrBuffer_GetLength(&conn->body) + length >
        conn->target->client->config.max_answer_bytes) {
        conn->answer_too_large = true;
        return 1;
    }
    return !reserve_buffered(conn, length) ||
           HrBuffer_Append(&conn->body, at, length) != HR_OK;
}

/* Counts received bytes. Returns false if the server has sent too many for one
 * answer. */
static bool
count_answer_bytes(HrH1ClientConn *conn, size_t length)
{
    uint64_t limit_bytes =
        (uint64_t)conn->target->client->config.max_answer_bytes *
            ANSWER_BYTES_FACTOR +
        ANSWER_EXTRA_BYTES;

    conn->answer_bytes += length;
    return conn->answer_bytes <= limit_bytes;
}

static int
on_complete(http_parser *parser)
{
    HrH1ClientConn *conn = parser->data;

    if (conn->skipping_answer || parser->status_code / 100 == 1) {
        conn->skipping_answer = false;
        conn->answer_started = false;
        conn->head_complete = false;
        conn->head_bytes = 0;
        HrH1ClientConn_ReleaseBuffered(conn);
        HrHeaders_Reset(&conn->headers, false);
        return 0;
    }
    conn->answer_complete = true;
    http_parser_pause(parser, 1);
    return HrHeaders_MarkHopByHop(&conn->headers) != HR_OK;
}

/* Stops the parser behind the line of a chunk's size, and behind the line end
 * that follows its data, since it takes any bytes for a line end. */
static int
on_chunk_header(http_parser *parser)
{
    HrH1ClientConn *conn = parser->data;

    conn->at_line_end = true;
    http_parser_pause(parser, 1);
    return 0;
}

static int
on_chunk_complete(http_parser *parser)
{
    /* The end of the trailers is the end of the answer. */
    return (parser->flags & F_TRAILING) != 0 ? 0 : on_chunk_header(parser);
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
    .on_chunk_header = on_chunk_header,
    .on_chunk_complete = on_chunk_complete,
};

/* Returns true if the parser has stopped at a line end, and the bytes there
 * are one; used is the number of bytes parsed. */
static bool
is_at_line_end(const HrH1ClientConn *conn, const uint8_t *data, size_t used)
{
    if (conn->at_head_end) {
        return data[used] == '\n';
    }
    return conn->at_line_end && data[used - 1] == '\n' &&
           (used > 1 ? data[used - 2] : conn->last_byte) == '\r';
}

/* Parses bytes until an answer is complete or malformed, and returns the
 * number parsed. The parser takes any byte for a line feed at the end of the
 * head, in the lines of chunks and behind the last chunk. */
static size_t
parse_bytes(HrH1ClientConn *conn, const uint8_t *data, size_t length)
{
    http_parser *parser = &conn->parser;
    size_t used = 0;

    conn->input_end = (const char *)data + length;
    do {
        conn->at_head_end = conn->at_line_end = false;
        used += http_parser_execute(parser, &parser_settings,
                                    (const char *)data + used, length - used);
        if (!is_at_line_end(conn, data, used)) {
            break;
        }
        http_parser_pause(parser, 0);
    } while (used < length);
    if (conn->answer_complete && (parser->flags & F_CHUNKED) != 0 &&
        data[used - 1] != '\n') {
        conn->answer_complete = false;
    }
    if (length > 0) {
        conn->last_byte = data[length - 1];
    }
    return used;
}

/* Counts bytes after which a head, or trailers, are not complete. Returns
 * false if there are too many. */
static bool
count_head_bytes(HrH1ClientConn *conn, size_t length)
{
    if (conn->head_complete && (conn->parser.flags & F_TRAILING) == 0) {
        return true;
    }
    conn->head_bytes += length;
    return conn->head_bytes <= HEAD_MAX_BYTES;
}

/* Parses received bytes of an answer. A length of 0 means that the server
 * closed the connection. */
void
HrH1ClientConn_ParseAnswer(HrH1ClientConn *conn, const uint8_t *data,
                           size_t length)
{
    size_t used;
    bool at_end = length == 0;

    conn->answer_started = conn->answer_started || length > 0;
    if (conn->answer_too_large || !count_answer_bytes(conn, length)) {
        conn->answer_started = true;
        HrH1ClientConn_FailRequest(conn);
        return;
    }
    used = parse_bytes(conn, data, length);
    if (conn->answer_complete) {
        bool reuse = !at_end && used == length && !conn->close_after_answer &&
                     !HrH1ClientConn_HasUnsent(conn) &&
                     http_should_keep_alive(&conn->parser);

        deliver_answer(conn, reuse);
        return;
    }
    if (at_end || HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK ||
        !count_head_bytes(conn, length)) {
        HrH1ClientConn_FailRequest(conn);
    }
}
