#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state-tables-fields.h"
#include "state-tables-json.h"

/* Returns the JSON value of one field of a row. */
static json_t *
write_field(const HrField *field, const void *row)
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
        return json_string(HrField_String(field, row));
    }
}

/* Returns the object of a row. */
static json_t *
write_row(const HrFieldList *list, const void *row)
{
    json_t *object = json_object();
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        json_object_set_new(object, list->fields[i].name,
                            write_field(&list->fields[i], row));
    }
    return object;
}

/* Returns the compact form of a server: its values in order, "leaving" only
 * when it is true. */
static json_t *
write_server_tuple(const HrServer *server)
{
    uint32_t count = hr_server_fields.count - (server->leaving ? 0 : 1);
    json_t *array = json_array();
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_array_append_new(
            array, write_field(&hr_server_fields.fields[i], server));
    }
    return array;
}

/* Returns the JSON object of a route. */
json_t *
HrRoute_ToJson(const HrRoute *route)
{
    return write_row(&hr_route_fields, route);
}

/* Returns the JSON object of a pool with its servers. */
json_t *
HrPool_ToJson(const HrPool *pool, HrTablesForm form)
{
    json_t *object = write_row(&hr_pool_fields, pool);
    json_t *servers = json_array();
    uint32_t i;

    for (i = 0; i < pool->server_count; i++) {
        const HrServer *server = &pool->servers[i];

        json_array_append_new(servers,
                              form == HR_TABLES_FORM_STORE
                                  ? write_server_tuple(server)
                                  : write_row(&hr_server_fields, server));
    }
    json_object_set_new(object, "servers", servers);
    return object;
}

/* Returns the JSON object of a history entry. */
json_t *
HrEditRecord_ToJson(const HrEditRecord *record)
{
    return write_row(&hr_edit_record_fields, record);
}

/* Returns the array of routes. */
static json_t *
write_routes(const HrRoute *routes, uint32_t count)
{
    json_t *array = json_array();
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_array_append_new(array, HrRoute_ToJson(&routes[i]));
    }
    return array;
}

/* Returns the array of pools. */
static json_t *
write_pools(const HrPool *pools, uint32_t count, HrTablesForm form)
{
    json_t *array = json_array();
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_array_append_new(array, HrPool_ToJson(&pools[i], form));
    }
    return array;
}

/* Adds the history and, in the store's form, the tombstones. */
static void
write_past(json_t *object, const HrTables *tables, HrTablesForm form)
{
    json_t *history = json_array(), *tombstones;
    uint32_t i;

    for (i = 0; i < tables->edit_count; i++) {
        json_array_append_new(history, HrEditRecord_ToJson(&tables->edits[i]));
    }
    json_object_set_new(object, "history", history);
    if (form == HR_TABLES_FORM_OPERATOR) {
        return;
    }
    tombstones = json_array();
    for (i = 0; i < tables->tombstone_count; i++) {
        json_array_append_new(tombstones, write_row(&hr_tombstone_fields,
                                                    &tables->tombstones[i]));
    }
    json_object_set_new(object, "tombstones", tombstones);
}

/* Returns the JSON object of the tables, or NULL when memory runs out. */
json_t *
HrTables_ToJson(const HrTables *tables, HrTablesForm form)
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
                        write_routes(tables->routes, tables->route_count));
    json_object_set_new(object, "pools",
                        write_pools(tables->pools, tables->pool_count, form));
    write_past(object, tables, form);
    return object;
}

/* Returns the text of the store value as a talloc child of parent, or NULL
 * when memory runs out. */
char *
HrTables_ToStoreText(const void *parent, const HrTables *tables)
{
    json_t *object = HrTables_ToJson(tables, HR_TABLES_FORM_STORE);
    char *text = json_dumps(object, JSON_COMPACT);
    char *copy = text == NULL ? NULL : talloc_strdup(parent, text);

    json_decref(object);
    free(text);
    return copy;
}

/* Returns the array of names. */
static json_t *
write_names(const char *const *names, uint32_t count)
{
    json_t *array = json_array();
    uint32_t i;

    for (i = 0; i < count; i++) {
        json_array_append_new(array, json_string(names[i]));
    }
    return array;
}

/* Returns the JSON object of an edit, as HrTablesEdit_FromJson() reads it. */
json_t *
HrTablesEdit_ToJson(const HrTablesEdit *edit)
{
    return json_pack(
        "{s:s,s:s,s:s,s:I,s:b,s:o,s:o,s:o,s:o}", "edit_id", edit->edit_id,
        "operator", edit->operator_name, "summary", edit->summary, "based_on",
        (json_int_t)edit->based_on, "replace", edit->replace, "set_routes",
        write_routes(edit->set_routes, edit->set_route_count), "set_pools",
        write_pools(edit->set_pools, edit->set_pool_count,
                    HR_TABLES_FORM_OPERATOR),
        "delete_routes",
        write_names(edit->delete_routes, edit->delete_route_count),
        "delete_pools",
        write_names(edit->delete_pools, edit->delete_pool_count));
}
