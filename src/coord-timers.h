#ifndef HR_COORD_TIMERS_H
#define HR_COORD_TIMERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "coord-tree.h"

/* A timer of an object; embedded in it. A zeroed timer is not set. */
typedef struct HrTimer {
    RB_ENTRY(HrTimer) link;
    bool is_set;
    int kind; /* of the owner; chosen by the user of the set */
    void *owner;
    int64_t time_ns;
    uint64_t sequence; /* orders timers of the same time */
} HrTimer;

/* Timers ordered by time, then by the order in which they were set. */
typedef struct HrTimerSet {
    RB_HEAD(HrTimerTree, HrTimer) tree;
    uint64_t next_sequence;
} HrTimerSet;

/* Initialises an empty set. */
void HrTimerSet_Init(HrTimerSet *set);

/* Sets or moves a timer; HR_TIME_NEVER clears it. A timer that is set to the
 * same time again keeps its place in the order. */
void HrTimerSet_Set(HrTimerSet *set, HrTimer *timer, int64_t time_ns);

/* Clears a timer, which need not be set. */
void HrTimerSet_Clear(HrTimerSet *set, HrTimer *timer);

/* Clears and returns the first timer that is due, or NULL. */
HrTimer *HrTimerSet_PopDue(HrTimerSet *set, int64_t now_ns);

/* Returns the time of the first timer, or HR_TIME_NEVER. */
int64_t HrTimerSet_GetNextTime(const HrTimerSet *set);

#endif
