#ifndef HR_COORD_OWNER_INDEX_H
#define HR_COORD_OWNER_INDEX_H

#include "coord-owner.h"

/* A compact copy of a member view for ranking the candidates of many shard
 * groups. It yields the same ranking as HrOwner_ListCandidates() without
 * reading the complete members and comparing their strings for each group.
 * Immutable: a changed view needs a new index. */
typedef struct HrOwnerIndex HrOwnerIndex;

/* Creates the index of a view. The index does not refer to the view, which may
 * be freed. Returns NULL when out of memory. */
HrOwnerIndex *HrOwnerIndex_Create(const void *parent,
                                  const HrMemberView *view);

/* Fills ids and returns their number like HrOwner_ListCandidates() on the
 * view. */
uint32_t HrOwnerIndex_ListCandidates(const HrOwnerIndex *index,
                                     const char *pool, const char *group,
                                     const HrOwnerPreference *prefer,
                                     uint64_t *ids, uint32_t limit);

#endif
