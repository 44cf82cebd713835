#include "ctl-print.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ctl-client.h"
#include "ctl-targets.h"

#define COLUMNS_MAX 64

/* A table that is laid out before it is printed. */
typedef struct Table {
    const char *columns[COLUMNS_MAX];
    int widths[COLUMNS_MAX];
    uint32_t column_count;
} Table;

/* Replaces control characters. */
static void
clean_text(char *text)
{
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text < 0x20 || *text == 0x7f) {
            *text = '?';
        }
    }
}

/* Returns a value as text: strings as they are, others as JSON. */
static char *
format_value(const void *parent, json_t *value)
{
    char *json, *text;

    if (value == NULL || json_is_null(value)) {
        return talloc_strdup(parent, "-");
    }
    if (json_is_string(value)) {
        text = talloc_strdup(parent, json_string_value(value));
    }
    else if (json_is_real(value)) {
        text = talloc_asprintf(parent, "%.6g", json_real_value(value));
    }
    else {
        json = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
        text = talloc_strdup(parent, json == NULL ? "" : json);
        free(json);
    }
    clean_text(text);
    return text;
}

/* Returns the index of a column, which is added when it is new. */
static uint32_t
find_column(Table *table, const char *name)
{
    uint32_t i;

    for (i = 0; i < table->column_count; i++) {
        if (strcmp(table->columns[i], name) == 0) {
            return i;
        }
    }
    if (table->column_count == COLUMNS_MAX) {
        return COLUMNS_MAX;
    }
    table->columns[table->column_count] = name;
    table->widths[table->column_count] = (int)strlen(name);
    return table->column_count++;
}

/* Finds the columns and their widths. */
static Table
lay_out(json_t *rows)
{
    void *memory = talloc_new(NULL);
    Table table = {.column_count = 0};
    size_t i;

    for (i = 0; i < json_array_size(rows); i++) {
        const char *key;
        json_t *value;

        json_object_foreach(json_array_get(rows, i), key, value)
        {
            uint32_t column = find_column(&table, key);
            int width = (int)strlen(format_value(memory, value));

            if (column < COLUMNS_MAX && width > table.widths[column]) {
                table.widths[column] = width;
            }
        }
    }
    talloc_free(memory);
    return table;
}

/* Prints one line; the last column is not padded. */
static void
print_row(FILE *out, const Table *table, json_t *row)
{
    void *memory = talloc_new(NULL);
    uint32_t i;

    for (i = 0; i < table->column_count; i++) {
        const char *text =
            row == NULL ? table->columns[i]
                        : format_value(
                              memory, json_object_get(row, table->columns[i]));

        fprintf(out, "%s%-*s", i == 0 ? "" : "  ",
                i + 1 == table->column_count ? 0 : table->widths[i], text);
    }
    fputc('\n', out);
    talloc_free(memory);
}

/* Prints an array of objects as a table; columns are in the order in which
 * fields first appear. */
void
CtlPrint_Table(FILE *out, json_t *rows)
{
    Table table = lay_out(rows);
    size_t i;

    if (table.column_count == 0) {
        fprintf(out, "(none)\n");
        return;
    }
    print_row(out, &table, NULL);
    for (i = 0; i < json_array_size(rows); i++) {
        print_row(out, &table, json_array_get(rows, i));
    }
}

/* Returns true for an array of objects. */
static bool
is_table(json_t *value)
{
    return json_is_array(value) && (json_array_size(value) == 0 ||
                                    json_is_object(json_array_get(value, 0)));
}

/* Prints the fields of an object that are no tables. Fields of inner objects
 * are printed as "outer.inner". */
static void
print_scalars(FILE *out, json_t *object, const char *prefix)
{
    void *memory = talloc_new(NULL);
    const char *key;
    json_t *value;

    json_object_foreach(object, key, value)
    {
        char *name = talloc_asprintf(memory, "%s%s", prefix, key);

        clean_text(name);
        if (json_is_object(value)) {
            print_scalars(out, value, talloc_asprintf(memory, "%s.", name));
        }
        else if (!is_table(value)) {
            fprintf(out, "%s: %s\n", name, format_value(memory, value));
        }
    }
    talloc_free(memory);
}

/* Prints a JSON object for people: scalars as "key: value", arrays of objects
 * as tables. Control characters are replaced, because the text comes from the
 * network. */
void
CtlPrint_Object(FILE *out, json_t *object)
{
    const char *key;
    json_t *value;

    print_scalars(out, object, "");
    json_object_foreach(object, key, value)
    {
        if (is_table(value)) {
            char *name = talloc_strdup(NULL, key);

            clean_text(name);
            fprintf(out, "%s:\n", name);
            talloc_free(name);
            CtlPrint_Table(out, value);
        }
    }
}

/* Prints JSON on one line per value. */
void
CtlPrint_Json(FILE *out, json_t *value)
{
    json_dumpf(value, out, JSON_INDENT(2) | JSON_ENCODE_ANY);
    fputc('\n', out);
}

/* Prints one reply for people. */
static void
print_reply(const CtlReply *reply, uint32_t count)
{
    if (count > 1) {
        printf("daemon %s\n", reply->address);
    }
    CtlPrint_Object(stdout, reply->json);
    if (count > 1) {
        putchar('\n');
    }
}

/* Prints the replies as JSON: that of one daemon as it is, those of several in
 * an object with the addresses as names. */
static void
print_json_replies(CtlReply *replies, uint32_t count)
{
    json_t *all;
    uint32_t i;

    if (count == 1) {
        if (replies[0].error.kind == HR_OK) {
            CtlPrint_Json(stdout, replies[0].json);
        }
        return;
    }
    all = json_object();
    for (i = 0; i < count; i++) {
        if (replies[i].error.kind == HR_OK) {
            json_object_set(all, replies[i].address, replies[i].json);
        }
    }
    CtlPrint_Json(stdout, all);
    json_decref(all);
}

/* Prints the replies of several daemons, and errors of those that did not
 * answer. Returns the exit status. */
static int
print_replies(const CtlOptions *options, CtlReply *replies, uint32_t count)
{
    uint32_t failed = 0, i;

    if (options->json) {
        print_json_replies(replies, count);
    }
    for (i = 0; i < count; i++) {
        if (replies[i].error.kind != HR_OK) {
            failed++;
        }
        else if (!options->json) {
            print_reply(&replies[i], count);
        }
    }
    fflush(stdout);
    for (i = 0; i < count; i++) {
        if (replies[i].error.kind != HR_OK) {
            Ctl_Error("%s", replies[i].error.message);
        }
    }
    if (failed == 0) {
        return CTL_EXIT_DONE;
    }
    return failed == count ? CTL_EXIT_FAILED : CTL_EXIT_UNREACHABLE;
}

/* Asks the named daemons, or with --all every member, and prints the answers
 * and the errors of those that did not answer. Returns the exit status. */
int
CtlPrint_Ask(const CtlOptions *options, const char *path)
{
    void *memory = talloc_new(NULL);
    CtlTargets *targets = CtlTargets_Find(memory, options, options->all);
    int status = CTL_EXIT_FAILED;

    if (targets != NULL) {
        CtlReply *replies = CtlClient_Ask(memory, options, "GET", path, NULL,
                                          targets->addresses, targets->count);

        status = print_replies(options, replies, targets->count);
        status = CtlTargets_ReportUnknown(targets, status);
    }
    talloc_free(memory);
    return status;
}
