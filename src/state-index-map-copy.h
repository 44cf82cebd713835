#ifndef HR_STATE_INDEX_MAP_COPY_H
#define HR_STATE_INDEX_MAP_COPY_H

#include "state-index-map.h"

/* Returns a deep copy of the shards as a talloc child of parent, or NULL when
 * memory runs out. */
HrShard *HrShards_Copy(const void *parent, const HrShard *shards,
                       uint32_t count);

/* Returns a deep copy of the set as a talloc child of parent, or NULL when
 * memory runs out. */
HrIndexMapSet *HrIndexMapSet_Copy(const void *parent,
                                  const HrIndexMapSet *set);

#endif
