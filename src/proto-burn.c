#include "proto-burn.h"

#include <talloc.h>

#include "proto-fields.h"

/* Limit for the names of routes and pools. */
#define NAME_MAX_BYTES 128
#define MAX_LATENCY_MS UINT32_MAX

/* Returns counts as a JSON array of four numbers. */
static json_t *
pack_counts(const HrBurnCounts *counts)
{
    return json_pack("[I,I,I,I]", (json_int_t)counts->answers,
                     (json_int_t)counts->slow_answers,
                     (json_int_t)counts->shards,
                     (json_int_t)counts->missing_shards);
}

/* Returns the latency buckets that are not empty as an array of pairs of
 * bucket index and count. */
static json_t *
pack_latencies(const HrBurnPoint *point)
{
    json_t *pairs = json_array();
    uint32_t i;

    for (i = 0; i < HR_BURN_HIST_BUCKETS; i++) {
        if (point->latencies[i] > 0) {
            json_array_append_new(pairs,
                                  json_pack("[I,I]", (json_int_t)i,
                                            (json_int_t)point->latencies[i]));
        }
    }
    return pairs;
}

/* Returns a quantile in microseconds. */
static json_int_t
get_quantile_us(const HrBurnPoint *point, double q)
{
    return HrBurnPoint_GetQuantileNs(point, q) / HR_NS_PER_US;
}

/* Returns one point of the time series as an object. */
static json_t *
pack_point(const HrBurnPoint *point)
{
    return json_pack(
        "{s:I,s:o,s:o,s:I,s:I,s:f}", "minute", (json_int_t)point->minute,
        "counts", pack_counts(&point->counts), "latencies",
        pack_latencies(point), "p50_us", get_quantile_us(point, 0.5), "p99_us",
        get_quantile_us(point, 0.99), "coverage",
        HrBurnCounts_GetCoverage(&point->counts));
}

/* Returns the burn rates of an entry as an object. */
static json_t *
pack_rates(const HrBurnEntry *entry)
{
    HrBurnRates rates = HrBurnEntry_GetRates(entry);

    return json_pack("{s:f,s:f,s:f,s:f,s:b}", "latency_short",
                     rates.latency_short, "latency_long", rates.latency_long,
                     "coverage_short", rates.coverage_short, "coverage_long",
                     rates.coverage_long, "fast", HrBurnRates_IsFast(&rates));
}

/* Returns the points of an entry that have answers as an array. */
static json_t *
pack_points(const HrBurnEntry *entry)
{
    json_t *points = json_array();
    uint32_t i;

    for (i = 0; i < HR_BURN_POINT_COUNT; i++) {
        if (entry->points[i].counts.answers > 0) {
            json_array_append_new(points, pack_point(&entry->points[i]));
        }
    }
    return points;
}

/* Returns the entry of one route and pool as an object. */
static json_t *
pack_entry(const HrBurnEntry *entry)
{
    const HrBurnObjective *objective = &entry->objective;

    return json_pack(
        "{s:s,s:s,s:I,s:I,s:f,s:f,s:o,s:o,s:o,s:o}", "route", entry->route,
        "pool", entry->pool, "revision", (json_int_t)objective->revision,
        "latency_ms", (json_int_t)objective->latency_ms, "latency_target",
        objective->latency_target, "coverage_target",
        objective->coverage_target, "short", pack_counts(&entry->short_window),
        "long", pack_counts(&entry->long_window), "rates", pack_rates(entry),
        "points", pack_points(entry));
}

/* Returns a report as JSON text, which is a talloc child of parent. Returns
 * NULL when out of memory. */
char *
HrBurnReport_Encode(const void *parent, const HrBurnReport *report)
{
    HrJsonText text = {.parent = parent};
    uint32_t i;

    HrJsonText_AppendOpenObject(
        &text, json_pack("{s:I,s:I}", "wall_ms",
                         (json_int_t)(report->wall_ns / HR_NS_PER_MS),
                         "daemons", (json_int_t)report->daemons));
    HrJsonText_AppendRaw(&text, ",\"entries\":[");
    for (i = 0; i < report->entry_count; i++) {
        HrJsonText_AppendRaw(&text, i == 0 ? "" : ",");
        HrJsonText_AppendValue(&text, pack_entry(report->entries[i]));
    }
    HrJsonText_AppendRaw(&text, "]}");
    return HrJsonText_Finish(&text);
}

/* Returns the integer at a position of an array. Sets an error and returns 0
 * if it is not an integer from 0 to max. */
static uint64_t
read_array_integer(HrFields *fields, const json_t *array, size_t position,
                   uint64_t max)
{
    const json_t *value = json_array_get(array, position);

    if (!json_is_integer(value) || json_integer_value(value) < 0 ||
        (uint64_t)json_integer_value(value) > max) {
        HrFields_SetError(fields, HR_ERR_RANGE,
                          "%s holds a number outside 0 to %llu; check the "
                          "daemon's version",
                          fields->what, (unsigned long long)max);
        return 0;
    }
    return (uint64_t)json_integer_value(value);
}

/* Reads the array of four counts in the named field. Sets an error and returns
 * 0 for a count that is missing or out of range; the slow answers and the
 * missing shards may not exceed their totals. */
static HrBurnCounts
read_counts(HrFields *fields, const char *name)
{
    const json_t *array = HrFields_ReadArray(fields, name, 4);
    HrBurnCounts counts = {0};

    if (array == NULL) {
        return counts;
    }
    counts.answers = read_array_integer(fields, array, 0, INT64_MAX);
    counts.slow_answers = read_array_integer(fields, array, 1, counts.answers);
    counts.shards = read_array_integer(fields, array, 2, INT64_MAX);
    counts.missing_shards =
        read_array_integer(fields, array, 3, counts.shards);
    return counts;
}

/* Reads the latency buckets of a point. */
static void
read_latencies(HrFields *fields, HrBurnPoint *point)
{
    const json_t *pairs =
        HrFields_ReadArray(fields, "latencies", HR_BURN_HIST_BUCKETS);
    size_t i;

    for (i = 0; i < json_array_size(pairs); i++) {
        const json_t *pair = json_array_get(pairs, i);
        uint64_t bucket =
            read_array_integer(fields, pair, 0, HR_BURN_HIST_BUCKETS - 1);

        point->latencies[bucket] =
            (uint32_t)read_array_integer(fields, pair, 1, UINT32_MAX);
    }
}

/* Reads one point and stores it in the entry by its minute. The quantiles and
 * the coverage are computed from the counts, so they are checked but not
 * stored. Returns 0 or a negative HR_ERR_*. */
static int
read_point(const json_t *value, HrBurnEntry *entry, HrError *err)
{
    int64_t first = entry->points[0].minute, minute;
    HrBurnPoint *point;
    HrFields fields;

    HrFields_Open(&fields, value, "burn point", err);
    minute = HrFields_ReadInteger(&fields, "minute", true, first,
                                  first + HR_BURN_POINT_COUNT - 1, first);
    point = &entry->points[minute - first];
    if (point->counts.answers > 0) {
        HrFields_SetError(&fields, HR_ERR_DUPLICATE,
                          "burn report has minute %lld twice; check the "
                          "daemon's version",
                          (long long)minute);
    }
    point->counts = read_counts(&fields, "counts");
    read_latencies(&fields, point);
    HrFields_ReadInteger(&fields, "p50_us", true, 0, INT64_MAX, 0);
    HrFields_ReadInteger(&fields, "p99_us", true, 0, INT64_MAX, 0);
    HrFields_ReadNumber(&fields, "coverage", 0, 1);
    return HrFields_Close(&fields);
}

/* Reads the objective of an entry. */
static void
read_objective(HrFields *fields, HrBurnObjective *objective)
{
    objective->revision = (uint64_t)HrFields_ReadInteger(
        fields, "revision", true, 0, INT64_MAX, 0);
    objective->latency_ms = (uint32_t)HrFields_ReadInteger(
        fields, "latency_ms", true, 0, MAX_LATENCY_MS, 0);
    objective->latency_target =
        HrFields_ReadNumber(fields, "latency_target", 0, 1);
    objective->coverage_target =
        HrFields_ReadNumber(fields, "coverage_target", 0, 1);
}

/* Adds an empty entry for the route and the pool in the fields. Sets an error
 * and returns NULL if the report has one already. */
static HrBurnEntry *
add_entry(HrFields *fields, HrBurnReport *report)
{
    const char *route =
        HrFields_ReadString(fields, "route", true, NAME_MAX_BYTES);
    const char *pool =
        HrFields_ReadString(fields, "pool", true, NAME_MAX_BYTES);
    uint32_t old_count = report->entry_count;
    HrBurnEntry *entry;

    if (fields->rc != HR_OK) {
        return NULL;
    }
    entry = HrBurnReport_FindOrAddEntry(report, route, pool);
    if (entry == NULL) {
        HrFields_SetError(fields, HR_ERR_NO_MEMORY,
                          "no memory for a burn report; ask fewer daemons");
        return NULL;
    }
    if (report->entry_count == old_count) {
        HrFields_SetError(fields, HR_ERR_DUPLICATE,
                          "burn report has route %s twice; check the daemon's "
                          "version",
                          route);
        return NULL;
    }
    return entry;
}

/* Reads one entry and adds it to the report. Returns 0 or a negative
 * HR_ERR_*. */
static int
read_entry(const json_t *value, HrBurnReport *report, HrError *err)
{
    const json_t *points;
    HrBurnEntry *entry;
    HrFields fields;
    size_t i;
    int rc;

    HrFields_Open(&fields, value, "burn entry", err);
    entry = add_entry(&fields, report);
    if (entry == NULL) {
        return fields.rc;
    }
    read_objective(&fields, &entry->objective);
    entry->short_window = read_counts(&fields, "short");
    entry->long_window = read_counts(&fields, "long");
    HrFields_ReadValue(&fields, "rates");
    points = HrFields_ReadArray(&fields, "points", HR_BURN_POINT_COUNT);
    rc = HrFields_Close(&fields);
    for (i = 0; rc == HR_OK && i < json_array_size(points); i++) {
        rc = read_point(json_array_get(points, i), entry, err);
    }
    return rc;
}

/* Reads the fields and entries of a report. Returns 0 or a negative HR_ERR_*.
 */
static int
read_report(const json_t *object, HrBurnReport *report, HrError *err)
{
    const json_t *entries;
    HrFields fields;
    size_t i;
    int rc;

    HrFields_Open(&fields, object, "burn report", err);
    report->wall_ns =
        HR_NS_PER_MS * HrFields_ReadInteger(&fields, "wall_ms", true, 0,
                                            INT64_MAX / HR_NS_PER_MS, 0);
    report->daemons = (uint32_t)HrFields_ReadInteger(&fields, "daemons", true,
                                                     0, UINT32_MAX, 0);
    entries = HrFields_ReadArray(&fields, "entries", HR_BURN_MAX_ENTRIES);
    rc = HrFields_Close(&fields);
    for (i = 0; rc == HR_OK && i < json_array_size(entries); i++) {
        rc = read_entry(json_array_get(entries, i), report, err);
    }
    return rc;
}

/* Decodes a report into *report, a talloc child of parent. Returns 0, or a
 * negative HR_ERR_* with NULL in *report. */
int
HrBurnReport_Decode(const void *parent, const char *text, size_t length_bytes,
                    HrBurnReport **report, HrError *err)
{
    json_t *object = NULL;
    int rc;

    *report = NULL;
    rc = HrJson_ParseObject(text, length_bytes, HR_BURN_REPORT_MAX_BYTES,
                            "burn report", &object, err);
    if (rc != HR_OK) {
        return rc;
    }
    *report = HrBurnReport_Create(parent, 0);
    if (*report == NULL) {
        json_decref(object);
        return HrError_Set(err, HR_ERR_NO_MEMORY,
                           "no memory for a burn report; ask fewer daemons");
    }
    rc = read_report(object, *report, err);
    json_decref(object);
    if (rc != HR_OK) {
        talloc_free(*report);
        *report = NULL;
    }
    return rc;
}
