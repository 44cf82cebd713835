#include "state-index-map.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"

/* Every daemon must hash keys with the same seed; otherwise two daemons would
 * search different shards for the same key. */
#define KEY_HASH_SEED UINT64_C(0)

/* A reported shard, with the number of live servers in its group. */
typedef struct ReportedShard {
    const HrShard *shard;
    uint32_t live_servers;
} ReportedShard;

/* Returns the hash of a key, which decides its shard. */
uint64_t
HrIndexMap_HashKey(const char *key)
{
    return HrHash_String(key, KEY_HASH_SEED);
}

/* Returns true if the shards, sorted by key_from, cover every hash exactly
 * once. */
bool
HrIndexMap_IsUsable(const HrIndexMap *map)
{
    uint64_t next = 0;
    uint32_t i;

    for (i = 0; i < map->shard_count; i++) {
        const HrShard *shard = &map->shards[i];

        if (shard->key_from != next || shard->key_to < shard->key_from) {
            return false;
        }
        if (shard->key_to == UINT64_MAX) {
            return i + 1 == map->shard_count;
        }
        next = shard->key_to + 1;
    }
    return false;
}

/* Returns the shard whose range includes the hash of a key, or NULL. */
const HrShard *
HrIndexMap_FindShard(const HrIndexMap *map, const char *key)
{
    uint64_t hash = HrIndexMap_HashKey(key);
    uint32_t low = 0, high = map->shard_count;

    while (low < high) {
        uint32_t mid = low + (high - low) / 2;
        const HrShard *shard = &map->shards[mid];

        if (hash < shard->key_from) {
            high = mid;
        }
        else if (hash > shard->key_to) {
            low = mid + 1;
        }
        else {
            return shard;
        }
    }
    return NULL;
}

/* Orders versions for qsort(), the newest first. */
static int
compare_versions(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left, b = *(const uint64_t *)right;

    return (a < b) - (a > b);
}

/* Orders reported shards for qsort() by range and name. Reports of the same
 * shard are ordered by live servers, most first, and then by group. */
static int
compare_reported_shards(const void *left, const void *right)
{
    const ReportedShard *a = left, *b = right;
    int order;

    if (a->shard->key_from != b->shard->key_from) {
        return a->shard->key_from < b->shard->key_from ? -1 : 1;
    }
    if (a->shard->key_to != b->shard->key_to) {
        return a->shard->key_to < b->shard->key_to ? -1 : 1;
    }
    order = strcmp(a->shard->name, b->shard->name);
    if (order != 0) {
        return order;
    }
    if (a->live_servers != b->live_servers) {
        return a->live_servers > b->live_servers ? -1 : 1;
    }
    return strcmp(a->shard->group, b->shard->group);
}

/* Orders pointers to names for qsort(). */
static int
compare_names(const void *left, const void *right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Returns true if range and name are equal; the groups may differ. */
static bool
is_same_shard(const HrShard *left, const HrShard *right)
{
    return left->key_from == right->key_from &&
           left->key_to == right->key_to &&
           strcmp(left->name, right->name) == 0;
}

/* Returns the distinct versions that the groups report, newest first, or NULL
 * when memory runs out. */
static uint64_t *
list_versions(const void *parent, const HrGroupVersion *const *groups,
              const uint32_t *counts, uint32_t group_count,
              uint32_t *version_count)
{
    uint32_t i, j, total = 0, unique = 0;
    uint64_t *versions;

    for (i = 0; i < group_count; i++) {
        total += counts[i];
    }
    versions = talloc_array(parent, uint64_t, total + 1);
    if (versions == NULL) {
        return NULL;
    }
    total = 0;
    for (i = 0; i < group_count; i++) {
        for (j = 0; j < counts[i]; j++) {
            versions[total++] = groups[i][j].version;
        }
    }
    qsort(versions, total, sizeof(*versions), compare_versions);
    for (i = 0; i < total; i++) {
        if (i == 0 || versions[i] != versions[i - 1]) {
            versions[unique++] = versions[i];
        }
    }
    *version_count = unique;
    return versions;
}

/* Returns the shards that the groups report for a version, sorted by range. Of
 * several reports of a shard only the one with the most live servers is
 * included. Returns NULL when memory runs out. */
static ReportedShard *
collect_shards(const void *parent, uint64_t version,
               const HrGroupVersion *const *groups, const uint32_t *counts,
               uint32_t group_count, uint32_t *shard_count)
{
    ReportedShard *reported = talloc_array(parent, ReportedShard, 0);
    uint32_t i, j, k, total = 0, unique = 0;

    for (i = 0; i < group_count && reported != NULL; i++) {
        for (j = 0; j < counts[i] && reported != NULL; j++) {
            const HrGroupVersion *group_version = &groups[i][j];

            if (group_version->version != version) {
                continue;
            }
            reported = talloc_realloc(parent, reported, ReportedShard,
                                      total + group_version->shard_count);
            for (k = 0; reported != NULL && k < group_version->shard_count;
                 k++) {
                reported[total].shard = &group_version->shards[k];
                reported[total++].live_servers = group_version->live_servers;
            }
        }
    }
    if (reported == NULL) {
        return NULL;
    }
    if (total > 0) {
        qsort(reported, total, sizeof(*reported), compare_reported_shards);
    }
    for (i = 0; i < total; i++) {
        if (unique == 0 ||
            !is_same_shard(reported[unique - 1].shard, reported[i].shard)) {
            reported[unique++] = reported[i];
        }
    }
    *shard_count = unique;
    return reported;
}

/* Returns a new map with copies of the reported shards, or NULL when memory
 * runs out. */
static HrIndexMap *
build_map(const void *parent, const char *pool, uint64_t version,
          const ReportedShard *reported, uint32_t count)
{
    HrIndexMap *map = talloc_zero(parent, HrIndexMap);
    uint32_t i;

    if (map == NULL) {
        return NULL;
    }
    map->version = version;
    map->pool = talloc_strdup(map, pool);
    map->shards = talloc_zero_array(map, HrShard, count + 1);
    if (map->pool == NULL || map->shards == NULL) {
        talloc_free(map);
        return NULL;
    }
    for (i = 0; i < count; i++) {
        HrShard *shard = &map->shards[i];

        *shard = *reported[i].shard;
        shard->name = talloc_strdup(map->shards, reported[i].shard->name);
        shard->group = talloc_strdup(map->shards, reported[i].shard->group);
        if (shard->name == NULL || shard->group == NULL) {
            talloc_free(map);
            return NULL;
        }
    }
    map->shard_count = count;
    return map;
}

/* Returns true if two shards have the same name. Such a map cannot be used,
 * because an answer identifies the shard that contributed by its name. Also
 * returns true when memory runs out. */
static bool
has_duplicate_shard_name(const HrIndexMap *map)
{
    const char **names = talloc_array(map, const char *, map->shard_count + 1);
    bool duplicate = names == NULL;
    uint32_t i;

    for (i = 0; !duplicate && i < map->shard_count; i++) {
        names[i] = map->shards[i].name;
    }
    if (!duplicate) {
        qsort(names, map->shard_count, sizeof(*names), compare_names);
    }
    for (i = 1; !duplicate && i < map->shard_count; i++) {
        duplicate = strcmp(names[i - 1], names[i]) == 0;
    }
    talloc_free(names);
    return duplicate;
}

/* Returns true if each reported shard has a live server. */
static bool
has_live_servers(const ReportedShard *reported, uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (reported[i].live_servers == 0) {
            return false;
        }
    }
    return true;
}

/* Adds the map of one version to the set if it is usable. *live_only is true
 * once the set is limited to maps whose shards all have live servers; the
 * first such map sets it and removes all others. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
add_version(HrIndexMapSet *set, const char *pool, uint64_t version,
            const HrGroupVersion *const *groups, const uint32_t *counts,
            uint32_t group_count, bool *live_only)
{
    uint32_t count = 0;
    ReportedShard *reported =
        collect_shards(set, version, groups, counts, group_count, &count);
    HrIndexMap *map;
    bool live;

    if (reported == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    live = has_live_servers(reported, count);
    map = build_map(set, pool, version, reported, count);
    talloc_free(reported);
    if (map == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    if (!HrIndexMap_IsUsable(map) || has_duplicate_shard_name(map) ||
        (*live_only && !live)) {
        talloc_free(map);
        return HR_OK;
    }
    if (live && !*live_only) {
        while (set->map_count > 0) {
            talloc_free(set->maps[--set->map_count]);
        }
        *live_only = true;
    }
    set->maps[set->map_count++] = map;
    return HR_OK;
}

/* Returns the maps that are usable and whose shards have distinct names,
 * newest first, as a talloc child of parent, or NULL when memory runs out.
 * Group i reports counts[i] versions at groups[i]. A version with a shard that
 * has no live server is left out if another usable version has live servers
 * for every shard. Otherwise it is included: if all servers of one group fail,
 * queries lack only the shards of that group, and the pool remains in use. */
HrIndexMapSet *
HrIndexMapSet_MergeVersions(const void *parent, const char *pool,
                            const HrGroupVersion *const *groups,
                            const uint32_t *counts, uint32_t group_count,
                            uint64_t revision)
{
    HrIndexMapSet *set = talloc_zero(parent, HrIndexMapSet);
    uint32_t i, version_count = 0;
    bool live_only = false;
    uint64_t *versions;

    if (set == NULL) {
        return NULL;
    }
    set->revision = revision;
    versions = list_versions(set, groups, counts, group_count, &version_count);
    set->maps = talloc_zero_array(set, HrIndexMap *, version_count + 1);
    if (versions == NULL || set->maps == NULL) {
        talloc_free(set);
        return NULL;
    }
    for (i = 0; i < version_count; i++) {
        if (add_version(set, pool, versions[i], groups, counts, group_count,
                        &live_only) != HR_OK) {
            talloc_free(set);
            return NULL;
        }
    }
    talloc_free(versions);
    return set;
}
