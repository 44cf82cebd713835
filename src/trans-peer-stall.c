#include "trans-peer-stall.h"

#include <sys/socket.h>

#include "trans-peer-link.h"

/* Parameters of RFC 6298: a new sample has the weight 1/8 in the mean and 1/4
 * in the deviation, and the limit is the mean plus 4 deviations. */
#define MEAN_WEIGHT_DIVISOR 8
#define DEVIATION_WEIGHT_DIVISOR 4
#define DEVIATION_FACTOR 4
/* A shorter limit would ping a healthy daemon that only waits for a CPU on a
 * busy VM. */
#define LIMIT_MIN_NS (20 * HR_NS_PER_MS)
/* Time limits of a ping and of a handshake, as multiples of the limit of the
 * link. A handshake needs a connection and two round trips. */
#define PING_LIMIT_FACTOR 2
#define HANDSHAKE_LIMIT_FACTOR 8
/* Pongs double the limit at most this many times. */
#define DOUBLINGS_MAX 5

/* Adds one measured delay. */
void
HrPeerDelay_RecordSample(HrPeerDelay *delay, int64_t sample_ns)
{
    int64_t difference_ns = sample_ns - delay->mean_ns;

    if (delay->mean_ns == 0) {
        delay->mean_ns = sample_ns > 0 ? sample_ns : 1;
        delay->deviation_ns = sample_ns / 2;
        return;
    }
    delay->mean_ns += difference_ns / MEAN_WEIGHT_DIVISOR;
    difference_ns = difference_ns < 0 ? -difference_ns : difference_ns;
    delay->deviation_ns +=
        (difference_ns - delay->deviation_ns) / DEVIATION_WEIGHT_DIVISOR;
}

/* Returns how long a link may be quiet before it is pinged. */
int64_t
HrPeerDelay_GetLimit(const HrPeerDelay *delay, int64_t fallback_ns)
{
    int64_t limit_ns = delay->mean_ns + DEVIATION_FACTOR * delay->deviation_ns;

    if (delay->mean_ns == 0 || limit_ns > fallback_ns) {
        return fallback_ns;
    }
    return limit_ns > LIMIT_MIN_NS ? limit_ns : LIMIT_MIN_NS;
}

/* Returns the limit of a link that this daemon opened; ping_ms is its upper
 * bound. */
static int64_t
get_limit_ns(const HrPeerLink *link)
{
    return HrPeerDelay_GetLimit(&link->path->delay,
                                link->owner->config->ping_ms * HR_NS_PER_MS);
}

/* Returns since when a link is quiet although an answer is due; HR_TIME_NEVER
 * if none is due. */
static int64_t
get_quiet_since_ns(const HrPeerLink *link)
{
    const HrPeerNodeConfig *config = link->owner->config;

    if (link->answer_due) {
        return link->answer_due_since_ns;
    }
    if (config->is_answer_awaited != NULL &&
        config->is_answer_awaited(config->arg, link->number)) {
        return link->last_received_ns;
    }
    return HR_TIME_NEVER;
}

/* Returns when to check a link next. */
int64_t
HrPeerStall_GetNextCheck(const HrPeerLink *link)
{
    uint32_t doublings;
    int64_t since_ns;

    if (link->path == NULL || link->stalled) {
        return HR_TIME_NEVER;
    }
    if (link->state != HR_PEER_LINK_READY) {
        return link->path->delay.mean_ns == 0
                   ? HR_TIME_NEVER
                   : link->opened_ns +
                         HANDSHAKE_LIMIT_FACTOR * get_limit_ns(link);
    }
    if (link->ping_pending) {
        return link->ping_sent_ns + PING_LIMIT_FACTOR * get_limit_ns(link);
    }
    since_ns = get_quiet_since_ns(link);
    if (since_ns == HR_TIME_NEVER) {
        return since_ns;
    }
    /* A daemon that replies to pings is still working on the request: the
     * limit doubles with each pong. */
    doublings =
        link->pong_count < DOUBLINGS_MAX ? link->pong_count : DOUBLINGS_MAX;
    return since_ns + (get_limit_ns(link) << doublings);
}

/* Records that a byte was received. Only frames with a tag set answer_due: the
 * others may need no answer, so the time since they were sent is no measure of
 * the delay. */
void
HrPeerStall_RecordReceived(HrPeerLink *link, int64_t now_ns)
{
    if (link->path != NULL && link->state == HR_PEER_LINK_READY) {
        if (link->ping_pending) {
            HrPeerDelay_RecordSample(&link->path->delay,
                                     now_ns - link->ping_sent_ns);
        }
        else if (link->answer_due) {
            HrPeerDelay_RecordSample(&link->path->delay,
                                     now_ns - link->answer_due_since_ns);
        }
    }
    link->answer_due = false;
}

/* Returns true if the socket holds bytes, or an end of stream, that this
 * process has not read yet because it was paused or busy. */
static bool
has_unread_bytes(const HrPeerLink *link)
{
    uint8_t byte;

    return recv(link->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/* Reports to the layer above that the link has stopped responding. */
static void
report_stall(HrPeerLink *link)
{
    const HrPeerNodeConfig *config = link->owner->config;
    HrPeerEvent event = {.kind = HR_PEER_EVENT_STALLED,
                         .link = link->number,
                         .daemon_id = link->peer_id};

    link->stalled = true;
    HrCounters_Add(config->counters, HR_COUNTER_peer_links_stalled, 1);
    config->fn(config->arg, &event);
}

/* Checks a link. Unread bytes show that the other end responds. */
bool
HrPeerStall_CheckLink(HrPeerLink *link, int64_t now_ns)
{
    if (now_ns < HrPeerStall_GetNextCheck(link) || has_unread_bytes(link)) {
        return true;
    }
    if (link->state != HR_PEER_LINK_READY) {
        HrPeerLink_Close(link, HR_ERR_TIMEOUT);
        return false;
    }
    if (link->ping_pending) {
        report_stall(link);
    }
    else {
        HrPeerLink_SendPing(link, now_ns);
    }
    return true;
}
