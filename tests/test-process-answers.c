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

#include "base-rng.h"
#include "common-fleet.h"
#include "common-process.h"
#include "common-site.h"

/* A real gateway before servers that are sound apart from what one of them
 * states in the head of its answers. */

#define SERVICES                                                              \
    5 /* four shards, and one service of requests that run once               \
       */
#define REPLICAS 2
#define ONCE (SERVICES - 1)
#define ID_LINE "Hickoryrouter-Request-Id: $\r\n"
#define SEAL_LINE "Hickoryrouter-Response-Seal: seal-$\r\n"

static TestSite site;

static int
start_site(void **state)
{
    (void)state;
    TestSite_Start(&site, 1, SERVICES, REPLICAS);
    return 0;
}

static int
stop_site(void **state)
{
    (void)state;
    TestSite_Stop(&site);
    return 0;
}

/* Has one server answer with a status and these header lines. */
static void
set_server_lines(uint32_t service, uint32_t replica, int status,
                 const char *lines)
{
    char target[64];
    TestAnswer answer;

    snprintf(target, sizeof(target), "/test/server?id=i-%u-%u&mode=lines-%d",
             service, replica, status);
    answer = TestHttp_SendRequest(site.store_port, target, NULL, lines);
    assert_int_equal(answer.status, 200);
    TestAnswer_Release(&answer);
}

/* Has all servers of a service answer with a status and these lines. */
static void
set_service_lines(uint32_t service, int status, const char *lines)
{
    uint32_t i;

    for (i = 0; i < REPLICAS; i++) {
        set_server_lines(service, i, status, lines);
    }
}

static TestReply
send_search(const char *id)
{
    return TestSite_SendRequest(&site, 0, "GET", "/wide/a", id, "", "");
}

static TestReply
send_once(const char *id)
{
    return TestSite_SendRequest(&site, 0, "POST", "/once/a", id, "", "body");
}

/* Sends a request with this value of the Host header. */
static TestReply
send_with_host(const char *host)
{
    int fd = TestSocket_Connect(site.gateways[0].caller_port);
    char text[256];
    TestReply reply;

    snprintf(text, sizeof(text),
             "GET /once/a HTTP/1.1\r\nHickoryrouter-Request-Id: host\r\n"
             "Host: %s\r\n\r\n",
             host);
    TestSocket_WriteText(fd, text);
    reply = TestSocket_ReadReply(fd);
    close(fd);
    return reply;
}

/* Fails the test unless an answer has a header line with this value. */
static void
expect_header(const TestReply *reply, const char *name, const char *expected)
{
    char buf[64];
    const char *value = TestReply_FindHeader(reply, name, buf, sizeof(buf));

    assert_non_null(value);
    assert_string_equal(value, expected);
}

/* Returns the number of parts that an answer names, which have to be sound. */
static uint32_t
count_parts(const TestReply *reply, const char *id)
{
    static const char name[] = "Hickoryrouter-Part-Seals: ";
    const char *at = reply->text;
    char seal[64];
    uint32_t parts = 0;

    snprintf(seal, sizeof(seal), "seal-%s", id);
    while ((at = strstr(at, name)) != NULL) {
        at += sizeof(name) - 1;
        assert_int_equal(strncmp(at, seal, strlen(seal)), 0);
        parts++;
    }
    return parts;
}

/* Fails the test unless an answer of one shard is left out of the merged
 * answer, with its records, while all of its servers answer like this. */
static void
expect_left_out(const char *id, int status, const char *lines)
{
    TestReply reply;

    set_service_lines(1, status, lines);
    reply = send_search(id);
    TestSite_SetServiceMode(&site, 1, "ok");
    assert_int_equal(reply.status, 200);
    assert_int_equal(count_parts(&reply, id), SERVICES - 2);
    expect_header(&reply, "Hickoryrouter-Missing-Parts", "1");
    assert_null(strstr(reply.text + reply.head_bytes, "record-01"));
}

/* Fails the test unless a request that ran once gets 502, which promises
 * nothing, while its servers answer like this. */
static void
expect_bad_gateway(const char *id, int status, const char *lines)
{
    TestReply reply;

    set_service_lines(ONCE, status, lines);
    reply = send_once(id);
    TestSite_SetServiceMode(&site, ONCE, "ok");
    assert_int_equal(reply.status, 502);
    assert_int_equal(TestSite_CountRuns(&site, id), 1);
}

/* Guards against a success whose digest is empty, or is no element of a list
 * of digests, as an answer or as a part of a merged answer (review/14). */
static void
test_malformed_digest_is_no_answer(void **state)
{
    static const char *const seals[] = {
        "",        " ",       "3e1b.07, ",       ", 3e1b",    "3e1b 07",
        "3e1b\t7", "\"3e1b,", "3e1b\x80\xff.07", "3e1b\x01.7"};
    char lines[128], id[16];
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(seals) / sizeof(seals[0]); i++) {
        snprintf(lines, sizeof(lines),
                 ID_LINE "Hickoryrouter-Response-Seal: %s\r\n", seals[i]);
        snprintf(id, sizeof(id), "part%zu", i);
        expect_left_out(id, 200, lines);
        snprintf(id, sizeof(id), "once%zu", i);
        expect_bad_gateway(id, 200, lines);
    }
    expect_left_out("parttwo", 200, ID_LINE SEAL_LINE SEAL_LINE);
    expect_bad_gateway("oncetwo", 200, ID_LINE SEAL_LINE SEAL_LINE);
    expect_left_out("partnone", 200, ID_LINE);
    expect_bad_gateway("oncenone", 200, ID_LINE);
}

/* Guards against a part that is given up, or left in, when one server of its
 * shard states a malformed digest and another one is sound. */
static void
test_sound_server_replaces_malformed_part(void **state)
{
    uint32_t i, complete = 0;
    char id[16];

    (void)state;
    set_server_lines(1, 0, 200, ID_LINE "Hickoryrouter-Response-Seal: \r\n");
    for (i = 0; i < 20; i++) {
        TestReply reply;

        snprintf(id, sizeof(id), "replaced%u", i);
        reply = send_search(id);
        assert_int_equal(reply.status, 200);
        complete += count_parts(&reply, id) == SERVICES - 1;
    }
    TestSite_SetServiceMode(&site, 1, "ok");
    print_message("%u of %u answers complete\n", complete, i);
    assert_true(complete >= i / 2);
}

/* Guards against a merged answer that names one digest twice. */
static void
test_digest_of_another_part_is_no_part(void **state)
{
    TestReply reply;

    (void)state;
    set_service_lines(1, 200, ID_LINE SEAL_LINE);
    set_service_lines(2, 200, ID_LINE SEAL_LINE);
    reply = send_search("same");
    TestSite_SetServiceMode(&site, 1, "ok");
    TestSite_SetServiceMode(&site, 2, "ok");
    assert_int_equal(reply.status, 200);
    assert_int_equal(count_parts(&reply, "same"), SERVICES - 2);
    expect_header(&reply, "Hickoryrouter-Missing-Parts", "1");
}

/* Guards against blanks behind a value that become a part of it: an answer
 * that states the id of its request was taken for one to another request, and
 * the route of a host was not found. */
static void
test_blanks_behind_values_are_ignored(void **state)
{
    TestReply reply;

    (void)state;
    set_service_lines(ONCE, 200,
                      "Hickoryrouter-Request-Id: $ \t \r\n"
                      "Hickoryrouter-Response-Seal: \t seal-$\t\r\n");
    reply = TestSite_SendRequest(&site, 0, "POST", "/once/a", "blanks",
                                 "Content-Type: text/plain \t\r\n", "body");
    TestSite_SetServiceMode(&site, ONCE, "ok");
    assert_int_equal(reply.status, 200);
    expect_header(&reply, "Hickoryrouter-Response-Seal", "seal-blanks");
    assert_int_equal(send_with_host("site.example \t").status, 200);
    assert_int_equal(send_with_host("site.example.").status, 404);
}

/* Guards against a success without its digest, and a request without its id,
 * because a Connection header names them. */
static void
test_connection_header_spares_id_and_digest(void **state)
{
    TestReply reply;
    char value[64];

    (void)state;
    set_service_lines(ONCE, 200,
                      ID_LINE SEAL_LINE "X-Hop: 1\r\nConnection: X-Hop, "
                                        "hickoryrouter-response-seal, "
                                        "Hickoryrouter-Request-Id\r\n");
    reply = send_once("named");
    TestSite_SetServiceMode(&site, ONCE, "ok");
    assert_int_equal(reply.status, 200);
    expect_header(&reply, "Hickoryrouter-Response-Seal", "seal-named");
    expect_header(&reply, "Hickoryrouter-Request-Id", "named");
    assert_null(TestReply_FindHeader(&reply, "X-Hop", value, sizeof(value)));
    reply = TestSite_SendRequest(
        &site, 0, "POST", "/once/a", "names",
        "Connection: Hickoryrouter-Request-Id, Host\r\n", "body");
    assert_int_equal(reply.status, 200);
    assert_int_equal(TestSite_CountRuns(&site, "names"), 1);
}

/* Guards against a second run of a request that must run at most once, after a
 * success of a server that also states that it did not run it. */
static void
test_success_is_not_declined(void **state)
{
    (void)state;
    expect_bad_gateway("ran", 200,
                       ID_LINE SEAL_LINE "Hickoryrouter-Not-Executed: 1\r\n");
    expect_bad_gateway("moved", 302,
                       ID_LINE SEAL_LINE "Hickoryrouter-Not-Executed: 1\r\n");
    expect_left_out("partran", 200,
                    ID_LINE SEAL_LINE "Hickoryrouter-Not-Executed: 1\r\n");
}

/* Guards against an encoded body, or a range of a body, that passes for the
 * server's whole body: callers that accept no encoding cannot read it, and a
 * merged answer had records of it. */
static void
test_encoded_body_is_no_answer(void **state)
{
    static const char gzip[] = ID_LINE SEAL_LINE "Content-Encoding: gzip\r\n";
    TestReply reply;

    (void)state;
    expect_left_out("partgzip", 200, gzip);
    expect_left_out("partrange", 206, ID_LINE SEAL_LINE);
    expect_bad_gateway("oncegzip", 200, gzip);
    set_service_lines(ONCE, 200, gzip);
    reply = TestSite_SendRequest(&site, 0, "POST", "/once/a", "accepts",
                                 "Accept-Encoding: identity, gzip\r\n", "b");
    assert_int_equal(reply.status, 200);
    expect_header(&reply, "Content-Encoding", "gzip");
    reply =
        TestSite_SendRequest(&site, 0, "POST", "/once/a", "excludes",
                             "Accept-Encoding: identity;q=1, *;q=0\r\n", "b");
    assert_int_equal(reply.status, 502);
    set_service_lines(ONCE, 200,
                      ID_LINE SEAL_LINE "Content-Encoding: identity\r\n");
    assert_int_equal(send_once("identity").status, 200);
    TestSite_SetServiceMode(&site, ONCE, "ok");
}

/* Guards against an answer that states the ids of two requests and is taken
 * for the answer to one of them. */
static void
test_answer_with_two_ids_is_no_answer(void **state)
{
    static const char other[] = "Hickoryrouter-Request-Id: other\r\n";
    char lines[128];

    (void)state;
    snprintf(lines, sizeof(lines), ID_LINE SEAL_LINE "%s", other);
    expect_left_out("partids", 200, lines);
    expect_bad_gateway("onceids", 200, lines);
    snprintf(lines, sizeof(lines), "%s" SEAL_LINE ID_LINE, other);
    expect_bad_gateway("idsonce", 200, lines);
}

/* Guards against a header line with a space in its name that reaches the
 * caller, who may read the answer in another way (review/15). */
static void
test_malformed_name_is_no_answer(void **state)
{
    static const char *const lines[] = {
        ID_LINE SEAL_LINE "Transfer-Encoding : chunked\r\n",
        ID_LINE SEAL_LINE "X-Note : a\r\n",
        ID_LINE SEAL_LINE "X Note: a\r\n",
        ID_LINE "Hickoryrouter-Response-Seal : seal-$\r\n",
    };
    char id[16];
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
        snprintf(id, sizeof(id), "namepart%zu", i);
        expect_left_out(id, 200, lines[i]);
        snprintf(id, sizeof(id), "nameonce%zu", i);
        expect_bad_gateway(id, 200, lines[i]);
    }
}

/* Guards against an answer without a body that reaches the caller with one, or
 * with a length that belongs to another answer (review/11). */
static void
test_answers_without_body_have_no_length(void **state)
{
    static const int statuses[] = {204, 304};
    char value[16], id[16];
    size_t i;

    (void)state;
    for (i = 0; i < 2; i++) {
        int fd = TestSocket_Connect(site.gateways[0].caller_port);
        char text[160];
        TestReply reply;

        set_service_lines(ONCE, statuses[i], ID_LINE SEAL_LINE);
        snprintf(id, sizeof(id), "bare%d", statuses[i]);
        snprintf(text, sizeof(text),
                 "GET /once/a HTTP/1.1\r\nHost: site.example\r\n"
                 "Hickoryrouter-Request-Id: %s\r\n\r\n",
                 id);
        TestSocket_WriteText(fd, text);
        reply = TestSocket_ReadReply(fd);
        assert_int_equal(reply.status, statuses[i]);
        assert_null(TestReply_FindHeader(&reply, "Content-Length", value,
                                         sizeof(value)));
        TestSite_SetServiceMode(&site, ONCE, "ok");
        TestSocket_WriteText(fd, text);
        reply = TestSocket_ReadReply(fd);
        assert_int_equal(reply.status, 200);
        assert_int_equal(reply.body_bytes, 48);
        close(fd);
    }
}

/* Guards against a redirect, or the 304 to a conditional request, that counts
 * as a failure of the server, so that the request is repeated at others. */
static void
test_redirect_is_not_repeated(void **state)
{
    static const int statuses[] = {302, 304, 404};
    int64_t end_ms = TestClock_GetWallMs() + 20000;
    char id[16];
    size_t i;

    (void)state;
    assert_true(
        TestSite_SendControl(&site, "/test/routes?mode=extra", "version") > 0);
    while (TestSite_SendRequest(&site, 0, "GET", "/extra/a", "probe", "", "")
               .status != 200) {
        assert_true(TestClock_GetWallMs() < end_ms);
        TestClock_SleepMs(20);
    }
    for (i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
        TestReply reply;

        snprintf(id, sizeof(id), "moved%d", statuses[i]);
        set_service_lines(ONCE, statuses[i], ID_LINE SEAL_LINE);
        reply = TestSite_SendRequest(&site, 0, "GET", "/extra/a", id, "", "");
        TestSite_SetServiceMode(&site, ONCE, "ok");
        assert_int_equal(reply.status, statuses[i]);
        assert_int_equal(TestSite_CountRuns(&site, id), 1);
    }
}

/* Heads with which a server of a random schedule answers; the first ones are
 * sound. */
static const struct {
    int status;
    const char *lines;
} random_heads[] = {
    {200, ID_LINE SEAL_LINE},
    {200, SEAL_LINE "X-Note: a \t\r\n" ID_LINE},
    {200, ID_LINE SEAL_LINE "Connection: Hickoryrouter-Response-Seal\r\n"},
    {200, ID_LINE},
    {200, ID_LINE "Hickoryrouter-Response-Seal:\r\n"},
    {200, ID_LINE "Hickoryrouter-Response-Seal: a, seal-$\r\n"},
    {200, ID_LINE SEAL_LINE SEAL_LINE},
    {200, ID_LINE SEAL_LINE "Hickoryrouter-Request-Id: other\r\n"},
    {200, "Hickoryrouter-Request-Id: other\r\n" SEAL_LINE},
    {200, ID_LINE SEAL_LINE "Content-Encoding: br\r\n"},
    {200, ID_LINE SEAL_LINE "Hickoryrouter-Not-Executed: 1\r\n"},
    {200, ID_LINE SEAL_LINE "Transfer-Encoding : chunked\r\n"},
    {206, ID_LINE SEAL_LINE},
    {204, ID_LINE SEAL_LINE},
    {304, ID_LINE SEAL_LINE},
    {404, ID_LINE SEAL_LINE},
    {500, ID_LINE SEAL_LINE},
    {503, ID_LINE SEAL_LINE},
    {503, ID_LINE SEAL_LINE "Retry-After: soon\r\n"},
    {0, ID_LINE SEAL_LINE},
};

#define RANDOM_HEADS (sizeof(random_heads) / sizeof(random_heads[0]))

/* Sends a request on a kept connection, which is opened if need be. */
static TestReply
send_kept(int *fd, const char *method, const char *target, const char *id)
{
    char text[256];
    TestReply reply;

    if (*fd < 0) {
        *fd = TestSocket_Connect(site.gateways[0].caller_port);
    }
    snprintf(text, sizeof(text),
             "%s %s HTTP/1.1\r\nHost: site.example\r\n"
             "Hickoryrouter-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
             method, target, id);
    TestSocket_WriteText(*fd, text);
    reply = TestSocket_ReadReply(*fd);
    if (reply.status == 0) {
        close(*fd);
        *fd = -1;
    }
    return reply;
}

/* Returns true if a merged answer names parts of this request only, each once,
 * tells how many are missing, and has their records in descending order. */
static bool
is_merge_sound(const TestReply *reply, const char *id)
{
    const char *body = reply->text + reply->head_bytes;
    uint32_t parts = count_parts(reply, id);
    char value[16] = "0";
    size_t i;

    TestReply_FindHeader(reply, "Hickoryrouter-Missing-Parts", value,
                         sizeof(value));
    for (i = 16; i + 16 <= reply->body_bytes; i += 16) {
        if (memcmp(body + i - 16, body + i, 16) < 0) {
            return false;
        }
    }
    return parts * 2 >= SERVICES - 1 && reply->body_bytes % 16 == 0 &&
           parts + strtoul(value, NULL, 10) == SERVICES - 1;
}

/* Returns true if a request that must run at most once did, and its answer
 * promises nothing that is not true. */
static bool
is_once_sound(const TestReply *reply, const char *id)
{
    int64_t runs = TestSite_CountRuns(&site, id);
    char seal[64], value[64];

    if (runs > 1 || (runs > 0 && reply->status == 503)) {
        return false;
    }
    snprintf(seal, sizeof(seal), "seal-%s", id);
    return reply->status / 100 != 2 ||
           (runs == 1 &&
            TestReply_FindHeader(reply, "Hickoryrouter-Response-Seal", value,
                                 sizeof(value)) != NULL &&
            strncmp(value, seal, strlen(seal)) == 0);
}

/* Has each server answer with a random head, some of them late so that their
 * requests are hedged, and checks the answers to requests of both kinds. */
static bool
run_random_heads(uint64_t seed, bool trace)
{
    HrRng rng = HrRng_FromSeed(seed);
    uint32_t i, sound_share = 20 + (uint32_t)HrRng_DrawBelow(&rng, 80);
    bool is_sound = true;
    int fd = -1;

    for (i = 0; i < SERVICES * REPLICAS; i++) {
        size_t head = HrRng_DrawBelow(&rng, 100) < sound_share
                          ? HrRng_DrawBelow(&rng, 3)
                          : HrRng_DrawBelow(&rng, RANDOM_HEADS);

        if (HrRng_DrawBelow(&rng, 8) == 0) {
            char target[64];

            snprintf(target, sizeof(target),
                     "/test/server?id=i-%u-%u&mode=slow", i / REPLICAS,
                     i % REPLICAS);
            TestSite_SendControl(&site, target, "");
            continue;
        }
        set_server_lines(i / REPLICAS, i % REPLICAS, random_heads[head].status,
                         random_heads[head].lines);
    }
    for (i = 0; i < 10 && is_sound; i++) {
        bool is_wide = HrRng_DrawBool(&rng, 0.6);
        char id[32];
        TestReply reply;

        snprintf(id, sizeof(id), "s%llu-%u", (unsigned long long)seed, i);
        reply = is_wide ? send_kept(&fd, "GET", "/wide/a", id)
                        : send_kept(&fd, "POST", "/once/a", id);
        is_sound = is_wide ? reply.status != 200 || is_merge_sound(&reply, id)
                           : is_once_sound(&reply, id);
        if (trace || !is_sound) {
            printf("%s:\n%s\n", id, reply.text);
        }
    }
    if (fd >= 0) {
        close(fd);
    }
    for (i = 0; i < SERVICES; i++) {
        TestSite_SetServiceMode(&site, i, "ok");
    }
    return is_sound;
}

/* Guards against all of these faults together, with repeats and hedges. */
static void
test_random_heads(void **state)
{
    (void)state;
    assert_int_equal(HrFleet_RunSeeds("random heads", 1,
                                      HrFleet_GetScheduleCount(8),
                                      run_random_heads),
                     0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_malformed_digest_is_no_answer),
        cmocka_unit_test(test_sound_server_replaces_malformed_part),
        cmocka_unit_test(test_digest_of_another_part_is_no_part),
        cmocka_unit_test(test_blanks_behind_values_are_ignored),
        cmocka_unit_test(test_connection_header_spares_id_and_digest),
        cmocka_unit_test(test_success_is_not_declined),
        cmocka_unit_test(test_encoded_body_is_no_answer),
        cmocka_unit_test(test_answer_with_two_ids_is_no_answer),
        cmocka_unit_test(test_malformed_name_is_no_answer),
        cmocka_unit_test(test_answers_without_body_have_no_length),
        cmocka_unit_test(test_redirect_is_not_repeated),
        cmocka_unit_test(test_random_heads),
    };

    return cmocka_run_group_tests(tests, start_site, stop_site);
}
