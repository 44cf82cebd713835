#ifndef HR_COMMON_HTTP_H
#define HR_COMMON_HTTP_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A request to a simulated service. */
typedef struct FakeRequest {
    struct MHD_Connection *connection;
    const char *method;
    const char *path;
    const char *body; /* terminated by a zero byte */
    size_t body_bytes;
} FakeRequest;

/* How a reply is sent. */
typedef enum FakeReplyKind {
    FAKE_REPLY_SEND,
    FAKE_REPLY_DROP,     /* close the connection without a reply */
    FAKE_REPLY_TRUNCATE, /* close it after half of the body */
} FakeReplyKind;

/* The reply that a handler fills in. body is NULL or a malloc buffer, which
 * the listener frees. */
typedef struct FakeReply {
    FakeReplyKind kind;
    unsigned int status;
    char *body;
    size_t body_bytes;
    bool has_revision;
    uint64_t revision; /* sent in the X-Revision header */
} FakeReply;

/* Answers a request by filling in the reply, which the listener then sends.
 * Called by several threads at once. */
typedef void (*FakeHandler)(void *context, const FakeRequest *request,
                            FakeReply *reply);

/* Starts a listener on 127.0.0.1 with one thread per connection, so that a
 * handler may block. Connections beyond the limit are closed right after they
 * are accepted. Exits the program if the port cannot be bound. */
struct MHD_Daemon *FakeHttp_StartListener(uint16_t port,
                                          uint32_t connection_limit,
                                          FakeHandler handler, void *context);

/* Returns a parameter of the URL, or NULL if it is absent. */
const char *FakeHttp_GetParam(const FakeRequest *request, const char *name);

/* Returns a parameter of the URL as a number, or fallback if it is absent. */
int64_t FakeHttp_GetParamNumber(const FakeRequest *request, const char *name,
                                int64_t fallback);

/* Returns the value of a header, or NULL if it is absent. */
const char *FakeHttp_GetHeader(const FakeRequest *request, const char *name);

/* Sets the status of a reply, and its body to a copy of a text. */
void FakeReply_SetText(FakeReply *reply, unsigned int status,
                       const char *text);

/* Sleeps for a duration; a signal does not shorten it. */
void FakeHttp_Sleep(int64_t duration_ns);

/* Waits for SIGTERM or SIGINT. FakeHttp_BlockSignals must have been called
 * before. */
void FakeHttp_WaitForStopSignal(void);

/* Blocks SIGTERM and SIGINT in this thread and those that it starts later, and
 * ignores SIGPIPE. */
void FakeHttp_BlockSignals(void);

#endif
