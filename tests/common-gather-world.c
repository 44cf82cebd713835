#include "common-gather-world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define FIRST_EVENTS 32
#define MAX_SENDS 1024
#define MAX_DELAY_NS (60 * HR_NS_PER_MS)
#define STRAY_EPOCH_SUB_ID (UINT32_C(7) << 28)
#define STRAY_RANK_SUB_ID (UINT32_C(200) << 20)

typedef struct WorldEvent {
    int64_t at_ns;
    int64_t raw_ns;
    HrGatherEventKind kind;
    HrSubAnswer answer;
    HrGatherPeerFailure failure;
    char payload[64];
    char shard[24];
    bool is_reply;
} WorldEvent;

typedef struct WorldSend {
    uint32_t sub_id;
    bool closed; /* replied or cancelled */
} WorldSend;

typedef struct WorldDriver {
    const World *world;
    HrRng rng; /* of the noise, which must change nothing */
    WorldEvent *events;
    uint32_t event_count;
    uint32_t event_capacity;
    WorldSend sends[MAX_SENDS];
    WorldRun run;
} WorldDriver;

/* Returns a random number that depends only on the attempt. */
static HrRng
attempt_rng(const World *world, uint64_t version, uint32_t index,
            uint32_t rank)
{
    uint64_t parts[] = {version, index, rank};

    return HrRng_FromSeed(HrHash_Bytes(parts, sizeof(parts), world->seed));
}

/* Returns a random delay: mostly short, sometimes near the longest. */
static int64_t
random_delay(HrRng *rng)
{
    int64_t limit_ns =
        HrRng_Chance(rng, 0.9) ? MAX_DELAY_NS / 6 : MAX_DELAY_NS;

    return 1 + (int64_t)HrRng_Below(rng, (uint64_t)limit_ns);
}

/* Returns what an attempt does. */
WorldAttempt
World_Attempt(const World *world, uint64_t version, uint32_t index,
              uint32_t rank)
{
    HrRng rng = attempt_rng(world, version, index, rank);
    WorldAttempt attempt = {.kind = WORLD_ANSWER};
    bool first = version == world->maps->maps[0]->version;

    attempt.delay_ns = random_delay(&rng);
    if (HrRng_Chance(&rng, world->fault_rate)) {
        attempt.kind = (WorldKind)HrRng_Below(&rng, WORLD_KIND_COUNT);
    }
    if (first && HrRng_Chance(&rng, world->lost_rate)) {
        attempt.kind = WORLD_NO_VERSION;
    }
    switch (attempt.kind) {
    case WORLD_HANDED:
    case WORLD_SILENT:
    case WORLD_WRONG_SHARD:
    case WORLD_WRONG_VERSION:
    case WORLD_TRUNCATED:
    case WORLD_WRONG_QUERY:
        if (HrRng_Chance(&rng, 0.3)) {
            attempt.late_ns = attempt.delay_ns + random_delay(&rng);
        }
        break;
    default:
        break;
    }
    return attempt;
}

/* Returns the reason that an attempt's failure reports. */
HrReason
World_Reason(WorldKind kind)
{
    switch (kind) {
    case WORLD_DECLINED_NEXT:
        return HR_REASON_NOT_SCHEDULER;
    case WORLD_DECLINED_FINAL:
        return HR_REASON_OVERLOADED;
    case WORLD_UNKNOWN:
        return HR_REASON_CONNECTION;
    case WORLD_NO_VERSION:
        return HR_REASON_NO_VERSION;
    case WORLD_NOT_HANDED:
    case WORLD_HANDED:
        return HR_REASON_PEER_UNREACHABLE;
    case WORLD_WRONG_SHARD:
    case WORLD_WRONG_VERSION:
    case WORLD_TRUNCATED:
        return HR_REASON_BAD_ANSWER;
    default:
        return HR_REASON_NONE;
    }
}

/* Returns when an event that is due at a time is delivered. */
int64_t
World_Deliver(const World *world, int64_t raw_ns)
{
    if (raw_ns >= world->pause_from_ns && raw_ns < world->pause_to_ns) {
        return world->pause_to_ns;
    }
    return raw_ns;
}

/* Writes the payload of a valid answer. */
void
World_Payload(char *text, size_t size, uint64_t version, const char *shard,
              uint32_t rank)
{
    snprintf(text, size, "{\"q\":%d,\"v\":%llu,\"s\":\"%s\",\"r\":%u}",
             WORLD_COUNTER, (unsigned long long)version, shard, rank);
}

/* Builds a map whose shards divide the hashes evenly. */
HrIndexMap *
World_CreateMap(const void *parent, uint64_t version, uint32_t shard_count)
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

/* Builds a set of the given maps, newest first. */
HrIndexMapSet *
World_CreateSet(const void *parent, uint64_t revision, HrIndexMap **maps,
                uint32_t map_count)
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

/* Chooses the index maps at the start and in reply to the pull. */
static void
choose_maps(World *world, HrRng *rng)
{
    HrIndexMap *old, *pinned, *newer, *list[WORLD_MAX_MAPS] = {NULL};
    uint32_t limit = HrRng_Chance(rng, 0.05) ? WORLD_MAX_SHARDS : 12;

    old = World_CreateMap(world, 4, 1 + (uint32_t)HrRng_Below(rng, limit));
    pinned = World_CreateMap(world, 5, 1 + (uint32_t)HrRng_Below(rng, limit));
    newer = World_CreateMap(world, 6, 1 + (uint32_t)HrRng_Below(rng, limit));
    list[0] = pinned;
    list[1] = old;
    world->maps = World_CreateSet(world, 1, list, 1 + HrRng_Chance(rng, 0.5));
    switch (HrRng_Below(rng, 5)) {
    case 0:
        break;
    case 1:
        world->reply = world->maps;
        break;
    case 2:
        world->reply = World_CreateSet(world, 2, &old, 1);
        break;
    default:
        list[0] = newer;
        list[1] = pinned;
        world->reply =
            World_CreateSet(world, 2, list, 1 + HrRng_Chance(rng, 0.5));
        break;
    }
}

/* Chooses the route and what the caller wants. */
static void
choose_route(World *world, HrRng *rng)
{
    HrRoute *route = &world->route;

    route->name = "route";
    route->pool = "pool";
    route->priority = (uint32_t)HrRng_Below(rng, 8);
    route->finish = (HrFinish)HrRng_Below(rng, 3);
    route->enough_percent = (uint32_t)HrRng_Below(rng, 101);
    route->idempotent = HrRng_Chance(rng, 0.8);
    world->want = (HrWant)HrRng_Below(rng, 2);
    world->key =
        HrRng_Chance(rng, 0.9)
            ? talloc_asprintf(world, "key%u", (uint32_t)HrRng_Below(rng, 1000))
            : NULL;
}

/* Creates a random world as a talloc child of parent. */
World *
World_Create(const void *parent, uint64_t seed)
{
    static const double fault_rates[] = {0, 0.05, 0.3, 0.8};
    World *world = talloc_zero(parent, World);
    HrRng rng = HrRng_FromSeed(seed);

    world->seed = seed;
    world->fault_rate = fault_rates[HrRng_Below(&rng, 4)];
    world->lost_rate = HrRng_Chance(&rng, 0.3) ? 0.3 * HrRng_Unit(&rng) : 0;
    world->start_ns = HR_NS_PER_S;
    world->deadline_ns =
        world->start_ns +
        (int64_t)HrRng_Below(&rng, (uint64_t)(2 * MAX_DELAY_NS));
    world->cancel_ns = HR_TIME_NEVER;
    if (HrRng_Chance(&rng, 0.1)) {
        world->cancel_ns = world->start_ns + random_delay(&rng);
    }
    if (HrRng_Chance(&rng, 0.1)) {
        world->pause_from_ns = world->start_ns + random_delay(&rng);
        world->pause_to_ns = world->pause_from_ns + random_delay(&rng);
    }
    world->pull_delay_ns = random_delay(&rng) / 2 + 1;
    choose_maps(world, &rng);
    choose_route(world, &rng);
    world->config = HrGatherConfig_Default();
    world->config.candidate_count = WORLD_CANDIDATES;
    return world;
}

/* Adds an event that is due after a delay. */
static WorldEvent *
add_event(WorldDriver *driver, HrGatherEventKind kind, int64_t raw_ns)
{
    WorldEvent *event;

    if (driver->event_count == driver->event_capacity) {
        driver->event_capacity = 2 * driver->event_capacity + FIRST_EVENTS;
        driver->events = talloc_realloc(driver, driver->events, WorldEvent,
                                        driver->event_capacity);
    }
    event = &driver->events[driver->event_count++];
    memset(event, 0, sizeof(*event));
    event->kind = kind;
    event->raw_ns = raw_ns;
    event->at_ns = World_Deliver(driver->world, raw_ns);
    return event;
}

/* Adds a valid answer to a request. */
static WorldEvent *
add_answer(WorldDriver *driver, const HrGatherSend *send, int64_t raw_ns)
{
    const HrSubRequest *request = &send->request;
    WorldEvent *event = add_event(driver, HR_GATHER_SUB_ANSWER, raw_ns);

    event->answer.query = request->query;
    event->answer.sub_id = request->sub_id;
    event->answer.version = request->version;
    event->answer.server = "server";
    snprintf(event->shard, sizeof(event->shard), "%s", request->shard);
    World_Payload(event->payload, sizeof(event->payload), request->version,
                  request->shard, send->rank);
    event->answer.payload.length_bytes = strlen(event->payload);
    return event;
}

/* Changes a valid answer to the failure of its kind. */
static void
spoil_answer(WorldEvent *event, WorldKind kind)
{
    HrSubAnswer *answer = &event->answer;

    answer->reason = World_Reason(kind);
    switch (kind) {
    case WORLD_DECLINED_NEXT:
    case WORLD_DECLINED_FINAL:
        answer->outcome = HR_OUTCOME_DECLINED;
        break;
    case WORLD_UNKNOWN:
        answer->outcome = HR_OUTCOME_UNKNOWN;
        break;
    case WORLD_NO_VERSION:
        answer->outcome = HR_OUTCOME_NO_VERSION;
        break;
    case WORLD_WRONG_SHARD:
        event->shard[0] = 'x';
        break;
    case WORLD_WRONG_VERSION:
        answer->version += 1;
        break;
    case WORLD_TRUNCATED:
        answer->payload.length_bytes = 0;
        break;
    case WORLD_WRONG_QUERY:
        answer->query.counter += 1;
        break;
    default:
        break;
    }
}

/* Adds answers that must change nothing: duplicates with another payload,
 * and answers to attempts that were never made. */
static void
add_noise(WorldDriver *driver, const HrGatherSend *send, int64_t raw_ns,
          WorldKind kind)
{
    WorldEvent *event;

    if (HrRng_Chance(&driver->rng, 0.2)) {
        event = add_answer(driver, send, raw_ns + random_delay(&driver->rng));
        spoil_answer(event, kind);
        event->payload[0] = '[';
    }
    if (HrRng_Chance(&driver->rng, 0.1)) {
        event =
            add_answer(driver, send, raw_ns + random_delay(&driver->rng) / 8);
        event->answer.sub_id |= HrRng_Chance(&driver->rng, 0.5)
                                    ? STRAY_EPOCH_SUB_ID
                                    : STRAY_RANK_SUB_ID;
        event->payload[0] = '(';
    }
}

/* Adds what the attempt of a request does. */
static void
add_reply(WorldDriver *driver, const HrGatherSend *send, int64_t now_ns)
{
    uint32_t index = (uint32_t)strtoul(send->request.shard + 1, NULL, 10);
    WorldAttempt attempt =
        World_Attempt(driver->world, send->request.version, index, send->rank);
    int64_t raw_ns = now_ns + attempt.delay_ns;
    WorldEvent *event;

    switch (attempt.kind) {
    case WORLD_SILENT:
        break;
    case WORLD_NOT_HANDED:
    case WORLD_HANDED:
        event = add_event(driver, HR_GATHER_PEER_FAILURE, raw_ns);
        event->failure.sub_id = send->request.sub_id;
        event->failure.handed_over = attempt.kind == WORLD_HANDED;
        event->failure.reason = HR_REASON_PEER_UNREACHABLE;
        break;
    default:
        event = add_answer(driver, send, raw_ns);
        spoil_answer(event, attempt.kind);
        event->is_reply = attempt.kind != WORLD_WRONG_QUERY;
        add_noise(driver, send, raw_ns, attempt.kind);
        break;
    }
    if (attempt.late_ns != 0) {
        event = add_answer(driver, send, now_ns + attempt.late_ns);
        event->is_reply = true;
    }
    if (attempt.kind != WORLD_DECLINED_NEXT &&
        attempt.kind != WORLD_DECLINED_FINAL &&
        attempt.kind != WORLD_NO_VERSION && attempt.kind != WORLD_NOT_HANDED) {
        driver->run.may_have_run = true;
    }
}

/* Returns the record of a request, or NULL. */
static WorldSend *
find_send(WorldDriver *driver, uint32_t sub_id)
{
    uint32_t i;

    for (i = 0; i < driver->run.sends; i++) {
        if (driver->sends[i].sub_id == sub_id) {
            return &driver->sends[i];
        }
    }
    return NULL;
}

/* Marks a request as replied to or cancelled. */
static void
close_send(WorldDriver *driver, uint32_t sub_id)
{
    WorldSend *send = find_send(driver, sub_id);

    if (send != NULL) {
        send->closed = true;
    }
}

/* Records a request. */
static void
record_send(WorldDriver *driver, const HrGatherSend *send, int64_t now_ns)
{
    uint32_t sub_id = send->request.sub_id;

    if (find_send(driver, sub_id) != NULL) {
        driver->run.sent_twice = true;
    }
    if (driver->run.sends == MAX_SENDS) {
        abort();
    }
    driver->sends[driver->run.sends++].sub_id = sub_id;
    add_reply(driver, send, now_ns);
}

/* Records the finish, and whether each open request was cancelled. */
static void
record_finish(WorldDriver *driver, const HrGatherAnswer *answer)
{
    uint32_t i;

    driver->run.answer = answer;
    for (i = 0; i < driver->run.sends; i++) {
        if (!driver->sends[i].closed) {
            driver->run.lost_cancel = true;
        }
    }
}

/* Carries out the actions of the gather. */
static void
take_actions(WorldDriver *driver, int64_t now_ns)
{
    HrGatherAction action;

    while (HrGather_Next(driver->run.gather, &action)) {
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
            add_event(driver, HR_GATHER_MAPS,
                      now_ns + driver->world->pull_delay_ns);
            break;
        case HR_GATHER_FINISH:
            record_finish(driver, action.u.answer);
            break;
        }
    }
}

/* Removes the earliest event. */
static WorldEvent
take_event(WorldDriver *driver)
{
    WorldEvent *first = &driver->events[0], taken;
    uint32_t i;

    for (i = 1; i < driver->event_count; i++) {
        WorldEvent *event = &driver->events[i];

        if (event->at_ns < first->at_ns ||
            (event->at_ns == first->at_ns && event->raw_ns < first->raw_ns)) {
            first = event;
        }
    }
    taken = *first;
    *first = driver->events[--driver->event_count];
    return taken;
}

/* Hands an event to the gather. */
static void
deliver_event(WorldDriver *driver, WorldEvent *event)
{
    HrGatherEvent input = {.kind = event->kind, .now_ns = event->at_ns};

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
    case HR_GATHER_MAPS:
        input.u.maps = driver->world->reply;
        break;
    default:
        break;
    }
    HrGather_Handle(driver->run.gather, &input);
    take_actions(driver, event->at_ns);
}

/* Starts the query. */
static void
start_query(WorldDriver *driver)
{
    const World *world = driver->world;
    HrGatherEvent event = {
        .kind = HR_GATHER_START,
        .now_ns = world->start_ns,
        .u.start =
            {
                .route = &world->route,
                .maps = world->maps,
                .key = world->key,
                .payload = {(const uint8_t *)"{}", 2},
                .caller = "caller",
                .want = world->want,
                .deadline_ns = world->deadline_ns,
            },
    };

    HrGather_Handle(driver->run.gather, &event);
    take_actions(driver, world->start_ns);
}

/* Runs the gather to the end of all events. */
WorldRun
World_Run(const void *parent, const World *world)
{
    const HrQueryId query = {1, 2, WORLD_COUNTER};
    WorldDriver *driver = talloc_zero(parent, WorldDriver);
    int64_t timer_ns;
    WorldRun run;

    driver->world = world;
    driver->rng = HrRng_FromSeed(~world->seed);
    driver->run.gather = HrGather_Create(parent, &world->config, &query);
    start_query(driver);
    timer_ns = HrGather_NextTimer(driver->run.gather);
    if (timer_ns != HR_TIME_NEVER) {
        add_event(driver, HR_GATHER_TIMER, timer_ns);
    }
    if (world->cancel_ns != HR_TIME_NEVER) {
        add_event(driver, HR_GATHER_CANCEL, world->cancel_ns);
    }
    while (driver->event_count > 0) {
        WorldEvent event = take_event(driver);

        deliver_event(driver, &event);
    }
    run = driver->run;
    talloc_free(driver);
    return run;
}
