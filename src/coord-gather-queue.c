#include "coord-gather-queue.h"

#include <string.h>
#include <talloc.h>

/* Moves the queued actions to the start of the array. */
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

/* Makes room for count more actions. Returns 0 or HR_ERR_NO_MEMORY. */
int
HrGatherQueue_ReserveSlots(const void *parent, HrGatherQueue *queue,
                           uint32_t count)
{
    HrGatherQueuedAction *items;
    uint32_t capacity;

    if (queue->count + count <= queue->capacity) {
        return HR_OK;
    }
    compact_queue(queue);
    if (queue->count + count <= queue->capacity) {
        return HR_OK;
    }
    capacity = queue->count + count;
    items =
        talloc_realloc(parent, queue->items, HrGatherQueuedAction, capacity);
    if (items == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    queue->items = items;
    queue->capacity = capacity;
    return HR_OK;
}

/* Appends an action. Room for it must have been reserved. */
void
HrGatherQueue_PushAction(HrGatherQueue *queue, HrGatherQueuedAction queued)
{
    queue->items[queue->count++] = queued;
}

/* Removes the oldest action; returns false if the queue is empty. */
bool
HrGatherQueue_PopAction(HrGatherQueue *queue, HrGatherQueuedAction *queued)
{
    if (queue->head == queue->count) {
        queue->head = queue->count = 0;
        return false;
    }
    *queued = queue->items[queue->head++];
    return true;
}
