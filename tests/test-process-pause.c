#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-callers.h"

#define WARM_MS 1000
/* Longer than the probe, the indirect probe and the suspicion of 3 s. */
#define PAUSE_MS 7000
#define LOADED_MS 3000
#define POLL_MS 50
#define OVERALL_LIMIT_MS 60000

/* Waits until a daemon's entry list names a number of daemons. */
static void
wait_for_entries(const TestCluster *cluster, uint32_t index, size_t count)
{
    int64_t end_ms = TestClock_WallMs() + OVERALL_LIMIT_MS;
    size_t listed = 0;

    while (listed != count) {
        TestAnswer answer = TestHttp_Send(cluster->daemons[index].caller_port,
                                          "/v1/entries", NULL, NULL);

        listed = json_array_size(json_object_get(answer.json, "entries"));
        TestAnswer_Release(&answer);
        assert_true(TestClock_WallMs() < end_ms);
        TestClock_SleepMs(POLL_MS);
    }
}

/* Guards against a daemon that is paused past its own death, with bookings in
 * flight, and then runs what others have run, answers untruthfully or stays
 * out. The callers' bookings are compared with the runs on the servers. */
static void
test_pause_under_load(void **state)
{
    const TestCallersConfig config = {
        .count = 6, .book = true, .pause_ms = 5, .deadline_ms = 3000};
    TestCluster cluster;
    TestCallers *callers;
    TestTally tally;
    int64_t resumed_ms;

    (void)state;
    TestCluster_Start(&cluster, 3, 4, 2);
    wait_for_entries(&cluster, 0, 3);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_MS);
    kill(cluster.daemons[1].pid, SIGSTOP);
    TestClock_SleepMs(PAUSE_MS);
    wait_for_entries(&cluster, 0, 2);
    kill(cluster.daemons[1].pid, SIGCONT);
    resumed_ms = TestClock_WallMs();
    wait_for_entries(&cluster, 0, 3);
    print_message("pause: listed again after %lld ms\n",
                  (long long)(TestClock_WallMs() - resumed_ms));
    TestClock_SleepMs(LOADED_MS);
    tally = TestCallers_Stop(callers, "pause of 7 s");
    print_message("pause: last failure %lld ms after the resumption\n",
                  (long long)(tally.last_failure_ms - resumed_ms));
    assert_true(tally.complete > 0);
    assert_int_equal(TestCluster_Counter(&cluster, 1, "member_pauses") > 0, 1);
    TestCluster_WaitServing(&cluster, 1);
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
