#include "coord-gather-state.h"

#include <string.h>
#include <talloc.h>

/* Sends an open shard's request to the next candidate, or gives the shard up
 * when there is none. */
static int
fail_over(HrGather *gather, HrGatherShard *shard, HrReason reason)
{
    if (shard->rank + 1u >= gather->config.candidate_count) {
        HrGather_GiveUp(gather, shard, reason);
        return HR_OK;
    }
    if (HrGatherQueue_Reserve(gather, &gather->queue, 1) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    shard->rank++;
    shard->sent = false;
    shard->reason = HR_REASON_NONE;
    gather->answer.failovers++;
    HrCounters_Add(gather->config.counters, HR_COUNTER_gather_failovers, 1);
    HrGather_PushShard(gather, HR_GATHER_SEND, shard);
    return HR_OK;
}

/* Handles an answer that names another shard or version than its attempt, or
 * has no payload. It never counts. */
static int
handle_bad_answer(HrGather *gather, HrGatherShard *shard, bool is_last)
{
    HrCounters_Add(gather->config.counters, HR_COUNTER_gather_bad_answers, 1);
    gather->may_have_run = true;
    if (!is_last || shard->state != HR_SHARD_OPEN) {
        return HR_OK;
    }
    /* A non-idempotent request waits for a valid answer until its deadline,
     * because it cannot be sent again. */
    if (!gather->idempotent) {
        shard->reason = HR_REASON_BAD_ANSWER;
        return HR_OK;
    }
    return fail_over(gather, shard, HR_REASON_BAD_ANSWER);
}

/* Counts the payload of a shard. */
static int
accept_payload(HrGather *gather, HrGatherShard *shard, uint32_t rank,
               const HrSubAnswer *answer, int64_t now_ns)
{
    HrGatherSnapshot *snapshot = gather->snapshot;

    if (snapshot->payload_bytes + answer->payload.length_bytes >
        gather->config.max_payload_bytes) {
        gather->may_have_run = true;
        HrGather_GiveUp(gather, shard, HR_REASON_OVERLOADED);
        return HR_OK;
    }
    if (rank != shard->rank && shard->state == HR_SHARD_OPEN && shard->sent) {
        if (HrGatherQueue_Reserve(gather, &gather->queue, 1) != HR_OK) {
            return HR_ERR_NO_MEMORY;
        }
        HrGather_PushShard(gather, HR_GATHER_CANCEL_SUB, shard);
    }
    if (HrGatherSnapshot_Store(snapshot, shard, answer, now_ns) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    HrGatherSnapshot_SetState(snapshot, shard, HR_SHARD_ANSWERED);
    if (gather->answer.first_part_ns == 0) {
        gather->answer.first_part_ns = now_ns;
    }
    gather->answer.last_part_ns = now_ns;
    return HR_OK;
}

/* Handles a scheduling daemon's report that no server started the request. */
static int
handle_declined(HrGather *gather, HrGatherShard *shard, HrReason reason)
{
    /* Another daemon may schedule the group; the other reasons concern the
     * group's servers, which every candidate shares. */
    if (reason == HR_REASON_NOT_SCHEDULER || reason == HR_REASON_DRAINING) {
        return fail_over(gather, shard, reason);
    }
    HrGather_GiveUp(gather, shard, reason);
    return HR_OK;
}

/* Handles a failure that the last attempt of an open shard reports. */
static int
handle_failed_answer(HrGather *gather, HrGatherShard *shard,
                     const HrSubAnswer *answer, int64_t now_ns)
{
    switch (answer->outcome) {
    case HR_OUTCOME_DECLINED:
        return handle_declined(gather, shard, answer->reason);
    case HR_OUTCOME_NO_VERSION:
        HrGather_LoseVersion(gather, shard, now_ns);
        return HR_OK;
    case HR_OUTCOME_UNKNOWN:
    case HR_OUTCOME_ANSWERED:
        break;
    }
    gather->may_have_run = true;
    HrGather_GiveUp(gather, shard, answer->reason);
    return HR_OK;
}

/* Returns true if the answer names the shard and the version of its attempt
 * and is whole. */
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

/* Returns true if the gather still takes an answer for a shard. An idempotent
 * request takes the payload of any of its attempts while the query runs. */
static bool
takes_answer(const HrGather *gather, const HrGatherShard *shard,
             const HrSubAnswer *answer, bool is_last)
{
    if (shard->state == HR_SHARD_ANSWERED) {
        return false;
    }
    if (gather->idempotent && answer->outcome == HR_OUTCOME_ANSWERED) {
        return true;
    }
    return is_last && shard->state == HR_SHARD_OPEN;
}

/* Handles a sub-answer, which counts only if query, attempt, shard and
 * version are the ones asked for. */
int
HrGather_HandleAnswer(HrGather *gather, const HrSubAnswer *answer,
                      int64_t now_ns)
{
    HrGatherSubId id = HrGatherSubId_Unpack(answer->sub_id);
    HrGatherShard *shard = NULL;
    bool is_last;
    int rc;

    if (HrQueryId_Equals(&answer->query, &gather->query)) {
        shard = HrGatherSnapshot_Find(gather->snapshot, id);
    }
    is_last = shard != NULL && id.rank == shard->rank;
    if (shard == NULL || !takes_answer(gather, shard, answer, is_last)) {
        HrCounters_Add(gather->config.counters, HR_COUNTER_sub_answers_dropped,
                       1);
        return HR_OK;
    }
    if (!matches_attempt(gather, shard, answer)) {
        rc = handle_bad_answer(gather, shard, is_last);
    }
    else if (answer->outcome == HR_OUTCOME_ANSWERED) {
        rc = accept_payload(gather, shard, id.rank, answer, now_ns);
    }
    else {
        rc = handle_failed_answer(gather, shard, answer, now_ns);
    }
    return rc == HR_OK ? HrGather_Settle(gather, now_ns) : rc;
}

/* Handles the failure of the link to a scheduling daemon. */
int
HrGather_HandlePeerFailure(HrGather *gather,
                           const HrGatherPeerFailure *failure, int64_t now_ns)
{
    HrGatherSubId id = HrGatherSubId_Unpack(failure->sub_id);
    HrGatherShard *shard = HrGatherSnapshot_Find(gather->snapshot, id);
    int rc;

    if (shard == NULL || id.rank != shard->rank ||
        shard->state != HR_SHARD_OPEN) {
        return HR_OK;
    }
    gather->may_have_run = gather->may_have_run || failure->handed_over;
    if (failure->handed_over && !gather->idempotent) {
        HrGather_GiveUp(gather, shard, failure->reason);
        return HrGather_Settle(gather, now_ns);
    }
    rc = fail_over(gather, shard, failure->reason);
    return rc == HR_OK ? HrGather_Settle(gather, now_ns) : rc;
}
