#include "coord-conns.h"

#include <string.h>
#include <talloc.h>

#include "base-error.h"

/* Below this many samples the digest says nothing about the slowest ones. */
#define MIN_SAMPLES 50

/* Three times the 99th percentile lets ordinary stragglers finish. */
#define SILENT_P99_FACTOR 3

/* Shorter waits would mistake a pause of this VM for a silent connection. */
#define MIN_SILENT_NS (10 * HR_NS_PER_MS)

/* Returns the most connections that this daemon opens to a server. */
uint32_t
HrConns_Share(uint32_t cap, uint32_t candidates)
{
    uint32_t share = candidates == 0 ? cap : cap / candidates;

    return share == 0 ? 1 : share;
}

/* Returns the part of a share that attempts may use; one connection is left
 * to cancels and status polls where the share allows it. */
static uint32_t
attempt_limit(uint32_t cap, uint32_t candidates)
{
    uint32_t share = HrConns_Share(cap, candidates);

    return share > 1 ? share - 1 : 1;
}

/* Starts without connections. */
int
HrConns_Init(HrConns *conns, const void *parent, uint32_t cap,
             uint32_t candidates)
{
    memset(conns, 0, sizeof(*conns));
    /* Idle connections may be left from when the server was last listed. */
    conns->suspect = true;
    return HrConns_SetCap(conns, parent, cap, candidates);
}

/* Changes the cap. */
int
HrConns_SetCap(HrConns *conns, const void *parent, uint32_t cap,
               uint32_t candidates)
{
    uint32_t limit = attempt_limit(cap, candidates);
    int64_t *idle_since;

    if (limit == conns->limit) {
        return HR_OK;
    }
    idle_since = talloc_zero_array(parent, int64_t, limit);
    if (idle_since == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    if (conns->idle > limit) {
        conns->suspect = true; /* the next attempt closes all of them */
        conns->idle = limit;
    }
    if (conns->idle > 0) {
        memcpy(idle_since, conns->idle_since,
               conns->idle * sizeof(*idle_since));
    }
    talloc_free(conns->idle_since);
    conns->idle_since = idle_since;
    conns->limit = limit;
    return HR_OK;
}

/* Forgets the connections that have been idle for too long. */
static void
expire_idle(HrConns *conns, int64_t now_ns)
{
    uint32_t expired = 0;

    while (expired < conns->idle &&
           now_ns - conns->idle_since[expired] >= HR_CONNS_IDLE_NS) {
        expired++;
    }
    if (expired > 0) {
        conns->idle -= expired;
        memmove(conns->idle_since, conns->idle_since + expired,
                conns->idle * sizeof(*conns->idle_since));
    }
}

/* Returns true if an attempt could get a connection. */
bool
HrConns_HasRoom(const HrConns *conns)
{
    return conns->busy < conns->limit;
}

/* Returns true if an attempt could use an idle connection. */
bool
HrConns_HasIdle(const HrConns *conns, int64_t now_ns)
{
    return conns->idle > 0 && !conns->suspect &&
           now_ns - conns->idle_since[conns->idle - 1] < HR_CONNS_IDLE_NS;
}

/* Takes a connection, which must be available. */
HrConnsGrant
HrConns_Acquire(HrConns *conns, int64_t now_ns, bool must_open)
{
    HrConnsGrant grant = {0};

    expire_idle(conns, now_ns);
    if (conns->suspect || (must_open && conns->idle > 0 &&
                           conns->busy + conns->idle >= conns->limit)) {
        grant.close_idle = true;
        conns->idle = 0;
        conns->suspect = false;
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

/* Returns the connection of an attempt. */
void
HrConns_Release(HrConns *conns, int64_t now_ns, bool closed)
{
    conns->busy--;
    if (closed) {
        return;
    }
    expire_idle(conns, now_ns);
    if (conns->busy + conns->idle >= conns->limit) {
        conns->suspect = true; /* the limit was lowered meanwhile */
        return;
    }
    conns->idle_since[conns->idle++] = now_ns;
}

/* Notes that a connection went silent. */
void
HrConns_MarkSilent(HrConns *conns)
{
    conns->suspect = true;
}

/* Forgets the idle connections. */
void
HrConns_DropIdle(HrConns *conns)
{
    if (conns->idle > 0) {
        conns->suspect = true;
    }
}

/* Returns how long to wait before a connection counts as silent. */
int64_t
HrConns_SilentWait(const HrLatency *latency, int64_t left_ns)
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
