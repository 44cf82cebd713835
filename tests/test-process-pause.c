#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-callers.h"

#define WARM_UP_MS 1000
/* Longer than the probe, the indirect probe and the suspicion of 3 s together,
 * after which the other daemons declare the paused one dead. */
#define PAUSE_MS 7000
#define LOAD_MS 3000
#define POLL_MS 50
#define OVERALL_LIMIT_MS 60000

/* Waits until the entry list of a daemon has a number of daemons; fails the
 * test after 60 s. */
static void
wait_for_entries(const TestCluster *cluster, uint32_t index, size_t count)
{
    int64_t end_ms = TestClock_GetWallMs() + OVERALL_LIMIT_MS;
    size_t listed = 0;

    while (listed != count) {
        TestAnswer answer = TestHttp_SendRequest(
            cluster->daemons[index].caller_port, "/v1/entries", NULL, NULL);

        listed = json_array_size(json_object_get(answer.json, "entries"));
        TestAnswer_Release(&answer);
        assert_true(TestClock_GetWallMs() < end_ms);
        TestClock_SleepMs(POLL_MS);
    }
}

/* Guards against a daemon that is paused with bookings open until the others
 * have declared it dead, and on resuming runs bookings that others have run,
 * reports wrong coverage or does not rejoin. The callers compare their
 * bookings with the runs on the backend servers. */
static void
test_pause_under_load(void **state)
{
    const TestCallersConfig config = {
        .count = 6, .send_bookings = true, .pause_ms = 5, .deadline_ms = 3000};
    TestCluster cluster;
    TestCallers *callers;
    TestTally tally;
    int64_t resumed_ms;

    (void)state;
    TestCluster_Start(&cluster, 3, 4, 2);
    wait_for_entries(&cluster, 0, 3);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_UP_MS);
    kill(cluster.daemons[1].pid, SIGSTOP);
    TestClock_SleepMs(PAUSE_MS);
    wait_for_entries(&cluster, 0, 2);
    kill(cluster.daemons[1].pid, SIGCONT);
    resumed_ms = TestClock_GetWallMs();
    wait_for_entries(&cluster, 0, 3);
    print_message("pause: listed again after %lld ms\n",
                  (long long)(TestClock_GetWallMs() - resumed_ms));
    TestClock_SleepMs(LOAD_MS);
    tally = TestCallers_Stop(callers, "pause of 7 s");
    print_message("pause: last failure %lld ms after the resumption\n",
                  (long long)(tally.last_failure_ms - resumed_ms));
    assert_true(tally.complete > 0);
    assert_int_equal(TestCluster_GetCounter(&cluster, 1, "member_pauses") > 0,
                     1);
    TestCluster_WaitUntilServing(&cluster, 1);
    TestCluster_Stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_pause_under_load),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
