#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "common-mutate.h"
#include "coord-burn.h"
#include "proto-burn.h"

#define SEED UINT64_C(20261204)
#define ROUNDS 60
#define DAEMONS 3
#define ROUTES 2
#define SAMPLES 2000
#define MUTATIONS 30000
#define SOAK_FACTOR 20
#define BUCKET_NS (10 * HR_NS_PER_S)
#define START_NS (INT64_C(1796000000) * HR_NS_PER_S)

/* One answer and the counts that it must add. */
typedef struct Sample {
    int64_t wall_ns;
    uint32_t route;
    HrBurnCounts counts;
    int64_t latency_ns;
} Sample;

static const HrRoute routes[ROUTES] = {
    {.name = "urgent",
     .pool = "fitter-app",
     .revision = 3,
     .objective_latency_ms = 50,
     .objective_latency_target = 0.99,
     .objective_coverage_target = 0.9},
    {.name = "sweep",
     .pool = "fitter-app",
     .revision = 4,
     .objective_latency_ms = 500,
     .objective_latency_target = 0.9,
     .objective_coverage_target = 0.999},
};

/* Returns the factor for the number of random trials: SOAK_FACTOR if HR_SOAK
 * is 1, otherwise 1. */
static uint32_t
get_soak_factor(void)
{
    const char *soak = getenv("HR_SOAK");

    return soak != NULL && strcmp(soak, "1") == 0 ? SOAK_FACTOR : 1;
}

/* Records one random answer in a daemon. Returns the answer with the counts
 * that it must add, computed independently of coord-burn.c. */
static Sample
record_random_answer(HrBurn *burn, HrRng *rng, int64_t wall_ns)
{
    static const HrReason reasons[] = {HR_REASON_DEADLINE,
                                       HR_REASON_NOT_NEEDED};
    HrMissingShard missing[8] = {{0}};
    uint32_t i;
    Sample sample = {.wall_ns = wall_ns,
                     .route = (uint32_t)HrRng_DrawBelow(rng, ROUTES),
                     .latency_ns =
                         HrRng_DrawExponentialNs(rng, 30 * HR_NS_PER_MS)};
    HrGatherAnswer answer = {
        .status =
            HrRng_DrawBool(rng, 0.9) ? HR_STATUS_PARTIAL : HR_STATUS_REFUSED,
        .part_count = (uint32_t)HrRng_DrawBelow(rng, 30),
        .missing_count = (uint32_t)HrRng_DrawBelow(rng, 8),
        .missing = missing,
        .started_ns = 5,
        .finished_ns = 5 + sample.latency_ns,
    };
    const HrRoute *route = &routes[sample.route];

    sample.counts.answers = 1;
    for (i = 0; i < answer.missing_count; i++) {
        missing[i].reason = reasons[HrRng_DrawBelow(rng, 2)];
        sample.counts.missing_shards +=
            missing[i].reason == HR_REASON_DEADLINE;
    }
    if (answer.part_count == 0 && answer.missing_count == 0) {
        sample.counts.missing_shards = 1;
    }
    sample.counts.shards = answer.part_count + sample.counts.missing_shards;
    sample.counts.slow_answers =
        answer.status == HR_STATUS_REFUSED ||
        sample.latency_ns > route->objective_latency_ms * HR_NS_PER_MS;
    assert_int_equal(HrBurn_RecordAnswer(burn, route, &answer, wall_ns),
                     HR_OK);
    return sample;
}

/* Returns the sum of the samples of a route whose bucket number (wall time
 * divided by span_ns) is above from and at most to. */
static HrBurnCounts
sum_samples(const Sample *samples, uint32_t count, uint32_t route,
            int64_t from, int64_t to, int64_t span_ns)
{
    HrBurnCounts sum = {0};
    uint32_t i;

    for (i = 0; i < count; i++) {
        int64_t number = samples[i].wall_ns / span_ns;

        if (samples[i].route == route && number > from && number <= to) {
            HrBurnCounts_Add(&sum, &samples[i].counts);
        }
    }
    return sum;
}

/* Asserts that all counts are equal. */
static void
assert_counts_equal(HrBurnCounts found, HrBurnCounts expected)
{
    assert_int_equal(found.answers, expected.answers);
    assert_int_equal(found.slow_answers, expected.slow_answers);
    assert_int_equal(found.shards, expected.shards);
    assert_int_equal(found.missing_shards, expected.missing_shards);
}

/* Compares two durations for qsort(). */
static int
compare_durations(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

/* Asserts that the quantiles of one minute match the sorted latencies of its
 * samples, up to the width of a bucket. */
static void
assert_quantiles_match(const HrBurnPoint *point, const Sample *samples,
                       uint32_t count, uint32_t route)
{
    static int64_t values[SAMPLES];
    const double quantiles[] = {0, 0.5, 0.9, 0.99, 1};
    uint32_t i, value_count = 0;

    for (i = 0; i < count; i++) {
        if (samples[i].route == route &&
            samples[i].wall_ns / HR_BURN_POINT_NS == point->minute) {
            values[value_count++] = samples[i].latency_ns;
        }
    }
    qsort(values, value_count, sizeof(values[0]), compare_durations);
    for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        int64_t found = HrBurnPoint_GetQuantileNs(point, quantiles[i]),
                expected;
        uint32_t rank = (uint32_t)(quantiles[i] * value_count);

        if (value_count == 0) {
            assert_int_equal(found, 0);
            continue;
        }
        expected = values[rank < value_count ? rank : value_count - 1];
        assert_true(found >= expected);
        assert_true(found <= expected + expected / 8 + (1 << 17));
    }
}

/* Asserts that a report matches the samples that were recorded: the windows of
 * 30 and 360 buckets and each minute. */
static void
assert_report_matches(const HrBurnReport *report, const Sample *samples,
                      uint32_t count)
{
    uint32_t r, i;

    for (r = 0; r < report->entry_count; r++) {
        const HrBurnEntry *entry = report->entries[r];
        uint32_t route = strcmp(entry->route, routes[0].name) == 0 ? 0 : 1;
        int64_t last = report->wall_ns / BUCKET_NS;

        assert_counts_equal(
            entry->short_window,
            sum_samples(samples, count, route, last - 30, last, BUCKET_NS));
        assert_counts_equal(
            entry->long_window,
            sum_samples(samples, count, route, last - 360, last, BUCKET_NS));
        for (i = 0; i < HR_BURN_POINT_COUNT; i++) {
            const HrBurnPoint *point = &entry->points[i];

            assert_counts_equal(point->counts,
                                sum_samples(samples, count, route,
                                            point->minute - 1, point->minute,
                                            HR_BURN_POINT_NS));
            assert_quantiles_match(point, samples, count, route);
        }
    }
}

/* Records samples in several daemons, over two and a half hours on average.
 * Returns their number. */
static uint32_t
record_samples(HrBurn **burns, HrRng *rng, Sample *samples, int64_t *wall_ns)
{
    uint32_t i, count = 200 + (uint32_t)HrRng_DrawBelow(rng, SAMPLES - 200);

    for (i = 0; i < count; i++) {
        *wall_ns += HrRng_DrawExponentialNs(rng, 9000 * HR_NS_PER_S / count);
        samples[i] = record_random_answer(burns[HrRng_DrawBelow(rng, DAEMONS)],
                                          rng, *wall_ns);
    }
    return count;
}

/* Guards against windows and minutes that omit, repeat or mix up answers when
 * ring buffers wrap around, reports of daemons are merged, or a report is
 * encoded and decoded. */
static void
test_report_matches_samples(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    HrBurnConfig config = HrBurnConfig_GetDefaults();
    static Sample samples[SAMPLES];
    uint32_t round, i, count, rounds = ROUNDS * get_soak_factor();

    (void)state;
    print_message("seed %llu, rounds %u\n", (unsigned long long)SEED, rounds);
    for (round = 0; round < rounds; round++) {
        void *parent = talloc_new(NULL);
        int64_t wall_ns =
            START_NS + (int64_t)HrRng_DrawBelow(&rng, HR_NS_PER_S);
        HrBurn *burns[DAEMONS];
        HrBurnReport *sum;

        for (i = 0; i < DAEMONS; i++) {
            burns[i] = HrBurn_Create(parent, &config);
        }
        count = record_samples(burns, &rng, samples, &wall_ns);
        wall_ns += HrRng_DrawExponentialNs(&rng, 100 * HR_NS_PER_S);
        sum = HrBurnReport_Create(parent, wall_ns);
        for (i = 0; i < DAEMONS; i++) {
            HrBurnReport *report =
                HrBurn_CreateReport(burns[i], parent, wall_ns);
            char *text = HrBurnReport_Encode(parent, report);
            HrBurnReport *decoded;

            assert_int_equal(HrBurnReport_Decode(parent, text, strlen(text),
                                                 &decoded, NULL),
                             HR_OK);
            assert_string_equal(HrBurnReport_Encode(parent, decoded), text);
            assert_int_equal(HrBurnReport_Merge(sum, decoded), HR_OK);
        }
        assert_int_equal(sum->daemons, DAEMONS);
        assert_int_equal(sum->entry_count, ROUTES);
        assert_report_matches(sum, samples, count);
        talloc_free(parent);
    }
}

/* Guards against wrong burn rates, and against a fast-burn alarm when the rate
 * is too low in the long window or when an episode has ended. */
static void
test_burn_rates(void **state)
{
    HrBurnEntry *entry = talloc_zero(NULL, HrBurnEntry);
    HrBurnRates rates;

    (void)state;
    entry->objective.latency_target = 0.99;
    entry->objective.coverage_target = 1;
    rates = HrBurnEntry_GetRates(entry);
    assert_true(rates.latency_short == 0 && rates.coverage_long == 0);
    entry->short_window = (HrBurnCounts){100, 20, 1000, 0};
    entry->long_window = (HrBurnCounts){1000, 100, 10000, 0};
    rates = HrBurnEntry_GetRates(entry);
    assert_true(fabs(rates.latency_short - 20) < 1e-9);
    assert_true(fabs(rates.latency_long - 10) < 1e-9);
    assert_false(HrBurnRates_IsFast(&rates));
    entry->long_window.slow_answers = 150;
    rates = HrBurnEntry_GetRates(entry);
    assert_true(HrBurnRates_IsFast(&rates));
    entry->short_window.slow_answers = 0;
    rates = HrBurnEntry_GetRates(entry);
    assert_false(HrBurnRates_IsFast(&rates));
    entry->short_window.missing_shards = 1;
    rates = HrBurnEntry_GetRates(entry);
    assert_true(rates.coverage_short == HR_BURN_MAX_RATE);
    assert_true(HrBurnCounts_GetCoverage(&entry->short_window) < 1);
    talloc_free(entry);
}

/* Guards against wrong counts when the wall clock jumps: counts of a future
 * time must not remain in the windows, and answers must be counted after the
 * clock was set back. */
static void
test_counts_after_a_clock_jump(void **state)
{
    HrBurnConfig config = HrBurnConfig_GetDefaults();
    HrBurn *burn = HrBurn_Create(NULL, &config);
    HrGatherAnswer answer = {.status = HR_STATUS_COMPLETE, .part_count = 1};
    HrBurnReport *report;

    (void)state;
    HrBurn_RecordAnswer(burn, &routes[0], &answer,
                        START_NS + 5 * HR_BURN_LONG_WINDOW_NS);
    HrBurn_RecordAnswer(burn, &routes[0], &answer, START_NS);
    HrBurn_RecordAnswer(burn, &routes[0], &answer, -1);
    report = HrBurn_CreateReport(burn, burn, START_NS);
    assert_int_equal(report->entries[0]->short_window.answers, 1);
    assert_int_equal(report->entries[0]->long_window.answers, 1);
    talloc_free(burn);
}

/* Guards against counting cancelled queries, an unlimited number of routes,
 * and entries that remain after their route was deleted. */
static void
test_entries_are_bounded_and_pruned(void **state)
{
    HrBurnConfig config = {.max_entries = 1};
    HrBurn *burn = HrBurn_Create(NULL, &config);
    HrMissingShard missing_shard = {.reason = HR_REASON_CANCELLED};
    HrGatherAnswer answer = {.status = HR_STATUS_PARTIAL,
                             .missing = &missing_shard,
                             .missing_count = 1};
    HrTables tables = {.revision = 1};

    (void)state;
    assert_int_equal(HrBurn_RecordAnswer(burn, &routes[0], &answer, START_NS),
                     HR_OK);
    assert_int_equal(HrBurn_CreateReport(burn, burn, START_NS)->entry_count,
                     0);
    missing_shard.reason = HR_REASON_DEADLINE;
    assert_int_equal(HrBurn_RecordAnswer(burn, &routes[0], &answer, START_NS),
                     HR_OK);
    assert_int_equal(HrBurn_RecordAnswer(burn, &routes[1], &answer, START_NS),
                     HR_ERR_FULL);
    HrBurn_PruneRoutes(burn, &tables);
    assert_int_equal(HrBurn_CreateReport(burn, burn, START_NS)->entry_count,
                     0);
    assert_int_equal(HrBurn_RecordAnswer(burn, &routes[1], &answer, START_NS),
                     HR_OK);
    talloc_free(burn);
}

/* Guards against damaged reports that crash the decoder, are rejected without
 * an error kind, or are accepted with more missing shards than shards or more
 * slow answers than answers. */
static void
test_damaged_reports_are_checked(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 2);
    HrBurnConfig config = HrBurnConfig_GetDefaults();
    HrBurn *burn = HrBurn_Create(NULL, &config);
    uint32_t i, j, accepted = 0, count = MUTATIONS * get_soak_factor();
    char *valid_text;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED + 2);
    for (i = 0; i < 12; i++) {
        record_random_answer(burn, &rng,
                             START_NS + (int64_t)i * 9 * HR_NS_PER_S);
    }
    valid_text = HrBurnReport_Encode(
        burn, HrBurn_CreateReport(burn, burn, START_NS + 108 * HR_NS_PER_S));
    for (i = 0; i < count; i++) {
        size_t length;
        char *text = TestText_Mutate(NULL, valid_text, &rng, &length);
        HrBurnReport *report;
        HrError err = {0};
        int rc = HrBurnReport_Decode(text, text, length, &report, &err);

        for (j = 0; rc == HR_OK && j < report->entry_count; j++) {
            const HrBurnCounts *counts = &report->entries[j]->long_window;

            assert_true(counts->missing_shards <= counts->shards);
            assert_true(counts->slow_answers <= counts->answers);
        }
        accepted += rc == HR_OK;
        assert_int_equal(rc == HR_OK, report != NULL);
        assert_int_equal(err.kind, rc);
        assert_true(rc == HR_OK || strlen(err.message) > 0);
        talloc_free(text);
    }
    assert_in_range(accepted, count / 100, count / 2);
    talloc_free(burn);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_report_matches_samples),
        cmocka_unit_test(test_burn_rates),
        cmocka_unit_test(test_counts_after_a_clock_jump),
        cmocka_unit_test(test_entries_are_bounded_and_pruned),
        cmocka_unit_test(test_damaged_reports_are_checked),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
