#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common-process.h"
#include "common-site.h"

#define SERVICES 5 /* four shards of /wide/, and the service of /once/ */
#define REPLICAS 3

static TestSite site;

/* Starts the site that all tests of this program share. */
static int
start_shared_site(void **state)
{
    (void)state;
    TestSite_Start(&site, 2, SERVICES, REPLICAS);
    return 0;
}

/* Stops the shared site. */
static int
stop_shared_site(void **state)
{
    (void)state;
    TestSite_Stop(&site);
    return 0;
}

/* Sends a request that the gateway forwards to every shard. */
static TestReply
send_search(uint32_t gateway, const char *id)
{
    return TestSite_SendRequest(&site, gateway, "GET", "/wide/q?x=%2f", id, "",
                                "");
}

/* Sends a request to the route /once/, which must run at most once. */
static TestReply
send_once_request(uint32_t gateway, const char *id)
{
    return TestSite_SendRequest(&site, gateway, "POST", "/once/a%20b?c=d", id,
                                "", "body");
}

/* Sends requests to a path until one gets a status. Fails the test if none has
 * got it after 20 s. */
static void
wait_for_status(uint32_t gateway, const char *target, int status)
{
    int64_t end_ms = TestClock_GetWallMs() + 20000;

    for (;;) {
        TestReply reply = TestSite_SendRequest(&site, gateway, "GET", target,
                                               "probe", "", "");

        if (reply.status == status) {
            return;
        }
        assert_true(TestClock_GetWallMs() < end_ms);
        TestClock_SleepMs(20);
    }
}

/* Guards against an answer without all parts, with a wrong digest of a part,
 * or with records other than the greatest ones in descending order. */
static void
test_answers_of_all_shards_are_merged(void **state)
{
    TestReply reply = send_search(0, "w1");
    const char *at = reply.text;
    uint32_t parts = 0;
    char value[64];

    (void)state;
    assert_int_equal(reply.status, 200);
    while ((at = strstr(at, "Hickoryrouter-Part-Seals: seal-w1-")) != NULL) {
        parts++;
        at++;
    }
    assert_int_equal(parts, SERVICES - 1);
    assert_string_equal(TestReply_FindHeader(&reply,
                                             "Hickoryrouter-Missing-Parts",
                                             value, sizeof(value)),
                        "0");
    assert_int_equal(reply.body_bytes, 64);
    assert_memory_equal(reply.text + reply.head_bytes,
                        "record-03-02-02.record-03-01-01."
                        "record-03-00-00.record-02-02-02.",
                        64);
}

/* Guards against a forwarded request whose target is decoded or has no query
 * string any more, or whose body, digest or id is missing. */
static void
test_single_request_is_passed_unchanged(void **state)
{
    TestReply reply = send_once_request(1, "o1");
    char value[128];

    (void)state;
    assert_int_equal(reply.status, 200);
    assert_string_equal(
        TestReply_FindHeader(&reply, "X-Target", value, sizeof(value)),
        "POST /once/a%20b?c=d");
    assert_string_equal(
        TestReply_FindHeader(&reply, "X-Body-Bytes", value, sizeof(value)),
        "4");
    assert_string_equal(TestReply_FindHeader(&reply,
                                             "Hickoryrouter-Response-Seal",
                                             value, sizeof(value)),
                        "seal-o1-4");
    assert_int_equal(TestSite_CountRuns(&site, "o1"), 1);
}

/* Guards against forwarding a request that matches no route, and against
 * accepting malformed requests or header lines and bodies above the limits. */
static void
test_bad_requests_get_a_clear_status(void **state)
{
    char value[20000];
    TestReply reply;
    int fd;

    (void)state;
    reply = TestSite_SendRequest(&site, 0, "GET", "/nowhere/x", "n1", "", "");
    assert_int_equal(reply.status, 404);
    assert_int_equal(TestSite_CountRuns(&site, "n1"), 0);
    fd = TestSocket_Connect(site.gateways[0].caller_port);
    memset(value, 'a', sizeof(value) - 1);
    value[sizeof(value) - 1] = '\0';
    TestSocket_WriteText(fd, "GET /wide/q HTTP/1.1\r\nX: ");
    TestSocket_WriteText(fd, value);
    TestSocket_WriteText(fd, "\r\n\r\n");
    assert_int_equal(TestSocket_ReadReply(fd).status, 431);
    close(fd);
    fd = TestSocket_Connect(site.gateways[0].caller_port);
    TestSocket_WriteText(fd, "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
                             "Content-Length: 99999999\r\n\r\n");
    assert_int_equal(TestSocket_ReadReply(fd).status, 413);
    close(fd);
    fd = TestSocket_Connect(site.gateways[0].caller_port);
    TestSocket_WriteText(fd, "NONSENSE\r\n\r\n");
    assert_int_equal(TestSocket_ReadReply(fd).status, 400);
    close(fd);
    fd = TestSocket_Connect(site.gateways[0].caller_port);
    TestSocket_WriteText(fd,
                         "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
                         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n0\r\n\r\n");
    assert_int_equal(TestSocket_ReadReply(fd).status, 400);
    close(fd);
    fd = TestSocket_Connect(site.gateways[0].caller_port);
    TestSocket_WriteText(fd, "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
                             "Hickoryrouter-Request-Id: coded\r\n"
                             "Transfer-Encoding: gzip, chunked\r\n"
                             "\r\n1\r\na\r\n0\r\n\r\n");
    assert_int_equal(TestSocket_ReadReply(fd).status, 501);
    close(fd);
    assert_int_equal(TestSite_CountRuns(&site, "coded"), 0);
}

/* Guards against answers that are missing or in the wrong order when a caller
 * sends several requests at once on one connection. */
static void
test_pipelined_requests_are_answered_in_order(void **state)
{
    int fd = TestSocket_Connect(site.gateways[0].caller_port);
    char text[1024];
    uint32_t i;

    (void)state;
    for (i = 0; i < 3; i++) {
        snprintf(text, sizeof(text),
                 "GET /%s/p HTTP/1.1\r\nHost: site.example\r\n"
                 "Hickoryrouter-Request-Id: pipe%u\r\n\r\n",
                 i == 1 ? "once" : "wide", i);
        TestSocket_WriteText(fd, text);
    }
    for (i = 0; i < 3; i++) {
        TestReply reply = TestSocket_ReadReply(fd);

        assert_int_equal(reply.status, 200);
        snprintf(text, sizeof(text), "seal-pipe%u-", i);
        assert_non_null(strstr(reply.text, text));
    }
    close(fd);
}

/* Guards against a second run of a request that must run at most once when its
 * answer is lost, and against a status 503, which means that it did not run,
 * for a request that ran. */
static void
test_lost_answer_is_not_repeated(void **state)
{
    TestReply reply;

    (void)state;
    TestSite_SetServiceMode(&site, SERVICES - 1, "silent");
    reply = send_once_request(0, "lost1");
    assert_int_equal(reply.status, 504);
    assert_int_equal(TestSite_CountRuns(&site, "lost1"), 1);
    TestSite_SetServiceMode(&site, SERVICES - 1, "error");
    reply = send_once_request(0, "lost2");
    assert_int_equal(reply.status, 500);
    assert_int_equal(TestSite_CountRuns(&site, "lost2"), 1);
    TestSite_SetServiceMode(&site, SERVICES - 1, "shed");
    reply = send_once_request(0, "lost3");
    assert_int_equal(reply.status, 503);
    assert_int_equal(TestSite_CountRuns(&site, "lost3"), 0);
    TestSite_SetServiceMode(&site, SERVICES - 1, "ok");
    assert_int_equal(send_once_request(0, "lost4").status, 200);
}

/* Guards against a status 503, which promises the caller that its request has
 * not run, that a server sent without stating so. */
static void
test_busy_server_promises_nothing(void **state)
{
    (void)state;
    TestSite_SetServiceMode(&site, SERVICES - 1, "busy");
    assert_int_equal(send_once_request(0, "busy1").status, 502);
    assert_int_equal(TestSite_CountRuns(&site, "busy1"), 1);
    TestSite_SetServiceMode(&site, SERVICES - 1, "ok");
    assert_int_equal(send_once_request(0, "busy2").status, 200);
}

/* Guards against a server's answer with a status that HTTP does not define,
 * such as 000, that reaches the caller as an answer or as a part of one. */
static void
test_undefined_status_is_no_answer(void **state)
{
    static const int statuses[] = {0, 99, 600, 999};
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
        char mode[16], id[16], value[64];
        TestReply reply;

        snprintf(mode, sizeof(mode), "status-%d", statuses[i]);
        snprintf(id, sizeof(id), "odd%d", statuses[i]);
        TestSite_SetServiceMode(&site, SERVICES - 1, mode);
        assert_int_equal(send_once_request(0, id).status, 502);
        assert_int_equal(TestSite_CountRuns(&site, id), 1);
        TestSite_SetServiceMode(&site, SERVICES - 1, "ok");

        TestSite_SetServiceMode(&site, 1, mode);
        snprintf(id, sizeof(id), "part%d", statuses[i]);
        reply = send_search(0, id);
        TestSite_SetServiceMode(&site, 1, "ok");
        assert_int_equal(reply.status, 200);
        assert_string_equal(TestReply_FindHeader(&reply,
                                                 "Hickoryrouter-Missing-Parts",
                                                 value, sizeof(value)),
                            "1");
    }
}

/* Returns a count of one server: "runs" or "declined". */
static int64_t
count_at_server(uint32_t service, uint32_t replica, const char *field)
{
    char target[64];

    snprintf(target, sizeof(target), "/test/runs?id=i-%u-%u", service,
             replica);
    return TestSite_SendControl(&site, target, field);
}

/* Guards against requests to a server after it has stated in an answer that it
 * is leaving, although the list shows it as ready. The server makes no such
 * statement later, so it stays out of use until the gateway is restarted. */
static void
test_leaving_server_is_left_alone(void **state)
{
    int64_t runs;
    uint32_t i;
    char id[32];

    (void)state;
    TestSite_SendControl(&site, "/test/server?id=i-2-0&mode=leave", "");
    runs = count_at_server(2, 0, "runs");
    for (i = 0; i < 200 && count_at_server(2, 0, "runs") == runs; i++) {
        snprintf(id, sizeof(id), "leave-%u", i);
        assert_int_equal(send_search(0, id).status, 200);
    }
    TestSite_SendControl(&site, "/test/server?id=i-2-0&mode=ok", "");
    runs = count_at_server(2, 0, "runs");
    TestClock_SleepMs(1500);
    for (i = 0; i < 60; i++) {
        snprintf(id, sizeof(id), "left-%u", i);
        assert_int_equal(send_search(0, id).status, 200);
    }
    assert_int_equal(count_at_server(2, 0, "runs"), runs);
    assert_int_equal(TestSite_EndGateway(&site, 0, SIGKILL), SIGKILL);
    TestSite_StartGateway(&site, 0);
    TestSite_WaitForGateway(&site, 0);
}

/* Guards against requests to servers that want none for 1.5 s, and against a
 * caller that is kept waiting, or told to return before the pause ends. */
static void
test_paused_servers_get_no_requests(void **state)
{
    int64_t declined = 0, started_ms;
    TestReply reply;
    char value[32];
    uint32_t i;

    (void)state;
    TestSite_SetServiceMode(&site, SERVICES - 1, "pause");
    /* Each refusal pauses one or more of the servers. */
    for (i = 0; i < REPLICAS; i++) {
        reply = send_once_request(0, "paused");
        assert_int_equal(reply.status, 503);
    }
    for (i = 0; i < REPLICAS; i++) {
        declined += count_at_server(SERVICES - 1, i, "declined");
    }
    started_ms = TestClock_GetWallMs();
    for (i = 0; i < 10; i++) {
        reply = send_once_request(0, "refused");
        assert_int_equal(reply.status, 503);
        TestReply_FindHeader(&reply, "Retry-After", value, sizeof(value));
        assert_true(strtod(value, NULL) > 0.2);
    }
    assert_true(TestClock_GetWallMs() - started_ms < 1000);
    for (i = 0; i < REPLICAS; i++) {
        declined -= count_at_server(SERVICES - 1, i, "declined");
    }
    assert_int_equal(declined, 0);
    TestSite_SetServiceMode(&site, SERVICES - 1, "ok");
    TestClock_SleepMs(1600);
    assert_int_equal(send_once_request(0, "resumed").status, 200);
}

/* Guards against an answer that does not report the part of a failed shard as
 * missing, and against waiting for a shard that cannot answer. */
static void
test_missing_shard_is_reported(void **state)
{
    TestReply reply;
    char value[64];

    (void)state;
    TestSite_SetServiceMode(&site, 1, "error");
    reply = send_search(0, "m1");
    TestSite_SetServiceMode(&site, 1, "ok");
    assert_int_equal(reply.status, 200);
    assert_string_equal(TestReply_FindHeader(&reply,
                                             "Hickoryrouter-Missing-Parts",
                                             value, sizeof(value)),
                        "1");
    assert_null(strstr(reply.text, "seal-m1-1"));
}

/* Guards against a new version of the routes that does not come into force,
 * also when the store has discarded the history of its changes. */
static void
test_new_routes_come_into_force(void **state)
{
    (void)state;
    wait_for_status(0, "/extra/x", 404);
    TestSite_SendControl(&site, "/test/routes?mode=extra", "version");
    wait_for_status(0, "/extra/x", 200);
    wait_for_status(1, "/extra/x", 200);
    TestSite_SendControl(&site, "/test/store?mode=forget", "");
    TestSite_SendControl(&site, "/test/routes?mode=plain", "version");
    wait_for_status(0, "/extra/x", 404);
    wait_for_status(1, "/extra/x", 404);
}

/* Guards against new requests to servers that leave: of each service's three
 * replicas, one drains and one is removed from the list of servers. */
static void
test_leaving_servers_get_no_requests(void **state)
{
    int64_t before, after;
    uint32_t i;

    (void)state;
    for (i = 0; i < SERVICES; i++) {
        char target[64];

        snprintf(target, sizeof(target), "/test/server?id=i-%u-0&mode=drain",
                 i);
        TestSite_SendControl(&site, target, "");
        snprintf(target, sizeof(target), "/test/server?id=i-%u-1&mode=remove",
                 i);
        TestSite_SendControl(&site, target, "");
    }
    TestClock_SleepMs(3000);
    before = TestSite_SendControl(&site, "/test/runs?id=i-0-0", "runs") +
             TestSite_SendControl(&site, "/test/runs?id=i-0-1", "runs");
    for (i = 0; i < 30; i++) {
        assert_int_equal(send_search(i % 2, "drained").status, 200);
    }
    after = TestSite_SendControl(&site, "/test/runs?id=i-0-0", "runs") +
            TestSite_SendControl(&site, "/test/runs?id=i-0-1", "runs");
    assert_int_equal(after, before);
}

/* Guards against gateways that stop serving while the store is busy or silent,
 * for example by answering 404 because they have no routes. */
static void
test_store_outage(void **state)
{
    (void)state;
    TestSite_SendControl(&site, "/test/store?mode=busy", "");
    TestClock_SleepMs(1500);
    assert_int_equal(send_search(0, "outage1").status, 200);
    TestSite_SendControl(&site, "/test/store?mode=silent", "");
    TestClock_SleepMs(2500);
    assert_int_equal(send_search(0, "outage2").status, 200);
    assert_int_equal(send_once_request(1, "outage3").status, 200);
    TestSite_SendControl(&site, "/test/store?mode=ok", "");
    TestClock_SleepMs(500);
    assert_int_equal(send_search(1, "outage4").status, 200);
}

/* Guards against a graceful stop that interrupts a request, and against a
 * directory that still lists a gateway that is stopping. */
static void
test_graceful_stop(void **state)
{
    TestAnswer answer;
    int64_t end_ms = TestClock_GetWallMs() + 10000;
    size_t count = 0;
    int fd = TestSocket_Connect(site.gateways[1].caller_port);

    (void)state;
    kill(site.gateways[1].pid, SIGTERM);
    TestClock_SleepMs(300);
    TestSocket_WriteText(fd, "GET /wide/q HTTP/1.1\r\nHost: site.example\r\n"
                             "Hickoryrouter-Request-Id: stop1\r\n\r\n");
    assert_int_equal(TestSocket_ReadReply(fd).status, 200);
    close(fd);
    assert_int_equal(send_search(1, "stop2").status, 200);
    do {
        answer = TestHttp_SendRequest(site.gateways[0].directory_port,
                                      "/api/resolution?name=x&region=r&zone=a",
                                      NULL, NULL);
        count = json_array_size(json_object_get(answer.json, "addrs"));
        TestAnswer_Release(&answer);
        assert_true(TestClock_GetWallMs() < end_ms);
    } while (count != 1);
    assert_int_equal(TestProcess_Wait(site.gateways[1].pid), 0);
    site.gateways[1].pid = 0;
    TestSite_StartGateway(&site, 1);
    TestSite_WaitForGateway(&site, 1);
}

/* Guards against a gateway that exits while a request is open: a request that
 * is received at any time before the listener closes must be answered. A
 * request that was accepted 3.5 s after SIGTERM once got no answer. */
static void
test_stop_waits_for_late_requests(void **state)
{
    int fd = TestSocket_Connect(site.gateways[1].caller_port);

    (void)state;
    TestSite_SetServiceMode(&site, SERVICES - 1, "slow");
    kill(site.gateways[1].pid, SIGTERM);
    TestClock_SleepMs(3200);
    TestSocket_WriteText(fd, "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
                             "Hickoryrouter-Request-Id: late1\r\n"
                             "Content-Length: 0\r\n\r\n");
    assert_int_equal(TestSocket_ReadReply(fd).status, 200);
    close(fd);
    TestSite_SetServiceMode(&site, SERVICES - 1, "ok");
    assert_int_equal(TestProcess_Wait(site.gateways[1].pid), 0);
    TestSite_StartGateway(&site, 1);
    TestSite_WaitForGateway(&site, 1);
}

/* Guards against a killed gateway that does not serve after its restart, or
 * that the directory does not list again. */
static void
test_killed_gateway_is_listed_after_restart(void **state)
{
    int64_t end_ms = TestClock_GetWallMs() + 15000;
    size_t count = 0;

    (void)state;
    TestSite_EndGateway(&site, 1, SIGKILL);
    assert_int_equal(send_search(0, "killed1").status, 200);
    TestSite_StartGateway(&site, 1);
    TestSite_WaitForGateway(&site, 1);
    assert_int_equal(send_search(1, "killed2").status, 200);
    do {
        TestAnswer answer = TestHttp_SendRequest(
            site.gateways[0].directory_port,
            "/api/resolution?name=x&region=r&zone=a", NULL, NULL);

        count = json_array_size(json_object_get(answer.json, "addrs"));
        TestAnswer_Release(&answer);
        assert_true(TestClock_GetWallMs() < end_ms);
    } while (count != 2);
}

/* Guards against a gateway that cannot start while the store is unreachable
 * although another gateway has the routes and servers, and against a gateway
 * that uses older routes again after it has replaced them. */
static void
test_restart_without_the_store(void **state)
{
    (void)state;
    TestSite_SendControl(&site, "/test/routes?mode=extra", "version");
    wait_for_status(0, "/extra/x", 200);
    TestSite_SendControl(&site, "/test/store?mode=silent", "");
    TestSite_EndGateway(&site, 1, SIGKILL);
    TestSite_StartGateway(&site, 1);
    TestSite_WaitForGateway(&site, 1);
    assert_int_equal(
        TestSite_SendRequest(&site, 1, "GET", "/extra/x", "peer1", "", "")
            .status,
        200);
    assert_int_equal(send_search(1, "peer2").status, 200);
    TestSite_SendControl(&site, "/test/store?mode=ok", "");
    TestSite_SendControl(&site, "/test/routes?mode=plain", "version");
    wait_for_status(0, "/extra/x", 404);
    wait_for_status(1, "/extra/x", 404);
}

/* Returns the value of a metric of a gateway, or 0 if it has no such metric.
 * name ends with the space before the value. */
static uint64_t
read_metric(uint32_t gateway, const char *name)
{
    int fd = TestSocket_Connect(site.gateways[gateway].metrics_port);
    TestReply reply;
    const char *line;

    TestSocket_WriteText(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    reply = TestSocket_ReadReply(fd);
    close(fd);
    assert_int_equal(reply.status, 200);
    line = strstr(reply.text, name);
    return line != NULL ? strtoull(line + strlen(name), NULL, 10) : 0;
}

/* Guards against a gateway that treats the hellos that were queued in its
 * socket during a pause as new. Such a gateway regarded its old list of
 * servers as current and passed it on to the other gateways, which then sent
 * requests to drained and removed servers. */
static void
test_resumed_gateway_drops_old_hellos(void **state)
{
    uint64_t pauses = read_metric(1, "hickory_pauses ");
    uint64_t dropped = read_metric(1, "hickory_hello_dropped ");

    (void)state;
    kill(site.gateways[1].pid, SIGSTOP);
    TestClock_SleepMs(2500);
    kill(site.gateways[1].pid, SIGCONT);
    assert_int_equal(send_search(1, "thawed").status, 200);
    assert_int_equal(read_metric(1, "hickory_pauses "), pauses + 1);
    /* The other gateway sends one every 300 ms, about 8 in the pause. */
    assert_true(read_metric(1, "hickory_hello_dropped ") >= dropped + 5);
}

/* Guards against statements of servers about their load and cold time that are
 * not read, and against invalid ones that are not counted. Also guards against
 * attempts that are not counted by zone. */
static void
test_load_and_cold_time_are_read(void **state)
{
    uint64_t load = read_metric(1, "hickory_answers_load ");
    uint64_t cold = read_metric(1, "hickory_answers_cold ");
    uint64_t bad = read_metric(1, "hickory_answers_bad_fields ");
    uint64_t attempts = read_metric(1, "hickory_forward_inside_zone ") +
                        read_metric(1, "hickory_forward_outside_zone ");

    (void)state;
    TestSite_SetServiceMode(&site, 1, "load");
    assert_int_equal(send_search(1, "load1").status, 200);
    /* A hedge on a busy machine adds further answers. */
    assert_true(read_metric(1, "hickory_answers_load ") >= load + 1);
    assert_true(read_metric(1, "hickory_answers_cold ") >= cold + 1);
    assert_int_equal(read_metric(1, "hickory_answers_bad_fields "), bad);
    TestSite_SetServiceMode(&site, 1, "garble");
    assert_int_equal(send_search(1, "load2").status, 200);
    TestSite_SetServiceMode(&site, 1, "ok");
    assert_true(read_metric(1, "hickory_answers_bad_fields ") >= bad + 2);
    assert_true(read_metric(1, "hickory_forward_inside_zone ") +
                    read_metric(1, "hickory_forward_outside_zone ") >=
                attempts + 2 * ((uint64_t)SERVICES - 1));
}

/* Guards against a metrics listener that does not report the counter of
 * complete queries. */
static void
test_metrics_list_complete_queries(void **state)
{
    int fd = TestSocket_Connect(site.gateways[0].metrics_port);
    TestReply reply;

    (void)state;
    TestSocket_WriteText(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    reply = TestSocket_ReadReply(fd);
    close(fd);
    assert_int_equal(reply.status, 200);
    assert_non_null(strstr(reply.text, "hickory_queries_complete"));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_answers_of_all_shards_are_merged),
        cmocka_unit_test(test_single_request_is_passed_unchanged),
        cmocka_unit_test(test_bad_requests_get_a_clear_status),
        cmocka_unit_test(test_pipelined_requests_are_answered_in_order),
        cmocka_unit_test(test_missing_shard_is_reported),
        cmocka_unit_test(test_lost_answer_is_not_repeated),
        cmocka_unit_test(test_busy_server_promises_nothing),
        cmocka_unit_test(test_undefined_status_is_no_answer),
        cmocka_unit_test(test_leaving_server_is_left_alone),
        cmocka_unit_test(test_paused_servers_get_no_requests),
        cmocka_unit_test(test_new_routes_come_into_force),
        cmocka_unit_test(test_store_outage),
        cmocka_unit_test(test_graceful_stop),
        cmocka_unit_test(test_stop_waits_for_late_requests),
        cmocka_unit_test(test_killed_gateway_is_listed_after_restart),
        cmocka_unit_test(test_restart_without_the_store),
        cmocka_unit_test(test_resumed_gateway_drops_old_hellos),
        cmocka_unit_test(test_load_and_cold_time_are_read),
        cmocka_unit_test(test_metrics_list_complete_queries),
        cmocka_unit_test(test_leaving_servers_get_no_requests),
    };

    return cmocka_run_group_tests(tests, start_shared_site, stop_shared_site);
}
