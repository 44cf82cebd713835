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

/* A simulated daemon. The texts of answers are JSON. */
typedef struct FakeDaemon {
    HrHttpServer *server;
    char address[32];
    HrTables *tables; /* NULL: no tables yet */
    /* The revision that /v1/config reports. */
    uint64_t in_force;
    /* The next GET /v1/config calls that still report the old revision. */
    uint32_t polls_before_in_force;
    /* The answer to GET /v1/members; NULL: default_answer. */
    const char *members_answer;
    /* The answer to edits, which are then not applied; NULL: apply edits. */
    const char *edit_answer;
    int edit_answer_status;     /* HTTP status sent with edit_answer */
    bool ignore_edits;          /* neither applies nor answers edits */
    bool answer_next_edit_503;  /* applies the edit nevertheless */
    const char *burn_answer;    /* to GET /v1/burn */
    const char *default_answer; /* to all other paths */
    char *last_path;            /* of the last request, as the next three */
    char *last_kind;            /* kind parameter */
    char *last_key;             /* key parameter */
    char *last_body;
    uint32_t applied_edit_count;
} FakeDaemon;

/* The exit status and the output of a run of hickoryctl. The texts are talloc
 * strings. */
typedef struct TestCtlResult {
    int status;
    char *out;
    char *err;
} TestCtlResult;

/* Starts a simulated daemon on a free port of 127.0.0.1. Its listener runs on
 * the loop; aborts the test program on failure. */
FakeDaemon *FakeDaemon_Start(const void *parent, HrLoop *loop);

/* Runs hickoryctl with up to 62 arguments, terminated by NULL, and runs the
 * loop until hickoryctl exits. The status of the result is the exit status, or
 * -1 if a signal ended it. */
TestCtlResult TestCtl_RunProgram(const void *parent, HrLoop *loop,
                                 const char *const *arguments);

#endif
