#ifndef HR_COORD_LATENCY_H
#define HR_COORD_LATENCY_H

#include <stdint.h>

#include "base-hist.h"

/* Samples after which earlier ones have lost half of their weight. */
#define HR_LATENCY_WINDOW 1024

/* Statistics of recent latencies. The quantiles that are read often are
 * cached, because computing one reads all buckets of the histogram. */
typedef struct HrLatency {
    HrHist hist;
    uint32_t since_decay;   /* samples since hist was decayed */
    uint32_t since_refresh; /* samples since the quantiles were cached */
    int64_t p50_ns;
    int64_t p99_ns;
    double mean_ns; /* exponentially weighted over about 32 samples */
    int64_t last_sample_ns;
} HrLatency;

/* Removes all samples. */
void HrLatency_Reset(HrLatency *latency);

/* Records one latency that was observed at now_ns. */
void HrLatency_Record(HrLatency *latency, int64_t value_ns, int64_t now_ns);

/* Returns the quantile q (0 to 1) of the recent latencies in nanoseconds, or 0
 * if there are none. */
int64_t HrLatency_Quantile(const HrLatency *latency, double q);

/* Returns the mean latency that is assumed at now_ns, in nanoseconds. With the
 * time since the last sample it moves from the recorded mean towards
 * peer_mean_ns, the mean of the server's group, so that a server that was slow
 * is tried again. */
double HrLatency_AgedMean(const HrLatency *latency, double peer_mean_ns,
                          int64_t now_ns);

#endif
