#include "ctl-client.h"

#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "trans-http-client.h"
#include "trans-loop.h"

/* Large, because the answer to a query may carry many payloads. */
#define ANSWER_MAX_BYTES ((size_t)128 << 20)
#define CONNECT_TIMEOUT_NS (2 * HR_NS_PER_S)
/* Requests that may be open at the same time. The limit keeps the number of
 * descriptors below what a shell usually allows, even with 1,900 daemons. */
#define OPEN_REQUESTS_MAX 64

/* The requests of one call of CtlClient_SendRequests. */
typedef struct RequestBatch {
    const CtlOptions *options;
    HrLoop *loop;
    HrHttpClient *client;
    const char *method;
    const char *path;
    const char *body;
    CtlReply *replies;
    uint32_t count;
    uint32_t started_count;
    uint32_t open_count;
} RequestBatch;

/* The request of a batch to one daemon. */
typedef struct DaemonRequest {
    RequestBatch *batch;
    uint32_t index;
} DaemonRequest;

static void start_requests(RequestBatch *batch);

/* Frees the JSON of the replies. A talloc destructor. */
static int
destroy_replies(CtlReply *replies)
{
    size_t count = talloc_array_length(replies), i;

    for (i = 0; i < count; i++) {
        json_decref(replies[i].json);
    }
    return 0;
}

/* Returns the reason that an answer states, followed by its remedy if there is
 * one. The reason is "message", or "error" (the name of an error) without it;
 * the remedy is "remedy". The text belongs to parent. */
const char *
CtlClient_FormatReason(const void *parent, json_t *answer)
{
    const char *reason = json_string_value(json_object_get(answer, "message"));
    const char *remedy = json_string_value(json_object_get(answer, "remedy"));

    if (reason == NULL) {
        reason = json_string_value(json_object_get(answer, "error"));
    }
    if (reason == NULL) {
        reason = "no reason is given; check the daemon's log";
    }
    return remedy == NULL ? talloc_strdup(parent, reason)
                          : talloc_asprintf(parent, "%s; %s", reason, remedy);
}

/* Sets the error of a reply whose HTTP status is not 2xx. */
static void
set_status_error(const void *parent, CtlReply *reply)
{
    if (reply->status == 401 || reply->status == 403) {
        HrError_Set(&reply->error, HR_ERR_AUTH,
                    "daemon %s refused the token; name the right file with "
                    "--token-file",
                    reply->address);
        return;
    }
    HrError_Set(&reply->error, HR_ERR_INVALID, "daemon %s: status %d: %.200s",
                reply->address, reply->status,
                CtlClient_FormatReason(parent, reply->json));
}

/* Sets the error of a reply for a request without an answer. */
static void
set_failure_error(CtlReply *reply, const HrHttpAnswer *answer)
{
    const char *remedy = "check the address and that the daemon runs";

    if (answer->error == HR_ERR_TIMEOUT) {
        remedy = "repeat the command with a longer --timeout";
    }
    HrError_Set(&reply->error, answer->error, "daemon %s: %s; %s",
                reply->address, HrError_GetName(answer->error), remedy);
}

/* Stores a daemon's answer or error in its reply and starts the next requests.
 * A callback of the HTTP client. */
static void
handle_answer(void *arg, const HrHttpAnswer *answer)
{
    DaemonRequest *request = arg;
    RequestBatch *batch = request->batch;
    CtlReply *reply = &batch->replies[request->index];

    reply->status = answer->status;
    reply->maybe_sent = answer->maybe_sent;
    if (answer->error != HR_OK) {
        set_failure_error(reply, answer);
    }
    else {
        reply->text =
            talloc_strndup(batch->replies, (const char *)answer->body.data,
                           answer->body.length_bytes);
        reply->text_bytes = answer->body.length_bytes;
        reply->json = json_loadb((const char *)answer->body.data,
                                 answer->body.length_bytes,
                                 JSON_REJECT_DUPLICATES, NULL);
        if (answer->status < 200 || answer->status > 299) {
            set_status_error(batch->replies, reply);
        }
        else if (!json_is_object(reply->json)) {
            HrError_Set(
                &reply->error, HR_ERR_PROTOCOL,
                "daemon %s: the answer is not a JSON object; check that "
                "the address is an operator listener",
                reply->address);
        }
    }
    batch->open_count--;
    start_requests(batch);
}

/* Starts the request to one daemon. Sets the error of its reply if memory runs
 * out. */
static void
start_request(RequestBatch *batch, uint32_t index)
{
    CtlReply *reply = &batch->replies[index];
    DaemonRequest *daemon_request = talloc(batch->client, DaemonRequest);
    const char *headers[2] = {"Content-Type: application/json", NULL};
    HrHttpRequest request = {
        .method = batch->method,
        .headers = headers,
        .header_count = 1,
        .timeout_ns = (int64_t)batch->options->timeout_ms * HR_NS_PER_MS,
        .connect_timeout_ns = CONNECT_TIMEOUT_NS,
        .fresh_connection = true};

    if (batch->options->authorization != NULL) {
        headers[request.header_count++] = batch->options->authorization;
    }
    if (batch->body != NULL) {
        request.body.data = (const uint8_t *)batch->body;
        request.body.length_bytes = strlen(batch->body);
    }
    request.url = talloc_asprintf(daemon_request, "http://%s%s",
                                  reply->address, batch->path);
    daemon_request->batch = batch;
    daemon_request->index = index;
    batch->open_count++;
    if (HrHttpClient_StartCall(batch->client, &request, handle_answer,
                               daemon_request) == NULL) {
        batch->open_count--;
        HrError_Set(&reply->error, HR_ERR_NO_MEMORY, "out of memory");
    }
}

/* Starts requests until OPEN_REQUESTS_MAX are open or none is left. */
static void
start_requests(RequestBatch *batch)
{
    while (batch->started_count < batch->count &&
           batch->open_count < OPEN_REQUESTS_MAX) {
        start_request(batch, batch->started_count++);
    }
}

/* Sends the same request to every address, up to OPEN_REQUESTS_MAX at a time,
 * and waits until each is answered or has failed. body may be NULL. Returns a
 * talloc array of count replies in the order of addresses; it belongs to
 * parent, and freeing it frees the JSON. */
CtlReply *
CtlClient_SendRequests(const void *parent, const CtlOptions *options,
                       const char *method, const char *path, const char *body,
                       const char *const *addresses, uint32_t count)
{
    static HrClock clock;
    HrHttpClientConfig config = {.max_answer_bytes = ANSWER_MAX_BYTES};
    RequestBatch batch = {.options = options,
                          .method = method,
                          .path = path,
                          .body = body,
                          .count = count};
    uint32_t i;

    clock = HrClock_MakeSystem();
    batch.replies = talloc_zero_array(parent, CtlReply, count);
    talloc_set_destructor(batch.replies, destroy_replies);
    for (i = 0; i < count; i++) {
        batch.replies[i].address = talloc_strdup(batch.replies, addresses[i]);
        batch.replies[i].text = "";
    }
    batch.loop = HrLoop_Create(NULL, &clock);
    batch.client = HrHttpClient_Create(NULL, batch.loop, &config);
    start_requests(&batch);
    while (batch.open_count > 0) {
        HrLoop_RunOnce(batch.loop, HR_NS_PER_S);
    }
    talloc_free(batch.client);
    talloc_free(batch.loop);
    return batch.replies;
}

/* Prints the error that no daemon is named, and how to name one. */
void
CtlClient_ReportNoDaemon(void)
{
    Ctl_PrintError("no daemon is named; use --daemon ADDRESS or set "
                   "HICKORY_DAEMON");
}

/* Sends a request to the daemons of --daemon in turn until one returns an HTTP
 * status, even a failing one. Returns its reply, or that of the last daemon.
 * Prints an error and returns NULL if no daemon is named. */
CtlReply *
CtlClient_SendUntilAnswered(const void *parent, const CtlOptions *options,
                            const char *method, const char *path,
                            const char *body)
{
    CtlReply *reply = NULL;
    bool maybe_sent = false;
    uint32_t i;

    for (i = 0; i < options->daemon_count; i++) {
        maybe_sent = maybe_sent || (reply != NULL && reply->maybe_sent);
        talloc_free(reply);
        reply = CtlClient_SendRequests(parent, options, method, path, body,
                                       &options->daemons[i], 1);
        if (reply->status != 0) {
            break;
        }
    }
    if (reply == NULL) {
        CtlClient_ReportNoDaemon();
        return NULL;
    }
    reply->earlier_maybe_sent = maybe_sent;
    return reply;
}

/* Returns text percent-encoded for a query string. The result belongs to
 * parent. */
char *
CtlClient_PercentEncode(const void *parent, const char *text)
{
    size_t text_len = strlen(text), i;
    char *out = talloc_array(parent, char, 3 * text_len + 1);
    char *end = out;

    for (i = 0; i < text_len; i++) {
        unsigned char c = (unsigned char)text[i];

        if (isalnum(c) || strchr("-._~", c) != NULL) {
            *end++ = (char)c;
        }
        else {
            end += snprintf(end, 4, "%%%02X", c);
        }
    }
    *end = '\0';
    return out;
}
