#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "common-callers.h"
#include "common-process.h"

#define CALLERS 8
#define BOOKINGS 20

/* Asserts that a search is complete, names every shard once, and has payloads
 * of its own shards and version. Prints the answer if it is not complete. */
static void
assert_complete(const TestAnswer *answer, uint32_t groups)
{
    const json_t *parts = json_object_get(answer->json, "parts");
    const json_t *part;
    size_t i, j;

    if (strcmp(TestAnswer_GetText(answer, "status"), "complete") != 0) {
        char *text = json_dumps(answer->json, JSON_COMPACT | JSON_ENCODE_ANY);

        print_message("HTTP status %d: %s\n", answer->status, text);
        free(text);
    }
    assert_string_equal(TestAnswer_GetText(answer, "status"), "complete");
    assert_int_equal(json_array_size(parts), groups);
    json_array_foreach(parts, i, part)
    {
        const char *shard = json_string_value(json_object_get(part, "shard"));
        const json_t *payload = json_object_get(part, "payload");

        assert_string_equal(
            shard, json_string_value(json_object_get(payload, "shard")));
        assert_int_equal(
            json_integer_value(json_object_get(answer->json, "version")),
            json_integer_value(json_object_get(payload, "version")));
        for (j = 0; j < i; j++) {
            assert_string_not_equal(shard,
                                    json_string_value(json_object_get(
                                        json_array_get(parts, j), "shard")));
        }
    }
}

/* Guards against missing, repeated or interchanged shards in the answer to a
 * query, whichever daemon receives the query. */
static void
test_search_through_each_daemon(void **state)
{
    TestCluster cluster;
    uint32_t i;

    (void)state;
    TestCluster_Start(&cluster, 3, 4, 2);
    for (i = 0; i < 60; i++) {
        TestAnswer answer = TestCluster_SendQuery(
            &cluster, i % 3,
            "{\"request_id\":\"r\",\"kind\":\"search\",\"payload\":{}}");

        assert_complete(&answer, 4);
        TestAnswer_Release(&answer);
    }
    TestCluster_Stop(&cluster);
}

/* One copy of a booking, sent through one daemon. */
typedef struct Copy {
    const TestCluster *cluster;
    uint32_t index;
    char body[256];
    char status[16];
} Copy;

/* Thread function: sends a copy and stores the status of its answer. */
static void *
send_copy(void *arg)
{
    Copy *copy = arg;
    TestAnswer answer =
        TestCluster_SendQuery(copy->cluster, copy->index, copy->body);

    snprintf(copy->status, sizeof(copy->status), "%s",
             TestAnswer_GetText(&answer, "status"));
    TestAnswer_Release(&answer);
    return NULL;
}

/* Returns how often the request with an id ran on the backend servers. */
static json_int_t
count_runs(const TestCluster *cluster, const char *request_id)
{
    TestAnswer answer =
        TestHttp_SendRequest(cluster->backend_port, "/control", NULL, NULL);
    json_int_t runs = json_integer_value(
        json_object_get(json_object_get(answer.json, "runs"), request_id));

    TestAnswer_Release(&answer);
    return runs;
}

/* Guards against a non-idempotent request that runs twice when several daemons
 * receive copies of it at once. */
static void
test_booking_runs_once(void **state)
{
    TestCluster cluster;
    uint32_t i, j;

    (void)state;
    TestCluster_Start(&cluster, 3, 2, 2);
    for (i = 0; i < BOOKINGS; i++) {
        Copy copies[3];
        pthread_t threads[3];
        char id[32];
        int done = 0;

        snprintf(id, sizeof(id), "booking-%u", i);
        for (j = 0; j < 3; j++) {
            copies[j].cluster = &cluster;
            copies[j].index = j;
            snprintf(
                copies[j].body, sizeof(copies[j].body),
                "{\"request_id\":\"%s\",\"kind\":\"book\",\"key\":\"%s\","
                "\"payload\":{\"request_id\":\"%s\"},\"expires_ms\":%lld}",
                id, id, id, (long long)TestClock_GetWallMs() + 60000);
            assert_int_equal(
                pthread_create(&threads[j], NULL, send_copy, &copies[j]), 0);
        }
        for (j = 0; j < 3; j++) {
            pthread_join(threads[j], NULL);
            done += strcmp(copies[j].status, "done") == 0;
        }
        assert_int_equal(done, 3);
        assert_int_equal(count_runs(&cluster, id), 1);
    }
    TestCluster_Stop(&cluster);
}

/* Guards against a booking that is refused with a status that makes callers
 * retry, such as 503, although a retry fails until the request is changed: no
 * expiry time, one that is an hour away, or an id that is too long. */
static void
test_booking_fields_are_checked(void **state)
{
    static const char format[] =
        "{\"request_id\":\"%s\",\"kind\":\"book\",\"payload\":{}%s}";
    static const char long_id[] = "0123456789012345678901234567890123456789"
                                  "0123456789012345678901234567890123456789";
    char body[256], expiry[64];
    TestCluster cluster;
    TestAnswer answer;

    (void)state;
    TestCluster_Start(&cluster, 1, 2, 1);
    snprintf(body, sizeof(body), format, "a", "");
    answer = TestCluster_SendQuery(&cluster, 0, body);
    assert_int_equal(answer.status, 400);
    TestAnswer_Release(&answer);
    snprintf(expiry, sizeof(expiry), ",\"expires_ms\":%lld",
             (long long)TestClock_GetWallMs() + 3600000);
    snprintf(body, sizeof(body), format, "a", expiry);
    answer = TestCluster_SendQuery(&cluster, 0, body);
    assert_int_equal(answer.status, 400);
    TestAnswer_Release(&answer);
    snprintf(expiry, sizeof(expiry), ",\"expires_ms\":%lld",
             (long long)TestClock_GetWallMs() + 60000);
    snprintf(body, sizeof(body), format, long_id, expiry);
    answer = TestCluster_SendQuery(&cluster, 0, body);
    assert_int_not_equal(answer.status, 200);
    assert_int_not_equal(answer.status, 503);
    TestAnswer_Release(&answer);
    TestCluster_Stop(&cluster);
}

/* Guards against a refusal that says that a booking has not run although an
 * earlier copy of it may have: only the first copy is known not to have run
 * when a daemon refuses it without asking the owner of its claim. */
static void
test_refusal_allows_for_earlier_copies(void **state)
{
    TestCluster cluster;
    uint32_t attempt;

    (void)state;
    TestCluster_Start(&cluster, 1, 2, 1);
    for (attempt = 1; attempt <= 2; attempt++) {
        TestAnswer answer;
        char body[256];

        snprintf(body, sizeof(body),
                 "{\"request_id\":\"a\",\"kind\":\"gone\",\"payload\":{},"
                 "\"expires_ms\":%lld,\"attempt\":%u}",
                 (long long)TestClock_GetWallMs() + 60000, attempt);
        answer = TestCluster_SendQuery(&cluster, 0, body);
        assert_string_equal(TestAnswer_GetText(&answer, "reason"), "no_route");
        assert_int_equal(json_is_true(json_object_get(answer.json, "not_run")),
                         attempt == 1);
        TestAnswer_Release(&answer);
    }
    TestCluster_Stop(&cluster);
}

/* A caller that sends searches until the stop flag is set, and its counts of
 * answers. */
typedef struct Caller {
    const TestCluster *cluster;
    volatile bool *stop;
    uint32_t index;
    uint32_t complete;
    uint32_t refused;
    uint32_t other;
} Caller;

/* Thread function: sends searches. After a refusal or a closed connection it
 * switches to the next daemon, as callers do. */
static void *
send_searches(void *arg)
{
    Caller *caller = arg;

    while (!__atomic_load_n(caller->stop, __ATOMIC_RELAXED)) {
        TestAnswer answer = TestCluster_SendQuery(
            caller->cluster, caller->index,
            "{\"request_id\":\"r\",\"kind\":\"search\",\"payload\":{}}");
        const char *status = TestAnswer_GetText(&answer, "status");

        if (strcmp(status, "complete") == 0) {
            caller->complete++;
        }
        else if (answer.status == 0 ||
                 (strcmp(status, "refused") == 0 &&
                  json_is_true(json_object_get(answer.json, "not_run")))) {
            caller->refused++;
            caller->index = (caller->index + 1) % 3;
        }
        else {
            caller->other++;
        }
        TestAnswer_Release(&answer);
    }
    return NULL;
}

/* Guards against a graceful shutdown that interrupts or drops a request: every
 * search is answered completely or refused as not run, whether the stopping
 * daemon received it from the caller or schedules its sub-requests. */
static void
test_graceful_shutdown(void **state)
{
    TestCluster cluster;
    Caller callers[CALLERS];
    pthread_t threads[CALLERS];
    bool stop = false;
    uint32_t i, complete = 0;

    (void)state;
    TestCluster_Start(&cluster, 3, 4, 2);
    memset(callers, 0, sizeof(callers));
    for (i = 0; i < CALLERS; i++) {
        callers[i].cluster = &cluster;
        callers[i].index = i % 3;
        callers[i].stop = &stop;
        assert_int_equal(
            pthread_create(&threads[i], NULL, send_searches, &callers[i]), 0);
    }
    TestClock_SleepMs(500);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 1, SIGTERM), 0);
    TestClock_SleepMs(500);
    __atomic_store_n(&stop, true, __ATOMIC_RELAXED);
    for (i = 0; i < CALLERS; i++) {
        pthread_join(threads[i], NULL);
        assert_int_equal(callers[i].other, 0);
        complete += callers[i].complete;
    }
    assert_true(complete > 0);
    print_message("%u searches complete\n", complete);
    TestCluster_Stop(&cluster);
}

/* One query that is open while its daemon exits. */
typedef struct OpenQuery {
    const TestCluster *cluster;
    pthread_t thread;
    char body[256];
    TestAnswer answer;
} OpenQuery;

/* Thread function: sends the query. */
static void *
send_open_query(void *arg)
{
    OpenQuery *query = arg;

    query->answer = TestCluster_SendQuery(query->cluster, 0, query->body);
    return NULL;
}

/* Guards against queries that end without an answer when a second signal, or
 * the limit of the shutdown, makes the daemon exit while servers still work on
 * them. */
static void
test_exit_answers_open_queries(void **state)
{
    OpenQuery queries[2] = {0};
    TestCluster cluster;
    uint32_t i;

    (void)state;
    TestCluster_Start(&cluster, 1, 2, 1);
    for (i = 0; i < 2; i++) {
        TestCluster_ControlServer(&cluster, i, "/control?fault=silent");
    }
    snprintf(queries[0].body, sizeof(queries[0].body),
             "{\"request_id\":\"r\",\"kind\":\"search\",\"payload\":{},"
             "\"deadline_ms\":15000}");
    snprintf(queries[1].body, sizeof(queries[1].body),
             "{\"request_id\":\"b\",\"kind\":\"book\",\"key\":\"k\","
             "\"payload\":{},\"expires_ms\":%lld,\"attempt\":1,"
             "\"deadline_ms\":15000}",
             (long long)TestClock_GetWallMs() + 60000);
    for (i = 0; i < 2; i++) {
        queries[i].cluster = &cluster;
        assert_int_equal(pthread_create(&queries[i].thread, NULL,
                                        send_open_query, &queries[i]),
                         0);
    }
    TestClock_SleepMs(1000);
    assert_int_equal(kill(cluster.daemons[0].pid, SIGTERM), 0);
    TestClock_SleepMs(300);
    assert_int_equal(TestCluster_EndDaemon(&cluster, 0, SIGTERM), 0);
    for (i = 0; i < 2; i++) {
        pthread_join(queries[i].thread, NULL);
        print_message("%s: %d %s %s\n", i == 0 ? "search" : "booking",
                      queries[i].answer.status,
                      TestAnswer_GetText(&queries[i].answer, "status"),
                      TestAnswer_GetText(&queries[i].answer, "reason"));
        assert_int_not_equal(queries[i].answer.status, 0);
        assert_false(
            json_is_true(json_object_get(queries[i].answer.json, "not_run")));
    }
    assert_string_equal(TestAnswer_GetText(&queries[1].answer, "status"),
                        "unknown");
    for (i = 0; i < 2; i++) {
        TestAnswer_Release(&queries[i].answer);
    }
    TestCluster_Stop(&cluster);
}

/* Guards against a cluster that does not recover from the loss of a daemon,
 * and against a daemon that cannot rejoin it after a restart. */
static void
test_loss_and_restart(void **state)
{
    TestCluster cluster;
    int status;

    (void)state;
    TestCluster_Start(&cluster, 3, 4, 2);
    status = TestCluster_EndDaemon(&cluster, 1, SIGKILL);
    assert_true(WIFSIGNALED(status));
    TestCluster_WaitUntilServing(&cluster, 0);
    TestCluster_WaitUntilServing(&cluster, 2);
    TestCluster_StartDaemon(&cluster, 1);
    TestCluster_WaitUntilServing(&cluster, 1);
    TestCluster_Stop(&cluster);
}

/* Guards against queries that fail, or edits that are reported as accepted,
 * while the store is down. */
static void
test_store_outage(void **state)
{
    TestCluster cluster;
    TestAnswer answer;

    (void)state;
    TestCluster_Start(&cluster, 2, 2, 2);
    answer = TestHttp_SendRequest(cluster.platform_port, "/control?outage=1",
                                  NULL, "");
    TestAnswer_Release(&answer);
    answer = TestCluster_SendQuery(
        &cluster, 0,
        "{\"request_id\":\"r\",\"kind\":\"search\",\"payload\":{}}");
    assert_complete(&answer, 2);
    TestAnswer_Release(&answer);
    answer = TestHttp_SendRequest(
        cluster.daemons[0].operator_port, "/v1/tables", TEST_TOKEN,
        "{\"edit_id\":\"e2\",\"operator\":\"test\",\"based_on\":1,"
        "\"summary\":\"x\",\"delete_routes\":[\"one\"]}");
    assert_string_not_equal(TestAnswer_GetText(&answer, "result"), "accepted");
    TestAnswer_Release(&answer);
    TestCluster_Stop(&cluster);
}

/* Guards against an operator listener that answers requests with a wrong
 * token, and against missing endpoints of both listeners. */
static void
test_operator_endpoints(void **state)
{
    static const char *const paths[] = {
        "/v1/tables",      "/v1/status",
        "/v1/members",     "/v1/servers",
        "/v1/connections", "/v1/queues",
        "/v1/claims",      "/v1/config",
        "/v1/burn",        "/v1/explain?kind=search&key=x"};
    TestCluster cluster;
    TestAnswer answer;
    size_t i;

    (void)state;
    TestCluster_Start(&cluster, 1, 2, 2);
    for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        answer = TestHttp_SendRequest(cluster.daemons[0].operator_port,
                                      paths[i], "wrong-token-0000", NULL);
        assert_int_equal(answer.status, 401);
        TestAnswer_Release(&answer);
        answer = TestHttp_SendRequest(cluster.daemons[0].operator_port,
                                      paths[i], TEST_TOKEN, NULL);
        assert_int_equal(answer.status, 200);
        assert_true(json_is_object(answer.json));
        TestAnswer_Release(&answer);
    }
    answer = TestHttp_SendRequest(cluster.daemons[0].caller_port, "/readyz",
                                  NULL, NULL);
    assert_int_equal(answer.status, 200);
    assert_true(json_is_true(json_object_get(answer.json, "ready")));
    TestAnswer_Release(&answer);
    answer = TestHttp_SendRequest(cluster.daemons[0].caller_port,
                                  "/v1/entries", NULL, NULL);
    assert_int_equal(json_array_size(json_object_get(answer.json, "entries")),
                     1);
    TestAnswer_Release(&answer);
    answer = TestCluster_SendQuery(&cluster, 0, "{\"kind\":7}");
    assert_int_equal(answer.status, 400);
    TestAnswer_Release(&answer);
    TestCluster_Stop(&cluster);
}

/* Guards against --check-settings accepting an invalid file or refusing the
 * example settings. */
static void
test_check_settings(void **state)
{
    char *good[] = {"hickoryrouterd", "--check-settings",
                    "examples/settings.json", NULL};
    char *bad[] = {"hickoryrouterd", "--check-settings", "Makefile", NULL};

    (void)state;
    assert_int_equal(TestProcess_Wait(TestProcess_Start("/dev", "null", good)),
                     0);
    assert_int_not_equal(
        TestProcess_Wait(TestProcess_Start("/dev", "null", bad)), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_check_settings),
        cmocka_unit_test(test_operator_endpoints),
        cmocka_unit_test(test_search_through_each_daemon),
        cmocka_unit_test(test_booking_runs_once),
        cmocka_unit_test(test_booking_fields_are_checked),
        cmocka_unit_test(test_refusal_allows_for_earlier_copies),
        cmocka_unit_test(test_graceful_shutdown),
        cmocka_unit_test(test_exit_answers_open_queries),
        cmocka_unit_test(test_loss_and_restart),
        cmocka_unit_test(test_store_outage),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
