#include "ctl-options.h"

#include <argtable2.h>
#include <bsd/string.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base-rng.h"
#include "state-address.h"

#define DAEMONS_MAX 4096
#define WORDS_MAX 1024
#define TOKEN_MAX_BYTES 4096
#define DEFAULT_TIMEOUT_MS 10000

/* Prints an error message and a newline to standard error, prefixed by
 * "hickoryctl: ". */
void
Ctl_PrintError(const char *format, ...)
{
    va_list args;

    fputs("hickoryctl: ", stderr);
    va_start(args, format);
    vfprintf(stderr, format, args);
    va_end(args);
    fputc('\n', stderr);
}

/* The options for argtable, in the order of the help text. Every field is a
 * pointer, since the struct is copied to an array of pointers. */
typedef struct OptionTable {
    struct arg_str *daemon;
    struct arg_lit *all;
    struct arg_file *token_file;
    struct arg_lit *json;
    struct arg_lit *wait;
    struct arg_int *timeout;
    struct arg_str *edit_id;
    struct arg_str *operator_name;
    struct arg_str *summary;
    struct arg_str *based_on;
    struct arg_str *caller;
    struct arg_str *kind;
    struct arg_str *key;
    struct arg_str *payload;
    struct arg_str *want;
    struct arg_str *request_id;
    struct arg_int *deadline;
    struct arg_str *expires;
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_str *words;
    struct arg_end *end;
} OptionTable;

/* Creates the option table, which arg_freetable frees. An option is NULL if
 * memory runs out; arg_nullcheck detects that. */
static OptionTable
create_option_table(void)
{
    OptionTable table = {
        .daemon = arg_strn("d", "daemon", "ADDRESS", 0, DAEMONS_MAX,
                           "operator listener, such as 10.0.0.1:7702"),
        .all = arg_lit0("a", "all", "ask every member"),
        .token_file = arg_file0("t", "token-file", "FILE",
                                "file with the operator token"),
        .json = arg_lit0("j", "json", "print JSON"),
        .wait = arg_lit0("w", "wait", "wait until the edit is in force"),
        .timeout = arg_int0(NULL, "timeout", "MS",
                            "time for each request and for --wait"),
        .edit_id = arg_str0(NULL, "edit-id", "ID", "repeat an earlier edit"),
        .operator_name =
            arg_str0(NULL, "operator", "NAME", "operator in the history"),
        .summary = arg_str0("m", "summary", "TEXT", "text in the history"),
        .based_on = arg_str0(NULL, "based-on", "REVISION",
                             "revision that the edit is based on"),
        .caller =
            arg_str0(NULL, "caller", "ADDRESS", "caller listener, for query"),
        .kind = arg_str0(NULL, "kind", "KIND", "kind of request"),
        .key = arg_str0(NULL, "key", "KEY", "key of the request"),
        .payload = arg_str0(NULL, "payload", "JSON", "payload of a query"),
        .want = arg_str0(NULL, "want", "partial|complete", "answer wanted"),
        .request_id =
            arg_str0(NULL, "request-id", "ID", "repeat an earlier query"),
        .deadline = arg_int0(NULL, "deadline-ms", "MS", "deadline of a query"),
        .expires = arg_str0(NULL, "expires-ms", "MS",
                            "expiry of a query, wall time since 1970"),
        .help = arg_lit0("h", "help", "print this help"),
        .version = arg_lit0(NULL, "version", "print the version"),
        .words =
            arg_strn(NULL, NULL, "COMMAND", 0, WORDS_MAX, "see hickoryctl(1)"),
        .end = arg_end(8),
    };

    return table;
}

/* Returns a copy of the first value of an option, or NULL if it is absent. */
static const char *
get_string(const void *parent, const struct arg_str *option)
{
    return option->count == 0 ? NULL : talloc_strdup(parent, option->sval[0]);
}

/* Returns copies of all values of an option and sets *count. */
static const char **
get_strings(const void *parent, const struct arg_str *option, uint32_t *count)
{
    const char **values =
        talloc_array(parent, const char *, (uint32_t)option->count);
    int i;

    *count = (uint32_t)option->count;
    for (i = 0; i < option->count; i++) {
        values[i] = talloc_strdup(values, option->sval[i]);
    }
    return values;
}

/* Parses the number of an option; leaves *value unchanged if text is NULL.
 * Returns false after printing an error. */
static bool
parse_number(const char *name, const char *text, uint64_t *value)
{
    char *end;

    if (text == NULL) {
        return true;
    }
    errno = 0;
    *value = strtoull(text, &end, 10);
    if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0) {
        Ctl_PrintError("--%s: \"%s\" is not a number; use digits only", name,
                       text);
        return false;
    }
    return true;
}

/* Returns true if all addresses are numeric and have a port; otherwise prints
 * an error. */
static bool
are_addresses_valid(const CtlOptions *options)
{
    HrSockAddress parsed;
    uint32_t i;

    for (i = 0; i < options->daemon_count; i++) {
        if (HrSockAddress_Parse(options->daemons[i], &parsed) != HR_OK) {
            Ctl_PrintError(
                "--daemon: \"%s\" is not a numeric address with a port; "
                "use a form such as 10.0.0.1:7702",
                options->daemons[i]);
            return false;
        }
    }
    if (options->caller != NULL &&
        HrSockAddress_Parse(options->caller, &parsed) != HR_OK) {
        Ctl_PrintError(
            "--caller: \"%s\" is not a numeric address with a port; use a "
            "form such as 10.0.0.1:7701",
            options->caller);
        return false;
    }
    return true;
}

/* Reads the operator token from a file and sets the authorization header.
 * Returns false after printing an error. No message contains the token. */
static bool
read_token(const void *parent, const char *path, CtlOptions *options)
{
    char token[TOKEN_MAX_BYTES + 1];
    FILE *file = fopen(path, "r");
    size_t length;

    if (file == NULL) {
        Ctl_PrintError("--token-file: %s: %s; name a file that you can read",
                       path, strerror(errno));
        return false;
    }
    length = fread(token, 1, TOKEN_MAX_BYTES, file);
    fclose(file);
    while (length > 0 && strchr("\r\n", token[length - 1]) != NULL) {
        length--;
    }
    token[length] = '\0';
    if (length == 0 || length == TOKEN_MAX_BYTES ||
        strcspn(token, " \t\r\n\"") != length) {
        Ctl_PrintError("--token-file: %s must contain one token on one line",
                       path);
        explicit_bzero(token, sizeof(token));
        return false;
    }
    options->authorization =
        talloc_asprintf(parent, "Authorization: Bearer %s", token);
    explicit_bzero(token, sizeof(token));
    return true;
}

/* Returns a copy of an environment variable, or of the default if it is unset
 * or empty. */
static const char *
get_environment_value(const void *parent, const char *name,
                      const char *default_value)
{
    const char *value = getenv(name);

    if (value == NULL || value[0] == '\0') {
        value = default_value;
    }
    return talloc_strdup(parent, value);
}

/* Sets the daemon and the operator from the environment if their options are
 * absent. */
static void
set_options_from_environment(const void *parent, CtlOptions *options)
{
    const char *daemon = getenv("HICKORY_DAEMON");

    if (options->daemon_count == 0 && daemon != NULL) {
        options->daemons = talloc_array(parent, const char *, 1);
        options->daemons[0] = talloc_strdup(options->daemons, daemon);
        options->daemon_count = 1;
    }
    if (options->operator_name == NULL) {
        options->operator_name =
            get_environment_value(parent, "USER", "operator");
    }
}

/* Copies the parsed options. Returns false after printing an error if a number
 * is malformed. */
static bool
copy_options(const void *parent, const OptionTable *table, CtlOptions *options)
{
    memset(options, 0, sizeof(*options));
    options->daemons =
        get_strings(parent, table->daemon, &options->daemon_count);
    options->words = get_strings(parent, table->words, &options->word_count);
    options->all = table->all->count > 0;
    options->json = table->json->count > 0;
    options->wait = table->wait->count > 0;
    options->timeout_ms = table->timeout->count > 0
                              ? (uint32_t)table->timeout->ival[0]
                              : DEFAULT_TIMEOUT_MS;
    options->edit_id = get_string(parent, table->edit_id);
    options->operator_name = get_string(parent, table->operator_name);
    options->summary = get_string(parent, table->summary);
    options->caller = get_string(parent, table->caller);
    options->kind = get_string(parent, table->kind);
    options->key = get_string(parent, table->key);
    options->payload = get_string(parent, table->payload);
    options->want = get_string(parent, table->want);
    options->request_id = get_string(parent, table->request_id);
    options->deadline_ms =
        table->deadline->count > 0 ? (uint32_t)table->deadline->ival[0] : 0;
    options->has_based_on = table->based_on->count > 0;
    return parse_number("based-on", get_string(parent, table->based_on),
                        &options->based_on) &&
           parse_number("expires-ms", get_string(parent, table->expires),
                        &options->expires_ms);
}

/* Returns true if the times are positive; otherwise prints an error. */
static bool
are_times_valid(const OptionTable *table)
{
    if ((table->timeout->count > 0 && table->timeout->ival[0] < 1) ||
        (table->deadline->count > 0 && table->deadline->ival[0] < 1)) {
        Ctl_PrintError(
            "--timeout and --deadline-ms: use a time of at least 1 ms");
        return false;
    }
    return true;
}

/* Prints the usage, the commands and the options to standard output. */
static void
print_help(void **argtable)
{
    printf("usage: hickoryctl [OPTIONS] COMMAND [OPERANDS]\n\ncommands:\n"
           "  routes|pools get [NAME] | set NAME FIELD=VALUE... |\n"
           "               delete NAME... | apply FILE | diff FILE | history\n"
           "  restore\n"
           "  query | explain\n"
           "  status | members | servers | connections | queues | claims | "
           "config\n"
           "  burn\n\noptions:\n");
    arg_print_glossary(stdout, argtable, "  %-28s %s\n");
}

/* Returns true if the options are well-formed and name a command to run.
 * Otherwise prints help, the version or an error and sets *status to the exit
 * status. */
static bool
check_option_table(const OptionTable *table, void **argtable, int errors,
                   int *status)
{
    *status = CTL_EXIT_SUCCESS;
    if (table->help->count > 0) {
        print_help(argtable);
        return false;
    }
    if (table->version->count > 0) {
        printf("hickoryctl %s\n", HR_VERSION);
        return false;
    }
    *status = CTL_EXIT_USAGE;
    if (errors > 0) {
        arg_print_errors(stderr, table->end, "hickoryctl");
        Ctl_PrintError("use \"hickoryctl --help\" for the options");
        return false;
    }
    if (table->words->count == 0) {
        Ctl_PrintError("no command is given; use \"hickoryctl --help\"");
        return false;
    }
    return are_times_valid(table);
}

/* Parses the command line and the environment. Returns true if a command is to
 * be run. Otherwise prints help, the version or an error, sets *status to the
 * exit status and returns false. */
bool
CtlOptions_Parse(const void *parent, int argc, char **argv,
                 CtlOptions *options, int *status)
{
    OptionTable table = create_option_table();
    void *argtable[sizeof(table) / sizeof(void *)];
    bool ok;
    int errors;

    memcpy(argtable, &table, sizeof(table));
    if (arg_nullcheck(argtable) != 0) {
        Ctl_PrintError("out of memory");
        *status = CTL_EXIT_FAILED;
        return false;
    }
    errors = arg_parse(argc, argv, argtable);
    ok = check_option_table(&table, argtable, errors, status) &&
         copy_options(parent, &table, options);
    if (ok && table.token_file->count > 0) {
        ok = read_token(parent, table.token_file->filename[0], options);
    }
    arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
    if (!ok) {
        return false;
    }
    set_options_from_environment(parent, options);
    return are_addresses_valid(options);
}
