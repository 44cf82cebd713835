#include "state-tables-delta.h"

#include <string.h>
#include <talloc.h>

#include "state-tables-build.h"
#include "state-tables-check.h"

/* What is held before the first tables. */
static const HrTables no_tables;

/* Returns the rows, tombstones and edits newer than a revision, at the
 * revision of tables, or NULL when memory runs out. The digest of a delta
 * means nothing. */
HrTables *
HrTables_Delta(const void *parent, const HrTables *tables,
               uint64_t from_revision)
{
    HrTablesBuilder builder =
        HrTablesBuilder_Start(parent, tables->route_count, tables->pool_count,
                              tables->tombstone_count, tables->edit_count);
    uint32_t i;

    for (i = 0; i < tables->route_count; i++) {
        if (tables->routes[i].revision > from_revision) {
            HrTablesBuilder_AddRoute(&builder, &tables->routes[i],
                                     tables->routes[i].revision);
        }
    }
    for (i = 0; i < tables->pool_count; i++) {
        if (tables->pools[i].revision > from_revision) {
            HrTablesBuilder_AddPool(&builder, &tables->pools[i],
                                    tables->pools[i].revision);
        }
    }
    for (i = 0; i < tables->tombstone_count; i++) {
        if (tables->tombstones[i].revision > from_revision) {
            HrTablesBuilder_AddTombstone(&builder, &tables->tombstones[i]);
        }
    }
    for (i = 0; i < tables->edit_count; i++) {
        if (tables->edits[i].revision > from_revision) {
            HrTablesBuilder_AddEdit(&builder, &tables->edits[i]);
        }
    }
    return HrTablesBuilder_Finish(&builder, tables->revision);
}

/* Returns the tombstone of a row in a delta, or NULL. */
static const HrTombstone *
find_tombstone(const HrTables *delta, HrTableKind table, const char *name)
{
    uint32_t i;

    for (i = 0; i < delta->tombstone_count; i++) {
        if (delta->tombstones[i].table == table &&
            strcmp(delta->tombstones[i].name, name) == 0) {
            return &delta->tombstones[i];
        }
    }
    return NULL;
}

/* Adds the rows held that the delta neither changes nor deletes. */
static void
add_kept_rows(HrTablesBuilder *builder, const HrTables *held,
              const HrTables *delta)
{
    uint32_t i;

    for (i = 0; i < held->route_count; i++) {
        const HrRoute *route = &held->routes[i];

        if (HrTables_FindRouteByName(delta, route->name) == NULL &&
            find_tombstone(delta, HR_TABLE_ROUTES, route->name) == NULL) {
            HrTablesBuilder_AddRoute(builder, route, route->revision);
        }
    }
    for (i = 0; i < held->pool_count; i++) {
        const HrPool *pool = &held->pools[i];

        if (HrTables_FindPool(delta, pool->name) == NULL &&
            find_tombstone(delta, HR_TABLE_POOLS, pool->name) == NULL) {
            HrTablesBuilder_AddPool(builder, pool, pool->revision);
        }
    }
}

/* Adds the changed rows. */
static void
add_changed_rows(HrTablesBuilder *builder, const HrTables *delta)
{
    uint32_t i;

    for (i = 0; i < delta->route_count; i++) {
        HrTablesBuilder_AddRoute(builder, &delta->routes[i],
                                 delta->routes[i].revision);
    }
    for (i = 0; i < delta->pool_count; i++) {
        HrTablesBuilder_AddPool(builder, &delta->pools[i],
                                delta->pools[i].revision);
    }
}

/* Returns true if a tombstone held is still needed at the delta's revision,
 * by the same rule as in the edit that made it. */
static bool
keeps_tombstone(const HrTombstone *tombstone, const HrTables *delta)
{
    int64_t now_ms = delta->edit_count > 0
                         ? delta->edits[delta->edit_count - 1].time_ms
                         : 0;

    if (now_ms - tombstone->deleted_ms > HR_TOMBSTONE_KEEP_MS ||
        find_tombstone(delta, tombstone->table, tombstone->name) != NULL) {
        return false;
    }
    return tombstone->table == HR_TABLE_ROUTES
               ? HrTables_FindRouteByName(delta, tombstone->name) == NULL
               : HrTables_FindPool(delta, tombstone->name) == NULL;
}

/* Adds the tombstones of both. */
static void
add_tombstones(HrTablesBuilder *builder, const HrTables *held,
               const HrTables *delta)
{
    uint32_t i;

    for (i = 0; i < held->tombstone_count; i++) {
        if (keeps_tombstone(&held->tombstones[i], delta)) {
            HrTablesBuilder_AddTombstone(builder, &held->tombstones[i]);
        }
    }
    for (i = 0; i < delta->tombstone_count; i++) {
        HrTablesBuilder_AddTombstone(builder, &delta->tombstones[i]);
    }
}

/* Adds the newest HR_EDIT_HISTORY edits of both. An edit that both have is
 * taken from the delta. */
static void
add_history(HrTablesBuilder *builder, const HrTables *held,
            const HrTables *delta)
{
    uint64_t first_new =
        delta->edit_count > 0 ? delta->edits[0].revision : UINT64_MAX;
    uint32_t older = 0, room, i;

    while (older < held->edit_count &&
           held->edits[older].revision < first_new) {
        older++;
    }
    room = HR_EDIT_HISTORY - delta->edit_count;
    for (i = older > room ? older - room : 0; i < older; i++) {
        HrTablesBuilder_AddEdit(builder, &held->edits[i]);
    }
    for (i = 0; i < delta->edit_count; i++) {
        HrTablesBuilder_AddEdit(builder, &delta->edits[i]);
    }
}

/* Returns the union of what is held and a delta. */
static HrTables *
build_union(const void *parent, const HrTables *held, const HrTables *delta)
{
    HrTablesBuilder builder = HrTablesBuilder_Start(
        parent, held->route_count + delta->route_count,
        held->pool_count + delta->pool_count,
        held->tombstone_count + delta->tombstone_count, HR_EDIT_HISTORY);

    add_kept_rows(&builder, held, delta);
    add_changed_rows(&builder, delta);
    add_tombstones(&builder, held, delta);
    add_history(&builder, held, delta);
    return HrTablesBuilder_Finish(&builder, delta->revision);
}

/* Returns the tables that a delta makes out of those held (NULL: none). With
 * full the delta holds everything and what is held does not matter. Returns
 * NULL with HR_ERR_STALE when the result differs from digest: then only the
 * full tables help; NULL with another error when the rows are invalid. */
HrTables *
HrTables_Merge(const void *parent, const HrTables *held, const HrTables *delta,
               bool full, uint64_t digest, HrError *err)
{
    HrTables *tables;

    if (HrTables_CheckRows(delta, "delta", err) != HR_OK) {
        return NULL;
    }
    held = held == NULL || full ? &no_tables : held;
    tables = build_union(parent, held, delta);
    if (tables == NULL) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        return NULL;
    }
    if (tables->digest != digest) {
        talloc_free(tables);
        HrError_Set(err, HR_ERR_STALE,
                    "the delta does not lead to its digest; pull all rows");
        return NULL;
    }
    if (HrTables_Check(tables, "delta", err) != HR_OK) {
        talloc_free(tables);
        return NULL;
    }
    return tables;
}
