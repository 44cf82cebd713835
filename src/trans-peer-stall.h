#ifndef HR_TRANS_PEER_STALL_H
#define HR_TRANS_PEER_STALL_H

/* Detects links whose other end has stopped responding, long before the
 * silence limit (silence_ms). Used by trans-peer only. */

#include <stdbool.h>
#include <stdint.h>

/* Smoothed mean and deviation of the delay until the daemon at an address
 * sends the next byte on a link on which an answer or a pong is due. All links
 * to an address share it, so that a new link starts with what was measured on
 * earlier ones. */
typedef struct HrPeerDelay {
    int64_t mean_ns; /* 0: nothing measured yet */
    int64_t deviation_ns;
} HrPeerDelay;

struct HrPeerLink;

/* Adds one measured delay. */
void HrPeerDelay_RecordSample(HrPeerDelay *delay, int64_t sample_ns);

/* Returns how long a link may be quiet before it is pinged: between 20 ms and
 * fallback_ns, and fallback_ns while nothing was measured. */
int64_t HrPeerDelay_GetLimit(const HrPeerDelay *delay, int64_t fallback_ns);

/* Returns the monotonic time of the next check of a link in nanoseconds.
 * HR_TIME_NEVER: no answer is due, the stall is already reported, the link has
 * no path, or its handshake is not complete and no delay was measured yet. */
int64_t HrPeerStall_GetNextCheck(const struct HrPeerLink *link);

/* Records that a byte was received: adds the delay of the pong or answer that
 * was due to the samples of the path. */
void HrPeerStall_RecordReceived(struct HrPeerLink *link, int64_t now_ns);

/* Checks a link: pings it if it was quiet for the limit, which doubles with
 * each pong received meanwhile, and reports it as stalled if the ping is
 * unanswered for twice the limit. Closes a link that does not complete its
 * handshake within 8 times the limit, once a delay to its address was
 * measured. Returns false if it closed the link. */
bool HrPeerStall_CheckLink(struct HrPeerLink *link, int64_t now_ns);

#endif
