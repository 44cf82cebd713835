#include "common-server.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define COLD_FACTOR 5
#define EXTRA_QUEUE_PER_SLOT 2

const char *const fake_fault_names[] = {
    "none", "late",   "wrong_id", "wrong_version", "truncated",
    "lost", "silent", "shed",     "error"};
const char *const fake_state_names[] = {"ready", "cold", "draining"};

/* Returns the index of a name in a list, or fallback. */
int
Fake_FindName(const char *const *names, int count, const char *name,
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

/* Draws from the pool's random numbers. */
double
FakePool_DrawUnit(FakePool *pool)
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

/* Returns how many shards a group has in a version. */
static uint32_t
count_shards(uint64_t version)
{
    return version % 2 == 0 ? 2 : 1;
}

/* Writes the name of a group's shard. */
static void
name_shard(const FakeServer *server, uint64_t version, uint32_t part,
           char *name, size_t name_bytes)
{
    if (count_shards(version) == 1) {
        snprintf(name, name_bytes, "%s-%02u", server->pool->name,
                 server->group);
        return;
    }
    snprintf(name, name_bytes, "%s-%02u%c", server->pool->name, server->group,
             (char)('a' + part));
}

/* Returns the lower end of a slice of the key range. */
static uint64_t
slice_start(uint64_t slice, uint64_t slices)
{
    return (uint64_t)((((unsigned __int128)1 << 64) * slice) / slices);
}

/* Returns true if the server holds a shard in a version. */
bool
FakeServer_HasShard(const FakeServer *server, uint64_t version,
                    const char *shard)
{
    uint32_t i;
    char name[FAKE_NAME_BYTES];

    for (i = 0; i < count_shards(version); i++) {
        name_shard(server, version, i, name, sizeof(name));
        if (strcmp(name, shard) == 0) {
            return true;
        }
    }
    return false;
}

/* Describes the shards of one version. */
json_t *
FakeServer_DescribeVersion(const FakeServer *server, uint64_t version)
{
    json_t *shards = json_array();
    uint32_t i, parts = count_shards(version);
    uint64_t slices = (uint64_t)server->pool->groups * parts;
    char name[FAKE_NAME_BYTES], from[17], to[17];

    for (i = 0; i < parts; i++) {
        uint64_t slice = (uint64_t)server->group * parts + i;
        uint64_t end =
            slice + 1 == slices ? UINT64_MAX : slice_start(slice + 1, slices);

        name_shard(server, version, i, name, sizeof(name));
        snprintf(from, sizeof(from), "%016" PRIx64,
                 slice_start(slice, slices));
        snprintf(to, sizeof(to), "%016" PRIx64,
                 slice + 1 == slices ? end : end - 1);
        json_array_append_new(shards,
                              json_pack("{s:s,s:s,s:s}", "name", name,
                                        "key_from", from, "key_to", to));
    }
    return json_pack("{s:I,s:o}", "version", (json_int_t)version, "shards",
                     shards);
}

/* Returns the state, ending a slow start whose time is over. */
FakeServerState
FakeServer_CurrentState(FakeServer *server)
{
    if (server->state == FAKE_SERVER_COLD &&
        HrClock_GetMonotonicNs(&server->pool->clock) >= server->cold_end_ns) {
        server->state = FAKE_SERVER_READY;
    }
    return server->state;
}

/* Writes the id under which a request can be cancelled. */
void
FakeServer_FormatId(char *id, const char *query_id, uint64_t attempt_id)
{
    snprintf(id, FAKE_ID_BYTES, "%s/%" PRIu64, query_id, attempt_id);
}

/* Waits on the server's condition until a time; the mutex is held. */
static void
wait_until(FakeServer *server, int64_t end_ns)
{
    struct timespec end;
    int64_t left_ns = end_ns - HrClock_GetMonotonicNs(&server->pool->clock);

    clock_gettime(CLOCK_REALTIME, &end);
    end = HrTime_FromNs(HrTime_ToNs(end) + (left_ns < 0 ? 0 : left_ns));
    pthread_cond_timedwait(&server->changed, &server->mutex, &end);
}

/* Takes a slot, waiting in the queue. Returns NULL, or the status with which
 * the request is turned away without having run; the mutex is held. */
const char *
FakeServer_TakeSlot(FakeServer *server, const FakeSearch *search,
                    const FakeRunning *entry)
{
    uint32_t slots = server->pool->slots;

    if (server->queued >= slots * EXTRA_QUEUE_PER_SLOT) {
        server->shed++;
        return "shed";
    }
    server->queued++;
    while (server->running >= slots && !entry->cancelled &&
           HrClock_GetMonotonicNs(&server->pool->clock) <
               search->deadline_ns) {
        wait_until(server, search->deadline_ns);
    }
    server->queued--;
    if (server->running >= slots || entry->cancelled) {
        return "declined";
    }
    server->running++;
    server->started++;
    if (server->running > server->max_running) {
        server->max_running = server->running;
    }
    return NULL;
}

/* Counts a run of a non-idempotent request by its id in the payload. */
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

/* Runs a request that holds a slot, until its time is over or, if it is
 * idempotent, until it is cancelled. Returns false when it was cancelled. */
bool
FakeServer_Run(FakeServer *server, const FakeSearch *search, FakeFault fault,
               const FakeRunning *entry)
{
    FakePool *pool = server->pool;
    int64_t duration_ns =
        (int64_t)((0.5 + FakePool_DrawUnit(pool)) * (double)pool->service_ns);
    int64_t end_ns;
    bool cancelled;

    if (fault == FAKE_FAULT_LATE) {
        duration_ns *= 10;
    }
    pthread_mutex_lock(&server->mutex);
    if (FakeServer_CurrentState(server) == FAKE_SERVER_COLD) {
        duration_ns *= COLD_FACTOR;
    }
    end_ns = HrClock_GetMonotonicNs(&pool->clock) + duration_ns;
    while (HrClock_GetMonotonicNs(&pool->clock) < end_ns &&
           !(entry->cancelled && search->idempotent)) {
        wait_until(server, end_ns);
    }
    cancelled = entry->cancelled && search->idempotent;
    server->running--;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
    return !cancelled;
}

/* Removes a request from the server's list; the mutex is held. */
void
FakeServer_RemoveRequest(FakeServer *server, const FakeRunning *entry)
{
    FakeRunning **link = &server->requests;

    while (*link != entry) {
        link = &(*link)->next;
    }
    *link = entry->next;
}

/* Adds a request to the server's list. */
FakeRunning *
FakeServer_AddRequest(FakeServer *server, const FakeSearch *search)
{
    FakeRunning *entry = talloc_zero(NULL, FakeRunning);

    if (entry == NULL) {
        abort();
    }
    FakeServer_FormatId(entry->id, search->query_id, search->attempt_id);
    entry->next = server->requests;
    server->requests = entry;
    return entry;
}

/* Reads a list of versions such as "7,8". */
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

/* Prepares one server. */
void
FakeServer_Init(FakeServer *server, FakePool *pool, uint32_t index,
                const char *versions)
{
    server->pool = pool;
    server->group = index / pool->replicas;
    snprintf(server->name, sizeof(server->name), "%s-%02u-%u", pool->name,
             server->group, index % pool->replicas);
    /* The start id must rise when a server restarts; JSON integers carry the
     * 53 bits that microseconds since 1970 need. */
    server->start_id =
        (uint64_t)(HrTime_ToNs(HrClock_GetWall(&pool->clock)) / HR_NS_PER_US);
    pthread_mutex_init(&server->mutex, NULL);
    pthread_cond_init(&server->changed, NULL);
    FakeServer_ParseVersions(server, versions);
}
