#ifndef HR_TRANS_H1_CLIENT_H
#define HR_TRANS_H1_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"
#include "proto-headers.h"
#include "trans-h1-body.h"
#include "trans-loop.h"
#include "trans-memory.h"

/* An HTTP/1.1 client with persistent connections. It sends a request on one
 * connection and never sends it again. The outcome shows whether the server
 * may have received the request. */
typedef struct HrH1Client HrH1Client;

/* An address of a server, with the connections to it. */
typedef struct HrH1Target HrH1Target;

/* A connection, which is also the handle of the request in progress on it.
 * Valid as a handle until the result of the request, or until it is abandoned.
 */
typedef struct HrH1ClientConn HrH1ClientConn;

/* Time limits and other settings of a client. */
typedef struct HrH1ClientConfig {
    int64_t connect_timeout_ns;
    int64_t idle_ns; /* idle connections are closed after this time */
    size_t max_answer_bytes;
    /* Limit of the received bytes of all incomplete answers together, header
     * lines and bodies; 0: none. If it would be exceeded the largest of these
     * answers fails. */
    size_t max_buffered_bytes;
    /* Budget in which the memory of requests and of incomplete answers is
     * recorded; it must outlive the client. A large answer that states its
     * length is received when there is room for all of it; its server waits
     * meanwhile. If another answer would exceed the budget even after memory
     * was reclaimed, the largest one fails. NULL: none. */
    HrMemory *memory;
    uint32_t silent_timeout_s; /* a connection fails if the other end is silent
                                  for this time */
    /* Header in which an answer returns the id of its request; NULL: none. An
     * answer with another id is a late answer to an earlier request and is
     * skipped. */
    const char *echo_header;
} HrH1ClientConfig;

/* A request. The data that it points to is copied, except for shared_body. */
typedef struct HrH1Request {
    HrBytes head; /* request line and header lines, including the empty line */
    HrBytes body;
    HrH1Body *shared_body; /* sent instead of body; the client holds a
                              reference until it is written; NULL: none */
    const char *echo;      /* id expected in the echo header; NULL: any */
    bool is_head;          /* a HEAD request: the answer has no body */
    bool fresh;            /* send it on a new connection */
    /* Connections that have been idle for longer are not used, because the
     * server may be closing them. */
    int64_t max_idle_ns;
} HrH1Request;

/* How a request ended. */
typedef enum HrH1Outcome {
    HR_H1_ANSWERED, /* a complete answer was received */
    HR_H1_NOT_SENT, /* no byte of the request was sent */
    HR_H1_LOST, /* the server may have read the request; no byte of an answer
                   was received */
    HR_H1_BAD_ANSWER, /* the server read the request; its answer is incomplete,
                         malformed or too large */
} HrH1Outcome;

/* The result of a request. Pointers are valid during the callback only. */
typedef struct HrH1Result {
    HrH1Outcome outcome;
    int status;
    const HrHeaders *headers;
    HrBytes body;
    bool fresh;   /* the connection was new */
    bool closing; /* the server closes the connection after the answer */
} HrH1Result;

/* Called with the result of a request. */
typedef void HrH1ResultFn(void *arg, const HrH1Result *result);

/* Creates a client, as a talloc child of parent. The loop must outlive it.
 * Returns NULL if memory runs out. */
HrH1Client *HrH1Client_Create(const void *parent, HrLoop *loop,
                              const HrH1ClientConfig *config);

/* Creates a target, as a talloc child of parent. Freeing it closes its
 * connections; the requests on them end without a call of fn. Returns NULL if
 * the address is malformed or memory runs out. */
HrH1Target *HrH1Target_Create(const void *parent, HrH1Client *client,
                              const char *address);

/* Return the number of open connections, and the number of idle ones among
 * them. */
uint32_t HrH1Target_GetOpenCount(const HrH1Target *target);
uint32_t HrH1Target_GetIdleCount(const HrH1Target *target);

/* Closes the idle connections. */
void HrH1Target_CloseIdle(HrH1Target *target);

/* Returns the number of connections opened since the client was created. */
uint64_t HrH1Client_GetOpenedCount(const HrH1Client *client);

/* Sends a request. fn is called exactly once, after this call has returned,
 * unless the request is abandoned. Returns NULL if the request is not sent
 * because no connection can be opened or memory runs out; fn is not called
 * then. */
HrH1ClientConn *HrH1Target_SendRequest(HrH1Target *target,
                                       const HrH1Request *request,
                                       HrH1ResultFn *fn, void *arg);

/* Abandons a request, so that fn is not called. If the answer is received
 * within wait_ns, the connection stays open for further requests; otherwise it
 * is closed. If wait_ns is 0, or the connection is not established yet, it is
 * closed at once; most servers then stop processing the request. */
void HrH1ClientConn_AbandonRequest(HrH1ClientConn *conn, int64_t wait_ns);

/* Returns when bytes were last received on the connection; 0: never. */
int64_t HrH1ClientConn_GetReceivedNs(const HrH1ClientConn *conn);

/* Returns true if a part of the request may have been sent. */
bool HrH1ClientConn_MayHaveSentRequest(const HrH1ClientConn *conn);

#endif
