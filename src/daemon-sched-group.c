#include "daemon-sched-group.h"

#include <string.h>
#include <talloc.h>

#define IDLE_TIMEOUT_MS 30000
/* Connections per server until HrSchedGroup_SetPool is called. */
#define INITIAL_CONNECTIONS 1

static void handle_timer(void *arg);

/* Sends a report when the report timer expires. */
static void
handle_report_timer(void *arg)
{
    HrSchedGroup_SendReport(arg);
}

/* Removes the timers and clears the hashes, whose entries talloc frees
 * next. */
static int
destroy_group(HrSchedGroup *group)
{
    HrLoop *loop = group->task->loop;
    HrPolledServer *server;

    for (server = group->servers; server != NULL; server = server->next) {
        HrLoop_RemoveTimer(loop, server->timer);
    }
    HASH_CLEAR(hh, group->attempts);
    HASH_CLEAR(hh, group->pending);
    HrLoop_RemoveTimer(loop, group->timer);
    HrLoop_RemoveTimer(loop, group->report_timer);
    return 0;
}

/* Creates a shard group of a pool with HR_SCHED_ROLE_NONE and no servers. */
HrSchedGroup *
HrSchedGroup_Create(HrTask *task, const char *pool, const char *name)
{
    HrSchedGroup *group = talloc_zero(task->state, HrSchedGroup);
    HrHttpClientConfig http = {.connections_per_host = INITIAL_CONNECTIONS,
                               .idle_ms = IDLE_TIMEOUT_MS,
                               .max_answer_bytes =
                                   HR_BACKEND_ANSWER_MAX_BYTES};
    HrSchedConfig config = {.candidates = HR_OWNER_CANDIDATES,
                            .counters = task->daemon->counters};

    if (group == NULL) {
        return NULL;
    }
    group->task = task;
    group->rank = -1;
    group->pool = config.pool = talloc_strdup(group, pool);
    group->name = config.group = talloc_strdup(group, name);
    group->key = talloc_asprintf(group, "%s\n%s", pool, name);
    group->sched = HrSched_Create(group, &config, &task->rng);
    group->client = HrHttpClient_Create(group, task->loop, &http);
    group->timer = HrLoop_AddTimer(task->loop, handle_timer, group);
    group->report_timer =
        HrLoop_AddTimer(task->loop, handle_report_timer, group);
    if (group->key == NULL || group->pool == NULL || group->name == NULL ||
        group->sched == NULL || group->client == NULL ||
        group->timer == NULL || group->report_timer == NULL) {
        talloc_free(group);
        return NULL;
    }
    talloc_set_destructor(group, destroy_group);
    return group;
}

/* Posts a sub-answer to the task that the origin names. */
void
HrSchedGroup_PostAnswer(HrTask *task, const HrOrigin *origin,
                        const HrSubAnswer *answer)
{
    HrDaemon *daemon = task->daemon;
    HrTask *to =
        origin->link != 0 ? daemon->peer : daemon->query[origin->query_task];

    HrTask_PostMessage(task, to, HrMessage_CreateSubAnswer(origin, answer));
}

/* Returns the pending entry of a sub-request, or NULL. */
static HrSchedPendingRequest *
find_pending(const HrSchedGroup *group, const HrQueryId *query,
             uint32_t sub_id)
{
    HrSchedPendingRequest *pending = NULL;
    HrSchedPendingRequest wanted;

    memset(&wanted, 0, sizeof(wanted));
    wanted.key.query = *query;
    wanted.key.sub_id = sub_id;
    HASH_FIND(hh, group->pending, &wanted.key, sizeof(wanted.key), pending);
    return pending;
}

/* Sends a sub-answer to its origin; one without a pending sub-request is
 * dropped and counted. */
static void
deliver_answer(HrSchedGroup *group, const HrSubAnswer *answer)
{
    HrSchedPendingRequest *pending =
        find_pending(group, &answer->query, answer->sub_id);

    if (pending == NULL) {
        HrCounters_Add(group->task->daemon->counters,
                       HR_COUNTER_sub_answers_dropped, 1);
        return;
    }
    HrSchedGroup_PostAnswer(group->task, &pending->origin, answer);
    HASH_DELETE(hh, group->pending, pending);
    talloc_free(pending);
}

/* Performs all actions of the state machine. */
static void
perform_actions(HrSchedGroup *group)
{
    HrSchedAction action;

    while (HrSched_PopAction(group->sched, &action)) {
        switch (action.kind) {
        case HR_SCHED_SEND_ATTEMPT:
            HrSchedGroup_StartAttempt(group, &action.u.send_attempt);
            break;
        case HR_SCHED_CANCEL_ATTEMPT:
            HrSchedGroup_CancelAttempt(group, &action.u.cancel_attempt);
            break;
        case HR_SCHED_SUB_ANSWER:
            deliver_answer(group, &action.u.sub_answer);
            break;
        }
    }
}

/* Reports the attempts that failed while actions were performed. This comes
 * after the last action, because the state machine requires that all actions
 * are popped before the next event. */
static void
report_failed_attempts(HrSchedGroup *group)
{
    while (group->failed_attempts != NULL) {
        HrHttpAttempt *attempt = group->failed_attempts;
        HrSchedEvent event = {.kind = HR_SCHED_ATTEMPT_FAILED,
                              .now_ns = HrLoop_NowNs(group->task->loop)};

        event.u.attempt_failed.attempt_id = attempt->attempt_id;
        event.u.attempt_failed.failure = attempt->failure;
        group->failed_attempts = attempt->next_failed;
        talloc_free(attempt);
        HrSched_HandleEvent(group->sched, &event);
        perform_actions(group);
    }
}

/* Arms the timer for the next timer event of the state machine or the end of
 * the takeover wait, whichever is earlier. */
static void
arm_timer(HrSchedGroup *group)
{
    int64_t next_ns = HrSched_GetNextTimer(group->sched);
    int64_t role_ns = HrSchedGroup_UpdateRole(group);

    HrLoop_SetTimer(group->task->loop, group->timer,
                    next_ns < role_ns ? next_ns : role_ns);
}

/* Passes one event to the state machine and performs the actions that
 * follow. */
void
HrSchedGroup_HandleEvent(HrSchedGroup *group, HrSchedEvent *event)
{
    event->now_ns = HrLoop_NowNs(group->task->loop);
    HrSched_HandleEvent(group->sched, event);
    perform_actions(group);
    report_failed_attempts(group);
    HrSchedGroup_SendHandover(group, false);
    arm_timer(group);
}

/* Passes a timer event to the state machine. */
static void
handle_timer(void *arg)
{
    HrSchedEvent event = {.kind = HR_SCHED_TIMER};

    HrSchedGroup_HandleEvent(arg, &event);
}

/* Declines a sub-request that cannot be added. */
static void
refuse_request(HrSchedGroup *group, const HrOrigin *origin,
               const HrSubRequest *request, HrReason reason)
{
    HrSubAnswer answer = {.query = request->query,
                          .sub_id = request->sub_id,
                          .shard = request->shard,
                          .version = request->version,
                          .outcome = HR_OUTCOME_DECLINED,
                          .reason = reason};

    HrSchedGroup_PostAnswer(group->task, origin, &answer);
}

/* Adds a sub-request, whose answer is sent to origin. */
void
HrSchedGroup_AddRequest(HrSchedGroup *group, const HrOrigin *origin,
                        const HrSubRequest *request)
{
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST,
                          .u.sub_request = request};
    HrSchedPendingRequest *pending;

    if (find_pending(group, &request->query, request->sub_id) != NULL) {
        return; /* a duplicate: only the first one is answered */
    }
    pending = talloc_zero(group, HrSchedPendingRequest);
    if (pending == NULL) {
        refuse_request(group, origin, request, HR_REASON_OVERLOADED);
        return;
    }
    pending->key.query = request->query;
    pending->key.sub_id = request->sub_id;
    pending->origin = *origin;
    HASH_ADD(hh, group->pending, key, sizeof(pending->key), pending);
    HrSchedGroup_HandleEvent(group, &event);
}

/* Cancels a sub-request, if it is pending. */
void
HrSchedGroup_CancelRequest(HrSchedGroup *group, const HrQueryId *query,
                           uint32_t sub_id, HrReason reason)
{
    HrSchedEvent event = {.kind = HR_SCHED_CANCEL};

    if (find_pending(group, query, sub_id) == NULL) {
        return;
    }
    event.u.cancel.query = *query;
    event.u.cancel.sub_id = sub_id;
    event.u.cancel.reason = reason;
    HrSchedGroup_HandleEvent(group, &event);
}

/* Cancels every sub-request that was received over a peer link. The timer
 * event at the end performs the actions of all cancels. */
void
HrSchedGroup_CancelLinkRequests(HrSchedGroup *group, uint64_t link)
{
    HrSchedPendingRequest *pending, *next;

    for (pending = group->pending; pending != NULL; pending = next) {
        next = pending->hh.next;
        if (pending->origin.link == link) {
            HrSchedEvent event = {.kind = HR_SCHED_CANCEL};

            event.u.cancel.query = pending->key.query;
            event.u.cancel.sub_id = (uint32_t)pending->key.sub_id;
            event.u.cancel.reason = HR_REASON_CANCELLED;
            HrSched_HandleEvent(group->sched, &event);
        }
    }
    handle_timer(group);
}

/* Applies the entry of the pool in the tables. The candidates share the
 * connections to each server equally; each has at least one. */
void
HrSchedGroup_SetPool(HrSchedGroup *group, const HrPool *pool)
{
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET, .u.server_set = pool};
    uint32_t share = pool->connections / HR_OWNER_CANDIDATES;

    HrHttpClient_SetConnectionLimit(group->client, share > 0 ? share : 1);
    HrSchedGroup_SetServers(group, pool);
    HrSchedGroup_HandleEvent(group, &event);
}

/* Returns true if the group can be freed. */
bool
HrSchedGroup_IsIdle(const HrSchedGroup *group)
{
    return !group->placed && group->pending == NULL &&
           group->attempts == NULL && group->handover_to_id == 0;
}
