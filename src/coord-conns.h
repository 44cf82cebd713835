#ifndef HR_COORD_CONNS_H
#define HR_COORD_CONNS_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "coord-latency.h"

/* A connection that is idle for longer is closed, here and by the daemon. */
#define HR_CONNS_IDLE_NS (30 * HR_NS_PER_S)

/* Connections of this daemon to one server. */
typedef struct HrConns {
    uint32_t limit;      /* for attempts */
    uint32_t busy;       /* connections that attempts occupy */
    uint32_t idle;       /* connections that may be used again */
    int64_t *idle_since; /* of the idle ones, oldest first; limit entries */
    bool suspect;        /* the idle ones may be dead */
    uint64_t opened;     /* since the start */
} HrConns;

/* What an attempt must do to get its connection. */
typedef struct HrConnsGrant {
    bool fresh;      /* open a new connection */
    bool close_idle; /* close the idle ones first */
} HrConnsGrant;

/* Returns the most connections that this daemon opens to a server: the cap
 * divided by the number of candidates, and at least one. */
uint32_t HrConns_Share(uint32_t cap, uint32_t candidates);

/* Starts without connections; idle_since is a talloc child of parent. Returns
 * 0 or HR_ERR_NO_MEMORY. */
int HrConns_Init(HrConns *conns, const void *parent, uint32_t cap,
                 uint32_t candidates);

/* Changes the cap. Connections beyond a lowered limit are closed as they
 * become idle. Returns 0 or HR_ERR_NO_MEMORY. */
int HrConns_SetCap(HrConns *conns, const void *parent, uint32_t cap,
                   uint32_t candidates);

/* Returns true if an attempt could get a connection. */
bool HrConns_HasRoom(const HrConns *conns);

/* Returns true if an attempt could use an idle connection. */
bool HrConns_HasIdle(const HrConns *conns, int64_t now_ns);

/* Takes a connection, which must be available; with must_open a new one. */
HrConnsGrant HrConns_Acquire(HrConns *conns, int64_t now_ns, bool must_open);

/* Returns the connection of an attempt; a closed one is forgotten. */
void HrConns_Release(HrConns *conns, int64_t now_ns, bool closed);

/* Notes that a connection went silent: the idle ones are closed before the
 * next attempt, as what cut one of them off may have cut off all. */
void HrConns_MarkSilent(HrConns *conns);

/* Forgets the idle connections: the server was restarted. */
void HrConns_DropIdle(HrConns *conns);

/* Returns how long to wait for an answer before a connection counts as
 * silent, given the server's digest and the time left. Less is waited where
 * the time left would not suffice for another attempt. */
int64_t HrConns_SilentWait(const HrLatency *latency, int64_t left_ns);

/* Returns true if so long a wait shows that the connection is silent, rather
 * than that the time is short. */
bool HrConns_IsSilence(const HrLatency *latency, int64_t waited_ns);

#endif
