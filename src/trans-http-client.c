#include "trans-http-client.h"

#include <bsd/sys/queue.h>
#include <curl/curl.h>
#include <pthread.h>
#include <string.h>
#include <talloc.h>

/* Limit of all header lines of an answer, with those of informational answers
 * and trailers: curl keeps them until the call ends. */
#define HEADER_LINES_MAX_BYTES ((size_t)64 * 1024)

/* Limit of the idle curl handles that a client retains for later calls. */
#define SPARE_HANDLES_MAX 64

struct HrHttpCall {
    TAILQ_ENTRY(HrHttpCall) entry;
    HrHttpClient *client;
    CURL *easy;
    struct curl_slist *headers;
    uint8_t *body;
    uint8_t *answer;
    size_t answer_bytes;
    size_t answer_capacity;
    bool too_large;
    size_t header_bytes;
    bool head_complete; /* the empty line after the header was received */
    HrHttpAnswerFn *fn;
    void *arg;
};

TAILQ_HEAD(CallList, HrHttpCall);

struct HrHttpClient {
    HrLoop *loop;
    HrLoopTimer *timer;
    CURLM *multi;
    HrHttpClientConfig config;
    struct CallList calls;
    CURL *spare[SPARE_HANDLES_MAX]; /* already reset */
    uint32_t spare_count;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

/* Initializes the curl library, which must happen once in a process, before
 * any thread uses it. */
static void
init_curl(void)
{
    curl_global_init(CURL_GLOBAL_NOTHING);
}

/* Returns a handle with default options and without results of an earlier
 * transfer, or NULL. */
static CURL *
acquire_handle(HrHttpClient *client)
{
    return client->spare_count > 0 ? client->spare[--client->spare_count]
                                   : curl_easy_init();
}

/* Retains a handle for a later call, or frees it if there are enough. The
 * reset also clears the results of the transfer, because
 * HrHttpCall_MayHaveSentRequest may read them before the next transfer starts.
 */
static void
release_handle(HrHttpClient *client, CURL *easy)
{
    if (client->spare_count == SPARE_HANDLES_MAX) {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    client->spare[client->spare_count++] = easy;
}

/* Removes a call from its client, and frees it with all that it owns. */
static void
free_call(HrHttpCall *call)
{
    TAILQ_REMOVE(&call->client->calls, call, entry);
    curl_multi_remove_handle(call->client->multi, call->easy);
    release_handle(call->client, call->easy);
    curl_slist_free_all(call->headers);
    talloc_free(call);
}

/* Converts a curl result to an HrError kind. */
static int
convert_curl_result(const HrHttpCall *call, CURLcode result)
{
    if (call->too_large) {
        return HR_ERR_TOO_LARGE;
    }
    switch (result) {
    case CURLE_OK:
        /* curl reports success if the server closes the connection within the
         * header. */
        return call->head_complete ? HR_OK : HR_ERR_PROTOCOL;
    case CURLE_OPERATION_TIMEDOUT:
        return HR_ERR_TIMEOUT;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return HR_ERR_UNAVAILABLE;
    case CURLE_OUT_OF_MEMORY:
        return HR_ERR_NO_MEMORY;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_PARTIAL_FILE:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return HR_ERR_PROTOCOL;
    default:
        return HR_ERR_CLOSED;
    }
}

/* Returns true if any byte of the request may have been sent. curl counts the
 * bytes of the request that it has passed to the socket. */
bool
HrHttpCall_MayHaveSentRequest(const HrHttpCall *call)
{
    long sent_bytes = 0;

    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    return sent_bytes > 0;
}

/* Returns the result of a call that has ended. */
static HrHttpAnswer
build_answer(HrHttpCall *call, CURLcode result)
{
    HrHttpAnswer answer = {.error = convert_curl_result(call, result),
                           .maybe_sent = HrHttpCall_MayHaveSentRequest(call),
                           .call = call};
    long status = 0, connects = 0;
    curl_off_t connect_us = 0;

    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(call->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
    answer.status = (int)status;
    answer.reused = answer.maybe_sent && connects == 0;
    answer.connect_ns = answer.reused ? 0 : connect_us * HR_NS_PER_US;
    answer.body.data = call->answer;
    answer.body.length_bytes = call->answer_bytes;
    return answer;
}

/* Calls the functions of the calls that have ended, and frees the calls. */
static void
deliver_answers(HrHttpClient *client)
{
    CURLMsg *message;
    int pending_count;

    while ((message = curl_multi_info_read(client->multi, &pending_count)) !=
           NULL) {
        HrHttpCall *call = NULL;
        CURLcode result = message->data.result;
        HrHttpAnswer answer;

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                          (char **)&call);
        answer = build_answer(call, result);
        call->fn(call->arg, &answer);
        free_call(call);
    }
}

/* Passes the events of a socket to curl, and delivers the answers of the calls
 * that ended. */
static void
handle_socket(void *arg, int fd, uint32_t events)
{
    HrHttpClient *client = arg;
    int running, mask = 0;

    mask |= (events & HR_LOOP_READ) != 0 ? CURL_CSELECT_IN : 0;
    mask |= (events & HR_LOOP_WRITE) != 0 ? CURL_CSELECT_OUT : 0;
    mask |= (events & HR_LOOP_ERROR) != 0 ? CURL_CSELECT_ERR : 0;
    curl_multi_socket_action(client->multi, fd, mask, &running);
    deliver_answers(client);
}

/* Lets curl process its timeouts, and delivers the answers of the calls that
 * ended. */
static void
handle_timer(void *arg)
{
    HrHttpClient *client = arg;
    int running;

    curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    deliver_answers(client);
}

/* Called by curl to change the events that the loop watches on a socket, or to
 * stop watching it. curl stores the HrLoopFd with the socket and passes it as
 * watch. */
static int
watch_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *watch)
{
    HrHttpClient *client = arg;
    uint32_t events = 0;

    (void)easy;
    if (what == CURL_POLL_REMOVE) {
        HrLoop_RemoveFd(client->loop, watch);
        curl_multi_assign(client->multi, fd, NULL);
        return 0;
    }
    events |= (what & CURL_POLL_IN) != 0 ? HR_LOOP_READ : 0;
    events |= (what & CURL_POLL_OUT) != 0 ? HR_LOOP_WRITE : 0;
    if (watch != NULL) {
        HrLoop_SetEvents(client->loop, watch, events);
        return 0;
    }
    watch = HrLoop_AddFd(client->loop, fd, events, handle_socket, client);
    curl_multi_assign(client->multi, fd, watch);
    return watch != NULL ? 0 : -1;
}

/* Called by curl to set its timer; a negative wait disarms it. */
static int
schedule_timer(CURLM *multi, long wait_ms, void *arg)
{
    HrHttpClient *client = arg;

    (void)multi;
    HrLoop_SetTimer(client->loop, client->timer,
                    wait_ms < 0
                        ? HR_TIME_NEVER
                        : HrLoop_NowNs(client->loop) + wait_ms * HR_NS_PER_MS);
    return 0;
}

/* Cancels all calls of a client that is being freed. */
static int
destroy_client(HrHttpClient *client)
{
    HrHttpCall *call;

    while ((call = TAILQ_FIRST(&client->calls)) != NULL) {
        free_call(call);
    }
    while (client->spare_count > 0) {
        curl_easy_cleanup(client->spare[--client->spare_count]);
    }
    curl_multi_cleanup(client->multi);
    HrLoop_RemoveTimer(client->loop, client->timer);
    return 0;
}

/* Creates a client; the loop must outlive it. */
HrHttpClient *
HrHttpClient_Create(const void *parent, HrLoop *loop,
                    const HrHttpClientConfig *config)
{
    HrHttpClient *client = talloc_zero(parent, HrHttpClient);

    pthread_once(&curl_once, init_curl);
    if (client == NULL) {
        return NULL;
    }
    client->loop = loop;
    client->config = *config;
    TAILQ_INIT(&client->calls);
    client->multi = curl_multi_init();
    client->timer = HrLoop_AddTimer(loop, handle_timer, client);
    if (client->multi == NULL || client->timer == NULL) {
        curl_multi_cleanup(client->multi);
        talloc_free(client);
        return NULL;
    }
    talloc_set_destructor(client, destroy_client);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, schedule_timer);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      (long)config->connections_per_host);
    return client;
}

/* Changes the limit of connections per host; 0: no limit. */
void
HrHttpClient_SetConnectionLimit(HrHttpClient *client, uint32_t count)
{
    curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      (long)count);
}

/* Reserves memory for length more bytes of the answer. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
reserve_answer_bytes(HrHttpCall *call, size_t length)
{
    size_t capacity =
        call->answer_capacity == 0 ? 1024 : call->answer_capacity;
    uint8_t *grown;

    while (capacity < call->answer_bytes + length) {
        capacity *= 2;
    }
    if (capacity == call->answer_capacity) {
        return HR_OK;
    }
    grown = talloc_realloc(call, call->answer, uint8_t, capacity);
    if (grown == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    call->answer = grown;
    call->answer_capacity = capacity;
    return HR_OK;
}

/* Called by curl with each line of the header, of informational answers and of
 * trailers. Returns its length, or 0 if all lines exceed the limit: curl then
 * aborts the transfer. */
static size_t
check_header_line(char *data, size_t size, size_t count, void *arg)
{
    HrHttpCall *call = arg;
    size_t length = size * count;

    call->header_bytes += length;
    if (call->header_bytes > HEADER_LINES_MAX_BYTES) {
        call->too_large = true;
        return 0;
    }
    if (length >= 5 && memcmp(data, "HTTP/", 5) == 0) {
        call->head_complete = false;
    }
    else if (length > 0 && (data[0] == '\r' || data[0] == '\n')) {
        call->head_complete = true;
    }
    return length;
}

/* Called by curl to append a part of the answer's body. Returns its length, or
 * 0 if the body exceeds the limit or memory runs out: curl then aborts the
 * transfer. */
static size_t
append_answer(char *data, size_t size, size_t count, void *arg)
{
    HrHttpCall *call = arg;
    size_t length = size * count;

    if (call->answer_bytes + length > call->client->config.max_answer_bytes) {
        call->too_large = true;
        return 0;
    }
    if (reserve_answer_bytes(call, length) != HR_OK) {
        return 0;
    }
    memcpy(call->answer + call->answer_bytes, data, length);
    call->answer_bytes += length;
    return length;
}

/* Converts a duration to milliseconds, rounded up to at least 1, because curl
 * interprets 0 as no limit. */
static long
round_up_to_ms(int64_t duration_ns)
{
    int64_t ms = (duration_ns + HR_NS_PER_MS - 1) / HR_NS_PER_MS;

    return ms < 1 ? 1 : (long)ms;
}

/* Builds the header list of a call. The empty Expect header stops curl from
 * waiting for "100 Continue" before it sends a body. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
build_headers(HrHttpCall *call, const HrHttpRequest *request)
{
    struct curl_slist *list = curl_slist_append(NULL, "Expect:");
    uint32_t i;

    for (i = 0; i < request->header_count && list != NULL; i++) {
        struct curl_slist *extended =
            curl_slist_append(list, request->headers[i]);

        if (extended == NULL) {
            curl_slist_free_all(list);
        }
        list = extended;
    }
    call->headers = list;
    return list != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Sets the method and the body of a request. */
static void
set_method_and_body(HrHttpCall *call, const HrHttpRequest *request)
{
    CURL *easy = call->easy;

    if (strcmp(request->method, "GET") == 0) {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        return;
    }
    call->body =
        talloc_memdup(call, request->body.data, request->body.length_bytes);
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)request->body.length_bytes);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                     call->body != NULL ? (const char *)call->body : "");
}

/* Sets the options of a transfer. */
static void
set_options(HrHttpCall *call, const HrHttpRequest *request)
{
    const HrHttpClientConfig *config = &call->client->config;
    CURL *easy = call->easy;

    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_answer);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, check_header_line);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     round_up_to_ms(request->timeout_ns));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     round_up_to_ms(request->connect_timeout_ns));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     (long)((config->idle_ms + 999) / 1000));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     request->fresh_connection ? 1L : 0L);
}

/* Starts a request. */
HrHttpCall *
HrHttpClient_StartCall(HrHttpClient *client, const HrHttpRequest *request,
                       HrHttpAnswerFn *fn, void *arg)
{
    HrHttpCall *call = talloc_zero(client, HrHttpCall);

    if (call == NULL) {
        return NULL;
    }
    call->client = client;
    call->fn = fn;
    call->arg = arg;
    call->easy = acquire_handle(client);
    if (call->easy == NULL || build_headers(call, request) != HR_OK) {
        curl_easy_cleanup(call->easy);
        talloc_free(call);
        return NULL;
    }
    TAILQ_INSERT_TAIL(&client->calls, call, entry);
    set_options(call, request);
    set_method_and_body(call, request);
    if (curl_multi_add_handle(client->multi, call->easy) != CURLM_OK) {
        free_call(call);
        return NULL;
    }
    return call;
}

/* Cancels a call. curl closes the connection of a transfer that is removed
 * before its end. */
void
HrHttpCall_Cancel(HrHttpCall *call)
{
    free_call(call);
}

/* Returns the value of a header of the answer, or NULL. */
const char *
HrHttpCall_GetHeader(HrHttpCall *call, const char *name)
{
    struct curl_header *header = NULL;

    if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
        CURLHE_OK) {
        return NULL;
    }
    return header->value;
}
