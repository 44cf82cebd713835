#ifndef HR_BASE_HIST_H
#define HR_BASE_HIST_H

#include <stdint.h>

/* Each power of two is divided into 16 buckets, so the error of a quantile is
 * at most 1/16 of its value. Values from 2^41 ns (36 minutes) are counted in
 * the last bucket. */
#define HR_HIST_SUB_BITS 4
#define HR_HIST_MAX_BITS 41
#define HR_HIST_BUCKET_COUNT                                                  \
    ((HR_HIST_MAX_BITS - HR_HIST_SUB_BITS + 1) << HR_HIST_SUB_BITS)

/* A histogram of non-negative durations with log-linear buckets. */
typedef struct HrHist {
    uint64_t count;
    int64_t sum_ns;
    int64_t max_ns;
    uint32_t buckets[HR_HIST_BUCKET_COUNT];
} HrHist;

/* Resets the histogram to empty. */
void HrHist_Reset(HrHist *hist);

/* Counts one value; negative values count as 0. */
void HrHist_RecordValue(HrHist *hist, int64_t value_ns);

/* Returns the largest value of the bucket that contains quantile q in [0, 1];
 * 0 if the histogram is empty. */
int64_t HrHist_GetQuantile(const HrHist *hist, double q);

/* Adds the counts of other to hist. */
void HrHist_Merge(HrHist *hist, const HrHist *other);

/* Halves every count, rounding down, which reduces the weight of old values.
 * max_ns does not change. */
void HrHist_Decay(HrHist *hist);

#endif
