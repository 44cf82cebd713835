#ifndef HR_COORD_BURN_REPORT_H
#define HR_COORD_BURN_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-error.h"

/* Reports on service-level objectives (SLOs): counts of answers, burn rates of
 * the error budget and a time series per minute. The reports of several
 * daemons can be merged into one. */

/* Lengths of the two windows over which burn rates are computed. */
#define HR_BURN_SHORT_WINDOW_NS (300 * HR_NS_PER_S)
#define HR_BURN_LONG_WINDOW_NS (3600 * HR_NS_PER_S)
/* The time series has one point per minute of the last hour. */
#define HR_BURN_POINT_NS (60 * HR_NS_PER_S)
#define HR_BURN_POINT_COUNT 60

/* Latency buckets: 8 per power of two from 2^16 ns (66 us) to 2^36 ns (69 s),
 * so a quantile within this range is off by at most 1/8 of its value. */
#define HR_BURN_HIST_SUB_BITS 3
#define HR_BURN_HIST_MIN_BITS 16
#define HR_BURN_HIST_MAX_BITS 36
#define HR_BURN_HIST_BUCKETS                                                  \
    ((HR_BURN_HIST_MAX_BITS - HR_BURN_HIST_MIN_BITS) << HR_BURN_HIST_SUB_BITS)

/* Burn rate that uses 2% of a 30-day error budget in one hour: 0.02 * 30 * 24.
 * A route burns fast when both windows reach it. */
#define HR_BURN_FAST_RATE 14.4
/* Upper limit of a burn rate. It is reported when the target leaves no error
 * budget, where the rate would be infinite. */
#define HR_BURN_MAX_RATE 1e6

/* The service-level objectives of a route. */
typedef struct HrBurnObjective {
    uint64_t revision; /* of the route; a merge retains the highest */
    uint32_t latency_ms;
    double latency_target;  /* required share of answers within
                             * latency_ms */
    double coverage_target; /* required share of needed shards that
                             * contribute */
} HrBurnObjective;

/* Counts of answers and shards over some period. */
typedef struct HrBurnCounts {
    uint64_t answers;
    uint64_t slow_answers;   /* that missed the latency objective;
                              * includes refused and unknown ones */
    uint64_t shards;         /* that queries needed */
    uint64_t missing_shards; /* needed shards that did not contribute */
} HrBurnCounts;

/* One minute of the time series. */
typedef struct HrBurnPoint {
    int64_t minute; /* minutes since 1970 */
    HrBurnCounts counts;
    uint32_t latencies[HR_BURN_HIST_BUCKETS]; /* number of answers in each */
} HrBurnPoint;

/* The part of a report about one route and pool. */
typedef struct HrBurnEntry {
    const char *route;
    const char *pool;
    HrBurnObjective objective;
    HrBurnCounts short_window;
    HrBurnCounts long_window;
    /* One for each of the last HR_BURN_POINT_COUNT minutes, oldest first. */
    HrBurnPoint points[HR_BURN_POINT_COUNT];
} HrBurnEntry;

/* A report of one daemon, or of several daemons after a merge. */
typedef struct HrBurnReport {
    int64_t wall_ns;  /* wall time of the report, since 1970 */
    uint32_t daemons; /* number of daemons whose reports are merged */
    HrBurnEntry **entries;
    uint32_t entry_count;
} HrBurnReport;

/* Burn rates of the error budget in the short and the long window. At rate 1,
 * the share of bad events is exactly what the target allows. */
typedef struct HrBurnRates {
    double latency_short;
    double latency_long;
    double coverage_short;
    double coverage_long;
} HrBurnRates;

/* Increments the bucket of a latency. */
void HrBurnPoint_AddLatency(HrBurnPoint *point, int64_t latency_ns);

/* Returns the upper bound of the bucket that contains quantile q (0 to 1), or
 * 0 when the point is empty. */
int64_t HrBurnPoint_GetQuantileNs(const HrBurnPoint *point, double q);

/* Adds the counts and latencies of another point of the same minute. */
void HrBurnPoint_Merge(HrBurnPoint *point, const HrBurnPoint *other);

/* Adds other to counts. */
void HrBurnCounts_Add(HrBurnCounts *counts, const HrBurnCounts *other);

/* Returns the share of needed shards that contributed; 1 when none was
 * needed. */
double HrBurnCounts_GetCoverage(const HrBurnCounts *counts);

/* Returns the burn rates of an entry, each at most HR_BURN_MAX_RATE. */
HrBurnRates HrBurnEntry_GetRates(const HrBurnEntry *entry);

/* Returns true if the rate of an objective is at least HR_BURN_FAST_RATE in
 * both windows. The short window excludes an incident that has ended, the long
 * window one that has used little of the error budget. An objective that uses
 * its budget slowly stays below the rate. */
bool HrBurnRates_IsFast(const HrBurnRates *rates);

/* Creates a report without entries, for 0 daemons. Returns NULL when out of
 * memory. */
HrBurnReport *HrBurnReport_Create(const void *parent, int64_t wall_ns);

/* Returns the entry of a route and pool; adds an empty one if there is none.
 * Returns NULL when out of memory. */
HrBurnEntry *HrBurnReport_FindOrAddEntry(HrBurnReport *report,
                                         const char *route, const char *pool);

/* Adds the counts of another report. Points of minutes outside the hour that
 * report covers are dropped. Returns 0 or HR_ERR_NO_MEMORY. */
int HrBurnReport_Merge(HrBurnReport *report, const HrBurnReport *other);

#endif
