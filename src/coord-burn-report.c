#include "coord-burn-report.h"

#include <string.h>
#include <talloc.h>

/* Buckets per power of two. */
#define SUB_BUCKETS (1 << HR_BURN_HIST_SUB_BITS)

/* Returns the index of the bucket of a latency. Latencies outside the range
 * are counted in the first or the last bucket. */
static uint32_t
find_bucket(int64_t latency_ns)
{
    uint64_t value = latency_ns < 0 ? 0 : (uint64_t)latency_ns;
    uint32_t top;

    if (value < (UINT64_C(1) << HR_BURN_HIST_MIN_BITS)) {
        return 0;
    }
    if (value >= (UINT64_C(1) << HR_BURN_HIST_MAX_BITS)) {
        return HR_BURN_HIST_BUCKETS - 1;
    }
    top = 63 - (uint32_t)__builtin_clzll(value);
    return ((top - HR_BURN_HIST_MIN_BITS) << HR_BURN_HIST_SUB_BITS) +
           (uint32_t)((value >> (top - HR_BURN_HIST_SUB_BITS)) - SUB_BUCKETS);
}

/* Returns the largest latency of a bucket, in ns. */
static int64_t
get_bucket_upper_ns(uint32_t bucket)
{
    uint32_t top = HR_BURN_HIST_MIN_BITS + (bucket >> HR_BURN_HIST_SUB_BITS);
    int64_t sub = bucket & (SUB_BUCKETS - 1);

    return ((SUB_BUCKETS + sub + 1) << (top - HR_BURN_HIST_SUB_BITS)) - 1;
}

/* Increments the bucket of a latency. */
void
HrBurnPoint_AddLatency(HrBurnPoint *point, int64_t latency_ns)
{
    point->latencies[find_bucket(latency_ns)]++;
}

/* Returns the upper bound of the bucket that contains quantile q (0 to 1), or
 * 0 when the point is empty. */
int64_t
HrBurnPoint_GetQuantileNs(const HrBurnPoint *point, double q)
{
    uint64_t total = 0, seen = 0, rank;
    uint32_t i;

    for (i = 0; i < HR_BURN_HIST_BUCKETS; i++) {
        total += point->latencies[i];
    }
    if (total == 0) {
        return 0;
    }
    rank = (uint64_t)(q * (double)total);
    if (rank >= total) {
        rank = total - 1;
    }
    for (i = 0; i + 1 < HR_BURN_HIST_BUCKETS; i++) {
        seen += point->latencies[i];
        if (seen > rank) {
            break;
        }
    }
    return get_bucket_upper_ns(i);
}

/* Adds other to counts. */
void
HrBurnCounts_Add(HrBurnCounts *counts, const HrBurnCounts *other)
{
    counts->answers += other->answers;
    counts->slow_answers += other->slow_answers;
    counts->shards += other->shards;
    counts->missing_shards += other->missing_shards;
}

/* Adds the counts and latencies of another point of the same minute. */
void
HrBurnPoint_Merge(HrBurnPoint *point, const HrBurnPoint *other)
{
    uint32_t i;

    HrBurnCounts_Add(&point->counts, &other->counts);
    for (i = 0; i < HR_BURN_HIST_BUCKETS; i++) {
        point->latencies[i] += other->latencies[i];
    }
}

/* Returns the share of needed shards that contributed; 1 when none was
 * needed. */
double
HrBurnCounts_GetCoverage(const HrBurnCounts *counts)
{
    if (counts->shards == 0) {
        return 1;
    }
    return 1 - (double)counts->missing_shards / (double)counts->shards;
}

/* Returns the share of bad events divided by the share that the target allows
 * (the error budget), at most HR_BURN_MAX_RATE. */
static double
compute_burn_rate(uint64_t bad, uint64_t total, double target)
{
    double budget = 1 - target, rate;

    if (bad == 0 || total == 0) {
        return 0;
    }
    if (budget <= 0) {
        return HR_BURN_MAX_RATE;
    }
    rate = (double)bad / (double)total / budget;
    return rate < HR_BURN_MAX_RATE ? rate : HR_BURN_MAX_RATE;
}

/* Returns the burn rates of an entry. */
HrBurnRates
HrBurnEntry_GetRates(const HrBurnEntry *entry)
{
    const HrBurnCounts *short_counts = &entry->short_window;
    const HrBurnCounts *long_counts = &entry->long_window;
    const HrBurnObjective *objective = &entry->objective;
    HrBurnRates rates = {
        .latency_short = compute_burn_rate(short_counts->slow_answers,
                                           short_counts->answers,
                                           objective->latency_target),
        .latency_long =
            compute_burn_rate(long_counts->slow_answers, long_counts->answers,
                              objective->latency_target),
        .coverage_short = compute_burn_rate(short_counts->missing_shards,
                                            short_counts->shards,
                                            objective->coverage_target),
        .coverage_long =
            compute_burn_rate(long_counts->missing_shards, long_counts->shards,
                              objective->coverage_target),
    };

    return rates;
}

/* Returns true if the rate of an objective is at least HR_BURN_FAST_RATE in
 * both windows. */
bool
HrBurnRates_IsFast(const HrBurnRates *rates)
{
    return (rates->latency_short >= HR_BURN_FAST_RATE &&
            rates->latency_long >= HR_BURN_FAST_RATE) ||
           (rates->coverage_short >= HR_BURN_FAST_RATE &&
            rates->coverage_long >= HR_BURN_FAST_RATE);
}

/* Creates a report without entries, for 0 daemons. Returns NULL when out of
 * memory. */
HrBurnReport *
HrBurnReport_Create(const void *parent, int64_t wall_ns)
{
    HrBurnReport *report = talloc_zero(parent, HrBurnReport);

    if (report != NULL) {
        report->wall_ns = wall_ns;
    }
    return report;
}

/* Returns the entry of a route and pool, or NULL if there is none. */
static HrBurnEntry *
find_entry(const HrBurnReport *report, const char *route, const char *pool)
{
    uint32_t i;

    for (i = 0; i < report->entry_count; i++) {
        HrBurnEntry *entry = report->entries[i];

        if (strcmp(entry->route, route) == 0 &&
            strcmp(entry->pool, pool) == 0) {
            return entry;
        }
    }
    return NULL;
}

/* Returns the entry of a route and pool; adds an empty one if there is none.
 * Returns NULL when out of memory. */
HrBurnEntry *
HrBurnReport_FindOrAddEntry(HrBurnReport *report, const char *route,
                            const char *pool)
{
    HrBurnEntry *entry = find_entry(report, route, pool), **grown;
    int64_t last_minute = report->wall_ns / HR_BURN_POINT_NS;
    uint32_t i;

    if (entry != NULL) {
        return entry;
    }
    grown = talloc_realloc(report, report->entries, HrBurnEntry *,
                           report->entry_count + 1);
    if (grown == NULL) {
        return NULL;
    }
    report->entries = grown;
    entry = talloc_zero(report, HrBurnEntry);
    if (entry == NULL) {
        return NULL;
    }
    entry->route = talloc_strdup(entry, route);
    entry->pool = talloc_strdup(entry, pool);
    if (entry->route == NULL || entry->pool == NULL) {
        talloc_free(entry);
        return NULL;
    }
    for (i = 0; i < HR_BURN_POINT_COUNT; i++) {
        entry->points[i].minute = last_minute - (HR_BURN_POINT_COUNT - 1) + i;
    }
    grown[report->entry_count++] = entry;
    return entry;
}

/* Adds the counts of another report's entry for the same route and pool.
 * Points are matched by minute; those without a counterpart are dropped. */
static void
merge_entry(HrBurnEntry *entry, const HrBurnEntry *other)
{
    int64_t shift = other->points[0].minute - entry->points[0].minute;
    int64_t i;

    if (other->objective.revision >= entry->objective.revision) {
        entry->objective = other->objective;
    }
    HrBurnCounts_Add(&entry->short_window, &other->short_window);
    HrBurnCounts_Add(&entry->long_window, &other->long_window);
    for (i = 0; i < HR_BURN_POINT_COUNT; i++) {
        int64_t position = i + shift;

        if (position >= 0 && position < HR_BURN_POINT_COUNT) {
            HrBurnPoint_Merge(&entry->points[position], &other->points[i]);
        }
    }
}

/* Adds the counts of another report. Returns 0 or HR_ERR_NO_MEMORY. */
int
HrBurnReport_Merge(HrBurnReport *report, const HrBurnReport *other)
{
    uint32_t i;

    for (i = 0; i < other->entry_count; i++) {
        const HrBurnEntry *source = other->entries[i];
        HrBurnEntry *entry =
            HrBurnReport_FindOrAddEntry(report, source->route, source->pool);

        if (entry == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        merge_entry(entry, source);
    }
    report->daemons += other->daemons;
    return HR_OK;
}
