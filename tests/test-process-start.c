#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-callers.h"

#define POLL_MS 50
#define STOPPED_MS 1000

static const TestCluster *early_cluster;

/* Ends every daemon, changes the platform and starts them again. Returns the
 * wall time of the start. */
static int64_t
restart_all(TestCluster *cluster, const char *fault)
{
    uint32_t i;

    for (i = 0; i < cluster->daemon_count; i++) {
        kill(cluster->daemons[i].pid, SIGKILL);
    }
    for (i = 0; i < cluster->daemon_count; i++) {
        TestCluster_EndDaemon(cluster, i, SIGKILL);
    }
    TestCluster_SetPlatform(cluster, fault, "");
    for (i = 0; i < cluster->daemon_count; i++) {
        TestCluster_StartDaemon(cluster, i);
    }
    return TestClock_WallMs();
}

/* Waits until every daemon answers completely, and prints the time since the
 * start. */
static void
wait_for_all(const TestCluster *cluster, const char *title, int64_t started_ms)
{
    uint32_t i;

    for (i = 0; i < cluster->daemon_count; i++) {
        TestCluster_WaitServing(cluster, i);
    }
    print_message("%s: all daemons answer completely after %lld ms\n", title,
                  (long long)(TestClock_WallMs() - started_ms));
}

/* Guards against a start of every daemon at once that needs a fast store. With
 * the store down nobody holds tables: queries are refused as not run, and
 * served as soon as the store is back. */
static void
test_start_of_all_daemons(void **state)
{
    TestCluster cluster;
    TestAnswer answer;
    int64_t started_ms;
    int status;

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    started_ms = restart_all(&cluster, "/control?slow_ms=0");
    wait_for_all(&cluster, "start, store up", started_ms);
    started_ms = restart_all(&cluster, "/control?slow_ms=2000");
    wait_for_all(&cluster, "start, store answers in 2 s", started_ms);
    restart_all(&cluster, "/control?slow_ms=0&outage=1");
    do {
        TestClock_SleepMs(POLL_MS);
        answer = TestCluster_Query(&cluster, 1, TEST_SEARCH);
        assert_string_not_equal(TestAnswer_Text(&answer, "status"),
                                "complete");
        if (answer.status != 0) {
            assert_true(json_is_true(json_object_get(answer.json, "not_run")));
        }
        status = answer.status;
        TestAnswer_Release(&answer);
    } while (status == 0);
    started_ms = TestClock_WallMs();
    TestCluster_SetPlatform(&cluster, "/control?outage=0", "");
    wait_for_all(&cluster, "start, store was down, after its return",
                 started_ms);
    TestCluster_Stop(&cluster);
}

/* Sends the query that a new daemon gets before it has an index. */
static void *
send_early_query(void *arg)
{
    TestAnswer *answer = arg;

    *answer = TestCluster_Query(early_cluster, 0, TEST_SEARCH);
    return NULL;
}

/* Guards against a daemon that refuses queries for want of an index map which
 * arrives in time: the servers stop for a second while the daemon starts. */
static void
test_query_before_first_map(void **state)
{
    TestCluster cluster;
    TestAnswer answer = {0, NULL};
    json_int_t revision = 0;
    pthread_t thread;

    (void)state;
    TestCluster_Start(&cluster, 1, 2, 2);
    early_cluster = &cluster;
    TestCluster_EndDaemon(&cluster, 0, SIGKILL);
    kill(cluster.backend_pid, SIGSTOP);
    TestCluster_StartDaemon(&cluster, 0);
    while (revision == 0) {
        TestAnswer config = TestHttp_Send(cluster.daemons[0].operator_port,
                                          "/v1/config", TEST_TOKEN, NULL);

        revision =
            json_integer_value(json_object_get(config.json, "revision"));
        TestAnswer_Release(&config);
        TestClock_SleepMs(POLL_MS);
    }
    assert_int_equal(pthread_create(&thread, NULL, send_early_query, &answer),
                     0);
    TestClock_SleepMs(STOPPED_MS);
    kill(cluster.backend_pid, SIGCONT);
    pthread_join(thread, NULL);
    print_message("query before the first map: %s %s\n",
                  TestAnswer_Text(&answer, "status"),
                  TestAnswer_Text(&answer, "reason"));
    assert_true(TestAnswer_IsComplete(&answer));
    TestAnswer_Release(&answer);
    TestCluster_Stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_start_of_all_daemons),
        cmocka_unit_test(test_query_before_first_map),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
