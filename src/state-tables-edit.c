#include "state-tables-edit.h"

#include <string.h>
#include <talloc.h>

#include "state-tables-build.h"
#include "state-tables-check.h"
#include "state-tables-fields.h"

/* Tables before the first edit. */
static const HrTables no_tables;

/* Returns true if a name is in a list. */
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

/* Returns true if the edit deletes a route that exists. */
static bool
deletes_route(const HrTablesEdit *edit, const char *name)
{
    if (find_set_route(edit, name) != NULL) {
        return false;
    }
    return edit->replace ||
           has_name(edit->delete_routes, edit->delete_route_count, name);
}

/* Returns true if the edit deletes a pool that exists. */
static bool
deletes_pool(const HrTablesEdit *edit, const char *name)
{
    if (find_set_pool(edit, name) != NULL) {
        return false;
    }
    return edit->replace ||
           has_name(edit->delete_pools, edit->delete_pool_count, name);
}

/* Records that a name is both set and deleted. */
static int
fail_contradiction(HrError *err, const char *field, const char *name)
{
    return HrError_Set(err, HR_ERR_INVALID,
                       "edit: field \"%s\": \"%.63s\" is also set; remove one "
                       "of the two",
                       field, name);
}

/* Records that a deleted row does not exist. */
static int
fail_missing(HrError *err, const char *field, const char *name)
{
    return HrError_Set(err, HR_ERR_NOT_FOUND,
                       "edit: field \"%s\": there is no row \"%.63s\"; read "
                       "the tables again",
                       field, name);
}

/* Checks that deleted rows exist and are not set by the same edit. */
static int
check_deletes(const HrTables *old, const HrTablesEdit *edit, HrError *err)
{
    uint32_t i;

    for (i = 0; i < edit->delete_route_count; i++) {
        if (find_set_route(edit, edit->delete_routes[i]) != NULL) {
            return fail_contradiction(err, "delete_routes",
                                      edit->delete_routes[i]);
        }
        if (HrTables_FindRouteByName(old, edit->delete_routes[i]) == NULL) {
            return fail_missing(err, "delete_routes", edit->delete_routes[i]);
        }
    }
    for (i = 0; i < edit->delete_pool_count; i++) {
        if (find_set_pool(edit, edit->delete_pools[i]) != NULL) {
            return fail_contradiction(err, "delete_pools",
                                      edit->delete_pools[i]);
        }
        if (HrTables_FindPool(old, edit->delete_pools[i]) == NULL) {
            return fail_missing(err, "delete_pools", edit->delete_pools[i]);
        }
    }
    return HR_OK;
}

/* Refuses an edit that asks for nothing. */
static int
check_not_empty(const HrTablesEdit *edit, HrError *err)
{
    if (edit->replace || edit->set_route_count > 0 ||
        edit->set_pool_count > 0 || edit->delete_route_count > 0 ||
        edit->delete_pool_count > 0) {
        return HR_OK;
    }
    return HrError_Set(err, HR_ERR_INVALID,
                       "edit: no row is set or deleted; name at least one");
}

/* Adds the routes that stay as they are and those that the edit sets. A row
 * that is set to what it was keeps its revision. */
static void
add_routes(HrTablesBuilder *builder, const HrTables *old,
           const HrTablesEdit *edit, uint64_t revision)
{
    uint32_t i;

    for (i = 0; i < old->route_count; i++) {
        const HrRoute *route = &old->routes[i];

        if (find_set_route(edit, route->name) == NULL &&
            !deletes_route(edit, route->name)) {
            HrTablesBuilder_AddRoute(builder, route, route->revision);
        }
    }
    for (i = 0; i < edit->set_route_count; i++) {
        const HrRoute *route = &edit->set_routes[i];
        const HrRoute *before = HrTables_FindRouteByName(old, route->name);
        bool same = before != NULL &&
                    HrFieldList_Equals(&hr_route_fields, before, route);

        HrTablesBuilder_AddRoute(builder, route,
                                 same ? before->revision : revision);
    }
}

/* Adds the pools that stay as they are and those that the edit sets. */
static void
add_pools(HrTablesBuilder *builder, const HrTables *old,
          const HrTablesEdit *edit, uint64_t revision)
{
    uint32_t i;

    for (i = 0; i < old->pool_count; i++) {
        const HrPool *pool = &old->pools[i];

        if (find_set_pool(edit, pool->name) == NULL &&
            !deletes_pool(edit, pool->name)) {
            HrTablesBuilder_AddPool(builder, pool, pool->revision);
        }
    }
    for (i = 0; i < edit->set_pool_count; i++) {
        const HrPool *pool = &edit->set_pools[i];
        const HrPool *before = HrTables_FindPool(old, pool->name);
        bool same = before != NULL && HrPool_Equals(before, pool);

        HrTablesBuilder_AddPool(builder, pool,
                                same ? before->revision : revision);
    }
}

/* Returns true if an older tombstone is still needed after the edit. */
static bool
keeps_tombstone(const HrTombstone *tombstone, const HrTablesEdit *edit,
                int64_t now_ms)
{
    if (now_ms - tombstone->deleted_ms > HR_TOMBSTONE_KEEP_MS) {
        return false;
    }
    return tombstone->table == HR_TABLE_ROUTES
               ? find_set_route(edit, tombstone->name) == NULL
               : find_set_pool(edit, tombstone->name) == NULL;
}

/* Adds the tombstones that are still needed and those of this edit. */
static void
add_tombstones(HrTablesBuilder *builder, const HrTables *old,
               const HrTablesEdit *edit, uint64_t revision, int64_t now_ms)
{
    HrTombstone fresh = {.revision = revision, .deleted_ms = now_ms};
    uint32_t i;

    for (i = 0; i < old->tombstone_count; i++) {
        if (keeps_tombstone(&old->tombstones[i], edit, now_ms)) {
            HrTablesBuilder_AddTombstone(builder, &old->tombstones[i]);
        }
    }
    fresh.table = HR_TABLE_ROUTES;
    for (i = 0; i < old->route_count; i++) {
        if (deletes_route(edit, old->routes[i].name)) {
            fresh.name = old->routes[i].name;
            HrTablesBuilder_AddTombstone(builder, &fresh);
        }
    }
    fresh.table = HR_TABLE_POOLS;
    for (i = 0; i < old->pool_count; i++) {
        if (deletes_pool(edit, old->pools[i].name)) {
            fresh.name = old->pools[i].name;
            HrTablesBuilder_AddTombstone(builder, &fresh);
        }
    }
}

/* Adds the history, without its oldest entry when it is full, and the edit. */
static void
add_history(HrTablesBuilder *builder, const HrTables *old,
            const HrTablesEdit *edit, uint64_t revision, int64_t now_ms)
{
    HrEditRecord record = {.edit_id = edit->edit_id,
                           .revision = revision,
                           .operator_name = edit->operator_name,
                           .time_ms = now_ms,
                           .summary = edit->summary};
    uint32_t first = old->edit_count == HR_EDIT_HISTORY ? 1 : 0;
    uint32_t i;

    for (i = first; i < old->edit_count; i++) {
        HrTablesBuilder_AddEdit(builder, &old->edits[i]);
    }
    HrTablesBuilder_AddEdit(builder, &record);
}

/* Returns the time of a new edit: never before the last one, so that a VM
 * whose wall clock is behind drops no tombstone late. */
static int64_t
choose_time_ms(const HrTables *old, int64_t wall_ms)
{
    int64_t last_ms =
        old->edit_count > 0 ? old->edits[old->edit_count - 1].time_ms : 0;

    return wall_ms > last_ms ? wall_ms : last_ms;
}

/* Returns the tables that the edit makes out of old (NULL: none) at revision
 * old + 1, fully checked. The result is a talloc child of parent and shares
 * nothing with old or the edit. Returns NULL and fills err when the result
 * would be invalid. */
HrTables *
HrTablesEdit_Apply(const void *parent, const HrTables *old,
                   const HrTablesEdit *edit, int64_t wall_ms, HrError *err)
{
    HrTablesBuilder builder;
    HrTables *tables;
    uint64_t revision;
    int64_t now_ms;

    old = old == NULL ? &no_tables : old;
    if (check_not_empty(edit, err) != HR_OK ||
        check_deletes(old, edit, err) != HR_OK) {
        return NULL;
    }
    revision = old->revision + 1;
    now_ms = choose_time_ms(old, wall_ms);
    builder = HrTablesBuilder_Start(
        parent, old->route_count + edit->set_route_count,
        old->pool_count + edit->set_pool_count,
        old->tombstone_count + old->route_count + old->pool_count,
        HR_EDIT_HISTORY);
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

/* Returns the revision that last changed or deleted a route; 0 for none. */
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

/* Returns the revision that last changed or deleted a pool; 0 for none. */
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

/* Returns true if a route that the edit touches is newer than based_on. */
static bool
touches_newer_route(const HrTables *current, const HrTablesEdit *edit)
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

/* Returns true if a pool that the edit touches is newer than based_on. */
static bool
touches_newer_pool(const HrTables *current, const HrTablesEdit *edit)
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

/* Returns true if a row that the edit touches has changed since
 * edit->based_on, or if that revision is too old to tell. For a replacing
 * edit every row counts. */
bool
HrTablesEdit_Conflicts(const HrTables *current, const HrTablesEdit *edit)
{
    if (edit->based_on >= current->revision) {
        return false;
    }
    /* Beyond the history a repeated edit could not be recognized by its id,
     * and the report could not say what has changed. */
    if (edit->replace || current->edit_count == 0 ||
        edit->based_on + 1 < current->edits[0].revision) {
        return true;
    }
    return touches_newer_route(current, edit) ||
           touches_newer_pool(current, edit);
}

/* Returns the tables that restore what is held to the store, at a revision
 * HR_RESTORE_REVISION_GAP higher, or NULL when memory runs out. */
HrTables *
HrTables_Restored(const void *parent, const HrTables *held,
                  const char *edit_id, const char *operator_name,
                  int64_t wall_ms)
{
    HrTablesEdit restore = {.edit_id = edit_id,
                            .operator_name = operator_name,
                            .summary = "restore of the store's value"};
    uint64_t revision = held->revision + HR_RESTORE_REVISION_GAP;
    int64_t now_ms = choose_time_ms(held, wall_ms);
    HrTablesBuilder builder =
        HrTablesBuilder_Start(parent, held->route_count, held->pool_count,
                              held->tombstone_count, HR_EDIT_HISTORY);

    add_routes(&builder, held, &restore, revision);
    add_pools(&builder, held, &restore, revision);
    add_tombstones(&builder, held, &restore, revision, now_ms);
    add_history(&builder, held, &restore, revision, now_ms);
    return HrTablesBuilder_Finish(&builder, revision);
}

/* Returns copies of names. */
static const char **
copy_names(HrTablesEdit *parent, HrStrings *strings, const char *const *names,
           uint32_t count)
{
    const char **copy = talloc_array(parent, const char *, count);
    uint32_t i;

    for (i = 0; copy != NULL && i < count; i++) {
        copy[i] = HrStrings_Add(strings, names[i], strlen(names[i]));
    }
    return copy;
}

/* Returns a copy of the edit as a talloc child of parent, or NULL when memory
 * runs out. */
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
    copy->edit_id =
        HrStrings_Add(builder.strings, edit->edit_id, strlen(edit->edit_id));
    copy->operator_name = HrStrings_Add(builder.strings, edit->operator_name,
                                        strlen(edit->operator_name));
    copy->summary =
        HrStrings_Add(builder.strings, edit->summary, strlen(edit->summary));
    return copy;
}
