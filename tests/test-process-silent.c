#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-callers.h"
#include "common-relay.h"

#define WARM_MS 2000
#define LOADED_MS 4000
/* Below the time after which the link's own ping closes it (1 s and 3 s), so
 * that a query that waits for that loses shards. */
#define DEADLINE_MS 2500

/* Guards against a query that loses the shards of a scheduling daemon whose
 * link has gone silent for good, although a new connection to it works, and
 * against a booking that is repeated then. Prints what the callers saw. */
static void
test_peer_link_goes_silent(void **state)
{
    const TestCallersConfig config = {
        .count = 4, .book = true, .pause_ms = 5, .deadline_ms = DEADLINE_MS};
    TestCluster cluster;
    TestCallers *callers;
    TestRelay *relay;
    TestTally tally;
    int64_t silent_ms;

    (void)state;
    TestCluster_Start(&cluster, 3, 6, 2);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 1, SIGTERM), 0);
    relay = TestRelay_Start(cluster.daemons[1].peer_port);
    cluster.daemons[1].peer_advertised_port = TestRelay_Port(relay);
    TestCluster_StartDaemon(&cluster, 1);
    TestCluster_WaitServing(&cluster, 1);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_MS);
    silent_ms = TestClock_WallMs();
    print_message("%u connections silenced\n", TestRelay_Silence(relay));
    TestClock_SleepMs(LOADED_MS);
    tally = TestCallers_Stop(callers, "silent peer link");
    print_message(
        "silent peer link: last failure after %lld ms, %lld links "
        "found stalled, %lld sub-requests moved\n",
        tally.last_failure_ms > silent_ms
            ? (long long)(tally.last_failure_ms - silent_ms)
            : 0LL,
        (long long)(TestCluster_Counter(&cluster, 0, "peer_links_stalled") +
                    TestCluster_Counter(&cluster, 2, "peer_links_stalled")),
        (long long)(TestCluster_Counter(&cluster, 0, "gather_failovers") +
                    TestCluster_Counter(&cluster, 2, "gather_failovers")));
    assert_true(tally.complete > 0);
    assert_int_equal(tally.partial, 0);
    assert_int_equal(tally.late, 0);
    TestCluster_Stop(&cluster);
    TestRelay_Stop(relay);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_peer_link_goes_silent),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
