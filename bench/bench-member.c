/* Measures the membership protocol with 4 to 1,900 daemons in virtual time:
 * traffic, memory and CPU time per daemon, the time until a crash is
 * detected and until every daemon has marked the member dead, the traffic
 * while daemons are replaced, and the time to complete the views again after a
 * network split. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coord-member.h"
#include "proto-member-codec.h"
#include "result-line.h"

#define SEED 2026
#define LATENCY_NS HR_NS_PER_MS
#define STEADY_STATE_NS (20 * HR_NS_PER_S)

/* A message that will be delivered, or a timer (packet is NULL). */
typedef struct Event {
    int64_t time_ns;
    uint64_t order; /* unique; orders events of the same time */
    uint32_t daemon;
    struct Packet *packet;
} Event;

/* A sent message with a copy of its updates. */
typedef struct Packet {
    HrMemberMessage message;
    HrMember updates[];
} Packet;

/* A simulated daemon. */
typedef struct Daemon {
    HrMembership *membership; /* NULL: crashed */
    uint64_t id;
    int64_t timer_ns;     /* of the timer event in force, or HR_TIME_NEVER */
    uint64_t timer_order; /* of the timer event in force; others are stale */
    uint64_t bytes;       /* sent since the counts were reset */
    uint64_t messages;    /* sent since the counts were reset */
} Daemon;

/* All simulated daemons and the queue of events. */
typedef struct Cluster {
    uint32_t count;
    Daemon *daemons;
    HrRng rng;
    int64_t now_ns;
    int64_t processor_ns; /* CPU time used by HrMembership */
    Event *heap;
    uint32_t heap_count;
    uint64_t order;      /* of the event pushed last */
    bool is_split;       /* region 0 exchanges no messages with the others */
    uint64_t crashed_id; /* the daemon that crashed last */
    uint32_t detected_count; /* daemons that marked it dead */
    int64_t first_detected_ns;
    int64_t last_detected_ns;
} Cluster;

/* Returns true if left is processed before right. */
static int
is_event_before(const Event *left, const Event *right)
{
    return left->time_ns != right->time_ns ? left->time_ns < right->time_ns
                                           : left->order < right->order;
}

/* Adds an event to the binary heap, whose first element is the next event. */
static void
push_event(Cluster *cluster, int64_t time_ns, uint32_t daemon, Packet *packet)
{
    Event event = {time_ns, ++cluster->order, daemon, packet};
    uint32_t position = cluster->heap_count++;

    if (position == talloc_array_length(cluster->heap)) {
        cluster->heap = talloc_realloc(cluster, cluster->heap, Event,
                                       position == 0 ? 1024 : position * 2);
    }
    while (position > 0 &&
           is_event_before(&event, &cluster->heap[(position - 1) / 2])) {
        cluster->heap[position] = cluster->heap[(position - 1) / 2];
        position = (position - 1) / 2;
    }
    cluster->heap[position] = event;
}

/* Removes the next event from the heap and returns it. */
static Event
pop_event(Cluster *cluster)
{
    Event first = cluster->heap[0];
    Event last = cluster->heap[--cluster->heap_count];
    uint32_t position = 0, child;

    while ((child = 2 * position + 1) < cluster->heap_count) {
        if (child + 1 < cluster->heap_count &&
            is_event_before(&cluster->heap[child + 1],
                            &cluster->heap[child])) {
            child++;
        }
        if (!is_event_before(&cluster->heap[child], &last)) {
            break;
        }
        cluster->heap[position] = cluster->heap[child];
        position = child;
    }
    cluster->heap[position] = last;
    return first;
}

/* Writes the address of a daemon, which encodes its index. */
static void
write_address(uint32_t daemon, char *address)
{
    snprintf(address, HR_ADDRESS_BYTES, "10.%u.%u.%u:7000", daemon >> 16,
             daemon >> 8 & 255, daemon & 255);
}

/* Returns the index of the daemon with an address of write_address. */
static uint32_t
parse_daemon_index(const char *address)
{
    unsigned high = 0, middle = 0, low = 0;

    sscanf(address, "10.%u.%u.%u:", &high, &middle, &low);
    return high << 16 | middle << 8 | low;
}

/* Sends a message and counts its encoded bytes, plus 8 bytes for the frame.
 * The message is lost if the split separates sender and receiver. */
static void
send_message(Cluster *cluster, uint32_t from, const HrMemberAction *action)
{
    const HrMemberMessage *message = &action->u.send.message;
    uint32_t to = parse_daemon_index(action->u.send.address);
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
    if (cluster->is_split && (from % 4 == 0) != (to % 4 == 0)) {
        talloc_free(packet);
        return;
    }
    push_event(cluster, cluster->now_ns + LATENCY_NS, to, packet);
}

/* Records that one more daemon marked a member dead, if that member is the
 * one that crashed last. */
static void
record_detection(Cluster *cluster, uint64_t id)
{
    if (id != cluster->crashed_id) {
        return;
    }
    if (cluster->detected_count++ == 0) {
        cluster->first_detected_ns = cluster->now_ns;
    }
    cluster->last_detected_ns = cluster->now_ns;
}

/* Queues the next timer of a daemon if it is earlier than the queued one. */
static void
schedule_timer(Cluster *cluster, uint32_t index)
{
    Daemon *daemon = &cluster->daemons[index];
    int64_t time_ns = HrMembership_GetNextTimer(daemon->membership);

    if (time_ns < daemon->timer_ns) {
        daemon->timer_ns = time_ns;
        push_event(cluster, time_ns, index, NULL);
        daemon->timer_order = cluster->order;
    }
}

/* Delivers an event to a daemon and executes its actions. */
static void
deliver_event(Cluster *cluster, uint32_t index, HrMemberEvent event)
{
    Daemon *daemon = &cluster->daemons[index];
    HrMemberAction action;
    int64_t start_ns = processor_ns();

    event.now_ns = cluster->now_ns;
    HrMembership_HandleEvent(daemon->membership, &event);
    cluster->processor_ns += processor_ns() - start_ns;
    while (HrMembership_PopAction(daemon->membership, &action)) {
        if (action.kind == HR_MEMBER_ACTION_SEND) {
            send_message(cluster, index, &action);
        }
        else if (action.kind == HR_MEMBER_ACTION_MEMBER_DEAD) {
            record_detection(cluster, action.u.dead_id);
        }
    }
    schedule_timer(cluster, index);
}

/* Processes one event of the heap; ignores stale timers and crashed daemons.
 */
static void
process_event(Cluster *cluster, Event queued)
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
    if (daemon->membership != NULL) {
        deliver_event(cluster, queued.daemon, event);
    }
    talloc_free(queued.packet);
}

/* Advances the virtual time and processes all events until then. */
static void
advance_time(Cluster *cluster, int64_t duration_ns)
{
    int64_t end_ns = cluster->now_ns + duration_ns;

    while (cluster->heap_count > 0 && cluster->heap[0].time_ns <= end_ns) {
        Event event = pop_event(cluster);

        cluster->now_ns = event.time_ns;
        process_event(cluster, event);
    }
    cluster->now_ns = end_ns;
}

/* Returns the member record of a daemon; the daemons are spread over 8 data
 * centres in 4 regions. */
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

/* Creates a daemon with a new id whose only seed address is the next daemon.
 */
static void
start_daemon(Cluster *cluster, uint32_t index)
{
    Daemon *daemon = &cluster->daemons[index];
    HrMemberEvent seed = {.kind = HR_MEMBER_EVENT_SEED};
    HrMemberConfig config;
    char address[HR_ADDRESS_BYTES];

    HrMemberConfig_GetDefaults(&config);
    daemon->id = HrRng_DrawU64(&cluster->rng);
    daemon->timer_ns = HR_TIME_NEVER;
    config.self = make_record(cluster, index);
    daemon->membership = HrMembership_Create(
        cluster, &config, HrRng_FromSeed(HrRng_DrawU64(&cluster->rng)));
    write_address((index + 1) % cluster->count, address);
    seed.u.seed = address;
    deliver_event(cluster, index, seed);
}

/* Delivers a list of all members to a daemon, as if another daemon sent it. */
static void
deliver_member_list(Cluster *cluster, uint32_t index, const HrMember *records)
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
        deliver_event(cluster, index, event);
    }
}

/* Creates a cluster in which every daemon has all members in its view, and
 * runs it for 40 s. */
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
        deliver_member_list(cluster, i, records);
    }
    advance_time(cluster, 40 * HR_NS_PER_S);
    return cluster;
}

/* Resets the counts of traffic and CPU time to 0. */
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

/* Prints a measurement under a name that contains the size of the cluster. */
static void
print_cluster_result(const Cluster *cluster, const char *name,
                     const char *unit, double value, double baseline)
{
    char full_name[96];

    snprintf(full_name, sizeof(full_name), "member/%u/%s", cluster->count,
             name);
    print_result(full_name, unit, value, baseline, SEED);
}

/* Prints traffic and CPU time per daemon since the counts were reset. The
 * baseline of the traffic is the limit for all control traffic. */
static void
print_daemon_load(const Cluster *cluster, const char *prefix, double seconds)
{
    uint64_t bytes = 0, messages = 0, max_bytes = 0;
    char name[64];
    uint32_t i;

    for (i = 0; i < cluster->count; i++) {
        bytes += cluster->daemons[i].bytes;
        messages += cluster->daemons[i].messages;
        if (cluster->daemons[i].bytes > max_bytes) {
            max_bytes = cluster->daemons[i].bytes;
        }
    }
    snprintf(name, sizeof(name), "%s_sent", prefix);
    print_cluster_result(cluster, name, "bytes/s",
                         bytes / seconds / cluster->count, 18000);
    snprintf(name, sizeof(name), "%s_sent_by_busiest", prefix);
    print_cluster_result(cluster, name, "bytes/s", max_bytes / seconds, 18000);
    snprintf(name, sizeof(name), "%s_messages", prefix);
    print_cluster_result(cluster, name, "messages/s",
                         messages / seconds / cluster->count, NAN);
    snprintf(name, sizeof(name), "%s_processor", prefix);
    print_cluster_result(
        cluster, name, "percent of a core",
        (double)cluster->processor_ns / 1e7 / seconds / cluster->count, 1.7);
}

/* Measures traffic, CPU time and memory while no daemon starts or crashes. */
static void
measure_steady_state(Cluster *cluster)
{
    reset_counts(cluster);
    advance_time(cluster, STEADY_STATE_NS);
    print_daemon_load(cluster, "quiet", (double)STEADY_STATE_NS / HR_NS_PER_S);
    print_cluster_result(
        cluster, "memory", "bytes",
        (double)talloc_total_size(cluster->daemons[0].membership), 64e6);
}

/* Frees a daemon without a leave message, and resets the count of daemons that
 * have detected its crash. */
static void
crash_daemon(Cluster *cluster, uint32_t index)
{
    cluster->crashed_id = cluster->daemons[index].id;
    cluster->detected_count = 0;
    talloc_free(cluster->daemons[index].membership);
    cluster->daemons[index].membership = NULL;
}

/* Measures the time until a first daemon detects a crash, and from then until
 * the last one has, as the mean of several crashes of random daemons. After
 * each crash, the daemon starts again with a new id. */
static void
measure_crashes(Cluster *cluster)
{
    double detect_ns = 0, spread_ns = 0, slowest_ns = 0;
    const uint32_t crashes = 5;
    uint32_t i;

    reset_counts(cluster);
    for (i = 0; i < crashes; i++) {
        uint32_t index =
            (uint32_t)HrRng_DrawBelow(&cluster->rng, cluster->count);
        int64_t start_ns = cluster->now_ns;

        crash_daemon(cluster, index);
        advance_time(cluster, 40 * HR_NS_PER_S);
        if (cluster->detected_count + 1 < cluster->count) {
            print_cluster_result(cluster, "crash_not_seen_by", "daemons",
                                 cluster->count - 1 - cluster->detected_count,
                                 0);
        }
        detect_ns += (double)(cluster->first_detected_ns - start_ns);
        spread_ns +=
            (double)(cluster->last_detected_ns - cluster->first_detected_ns);
        slowest_ns =
            fmax(slowest_ns, (double)(cluster->last_detected_ns - start_ns));
        start_daemon(cluster, index);
    }
    print_cluster_result(cluster, "crash_detected", "s",
                         detect_ns / crashes / 1e9, NAN);
    print_cluster_result(cluster, "crash_spread_after", "s",
                         spread_ns / crashes / 1e9, NAN);
    print_cluster_result(cluster, "crash_known_to_all_worst", "s",
                         slowest_ns / 1e9, NAN);
    print_daemon_load(cluster, "replacing", 40.0 * crashes);
}

/* Returns the size of the smallest view in a sample of the daemons, in percent
 * of all daemons. */
static double
get_smallest_view_percent(Cluster *cluster, uint32_t sample)
{
    uint32_t i, smallest_count = UINT32_MAX;

    for (i = 0; i < sample; i++) {
        HrMemberView *view = HrMembership_CopyView(
            cluster->daemons[i * cluster->count / sample].membership, NULL);

        if (view->member_count < smallest_count) {
            smallest_count = view->member_count;
        }
        talloc_free(view);
    }
    return 100.0 * smallest_count / cluster->count;
}

/* Measures the time until the views are complete again after one region of
 * four was split off for 180 s, longer than dead members are remembered. */
static void
measure_rejoin(Cluster *cluster)
{
    static const double shares[] = {95, 99, 100};
    uint32_t sample = cluster->count < 40 ? cluster->count : 40,
             reached_count = 0;
    int64_t reconnected_ns;
    char name[64];

    cluster->is_split = true;
    advance_time(cluster, 180 * HR_NS_PER_S);
    print_cluster_result(cluster, "least_view_while_split",
                         "percent of the members",
                         get_smallest_view_percent(cluster, sample), 25);
    cluster->is_split = false;
    reconnected_ns = cluster->now_ns;
    reset_counts(cluster);
    while (reached_count < 3 &&
           cluster->now_ns - reconnected_ns < 300 * HR_NS_PER_S) {
        advance_time(cluster, HR_NS_PER_S);
        while (reached_count < 3 &&
               get_smallest_view_percent(cluster, sample) >=
                   shares[reached_count]) {
            snprintf(name, sizeof(name), "rejoin_views_have_%.0f_percent",
                     shares[reached_count++]);
            print_cluster_result(
                cluster, name, "s",
                (double)(cluster->now_ns - reconnected_ns) / 1e9, NAN);
        }
    }
    print_daemon_load(cluster, "rejoin",
                      (double)(cluster->now_ns - reconnected_ns) / 1e9);
}

/* Measures clusters of all sizes, or only of the size in the first argument.
 */
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
        measure_steady_state(cluster);
        measure_crashes(cluster);
        measure_rejoin(cluster);
        talloc_free(cluster);
    }
    return 0;
}
