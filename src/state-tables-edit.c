#include "state-tables-edit.h"

#include <string.h>
#include <talloc.h>

#include "state-tables-build.h"
#include "state-tables-check.h"
#include "state-tables-fields.h"

/* The tables before the first edit. */
static const HrTables no_tables;

/* Returns true if names contains name. */
static bool
has_name(const char *const *names, uint32_t count, const char *name)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the route that an edit sets under a name, or NULL. */
static const HrRoute *
find_set_route(const HrTablesEdit *edit, const char *name)
{
    uint32_t i;

    for (i = 0; i < edit->set_route_count; i++) {
        if (strcmp(edit->set_routes[i].name, name) == 0) {
            return &edit->set_routes[i];
        }
    }
    return NULL;
}

/* Returns the pool that an edit sets under a name, or NULL. */
static const HrPool *
find_set_pool(const HrTablesEdit *edit, const char *name)
{
    uint32_t i;

    for (i = 0; i < edit->set_pool_count; i++) {
        if (strcmp(edit->set_pools[i].name, name) == 0) {
            return &edit->set_pools[i];
        }
    }
    return NULL;
}

/* Returns true if the edit deletes an existing route with this name. */
static bool
is_route_deleted(const HrTablesEdit *edit, const char *name)
{
    if (find_set_route(edit, name) != NULL) {
        return false;
    }
    return edit->replace ||
           has_name(edit->delete_routes, edit->delete_route_count, name);
}

/* Returns true if the edit deletes an existing pool with this name. */
static bool
is_pool_deleted(const HrTablesEdit *edit, const char *name)
{
    if (find_set_pool(edit, name) != NULL) {
        return false;
    }
    return edit->replace ||
           has_name(edit->delete_pools, edit->delete_pool_count, name);
}

/* Fills err for a row that is both set and deleted; returns its kind. */
static int
set_contradiction_error(HrError *err, const char *field, const char *name)
{
    return HrError_Set(err, HR_ERR_INVALID,
                       "edit: field \"%s\": \"%.63s\" is also set; remove one "
                       "of the two",
                       field, name);
}

/* Fills err for a row that is deleted but does not exist; returns its kind. */
static int
set_missing_row_error(HrError *err, const char *field, const char *name)
{
    return HrError_Set(err, HR_ERR_NOT_FOUND,
                       "edit: field \"%s\": there is no row \"%.63s\"; read "
                       "the tables again",
                       field, name);
}

/* Checks that deleted rows exist and are not set by the same edit. */
static int
check_deleted_rows(const HrTables *old, const HrTablesEdit *edit, HrError *err)
{
    uint32_t i;

    for (i = 0; i < edit->delete_route_count; i++) {
        if (find_set_route(edit, edit->delete_routes[i]) != NULL) {
            return set_contradiction_error(err, "delete_routes",
                                           edit->delete_routes[i]);
        }
        if (HrTables_FindRouteByName(old, edit->delete_routes[i]) == NULL) {
            return set_missing_row_error(err, "delete_routes",
                                         edit->delete_routes[i]);
        }
    }
    for (i = 0; i < edit->delete_pool_count; i++) {
        if (find_set_pool(edit, edit->delete_pools[i]) != NULL) {
            return set_contradiction_error(err, "delete_pools",
                                           edit->delete_pools[i]);
        }
        if (HrTables_FindPool(old, edit->delete_pools[i]) == NULL) {
            return set_missing_row_error(err, "delete_pools",
                                         edit->delete_pools[i]);
        }
    }
    return HR_OK;
}

/* Rejects an edit that neither sets nor deletes a row. An edit with replace
 * set may delete all rows. */
static int
check_edit_not_empty(const HrTablesEdit *edit, HrError *err)
{
    if (edit->replace || edit->set_route_count > 0 ||
        edit->set_pool_count > 0 || edit->delete_route_count > 0 ||
        edit->delete_pool_count > 0) {
        return HR_OK;
    }
    return HrError_Set(err, HR_ERR_INVALID,
                       "edit: no row is set or deleted; name at least one");
}

/* Adds the routes that the edit does not affect and those that it sets. A row
 * that is set to its old values retains its old revision. */
static void
add_routes(HrTablesBuilder *builder, const HrTables *old,
           const HrTablesEdit *edit, uint64_t revision)
{
    uint32_t i;

    for (i = 0; i < old->route_count; i++) {
        const HrRoute *route = &old->routes[i];

        if (find_set_route(edit, route->name) == NULL &&
            !is_route_deleted(edit, route->name)) {
            HrTablesBuilder_AddRoute(builder, route, route->revision);
        }
    }
    for (i = 0; i < edit->set_route_count; i++) {
        const HrRoute *route = &edit->set_routes[i];
        const HrRoute *old_row = HrTables_FindRouteByName(old, route->name);
        bool is_same =
            old_row != NULL &&
            HrFieldList_AreRowsEqual(&hr_route_fields, old_row, route);

        HrTablesBuilder_AddRoute(builder, route,
                                 is_same ? old_row->revision : revision);
    }
}

/* Adds the pools that the edit does not affect and those that it sets. A row
 * that is set to its old values retains its old revision. */
static void
add_pools(HrTablesBuilder *builder, const HrTables *old,
          const HrTablesEdit *edit, uint64_t revision)
{
    uint32_t i;

    for (i = 0; i < old->pool_count; i++) {
        const HrPool *pool = &old->pools[i];

        if (find_set_pool(edit, pool->name) == NULL &&
            !is_pool_deleted(edit, pool->name)) {
            HrTablesBuilder_AddPool(builder, pool, pool->revision);
        }
    }
    for (i = 0; i < edit->set_pool_count; i++) {
        const HrPool *pool = &edit->set_pools[i];
        const HrPool *old_row = HrTables_FindPool(old, pool->name);
        bool is_same = old_row != NULL && HrPool_Equals(old_row, pool);

        HrTablesBuilder_AddPool(builder, pool,
                                is_same ? old_row->revision : revision);
    }
}

/* Returns true if a tombstone is still needed after the edit: it has not
 * expired and the edit does not set its row again. */
static bool
should_retain_tombstone(const HrTombstone *tombstone, const HrTablesEdit *edit,
                        int64_t now_ms)
{
    if (now_ms - tombstone->deleted_ms > HR_TOMBSTONE_RETENTION_MS) {
        return false;
    }
    return tombstone->table == HR_TABLE_ROUTES
               ? find_set_route(edit, tombstone->name) == NULL
               : find_set_pool(edit, tombstone->name) == NULL;
}

/* Adds the tombstones that are still needed and one for each row that the edit
 * deletes. */
static void
add_tombstones(HrTablesBuilder *builder, const HrTables *old,
               const HrTablesEdit *edit, uint64_t revision, int64_t now_ms)
{
    HrTombstone tombstone = {.revision = revision, .deleted_ms = now_ms};
    uint32_t i;

    for (i = 0; i < old->tombstone_count; i++) {
        if (should_retain_tombstone(&old->tombstones[i], edit, now_ms)) {
            HrTablesBuilder_AddTombstone(builder, &old->tombstones[i]);
        }
    }
    tombstone.table = HR_TABLE_ROUTES;
    for (i = 0; i < old->route_count; i++) {
        if (is_route_deleted(edit, old->routes[i].name)) {
            tombstone.name = old->routes[i].name;
            HrTablesBuilder_AddTombstone(builder, &tombstone);
        }
    }
    tombstone.table = HR_TABLE_POOLS;
    for (i = 0; i < old->pool_count; i++) {
        if (is_pool_deleted(edit, old->pools[i].name)) {
            tombstone.name = old->pools[i].name;
            HrTablesBuilder_AddTombstone(builder, &tombstone);
        }
    }
}

/* Adds the history and an entry for the edit. If the history is full, its
 * oldest entry is left out. */
static void
add_history(HrTablesBuilder *builder, const HrTables *old,
            const HrTablesEdit *edit, uint64_t revision, int64_t now_ms)
{
    HrEditRecord record = {.edit_id = edit->edit_id,
                           .revision = revision,
                           .operator_name = edit->operator_name,
                           .time_ms = now_ms,
                           .summary = edit->summary};
    uint32_t first = old->edit_count == HR_EDIT_HISTORY_MAX ? 1 : 0;
    uint32_t i;

    for (i = first; i < old->edit_count; i++) {
        HrTablesBuilder_AddEdit(builder, &old->edits[i]);
    }
    HrTablesBuilder_AddEdit(builder, &record);
}

/* Returns the time of a new edit, which is never before that of the last
 * edit. Otherwise a VM whose wall clock is behind would delete tombstones
 * late. */
static int64_t
choose_edit_time_ms(const HrTables *old, int64_t wall_ms)
{
    int64_t last_ms =
        old->edit_count > 0 ? old->edits[old->edit_count - 1].time_ms : 0;

    return wall_ms > last_ms ? wall_ms : last_ms;
}

/* Returns the old tables (NULL: none) with the edit applied, at the next
 * revision. The result has passed HrTables_Check(); it is a talloc child of
 * parent and shares no memory with old or edit. wall_ms is the wall time since
 * 1970. Returns NULL and fills err for an invalid edit or when memory runs
 * out. */
HrTables *
HrTablesEdit_Apply(const void *parent, const HrTables *old,
                   const HrTablesEdit *edit, int64_t wall_ms, HrError *err)
{
    HrTablesBuilder builder;
    HrTables *tables;
    uint64_t revision;
    int64_t now_ms;

    old = old == NULL ? &no_tables : old;
    if (check_edit_not_empty(edit, err) != HR_OK ||
        check_deleted_rows(old, edit, err) != HR_OK) {
        return NULL;
    }
    revision = old->revision + 1;
    now_ms = choose_edit_time_ms(old, wall_ms);
    builder = HrTablesBuilder_Start(
        parent, old->route_count + edit->set_route_count,
        old->pool_count + edit->set_pool_count,
        old->tombstone_count + old->route_count + old->pool_count,
        HR_EDIT_HISTORY_MAX);
    add_routes(&builder, old, edit, revision);
    add_pools(&builder, old, edit, revision);
    add_tombstones(&builder, old, edit, revision, now_ms);
    add_history(&builder, old, edit, revision, now_ms);
    tables = HrTablesBuilder_Finish(&builder, revision);
    if (tables == NULL) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        return NULL;
    }
    if (HrTables_Check(tables, "edit", err) != HR_OK) {
        talloc_free(tables);
        return NULL;
    }
    return tables;
}

/* Returns the revision that last changed or deleted a route, or 0 if there is
 * neither the route nor a tombstone of it. */
static uint64_t
find_route_revision(const HrTables *tables, const char *name)
{
    const HrRoute *route = HrTables_FindRouteByName(tables, name);
    uint32_t i;

    if (route != NULL) {
        return route->revision;
    }
    for (i = 0; i < tables->tombstone_count; i++) {
        if (tables->tombstones[i].table == HR_TABLE_ROUTES &&
            strcmp(tables->tombstones[i].name, name) == 0) {
            return tables->tombstones[i].revision;
        }
    }
    return 0;
}

/* Returns the revision that last changed or deleted a pool, or 0 if there is
 * neither the pool nor a tombstone of it. */
static uint64_t
find_pool_revision(const HrTables *tables, const char *name)
{
    const HrPool *pool = HrTables_FindPool(tables, name);
    uint32_t i;

    if (pool != NULL) {
        return pool->revision;
    }
    for (i = 0; i < tables->tombstone_count; i++) {
        if (tables->tombstones[i].table == HR_TABLE_POOLS &&
            strcmp(tables->tombstones[i].name, name) == 0) {
            return tables->tombstones[i].revision;
        }
    }
    return 0;
}

/* Returns true if a route that the edit sets or deletes has changed since
 * based_on. */
static bool
has_changed_route(const HrTables *current, const HrTablesEdit *edit)
{
    uint32_t i;

    for (i = 0; i < edit->set_route_count; i++) {
        if (find_route_revision(current, edit->set_routes[i].name) >
            edit->based_on) {
            return true;
        }
    }
    for (i = 0; i < edit->delete_route_count; i++) {
        if (find_route_revision(current, edit->delete_routes[i]) >
            edit->based_on) {
            return true;
        }
    }
    return false;
}

/* Returns true if a pool that the edit sets or deletes has changed since
 * based_on. */
static bool
has_changed_pool(const HrTables *current, const HrTablesEdit *edit)
{
    uint32_t i;

    for (i = 0; i < edit->set_pool_count; i++) {
        if (find_pool_revision(current, edit->set_pools[i].name) >
            edit->based_on) {
            return true;
        }
    }
    for (i = 0; i < edit->delete_pool_count; i++) {
        if (find_pool_revision(current, edit->delete_pools[i]) >
            edit->based_on) {
            return true;
        }
    }
    return false;
}

/* Returns true if a row that the edit sets or deletes has changed since
 * edit->based_on, or if that revision is older than the history. An edit with
 * replace set affects every row, so it conflicts with any later revision. */
bool
HrTablesEdit_HasConflict(const HrTables *current, const HrTablesEdit *edit)
{
    if (edit->based_on >= current->revision) {
        return false;
    }
    /* If based_on is older than the history, an edit that was already applied
     * cannot be recognized by its id, and the report of the conflict cannot
     * list the changes. */
    if (edit->replace || current->edit_count == 0 ||
        edit->based_on + 1 < current->edits[0].revision) {
        return true;
    }
    return has_changed_route(current, edit) || has_changed_pool(current, edit);
}

/* Returns the tables that restore the value of the store: a copy of the
 * current tables without expired tombstones and with a history entry for the
 * restore, at a revision that is HR_RESTORE_REVISION_GAP higher. wall_ms is
 * the wall time since 1970. Returns NULL when memory runs out. */
HrTables *
HrTables_BuildRestore(const void *parent, const HrTables *current,
                      const char *edit_id, const char *operator_name,
                      int64_t wall_ms)
{
    HrTablesEdit restore = {.edit_id = edit_id,
                            .operator_name = operator_name,
                            .summary = "restore of the store's value"};
    uint64_t revision = current->revision + HR_RESTORE_REVISION_GAP;
    int64_t now_ms = choose_edit_time_ms(current, wall_ms);
    HrTablesBuilder builder = HrTablesBuilder_Start(
        parent, current->route_count, current->pool_count,
        current->tombstone_count, HR_EDIT_HISTORY_MAX);

    add_routes(&builder, current, &restore, revision);
    add_pools(&builder, current, &restore, revision);
    add_tombstones(&builder, current, &restore, revision, now_ms);
    add_history(&builder, current, &restore, revision, now_ms);
    return HrTablesBuilder_Finish(&builder, revision);
}

/* Returns a copy of an array of names with copies of the names in strings, or
 * NULL when memory runs out for the array. Names for which memory runs out are
 * NULL. */
static const char **
copy_names(HrTablesEdit *parent, HrStringArena *strings,
           const char *const *names, uint32_t count)
{
    const char **copy = talloc_array(parent, const char *, count);
    uint32_t i;

    for (i = 0; copy != NULL && i < count; i++) {
        copy[i] =
            HrStringArena_CopyString(strings, names[i], strlen(names[i]));
    }
    return copy;
}

/* Returns a deep copy of the edit as a talloc child of parent, or NULL when
 * memory runs out for its rows. If it runs out later, other strings or arrays
 * of names are NULL in the copy. */
HrTablesEdit *
HrTablesEdit_Copy(const void *parent, const HrTablesEdit *edit)
{
    HrTablesEdit *copy = talloc(parent, HrTablesEdit);
    HrTablesBuilder builder;
    uint32_t i;

    if (copy == NULL) {
        return NULL;
    }
    *copy = *edit;
    builder = HrTablesBuilder_Start(copy, edit->set_route_count,
                                    edit->set_pool_count, 0, 0);
    for (i = 0; i < edit->set_route_count; i++) {
        HrTablesBuilder_AddRoute(&builder, &edit->set_routes[i], 0);
    }
    for (i = 0; i < edit->set_pool_count; i++) {
        HrTablesBuilder_AddPool(&builder, &edit->set_pools[i], 0);
    }
    if (builder.status != HR_OK) {
        talloc_free(copy);
        return NULL;
    }
    copy->set_routes = builder.tables->routes;
    copy->set_pools = builder.tables->pools;
    copy->delete_routes = copy_names(
        copy, builder.strings, edit->delete_routes, edit->delete_route_count);
    copy->delete_pools = copy_names(copy, builder.strings, edit->delete_pools,
                                    edit->delete_pool_count);
    copy->edit_id = HrStringArena_CopyString(builder.strings, edit->edit_id,
                                             strlen(edit->edit_id));
    copy->operator_name = HrStringArena_CopyString(
        builder.strings, edit->operator_name, strlen(edit->operator_name));
    copy->summary = HrStringArena_CopyString(builder.strings, edit->summary,
                                             strlen(edit->summary));
    return copy;
}
