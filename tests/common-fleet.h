#ifndef HR_TESTS_COMMON_FLEET_H
#define HR_TESTS_COMMON_FLEET_H

/* Drives the sans-I/O modules of a few daemons in one process and virtual
 * time: an event queue and a network with faults. The test supplies what a
 * daemon does with an event. */

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-rng.h"

#define HR_FLEET_TIMER 0 /* event kind; a test uses other numbers */

typedef struct HrFleet HrFleet;

/* Handles one event of a daemon; payload is freed by the fleet. */
typedef void HrFleetHandler(void *context, uint32_t daemon, int kind,
                            void *payload);

/* Returns when a daemon next needs a timer event. */
typedef int64_t HrFleetTimer(void *context, uint32_t daemon);

/* One daemon's process as the fleet sees it. */
typedef struct HrFleetDaemon {
    bool up;
    uint32_t run; /* raised by a crash: events of an older run are lost */
    int64_t paused_until_ns;
    int64_t wall_offset_ms;
    int64_t timer_ns; /* of the timer event in the queue */
    uint64_t timer_order;
} HrFleetDaemon;

struct HrFleet {
    uint64_t seed;
    HrRng rng;
    int64_t now_ns;
    bool trace;
    double loss;
    double duplication;
    int64_t delay_mean_ns;
    uint32_t daemon_count;
    HrFleetDaemon *daemons;
    bool *cut; /* [from * daemon_count + to] */
    HrFleetHandler *handle;
    HrFleetTimer *timer;
    void *context;
    struct HrFleetEvent *queue;
    uint32_t queue_count;
    uint64_t queue_order;
};

/* Creates a fleet of daemons that are up; the network has no faults. */
HrFleet *HrFleet_Create(const void *parent, uint64_t seed,
                        uint32_t daemon_count, HrFleetHandler *handle,
                        HrFleetTimer *timer, void *context);

/* Queues an event of a daemon at a time. Takes over payload, which is
 * allocated with talloc or NULL. */
void HrFleet_At(HrFleet *fleet, int64_t time_ns, uint32_t daemon, int kind,
                void *payload);

/* Sends a payload over the network: it may be lost, delayed or duplicated. */
void HrFleet_Send(HrFleet *fleet, uint32_t from, uint32_t to, int kind,
                  void *payload);

/* Cuts or heals the network in both directions between two daemons. */
void HrFleet_Cut(HrFleet *fleet, uint32_t left, uint32_t right, bool cut);

/* Heals every fault of the network. */
void HrFleet_Heal(HrFleet *fleet);

/* Stops a daemon; its queued events are lost. */
void HrFleet_Crash(HrFleet *fleet, uint32_t daemon);

/* Lets a crashed daemon run again. */
void HrFleet_Restart(HrFleet *fleet, uint32_t daemon);

/* Pauses a daemon: its events wait until then. */
void HrFleet_Pause(HrFleet *fleet, uint32_t daemon, int64_t until_ns);

/* Queues a daemon's timer event if it needs one earlier than before. Called
 * after something other than an event has changed its modules. */
void HrFleet_Reschedule(HrFleet *fleet, uint32_t daemon);

/* Processes every event up to a time and stands there. */
void HrFleet_Run(HrFleet *fleet, int64_t until_ns);

/* Returns the wall time of a daemon in milliseconds. */
int64_t HrFleet_WallMs(const HrFleet *fleet, uint32_t daemon);

/* Prints a line with the time if the fleet is traced. */
void HrFleet_Trace(const HrFleet *fleet, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns the number of schedules to run: 20 times as many with HR_SOAK. */
uint32_t HrFleet_Schedules(uint32_t count);

/* Runs a schedule for count seeds from first on, or for HR_SEED alone with
 * its trace. Prints the seeds. A schedule returns false when a check failed;
 * returns the number of those. */
uint32_t HrFleet_RunSeeds(const char *name, uint64_t first, uint32_t count,
                          bool (*schedule)(uint64_t seed, bool trace));

#endif
