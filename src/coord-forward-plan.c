#include "coord-forward-int.h"

#include <talloc.h>

#include "base-clock.h"

/* A partial answer is finished this long before the target time, to leave time
 * for the merge and for scheduling delays. */
#define TARGET_MARGIN_NS (4 * HR_NS_PER_MS)

/* The answer is finished this long before the caller's deadline. */
#define DEADLINE_MARGIN_NS (15 * HR_NS_PER_MS)

/* While the process is stopping, a request is started only if the time left is
 * enough for this share of the route's answers: another gateway can serve it
 * at once, whereas one that is broken off has lost the time left. */
#define STOP_QUANTILE 0.9

/* With fewer recorded answers the route's target time is used instead. */
#define STOP_MIN_SAMPLES 8

/* Chooses a target of a split by weight. The fractional parts of multiples of
 * the golden ratio are spread evenly over [0, 1) from any random start. So the
 * shares match the weights over short series too, and after restarts. */
static uint32_t
choose_split_target(const HrForwardRoute *route, HrRouteStats *stats,
                    HrRng *rng)
{
    double total = 0, at;
    uint32_t i;

    if (stats->split_position == 0) {
        stats->split_position = (uint32_t)HrRng_DrawU64(rng) | 1;
    }
    stats->split_position += 2654435769u;
    for (i = 0; i < route->target_count; i++) {
        total += route->targets[i].weight;
    }
    at = stats->split_position / 4294967296.0 * total;
    for (i = 0; i + 1 < route->target_count; i++) {
        at -= route->targets[i].weight;
        if (at < 0) {
            return i;
        }
    }
    return i;
}

/* Creates the units of the request. Returns HR_OK or HR_ERR_NO_MEMORY. */
int
HrForward_AddUnits(HrForward *forward)
{
    const HrForwardRoute *route = forward->config.route;
    uint32_t first = 0, count = 1, i;

    switch (route->kind) {
    case HR_FORWARD_ONE:
        break;
    case HR_FORWARD_SPLIT:
        first =
            choose_split_target(route, forward->stats, forward->config.rng);
        break;
    case HR_FORWARD_SHARDS:
        count = route->target_count;
        break;
    }
    forward->units = talloc_zero_array(forward, HrForwardUnit, count);
    if (forward->units == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    forward->unit_count = count;
    forward->required_count = route->kind == HR_FORWARD_SHARDS
                                  ? HrForwardRoute_GetRequiredShards(route)
                                  : 1;
    for (i = 0; i < count; i++) {
        uint32_t service = route->targets[first + i].service;

        forward->units[i].next_try_ns = HR_TIME_NEVER;
        forward->units[i].service = HrServerSet_GetService(
            forward->config.servers,
            forward->config.table->services[service].name, true);
        if (forward->units[i].service == NULL) {
            return HR_ERR_NO_MEMORY;
        }
    }
    return HR_OK;
}

/* Sets the times at which the answer is due, and the median latency. */
void
HrForward_SetDueTimes(HrForward *forward)
{
    const HrForwardConfig *config = &forward->config;
    const HrForwardRoute *route = config->route;
    int64_t target_ns = (int64_t)route->target_ms * HR_NS_PER_MS;
    int64_t timeout_ns = (int64_t)route->timeout_ms * HR_NS_PER_MS;

    forward->partial_due_ns =
        config->received_ns + target_ns - config->spent_ns - TARGET_MARGIN_NS;
    forward->answer_due_ns = config->deadline_ns;
    if (route->timeout_ms > 0 &&
        config->received_ns + timeout_ns < forward->answer_due_ns) {
        forward->answer_due_ns = config->received_ns + timeout_ns;
    }
    forward->answer_due_ns -= DEADLINE_MARGIN_NS;
    forward->due_reason = HR_FORWARD_REASON_DEADLINE;
    forward->last_start_ns = HR_TIME_NEVER;
    forward->median_ns = HrServerSet_GetRouteMedianNs(
        config->servers, route->name, forward->stats);
    if (target_ns > 0 && forward->median_ns > target_ns) {
        forward->median_ns = target_ns;
    }
    if (config->answer_by_ns != 0) {
        HrForward_LimitToStop(forward, config->answer_by_ns);
    }
}

/* Returns the time that most answers of the request's route have taken. */
static int64_t
estimate_answer_ns(const HrForward *forward)
{
    const HrLatency *answer = &forward->stats->answer;

    return answer->hist.count >= STOP_MIN_SAMPLES
               ? HrLatency_Quantile(answer, STOP_QUANTILE)
               : (int64_t)forward->config.route->target_ms * HR_NS_PER_MS;
}

void
HrForward_LimitToStop(HrForward *forward, int64_t answer_by_ns)
{
    if (answer_by_ns >= forward->answer_due_ns) {
        return;
    }
    forward->answer_due_ns = answer_by_ns;
    forward->due_reason = HR_FORWARD_REASON_STOPPING;
    forward->last_start_ns = answer_by_ns - estimate_answer_ns(forward);
}
