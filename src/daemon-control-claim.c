#include <string.h>
#include <talloc.h>

#include "coord-claim.h"
#include "daemon-control-state.h"
#include "proto-claim-codec.h"
#include "proto-claim-value.h"

/* A claim that a query task has requested and that has no result yet. */
typedef struct PendingClaim {
    struct PendingClaim *next;
    uint64_t token;       /* identifies the claim in the claim holder */
    uint64_t query_token; /* identifies the query in its query task */
    uint32_t query_task;
} PendingClaim;

/* A claim message from this daemon to itself. */
typedef struct LocalMessage {
    struct LocalMessage *next;
    HrClaimMessage message;
} LocalMessage;

struct HrControlClaims {
    HrControl *control;
    HrClaimOwner *owner;
    HrClaimHolder *holder;
    HrLoopTimer *timer;
    PendingClaim *pending_claims;
    uint64_t last_token;
    LocalMessage *local_messages;
    LocalMessage **local_messages_end;
    bool is_delivering; /* in deliver_local_messages */
};

/* An open store call of the claim owner. */
typedef struct StoreCall {
    HrControlClaims *claims;
    uint32_t partition;
    uint64_t call;
    bool is_write;
} StoreCall;

static void handle_owner_event(HrControlClaims *claims,
                               HrClaimOwnerEvent *event);
static void handle_holder_event(HrControlClaims *claims,
                                HrClaimHolderEvent *event);

/* Converts the result of a store call to the type of the claim owner. A write
 * without a reply may have been stored, so its result is UNKNOWN. */
static HrClaimStoreResult
convert_store_result(const StoreCall *call, HrStoreResult result)
{
    switch (result) {
    case HR_STORE_OK:
        return call->is_write ? HR_CLAIM_STORE_WRITTEN : HR_CLAIM_STORE_FOUND;
    case HR_STORE_ABSENT:
        return HR_CLAIM_STORE_ABSENT;
    case HR_STORE_MISMATCH:
        return HR_CLAIM_STORE_MISMATCH;
    case HR_STORE_UNCHANGED:
    case HR_STORE_NOT_DONE:
        return HR_CLAIM_STORE_FAILED;
    case HR_STORE_LOST:
        return call->is_write ? HR_CLAIM_STORE_UNKNOWN : HR_CLAIM_STORE_FAILED;
    }
    return HR_CLAIM_STORE_UNKNOWN;
}

/* Passes the result of a store call to the claim owner. A malformed value is
 * passed as NULL. */
static void
handle_store_reply(void *arg, const HrStoreReply *reply)
{
    StoreCall *call = arg;
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE};
    HrClaimValue *value = NULL;

    event.u.store.partition = call->partition;
    event.u.store.call = call->call;
    event.u.store.result = convert_store_result(call, reply->result);
    event.u.store.revision = reply->revision;
    if (event.u.store.result == HR_CLAIM_STORE_FOUND &&
        HrClaimValue_Decode(call, reply->value, &value, NULL) == HR_OK) {
        event.u.store.value = value;
    }
    handle_owner_event(call->claims, &event);
    talloc_free(call);
}

/* Starts a store call of the claim owner. */
static void
start_store_call(HrControlClaims *claims, const HrClaimOwnerAction *action)
{
    HrControl *control = claims->control;
    uint32_t timeout_ms = control->task->daemon->settings->store_timeout_ms;
    StoreCall *call = talloc_zero(claims, StoreCall);
    HrStoreRead read = {.key = action->u.store.key, .timeout_ms = timeout_ms};
    HrStoreWrite write = {.key = action->u.store.key,
                          .timeout_ms = timeout_ms};

    if (call == NULL) {
        return; /* the claim owner receives no result */
    }
    call->claims = claims;
    call->partition = action->u.store.partition;
    call->call = action->u.store.call;
    call->is_write = action->kind == HR_CLAIM_OWNER_ACTION_PUT;
    if (!call->is_write) {
        HrStoreClient_ReadKey(control->store, &read, handle_store_reply, call);
        return;
    }
    write.expected_revision = action->u.store.cas_revision;
    /* If the value cannot be encoded, it stays empty and the write fails. */
    HrClaimValue_Encode(call, action->u.store.value, &write.value, NULL);
    HrStoreClient_WriteKey(control->store, &write, handle_store_reply, call);
}

/* Passes a message to the claim owner or the claim holder of this daemon. */
static void
deliver_message(HrControlClaims *claims, const HrClaimMessage *message)
{
    HrClaimOwnerEvent to_owner = {.kind = HR_CLAIM_OWNER_EVENT_MESSAGE};
    HrClaimHolderEvent to_holder = {.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE};

    switch (message->kind) {
    case HR_CLAIM_MESSAGE_REQUEST:
    case HR_CLAIM_MESSAGE_OUTCOME:
        to_owner.u.message = message;
        handle_owner_event(claims, &to_owner);
        break;
    case HR_CLAIM_MESSAGE_REPLY:
    case HR_CLAIM_MESSAGE_OUTCOME_ACK:
        to_holder.u.message = message;
        handle_holder_event(claims, &to_holder);
        break;
    }
}

/* Delivers the messages from this daemon to itself. A delivery may queue more
 * messages and call this function again; the inner call returns, and the outer
 * loop delivers them. */
static void
deliver_local_messages(HrControlClaims *claims)
{
    if (claims->is_delivering) {
        return;
    }
    claims->is_delivering = true;
    while (claims->local_messages != NULL) {
        LocalMessage *local = claims->local_messages;

        claims->local_messages = local->next;
        if (claims->local_messages == NULL) {
            claims->local_messages_end = &claims->local_messages;
        }
        deliver_message(claims, &local->message);
        talloc_free(local);
    }
    claims->is_delivering = false;
}

/* Queues a message from this daemon to itself. */
static void
queue_local_message(HrControlClaims *claims, const HrClaimMessage *message)
{
    LocalMessage *local = talloc_zero(claims, LocalMessage);

    if (local != NULL) {
        local->message = *message;
        *claims->local_messages_end = local;
        claims->local_messages_end = &local->next;
    }
}

/* Sends a claim message to a daemon, which may be this one. */
static void
send_message(HrControlClaims *claims, uint64_t to_id,
             const HrClaimMessage *content)
{
    HrMessage *message;
    HrPeerFrame *frame;

    if (to_id == claims->control->task->daemon->daemon_id) {
        queue_local_message(claims, content);
        return;
    }
    message = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    frame = talloc_zero(message, HrPeerFrame);
    if (message == NULL || frame == NULL ||
        HrClaimMessage_Encode(frame, content, &frame->u.opaque, NULL) !=
            HR_OK) {
        talloc_free(message);
        return;
    }
    frame->kind = HR_PEER_CLAIM;
    message->u.peer.frame = frame;
    HrControl_SendFrame(claims->control, to_id, message);
}

/* Sets the timer to the next timer of the owner or of the holder, whichever is
 * earlier. */
static void
arm_timer(HrControlClaims *claims)
{
    int64_t owner_ns = HrClaimOwner_GetNextTimer(claims->owner);
    int64_t holder_ns = HrClaimHolder_GetNextTimer(claims->holder);

    HrLoop_SetTimer(claims->control->task->loop, claims->timer,
                    owner_ns < holder_ns ? owner_ns : holder_ns);
}

/* Processes one event in the claim owner and performs the resulting
 * actions. */
static void
handle_owner_event(HrControlClaims *claims, HrClaimOwnerEvent *event)
{
    const HrTask *task = claims->control->task;
    HrClaimOwnerAction action;

    event->now_ns = HrLoop_NowNs(task->loop);
    event->wall_ms = HrClock_GetWallMs(task->daemon->clock);
    HrClaimOwner_HandleEvent(claims->owner, event);
    while (HrClaimOwner_PopAction(claims->owner, &action)) {
        if (action.kind == HR_CLAIM_OWNER_ACTION_SEND) {
            send_message(claims, action.u.send.daemon_id,
                         &action.u.send.message);
        }
        else {
            start_store_call(claims, &action);
        }
    }
    deliver_local_messages(claims);
    arm_timer(claims);
    HrControlDrain_UpdateOpenCount(claims->control->drain);
}

/* Removes and returns the pending claim with a token, or returns NULL. */
static PendingClaim *
remove_pending_claim(HrControlClaims *claims, uint64_t token)
{
    PendingClaim **link = &claims->pending_claims;

    while (*link != NULL) {
        PendingClaim *pending = *link;

        if (pending->token == token) {
            *link = pending->next;
            return pending;
        }
        link = &pending->next;
    }
    return NULL;
}

/* Notifies the query task that its claim was granted, so that its query may
 * run. */
static void
post_granted_claim(HrControlClaims *claims, const HrClaimHolderAction *action)
{
    HrTask *task = claims->control->task;
    PendingClaim *pending =
        remove_pending_claim(claims, action->u.dispatch.token);
    HrMessage *message = HrMessage_Create(HR_MESSAGE_CLAIM_RESULT);

    if (pending == NULL || message == NULL) {
        talloc_free(message);
        talloc_free(pending);
        return;
    }
    message->u.claim_result.token = pending->query_token;
    message->u.claim_result.dispatch = true;
    message->u.claim_result.sequence = action->u.dispatch.sequence;
    HrTask_PostMessage(task, task->daemon->query[pending->query_task],
                       message);
    talloc_free(pending);
}

/* Notifies the query task that its query must not run: the claim was refused,
 * or an earlier copy has run or may have run. */
static void
post_claim_answer(HrControlClaims *claims, const HrClaimHolderAction *action)
{
    HrTask *task = claims->control->task;
    PendingClaim *pending =
        remove_pending_claim(claims, action->u.answer.token);
    HrMessage *message = HrMessage_Create(HR_MESSAGE_CLAIM_RESULT);
    HrBytes result = {action->u.answer.result, action->u.answer.result_bytes};

    if (pending == NULL || message == NULL) {
        talloc_free(message);
        talloc_free(pending);
        return;
    }
    message->u.claim_result.token = pending->query_token;
    message->u.claim_result.reason =
        action->u.answer.verdict == HR_CLAIM_VERDICT_REFUSED
            ? action->u.answer.reason
            : HR_REASON_NONE;
    message->u.claim_result.not_run = action->u.answer.not_run;
    message->u.claim_result.recorded =
        action->u.answer.verdict == HR_CLAIM_VERDICT_RECORDED &&
        action->u.answer.state == HR_CLAIM_DONE;
    message->u.claim_result.result = HrMessage_CopyBytes(message, result);
    HrTask_PostMessage(task, task->daemon->query[pending->query_task],
                       message);
    talloc_free(pending);
}

/* Processes one event in the claim holder and performs the resulting
 * actions. */
static void
handle_holder_event(HrControlClaims *claims, HrClaimHolderEvent *event)
{
    const HrTask *task = claims->control->task;
    HrClaimHolderAction action;

    event->now_ns = HrLoop_NowNs(task->loop);
    event->wall_ms = HrClock_GetWallMs(task->daemon->clock);
    HrClaimHolder_HandleEvent(claims->holder, event);
    while (HrClaimHolder_PopAction(claims->holder, &action)) {
        switch (action.kind) {
        case HR_CLAIM_HOLDER_ACTION_SEND:
            send_message(claims, action.u.send.daemon_id,
                         &action.u.send.message);
            break;
        case HR_CLAIM_HOLDER_ACTION_DISPATCH:
            post_granted_claim(claims, &action);
            break;
        case HR_CLAIM_HOLDER_ACTION_ANSWER:
            post_claim_answer(claims, &action);
            break;
        }
    }
    deliver_local_messages(claims);
    arm_timer(claims);
    HrControlDrain_UpdateOpenCount(claims->control->drain);
}

/* Sends a TIMER event to the owner and the holder. */
static void
handle_timer(void *arg)
{
    HrClaimOwnerEvent to_owner = {.kind = HR_CLAIM_OWNER_EVENT_TIMER};
    HrClaimHolderEvent to_holder = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER};

    handle_owner_event(arg, &to_owner);
    handle_holder_event(arg, &to_holder);
}

/* Creates the claim owner and the claim holder of this daemon. Returns NULL
 * when out of memory. */
HrControlClaims *
HrControlClaims_Create(HrControl *control)
{
    const HrDaemon *daemon = control->task->daemon;
    HrControlClaims *claims = talloc_zero(control, HrControlClaims);
    HrClaimOwnerConfig owner;
    HrClaimHolderConfig holder;

    if (claims == NULL) {
        return NULL;
    }
    claims->control = control;
    claims->local_messages_end = &claims->local_messages;
    control->claims = claims;
    HrClaimOwnerConfig_GetDefaults(&owner);
    owner.counters = daemon->counters;
    HrClaimHolderConfig_GetDefaults(&holder);
    holder.daemon_id = daemon->daemon_id;
    holder.incarnation = daemon->incarnation;
    holder.counters = daemon->counters;
    claims->owner = HrClaimOwner_Create(
        claims, &owner, HrRng_FromSeed(HrRng_DrawU64(&control->task->rng)));
    claims->holder = HrClaimHolder_Create(
        claims, &holder, HrRng_FromSeed(HrRng_DrawU64(&control->task->rng)));
    claims->timer = HrLoop_AddTimer(control->task->loop, handle_timer, claims);
    return claims->owner != NULL && claims->holder != NULL &&
                   claims->timer != NULL
               ? claims
               : NULL;
}

/* Processes a claim message of another daemon. A malformed message is counted
 * as a bad frame and dropped. */
void
HrControlClaims_HandleMessage(HrControlClaims *claims, HrBytes bytes)
{
    HrClaimMessage message;

    if (HrClaimMessage_Decode(bytes, &message, NULL) != HR_OK) {
        HrCounters_Add(claims->control->task->daemon->counters,
                       HR_COUNTER_peer_bad_frames, 1);
        return;
    }
    deliver_message(claims, &message);
}

/* Refuses a claim with HR_REASON_OVERLOADED, because the request id is
 * malformed or allocation fails. */
static void
refuse_claim(HrControlClaims *claims, const HrMessage *message)
{
    HrTask *task = claims->control->task;
    HrMessage *result = HrMessage_Create(HR_MESSAGE_CLAIM_RESULT);

    if (result != NULL) {
        result->u.claim_result.token = message->u.claim_start.token;
        result->u.claim_result.reason = HR_REASON_OVERLOADED;
        result->u.claim_result.not_run = true;
    }
    HrTask_PostMessage(
        task, task->daemon->query[message->u.claim_start.query_task], result);
}

/* Requests the claim of a request id for a query task, which receives the
 * result as HR_MESSAGE_CLAIM_RESULT. */
void
HrControlClaims_RequestClaim(HrControlClaims *claims, const HrMessage *message)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_START};
    char request_id[HR_REQUEST_ID_BYTES];
    PendingClaim *pending = talloc_zero(claims, PendingClaim);

    if (pending == NULL ||
        HrClaimMessage_CopyRequestId(
            request_id, message->u.claim_start.request_id, NULL) != HR_OK) {
        talloc_free(pending);
        refuse_claim(claims, message);
        return;
    }
    pending->token = ++claims->last_token;
    pending->query_token = message->u.claim_start.token;
    pending->query_task = message->u.claim_start.query_task;
    pending->next = claims->pending_claims;
    claims->pending_claims = pending;
    event.u.start.token = pending->token;
    event.u.start.request_id = request_id;
    event.u.start.expires_ms = message->u.claim_start.expires_ms;
    event.u.start.first_copy = message->u.claim_start.first_copy;
    event.u.start.deadline_ns = message->u.claim_start.deadline_ns;
    handle_holder_event(claims, &event);
}

/* Records the outcome of a query that was dispatched under a claim. */
void
HrControlClaims_RecordOutcome(HrControlClaims *claims,
                              const HrMessage *message)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME};

    event.u.outcome.sequence = message->u.claim_outcome.sequence;
    event.u.outcome.state = (HrClaimState)message->u.claim_outcome.state;
    event.u.outcome.result = message->u.claim_outcome.result;
    handle_holder_event(claims, &event);
}

/* Passes the current members to the claim holder. */
void
HrControlClaims_UpdateMembers(HrControlClaims *claims)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW};

    event.u.view =
        HrSnapshots_GetMemberView(claims->control->task->daemon->snapshots);
    handle_holder_event(claims, &event);
}

/* Returns the number of claims that are not settled, as owner and as
 * holder. */
uint32_t
HrControlClaims_GetOpenCount(const HrControlClaims *claims)
{
    return HrClaimOwner_GetPendingCount(claims->owner) +
           HrClaimHolder_GetUnfinishedCount(claims->holder);
}

/* Returns the claim counts and the partitions that this daemon owns as a JSON
 * object. */
json_t *
HrControlClaims_DescribeStatus(const HrControlClaims *claims)
{
    const HrDaemon *daemon = claims->control->task->daemon;
    const HrMemberView *view = HrSnapshots_GetMemberView(daemon->snapshots);
    json_t *owned = json_array();
    uint32_t i;

    for (i = 0; view != NULL && i < HR_CLAIM_PARTITIONS; i++) {
        if (HrOwner_FindPartitionOwner(view, i) == daemon->daemon_id) {
            json_array_append_new(owned, json_integer(i));
        }
    }
    return json_pack(
        "{s:i,s:i,s:i,s:o}", "partitions", HR_CLAIM_PARTITIONS, "pending",
        (int)HrClaimOwner_GetPendingCount(claims->owner), "open",
        (int)HrClaimHolder_GetUnfinishedCount(claims->holder), "owned", owned);
}
