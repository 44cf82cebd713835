#ifndef HR_COMMON_MUTATE_H
#define HR_COMMON_MUTATE_H

#include <stddef.h>

#include "base-rng.h"

/* Returns a copy of a text with 1 to 4 random changes, as a talloc child of
 * parent: bytes replaced, removed or inserted, or the end cut off. Some copies
 * equal the text. Sets *length_bytes; the copy may contain NUL bytes. */
char *TestText_Mutate(const void *parent, const char *text, HrRng *rng,
                      size_t *length_bytes);

#endif
