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
#define BACKEND_PAUSE_MS 1000

static const TestCluster *early_query_cluster;

/* Kills all daemons, sends a control call to the platform and starts the
 * daemons again. Returns the wall time of the start in milliseconds. */
static int64_t
restart_daemons(TestCluster *cluster, const char *control_path)
{
    uint32_t i;

    for (i = 0; i < cluster->daemon_count; i++) {
        kill(cluster->daemons[i].pid, SIGKILL);
    }
    for (i = 0; i < cluster->daemon_count; i++) {
        TestCluster_EndDaemon(cluster, i, SIGKILL);
    }
    TestCluster_ControlPlatform(cluster, control_path, "");
    for (i = 0; i < cluster->daemon_count; i++) {
        TestCluster_StartDaemon(cluster, i);
    }
    return TestClock_GetWallMs();
}

/* Waits until every daemon answers a search completely, and prints the time
 * since the start. */
static void
wait_for_daemons(const TestCluster *cluster, const char *title,
                 int64_t started_ms)
{
    uint32_t i;

    for (i = 0; i < cluster->daemon_count; i++) {
        TestCluster_WaitUntilServing(cluster, i);
    }
    print_message("%s: all daemons answer completely after %lld ms\n", title,
                  (long long)(TestClock_GetWallMs() - started_ms));
}

/* Guards against daemons that cannot all start at once with a slow store, or
 * during an outage of it. During the outage no daemon has tables: queries must
 * be refused as not run, and answered when the store is reachable again. */
static void
test_start_of_all_daemons(void **state)
{
    TestCluster cluster;
    TestAnswer answer;
    int64_t started_ms;
    int status;

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    started_ms = restart_daemons(&cluster, "/control?slow_ms=0");
    wait_for_daemons(&cluster, "start, store up", started_ms);
    started_ms = restart_daemons(&cluster, "/control?slow_ms=2000");
    wait_for_daemons(&cluster, "start, store answers in 2 s", started_ms);
    restart_daemons(&cluster, "/control?slow_ms=0&outage=1");
    do {
        TestClock_SleepMs(POLL_MS);
        answer = TestCluster_SendQuery(&cluster, 1, TEST_SEARCH);
        assert_string_not_equal(TestAnswer_GetText(&answer, "status"),
                                "complete");
        if (answer.status != 0) {
            assert_true(json_is_true(json_object_get(answer.json, "not_run")));
        }
        status = answer.status;
        TestAnswer_Release(&answer);
    } while (status == 0);
    started_ms = TestClock_GetWallMs();
    TestCluster_ControlPlatform(&cluster, "/control?outage=0", "");
    wait_for_daemons(&cluster,
                     "start during an outage of the store, after its end",
                     started_ms);
    TestCluster_Stop(&cluster);
}

/* Thread function: sends a query to a new daemon that has no index map yet. */
static void *
send_early_query(void *arg)
{
    TestAnswer *answer = arg;

    *answer = TestCluster_SendQuery(early_query_cluster, 0, TEST_SEARCH);
    return NULL;
}

/* Guards against a daemon that refuses a query because it has no index map
 * yet, although the map is received within the deadline. The backend servers
 * are paused for a second while the daemon starts. */
static void
test_query_before_first_map(void **state)
{
    TestCluster cluster;
    TestAnswer answer = {0, NULL};
    json_int_t revision = 0;
    pthread_t thread;

    (void)state;
    TestCluster_Start(&cluster, 1, 2, 2);
    early_query_cluster = &cluster;
    TestCluster_EndDaemon(&cluster, 0, SIGKILL);
    kill(cluster.backend_pid, SIGSTOP);
    TestCluster_StartDaemon(&cluster, 0);
    while (revision == 0) {
        TestAnswer config = TestHttp_SendRequest(
            cluster.daemons[0].operator_port, "/v1/config", TEST_TOKEN, NULL);

        revision =
            json_integer_value(json_object_get(config.json, "revision"));
        TestAnswer_Release(&config);
        TestClock_SleepMs(POLL_MS);
    }
    assert_int_equal(pthread_create(&thread, NULL, send_early_query, &answer),
                     0);
    TestClock_SleepMs(BACKEND_PAUSE_MS);
    kill(cluster.backend_pid, SIGCONT);
    pthread_join(thread, NULL);
    print_message("query before the first map: %s %s\n",
                  TestAnswer_GetText(&answer, "status"),
                  TestAnswer_GetText(&answer, "reason"));
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
