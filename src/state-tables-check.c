#include "state-tables-check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state-tables-fields.h"

#define LOCATION_BYTES 160

/* A server and the pool it belongs to. */
typedef struct ServerRef {
    const HrPool *pool;
    const HrServer *server;
} ServerRef;

/* Formats the prefix of error messages about a row, such as
 * 'edit: pool "search"'. */
static void
format_location(char *location, const char *source, const char *row,
                const char *name)
{
    snprintf(location, LOCATION_BYTES, "%.60s: %s \"%.63s\"", source, row,
             name == NULL ? "" : name);
}

/* Checks the fields of a route, and that its deadlines are consistent. */
static int
check_route(const HrRoute *route, const char *source, HrError *err)
{
    char location[LOCATION_BYTES];
    int rc;

    format_location(location, source, "route", route->name);
    rc = HrFieldList_CheckRow(&hr_route_fields, route, location, err);
    if (rc == HR_OK && route->default_deadline_ms > route->max_deadline_ms) {
        rc = HrError_Set(err, HR_ERR_RANGE,
                         "%s: field \"default_deadline_ms\": value %u exceeds "
                         "max_deadline_ms; use at most %u",
                         location, route->default_deadline_ms,
                         route->max_deadline_ms);
    }
    return rc;
}

/* Checks the fields of one server of a pool. */
static int
check_server(const HrPool *pool, const HrServer *server, const char *source,
             HrError *err)
{
    char location[LOCATION_BYTES + 80], pool_location[LOCATION_BYTES];

    format_location(pool_location, source, "pool", pool->name);
    snprintf(location, sizeof(location), "%s: server \"%.63s\"", pool_location,
             server->name == NULL ? "" : server->name);
    return HrFieldList_CheckRow(&hr_server_fields, server, location, err);
}

/* Checks the fields of a pool and its servers, and that a server accepts at
 * least as many connections as it has slots. */
static int
check_pool(const HrPool *pool, const char *source, HrError *err)
{
    char location[LOCATION_BYTES];
    uint32_t i;
    int rc;

    format_location(location, source, "pool", pool->name);
    rc = HrFieldList_CheckRow(&hr_pool_fields, pool, location, err);
    if (rc == HR_OK && pool->connections < pool->slots) {
        rc = HrError_Set(err, HR_ERR_RANGE,
                         "%s: field \"connections\": value %u is less than "
                         "slots; use at least %u",
                         location, pool->connections, pool->slots);
    }
    for (i = 0; i < pool->server_count && rc == HR_OK; i++) {
        rc = check_server(pool, &pool->servers[i], source, err);
    }
    return rc;
}

/* Checks the numbers of routes, pools and servers. */
static int
check_row_counts(const HrTables *tables, const char *source, HrError *err)
{
    uint64_t servers = 0;
    uint32_t i;

    for (i = 0; i < tables->pool_count; i++) {
        servers += tables->pools[i].server_count;
    }
    if (tables->route_count > HR_ROUTES_MAX) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%.60s: field \"routes\": %u rows; use at most %d",
                           source, tables->route_count, HR_ROUTES_MAX);
    }
    if (tables->pool_count > HR_POOLS_MAX) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%.60s: field \"pools\": %u rows; use at most %d",
                           source, tables->pool_count, HR_POOLS_MAX);
    }
    if (servers > HR_SERVERS_MAX) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%.60s: field \"servers\": %llu servers in all "
                           "pools; use at most %d",
                           source, (unsigned long long)servers,
                           HR_SERVERS_MAX);
    }
    return HR_OK;
}

/* Checks the fields of tombstones and edits, and the number of edits. */
static int
check_tombstones_and_edits(const HrTables *tables, const char *source,
                           HrError *err)
{
    char location[LOCATION_BYTES];
    uint32_t i;
    int rc = HR_OK;

    for (i = 0; i < tables->tombstone_count && rc == HR_OK; i++) {
        format_location(location, source, "tombstone",
                        tables->tombstones[i].name);
        rc = HrFieldList_CheckRow(&hr_tombstone_fields, &tables->tombstones[i],
                                  location, err);
    }
    if (tables->edit_count > HR_EDIT_HISTORY_MAX) {
        return HrError_Set(err, HR_ERR_TOO_LARGE,
                           "%.60s: field \"history\": %u entries; use at most "
                           "%d",
                           source, tables->edit_count, HR_EDIT_HISTORY_MAX);
    }
    for (i = 0; i < tables->edit_count && rc == HR_OK; i++) {
        format_location(location, source, "history entry",
                        tables->edits[i].edit_id);
        rc = HrFieldList_CheckRow(&hr_edit_record_fields, &tables->edits[i],
                                  location, err);
    }
    return rc;
}

/* Checks each row by itself, and the limits on the numbers of rows, but does
 * not compare rows with each other. Used for a delta, whose routes may name
 * pools that it does not include. */
int
HrTables_CheckRows(const HrTables *tables, const char *source, HrError *err)
{
    uint32_t i;
    int rc = check_row_counts(tables, source, err);

    for (i = 0; i < tables->route_count && rc == HR_OK; i++) {
        rc = check_route(&tables->routes[i], source, err);
    }
    for (i = 0; i < tables->pool_count && rc == HR_OK; i++) {
        rc = check_pool(&tables->pools[i], source, err);
    }
    return rc != HR_OK ? rc : check_tombstones_and_edits(tables, source, err);
}

/* Orders pointers to routes by kind, for qsort(). */
static int
compare_kinds(const void *left, const void *right)
{
    const HrRoute *a = *(const HrRoute *const *)left;
    const HrRoute *b = *(const HrRoute *const *)right;

    return strcmp(a->kind, b->kind);
}

/* Rejects two routes of the same kind. */
static int
check_duplicate_kinds(const HrTables *tables, const char *source, HrError *err)
{
    const HrRoute **routes;
    uint32_t i;
    int rc = HR_OK;

    routes = talloc_array(NULL, const HrRoute *, tables->route_count);
    if (routes == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    for (i = 0; i < tables->route_count; i++) {
        routes[i] = &tables->routes[i];
    }
    qsort(routes, tables->route_count, sizeof(const HrRoute *), compare_kinds);
    for (i = 1; i < tables->route_count && rc == HR_OK; i++) {
        if (strcmp(routes[i - 1]->kind, routes[i]->kind) == 0) {
            rc = HrError_Set(
                err, HR_ERR_DUPLICATE,
                "%.60s: routes \"%s\" and \"%s\": field \"kind\": "
                "both have \"%s\"; change or delete one",
                source, routes[i - 1]->name, routes[i]->name, routes[i]->kind);
        }
    }
    talloc_free(routes);
    return rc;
}

/* Rejects two routes or two pools of the same name, and routes to pools that
 * do not exist. Rows must be sorted by name. */
static int
check_row_names(const HrTables *tables, const char *source, HrError *err)
{
    uint32_t i;

    for (i = 1; i < tables->route_count; i++) {
        if (strcmp(tables->routes[i - 1].name, tables->routes[i].name) == 0) {
            return HrError_Set(err, HR_ERR_DUPLICATE,
                               "%.60s: field \"name\": two routes are named "
                               "\"%s\"; rename or remove one",
                               source, tables->routes[i].name);
        }
    }
    for (i = 1; i < tables->pool_count; i++) {
        if (strcmp(tables->pools[i - 1].name, tables->pools[i].name) == 0) {
            return HrError_Set(err, HR_ERR_DUPLICATE,
                               "%.60s: field \"name\": two pools are named "
                               "\"%s\"; rename or remove one",
                               source, tables->pools[i].name);
        }
    }
    for (i = 0; i < tables->route_count; i++) {
        const HrRoute *route = &tables->routes[i];

        if (HrTables_FindPool(tables, route->pool) == NULL) {
            return HrError_Set(err, HR_ERR_NOT_FOUND,
                               "%.60s: route \"%s\": field \"pool\": there is "
                               "no pool \"%s\"; set the pool in the same edit "
                               "or change the route",
                               source, route->name, route->pool);
        }
    }
    return HR_OK;
}

/* Orders servers by address, for qsort(). */
static int
compare_addresses(const void *left, const void *right)
{
    const ServerRef *a = left, *b = right;

    return strcmp(a->server->address, b->server->address);
}

/* Orders servers by pool and name, for qsort(). */
static int
compare_server_names(const void *left, const void *right)
{
    const ServerRef *a = left, *b = right;

    if (a->pool != b->pool) {
        return a->pool < b->pool ? -1 : 1;
    }
    return strcmp(a->server->name, b->server->name);
}

/* Fills refs with the servers of all pools and returns their number, which is
 * at most HR_SERVERS_MAX after check_row_counts(). */
static uint32_t
list_servers(const HrTables *tables, ServerRef *refs)
{
    uint32_t i, j, count = 0;

    for (i = 0; i < tables->pool_count; i++) {
        for (j = 0; j < tables->pools[i].server_count; j++) {
            refs[count].pool = &tables->pools[i];
            refs[count++].server = &tables->pools[i].servers[j];
        }
    }
    return count;
}

/* Rejects two servers of one pool with the same name, and two servers of any
 * pools with the same address. Slots are counted per pool, so a server in two
 * pools would get up to twice as many requests as it has slots. */
static int
check_duplicate_servers(ServerRef *refs, uint32_t count, const char *source,
                        HrError *err)
{
    uint32_t i;

    qsort(refs, count, sizeof(refs[0]), compare_server_names);
    for (i = 1; i < count; i++) {
        if (compare_server_names(&refs[i - 1], &refs[i]) == 0) {
            return HrError_Set(err, HR_ERR_DUPLICATE,
                               "%.60s: pool \"%s\": field \"name\": two "
                               "servers are named \"%s\"; rename one",
                               source, refs[i].pool->name,
                               refs[i].server->name);
        }
    }
    qsort(refs, count, sizeof(refs[0]), compare_addresses);
    for (i = 1; i < count; i++) {
        if (compare_addresses(&refs[i - 1], &refs[i]) == 0) {
            return HrError_Set(err, HR_ERR_DUPLICATE,
                               "%.60s: servers \"%s\" and \"%s\": field "
                               "\"address\": both have \"%s\"; change one",
                               source, refs[i - 1].server->name,
                               refs[i].server->name, refs[i].server->address);
        }
    }
    return HR_OK;
}

/* Rejects duplicate server names and addresses. */
static int
check_servers(const HrTables *tables, const char *source, HrError *err)
{
    ServerRef *refs = talloc_array(NULL, ServerRef, HR_SERVERS_MAX);
    int rc;

    if (refs == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    rc =
        check_duplicate_servers(refs, list_servers(tables, refs), source, err);
    talloc_free(refs);
    return rc;
}

/* Checks finalized tables: the fields of every row, the limits on rows,
 * duplicate row names, kinds, server names and addresses, and routes to pools
 * that do not exist. Error messages about a row or limit start with source,
 * the name of the file or sender. Returns 0, or the error kind after filling
 * err. */
int
HrTables_Check(const HrTables *tables, const char *source, HrError *err)
{
    int rc = HrTables_CheckRows(tables, source, err);

    if (rc == HR_OK) {
        rc = check_row_names(tables, source, err);
    }
    if (rc == HR_OK) {
        rc = check_duplicate_kinds(tables, source, err);
    }
    return rc != HR_OK ? rc : check_servers(tables, source, err);
}
