#include "coord-burn.h"

#include <string.h>
#include <talloc.h>

/* The windows are sums of buckets, so they are off by at most one bucket:
 * 3% of the short window. */
#define BUCKET_NS (10 * HR_NS_PER_S)
#define BUCKETS (HR_BURN_LONG_NS / BUCKET_NS)
#define DEFAULT_MAX_ENTRIES 256
#define NO_BUCKET INT64_MIN

/* One span of a ring. */
typedef struct BurnBucket {
    int64_t number; /* wall time divided by the span; NO_BUCKET: empty */
    HrBurnCounts counts;
} BurnBucket;

/* The record of one route and pool. */
typedef struct BurnRecord {
    const char *route;
    const char *pool;
    HrBurnObjective objective;
    BurnBucket buckets[BUCKETS];
    HrBurnPoint points[HR_BURN_POINTS]; /* by minute modulo the count */
} BurnRecord;

struct HrBurn {
    HrBurnConfig config;
    BurnRecord **records;
    uint32_t record_count;
};

/* Returns the default configuration. */
HrBurnConfig
HrBurnConfig_GetDefaults(void)
{
    HrBurnConfig config = {.max_entries = DEFAULT_MAX_ENTRIES};

    return config;
}

/* Creates an empty record; returns NULL when memory runs out. */
HrBurn *
HrBurn_Create(const void *parent, const HrBurnConfig *config)
{
    HrBurn *burn = talloc_zero(parent, HrBurn);

    if (burn != NULL) {
        burn->config = *config;
    }
    return burn;
}

/* Returns the record of a route, or NULL. */
static BurnRecord *
find_record(const HrBurn *burn, const HrRoute *route)
{
    uint32_t i;

    for (i = 0; i < burn->record_count; i++) {
        BurnRecord *record = burn->records[i];

        if (strcmp(record->route, route->name) == 0 &&
            strcmp(record->pool, route->pool) == 0) {
            return record;
        }
    }
    return NULL;
}

/* Creates an empty record; returns NULL when memory runs out. */
static BurnRecord *
create_record(HrBurn *burn, const HrRoute *route)
{
    BurnRecord *record = talloc_zero(burn, BurnRecord);
    uint32_t i;

    if (record == NULL) {
        return NULL;
    }
    record->route = talloc_strdup(record, route->name);
    record->pool = talloc_strdup(record, route->pool);
    if (record->route == NULL || record->pool == NULL) {
        talloc_free(record);
        return NULL;
    }
    for (i = 0; i < BUCKETS; i++) {
        record->buckets[i].number = NO_BUCKET;
    }
    for (i = 0; i < HR_BURN_POINTS; i++) {
        record->points[i].minute = NO_BUCKET;
    }
    return record;
}

/* Adds the record of a route. Returns 0, HR_ERR_FULL or HR_ERR_NO_MEMORY. */
static int
add_record(HrBurn *burn, const HrRoute *route, BurnRecord **record)
{
    BurnRecord **grown;

    if (burn->record_count >= burn->config.max_entries) {
        return HR_ERR_FULL;
    }
    grown = talloc_realloc(burn, burn->records, BurnRecord *,
                           burn->record_count + 1);
    if (grown == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    burn->records = grown;
    *record = create_record(burn, route);
    if (*record == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    grown[burn->record_count++] = *record;
    return HR_OK;
}

/* Returns the bucket of a time. A bucket that holds another time is emptied;
 * a clock that is set back therefore costs at most the buckets it revisits. */
static HrBurnCounts *
open_bucket(BurnRecord *record, int64_t wall_ns)
{
    int64_t number = wall_ns / BUCKET_NS;
    BurnBucket *bucket = &record->buckets[number % BUCKETS];

    if (bucket->number != number) {
        memset(bucket, 0, sizeof(*bucket));
        bucket->number = number;
    }
    return &bucket->counts;
}

/* Returns the point of a time, emptied if it holds another one. */
static HrBurnPoint *
open_point(BurnRecord *record, int64_t wall_ns)
{
    int64_t minute = wall_ns / HR_BURN_POINT_NS;
    HrBurnPoint *point = &record->points[minute % HR_BURN_POINTS];

    if (point->minute != minute) {
        memset(point, 0, sizeof(*point));
        point->minute = minute;
    }
    return point;
}

/* Returns what one answer adds to the counts. */
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
    /* A query that was refused before its shards were known lacks at least
     * one. */
    if (answer->part_count + answer->missing_count == 0) {
        counts.missing_shards = 1;
    }
    counts.shards = answer->part_count + counts.missing_shards;
    return counts;
}

/* Returns true if the answer says nothing of the service: the caller
 * cancelled the query or gave no key. */
static bool
is_excluded(const HrGatherAnswer *answer)
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

/* Counts one answer. */
int
HrBurn_Record(HrBurn *burn, const HrRoute *route, const HrGatherAnswer *answer,
              int64_t wall_ns)
{
    BurnRecord *record = find_record(burn, route);
    HrBurnCounts counts;
    HrBurnPoint *point;
    int rc;

    if (wall_ns < 0 || is_excluded(answer)) {
        return HR_OK;
    }
    if (record == NULL) {
        rc = add_record(burn, route, &record);
        if (rc != HR_OK) {
            return rc;
        }
    }
    record->objective = (HrBurnObjective){
        .revision = route->revision,
        .latency_ms = route->objective_latency_ms,
        .latency_target = route->objective_latency_target,
        .coverage_target = route->objective_coverage_target,
    };
    counts = count_answer(route, answer);
    HrBurnCounts_Add(open_bucket(record, wall_ns), &counts);
    point = open_point(record, wall_ns);
    HrBurnCounts_Add(&point->counts, &counts);
    HrBurnPoint_Record(point, answer->finished_ns - answer->started_ns);
    return HR_OK;
}

/* Returns true if the tables hold the route and pool of a record. */
static bool
is_routed(const BurnRecord *record, const HrTables *tables)
{
    uint32_t i;

    for (i = 0; i < tables->route_count; i++) {
        if (strcmp(tables->routes[i].name, record->route) == 0 &&
            strcmp(tables->routes[i].pool, record->pool) == 0) {
            return true;
        }
    }
    return false;
}

/* Drops the entries of routes that the tables no longer hold. */
void
HrBurn_Prune(HrBurn *burn, const HrTables *tables)
{
    uint32_t i, kept = 0;

    for (i = 0; i < burn->record_count; i++) {
        if (is_routed(burn->records[i], tables)) {
            burn->records[kept++] = burn->records[i];
        }
        else {
            talloc_free(burn->records[i]);
        }
    }
    burn->record_count = kept;
}

/* Adds up the buckets of a window that ends at a time. */
static HrBurnCounts
sum_window(const BurnRecord *record, int64_t wall_ns, int64_t window_ns)
{
    int64_t last = wall_ns / BUCKET_NS;
    int64_t first = last - window_ns / BUCKET_NS + 1;
    HrBurnCounts sum = {0};
    uint32_t i;

    for (i = 0; i < BUCKETS; i++) {
        const BurnBucket *bucket = &record->buckets[i];

        if (bucket->number >= first && bucket->number <= last) {
            HrBurnCounts_Add(&sum, &bucket->counts);
        }
    }
    return sum;
}

/* Fills an entry of the report. */
static void
fill_entry(HrBurnEntry *entry, const BurnRecord *record, int64_t wall_ns)
{
    uint32_t i;

    entry->objective = record->objective;
    entry->short_window = sum_window(record, wall_ns, HR_BURN_SHORT_NS);
    entry->long_window = sum_window(record, wall_ns, HR_BURN_LONG_NS);
    for (i = 0; i < HR_BURN_POINTS; i++) {
        int64_t minute = entry->points[i].minute;

        if (minute >= 0 &&
            record->points[minute % HR_BURN_POINTS].minute == minute) {
            entry->points[i] = record->points[minute % HR_BURN_POINTS];
        }
    }
}

/* Returns the report at a time as a talloc child of parent; NULL when memory
 * runs out. */
HrBurnReport *
HrBurn_Report(const HrBurn *burn, const void *parent, int64_t wall_ns)
{
    HrBurnReport *report = HrBurnReport_Create(parent, wall_ns);
    uint32_t i;

    if (report == NULL) {
        return NULL;
    }
    report->daemons = 1;
    for (i = 0; i < burn->record_count; i++) {
        const BurnRecord *record = burn->records[i];
        HrBurnEntry *entry =
            HrBurnReport_Entry(report, record->route, record->pool);

        if (entry == NULL) {
            talloc_free(report);
            return NULL;
        }
        fill_entry(entry, record, wall_ns);
    }
    return report;
}
