#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-callers.h"
#include "common-relay.h"

#define WARM_UP_MS 2000
#define LOAD_MS 4000
/* Shorter than the 4 s after which a daemon closes a silent link: it sends a
 * ping after 1 s of silence and waits 3 s for the answer. A query that waits
 * until the link is closed therefore has missing shards. */
#define DEADLINE_MS 2500

/* Guards against a query without the shards of a scheduling daemon whose link
 * is permanently silent although a new connection to the daemon works, and
 * against a booking that is repeated in this case. Prints the outcomes of the
 * callers. */
static void
test_peer_link_goes_silent(void **state)
{
    const TestCallersConfig config = {.count = 4,
                                      .send_bookings = true,
                                      .pause_ms = 5,
                                      .deadline_ms = DEADLINE_MS};
    TestCluster cluster;
    TestCallers *callers;
    TestRelay *relay;
    TestTally tally;
    int64_t silenced_ms;

    (void)state;
    TestCluster_Start(&cluster, 3, 6, 2);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 1, SIGTERM), 0);
    relay = TestRelay_Start(cluster.daemons[1].peer_port);
    cluster.daemons[1].peer_advertised_port = TestRelay_GetPort(relay);
    TestCluster_StartDaemon(&cluster, 1);
    TestCluster_WaitUntilServing(&cluster, 1);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_UP_MS);
    silenced_ms = TestClock_GetWallMs();
    print_message("%u connections silenced\n",
                  TestRelay_SilenceConnections(relay));
    TestClock_SleepMs(LOAD_MS);
    tally = TestCallers_Stop(callers, "silent peer link");
    print_message(
        "silent peer link: last failure after %lld ms, %lld links "
        "found stalled, %lld sub-requests moved\n",
        tally.last_failure_ms > silenced_ms
            ? (long long)(tally.last_failure_ms - silenced_ms)
            : 0LL,
        (long long)(TestCluster_GetCounter(&cluster, 0, "peer_links_stalled") +
                    TestCluster_GetCounter(&cluster, 2, "peer_links_stalled")),
        (long long)(TestCluster_GetCounter(&cluster, 0, "gather_failovers") +
                    TestCluster_GetCounter(&cluster, 2, "gather_failovers")));
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
