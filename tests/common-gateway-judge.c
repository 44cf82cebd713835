#include "common-gateway-fleet.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define START_NS (100 * HR_NS_PER_S)
#define STEP_NS (50 * HR_NS_PER_MS)
#define STORM_NS (12 * HR_NS_PER_S)
/* After the faults: entries come back, silence is noticed, limits fill. */
#define SETTLE_NS (5 * HR_NS_PER_S)
#define CALM_NS (10 * HR_NS_PER_S)
/* A change of the list is known everywhere. */
#define LIST_LAG_NS (1500 * HR_NS_PER_MS)
/* A gateway that has started is known to the others. */
#define START_LAG_NS (1500 * HR_NS_PER_MS)

/* Notes a broken promise; the first one is kept. */
void
GatewayFleet_Fail(GatewayFleet *sim, const char *format, ...)
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

/* Returns true if bounds in time hold for a gateway now: neither it nor the
 * store had a fault for a while. */
static bool
is_in_touch(const GatewayFleet *sim, uint32_t index)
{
    int64_t since_ns = sim->fleet->now_ns - FLEET_CONTACT_NS;

    return sim->gateways[index].trouble_ns < since_ns &&
           sim->store_trouble_ns < since_ns;
}

/* Notes the first send to a service, or a further one. */
static void
note_time(int64_t *times, uint32_t *count, int64_t now_ns)
{
    if (*count < FLEET_REQUESTS) {
        times[(*count)++] = now_ns;
    }
}

/* Notes a request of a caller, and checks the routes that it is handled by. */
void
FleetJudge_Request(GatewayFleet *sim, uint32_t number)
{
    FleetRequest *request = &sim->requests[number];
    const FleetTable *table = &sim->tables[request->version - 1];
    const HrForwardRoute *route = &table->routes[request->once ? 1 : 0];
    uint32_t i;

    for (i = 0; i < route->target_count; i++) {
        uint32_t service = route->targets[i].service;

        note_time(sim->asked[service], &sim->asked_count[service],
                  sim->fleet->now_ns);
    }
    if (request->version < sim->version_count &&
        is_in_touch(sim, request->gateway) &&
        sim->fleet->now_ns - sim->tables[request->version].acked_ns >
            FLEET_APPLY_NS) {
        GatewayFleet_Fail(sim, "g%u serves by the old version %u",
                          request->gateway, request->version);
    }
}

/* Checks a request that reaches a server. */
void
FleetJudge_Arrival(GatewayFleet *sim, uint32_t number, uint32_t unit,
                   const FleetServer *server, bool runs)
{
    FleetRequest *request = &sim->requests[number];
    const FleetTable *table = &sim->tables[request->version - 1];
    const HrForwardRoute *route = &table->routes[request->once ? 1 : 0];
    uint32_t service = route->targets[unit].service;
    int64_t now_ns = sim->fleet->now_ns;

    if (request->refused) {
        GatewayFleet_Fail(sim, "request %u is sent after its refusal", number);
    }
    request->runs += runs;
    if (runs && request->once && request->runs > 1) {
        GatewayFleet_Fail(sim, "request %u runs twice", number);
    }
    if (runs && server->service != service) {
        GatewayFleet_Fail(sim, "request %u runs at service %u", number,
                          server->service);
    }
    if (runs && server->left_ns != HR_TIME_NEVER &&
        now_ns - server->left_ns > FLEET_DRAIN_NS &&
        is_in_touch(sim, request->gateway)) {
        GatewayFleet_Fail(sim,
                          "g%u sends to %s %.1f s after it said that it "
                          "leaves",
                          request->gateway, server->id,
                          (double)(now_ns - server->left_ns) / HR_NS_PER_S);
    }
    if (request->reached[unit]++ > 0) {
        note_time(sim->repeated[service], &sim->repeated_count[service],
                  now_ns);
    }
    if (request->reached[unit] > route->max_attempts) {
        GatewayFleet_Fail(sim, "request %u is sent to too many servers",
                          number);
    }
}

/* Checks the end of a request. */
void
FleetJudge_End(GatewayFleet *sim, uint32_t number,
               const HrForwardAction *action)
{
    FleetRequest *request = &sim->requests[number];
    HrForwardEnd end = action->u.finish.end;
    const FleetGateway *gateway = &sim->gateways[request->gateway];
    bool late_phase =
        sim->quiet && sim->fleet->now_ns - gateway->trouble_ns > SETTLE_NS;

    if (end == HR_FORWARD_END_REFUSE) {
        request->refused = true;
        if (request->runs > 0) {
            GatewayFleet_Fail(sim, "request %u is refused and has run",
                              number);
        }
    }
    /* A paused gateway answers when it goes on. */
    if (sim->fleet->now_ns > request->limit_ns + 20 * HR_NS_PER_MS &&
        gateway->resumed_ns <
            request->limit_ns - FLEET_TIMEOUT_MS * HR_NS_PER_MS) {
        GatewayFleet_Fail(sim, "request %u ends late", number);
    }
    if (late_phase) {
        if (end == HR_FORWARD_END_MERGE || end == HR_FORWARD_END_PASS_ON) {
            sim->answered_late_phase++;
        }
        else {
            sim->refused_late_phase++;
        }
    }
}

/* Counts the times within [from, from + window). */
static uint32_t
count_window(const int64_t *times, uint32_t count, int64_t from_ns)
{
    uint32_t found = 0, i;

    for (i = 0; i < count; i++) {
        found += times[i] >= from_ns && times[i] < from_ns + FLEET_WINDOW_NS;
    }
    return found;
}

/* Checks the limit of repeats of one service in windows that begin at a
 * repeat. */
static void
check_repeats(GatewayFleet *sim, uint32_t service)
{
    const int64_t *asked = sim->asked[service];
    uint32_t asked_count = sim->asked_count[service], i;

    for (i = 0; i < sim->repeated_count[service]; i += 5) {
        int64_t from_ns = sim->repeated[service][i];
        uint32_t repeats = count_window(sim->repeated[service],
                                        sim->repeated_count[service], from_ns);
        uint32_t requests = count_window(asked, asked_count, from_ns);
        uint32_t before =
            count_window(asked, asked_count, from_ns - FLEET_WINDOW_NS);
        uint32_t half =
            count_window(asked, asked_count, from_ns - FLEET_WINDOW_NS / 2);

        requests = before > requests ? before : requests;
        requests = half > requests ? half : requests;
        if (repeats > FLEET_RATIO * requests + FLEET_SLACK) {
            GatewayFleet_Fail(sim, "service %u gets %u repeats of %u requests",
                              service, repeats, requests);
        }
    }
}

/* Checks what a gateway knows once all is calm. */
static void
check_gateway(GatewayFleet *sim, uint32_t index)
{
    const FleetGateway *gateway = &sim->gateways[index];
    const HrVmRecord *records[FLEET_GATEWAYS];
    uint32_t listed = 0, serving = 0, i;
    bool is_settled = true;

    for (i = 0; i < sim->server_count; i++) {
        listed += sim->servers[i].listed;
    }
    if (HrServerSet_GetServerCount(gateway->servers) != listed &&
        sim->fleet->now_ns - sim->list_changed_ns > LIST_LAG_NS) {
        GatewayFleet_Fail(sim, "g%u knows %u servers, %u are listed", index,
                          HrServerSet_GetServerCount(gateway->servers),
                          listed);
    }
    if (gateway->version != sim->version_count) {
        GatewayFleet_Fail(sim, "g%u has version %u", index, gateway->version);
    }
    for (i = 0; i < FLEET_GATEWAYS; i++) {
        const FleetGateway *other = &sim->gateways[i];

        serving += !other->leaving;
        is_settled = is_settled && sim->fleet->daemons[i].up &&
                     sim->fleet->now_ns - other->trouble_ns > START_LAG_NS;
    }
    if (is_settled && HrVmSet_FindServing(gateway->vms, !gateway->leaving, "a",
                                          sim->fleet->now_ns, records,
                                          FLEET_GATEWAYS) != serving) {
        GatewayFleet_Fail(sim, "g%u hands out %u of %u gateways", index,
                          HrVmSet_FindServing(gateway->vms, !gateway->leaving,
                                              "a", sim->fleet->now_ns, records,
                                              FLEET_GATEWAYS),
                          serving);
    }
}

/* Checks what only shows at the end of a schedule. */
void
FleetJudge_Final(GatewayFleet *sim)
{
    uint32_t i;

    for (i = 0; i < FLEET_SERVICES; i++) {
        check_repeats(sim, i);
    }
    for (i = 0; i < FLEET_GATEWAYS; i++) {
        if (sim->fleet->daemons[i].up &&
            sim->fleet->now_ns - sim->gateways[i].trouble_ns > SETTLE_NS) {
            check_gateway(sim, i);
        }
    }
    if (sim->refused_late_phase * 50 > sim->answered_late_phase) {
        GatewayFleet_Fail(sim, "%u requests fail and %u succeed in calm",
                          sim->refused_late_phase, sim->answered_late_phase);
    }
}

/* Plays one schedule. */
bool
GatewayFleet_Play(uint64_t seed, bool trace, uint32_t kinds, FleetPlant plant)
{
    GatewayFleet *sim = talloc_zero(NULL, GatewayFleet);
    int64_t now_ns = START_NS;
    bool passed;

    sim->rng = HrRng_FromSeed(seed);
    sim->plant = plant;
    sim->fleet = HrFleet_Create(sim, seed, FLEET_GATEWAYS, FleetGateway_Handle,
                                FleetGateway_Timer, sim);
    sim->fleet->trace = trace;
    sim->fleet->loss = 0.02;
    sim->fleet->now_ns = now_ns;
    FleetWorld_Init(sim);
    sim->kinds = kinds != 0 ? kinds : sim->kinds;
    while (now_ns < START_NS + STORM_NS + CALM_NS && !sim->failed) {
        if (!sim->quiet && now_ns >= START_NS + STORM_NS) {
            FleetWorld_Calm(sim);
        }
        FleetWorld_Tick(sim);
        now_ns += STEP_NS;
        HrFleet_Run(sim->fleet, now_ns);
    }
    FleetJudge_Final(sim);
    passed = !sim->failed;
    if (!passed && plant == FLEET_PLANT_NONE) {
        printf("seed %llu: %s\n", (unsigned long long)seed, sim->failure);
    }
    talloc_free(sim);
    return passed;
}
