#include "common-parent.h"

#include <stddef.h>
#include <talloc.h>

/* Sets a test's state to a new talloc parent. */
int
TestParent_Create(void **state)
{
    *state = talloc_new(NULL);
    return 0;
}

/* Frees the parent with all that a test has made below it. */
int
TestParent_Free(void **state)
{
    talloc_free(*state);
    return 0;
}
