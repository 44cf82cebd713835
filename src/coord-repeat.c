#include "coord-repeat.h"

/* Share of the ratio that is used: the window of the limit and the one
 * counted here do not begin at the same moment. */
#define RATIO_SHARE 0.85

/* Share of the slack that is used once a process has run for a window and so
 * knows what it has spent. What is left is for processes that do not. */
#define SLACK_SHARE 0.75

/* A younger process does not know what the one before it has spent, so its
 * share grows from nothing to this one. However often processes are restarted
 * within a window, their shares add up to this one at most, beside that of the
 * process that ran before the window. */
#define SLACK_FRESH_SHARE (1 - SLACK_SHARE)

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

/* Returns the share of the slack that may be used now. */
static double
slack_share(const HrRepeatLimits *limits, int64_t now_ns)
{
    int64_t uptime_ns = now_ns - limits->started_ns;

    if (uptime_ns >= limits->window_ns) {
        return SLACK_SHARE;
    }
    return SLACK_FRESH_SHARE * (double)uptime_ns / (double)limits->window_ns;
}

/* Takes the right to repeat within a share of the limit. */
static bool
take(HrRepeat *repeat, const HrRepeatLimits *limits, double share,
     int64_t now_ns)
{
    uint32_t daemons = limits->daemon_count > 0 ? limits->daemon_count : 1;
    double limit;

    advance(repeat, limits, now_ns);
    limit = RATIO_SHARE * limits->ratio * repeat->request_sum +
            slack_share(limits, now_ns) * limits->slack / daemons;
    if (repeat->repeat_sum + 1 > share * limit) {
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
