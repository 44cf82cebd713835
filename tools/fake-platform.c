/* Simulates the platform: a key-value service with compare-and-swap and
 * watches, leases, the list of VMs, rate limits and faults. All data is in
 * memory only. POST /control sets faults. */
#include <argtable2.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base-clock.h"
#include "common-http.h"

#define VALUE_LIMIT_BYTES (1u << 20)
#define CONNECTION_LIMIT 4000

/* A key and its value. An erased key remains with value NULL, so that its
 * revision never decreases. */
typedef struct Entry {
    char *key;
    char *value;
    size_t value_bytes;
    uint64_t revision;
    UT_hash_handle hh;
} Entry;

/* A lease and its current owner. */
typedef struct Lease {
    char *name;
    char *owner;
    int64_t end_ns;
    UT_hash_handle hh;
} Lease;

/* A token bucket that holds at most the tokens of one second. */
typedef struct RateLimit {
    double per_second;
    double tokens;
    int64_t updated_ns;
} RateLimit;

/* The faults that are active. */
typedef struct Faults {
    bool outage;
    int64_t slow_ns;       /* delay of each call */
    int64_t lose_replies;  /* next writes that take effect without a reply */
    int64_t lose_requests; /* next writes that are dropped */
} Faults;

/* The state of the service. mutex protects all fields; changed is signalled on
 * writes and control calls. */
typedef struct Platform {
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    HrClock clock;
    Entry *entries;
    Lease *leases;
    RateLimit reads;
    RateLimit writes;
    Faults faults;
    char *vms; /* JSON list of VMs */
    uint64_t read_count;
    uint64_t write_count;
    uint64_t watch_count;
    uint64_t rate_limited_count;
} Platform;

/* Consumes one token. Returns false and counts the call if the rate is
 * exceeded. */
static bool
consume_token(Platform *platform, RateLimit *limit)
{
    int64_t now_ns = HrClock_GetMonotonicNs(&platform->clock);
    double tokens = limit->tokens + (double)(now_ns - limit->updated_ns) /
                                        (double)HR_NS_PER_S *
                                        limit->per_second;

    limit->tokens = tokens > limit->per_second ? limit->per_second : tokens;
    limit->updated_ns = now_ns;
    if (limit->tokens < 1) {
        platform->rate_limited_count++;
        return false;
    }
    limit->tokens -= 1;
    return true;
}

/* Returns the entry of a key, which is created without a value if it does not
 * exist. */
static Entry *
find_or_create_entry(Platform *platform, const char *key)
{
    Entry *entry;

    HASH_FIND_STR(platform->entries, key, entry);
    if (entry != NULL) {
        return entry;
    }
    entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort();
    }
    entry->key = strdup(key);
    HASH_ADD_KEYPTR(hh, platform->entries, entry->key, strlen(entry->key),
                    entry);
    return entry;
}

/* Sets a reply to the value and revision of an entry; an absent value has
 * status 404 and revision 0. */
static void
reply_with_entry(FakeReply *reply, const Entry *entry)
{
    reply->has_revision = true;
    reply->revision = entry->value == NULL ? 0 : entry->revision;
    if (entry->value == NULL) {
        FakeReply_SetText(reply, MHD_HTTP_NOT_FOUND, "{}");
        return;
    }
    reply->status = MHD_HTTP_OK;
    reply->body = malloc(entry->value_bytes + 1);
    if (reply->body != NULL) {
        memcpy(reply->body, entry->value, entry->value_bytes + 1);
        reply->body_bytes = entry->value_bytes;
    }
}

/* Waits until the revision of an entry differs from the one given. Returns
 * false if the wait time ends first or an outage is set. */
static bool
wait_for_change(Platform *platform, const Entry *entry, uint64_t revision,
                int64_t wait_ms)
{
    struct timespec end;
    int64_t end_ns;

    clock_gettime(CLOCK_REALTIME, &end);
    end_ns = HrTime_ToNs(end) + wait_ms * HR_NS_PER_MS;
    end = HrTime_FromNs(end_ns);
    while ((entry->value == NULL ? 0 : entry->revision) == revision) {
        if (platform->faults.outage ||
            pthread_cond_timedwait(&platform->changed, &platform->mutex,
                                   &end) != 0) {
            return false;
        }
    }
    return true;
}

/* Answers a read of a key. With the watch parameter, it first waits until the
 * revision differs from that number. */
static void
handle_get(Platform *platform, const FakeRequest *request, const char *key,
           FakeReply *reply)
{
    Entry *entry;
    const char *watch = FakeHttp_GetParam(request, "watch");

    if (!consume_token(platform, &platform->reads)) {
        FakeReply_SetText(reply, MHD_HTTP_TOO_MANY_REQUESTS, "{}");
        return;
    }
    entry = find_or_create_entry(platform, key);
    if (watch == NULL) {
        platform->read_count++;
        reply_with_entry(reply, entry);
        return;
    }
    platform->watch_count++;
    if (!wait_for_change(platform, entry, strtoull(watch, NULL, 10),
                         FakeHttp_GetParamNumber(request, "wait_ms", 1000))) {
        reply->status = platform->faults.outage ? MHD_HTTP_SERVICE_UNAVAILABLE
                                                : MHD_HTTP_NOT_MODIFIED;
        return;
    }
    reply_with_entry(reply, entry);
}

/* Writes a key if its revision equals the cas parameter (compare-and-swap). */
static void
handle_put(Platform *platform, const FakeRequest *request, const char *key,
           FakeReply *reply)
{
    uint64_t expected =
        (uint64_t)FakeHttp_GetParamNumber(request, "cas", INT64_MAX);
    Entry *entry;

    if (request->body_bytes > VALUE_LIMIT_BYTES) {
        FakeReply_SetText(reply, MHD_HTTP_CONTENT_TOO_LARGE, "{}");
        return;
    }
    if (!consume_token(platform, &platform->writes)) {
        FakeReply_SetText(reply, MHD_HTTP_TOO_MANY_REQUESTS, "{}");
        return;
    }
    if (platform->faults.lose_requests > 0) {
        platform->faults.lose_requests--;
        reply->kind = FAKE_REPLY_DROP;
        return;
    }
    platform->write_count++;
    entry = find_or_create_entry(platform, key);
    reply->has_revision = true;
    reply->revision = entry->value == NULL ? 0 : entry->revision;
    if (reply->revision != expected) {
        FakeReply_SetText(reply, MHD_HTTP_CONFLICT, "{}");
        return;
    }
    free(entry->value);
    entry->value = malloc(request->body_bytes + 1);
    if (entry->value == NULL) {
        abort();
    }
    memcpy(entry->value, request->body, request->body_bytes);
    entry->value[request->body_bytes] = '\0';
    entry->value_bytes = request->body_bytes;
    reply->revision = ++entry->revision;
    FakeReply_SetText(reply, MHD_HTTP_OK, "{}");
    pthread_cond_broadcast(&platform->changed);
    if (platform->faults.lose_replies > 0) {
        platform->faults.lose_replies--;
        reply->kind = FAKE_REPLY_DROP;
    }
}

/* Grants or renews a lease; answers with status 409 while another owner holds
 * it. */
static void
handle_lease(Platform *platform, const FakeRequest *request, FakeReply *reply)
{
    const char *name = FakeHttp_GetParam(request, "name");
    const char *owner = FakeHttp_GetParam(request, "owner");
    int64_t now_ns = HrClock_GetMonotonicNs(&platform->clock);
    Lease *lease = NULL;

    if (name == NULL || owner == NULL) {
        FakeReply_SetText(reply, MHD_HTTP_BAD_REQUEST,
                          "{\"error\":\"name and owner are needed\"}");
        return;
    }
    if (!consume_token(platform, &platform->writes)) {
        FakeReply_SetText(reply, MHD_HTTP_TOO_MANY_REQUESTS, "{}");
        return;
    }
    HASH_FIND_STR(platform->leases, name, lease);
    if (lease == NULL) {
        lease = calloc(1, sizeof(*lease));
        if (lease == NULL) {
            abort();
        }
        lease->name = strdup(name);
        HASH_ADD_KEYPTR(hh, platform->leases, lease->name, strlen(lease->name),
                        lease);
    }
    else if (lease->end_ns > now_ns && strcmp(lease->owner, owner) != 0) {
        FakeReply_SetText(reply, MHD_HTTP_CONFLICT, "{}");
        return;
    }
    free(lease->owner);
    lease->owner = strdup(owner);
    lease->end_ns =
        now_ns + FakeHttp_GetParamNumber(request, "ttl_ms", 0) * HR_NS_PER_MS;
    FakeReply_SetText(reply, MHD_HTTP_OK, "{}");
}

/* Sets the faults given as parameters. /control/vms also replaces the list of
 * VMs by the body, and /control/erase erases the key that the body names. */
static void
handle_control(Platform *platform, const FakeRequest *request,
               FakeReply *reply)
{
    Faults *faults = &platform->faults;

    faults->outage =
        FakeHttp_GetParamNumber(request, "outage", faults->outage) != 0;
    faults->slow_ns = FakeHttp_GetParamNumber(request, "slow_ms",
                                              faults->slow_ns / HR_NS_PER_MS) *
                      HR_NS_PER_MS;
    faults->lose_replies =
        FakeHttp_GetParamNumber(request, "lose_replies", faults->lose_replies);
    faults->lose_requests = FakeHttp_GetParamNumber(request, "lose_requests",
                                                    faults->lose_requests);
    if (strcmp(request->path, "/control/vms") == 0) {
        free(platform->vms);
        platform->vms = strdup(request->body);
    }
    if (strcmp(request->path, "/control/erase") == 0) {
        Entry *entry = find_or_create_entry(platform, request->body);

        free(entry->value);
        entry->value = NULL;
    }
    pthread_cond_broadcast(&platform->changed);
    FakeReply_SetText(reply, MHD_HTTP_OK, "{}");
}

/* Answers with the number of calls of each kind. */
static void
reply_with_stats(const Platform *platform, FakeReply *reply)
{
    char text[256];

    snprintf(text, sizeof(text),
             "{\"reads\":%llu,\"writes\":%llu,\"watches\":%llu,"
             "\"limited\":%llu}",
             (unsigned long long)platform->read_count,
             (unsigned long long)platform->write_count,
             (unsigned long long)platform->watch_count,
             (unsigned long long)platform->rate_limited_count);
    FakeReply_SetText(reply, MHD_HTTP_OK, text);
}

/* Answers a call of the platform. The caller holds the mutex. */
static void
dispatch_call(Platform *platform, const FakeRequest *request, FakeReply *reply)
{
    static const char kv_prefix[] = "/v1/kv/";
    const char *key = request->path + sizeof(kv_prefix) - 1;

    if (strncmp(request->path, kv_prefix, sizeof(kv_prefix) - 1) == 0) {
        if (strcmp(request->method, "PUT") == 0) {
            handle_put(platform, request, key, reply);
            return;
        }
        handle_get(platform, request, key, reply);
        return;
    }
    if (strcmp(request->path, "/v1/lease") == 0) {
        handle_lease(platform, request, reply);
        return;
    }
    if (strcmp(request->path, "/v1/vms") == 0) {
        platform->read_count++;
        FakeReply_SetText(reply, MHD_HTTP_OK, platform->vms);
        return;
    }
    FakeReply_SetText(reply, MHD_HTTP_NOT_FOUND, "{}");
}

/* Answers one request. Faults do not apply to control calls. */
static void
handle_request(void *context, const FakeRequest *request, FakeReply *reply)
{
    Platform *platform = context;
    int64_t slow_ns;

    pthread_mutex_lock(&platform->mutex);
    if (strncmp(request->path, "/control", 8) == 0) {
        if (strcmp(request->method, "GET") == 0) {
            reply_with_stats(platform, reply);
        }
        else {
            handle_control(platform, request, reply);
        }
        pthread_mutex_unlock(&platform->mutex);
        return;
    }
    slow_ns = platform->faults.slow_ns;
    if (slow_ns > 0) {
        pthread_mutex_unlock(&platform->mutex);
        FakeHttp_Sleep(slow_ns);
        pthread_mutex_lock(&platform->mutex);
    }
    if (platform->faults.outage) {
        FakeReply_SetText(reply, MHD_HTTP_SERVICE_UNAVAILABLE, "{}");
    }
    else {
        dispatch_call(platform, request, reply);
    }
    pthread_mutex_unlock(&platform->mutex);
}

/* Runs the simulated platform until SIGTERM. */
int
main(int argc, char **argv)
{
    struct arg_int *port = arg_int1(NULL, "port", "PORT", "port to listen on");
    struct arg_int *reads =
        arg_int0(NULL, "reads", "N", "reads a second (default 2000)");
    struct arg_int *writes =
        arg_int0(NULL, "writes", "N", "writes a second (default 400)");
    struct arg_end *end = arg_end(5);
    void *table[] = {port, reads, writes, end};
    static Platform platform;
    struct MHD_Daemon *daemon;

    reads->ival[0] = 2000;
    writes->ival[0] = 400;
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_syntax(stderr, table, "\n");
        return EXIT_FAILURE;
    }
    pthread_mutex_init(&platform.mutex, NULL);
    pthread_cond_init(&platform.changed, NULL);
    platform.clock = HrClock_MakeSystem();
    platform.reads.per_second = reads->ival[0];
    platform.writes.per_second = writes->ival[0];
    platform.vms = strdup("{\"vms\":[]}");
    FakeHttp_BlockSignals();
    daemon = FakeHttp_StartListener((uint16_t)port->ival[0], CONNECTION_LIMIT,
                                    handle_request, &platform);
    FakeHttp_WaitForStopSignal();
    MHD_stop_daemon(daemon);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return EXIT_SUCCESS;
}
