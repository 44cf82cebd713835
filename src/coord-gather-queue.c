#include "coord-gather-queue.h"

#include <string.h>
#include <talloc.h>

/* Moves the waiting actions to the start of the array. */
static void
compact_queue(HrGatherQueue *queue)
{
    queue->count -= queue->head;
    if (queue->count > 0) {
        memmove(queue->items, queue->items + queue->head,
                queue->count * sizeof(*queue->items));
    }
    queue->head = 0;
}

/* Makes room for a number of further actions. */
int
HrGatherQueue_Reserve(const void *parent, HrGatherQueue *queue, uint32_t count)
{
    HrGatherPending *items;
    uint32_t capacity;

    if (queue->count + count <= queue->capacity) {
        return HR_OK;
    }
    compact_queue(queue);
    if (queue->count + count <= queue->capacity) {
        return HR_OK;
    }
    capacity = queue->count + count;
    items = talloc_realloc(parent, queue->items, HrGatherPending, capacity);
    if (items == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    queue->items = items;
    queue->capacity = capacity;
    return HR_OK;
}

/* Appends an action, for which room was reserved. */
void
HrGatherQueue_Push(HrGatherQueue *queue, HrGatherPending pending)
{
    queue->items[queue->count++] = pending;
}

/* Removes the oldest action; returns false when there is none. */
bool
HrGatherQueue_Pop(HrGatherQueue *queue, HrGatherPending *pending)
{
    if (queue->head == queue->count) {
        queue->head = queue->count = 0;
        return false;
    }
    *pending = queue->items[queue->head++];
    return true;
}
