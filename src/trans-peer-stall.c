#include "trans-peer-stall.h"

#include <sys/socket.h>

#include "trans-peer-link.h"

/* Weights of a new sample and the number of deviations, as in RFC 6298. */
#define MEAN_SHARE 8
#define DEVIATION_SHARE 4
#define DEVIATIONS 4
/* A shorter limit would doubt a daemon that only waits for its turn on a busy
 * VM. */
#define LIMIT_MIN_NS (20 * HR_NS_PER_MS)
/* Limits that a ping, and a handshake, may take: the handshake needs a
 * connection and two round trips. */
#define PING_LIMITS 2
#define HANDSHAKE_LIMITS 8
#define DOUBLINGS_MAX 5

/* Counts one observed delay. */
void
HrPeerDelay_Record(HrPeerDelay *delay, int64_t sample_ns)
{
    int64_t error_ns = sample_ns - delay->mean_ns;

    if (delay->mean_ns == 0) {
        delay->mean_ns = sample_ns > 0 ? sample_ns : 1;
        delay->deviation_ns = sample_ns / 2;
        return;
    }
    delay->mean_ns += error_ns / MEAN_SHARE;
    error_ns = error_ns < 0 ? -error_ns : error_ns;
    delay->deviation_ns += (error_ns - delay->deviation_ns) / DEVIATION_SHARE;
}

/* Returns how long a link may be quiet before it is doubted. */
int64_t
HrPeerDelay_Limit(const HrPeerDelay *delay, int64_t fallback_ns)
{
    int64_t limit_ns = delay->mean_ns + DEVIATIONS * delay->deviation_ns;

    if (delay->mean_ns == 0 || limit_ns > fallback_ns) {
        return fallback_ns;
    }
    return limit_ns > LIMIT_MIN_NS ? limit_ns : LIMIT_MIN_NS;
}

/* Returns the limit of a link. */
static int64_t
find_limit(const HrPeerLink *link)
{
    return HrPeerDelay_Limit(&link->path->delay,
                             link->owner->config->ping_ms * HR_NS_PER_MS);
}

/* Returns since when a link owes an answer and is quiet; HR_TIME_NEVER when it
 * owes none. */
static int64_t
quiet_since(const HrPeerLink *link)
{
    const HrPeerNodeConfig *config = link->owner->config;

    if (link->waiting) {
        return link->waiting_since_ns;
    }
    if (config->awaits != NULL && config->awaits(config->arg, link->number)) {
        return link->received_ns;
    }
    return HR_TIME_NEVER;
}

/* Returns when a link that owes an answer is to be checked. */
int64_t
HrPeerStall_NextCheck(const HrPeerLink *link)
{
    uint32_t doublings;
    int64_t since_ns;

    if (link->path == NULL || link->stalled) {
        return HR_TIME_NEVER;
    }
    if (link->state != HR_PEER_LINK_READY) {
        return link->path->delay.mean_ns == 0
                   ? HR_TIME_NEVER
                   : link->opened_ns + HANDSHAKE_LIMITS * find_limit(link);
    }
    if (link->ping_open) {
        return link->ping_sent_ns + PING_LIMITS * find_limit(link);
    }
    since_ns = quiet_since(link);
    if (since_ns == HR_TIME_NEVER) {
        return since_ns;
    }
    /* A daemon that answers pings works on the request: ask less often. */
    doublings = link->pongs < DOUBLINGS_MAX ? link->pongs : DOUBLINGS_MAX;
    return since_ns + (find_limit(link) << doublings);
}

/* Learns from the arrival of a byte. Frames without a tag may need no answer,
 * so that the time since then says nothing. */
void
HrPeerStall_NoteReceived(HrPeerLink *link, int64_t now_ns)
{
    if (link->path != NULL && link->state == HR_PEER_LINK_READY) {
        if (link->ping_open) {
            HrPeerDelay_Record(&link->path->delay,
                               now_ns - link->ping_sent_ns);
        }
        else if (link->waiting) {
            HrPeerDelay_Record(&link->path->delay,
                               now_ns - link->waiting_since_ns);
        }
    }
    link->waiting = false;
}

/* Returns true if bytes have arrived that were not read yet, because this
 * process was paused or busy. */
static bool
has_unread(const HrPeerLink *link)
{
    uint8_t byte;

    return recv(link->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/* Reports that the link has stopped responding. */
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

/* Checks a link. */
bool
HrPeerStall_Check(HrPeerLink *link, int64_t now_ns)
{
    if (now_ns < HrPeerStall_NextCheck(link) || has_unread(link)) {
        return true;
    }
    if (link->state != HR_PEER_LINK_READY) {
        HrPeerLink_Close(link, HR_ERR_TIMEOUT);
        return false;
    }
    if (link->ping_open) {
        report_stall(link);
    }
    else {
        HrPeerLink_SendPing(link, now_ns);
    }
    return true;
}
