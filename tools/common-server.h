#ifndef HR_COMMON_SERVER_H
#define HR_COMMON_SERVER_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "base-clock.h"
#include "base-rng.h"

#define FAKE_MAX_VERSIONS 8
#define FAKE_NAME_BYTES 64
#define FAKE_ID_BYTES 96
#define FAKE_COLD_NS (5 * HR_NS_PER_S) /* length of a slow start */

typedef enum FakeServerState {
    FAKE_SERVER_READY,
    FAKE_SERVER_COLD,
    FAKE_SERVER_DRAINING,
} FakeServerState;

typedef enum FakeFault {
    FAKE_FAULT_NONE,
    FAKE_FAULT_LATE,     /* ten times the service time */
    FAKE_FAULT_WRONG_ID, /* answers with another attempt id */
    FAKE_FAULT_WRONG_VERSION,
    FAKE_FAULT_TRUNCATED, /* closes the connection after half of the answer */
    FAKE_FAULT_LOST,      /* runs the request and closes without an answer */
    FAKE_FAULT_SILENT,    /* keeps the connection open without an answer */
    FAKE_FAULT_SHED,
    FAKE_FAULT_ERROR, /* answers 500 */
} FakeFault;

extern const char *const fake_fault_names[];
extern const char *const fake_state_names[];
#define FAKE_FAULT_COUNT 9
#define FAKE_STATE_COUNT 3

/* A request that waits for a slot or runs. */
typedef struct FakeRunning {
    char id[FAKE_ID_BYTES];
    bool cancelled;
    struct FakeRunning *next;
} FakeRunning;

/* How often one non-idempotent request ran, by its request id. */
typedef struct FakeRunCount {
    char *request_id;
    uint32_t runs;
    UT_hash_handle hh;
} FakeRunCount;

/* Settings and state shared by the servers of the pool. */
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
    uint64_t executed;
} FakePool;

typedef struct FakeServer {
    FakePool *pool;
    char name[FAKE_NAME_BYTES];
    uint32_t group;
    uint64_t start_id;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    FakeServerState state;
    int64_t cold_end_ns;
    uint32_t running;
    uint32_t queued;
    uint64_t versions[FAKE_MAX_VERSIONS];
    uint32_t version_count;
    FakeFault fault;
    double fault_rate;
    FakeRunning *requests;
    uint64_t started;
    uint64_t shed;
    uint64_t max_running;
} FakeServer;

/* The fields of a search request. */
typedef struct FakeSearch {
    const char *query_id;
    uint64_t attempt_id;
    const char *shard;
    uint64_t version;
    int64_t deadline_ns;
    bool idempotent;
} FakeSearch;

/* Returns the index of a name in a list, or fallback. */
int Fake_FindName(const char *const *names, int count, const char *name,
                  int fallback);

/* Draws from the pool's random numbers. */
double FakePool_DrawUnit(FakePool *pool);

/* Returns true if a server holds an index version. */
bool FakeServer_HasVersion(const FakeServer *server, uint64_t version);

/* Returns true if the server holds a shard in a version. */
bool FakeServer_HasShard(const FakeServer *server, uint64_t version,
                         const char *shard);

/* Describes the shards of one version. */
json_t *FakeServer_DescribeVersion(const FakeServer *server, uint64_t version);

/* Returns the state, ending a slow start whose time is over. */
FakeServerState FakeServer_CurrentState(FakeServer *server);

/* Writes the id under which a request can be cancelled. */
void FakeServer_FormatId(char *id, const char *query_id, uint64_t attempt_id);

/* Takes a slot, waiting in the queue. Returns NULL, or the status with which
 * the request is turned away without having run; the mutex is held. */
const char *FakeServer_TakeSlot(FakeServer *server, const FakeSearch *search,
                                const FakeRunning *entry);

/* Counts a run of a non-idempotent request by its id in the payload. */
void FakePool_CountRun(FakePool *pool, const char *body);

/* Runs a request that holds a slot, until its time is over or, if it is
 * idempotent, until it is cancelled. Returns false when it was cancelled. */
bool FakeServer_Run(FakeServer *server, const FakeSearch *search,
                    FakeFault fault, const FakeRunning *entry);

/* Removes a request from the server's list; the mutex is held. */
void FakeServer_RemoveRequest(FakeServer *server, const FakeRunning *entry);

/* Adds a request to the server's list. */
FakeRunning *FakeServer_AddRequest(FakeServer *server,
                                   const FakeSearch *search);

/* Reads a list of versions such as "7,8". */
void FakeServer_ParseVersions(FakeServer *server, const char *text);

/* Prepares one server. */
void FakeServer_Init(FakeServer *server, FakePool *pool, uint32_t index,
                     const char *versions);

#endif
