/* Simulates the backend servers of one pool, each on a port of its own: slots,
 * connection cap, slow start, drain, load shedding, cancellation, deadlines,
 * several index versions, repartitioning and faults.
 *
 * Server i (0 <= i < groups * replicas) listens on port + i and belongs to
 * group i / replicas. Group g of G holds, in an odd version, one shard; in an
 * even version its key range is split in two shards.
 * POST /control?KEY=VALUE on a server's port changes that server. */
#include <argtable2.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>
#include <uthash.h>

#include "base-clock.h"
#include "base-rng.h"
#include "common-http.h"

#define MAX_VERSIONS 8
#define NAME_BYTES 64
#define ID_BYTES 96
#define COLD_NS (5 * HR_NS_PER_S)
#define COLD_FACTOR 5
#define SILENCE_NS (20 * HR_NS_PER_S)
#define EXTRA_QUEUE_PER_SLOT 2

typedef enum ServerState {
    SERVER_READY,
    SERVER_COLD,
    SERVER_DRAINING,
} ServerState;

typedef enum FaultKind {
    FAULT_NONE,
    FAULT_LATE,     /* ten times the service time */
    FAULT_WRONG_ID, /* answers with another attempt id */
    FAULT_WRONG_VERSION,
    FAULT_TRUNCATED, /* closes the connection after half of the answer */
    FAULT_LOST,      /* runs the request and closes without an answer */
    FAULT_SILENT,    /* keeps the connection open without an answer */
    FAULT_SHED,
    FAULT_ERROR, /* answers 500 */
} FaultKind;

static const char *const fault_names[] = {
    "none", "late",   "wrong_id", "wrong_version", "truncated",
    "lost", "silent", "shed",     "error"};
static const char *const state_names[] = {"ready", "cold", "draining"};

/* A request that waits for a slot or runs. */
typedef struct Running {
    char id[ID_BYTES];
    bool cancelled;
    struct Running *next;
} Running;

/* How often one non-idempotent request ran, by its request id. */
typedef struct RunCount {
    char *request_id;
    uint32_t runs;
    UT_hash_handle hh;
} RunCount;

/* Settings and state shared by the servers of the pool. */
typedef struct Pool {
    const char *name;
    uint32_t groups;
    uint32_t replicas;
    uint32_t slots;
    uint32_t connections;
    int64_t service_ns;
    HrClock clock;
    pthread_mutex_t mutex;
    HrRng rng;
    RunCount *runs;
    uint64_t executed;
} Pool;

typedef struct Server {
    Pool *pool;
    char name[NAME_BYTES];
    uint32_t group;
    uint64_t start_id;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    ServerState state;
    int64_t cold_end_ns;
    uint32_t running;
    uint32_t queued;
    uint64_t versions[MAX_VERSIONS];
    uint32_t version_count;
    FaultKind fault;
    double fault_rate;
    Running *requests;
    uint64_t started;
    uint64_t shed;
    uint64_t max_running;
} Server;

/* The fields of a search request. */
typedef struct Search {
    const char *query_id;
    uint64_t attempt_id;
    const char *shard;
    uint64_t version;
    int64_t deadline_ns;
    bool idempotent;
} Search;

/* Returns the index of a name in a list, or fallback. */
static int
find_name(const char *const *names, int count, const char *name, int fallback)
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
static double
draw_unit(Pool *pool)
{
    double value;

    pthread_mutex_lock(&pool->mutex);
    value = HrRng_Unit(&pool->rng);
    pthread_mutex_unlock(&pool->mutex);
    return value;
}

/* Returns true if a server holds an index version. */
static bool
has_version(const Server *server, uint64_t version)
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
name_shard(const Server *server, uint64_t version, uint32_t part, char *name,
           size_t name_bytes)
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
static bool
has_shard(const Server *server, uint64_t version, const char *shard)
{
    uint32_t i;
    char name[NAME_BYTES];

    for (i = 0; i < count_shards(version); i++) {
        name_shard(server, version, i, name, sizeof(name));
        if (strcmp(name, shard) == 0) {
            return true;
        }
    }
    return false;
}

/* Describes the shards of one version. */
static json_t *
describe_version(const Server *server, uint64_t version)
{
    json_t *shards = json_array();
    uint32_t i, parts = count_shards(version);
    uint64_t slices = (uint64_t)server->pool->groups * parts;
    char name[NAME_BYTES], from[17], to[17];

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
static ServerState
current_state(Server *server)
{
    if (server->state == SERVER_COLD &&
        HrClock_NowNs(&server->pool->clock) >= server->cold_end_ns) {
        server->state = SERVER_READY;
    }
    return server->state;
}

/* Sets a reply to a JSON value and releases it. */
static void
reply_with_json(FakeReply *reply, unsigned int status, json_t *json)
{
    reply->status = status;
    reply->body = json_dumps(json, JSON_COMPACT);
    reply->body_bytes = reply->body == NULL ? 0 : strlen(reply->body);
    json_decref(json);
}

/* Answers GET /v1/status. */
static void
reply_with_status(Server *server, FakeReply *reply)
{
    json_t *versions = json_array();
    uint32_t i;

    pthread_mutex_lock(&server->mutex);
    for (i = 0; i < server->version_count; i++) {
        json_array_append_new(versions,
                              describe_version(server, server->versions[i]));
    }
    reply_with_json(
        reply, MHD_HTTP_OK,
        json_pack("{s:s,s:I,s:s,s:i,s:i,s:i,s:i,s:o}", "server", server->name,
                  "start_id", (json_int_t)server->start_id, "state",
                  state_names[current_state(server)], "running",
                  (int)server->running, "queued", (int)server->queued, "slots",
                  (int)server->pool->slots, "connections",
                  (int)server->pool->connections, "versions", versions));
    pthread_mutex_unlock(&server->mutex);
}

/* Answers a search with a status and, if it ran, a payload. */
static void
reply_to_search(Server *server, const Search *search, unsigned int code,
                const char *status, json_t *payload, FakeReply *reply)
{
    pthread_mutex_lock(&server->mutex);
    reply_with_json(
        reply, code,
        json_pack("{s:s,s:I,s:s,s:I,s:s,s:o,s:b,s:s,s:I,s:{s:i,s:i}}",
                  "query_id", search->query_id, "attempt_id",
                  (json_int_t)search->attempt_id, "shard", search->shard,
                  "version", (json_int_t)search->version, "status", status,
                  "payload", payload == NULL ? json_null() : payload,
                  "draining", server->state == SERVER_DRAINING, "server",
                  server->name, "start_id", (json_int_t)server->start_id,
                  "load", "running", (int)server->running, "queued",
                  (int)server->queued));
    pthread_mutex_unlock(&server->mutex);
}

/* Reads the headers of a search; returns false when one is missing. */
static bool
parse_search(const Server *server, const FakeRequest *request, Search *search)
{
    const char *attempt = FakeHttp_Header(request, "X-Attempt-Id");
    const char *version = FakeHttp_Header(request, "X-Version");
    const char *deadline = FakeHttp_Header(request, "X-Deadline-Ms");
    const char *idempotent = FakeHttp_Header(request, "X-Idempotent");

    search->query_id = FakeHttp_Header(request, "X-Query-Id");
    search->shard = FakeHttp_Header(request, "X-Shard");
    if (search->query_id == NULL || search->shard == NULL || attempt == NULL ||
        version == NULL || deadline == NULL) {
        return false;
    }
    search->attempt_id = strtoull(attempt, NULL, 10);
    search->version = strtoull(version, NULL, 10);
    search->deadline_ns = HrClock_NowNs(&server->pool->clock) +
                          strtoll(deadline, NULL, 10) * HR_NS_PER_MS;
    search->idempotent = idempotent == NULL || strcmp(idempotent, "0") != 0;
    return true;
}

/* Writes the id under which a request can be cancelled. */
static void
format_id(char *id, const char *query_id, uint64_t attempt_id)
{
    snprintf(id, ID_BYTES, "%s/%" PRIu64, query_id, attempt_id);
}

/* Waits on the server's condition until a time; the mutex is held. */
static void
wait_until(Server *server, int64_t end_ns)
{
    struct timespec end;
    int64_t left_ns = end_ns - HrClock_NowNs(&server->pool->clock);

    clock_gettime(CLOCK_REALTIME, &end);
    end = HrTime_FromNs(HrTime_ToNs(end) + (left_ns < 0 ? 0 : left_ns));
    pthread_cond_timedwait(&server->changed, &server->mutex, &end);
}

/* Takes a slot, waiting in the queue. Returns NULL, or the status with which
 * the request is turned away without having run; the mutex is held. */
static const char *
take_slot(Server *server, const Search *search, const Running *entry)
{
    uint32_t slots = server->pool->slots;

    if (server->queued >= slots * EXTRA_QUEUE_PER_SLOT) {
        server->shed++;
        return "shed";
    }
    server->queued++;
    while (server->running >= slots && !entry->cancelled &&
           HrClock_NowNs(&server->pool->clock) < search->deadline_ns) {
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
static void
count_run(Pool *pool, const FakeRequest *request)
{
    json_t *payload = json_loads(request->body, JSON_DECODE_ANY, NULL);
    const char *id = json_string_value(json_object_get(payload, "request_id"));
    RunCount *count = NULL;

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
static bool
run_request(Server *server, const Search *search, FaultKind fault,
            const Running *entry)
{
    Pool *pool = server->pool;
    int64_t duration_ns =
        (int64_t)((0.5 + draw_unit(pool)) * (double)pool->service_ns);
    int64_t end_ns;
    bool cancelled;

    if (fault == FAULT_LATE) {
        duration_ns *= 10;
    }
    pthread_mutex_lock(&server->mutex);
    if (current_state(server) == SERVER_COLD) {
        duration_ns *= COLD_FACTOR;
    }
    end_ns = HrClock_NowNs(&pool->clock) + duration_ns;
    while (HrClock_NowNs(&pool->clock) < end_ns &&
           !(entry->cancelled && search->idempotent)) {
        wait_until(server, end_ns);
    }
    cancelled = entry->cancelled && search->idempotent;
    server->running--;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
    return !cancelled;
}

/* Applies the faults that change an answer. */
static void
apply_fault(Search *search, FaultKind fault, FakeReply *reply)
{
    switch (fault) {
    case FAULT_WRONG_ID:
        search->attempt_id += 1000000;
        break;
    case FAULT_WRONG_VERSION:
        search->version++;
        break;
    case FAULT_TRUNCATED:
        reply->kind = FAKE_REPLY_TRUNCATE;
        break;
    case FAULT_LOST:
        reply->kind = FAKE_REPLY_DROP;
        break;
    case FAULT_SILENT:
        FakeHttp_Sleep(SILENCE_NS);
        reply->kind = FAKE_REPLY_DROP;
        break;
    case FAULT_NONE:
    case FAULT_LATE:
    case FAULT_SHED:
    case FAULT_ERROR:
        break;
    }
}

/* Removes a request from the server's list; the mutex is held. */
static void
remove_running(Server *server, const Running *entry)
{
    Running **link = &server->requests;

    while (*link != entry) {
        link = &(*link)->next;
    }
    *link = entry->next;
}

/* Adds a request to the server's list. */
static Running *
add_running(Server *server, const Search *search)
{
    Running *entry = talloc_zero(NULL, Running);

    if (entry == NULL) {
        abort();
    }
    format_id(entry->id, search->query_id, search->attempt_id);
    entry->next = server->requests;
    server->requests = entry;
    return entry;
}

/* Runs an admitted search and answers it. */
static void
execute_search(Server *server, Search *search, const FakeRequest *request,
               FaultKind fault, FakeReply *reply)
{
    Running *entry;
    const char *declined;
    bool finished = true;
    json_t *payload;

    pthread_mutex_lock(&server->mutex);
    entry = add_running(server, search);
    declined = take_slot(server, search, entry);
    pthread_mutex_unlock(&server->mutex);
    if (declined == NULL) {
        if (!search->idempotent) {
            count_run(server->pool, request);
        }
        finished = run_request(server, search, fault, entry);
    }
    pthread_mutex_lock(&server->mutex);
    remove_running(server, entry);
    pthread_mutex_unlock(&server->mutex);
    talloc_free(entry);
    if (declined != NULL) {
        reply_to_search(server, search, MHD_HTTP_SERVICE_UNAVAILABLE, declined,
                        NULL, reply);
        return;
    }
    if (!finished) {
        FakeReply_SetText(reply, 499, "{}");
        return;
    }
    apply_fault(search, fault, reply);
    payload = json_pack("{s:s,s:I,s:s}", "shard", search->shard, "version",
                        (json_int_t)search->version, "server", server->name);
    reply_to_search(server, search, MHD_HTTP_OK, "answered", payload, reply);
}

/* Answers POST /v1/search. */
static void
handle_search(Server *server, const FakeRequest *request, FakeReply *reply)
{
    Search search;
    FaultKind fault = FAULT_NONE;
    bool known;

    if (!parse_search(server, request, &search)) {
        FakeReply_SetText(reply, MHD_HTTP_BAD_REQUEST,
                          "{\"error\":\"a header is missing\"}");
        return;
    }
    pthread_mutex_lock(&server->mutex);
    known = has_version(server, search.version) &&
            has_shard(server, search.version, search.shard);
    if (server->fault != FAULT_NONE &&
        draw_unit(server->pool) < server->fault_rate) {
        fault = server->fault;
    }
    pthread_mutex_unlock(&server->mutex);
    if (!known) {
        reply_to_search(server, &search, MHD_HTTP_OK, "no_version", NULL,
                        reply);
        return;
    }
    if (fault == FAULT_SHED) {
        reply_to_search(server, &search, MHD_HTTP_SERVICE_UNAVAILABLE, "shed",
                        NULL, reply);
        return;
    }
    if (fault == FAULT_ERROR) {
        FakeReply_SetText(reply, MHD_HTTP_INTERNAL_SERVER_ERROR, "{}");
        return;
    }
    execute_search(server, &search, request, fault, reply);
}

/* Answers POST /v1/cancel. */
static void
handle_cancel(Server *server, const FakeRequest *request, FakeReply *reply)
{
    const char *query_id = FakeHttp_Header(request, "X-Query-Id");
    const char *attempt = FakeHttp_Header(request, "X-Attempt-Id");
    char id[ID_BYTES];
    Running *entry;

    if (query_id == NULL || attempt == NULL) {
        FakeReply_SetText(reply, MHD_HTTP_BAD_REQUEST, "{}");
        return;
    }
    format_id(id, query_id, strtoull(attempt, NULL, 10));
    pthread_mutex_lock(&server->mutex);
    for (entry = server->requests; entry != NULL; entry = entry->next) {
        if (strcmp(entry->id, id) == 0) {
            entry->cancelled = true;
        }
    }
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
    FakeReply_SetText(reply, MHD_HTTP_OK, "{}");
}

/* Reads a list of versions such as "7,8". */
static void
parse_versions(Server *server, const char *text)
{
    char *end;

    server->version_count = 0;
    while (*text != '\0' && server->version_count < MAX_VERSIONS) {
        server->versions[server->version_count++] = strtoull(text, &end, 10);
        text = *end == ',' ? end + 1 : end;
        if (end == text && *end != '\0' && *end != ',') {
            break;
        }
    }
}

/* Answers POST /control: state, fault, rate, versions. */
static void
handle_control(Server *server, const FakeRequest *request, FakeReply *reply)
{
    const char *state = FakeHttp_Param(request, "state");
    const char *fault = FakeHttp_Param(request, "fault");
    const char *rate = FakeHttp_Param(request, "rate");
    const char *versions = FakeHttp_Param(request, "versions");

    pthread_mutex_lock(&server->mutex);
    server->state =
        (ServerState)find_name(state_names, 3, state, (int)server->state);
    if (state != NULL && server->state == SERVER_COLD) {
        server->cold_end_ns = HrClock_NowNs(&server->pool->clock) + COLD_NS;
    }
    server->fault =
        (FaultKind)find_name(fault_names, 9, fault, (int)server->fault);
    server->fault_rate = rate != NULL
                             ? strtod(rate, NULL)
                             : (fault != NULL ? 1.0 : server->fault_rate);
    if (versions != NULL) {
        parse_versions(server, versions);
    }
    pthread_mutex_unlock(&server->mutex);
    FakeReply_SetText(reply, MHD_HTTP_OK, "{}");
}

/* Answers GET /control: what ran, and how often each request id did. */
static void
reply_with_runs(Server *server, FakeReply *reply)
{
    Pool *pool = server->pool;
    json_t *runs = json_object();
    RunCount *count, *next;
    uint64_t started, shed, max_running;

    pthread_mutex_lock(&server->mutex);
    started = server->started;
    shed = server->shed;
    max_running = server->max_running;
    pthread_mutex_unlock(&server->mutex);
    pthread_mutex_lock(&pool->mutex);
    HASH_ITER (hh, pool->runs, count, next) {
        json_object_set_new(runs, count->request_id,
                            json_integer(count->runs));
    }
    reply_with_json(reply, MHD_HTTP_OK,
                    json_pack("{s:I,s:I,s:I,s:I,s:o}", "started",
                              (json_int_t)started, "shed", (json_int_t)shed,
                              "max_running", (json_int_t)max_running,
                              "executed", (json_int_t)pool->executed, "runs",
                              runs));
    pthread_mutex_unlock(&pool->mutex);
}

/* Serves one request to a server. */
static void
handle_server(void *context, const FakeRequest *request, FakeReply *reply)
{
    Server *server = context;

    if (strcmp(request->path, "/v1/search") == 0) {
        handle_search(server, request, reply);
        return;
    }
    if (strcmp(request->path, "/v1/cancel") == 0) {
        handle_cancel(server, request, reply);
        return;
    }
    if (strcmp(request->path, "/v1/status") == 0) {
        reply_with_status(server, reply);
        return;
    }
    if (strcmp(request->path, "/control") == 0) {
        if (strcmp(request->method, "GET") == 0) {
            reply_with_runs(server, reply);
            return;
        }
        handle_control(server, request, reply);
        return;
    }
    FakeReply_SetText(reply, MHD_HTTP_NOT_FOUND, "{}");
}

/* Prepares one server. */
static void
init_server(Server *server, Pool *pool, uint32_t index, const char *versions)
{
    server->pool = pool;
    server->group = index / pool->replicas;
    snprintf(server->name, sizeof(server->name), "%s-%02u-%u", pool->name,
             server->group, index % pool->replicas);
    /* The start id must rise when a server restarts; JSON integers carry the
     * 53 bits that microseconds since 1970 need. */
    server->start_id =
        (uint64_t)(HrTime_ToNs(HrClock_Wall(&pool->clock)) / HR_NS_PER_US);
    pthread_mutex_init(&server->mutex, NULL);
    pthread_cond_init(&server->changed, NULL);
    parse_versions(server, versions);
}

/* Prints what GET /control of a running server reports. */
static int
print_runs(int port)
{
    CURL *curl = curl_easy_init();
    char url[64];
    CURLcode code = CURLE_FAILED_INIT;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d/control", port);
    if (curl != NULL) {
        curl_easy_setopt(curl, CURLOPT_URL, url);
        code = curl_easy_perform(curl);
    }
    curl_easy_cleanup(curl);
    return code == CURLE_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Runs the simulated servers until SIGTERM. */
int
main(int argc, char **argv)
{
    struct arg_str *name = arg_str1(NULL, "pool", "NAME", "name of the pool");
    struct arg_int *port = arg_int1(NULL, "port", "PORT", "first port");
    struct arg_int *groups =
        arg_int0(NULL, "groups", "N", "shard groups (default 1)");
    struct arg_int *replicas =
        arg_int0(NULL, "replicas", "N", "servers a group (default 1)");
    struct arg_int *slots =
        arg_int0(NULL, "slots", "N", "requests run at once (default 5)");
    struct arg_int *connections =
        arg_int0(NULL, "connections", "N", "connection cap (default 40)");
    struct arg_int *service =
        arg_int0(NULL, "service-us", "US", "mean service time (default 3000)");
    struct arg_str *versions =
        arg_str0(NULL, "versions", "LIST", "index versions (default 7)");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "seed of service times (default 1)");
    struct arg_lit *read_runs =
        arg_lit0(NULL, "read-runs", "print the runs of a running server");
    struct arg_end *end = arg_end(5);
    void *table[] = {name,    port,     groups, replicas,  slots, connections,
                     service, versions, seed,   read_runs, end};
    static Pool pool;
    Server *servers;
    uint32_t i, count;

    groups->ival[0] = replicas->ival[0] = 1;
    slots->ival[0] = 5;
    connections->ival[0] = 40;
    service->ival[0] = 3000;
    versions->sval[0] = "7";
    seed->ival[0] = 1;
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_syntax(stderr, table, "\n");
        return EXIT_FAILURE;
    }
    if (read_runs->count > 0) {
        return print_runs(port->ival[0]);
    }
    pool.name = name->sval[0];
    pool.groups = (uint32_t)groups->ival[0];
    pool.replicas = (uint32_t)replicas->ival[0];
    pool.slots = (uint32_t)slots->ival[0];
    pool.connections = (uint32_t)connections->ival[0];
    pool.service_ns = service->ival[0] * HR_NS_PER_US;
    pool.clock = HrClock_System();
    pool.rng = HrRng_FromSeed((uint64_t)seed->ival[0]);
    pthread_mutex_init(&pool.mutex, NULL);
    count = pool.groups * pool.replicas;
    servers = talloc_zero_array(NULL, Server, count);
    if (servers == NULL) {
        return EXIT_FAILURE;
    }
    FakeHttp_BlockSignals();
    for (i = 0; i < count; i++) {
        init_server(&servers[i], &pool, i, versions->sval[0]);
        FakeHttp_Start((uint16_t)(port->ival[0] + (int)i), pool.connections,
                       handle_server, &servers[i]);
    }
    FakeHttp_WaitForStop();
    /* Handlers may still sleep; the process ends without waiting for them. */
    _exit(EXIT_SUCCESS);
}
