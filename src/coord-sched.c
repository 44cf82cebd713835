#include "coord-sched.h"

#include <string.h>
#include <talloc.h>

#include "coord-sched-int.h"

/* Attempt ids start below this at random, so that the ids of two schedulers
 * of one group differ. They stay exact as a JSON number (2^53) for 8e15
 * attempts. */
#define FIRST_ATTEMPT_ID_BITS 47

/* The hedge wait is recomputed after this many latencies. */
#define HEDGE_REFRESH_SAMPLES 32

/* While the budget is low, only this part of the requests that the quantile
 * would hedge are hedged: the slowest ones. */
#define LATE_HEDGE_SHARE 0.5

#define EXPECTED_SERVICE_NS (1 * HR_NS_PER_MS)

/* No caller takes more than this share of a group's queue. */
#define CALLER_SHARE_PERCENT 50

/* Appends an action. */
void
HrSched_Append(HrSched *sched, HrSchedNode *node)
{
    STAILQ_INSERT_TAIL(&sched->actions, node, link);
}

/* Raises a counter. */
void
HrSched_Count(HrSched *sched, HrCounterId id)
{
    HrCounters_Add(sched->counters, id, 1);
}

/* Recomputes the waits before a hedge. */
static void
refresh_hedge_waits(HrSched *sched)
{
    double q = sched->policy.hedge_quantile;

    sched->hedge_wait_ns = HrLatency_Quantile(&sched->latency, q);
    sched->hedge_late_wait_ns =
        HrLatency_Quantile(&sched->latency, 1 - (1 - q) * LATE_HEDGE_SHARE);
    sched->hedge_age = 0;
}

/* Counts a latency in the digests of a server and of the group. */
void
HrSched_RecordLatency(HrSched *sched, HrSchedServer *server,
                      int64_t latency_ns, int64_t now_ns)
{
    HrLatency_Record(&server->select.latency, latency_ns, now_ns);
    HrLatency_Record(&sched->latency, latency_ns, now_ns);
    if (++sched->hedge_age >= HEDGE_REFRESH_SAMPLES) {
        refresh_hedge_waits(sched);
    }
}

/* Empties the lists and trees. */
static void
init_containers(HrSched *sched)
{
    uint32_t i;

    STAILQ_INIT(&sched->actions);
    RB_INIT(&sched->subs);
    RB_INIT(&sched->attempts);
    RB_INIT(&sched->by_name);
    SLIST_INIT(&sched->dead_subs);
    SLIST_INIT(&sched->dead_attempts);
    SLIST_INIT(&sched->dead_servers);
    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        TAILQ_INIT(&sched->ready[i]);
    }
    TAILQ_INIT(&sched->hedges);
    HrTimerSet_Init(&sched->timers);
    HrFreeServers_Init(&sched->select);
}

/* Creates the scheduler of one group. */
HrSched *
HrSched_Create(const void *parent, const HrSchedConfig *config, HrRng *rng)
{
    HrAdmitConfig admit = {
        .caller_share_percent = CALLER_SHARE_PERCENT,
        .expected_service_ns = EXPECTED_SERVICE_NS,
    };
    HrSched *sched = talloc_zero(parent, HrSched);

    if (sched == NULL) {
        return NULL;
    }
    init_containers(sched);
    sched->candidates = config->candidates;
    sched->counters = config->counters;
    sched->rng = rng;
    sched->next_attempt_id =
        1 + (HrRng_Next(rng) >> (64 - FIRST_ATTEMPT_ID_BITS));
    HrBudget_Init(&sched->budget, 0);
    HrEject_Init(&sched->eject, rng);
    sched->pool = talloc_strdup(sched, config->pool);
    sched->group = talloc_strdup(sched, config->group);
    sched->admit = HrAdmit_Create(sched, &admit);
    if (sched->pool == NULL || sched->group == NULL || sched->admit == NULL) {
        talloc_free(sched);
        return NULL;
    }
    return sched;
}

/* Frees what the actions of the last event referred to. */
static void
free_dead(HrSched *sched)
{
    HrSchedSub *sub;
    HrSchedAttempt *attempt;
    HrSchedServer *server;

    if (!STAILQ_EMPTY(&sched->actions)) {
        return;
    }
    while ((sub = SLIST_FIRST(&sched->dead_subs)) != NULL) {
        SLIST_REMOVE_HEAD(&sched->dead_subs, in_graveyard);
        talloc_free(sub);
    }
    while ((attempt = SLIST_FIRST(&sched->dead_attempts)) != NULL) {
        SLIST_REMOVE_HEAD(&sched->dead_attempts, in_graveyard);
        talloc_free(attempt);
    }
    while ((server = SLIST_FIRST(&sched->dead_servers)) != NULL) {
        SLIST_REMOVE_HEAD(&sched->dead_servers, in_graveyard);
        talloc_free(server);
    }
}

/* Changes the role. */
static void
handle_role(HrSched *sched, const HrSchedRole *role, int64_t now_ns)
{
    sched->role = *role;
    HrSchedServer_RefreshAll(sched, now_ns);
    if (role->kind == HR_SCHED_ROLE_NONE) {
        HrSchedSub_GiveUpWaiting(sched, HR_REASON_NOT_SCHEDULER, now_ns);
    }
}

/* Handles every timer that is due. */
static void
handle_timers(HrSched *sched, int64_t now_ns)
{
    HrAdmitEvent admit = {.kind = HR_ADMIT_TIMER, .now_ns = now_ns};
    HrTimer *timer;

    HrAdmit_HandleEvent(sched->admit, &admit);
    while ((timer = HrTimerSet_PopDue(&sched->timers, now_ns)) != NULL) {
        switch ((HrSchedTimerKind)timer->kind) {
        case HR_SCHED_TIMER_SUB:
            HrSchedRetry_Timer(sched, timer->owner, now_ns);
            break;
        case HR_SCHED_TIMER_ATTEMPT:
            HrSchedAttempt_Expire(sched, timer->owner, now_ns);
            break;
        case HR_SCHED_TIMER_SERVER:
            HrSchedServer_Refresh(sched, timer->owner, now_ns);
            break;
        }
    }
}

/* Handles one event by its kind. */
static int
dispatch_event(HrSched *sched, const HrSchedEvent *event)
{
    int64_t now_ns = event->now_ns;

    switch (event->kind) {
    case HR_SCHED_SUB_REQUEST:
        return HrSchedSub_Arrive(sched, event->u.sub_request, now_ns);
    case HR_SCHED_CANCEL:
        HrSchedSub_Cancel(sched, &event->u.cancel, now_ns);
        break;
    case HR_SCHED_BACKEND_ANSWER:
        HrSchedAttempt_Answered(sched, &event->u.backend_answer, now_ns);
        break;
    case HR_SCHED_ATTEMPT_FAILED:
        HrSchedAttempt_Failed(sched, &event->u.attempt_failed, now_ns);
        break;
    case HR_SCHED_CANCEL_RESULT:
        HrSchedAttempt_CancelResult(sched, &event->u.cancel_result, now_ns);
        break;
    case HR_SCHED_STATUS_REPORT:
        return HrSchedServer_Report(sched, &event->u.status_report, now_ns);
    case HR_SCHED_SERVER_SET:
        return HrSchedServer_ApplySet(sched, event->u.server_set, now_ns);
    case HR_SCHED_ROLE:
        handle_role(sched, &event->u.role, now_ns);
        break;
    case HR_SCHED_TIMER:
        handle_timers(sched, now_ns);
        break;
    }
    return HR_OK;
}

/* Handles one event. Timers wait for a timer event, so that after a pause of
 * the VM the answers that have arrived meanwhile count first. */
int
HrSched_Handle(HrSched *sched, const HrSchedEvent *event)
{
    int rc;

    free_dead(sched);
    rc = dispatch_event(sched, event);
    HrSchedSub_Pump(sched, event->now_ns);
    return rc;
}

/* Pops the next action; returns false when there is none. */
bool
HrSched_Next(HrSched *sched, HrSchedAction *action)
{
    HrSchedNode *node = STAILQ_FIRST(&sched->actions);

    if (node == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&sched->actions, link);
    *action = node->action;
    return true;
}

/* Returns when a timer event is next needed. */
int64_t
HrSched_NextTimer(const HrSched *sched)
{
    int64_t own_ns = HrTimerSet_GetNextTime(&sched->timers);
    int64_t admit_ns = HrAdmit_GetNextTimer(sched->admit);

    return own_ns < admit_ns ? own_ns : admit_ns;
}

/* Fills the figures of the group. */
void
HrSched_GetStats(const HrSched *sched, HrSchedStats *stats)
{
    HrAdmitStats admit;

    HrAdmit_GetStats(sched->admit, &admit);
    memset(stats, 0, sizeof(*stats));
    stats->queued = admit.waiting + sched->ready_count + sched->blocked_count;
    stats->open = sched->open_count;
    stats->attempts = sched->attempt_count;
    stats->slots = sched->usable_slots;
    stats->budget_tokens = sched->budget.tokens;
    stats->first_attempts = sched->attempts_by_kind[HR_ATTEMPT_FIRST];
    stats->hedges = sched->attempts_by_kind[HR_ATTEMPT_HEDGE];
    stats->retries = sched->attempts_by_kind[HR_ATTEMPT_RETRY];
    stats->sheds = sched->sheds;
    stats->p50_ns = HrLatency_Quantile(&sched->latency, 0.5);
    stats->p95_ns = HrLatency_Quantile(&sched->latency, 0.95);
    stats->p99_ns = HrLatency_Quantile(&sched->latency, 0.99);
}

/* Returns the number of servers of the group. */
uint32_t
HrSched_ServerCount(const HrSched *sched)
{
    return sched->server_count;
}

/* Fills the view of one server. */
void
HrSched_GetServer(const HrSched *sched, uint32_t index, int64_t now_ns,
                  HrSchedServerView *view)
{
    const HrSchedServer *server = sched->servers[index];

    view->name = server->name;
    view->address = server->address;
    view->leaving = HrEject_IsLeaving(&server->eject);
    view->ejected = server->eject.ejected;
    view->backing_off = server->eject.backoff_until_ns > now_ns;
    view->outstanding = server->select.outstanding;
    view->slot_limit = server->usable_slots;
    view->connections = server->conns.busy + server->conns.idle;
    view->connection_limit = server->conns.limit;
    view->p50_ns = server->select.latency.p50_ns;
    view->p99_ns = server->select.latency.p99_ns;
    view->report_age_ns = server->select.report_ns == HR_TIME_NEVER
                              ? HR_TIME_NEVER
                              : now_ns - server->select.report_ns;
}
