#ifndef HR_COORD_GATHER_QUEUE_H
#define HR_COORD_GATHER_QUEUE_H

#include "coord-gather.h"

/* Internal to the gather: actions that wait for the driver. */

typedef struct HrGatherPending {
    HrGatherActionKind kind;
    uint32_t sub_id;
    const char *group; /* of a cancellation */
} HrGatherPending;

typedef struct HrGatherQueue {
    HrGatherPending *items;
    uint32_t head;
    uint32_t count;
    uint32_t capacity;
} HrGatherQueue;

/* Makes room for a number of further actions, so that HrGatherQueue_Push
 * cannot fail. Returns 0 or HR_ERR_NO_MEMORY. */
int HrGatherQueue_Reserve(const void *parent, HrGatherQueue *queue,
                          uint32_t count);

/* Appends an action, for which room was reserved. */
void HrGatherQueue_Push(HrGatherQueue *queue, HrGatherPending pending);

/* Removes the oldest action; returns false when there is none. */
bool HrGatherQueue_Pop(HrGatherQueue *queue, HrGatherPending *pending);

#endif
