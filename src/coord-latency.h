#ifndef HR_COORD_LATENCY_H
#define HR_COORD_LATENCY_H

#include <stdint.h>

#include "base-hist.h"

/* Samples after which older ones have lost half of their weight. */
#define HR_LATENCY_WINDOW 1024

/* A digest of recent latencies. Quantiles that are asked for often are kept,
 * because a quantile of the histogram reads all its buckets. */
typedef struct HrLatency {
    HrHist hist;
    uint32_t since_decay;
    uint32_t since_refresh;
    int64_t p50_ns;
    int64_t p99_ns;
    double mean_ns; /* exponentially weighted over about 32 samples */
    int64_t last_sample_ns;
} HrLatency;

/* Empties the digest. */
void HrLatency_Reset(HrLatency *latency);

/* Counts one latency that was observed at now_ns. */
void HrLatency_Record(HrLatency *latency, int64_t value_ns, int64_t now_ns);

/* Returns a quantile of the recent latencies; 0 when there is none. */
int64_t HrLatency_Quantile(const HrLatency *latency, double q);

/* Returns the mean that is assumed now: with time since the last sample it
 * moves from the digest's own mean towards peer_mean_ns, so that a server
 * that was slow once is tried again. */
double HrLatency_AgedMean(const HrLatency *latency, double peer_mean_ns,
                          int64_t now_ns);

#endif
