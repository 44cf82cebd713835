#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "common-config-model.h"
#include "proto-config-codec.h"
#include "proto-config.pb-c.h"
#include "state-tables-check.h"
#include "state-tables-json.h"

#define SEED UINT64_C(46400)

/* Returns the tables after up to 6 random edits, or NULL if all of them were
 * refused. */
static HrTables *
create_random_tables(const void *parent, HrRng *rng)
{
    HrTables *tables = NULL;
    uint32_t i;

    for (i = 0; i < 6; i++) {
        ModelEdit edit = {.operator_name = "ann"};
        HrTables *next;

        snprintf(edit.id, sizeof(edit.id), "e%u", i);
        ModelEdit_FillRandom(&edit, rng);
        next = HrTablesEdit_Apply(
            parent, tables, ModelEdit_ToTablesEdit(parent, &edit), i, NULL);
        tables = next == NULL ? tables : next;
    }
    return tables;
}

/* Returns a DELTA message with all rows of the tables. */
static HrConfigMessage
create_full_delta(const HrTables *tables)
{
    HrConfigMessage message = {
        .type = HR_CONFIG_MESSAGE_DELTA,
        .revision = tables->revision,
        .digest = tables->digest,
        .age_ms = HR_CONFIG_AGE_UNKNOWN,
        .u.delta = {.full = true, .from_revision = 3, .rows = tables}};

    return message;
}

/* Guards against fields of a DELTA that encoding and decoding changes. */
static void
test_delta_round_trip(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    int i;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (i = 0; i < 2000; i++) {
        void *parent = talloc_new(NULL);
        HrTables *tables = create_random_tables(parent, &rng);
        HrConfigMessage message, *decoded;
        HrBytes bytes;
        HrError err = {0};

        if (tables != NULL) {
            message = create_full_delta(tables);
            assert_int_equal(HrConfigMessage_Encode(parent, &message, &bytes),
                             HR_OK);
            decoded = HrConfigMessage_Decode(parent, bytes, &err);
            assert_non_null(decoded);
            assert_int_equal(decoded->type, HR_CONFIG_MESSAGE_DELTA);
            assert_int_equal(decoded->age_ms, HR_CONFIG_AGE_UNKNOWN);
            assert_true(decoded->u.delta.full);
            assert_int_equal(decoded->u.delta.from_revision, 3);
            assert_int_equal(decoded->digest, tables->digest);
            assert_string_equal(
                HrTables_ToStoreText(parent, decoded->u.delta.rows),
                HrTables_ToStoreText(parent, tables));
        }
        talloc_free(parent);
    }
}

/* Guards against fields of a HINT or PULL that are lost by encoding and
 * decoding. */
static void
test_hint_and_pull_round_trip(void **state)
{
    HrConfigMessage message = {.type = HR_CONFIG_MESSAGE_PULL,
                               .revision = 5,
                               .digest = UINT64_MAX,
                               .age_ms = 77,
                               .u.pull.full = true};
    void *parent = talloc_new(NULL);
    HrConfigMessage *decoded;
    HrBytes bytes;

    (void)state;
    assert_int_equal(HrConfigMessage_Encode(parent, &message, &bytes), HR_OK);
    decoded = HrConfigMessage_Decode(parent, bytes, NULL);
    assert_int_equal(decoded->type, HR_CONFIG_MESSAGE_PULL);
    assert_true(decoded->u.pull.full);
    assert_int_equal(decoded->revision, 5);
    assert_true(decoded->digest == UINT64_MAX);
    assert_int_equal(decoded->age_ms, 77);
    message.type = HR_CONFIG_MESSAGE_HINT;
    assert_int_equal(HrConfigMessage_Encode(parent, &message, &bytes), HR_OK);
    decoded = HrConfigMessage_Decode(parent, bytes, NULL);
    assert_int_equal(decoded->type, HR_CONFIG_MESSAGE_HINT);
    talloc_free(parent);
}

/* Guards against a decoder that crashes on truncated or changed messages or
 * returns rows that do not pass the checks. */
static void
test_damaged_bytes_never_yield_invalid_rows(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 1);
    void *parent = talloc_new(NULL);
    HrTables *tables = create_random_tables(parent, &rng);
    HrConfigMessage message = create_full_delta(tables);
    uint32_t accepted = 0, i;
    HrBytes bytes;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED + 1);
    assert_int_equal(HrConfigMessage_Encode(parent, &message, &bytes), HR_OK);
    for (i = 0; i < 50000; i++) {
        uint8_t *damaged =
            talloc_memdup(parent, bytes.data, bytes.length_bytes);
        HrBytes input = {damaged, bytes.length_bytes};
        HrConfigMessage *decoded;
        HrError err = {0};
        uint64_t changes = 1 + HrRng_DrawBelow(&rng, 3), j;

        for (j = 0; j < changes; j++) {
            damaged[HrRng_DrawBelow(&rng, bytes.length_bytes)] =
                (uint8_t)HrRng_DrawBelow(&rng, 256);
        }
        if (HrRng_DrawBool(&rng, 0.2)) {
            input.length_bytes = HrRng_DrawBelow(&rng, bytes.length_bytes);
        }
        decoded = HrConfigMessage_Decode(parent, input, &err);
        if (decoded == NULL) {
            assert_true(err.kind < 0 && err.message[0] != '\0');
        }
        else if (decoded->type == HR_CONFIG_MESSAGE_DELTA) {
            accepted++;
            assert_int_equal(
                HrTables_CheckRows(decoded->u.delta.rows, "again", &err),
                HR_OK);
        }
        talloc_free(decoded);
        talloc_free(damaged);
    }
    assert_in_range(accepted, 1, 49999);
    talloc_free(parent);
}

/* Guards against a message of many empty routes, for which the decoder would
 * allocate far more memory than it has bytes, and against an oversized
 * message. */
static void
test_memory_is_bounded(void **state)
{
    const size_t length = HR_CONFIG_MESSAGE_MAX_BYTES;
    uint8_t *data = talloc_array(NULL, uint8_t, length + 1);
    HrBytes bytes = {data, length};
    HrError err = {0};
    size_t i;

    (void)state;
    for (i = 0; i + 1 < length; i += 2) {
        data[i] = 0x3a; /* field 7: an empty route */
        data[i + 1] = 0;
    }
    assert_null(HrConfigMessage_Decode(NULL, bytes, &err));
    assert_int_equal(err.kind, HR_ERR_PROTOCOL);
    bytes.length_bytes++;
    assert_null(HrConfigMessage_Decode(NULL, bytes, &err));
    assert_int_equal(err.kind, HR_ERR_TOO_LARGE);
    talloc_free(data);
}

/* Guards against an accepted message with an undefined type or an enum value
 * out of range. */
static void
test_undefined_values_are_refused(void **state)
{
    static const uint8_t type[] = {0x08, 0x09};
    HrTombstone tombstone = {
        .table = (HrTableKind)7, .name = "p0", .revision = 1};
    HrTables rows = {
        .revision = 1, .tombstones = &tombstone, .tombstone_count = 1};
    HrConfigMessage message = create_full_delta(&rows);
    HrBytes bytes = {type, sizeof(type)};
    HrError err = {0};
    void *parent = talloc_new(NULL);

    (void)state;
    assert_null(HrConfigMessage_Decode(parent, bytes, &err));
    assert_int_equal(err.kind, HR_ERR_PROTOCOL);
    assert_int_equal(HrConfigMessage_Encode(parent, &message, &bytes), HR_OK);
    assert_null(HrConfigMessage_Decode(parent, bytes, &err));
    assert_int_equal(err.kind, HR_ERR_RANGE);
    assert_non_null(strstr(err.message, "\"table\""));
    talloc_free(parent);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_delta_round_trip),
        cmocka_unit_test(test_hint_and_pull_round_trip),
        cmocka_unit_test(test_damaged_bytes_never_yield_invalid_rows),
        cmocka_unit_test(test_memory_is_bounded),
        cmocka_unit_test(test_undefined_values_are_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
