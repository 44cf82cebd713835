#ifndef HR_DAEMON_PENDING_H
#define HR_DAEMON_PENDING_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

/* The sub-requests that this daemon has sent on peer links and that have no
 * answer yet, indexed by sub-request and by link. */
typedef struct HrPending HrPending;

/* A sub-request without an answer. */
typedef struct HrPendingSub {
    HrQueryId query;
    uint32_t sub_id;
    uint64_t link;
    uint64_t tag; /* identifies the batch */
    bool idempotent;
    bool moved; /* also sent to another daemon, because the link stalled */
} HrPendingSub;

/* Creates an empty table as a talloc child of parent. Returns NULL when memory
 * runs out. */
HrPending *HrPending_Create(const void *parent);

/* Adds a copy of a sub-request. Returns 0, HR_ERR_DUPLICATE if the table
 * contains it, or HR_ERR_NO_MEMORY. */
int HrPending_Add(HrPending *pending, const HrPendingSub *sub);

/* Removes a sub-request and copies it to *sub. Returns false if the table does
 * not contain it. */
bool HrPending_Remove(HrPending *pending, const HrQueryId *query,
                      uint32_t sub_id, HrPendingSub *sub);

/* Removes the oldest sub-request of a link that belongs to the batch with this
 * tag, or to any batch if tag is 0, and copies it to *sub. Returns false if
 * there is none. */
bool HrPending_RemoveFromLink(HrPending *pending, uint64_t link, uint64_t tag,
                              HrPendingSub *sub);

/* Marks the oldest idempotent sub-request of a link that is not marked yet as
 * moved, and copies it to *sub. It stays in the table because its answer may
 * still be received. Returns false if there is none. */
bool HrPending_MarkMoved(HrPending *pending, uint64_t link, HrPendingSub *sub);

/* Returns true if the table contains a sub-request of a link. */
bool HrPending_HasSubOnLink(const HrPending *pending, uint64_t link);

/* Returns the number of sub-requests in the table. */
uint32_t HrPending_GetCount(const HrPending *pending);

#endif
