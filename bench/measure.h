#ifndef HR_BENCH_MEASURE_H
#define HR_BENCH_MEASURE_H

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* Prints one measurement as a JSON line. The baseline is the value to compare
 * with: that of a naive policy or of a run without faults, or a limit. */
static inline void
measure_print_result(const char *name, const char *unit, double value,
                     double baseline, uint64_t seed)
{
    printf("{\"name\": \"%s\", \"unit\": \"%s\", \"value\": %.4f, "
           "\"baseline\": %.4f, \"seed\": %llu}\n",
           name, unit, value, baseline, (unsigned long long)seed);
}

/* Compares two durations of type int64_t for qsort. */
static inline int
measure_compare_durations(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

/* Returns quantile q of sorted durations, which are in nanoseconds, in
 * milliseconds. count must not be 0. */
static inline double
measure_get_quantile_ms(const int64_t *sorted, uint32_t count, double q)
{
    uint32_t rank = (uint32_t)(q * count);

    return (double)sorted[rank < count ? rank : count - 1] / 1e6;
}

#endif
