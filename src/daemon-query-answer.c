#include <string.h>
#include <talloc.h>

#include "daemon-query-state.h"

/* Returns the HTTP status of an answer. */
static int
http_status(const HrGatherAnswer *answer)
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

/* Counts an answer by its status. */
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

/* Returns true if a group refused a shard of the query for overload. */
static bool
met_overload(const HrGatherAnswer *answer)
{
    uint32_t i;

    for (i = 0; i < answer->missing_count; i++) {
        if (answer->missing[i].reason == HR_REASON_OVERLOADED) {
            return true;
        }
    }
    return false;
}

/* Adjusts the number of queries that run at once. */
static void
adjust_limit(HrQueryTask *state, const HrGatherAnswer *answer)
{
    uint32_t former = HrQueryLimit_Places(&state->limit);
    HrAdmitEvent event = {.kind = HR_ADMIT_SET_LIMITS,
                          .now_ns = HrLoop_NowNs(state->task->loop)};
    HrAdmitStats stats;

    HrAdmit_GetStats(state->admit, &stats);
    HrQueryLimit_Note(&state->limit, met_overload(answer), stats.waiting > 0,
                      event.now_ns);
    event.u.limits.max_running = HrQueryLimit_Places(&state->limit);
    event.u.limits.queue_limit = state->task->daemon->settings->max_queries;
    if (event.u.limits.max_running != former) {
        HrAdmit_HandleEvent(state->admit, &event);
    }
}

/* Sends a JSON text, which message takes over, to the caller. */
static void
send_text(HrQueryTask *state, uint64_t http_number, int status,
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
    HrTask_Post(state->task, state->task->daemon->http, message);
}

/* Answers a caller with the result of a gather, and removes the query. */
void
HrQuery_Answer(HrQuery *query, const HrGatherAnswer *answer)
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
        HrQuery_EndClaim(query, answer);
    }
    if (query->admitted) {
        HrBurn_RecordAnswer(state->burn, &query->route, answer,
                            HrTime_ToNs(HrClock_Wall(daemon->clock)));
        adjust_limit(state, answer);
    }
    count_answer(daemon->counters, answer);
    send_text(state, query->http_number,
              text != NULL ? http_status(answer) : 500, message, text, length);
    HrQuery_Remove(query);
}

/* Answers a caller that its request was not run by this copy. */
void
HrQuery_Refuse(HrQuery *query, HrReason reason, bool not_run)
{
    HrGatherAnswer answer = {.status = HR_STATUS_REFUSED,
                             .reason = reason,
                             .not_run = not_run,
                             .started_ns = query->received_ns};

    answer.finished_ns = HrLoop_NowNs(query->owner->task->loop);
    HrQuery_Answer(query, &answer);
}

/* Answers a caller whose request is malformed. */
void
HrQueryTask_RejectText(HrQueryTask *state, uint64_t http_number,
                       const HrError *err)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_HTTP_ANSWER);
    char *text = message != NULL ? HrCallerRefusal_Encode(message, err) : NULL;
    int status = err->kind == HR_ERR_TOO_LARGE   ? 413
                 : err->kind == HR_ERR_NO_MEMORY ? 503
                                                 : 400;

    send_text(state, http_number, status, message, text,
              text != NULL ? strlen(text) : 0);
}
