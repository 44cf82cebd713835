#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "daemon-gateway.h"
#include "daemon-run.h"
#include "daemon-signals.h"

/* Prints the syntax and the options of the command line. */
static void
print_usage(const char *program, void **table)
{
    printf("usage: %s", program);
    arg_print_syntax(stdout, table, "\n");
    arg_print_glossary(stdout, table, "  %-28s %s\n");
}

/* Checks a settings file of a daemon or gateway. Returns the exit status. */
static int
check_settings(const char *path)
{
    HrError err = {0};
    void *settings = HrGatewaySettings_IsGatewayFile(path)
                         ? (void *)HrGatewaySettings_Load(NULL, path, &err)
                         : (void *)HrSettings_Load(NULL, path, &err);

    if (settings == NULL) {
        fprintf(stderr, "hickoryrouterd: %s\n", err.message);
        return EXIT_FAILURE;
    }
    printf("%s: ok\n", path);
    talloc_free(settings);
    return EXIT_SUCCESS;
}

/* Loads the settings of a gateway and runs it until shutdown. Returns the exit
 * status. */
static int
run_gateway(const char *path)
{
    HrError err = {0};
    HrGatewaySettings *settings = HrGatewaySettings_Load(NULL, path, &err);
    int rc = settings != NULL ? HrGateway_Run(settings, path, &err) : err.kind;

    if (rc != HR_OK) {
        fprintf(stderr, "hickoryrouterd: %s\n", err.message);
    }
    talloc_free(settings);
    return rc == HR_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Loads the settings of a daemon and runs it until shutdown. Returns the exit
 * status. */
static int
run_daemon(const char *path)
{
    HrError err = {0};
    HrSettings *settings = HrSettings_Load(NULL, path, &err);
    int rc;

    if (settings == NULL) {
        fprintf(stderr, "hickoryrouterd: %s\n", err.message);
        return EXIT_FAILURE;
    }
    rc = HrDaemon_Run(settings, &err);
    if (rc != HR_OK) {
        fprintf(stderr, "hickoryrouterd: %s\n", err.message);
    }
    talloc_free(settings);
    return rc == HR_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Parses the command line and runs the command that it selects. */
int
main(int argc, char **argv)
{
    struct arg_file *settings =
        arg_file0("s", "settings", "FILE", "run with this settings file");
    struct arg_file *check =
        arg_file0(NULL, "check-settings", "FILE", "check a settings file");
    struct arg_lit *version = arg_lit0("V", "version", "print the version");
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {settings, check, version, help, end};
    int errors = arg_parse(argc, argv, table);
    int status = EXIT_FAILURE;

    if (help->count > 0) {
        print_usage(argv[0], table);
        status = EXIT_SUCCESS;
    }
    else if (version->count > 0) {
        printf("hickoryrouterd %s\n", HR_VERSION);
        status = EXIT_SUCCESS;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, argv[0]);
    }
    else if (check->count > 0) {
        status = check_settings(check->filename[0]);
    }
    else if (settings->count > 0) {
        HrSignals_Block();
        status = HrGatewaySettings_IsGatewayFile(settings->filename[0])
                     ? run_gateway(settings->filename[0])
                     : run_daemon(settings->filename[0]);
    }
    else {
        print_usage(argv[0], table);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
