#include "coord-gather-state.h"

#include <talloc.h>

#define DEFAULT_MARGIN_NS (2 * HR_NS_PER_MS)
#define DEFAULT_RESTART_MIN_NS (5 * HR_NS_PER_MS)
#define DEFAULT_CANDIDATES 4
#define DEFAULT_MAX_PAYLOAD_BYTES (UINT64_C(64) << 20)
/* The margin is at most the time from start to deadline divided by this. */
#define MARGIN_DIVISOR 4

/* Returns the default limits, without counters. */
HrGatherConfig
HrGatherConfig_GetDefaults(void)
{
    HrGatherConfig config = {
        .answer_margin_ns = DEFAULT_MARGIN_NS,
        .restart_min_ns = DEFAULT_RESTART_MIN_NS,
        .candidate_count = DEFAULT_CANDIDATES,
        .max_payload_bytes = DEFAULT_MAX_PAYLOAD_BYTES,
    };

    return config;
}

/* Creates the gather of one query. Returns NULL when out of memory. */
HrGather *
HrGather_Create(const void *parent, const HrGatherConfig *config,
                const HrQueryId *query)
{
    HrGather *gather = talloc_zero(parent, HrGather);

    if (gather == NULL) {
        return NULL;
    }
    gather->config = *config;
    if (gather->config.candidate_count > HR_GATHER_MAX_CANDIDATES) {
        gather->config.candidate_count = HR_GATHER_MAX_CANDIDATES;
    }
    gather->query = *query;
    gather->idempotent = true;
    return gather;
}

/* Copies what the query needs from its route, and the key. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
copy_route_settings(HrGather *gather, const HrGatherStart *start)
{
    const HrRoute *route = start->route;

    gather->idempotent = route->idempotent;
    gather->single_shard =
        route->finish == HR_FINISH_SINGLE || !route->idempotent;
    gather->priority = route->priority;
    gather->enough_percent = 100;
    if (route->finish == HR_FINISH_ENOUGH && start->want == HR_WANT_PARTIAL &&
        route->enough_percent < 100) {
        gather->enough_percent = route->enough_percent;
    }
    gather->pool = talloc_strdup(gather, route->pool);
    if (gather->pool == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    if (gather->single_shard && start->key != NULL) {
        gather->key = talloc_strdup(gather, start->key);
        if (gather->key == NULL) {
            return HR_ERR_NO_MEMORY;
        }
    }
    return HR_OK;
}

/* Returns when the answer is due: the margin before the deadline. */
static int64_t
compute_answer_time(const HrGather *gather, int64_t deadline_ns,
                    int64_t now_ns)
{
    int64_t margin_ns = (deadline_ns - now_ns) / MARGIN_DIVISOR;

    if (margin_ns > gather->config.answer_margin_ns) {
        margin_ns = gather->config.answer_margin_ns;
    }
    return deadline_ns - margin_ns;
}

/* Starts the query, or finishes it as refused if its deadline has passed or no
 * index map is usable. */
static int
handle_start(HrGather *gather, const HrGatherStart *start, int64_t now_ns)
{
    const HrIndexMap *map;

    if (copy_route_settings(gather, start) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    gather->payload = start->payload;
    gather->caller = start->caller;
    gather->answer.started_ns = now_ns;
    if (start->deadline_ns <= now_ns) {
        return HrGather_FinishQuery(gather, HR_REASON_DEADLINE, now_ns);
    }
    map = HrGather_FindMap(gather, start->maps, 0);
    if (map == NULL) {
        bool has_maps = start->maps != NULL && start->maps->map_count > 0;
        bool is_key_missing = gather->single_shard && gather->key == NULL;

        return HrGather_FinishQuery(
            gather,
            has_maps && is_key_missing ? HR_REASON_NO_KEY : HR_REASON_NO_INDEX,
            now_ns);
    }
    gather->answer_due_ns =
        compute_answer_time(gather, start->deadline_ns, now_ns);
    gather->map_revision = start->maps->revision;
    if (HrGather_PinMap(gather, map, 0, now_ns) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    gather->phase = HR_PHASE_RUNNING;
    return HR_OK;
}

/* Handles an event of a running query whose answer is not due yet. */
static int
handle_running_event(HrGather *gather, const HrGatherEvent *event)
{
    switch (event->kind) {
    case HR_GATHER_START:
        return HR_ERR_INVALID;
    case HR_GATHER_SUB_ANSWER:
        return HrGather_HandleAnswer(gather, event->u.answer, event->now_ns);
    case HR_GATHER_PEER_FAILURE:
        return HrGather_HandlePeerFailure(gather, &event->u.failure,
                                          event->now_ns);
    case HR_GATHER_MAPS_RECEIVED:
        return HrGather_HandleMaps(gather, event->u.maps, event->now_ns);
    case HR_GATHER_TIMER:
        return HR_OK;
    case HR_GATHER_CALLER_DISCONNECTED:
        return HrGather_FinishQuery(gather, HR_REASON_CANCELLED,
                                    event->now_ns);
    case HR_GATHER_STOPPING:
        return HrGather_FinishQuery(gather, HR_REASON_DRAINING, event->now_ns);
    }
    return HR_ERR_INVALID;
}

/* Handles one event. Any event at or after the due time of the answer finishes
 * the query; later events are ignored. */
int
HrGather_HandleEvent(HrGather *gather, const HrGatherEvent *event)
{
    switch (gather->phase) {
    case HR_PHASE_NEW:
        if (event->kind != HR_GATHER_START) {
            return HR_ERR_INVALID;
        }
        return handle_start(gather, &event->u.start, event->now_ns);
    case HR_PHASE_RUNNING:
        if (event->now_ns >= gather->answer_due_ns) {
            return HrGather_FinishQuery(gather, HR_REASON_DEADLINE,
                                        event->now_ns);
        }
        return handle_running_event(gather, event);
    case HR_PHASE_FINISHED:
        break;
    }
    return HR_OK;
}

/* Fills a send action and marks its attempt as sent. Returns false if the
 * attempt became obsolete before the driver popped it; it then counts as not
 * sent. */
static bool
fill_send_action(HrGather *gather, uint32_t sub_id, HrGatherSend *send)
{
    HrGatherSubId id = HrGatherSubId_Unpack(sub_id);
    HrGatherSnapshot *snapshot = gather->snapshot;
    HrGatherShard *shard;

    if (gather->phase == HR_PHASE_FINISHED || id.epoch != snapshot->epoch) {
        return false;
    }
    shard = &snapshot->shards[id.shard_index];
    if (shard->state != HR_SHARD_PENDING || shard->rank != id.rank) {
        return false;
    }
    shard->sent = true;
    send->rank = id.rank;
    send->request = (HrSubRequest){
        .query = gather->query,
        .sub_id = sub_id,
        .pool = gather->pool,
        .group = shard->group,
        .shard = shard->name,
        .version = snapshot->version,
        .deadline_ns = gather->answer_due_ns,
        .priority = gather->priority,
        .idempotent = gather->idempotent,
        .caller = gather->caller,
        .payload = gather->payload,
    };
    return true;
}

/* Fills an action. Returns false if it is no longer needed. */
static bool
fill_action(HrGather *gather, const HrGatherQueuedAction *queued,
            HrGatherAction *action)
{
    action->kind = queued->kind;
    switch (queued->kind) {
    case HR_GATHER_SEND:
        return fill_send_action(gather, queued->sub_id, &action->u.send);
    case HR_GATHER_CANCEL_SUB:
        action->u.cancel.sub_id = queued->sub_id;
        action->u.cancel.group = queued->group;
        action->u.cancel.rank = HrGatherSubId_Unpack(queued->sub_id).rank;
        return true;
    case HR_GATHER_PULL_MAPS:
        action->u.pull.pool = gather->pool;
        action->u.pull.known_revision = gather->map_revision;
        return gather->phase == HR_PHASE_RUNNING;
    case HR_GATHER_FINISH:
        action->u.answer = &gather->answer;
        return true;
    }
    return false;
}

/* Pops the next action that is still needed; returns false if there is
 * none. */
bool
HrGather_PopAction(HrGather *gather, HrGatherAction *action)
{
    HrGatherQueuedAction queued;

    while (HrGatherQueue_PopAction(&gather->queue, &queued)) {
        if (fill_action(gather, &queued, action)) {
            return true;
        }
    }
    return false;
}

/* Returns when the next timer event is due, or HR_TIME_NEVER. */
int64_t
HrGather_GetNextTimer(const HrGather *gather)
{
    return gather->phase == HR_PHASE_RUNNING ? gather->answer_due_ns
                                             : HR_TIME_NEVER;
}
