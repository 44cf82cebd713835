#ifndef HR_COMMON_OPERATOR_H
#define HR_COMMON_OPERATOR_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "state-tables.h"
#include "trans-http-server.h"
#include "trans-loop.h"

/* Operator listeners of simulated daemons, and a runner of hickoryctl. */

#define FAKE_TOKEN "secret-token-0123456789"

typedef struct FakeDaemon {
    HrHttpServer *server;
    char address[32];
    HrTables *tables;     /* NULL: none yet */
    uint64_t in_force;    /* revision that /v1/config reports */
    uint32_t lag_polls;   /* polls of /v1/config before it takes tables */
    const char *members;  /* answer to /v1/members */
    const char *edit;     /* answer to the next edit instead of making it */
    int edit_status;      /* HTTP status of that answer */
    bool ignore_edits;    /* never answers an edit */
    bool lose_edit_reply; /* makes the edit but answers with status 503 */
    const char *burn;     /* answer to /v1/burn */
    const char *report;   /* answer to all other paths */
    char *last_path;
    char *last_kind; /* query parameters of /v1/explain */
    char *last_key;
    char *last_body;
    uint32_t edits; /* edits that were made */
} FakeDaemon;

/* How a run of hickoryctl ended. */
typedef struct CtlRun {
    int status;
    char *out;
    char *err;
} CtlRun;

/* Starts a daemon whose listener runs on the loop. */
FakeDaemon *FakeDaemon_Start(const void *parent, HrLoop *loop);

/* Runs hickoryctl with arguments, the last of which is NULL, and serves the
 * loop until it has ended. */
CtlRun Ctl_Run(const void *parent, HrLoop *loop, const char *const *arguments);

#endif
