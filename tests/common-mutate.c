#include "common-mutate.h"

#include <string.h>
#include <talloc.h>

#define CHANGES_MAX 4
#define FRAGMENT_MAX_BYTES ((size_t)32)

/* Fragments to insert: JSON tokens, numbers beyond usual limits and invalid
 * bytes. The JSON parser accepts many of the results, so that the checks after
 * it are tested as well. */
static const char *const fragments[] = {
    "0",    "-1",   "1e309",    "99999999999999999999",
    "null", "true", "\"\"",     "[",
    "]",    "{",    "}",        "\"",
    ",",    ":",    "\\",       "[]",
    "{}",   "1",    "0.5",      "\\u0000",
    "\xff", "\x01", "\"x\":1,",
};

/* Replaces span bytes of the text from start by a fragment of size bytes.
 * Returns the new length. */
static size_t
replace_span(char *text, size_t length, size_t start, size_t span,
             const char *fragment, size_t size)
{
    memmove(text + start + size, text + start + span, length - start - span);
    memcpy(text + start, fragment, size);
    return length - span + size;
}

/* Makes one random change, or none. Returns the new length. */
static size_t
change_text(char *text, size_t length, HrRng *rng)
{
    size_t offset = (size_t)HrRng_DrawBelow(rng, length), span;
    const char *fragment = fragments[HrRng_DrawBelow(
        rng, sizeof(fragments) / sizeof(fragments[0]))];
    char byte = (char)HrRng_DrawBelow(rng, 256);

    span = (size_t)HrRng_DrawBelow(rng, 8);
    span = span > length - offset ? length - offset : span;
    switch (HrRng_DrawBelow(rng, 5)) {
    case 0:
        return replace_span(text, length, offset, 1, &byte, 1);
    case 1:
        return replace_span(text, length, offset, 0, fragment,
                            strlen(fragment));
    case 2:
        return replace_span(text, length, offset, span, fragment,
                            strlen(fragment));
    case 3:
        return replace_span(text, length, offset, span, "", 0);
    default:
        return HrRng_DrawBool(rng, 0.2) ? offset : length;
    }
}

/* Returns a copy of a text with 1 to CHANGES_MAX random changes, as a talloc
 * child of parent. */
char *
TestText_Mutate(const void *parent, const char *text, HrRng *rng,
                size_t *length_bytes)
{
    size_t length = strlen(text);
    uint64_t changes_left = 1 + HrRng_DrawBelow(rng, CHANGES_MAX);
    char *copy =
        talloc_size(parent, length + CHANGES_MAX * FRAGMENT_MAX_BYTES + 1);

    memcpy(copy, text, length);
    while (changes_left-- > 0 && length > 0) {
        length = change_text(copy, length, rng);
    }
    copy[length] = '\0';
    *length_bytes = length;
    return copy;
}
