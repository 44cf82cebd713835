#include <jansson.h>

#include "daemon-gateway-request-int.h"

void
HrGatewayLog_CountOutcome(HrCounters *counters, HrAttemptOutcome outcome)
{
    switch (outcome) {
    case HR_ATTEMPT_OUTCOME_DECLINED:
        HrCounters_Add(counters, HR_COUNTER_forward_declined, 1);
        break;
    case HR_ATTEMPT_OUTCOME_MISDIRECTED:
        HrCounters_Add(counters, HR_COUNTER_forward_misdirected, 1);
        break;
    case HR_ATTEMPT_OUTCOME_NOT_SENT:
        HrCounters_Add(counters, HR_COUNTER_forward_not_sent, 1);
        break;
    case HR_ATTEMPT_OUTCOME_SERVER_ERROR:
        HrCounters_Add(counters, HR_COUNTER_forward_errors, 1);
        break;
    case HR_ATTEMPT_OUTCOME_LOST:
        HrCounters_Add(counters, HR_COUNTER_forward_lost, 1);
        break;
    case HR_ATTEMPT_OUTCOME_MALFORMED:
        HrCounters_Add(counters, HR_COUNTER_forward_malformed, 1);
        break;
    case HR_ATTEMPT_OUTCOME_OK:
    case HR_ATTEMPT_OUTCOME_CLIENT_ERROR:
    case HR_ATTEMPT_OUTCOME_ABANDONED:
        break;
    }
}

void
HrGatewayLog_CountSignal(HrCounters *counters, const HrServerSignal *signal)
{
    if (signal->leaving) {
        HrCounters_Add(counters, HR_COUNTER_answers_leaving, 1);
    }
    if (signal->pause_ns > 0) {
        HrCounters_Add(counters, HR_COUNTER_answers_pausing, 1);
    }
    if (signal->states_load) {
        HrCounters_Add(counters, HR_COUNTER_answers_load, 1);
    }
    if (signal->cold_ns > 0) {
        HrCounters_Add(counters, HR_COUNTER_answers_cold, 1);
    }
}

/* A hedge or a retry is logged with the server and the outcome of the previous
 * attempt, the time between the starts of the two attempts, and the median
 * latency. */
void
HrGatewayLog_RecordAttempt(const HrGatewayRequest *request,
                           const HrGatewayAttempt *attempt,
                           HrForwardCause cause)
{
    static const HrCounterId counters[] = {HR_COUNTER_sub_requests_sent,
                                           HR_COUNTER_forward_hedges,
                                           HR_COUNTER_forward_retries};
    HrGateway *gateway = request->gateway;
    const HrGatewayAttempt *previous = attempt - 1;

    HrCounters_Add(&gateway->counters, counters[cause], 1);
    if (cause == HR_FORWARD_CAUSE_FIRST ||
        !HrLog_ShouldWrite(gateway->log, HR_LOG_INFO, "request_repeated")) {
        return;
    }
    HrLog_Write(
        gateway->log, HR_LOG_INFO, "request_repeated",
        "{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I}", "request", request->id, "service",
        HrForward_GetUnit(request->forward, attempt->unit)->service->name,
        "server", attempt->server, "cause",
        cause == HR_FORWARD_CAUSE_HEDGE ? "slow" : "failed", "earlier",
        previous->server, "earlier_outcome",
        previous->ended_ns > 0 ? HrAttemptOutcome_GetName(previous->outcome)
                               : "waiting",
        "waited_ms",
        (json_int_t)((attempt->started_ns - previous->started_ns) /
                     HR_NS_PER_MS),
        "usual_ms",
        (json_int_t)(HrForward_GetMedianLatencyNs(request->forward) /
                     HR_NS_PER_MS));
}

/* Describes the attempts of a unit for the log, each with its server, its
 * outcome, the time from the receipt of the request to its start, and its
 * duration, until now if it has not ended. */
static json_t *
describe_attempts(const HrGatewayRequest *request, uint32_t unit_index)
{
    const HrForwardUnit *unit =
        HrForward_GetUnit(request->forward, unit_index);
    int64_t now_ns = HrLoop_NowNs(request->gateway->loop);
    json_t *list = json_array();
    uint32_t i;

    for (i = 0; i < unit->attempt_count; i++) {
        const HrGatewayAttempt *attempt =
            &request->attempts[unit_index * HR_FORWARD_ATTEMPTS_MAX + i];
        bool ended = attempt->ended_ns > 0;
        int64_t end_ns = ended ? attempt->ended_ns : now_ns;

        json_array_append_new(
            list,
            json_pack(
                "{s:s,s:s,s:I,s:I}", "server", attempt->server, "outcome",
                ended ? HrAttemptOutcome_GetName(attempt->outcome) : "waiting",
                "at_ms",
                (json_int_t)((attempt->started_ns -
                              request->call->received_ns) /
                             HR_NS_PER_MS),
                "took_ms",
                (json_int_t)((end_ns - attempt->started_ns) / HR_NS_PER_MS)));
    }
    return list;
}

/* Describes the attempts of the units without a usable answer for the log, by
 * the name of the unit's service. */
static json_t *
describe_missing(const HrGatewayRequest *request)
{
    uint32_t count = HrForward_GetUnitCount(request->forward), i;
    json_t *missing = json_object();

    for (i = 0; i < count; i++) {
        const HrForwardUnit *unit = HrForward_GetUnit(request->forward, i);

        if (!unit->done) {
            json_object_set_new(missing, unit->service->name,
                                describe_attempts(request, i));
        }
    }
    return missing;
}

/* The log limits the rate of each event name. Partial answers have a name of
 * their own, so that they do not use up the limit of the failures. */
void
HrGatewayLog_RecordIncompleteRequest(const HrGatewayRequest *request,
                                     const HrForwardAction *action, int status)
{
    const HrGateway *gateway = request->gateway;
    const char *event = status == 200 ? "request_partial" : "request_failed";
    int64_t took_ns = HrLoop_NowNs(gateway->loop) - request->call->received_ns;
    int64_t age_ns = HrGatewayFeed_GetServersAgeNs(gateway->feed);

    if (!HrLog_ShouldWrite(gateway->log, HR_LOG_INFO, event)) {
        return;
    }
    HrLog_Write(gateway->log, HR_LOG_INFO, event,
                "{s:s,s:s,s:i,s:s,s:i,s:i,s:I,s:I,s:I,s:o}", "request",
                request->id, "route", request->route->name, "status", status,
                "reason", HrForwardReason_GetName(action->u.finish.reason),
                "services", (int)HrForward_GetUnitCount(request->forward),
                "repeats_denied",
                (int)HrForward_GetDeniedRepeats(request->forward), "took_ms",
                (json_int_t)(took_ns / HR_NS_PER_MS), "routes_version",
                (json_int_t)request->shared_table->table->version,
                "servers_age_ms", (json_int_t)(age_ns / HR_NS_PER_MS),
                "missing", describe_missing(request));
}

/* Returns why a request was refused with status 503. */
static const char *
get_unready_reason(const HrGateway *gateway)
{
    if (gateway->table == NULL) {
        return "no_routes_yet";
    }
    return gateway->servers_known ? "keys_outdated" : "no_servers_yet";
}

/* The lines contain no header other than the request's id and host, because
 * headers may contain API keys. */
void
HrGatewayLog_RecordRefusedHead(HrGateway *gateway, const HrH1Call *call,
                               const HrPlatformRequest *parsed,
                               const HrGatewayAdmission *admission)
{
    HrCounters *counters = &gateway->counters;

    switch (admission->status) {
    case 401:
        HrCounters_Add(counters, HR_COUNTER_requests_unauthorized, 1);
        HrLog_Write(gateway->log, HR_LOG_INFO, "request_unauthorized",
                    "{s:s?,s:s,s:s,s:I}", "request", parsed->request_id,
                    "route", admission->route->name, "reason",
                    HrCredential_GetName(admission->credential), "version",
                    (json_int_t)gateway->table->table->version);
        break;
    case 503:
        HrCounters_Add(counters, HR_COUNTER_queries_refused, 1);
        if (admission->route != NULL) {
            HrCounters_Add(counters, HR_COUNTER_requests_outdated_keys, 1);
        }
        HrLog_Write(gateway->log, HR_LOG_INFO, "request_refused", "{s:s?,s:s}",
                    "request", parsed->request_id, "reason",
                    get_unready_reason(gateway));
        break;
    default:
        HrCounters_Add(counters, HR_COUNTER_bad_requests, 1);
        HrLog_Write(gateway->log, HR_LOG_INFO, "request_unrouted",
                    "{s:s?,s:s?,s:s,s:I}", "request", parsed->request_id,
                    "host", parsed->host, "target", call->target, "version",
                    (json_int_t)gateway->table->table->version);
        break;
    }
}
