#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-clock.h"
#include "base-rng.h"
#include "coord-admit.h"

#define SEED UINT64_C(990001)
#define MS HR_NS_PER_MS
#define SCHEDULES 300
#define SOAK_FACTOR 20
#define MAX_IDS 4096

/* What became of one arrival. */
typedef struct Fate {
    uint32_t actions;
    bool is_started;
    bool is_finished;
    bool is_withdrawn;
    HrReason reason;
    int64_t started_ns;
    HrAdmitArrive arrive;
} Fate;

static Fate fates[MAX_IDS];
static HrAdmit *admit;
static int64_t now_ns;

/* Notes the pending actions. */
static void
drain(void)
{
    HrAdmitAction action;

    while (HrAdmit_Next(admit, &action)) {
        Fate *fate = &fates[action.id];

        fate->actions++;
        fate->is_started = action.kind == HR_ADMIT_START;
        fate->reason = action.reason;
        fate->started_ns = now_ns;
    }
}

/* Handles an event and notes its actions. */
static int
handle(HrAdmitEvent *event)
{
    int rc;

    event->now_ns = now_ns;
    rc = HrAdmit_Handle(admit, event);
    drain();
    return rc;
}

/* Starts over with a configuration. */
static void
start(uint32_t places, uint32_t queue_limit, uint32_t share)
{
    HrAdmitConfig config = {.places = places,
                            .queue_limit = queue_limit,
                            .caller_share_percent = share,
                            .expected_service_ns = MS};

    memset(fates, 0, sizeof(fates));
    now_ns = HR_NS_PER_S;
    admit = HrAdmit_Create(NULL, &config);
    assert_non_null(admit);
}

/* Frees the queue. */
static int
stop(void **state)
{
    (void)state;
    talloc_free(admit);
    admit = NULL;
    return 0;
}

/* Hands over an arrival with an amount of time left. */
static int
arrive(uint64_t id, uint32_t priority, const char *caller, int64_t left_ns)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_ARRIVE};

    event.u.arrive.id = id;
    event.u.arrive.priority = priority;
    event.u.arrive.caller = caller;
    event.u.arrive.deadline_ns = now_ns + left_ns;
    fates[id].arrive = event.u.arrive;
    return handle(&event);
}

/* Ends a started entry. */
static int
finish(uint64_t id, int64_t service_ns)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_FINISH};

    event.u.finish.id = id;
    event.u.finish.service_ns = service_ns;
    fates[id].is_finished = true;
    return handle(&event);
}

/* Withdraws an entry. */
static int
withdraw(uint64_t id)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_WITHDRAW};

    event.u.withdraw_id = id;
    fates[id].is_withdrawn = true;
    return handle(&event);
}

/* Finishes entries one by one, in the order of their start, until all of
 * count entries have ended; writes the order. */
static uint32_t
serve_all(uint64_t count, uint64_t *order)
{
    uint32_t served = 0;
    uint64_t id;
    bool any = true;

    while (any) {
        any = false;
        for (id = 1; id <= count; id++) {
            if (fates[id].is_started && !fates[id].is_finished) {
                order[served++] = id;
                finish(id, MS);
                any = true;
                break;
            }
        }
    }
    return served;
}

/* Guards against a lower class that is served before a higher one. */
static void
test_higher_class_is_served_first(void **state)
{
    uint64_t order[16];
    uint32_t i;

    (void)state;
    start(1, 100, 0);
    for (i = 1; i <= 9; i++) {
        arrive(i, i == 1 ? 0 : 8 - (i - 1), "c", HR_NS_PER_S);
    }
    assert_int_equal(serve_all(9, order), 9);
    for (i = 1; i < 9; i++) {
        assert_int_equal(order[i], 10 - i);
    }
}

/* Guards against starvation of the lowest class beyond the stated bound. */
static void
test_lowest_class_is_served_within_the_bound(void **state)
{
    uint32_t starts = 0, since = 0, lowest = 0;
    uint64_t id = 1, running = 1, next;

    (void)state;
    start(1, 4000, 0);
    arrive(id++, 0, "c", HR_NS_PER_S);
    while (id < 200) {
        arrive(id, (uint32_t)(id % HR_ADMIT_CLASSES), "c", 3600 * HR_NS_PER_S);
        id++;
    }
    while (starts < 1000) {
        uint32_t i;

        /* The higher classes never run dry. */
        arrive(id, (uint32_t)(starts % 7), "c", 3600 * HR_NS_PER_S);
        id++;
        finish(running, MS);
        for (next = 1, i = 0; next < id; next++) {
            if (fates[next].is_started && !fates[next].is_finished) {
                running = next;
                i++;
            }
        }
        assert_int_equal(i, 1);
        starts++;
        since++;
        if (fates[running].arrive.priority == 7) {
            assert_true(since <= HR_ADMIT_STARVATION_STARTS);
            since = 0;
            lowest++;
        }
    }
    assert_true(lowest >= 1000 / HR_ADMIT_STARVATION_STARTS);
}

/* Guards against a noisy caller that delays another one in its class. */
static void
test_callers_take_turns(void **state)
{
    uint64_t order[64], id;
    uint32_t i;

    (void)state;
    start(1, 100, 0);
    for (id = 1; id <= 20; id++) {
        arrive(id, 3, "noisy", HR_NS_PER_S);
    }
    arrive(21, 3, "quiet", HR_NS_PER_S);
    arrive(22, 3, "quiet", HR_NS_PER_S);
    serve_all(22, order);
    for (i = 0; order[i] != 22; i++) {
        continue;
    }
    assert_true(i <= 5);
}

/* Guards against one caller that fills the queue. */
static void
test_caller_share_is_bounded(void **state)
{
    uint64_t id;

    (void)state;
    start(1, 10, 30);
    for (id = 1; id <= 8; id++) {
        arrive(id, 3, "noisy", HR_NS_PER_S);
    }
    for (id = 2; id <= 4; id++) {
        assert_int_equal(fates[id].actions, 0);
    }
    for (id = 5; id <= 8; id++) {
        assert_int_equal(fates[id].reason, HR_REASON_OVERLOADED);
    }
    arrive(9, 3, "quiet", HR_NS_PER_S);
    assert_int_equal(fates[9].actions, 0);
}

/* Guards against a caller whose requests of a low class take the share of its
 * urgent ones; callers without a name are one caller. */
static void
test_caller_share_counts_no_lower_class(void **state)
{
    uint64_t id;

    (void)state;
    start(1, 10, 30);
    for (id = 1; id <= 8; id++) {
        arrive(id, 7, NULL, HR_NS_PER_S);
    }
    assert_int_equal(fates[8].reason, HR_REASON_OVERLOADED);
    arrive(9, 0, NULL, HR_NS_PER_S);
    assert_int_equal(fates[9].actions, 0);
}

/* Guards against a queue without bound, and against a full queue of low
 * classes that keeps a higher one out. */
static void
test_full_queue_gives_way_to_higher_class(void **state)
{
    uint64_t id;

    (void)state;
    start(1, 4, 0);
    for (id = 1; id <= 6; id++) {
        arrive(id, 5, "c", HR_NS_PER_S);
    }
    assert_int_equal(fates[6].reason, HR_REASON_OVERLOADED);
    arrive(7, 1, "c", HR_NS_PER_S);
    assert_int_equal(fates[7].actions, 0);
    assert_int_equal(fates[5].reason, HR_REASON_OVERLOADED);
}

/* Guards against waiting for what cannot finish in time. */
static void
test_hopeless_arrival_is_refused_at_once(void **state)
{
    uint64_t id;

    (void)state;
    start(2, 1000, 0);
    for (id = 1; id <= 2; id++) {
        arrive(id, 0, "c", HR_NS_PER_S);
    }
    /* Two places and 1 ms each: the queue moves by 2 entries a ms. */
    for (id = 3; id <= 40; id++) {
        arrive(id, 0, "c", 10 * MS);
    }
    assert_int_equal(fates[10].actions, 0);
    assert_int_equal(fates[30].reason, HR_REASON_OVERLOADED);
    assert_int_equal(fates[40].reason, HR_REASON_OVERLOADED);
    arrive(41, 0, "c", 0);
    assert_int_equal(fates[41].reason, HR_REASON_DEADLINE);
    now_ns += 20 * MS;
    finish(1, MS);
    assert_int_equal(fates[10].reason, HR_REASON_DEADLINE);
}

/* Guards against errors on ids that are unknown or used twice. */
static void
test_bad_ids_are_errors(void **state)
{
    (void)state;
    start(1, 10, 0);
    assert_int_equal(finish(5, MS), HR_ERR_NOT_FOUND);
    assert_int_equal(withdraw(5), HR_ERR_NOT_FOUND);
    arrive(1, 0, "c", HR_NS_PER_S);
    assert_int_equal(arrive(1, 0, "c", HR_NS_PER_S), HR_ERR_DUPLICATE);
    arrive(2, 99, NULL, HR_NS_PER_S);
    assert_int_equal(finish(2, MS), HR_ERR_NOT_FOUND); /* still waits */
}

/* Naive model: what may run and wait, without any order. */
typedef struct Model {
    uint32_t places;
    uint32_t queue_limit;
} Model;

/* Counts the entries that run or wait. */
static void
count_fates(uint64_t count, uint32_t *running, uint32_t *waiting)
{
    uint64_t id;

    *running = 0;
    *waiting = 0;
    for (id = 1; id < count; id++) {
        if (fates[id].is_withdrawn || fates[id].is_finished) {
            continue;
        }
        if (fates[id].is_started) {
            (*running)++;
        }
        else if (fates[id].actions == 0) {
            (*waiting)++;
        }
    }
}

/* Checks the queue against the model: nothing waits while a place is free,
 * limits hold, and no start comes when its deadline has passed. */
static void
check_model(const Model *model, uint64_t count)
{
    HrAdmitStats stats;
    uint32_t running, waiting;
    uint64_t id;

    count_fates(count, &running, &waiting);
    HrAdmit_GetStats(admit, &stats);
    assert_int_equal(stats.running, running);
    assert_int_equal(stats.waiting, waiting);
    assert_true(waiting <= model->queue_limit);
    assert_true(waiting == 0 || running >= model->places);
    for (id = 1; id < count; id++) {
        assert_true(fates[id].actions <= 1);
        if (fates[id].is_started) {
            assert_true(fates[id].started_ns <= fates[id].arrive.deadline_ns);
        }
    }
}

/* Picks a random id below count with a property, or 0. */
static uint64_t
pick_id(HrRng *rng, uint64_t count, bool started)
{
    uint64_t first = HrRng_Below(rng, count), i;

    for (i = 0; i < count; i++) {
        uint64_t id = (first + i) % count;

        if (id != 0 && !fates[id].is_finished && !fates[id].is_withdrawn &&
            (started ? fates[id].is_started : fates[id].actions == 0)) {
            return id;
        }
    }
    return 0;
}

/* Applies one random event. */
static void
random_event(HrRng *rng, Model *model, uint64_t *count)
{
    static const char *const callers[] = {"a", "b", "c", NULL};
    HrAdmitEvent event = {.kind = HR_ADMIT_TIMER};
    uint64_t id;

    switch (HrRng_Below(rng, 8)) {
    case 0:
    case 1:
    case 2:
    case 3:
        arrive((*count)++, (uint32_t)HrRng_Below(rng, 9),
               callers[HrRng_Below(rng, 4)],
               (int64_t)HrRng_Below(rng, 200) * MS);
        break;
    case 4:
        id = pick_id(rng, *count, true);
        if (id != 0) {
            finish(id, (int64_t)HrRng_Below(rng, 10) * MS - MS);
        }
        break;
    case 5:
        id = pick_id(rng, *count, HrRng_Chance(rng, 0.3));
        if (id != 0) {
            withdraw(id);
        }
        break;
    case 6:
        if (HrRng_Chance(rng, 0.1)) {
            model->places = (uint32_t)HrRng_Below(rng, 6);
            event.kind = HR_ADMIT_PLACES;
            event.u.places.places = model->places;
            event.u.places.queue_limit = model->queue_limit;
        }
        handle(&event);
        break;
    default:
        now_ns += (int64_t)HrRng_Below(rng, 5) * MS;
        handle(&event);
        break;
    }
}

/* Guards against lost or second decisions, exceeded limits, and idle places
 * while entries wait, over random events compared with a naive model. */
static void
test_random_events_match_the_model(void **state)
{
    uint32_t schedules = SCHEDULES, i, j;

    (void)state;
    if (getenv("HR_SOAK") != NULL) {
        schedules *= SOAK_FACTOR;
    }
    for (i = 0; i < schedules; i++) {
        HrRng rng = HrRng_FromSeed(SEED + i);
        Model model;
        uint64_t count = 1;

        print_message("seed %llu\n", (unsigned long long)(SEED + i));
        model.places = 1 + (uint32_t)HrRng_Below(&rng, 5);
        model.queue_limit = 1 + (uint32_t)HrRng_Below(&rng, 30);
        start(model.places, model.queue_limit,
              (uint32_t)HrRng_Below(&rng, 101));
        for (j = 0; j < 600; j++) {
            random_event(&rng, &model, &count);
            check_model(&model, count);
        }
        stop(NULL);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_higher_class_is_served_first, stop),
        cmocka_unit_test_teardown(test_lowest_class_is_served_within_the_bound,
                                  stop),
        cmocka_unit_test_teardown(test_callers_take_turns, stop),
        cmocka_unit_test_teardown(test_caller_share_is_bounded, stop),
        cmocka_unit_test_teardown(test_caller_share_counts_no_lower_class,
                                  stop),
        cmocka_unit_test_teardown(test_full_queue_gives_way_to_higher_class,
                                  stop),
        cmocka_unit_test_teardown(test_hopeless_arrival_is_refused_at_once,
                                  stop),
        cmocka_unit_test_teardown(test_bad_ids_are_errors, stop),
        cmocka_unit_test_teardown(test_random_events_match_the_model, stop),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
