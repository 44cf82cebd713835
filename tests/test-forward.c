#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "common-parent.h"
#include "coord-forward.h"

#define START_NS (50 * HR_NS_PER_S)
#define MS HR_NS_PER_MS
#define SERVICES_MAX 6
#define SERVERS_MAX 4
#define CI_SCHEDULES 1000
#define SOAK_SCHEDULES 100000

/* What the checker knows of one attempt, independent of the module. */
typedef struct Sent {
    uint32_t unit;
    uint32_t attempt;
    HrReplica *replica;
    int64_t ends_ns; /* when its reply arrives */
    HrReply reply;
    bool open; /* neither replied nor abandoned */
} Sent;

/* One request among servers whose behaviour a seed decides. */
typedef struct World {
    HrRng rng;
    HrServerSet *servers;
    HrForwardService services[SERVICES_MAX];
    char names[SERVICES_MAX][16];
    HrForwardTarget targets[SERVICES_MAX];
    HrForwardRoute route;
    HrForwardTable table;
    HrForward *forward;
    HrForwardConfig config;
    Sent sent[256];
    uint32_t sent_count;
    uint32_t finished;
    HrForwardEnd end;
    HrForwardReason reason;
    uint32_t failure_percent;
    int64_t spent_ns;
    int64_t now_ns;
} World;

/* The transport of a test's server is nothing. */
static void
ignore_drop(void *arg, HrReplica *replica)
{
    (void)arg;
    (void)replica;
}

/* Adds the servers of all services. */
static void
list_servers(World *world, uint32_t per_service)
{
    uint32_t i, k;

    HrServerSet_BeginList(world->servers);
    for (i = 0; i < world->table.service_count; i++) {
        for (k = 0; k < per_service; k++) {
            char id[24], address[32];
            const HrServerEntry entry = {.id = id,
                                         .service = world->names[i],
                                         .address = address,
                                         .data_centre = "a",
                                         .slots = 2};

            snprintf(id, sizeof(id), "s%u-%u", i, k);
            snprintf(address, sizeof(address), "10.0.%u.%u:1", i, k);
            HrServerSet_Offer(world->servers, &entry, world->now_ns);
        }
    }
    HrServerSet_EndList(world->servers, HR_TIME_NEVER, world->now_ns);
}

/* Prepares a route to some services with the same number of servers. */
static void
init_world(World *world, const void *parent, HrForwardKind kind,
           uint32_t service_count, uint32_t per_service, uint64_t seed)
{
    const HrServerSetConfig config = {
        .data_centre = "a", .repeat = {10 * HR_NS_PER_S, 0.2, 200, 1, 0}};
    uint32_t i;

    memset(world, 0, sizeof(*world));
    world->rng = HrRng_FromSeed(seed);
    world->now_ns = START_NS;
    world->servers = HrServerSet_Create(parent, &config, ignore_drop, NULL);
    for (i = 0; i < service_count; i++) {
        snprintf(world->names[i], sizeof(world->names[i]), "s%u", i);
        world->services[i].name = world->names[i];
        world->targets[i] = (HrForwardTarget){i, 1};
    }
    world->route = (HrForwardRoute){.name = "r",
                                    .host = "h",
                                    .prefix = "/",
                                    .idempotent = true,
                                    .timeout_ms = 1000,
                                    .target_ms = 100,
                                    .max_attempts = 2,
                                    .kind = kind,
                                    .targets = world->targets,
                                    .target_count = service_count,
                                    .result_limit = 5,
                                    .min_shard_ratio = 0.75};
    world->table = (HrForwardTable){.version = 1,
                                    .routes = &world->route,
                                    .route_count = 1,
                                    .services = world->services,
                                    .service_count = service_count};
    list_servers(world, per_service);
}

/* Returns true if a reply says that the request did not run. */
static bool
is_not_run(HrReply reply)
{
    return reply == HR_REPLY_DECLINED || reply == HR_REPLY_MISDIRECTED ||
           reply == HR_REPLY_NOT_SENT;
}

/* Decides how and when a server replies. */
static void
draw_reply(World *world, Sent *sent)
{
    static const HrReply failures[] = {HR_REPLY_DECLINED, HR_REPLY_MISDIRECTED,
                                       HR_REPLY_NOT_SENT, HR_REPLY_ERROR,
                                       HR_REPLY_FINAL,    HR_REPLY_LOST,
                                       HR_REPLY_MALFORMED};
    bool failed = HrRng_Below(&world->rng, 100) < world->failure_percent;
    int64_t delay_ns = HrRng_ExponentialNs(&world->rng, 30 * MS);

    if (HrRng_Chance(&world->rng, 0.05)) {
        delay_ns += 3 * HR_NS_PER_S;
    }
    sent->reply = failed ? failures[HrRng_Below(&world->rng, 7)] : HR_REPLY_OK;
    sent->ends_ns = world->now_ns + delay_ns;
}

/* Checks that an attempt is permitted, and notes it. */
static void
check_send(World *world, const HrForwardAction *action)
{
    uint32_t reached = 0, i;
    Sent *sent;

    assert_int_equal(world->finished, 0);
    for (i = 0; i < world->sent_count; i++) {
        const Sent *earlier = &world->sent[i];

        if (earlier->unit != action->unit) {
            continue;
        }
        assert_ptr_not_equal(earlier->replica, action->u.send.replica);
        reached += earlier->open || earlier->reply != HR_REPLY_NOT_SENT;
        if (!world->route.idempotent) {
            assert_false(earlier->open);
            assert_true(is_not_run(earlier->reply));
        }
    }
    assert_true(reached < world->route.max_attempts);
    sent = &world->sent[world->sent_count++];
    sent->unit = action->unit;
    sent->attempt = action->attempt;
    sent->replica = action->u.send.replica;
    sent->open = true;
    draw_reply(world, sent);
}

/* Returns the note of an attempt. */
static Sent *
find_sent(World *world, uint32_t unit, uint32_t attempt)
{
    uint32_t i;

    for (i = 0; i < world->sent_count; i++) {
        if (world->sent[i].unit == unit && world->sent[i].attempt == attempt) {
            return &world->sent[i];
        }
    }
    fail_msg("no such attempt");
    return NULL;
}

/* Counts the services with a usable answer before the end. */
static uint32_t
count_answered(const World *world)
{
    bool answered[SERVICES_MAX] = {false};
    uint32_t count = 0, i;

    for (i = 0; i < world->sent_count; i++) {
        const Sent *sent = &world->sent[i];

        if (!sent->open && sent->reply == HR_REPLY_OK &&
            !answered[sent->unit]) {
            answered[sent->unit] = true;
            count++;
        }
    }
    return count;
}

/* Checks that the end is true, by the attempts alone. */
static void
check_finish(World *world, const HrForwardAction *action)
{
    uint32_t i;

    assert_int_equal(world->finished++, 0);
    world->end = action->u.finish.end;
    world->reason = action->u.finish.reason;
    for (i = 0; i < world->sent_count; i++) {
        assert_false(world->sent[i].open);
        if (world->end == HR_FORWARD_END_REFUSE) {
            assert_true(is_not_run(world->sent[i].reply));
        }
    }
    switch (world->end) {
    case HR_FORWARD_END_MERGE:
        assert_int_equal(world->route.kind, HR_FORWARD_SHARDS);
        assert_true(count_answered(world) >=
                    HrForwardRoute_NeededShards(&world->route));
        break;
    case HR_FORWARD_END_PASS:
        assert_int_not_equal(world->route.kind, HR_FORWARD_SHARDS);
        assert_true(find_sent(world, 0, action->attempt)->reply ==
                        HR_REPLY_OK ||
                    count_answered(world) == 0);
        break;
    case HR_FORWARD_END_REFUSE:
        assert_true(action->u.finish.retry_after_ns > 0);
        break;
    case HR_FORWARD_END_FAIL:
    case HR_FORWARD_END_TIMEOUT:
        assert_true(count_answered(world) <
                    HrForwardRoute_NeededShards(&world->route));
        break;
    case HR_FORWARD_END_LEFT:
        break;
    }
}

/* Takes the actions. */
static void
take_actions(World *world)
{
    HrForwardAction action;

    while (HrForward_Next(world->forward, &action)) {
        switch (action.kind) {
        case HR_FORWARD_ACTION_SEND:
            check_send(world, &action);
            break;
        case HR_FORWARD_ACTION_ABANDON: {
            Sent *sent = find_sent(world, action.unit, action.attempt);

            assert_true(sent->open);
            sent->open = false;
            /* What it did is not known. */
            sent->reply = HR_REPLY_ABANDONED;
            break;
        }
        case HR_FORWARD_ACTION_FINISH:
            check_finish(world, &action);
            break;
        }
    }
}

/* Starts the request. */
static void
start(World *world, const void *parent)
{
    world->config =
        (HrForwardConfig){.route = &world->route,
                          .table = &world->table,
                          .servers = world->servers,
                          .rng = &world->rng,
                          .received_ns = world->now_ns,
                          .deadline_ns = world->now_ns + 2 * HR_NS_PER_S,
                          .spent_ns = world->spent_ns};
    world->forward = HrForward_Create(parent, &world->config, world->now_ns);
    assert_non_null(world->forward);
    take_actions(world);
}

/* Delivers one reply. */
static void
reply(World *world, Sent *sent)
{
    const HrForwardEvent event = {
        .kind = HR_FORWARD_EVENT_REPLY,
        .now_ns = world->now_ns,
        .u.reply = {sent->unit, sent->attempt, sent->reply}};

    sent->open = false;
    HrForward_Handle(world->forward, &event);
    take_actions(world);
}

/* Delivers an event without data. */
static void
notify(World *world, HrForwardEventKind kind)
{
    const HrForwardEvent event = {.kind = kind, .now_ns = world->now_ns};

    HrForward_Handle(world->forward, &event);
    take_actions(world);
}

/* Lets the next thing happen: a reply or a timer. */
static void
step(World *world)
{
    int64_t next_ns = HrForward_NextTimer(world->forward);
    Sent *next = NULL;
    uint32_t i;

    for (i = 0; i < world->sent_count; i++) {
        if (world->sent[i].open && world->sent[i].ends_ns <= next_ns) {
            next = &world->sent[i];
            next_ns = next->ends_ns;
        }
    }
    if (next_ns > world->now_ns) {
        world->now_ns = next_ns;
    }
    if (next != NULL) {
        reply(world, next);
    }
    else {
        notify(world, HR_FORWARD_EVENT_TIMER);
    }
}

/* Plays one schedule from its seed. */
static void
play_schedule(const void *parent, uint64_t seed)
{
    void *scratch = talloc_new(parent);
    HrRng rng = HrRng_FromSeed(seed);
    HrForwardKind kind = (HrForwardKind)HrRng_Below(&rng, 3);
    uint32_t services = 1 + (uint32_t)HrRng_Below(&rng, SERVICES_MAX);
    World world;
    uint32_t steps = 0;
    int64_t leaves_ns;

    init_world(&world, scratch, kind, kind == HR_FORWARD_ONE ? 1 : services,
               (uint32_t)HrRng_Below(&rng, SERVERS_MAX + 1), seed);
    world.route.idempotent =
        kind == HR_FORWARD_SHARDS || HrRng_Chance(&rng, 0.5);
    world.route.max_attempts = 1 + (uint32_t)HrRng_Below(&rng, 3);
    world.route.min_shard_ratio = HrRng_Unit(&rng);
    world.failure_percent = (uint32_t)HrRng_Below(&rng, 4) * 25;
    leaves_ns = HrRng_Chance(&rng, 0.2)
                    ? world.now_ns + HrRng_ExponentialNs(&rng, 60 * MS)
                    : HR_TIME_NEVER;
    start(&world, scratch);
    while (world.finished == 0) {
        if (world.now_ns >= leaves_ns) {
            notify(&world, HR_FORWARD_EVENT_CALLER_LEFT);
            break;
        }
        step(&world);
        assert_true(++steps < 3000);
    }
    assert_int_equal(world.finished, 1);
    assert_true(world.now_ns <= world.config.received_ns +
                                    (int64_t)world.route.timeout_ms * MS);
    talloc_free(scratch);
}

/* Guards against any schedule of replies, silence and leaving callers that
 * repeats what may run once, exceeds the permitted attempts, refuses what may
 * have run, or never ends. HR_SEED replays one schedule. */
static void
test_random_schedules(void **state)
{
    const char *seed = getenv("HR_SEED");
    uint64_t count = getenv("HR_SOAK") != NULL ? SOAK_SCHEDULES : CI_SCHEDULES;
    uint64_t i;

    if (seed != NULL) {
        play_schedule(*state, strtoull(seed, NULL, 10));
        return;
    }
    print_message("schedules 1 to %llu; replay one with HR_SEED\n",
                  (unsigned long long)count);
    for (i = 1; i <= count; i++) {
        play_schedule(*state, i);
    }
}

/* Sets the usual time of the route by earlier requests. */
static void
teach_usual(World *world, int64_t usual_ns)
{
    HrRouteStats *stats = HrServerSet_Route(world->servers, "r");
    uint32_t i;

    for (i = 0; i < 64; i++) {
        HrLatency_Record(&stats->latency, usual_ns, world->now_ns);
    }
}

/* Makes every attempt but the given ones reply in the usual time. */
static void
set_replies(World *world, int64_t usual_ns, uint32_t silent_unit)
{
    uint32_t i;

    for (i = 0; i < world->sent_count; i++) {
        Sent *sent = &world->sent[i];

        if (sent->open) {
            sent->reply = HR_REPLY_OK;
            sent->ends_ns = sent->unit == silent_unit && sent->attempt == 0
                                ? world->now_ns + 10 * HR_NS_PER_S
                                : START_NS + usual_ns;
        }
    }
}

/* Load pattern: one of many shards meets a paused server. Guards against an
 * answer that waits for the pause to end. */
static void
test_straggler_is_hedged_in_time(void **state)
{
    World world;

    init_world(&world, *state, HR_FORWARD_SHARDS, 6, 3, 1);
    teach_usual(&world, 10 * MS);
    start(&world, *state);
    assert_int_equal(world.sent_count, 6);
    set_replies(&world, 10 * MS, 2);
    while (world.sent_count == 6) {
        step(&world);
    }
    assert_int_equal(world.sent[6].unit, 2);
    assert_true(world.now_ns - START_NS < 30 * MS);
    world.sent[6].reply = HR_REPLY_OK;
    world.sent[6].ends_ns = world.now_ns + 10 * MS;
    while (world.finished == 0) {
        step(&world);
    }
    assert_int_equal(world.end, HR_FORWARD_END_MERGE);
    assert_int_equal(count_answered(&world), 6);
    assert_true(world.now_ns - START_NS < 40 * MS);
}

/* Guards against an answer that comes late for the last shard although the
 * required share is in at the target time. */
static void
test_enough_shards_at_the_target_time(void **state)
{
    World world;

    init_world(&world, *state, HR_FORWARD_SHARDS, 6, 1, 1);
    start(&world, *state);
    set_replies(&world, 10 * MS, 3);
    while (world.finished == 0) {
        step(&world);
    }
    assert_int_equal(world.end, HR_FORWARD_END_MERGE);
    assert_int_equal(world.reason, HR_FORWARD_REASON_ENOUGH);
    assert_int_equal(count_answered(&world), 5);
    assert_true(world.now_ns - START_NS < 100 * MS);
    assert_true(world.now_ns - START_NS >= 75 * MS);
}

/* Guards against an answer that leaves in time and arrives late, because the
 * caller's way or an earlier attempt has used up part of the target time. */
static void
test_spent_time_brings_the_answer_forward(void **state)
{
    World world;

    init_world(&world, *state, HR_FORWARD_SHARDS, 6, 1, 1);
    world.spent_ns = 40 * MS;
    start(&world, *state);
    set_replies(&world, 10 * MS, 3);
    while (world.finished == 0) {
        step(&world);
    }
    assert_int_equal(world.end, HR_FORWARD_END_MERGE);
    assert_true(world.now_ns - START_NS < 60 * MS);
    assert_true(world.now_ns - START_NS >= 45 * MS);
}

/* Guards against holding a request that can no longer succeed. */
static void
test_hopeless_request_ends_at_once(void **state)
{
    World world;

    init_world(&world, *state, HR_FORWARD_SHARDS, 4, 0, 1);
    start(&world, *state);
    assert_int_equal(world.finished, 1);
    assert_int_equal(world.end, HR_FORWARD_END_REFUSE);
    assert_int_equal(world.reason, HR_FORWARD_REASON_NO_SERVER);
}

/* Guards against hedges beyond the limit of repeats: with the slack spent and
 * few requests, no further one may go out. */
static void
test_hedges_stop_at_the_limit(void **state)
{
    World world;
    HrService *service;

    init_world(&world, *state, HR_FORWARD_ONE, 1, 3, 1);
    teach_usual(&world, 10 * MS);
    service = HrServerSet_Service(world.servers, "s0", true);
    while (HrRepeat_TakeForRetry(&service->repeat,
                                 HrServerSet_RepeatLimits(world.servers),
                                 world.now_ns)) {
    }
    start(&world, *state);
    set_replies(&world, 400 * MS, UINT32_MAX);
    while (world.finished == 0) {
        step(&world);
    }
    assert_int_equal(world.sent_count, 1);
    assert_int_equal(world.end, HR_FORWARD_END_PASS);
}

/* Makes every server but the first one of a service hold attempts of others.
 */
static void
load_servers(World *world, HrService *service, HrAttempt *held, uint32_t each)
{
    HrReplica *replica = TAILQ_FIRST(&service->replicas);
    uint32_t count = 0, i;

    while ((replica = TAILQ_NEXT(replica, entry)) != NULL) {
        for (i = 0; i < each; i++) {
            HrReplica_Begin(replica, &held[count++], 0, world->now_ns);
        }
    }
}

/* Load pattern: servers of many shards are overloaded. Guards against hedges
 * that are sent to servers which are full themselves: they add to the load and
 * use up the limit of repeats, and their answers come too late. A server that
 * is free again gets the hedge. */
static void
test_no_hedge_to_a_full_server(void **state)
{
    HrAttempt held[12];
    HrService *service;
    World world;
    uint32_t i;

    init_world(&world, *state, HR_FORWARD_ONE, 1, 3, 1);
    teach_usual(&world, 10 * MS);
    service = HrServerSet_Service(world.servers, "s0", true);
    load_servers(&world, service, held, 6);
    start(&world, *state);
    set_replies(&world, 400 * MS, 0);
    while (world.now_ns < START_NS + 60 * MS) {
        step(&world);
    }
    assert_int_equal(world.sent_count, 1);
    for (i = 0; i < 6; i++) {
        HrReplica_End(&held[i], HR_REPLY_OK, world.now_ns);
    }
    while (world.finished == 0 && world.sent_count == 1) {
        step(&world);
    }
    assert_int_equal(world.sent_count, 2);
    assert_ptr_equal(world.sent[1].replica,
                     TAILQ_NEXT(TAILQ_FIRST(&service->replicas), entry));
    assert_true(world.now_ns < START_NS + 80 * MS);
}

/* Guards against a split whose parts miss their weights in a short span, from
 * any start of the process. */
static void
test_split_meets_its_weights(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 20; seed++) {
        uint32_t hits = 0, i;
        World world;

        init_world(&world, *state, HR_FORWARD_SPLIT, 2, 1, seed);
        world.targets[0].weight = 7;
        world.targets[1].weight = 3;
        for (i = 0; i < 50; i++) {
            world.sent_count = 0;
            world.finished = 0;
            start(&world, *state);
            hits += strncmp(world.sent[0].replica->id, "s0", 2) == 0;
            notify(&world, HR_FORWARD_EVENT_CALLER_LEFT);
        }
        assert_in_range(hits, 33, 37);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_random_schedules),
        cmocka_unit_test(test_straggler_is_hedged_in_time),
        cmocka_unit_test(test_enough_shards_at_the_target_time),
        cmocka_unit_test(test_spent_time_brings_the_answer_forward),
        cmocka_unit_test(test_hopeless_request_ends_at_once),
        cmocka_unit_test(test_hedges_stop_at_the_limit),
        cmocka_unit_test(test_no_hedge_to_a_full_server),
        cmocka_unit_test(test_split_meets_its_weights),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
