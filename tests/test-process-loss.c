#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "common-callers.h"

#define WARM_UP_MS 1000
#define LOAD_MS 6000

/* Returns the time in milliseconds from the kill to the last failure; 0 if no
 * request failed after the kill. */
static long long
compute_recovery_ms(int64_t killed_ms, int64_t failure_ms)
{
    return failure_ms > killed_ms ? (long long)(failure_ms - killed_ms) : 0;
}

/* Kills daemons while callers send wide queries, lookups and bookings. Checks
 * that each answer has correct coverage, that no booking runs twice, and that
 * the remaining daemons answer completely again. Prints the time from the kill
 * to the end of the last failed query and of the last failed request. */
static void
kill_daemons_under_load(const char *title, const uint32_t *killed,
                        uint32_t killed_count)
{
    const TestCallersConfig config = {
        .count = 6, .send_bookings = true, .pause_ms = 5, .deadline_ms = 3000};
    TestCluster cluster;
    TestCallers *callers;
    TestTally tally;
    int64_t killed_ms;
    uint32_t i;

    TestCluster_Start(&cluster, 4, 4, 3);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_UP_MS);
    killed_ms = TestClock_GetWallMs();
    for (i = 0; i < killed_count; i++) {
        kill(cluster.daemons[killed[i]].pid, SIGKILL);
    }
    for (i = 0; i < killed_count; i++) {
        assert_true(
            WIFSIGNALED(TestCluster_EndDaemon(&cluster, killed[i], SIGKILL)));
    }
    TestClock_SleepMs(LOAD_MS);
    tally = TestCallers_Stop(callers, title);
    print_message("%s: queries complete again after %lld ms, bookings done "
                  "after %lld ms\n",
                  title,
                  compute_recovery_ms(killed_ms, tally.last_query_failure_ms),
                  compute_recovery_ms(killed_ms, tally.last_failure_ms));
    assert_true(tally.complete > 0);
    assert_int_equal(tally.late, 0);
    for (i = 0; i < cluster.daemon_count; i++) {
        if (cluster.daemons[i].pid != 0) {
            TestCluster_WaitUntilServing(&cluster, i);
        }
    }
    TestCluster_Stop(&cluster);
}

/* Guards against wrong coverage, bookings that run twice, and queries that
 * stay partial after the loss of one daemon. */
static void
test_loss_of_one_of_four(void **state)
{
    static const uint32_t killed[] = {1};

    (void)state;
    kill_daemons_under_load("loss of one of four", killed, 1);
}

/* Guards against the same failures after the loss of two daemons at once,
 * which may be the first two candidates of a group. */
static void
test_loss_of_two_of_four(void **state)
{
    static const uint32_t killed[] = {1, 2};

    (void)state;
    kill_daemons_under_load("loss of two of four", killed, 2);
}

/* Guards against the same failures after the loss of all daemons of a data
 * centre, one of which is the seed address of the others. */
static void
test_loss_of_data_centre(void **state)
{
    static const uint32_t killed[] = {0, 3};

    (void)state;
    kill_daemons_under_load("loss of a data centre", killed, 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_loss_of_one_of_four),
        cmocka_unit_test(test_loss_of_two_of_four),
        cmocka_unit_test(test_loss_of_data_centre),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
