#include "ctl-print.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ctl-client.h"
#include "ctl-targets.h"

#define COLUMNS_MAX 64

/* The columns of a table and their widths in bytes. */
typedef struct TableLayout {
    const char *columns[COLUMNS_MAX];
    int widths[COLUMNS_MAX];
    uint32_t column_count;
} TableLayout;

/* Replaces control characters by "?", because the text comes from the network
 * and could otherwise control the terminal. */
static void
replace_control_chars(char *text)
{
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text < 0x20 || *text == 0x7f) {
            *text = '?';
        }
    }
}

/* Returns a value as text without control characters: "-" for null or none,
 * strings without quotes, real numbers with up to 6 digits, others as compact
 * JSON. The text belongs to parent. */
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
    replace_control_chars(text);
    return text;
}

/* Returns the index of a column, which is added if it is new, or COLUMNS_MAX
 * if there is no room for it. */
static uint32_t
find_or_add_column(TableLayout *layout, const char *name)
{
    uint32_t i;

    for (i = 0; i < layout->column_count; i++) {
        if (strcmp(layout->columns[i], name) == 0) {
            return i;
        }
    }
    if (layout->column_count == COLUMNS_MAX) {
        return COLUMNS_MAX;
    }
    layout->columns[layout->column_count] = name;
    layout->widths[layout->column_count] = (int)strlen(name);
    return layout->column_count++;
}

/* Returns the columns of an array of objects and their widths. Fields beyond
 * COLUMNS_MAX are left out. */
static TableLayout
compute_layout(json_t *rows)
{
    void *scratch = talloc_new(NULL);
    TableLayout layout = {.column_count = 0};
    size_t i;

    for (i = 0; i < json_array_size(rows); i++) {
        const char *key;
        json_t *value;

        json_object_foreach(json_array_get(rows, i), key, value)
        {
            uint32_t column = find_or_add_column(&layout, key);
            int width = (int)strlen(format_value(scratch, value));

            if (column < COLUMNS_MAX && width > layout.widths[column]) {
                layout.widths[column] = width;
            }
        }
    }
    talloc_free(scratch);
    return layout;
}

/* Prints a row, or the heading if row is NULL. The last column is not
 * padded. */
static void
print_row(FILE *out, const TableLayout *layout, json_t *row)
{
    void *scratch = talloc_new(NULL);
    uint32_t i;

    for (i = 0; i < layout->column_count; i++) {
        const char *text =
            row == NULL
                ? layout->columns[i]
                : format_value(scratch,
                               json_object_get(row, layout->columns[i]));

        fprintf(out, "%s%-*s", i == 0 ? "" : "  ",
                i + 1 == layout->column_count ? 0 : layout->widths[i], text);
    }
    fputc('\n', out);
    talloc_free(scratch);
}

/* Prints an array of objects as a table, "(none)" if no object has a field.
 * Columns are in the order in which the fields first appear, at most 64. */
void
CtlPrint_Table(FILE *out, json_t *rows)
{
    TableLayout layout = compute_layout(rows);
    size_t i;

    if (layout.column_count == 0) {
        fprintf(out, "(none)\n");
        return;
    }
    print_row(out, &layout, NULL);
    for (i = 0; i < json_array_size(rows); i++) {
        print_row(out, &layout, json_array_get(rows, i));
    }
}

/* Returns true for an array that is empty or starts with an object; it is
 * printed as a table. */
static bool
is_object_array(json_t *value)
{
    return json_is_array(value) && (json_array_size(value) == 0 ||
                                    json_is_object(json_array_get(value, 0)));
}

/* Prints the fields of an object that are not tables, with the prefix before
 * each name. Fields of nested objects are printed as "outer.inner". */
static void
print_scalars(FILE *out, json_t *object, const char *prefix)
{
    void *scratch = talloc_new(NULL);
    const char *key;
    json_t *value;

    json_object_foreach(object, key, value)
    {
        char *name = talloc_asprintf(scratch, "%s%s", prefix, key);

        replace_control_chars(name);
        if (json_is_object(value)) {
            print_scalars(out, value, talloc_asprintf(scratch, "%s.", name));
        }
        else if (!is_object_array(value)) {
            fprintf(out, "%s: %s\n", name, format_value(scratch, value));
        }
    }
    talloc_free(scratch);
}

/* Prints a JSON object for people: scalars as "key: value", then arrays of
 * objects as tables. Replaces control characters by "?", because the text
 * comes from the network and could otherwise control the terminal. */
void
CtlPrint_Object(FILE *out, json_t *object)
{
    const char *key;
    json_t *value;

    print_scalars(out, object, "");
    json_object_foreach(object, key, value)
    {
        if (is_object_array(value)) {
            char *name = talloc_strdup(NULL, key);

            replace_control_chars(name);
            fprintf(out, "%s:\n", name);
            talloc_free(name);
            CtlPrint_Table(out, value);
        }
    }
}

/* Prints a JSON value, indented by two spaces, and a newline. */
void
CtlPrint_Json(FILE *out, json_t *value)
{
    json_dumpf(value, out, JSON_INDENT(2) | JSON_ENCODE_ANY);
    fputc('\n', out);
}

/* Prints one daemon's reply for people, below the daemon's address if there
 * are several. */
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

/* Prints the replies without an error as JSON: the reply of a single daemon
 * unchanged, those of several in an object with their addresses as keys. */
static void
print_json_replies(CtlReply *replies, uint32_t count)
{
    json_t *by_address;
    uint32_t i;

    if (count == 1) {
        if (replies[0].error.kind == HR_OK) {
            CtlPrint_Json(stdout, replies[0].json);
        }
        return;
    }
    by_address = json_object();
    for (i = 0; i < count; i++) {
        if (replies[i].error.kind == HR_OK) {
            json_object_set(by_address, replies[i].address, replies[i].json);
        }
    }
    CtlPrint_Json(stdout, by_address);
    json_decref(by_address);
}

/* Prints the replies of one or more daemons, then the errors of daemons that
 * failed. Returns the exit status. */
static int
print_replies(const CtlOptions *options, CtlReply *replies, uint32_t count)
{
    uint32_t failed_count = 0, i;

    if (options->json) {
        print_json_replies(replies, count);
    }
    for (i = 0; i < count; i++) {
        if (replies[i].error.kind != HR_OK) {
            failed_count++;
        }
        else if (!options->json) {
            print_reply(&replies[i], count);
        }
    }
    fflush(stdout);
    for (i = 0; i < count; i++) {
        if (replies[i].error.kind != HR_OK) {
            Ctl_PrintError("%s", replies[i].error.message);
        }
    }
    if (failed_count == 0) {
        return CTL_EXIT_SUCCESS;
    }
    return failed_count == count ? CTL_EXIT_FAILED : CTL_EXIT_UNREACHABLE;
}

/* Fetches the report at an HTTP path from the named daemons, or with --all
 * from every member that is not dead, and prints the answers and the errors of
 * daemons that failed. Returns the exit status. */
int
CtlPrint_FetchAndPrint(const CtlOptions *options, const char *path)
{
    void *scratch = talloc_new(NULL);
    CtlTargets *targets = CtlTargets_Find(scratch, options, options->all);
    int status = CTL_EXIT_FAILED;

    if (targets != NULL) {
        CtlReply *replies =
            CtlClient_SendRequests(scratch, options, "GET", path, NULL,
                                   targets->addresses, targets->count);

        status = print_replies(options, replies, targets->count);
        status = CtlTargets_ReportUnknown(targets, status);
    }
    talloc_free(scratch);
    return status;
}
