#ifndef HR_DAEMON_PENDING_H
#define HR_DAEMON_PENDING_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

/* The sub-requests that this daemon has sent on peer links and that have no
 * answer yet, indexed by sub-request and by link. */
typedef struct HrPendingTable HrPendingTable;

/* A sub-request without an answer. */
typedef struct HrPendingSub {
    HrQueryId query;
    uint32_t sub_id;
    uint64_t link;
    uint64_t tag; /* identifies the batch that it was sent in */
    bool idempotent;
    bool moved; /* reported as failed, because the link stalled, so that it is
                   sent to another daemon */
} HrPendingSub;

/* Creates an empty table as a talloc child of parent. Returns NULL when memory
 * runs out. */
HrPendingTable *HrPendingTable_Create(const void *parent);

/* Adds a copy of a sub-request. Returns 0, HR_ERR_DUPLICATE if the table
 * contains it, or HR_ERR_NO_MEMORY. */
int HrPendingTable_AddSub(HrPendingTable *pending, const HrPendingSub *sub);

/* Removes a sub-request and copies it to *sub. Returns false if the table does
 * not contain it. */
bool HrPendingTable_RemoveSub(HrPendingTable *pending, const HrQueryId *query,
                              uint32_t sub_id, HrPendingSub *sub);

/* Removes the oldest sub-request of a link that belongs to the batch with this
 * tag, or to any batch if tag is 0, and copies it to *sub. Returns false if
 * there is none. */
bool HrPendingTable_RemoveOldestSub(HrPendingTable *pending, uint64_t link,
                                    uint64_t tag, HrPendingSub *sub);

/* Marks the oldest idempotent sub-request of a link that is not marked yet as
 * moved, and copies it to *sub. It stays in the table because its answer may
 * still be received. Returns false if there is none. */
bool HrPendingTable_MarkSubMoved(HrPendingTable *pending, uint64_t link,
                                 HrPendingSub *sub);

/* Returns true if the table contains a sub-request of a link. */
bool HrPendingTable_HasSubOnLink(const HrPendingTable *pending, uint64_t link);

/* Returns the number of sub-requests in the table. */
uint32_t HrPendingTable_GetCount(const HrPendingTable *pending);

#endif
