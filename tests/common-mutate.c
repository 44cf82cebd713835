#include "common-mutate.h"

#include <string.h>
#include <talloc.h>

#define MAX_CHANGES 4
#define MAX_PIECE_BYTES ((size_t)32)

/* Pieces that are likely to reach the rules behind the parser. */
static const char *const pieces[] = {
    "0",    "-1",   "1e309",    "99999999999999999999",
    "null", "true", "\"\"",     "[",
    "]",    "{",    "}",        "\"",
    ",",    ":",    "\\",       "[]",
    "{}",   "1",    "0.5",      "\\u0000",
    "\xff", "\x01", "\"x\":1,",
};

/* Replaces a span of the text by a piece. */
static size_t
replace_span(char *text, size_t length, size_t from, size_t span,
             const char *piece, size_t size)
{
    memmove(text + from + size, text + from + span, length - from - span);
    memcpy(text + from, piece, size);
    return length - span + size;
}

/* Makes one change. Returns the new length. */
static size_t
change_text(char *text, size_t length, HrRng *rng)
{
    size_t at = (size_t)HrRng_Below(rng, length), span;
    const char *piece =
        pieces[HrRng_Below(rng, sizeof(pieces) / sizeof(pieces[0]))];
    char byte = (char)HrRng_Below(rng, 256);

    span = (size_t)HrRng_Below(rng, 8);
    span = span > length - at ? length - at : span;
    switch (HrRng_Below(rng, 5)) {
    case 0:
        return replace_span(text, length, at, 1, &byte, 1);
    case 1:
        return replace_span(text, length, at, 0, piece, strlen(piece));
    case 2:
        return replace_span(text, length, at, span, piece, strlen(piece));
    case 3:
        return replace_span(text, length, at, span, "", 0);
    default:
        return HrRng_Chance(rng, 0.2) ? at : length;
    }
}

/* Returns a damaged copy of a text as a talloc child of parent. */
char *
Mutate_Text(const void *parent, const char *text, HrRng *rng,
            size_t *length_bytes)
{
    size_t length = strlen(text);
    uint64_t changes = 1 + HrRng_Below(rng, MAX_CHANGES);
    char *copy =
        talloc_size(parent, length + MAX_CHANGES * MAX_PIECE_BYTES + 1);

    memcpy(copy, text, length);
    while (changes-- > 0 && length > 0) {
        length = change_text(copy, length, rng);
    }
    copy[length] = '\0';
    *length_bytes = length;
    return copy;
}
