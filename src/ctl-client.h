#ifndef HR_CTL_CLIENT_H
#define HR_CTL_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "ctl-options.h"

/* Requests to daemons. */

/* What one daemon has answered. */
typedef struct CtlReply {
    const char *address;
    bool maybe_sent;         /* the daemon may have taken the request */
    bool earlier_maybe_sent; /* one that was asked before may have */
    int status;              /* HTTP status; 0 without an answer */
    json_t *json;            /* the answer; NULL unless it is a JSON object */
    const char *text;        /* the answer as text; "" when there is none */
    size_t text_bytes;
    HrError error; /* HR_OK, or why the answer is of no use */
} CtlReply;

/* Sends one request to each address at the same time and waits for the
 * answers. body may be NULL. Replies are a talloc array of count elements that
 * belongs to parent and frees the JSON. */
CtlReply *CtlClient_Ask(const void *parent, const CtlOptions *options,
                        const char *method, const char *path, const char *body,
                        const char *const *addresses, uint32_t count);

/* Asks the named daemons in turn until one answers. Returns its reply, or the
 * last one. Prints an error and returns NULL when no daemon is named. */
CtlReply *CtlClient_AskFirst(const void *parent, const CtlOptions *options,
                             const char *method, const char *path,
                             const char *body);

/* Prints that no daemon is named, and how to name one. */
void CtlClient_ReportNoDaemon(void);

/* Returns the reason that an answer gives with its remedy, as text of parent:
 * "message", or the name of the error in "error", and "remedy". */
const char *CtlClient_Reason(const void *parent, json_t *answer);

/* Returns text percent-encoded for a query string. */
char *CtlClient_Escape(const void *parent, const char *text);

#endif
