#include "coord-select.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "base-error.h"

/* Requests take milliseconds, so a load report that is half a second old says
 * little about the load now. */
#define REPORT_HALF_LIFE_NS (250 * HR_NS_PER_MS)

/* Mean latency that is assumed before one is known. */
#define DEFAULT_MEAN_NS (1.0 * HR_NS_PER_MS)

void
HrFreeServers_Init(HrFreeServers *servers)
{
    memset(servers, 0, sizeof(*servers));
}

int
HrFreeServers_Resize(HrFreeServers *servers, const void *parent,
                     uint32_t count)
{
    uint32_t *list = talloc_array(parent, uint32_t, count + 1);
    uint32_t *pos = talloc_array(parent, uint32_t, count + 1);

    if (list == NULL || pos == NULL) {
        talloc_free(list);
        talloc_free(pos);
        return HR_ERR_NO_MEMORY;
    }
    memset(pos, 0xff, (count + 1) * sizeof(*pos));
    talloc_free(servers->free_list);
    talloc_free(servers->free_pos);
    servers->free_list = list;
    servers->free_pos = pos;
    servers->free_count = 0;
    servers->server_count = count;
    return HR_OK;
}

/* The last entry of free_list takes the position of a server that becomes
 * busy. */
void
HrFreeServers_SetFree(HrFreeServers *servers, uint32_t index, bool is_free)
{
    uint32_t pos = servers->free_pos[index], last;

    if (is_free == (pos != UINT32_MAX)) {
        return;
    }
    if (is_free) {
        servers->free_pos[index] = servers->free_count;
        servers->free_list[servers->free_count++] = index;
        return;
    }
    last = servers->free_list[--servers->free_count];
    servers->free_list[pos] = last;
    servers->free_pos[last] = pos;
    servers->free_pos[index] = UINT32_MAX;
}

/* Returns true if value is among the first count indices. */
static bool
contains(const uint32_t *indices, uint32_t count, uint32_t value)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (indices[i] == value) {
            return true;
        }
    }
    return false;
}

/* Takes all free servers from a random start, or draws distinct ones until
 * the sample is full. */
uint32_t
HrFreeServers_Sample(const HrFreeServers *servers, HrRng *rng,
                     uint32_t indices[HR_SELECT_SAMPLE_SIZE])
{
    uint32_t count = 0, start;

    if (servers->free_count <= HR_SELECT_SAMPLE_SIZE) {
        /* The caller chooses the first of equal estimates, so the start is
         * random. */
        start = (uint32_t)HrRng_DrawBelow(rng, servers->free_count);
        for (; count < servers->free_count; count++) {
            indices[count] =
                servers->free_list[(start + count) % servers->free_count];
        }
        return count;
    }
    while (count < HR_SELECT_SAMPLE_SIZE) {
        uint32_t index =
            servers->free_list[HrRng_DrawBelow(rng, servers->free_count)];

        if (!contains(indices, count, index)) {
            indices[count++] = index;
        }
    }
    return count;
}

void
HrServerStats_Init(HrServerStats *stats)
{
    memset(stats, 0, sizeof(*stats));
    stats->report_ns = HR_TIME_NEVER;
}

/* Saturates the reported load at UINT32_MAX, as the server may send absurd
 * values. */
void
HrServerStats_RecordReport(HrServerStats *stats, uint32_t running,
                           uint32_t queued, int64_t requested_ns)
{
    if (stats->report_ns != HR_TIME_NEVER && requested_ns < stats->report_ns) {
        return;
    }
    stats->report_ns = requested_ns;
    stats->reported_load =
        running > UINT32_MAX - queued ? UINT32_MAX : running + queued;
    stats->outstanding_at_report = stats->outstanding;
}

void
HrServerStats_Reset(HrServerStats *stats)
{
    HrLatency_Reset(&stats->latency);
    stats->report_ns = HR_TIME_NEVER;
}

/* Estimates how many requests from other daemons the server has now: what it
 * reported beyond this daemon's own attempts, but at most its slots, weighted
 * by the age of the report. */
static double
estimate_load_of_others(const HrServerStats *stats, uint32_t slots,
                        int64_t now_ns)
{
    double excess, age_ns;

    if (stats->report_ns == HR_TIME_NEVER ||
        stats->reported_load <= stats->outstanding_at_report) {
        return 0;
    }
    excess = (double)(stats->reported_load - stats->outstanding_at_report);
    age_ns = (double)(now_ns - stats->report_ns);
    return fmin(excess, slots) * exp2(-age_ns / (double)REPORT_HALF_LIFE_NS);
}

/* Scales the mean latency by the load per slot. */
double
HrServerStats_EstimateLatency(const HrServerStats *stats, uint32_t slots,
                              double group_mean_ns, int64_t connect_ns,
                              int64_t now_ns)
{
    double peer_ns = group_mean_ns > 0 ? group_mean_ns : DEFAULT_MEAN_NS;
    double mean_ns = HrLatency_AgedMean(&stats->latency, peer_ns, now_ns);
    double load =
        stats->outstanding + estimate_load_of_others(stats, slots, now_ns);

    return (double)connect_ns + mean_ns * (1 + load / slots);
}
