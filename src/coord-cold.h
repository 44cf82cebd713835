#ifndef HR_COORD_COLD_H
#define HR_COORD_COLD_H

#include <stdint.h>

#include "coord-repeat.h"

/* Limits the requests that all daemons together send to a cold server, whose
 * caches are not filled yet: in any second, per_s x overshoot + slack. Each
 * daemon uses its share. */

/* Number of buckets that cover the window of one second. One more is kept,
 * since the oldest of them is only partly within the window. */
#define HR_COLD_BUCKETS 20

/* The limit of one service. */
typedef struct HrColdLimit {
    double per_s; /* 0: no limit */
    double overshoot;
    double slack;
    /* Number of daemons, position of this one among them, and its start. */
    const HrRepeatLimits *sharing;
} HrColdLimit;

/* This daemon's requests to one server within the last second. */
typedef struct HrColdWindow {
    uint32_t counts[HR_COLD_BUCKETS + 1];
    uint32_t sum;
    int64_t bucket; /* number of the newest bucket */
    /* Added to the position of this daemon, from 0 to below 1, so that for
     * different servers different daemons round their share up. */
    double position_shift;
} HrColdWindow;

/* Counts a request to a server, which need not be cold: it may turn out to be.
 */
void HrColdWindow_RecordRequest(HrColdWindow *window, int64_t now_ns);

/* Returns when this daemon may send one more request to a cold server: now_ns
 * if it may now, HR_TIME_NEVER if its share is 0. */
int64_t HrColdLimit_GetFreeNs(const HrColdLimit *limit, HrColdWindow *window,
                              int64_t now_ns);

/* Returns how many requests a second this daemon may send to a cold server. */
uint32_t HrColdLimit_GetShare(const HrColdLimit *limit,
                              const HrColdWindow *window, int64_t now_ns);

#endif
