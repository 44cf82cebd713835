#include "state-tables.h"

#include <stdlib.h>
#include <string.h>

#include "base-rng.h"
#include "state-tables-build.h"
#include "state-tables-fields.h"

/* Orders two routes by name. */
static int
compare_routes(const void *left, const void *right)
{
    return strcmp(((const HrRoute *)left)->name,
                  ((const HrRoute *)right)->name);
}

/* Orders two pools by name. */
static int
compare_pools(const void *left, const void *right)
{
    return strcmp(((const HrPool *)left)->name, ((const HrPool *)right)->name);
}

/* Orders two tombstones by table and name. */
static int
compare_tombstones(const void *left, const void *right)
{
    const HrTombstone *a = left, *b = right;

    if (a->table != b->table) {
        return a->table < b->table ? -1 : 1;
    }
    return strcmp(a->name, b->name);
}

/* Orders two edits by revision. */
static int
compare_edits(const void *left, const void *right)
{
    uint64_t a = ((const HrEditRecord *)left)->revision;
    uint64_t b = ((const HrEditRecord *)right)->revision;

    return (a > b) - (a < b);
}

/* Sorts an array that may be empty and NULL. qsort() does not accept NULL. */
static void
sort_rows(void *rows, uint32_t count, size_t size,
          int (*compare)(const void *, const void *))
{
    if (count > 1) {
        qsort(rows, count, size, compare);
    }
}

/* Returns the hash of a pool with its servers, with seed mixed in. */
static uint64_t
hash_pool(const HrPool *pool, uint64_t seed)
{
    uint32_t i;

    seed = HrFieldList_HashRow(&hr_pool_fields, pool, seed);
    seed = HrHash_Bytes(&pool->server_count, sizeof(uint32_t), seed);
    for (i = 0; i < pool->server_count; i++) {
        seed = HrFieldList_HashRow(&hr_server_fields, &pool->servers[i], seed);
    }
    return seed;
}

/* Returns the digest of the revision, routes and pools. Tombstones and edits
 * are not part of it. */
static uint64_t
compute_digest(const HrTables *tables)
{
    uint64_t digest = tables->revision;
    uint32_t i;

    digest = HrHash_Bytes(&tables->route_count, sizeof(uint32_t), digest);
    for (i = 0; i < tables->route_count; i++) {
        digest =
            HrFieldList_HashRow(&hr_route_fields, &tables->routes[i], digest);
    }
    for (i = 0; i < tables->pool_count; i++) {
        digest = hash_pool(&tables->pools[i], digest);
    }
    return digest;
}

/* Sorts routes, pools, tombstones and edits, but not the servers of a pool,
 * and computes the digest. Every function that builds tables must call this
 * after it has added the last row. */
void
HrTables_Finalize(HrTables *tables)
{
    sort_rows(tables->routes, tables->route_count, sizeof(HrRoute),
              compare_routes);
    sort_rows(tables->pools, tables->pool_count, sizeof(HrPool),
              compare_pools);
    sort_rows(tables->tombstones, tables->tombstone_count, sizeof(HrTombstone),
              compare_tombstones);
    sort_rows(tables->edits, tables->edit_count, sizeof(HrEditRecord),
              compare_edits);
    tables->digest = compute_digest(tables);
}

/* Returns the rank of a match between a route's kind and a request kind: 0 for
 * no match, the length of the prefix + 1 for a prefix, and SIZE_MAX for an
 * exact match. */
static size_t
rank_match(const char *pattern, const char *kind)
{
    size_t length = strlen(pattern);

    if (length > 0 && pattern[length - 1] == '*') {
        return strncmp(pattern, kind, length - 1) == 0 ? length : 0;
    }
    return strcmp(pattern, kind) == 0 ? SIZE_MAX : 0;
}

/* Returns the route for a request kind, or NULL. An exact match is preferred
 * to a prefix, and a longer prefix to a shorter one. */
const HrRoute *
HrTables_FindRouteByKind(const HrTables *tables, const char *kind)
{
    const HrRoute *best = NULL;
    size_t best_rank = 0;
    uint32_t i;

    for (i = 0; i < tables->route_count; i++) {
        size_t rank = rank_match(tables->routes[i].kind, kind);

        if (rank > best_rank) {
            best_rank = rank;
            best = &tables->routes[i];
        }
    }
    return best;
}

/* Returns the pool with a name, or NULL. */
const HrPool *
HrTables_FindPool(const HrTables *tables, const char *name)
{
    HrPool wanted = {.name = name};

    if (tables->pool_count == 0) {
        return NULL;
    }
    return bsearch(&wanted, tables->pools, tables->pool_count, sizeof(HrPool),
                   compare_pools);
}

/* Returns the route with a name, or NULL. */
const HrRoute *
HrTables_FindRouteByName(const HrTables *tables, const char *name)
{
    HrRoute wanted = {.name = name};

    if (tables->route_count == 0) {
        return NULL;
    }
    return bsearch(&wanted, tables->routes, tables->route_count,
                   sizeof(HrRoute), compare_routes);
}

/* Returns the accepted edit with an id, or NULL if it is not among the last
 * HR_EDIT_HISTORY_MAX edits. */
const HrEditRecord *
HrTables_FindEdit(const HrTables *tables, const char *edit_id)
{
    uint32_t i;

    for (i = 0; i < tables->edit_count; i++) {
        if (strcmp(tables->edits[i].edit_id, edit_id) == 0) {
            return &tables->edits[i];
        }
    }
    return NULL;
}

/* Returns a deep copy as a talloc child of parent, or NULL when memory runs
 * out. */
HrTables *
HrTables_Copy(const void *parent, const HrTables *tables)
{
    HrTablesBuilder builder =
        HrTablesBuilder_Start(parent, tables->route_count, tables->pool_count,
                              tables->tombstone_count, tables->edit_count);
    uint32_t i;

    for (i = 0; i < tables->route_count; i++) {
        HrTablesBuilder_AddRoute(&builder, &tables->routes[i],
                                 tables->routes[i].revision);
    }
    for (i = 0; i < tables->pool_count; i++) {
        HrTablesBuilder_AddPool(&builder, &tables->pools[i],
                                tables->pools[i].revision);
    }
    for (i = 0; i < tables->tombstone_count; i++) {
        HrTablesBuilder_AddTombstone(&builder, &tables->tombstones[i]);
    }
    for (i = 0; i < tables->edit_count; i++) {
        HrTablesBuilder_AddEdit(&builder, &tables->edits[i]);
    }
    return HrTablesBuilder_Finish(&builder, tables->revision);
}

/* Returns true if two pools and their servers are equal in all fields but the
 * revision. */
bool
HrPool_Equals(const HrPool *left, const HrPool *right)
{
    uint32_t i;

    if (left->server_count != right->server_count ||
        !HrFieldList_AreRowsEqual(&hr_pool_fields, left, right)) {
        return false;
    }
    for (i = 0; i < left->server_count; i++) {
        if (!HrFieldList_AreRowsEqual(&hr_server_fields, &left->servers[i],
                                      &right->servers[i])) {
            return false;
        }
    }
    return true;
}
