#include "state-strings.h"

#include <stdint.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"

#define BLOCK_BYTES 16384
#define RECENT_SLOTS 512

struct HrStrings {
    char *block;
    size_t block_used;
    size_t block_bytes;
    const char *recent[RECENT_SLOTS]; /* by hash; for reuse */
};

/* Creates an empty store of strings, or returns NULL when memory runs out. */
HrStrings *
HrStrings_Create(const void *parent)
{
    return talloc_zero(parent, HrStrings);
}

/* Returns room for length bytes, or NULL when memory runs out. */
static char *
reserve(HrStrings *strings, size_t length)
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

/* Returns a copy of length bytes with a terminating zero that lives as long
 * as the store, or NULL when memory runs out. */
const char *
HrStrings_Add(HrStrings *strings, const char *text, size_t length)
{
    uint64_t hash = HrHash_Bytes(text, length, 0);
    const char **recent = &strings->recent[hash % RECENT_SLOTS];
    char *copy;

    if (*recent != NULL && strncmp(*recent, text, length) == 0 &&
        (*recent)[length] == '\0') {
        return *recent;
    }
    copy = reserve(strings, length + 1);
    if (copy == NULL) {
        return NULL;
    }
    memcpy(copy, text, length);
    copy[length] = '\0';
    *recent = copy;
    return copy;
}
