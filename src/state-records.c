#include "state-records.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-error.h"

/* Room for this many records is allocated at first. A table may permit far
 * more than the shards send. */
#define INITIAL_CAPACITY 64u

/* Compares two records byte by byte, with the result of memcmp(). */
static int
compare_records(const void *left, const void *right)
{
    return memcmp(left, right, HR_RECORD_BYTES);
}

/* Orders records for qsort(), the greatest first. */
static int
compare_records_descending(const void *left, const void *right)
{
    return compare_records(right, left);
}

/* Returns the record at an index of the heap. */
static uint8_t *
get_record(const HrTopRecords *records, uint32_t index)
{
    return records->heap + (size_t)index * HR_RECORD_BYTES;
}

/* Replaces the least record by a greater one and restores the heap order. */
static void
replace_least(HrTopRecords *records, const uint8_t *record)
{
    uint32_t index = 0;

    for (;;) {
        uint32_t child = 2 * index + 1;

        if (child >= records->count) {
            break;
        }
        if (child + 1 < records->count &&
            compare_records(get_record(records, child + 1),
                            get_record(records, child)) < 0) {
            child++;
        }
        if (compare_records(record, get_record(records, child)) <= 0) {
            break;
        }
        memcpy(get_record(records, index), get_record(records, child),
               HR_RECORD_BYTES);
        index = child;
    }
    memcpy(get_record(records, index), record, HR_RECORD_BYTES);
}

/* Inserts a record into a heap that is not full. */
static void
insert_record(HrTopRecords *records, const uint8_t *record)
{
    uint32_t index = records->count++;

    while (index > 0) {
        uint32_t parent = (index - 1) / 2;

        if (compare_records(record, get_record(records, parent)) >= 0) {
            break;
        }
        memcpy(get_record(records, index), get_record(records, parent),
               HR_RECORD_BYTES);
        index = parent;
    }
    memcpy(get_record(records, index), record, HR_RECORD_BYTES);
}

/* Initializes an empty set; its heap is a talloc child of parent. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int
HrTopRecords_Init(HrTopRecords *records, const void *parent, uint32_t limit)
{
    records->capacity = limit < INITIAL_CAPACITY ? limit : INITIAL_CAPACITY;
    records->heap = talloc_array(parent, uint8_t,
                                 (size_t)records->capacity * HR_RECORD_BYTES);
    records->count = 0;
    records->limit = limit;
    return records->heap != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Makes room for more records, as far as the limit permits. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
reserve_records(HrTopRecords *records, size_t more)
{
    size_t free_count = records->limit - records->count;
    size_t needed = records->count + (more < free_count ? more : free_count);
    uint8_t *grown;

    if (needed <= records->capacity) {
        return HR_OK;
    }
    /* Doubled, so that many small parts are not copied each time. */
    if (needed < (size_t)records->capacity * 2) {
        needed = (size_t)records->capacity * 2;
    }
    needed = needed < records->limit ? needed : records->limit;
    grown = talloc_realloc_size(NULL, records->heap, needed * HR_RECORD_BYTES);
    if (grown == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    records->heap = grown;
    records->capacity = (uint32_t)needed;
    return HR_OK;
}

/* Adds the records of part, which is the result of one shard. Ignores a
 * remainder that is shorter than a record. */
int
HrTopRecords_AddPart(HrTopRecords *records, const uint8_t *part,
                     size_t length_bytes)
{
    size_t offset;

    if (reserve_records(records, length_bytes / HR_RECORD_BYTES) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    for (offset = 0; offset + HR_RECORD_BYTES <= length_bytes;
         offset += HR_RECORD_BYTES) {
        if (records->count < records->limit) {
            insert_record(records, part + offset);
        }
        else if (records->limit > 0 &&
                 compare_records(part + offset, records->heap) > 0) {
            replace_least(records, part + offset);
        }
    }
    return HR_OK;
}

/* Sorts the records in descending order and returns their bytes, which records
 * still owns. No record may be added afterwards. */
const uint8_t *
HrTopRecords_Sort(HrTopRecords *records, size_t *length_bytes)
{
    qsort(records->heap, records->count, HR_RECORD_BYTES,
          compare_records_descending);
    *length_bytes = (size_t)records->count * HR_RECORD_BYTES;
    return records->heap;
}
