#include "coord-forward-int.h"

#include <string.h>
#include <talloc.h>

#include "base-clock.h"

/* A hedge is sent after this many median latencies plus the margin. With the
 * usual spread of latencies, 99 % of the answers have arrived by then. */
#define HEDGE_FACTOR 2.2
#define HEDGE_MARGIN_NS (1500 * HR_NS_PER_US)

/* While the median latency is not known, a hedge is sent after the target time
 * divided by this. */
#define HEDGE_TARGET_DIVISOR 3

/* No hedge is sent to a server with a higher cost. Such a server has more than
 * twice as many requests as slots, or is slow or failing itself, so it would
 * hardly answer before the server of the running attempt. */
#define HEDGE_COST_MAX 3.0

/* Delay before the next try to hedge if the limit of repeats was reached or no
 * suitable server was free. */
#define HEDGE_RECHECK_NS (10 * HR_NS_PER_MS)

/* Delay before the next try if a part of the shared slack was requested: a
 * round trip to another zone. */
#define CREDIT_RECHECK_NS (4 * HR_NS_PER_MS)

/* A unit whose servers are all cold, and may get no more requests for a longer
 * time, fails at once. */
#define COLD_WAIT_MAX_NS (100 * HR_NS_PER_MS)

/* Interval at which a unit that waits for a free server looks for one. */
#define BUSY_RECHECK_NS (3 * HR_NS_PER_MS)

/* Marks a unit as failed, which may end the request. */
static void
fail_unit(HrForward *forward, HrForwardUnit *unit, HrForwardReason reason,
          int64_t now_ns)
{
    unit->failed = true;
    HrContention_EndTurn(&unit->turn, HR_TURN_ENDED, now_ns);
    unit->waiting = false;
    unit->next_try_ns = HR_TIME_NEVER;
    unit->reason = reason;
    forward->failed_count++;
    HrForward_FinishIfDecided(forward, reason, now_ns);
}

/* Returns how long an attempt may run before another server is tried. */
static int64_t
compute_hedge_delay_ns(const HrForward *forward)
{
    if (forward->median_ns <= 0) {
        return (int64_t)forward->config.route->target_ms * HR_NS_PER_MS /
               HEDGE_TARGET_DIVISOR;
    }
    return (int64_t)(HEDGE_FACTOR * (double)forward->median_ns) +
           HEDGE_MARGIN_NS;
}

/* Returns true if the limits of attempts permit one more for the unit. */
static bool
may_attempt(const HrForward *forward, const HrForwardUnit *unit)
{
    return unit->sent_count < forward->max_attempts &&
           unit->attempt_count < HR_FORWARD_ATTEMPTS_MAX;
}

/* Starts an attempt at a server, and sets the time of the next hedge. */
static void
start_attempt(HrForward *forward, uint32_t index, HrReplica *replica,
              HrForwardCause cause, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];
    uint32_t attempt = unit->attempt_count++;
    HrForwardAction *action;

    unit->tried[attempt] = replica;
    unit->sent_count++;
    unit->running_count++;
    unit->waiting = false;
    HrContention_RecordStart(&unit->turn, now_ns);
    HrReplica_BeginAttempt(replica, &unit->attempts[attempt],
                           forward->median_ns, now_ns);
    unit->next_try_ns =
        forward->config.route->idempotent && may_attempt(forward, unit)
            ? now_ns + compute_hedge_delay_ns(forward)
            : HR_TIME_NEVER;
    action =
        HrForward_PushAction(forward, HR_FORWARD_ACTION_SEND, index, attempt);
    if (action != NULL) {
        action->u.send.replica = replica;
        action->u.send.cause = cause;
    }
}

/* Picks a server that the unit has not tried; see HrReplica_Pick. */
static HrReplica *
pick_server(const HrForward *forward, const HrForwardUnit *unit,
            int64_t now_ns, bool *any_usable)
{
    return HrServerSet_PickServer(forward->config.servers, unit->service,
                                  unit->tried, unit->attempt_count,
                                  forward->config.rng, now_ns, any_usable);
}

/* Returns true if a server that the unit has not tried is only busy, or so
 * cold that it may get a request within a short time. */
static bool
is_free_soon(const HrForwardUnit *unit, int64_t now_ns)
{
    return HrServerSet_GetColdFreeNs(unit->service, unit->tried,
                                     unit->attempt_count,
                                     now_ns) <= now_ns + COLD_WAIT_MAX_NS;
}

/* Starts the first attempt, or a retry. If all servers are busy the unit
 * waits; if there is no usable server it fails. */
static void
try_unit(HrForward *forward, uint32_t index, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];
    HrReplica *replica;
    bool any_usable;

    if (HrForward_RefuseIfTooLate(forward, now_ns)) {
        return;
    }
    if (HrForward_IsUnitLate(forward, unit, now_ns)) {
        fail_unit(forward, unit, HR_FORWARD_REASON_OVERLOADED, now_ns);
        return;
    }
    if (!HrForward_HasRepeat(forward, unit, now_ns) ||
        !HrForward_TakeTurn(forward, unit, now_ns)) {
        return;
    }
    replica = pick_server(forward, unit, now_ns, &any_usable);
    if (replica != NULL) {
        start_attempt(forward, index, replica,
                      unit->attempt_count > 0 ? HR_FORWARD_CAUSE_RETRY
                                              : HR_FORWARD_CAUSE_FIRST,
                      now_ns);
    }
    else if (any_usable && is_free_soon(unit, now_ns)) {
        /* After a retry the servers that were tried may still have room. */
        if (unit->attempt_count == 0) {
            HrContention_RecordFull(&unit->turn, now_ns);
        }
        unit->waiting = true;
        unit->next_try_ns = now_ns + BUSY_RECHECK_NS;
    }
    else {
        fail_unit(forward, unit,
                  unit->attempt_count > 0 ? HR_FORWARD_REASON_ATTEMPTS
                                          : HR_FORWARD_REASON_NO_SERVER,
                  now_ns);
    }
}

/* Returns whether a hedge is required: once the required number of shards has
 * answered, a further shard only completes the answer. */
static HrRepeatNeed
get_hedge_need(const HrForward *forward)
{
    return forward->done_count >= forward->required_count ? HR_REPEAT_OPTIONAL
                                                          : HR_REPEAT_REQUIRED;
}

/* Takes a hedge from the limit of repeats: from this daemon's own part, or
 * from what all daemons share. */
static HrLimitResult
take_for_hedge(const HrForward *forward, HrForwardUnit *unit, int64_t now_ns)
{
    const HrRepeatLimits *limits =
        HrServerSet_GetRepeatLimits(forward->config.servers);
    HrRepeatNeed need = get_hedge_need(forward);

    if (HrRepeatBudget_TakeForHedge(&unit->service->repeat_budget, limits,
                                    need, now_ns)) {
        return HR_LIMIT_GRANTED;
    }
    return HrRepeatLimits_TakeShared(limits, unit->service->name, false, need,
                                     now_ns);
}

/* Sends a hedge to another server, if the limit of repeats permits it and the
 * server is likely to answer soon. Otherwise plans the next try. */
static void
hedge_unit(HrForward *forward, uint32_t index, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];
    bool any_usable;
    HrReplica *replica = pick_server(forward, unit, now_ns, &any_usable);

    if (!any_usable) {
        unit->next_try_ns = HR_TIME_NEVER;
        return;
    }
    unit->next_try_ns = now_ns + HEDGE_RECHECK_NS;
    if (replica == NULL || !HrForward_MayHedge(forward, unit) ||
        HrReplica_IsLastResort(replica, now_ns) ||
        HrReplica_EstimateCost(replica, now_ns) > HEDGE_COST_MAX) {
        return;
    }
    switch (take_for_hedge(forward, unit, now_ns)) {
    case HR_LIMIT_GRANTED:
        break;
    case HR_LIMIT_WAITING:
        unit->next_try_ns = now_ns + CREDIT_RECHECK_NS;
        return;
    case HR_LIMIT_DENIED:
        forward->denied_repeats++;
        return;
    }
    start_attempt(forward, index, replica, HR_FORWARD_CAUSE_HEDGE, now_ns);
}

/* Returns true if a request may be sent to another server after an attempt
 * with this outcome: the attempt has not run, or the request is idempotent. */
static bool
may_resend(const HrForward *forward, HrAttemptOutcome outcome)
{
    switch (outcome) {
    case HR_ATTEMPT_OUTCOME_DECLINED:
    case HR_ATTEMPT_OUTCOME_MISDIRECTED:
    case HR_ATTEMPT_OUTCOME_NOT_SENT:
        return true;
    case HR_ATTEMPT_OUTCOME_SERVER_ERROR:
    case HR_ATTEMPT_OUTCOME_LOST:
    case HR_ATTEMPT_OUTCOME_MALFORMED:
        return forward->config.route->idempotent;
    case HR_ATTEMPT_OUTCOME_OK:
    case HR_ATTEMPT_OUTCOME_CLIENT_ERROR:
    case HR_ATTEMPT_OUTCOME_ABANDONED:
        return false;
    }
    return false;
}

/* Fails a unit whose retry the limit of repeats does not permit, unless it may
 * wait because other tenants compete for the service. */
static void
deny_repeat(HrForward *forward, uint32_t index, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];

    forward->denied_repeats++;
    if (!HrForward_AwaitRepeat(forward, unit, unit->failed_outcome, now_ns)) {
        fail_unit(forward, unit, HR_FORWARD_REASON_BUDGET, now_ns);
    }
}

/* Starts a retry if the limit of repeats permits it. Where the daemons share
 * the slack, it waits for some milliseconds if need be; otherwise the unit
 * fails. */
static void
retry_unit(HrForward *forward, uint32_t index, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];
    const HrRepeatLimits *limits =
        HrServerSet_GetRepeatLimits(forward->config.servers);

    if (HrRepeatBudget_TakeForRetry(&unit->service->repeat_budget, limits,
                                    now_ns) ||
        HrRepeatLimits_TakeShared(limits, unit->service->name, true,
                                  HR_REPEAT_REQUIRED,
                                  now_ns) == HR_LIMIT_GRANTED) {
        unit->credit_due_ns = 0;
        try_unit(forward, index, now_ns);
        return;
    }
    if (HrRepeatLimits_AreShared(limits) && unit->credit_due_ns == 0) {
        unit->credit_due_ns = now_ns + HR_LIMIT_WAIT_NS;
    }
    if (now_ns < unit->credit_due_ns) {
        unit->next_try_ns = now_ns + CREDIT_RECHECK_NS;
        return;
    }
    unit->credit_due_ns = 0;
    deny_repeat(forward, index, now_ns);
}

/* Hedges or retries after an attempt without a usable answer, or fails the
 * unit. A retry after NOT_SENT does not count towards the limit of repeats. */
static void
handle_failed_attempt(HrForward *forward, uint32_t index,
                      HrAttemptOutcome outcome, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];

    if (unit->running_count > 0) {
        unit->next_try_ns =
            may_attempt(forward, unit) && forward->config.route->idempotent
                ? now_ns
                : HR_TIME_NEVER;
        return;
    }
    if (!may_resend(forward, outcome) || !may_attempt(forward, unit)) {
        fail_unit(forward, unit, HR_FORWARD_REASON_ATTEMPTS, now_ns);
        return;
    }
    unit->failed_outcome = outcome;
    if (outcome == HR_ATTEMPT_OUTCOME_NOT_SENT) {
        try_unit(forward, index, now_ns);
    }
    else if (HrForward_MayTakeRepeat(forward, unit, outcome)) {
        retry_unit(forward, index, now_ns);
    }
    else {
        deny_repeat(forward, index, now_ns);
    }
}

/* Uses the answer of an attempt as that of the unit. */
static void
complete_unit(HrForward *forward, uint32_t index, uint32_t attempt,
              int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];

    unit->done = true;
    unit->winner = attempt;
    unit->waiting = false;
    unit->next_try_ns = HR_TIME_NEVER;
    forward->done_count++;
    HrForward_AbandonAttempts(forward, index, true, now_ns);
    HrForward_FinishIfDecided(forward, HR_FORWARD_REASON_COMPLETE, now_ns);
}

/* Handles the end of an attempt. Attempts that were abandoned are ignored. */
static void
handle_attempt_end(HrForward *forward, const HrForwardEvent *event)
{
    uint32_t index = event->u.reply.unit,
             attempt_index = event->u.reply.attempt;
    HrAttemptOutcome outcome = event->u.reply.reply;
    HrForwardUnit *unit = &forward->units[index];
    HrAttempt *attempt = &unit->attempts[attempt_index];
    int64_t started_ns = attempt->started_ns;

    if (attempt->replica == NULL) {
        return;
    }
    HrServerSet_RecordSignal(forward->config.servers, attempt->replica,
                             &event->u.reply.signal, event->now_ns);
    HrServerSet_EndAttempt(forward->config.servers, attempt, outcome,
                           event->now_ns);
    unit->running_count--;
    HrForward_EndTurn(unit, outcome, event->now_ns);
    switch (outcome) {
    case HR_ATTEMPT_OUTCOME_OK:
        HrLatency_Record(&forward->stats->latency, event->now_ns - started_ns,
                         event->now_ns);
        complete_unit(forward, index, attempt_index, event->now_ns);
        return;
    case HR_ATTEMPT_OUTCOME_CLIENT_ERROR:
        if (forward->config.route->kind != HR_FORWARD_SHARDS) {
            complete_unit(forward, index, attempt_index, event->now_ns);
            return;
        }
        unit->may_have_run = true;
        break;
    case HR_ATTEMPT_OUTCOME_NOT_SENT:
        unit->sent_count--;
        break;
    case HR_ATTEMPT_OUTCOME_DECLINED:
    case HR_ATTEMPT_OUTCOME_MISDIRECTED:
    case HR_ATTEMPT_OUTCOME_ABANDONED:
        break;
    case HR_ATTEMPT_OUTCOME_SERVER_ERROR:
    case HR_ATTEMPT_OUTCOME_LOST:
    case HR_ATTEMPT_OUTCOME_MALFORMED:
        unit->may_have_run = true;
        break;
    }
    /* If no other server can be tried, the caller gets the server's error. */
    if (outcome == HR_ATTEMPT_OUTCOME_SERVER_ERROR &&
        forward->config.route->kind != HR_FORWARD_SHARDS &&
        unit->running_count == 0 &&
        (!may_resend(forward, outcome) || !may_attempt(forward, unit))) {
        complete_unit(forward, index, attempt_index, event->now_ns);
        return;
    }
    handle_failed_attempt(forward, index, outcome, event->now_ns);
}

/* Ends the request if its answer is due, and starts the attempts that are. */
static void
handle_timer(HrForward *forward, int64_t now_ns)
{
    uint32_t i;

    HrForward_FinishIfDecided(forward, HR_FORWARD_REASON_DEADLINE, now_ns);
    for (i = 0; i < forward->unit_count && !forward->finished; i++) {
        HrForwardUnit *unit = &forward->units[i];

        if (unit->done || unit->failed || now_ns < unit->next_try_ns) {
            continue;
        }
        if (unit->credit_due_ns != 0) {
            retry_unit(forward, i, now_ns);
        }
        else if (unit->waiting) {
            try_unit(forward, i, now_ns);
        }
        else if (may_attempt(forward, unit)) {
            hedge_unit(forward, i, now_ns);
        }
        else {
            unit->next_try_ns = HR_TIME_NEVER;
        }
    }
}

/* Processes one event. Events after the end of the request are ignored. */
void
HrForward_HandleEvent(HrForward *forward, const HrForwardEvent *event)
{
    if (forward->finished) {
        return;
    }
    switch (event->kind) {
    case HR_FORWARD_EVENT_ATTEMPT_ENDED:
        handle_attempt_end(forward, event);
        break;
    case HR_FORWARD_EVENT_TIMER:
        handle_timer(forward, event->now_ns);
        break;
    case HR_FORWARD_EVENT_CALLER_DISCONNECTED:
        HrForward_FinishRequest(forward, HR_FORWARD_END_CALLER_DISCONNECTED,
                                HR_FORWARD_REASON_CALLER_DISCONNECTED,
                                event->now_ns);
        break;
    case HR_FORWARD_EVENT_STOPPING:
        HrForward_LimitToStop(forward, event->u.answer_by_ns);
        HrForward_RefuseIfTooLate(forward, event->now_ns);
        break;
    }
}

/* Pops the next action; returns false if there is none. */
bool
HrForward_PopAction(HrForward *forward, HrForwardAction *action)
{
    if (forward->action_next == forward->action_count) {
        return false;
    }
    *action = forward->actions[forward->action_next++];
    return true;
}

/* Returns when the next timer event is due, or HR_TIME_NEVER. */
int64_t
HrForward_GetNextTimer(const HrForward *forward)
{
    int64_t next_ns = forward->answer_due_ns;
    uint32_t i;

    if (forward->finished) {
        return HR_TIME_NEVER;
    }
    if (forward->done_count >= forward->required_count &&
        forward->partial_due_ns < next_ns) {
        next_ns = forward->partial_due_ns;
    }
    for (i = 0; i < forward->unit_count; i++) {
        if (forward->units[i].next_try_ns < next_ns) {
            next_ns = forward->units[i].next_try_ns;
        }
    }
    return next_ns;
}

/* Returns the median latency of an attempt, or 0 if it is not known. */
int64_t
HrForward_GetMedianLatencyNs(const HrForward *forward)
{
    return forward->median_ns;
}

/* Returns how many hedges and retries the limit of repeats did not permit. */
uint32_t
HrForward_GetDeniedRepeats(const HrForward *forward)
{
    return forward->denied_repeats;
}

/* Returns the number of services that the request is sent to. */
uint32_t
HrForward_GetUnitCount(const HrForward *forward)
{
    return forward->unit_count;
}

const HrForwardUnit *
HrForward_GetUnit(const HrForward *forward, uint32_t unit)
{
    return &forward->units[unit];
}

/* Returns true once the FINISH action has been queued. */
bool
HrForward_IsFinished(const HrForward *forward)
{
    return forward->finished;
}

/* Starts a request and its first attempts. Returns NULL if there is not enough
 * memory. */
HrForward *
HrForward_Create(const void *parent, const HrForwardConfig *config,
                 int64_t now_ns)
{
    HrForward *forward = talloc_zero(parent, HrForward);
    uint32_t i;

    if (forward == NULL) {
        return NULL;
    }
    forward->config = *config;
    forward->stats = HrServerSet_HoldRouteStats(config->servers,
                                                config->route->name, forward);
    if (forward->stats == NULL || HrForward_AddUnits(forward) != HR_OK) {
        talloc_free(forward);
        return NULL;
    }
    forward->max_attempts = config->route->max_attempts;
    HrForward_SetDueTimes(forward);
    HrForward_RefuseIfOverloaded(forward, now_ns);
    for (i = 0; i < forward->unit_count && !forward->finished; i++) {
        HrRepeatBudget_RecordRequest(
            &forward->units[i].service->repeat_budget,
            HrServerSet_GetRepeatLimits(config->servers), now_ns);
    }
    for (i = 0; i < forward->unit_count && !forward->finished; i++) {
        try_unit(forward, i, now_ns);
    }
    return forward;
}
