#ifndef HR_TRANS_H1_SERVER_INT_H
#define HR_TRANS_H1_SERVER_INT_H

/* Declarations shared by the files of the HTTP/1.1 listener. */

#include <bsd/sys/queue.h>
#include <http_parser.h>

#include "base-buffer.h"
#include "trans-h1-server.h"

typedef enum HrH1ConnState {
    HR_H1_CONN_IDLE,      /* between two requests */
    HR_H1_CONN_READING,   /* a request is being received */
    HR_H1_CONN_ANSWERING, /* a complete request waits for its answer */
    HR_H1_CONN_WRITING,   /* an answer is being written */
    HR_H1_CONN_LINGERING, /* a request was refused; further bytes of the caller
                             are discarded */
} HrH1ConnState;

typedef struct HrH1Conn {
    TAILQ_ENTRY(HrH1Conn) entry;
    SLIST_ENTRY(HrH1Conn) reclaimed_entry;
    TAILQ_ENTRY(HrH1Conn) yielded_entry;
    HrH1Server *server;
    int fd;
    HrLoopFd *watch;
    HrH1ConnState state;
    int64_t state_since_ns; /* when the current state was entered */
    int64_t progress_ns;    /* when bytes were last received or sent */
    int64_t held_since_ns;  /* start of the state, or when the last
                               PROGRESS_BYTES of it were transferred */
    size_t moved_bytes;     /* transferred since held_since_ns */
    size_t held_bytes;      /* recorded in the budget of the listener */
    int unsent_bytes;       /* in the kernel, when last checked */
    HrH1Limits limits;      /* in force when the current state began */
    http_parser parser;
    HrH1Call call;
    HrBuffer target;
    HrBuffer body;
    HrBuffer pending; /* received but not parsed yet */
    HrBuffer out;
    uint32_t header_bytes; /* of the target, the names and the values */
    uint64_t head_bytes;   /* all bytes of an incomplete head, or trailers */
    const char *input_end; /* of the bytes that are being parsed */
    int refusal_status; /* status with which the request is refused; 0: it is
                           not refused */
    bool headers_complete;
    bool message_complete;
    bool keep_alive;
    bool is_parsing; /* parse_pending or read_input is parsing; finish_answer
                        must not start another loop */
    bool more_received; /* while parsing: bytes follow the current request */
    uint32_t burst;     /* requests passed on since it last gave way to other
                           connections */
    bool yielded;       /* has more requests, which wait for the next round of
                           the loop */
    bool reclaimed;     /* its memory was reclaimed; it is closed by the next
                           round of the loop */
    bool dead;
} HrH1Conn;

TAILQ_HEAD(HrH1ConnList, HrH1Conn);
SLIST_HEAD(HrH1ConnStack, HrH1Conn);

struct HrH1Server {
    HrLoop *loop;
    int fd;
    HrLoopFd *watch;
    HrLoopTimer *sweep; /* closes overdue connections, frees closed ones */
    HrLoopTimer *reclaim_timer; /* closes connections without memory */
    HrLoopTimer *yield_timer;   /* continues with yielded connections */
    HrH1Limits limits;
    HrMemory *memory; /* NULL: none */
    uint32_t max_connections;
    HrH1HeadFn *head_fn; /* NULL: none */
    HrH1CallFn *call_fn;
    HrH1DisconnectFn *disconnect_fn;
    void *arg;
    struct HrH1ConnList conns; /* the one without progress the longest first
                                */
    struct HrH1ConnStack reclaimed;
    struct HrH1ConnList yielded; /* by yielded_entry */
    struct HrH1ConnList dead;    /* closed; freed by the next sweep */
    uint32_t conn_count;
    uint32_t open_calls;
    bool draining;
    bool closed;
};

/* Records the memory of a connection in the budget of its listener. */
void HrH1Conn_RecordMemory(HrH1Conn *conn);

/* Frees the buffers of a connection that is not being parsed. */
void HrH1Conn_ReleaseBuffers(HrH1Conn *conn);

/* Continues with the requests of a connection that has yielded. */
void HrH1Conn_Resume(HrH1Conn *conn);

/* Sets the state and the time of its start. */
void HrH1Conn_SetState(HrH1Conn *conn, HrH1ConnState state);

/* Closes a connection. Its memory is freed by the next sweep. Reports the
 * disconnect of the caller if a request waits for its answer. */
void HrH1Conn_Close(HrH1Conn *conn);

/* Answers a request that cannot be accepted with a status, and then closes the
 * connection. */
void HrH1Conn_Refuse(HrH1Conn *conn, int status);

/* Handles events of a connection: readable, writable or failed. arg is the
 * connection. */
void HrH1Conn_HandleEvents(void *arg, int fd, uint32_t events);

#endif
