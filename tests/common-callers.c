#include "common-callers.h"

#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define BOOKING_TTL_MS 60000
/* An answer is late if it is received this long after the deadline. */
#define LATE_GRACE_MS 1000
#define DEFAULT_DEADLINE_MS 5000
#define ENTRIES_MAX 8
#define SHARD_NAME_BYTES 32
#define FAILURES_PRINTED 3

/* A booking that was sent. done is true if either copy was answered as done,
 * not_run if the first one was refused as not run. */
typedef struct Booking {
    char id[32];
    bool done;
    bool not_run;
    struct Booking *next;
} Booking;

/* One caller, which is one thread. */
typedef struct Caller {
    TestCallers *owner;
    pthread_t thread;
    uint32_t number;
    uint32_t sent;
    uint32_t index;                /* daemon that gets the next request */
    uint16_t entries[ENTRIES_MAX]; /* caller ports in the entry list */
    uint32_t entry_count;
    int64_t entries_expiry_ms;
    Booking *bookings;
    TestTally tally;
} Caller;

struct TestCallers {
    const TestCluster *cluster;
    TestCallersConfig config;
    bool stop; /* accessed atomically */
    int64_t started_ms;
    uint32_t start_number; /* number of this TestCallers in the process; part
                              of request ids, which must not repeat */
    Caller *callers;
};

/* Returns true if an answer to a search has the status "complete". */
bool
TestAnswer_IsComplete(const TestAnswer *answer)
{
    return strcmp(TestAnswer_GetText(answer, "status"), "complete") == 0;
}

/* Returns how often a list of an answer, "parts" or "missing", has a shard. */
static uint32_t
count_shard(const TestAnswer *answer, const char *list, const char *shard)
{
    const json_t *items = json_object_get(answer->json, list);
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < json_array_size(items); i++) {
        const char *name = json_string_value(
            json_object_get(json_array_get(items, i), "shard"));

        count += name != NULL && strcmp(name, shard) == 0;
    }
    return count;
}

/* Returns true if the payload of every part names the shard of the part and
 * the version of the answer. */
static bool
do_parts_match(const TestAnswer *answer)
{
    const json_t *parts = json_object_get(answer->json, "parts");
    const json_t *version = json_object_get(answer->json, "version");
    size_t i;

    for (i = 0; i < json_array_size(parts); i++) {
        const json_t *part = json_array_get(parts, i);
        const json_t *payload = json_object_get(part, "payload");

        if (!json_equal(json_object_get(part, "shard"),
                        json_object_get(payload, "shard")) ||
            !json_equal(version, json_object_get(payload, "version"))) {
            return false;
        }
    }
    return true;
}

/* Returns true if an answer names each shard of its version exactly once.
 * fake-backend has one shard per group in an odd version and two in an even
 * version. */
static bool
has_each_shard_once(const TestAnswer *answer, uint32_t groups)
{
    size_t per_group =
        json_integer_value(json_object_get(answer->json, "version")) % 2 == 0
            ? 2
            : 1;
    size_t i;

    for (i = 0; i < groups * per_group; i++) {
        char name[SHARD_NAME_BYTES];

        snprintf(name, sizeof(name), "pool-%02zu%s", i / per_group,
                 per_group == 1 ? "" : (i % 2 == 0 ? "a" : "b"));
        if (count_shard(answer, "parts", name) +
                count_shard(answer, "missing", name) !=
            1) {
            return false;
        }
    }
    return json_array_size(json_object_get(answer->json, "parts")) +
               json_array_size(json_object_get(answer->json, "missing")) ==
           groups * per_group;
}

/* Returns true if the coverage of an answer to a search matches its parts. */
bool
TestAnswer_HasCorrectCoverage(const TestAnswer *answer, uint32_t groups)
{
    const char *status = TestAnswer_GetText(answer, "status");
    size_t missing = json_array_size(json_object_get(answer->json, "missing"));

    if (strcmp(status, "refused") == 0) {
        return json_array_size(json_object_get(answer->json, "parts")) == 0;
    }
    if ((strcmp(status, "complete") != 0 && strcmp(status, "partial") != 0) ||
        (strcmp(status, "complete") == 0) != (missing == 0)) {
        return false;
    }
    return has_each_shard_once(answer, groups) && do_parts_match(answer);
}

/* Sends a booking through one daemon and returns the answer. */
TestAnswer
TestCluster_SendBooking(const TestCluster *cluster, uint32_t index,
                        const char *id, uint32_t attempt, uint32_t deadline_ms)
{
    char body[512];

    snprintf(body, sizeof(body),
             "{\"request_id\":\"%s\",\"kind\":\"book\",\"key\":\"%s\","
             "\"attempt\":%u,\"deadline_ms\":%u,"
             "\"payload\":{\"request_id\":\"%s\"},\"expires_ms\":%lld}",
             id, id, attempt,
             deadline_ms != 0 ? deadline_ms : DEFAULT_DEADLINE_MS, id,
             (long long)TestClock_GetWallMs() + BOOKING_TTL_MS);
    return TestCluster_SendQuery(cluster, index, body);
}

/* Returns the number of runs of each non-idempotent request by its id. */
json_t *
TestCluster_GetRunCounts(const TestCluster *cluster)
{
    TestAnswer answer =
        TestHttp_SendRequest(cluster->backend_port, "/control", NULL, NULL);
    json_t *runs = json_incref(json_object_get(answer.json, "runs"));

    assert_non_null(runs);
    TestAnswer_Release(&answer);
    return runs;
}

/* Sends a control call to the simulated platform. */
void
TestCluster_ControlPlatform(const TestCluster *cluster, const char *path,
                            const char *body)
{
    TestAnswer answer =
        TestHttp_SendRequest(cluster->platform_port, path, NULL, body);

    assert_int_equal(answer.status, 200);
    TestAnswer_Release(&answer);
}

/* Sends a control call to a backend server. */
void
TestCluster_ControlServer(const TestCluster *cluster, uint32_t index,
                          const char *path)
{
    TestAnswer answer = TestHttp_SendRequest(
        (uint16_t)(cluster->backend_port + index), path, NULL, "");

    assert_int_equal(answer.status, 200);
    TestAnswer_Release(&answer);
}

/* Returns a counter that a daemon reports; 0 if it does not answer. */
json_int_t
TestCluster_GetCounter(const TestCluster *cluster, uint32_t index,
                       const char *name)
{
    TestAnswer answer = TestHttp_SendRequest(
        cluster->daemons[index].operator_port, "/v1/status", TEST_TOKEN, NULL);
    json_int_t value = json_integer_value(
        json_object_get(json_object_get(answer.json, "counters"), name));

    TestAnswer_Release(&answer);
    return value;
}

/* Returns the index of the daemon that listens for callers on a port, or 0 if
 * there is none. */
static uint32_t
find_daemon(const TestCluster *cluster, uint16_t port)
{
    uint32_t i;

    for (i = 0; i < cluster->daemon_count; i++) {
        if (cluster->daemons[i].caller_port == port) {
            return i;
        }
    }
    return 0;
}

/* Copies the ports and the expiry time of an entry list to the caller. */
static void
read_entries(Caller *caller, const TestAnswer *answer)
{
    const json_t *entries = json_object_get(answer->json, "entries");
    size_t i;

    caller->entry_count = 0;
    for (i = 0; i < json_array_size(entries) && i < ENTRIES_MAX; i++) {
        const char *address = json_string_value(
            json_object_get(json_array_get(entries, i), "address"));
        const char *colon = address != NULL ? strrchr(address, ':') : NULL;

        if (colon != NULL) {
            caller->entries[caller->entry_count++] =
                (uint16_t)strtoul(colon + 1, NULL, 10);
        }
    }
    caller->entries_expiry_ms =
        TestClock_GetWallMs() +
        json_integer_value(json_object_get(answer->json, "ttl_ms"));
}

/* Chooses the daemon for the next request from the entry list. Reads the list
 * again when it has expired, from the configured daemon or else from the
 * daemon used last. */
static void
choose_listed_daemon(Caller *caller)
{
    const TestCluster *cluster = caller->owner->cluster;
    const uint32_t *from = caller->owner->config.entry_list_daemon;

    if (from == NULL) {
        from = &caller->index;
    }
    if (TestClock_GetWallMs() >= caller->entries_expiry_ms) {
        TestAnswer answer = TestHttp_SendRequest(
            cluster->daemons[*from].caller_port, "/v1/entries", NULL, NULL);

        if (answer.status == 200) {
            read_entries(caller, &answer);
        }
        else {
            caller->tally.no_answer++;
        }
        TestAnswer_Release(&answer);
    }
    if (caller->entry_count > 0) {
        caller->index = find_daemon(
            cluster, caller->entries[caller->sent % caller->entry_count]);
    }
}

/* Counts an answer by its status. Returns true if the request succeeded. */
static bool
count_answer(TestTally *tally, const TestAnswer *answer)
{
    const char *status = TestAnswer_GetText(answer, "status");

    if (strcmp(status, "complete") == 0) {
        tally->complete++;
        return true;
    }
    if (strcmp(status, "done") == 0) {
        tally->done++;
        return true;
    }
    if (strcmp(status, "partial") == 0) {
        tally->partial++;
    }
    else if (strcmp(status, "unknown") == 0) {
        tally->unknown++;
    }
    else if (answer->status == 0) {
        tally->no_answer++;
    }
    else if (json_is_true(json_object_get(answer->json, "not_run"))) {
        tally->refused_not_run++;
    }
    else {
        tally->refused++;
    }
    return false;
}

/* Raises a maximum to a value that is higher. */
static void
update_maximum(int64_t *maximum, int64_t value)
{
    if (value > *maximum) {
        *maximum = value;
    }
}

/* Prints a failure, but only the first three of each caller. */
static void
print_failure(const Caller *caller, const TestAnswer *answer, int64_t sent_ms,
              bool booking)
{
    const TestTally *tally = &caller->tally;

    if (tally->partial + tally->unknown + tally->refused_not_run +
            tally->refused + tally->no_answer <=
        FAILURES_PRINTED) {
        print_message("caller %u, after %lld ms: %s through daemon %u ended "
                      "after %lld ms: HTTP %d %s %s\n",
                      caller->number,
                      (long long)(sent_ms - caller->owner->started_ms),
                      booking ? "booking" : "query", caller->index,
                      (long long)(TestClock_GetWallMs() - sent_ms),
                      answer->status, TestAnswer_GetText(answer, "status"),
                      TestAnswer_GetText(answer, "reason"));
    }
}

/* Records the time of a failure that a daemon answered. Requests without an
 * answer are left out: a closed listener only shows that the caller still used
 * a stopped daemon. */
static void
record_failure_time(TestTally *tally, const TestAnswer *answer, int64_t now_ms,
                    bool booking)
{
    if (answer->status == 0) {
        return;
    }
    tally->last_failure_ms = now_ms;
    if (!booking) {
        tally->last_query_failure_ms = now_ms;
    }
}

/* Counts an answer and its latency. After a failure the caller switches to the
 * next daemon. */
static void
record_answer(Caller *caller, const TestAnswer *answer, int64_t sent_ms,
              bool booking)
{
    const TestCallers *owner = caller->owner;
    int64_t now_ms = TestClock_GetWallMs();
    int64_t limit_ms =
        (owner->config.deadline_ms != 0 ? (int64_t)owner->config.deadline_ms
                                        : DEFAULT_DEADLINE_MS) +
        LATE_GRACE_MS;

    if (!count_answer(&caller->tally, answer)) {
        record_failure_time(&caller->tally, answer, now_ms, booking);
        print_failure(caller, answer, sent_ms, booking);
        caller->index = (caller->index + 1) % owner->cluster->daemon_count;
    }
    caller->tally.late += now_ms - sent_ms > limit_ms;
    update_maximum(booking ? &caller->tally.slowest_booking_ms
                           : &caller->tally.slowest_query_ms,
                   now_ms - sent_ms);
}

/* Sends a booking. If the answer leaves open whether it ran, sends a copy
 * through the next daemon. */
static void
send_booking(Caller *caller)
{
    const TestCallers *owner = caller->owner;
    Booking *booking = calloc(1, sizeof(*booking));
    int64_t sent_ms = TestClock_GetWallMs();
    TestAnswer answer;
    bool open;

    snprintf(booking->id, sizeof(booking->id), "b-%u-%u-%u",
             owner->start_number, caller->number, caller->sent);
    booking->next = caller->bookings;
    caller->bookings = booking;
    answer =
        TestCluster_SendBooking(owner->cluster, caller->index, booking->id, 1,
                                owner->config.deadline_ms);
    booking->done = strcmp(TestAnswer_GetText(&answer, "status"), "done") == 0;
    booking->not_run = json_is_true(json_object_get(answer.json, "not_run"));
    open = !booking->done && !booking->not_run;
    record_answer(caller, &answer, sent_ms, true);
    TestAnswer_Release(&answer);
    if (open) {
        answer =
            TestCluster_SendBooking(owner->cluster, caller->index, booking->id,
                                    2, owner->config.deadline_ms);
        booking->done =
            strcmp(TestAnswer_GetText(&answer, "status"), "done") == 0;
        TestAnswer_Release(&answer);
    }
}

/* Sends a wide query or a lookup and checks the coverage of the answer. */
static void
send_query(Caller *caller, bool wide)
{
    const TestCallers *owner = caller->owner;
    int64_t sent_ms = TestClock_GetWallMs();
    TestAnswer answer;
    char body[256];

    snprintf(body, sizeof(body),
             "{\"request_id\":\"r\",\"kind\":\"%s\",\"key\":\"%u\","
             "\"deadline_ms\":%u,\"payload\":{}}",
             wide ? "search" : "one", caller->sent,
             owner->config.deadline_ms != 0 ? owner->config.deadline_ms
                                            : DEFAULT_DEADLINE_MS);
    answer = TestCluster_SendQuery(owner->cluster, caller->index, body);
    if (answer.status != 0) {
        caller->tally.wrong_coverage +=
            wide ? !TestAnswer_HasCorrectCoverage(&answer,
                                                  owner->cluster->groups)
                 : !do_parts_match(&answer);
    }
    record_answer(caller, &answer, sent_ms, false);
    TestAnswer_Release(&answer);
}

/* Thread function of a caller: sends requests until the stop flag is set. */
static void *
run_caller(void *arg)
{
    Caller *caller = arg;
    TestCallers *owner = caller->owner;

    while (!__atomic_load_n(&owner->stop, __ATOMIC_RELAXED)) {
        if (owner->config.use_entry_list) {
            choose_listed_daemon(caller);
        }
        caller->sent++;
        if (owner->config.send_bookings && caller->sent % 3 == 0) {
            send_booking(caller);
        }
        else {
            send_query(caller, caller->sent % 3 == 1);
        }
        TestClock_SleepMs(owner->config.pause_ms);
    }
    return NULL;
}

/* Starts the threads of the callers. */
TestCallers *
TestCallers_Start(const TestCluster *cluster, const TestCallersConfig *config)
{
    static uint32_t start_count;
    TestCallers *callers = calloc(1, sizeof(*callers));
    uint32_t i;

    callers->cluster = cluster;
    callers->config = *config;
    callers->start_number = ++start_count;
    callers->started_ms = TestClock_GetWallMs();
    callers->callers = calloc(config->count, sizeof(*callers->callers));
    for (i = 0; i < config->count; i++) {
        Caller *caller = &callers->callers[i];

        caller->owner = callers;
        caller->number = i;
        caller->index = i % cluster->daemon_count;
        assert_int_equal(
            pthread_create(&caller->thread, NULL, run_caller, caller), 0);
    }
    return callers;
}

/* Adds the counts of one caller to a sum and raises its maxima. */
static void
add_tally(TestTally *sum, const TestTally *tally)
{
    sum->complete += tally->complete;
    sum->partial += tally->partial;
    sum->done += tally->done;
    sum->unknown += tally->unknown;
    sum->refused_not_run += tally->refused_not_run;
    sum->refused += tally->refused;
    sum->no_answer += tally->no_answer;
    sum->late += tally->late;
    sum->wrong_coverage += tally->wrong_coverage;
    update_maximum(&sum->last_failure_ms, tally->last_failure_ms);
    update_maximum(&sum->last_query_failure_ms, tally->last_query_failure_ms);
    update_maximum(&sum->slowest_query_ms, tally->slowest_query_ms);
    update_maximum(&sum->slowest_booking_ms, tally->slowest_booking_ms);
}

/* Returns how many bookings of a caller ran more than once, or have a run
 * count that contradicts their answers. */
static uint32_t
count_contradicted_bookings(const Caller *caller, const json_t *runs)
{
    const Booking *booking;
    uint32_t contradicted = 0;

    for (booking = caller->bookings; booking != NULL;
         booking = booking->next) {
        json_int_t count =
            json_integer_value(json_object_get(runs, booking->id));

        if (count > 1 || (booking->done && count != 1) ||
            (booking->not_run && count != 0)) {
            print_message("%s ran %d times, done %d, not_run %d\n",
                          booking->id, (int)count, booking->done,
                          booking->not_run);
            contradicted++;
        }
    }
    return contradicted;
}

/* Frees the callers and their bookings. */
static void
free_callers(TestCallers *callers)
{
    uint32_t i;

    for (i = 0; i < callers->config.count; i++) {
        Booking *booking;

        while ((booking = callers->callers[i].bookings) != NULL) {
            callers->callers[i].bookings = booking->next;
            free(booking);
        }
    }
    free(callers->callers);
    free(callers);
}

/* Stops the callers, then prints, checks and returns their outcomes. */
TestTally
TestCallers_Stop(TestCallers *callers, const char *title)
{
    TestTally sum;
    uint32_t i, contradicted = 0;
    json_t *runs;

    memset(&sum, 0, sizeof(sum));
    __atomic_store_n(&callers->stop, true, __ATOMIC_RELAXED);
    for (i = 0; i < callers->config.count; i++) {
        pthread_join(callers->callers[i].thread, NULL);
        add_tally(&sum, &callers->callers[i].tally);
    }
    runs = TestCluster_GetRunCounts(callers->cluster);
    for (i = 0; i < callers->config.count; i++) {
        contradicted +=
            count_contradicted_bookings(&callers->callers[i], runs);
    }
    print_message("%s: %u complete, %u partial, %u done, %u unknown, %u "
                  "refused not run, %u refused, %u without an answer, %u "
                  "late, %zu bookings ran, slowest query %lld ms, booking "
                  "%lld ms\n",
                  title, sum.complete, sum.partial, sum.done, sum.unknown,
                  sum.refused_not_run, sum.refused, sum.no_answer, sum.late,
                  json_object_size(runs), (long long)sum.slowest_query_ms,
                  (long long)sum.slowest_booking_ms);
    json_decref(runs);
    free_callers(callers);
    assert_int_equal(sum.wrong_coverage, 0);
    assert_int_equal(contradicted, 0);
    return sum;
}
