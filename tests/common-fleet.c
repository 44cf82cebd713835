#include "common-fleet.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

/* The wall time at the start of every schedule. */
#define WALL_START_MS INT64_C(1700000000000)

/* A queued event; the queue is a binary heap ordered by time, then by the
 * order of queuing. */
typedef struct HrFleetEvent {
    int64_t time_ns;
    uint64_t order;
    uint32_t daemon;
    uint32_t run;
    int kind;
    void *payload;
} HrFleetEvent;

/* Returns true if left comes before right. */
static bool
event_before(const HrFleetEvent *left, const HrFleetEvent *right)
{
    return left->time_ns != right->time_ns ? left->time_ns < right->time_ns
                                           : left->order < right->order;
}

/* Adds an event to the heap. */
static void
push_event(HrFleet *fleet, HrFleetEvent event)
{
    uint32_t place = fleet->queue_count;

    if (place == talloc_array_length(fleet->queue)) {
        fleet->queue = talloc_realloc(fleet, fleet->queue, HrFleetEvent,
                                      place == 0 ? 64 : place * 2);
    }
    fleet->queue_count++;
    while (place > 0 && event_before(&event, &fleet->queue[(place - 1) / 2])) {
        fleet->queue[place] = fleet->queue[(place - 1) / 2];
        place = (place - 1) / 2;
    }
    fleet->queue[place] = event;
}

/* Takes the first event out of the heap. */
static HrFleetEvent
pop_event(HrFleet *fleet)
{
    HrFleetEvent first = fleet->queue[0];
    HrFleetEvent last = fleet->queue[--fleet->queue_count];
    uint32_t place = 0, child;

    while ((child = 2 * place + 1) < fleet->queue_count) {
        if (child + 1 < fleet->queue_count &&
            event_before(&fleet->queue[child + 1], &fleet->queue[child])) {
            child++;
        }
        if (!event_before(&fleet->queue[child], &last)) {
            break;
        }
        fleet->queue[place] = fleet->queue[child];
        place = child;
    }
    fleet->queue[place] = last;
    return first;
}

/* Gives an event to its daemon, later if that is paused. */
static void
deliver_event(HrFleet *fleet, HrFleetEvent event)
{
    HrFleetDaemon *daemon = &fleet->daemons[event.daemon];

    if (!daemon->up || event.run != daemon->run) {
        talloc_free(event.payload);
        return;
    }
    if (daemon->paused_until_ns > fleet->now_ns) {
        event.time_ns = daemon->paused_until_ns;
        push_event(fleet, event);
        return;
    }
    if (event.kind == HR_FLEET_TIMER) {
        if (event.order != daemon->timer_order) {
            return; /* an earlier one has taken its place */
        }
        daemon->timer_ns = HR_TIME_NEVER;
    }
    fleet->handle(fleet->context, event.daemon, event.kind, event.payload);
    talloc_free(event.payload);
    HrFleet_Reschedule(fleet, event.daemon);
}

/* Creates a fleet of daemons that are up; the network has no faults. */
HrFleet *
HrFleet_Create(const void *parent, uint64_t seed, uint32_t daemon_count,
               HrFleetHandler *handle, HrFleetTimer *timer, void *context)
{
    HrFleet *fleet = talloc_zero(parent, HrFleet);
    uint32_t i;

    fleet->seed = seed;
    fleet->rng = HrRng_FromSeed(seed);
    fleet->daemon_count = daemon_count;
    fleet->delay_mean_ns = HR_NS_PER_MS;
    fleet->daemons = talloc_zero_array(fleet, HrFleetDaemon, daemon_count);
    fleet->cut =
        talloc_zero_array(fleet, bool, (size_t)daemon_count *daemon_count);
    fleet->handle = handle;
    fleet->timer = timer;
    fleet->context = context;
    for (i = 0; i < daemon_count; i++) {
        fleet->daemons[i].up = true;
        fleet->daemons[i].timer_ns = HR_TIME_NEVER;
    }
    return fleet;
}

/* Queues an event of a daemon at a time. */
void
HrFleet_At(HrFleet *fleet, int64_t time_ns, uint32_t daemon, int kind,
           void *payload)
{
    HrFleetEvent event = {.time_ns = time_ns, .daemon = daemon, .kind = kind};

    event.order = ++fleet->queue_order;
    event.run = fleet->daemons[daemon].run;
    event.payload = talloc_steal(fleet, payload);
    push_event(fleet, event);
}

/* Sends a payload over the network: it may be lost, delayed or duplicated.
 * The copy of a payload shares what it points to, which is a child of the
 * original: only flat payloads may be duplicated. */
void
HrFleet_Send(HrFleet *fleet, uint32_t from, uint32_t to, int kind,
             void *payload)
{
    int64_t delay_ns = HrRng_ExponentialNs(&fleet->rng, fleet->delay_mean_ns);

    if (from == to) {
        HrFleet_At(fleet, fleet->now_ns, to, kind, payload);
        return;
    }
    if (fleet->cut[from * fleet->daemon_count + to] ||
        HrRng_Chance(&fleet->rng, fleet->loss)) {
        talloc_free(payload);
        return;
    }
    if (HrRng_Chance(&fleet->rng, fleet->duplication)) {
        void *copy = talloc_memdup(fleet, payload, talloc_get_size(payload));

        HrFleet_At(fleet,
                   fleet->now_ns + HrRng_ExponentialNs(
                                       &fleet->rng, 20 * fleet->delay_mean_ns),
                   to, kind, copy);
    }
    HrFleet_At(fleet, fleet->now_ns + delay_ns, to, kind, payload);
}

/* Cuts or heals the network in both directions between two daemons. */
void
HrFleet_Cut(HrFleet *fleet, uint32_t left, uint32_t right, bool cut)
{
    fleet->cut[left * fleet->daemon_count + right] = cut;
    fleet->cut[right * fleet->daemon_count + left] = cut;
}

/* Heals every fault of the network. */
void
HrFleet_Heal(HrFleet *fleet)
{
    uint32_t i;

    fleet->loss = 0;
    fleet->duplication = 0;
    for (i = 0; i < fleet->daemon_count * fleet->daemon_count; i++) {
        fleet->cut[i] = false;
    }
}

/* Stops a daemon; its queued events are lost. */
void
HrFleet_Crash(HrFleet *fleet, uint32_t daemon)
{
    fleet->daemons[daemon].up = false;
    fleet->daemons[daemon].run++;
    fleet->daemons[daemon].paused_until_ns = 0;
    fleet->daemons[daemon].timer_ns = HR_TIME_NEVER;
}

/* Lets a crashed daemon run again. */
void
HrFleet_Restart(HrFleet *fleet, uint32_t daemon)
{
    fleet->daemons[daemon].up = true;
}

/* Pauses a daemon: its events wait until then. */
void
HrFleet_Pause(HrFleet *fleet, uint32_t daemon, int64_t until_ns)
{
    fleet->daemons[daemon].paused_until_ns = until_ns;
}

/* Queues a daemon's timer event if it needs one earlier than before. */
void
HrFleet_Reschedule(HrFleet *fleet, uint32_t daemon)
{
    HrFleetDaemon *process = &fleet->daemons[daemon];
    int64_t time_ns;

    if (!process->up) {
        return;
    }
    time_ns = fleet->timer(fleet->context, daemon);
    if (time_ns >= process->timer_ns) {
        return;
    }
    process->timer_ns = time_ns;
    HrFleet_At(fleet, time_ns > fleet->now_ns ? time_ns : fleet->now_ns,
               daemon, HR_FLEET_TIMER, NULL);
    process->timer_order = fleet->queue_order;
}

/* Processes every event up to a time and stands there. */
void
HrFleet_Run(HrFleet *fleet, int64_t until_ns)
{
    while (fleet->queue_count > 0 && fleet->queue[0].time_ns <= until_ns) {
        HrFleetEvent event = pop_event(fleet);

        fleet->now_ns = event.time_ns;
        deliver_event(fleet, event);
    }
    fleet->now_ns = until_ns;
}

/* Returns the wall time of a daemon in milliseconds. */
int64_t
HrFleet_WallMs(const HrFleet *fleet, uint32_t daemon)
{
    return WALL_START_MS + fleet->now_ns / HR_NS_PER_MS +
           fleet->daemons[daemon].wall_offset_ms;
}

/* Prints a line with the time if the fleet is traced. */
void
HrFleet_Trace(const HrFleet *fleet, const char *format, ...)
{
    va_list args;

    if (!fleet->trace) {
        return;
    }
    printf("%10.3f ms  ", (double)fleet->now_ns / (double)HR_NS_PER_MS);
    va_start(args, format);
    vprintf(format, args);
    va_end(args);
    printf("\n");
}

/* Returns the number of schedules to run: 20 times as many with HR_SOAK. */
uint32_t
HrFleet_Schedules(uint32_t count)
{
    const char *soak = getenv("HR_SOAK");

    return soak != NULL && soak[0] == '1' ? count * 20 : count;
}

/* Runs a schedule for each seed. See the header. */
uint32_t
HrFleet_RunSeeds(const char *name, uint64_t first, uint32_t count,
                 bool (*schedule)(uint64_t seed, bool trace))
{
    const char *one = getenv("HR_SEED");
    uint32_t i, failed = 0;

    if (one != NULL) {
        uint64_t seed = strtoull(one, NULL, 10);

        printf("%s: seed %" PRIu64 "\n", name, seed);
        return schedule(seed, true) ? 0 : 1;
    }
    printf("%s: seeds %" PRIu64 " to %" PRIu64 "\n", name, first,
           first + count - 1);
    for (i = 0; i < count; i++) {
        if (!schedule(first + i, false)) {
            printf("%s: seed %" PRIu64 " failed; replay with HR_SEED=%" PRIu64
                   "\n",
                   name, first + i, first + i);
            failed++;
        }
    }
    return failed;
}
