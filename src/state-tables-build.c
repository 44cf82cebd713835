#include "state-tables-build.h"

#include <string.h>
#include <talloc.h>

#include "state-tables-fields.h"

/* Starts empty tables with room for so many rows. */
HrTablesBuilder
HrTablesBuilder_Start(const void *parent, uint32_t routes, uint32_t pools,
                      uint32_t tombstones, uint32_t edits)
{
    HrTablesBuilder builder = {.route_room = routes,
                               .pool_room = pools,
                               .tombstone_room = tombstones,
                               .edit_room = edits};
    HrTables *tables = talloc_zero(parent, HrTables);

    builder.tables = tables;
    if (tables == NULL) {
        builder.status = HR_ERR_NO_MEMORY;
        return builder;
    }
    builder.strings = HrStrings_Create(tables);
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

/* Returns true if a row fits; otherwise marks the builder as failed. */
static bool
has_room(HrTablesBuilder *builder, uint32_t used, uint32_t room)
{
    if (builder->status == HR_OK && used == room) {
        builder->status = HR_ERR_NO_MEMORY;
    }
    return builder->status == HR_OK;
}

/* Copies the strings of a row that was copied bitwise. */
static void
own_strings(HrTablesBuilder *builder, const HrFieldList *list, void *row)
{
    int rc = HrFieldList_CopyStrings(list, row, builder->strings);

    if (rc != HR_OK) {
        builder->status = rc;
    }
}

/* Copies a route. */
void
HrTablesBuilder_AddRoute(HrTablesBuilder *builder, const HrRoute *route,
                         uint64_t revision)
{
    HrTables *tables = builder->tables;
    HrRoute *copy;

    if (!has_room(builder, builder->status ? 0 : tables->route_count,
                  builder->route_room)) {
        return;
    }
    copy = &tables->routes[tables->route_count++];
    *copy = *route;
    copy->revision = revision;
    own_strings(builder, &hr_route_fields, copy);
}

/* Copies a pool with its servers. */
void
HrTablesBuilder_AddPool(HrTablesBuilder *builder, const HrPool *pool,
                        uint64_t revision)
{
    HrTables *tables = builder->tables;
    HrPool *copy;
    uint32_t i;

    if (!has_room(builder, builder->status ? 0 : tables->pool_count,
                  builder->pool_room)) {
        return;
    }
    copy = &tables->pools[tables->pool_count++];
    *copy = *pool;
    copy->revision = revision;
    own_strings(builder, &hr_pool_fields, copy);
    copy->servers = talloc_array(tables, HrServer, pool->server_count);
    if (copy->servers == NULL) {
        builder->status = HR_ERR_NO_MEMORY;
        return;
    }
    for (i = 0; i < pool->server_count; i++) {
        copy->servers[i] = pool->servers[i];
        own_strings(builder, &hr_server_fields, &copy->servers[i]);
    }
}

/* Copies a tombstone. */
void
HrTablesBuilder_AddTombstone(HrTablesBuilder *builder,
                             const HrTombstone *tombstone)
{
    HrTables *tables = builder->tables;
    HrTombstone *copy;

    if (!has_room(builder, builder->status ? 0 : tables->tombstone_count,
                  builder->tombstone_room)) {
        return;
    }
    copy = &tables->tombstones[tables->tombstone_count++];
    *copy = *tombstone;
    own_strings(builder, &hr_tombstone_fields, copy);
}

/* Copies an entry of the history. */
void
HrTablesBuilder_AddEdit(HrTablesBuilder *builder, const HrEditRecord *record)
{
    HrTables *tables = builder->tables;
    HrEditRecord *copy;

    if (!has_room(builder, builder->status ? 0 : tables->edit_count,
                  builder->edit_room)) {
        return;
    }
    copy = &tables->edits[tables->edit_count++];
    *copy = *record;
    own_strings(builder, &hr_edit_record_fields, copy);
}

/* Seals the tables at a revision and returns them, or frees them and returns
 * NULL when memory ran out. */
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
    HrTables_Seal(tables);
    return tables;
}
