#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-callers.h"

#define WARM_MS 1000

/* Guards against a rolling restart that callers notice: callers that follow
 * the entry list see no refused, failed or interrupted request while each
 * daemon in turn leaves on SIGTERM and comes back. */
static void
test_rolling_restart(void **state)
{
    const TestCallersConfig config = {
        .count = 6, .book = true, .pause_ms = 5, .follow_entries = true};
    TestCluster cluster;
    TestCallers *callers;
    TestTally tally;
    uint32_t i;

    (void)state;
    TestCluster_Start(&cluster, 4, 4, 3);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_MS);
    for (i = 0; i < cluster.daemon_count; i++) {
        assert_int_equal(TestCluster_EndDaemon(&cluster, i, SIGTERM), 0);
        TestCluster_StartDaemon(&cluster, i);
        TestCluster_WaitServing(&cluster, i);
        TestClock_SleepMs(WARM_MS);
    }
    tally = TestCallers_Stop(callers, "rolling restart");
    assert_true(tally.complete > 0);
    assert_true(tally.done > 0);
    assert_int_equal(tally.partial, 0);
    assert_int_equal(tally.unknown, 0);
    assert_int_equal(tally.refused_not_run, 0);
    assert_int_equal(tally.refused, 0);
    assert_int_equal(tally.no_answer, 0);
    TestCluster_Stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rolling_restart),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
