/* Measures the membership of 4 to 1,900 daemons in virtual time: traffic and
 * memory per daemon, processor time, time to detect a crash and to spread it,
 * and the traffic while daemons are replaced. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coord-member.h"
#include "proto-member-codec.h"
#include "result-line.h"

#define SEED 2026
#define LATENCY_NS HR_NS_PER_MS
#define QUIET_NS (20 * HR_NS_PER_S)

/* A message on its way, or a timer (packet NULL). */
typedef struct Event {
    int64_t time_ns;
    uint64_t order;
    uint32_t daemon;
    struct Packet *packet;
} Event;

typedef struct Packet {
    HrMemberMessage message;
    HrMember updates[];
} Packet;

typedef struct Daemon {
    HrMembership *module;
    uint64_t id;
    int64_t timer_ns;
    uint64_t timer_order;
    uint64_t bytes;
    uint64_t messages;
} Daemon;

typedef struct Cluster {
    uint32_t count;
    Daemon *daemons;
    HrRng rng;
    int64_t now_ns;
    int64_t processor_ns; /* spent in the modules */
    Event *heap;
    uint32_t heap_count;
    uint64_t order;
    bool split;          /* region 0 is cut off from the others */
    uint64_t watched_id; /* a crashed daemon */
    uint32_t gone_count; /* daemons that know of it */
    int64_t first_gone_ns;
    int64_t last_gone_ns;
} Cluster;

/* Returns true if left comes before right. */
static int
event_before(const Event *left, const Event *right)
{
    return left->time_ns != right->time_ns ? left->time_ns < right->time_ns
                                           : left->order < right->order;
}

/* Adds an event to the heap. */
static void
push_event(Cluster *cluster, int64_t time_ns, uint32_t daemon, Packet *packet)
{
    Event event = {time_ns, ++cluster->order, daemon, packet};
    uint32_t place = cluster->heap_count++;

    if (place == talloc_array_length(cluster->heap)) {
        cluster->heap = talloc_realloc(cluster, cluster->heap, Event,
                                       place == 0 ? 1024 : place * 2);
    }
    while (place > 0 &&
           event_before(&event, &cluster->heap[(place - 1) / 2])) {
        cluster->heap[place] = cluster->heap[(place - 1) / 2];
        place = (place - 1) / 2;
    }
    cluster->heap[place] = event;
}

/* Takes the first event out of the heap. */
static Event
pop_event(Cluster *cluster)
{
    Event first = cluster->heap[0];
    Event last = cluster->heap[--cluster->heap_count];
    uint32_t place = 0, child;

    while ((child = 2 * place + 1) < cluster->heap_count) {
        if (child + 1 < cluster->heap_count &&
            event_before(&cluster->heap[child + 1], &cluster->heap[child])) {
            child++;
        }
        if (!event_before(&cluster->heap[child], &last)) {
            break;
        }
        cluster->heap[place] = cluster->heap[child];
        place = child;
    }
    cluster->heap[place] = last;
    return first;
}

/* Writes the address of a daemon; its number is part of it. */
static void
write_address(uint32_t daemon, char *address)
{
    snprintf(address, HR_ADDRESS_BYTES, "10.%u.%u.%u:7000", daemon >> 16,
             daemon >> 8 & 255, daemon & 255);
}

/* Returns the daemon with an address. */
static uint32_t
find_daemon(const char *address)
{
    unsigned high = 0, middle = 0, low = 0;

    sscanf(address, "10.%u.%u.%u:", &high, &middle, &low);
    return high << 16 | middle << 8 | low;
}

/* Sends a message and counts its encoded bytes, with a frame of 8. */
static void
send_message(Cluster *cluster, uint32_t from, const HrMemberAction *action)
{
    const HrMemberMessage *message = &action->u.send.message;
    uint32_t to = find_daemon(action->u.send.address);
    size_t size = message->update_count * sizeof(HrMember);
    Packet *packet = talloc_size(cluster, sizeof(Packet) + size);
    HrBytes bytes;

    packet->message = *message;
    if (size > 0) {
        memcpy(packet->updates, message->updates, size);
    }
    HrMemberMessage_Encode(packet, message, &bytes, NULL);
    cluster->daemons[from].bytes += bytes.length_bytes + 8;
    cluster->daemons[from].messages++;
    talloc_free((void *)bytes.data);
    if (cluster->split && (from % 4 == 0) != (to % 4 == 0)) {
        talloc_free(packet);
        return;
    }
    push_event(cluster, cluster->now_ns + LATENCY_NS, to, packet);
}

/* Notes that a daemon knows of the crash that is watched. */
static void
note_gone(Cluster *cluster, uint64_t id)
{
    if (id != cluster->watched_id) {
        return;
    }
    if (cluster->gone_count++ == 0) {
        cluster->first_gone_ns = cluster->now_ns;
    }
    cluster->last_gone_ns = cluster->now_ns;
}

/* Queues the timer of a daemon. */
static void
schedule_timer(Cluster *cluster, uint32_t index)
{
    Daemon *daemon = &cluster->daemons[index];
    int64_t time_ns = HrMembership_GetNextTimer(daemon->module);

    if (time_ns < daemon->timer_ns) {
        daemon->timer_ns = time_ns;
        push_event(cluster, time_ns, index, NULL);
        daemon->timer_order = cluster->order;
    }
}

/* Gives an event to a daemon and carries out its actions. */
static void
handle(Cluster *cluster, uint32_t index, HrMemberEvent event)
{
    Daemon *daemon = &cluster->daemons[index];
    HrMemberAction action;
    int64_t start_ns = processor_ns();

    event.now_ns = cluster->now_ns;
    HrMembership_HandleEvent(daemon->module, &event);
    cluster->processor_ns += processor_ns() - start_ns;
    while (HrMembership_PopAction(daemon->module, &action)) {
        if (action.kind == HR_MEMBER_ACTION_SEND) {
            send_message(cluster, index, &action);
        }
        else if (action.kind == HR_MEMBER_ACTION_MEMBER_DEAD) {
            note_gone(cluster, action.u.dead_id);
        }
    }
    schedule_timer(cluster, index);
}

/* Processes one event of the heap. */
static void
run_event(Cluster *cluster, Event queued)
{
    Daemon *daemon = &cluster->daemons[queued.daemon];
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_TIMER};

    if (queued.packet != NULL) {
        queued.packet->message.updates = queued.packet->updates;
        event.kind = HR_MEMBER_EVENT_MESSAGE;
        event.u.message = &queued.packet->message;
    }
    else if (queued.order == daemon->timer_order) {
        daemon->timer_ns = HR_TIME_NEVER;
    }
    else {
        return;
    }
    if (daemon->module != NULL) {
        handle(cluster, queued.daemon, event);
    }
    talloc_free(queued.packet);
}

/* Runs the cluster for a time. */
static void
run_for(Cluster *cluster, int64_t duration_ns)
{
    int64_t end_ns = cluster->now_ns + duration_ns;

    while (cluster->heap_count > 0 && cluster->heap[0].time_ns <= end_ns) {
        Event event = pop_event(cluster);

        cluster->now_ns = event.time_ns;
        run_event(cluster, event);
    }
    cluster->now_ns = end_ns;
}

/* Returns the record of a daemon: 8 data centres in 4 regions. */
static HrMember
make_record(const Cluster *cluster, uint32_t index)
{
    HrMember record;

    memset(&record, 0, sizeof(record));
    record.daemon_id = cluster->daemons[index].id;
    record.incarnation = 1;
    record.spare_percent = 60;
    write_address(index, record.peer_address);
    write_address(index, record.caller_address);
    snprintf(record.data_centre, HR_NAME_BYTES, "dc-%u", index % 8);
    snprintf(record.region, HR_NAME_BYTES, "region-%u", index % 4);
    return record;
}

/* Creates a daemon with one seed. */
static void
start_daemon(Cluster *cluster, uint32_t index)
{
    Daemon *daemon = &cluster->daemons[index];
    HrMemberEvent seed = {.kind = HR_MEMBER_EVENT_SEED};
    HrMemberConfig config;
    char address[HR_ADDRESS_BYTES];

    HrMemberConfig_GetDefaults(&config);
    daemon->id = HrRng_Next(&cluster->rng);
    daemon->timer_ns = HR_TIME_NEVER;
    config.self = make_record(cluster, index);
    daemon->module = HrMembership_Create(
        cluster, &config, HrRng_FromSeed(HrRng_Next(&cluster->rng)));
    write_address((index + 1) % cluster->count, address);
    seed.u.seed = address;
    handle(cluster, index, seed);
}

/* Tells a daemon of every other one. */
static void
introduce_all(Cluster *cluster, uint32_t index, const HrMember *records)
{
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_LIST};
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    uint32_t i;

    message.sender = records[(index + 1) % cluster->count];
    event.u.message = &message;
    for (i = 0; i < cluster->count; i += HR_MEMBER_PAGE_SIZE) {
        message.updates = &records[i];
        message.update_count = cluster->count - i < HR_MEMBER_PAGE_SIZE
                                   ? cluster->count - i
                                   : HR_MEMBER_PAGE_SIZE;
        handle(cluster, index, event);
    }
}

/* Creates a cluster whose daemons know each other. */
static Cluster *
create_cluster(uint32_t count)
{
    Cluster *cluster = talloc_zero(NULL, Cluster);
    HrMember *records = talloc_array(cluster, HrMember, count);
    uint32_t i;

    cluster->count = count;
    cluster->rng = HrRng_FromSeed(SEED);
    cluster->daemons = talloc_zero_array(cluster, Daemon, count);
    for (i = 0; i < count; i++) {
        start_daemon(cluster, i);
        records[i] = make_record(cluster, i);
    }
    for (i = 0; i < count; i++) {
        introduce_all(cluster, i, records);
    }
    run_for(cluster, 40 * HR_NS_PER_S);
    return cluster;
}

/* Forgets the traffic and processor time up to now. */
static void
reset_counts(Cluster *cluster)
{
    uint32_t i;

    cluster->processor_ns = 0;
    for (i = 0; i < cluster->count; i++) {
        cluster->daemons[i].bytes = 0;
        cluster->daemons[i].messages = 0;
    }
}

/* Prints a measurement of a cluster size. */
static void
print_for(const Cluster *cluster, const char *name, const char *unit,
          double value, double baseline)
{
    char full[96];

    snprintf(full, sizeof(full), "member/%u/%s", cluster->count, name);
    print_result(full, unit, value, baseline, SEED);
}

/* Prints the traffic per daemon since the counts were reset. The baseline is
 * the limit for all control traffic. */
static void
print_traffic(const Cluster *cluster, const char *prefix, double seconds)
{
    uint64_t bytes = 0, messages = 0, most = 0;
    char name[64];
    uint32_t i;

    for (i = 0; i < cluster->count; i++) {
        bytes += cluster->daemons[i].bytes;
        messages += cluster->daemons[i].messages;
        if (cluster->daemons[i].bytes > most) {
            most = cluster->daemons[i].bytes;
        }
    }
    snprintf(name, sizeof(name), "%s_sent", prefix);
    print_for(cluster, name, "bytes/s", bytes / seconds / cluster->count,
              18000);
    snprintf(name, sizeof(name), "%s_sent_by_busiest", prefix);
    print_for(cluster, name, "bytes/s", most / seconds, 18000);
    snprintf(name, sizeof(name), "%s_messages", prefix);
    print_for(cluster, name, "messages/s", messages / seconds / cluster->count,
              NAN);
    snprintf(name, sizeof(name), "%s_processor", prefix);
    print_for(cluster, name, "percent of a core",
              (double)cluster->processor_ns / 1e7 / seconds / cluster->count,
              1.7);
}

/* Measures the quiet cluster. */
static void
measure_quiet(Cluster *cluster)
{
    reset_counts(cluster);
    run_for(cluster, QUIET_NS);
    print_traffic(cluster, "quiet", (double)QUIET_NS / HR_NS_PER_S);
    print_for(cluster, "memory", "bytes",
              (double)talloc_total_size(cluster->daemons[0].module), 64e6);
}

/* Stops a daemon. */
static void
crash_daemon(Cluster *cluster, uint32_t index)
{
    cluster->watched_id = cluster->daemons[index].id;
    cluster->gone_count = 0;
    talloc_free(cluster->daemons[index].module);
    cluster->daemons[index].module = NULL;
}

/* Measures how a crash is detected and spread, over several crashes of
 * random daemons, which start again afterwards. */
static void
measure_crashes(Cluster *cluster)
{
    double detect = 0, spread = 0, slowest = 0;
    const uint32_t crashes = 5;
    uint32_t i;

    reset_counts(cluster);
    for (i = 0; i < crashes; i++) {
        uint32_t index = (uint32_t)HrRng_Below(&cluster->rng, cluster->count);
        int64_t start_ns = cluster->now_ns;

        crash_daemon(cluster, index);
        run_for(cluster, 40 * HR_NS_PER_S);
        if (cluster->gone_count + 1 < cluster->count) {
            print_for(cluster, "crash_not_seen_by", "daemons",
                      cluster->count - 1 - cluster->gone_count, 0);
        }
        detect += (double)(cluster->first_gone_ns - start_ns);
        spread += (double)(cluster->last_gone_ns - cluster->first_gone_ns);
        slowest = fmax(slowest, (double)(cluster->last_gone_ns - start_ns));
        start_daemon(cluster, index);
    }
    print_for(cluster, "crash_detected", "s", detect / crashes / 1e9, NAN);
    print_for(cluster, "crash_spread_after", "s", spread / crashes / 1e9, NAN);
    print_for(cluster, "crash_known_to_all_worst", "s", slowest / 1e9, NAN);
    print_traffic(cluster, "replacing", 40.0 * crashes);
}

/* Returns the least share of all daemons that one of a sample sees. */
static double
least_complete(Cluster *cluster, uint32_t sample)
{
    uint32_t i, least = UINT32_MAX;

    for (i = 0; i < sample; i++) {
        HrMemberView *view = HrMembership_CopyView(
            cluster->daemons[i * cluster->count / sample].module, NULL);

        if (view->member_count < least) {
            least = view->member_count;
        }
        talloc_free(view);
    }
    return 100.0 * least / cluster->count;
}

/* Measures how one region of four finds the others again after it was cut off
 * for longer than dead members are remembered. */
static void
measure_rejoin(Cluster *cluster)
{
    static const double shares[] = {95, 99, 100};
    uint32_t sample = cluster->count < 40 ? cluster->count : 40, reached = 0;
    int64_t healed_ns;
    char name[64];

    cluster->split = true;
    run_for(cluster, 180 * HR_NS_PER_S);
    print_for(cluster, "least_view_while_split", "percent of the members",
              least_complete(cluster, sample), 25);
    cluster->split = false;
    healed_ns = cluster->now_ns;
    reset_counts(cluster);
    while (reached < 3 && cluster->now_ns - healed_ns < 300 * HR_NS_PER_S) {
        run_for(cluster, HR_NS_PER_S);
        while (reached < 3 &&
               least_complete(cluster, sample) >= shares[reached]) {
            snprintf(name, sizeof(name), "rejoin_views_have_%.0f_percent",
                     shares[reached++]);
            print_for(cluster, name, "s",
                      (double)(cluster->now_ns - healed_ns) / 1e9, NAN);
        }
    }
    print_traffic(cluster, "rejoin",
                  (double)(cluster->now_ns - healed_ns) / 1e9);
}

/* With an argument, measures a cluster of that size only. */
int
main(int argc, char **argv)
{
    static const uint32_t sizes[] = {4, 40, 400, 1900};
    uint32_t i;

    for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        Cluster *cluster;

        if (argc > 1 && (uint32_t)atoi(argv[1]) != sizes[i]) {
            continue;
        }
        cluster = create_cluster(sizes[i]);
        measure_quiet(cluster);
        measure_crashes(cluster);
        measure_rejoin(cluster);
        talloc_free(cluster);
    }
    return 0;
}
