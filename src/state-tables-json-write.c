#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state-tables-fields.h"
#include "state-tables-json.h"

/* Returns one field of a row as a JSON value. */
static json_t *
build_field_value(const HrField *field, const void *row)
{
    const void *value = (const char *)row + field->offset;

    switch (field->type) {
    case HR_FIELD_U32:
        return json_integer(*(const uint32_t *)value);
    case HR_FIELD_U64:
    case HR_FIELD_TIME:
        return json_integer(*(const int64_t *)value);
    case HR_FIELD_REAL:
        return json_real(*(const double *)value);
    case HR_FIELD_BOOL:
        return json_boolean(*(const bool *)value);
    case HR_FIELD_CHOICE:
        return json_string(field->choices[*(const uint32_t *)value]);
    default:
        return json_string(HrField_GetString(field, row));
    }
}

/* Returns a row as a JSON object, or NULL when memory runs out for the object.
 * A field for which memory runs out is missing from it. */
static json_t *
build_row(const HrFieldList *list, const void *row)
{
    json_t *object = json_object();
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        json_object_set_new(object, list->fields[i].name,
                            build_field_value(&list->fields[i], row));
    }
    return object;
}

/* Returns a server as an array of its values in the order of hr_server_fields,
 * without the last one, "leaving", if it is false. */
static json_t *
build_server_tuple(const HrServer *server)
{
    uint32_t count = hr_server_fields.count - (server->leaving ? 0 : 1);
    json_t *array = json_array();
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_array_append_new(
            array, build_field_value(&hr_server_fields.fields[i], server));
    }
    return array;
}

/* Returns a route as a JSON object, or NULL when memory runs out. */
json_t *
HrRoute_ToJson(const HrRoute *route)
{
    return build_row(&hr_route_fields, route);
}

/* Returns a pool with its servers as a JSON object, or NULL when memory runs
 * out. */
json_t *
HrPool_ToJson(const HrPool *pool, HrTablesFormat format)
{
    json_t *object = build_row(&hr_pool_fields, pool);
    json_t *servers = json_array();
    uint32_t i;

    for (i = 0; i < pool->server_count; i++) {
        const HrServer *server = &pool->servers[i];

        json_array_append_new(servers,
                              format == HR_TABLES_FORMAT_STORE
                                  ? build_server_tuple(server)
                                  : build_row(&hr_server_fields, server));
    }
    json_object_set_new(object, "servers", servers);
    return object;
}

/* Returns a history entry as a JSON object, or NULL when memory runs out. */
json_t *
HrEditRecord_ToJson(const HrEditRecord *record)
{
    return build_row(&hr_edit_record_fields, record);
}

/* Returns routes as a JSON array. */
static json_t *
build_routes(const HrRoute *routes, uint32_t count)
{
    json_t *array = json_array();
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_array_append_new(array, HrRoute_ToJson(&routes[i]));
    }
    return array;
}

/* Returns pools as a JSON array. */
static json_t *
build_pools(const HrPool *pools, uint32_t count, HrTablesFormat format)
{
    json_t *array = json_array();
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_array_append_new(array, HrPool_ToJson(&pools[i], format));
    }
    return array;
}

/* Adds the history and, in the format for the store, the tombstones. */
static void
add_history(json_t *object, const HrTables *tables, HrTablesFormat format)
{
    json_t *history = json_array(), *tombstones;
    uint32_t i;

    for (i = 0; i < tables->edit_count; i++) {
        json_array_append_new(history, HrEditRecord_ToJson(&tables->edits[i]));
    }
    json_object_set_new(object, "history", history);
    if (format == HR_TABLES_FORMAT_OPERATOR) {
        return;
    }
    tombstones = json_array();
    for (i = 0; i < tables->tombstone_count; i++) {
        json_array_append_new(tombstones, build_row(&hr_tombstone_fields,
                                                    &tables->tombstones[i]));
    }
    json_object_set_new(object, "tombstones", tombstones);
}

/* Returns the JSON object of the tables, or NULL when memory runs out. */
json_t *
HrTables_ToJson(const HrTables *tables, HrTablesFormat format)
{
    char digest[17];
    json_t *object;

    snprintf(digest, sizeof(digest), "%016" PRIx64, tables->digest);
    object = json_pack("{s:I,s:s}", "revision", (json_int_t)tables->revision,
                       "digest", digest);
    if (object == NULL) {
        return NULL;
    }
    json_object_set_new(object, "routes",
                        build_routes(tables->routes, tables->route_count));
    json_object_set_new(
        object, "pools",
        build_pools(tables->pools, tables->pool_count, format));
    add_history(object, tables, format);
    return object;
}

/* Returns the tables as JSON text for the store, as a talloc child of parent,
 * or NULL when memory runs out. */
char *
HrTables_ToStoreText(const void *parent, const HrTables *tables)
{
    json_t *object = HrTables_ToJson(tables, HR_TABLES_FORMAT_STORE);
    char *text = json_dumps(object, JSON_COMPACT);
    char *copy = text == NULL ? NULL : talloc_strdup(parent, text);

    json_decref(object);
    free(text);
    return copy;
}

/* Returns names as a JSON array. */
static json_t *
build_names(const char *const *names, uint32_t count)
{
    json_t *array = json_array();
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_array_append_new(array, json_string(names[i]));
    }
    return array;
}

/* Returns the JSON object of an edit in the format that
 * HrTablesEdit_ParseJson() parses, or NULL when memory runs out. */
json_t *
HrTablesEdit_ToJson(const HrTablesEdit *edit)
{
    return json_pack(
        "{s:s,s:s,s:s,s:I,s:b,s:o,s:o,s:o,s:o}", "edit_id", edit->edit_id,
        "operator", edit->operator_name, "summary", edit->summary, "based_on",
        (json_int_t)edit->based_on, "replace", edit->replace, "set_routes",
        build_routes(edit->set_routes, edit->set_route_count), "set_pools",
        build_pools(edit->set_pools, edit->set_pool_count,
                    HR_TABLES_FORMAT_OPERATOR),
        "delete_routes",
        build_names(edit->delete_routes, edit->delete_route_count),
        "delete_pools",
        build_names(edit->delete_pools, edit->delete_pool_count));
}
