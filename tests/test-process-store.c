#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "common-callers.h"

#define POLL_MS 50
#define OVERALL_LIMIT_MS 60000
#define LOAD_MS 2000
#define TABLES_KEY "hickory/tables"

/* Sends an edit that deletes a route to one daemon and returns the answer. */
static TestAnswer
send_edit(const TestCluster *cluster, uint32_t index, const char *edit_id,
          uint64_t based_on, const char *route)
{
    char body[256];

    snprintf(body, sizeof(body),
             "{\"edit_id\":\"%s\",\"operator\":\"test\",\"based_on\":%llu,"
             "\"summary\":\"test\",\"delete_routes\":[\"%s\"]}",
             edit_id, (unsigned long long)based_on, route);
    return TestHttp_SendRequest(cluster->daemons[index].operator_port,
                                "/v1/tables", TEST_TOKEN, body);
}

/* Returns the revision in force on a daemon, or 0 if it does not answer. */
static json_int_t
get_revision_in_force(const TestCluster *cluster, uint32_t index)
{
    TestAnswer answer = TestHttp_SendRequest(
        cluster->daemons[index].operator_port, "/v1/config", TEST_TOKEN, NULL);
    json_int_t revision =
        json_integer_value(json_object_get(answer.json, "revision"));

    TestAnswer_Release(&answer);
    return revision;
}

/* Waits until a daemon has a revision in force. Fails the test after 60 s, or
 * if the daemon has a later revision. */
static void
wait_for_revision(const TestCluster *cluster, uint32_t index,
                  json_int_t revision)
{
    int64_t end_ms = TestClock_GetWallMs() + OVERALL_LIMIT_MS;

    while (get_revision_in_force(cluster, index) < revision) {
        assert_true(TestClock_GetWallMs() < end_ms);
        TestClock_SleepMs(POLL_MS);
    }
    assert_int_equal(get_revision_in_force(cluster, index), revision);
}

/* Guards against queries that wait for the store, edits that are lost or
 * wrongly reported as accepted, and bookings that run without a claim, during
 * an outage of the store under load. */
static void
test_outage_under_load(void **state)
{
    const TestCallersConfig searches = {.count = 3, .pause_ms = 10};
    const TestCallersConfig bookings = {.count = 1,
                                        .send_bookings = true,
                                        .pause_ms = 10,
                                        .deadline_ms = 1500};
    TestCluster cluster;
    TestCallers *callers, *booking_callers;
    TestTally tally;
    TestAnswer answer;

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    callers = TestCallers_Start(&cluster, &searches);
    TestClock_SleepMs(POLL_MS);
    TestCluster_ControlPlatform(&cluster, "/control?outage=1", "");
    booking_callers = TestCallers_Start(&cluster, &bookings);
    TestClock_SleepMs(LOAD_MS);
    answer = send_edit(&cluster, 1, "outage", 1, "one");
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "refused");
    TestAnswer_Release(&answer);
    tally = TestCallers_Stop(booking_callers, "bookings in an outage");
    assert_int_equal(tally.done, 0);
    assert_int_equal(tally.unknown, 0);
    assert_true(tally.refused_not_run > 0);
    assert_int_equal(tally.refused, 0);
    TestCluster_ControlPlatform(&cluster, "/control?outage=0", "");
    tally = TestCallers_Stop(callers, "queries in an outage");
    answer = send_edit(&cluster, 1, "outage", 1, "one");
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    TestAnswer_Release(&answer);
    wait_for_revision(&cluster, 0, 2);
    wait_for_revision(&cluster, 2, 2);
    assert_true(tally.complete > 0);
    assert_int_equal(tally.partial, 0);
    TestCluster_Stop(&cluster);
}

/* Guards against an edit that is reported as failed, or applied twice, when
 * the store's reply to the write is lost, and against a booking that runs
 * twice or not at all when the store's reply to its claim is lost. */
static void
test_lost_replies(void **state)
{
    TestCluster cluster;
    TestAnswer answer;
    json_t *runs;

    (void)state;
    TestCluster_Start(&cluster, 2, 2, 2);
    TestCluster_ControlPlatform(&cluster, "/control?lose_replies=1", "");
    answer = send_edit(&cluster, 0, "lost-1", 1, "one");
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    assert_int_equal(
        json_integer_value(json_object_get(answer.json, "revision")), 2);
    TestAnswer_Release(&answer);
    answer = send_edit(&cluster, 1, "lost-1", 1, "one");
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    assert_int_equal(
        json_integer_value(json_object_get(answer.json, "revision")), 2);
    TestAnswer_Release(&answer);
    TestCluster_ControlPlatform(&cluster, "/control?lose_replies=1", "");
    answer = TestCluster_SendBooking(&cluster, 0, "claim-1", 1, 10000);
    assert_string_equal(TestAnswer_GetText(&answer, "status"), "done");
    TestAnswer_Release(&answer);
    answer = TestCluster_SendBooking(&cluster, 1, "claim-1", 2, 10000);
    assert_string_equal(TestAnswer_GetText(&answer, "status"), "done");
    TestAnswer_Release(&answer);
    runs = TestCluster_GetRunCounts(&cluster);
    assert_int_equal(json_integer_value(json_object_get(runs, "claim-1")), 1);
    json_decref(runs);
    TestCluster_Stop(&cluster);
}

/* Guards against tables that are lost or replaced when the store does not have
 * them any more. Until a restore, queries must be served and edits refused,
 * also by a daemon that has just started and has no message from the others
 * yet. */
static void
test_store_comes_back_empty(void **state)
{
    TestCluster cluster;
    TestAnswer answer;
    char *first_edit;
    uint32_t i;

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    first_edit = TestCluster_BuildFirstEdit(&cluster, "empty-2");
    TestCluster_ControlPlatform(&cluster, "/control/erase", TABLES_KEY);
    answer = send_edit(&cluster, 0, "empty-1", 1, "one");
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "refused");
    TestAnswer_Release(&answer);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 2, SIGTERM), 0);
    TestCluster_StartDaemon(&cluster, 2);
    do {
        answer = TestHttp_SendRequest(cluster.daemons[2].operator_port,
                                      "/v1/tables", TEST_TOKEN, first_edit);
        assert_string_not_equal(TestAnswer_GetText(&answer, "result"),
                                "accepted");
        i = (uint32_t)answer.status;
        TestAnswer_Release(&answer);
    } while (i == 0);
    free(first_edit);
    for (i = 0; i < 3; i++) {
        TestCluster_WaitUntilServing(&cluster, i);
        assert_int_equal(get_revision_in_force(&cluster, i), 1);
    }
    answer = TestHttp_SendRequest(
        cluster.daemons[0].operator_port, "/v1/tables/restore", TEST_TOKEN,
        "{\"edit_id\":\"r1\",\"operator\":\"test\"}");
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    TestAnswer_Release(&answer);
    answer = send_edit(&cluster, 0, "empty-3", 1, "one");
    assert_string_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    TestAnswer_Release(&answer);
    TestCluster_Stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_outage_under_load),
        cmocka_unit_test(test_lost_replies),
        cmocka_unit_test(test_store_comes_back_empty),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
