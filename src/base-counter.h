#ifndef HR_BASE_COUNTER_H
#define HR_BASE_COUNTER_H

#include <stddef.h>
#include <stdint.h>

#define HR_COUNTER(name, unit, meaning) HR_COUNTER_##name,
typedef enum HrCounterId {
#include "base-counter-list.h"
    HR_COUNTER_COUNT
} HrCounterId;
#undef HR_COUNTER

/* The values of all counters. Any thread may increase them, without a lock. */
typedef struct HrCounters {
    uint64_t values[HR_COUNTER_COUNT];
} HrCounters;

/* Name, unit and meaning of one counter. */
typedef struct HrCounterInfo {
    const char *name;
    const char *unit;
    const char *meaning;
} HrCounterInfo;

/* Adds delta to a counter; counters may be NULL. */
void HrCounters_Add(HrCounters *counters, HrCounterId id, uint64_t delta);

/* Returns the value of a counter. */
uint64_t HrCounters_GetValue(const HrCounters *counters, HrCounterId id);

/* Returns the description of a counter. */
const HrCounterInfo *HrCounters_GetInfo(HrCounterId id);

#endif
