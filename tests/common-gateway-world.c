#include "common-gateway-fleet.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define SERVERS_PER_SERVICE 3
#define BEAT_NS (1200 * HR_NS_PER_MS)
#define FAULT_KINDS 10
#define PAUSE_MAX_NS (5 * HR_NS_PER_S)
#define READ_LIMIT_NS (1500 * HR_NS_PER_MS)
#define REUSE_NS (2 * HR_NS_PER_S)
/* How long a server goes on after the store knows that it leaves. */
#define LINGER_NS (FLEET_DRAIN_NS + 500 * HR_NS_PER_MS)
/* Wide requests go to the first set of shards or to the second one, single
 * ones to one of the last two services. */
#define SECOND_SET FLEET_SHARDS
#define FIRST_SINGLE (2 * FLEET_SHARDS)

/* Starts a server; id, address: NULL for a new one. */
static FleetServer *
add_server(GatewayFleet *sim, uint32_t service, const char *id,
           const char *address)
{
    FleetServer *server;

    if (sim->server_count == FLEET_SERVERS) {
        return NULL;
    }
    server = &sim->servers[sim->server_count];
    *server =
        (FleetServer){.alive = true,
                      .listed = true,
                      .service = service,
                      .born_ms = 1000 + sim->fleet->now_ns / HR_NS_PER_MS,
                      .sequence = 1,
                      .left_ns = HR_TIME_NEVER,
                      .ends_ns = HR_TIME_NEVER,
                      .lapse_ns = HR_TIME_NEVER,
                      .back_ns = HR_TIME_NEVER};
    if (address != NULL) {
        snprintf(server->address, sizeof(server->address), "%s", address);
    }
    else {
        snprintf(server->address, sizeof(server->address), "10.0.%u.%u:80",
                 sim->server_count / 200, 1 + sim->server_count % 200);
    }
    if (id != NULL) {
        snprintf(server->id, sizeof(server->id), "%s", id);
    }
    else {
        snprintf(server->id, sizeof(server->id), "i-%u", sim->server_count);
    }
    sim->server_count++;
    return server;
}

/* Returns true if the store serves now. */
static bool
store_is_up(const GatewayFleet *sim)
{
    return sim->fleet->now_ns >= sim->store_down_until_ns;
}

/* Returns true if a gateway reaches the store. */
static bool
store_serves(const GatewayFleet *sim, uint32_t index)
{
    return store_is_up(sim) &&
           sim->fleet->now_ns >= sim->gateways[index].store_refuses_ns;
}

/* Writes a new version of the routes. */
static void
write_routes(GatewayFleet *sim)
{
    uint32_t number = sim->version_count, i;
    bool second = HrRng_Chance(&sim->rng, 0.5);
    FleetTable *table;

    if (number == FLEET_VERSIONS || !store_is_up(sim)) {
        return;
    }
    table = &sim->tables[sim->version_count++];
    for (i = 0; i < FLEET_SHARDS; i++) {
        table->wide[i] = (HrForwardTarget){(second ? SECOND_SET : 0) + i, 1};
    }
    table->once = (HrForwardTarget){
        FIRST_SINGLE + (uint32_t)HrRng_Below(&sim->rng, 2), 1};
    table->routes[0] = (HrForwardRoute){.name = "wide",
                                        .idempotent = true,
                                        .timeout_ms = FLEET_TIMEOUT_MS,
                                        .target_ms = 200,
                                        .max_attempts = 2,
                                        .kind = HR_FORWARD_SHARDS,
                                        .targets = table->wide,
                                        .target_count = FLEET_SHARDS,
                                        .result_limit = 5,
                                        .min_shard_ratio = 0.6};
    table->routes[1] = (HrForwardRoute){.name = "once",
                                        .timeout_ms = FLEET_TIMEOUT_MS,
                                        .target_ms = 200,
                                        .max_attempts = 3,
                                        .kind = HR_FORWARD_ONE,
                                        .targets = &table->once,
                                        .target_count = 1};
    table->table = (HrForwardTable){.version = sim->version_count,
                                    .routes = table->routes,
                                    .route_count = 2,
                                    .services = sim->services,
                                    .service_count = FLEET_SERVICES};
    table->acked_ns = sim->fleet->now_ns;
    HrFleet_Trace(sim->fleet, "version %u", sim->version_count);
}

/* Hands the newest version to the gateways that reach the store. */
static void
spread_routes(GatewayFleet *sim)
{
    uint32_t i;

    for (i = 0; i < FLEET_GATEWAYS; i++) {
        uint32_t *version;

        if (!sim->fleet->daemons[i].up || !store_serves(sim, i) ||
            sim->gateways[i].version == sim->version_count) {
            continue;
        }
        version = talloc(sim->fleet, uint32_t);
        *version = sim->version_count;
        HrFleet_At(sim->fleet,
                   sim->fleet->now_ns +
                       HrRng_ExponentialNs(&sim->rng, 20 * HR_NS_PER_MS),
                   i, GATEWAY_ROUTES, version);
    }
}

/* Creates servers, routes and gateways. */
void
FleetWorld_Init(GatewayFleet *sim)
{
    uint32_t i, k;

    for (i = 0; i < FLEET_SERVICES; i++) {
        snprintf(sim->names[i], sizeof(sim->names[i]), "s%u", i);
        sim->services[i] = (HrForwardService){sim->names[i], 24};
        for (k = 0; k < SERVERS_PER_SERVICE; k++) {
            add_server(sim, i, NULL, NULL);
        }
    }
    write_routes(sim);
    /* Some of the kinds in each schedule: few at a time meet more often. */
    sim->kinds = (uint32_t)HrRng_Next(&sim->rng);
    for (i = 0; i < FLEET_GATEWAYS; i++) {
        FleetGateway_Start(sim, i);
        sim->gateways[i].trouble_ns = -FLEET_CONTACT_NS;
    }
}

/* Fills in the entry of a server. */
HrServerEntry
FleetWorld_Entry(const GatewayFleet *sim, uint32_t server, uint64_t sequence,
                 bool draining)
{
    const FleetServer *row = &sim->servers[server];

    return (HrServerEntry){.id = row->id,
                           .service = sim->names[row->service],
                           .address = row->address,
                           .data_centre = "a",
                           .slots = 4,
                           .draining = draining,
                           .sequence = sequence,
                           .born_ms = row->born_ms};
}

/* Sends a read of a gateway to the store. */
void
FleetWorld_ReadStore(GatewayFleet *sim, uint32_t index)
{
    FleetListing *listing = talloc_zero(sim->fleet, FleetListing);
    int64_t now_ns = sim->fleet->now_ns;
    int64_t delay_ns = HrRng_ExponentialNs(&sim->rng, 4 * HR_NS_PER_MS);
    uint32_t i;

    if (now_ns < sim->store_slow_until_ns) {
        delay_ns *= 100;
    }
    listing->started_ns = now_ns;
    listing->ok = store_serves(sim, index) && delay_ns < READ_LIMIT_NS &&
                  !HrRng_Chance(&sim->rng, sim->answers_lost);
    for (i = 0; i < sim->server_count && listing->ok; i++) {
        const FleetServer *server = &sim->servers[i];

        if (server->listed && listing->count < FLEET_LISTED_MAX) {
            listing->rows[listing->count].server = i;
            listing->rows[listing->count].sequence = server->sequence;
            listing->rows[listing->count++].draining = server->listed_draining;
        }
    }
    HrFleet_At(sim->fleet, now_ns + (listing->ok ? delay_ns : READ_LIMIT_NS),
               index, GATEWAY_READ, listing);
}

/* Returns the server that answers at an address now; NULL: none. */
static FleetServer *
find_occupant(GatewayFleet *sim, const char *address)
{
    uint32_t i;

    for (i = sim->server_count; i > 0; i--) {
        FleetServer *server = &sim->servers[i - 1];

        if (server->alive && strcmp(server->address, address) == 0) {
            return server;
        }
    }
    return NULL;
}

/* Decides how a server that got a request ends it. */
static HrReply
draw_reply(GatewayFleet *sim, bool *runs)
{
    double chance = sim->quiet ? 1 : HrRng_Unit(&sim->rng);

    *runs = true;
    if (!sim->quiet && sim->fleet->now_ns < sim->shedding_until_ns &&
        HrRng_Chance(&sim->rng, 0.5)) {
        *runs = false;
        return HR_REPLY_DECLINED;
    }
    if (chance < 0.03) {
        *runs = false;
        return HR_REPLY_DECLINED;
    }
    if (chance < 0.05) {
        return HR_REPLY_ERROR;
    }
    if (chance < 0.07) {
        return HR_REPLY_LOST;
    }
    return chance < 0.075 ? HR_REPLY_MALFORMED : HR_REPLY_OK;
}

/* Sends an attempt to a server. */
void
FleetWorld_Send(GatewayFleet *sim, uint32_t request,
                const HrForwardAction *action)
{
    const HrReplica *replica = action->u.send.replica;
    FleetServer *server = find_occupant(sim, replica->address);
    FleetReply *reply = talloc_zero(sim->fleet, FleetReply);
    int64_t delay_ns = 2 * HR_NS_PER_MS;
    bool runs = false;

    reply->request = request;
    reply->unit = action->unit;
    reply->attempt = action->attempt;
    if (server == NULL) {
        reply->reply = HR_REPLY_NOT_SENT;
    }
    else if (strcmp(server->id, replica->id) != 0) {
        reply->reply = HR_REPLY_MISDIRECTED;
    }
    else {
        reply->reply = draw_reply(sim, &runs);
        delay_ns += HrRng_ExponentialNs(&sim->rng, 12 * HR_NS_PER_MS);
        if (!sim->quiet && HrRng_Chance(&sim->rng, 0.03)) {
            delay_ns += 250 * HR_NS_PER_MS;
        }
    }
    if (reply->reply != HR_REPLY_NOT_SENT) {
        FleetJudge_Arrival(sim, request, action->unit, server, runs);
    }
    HrFleet_At(sim->fleet, sim->fleet->now_ns + delay_ns,
               sim->requests[request].gateway, GATEWAY_REPLY, reply);
}

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
    if (count_staying(sim, server->service) < 2 || !store_is_up(sim)) {
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
    add_server(sim, server->service, NULL, NULL);
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
    if (HrRng_Chance(&sim->rng, 0.4) && store_is_up(sim)) {
        snprintf(id, sizeof(id), "%s", server->id);
        snprintf(address, sizeof(address), "%s", server->address);
        server->listed = false;
        add_server(sim, service, id, address);
    }
    else {
        add_server(sim, service, NULL, NULL);
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
        if (find_occupant(sim, server->address) == NULL) {
            add_server(sim, (server->service + 1) % FLEET_SERVICES, NULL,
                       server->address);
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
static void
disturb(GatewayFleet *sim)
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
        write_routes(sim);
        break;
    }
}

/* Moves the entry of one server. */
static void
tick_server(GatewayFleet *sim, FleetServer *server)
{
    int64_t now_ns = sim->fleet->now_ns;

    if (server->alive && now_ns >= server->ends_ns) {
        server->alive = false;
        server->listed = false;
        sim->list_changed_ns = now_ns;
    }
    if (!server->alive) {
        if (server->listed && now_ns >= server->lapse_ns) {
            server->listed = false;
            sim->list_changed_ns = now_ns;
        }
        return;
    }
    if (!store_is_up(sim)) {
        if (sim->store_lapses && HrRng_Chance(&sim->rng, 0.01)) {
            server->listed = false;
        }
        server->back_ns = HR_TIME_NEVER;
        return;
    }
    if (!server->listed && !server->leaving) {
        if (server->back_ns == HR_TIME_NEVER) {
            server->back_ns =
                now_ns + (int64_t)HrRng_Below(&sim->rng, 2 * HR_NS_PER_S);
        }
        if (now_ns >= server->back_ns) {
            server->listed = true;
            server->sequence++;
            sim->list_changed_ns = now_ns;
        }
        return;
    }
    if (HrRng_Chance(&sim->rng, 0.04)) {
        server->sequence++;
    }
}

/* Sends callers' requests to the gateways. */
static void
tick_callers(GatewayFleet *sim)
{
    uint32_t i, k;

    for (i = 0; i < FLEET_GATEWAYS; i++) {
        for (k = 0; k < 2 && sim->fleet->daemons[i].up; k++) {
            bool *once = talloc(sim->fleet, bool);

            *once = HrRng_Chance(&sim->rng, 0.3);
            HrFleet_At(sim->fleet,
                       sim->fleet->now_ns +
                           (int64_t)HrRng_Below(&sim->rng, 50 * HR_NS_PER_MS),
                       i, GATEWAY_REQUEST, once);
        }
    }
}

/* Moves the world on by one step. */
void
FleetWorld_Tick(GatewayFleet *sim)
{
    uint32_t i;

    for (i = 0; i < sim->server_count; i++) {
        tick_server(sim, &sim->servers[i]);
    }
    if (!sim->quiet && HrRng_Chance(&sim->rng, 0.2)) {
        disturb(sim);
    }
    for (i = 0; i < FLEET_GATEWAYS; i++) {
        if (!sim->fleet->daemons[i].up && HrRng_Chance(&sim->rng, 0.08)) {
            FleetGateway_Start(sim, i);
            HrFleet_Trace(sim->fleet, "g%u starts", i);
        }
    }
    if (sim->answers_lost > 0 && sim->fleet->now_ns > sim->store_trouble_ns) {
        sim->store_trouble_ns = sim->fleet->now_ns;
    }
    spread_routes(sim);
    tick_callers(sim);
}

/* Lets the faults end. */
void
FleetWorld_Calm(GatewayFleet *sim)
{
    int64_t now_ns = sim->fleet->now_ns;
    uint32_t i;

    sim->quiet = true;
    sim->store_down_until_ns = now_ns;
    sim->store_slow_until_ns = now_ns;
    sim->store_trouble_ns = now_ns;
    sim->answers_lost = 0;
    HrFleet_Heal(sim->fleet);
    for (i = 0; i < FLEET_GATEWAYS; i++) {
        FleetGateway *gateway = &sim->gateways[i];

        gateway->store_refuses_ns = 0;
        gateway->trouble_ns =
            gateway->resumed_ns > now_ns ? gateway->resumed_ns : now_ns;
    }
}
