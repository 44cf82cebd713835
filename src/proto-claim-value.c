#include "proto-claim-value.h"

#include <string.h>
#include <talloc.h>

#include "proto-claim-codec.h"
#include "proto-claim.pb-c.h"

/* Points the fields of an encoded record at a record. */
static void
fill_record(Hickory__ClaimRecord *packed, const HrClaimRecord *record)
{
    hickory__claim_record__init(packed);
    packed->request_id = (char *)record->request_id;
    packed->expires_ms = (uint64_t)record->expires_ms;
    packed->holder_daemon_id = record->holder.daemon_id;
    packed->holder_incarnation = record->holder.incarnation;
    packed->holder_sequence = record->holder.sequence;
    packed->state = record->state;
    packed->result.data = (uint8_t *)record->result;
    packed->result.len = record->result_bytes;
}

/* Encodes a filled value. */
static int
pack_value(const void *parent, const Hickory__ClaimValue *packed,
           HrBytes *bytes, HrError *err)
{
    size_t size = hickory__claim_value__get_packed_size(packed);
    uint8_t *data;

    if (size > HR_CLAIM_VALUE_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "claim partition of %zu bytes: the store takes %d",
                           size, HR_CLAIM_VALUE_BYTES);
    }
    data = talloc_array(parent, uint8_t, size);
    if (data == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "claim partition");
    }
    hickory__claim_value__pack(packed, data);
    bytes->data = data;
    bytes->length_bytes = size;
    return HR_OK;
}

/* Encodes the store value of a claim partition. */
int
HrClaimValue_Encode(const void *parent, const HrClaimValue *value,
                    HrBytes *bytes, HrError *err)
{
    Hickory__ClaimValue packed = HICKORY__CLAIM_VALUE__INIT;
    Hickory__ClaimRecord *records;
    uint32_t i;
    int rc;

    records = talloc_array(parent, Hickory__ClaimRecord, value->record_count);
    packed.records =
        talloc_array(records, Hickory__ClaimRecord *, value->record_count);
    if (records == NULL || packed.records == NULL) {
        talloc_free(records);
        return HrError_Set(err, HR_ERR_NO_MEMORY, "claim partition");
    }
    for (i = 0; i < value->record_count; i++) {
        fill_record(&records[i], value->records[i]);
        packed.records[i] = &records[i];
    }
    packed.n_records = value->record_count;
    packed.watermark_ms = (uint64_t)value->watermark_ms;
    rc = pack_value(parent, &packed, bytes, err);
    talloc_free(records);
    return rc;
}

/* Checks and copies a record. */
static int
read_record(const Hickory__ClaimRecord *packed, HrClaimRecord *record,
            HrError *err)
{
    if (packed->state > HR_CLAIM_RELEASED || packed->expires_ms > INT64_MAX ||
        packed->result.len > HR_CLAIM_RESULT_BYTES ||
        packed->holder_daemon_id == 0) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "claim record with state %u, a result of %zu bytes "
                           "or an expiry or holder out of range",
                           packed->state, packed->result.len);
    }
    record->expires_ms = (int64_t)packed->expires_ms;
    record->holder.daemon_id = packed->holder_daemon_id;
    record->holder.incarnation = packed->holder_incarnation;
    record->holder.sequence = packed->holder_sequence;
    record->state = (HrClaimState)packed->state;
    record->result_bytes = (uint16_t)packed->result.len;
    if (packed->result.len > 0) {
        memcpy(record->result, packed->result.data, packed->result.len);
    }
    return HrClaimCodec_CopyRequestId(record->request_id, packed->request_id,
                                      err);
}

/* Checks and copies the records of a value, which are in strict order of
 * their request ids. */
static int
read_records(HrClaimValue *value, const Hickory__ClaimValue *packed,
             HrError *err)
{
    size_t i;
    int rc = HR_OK;

    value->records = talloc_array(value, HrClaimRecord *, packed->n_records);
    if (value->records == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "claim partition");
    }
    for (i = 0; rc == HR_OK && i < packed->n_records; i++) {
        value->records[i] = talloc_zero(value, HrClaimRecord);
        if (value->records[i] == NULL) {
            return HrError_Set(err, HR_ERR_NO_MEMORY, "claim record");
        }
        rc = read_record(packed->records[i], value->records[i], err);
        if (rc == HR_OK && i > 0 &&
            strcmp(value->records[i - 1]->request_id,
                   value->records[i]->request_id) >= 0) {
            rc = HrError_Set(err, HR_ERR_INVALID,
                             "claim records out of order at %zu", i);
        }
    }
    value->record_count = (uint32_t)packed->n_records;
    return rc;
}

/* Checks and copies a value. */
static int
read_value(const void *parent, const Hickory__ClaimValue *packed,
           HrClaimValue **value, HrError *err)
{
    HrClaimValue *copy;
    int rc;

    if (packed->watermark_ms > INT64_MAX) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "claim partition with watermark out of range");
    }
    copy = HrClaimValue_Create(parent);
    if (copy == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "claim partition");
    }
    copy->watermark_ms = (int64_t)packed->watermark_ms;
    rc = read_records(copy, packed, err);
    if (rc != HR_OK) {
        talloc_free(copy);
        return rc;
    }
    *value = copy;
    return HR_OK;
}

/* Decodes a store value. */
int
HrClaimValue_Decode(const void *parent, HrBytes bytes, HrClaimValue **value,
                    HrError *err)
{
    Hickory__ClaimValue *packed;
    int rc;

    *value = NULL;
    if (bytes.length_bytes > HR_CLAIM_VALUE_BYTES) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "claim partition of %zu bytes: at most %d are "
                           "valid",
                           bytes.length_bytes, HR_CLAIM_VALUE_BYTES);
    }
    packed =
        hickory__claim_value__unpack(NULL, bytes.length_bytes, bytes.data);
    if (packed == NULL) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "claim partition that is no valid protobuf");
    }
    rc = read_value(parent, packed, value, err);
    hickory__claim_value__free_unpacked(packed, NULL);
    return rc;
}
