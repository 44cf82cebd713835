#include "common-gateway-fleet.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define SCHEDULE_START_NS (100 * HR_NS_PER_S)
#define STEP_NS (50 * HR_NS_PER_MS)
#define FAULT_PHASE_NS (12 * HR_NS_PER_S)
/* Time after the last fault within which expired entries are listed again,
 * silent gateways are detected, and repeat budgets refill. */
#define SETTLE_NS (5 * HR_NS_PER_S)
#define FAULT_FREE_PHASE_NS (10 * HR_NS_PER_S)
/* Time within which every gateway applies a change of the list. */
#define LIST_LAG_NS (1500 * HR_NS_PER_MS)
/* Time within which the other gateways receive the hello of one that has
 * started. */
#define START_LAG_NS (1500 * HR_NS_PER_MS)

/* Records that a checked rule was violated. Only the first violation is
 * retained. */
void
FleetSim_RecordViolation(FleetSim *sim, const char *format, ...)
{
    va_list args;
    int used;

    if (sim->failed) {
        return;
    }
    sim->failed = true;
    used = snprintf(sim->failure, sizeof(sim->failure),
                    "%.3f s: ", (double)sim->fleet->now_ns / HR_NS_PER_S);
    va_start(args, format);
    vsnprintf(sim->failure + used, sizeof(sim->failure) - (size_t)used, format,
              args);
    va_end(args);
}

/* Returns true if the time bounds apply to a gateway: neither its VM nor the
 * store has had a fault for FLEET_RECOVERY_NS. */
static bool
has_recovered(const FleetSim *sim, uint32_t index)
{
    int64_t since_ns = sim->fleet->now_ns - FLEET_RECOVERY_NS;

    return sim->gateways[index].last_fault_ns < since_ns &&
           sim->store_last_fault_ns < since_ns;
}

/* Appends a time to an array, unless it is full. */
static void
record_time(int64_t *times, uint32_t *count, int64_t now_ns)
{
    if (*count < FLEET_REQUESTS_MAX) {
        times[(*count)++] = now_ns;
    }
}

/* Records the time of a caller's request for each of its services, and checks
 * that the version of its routes was not replaced too long ago. */
void
FleetChecker_CheckRequest(FleetSim *sim, uint32_t request_index)
{
    FleetRequest *request = &sim->requests[request_index];
    const FleetTable *table = &sim->tables[request->version - 1];
    const HrForwardRoute *route = &table->routes[request->once ? 1 : 0];
    uint32_t i;

    for (i = 0; i < route->target_count; i++) {
        uint32_t service = route->targets[i].service;

        record_time(sim->request_times_ns[service],
                    &sim->request_time_count[service], sim->fleet->now_ns);
    }
    if (request->version < sim->version_count &&
        has_recovered(sim, request->gateway) &&
        sim->fleet->now_ns - sim->tables[request->version].accepted_ns >
            FLEET_ROUTES_APPLY_MAX_NS) {
        FleetSim_RecordViolation(
            sim, "g%u serves with the old version %u of the routes",
            request->gateway, request->version);
    }
}

/* Records that a gateway has received the statements of a server. */
void
FleetChecker_RecordSignal(FleetSim *sim, const FleetAttemptEnd *end)
{
    const FleetRequest *request = &sim->requests[end->request];
    FleetServerNotice *notice;
    int64_t now_ns = sim->fleet->now_ns, until_ns;

    if (!end->signal.leaving && end->signal.pause_ns == 0) {
        return;
    }
    notice = &sim->servers[end->server].notices[request->gateway];
    if (notice->run != request->run) {
        *notice = (FleetServerNotice){.run = request->run,
                                      .told_leaving_ns = HR_TIME_NEVER};
    }
    if (end->signal.leaving && notice->told_leaving_ns == HR_TIME_NEVER) {
        notice->told_leaving_ns = now_ns;
    }
    until_ns = now_ns + end->signal.pause_ns;
    if (until_ns > notice->paused_until_ns) {
        notice->paused_from_ns = now_ns + FLEET_PAUSE_SETTLE_NS;
        notice->paused_until_ns = until_ns;
        notice->pause_arrivals = 0;
    }
}

/* Checks an attempt against what its server has stated to the gateway. A later
 * freeze of the gateway excuses it. */
static void
check_notice(FleetSim *sim, const FleetRequest *request,
             const FleetServer *server)
{
    const FleetGateway *gateway = &sim->gateways[request->gateway];
    FleetServerNotice *notice =
        &sim->servers[server - sim->servers].notices[request->gateway];
    int64_t now_ns = sim->fleet->now_ns;

    if (notice->run != request->run) {
        return;
    }
    if (notice->told_leaving_ns != HR_TIME_NEVER &&
        request->received_ns - notice->told_leaving_ns > FLEET_DRAIN_MAX_NS &&
        gateway->resumed_ns < notice->told_leaving_ns) {
        FleetSim_RecordViolation(
            sim, "g%u sends to %s %.1f s after it stated that it is leaving",
            request->gateway, server->id,
            (double)(now_ns - notice->told_leaving_ns) / HR_NS_PER_S);
    }
    if (now_ns >= notice->paused_from_ns && now_ns < notice->paused_until_ns &&
        gateway->resumed_ns < notice->paused_from_ns - FLEET_PAUSE_SETTLE_NS &&
        ++notice->pause_arrivals > FLEET_PAUSE_ARRIVALS_MAX) {
        FleetSim_RecordViolation(sim, "g%u sends to %s during its pause",
                                 request->gateway, server->id);
    }
}

/* Checks an attempt that reaches a server. */
void
FleetChecker_CheckAttempt(FleetSim *sim, uint32_t request_index, uint32_t unit,
                          const FleetServer *server, bool misdirected,
                          bool runs)
{
    FleetRequest *request = &sim->requests[request_index];
    const FleetTable *table = &sim->tables[request->version - 1];
    const HrForwardRoute *route = &table->routes[request->once ? 1 : 0];
    uint32_t service = route->targets[unit].service;
    int64_t now_ns = sim->fleet->now_ns;

    if (request->refused) {
        FleetSim_RecordViolation(sim, "request %u is sent after its refusal",
                                 request_index);
    }
    /* A server says what it wants about requests that are meant for it. */
    if (!misdirected) {
        check_notice(sim, request, server);
    }
    request->runs += runs;
    if (runs && request->once && request->runs > 1) {
        FleetSim_RecordViolation(sim, "request %u runs twice", request_index);
    }
    if (runs && server->service != service) {
        FleetSim_RecordViolation(sim, "request %u runs at service %u",
                                 request_index, server->service);
    }
    if (runs && server->leaving_since_ns != HR_TIME_NEVER &&
        now_ns - server->leaving_since_ns > FLEET_DRAIN_MAX_NS &&
        has_recovered(sim, request->gateway)) {
        FleetSim_RecordViolation(
            sim,
            "g%u sends to %s %.1f s after the store accepted that "
            "it is leaving",
            request->gateway, server->id,
            (double)(now_ns - server->leaving_since_ns) / HR_NS_PER_S);
    }
    if (request->reached_counts[unit]++ > 0) {
        record_time(sim->repeat_times_ns[service],
                    &sim->repeat_time_count[service], now_ns);
    }
    if (request->reached_counts[unit] > route->max_attempts) {
        FleetSim_RecordViolation(sim, "request %u is sent to too many servers",
                                 request_index);
    }
}

/* Checks the end of a request. It may be late if the gateway was paused. */
void
FleetChecker_CheckFinish(FleetSim *sim, uint32_t request_index,
                         const HrForwardAction *action)
{
    FleetRequest *request = &sim->requests[request_index];
    HrForwardEnd end = action->u.finish.end;
    const FleetGateway *gateway = &sim->gateways[request->gateway];
    bool after_faults =
        sim->faults_ended &&
        sim->fleet->now_ns - gateway->last_fault_ns > SETTLE_NS;

    if (end == HR_FORWARD_END_REFUSE) {
        request->refused = true;
        if (request->runs > 0) {
            FleetSim_RecordViolation(sim, "request %u is refused and has run",
                                     request_index);
        }
    }
    /* A gateway that was paused during the request may answer late. */
    if (sim->fleet->now_ns > request->timeout_ns + 20 * HR_NS_PER_MS &&
        gateway->resumed_ns <
            request->timeout_ns - FLEET_ROUTE_TIMEOUT_MS * HR_NS_PER_MS) {
        FleetSim_RecordViolation(sim, "request %u ends late", request_index);
    }
    if (after_faults) {
        if (end == HR_FORWARD_END_MERGE || end == HR_FORWARD_END_PASS_ON) {
            sim->answered_after_faults++;
        }
        else {
            sim->refused_after_faults++;
        }
    }
}

/* Returns the number of times within [from_ns, from_ns +
 * FLEET_REPEAT_WINDOW_NS). */
static uint32_t
count_in_window(const int64_t *times, uint32_t count, int64_t from_ns)
{
    uint32_t found = 0, i;

    for (i = 0; i < count; i++) {
        found +=
            times[i] >= from_ns && times[i] < from_ns + FLEET_REPEAT_WINDOW_NS;
    }
    return found;
}

/* Checks the limit of repeats of one service in windows that start at every
 * fifth repeat. Compares with the greatest number of requests in this window,
 * the previous one, and the one that starts half a window earlier. */
static void
check_repeats(FleetSim *sim, uint32_t service)
{
    const int64_t *request_times_ns = sim->request_times_ns[service];
    uint32_t request_time_count = sim->request_time_count[service], i;

    for (i = 0; i < sim->repeat_time_count[service]; i += 5) {
        int64_t from_ns = sim->repeat_times_ns[service][i];
        uint32_t repeats =
            count_in_window(sim->repeat_times_ns[service],
                            sim->repeat_time_count[service], from_ns);
        uint32_t requests =
            count_in_window(request_times_ns, request_time_count, from_ns);
        uint32_t requests_before =
            count_in_window(request_times_ns, request_time_count,
                            from_ns - FLEET_REPEAT_WINDOW_NS);
        uint32_t requests_at_half =
            count_in_window(request_times_ns, request_time_count,
                            from_ns - FLEET_REPEAT_WINDOW_NS / 2);

        requests = requests_before > requests ? requests_before : requests;
        requests = requests_at_half > requests ? requests_at_half : requests;
        if (repeats > FLEET_REPEAT_RATIO * requests + FLEET_REPEAT_SLACK) {
            FleetSim_RecordViolation(
                sim, "service %u receives %u repeats for %u requests", service,
                repeats, requests);
        }
    }
}

/* Checks the servers, the routes and the other gateways in the sets of a
 * gateway after the faults. */
static void
check_gateway(FleetSim *sim, uint32_t index)
{
    const FleetGateway *gateway = &sim->gateways[index];
    const HrVmRecord *records[FLEET_GATEWAY_COUNT];
    uint32_t listed = 0, serving = 0, i;
    bool is_settled = true;

    for (i = 0; i < sim->server_count; i++) {
        listed += sim->servers[i].listed;
    }
    if (HrServerSet_GetServerCount(gateway->servers) != listed &&
        sim->fleet->now_ns - sim->list_changed_ns > LIST_LAG_NS) {
        FleetSim_RecordViolation(
            sim, "g%u has %u servers, %u are listed", index,
            HrServerSet_GetServerCount(gateway->servers), listed);
    }
    if (gateway->version != sim->version_count) {
        FleetSim_RecordViolation(sim, "g%u has version %u of the routes",
                                 index, gateway->version);
    }
    for (i = 0; i < FLEET_GATEWAY_COUNT; i++) {
        const FleetGateway *other = &sim->gateways[i];

        serving += !other->leaving;
        is_settled = is_settled && sim->fleet->daemons[i].up &&
                     sim->fleet->now_ns - other->last_fault_ns > START_LAG_NS;
    }
    if (is_settled && HrVmSet_FindServing(gateway->vms, !gateway->leaving, "a",
                                          sim->fleet->now_ns, records,
                                          FLEET_GATEWAY_COUNT) != serving) {
        FleetSim_RecordViolation(
            sim, "g%u lists %u of %u gateways for callers", index,
            HrVmSet_FindServing(gateway->vms, !gateway->leaving, "a",
                                sim->fleet->now_ns, records,
                                FLEET_GATEWAY_COUNT),
            serving);
    }
}

/* Checks the limits of repeats, the state of the gateways, and the requests
 * after the faults: at most one may fail for 50 that succeed. */
void
FleetChecker_CheckFinalState(FleetSim *sim)
{
    uint32_t i;

    for (i = 0; i < FLEET_SERVICE_COUNT; i++) {
        check_repeats(sim, i);
    }
    for (i = 0; i < FLEET_GATEWAY_COUNT; i++) {
        if (sim->fleet->daemons[i].up &&
            sim->fleet->now_ns - sim->gateways[i].last_fault_ns > SETTLE_NS) {
            check_gateway(sim, i);
        }
    }
    if (sim->refused_after_faults * 50 > sim->answered_after_faults) {
        FleetSim_RecordViolation(
            sim, "%u requests fail and %u succeed after the faults",
            sim->refused_after_faults, sim->answered_after_faults);
    }
}

/* Runs one schedule: a phase with faults and a phase without. */
bool
FleetSim_RunSchedule(uint64_t seed, bool trace, uint32_t fault_kinds,
                     FleetPlantedFault planted_fault)
{
    FleetSim *sim = talloc_zero(NULL, FleetSim);
    int64_t now_ns = SCHEDULE_START_NS;
    bool passed;

    sim->rng = HrRng_FromSeed(seed);
    sim->planted_fault = planted_fault;
    sim->fleet = HrFleet_Create(sim, seed, FLEET_GATEWAY_COUNT,
                                FleetGateway_HandleEvent,
                                FleetGateway_GetNextTimer, sim);
    sim->fleet->trace = trace;
    sim->fleet->loss = 0.02;
    sim->fleet->now_ns = now_ns;
    FleetSim_Init(sim);
    sim->fault_kinds = fault_kinds != 0 ? fault_kinds : sim->fault_kinds;
    while (now_ns < SCHEDULE_START_NS + FAULT_PHASE_NS + FAULT_FREE_PHASE_NS &&
           !sim->failed) {
        if (!sim->faults_ended &&
            now_ns >= SCHEDULE_START_NS + FAULT_PHASE_NS) {
            FleetSim_EndFaults(sim);
        }
        FleetSim_AdvanceStep(sim);
        now_ns += STEP_NS;
        HrFleet_RunUntil(sim->fleet, now_ns);
    }
    FleetChecker_CheckFinalState(sim);
    passed = !sim->failed;
    if (!passed && planted_fault == FLEET_PLANTED_NONE) {
        printf("seed %llu: %s\n", (unsigned long long)seed, sim->failure);
    }
    talloc_free(sim);
    return passed;
}
