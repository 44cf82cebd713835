#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-callers.h"

#include "common-relay.h"

#define WARM_MS 1000

/* Asserts that callers that follow the entry list noticed nothing. */
static void
assert_unnoticed(const TestTally *tally)
{
    assert_true(tally->complete > 0);
    assert_int_equal(tally->partial, 0);
    assert_int_equal(tally->unknown, 0);
    assert_int_equal(tally->refused_not_run, 0);
    assert_int_equal(tally->refused, 0);
    assert_int_equal(tally->no_answer, 0);
}

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
    assert_unnoticed(&tally);
    assert_true(tally.done > 0);
    TestCluster_Stop(&cluster);
}

/* Guards against a shutdown that refuses requests while another daemon, which
 * has not heard of it yet, still hands out the address: the message that
 * announces it is lost on a silent link. */
static void
test_list_of_uninformed_daemon(void **state)
{
    static const uint32_t uninformed = 2;
    const TestCallersConfig config = {.count = 6,
                                      .pause_ms = 5,
                                      .follow_entries = true,
                                      .list_daemon = &uninformed};
    TestCluster cluster;
    TestCallers *callers;
    TestRelay *relay;
    TestTally tally;

    (void)state;
    TestCluster_Start(&cluster, 3, 4, 3);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 2, SIGTERM), 0);
    relay = TestRelay_Start(cluster.daemons[2].peer_port);
    cluster.daemons[2].peer_advertised_port = TestRelay_Port(relay);
    TestCluster_StartDaemon(&cluster, 2);
    TestCluster_WaitServing(&cluster, 2);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_MS);
    TestRelay_Silence(relay);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 1, SIGTERM), 0);
    TestClock_SleepMs(WARM_MS);
    tally = TestCallers_Stop(callers, "shutdown unknown to the list's daemon");
    assert_unnoticed(&tally);
    TestCluster_Stop(&cluster);
    TestRelay_Stop(relay);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rolling_restart),
        cmocka_unit_test(test_list_of_uninformed_daemon),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
