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

/* Fills a request id with random characters. */
static void
fill_id(HrRng *rng, char *id)
{
    size_t length = 1 + HrRng_Below(rng, HR_REQUEST_ID_BYTES - 1), i;

    for (i = 0; i < length; i++) {
        id[i] = (char)('a' + HrRng_Below(rng, 26));
    }
    id[length] = '\0';
}

/* Returns a random message. */
static HrClaimMessage
random_message(HrRng *rng)
{
    HrClaimMessage message;
    uint32_t i;

    memset(&message, 0, sizeof(message));
    message.kind = (HrClaimMessageKind)HrRng_Below(rng, 4);
    message.holder.daemon_id = HrRng_Next(rng) | 1;
    message.holder.incarnation = HrRng_Next(rng);
    message.holder.sequence = HrRng_Next(rng);
    fill_id(rng, message.request_id);
    message.expires_ms = (int64_t)(HrRng_Next(rng) >> 1);
    message.time_left_ns = (int64_t)(HrRng_Next(rng) >> 1);
    message.first_copy = HrRng_Chance(rng, 0.5);
    message.verdict = (HrClaimVerdict)HrRng_Below(rng, 4);
    message.reason = (HrReason)HrRng_Below(rng, HR_REASON_COUNT);
    message.not_run = HrRng_Chance(rng, 0.5);
    message.state = (HrClaimState)HrRng_Below(rng, 4);
    message.result_bytes =
        (uint16_t)HrRng_Below(rng, HR_CLAIM_RESULT_BYTES + 1);
    for (i = 0; i < message.result_bytes; i++) {
        message.result[i] = (uint8_t)HrRng_Next(rng);
    }
    return message;
}

/* Guards against fields that are lost or mixed up on the way. */
static void
test_message_round_trip(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t round;

    for (round = 0; round < 2000; round++) {
        HrClaimMessage sent = random_message(&rng), got;
        HrBytes bytes;

        assert_int_equal(HrClaimCodec_Encode(NULL, &sent, &bytes, NULL),
                         HR_OK);
        assert_true(bytes.length_bytes <= HR_CLAIM_MESSAGE_BYTES);
        assert_int_equal(HrClaimCodec_Decode(bytes, &got, NULL), HR_OK);
        assert_true(HrClaimHolderId_Equals(&got.holder, &sent.holder));
        assert_int_equal(got.kind, sent.kind);
        assert_string_equal(got.request_id, sent.request_id);
        assert_int_equal(got.expires_ms, sent.expires_ms);
        assert_int_equal(got.time_left_ns, sent.time_left_ns);
        assert_int_equal(got.first_copy, sent.first_copy);
        assert_int_equal(got.verdict, sent.verdict);
        assert_int_equal(got.reason, sent.reason);
        assert_int_equal(got.not_run, sent.not_run);
        assert_int_equal(got.state, sent.state);
        assert_int_equal(got.result_bytes, sent.result_bytes);
        assert_memory_equal(got.result, sent.result, HR_CLAIM_RESULT_BYTES);
        talloc_free((void *)bytes.data);
    }
}

/* Guards against crashes and accepted nonsense in damaged messages. */
static void
test_damaged_messages(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 1);
    uint32_t round, i, refused = 0;

    for (round = 0; round < 50000; round++) {
        HrClaimMessage sent = random_message(&rng), got;
        HrBytes bytes;
        uint8_t *data;

        HrClaimCodec_Encode(NULL, &sent, &bytes, NULL);
        data = (uint8_t *)bytes.data;
        if (HrRng_Chance(&rng, 0.3)) {
            bytes.length_bytes = HrRng_Below(&rng, bytes.length_bytes);
        }
        for (i = 0; i < 3 && bytes.length_bytes > 0; i++) {
            data[HrRng_Below(&rng, bytes.length_bytes)] =
                (uint8_t)HrRng_Next(&rng);
        }
        if (HrClaimCodec_Decode(bytes, &got, NULL) != HR_OK) {
            refused++;
        }
        else {
            assert_true(got.result_bytes <= HR_CLAIM_RESULT_BYTES);
            assert_true(got.request_id[0] != '\0');
        }
        talloc_free(data);
    }
    print_message("seed %d: %u of 50000 refused\n", SEED + 1, refused);
    assert_true(refused > 5000);
}

/* Encodes a raw protobuf message and returns what decoding it yields. */
static int
decode_raw(const Hickory__ClaimMessage *raw)
{
    size_t size = hickory__claim_message__get_packed_size(raw);
    uint8_t *data = talloc_array(NULL, uint8_t, size);
    HrBytes bytes = {data, size};
    HrClaimMessage message;
    HrError err = {0};
    int rc;

    hickory__claim_message__pack(raw, data);
    rc = HrClaimCodec_Decode(bytes, &message, &err);
    assert_true(rc == HR_OK || err.message[0] != '\0');
    talloc_free(data);
    return rc;
}

/* Guards against values that the modules do not expect. */
static void
test_invalid_messages(void **state)
{
    Hickory__ClaimMessage raw = HICKORY__CLAIM_MESSAGE__INIT;
    Hickory__ClaimHolderId holder = HICKORY__CLAIM_HOLDER_ID__INIT;
    static uint8_t result[HR_CLAIM_RESULT_BYTES + 1];

    assert_int_equal(decode_raw(&raw), HR_ERR_INVALID);
    raw.holder = &holder;
    assert_int_equal(decode_raw(&raw), HR_ERR_INVALID);
    holder.daemon_id = 1;
    assert_int_equal(decode_raw(&raw), HR_ERR_INVALID);
    raw.request_id = "a";
    assert_int_equal(decode_raw(&raw), HR_OK);
    raw.request_id = "a\tb";
    assert_int_equal(decode_raw(&raw), HR_ERR_INVALID);
    raw.request_id =
        "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
        "xxx";
    assert_int_equal(decode_raw(&raw), HR_ERR_RANGE);
    raw.request_id = "a";
    raw.kind = HR_CLAIM_MESSAGE_OUTCOME_ACK + 1;
    assert_int_equal(decode_raw(&raw), HR_ERR_RANGE);
    raw.kind = 0;
    raw.verdict = HR_CLAIM_VERDICT_REFUSED + 1;
    assert_int_equal(decode_raw(&raw), HR_ERR_RANGE);
    raw.verdict = 0;
    raw.state = HR_CLAIM_RELEASED + 1;
    assert_int_equal(decode_raw(&raw), HR_ERR_RANGE);
    raw.state = 0;
    raw.expires_ms = UINT64_MAX;
    assert_int_equal(decode_raw(&raw), HR_ERR_RANGE);
    raw.expires_ms = 0;
    raw.result.data = result;
    raw.result.len = sizeof(result);
    assert_int_equal(decode_raw(&raw), HR_ERR_RANGE);
}

/* Guards against memory that a large message could take. */
static void
test_large_message(void **state)
{
    static uint8_t data[HR_CLAIM_MESSAGE_BYTES + 1];
    HrBytes bytes = {data, sizeof(data)};
    HrClaimMessage message;

    assert_int_equal(HrClaimCodec_Decode(bytes, &message, NULL),
                     HR_ERR_TOO_LARGE);
}

/* Returns a value with random records. */
static HrClaimValue *
random_value(HrRng *rng, const void *parent, uint32_t count)
{
    HrClaimValue *value = HrClaimValue_Create(parent);
    uint32_t i, j;

    value->watermark_ms = (int64_t)(HrRng_Next(rng) >> 1);
    for (i = 0; i < count; i++) {
        HrClaimRecord *record = talloc_zero(value, HrClaimRecord);

        fill_id(rng, record->request_id);
        record->expires_ms = (int64_t)(HrRng_Next(rng) >> 1);
        record->holder.daemon_id = HrRng_Next(rng) | 1;
        record->holder.incarnation = HrRng_Next(rng);
        record->holder.sequence = HrRng_Next(rng);
        record->state = (HrClaimState)HrRng_Below(rng, 4);
        record->result_bytes =
            (uint16_t)HrRng_Below(rng, HR_CLAIM_RESULT_BYTES + 1);
        for (j = 0; j < record->result_bytes; j++) {
            record->result[j] = (uint8_t)HrRng_Next(rng);
        }
        assert_int_equal(HrClaimValue_Put(value, record), HR_OK);
    }
    return value;
}

/* Guards against fields that are lost on the way, and against a size bound
 * that is too small: the owner would send a value that the store refuses. */
static void
test_value_round_trip(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 2);
    uint32_t round, i;

    for (round = 0; round < 300; round++) {
        void *parent = talloc_new(NULL);
        HrClaimValue *sent =
            random_value(&rng, parent, (uint32_t)HrRng_Below(&rng, 60));
        HrClaimValue *got;
        HrBytes bytes;

        assert_int_equal(HrClaimValue_Encode(parent, sent, &bytes, NULL),
                         HR_OK);
        assert_true(bytes.length_bytes <=
                    HrClaimValue_GetMaxEncodedSize(sent));
        assert_int_equal(HrClaimValue_Decode(parent, bytes, &got, NULL),
                         HR_OK);
        assert_int_equal(got->watermark_ms, sent->watermark_ms);
        assert_int_equal(got->record_count, sent->record_count);
        for (i = 0; i < sent->record_count; i++) {
            assert_memory_equal(got->records[i], sent->records[i],
                                sizeof(HrClaimRecord));
        }
        talloc_free(parent);
    }
}

/* Guards against crashes and accepted nonsense in damaged values. */
static void
test_damaged_values(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 3);
    uint32_t round, i, refused = 0;

    for (round = 0; round < 10000; round++) {
        void *parent = talloc_new(NULL);
        HrClaimValue *sent = random_value(&rng, parent, 5), *got;
        HrBytes bytes;
        uint8_t *data;

        HrClaimValue_Encode(parent, sent, &bytes, NULL);
        data = (uint8_t *)bytes.data;
        if (HrRng_Chance(&rng, 0.3)) {
            bytes.length_bytes = HrRng_Below(&rng, bytes.length_bytes);
        }
        for (i = 0; i < 4 && bytes.length_bytes > 0; i++) {
            data[HrRng_Below(&rng, bytes.length_bytes)] =
                (uint8_t)HrRng_Next(&rng);
        }
        if (HrClaimValue_Decode(parent, bytes, &got, NULL) != HR_OK) {
            assert_null(got);
            refused++;
        }
        else {
            for (i = 1; i < got->record_count; i++) {
                assert_true(strcmp(got->records[i - 1]->request_id,
                                   got->records[i]->request_id) < 0);
            }
        }
        talloc_free(parent);
    }
    print_message("seed %d: %u of 10000 refused\n", SEED + 3, refused);
    assert_true(refused > 1000);
}

/* Guards against values that the store refuses and against memory that one
 * could take. */
static void
test_value_size(void **state)
{
    void *parent = talloc_new(NULL);
    HrRng rng = HrRng_FromSeed(SEED + 4);
    HrClaimValue *value = random_value(&rng, parent, 9000), *got;
    uint8_t *data =
        talloc_zero_array(parent, uint8_t, HR_CLAIM_VALUE_BYTES + 1);
    HrBytes bytes = {data, HR_CLAIM_VALUE_BYTES + 1};

    assert_int_equal(HrClaimValue_Decode(parent, bytes, &got, NULL),
                     HR_ERR_TOO_LARGE);
    assert_int_equal(HrClaimValue_Encode(parent, value, &bytes, NULL),
                     HR_ERR_TOO_LARGE);
    talloc_free(parent);
}

/* Guards against a value whose ids are out of order or repeated: a claim in
 * it might not be found, and its request would run again. */
static void
test_value_order(void **state)
{
    void *parent = talloc_new(NULL);
    HrRng rng = HrRng_FromSeed(SEED + 5);
    HrClaimValue *value = random_value(&rng, parent, 2), *got;
    HrClaimRecord *first = value->records[0];
    HrBytes bytes;

    value->records[0] = value->records[1];
    value->records[1] = first;
    HrClaimValue_Encode(parent, value, &bytes, NULL);
    assert_int_equal(HrClaimValue_Decode(parent, bytes, &got, NULL),
                     HR_ERR_INVALID);
    value->records[0] = first;
    HrClaimValue_Encode(parent, value, &bytes, NULL);
    assert_int_equal(HrClaimValue_Decode(parent, bytes, &got, NULL),
                     HR_ERR_INVALID);
    first->holder.daemon_id = 0;
    value->record_count = 1;
    HrClaimValue_Encode(parent, value, &bytes, NULL);
    assert_int_equal(HrClaimValue_Decode(parent, bytes, &got, NULL),
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
        cmocka_unit_test(test_large_message),
        cmocka_unit_test(test_value_round_trip),
        cmocka_unit_test(test_damaged_values),
        cmocka_unit_test(test_value_size),
        cmocka_unit_test(test_value_order),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
