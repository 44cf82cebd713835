#ifndef HR_TRANS_PEER_STALL_H
#define HR_TRANS_PEER_STALL_H

/* Finds links that have stopped responding, long before the silence limit.
 * Used by trans-peer only. */

#include <stdbool.h>
#include <stdint.h>

/* How long the daemon at an address takes until the next byte arrives on a
 * link on which it owes an answer or a pong: a smoothed mean and deviation.
 * Links to the same address share it, so that a new link starts with what the
 * former ones have shown. */
typedef struct HrPeerDelay {
    int64_t mean_ns; /* 0: nothing was observed */
    int64_t deviation_ns;
} HrPeerDelay;

struct HrPeerLink;

/* Counts one observed delay. */
void HrPeerDelay_Record(HrPeerDelay *delay, int64_t sample_ns);

/* Returns how long a link may be quiet before it is doubted; fallback_ns, the
 * upper bound, while nothing was observed. */
int64_t HrPeerDelay_Limit(const HrPeerDelay *delay, int64_t fallback_ns);

/* Returns when a link that owes an answer is to be checked; HR_TIME_NEVER when
 * it owes none or its stall is already known. */
int64_t HrPeerStall_NextCheck(const struct HrPeerLink *link);

/* Learns from the arrival of a byte: how long an answer or a pong took. */
void HrPeerStall_NoteReceived(struct HrPeerLink *link, int64_t now_ns);

/* Checks a link: one that is quiet for the limit is pinged, and one that
 * leaves the ping unanswered for twice the limit is stalled. A link that does
 * not complete its handshake is closed. Returns false when it was closed. */
bool HrPeerStall_Check(struct HrPeerLink *link, int64_t now_ns);

#endif
