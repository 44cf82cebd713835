#include "common-http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MAX_BODY_BYTES (4u << 20)
#define THREAD_STACK_BYTES (256u << 10)

/* The handler of a listener and its argument. */
typedef struct Listener {
    FakeHandler handler;
    void *context;
} Listener;

/* The body of a request while it is being received. */
typedef struct Upload {
    char *body;
    size_t length_bytes;
} Upload;

/* A reply body of which only the first half is sent. */
typedef struct HalfBody {
    char *body;
    size_t length_bytes;
} HalfBody;

/* Appends data to the request body. Returns false if the body exceeds
 * MAX_BODY_BYTES or when memory runs out. */
static bool
append_upload(Upload *upload, const char *data, size_t length_bytes)
{
    char *body;

    if (upload->length_bytes + length_bytes > MAX_BODY_BYTES) {
        return false;
    }
    body = realloc(upload->body, upload->length_bytes + length_bytes + 1);
    if (body == NULL) {
        return false;
    }
    memcpy(body + upload->length_bytes, data, length_bytes);
    upload->body = body;
    upload->length_bytes += length_bytes;
    body[upload->length_bytes] = '\0';
    return true;
}

/* Returns the first half of a body, and then an error, which makes the
 * listener close the connection. */
static ssize_t
read_half_body(void *context, uint64_t position, char *buffer, size_t max)
{
    HalfBody *half = context;
    size_t end = half->length_bytes / 2, left;

    if (position >= end) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    left = end - position;
    if (left > max) {
        left = max;
    }
    memcpy(buffer, half->body + position, left);
    return (ssize_t)left;
}

static void
free_half_body(void *context)
{
    HalfBody *half = context;

    free(half->body);
    free(half);
}

/* Creates the response for a reply, which then owns the body. Returns NULL
 * when memory runs out. */
static struct MHD_Response *
create_response(FakeReply *reply)
{
    HalfBody *half;

    if (reply->kind != FAKE_REPLY_TRUNCATE) {
        return MHD_create_response_from_buffer(
            reply->body_bytes, reply->body == NULL ? "" : reply->body,
            reply->body == NULL ? MHD_RESPMEM_PERSISTENT
                                : MHD_RESPMEM_MUST_FREE);
    }
    half = malloc(sizeof(*half));
    if (half == NULL) {
        return NULL;
    }
    half->body = reply->body;
    half->length_bytes = reply->body_bytes;
    return MHD_create_response_from_callback(
        reply->body_bytes, 4096, read_half_body, half, free_half_body);
}

/* Queues a reply for sending. Returns MHD_NO if the connection must be closed
 * instead. */
static enum MHD_Result
queue_reply(struct MHD_Connection *connection, FakeReply *reply)
{
    struct MHD_Response *response;
    enum MHD_Result result;
    char number[32];

    if (reply->kind == FAKE_REPLY_DROP) {
        free(reply->body);
        return MHD_NO;
    }
    response = create_response(reply);
    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, "Content-Type", "application/json");
    if (reply->has_revision) {
        snprintf(number, sizeof(number), "%llu",
                 (unsigned long long)reply->revision);
        MHD_add_response_header(response, "X-Revision", number);
    }
    result = MHD_queue_response(connection, reply->status, response);
    MHD_destroy_response(response);
    return result;
}

/* Receives the body of a request and then calls the listener's handler.
 * libmicrohttpd calls this once for the headers, once for each piece of the
 * body and once at the end. */
static enum MHD_Result
handle_request(void *context, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *data, size_t *data_bytes, void **state)
{
    Listener *listener = context;
    Upload *upload = *state;
    FakeRequest request = {
        .connection = connection, .method = method, .path = url};
    FakeReply reply = {.kind = FAKE_REPLY_SEND, .status = MHD_HTTP_OK};

    (void)version;
    if (upload == NULL) {
        *state = calloc(1, sizeof(Upload));
        return *state == NULL ? MHD_NO : MHD_YES;
    }
    if (*data_bytes > 0) {
        bool fits = append_upload(upload, data, *data_bytes);

        *data_bytes = 0;
        return fits ? MHD_YES : MHD_NO;
    }
    request.body = upload->body == NULL ? "" : upload->body;
    request.body_bytes = upload->length_bytes;
    listener->handler(listener->context, &request, &reply);
    return queue_reply(connection, &reply);
}

/* Frees the body of a finished request. */
static void
free_upload(void *context, struct MHD_Connection *connection, void **state,
            enum MHD_RequestTerminationCode code)
{
    Upload *upload = *state;

    (void)context;
    (void)connection;
    (void)code;
    if (upload != NULL) {
        free(upload->body);
        free(upload);
        *state = NULL;
    }
}

/* Starts a listener on 127.0.0.1 with one thread per connection. */
struct MHD_Daemon *
FakeHttp_StartListener(uint16_t port, uint32_t connection_limit,
                       FakeHandler handler, void *context)
{
    Listener *listener = malloc(sizeof(*listener));
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct MHD_Daemon *daemon = NULL;

    if (listener != NULL) {
        listener->handler = handler;
        listener->context = context;
        daemon = MHD_start_daemon(
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
                MHD_USE_POLL,
            port, NULL, NULL, handle_request, listener, MHD_OPTION_SOCK_ADDR,
            (struct sockaddr *)&address, MHD_OPTION_CONNECTION_LIMIT,
            connection_limit, MHD_OPTION_THREAD_STACK_SIZE,
            (size_t)THREAD_STACK_BYTES, MHD_OPTION_NOTIFY_COMPLETED,
            free_upload, NULL, MHD_OPTION_END);
    }
    if (daemon == NULL) {
        fprintf(stderr, "cannot listen on 127.0.0.1:%u; choose another port\n",
                port);
        exit(EXIT_FAILURE);
    }
    return daemon;
}

/* Returns a parameter of the URL, or NULL if it is absent. */
const char *
FakeHttp_GetParam(const FakeRequest *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

/* Returns a parameter of the URL as a number, or fallback if it is absent. */
int64_t
FakeHttp_GetParamNumber(const FakeRequest *request, const char *name,
                        int64_t fallback)
{
    const char *text = FakeHttp_GetParam(request, name);

    return text == NULL ? fallback : strtoll(text, NULL, 10);
}

/* Returns the value of a header, or NULL if it is absent. */
const char *
FakeHttp_GetHeader(const FakeRequest *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

/* Sets the status of a reply, and its body to a copy of a text. */
void
FakeReply_SetText(FakeReply *reply, unsigned int status, const char *text)
{
    reply->status = status;
    reply->body = strdup(text);
    reply->body_bytes = reply->body == NULL ? 0 : strlen(text);
}

/* Sleeps for a duration; a signal does not shorten it. */
void
FakeHttp_Sleep(int64_t duration_ns)
{
    struct timespec left = {.tv_sec = duration_ns / 1000000000,
                            .tv_nsec = duration_ns % 1000000000};

    while (duration_ns > 0 && nanosleep(&left, &left) != 0) {
        continue;
    }
}

/* Blocks SIGTERM and SIGINT in this thread and those that it starts later, and
 * ignores SIGPIPE. */
void
FakeHttp_BlockSignals(void)
{
    sigset_t set;

    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* Waits for SIGTERM or SIGINT. */
void
FakeHttp_WaitForStopSignal(void)
{
    sigset_t set;
    int number = 0;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigwait(&set, &number);
}
