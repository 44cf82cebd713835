#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common-process.h"
#include "common-site.h"

/* A gateway with little memory before a crowd of ordinary requests to many
 * shards, whose servers do not answer. .ci/run-tests runs this program alone.
 */

#define SERVICES 32 /* 31 shards, and one service of single requests */
#define MEMORY_MB 16
#define CLIENTS 500
#define BODIES 4
#define BODY_BYTES 1000000u
/* Connections that a server of the stand-in takes from all gateways. */
#define CONNECTION_LIMIT 40
#define ORDINARY_TIMEOUT_MS 10000

/* Bound of the growth of the resident memory, at its peak; see
 * test-process-clients.c. */
#if defined(__SANITIZE_THREAD__)
#define GROWTH_MAX_KB (128 * 1024L)
#elif defined(__SANITIZE_ADDRESS__)
#define GROWTH_MAX_KB (48 * 1024L)
#else
#define GROWTH_MAX_KB (16 * 1024L)
#endif

static TestSite site;

static int
start_site(void **state)
{
    (void)state;
    setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
    TestSite_StartPlatform(&site, 1, SERVICES, 2);
    site.memory_mb = MEMORY_MB;
    site.max_connections = 2048;
    TestSite_SendControl(&site, "/test/routes?body=1000000", "version");
    TestSite_StartGateway(&site, 0);
    TestSite_WaitForGateway(&site, 0);
    return 0;
}

static int
stop_site(void **state)
{
    (void)state;
    TestSite_Stop(&site);
    return 0;
}

/* Returns a field of /proc/PID/status of the gateway in KB. */
static long
read_memory_kb(const char *field)
{
    char path[64], line[256];
    long kb = -1;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)site.gateways[0].pid);
    file = fopen(path, "r");
    assert_non_null(file);
    while (fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, field, strlen(field)) == 0) {
            kb = strtol(line + strlen(field) + 1, NULL, 10);
        }
    }
    fclose(file);
    return kb;
}

/* Sends a request to all shards on a connection of its own, and leaves the
 * connection open. The body is written as far as the gateway reads it. */
static int
open_request(uint32_t number, const char *body)
{
    int fd = TestSocket_Connect(site.gateways[0].caller_port);
    char text[256];

    snprintf(text, sizeof(text),
             "POST /wide/c HTTP/1.1\r\nHost: site.example\r\n"
             "Hickoryrouter-Request-Id: crowd%u\r\nContent-Length: %zu\r\n"
             "\r\n",
             number, strlen(body));
    TestSocket_WriteText(fd, text);
    if (body[0] != '\0') {
        TestSocket_WriteText(fd, body);
    }
    return fd;
}

/* Sends an ordinary request until it is served; fails the test after a time.
 */
static void
expect_ordinary_request(void)
{
    int64_t end_ms = TestClock_GetWallMs() + ORDINARY_TIMEOUT_MS;

    while (TestSite_SendRequest(&site, 0, "GET", "/once/o", "ordinary", "", "")
               .status != 200) {
        assert_true(TestClock_GetWallMs() < end_ms);
        TestClock_SleepMs(50);
    }
}

/* Guards against a crowd of requests to many shards that uses up the memory,
 * since what a request needs while it is forwarded does not count (review/13).
 * Those for which there is no room are refused at once and told when to
 * return; the others keep their answer. */
static void
test_crowd_of_wide_requests(void **state)
{
    static int fds[CLIENTS];
    uint32_t refused = 0, timed_out = 0, i;
    long start_kb = read_memory_kb("VmRSS"), growth_kb;
    char value[16];

    (void)state;
    for (i = 0; i + 1 < SERVICES; i++) {
        TestSite_SetServiceMode(&site, i, "silent");
    }
    for (i = 0; i < CLIENTS; i++) {
        fds[i] = open_request(i, "");
    }
    for (i = 0; i < CLIENTS; i++) {
        TestReply reply = TestSocket_ReadReply(fds[i]);

        if (reply.status == 503) {
            refused++;
            assert_non_null(TestReply_FindHeader(&reply, "Retry-After", value,
                                                 sizeof(value)));
        }
        else {
            assert_int_equal(reply.status, 504);
            timed_out++;
        }
        close(fds[i]);
    }
    growth_kb = read_memory_kb("VmHWM") - start_kb;
    print_message("%u refused, %u timed out; %ld KB more at the peak\n",
                  refused, timed_out, growth_kb);
    assert_true(growth_kb < GROWTH_MAX_KB);
    assert_true(timed_out >= CONNECTION_LIMIT / 2);
    for (i = 0; i + 1 < SERVICES; i++) {
        TestSite_SetServiceMode(&site, i, "ok");
    }
    expect_ordinary_request();
}

/* Guards against a large body that is copied for each shard, and once more for
 * each hedge (review/12). */
static void
test_large_bodies_to_many_shards(void **state)
{
    static char body[BODY_BYTES + 1];
    long start_kb = read_memory_kb("VmRSS"), growth_kb;
    int fds[BODIES];
    char command[64];
    uint32_t i;
    FILE *file;

    (void)state;
    /* The peak of the test before does not count. */
    snprintf(command, sizeof(command), "/proc/%d/clear_refs",
             (int)site.gateways[0].pid);
    file = fopen(command, "w");
    assert_non_null(file);
    assert_true(fputs("5", file) >= 0);
    fclose(file);
    memset(body, 'b', BODY_BYTES);
    for (i = 0; i + 1 < SERVICES; i++) {
        TestSite_SetServiceMode(&site, i, "silent");
    }
    for (i = 0; i < BODIES; i++) {
        fds[i] = open_request(CLIENTS + i, body);
    }
    for (i = 0; i < BODIES; i++) {
        assert_int_equal(TestSocket_ReadReply(fds[i]).status, 504);
        close(fds[i]);
    }
    growth_kb = read_memory_kb("VmHWM") - start_kb;
    print_message("%ld KB more at the peak\n", growth_kb);
    assert_true(growth_kb < GROWTH_MAX_KB);
    for (i = 0; i + 1 < SERVICES; i++) {
        TestSite_SetServiceMode(&site, i, "ok");
    }
    expect_ordinary_request();
    assert_int_equal(
        TestSite_SendRequest(&site, 0, "POST", "/once/o", "long", "", body)
            .status,
        200);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_crowd_of_wide_requests),
        cmocka_unit_test(test_large_bodies_to_many_shards),
    };

    return cmocka_run_group_tests(tests, start_site, stop_site);
}
