/* Simulates the backend servers of one pool, each on its own port: slots,
 * connection cap, slow start, drain, load shedding, cancellation, deadlines,
 * several index versions, repartitioning and faults.
 *
 * Server i (0 <= i < groups * replicas) listens on port + i and belongs to
 * group i / replicas. Each of the groups has an equal part of the key range,
 * which is one shard in an odd version and split into two shards in an even
 * version. POST /control?KEY=VALUE on a server's port changes the settings of
 * that server. */
#include <argtable2.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "common-http.h"
#include "common-server.h"

#define SILENCE_NS (20 * HR_NS_PER_S)

/* Sets the status of a reply, and its body to a JSON value, which is
 * released. */
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
reply_with_status(FakeServer *server, FakeReply *reply)
{
    json_t *versions = json_array();
    uint32_t i;

    pthread_mutex_lock(&server->mutex);
    for (i = 0; i < server->version_count; i++) {
        json_array_append_new(
            versions, FakeServer_DescribeVersion(server, server->versions[i]));
    }
    reply_with_json(
        reply, MHD_HTTP_OK,
        json_pack("{s:s,s:I,s:s,s:i,s:i,s:i,s:i,s:o}", "server", server->name,
                  "start_id", (json_int_t)server->start_id, "state",
                  fake_state_names[FakeServer_UpdateState(server)], "running",
                  (int)server->running, "queued", (int)server->queued, "slots",
                  (int)server->pool->slots, "connections",
                  (int)server->pool->connections, "versions", versions));
    pthread_mutex_unlock(&server->mutex);
}

/* Answers a search. payload is NULL if the search did not run. */
static void
reply_to_search(FakeServer *server, const FakeSearch *search,
                unsigned int code, const char *status, json_t *payload,
                FakeReply *reply)
{
    pthread_mutex_lock(&server->mutex);
    reply_with_json(
        reply, code,
        json_pack("{s:s,s:I,s:s,s:I,s:s,s:o,s:b,s:s,s:I,s:{s:i,s:i}}",
                  "query_id", search->query_id, "attempt_id",
                  (json_int_t)search->attempt_id, "shard", search->shard,
                  "version", (json_int_t)search->version, "status", status,
                  "payload", payload == NULL ? json_null() : payload,
                  "draining", server->state == FAKE_SERVER_DRAINING, "server",
                  server->name, "start_id", (json_int_t)server->start_id,
                  "load", "running", (int)server->running, "queued",
                  (int)server->queued));
    pthread_mutex_unlock(&server->mutex);
}

/* Parses the headers of a search. Returns false if a required one is
 * missing. */
static bool
parse_search(const FakeServer *server, const FakeRequest *request,
             FakeSearch *search)
{
    const char *attempt = FakeHttp_GetHeader(request, "X-Attempt-Id");
    const char *version = FakeHttp_GetHeader(request, "X-Version");
    const char *deadline = FakeHttp_GetHeader(request, "X-Deadline-Ms");
    const char *idempotent = FakeHttp_GetHeader(request, "X-Idempotent");

    search->query_id = FakeHttp_GetHeader(request, "X-Query-Id");
    search->shard = FakeHttp_GetHeader(request, "X-Shard");
    if (search->query_id == NULL || search->shard == NULL || attempt == NULL ||
        version == NULL || deadline == NULL) {
        return false;
    }
    search->attempt_id = strtoull(attempt, NULL, 10);
    search->version = strtoull(version, NULL, 10);
    search->deadline_ns = HrClock_GetMonotonicNs(&server->pool->clock) +
                          strtoll(deadline, NULL, 10) * HR_NS_PER_MS;
    search->idempotent = idempotent == NULL || strcmp(idempotent, "0") != 0;
    return true;
}

/* Applies a fault that changes the answer, the reply or its delay. */
static void
apply_fault(FakeSearch *search, FakeFault fault, FakeReply *reply)
{
    switch (fault) {
    case FAKE_FAULT_WRONG_ID:
        search->attempt_id += 1000000;
        break;
    case FAKE_FAULT_WRONG_VERSION:
        search->version++;
        break;
    case FAKE_FAULT_TRUNCATED:
        reply->kind = FAKE_REPLY_TRUNCATE;
        break;
    case FAKE_FAULT_LOST:
        reply->kind = FAKE_REPLY_DROP;
        break;
    case FAKE_FAULT_SILENT:
        FakeHttp_Sleep(SILENCE_NS);
        reply->kind = FAKE_REPLY_DROP;
        break;
    case FAKE_FAULT_NONE:
    case FAKE_FAULT_LATE:
    case FAKE_FAULT_SHED:
    case FAKE_FAULT_ERROR:
        break;
    }
}

/* Waits for a slot, runs a search and answers it. A cancelled search is
 * answered with status 499. */
static void
execute_search(FakeServer *server, FakeSearch *search,
               const FakeRequest *request, FakeFault fault, FakeReply *reply)
{
    FakeOpenRequest *open_request;
    const char *decline_status;
    bool finished = true;
    json_t *payload;

    pthread_mutex_lock(&server->mutex);
    open_request = FakeServer_AddRequest(server, search);
    decline_status = FakeServer_AcquireSlot(server, search, open_request);
    pthread_mutex_unlock(&server->mutex);
    if (decline_status == NULL) {
        if (!search->idempotent) {
            FakePool_CountRun(server->pool, request->body);
        }
        finished = FakeServer_RunRequest(server, search, fault, open_request);
    }
    pthread_mutex_lock(&server->mutex);
    FakeServer_RemoveRequest(server, open_request);
    pthread_mutex_unlock(&server->mutex);
    talloc_free(open_request);
    if (decline_status != NULL) {
        reply_to_search(server, search, MHD_HTTP_SERVICE_UNAVAILABLE,
                        decline_status, NULL, reply);
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
handle_search(FakeServer *server, const FakeRequest *request, FakeReply *reply)
{
    FakeSearch search;
    FakeFault fault = FAKE_FAULT_NONE;
    bool is_held;

    if (!parse_search(server, request, &search)) {
        FakeReply_SetText(reply, MHD_HTTP_BAD_REQUEST,
                          "{\"error\":\"a header is missing\"}");
        return;
    }
    pthread_mutex_lock(&server->mutex);
    is_held = FakeServer_HasVersion(server, search.version) &&
              FakeServer_HasShard(server, search.version, search.shard);
    if (server->fault != FAKE_FAULT_NONE &&
        FakePool_DrawUniform(server->pool) < server->fault_rate) {
        fault = server->fault;
    }
    pthread_mutex_unlock(&server->mutex);
    if (!is_held) {
        reply_to_search(server, &search, MHD_HTTP_OK, "no_version", NULL,
                        reply);
        return;
    }
    if (fault == FAKE_FAULT_SHED) {
        reply_to_search(server, &search, MHD_HTTP_SERVICE_UNAVAILABLE, "shed",
                        NULL, reply);
        return;
    }
    if (fault == FAKE_FAULT_ERROR) {
        FakeReply_SetText(reply, MHD_HTTP_INTERNAL_SERVER_ERROR, "{}");
        return;
    }
    execute_search(server, &search, request, fault, reply);
}

/* Answers POST /v1/cancel. */
static void
handle_cancel(FakeServer *server, const FakeRequest *request, FakeReply *reply)
{
    const char *query_id = FakeHttp_GetHeader(request, "X-Query-Id");
    const char *attempt = FakeHttp_GetHeader(request, "X-Attempt-Id");
    char id[FAKE_ID_BYTES];
    FakeOpenRequest *open_request;

    if (query_id == NULL || attempt == NULL) {
        FakeReply_SetText(reply, MHD_HTTP_BAD_REQUEST, "{}");
        return;
    }
    FakeServer_FormatId(id, query_id, strtoull(attempt, NULL, 10));
    pthread_mutex_lock(&server->mutex);
    for (open_request = server->open_requests; open_request != NULL;
         open_request = open_request->next) {
        if (strcmp(open_request->id, id) == 0) {
            open_request->cancelled = true;
        }
    }
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
    FakeReply_SetText(reply, MHD_HTTP_OK, "{}");
}

/* Answers POST /control, whose parameters are state, fault, rate (the
 * probability of the fault; 1 if only the fault is given) and versions. */
static void
handle_control(FakeServer *server, const FakeRequest *request,
               FakeReply *reply)
{
    const char *state = FakeHttp_GetParam(request, "state");
    const char *fault = FakeHttp_GetParam(request, "fault");
    const char *rate = FakeHttp_GetParam(request, "rate");
    const char *versions = FakeHttp_GetParam(request, "versions");

    pthread_mutex_lock(&server->mutex);
    server->state = (FakeServerState)Fake_FindNameIndex(
        fake_state_names, FAKE_STATE_COUNT, state, (int)server->state);
    if (state != NULL && server->state == FAKE_SERVER_COLD) {
        server->cold_end_ns =
            HrClock_GetMonotonicNs(&server->pool->clock) + FAKE_COLD_NS;
    }
    server->fault = (FakeFault)Fake_FindNameIndex(
        fake_fault_names, FAKE_FAULT_COUNT, fault, (int)server->fault);
    server->fault_rate = rate != NULL
                             ? strtod(rate, NULL)
                             : (fault != NULL ? 1.0 : server->fault_rate);
    if (versions != NULL) {
        FakeServer_ParseVersions(server, versions);
    }
    pthread_mutex_unlock(&server->mutex);
    FakeReply_SetText(reply, MHD_HTTP_OK, "{}");
}

/* Answers GET /control with the statistics of the server, and with the runs of
 * each request id in the pool. */
static void
reply_with_runs(FakeServer *server, FakeReply *reply)
{
    FakePool *pool = server->pool;
    json_t *runs = json_object();
    FakeRunCount *count, *next;
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

/* Answers a request to one server. */
static void
handle_request(void *context, const FakeRequest *request, FakeReply *reply)
{
    FakeServer *server = context;

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

/* Prints the answer of a running server to GET /control. Returns the exit
 * status. */
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
    static FakePool pool;
    FakeServer *servers;
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
    pool.clock = HrClock_MakeSystem();
    pool.rng = HrRng_FromSeed((uint64_t)seed->ival[0]);
    pthread_mutex_init(&pool.mutex, NULL);
    count = pool.groups * pool.replicas;
    servers = talloc_zero_array(NULL, FakeServer, count);
    if (servers == NULL) {
        return EXIT_FAILURE;
    }
    FakeHttp_BlockSignals();
    for (i = 0; i < count; i++) {
        FakeServer_Init(&servers[i], &pool, i, versions->sval[0]);
        FakeHttp_StartListener((uint16_t)(port->ival[0] + (int)i),
                               pool.connections, handle_request, &servers[i]);
    }
    FakeHttp_WaitForStopSignal();
    /* A handler may still be asleep; the process exits without waiting for
     * it. */
    _exit(EXIT_SUCCESS);
}
