#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base-rng.h"
#include "common-fleet.h"
#include "common-process.h"
#include "common-site.h"

/* Each limit of the desired state, raised and lowered while real gateways run.
 * A request that every desired state in force allows must not be refused with
 * a status that ends its caller's retries (review/10). */

#define GATEWAYS 2
/* The routes have to be in force this long after the store accepted them. */
#define APPLY_MS 3000
/* Bounds of time hold again this long after the end of a trouble. */
#define CONTACT_MS 4000
#define LARGEST UINT32_MAX
/* Sizes above this are not sent. */
#define SENT_MAX_BYTES (4u << 20)

static TestSite site;
static uint32_t request_number;

static int
start_site(void **state)
{
    (void)state;
    TestSite_Start(&site, GATEWAYS, 2, 2);
    return 0;
}

static int
stop_site(void **state)
{
    (void)state;
    TestSite_Stop(&site);
    return 0;
}

/* Writes a version of the routes with limits such as "body=1000&header=500",
 * without waiting for the gateways. Returns the version. */
static int64_t
write_limits(const char *limits)
{
    char target[128];
    int64_t version;

    snprintf(target, sizeof(target), "/test/routes?%s", limits);
    version = TestSite_SendControl(&site, target, "version");
    assert_true(version > 0);
    return version;
}

/* Fails the test unless the gateways have a version within a time. */
static void
wait_for_version(int64_t version, int64_t bound_ms)
{
    int64_t end_ms = TestClock_GetWallMs() + bound_ms;
    uint32_t i;

    for (i = 0; i < GATEWAYS; i++) {
        while (TestSite_ReadMetric(&site, i, "\nhickory_routes_version ") !=
               version) {
            assert_true(TestClock_GetWallMs() < end_ms);
            TestClock_SleepMs(10);
        }
    }
}

/* Puts limits in force. */
static void
set_limits(const char *limits)
{
    wait_for_version(write_limits(limits), APPLY_MS);
}

/* Sets one size limit. */
static void
set_size_limit(const char *name, uint32_t bytes)
{
    char limits[64];

    snprintf(limits, sizeof(limits), "%s=%u", name, bytes);
    set_limits(limits);
}

/* Sends bytes until all are sent or the other end has closed. */
static void
write_bytes(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0) {
            return;
        }
        bytes += sent;
        length -= (size_t)sent;
    }
}

/* Sends a number of equal bytes. */
static void
write_filler(int fd, size_t length)
{
    char *filler = malloc(length + 1);

    assert_non_null(filler);
    memset(filler, 'x', length);
    write_bytes(fd, filler, length);
    free(filler);
}

/* Writes the start of the head of a request with an id of its own; the caller
 * adds further lines and the empty line. Returns the bytes of its target, its
 * names and its values. */
static size_t
write_head_start(int fd)
{
    char text[192], number[16];

    snprintf(number, sizeof(number), "limit%u", ++request_number);
    snprintf(text, sizeof(text),
             "POST /once/l HTTP/1.1\r\nHost: site.example\r\n"
             "Hickoryrouter-Request-Id: %s\r\n",
             number);
    TestSocket_WriteText(fd, text);
    return strlen("/once/l") + strlen("Hostsite.example") +
           strlen("Hickoryrouter-Request-Id") + strlen(number);
}

/* Sends a body with its length, or in one chunk. Returns the status. */
static int
send_body(int fd, uint32_t bytes, bool chunked)
{
    char text[96];

    write_head_start(fd);
    snprintf(text, sizeof(text),
             chunked ? "Transfer-Encoding: chunked\r\n\r\n%x\r\n"
                     : "Content-Length: %u\r\n\r\n",
             bytes);
    TestSocket_WriteText(fd, text);
    write_filler(fd, bytes);
    if (chunked) {
        write_bytes(fd, "\r\n0\r\n\r\n", 7);
    }
    return TestSocket_ReadReply(fd).status;
}

/* Sends a head whose target, names and values have this number of bytes, in
 * lines of at most line_bytes. Returns the status. */
static int
send_head(int fd, uint32_t bytes, size_t line_bytes)
{
    size_t left = bytes - write_head_start(fd);

    left -= strlen("Content-Length0");
    while (left > 0) {
        size_t length = left < line_bytes ? left : line_bytes;

        write_bytes(fd, "X: ", 3);
        write_filler(fd, length - 1);
        write_bytes(fd, "\r\n", 2);
        left -= length;
    }
    write_bytes(fd, "Content-Length: 0\r\n\r\n", 21);
    return TestSocket_ReadReply(fd).status;
}

/* Sends a request with a body or head of this size to each gateway on a kept
 * connection, and on a new one, and expects a status. */
static void
expect_size(const int *kept, bool is_head, uint32_t bytes, int status)
{
    uint32_t i, form;

    for (i = 0; i < GATEWAYS; i++) {
        for (form = 0; form < 4; form++) {
            bool is_new = form / 2 == 1 || status != 200;
            int fd = is_new ? TestSocket_Connect(site.gateways[i].caller_port)
                            : kept[i];
            int got = is_head ? send_head(fd, bytes, form % 2 ? 900 : bytes)
                              : send_body(fd, bytes, form % 2 == 1);

            if (got != status) {
                fail_msg("gateway %u, %s of %u bytes, form %u: %d", i,
                         is_head ? "head" : "body", bytes, form, got);
            }
            if (is_new) {
                close(fd);
            }
        }
    }
}

/* Puts the values of a size limit in force one after the other, and expects
 * that what has just this size is served and one byte more is refused. */
static void
check_size_limit(const char *name, bool is_head, const uint32_t *limits,
                 size_t count, int refusal)
{
    int kept[GATEWAYS];
    uint32_t i;
    size_t j;

    for (i = 0; i < GATEWAYS; i++) {
        kept[i] = TestSocket_Connect(site.gateways[i].caller_port);
    }
    for (j = 0; j < count; j++) {
        uint32_t largest =
            limits[j] < SENT_MAX_BYTES ? limits[j] : SENT_MAX_BYTES;

        set_size_limit(name, limits[j]);
        expect_size(kept, is_head, largest, 200);
        if (limits[j] < SENT_MAX_BYTES) {
            expect_size(kept, is_head, limits[j] + 1, refusal);
        }
    }
    for (i = 0; i < GATEWAYS; i++) {
        close(kept[i]);
    }
}

/* Guards against bodies that are refused although a raised limit allows them,
 * up to the largest limit, or served after it was lowered. */
static void
test_limit_of_bodies(void **state)
{
    static const uint32_t limits[] = {65536,   300000,  1000000, 1000001,
                                      2097152, LARGEST, 1000,    65536};

    (void)state;
    check_size_limit("body", false, limits, sizeof(limits) / sizeof(limits[0]),
                     413);
}

/* Guards against the same for heads: those above 80 KB got 400. */
static void
test_limit_of_heads(void **state)
{
    static const uint32_t limits[] = {16384,  65536,   81920, 100000, 262144,
                                      900000, LARGEST, 4096,  16384};

    (void)state;
    check_size_limit("header", true, limits,
                     sizeof(limits) / sizeof(limits[0]), 431);
}

/* Guards against a request that is refused because it started before a limit
 * was raised, although no version in force limits its size any more. */
static void
test_raised_sizes_apply_to_open_requests(void **state)
{
    static const char chunk[] = "Transfer-Encoding: chunked\r\n\r\n9c40\r\n";
    int bodies[GATEWAYS], heads[GATEWAYS];
    uint32_t i;

    (void)state;
    set_limits("body=65536&header=16384&header_timeout=10000");
    for (i = 0; i < GATEWAYS; i++) {
        bodies[i] = TestSocket_Connect(site.gateways[i].caller_port);
        write_head_start(bodies[i]);
        TestSocket_WriteText(bodies[i], chunk);
        write_filler(bodies[i], 40000);
        heads[i] = TestSocket_Connect(site.gateways[i].caller_port);
        write_head_start(heads[i]);
        TestSocket_WriteText(heads[i], "X: ");
        write_filler(heads[i], 10000);
    }
    TestClock_SleepMs(200);
    set_limits("body=2097152&header=262144");
    for (i = 0; i < GATEWAYS; i++) {
        write_bytes(bodies[i], "\r\n100000\r\n", 10);
        write_filler(bodies[i], 0x100000);
        write_bytes(bodies[i], "\r\n0\r\n\r\n", 7);
        assert_int_equal(TestSocket_ReadReply(bodies[i]).status, 200);
        write_filler(heads[i], 150000);
        write_bytes(heads[i], "\r\nContent-Length: 0\r\n\r\n", 23);
        assert_int_equal(TestSocket_ReadReply(heads[i]).status, 200);
        close(bodies[i]);
        close(heads[i]);
    }
    set_limits("body=65536&header=16384&header_timeout=3000");
}

/* Sends a request on a connection that stops in the middle of its head for
 * some time. Returns the status. */
static int
send_slow_head(uint32_t gateway, int64_t pause_ms)
{
    int fd = TestSocket_Connect(site.gateways[gateway].caller_port), status;

    write_head_start(fd);
    TestClock_SleepMs(pause_ms);
    write_bytes(fd, "Content-Length: 0\r\n\r\n", 21);
    status = TestSocket_ReadReply(fd).status;
    close(fd);
    return status;
}

/* Returns true if the other end has closed a connection. */
static bool
is_closed(int fd)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};

    return poll(&poll_fd, 1, 0) > 0;
}

/* Guards against a time limit for heads that a raise does not prolong, or that
 * a larger value than fits ends at once. */
static void
test_time_limit_of_heads(void **state)
{
    uint32_t i;

    (void)state;
    for (i = 0; i < GATEWAYS; i++) {
        set_limits("header_timeout=300");
        assert_int_equal(send_slow_head(i, 900), 408);
        set_limits("header_timeout=3000");
        assert_int_equal(send_slow_head(i, 900), 200);
        set_limits("header_timeout=4294967295");
        assert_int_equal(send_slow_head(i, 900), 200);
        set_limits("header_timeout=300");
        assert_int_equal(send_slow_head(i, 900), 408);
    }
    set_limits("header_timeout=3000");
}

/* Guards against an idle connection, or a body that pauses, that is closed by
 * the lower limit which was in force before, and one that is kept after the
 * limit was lowered. */
static void
test_idle_limit(void **state)
{
    static const char *const raised[] = {"idle_timeout=10000",
                                         "idle_timeout=4294967295"};
    int idle[GATEWAYS], bodies[GATEWAYS];
    size_t j;
    uint32_t i;

    (void)state;
    for (j = 0; j < sizeof(raised) / sizeof(raised[0]); j++) {
        set_limits("idle_timeout=2000");
        for (i = 0; i < GATEWAYS; i++) {
            idle[i] = TestSocket_Connect(site.gateways[i].caller_port);
            assert_int_equal(send_body(idle[i], 10, false), 200);
            bodies[i] = TestSocket_Connect(site.gateways[i].caller_port);
            write_head_start(bodies[i]);
            write_bytes(bodies[i], "Content-Length: 2\r\n\r\nx", 22);
        }
        set_limits(raised[j]);
        TestClock_SleepMs(3500);
        for (i = 0; i < GATEWAYS; i++) {
            assert_int_equal(send_body(idle[i], 10, false), 200);
            write_bytes(bodies[i], "x", 1);
            assert_int_equal(TestSocket_ReadReply(bodies[i]).status, 200);
            close(bodies[i]);
        }
        set_limits("idle_timeout=2000");
        for (i = 0; i < GATEWAYS; i++) {
            assert_int_equal(send_body(idle[i], 10, false), 200);
        }
        TestClock_SleepMs(3500);
        for (i = 0; i < GATEWAYS; i++) {
            assert_true(is_closed(idle[i]));
            close(idle[i]);
        }
    }
    set_limits("idle_timeout=15000");
}

/* What happens while a limit changes. */
typedef enum Trouble {
    TROUBLE_NONE,
    TROUBLE_PAUSE,    /* a gateway is suspended */
    TROUBLE_KILL,     /* a gateway is killed and starts again */
    TROUBLE_SETTINGS, /* the settings files of the gateways change */
    TROUBLE_BUSY,     /* the store refuses all calls */
    TROUBLE_SILENT,   /* the store answers nothing */
    TROUBLE_FORGET,   /* the store forgets its history */
    TROUBLE_COUNT,
} Trouble;

static void
control_store(const char *mode)
{
    char target[64];

    snprintf(target, sizeof(target), "/test/store?mode=%s", mode);
    assert_true(TestSite_SendControl(&site, target, "") >= 0);
}

static void
begin_trouble(Trouble trouble, uint32_t gateway)
{
    uint32_t i;

    switch (trouble) {
    case TROUBLE_PAUSE:
        kill(site.gateways[gateway].pid, SIGSTOP);
        break;
    case TROUBLE_KILL:
        TestSite_EndGateway(&site, gateway, SIGKILL);
        break;
    case TROUBLE_SETTINGS:
        for (i = 0; i < GATEWAYS; i++) {
            kill(site.gateways[i].pid, SIGHUP);
        }
        break;
    case TROUBLE_BUSY:
        control_store("busy");
        break;
    case TROUBLE_SILENT:
        control_store("silent");
        break;
    case TROUBLE_FORGET:
        control_store("forget");
        break;
    case TROUBLE_NONE:
    case TROUBLE_COUNT:
        break;
    }
}

static void
end_trouble(Trouble trouble, uint32_t gateway)
{
    switch (trouble) {
    case TROUBLE_PAUSE:
        kill(site.gateways[gateway].pid, SIGCONT);
        break;
    case TROUBLE_KILL:
        TestSite_StartGateway(&site, gateway);
        TestSite_WaitForGateway(&site, gateway);
        break;
    case TROUBLE_BUSY:
    case TROUBLE_SILENT:
        control_store("ok");
        break;
    case TROUBLE_NONE:
    case TROUBLE_SETTINGS:
    case TROUBLE_FORGET:
    case TROUBLE_COUNT:
        break;
    }
}

/* Changes the limit of bodies several times in quick succession in the middle
 * of a trouble, and checks the last one at all gateways. */
static bool
run_change_in_trouble(uint64_t seed, bool trace)
{
    static const uint32_t limits[] = {1000001, 1200000, 2097152, LARGEST};
    HrRng rng = HrRng_FromSeed(seed);
    Trouble trouble;
    uint32_t gateway, changes, i;
    int64_t version = 0;
    char text[32];

    trouble = (Trouble)HrRng_DrawBelow(&rng, TROUBLE_COUNT);
    gateway = (uint32_t)HrRng_DrawBelow(&rng, GATEWAYS);
    changes = 1 + (uint32_t)HrRng_DrawBelow(&rng, 4);
    set_limits("body=65536");
    if (trace) {
        printf("trouble %d, gateway %u, %u changes\n", (int)trouble, gateway,
               changes);
    }
    begin_trouble(trouble, gateway);
    TestClock_SleepMs((int64_t)HrRng_DrawBelow(&rng, 800));
    for (i = 1; i < changes; i++) {
        snprintf(text, sizeof(text), "body=%u",
                 1 + (uint32_t)HrRng_DrawBelow(&rng, 2000000));
        write_limits(text);
        TestClock_SleepMs((int64_t)HrRng_DrawBelow(&rng, 60));
    }
    snprintf(text, sizeof(text), "body=%u", limits[HrRng_DrawBelow(&rng, 4)]);
    version = write_limits(text);
    TestClock_SleepMs((int64_t)HrRng_DrawBelow(&rng, 800));
    end_trouble(trouble, gateway);
    wait_for_version(version,
                     APPLY_MS + (trouble == TROUBLE_NONE ? 0 : CONTACT_MS));
    for (i = 0; i < 2 * GATEWAYS; i++) {
        int fd = TestSocket_Connect(site.gateways[i / 2].caller_port);
        int status = send_body(fd, 1000001, i % 2 == 1);

        close(fd);
        if (status != 200) {
            printf("gateway %u: %d\n", i / 2, status);
            return false;
        }
    }
    return true;
}

/* Guards against a raised limit that a gateway misses, because the change came
 * while it was suspended, started, or could not read the store. */
static void
test_limits_in_trouble(void **state)
{
    (void)state;
    assert_int_equal(HrFleet_RunSeeds("limits in trouble", 1,
                                      HrFleet_GetScheduleCount(8),
                                      run_change_in_trouble),
                     0);
    set_limits("body=65536");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_limit_of_bodies),
        cmocka_unit_test(test_limit_of_heads),
        cmocka_unit_test(test_raised_sizes_apply_to_open_requests),
        cmocka_unit_test(test_time_limit_of_heads),
        cmocka_unit_test(test_idle_limit),
        cmocka_unit_test(test_limits_in_trouble),
    };

    return cmocka_run_group_tests(tests, start_site, stop_site);
}
