#ifndef HR_COORD_CONTENTION_H
#define HR_COORD_CONTENTION_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-admit-queue.h"

/* Records of tenants, by hash; tenants may share one. */
#define HR_CONTENTION_TENANTS 32

/* What is known of a tenant in a class of the queue. */
typedef struct HrContentionTenant {
    int64_t started_ns; /* last start from the queue, if more requests wait;
                           0: none does */
    double interval_ns; /* mean time between starts while more wait; 0: not
                           known */
    int64_t interval_at_ns; /* time of its last update */
    int64_t returns_ns;     /* when its last rejected request should return */
} HrContentionTenant;

/* Decides in which order the requests of tenants start at one service while
 * its servers decline requests or are at their connection limits. While they
 * are not, every request starts at once. A request needs a turn: it asks for
 * one, waits until it gets it, and ends it with the attempt. The capacity is
 * estimated: the number of turns held at once is reduced after declines, and
 * raised while requests wait and are answered. */
typedef struct HrContention {
    const void *parent;     /* talloc context of the queue */
    HrAdmitQueue queue;     /* by priority and tenant */
    HrAdmitQueue repeats;   /* those that the limit of repeats delays */
    uint32_t held;          /* turns held */
    uint32_t blocked;       /* of these, those that found no free connection */
    bool limited;           /* limit applies */
    double limit;           /* of turns held */
    bool logged;            /* the present limit has been logged */
    double declined;        /* attempts of the last second, weighted by age */
    double declined_share;  /* of the recent attempts */
    int64_t counted_ns;     /* time of the last update of declined */
    int64_t pressed_ns;     /* when a request last waited or was declined */
    double mean_service_ns; /* 0: not known */
    double start_share[HR_ADMIT_CLASSES]; /* of recent starts from the queue */
    HrContentionTenant tenants[HR_CONTENTION_TENANTS];
} HrContention;

typedef enum HrTurnState {
    HR_TURN_NONE,
    HR_TURN_WAITING,
    HR_TURN_HELD,
    HR_TURN_REPEAT, /* waits for the limit of repeats */
} HrTurnState;

/* How a turn ends. */
typedef enum HrTurnEnd {
    HR_TURN_SERVED,
    HR_TURN_DECLINED, /* the server declined the attempt */
    HR_TURN_ENDED,    /* otherwise, or the turn is no longer needed */
} HrTurnEnd;

/* The turn of one request at one service. Embedded in its owner; zeroed: none.
 */
typedef struct HrTurn {
    HrAdmitEntry entry;
    HrContention *contention;
    HrTurnState state;
    bool blocked;
    int64_t held_since_ns;
    void (*granted_fn)(void *arg); /* called when a waiting turn is held */
    void *arg;
} HrTurn;

/* The caller of a turn. */
typedef struct HrTurnCaller {
    const char *tenant; /* NULL: all callers without a key count as one */
    uint32_t priority;  /* 0 is the most urgent */
    bool was_declined;  /* the turn is for the retry of a declined attempt */
} HrTurnCaller;

/* Initialises the state of a service. Tenants of waiting requests are
 * allocated as talloc children of parent. */
void HrContention_Init(HrContention *contention, const void *parent);

/* Asks for a turn. It is then held or waiting; granted_fn is not called
 * during this call. When out of memory the turn is held. granted_fn must not
 * call functions of this module. */
void HrContention_RequestTurn(HrContention *contention, HrTurn *turn,
                              const HrTurnCaller *caller, int64_t now_ns);

/* Ends a turn in any state. Other turns may be granted. */
void HrContention_EndTurn(HrTurn *turn, HrTurnEnd end, int64_t now_ns);

/* Lets a declined request without a turn wait for the limit of repeats, in the
 * same order. Returns false when out of memory. */
bool HrContention_AwaitRepeat(HrContention *contention, HrTurn *turn,
                              const HrTurnCaller *caller);

/* Returns true if a turn is the next one that may be repeated. */
bool HrContention_IsNextRepeat(HrTurn *turn);

/* Ends the wait of the next one. */
void HrContention_EndRepeat(HrTurn *turn);

/* Records that the holder of a turn found all servers at their connection
 * limits. It keeps the turn, and no more are granted than are in use. */
void HrContention_RecordFull(HrTurn *turn, int64_t now_ns);

/* Records that the holder of a turn found a server. */
void HrContention_RecordStart(HrTurn *turn, int64_t now_ns);

/* Returns the estimated time in which a new request of a caller would be
 * answered: its wait and the mean time of an answer. 0: it would not wait, or
 * the time is not known. */
int64_t HrContention_EstimateNs(HrContention *contention,
                                const HrTurnCaller *caller, int64_t now_ns);

/* Returns after which time a rejected request should return: when it is
 * expected to be answered in time, which is delay_ns from now, and after the
 * tenant's requests that were rejected before it. */
int64_t HrContention_ScheduleReturn(HrContention *contention,
                                    const HrTurnCaller *caller,
                                    int64_t delay_ns, int64_t now_ns);

/* Returns the mean time of an answer; 0: not known. */
int64_t HrContention_GetMeanServiceNs(const HrContention *contention);

/* Returns true if requests wait for a turn. */
bool HrContention_HasWaiting(const HrContention *contention);

#endif
