#include <string.h>
#include <talloc.h>

#include "coord-claim-partition.h"

/* Queues a message to the holder that sent the message "answered", a claim
 * request or outcome. When out of memory, returns a scratch message that is
 * never sent: the holder resends its own. */
static HrClaimMessage *
push_reply(HrClaimOwner *owner, const HrClaimMessage *answered,
           HrClaimMessageKind kind)
{
    HrClaimOwnerAction *action =
        HrClaimOwner_PushAction(owner, HR_CLAIM_OWNER_ACTION_SEND);
    HrClaimMessage *message;

    if (action == NULL) {
        return &owner->discarded_message;
    }
    action->u.send.daemon_id = answered->holder.daemon_id;
    message = &action->u.send.message;
    message->kind = kind;
    message->holder = answered->holder;
    memcpy(message->request_id, answered->request_id,
           sizeof(message->request_id));
    message->expires_ms = answered->expires_ms;
    return message;
}

/* Replies to a claim request with a verdict that carries no result. */
static HrClaimDecision
reply_verdict(HrClaimOwner *owner, const HrClaimMessage *request,
              HrClaimVerdict verdict)
{
    push_reply(owner, request, HR_CLAIM_MESSAGE_REPLY)->verdict = verdict;
    return HR_CLAIM_DECISION_ANSWERED;
}

HrClaimDecision
HrClaimOwner_RefuseRequest(HrClaimOwner *owner, const HrClaimMessage *request,
                           HrReason reason, bool not_run)
{
    HrClaimMessage *reply = push_reply(owner, request, HR_CLAIM_MESSAGE_REPLY);

    reply->verdict = HR_CLAIM_VERDICT_REFUSED;
    reply->reason = reason;
    reply->not_run = not_run;
    return HR_CLAIM_DECISION_ANSWERED;
}

/* Replies to a claim request with the recorded outcome of another copy. */
static HrClaimDecision
reply_recorded(HrClaimOwner *owner, const HrClaimMessage *request,
               const HrClaimRecord *record)
{
    HrClaimMessage *reply = push_reply(owner, request, HR_CLAIM_MESSAGE_REPLY);

    reply->verdict = HR_CLAIM_VERDICT_RECORDED;
    reply->state = record->state;
    reply->result_bytes = record->result_bytes;
    memcpy(reply->result, record->result, record->result_bytes);
    return HR_CLAIM_DECISION_ANSWERED;
}

/* Acknowledges an outcome to its holder. */
static HrClaimDecision
acknowledge_outcome(HrClaimOwner *owner, const HrClaimMessage *outcome)
{
    push_reply(owner, outcome, HR_CLAIM_MESSAGE_OUTCOME_ACK)->state =
        outcome->state;
    return HR_CLAIM_DECISION_ANSWERED;
}

/* Evaluates a claim request whose request id has a record. */
static HrClaimDecision
evaluate_recorded_request(HrClaimOwner *owner, const HrClaimMessage *request,
                          const HrClaimRecord *record)
{
    switch (record->state) {
    case HR_CLAIM_HELD:
        break;
    case HR_CLAIM_DONE:
    case HR_CLAIM_UNKNOWN:
        return reply_recorded(owner, request, record);
    case HR_CLAIM_RELEASED:
        return HrClaimOwner_RefuseRequest(owner, request, HR_REASON_EXPIRED,
                                          true);
    }
    if (HrClaimHolderId_Equals(&record->holder, &request->holder)) {
        return reply_verdict(owner, request, HR_CLAIM_VERDICT_GRANTED);
    }
    return HR_CLAIM_DECISION_WAIT;
}

/* Evaluates a claim request against the committed value. One whose expiry is
 * not after the watermark is refused regardless of the wall clock, since the
 * record of its id may have been removed. */
static HrClaimDecision
evaluate_request(HrClaimOwner *owner, const HrClaimPartition *partition,
                 const HrClaimOp *op, int64_t wall_ms)
{
    const HrClaimMessage *request = &op->message;
    const HrClaimRecord *record =
        HrClaimValue_Find(partition->committed, request->request_id);

    if (record != NULL) {
        return evaluate_recorded_request(owner, request, record);
    }
    if (request->expires_ms <= partition->committed->watermark_ms) {
        return HrClaimOwner_RefuseRequest(owner, request, HR_REASON_EXPIRED,
                                          false);
    }
    if (request->expires_ms - wall_ms > HR_CLAIM_MAX_EXPIRY_AHEAD_MS) {
        return HrClaimOwner_RefuseRequest(owner, request, HR_REASON_EXPIRED,
                                          request->first_copy);
    }
    return HR_CLAIM_DECISION_CHANGE_VALUE;
}

/* Evaluates an outcome against the committed value. The first recorded outcome
 * is never changed. If the id has no record of this holder, the outcome is
 * acknowledged once a store call that started after the outcome was received
 * confirms that. */
static HrClaimDecision
evaluate_outcome(HrClaimOwner *owner, const HrClaimPartition *partition,
                 const HrClaimOp *op)
{
    const HrClaimMessage *outcome = &op->message;
    const HrClaimRecord *record =
        HrClaimValue_Find(partition->committed, outcome->request_id);

    if (record != NULL &&
        HrClaimHolderId_Equals(&record->holder, &outcome->holder)) {
        return record->state == HR_CLAIM_HELD
                   ? HR_CLAIM_DECISION_CHANGE_VALUE
                   : acknowledge_outcome(owner, outcome);
    }
    if (partition->committed_as_of_ns < op->received_ns) {
        return HR_CLAIM_DECISION_READ_STORE;
    }
    return acknowledge_outcome(owner, outcome);
}

HrClaimDecision
HrClaimOwner_EvaluateOp(HrClaimOwner *owner, const HrClaimPartition *partition,
                        const HrClaimOp *op, int64_t wall_ms)
{
    if (op->message.kind == HR_CLAIM_MESSAGE_REQUEST) {
        return evaluate_request(owner, partition, op, wall_ms);
    }
    return evaluate_outcome(owner, partition, op);
}

/* Creates a record from a claim request or outcome. Returns NULL when out of
 * memory. */
static HrClaimRecord *
create_record(const HrClaimOwner *owner, const HrClaimMessage *message,
              HrClaimState state)
{
    HrClaimRecord *record = talloc_zero(owner, HrClaimRecord);

    if (record == NULL) {
        return NULL;
    }
    memcpy(record->request_id, message->request_id,
           sizeof(record->request_id));
    record->expires_ms = message->expires_ms;
    record->holder = message->holder;
    record->state = state;
    return record;
}

/* Adds a claim to the proposed value, or refuses it if the value would become
 * too large. For an expired id a RELEASED record is added instead: the reply
 * that the request did not run stays true only if no owner whose wall clock is
 * behind can grant the id later. */
static HrClaimDecision
propose_claim(HrClaimOwner *owner, HrClaimPartition *partition,
              const HrClaimOp *op, int64_t wall_ms, uint64_t *size_bytes)
{
    bool expired = wall_ms >= op->message.expires_ms;
    HrClaimRecord *record;

    if (HrClaimValue_Find(partition->proposed, op->message.request_id)) {
        return HR_CLAIM_DECISION_WAIT;
    }
    record = create_record(owner, &op->message,
                           expired ? HR_CLAIM_RELEASED : HR_CLAIM_HELD);
    if (record == NULL ||
        *size_bytes + HrClaimRecord_GetMaxEncodedSize(record) >
            HR_CLAIM_VALUE_BYTES ||
        HrClaimValue_Put(partition->proposed, record) != HR_OK) {
        talloc_free(record);
        return HrClaimOwner_RefuseRequest(
            owner, &op->message, HR_REASON_OVERLOADED, op->message.first_copy);
    }
    *size_bytes += HrClaimRecord_GetMaxEncodedSize(record);
    return HR_CLAIM_DECISION_CHANGE_VALUE;
}

/* Adds an outcome to the proposed value. The result is omitted if the value
 * would become too large; the state always fits. If the record has been
 * removed as expired, nothing is added, and the commit stores the removal. */
static HrClaimDecision
propose_outcome(HrClaimOwner *owner, HrClaimPartition *partition,
                const HrClaimOp *op, uint64_t *size_bytes)
{
    const HrClaimMessage *outcome = &op->message;
    const HrClaimRecord *held =
        HrClaimValue_Find(partition->proposed, outcome->request_id);
    HrClaimRecord *record;

    if (held == NULL) {
        return HR_CLAIM_DECISION_CHANGE_VALUE;
    }
    if (!HrClaimHolderId_Equals(&held->holder, &outcome->holder) ||
        held->state != HR_CLAIM_HELD) {
        return HR_CLAIM_DECISION_WAIT;
    }
    if (outcome->state == HR_CLAIM_RELEASED &&
        outcome->reason != HR_REASON_EXPIRED) {
        HrClaimValue_Remove(partition->proposed, outcome->request_id);
        return HR_CLAIM_DECISION_CHANGE_VALUE;
    }
    record = create_record(owner, outcome, outcome->state);
    if (record == NULL) {
        return HR_CLAIM_DECISION_WAIT;
    }
    record->expires_ms = held->expires_ms;
    if (*size_bytes + outcome->result_bytes <= HR_CLAIM_VALUE_BYTES) {
        record->result_bytes = outcome->result_bytes;
        memcpy(record->result, outcome->result, outcome->result_bytes);
        *size_bytes += outcome->result_bytes;
    }
    /* Cannot fail: replacing a record allocates no memory. */
    HrClaimValue_Put(partition->proposed, record);
    return HR_CLAIM_DECISION_CHANGE_VALUE;
}

/* Applies an operation's change to the proposed value and updates *size_bytes,
 * the upper bound of that value's encoded size. Returns CHANGE_VALUE when the
 * operation is part of the commit, WAIT when another operation on the same id
 * must be committed first or when out of memory, and ANSWERED when it was
 * refused. */
HrClaimDecision
HrClaimOwner_ProposeChange(HrClaimOwner *owner, HrClaimPartition *partition,
                           const HrClaimOp *op, int64_t wall_ms,
                           uint64_t *size_bytes)
{
    if (op->message.kind == HR_CLAIM_MESSAGE_REQUEST) {
        return propose_claim(owner, partition, op, wall_ms, size_bytes);
    }
    return propose_outcome(owner, partition, op, size_bytes);
}
