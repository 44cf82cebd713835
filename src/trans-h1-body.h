#ifndef HR_TRANS_H1_BODY_H
#define HR_TRANS_H1_BODY_H

#include "base-buffer.h"
#include "coord-types.h"
#include "trans-memory.h"

/* The body of a request, shared by its sender and all attempts to forward it,
 * so that a request to many shards holds it once. */
typedef struct HrH1Body HrH1Body;

/* Takes the bytes of a buffer over, which is empty afterwards. They count in
 * memory, which must outlive the body; NULL: they do not count. The caller
 * holds one reference. Returns NULL, and leaves the buffer as it was, if
 * memory runs out. */
HrH1Body *HrH1Body_Create(HrBuffer *buffer, HrMemory *memory);

/* Adds a reference, and returns the body. */
HrH1Body *HrH1Body_Acquire(HrH1Body *body);

/* Removes a reference. The body is freed with the last one; NULL: does
 * nothing. */
void HrH1Body_Release(HrH1Body *body);

/* Returns the bytes, which are valid as long as a reference is held. */
HrBytes HrH1Body_GetBytes(const HrH1Body *body);

#endif
