#include "common-gateway-fleet.h"

#include <stdio.h>
#include <string.h>

#define BEAT_NS (1200 * HR_NS_PER_MS)
#define FAULT_KINDS 10
#define PAUSE_MAX_NS (5 * HR_NS_PER_S)
#define REUSE_NS (2 * HR_NS_PER_S)
/* How long a server goes on after the store knows that it leaves. */
#define LINGER_NS (FLEET_DRAIN_NS + 500 * HR_NS_PER_MS)

/* Returns a random server that lives and does not leave; NULL: none. */
static FleetServer *
choose_server(GatewayFleet *sim)
{
    uint32_t first = (uint32_t)HrRng_Below(&sim->rng, sim->server_count), i;

    for (i = 0; i < sim->server_count; i++) {
        FleetServer *server = &sim->servers[(first + i) % sim->server_count];

        if (server->alive && !server->leaving) {
            return server;
        }
    }
    return NULL;
}

/* Returns how many servers of a service live and do not leave. */
static uint32_t
count_staying(const GatewayFleet *sim, uint32_t service)
{
    uint32_t count = 0, i;

    for (i = 0; i < sim->server_count; i++) {
        count += sim->servers[i].service == service && sim->servers[i].alive &&
                 !sim->servers[i].leaving;
    }
    return count;
}

/* Lets a server leave: it reports that, or its entry goes at once. */
static void
leave_server(GatewayFleet *sim, FleetServer *server)
{
    if (count_staying(sim, server->service) < 2 ||
        !FleetWorld_StoreIsUp(sim)) {
        return;
    }
    server->leaving = true;
    server->left_ns = sim->fleet->now_ns;
    server->ends_ns = server->left_ns + LINGER_NS +
                      HrRng_ExponentialNs(&sim->rng, 3 * HR_NS_PER_S);
    server->sequence++;
    if (HrRng_Chance(&sim->rng, 0.6)) {
        server->listed_draining = true;
    }
    else {
        server->listed = false;
    }
    HrFleet_Trace(sim->fleet, "%s leaves (%s)", server->id,
                  server->listed ? "draining" : "removed");
    FleetWorld_AddServer(sim, server->service, NULL, NULL);
}

/* Ends a server without notice; it may start again under the same id. */
static void
crash_server(GatewayFleet *sim, FleetServer *server)
{
    char id[sizeof(server->id)], address[sizeof(server->address)];
    uint32_t service = server->service;

    if (count_staying(sim, service) < 2) {
        return;
    }
    server->alive = false;
    server->crashed = true;
    server->ends_ns = sim->fleet->now_ns;
    server->lapse_ns = sim->fleet->now_ns + 3 * BEAT_NS;
    HrFleet_Trace(sim->fleet, "%s crashes", server->id);
    if (HrRng_Chance(&sim->rng, 0.4) && FleetWorld_StoreIsUp(sim)) {
        snprintf(id, sizeof(id), "%s", server->id);
        snprintf(address, sizeof(address), "%s", server->address);
        server->listed = false;
        FleetWorld_AddServer(sim, service, id, address);
    }
    else {
        FleetWorld_AddServer(sim, service, NULL, NULL);
    }
}

/* Gives the address of a server that has ended to a new one of another
 * service. */
static void
reuse_address(GatewayFleet *sim)
{
    uint32_t i;

    for (i = 0; i < sim->server_count; i++) {
        FleetServer *server = &sim->servers[i];

        if (server->alive || server->ends_ns == HR_TIME_NEVER ||
            sim->fleet->now_ns - server->ends_ns <= REUSE_NS ||
            server->address_reused) {
            continue;
        }
        server->address_reused = true;
        /* It may be in use by a restart under the same id. */
        if (FleetWorld_FindOccupant(sim, server->address) == NULL) {
            FleetWorld_AddServer(sim, (server->service + 1) % FLEET_SERVICES,
                                 NULL, server->address);
            return;
        }
    }
}

/* Notes a fault on a gateway's VM that lasts until a time. */
static void
note_trouble(GatewayFleet *sim, uint32_t index, int64_t until_ns)
{
    FleetGateway *gateway = &sim->gateways[index];

    if (until_ns > gateway->trouble_ns) {
        gateway->trouble_ns = until_ns;
    }
}

/* Notes that a cut of a gateway's messages has ended; a pause may go on. */
static void
end_trouble(GatewayFleet *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];

    gateway->trouble_ns = sim->fleet->now_ns;
    note_trouble(sim, index, gateway->resumed_ns);
    note_trouble(sim, index, gateway->store_refuses_ns);
}

/* Cuts the messages between two gateways, or heals them. */
static void
toggle_cut(GatewayFleet *sim, uint32_t left, uint32_t right)
{
    bool cut = sim->fleet->cut[left * FLEET_GATEWAYS + right];

    HrFleet_Cut(sim->fleet, left, right, !cut);
    if (cut) {
        end_trouble(sim, left);
        end_trouble(sim, right);
    }
    else {
        note_trouble(sim, left, HR_TIME_NEVER - 1);
        note_trouble(sim, right, HR_TIME_NEVER - 1);
    }
}

/* Pauses a gateway. */
static void
pause_gateway(GatewayFleet *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];
    int64_t pause_ns = HrRng_ExponentialNs(&sim->rng, 3 * HR_NS_PER_S);

    if (sim->fleet->daemons[index].paused_until_ns > sim->fleet->now_ns) {
        return;
    }
    pause_ns = pause_ns < PAUSE_MAX_NS ? pause_ns : PAUSE_MAX_NS;
    gateway->paused_at_ns = sim->fleet->now_ns;
    gateway->resumed_ns = sim->fleet->now_ns + pause_ns;
    gateway->pause_noted = false;
    HrFleet_Pause(sim->fleet, index, gateway->resumed_ns);
    note_trouble(sim, index, gateway->resumed_ns);
    HrFleet_Trace(sim->fleet, "g%u pauses for %.1f s", index,
                  (double)(gateway->resumed_ns - gateway->paused_at_ns) /
                      HR_NS_PER_S);
}

/* Makes the store fail in one of its ways. */
static void
fail_store(GatewayFleet *sim)
{
    int64_t until_ns =
        sim->fleet->now_ns + HrRng_ExponentialNs(&sim->rng, 3 * HR_NS_PER_S);
    uint32_t index = (uint32_t)HrRng_Below(&sim->rng, FLEET_GATEWAYS);

    switch (HrRng_Below(&sim->rng, 4)) {
    case 0:
        sim->store_down_until_ns = until_ns;
        sim->store_lapses = HrRng_Chance(&sim->rng, 0.5);
        break;
    case 1:
        sim->store_slow_until_ns = until_ns;
        break;
    case 2:
        sim->gateways[index].store_refuses_ns = until_ns;
        HrFleet_Trace(sim->fleet, "the store refuses g%u until %.1f s", index,
                      (double)until_ns / HR_NS_PER_S);
        note_trouble(sim, index, until_ns);
        return;
    default:
        sim->answers_lost = sim->answers_lost > 0 ? 0 : 0.4;
        until_ns = sim->fleet->now_ns;
        break;
    }
    if (until_ns > sim->store_trouble_ns) {
        sim->store_trouble_ns = until_ns;
    }
    HrFleet_Trace(sim->fleet, "the store fails until %.1f s",
                  (double)until_ns / HR_NS_PER_S);
}

/* Restarts a gateway, gently or not, perhaps after its wall clock jumped. */
static void
restart_gateway(GatewayFleet *sim, uint32_t index)
{
    if (HrRng_Chance(&sim->rng, 0.4)) {
        HrFleet_Trace(sim->fleet, "g%u is told to stop", index);
        note_trouble(sim, index, sim->fleet->now_ns);
        if (!sim->gateways[index].leaving &&
            sim->fleet->daemons[index].paused_until_ns <= sim->fleet->now_ns) {
            FleetGateway_Stop(sim, index);
        }
        return;
    }
    HrFleet_Trace(sim->fleet, "g%u is killed", index);
    FleetGateway_Crash(sim, index);
    if (HrRng_Chance(&sim->rng, 0.5)) {
        sim->fleet->daemons[index].wall_offset_ms =
            (int64_t)HrRng_Below(&sim->rng, 20000) - 10000;
    }
}

/* Lets one fault or planned change happen. */
void
FleetFaults_Disturb(GatewayFleet *sim)
{
    uint32_t index = (uint32_t)HrRng_Below(&sim->rng, FLEET_GATEWAYS);
    FleetServer *server = choose_server(sim);
    uint32_t kind = (uint32_t)HrRng_Below(&sim->rng, FAULT_KINDS);

    if ((sim->kinds & 1u << kind) == 0) {
        return;
    }
    switch (kind) {
    case 0:
    case 1:
        if (server != NULL) {
            leave_server(sim, server);
        }
        break;
    case 2:
        if (server != NULL) {
            crash_server(sim, server);
        }
        break;
    case 3:
        reuse_address(sim);
        break;
    case 4:
        if (sim->fleet->daemons[index].up) {
            pause_gateway(sim, index);
        }
        break;
    case 5:
        fail_store(sim);
        break;
    case 6:
        if (sim->fleet->daemons[index].up) {
            restart_gateway(sim, index);
        }
        break;
    case 7:
        toggle_cut(sim, index, (index + 1) % FLEET_GATEWAYS);
        break;
    case 8:
        sim->shedding_until_ns =
            sim->fleet->now_ns +
            HrRng_ExponentialNs(&sim->rng, 5 * HR_NS_PER_S);
        HrFleet_Trace(sim->fleet, "servers shed until %.1f s",
                      (double)sim->shedding_until_ns / HR_NS_PER_S);
        break;
    default:
        FleetWorld_WriteRoutes(sim);
        break;
    }
}
