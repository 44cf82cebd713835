#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl-print.h"
#include "ctl-rows.h"
#include "state-tables-json.h"

/* Returns the JSON of the rows of a table by name, without revisions. */
json_t *
CtlRows_ToMap(const HrTables *tables, HrTableKind table)
{
    json_t *map = json_object();
    uint32_t count =
        table == HR_TABLE_ROUTES ? tables->route_count : tables->pool_count;
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_t *row =
            table == HR_TABLE_ROUTES
                ? HrRoute_ToJson(&tables->routes[i])
                : HrPool_ToJson(&tables->pools[i], HR_TABLES_FORMAT_OPERATOR);

        json_object_del(row, "revision");
        json_object_set_new(
            map, json_string_value(json_object_get(row, "name")), row);
    }
    return map;
}

/* Returns the JSON of servers by name. */
static json_t *
map_servers(json_t *servers)
{
    json_t *map = json_object();
    size_t i;

    for (i = 0; i < json_array_size(servers); i++) {
        json_t *server = json_array_get(servers, i);

        json_object_set(
            map, json_string_value(json_object_get(server, "name")), server);
    }
    return map;
}

/* Prints a value on one line. */
static void
print_value(json_t *value)
{
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

    printf("%s", text == NULL ? "-" : text);
    free(text);
}

/* Prints one changed field. */
static void
print_field(const char *indent, const char *key, json_t *before, json_t *after)
{
    printf("%s%s: ", indent, key);
    print_value(before);
    printf(" -> ");
    print_value(after);
    putchar('\n');
}

/* Prints how the servers of a pool change. */
static void
print_servers(json_t *before, json_t *after)
{
    json_t *old_map = map_servers(before), *new_map = map_servers(after);
    const char *key;
    json_t *value;

    json_object_foreach(old_map, key, value)
    {
        json_t *other = json_object_get(new_map, key);

        if (other == NULL) {
            printf("    - server %s\n", key);
        }
        else if (!json_equal(value, other)) {
            print_field("    ", key, value, other);
        }
    }
    json_object_foreach(new_map, key, value)
    {
        if (json_object_get(old_map, key) == NULL) {
            printf("    + server %s ", key);
            print_value(value);
            putchar('\n');
        }
    }
    json_decref(old_map);
    json_decref(new_map);
}

/* Prints the fields that differ. */
static void
print_fields(json_t *before, json_t *after)
{
    const char *key;
    json_t *value;

    json_object_foreach(after, key, value)
    {
        json_t *old_value = json_object_get(before, key);

        if (json_equal(old_value, value)) {
            continue;
        }
        if (strcmp(key, "servers") == 0) {
            print_servers(old_value, value);
        }
        else {
            print_field("    ", key, old_value, value);
        }
    }
}

/* Prints one row that differs; either side is NULL when it has no such row. */
static void
print_change(json_t *before, json_t *after, const char *name, const char *key)
{
    if (after == NULL) {
        printf("- %s %s\n", name, key);
    }
    else if (before == NULL) {
        printf("+ %s %s ", name, key);
        print_value(after);
        putchar('\n');
    }
    else {
        printf("~ %s %s\n", name, key);
        print_fields(before, after);
    }
}

/* Adds the rows that differ to a list, as {"name","old","new"}. */
static void
collect_changes(json_t *old_rows, json_t *new_rows, json_t *changes)
{
    const char *key;
    json_t *value;

    json_object_foreach(old_rows, key, value)
    {
        json_t *other = json_object_get(new_rows, key);

        if (other == NULL) {
            json_array_append_new(
                changes,
                json_pack("{s:s,s:O,s:n}", "name", key, "old", value, "new"));
        }
        else if (!json_equal(value, other)) {
            json_array_append_new(changes,
                                  json_pack("{s:s,s:O,s:O}", "name", key,
                                            "old", value, "new", other));
        }
    }
    json_object_foreach(new_rows, key, value)
    {
        if (json_object_get(old_rows, key) == NULL) {
            json_array_append_new(
                changes,
                json_pack("{s:s,s:n,s:O}", "name", key, "old", "new", value));
        }
    }
}

/* Returns a side of a change, NULL for none. */
static json_t *
get_side(json_t *change, const char *side)
{
    json_t *row = json_object_get(change, side);

    return json_is_null(row) ? NULL : row;
}

/* Prints how the rows of a table change from old to new, which are objects
 * from CtlRows_ToMap. Returns the number of rows that differ. */
uint32_t
CtlDiff_Print(json_t *old_rows, json_t *new_rows, const char *name,
              bool as_json)
{
    json_t *changes = json_array();
    uint32_t count, i;

    collect_changes(old_rows, new_rows, changes);
    count = (uint32_t)json_array_size(changes);
    if (as_json) {
        CtlPrint_Json(stdout, changes);
    }
    for (i = 0; i < count && !as_json; i++) {
        json_t *change = json_array_get(changes, i);

        print_change(get_side(change, "old"), get_side(change, "new"), name,
                     json_string_value(json_object_get(change, "name")));
    }
    json_decref(changes);
    return count;
}
