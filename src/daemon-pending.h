#ifndef HR_DAEMON_PENDING_H
#define HR_DAEMON_PENDING_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

/* The sub-requests that this daemon has sent over peer links and that wait for
 * an answer, by sub-request and by link. */
typedef struct HrPending HrPending;

/* One sub-request that waits. */
typedef struct HrPendingSub {
    HrQueryId query;
    uint32_t sub_id;
    uint64_t link;
    uint64_t tag; /* of the batch */
    bool idempotent;
    bool moved; /* sent elsewhere as well, because its link has stalled */
} HrPendingSub;

/* Creates an empty table. */
HrPending *HrPending_Create(const void *parent);

/* Adds a sub-request; returns 0, HR_ERR_DUPLICATE or HR_ERR_NO_MEMORY. */
int HrPending_Add(HrPending *pending, const HrPendingSub *sub);

/* Removes a sub-request and yields it; returns false if it does not wait. */
bool HrPending_Take(HrPending *pending, const HrQueryId *query,
                    uint32_t sub_id, HrPendingSub *sub);

/* Removes one sub-request of a link, of any batch when tag is 0, and yields
 * it; returns false when there is none. */
bool HrPending_TakeOfLink(HrPending *pending, uint64_t link, uint64_t tag,
                          HrPendingSub *sub);

/* Marks one idempotent sub-request of a link as moved and yields it, without
 * removing it: its answer may still come. Returns false when there is none
 * left. */
bool HrPending_MoveOfLink(HrPending *pending, uint64_t link,
                          HrPendingSub *sub);

/* Returns true if a sub-request of a link waits. */
bool HrPending_HasLink(const HrPending *pending, uint64_t link);

/* Returns the number of sub-requests that wait. */
uint32_t HrPending_Count(const HrPending *pending);

#endif
