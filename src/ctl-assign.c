#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ctl-rows.h"
#include "state-tables-fields.h"

#define SERVER_PREFIX "server."
#define LEAVING_SUFFIX ".leaving"

/* Returns the index of a server in an array, or the size of the array. */
static size_t
find_server(json_t *servers, const char *name)
{
    size_t i;

    for (i = 0; i < json_array_size(servers); i++) {
        const char *found = json_string_value(
            json_object_get(json_array_get(servers, i), "name"));

        if (found != NULL && strcmp(found, name) == 0) {
            break;
        }
    }
    return i;
}

/* Sets server.NAME.leaving. */
static bool
mark_server(json_t *servers, const char *name, const char *value)
{
    size_t index = find_server(servers, name);
    bool leaving = strcmp(value, "true") == 0;

    if (index == json_array_size(servers)) {
        Ctl_Error("server \"%s\" is not in the pool; look at \"pools get\"",
                  name);
        return false;
    }
    if (!leaving && strcmp(value, "false") != 0) {
        Ctl_Error("server \"%s\": field \"leaving\": \"%s\" has the wrong "
                  "type; use true or false",
                  name, value);
        return false;
    }
    json_object_set_new(json_array_get(servers, index), "leaving",
                        json_boolean(leaving));
    return true;
}

/* Sets or removes server.NAME. */
static bool
set_server(json_t *servers, const char *name, const char *value)
{
    size_t index = find_server(servers, name);
    char *memory = talloc_strdup(NULL, value), *rest = NULL;
    const char *address = strtok_r(memory, ",", &rest);
    const char *data_centre = strtok_r(NULL, ",", &rest);
    const char *group = strtok_r(NULL, ",", &rest);
    bool ok = true;

    if (value[0] == '\0' && index < json_array_size(servers)) {
        json_array_remove(servers, index);
    }
    else if (group == NULL || strtok_r(NULL, ",", &rest) != NULL) {
        Ctl_Error("server \"%s\": \"%s\" is no server; use "
                  "ADDRESS,DATA_CENTRE,GROUP, or nothing to remove one that "
                  "exists",
                  name, value);
        ok = false;
    }
    else {
        json_t *server =
            json_pack("{s:s,s:s,s:s,s:s}", "name", name, "address", address,
                      "data_centre", data_centre, "group", group);

        if (index < json_array_size(servers)) {
            json_array_set_new(servers, index, server);
        }
        else {
            json_array_append_new(servers, server);
        }
    }
    talloc_free(memory);
    return ok;
}

/* Applies an assignment to a server of a pool. */
static bool
assign_server(json_t *row, char *name, const char *value)
{
    json_t *servers = json_object_get(row, "servers");
    size_t length = strlen(name), suffix = strlen(LEAVING_SUFFIX);

    if (length > suffix &&
        strcmp(name + length - suffix, LEAVING_SUFFIX) == 0) {
        name[length - suffix] = '\0';
        return mark_server(servers, name, value);
    }
    return set_server(servers, name, value);
}

/* Applies an assignment to a field. A value that does not fit its type is
 * kept as a string, which the check of the row refuses with the right type. */
static bool
assign_field(json_t *row, const HrFieldList *list, const char *name,
             const char *value)
{
    const HrField *field = HrFieldList_FindField(list, name);
    json_t *json = NULL;

    if (field == NULL || strcmp(name, "revision") == 0 ||
        strcmp(name, "name") == 0) {
        Ctl_Error("%s: field \"%s\" cannot be set; see hickoryctl(1) for the "
                  "fields",
                  list->row, name);
        return false;
    }
    if (!HrField_IsString(field) && field->type != HR_FIELD_CHOICE) {
        json = json_loads(value, JSON_DECODE_ANY, NULL);
    }
    json_object_set_new(row, name, json == NULL ? json_string(value) : json);
    return true;
}

/* Applies FIELD=VALUE to the JSON of a row. Servers of a pool are set with
 * server.NAME=ADDRESS,DATA_CENTRE,GROUP, removed with an empty value, and
 * marked with server.NAME.leaving=true. Returns false when an error was
 * printed. */
bool
CtlAssign_Apply(json_t *row, HrTableKind table, const char *assignment)
{
    const char *equals = strchr(assignment, '=');
    char *name;
    bool ok;

    if (equals == NULL || equals == assignment) {
        Ctl_Error("\"%s\" is no assignment; use FIELD=VALUE", assignment);
        return false;
    }
    name = talloc_strndup(NULL, assignment, (size_t)(equals - assignment));
    if (table == HR_TABLE_POOLS &&
        strncmp(name, SERVER_PREFIX, strlen(SERVER_PREFIX)) == 0) {
        ok = assign_server(row, name + strlen(SERVER_PREFIX), equals + 1);
    }
    else {
        ok = assign_field(
            row, table == HR_TABLE_ROUTES ? &hr_route_fields : &hr_pool_fields,
            name, equals + 1);
    }
    talloc_free(name);
    return ok;
}
