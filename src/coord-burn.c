#include "coord-burn.h"

#include <string.h>
#include <talloc.h>

/* Resolution of the windows. A window is a sum of whole buckets, so its length
 * is off by at most one bucket: 3% of the short window. */
#define BUCKET_NS (10 * HR_NS_PER_S)
#define BUCKET_COUNT (HR_BURN_LONG_WINDOW_NS / BUCKET_NS)
#define DEFAULT_MAX_ENTRIES 256
/* Number of a bucket, or minute of a point, that holds no counts yet. */
#define UNUSED_SLOT INT64_MIN

/* Counts over BUCKET_NS. */
typedef struct BurnBucket {
    int64_t number; /* wall time divided by BUCKET_NS, or UNUSED_SLOT */
    HrBurnCounts counts;
} BurnBucket;

/* The counts of one route and pool. */
typedef struct BurnSeries {
    const char *route;
    const char *pool;
    HrBurnObjective objective;
    /* Rings, indexed by bucket number and by minute modulo their size. */
    BurnBucket buckets[BUCKET_COUNT];
    HrBurnPoint points[HR_BURN_POINT_COUNT];
} BurnSeries;

struct HrBurn {
    HrBurnConfig config;
    BurnSeries **series_list;
    uint32_t series_count;
};

/* Returns the default configuration. */
HrBurnConfig
HrBurnConfig_GetDefaults(void)
{
    HrBurnConfig config = {.max_entries = DEFAULT_MAX_ENTRIES};

    return config;
}

/* Creates empty counts of all routes. Returns NULL when out of memory. */
HrBurn *
HrBurn_Create(const void *parent, const HrBurnConfig *config)
{
    HrBurn *burn = talloc_zero(parent, HrBurn);

    if (burn != NULL) {
        burn->config = *config;
    }
    return burn;
}

/* Returns the series of a route and its pool, or NULL if there is none. */
static BurnSeries *
find_series(const HrBurn *burn, const HrRoute *route)
{
    uint32_t i;

    for (i = 0; i < burn->series_count; i++) {
        BurnSeries *series = burn->series_list[i];

        if (strcmp(series->route, route->name) == 0 &&
            strcmp(series->pool, route->pool) == 0) {
            return series;
        }
    }
    return NULL;
}

/* Creates an empty series. Returns NULL when out of memory. */
static BurnSeries *
create_series(HrBurn *burn, const HrRoute *route)
{
    BurnSeries *series = talloc_zero(burn, BurnSeries);
    uint32_t i;

    if (series == NULL) {
        return NULL;
    }
    series->route = talloc_strdup(series, route->name);
    series->pool = talloc_strdup(series, route->pool);
    if (series->route == NULL || series->pool == NULL) {
        talloc_free(series);
        return NULL;
    }
    for (i = 0; i < BUCKET_COUNT; i++) {
        series->buckets[i].number = UNUSED_SLOT;
    }
    for (i = 0; i < HR_BURN_POINT_COUNT; i++) {
        series->points[i].minute = UNUSED_SLOT;
    }
    return series;
}

/* Adds an empty series for a route and stores it in *series. Returns 0,
 * HR_ERR_FULL or HR_ERR_NO_MEMORY. */
static int
add_series(HrBurn *burn, const HrRoute *route, BurnSeries **series)
{
    BurnSeries **grown;

    if (burn->series_count >= burn->config.max_entries) {
        return HR_ERR_FULL;
    }
    grown = talloc_realloc(burn, burn->series_list, BurnSeries *,
                           burn->series_count + 1);
    if (grown == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    burn->series_list = grown;
    *series = create_series(burn, route);
    if (*series == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    grown[burn->series_count++] = *series;
    return HR_OK;
}

/* Returns the counts of the bucket of a time. A bucket that still holds the
 * counts of another time is cleared first. When the clock is set back, only
 * the counts of the buckets that are used again are lost. */
static HrBurnCounts *
open_bucket(BurnSeries *series, int64_t wall_ns)
{
    int64_t number = wall_ns / BUCKET_NS;
    BurnBucket *bucket = &series->buckets[number % BUCKET_COUNT];

    if (bucket->number != number) {
        memset(bucket, 0, sizeof(*bucket));
        bucket->number = number;
    }
    return &bucket->counts;
}

/* Returns the point of a time, cleared first if it holds another minute. */
static HrBurnPoint *
open_point(BurnSeries *series, int64_t wall_ns)
{
    int64_t minute = wall_ns / HR_BURN_POINT_NS;
    HrBurnPoint *point = &series->points[minute % HR_BURN_POINT_COUNT];

    if (point->minute != minute) {
        memset(point, 0, sizeof(*point));
        point->minute = minute;
    }
    return point;
}

/* Returns the counts of one answer. */
static HrBurnCounts
count_answer(const HrRoute *route, const HrGatherAnswer *answer)
{
    int64_t latency_ns = answer->finished_ns - answer->started_ns;
    HrBurnCounts counts = {.answers = 1};
    uint32_t i;

    if (answer->status == HR_STATUS_REFUSED ||
        answer->status == HR_STATUS_UNKNOWN ||
        latency_ns > route->objective_latency_ms * HR_NS_PER_MS) {
        counts.slow_answers = 1;
    }
    for (i = 0; i < answer->missing_count; i++) {
        if (answer->missing[i].reason != HR_REASON_NOT_NEEDED) {
            counts.missing_shards++;
        }
    }
    /* A query that was refused before its shards were known lacks at least one
     * shard. */
    if (answer->part_count + answer->missing_count == 0) {
        counts.missing_shards = 1;
    }
    counts.shards = answer->part_count + counts.missing_shards;
    return counts;
}

/* Returns true if the answer does not reflect the quality of the service: the
 * caller cancelled the query or sent no shard key. */
static bool
is_excluded_answer(const HrGatherAnswer *answer)
{
    uint32_t i;

    if (answer->reason == HR_REASON_CANCELLED ||
        answer->reason == HR_REASON_NO_KEY) {
        return true;
    }
    for (i = 0; i < answer->missing_count; i++) {
        if (answer->missing[i].reason == HR_REASON_CANCELLED) {
            return true;
        }
    }
    return false;
}

/* Counts one answer; see the header for those that do not count. Returns 0,
 * HR_ERR_FULL or HR_ERR_NO_MEMORY. */
int
HrBurn_RecordAnswer(HrBurn *burn, const HrRoute *route,
                    const HrGatherAnswer *answer, int64_t wall_ns)
{
    BurnSeries *series = find_series(burn, route);
    HrBurnCounts counts;
    HrBurnPoint *point;
    int rc;

    if (wall_ns < 0 || is_excluded_answer(answer)) {
        return HR_OK;
    }
    if (series == NULL) {
        rc = add_series(burn, route, &series);
        if (rc != HR_OK) {
            return rc;
        }
    }
    series->objective = (HrBurnObjective){
        .revision = route->revision,
        .latency_ms = route->objective_latency_ms,
        .latency_target = route->objective_latency_target,
        .coverage_target = route->objective_coverage_target,
    };
    counts = count_answer(route, answer);
    HrBurnCounts_Add(open_bucket(series, wall_ns), &counts);
    point = open_point(series, wall_ns);
    HrBurnCounts_Add(&point->counts, &counts);
    HrBurnPoint_AddLatency(point, answer->finished_ns - answer->started_ns);
    return HR_OK;
}

/* Returns true if the tables contain the route and pool of a series. */
static bool
is_in_tables(const BurnSeries *series, const HrTables *tables)
{
    uint32_t i;

    for (i = 0; i < tables->route_count; i++) {
        if (strcmp(tables->routes[i].name, series->route) == 0 &&
            strcmp(tables->routes[i].pool, series->pool) == 0) {
            return true;
        }
    }
    return false;
}

/* Frees the counts of pairs of route and pool that are not in the tables. */
void
HrBurn_PruneRoutes(HrBurn *burn, const HrTables *tables)
{
    uint32_t i, new_count = 0;

    for (i = 0; i < burn->series_count; i++) {
        if (is_in_tables(burn->series_list[i], tables)) {
            burn->series_list[new_count++] = burn->series_list[i];
        }
        else {
            talloc_free(burn->series_list[i]);
        }
    }
    burn->series_count = new_count;
}

/* Returns the sum of the buckets in the window that ends at wall_ns. */
static HrBurnCounts
sum_window(const BurnSeries *series, int64_t wall_ns, int64_t window_ns)
{
    int64_t last = wall_ns / BUCKET_NS;
    int64_t first = last - window_ns / BUCKET_NS + 1;
    HrBurnCounts sum = {0};
    uint32_t i;

    for (i = 0; i < BUCKET_COUNT; i++) {
        const BurnBucket *bucket = &series->buckets[i];

        if (bucket->number >= first && bucket->number <= last) {
            HrBurnCounts_Add(&sum, &bucket->counts);
        }
    }
    return sum;
}

/* Fills an entry of the report from a series. */
static void
fill_entry(HrBurnEntry *entry, const BurnSeries *series, int64_t wall_ns)
{
    uint32_t i;

    entry->objective = series->objective;
    entry->short_window = sum_window(series, wall_ns, HR_BURN_SHORT_WINDOW_NS);
    entry->long_window = sum_window(series, wall_ns, HR_BURN_LONG_WINDOW_NS);
    for (i = 0; i < HR_BURN_POINT_COUNT; i++) {
        int64_t minute = entry->points[i].minute;

        if (minute >= 0 &&
            series->points[minute % HR_BURN_POINT_COUNT].minute == minute) {
            entry->points[i] = series->points[minute % HR_BURN_POINT_COUNT];
        }
    }
}

/* Creates the report of this daemon at a time, as a talloc child of parent.
 * Returns NULL when out of memory. */
HrBurnReport *
HrBurn_CreateReport(const HrBurn *burn, const void *parent, int64_t wall_ns)
{
    HrBurnReport *report = HrBurnReport_Create(parent, wall_ns);
    uint32_t i;

    if (report == NULL) {
        return NULL;
    }
    report->daemons = 1;
    for (i = 0; i < burn->series_count; i++) {
        const BurnSeries *series = burn->series_list[i];
        HrBurnEntry *entry =
            HrBurnReport_FindOrAddEntry(report, series->route, series->pool);

        if (entry == NULL) {
            talloc_free(report);
            return NULL;
        }
        fill_entry(entry, series, wall_ns);
    }
    return report;
}
