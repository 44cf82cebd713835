#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "common-callers.h"

#define WARM_MS 1000
#define LOADED_MS 6000

/* Kills daemons while callers send wide queries, lookups and bookings. Each
 * answer has true coverage, no booking runs twice, and the daemons left answer
 * completely again. Prints the time from the loss to the end of the last
 * request that failed. */
static void
lose_daemons(const char *title, const uint32_t *lost, uint32_t lost_count)
{
    const TestCallersConfig config = {
        .count = 6, .book = true, .pause_ms = 5, .deadline_ms = 3000};
    TestCluster cluster;
    TestCallers *callers;
    TestTally tally;
    int64_t lost_ms;
    uint32_t i;

    TestCluster_Start(&cluster, 4, 4, 3);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(WARM_MS);
    lost_ms = TestClock_WallMs();
    for (i = 0; i < lost_count; i++) {
        kill(cluster.daemons[lost[i]].pid, SIGKILL);
    }
    for (i = 0; i < lost_count; i++) {
        assert_true(
            WIFSIGNALED(TestCluster_EndDaemon(&cluster, lost[i], SIGKILL)));
    }
    TestClock_SleepMs(LOADED_MS);
    tally = TestCallers_Stop(callers, title);
    print_message("%s: last failure after %lld ms\n", title,
                  tally.last_failure_ms > lost_ms
                      ? (long long)(tally.last_failure_ms - lost_ms)
                      : 0LL);
    assert_true(tally.complete > 0);
    assert_int_equal(tally.late, 0);
    for (i = 0; i < cluster.daemon_count; i++) {
        if (cluster.daemons[i].pid != 0) {
            TestCluster_WaitServing(&cluster, i);
        }
    }
    TestCluster_Stop(&cluster);
}

/* Guards against false coverage, a booking that runs twice, or queries that
 * stay partial after the loss of one VM. */
static void
test_loss_of_one_of_four(void **state)
{
    static const uint32_t lost[] = {1};

    (void)state;
    lose_daemons("loss of one of four", lost, 1);
}

/* Guards against the same after the loss of two VMs at once, which may be the
 * first two candidates of a group. */
static void
test_loss_of_two_of_four(void **state)
{
    static const uint32_t lost[] = {1, 2};

    (void)state;
    lose_daemons("loss of two of four", lost, 2);
}

/* Guards against the same after the loss of every daemon of a data centre; the
 * seed of the others is among them. */
static void
test_loss_of_data_centre(void **state)
{
    static const uint32_t lost[] = {0, 3};

    (void)state;
    lose_daemons("loss of a data centre", lost, 2);
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
