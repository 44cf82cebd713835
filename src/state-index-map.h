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
    uint64_t key_to; /* inclusive; the last shard ends at UINT64_MAX */
} HrShard;

/* The shards of one index version of one pool, sorted by key_from. Immutable
 * once published. */
typedef struct HrIndexMap {
    const char *pool;
    uint64_t version; /* a newer index has a larger number */
    HrShard *shards;
    uint32_t shard_count;
} HrIndexMap;

/* One index version that the servers of a group hold, as reported by the
 * daemon that schedules for the group. */
typedef struct HrGroupVersion {
    uint64_t version;
    HrShard *shards;
    uint32_t shard_count;
    uint32_t live_servers; /* servers that hold it and accept new work */
} HrGroupVersion;

/* The index maps of a pool, newest first. A query pins one of them. */
typedef struct HrIndexMapSet {
    uint64_t revision; /* increases when the set changes */
    /* Only maps that cover every hash exactly once and whose shards have
     * distinct names. */
    HrIndexMap **maps;
    uint32_t map_count;
} HrIndexMapSet;

/* Returns the hash of a key, which decides its shard. */
uint64_t HrIndexMap_HashKey(const char *key);

/* Returns true if the shards, sorted by key_from, cover every hash exactly
 * once. */
bool HrIndexMap_IsUsable(const HrIndexMap *map);

/* Returns the shard whose range includes the hash of a key, or NULL. */
const HrShard *HrIndexMap_FindShard(const HrIndexMap *map, const char *key);

/* Returns the maps that are usable and whose shards have distinct names,
 * newest first, as a talloc child of parent, or NULL when memory runs out.
 * Group i reports counts[i] versions at groups[i]. A version with a shard that
 * has no live server is left out if another usable version has live servers
 * for every shard. Otherwise it is included: if all servers of one group fail,
 * queries lack only the shards of that group, and the pool remains in use. */
HrIndexMapSet *HrIndexMapSet_MergeVersions(
    const void *parent, const char *pool, const HrGroupVersion *const *groups,
    const uint32_t *counts, uint32_t group_count, uint64_t revision);

#endif
