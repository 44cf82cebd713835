#include "base-hist.h"

#include <string.h>

#define SUB_COUNT (1 << HR_HIST_SUB_BITS)

/* Returns the bucket of a value. */
static uint32_t
find_bucket(int64_t value_ns)
{
    uint64_t value = value_ns < 0 ? 0 : (uint64_t)value_ns;
    uint32_t top, shift;

    if (value >= (UINT64_C(1) << HR_HIST_MAX_BITS)) {
        return HR_HIST_BUCKETS - 1;
    }
    if (value < SUB_COUNT) {
        return (uint32_t)value;
    }
    top = 63 - (uint32_t)__builtin_clzll(value);
    shift = top - HR_HIST_SUB_BITS;
    return ((shift + 1) << HR_HIST_SUB_BITS) +
           (uint32_t)((value >> shift) - SUB_COUNT);
}

/* Returns the largest value that falls into a bucket. */
static int64_t
bucket_upper(uint32_t bucket)
{
    uint32_t shift, sub;

    if (bucket < SUB_COUNT) {
        return bucket;
    }
    shift = (bucket >> HR_HIST_SUB_BITS) - 1;
    sub = bucket & (SUB_COUNT - 1);
    return ((int64_t)(SUB_COUNT + sub + 1) << shift) - 1;
}

/* Empties the histogram. */
void
HrHist_Reset(HrHist *hist)
{
    memset(hist, 0, sizeof(*hist));
}

/* Counts one value; negative values count as 0. */
void
HrHist_Record(HrHist *hist, int64_t value_ns)
{
    if (value_ns < 0) {
        value_ns = 0;
    }
    hist->buckets[find_bucket(value_ns)]++;
    hist->count++;
    hist->sum_ns += value_ns;
    if (value_ns > hist->max_ns) {
        hist->max_ns = value_ns;
    }
}

/* Returns the upper edge of the bucket that holds quantile q in [0, 1];
 * 0 when the histogram is empty. */
int64_t
HrHist_Quantile(const HrHist *hist, double q)
{
    uint64_t rank, seen = 0;
    uint32_t i;

    if (hist->count == 0) {
        return 0;
    }
    rank = (uint64_t)(q * (double)hist->count);
    if (rank >= hist->count) {
        rank = hist->count - 1;
    }
    for (i = 0; i < HR_HIST_BUCKETS; i++) {
        seen += hist->buckets[i];
        if (seen > rank) {
            return bucket_upper(i);
        }
    }
    return hist->max_ns;
}

/* Adds the counts of other to hist. */
void
HrHist_Merge(HrHist *hist, const HrHist *other)
{
    uint32_t i;

    for (i = 0; i < HR_HIST_BUCKETS; i++) {
        hist->buckets[i] += other->buckets[i];
    }
    hist->count += other->count;
    hist->sum_ns += other->sum_ns;
    if (other->max_ns > hist->max_ns) {
        hist->max_ns = other->max_ns;
    }
}

/* Halves every count, so that old values lose weight. */
void
HrHist_Decay(HrHist *hist)
{
    uint32_t i;

    hist->count = 0;
    for (i = 0; i < HR_HIST_BUCKETS; i++) {
        hist->buckets[i] /= 2;
        hist->count += hist->buckets[i];
    }
    hist->sum_ns /= 2;
}
