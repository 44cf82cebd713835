#include "daemon-query.h"

#include <string.h>
#include <talloc.h>

#include "coord-claim.h"
#include "daemon-query-state.h"
#include "daemon-report.h"
#include "proto-burn.h"
#include "proto-fields.h"

#define OPEN_COUNT_INTERVAL_NS HR_NS_PER_S
/* The longest time that a query waits for the first index maps of its pool; at
 * most half of the time to its deadline. A daemon that has just become the
 * pool home receives a report from every scheduling daemon within two report
 * intervals. */
#define MAPS_WAIT_NS (3 * HR_NS_PER_S)
/* Time between two checks for these maps. */
#define MAPS_POLL_NS (100 * HR_NS_PER_MS)
/* Returns true if no earlier copy of a request can have run. Only requests
 * that run at most once state when their id expires; whether an earlier copy
 * of one has run is only known to the owner of its claim. */
static bool
is_first_copy(const HrQuery *query)
{
    return query->caller->expires_ms == 0 || query->caller->attempt == 1;
}

/* How long after the deadline of the query the result of its claim is awaited.
 * The control task answers by the deadline; this margin covers the messages
 * between the tasks. */
#define CLAIM_MARGIN_NS (500 * HR_NS_PER_MS)

static void perform_admission_actions(HrQueryTask *state);

/* Frees an answered query. */
void
HrQuery_Remove(HrQuery *query)
{
    HrQueryTask *state = query->owner;
    HrAdmitEvent event = {.kind = HR_ADMIT_WITHDRAW,
                          .now_ns = HrLoop_NowNs(state->task->loop)};

    if (query->admitted) {
        event.kind = HR_ADMIT_FINISH;
        /* The service time is not reported. The admission queue has one mean
         * for all routes and refuses queries that have less time left. After
         * slow queries it would refuse those with short deadlines forever,
         * because no query that runs would lower the mean again. */
        event.u.finish.id = query->id.counter;
        event.u.finish.service_ns = -1;
    }
    else {
        event.u.withdraw_id = query->id.counter;
    }
    HASH_DELETE(hh, state->queries, query);
    HASH_CLEAR(hh, query->subs);
    HrLoop_RemoveTimer(state->task->loop, query->timer);
    talloc_free(query);
    HrAdmit_HandleEvent(state->admit, &event);
    perform_admission_actions(state);
}

/* Reports the number of open queries to the control task once a second. */
static void
handle_open_count_timer(void *arg)
{
    HrQueryTask *state = arg;

    HrTask_ReportOpenCount(state->task, HASH_COUNT(state->queries),
                           &state->reported_open);
    HrLoop_SetTimer(state->task->loop, state->open_count_timer,
                    HrLoop_NowNs(state->task->loop) + OPEN_COUNT_INTERVAL_NS);
}

/* Returns the time until which a query waits for the first index maps of its
 * pool. */
static int64_t
get_maps_wait_end_ns(const HrQuery *query, int64_t now_ns)
{
    int64_t half_ns = (query->deadline_ns - now_ns) / 2;

    return now_ns + (half_ns < MAPS_WAIT_NS ? half_ns : MAPS_WAIT_NS);
}

/* Starts the gather if the pool has index maps or the wait for them is over;
 * else sets the timer to check again. */
static void
start_gather_or_wait(HrQuery *query)
{
    HrQueryTask *state = query->owner;
    const HrPoolMaps *maps = HrSnapshots_FindPoolMaps(
        state->task->daemon->snapshots, query->route.pool);
    int64_t now_ns = HrLoop_NowNs(state->task->loop);
    bool usable = maps != NULL && maps->set->map_count > 0;
    int64_t next_ns = now_ns + MAPS_POLL_NS;

    HrQueryTask_RequestMaps(state, query->route.pool,
                            maps != NULL ? maps->set->revision : 0, !usable);
    if (query->phase != HR_QUERY_MAPS) {
        query->phase = HR_QUERY_MAPS;
        query->maps_wait_end_ns = get_maps_wait_end_ns(query, now_ns);
    }
    if (usable || now_ns >= query->maps_wait_end_ns) {
        HrQuery_StartGather(query);
        return;
    }
    HrLoop_SetTimer(
        state->task->loop, query->timer,
        next_ns < query->maps_wait_end_ns ? next_ns : query->maps_wait_end_ns);
}

/* Handles the timer of a query, whose meaning depends on the phase. */
static void
handle_query_timer(void *arg)
{
    HrQuery *query = arg;
    HrGatherEvent event = {.kind = HR_GATHER_TIMER};

    switch (query->phase) {
    case HR_QUERY_ADMISSION:
        break; /* the admission queue has its own timer */
    case HR_QUERY_CLAIM:
        /* A claim that is granted later is released. */
        HrQuery_Refuse(query, HR_REASON_STORE_UNAVAILABLE, false);
        break;
    case HR_QUERY_MAPS:
        start_gather_or_wait(query);
        break;
    case HR_QUERY_RUNNING:
        HrQuery_HandleEvent(query, &event);
        break;
    }
}

/* Continues an admitted query with its claim, its wait for index maps, or its
 * gather. */
void
HrQuery_StartNextPhase(HrQuery *query)
{
    if (!query->route.idempotent && !query->claimed) {
        query->phase = HR_QUERY_CLAIM;
        HrLoop_SetTimer(query->owner->task->loop, query->timer,
                        query->deadline_ns + CLAIM_MARGIN_NS);
        HrQuery_StartClaim(query);
        return;
    }
    start_gather_or_wait(query);
}

/* Performs the actions of the admission queue. An action may end a query,
 * which calls this function again; the inner call returns, and the outer loop
 * performs the new actions. */
static void
perform_admission_actions(HrQueryTask *state)
{
    HrAdmitAction action;

    if (state->performing_admission) {
        return;
    }
    state->performing_admission = true;
    while (HrAdmit_PopAction(state->admit, &action)) {
        HrQuery *query = NULL;

        HASH_FIND(hh, state->queries, &action.id, sizeof(action.id), query);
        if (query == NULL) {
            continue;
        }
        if (action.kind == HR_ADMIT_REFUSE || state->exiting) {
            HrQuery_Refuse(query,
                           state->exiting ? HR_REASON_DRAINING : action.reason,
                           is_first_copy(query));
            continue;
        }
        query->admitted = true;
        HrQuery_StartNextPhase(query);
    }
    state->performing_admission = false;
    HrLoop_SetTimer(state->task->loop, state->admit_timer,
                    HrAdmit_GetNextTimer(state->admit));
}

/* Passes a timer event to the admission queue. */
static void
handle_admission_timer(void *arg)
{
    HrQueryTask *state = arg;
    HrAdmitEvent event = {.kind = HR_ADMIT_TIMER,
                          .now_ns = HrLoop_NowNs(state->task->loop)};

    HrAdmit_HandleEvent(state->admit, &event);
    perform_admission_actions(state);
}

/* Copies the route into the query, which a change of the tables then does not
 * affect. Returns 0 or HR_ERR_NO_MEMORY. */
static int
copy_route(HrQuery *query, const HrRoute *route)
{
    query->route = *route;
    query->route.name = talloc_strdup(query, route->name);
    query->route.kind = talloc_strdup(query, route->kind);
    query->route.pool = talloc_strdup(query, route->pool);
    return query->route.name != NULL && query->route.kind != NULL &&
                   query->route.pool != NULL
               ? HR_OK
               : HR_ERR_NO_MEMORY;
}

/* Returns the deadline of a query: that of the caller or else the default of
 * the route, limited by the maximum of the route. */
static int64_t
get_deadline_ns(const HrQuery *query)
{
    uint32_t ms = query->caller->deadline_ms;

    if (ms == 0) {
        ms = query->route.default_deadline_ms;
    }
    if (ms > query->route.max_deadline_ms) {
        ms = query->route.max_deadline_ms;
    }
    return query->received_ns + ms * HR_NS_PER_MS;
}

/* Creates a query with a new id. Returns NULL when out of memory. */
static HrQuery *
create_query(HrQueryTask *state, const HrMessage *message)
{
    const HrDaemon *daemon = state->task->daemon;
    HrQuery *query = talloc_zero(state, HrQuery);

    if (query == NULL) {
        return NULL;
    }
    query->timer =
        HrLoop_AddTimer(state->task->loop, handle_query_timer, query);
    if (query->timer == NULL) {
        talloc_free(query);
        return NULL;
    }
    state->last_counter += daemon->query_count;
    query->owner = state;
    query->id.daemon_id = daemon->daemon_id;
    query->id.incarnation = daemon->incarnation;
    query->id.counter = state->last_counter;
    query->http_number = message->u.query.number;
    query->received_ns = message->u.query.received_ns;
    query->phase = HR_QUERY_ADMISSION;
    HASH_ADD(hh, state->queries, id.counter, sizeof(query->id.counter), query);
    return query;
}

/* Adds a query to the admission queue. The deadline in the queue is half of
 * the time to the real one: a query that starts later has too little time left
 * for the queues of the shard groups, and most answers are then partial. */
static void
enqueue_query(HrQuery *query)
{
    HrQueryTask *state = query->owner;
    HrAdmitEvent event = {.kind = HR_ADMIT_ARRIVE,
                          .now_ns = HrLoop_NowNs(state->task->loop)};

    event.u.arrive.id = query->id.counter;
    event.u.arrive.priority = query->route.priority;
    event.u.arrive.caller = query->caller->caller;
    event.u.arrive.deadline_ns =
        query->received_ns + (query->deadline_ns - query->received_ns) / 2;
    event.u.arrive.caller_share_percent = query->route.caller_share_percent;
    HrAdmit_HandleEvent(state->admit, &event);
    perform_admission_actions(state);
}

/* Checks the fields that a non-idempotent request needs for its claim. Returns
 * 0 or a negative error number with err filled in. */
static int
check_claim_fields(const HrQuery *query, HrError *err)
{
    const HrCallerQuery *caller = query->caller;
    int64_t wall_ms = HrClock_GetWallMs(query->owner->task->daemon->clock);

    if (caller->expires_ms == 0) {
        return HrError_Set(
            err, HR_ERR_INVALID,
            "expires_ms is missing: a request of kind %s runs at most once, "
            "so its id needs an expiry within 10 minutes",
            caller->kind);
    }
    if (caller->expires_ms - wall_ms > HR_CLAIM_MAX_EXPIRY_AHEAD_MS) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "expires_ms is %lld s ahead: choose an expiry "
                           "within 10 minutes",
                           (long long)(caller->expires_ms - wall_ms) / 1000);
    }
    if (strlen(caller->request_id) >= HR_REQUEST_ID_BYTES) {
        return HrError_Set(
            err, HR_ERR_TOO_LARGE,
            "request_id has %zu bytes: the id of a request that "
            "runs at most once has at most %d",
            strlen(caller->request_id), HR_REQUEST_ID_BYTES - 1);
    }
    return HR_OK;
}

/* Finds the route of a decoded query and adds the query to the admission
 * queue, or refuses it. */
static void
route_query(HrQuery *query)
{
    HrQueryTask *state = query->owner;
    const HrTables *tables =
        HrSnapshots_GetTables(state->task->daemon->snapshots);
    const HrRoute *route =
        tables != NULL ? HrTables_FindRouteByKind(tables, query->caller->kind)
                       : NULL;
    HrError err;

    if (state->refuses_new_queries) {
        HrQuery_Refuse(query, HR_REASON_DRAINING, is_first_copy(query));
        return;
    }
    if (route == NULL) {
        HrQuery_Refuse(query, HR_REASON_NO_ROUTE, is_first_copy(query));
        return;
    }
    if (copy_route(query, route) != HR_OK) {
        HrQuery_Refuse(query, HR_REASON_OVERLOADED, is_first_copy(query));
        return;
    }
    if (!route->idempotent && check_claim_fields(query, &err) != HR_OK) {
        HrCounters_Add(state->task->daemon->counters, HR_COUNTER_bad_requests,
                       1);
        HrQueryTask_RejectRequest(state, query->http_number, &err);
        HrQuery_Remove(query);
        return;
    }
    query->deadline_ns = get_deadline_ns(query);
    enqueue_query(query);
}

/* Decodes and routes a query received from a caller. */
static void
accept_query(HrQueryTask *state, const HrMessage *message)
{
    HrCounters *counters = state->task->daemon->counters;
    HrQuery *query = create_query(state, message);
    HrError err;

    if (query == NULL) {
        HrError_Set(&err, HR_ERR_NO_MEMORY,
                    "no memory for a query: send it to another address");
        HrQueryTask_RejectRequest(state, message->u.query.number, &err);
        return;
    }
    if (HrCallerQuery_Decode(query, (const char *)message->u.query.text.data,
                             message->u.query.text.length_bytes,
                             &query->caller, &err) != HR_OK) {
        HrCounters_Add(counters, HR_COUNTER_bad_requests, 1);
        HrQueryTask_RejectRequest(state, query->http_number, &err);
        HrQuery_Remove(query);
        return;
    }
    HrCounters_Add(counters, HR_COUNTER_queries_received, 1);
    route_query(query);
}

/* Returns the open query with an id, or NULL. */
static HrQuery *
find_query(HrQueryTask *state, const HrQueryId *id)
{
    HrQuery *query = NULL;

    HASH_FIND(hh, state->queries, &id->counter, sizeof(id->counter), query);
    return query != NULL && HrQueryId_Equals(&query->id, id) ? query : NULL;
}

/* Passes a sub-answer to the gather of its query. Checks that a payload from
 * another daemon is valid JSON, because the answer to the caller contains
 * payloads unchanged. */
static void
handle_sub_answer(HrQueryTask *state, HrMessage *message)
{
    HrSubAnswer *answer = &message->u.answer.answer;
    HrQuery *query = find_query(state, &answer->query);
    HrGatherEvent event = {.kind = HR_GATHER_SUB_ANSWER, .u.answer = answer};

    if (query == NULL || query->phase != HR_QUERY_RUNNING) {
        HrCounters_Add(state->task->daemon->counters,
                       HR_COUNTER_sub_answers_dropped, 1);
        return;
    }
    if (message->u.answer.remote && answer->outcome == HR_OUTCOME_ANSWERED &&
        !HrJson_IsValue(answer->payload)) {
        answer->outcome = HR_OUTCOME_UNKNOWN;
        answer->reason = HR_REASON_BAD_ANSWER;
        answer->payload.length_bytes = 0;
    }
    HrQuery_HandleEvent(query, &event);
}

/* Passes the failure of a sub-request to the gather of its query. */
static void
handle_sub_failure(HrQueryTask *state, const HrMessage *message)
{
    HrQuery *query = find_query(state, &message->u.failure.query);
    HrGatherEvent event = {.kind = HR_GATHER_PEER_FAILURE};

    if (query == NULL || query->phase != HR_QUERY_RUNNING) {
        return;
    }
    event.u.failure.sub_id = message->u.failure.sub_id;
    event.u.failure.send_started = message->u.failure.send_started;
    event.u.failure.reason = message->u.failure.reason;
    HrQuery_HandleEvent(query, &event);
}

/* Sends the burn-rate report of the service-level objectives to the control
 * task. */
static void
send_burn_report(HrQueryTask *state, uint64_t number)
{
    void *scratch = talloc_new(NULL);
    HrBurnReport *report = HrBurn_CreateReport(
        state->burn, scratch,
        HrTime_ToNs(HrClock_GetWall(state->task->daemon->clock)));
    const char *text =
        report != NULL ? HrBurnReport_Encode(scratch, report) : NULL;

    HrReport_SendSection(state->task, number, "burn",
                         text != NULL ? text : "{}");
    talloc_free(scratch);
}

/* Answers an open query before the daemon exits. */
static void
end_query(HrQuery *query)
{
    HrGatherEvent event = {.kind = HR_GATHER_STOPPING};

    switch (query->phase) {
    case HR_QUERY_ADMISSION:
        HrQuery_Refuse(query, HR_REASON_DRAINING, is_first_copy(query));
        break;
    case HR_QUERY_CLAIM:
        /* A claim that is granted later is released. */
        HrQuery_Refuse(query, HR_REASON_DRAINING, false);
        break;
    case HR_QUERY_MAPS:
        HrQuery_Refuse(query, HR_REASON_DRAINING,
                       query->claimed || is_first_copy(query));
        break;
    case HR_QUERY_RUNNING:
        HrQuery_HandleEvent(query, &event);
        break;
    }
}

/* Answers all open queries. Each end may admit a waiting query, which is then
 * refused, so the list is read from its start each time. */
static void
end_queries(HrQueryTask *state)
{
    uint32_t count = HASH_COUNT(state->queries);

    state->exiting = true;
    while (state->queries != NULL) {
        end_query(state->queries);
        if (HASH_COUNT(state->queries) >= count) {
            return; /* out of memory */
        }
        count = HASH_COUNT(state->queries);
    }
}

/* Handles a message from another task. */
static void
handle_message(void *arg, HrMessage *message)
{
    HrQueryTask *state = arg;

    switch (message->kind) {
    case HR_MESSAGE_QUERY:
        accept_query(state, message);
        break;
    case HR_MESSAGE_SUB_ANSWER:
        handle_sub_answer(state, message);
        break;
    case HR_MESSAGE_SUB_FAILURE:
        handle_sub_failure(state, message);
        break;
    case HR_MESSAGE_MAPS_CHECKED:
        HrQueryTask_HandleMapsChecked(state, message->u.maps.pool);
        break;
    case HR_MESSAGE_CLAIM_RESULT:
        HrQueryTask_HandleClaimResult(state, message);
        break;
    case HR_MESSAGE_REFUSE_NEW_QUERIES:
        state->refuses_new_queries = true;
        break;
    case HR_MESSAGE_END_QUERIES:
        state->refuses_new_queries = true;
        end_queries(state);
        break;
    case HR_MESSAGE_REPORT_REQUEST:
        send_burn_report(state, message->u.report.number);
        break;
    default:
        break;
    }
    if (state->refuses_new_queries) {
        HrTask_ReportOpenCount(state->task, HASH_COUNT(state->queries),
                               &state->reported_open);
    }
    talloc_free(message);
}

/* Clears the hashes before talloc frees their entries. */
static int
destroy_state(HrQueryTask *state)
{
    HASH_CLEAR(hh, state->queries);
    HASH_CLEAR(hh, state->pools);
    return 0;
}

/* Initializes a query task. */
int
HrQueryTask_Init(HrTask *task)
{
    const HrSettings *settings = task->daemon->settings;
    HrQueryTask *state = talloc_zero(task, HrQueryTask);
    HrAdmitConfig admit = {.queue_limit = settings->max_queries};
    HrBurnConfig burn = HrBurnConfig_GetDefaults();

    if (state == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    state->task = task;
    state->last_counter = task->index;
    state->limit = HrQueryLimit_GetInitial(settings->max_queries);
    admit.max_running = HrQueryLimit_GetMaxRunning(&state->limit);
    state->admit = HrAdmit_Create(state, &admit);
    state->placement = HrPlacement_Create(state);
    state->burn = HrBurn_Create(state, &burn);
    state->admit_timer =
        HrLoop_AddTimer(task->loop, handle_admission_timer, state);
    state->open_count_timer =
        HrLoop_AddTimer(task->loop, handle_open_count_timer, state);
    if (state->admit == NULL || state->placement == NULL ||
        state->burn == NULL || state->admit_timer == NULL ||
        state->open_count_timer == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    talloc_set_destructor(state, destroy_state);
    task->state = state;
    task->message_fn = handle_message;
    handle_open_count_timer(state);
    return HR_OK;
}
