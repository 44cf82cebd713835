#include "coord-gather-answer.h"

#include <talloc.h>

/* Returns why a shard is missing from the answer. */
static HrReason
find_reason(const HrGatherShard *shard, HrReason open_reason)
{
    if (shard->state == HR_SHARD_LOST) {
        return HR_REASON_NO_VERSION;
    }
    if (shard->state == HR_SHARD_OPEN && shard->reason == HR_REASON_NONE) {
        return open_reason;
    }
    return shard->reason;
}

/* Adds a shard that contributed. */
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

/* Adds a shard that did not contribute. */
static void
add_gap(HrGatherAnswer *answer, const HrGatherShard *shard, HrReason reason)
{
    HrShardGap *gap = &answer->gaps[answer->gap_count++];

    gap->shard = shard->name;
    gap->group = shard->group;
    gap->reason = reason;
}

/* Fills the parts and the gaps. Returns 0 or HR_ERR_NO_MEMORY. */
static int
fill_coverage(const void *parent, HrGatherAnswer *answer,
              const HrGatherSnapshot *snapshot, HrReason open_reason)
{
    uint32_t parts = snapshot->state_counts[HR_SHARD_ANSWERED];
    uint32_t i;

    answer->parts = talloc_array(parent, HrShardPart, parts);
    answer->gaps =
        talloc_array(parent, HrShardGap, snapshot->shard_count - parts);
    if (answer->parts == NULL || answer->gaps == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < snapshot->shard_count; i++) {
        const HrGatherShard *shard = &snapshot->shards[i];

        if (shard->state == HR_SHARD_ANSWERED) {
            add_part(answer, shard);
        }
        else {
            add_gap(answer, shard, find_reason(shard, open_reason));
        }
    }
    return HR_OK;
}

/* Returns true if an attempt is in progress or has run. */
static bool
may_have_run(const HrGatherSnapshot *snapshot)
{
    uint32_t i;

    for (i = 0; i < snapshot->shard_count; i++) {
        const HrGatherShard *shard = &snapshot->shards[i];

        if (shard->state == HR_SHARD_ANSWERED ||
            (shard->state == HR_SHARD_OPEN && shard->sent)) {
            return true;
        }
    }
    return false;
}

/* Returns the status of an answer with its coverage. */
static HrStatus
find_status(const HrGatherAnswer *answer, bool idempotent, bool ran)
{
    if (!idempotent) {
        if (answer->part_count > 0) {
            return HR_STATUS_DONE;
        }
        return ran ? HR_STATUS_UNKNOWN : HR_STATUS_REFUSED;
    }
    if (answer->part_count > 0 && answer->gap_count == 0) {
        return HR_STATUS_COMPLETE;
    }
    return ran ? HR_STATUS_PARTIAL : HR_STATUS_REFUSED;
}

/* Fills the status, the parts and the gaps of the answer. */
int
HrGatherAnswer_Fill(const void *parent, HrGatherAnswer *answer,
                    const HrGatherSnapshot *snapshot, const HrGatherEnd *end)
{
    bool ran = end->may_have_run;

    answer->reason = end->open_reason;
    if (snapshot != NULL) {
        int rc = fill_coverage(parent, answer, snapshot, end->open_reason);

        if (rc != HR_OK) {
            return rc;
        }
        answer->version = snapshot->version;
        ran = ran || may_have_run(snapshot);
    }
    answer->status = find_status(answer, end->idempotent, ran);
    answer->not_run = answer->status == HR_STATUS_REFUSED && !ran;
    if (answer->status != HR_STATUS_REFUSED &&
        answer->status != HR_STATUS_UNKNOWN) {
        answer->reason = HR_REASON_NONE;
    }
    else if (answer->gap_count > 0) {
        answer->reason = answer->gaps[0].reason;
    }
    return HR_OK;
}

/* Returns the stable lower-case name of a status. */
const char *
HrStatus_Name(HrStatus status)
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
