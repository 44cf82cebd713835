#include "common-server.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define COLD_SERVICE_FACTOR 5
#define MAX_QUEUED_PER_SLOT 2

const char *const fake_fault_names[] = {
    "none", "late",   "wrong_id", "wrong_version", "truncated",
    "lost", "silent", "shed",     "error"};
const char *const fake_state_names[] = {"ready", "cold", "draining"};

/* Returns the index of a name in a list, or fallback if name is NULL or not in
 * the list. */
int
Fake_FindNameIndex(const char *const *names, int count, const char *name,
                   int fallback)
{
    int i;

    for (i = 0; name != NULL && i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    return fallback;
}

/* Returns a random number from the pool's generator, uniform in [0, 1). */
double
FakePool_DrawUniform(FakePool *pool)
{
    double value;

    pthread_mutex_lock(&pool->mutex);
    value = HrRng_DrawUnit(&pool->rng);
    pthread_mutex_unlock(&pool->mutex);
    return value;
}

/* Returns true if a server holds an index version. */
bool
FakeServer_HasVersion(const FakeServer *server, uint64_t version)
{
    uint32_t i;

    for (i = 0; i < server->version_count; i++) {
        if (server->versions[i] == version) {
            return true;
        }
    }
    return false;
}

/* Returns the number of shards of a group in a version: two in an even
 * version, one in an odd one. */
static uint32_t
get_shard_count(uint64_t version)
{
    return version % 2 == 0 ? 2 : 1;
}

/* Writes the name of a shard; part is its index in the group. */
static void
format_shard_name(const FakeServer *server, uint64_t version, uint32_t part,
                  char *name, size_t name_bytes)
{
    if (get_shard_count(version) == 1) {
        snprintf(name, name_bytes, "%s-%02u", server->pool->name,
                 server->group);
        return;
    }
    snprintf(name, name_bytes, "%s-%02u%c", server->pool->name, server->group,
             (char)('a' + part));
}

/* Returns the first key of a slice, if the range of 64-bit keys is divided
 * into equal slices. */
static uint64_t
compute_slice_start(uint64_t slice, uint64_t slices)
{
    return (uint64_t)((((unsigned __int128)1 << 64) * slice) / slices);
}

/* Returns true if a shard of a version belongs to the server's group. */
bool
FakeServer_HasShard(const FakeServer *server, uint64_t version,
                    const char *shard)
{
    uint32_t i;
    char name[FAKE_NAME_BYTES];

    for (i = 0; i < get_shard_count(version); i++) {
        format_shard_name(server, version, i, name, sizeof(name));
        if (strcmp(name, shard) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the JSON description of a version and the shards of the server's
 * group in it. */
json_t *
FakeServer_DescribeVersion(const FakeServer *server, uint64_t version)
{
    json_t *shards = json_array();
    uint32_t i, parts = get_shard_count(version);
    uint64_t slices = (uint64_t)server->pool->groups * parts;
    char name[FAKE_NAME_BYTES], from[17], to[17];

    for (i = 0; i < parts; i++) {
        uint64_t slice = (uint64_t)server->group * parts + i;
        uint64_t end = slice + 1 == slices
                           ? UINT64_MAX
                           : compute_slice_start(slice + 1, slices);

        format_shard_name(server, version, i, name, sizeof(name));
        snprintf(from, sizeof(from), "%016" PRIx64,
                 compute_slice_start(slice, slices));
        snprintf(to, sizeof(to), "%016" PRIx64,
                 slice + 1 == slices ? end : end - 1);
        json_array_append_new(shards,
                              json_pack("{s:s,s:s,s:s}", "name", name,
                                        "key_from", from, "key_to", to));
    }
    return json_pack("{s:I,s:o}", "version", (json_int_t)version, "shards",
                     shards);
}

/* Changes the cold state to ready when its time is over, and returns the
 * state. The caller holds the mutex of the server. */
FakeServerState
FakeServer_UpdateState(FakeServer *server)
{
    if (server->state == FAKE_SERVER_COLD &&
        HrClock_GetMonotonicNs(&server->pool->clock) >= server->cold_end_ns) {
        server->state = FAKE_SERVER_READY;
    }
    return server->state;
}

/* Writes the id that identifies a request when it is cancelled; id has room
 * for FAKE_ID_BYTES. */
void
FakeServer_FormatId(char *id, const char *query_id, uint64_t attempt_id)
{
    snprintf(id, FAKE_ID_BYTES, "%s/%" PRIu64, query_id, attempt_id);
}

/* Waits until the state of the server changes or the monotonic time end_ns is
 * reached. The caller holds the mutex of the server. */
static void
wait_until(FakeServer *server, int64_t end_ns)
{
    struct timespec end;
    int64_t left_ns = end_ns - HrClock_GetMonotonicNs(&server->pool->clock);

    clock_gettime(CLOCK_REALTIME, &end);
    end = HrTime_FromNs(HrTime_ToNs(end) + (left_ns < 0 ? 0 : left_ns));
    pthread_cond_timedwait(&server->changed, &server->mutex, &end);
}

/* Waits in the queue for a slot and acquires it. Returns NULL, or the status
 * of the answer to a request that has not run. */
const char *
FakeServer_AcquireSlot(FakeServer *server, const FakeSearch *search,
                       const FakeOpenRequest *open_request)
{
    uint32_t slots = server->pool->slots;

    if (server->queued >= slots * MAX_QUEUED_PER_SLOT) {
        server->shed++;
        return "shed";
    }
    server->queued++;
    while (server->running >= slots && !open_request->cancelled &&
           HrClock_GetMonotonicNs(&server->pool->clock) <
               search->deadline_ns) {
        wait_until(server, search->deadline_ns);
    }
    server->queued--;
    if (server->running >= slots || open_request->cancelled) {
        return "declined";
    }
    server->running++;
    server->started++;
    if (server->running > server->max_running) {
        server->max_running = server->running;
    }
    return NULL;
}

/* Counts a run of a non-idempotent request under the request_id in its
 * payload. */
void
FakePool_CountRun(FakePool *pool, const char *body)
{
    json_t *payload = json_loads(body, JSON_DECODE_ANY, NULL);
    const char *id = json_string_value(json_object_get(payload, "request_id"));
    FakeRunCount *count = NULL;

    pthread_mutex_lock(&pool->mutex);
    pool->executed++;
    if (id != NULL) {
        HASH_FIND_STR(pool->runs, id, count);
        if (count == NULL) {
            count = calloc(1, sizeof(*count));
            if (count == NULL) {
                abort();
            }
            count->request_id = strdup(id);
            HASH_ADD_KEYPTR(hh, pool->runs, count->request_id, strlen(id),
                            count);
        }
        count->runs++;
    }
    pthread_mutex_unlock(&pool->mutex);
    json_decref(payload);
}

/* Simulates a request that holds a slot and then frees the slot. Returns false
 * if it was cancelled. */
bool
FakeServer_RunRequest(FakeServer *server, const FakeSearch *search,
                      FakeFault fault, const FakeOpenRequest *open_request)
{
    FakePool *pool = server->pool;
    int64_t duration_ns = (int64_t)((0.5 + FakePool_DrawUniform(pool)) *
                                    (double)pool->service_ns);
    int64_t end_ns;
    bool cancelled;

    if (fault == FAKE_FAULT_LATE) {
        duration_ns *= 10;
    }
    pthread_mutex_lock(&server->mutex);
    if (FakeServer_UpdateState(server) == FAKE_SERVER_COLD) {
        duration_ns *= COLD_SERVICE_FACTOR;
    }
    end_ns = HrClock_GetMonotonicNs(&pool->clock) + duration_ns;
    while (HrClock_GetMonotonicNs(&pool->clock) < end_ns &&
           !(open_request->cancelled && search->idempotent)) {
        wait_until(server, end_ns);
    }
    cancelled = open_request->cancelled && search->idempotent;
    server->running--;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
    return !cancelled;
}

/* Removes a request from the server's list. The caller holds the mutex of the
 * server. */
void
FakeServer_RemoveRequest(FakeServer *server,
                         const FakeOpenRequest *open_request)
{
    FakeOpenRequest **link = &server->open_requests;

    while (*link != open_request) {
        link = &(*link)->next;
    }
    *link = open_request->next;
}

/* Adds a request to the server's list. The caller holds the mutex of the
 * server. */
FakeOpenRequest *
FakeServer_AddRequest(FakeServer *server, const FakeSearch *search)
{
    FakeOpenRequest *open_request = talloc_zero(NULL, FakeOpenRequest);

    if (open_request == NULL) {
        abort();
    }
    FakeServer_FormatId(open_request->id, search->query_id,
                        search->attempt_id);
    open_request->next = server->open_requests;
    server->open_requests = open_request;
    return open_request;
}

/* Sets the index versions of a server from a list such as "7,8"; at most
 * FAKE_MAX_VERSIONS are read. */
void
FakeServer_ParseVersions(FakeServer *server, const char *text)
{
    char *end;

    server->version_count = 0;
    while (*text != '\0' && server->version_count < FAKE_MAX_VERSIONS) {
        server->versions[server->version_count++] = strtoull(text, &end, 10);
        text = *end == ',' ? end + 1 : end;
        if (end == text && *end != '\0' && *end != ',') {
            break;
        }
    }
}

/* Initializes the server with the given index in the pool. */
void
FakeServer_Init(FakeServer *server, FakePool *pool, uint32_t index,
                const char *versions)
{
    server->pool = pool;
    server->group = index / pool->replicas;
    snprintf(server->name, sizeof(server->name), "%s-%02u-%u", pool->name,
             server->group, index % pool->replicas);
    /* The start id must increase when a server restarts. It is the time in
     * microseconds since 1970, which fits the 53 bits that a JSON integer can
     * carry. */
    server->start_id =
        (uint64_t)(HrTime_ToNs(HrClock_GetWall(&pool->clock)) / HR_NS_PER_US);
    pthread_mutex_init(&server->mutex, NULL);
    pthread_cond_init(&server->changed, NULL);
    FakeServer_ParseVersions(server, versions);
}
