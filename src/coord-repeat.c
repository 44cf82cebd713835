#include "coord-repeat.h"

#include <math.h>

/* Share of the limit that a process uses once it has run for a whole window,
 * and so knows all its repeats in the window. */
#define FULL_WINDOW_SHARE 0.75

/* Share that a process uses until then, while it does not know the repeats of
 * the process before it. Its share of the slack grows from 0 with the uptime,
 * so that processes that restart repeatedly within a window do not use it anew
 * each time. Both shares together stay within the limit. */
#define STARTUP_SHARE 0.25

/* Share of the limit that hedges may use. Without a retry a failed shard is
 * missing from the answer; without a hedge it is only late. So a quarter as
 * much as hedges may use is reserved for retries. */
#define HEDGE_SHARE 0.8

/* Share of the limit that optional hedges may use. When servers of many shards
 * are slow, the rest decides whether requests reach their required number of
 * shards. One more shard beyond that number is worth little. */
#define OPTIONAL_HEDGE_SHARE 0.5

/* The slack is shared if the part of one daemon would be smaller than this,
 * and split again if it is SPLIT_FACTOR times larger. Measured with 134
 * gateways and a slack of 332: 14,264 repeats were denied while a service used
 * 56 of 550 permitted ones on average. Up to SPLIT_DAEMONS
 * daemons always split it, so that small deployments send no messages. */
#define SHARED_PART_MAX 20
#define SPLIT_FACTOR 1.25
#define SPLIT_DAEMONS 4

/* The shared slack has three parts, so that hedges leave some to retries, and
 * optional hedges some to required ones; see HEDGE_SHARE. */
#define PARTS 3
static const double part_shares[PARTS] = {
    OPTIONAL_HEDGE_SHARE, HEDGE_SHARE - OPTIONAL_HEDGE_SHARE, 1 - HEDGE_SHARE};

/* Returns true if the window has passed since the slack was last split, or
 * shared. Until then it is neither: repeats of both kinds would add up. */
static bool
is_settled(const HrRepeatLimits *limits, int64_t now_ns)
{
    const HrRepeatShare *share = limits->share;

    return share == NULL || share->changed_ns == 0 ||
           now_ns - share->changed_ns >= limits->window_ns;
}

bool
HrRepeatShare_Update(HrRepeatShare *share, const HrRepeatLimits *limits,
                     int64_t now_ns)
{
    double part =
        limits->slack / (limits->daemon_count > 0 ? limits->daemon_count : 1);
    bool active = share->limit != NULL &&
                  limits->daemon_count > SPLIT_DAEMONS && limits->slack > 0 &&
                  part < SHARED_PART_MAX * (share->active ? SPLIT_FACTOR : 1);

    if (active != share->active) {
        share->active = active;
        share->changed_ns =
            now_ns - limits->started_ns >= limits->window_ns ? now_ns : 0;
    }
    return active;
}

bool
HrRepeatLimits_AreShared(const HrRepeatLimits *limits)
{
    return limits->share != NULL && limits->share->active;
}

/* Returns how much of the slack is reserved for daemons that round their share
 * up. Together they exceed the sum of the exact shares by at most half their
 * number; if the counts of their requests do not follow their positions, by
 * less than three standard deviations of as many independent roundings. */
static double
get_rounding_reserve(uint32_t daemons)
{
    double most = (daemons + 1) / 2.0;
    double likely = 1.5 * sqrt(daemons);

    return (most < likely ? most : likely) / FULL_WINDOW_SHARE;
}

HrLimitResult
HrRepeatLimits_TakeShared(const HrRepeatLimits *limits, const char *service,
                          bool is_retry, HrRepeatNeed need, int64_t now_ns)
{
    /* The parts that a repeat may use, in the order in which they are tried.
     */
    static const int orders[][PARTS + 1] = {
        {2, 0, 1, -1}, {0, 1, -1, -1}, {0, -1, -1, -1}};
    const int *order = orders[is_retry                     ? 0
                              : need == HR_REPEAT_REQUIRED ? 1
                                                           : 2];
    HrLimitResult result = HR_LIMIT_DENIED;
    uint64_t key;
    uint32_t i;

    if (!HrRepeatLimits_AreShared(limits) || !is_settled(limits, now_ns)) {
        return HR_LIMIT_DENIED;
    }
    key = HrLimit_MakeKey(HR_LIMIT_SERVICE, service);
    for (i = 0; order[i] >= 0 && result == HR_LIMIT_DENIED; i++) {
        double window_s = (double)limits->window_ns / HR_NS_PER_S;
        double bound =
            FULL_WINDOW_SHARE * part_shares[order[i]] *
            fmax(limits->slack - get_rounding_reserve(limits->daemon_count),
                 0);
        /* Four fifths of the bound are the rate in a window, one fifth is the
         * bucket. With halves a surge of ten seconds got 14 % fewer repeats
         * (test-limit-repeats). */
        double credit_s = (double)HR_LIMIT_CREDIT_NS / HR_NS_PER_S;
        HrLimitRule rule = HrLimitRule_FromBound(
            bound / (1.25 * window_s + credit_s), bound, window_s);

        if (rule.rate_per_s > 0) {
            result = HrLimit_TryTake(limits->share->limit,
                                     key + (uint64_t)order[i], &rule, now_ns);
        }
    }
    return result;
}

/* Returns how far this daemon may round its share for a service up, from 0 to
 * below 1. The positions of the daemons are spread evenly, so a share of 0.4
 * permits one repeat to two of five daemons. A process that is younger than
 * the window rounds down, because it may be restarted again and again. */
static double
get_rounding(const HrRepeatBudget *budget, const HrRepeatLimits *limits,
             int64_t now_ns)
{
    if (limits->daemon_count <= 1 ||
        now_ns - limits->started_ns < limits->window_ns) {
        return 0;
    }
    return fmod(limits->position + budget->position_shift, 1.0);
}

/* Moves the window to now_ns, which empties the buckets that leave it. */
static void
advance_window(HrRepeatBudget *budget, const HrRepeatLimits *limits,
               int64_t now_ns)
{
    int64_t width_ns = limits->window_ns / HR_REPEAT_BUCKETS;
    int64_t bucket = width_ns > 0 ? now_ns / width_ns : 0;
    int64_t steps = bucket - budget->bucket;

    if (steps > HR_REPEAT_BUCKETS) {
        steps = HR_REPEAT_BUCKETS;
        budget->bucket = bucket - steps;
    }
    while (steps-- > 0) {
        uint32_t slot = (uint32_t)(++budget->bucket % HR_REPEAT_BUCKETS);

        budget->request_sum -= budget->requests[slot];
        budget->repeat_sum -= budget->repeats[slot];
        budget->requests[slot] = 0;
        budget->repeats[slot] = 0;
    }
}

void
HrRepeatBudget_RecordRequest(HrRepeatBudget *budget,
                             const HrRepeatLimits *limits, int64_t now_ns)
{
    advance_window(budget, limits, now_ns);
    budget->requests[budget->bucket % HR_REPEAT_BUCKETS]++;
    budget->request_sum++;
}

/* Returns the most repeats that this daemon may have in the window. */
static double
get_permitted_repeats(const HrRepeatBudget *budget,
                      const HrRepeatLimits *limits, int64_t now_ns)
{
    uint32_t daemons = limits->daemon_count > 0 ? limits->daemon_count : 1;
    int64_t uptime_ns = now_ns - limits->started_ns;
    double ratio_part = limits->ratio * budget->request_sum;
    double slack = limits->slack / daemons;

    if (uptime_ns >= limits->window_ns) {
        double reserve = daemons > 1 ? get_rounding_reserve(daemons) : 0;

        slack = HrRepeatLimits_AreShared(limits) || !is_settled(limits, now_ns)
                    ? 0
                    : fmax(limits->slack - reserve, 0) / daemons;
        return FULL_WINDOW_SHARE * (ratio_part + slack);
    }
    return STARTUP_SHARE * (ratio_part + slack * (double)uptime_ns /
                                             (double)limits->window_ns);
}

/* Counts a repeat, unless it would exceed the given share of the limit. */
static bool
take_repeat(HrRepeatBudget *budget, const HrRepeatLimits *limits, double share,
            int64_t now_ns)
{
    advance_window(budget, limits, now_ns);
    if (budget->repeat_sum + 1 >
        share * get_permitted_repeats(budget, limits, now_ns) +
            get_rounding(budget, limits, now_ns)) {
        return false;
    }
    budget->repeats[budget->bucket % HR_REPEAT_BUCKETS]++;
    budget->repeat_sum++;
    return true;
}

bool
HrRepeatBudget_TakeForRetry(HrRepeatBudget *budget,
                            const HrRepeatLimits *limits, int64_t now_ns)
{
    return take_repeat(budget, limits, 1, now_ns);
}

bool
HrRepeatBudget_TakeForHedge(HrRepeatBudget *budget,
                            const HrRepeatLimits *limits, HrRepeatNeed need,
                            int64_t now_ns)
{
    return take_repeat(budget, limits,
                       need == HR_REPEAT_REQUIRED ? HEDGE_SHARE
                                                  : OPTIONAL_HEDGE_SHARE,
                       now_ns);
}
