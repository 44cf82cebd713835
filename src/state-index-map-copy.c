#include "state-index-map-copy.h"

#include <talloc.h>

/* Returns a deep copy of the shards as a talloc child of parent, or NULL when
 * memory runs out. */
HrShard *
HrShards_Copy(const void *parent, const HrShard *shards, uint32_t count)
{
    HrShard *copy = talloc_array(parent, HrShard, count);
    uint32_t i;

    for (i = 0; copy != NULL && i < count; i++) {
        copy[i] = shards[i];
        copy[i].name = talloc_strdup(copy, shards[i].name);
        copy[i].group = talloc_strdup(copy, shards[i].group);
        if (copy[i].name == NULL || copy[i].group == NULL) {
            TALLOC_FREE(copy);
        }
    }
    return copy;
}

/* Returns a deep copy of one map as a talloc child of parent, or NULL when
 * memory runs out. */
static HrIndexMap *
copy_map(const void *parent, const HrIndexMap *map)
{
    HrIndexMap *copy = talloc_zero(parent, HrIndexMap);

    if (copy == NULL) {
        return NULL;
    }
    copy->pool = talloc_strdup(copy, map->pool);
    copy->version = map->version;
    copy->shard_count = map->shard_count;
    copy->shards = HrShards_Copy(copy, map->shards, map->shard_count);
    if (copy->pool == NULL || copy->shards == NULL) {
        TALLOC_FREE(copy);
    }
    return copy;
}

/* Returns a deep copy of the set as a talloc child of parent, or NULL when
 * memory runs out. */
HrIndexMapSet *
HrIndexMapSet_Copy(const void *parent, const HrIndexMapSet *set)
{
    HrIndexMapSet *copy = talloc_zero(parent, HrIndexMapSet);
    uint32_t i;

    if (copy == NULL) {
        return NULL;
    }
    copy->revision = set->revision;
    copy->maps = talloc_array(copy, HrIndexMap *, set->map_count);
    for (i = 0; copy->maps != NULL && i < set->map_count; i++) {
        copy->maps[i] = copy_map(copy, set->maps[i]);
        if (copy->maps[i] == NULL) {
            break;
        }
        copy->map_count++;
    }
    if (copy->map_count < set->map_count) {
        TALLOC_FREE(copy);
    }
    return copy;
}
