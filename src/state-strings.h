#ifndef HR_STATE_STRINGS_H
#define HR_STATE_STRINGS_H

#include <stddef.h>

/* An arena of strings, which are freed together with it. A string that was
 * added recently is shared instead of copied again: with that, 13,000 server
 * rows need about 1 MB. */
typedef struct HrStringArena HrStringArena;

/* Returns an empty arena as a talloc child of parent, or NULL when memory runs
 * out. */
HrStringArena *HrStringArena_Create(const void *parent);

/* Returns a NUL-terminated copy of length bytes, or NULL when memory runs
 * out. The arena owns the copy and may return it again for an equal string. */
const char *HrStringArena_CopyString(HrStringArena *arena, const char *text,
                                     size_t length);

#endif
