#ifndef HR_COMMON_PARENT_H
#define HR_COMMON_PARENT_H

/* Setup function of a cmocka test: sets *state to a new talloc context, the
 * parent of what the test allocates. */
int TestParent_Create(void **state);

/* Teardown function: frees the talloc context and all its children. */
int TestParent_Free(void **state);

#endif
