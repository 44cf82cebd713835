#include <string.h>
#include <talloc.h>

#include "ctl-burn.h"
#include "ctl-options.h"
#include "ctl-print.h"
#include "ctl-query.h"
#include "ctl-rows.h"
#include "ctl-tables.h"

/* Commands that print a report of each daemon. The report is at the path
 * /v1/NAME of the operator listener. */
static const char *const report_names[] = {"status",      "members", "servers",
                                           "connections", "queues",  "claims",
                                           "config"};

/* Fetches and prints a report. Returns the exit status. */
static int
run_report(const CtlOptions *options, const char *name)
{
    char *path = talloc_asprintf(NULL, "/v1/%s", name);
    int status = CtlPrint_FetchAndPrint(options, path);

    talloc_free(path);
    return status;
}

/* Returns true if a command prints a report. */
static bool
is_report(const char *name)
{
    size_t i;

    for (i = 0; i < sizeof(report_names) / sizeof(report_names[0]); i++) {
        if (strcmp(report_names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns true if the command has no operands; otherwise prints an error. */
static bool
has_no_operands(const CtlOptions *options)
{
    if (options->word_count > 1) {
        Ctl_PrintError("%s takes no operand; remove \"%s\"", options->words[0],
                       options->words[1]);
        return false;
    }
    return true;
}

/* Runs the command. Returns the exit status. */
static int
run_command(const CtlOptions *options)
{
    const char *name = options->words[0];

    if (strcmp(name, "routes") == 0) {
        return CtlRows_RunCommand(options, HR_TABLE_ROUTES);
    }
    if (strcmp(name, "pools") == 0) {
        return CtlRows_RunCommand(options, HR_TABLE_POOLS);
    }
    if (!has_no_operands(options)) {
        return CTL_EXIT_USAGE;
    }
    if (is_report(name)) {
        return run_report(options, name);
    }
    if (strcmp(name, "restore") == 0) {
        return CtlEdit_RunRestore(options);
    }
    if (strcmp(name, "query") == 0) {
        return CtlQuery_RunCommand(options);
    }
    if (strcmp(name, "explain") == 0) {
        return CtlQuery_RunExplain(options);
    }
    if (strcmp(name, "burn") == 0) {
        return CtlBurn_RunCommand(options);
    }
    Ctl_PrintError("there is no command \"%s\"; use \"hickoryctl --help\"",
                   name);
    return CTL_EXIT_USAGE;
}

/* Parses the command line of hickoryctl and runs the command. */
int
main(int argc, char **argv)
{
    void *scratch = talloc_new(NULL);
    CtlOptions options;
    int status = CTL_EXIT_USAGE;

    if (CtlOptions_Parse(scratch, argc, argv, &options, &status)) {
        status = run_command(&options);
    }
    talloc_free(scratch);
    return status;
}
