#ifndef HR_TESTS_COMMON_FLEET_H
#define HR_TESTS_COMMON_FLEET_H

/* Simulates the processes, the clock and the network of a few daemons in
 * virtual time. The test supplies the function that handles the events of a
 * daemon, and in it calls the daemon's modules, which do no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-rng.h"

/* The kind of timer events; tests define further kinds. */
#define HR_FLEET_EVENT_TIMER 0

typedef struct HrFleet HrFleet;

/* Handles one event of a daemon. The fleet frees payload afterwards. */
typedef void HrFleetEventFn(void *context, uint32_t daemon, int kind,
                            void *payload);

/* Returns the monotonic time at which a daemon next needs a timer event, or
 * HR_TIME_NEVER. */
typedef int64_t HrFleetGetTimerFn(void *context, uint32_t daemon);

/* The simulated process of one daemon. */
typedef struct HrFleetDaemon {
    bool up;
    uint32_t run; /* number of the process; incremented by a crash, so that
                     events queued for an earlier process are dropped */
    int64_t paused_until_ns;
    int64_t wall_offset_ms;
    int64_t timer_ns;     /* when the queued timer event is due; HR_TIME_NEVER:
                             none is queued */
    uint64_t timer_order; /* order of the queued timer event */
} HrFleetDaemon;

struct HrFleet {
    uint64_t seed;
    HrRng rng;
    int64_t now_ns;
    bool trace;
    double loss;        /* probability that a message is lost */
    double duplication; /* probability that a message is duplicated */
    int64_t delay_mean_ns;
    uint32_t daemon_count;
    HrFleetDaemon *daemons;
    bool *cut; /* cut links, indexed by [from * daemon_count + to] */
    HrFleetEventFn *event_fn;
    HrFleetGetTimerFn *get_timer_fn;
    void *context;
    struct HrFleetEvent *queue;
    uint32_t queue_count;
    uint64_t queue_order;
};

/* Creates a fleet of running daemons and a network without faults. context is
 * passed to both functions. */
HrFleet *HrFleet_Create(const void *parent, uint64_t seed,
                        uint32_t daemon_count, HrFleetEventFn *event_fn,
                        HrFleetGetTimerFn *get_timer_fn, void *context);

/* Queues an event of a daemon. Takes ownership of payload, which is allocated
 * with talloc or NULL. */
void HrFleet_QueueEvent(HrFleet *fleet, int64_t time_ns, uint32_t daemon,
                        int kind, void *payload);

/* Sends a payload over the network, which may lose, delay or duplicate it.
 * Takes ownership of payload. Payloads that hold pointers must not be
 * duplicated, because the copy would share what they point to. */
void HrFleet_SendMessage(HrFleet *fleet, uint32_t from, uint32_t to, int kind,
                         void *payload);

/* Cuts or restores the link between two daemons in both directions. */
void HrFleet_SetLinkCut(HrFleet *fleet, uint32_t first, uint32_t second,
                        bool cut);

/* Restores all links and ends loss and duplication of messages. */
void HrFleet_ClearNetworkFaults(HrFleet *fleet);

/* Crashes a daemon: its queued events are dropped. */
void HrFleet_CrashDaemon(HrFleet *fleet, uint32_t daemon);

/* Starts a crashed daemon again. */
void HrFleet_RestartDaemon(HrFleet *fleet, uint32_t daemon);

/* Pauses a daemon until until_ns; its events are delivered then. */
void HrFleet_PauseDaemon(HrFleet *fleet, uint32_t daemon, int64_t until_ns);

/* Queues a timer event for a daemon if it needs one earlier than the one that
 * is queued. Call this when the daemon's modules were changed by anything
 * other than an event. */
void HrFleet_UpdateTimer(HrFleet *fleet, uint32_t daemon);

/* Processes all events up to until_ns, then sets the clock to until_ns. */
void HrFleet_RunUntil(HrFleet *fleet, int64_t until_ns);

/* Returns the wall clock time of a daemon in milliseconds. */
int64_t HrFleet_GetWallMs(const HrFleet *fleet, uint32_t daemon);

/* Prints a line with the current time if tracing is on. */
void HrFleet_PrintTrace(const HrFleet *fleet, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns the number of schedules to run: count, or 20 times as many if
 * HR_SOAK is 1. */
uint32_t HrFleet_GetScheduleCount(uint32_t count);

/* Runs a schedule with each of count seeds, starting at first, or with tracing
 * and only the seed in HR_SEED if that is set. Prints the seeds. run_schedule
 * returns false if a check failed. Returns the number of failed schedules. */
uint32_t HrFleet_RunSeeds(const char *name, uint64_t first, uint32_t count,
                          bool (*run_schedule)(uint64_t seed, bool trace));

#endif
