#include "state-strings.h"

#include <stdint.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"

#define BLOCK_BYTES 16384
#define RECENT_COUNT 512

struct HrStringArena {
    char *block;
    size_t block_used;
    size_t block_bytes;
    const char *recent[RECENT_COUNT]; /* one string for each value of
                                       * hash % RECENT_COUNT */
};

/* Returns an empty arena as a talloc child of parent, or NULL when memory runs
 * out. */
HrStringArena *
HrStringArena_Create(const void *parent)
{
    return talloc_zero(parent, HrStringArena);
}

/* Returns length uninitialized bytes of the current block, or of a new one if
 * they don't fit. Returns NULL when memory runs out. */
static char *
reserve_bytes(HrStringArena *arena, size_t length)
{
    char *start;

    if (arena->block_bytes - arena->block_used < length) {
        size_t size = length > BLOCK_BYTES ? length : BLOCK_BYTES;

        arena->block = talloc_array(arena, char, size);
        arena->block_used = 0;
        arena->block_bytes = arena->block == NULL ? 0 : size;
        if (arena->block == NULL) {
            return NULL;
        }
    }
    start = arena->block + arena->block_used;
    arena->block_used += length;
    return start;
}

/* Returns a NUL-terminated copy of length bytes, or NULL when memory runs
 * out. The arena owns the copy and may return it again for an equal string. */
const char *
HrStringArena_CopyString(HrStringArena *arena, const char *text, size_t length)
{
    uint64_t hash = HrHash_Bytes(text, length, 0);
    const char **recent = &arena->recent[hash % RECENT_COUNT];
    char *copy;

    if (*recent != NULL && strncmp(*recent, text, length) == 0 &&
        (*recent)[length] == '\0') {
        return *recent;
    }
    copy = reserve_bytes(arena, length + 1);
    if (copy == NULL) {
        return NULL;
    }
    memcpy(copy, text, length);
    copy[length] = '\0';
    *recent = copy;
    return copy;
}
