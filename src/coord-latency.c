#include "coord-latency.h"

#include <math.h>
#include <string.h>

#include "base-clock.h"

#define REFRESH_SAMPLES 32
#define MEAN_WEIGHT (1.0 / 32)

/* Half-life of a recorded mean while there are no new samples: long compared
 * with one request, short compared with the time that a caller waits. */
#define MEAN_HALF_LIFE_NS (1 * HR_NS_PER_S)

void
HrLatency_Reset(HrLatency *latency)
{
    memset(latency, 0, sizeof(*latency));
}

/* Computes the cached quantiles. */
static void
refresh_quantiles(HrLatency *latency)
{
    latency->p50_ns = HrHist_GetQuantile(&latency->hist, 0.5);
    latency->p99_ns = HrHist_GetQuantile(&latency->hist, 0.99);
    latency->since_refresh = 0;
}

/* Records one latency. After every HR_LATENCY_WINDOW samples the weight of the
 * earlier ones is halved. */
void
HrLatency_Record(HrLatency *latency, int64_t value_ns, int64_t now_ns)
{
    HrHist_RecordValue(&latency->hist, value_ns);
    if (latency->hist.count == 1) {
        latency->mean_ns = (double)value_ns;
    }
    latency->mean_ns += MEAN_WEIGHT * ((double)value_ns - latency->mean_ns);
    latency->last_sample_ns = now_ns;
    if (++latency->since_decay >= HR_LATENCY_WINDOW) {
        HrHist_Decay(&latency->hist);
        latency->since_decay = 0;
    }
    if (++latency->since_refresh >= REFRESH_SAMPLES ||
        latency->hist.count < REFRESH_SAMPLES) {
        refresh_quantiles(latency);
    }
}

int64_t
HrLatency_Quantile(const HrLatency *latency, double q)
{
    return HrHist_GetQuantile(&latency->hist, q);
}

/* Returns the recorded mean, moved towards peer_mean_ns by the time since the
 * last sample. */
double
HrLatency_AgedMean(const HrLatency *latency, double peer_mean_ns,
                   int64_t now_ns)
{
    double weight;

    if (latency->hist.count == 0) {
        return peer_mean_ns;
    }
    weight = exp2(-(double)(now_ns - latency->last_sample_ns) /
                  (double)MEAN_HALF_LIFE_NS);
    return peer_mean_ns + (latency->mean_ns - peer_mean_ns) * weight;
}
