#include "common-parent.h"

#include <stddef.h>
#include <talloc.h>

/* Sets *state to a new talloc context, the parent of what a test allocates. */
int
TestParent_Create(void **state)
{
    *state = talloc_new(NULL);
    return 0;
}

/* Frees the talloc context in *state and all its children. */
int
TestParent_Free(void **state)
{
    talloc_free(*state);
    return 0;
}
