#include "ctl-client.h"

#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "trans-http-client.h"
#include "trans-loop.h"

/* A query's answer may carry many payloads. */
#define ANSWER_MAX_BYTES ((size_t)128 << 20)
#define CONNECT_TIMEOUT_NS (2 * HR_NS_PER_S)
/* Requests under way at the same time, so that 1,900 daemons take no more
 * descriptors than a shell usually allows. */
#define PARALLEL_MAX 64

/* All requests of one call of CtlClient_Ask. */
typedef struct AskState {
    const CtlOptions *options;
    HrLoop *loop;
    HrHttpClient *client;
    const char *method;
    const char *path;
    const char *body;
    CtlReply *replies;
    uint32_t count;
    uint32_t started;
    uint32_t open;
} AskState;

/* The request to one daemon. */
typedef struct AskCall {
    AskState *state;
    uint32_t index;
} AskCall;

static void start_calls(AskState *state);

/* Frees the JSON of the replies. */
static int
destroy_replies(CtlReply *replies)
{
    size_t count = talloc_array_length(replies), i;

    for (i = 0; i < count; i++) {
        json_decref(replies[i].json);
    }
    return 0;
}

/* Returns the reason that an answer gives with its remedy, as text of parent:
 * "message", or the name of the error in "error", and "remedy". */
const char *
CtlClient_Reason(const void *parent, json_t *answer)
{
    const char *reason = json_string_value(json_object_get(answer, "message"));
    const char *remedy = json_string_value(json_object_get(answer, "remedy"));

    if (reason == NULL) {
        reason = json_string_value(json_object_get(answer, "error"));
    }
    if (reason == NULL) {
        reason = "no reason is given; look at the daemon's log";
    }
    return remedy == NULL ? talloc_strdup(parent, reason)
                          : talloc_asprintf(parent, "%s; %s", reason, remedy);
}

/* Explains an HTTP status that is no success. */
static void
explain_status(const void *parent, CtlReply *reply)
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
                CtlClient_Reason(parent, reply->json));
}

/* Explains why there is no answer. */
static void
explain_failure(CtlReply *reply, const HrHttpAnswer *answer)
{
    const char *remedy = "check the address and that the daemon runs";

    if (answer->error == HR_ERR_TIMEOUT) {
        remedy = "repeat the command with a longer --timeout";
    }
    HrError_Set(&reply->error, answer->error, "daemon %s: %s; %s",
                reply->address, HrError_GetName(answer->error), remedy);
}

/* Takes the answer of a daemon. */
static void
take_answer(void *arg, const HrHttpAnswer *answer)
{
    AskCall *call = arg;
    AskState *state = call->state;
    CtlReply *reply = &state->replies[call->index];

    reply->status = answer->status;
    reply->maybe_sent = answer->maybe_sent;
    if (answer->error != HR_OK) {
        explain_failure(reply, answer);
    }
    else {
        reply->text =
            talloc_strndup(state->replies, (const char *)answer->body.data,
                           answer->body.length_bytes);
        reply->text_bytes = answer->body.length_bytes;
        reply->json = json_loadb((const char *)answer->body.data,
                                 answer->body.length_bytes,
                                 JSON_REJECT_DUPLICATES, NULL);
        if (answer->status < 200 || answer->status > 299) {
            explain_status(state->replies, reply);
        }
        else if (!json_is_object(reply->json)) {
            HrError_Set(&reply->error, HR_ERR_PROTOCOL,
                        "daemon %s: the answer is no JSON object; check that "
                        "the address is an operator listener",
                        reply->address);
        }
    }
    state->open--;
    start_calls(state);
}

/* Starts the request to one daemon. */
static void
start_call(AskState *state, uint32_t index)
{
    CtlReply *reply = &state->replies[index];
    AskCall *call = talloc(state->client, AskCall);
    const char *headers[2] = {"Content-Type: application/json", NULL};
    HrHttpRequest request = {
        .method = state->method,
        .headers = headers,
        .header_count = 1,
        .timeout_ns = (int64_t)state->options->timeout_ms * HR_NS_PER_MS,
        .connect_timeout_ns = CONNECT_TIMEOUT_NS,
        .fresh_connection = true};

    if (state->options->authorization != NULL) {
        headers[request.header_count++] = state->options->authorization;
    }
    if (state->body != NULL) {
        request.body.data = (const uint8_t *)state->body;
        request.body.length_bytes = strlen(state->body);
    }
    request.url =
        talloc_asprintf(call, "http://%s%s", reply->address, state->path);
    call->state = state;
    call->index = index;
    state->open++;
    if (HrHttpClient_StartCall(state->client, &request, take_answer, call) ==
        NULL) {
        state->open--;
        HrError_Set(&reply->error, HR_ERR_NO_MEMORY, "out of memory");
    }
}

/* Starts as many requests as may be under way. */
static void
start_calls(AskState *state)
{
    while (state->started < state->count && state->open < PARALLEL_MAX) {
        start_call(state, state->started++);
    }
}

/* Sends one request to each address at the same time and waits for the
 * answers. body may be NULL. Replies are a talloc array of count elements that
 * belongs to parent and frees the JSON. */
CtlReply *
CtlClient_Ask(const void *parent, const CtlOptions *options,
              const char *method, const char *path, const char *body,
              const char *const *addresses, uint32_t count)
{
    static HrClock clock;
    HrHttpClientConfig config = {.max_answer_bytes = ANSWER_MAX_BYTES};
    AskState state = {.options = options,
                      .method = method,
                      .path = path,
                      .body = body,
                      .count = count};
    uint32_t i;

    clock = HrClock_MakeSystem();
    state.replies = talloc_zero_array(parent, CtlReply, count);
    talloc_set_destructor(state.replies, destroy_replies);
    for (i = 0; i < count; i++) {
        state.replies[i].address = talloc_strdup(state.replies, addresses[i]);
        state.replies[i].text = "";
    }
    state.loop = HrLoop_Create(NULL, &clock);
    state.client = HrHttpClient_Create(NULL, state.loop, &config);
    start_calls(&state);
    while (state.open > 0) {
        HrLoop_RunOnce(state.loop, HR_NS_PER_S);
    }
    talloc_free(state.client);
    talloc_free(state.loop);
    return state.replies;
}

/* Prints that no daemon is named. */
void
CtlClient_ReportNoDaemon(void)
{
    Ctl_Error("no daemon is named; use --daemon ADDRESS or set "
              "HICKORY_DAEMON");
}

/* Asks the named daemons in turn until one answers. Returns its reply, or the
 * last one. Prints an error and returns NULL when no daemon is named. */
CtlReply *
CtlClient_AskFirst(const void *parent, const CtlOptions *options,
                   const char *method, const char *path, const char *body)
{
    CtlReply *reply = NULL;
    bool maybe_sent = false;
    uint32_t i;

    for (i = 0; i < options->daemon_count; i++) {
        maybe_sent = maybe_sent || (reply != NULL && reply->maybe_sent);
        talloc_free(reply);
        reply = CtlClient_Ask(parent, options, method, path, body,
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

/* Returns text percent-encoded for a query string. */
char *
CtlClient_Escape(const void *parent, const char *text)
{
    size_t length = strlen(text), i;
    char *out = talloc_array(parent, char, 3 * length + 1);
    char *end = out;

    for (i = 0; i < length; i++) {
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
