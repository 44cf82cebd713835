#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-callers.h"

#include "common-relay.h"

#define WARM_UP_MS 1000

/* Asserts that no request of callers that use the entry list failed. */
static void
assert_no_failures(const TestTally *tally)
{
    assert_true(tally->complete > 0);
    assert_int_equal(tally->partial, 0);
    assert_int_equal(tally->unknown, 0);
    assert_int_equal(tally->refused_not_run, 0);
    assert_int_equal(tally->refused, 0);
    assert_int_equal(tally->no_answer, 0);
}

/* Guards against a rolling restart that disturbs callers: those that use
 * the entry list must see no refused, failed or interrupted request while each
 * daemon in turn stops on SIGTERM and is started again. */
static void
test_rolling_restart(void **state)
{
    const TestCallersConfig config = {.count = 6,
                                      .send_bookings = true,
                                      .pause_ms = 5,
                                      .use_entry_list = true};
    TestCluster cluster;
    TestCallers *callers;
    TestTally tally;
    uint32_t i;

    (void)state;
    TestCluster_Start(&cluster, 4, 4, 3);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_UP_MS);
    for (i = 0; i < cluster.daemon_count; i++) {
        assert_int_equal(TestCluster_EndDaemon(&cluster, i, SIGTERM), 0);
        TestCluster_StartDaemon(&cluster, i);
        TestCluster_WaitUntilServing(&cluster, i);
        TestClock_SleepMs(WARM_UP_MS);
    }
    tally = TestCallers_Stop(callers, "rolling restart");
    assert_no_failures(&tally);
    assert_true(tally.done > 0);
    TestCluster_Stop(&cluster);
}

/* Guards against a daemon that refuses requests during its shutdown while the
 * entry list of another daemon still contains it, because the message that
 * announces the shutdown was lost on a silent link. */
static void
test_shutdown_with_outdated_entry_list(void **state)
{
    static const uint32_t uninformed_daemon = 2;
    const TestCallersConfig config = {.count = 6,
                                      .pause_ms = 5,
                                      .use_entry_list = true,
                                      .entry_list_daemon = &uninformed_daemon};
    TestCluster cluster;
    TestCallers *callers;
    TestRelay *relay;
    TestTally tally;

    (void)state;
    TestCluster_Start(&cluster, 3, 4, 3);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 2, SIGTERM), 0);
    relay = TestRelay_Start(cluster.daemons[2].peer_port);
    cluster.daemons[2].peer_advertised_port = TestRelay_GetPort(relay);
    TestCluster_StartDaemon(&cluster, 2);
    TestCluster_WaitUntilServing(&cluster, 2);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_UP_MS);
    TestRelay_SilenceConnections(relay);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 1, SIGTERM), 0);
    TestClock_SleepMs(WARM_UP_MS);
    tally = TestCallers_Stop(callers, "shutdown unknown to the list's daemon");
    assert_no_failures(&tally);
    TestCluster_Stop(&cluster);
    TestRelay_Stop(relay);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rolling_restart),
        cmocka_unit_test(test_shutdown_with_outdated_entry_list),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
