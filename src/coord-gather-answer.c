#include "coord-gather-answer.h"

#include <talloc.h>

/* Returns why a shard is missing from the answer. */
static HrReason
find_missing_reason(const HrGatherShard *shard, HrReason pending_reason)
{
    if (shard->state == HR_SHARD_NO_VERSION) {
        return HR_REASON_NO_VERSION;
    }
    if (shard->state == HR_SHARD_PENDING && shard->reason == HR_REASON_NONE) {
        return pending_reason;
    }
    return shard->reason;
}

static void
add_part(HrGatherAnswer *answer, const HrGatherShard *shard)
{
    HrShardPart *part = &answer->parts[answer->part_count++];

    part->shard = shard->name;
    part->group = shard->group;
    part->server = shard->server;
    part->payload = shard->payload;
    part->latency_ns = shard->latency_ns;
}

static void
add_missing_shard(HrGatherAnswer *answer, const HrGatherShard *shard,
                  HrReason reason)
{
    HrMissingShard *missing = &answer->missing[answer->missing_count++];

    missing->shard = shard->name;
    missing->group = shard->group;
    missing->reason = reason;
}

/* Fills the parts and the missing shards. Returns 0 or HR_ERR_NO_MEMORY. */
static int
fill_coverage(const void *parent, HrGatherAnswer *answer,
              const HrGatherSnapshot *snapshot, HrReason pending_reason)
{
    uint32_t parts = snapshot->state_counts[HR_SHARD_ANSWERED];
    uint32_t i;

    answer->parts = talloc_array(parent, HrShardPart, parts);
    answer->missing =
        talloc_array(parent, HrMissingShard, snapshot->shard_count - parts);
    if (answer->parts == NULL || answer->missing == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < snapshot->shard_count; i++) {
        const HrGatherShard *shard = &snapshot->shards[i];

        if (shard->state == HR_SHARD_ANSWERED) {
            add_part(answer, shard);
        }
        else {
            add_missing_shard(answer, shard,
                              find_missing_reason(shard, pending_reason));
        }
    }
    return HR_OK;
}

/* Returns true if a server has answered or an attempt is in progress. */
static bool
has_started_attempt(const HrGatherSnapshot *snapshot)
{
    uint32_t i;

    for (i = 0; i < snapshot->shard_count; i++) {
        const HrGatherShard *shard = &snapshot->shards[i];

        if (shard->state == HR_SHARD_ANSWERED ||
            (shard->state == HR_SHARD_PENDING && shard->sent)) {
            return true;
        }
    }
    return false;
}

/* Returns the status that follows from the coverage of the answer. */
static HrQueryStatus
find_status(const HrGatherAnswer *answer, bool idempotent, bool may_have_run)
{
    if (!idempotent) {
        if (answer->part_count > 0) {
            return HR_STATUS_DONE;
        }
        return may_have_run ? HR_STATUS_UNKNOWN : HR_STATUS_REFUSED;
    }
    if (answer->part_count > 0 && answer->missing_count == 0) {
        return HR_STATUS_COMPLETE;
    }
    return may_have_run ? HR_STATUS_PARTIAL : HR_STATUS_REFUSED;
}

/* Fills the status, the reason, the parts and the missing shards of the
 * answer. */
int
HrGatherAnswer_FillFromSnapshot(const void *parent, HrGatherAnswer *answer,
                                const HrGatherSnapshot *snapshot,
                                const HrGatherAnswerInputs *inputs)
{
    bool may_have_run = inputs->may_have_run;

    answer->reason = inputs->pending_reason;
    if (snapshot != NULL) {
        int rc =
            fill_coverage(parent, answer, snapshot, inputs->pending_reason);

        if (rc != HR_OK) {
            return rc;
        }
        answer->version = snapshot->version;
        may_have_run = may_have_run || has_started_attempt(snapshot);
    }
    answer->status = find_status(answer, inputs->idempotent, may_have_run);
    answer->not_run = answer->status == HR_STATUS_REFUSED && !may_have_run;
    if (answer->status != HR_STATUS_REFUSED &&
        answer->status != HR_STATUS_UNKNOWN) {
        answer->reason = HR_REASON_NONE;
    }
    else if (answer->missing_count > 0) {
        answer->reason = answer->missing[0].reason;
    }
    return HR_OK;
}

/* Returns the lower-case name of a status, or "other" for an unknown value.
 * Names are sent in messages, so they must not change. */
const char *
HrQueryStatus_GetName(HrQueryStatus status)
{
    switch (status) {
    case HR_STATUS_COMPLETE:
        return "complete";
    case HR_STATUS_PARTIAL:
        return "partial";
    case HR_STATUS_REFUSED:
        return "refused";
    case HR_STATUS_DONE:
        return "done";
    case HR_STATUS_UNKNOWN:
        return "unknown";
    }
    return "other";
}
