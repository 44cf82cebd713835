#include "trans-h1-body.h"

#include <talloc.h>

struct HrH1Body {
    HrBuffer buffer;
    HrMemory *memory;
    uint32_t reference_count;
};

/* Takes the bytes of a buffer over. */
HrH1Body *
HrH1Body_Create(HrBuffer *buffer, HrMemory *memory)
{
    HrH1Body *body = talloc_zero(NULL, HrH1Body);

    if (body == NULL) {
        return NULL;
    }
    body->buffer = *buffer;
    body->buffer.parent = body;
    talloc_steal(body, body->buffer.data);
    body->memory = memory;
    body->reference_count = 1;
    HrMemory_Add(memory, body->buffer.capacity);
    HrBuffer_Init(buffer, buffer->parent);
    return body;
}

/* Adds a reference. */
HrH1Body *
HrH1Body_Acquire(HrH1Body *body)
{
    body->reference_count++;
    return body;
}

/* Removes a reference. */
void
HrH1Body_Release(HrH1Body *body)
{
    if (body == NULL || --body->reference_count > 0) {
        return;
    }
    HrMemory_Remove(body->memory, body->buffer.capacity);
    talloc_free(body);
}

/* Returns the bytes. */
HrBytes
HrH1Body_GetBytes(const HrH1Body *body)
{
    return (HrBytes){HrBuffer_GetData(&body->buffer),
                     HrBuffer_GetLength(&body->buffer)};
}
