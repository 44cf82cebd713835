#ifndef HR_COMMON_MUTATE_H
#define HR_COMMON_MUTATE_H

#include <stddef.h>

#include "base-rng.h"

/* Returns a damaged copy of a text as a talloc child of parent: bytes
 * changed, removed, repeated or inserted, or the end cut off. */
char *Mutate_Text(const void *parent, const char *text, HrRng *rng,
                  size_t *length_bytes);

#endif
