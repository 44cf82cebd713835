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

/* Starts the body of an edit with its id, operator, base and summary. */
json_t *
CtlEdit_Start(const CtlOptions *options, uint64_t based_on,
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
        Ctl_Error("--operator, --summary and --edit-id must be UTF-8 text");
    }
    return body;
}

/* Prints who has changed what since the edit's base. */
static void
print_conflict(json_t *reply)
{
    json_t *changes = json_object_get(reply, "changes");

    if (json_array_size(changes) > 0) {
        fprintf(stderr, "changed meanwhile:\n");
        CtlPrint_Table(stderr, changes);
    }
    Ctl_Error("look at the rows with \"get\", then repeat the command "
              "without --edit-id");
}

/* Prints that the outcome is open, and how to settle it. */
static void
print_unknown(const char *edit_id, const char *why)
{
    Ctl_Error("the edit may or may not have been made: %s; repeat the command "
              "with --edit-id %s, which makes it at most once, or look for "
              "the id in \"routes history\"",
              why, edit_id);
}

/* Prints an accepted edit and waits for it if asked to. */
static int
finish_accepted(const CtlOptions *options, json_t *reply, const char *edit_id)
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
    return options->wait ? CtlWait_Run(options, revision) : CTL_EXIT_DONE;
}

/* Prints that a daemon did not make the edit. Another one that was asked
 * before and did not answer may have made it. */
static int
report_refusal(const CtlReply *reply, const char *edit_id, const char *reason)
{
    if (reply->earlier_maybe_sent) {
        print_unknown(edit_id, reason);
        return CTL_EXIT_UNKNOWN;
    }
    Ctl_Error("refused: %s", reason);
    return CTL_EXIT_FAILED;
}

/* Returns true if a daemon may have made an edit although its answer, if there
 * is one, has no result. */
static bool
is_in_doubt(const CtlReply *reply)
{
    return reply->earlier_maybe_sent ||
           (reply->maybe_sent &&
            (reply->status < 400 || reply->status >= 500));
}

/* Prints the outcome of an edit; returns the exit status. */
static int
report_outcome(const CtlOptions *options, const CtlReply *reply,
               const char *edit_id)
{
    const char *result =
        json_string_value(json_object_get(reply->json, "result"));

    if (result == NULL) {
        if (is_in_doubt(reply)) {
            print_unknown(edit_id, reply->error.kind == HR_OK
                                       ? "the answer has no result"
                                       : reply->error.message);
            return CTL_EXIT_UNKNOWN;
        }
        Ctl_Error("the edit was not made: %s", reply->error.message);
        return CTL_EXIT_FAILED;
    }
    if (options->json) {
        CtlPrint_Json(stdout, reply->json);
    }
    if (strcmp(result, "accepted") == 0) {
        return finish_accepted(options, reply->json, edit_id);
    }
    if (strcmp(result, "conflict") == 0) {
        Ctl_Error("conflict: %s", CtlClient_Reason(reply, reply->json));
        print_conflict(reply->json);
        return CTL_EXIT_CONFLICT;
    }
    if (strcmp(result, "refused") == 0) {
        return report_refusal(reply, edit_id,
                              CtlClient_Reason(reply, reply->json));
    }
    print_unknown(edit_id, CtlClient_Reason(reply, reply->json));
    return CTL_EXIT_UNKNOWN;
}

/* Sends a body to the daemons in turn. A daemon that does not answer may have
 * made the edit; the next one recognizes its id. */
static int
send_edit(const CtlOptions *options, const char *path, const char *text,
          const char *edit_id)
{
    CtlReply *reply = CtlClient_AskFirst(NULL, options, "POST", path, text);
    int status = CTL_EXIT_USAGE;

    if (reply != NULL) {
        status = report_outcome(options, reply, edit_id);
        talloc_free(reply);
    }
    return status;
}

/* Checks the body, sends it, prints the outcome and, with --wait, waits.
 * Frees the body and returns the exit status. */
int
CtlEdit_Submit(const CtlOptions *options, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    HrError err = {0};
    HrTablesEdit *edit =
        HrTablesEdit_FromJson(NULL, text, strlen(text), "edit", &err);
    int status;

    json_decref(body);
    if (edit == NULL) {
        Ctl_Error("%s", err.message);
        free(text);
        return CTL_EXIT_USAGE;
    }
    status = send_edit(options, "/v1/tables", text, edit->edit_id);
    talloc_free(edit);
    free(text);
    return status;
}

/* Asks a daemon to restore the tables it holds to the store. */
int
CtlEdit_Restore(const CtlOptions *options)
{
    json_t *body = CtlEdit_Start(options, 0, "restore");
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
