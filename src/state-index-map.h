#ifndef HR_STATE_INDEX_MAP_H
#define HR_STATE_INDEX_MAP_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"

/* One shard of an index version: the keys whose hash lies in
 * [key_from, key_to]. */
typedef struct HrShard {
    const char *name;
    const char *group;
    uint64_t key_from;
    uint64_t key_to; /* inclusive, so that the last shard ends at UINT64_MAX */
} HrShard;

/* The shards of one index version of one pool, sorted by key_from. Immutable
 * once published. */
typedef struct HrIndexMap {
    const char *pool;
    uint64_t version; /* a newer index has a larger number */
    HrShard *shards;
    uint32_t shard_count;
} HrIndexMap;

/* What the servers of one group hold, as reported by its scheduling daemon. */
typedef struct HrGroupVersion {
    uint64_t version;
    HrShard *shards;
    uint32_t shard_count;
    uint32_t live_servers; /* servers that hold it and take new work */
} HrGroupVersion;

/* The index maps of a pool that a query may pin, newest first. */
typedef struct HrIndexMapSet {
    uint64_t revision; /* raised when the set changes */
    HrIndexMap **maps; /* usable ones only: the whole range exactly once */
    uint32_t map_count;
} HrIndexMapSet;

/* Returns the hash of a key, which decides its shard. */
uint64_t HrIndexMap_HashKey(const char *key);

/* Returns true if the sorted shards cover every hash exactly once. */
bool HrIndexMap_IsUsable(const HrIndexMap *map);

/* Returns the shard that holds a key, or NULL when no shard does. */
const HrShard *HrIndexMap_FindShard(const HrIndexMap *map, const char *key);

/* Builds the usable maps, newest first, from the versions that each group
 * reports; the result is a talloc child of parent. counts[i] versions at
 * groups[i]. Returns NULL when memory runs out. */
HrIndexMapSet *HrIndexMapSet_Merge(const void *parent, const char *pool,
                                   const HrGroupVersion *const *groups,
                                   const uint32_t *counts,
                                   uint32_t group_count, uint64_t revision);

#endif
