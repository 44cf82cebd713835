#include "coord-sched-int.h"

#define HEDGE_MIN_WAIT_NS (1 * HR_NS_PER_MS)
#define HEDGE_MIN_SAMPLES 20

/* A hedge that finds no token is tried again after this time: often, because
 * it is late already. */
#define HEDGE_POSTPONE_NS (HR_NS_PER_MS / 2)

/* Below this level of the budget, hedges wait for longer, so that the tokens
 * go to the slowest requests. */
#define LOW_BUDGET 0.9

/* A silent attempt that cannot be replaced yet is looked at again. */
#define SILENT_POSTPONE_NS (2 * HR_NS_PER_MS)

/* Bound of the random delay before the first retry; doubled for each one. */
#define RETRY_BASE_NS (1 * HR_NS_PER_MS)
#define RETRY_MAX_STEPS 6

/* Returns true if the server itself said that it did not start. */
static bool
is_explicit_decline(HrSchedEnd end)
{
    return end == HR_SCHED_END_DECLINED || end == HR_SCHED_END_NO_VERSION ||
           end == HR_SCHED_END_SHED;
}

/* Returns true if another attempt is permitted after such an end. */
static bool
may_retry(const HrSched *sched, const HrSchedSub *sub, HrSchedEnd end)
{
    if (sched->role.kind == HR_SCHED_ROLE_NONE ||
        sub->attempt_count >= HR_SCHED_MAX_ATTEMPTS) {
        return false;
    }
    return sub->request.idempotent || is_explicit_decline(end);
}

/* Puts off the next attempt by a random delay. */
static void
delay_retry(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    uint32_t steps = sub->attempt_count - 1;
    int64_t bound_ns = RETRY_BASE_NS
                       << (steps < RETRY_MAX_STEPS ? steps : RETRY_MAX_STEPS);

    sub->state = HR_SCHED_SUB_DELAYED;
    sub->retry_ns =
        now_ns + 1 + (int64_t)HrRng_Below(sched->rng, (uint64_t)bound_ns);
    HrSchedSub_Arm(sched, sub);
}

/* Decides what follows an attempt that ended without an answer. A server that
 * declined or lacks the version is replaced at once, because that adds no
 * load; otherwise a random delay keeps retries from coming in step. */
void
HrSchedRetry_AfterEnd(HrSched *sched, HrSchedSub *sub, HrSchedEnd end,
                      int64_t now_ns)
{
    if (sub->live > 0) {
        HrSchedSub_Arm(sched, sub);
        return;
    }
    if (HrSchedChoice_NoneHolds(sched, sub)) {
        HrSchedSub_GiveUp(sched, sub, HR_REASON_NO_VERSION, now_ns);
        return;
    }
    if (!may_retry(sched, sub, end)) {
        HrSchedSub_GiveUp(sched, sub, sub->reason, now_ns);
        return;
    }
    sub->needs_token = end == HR_SCHED_END_MAY_HAVE_RUN;
    sub->must_open = end == HR_SCHED_END_MAY_HAVE_RUN;
    if (end == HR_SCHED_END_DECLINED || end == HR_SCHED_END_NO_VERSION) {
        HrSchedSub_MakeReady(sched, sub);
        return;
    }
    delay_retry(sched, sub, now_ns);
}

/* Returns how long an attempt may take before it is hedged; HR_TIME_NEVER
 * when that is not known yet. */
static int64_t
hedge_wait_ns(const HrSched *sched)
{
    int64_t wait_ns;

    switch (sched->policy.hedge) {
    case HR_HEDGE_NONE:
        return HR_TIME_NEVER;
    case HR_HEDGE_FIXED:
        return sched->policy.hedge_delay_ns;
    case HR_HEDGE_TIED:
        return HEDGE_MIN_WAIT_NS; /* if it could not be sent at once */
    case HR_HEDGE_QUANTILE:
        break;
    }
    if (sched->latency.hist.count < HEDGE_MIN_SAMPLES) {
        return HR_TIME_NEVER;
    }
    wait_ns = HrBudget_GetHedgeLevel(&sched->budget) < LOW_BUDGET
                  ? sched->hedge_late_wait_ns
                  : sched->hedge_wait_ns;
    return wait_ns < HEDGE_MIN_WAIT_NS ? HEDGE_MIN_WAIT_NS : wait_ns;
}

/* Returns when a first attempt that is sent now is to be hedged. */
int64_t
HrSchedRetry_HedgeTime(HrSched *sched, const HrSchedSub *sub, int64_t now_ns)
{
    int64_t wait_ns =
        sub->request.idempotent ? hedge_wait_ns(sched) : HR_TIME_NEVER;

    return wait_ns == HR_TIME_NEVER ? HR_TIME_NEVER : now_ns + wait_ns;
}

/* Returns true if the sub-request may still be hedged. */
static bool
may_hedge(const HrSched *sched, const HrSchedSub *sub)
{
    return sub->request.idempotent && !sub->is_hedged && sub->live == 1 &&
           sched->role.kind != HR_SCHED_ROLE_NONE &&
           sub->attempt_count < HR_SCHED_MAX_ATTEMPTS;
}

/* Makes the sub-request wait for a slot for its hedge. */
static void
await_hedge(HrSched *sched, HrSchedSub *sub)
{
    if (!sub->awaits_hedge) {
        sub->awaits_hedge = true;
        TAILQ_INSERT_TAIL(&sched->hedges, sub, in_hedges);
    }
}

/* Takes a sub-request out of the hedges that wait, if it is there. */
void
HrSchedRetry_ForgetHedge(HrSched *sched, HrSchedSub *sub)
{
    if (sub->awaits_hedge) {
        sub->awaits_hedge = false;
        TAILQ_REMOVE(&sched->hedges, sub, in_hedges);
    }
}

/* Sends a hedge to another replica if budget and servers allow it. */
void
HrSchedRetry_Hedge(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrSchedServer *server;

    sub->hedge_ns = HR_TIME_NEVER;
    if (!may_hedge(sched, sub)) {
        HrSchedRetry_ForgetHedge(sched, sub);
        return;
    }
    server = HrSchedChoice_Find(sched, sub, true, now_ns);
    if (server == NULL) {
        await_hedge(sched, sub);
        return;
    }
    HrSchedRetry_ForgetHedge(sched, sub);
    if (!HrBudget_TakeForHedge(&sched->budget)) {
        sub->hedge_ns = now_ns + HEDGE_POSTPONE_NS;
        HrSchedSub_Arm(sched, sub);
        return;
    }
    sub->is_hedged = true;
    HrSchedAttempt_Send(sched, sub, server, HR_ATTEMPT_HEDGE, now_ns);
}

/* Sends the hedges that waited for a slot, except before waiting requests of
 * a higher class. The budget bounds what this takes from others. */
void
HrSchedRetry_DispatchHedges(HrSched *sched, int64_t now_ns)
{
    HrSchedSub *sub, *next;

    for (sub = TAILQ_FIRST(&sched->hedges); sub != NULL; sub = next) {
        next = TAILQ_NEXT(sub, in_hedges);
        if (sched->select.free_count == 0) {
            return;
        }
        if (!HrAdmit_HasWaitingAbove(sched->admit, sub->request.priority)) {
            HrSchedRetry_Hedge(sched, sub, now_ns);
        }
    }
}

/* Takes the token for a retry, unless it is taken already. Returns false when
 * there is none. */
static bool
take_retry_token(HrSched *sched, HrSchedSub *sub)
{
    if (!sub->has_token) {
        sub->has_token = HrBudget_TakeForRetry(&sched->budget);
    }
    return sub->has_token;
}

/* Gives up an attempt as silent. Without a token for a retry it is better to
 * wait on, in case it is only slow. Returns true if it was given up. */
static bool
give_up_silent(HrSched *sched, HrSchedSub *sub, HrSchedAttempt *attempt,
               int64_t now_ns)
{
    if (sub->live == 1 && !take_retry_token(sched, sub)) {
        attempt->silent_ns = now_ns + SILENT_POSTPONE_NS;
        return false;
    }
    HrSchedAttempt_Cancel(sched, attempt, true, now_ns);
    return true;
}

/* Gives up the silent attempts of a sub-request and retries it. */
static void
handle_silent(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrSchedAttempt *attempt;
    bool any = false;

    for (attempt = LIST_FIRST(&sub->attempts); attempt != NULL;
         attempt = LIST_NEXT(attempt, in_sub)) {
        if (attempt->is_live && attempt->silent_ns <= now_ns &&
            give_up_silent(sched, sub, attempt, now_ns)) {
            any = true;
        }
    }
    if (any) {
        sub->reason = HR_REASON_CONNECTION;
        HrSchedRetry_AfterEnd(sched, sub, HR_SCHED_END_MAY_HAVE_RUN, now_ns);
    }
}

/* Sends a delayed retry on its way, or delays it again without a token. */
static void
handle_retry(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    if (sub->needs_token && !take_retry_token(sched, sub)) {
        delay_retry(sched, sub, now_ns);
        return;
    }
    HrSchedSub_MakeReady(sched, sub);
}

/* Handles the timer of a sub-request in flight. */
static void
handle_running(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    if (sub->hedge_ns <= now_ns) {
        HrSchedRetry_Hedge(sched, sub, now_ns);
    }
    handle_silent(sched, sub, now_ns);
}

/* Returns why a sub-request is missing at its deadline. */
static HrReason
deadline_reason(const HrSchedSub *sub)
{
    return sub->live > 0 || sub->reason == HR_REASON_NONE ? HR_REASON_DEADLINE
                                                          : sub->reason;
}

/* Handles the timer of a sub-request. */
void
HrSchedRetry_Timer(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    if (sub->state != HR_SCHED_SUB_DONE &&
        now_ns >= sub->request.deadline_ns - HR_SCHED_MARGIN_NS) {
        HrSchedSub_GiveUp(sched, sub, deadline_reason(sub), now_ns);
        return;
    }
    switch (sub->state) {
    case HR_SCHED_SUB_DONE:
        HrSchedSub_Forget(sched, sub);
        return;
    case HR_SCHED_SUB_RUNNING:
        handle_running(sched, sub, now_ns);
        break;
    case HR_SCHED_SUB_DELAYED:
        handle_retry(sched, sub, now_ns);
        break;
    case HR_SCHED_SUB_QUEUED:
    case HR_SCHED_SUB_READY:
        break;
    }
    if (sub->state != HR_SCHED_SUB_DONE) {
        HrSchedSub_Arm(sched, sub);
    }
}
