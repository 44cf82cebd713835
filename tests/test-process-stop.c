#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base-rng.h"
#include "common-gateway-callers.h"
#include "common-process.h"
#include "common-site.h"

/* Graceful stops of gateways as real processes, at servers that queue requests
 * or do not answer. HR_SEED=N runs only seed N of the random stops, HR_SOAK=1
 * runs SOAK_SEEDS seeds from HR_FIRST on; HR_GATEWAYS sets the number of
 * gateways. */

#define SERVICES 5 /* four shards of /wide/, and the service of /once/ */
#define REPLICAS 3
#define ROUTE_TIMEOUT_MS 8000
#define GRACE_MS 6000
/* All stops of a series begin within this time, so that each process is waited
 * for before its grace time is over. */
#define STOPS_SPREAD_MS 5000
#define DEFAULT_GATEWAYS 3
#define CALLERS 24
#define CI_SEED 1
#define CI_STOPS 5
#define SOAK_SEEDS 50
#define SOAK_STOPS 8

static TestSite site;

/* Sets the routes, with the timeout of all of them, and waits until the
 * gateways had time to apply them. */
static void
set_routes(const char *mode)
{
    char target[64];

    snprintf(target, sizeof(target), "/test/routes?mode=%s&timeout=%d", mode,
             ROUTE_TIMEOUT_MS);
    TestSite_SendControl(&site, target, "version");
    TestClock_SleepMs(1500);
}

/* Starts a site whose routes have a timeout above the grace time. */
static void
start_site(uint32_t gateways)
{
    TestSite_Start(&site, gateways, SERVICES, REPLICAS);
    set_routes("plain");
}

/* Sends a request on an open connection, without reading its answer. */
static void
write_request(int fd, const char *target, const char *id)
{
    char text[512];

    snprintf(text, sizeof(text),
             "%s HTTP/1.1\r\nHost: site.example\r\n"
             "Hickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Request-Deadline: 8000\r\n"
             "Content-Length: 0\r\n\r\n",
             target, id);
    TestSocket_WriteText(fd, text);
}

/* Reads the answer to a request of a stopping gateway, and checks that it is
 * complete, and a refusal only if the request has not run. Returns its status.
 */
static int
check_answer(int fd, const char *id)
{
    TestReply reply = TestSocket_ReadReply(fd);

    if (reply.status == 0) {
        print_message("%s has no complete answer\n", id);
    }
    assert_int_not_equal(reply.status, 0);
    if (reply.status == 503) {
        assert_int_equal(TestSite_CountRuns(&site, id), 0);
    }
    return reply.status;
}

/* Guards against requests that end without an answer when a gateway stops
 * while servers still work on them: on new and on kept connections, in each
 * step of the stop, one after the other or several on one connection, to one
 * server or to shards. */
static void
test_stop_answers_all_it_has_read(void **state)
{
    static const int64_t at_ms[] = {200, 1500, 3000, 4200, 5000};
    static const char *const names[] = {"early", "middle", "late", "kept",
                                        "last"};
    int kept[5], wide[5], pipelined, halved;
    uint32_t i;
    int64_t started_ms;
    char id[32];

    (void)state;
    start_site(2);
    for (i = 0; i < SERVICES; i++) {
        TestSite_SetServiceMode(&site, i, "silent");
    }
    for (i = 0; i < 5; i++) {
        kept[i] = TestSocket_Connect(site.gateways[1].caller_port);
        wide[i] = TestSocket_Connect(site.gateways[1].caller_port);
    }
    pipelined = TestSocket_Connect(site.gateways[1].caller_port);
    halved = TestSocket_Connect(site.gateways[1].caller_port);
    TestClock_SleepMs(100);
    started_ms = TestClock_GetWallMs();
    kill(site.gateways[1].pid, SIGTERM);
    write_request(pipelined, "GET /wide/q", "pipe-0");
    write_request(pipelined, "POST /once/q", "pipe-1");
    TestSocket_WriteText(halved, "POST /once/q HTTP/1.1\r\n"
                                 "Host: site.example\r\n");
    for (i = 0; i < 5; i++) {
        TestClock_SleepMs(started_ms + at_ms[i] - TestClock_GetWallMs());
        if (i < 3) {
            close(kept[i]);
            kept[i] = TestSocket_Connect(site.gateways[1].caller_port);
        }
        if (i == 1) {
            kill(site.gateways[1].pid, SIGTERM);
        }
        snprintf(id, sizeof(id), "once-%s", names[i]);
        write_request(kept[i], "POST /once/q", id);
        snprintf(id, sizeof(id), "wide-%s", names[i]);
        write_request(wide[i], "GET /wide/q", id);
    }
    TestSocket_WriteText(halved, "Hickoryrouter-Request-Id: halved\r\n"
                                 "Content-Length: 0\r\n\r\n");
    for (i = 0; i < 5; i++) {
        snprintf(id, sizeof(id), "once-%s", names[i]);
        check_answer(kept[i], id);
        snprintf(id, sizeof(id), "wide-%s", names[i]);
        check_answer(wide[i], id);
        close(kept[i]);
        close(wide[i]);
    }
    check_answer(pipelined, "pipe-0");
    check_answer(pipelined, "pipe-1");
    check_answer(halved, "halved");
    close(pipelined);
    close(halved);
    assert_int_equal(TestProcess_Wait(site.gateways[1].pid), 0);
    assert_true(TestClock_GetWallMs() - started_ms < GRACE_MS);
    site.gateways[1].pid = 0;
    TestSite_Stop(&site);
}

/* Guards against requests that are cut because they were received, but not
 * read, when the gateway stops accepting connections with no other request
 * open: on a new and on a kept connection. */
static void
test_stop_answers_what_waits_to_be_read(void **state)
{
    int kept, fresh;
    int64_t started_ms;

    (void)state;
    start_site(2);
    TestSite_SetServiceMode(&site, SERVICES - 1, "slow");
    kept = TestSocket_Connect(site.gateways[1].caller_port);
    TestClock_SleepMs(100);
    started_ms = TestClock_GetWallMs();
    kill(site.gateways[1].pid, SIGTERM);
    TestClock_SleepMs(started_ms + 3300 - TestClock_GetWallMs());
    /* The gateway finds the requests and the end of its step together. */
    kill(site.gateways[1].pid, SIGSTOP);
    fresh = TestSocket_Connect(site.gateways[1].caller_port);
    write_request(kept, "POST /once/q", "kept");
    write_request(fresh, "POST /once/q", "fresh");
    TestClock_SleepMs(400);
    kill(site.gateways[1].pid, SIGCONT);
    check_answer(kept, "kept");
    check_answer(fresh, "fresh");
    close(kept);
    close(fresh);
    assert_int_equal(TestProcess_Wait(site.gateways[1].pid), 0);
    site.gateways[1].pid = 0;
    TestSite_Stop(&site);
}

/* Stops one or both of two gateways, and checks that the second one refuses a
 * request for which its servers usually need longer than the time left: at
 * once, without passing it on, and with a Retry-After from min_s to max_s. */
static void
check_late_request(bool both, double min_s, double max_s)
{
    int64_t started_ms, sent_ms;
    int kept, waiting;
    TestReply reply;
    char id[32], value[32];
    uint32_t i;

    start_site(2);
    TestSite_SetServiceMode(&site, SERVICES - 1, "slow");
    for (i = 0; i < 8; i++) {
        snprintf(id, sizeof(id), "usual-%u", i);
        reply = TestSite_SendRequest(&site, 1, "POST", "/once/x", id, "", "");
        assert_int_equal(reply.status, 200);
    }
    for (i = 0; i + 1 < SERVICES; i++) {
        TestSite_SetServiceMode(&site, i, "silent");
    }
    kept = TestSocket_Connect(site.gateways[1].caller_port);
    waiting = TestSocket_Connect(site.gateways[1].caller_port);
    started_ms = TestClock_GetWallMs();
    for (i = both ? 0 : 1; i < 2; i++) {
        kill(site.gateways[i].pid, SIGTERM);
    }
    TestClock_SleepMs(3200);
    /* Keeps the gateway from exiting early. */
    write_request(waiting, "GET /wide/q", "waiting");
    reply =
        TestSite_SendRequest(&site, 1, "POST", "/once/x", "in-time", "", "");
    assert_int_equal(reply.status, 200);
    TestClock_SleepMs(started_ms + 5000 - TestClock_GetWallMs());
    sent_ms = TestClock_GetWallMs();
    write_request(kept, "POST /once/q", "refused");
    reply = TestSocket_ReadReply(kept);
    assert_int_equal(reply.status, 503);
    assert_true(TestClock_GetWallMs() - sent_ms < 300);
    assert_int_equal(TestSite_CountRuns(&site, "refused"), 0);
    TestReply_FindHeader(&reply, "Retry-After", value, sizeof(value));
    assert_true(strtod(value, NULL) > min_s);
    assert_true(strtod(value, NULL) < max_s);
    assert_int_equal(check_answer(waiting, "waiting"), 504);
    close(kept);
    close(waiting);
    for (i = both ? 0 : 1; i < 2; i++) {
        assert_int_equal(TestProcess_Wait(site.gateways[i].pid), 0);
        site.gateways[i].pid = 0;
    }
    TestSite_Stop(&site);
}

/* Guards against a stopping gateway that passes a request on although its
 * servers usually need longer than the time left, or keeps the caller waiting
 * before it refuses it. */
static void
test_stop_refuses_at_once_what_it_cannot_finish(void **state)
{
    (void)state;
    check_late_request(false, 0, 0.3);
}

/* Guards against callers that are told to return at once while no gateway can
 * serve them, because all of them stop. */
static void
test_stop_of_all_gateways_tells_callers_to_wait(void **state)
{
    (void)state;
    check_late_request(true, 0.4, 2);
}

/* One gateway that stops in a random series. */
typedef struct Stop {
    uint32_t gateway;
    int64_t at_ms;
} Stop;

/* Stops gateways at random times, so that the stops overlap, some with a
 * second SIGTERM, SIGHUP, new routes or a service that does not answer
 * meanwhile, and starts them again. At least one gateway keeps serving unless
 * all_at_once is set. */
static void
run_stops(HrRng *rng, TestGatewayCallers *callers, uint32_t gateways,
          bool all_at_once)
{
    uint32_t count = all_at_once
                         ? gateways
                         : 1 + (uint32_t)HrRng_DrawBelow(rng, gateways - 1);
    uint32_t first = (uint32_t)HrRng_DrawBelow(rng, gateways),
             silent = SERVICES, i;
    Stop stops[TEST_GATEWAYS_MAX];

    if (HrRng_DrawBool(rng, 0.3)) {
        silent = (uint32_t)HrRng_DrawBelow(rng, SERVICES);
        TestSite_SetServiceMode(&site, silent, "silent");
    }
    for (i = 0; i < count; i++) {
        stops[i] = (Stop){(first + i) % gateways, TestClock_GetWallMs()};
        TestGatewayCallers_SetStopping(callers, stops[i].gateway,
                                       stops[i].at_ms);
        kill(site.gateways[stops[i].gateway].pid, SIGTERM);
        if (!all_at_once) {
            TestClock_SleepMs(
                (int64_t)HrRng_DrawBelow(rng, STOPS_SPREAD_MS / count));
        }
        if (HrRng_DrawBool(rng, 0.3)) {
            kill(site.gateways[stops[i].gateway].pid, SIGTERM);
        }
        if (HrRng_DrawBool(rng, 0.3)) {
            kill(site.gateways[stops[i].gateway].pid, SIGHUP);
        }
        if (HrRng_DrawBool(rng, 0.3)) {
            char target[64];

            snprintf(target, sizeof(target), "/test/routes?mode=%s&timeout=%d",
                     HrRng_DrawBool(rng, 0.5) ? "extra" : "plain",
                     ROUTE_TIMEOUT_MS);
            TestSite_SendControl(&site, target, "version");
        }
    }
    for (i = 0; i < count; i++) {
        assert_int_equal(TestProcess_Wait(site.gateways[stops[i].gateway].pid),
                         0);
        assert_true(TestClock_GetWallMs() - stops[i].at_ms < GRACE_MS);
    }
    for (i = 0; i < count; i++) {
        TestSite_StartGateway(&site, stops[i].gateway);
        TestGatewayCallers_SetStopping(callers, stops[i].gateway, 0);
    }
    for (i = 0; i < gateways; i++) {
        TestSite_WaitForGateway(&site, i);
    }
    if (silent < SERVICES) {
        TestSite_SetServiceMode(&site, silent, "queue");
    }
}

/* Runs one seed: stops under load, and checks the answers of the callers. */
static void
run_seed(uint64_t seed, uint32_t gateways, uint32_t stop_count)
{
    const TestCallerOptions options = {CALLERS, ROUTE_TIMEOUT_MS,
                                       ROUTE_TIMEOUT_MS};
    HrRng rng = HrRng_FromSeed(seed);
    TestGatewayCallers *callers;
    TestCallerCounts counts;
    uint32_t i;

    start_site(gateways);
    for (i = 0; i < SERVICES; i++) {
        TestSite_SetServiceMode(&site, i, "queue");
    }
    callers = TestGatewayCallers_Start(&site, &options, SERVICES, seed);
    TestClock_SleepMs(2000);
    for (i = 0; i < stop_count; i++) {
        run_stops(&rng, callers, gateways, HrRng_DrawBool(&rng, 0.2));
        TestClock_SleepMs((int64_t)HrRng_DrawBelow(&rng, 1500));
    }
    counts = TestGatewayCallers_Stop(callers);
    TestCallerCounts_Print(&counts, seed);
    assert_int_equal(counts.wrong, 0);
    assert_int_equal(counts.cut, 0);
    assert_int_equal(counts.late, 0);
    assert_true(counts.complete > 50);
    TestSite_Stop(&site);
}

/* Guards against requests without a complete answer, refused ones that ran,
 * and ones that ran twice, when gateways stop one after the other, several at
 * once, twice, or during a reload, before servers that queue requests and
 * callers that keep their list of gateways for three times its life. */
static void
test_random_stops(void **state)
{
    const char *single_seed = getenv("HR_SEED"),
               *first_seed = getenv("HR_FIRST"),
               *gateway_count = getenv("HR_GATEWAYS");
    uint64_t seed =
        first_seed != NULL ? strtoull(first_seed, NULL, 10) : CI_SEED;
    uint64_t end = seed + (getenv("HR_SOAK") != NULL ? SOAK_SEEDS : 1);
    uint32_t gateways = gateway_count != NULL
                            ? (uint32_t)strtoul(gateway_count, NULL, 10)
                            : DEFAULT_GATEWAYS;

    (void)state;
    if (single_seed != NULL) {
        seed = strtoull(single_seed, NULL, 10);
        end = seed + 1;
    }
    assert_in_range(gateways, 2, TEST_GATEWAYS_MAX);
    for (; seed < end; seed++) {
        run_seed(seed, gateways,
                 getenv("HR_SOAK") != NULL ? SOAK_STOPS : CI_STOPS);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stop_answers_all_it_has_read),
        cmocka_unit_test(test_stop_answers_what_waits_to_be_read),
        cmocka_unit_test(test_stop_refuses_at_once_what_it_cannot_finish),
        cmocka_unit_test(test_stop_of_all_gateways_tells_callers_to_wait),
        cmocka_unit_test(test_random_stops),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
