#include "coord-conns.h"

#include <string.h>
#include <talloc.h>

#include "base-error.h"

/* With fewer samples than this, the latency statistics say nothing about the
 * slowest answers. */
#define MIN_SAMPLES 50

/* A wait of this many times the 99th percentile lets ordinary stragglers
 * finish. */
#define SILENT_P99_FACTOR 3

/* With a shorter wait, a pause of this VM would be mistaken for a silent
 * connection. */
#define MIN_SILENT_NS (10 * HR_NS_PER_MS)

uint32_t
HrConns_GetShare(uint32_t cap, uint32_t candidates)
{
    uint32_t share = candidates == 0 ? cap : cap / candidates;

    return share == 0 ? 1 : share;
}

/* Returns how many connections of this daemon's share attempts may use. One
 * is left for cancel requests and status polls, unless the share is only
 * one. */
static uint32_t
compute_attempt_limit(uint32_t cap, uint32_t candidates)
{
    uint32_t share = HrConns_GetShare(cap, candidates);

    return share > 1 ? share - 1 : 1;
}

int
HrConns_Init(HrConns *conns, const void *parent, uint32_t cap,
             uint32_t candidates)
{
    memset(conns, 0, sizeof(*conns));
    /* Idle connections may remain from an earlier time when the server was
     * listed. */
    conns->idle_suspect = true;
    return HrConns_SetCap(conns, parent, cap, candidates);
}

int
HrConns_SetCap(HrConns *conns, const void *parent, uint32_t cap,
               uint32_t candidates)
{
    uint32_t limit = compute_attempt_limit(cap, candidates);
    int64_t *idle_since_ns;

    if (limit == conns->limit) {
        return HR_OK;
    }
    idle_since_ns = talloc_zero_array(parent, int64_t, limit);
    if (idle_since_ns == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    if (conns->idle > limit) {
        conns->idle_suspect = true; /* the next attempt closes all of them */
        conns->idle = limit;
    }
    if (conns->idle > 0) {
        memcpy(idle_since_ns, conns->idle_since_ns,
               conns->idle * sizeof(*idle_since_ns));
    }
    talloc_free(conns->idle_since_ns);
    conns->idle_since_ns = idle_since_ns;
    conns->limit = limit;
    return HR_OK;
}

/* Stops counting the connections that have been idle for HR_CONNS_IDLE_NS;
 * the daemon has closed them. */
static void
expire_idle(HrConns *conns, int64_t now_ns)
{
    uint32_t expired = 0;

    while (expired < conns->idle &&
           now_ns - conns->idle_since_ns[expired] >= HR_CONNS_IDLE_NS) {
        expired++;
    }
    if (expired > 0) {
        conns->idle -= expired;
        memmove(conns->idle_since_ns, conns->idle_since_ns + expired,
                conns->idle * sizeof(*conns->idle_since_ns));
    }
}

bool
HrConns_HasRoom(const HrConns *conns)
{
    return conns->busy < conns->limit;
}

/* Only the newest idle connection needs to be checked for its age. */
bool
HrConns_HasIdle(const HrConns *conns, int64_t now_ns)
{
    return conns->idle > 0 && !conns->idle_suspect &&
           now_ns - conns->idle_since_ns[conns->idle - 1] < HR_CONNS_IDLE_NS;
}

/* With must_open and no room besides the idle connections, all of those are
 * closed first, so that the limit holds. */
HrConnsGrant
HrConns_Acquire(HrConns *conns, int64_t now_ns, bool must_open)
{
    HrConnsGrant grant = {0};

    expire_idle(conns, now_ns);
    if (conns->idle_suspect || (must_open && conns->idle > 0 &&
                                conns->busy + conns->idle >= conns->limit)) {
        grant.close_idle = true;
        conns->idle = 0;
        conns->idle_suspect = false;
    }
    if (conns->idle > 0 && !must_open) {
        conns->idle--;
    }
    else {
        grant.fresh = true;
        conns->opened++;
    }
    conns->busy++;
    return grant;
}

void
HrConns_Release(HrConns *conns, int64_t now_ns, bool closed)
{
    conns->busy--;
    if (closed) {
        return;
    }
    expire_idle(conns, now_ns);
    if (conns->busy + conns->idle >= conns->limit) {
        conns->idle_suspect = true; /* the limit was lowered meanwhile */
        return;
    }
    conns->idle_since_ns[conns->idle++] = now_ns;
}

void
HrConns_MarkSilent(HrConns *conns)
{
    conns->idle_suspect = true;
}

void
HrConns_DropIdle(HrConns *conns)
{
    if (conns->idle > 0) {
        conns->idle_suspect = true;
    }
}

/* The lower bound is MIN_SILENT_NS or 1.25 times the 99th percentile,
 * whichever is longer. */
int64_t
HrConns_GetSilenceTimeout(const HrLatency *latency, int64_t left_ns)
{
    int64_t wait_ns = left_ns / 2, least_ns = MIN_SILENT_NS;

    if (latency->hist.count >= MIN_SAMPLES) {
        int64_t p99_ns = latency->p99_ns;

        if (SILENT_P99_FACTOR * p99_ns < wait_ns) {
            wait_ns = SILENT_P99_FACTOR * p99_ns;
        }
        if (p99_ns + p99_ns / 4 > least_ns) {
            least_ns = p99_ns + p99_ns / 4;
        }
    }
    return wait_ns > least_ns ? wait_ns : least_ns;
}

/* A wait that HrConns_GetSilenceTimeout shortened because of the deadline does
 * not show silence. */
bool
HrConns_IsSilence(const HrLatency *latency, int64_t waited_ns)
{
    return waited_ns >= MIN_SILENT_NS &&
           (latency->hist.count < MIN_SAMPLES ||
            waited_ns >= SILENT_P99_FACTOR * latency->p99_ns);
}
