#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "ctl-client.h"
#include "ctl-print.h"
#include "ctl-tables.h"
#include "state-tables-json.h"

/* Creates the JSON body of an edit with its id, operator, base revision and
 * summary. Options override based_on and summary; the id is random unless
 * --edit-id is given. Returns NULL after printing an error if a text is not
 * UTF-8. The caller frees the body. */
json_t *
CtlEdit_CreateBody(const CtlOptions *options, uint64_t based_on,
                   const char *summary)
{
    HrRng rng = HrRng_FromSystem();
    char edit_id[20];
    json_t *body;

    snprintf(edit_id, sizeof(edit_id), "%016" PRIx64, HrRng_DrawU64(&rng));
    if (options->has_based_on) {
        based_on = options->based_on;
    }
    body = json_pack("{s:s,s:s,s:I,s:s}", "edit_id",
                     options->edit_id != NULL ? options->edit_id : edit_id,
                     "operator", options->operator_name, "based_on",
                     (json_int_t)based_on, "summary",
                     options->summary != NULL ? options->summary : summary);
    if (body == NULL) {
        Ctl_PrintError(
            "--operator, --summary and --edit-id must be UTF-8 text");
    }
    return body;
}

/* Prints the edits made since the edit's base revision, and how to proceed. */
static void
print_conflict(json_t *reply)
{
    json_t *changes = json_object_get(reply, "changes");

    if (json_array_size(changes) > 0) {
        fprintf(stderr, "changed meanwhile:\n");
        CtlPrint_Table(stderr, changes);
    }
    Ctl_PrintError("review the rows with \"get\", then repeat the command "
                   "without --edit-id");
}

/* Prints that the outcome of an edit is unknown, and how to find it out. */
static void
report_unknown_outcome(const char *edit_id, const char *reason)
{
    Ctl_PrintError(
        "the edit may or may not have been made: %s; repeat the command "
        "with --edit-id %s, which makes it at most once, or search for "
        "the id in \"routes history\"",
        reason, edit_id);
}

/* Prints the revision and id of an accepted edit; with --wait also waits until
 * it is in force. Returns the exit status. */
static int
report_accepted(const CtlOptions *options, json_t *reply, const char *edit_id)
{
    uint64_t revision =
        (uint64_t)json_integer_value(json_object_get(reply, "revision"));

    if (!options->json) {
        printf("accepted as revision %" PRIu64 ", edit id %s%s\n", revision,
               edit_id,
               json_is_true(json_object_get(reply, "already_made"))
                   ? ", by an earlier copy"
                   : "");
        fflush(stdout);
    }
    return options->wait ? CtlWait_WaitForRevision(options, revision)
                         : CTL_EXIT_SUCCESS;
}

/* Prints that a daemon refused the edit. The outcome is still unknown if a
 * daemon that was tried before may have received the edit. Returns the exit
 * status. */
static int
report_refusal(const CtlReply *reply, const char *edit_id, const char *reason)
{
    if (reply->earlier_maybe_sent) {
        report_unknown_outcome(edit_id, reason);
        return CTL_EXIT_UNKNOWN;
    }
    Ctl_PrintError("refused: %s", reason);
    return CTL_EXIT_FAILED;
}

/* Returns true if a daemon may have made an edit, given a reply without a
 * result: a daemon that was tried before may have received it, or this one may
 * have and did not answer with a status of 4xx. */
static bool
is_edit_possibly_made(const CtlReply *reply)
{
    return reply->earlier_maybe_sent ||
           (reply->maybe_sent &&
            (reply->status < 400 || reply->status >= 500));
}

/* Prints the outcome of an edit. Returns the exit status. */
static int
report_outcome(const CtlOptions *options, const CtlReply *reply,
               const char *edit_id)
{
    const char *result =
        json_string_value(json_object_get(reply->json, "result"));

    if (result == NULL) {
        if (is_edit_possibly_made(reply)) {
            report_unknown_outcome(edit_id, reply->error.kind == HR_OK
                                                ? "the answer has no result"
                                                : reply->error.message);
            return CTL_EXIT_UNKNOWN;
        }
        Ctl_PrintError("the edit was not made: %s", reply->error.message);
        return CTL_EXIT_FAILED;
    }
    if (options->json) {
        CtlPrint_Json(stdout, reply->json);
    }
    if (strcmp(result, "accepted") == 0) {
        return report_accepted(options, reply->json, edit_id);
    }
    if (strcmp(result, "conflict") == 0) {
        Ctl_PrintError("conflict: %s",
                       CtlClient_FormatReason(reply, reply->json));
        print_conflict(reply->json);
        return CTL_EXIT_CONFLICT;
    }
    if (strcmp(result, "refused") == 0) {
        return report_refusal(reply, edit_id,
                              CtlClient_FormatReason(reply, reply->json));
    }
    report_unknown_outcome(edit_id,
                           CtlClient_FormatReason(reply, reply->json));
    return CTL_EXIT_UNKNOWN;
}

/* Sends an edit or restore to the named daemons in turn until one answers, and
 * prints the outcome. This makes an edit at most once: a daemon that does not
 * answer may have made it, but the next one recognizes its id. Returns the
 * exit status. */
static int
send_edit(const CtlOptions *options, const char *path, const char *text,
          const char *edit_id)
{
    CtlReply *reply =
        CtlClient_SendUntilAnswered(NULL, options, "POST", path, text);
    int status = CTL_EXIT_USAGE;

    if (reply != NULL) {
        status = report_outcome(options, reply, edit_id);
        talloc_free(reply);
    }
    return status;
}

/* Checks the body of an edit, sends it and prints the outcome; with --wait
 * also waits until the edit is in force. Frees the body. Returns the exit
 * status. */
int
CtlEdit_SubmitBody(const CtlOptions *options, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    HrError err = {0};
    HrTablesEdit *edit =
        HrTablesEdit_ParseJson(NULL, text, strlen(text), "edit", &err);
    int status;

    json_decref(body);
    if (edit == NULL) {
        Ctl_PrintError("%s", err.message);
        free(text);
        return CTL_EXIT_USAGE;
    }
    status = send_edit(options, "/v1/tables", text, edit->edit_id);
    talloc_free(edit);
    free(text);
    return status;
}

/* Runs "restore": requests that a daemon write the tables it holds to a store
 * that is empty, damaged or older. Returns the exit status. */
int
CtlEdit_RunRestore(const CtlOptions *options)
{
    json_t *body = CtlEdit_CreateBody(options, 0, "restore");
    char *text;
    int status;

    if (body == NULL) {
        return CTL_EXIT_USAGE;
    }
    json_object_del(body, "based_on");
    json_object_del(body, "summary");
    text = json_dumps(body, JSON_COMPACT);
    status = send_edit(options, "/v1/tables/restore", text,
                       json_string_value(json_object_get(body, "edit_id")));
    json_decref(body);
    free(text);
    return status;
}
