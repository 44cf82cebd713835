#ifndef HR_STATE_INDEX_MAP_COPY_H
#define HR_STATE_INDEX_MAP_COPY_H

#include "state-index-map.h"

/* Copies shards with their names as children of parent; NULL when memory runs
 * out. */
HrShard *HrShards_Copy(const void *parent, const HrShard *shards,
                       uint32_t count);

/* Copies a set of maps as a child of parent; NULL when memory runs out. */
HrIndexMapSet *HrIndexMapSet_Copy(const void *parent,
                                  const HrIndexMapSet *set);

#endif
