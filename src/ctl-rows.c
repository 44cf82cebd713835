#include "ctl-rows.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "ctl-print.h"
#include "ctl-tables.h"
#include "state-tables-json.h"

/* A subcommand of "routes" or "pools" and the tables that it shows or edits.
 */
typedef struct RowsCommand {
    const CtlOptions *options;
    HrTableKind table;
    const char *table_name; /* "routes" or "pools" */
    const char *row_name;   /* "route" or "pool" */
    HrTables *current;      /* as fetched from a daemon */
    const char **operands;
    uint32_t operand_count;
} RowsCommand;

/* Returns the default summary of an edit: the verb, the kind of row and the
 * first operand, cut to 60 bytes. The text belongs to command->current. */
static char *
make_summary(const RowsCommand *command, const char *verb)
{
    char *text =
        talloc_asprintf(command->current, "%s %s", verb, command->row_name);

    if (command->operand_count > 0) {
        text = talloc_asprintf_append_buffer(text, " %.60s",
                                             command->operands[0]);
    }
    return text;
}

/* Replaces the servers of each row by their number, so that a table of pools
 * remains readable. */
static void
replace_servers_by_count(json_t *rows)
{
    size_t i;

    for (i = 0; i < json_array_size(rows); i++) {
        json_t *row = json_array_get(rows, i);
        json_t *servers = json_object_get(row, "servers");

        if (servers != NULL) {
            json_object_set_new(
                row, "servers",
                json_integer((json_int_t)json_array_size(servers)));
        }
    }
}

/* Returns an array of the rows of the table, only those of one name unless
 * name is NULL. The caller frees it. */
static json_t *
select_rows(const RowsCommand *command, const char *name)
{
    json_t *map = CtlRows_ToMap(command->current, command->table);
    json_t *rows = json_array();
    const char *key;
    json_t *value;

    json_object_foreach(map, key, value)
    {
        if (name == NULL || strcmp(key, name) == 0) {
            json_array_append(rows, value);
        }
    }
    json_decref(map);
    return rows;
}

/* Prints the error that a row does not exist. Returns the exit status. */
static int
report_missing_row(const RowsCommand *command, const char *name)
{
    Ctl_PrintError(
        "there is no %s \"%s\"; list the names with \"hickoryctl %s get\"",
        command->row_name, name, command->table_name);
    return CTL_EXIT_FAILED;
}

/* Runs "get [NAME]": prints the table, or one row with all its fields. */
static int
run_get(RowsCommand *command)
{
    const char *name =
        command->operand_count > 0 ? command->operands[0] : NULL;
    json_t *rows = select_rows(command, name), *object;

    if (name != NULL && json_array_size(rows) == 0) {
        json_decref(rows);
        return report_missing_row(command, name);
    }
    if (command->options->json) {
        object = json_pack("{s:I,s:O}", "revision",
                           (json_int_t)command->current->revision,
                           command->table_name, rows);
        CtlPrint_Json(stdout, object);
        json_decref(object);
    }
    else if (name != NULL) {
        CtlPrint_Object(stdout, json_array_get(rows, 0));
    }
    else {
        printf("revision %" PRIu64 "\n", command->current->revision);
        replace_servers_by_count(rows);
        CtlPrint_Table(stdout, rows);
    }
    json_decref(rows);
    return CTL_EXIT_SUCCESS;
}

/* Runs "history": prints the last edits of both tables. */
static int
run_history(RowsCommand *command)
{
    json_t *edits = json_array();
    uint32_t i;

    for (i = 0; i < command->current->edit_count; i++) {
        json_array_append_new(
            edits, HrEditRecord_ToJson(&command->current->edits[i]));
    }
    if (command->options->json) {
        CtlPrint_Json(stdout, edits);
    }
    else {
        CtlPrint_Table(stdout, edits);
    }
    json_decref(edits);
    return CTL_EXIT_SUCCESS;
}

/* Submits an edit with value in one field, such as "set" for "set_routes".
 * Takes ownership of value. Returns the exit status. */
static int
submit_edit(const RowsCommand *command, const char *verb, const char *field,
            json_t *value)
{
    json_t *body =
        CtlEdit_CreateBody(command->options, command->current->revision,
                           make_summary(command, verb));
    char name[32];

    if (body == NULL) {
        json_decref(value);
        return CTL_EXIT_USAGE;
    }
    snprintf(name, sizeof(name), "%s_%s", field, command->table_name);
    json_object_set_new(body, name, value);
    return CtlEdit_SubmitBody(command->options, body);
}

/* Returns the JSON of a row, or of a new row with that name if there is none.
 * The caller frees it. */
static json_t *
copy_or_create_row(const RowsCommand *command, const char *name)
{
    json_t *rows = select_rows(command, name);
    json_t *row = json_incref(json_array_get(rows, 0));

    json_decref(rows);
    if (row != NULL) {
        return row;
    }
    row = json_pack("{s:s}", "name", name);
    if (command->table == HR_TABLE_POOLS) {
        json_object_set_new(row, "servers", json_array());
    }
    return row;
}

/* Runs "set NAME FIELD=VALUE...": changes fields of a row or adds a row. */
static int
run_set(RowsCommand *command)
{
    json_t *row;
    uint32_t i;

    if (command->operand_count < 2) {
        Ctl_PrintError("%s set: use NAME and at least one FIELD=VALUE",
                       command->table_name);
        return CTL_EXIT_USAGE;
    }
    row = copy_or_create_row(command, command->operands[0]);
    for (i = 1; i < command->operand_count; i++) {
        if (!CtlAssign_ApplyToRow(row, command->table, command->operands[i])) {
            json_decref(row);
            return CTL_EXIT_USAGE;
        }
    }
    return submit_edit(command, "set", "set", json_pack("[o]", row));
}

/* Runs "delete NAME...": submits one edit that deletes the rows. */
static int
run_delete(RowsCommand *command)
{
    json_t *names = json_array();
    uint32_t i;

    if (command->operand_count == 0) {
        json_decref(names);
        Ctl_PrintError("%s delete: use at least one NAME",
                       command->table_name);
        return CTL_EXIT_USAGE;
    }
    for (i = 0; i < command->operand_count; i++) {
        json_array_append_new(names, json_string(command->operands[i]));
    }
    return submit_edit(command, "delete", "delete", names);
}

/* Adds to an edit the changes that turn the rows of one table into those of
 * the file. Returns true if there are any. */
static bool
add_table_changes(json_t *body, const HrTables *current, const HrTables *file,
                  HrTableKind table)
{
    json_t *old_rows = CtlRows_ToMap(current, table);
    json_t *new_rows = CtlRows_ToMap(file, table);
    json_t *set_rows = json_array(), *removed_names = json_array();
    const char *key;
    json_t *value;
    bool changed;

    json_object_foreach(new_rows, key, value)
    {
        if (!json_equal(value, json_object_get(old_rows, key))) {
            json_array_append(set_rows, value);
        }
    }
    json_object_foreach(old_rows, key, value)
    {
        if (json_object_get(new_rows, key) == NULL) {
            json_array_append_new(removed_names, json_string(key));
        }
    }
    changed = json_array_size(set_rows) + json_array_size(removed_names) > 0;
    json_object_set_new(
        body, table == HR_TABLE_ROUTES ? "set_routes" : "set_pools", set_rows);
    json_object_set_new(
        body, table == HR_TABLE_ROUTES ? "delete_routes" : "delete_pools",
        removed_names);
    json_decref(old_rows);
    json_decref(new_rows);
    return changed;
}

/* Reads the tables from the file that is the only operand, and sets *revision
 * to that of the file. Returns NULL after printing an error. */
static HrTables *
read_operand_file(RowsCommand *command, uint64_t *revision)
{
    if (command->operand_count != 1) {
        Ctl_PrintError("%s: use one FILE, or - for standard input",
                       command->table_name);
        return NULL;
    }
    return CtlTables_ReadFile(command->current, command->operands[0],
                              command->current, revision);
}

/* Runs "apply FILE": submits one edit that makes the tables equal to those in
 * the file. A table that the file omits is not changed. */
static int
run_apply(RowsCommand *command)
{
    uint64_t revision = 0;
    HrTables *file = read_operand_file(command, &revision);
    json_t *body;
    bool changed;

    if (file == NULL) {
        return CTL_EXIT_USAGE;
    }
    body = CtlEdit_CreateBody(command->options, revision,
                              make_summary(command, "apply"));
    if (body == NULL) {
        return CTL_EXIT_USAGE;
    }
    changed = add_table_changes(body, command->current, file, HR_TABLE_ROUTES);
    changed =
        add_table_changes(body, command->current, file, HR_TABLE_POOLS) ||
        changed;
    if (!changed) {
        json_decref(body);
        printf("the tables already match the file\n");
        return CTL_EXIT_SUCCESS;
    }
    return CtlEdit_SubmitBody(command->options, body);
}

/* Runs "diff FILE": prints what "apply" would change in the table. */
static int
run_diff(RowsCommand *command)
{
    uint64_t revision = 0;
    HrTables *file = read_operand_file(command, &revision);
    json_t *old_rows, *new_rows;
    uint32_t count;

    if (file == NULL) {
        return CTL_EXIT_USAGE;
    }
    old_rows = CtlRows_ToMap(command->current, command->table);
    new_rows = CtlRows_ToMap(file, command->table);
    count = CtlDiff_PrintChanges(old_rows, new_rows, command->row_name,
                                 command->options->json);
    json_decref(old_rows);
    json_decref(new_rows);
    return count == 0 ? CTL_EXIT_SUCCESS : CTL_EXIT_DIFFERENT;
}

/* The subcommands of "routes" and "pools". */
static const struct {
    const char *name;
    int (*run)(RowsCommand *command);
} subcommands[] = {
    {"get", run_get},     {"set", run_set},   {"delete", run_delete},
    {"apply", run_apply}, {"diff", run_diff}, {"history", run_history},
};

/* Runs "routes" or "pools" with a subcommand such as "get". Returns the exit
 * status. */
int
CtlRows_RunCommand(const CtlOptions *options, HrTableKind table)
{
    RowsCommand command = {
        .options = options,
        .table = table,
        .table_name = table == HR_TABLE_ROUTES ? "routes" : "pools",
        .row_name = table == HR_TABLE_ROUTES ? "route" : "pool",
        .operands = options->words + 2,
        .operand_count = options->word_count - 2,
    };
    int status;
    size_t i;

    for (i = 0; options->word_count >= 2 &&
                i < sizeof(subcommands) / sizeof(subcommands[0]);
         i++) {
        if (strcmp(subcommands[i].name, options->words[1]) != 0) {
            continue;
        }
        command.current = CtlTables_Fetch(NULL, options);
        if (command.current == NULL) {
            return CTL_EXIT_FAILED;
        }
        status = subcommands[i].run(&command);
        talloc_free(command.current);
        return status;
    }
    Ctl_PrintError("%s: use get, set, delete, apply, diff or history",
                   command.table_name);
    return CTL_EXIT_USAGE;
}
