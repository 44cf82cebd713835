/* Generates load as callers do: requests the entry list of a daemon, sends
 * queries to the listed addresses at a fixed rate, and prints one JSON line
 * with latency quantiles, coverage and the count of each status.
 *
 * Latency is measured from the planned send time, so that a stall of the
 * system also counts for the queries that were due during the stall. */
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

#include "base-clock.h"
#include "base-hist.h"
#include "base-rng.h"
#include "coord-types.h"

#define MAX_ENTRIES 16
#define MAX_REPLY_BYTES (8u << 20)
#define ENTRY_LIST_TIMEOUT_MS 2000
#define REPLY_MARGIN_MS 2000 /* wait for an answer after the deadline */
#define MAX_TRIES 3

static const char *const status_names[] = {"complete", "partial", "refused",
                                           "done", "unknown"};
#define STATUS_COUNT (sizeof(status_names) / sizeof(status_names[0]))

/* The addresses to which a caller sends queries, with their weights. */
typedef struct EntryList {
    char addresses[MAX_ENTRIES][HR_ADDRESS_BYTES];
    double weights[MAX_ENTRIES];
    uint32_t count;
    int64_t end_ns; /* monotonic time at which the list expires */
} EntryList;

/* Settings and state that all workers share. mutex protects next_query and
 * entries. */
typedef struct Load {
    const char *seed_address;
    const char *kind;
    bool idempotent;
    int64_t keys; /* number of different keys */
    int64_t deadline_ms;
    double rate;      /* queries per second */
    int64_t start_ns; /* monotonic time, as end_ns */
    int64_t end_ns;   /* no query is planned at or after it */
    HrClock clock;
    uint64_t run_id; /* part of the request ids, which differ in each run */
    pthread_mutex_t mutex;
    uint64_t next_query;
    EntryList entries;
} Load;

/* A worker thread and its measurements. */
typedef struct Worker {
    Load *load;
    pthread_t thread;
    HrRng rng;
    CURL *curl;
    HrHist latency;
    uint64_t statuses[STATUS_COUNT];
    uint64_t late;    /* answers after the deadline */
    uint64_t failed;  /* no answer after MAX_TRIES addresses */
    uint64_t retried; /* retries that were sent */
    uint64_t shards_answered;
    uint64_t shards_missing;
    uint64_t refused_run; /* refusals without "not_run": true */
} Worker;

/* The body of an HTTP reply. */
typedef struct Reply {
    char *body;
    size_t length_bytes;
} Reply;

/* Appends data to a reply; a curl write callback. Returns 0, which ends the
 * transfer, if the reply exceeds MAX_REPLY_BYTES or when memory runs out. */
static size_t
append_reply(char *data, size_t size, size_t count, void *context)
{
    Reply *reply = context;
    size_t piece = size * count;
    char *body;

    if (reply->length_bytes + piece > MAX_REPLY_BYTES) {
        return 0;
    }
    body = realloc(reply->body, reply->length_bytes + piece + 1);
    if (body == NULL) {
        return 0;
    }
    memcpy(body + reply->length_bytes, data, piece);
    reply->body = body;
    reply->length_bytes += piece;
    body[reply->length_bytes] = '\0';
    return piece;
}

/* Sends one HTTP request, a POST if body is not NULL, and returns the JSON
 * reply. Returns NULL if there is no valid one. */
static json_t *
request_json(CURL *curl, const char *url, const char *body, int64_t timeout_ms)
{
    Reply reply = {NULL, 0};
    json_t *json = NULL;

    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_reply);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    else {
        curl_easy_setopt(curl, CURLOPT_HTTPGET, 1L);
    }
    if (curl_easy_perform(curl) == CURLE_OK && reply.body != NULL) {
        json = json_loads(reply.body, 0, NULL);
    }
    free(reply.body);
    return json;
}

/* Copies the addresses of an entry list, at most MAX_ENTRIES. Returns false if
 * there is none. */
static bool
parse_entries(const json_t *json, EntryList *entries, int64_t now_ns)
{
    json_t *list = json_object_get(json, "entries"), *entry;
    size_t i;

    entries->count = 0;
    json_array_foreach(list, i, entry)
    {
        const char *address =
            json_string_value(json_object_get(entry, "address"));

        if (address == NULL || entries->count == MAX_ENTRIES) {
            continue;
        }
        snprintf(entries->addresses[entries->count], HR_ADDRESS_BYTES, "%s",
                 address);
        entries->weights[entries->count] =
            json_number_value(json_object_get(entry, "weight"));
        entries->count++;
    }
    entries->end_ns =
        now_ns +
        json_integer_value(json_object_get(json, "ttl_ms")) * HR_NS_PER_MS;
    return entries->count > 0;
}

/* Requests a new entry list if the current one has expired or force is set.
 * The known addresses are tried first, then the seed address. */
static void
refresh_entries(Worker *worker, bool force)
{
    Load *load = worker->load;
    EntryList old_entries, new_entries;
    char url[128];
    json_t *json;
    uint32_t i;
    bool found = false;
    int64_t now_ns = HrClock_GetMonotonicNs(&load->clock);

    pthread_mutex_lock(&load->mutex);
    old_entries = load->entries;
    pthread_mutex_unlock(&load->mutex);
    if (!force && old_entries.count > 0 && now_ns < old_entries.end_ns) {
        return;
    }
    for (i = 0; i <= old_entries.count && !found; i++) {
        snprintf(url, sizeof(url), "http://%s/v1/entries",
                 i < old_entries.count ? old_entries.addresses[i]
                                       : load->seed_address);
        json = request_json(worker->curl, url, NULL, ENTRY_LIST_TIMEOUT_MS);
        found = parse_entries(json, &new_entries, now_ns);
        json_decref(json);
    }
    if (found) {
        pthread_mutex_lock(&load->mutex);
        load->entries = new_entries;
        pthread_mutex_unlock(&load->mutex);
    }
}

/* Chooses a random address by weight; the seed address if there is no entry
 * list. */
static void
choose_address(Worker *worker, char *address)
{
    Load *load = worker->load;
    double sum = 0, draw;
    uint32_t i;

    pthread_mutex_lock(&load->mutex);
    snprintf(address, HR_ADDRESS_BYTES, "%s", load->seed_address);
    for (i = 0; i < load->entries.count; i++) {
        sum += load->entries.weights[i];
    }
    draw = HrRng_DrawUnit(&worker->rng) * sum;
    for (i = 0; i < load->entries.count; i++) {
        draw -= load->entries.weights[i];
        if (draw < 0 || i + 1 == load->entries.count) {
            memcpy(address, load->entries.addresses[i], HR_ADDRESS_BYTES);
            break;
        }
    }
    pthread_mutex_unlock(&load->mutex);
}

/* Returns the JSON body of a query. */
static json_t *
build_query(Worker *worker, uint64_t number)
{
    Load *load = worker->load;
    char id[64], key[32];
    json_t *json;

    snprintf(id, sizeof(id), "load-%016" PRIx64 "-%" PRIu64, load->run_id,
             number);
    json = json_pack("{s:s,s:s,s:{s:s},s:I}", "request_id", id, "kind",
                     load->kind, "payload", "request_id", id, "deadline_ms",
                     (json_int_t)load->deadline_ms);
    if (load->keys > 0) {
        snprintf(key, sizeof(key), "key-%" PRIu64,
                 HrRng_DrawBelow(&worker->rng, (uint64_t)load->keys));
        json_object_set_new(json, "key", json_string(key));
    }
    if (!load->idempotent) {
        json_object_set_new(json, "expires_ms",
                            json_integer(HrClock_GetWallMs(&load->clock) +
                                         60 * INT64_C(1000)));
    }
    return json;
}

/* Adds one answer to the statistics. The latency of refusals is not
 * recorded. */
static void
count_answer(Worker *worker, const json_t *json, int64_t latency_ns)
{
    const char *status = json_string_value(json_object_get(json, "status"));
    size_t i;

    for (i = 0; status != NULL && i < STATUS_COUNT; i++) {
        if (strcmp(status, status_names[i]) == 0) {
            worker->statuses[i]++;
        }
    }
    if (status != NULL && strcmp(status, "refused") == 0) {
        if (!json_is_true(json_object_get(json, "not_run"))) {
            worker->refused_run++;
        }
        return;
    }
    worker->shards_answered += json_array_size(json_object_get(json, "parts"));
    worker->shards_missing +=
        json_array_size(json_object_get(json, "missing"));
    HrHist_RecordValue(&worker->latency, latency_ns);
    if (latency_ns > worker->load->deadline_ms * HR_NS_PER_MS) {
        worker->late++;
    }
}

/* Sends one query, up to MAX_TRIES times if there is no answer, each time to a
 * newly chosen address. All tries have the same request id, so a retry of a
 * query that is not idempotent is safe. */
static void
send_query(Worker *worker, uint64_t number, int64_t planned_ns)
{
    Load *load = worker->load;
    char address[HR_ADDRESS_BYTES], url[128];
    json_t *query = build_query(worker, number), *json = NULL;
    char *body;
    int try;

    for (try = 0; try < MAX_TRIES && json == NULL; try++) {
        if (try > 0) {
            worker->retried++;
            refresh_entries(worker, true);
        }
        choose_address(worker, address);
        snprintf(url, sizeof(url), "http://%s/v1/query", address);
        json_object_set_new(query, "attempt", json_integer(try + 1));
        body = json_dumps(query, JSON_COMPACT);
        json = request_json(worker->curl, url, body,
                            load->deadline_ms + REPLY_MARGIN_MS);
        free(body);
    }
    json_decref(query);
    if (json == NULL) {
        worker->failed++;
        return;
    }
    count_answer(worker, json,
                 HrClock_GetMonotonicNs(&load->clock) - planned_ns);
    json_decref(json);
}

/* Claims queries in the order of their planned times and sends each at its
 * time. */
static void *
run_worker(void *context)
{
    Worker *worker = context;
    Load *load = worker->load;

    for (;;) {
        uint64_t number;
        int64_t planned_ns, left_ns;
        struct timespec left;

        pthread_mutex_lock(&load->mutex);
        number = load->next_query++;
        pthread_mutex_unlock(&load->mutex);
        planned_ns = load->start_ns +
                     (int64_t)((double)number / load->rate * HR_NS_PER_S);
        if (planned_ns >= load->end_ns) {
            return NULL;
        }
        left_ns = planned_ns - HrClock_GetMonotonicNs(&load->clock);
        if (left_ns > 0) {
            left = HrTime_FromNs(left_ns);
            nanosleep(&left, NULL);
        }
        refresh_entries(worker, false);
        send_query(worker, number, planned_ns);
    }
}

/* Adds the measurements of a worker to sum. */
static void
merge_worker(Worker *sum, const Worker *worker)
{
    size_t i;

    HrHist_Merge(&sum->latency, &worker->latency);
    for (i = 0; i < STATUS_COUNT; i++) {
        sum->statuses[i] += worker->statuses[i];
    }
    sum->late += worker->late;
    sum->failed += worker->failed;
    sum->retried += worker->retried;
    sum->shards_answered += worker->shards_answered;
    sum->shards_missing += worker->shards_missing;
    sum->refused_run += worker->refused_run;
}

/* Prints the measurements as one JSON line. */
static void
print_result(const Worker *sum)
{
    uint64_t shards = sum->shards_answered + sum->shards_missing;
    json_t *json = json_object();
    char *text;
    size_t i;

    for (i = 0; i < STATUS_COUNT; i++) {
        json_object_set_new(json, status_names[i],
                            json_integer((json_int_t)sum->statuses[i]));
    }
    json_object_update_new(
        json,
        json_pack(
            "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f}", "failed",
            (json_int_t)sum->failed, "late", (json_int_t)sum->late, "retried",
            (json_int_t)sum->retried, "refused_run",
            (json_int_t)sum->refused_run, "p50_us",
            (json_int_t)(HrHist_GetQuantile(&sum->latency, 0.50) / 1000),
            "p99_us",
            (json_int_t)(HrHist_GetQuantile(&sum->latency, 0.99) / 1000),
            "p999_us",
            (json_int_t)(HrHist_GetQuantile(&sum->latency, 0.999) / 1000),
            "coverage",
            shards == 0 ? 1.0
                        : (double)sum->shards_answered / (double)shards));
    text = json_dumps(json, JSON_COMPACT);
    puts(text == NULL ? "{}" : text);
    free(text);
    json_decref(json);
}

/* Runs the workers and prints the sum of their measurements. Returns the exit
 * status. */
static int
run_load(Load *load, uint32_t worker_count)
{
    Worker *workers = talloc_zero_array(NULL, Worker, worker_count);
    static Worker sum;
    HrRng rng = HrRng_FromSystem();
    uint32_t i;

    if (workers == NULL) {
        return EXIT_FAILURE;
    }
    load->run_id = HrRng_DrawU64(&rng);
    for (i = 0; i < worker_count; i++) {
        workers[i].load = load;
        workers[i].rng = HrRng_FromSeed(HrRng_DrawU64(&rng));
        workers[i].curl = curl_easy_init();
    }
    refresh_entries(&workers[0], true);
    for (i = 0; i < worker_count; i++) {
        pthread_create(&workers[i].thread, NULL, run_worker, &workers[i]);
    }
    for (i = 0; i < worker_count; i++) {
        pthread_join(workers[i].thread, NULL);
        merge_worker(&sum, &workers[i]);
        curl_easy_cleanup(workers[i].curl);
    }
    print_result(&sum);
    talloc_free(workers);
    return EXIT_SUCCESS;
}

/* Parses the arguments and runs the load. */
int
main(int argc, char **argv)
{
    struct arg_str *caller =
        arg_str1(NULL, "caller", "ADDRESS", "caller listener of one daemon");
    struct arg_str *kind = arg_str1(NULL, "kind", "KIND", "request kind");
    struct arg_dbl *rate =
        arg_dbl0(NULL, "rate", "N", "queries a second (default 100)");
    struct arg_dbl *seconds =
        arg_dbl0(NULL, "seconds", "N", "how long (default 5)");
    struct arg_int *workers =
        arg_int0(NULL, "workers", "N", "queries in flight (default 32)");
    struct arg_int *deadline =
        arg_int0(NULL, "deadline-ms", "MS", "deadline (default 1000)");
    struct arg_int *keys =
        arg_int0(NULL, "keys", "N", "draw a key from N (default: no key)");
    struct arg_lit *once =
        arg_lit0(NULL, "once", "send requests that must run at most once");
    struct arg_end *end = arg_end(5);
    void *table[] = {caller,   kind, rate, seconds, workers,
                     deadline, keys, once, end};
    static Load load;
    int status;

    rate->dval[0] = 100;
    seconds->dval[0] = 5;
    workers->ival[0] = 32;
    deadline->ival[0] = 1000;
    keys->ival[0] = 0;
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_syntax(stderr, table, "\n");
        return EXIT_FAILURE;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    pthread_mutex_init(&load.mutex, NULL);
    load.seed_address = caller->sval[0];
    load.kind = kind->sval[0];
    load.idempotent = once->count == 0;
    load.keys = keys->ival[0];
    load.deadline_ms = deadline->ival[0];
    load.rate = rate->dval[0];
    load.clock = HrClock_MakeSystem();
    load.start_ns = HrClock_GetMonotonicNs(&load.clock);
    load.end_ns = load.start_ns + (int64_t)(seconds->dval[0] * HR_NS_PER_S);
    status = run_load(&load, (uint32_t)workers->ival[0]);
    curl_global_cleanup();
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
