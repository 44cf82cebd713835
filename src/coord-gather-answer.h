#ifndef HR_COORD_GATHER_ANSWER_H
#define HR_COORD_GATHER_ANSWER_H

#include "coord-gather-snapshot.h"

/* Internal to the gather: builds the answer to the caller. */

/* What the answer depends on besides the state of the shards. */
typedef struct HrGatherAnswerInputs {
    HrReason pending_reason; /* why pending shards are missing */
    bool idempotent;
    bool may_have_run; /* an attempt that the snapshot no longer shows may
                        * have run */
} HrGatherAnswerInputs;

/* Fills the status, the reason, the parts and the missing shards of the answer
 * from the snapshot, which may be NULL. Returns 0 or HR_ERR_NO_MEMORY. */
int HrGatherAnswer_FillFromSnapshot(const void *parent, HrGatherAnswer *answer,
                                    const HrGatherSnapshot *snapshot,
                                    const HrGatherAnswerInputs *inputs);

#endif
