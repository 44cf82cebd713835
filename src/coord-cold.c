#include "coord-cold.h"

#include <math.h>

#include "base-clock.h"

#define WINDOW_NS HR_NS_PER_S
#define BUCKET_NS (WINDOW_NS / HR_COLD_BUCKETS)
#define BUCKET_COUNT (HR_COLD_BUCKETS + 1)

/* Moves the window to now_ns, which empties the buckets that leave it. */
static void
advance_window(HrColdWindow *window, int64_t now_ns)
{
    int64_t bucket = now_ns / BUCKET_NS;

    if (bucket - window->bucket > BUCKET_COUNT) {
        window->bucket = bucket - BUCKET_COUNT;
    }
    while (window->bucket < bucket) {
        uint32_t slot = (uint32_t)(++window->bucket % BUCKET_COUNT);

        window->sum -= window->counts[slot];
        window->counts[slot] = 0;
    }
}

void
HrColdWindow_RecordRequest(HrColdWindow *window, int64_t now_ns)
{
    advance_window(window, now_ns);
    window->counts[window->bucket % BUCKET_COUNT]++;
    window->sum++;
}

/* The positions of the daemons are spread evenly, so the rounded shares exceed
 * the sum of the exact ones by at most 1, which is subtracted before. A
 * process that is younger than the window sends nothing, because it does not
 * know what the process before it has sent. */
uint32_t
HrColdLimit_GetShare(const HrColdLimit *limit, const HrColdWindow *window,
                     int64_t now_ns)
{
    uint32_t daemons = limit->sharing->daemon_count;
    double bound = limit->per_s * limit->overshoot + limit->slack;
    double rounding;

    if (now_ns - limit->sharing->started_ns < WINDOW_NS) {
        return 0;
    }
    if (daemons <= 1) {
        return (uint32_t)fmin(bound, UINT32_MAX);
    }
    rounding = fmod(limit->sharing->position + window->position_shift, 1.0);
    return (uint32_t)fmin(fmax(bound - 1, 0) / daemons + rounding, UINT32_MAX);
}

/* A request fits once enough of the oldest ones have left the window. */
int64_t
HrColdLimit_GetFreeNs(const HrColdLimit *limit, HrColdWindow *window,
                      int64_t now_ns)
{
    uint32_t share = HrColdLimit_GetShare(limit, window, now_ns), sum, i;
    int64_t first;

    advance_window(window, now_ns);
    if (limit->per_s <= 0 || window->sum < share) {
        return now_ns;
    }
    if (share == 0) {
        int64_t old_ns = limit->sharing->started_ns + WINDOW_NS;

        return now_ns < old_ns ? old_ns : HR_TIME_NEVER;
    }
    first = window->bucket - HR_COLD_BUCKETS;
    for (i = 0, sum = window->sum; sum >= share; i++) {
        sum -= window->counts[(first + i) % BUCKET_COUNT];
    }
    return (first + i + HR_COLD_BUCKETS) * BUCKET_NS;
}
