#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "proto-peer-codec.h"

#define SEED UINT64_C(20261207)
#define NOW_NS (5 * HR_NS_PER_S)

static HrShard shards[2] = {{"s0", "g0", 0, 99},
                            {"s1", "g1", 100, UINT64_MAX}};
static HrIndexMap maps[2] = {{"pool", 8, shards, 2}, {"pool", 7, shards, 1}};
static HrGroupVersion versions[2] = {{8, shards, 2, 3}, {7, shards, 1, 1}};
static HrSubRequest requests[2];
static const uint8_t sample_bytes[32] = {1, 2, 3, 4};

/* Fills in a valid frame of a kind. */
static void
fill_frame(HrPeerFrameKind kind, HrPeerFrame *frame)
{
    const HrQueryId query = {UINT64_MAX, 2, 3};
    const HrBytes bytes = {sample_bytes, sizeof(sample_bytes)};
    uint32_t i;

    memset(frame, 0, sizeof(*frame));
    frame->kind = kind;
    switch (kind) {
    case HR_PEER_HELLO:
        frame->u.hello = (HrPeerHello){1, "cluster", 42, bytes};
        break;
    case HR_PEER_PROOF:
        frame->u.mac = bytes;
        break;
    case HR_PEER_SUB_BATCH:
        for (i = 0; i < 2; i++) {
            requests[i] = (HrSubRequest){query,
                                         i + 5,
                                         "pool",
                                         shards[i].group,
                                         shards[i].name,
                                         8,
                                         NOW_NS + 3 * HR_NS_PER_MS,
                                         2,
                                         true,
                                         "caller",
                                         bytes};
        }
        frame->u.sub_batch = (HrPeerSubBatch){requests, 2};
        break;
    case HR_PEER_SUB_ANSWER:
        frame->u.sub_answer = (HrSubAnswer){
            query, 5,    "s0", 8, HR_OUTCOME_UNKNOWN, HR_REASON_CONNECTION,
            NULL,  bytes};
        break;
    case HR_PEER_SUB_CANCEL:
        frame->u.sub_cancel =
            (HrPeerSubCancel){query, "pool", "g0", 5, HR_REASON_NOT_NEEDED};
        break;
    case HR_PEER_MAP_PULL:
        frame->u.map_pull = (HrPeerMapPull){"pool", 9};
        break;
    case HR_PEER_MAP_REPLY:
        frame->u.map_reply = (HrPeerMapReply){"pool", 9, false, maps, 2};
        break;
    case HR_PEER_GROUP_REPORT:
        frame->u.group_report = (HrPeerGroupReport){"pool", "g0", versions, 2};
        break;
    case HR_PEER_HANDOVER:
        frame->u.handover = (HrPeerHandover){"pool", "g0"};
        break;
    case HR_PEER_PING:
    case HR_PEER_PONG:
        frame->u.ping = UINT64_MAX;
        break;
    case HR_PEER_CONTACT:
        frame->u.contact = (HrPeerContact){true, "127.0.0.1:7101"};
        break;
    case HR_PEER_MEMBER:
    case HR_PEER_CONFIG:
    case HR_PEER_CLAIM:
        frame->u.opaque = bytes;
        break;
    }
}

/* Guards against a field that is lost or changed by encoding and decoding. The
 * decoded frame must encode to the same bytes; the main fields of two kinds
 * are compared as well. */
static void
test_round_trip(void **state)
{
    int kind;

    (void)state;
    for (kind = HR_PEER_HELLO; kind <= HR_PEER_CONTACT; kind++) {
        HrPeerFrame frame, *decoded;
        HrBytes first, second, body;
        uint32_t length;

        fill_frame((HrPeerFrameKind)kind, &frame);
        assert_int_equal(HrPeerFrame_Encode(NULL, &frame, NOW_NS, &first),
                         HR_OK);
        assert_int_equal(HrPeerFrame_DecodeLength(
                             first.data, HR_PEER_FRAME_MAX_BYTES, &length),
                         HR_OK);
        assert_int_equal(length + HR_PEER_PREFIX_BYTES, first.length_bytes);
        body.data = first.data + HR_PEER_PREFIX_BYTES;
        body.length_bytes = length;
        decoded = HrPeerFrame_Decode(NULL, body, NOW_NS, NULL);
        assert_non_null(decoded);
        assert_int_equal(decoded->kind, kind);
        assert_int_equal(HrPeerFrame_Encode(NULL, decoded, NOW_NS, &second),
                         HR_OK);
        assert_int_equal(first.length_bytes, second.length_bytes);
        assert_memory_equal(first.data, second.data, first.length_bytes);
        if (kind == HR_PEER_SUB_BATCH) {
            const HrSubRequest *last = &decoded->u.sub_batch.requests[1];

            assert_true(HrQueryId_Equals(&last->query, &requests[1].query));
            assert_int_equal(last->sub_id, 6);
            assert_string_equal(last->shard, "s1");
            assert_int_equal(last->deadline_ns, requests[1].deadline_ns);
            assert_true(last->idempotent);
        }
        if (kind == HR_PEER_MAP_REPLY) {
            const HrIndexMap *map = &decoded->u.map_reply.maps[0];

            assert_int_equal(map->version, 8);
            assert_true(map->shards[1].key_to == UINT64_MAX);
        }
        talloc_free(decoded);
        talloc_free((void *)first.data);
        talloc_free((void *)second.data);
    }
}

/* Guards against a decoder that crashes on truncated or changed frames or
 * allocates without limit. Each must either be refused with an error kind or
 * decode to a frame that can be encoded. */
static void
test_damaged_frames(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t refused = 0;
    int round;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (round = 0; round < 20000; round++) {
        HrPeerFrame frame, *decoded;
        HrBytes encoded, body;
        uint8_t *damaged;
        int changes_left = 1 + (int)HrRng_DrawBelow(&rng, 4);
        HrError err = {0};

        fill_frame((HrPeerFrameKind)HrRng_DrawBelow(&rng, HR_PEER_CONTACT + 1),
                   &frame);
        assert_int_equal(HrPeerFrame_Encode(NULL, &frame, NOW_NS, &encoded),
                         HR_OK);
        damaged = (uint8_t *)encoded.data + HR_PEER_PREFIX_BYTES;
        body.data = damaged;
        body.length_bytes = encoded.length_bytes - HR_PEER_PREFIX_BYTES;
        if (HrRng_DrawBool(&rng, 0.3)) {
            body.length_bytes = HrRng_DrawBelow(&rng, body.length_bytes);
        }
        while (changes_left-- > 0 && body.length_bytes > 0) {
            damaged[HrRng_DrawBelow(&rng, body.length_bytes)] =
                (uint8_t)HrRng_DrawU64(&rng);
        }
        decoded = HrPeerFrame_Decode(NULL, body, NOW_NS, &err);
        if (decoded == NULL) {
            refused++;
            assert_int_not_equal(err.kind, HR_OK);
        }
        else {
            HrBytes reencoded;

            assert_int_equal(
                HrPeerFrame_Encode(decoded, decoded, NOW_NS, &reencoded),
                HR_OK);
            talloc_free(decoded);
        }
        talloc_free((void *)encoded.data);
    }
    assert_true(refused > 1000);
}

/* Guards against a frame of many empty nested messages, which takes far more
 * memory than it has bytes. */
static void
test_memory_is_bounded(void **state)
{
    const size_t length = 4194304;
    uint8_t *data = talloc_zero_array(NULL, uint8_t, length);
    HrBytes body = {data, length};
    size_t i;

    (void)state;
    /* A SubBatch (field 3) whose entries (field 9) are all empty. */
    data[0] = 3 << 3 | 2;
    data[1] = (uint8_t)((length - 5) & 0x7f) | 0x80;
    data[2] = (uint8_t)(((length - 5) >> 7) & 0x7f) | 0x80;
    data[3] = (uint8_t)(((length - 5) >> 14) & 0x7f) | 0x80;
    data[4] = (uint8_t)((length - 5) >> 21);
    for (i = 5; i + 1 < length; i += 2) {
        data[i] = 9 << 3 | 2;
    }
    assert_null(HrPeerFrame_Decode(NULL, body, NOW_NS, NULL));
    talloc_free(data);
}

/* Guards against an accepted length prefix of 0 or above the limit. */
static void
test_invalid_lengths(void **state)
{
    const uint8_t zero[4] = {0}, large[4] = {0x00, 0x80, 0x00, 0x01};
    const uint8_t limit[4] = {0x00, 0x80, 0x00, 0x00};
    uint32_t length;

    (void)state;
    assert_int_equal(
        HrPeerFrame_DecodeLength(zero, HR_PEER_FRAME_MAX_BYTES, &length),
        HR_ERR_PROTOCOL);
    assert_int_equal(
        HrPeerFrame_DecodeLength(large, HR_PEER_FRAME_MAX_BYTES, &length),
        HR_ERR_PROTOCOL);
    assert_int_equal(
        HrPeerFrame_DecodeLength(limit, HR_PEER_FRAME_MAX_BYTES, &length),
        HR_OK);
    assert_int_equal(HrPeerFrame_DecodeLength(limit, 1024, &length),
                     HR_ERR_PROTOCOL);
}

/* Guards against a batch whose deadline passed hours ago, for example because
 * the process was paused: without a clamp, the receiver refuses it as
 * malformed and closes the link. */
static void
test_passed_deadline_is_accepted(void **state)
{
    HrSubRequest request = {.pool = "pool", .group = "g", .shard = "s"};
    HrPeerFrame frame = {.kind = HR_PEER_SUB_BATCH}, *decoded;
    int64_t now_ns = 18000 * HR_NS_PER_S;
    HrBytes bytes;

    (void)state;
    request.deadline_ns = HR_NS_PER_S;
    frame.u.sub_batch.requests = &request;
    frame.u.sub_batch.request_count = 1;
    assert_int_equal(HrPeerFrame_Encode(NULL, &frame, now_ns, &bytes), HR_OK);
    bytes.data += HR_PEER_PREFIX_BYTES;
    bytes.length_bytes -= HR_PEER_PREFIX_BYTES;
    decoded = HrPeerFrame_Decode(NULL, bytes, now_ns, NULL);
    assert_non_null(decoded);
    assert_true(decoded->u.sub_batch.requests[0].deadline_ns < now_ns);
    talloc_free(decoded);
    talloc_free((void *)(bytes.data - HR_PEER_PREFIX_BYTES));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_round_trip),
        cmocka_unit_test(test_damaged_frames),
        cmocka_unit_test(test_memory_is_bounded),
        cmocka_unit_test(test_invalid_lengths),
        cmocka_unit_test(test_passed_deadline_is_accepted),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
