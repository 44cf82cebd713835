#include <string.h>
#include <talloc.h>

#include "base-error.h"
#include "coord-sched-int.h"

/* Up to this many sub-requests that no free server suits, for instance because
 * they need a certain version, do not keep others from being admitted. */
#define MAX_BLOCKED_IGNORED 64

/* The group counts as overloaded while its queue is longer than this many
 * times its slots. With a factor of 1, two simultaneous queries counted as
 * overload in a group of six slots, and their slow requests were not
 * hedged. */
#define OVERLOAD_FACTOR 2

static int
compare_queries(const HrQueryId *left, const HrQueryId *right)
{
    if (left->daemon_id != right->daemon_id) {
        return left->daemon_id < right->daemon_id ? -1 : 1;
    }
    if (left->incarnation != right->incarnation) {
        return left->incarnation < right->incarnation ? -1 : 1;
    }
    return (left->counter > right->counter) - (left->counter < right->counter);
}

/* Orders sub-requests by query and sub id. */
static int
compare_subs(const HrSchedSub *left, const HrSchedSub *right)
{
    int order = compare_queries(&left->request.query, &right->request.query);

    if (order != 0) {
        return order;
    }
    return (left->request.sub_id > right->request.sub_id) -
           (left->request.sub_id < right->request.sub_id);
}

HR_RB_GENERATE_STATIC(HrSchedSubTree, HrSchedSub, by_key, compare_subs)

/* Returns the sub-request with a key, or NULL. */
static HrSchedSub *
find_sub(HrSched *sched, const HrQueryId *query, uint32_t sub_id)
{
    HrSchedSub key;

    key.request.query = *query;
    key.request.sub_id = sub_id;
    return RB_FIND(HrSchedSubTree, &sched->subs, &key);
}

/* Declines a sub-request that is not stored. */
static void
decline_request(HrSched *sched, const HrSubRequest *request, HrReason reason)
{
    HrSubAnswer answer = {
        .query = request->query,
        .sub_id = request->sub_id,
        .shard = request->shard,
        .version = request->version,
        .outcome = HR_OUTCOME_DECLINED,
        .reason = reason,
    };

    sched->decline_action.action.kind = HR_SCHED_SUB_ANSWER;
    sched->decline_action.action.u.sub_answer = answer;
    HrSched_AppendAction(sched, &sched->decline_action);
}

/* Copies a request with all that it points to. Returns false when out of
 * memory. */
static bool
copy_request(HrSched *sched, HrSchedSub *sub, const HrSubRequest *request)
{
    HrSubRequest *copy = &sub->request;

    *copy = *request;
    copy->pool = sched->pool;
    copy->group = sched->group;
    copy->shard = talloc_strdup(sub, request->shard);
    copy->caller =
        request->caller == NULL ? NULL : talloc_strdup(sub, request->caller);
    copy->payload.data = talloc_memdup(sub, request->payload.data,
                                       request->payload.length_bytes);
    return copy->shard != NULL &&
           (copy->caller != NULL || request->caller == NULL) &&
           (copy->payload.data != NULL || request->payload.data == NULL);
}

/* Creates a sub-request that is in no list yet. Returns NULL when out of
 * memory. */
static HrSchedSub *
create_sub(HrSched *sched, const HrSubRequest *request)
{
    HrSchedSub *sub = talloc_zero(sched, HrSchedSub);

    if (sub == NULL) {
        return NULL;
    }
    if (!copy_request(sched, sub, request)) {
        talloc_free(sub);
        return NULL;
    }
    if (sub->request.priority >= HR_ADMIT_CLASSES) {
        sub->request.priority = HR_ADMIT_CLASSES - 1;
    }
    sub->timer.kind = HR_SCHED_TIMER_SUB;
    sub->timer.owner = sub;
    sub->hedge_ns = HR_TIME_NEVER;
    sub->retry_ns = HR_TIME_NEVER;
    return sub;
}

/* Passes a sub-request to admission, with its address as the id. Returns 0 or
 * an error code. */
static int
enqueue_sub(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_ARRIVE, .now_ns = now_ns};

    event.u.arrive.id = (uint64_t)(uintptr_t)sub;
    event.u.arrive.priority = sub->request.priority;
    event.u.arrive.caller = sub->request.caller;
    event.u.arrive.deadline_ns =
        sub->request.deadline_ns - HR_SCHED_ANSWER_MARGIN_NS;
    return HrAdmit_HandleEvent(sched->admit, &event);
}

/* Queues a new sub-request, or declines it. A duplicate is ignored. Returns 0
 * or HR_ERR_NO_MEMORY, after which it is declined. */
int
HrSchedSub_HandleRequest(HrSched *sched, const HrSubRequest *request,
                         int64_t now_ns)
{
    HrSchedSub *sub;

    if (find_sub(sched, &request->query, request->sub_id) != NULL) {
        return HR_OK; /* a duplicate */
    }
    if (sched->role.kind == HR_SCHED_ROLE_NONE) {
        decline_request(sched, request, HR_REASON_NOT_SCHEDULER);
        return HR_OK;
    }
    if (sched->serving_count == 0) {
        decline_request(sched, request, HR_REASON_NO_SERVER);
        return HR_OK;
    }
    sub = create_sub(sched, request);
    if (sub == NULL || enqueue_sub(sched, sub, now_ns) != HR_OK) {
        talloc_free(sub);
        decline_request(sched, request, HR_REASON_OVERLOADED);
        return HR_ERR_NO_MEMORY;
    }
    RB_INSERT(HrSchedSubTree, &sched->subs, sub);
    sched->pending_count++;
    HrSchedSub_ArmTimer(sched, sub);
    return HR_OK;
}

/* Removes a sub-request from admission. The service time counts only if it was
 * answered. */
static void
remove_from_admission(HrSched *sched, HrSchedSub *sub, bool answered,
                      int64_t now_ns)
{
    HrAdmitEvent event = {.now_ns = now_ns};
    uint64_t id = (uint64_t)(uintptr_t)sub;

    if (sub->state == HR_SCHED_SUB_QUEUED) {
        event.kind = HR_ADMIT_WITHDRAW;
        event.u.withdraw_id = id;
    }
    else {
        event.kind = HR_ADMIT_FINISH;
        event.u.finish.id = id;
        event.u.finish.service_ns = answered ? now_ns - sub->admitted_ns : -1;
    }
    HrAdmit_HandleEvent(sched->admit, &event);
}

/* Removes an answered sub-request; it is freed once the pending actions are
 * popped. */
void
HrSchedSub_Remove(HrSched *sched, HrSchedSub *sub)
{
    RB_REMOVE(HrSchedSubTree, &sched->subs, sub);
    SLIST_INSERT_HEAD(&sched->subs_to_free, sub, in_to_free);
}

/* Appends the sub-answer and removes the sub-request. A non-idempotent one
 * that was sent is kept until its deadline, so that a duplicate of the message
 * does not run it again. */
static void
finish_sub(HrSched *sched, HrSchedSub *sub, const HrSubAnswer *answer,
           int64_t now_ns)
{
    sub->answer.action.kind = HR_SCHED_SUB_ANSWER;
    sub->answer.action.u.sub_answer = *answer;
    sub->answer.action.u.sub_answer.query = sub->request.query;
    sub->answer.action.u.sub_answer.sub_id = sub->request.sub_id;
    sub->answer.action.u.sub_answer.shard = sub->request.shard;
    sub->answer.action.u.sub_answer.version = sub->request.version;
    HrSched_AppendAction(sched, &sub->answer);
    HrSchedSub_RemoveFromReady(sched, sub);
    HrSchedRetry_RemoveWaitingHedge(sched, sub);
    HrSchedAttempt_DetachAll(sched, sub, now_ns);
    remove_from_admission(sched, sub, answer->outcome == HR_OUTCOME_ANSWERED,
                          now_ns);
    sched->pending_count--;
    sub->state = HR_SCHED_SUB_DONE;
    if (sub->request.idempotent || sub->attempt_count == 0 ||
        sub->request.deadline_ns <= now_ns) {
        HrTimerSet_Clear(&sched->timers, &sub->timer);
        HrSchedSub_Remove(sched, sub);
        return;
    }
    HrTimerSet_Set(&sched->timers, &sub->timer, sub->request.deadline_ns);
}

/* Ends a sub-request with the answer of a server, and cancels the other
 * attempts. */
void
HrSchedSub_Answer(HrSched *sched, HrSchedSub *sub, const char *server,
                  HrBytes payload, int64_t now_ns)
{
    HrSubAnswer answer = {
        .outcome = HR_OUTCOME_ANSWERED,
        .reason = HR_REASON_NONE,
        .server = server,
        .payload = payload,
    };

    finish_sub(sched, sub, &answer, now_ns);
}

/* Ends a sub-request without the answer of a server. The outcome is
 * HR_OUTCOME_UNKNOWN if an attempt may have run. */
void
HrSchedSub_Fail(HrSched *sched, HrSchedSub *sub, HrReason reason,
                int64_t now_ns)
{
    HrSubAnswer answer = {.outcome = HR_OUTCOME_DECLINED, .reason = reason};

    if (sub->attempt_count > sub->not_started_count) {
        answer.outcome = HR_OUTCOME_UNKNOWN;
    }
    else if (reason == HR_REASON_NO_VERSION) {
        answer.outcome = HR_OUTCOME_NO_VERSION;
    }
    finish_sub(sched, sub, &answer, now_ns);
}

/* Ends a sub-request that the entry daemon withdraws. */
void
HrSchedSub_HandleCancel(HrSched *sched, const HrSchedCancel *cancel,
                        int64_t now_ns)
{
    HrSchedSub *sub = find_sub(sched, &cancel->query, cancel->sub_id);

    if (sub != NULL && sub->state != HR_SCHED_SUB_DONE) {
        HrSchedSub_Fail(sched, sub, cancel->reason, now_ns);
    }
}

/* Appends a sub-request to the list of those that wait for a suitable
 * server. */
void
HrSchedSub_MakeReady(HrSched *sched, HrSchedSub *sub)
{
    sub->state = HR_SCHED_SUB_READY;
    sub->is_blocked = false;
    TAILQ_INSERT_TAIL(&sched->ready[sub->request.priority], sub, in_ready);
    sched->ready_count++;
    HrSchedSub_ArmTimer(sched, sub);
}

/* Removes a sub-request from the list of ready ones, if it is there. */
void
HrSchedSub_RemoveFromReady(HrSched *sched, HrSchedSub *sub)
{
    if (sub->state != HR_SCHED_SUB_READY) {
        return;
    }
    TAILQ_REMOVE(&sched->ready[sub->request.priority], sub, in_ready);
    if (sub->is_blocked) {
        sched->blocked_count--;
    }
    else {
        sched->ready_count--;
    }
    sub->is_blocked = false;
}

/* Records whether a ready sub-request is blocked: no free server suits it. */
static void
set_blocked(HrSched *sched, HrSchedSub *sub, bool is_blocked)
{
    if (sub->is_blocked == is_blocked) {
        return;
    }
    sub->is_blocked = is_blocked;
    sched->blocked_count += is_blocked ? 1 : -1;
    sched->ready_count -= is_blocked ? 1 : -1;
}

/* Sets the timer of a sub-request to its next retry, hedge, silence check or
 * deadline, whichever comes first. */
void
HrSchedSub_ArmTimer(HrSched *sched, HrSchedSub *sub)
{
    int64_t next_ns = sub->request.deadline_ns - HR_SCHED_ANSWER_MARGIN_NS;
    const HrSchedAttempt *attempt;

    if (sub->state == HR_SCHED_SUB_DELAYED && sub->retry_ns < next_ns) {
        next_ns = sub->retry_ns;
    }
    if (sub->state == HR_SCHED_SUB_RUNNING) {
        if (sub->hedge_ns < next_ns) {
            next_ns = sub->hedge_ns;
        }
        LIST_FOREACH (attempt, &sub->attempts, in_sub) {
            if (attempt->is_live && attempt->silent_ns < next_ns) {
                next_ns = attempt->silent_ns;
            }
        }
    }
    HrTimerSet_Set(&sched->timers, &sub->timer, next_ns);
}

/* Fails every sub-request that has no live attempt. */
void
HrSchedSub_FailAllWaiting(HrSched *sched, HrReason reason, int64_t now_ns)
{
    HrSchedSub *sub, *next;

    for (sub = RB_MIN(HrSchedSubTree, &sched->subs); sub != NULL; sub = next) {
        next = RB_NEXT(HrSchedSubTree, &sched->subs, sub);
        if (sub->state != HR_SCHED_SUB_RUNNING &&
            sub->state != HR_SCHED_SUB_DONE) {
            HrSchedSub_Fail(sched, sub, reason, now_ns);
        }
    }
}

/* Carries out the actions of admission: makes the admitted sub-requests ready
 * and fails the rejected ones. Returns true if there were any actions. */
static bool
handle_admission_actions(HrSched *sched, int64_t now_ns)
{
    HrAdmitAction action;
    bool any = false;

    while (HrAdmit_PopAction(sched->admit, &action)) {
        HrSchedSub *sub = (HrSchedSub *)(uintptr_t)action.id;

        any = true;
        if (action.kind == HR_ADMIT_START) {
            sub->admitted_ns = now_ns;
            HrSchedSub_MakeReady(sched, sub);
        }
        else {
            HrSchedSub_Fail(sched, sub, action.reason, now_ns);
        }
    }
    return any;
}

/* Sends one ready sub-request if a free server suits it; otherwise it counts
 * as blocked. With tied hedging, a hedge follows at once. */
static void
dispatch_sub(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrAttemptKind kind =
        sub->attempt_count == 0 ? HR_ATTEMPT_FIRST : HR_ATTEMPT_RETRY;
    HrSchedServer *server;

    if (now_ns >= sub->request.deadline_ns - HR_SCHED_ANSWER_MARGIN_NS) {
        HrSchedSub_Fail(sched, sub, HR_REASON_DEADLINE, now_ns);
        return;
    }
    server = HrSchedChoice_FindServer(sched, sub, false, now_ns);
    if (server == NULL) {
        set_blocked(sched, sub, true);
        return;
    }
    if (HrSchedAttempt_Send(sched, sub, server, kind, now_ns) != HR_OK) {
        HrSchedSub_Fail(sched, sub, HR_REASON_OVERLOADED, now_ns);
        return;
    }
    if (sched->settings.hedge == HR_HEDGE_TIED) {
        HrSchedRetry_SendHedge(sched, sub, now_ns);
    }
}

/* Sends ready sub-requests while servers are free, higher priority classes
 * first. */
static void
dispatch_ready(HrSched *sched, int64_t now_ns)
{
    HrSchedSub *sub, *next;
    uint32_t i;

    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        TAILQ_FOREACH_SAFE (sub, &sched->ready[i], in_ready, next) {
            if (sched->free_servers.free_count == 0) {
                return;
            }
            dispatch_sub(sched, sub, now_ns);
        }
    }
}

/* Sets how many sub-requests admission lets run at once, and whether the
 * budget treats the group as overloaded. */
static void
update_admission_limits(HrSched *sched, int64_t now_ns)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_SET_LIMITS, .now_ns = now_ns};
    uint32_t waiting = sched->ready_count;

    if (sched->blocked_count > MAX_BLOCKED_IGNORED) {
        waiting += sched->blocked_count - MAX_BLOCKED_IGNORED;
    }
    event.u.limits.max_running = HrAdmit_GetRunningCount(sched->admit);
    if (sched->free_slots > waiting) {
        event.u.limits.max_running += sched->free_slots - waiting;
    }
    event.u.limits.queue_limit = sched->settings.queue_limit;
    HrAdmit_HandleEvent(sched->admit, &event);
    HrBudget_SetOverloaded(&sched->budget,
                           HrAdmit_GetWaitingCount(sched->admit) >
                               OVERLOAD_FACTOR * sched->usable_slots);
}

/* Admits and sends waiting sub-requests while there are free slots. If all
 * servers are leaving or removed, they fail instead. */
void
HrSchedSub_DispatchWaiting(HrSched *sched, int64_t now_ns)
{
    if (sched->serving_count == 0 && sched->pending_count > 0) {
        HrSchedSub_FailAllWaiting(sched, HR_REASON_NO_SERVER, now_ns);
    }
    handle_admission_actions(sched, now_ns);
    do {
        HrSchedRetry_SendWaitingHedges(sched, now_ns);
        dispatch_ready(sched, now_ns);
        update_admission_limits(sched, now_ns);
    } while (handle_admission_actions(sched, now_ns));
}
