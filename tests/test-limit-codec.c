#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <math.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "proto-hello.h"
#include "proto-limit.h"

#define MUTATIONS 20000

/* Returns a message with all parts in use. */
static HrLimitMessage
make_full_message(void)
{
    HrLimitMessage message = {.sender = 1,
                              .receiver = UINT64_MAX,
                              .has_delegation = true,
                              .stamp = {77, 123456},
                              .take_count = HR_LIMIT_ITEMS_MAX,
                              .grant_count = HR_LIMIT_ITEMS_MAX};
    uint32_t i, j;

    message.delegation.gateway_count = 300;
    message.delegation.version = UINT32_MAX;
    message.acked_version = 70000;
    message.delegation.echo = (HrLimitStamp){UINT32_MAX, 1ull << 40};
    message.delegation.lists.count = HR_LIMIT_LISTS;
    for (i = 0; i < HR_LIMIT_LISTS; i++) {
        message.delegation.lists.lists[i].count = HR_LIMIT_OWNERS;
        message.delegation.lists.lists[i].ended = i * 5;
        for (j = 0; j < HR_LIMIT_OWNERS; j++) {
            message.delegation.lists.lists[i].names[j] =
                UINT64_MAX - (uint64_t)i * 10 - j;
        }
    }
    for (i = 0; i < HR_LIMIT_ITEMS_MAX; i++) {
        message.takes[i] = (HrLimitTake){
            i, UINT32_MAX - i, 100 + i, 7, 1000, {12.5, 10.25, 0.75, true}};
        message.grants[i] = (HrLimitGrant){
            UINT64_MAX - i, i + 1, 900, 250 * HR_NS_PER_MS, 33 * HR_NS_PER_US};
    }
    return message;
}

/* Encodes a message. */
static HrBytes
encode(void *parent, const HrLimitMessage *message)
{
    HrBytes bytes;

    assert_int_equal(HrLimitMessage_Encode(parent, message, &bytes), HR_OK);
    return bytes;
}

/* Guards against a field that is lost or changed between two gateways, and a
 * full message that is too long to be decoded. */
static void
test_round_trip(void **state)
{
    void *parent = talloc_new(NULL);
    HrLimitMessage message = make_full_message(), decoded;
    HrBytes bytes = encode(parent, &message);

    (void)state;
    assert_true(bytes.length_bytes <= HR_LIMIT_MAX_BYTES);
    print_message("a full message takes %zu bytes\n", bytes.length_bytes);
    assert_int_equal(
        HrLimitMessage_Decode(&decoded, bytes.data, bytes.length_bytes),
        HR_OK);
    assert_int_equal(decoded.sender, message.sender);
    assert_int_equal(decoded.receiver, message.receiver);
    assert_int_equal(decoded.stamp.process, message.stamp.process);
    assert_int_equal(decoded.stamp.time_ms, message.stamp.time_ms);
    assert_true(decoded.has_delegation);
    assert_memory_equal(&decoded.delegation.lists, &message.delegation.lists,
                        sizeof(message.delegation.lists));
    assert_int_equal(decoded.delegation.gateway_count, 300);
    assert_int_equal(decoded.delegation.version, UINT32_MAX);
    assert_int_equal(decoded.acked_version, 70000);
    assert_int_equal(decoded.delegation.echo.process, UINT32_MAX);
    assert_int_equal(decoded.delegation.echo.time_ms, 1ull << 40);
    assert_int_equal(decoded.take_count, message.take_count);
    assert_int_equal(decoded.grant_count, message.grant_count);
    assert_memory_equal(decoded.takes, message.takes, sizeof(message.takes));
    assert_memory_equal(decoded.grants, message.grants,
                        sizeof(message.grants));
    talloc_free(parent);
}

/* Guards against messages that cost more than needed: delegations go to four
 * owners from each gateway, and bytes between zones are paid for. */
static void
test_usual_messages_are_small(void **state)
{
    void *parent = talloc_new(NULL);
    HrLimitMessage message = make_full_message();
    HrLimitMessage reply = {
        .sender = 9, .receiver = 8, .stamp = {7, 90000000}};
    HrLimitMessage take = {.sender = 9, .receiver = 8, .take_count = 1};

    (void)state;
    message.delegation.lists.count = 1;
    message.take_count = message.grant_count = 0;
    message.stamp = (HrLimitStamp){0, 0};
    take.takes[0] = (HrLimitTake){5, 1, 1, 0, 0, {100, 0.5, 0, false}};
    print_message("delegation %zu, reply %zu, take %zu bytes\n",
                  encode(parent, &message).length_bytes,
                  encode(parent, &reply).length_bytes,
                  encode(parent, &take).length_bytes);
    assert_true(encode(parent, &message).length_bytes <= 90);
    assert_true(encode(parent, &reply).length_bytes <= 40);
    assert_true(encode(parent, &take).length_bytes <= 60);
    talloc_free(parent);
}

/* Guards against a message that is taken for a hello, or a hello for one. */
static void
test_told_apart_from_a_hello(void **state)
{
    void *parent = talloc_new(NULL);
    HrLimitMessage message = {.sender = 1, .receiver = 2}, decoded;
    HrHello hello = {.sender = {.name = "gw",
                                .caller_address = "10.0.0.1:1",
                                .peer_address = "10.0.0.1:2",
                                .control_address = "10.0.0.1:3",
                                .data_centre = "a",
                                .region = "r",
                                .capacity = 1}};
    HrBytes limit = encode(parent, &message), bytes;

    (void)state;
    assert_int_equal(HrHello_Encode(parent, &hello, &bytes), HR_OK);
    assert_int_equal(HrHello_Decode(&hello, bytes.data, bytes.length_bytes),
                     HR_OK);
    assert_false(HrLimitMessage_IsLimit(bytes.data, bytes.length_bytes));
    assert_true(HrLimitMessage_IsLimit(limit.data, limit.length_bytes));
    assert_false(HrLimitMessage_IsLimit(limit.data, 1));
    assert_int_not_equal(
        HrHello_Decode(&hello, limit.data, limit.length_bytes), HR_OK);
    assert_int_not_equal(
        HrLimitMessage_Decode(&decoded, bytes.data, bytes.length_bytes),
        HR_OK);
    talloc_free(parent);
}

/* Asserts that a message is refused. */
static void
assert_refused(const HrLimitMessage *message)
{
    void *parent = talloc_new(NULL);
    HrBytes bytes = encode(parent, message);
    HrLimitMessage decoded;

    assert_int_equal(
        HrLimitMessage_Decode(&decoded, bytes.data, bytes.length_bytes),
        HR_ERR_INVALID);
    talloc_free(parent);
}

/* Guards against values that no gateway sends and that would break the
 * arithmetic of a bucket or index beyond an array. */
static void
test_invalid_fields_are_refused(void **state)
{
    const HrLimitMessage good = make_full_message();
    HrLimitMessage message;

    (void)state;
    message = good;
    message.sender = 0;
    assert_refused(&message);
    message = good;
    message.receiver = 0;
    assert_refused(&message);
    message = good;
    message.delegation.gateway_count = 0;
    assert_refused(&message);
    message = good;
    message.delegation.lists.count = 0;
    assert_refused(&message);
    message = good;
    message.delegation.lists.lists[1].count = 0;
    assert_refused(&message);
    message = good;
    message.delegation.lists.lists[1].ended = 16;
    assert_refused(&message);
    message = good;
    message.delegation.lists.lists[0].ended = 1;
    assert_refused(&message);
    message = good;
    message.takes[3].number = 0;
    assert_refused(&message);
    message = good;
    message.takes[3].need = UINT32_MAX;
    assert_refused(&message);
    message = good;
    message.takes[3].rule.rate_per_s = NAN;
    assert_refused(&message);
    message = good;
    message.takes[3].rule.rate_per_s = -1;
    assert_refused(&message);
    message = good;
    message.takes[3].rule.depth_s = INFINITY;
    assert_refused(&message);
    message = good;
    message.grants[3].number = 0;
    assert_refused(&message);
    message = good;
    message.grants[3].count = UINT32_MAX;
    assert_refused(&message);
}

/* Guards against damaged or forged datagrams that crash the decoder or the
 * module behind it. */
static void
test_mutations(void **state)
{
    const HrLimitConfig config = {.self = UINT64_MAX, .process = 77};
    HrLimit *limit = HrLimit_Create(NULL, &config);
    HrRng rng = HrRng_FromSeed(5);
    HrLimitMessage message = make_full_message(), decoded, out;
    HrBytes bytes = encode(limit, &message);
    uint32_t accepted = 0, i;

    (void)state;
    for (i = 0; i < MUTATIONS; i++) {
        char *whole = talloc_memdup(limit, bytes.data, bytes.length_bytes);
        uint32_t changes = 1 + (uint32_t)HrRng_DrawBelow(&rng, 4);

        while (changes-- > 0) {
            whole[HrRng_DrawBelow(&rng, bytes.length_bytes)] =
                (char)HrRng_DrawU64(&rng);
        }
        if (HrLimitMessage_Decode(
                &decoded, whole,
                HrRng_DrawBool(&rng, 0.8)
                    ? bytes.length_bytes
                    : HrRng_DrawBelow(&rng, bytes.length_bytes)) == HR_OK) {
            accepted++;
            HrLimit_HandleMessage(limit, &decoded, (int64_t)i * HR_NS_PER_MS);
        }
        HrLimit_HandleTimer(limit, (int64_t)i * HR_NS_PER_MS);
        while (HrLimit_PopMessage(limit, &out, (int64_t)i * HR_NS_PER_MS)) {
        }
        talloc_free(whole);
    }
    print_message("%u of %u damaged messages were accepted\n", accepted,
                  MUTATIONS);
    assert_true(HrLimit_GetWeight(limit, 1, (int64_t)i * HR_NS_PER_MS) <=
                1 + 1e-9);
    talloc_free(limit);
}

/* Guards against a tenant whose requests all are rejected because its rate or
 * burst is so large or so small that the other gateways take the messages
 * about it for malformed. */
static void
test_rules_of_every_size_are_sent(void **state)
{
    static const double rates[] = {1e-300, 1e-9, 0.001, 1, 1e9, 1e13, 1e300};
    static const double bursts[] = {0, 50, 1e12, 1e300};
    size_t i, j;

    (void)state;
    for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
        for (j = 0; j < sizeof(bursts) / sizeof(bursts[0]); j++) {
            void *parent = talloc_new(NULL);
            double bound = (rates[i] * 5 + bursts[j]) * 1.1 + 20;
            HrLimitMessage message = {.sender = 1,
                                      .receiver = 2,
                                      .take_count = 1},
                           decoded;
            HrLimitTake *take = &message.takes[0];
            HrBytes bytes;

            *take = (HrLimitTake){
                1, 1, 1,
                0, 0, HrLimitRule_FromBucket(rates[i], bursts[j], bound, 5)};
            bytes = encode(parent, &message);
            if (HrLimitMessage_Decode(&decoded, bytes.data,
                                      bytes.length_bytes) != HR_OK) {
                fail_msg("rate %g, burst %g: %g a second, depth %g s",
                         rates[i], bursts[j], take->rule.rate_per_s,
                         take->rule.depth_s);
            }
            assert_true(take->rule.rate_per_s * take->rule.depth_s >= 1);
            assert_true(take->rule.rate_per_s * (take->rule.depth_s + 5) <=
                        bound);
            talloc_free(parent);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_usual_messages_are_small),
        cmocka_unit_test(test_told_apart_from_a_hello),
        cmocka_unit_test(test_invalid_fields_are_refused),
        cmocka_unit_test(test_mutations),
        cmocka_unit_test(test_rules_of_every_size_are_sent),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
