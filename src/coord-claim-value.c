#include "coord-claim-value.h"

#include <string.h>
#include <talloc.h>

/* Maximum bytes of a record's protobuf encoding without the request id and the
 * result: record tag and length 4, id 3, expiry 11, holder 9 + 11 + 11, state
 * 2, result 3. */
#define RECORD_OVERHEAD_BYTES 54
#define VALUE_OVERHEAD_BYTES 16

/* Returns the index of the first record whose request id is equal to or
 * greater than the given one. */
static uint32_t
find_lower_bound(const HrClaimValue *value, const char *request_id)
{
    uint32_t low = 0, high = value->record_count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (strcmp(value->records[middle]->request_id, request_id) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Returns true if the record at an index has the given request id; false if
 * there is none. */
static bool
has_request_id(const HrClaimValue *value, uint32_t index,
               const char *request_id)
{
    return index < value->record_count &&
           strcmp(value->records[index]->request_id, request_id) == 0;
}

HrClaimValue *
HrClaimValue_Create(const void *parent)
{
    return talloc_zero(parent, HrClaimValue);
}

/* Copies a value and its records, all as talloc children of parent. Returns
 * NULL when out of memory. */
HrClaimValue *
HrClaimValue_Copy(const void *parent, const HrClaimValue *value)
{
    HrClaimValue *copy = HrClaimValue_CopySharingRecords(parent, value);
    uint32_t i;

    if (copy == NULL) {
        return NULL;
    }
    for (i = 0; i < copy->record_count; i++) {
        copy->records[i] =
            talloc_memdup(parent, value->records[i], sizeof(HrClaimRecord));
        if (copy->records[i] == NULL) {
            copy->record_count = i;
            HrClaimValue_Free(copy, NULL);
            return NULL;
        }
    }
    return copy;
}

/* Copies a value but not its records: the copy points to those of the
 * original. Returns NULL when out of memory. */
HrClaimValue *
HrClaimValue_CopySharingRecords(const void *parent, const HrClaimValue *value)
{
    HrClaimValue *copy = HrClaimValue_Create(parent);

    if (copy == NULL) {
        return NULL;
    }
    copy->watermark_ms = value->watermark_ms;
    copy->record_count = value->record_count;
    if (value->record_count == 0) {
        return copy;
    }
    copy->records = talloc_memdup(
        copy, value->records, value->record_count * sizeof(HrClaimRecord *));
    if (copy->records == NULL) {
        talloc_free(copy);
        return NULL;
    }
    return copy;
}

/* Frees a value, and its records except those that kept_value (may be NULL)
 * shares with it. Both are sorted by request id, so one pass over the two
 * finds the shared ones. */
void
HrClaimValue_Free(HrClaimValue *value, const HrClaimValue *kept_value)
{
    uint32_t kept_count = kept_value != NULL ? kept_value->record_count : 0;
    uint32_t i, j = 0;

    if (value == NULL) {
        return;
    }
    for (i = 0; i < value->record_count; i++) {
        HrClaimRecord *record = value->records[i];

        while (j < kept_count && kept_value->records[j] != record &&
               strcmp(kept_value->records[j]->request_id, record->request_id) <
                   0) {
            j++;
        }
        if (j < kept_count && kept_value->records[j] == record) {
            j++;
        }
        else {
            talloc_free(record);
        }
    }
    talloc_free(value);
}

/* Returns the record of a request id, or NULL. It belongs to the value. */
const HrClaimRecord *
HrClaimValue_Find(const HrClaimValue *value, const char *request_id)
{
    uint32_t index = find_lower_bound(value, request_id);

    return has_request_id(value, index, request_id) ? value->records[index]
                                                    : NULL;
}

/* Inserts a record, or replaces the one with the same request id without
 * freeing that one. Returns 0 or HR_ERR_NO_MEMORY. */
int
HrClaimValue_Put(HrClaimValue *value, HrClaimRecord *record)
{
    uint32_t index = find_lower_bound(value, record->request_id);
    HrClaimRecord **records;

    if (has_request_id(value, index, record->request_id)) {
        value->records[index] = record;
        return HR_OK;
    }
    records = talloc_realloc(value, value->records, HrClaimRecord *,
                             value->record_count + 1);
    if (records == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    value->records = records;
    memmove(&records[index + 1], &records[index],
            (value->record_count - index) * sizeof(HrClaimRecord *));
    records[index] = record;
    value->record_count++;
    return HR_OK;
}

/* Removes the record of a request id from the value, if there is one, without
 * freeing it. */
void
HrClaimValue_Remove(HrClaimValue *value, const char *request_id)
{
    uint32_t index = find_lower_bound(value, request_id);

    if (!has_request_id(value, index, request_id)) {
        return;
    }
    value->record_count--;
    memmove(&value->records[index], &value->records[index + 1],
            (value->record_count - index) * sizeof(HrClaimRecord *));
}

/* Removes the records that expired at least HR_CLAIM_RETENTION_MS ago, without
 * freeing them, and raises the watermark to the latest expiry among them.
 * Returns the number of removed records. */
uint32_t
HrClaimValue_DropExpired(HrClaimValue *value, int64_t wall_ms)
{
    uint32_t i, kept = 0, dropped;

    for (i = 0; i < value->record_count; i++) {
        HrClaimRecord *record = value->records[i];

        if (record->expires_ms > wall_ms - HR_CLAIM_RETENTION_MS) {
            value->records[kept++] = record;
            continue;
        }
        if (record->expires_ms > value->watermark_ms) {
            value->watermark_ms = record->expires_ms;
        }
    }
    dropped = value->record_count - kept;
    value->record_count = kept;
    return dropped;
}

/* Returns an upper bound of a record's encoded size in bytes. */
uint32_t
HrClaimRecord_GetMaxEncodedSize(const HrClaimRecord *record)
{
    return RECORD_OVERHEAD_BYTES + (uint32_t)strlen(record->request_id) +
           record->result_bytes;
}

/* Returns an upper bound of a value's encoded size in bytes, to compare with
 * HR_CLAIM_VALUE_BYTES. */
uint64_t
HrClaimValue_GetMaxEncodedSize(const HrClaimValue *value)
{
    uint64_t bytes = VALUE_OVERHEAD_BYTES;
    uint32_t i;

    for (i = 0; i < value->record_count; i++) {
        bytes += HrClaimRecord_GetMaxEncodedSize(value->records[i]);
    }
    return bytes;
}

bool
HrClaimHolderId_Equals(const HrClaimHolderId *left,
                       const HrClaimHolderId *right)
{
    return left->daemon_id == right->daemon_id &&
           left->incarnation == right->incarnation &&
           left->sequence == right->sequence;
}
