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

/* Distribution of the tables in virtual time: how long an edit takes to be in
 * force on every daemon, store calls, bytes and memory. */

#define SEED UINT64_C(46600)
#define DAEMONS_MAX 1900
#define DATA_CENTRES 8
/* Between two daemons or a daemon and the store, one way. The longest is that
 * between distant regions. */
#define DELAY_MIN_NS (250 * HR_NS_PER_US)
#define DELAY_MAX_NS (80 * HR_NS_PER_MS)
#define MESSAGE_LOSS 0.01
/* Length prefix, frame fields and authentication around the message. */
#define FRAME_BYTES 40
#define HTTP_BYTES 300
#define POOLS 130
#define SERVERS_PER_POOL 100
#define LIMIT_SPREAD_MS 6000
#define LIMIT_BYTES_PER_S 18432
#define LIMIT_MEMORY_BYTES (64.0 * 1024 * 1024)

/* 1,100 edits a day. */
static const int64_t edit_interval_ns = INT64_C(86400) * HR_NS_PER_S / 1100;

typedef struct Daemon {
    HrConfig *config;
    uint64_t bytes; /* sent and received */
    int64_t timer_ns;
} Daemon;

typedef enum EventType {
    EVENT_TIMER,
    EVENT_ARRIVE, /* a read reaches the store */
    EVENT_REPLY,
    EVENT_MESSAGE,
} EventType;

typedef struct Event {
    int64_t time_ns;
    EventType type;
    uint32_t daemon; /* that made the call or gets the message */
    uint32_t from;
    HrStoreRead read;
    HrStoreReply reply;
    HrBytes message;
} Event;

typedef struct World {
    HrRng rng;
    int64_t now_ns;
    Daemon *daemons;
    uint32_t daemon_count;
    Event *heap;
    uint32_t heap_count;
    uint32_t heap_room;
    Event *watches; /* waiting at the store */
    uint32_t watch_count;
    HrTables *tables; /* in the store */
    char *text;
    uint64_t store_calls;
    uint32_t in_force;
    int64_t in_force_ns; /* when the last daemon advanced */
} World;

/* Exchanges two events of the heap. */
static void
swap_events(World *world, uint32_t a, uint32_t b)
{
    Event event = world->heap[a];

    world->heap[a] = world->heap[b];
    world->heap[b] = event;
}

/* Adds an event to the heap. */
static void
push_event(World *world, const Event *event)
{
    uint32_t i = world->heap_count++;

    if (i == world->heap_room) {
        world->heap_room = world->heap_room == 0 ? 1024 : 2 * i;
        world->heap =
            talloc_realloc(world, world->heap, Event, world->heap_room);
    }
    world->heap[i] = *event;
    while (i > 0 &&
           world->heap[(i - 1) / 2].time_ns > world->heap[i].time_ns) {
        swap_events(world, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

/* Removes the earliest event. */
static Event
pop_event(World *world)
{
    Event first = world->heap[0];
    uint32_t i = 0;

    world->heap[0] = world->heap[--world->heap_count];
    for (;;) {
        uint32_t child = 2 * i + 1;

        if (child >= world->heap_count) {
            return first;
        }
        if (child + 1 < world->heap_count &&
            world->heap[child + 1].time_ns < world->heap[child].time_ns) {
            child++;
        }
        if (world->heap[i].time_ns <= world->heap[child].time_ns) {
            return first;
        }
        swap_events(world, i, child);
        i = child;
    }
}

/* Returns when something that is sent now arrives. */
static int64_t
arrival_ns(World *world)
{
    return world->now_ns + DELAY_MIN_NS +
           (int64_t)HrRng_Below(&world->rng, DELAY_MAX_NS - DELAY_MIN_NS);
}

/* Sends a message; ids are indexes + 1. */
static void
send_message(World *world, uint32_t from, uint64_t to_id,
             const HrConfigMessage *message)
{
    Event event = {
        .type = EVENT_MESSAGE, .from = from, .daemon = (uint32_t)to_id - 1};

    if (HrConfigMessage_Encode(world, message, &event.message) != HR_OK) {
        abort();
    }
    world->daemons[from].bytes += event.message.length_bytes + FRAME_BYTES;
    if (HrRng_Chance(&world->rng, MESSAGE_LOSS)) {
        talloc_free((void *)event.message.data);
        return;
    }
    world->daemons[event.daemon].bytes +=
        event.message.length_bytes + FRAME_BYTES;
    event.time_ns = arrival_ns(world);
    push_event(world, &event);
}

/* Arms the timer event of a daemon; stale ones are recognized by their time.
 */
static void
arm_timer(World *world, uint32_t index)
{
    Daemon *daemon = &world->daemons[index];
    Event event = {.type = EVENT_TIMER, .daemon = index};

    event.time_ns = HrConfig_GetNextTimer(daemon->config);
    if (event.time_ns != daemon->timer_ns) {
        daemon->timer_ns = event.time_ns;
        push_event(world, &event);
    }
}

/* Hands an event to a daemon and does what it asks for. */
static void
tell(World *world, uint32_t index, HrConfigEvent *event)
{
    Daemon *daemon = &world->daemons[index];
    HrConfigAction action;

    event->now_ns = world->now_ns;
    HrConfig_HandleEvent(daemon->config, event);
    while (HrConfig_PopAction(daemon->config, &action)) {
        Event call = {.type = EVENT_ARRIVE, .daemon = index};

        switch (action.type) {
        case HR_CONFIG_ACTION_READ:
            call.read = action.u.read;
            call.time_ns = arrival_ns(world);
            daemon->bytes += HTTP_BYTES;
            world->store_calls++;
            push_event(world, &call);
            break;
        case HR_CONFIG_ACTION_SEND:
            send_message(world, index, action.u.send.to_id,
                         &action.u.send.message);
            break;
        case HR_CONFIG_ACTION_PUBLISH:
            if (action.u.publish.tables->revision == world->tables->revision) {
                world->in_force++;
                world->in_force_ns = world->now_ns;
            }
            break;
        case HR_CONFIG_ACTION_ALARM:
            break;
        }
    }
    arm_timer(world, index);
}

/* Sends the store's reply to a read. */
static void
send_reply(World *world, const Event *call, HrStoreResult result)
{
    Event event = {.type = EVENT_REPLY, .daemon = call->daemon};

    event.reply.request_id = call->read.request_id;
    event.reply.result = result;
    event.reply.revision = world->tables->revision;
    if (result == HR_STORE_OK) {
        event.reply.value.data = (const uint8_t *)world->text;
        event.reply.value.length_bytes = strlen(world->text);
    }
    world->daemons[call->daemon].bytes +=
        HTTP_BYTES + event.reply.value.length_bytes;
    event.time_ns = arrival_ns(world);
    push_event(world, &event);
}

/* Takes a read at the store: a watch of the current revision waits. Its key
 * revision is that of the tables here. */
static void
handle_arrival(World *world, Event *event)
{
    if (!event->read.watch ||
        event->read.watch_revision != world->tables->revision) {
        send_reply(world, event, HR_STORE_OK);
        return;
    }
    event->time_ns =
        world->now_ns + (int64_t)event->read.wait_ms * HR_NS_PER_MS;
    world->watches[world->watch_count++] = *event;
}

/* Ends the watches that have waited long enough, or all after a change. */
static void
end_watches(World *world, bool changed)
{
    uint32_t i = 0;

    while (i < world->watch_count) {
        Event watch = world->watches[i];

        if (!changed && watch.time_ns > world->now_ns) {
            i++;
            continue;
        }
        world->watches[i] = world->watches[--world->watch_count];
        send_reply(world, &watch, changed ? HR_STORE_OK : HR_STORE_UNCHANGED);
    }
}

/* Delivers a message. */
static void
deliver_message(World *world, const Event *event)
{
    HrConfigEvent received = {.type = HR_CONFIG_EVENT_MESSAGE};
    HrConfigMessage *message =
        HrConfigMessage_Decode(world, event->message, NULL);

    if (message == NULL) {
        abort();
    }
    received.u.message.from_id = event->from + 1;
    received.u.message.message = message;
    tell(world, event->daemon, &received);
    talloc_free(message);
    talloc_free((void *)event->message.data);
}

/* Handles one event. */
static void
handle_event(World *world, Event *event)
{
    HrConfigEvent told = {.type = HR_CONFIG_EVENT_TIMER};

    switch (event->type) {
    case EVENT_TIMER:
        if (world->daemons[event->daemon].timer_ns == event->time_ns) {
            world->daemons[event->daemon].timer_ns = -1;
            tell(world, event->daemon, &told);
        }
        break;
    case EVENT_ARRIVE:
        handle_arrival(world, event);
        break;
    case EVENT_REPLY:
        told.type = HR_CONFIG_EVENT_STORE_REPLY;
        told.u.store_reply = event->reply;
        tell(world, event->daemon, &told);
        break;
    case EVENT_MESSAGE:
        deliver_message(world, event);
        break;
    }
}

/* Runs until a time, or until every daemon has the newest revision. */
static void
run(World *world, int64_t until_ns, bool stop_in_force)
{
    while (world->heap_count > 0 && world->heap[0].time_ns <= until_ns) {
        Event event = pop_event(world);

        world->now_ns = event.time_ns;
        end_watches(world, false);
        handle_event(world, &event);
        if (stop_in_force && world->in_force == world->daemon_count) {
            return;
        }
    }
    world->now_ns = until_ns;
}

/* Returns a pool with servers whose names are as long as real ones. */
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

/* Returns the tables after an edit that sets pools. */
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

/* Puts new tables into the store through the daemon that made the edit. */
static void
commit_edit(World *world, uint32_t servers)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_LOCAL_TABLES};
    HrTables *next = set_pools(
        world, world->tables,
        (uint32_t)HrRng_Below(&world->rng, world->tables->pool_count), 1,
        servers);

    talloc_free(world->tables);
    world->tables = next;
    /* Replies that are on their way still point into the old text. */
    world->text = HrTables_ToStoreText(world, next);
    world->in_force = 0;
    end_watches(world, true);
    event.u.tables = next;
    tell(world, (uint32_t)HrRng_Below(&world->rng, world->daemon_count),
         &event);
}

/* Tells every daemon who the members are, in DATA_CENTRES data centres. */
static void
announce_members(World *world)
{
    HrMember *members = talloc_zero_array(NULL, HrMember, world->daemon_count);
    HrMemberView view = {.members = members,
                         .member_count = world->daemon_count};
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_MEMBERS};
    uint32_t i;

    for (i = 0; i < world->daemon_count; i++) {
        members[i].daemon_id = i + 1;
        snprintf(members[i].data_centre, sizeof(members[i].data_centre),
                 "dc%u", i % DATA_CENTRES);
    }
    event.u.members = &view;
    for (i = 0; i < world->daemon_count; i++) {
        tell(world, i, &event);
    }
    talloc_free(members);
}

/* Starts daemons and lets them take the first tables. */
static World *
start_world(uint32_t daemons, uint32_t pools, uint32_t servers)
{
    World *world = talloc_zero(NULL, World);
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_START};
    HrConfigSettings settings;
    uint32_t i;

    world->rng = HrRng_FromSeed(SEED);
    world->daemon_count = daemons;
    world->daemons = talloc_zero_array(world, Daemon, daemons);
    world->watches = talloc_array(world, Event, 2 * daemons + 16);
    world->tables = set_pools(world, NULL, 0, pools, servers);
    world->text = HrTables_ToStoreText(world, world->tables);
    for (i = 0; i < daemons; i++) {
        HrConfigSettings_GetDefaults(&settings, i + 1);
        world->daemons[i].config = HrConfig_Create(
            world, &settings, HrRng_FromSeed(HrRng_Next(&world->rng)));
        tell(world, i, &event);
    }
    announce_members(world);
    run(world, 30 * HR_NS_PER_S, false);
    if (world->in_force != daemons) {
        fprintf(stderr, "%u of %u daemons took the first tables\n",
                world->in_force, daemons);
        abort();
    }
    return world;
}

/* Orders two durations. */
static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

/* Prints one measurement. */
static void
print_value(const char *name, uint32_t daemons, const char *unit, double value,
            double baseline)
{
    printf("{\"name\":\"%s_%u_daemons\",\"unit\":\"%s\",\"value\":%.6g,"
           "\"baseline\":%.6g,\"seed\":%llu}\n",
           name, daemons, unit, value, baseline, (unsigned long long)SEED);
    fflush(stdout);
}

/* Converts a duration to milliseconds. */
static double
to_ms(int64_t duration_ns)
{
    return (double)duration_ns / (double)HR_NS_PER_MS;
}

/* Measures the time to spread 20 edits, and store calls without edits. The
 * baselines are the limit of 6 s, and 16 readers that call every 2 s. */
static void
measure_spread(uint32_t daemons)
{
    enum { EDITS = 20 };
    World *world = start_world(daemons, 8, 4);
    int64_t times[EDITS];
    uint32_t i;

    for (i = 0; i < EDITS; i++) {
        int64_t start_ns;

        run(world,
            world->now_ns + 8 * HR_NS_PER_S +
                (int64_t)HrRng_Below(&world->rng, 4 * HR_NS_PER_S),
            false);
        start_ns = world->now_ns;
        commit_edit(world, 4);
        run(world, start_ns + 60 * HR_NS_PER_S, true);
        times[i] = world->in_force_ns - start_ns;
        if (world->in_force != daemons) {
            fprintf(stderr, "an edit did not reach every daemon\n");
            abort();
        }
    }
    qsort(times, EDITS, sizeof(times[0]), compare_ns);
    print_value("config_spread_median", daemons, "ms", to_ms(times[EDITS / 2]),
                LIMIT_SPREAD_MS);
    print_value("config_spread_max", daemons, "ms", to_ms(times[EDITS - 1]),
                LIMIT_SPREAD_MS);
    world->store_calls = 0;
    run(world, world->now_ns + 60 * HR_NS_PER_S, false);
    print_value("config_store_calls", daemons, "calls/s",
                (double)world->store_calls / 60, 2 * DATA_CENTRES / 2.0);
    talloc_free(world);
}

/* Measures bytes per daemon at 1,100 edits a day with 13,000 servers. Each
 * edit changes a pool of 100 servers. The baseline is the limit for all
 * control traffic. */
static void
measure_bytes(uint32_t daemons)
{
    enum { EDITS = 4 };
    World *world = start_world(daemons, POOLS, SERVERS_PER_POOL);
    int64_t start_ns = world->now_ns;
    uint64_t sum = 0, most = 0;
    double seconds;
    uint32_t i;

    for (i = 0; i < daemons; i++) {
        world->daemons[i].bytes = 0;
    }
    for (i = 0; i < EDITS; i++) {
        commit_edit(world, SERVERS_PER_POOL);
        run(world, world->now_ns + edit_interval_ns, false);
    }
    seconds = (double)(world->now_ns - start_ns) / HR_NS_PER_S;
    for (i = 0; i < daemons; i++) {
        uint64_t bytes = world->daemons[i].bytes;

        sum += bytes;
        most = bytes > most ? bytes : most;
    }
    print_value("config_bytes_mean", daemons, "bytes/s",
                (double)sum / daemons / seconds, LIMIT_BYTES_PER_S);
    print_value("config_bytes_store_reader", daemons, "bytes/s",
                (double)most / seconds, LIMIT_BYTES_PER_S);
    talloc_free(world);
}

/* Returns the processor time of this process. */
static int64_t
cpu_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return HrTime_ToNs(time);
}

/* Measures the memory of one daemon that holds 13,000 servers, the size of
 * the store value, and the processor time to read it. */
static void
measure_memory(void)
{
    HrTables *tables = set_pools(NULL, NULL, 0, POOLS, SERVERS_PER_POOL);
    char *text = HrTables_ToStoreText(tables, tables);
    size_t before = mallinfo2().uordblks, held;
    int64_t start_ns;
    HrTables *copy;

    start_ns = cpu_ns();
    copy = HrTables_FromJson(NULL, text, strlen(text), "store", NULL);
    start_ns = cpu_ns() - start_ns;
    held = mallinfo2().uordblks - before;
    /* The module and the published snapshot hold one copy each, and while the
     * tables change there are the new ones besides. */
    print_value("config_memory_four_copies", 1, "bytes", 4.0 * (double)held,
                LIMIT_MEMORY_BYTES);
    print_value("config_store_value", 1, "bytes", (double)strlen(text),
                HR_STORE_VALUE_MAX_BYTES);
    /* The baseline is 1.7% of a core between two edits. */
    print_value("config_read_cpu", 1, "ms", to_ms(start_ns),
                0.017 * to_ms(edit_interval_ns));
    talloc_free(copy);
    talloc_free(tables);
}

/* Prints all measurements. */
int
main(void)
{
    static const uint32_t fleets[] = {4, 40, 400, DAEMONS_MAX};
    size_t i;

    for (i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
        measure_spread(fleets[i]);
    }
    measure_bytes(40);
    measure_memory();
    return 0;
}
