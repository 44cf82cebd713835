#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daemon-gateway-request-int.h"
#include "platform-http.h"

/* An attempt that is no longer needed may finish within this time, so that
 * its connection can be used again. It is short enough that a paused server
 * does not find a queue of requests that nobody waits for. */
#define ABANDON_KEEP_NS (300 * HR_NS_PER_MS)

/* A connection that was idle for longer is not used for a request that must
 * run once: its server may be closing it. */
#define UNSAFE_MAX_IDLE_NS (2 * HR_NS_PER_S)

/* Until the routes are known, callers come back after this time. */
#define NOT_READY_RETRY_NS (200 * HR_NS_PER_MS)

/* Time to wait for an answer where neither caller nor route state one. */
#define DEFAULT_WAIT_MS 10000

static void run_actions(HrGatewayRequest *request);

/* Answers without a server's answer. */
static void
answer_own(HrH1Call *call, int status, int64_t retry_after_ns)
{
    HrBuffer head;
    HrH1Answer answer = {.status = status};

    HrBuffer_Init(&head, NULL);
    if (retry_after_ns > 0) {
        HrPlatform_WriteRetryAfter(&head, retry_after_ns);
    }
    answer.head.data = HrBuffer_Data(&head);
    answer.head.length_bytes = HrBuffer_Length(&head);
    HrH1Call_Answer(call, &answer);
    talloc_free(head.data);
}

/* Frees a request with what it holds. */
static void
free_request(HrGatewayRequest *request)
{
    HrLoop_RemoveTimer(request->gateway->loop, request->timer);
    HrGateway_ReleaseTable(request->gateway, request->hold);
    talloc_free(request);
}

/* Says what a server's answer means for the request. */
static HrAttemptOutcome
classify(const HrH1Result *result)
{
    HrPlatformAnswer answer;

    switch (result->outcome) {
    case HR_H1_NOT_SENT:
        return HR_ATTEMPT_OUTCOME_NOT_SENT;
    case HR_H1_LOST:
        return HR_ATTEMPT_OUTCOME_LOST;
    case HR_H1_BAD_ANSWER:
        return HR_ATTEMPT_OUTCOME_MALFORMED;
    case HR_H1_ANSWERED:
        break;
    }
    HrPlatformAnswer_Read(&answer, result->headers);
    if (result->status == 421) {
        return HR_ATTEMPT_OUTCOME_MISDIRECTED;
    }
    if (answer.not_executed) {
        return HR_ATTEMPT_OUTCOME_DECLINED;
    }
    if (result->status / 100 == 2) {
        return answer.digest != NULL ? HR_ATTEMPT_OUTCOME_OK
                                     : HR_ATTEMPT_OUTCOME_MALFORMED;
    }
    return result->status / 100 == 4 ? HR_ATTEMPT_OUTCOME_CLIENT_ERROR
                                     : HR_ATTEMPT_OUTCOME_SERVER_ERROR;
}

/* Returns true if a part that is in counts for the unit: the first one. */
static bool
is_wanted(const HrGatewayRequest *request, uint32_t unit)
{
    return !HrForward_IsFinished(request->forward) &&
           !HrForward_GetUnit(request->forward, unit)->done;
}

/* Adds an answer to the merged parts. Returns false when memory runs out. */
static bool
add_part(HrGatewayRequest *request, const HrH1Result *result)
{
    HrPlatformAnswer answer;

    HrPlatformAnswer_Read(&answer, result->headers);
    if (HrPlatform_WritePart(&request->parts, answer.digest) != HR_OK) {
        return false;
    }
    HrRecords_AddPart(&request->records, result->body.data,
                      result->body.length_bytes);
    return true;
}

/* Handles the end of an attempt. */
static void
handle_result(void *arg, const HrH1Result *result)
{
    HrGatewayFlight *flight = arg;
    HrGatewayRequest *request = flight->request;
    HrForwardEvent event = {.kind = HR_FORWARD_EVENT_ATTEMPT_ENDED,
                            .now_ns = HrLoop_NowNs(request->gateway->loop),
                            .u.reply = {flight->unit, flight->attempt,
                                        HR_ATTEMPT_OUTCOME_MALFORMED}};

    flight->send = NULL;
    flight->ended_ns = event.now_ns;
    event.u.reply.reply = classify(result);
    flight->reply = event.u.reply.reply;
    HrGatewayLog_CountReply(&request->gateway->counters, flight->reply);
    if (event.u.reply.reply == HR_ATTEMPT_OUTCOME_OK &&
        request->route->kind == HR_FORWARD_SHARDS &&
        is_wanted(request, flight->unit) && !add_part(request, result)) {
        event.u.reply.reply = HR_ATTEMPT_OUTCOME_MALFORMED;
    }
    request->result = result;
    HrForward_HandleEvent(request->forward, &event);
    run_actions(request);
}

/* Reports an attempt for which no connection could be begun. */
static void
report_not_sent(HrGatewayRequest *request, const HrForwardAction *action)
{
    const HrForwardEvent event = {.kind = HR_FORWARD_EVENT_ATTEMPT_ENDED,
                                  .now_ns =
                                      HrLoop_NowNs(request->gateway->loop),
                                  .u.reply = {action->unit, action->attempt,
                                              HR_ATTEMPT_OUTCOME_NOT_SENT}};

    HrForward_HandleEvent(request->forward, &event);
}

/* Returns the connections to a server. */
static HrH1Target *
target_of(HrGateway *gateway, HrReplica *replica)
{
    if (replica->transport == NULL) {
        replica->transport = HrH1Target_Create(gateway, gateway->server_client,
                                               replica->address);
    }
    return replica->transport;
}

/* Sends one attempt. */
static void
send_attempt(HrGatewayRequest *request, const HrH1Call *call,
             const HrForwardAction *action)
{
    HrGateway *gateway = request->gateway;
    HrReplica *replica = action->u.send.replica;
    HrH1Target *target = target_of(gateway, replica);
    size_t shared_bytes = HrBuffer_Length(&request->head);
    int64_t now_ns = HrLoop_NowNs(gateway->loop);
    HrGatewayFlight *flight =
        &request->flights[action->unit * HR_FORWARD_ATTEMPTS_MAX +
                          action->attempt];
    HrH1Request sent = {.echo = request->id,
                        .body = call->body,
                        .max_idle_ns = request->route->idempotent
                                           ? HR_TIME_NEVER
                                           : UNSAFE_MAX_IDLE_NS};

    flight->request = request;
    flight->unit = action->unit;
    flight->attempt = action->attempt;
    flight->started_ns = now_ns;
    snprintf(flight->server, sizeof(flight->server), "%s", replica->id);
    sent.is_head = strcmp(call->method, "HEAD") == 0;
    if (target != NULL &&
        HrPlatform_WriteAttempt(&request->head,
                                (request->deadline_ns - now_ns) / HR_NS_PER_MS,
                                replica->id) == HR_OK) {
        sent.head.data = HrBuffer_Data(&request->head);
        sent.head.length_bytes = HrBuffer_Length(&request->head);
        flight->send = HrH1Target_Send(target, &sent, handle_result, flight);
        HrBuffer_Truncate(&request->head, shared_bytes);
    }
    HrGatewayLog_Send(request, flight, action->u.send.cause);
    if (flight->send == NULL) {
        report_not_sent(request, action);
    }
}

/* Answers with the merged parts. */
static void
answer_merged(HrGatewayRequest *request)
{
    HrH1Answer answer = {.status = 200};
    uint32_t missing = 0, i;

    for (i = 0; i < HrForward_GetUnitCount(request->forward); i++) {
        missing += HrForward_GetUnit(request->forward, i)->done ? 0 : 1;
    }
    if (HrPlatform_WriteMissing(&request->parts, missing) != HR_OK) {
        answer_own(request->call, 502, 0);
        return;
    }
    answer.body.data =
        HrRecords_Finish(&request->records, &answer.body.length_bytes);
    answer.head.data = HrBuffer_Data(&request->parts);
    answer.head.length_bytes = HrBuffer_Length(&request->parts);
    HrH1Call_Answer(request->call, &answer);
}

/* Passes on a server's answer. */
static void
answer_passed(HrGatewayRequest *request)
{
    const HrH1Result *result = request->result;
    HrH1Answer answer = {.status = result->status, .body = result->body};

    HrBuffer_Consume(&request->parts, HrBuffer_Length(&request->parts));
    if (HrPlatform_WritePassed(&request->parts, result->headers) != HR_OK) {
        answer_own(request->call, 502, 0);
        return;
    }
    answer.head.data = HrBuffer_Data(&request->parts);
    answer.head.length_bytes = HrBuffer_Length(&request->parts);
    HrH1Call_Answer(request->call, &answer);
}

/* Answers the caller. */
static void
answer_end(HrGatewayRequest *request, const HrForwardAction *action)
{
    HrCounters *counters = &request->gateway->counters;

    switch (action->u.finish.end) {
    case HR_FORWARD_END_MERGE:
        if (action->u.finish.reason != HR_FORWARD_REASON_COMPLETE) {
            HrGatewayLog_End(request, action, 200);
            HrCounters_Add(counters, HR_COUNTER_queries_partial, 1);
        }
        else {
            HrCounters_Add(counters, HR_COUNTER_queries_complete, 1);
        }
        answer_merged(request);
        break;
    case HR_FORWARD_END_PASS_ON:
        HrCounters_Add(counters, HR_COUNTER_queries_complete, 1);
        answer_passed(request);
        break;
    case HR_FORWARD_END_REFUSE:
        HrGatewayLog_End(request, action, 503);
        HrCounters_Add(counters, HR_COUNTER_queries_refused, 1);
        answer_own(request->call, 503, action->u.finish.retry_after_ns);
        break;
    case HR_FORWARD_END_FAIL:
        HrGatewayLog_End(request, action, 502);
        HrCounters_Add(counters, HR_COUNTER_queries_unknown, 1);
        answer_own(request->call, 502, 0);
        break;
    case HR_FORWARD_END_TIMEOUT:
        HrGatewayLog_End(request, action, 504);
        HrCounters_Add(counters, HR_COUNTER_queries_unknown, 1);
        answer_own(request->call, 504, 0);
        break;
    case HR_FORWARD_END_CALLER_DISCONNECTED:
        break;
    }
    HrCounters_Add(counters, HR_COUNTER_forward_denied,
                   HrForward_GetDeniedRepeats(request->forward));
}

/* Drops an attempt that is not waited for any longer. */
static void
abandon_attempt(HrGatewayRequest *request, const HrForwardAction *action)
{
    HrGatewayFlight *flight =
        &request->flights[action->unit * HR_FORWARD_ATTEMPTS_MAX +
                          action->attempt];

    if (flight->send != NULL) {
        HrH1Send_Abandon(flight->send,
                         action->u.abandon.keep ? ABANDON_KEEP_NS : 0);
        flight->send = NULL;
    }
}

/* Carries out what was decided; the request may be gone afterwards. */
static void
run_actions(HrGatewayRequest *request)
{
    HrForwardAction action;

    while (HrForward_PopAction(request->forward, &action)) {
        switch (action.kind) {
        case HR_FORWARD_ACTION_SEND:
            if (!HrForward_IsFinished(request->forward) &&
                request->call != NULL) {
                send_attempt(request, request->call, &action);
            }
            break;
        case HR_FORWARD_ACTION_ABANDON:
            abandon_attempt(request, &action);
            break;
        case HR_FORWARD_ACTION_FINISH:
            if (request->call != NULL) {
                request->call->context = NULL;
                answer_end(request, &action);
            }
            free_request(request);
            return;
        }
    }
    request->result = NULL;
    HrLoop_SetTimer(request->gateway->loop, request->timer,
                    HrForward_GetNextTimer(request->forward));
}

/* Handles what is due. */
static void
handle_timer(void *arg)
{
    HrGatewayRequest *request = arg;
    const HrForwardEvent event = {.kind = HR_FORWARD_EVENT_TIMER,
                                  .now_ns =
                                      HrLoop_NowNs(request->gateway->loop)};

    HrForward_HandleEvent(request->forward, &event);
    run_actions(request);
}

/* Prepares a request; NULL when memory runs out. */
static HrGatewayRequest *
create_request(HrGateway *gateway, HrH1Call *call,
               const HrPlatformRequest *said, const HrForwardRoute *route)
{
    HrGatewayRequest *request = talloc_zero(gateway, HrGatewayRequest);
    int64_t wait_ms = said->time_left_ms;
    uint32_t units =
        route->kind == HR_FORWARD_SHARDS ? route->target_count : 1;

    if (request == NULL) {
        return NULL;
    }
    if (wait_ms < 0) {
        wait_ms = route->timeout_ms > 0 ? route->timeout_ms : DEFAULT_WAIT_MS;
    }
    request->gateway = gateway;
    request->call = call;
    request->route = route;
    request->id = said->request_id != NULL ? said->request_id : "";
    request->deadline_ns = call->received_ns + wait_ms * HR_NS_PER_MS;
    HrBuffer_Init(&request->head, request);
    HrBuffer_Init(&request->parts, request);
    request->flights = talloc_zero_array(
        request, HrGatewayFlight, (size_t)units * HR_FORWARD_ATTEMPTS_MAX);
    request->timer = HrLoop_AddTimer(gateway->loop, handle_timer, request);
    if (request->flights == NULL || request->timer == NULL ||
        HrRecords_Init(&request->records, request, route->result_limit) !=
            HR_OK ||
        HrPlatform_WriteForward(&request->head, call->method, call->target,
                                &call->headers,
                                call->body.length_bytes) != HR_OK) {
        HrLoop_RemoveTimer(gateway->loop, request->timer);
        talloc_free(request);
        return NULL;
    }
    return request;
}

/* Returns how much of its target time a request uses up elsewhere: before it
 * was sent, by what the caller states, and on the way here and back. */
static int64_t
time_spent_ns(const HrGateway *gateway, const HrH1Call *call,
              const HrPlatformRequest *said, const HrForwardRoute *route)
{
    HrRouteStats *stats =
        HrServerSet_GetRouteStats(gateway->servers, route->name);
    int64_t spent_ns = call->round_trip_ns;

    if (stats == NULL || said->time_left_ms < 0) {
        return spent_ns;
    }
    if (said->time_left_ms > stats->longest_wait_ms) {
        stats->longest_wait_ms = said->time_left_ms;
    }
    return spent_ns +
           (stats->longest_wait_ms - said->time_left_ms) * HR_NS_PER_MS;
}

/* Forwards a request whose route is known. */
static void
forward_request(HrGateway *gateway, HrH1Call *call,
                const HrPlatformRequest *said, const HrForwardRoute *route)
{
    HrGatewayRequest *request = create_request(gateway, call, said, route);
    HrForwardConfig config = {.route = route,
                              .table = gateway->table->table,
                              .servers = gateway->servers,
                              .rng = &gateway->rng,
                              .received_ns = call->received_ns};

    if (request == NULL) {
        answer_own(call, 503, NOT_READY_RETRY_NS);
        return;
    }
    config.deadline_ns = request->deadline_ns;
    config.spent_ns = time_spent_ns(gateway, call, said, route);
    request->hold = HrGateway_HoldTable(gateway);
    call->context = request;
    request->forward =
        HrForward_Create(request, &config, HrLoop_NowNs(gateway->loop));
    if (request->forward == NULL) {
        call->context = NULL;
        answer_own(call, 503, NOT_READY_RETRY_NS);
        free_request(request);
        return;
    }
    run_actions(request);
}

/* Starts a caller's request. */
void
HrGatewayRequest_Start(void *arg, HrH1Call *call)
{
    HrGateway *gateway = arg;
    const HrForwardRoute *route;
    HrPlatformRequest said;

    HrCounters_Add(&gateway->counters, HR_COUNTER_queries_received, 1);
    HrPlatformRequest_Read(&said, &call->headers);
    if (gateway->table == NULL || !gateway->servers_known) {
        HrCounters_Add(&gateway->counters, HR_COUNTER_queries_refused, 1);
        HrLog_Write(gateway->log, HR_LOG_INFO, "request_refused", "{s:s?,s:s}",
                    "request", said.request_id, "reason",
                    gateway->table == NULL ? "no_routes_yet"
                                           : "no_servers_yet");
        answer_own(call, 503, NOT_READY_RETRY_NS);
        return;
    }
    route = said.host != NULL
                ? HrForwardTable_FindRoute(gateway->table->table, said.host,
                                           call->target)
                : NULL;
    if (route == NULL) {
        HrCounters_Add(&gateway->counters, HR_COUNTER_bad_requests, 1);
        HrLog_Write(gateway->log, HR_LOG_INFO, "request_unrouted",
                    "{s:s?,s:s?,s:s,s:I}", "request", said.request_id, "host",
                    said.host, "target", call->target, "version",
                    (json_int_t)gateway->table->table->version);
        answer_own(call, said.host != NULL ? 404 : 400, 0);
        return;
    }
    forward_request(gateway, call, &said, route);
}

/* Ends a request whose caller has left. */
void
HrGatewayRequest_Leave(void *arg, HrH1Call *call)
{
    HrGatewayRequest *request = call->context;
    HrForwardEvent event = {.kind = HR_FORWARD_EVENT_CALLER_DISCONNECTED};

    (void)arg;
    if (request == NULL) {
        return;
    }
    call->context = NULL;
    event.now_ns = HrLoop_NowNs(request->gateway->loop);
    HrCounters_Add(&request->gateway->counters, HR_COUNTER_callers_left, 1);
    HrLog_Write(
        request->gateway->log, HR_LOG_INFO, "caller_left", "{s:s,s:s,s:I}",
        "request", request->id, "route", request->route->name, "after_ms",
        (json_int_t)((event.now_ns - call->received_ns) / HR_NS_PER_MS));
    request->call = NULL;
    HrForward_HandleEvent(request->forward, &event);
    run_actions(request);
}

/* Returns the connections to a server that are in use. */
uint32_t
HrGatewayRequest_BusyConnections(const HrReplica *replica)
{
    const HrH1Target *target = replica->transport;

    return target != NULL ? HrH1Target_Open(target) - HrH1Target_Idle(target)
                          : 0;
}

/* Closes the connections of a server that is being forgotten. */
void
HrGatewayRequest_DropReplica(void *arg, HrReplica *replica)
{
    (void)arg;
    talloc_free(replica->transport);
    replica->transport = NULL;
}
