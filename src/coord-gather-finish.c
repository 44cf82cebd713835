#include "coord-gather-state.h"

#include <talloc.h>

#include "coord-gather-answer.h"

/* Returns the sub-request id of the last attempt of a shard. */
static uint32_t
make_sub_id(const HrGather *gather, const HrGatherShard *shard)
{
    HrGatherSubId id = {
        .epoch = gather->snapshot->epoch,
        .rank = shard->rank,
        .index = (uint32_t)(shard - gather->snapshot->shards),
    };

    return HrGatherSubId_Pack(id);
}

/* Queues an action for the last attempt of a shard. */
void
HrGather_PushShard(HrGather *gather, HrGatherActionKind kind,
                   const HrGatherShard *shard)
{
    HrGatherPending pending = {
        .kind = kind,
        .sub_id = make_sub_id(gather, shard),
        .group = shard->group,
    };

    HrGatherQueue_Push(&gather->queue, pending);
}

/* Queues the cancellation of every attempt in progress. */
int
HrGather_CancelAll(HrGather *gather)
{
    HrGatherSnapshot *snapshot = gather->snapshot;
    uint32_t i;

    if (HrGatherQueue_Reserve(gather, &gather->queue,
                              snapshot->state_counts[HR_SHARD_OPEN]) !=
        HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < snapshot->shard_count; i++) {
        HrGatherShard *shard = &snapshot->shards[i];

        if (shard->state == HR_SHARD_OPEN && shard->sent) {
            HrGather_PushShard(gather, HR_GATHER_CANCEL_SUB, shard);
        }
    }
    return HR_OK;
}

/* Ends the query; open shards are missing for the given reason. */
int
HrGather_Finish(HrGather *gather, HrReason open_reason, int64_t now_ns)
{
    HrGatherPending pending = {.kind = HR_GATHER_FINISH};
    HrGatherEnd end = {
        .open_reason = open_reason,
        .idempotent = gather->idempotent,
        .may_have_run = gather->may_have_run,
    };

    if (gather->snapshot != NULL && HrGather_CancelAll(gather) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    if (HrGatherQueue_Reserve(gather, &gather->queue, 1) != HR_OK ||
        HrGatherAnswer_Fill(gather, &gather->answer, gather->snapshot, &end) !=
            HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    gather->answer.finished_ns = now_ns;
    gather->phase = HR_PHASE_FINISHED;
    HrGatherQueue_Push(&gather->queue, pending);
    return HR_OK;
}

/* Returns the number of shards that the completion rule needs. */
static uint32_t
count_needed(const HrGather *gather)
{
    uint64_t count = gather->snapshot->shard_count;
    uint64_t needed = (count * gather->enough_percent + 99) / 100;

    return needed == 0 ? 1 : (uint32_t)needed;
}

/* Asks for maps when the rule cannot be met without the lost shards. */
static int
pull_maps_if_needed(HrGather *gather)
{
    const uint32_t *counts = gather->snapshot->state_counts;
    HrGatherPending pending = {.kind = HR_GATHER_PULL_MAPS};

    if (counts[HR_SHARD_LOST] == 0 || gather->pull != HR_PULL_NONE ||
        counts[HR_SHARD_ANSWERED] + counts[HR_SHARD_OPEN] >=
            count_needed(gather)) {
        return HR_OK;
    }
    if (HrGatherQueue_Reserve(gather, &gather->queue, 1) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    gather->pull = HR_PULL_AWAITED;
    HrGatherQueue_Push(&gather->queue, pending);
    return HR_OK;
}

/* Ends the query if its rule is met or no shard can still answer. */
int
HrGather_Settle(HrGather *gather, int64_t now_ns)
{
    const uint32_t *counts = gather->snapshot->state_counts;

    if (counts[HR_SHARD_ANSWERED] >= count_needed(gather)) {
        return HrGather_Finish(gather, HR_REASON_NOT_NEEDED, now_ns);
    }
    if (counts[HR_SHARD_OPEN] == 0 && counts[HR_SHARD_LOST] == 0) {
        return HrGather_Finish(gather, HR_REASON_NONE, now_ns);
    }
    return pull_maps_if_needed(gather);
}

/* Gives up a shard. */
void
HrGather_GiveUp(HrGather *gather, HrGatherShard *shard, HrReason reason)
{
    /* An answer names a reason for each missing shard, even if a peer did
     * not. */
    shard->reason = reason == HR_REASON_NONE ? HR_REASON_SERVER_ERROR : reason;
    HrGatherSnapshot_SetState(gather->snapshot, shard, HR_SHARD_MISSING);
}
