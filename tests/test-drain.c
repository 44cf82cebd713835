#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <talloc.h>

#include "coord-drain.h"

/* Gives the module an event at a time. */
static void
handle(HrDrain *drain, HrDrainEventKind kind, int64_t now_ns, uint32_t open)
{
    HrDrainEvent event = {.kind = kind, .now_ns = now_ns};

    event.u.open = open;
    HrDrain_Handle(drain, &event);
}

/* Checks that the next action is of a kind. */
static void
expect(HrDrain *drain, HrDrainActionKind kind)
{
    HrDrainAction action;

    assert_true(HrDrain_Next(drain, &action));
    assert_int_equal(action.kind, kind);
}

/* Checks that no action is pending. */
static void
expect_none(HrDrain *drain)
{
    HrDrainAction action;

    assert_false(HrDrain_Next(drain, &action));
}

/* Creates a module that has begun to drain at time 0. */
static HrDrain *
create_leaving(void **state, HrDrainConfig *config)
{
    HrDrain *drain;

    HrDrainConfig_Default(config);
    drain = HrDrain_Create(*state, config);
    handle(drain, HR_DRAIN_EVENT_OPEN, 0, 3);
    handle(drain, HR_DRAIN_EVENT_START, 0, 0);
    expect(drain, HR_DRAIN_ACTION_LEAVE);
    expect_none(drain);
    return drain;
}

/* Guards against refusing requests of callers that still keep the old list,
 * and against an exit with open requests. */
static void
test_steps_in_order(void **state)
{
    HrDrainConfig config;
    HrDrain *drain = create_leaving(state, &config);
    int64_t now_ns = HrDrain_NextTimer(drain);

    assert_int_equal(now_ns, config.keep_ns);
    handle(drain, HR_DRAIN_EVENT_TIMER, now_ns - 1, 0);
    expect_none(drain);
    handle(drain, HR_DRAIN_EVENT_TIMER, now_ns, 0);
    expect(drain, HR_DRAIN_ACTION_REFUSE_NEW);
    expect_none(drain);
    handle(drain, HR_DRAIN_EVENT_OPEN, now_ns + 1, 1);
    expect_none(drain);
    handle(drain, HR_DRAIN_EVENT_OPEN, now_ns + 2, 0);
    expect(drain, HR_DRAIN_ACTION_HAND_OVER);
    expect_none(drain);
    handle(drain, HR_DRAIN_EVENT_HANDED_OVER, now_ns + 3, 0);
    expect(drain, HR_DRAIN_ACTION_EXIT);
    assert_int_equal(HrDrain_Step(drain), HR_DRAIN_DONE);
    assert_int_equal(HrDrain_NextTimer(drain), HR_TIME_NEVER);
}

/* Guards against a shutdown that a stuck request or a dead new scheduler
 * holds up for ever. */
static void
test_limits(void **state)
{
    HrDrainConfig config;
    HrDrain *drain = create_leaving(state, &config);
    HrDrainAction action;
    uint32_t i;

    for (i = 0; i < 3; i++) {
        handle(drain, HR_DRAIN_EVENT_TIMER, HrDrain_NextTimer(drain), 0);
    }
    expect(drain, HR_DRAIN_ACTION_REFUSE_NEW);
    expect(drain, HR_DRAIN_ACTION_HAND_OVER);
    assert_true(HrDrain_Next(drain, &action));
    assert_int_equal(action.kind, HR_DRAIN_ACTION_EXIT);
    assert_int_equal(action.u.interrupted, 3);
}

/* Guards against steps that a repeated signal or mark takes twice. */
static void
test_repeated_start(void **state)
{
    HrDrainConfig config;
    HrDrain *drain = create_leaving(state, &config);

    handle(drain, HR_DRAIN_EVENT_START, 5, 0);
    handle(drain, HR_DRAIN_EVENT_HANDED_OVER, 6, 0);
    expect_none(drain);
    assert_int_equal(HrDrain_NextTimer(drain), config.keep_ns);
}

/* Guards against a process that cannot be stopped at once. */
static void
test_force(void **state)
{
    HrDrainConfig config;
    HrDrain *drain = create_leaving(state, &config);

    handle(drain, HR_DRAIN_EVENT_FORCE, 1, 0);
    expect(drain, HR_DRAIN_ACTION_EXIT);
    handle(drain, HR_DRAIN_EVENT_FORCE, 2, 0);
    expect_none(drain);
}

static int
create_parent(void **state)
{
    *state = talloc_new(NULL);
    return 0;
}

static int
free_parent(void **state)
{
    talloc_free(*state);
    return 0;
}

/* Guards against refusing requests of callers that got their list from a
 * daemon which had not heard of the shutdown yet. */
static void
test_leaving_outlasts_spread(void **state)
{
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_START};
    HrDrainConfig config;
    HrDrain *drain;

    HrDrainConfig_Default(&config);
    drain = HrDrain_Create(*state, &config);
    event.u.spread_ns = 3 * HR_NS_PER_S;
    HrDrain_Handle(drain, &event);
    expect(drain, HR_DRAIN_ACTION_LEAVE);
    assert_int_equal(HrDrain_NextTimer(drain),
                     config.keep_ns + 3 * HR_NS_PER_S);
    handle(drain, HR_DRAIN_EVENT_TIMER, config.keep_ns, 0);
    expect_none(drain);
    handle(drain, HR_DRAIN_EVENT_TIMER, config.keep_ns + 3 * HR_NS_PER_S, 0);
    expect(drain, HR_DRAIN_ACTION_REFUSE_NEW);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_steps_in_order, create_parent,
                                        free_parent),
        cmocka_unit_test_setup_teardown(test_leaving_outlasts_spread,
                                        create_parent, free_parent),
        cmocka_unit_test_setup_teardown(test_limits, create_parent,
                                        free_parent),
        cmocka_unit_test_setup_teardown(test_repeated_start, create_parent,
                                        free_parent),
        cmocka_unit_test_setup_teardown(test_force, create_parent,
                                        free_parent),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
