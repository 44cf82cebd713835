#include <string.h>
#include <talloc.h>

#include "coord-claim.h"
#include "daemon-control-state.h"
#include "proto-claim-codec.h"
#include "proto-claim-value.h"

/* A claim of a query task: the holder's token is its place in the list. */
typedef struct Start {
    struct Start *next;
    uint64_t token; /* of this part */
    uint64_t query_token;
    uint32_t query_task;
} Start;

/* A message that this daemon sends to itself. */
typedef struct Local {
    struct Local *next;
    HrClaimMessage message;
} Local;

struct HrControlClaims {
    HrControl *control;
    HrClaimOwner *owner;
    HrClaimHolder *holder;
    HrLoopTimer *timer;
    Start *starts;
    uint64_t last_token;
    Local *locals;
    Local **locals_end;
    bool in_locals;
};

/* One store call of the owner. */
typedef struct Call {
    HrControlClaims *claims;
    uint32_t partition;
    uint64_t call;
    bool is_write;
} Call;

static void handle_owner(HrControlClaims *claims, HrClaimOwnerEvent *event);
static void handle_holder(HrControlClaims *claims, HrClaimHolderEvent *event);

/* Returns the result of a call as the owner names it. */
static HrClaimStoreResult
convert_result(const Call *call, HrStoreResult result)
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

/* Hands the end of a store call to the owner. */
static void
handle_store_reply(void *arg, const HrStoreReply *reply)
{
    Call *call = arg;
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE};
    HrClaimValue *value = NULL;

    event.u.store.partition = call->partition;
    event.u.store.call = call->call;
    event.u.store.result = convert_result(call, reply->result);
    event.u.store.revision = reply->revision;
    if (event.u.store.result == HR_CLAIM_STORE_FOUND &&
        HrClaimValue_Decode(call, reply->value, &value, NULL) == HR_OK) {
        event.u.store.value = value;
    }
    handle_owner(call->claims, &event);
    talloc_free(call);
}

/* Starts a store call of the owner. */
static void
call_store(HrControlClaims *claims, const HrClaimOwnerAction *action)
{
    HrControl *control = claims->control;
    uint32_t timeout_ms = control->task->daemon->settings->store_timeout_ms;
    Call *call = talloc_zero(claims, Call);
    HrStoreRead read = {.key = action->u.store.key, .timeout_ms = timeout_ms};
    HrStoreWrite write = {.key = action->u.store.key,
                          .timeout_ms = timeout_ms};

    if (call == NULL) {
        return; /* the owner's timer repeats it */
    }
    call->claims = claims;
    call->partition = action->u.store.partition;
    call->call = action->u.store.call;
    call->is_write = action->kind == HR_CLAIM_OWNER_ACTION_PUT;
    if (!call->is_write) {
        HrStoreClient_Read(control->store, &read, handle_store_reply, call);
        return;
    }
    write.expected_revision = action->u.store.cas_revision;
    /* A value that cannot be encoded stays empty, and the write fails. */
    HrClaimValue_Encode(call, action->u.store.value, &write.value, NULL);
    HrStoreClient_Write(control->store, &write, handle_store_reply, call);
}

/* Gives a message to the side of this daemon that it is for. */
static void
deliver_message(HrControlClaims *claims, const HrClaimMessage *message)
{
    HrClaimOwnerEvent to_owner = {.kind = HR_CLAIM_OWNER_EVENT_MESSAGE};
    HrClaimHolderEvent to_holder = {.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE};

    switch (message->kind) {
    case HR_CLAIM_MESSAGE_REQUEST:
    case HR_CLAIM_MESSAGE_OUTCOME:
        to_owner.u.message = message;
        handle_owner(claims, &to_owner);
        break;
    case HR_CLAIM_MESSAGE_REPLY:
    case HR_CLAIM_MESSAGE_OUTCOME_ACK:
        to_holder.u.message = message;
        handle_holder(claims, &to_holder);
        break;
    }
}

/* Delivers the messages that this daemon has sent to itself. */
static void
deliver_locals(HrControlClaims *claims)
{
    if (claims->in_locals) {
        return;
    }
    claims->in_locals = true;
    while (claims->locals != NULL) {
        Local *local = claims->locals;

        claims->locals = local->next;
        if (claims->locals == NULL) {
            claims->locals_end = &claims->locals;
        }
        deliver_message(claims, &local->message);
        talloc_free(local);
    }
    claims->in_locals = false;
}

/* Puts a message on the list of those for this daemon itself. */
static void
post_local(HrControlClaims *claims, const HrClaimMessage *message)
{
    Local *local = talloc_zero(claims, Local);

    if (local != NULL) {
        local->message = *message;
        *claims->locals_end = local;
        claims->locals_end = &local->next;
    }
}

/* Sends a message to the daemon that it is for. */
static void
send_message(HrControlClaims *claims, uint64_t to_id,
             const HrClaimMessage *content)
{
    HrMessage *message;
    HrPeerFrame *frame;

    if (to_id == claims->control->task->daemon->daemon_id) {
        post_local(claims, content);
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

/* Arms the timer for the earlier of both sides. */
static void
arm_timer(HrControlClaims *claims)
{
    int64_t owner_ns = HrClaimOwner_GetNextTimer(claims->owner);
    int64_t holder_ns = HrClaimHolder_GetNextTimer(claims->holder);

    HrLoop_SetTimer(claims->control->task->loop, claims->timer,
                    owner_ns < holder_ns ? owner_ns : holder_ns);
}

/* Hands one event to the owner side and carries out its actions. */
static void
handle_owner(HrControlClaims *claims, HrClaimOwnerEvent *event)
{
    const HrTask *task = claims->control->task;
    HrClaimOwnerAction action;

    event->now_ns = HrLoop_NowNs(task->loop);
    event->wall_ms = HrClock_WallMs(task->daemon->clock);
    HrClaimOwner_HandleEvent(claims->owner, event);
    while (HrClaimOwner_PopAction(claims->owner, &action)) {
        if (action.kind == HR_CLAIM_OWNER_ACTION_SEND) {
            send_message(claims, action.u.send.daemon_id,
                         &action.u.send.message);
        }
        else {
            call_store(claims, &action);
        }
    }
    deliver_locals(claims);
    arm_timer(claims);
    HrControlDrain_OpenChanged(claims->control->drain);
}

/* Removes and returns the start with a token, or NULL. */
static Start *
take_start(HrControlClaims *claims, uint64_t token)
{
    Start **link = &claims->starts;

    while (*link != NULL) {
        Start *start = *link;

        if (start->token == token) {
            *link = start->next;
            return start;
        }
        link = &start->next;
    }
    return NULL;
}

/* Tells the query task that its request may run. */
static void
post_dispatch(HrControlClaims *claims, const HrClaimHolderAction *action)
{
    HrTask *task = claims->control->task;
    Start *start = take_start(claims, action->u.dispatch.token);
    HrMessage *message = HrMessage_Create(HR_MESSAGE_CLAIM_RESULT);

    if (start == NULL || message == NULL) {
        talloc_free(message);
        talloc_free(start);
        return;
    }
    message->u.claim_result.token = start->query_token;
    message->u.claim_result.dispatch = true;
    message->u.claim_result.sequence = action->u.dispatch.sequence;
    HrTask_Post(task, task->daemon->query[start->query_task], message);
    talloc_free(start);
}

/* Tells the query task that its request does not run. */
static void
post_answer(HrControlClaims *claims, const HrClaimHolderAction *action)
{
    HrTask *task = claims->control->task;
    Start *start = take_start(claims, action->u.answer.token);
    HrMessage *message = HrMessage_Create(HR_MESSAGE_CLAIM_RESULT);
    HrBytes result = {action->u.answer.result, action->u.answer.result_bytes};

    if (start == NULL || message == NULL) {
        talloc_free(message);
        talloc_free(start);
        return;
    }
    message->u.claim_result.token = start->query_token;
    message->u.claim_result.reason =
        action->u.answer.verdict == HR_CLAIM_VERDICT_REFUSED
            ? action->u.answer.reason
            : HR_REASON_NONE;
    message->u.claim_result.not_run = action->u.answer.not_run;
    message->u.claim_result.recorded =
        action->u.answer.verdict == HR_CLAIM_VERDICT_RECORDED &&
        action->u.answer.state == HR_CLAIM_DONE;
    message->u.claim_result.result = HrMessage_CopyBytes(message, result);
    HrTask_Post(task, task->daemon->query[start->query_task], message);
    talloc_free(start);
}

/* Hands one event to the holder side and carries out its actions. */
static void
handle_holder(HrControlClaims *claims, HrClaimHolderEvent *event)
{
    const HrTask *task = claims->control->task;
    HrClaimHolderAction action;

    event->now_ns = HrLoop_NowNs(task->loop);
    event->wall_ms = HrClock_WallMs(task->daemon->clock);
    HrClaimHolder_HandleEvent(claims->holder, event);
    while (HrClaimHolder_PopAction(claims->holder, &action)) {
        switch (action.kind) {
        case HR_CLAIM_HOLDER_ACTION_SEND:
            send_message(claims, action.u.send.daemon_id,
                         &action.u.send.message);
            break;
        case HR_CLAIM_HOLDER_ACTION_DISPATCH:
            post_dispatch(claims, &action);
            break;
        case HR_CLAIM_HOLDER_ACTION_ANSWER:
            post_answer(claims, &action);
            break;
        }
    }
    deliver_locals(claims);
    arm_timer(claims);
    HrControlDrain_OpenChanged(claims->control->drain);
}

/* Passes the time to both sides. */
static void
fire_timer(void *arg)
{
    HrClaimOwnerEvent to_owner = {.kind = HR_CLAIM_OWNER_EVENT_TIMER};
    HrClaimHolderEvent to_holder = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER};

    handle_owner(arg, &to_owner);
    handle_holder(arg, &to_holder);
}

/* Creates both sides. */
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
    claims->locals_end = &claims->locals;
    control->claims = claims;
    HrClaimOwnerConfig_GetDefaults(&owner);
    owner.counters = daemon->counters;
    HrClaimHolderConfig_GetDefaults(&holder);
    holder.daemon_id = daemon->daemon_id;
    holder.incarnation = daemon->incarnation;
    holder.counters = daemon->counters;
    claims->owner = HrClaimOwner_Create(
        claims, &owner, HrRng_FromSeed(HrRng_Next(&control->task->rng)));
    claims->holder = HrClaimHolder_Create(
        claims, &holder, HrRng_FromSeed(HrRng_Next(&control->task->rng)));
    claims->timer = HrLoop_AddTimer(control->task->loop, fire_timer, claims);
    return claims->owner != NULL && claims->holder != NULL &&
                   claims->timer != NULL
               ? claims
               : NULL;
}

/* Handles a message of another daemon. */
void
HrControlClaims_Receive(HrControlClaims *claims, HrBytes bytes)
{
    HrClaimMessage message;

    if (HrClaimMessage_Decode(bytes, &message, NULL) != HR_OK) {
        HrCounters_Add(claims->control->task->daemon->counters,
                       HR_COUNTER_peer_bad_frames, 1);
        return;
    }
    deliver_message(claims, &message);
}

/* Refuses a claim whose request id is malformed or that finds no memory. */
static void
refuse_start(HrControlClaims *claims, const HrMessage *message)
{
    HrTask *task = claims->control->task;
    HrMessage *result = HrMessage_Create(HR_MESSAGE_CLAIM_RESULT);

    if (result != NULL) {
        result->u.claim_result.token = message->u.claim_start.token;
        result->u.claim_result.reason = HR_REASON_OVERLOADED;
        result->u.claim_result.not_run = true;
    }
    HrTask_Post(task, task->daemon->query[message->u.claim_start.query_task],
                result);
}

/* Claims the request id of a query. */
void
HrControlClaims_Start(HrControlClaims *claims, const HrMessage *message)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_START};
    char request_id[HR_REQUEST_ID_BYTES];
    Start *start = talloc_zero(claims, Start);

    if (start == NULL ||
        HrClaimMessage_CopyRequestId(
            request_id, message->u.claim_start.request_id, NULL) != HR_OK) {
        talloc_free(start);
        refuse_start(claims, message);
        return;
    }
    start->token = ++claims->last_token;
    start->query_token = message->u.claim_start.token;
    start->query_task = message->u.claim_start.query_task;
    start->next = claims->starts;
    claims->starts = start;
    event.u.start.token = start->token;
    event.u.start.request_id = request_id;
    event.u.start.expires_ms = message->u.claim_start.expires_ms;
    event.u.start.first_copy = message->u.claim_start.first_copy;
    event.u.start.deadline_ns = message->u.claim_start.deadline_ns;
    handle_holder(claims, &event);
}

/* Records the outcome of a dispatched query. */
void
HrControlClaims_Outcome(HrControlClaims *claims, const HrMessage *message)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME};

    event.u.outcome.sequence = message->u.claim_outcome.sequence;
    event.u.outcome.state = (HrClaimState)message->u.claim_outcome.state;
    event.u.outcome.result = message->u.claim_outcome.result;
    handle_holder(claims, &event);
}

/* Passes the present members to the holder side. */
void
HrControlClaims_MembersChanged(HrControlClaims *claims)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW};

    event.u.view =
        HrSnapshots_GetMemberView(claims->control->task->daemon->snapshots);
    handle_holder(claims, &event);
}

/* Returns the number of claims that are not settled. */
uint32_t
HrControlClaims_Open(const HrControlClaims *claims)
{
    return HrClaimOwner_GetPendingCount(claims->owner) +
           HrClaimHolder_GetUnfinishedCount(claims->holder);
}

/* Returns the figures of both sides and the partitions owned. */
json_t *
HrControlClaims_Describe(const HrControlClaims *claims)
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
