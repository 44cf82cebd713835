#include "state-tables-build.h"

#include <string.h>
#include <talloc.h>

#include "state-tables-fields.h"

/* Creates empty tables as a talloc child of parent, with a fixed capacity per
 * array. A failed allocation makes HrTablesBuilder_Finish() return NULL. */
HrTablesBuilder
HrTablesBuilder_Start(const void *parent, uint32_t routes, uint32_t pools,
                      uint32_t tombstones, uint32_t edits)
{
    HrTablesBuilder builder = {.route_capacity = routes,
                               .pool_capacity = pools,
                               .tombstone_capacity = tombstones,
                               .edit_capacity = edits};
    HrTables *tables = talloc_zero(parent, HrTables);

    builder.tables = tables;
    if (tables == NULL) {
        builder.status = HR_ERR_NO_MEMORY;
        return builder;
    }
    builder.strings = HrStringArena_Create(tables);
    tables->routes = talloc_zero_array(tables, HrRoute, routes);
    tables->pools = talloc_zero_array(tables, HrPool, pools);
    tables->tombstones = talloc_zero_array(tables, HrTombstone, tombstones);
    tables->edits = talloc_zero_array(tables, HrEditRecord, edits);
    if (builder.strings == NULL || tables->routes == NULL ||
        tables->pools == NULL || tables->tombstones == NULL ||
        tables->edits == NULL) {
        builder.status = HR_ERR_NO_MEMORY;
    }
    return builder;
}

/* Returns true if a row can be added to an array with used rows. Otherwise
 * marks the builder as failed. */
static bool
has_capacity(HrTablesBuilder *builder, uint32_t used, uint32_t capacity)
{
    if (builder->status == HR_OK && used == capacity) {
        builder->status = HR_ERR_NO_MEMORY;
    }
    return builder->status == HR_OK;
}

/* Replaces the strings of a row, which still belong to the source of the row,
 * by copies. */
static void
copy_strings(HrTablesBuilder *builder, const HrFieldList *list, void *row)
{
    int rc = HrFieldList_CopyRowStrings(list, row, builder->strings);

    if (rc != HR_OK) {
        builder->status = rc;
    }
}

/* Adds a copy of a route that was last changed at a revision. */
void
HrTablesBuilder_AddRoute(HrTablesBuilder *builder, const HrRoute *route,
                         uint64_t revision)
{
    HrTables *tables = builder->tables;
    HrRoute *copy;

    if (!has_capacity(builder, builder->status ? 0 : tables->route_count,
                      builder->route_capacity)) {
        return;
    }
    copy = &tables->routes[tables->route_count++];
    *copy = *route;
    copy->revision = revision;
    copy_strings(builder, &hr_route_fields, copy);
}

/* Adds a copy of a pool, with its servers, that was last changed at a
 * revision. */
void
HrTablesBuilder_AddPool(HrTablesBuilder *builder, const HrPool *pool,
                        uint64_t revision)
{
    HrTables *tables = builder->tables;
    HrPool *copy;
    uint32_t i;

    if (!has_capacity(builder, builder->status ? 0 : tables->pool_count,
                      builder->pool_capacity)) {
        return;
    }
    copy = &tables->pools[tables->pool_count++];
    *copy = *pool;
    copy->revision = revision;
    copy_strings(builder, &hr_pool_fields, copy);
    copy->servers = talloc_array(tables, HrServer, pool->server_count);
    if (copy->servers == NULL) {
        builder->status = HR_ERR_NO_MEMORY;
        return;
    }
    for (i = 0; i < pool->server_count; i++) {
        copy->servers[i] = pool->servers[i];
        copy_strings(builder, &hr_server_fields, &copy->servers[i]);
    }
}

/* Adds a copy of a tombstone. */
void
HrTablesBuilder_AddTombstone(HrTablesBuilder *builder,
                             const HrTombstone *tombstone)
{
    HrTables *tables = builder->tables;
    HrTombstone *copy;

    if (!has_capacity(builder, builder->status ? 0 : tables->tombstone_count,
                      builder->tombstone_capacity)) {
        return;
    }
    copy = &tables->tombstones[tables->tombstone_count++];
    *copy = *tombstone;
    copy_strings(builder, &hr_tombstone_fields, copy);
}

/* Adds a copy of a history entry. */
void
HrTablesBuilder_AddEdit(HrTablesBuilder *builder, const HrEditRecord *record)
{
    HrTables *tables = builder->tables;
    HrEditRecord *copy;

    if (!has_capacity(builder, builder->status ? 0 : tables->edit_count,
                      builder->edit_capacity)) {
        return;
    }
    copy = &tables->edits[tables->edit_count++];
    *copy = *record;
    copy_strings(builder, &hr_edit_record_fields, copy);
}

/* Sets the revision, finalizes the tables and returns them. If memory ran out
 * or a row exceeded the capacity, frees them and returns NULL. */
HrTables *
HrTablesBuilder_Finish(HrTablesBuilder *builder, uint64_t revision)
{
    HrTables *tables = builder->tables;

    builder->tables = NULL;
    if (builder->status != HR_OK) {
        talloc_free(tables);
        return NULL;
    }
    tables->revision = revision;
    HrTables_Finalize(tables);
    return tables;
}
