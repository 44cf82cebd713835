#include "ctl-tables.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ctl-client.h"
#include "state-tables-json.h"

/* The largest file that is read; the tables take at most 1 MB in the store
 * and less than 3 MB with servers as objects. */
#define FILE_MAX_BYTES ((size_t)4 * 1024 * 1024)

/* Reads the tables from the first daemon that answers. Returns NULL when an
 * error was printed. */
HrTables *
CtlTables_Fetch(const void *parent, const CtlOptions *options)
{
    static const HrTables no_tables;
    CtlReply *reply =
        CtlClient_AskFirst(parent, options, "GET", "/v1/tables", NULL);
    HrTables *tables = NULL;
    HrError err = {0};

    if (reply == NULL) {
        return NULL;
    }
    if (reply->error.kind != HR_OK) {
        Ctl_Error("%s", reply->error.message);
    }
    else if (json_integer_value(json_object_get(reply->json, "revision")) ==
             0) {
        tables = HrTables_Copy(parent, &no_tables);
    }
    else {
        tables = HrTables_FromJson(parent, reply->text, reply->text_bytes,
                                   reply->address, &err);
        if (tables == NULL) {
            Ctl_Error("%s", err.message);
        }
    }
    talloc_free(reply);
    return tables;
}

/* Reads a whole file. Returns NULL when an error was printed. */
static char *
read_text(const void *parent, const char *path, size_t *length)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char *text;

    if (file == NULL) {
        Ctl_Error("%s: %s; name a file that you can read", path,
                  strerror(errno));
        return NULL;
    }
    text = talloc_array(parent, char, FILE_MAX_BYTES + 1);
    *length = fread(text, 1, FILE_MAX_BYTES + 1, file);
    if (file != stdin) {
        fclose(file);
    }
    if (*length > FILE_MAX_BYTES) {
        Ctl_Error("%s: more than %zu bytes; remove rows", path,
                  FILE_MAX_BYTES);
        talloc_free(text);
        return NULL;
    }
    return text;
}

/* Removes what "get" prints besides the rows, and adds the table that the file
 * leaves out. */
static void
complete_file(json_t *object, const HrTables *current)
{
    json_t *held = HrTables_ToJson(current, HR_TABLES_FORMAT_OPERATOR);

    json_object_del(object, "revision");
    json_object_del(object, "digest");
    json_object_del(object, "history");
    if (json_object_get(object, "routes") == NULL) {
        json_object_set(object, "routes", json_object_get(held, "routes"));
    }
    if (json_object_get(object, "pools") == NULL) {
        json_object_set(object, "pools", json_object_get(held, "pools"));
    }
    json_decref(held);
}

/* Reads a file with one or both tables; a table that is left out is taken from
 * current. *revision is the one that the file names, or that of current.
 * Returns NULL when an error was printed. */
HrTables *
CtlTables_ReadFile(const void *parent, const char *path,
                   const HrTables *current, uint64_t *revision)
{
    HrTables *tables = NULL;
    HrError err = {0};
    json_error_t fault;
    json_t *object;
    size_t length = 0;
    char *text = read_text(parent, path, &length);

    if (text == NULL) {
        return NULL;
    }
    object = json_loadb(text, length, JSON_REJECT_DUPLICATES, &fault);
    talloc_free(text);
    if (!json_is_object(object)) {
        Ctl_Error("%s: line %d: %s; write an object with \"routes\" or "
                  "\"pools\"",
                  path, object == NULL ? fault.line : 1,
                  object == NULL ? fault.text : "this is no object");
        json_decref(object);
        return NULL;
    }
    *revision = current->revision;
    if (json_is_integer(json_object_get(object, "revision"))) {
        *revision =
            (uint64_t)json_integer_value(json_object_get(object, "revision"));
    }
    complete_file(object, current);
    text = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    tables = HrTables_FromJson(parent, text, strlen(text), path, &err);
    free(text);
    if (tables == NULL) {
        Ctl_Error("%s", err.message);
    }
    return tables;
}
