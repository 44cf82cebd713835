#include "coord-sched.h"

#include <string.h>
#include <talloc.h>

#include "coord-sched-int.h"

/* The first attempt id is random with this many bits, so that the ids of two
 * schedulers of one group differ. The ids stay exact as JSON numbers, which
 * end at 2^53, for 8e15 attempts. */
#define FIRST_ATTEMPT_ID_BITS 47

/* The waits before a hedge are recomputed after this many latencies. */
#define HEDGE_REFRESH_SAMPLES 32

/* While the budget is low, only the slowest of the requests beyond the hedge
 * quantile are hedged: this share of them. */
#define LOW_BUDGET_HEDGE_SHARE 0.5

/* Service time that admission assumes until it has measured one. */
#define INITIAL_SERVICE_NS (1 * HR_NS_PER_MS)

/* Largest share of a group's queue that the sub-requests of one caller may
 * take. */
#define CALLER_SHARE_PERCENT 50

void
HrSched_AppendAction(HrSched *sched, HrSchedPendingAction *pending)
{
    STAILQ_INSERT_TAIL(&sched->actions, pending, link);
}

void
HrSched_IncrementCounter(HrSched *sched, HrCounterId id)
{
    HrCounters_Add(sched->counters, id, 1);
}

/* Recomputes the waits before a hedge from the latencies of the group. */
static void
update_hedge_waits(HrSched *sched)
{
    double q = sched->settings.hedge_quantile;

    sched->hedge_wait_ns = HrLatency_Quantile(&sched->latency, q);
    sched->low_budget_wait_ns = HrLatency_Quantile(
        &sched->latency, 1 - (1 - q) * LOW_BUDGET_HEDGE_SHARE);
    sched->samples_since_update = 0;
}

/* Adds a latency to the statistics of a server and of the group. */
void
HrSched_RecordLatency(HrSched *sched, HrSchedServer *server,
                      int64_t latency_ns, int64_t now_ns)
{
    HrLatency_Record(&server->stats.latency, latency_ns, now_ns);
    HrLatency_Record(&sched->latency, latency_ns, now_ns);
    if (++sched->samples_since_update >= HEDGE_REFRESH_SAMPLES) {
        update_hedge_waits(sched);
    }
}

/* Initialises the lists, trees and sets as empty. */
static void
init_containers(HrSched *sched)
{
    uint32_t i;

    STAILQ_INIT(&sched->actions);
    RB_INIT(&sched->subs);
    RB_INIT(&sched->attempts);
    RB_INIT(&sched->by_name);
    SLIST_INIT(&sched->subs_to_free);
    SLIST_INIT(&sched->attempts_to_free);
    SLIST_INIT(&sched->servers_to_free);
    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        TAILQ_INIT(&sched->ready[i]);
    }
    TAILQ_INIT(&sched->waiting_hedges);
    HrTimerSet_Init(&sched->timers);
    HrFreeServers_Init(&sched->free_servers);
}

/* Creates the scheduler of one group, without servers. Returns NULL when out
 * of memory. */
HrSched *
HrSched_Create(const void *parent, const HrSchedConfig *config, HrRng *rng)
{
    HrAdmitConfig admit = {
        .caller_share_percent = CALLER_SHARE_PERCENT,
        .expected_service_ns = INITIAL_SERVICE_NS,
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
        1 + (HrRng_DrawU64(rng) >> (64 - FIRST_ATTEMPT_ID_BITS));
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

/* Frees the removed objects, once no pending action can refer to them. */
static void
free_unreferenced(HrSched *sched)
{
    HrSchedSub *sub;
    HrSchedAttempt *attempt;
    HrSchedServer *server;

    if (!STAILQ_EMPTY(&sched->actions)) {
        return;
    }
    while ((sub = SLIST_FIRST(&sched->subs_to_free)) != NULL) {
        SLIST_REMOVE_HEAD(&sched->subs_to_free, in_to_free);
        talloc_free(sub);
    }
    while ((attempt = SLIST_FIRST(&sched->attempts_to_free)) != NULL) {
        SLIST_REMOVE_HEAD(&sched->attempts_to_free, in_to_free);
        talloc_free(attempt);
    }
    while ((server = SLIST_FIRST(&sched->servers_to_free)) != NULL) {
        SLIST_REMOVE_HEAD(&sched->servers_to_free, in_to_free);
        talloc_free(server);
    }
}

/* Changes the role. With HR_SCHED_ROLE_NONE, the sub-requests that have no
 * live attempt fail. */
static void
handle_role(HrSched *sched, const HrSchedRole *role, int64_t now_ns)
{
    sched->role = *role;
    HrSchedServer_UpdateAllSlots(sched, now_ns);
    if (role->kind == HR_SCHED_ROLE_NONE) {
        HrSchedSub_FailAllWaiting(sched, HR_REASON_NOT_SCHEDULER, now_ns);
    }
}

/* Handles every timer that is due, those of admission first. */
static void
handle_timers(HrSched *sched, int64_t now_ns)
{
    HrAdmitEvent admit = {.kind = HR_ADMIT_TIMER, .now_ns = now_ns};
    HrTimer *timer;

    HrAdmit_HandleEvent(sched->admit, &admit);
    while ((timer = HrTimerSet_PopDue(&sched->timers, now_ns)) != NULL) {
        switch ((HrSchedTimerKind)timer->kind) {
        case HR_SCHED_TIMER_SUB:
            HrSchedRetry_HandleTimer(sched, timer->owner, now_ns);
            break;
        case HR_SCHED_TIMER_ATTEMPT:
            HrSchedAttempt_ExpireSlot(sched, timer->owner, now_ns);
            break;
        case HR_SCHED_TIMER_SERVER:
            HrSchedServer_UpdateSlots(sched, timer->owner, now_ns);
            break;
        }
    }
}

/* Calls the handler for the kind of an event. Returns its error code. */
static int
dispatch_event(HrSched *sched, const HrSchedEvent *event)
{
    int64_t now_ns = event->now_ns;

    switch (event->kind) {
    case HR_SCHED_SUB_REQUEST:
        return HrSchedSub_HandleRequest(sched, event->u.sub_request, now_ns);
    case HR_SCHED_CANCEL:
        HrSchedSub_HandleCancel(sched, &event->u.cancel, now_ns);
        break;
    case HR_SCHED_BACKEND_ANSWER:
        HrSchedAttempt_HandleAnswer(sched, &event->u.backend_answer, now_ns);
        break;
    case HR_SCHED_ATTEMPT_FAILED:
        HrSchedAttempt_HandleFailure(sched, &event->u.attempt_failed, now_ns);
        break;
    case HR_SCHED_CANCEL_RESULT:
        HrSchedAttempt_HandleCancelResult(sched, &event->u.cancel_result,
                                          now_ns);
        break;
    case HR_SCHED_STATUS_REPORT:
        return HrSchedServer_HandleReport(sched, &event->u.status_report,
                                          now_ns);
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

/* Handles one event. Timers are handled in timer events only, so that after a
 * pause of the VM the answers that arrived during it are handled first. */
int
HrSched_HandleEvent(HrSched *sched, const HrSchedEvent *event)
{
    int rc;

    free_unreferenced(sched);
    rc = dispatch_event(sched, event);
    HrSchedSub_DispatchWaiting(sched, event->now_ns);
    return rc;
}

/* Pops the next action. Returns false when there is none. */
bool
HrSched_PopAction(HrSched *sched, HrSchedAction *action)
{
    HrSchedPendingAction *pending = STAILQ_FIRST(&sched->actions);

    if (pending == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&sched->actions, link);
    *action = pending->action;
    return true;
}

/* Returns the earlier of the next own timer and that of admission. */
int64_t
HrSched_GetNextTimer(const HrSched *sched)
{
    int64_t own_ns = HrTimerSet_GetNextTime(&sched->timers);
    int64_t admit_ns = HrAdmit_GetNextTimer(sched->admit);

    return own_ns < admit_ns ? own_ns : admit_ns;
}

/* Fills in the statistics of the group. */
void
HrSched_GetStats(const HrSched *sched, HrSchedStats *stats)
{
    HrAdmitStats admit;

    HrAdmit_GetStats(sched->admit, &admit);
    memset(stats, 0, sizeof(*stats));
    stats->queued = admit.waiting + sched->ready_count + sched->blocked_count;
    stats->open = sched->pending_count;
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

uint32_t
HrSched_GetServerCount(const HrSched *sched)
{
    return sched->server_count;
}

/* Fills in what is known of one server. */
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
    view->outstanding = server->stats.outstanding;
    view->slot_limit = server->usable_slots;
    view->connections = server->conns.busy + server->conns.idle;
    view->connection_limit = server->conns.limit;
    view->p50_ns = server->stats.latency.p50_ns;
    view->p99_ns = server->stats.latency.p99_ns;
    view->report_age_ns = server->stats.report_ns == HR_TIME_NEVER
                              ? HR_TIME_NEVER
                              : now_ns - server->stats.report_ns;
}
