#include "base-counter.h"

#include <ck_pr.h>

#define HR_COUNTER(name, unit, meaning) {#name, #unit, meaning},
static const HrCounterInfo counter_infos[] = {
#include "base-counter-list.h"
};
#undef HR_COUNTER

/* Atomically adds delta to a counter; counters may be NULL. */
void
HrCounters_Add(HrCounters *counters, HrCounterId id, uint64_t delta)
{
    if (counters != NULL) {
        ck_pr_add_64(&counters->values[id], delta);
    }
}

/* Returns the value of a counter. */
uint64_t
HrCounters_GetValue(const HrCounters *counters, HrCounterId id)
{
    return ck_pr_load_64(&counters->values[id]);
}

/* Returns the description of a counter. */
const HrCounterInfo *
HrCounters_GetInfo(HrCounterId id)
{
    return &counter_infos[id];
}
