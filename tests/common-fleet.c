#include "common-fleet.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

/* Wall clock time at the start of every schedule. */
#define WALL_START_MS INT64_C(1700000000000)

/* A queued event. The queue is a binary heap ordered by time, then by the
 * order of queuing. */
typedef struct HrFleetEvent {
    int64_t time_ns;
    uint64_t order;
    uint32_t daemon;
    uint32_t run;
    int kind;
    void *payload;
} HrFleetEvent;

/* Returns true if left is processed before right. */
static bool
is_event_before(const HrFleetEvent *left, const HrFleetEvent *right)
{
    return left->time_ns != right->time_ns ? left->time_ns < right->time_ns
                                           : left->order < right->order;
}

/* Adds an event to the heap. */
static void
push_event(HrFleet *fleet, HrFleetEvent event)
{
    uint32_t slot = fleet->queue_count;

    if (slot == talloc_array_length(fleet->queue)) {
        fleet->queue = talloc_realloc(fleet, fleet->queue, HrFleetEvent,
                                      slot == 0 ? 64 : slot * 2);
    }
    fleet->queue_count++;
    while (slot > 0 &&
           is_event_before(&event, &fleet->queue[(slot - 1) / 2])) {
        fleet->queue[slot] = fleet->queue[(slot - 1) / 2];
        slot = (slot - 1) / 2;
    }
    fleet->queue[slot] = event;
}

/* Removes and returns the first event of the heap, which must not be empty. */
static HrFleetEvent
pop_event(HrFleet *fleet)
{
    HrFleetEvent first = fleet->queue[0];
    HrFleetEvent last = fleet->queue[--fleet->queue_count];
    uint32_t slot = 0, child;

    while ((child = 2 * slot + 1) < fleet->queue_count) {
        if (child + 1 < fleet->queue_count &&
            is_event_before(&fleet->queue[child + 1], &fleet->queue[child])) {
            child++;
        }
        if (!is_event_before(&fleet->queue[child], &last)) {
            break;
        }
        fleet->queue[slot] = fleet->queue[child];
        slot = child;
    }
    fleet->queue[slot] = last;
    return first;
}

/* Passes an event to its daemon. Drops it if the daemon has crashed since it
 * was queued; if the daemon is paused, queues it again for the end of the
 * pause. */
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
    if (event.kind == HR_FLEET_EVENT_TIMER) {
        if (event.order != daemon->timer_order) {
            return; /* replaced by an earlier timer event */
        }
        daemon->timer_ns = HR_TIME_NEVER;
    }
    fleet->event_fn(fleet->context, event.daemon, event.kind, event.payload);
    talloc_free(event.payload);
    HrFleet_UpdateTimer(fleet, event.daemon);
}

/* Creates a fleet of running daemons and a network without faults. */
HrFleet *
HrFleet_Create(const void *parent, uint64_t seed, uint32_t daemon_count,
               HrFleetEventFn *event_fn, HrFleetGetTimerFn *get_timer_fn,
               void *context)
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
    fleet->event_fn = event_fn;
    fleet->get_timer_fn = get_timer_fn;
    fleet->context = context;
    for (i = 0; i < daemon_count; i++) {
        fleet->daemons[i].up = true;
        fleet->daemons[i].timer_ns = HR_TIME_NEVER;
    }
    return fleet;
}

/* Queues an event of a daemon. */
void
HrFleet_QueueEvent(HrFleet *fleet, int64_t time_ns, uint32_t daemon, int kind,
                   void *payload)
{
    HrFleetEvent event = {.time_ns = time_ns, .daemon = daemon, .kind = kind};

    event.order = ++fleet->queue_order;
    event.run = fleet->daemons[daemon].run;
    event.payload = talloc_steal(fleet, payload);
    push_event(fleet, event);
}

/* Sends a payload over the network, which may lose, delay or duplicate it. A
 * message to the sender itself is delivered without delay or fault. Payloads
 * that hold pointers must not be duplicated: a copy holds the same pointers as
 * the original, and what they point to is freed with the original, as its
 * talloc child. */
void
HrFleet_SendMessage(HrFleet *fleet, uint32_t from, uint32_t to, int kind,
                    void *payload)
{
    int64_t delay_ns =
        HrRng_DrawExponentialNs(&fleet->rng, fleet->delay_mean_ns);

    if (from == to) {
        HrFleet_QueueEvent(fleet, fleet->now_ns, to, kind, payload);
        return;
    }
    if (fleet->cut[from * fleet->daemon_count + to] ||
        HrRng_DrawBool(&fleet->rng, fleet->loss)) {
        talloc_free(payload);
        return;
    }
    if (HrRng_DrawBool(&fleet->rng, fleet->duplication)) {
        void *copy = talloc_memdup(fleet, payload, talloc_get_size(payload));

        HrFleet_QueueEvent(
            fleet,
            fleet->now_ns + HrRng_DrawExponentialNs(&fleet->rng,
                                                    20 * fleet->delay_mean_ns),
            to, kind, copy);
    }
    HrFleet_QueueEvent(fleet, fleet->now_ns + delay_ns, to, kind, payload);
}

/* Cuts or restores the link between two daemons in both directions. */
void
HrFleet_SetLinkCut(HrFleet *fleet, uint32_t first, uint32_t second, bool cut)
{
    fleet->cut[first * fleet->daemon_count + second] = cut;
    fleet->cut[second * fleet->daemon_count + first] = cut;
}

/* Restores all links and ends loss and duplication of messages. */
void
HrFleet_ClearNetworkFaults(HrFleet *fleet)
{
    uint32_t i;

    fleet->loss = 0;
    fleet->duplication = 0;
    for (i = 0; i < fleet->daemon_count * fleet->daemon_count; i++) {
        fleet->cut[i] = false;
    }
}

/* Crashes a daemon: its queued events are dropped. */
void
HrFleet_CrashDaemon(HrFleet *fleet, uint32_t daemon)
{
    fleet->daemons[daemon].up = false;
    fleet->daemons[daemon].run++;
    fleet->daemons[daemon].paused_until_ns = 0;
    fleet->daemons[daemon].timer_ns = HR_TIME_NEVER;
}

/* Starts a crashed daemon again. */
void
HrFleet_RestartDaemon(HrFleet *fleet, uint32_t daemon)
{
    fleet->daemons[daemon].up = true;
}

/* Pauses a daemon; its events are delivered when the pause ends. */
void
HrFleet_PauseDaemon(HrFleet *fleet, uint32_t daemon, int64_t until_ns)
{
    fleet->daemons[daemon].paused_until_ns = until_ns;
}

/* Queues a timer event for a daemon if it needs one earlier than the one that
 * is queued. */
void
HrFleet_UpdateTimer(HrFleet *fleet, uint32_t daemon)
{
    HrFleetDaemon *state = &fleet->daemons[daemon];
    int64_t time_ns;

    if (!state->up) {
        return;
    }
    time_ns = fleet->get_timer_fn(fleet->context, daemon);
    if (time_ns >= state->timer_ns) {
        return;
    }
    state->timer_ns = time_ns;
    HrFleet_QueueEvent(fleet,
                       time_ns > fleet->now_ns ? time_ns : fleet->now_ns,
                       daemon, HR_FLEET_EVENT_TIMER, NULL);
    state->timer_order = fleet->queue_order;
}

/* Processes all events up to until_ns, then sets the clock to until_ns. */
void
HrFleet_RunUntil(HrFleet *fleet, int64_t until_ns)
{
    while (fleet->queue_count > 0 && fleet->queue[0].time_ns <= until_ns) {
        HrFleetEvent event = pop_event(fleet);

        fleet->now_ns = event.time_ns;
        deliver_event(fleet, event);
    }
    fleet->now_ns = until_ns;
}

/* Returns the wall clock time of a daemon in milliseconds. */
int64_t
HrFleet_GetWallMs(const HrFleet *fleet, uint32_t daemon)
{
    return WALL_START_MS + fleet->now_ns / HR_NS_PER_MS +
           fleet->daemons[daemon].wall_offset_ms;
}

/* Prints a line with the current time if tracing is on. */
void
HrFleet_PrintTrace(const HrFleet *fleet, const char *format, ...)
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

/* Returns the number of schedules to run: count, or 20 times as many if
 * HR_SOAK is 1. */
uint32_t
HrFleet_GetScheduleCount(uint32_t count)
{
    const char *soak = getenv("HR_SOAK");

    return soak != NULL && soak[0] == '1' ? count * 20 : count;
}

/* Runs a schedule with each of count seeds, starting at first, or only with
 * the seed in HR_SEED. */
uint32_t
HrFleet_RunSeeds(const char *name, uint64_t first, uint32_t count,
                 bool (*run_schedule)(uint64_t seed, bool trace))
{
    const char *seed_text = getenv("HR_SEED");
    uint32_t i, failed = 0;

    if (seed_text != NULL) {
        uint64_t seed = strtoull(seed_text, NULL, 10);

        printf("%s: seed %" PRIu64 "\n", name, seed);
        return run_schedule(seed, true) ? 0 : 1;
    }
    printf("%s: seeds %" PRIu64 " to %" PRIu64 "\n", name, first,
           first + count - 1);
    for (i = 0; i < count; i++) {
        if (!run_schedule(first + i, false)) {
            printf("%s: seed %" PRIu64 " failed; replay with HR_SEED=%" PRIu64
                   "\n",
                   name, first + i, first + i);
            failed++;
        }
    }
    return failed;
}
