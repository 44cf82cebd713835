#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "common-mutate.h"
#include "proto-caller.h"
#include "proto-fields.h"

#define SEED UINT64_C(20261204)
#define MUTATION_COUNT 60000
#define SOAK_FACTOR 20
#define STRING_COUNT 20000
#define STRING_MAX_BYTES 12

#define GOOD_QUERY                                                            \
    "{\"request_id\":\"r1\",\"kind\":\"fleet.sweep\",\"key\":\"depot 7\","    \
    "\"payload\":{\"a\":[1,2.5,\"x\"],\"b\":null},\"deadline_ms\":250,"       \
    "\"want\":\"complete\",\"caller\":\"desk\",\"attempt\":1,"                \
    "\"expires_ms\":1796000000000}"

/* Returns the number of damaged texts to decode; HR_SOAK=1 multiplies it by
 * SOAK_FACTOR. */
static uint32_t
get_mutation_count(void)
{
    const char *soak = getenv("HR_SOAK");

    return soak != NULL && strcmp(soak, "1") == 0
               ? MUTATION_COUNT * SOAK_FACTOR
               : MUTATION_COUNT;
}

/* Returns the result of decoding a query, which is freed. */
static int
decode_query(const char *text, HrError *err)
{
    HrCallerQuery *query;
    int rc = HrCallerQuery_Decode(NULL, text, strlen(text), &query, err);

    assert_int_equal(rc == HR_OK, query != NULL);
    talloc_free(query);
    return rc;
}

/* Checks that a query is refused with the given error kind and a message
 * that contains part and a remedy. */
static void
expect_refusal(const char *text, int kind, const char *part)
{
    HrError err = {0};
    int rc = decode_query(text, &err);

    if (rc != kind || err.kind != kind || strstr(err.message, part) == NULL) {
        print_message("%s\n-> %s %s\n", text, HrError_GetName(rc),
                      err.message);
    }
    assert_int_equal(rc, kind);
    assert_int_equal(err.kind, kind);
    assert_non_null(strstr(err.message, part));
    /* The remedy follows the semicolon. */
    assert_non_null(strchr(err.message, ';'));
}

/* Guards against fields of a query that are dropped or swapped between text
 * and struct. */
static void
test_query_round_trip(void **state)
{
    HrCallerQuery *query, *decoded_again;
    HrError err = {0};
    char *text;

    (void)state;
    assert_int_equal(HrCallerQuery_Decode(NULL, GOOD_QUERY, strlen(GOOD_QUERY),
                                          &query, &err),
                     HR_OK);
    assert_string_equal(query->request_id, "r1");
    assert_string_equal(query->kind, "fleet.sweep");
    assert_string_equal(query->key, "depot 7");
    assert_string_equal(query->caller, "desk");
    assert_int_equal(query->deadline_ms, 250);
    assert_int_equal(query->want, HR_WANT_COMPLETE);
    assert_int_equal(query->expires_ms, INT64_C(1796000000000));
    assert_int_equal(query->attempt, 1);
    assert_string_equal((const char *)query->payload.data,
                        "{\"a\":[1,2.5,\"x\"],\"b\":null}");
    text = HrCallerQuery_Encode(query, query);
    assert_int_equal(
        HrCallerQuery_Decode(query, text, strlen(text), &decoded_again, &err),
        HR_OK);
    assert_string_equal(text, HrCallerQuery_Encode(query, decoded_again));
    talloc_free(query);
}

/* Guards against absent optional fields that do not get their defaults. */
static void
test_query_defaults(void **state)
{
    const char *text = "{\"request_id\":\"r\",\"kind\":\"k\",\"payload\":0}";
    HrCallerQuery *query;

    (void)state;
    assert_int_equal(
        HrCallerQuery_Decode(NULL, text, strlen(text), &query, NULL), HR_OK);
    assert_null(query->key);
    assert_null(query->caller);
    assert_int_equal(query->deadline_ms, 0);
    assert_int_equal(query->expires_ms, 0);
    assert_int_equal(query->attempt, 0);
    assert_int_equal(query->want, HR_WANT_PARTIAL);
    assert_string_equal((const char *)query->payload.data, "0");
    talloc_free(query);
}

/* Guards against malformed queries that are accepted, or refused without
 * naming a remedy. */
static void
test_malformed_query_is_refused(void **state)
{
    (void)state;
#define QUERY(rest) "{\"request_id\":\"r\",\"kind\":\"k\",\"payload\":1" rest
    expect_refusal("", HR_ERR_INVALID, "no valid JSON");
    expect_refusal("[1]", HR_ERR_INVALID, "no JSON object");
    expect_refusal(QUERY(""), HR_ERR_INVALID, "no valid JSON");
    expect_refusal(QUERY("}}"), HR_ERR_INVALID, "no valid JSON");
    expect_refusal(QUERY(",\"kind\":\"l\"}"), HR_ERR_INVALID, "duplicate");
    expect_refusal(QUERY(",\"color\":1}"), HR_ERR_UNKNOWN_FIELD, "color");
    expect_refusal(QUERY(",\"deadline_ms\":0}"), HR_ERR_RANGE, "deadline_ms");
    expect_refusal(QUERY(",\"deadline_ms\":-5}"), HR_ERR_RANGE, "-5");
    expect_refusal(QUERY(",\"deadline_ms\":600001}"), HR_ERR_RANGE, "600000");
    expect_refusal(QUERY(",\"deadline_ms\":99999999999999999999}"),
                   HR_ERR_INVALID, "too big");
    expect_refusal(QUERY(",\"deadline_ms\":1.5}"), HR_ERR_INVALID,
                   "whole number");
    expect_refusal(QUERY(",\"deadline_ms\":\"9\"}"), HR_ERR_INVALID,
                   "whole number");
    expect_refusal(QUERY(",\"attempt\":0}"), HR_ERR_RANGE, "attempt");
    expect_refusal(QUERY(",\"expires_ms\":4102444800001}"), HR_ERR_RANGE,
                   "expires_ms");
    expect_refusal(QUERY(",\"want\":\"all\"}"), HR_ERR_RANGE,
                   "partial or complete");
    expect_refusal(QUERY(",\"key\":7}"), HR_ERR_INVALID, "no string");
    expect_refusal(QUERY(",\"key\":\"\"}"), HR_ERR_RANGE, "0 bytes");
    expect_refusal(QUERY(",\"key\":null}"), HR_ERR_INVALID, "no string");
    expect_refusal("{\"kind\":\"k\",\"payload\":1}", HR_ERR_INVALID,
                   "request_id");
    expect_refusal("{\"request_id\":\"r\",\"kind\":\"k\"}", HR_ERR_INVALID,
                   "payload");
    expect_refusal(QUERY(",\"key\":\"a\\u0000b\"}"), HR_ERR_INVALID,
                   "no valid JSON");
    expect_refusal(QUERY(",\"key\":\"\xff\"}"), HR_ERR_INVALID,
                   "no valid JSON");
#undef QUERY
}

/* Guards against queries that exhaust memory by their size, or the stack by
 * their nesting. */
static void
test_oversized_and_deep_query_is_refused(void **state)
{
    size_t size = HR_CALLER_QUERY_MAX_BYTES + 1, i;
    char *text = talloc_size(NULL, size + 1);
    HrBytes bytes = {(const uint8_t *)text, 0};

    (void)state;
    memset(text, ' ', size);
    text[size] = '\0';
    expect_refusal(text, HR_ERR_TOO_LARGE, "send at most");
    memset(text, '[', size - 1);
    text[size - 1] = '\0';
    expect_refusal(text, HR_ERR_RANGE, "too deep");
    for (i = 0; i < HR_JSON_MAX_PAYLOAD_DEPTH + 1; i++) {
        text[i] = '[';
        text[2 * HR_JSON_MAX_PAYLOAD_DEPTH + 1 - i] = ']';
    }
    bytes.length_bytes = 2 * HR_JSON_MAX_PAYLOAD_DEPTH + 2;
    assert_false(HrJson_IsValue(bytes));
    bytes.data++;
    bytes.length_bytes -= 2;
    assert_true(HrJson_IsValue(bytes));
    bytes.length_bytes--;
    assert_false(HrJson_IsValue(bytes));
    talloc_free(text);
}

/* Guards against damaged queries that crash the decoder, are refused
 * without an error kind, or are accepted with values outside their limits. */
static void
test_damaged_query_is_refused_or_valid(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t i, accepted_count = 0, count = get_mutation_count();

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (i = 0; i < count; i++) {
        size_t length;
        char *text = TestText_Mutate(NULL, GOOD_QUERY, &rng, &length);
        HrCallerQuery *query;
        HrError err = {0};
        int rc = HrCallerQuery_Decode(text, text, length, &query, &err);

        if (rc == HR_OK) {
            accepted_count++;
            assert_true(query->deadline_ms <= HR_CALLER_MAX_DEADLINE_MS);
            assert_true(strlen(query->request_id) > 0);
            assert_true(query->expires_ms >= 0);
            assert_non_null(query->payload.data);
            assert_int_equal(
                decode_query(HrCallerQuery_Encode(text, query), &err), HR_OK);
        }
        else {
            assert_int_equal(err.kind, rc);
            assert_true(strlen(err.message) > 0);
            assert_null(query);
        }
        talloc_free(text);
    }
    assert_in_range(accepted_count, count / 100, count / 2);
}

/* Returns an answer with two shards that contributed and one missing shard. */
static HrGatherAnswer
create_sample_answer(void)
{
    static HrShardPart parts[] = {
        {"s0",
         "g0",
         "server-1",
         {(const uint8_t *)"{\"hits\":[1]}", 12},
         1500},
        {"s1", "g0", NULL, {(const uint8_t *)"null", 4}, 2000000},
    };
    static HrMissingShard missing[] = {{"s2", "g1", HR_REASON_OVERLOADED}};
    HrGatherAnswer answer = {
        .status = HR_STATUS_PARTIAL,
        .version = 7,
        .parts = parts,
        .part_count = 2,
        .missing = missing,
        .missing_count = 1,
        .restarts = 1,
        .failovers = 2,
        .started_ns = HR_NS_PER_S,
        .first_part_ns = HR_NS_PER_S + 1000,
        .last_part_ns = HR_NS_PER_S + 2000000,
        .finished_ns = HR_NS_PER_S + 3000000,
    };

    return answer;
}

/* Guards against an answer whose coverage, payloads or times change when it is
 * encoded and decoded. */
static void
test_answer_round_trip(void **state)
{
    HrGatherAnswer answer = create_sample_answer();
    char *text = HrCallerAnswer_Encode(NULL, "r \"1\"", &answer);
    HrCallerAnswer *decoded;
    HrError err = {0};

    (void)state;
    assert_int_equal(
        HrCallerAnswer_Decode(text, text, strlen(text), &decoded, &err),
        HR_OK);
    assert_string_equal(decoded->request_id, "r \"1\"");
    assert_int_equal(decoded->gather.status, HR_STATUS_PARTIAL);
    assert_int_equal(decoded->gather.reason, HR_REASON_NONE);
    assert_int_equal(decoded->gather.version, 7);
    assert_int_equal(decoded->gather.part_count, 2);
    assert_string_equal(decoded->gather.parts[0].server, "server-1");
    assert_string_equal((const char *)decoded->gather.parts[0].payload.data,
                        "{\"hits\":[1]}");
    assert_int_equal(decoded->gather.parts[0].latency_ns, 1000);
    assert_null(decoded->gather.parts[1].server);
    assert_string_equal(decoded->gather.missing[0].shard, "s2");
    assert_int_equal(decoded->gather.missing[0].reason, HR_REASON_OVERLOADED);
    assert_int_equal(decoded->gather.finished_ns, 3000000);
    talloc_free(text);
}

/* Guards against a refusal that is sent without its reason or not_run. */
static void
test_refusal_round_trip(void **state)
{
    HrGatherAnswer answer = {.status = HR_STATUS_REFUSED,
                             .reason = HR_REASON_NO_INDEX,
                             .not_run = true};
    char *text = HrCallerAnswer_Encode(NULL, "r", &answer);
    HrError err = {.kind = HR_ERR_RANGE, .message = "too \"deep\"; flatten"};
    HrCallerAnswer *decoded;

    (void)state;
    assert_int_equal(
        HrCallerAnswer_Decode(text, text, strlen(text), &decoded, NULL),
        HR_OK);
    assert_int_equal(decoded->gather.status, HR_STATUS_REFUSED);
    assert_int_equal(decoded->gather.reason, HR_REASON_NO_INDEX);
    assert_true(decoded->gather.not_run);
    assert_string_equal(HrCallerRefusal_Encode(text, &err),
                        "{\"status\":\"refused\",\"not_run\":true,"
                        "\"error\":\"range\","
                        "\"message\":\"too \\\"deep\\\"; flatten\"}");
    talloc_free(text);
}

/* Guards against damaged answers that crash the decoder, or are accepted
 * although their status contradicts their missing shards or not_run. */
static void
test_damaged_answer_is_refused_or_valid(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 1);
    HrGatherAnswer answer = create_sample_answer();
    char *good = HrCallerAnswer_Encode(NULL, "r", &answer);
    uint32_t i, accepted_count = 0, count = get_mutation_count();

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED + 1);
    for (i = 0; i < count; i++) {
        size_t length;
        char *text = TestText_Mutate(NULL, good, &rng, &length);
        HrCallerAnswer *decoded;
        HrError err = {0};
        int rc = HrCallerAnswer_Decode(text, text, length, &decoded, &err);

        if (rc == HR_OK) {
            accepted_count++;
            assert_false(decoded->gather.status == HR_STATUS_COMPLETE &&
                         decoded->gather.missing_count > 0);
            assert_false(decoded->gather.not_run &&
                         decoded->gather.status != HR_STATUS_REFUSED);
        }
        else {
            assert_int_equal(err.kind, rc);
            assert_true(strlen(err.message) > 0);
            assert_null(decoded);
        }
        talloc_free(text);
    }
    assert_in_range(accepted_count, count / 100, count / 2);
    talloc_free(good);
}

/* Fills a string with random characters: 70% printable ASCII, 25% that mostly
 * need escapes, and 5% any byte, which is often not valid UTF-8. */
static void
fill_random_string(HrRng *rng, char *string)
{
    static const char special[] = "\"\\/\b\f\n\r\t\x1f\x7f~ \xc3\xa9";
    size_t length = HrRng_DrawBelow(rng, STRING_MAX_BYTES + 1), i;

    for (i = 0; i < length; i++) {
        uint64_t kind_percent = HrRng_DrawBelow(rng, 100);

        if (kind_percent < 70) {
            string[i] = (char)(' ' + HrRng_DrawBelow(rng, 95));
        }
        else if (kind_percent < 95) {
            string[i] = special[HrRng_DrawBelow(rng, sizeof(special) - 1)];
        }
        else {
            string[i] = (char)(1 + HrRng_DrawBelow(rng, 255));
        }
    }
    string[length] = '\0';
}

/* Guards against strings and numbers that are encoded differently than by the
 * JSON library, and against accepting strings that are not UTF-8. */
static void
test_strings_match_json_library(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t i, refused_count = 0;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (i = 0; i < STRING_COUNT; i++) {
        HrJsonText text = {0};
        char string[STRING_MAX_BYTES + 1], *expected, *actual;
        int64_t number = (int64_t)HrRng_DrawU64(&rng);
        json_t *value;

        fill_random_string(&rng, string);
        value = json_pack("[s,I]", string, (json_int_t)number);
        expected = value != NULL ? json_dumps(value, JSON_COMPACT) : NULL;
        json_decref(value);
        HrJsonText_AppendRaw(&text, "[");
        HrJsonText_AppendString(&text, string);
        HrJsonText_AppendRaw(&text, ",");
        HrJsonText_AppendInteger(&text, number);
        HrJsonText_AppendRaw(&text, "]");
        actual = HrJsonText_Finish(&text);
        if (expected == NULL) {
            assert_null(actual);
            refused_count++;
        }
        else {
            assert_non_null(actual);
            assert_string_equal(actual, expected);
        }
        free(expected);
        talloc_free(actual);
    }
    assert_in_range(refused_count, STRING_COUNT / 100, STRING_COUNT / 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_query_round_trip),
        cmocka_unit_test(test_query_defaults),
        cmocka_unit_test(test_malformed_query_is_refused),
        cmocka_unit_test(test_oversized_and_deep_query_is_refused),
        cmocka_unit_test(test_damaged_query_is_refused_or_valid),
        cmocka_unit_test(test_answer_round_trip),
        cmocka_unit_test(test_refusal_round_trip),
        cmocka_unit_test(test_damaged_answer_is_refused_or_valid),
        cmocka_unit_test(test_strings_match_json_library),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
