#include "proto-claim-value.h"

#include <string.h>
#include <talloc.h>

#include "proto-claim-codec.h"
#include "proto-claim.pb-c.h"

/* Initializes the protobuf form of a record, which points into the record. */
static void
encode_record(Hickory__ClaimRecord *wire, const HrClaimRecord *record)
{
    hickory__claim_record__init(wire);
    wire->request_id = (char *)record->request_id;
    wire->expires_ms = (uint64_t)record->expires_ms;
    wire->holder_daemon_id = record->holder.daemon_id;
    wire->holder_incarnation = record->holder.incarnation;
    wire->holder_sequence = record->holder.sequence;
    wire->state = record->state;
    wire->result.data = (uint8_t *)record->result;
    wire->result.len = record->result_bytes;
}

/* Serializes a value into bytes that belong to parent. Returns 0,
 * HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
static int
pack_value(const void *parent, const Hickory__ClaimValue *wire, HrBytes *bytes,
           HrError *err)
{
    size_t size = hickory__claim_value__get_packed_size(wire);
    uint8_t *data;

    if (size > HR_CLAIM_VALUE_BYTES) {
        return HrError_Set(
            err, HR_ERR_TOO_LARGE,
            "claim partition of %zu bytes: the store accepts at most %d", size,
            HR_CLAIM_VALUE_BYTES);
    }
    data = talloc_array(parent, uint8_t, size);
    if (data == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "out of memory for a claim partition");
    }
    hickory__claim_value__pack(wire, data);
    bytes->data = data;
    bytes->length_bytes = size;
    return HR_OK;
}

/* Encodes the store value of a claim partition into bytes that belong to
 * parent. Returns 0, HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
int
HrClaimValue_Encode(const void *parent, const HrClaimValue *value,
                    HrBytes *bytes, HrError *err)
{
    Hickory__ClaimValue wire = HICKORY__CLAIM_VALUE__INIT;
    Hickory__ClaimRecord *records;
    uint32_t i;
    int rc;

    records = talloc_array(parent, Hickory__ClaimRecord, value->record_count);
    wire.records =
        talloc_array(records, Hickory__ClaimRecord *, value->record_count);
    if (records == NULL || wire.records == NULL) {
        talloc_free(records);
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "out of memory for a claim partition");
    }
    for (i = 0; i < value->record_count; i++) {
        encode_record(&records[i], value->records[i]);
        wire.records[i] = &records[i];
    }
    wire.n_records = value->record_count;
    wire.watermark_ms = (uint64_t)value->watermark_ms;
    rc = pack_value(parent, &wire, bytes, err);
    talloc_free(records);
    return rc;
}

/* Checks and copies a record. Returns 0, HR_ERR_INVALID or HR_ERR_RANGE. */
static int
decode_record(const Hickory__ClaimRecord *wire, HrClaimRecord *record,
              HrError *err)
{
    if (wire->state > HR_CLAIM_RELEASED || wire->expires_ms > INT64_MAX ||
        wire->result.len > HR_CLAIM_RESULT_BYTES ||
        wire->holder_daemon_id == 0) {
        return HrError_Set(
            err, HR_ERR_RANGE,
            "claim record: state %u, a result of %zu bytes, the "
            "expiry or the holder is out of range",
            wire->state, wire->result.len);
    }
    record->expires_ms = (int64_t)wire->expires_ms;
    record->holder.daemon_id = wire->holder_daemon_id;
    record->holder.incarnation = wire->holder_incarnation;
    record->holder.sequence = wire->holder_sequence;
    record->state = (HrClaimState)wire->state;
    record->result_bytes = (uint16_t)wire->result.len;
    if (wire->result.len > 0) {
        memcpy(record->result, wire->result.data, wire->result.len);
    }
    return HrClaimMessage_CopyRequestId(record->request_id, wire->request_id,
                                        err);
}

/* Checks and copies the records of a value. Returns 0, HR_ERR_RANGE,
 * HR_ERR_NO_MEMORY or HR_ERR_INVALID, also if the request ids are not strictly
 * ascending. */
static int
decode_records(HrClaimValue *value, const Hickory__ClaimValue *wire,
               HrError *err)
{
    size_t i;
    int rc = HR_OK;

    value->records = talloc_array(value, HrClaimRecord *, wire->n_records);
    if (value->records == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "out of memory for a claim partition");
    }
    for (i = 0; rc == HR_OK && i < wire->n_records; i++) {
        value->records[i] = talloc_zero(value, HrClaimRecord);
        if (value->records[i] == NULL) {
            return HrError_Set(err, HR_ERR_NO_MEMORY,
                               "out of memory for a claim record");
        }
        rc = decode_record(wire->records[i], value->records[i], err);
        if (rc == HR_OK && i > 0 &&
            strcmp(value->records[i - 1]->request_id,
                   value->records[i]->request_id) >= 0) {
            rc = HrError_Set(err, HR_ERR_INVALID,
                             "claim records out of order at %zu", i);
        }
    }
    value->record_count = (uint32_t)wire->n_records;
    return rc;
}

/* Checks and copies a value into a talloc child of parent. Returns 0, or the
 * errors of HrClaimValue_Decode except HR_ERR_TOO_LARGE; on an error *value is
 * unchanged. */
static int
decode_value(const void *parent, const Hickory__ClaimValue *wire,
             HrClaimValue **value, HrError *err)
{
    HrClaimValue *decoded;
    int rc;

    if (wire->watermark_ms > INT64_MAX) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "claim partition: the watermark is out of range");
    }
    decoded = HrClaimValue_Create(parent);
    if (decoded == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "out of memory for a claim partition");
    }
    decoded->watermark_ms = (int64_t)wire->watermark_ms;
    rc = decode_records(decoded, wire, err);
    if (rc != HR_OK) {
        talloc_free(decoded);
        return rc;
    }
    *value = decoded;
    return HR_OK;
}

/* Decodes and checks a store value, which belongs to parent. On an error
 * *value is NULL. */
int
HrClaimValue_Decode(const void *parent, HrBytes bytes, HrClaimValue **value,
                    HrError *err)
{
    Hickory__ClaimValue *wire;
    int rc;

    *value = NULL;
    if (bytes.length_bytes > HR_CLAIM_VALUE_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "claim partition of %zu bytes: at most %d are "
                           "valid",
                           bytes.length_bytes, HR_CLAIM_VALUE_BYTES);
    }
    wire = hickory__claim_value__unpack(NULL, bytes.length_bytes, bytes.data);
    if (wire == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "claim partition is not valid protobuf");
    }
    rc = decode_value(parent, wire, value, err);
    hickory__claim_value__free_unpacked(wire, NULL);
    return rc;
}
