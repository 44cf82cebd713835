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

/* Returns a new random request id. */
static const char *
make_request_id(const void *parent)
{
    HrRng rng = HrRng_FromSystem();
    uint64_t number = HrRng_DrawU64(&rng);

    return talloc_asprintf(parent, "hickoryctl-%016" PRIx64, number);
}

/* Parses --want, which is partial by default. Returns false if the text is
 * unknown. */
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

/* Returns when the query expires, in milliseconds since 1970: at --expires-ms,
 * or else a minute after --deadline-ms, or a minute from now if neither is
 * given. An expiry is always set because daemons refuse a request that runs at
 * most once without one. */
static int64_t
get_expiry_ms(const CtlOptions *options)
{
    HrClock clock = HrClock_MakeSystem();

    if (options->expires_ms != 0) {
        return (int64_t)options->expires_ms;
    }
    return HrClock_GetWallMs(&clock) + options->deadline_ms + EXPIRY_MARGIN_MS;
}

/* Returns the JSON body of the query, which belongs to parent. Returns NULL
 * after printing an error. */
static char *
encode_query(const void *parent, const CtlOptions *options,
             const char *request_id)
{
    const char *payload = options->payload == NULL ? "null" : options->payload;
    HrCallerQuery query = {.request_id = request_id,
                           .kind = options->kind,
                           .key = options->key,
                           .caller = "hickoryctl",
                           .deadline_ms = options->deadline_ms,
                           .expires_ms = get_expiry_ms(options),
                           /* A new id is a first attempt; for an id from
                            * --request-id the attempt is not stated. */
                           .attempt = options->request_id == NULL};
    json_t *payload_json = json_loads(payload, JSON_DECODE_ANY, NULL);

    if (payload_json == NULL) {
        Ctl_PrintError("--payload: this is not a JSON value; quote strings");
        return NULL;
    }
    json_decref(payload_json);
    if (!parse_want(options->want, &query.want)) {
        Ctl_PrintError("--want: \"%s\" is not valid; use partial or complete",
                       options->want);
        return NULL;
    }
    query.payload.data = (const uint8_t *)payload;
    query.payload.length_bytes = strlen(payload);
    return HrCallerQuery_Encode(parent, &query);
}

/* Returns the exit status for an answer by its "status". */
static int
get_answer_exit_status(json_t *answer)
{
    const char *status = json_string_value(json_object_get(answer, "status"));

    if (status == NULL || strcmp(status, "refused") == 0) {
        return CTL_EXIT_FAILED;
    }
    if (strcmp(status, "partial") == 0) {
        return CTL_EXIT_DIFFERENT;
    }
    return strcmp(status, "unknown") == 0 ? CTL_EXIT_UNKNOWN
                                          : CTL_EXIT_SUCCESS;
}

/* Prints the answer or the error. Returns the exit status. */
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
        return get_answer_exit_status(reply->json);
    }
    if (reply->error.kind == HR_OK) {
        Ctl_PrintError(
            "daemon %s: the answer has no status; check that --caller "
            "names a caller listener",
            reply->address);
        return CTL_EXIT_FAILED;
    }
    Ctl_PrintError("%s", reply->error.message);
    if (reply->status == 0 && reply->maybe_sent) {
        Ctl_PrintError("the request may or may not have run; repeat it with "
                       "--request-id %s",
                       request_id);
        return CTL_EXIT_UNKNOWN;
    }
    return CTL_EXIT_FAILED;
}

/* Runs "query": sends one query to a caller listener and prints the answer.
 * Returns the exit status. */
int
CtlQuery_RunCommand(const CtlOptions *options)
{
    void *scratch = talloc_new(NULL);
    CtlOptions caller_options = *options;
    const char *request_id = options->request_id != NULL
                                 ? options->request_id
                                 : make_request_id(scratch);
    int status = CTL_EXIT_USAGE;
    char *body;

    /* A caller listener must not receive the operator's token. */
    caller_options.authorization = NULL;
    if (options->caller == NULL || options->kind == NULL) {
        Ctl_PrintError("query: use --caller ADDRESS and --kind KIND");
    }
    else {
        body = encode_query(scratch, options, request_id);
        if (body != NULL) {
            CtlReply *reply =
                CtlClient_SendRequests(scratch, &caller_options, "POST",
                                       "/v1/query", body, &options->caller, 1);

            status = report_answer(options, reply, request_id);
        }
    }
    talloc_free(scratch);
    return status;
}

/* Runs "explain": prints how daemons would route a request, without sending
 * it. Returns the exit status. */
int
CtlQuery_RunExplain(const CtlOptions *options)
{
    void *scratch = talloc_new(NULL);
    char *path;
    int status;

    if (options->kind == NULL) {
        talloc_free(scratch);
        Ctl_PrintError(
            "explain: use --kind KIND and, for a single shard, --key "
            "KEY");
        return CTL_EXIT_USAGE;
    }
    path = talloc_asprintf(scratch, "/v1/explain?kind=%s",
                           CtlClient_PercentEncode(scratch, options->kind));
    if (options->key != NULL) {
        path = talloc_asprintf(scratch, "%s&key=%s", path,
                               CtlClient_PercentEncode(scratch, options->key));
    }
    status = CtlPrint_FetchAndPrint(options, path);
    talloc_free(scratch);
    return status;
}
