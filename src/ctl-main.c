#include <string.h>
#include <talloc.h>

#include "ctl-burn.h"
#include "ctl-options.h"
#include "ctl-print.h"
#include "ctl-query.h"
#include "ctl-rows.h"
#include "ctl-tables.h"

/* Commands that print one object of each daemon; /v1/NAME yields it. */
static const char *const reports[] = {"status",      "members", "servers",
                                      "connections", "queues",  "claims",
                                      "config"};

/* Prints what the daemons report under a name. */
static int
run_report(const CtlOptions *options, const char *name)
{
    char *path = talloc_asprintf(NULL, "/v1/%s", name);
    int status = CtlPrint_Ask(options, path);

    talloc_free(path);
    return status;
}

/* Returns true if a command is a report. */
static bool
is_report(const char *name)
{
    size_t i;

    for (i = 0; i < sizeof(reports) / sizeof(reports[0]); i++) {
        if (strcmp(reports[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Refuses operands of a command that takes none. */
static bool
has_no_operands(const CtlOptions *options)
{
    if (options->word_count > 1) {
        Ctl_Error("%s takes no operand; remove \"%s\"", options->words[0],
                  options->words[1]);
        return false;
    }
    return true;
}

/* Runs the command; returns the exit status. */
static int
run_command(const CtlOptions *options)
{
    const char *name = options->words[0];

    if (strcmp(name, "routes") == 0) {
        return CtlRows_Run(options, HR_TABLE_ROUTES);
    }
    if (strcmp(name, "pools") == 0) {
        return CtlRows_Run(options, HR_TABLE_POOLS);
    }
    if (!has_no_operands(options)) {
        return CTL_EXIT_USAGE;
    }
    if (is_report(name)) {
        return run_report(options, name);
    }
    if (strcmp(name, "restore") == 0) {
        return CtlEdit_Restore(options);
    }
    if (strcmp(name, "query") == 0) {
        return CtlQuery_Run(options);
    }
    if (strcmp(name, "explain") == 0) {
        return CtlQuery_Explain(options);
    }
    if (strcmp(name, "burn") == 0) {
        return CtlBurn_Run(options);
    }
    Ctl_Error("there is no command \"%s\"; use \"hickoryctl --help\"", name);
    return CTL_EXIT_USAGE;
}

/* Runs the command-line tool. */
int
main(int argc, char **argv)
{
    void *memory = talloc_new(NULL);
    CtlOptions options;
    int status = CTL_EXIT_USAGE;

    if (CtlOptions_Parse(memory, argc, argv, &options, &status)) {
        status = run_command(&options);
    }
    talloc_free(memory);
    return status;
}
