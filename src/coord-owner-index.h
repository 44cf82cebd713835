#ifndef HR_COORD_OWNER_INDEX_H
#define HR_COORD_OWNER_INDEX_H

#include "coord-owner.h"

/* A view prepared for ranking many shard groups: the same ranking as
 * HrOwner_Candidates(), without a pass over the full records and their strings
 * for each group. Immutable; create one for each published view. */
typedef struct HrOwnerIndex HrOwnerIndex;

/* Creates the index of a view, which it does not refer to afterwards; NULL
 * when memory is short. */
HrOwnerIndex *HrOwnerIndex_Create(const void *parent,
                                  const HrMemberView *view);

/* Returns what HrOwner_Candidates() returns for the view. */
uint32_t HrOwnerIndex_Candidates(const HrOwnerIndex *index, const char *pool,
                                 const char *group,
                                 const HrOwnerPreference *prefer,
                                 uint64_t *ids, uint32_t limit);

#endif
