#include "base-hist.h"

#include <string.h>

#define SUB_BUCKET_COUNT (1 << HR_HIST_SUB_BITS)

/* Returns the index of the bucket that counts a value. */
static uint32_t
find_bucket(int64_t value_ns)
{
    uint64_t value = value_ns < 0 ? 0 : (uint64_t)value_ns;
    uint32_t top_bit, shift;

    if (value >= (UINT64_C(1) << HR_HIST_MAX_BITS)) {
        return HR_HIST_BUCKET_COUNT - 1;
    }
    if (value < SUB_BUCKET_COUNT) {
        return (uint32_t)value;
    }
    top_bit = 63 - (uint32_t)__builtin_clzll(value);
    shift = top_bit - HR_HIST_SUB_BITS;
    return ((shift + 1) << HR_HIST_SUB_BITS) +
           (uint32_t)((value >> shift) - SUB_BUCKET_COUNT);
}

/* Returns the largest value that a bucket counts. */
static int64_t
get_bucket_max_ns(uint32_t bucket)
{
    uint32_t shift, sub_bucket;

    if (bucket < SUB_BUCKET_COUNT) {
        return bucket;
    }
    shift = (bucket >> HR_HIST_SUB_BITS) - 1;
    sub_bucket = bucket & (SUB_BUCKET_COUNT - 1);
    return ((int64_t)(SUB_BUCKET_COUNT + sub_bucket + 1) << shift) - 1;
}

/* Resets the histogram to empty. */
void
HrHist_Reset(HrHist *hist)
{
    memset(hist, 0, sizeof(*hist));
}

/* Counts one value; negative values count as 0. */
void
HrHist_RecordValue(HrHist *hist, int64_t value_ns)
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

/* Returns the largest value of the bucket that contains quantile q in [0, 1];
 * 0 if the histogram is empty. */
int64_t
HrHist_GetQuantile(const HrHist *hist, double q)
{
    uint64_t rank, cumulative_count = 0;
    uint32_t i;

    if (hist->count == 0) {
        return 0;
    }
    rank = (uint64_t)(q * (double)hist->count);
    if (rank >= hist->count) {
        rank = hist->count - 1;
    }
    for (i = 0; i < HR_HIST_BUCKET_COUNT; i++) {
        cumulative_count += hist->buckets[i];
        if (cumulative_count > rank) {
            return get_bucket_max_ns(i);
        }
    }
    return hist->max_ns;
}

/* Adds the counts of other to hist. */
void
HrHist_Merge(HrHist *hist, const HrHist *other)
{
    uint32_t i;

    for (i = 0; i < HR_HIST_BUCKET_COUNT; i++) {
        hist->buckets[i] += other->buckets[i];
    }
    hist->count += other->count;
    hist->sum_ns += other->sum_ns;
    if (other->max_ns > hist->max_ns) {
        hist->max_ns = other->max_ns;
    }
}

/* Halves every count, which reduces the weight of old values. */
void
HrHist_Decay(HrHist *hist)
{
    uint32_t i;

    hist->count = 0;
    for (i = 0; i < HR_HIST_BUCKET_COUNT; i++) {
        hist->buckets[i] /= 2;
        hist->count += hist->buckets[i];
    }
    hist->sum_ns /= 2;
}
