#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ctl-rows.h"
#include "state-tables-fields.h"

#define SERVER_PREFIX "server."
#define LEAVING_SUFFIX ".leaving"

/* Returns the index of a server in an array of servers, or the size of the
 * array if it is absent. */
static size_t
find_server_index(json_t *servers, const char *name)
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

/* Sets "leaving" of a server to value, "true" or "false". Returns false after
 * printing an error. */
static bool
set_server_leaving(json_t *servers, const char *name, const char *value)
{
    size_t index = find_server_index(servers, name);
    bool leaving = strcmp(value, "true") == 0;

    if (index == json_array_size(servers)) {
        Ctl_PrintError("server \"%s\" is not in the pool; list its servers "
                       "with \"pools get\"",
                       name);
        return false;
    }
    if (!leaving && strcmp(value, "false") != 0) {
        Ctl_PrintError(
            "server \"%s\": field \"leaving\": \"%s\" has the wrong "
            "type; use true or false",
            name, value);
        return false;
    }
    json_object_set_new(json_array_get(servers, index), "leaving",
                        json_boolean(leaving));
    return true;
}

/* Adds or replaces a server with the value ADDRESS,DATA_CENTRE,GROUP, or
 * removes it if value is empty. Returns false after printing an error. */
static bool
set_server(json_t *servers, const char *name, const char *value)
{
    size_t index = find_server_index(servers, name);
    char *copy = talloc_strdup(NULL, value), *rest = NULL;
    const char *address = strtok_r(copy, ",", &rest);
    const char *data_centre = strtok_r(NULL, ",", &rest);
    const char *group = strtok_r(NULL, ",", &rest);
    bool ok = true;

    if (value[0] == '\0' && index < json_array_size(servers)) {
        json_array_remove(servers, index);
    }
    else if (group == NULL || strtok_r(NULL, ",", &rest) != NULL) {
        Ctl_PrintError(
            "server \"%s\": \"%s\" is not a server; use "
            "ADDRESS,DATA_CENTRE,GROUP, or an empty value to remove an "
            "existing server",
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
    talloc_free(copy);
    return ok;
}

/* Applies the assignment server.NAME=VALUE or server.NAME.leaving=VALUE to a
 * pool. name is what follows "server."; it is modified. Returns false after
 * printing an error. */
static bool
apply_server_assignment(json_t *row, char *name, const char *value)
{
    json_t *servers = json_object_get(row, "servers");
    size_t name_len = strlen(name), suffix_len = strlen(LEAVING_SUFFIX);

    if (name_len > suffix_len &&
        strcmp(name + name_len - suffix_len, LEAVING_SUFFIX) == 0) {
        name[name_len - suffix_len] = '\0';
        return set_server_leaving(servers, name, value);
    }
    return set_server(servers, name, value);
}

/* Sets a field of a row. A number or boolean that is not valid JSON is stored
 * as a string; the check of the edit then rejects it and names the expected
 * type. Returns false after printing an error if the field cannot be set. */
static bool
set_field(json_t *row, const HrFieldList *list, const char *name,
          const char *value)
{
    const HrField *field = HrFieldList_FindField(list, name);
    json_t *json = NULL;

    if (field == NULL || strcmp(name, "revision") == 0 ||
        strcmp(name, "name") == 0) {
        Ctl_PrintError(
            "%s: field \"%s\" cannot be set; see hickoryctl(1) for the "
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

/* Applies the assignment FIELD=VALUE to the JSON of a row. In a pool,
 * server.NAME=ADDRESS,DATA_CENTRE,GROUP adds or replaces a server, an empty
 * value removes it, and server.NAME.leaving=true or =false marks whether it is
 * leaving. Returns false after printing an error. */
bool
CtlAssign_ApplyToRow(json_t *row, HrTableKind table, const char *assignment)
{
    const char *separator = strchr(assignment, '=');
    char *name;
    bool ok;

    if (separator == NULL || separator == assignment) {
        Ctl_PrintError("\"%s\" is not an assignment; use FIELD=VALUE",
                       assignment);
        return false;
    }
    name = talloc_strndup(NULL, assignment, (size_t)(separator - assignment));
    if (table == HR_TABLE_POOLS &&
        strncmp(name, SERVER_PREFIX, strlen(SERVER_PREFIX)) == 0) {
        ok = apply_server_assignment(row, name + strlen(SERVER_PREFIX),
                                     separator + 1);
    }
    else {
        ok = set_field(
            row, table == HR_TABLE_ROUTES ? &hr_route_fields : &hr_pool_fields,
            name, separator + 1);
    }
    talloc_free(name);
    return ok;
}
