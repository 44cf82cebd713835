#include <talloc.h>

#include "daemon-query-state.h"

/* A sub-request to be sent. */
typedef struct Outgoing {
    HrSubRequest request;
    uint64_t target_id; /* 0: there is no such candidate */
    HrTask *task;       /* peer task, or the scheduling task of this daemon */
    bool done;
} Outgoing;

/* The sub-requests that one event of the gather caused. */
typedef struct OutgoingList {
    Outgoing *items;
    uint32_t count;
} OutgoingList;

/* Finds the daemon that a sub-request goes to. */
static void
find_target(HrQuery *query, uint32_t rank, Outgoing *outgoing)
{
    HrQueryTask *state = query->owner;
    HrDaemon *daemon = state->task->daemon;
    const HrSubRequest *request = &outgoing->request;
    const HrPlacedGroup *placed;

    HrPlacement_Update(state->placement, HrSnapshots_Tables(daemon->snapshots),
                       HrSnapshots_Members(daemon->snapshots));
    placed =
        HrPlacement_FindGroup(state->placement, request->pool, request->group);
    if (placed == NULL || rank >= placed->count) {
        return;
    }
    outgoing->target_id = placed->ids[rank];
    outgoing->task =
        outgoing->target_id == daemon->daemon_id
            ? HrDaemon_SchedTask(daemon, request->pool, request->group)
            : daemon->peer;
}

/* Notes where a sub-request goes, for its cancellation. */
static void
note_sub(HrQuery *query, const Outgoing *outgoing)
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
collect_send(HrQuery *query, OutgoingList *list, const HrGatherSend *send)
{
    Outgoing *grown =
        talloc_realloc(query, list->items, Outgoing, list->count + 1);
    Outgoing *outgoing;

    if (grown == NULL) {
        return; /* the shard is missing at the deadline */
    }
    list->items = grown;
    outgoing = &grown[list->count++];
    *outgoing = (Outgoing){.request = send->request};
    find_target(query, send->rank, outgoing);
    note_sub(query, outgoing);
}

/* Counts the unsent sub-requests that share target and task with the first. */
static uint32_t
count_alike(const OutgoingList *list, uint32_t first)
{
    uint32_t i, count = 0;

    for (i = first; i < list->count; i++) {
        count += !list->items[i].done &&
                 list->items[i].target_id == list->items[first].target_id &&
                 list->items[i].task == list->items[first].task;
    }
    return count;
}

/* Copies the sub-requests that go the way of the first into a message. */
static void
fill_batch(HrMessage *message, OutgoingList *list, uint32_t first,
           HrSubRequest *requests)
{
    const Outgoing *model = &list->items[first];
    HrSubRequest shared = model->request;
    uint32_t i, count = 0;

    shared.pool = HrMessage_CopyText(message, shared.pool);
    shared.caller = HrMessage_CopyText(message, shared.caller);
    shared.payload = HrMessage_CopyBytes(message, shared.payload);
    for (i = first; i < list->count; i++) {
        Outgoing *outgoing = &list->items[i];

        if (outgoing->done || outgoing->target_id != model->target_id ||
            outgoing->task != model->task) {
            continue;
        }
        requests[count] = shared;
        requests[count].sub_id = outgoing->request.sub_id;
        requests[count].group =
            HrMessage_CopyText(message, outgoing->request.group);
        requests[count].shard =
            HrMessage_CopyText(message, outgoing->request.shard);
        outgoing->done = true;
        count++;
    }
}

/* Sends the sub-requests that go the way of the first in one message. */
static void
send_alike(HrQuery *query, OutgoingList *list, uint32_t first)
{
    HrQueryTask *state = query->owner;
    uint32_t count = count_alike(list, first);
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SUB_REQUESTS);
    HrSubRequest *requests = talloc_array(message, HrSubRequest, count);

    if (message == NULL || requests == NULL) {
        talloc_free(message);
        list->items[first].done = true;
        return;
    }
    message->u.requests.origin.query_task = state->task->index;
    message->u.requests.to_id = list->items[first].target_id;
    message->u.requests.requests = requests;
    message->u.requests.request_count = count;
    fill_batch(message, list, first, requests);
    HrTask_Post(state->task, list->items[first].task, message);
}

/* Sends all collected sub-requests, one message for each way. */
static void
send_collected(HrQuery *query, OutgoingList *list)
{
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        if (!list->items[i].done && list->items[i].target_id != 0) {
            send_alike(query, list, i);
        }
    }
}

/* Reports the sub-requests for which there is no candidate. Returns false
 * when the query is gone. */
static void
report_unplaced(HrQuery *query, OutgoingList *list)
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
        HrTask_Post(query->owner->task, query->owner->task, message);
    }
}

/* Passes a cancellation to the daemon that has the sub-request. */
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
             ? HrDaemon_SchedTask(daemon, query->route.pool, cancel->group)
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
    HrTask_Post(state->task, to, message);
}

/* Carries out the pending actions. Returns the answer once the query has
 * finished, else NULL. */
static const HrGatherAnswer *
perform_actions(HrQuery *query, OutgoingList *list)
{
    const HrGatherAnswer *answer = NULL;
    HrGatherAction action;

    while (HrGather_PopAction(query->gather, &action)) {
        switch (action.kind) {
        case HR_GATHER_SEND:
            collect_send(query, list, &action.u.send);
            break;
        case HR_GATHER_CANCEL_SUB:
            send_cancel(query, &action.u.cancel);
            break;
        case HR_GATHER_PULL_MAPS:
            query->pull_awaited = true;
            HrQueryTask_WantMaps(query->owner, action.u.pull.pool,
                                 action.u.pull.known_revision, true);
            break;
        case HR_GATHER_FINISH:
            answer = action.u.answer;
            break;
        }
    }
    return answer;
}

/* Hands one event to the gather and carries out its actions. */
void
HrQuery_Handle(HrQuery *query, HrGatherEvent *event)
{
    HrLoop *loop = query->owner->task->loop;
    OutgoingList list = {NULL, 0};
    const HrGatherAnswer *answer;

    event->now_ns = HrLoop_NowNs(loop);
    HrGather_HandleEvent(query->gather, event);
    answer = perform_actions(query, &list);
    if (answer != NULL) {
        HrQuery_Answer(query, answer);
        return;
    }
    send_collected(query, &list);
    report_unplaced(query, &list);
    talloc_free(list.items);
    HrLoop_SetTimer(loop, query->timer, HrGather_GetNextTimer(query->gather));
}

/* Starts the gather with the maps that are known. */
void
HrQuery_StartGather(HrQuery *query)
{
    HrDaemon *daemon = query->owner->task->daemon;
    const HrPoolMaps *maps =
        HrSnapshots_PoolMaps(daemon->snapshots, query->route.pool);
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
    HrQuery_Handle(query, &event);
}
