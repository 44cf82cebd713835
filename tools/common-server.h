#ifndef HR_COMMON_SERVER_H
#define HR_COMMON_SERVER_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "base-clock.h"
#include "base-rng.h"

#define FAKE_MAX_VERSIONS 8 /* index versions of a server */
#define FAKE_NAME_BYTES 64
#define FAKE_ID_BYTES 96
#define FAKE_COLD_NS (5 * HR_NS_PER_S) /* duration of the cold state */

typedef enum FakeServerState {
    FAKE_SERVER_READY,
    FAKE_SERVER_COLD, /* slow start: service takes 5 times as long */
    FAKE_SERVER_DRAINING,
} FakeServerState;

typedef enum FakeFault {
    FAKE_FAULT_NONE,
    FAKE_FAULT_LATE,          /* the service time is ten times as long */
    FAKE_FAULT_WRONG_ID,      /* answers with another attempt id */
    FAKE_FAULT_WRONG_VERSION, /* answers with another index version */
    FAKE_FAULT_TRUNCATED, /* closes the connection after half of the answer */
    FAKE_FAULT_LOST,      /* runs the request and closes without an answer */
    FAKE_FAULT_SILENT,    /* leaves the connection open for 20 s without an
                             answer */
    FAKE_FAULT_SHED,      /* refuses the request as if overloaded */
    FAKE_FAULT_ERROR,     /* answers with status 500 */
} FakeFault;

extern const char *const fake_fault_names[];
extern const char *const fake_state_names[];
#define FAKE_FAULT_COUNT 9
#define FAKE_STATE_COUNT 3

/* A request that is waiting for a slot or running. */
typedef struct FakeOpenRequest {
    char id[FAKE_ID_BYTES];
    bool cancelled;
    struct FakeOpenRequest *next;
} FakeOpenRequest;

/* How often a non-idempotent request ran, by its request id. */
typedef struct FakeRunCount {
    char *request_id;
    uint32_t runs;
    UT_hash_handle hh;
} FakeRunCount;

/* Settings and state that the servers of the pool share. mutex protects rng,
 * runs and executed. */
typedef struct FakePool {
    const char *name;
    uint32_t groups;
    uint32_t replicas;
    uint32_t slots;
    uint32_t connections;
    int64_t service_ns;
    HrClock clock;
    pthread_mutex_t mutex;
    HrRng rng;
    FakeRunCount *runs;
    uint64_t executed; /* runs of non-idempotent requests */
} FakePool;

/* A server of the pool. mutex protects the fields below it. */
typedef struct FakeServer {
    FakePool *pool;
    char name[FAKE_NAME_BYTES];
    uint32_t group;
    uint64_t start_id;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    FakeServerState state;
    int64_t cold_end_ns; /* monotonic time */
    uint32_t running;    /* requests that hold a slot */
    uint32_t queued;     /* requests that wait for a slot */
    uint64_t versions[FAKE_MAX_VERSIONS];
    uint32_t version_count;
    FakeFault fault;
    double fault_rate;
    FakeOpenRequest *open_requests;
    uint64_t started;     /* requests that acquired a slot */
    uint64_t shed;        /* requests refused because the queue was full */
    uint64_t max_running; /* highest value of running */
} FakeServer;

/* The headers of a search request. */
typedef struct FakeSearch {
    const char *query_id;
    uint64_t attempt_id;
    const char *shard;
    uint64_t version;
    int64_t deadline_ns; /* monotonic time */
    bool idempotent;
} FakeSearch;

/* Returns the index of a name in a list, or fallback if name is NULL or not in
 * the list. */
int Fake_FindNameIndex(const char *const *names, int count, const char *name,
                       int fallback);

/* Returns a random number from the pool's generator, uniform in [0, 1). */
double FakePool_DrawUniform(FakePool *pool);

/* Returns true if a server holds an index version. */
bool FakeServer_HasVersion(const FakeServer *server, uint64_t version);

/* Returns true if a shard of a version belongs to the server's group. */
bool FakeServer_HasShard(const FakeServer *server, uint64_t version,
                         const char *shard);

/* Returns the JSON description of a version and the shards of the server's
 * group in it. */
json_t *FakeServer_DescribeVersion(const FakeServer *server, uint64_t version);

/* Changes the cold state to ready when its time is over, and returns the
 * state. The caller holds the mutex of the server. */
FakeServerState FakeServer_UpdateState(FakeServer *server);

/* Writes the id that identifies a request when it is cancelled; id has room
 * for FAKE_ID_BYTES. */
void FakeServer_FormatId(char *id, const char *query_id, uint64_t attempt_id);

/* Waits in the queue for a slot and acquires it. Returns NULL, or the status
 * of the answer to a request that has not run: "shed" if the queue is full,
 * "declined" if it was cancelled or no slot was free before its deadline. The
 * caller holds the mutex of the server. */
const char *FakeServer_AcquireSlot(FakeServer *server,
                                   const FakeSearch *search,
                                   const FakeOpenRequest *open_request);

/* Counts a run of a non-idempotent request under the request_id in its
 * payload. */
void FakePool_CountRun(FakePool *pool, const char *body);

/* Simulates a request that holds a slot and then frees the slot. Waits for a
 * random service time, or until the request is cancelled if it is idempotent;
 * returns false in that case. The caller must not hold the mutex of the
 * server. */
bool FakeServer_RunRequest(FakeServer *server, const FakeSearch *search,
                           FakeFault fault,
                           const FakeOpenRequest *open_request);

/* Removes a request from the server's list. The caller holds the mutex of the
 * server. */
void FakeServer_RemoveRequest(FakeServer *server,
                              const FakeOpenRequest *open_request);

/* Adds a request to the server's list. The caller holds the mutex of the
 * server. */
FakeOpenRequest *FakeServer_AddRequest(FakeServer *server,
                                       const FakeSearch *search);

/* Sets the index versions of a server from a list such as "7,8"; at most
 * FAKE_MAX_VERSIONS are read. */
void FakeServer_ParseVersions(FakeServer *server, const char *text);

/* Initializes the server with the given index in the pool. */
void FakeServer_Init(FakeServer *server, FakePool *pool, uint32_t index,
                     const char *versions);

#endif
