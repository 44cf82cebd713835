#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <talloc.h>

#include "coord-drain.h"

/* Sends an event at a time to the state machine. */
static void
send_event(HrDrain *drain, HrDrainEventKind kind, int64_t now_ns,
           uint32_t open)
{
    HrDrainEvent event = {.kind = kind, .now_ns = now_ns};

    event.u.open = open;
    HrDrain_HandleEvent(drain, &event);
}

/* Checks the kind of the next action. */
static void
expect_action(HrDrain *drain, HrDrainActionKind kind)
{
    HrDrainAction action;

    assert_true(HrDrain_PopAction(drain, &action));
    assert_int_equal(action.kind, kind);
}

/* Checks that no action is pending. */
static void
expect_no_action(HrDrain *drain)
{
    HrDrainAction action;

    assert_false(HrDrain_PopAction(drain, &action));
}

/* Creates a state machine that entered LEAVING at time 0, with 3 open
 * requests. */
static HrDrain *
create_leaving(void **state, HrDrainConfig *config)
{
    HrDrain *drain;

    HrDrainConfig_GetDefaults(config);
    drain = HrDrain_Create(*state, config);
    send_event(drain, HR_DRAIN_EVENT_OPEN_COUNT, 0, 3);
    send_event(drain, HR_DRAIN_EVENT_START, 0, 0);
    expect_action(drain, HR_DRAIN_ACTION_LEAVE);
    expect_no_action(drain);
    return drain;
}

/* Guards against refusing requests of callers that still use a cached list
 * with this daemon, and against an exit with open requests. */
static void
test_steps_in_order(void **state)
{
    HrDrainConfig config;
    HrDrain *drain = create_leaving(state, &config);
    int64_t now_ns = HrDrain_GetNextTimer(drain);

    assert_int_equal(now_ns, config.keep_ns);
    send_event(drain, HR_DRAIN_EVENT_TIMER, now_ns - 1, 0);
    expect_no_action(drain);
    send_event(drain, HR_DRAIN_EVENT_TIMER, now_ns, 0);
    expect_action(drain, HR_DRAIN_ACTION_REFUSE_NEW);
    expect_no_action(drain);
    send_event(drain, HR_DRAIN_EVENT_OPEN_COUNT, now_ns + 1, 1);
    expect_no_action(drain);
    send_event(drain, HR_DRAIN_EVENT_OPEN_COUNT, now_ns + 2, 0);
    expect_action(drain, HR_DRAIN_ACTION_HAND_OVER);
    expect_no_action(drain);
    send_event(drain, HR_DRAIN_EVENT_HANDED_OVER, now_ns + 3, 0);
    expect_action(drain, HR_DRAIN_ACTION_EXIT);
    assert_int_equal(HrDrain_GetStep(drain), HR_DRAIN_DONE);
    assert_int_equal(HrDrain_GetNextTimer(drain), HR_TIME_NEVER);
}

/* Guards against a shutdown that waits for ever for a request that does not
 * end or for a new scheduler that is dead. */
static void
test_step_limits(void **state)
{
    HrDrainConfig config;
    HrDrain *drain = create_leaving(state, &config);
    HrDrainAction action;
    uint32_t i;

    for (i = 0; i < 3; i++) {
        send_event(drain, HR_DRAIN_EVENT_TIMER, HrDrain_GetNextTimer(drain),
                   0);
    }
    expect_action(drain, HR_DRAIN_ACTION_REFUSE_NEW);
    expect_action(drain, HR_DRAIN_ACTION_HAND_OVER);
    assert_true(HrDrain_PopAction(drain, &action));
    assert_int_equal(action.kind, HR_DRAIN_ACTION_EXIT);
    assert_int_equal(action.u.interrupted, 3);
}

/* Guards against entering a step twice because of a second START event, such
 * as a signal after the leaving mark of the platform, and against applying
 * HANDED_OVER in an earlier step. */
static void
test_repeated_start(void **state)
{
    HrDrainConfig config;
    HrDrain *drain = create_leaving(state, &config);

    send_event(drain, HR_DRAIN_EVENT_START, 5, 0);
    send_event(drain, HR_DRAIN_EVENT_HANDED_OVER, 6, 0);
    expect_no_action(drain);
    assert_int_equal(HrDrain_GetNextTimer(drain), config.keep_ns);
}

/* Guards against a process that cannot be made to exit at once. */
static void
test_forced_exit(void **state)
{
    HrDrainConfig config;
    HrDrain *drain = create_leaving(state, &config);

    send_event(drain, HR_DRAIN_EVENT_FORCE, 1, 0);
    expect_action(drain, HR_DRAIN_ACTION_EXIT);
    send_event(drain, HR_DRAIN_EVENT_FORCE, 2, 0);
    expect_no_action(drain);
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
 * daemon that had not been notified of the shutdown yet. */
static void
test_leaving_waits_for_spread(void **state)
{
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_START};
    HrDrainConfig config;
    HrDrain *drain;

    HrDrainConfig_GetDefaults(&config);
    drain = HrDrain_Create(*state, &config);
    event.u.spread_ns = 3 * HR_NS_PER_S;
    HrDrain_HandleEvent(drain, &event);
    expect_action(drain, HR_DRAIN_ACTION_LEAVE);
    assert_int_equal(HrDrain_GetNextTimer(drain),
                     config.keep_ns + 3 * HR_NS_PER_S);
    send_event(drain, HR_DRAIN_EVENT_TIMER, config.keep_ns, 0);
    expect_no_action(drain);
    send_event(drain, HR_DRAIN_EVENT_TIMER, config.keep_ns + 3 * HR_NS_PER_S,
               0);
    expect_action(drain, HR_DRAIN_ACTION_REFUSE_NEW);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_steps_in_order, create_parent,
                                        free_parent),
        cmocka_unit_test_setup_teardown(test_leaving_waits_for_spread,
                                        create_parent, free_parent),
        cmocka_unit_test_setup_teardown(test_step_limits, create_parent,
                                        free_parent),
        cmocka_unit_test_setup_teardown(test_repeated_start, create_parent,
                                        free_parent),
        cmocka_unit_test_setup_teardown(test_forced_exit, create_parent,
                                        free_parent),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
