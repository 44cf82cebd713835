#ifndef HR_CTL_CLIENT_H
#define HR_CTL_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "ctl-options.h"

/* Sends HTTP requests to daemons and waits for their answers. */

/* One daemon's answer to a request, or the reason why there is none. */
typedef struct CtlReply {
    const char *address;
    bool maybe_sent;         /* the daemon may have received the request */
    bool earlier_maybe_sent; /* a daemon that was tried before this one may
                                have received it; set by
                                CtlClient_SendUntilAnswered */
    int status;              /* HTTP status; 0: no answer */
    json_t *json; /* the body, an object if error is HR_OK; NULL if it is not
                     JSON */
    const char *text; /* the body as text; "" if there is none */
    size_t text_bytes;
    HrError error; /* HR_OK, or why the request failed */
} CtlReply;

/* Sends the same request to every address, up to 64 at a time, and waits until
 * each is answered or has failed. body may be NULL. Returns a talloc array of
 * count replies in the order of addresses; it belongs to parent, and freeing
 * it frees the JSON. */
CtlReply *CtlClient_SendRequests(const void *parent, const CtlOptions *options,
                                 const char *method, const char *path,
                                 const char *body,
                                 const char *const *addresses, uint32_t count);

/* Sends a request to the daemons of --daemon in turn until one returns an HTTP
 * status, even a failing one. Returns its reply, or that of the last daemon.
 * Prints an error and returns NULL if no daemon is named. */
CtlReply *CtlClient_SendUntilAnswered(const void *parent,
                                      const CtlOptions *options,
                                      const char *method, const char *path,
                                      const char *body);

/* Prints the error that no daemon is named, and how to name one. */
void CtlClient_ReportNoDaemon(void);

/* Returns the reason that an answer states, followed by its remedy if there is
 * one. The reason is "message", or "error" (the name of an error) without it;
 * the remedy is "remedy". The text belongs to parent. */
const char *CtlClient_FormatReason(const void *parent, json_t *answer);

/* Returns text percent-encoded for a query string. The result belongs to
 * parent. */
char *CtlClient_PercentEncode(const void *parent, const char *text);

#endif
