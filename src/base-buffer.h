#ifndef HR_BASE_BUFFER_H
#define HR_BASE_BUFFER_H

#include <stddef.h>
#include <stdint.h>

/* A growing byte queue: bytes are appended at the end and removed from the
 * front. The memory is a talloc child of parent. */
typedef struct HrBuffer {
    const void *parent;
    uint8_t *data;
    size_t start;    /* offset of the first byte in data */
    size_t end;      /* offset after the last byte in data */
    size_t capacity; /* bytes allocated for data */
    size_t released; /* offset up to which the memory of data was returned to
                        the system; at most start */
} HrBuffer;

/* Initializes an empty buffer; allocates nothing. */
void HrBuffer_Init(HrBuffer *buffer, const void *parent);

/* Ensures space for length more bytes at the end and returns a pointer to it;
 * NULL if memory is exhausted. Earlier pointers into the buffer become
 * invalid. */
uint8_t *HrBuffer_Reserve(HrBuffer *buffer, size_t length);

/* Appends the first length bytes of the reserved space to the content, after
 * the caller has written them. */
void HrBuffer_Commit(HrBuffer *buffer, size_t length);

/* Appends bytes; returns 0 or HR_ERR_NO_MEMORY. */
int HrBuffer_Append(HrBuffer *buffer, const void *data, size_t length);

/* Appends formatted text without its zero byte; returns 0 or
 * HR_ERR_NO_MEMORY, also if the format is invalid. */
int HrBuffer_AppendFormat(HrBuffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Removes length bytes from the front; the buffer must contain at least as
 * many. */
void HrBuffer_Consume(HrBuffer *buffer, size_t length);

/* Shortens the content to its first length bytes. */
void HrBuffer_Truncate(HrBuffer *buffer, size_t length);

/* Returns the number of bytes. */
size_t HrBuffer_GetLength(const HrBuffer *buffer);

/* Returns a pointer to the first byte; valid until the buffer changes. */
const uint8_t *HrBuffer_GetData(const HrBuffer *buffer);

/* Returns the memory of removed bytes at the front to the system, in whole
 * pages and without a copy. Cheap if there is little to return. */
void HrBuffer_ReleaseConsumed(HrBuffer *buffer);

/* Returns the number of bytes of memory that the buffer uses. */
size_t HrBuffer_GetHeldBytes(const HrBuffer *buffer);

/* Removes the content and frees the memory; the buffer can be used again. */
void HrBuffer_Release(HrBuffer *buffer);

/* Frees the memory if the buffer is empty; it can be used again. */
void HrBuffer_FreeIfEmpty(HrBuffer *buffer);

#endif
