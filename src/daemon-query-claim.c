#include <string.h>
#include <talloc.h>

#include "coord-claim.h"
#include "daemon-query-state.h"

/* Requests the control task to claim the request id of a query. */
void
HrQuery_StartClaim(HrQuery *query)
{
    HrTask *task = query->owner->task;
    HrMessage *message = HrMessage_Create(HR_MESSAGE_CLAIM_START);

    if (message != NULL) {
        message->u.claim_start.token = query->id.counter;
        message->u.claim_start.query_task = task->index;
        message->u.claim_start.request_id =
            HrMessage_CopyText(message, query->caller->request_id);
        message->u.claim_start.expires_ms = query->caller->expires_ms;
        message->u.claim_start.first_copy = query->caller->attempt == 1;
        message->u.claim_start.deadline_ns = query->deadline_ns;
    }
    HrTask_PostMessage(task, task->daemon->control, message);
}

/* Reports the outcome of a granted claim to the control task. */
static void
post_claim_outcome(HrQueryTask *state, uint64_t sequence,
                   HrClaimState claim_state, HrBytes result)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_CLAIM_OUTCOME);

    if (message != NULL) {
        message->u.claim_outcome.sequence = sequence;
        message->u.claim_outcome.state = (int)claim_state;
        message->u.claim_outcome.result = HrMessage_CopyBytes(message, result);
    }
    HrTask_PostMessage(state->task, state->task->daemon->control, message);
}

/* Reports the outcome of a claimed query to the control task. */
void
HrQuery_SendClaimOutcome(HrQuery *query, const HrGatherAnswer *answer)
{
    HrBytes result = {NULL, 0};
    HrClaimState state = HR_CLAIM_UNKNOWN;

    if (answer->status == HR_STATUS_DONE) {
        state = HR_CLAIM_DONE;
        result = answer->parts[0].payload;
    }
    else if (answer->status == HR_STATUS_REFUSED && answer->not_run) {
        state = HR_CLAIM_RELEASED;
    }
    post_claim_outcome(query->owner, query->claim_sequence, state, result);
}

/* Answers with the recorded result of an earlier copy of the request. A result
 * that was too long to be recorded is replaced by an empty JSON object. */
static void
send_recorded_result(HrQuery *query, const HrMessage *message)
{
    static const uint8_t none[] = "{}";
    HrShardPart part = {.shard = "", .group = ""};
    HrGatherAnswer answer = {.status = HR_STATUS_DONE,
                             .parts = &part,
                             .part_count = 1,
                             .started_ns = query->received_ns};

    part.payload = message->u.claim_result.result;
    if (part.payload.length_bytes == 0) {
        part.payload.data = none;
        part.payload.length_bytes = sizeof(none) - 1;
    }
    answer.finished_ns = HrLoop_NowNs(query->owner->task->loop);
    HrQuery_SendAnswer(query, &answer);
}

/* Answers that an earlier copy of the request may have run. */
static void
send_unknown_answer(HrQuery *query, HrReason reason)
{
    HrGatherAnswer answer = {.status = HR_STATUS_UNKNOWN,
                             .reason = reason,
                             .started_ns = query->received_ns};

    answer.finished_ns = HrLoop_NowNs(query->owner->task->loop);
    HrQuery_SendAnswer(query, &answer);
}

/* Runs a claimed query, or refuses it if its deadline has passed. */
static void
dispatch_query(HrQuery *query, uint64_t sequence)
{
    query->claimed = true;
    query->claim_sequence = sequence;
    if (HrLoop_NowNs(query->owner->task->loop) >= query->deadline_ns) {
        HrQuery_Refuse(query, HR_REASON_DEADLINE, true);
        return;
    }
    HrQuery_StartNextPhase(query);
}

/* Handles the result of a claim. A claim that was granted to a query that no
 * longer waits for it is released. */
void
HrQueryTask_HandleClaimResult(HrQueryTask *state, const HrMessage *message)
{
    uint64_t token = message->u.claim_result.token;
    const HrBytes none = {NULL, 0};
    HrQuery *query = NULL;

    HASH_FIND(hh, state->queries, &token, sizeof(token), query);
    if (query == NULL || query->phase != HR_QUERY_CLAIM) {
        if (message->u.claim_result.dispatch) {
            post_claim_outcome(state, message->u.claim_result.sequence,
                               HR_CLAIM_RELEASED, none);
        }
        return;
    }
    if (message->u.claim_result.dispatch) {
        dispatch_query(query, message->u.claim_result.sequence);
    }
    else if (message->u.claim_result.recorded) {
        send_recorded_result(query, message);
    }
    else if (message->u.claim_result.reason == HR_REASON_NONE) {
        send_unknown_answer(query, HR_REASON_NONE);
    }
    else {
        HrQuery_Refuse(query, message->u.claim_result.reason,
                       message->u.claim_result.not_run);
    }
}
