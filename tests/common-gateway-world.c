#include "common-gateway-fleet.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define SERVERS_PER_SERVICE 3
#define READ_LIMIT_NS (1500 * HR_NS_PER_MS)
/* Wide requests go to the first set of shards or to the second one, single
 * ones to one of the last two services. */
#define SECOND_SET FLEET_SHARDS
#define FIRST_SINGLE (2 * FLEET_SHARDS)

/* Starts a server; id, address: NULL for a new one. */
FleetServer *
FleetWorld_AddServer(GatewayFleet *sim, uint32_t service, const char *id,
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
                      .started_ms = 1000 + sim->fleet->now_ns / HR_NS_PER_MS,
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
bool
FleetWorld_StoreIsUp(const GatewayFleet *sim)
{
    return sim->fleet->now_ns >= sim->store_down_until_ns;
}

/* Returns true if a gateway reaches the store. */
static bool
store_serves(const GatewayFleet *sim, uint32_t index)
{
    return FleetWorld_StoreIsUp(sim) &&
           sim->fleet->now_ns >= sim->gateways[index].store_refuses_ns;
}

/* Writes a new version of the routes. */
void
FleetWorld_WriteRoutes(GatewayFleet *sim)
{
    uint32_t number = sim->version_count, i;
    bool second = HrRng_Chance(&sim->rng, 0.5);
    FleetTable *table;

    if (number == FLEET_VERSIONS || !FleetWorld_StoreIsUp(sim)) {
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
            FleetWorld_AddServer(sim, i, NULL, NULL);
        }
    }
    FleetWorld_WriteRoutes(sim);
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
                           .started_ms = row->started_ms};
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
FleetServer *
FleetWorld_FindOccupant(GatewayFleet *sim, const char *address)
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
static HrAttemptOutcome
draw_reply(GatewayFleet *sim, bool *runs)
{
    double chance = sim->quiet ? 1 : HrRng_Unit(&sim->rng);

    *runs = true;
    if (!sim->quiet && sim->fleet->now_ns < sim->shedding_until_ns &&
        HrRng_Chance(&sim->rng, 0.5)) {
        *runs = false;
        return HR_ATTEMPT_OUTCOME_DECLINED;
    }
    if (chance < 0.03) {
        *runs = false;
        return HR_ATTEMPT_OUTCOME_DECLINED;
    }
    if (chance < 0.05) {
        return HR_ATTEMPT_OUTCOME_SERVER_ERROR;
    }
    if (chance < 0.07) {
        return HR_ATTEMPT_OUTCOME_LOST;
    }
    return chance < 0.075 ? HR_ATTEMPT_OUTCOME_MALFORMED
                          : HR_ATTEMPT_OUTCOME_OK;
}

/* Sends an attempt to a server. */
void
FleetWorld_Send(GatewayFleet *sim, uint32_t request,
                const HrForwardAction *action)
{
    const HrReplica *replica = action->u.send.replica;
    FleetServer *server = FleetWorld_FindOccupant(sim, replica->address);
    FleetReply *reply = talloc_zero(sim->fleet, FleetReply);
    int64_t delay_ns = 2 * HR_NS_PER_MS;
    bool runs = false;

    reply->request = request;
    reply->unit = action->unit;
    reply->attempt = action->attempt;
    if (server == NULL) {
        reply->reply = HR_ATTEMPT_OUTCOME_NOT_SENT;
    }
    else if (strcmp(server->id, replica->id) != 0) {
        reply->reply = HR_ATTEMPT_OUTCOME_MISDIRECTED;
    }
    else {
        reply->reply = draw_reply(sim, &runs);
        delay_ns += HrRng_ExponentialNs(&sim->rng, 12 * HR_NS_PER_MS);
        if (!sim->quiet && HrRng_Chance(&sim->rng, 0.03)) {
            delay_ns += 250 * HR_NS_PER_MS;
        }
    }
    if (reply->reply != HR_ATTEMPT_OUTCOME_NOT_SENT) {
        FleetJudge_Arrival(sim, request, action->unit, server, runs);
    }
    HrFleet_At(sim->fleet, sim->fleet->now_ns + delay_ns,
               sim->requests[request].gateway, GATEWAY_REPLY, reply);
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
    if (!FleetWorld_StoreIsUp(sim)) {
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
        FleetFaults_Disturb(sim);
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
