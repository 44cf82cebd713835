#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl-print.h"
#include "ctl-rows.h"
#include "state-tables-json.h"

/* Returns a JSON object that maps the name of each row of a table to its JSON
 * without the revision. The caller frees it. */
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

/* Returns a JSON object that maps the name of each server in an array to the
 * server. The caller frees it. */
static json_t *
map_servers_by_name(json_t *servers)
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

/* Prints a JSON value on one line, "-" if there is none. */
static void
print_json_line(json_t *value)
{
    char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

    printf("%s", text == NULL ? "-" : text);
    free(text);
}

/* Prints the old and the new value of a field or server on one line. */
static void
print_value_change(const char *indent, const char *key, json_t *before,
                   json_t *after)
{
    printf("%s%s: ", indent, key);
    print_json_line(before);
    printf(" -> ");
    print_json_line(after);
    putchar('\n');
}

/* Prints the removed, changed and added servers of a pool. */
static void
print_server_changes(json_t *before, json_t *after)
{
    json_t *old_map = map_servers_by_name(before),
           *new_map = map_servers_by_name(after);
    const char *key;
    json_t *value;

    json_object_foreach(old_map, key, value)
    {
        json_t *new_value = json_object_get(new_map, key);

        if (new_value == NULL) {
            printf("    - server %s\n", key);
        }
        else if (!json_equal(value, new_value)) {
            print_value_change("    ", key, value, new_value);
        }
    }
    json_object_foreach(new_map, key, value)
    {
        if (json_object_get(old_map, key) == NULL) {
            printf("    + server %s ", key);
            print_json_line(value);
            putchar('\n');
        }
    }
    json_decref(old_map);
    json_decref(new_map);
}

/* Prints the fields of a row that differ. */
static void
print_field_changes(json_t *before, json_t *after)
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
            print_server_changes(old_value, value);
        }
        else {
            print_value_change("    ", key, old_value, value);
        }
    }
}

/* Prints one row that differs. before is NULL for an added row, after for a
 * deleted one. */
static void
print_row_change(json_t *before, json_t *after, const char *name,
                 const char *key)
{
    if (after == NULL) {
        printf("- %s %s\n", name, key);
    }
    else if (before == NULL) {
        printf("+ %s %s ", name, key);
        print_json_line(after);
        putchar('\n');
    }
    else {
        printf("~ %s %s\n", name, key);
        print_field_changes(before, after);
    }
}

/* Appends each row that differs to an array, as {"name", "old", "new"}. "old"
 * is null for an added row, "new" for a deleted one. */
static void
append_changes(json_t *old_rows, json_t *new_rows, json_t *changes)
{
    const char *key;
    json_t *value;

    json_object_foreach(old_rows, key, value)
    {
        json_t *new_row = json_object_get(new_rows, key);

        if (new_row == NULL) {
            json_array_append_new(
                changes,
                json_pack("{s:s,s:O,s:n}", "name", key, "old", value, "new"));
        }
        else if (!json_equal(value, new_row)) {
            json_array_append_new(changes,
                                  json_pack("{s:s,s:O,s:O}", "name", key,
                                            "old", value, "new", new_row));
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

/* Returns the row of a change under the key "old" or "new", NULL if there is
 * none. */
static json_t *
get_row_of_change(json_t *change, const char *side)
{
    json_t *row = json_object_get(change, side);

    return json_is_null(row) ? NULL : row;
}

/* Prints how the rows of a table change from old_rows to new_rows, which are
 * objects from CtlRows_ToMap. name is the word for a row, "route" or "pool".
 * Returns the number of rows that differ. */
uint32_t
CtlDiff_PrintChanges(json_t *old_rows, json_t *new_rows, const char *name,
                     bool as_json)
{
    json_t *changes = json_array();
    uint32_t count, i;

    append_changes(old_rows, new_rows, changes);
    count = (uint32_t)json_array_size(changes);
    if (as_json) {
        CtlPrint_Json(stdout, changes);
    }
    for (i = 0; i < count && !as_json; i++) {
        json_t *change = json_array_get(changes, i);

        print_row_change(get_row_of_change(change, "old"),
                         get_row_of_change(change, "new"), name,
                         json_string_value(json_object_get(change, "name")));
    }
    json_decref(changes);
    return count;
}
