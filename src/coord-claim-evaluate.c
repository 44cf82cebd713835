#include <string.h>
#include <talloc.h>

#include "coord-claim-partition.h"

/* Returns a queued message to the holder of an ask or outcome. A message that
 * cannot be allocated counts as lost: the holder asks again. */
static HrClaimMessage *
push_message(HrClaimOwner *owner, const HrClaimMessage *about,
             HrClaimMessageKind kind)
{
    HrClaimOwnerAction *action =
        HrClaimOwner_Push(owner, HR_CLAIM_OWNER_ACTION_SEND);
    HrClaimMessage *message;

    if (action == NULL) {
        return &owner->unsent;
    }
    action->u.send.daemon_id = about->holder.daemon_id;
    message = &action->u.send.message;
    message->kind = kind;
    message->holder = about->holder;
    memcpy(message->request_id, about->request_id,
           sizeof(message->request_id));
    message->expires_ms = about->expires_ms;
    return message;
}

/* Answers an ask with a verdict without a result. */
static HrClaimFinding
reply_verdict(HrClaimOwner *owner, const HrClaimMessage *ask,
              HrClaimVerdict verdict)
{
    push_message(owner, ask, HR_CLAIM_MESSAGE_REPLY)->verdict = verdict;
    return HR_CLAIM_FINDING_ANSWERED;
}

/* Refuses an ask. */
HrClaimFinding
HrClaimOwner_Refuse(HrClaimOwner *owner, const HrClaimMessage *ask,
                    HrReason reason, bool not_run)
{
    HrClaimMessage *reply = push_message(owner, ask, HR_CLAIM_MESSAGE_REPLY);

    reply->verdict = HR_CLAIM_VERDICT_REFUSED;
    reply->reason = reason;
    reply->not_run = not_run;
    return HR_CLAIM_FINDING_ANSWERED;
}

/* Answers an ask with the outcome that another copy had. */
static HrClaimFinding
reply_recorded(HrClaimOwner *owner, const HrClaimMessage *ask,
               const HrClaimRecord *record)
{
    HrClaimMessage *reply = push_message(owner, ask, HR_CLAIM_MESSAGE_REPLY);

    reply->verdict = HR_CLAIM_VERDICT_RECORDED;
    reply->state = record->state;
    reply->result_bytes = record->result_bytes;
    memcpy(reply->result, record->result, record->result_bytes);
    return HR_CLAIM_FINDING_ANSWERED;
}

/* Confirms an outcome. */
static HrClaimFinding
reply_ack(HrClaimOwner *owner, const HrClaimMessage *outcome)
{
    push_message(owner, outcome, HR_CLAIM_MESSAGE_OUTCOME_ACK)->state =
        outcome->state;
    return HR_CLAIM_FINDING_ANSWERED;
}

/* Evaluates an ask whose id has a record. */
static HrClaimFinding
evaluate_recorded_ask(HrClaimOwner *owner, const HrClaimMessage *ask,
                      const HrClaimRecord *record)
{
    switch (record->state) {
    case HR_CLAIM_HELD:
        break;
    case HR_CLAIM_DONE:
    case HR_CLAIM_UNKNOWN:
        return reply_recorded(owner, ask, record);
    case HR_CLAIM_RELEASED:
        return HrClaimOwner_Refuse(owner, ask, HR_REASON_EXPIRED, true);
    }
    if (HrClaimHolderId_Equals(&record->holder, &ask->holder)) {
        return reply_verdict(owner, ask, HR_CLAIM_VERDICT_GRANTED);
    }
    return HR_CLAIM_FINDING_WAIT;
}

/* Evaluates an ask against the committed value. An id below the watermark is
 * refused whatever the wall clock says, since its record may be dropped. */
static HrClaimFinding
evaluate_ask(HrClaimOwner *owner, const HrClaimPartition *partition,
             const HrClaimOp *op, int64_t wall_ms)
{
    const HrClaimMessage *ask = &op->message;
    const HrClaimRecord *record =
        HrClaimValue_Find(partition->committed, ask->request_id);

    if (record != NULL) {
        return evaluate_recorded_ask(owner, ask, record);
    }
    if (ask->expires_ms <= partition->committed->watermark_ms) {
        return HrClaimOwner_Refuse(owner, ask, HR_REASON_EXPIRED, false);
    }
    if (ask->expires_ms - wall_ms > HR_CLAIM_MAX_AHEAD_MS) {
        return HrClaimOwner_Refuse(owner, ask, HR_REASON_EXPIRED,
                                   ask->first_copy);
    }
    return HR_CLAIM_FINDING_CHANGE;
}

/* Evaluates an outcome against the committed value. The first outcome stays;
 * one without a record is confirmed once a read after its arrival has shown
 * that there is nothing to change. */
static HrClaimFinding
evaluate_outcome(HrClaimOwner *owner, const HrClaimPartition *partition,
                 const HrClaimOp *op)
{
    const HrClaimMessage *outcome = &op->message;
    const HrClaimRecord *record =
        HrClaimValue_Find(partition->committed, outcome->request_id);

    if (record != NULL &&
        HrClaimHolderId_Equals(&record->holder, &outcome->holder)) {
        return record->state == HR_CLAIM_HELD ? HR_CLAIM_FINDING_CHANGE
                                              : reply_ack(owner, outcome);
    }
    if (partition->confirmed_ns < op->arrived_ns) {
        return HR_CLAIM_FINDING_READ;
    }
    return reply_ack(owner, outcome);
}

/* Evaluates an op against the committed value. */
HrClaimFinding
HrClaimOwner_Evaluate(HrClaimOwner *owner, const HrClaimPartition *partition,
                      const HrClaimOp *op, int64_t wall_ms)
{
    if (op->message.kind == HR_CLAIM_MESSAGE_ASK) {
        return evaluate_ask(owner, partition, op, wall_ms);
    }
    return evaluate_outcome(owner, partition, op);
}

/* Returns a new record for an op. */
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

/* Adds a claim to the proposed value; one that does not fit is refused. An
 * expired id is closed instead: "it did not run" is only true if no owner
 * with a slower wall clock can grant it after the answer. */
static HrClaimFinding
propose_claim(HrClaimOwner *owner, HrClaimPartition *partition,
              const HrClaimOp *op, int64_t wall_ms, uint64_t *size_bytes)
{
    bool expired = wall_ms >= op->message.expires_ms;
    HrClaimRecord *record;

    if (HrClaimValue_Find(partition->proposed, op->message.request_id)) {
        return HR_CLAIM_FINDING_WAIT;
    }
    record = create_record(owner, &op->message,
                           expired ? HR_CLAIM_RELEASED : HR_CLAIM_HELD);
    if (record == NULL ||
        *size_bytes + HrClaimRecord_SizeBound(record) > HR_CLAIM_VALUE_BYTES ||
        HrClaimValue_Put(partition->proposed, record) != HR_OK) {
        talloc_free(record);
        return HrClaimOwner_Refuse(owner, &op->message, HR_REASON_OVERLOADED,
                                   op->message.first_copy);
    }
    *size_bytes += HrClaimRecord_SizeBound(record);
    return HR_CLAIM_FINDING_CHANGE;
}

/* Adds an outcome to the proposed value. The result is left out when it does
 * not fit; the state always does. */
static HrClaimFinding
propose_outcome(HrClaimOwner *owner, HrClaimPartition *partition,
                const HrClaimOp *op, uint64_t *size_bytes)
{
    const HrClaimMessage *outcome = &op->message;
    const HrClaimRecord *held =
        HrClaimValue_Find(partition->proposed, outcome->request_id);
    HrClaimRecord *record;

    if (held == NULL) {
        return HR_CLAIM_FINDING_CHANGE; /* it has expired: its removal is
                                           written */
    }
    if (!HrClaimHolderId_Equals(&held->holder, &outcome->holder) ||
        held->state != HR_CLAIM_HELD) {
        return HR_CLAIM_FINDING_WAIT;
    }
    if (outcome->state == HR_CLAIM_RELEASED &&
        outcome->reason != HR_REASON_EXPIRED) {
        HrClaimValue_Remove(partition->proposed, outcome->request_id);
        return HR_CLAIM_FINDING_CHANGE;
    }
    record = create_record(owner, outcome, outcome->state);
    if (record == NULL) {
        return HR_CLAIM_FINDING_WAIT;
    }
    record->expires_ms = held->expires_ms;
    if (*size_bytes + outcome->result_bytes <= HR_CLAIM_VALUE_BYTES) {
        record->result_bytes = outcome->result_bytes;
        memcpy(record->result, outcome->result, outcome->result_bytes);
        *size_bytes += outcome->result_bytes;
    }
    /* Replacing a record allocates nothing. */
    HrClaimValue_Put(partition->proposed, record);
    return HR_CLAIM_FINDING_CHANGE;
}

/* Applies an op to the proposed value, whose size bound is size_bytes. */
HrClaimFinding
HrClaimOwner_Propose(HrClaimOwner *owner, HrClaimPartition *partition,
                     const HrClaimOp *op, int64_t wall_ms,
                     uint64_t *size_bytes)
{
    if (op->message.kind == HR_CLAIM_MESSAGE_ASK) {
        return propose_claim(owner, partition, op, wall_ms, size_bytes);
    }
    return propose_outcome(owner, partition, op, size_bytes);
}
