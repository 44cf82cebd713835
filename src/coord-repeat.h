#ifndef HR_COORD_REPEAT_H
#define HR_COORD_REPEAT_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-limit.h"

/* Number of buckets of the sliding window. Counts leave the window one bucket
 * at a time, so in steps of 1/20 of its length. */
#define HR_REPEAT_BUCKETS 20

/* Whether the slack of the limit of repeats is split among the daemons, or
 * taken from a limit that they share. Zeroed: split. */
typedef struct HrRepeatShare {
    HrLimit *limit; /* NULL: there is none */
    bool active;    /* the slack is shared */
    /* When active changed last, if this process was older than the window;
     * otherwise 0. */
    int64_t changed_ns;
} HrRepeatShare;

/* Limit of the repeats (hedges and retries) that all daemons together may send
 * to a service: in any window, ratio times its requests, plus slack. */
typedef struct HrRepeatLimits {
    int64_t window_ns;
    double ratio;
    double slack;
    /* Daemons that share the slack. The part that is proportional to the
     * requests needs no sharing, because each daemon counts its own. */
    uint32_t daemon_count;
    int64_t started_ns; /* when this process started */
    /* Position of this daemon among those that share the slack, from 0 to
     * below 1. Shares are rarely whole numbers: the positions decide which of
     * the daemons round theirs up. */
    double position;
    const HrRepeatShare *share; /* NULL: the slack is always split */
} HrRepeatLimits;

/* This daemon's requests and repeats for one service within the window.
 * Embedded in its owner. */
typedef struct HrRepeatBudget {
    uint32_t requests[HR_REPEAT_BUCKETS];
    uint32_t repeats[HR_REPEAT_BUCKETS];
    uint32_t request_sum;
    uint32_t repeat_sum;
    int64_t bucket; /* number of the newest bucket */
    /* Added to the position, from 0 to below 1, so that for different services
     * different daemons round up. */
    double position_shift;
} HrRepeatBudget;

/* How much a hedge matters. */
typedef enum HrRepeatNeed {
    HR_REPEAT_REQUIRED, /* without it the request fails or is late */
    HR_REPEAT_OPTIONAL, /* without it the answer lacks a shard, but has the
                           required ones */
} HrRepeatNeed;

/* Counts a caller's request for the service. It counts once, however many
 * attempts it takes. */
void HrRepeatBudget_RecordRequest(HrRepeatBudget *budget,
                                  const HrRepeatLimits *limits,
                                  int64_t now_ns);

/* Counts a retry of a failed attempt. Returns false, and counts nothing, if
 * the limit would be exceeded. */
bool HrRepeatBudget_TakeForRetry(HrRepeatBudget *budget,
                                 const HrRepeatLimits *limits, int64_t now_ns);

/* Decides whether the slack is shared through the limit or split among the
 * daemons: it is shared where a daemon's part would be so small that it often
 * has none left while others have not used theirs. Call it every second or
 * more often. Returns true if it is shared. */
bool HrRepeatShare_Update(HrRepeatShare *share, const HrRepeatLimits *limits,
                          int64_t now_ns);

/* Returns true if the slack is shared. */
bool HrRepeatLimits_AreShared(const HrRepeatLimits *limits);

/* Takes a repeat of a service from the shared slack, after it was not
 * permitted by this daemon's own budget. is_retry: need is ignored. WAITING:
 * it was requested, try again after some milliseconds; DENIED: there is none,
 * or the slack is not shared. */
HrLimitResult HrRepeatLimits_TakeShared(const HrRepeatLimits *limits,
                                        const char *service, bool is_retry,
                                        HrRepeatNeed need, int64_t now_ns);

/* Counts a hedge, which is sent while an earlier attempt runs. Returns false,
 * and counts nothing, if the share of the limit for hedges of this need would
 * be exceeded: part of the limit is reserved for retries, and a further part
 * for required hedges. */
bool HrRepeatBudget_TakeForHedge(HrRepeatBudget *budget,
                                 const HrRepeatLimits *limits,
                                 HrRepeatNeed need, int64_t now_ns);

#endif
