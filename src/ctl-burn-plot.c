#include "ctl-burn.h"

#include <math.h>

#include "base-clock.h"

/* One character per minute; each step is twice the rate of the one before. */
static const char levels[] = " .:-=+*#%@";
#define LOWEST_RATE 0.25

/* Returns the burn rate of one minute: 1 uses up the error budget exactly. */
static double
minute_rate(uint64_t bad, uint64_t all, double target)
{
    double share = all == 0 ? 0 : (double)bad / (double)all;

    if (share == 0) {
        return 0;
    }
    return target >= 1 ? HR_BURN_MAX_RATE : share / (1 - target);
}

/* Returns the character for a burn rate. */
static char
pick_level(double rate)
{
    int last = (int)sizeof(levels) - 2, level;

    if (rate <= 0) {
        return levels[0];
    }
    level = 1 + (int)floor(log2(rate / LOWEST_RATE));
    if (level < 1) {
        level = 1;
    }
    return levels[level > last ? last : level];
}

/* Returns the character of one minute; '_' when nothing was measured. */
static char
plot_minute(const HrBurnEntry *entry, const HrBurnPoint *point, bool coverage)
{
    const HrBurnCounts *counts = &point->counts;

    if (coverage) {
        return counts->shards == 0
                   ? '_'
                   : pick_level(minute_rate(counts->missing_shards,
                                            counts->shards,
                                            entry->objective.coverage_target));
    }
    return counts->answers == 0
               ? '_'
               : pick_level(minute_rate(counts->slow_answers, counts->answers,
                                        entry->objective.latency_target));
}

/* Prints the plot of one objective, the oldest minute first. */
static void
print_plot(FILE *out, const HrBurnEntry *entry, bool coverage)
{
    int i;

    fprintf(out, "  %-9s|", coverage ? "coverage" : "latency");
    for (i = 0; i < HR_BURN_POINT_COUNT; i++) {
        fputc(plot_minute(entry, &entry->points[i], coverage), out);
    }
    fprintf(out, "|\n");
}

/* Prints the objective and rates of one line. */
static void
print_rates(FILE *out, const char *name, double target, double short_rate,
            double long_rate)
{
    bool fast =
        short_rate >= HR_BURN_FAST_RATE && long_rate >= HR_BURN_FAST_RATE;

    fprintf(out,
            "  %-9s target %.6g  burn rate %.2f (5 min) %.2f (60 min)%s\n",
            name, target, short_rate, long_rate, fast ? "  TOO FAST" : "");
}

/* Prints the latency quantiles of the last hour. */
static void
print_quantiles(FILE *out, const HrBurnEntry *entry)
{
    HrBurnPoint sum = entry->points[0];
    int i;

    for (i = 1; i < HR_BURN_POINT_COUNT; i++) {
        HrBurnPoint_Merge(&sum, &entry->points[i]);
    }
    fprintf(out, "  answers %llu  p50 %.1f ms  p99 %.1f ms  objective %u ms\n",
            (unsigned long long)entry->long_window.answers,
            (double)HrBurnPoint_GetQuantileNs(&sum, 0.5) / HR_NS_PER_MS,
            (double)HrBurnPoint_GetQuantileNs(&sum, 0.99) / HR_NS_PER_MS,
            entry->objective.latency_ms);
}

/* Prints one route and pool. */
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

/* Prints the burn rates and plots of a report. */
void
CtlBurn_Print(FILE *out, const HrBurnReport *report)
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

/* Returns true if an objective of the report burns too fast. */
bool
CtlBurn_IsFast(const HrBurnReport *report)
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
