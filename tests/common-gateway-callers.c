#include "common-gateway-callers.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base-rng.h"
#include "common-process.h"

#define DEFAULT_CALLERS 6
#define DEFAULT_DEADLINE_MS 4000
#define REQUEST_PERIOD_MS 4
#define LIST_TTL_MS INT64_C(2000)
#define RECORD_BYTES 16
#define RECORDS_PER_SHARD 3
#define RESULT_LIMIT 4
#define SHARDS_MAX 16
/* The longest timeout of the usual routes of the site, and the further delay
 * that an answer may have on a busy machine. */
#define DEFAULT_TIMEOUT_MS 2000
#define LATE_ANSWER_MS 1500
/* If a connection ends sooner than this after a request was sent, the gateway
 * may have closed it before it read the request. */
#define CLOSE_RACE_MS 150
#define REFUSED_MAX 4096
#define UNANSWERED_MAX 256

struct TestGatewayCallers {
    const TestSite *site;
    TestCallerOptions options;
    uint32_t shard_count;
    pthread_t threads[TEST_CALLERS_MAX];
    uint64_t seeds[TEST_CALLERS_MAX];
    uint32_t next_caller;
    bool stop;
    pthread_mutex_t mutex; /* guards the fields below */
    TestCallerCounts counts;
    int64_t fault_until_ms[TEST_GATEWAYS_MAX];
    int64_t stopping_since_ms[TEST_GATEWAYS_MAX];
    char refused[REFUSED_MAX][32];
    uint32_t refused_count;
    /* Not answered by a stopping gateway without a fault. */
    char unanswered[UNANSWERED_MAX][32];
    uint32_t unanswered_count;
};

/* One caller, with its thread's state. */
typedef struct Caller {
    TestGatewayCallers *callers;
    HrRng rng;
    uint32_t number;
    uint32_t requests;
    uint16_t ports[TEST_GATEWAYS_MAX]; /* from the directory's last answer */
    uint32_t port_count;
    int64_t list_expires_ms;
    int fd; /* -1: no connection */
    uint16_t fd_port;
} Caller;

/* Counts a wrong answer or a forbidden run of a request. Only the first one is
 * described in first_wrong. */
static void __attribute__((format(printf, 2, 3)))
record_wrong_answer(TestGatewayCallers *callers, const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&callers->mutex);
    if (callers->counts.wrong++ == 0) {
        va_start(args, format);
        vsnprintf(callers->counts.first_wrong,
                  sizeof(callers->counts.first_wrong), format, args);
        va_end(args);
    }
    pthread_mutex_unlock(&callers->mutex);
}

/* Increments a counter under the mutex. */
static void
add_to_count(TestGatewayCallers *callers, uint32_t *counter)
{
    pthread_mutex_lock(&callers->mutex);
    (*counter)++;
    pthread_mutex_unlock(&callers->mutex);
}

/* Returns the index of the gateway that listens on a caller port, or of the
 * last one if none of the others does. */
static uint32_t
find_gateway_by_port(const TestSite *site, uint16_t port)
{
    uint32_t i;

    for (i = 0; i + 1 < site->gateway_count; i++) {
        if (site->gateways[i].caller_port == port) {
            return i;
        }
    }
    return i;
}

/* Requests the addresses of the gateways from a random gateway's directory. */
static void
query_directory(Caller *caller)
{
    const TestSite *site = caller->callers->site;
    uint32_t gateway_index =
        (uint32_t)HrRng_DrawBelow(&caller->rng, site->gateway_count);
    TestAnswer answer = TestHttp_SendRequest(
        site->gateways[gateway_index].directory_port,
        "/api/resolution?name=site.example&region=r&zone=a", NULL, NULL);
    const json_t *list = json_object_get(answer.json, "addrs");
    size_t i;

    if (answer.status == 200 && json_array_size(list) > 0) {
        caller->port_count = 0;
        for (i = 0; i < json_array_size(list) && i < TEST_GATEWAYS_MAX; i++) {
            const char *text = json_string_value(json_array_get(list, i));
            const char *port = text != NULL ? strrchr(text, ':') : NULL;

            if (port != NULL) {
                caller->ports[caller->port_count++] =
                    (uint16_t)strtoul(port + 1, NULL, 10);
            }
        }
        /* Every third caller uses the list for three times its lifetime. */
        caller->list_expires_ms =
            TestClock_GetWallMs() +
            (caller->number % 3 == 0 ? 3 : 1) * LIST_TTL_MS;
    }
    TestAnswer_Release(&answer);
}

/* Opens a connection to a random gateway of the list, unless one is open.
 * Returns false on failure. */
static bool
open_connection(Caller *caller)
{
    const struct timeval timeout = {
        .tv_sec = caller->callers->options.deadline_ms / 1000 + 4};
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    if (caller->fd >= 0) {
        return true;
    }
    if (caller->port_count == 0) {
        return false;
    }
    caller->fd_port =
        caller->ports[HrRng_DrawBelow(&caller->rng, caller->port_count)];
    in.sin_port = htons(caller->fd_port);
    caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(caller->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(caller->fd, (struct sockaddr *)&in, sizeof(in)) != 0) {
        close(caller->fd);
        caller->fd = -1;
        return false;
    }
    return true;
}

/* Orders records from the greatest to the least. */
static int
compare_records(const void *left, const void *right)
{
    return memcmp(right, left, RECORD_BYTES);
}

/* Writes the records that each server of a service returns. */
static void
fill_records(char *buf, uint32_t service)
{
    uint32_t i;

    for (i = 0; i < RECORDS_PER_SHARD; i++) {
        char text[64];

        snprintf(text, sizeof(text), "record-%02u-%02u-%02u.", service, i, i);
        memcpy(buf + (size_t)i * RECORD_BYTES, text, RECORD_BYTES);
    }
}

/* Joins the values of all header lines with the given name, each followed by a
 * comma. */
static void
join_header(const TestReply *reply, const char *name, char *buf,
            size_t buf_bytes)
{
    TestReply rest = *reply;
    char value[512];
    size_t used = 0;

    while (TestReply_FindHeader(&rest, name, value, sizeof(value)) != NULL) {
        char *line = strcasestr(rest.text, name);

        used += (size_t)snprintf(buf + used, buf_bytes - used, "%s,", value);
        if (used >= buf_bytes) {
            return;
        }
        /* Changes the name in this line, so that the next search skips it. */
        line[0] = '-';
    }
}

/* Checks a merged answer against the shards whose digests its headers list:
 * each shard at most once, at least half of the shards, and in the body the
 * greatest records of these shards. */
static void
check_merged_answer(Caller *caller, const TestReply *reply, const char *id)
{
    TestGatewayCallers *callers = caller->callers;
    char digests[1024] = "", missing[16] = "0", prefix[64], *at, *rest;
    char expected[SHARDS_MAX * RECORDS_PER_SHARD * RECORD_BYTES] = {0};
    bool is_listed[SHARDS_MAX] = {false};
    size_t records, prefix_length;
    uint32_t parts = 0;

    join_header(reply, "Hickoryrouter-Part-Seals", digests, sizeof(digests));
    TestReply_FindHeader(reply, "Hickoryrouter-Missing-Parts", missing,
                         sizeof(missing));
    prefix_length = (size_t)snprintf(prefix, sizeof(prefix), "seal-%s-", id);
    for (at = strtok_r(digests, ", ", &rest); at != NULL;
         at = strtok_r(NULL, ", ", &rest)) {
        uint32_t service = (uint32_t)strtoul(at + prefix_length, NULL, 10);

        if (strncmp(at, prefix, prefix_length) != 0 ||
            service >= callers->shard_count || is_listed[service]) {
            record_wrong_answer(callers, "%s: unexpected or repeated part %s",
                                id, at);
            return;
        }
        is_listed[service] = true;
        fill_records(expected +
                         (size_t)parts++ * RECORDS_PER_SHARD * RECORD_BYTES,
                     service);
    }
    qsort(expected, (size_t)parts * RECORDS_PER_SHARD, RECORD_BYTES,
          compare_records);
    records = (size_t)parts * RECORDS_PER_SHARD;
    records = records < RESULT_LIMIT ? records : RESULT_LIMIT;
    if (parts == 0 ||
        parts + strtoul(missing, NULL, 10) != callers->shard_count ||
        parts * 2 < callers->shard_count ||
        reply->body_bytes != records * RECORD_BYTES ||
        memcmp(reply->text + reply->head_bytes, expected, reply->body_bytes) !=
            0) {
        record_wrong_answer(callers, "%s: %u parts, %s missing, %zu bytes", id,
                            parts, missing, reply->body_bytes);
        return;
    }
    add_to_count(callers, parts == callers->shard_count
                              ? &callers->counts.complete
                              : &callers->counts.partial);
}

/* Checks the digest and the length of an answer of a single server. */
static void
check_single_answer(Caller *caller, const TestReply *reply, const char *id)
{
    TestGatewayCallers *callers = caller->callers;
    char digest[64] = "", expected[64];

    TestReply_FindHeader(reply, "Hickoryrouter-Response-Seal", digest,
                         sizeof(digest));
    snprintf(expected, sizeof(expected), "seal-%s-%u", id,
             callers->shard_count);
    if (strcmp(digest, expected) != 0 ||
        reply->body_bytes != (size_t)RECORDS_PER_SHARD * RECORD_BYTES) {
        record_wrong_answer(callers, "%s: wrong digest %s or body length", id,
                            digest);
        return;
    }
    add_to_count(callers, &callers->counts.complete);
}

/* Records a refused request, so that the end of the test can check that it has
 * not run. */
static void
record_refusal(TestGatewayCallers *callers, const char *id)
{
    pthread_mutex_lock(&callers->mutex);
    callers->counts.refused++;
    if (callers->refused_count < REFUSED_MAX) {
        snprintf(callers->refused[callers->refused_count++], 32, "%s", id);
    }
    pthread_mutex_unlock(&callers->mutex);
}

/* Counts a request that got no answer, one that a stopping gateway did not
 * answer, and one that ended late. The last two are counted only if every
 * recorded fault of the gateway ended before the request was sent. */
static void
check_timing(Caller *caller, const TestReply *reply, const char *id,
             int64_t sent_ms)
{
    TestGatewayCallers *callers = caller->callers;
    uint32_t gateway = find_gateway_by_port(callers->site, caller->fd_port);
    int64_t now_ms = TestClock_GetWallMs();
    bool is_fault_free, is_stopping;

    pthread_mutex_lock(&callers->mutex);
    is_fault_free = callers->fault_until_ms[gateway] < sent_ms;
    is_stopping = callers->stopping_since_ms[gateway] > 0;
    callers->counts.no_answer += reply->status == 0;
    if (is_fault_free && reply->status == 0 && is_stopping) {
        if (now_ms - sent_ms > CLOSE_RACE_MS) {
            callers->counts.cut++;
        }
        else if (callers->unanswered_count < UNANSWERED_MAX) {
            snprintf(callers->unanswered[callers->unanswered_count++], 32,
                     "%s", id);
        }
    }
    if (is_fault_free &&
        now_ms - sent_ms > callers->options.max_timeout_ms + LATE_ANSWER_MS) {
        callers->counts.late++;
    }
    pthread_mutex_unlock(&callers->mutex);
}

/* Checks an answer by its status, and its contents if the status is 200, and
 * counts it. */
static void
check_reply(Caller *caller, const TestReply *reply, const char *id,
            bool to_shards, int64_t sent_ms)
{
    TestGatewayCallers *callers = caller->callers;
    /* On the route to a single server, the gateway passes on the server's own
     * status 500. */
    bool is_server_failure = reply->status == 500 && !to_shards;

    check_timing(caller, reply, id, sent_ms);
    switch (reply->status) {
    case 0:
        break;
    case 200:
        if (to_shards) {
            check_merged_answer(caller, reply, id);
        }
        else {
            check_single_answer(caller, reply, id);
        }
        break;
    case 503:
        record_refusal(callers, id);
        break;
    case 500:
    case 502:
    case 504:
        if (reply->status == 500 && !is_server_failure) {
            record_wrong_answer(callers, "%s: status 500", id);
        }
        add_to_count(callers, &callers->counts.failed);
        break;
    default:
        record_wrong_answer(callers, "%s: status %d", id, reply->status);
        break;
    }
}

/* Sends one request and checks its answer. */
static void
send_request(Caller *caller)
{
    bool to_shards = HrRng_DrawBool(&caller->rng, 0.6);
    char id[32], text[512], value[16];
    int64_t sent_ms = TestClock_GetWallMs();
    TestReply reply;
    int length;

    snprintf(id, sizeof(id), "%s-%u-%u", to_shards ? "wide" : "once",
             caller->number, caller->requests++);
    length = snprintf(text, sizeof(text),
                      "%s HTTP/1.1\r\nHost: site.example\r\n"
                      "Hickoryrouter-Request-Id: %s\r\n"
                      "Hickoryrouter-Request-Deadline: %u\r\n"
                      "Content-Length: 0\r\n\r\n",
                      to_shards ? "GET /wide/q" : "POST /once/p", id,
                      caller->callers->options.deadline_ms);
    if (send(caller->fd, text, (size_t)length, MSG_NOSIGNAL) != length) {
        close(caller->fd);
        caller->fd = -1;
        return;
    }
    reply = TestSocket_ReadReply(caller->fd);
    check_reply(caller, &reply, id, to_shards, sent_ms);
    if (reply.status == 0 || (TestReply_FindHeader(&reply, "Connection", value,
                                                   sizeof(value)) != NULL &&
                              strcmp(value, "close") == 0)) {
        close(caller->fd);
        caller->fd = -1;
    }
}

/* Runs one caller, which sends requests until the stop flag is set. */
static void *
run_caller(void *arg)
{
    TestGatewayCallers *callers = arg;
    Caller caller = {.callers = callers, .fd = -1};

    pthread_mutex_lock(&callers->mutex);
    caller.number = callers->next_caller++;
    pthread_mutex_unlock(&callers->mutex);
    caller.rng = HrRng_FromSeed(callers->seeds[caller.number]);
    while (!__atomic_load_n(&callers->stop, __ATOMIC_ACQUIRE)) {
        if (TestClock_GetWallMs() >= caller.list_expires_ms) {
            query_directory(&caller);
        }
        if (open_connection(&caller)) {
            send_request(&caller);
        }
        TestClock_SleepMs(REQUEST_PERIOD_MS);
    }
    if (caller.fd >= 0) {
        close(caller.fd);
    }
    return NULL;
}

/* Prints the counts of a run with a seed. */
void
TestCallerCounts_Print(const TestCallerCounts *counts, uint64_t seed)
{
    printf("seed %llu: %u complete, %u partial, %u refused, %u failed, %u "
           "without answer, %u late, %u cut, %u wrong %s\n",
           (unsigned long long)seed, counts->complete, counts->partial,
           counts->refused, counts->failed, counts->no_answer, counts->late,
           counts->cut, counts->wrong, counts->first_wrong);
}

/* Sets the options for a site with its usual routes. */
void
TestCallerOptions_GetDefaults(TestCallerOptions *options)
{
    *options = (TestCallerOptions){DEFAULT_CALLERS, DEFAULT_DEADLINE_MS,
                                   DEFAULT_TIMEOUT_MS};
}

/* Starts the threads. */
TestGatewayCallers *
TestGatewayCallers_Start(const TestSite *site,
                         const TestCallerOptions *options,
                         uint32_t service_count, uint64_t seed)
{
    TestGatewayCallers *callers = calloc(1, sizeof(*callers));
    uint32_t i;

    callers->site = site;
    callers->options = *options;
    callers->shard_count = service_count - 1;
    pthread_mutex_init(&callers->mutex, NULL);
    for (i = 0; i < options->count; i++) {
        callers->seeds[i] = seed * options->count + i;
    }
    for (i = 0; i < options->count; i++) {
        pthread_create(&callers->threads[i], NULL, run_caller, callers);
    }
    return callers;
}

/* Records until when a gateway has an injected fault. */
void
TestGatewayCallers_ExtendFault(TestGatewayCallers *callers, uint32_t gateway,
                               int64_t until_ms)
{
    pthread_mutex_lock(&callers->mutex);
    if (until_ms > callers->fault_until_ms[gateway]) {
        callers->fault_until_ms[gateway] = until_ms;
    }
    pthread_mutex_unlock(&callers->mutex);
}

/* Records that a gateway is stopping gracefully. */
void
TestGatewayCallers_SetStopping(TestGatewayCallers *callers, uint32_t gateway,
                               int64_t since_ms)
{
    pthread_mutex_lock(&callers->mutex);
    callers->stopping_since_ms[gateway] = since_ms;
    pthread_mutex_unlock(&callers->mutex);
}

/* Returns the counts up to now. */
TestCallerCounts
TestGatewayCallers_GetCounts(TestGatewayCallers *callers)
{
    TestCallerCounts counts;

    pthread_mutex_lock(&callers->mutex);
    counts = callers->counts;
    pthread_mutex_unlock(&callers->mutex);
    return counts;
}

/* Stops the threads and checks how often the requests ran. */
TestCallerCounts
TestGatewayCallers_Stop(TestGatewayCallers *callers)
{
    TestCallerCounts counts;
    char target[96];
    uint32_t i;

    __atomic_store_n(&callers->stop, true, __ATOMIC_RELEASE);
    for (i = 0; i < callers->options.count; i++) {
        pthread_join(callers->threads[i], NULL);
    }
    if (TestSite_SendControl(callers->site, "/test/runs?prefix=once-",
                             "runs") > 1) {
        record_wrong_answer(callers,
                            "a request that must run at most once ran again");
    }
    for (i = 0; i < callers->unanswered_count; i++) {
        snprintf(target, sizeof(target), "/test/runs?id=%s",
                 callers->unanswered[i]);
        callers->counts.cut +=
            TestSite_SendControl(callers->site, target, "runs") > 0;
    }
    for (i = 0; i < callers->refused_count; i++) {
        if (strncmp(callers->refused[i], "once-", 5) != 0) {
            continue;
        }
        snprintf(target, sizeof(target), "/test/runs?id=%s",
                 callers->refused[i]);
        if (TestSite_SendControl(callers->site, target, "runs") > 0) {
            record_wrong_answer(callers, "%s was refused but has run",
                                callers->refused[i]);
        }
    }
    counts = callers->counts;
    pthread_mutex_destroy(&callers->mutex);
    free(callers);
    return counts;
}
