#ifndef HR_BENCH_RESULT_LINE_H
#define HR_BENCH_RESULT_LINE_H

#include <inttypes.h>
#include <math.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

/* Prints one measurement as a JSON line; NAN means that there is no baseline.
 */
static inline void
print_result(const char *name, const char *unit, double value, double baseline,
             uint64_t seed)
{
    printf("{\"name\":\"%s\",\"unit\":\"%s\",\"value\":%.6g,", name, unit,
           value);
    if (isnan(baseline)) {
        printf("\"baseline\":null,");
    }
    else {
        printf("\"baseline\":%.6g,", baseline);
    }
    printf("\"seed\":%" PRIu64 "}\n", seed);
    fflush(stdout);
}

/* Returns the CPU time of this thread in nanoseconds. */
static inline int64_t
processor_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

#endif
