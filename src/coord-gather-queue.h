#ifndef HR_COORD_GATHER_QUEUE_H
#define HR_COORD_GATHER_QUEUE_H

#include "coord-gather.h"

/* Internal to the gather: queue of the actions that the driver has not popped
 * yet. */

typedef struct HrGatherQueuedAction {
    HrGatherActionKind kind;
    uint32_t sub_id;
    const char *group; /* of the shard; used by cancellations */
} HrGatherQueuedAction;

typedef struct HrGatherQueue {
    HrGatherQueuedAction *items;
    uint32_t head;
    uint32_t count;
    uint32_t capacity;
} HrGatherQueue;

/* Makes room for count more actions, so that HrGatherQueue_PushAction cannot
 * fail. Returns 0 or HR_ERR_NO_MEMORY. */
int HrGatherQueue_ReserveSlots(const void *parent, HrGatherQueue *queue,
                               uint32_t count);

/* Appends an action. Room for it must have been reserved. */
void HrGatherQueue_PushAction(HrGatherQueue *queue,
                              HrGatherQueuedAction queued);

/* Removes the oldest action; returns false if the queue is empty. */
bool HrGatherQueue_PopAction(HrGatherQueue *queue,
                             HrGatherQueuedAction *queued);

#endif
