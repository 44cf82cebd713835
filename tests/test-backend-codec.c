#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "proto-backend.h"

#define SEED UINT64_C(550001)
#define MUTATION_COUNT 20000
#define SOAK_FACTOR 20

static const char good_answer[] =
    "{\"query_id\":\"0000000000000001-0000000000000002-00000000000000ff\","
    "\"attempt_id\":12,\"shard\":\"s-1\",\"version\":3,"
    "\"status\":\"answered\",\"payload\":{\"hits\":[1,2]},"
    "\"draining\":false,\"server\":\"b7\",\"start_id\":99,"
    "\"load\":{\"running\":1,\"queued\":2}}";

static const char good_status[] =
    "{\"server\":\"b7\",\"start_id\":99,\"state\":\"cold\",\"running\":1,"
    "\"queued\":0,\"slots\":2,\"connections\":25,\"versions\":["
    "{\"version\":4,\"shards\":[{\"name\":\"a\",\"key_from\":"
    "\"8000000000000000\",\"key_to\":\"ffffffffffffffff\"},{\"name\":\"b\","
    "\"key_from\":\"0000000000000000\",\"key_to\":\"7fffffffffffffff\"}]},"
    "{\"version\":9,\"shards\":[]}]}";

/* Returns the bytes of a C string, without its NUL. */
static HrBytes
get_bytes(const char *text)
{
    HrBytes bytes = {(const uint8_t *)text, strlen(text)};

    return bytes;
}

/* Returns the result of decoding an answer, which is freed. */
static int
decode_answer(int http_status, HrBytes body)
{
    void *parent = talloc_new(NULL);
    HrBackendAnswer answer;
    HrError err;
    int rc = HrBackend_DecodeAnswer(parent, http_status, body, &answer, &err);

    talloc_free(parent);
    return rc;
}

/* Returns the result of decoding a status report, which is freed. */
static int
decode_status(int http_status, HrBytes body)
{
    void *parent = talloc_new(NULL);
    HrBackendStatus status;
    HrError err;
    int rc = HrBackend_DecodeStatus(parent, http_status, body, &status, &err);

    talloc_free(parent);
    return rc;
}

/* Returns a copy of text, a talloc child of parent, with the first occurrence
 * of part replaced. */
static char *
replace_part(const void *parent, const char *text, const char *part,
             const char *replacement)
{
    const char *position = strstr(text, part);

    assert_non_null(position);
    return talloc_asprintf(parent, "%.*s%s%s", (int)(position - text), text,
                           replacement, position + strlen(part));
}

/* Guards against request headers that differ from the wire format of the
 * backend servers. */
static void
test_search_headers(void **state)
{
    static const char *const lines[] = {
        "X-Query-Id: 000000000000000a-00000000000000ff-0000000000000001",
        "X-Attempt-Id: 77",
        "X-Version: 3",
        "X-Deadline-Ms: 49",
        "X-Priority: 2",
        "X-Idempotent: 1",
        "X-Shard: s-1"};
    HrSubRequest sub = {.query = {10, 255, 1},
                        .shard = "s-1",
                        .version = 3,
                        .priority = 2,
                        .idempotent = true};
    HrBackendRequest request;
    uint32_t i;

    (void)state;
    assert_int_equal(
        HrBackend_EncodeSearch(&request, 77, &sub, 50 * HR_NS_PER_MS, 1), 0);
    assert_string_equal(request.path, "/v1/search");
    assert_int_equal(request.header_count, 7);
    for (i = 0; i < 7; i++) {
        assert_string_equal(request.headers[i], lines[i]);
    }
    HrBackend_EncodeCancel(&request, &sub.query, 77);
    assert_string_equal(request.path, "/v1/cancel");
    assert_int_equal(request.header_count, 2);
    assert_string_equal(request.headers[0], lines[0]);
    assert_string_equal(request.headers[1], lines[1]);
}

/* Guards against a shard name that injects header lines, and against a request
 * that is sent with less than 1 ms left. */
static void
test_unsendable_search_is_refused(void **state)
{
    HrSubRequest sub = {.shard = "s\r\nX-Idempotent: 0"};
    HrBackendRequest request;
    char name[200];

    (void)state;
    assert_int_equal(HrBackend_EncodeSearch(&request, 1, &sub, HR_NS_PER_S, 0),
                     HR_ERR_INVALID);
    sub.shard = "";
    assert_int_equal(HrBackend_EncodeSearch(&request, 1, &sub, HR_NS_PER_S, 0),
                     HR_ERR_INVALID);
    memset(name, 'x', sizeof(name) - 1);
    name[sizeof(name) - 1] = '\0';
    sub.shard = name;
    assert_int_equal(HrBackend_EncodeSearch(&request, 1, &sub, HR_NS_PER_S, 0),
                     HR_ERR_INVALID);
    sub.shard = "s";
    assert_int_equal(
        HrBackend_EncodeSearch(&request, 1, &sub, HR_NS_PER_MS - 1, 0),
        HR_ERR_TIMEOUT);
}

/* Guards against fields of an answer that are dropped or swapped when it is
 * decoded. */
static void
test_answer_decoding(void **state)
{
    void *parent = talloc_new(NULL);
    HrBackendAnswer out;
    HrError err;

    (void)state;
    assert_int_equal(HrBackend_DecodeAnswer(
                         parent, 200, get_bytes(good_answer), &out, &err),
                     0);
    assert_int_equal(out.answer.query.daemon_id, 1);
    assert_int_equal(out.answer.query.incarnation, 2);
    assert_int_equal(out.answer.query.counter, 255);
    assert_int_equal(out.answer.attempt_id, 12);
    assert_string_equal(out.answer.shard, "s-1");
    assert_int_equal(out.answer.version, 3);
    assert_int_equal(out.answer.outcome, HR_BACKEND_ANSWERED);
    assert_memory_equal(out.answer.payload.data, "{\"hits\":[1,2]}", 14);
    assert_int_equal(out.answer.payload.length_bytes, 14);
    assert_false(out.answer.draining);
    assert_string_equal(out.server, "b7");
    assert_int_equal(out.answer.start_id, 99);
    assert_int_equal(out.answer.load.running, 1);
    assert_int_equal(out.answer.load.queued, 2);
    talloc_free(parent);
}

/* Guards against a status report whose versions are not sorted newest first,
 * or whose shards are not sorted by key. */
static void
test_status_decoding(void **state)
{
    void *parent = talloc_new(NULL);
    HrBackendStatus status;
    HrError err;

    (void)state;
    assert_int_equal(HrBackend_DecodeStatus(
                         parent, 200, get_bytes(good_status), &status, &err),
                     0);
    assert_int_equal(status.state, HR_SERVER_COLD);
    assert_int_equal(status.slots, 2);
    assert_int_equal(status.connections, 25);
    assert_int_equal(status.version_count, 2);
    assert_int_equal(status.versions[0].version, 9);
    assert_int_equal(status.versions[0].shard_count, 0);
    assert_int_equal(status.versions[1].shard_count, 2);
    assert_string_equal(status.versions[1].shards[0].name, "b");
    assert_true(status.versions[1].shards[1].key_to == UINT64_MAX);
    talloc_free(parent);
}

/* Guards against treating the outcome of an attempt as certain although the
 * answer leaves open whether it ran: another HTTP status than 200 and 503, or
 * a 503 with status "answered". */
static void
test_inconclusive_http_status_is_error(void **state)
{
    void *parent = talloc_new(NULL);
    HrBytes good = get_bytes(good_answer);
    char *shed = replace_part(parent, good_answer, "answered", "shed");

    (void)state;
    assert_int_equal(decode_answer(200, good), 0);
    assert_int_equal(decode_answer(503, good), HR_ERR_PROTOCOL);
    assert_int_equal(decode_answer(500, good), HR_ERR_PROTOCOL);
    assert_int_equal(decode_answer(204, good), HR_ERR_PROTOCOL);
    assert_int_equal(decode_answer(503, get_bytes(shed)), 0);
    assert_int_equal(decode_answer(200, get_bytes(shed)), 0);
    assert_int_equal(decode_status(503, get_bytes(good_status)),
                     HR_ERR_PROTOCOL);
    assert_true(HrBackend_IsCancelConfirmed(200));
    assert_false(HrBackend_IsCancelConfirmed(404));
    talloc_free(parent);
}

/* Guards against accepting fields of a wrong type, range or format, and
 * duplicates. */
static void
test_malformed_fields_are_errors(void **state)
{
    static const char *const answers[][2] = {
        {"\"attempt_id\":12", "\"attempt_id\":-1"},
        {"\"attempt_id\":12", "\"attempt_id\":1.5"},
        {"\"attempt_id\":12", "\"attempt_id\":\"12\""},
        {"\"attempt_id\":12", "\"attempt_id\":18446744073709551616"},
        {"\"attempt_id\":12,", ""},
        {"00ff\"", "00fg\""},
        {"00ff\"", "0ff\""},
        {"0001-", "0001_"},
        {"\"shard\":\"s-1\"", "\"shard\":\"\""},
        {"\"shard\":\"s-1\"", "\"shard\":\"s\\u0000\""},
        {"\"status\":\"answered\"", "\"status\":\"Answered\""},
        {"\"payload\":{\"hits\":[1,2]},", ""},
        {"\"draining\":false", "\"draining\":0"},
        {"\"server\":\"b7\"", "\"server\":null"},
        {"\"load\":{\"running\":1,\"queued\":2}", "\"load\":[]"},
        {"\"running\":1", "\"running\":4294967296"},
        {"\"version\":3", "\"version\":3,\"version\":4"},
    };
    static const char *const statuses[][2] = {
        {"\"cold\"", "\"warm\""},
        {"\"slots\":2", "\"slots\":-2"},
        {"\"version\":9", "\"version\":4"},
        {"7fffffffffffffff", "8000000000000000"},
        {"\"8000000000000000\"", "\"8000000000000000 \""},
        {"\"8000000000000000\"", "\"0x00000000000000\""},
        {"\"key_to\":\"ffffffffffffffff\"", "\"key_to\":\"0000000000000001\""},
        {"\"shards\":[]", "\"shards\":{}"},
        {"\"name\":\"a\"", "\"name\":7"},
    };
    void *parent = talloc_new(NULL);
    size_t i;

    (void)state;
    for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        char *text =
            replace_part(parent, good_answer, answers[i][0], answers[i][1]);

        assert_int_equal(decode_answer(200, get_bytes(text)), HR_ERR_PROTOCOL);
    }
    for (i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
        char *text =
            replace_part(parent, good_status, statuses[i][0], statuses[i][1]);

        assert_int_equal(decode_status(200, get_bytes(text)), HR_ERR_PROTOCOL);
    }
    talloc_free(parent);
}

/* Guards against accepting a truncated body. */
static void
test_truncated_bodies_are_errors(void **state)
{
    HrBytes body = get_bytes(good_answer);
    size_t full_bytes = body.length_bytes;

    (void)state;
    for (body.length_bytes = 0; body.length_bytes < full_bytes;
         body.length_bytes++) {
        assert_int_equal(decode_answer(200, body), HR_ERR_PROTOCOL);
    }
    body = get_bytes(good_status);
    full_bytes = body.length_bytes;
    for (body.length_bytes = 0; body.length_bytes < full_bytes;
         body.length_bytes++) {
        assert_int_equal(decode_status(200, body), HR_ERR_PROTOCOL);
    }
}

/* Guards against unbounded memory use for a huge answer. */
static void
test_huge_body_is_refused(void **state)
{
    HrBytes body = {(const uint8_t *)good_answer,
                    HR_BACKEND_ANSWER_MAX_BYTES + 1};

    (void)state;
    assert_int_equal(decode_answer(200, body), HR_ERR_TOO_LARGE);
    assert_int_equal(decode_status(200, body), HR_ERR_TOO_LARGE);
}

/* Guards against crashes and leaks when a body has random bytes changed. */
static void
test_random_mutations(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t count = MUTATION_COUNT, i;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    if (getenv("HR_SOAK") != NULL) {
        count *= SOAK_FACTOR;
    }
    for (i = 0; i < count; i++) {
        const char *source = i % 2 == 0 ? good_answer : good_status;
        size_t length = strlen(source);
        uint8_t *copy = talloc_memdup(NULL, source, length);
        uint32_t changes = 1 + (uint32_t)HrRng_DrawBelow(&rng, 4);
        HrBytes body = {copy, length};
        int rc;

        while (changes-- > 0) {
            copy[HrRng_DrawBelow(&rng, length)] =
                (uint8_t)HrRng_DrawBelow(&rng, 256);
        }
        rc = i % 2 == 0 ? decode_answer(200, body) : decode_status(200, body);
        assert_true(rc == HR_OK || rc == HR_ERR_PROTOCOL);
        talloc_free(copy);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_search_headers),
        cmocka_unit_test(test_unsendable_search_is_refused),
        cmocka_unit_test(test_answer_decoding),
        cmocka_unit_test(test_status_decoding),
        cmocka_unit_test(test_inconclusive_http_status_is_error),
        cmocka_unit_test(test_malformed_fields_are_errors),
        cmocka_unit_test(test_truncated_bodies_are_errors),
        cmocka_unit_test(test_huge_body_is_refused),
        cmocka_unit_test(test_random_mutations),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
