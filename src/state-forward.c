#include "state-forward.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Keeps rounding errors of a ratio such as 0.75 of 8 from adding a shard. */
#define RATIO_EPSILON 1e-9

/* Compares a route's host with the first length bytes of another, without
 * regard to case. */
static int
compare_host(const char *host, const char *other, size_t length)
{
    int order = strncasecmp(host, other, length);

    return order != 0 ? order : (host[length] != '\0');
}

/* Orders routes by host, and those of one host by falling prefix length. */
static int
compare_routes(const void *left, const void *right)
{
    const HrForwardRoute *a = left, *b = right;
    int order = strcasecmp(a->host, b->host);
    size_t a_length = strlen(a->prefix), b_length = strlen(b->prefix);

    if (order != 0) {
        return order;
    }
    return (a_length < b_length) - (a_length > b_length);
}

/* Validates one route. */
static int
check_route(const HrForwardTable *table, const HrForwardRoute *route,
            HrError *err)
{
    size_t length = strlen(route->prefix);
    double weight = 0;
    uint32_t i;

    if (length == 0 || route->prefix[0] != '/' ||
        route->prefix[length - 1] != '/') {
        return HrError_Set(
            err, HR_ERR_INVALID,
            "route %s: the prefix must begin and end with a slash",
            route->name);
    }
    if (route->target_count == 0 || route->max_attempts == 0) {
        return HrError_Set(
            err, HR_ERR_INVALID,
            "route %s: must name at least one service and allow "
            "at least one attempt",
            route->name);
    }
    for (i = 0; i < route->target_count; i++) {
        if (route->targets[i].service >= table->service_count) {
            return HrError_Set(
                err, HR_ERR_RANGE,
                "route %s: each target must name a service of the table",
                route->name);
        }
        weight += route->targets[i].weight;
    }
    if (route->kind == HR_FORWARD_SPLIT && !(weight > 0)) {
        return HrError_Set(err, HR_ERR_RANGE,
                           "route %s: at least one part must have a weight "
                           "above 0",
                           route->name);
    }
    if (route->kind == HR_FORWARD_SHARDS && !route->idempotent) {
        return HrError_Set(err, HR_ERR_INVALID,
                           "route %s: requests to several shards must be "
                           "idempotent",
                           route->name);
    }
    return HR_OK;
}

/* Validates a table and sorts its routes. */
int
HrForwardTable_ValidateAndSort(HrForwardTable *table, HrError *err)
{
    uint32_t i;

    for (i = 0; i < table->route_count; i++) {
        int rc = check_route(table, &table->routes[i], err);

        if (rc != HR_OK) {
            return rc;
        }
    }
    if (table->route_count > 0) {
        qsort(table->routes, table->route_count, sizeof(table->routes[0]),
              compare_routes);
    }
    return HR_OK;
}

/* Returns the index of the first route of a host, or of the next host if it
 * has none. */
static uint32_t
find_first_route(const HrForwardTable *table, const char *host, size_t length)
{
    uint32_t low = 0, high = table->route_count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (compare_host(table->routes[middle].host, host, length) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Returns the route with the longest matching prefix, or NULL. */
const HrForwardRoute *
HrForwardTable_FindRoute(const HrForwardTable *table, const char *host,
                         const char *target)
{
    size_t host_length = strcspn(host, ":");
    size_t path_length = strcspn(target, "?");
    uint32_t i;

    for (i = find_first_route(table, host, host_length);
         i < table->route_count &&
         compare_host(table->routes[i].host, host, host_length) == 0;
         i++) {
        size_t length = strlen(table->routes[i].prefix);

        if (length <= path_length &&
            memcmp(table->routes[i].prefix, target, length) == 0) {
            return &table->routes[i];
        }
    }
    return NULL;
}

/* Returns how many shards must answer for a success, at least 1. */
uint32_t
HrForwardRoute_GetRequiredShards(const HrForwardRoute *route)
{
    double needed =
        ceil(route->min_shard_ratio * route->target_count - RATIO_EPSILON);

    if (needed > route->target_count) {
        return route->target_count;
    }
    return needed < 1 ? 1 : (uint32_t)needed;
}
