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

/* One answer as the reference keeps it. */
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

/* Returns the factor on the number of random trials. */
static uint32_t
soak_factor(void)
{
    const char *soak = getenv("HR_SOAK");

    return soak != NULL && strcmp(soak, "1") == 0 ? SOAK_FACTOR : 1;
}

/* Records one random answer in a daemon and returns what it must count. */
static Sample
record_random(HrBurn *burn, HrRng *rng, int64_t wall_ns)
{
    static const HrReason reasons[] = {HR_REASON_DEADLINE,
                                       HR_REASON_NOT_NEEDED};
    HrMissingShard missing[8] = {{0}};
    uint32_t i;
    Sample sample = {.wall_ns = wall_ns,
                     .route = (uint32_t)HrRng_Below(rng, ROUTES),
                     .latency_ns =
                         HrRng_ExponentialNs(rng, 30 * HR_NS_PER_MS)};
    HrGatherAnswer answer = {
        .status =
            HrRng_Chance(rng, 0.9) ? HR_STATUS_PARTIAL : HR_STATUS_REFUSED,
        .part_count = (uint32_t)HrRng_Below(rng, 30),
        .missing_count = (uint32_t)HrRng_Below(rng, 8),
        .missing = missing,
        .started_ns = 5,
        .finished_ns = 5 + sample.latency_ns,
    };
    const HrRoute *route = &routes[sample.route];

    sample.counts.answers = 1;
    for (i = 0; i < answer.missing_count; i++) {
        missing[i].reason = reasons[HrRng_Below(rng, 2)];
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
    assert_int_equal(HrBurn_Record(burn, route, &answer, wall_ns), HR_OK);
    return sample;
}

/* Adds up the samples of a route in the buckets (from, to]. */
static HrBurnCounts
naive_sum(const Sample *samples, uint32_t count, uint32_t route, int64_t from,
          int64_t to, int64_t span_ns)
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

/* Checks counts. */
static void
check_counts(HrBurnCounts found, HrBurnCounts expected)
{
    assert_int_equal(found.answers, expected.answers);
    assert_int_equal(found.slow_answers, expected.slow_answers);
    assert_int_equal(found.shards, expected.shards);
    assert_int_equal(found.missing_shards, expected.missing_shards);
}

/* Orders two durations for qsort. */
static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

/* Checks the quantiles of one minute against the sorted latencies. */
static void
check_quantiles(const HrBurnPoint *point, const Sample *samples,
                uint32_t count, uint32_t route)
{
    static int64_t values[SAMPLES];
    const double quantiles[] = {0, 0.5, 0.9, 0.99, 1};
    uint32_t i, kept = 0;

    for (i = 0; i < count; i++) {
        if (samples[i].route == route &&
            samples[i].wall_ns / HR_BURN_POINT_NS == point->minute) {
            values[kept++] = samples[i].latency_ns;
        }
    }
    qsort(values, kept, sizeof(values[0]), compare_ns);
    for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        int64_t found = HrBurnPoint_Quantile(point, quantiles[i]), exact;
        uint32_t rank = (uint32_t)(quantiles[i] * kept);

        if (kept == 0) {
            assert_int_equal(found, 0);
            continue;
        }
        exact = values[rank < kept ? rank : kept - 1];
        assert_true(found >= exact);
        assert_true(found <= exact + exact / 8 + (1 << 17));
    }
}

/* Checks a report against the samples that led to it. */
static void
check_report(const HrBurnReport *report, const Sample *samples, uint32_t count)
{
    uint32_t r, i;

    for (r = 0; r < report->entry_count; r++) {
        const HrBurnEntry *entry = report->entries[r];
        uint32_t route = strcmp(entry->route, routes[0].name) == 0 ? 0 : 1;
        int64_t last = report->wall_ns / BUCKET_NS;

        check_counts(
            entry->short_window,
            naive_sum(samples, count, route, last - 30, last, BUCKET_NS));
        check_counts(
            entry->long_window,
            naive_sum(samples, count, route, last - 360, last, BUCKET_NS));
        for (i = 0; i < HR_BURN_POINTS; i++) {
            const HrBurnPoint *point = &entry->points[i];

            check_counts(point->counts,
                         naive_sum(samples, count, route, point->minute - 1,
                                   point->minute, HR_BURN_POINT_NS));
            check_quantiles(point, samples, count, route);
        }
    }
}

/* Records samples over two hours and a half in several daemons. */
static uint32_t
record_samples(HrBurn **burns, HrRng *rng, Sample *samples, int64_t *wall_ns)
{
    uint32_t i, count = 200 + (uint32_t)HrRng_Below(rng, SAMPLES - 200);

    for (i = 0; i < count; i++) {
        *wall_ns += HrRng_ExponentialNs(rng, 9000 * HR_NS_PER_S / count);
        samples[i] =
            record_random(burns[HrRng_Below(rng, DAEMONS)], rng, *wall_ns);
    }
    return count;
}

/* Guards against windows and minutes that lose, repeat or mix up answers over
 * ring reuse, merging over daemons and the JSON codec. */
static void
test_report_matches_naive(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    HrBurnConfig config = HrBurnConfig_GetDefaults();
    static Sample samples[SAMPLES];
    uint32_t round, i, count, rounds = ROUNDS * soak_factor();

    (void)state;
    print_message("seed %llu, rounds %u\n", (unsigned long long)SEED, rounds);
    for (round = 0; round < rounds; round++) {
        void *parent = talloc_new(NULL);
        int64_t wall_ns = START_NS + (int64_t)HrRng_Below(&rng, HR_NS_PER_S);
        HrBurn *burns[DAEMONS];
        HrBurnReport *sum;

        for (i = 0; i < DAEMONS; i++) {
            burns[i] = HrBurn_Create(parent, &config);
        }
        count = record_samples(burns, &rng, samples, &wall_ns);
        wall_ns += HrRng_ExponentialNs(&rng, 100 * HR_NS_PER_S);
        sum = HrBurnReport_Create(parent, wall_ns);
        for (i = 0; i < DAEMONS; i++) {
            HrBurnReport *report = HrBurn_Report(burns[i], parent, wall_ns);
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
        check_report(sum, samples, count);
        talloc_free(parent);
    }
}

/* Guards against wrong burn rates, and an alarm for a short episode that has
 * ended or for a slow loss. */
static void
test_burn_rates(void **state)
{
    HrBurnEntry *entry = talloc_zero(NULL, HrBurnEntry);
    HrBurnRates rates;

    (void)state;
    entry->objective.latency_target = 0.99;
    entry->objective.coverage_target = 1;
    rates = HrBurnEntry_Rates(entry);
    assert_true(rates.latency_short == 0 && rates.coverage_long == 0);
    entry->short_window = (HrBurnCounts){100, 20, 1000, 0};
    entry->long_window = (HrBurnCounts){1000, 100, 10000, 0};
    rates = HrBurnEntry_Rates(entry);
    assert_true(fabs(rates.latency_short - 20) < 1e-9);
    assert_true(fabs(rates.latency_long - 10) < 1e-9);
    assert_false(HrBurnRates_IsFast(&rates));
    entry->long_window.slow_answers = 150;
    rates = HrBurnEntry_Rates(entry);
    assert_true(HrBurnRates_IsFast(&rates));
    entry->short_window.slow_answers = 0;
    rates = HrBurnEntry_Rates(entry);
    assert_false(HrBurnRates_IsFast(&rates));
    entry->short_window.missing_shards = 1;
    rates = HrBurnEntry_Rates(entry);
    assert_true(rates.coverage_short == HR_BURN_MAX_RATE);
    assert_true(HrBurnCounts_Coverage(&entry->short_window) < 1);
    talloc_free(entry);
}

/* Guards against a wall clock that jumps: counts of the future must not stay
 * for ever, and a clock set back must not stop the record. */
static void
test_clock_jump(void **state)
{
    HrBurnConfig config = HrBurnConfig_GetDefaults();
    HrBurn *burn = HrBurn_Create(NULL, &config);
    HrGatherAnswer answer = {.status = HR_STATUS_COMPLETE, .part_count = 1};
    HrBurnReport *report;

    (void)state;
    HrBurn_Record(burn, &routes[0], &answer, START_NS + 5 * HR_BURN_LONG_NS);
    HrBurn_Record(burn, &routes[0], &answer, START_NS);
    HrBurn_Record(burn, &routes[0], &answer, -1);
    report = HrBurn_Report(burn, burn, START_NS);
    assert_int_equal(report->entries[0]->short_window.answers, 1);
    assert_int_equal(report->entries[0]->long_window.answers, 1);
    talloc_free(burn);
}

/* Guards against cancelled queries that count, routes without bound, and
 * records of deleted routes that stay. */
static void
test_entries_are_bounded_and_pruned(void **state)
{
    HrBurnConfig config = {.max_entries = 1};
    HrBurn *burn = HrBurn_Create(NULL, &config);
    HrMissingShard gap = {.reason = HR_REASON_CANCELLED};
    HrGatherAnswer answer = {
        .status = HR_STATUS_PARTIAL, .missing = &gap, .missing_count = 1};
    HrTables tables = {.revision = 1};

    (void)state;
    assert_int_equal(HrBurn_Record(burn, &routes[0], &answer, START_NS),
                     HR_OK);
    assert_int_equal(HrBurn_Report(burn, burn, START_NS)->entry_count, 0);
    gap.reason = HR_REASON_DEADLINE;
    assert_int_equal(HrBurn_Record(burn, &routes[0], &answer, START_NS),
                     HR_OK);
    assert_int_equal(HrBurn_Record(burn, &routes[1], &answer, START_NS),
                     HR_ERR_FULL);
    HrBurn_Prune(burn, &tables);
    assert_int_equal(HrBurn_Report(burn, burn, START_NS)->entry_count, 0);
    assert_int_equal(HrBurn_Record(burn, &routes[1], &answer, START_NS),
                     HR_OK);
    talloc_free(burn);
}

/* Guards against damaged reports that crash the decoder, are refused without
 * a kind, or are taken with more missing shards than shards. */
static void
test_report_damaged(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 2);
    HrBurnConfig config = HrBurnConfig_GetDefaults();
    HrBurn *burn = HrBurn_Create(NULL, &config);
    uint32_t i, j, taken = 0, count = MUTATIONS * soak_factor();
    char *good;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED + 2);
    for (i = 0; i < 12; i++) {
        record_random(burn, &rng, START_NS + (int64_t)i * 9 * HR_NS_PER_S);
    }
    good = HrBurnReport_Encode(
        burn, HrBurn_Report(burn, burn, START_NS + 108 * HR_NS_PER_S));
    for (i = 0; i < count; i++) {
        size_t length;
        char *text = Mutate_Text(NULL, good, &rng, &length);
        HrBurnReport *report;
        HrError err = {0};
        int rc = HrBurnReport_Decode(text, text, length, &report, &err);

        for (j = 0; rc == HR_OK && j < report->entry_count; j++) {
            const HrBurnCounts *counts = &report->entries[j]->long_window;

            assert_true(counts->missing_shards <= counts->shards);
            assert_true(counts->slow_answers <= counts->answers);
        }
        taken += rc == HR_OK;
        assert_int_equal(rc == HR_OK, report != NULL);
        assert_int_equal(err.kind, rc);
        assert_true(rc == HR_OK || strlen(err.message) > 0);
        talloc_free(text);
    }
    assert_in_range(taken, count / 100, count / 2);
    talloc_free(burn);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_report_matches_naive),
        cmocka_unit_test(test_burn_rates),
        cmocka_unit_test(test_clock_jump),
        cmocka_unit_test(test_entries_are_bounded_and_pruned),
        cmocka_unit_test(test_report_damaged),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
