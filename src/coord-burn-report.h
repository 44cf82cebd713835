#ifndef HR_COORD_BURN_REPORT_H
#define HR_COORD_BURN_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-error.h"

/* Reports of service-level objectives, which add up over daemons. */

#define HR_BURN_SHORT_NS (300 * HR_NS_PER_S)
#define HR_BURN_LONG_NS (3600 * HR_NS_PER_S)
#define HR_BURN_POINT_NS (60 * HR_NS_PER_S)
#define HR_BURN_POINTS 60

/* Latency buckets: 8 per power of two from 2^16 ns (66 us) to 2^36 ns (69 s),
 * so a quantile is off by at most 1/8 of its value. */
#define HR_BURN_HIST_SUB_BITS 3
#define HR_BURN_HIST_MIN_BITS 16
#define HR_BURN_HIST_MAX_BITS 36
#define HR_BURN_HIST_BUCKETS                                                  \
    ((HR_BURN_HIST_MAX_BITS - HR_BURN_HIST_MIN_BITS) << HR_BURN_HIST_SUB_BITS)

/* A rate at which both windows would use 2% of a 30-day error budget in one
 * hour: 0.02 * 30 * 24. */
#define HR_BURN_FAST_RATE 14.4
/* Stands for a rate without bound, when the target leaves no budget. */
#define HR_BURN_MAX_RATE 1e6

/* The objectives of a route. */
typedef struct HrBurnObjective {
    uint64_t revision; /* of the route; the largest is valid */
    uint32_t latency_ms;
    double latency_target;  /* share of answers */
    double coverage_target; /* share of shards */
} HrBurnObjective;

/* What happened in a span of time. */
typedef struct HrBurnCounts {
    uint64_t answers;
    uint64_t slow_answers; /* not within the latency objective */
    uint64_t shards;       /* that were needed */
    uint64_t missing_shards;
} HrBurnCounts;

/* One minute of the time series. */
typedef struct HrBurnPoint {
    int64_t minute; /* since 1970 */
    HrBurnCounts counts;
    uint32_t latencies[HR_BURN_HIST_BUCKETS];
} HrBurnPoint;

/* One route and pool. */
typedef struct HrBurnEntry {
    const char *route;
    const char *pool;
    HrBurnObjective objective;
    HrBurnCounts short_window;
    HrBurnCounts long_window;
    HrBurnPoint points[HR_BURN_POINTS]; /* oldest first, no gaps */
} HrBurnEntry;

typedef struct HrBurnReport {
    int64_t wall_ns;
    uint32_t daemons; /* whose reports were added up */
    HrBurnEntry **entries;
    uint32_t entry_count;
} HrBurnReport;

/* Error-budget burn rates: 1 uses up the budget exactly. */
typedef struct HrBurnRates {
    double latency_short;
    double latency_long;
    double coverage_short;
    double coverage_long;
} HrBurnRates;

/* Counts a latency. */
void HrBurnPoint_Record(HrBurnPoint *point, int64_t latency_ns);

/* Returns the upper edge of the bucket of quantile q in [0, 1]; 0 when the
 * point is empty. */
int64_t HrBurnPoint_Quantile(const HrBurnPoint *point, double q);

/* Adds the counts and latencies of another point of the same minute. */
void HrBurnPoint_Merge(HrBurnPoint *point, const HrBurnPoint *other);

/* Adds counts. */
void HrBurnCounts_Add(HrBurnCounts *counts, const HrBurnCounts *other);

/* Returns the share of needed shards that contributed; 1 when none was
 * needed. */
double HrBurnCounts_Coverage(const HrBurnCounts *counts);

/* Returns the burn rates of an entry. */
HrBurnRates HrBurnEntry_Rates(const HrBurnEntry *entry);

/* Returns true if an objective burns fast over both windows: a short episode
 * that has ended and a slow loss do not count. */
bool HrBurnRates_IsFast(const HrBurnRates *rates);

/* Creates an empty report of no daemon; returns NULL when memory runs out. */
HrBurnReport *HrBurnReport_Create(const void *parent, int64_t wall_ns);

/* Returns the entry of a route and pool, which is added when it is absent;
 * NULL when memory runs out. */
HrBurnEntry *HrBurnReport_Entry(HrBurnReport *report, const char *route,
                                const char *pool);

/* Adds the report of another daemon. Points of minutes that the report does
 * not span are left out. Returns 0 or HR_ERR_NO_MEMORY. */
int HrBurnReport_Merge(HrBurnReport *report, const HrBurnReport *other);

#endif
