#ifndef HR_COMMON_HTTP_H
#define HR_COMMON_HTTP_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One request as the simulated services see it. */
typedef struct FakeRequest {
    struct MHD_Connection *connection;
    const char *method;
    const char *path;
    const char *body; /* terminated by a zero byte */
    size_t body_bytes;
} FakeRequest;

/* What happens to the reply. */
typedef enum FakeReplyKind {
    FAKE_REPLY_SEND,
    FAKE_REPLY_DROP,     /* close the connection without a reply */
    FAKE_REPLY_TRUNCATE, /* close it after half of the body */
} FakeReplyKind;

/* The reply that a handler fills in; body is released with free(). */
typedef struct FakeReply {
    FakeReplyKind kind;
    unsigned int status;
    char *body;
    size_t body_bytes;
    bool has_revision;
    uint64_t revision; /* sent as X-Revision */
} FakeReply;

typedef void (*FakeHandler)(void *context, const FakeRequest *request,
                            FakeReply *reply);

/* Starts a listener on 127.0.0.1 with a thread for each connection, so that
 * a handler may wait. Connections beyond the limit are closed right after
 * accept. Exits the program when the port cannot be bound. */
struct MHD_Daemon *FakeHttp_Start(uint16_t port, uint32_t connection_limit,
                                  FakeHandler handler, void *context);

/* Returns a query parameter, or NULL. */
const char *FakeHttp_Param(const FakeRequest *request, const char *name);

/* Returns a query parameter as a number, or fallback. */
int64_t FakeHttp_ParamNumber(const FakeRequest *request, const char *name,
                             int64_t fallback);

/* Returns a header, or NULL. */
const char *FakeHttp_Header(const FakeRequest *request, const char *name);

/* Sets a reply to a status and a copy of a text. */
void FakeReply_SetText(FakeReply *reply, unsigned int status,
                       const char *text);

/* Sleeps for a duration. */
void FakeHttp_Sleep(int64_t duration_ns);

/* Blocks until SIGTERM or SIGINT; call FakeHttp_BlockSignals first. */
void FakeHttp_WaitForStop(void);

/* Blocks SIGTERM and SIGINT in this thread and those it starts. */
void FakeHttp_BlockSignals(void);

#endif
