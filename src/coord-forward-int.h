#ifndef HR_COORD_FORWARD_INT_H
#define HR_COORD_FORWARD_INT_H

/* Internals shared by the coord-forward*.c files. */

#include "coord-forward.h"

struct HrForward {
    HrForwardConfig config;
    HrRouteStats *stats;
    HrForwardUnit *units;
    uint32_t unit_count;
    uint32_t done_count;
    uint32_t failed_count;
    uint32_t required_count; /* units that must be done for a success */
    uint32_t max_attempts;
    int64_t median_ns;
    int64_t partial_due_ns;     /* when to answer if the required units are
                                   done */
    int64_t answer_due_ns;      /* when to answer in any case */
    int64_t last_start_ns;      /* a request that has not run is refused after
                                   this, because the process is stopping */
    HrForwardReason due_reason; /* why answer_due_ns is not later */
    HrForwardAction *actions;
    uint32_t action_count;
    uint32_t action_next;
    uint32_t denied_repeats; /* hedges and retries over the limit */
    uint32_t wait_count;     /* turns of units that had to wait */
    bool finished;
};

/* Creates the units of the request. For a split, one target is chosen by
 * weight. Returns HR_OK or HR_ERR_NO_MEMORY. */
int HrForward_AddUnits(HrForward *forward);

/* Sets the times at which the answer is due, and the median latency. */
void HrForward_SetDueTimes(HrForward *forward);

/* Sets the time by which the process stops: the request is answered by then,
 * and it is not started later than an answer can be expected. */
void HrForward_LimitToStop(HrForward *forward, int64_t answer_by_ns);

/* Returns true if any attempt may have run on a server. */
bool HrForward_MayHaveRun(const HrForward *forward);

/* Refuses a request that has not run if the process stops before an answer can
 * be expected. Returns true if the request has ended. */
bool HrForward_RefuseIfTooLate(HrForward *forward, int64_t now_ns);

/* coord-forward-turn.c: the order of requests of tenants at each service. It
 * applies only to tables with tenants. */

/* Takes a turn for the next attempt of a unit. Returns false if it must wait;
 * the unit is then tried again when its turn has come. */
bool HrForward_TakeTurn(HrForward *forward, HrForwardUnit *unit,
                        int64_t now_ns);

/* Ends the turn of a unit after an attempt, unless another attempt of the unit
 * is in progress. */
void HrForward_EndTurn(HrForwardUnit *unit, HrAttemptOutcome outcome,
                       int64_t now_ns);

/* Returns true if a unit that has waited can no longer be answered in time. */
bool HrForward_IsUnitLate(const HrForward *forward, const HrForwardUnit *unit,
                          int64_t now_ns);

/* Returns true if a unit may take from the limit of repeats after an attempt
 * with this outcome, because no declined unit waits for it. */
bool HrForward_MayTakeRepeat(const HrForward *forward,
                             const HrForwardUnit *unit,
                             HrAttemptOutcome outcome);

/* Lets a unit that a server declined wait, until its deadline, for the limit
 * of repeats to permit its retry, if the requests at its service are limited.
 * Returns false if they are not. */
bool HrForward_AwaitRepeat(HrForward *forward, HrForwardUnit *unit,
                           HrAttemptOutcome outcome, int64_t now_ns);

/* Returns true if a unit does not wait for the limit of repeats (any more). */
bool HrForward_HasRepeat(HrForward *forward, HrForwardUnit *unit,
                         int64_t now_ns);

/* Returns false while requests wait for a turn at the service of a unit: a
 * hedge would take their capacity. */
bool HrForward_MayHedge(const HrForward *forward, const HrForwardUnit *unit);

/* Refuses a request that has not started if too many of its units would be
 * answered late by the estimated wait. */
void HrForward_RefuseIfOverloaded(HrForward *forward, int64_t now_ns);

/* Returns after which time the caller of a refused request should return,
 * because of the requests that wait; 0: none wait. */
int64_t HrForward_ScheduleReturn(const HrForward *forward, int64_t now_ns);

/* Appends an action. Returns NULL if there is not enough memory. */
HrForwardAction *HrForward_PushAction(HrForward *forward,
                                      HrForwardActionKind kind, uint32_t unit,
                                      uint32_t attempt);

/* Abandons the running attempts of a unit. keep_connection: their connections
 * may be reused. */
void HrForward_AbandonAttempts(HrForward *forward, uint32_t index,
                               bool keep_connection, int64_t now_ns);

/* Abandons all running attempts and queues the FINISH action. */
void HrForward_FinishRequest(HrForward *forward, HrForwardEnd end,
                             HrForwardReason reason, int64_t now_ns);

/* Ends the request if enough units are done or too many have failed, or if the
 * answer is due. reason is why the last unit failed. */
void HrForward_FinishIfDecided(HrForward *forward, HrForwardReason reason,
                               int64_t now_ns);

#endif
