#include "coord-select.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "base-error.h"

/* Requests last milliseconds, so a report of half a second ago says little
 * about the load now. */
#define REPORT_HALF_LIFE_NS (250 * HR_NS_PER_MS)

/* Latency that is assumed before any is known. */
#define DEFAULT_MEAN_NS (1.0 * HR_NS_PER_MS)

/* Starts with no servers. */
void
HrSelect_Init(HrSelect *select)
{
    memset(select, 0, sizeof(*select));
}

/* Sets the number of servers and marks all as busy. */
int
HrSelect_Resize(HrSelect *select, const void *parent, uint32_t count)
{
    uint32_t *list = talloc_array(parent, uint32_t, count + 1);
    uint32_t *pos = talloc_array(parent, uint32_t, count + 1);

    if (list == NULL || pos == NULL) {
        talloc_free(list);
        talloc_free(pos);
        return HR_ERR_NO_MEMORY;
    }
    memset(pos, 0xff, (count + 1) * sizeof(*pos));
    talloc_free(select->free_list);
    talloc_free(select->free_pos);
    select->free_list = list;
    select->free_pos = pos;
    select->free_count = 0;
    select->server_count = count;
    return HR_OK;
}

/* Marks a server as free or busy. */
void
HrSelect_SetFree(HrSelect *select, uint32_t index, bool is_free)
{
    uint32_t pos = select->free_pos[index], last;

    if (is_free == (pos != UINT32_MAX)) {
        return;
    }
    if (is_free) {
        select->free_pos[index] = select->free_count;
        select->free_list[select->free_count++] = index;
        return;
    }
    last = select->free_list[--select->free_count];
    select->free_list[pos] = last;
    select->free_pos[last] = pos;
    select->free_pos[index] = UINT32_MAX;
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

/* Picks up to HR_SELECT_SAMPLE distinct free servers at random. */
uint32_t
HrSelect_Sample(const HrSelect *select, HrRng *rng,
                uint32_t indices[HR_SELECT_SAMPLE])
{
    uint32_t count = 0, start;

    if (select->free_count <= HR_SELECT_SAMPLE) {
        /* The first of equal estimates wins, so the order is random. */
        start = (uint32_t)HrRng_Below(rng, select->free_count);
        for (; count < select->free_count; count++) {
            indices[count] =
                select->free_list[(start + count) % select->free_count];
        }
        return count;
    }
    while (count < HR_SELECT_SAMPLE) {
        uint32_t index =
            select->free_list[HrRng_Below(rng, select->free_count)];

        if (!contains(indices, count, index)) {
            indices[count++] = index;
        }
    }
    return count;
}

/* Starts without latencies and reports. */
void
HrSelectServer_Init(HrSelectServer *server)
{
    memset(server, 0, sizeof(*server));
    server->report_ns = HR_TIME_NEVER;
}

/* Notes a load report. */
void
HrSelectServer_NoteLoad(HrSelectServer *server, uint32_t running,
                        uint32_t queued, int64_t requested_ns)
{
    if (server->report_ns != HR_TIME_NEVER &&
        requested_ns < server->report_ns) {
        return;
    }
    server->report_ns = requested_ns;
    server->reported =
        running > UINT32_MAX - queued ? UINT32_MAX : running + queued;
    server->own_at_report = server->outstanding;
}

/* Forgets the reports and latencies. */
void
HrSelectServer_Restart(HrSelectServer *server)
{
    HrLatency_Reset(&server->latency);
    server->report_ns = HR_TIME_NEVER;
}

/* Returns the load from other daemons that is assumed now. */
static double
others_load(const HrSelectServer *server, uint32_t slots, int64_t now_ns)
{
    double excess, age_ns;

    if (server->report_ns == HR_TIME_NEVER ||
        server->reported <= server->own_at_report) {
        return 0;
    }
    excess = (double)(server->reported - server->own_at_report);
    age_ns = (double)(now_ns - server->report_ns);
    return fmin(excess, slots) * exp2(-age_ns / (double)REPORT_HALF_LIFE_NS);
}

/* Estimates the time until a new attempt would be answered. */
double
HrSelectServer_Estimate(const HrSelectServer *server, uint32_t slots,
                        double group_mean_ns, int64_t connect_ns,
                        int64_t now_ns)
{
    double peer_ns = group_mean_ns > 0 ? group_mean_ns : DEFAULT_MEAN_NS;
    double mean_ns = HrLatency_AgedMean(&server->latency, peer_ns, now_ns);
    double load = server->outstanding + others_load(server, slots, now_ns);

    return (double)connect_ns + mean_ns * (1 + load / slots);
}
