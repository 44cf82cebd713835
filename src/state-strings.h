#ifndef HR_STATE_STRINGS_H
#define HR_STATE_STRINGS_H

#include <stddef.h>

/* Strings that are freed together. Short strings that repeat are mostly
 * stored once, which keeps 13,000 server rows at about 1 MB. */
typedef struct HrStrings HrStrings;

/* Creates an empty store of strings, or returns NULL when memory runs out. */
HrStrings *HrStrings_Create(const void *parent);

/* Returns a copy of length bytes with a terminating zero that lives as long
 * as the store, or NULL when memory runs out. */
const char *HrStrings_Add(HrStrings *strings, const char *text, size_t length);

#endif
