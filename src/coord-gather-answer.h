#ifndef HR_COORD_GATHER_ANSWER_H
#define HR_COORD_GATHER_ANSWER_H

#include "coord-gather-snapshot.h"

/* Internal to the gather: the answer to the caller. */

/* Why a query ends. */
typedef struct HrGatherEnd {
    HrReason open_reason; /* of the shards that are still open */
    bool idempotent;
    bool may_have_run; /* by an attempt that the shards no longer show */
} HrGatherEnd;

/* Fills the status, the parts and the gaps of the answer from the shards of
 * the snapshot, which may be NULL. Returns 0 or HR_ERR_NO_MEMORY. */
int HrGatherAnswer_Fill(const void *parent, HrGatherAnswer *answer,
                        const HrGatherSnapshot *snapshot,
                        const HrGatherEnd *end);

#endif
