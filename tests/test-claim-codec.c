#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "proto-claim-codec.h"
#include "proto-claim-value.h"
#include "proto-claim.pb-c.h"

#define SEED 41

/* Fills in a random request id of 1 to HR_REQUEST_ID_BYTES - 1 letters. */
static void
fill_request_id(HrRng *rng, char *id)
{
    size_t length = 1 + HrRng_DrawBelow(rng, HR_REQUEST_ID_BYTES - 1), i;

    for (i = 0; i < length; i++) {
        id[i] = (char)('a' + HrRng_DrawBelow(rng, 26));
    }
    id[length] = '\0';
}

/* Returns a valid message with random fields. */
static HrClaimMessage
create_random_message(HrRng *rng)
{
    HrClaimMessage message;
    uint32_t i;

    memset(&message, 0, sizeof(message));
    message.kind = (HrClaimMessageKind)HrRng_DrawBelow(rng, 4);
    message.holder.daemon_id = HrRng_DrawU64(rng) | 1;
    message.holder.incarnation = HrRng_DrawU64(rng);
    message.holder.sequence = HrRng_DrawU64(rng);
    fill_request_id(rng, message.request_id);
    message.expires_ms = (int64_t)(HrRng_DrawU64(rng) >> 1);
    message.time_left_ns = (int64_t)(HrRng_DrawU64(rng) >> 1);
    message.first_copy = HrRng_DrawBool(rng, 0.5);
    message.verdict = (HrClaimVerdict)HrRng_DrawBelow(rng, 4);
    message.reason = (HrReason)HrRng_DrawBelow(rng, HR_REASON_COUNT);
    message.not_run = HrRng_DrawBool(rng, 0.5);
    message.state = (HrClaimState)HrRng_DrawBelow(rng, 4);
    message.result_bytes =
        (uint16_t)HrRng_DrawBelow(rng, HR_CLAIM_RESULT_BYTES + 1);
    for (i = 0; i < message.result_bytes; i++) {
        message.result[i] = (uint8_t)HrRng_DrawU64(rng);
    }
    return message;
}

/* Guards against fields that are lost or swapped by encoding and decoding, and
 * against a message that exceeds the size limit. */
static void
test_message_round_trip(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t round;

    for (round = 0; round < 2000; round++) {
        HrClaimMessage original = create_random_message(&rng), decoded;
        HrBytes bytes;

        assert_int_equal(HrClaimMessage_Encode(NULL, &original, &bytes, NULL),
                         HR_OK);
        assert_true(bytes.length_bytes <= HR_CLAIM_MESSAGE_MAX_BYTES);
        assert_int_equal(HrClaimMessage_Decode(bytes, &decoded, NULL), HR_OK);
        assert_true(HrClaimHolderId_Equals(&decoded.holder, &original.holder));
        assert_int_equal(decoded.kind, original.kind);
        assert_string_equal(decoded.request_id, original.request_id);
        assert_int_equal(decoded.expires_ms, original.expires_ms);
        assert_int_equal(decoded.time_left_ns, original.time_left_ns);
        assert_int_equal(decoded.first_copy, original.first_copy);
        assert_int_equal(decoded.verdict, original.verdict);
        assert_int_equal(decoded.reason, original.reason);
        assert_int_equal(decoded.not_run, original.not_run);
        assert_int_equal(decoded.state, original.state);
        assert_int_equal(decoded.result_bytes, original.result_bytes);
        assert_memory_equal(decoded.result, original.result,
                            HR_CLAIM_RESULT_BYTES);
        talloc_free((void *)bytes.data);
    }
}

/* Guards against a decoder that crashes on truncated or changed messages or
 * accepts invalid ones. */
static void
test_damaged_messages(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 1);
    uint32_t round, i, refused = 0;

    for (round = 0; round < 50000; round++) {
        HrClaimMessage original = create_random_message(&rng), decoded;
        HrBytes bytes;
        uint8_t *data;

        HrClaimMessage_Encode(NULL, &original, &bytes, NULL);
        data = (uint8_t *)bytes.data;
        if (HrRng_DrawBool(&rng, 0.3)) {
            bytes.length_bytes = HrRng_DrawBelow(&rng, bytes.length_bytes);
        }
        for (i = 0; i < 3 && bytes.length_bytes > 0; i++) {
            data[HrRng_DrawBelow(&rng, bytes.length_bytes)] =
                (uint8_t)HrRng_DrawU64(&rng);
        }
        if (HrClaimMessage_Decode(bytes, &decoded, NULL) != HR_OK) {
            refused++;
        }
        else {
            assert_true(decoded.result_bytes <= HR_CLAIM_RESULT_BYTES);
            assert_true(decoded.request_id[0] != '\0');
        }
        talloc_free(data);
    }
    print_message("seed %d: %u of 50000 refused\n", SEED + 1, refused);
    assert_true(refused > 5000);
}

/* Serializes a protobuf message, which may be invalid, and returns the result
 * of HrClaimMessage_Decode(). An error must have a message. */
static int
pack_and_decode_message(const Hickory__ClaimMessage *wire)
{
    size_t size = hickory__claim_message__get_packed_size(wire);
    uint8_t *data = talloc_array(NULL, uint8_t, size);
    HrBytes bytes = {data, size};
    HrClaimMessage message;
    HrError err = {0};
    int rc;

    hickory__claim_message__pack(wire, data);
    rc = HrClaimMessage_Decode(bytes, &message, &err);
    assert_true(rc == HR_OK || err.message[0] != '\0');
    talloc_free(data);
    return rc;
}

/* Guards against accepted values that the claim modules cannot process: a
 * missing holder, an invalid request id, or a number out of range. */
static void
test_invalid_messages(void **state)
{
    Hickory__ClaimMessage wire = HICKORY__CLAIM_MESSAGE__INIT;
    Hickory__ClaimHolderId holder = HICKORY__CLAIM_HOLDER_ID__INIT;
    static uint8_t result[HR_CLAIM_RESULT_BYTES + 1];

    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_INVALID);
    wire.holder = &holder;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_INVALID);
    holder.daemon_id = 1;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_INVALID);
    wire.request_id = "a";
    assert_int_equal(pack_and_decode_message(&wire), HR_OK);
    wire.request_id = "a\tb";
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_INVALID);
    wire.request_id =
        "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
        "xxx";
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
    wire.request_id = "a";
    wire.kind = HR_CLAIM_MESSAGE_OUTCOME_ACK + 1;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
    wire.kind = 0;
    wire.verdict = HR_CLAIM_VERDICT_REFUSED + 1;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
    wire.verdict = 0;
    wire.state = HR_CLAIM_RELEASED + 1;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
    wire.state = 0;
    wire.expires_ms = UINT64_MAX;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
    wire.expires_ms = 0;
    wire.result.data = result;
    wire.result.len = sizeof(result);
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
}

/* Guards against an oversized message, whose decoding could exhaust memory. */
static void
test_oversized_message(void **state)
{
    static uint8_t data[HR_CLAIM_MESSAGE_MAX_BYTES + 1];
    HrBytes bytes = {data, sizeof(data)};
    HrClaimMessage message;

    assert_int_equal(HrClaimMessage_Decode(bytes, &message, NULL),
                     HR_ERR_TOO_LARGE);
}

/* Returns a value with count random records, as a talloc child of parent. */
static HrClaimValue *
create_random_value(HrRng *rng, const void *parent, uint32_t count)
{
    HrClaimValue *value = HrClaimValue_Create(parent);
    uint32_t i, j;

    value->watermark_ms = (int64_t)(HrRng_DrawU64(rng) >> 1);
    for (i = 0; i < count; i++) {
        HrClaimRecord *record = talloc_zero(value, HrClaimRecord);

        fill_request_id(rng, record->request_id);
        record->expires_ms = (int64_t)(HrRng_DrawU64(rng) >> 1);
        record->holder.daemon_id = HrRng_DrawU64(rng) | 1;
        record->holder.incarnation = HrRng_DrawU64(rng);
        record->holder.sequence = HrRng_DrawU64(rng);
        record->state = (HrClaimState)HrRng_DrawBelow(rng, 4);
        record->result_bytes =
            (uint16_t)HrRng_DrawBelow(rng, HR_CLAIM_RESULT_BYTES + 1);
        for (j = 0; j < record->result_bytes; j++) {
            record->result[j] = (uint8_t)HrRng_DrawU64(rng);
        }
        assert_int_equal(HrClaimValue_Put(value, record), HR_OK);
    }
    return value;
}

/* Guards against fields that are lost by encoding and decoding, and against a
 * computed maximum size that is too small: the owner would send a value that
 * the store refuses. */
static void
test_value_round_trip(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 2);
    uint32_t round, i;

    for (round = 0; round < 300; round++) {
        void *parent = talloc_new(NULL);
        HrClaimValue *original = create_random_value(
            &rng, parent, (uint32_t)HrRng_DrawBelow(&rng, 60));
        HrClaimValue *decoded;
        HrBytes bytes;

        assert_int_equal(HrClaimValue_Encode(parent, original, &bytes, NULL),
                         HR_OK);
        assert_true(bytes.length_bytes <=
                    HrClaimValue_GetMaxEncodedSize(original));
        assert_int_equal(HrClaimValue_Decode(parent, bytes, &decoded, NULL),
                         HR_OK);
        assert_int_equal(decoded->watermark_ms, original->watermark_ms);
        assert_int_equal(decoded->record_count, original->record_count);
        for (i = 0; i < original->record_count; i++) {
            assert_memory_equal(decoded->records[i], original->records[i],
                                sizeof(HrClaimRecord));
        }
        talloc_free(parent);
    }
}

/* Guards against a decoder that crashes on truncated or changed values or
 * accepts records out of order. */
static void
test_damaged_values(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 3);
    uint32_t round, i, refused = 0;

    for (round = 0; round < 10000; round++) {
        void *parent = talloc_new(NULL);
        HrClaimValue *original = create_random_value(&rng, parent, 5),
                     *decoded;
        HrBytes bytes;
        uint8_t *data;

        HrClaimValue_Encode(parent, original, &bytes, NULL);
        data = (uint8_t *)bytes.data;
        if (HrRng_DrawBool(&rng, 0.3)) {
            bytes.length_bytes = HrRng_DrawBelow(&rng, bytes.length_bytes);
        }
        for (i = 0; i < 4 && bytes.length_bytes > 0; i++) {
            data[HrRng_DrawBelow(&rng, bytes.length_bytes)] =
                (uint8_t)HrRng_DrawU64(&rng);
        }
        if (HrClaimValue_Decode(parent, bytes, &decoded, NULL) != HR_OK) {
            assert_null(decoded);
            refused++;
        }
        else {
            for (i = 1; i < decoded->record_count; i++) {
                assert_true(strcmp(decoded->records[i - 1]->request_id,
                                   decoded->records[i]->request_id) < 0);
            }
        }
        talloc_free(parent);
    }
    print_message("seed %d: %u of 10000 refused\n", SEED + 3, refused);
    assert_true(refused > 1000);
}

/* Guards against an oversized value: the store would refuse it, and decoding
 * it could exhaust memory. */
static void
test_oversized_value(void **state)
{
    void *parent = talloc_new(NULL);
    HrRng rng = HrRng_FromSeed(SEED + 4);
    HrClaimValue *value = create_random_value(&rng, parent, 9000), *decoded;
    uint8_t *data =
        talloc_zero_array(parent, uint8_t, HR_CLAIM_VALUE_BYTES + 1);
    HrBytes bytes = {data, HR_CLAIM_VALUE_BYTES + 1};

    assert_int_equal(HrClaimValue_Decode(parent, bytes, &decoded, NULL),
                     HR_ERR_TOO_LARGE);
    assert_int_equal(HrClaimValue_Encode(parent, value, &bytes, NULL),
                     HR_ERR_TOO_LARGE);
    talloc_free(parent);
}

/* Guards against a value whose request ids are out of order or repeated: a
 * claim in it might not be found, and its request would run again. Also guards
 * against a record without a holder. */
static void
test_unordered_values_are_refused(void **state)
{
    void *parent = talloc_new(NULL);
    HrRng rng = HrRng_FromSeed(SEED + 5);
    HrClaimValue *value = create_random_value(&rng, parent, 2), *decoded;
    HrClaimRecord *first = value->records[0];
    HrBytes bytes;

    value->records[0] = value->records[1];
    value->records[1] = first;
    HrClaimValue_Encode(parent, value, &bytes, NULL);
    assert_int_equal(HrClaimValue_Decode(parent, bytes, &decoded, NULL),
                     HR_ERR_INVALID);
    value->records[0] = first;
    HrClaimValue_Encode(parent, value, &bytes, NULL);
    assert_int_equal(HrClaimValue_Decode(parent, bytes, &decoded, NULL),
                     HR_ERR_INVALID);
    first->holder.daemon_id = 0;
    value->record_count = 1;
    HrClaimValue_Encode(parent, value, &bytes, NULL);
    assert_int_equal(HrClaimValue_Decode(parent, bytes, &decoded, NULL),
                     HR_ERR_RANGE);
    talloc_free(parent);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_message_round_trip),
        cmocka_unit_test(test_damaged_messages),
        cmocka_unit_test(test_invalid_messages),
        cmocka_unit_test(test_oversized_message),
        cmocka_unit_test(test_value_round_trip),
        cmocka_unit_test(test_damaged_values),
        cmocka_unit_test(test_oversized_value),
        cmocka_unit_test(test_unordered_values_are_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
