#ifndef HR_CTL_OPTIONS_H
#define HR_CTL_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Exit statuses; man/hickoryctl.1 documents them. */
enum {
    CTL_EXIT_DONE = 0,
    CTL_EXIT_FAILED = 1, /* refused, or nothing could be reached */
    CTL_EXIT_USAGE = 2,
    CTL_EXIT_CONFLICT = 3,
    CTL_EXIT_UNKNOWN = 4,     /* it may or may not have happened */
    CTL_EXIT_WAITING = 5,     /* --wait: not in force everywhere */
    CTL_EXIT_BURN = 6,        /* an error budget burns too fast */
    CTL_EXIT_UNREACHABLE = 7, /* some daemons did not answer */
    CTL_EXIT_DIFFERENT = 8,   /* diff found changes; an answer is partial */
};

/* The command line. Strings belong to the parent given to Parse. */
typedef struct CtlOptions {
    const char **daemons;
    uint32_t daemon_count;
    bool all;
    bool json;
    bool wait;
    uint32_t timeout_ms;
    const char *authorization; /* header with the token; NULL: none */
    const char *edit_id;
    const char *operator_name;
    const char *summary;
    bool has_based_on;
    uint64_t based_on;
    const char *caller; /* address of a caller listener */
    const char *kind;
    const char *key;
    const char *payload;
    const char *want;
    const char *request_id;
    uint32_t deadline_ms;
    uint64_t expires_ms;
    const char **words; /* command and its operands */
    uint32_t word_count;
} CtlOptions;

/* Reads the command line. Returns true if a command is to be run; otherwise
 * *status is the exit status, and help or an error has been printed. */
bool CtlOptions_Parse(const void *parent, int argc, char **argv,
                      CtlOptions *options, int *status);

/* Prints a message to standard error. */
void Ctl_Error(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
