#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "coord-config.h"
#include "proto-config-codec.h"
#include "state-tables-edit.h"
#include "state-tables-json.h"

/* Measures the distribution of the tables in virtual time: the time until an
 * edit is in force on every daemon, store calls, bytes and memory. */

#define SEED UINT64_C(46600)
#define DAEMONS_MAX 1900
#define DATA_CENTRES 8
/* One-way delay between two daemons or a daemon and the store. The maximum is
 * that between distant regions. */
#define DELAY_MIN_NS (250 * HR_NS_PER_US)
#define DELAY_MAX_NS (80 * HR_NS_PER_MS)
#define MESSAGE_LOSS 0.01
/* Length prefix, frame fields and authentication of a message. */
#define FRAME_BYTES 40
/* Assumed size of a store request, or of a reply without its value. */
#define HTTP_BYTES 300
#define POOLS 130
#define SERVERS_PER_POOL 100
/* Limits that are printed as baselines. */
#define LIMIT_DISTRIBUTION_MS 6000
#define LIMIT_BYTES_PER_S 18432
#define LIMIT_MEMORY_BYTES (64.0 * 1024 * 1024)

/* 1,100 edits a day. */
static const int64_t edit_interval_ns = INT64_C(86400) * HR_NS_PER_S / 1100;

typedef struct Daemon {
    HrConfig *config;
    uint64_t bytes;   /* sent and received */
    int64_t timer_ns; /* time of the scheduled timer event; -1: none */
} Daemon;

typedef enum EventType {
    EVENT_TIMER,
    EVENT_STORE_REQUEST, /* the store receives a read or watch */
    EVENT_REPLY,
    EVENT_MESSAGE,
} EventType;

typedef struct Event {
    int64_t time_ns;
    EventType type;
    uint32_t daemon; /* that made the call or receives the message */
    uint32_t from;
    HrStoreRead read;
    HrStoreReply reply;
    HrBytes message;
} Event;

typedef struct Sim {
    HrRng rng;
    int64_t now_ns;
    Daemon *daemons;
    uint32_t daemon_count;
    Event *heap;
    uint32_t heap_count;
    uint32_t heap_capacity;
    Event *watches; /* open at the store */
    uint32_t watch_count;
    HrTables *tables; /* held by the store */
    char *value_text;
    uint64_t store_calls;
    uint32_t in_force_count;  /* daemons that put the newest revision in
                               * force */
    int64_t last_in_force_ns; /* when the last daemon put the newest revision
                               * in force */
} Sim;

/* Swaps two events of the heap. */
static void
swap_events(Sim *sim, uint32_t a, uint32_t b)
{
    Event event = sim->heap[a];

    sim->heap[a] = sim->heap[b];
    sim->heap[b] = event;
}

/* Adds an event to the heap. */
static void
push_event(Sim *sim, const Event *event)
{
    uint32_t i = sim->heap_count++;

    if (i == sim->heap_capacity) {
        sim->heap_capacity = sim->heap_capacity == 0 ? 1024 : 2 * i;
        sim->heap = talloc_realloc(sim, sim->heap, Event, sim->heap_capacity);
    }
    sim->heap[i] = *event;
    while (i > 0 && sim->heap[(i - 1) / 2].time_ns > sim->heap[i].time_ns) {
        swap_events(sim, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

/* Removes the earliest event from the heap and returns it. */
static Event
pop_event(Sim *sim)
{
    Event first = sim->heap[0];
    uint32_t i = 0;

    sim->heap[0] = sim->heap[--sim->heap_count];
    for (;;) {
        uint32_t child = 2 * i + 1;

        if (child >= sim->heap_count) {
            return first;
        }
        if (child + 1 < sim->heap_count &&
            sim->heap[child + 1].time_ns < sim->heap[child].time_ns) {
            child++;
        }
        if (sim->heap[i].time_ns <= sim->heap[child].time_ns) {
            return first;
        }
        swap_events(sim, i, child);
        i = child;
    }
}

/* Returns the random time at which a message sent now is received. */
static int64_t
pick_receive_time_ns(Sim *sim)
{
    return sim->now_ns + DELAY_MIN_NS +
           (int64_t)HrRng_DrawBelow(&sim->rng, DELAY_MAX_NS - DELAY_MIN_NS);
}

/* Sends a message, which may be lost. The id of a daemon is its index + 1. */
static void
send_message(Sim *sim, uint32_t from, uint64_t to_id,
             const HrConfigMessage *message)
{
    Event event = {
        .type = EVENT_MESSAGE, .from = from, .daemon = (uint32_t)to_id - 1};

    if (HrConfigMessage_Encode(sim, message, &event.message) != HR_OK) {
        abort();
    }
    sim->daemons[from].bytes += event.message.length_bytes + FRAME_BYTES;
    if (HrRng_DrawBool(&sim->rng, MESSAGE_LOSS)) {
        talloc_free((void *)event.message.data);
        return;
    }
    sim->daemons[event.daemon].bytes +=
        event.message.length_bytes + FRAME_BYTES;
    event.time_ns = pick_receive_time_ns(sim);
    push_event(sim, &event);
}

/* Schedules the next timer event of a daemon. Earlier timer events of the
 * daemon are ignored, because their time differs from timer_ns. */
static void
arm_timer(Sim *sim, uint32_t index)
{
    Daemon *daemon = &sim->daemons[index];
    Event event = {.type = EVENT_TIMER, .daemon = index};

    event.time_ns = HrConfig_GetNextTimer(daemon->config);
    if (event.time_ns != daemon->timer_ns) {
        daemon->timer_ns = event.time_ns;
        push_event(sim, &event);
    }
}

/* Passes an event to a daemon and performs the resulting actions. */
static void
handle_config_event(Sim *sim, uint32_t index, HrConfigEvent *event)
{
    Daemon *daemon = &sim->daemons[index];
    HrConfigAction action;

    event->now_ns = sim->now_ns;
    HrConfig_HandleEvent(daemon->config, event);
    while (HrConfig_PopAction(daemon->config, &action)) {
        Event call = {.type = EVENT_STORE_REQUEST, .daemon = index};

        switch (action.type) {
        case HR_CONFIG_ACTION_READ:
            call.read = action.u.read;
            call.time_ns = pick_receive_time_ns(sim);
            daemon->bytes += HTTP_BYTES;
            sim->store_calls++;
            push_event(sim, &call);
            break;
        case HR_CONFIG_ACTION_SEND:
            send_message(sim, index, action.u.send.to_id,
                         &action.u.send.message);
            break;
        case HR_CONFIG_ACTION_PUBLISH:
            if (action.u.publish.tables->revision == sim->tables->revision) {
                sim->in_force_count++;
                sim->last_in_force_ns = sim->now_ns;
            }
            break;
        case HR_CONFIG_ACTION_ALARM:
            break;
        }
    }
    arm_timer(sim, index);
}

/* Sends the store's reply to a read. */
static void
send_reply(Sim *sim, const Event *call, HrStoreResult result)
{
    Event event = {.type = EVENT_REPLY, .daemon = call->daemon};

    event.reply.request_id = call->read.request_id;
    event.reply.result = result;
    event.reply.revision = sim->tables->revision;
    if (result == HR_STORE_OK) {
        event.reply.value.data = (const uint8_t *)sim->value_text;
        event.reply.value.length_bytes = strlen(sim->value_text);
    }
    sim->daemons[call->daemon].bytes +=
        HTTP_BYTES + event.reply.value.length_bytes;
    event.time_ns = pick_receive_time_ns(sim);
    push_event(sim, &event);
}

/* Answers a read, or a watch of an older revision, at once. Other watches
 * wait. The simulated store uses the revision of the tables as that of the
 * key. */
static void
handle_store_request(Sim *sim, Event *event)
{
    if (!event->read.watch ||
        event->read.watch_revision != sim->tables->revision) {
        send_reply(sim, event, HR_STORE_OK);
        return;
    }
    event->time_ns = sim->now_ns + (int64_t)event->read.wait_ms * HR_NS_PER_MS;
    sim->watches[sim->watch_count++] = *event;
}

/* Answers the watches whose wait is over, or all if the value has changed. */
static void
end_watches(Sim *sim, bool changed)
{
    uint32_t i = 0;

    while (i < sim->watch_count) {
        Event watch = sim->watches[i];

        if (!changed && watch.time_ns > sim->now_ns) {
            i++;
            continue;
        }
        sim->watches[i] = sim->watches[--sim->watch_count];
        send_reply(sim, &watch, changed ? HR_STORE_OK : HR_STORE_UNCHANGED);
    }
}

/* Decodes a message and passes it to the receiving daemon. */
static void
deliver_message(Sim *sim, const Event *event)
{
    HrConfigEvent received = {.type = HR_CONFIG_EVENT_MESSAGE};
    HrConfigMessage *message =
        HrConfigMessage_Decode(sim, event->message, NULL);

    if (message == NULL) {
        abort();
    }
    received.u.message.from_id = event->from + 1;
    received.u.message.message = message;
    handle_config_event(sim, event->daemon, &received);
    talloc_free(message);
    talloc_free((void *)event->message.data);
}

/* Processes one event. */
static void
handle_event(Sim *sim, Event *event)
{
    HrConfigEvent config_event = {.type = HR_CONFIG_EVENT_TIMER};

    switch (event->type) {
    case EVENT_TIMER:
        if (sim->daemons[event->daemon].timer_ns == event->time_ns) {
            sim->daemons[event->daemon].timer_ns = -1;
            handle_config_event(sim, event->daemon, &config_event);
        }
        break;
    case EVENT_STORE_REQUEST:
        handle_store_request(sim, event);
        break;
    case EVENT_REPLY:
        config_event.type = HR_CONFIG_EVENT_STORE_REPLY;
        config_event.u.store_reply = event->reply;
        handle_config_event(sim, event->daemon, &config_event);
        break;
    case EVENT_MESSAGE:
        deliver_message(sim, event);
        break;
    }
}

/* Runs the simulation until a time or, if stop_when_in_force is true, until
 * the newest revision is in force on every daemon. */
static void
run_until(Sim *sim, int64_t until_ns, bool stop_when_in_force)
{
    while (sim->heap_count > 0 && sim->heap[0].time_ns <= until_ns) {
        Event event = pop_event(sim);

        sim->now_ns = event.time_ns;
        end_watches(sim, false);
        handle_event(sim, &event);
        if (stop_when_in_force && sim->in_force_count == sim->daemon_count) {
            return;
        }
    }
    sim->now_ns = until_ns;
}

/* Returns a pool with servers, whose names have realistic lengths. */
static HrPool
make_pool(const void *parent, uint32_t number, uint32_t servers)
{
    HrPool pool = {.name = talloc_asprintf(parent, "pool-%03u", number),
                   .slots = 5,
                   .connections = 40,
                   .connect_ms = 6,
                   .hedge = HR_HEDGE_QUANTILE,
                   .hedge_quantile = 0.95,
                   .hedge_delay_ms = 10,
                   .extra_load_percent = 5,
                   .queue_limit = 1000,
                   .servers = talloc_zero_array(parent, HrServer, servers),
                   .server_count = servers};
    uint32_t i;

    for (i = 0; i < servers; i++) {
        HrServer *server = &pool.servers[i];

        server->name = talloc_asprintf(parent, "s%03u-%02u", number, i);
        server->address = talloc_asprintf(parent, "10.%u.%u.%u:8000",
                                          number / 256, number % 256, i + 1);
        server->data_centre = talloc_asprintf(parent, "dc%u", i % 8);
        server->group = talloc_asprintf(parent, "g%02u", i / 3);
    }
    return pool;
}

/* Returns the tables after an edit that sets count pools of the given number
 * of servers, starting with pool number first. */
static HrTables *
set_pools(const void *parent, const HrTables *old, uint32_t first,
          uint32_t count, uint32_t servers)
{
    void *memory = talloc_new(NULL);
    HrPool *pools = talloc_array(memory, HrPool, count);
    HrTablesEdit edit = {.edit_id = "0123456789abcdef",
                         .operator_name = "operator",
                         .summary = "set pool",
                         .set_pools = pools,
                         .set_pool_count = count};
    HrError err = {0};
    HrTables *tables;
    uint32_t i;

    for (i = 0; i < count; i++) {
        pools[i] = make_pool(memory, first + i, servers);
        pools[i].queue_limit +=
            old == NULL ? 0 : (uint32_t)(old->revision % 1000);
    }
    tables = HrTablesEdit_Apply(parent, old, &edit, 1700000000000, &err);
    if (tables == NULL) {
        fprintf(stderr, "%s\n", err.message);
        abort();
    }
    talloc_free(memory);
    return tables;
}

/* Changes a random pool in the store, and passes the new tables to the random
 * daemon that made the edit. */
static void
commit_edit(Sim *sim, uint32_t servers)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_LOCAL_TABLES};
    HrTables *next = set_pools(
        sim, sim->tables,
        (uint32_t)HrRng_DrawBelow(&sim->rng, sim->tables->pool_count), 1,
        servers);

    talloc_free(sim->tables);
    sim->tables = next;
    /* The old text is not freed, because undelivered replies point into it. */
    sim->value_text = HrTables_ToStoreText(sim, next);
    sim->in_force_count = 0;
    end_watches(sim, true);
    event.u.tables = next;
    handle_config_event(
        sim, (uint32_t)HrRng_DrawBelow(&sim->rng, sim->daemon_count), &event);
}

/* Sends every daemon a member view with all daemons, spread over DATA_CENTRES
 * data centres. */
static void
send_member_view(Sim *sim)
{
    HrMember *members = talloc_zero_array(NULL, HrMember, sim->daemon_count);
    HrMemberView view = {.members = members,
                         .member_count = sim->daemon_count};
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_MEMBERS};
    uint32_t i;

    for (i = 0; i < sim->daemon_count; i++) {
        members[i].daemon_id = i + 1;
        snprintf(members[i].data_centre, sizeof(members[i].data_centre),
                 "dc%u", i % DATA_CENTRES);
    }
    event.u.members = &view;
    for (i = 0; i < sim->daemon_count; i++) {
        handle_config_event(sim, i, &event);
    }
    talloc_free(members);
}

/* Creates a simulation, starts its daemons and runs it until each has put the
 * first tables in force. */
static Sim *
start_sim(uint32_t daemons, uint32_t pools, uint32_t servers)
{
    Sim *sim = talloc_zero(NULL, Sim);
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_START};
    HrConfigSettings settings;
    uint32_t i;

    sim->rng = HrRng_FromSeed(SEED);
    sim->daemon_count = daemons;
    sim->daemons = talloc_zero_array(sim, Daemon, daemons);
    sim->watches = talloc_array(sim, Event, 2 * daemons + 16);
    sim->tables = set_pools(sim, NULL, 0, pools, servers);
    sim->value_text = HrTables_ToStoreText(sim, sim->tables);
    for (i = 0; i < daemons; i++) {
        HrConfigSettings_GetDefaults(&settings, i + 1);
        sim->daemons[i].config = HrConfig_Create(
            sim, &settings, HrRng_FromSeed(HrRng_DrawU64(&sim->rng)));
        handle_config_event(sim, i, &event);
    }
    send_member_view(sim);
    run_until(sim, 30 * HR_NS_PER_S, false);
    if (sim->in_force_count != daemons) {
        fprintf(stderr, "%u of %u daemons received the first tables\n",
                sim->in_force_count, daemons);
        abort();
    }
    return sim;
}

/* Compares two durations for qsort(). */
static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

/* Prints one measurement as a line of JSON. */
static void
print_value(const char *name, uint32_t daemons, const char *unit, double value,
            double baseline)
{
    printf("{\"name\":\"%s_%u_daemons\",\"unit\":\"%s\",\"value\":%.6g,"
           "\"baseline\":%.6g,\"seed\":%llu}\n",
           name, daemons, unit, value, baseline, (unsigned long long)SEED);
    fflush(stdout);
}

/* Returns a duration in ms. */
static double
to_ms(int64_t duration_ns)
{
    return (double)duration_ns / (double)HR_NS_PER_MS;
}

/* Measures the time until each of 20 edits is in force on every daemon, and
 * the rate of store calls without edits. The baselines are the limit of 6 s,
 * and 16 readers that call every 2 s. */
static void
measure_distribution(uint32_t daemons)
{
    enum { EDITS = 20 };
    Sim *sim = start_sim(daemons, 8, 4);
    int64_t times[EDITS];
    uint32_t i;

    for (i = 0; i < EDITS; i++) {
        int64_t start_ns;

        run_until(sim,
                  sim->now_ns + 8 * HR_NS_PER_S +
                      (int64_t)HrRng_DrawBelow(&sim->rng, 4 * HR_NS_PER_S),
                  false);
        start_ns = sim->now_ns;
        commit_edit(sim, 4);
        run_until(sim, start_ns + 60 * HR_NS_PER_S, true);
        times[i] = sim->last_in_force_ns - start_ns;
        if (sim->in_force_count != daemons) {
            fprintf(stderr, "an edit did not reach every daemon\n");
            abort();
        }
    }
    qsort(times, EDITS, sizeof(times[0]), compare_ns);
    print_value("config_spread_median", daemons, "ms", to_ms(times[EDITS / 2]),
                LIMIT_DISTRIBUTION_MS);
    print_value("config_spread_max", daemons, "ms", to_ms(times[EDITS - 1]),
                LIMIT_DISTRIBUTION_MS);
    sim->store_calls = 0;
    run_until(sim, sim->now_ns + 60 * HR_NS_PER_S, false);
    print_value("config_store_calls", daemons, "calls/s",
                (double)sim->store_calls / 60, 2 * DATA_CENTRES / 2.0);
    talloc_free(sim);
}

/* Measures the bytes per second of a daemon at 1,100 edits a day with 13,000
 * servers: the mean and the maximum. The maximum is printed as that of a store
 * reader, which also reads each new value from the store. Each edit changes a
 * pool of 100 servers. The baseline is the limit for all control traffic. */
static void
measure_bytes(uint32_t daemons)
{
    enum { EDITS = 4 };
    Sim *sim = start_sim(daemons, POOLS, SERVERS_PER_POOL);
    int64_t start_ns = sim->now_ns;
    uint64_t sum_bytes = 0, max_bytes = 0;
    double seconds;
    uint32_t i;

    for (i = 0; i < daemons; i++) {
        sim->daemons[i].bytes = 0;
    }
    for (i = 0; i < EDITS; i++) {
        commit_edit(sim, SERVERS_PER_POOL);
        run_until(sim, sim->now_ns + edit_interval_ns, false);
    }
    seconds = (double)(sim->now_ns - start_ns) / HR_NS_PER_S;
    for (i = 0; i < daemons; i++) {
        uint64_t bytes = sim->daemons[i].bytes;

        sum_bytes += bytes;
        max_bytes = bytes > max_bytes ? bytes : max_bytes;
    }
    print_value("config_bytes_mean", daemons, "bytes/s",
                (double)sum_bytes / daemons / seconds, LIMIT_BYTES_PER_S);
    print_value("config_bytes_store_reader", daemons, "bytes/s",
                (double)max_bytes / seconds, LIMIT_BYTES_PER_S);
    talloc_free(sim);
}

/* Returns the CPU time used by this process in ns. */
static int64_t
get_cpu_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return HrTime_ToNs(time);
}

/* Measures the memory of the tables in a daemon with 13,000 servers, the size
 * of their value in the store, and the CPU time to parse it. */
static void
measure_memory(void)
{
    HrTables *tables = set_pools(NULL, NULL, 0, POOLS, SERVERS_PER_POOL);
    char *value_text = HrTables_ToStoreText(tables, tables);
    size_t before = mallinfo2().uordblks, held;
    int64_t cpu_time_ns;
    HrTables *copy;

    cpu_time_ns = get_cpu_ns();
    copy = HrTables_ParseJson(NULL, value_text, strlen(value_text), "store",
                              NULL);
    cpu_time_ns = get_cpu_ns() - cpu_time_ns;
    held = mallinfo2().uordblks - before;
    /* HrConfig and the published snapshot hold one copy each, and while the
     * tables are replaced, one copy each of the new ones. */
    print_value("config_memory_four_copies", 1, "bytes", 4.0 * (double)held,
                LIMIT_MEMORY_BYTES);
    print_value("config_store_value", 1, "bytes", (double)strlen(value_text),
                HR_STORE_VALUE_MAX_BYTES);
    /* The baseline is 1.7% of a core for the time between two edits. */
    print_value("config_read_cpu", 1, "ms", to_ms(cpu_time_ns),
                0.017 * to_ms(edit_interval_ns));
    talloc_free(copy);
    talloc_free(tables);
}

/* Prints all measurements, each as a line of JSON. */
int
main(void)
{
    static const uint32_t daemon_counts[] = {4, 40, 400, DAEMONS_MAX};
    size_t i;

    for (i = 0; i < sizeof(daemon_counts) / sizeof(daemon_counts[0]); i++) {
        measure_distribution(daemon_counts[i]);
    }
    measure_bytes(40);
    measure_memory();
    return 0;
}
