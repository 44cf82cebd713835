#include "coord-forward-int.h"

#include <string.h>
#include <talloc.h>

#include "base-clock.h"

/* Another server is tried after this many usual times: with the usual spread
 * of work 99 in 100 answers are in by then. */
#define HEDGE_FACTOR 2.2
#define HEDGE_EXTRA_NS (1500 * HR_NS_PER_US)

/* While no usual time is known, a share of the target time. */
#define HEDGE_UNKNOWN_DIVISOR 3

/* A server that costs more than this has its slots taken twice over, or is
 * slow or failing itself, and would hardly answer before the one that is
 * waited for. */
#define HEDGE_COST_MAX 3.0

/* A hedge that found no token or no free server is tried again after this. */
#define HEDGE_AGAIN_NS (10 * HR_NS_PER_MS)

/* A request that waits for a free server looks again after this. */
#define BUSY_AGAIN_NS (3 * HR_NS_PER_MS)

/* Gives a service up. */
static void
fail_unit(HrForward *forward, HrForwardUnit *unit, HrForwardReason reason,
          int64_t now_ns)
{
    unit->failed = true;
    unit->waiting = false;
    unit->hedge_ns = HR_TIME_NEVER;
    unit->reason = reason;
    forward->failed_count++;
    HrForward_CheckEnd(forward, reason, now_ns);
}

/* Returns how long to wait for an answer before another server is tried. */
static int64_t
hedge_delay_ns(const HrForward *forward)
{
    if (forward->usual_ns <= 0) {
        return (int64_t)forward->config.route->target_ms * HR_NS_PER_MS /
               HEDGE_UNKNOWN_DIVISOR;
    }
    return (int64_t)(HEDGE_FACTOR * (double)forward->usual_ns) +
           HEDGE_EXTRA_NS;
}

/* Returns true if the unit may have one more attempt. */
static bool
may_attempt(const HrForward *forward, const HrForwardUnit *unit)
{
    return unit->counted < forward->max_attempts &&
           unit->attempt_count < HR_FORWARD_ATTEMPTS_MAX;
}

/* Starts an attempt at a server. */
static void
start_attempt(HrForward *forward, uint32_t index, HrReplica *replica,
              HrForwardCause cause, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];
    uint32_t attempt = unit->attempt_count++;
    HrForwardAction *action;

    unit->tried[attempt] = replica;
    unit->counted++;
    unit->running++;
    unit->waiting = false;
    HrReplica_Begin(replica, &unit->attempts[attempt], forward->usual_ns,
                    now_ns);
    unit->hedge_ns =
        forward->config.route->idempotent && may_attempt(forward, unit)
            ? now_ns + hedge_delay_ns(forward)
            : HR_TIME_NEVER;
    action =
        HrForward_PushAction(forward, HR_FORWARD_ACTION_SEND, index, attempt);
    if (action != NULL) {
        action->u.send.replica = replica;
        action->u.send.cause = cause;
    }
}

/* Picks a server that was not tried. */
static HrReplica *
pick(const HrForward *forward, const HrForwardUnit *unit, int64_t now_ns,
     bool *any_usable)
{
    return HrServerSet_Pick(forward->config.servers, unit->service,
                            unit->tried, unit->attempt_count,
                            forward->config.rng, now_ns, any_usable);
}

/* Starts the first attempt, or the one after a failure. */
static void
try_unit(HrForward *forward, uint32_t index, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];
    bool any_usable;
    HrReplica *replica = pick(forward, unit, now_ns, &any_usable);

    if (replica != NULL) {
        start_attempt(forward, index, replica,
                      unit->attempt_count > 0 ? HR_FORWARD_CAUSE_RETRY
                                              : HR_FORWARD_CAUSE_FIRST,
                      now_ns);
    }
    else if (any_usable) {
        unit->waiting = true;
        unit->hedge_ns = now_ns + BUSY_AGAIN_NS;
    }
    else {
        fail_unit(forward, unit,
                  unit->attempt_count > 0 ? HR_FORWARD_REASON_ATTEMPTS
                                          : HR_FORWARD_REASON_NO_SERVER,
                  now_ns);
    }
}

/* Returns what a hedge would be for: once the required share is in, a further
 * shard only completes the answer. */
static HrRepeatNeed
hedge_need(const HrForward *forward)
{
    return forward->done_count >= forward->needed ? HR_REPEAT_OPTIONAL
                                                  : HR_REPEAT_REQUIRED;
}

/* Tries another server while the first attempt runs. */
static void
hedge_unit(HrForward *forward, uint32_t index, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];
    bool any_usable;
    HrReplica *replica = pick(forward, unit, now_ns, &any_usable);

    if (!any_usable) {
        unit->hedge_ns = HR_TIME_NEVER;
        return;
    }
    unit->hedge_ns = now_ns + HEDGE_AGAIN_NS;
    if (replica == NULL || now_ns < replica->refused_until_ns ||
        HrReplica_Cost(replica, now_ns) > HEDGE_COST_MAX) {
        return;
    }
    if (!HrRepeat_TakeForHedge(
            &unit->service->repeat,
            HrServerSet_RepeatLimits(forward->config.servers),
            hedge_need(forward), now_ns)) {
        forward->denied++;
        return;
    }
    start_attempt(forward, index, replica, HR_FORWARD_CAUSE_HEDGE, now_ns);
}

/* Returns true if a request that ended so may be sent to another server. */
static bool
may_repeat(const HrForward *forward, HrReply reply)
{
    switch (reply) {
    case HR_REPLY_DECLINED:
    case HR_REPLY_MISDIRECTED:
    case HR_REPLY_NOT_SENT:
        return true;
    case HR_REPLY_ERROR:
    case HR_REPLY_LOST:
    case HR_REPLY_MALFORMED:
        return forward->config.route->idempotent;
    case HR_REPLY_OK:
    case HR_REPLY_FINAL:
    case HR_REPLY_ABANDONED:
        return false;
    }
    return false;
}

/* Goes on after an attempt without a usable answer. */
static void
replace_attempt(HrForward *forward, uint32_t index, HrReply reply,
                int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];

    if (unit->running > 0) {
        unit->hedge_ns =
            may_attempt(forward, unit) && forward->config.route->idempotent
                ? now_ns
                : HR_TIME_NEVER;
        return;
    }
    if (!may_repeat(forward, reply) || !may_attempt(forward, unit)) {
        fail_unit(forward, unit, HR_FORWARD_REASON_ATTEMPTS, now_ns);
        return;
    }
    if (reply != HR_REPLY_NOT_SENT &&
        !HrRepeat_TakeForRetry(
            &unit->service->repeat,
            HrServerSet_RepeatLimits(forward->config.servers), now_ns)) {
        forward->denied++;
        fail_unit(forward, unit, HR_FORWARD_REASON_BUDGET, now_ns);
        return;
    }
    try_unit(forward, index, now_ns);
}

/* Takes an answer as the unit's. */
static void
win(HrForward *forward, uint32_t index, uint32_t attempt, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];

    unit->done = true;
    unit->winner = attempt;
    unit->waiting = false;
    unit->hedge_ns = HR_TIME_NEVER;
    forward->done_count++;
    HrForward_AbandonRunning(forward, index, true, now_ns);
    HrForward_CheckEnd(forward, HR_FORWARD_REASON_COMPLETE, now_ns);
}

/* Handles the end of an attempt. */
static void
handle_reply(HrForward *forward, const HrForwardEvent *event)
{
    uint32_t index = event->u.reply.unit, slot = event->u.reply.attempt;
    HrReply reply = event->u.reply.reply;
    HrForwardUnit *unit = &forward->units[index];
    HrAttempt *attempt = &unit->attempts[slot];
    int64_t started_ns = attempt->started_ns;

    if (attempt->replica == NULL) {
        return;
    }
    HrServerSet_EndAttempt(forward->config.servers, attempt, reply,
                           event->now_ns);
    unit->running--;
    switch (reply) {
    case HR_REPLY_OK:
        HrLatency_Record(&forward->stats->latency, event->now_ns - started_ns,
                         event->now_ns);
        win(forward, index, slot, event->now_ns);
        return;
    case HR_REPLY_FINAL:
        if (forward->config.route->kind != HR_FORWARD_SHARDS) {
            win(forward, index, slot, event->now_ns);
            return;
        }
        unit->maybe_run = true;
        break;
    case HR_REPLY_NOT_SENT:
        unit->counted--;
        break;
    case HR_REPLY_DECLINED:
    case HR_REPLY_MISDIRECTED:
    case HR_REPLY_ABANDONED:
        break;
    case HR_REPLY_ERROR:
    case HR_REPLY_LOST:
    case HR_REPLY_MALFORMED:
        unit->maybe_run = true;
        break;
    }
    /* A server's own failure is passed on when no other server is tried. */
    if (reply == HR_REPLY_ERROR &&
        forward->config.route->kind != HR_FORWARD_SHARDS &&
        unit->running == 0 &&
        (!may_repeat(forward, reply) || !may_attempt(forward, unit))) {
        win(forward, index, slot, event->now_ns);
        return;
    }
    replace_attempt(forward, index, reply, event->now_ns);
}

/* Handles what is due. */
static void
handle_timer(HrForward *forward, int64_t now_ns)
{
    uint32_t i;

    HrForward_CheckEnd(forward, HR_FORWARD_REASON_DEADLINE, now_ns);
    for (i = 0; i < forward->unit_count && !forward->finished; i++) {
        HrForwardUnit *unit = &forward->units[i];

        if (unit->done || unit->failed || now_ns < unit->hedge_ns) {
            continue;
        }
        if (unit->waiting) {
            try_unit(forward, i, now_ns);
        }
        else if (may_attempt(forward, unit)) {
            hedge_unit(forward, i, now_ns);
        }
        else {
            unit->hedge_ns = HR_TIME_NEVER;
        }
    }
}

/* Processes one event. */
void
HrForward_Handle(HrForward *forward, const HrForwardEvent *event)
{
    if (forward->finished) {
        return;
    }
    switch (event->kind) {
    case HR_FORWARD_EVENT_REPLY:
        handle_reply(forward, event);
        break;
    case HR_FORWARD_EVENT_TIMER:
        handle_timer(forward, event->now_ns);
        break;
    case HR_FORWARD_EVENT_CALLER_LEFT:
        HrForward_End(forward, HR_FORWARD_END_LEFT, HR_FORWARD_REASON_LEFT,
                      event->now_ns);
        break;
    }
}

/* Pops the next action. */
bool
HrForward_Next(HrForward *forward, HrForwardAction *action)
{
    if (forward->action_next == forward->action_count) {
        return false;
    }
    *action = forward->actions[forward->action_next++];
    return true;
}

/* Returns when a timer event is needed. */
int64_t
HrForward_NextTimer(const HrForward *forward)
{
    int64_t next_ns = forward->limit_ns;
    uint32_t i;

    if (forward->finished) {
        return HR_TIME_NEVER;
    }
    if (forward->done_count >= forward->needed &&
        forward->target_ns < next_ns) {
        next_ns = forward->target_ns;
    }
    for (i = 0; i < forward->unit_count; i++) {
        if (forward->units[i].hedge_ns < next_ns) {
            next_ns = forward->units[i].hedge_ns;
        }
    }
    return next_ns;
}

/* Returns the usual time of an attempt. */
int64_t
HrForward_UsualNs(const HrForward *forward)
{
    return forward->usual_ns;
}

/* Returns how often a repeat was wanted and not permitted. */
uint32_t
HrForward_Denied(const HrForward *forward)
{
    return forward->denied;
}

/* Returns the number of services that the request goes to. */
uint32_t
HrForward_UnitCount(const HrForward *forward)
{
    return forward->unit_count;
}

/* Returns what is known of one of them. */
const HrForwardUnit *
HrForward_Unit(const HrForward *forward, uint32_t unit)
{
    return &forward->units[unit];
}

/* Returns true once the FINISH action was created. */
bool
HrForward_IsFinished(const HrForward *forward)
{
    return forward->finished;
}

/* Starts a request. */
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
    forward->stats = HrServerSet_Route(config->servers, config->route->name);
    if (forward->stats == NULL || HrForward_AddUnits(forward) != HR_OK) {
        talloc_free(forward);
        return NULL;
    }
    forward->max_attempts = config->route->max_attempts;
    HrForward_SetTimes(forward);
    for (i = 0; i < forward->unit_count; i++) {
        HrRepeat_NoteRequest(&forward->units[i].service->repeat,
                             HrServerSet_RepeatLimits(config->servers),
                             now_ns);
    }
    for (i = 0; i < forward->unit_count && !forward->finished; i++) {
        try_unit(forward, i, now_ns);
    }
    return forward;
}
