#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "common-process.h"

#define SEARCH "{\"request_id\":\"r\",\"kind\":\"search\",\"payload\":{}}"
#define OVERALL_LIMIT_MS 60000
#define POLL_MS 50

/* Sends a control call to the simulated platform. */
static void
control_platform(const TestCluster *cluster, const char *path)
{
    TestAnswer answer =
        TestHttp_SendRequest(cluster->platform_port, path, NULL, "");

    assert_int_equal(answer.status, 200);
    TestAnswer_Release(&answer);
}

/* Sends a control call to a backend server. */
static void
control_server(const TestCluster *cluster, uint32_t index, const char *path)
{
    TestAnswer answer = TestHttp_SendRequest(
        (uint16_t)(cluster->backend_port + index), path, NULL, "");

    assert_int_equal(answer.status, 200);
    TestAnswer_Release(&answer);
}

/* Waits until a daemon has a revision in force. Fails the test after 60 s, or
 * if the daemon has a later revision. */
static void
wait_for_revision(const TestCluster *cluster, uint32_t index,
                  json_int_t revision)
{
    int64_t end_ms = TestClock_GetWallMs() + OVERALL_LIMIT_MS;
    json_int_t in_force = 0;

    while (in_force < revision) {
        TestAnswer answer =
            TestHttp_SendRequest(cluster->daemons[index].operator_port,
                                 "/v1/config", TEST_TOKEN, NULL);

        in_force =
            json_integer_value(json_object_get(answer.json, "revision"));
        TestAnswer_Release(&answer);
        assert_true(TestClock_GetWallMs() < end_ms);
        TestClock_SleepMs(POLL_MS);
    }
    assert_int_equal(in_force, revision);
}

/* Sends an edit to one daemon and returns the answer. */
static TestAnswer
send_edit(const TestCluster *cluster, uint32_t index, const char *text)
{
    return TestHttp_SendRequest(cluster->daemons[index].operator_port,
                                "/v1/tables", TEST_TOKEN, text);
}

/* Guards against an edit that does not come into force on every daemon, and
 * against accepting a second edit of the same row that is based on the older
 * revision. */
static void
test_edit_reaches_every_daemon(void **state)
{
    TestCluster cluster;
    TestAnswer answer;
    uint32_t i;

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    answer = send_edit(&cluster, 1,
                       "{\"edit_id\":\"e2\",\"operator\":\"a\",\"based_on\":1,"
                       "\"summary\":\"x\",\"delete_routes\":[\"one\"]}");
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    TestAnswer_Release(&answer);
    for (i = 0; i < 3; i++) {
        wait_for_revision(&cluster, i, 2);
        answer =
            TestCluster_SendQuery(&cluster, i,
                                  "{\"request_id\":\"r\",\"kind\":\"one\","
                                  "\"key\":\"k\",\"payload\":{}}");
        assert_int_equal(answer.status, 404);
        assert_string_equal(TestAnswer_GetText(&answer, "reason"), "no_route");
        TestAnswer_Release(&answer);
    }
    answer = send_edit(&cluster, 2,
                       "{\"edit_id\":\"e3\",\"operator\":\"b\",\"based_on\":1,"
                       "\"summary\":\"x\",\"delete_routes\":[\"one\"]}");
    assert_string_not_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    TestAnswer_Release(&answer);
    TestCluster_Stop(&cluster);
}

/* Guards against a new daemon that cannot serve while the store is down, and
 * against a booking that runs without a claim. */
static void
test_new_daemon_without_store(void **state)
{
    TestCluster cluster;
    TestAnswer answer;
    char body[256];

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 2, SIGTERM), 0);
    control_platform(&cluster, "/control?outage=1");
    TestCluster_StartDaemon(&cluster, 2);
    TestCluster_WaitUntilServing(&cluster, 2);
    snprintf(body, sizeof(body),
             "{\"request_id\":\"b1\",\"kind\":\"book\",\"key\":\"k\","
             "\"deadline_ms\":2000,\"payload\":{\"request_id\":\"b1\"},"
             "\"expires_ms\":%lld}",
             (long long)TestClock_GetWallMs() + 60000);
    answer = TestCluster_SendQuery(&cluster, 2, body);
    assert_string_equal(TestAnswer_GetText(&answer, "status"), "refused");
    TestAnswer_Release(&answer);
    answer =
        TestHttp_SendRequest(cluster.backend_port, "/control", NULL, NULL);
    assert_int_equal(json_object_size(json_object_get(answer.json, "runs")),
                     0);
    TestAnswer_Release(&answer);
    TestCluster_Stop(&cluster);
}

/* Guards against an answer with parts of two index versions, or with the
 * shards of the wrong version, while the backend servers change from version 7
 * to 8. */
static void
test_repartition_never_mixes_versions(void **state)
{
    TestCluster cluster;
    uint32_t i, complete = 0;
    json_int_t last = 0;

    (void)state;
    TestCluster_Start(&cluster, 2, 3, 2);
    for (i = 0; i < 150; i++) {
        TestAnswer answer = TestCluster_SendQuery(&cluster, i % 2, SEARCH);
        json_int_t version =
            json_integer_value(json_object_get(answer.json, "version"));
        const json_t *parts = json_object_get(answer.json, "parts"), *part;
        size_t j;

        json_array_foreach((json_t *)parts, j, part)
        {
            assert_int_equal(json_integer_value(json_object_get(
                                 json_object_get(part, "payload"), "version")),
                             version);
        }
        if (strcmp(TestAnswer_GetText(&answer, "status"), "complete") == 0) {
            assert_int_equal(json_array_size(parts), version == 8 ? 6 : 3);
            complete++;
            last = version;
        }
        TestAnswer_Release(&answer);
        if (i >= 20 && i < 26) {
            control_server(&cluster, i - 20, "/control?versions=7,8");
        }
        if (i >= 100 && i < 106) {
            control_server(&cluster, i - 100, "/control?versions=8");
        }
        TestClock_SleepMs(20);
    }
    print_message("%u of 150 complete\n", complete);
    assert_true(complete >= 100);
    assert_int_equal(last, 8);
    TestCluster_Stop(&cluster);
}

/* Returns how many requests a backend server has started. */
static json_int_t
count_started_requests(const TestCluster *cluster, uint32_t index)
{
    TestAnswer answer = TestHttp_SendRequest(
        (uint16_t)(cluster->backend_port + index), "/control", NULL, NULL);
    json_int_t started =
        json_integer_value(json_object_get(answer.json, "started"));

    TestAnswer_Release(&answer);
    return started;
}

/* Guards against new requests to a backend server that reports that it is
 * draining. */
static void
test_draining_server_gets_no_requests(void **state)
{
    TestCluster cluster;
    json_int_t before;
    uint32_t i;

    (void)state;
    TestCluster_Start(&cluster, 2, 2, 2);
    control_server(&cluster, 0, "/control?state=draining");
    TestClock_SleepMs(4000);
    before = count_started_requests(&cluster, 0);
    for (i = 0; i < 60; i++) {
        TestAnswer answer = TestCluster_SendQuery(&cluster, i % 2, SEARCH);

        assert_string_equal(TestAnswer_GetText(&answer, "status"), "complete");
        TestAnswer_Release(&answer);
    }
    assert_int_equal(count_started_requests(&cluster, 0), before);
    TestCluster_Stop(&cluster);
}

/* Guards against bookings that run twice because a daemon was paused while
 * other daemons ran them, and against a cluster that waits for the paused
 * daemon. */
static void
test_paused_daemon(void **state)
{
    TestCluster cluster;
    uint32_t i, round;

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    kill(cluster.daemons[1].pid, SIGSTOP);
    TestCluster_WaitUntilServing(&cluster, 0);
    for (i = 0; i < 10; i++) {
        for (round = 0; round < 2; round++) {
            char body[256];
            TestAnswer answer;

            snprintf(body, sizeof(body),
                     "{\"request_id\":\"p%u\",\"kind\":\"book\",\"key\":"
                     "\"%u\",\"payload\":{\"request_id\":\"p%u\"},"
                     "\"expires_ms\":%lld}",
                     i, i, i, (long long)TestClock_GetWallMs() + 60000);
            answer = TestCluster_SendQuery(&cluster, round * 2, body);
            TestAnswer_Release(&answer);
        }
    }
    kill(cluster.daemons[1].pid, SIGCONT);
    TestCluster_WaitUntilServing(&cluster, 1);
    for (i = 0; i < 10; i++) {
        TestAnswer answer =
            TestHttp_SendRequest(cluster.backend_port, "/control", NULL, NULL);
        char id[16];

        snprintf(id, sizeof(id), "p%u", i);
        assert_in_range(json_integer_value(json_object_get(
                            json_object_get(answer.json, "runs"), id)),
                        0, 1);
        TestAnswer_Release(&answer);
    }
    TestCluster_Stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_edit_reaches_every_daemon),
        cmocka_unit_test(test_new_daemon_without_store),
        cmocka_unit_test(test_repartition_never_mixes_versions),
        cmocka_unit_test(test_draining_server_gets_no_requests),
        cmocka_unit_test(test_paused_daemon),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
