#include <string.h>
#include <talloc.h>

#include "base-error.h"
#include "coord-sched-int.h"

/* Sub-requests that wait for a server that suits them, for instance one with
 * a certain version, let others pass until there are this many. */
#define MAX_BLOCKED 64

/* The group is overloaded while its queue is longer than this many times its
 * slots. With a factor of 1, two queries at once counted as overload in a
 * group of six slots, and their stragglers were not hedged. */
#define OVERLOAD_FACTOR 2

/* Orders query ids. */
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

/* Answers a sub-request that is not held. */
static void
refuse_request(HrSched *sched, const HrSubRequest *request, HrReason reason)
{
    HrSubAnswer answer = {
        .query = request->query,
        .sub_id = request->sub_id,
        .shard = request->shard,
        .version = request->version,
        .outcome = HR_OUTCOME_DECLINED,
        .reason = reason,
    };

    sched->refusal.action.kind = HR_SCHED_SUB_ANSWER;
    sched->refusal.action.u.sub_answer = answer;
    HrSched_Append(sched, &sched->refusal);
}

/* Copies what a request points to. Returns false when memory runs out. */
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

/* Returns a new sub-request that is in no list yet, or NULL. */
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

/* Hands a sub-request to admission, under its own address as the id. */
static int
queue_sub(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_ARRIVE, .now_ns = now_ns};

    event.u.arrive.id = (uint64_t)(uintptr_t)sub;
    event.u.arrive.priority = sub->request.priority;
    event.u.arrive.caller = sub->request.caller;
    event.u.arrive.deadline_ns = sub->request.deadline_ns - HR_SCHED_MARGIN_NS;
    return HrAdmit_HandleEvent(sched->admit, &event);
}

/* Handles a new sub-request. */
int
HrSchedSub_Arrive(HrSched *sched, const HrSubRequest *request, int64_t now_ns)
{
    HrSchedSub *sub;

    if (find_sub(sched, &request->query, request->sub_id) != NULL) {
        return HR_OK; /* a second copy */
    }
    if (sched->role.kind == HR_SCHED_ROLE_NONE) {
        refuse_request(sched, request, HR_REASON_NOT_SCHEDULER);
        return HR_OK;
    }
    if (sched->serving_count == 0) {
        refuse_request(sched, request, HR_REASON_NO_SERVER);
        return HR_OK;
    }
    sub = create_sub(sched, request);
    if (sub == NULL || queue_sub(sched, sub, now_ns) != HR_OK) {
        talloc_free(sub);
        refuse_request(sched, request, HR_REASON_OVERLOADED);
        return HR_ERR_NO_MEMORY;
    }
    RB_INSERT(HrSchedSubTree, &sched->subs, sub);
    sched->open_count++;
    HrSchedSub_Arm(sched, sub);
    return HR_OK;
}

/* Takes the sub-request out of admission. */
static void
leave_admission(HrSched *sched, HrSchedSub *sub, bool answered, int64_t now_ns)
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

/* Forgets an answered sub-request once the pending actions are popped. */
void
HrSchedSub_Forget(HrSched *sched, HrSchedSub *sub)
{
    RB_REMOVE(HrSchedSubTree, &sched->subs, sub);
    SLIST_INSERT_HEAD(&sched->dead_subs, sub, in_graveyard);
}

/* Gives the sub-answer and forgets the sub-request; a non-idempotent one that
 * was sent is remembered until its deadline, so that a second copy of the
 * message does not run it again. */
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
    HrSched_Append(sched, &sub->answer);
    HrSchedSub_LeaveReady(sched, sub);
    HrSchedRetry_ForgetHedge(sched, sub);
    HrSchedAttempt_Detach(sched, sub, now_ns);
    leave_admission(sched, sub, answer->outcome == HR_OUTCOME_ANSWERED,
                    now_ns);
    sched->open_count--;
    sub->state = HR_SCHED_SUB_DONE;
    if (sub->request.idempotent || sub->attempt_count == 0 ||
        sub->request.deadline_ns <= now_ns) {
        HrTimerSet_Clear(&sched->timers, &sub->timer);
        HrSchedSub_Forget(sched, sub);
        return;
    }
    HrTimerSet_Set(&sched->timers, &sub->timer, sub->request.deadline_ns);
}

/* Gives the answer of a server. */
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

/* Gives up: answers with what the attempts so far allow to say. */
void
HrSchedSub_GiveUp(HrSched *sched, HrSchedSub *sub, HrReason reason,
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

/* Handles a withdrawal. */
void
HrSchedSub_Cancel(HrSched *sched, const HrSchedCancel *cancel, int64_t now_ns)
{
    HrSchedSub *sub = find_sub(sched, &cancel->query, cancel->sub_id);

    if (sub != NULL && sub->state != HR_SCHED_SUB_DONE) {
        HrSchedSub_GiveUp(sched, sub, cancel->reason, now_ns);
    }
}

/* Makes the sub-request wait for a suitable server. */
void
HrSchedSub_MakeReady(HrSched *sched, HrSchedSub *sub)
{
    sub->state = HR_SCHED_SUB_READY;
    sub->is_blocked = false;
    TAILQ_INSERT_TAIL(&sched->ready[sub->request.priority], sub, in_ready);
    sched->ready_count++;
    HrSchedSub_Arm(sched, sub);
}

/* Takes the sub-request off the list of ready ones, if it is there. */
void
HrSchedSub_LeaveReady(HrSched *sched, HrSchedSub *sub)
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

/* Notes whether no free server suits a ready sub-request. */
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

/* Sets the timer for whatever comes next. */
void
HrSchedSub_Arm(HrSched *sched, HrSchedSub *sub)
{
    int64_t next_ns = sub->request.deadline_ns - HR_SCHED_MARGIN_NS;
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

/* Gives up every sub-request that waits. */
void
HrSchedSub_GiveUpWaiting(HrSched *sched, HrReason reason, int64_t now_ns)
{
    HrSchedSub *sub, *next;

    for (sub = RB_MIN(HrSchedSubTree, &sched->subs); sub != NULL; sub = next) {
        next = RB_NEXT(HrSchedSubTree, &sched->subs, sub);
        if (sub->state != HR_SCHED_SUB_RUNNING &&
            sub->state != HR_SCHED_SUB_DONE) {
            HrSchedSub_GiveUp(sched, sub, reason, now_ns);
        }
    }
}

/* Handles the decisions of admission. Returns true if there were any. */
static bool
drain_admission(HrSched *sched, int64_t now_ns)
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
            HrSchedSub_GiveUp(sched, sub, action.reason, now_ns);
        }
    }
    return any;
}

/* Sends one ready sub-request if a free server suits it. */
static void
dispatch_sub(HrSched *sched, HrSchedSub *sub, int64_t now_ns)
{
    HrAttemptKind kind =
        sub->attempt_count == 0 ? HR_ATTEMPT_FIRST : HR_ATTEMPT_RETRY;
    HrSchedServer *server;

    if (now_ns >= sub->request.deadline_ns - HR_SCHED_MARGIN_NS) {
        HrSchedSub_GiveUp(sched, sub, HR_REASON_DEADLINE, now_ns);
        return;
    }
    server = HrSchedChoice_Find(sched, sub, false, now_ns);
    if (server == NULL) {
        set_blocked(sched, sub, true);
        return;
    }
    if (HrSchedAttempt_Send(sched, sub, server, kind, now_ns) != HR_OK) {
        HrSchedSub_GiveUp(sched, sub, HR_REASON_OVERLOADED, now_ns);
        return;
    }
    if (sched->policy.hedge == HR_HEDGE_TIED) {
        HrSchedRetry_Hedge(sched, sub, now_ns);
    }
}

/* Sends ready sub-requests while servers are free, higher classes first. */
static void
dispatch_ready(HrSched *sched, int64_t now_ns)
{
    HrSchedSub *sub, *next;
    uint32_t i;

    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        TAILQ_FOREACH_SAFE (sub, &sched->ready[i], in_ready, next) {
            if (sched->select.free_count == 0) {
                return;
            }
            dispatch_sub(sched, sub, now_ns);
        }
    }
}

/* Tells admission how many more may start. */
static void
update_places(HrSched *sched, int64_t now_ns)
{
    HrAdmitEvent event = {.kind = HR_ADMIT_SET_LIMITS, .now_ns = now_ns};
    uint32_t waiting = sched->ready_count;

    if (sched->blocked_count > MAX_BLOCKED) {
        waiting += sched->blocked_count - MAX_BLOCKED;
    }
    event.u.max_running.max_running = HrAdmit_GetRunningCount(sched->admit);
    if (sched->free_slots > waiting) {
        event.u.max_running.max_running += sched->free_slots - waiting;
    }
    event.u.max_running.queue_limit = sched->policy.queue_limit;
    HrAdmit_HandleEvent(sched->admit, &event);
    HrBudget_SetOverloaded(&sched->budget,
                           HrAdmit_GetWaitingCount(sched->admit) >
                               OVERLOAD_FACTOR * sched->usable_slots);
}

/* Starts what the queue and the free slots allow. */
void
HrSchedSub_Pump(HrSched *sched, int64_t now_ns)
{
    if (sched->serving_count == 0 && sched->open_count > 0) {
        HrSchedSub_GiveUpWaiting(sched, HR_REASON_NO_SERVER, now_ns);
    }
    drain_admission(sched, now_ns);
    do {
        HrSchedRetry_DispatchHedges(sched, now_ns);
        dispatch_ready(sched, now_ns);
        update_places(sched, now_ns);
    } while (drain_admission(sched, now_ns));
}
