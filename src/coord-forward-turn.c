#include "coord-forward-int.h"

#include "base-clock.h"

/* Interval at which a unit that waits for a turn checks whether it can still
 * be answered in time, also while the process is stopping. */
#define TURN_RECHECK_NS (100 * HR_NS_PER_MS)

/* Returns true if the units need turns. */
static bool
needs_turns(const HrForward *forward)
{
    return forward->config.table->tenants != NULL;
}

/* Returns the caller of the request's turns. */
static HrTurnCaller
get_caller(const HrForward *forward)
{
    return (HrTurnCaller){forward->config.tenant, forward->config.priority,
                          false};
}

/* Lets a unit start whose turn has come. */
static void
handle_granted_turn(void *arg)
{
    HrForwardUnit *unit = arg;

    unit->next_try_ns = unit->turn.held_since_ns;
    unit->forward->config.wake_fn(unit->forward->config.wake_arg);
}

bool
HrForward_TakeTurn(HrForward *forward, HrForwardUnit *unit, int64_t now_ns)
{
    HrTurnCaller caller = get_caller(forward);

    if (!needs_turns(forward)) {
        return true;
    }
    caller.was_declined = unit->attempt_count > 0;
    if (unit->turn.state == HR_TURN_NONE) {
        unit->forward = forward;
        unit->turn.granted_fn = handle_granted_turn;
        unit->turn.arg = unit;
        HrContention_RequestTurn(&unit->service->contention, &unit->turn,
                                 &caller, now_ns);
        if (unit->turn.state == HR_TURN_WAITING) {
            forward->wait_count++;
            HrServerSet_LogLimited(forward->config.servers, unit->service);
        }
    }
    if (unit->turn.state == HR_TURN_HELD) {
        return true;
    }
    unit->waiting = true;
    unit->next_try_ns = now_ns + TURN_RECHECK_NS;
    return false;
}

void
HrForward_EndTurn(HrForwardUnit *unit, HrAttemptOutcome outcome,
                  int64_t now_ns)
{
    HrTurnEnd end = outcome == HR_ATTEMPT_OUTCOME_OK         ? HR_TURN_SERVED
                    : outcome == HR_ATTEMPT_OUTCOME_DECLINED ? HR_TURN_DECLINED
                                                             : HR_TURN_ENDED;

    if (end == HR_TURN_SERVED || unit->running_count == 0) {
        HrContention_EndTurn(&unit->turn, end, now_ns);
    }
}

bool
HrForward_IsUnitLate(const HrForward *forward, const HrForwardUnit *unit,
                     int64_t now_ns)
{
    const HrContention *contention = &unit->service->contention;

    return needs_turns(forward) && unit->waiting &&
           HrContention_HasWaiting(contention) &&
           forward->answer_due_ns - now_ns <
               HrContention_GetMeanServiceNs(contention);
}

bool
HrForward_MayTakeRepeat(const HrForward *forward, const HrForwardUnit *unit,
                        HrAttemptOutcome outcome)
{
    return !needs_turns(forward) || outcome != HR_ATTEMPT_OUTCOME_DECLINED ||
           unit->service->contention.repeats.waiting == 0;
}

/* A burst that begins with many declined attempts uses up the limit of repeats
 * for some seconds. A request that met it would be refused although its turn
 * would come in time. */
bool
HrForward_AwaitRepeat(HrForward *forward, HrForwardUnit *unit,
                      HrAttemptOutcome outcome, int64_t now_ns)
{
    HrContention *contention = &unit->service->contention;
    const HrTurnCaller caller = get_caller(forward);

    if (!needs_turns(forward) || outcome != HR_ATTEMPT_OUTCOME_DECLINED ||
        !(HrContention_HasWaiting(contention) ||
          contention->repeats.waiting > 0) ||
        !HrContention_AwaitRepeat(contention, &unit->turn, &caller)) {
        return false;
    }
    unit->waiting = true;
    unit->next_try_ns = now_ns + TURN_RECHECK_NS;
    return true;
}

bool
HrForward_HasRepeat(HrForward *forward, HrForwardUnit *unit, int64_t now_ns)
{
    const HrRepeatLimits *limits =
        HrServerSet_GetRepeatLimits(forward->config.servers);

    if (unit->turn.state != HR_TURN_REPEAT) {
        return true;
    }
    if (!HrContention_IsNextRepeat(&unit->turn) ||
        (!HrRepeatBudget_TakeForRetry(&unit->service->repeat_budget, limits,
                                      now_ns) &&
         HrRepeatLimits_TakeShared(limits, unit->service->name, true,
                                   HR_REPEAT_REQUIRED,
                                   now_ns) != HR_LIMIT_GRANTED)) {
        unit->next_try_ns = now_ns + TURN_RECHECK_NS;
        return false;
    }
    HrContention_EndRepeat(&unit->turn);
    return true;
}

bool
HrForward_MayHedge(const HrForward *forward, const HrForwardUnit *unit)
{
    return !needs_turns(forward) ||
           !HrContention_HasWaiting(&unit->service->contention);
}

void
HrForward_RefuseIfOverloaded(HrForward *forward, int64_t now_ns)
{
    const HrTurnCaller caller = get_caller(forward);
    int64_t left_ns = forward->answer_due_ns - now_ns;
    uint32_t late_count = 0, i;

    if (!needs_turns(forward)) {
        return;
    }
    for (i = 0; i < forward->unit_count; i++) {
        late_count +=
            HrContention_EstimateNs(&forward->units[i].service->contention,
                                    &caller, now_ns) > left_ns;
    }
    if (forward->unit_count - late_count < forward->required_count) {
        HrForward_FinishRequest(forward, HR_FORWARD_END_REFUSE,
                                HR_FORWARD_REASON_OVERLOADED, now_ns);
    }
}

int64_t
HrForward_ScheduleReturn(const HrForward *forward, int64_t now_ns)
{
    const HrTurnCaller caller = get_caller(forward);
    int64_t available_ns =
        forward->answer_due_ns - forward->config.received_ns;
    int64_t longest_ns = 0;
    uint32_t i;

    for (i = 0; i < forward->unit_count && needs_turns(forward); i++) {
        HrContention *contention = &forward->units[i].service->contention;
        int64_t late_ns =
            HrContention_EstimateNs(contention, &caller, now_ns) -
            available_ns;
        int64_t delay_ns = HrContention_ScheduleReturn(
            contention, &caller, late_ns > 0 ? late_ns : 0, now_ns);

        longest_ns = delay_ns > longest_ns ? delay_ns : longest_ns;
    }
    return longest_ns;
}

uint32_t
HrForward_GetWaitCount(const HrForward *forward)
{
    return forward->wait_count;
}
