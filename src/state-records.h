#ifndef HR_STATE_RECORDS_H
#define HR_STATE_RECORDS_H

#include <stddef.h>
#include <stdint.h>

/* Size of one record in the result of a shard. */
#define HR_RECORD_BYTES 16

/* The greatest records added so far, at most limit of them. Records are
 * compared byte by byte; equal records are all retained. Only the heap is
 * allocated; the struct itself is a member of the struct that uses it. */
typedef struct HrTopRecords {
    uint8_t *heap;     /* min-heap */
    uint32_t capacity; /* records for which heap has room */
    uint32_t count;
    uint32_t limit;
} HrTopRecords;

/* Initializes an empty set; its heap is a talloc child of parent. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrTopRecords_Init(HrTopRecords *records, const void *parent,
                      uint32_t limit);

/* Adds the records of part, which is the result of one shard. Ignores a
 * remainder that is shorter than a record. Returns 0, or HR_ERR_NO_MEMORY
 * without having added any. */
int HrTopRecords_AddPart(HrTopRecords *records, const uint8_t *part,
                         size_t length_bytes);

/* Sorts the records in descending order and returns their bytes, which records
 * still owns. No record may be added afterwards. */
const uint8_t *HrTopRecords_Sort(HrTopRecords *records, size_t *length_bytes);

#endif
