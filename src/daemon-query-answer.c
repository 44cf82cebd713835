#include <string.h>
#include <talloc.h>

#include "daemon-query-state.h"

/* Returns the HTTP status code of an answer. */
static int
get_http_status(const HrGatherAnswer *answer)
{
    switch (answer->status) {
    case HR_STATUS_COMPLETE:
    case HR_STATUS_PARTIAL:
    case HR_STATUS_DONE:
        return 200;
    case HR_STATUS_UNKNOWN:
        return 504;
    case HR_STATUS_REFUSED:
        switch (answer->reason) {
        case HR_REASON_NO_ROUTE:
            return 404;
        case HR_REASON_NO_KEY:
            return 400;
        default:
            return 503;
        }
    }
    return 500;
}

/* Increments the counter of the status of an answer. */
static void
count_answer(HrCounters *counters, const HrGatherAnswer *answer)
{
    switch (answer->status) {
    case HR_STATUS_COMPLETE:
    case HR_STATUS_DONE:
        HrCounters_Add(counters, HR_COUNTER_queries_complete, 1);
        break;
    case HR_STATUS_PARTIAL:
        HrCounters_Add(counters, HR_COUNTER_queries_partial, 1);
        break;
    case HR_STATUS_REFUSED:
        HrCounters_Add(counters, HR_COUNTER_queries_refused, 1);
        break;
    case HR_STATUS_UNKNOWN:
        HrCounters_Add(counters, HR_COUNTER_queries_unknown, 1);
        break;
    }
}

/* Returns true if a shard is missing from the answer as
 * HR_REASON_OVERLOADED. */
static bool
has_overloaded_shard(const HrGatherAnswer *answer)
{
    uint32_t i;

    for (i = 0; i < answer->missing_count; i++) {
        if (answer->missing[i].reason == HR_REASON_OVERLOADED) {
            return true;
        }
    }
    return false;
}

/* Adjusts the number of queries that may run at once at the end of a query. */
static void
adjust_limit(HrQueryTask *state, const HrGatherAnswer *answer)
{
    uint32_t previous_limit = HrQueryLimit_GetMaxRunning(&state->limit);
    HrAdmitEvent event = {.kind = HR_ADMIT_SET_LIMITS,
                          .now_ns = HrLoop_NowNs(state->task->loop)};
    HrAdmitStats stats;

    HrAdmit_GetStats(state->admit, &stats);
    HrQueryLimit_RecordQueryEnd(&state->limit, has_overloaded_shard(answer),
                                stats.waiting > 0, event.now_ns);
    event.u.limits.max_running = HrQueryLimit_GetMaxRunning(&state->limit);
    event.u.limits.queue_limit = state->task->daemon->settings->max_queries;
    if (event.u.limits.max_running != previous_limit) {
        HrAdmit_HandleEvent(state->admit, &event);
    }
}

/* Sends a JSON text, a talloc child of message, to the HTTP task as the answer
 * to a caller. */
static void
post_http_answer(HrQueryTask *state, uint64_t http_number, int status,
                 HrMessage *message, const char *text, size_t length_bytes)
{
    if (message != NULL) {
        message->u.http.listener = HR_LISTENER_CALLER;
        message->u.http.number = http_number;
        message->u.http.status = status;
        message->u.http.content_type = "application/json";
        message->u.http.body.data = (const uint8_t *)text;
        message->u.http.body.length_bytes = length_bytes;
    }
    HrTask_PostMessage(state->task, state->task->daemon->http, message);
}

/* Answers the caller with the result of a gather, and removes the query. */
void
HrQuery_SendAnswer(HrQuery *query, const HrGatherAnswer *answer)
{
    HrQueryTask *state = query->owner;
    HrDaemon *daemon = state->task->daemon;
    HrMessage *message = HrMessage_Create(HR_MESSAGE_HTTP_ANSWER);
    char *text =
        message != NULL
            ? HrCallerAnswer_Encode(message, query->caller->request_id, answer)
            : NULL;
    size_t length = text != NULL ? strlen(text) : 0;

    if (query->claimed) {
        HrQuery_SendClaimOutcome(query, answer);
    }
    if (query->admitted) {
        HrBurn_RecordAnswer(state->burn, &query->route, answer,
                            HrTime_ToNs(HrClock_GetWall(daemon->clock)));
        adjust_limit(state, answer);
    }
    count_answer(daemon->counters, answer);
    post_http_answer(state, query->http_number,
                     text != NULL ? get_http_status(answer) : 500, message,
                     text, length);
    HrQuery_Remove(query);
}

/* Answers the caller that the request was refused, and removes the query. */
void
HrQuery_Refuse(HrQuery *query, HrReason reason, bool not_run)
{
    HrGatherAnswer answer = {.status = HR_STATUS_REFUSED,
                             .reason = reason,
                             .not_run = not_run,
                             .started_ns = query->received_ns};

    answer.finished_ns = HrLoop_NowNs(query->owner->task->loop);
    HrQuery_SendAnswer(query, &answer);
}

/* Answers a caller whose request is invalid. */
void
HrQueryTask_RejectRequest(HrQueryTask *state, uint64_t http_number,
                          const HrError *err)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_HTTP_ANSWER);
    char *text = message != NULL ? HrCallerRefusal_Encode(message, err) : NULL;
    int status = err->kind == HR_ERR_TOO_LARGE   ? 413
                 : err->kind == HR_ERR_NO_MEMORY ? 503
                                                 : 400;

    post_http_answer(state, http_number, status, message, text,
                     text != NULL ? strlen(text) : 0);
}
