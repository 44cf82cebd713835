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
    HrH1Server *server;
    int fd;
    HrLoopFd *watch;
    HrH1ConnState state;
    int64_t state_since_ns; /* when the current state was entered */
    http_parser parser;
    HrH1Call call;
    HrBuffer target;
    HrBuffer body;
    HrBuffer pending; /* received but not parsed yet */
    HrBuffer out;
    uint32_t header_bytes;
    int refusal_status; /* status with which the request is refused; 0: it is
                           not refused */
    bool headers_complete;
    bool message_complete;
    bool keep_alive;
    bool is_parsing; /* parse_pending or read_input is parsing; finish_answer
                        must not start another loop */
    bool more_received; /* while parsing: bytes follow the current request */
    bool dead;
} HrH1Conn;

TAILQ_HEAD(HrH1ConnList, HrH1Conn);

struct HrH1Server {
    HrLoop *loop;
    int fd;
    HrLoopFd *watch;
    HrLoopTimer *sweep; /* closes overdue connections, frees closed ones */
    HrH1Limits limits;
    uint32_t max_connections;
    HrH1CallFn *call_fn;
    HrH1DisconnectFn *disconnect_fn;
    void *arg;
    struct HrH1ConnList conns;
    struct HrH1ConnList dead; /* closed; freed by the next sweep */
    uint32_t conn_count;
    uint32_t open_calls;
    bool draining;
    bool closed;
};

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
