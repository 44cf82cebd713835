#include "base-buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <talloc.h>
#include <unistd.h>

#include "base-error.h"

#define INITIAL_CAPACITY_BYTES 512

/* From this capacity on, a buffer grows by a quarter instead of doubling, so
 * that little of a large one is unused. */
#define LARGE_CAPACITY_BYTES ((size_t)64 * 1024)

/* Less memory than this is not returned to the system, to save calls. */
#define RELEASE_MIN_BYTES ((size_t)64 * 1024)

/* Initializes an empty buffer. */
void
HrBuffer_Init(HrBuffer *buffer, const void *parent)
{
    memset(buffer, 0, sizeof(*buffer));
    buffer->parent = parent;
}

/* Ensures space for length more bytes at the end and returns a pointer to it;
 * NULL if memory is exhausted. Moves the content to the front of the memory
 * before it allocates more. */
uint8_t *
HrBuffer_Reserve(HrBuffer *buffer, size_t length)
{
    size_t used = buffer->end - buffer->start;
    size_t capacity = buffer->capacity;
    uint8_t *grown;

    if (buffer->start > 0 && buffer->end + length > buffer->capacity) {
        memmove(buffer->data, buffer->data + buffer->start, used);
        buffer->start = 0;
        buffer->end = used;
        buffer->released = 0;
    }
    if (buffer->end + length <= buffer->capacity) {
        return buffer->data + buffer->end;
    }
    capacity = capacity == 0                     ? INITIAL_CAPACITY_BYTES
               : capacity < LARGE_CAPACITY_BYTES ? capacity * 2
                                                 : capacity + capacity / 4;
    capacity = capacity < used + length ? used + length : capacity;
    grown = talloc_realloc_size(buffer->parent, buffer->data, capacity);
    if (grown == NULL) {
        return NULL;
    }
    buffer->data = grown;
    buffer->capacity = capacity;
    return buffer->data + buffer->end;
}

/* Appends the first length bytes of the reserved space to the content. */
void
HrBuffer_Commit(HrBuffer *buffer, size_t length)
{
    buffer->end += length;
}

/* Appends a copy of length bytes; returns 0 or HR_ERR_NO_MEMORY. */
int
HrBuffer_Append(HrBuffer *buffer, const void *data, size_t length)
{
    uint8_t *space;

    if (length == 0) {
        return HR_OK;
    }
    space = HrBuffer_Reserve(buffer, length);
    if (space == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    memcpy(space, data, length);
    HrBuffer_Commit(buffer, length);
    return HR_OK;
}

/* Appends formatted text without its zero byte; returns 0 or
 * HR_ERR_NO_MEMORY. */
int
HrBuffer_AppendFormat(HrBuffer *buffer, const char *format, ...)
{
    va_list args, args_copy;
    uint8_t *space;
    int length;

    va_start(args, format);
    va_copy(args_copy, args);
    length = vsnprintf(NULL, 0, format, args);
    va_end(args);
    space = length < 0 ? NULL : HrBuffer_Reserve(buffer, (size_t)length + 1);
    if (space != NULL) {
        vsnprintf((char *)space, (size_t)length + 1, format, args_copy);
        HrBuffer_Commit(buffer, (size_t)length);
    }
    va_end(args_copy);
    return space != NULL ? HR_OK : HR_ERR_NO_MEMORY;
}

/* Removes length bytes from the front. */
void
HrBuffer_Consume(HrBuffer *buffer, size_t length)
{
    buffer->start += length;
    if (buffer->start == buffer->end) {
        buffer->start = 0;
        buffer->end = 0;
        buffer->released = 0;
    }
}

/* Shortens the content to its first length bytes. */
void
HrBuffer_Truncate(HrBuffer *buffer, size_t length)
{
    buffer->end = buffer->start + length;
}

/* Returns the number of bytes. */
size_t
HrBuffer_GetLength(const HrBuffer *buffer)
{
    return buffer->end - buffer->start;
}

/* Returns a pointer to the first byte. */
const uint8_t *
HrBuffer_GetData(const HrBuffer *buffer)
{
    return buffer->data + buffer->start;
}

/* Returns the memory of removed bytes to the system. It reads as zeros when it
 * is used again. */
void
HrBuffer_ReleaseConsumed(HrBuffer *buffer)
{
    size_t page = (size_t)sysconf(_SC_PAGESIZE), first, last;

    if (buffer->start < buffer->released + RELEASE_MIN_BYTES) {
        return;
    }
    first = buffer->released;
    first += (page - (uintptr_t)(buffer->data + first) % page) % page;
    last = buffer->start - (uintptr_t)(buffer->data + buffer->start) % page;
    if (last > first &&
        madvise(buffer->data + first, last - first, MADV_DONTNEED) == 0) {
        buffer->released = last;
    }
}

/* Returns the number of bytes of memory that the buffer uses. */
size_t
HrBuffer_GetHeldBytes(const HrBuffer *buffer)
{
    return buffer->capacity - buffer->released;
}

/* Removes the content and frees the memory. */
void
HrBuffer_Release(HrBuffer *buffer)
{
    HrBuffer_Consume(buffer, HrBuffer_GetLength(buffer));
    HrBuffer_FreeIfEmpty(buffer);
}

/* Frees the memory if the buffer is empty. */
void
HrBuffer_FreeIfEmpty(HrBuffer *buffer)
{
    if (buffer->start == buffer->end && buffer->data != NULL) {
        talloc_free(buffer->data);
        HrBuffer_Init(buffer, buffer->parent);
    }
}
