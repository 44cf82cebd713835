#ifndef HR_COMMON_OPERATOR_H
#define HR_COMMON_OPERATOR_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "state-tables.h"
#include "trans-http-server.h"
#include "trans-loop.h"

/* Simulated daemons, which only have an operator listener, and a function that
 * runs hickoryctl against them. */

#define FAKE_TOKEN "secret-token-0123456789"

typedef struct FakeDaemon {
    HrHttpServer *server;
    char address[32];
    HrTables *tables;    /* NULL: no tables yet */
    uint64_t in_force;   /* revision that /v1/config reports */
    uint32_t lag_polls;  /* next GET /v1/config calls that still report the old
                            revision */
    const char *members; /* answer to GET /v1/members; NULL: report */
    const char *edit;    /* answer to edits, which are then not applied; NULL:
                            apply edits */
    int edit_status;     /* HTTP status of the answer edit */
    bool ignore_edits;   /* neither applies nor answers edits */
    bool lose_edit_reply; /* applies the next edit but answers it with status
                             503 */
    const char *burn;     /* answer to GET /v1/burn */
    const char *report;   /* answer to all other paths */
    char *last_path;
    char *last_kind; /* kind and key parameters of the last request */
    char *last_key;
    char *last_body;
    uint32_t edits; /* applied edits */
} FakeDaemon;

/* The result of a run of hickoryctl. The texts are talloc strings. */
typedef struct CtlRun {
    int status;
    char *out;
    char *err;
} CtlRun;

/* Starts a simulated daemon on a free port of 127.0.0.1. Its listener runs on
 * the loop; aborts the test program on failure. */
FakeDaemon *FakeDaemon_Start(const void *parent, HrLoop *loop);

/* Runs hickoryctl with up to 62 arguments, terminated by NULL, and runs the
 * loop until hickoryctl exits. The status of the result is the exit status, or
 * -1 if a signal ended it. */
CtlRun Ctl_Run(const void *parent, HrLoop *loop, const char *const *arguments);

#endif
