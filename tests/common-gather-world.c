#include "common-gather-world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define INITIAL_EVENT_CAPACITY 32
#define MAX_SENDS 1024
#define MAX_DELAY_NS (60 * HR_NS_PER_MS)
#define UNUSED_EPOCH_SUB_ID (UINT32_C(7) << 28)
#define UNUSED_RANK_SUB_ID (UINT32_C(200) << 20)

typedef struct SimulationEvent {
    int64_t delivered_ns;
    int64_t scheduled_ns;
    HrGatherEventKind kind;
    HrSubAnswer answer;
    HrGatherPeerFailure failure;
    char payload[64];
    char shard[24];
    bool is_reply;
} SimulationEvent;

typedef struct SimulationSend {
    uint32_t sub_id;
    bool closed; /* replied to or cancelled */
} SimulationSend;

typedef struct SimulationDriver {
    const Simulation *simulation;
    HrRng rng; /* for the answers that the gather must ignore */
    SimulationEvent *events;
    uint32_t event_count;
    uint32_t event_capacity;
    SimulationSend sends[MAX_SENDS];
    SimulationRun run;
} SimulationDriver;

/* Returns a random number generator whose seed depends only on the seed of the
 * simulation and the attempt. */
static HrRng
create_attempt_rng(const Simulation *simulation, uint64_t version,
                   uint32_t index, uint32_t rank)
{
    uint64_t parts[] = {version, index, rank};

    return HrRng_FromSeed(
        HrHash_Bytes(parts, sizeof(parts), simulation->seed));
}

/* Returns a random delay: usually short, sometimes up to MAX_DELAY_NS. */
static int64_t
draw_delay(HrRng *rng)
{
    int64_t limit_ns =
        HrRng_DrawBool(rng, 0.9) ? MAX_DELAY_NS / 6 : MAX_DELAY_NS;

    return 1 + (int64_t)HrRng_DrawBelow(rng, (uint64_t)limit_ns);
}

/* Returns the outcome of an attempt. */
SimulationAttempt
Simulation_GetAttempt(const Simulation *simulation, uint64_t version,
                      uint32_t index, uint32_t rank)
{
    HrRng rng = create_attempt_rng(simulation, version, index, rank);
    SimulationAttempt attempt = {.kind = SIMULATION_ANSWER};
    bool is_first_version = version == simulation->maps->maps[0]->version;

    attempt.delay_ns = draw_delay(&rng);
    if (HrRng_DrawBool(&rng, simulation->fault_rate)) {
        attempt.kind = (SimulationAttemptKind)HrRng_DrawBelow(
            &rng, SIMULATION_ATTEMPT_KIND_COUNT);
    }
    if (is_first_version &&
        HrRng_DrawBool(&rng, simulation->no_version_rate)) {
        attempt.kind = SIMULATION_NO_VERSION;
    }
    switch (attempt.kind) {
    case SIMULATION_FAILED_AFTER_SEND:
    case SIMULATION_NO_REPLY:
    case SIMULATION_WRONG_SHARD:
    case SIMULATION_WRONG_VERSION:
    case SIMULATION_TRUNCATED:
    case SIMULATION_WRONG_QUERY:
        if (HrRng_DrawBool(&rng, 0.3)) {
            attempt.late_ns = attempt.delay_ns + draw_delay(&rng);
        }
        break;
    default:
        break;
    }
    return attempt;
}

/* Returns the failure reason that an attempt of this kind reports. */
HrReason
Simulation_GetReason(SimulationAttemptKind kind)
{
    switch (kind) {
    case SIMULATION_DECLINED_FAILOVER:
        return HR_REASON_NOT_SCHEDULER;
    case SIMULATION_DECLINED_FINAL:
        return HR_REASON_OVERLOADED;
    case SIMULATION_UNKNOWN:
        return HR_REASON_CONNECTION;
    case SIMULATION_NO_VERSION:
        return HR_REASON_NO_VERSION;
    case SIMULATION_FAILED_BEFORE_SEND:
    case SIMULATION_FAILED_AFTER_SEND:
        return HR_REASON_PEER_UNREACHABLE;
    case SIMULATION_WRONG_SHARD:
    case SIMULATION_WRONG_VERSION:
    case SIMULATION_TRUNCATED:
        return HR_REASON_BAD_ANSWER;
    default:
        return HR_REASON_NONE;
    }
}

/* Returns when an event is delivered: at its scheduled time, or at the end of
 * the pause in which that time falls. */
int64_t
Simulation_GetDeliveryTime(const Simulation *simulation, int64_t scheduled_ns)
{
    if (scheduled_ns >= simulation->pause_from_ns &&
        scheduled_ns < simulation->pause_to_ns) {
        return simulation->pause_to_ns;
    }
    return scheduled_ns;
}

/* Writes the payload of a valid answer. */
void
Simulation_WritePayload(char *text, size_t size, uint64_t version,
                        const char *shard, uint32_t rank)
{
    snprintf(text, size, "{\"q\":%d,\"v\":%llu,\"s\":\"%s\",\"r\":%u}",
             SIMULATION_QUERY_COUNTER, (unsigned long long)version, shard,
             rank);
}

/* Creates an index map that divides the key hashes evenly between its
 * shards. */
HrIndexMap *
Simulation_CreateMap(const void *parent, uint64_t version,
                     uint32_t shard_count)
{
    HrIndexMap *map = talloc_zero(parent, HrIndexMap);
    uint64_t step = UINT64_MAX / shard_count;
    uint32_t i;

    map->pool = "pool";
    map->version = version;
    map->shard_count = shard_count;
    map->shards = talloc_zero_array(map, HrShard, shard_count);
    for (i = 0; i < shard_count; i++) {
        HrShard *shard = &map->shards[i];

        shard->name = talloc_asprintf(map, "s%u", i);
        shard->group = talloc_asprintf(map, "g%u", i / 3);
        shard->key_from = i * step;
        shard->key_to = i + 1 == shard_count ? UINT64_MAX : (i + 1) * step - 1;
    }
    return map;
}

/* Creates a set of the given maps, which must be sorted newest first. */
HrIndexMapSet *
Simulation_CreateMapSet(const void *parent, uint64_t revision,
                        HrIndexMap **maps, uint32_t map_count)
{
    HrIndexMapSet *set = talloc_zero(parent, HrIndexMapSet);
    uint32_t i;

    set->revision = revision;
    set->map_count = map_count;
    set->maps = talloc_array(set, HrIndexMap *, map_count);
    for (i = 0; i < map_count; i++) {
        set->maps[i] = maps[i];
    }
    return set;
}

/* Chooses the index maps at the start and those in the reply to a request for
 * maps. */
static void
choose_maps(Simulation *simulation, HrRng *rng)
{
    HrIndexMap *old, *pinned, *newer, *list[SIMULATION_MAX_MAPS] = {NULL};
    uint32_t limit = HrRng_DrawBool(rng, 0.05) ? SIMULATION_MAX_SHARDS : 12;

    old = Simulation_CreateMap(simulation, 4,
                               1 + (uint32_t)HrRng_DrawBelow(rng, limit));
    pinned = Simulation_CreateMap(simulation, 5,
                                  1 + (uint32_t)HrRng_DrawBelow(rng, limit));
    newer = Simulation_CreateMap(simulation, 6,
                                 1 + (uint32_t)HrRng_DrawBelow(rng, limit));
    list[0] = pinned;
    list[1] = old;
    simulation->maps = Simulation_CreateMapSet(simulation, 1, list,
                                               1 + HrRng_DrawBool(rng, 0.5));
    switch (HrRng_DrawBelow(rng, 5)) {
    case 0:
        break;
    case 1:
        simulation->pulled_maps = simulation->maps;
        break;
    case 2:
        simulation->pulled_maps =
            Simulation_CreateMapSet(simulation, 2, &old, 1);
        break;
    default:
        list[0] = newer;
        list[1] = pinned;
        simulation->pulled_maps = Simulation_CreateMapSet(
            simulation, 2, list, 1 + HrRng_DrawBool(rng, 0.5));
        break;
    }
}

/* Chooses the route, the wanted coverage and the key. */
static void
choose_route(Simulation *simulation, HrRng *rng)
{
    HrRoute *route = &simulation->route;

    route->name = "route";
    route->pool = "pool";
    route->priority = (uint32_t)HrRng_DrawBelow(rng, 8);
    route->finish = (HrFinishPolicy)HrRng_DrawBelow(rng, 3);
    route->enough_percent = (uint32_t)HrRng_DrawBelow(rng, 101);
    route->idempotent = HrRng_DrawBool(rng, 0.8);
    simulation->want = (HrWantedCoverage)HrRng_DrawBelow(rng, 2);
    simulation->key =
        HrRng_DrawBool(rng, 0.9)
            ? talloc_asprintf(simulation, "key%u",
                              (uint32_t)HrRng_DrawBelow(rng, 1000))
            : NULL;
}

/* Creates a random simulation as a talloc child of parent. */
Simulation *
Simulation_Create(const void *parent, uint64_t seed)
{
    static const double fault_rates[] = {0, 0.05, 0.3, 0.8};
    Simulation *simulation = talloc_zero(parent, Simulation);
    HrRng rng = HrRng_FromSeed(seed);

    simulation->seed = seed;
    simulation->fault_rate = fault_rates[HrRng_DrawBelow(&rng, 4)];
    simulation->no_version_rate =
        HrRng_DrawBool(&rng, 0.3) ? 0.3 * HrRng_DrawUnit(&rng) : 0;
    simulation->start_ns = HR_NS_PER_S;
    simulation->deadline_ns =
        simulation->start_ns +
        (int64_t)HrRng_DrawBelow(&rng, (uint64_t)(2 * MAX_DELAY_NS));
    simulation->cancel_ns = HR_TIME_NEVER;
    if (HrRng_DrawBool(&rng, 0.1)) {
        simulation->cancel_ns = simulation->start_ns + draw_delay(&rng);
    }
    if (HrRng_DrawBool(&rng, 0.1)) {
        simulation->pause_from_ns = simulation->start_ns + draw_delay(&rng);
        simulation->pause_to_ns = simulation->pause_from_ns + draw_delay(&rng);
    }
    simulation->pull_delay_ns = draw_delay(&rng) / 2 + 1;
    choose_maps(simulation, &rng);
    choose_route(simulation, &rng);
    simulation->config = HrGatherConfig_GetDefaults();
    simulation->config.candidate_count = SIMULATION_CANDIDATES;
    return simulation;
}

/* Adds an event that is scheduled for a time. */
static SimulationEvent *
add_event(SimulationDriver *driver, HrGatherEventKind kind,
          int64_t scheduled_ns)
{
    SimulationEvent *event;

    if (driver->event_count == driver->event_capacity) {
        driver->event_capacity =
            2 * driver->event_capacity + INITIAL_EVENT_CAPACITY;
        driver->events = talloc_realloc(
            driver, driver->events, SimulationEvent, driver->event_capacity);
    }
    event = &driver->events[driver->event_count++];
    memset(event, 0, sizeof(*event));
    event->kind = kind;
    event->scheduled_ns = scheduled_ns;
    event->delivered_ns =
        Simulation_GetDeliveryTime(driver->simulation, scheduled_ns);
    return event;
}

/* Adds a valid answer to a request. */
static SimulationEvent *
add_answer(SimulationDriver *driver, const HrGatherSend *send,
           int64_t scheduled_ns)
{
    const HrSubRequest *request = &send->request;
    SimulationEvent *event =
        add_event(driver, HR_GATHER_SUB_ANSWER, scheduled_ns);

    event->answer.query = request->query;
    event->answer.sub_id = request->sub_id;
    event->answer.version = request->version;
    event->answer.server = "server";
    snprintf(event->shard, sizeof(event->shard), "%s", request->shard);
    Simulation_WritePayload(event->payload, sizeof(event->payload),
                            request->version, request->shard, send->rank);
    event->answer.payload.length_bytes = strlen(event->payload);
    return event;
}

/* Turns a valid answer into the answer of an attempt of this kind. */
static void
apply_fault(SimulationEvent *event, SimulationAttemptKind kind)
{
    HrSubAnswer *answer = &event->answer;

    answer->reason = Simulation_GetReason(kind);
    switch (kind) {
    case SIMULATION_DECLINED_FAILOVER:
    case SIMULATION_DECLINED_FINAL:
        answer->outcome = HR_OUTCOME_DECLINED;
        break;
    case SIMULATION_UNKNOWN:
        answer->outcome = HR_OUTCOME_UNKNOWN;
        break;
    case SIMULATION_NO_VERSION:
        answer->outcome = HR_OUTCOME_NO_VERSION;
        break;
    case SIMULATION_WRONG_SHARD:
        event->shard[0] = 'x';
        break;
    case SIMULATION_WRONG_VERSION:
        answer->version += 1;
        break;
    case SIMULATION_TRUNCATED:
        answer->payload.length_bytes = 0;
        break;
    case SIMULATION_WRONG_QUERY:
        answer->query.counter += 1;
        break;
    default:
        break;
    }
}

/* Adds answers that the gather must ignore: duplicates with another payload,
 * and answers to attempts that were never sent. */
static void
add_ignored_answers(SimulationDriver *driver, const HrGatherSend *send,
                    int64_t scheduled_ns, SimulationAttemptKind kind)
{
    SimulationEvent *event;

    if (HrRng_DrawBool(&driver->rng, 0.2)) {
        event =
            add_answer(driver, send, scheduled_ns + draw_delay(&driver->rng));
        apply_fault(event, kind);
        event->payload[0] = '[';
    }
    if (HrRng_DrawBool(&driver->rng, 0.1)) {
        event = add_answer(driver, send,
                           scheduled_ns + draw_delay(&driver->rng) / 8);
        event->answer.sub_id |= HrRng_DrawBool(&driver->rng, 0.5)
                                    ? UNUSED_EPOCH_SUB_ID
                                    : UNUSED_RANK_SUB_ID;
        event->payload[0] = '(';
    }
}

/* Adds the events that follow from the attempt of a request. */
static void
add_reply(SimulationDriver *driver, const HrGatherSend *send, int64_t now_ns)
{
    uint32_t index = (uint32_t)strtoul(send->request.shard + 1, NULL, 10);
    SimulationAttempt attempt = Simulation_GetAttempt(
        driver->simulation, send->request.version, index, send->rank);
    int64_t scheduled_ns = now_ns + attempt.delay_ns;
    SimulationEvent *event;

    switch (attempt.kind) {
    case SIMULATION_NO_REPLY:
        break;
    case SIMULATION_FAILED_BEFORE_SEND:
    case SIMULATION_FAILED_AFTER_SEND:
        event = add_event(driver, HR_GATHER_PEER_FAILURE, scheduled_ns);
        event->failure.sub_id = send->request.sub_id;
        event->failure.send_started =
            attempt.kind == SIMULATION_FAILED_AFTER_SEND;
        event->failure.reason = HR_REASON_PEER_UNREACHABLE;
        break;
    default:
        event = add_answer(driver, send, scheduled_ns);
        apply_fault(event, attempt.kind);
        event->is_reply = attempt.kind != SIMULATION_WRONG_QUERY;
        add_ignored_answers(driver, send, scheduled_ns, attempt.kind);
        break;
    }
    if (attempt.late_ns != 0) {
        event = add_answer(driver, send, now_ns + attempt.late_ns);
        event->is_reply = true;
    }
    if (attempt.kind != SIMULATION_DECLINED_FAILOVER &&
        attempt.kind != SIMULATION_DECLINED_FINAL &&
        attempt.kind != SIMULATION_NO_VERSION &&
        attempt.kind != SIMULATION_FAILED_BEFORE_SEND) {
        driver->run.may_have_run = true;
    }
}

/* Returns the record of a request, or NULL. */
static SimulationSend *
find_send(SimulationDriver *driver, uint32_t sub_id)
{
    uint32_t i;

    for (i = 0; i < driver->run.send_count; i++) {
        if (driver->sends[i].sub_id == sub_id) {
            return &driver->sends[i];
        }
    }
    return NULL;
}

/* Marks a request as replied to or cancelled. */
static void
close_send(SimulationDriver *driver, uint32_t sub_id)
{
    SimulationSend *send = find_send(driver, sub_id);

    if (send != NULL) {
        send->closed = true;
    }
}

/* Records a request and adds its reply. */
static void
record_send(SimulationDriver *driver, const HrGatherSend *send, int64_t now_ns)
{
    uint32_t sub_id = send->request.sub_id;

    if (find_send(driver, sub_id) != NULL) {
        driver->run.sent_twice = true;
    }
    if (driver->run.send_count == MAX_SENDS) {
        abort();
    }
    driver->sends[driver->run.send_count++].sub_id = sub_id;
    add_reply(driver, send, now_ns);
}

/* Records the answer, and whether a pending request was not cancelled. */
static void
record_finish(SimulationDriver *driver, const HrGatherAnswer *answer)
{
    uint32_t i;

    driver->run.answer = answer;
    for (i = 0; i < driver->run.send_count; i++) {
        if (!driver->sends[i].closed) {
            driver->run.missing_cancel = true;
        }
    }
}

/* Performs the actions of the gather. */
static void
perform_actions(SimulationDriver *driver, int64_t now_ns)
{
    HrGatherAction action;

    while (HrGather_PopAction(driver->run.gather, &action)) {
        if (driver->run.answer != NULL) {
            driver->run.acted_after_finish = true;
        }
        switch (action.kind) {
        case HR_GATHER_SEND:
            record_send(driver, &action.u.send, now_ns);
            break;
        case HR_GATHER_CANCEL_SUB:
            close_send(driver, action.u.cancel.sub_id);
            break;
        case HR_GATHER_PULL_MAPS:
            add_event(driver, HR_GATHER_MAPS_RECEIVED,
                      now_ns + driver->simulation->pull_delay_ns);
            break;
        case HR_GATHER_FINISH:
            record_finish(driver, action.u.answer);
            break;
        }
    }
}

/* Removes the earliest event. */
static SimulationEvent
pop_event(SimulationDriver *driver)
{
    SimulationEvent *first = &driver->events[0], event_copy;
    uint32_t i;

    for (i = 1; i < driver->event_count; i++) {
        SimulationEvent *event = &driver->events[i];

        if (event->delivered_ns < first->delivered_ns ||
            (event->delivered_ns == first->delivered_ns &&
             event->scheduled_ns < first->scheduled_ns)) {
            first = event;
        }
    }
    event_copy = *first;
    *first = driver->events[--driver->event_count];
    return event_copy;
}

/* Hands an event to the gather. */
static void
deliver_event(SimulationDriver *driver, SimulationEvent *event)
{
    HrGatherEvent input = {.kind = event->kind, .now_ns = event->delivered_ns};

    switch (event->kind) {
    case HR_GATHER_SUB_ANSWER:
        event->answer.shard = event->shard;
        event->answer.payload.data = (const uint8_t *)event->payload;
        input.u.answer = &event->answer;
        if (event->is_reply) {
            close_send(driver, event->answer.sub_id);
        }
        break;
    case HR_GATHER_PEER_FAILURE:
        input.u.failure = event->failure;
        close_send(driver, event->failure.sub_id);
        break;
    case HR_GATHER_MAPS_RECEIVED:
        input.u.maps = driver->simulation->pulled_maps;
        break;
    default:
        break;
    }
    HrGather_HandleEvent(driver->run.gather, &input);
    perform_actions(driver, event->delivered_ns);
}

/* Starts the query. */
static void
start_query(SimulationDriver *driver)
{
    const Simulation *simulation = driver->simulation;
    HrGatherEvent event = {
        .kind = HR_GATHER_START,
        .now_ns = simulation->start_ns,
        .u.start =
            {
                .route = &simulation->route,
                .maps = simulation->maps,
                .key = simulation->key,
                .payload = {(const uint8_t *)"{}", 2},
                .caller = "caller",
                .want = simulation->want,
                .deadline_ns = simulation->deadline_ns,
            },
    };

    HrGather_HandleEvent(driver->run.gather, &event);
    perform_actions(driver, simulation->start_ns);
}

/* Runs the gather until all events are delivered. */
SimulationRun
Simulation_RunQuery(const void *parent, const Simulation *simulation)
{
    const HrQueryId query = {1, 2, SIMULATION_QUERY_COUNTER};
    SimulationDriver *driver = talloc_zero(parent, SimulationDriver);
    int64_t timer_ns;
    SimulationRun run;

    driver->simulation = simulation;
    driver->rng = HrRng_FromSeed(~simulation->seed);
    driver->run.gather = HrGather_Create(parent, &simulation->config, &query);
    start_query(driver);
    timer_ns = HrGather_GetNextTimer(driver->run.gather);
    if (timer_ns != HR_TIME_NEVER) {
        add_event(driver, HR_GATHER_TIMER, timer_ns);
    }
    if (simulation->cancel_ns != HR_TIME_NEVER) {
        add_event(driver, HR_GATHER_CALLER_DISCONNECTED,
                  simulation->cancel_ns);
    }
    while (driver->event_count > 0) {
        SimulationEvent event = pop_event(driver);

        deliver_event(driver, &event);
    }
    run = driver->run;
    talloc_free(driver);
    return run;
}
