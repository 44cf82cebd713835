#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "common-callers.h"

#define LOAD_MS 1500
#define LEAVING_LIMIT_MS 6000
#define OPERATORS 2
#define EDIT_ROUNDS 5

/* Guards against missing shards and bookings that run twice while one of two
 * replicas of a group has a fault. Injects each fault of fake-backend in turn.
 * The other replica can answer every query. */
static void
test_each_fault_of_a_replica(void **state)
{
    static const char *const faults[] = {"late",     "truncated",     "lost",
                                         "wrong_id", "wrong_version", "shed",
                                         "error",    "silent"};
    const TestCallersConfig config = {
        .count = 4, .send_bookings = true, .pause_ms = 5};
    TestCluster cluster;
    size_t i;

    (void)state;
    TestCluster_Start(&cluster, 2, 3, 2);
    for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        char path[64];
        TestCallers *callers;
        TestTally tally;

        snprintf(path, sizeof(path), "/control?fault=%s", faults[i]);
        TestCluster_ControlServer(&cluster, 0, path);
        callers = TestCallers_Start(&cluster, &config);
        TestClock_SleepMs(LOAD_MS);
        TestCluster_ControlServer(&cluster, 0, "/control?fault=none");
        tally = TestCallers_Stop(callers, faults[i]);
        assert_true(tally.complete > 0);
        assert_int_equal(tally.partial, 0);
        assert_int_equal(tally.late, 0);
        assert_int_equal(tally.no_answer, 0);
    }
    TestCluster_Stop(&cluster);
}

/* One of several operators that send an edit at the same time. */
typedef struct Operator {
    const TestCluster *cluster;
    uint32_t index;
    uint32_t round;
    char result[16];
} Operator;

/* Thread function: sends an edit of the row that the other operator edits too,
 * and stores its result. */
static void *
send_edit(void *arg)
{
    Operator *sender = arg;
    TestAnswer answer;
    char body[512];

    snprintf(body, sizeof(body),
             "{\"edit_id\":\"o%u-%u\",\"operator\":\"o%u\",\"based_on\":%u,"
             "\"summary\":\"x\",\"set_routes\":[{\"name\":\"one\",\"kind\":"
             "\"one\",\"pool\":\"pool\",\"priority\":%u,\"finish\":\"single\","
             "\"enough_percent\":100,\"idempotent\":true,"
             "\"default_deadline_ms\":%u,\"max_deadline_ms\":20000,"
             "\"caller_share_percent\":100,\"objective_latency_ms\":50,"
             "\"objective_latency_target\":0.99,"
             "\"objective_coverage_target\":0.99}]}",
             sender->index, sender->round, sender->index, sender->round + 1,
             sender->index, 4000 + 10 * sender->round + sender->index);
    answer = TestHttp_SendRequest(
        sender->cluster->daemons[sender->index].operator_port, "/v1/tables",
        TEST_TOKEN, body);
    snprintf(sender->result, sizeof(sender->result), "%s",
             TestAnswer_GetText(&answer, "result"));
    TestAnswer_Release(&answer);
    return NULL;
}

/* Guards against accepting both of two edits that change the same row at once
 * through two daemons: exactly one must be accepted and the other reported as
 * a conflict. */
static void
test_conflicting_edits_of_two_operators(void **state)
{
    TestCluster cluster;
    uint32_t round, i;

    (void)state;
    TestCluster_Start(&cluster, 2, 2, 2);
    for (round = 0; round < EDIT_ROUNDS; round++) {
        Operator operators[OPERATORS];
        pthread_t threads[OPERATORS];
        uint32_t accepted = 0, conflicts = 0;

        for (i = 0; i < OPERATORS; i++) {
            operators[i] = (Operator){&cluster, i, round, ""};
            assert_int_equal(
                pthread_create(&threads[i], NULL, send_edit, &operators[i]),
                0);
        }
        for (i = 0; i < OPERATORS; i++) {
            pthread_join(threads[i], NULL);
            accepted += strcmp(operators[i].result, "accepted") == 0;
            conflicts += strcmp(operators[i].result, "conflict") == 0;
        }
        assert_int_equal(accepted, 1);
        assert_int_equal(conflicts, OPERATORS - 1);
    }
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

/* Sends the edit that marks the first backend server as leaving. */
static void
mark_server_leaving(const TestCluster *cluster)
{
    char *text = TestCluster_BuildFirstEdit(cluster, "leaving");
    json_t *edit = json_loads(text, 0, NULL);
    json_t *server = json_array_get(
        json_object_get(json_array_get(json_object_get(edit, "set_pools"), 0),
                        "servers"),
        0);
    TestAnswer answer;

    free(text);
    json_object_del(edit, "set_routes");
    json_object_set_new(edit, "based_on", json_integer(1));
    json_object_set_new(server, "leaving", json_true());
    text = json_dumps(edit, JSON_COMPACT);
    answer = TestHttp_SendRequest(cluster->daemons[1].operator_port,
                                  "/v1/tables", TEST_TOKEN, text);
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    TestAnswer_Release(&answer);
    free(text);
    json_decref(edit);
}

/* Guards against new requests to a backend server more than 6 s after an edit
 * has marked it as leaving, under load through every daemon. */
static void
test_leaving_server_gets_no_requests(void **state)
{
    const TestCallersConfig config = {
        .count = 4, .send_bookings = true, .pause_ms = 5};
    TestCluster cluster;
    TestCallers *callers;
    TestTally tally;
    json_int_t before;

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    callers = TestCallers_Start(&cluster, &config);
    TestClock_SleepMs(LOAD_MS);
    assert_true(count_started_requests(&cluster, 0) > 0);
    mark_server_leaving(&cluster);
    TestClock_SleepMs(LEAVING_LIMIT_MS);
    before = count_started_requests(&cluster, 0);
    TestClock_SleepMs(LOAD_MS);
    assert_int_equal(count_started_requests(&cluster, 0), before);
    tally = TestCallers_Stop(callers, "server marked leaving");
    assert_int_equal(tally.partial, 0);
    assert_int_equal(tally.unknown, 0);
    TestCluster_Stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_each_fault_of_a_replica),
        cmocka_unit_test(test_conflicting_edits_of_two_operators),
        cmocka_unit_test(test_leaving_server_gets_no_requests),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
