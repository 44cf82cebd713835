#include "coord-timers.h"

#include <stddef.h>

/* Orders two timers by time, then by sequence. */
static int
compare_timers(const HrTimer *left, const HrTimer *right)
{
    if (left->time_ns != right->time_ns) {
        return left->time_ns < right->time_ns ? -1 : 1;
    }
    return (left->sequence > right->sequence) -
           (left->sequence < right->sequence);
}

HR_RB_GENERATE_STATIC(HrTimerTree, HrTimer, link, compare_timers)

void
HrTimerSet_Init(HrTimerSet *set)
{
    RB_INIT(&set->tree);
    set->next_sequence = 0;
}

void
HrTimerSet_Set(HrTimerSet *set, HrTimer *timer, int64_t time_ns)
{
    if (timer->is_set && timer->time_ns == time_ns) {
        return;
    }
    HrTimerSet_Clear(set, timer);
    if (time_ns == HR_TIME_NEVER) {
        return;
    }
    timer->time_ns = time_ns;
    timer->sequence = set->next_sequence++;
    timer->is_set = true;
    RB_INSERT(HrTimerTree, &set->tree, timer);
}

void
HrTimerSet_Clear(HrTimerSet *set, HrTimer *timer)
{
    if (timer->is_set) {
        RB_REMOVE(HrTimerTree, &set->tree, timer);
        timer->is_set = false;
    }
}

HrTimer *
HrTimerSet_PopDue(HrTimerSet *set, int64_t now_ns)
{
    HrTimer *timer = RB_MIN(HrTimerTree, &set->tree);

    if (timer == NULL || timer->time_ns > now_ns) {
        return NULL;
    }
    HrTimerSet_Clear(set, timer);
    return timer;
}

int64_t
HrTimerSet_GetNextTime(const HrTimerSet *set)
{
    /* RB_MIN does not change the tree, but it takes no const pointer. */
    HrTimer *timer = RB_MIN(HrTimerTree, (struct HrTimerTree *)&set->tree);

    return timer == NULL ? HR_TIME_NEVER : timer->time_ns;
}
