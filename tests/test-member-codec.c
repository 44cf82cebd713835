#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "proto-member-codec.h"
#include "proto-member.pb-c.h"

#define SEED 31

/* Fills in a random text of 1 to size - 1 printable characters without
 * spaces. */
static void
fill_text(HrRng *rng, char *text, size_t size)
{
    size_t length = 1 + HrRng_DrawBelow(rng, size - 1), i;

    for (i = 0; i < length; i++) {
        text[i] = (char)('!' + HrRng_DrawBelow(rng, '~' - '!' + 1));
    }
    text[length] = '\0';
}

/* Returns a valid member with random fields. */
static HrMember
create_random_member(HrRng *rng)
{
    HrMember member;

    memset(&member, 0, sizeof(member));
    member.daemon_id = HrRng_DrawU64(rng) | 1;
    member.incarnation = HrRng_DrawU64(rng);
    member.state = (HrMemberState)HrRng_DrawBelow(rng, HR_MEMBER_DEAD + 1);
    member.spare_percent = (uint32_t)HrRng_DrawBelow(rng, 101);
    fill_text(rng, member.peer_address, HR_ADDRESS_BYTES);
    fill_text(rng, member.caller_address, HR_ADDRESS_BYTES);
    fill_text(rng, member.data_centre, HR_NAME_BYTES);
    fill_text(rng, member.region, HR_NAME_BYTES);
    return member;
}

/* Returns a valid message with random fields and count random updates, which
 * are written to updates. */
static HrMemberMessage
create_random_message(HrRng *rng, HrMember *updates, uint32_t count)
{
    HrMemberMessage message;
    uint32_t i;

    memset(&message, 0, sizeof(message));
    message.kind =
        (HrMemberMessageKind)HrRng_DrawBelow(rng, HR_MEMBER_MESSAGE_LIST + 1);
    message.sequence = HrRng_DrawU64(rng);
    message.sender = create_random_member(rng);
    message.view_digest = HrRng_DrawU64(rng);
    message.member_count = (uint32_t)HrRng_DrawU64(rng);
    message.target_id = HrRng_DrawU64(rng);
    message.subject_id = HrRng_DrawU64(rng);
    fill_text(rng, message.target_address, HR_ADDRESS_BYTES);
    for (i = 0; i < count; i++) {
        updates[i] = create_random_member(rng);
    }
    message.updates = updates;
    message.update_count = count;
    return message;
}

/* Asserts that two members have equal fields. */
static void
assert_same_member(const HrMember *left, const HrMember *right)
{
    assert_int_equal(left->daemon_id, right->daemon_id);
    assert_int_equal(left->incarnation, right->incarnation);
    assert_int_equal(left->state, right->state);
    assert_int_equal(left->spare_percent, right->spare_percent);
    assert_string_equal(left->peer_address, right->peer_address);
    assert_string_equal(left->caller_address, right->caller_address);
    assert_string_equal(left->data_centre, right->data_centre);
    assert_string_equal(left->region, right->region);
}

/* Guards against fields that are lost or swapped by encoding and decoding, and
 * against a message that exceeds the size limit. */
static void
test_round_trip(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    HrMember updates[HR_MEMBER_PAGE_SIZE];
    uint32_t round, i;

    for (round = 0; round < 500; round++) {
        void *parent = talloc_new(NULL);
        HrMemberMessage original = create_random_message(
            &rng, updates,
            (uint32_t)HrRng_DrawBelow(&rng, HR_MEMBER_PAGE_SIZE + 1));
        HrMemberMessage decoded;
        HrBytes bytes;

        assert_int_equal(
            HrMemberMessage_Encode(parent, &original, &bytes, NULL), HR_OK);
        assert_true(bytes.length_bytes <= HR_MEMBER_MESSAGE_MAX_BYTES);
        assert_int_equal(HrMemberMessage_Decode(parent, bytes, &decoded, NULL),
                         HR_OK);
        assert_int_equal(decoded.kind, original.kind);
        assert_int_equal(decoded.sequence, original.sequence);
        assert_int_equal(decoded.view_digest, original.view_digest);
        assert_int_equal(decoded.member_count, original.member_count);
        assert_int_equal(decoded.target_id, original.target_id);
        assert_int_equal(decoded.subject_id, original.subject_id);
        assert_string_equal(decoded.target_address, original.target_address);
        assert_same_member(&decoded.sender, &original.sender);
        assert_int_equal(decoded.update_count, original.update_count);
        for (i = 0; i < original.update_count; i++) {
            assert_same_member(&decoded.updates[i], &original.updates[i]);
        }
        talloc_free(parent);
    }
}

/* Guards against a decoder that crashes on truncated or changed messages or
 * accepts invalid ones: each must be refused or decode to a valid message. */
static void
test_damaged_bytes(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 1);
    HrMember updates[HR_MEMBER_PAGE_SIZE];
    uint32_t round, i, refused = 0;

    for (round = 0; round < 20000; round++) {
        void *parent = talloc_new(NULL);
        HrMemberMessage original = create_random_message(&rng, updates, 3),
                        decoded;
        HrBytes bytes;
        uint8_t *data;

        assert_int_equal(
            HrMemberMessage_Encode(parent, &original, &bytes, NULL), HR_OK);
        data = talloc_memdup(parent, bytes.data, bytes.length_bytes);
        bytes.data = data;
        if (HrRng_DrawBool(&rng, 0.3)) {
            bytes.length_bytes = HrRng_DrawBelow(&rng, bytes.length_bytes);
        }
        for (i = 0; i < 3 && bytes.length_bytes > 0; i++) {
            data[HrRng_DrawBelow(&rng, bytes.length_bytes)] =
                (uint8_t)HrRng_DrawU64(&rng);
        }
        if (HrMemberMessage_Decode(parent, bytes, &decoded, NULL) != HR_OK) {
            refused++;
        }
        else {
            assert_true(decoded.kind <= HR_MEMBER_MESSAGE_LIST);
            assert_true(decoded.update_count <= HR_MEMBER_PAGE_SIZE);
            assert_true(strlen(decoded.sender.peer_address) <
                        HR_ADDRESS_BYTES);
        }
        talloc_free(parent);
    }
    print_message("seed %d: %u of 20000 refused\n", SEED + 1, refused);
    assert_true(refused > 1000);
}

/* Serializes a protobuf message, which may be invalid, and returns the result
 * of HrMemberMessage_Decode(). An error must have a message. */
static int
pack_and_decode_message(const Hickory__MemberMessage *wire)
{
    void *parent = talloc_new(NULL);
    size_t size = hickory__member_message__get_packed_size(wire);
    uint8_t *data = talloc_array(parent, uint8_t, size);
    HrBytes bytes = {data, size};
    HrMemberMessage message;
    HrError err = {0};
    int rc;

    hickory__member_message__pack(wire, data);
    rc = HrMemberMessage_Decode(parent, bytes, &message, &err);
    assert_true(rc == HR_OK || err.message[0] != '\0');
    talloc_free(parent);
    return rc;
}

/* Guards against accepted values that the membership module cannot process: a
 * missing sender, id or address, or a field out of range. */
static void
test_invalid_values(void **state)
{
    Hickory__MemberMessage wire = HICKORY__MEMBER_MESSAGE__INIT;
    Hickory__MemberRecord sender = HICKORY__MEMBER_RECORD__INIT;
    Hickory__MemberRecord *updates[HR_MEMBER_PAGE_SIZE + 1];
    char text[HR_ADDRESS_BYTES + 1];
    uint32_t i;

    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_INVALID);
    wire.sender = &sender;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_INVALID);
    sender.daemon_id = 5;
    sender.peer_address = "10.0.0.1:7000";
    assert_int_equal(pack_and_decode_message(&wire), HR_OK);
    wire.kind = HR_MEMBER_MESSAGE_LIST + 1;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_INVALID);
    wire.kind = 0;
    sender.state = HR_MEMBER_DEAD + 1;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
    sender.state = 0;
    sender.spare_percent = 101;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
    sender.spare_percent = 0;
    sender.region = "a b";
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_INVALID);
    memset(text, 'x', HR_ADDRESS_BYTES);
    text[HR_ADDRESS_BYTES] = '\0';
    sender.region = "";
    wire.target_address = text;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_RANGE);
    wire.target_address = "";
    for (i = 0; i <= HR_MEMBER_PAGE_SIZE; i++) {
        updates[i] = &sender;
    }
    wire.updates = updates;
    wire.n_updates = HR_MEMBER_PAGE_SIZE;
    assert_int_equal(pack_and_decode_message(&wire), HR_OK);
    wire.n_updates = HR_MEMBER_PAGE_SIZE + 1;
    assert_int_equal(pack_and_decode_message(&wire), HR_ERR_TOO_LARGE);
}

/* Guards against an oversized message, whose decoding could exhaust memory,
 * and against encoding more updates than a receiver accepts. */
static void
test_oversized_message(void **state)
{
    static uint8_t data[HR_MEMBER_MESSAGE_MAX_BYTES + 1];
    HrBytes bytes = {data, sizeof(data)};
    HrMemberMessage message;

    assert_int_equal(HrMemberMessage_Decode(NULL, bytes, &message, NULL),
                     HR_ERR_TOO_LARGE);
    memset(&message, 0, sizeof(message));
    message.update_count = HR_MEMBER_PAGE_SIZE + 1;
    assert_int_equal(HrMemberMessage_Encode(NULL, &message, &bytes, NULL),
                     HR_ERR_TOO_LARGE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_damaged_bytes),
        cmocka_unit_test(test_invalid_values),
        cmocka_unit_test(test_oversized_message),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
