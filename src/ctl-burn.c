#include "ctl-burn.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "ctl-client.h"
#include "ctl-targets.h"
#include "proto-burn.h"

/* Adds the report of one daemon; its error is filled when it has none. */
static bool
add_report(HrBurnReport *sum, CtlReply *reply)
{
    HrBurnReport *report = NULL;
    HrError err = {0};

    if (reply->error.kind != HR_OK) {
        return false;
    }
    if (HrBurnReport_Decode(sum, reply->text, reply->text_bytes, &report,
                            &err) != HR_OK ||
        HrBurnReport_Merge(sum, report) != HR_OK) {
        HrError_Set(&reply->error, HR_ERR_PROTOCOL, "daemon %s: %.200s",
                    reply->address, err.message);
    }
    talloc_free(report);
    return reply->error.kind == HR_OK;
}

/* Adds the reports of all daemons; returns how many have one. */
static uint32_t
add_reports(HrBurnReport *sum, CtlReply *replies, uint32_t count)
{
    uint32_t added = 0, i;

    for (i = 0; i < count; i++) {
        if (add_report(sum, &replies[i])) {
            added++;
        }
        else {
            Ctl_Error("%s", replies[i].error.message);
        }
    }
    return added;
}

/* Prints the sum. */
static void
print_sum(const CtlOptions *options, const HrBurnReport *sum)
{
    if (options->json) {
        char *text = HrBurnReport_Encode(sum, sum);

        printf("%s\n", text == NULL ? "{}" : text);
    }
    else {
        CtlBurn_Print(stdout, sum);
    }
    fflush(stdout);
}

/* Runs "burn": adds up the reports of every daemon and prints burn rates and
 * plots. Returns the exit status. */
int
CtlBurn_Run(const CtlOptions *options)
{
    HrClock clock = HrClock_MakeSystem();
    HrBurnReport *sum =
        HrBurnReport_Create(NULL, HrClock_GetWallMs(&clock) * HR_NS_PER_MS);
    CtlTargets *targets = CtlTargets_Find(sum, options, true);
    uint32_t added;
    CtlReply *replies;
    int status = CTL_EXIT_DONE;

    if (targets == NULL) {
        talloc_free(sum);
        return CTL_EXIT_FAILED;
    }
    replies = CtlClient_Ask(sum, options, "GET", "/v1/burn", NULL,
                            targets->addresses, targets->count);
    added = add_reports(sum, replies, targets->count);
    if (added > 0) {
        print_sum(options, sum);
    }
    if (CtlBurn_IsFast(sum)) {
        status = CTL_EXIT_BURN;
    }
    else if (added < targets->count) {
        status = added == 0 ? CTL_EXIT_FAILED : CTL_EXIT_UNREACHABLE;
    }
    status = CtlTargets_ReportUnknown(targets, status);
    talloc_free(sum);
    return status;
}
