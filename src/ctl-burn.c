#include "ctl-burn.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "ctl-client.h"
#include "ctl-targets.h"
#include "proto-burn.h"

/* Merges the report of one daemon into the total. Returns false and leaves the
 * reason in reply->error if the reply has no valid report. */
static bool
merge_report(HrBurnReport *total, CtlReply *reply)
{
    HrBurnReport *report = NULL;
    HrError err = {0};

    if (reply->error.kind != HR_OK) {
        return false;
    }
    if (HrBurnReport_Decode(total, reply->text, reply->text_bytes, &report,
                            &err) != HR_OK ||
        HrBurnReport_Merge(total, report) != HR_OK) {
        HrError_Set(&reply->error, HR_ERR_PROTOCOL, "daemon %s: %.200s",
                    reply->address, err.message);
    }
    talloc_free(report);
    return reply->error.kind == HR_OK;
}

/* Merges the reports of all daemons into the total and prints an error for
 * each daemon without one. Returns the number of reports merged. */
static uint32_t
merge_reports(HrBurnReport *total, CtlReply *replies, uint32_t count)
{
    uint32_t merged_count = 0, i;

    for (i = 0; i < count; i++) {
        if (merge_report(total, &replies[i])) {
            merged_count++;
        }
        else {
            Ctl_PrintError("%s", replies[i].error.message);
        }
    }
    return merged_count;
}

/* Prints the total of all daemons, as JSON if --json is given. */
static void
print_total(const CtlOptions *options, const HrBurnReport *total)
{
    if (options->json) {
        char *text = HrBurnReport_Encode(total, total);

        printf("%s\n", text == NULL ? "{}" : text);
    }
    else {
        CtlBurn_PrintReport(stdout, total);
    }
    fflush(stdout);
}

/* Runs "burn": merges the burn reports of every member that is not dead and
 * prints burn rates and plots. Returns the exit status. */
int
CtlBurn_RunCommand(const CtlOptions *options)
{
    HrClock clock = HrClock_MakeSystem();
    HrBurnReport *total =
        HrBurnReport_Create(NULL, HrClock_GetWallMs(&clock) * HR_NS_PER_MS);
    CtlTargets *targets = CtlTargets_Find(total, options, true);
    uint32_t merged_count;
    CtlReply *replies;
    int status = CTL_EXIT_SUCCESS;

    if (targets == NULL) {
        talloc_free(total);
        return CTL_EXIT_FAILED;
    }
    replies = CtlClient_SendRequests(total, options, "GET", "/v1/burn", NULL,
                                     targets->addresses, targets->count);
    merged_count = merge_reports(total, replies, targets->count);
    if (merged_count > 0) {
        print_total(options, total);
    }
    if (CtlBurn_HasFastRate(total)) {
        status = CTL_EXIT_FAST_BURN;
    }
    else if (merged_count < targets->count) {
        status = merged_count == 0 ? CTL_EXIT_FAILED : CTL_EXIT_UNREACHABLE;
    }
    status = CtlTargets_ReportUnknown(targets, status);
    talloc_free(total);
    return status;
}
