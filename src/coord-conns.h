#ifndef HR_COORD_CONNS_H
#define HR_COORD_CONNS_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "coord-latency.h"

/* A connection that has been idle for this long is closed, both in these
 * counts and by the daemon. */
#define HR_CONNS_IDLE_NS (30 * HR_NS_PER_S)

/* Counts the connections of this daemon to one server. The connections
 * themselves are opened and closed by the daemon. */
typedef struct HrConns {
    uint32_t limit;         /* for attempts */
    uint32_t busy;          /* connections that attempts occupy */
    uint32_t idle;          /* connections that may be used again */
    int64_t *idle_since_ns; /* of the idle ones, oldest first; limit entries */
    bool idle_suspect; /* the idle ones may be dead: close before next use */
    uint64_t opened;   /* since the start */
} HrConns;

/* What an attempt must do to get its connection. */
typedef struct HrConnsGrant {
    bool fresh;      /* open a new connection */
    bool close_idle; /* close the idle ones first */
} HrConnsGrant;

/* Returns how many connections this daemon may open to a server: the cap for
 * all daemons, divided by the number of candidates (daemons that may schedule
 * the server's group); at least one. */
uint32_t HrConns_GetShare(uint32_t cap, uint32_t candidates);

/* Starts without connections. idle_since_ns becomes a talloc child of parent.
 * Returns 0 or HR_ERR_NO_MEMORY. */
int HrConns_Init(HrConns *conns, const void *parent, uint32_t cap,
                 uint32_t candidates);

/* Changes the cap. Connections beyond a lowered limit are closed when they
 * become idle. Returns 0 or HR_ERR_NO_MEMORY. */
int HrConns_SetCap(HrConns *conns, const void *parent, uint32_t cap,
                   uint32_t candidates);

/* Returns true if an attempt could get a connection. */
bool HrConns_HasRoom(const HrConns *conns);

/* Returns true if an attempt could use an idle connection. */
bool HrConns_HasIdle(const HrConns *conns, int64_t now_ns);

/* Takes a connection for an attempt: a new one if must_open is set or no idle
 * one can be used. Call it only if HrConns_HasRoom. */
HrConnsGrant HrConns_Acquire(HrConns *conns, int64_t now_ns, bool must_open);

/* Releases the connection of an attempt. It becomes idle, unless it was
 * closed. */
void HrConns_Release(HrConns *conns, int64_t now_ns, bool closed);

/* Records that a connection went silent. The idle ones are closed before the
 * next attempt, because the fault may have cut off all of them. */
void HrConns_MarkSilent(HrConns *conns);

/* Has the idle connections closed before the next attempt. Called when the
 * server has restarted. */
void HrConns_DropIdle(HrConns *conns);

/* Returns how long an attempt may go unanswered before its connection counts
 * as silent, given the server's latencies and the time left until the
 * deadline. The time is at most half of what is left, so that another attempt
 * fits in, but never so short that usual answers are cut off. */
int64_t HrConns_GetSilenceTimeout(const HrLatency *latency, int64_t left_ns);

/* Returns true if an attempt was unanswered for long enough to show that its
 * connection is silent, and not just that its deadline was close. */
bool HrConns_IsSilence(const HrLatency *latency, int64_t waited_ns);

#endif
