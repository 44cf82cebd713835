#include <talloc.h>

#include "daemon-query-state.h"

/* A sub-request to be sent, with its receiver. */
typedef struct OutgoingSub {
    HrSubRequest request;
    uint64_t target_id; /* 0: the group has no candidate of the rank */
    HrTask *task;   /* the peer task, or a scheduling task of this daemon */
    bool processed; /* posted, or dropped for lack of memory */
} OutgoingSub;

/* The sub-requests to be sent after one event of the gather. */
typedef struct OutgoingList {
    OutgoingSub *items;
    uint32_t count;
} OutgoingList;

/* Sets the daemon and the task that a sub-request is sent to. They stay 0 and
 * NULL if the group has no candidate of the rank. */
static void
resolve_target(HrQuery *query, uint32_t rank, OutgoingSub *outgoing)
{
    HrQueryTask *state = query->owner;
    HrDaemon *daemon = state->task->daemon;
    const HrSubRequest *request = &outgoing->request;
    const HrPlacedGroup *placed;

    HrPlacement_Update(state->placement,
                       HrSnapshots_GetTables(daemon->snapshots),
                       HrSnapshots_GetMemberView(daemon->snapshots));
    placed =
        HrPlacement_FindGroup(state->placement, request->pool, request->group);
    if (placed == NULL || rank >= placed->count) {
        return;
    }
    outgoing->target_id = placed->ids[rank];
    outgoing->task =
        outgoing->target_id == daemon->daemon_id
            ? HrDaemon_GetSchedTask(daemon, request->pool, request->group)
            : daemon->peer;
}

/* Records the daemon that a sub-request is sent to, for its cancellation. */
static void
record_sub_target(HrQuery *query, const OutgoingSub *outgoing)
{
    HrQuerySub *sub = talloc_zero(query, HrQuerySub);

    if (sub != NULL) {
        sub->sub_id = outgoing->request.sub_id;
        sub->target_id = outgoing->target_id;
        sub->group = outgoing->request.group;
        HASH_ADD(hh, query->subs, sub_id, sizeof(sub->sub_id), sub);
    }
}

/* Adds a sub-request to the list. */
static void
add_outgoing(HrQuery *query, OutgoingList *list, const HrGatherSend *send)
{
    OutgoingSub *grown =
        talloc_realloc(query, list->items, OutgoingSub, list->count + 1);
    OutgoingSub *outgoing;

    if (grown == NULL) {
        return; /* the shard will be missing at the deadline */
    }
    list->items = grown;
    outgoing = &grown[list->count++];
    *outgoing = (OutgoingSub){.request = send->request};
    resolve_target(query, send->rank, outgoing);
    record_sub_target(query, outgoing);
}

/* Counts the unsent sub-requests with the same daemon and task as the
 * first. */
static uint32_t
count_same_target(const OutgoingList *list, uint32_t first)
{
    uint32_t i, count = 0;

    for (i = first; i < list->count; i++) {
        count += !list->items[i].processed &&
                 list->items[i].target_id == list->items[first].target_id &&
                 list->items[i].task == list->items[first].task;
    }
    return count;
}

/* Copies the unsent sub-requests with the same daemon and task as the first
 * into a message. They share one copy of the pool, the caller and the
 * payload. */
static void
fill_batch(HrMessage *message, OutgoingList *list, uint32_t first,
           HrSubRequest *requests)
{
    const OutgoingSub *first_sub = &list->items[first];
    HrSubRequest shared = first_sub->request;
    uint32_t i, count = 0;

    shared.pool = HrMessage_CopyText(message, shared.pool);
    shared.caller = HrMessage_CopyText(message, shared.caller);
    shared.payload = HrMessage_CopyBytes(message, shared.payload);
    for (i = first; i < list->count; i++) {
        OutgoingSub *outgoing = &list->items[i];

        if (outgoing->processed ||
            outgoing->target_id != first_sub->target_id ||
            outgoing->task != first_sub->task) {
            continue;
        }
        requests[count] = shared;
        requests[count].sub_id = outgoing->request.sub_id;
        requests[count].group =
            HrMessage_CopyText(message, outgoing->request.group);
        requests[count].shard =
            HrMessage_CopyText(message, outgoing->request.shard);
        outgoing->processed = true;
        count++;
    }
}

/* Sends the sub-requests with the same daemon and task as the first in one
 * message. When out of memory, drops the first one, whose shard will be
 * missing at the deadline. */
static void
send_sub_batch(HrQuery *query, OutgoingList *list, uint32_t first)
{
    HrQueryTask *state = query->owner;
    uint32_t count = count_same_target(list, first);
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SUB_REQUESTS);
    HrSubRequest *requests = talloc_array(message, HrSubRequest, count);

    if (message == NULL || requests == NULL) {
        talloc_free(message);
        list->items[first].processed = true;
        return;
    }
    message->u.requests.origin.query_task = state->task->index;
    message->u.requests.to_id = list->items[first].target_id;
    message->u.requests.requests = requests;
    message->u.requests.request_count = count;
    fill_batch(message, list, first, requests);
    HrTask_PostMessage(state->task, list->items[first].task, message);
}

/* Sends all sub-requests in the list, one message per daemon and task. */
static void
send_outgoing(HrQuery *query, OutgoingList *list)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        if (!list->items[i].processed && list->items[i].target_id != 0) {
            send_sub_batch(query, list, i);
        }
    }
}

/* Posts a failure to this query task for each sub-request whose group has no
 * candidate of the rank. */
static void
report_missing_candidates(HrQuery *query, OutgoingList *list)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        HrMessage *message;

        if (list->items[i].target_id != 0) {
            continue;
        }
        message = HrMessage_Create(HR_MESSAGE_SUB_FAILURE);
        if (message != NULL) {
            message->u.failure.query = query->id;
            message->u.failure.sub_id = list->items[i].request.sub_id;
            message->u.failure.reason = HR_REASON_NOT_SCHEDULER;
        }
        HrTask_PostMessage(query->owner->task, query->owner->task, message);
    }
}

/* Sends a cancellation to the daemon that a sub-request was sent to. */
static void
send_cancel(HrQuery *query, const HrGatherCancelSub *cancel)
{
    HrQueryTask *state = query->owner;
    HrDaemon *daemon = state->task->daemon;
    HrMessage *message;
    HrQuerySub *sub = NULL;
    HrTask *to;

    HASH_FIND(hh, query->subs, &cancel->sub_id, sizeof(cancel->sub_id), sub);
    if (sub == NULL || sub->target_id == 0) {
        return;
    }
    to = sub->target_id == daemon->daemon_id
             ? HrDaemon_GetSchedTask(daemon, query->route.pool, cancel->group)
             : daemon->peer;
    message = HrMessage_Create(HR_MESSAGE_SUB_CANCEL);
    if (message != NULL) {
        HrPeerSubCancel *target = &message->u.cancel.cancel;

        message->u.cancel.to_id = sub->target_id;
        target->query = query->id;
        target->pool = HrMessage_CopyText(message, query->route.pool);
        target->group = HrMessage_CopyText(message, cancel->group);
        target->sub_id = cancel->sub_id;
        target->reason = HR_REASON_NOT_NEEDED;
    }
    HrTask_PostMessage(state->task, to, message);
}

/* Performs the pending actions of the gather. Sub-requests to be sent are
 * added to list. Returns the answer if the query has finished, else NULL. */
static const HrGatherAnswer *
perform_actions(HrQuery *query, OutgoingList *list)
{
    const HrGatherAnswer *answer = NULL;
    HrGatherAction action;

    while (HrGather_PopAction(query->gather, &action)) {
        switch (action.kind) {
        case HR_GATHER_SEND:
            add_outgoing(query, list, &action.u.send);
            break;
        case HR_GATHER_CANCEL_SUB:
            send_cancel(query, &action.u.cancel);
            break;
        case HR_GATHER_PULL_MAPS:
            query->awaits_maps = true;
            HrQueryTask_RequestMaps(query->owner, action.u.pull.pool,
                                    action.u.pull.known_revision, true);
            break;
        case HR_GATHER_FINISH:
            answer = action.u.answer;
            break;
        }
    }
    return answer;
}

/* Passes an event to the gather and performs its actions. */
void
HrQuery_HandleEvent(HrQuery *query, HrGatherEvent *event)
{
    HrLoop *loop = query->owner->task->loop;
    OutgoingList list = {NULL, 0};
    const HrGatherAnswer *answer;

    event->now_ns = HrLoop_NowNs(loop);
    HrGather_HandleEvent(query->gather, event);
    answer = perform_actions(query, &list);
    if (answer != NULL) {
        HrQuery_SendAnswer(query, answer);
        return;
    }
    send_outgoing(query, &list);
    report_missing_candidates(query, &list);
    talloc_free(list.items);
    HrLoop_SetTimer(loop, query->timer, HrGather_GetNextTimer(query->gather));
}

/* Starts the gather with the index maps of the pool, or without any if none
 * are published. */
void
HrQuery_StartGather(HrQuery *query)
{
    HrDaemon *daemon = query->owner->task->daemon;
    const HrPoolMaps *maps =
        HrSnapshots_FindPoolMaps(daemon->snapshots, query->route.pool);
    HrGatherConfig config = HrGatherConfig_GetDefaults();
    HrGatherEvent event = {.kind = HR_GATHER_START};

    config.candidate_count = HR_OWNER_CANDIDATES;
    config.counters = daemon->counters;
    query->phase = HR_QUERY_RUNNING;
    query->gather = HrGather_Create(query, &config, &query->id);
    if (query->gather == NULL) {
        HrQuery_Refuse(query, HR_REASON_OVERLOADED, true);
        return;
    }
    event.u.start.route = &query->route;
    event.u.start.maps = maps != NULL ? maps->set : NULL;
    event.u.start.key = query->caller->key;
    event.u.start.payload = query->caller->payload;
    event.u.start.caller =
        query->caller->caller != NULL ? query->caller->caller : "";
    event.u.start.want = query->caller->want;
    event.u.start.deadline_ns = query->deadline_ns;
    HrQuery_HandleEvent(query, &event);
}
