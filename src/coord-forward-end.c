#include "coord-forward-int.h"

#include <string.h>
#include <talloc.h>

#include "base-clock.h"

/* Delay before the caller's next try if a service has no usable server, and in
 * all other cases, such as servers that are busy or shed load. */
#define RETRY_AFTER_NO_SERVER_NS (250 * HR_NS_PER_MS)
#define RETRY_AFTER_BUSY_NS (50 * HR_NS_PER_MS)

/* Callers that are refused because of a pause return within this share of its
 * rest after its end, but at least within the given time, so that they do not
 * all return at once. */
#define PAUSE_SPREAD_SHARE 0.25
#define PAUSE_SPREAD_MIN_NS (100 * HR_NS_PER_MS)

static const char *const reason_names[] = {
    "complete", "enough", "no_server", "attempts",   "budget",
    "deadline", "left",   "stopping",  "overloaded",
};

/* Returns the name of a reason for logs. */
const char *
HrForwardReason_GetName(HrForwardReason reason)
{
    return reason_names[reason];
}

/* Appends an action. Returns NULL if there is not enough memory. */
HrForwardAction *
HrForward_PushAction(HrForward *forward, HrForwardActionKind kind,
                     uint32_t unit, uint32_t attempt)
{
    uint32_t capacity = (uint32_t)talloc_array_length(forward->actions);
    HrForwardAction *action;

    if (forward->action_next == forward->action_count) {
        forward->action_next = 0;
        forward->action_count = 0;
    }
    if (forward->action_count == capacity) {
        HrForwardAction *grown =
            talloc_realloc(forward, forward->actions, HrForwardAction,
                           (size_t)capacity * 2 + 4);

        if (grown == NULL) {
            return NULL;
        }
        forward->actions = grown;
    }
    action = &forward->actions[forward->action_count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    action->unit = unit;
    action->attempt = attempt;
    return action;
}

/* Abandons the running attempts of a unit. */
void
HrForward_AbandonAttempts(HrForward *forward, uint32_t index,
                          bool keep_connection, int64_t now_ns)
{
    HrForwardUnit *unit = &forward->units[index];
    uint32_t i;

    for (i = 0; i < unit->attempt_count; i++) {
        HrForwardAction *action;

        if (unit->attempts[i].replica == NULL) {
            continue;
        }
        HrServerSet_EndAttempt(forward->config.servers, &unit->attempts[i],
                               HR_ATTEMPT_OUTCOME_ABANDONED, now_ns);
        unit->running_count--;
        action =
            HrForward_PushAction(forward, HR_FORWARD_ACTION_ABANDON, index, i);
        if (action != NULL) {
            action->u.abandon.keep_connection = keep_connection;
        }
    }
}

/* Returns how many units have a server at a time: one now, one whose pause
 * ends by then, or for a unit without either, one that a new list may contain
 * after the default delay. Sets *next_ns to the first later time at which
 * there are more. */
static uint32_t
count_served_units(const HrForward *forward, int64_t at_ns, int64_t now_ns,
                   int64_t *next_ns)
{
    uint32_t count = 0, i;

    *next_ns = HR_TIME_NEVER;
    for (i = 0; i < forward->unit_count; i++) {
        int64_t resume_ns =
            HrServerSet_GetResumeNs(forward->units[i].service, now_ns);

        if (resume_ns == HR_TIME_NEVER) {
            resume_ns = now_ns + RETRY_AFTER_NO_SERVER_NS;
        }
        if (resume_ns <= at_ns) {
            count++;
        }
        else if (resume_ns < *next_ns) {
            *next_ns = resume_ns;
        }
    }
    return count;
}

/* Returns when a caller should return that is refused until at_ns: later if a
 * service has only cold servers, which serve the refused callers one after the
 * other. */
static int64_t
defer_to_cold_servers(const HrForward *forward, int64_t at_ns, int64_t now_ns)
{
    int64_t last_ns = at_ns;
    uint32_t i;

    for (i = 0; i < forward->unit_count; i++) {
        HrService *service = forward->units[i].service;
        int64_t free_ns = HrServerSet_GetColdFreeNs(service, NULL, 0, now_ns);

        if (free_ns > now_ns && free_ns <= at_ns) {
            int64_t promised_ns = HrServerSet_PromiseColdNs(service, now_ns);

            last_ns = promised_ns > last_ns ? promised_ns : last_ns;
        }
    }
    return last_ns;
}

/* Returns how long a refused caller should wait: until enough units have a
 * server again, and a random time longer if that is the end of a
 * pause. */
static int64_t
compute_retry_after_ns(const HrForward *forward, HrForwardReason reason,
                       int64_t now_ns)
{
    int64_t at_ns = now_ns, next_ns, spread_ns, return_ns;

    while (count_served_units(forward, at_ns, now_ns, &next_ns) <
               forward->required_count &&
           next_ns != HR_TIME_NEVER) {
        at_ns = next_ns;
    }
    return_ns = HrForward_ScheduleReturn(forward, now_ns);
    if (now_ns + return_ns > at_ns) {
        at_ns = now_ns + return_ns;
    }
    if (at_ns == now_ns || at_ns == now_ns + RETRY_AFTER_NO_SERVER_NS) {
        return reason == HR_FORWARD_REASON_NO_SERVER ? RETRY_AFTER_NO_SERVER_NS
                                                     : RETRY_AFTER_BUSY_NS;
    }
    at_ns = defer_to_cold_servers(forward, at_ns, now_ns);
    spread_ns = (int64_t)(PAUSE_SPREAD_SHARE * (double)(at_ns - now_ns));
    spread_ns =
        spread_ns > PAUSE_SPREAD_MIN_NS ? spread_ns : PAUSE_SPREAD_MIN_NS;
    return at_ns - now_ns +
           (int64_t)HrRng_DrawBelow(forward->config.rng, (uint64_t)spread_ns);
}

/* Abandons all running attempts and queues the FINISH action. */
void
HrForward_FinishRequest(HrForward *forward, HrForwardEnd end,
                        HrForwardReason reason, int64_t now_ns)
{
    bool keep_connection =
        end == HR_FORWARD_END_MERGE || end == HR_FORWARD_END_PASS_ON;
    HrForwardAction *action;
    uint32_t i;

    if (forward->finished) {
        return;
    }
    forward->finished = true;
    for (i = 0; i < forward->unit_count; i++) {
        HrForward_AbandonAttempts(forward, i, keep_connection, now_ns);
        HrContention_EndTurn(&forward->units[i].turn, HR_TURN_ENDED, now_ns);
    }
    action = HrForward_PushAction(forward, HR_FORWARD_ACTION_FINISH, 0, 0);
    if (action == NULL) {
        return;
    }
    action->u.finish.end = end;
    action->u.finish.reason = reason;
    if (keep_connection) {
        HrLatency_Record(&forward->stats->answer,
                         now_ns - forward->config.received_ns, now_ns);
    }
    if (end == HR_FORWARD_END_PASS_ON) {
        action->attempt = forward->units[0].winner;
    }
    if (end == HR_FORWARD_END_REFUSE) {
        action->u.finish.retry_after_ns =
            compute_retry_after_ns(forward, reason, now_ns);
    }
}

/* Returns true if any attempt may have run on a server. */
bool
HrForward_MayHaveRun(const HrForward *forward)
{
    uint32_t i;

    for (i = 0; i < forward->unit_count; i++) {
        const HrForwardUnit *unit = &forward->units[i];

        if (unit->may_have_run || unit->running_count > 0 || unit->done) {
            return true;
        }
    }
    return false;
}

/* Ends the request if enough units are done or too many have failed, or if the
 * answer is due. */
void
HrForward_FinishIfDecided(HrForward *forward, HrForwardReason reason,
                          int64_t now_ns)
{
    bool shards = forward->config.route->kind == HR_FORWARD_SHARDS;
    uint32_t pending_count =
        forward->unit_count - forward->done_count - forward->failed_count;

    if (forward->finished) {
        return;
    }
    if (forward->done_count >= forward->required_count &&
        (pending_count == 0 || now_ns >= forward->partial_due_ns ||
         now_ns >= forward->answer_due_ns)) {
        HrForward_FinishRequest(
            forward, shards ? HR_FORWARD_END_MERGE : HR_FORWARD_END_PASS_ON,
            pending_count == 0 ? HR_FORWARD_REASON_COMPLETE
                               : HR_FORWARD_REASON_ENOUGH,
            now_ns);
    }
    else if (forward->done_count + pending_count < forward->required_count) {
        HrForward_FinishRequest(forward,
                                HrForward_MayHaveRun(forward)
                                    ? HR_FORWARD_END_FAIL
                                    : HR_FORWARD_END_REFUSE,
                                reason, now_ns);
    }
    else if (now_ns >= forward->answer_due_ns) {
        HrForward_FinishRequest(forward,
                                HrForward_MayHaveRun(forward)
                                    ? HR_FORWARD_END_TIMEOUT
                                    : HR_FORWARD_END_REFUSE,
                                forward->due_reason, now_ns);
    }
}

bool
HrForward_RefuseIfTooLate(HrForward *forward, int64_t now_ns)
{
    if (!forward->finished && now_ns > forward->last_start_ns &&
        !HrForward_MayHaveRun(forward)) {
        HrForward_FinishRequest(forward, HR_FORWARD_END_REFUSE,
                                HR_FORWARD_REASON_STOPPING, now_ns);
    }
    return forward->finished;
}
