#include "coord-gather-state.h"

#include <string.h>
#include <talloc.h>

/* Queues the request of a pending shard for the next candidate, or marks the
 * shard as missing if there is none. Returns 0 or HR_ERR_NO_MEMORY. */
static int
fail_over_shard(HrGather *gather, HrGatherShard *shard, HrReason reason)
{
    if (shard->rank + 1u >= gather->config.candidate_count) {
        HrGather_FailShard(gather, shard, reason);
        return HR_OK;
    }
    if (HrGatherQueue_ReserveSlots(gather, &gather->queue, 1) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    shard->rank++;
    shard->sent = false;
    shard->reason = HR_REASON_NONE;
    gather->answer.failovers++;
    HrCounters_Add(gather->config.counters, HR_COUNTER_gather_failovers, 1);
    HrGather_QueueShardAction(gather, HR_GATHER_SEND, shard);
    return HR_OK;
}

/* Handles an answer whose shard or version does not match its attempt, or that
 * has no payload. Its content is never used. */
static int
handle_bad_answer(HrGather *gather, HrGatherShard *shard, bool is_last_attempt)
{
    HrCounters_Add(gather->config.counters, HR_COUNTER_gather_bad_answers, 1);
    gather->may_have_run = true;
    if (!is_last_attempt || shard->state != HR_SHARD_PENDING) {
        return HR_OK;
    }
    /* A non-idempotent request waits for a valid answer until its deadline,
     * because it cannot be sent again. */
    if (!gather->idempotent) {
        shard->reason = HR_REASON_BAD_ANSWER;
        return HR_OK;
    }
    return fail_over_shard(gather, shard, HR_REASON_BAD_ANSWER);
}

/* Stores the payload of a shard, unless it exceeds the payload limit of the
 * query, and cancels a later attempt that is still in progress. */
static int
accept_payload(HrGather *gather, HrGatherShard *shard, uint32_t rank,
               const HrSubAnswer *answer, int64_t now_ns)
{
    HrGatherSnapshot *snapshot = gather->snapshot;

    if (snapshot->payload_bytes + answer->payload.length_bytes >
        gather->config.max_payload_bytes) {
        gather->may_have_run = true;
        HrGather_FailShard(gather, shard, HR_REASON_OVERLOADED);
        return HR_OK;
    }
    if (rank != shard->rank && shard->state == HR_SHARD_PENDING &&
        shard->sent) {
        if (HrGatherQueue_ReserveSlots(gather, &gather->queue, 1) != HR_OK) {
            return HR_ERR_NO_MEMORY;
        }
        HrGather_QueueShardAction(gather, HR_GATHER_CANCEL_SUB, shard);
    }
    if (HrGatherSnapshot_StoreAnswer(snapshot, shard, answer, now_ns) !=
        HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    HrGatherSnapshot_SetShardState(snapshot, shard, HR_SHARD_ANSWERED);
    if (gather->answer.first_part_ns == 0) {
        gather->answer.first_part_ns = now_ns;
    }
    gather->answer.last_part_ns = now_ns;
    return HR_OK;
}

/* Handles a scheduling daemon's report that no server started the request. */
static int
handle_declined_answer(HrGather *gather, HrGatherShard *shard, HrReason reason)
{
    /* For these two reasons another daemon may be able to schedule the group.
     * All other reasons concern the servers of the group, which are the same
     * for every candidate. */
    if (reason == HR_REASON_NOT_SCHEDULER || reason == HR_REASON_DRAINING) {
        return fail_over_shard(gather, shard, reason);
    }
    HrGather_FailShard(gather, shard, reason);
    return HR_OK;
}

/* Handles a failure reported for the last attempt of a pending shard. */
static int
handle_failed_answer(HrGather *gather, HrGatherShard *shard,
                     const HrSubAnswer *answer, int64_t now_ns)
{
    switch (answer->outcome) {
    case HR_OUTCOME_DECLINED:
        return handle_declined_answer(gather, shard, answer->reason);
    case HR_OUTCOME_NO_VERSION:
        HrGather_HandleMissingVersion(gather, shard, now_ns);
        return HR_OK;
    case HR_OUTCOME_UNKNOWN:
    case HR_OUTCOME_ANSWERED:
        break;
    }
    gather->may_have_run = true;
    HrGather_FailShard(gather, shard, answer->reason);
    return HR_OK;
}

/* Returns true if the shard and the version of the answer match its attempt
 * and, if the server answered, the payload is not empty. */
static bool
matches_attempt(const HrGather *gather, const HrGatherShard *shard,
                const HrSubAnswer *answer)
{
    if (answer->shard == NULL || strcmp(answer->shard, shard->name) != 0 ||
        answer->version != gather->snapshot->version) {
        return false;
    }
    return answer->outcome != HR_OUTCOME_ANSWERED ||
           (answer->payload.data != NULL && answer->payload.length_bytes > 0);
}

/* Returns true if the answer can still change the state of the shard. An
 * idempotent request accepts the payload of any of its attempts while the
 * query runs. */
static bool
accepts_answer(const HrGather *gather, const HrGatherShard *shard,
               const HrSubAnswer *answer, bool is_last_attempt)
{
    if (shard->state == HR_SHARD_ANSWERED) {
        return false;
    }
    if (gather->idempotent && answer->outcome == HR_OUTCOME_ANSWERED) {
        return true;
    }
    return is_last_attempt && shard->state == HR_SHARD_PENDING;
}

/* Handles a sub-answer. It counts only if its query, attempt, shard and
 * version match the sub-request. */
int
HrGather_HandleAnswer(HrGather *gather, const HrSubAnswer *answer,
                      int64_t now_ns)
{
    HrGatherSubId id = HrGatherSubId_Unpack(answer->sub_id);
    HrGatherShard *shard = NULL;
    bool is_last_attempt;
    int rc;

    if (HrQueryId_Equals(&answer->query, &gather->query)) {
        shard = HrGatherSnapshot_FindShard(gather->snapshot, id);
    }
    is_last_attempt = shard != NULL && id.rank == shard->rank;
    if (shard == NULL ||
        !accepts_answer(gather, shard, answer, is_last_attempt)) {
        HrCounters_Add(gather->config.counters, HR_COUNTER_sub_answers_dropped,
                       1);
        return HR_OK;
    }
    if (!matches_attempt(gather, shard, answer)) {
        rc = handle_bad_answer(gather, shard, is_last_attempt);
    }
    else if (answer->outcome == HR_OUTCOME_ANSWERED) {
        rc = accept_payload(gather, shard, id.rank, answer, now_ns);
    }
    else {
        rc = handle_failed_answer(gather, shard, answer, now_ns);
    }
    return rc == HR_OK ? HrGather_CheckCompletion(gather, now_ns) : rc;
}

/* Handles a failed delivery or a failed link to a scheduling daemon: tries the
 * next candidate, unless the request is non-idempotent and may have run. */
int
HrGather_HandlePeerFailure(HrGather *gather,
                           const HrGatherPeerFailure *failure, int64_t now_ns)
{
    HrGatherSubId id = HrGatherSubId_Unpack(failure->sub_id);
    HrGatherShard *shard = HrGatherSnapshot_FindShard(gather->snapshot, id);
    int rc;

    if (shard == NULL || id.rank != shard->rank ||
        shard->state != HR_SHARD_PENDING) {
        return HR_OK;
    }
    gather->may_have_run = gather->may_have_run || failure->send_started;
    if (failure->send_started && !gather->idempotent) {
        HrGather_FailShard(gather, shard, failure->reason);
        return HrGather_CheckCompletion(gather, now_ns);
    }
    rc = fail_over_shard(gather, shard, failure->reason);
    return rc == HR_OK ? HrGather_CheckCompletion(gather, now_ns) : rc;
}
