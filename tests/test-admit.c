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

/* What happened to one arrival. */
typedef struct ArrivalResult {
    uint32_t actions; /* popped for it; more than one is an error */
    bool is_started;
    bool is_finished;
    bool is_withdrawn;
    HrReason reason;
    int64_t started_ns;
    HrAdmitArrive arrive;
} ArrivalResult;

static ArrivalResult results[MAX_IDS];
static HrAdmit *admit;
static int64_t now_ns;

/* Pops the pending actions, and records them by id. */
static void
collect_actions(void)
{
    HrAdmitAction action;

    while (HrAdmit_PopAction(admit, &action)) {
        ArrivalResult *result = &results[action.id];

        result->actions++;
        result->is_started = action.kind == HR_ADMIT_START;
        result->reason = action.reason;
        result->started_ns = now_ns;
    }
}

/* Handles an event at now_ns, and records its actions. */
static int
handle_event(HrAdmitEvent *event)
{
    int rc;

    event->now_ns = now_ns;
    rc = HrAdmit_HandleEvent(admit, event);
    collect_actions();
    return rc;
}

/* Creates the admission queue of a test; share is the caller share in
 * percent. */
static void
create_queue(uint32_t max_running, uint32_t queue_limit, uint32_t share)
{
    HrAdmitConfig config = {.max_running = max_running,
                            .queue_limit = queue_limit,
                            .caller_share_percent = share,
                            .expected_service_ns = MS};

    memset(results, 0, sizeof(results));
    now_ns = HR_NS_PER_S;
    admit = HrAdmit_Create(NULL, &config);
    assert_non_null(admit);
}

static int
free_queue(void **state)
{
    (void)state;
    talloc_free(admit);
    admit = NULL;
    return 0;
}

/* Handles an arrival whose deadline is in left_ns. */
static int
arrive(uint64_t id, uint32_t priority, const char *caller, int64_t left_ns)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_ARRIVE};

    event.u.arrive.id = id;
    event.u.arrive.priority = priority;
    event.u.arrive.caller = caller;
    event.u.arrive.deadline_ns = now_ns + left_ns;
    results[id].arrive = event.u.arrive;
    return handle_event(&event);
}

static int
finish(uint64_t id, int64_t service_ns)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_FINISH};

    event.u.finish.id = id;
    event.u.finish.service_ns = service_ns;
    results[id].is_finished = true;
    return handle_event(&event);
}

static int
withdraw(uint64_t id)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_WITHDRAW};

    event.u.withdraw_id = id;
    results[id].is_withdrawn = true;
    return handle_event(&event);
}

/* Finishes the running entry with the lowest id, again and again, until none
 * of the ids up to count is running. Writes the ids to order, and returns
 * their number. */
static uint32_t
finish_all_running(uint64_t count, uint64_t *order)
{
    uint32_t served = 0;
    uint64_t id;
    bool any = true;

    while (any) {
        any = false;
        for (id = 1; id <= count; id++) {
            if (results[id].is_started && !results[id].is_finished) {
                order[served++] = id;
                finish(id, MS);
                any = true;
                break;
            }
        }
    }
    return served;
}

/* Guards against serving a lower class before a higher one. The entries arrive
 * in ascending order of priority while another one runs. */
static void
test_higher_class_is_served_first(void **state)
{
    uint64_t order[16];
    uint32_t i;

    (void)state;
    create_queue(1, 100, 0);
    for (i = 1; i <= 9; i++) {
        arrive(i, i == 1 ? 0 : 8 - (i - 1), "c", HR_NS_PER_S);
    }
    assert_int_equal(finish_all_running(9, order), 9);
    for (i = 1; i < 9; i++) {
        assert_int_equal(order[i], 10 - i);
    }
}

/* Guards against starvation of the lowest class for more than
 * HR_ADMIT_STARVATION_STARTS starts, while entries of higher classes keep
 * arriving. */
static void
test_lowest_class_is_served_within_the_bound(void **state)
{
    uint32_t starts = 0, since = 0, lowest = 0;
    uint64_t id = 1, running = 1, next;

    (void)state;
    create_queue(1, 4000, 0);
    arrive(id++, 0, "c", HR_NS_PER_S);
    while (id < 200) {
        arrive(id, (uint32_t)(id % HR_ADMIT_CLASSES), "c", 3600 * HR_NS_PER_S);
        id++;
    }
    while (starts < 1000) {
        uint32_t i;

        /* The higher classes always have waiting entries. */
        arrive(id, (uint32_t)(starts % 7), "c", 3600 * HR_NS_PER_S);
        id++;
        finish(running, MS);
        for (next = 1, i = 0; next < id; next++) {
            if (results[next].is_started && !results[next].is_finished) {
                running = next;
                i++;
            }
        }
        assert_int_equal(i, 1);
        starts++;
        since++;
        if (results[running].arrive.priority == 7) {
            assert_true(since <= HR_ADMIT_STARVATION_STARTS);
            since = 0;
            lowest++;
        }
    }
    assert_true(lowest >= 1000 / HR_ADMIT_STARVATION_STARTS);
}

/* Guards against a caller with many entries that delays another caller in the
 * same class, which happens if a class is served in the order of arrival. */
static void
test_callers_take_turns(void **state)
{
    uint64_t order[64], id;
    uint32_t i;

    (void)state;
    create_queue(1, 100, 0);
    for (id = 1; id <= 20; id++) {
        arrive(id, 3, "noisy", HR_NS_PER_S);
    }
    arrive(21, 3, "quiet", HR_NS_PER_S);
    arrive(22, 3, "quiet", HR_NS_PER_S);
    finish_all_running(22, order);
    for (i = 0; order[i] != 22; i++) {
        continue;
    }
    assert_true(i <= 5);
}

/* Guards against one caller that fills the queue, so that others are
 * refused. */
static void
test_caller_share_is_bounded(void **state)
{
    uint64_t id;

    (void)state;
    create_queue(1, 10, 30);
    for (id = 1; id <= 8; id++) {
        arrive(id, 3, "noisy", HR_NS_PER_S);
    }
    for (id = 2; id <= 4; id++) {
        assert_int_equal(results[id].actions, 0);
    }
    for (id = 5; id <= 8; id++) {
        assert_int_equal(results[id].reason, HR_REASON_OVERLOADED);
    }
    arrive(9, 3, "quiet", HR_NS_PER_S);
    assert_int_equal(results[9].actions, 0);
}

/* Guards against a caller whose entries of a low class use up its share of the
 * queue, so that its urgent ones are refused. Entries without a caller name
 * share one limit. */
static void
test_caller_share_counts_no_lower_class(void **state)
{
    uint64_t id;

    (void)state;
    create_queue(1, 10, 30);
    for (id = 1; id <= 8; id++) {
        arrive(id, 7, NULL, HR_NS_PER_S);
    }
    assert_int_equal(results[8].reason, HR_REASON_OVERLOADED);
    arrive(9, 0, NULL, HR_NS_PER_S);
    assert_int_equal(results[9].actions, 0);
}

/* Guards against a queue that grows beyond its limit, and against refusing an
 * entry because the queue is full of lower classes. */
static void
test_full_queue_drops_a_lower_class(void **state)
{
    uint64_t id;

    (void)state;
    create_queue(1, 4, 0);
    for (id = 1; id <= 6; id++) {
        arrive(id, 5, "c", HR_NS_PER_S);
    }
    assert_int_equal(results[6].reason, HR_REASON_OVERLOADED);
    arrive(7, 1, "c", HR_NS_PER_S);
    assert_int_equal(results[7].actions, 0);
    assert_int_equal(results[5].reason, HR_REASON_OVERLOADED);
}

/* Guards against queueing entries that cannot finish in time: too many are
 * ahead of them. An entry whose deadline passes while it waits is refused
 * too. */
static void
test_arrival_that_cannot_finish_is_refused(void **state)
{
    uint64_t id;

    (void)state;
    create_queue(2, 1000, 0);
    for (id = 1; id <= 2; id++) {
        arrive(id, 0, "c", HR_NS_PER_S);
    }
    /* 2 entries run at once for 1 ms each, so 2 entries start each ms. */
    for (id = 3; id <= 40; id++) {
        arrive(id, 0, "c", 10 * MS);
    }
    assert_int_equal(results[10].actions, 0);
    assert_int_equal(results[30].reason, HR_REASON_OVERLOADED);
    assert_int_equal(results[40].reason, HR_REASON_OVERLOADED);
    arrive(41, 0, "c", 0);
    assert_int_equal(results[41].reason, HR_REASON_DEADLINE);
    now_ns += 20 * MS;
    finish(1, MS);
    assert_int_equal(results[10].reason, HR_REASON_DEADLINE);
}

/* Guards against accepting an id that is unknown or used twice, or finishing
 * an entry that was not started. */
static void
test_bad_ids_are_errors(void **state)
{
    (void)state;
    create_queue(1, 10, 0);
    assert_int_equal(finish(5, MS), HR_ERR_NOT_FOUND);
    assert_int_equal(withdraw(5), HR_ERR_NOT_FOUND);
    arrive(1, 0, "c", HR_NS_PER_S);
    assert_int_equal(arrive(1, 0, "c", HR_NS_PER_S), HR_ERR_DUPLICATE);
    arrive(2, 99, NULL, HR_NS_PER_S);
    assert_int_equal(finish(2, MS), HR_ERR_NOT_FOUND); /* still waits */
}

/* Naive model: how many entries may run and wait, without any order. */
typedef struct Model {
    uint32_t max_running;
    uint32_t queue_limit;
} Model;

/* Counts the entries that run or wait. */
static void
count_results(uint64_t count, uint32_t *running, uint32_t *waiting)
{
    uint64_t id;

    *running = 0;
    *waiting = 0;
    for (id = 1; id < count; id++) {
        if (results[id].is_withdrawn || results[id].is_finished) {
            continue;
        }
        if (results[id].is_started) {
            (*running)++;
        }
        else if (results[id].actions == 0) {
            (*waiting)++;
        }
    }
}

/* Checks the queue against the model: no entry waits while another one could
 * run, the limits hold, each arrival has at most one action, and no entry is
 * started after its deadline. */
static void
check_model(const Model *model, uint64_t count)
{
    HrAdmitStats stats;
    uint32_t running, waiting;
    uint64_t id;

    count_results(count, &running, &waiting);
    HrAdmit_GetStats(admit, &stats);
    assert_int_equal(stats.running, running);
    assert_int_equal(stats.waiting, waiting);
    assert_true(waiting <= model->queue_limit);
    assert_true(waiting == 0 || running >= model->max_running);
    for (id = 1; id < count; id++) {
        assert_true(results[id].actions <= 1);
        if (results[id].is_started) {
            assert_true(results[id].started_ns <=
                        results[id].arrive.deadline_ns);
        }
    }
}

/* Picks a random id below count of an entry that is running (started) or
 * waiting (not started); 0 if there is none. */
static uint64_t
pick_id(HrRng *rng, uint64_t count, bool started)
{
    uint64_t first = HrRng_DrawBelow(rng, count), i;

    for (i = 0; i < count; i++) {
        uint64_t id = (first + i) % count;

        if (id != 0 && !results[id].is_finished && !results[id].is_withdrawn &&
            (started ? results[id].is_started : results[id].actions == 0)) {
            return id;
        }
    }
    return 0;
}

/* Applies one random event. */
static void
apply_random_event(HrRng *rng, Model *model, uint64_t *count)
{
    static const char *const callers[] = {"a", "b", "c", NULL};
    HrAdmitEvent event = {.kind = HR_ADMIT_TIMER};
    uint64_t id;

    switch (HrRng_DrawBelow(rng, 8)) {
    case 0:
    case 1:
    case 2:
    case 3:
        arrive((*count)++, (uint32_t)HrRng_DrawBelow(rng, 9),
               callers[HrRng_DrawBelow(rng, 4)],
               (int64_t)HrRng_DrawBelow(rng, 200) * MS);
        break;
    case 4:
        id = pick_id(rng, *count, true);
        if (id != 0) {
            finish(id, (int64_t)HrRng_DrawBelow(rng, 10) * MS - MS);
        }
        break;
    case 5:
        id = pick_id(rng, *count, HrRng_DrawBool(rng, 0.3));
        if (id != 0) {
            withdraw(id);
        }
        break;
    case 6:
        if (HrRng_DrawBool(rng, 0.1)) {
            model->max_running = (uint32_t)HrRng_DrawBelow(rng, 6);
            event.kind = HR_ADMIT_SET_LIMITS;
            event.u.limits.max_running = model->max_running;
            event.u.limits.queue_limit = model->queue_limit;
        }
        handle_event(&event);
        break;
    default:
        now_ns += (int64_t)HrRng_DrawBelow(rng, 5) * MS;
        handle_event(&event);
        break;
    }
}

/* Guards against entries that are lost or decided twice, exceeded limits, and
 * entries that wait although more could run. Applies random events and
 * compares with a naive model. */
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
        model.max_running = 1 + (uint32_t)HrRng_DrawBelow(&rng, 5);
        model.queue_limit = 1 + (uint32_t)HrRng_DrawBelow(&rng, 30);
        create_queue(model.max_running, model.queue_limit,
                     (uint32_t)HrRng_DrawBelow(&rng, 101));
        for (j = 0; j < 600; j++) {
            apply_random_event(&rng, &model, &count);
            check_model(&model, count);
        }
        free_queue(NULL);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_higher_class_is_served_first,
                                  free_queue),
        cmocka_unit_test_teardown(test_lowest_class_is_served_within_the_bound,
                                  free_queue),
        cmocka_unit_test_teardown(test_callers_take_turns, free_queue),
        cmocka_unit_test_teardown(test_caller_share_is_bounded, free_queue),
        cmocka_unit_test_teardown(test_caller_share_counts_no_lower_class,
                                  free_queue),
        cmocka_unit_test_teardown(test_full_queue_drops_a_lower_class,
                                  free_queue),
        cmocka_unit_test_teardown(test_arrival_that_cannot_finish_is_refused,
                                  free_queue),
        cmocka_unit_test_teardown(test_bad_ids_are_errors, free_queue),
        cmocka_unit_test_teardown(test_random_events_match_the_model,
                                  free_queue),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
