#include "coord-repeat.h"

/* Share of the limit that is used by a process that has run for a window and
 * so knows what it has spent. */
#define KNOWN_SHARE 0.75

/* Share that is used by a younger process, which does not know what the one
 * before it has spent. Of the slack this share grows from nothing, so that
 * processes that are restarted again and again within a window do not get it
 * each time. Both shares together stay within the limit. */
#define FRESH_SHARE 0.25

/* Share of the limit that hedges may use. Without a retry a failed part is
 * missing; without a hedge it is late. A quarter as much as hedges may use is
 * left to retries. */
#define HEDGE_SHARE 0.8

/* Share of the limit that optional hedges may use. When servers of many shards
 * are slow, what is left decides whether requests reach their required share;
 * one shard more or less of those that are past it earns little. */
#define OPTIONAL_SHARE 0.5

/* Drops the buckets that have left the window. */
static void
advance(HrRepeat *repeat, const HrRepeatLimits *limits, int64_t now_ns)
{
    int64_t width_ns = limits->window_ns / HR_REPEAT_BUCKETS;
    int64_t bucket = width_ns > 0 ? now_ns / width_ns : 0;
    int64_t steps = bucket - repeat->bucket;

    if (steps > HR_REPEAT_BUCKETS) {
        steps = HR_REPEAT_BUCKETS;
        repeat->bucket = bucket - steps;
    }
    while (steps-- > 0) {
        uint32_t slot = (uint32_t)(++repeat->bucket % HR_REPEAT_BUCKETS);

        repeat->request_sum -= repeat->requests[slot];
        repeat->repeat_sum -= repeat->repeats[slot];
        repeat->requests[slot] = 0;
        repeat->repeats[slot] = 0;
    }
}

/* Notes a request of a caller for the service. */
void
HrRepeat_NoteRequest(HrRepeat *repeat, const HrRepeatLimits *limits,
                     int64_t now_ns)
{
    advance(repeat, limits, now_ns);
    repeat->requests[repeat->bucket % HR_REPEAT_BUCKETS]++;
    repeat->request_sum++;
}

/* Returns how many repeats may be in the window. */
static double
permitted(const HrRepeat *repeat, const HrRepeatLimits *limits, int64_t now_ns)
{
    uint32_t daemons = limits->daemon_count > 0 ? limits->daemon_count : 1;
    int64_t uptime_ns = now_ns - limits->started_ns;
    double by_ratio = limits->ratio * repeat->request_sum;
    double slack = limits->slack / daemons;

    if (uptime_ns >= limits->window_ns) {
        return KNOWN_SHARE * (by_ratio + slack);
    }
    return FRESH_SHARE *
           (by_ratio + slack * (double)uptime_ns / (double)limits->window_ns);
}

/* Takes the right to repeat within a share of the limit. */
static bool
take(HrRepeat *repeat, const HrRepeatLimits *limits, double share,
     int64_t now_ns)
{
    advance(repeat, limits, now_ns);
    if (repeat->repeat_sum + 1 > share * permitted(repeat, limits, now_ns)) {
        return false;
    }
    repeat->repeats[repeat->bucket % HR_REPEAT_BUCKETS]++;
    repeat->repeat_sum++;
    return true;
}

/* Takes the right to replace a failed attempt. */
bool
HrRepeat_TakeForRetry(HrRepeat *repeat, const HrRepeatLimits *limits,
                      int64_t now_ns)
{
    return take(repeat, limits, 1, now_ns);
}

/* Takes the right to send a second attempt while the first one runs. */
bool
HrRepeat_TakeForHedge(HrRepeat *repeat, const HrRepeatLimits *limits,
                      HrRepeatNeed need, int64_t now_ns)
{
    return take(repeat, limits,
                need == HR_REPEAT_REQUIRED ? HEDGE_SHARE : OPTIONAL_SHARE,
                now_ns);
}
