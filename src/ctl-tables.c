#include "ctl-tables.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ctl-client.h"
#include "state-tables-json.h"

/* The largest accepted file. The tables occupy at most 1 MB in the store, and
 * less than 3 MB in a file, where servers are objects. */
#define FILE_MAX_BYTES ((size_t)4 * 1024 * 1024)

/* Fetches the tables from the first named daemon that answers; they are empty
 * if it has none yet. Returns NULL after printing an error. The tables belong
 * to parent. */
HrTables *
CtlTables_Fetch(const void *parent, const CtlOptions *options)
{
    static const HrTables no_tables;
    CtlReply *reply = CtlClient_SendUntilAnswered(parent, options, "GET",
                                                  "/v1/tables", NULL);
    HrTables *tables = NULL;
    HrError err = {0};

    if (reply == NULL) {
        return NULL;
    }
    if (reply->error.kind != HR_OK) {
        Ctl_PrintError("%s", reply->error.message);
    }
    else if (json_integer_value(json_object_get(reply->json, "revision")) ==
             0) {
        tables = HrTables_Copy(parent, &no_tables);
    }
    else {
        tables = HrTables_ParseJson(parent, reply->text, reply->text_bytes,
                                    reply->address, &err);
        if (tables == NULL) {
            Ctl_PrintError("%s", err.message);
        }
    }
    talloc_free(reply);
    return tables;
}

/* Reads a whole file, or standard input if path is "-", and sets *length to
 * its size in bytes. The text is not terminated and belongs to parent. Returns
 * NULL after printing an error. */
static char *
read_text(const void *parent, const char *path, size_t *length)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char *text;

    if (file == NULL) {
        Ctl_PrintError("%s: %s; name a file that you can read", path,
                       strerror(errno));
        return NULL;
    }
    text = talloc_array(parent, char, FILE_MAX_BYTES + 1);
    *length = fread(text, 1, FILE_MAX_BYTES + 1, file);
    if (file != stdin) {
        fclose(file);
    }
    if (*length > FILE_MAX_BYTES) {
        Ctl_PrintError("%s: more than %zu bytes; remove rows", path,
                       FILE_MAX_BYTES);
        talloc_free(text);
        return NULL;
    }
    return text;
}

/* Removes the fields other than the rows, which "get" prints or a daemon
 * returns, and adds a table that the file omits from current. */
static void
complete_tables(json_t *object, const HrTables *current)
{
    json_t *current_json = HrTables_ToJson(current, HR_TABLES_FORMAT_OPERATOR);

    json_object_del(object, "revision");
    json_object_del(object, "digest");
    json_object_del(object, "history");
    if (json_object_get(object, "routes") == NULL) {
        json_object_set(object, "routes",
                        json_object_get(current_json, "routes"));
    }
    if (json_object_get(object, "pools") == NULL) {
        json_object_set(object, "pools",
                        json_object_get(current_json, "pools"));
    }
    json_decref(current_json);
}

/* Reads a JSON file with one or both tables; "-" is standard input. A table
 * that the file omits is copied from current. Sets *revision to the revision
 * in the file, or to that of current if it has none. Returns NULL after
 * printing an error. The tables belong to parent. */
HrTables *
CtlTables_ReadFile(const void *parent, const char *path,
                   const HrTables *current, uint64_t *revision)
{
    HrTables *tables = NULL;
    HrError err = {0};
    json_error_t parse_error;
    json_t *object;
    size_t length = 0;
    char *text = read_text(parent, path, &length);

    if (text == NULL) {
        return NULL;
    }
    object = json_loadb(text, length, JSON_REJECT_DUPLICATES, &parse_error);
    talloc_free(text);
    if (!json_is_object(object)) {
        Ctl_PrintError("%s: line %d: %s; write an object with \"routes\" or "
                       "\"pools\"",
                       path, object == NULL ? parse_error.line : 1,
                       object == NULL ? parse_error.text
                                      : "this is not an object");
        json_decref(object);
        return NULL;
    }
    *revision = current->revision;
    if (json_is_integer(json_object_get(object, "revision"))) {
        *revision =
            (uint64_t)json_integer_value(json_object_get(object, "revision"));
    }
    complete_tables(object, current);
    text = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    tables = HrTables_ParseJson(parent, text, strlen(text), path, &err);
    free(text);
    if (tables == NULL) {
        Ctl_PrintError("%s", err.message);
    }
    return tables;
}
