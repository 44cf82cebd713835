#include "state-tables-json.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state-json-reader.h"
#include "state-tables-check.h"
#include "state-tables-fields.h"

/* Larger than the store's limit, because files and replies for operators have
 * servers as objects. */
#define INPUT_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define TOMBSTONES_MAX 16384

static const char *const tables_keys[] = {
    "revision", "digest", "routes", "pools", "tombstones", "history", NULL};
static const char *const pool_keys[] = {"servers", NULL};
static const char *const edit_keys[] = {
    "edit_id",   "operator",      "based_on",     "summary", "set_routes",
    "set_pools", "delete_routes", "delete_pools", "replace", NULL};

/* The fields of an edit other than rows and names of rows. The limit of
 * based_on is 2^53: JSON tools that read integers as doubles lose digits of
 * larger ones. */
static const HrField edit_fields[] = {
    {.name = "edit_id",
     .type = HR_FIELD_NAME,
     .offset = offsetof(HrTablesEdit, edit_id),
     .required = true,
     .minimum = 1,
     .maximum = 32},
    {.name = "operator",
     .type = HR_FIELD_NAME,
     .offset = offsetof(HrTablesEdit, operator_name),
     .required = true,
     .minimum = 1,
     .maximum = 32},
    {.name = "summary",
     .type = HR_FIELD_TEXT,
     .offset = offsetof(HrTablesEdit, summary),
     .required = true,
     .maximum = 96},
    {.name = "based_on",
     .type = HR_FIELD_U64,
     .offset = offsetof(HrTablesEdit, based_on),
     .required = true,
     .maximum = 9007199254740992.0},
    {.name = "replace",
     .type = HR_FIELD_BOOL,
     .offset = offsetof(HrTablesEdit, replace),
     .maximum = 1},
};
static const HrFieldList edit_field_list = {
    "edit", edit_fields, sizeof(edit_fields) / sizeof(edit_fields[0])};

/* Sets the reader's error after a failed allocation. */
static void
set_memory_error(HrJsonReader *reader)
{
    reader->status = HR_ERR_NO_MEMORY;
    HrError_Set(reader->err, HR_ERR_NO_MEMORY, "out of memory");
}

/* Returns a zeroed array of rows, or NULL after setting the reader's error. */
static void *
allocate_rows(HrJsonReader *reader, const void *parent, uint32_t count,
              size_t size)
{
    void *rows = talloc_zero_size(parent, count * size);

    if (rows == NULL) {
        set_memory_error(reader);
    }
    return rows;
}

/* Reads a server from an object or from an array of its values. */
static int
read_server(HrJsonReader *reader, json_t *value, HrServer *server)
{
    if (json_is_array(value)) {
        return HrJsonReader_ReadTuple(reader, value, &hr_server_fields,
                                      server);
    }
    HrJsonReader_CheckKeys(reader, value, NULL, &hr_server_fields);
    return HrJsonReader_ReadRow(reader, value, &hr_server_fields, server);
}

/* Reads the servers of a pool from its JSON object. array and index identify
 * the pool in messages, such as "pools[2]". */
static void
read_servers(HrJsonReader *reader, const void *parent, json_t *object,
             const char *array, size_t index, HrPool *pool)
{
    json_t *servers =
        HrJsonReader_GetArray(reader, object, "servers", HR_SERVERS_MAX);
    size_t i;

    if (servers == NULL) {
        HrJsonReader_RecordError(reader, HR_ERR_INVALID, "servers",
                                 "missing; add an array of servers");
        return;
    }
    pool->server_count = (uint32_t)json_array_size(servers);
    pool->servers =
        allocate_rows(reader, parent, pool->server_count, sizeof(HrServer));
    for (i = 0; i < pool->server_count && reader->status == HR_OK; i++) {
        HrJsonReader_SetLocation(reader, "%s[%zu].servers[%zu]", array, index,
                                 i);
        read_server(reader, json_array_get(servers, i), &pool->servers[i]);
    }
}

/* Reads the array of routes in a field of an object; it is optional. */
static void
read_routes(HrJsonReader *reader, const void *parent, json_t *object,
            const char *name, HrRoute **routes, uint32_t *count)
{
    json_t *array = HrJsonReader_GetArray(reader, object, name, HR_ROUTES_MAX);
    size_t i;

    *count = (uint32_t)json_array_size(array);
    *routes = allocate_rows(reader, parent, *count, sizeof(HrRoute));
    for (i = 0; i < *count && reader->status == HR_OK; i++) {
        json_t *row = json_array_get(array, i);

        HrJsonReader_SetLocation(reader, "%s[%zu]", name, i);
        HrJsonReader_CheckKeys(reader, row, NULL, &hr_route_fields);
        HrJsonReader_ReadRow(reader, row, &hr_route_fields, &(*routes)[i]);
    }
    HrJsonReader_SetLocation(reader, "%s", "");
}

/* Reads the array of pools in a field of an object; it is optional. */
static void
read_pools(HrJsonReader *reader, const void *parent, json_t *object,
           const char *name, HrPool **pools, uint32_t *count)
{
    json_t *array = HrJsonReader_GetArray(reader, object, name, HR_POOLS_MAX);
    size_t i;

    *count = (uint32_t)json_array_size(array);
    *pools = allocate_rows(reader, parent, *count, sizeof(HrPool));
    for (i = 0; i < *count && reader->status == HR_OK; i++) {
        json_t *row = json_array_get(array, i);

        HrJsonReader_SetLocation(reader, "%s[%zu]", name, i);
        HrJsonReader_CheckKeys(reader, row, pool_keys, &hr_pool_fields);
        HrJsonReader_ReadRow(reader, row, &hr_pool_fields, &(*pools)[i]);
        if (reader->status == HR_OK) {
            read_servers(reader, parent, row, name, i, &(*pools)[i]);
        }
    }
    HrJsonReader_SetLocation(reader, "%s", "");
}

/* Returns the rows of the array in a field of an object, which is optional.
 * The rows have only the fields in list. */
static void *
read_flat_rows(HrJsonReader *reader, const void *parent, json_t *object,
               const char *name, const HrFieldList *list, size_t size,
               size_t limit, uint32_t *count)
{
    json_t *array = HrJsonReader_GetArray(reader, object, name, limit);
    char *rows;
    size_t i;

    *count = (uint32_t)json_array_size(array);
    rows = allocate_rows(reader, parent, *count, size);
    for (i = 0; i < *count && reader->status == HR_OK; i++) {
        json_t *row = json_array_get(array, i);

        HrJsonReader_SetLocation(reader, "%s[%zu]", name, i);
        HrJsonReader_CheckKeys(reader, row, NULL, list);
        HrJsonReader_ReadRow(reader, row, list, rows + i * size);
    }
    HrJsonReader_SetLocation(reader, "%s", "");
    return rows;
}

/* Reads the revision and the digest, which must be given together. Returns
 * true if both are valid; false if both are missing, or after setting the
 * reader's error. */
static bool
read_revision(HrJsonReader *reader, json_t *object, HrTables *tables,
              uint64_t *digest)
{
    json_t *revision = json_object_get(object, "revision");
    const char *text = json_string_value(json_object_get(object, "digest"));
    char *end;

    if (revision == NULL && json_object_get(object, "digest") == NULL) {
        return false;
    }
    if (!json_is_integer(revision) || json_integer_value(revision) < 1) {
        HrJsonReader_RecordError(reader, HR_ERR_INVALID, "revision",
                                 "missing or not a positive integer; read the "
                                 "tables again");
        return false;
    }
    tables->revision = (uint64_t)json_integer_value(revision);
    if (text == NULL || strlen(text) != 16 ||
        strspn(text, "0123456789abcdef") != 16) {
        HrJsonReader_RecordError(
            reader, HR_ERR_INVALID, "digest",
            "missing or not 16 hexadecimal digits; read the "
            "tables again");
        return false;
    }
    *digest = strtoull(text, &end, 16);
    return true;
}

/* Reads routes, pools, tombstones and history. */
static void
read_rows(HrJsonReader *reader, json_t *object, HrTables *tables)
{
    read_routes(reader, tables, object, "routes", &tables->routes,
                &tables->route_count);
    read_pools(reader, tables, object, "pools", &tables->pools,
               &tables->pool_count);
    tables->tombstones = read_flat_rows(
        reader, tables, object, "tombstones", &hr_tombstone_fields,
        sizeof(HrTombstone), TOMBSTONES_MAX, &tables->tombstone_count);
    tables->edits = read_flat_rows(
        reader, tables, object, "history", &hr_edit_record_fields,
        sizeof(HrEditRecord), HR_EDIT_HISTORY_MAX, &tables->edit_count);
}

/* Rejects routes and pools with a higher revision than the tables. */
static void
check_revisions(HrJsonReader *reader, const HrTables *tables)
{
    uint64_t newest = 0;
    uint32_t i;

    for (i = 0; i < tables->route_count; i++) {
        newest = tables->routes[i].revision > newest
                     ? tables->routes[i].revision
                     : newest;
    }
    for (i = 0; i < tables->pool_count; i++) {
        newest = tables->pools[i].revision > newest ? tables->pools[i].revision
                                                    : newest;
    }
    if (newest > tables->revision) {
        HrJsonReader_RecordError(reader, HR_ERR_RANGE, "revision",
                                 "value %" PRIu64
                                 " of a row exceeds that of the "
                                 "tables, %" PRIu64 "; read the tables again",
                                 newest, tables->revision);
    }
}

/* Reads and checks the tables; tables must be empty. */
static void
read_tables(HrJsonReader *reader, json_t *object, HrTables *tables)
{
    uint64_t digest = 0;
    bool has_digest;

    HrJsonReader_CheckKeys(reader, object, tables_keys, NULL);
    has_digest = read_revision(reader, object, tables, &digest);
    read_rows(reader, object, tables);
    if (reader->status != HR_OK) {
        return;
    }
    HrTables_Finalize(tables);
    reader->status = HrTables_Check(tables, reader->source, reader->err);
    if (!has_digest) {
        return;
    }
    check_revisions(reader, tables);
    if (tables->digest != digest) {
        HrJsonReader_RecordError(reader, HR_ERR_INVALID, "digest",
                                 "value %016" PRIx64
                                 " does not match the rows; read "
                                 "the tables again",
                                 digest);
    }
}

/* Parses and checks tables with the keys revision, digest, routes, pools,
 * tombstones and history, all of which are optional; revision and digest must
 * be given together. Messages about the text start with source, the name of
 * the file or sender. Returns the tables as a talloc child of parent, or NULL
 * after filling err for invalid input, a digest that does not match, or lack
 * of memory. */
HrTables *
HrTables_ParseJson(const void *parent, const char *text, size_t length_bytes,
                   const char *source, HrError *err)
{
    HrJsonReader reader = {.source = source, .err = err};
    HrTables *tables = talloc_zero(parent, HrTables);
    json_t *object;

    reader.strings = tables == NULL ? NULL : HrStringArena_Create(tables);
    if (reader.strings == NULL) {
        talloc_free(tables);
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        return NULL;
    }
    object = HrJsonReader_Parse(&reader, text, length_bytes, INPUT_MAX_BYTES);
    if (object != NULL) {
        read_tables(&reader, object, tables);
        json_decref(object);
    }
    if (reader.status != HR_OK) {
        talloc_free(tables);
        return NULL;
    }
    return tables;
}

/* Returns the strings of the array in a field of an object, which is
 * optional. */
static const char **
read_names(HrJsonReader *reader, const void *parent, json_t *object,
           const char *field, size_t limit, uint32_t *count)
{
    json_t *array = HrJsonReader_GetArray(reader, object, field, limit);
    const char **names;
    size_t i;

    *count = (uint32_t)json_array_size(array);
    names = allocate_rows(reader, parent, *count, sizeof(char *));
    for (i = 0; i < *count && reader->status == HR_OK; i++) {
        json_t *value = json_array_get(array, i);

        if (!json_is_string(value)) {
            HrJsonReader_RecordError(
                reader, HR_ERR_INVALID, field,
                "element %zu has the wrong type; use a string", i);
            break;
        }
        names[i] =
            HrStringArena_CopyString(reader->strings, json_string_value(value),
                                     json_string_length(value));
        if (names[i] == NULL) {
            set_memory_error(reader);
        }
    }
    return names;
}

/* Reads all fields of an edit; edit must be zeroed. */
static void
read_edit(HrJsonReader *reader, json_t *object, HrTablesEdit *edit)
{
    HrJsonReader_CheckKeys(reader, object, edit_keys, NULL);
    HrJsonReader_SetLocation(reader, "edit");
    HrJsonReader_ReadRow(reader, object, &edit_field_list, edit);
    read_routes(reader, edit, object, "set_routes", &edit->set_routes,
                &edit->set_route_count);
    read_pools(reader, edit, object, "set_pools", &edit->set_pools,
               &edit->set_pool_count);
    edit->delete_routes = read_names(reader, edit, object, "delete_routes",
                                     HR_ROUTES_MAX, &edit->delete_route_count);
    edit->delete_pools = read_names(reader, edit, object, "delete_pools",
                                    HR_POOLS_MAX, &edit->delete_pool_count);
}

/* Parses an edit with the keys edit_id, operator, based_on, summary and
 * optionally set_routes, set_pools, delete_routes, delete_pools and replace.
 * Checks the fields of each row; HrTablesEdit_Apply() checks the rest. Returns
 * the edit as a talloc child of parent, or NULL after filling err. */
HrTablesEdit *
HrTablesEdit_ParseJson(const void *parent, const char *text,
                       size_t length_bytes, const char *source, HrError *err)
{
    HrJsonReader reader = {.source = source, .err = err};
    HrTablesEdit *edit = talloc_zero(parent, HrTablesEdit);
    json_t *object;

    reader.strings = edit == NULL ? NULL : HrStringArena_Create(edit);
    if (reader.strings == NULL) {
        talloc_free(edit);
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        return NULL;
    }
    object = HrJsonReader_Parse(&reader, text, length_bytes, INPUT_MAX_BYTES);
    if (object != NULL) {
        read_edit(&reader, object, edit);
        json_decref(object);
    }
    if (reader.status != HR_OK) {
        talloc_free(edit);
        return NULL;
    }
    return edit;
}
