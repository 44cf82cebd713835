#ifndef HR_COMMON_PARENT_H
#define HR_COMMON_PARENT_H

/* Sets a test's state to a new talloc parent. */
int TestParent_Create(void **state);

/* Frees the parent with all that a test has made below it. */
int TestParent_Free(void **state);

#endif
