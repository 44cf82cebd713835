#include "state-tables-delta.h"

#include <string.h>
#include <talloc.h>

#include "state-tables-build.h"
#include "state-tables-check.h"

/* Replaces the current tables if there are none yet or the delta is full. */
static const HrTables no_tables;

/* Returns the rows, tombstones and edits that are newer than from_revision, as
 * a talloc child of parent, or NULL when memory runs out. The delta has the
 * revision of tables; its digest covers only its own rows and must not be
 * compared. */
HrTables *
HrTables_BuildDelta(const void *parent, const HrTables *tables,
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

/* Adds the current rows that the delta neither sets nor deletes. */
static void
add_unchanged_rows(HrTablesBuilder *builder, const HrTables *current,
                   const HrTables *delta)
{
    uint32_t i;

    for (i = 0; i < current->route_count; i++) {
        const HrRoute *route = &current->routes[i];

        if (HrTables_FindRouteByName(delta, route->name) == NULL &&
            find_tombstone(delta, HR_TABLE_ROUTES, route->name) == NULL) {
            HrTablesBuilder_AddRoute(builder, route, route->revision);
        }
    }
    for (i = 0; i < current->pool_count; i++) {
        const HrPool *pool = &current->pools[i];

        if (HrTables_FindPool(delta, pool->name) == NULL &&
            find_tombstone(delta, HR_TABLE_POOLS, pool->name) == NULL) {
            HrTablesBuilder_AddPool(builder, pool, pool->revision);
        }
    }
}

/* Adds the rows that the delta sets. */
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

/* Returns true if a current tombstone is still needed at the delta's revision.
 * The rule must equal that of HrTablesEdit_Apply(), so that the result is the
 * same as after the edits themselves. */
static bool
should_retain_tombstone(const HrTombstone *tombstone, const HrTables *delta)
{
    int64_t now_ms = delta->edit_count > 0
                         ? delta->edits[delta->edit_count - 1].time_ms
                         : 0;

    if (now_ms - tombstone->deleted_ms > HR_TOMBSTONE_RETENTION_MS ||
        find_tombstone(delta, tombstone->table, tombstone->name) != NULL) {
        return false;
    }
    return tombstone->table == HR_TABLE_ROUTES
               ? HrTables_FindRouteByName(delta, tombstone->name) == NULL
               : HrTables_FindPool(delta, tombstone->name) == NULL;
}

/* Adds the current tombstones that are still needed and those of the delta. */
static void
add_tombstones(HrTablesBuilder *builder, const HrTables *current,
               const HrTables *delta)
{
    uint32_t i;

    for (i = 0; i < current->tombstone_count; i++) {
        if (should_retain_tombstone(&current->tombstones[i], delta)) {
            HrTablesBuilder_AddTombstone(builder, &current->tombstones[i]);
        }
    }
    for (i = 0; i < delta->tombstone_count; i++) {
        HrTablesBuilder_AddTombstone(builder, &delta->tombstones[i]);
    }
}

/* Adds the newest HR_EDIT_HISTORY_MAX edits of both tables. An edit that is in
 * both is copied from the delta. */
static void
add_history(HrTablesBuilder *builder, const HrTables *current,
            const HrTables *delta)
{
    uint64_t first_new =
        delta->edit_count > 0 ? delta->edits[0].revision : UINT64_MAX;
    uint32_t older_count = 0, older_limit, i;

    while (older_count < current->edit_count &&
           current->edits[older_count].revision < first_new) {
        older_count++;
    }
    older_limit = HR_EDIT_HISTORY_MAX - delta->edit_count;
    for (i = older_count > older_limit ? older_count - older_limit : 0;
         i < older_count; i++) {
        HrTablesBuilder_AddEdit(builder, &current->edits[i]);
    }
    for (i = 0; i < delta->edit_count; i++) {
        HrTablesBuilder_AddEdit(builder, &delta->edits[i]);
    }
}

/* Returns the current tables with the delta applied, or NULL when memory runs
 * out. Does not check the digest. */
static HrTables *
merge_delta(const void *parent, const HrTables *current, const HrTables *delta)
{
    HrTablesBuilder builder = HrTablesBuilder_Start(
        parent, current->route_count + delta->route_count,
        current->pool_count + delta->pool_count,
        current->tombstone_count + delta->tombstone_count,
        HR_EDIT_HISTORY_MAX);

    add_unchanged_rows(&builder, current, delta);
    add_changed_rows(&builder, delta);
    add_tombstones(&builder, current, delta);
    add_history(&builder, current, delta);
    return HrTablesBuilder_Finish(&builder, delta->revision);
}

/* Returns the current tables (NULL: none) with a delta applied, as a talloc
 * child of parent. If full is set, the delta contains all rows and current is
 * ignored. On failure returns NULL and fills err: HR_ERR_STALE if the digest
 * of the result differs from digest, in which case the caller needs the full
 * tables; HR_ERR_NO_MEMORY; or an error of HrTables_Check(). */
HrTables *
HrTables_ApplyDelta(const void *parent, const HrTables *current,
                    const HrTables *delta, bool full, uint64_t digest,
                    HrError *err)
{
    HrTables *tables;

    if (HrTables_CheckRows(delta, "delta", err) != HR_OK) {
        return NULL;
    }
    current = current == NULL || full ? &no_tables : current;
    tables = merge_delta(parent, current, delta);
    if (tables == NULL) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        return NULL;
    }
    if (tables->digest != digest) {
        talloc_free(tables);
        HrError_Set(err, HR_ERR_STALE,
                    "the delta does not match its digest; request all rows");
        return NULL;
    }
    if (HrTables_Check(tables, "delta", err) != HR_OK) {
        talloc_free(tables);
        return NULL;
    }
    return tables;
}
