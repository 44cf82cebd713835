#ifndef HR_CTL_OPTIONS_H
#define HR_CTL_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Exit statuses, documented in man/hickoryctl.1. */
enum {
    CTL_EXIT_SUCCESS = 0,
    CTL_EXIT_FAILED = 1, /* refused, or no daemon could be reached */
    CTL_EXIT_USAGE = 2,
    CTL_EXIT_CONFLICT = 3,
    CTL_EXIT_UNKNOWN = 4,      /* the edit or query may or may not have run */
    CTL_EXIT_NOT_IN_FORCE = 5, /* --wait: not in force on every member */
    CTL_EXIT_FAST_BURN = 6,    /* an error budget burns too fast */
    CTL_EXIT_UNREACHABLE = 7,  /* some daemons did not answer */
    CTL_EXIT_DIFFERENT = 8,    /* diff found changes; an answer is partial */
};

/* The parsed command line. Strings and arrays belong to the parent passed to
 * CtlOptions_Parse. */
typedef struct CtlOptions {
    const char **daemons;
    uint32_t daemon_count;
    bool all;
    bool json;
    bool wait;
    uint32_t timeout_ms;
    const char *authorization; /* header with the operator token; NULL: none */
    const char *edit_id;
    const char *operator_name;
    const char *summary;
    bool has_based_on;
    uint64_t based_on;
    const char *caller; /* address of a caller listener */
    const char *kind;   /* of the query or the explained request */
    const char *key;
    const char *payload;
    const char *want;
    const char *request_id;
    uint32_t deadline_ms;
    uint64_t expires_ms;
    const char **words; /* the command and its operands */
    uint32_t word_count;
} CtlOptions;

/* Parses the command line and the environment. Returns true if a command is to
 * be run. Otherwise prints help, the version or an error, sets *status to the
 * exit status and returns false. */
bool CtlOptions_Parse(const void *parent, int argc, char **argv,
                      CtlOptions *options, int *status);

/* Prints an error message and a newline to standard error, prefixed by
 * "hickoryctl: ". */
void Ctl_PrintError(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

#endif
