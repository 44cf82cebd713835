#ifndef HR_BASE_HIST_H
#define HR_BASE_HIST_H

#include <stdint.h>

/* Each power of two is divided into 16 buckets, so a quantile is off by at
 * most 1/16 of its value. Values above 2^41 ns (36 minutes) are clamped. */
#define HR_HIST_SUB_BITS 4
#define HR_HIST_MAX_BITS 41
#define HR_HIST_BUCKETS                                                       \
    ((HR_HIST_MAX_BITS - HR_HIST_SUB_BITS + 1) << HR_HIST_SUB_BITS)

/* A log-linear histogram of non-negative durations in nanoseconds. */
typedef struct HrHist {
    uint64_t count;
    int64_t sum_ns;
    int64_t max_ns;
    uint32_t buckets[HR_HIST_BUCKETS];
} HrHist;

/* Empties the histogram. */
void HrHist_Reset(HrHist *hist);

/* Counts one value; negative values count as 0. */
void HrHist_Record(HrHist *hist, int64_t value_ns);

/* Returns the upper edge of the bucket that holds quantile q in [0, 1];
 * 0 when the histogram is empty. */
int64_t HrHist_Quantile(const HrHist *hist, double q);

/* Adds the counts of other to hist. */
void HrHist_Merge(HrHist *hist, const HrHist *other);

/* Halves every count, so that old values lose weight. */
void HrHist_Decay(HrHist *hist);

#endif
