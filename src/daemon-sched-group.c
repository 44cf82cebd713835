#include "daemon-sched-group.h"

#include <string.h>
#include <talloc.h>

#define IDLE_MS 30000
/* Until the pool's row is known. */
#define FIRST_CONNECTIONS 1

static void fire_timer(void *arg);

/* Sends the periodic report. */
static void
fire_report(void *arg)
{
    HrSchedGroup_Report(arg);
}

/* Empties the hashes before their entries go. */
static int
destroy_group(HrSchedGroup *group)
{
    HrLoop *loop = group->task->loop;
    HrSchedServer *server;

    for (server = group->servers; server != NULL; server = server->next) {
        HrLoop_RemoveTimer(loop, server->timer);
    }
    HASH_CLEAR(hh, group->attempts);
    HASH_CLEAR(hh, group->owed);
    HrLoop_RemoveTimer(loop, group->timer);
    HrLoop_RemoveTimer(loop, group->report_timer);
    return 0;
}

/* Creates a group without servers, in role NONE. */
HrSchedGroup *
HrSchedGroup_Create(HrTask *task, const char *pool, const char *name)
{
    HrSchedGroup *group = talloc_zero(task->state, HrSchedGroup);
    HrHttpClientConfig http = {.connections_per_host = FIRST_CONNECTIONS,
                               .idle_ms = IDLE_MS,
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
    group->timer = HrLoop_AddTimer(task->loop, fire_timer, group);
    group->report_timer = HrLoop_AddTimer(task->loop, fire_report, group);
    if (group->key == NULL || group->pool == NULL || group->name == NULL ||
        group->sched == NULL || group->client == NULL ||
        group->timer == NULL || group->report_timer == NULL) {
        talloc_free(group);
        return NULL;
    }
    talloc_set_destructor(group, destroy_group);
    return group;
}

/* Sends an answer to whoever asked. */
void
HrSchedGroup_PostAnswer(HrTask *task, const HrOrigin *origin,
                        const HrSubAnswer *answer)
{
    HrDaemon *daemon = task->daemon;
    HrTask *to =
        origin->link != 0 ? daemon->peer : daemon->query[origin->query_task];

    HrTask_Post(task, to, HrMessage_CreateSubAnswer(origin, answer));
}

/* Finds what is owed for a sub-request. */
static HrSchedOwed *
find_owed(const HrSchedGroup *group, const HrQueryId *query, uint32_t sub_id)
{
    HrSchedOwed *owed = NULL;
    HrSchedOwed wanted;

    memset(&wanted, 0, sizeof(wanted));
    wanted.key.query = *query;
    wanted.key.sub_id = sub_id;
    HASH_FIND(hh, group->owed, &wanted.key, sizeof(wanted.key), owed);
    return owed;
}

/* Delivers a sub-answer. */
static void
deliver_answer(HrSchedGroup *group, const HrSubAnswer *answer)
{
    HrSchedOwed *owed = find_owed(group, &answer->query, answer->sub_id);

    if (owed == NULL) {
        HrCounters_Add(group->task->daemon->counters,
                       HR_COUNTER_sub_answers_dropped, 1);
        return;
    }
    HrSchedGroup_PostAnswer(group->task, &owed->origin, answer);
    HASH_DELETE(hh, group->owed, owed);
    talloc_free(owed);
}

/* Carries out the pending actions. */
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

/* Reports the attempts that failed while actions were carried out; the state
 * machine takes no event before its actions are popped. */
static void
report_failed(HrSchedGroup *group)
{
    while (group->failed != NULL) {
        HrSchedAttempt *attempt = group->failed;
        HrSchedEvent event = {.kind = HR_SCHED_ATTEMPT_FAILED,
                              .now_ns = HrLoop_NowNs(group->task->loop)};

        event.u.attempt_failed.attempt_id = attempt->attempt_id;
        event.u.attempt_failed.failure = attempt->failure;
        group->failed = attempt->next_failed;
        talloc_free(attempt);
        HrSched_HandleEvent(group->sched, &event);
        perform_actions(group);
    }
}

/* Arms the timer for the next event that the group waits for. */
static void
arm_timer(HrSchedGroup *group)
{
    int64_t next_ns = HrSched_GetNextTimer(group->sched);
    int64_t role_ns = HrSchedGroup_CheckRole(group);

    HrLoop_SetTimer(group->task->loop, group->timer,
                    next_ns < role_ns ? next_ns : role_ns);
}

/* Hands one event to the state machine and carries out its actions. */
void
HrSchedGroup_Handle(HrSchedGroup *group, HrSchedEvent *event)
{
    event->now_ns = HrLoop_NowNs(group->task->loop);
    HrSched_HandleEvent(group->sched, event);
    perform_actions(group);
    report_failed(group);
    HrSchedGroup_SendHandover(group, false);
    arm_timer(group);
}

/* Passes the time to the state machine. */
static void
fire_timer(void *arg)
{
    HrSchedEvent event = {.kind = HR_SCHED_TIMER};

    HrSchedGroup_Handle(arg, &event);
}

/* Answers a sub-request that cannot be taken in. */
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

/* Takes a sub-request in; its answer goes to origin. */
void
HrSchedGroup_Submit(HrSchedGroup *group, const HrOrigin *origin,
                    const HrSubRequest *request)
{
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST,
                          .u.sub_request = request};
    HrSchedOwed *owed;

    if (find_owed(group, &request->query, request->sub_id) != NULL) {
        return; /* a copy: the first one is answered */
    }
    owed = talloc_zero(group, HrSchedOwed);
    if (owed == NULL) {
        refuse_request(group, origin, request, HR_REASON_OVERLOADED);
        return;
    }
    owed->key.query = request->query;
    owed->key.sub_id = request->sub_id;
    owed->origin = *origin;
    HASH_ADD(hh, group->owed, key, sizeof(owed->key), owed);
    HrSchedGroup_Handle(group, &event);
}

/* Withdraws a sub-request. */
void
HrSchedGroup_Cancel(HrSchedGroup *group, const HrQueryId *query,
                    uint32_t sub_id, HrReason reason)
{
    HrSchedEvent event = {.kind = HR_SCHED_CANCEL};

    if (find_owed(group, query, sub_id) == NULL) {
        return;
    }
    event.u.cancel.query = *query;
    event.u.cancel.sub_id = sub_id;
    event.u.cancel.reason = reason;
    HrSchedGroup_Handle(group, &event);
}

/* Withdraws every sub-request that came over a link. */
void
HrSchedGroup_CancelLink(HrSchedGroup *group, uint64_t link)
{
    HrSchedOwed *owed, *next;

    for (owed = group->owed; owed != NULL; owed = next) {
        next = owed->hh.next;
        if (owed->origin.link == link) {
            HrSchedEvent event = {.kind = HR_SCHED_CANCEL};

            event.u.cancel.query = owed->key.query;
            event.u.cancel.sub_id = (uint32_t)owed->key.sub_id;
            event.u.cancel.reason = HR_REASON_CANCELLED;
            HrSched_HandleEvent(group->sched, &event);
        }
    }
    fire_timer(group);
}

/* Puts the pool's row in force. */
void
HrSchedGroup_SetPool(HrSchedGroup *group, const HrPool *pool)
{
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET, .u.server_set = pool};
    uint32_t share = pool->connections / HR_OWNER_CANDIDATES;

    HrHttpClient_SetConnectionLimit(group->client, share > 0 ? share : 1);
    HrSchedGroup_SetServers(group, pool);
    HrSchedGroup_Handle(group, &event);
}

/* Returns true if the group can be freed. */
bool
HrSchedGroup_IsIdle(const HrSchedGroup *group)
{
    return !group->placed && group->owed == NULL && group->attempts == NULL &&
           group->handover_to == 0;
}
