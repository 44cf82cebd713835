#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

/* Stand-ins for the users' platform, shared by the cases of this folder: the
 * platform's store, back-end servers, and gateways as processes. All run on
 * loopback addresses. Each connection is served by a thread of its own. */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define SITE_GATEWAYS_MAX 4
#define SITE_GRACE_MS 6000 /* from SIGTERM to SIGKILL: gracePeriodS */
#define SITE_HEAD_BYTES 16384

/* A message of HTTP/1.1 as read from a socket. */
typedef struct Message {
    char head[SITE_HEAD_BYTES + 1]; /* first line and header lines */
    char *body;
    size_t body_bytes;
} Message;

typedef struct Server Server;

/* Handles one request at a server. Returns false to close the connection. */
typedef bool ServerFn(Server *server, int fd, Message *request);

/* A back-end server that is listed in the store. */
struct Server {
    char id[32];
    char service[32];
    char zone[32];
    uint32_t slots;
    uint32_t queue_length; /* requests that may wait for a slot */
    ServerFn *fn;
    void *context;
    uint16_t port;
    int listen_fd;
    bool draining;
    bool listed;
    uint64_t sequence;
    const char *odd_service; /* not NULL: of the odd entry to write next */
    const char *odd_state;
    int64_t born_ms;
    pthread_mutex_t mutex; /* guards running and waiting */
    pthread_cond_t slot_free;
    uint32_t running;
    uint32_t waiting;
};

/* A gateway process with its addresses. */
typedef struct Gateway {
    char name[32];
    char zone[32];
    char address[16];
    uint16_t caller_port;
    uint16_t readiness_port;
    uint16_t directory_port;
    uint16_t metrics_port;
    pid_t pid; /* 0: not running */
    bool started_before;
} Gateway;

extern Gateway site_gateways[SITE_GATEWAYS_MAX];
extern uint32_t site_gateway_count;
extern uint16_t site_store_port;

/* Opens record.txt in the folder, starts the store, and prepares the gateways;
 * zones are their zones. Exits with status 2 on failure. */
void Site_Init(const char *record_path, const char *zones[], uint32_t count);

/* Ends all gateways and removes the temporary folder. */
void Site_End(void);

/* Returns the milliseconds since Site_Init. */
int64_t Site_NowMs(void);
void Site_SleepMs(int64_t duration_ms);

/* Writes one line to record.txt, with the time. */
void Site_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Prints a reason and ends the case with status 2: it could not run. */
void Site_Fail(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Writes or removes a key of the store. */
void Site_PutKey(const char *key, const char *text);
void Site_RemoveKey(const char *key);

/* Starts a server and lists it. */
void Site_StartServer(Server *server);

/* Overwrites the entry of a server as another writer does, right after the
 * server itself has written it. The fields version and coldRemainingMs are
 * missing. The server writes its own entry again 1.2 s later. */
void Site_WriteOddEntry(Server *server, const char *service,
                        const char *state);

/* Takes a slot of a server. Waits if all are in use. Returns false if the
 * queue is full or the caller has closed the connection meanwhile. */
bool Site_TakeSlot(Server *server, int fd);
void Site_ReleaseSlot(Server *server);

/* Works on a request for a time. Returns false if the caller closes the
 * connection before the end. */
bool Site_Work(int fd, int64_t duration_ms);

/* Starts a gateway, waits until it is ready, or signals it. */
void Site_StartGateway(Gateway *gateway);
void Site_WaitForGateway(Gateway *gateway);
void Site_SignalGateway(Gateway *gateway, int signal_number);

/* Waits until the process of a gateway has ended; after limit_ms, kills it.
 * Returns true if it ended by itself. */
bool Site_WaitForExit(Gateway *gateway, int64_t limit_ms);

/* Opens a connection; returns the descriptor or -1. */
int Site_Connect(const char *address, uint16_t port);

bool Site_SendAll(int fd, const void *data, size_t length);

/* Reads a message; is_answer without Content-Length ends with the connection.
 * Returns 1, 0 if the connection ended before the message was complete, or -1
 * at the time limit. Release the body with free(). */
int Site_ReadMessage(int fd, Message *message, int64_t limit_ms);

/* Copies the value of a header line to buf; returns false if it is absent. */
bool Site_FindHeader(const Message *message, const char *name, char *buf,
                     size_t buf_bytes);

int Site_GetStatus(const Message *answer);

/* Sends a successful answer with the id and the seal of a server. */
bool Site_SendSuccess(int fd, const Server *server, const char *id,
                      const char *body);

/* Sends an answer that states that the request was not run. */
bool Site_SendNotExecuted(int fd, int status, const char *id,
                          const char *header_lines);

#endif
