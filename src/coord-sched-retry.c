#include "coord-sched-int.h"

#define HEDGE_MIN_WAIT_NS (1 * HR_NS_PER_MS)
#define HEDGE_MIN_SAMPLES 20 /* latencies before the quantile is used */

/* A hedge for which the budget has no token is tried again after this time,
 * which is short because the hedge is already late. */
#define HEDGE_RETRY_NS (HR_NS_PER_MS / 2)

/* Below this level of the budget (from 0 to 1), hedges wait longer, so that
 * the tokens go to the slowest requests. */
#define LOW_BUDGET 0.9

/* A silent attempt for whose retry there is no token is checked again after
 * this time. */
#define SILENT_RECHECK_NS (2 * HR_NS_PER_MS)

/* Upper bound of the random delay before the first retry; it doubles with each
 * further attempt, up to RETRY_MAX_DOUBLINGS times. */
#define RETRY_BASE_DELAY_NS (1 * HR_NS_PER_MS)
#define RETRY_MAX_DOUBLINGS 6

/* Returns true if the server itself answered that it did not start. */
static bool
is_declined_by_server(HrSchedAttemptEnd end)
{
    return end == HR_SCHED_END_DECLINED || end == HR_SCHED_END_NO_VERSION ||
           end == HR_SCHED_END_SHED;
}

/* Returns true if another attempt is allowed after one that ended this way. A
 * non-idempotent request is sent again only if the server itself answered
 * that it did not start. */
static bool
may_retry(const HrSched *sched, const HrSchedSub *sub, HrSchedAttemptEnd end)
{
    if (sched->role.kind == HR_SCHED_ROLE_NONE ||
        sub->attempt_count >= HR_SCHED_MAX_ATTEMPTS) {
        return false;
    }
    return sub->request.idempotent || is_declined_by_server(end);
}

/* Delays the next attempt by a random time, whose bound grows with the number
 * of attempts. */
static void
delay_retry(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    uint32_t steps = sub->attempt_count - 1;
    int64_t bound_ns =
        RETRY_BASE_DELAY_NS
        << (steps < RETRY_MAX_DOUBLINGS ? steps : RETRY_MAX_DOUBLINGS);

    sub->state = HR_SCHED_SUB_DELAYED;
    sub->retry_ns =
        now_ns + 1 + (int64_t)HrRng_DrawBelow(sched->rng, (uint64_t)bound_ns);
    HrSchedSub_ArmTimer(sched, sub);
}

/* Retries or fails a sub-request after one of its attempts ended without a
 * usable answer, unless another attempt may still be answered. After a server
 * that declined or lacks the version, the retry goes out at once, because it
 * adds no load; otherwise a random delay keeps the retries of many
 * sub-requests from coming at the same time. */
void
HrSchedRetry_HandleAttemptEnd(HrSched *sched, HrSchedSub *sub,
                              HrSchedAttemptEnd end, int64_t now_ns)
{
    if (sub->live_count > 0) {
        HrSchedSub_ArmTimer(sched, sub);
        return;
    }
    if (HrSchedChoice_IsVersionUnavailable(sched, sub)) {
        HrSchedSub_Fail(sched, sub, HR_REASON_NO_VERSION, now_ns);
        return;
    }
    if (!may_retry(sched, sub, end)) {
        HrSchedSub_Fail(sched, sub, sub->reason, now_ns);
        return;
    }
    sub->needs_token = end == HR_SCHED_END_MAY_HAVE_RUN;
    sub->needs_fresh_connection = end == HR_SCHED_END_MAY_HAVE_RUN;
    if (end == HR_SCHED_END_DECLINED || end == HR_SCHED_END_NO_VERSION) {
        HrSchedSub_MakeReady(sched, sub);
        return;
    }
    delay_retry(sched, sub, now_ns);
}

/* Returns how long an attempt may take before it is hedged; HR_TIME_NEVER
 * when hedging is off or there are too few latencies for the quantile. */
static int64_t
get_hedge_wait_ns(const HrSched *sched)
{
    int64_t wait_ns;

    switch (sched->settings.hedge) {
    case HR_HEDGE_NONE:
        return HR_TIME_NEVER;
    case HR_HEDGE_FIXED:
        return sched->settings.hedge_delay_ns;
    case HR_HEDGE_TIED:
        return HEDGE_MIN_WAIT_NS; /* if none could be sent right away */
    case HR_HEDGE_QUANTILE:
        break;
    }
    if (sched->latency.hist.count < HEDGE_MIN_SAMPLES) {
        return HR_TIME_NEVER;
    }
    wait_ns = HrBudget_GetHedgeLevel(&sched->budget) < LOW_BUDGET
                  ? sched->low_budget_wait_ns
                  : sched->hedge_wait_ns;
    return wait_ns < HEDGE_MIN_WAIT_NS ? HEDGE_MIN_WAIT_NS : wait_ns;
}

/* Returns when an attempt that is sent now is to be hedged; HR_TIME_NEVER:
 * not at all, as for a non-idempotent request. */
int64_t
HrSchedRetry_ComputeHedgeTime(HrSched *sched, const HrSchedSub *sub,
                              int64_t now_ns)
{
    int64_t wait_ns =
        sub->request.idempotent ? get_hedge_wait_ns(sched) : HR_TIME_NEVER;

    return wait_ns == HR_TIME_NEVER ? HR_TIME_NEVER : now_ns + wait_ns;
}

/* Returns true if a sub-request may be hedged now: at most once, and only
 * while exactly one attempt may still be answered. */
static bool
may_hedge(const HrSched *sched, const HrSchedSub *sub)
{
    return sub->request.idempotent && !sub->is_hedged &&
           sub->live_count == 1 && sched->role.kind != HR_SCHED_ROLE_NONE &&
           sub->attempt_count < HR_SCHED_MAX_ATTEMPTS;
}

/* Appends a sub-request to the hedges that wait for a slot, unless it is
 * there. */
static void
add_waiting_hedge(HrSched *sched, HrSchedSub *sub)
{
    if (!sub->is_waiting_to_hedge) {
        sub->is_waiting_to_hedge = true;
        TAILQ_INSERT_TAIL(&sched->waiting_hedges, sub, in_waiting_hedges);
    }
}

/* Removes a sub-request from the list of waiting hedges, if it is there. */
void
HrSchedRetry_RemoveWaitingHedge(HrSched *sched, HrSchedSub *sub)
{
    if (sub->is_waiting_to_hedge) {
        sub->is_waiting_to_hedge = false;
        TAILQ_REMOVE(&sched->waiting_hedges, sub, in_waiting_hedges);
    }
}

/* Sends a hedge to a replica that was not tried yet. Without a free one, the
 * hedge waits for a slot; without a token it is tried again a little later. */
void
HrSchedRetry_SendHedge(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrSchedServer *server;

    sub->hedge_ns = HR_TIME_NEVER;
    if (!may_hedge(sched, sub)) {
        HrSchedRetry_RemoveWaitingHedge(sched, sub);
        return;
    }
    server = HrSchedChoice_FindServer(sched, sub, true, now_ns);
    if (server == NULL) {
        add_waiting_hedge(sched, sub);
        return;
    }
    HrSchedRetry_RemoveWaitingHedge(sched, sub);
    if (!HrBudget_TakeForHedge(&sched->budget)) {
        sub->hedge_ns = now_ns + HEDGE_RETRY_NS;
        HrSchedSub_ArmTimer(sched, sub);
        return;
    }
    sub->is_hedged = true;
    HrSchedAttempt_Send(sched, sub, server, HR_ATTEMPT_HEDGE, now_ns);
}

/* Sends the hedges that waited for a slot, except those of a lower priority
 * class than a request in the queue. The budget bounds the slots that hedges
 * take from other requests. */
void
HrSchedRetry_SendWaitingHedges(HrSched *sched, int64_t now_ns)
{
    HrSchedSub *sub, *next;

    for (sub = TAILQ_FIRST(&sched->waiting_hedges); sub != NULL; sub = next) {
        next = TAILQ_NEXT(sub, in_waiting_hedges);
        if (sched->free_servers.free_count == 0) {
            return;
        }
        if (!HrAdmit_HasWaitingAbove(sched->admit, sub->request.priority)) {
            HrSchedRetry_SendHedge(sched, sub, now_ns);
        }
    }
}

/* Takes a token for the retry of a sub-request, unless it has one already.
 * Returns false when the budget has none. */
static bool
take_retry_token(HrSched *sched, HrSchedSub *sub)
{
    if (!sub->has_token) {
        sub->has_token = HrBudget_TakeForRetry(&sched->budget);
    }
    return sub->has_token;
}

/* Cancels an attempt whose connection counts as silent. The only live attempt
 * stays if there is no token for a retry, because it may just be slow. Returns
 * true if it was cancelled. */
static bool
cancel_silent_attempt(HrSched *sched, HrSchedSub *sub, HrSchedAttempt *attempt,
                      int64_t now_ns)
{
    if (sub->live_count == 1 && !take_retry_token(sched, sub)) {
        attempt->silent_ns = now_ns + SILENT_RECHECK_NS;
        return false;
    }
    HrSchedAttempt_Cancel(sched, attempt, true, now_ns);
    return true;
}

/* Cancels the silent attempts of a sub-request, and retries it if no live
 * attempt is left. */
static void
cancel_silent_attempts(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrSchedAttempt *attempt;
    bool cancelled_any = false;

    for (attempt = LIST_FIRST(&sub->attempts); attempt != NULL;
         attempt = LIST_NEXT(attempt, in_sub)) {
        if (attempt->is_live && attempt->silent_ns <= now_ns &&
            cancel_silent_attempt(sched, sub, attempt, now_ns)) {
            cancelled_any = true;
        }
    }
    if (cancelled_any) {
        sub->reason = HR_REASON_CONNECTION;
        HrSchedRetry_HandleAttemptEnd(sched, sub, HR_SCHED_END_MAY_HAVE_RUN,
                                      now_ns);
    }
}

/* Makes a delayed retry ready, or delays it again if it needs a token and the
 * budget has none. */
static void
handle_due_retry(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    if (sub->needs_token && !take_retry_token(sched, sub)) {
        delay_retry(sched, sub, now_ns);
        return;
    }
    HrSchedSub_MakeReady(sched, sub);
}

/* Handles the timer of a sub-request with live attempts. */
static void
handle_running_timer(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    if (sub->hedge_ns <= now_ns) {
        HrSchedRetry_SendHedge(sched, sub, now_ns);
    }
    cancel_silent_attempts(sched, sub, now_ns);
}

/* Returns the reason to report for a sub-request that is not answered at its
 * deadline: that of the last failed attempt, if no attempt is live. */
static HrReason
pick_deadline_reason(const HrSchedSub *sub)
{
    return sub->live_count > 0 || sub->reason == HR_REASON_NONE
               ? HR_REASON_DEADLINE
               : sub->reason;
}

/* Handles the expiry of the timer of a sub-request. */
void
HrSchedRetry_HandleTimer(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    if (sub->state != HR_SCHED_SUB_DONE &&
        now_ns >= sub->request.deadline_ns - HR_SCHED_ANSWER_MARGIN_NS) {
        HrSchedSub_Fail(sched, sub, pick_deadline_reason(sub), now_ns);
        return;
    }
    switch (sub->state) {
    case HR_SCHED_SUB_DONE:
        HrSchedSub_Remove(sched, sub);
        return;
    case HR_SCHED_SUB_RUNNING:
        handle_running_timer(sched, sub, now_ns);
        break;
    case HR_SCHED_SUB_DELAYED:
        handle_due_retry(sched, sub, now_ns);
        break;
    case HR_SCHED_SUB_QUEUED:
    case HR_SCHED_SUB_READY:
        break;
    }
    if (sub->state != HR_SCHED_SUB_DONE) {
        HrSchedSub_ArmTimer(sched, sub);
    }
}
