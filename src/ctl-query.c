#include "ctl-query.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "ctl-client.h"
#include "ctl-print.h"
#include "proto-caller.h"

#define EXPIRY_MARGIN_MS 60000

/* Returns a new request id. */
static const char *
make_request_id(const void *parent)
{
    HrRng rng = HrRng_FromSystem();
    uint64_t high = HrRng_DrawU64(&rng);

    return talloc_asprintf(parent, "hickoryctl-%016" PRIx64, high);
}

/* Reads --want. */
static bool
parse_want(const char *text, HrWantedCoverage *want)
{
    if (text == NULL || strcmp(text, "partial") == 0) {
        *want = HR_WANT_PARTIAL;
        return true;
    }
    *want = HR_WANT_COMPLETE;
    return strcmp(text, "complete") == 0;
}

/* Returns when the query expires: a minute after its deadline unless an expiry
 * is given, so that requests that run at most once are taken. */
static int64_t
choose_expiry_ms(const CtlOptions *options)
{
    HrClock clock = HrClock_MakeSystem();

    if (options->expires_ms != 0) {
        return (int64_t)options->expires_ms;
    }
    return HrClock_GetWallMs(&clock) + options->deadline_ms + EXPIRY_MARGIN_MS;
}

/* Returns the body of the query, or NULL when an error was printed. */
static char *
make_body(const void *parent, const CtlOptions *options,
          const char *request_id)
{
    const char *payload = options->payload == NULL ? "null" : options->payload;
    HrCallerQuery query = {.request_id = request_id,
                           .kind = options->kind,
                           .key = options->key,
                           .caller = "hickoryctl",
                           .deadline_ms = options->deadline_ms,
                           .expires_ms = choose_expiry_ms(options),
                           /* An id made here has not been sent before. */
                           .attempt = options->request_id == NULL};
    json_t *value = json_loads(payload, JSON_DECODE_ANY, NULL);

    if (value == NULL) {
        Ctl_Error("--payload: this is no JSON value; quote strings");
        return NULL;
    }
    json_decref(value);
    if (!parse_want(options->want, &query.want)) {
        Ctl_Error("--want: \"%s\" is not defined; use partial or complete",
                  options->want);
        return NULL;
    }
    query.payload.data = (const uint8_t *)payload;
    query.payload.length_bytes = strlen(payload);
    return HrCallerQuery_Encode(parent, &query);
}

/* Returns the exit status for the status of an answer. */
static int
rate_answer(json_t *answer)
{
    const char *status = json_string_value(json_object_get(answer, "status"));

    if (status == NULL || strcmp(status, "refused") == 0) {
        return CTL_EXIT_FAILED;
    }
    if (strcmp(status, "partial") == 0) {
        return CTL_EXIT_DIFFERENT;
    }
    return strcmp(status, "unknown") == 0 ? CTL_EXIT_UNKNOWN : CTL_EXIT_DONE;
}

/* Prints the answer; returns the exit status. */
static int
report_answer(const CtlOptions *options, const CtlReply *reply,
              const char *request_id)
{
    bool has_answer = json_object_get(reply->json, "status") != NULL;

    if (has_answer) {
        if (options->json) {
            CtlPrint_Json(stdout, reply->json);
        }
        else {
            CtlPrint_Object(stdout, reply->json);
        }
        return rate_answer(reply->json);
    }
    if (reply->error.kind == HR_OK) {
        Ctl_Error("daemon %s: the answer has no status; check that --caller "
                  "names a caller listener",
                  reply->address);
        return CTL_EXIT_FAILED;
    }
    Ctl_Error("%s", reply->error.message);
    if (reply->status == 0 && reply->maybe_sent) {
        Ctl_Error("the request may or may not have run; repeat it with "
                  "--request-id %s",
                  request_id);
        return CTL_EXIT_UNKNOWN;
    }
    return CTL_EXIT_FAILED;
}

/* Runs "query": sends one query to a caller listener and prints the answer.
 * Returns the exit status. */
int
CtlQuery_Run(const CtlOptions *options)
{
    void *memory = talloc_new(NULL);
    CtlOptions anonymous = *options;
    const char *request_id = options->request_id != NULL
                                 ? options->request_id
                                 : make_request_id(memory);
    int status = CTL_EXIT_USAGE;
    char *body;

    /* The operator's token is not for callers. */
    anonymous.authorization = NULL;
    if (options->caller == NULL || options->kind == NULL) {
        Ctl_Error("query: use --caller ADDRESS and --kind KIND");
    }
    else {
        body = make_body(memory, options, request_id);
        if (body != NULL) {
            CtlReply *reply =
                CtlClient_Ask(memory, &anonymous, "POST", "/v1/query", body,
                              &options->caller, 1);

            status = report_answer(options, reply, request_id);
        }
    }
    talloc_free(memory);
    return status;
}

/* Runs "explain": prints how daemons would route a request. */
int
CtlQuery_Explain(const CtlOptions *options)
{
    void *memory = talloc_new(NULL);
    char *path;
    int status;

    if (options->kind == NULL) {
        talloc_free(memory);
        Ctl_Error("explain: use --kind KIND and, for a single shard, --key "
                  "KEY");
        return CTL_EXIT_USAGE;
    }
    path = talloc_asprintf(memory, "/v1/explain?kind=%s",
                           CtlClient_Escape(memory, options->kind));
    if (options->key != NULL) {
        path = talloc_asprintf(memory, "%s&key=%s", path,
                               CtlClient_Escape(memory, options->key));
    }
    status = CtlPrint_Ask(options, path);
    talloc_free(memory);
    return status;
}
