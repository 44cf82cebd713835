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
        .shard_index = (uint32_t)(shard - gather->snapshot->shards),
    };

    return HrGatherSubId_Pack(id);
}

/* Queues an action for the last attempt of a shard. Room for it must have been
 * reserved. */
void
HrGather_QueueShardAction(HrGather *gather, HrGatherActionKind kind,
                          const HrGatherShard *shard)
{
    HrGatherQueuedAction queued = {
        .kind = kind,
        .sub_id = make_sub_id(gather, shard),
        .group = shard->group,
    };

    HrGatherQueue_PushAction(&gather->queue, queued);
}

/* Queues the cancellation of every attempt in progress. */
int
HrGather_CancelAttempts(HrGather *gather)
{
    HrGatherSnapshot *snapshot = gather->snapshot;
    uint32_t i;

    if (HrGatherQueue_ReserveSlots(gather, &gather->queue,
                                   snapshot->state_counts[HR_SHARD_PENDING]) !=
        HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < snapshot->shard_count; i++) {
        HrGatherShard *shard = &snapshot->shards[i];

        if (shard->state == HR_SHARD_PENDING && shard->sent) {
            HrGather_QueueShardAction(gather, HR_GATHER_CANCEL_SUB, shard);
        }
    }
    return HR_OK;
}

/* Finishes the query; pending_reason is why pending shards are missing. */
int
HrGather_FinishQuery(HrGather *gather, HrReason pending_reason, int64_t now_ns)
{
    HrGatherQueuedAction queued = {.kind = HR_GATHER_FINISH};
    HrGatherAnswerInputs inputs = {
        .pending_reason = pending_reason,
        .idempotent = gather->idempotent,
        .may_have_run = gather->may_have_run,
    };

    if (gather->snapshot != NULL && HrGather_CancelAttempts(gather) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    if (HrGatherQueue_ReserveSlots(gather, &gather->queue, 1) != HR_OK ||
        HrGatherAnswer_FillFromSnapshot(gather, &gather->answer,
                                        gather->snapshot, &inputs) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    gather->answer.finished_ns = now_ns;
    gather->phase = HR_PHASE_FINISHED;
    HrGatherQueue_PushAction(&gather->queue, queued);
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

/* Requests index maps if the completion rule cannot be met without the shards
 * whose version no server holds. */
static int
request_maps_if_needed(HrGather *gather)
{
    const uint32_t *counts = gather->snapshot->state_counts;
    HrGatherQueuedAction queued = {.kind = HR_GATHER_PULL_MAPS};

    if (counts[HR_SHARD_NO_VERSION] == 0 ||
        gather->pull_state != HR_PULL_NONE ||
        counts[HR_SHARD_ANSWERED] + counts[HR_SHARD_PENDING] >=
            count_needed(gather)) {
        return HR_OK;
    }
    if (HrGatherQueue_ReserveSlots(gather, &gather->queue, 1) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    gather->pull_state = HR_PULL_AWAITED;
    HrGatherQueue_PushAction(&gather->queue, queued);
    return HR_OK;
}

/* Finishes the query if its completion rule is met or no shard can answer any
 * more; else requests index maps if needed. */
int
HrGather_CheckCompletion(HrGather *gather, int64_t now_ns)
{
    const uint32_t *counts = gather->snapshot->state_counts;

    if (counts[HR_SHARD_ANSWERED] >= count_needed(gather)) {
        return HrGather_FinishQuery(gather, HR_REASON_NOT_NEEDED, now_ns);
    }
    if (counts[HR_SHARD_PENDING] == 0 && counts[HR_SHARD_NO_VERSION] == 0) {
        return HrGather_FinishQuery(gather, HR_REASON_NONE, now_ns);
    }
    return request_maps_if_needed(gather);
}

/* Marks a shard as missing. */
void
HrGather_FailShard(HrGather *gather, HrGatherShard *shard, HrReason reason)
{
    /* The answer has a reason for each missing shard, even if the peer gave
     * none. */
    shard->reason = reason == HR_REASON_NONE ? HR_REASON_SERVER_ERROR : reason;
    HrGatherSnapshot_SetShardState(gather->snapshot, shard, HR_SHARD_MISSING);
}
