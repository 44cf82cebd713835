#include "common-gateway-fleet.h"

#include <stdio.h>
#include <string.h>

#define HEARTBEAT_PERIOD_NS (1200 * HR_NS_PER_MS)
#define FAULT_KIND_COUNT 10
#define PAUSE_MAX_NS (5 * HR_NS_PER_S)
#define ADDRESS_REUSE_DELAY_NS (2 * HR_NS_PER_S)
/* How long a server continues to serve after the store accepted that it is
 * leaving. */
#define SERVE_AFTER_LEAVE_NS (FLEET_DRAIN_MAX_NS + 500 * HR_NS_PER_MS)

/* Returns a random server that is running and not leaving, or NULL. */
static FleetServer *
choose_staying_server(FleetSim *sim)
{
    uint32_t first = (uint32_t)HrRng_DrawBelow(&sim->rng, sim->server_count),
             i;

    for (i = 0; i < sim->server_count; i++) {
        FleetServer *server = &sim->servers[(first + i) % sim->server_count];

        if (server->alive && !server->leaving) {
            return server;
        }
    }
    return NULL;
}

/* Returns how many servers of a service are running and not leaving. */
static uint32_t
count_staying_servers(const FleetSim *sim, uint32_t service)
{
    uint32_t count = 0, i;

    for (i = 0; i < sim->server_count; i++) {
        count += sim->servers[i].service == service && sim->servers[i].alive &&
                 !sim->servers[i].leaving;
    }
    return count;
}

/* Starts the shutdown of a server, which marks its entry as draining or
 * removes it at once, and starts a replacement. The last server of a service
 * does not leave, and none does while the store is down. */
static void
make_server_leave(FleetSim *sim, FleetServer *server)
{
    if (count_staying_servers(sim, server->service) < 2 ||
        !FleetSim_IsStoreUp(sim)) {
        return;
    }
    server->leaving = true;
    server->leaving_since_ns = sim->fleet->now_ns;
    server->exits_ns = server->leaving_since_ns + SERVE_AFTER_LEAVE_NS +
                       HrRng_DrawExponentialNs(&sim->rng, 3 * HR_NS_PER_S);
    server->sequence++;
    if (HrRng_DrawBool(&sim->rng, 0.6)) {
        server->listed_draining = true;
    }
    else {
        server->listed = false;
    }
    HrFleet_PrintTrace(sim->fleet, "%s leaves (%s)", server->id,
                       server->listed ? "draining" : "removed");
    FleetSim_AddServer(sim, server->service, NULL, NULL);
}

/* Crashes a server. Starts a new process with the same id and address, or a
 * replacement. The last server of a service does not crash. */
static void
crash_server(FleetSim *sim, FleetServer *server)
{
    char id[sizeof(server->id)], address[sizeof(server->address)];
    uint32_t service = server->service;

    if (count_staying_servers(sim, service) < 2) {
        return;
    }
    server->alive = false;
    server->crashed = true;
    server->exits_ns = sim->fleet->now_ns;
    server->entry_expires_ns = sim->fleet->now_ns + 3 * HEARTBEAT_PERIOD_NS;
    HrFleet_PrintTrace(sim->fleet, "%s crashes", server->id);
    if (HrRng_DrawBool(&sim->rng, 0.4) && FleetSim_IsStoreUp(sim)) {
        snprintf(id, sizeof(id), "%s", server->id);
        snprintf(address, sizeof(address), "%s", server->address);
        server->listed = false;
        FleetSim_AddServer(sim, service, id, address);
    }
    else {
        FleetSim_AddServer(sim, service, NULL, NULL);
    }
}

/* Starts a server of another service at the address of one that has exited. */
static void
reuse_address(FleetSim *sim)
{
    uint32_t i;

    for (i = 0; i < sim->server_count; i++) {
        FleetServer *server = &sim->servers[i];

        if (server->alive || server->exits_ns == HR_TIME_NEVER ||
            sim->fleet->now_ns - server->exits_ns <= ADDRESS_REUSE_DELAY_NS ||
            server->address_reused) {
            continue;
        }
        server->address_reused = true;
        /* A restarted server with the same id may use the address. */
        if (FleetSim_FindServerAt(sim, server->address) == NULL) {
            FleetSim_AddServer(sim,
                               (server->service + 1) % FLEET_SERVICE_COUNT,
                               NULL, server->address);
            return;
        }
    }
}

/* Records that the VM of a gateway has a fault until until_ns, unless a later
 * end is recorded. */
static void
extend_fault(FleetSim *sim, uint32_t index, int64_t until_ns)
{
    FleetGateway *gateway = &sim->gateways[index];

    if (until_ns > gateway->last_fault_ns) {
        gateway->last_fault_ns = until_ns;
    }
}

/* Records that a cut of a gateway's link has ended. A pause or a refusal of
 * the store may last longer. */
static void
record_cut_end(FleetSim *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];

    gateway->last_fault_ns = sim->fleet->now_ns;
    extend_fault(sim, index, gateway->resumed_ns);
    extend_fault(sim, index, gateway->store_refuses_until_ns);
}

/* Cuts the link between two gateways, or restores it. */
static void
toggle_link_cut(FleetSim *sim, uint32_t first, uint32_t second)
{
    bool cut = sim->fleet->cut[first * FLEET_GATEWAY_COUNT + second];

    HrFleet_SetLinkCut(sim->fleet, first, second, !cut);
    if (cut) {
        record_cut_end(sim, first);
        record_cut_end(sim, second);
    }
    else {
        extend_fault(sim, first, HR_TIME_NEVER - 1);
        extend_fault(sim, second, HR_TIME_NEVER - 1);
    }
}

/* Pauses a gateway for at most PAUSE_MAX_NS, unless it is paused. */
static void
pause_gateway(FleetSim *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];
    int64_t pause_ns = HrRng_DrawExponentialNs(&sim->rng, 3 * HR_NS_PER_S);

    if (sim->fleet->daemons[index].paused_until_ns > sim->fleet->now_ns) {
        return;
    }
    pause_ns = pause_ns < PAUSE_MAX_NS ? pause_ns : PAUSE_MAX_NS;
    gateway->paused_at_ns = sim->fleet->now_ns;
    gateway->resumed_ns = sim->fleet->now_ns + pause_ns;
    gateway->pause_recorded = false;
    HrFleet_PauseDaemon(sim->fleet, index, gateway->resumed_ns);
    extend_fault(sim, index, gateway->resumed_ns);
    HrFleet_PrintTrace(sim->fleet, "g%u pauses for %.1f s", index,
                       (double)(gateway->resumed_ns - gateway->paused_at_ns) /
                           HR_NS_PER_S);
}

/* Injects one of four faults of the store: it is down, is slow, refuses one
 * gateway, or loses answers. The last one continues until it is drawn again.
 */
static void
fail_store(FleetSim *sim)
{
    int64_t until_ns = sim->fleet->now_ns +
                       HrRng_DrawExponentialNs(&sim->rng, 3 * HR_NS_PER_S);
    uint32_t index = (uint32_t)HrRng_DrawBelow(&sim->rng, FLEET_GATEWAY_COUNT);

    switch (HrRng_DrawBelow(&sim->rng, 4)) {
    case 0:
        sim->store_down_until_ns = until_ns;
        sim->outage_expires_entries = HrRng_DrawBool(&sim->rng, 0.5);
        break;
    case 1:
        sim->store_slow_until_ns = until_ns;
        break;
    case 2:
        sim->gateways[index].store_refuses_until_ns = until_ns;
        HrFleet_PrintTrace(sim->fleet, "the store refuses g%u until %.1f s",
                           index, (double)until_ns / HR_NS_PER_S);
        extend_fault(sim, index, until_ns);
        return;
    default:
        sim->answer_loss_rate = sim->answer_loss_rate > 0 ? 0 : 0.4;
        until_ns = sim->fleet->now_ns;
        break;
    }
    if (until_ns > sim->store_last_fault_ns) {
        sim->store_last_fault_ns = until_ns;
    }
    HrFleet_PrintTrace(sim->fleet, "the store fails until %.1f s",
                       (double)until_ns / HR_NS_PER_S);
}

/* Stops a gateway gracefully or kills it; a later step starts it again. The
 * wall clock of a killed one may jump by up to 10 s. */
static void
stop_or_kill_gateway(FleetSim *sim, uint32_t index)
{
    if (HrRng_DrawBool(&sim->rng, 0.4)) {
        HrFleet_PrintTrace(sim->fleet, "g%u receives a stop signal", index);
        extend_fault(sim, index, sim->fleet->now_ns);
        if (!sim->gateways[index].leaving &&
            sim->fleet->daemons[index].paused_until_ns <= sim->fleet->now_ns) {
            FleetGateway_StartShutdown(sim, index);
        }
        return;
    }
    HrFleet_PrintTrace(sim->fleet, "g%u is killed", index);
    FleetGateway_Crash(sim, index);
    if (HrRng_DrawBool(&sim->rng, 0.5)) {
        sim->fleet->daemons[index].wall_offset_ms =
            (int64_t)HrRng_DrawBelow(&sim->rng, 20000) - 10000;
    }
}

/* Injects one fault or planned change of a random kind, if fault_kinds
 * includes that kind. The bits of fault_kinds: 0 and 1, a server leaves; 2, a
 * server crashes; 3, an address is reused; 4, a gateway is paused; 5, the
 * store fails; 6, a gateway is stopped or killed; 7, a link is cut or
 * restored; 8, servers shed requests; 9, new routes. */
void
FleetSim_InjectFault(FleetSim *sim)
{
    uint32_t index = (uint32_t)HrRng_DrawBelow(&sim->rng, FLEET_GATEWAY_COUNT);
    FleetServer *server = choose_staying_server(sim);
    uint32_t kind = (uint32_t)HrRng_DrawBelow(&sim->rng, FAULT_KIND_COUNT);

    if ((sim->fault_kinds & 1u << kind) == 0) {
        return;
    }
    switch (kind) {
    case 0:
    case 1:
        if (server != NULL) {
            make_server_leave(sim, server);
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
            stop_or_kill_gateway(sim, index);
        }
        break;
    case 7:
        toggle_link_cut(sim, index, (index + 1) % FLEET_GATEWAY_COUNT);
        break;
    case 8:
        sim->shedding_until_ns =
            sim->fleet->now_ns +
            HrRng_DrawExponentialNs(&sim->rng, 5 * HR_NS_PER_S);
        HrFleet_PrintTrace(sim->fleet, "servers shed until %.1f s",
                           (double)sim->shedding_until_ns / HR_NS_PER_S);
        break;
    default:
        FleetSim_WriteRoutes(sim);
        break;
    }
}
