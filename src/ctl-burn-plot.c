#include "ctl-burn.h"

#include <math.h>

#include "base-clock.h"

/* Plot characters, one per minute, from a burn rate of zero upwards. Each
 * stands for twice the rate of the one before it; "." stands for every rate
 * above zero and below 2 * LOWEST_LEVEL_RATE. */
static const char level_chars[] = " .:-=+*#%@";
#define LOWEST_LEVEL_RATE 0.25

/* Returns the burn rate of a minute in which bad out of all events missed the
 * objective. A rate of 1 uses up the error budget exactly. */
static double
get_minute_rate(uint64_t bad, uint64_t all, double target)
{
    double bad_share = all == 0 ? 0 : (double)bad / (double)all;

    if (bad_share == 0) {
        return 0;
    }
    return target >= 1 ? HR_BURN_MAX_RATE : bad_share / (1 - target);
}

/* Returns the plot character for a burn rate. */
static char
pick_level_char(double rate)
{
    int last_level = (int)sizeof(level_chars) - 2, level;

    if (rate <= 0) {
        return level_chars[0];
    }
    level = 1 + (int)floor(log2(rate / LOWEST_LEVEL_RATE));
    if (level < 1) {
        level = 1;
    }
    return level_chars[level > last_level ? last_level : level];
}

/* Returns the plot character of one minute for the coverage or the latency
 * objective; '_' if nothing was measured in that minute. */
static char
pick_minute_char(const HrBurnEntry *entry, const HrBurnPoint *point,
                 bool is_coverage)
{
    const HrBurnCounts *counts = &point->counts;

    if (is_coverage) {
        return counts->shards == 0
                   ? '_'
                   : pick_level_char(get_minute_rate(
                         counts->missing_shards, counts->shards,
                         entry->objective.coverage_target));
    }
    return counts->answers == 0 ? '_'
                                : pick_level_char(get_minute_rate(
                                      counts->slow_answers, counts->answers,
                                      entry->objective.latency_target));
}

/* Prints the plot of one objective on one line, the oldest minute first. */
static void
print_plot(FILE *out, const HrBurnEntry *entry, bool is_coverage)
{
    int i;

    fprintf(out, "  %-9s|", is_coverage ? "coverage" : "latency");
    for (i = 0; i < HR_BURN_POINT_COUNT; i++) {
        fputc(pick_minute_char(entry, &entry->points[i], is_coverage), out);
    }
    fprintf(out, "|\n");
}

/* Prints the target and the burn rates of one objective on one line. */
static void
print_rates(FILE *out, const char *name, double target, double short_rate,
            double long_rate)
{
    bool is_fast =
        short_rate >= HR_BURN_FAST_RATE && long_rate >= HR_BURN_FAST_RATE;

    fprintf(out,
            "  %-9s target %.6g  burn rate %.2f (5 min) %.2f (60 min)%s\n",
            name, target, short_rate, long_rate, is_fast ? "  TOO FAST" : "");
}

/* Prints the number of answers and the latency quantiles of the last hour. */
static void
print_quantiles(FILE *out, const HrBurnEntry *entry)
{
    HrBurnPoint hour = entry->points[0];
    int i;

    for (i = 1; i < HR_BURN_POINT_COUNT; i++) {
        HrBurnPoint_Merge(&hour, &entry->points[i]);
    }
    fprintf(out, "  answers %llu  p50 %.1f ms  p99 %.1f ms  objective %u ms\n",
            (unsigned long long)entry->long_window.answers,
            (double)HrBurnPoint_GetQuantileNs(&hour, 0.5) / HR_NS_PER_MS,
            (double)HrBurnPoint_GetQuantileNs(&hour, 0.99) / HR_NS_PER_MS,
            entry->objective.latency_ms);
}

/* Prints the burn rates and plots of one route and pool. */
static void
print_entry(FILE *out, const HrBurnEntry *entry)
{
    HrBurnRates rates = HrBurnEntry_GetRates(entry);

    fprintf(out, "route %s, pool %s\n", entry->route, entry->pool);
    print_quantiles(out, entry);
    print_rates(out, "latency", entry->objective.latency_target,
                rates.latency_short, rates.latency_long);
    print_rates(out, "coverage", entry->objective.coverage_target,
                rates.coverage_short, rates.coverage_long);
    print_plot(out, entry, false);
    print_plot(out, entry, true);
}

/* Prints the burn rates and plots of a report for people. */
void
CtlBurn_PrintReport(FILE *out, const HrBurnReport *report)
{
    uint32_t i;

    fprintf(out, "%u daemons, %u routes\n", report->daemons,
            report->entry_count);
    for (i = 0; i < report->entry_count; i++) {
        print_entry(out, report->entries[i]);
    }
    if (report->entry_count > 0) {
        fprintf(out,
                "plots: one character per minute, now at the right; burn rate "
                "'.' up to 0.5,\n':' 1, '-' 2, '=' 4, '+' 8, '*' 16, '#' 32, "
                "'%%' 64, '@' above; '_' no answers\n");
    }
}

/* Returns true if the error budget of any objective in the report burns too
 * fast. */
bool
CtlBurn_HasFastRate(const HrBurnReport *report)
{
    uint32_t i;

    for (i = 0; i < report->entry_count; i++) {
        HrBurnRates rates = HrBurnEntry_GetRates(report->entries[i]);

        if (HrBurnRates_IsFast(&rates)) {
            return true;
        }
    }
    return false;
}
