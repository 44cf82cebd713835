#ifndef HR_BENCH_MEASURE_H
#define HR_BENCH_MEASURE_H

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* Prints one measurement as a JSON line. The baseline is what the value is to
 * be compared with: the naive policy, the undisturbed run, or the bound. */
static inline void
measure_print(const char *name, const char *unit, double value,
              double baseline, uint64_t seed)
{
    printf("{\"name\": \"%s\", \"unit\": \"%s\", \"value\": %.4f, "
           "\"baseline\": %.4f, \"seed\": %llu}\n",
           name, unit, value, baseline, (unsigned long long)seed);
}

/* Orders two durations for qsort. */
static inline int
measure_compare(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

/* Returns a quantile of sorted durations in milliseconds. */
static inline double
measure_quantile_ms(const int64_t *sorted, uint32_t count, double q)
{
    uint32_t rank = (uint32_t)(q * count);

    return (double)sorted[rank < count ? rank : count - 1] / 1e6;
}

#endif
