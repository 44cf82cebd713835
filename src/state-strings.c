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
    const char *recent[RECENT_COUNT]; /* by hash, for sharing */
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
reserve_bytes(HrStringArena *strings, size_t length)
{
    char *start;

    if (strings->block_bytes - strings->block_used < length) {
        size_t size = length > BLOCK_BYTES ? length : BLOCK_BYTES;

        strings->block = talloc_array(strings, char, size);
        strings->block_used = 0;
        strings->block_bytes = strings->block == NULL ? 0 : size;
        if (strings->block == NULL) {
            return NULL;
        }
    }
    start = strings->block + strings->block_used;
    strings->block_used += length;
    return start;
}

/* Returns a zero-terminated copy of length bytes, or NULL when memory runs
 * out. The arena owns the copy and may return it again for an equal string. */
const char *
HrStringArena_CopyString(HrStringArena *strings, const char *text,
                         size_t length)
{
    uint64_t hash = HrHash_Bytes(text, length, 0);
    const char **recent = &strings->recent[hash % RECENT_COUNT];
    char *copy;

    if (*recent != NULL && strncmp(*recent, text, length) == 0 &&
        (*recent)[length] == '\0') {
        return *recent;
    }
    copy = reserve_bytes(strings, length + 1);
    if (copy == NULL) {
        return NULL;
    }
    memcpy(copy, text, length);
    copy[length] = '\0';
    *recent = copy;
    return copy;
}
