#ifndef HR_TRANS_H1_CLIENT_INT_H
#define HR_TRANS_H1_CLIENT_INT_H

/* Declarations shared by the files of the HTTP/1.1 client. */

#include <bsd/sys/queue.h>
#include <http_parser.h>

#include "base-buffer.h"
#include "state-address.h"
#include "trans-h1-client.h"

typedef enum HrH1ClientConnState {
    HR_H1_CLIENT_CONN_CONNECTING,
    HR_H1_CLIENT_CONN_BUSY, /* a request is being written, or waits for its
                               answer */
    HR_H1_CLIENT_CONN_IDLE,
} HrH1ClientConnState;

/* One connection. It is also the handle of the request in progress on it. */
struct HrH1ClientConn {
    TAILQ_ENTRY(HrH1ClientConn) entry;
    HrH1Target *target;
    int fd;
    HrLoopFd *watch;
    HrH1ClientConnState state;
    int64_t deadline_ns; /* when a connection that is connecting, idle or
                            abandoned is closed; otherwise HR_TIME_NEVER */
    int64_t idle_since_ns;
    http_parser parser;
    HrHeaders headers;
    HrBuffer body;
    HrBuffer out;
    HrH1Body *shared_body; /* to be sent after out; NULL: none */
    size_t shared_sent_bytes;
    size_t head_bytes;     /* of a head or trailers that are not complete */
    const char *input_end; /* of the bytes that are being parsed */
    HrH1ResultFn *fn;      /* NULL: abandoned or idle */
    void *arg;
    char *echo;            /* id expected in the echo header; NULL: any */
    uint64_t answer_bytes; /* received since the request was sent */
    size_t buffered_bytes; /* share in HrH1Client.buffered_bytes */
    size_t reserved_bytes; /* part of buffered_bytes that is not received yet
                            */
    size_t queued_bytes;   /* of out, recorded in the budget */
    int64_t received_ns;   /* when bytes were last received */
    TAILQ_ENTRY(HrH1ClientConn) waiting_entry;
    bool is_head;
    bool fresh; /* no complete answer has been received on this connection yet
                 */
    bool may_have_sent;      /* a part of the request may have been sent */
    bool answer_started;     /* a byte of the answer was received */
    bool skipping_answer;    /* the answer being read belongs to an earlier
                                request */
    bool close_after_answer; /* the connection must not be used for another
                                request */
    bool answer_complete;    /* the answer was received completely */
    bool answer_too_large;
    bool has_shared_body; /* the request in progress has one, or had it */
    bool head_complete;
    bool at_head_end;  /* the parser has stopped before the line feed that ends
                          the head */
    bool at_line_end;  /* the parser has stopped behind the line of a chunk */
    uint8_t last_byte; /* the last one that was parsed */
    bool waiting;      /* for room for the answer; not being read */
    bool dead;
};

TAILQ_HEAD(HrH1ClientConnList, HrH1ClientConn);

struct HrH1Target {
    TAILQ_ENTRY(HrH1Target) entry;
    HrH1Client *client;
    HrSockAddress address;
    struct HrH1ClientConnList busy; /* connecting, or with a request */
    struct HrH1ClientConnList idle; /* the most recently used one first */
    uint32_t open_count;
    uint32_t idle_count;
};

TAILQ_HEAD(HrH1TargetList, HrH1Target);

struct HrH1Client {
    HrLoop *loop;
    HrH1ClientConfig config;
    HrLoopTimer *sweep; /* closes overdue connections, frees closed ones */
    struct HrH1TargetList targets;
    struct HrH1ClientConnList dead; /* closed; freed by the next sweep */
    uint64_t opened_count;
    struct HrH1ClientConnList waiting; /* for room, by waiting_entry */
    size_t buffered_bytes; /* header lines and bodies of all incomplete
                              answers, and what is reserved for them */
};

/* Subtracts the body of a connection from the buffered bytes of its client,
 * when the answer is complete or the connection is closed. */
void HrH1ClientConn_ReleaseBuffered(HrH1ClientConn *conn);

/* Reserves memory for the body of an answer that states its length, or has the
 * connection wait for it. */
void HrH1ClientConn_ReserveBody(HrH1ClientConn *conn, size_t length);

/* Lets waiting connections continue as far as there is room for their answers.
 * Gives up an answer that has stopped if it keeps others waiting. */
void HrH1Client_ContinueWaiting(HrH1Client *client, int64_t now_ns);

/* Returns true if a part of the request is not written yet. */
bool HrH1ClientConn_HasUnsent(const HrH1ClientConn *conn);

/* Sets the events for which a connection waits. */
void HrH1ClientConn_Watch(HrH1ClientConn *conn);

/* Records the memory of the unsent request in the budget of the client. */
void HrH1ClientConn_RecordQueued(HrH1ClientConn *conn);

/* Frees what was received of an incomplete answer. */
void HrH1ClientConn_DropAnswer(HrH1ClientConn *conn);

/* Closes a connection. Its memory is freed by the next sweep. */
void HrH1ClientConn_Close(HrH1ClientConn *conn);

/* Closes a connection. Reports to the receiver, unless the request was
 * abandoned, that the request ended without a complete answer. */
void HrH1ClientConn_FailRequest(HrH1ClientConn *conn);

/* Parses received bytes of an answer. A length of 0 means that the server
 * closed the connection. */
void HrH1ClientConn_ParseAnswer(HrH1ClientConn *conn, const uint8_t *data,
                                size_t length);

#endif
