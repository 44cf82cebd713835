#ifndef HR_FAKE_SITE_H
#define HR_FAKE_SITE_H

/* Declarations shared by the files of the stand-in for the users' platform. */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "trans-h1-server.h"

#define KEYS_MAX 512
#define PAGE_ITEMS 50
#define EVENTS_MAX 4096
#define LEASES_MAX 1024
#define WATCHES_MAX 128
#define SERVERS_MAX 64u
#define RUNS_MAX 65536
#define IDENTITIES_MAX 8192
#define HEARTBEAT_PERIOD_NS (500 * HR_NS_PER_MS)
#define TICK_PERIOD_NS (20 * HR_NS_PER_MS)
#define CONNECTIONS_MAX 512
#define SLOW_CALLS_MAX 1024
#define SLOW_ANSWER_DELAY_NS (800 * HR_NS_PER_MS)
/* Servers that queue requests: the number of slots, the longest queue, and the
 * range of the time that a request takes. */
#define SERVER_SLOTS 2
#define SERVER_QUEUE_LENGTH 8
#define SERVER_WORK_MIN_MS 100
#define SERVER_WORK_MAX_MS 1300
#define LARGE_ANSWER_BYTES 3900000 /* SERVER_LARGE */

/* A key of the store with its value, or one change of a key. */
typedef struct Item {
    char key[256];
    char *value; /* base64; NULL: the key was removed */
    uint64_t revision;
    uint64_t lease_id;
} Item;

/* A lease of the store. */
typedef struct Lease {
    uint64_t id; /* 0: free */
    uint32_t ttl_ms;
    int64_t expires_ns;
} Lease;

/* A call that waits for changes of the keys with a prefix. */
typedef struct Watch {
    HrH1Call *call; /* NULL: free */
    char prefix[128];
    uint64_t after_revision;
    int64_t expires_ns;
} Watch;

typedef enum ServerMode {
    SERVER_OK,
    SERVER_SHED,   /* declines the request without running it */
    SERVER_SILENT, /* runs the request and never answers */
    SERVER_ERROR,  /* runs the request and answers with status 500 */
    SERVER_SLOW, /* runs the request and answers after SLOW_ANSWER_DELAY_NS */
    SERVER_BUSY, /* runs the request and answers with status 503, without the
                    statement that it did not run */
    SERVER_LEAVING, /* runs the request and states that it is leaving */
    SERVER_LOADED,  /* runs the request and states its load and that it is cold
                     */
    SERVER_GARBLED, /* runs the request and states its load and that it is cold
                       in invalid ways */
    SERVER_PAUSED,  /* declines the request and requests a pause */
    SERVER_STATUS,  /* runs the request and answers with answer_status */
    SERVER_QUEUE,   /* runs SERVER_SLOTS requests at once, each for a time that
                       depends on its id, and declines those beyond its queue
                     */
    SERVER_LARGE,   /* runs the request and answers with a large body */
    SERVER_LINES,   /* runs the request and answers with the header lines in
                       answer_lines instead of its id and digest */
} ServerMode;

/* A server that is listed in the store. */
typedef struct Server {
    uint32_t service;
    uint32_t replica;
    ServerMode mode;
    int answer_status;      /* SERVER_STATUS, SERVER_LINES */
    char answer_lines[512]; /* SERVER_LINES; "$" stands for the id of the
                               request */
    bool draining;
    bool listed;
    uint64_t sequence;
    char id[32];
    char zone; /* its name is this letter */
    uint16_t port;
    uint16_t listed_port; /* port of a relay to the server, listed instead of
                             port; 0: none */
    HrH1Server *listener;
    uint32_t runs;
    uint32_t declined;                  /* requests that it did not run */
    int64_t slot_free_ns[SERVER_SLOTS]; /* SERVER_QUEUE */
} Server;

/* The number of runs of the requests with one id. */
typedef struct Run {
    char id[40];
    uint32_t count;
} Run;

/* What one attempt of a request stated about its caller. */
typedef struct Identity {
    char id[40];
    char tenant[64]; /* "": there was no such header */
    uint32_t tenant_lines;
    uint32_t authorization_lines;
} Identity;

/* A request with a delayed answer. */
typedef struct SlowCall {
    HrH1Call *call; /* NULL: free */
    Server *server;
    int64_t due_ns;
} SlowCall;

/* The state of the stand-in. */
typedef struct Site {
    SlowCall slow[SLOW_CALLS_MAX];
    HrClock clock;
    HrLoop *loop;
    HrH1Server *store;
    HrLoopTimer *tick_timer;
    Item items[KEYS_MAX];
    uint32_t item_count;
    Item events[EVENTS_MAX];
    uint32_t event_count;
    uint64_t revision;
    Lease leases[LEASES_MAX];
    uint64_t last_lease_id;
    Watch watches[WATCHES_MAX];
    Server servers[SERVERS_MAX];
    uint32_t server_count;
    uint32_t service_count;
    uint32_t replica_count;
    bool store_busy;          /* answers 503 */
    bool store_silent;        /* does not answer */
    bool store_drops_answers; /* executes writes without answering them, and
                                 ignores other calls */
    uint64_t version;
    HrH1Limits limits; /* stated by the routes */
    int64_t next_heartbeat_ns;
    Run runs[RUNS_MAX];
    uint32_t run_count;
    Identity identities[IDENTITIES_MAX]; /* of the first attempts */
    uint32_t identity_count;
    uint64_t store_call_count;
    uint64_t gateway_read_count; /* of them, pages of the list of gateways */
    uint64_t lease_call_count;   /* of them, about leases */
    uint64_t era;                /* of the store; 0: its answers state none */
    Item copy[KEYS_MAX]; /* an older state, to restore the store from */
    uint32_t copy_count;
    uint64_t copy_revision;
} Site;

extern Site site;

/* Answers a call with a JSON body, and releases the body; NULL: no body. */
void FakeSite_SendJson(HrH1Call *call, int status, json_t *body);

/* Writes a key; a NULL value removes it. */
void FakeSite_WriteKey(const char *key, const char *value, uint64_t lease_id);

/* Writes a text as the base64 value of a key. */
void FakeSite_WriteDocument(const char *key, const char *text);

/* Copies the state of the store. */
void FakeSite_CopyStore(void);

/* Restores the store from the copy: later writes are lost, all leases are
 * gone, and a new era begins. */
void FakeSite_RestoreStore(void);

/* Returns the number of keys with a prefix that have a valid lease. */
uint32_t FakeSite_CountLeased(const char *prefix);

/* Answers the watches that have a change to report or have waited for their
 * wait time. */
void FakeSite_AnswerWatches(void);

/* Ends a lease and removes its keys. */
void FakeSite_EndLease(Lease *lease);

/* Handles a call to the store, or a control call below /test/. */
void FakeSite_HandleStoreCall(void *arg, HrH1Call *call);

/* Handles a control call of a test, whose path starts with /test/. */
void FakeSite_HandleTestCall(HrH1Call *call);

/* Removes a watch whose caller has disconnected. */
void FakeSite_RemoveWatch(void *arg, HrH1Call *call);

#endif
