#include "common-gateway-fleet.h"

#include <bsd/string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define FETCH_LIMIT_NS (2500 * HR_NS_PER_MS)
#define LONELY_NS (200 * HR_NS_PER_MS)
#define STOP_KEEP_NS (3500 * HR_NS_PER_MS)
#define STOP_FINISH_NS (2 * HR_NS_PER_S)
/* A pause of this length is noticed by the loop. */
#define PAUSE_NS (500 * HR_NS_PER_MS)

/* A message between gateways. */
typedef struct Message {
    HrVmRecord sender;
    HrVmStatus claim;
    bool wants_reply;
    uint32_t from;
    int64_t sent_ns;
} Message;

/* A question for servers. */
typedef struct Question {
    uint32_t from;
    uint64_t digest;
    int64_t asked_ns;
} Question;

/* Its answer. */
typedef struct Answer {
    int64_t asked_ns;
    char text[16384];
} Answer;

/* The transport of a server is nothing. */
static void
ignore_drop(void *arg, HrReplica *replica)
{
    (void)arg;
    (void)replica;
}

/* Fills in what a gateway says of itself. */
static void
fill_claim(const GatewayFleet *sim, const FleetGateway *gateway,
           HrVmStatus *claim)
{
    memset(claim, 0, sizeof(*claim));
    claim->ready =
        gateway->knows_servers && gateway->version > 0 && !gateway->leaving;
    claim->leaving = gateway->leaving;
    claim->reaches_store = gateway->reaches_store;
    claim->routes_version = gateway->version;
    claim->servers_digest = HrServerSet_GetDigest(gateway->servers);
    claim->servers_age_ns = gateway->share.as_of_ns > 0
                                ? sim->fleet->now_ns - gateway->share.as_of_ns
                                : HR_TIME_NEVER;
}

/* Sends a message to one gateway. */
static void
send_message(GatewayFleet *sim, uint32_t from, uint32_t to)
{
    FleetGateway *gateway = &sim->gateways[from];
    Message *message = talloc_zero(sim->fleet, Message);

    message->sender = gateway->self;
    message->from = from;
    message->sent_ns = sim->fleet->now_ns;
    message->wants_reply = HrVmSet_GetCount(gateway->vms) == 0;
    fill_claim(sim, gateway, &message->claim);
    HrFleet_Send(sim->fleet, from, to, GATEWAY_HELLO, message);
}

/* Sends a message to all others; all of them are seeds. */
static void
announce(GatewayFleet *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];
    uint32_t i;

    for (i = 0; i < FLEET_GATEWAYS; i++) {
        if (i != index) {
            send_message(sim, index, i);
        }
    }
    gateway->hello_ns =
        sim->fleet->now_ns + (HrVmSet_GetCount(gateway->vms) == 0
                                  ? LONELY_NS
                                  : HrVmSet_GetHelloPeriodNs(gateway->vms));
}

/* Goes on after a complete list of servers. */
static void
note_servers(GatewayFleet *sim, FleetGateway *gateway)
{
    gateway->knows_servers = true;
    HrServerSet_SetDaemonCount(
        gateway->servers,
        HrVmSet_CountSharing(gateway->vms, sim->fleet->now_ns));
}

/* Applies the answer of the store. */
static void
handle_read(GatewayFleet *sim, uint32_t index, const FleetListing *listing)
{
    FleetGateway *gateway = &sim->gateways[index];
    int64_t now_ns = sim->fleet->now_ns;
    uint32_t i;

    if (!gateway->reading || listing->started_ns != gateway->read_started_ns) {
        return; /* it was given up for another gateway's list */
    }
    gateway->reading = false;
    gateway->reaches_store = listing->ok;
    HrFleet_Trace(sim->fleet, "g%u reads: %s", index,
                  listing->ok ? "ok" : "failed");
    if (!listing->ok) {
        HrListSync_RecordFailure(&gateway->share, now_ns);
        return;
    }
    HrServerSet_BeginList(gateway->servers);
    for (i = 0; i < listing->count; i++) {
        const HrServerEntry entry = FleetWorld_Entry(
            sim, listing->rows[i].server, listing->rows[i].sequence,
            listing->rows[i].draining &&
                sim->plant != FLEET_PLANT_DRAINING_IGNORED);

        HrServerSet_ApplyListed(gateway->servers, &entry, now_ns);
    }
    HrListSync_RecordList(&gateway->share, listing->started_ns, now_ns);
    HrServerSet_EndList(
        gateway->servers,
        HrListSync_GetTimeSinceRecoveryNs(&gateway->share, now_ns), now_ns);
    note_servers(sim, gateway);
    announce(sim, index);
}

/* Asks another gateway for its servers. */
static void
start_fetch(GatewayFleet *sim, uint32_t index, uint32_t from)
{
    FleetGateway *gateway = &sim->gateways[index];
    int64_t now_ns = sim->fleet->now_ns;
    Question *question;

    if (now_ns < gateway->fetch_until_ns) {
        return;
    }
    gateway->fetch_until_ns = now_ns + FETCH_LIMIT_NS;
    if (sim->fleet->cut[index * FLEET_GATEWAYS + from]) {
        return;
    }
    question = talloc_zero(sim->fleet, Question);
    question->from = index;
    question->asked_ns = now_ns;
    question->digest = gateway->knows_servers && !gateway->needs_whole_list
                           ? HrServerSet_GetDigest(gateway->servers)
                           : 0;
    HrFleet_At(sim->fleet, now_ns + HR_NS_PER_MS, from, GATEWAY_FETCH,
               question);
}

/* Hands the servers to another gateway. */
static void
handle_fetch(GatewayFleet *sim, uint32_t index, const Question *question)
{
    FleetGateway *gateway = &sim->gateways[index];
    Answer *answer;
    char *text;

    if (!gateway->knows_servers ||
        sim->fleet->cut[index * FLEET_GATEWAYS + question->from]) {
        return;
    }
    text = HrServerList_Encode(gateway->servers, question->digest,
                               sim->fleet->now_ns - gateway->share.as_of_ns,
                               sim->fleet->now_ns);
    answer = talloc_zero(sim->fleet, Answer);
    answer->asked_ns = question->asked_ns;
    if (strlcpy(answer->text, text, sizeof(answer->text)) >=
        sizeof(answer->text)) {
        abort();
    }
    free(text);
    HrFleet_At(sim->fleet, sim->fleet->now_ns + HR_NS_PER_MS, question->from,
               GATEWAY_FETCHED, answer);
}

/* Takes over the servers of another gateway. */
static void
handle_fetched(GatewayFleet *sim, uint32_t index, const Answer *answer)
{
    FleetGateway *gateway = &sim->gateways[index];
    int64_t now_ns = sim->fleet->now_ns, before_ns = gateway->share.as_of_ns;
    HrServerList *list;
    int64_t as_of_ns;

    if (now_ns >= gateway->fetch_until_ns) {
        return;
    }
    gateway->fetch_until_ns = 0;
    list = HrServerList_Parse(sim->fleet, answer->text, strlen(answer->text));
    if (list == NULL) {
        GatewayFleet_Fail(sim, "a list of servers was not understood");
        return;
    }
    as_of_ns = answer->asked_ns - HrServerList_GetAgeNs(list);
    if (as_of_ns > before_ns) {
        gateway->reading = false;
        HrFleet_Trace(sim->fleet, "g%u takes over a list", index);
        HrListSync_RecordList(&gateway->share, as_of_ns, now_ns);
        gateway->needs_whole_list = !HrServerList_Apply(
            list, gateway->servers,
            HrListSync_GetTimeSinceRecoveryNs(&gateway->share, now_ns),
            now_ns);
        if (gateway->needs_whole_list) {
            gateway->share.as_of_ns = before_ns;
        }
        else {
            note_servers(sim, gateway);
        }
    }
    talloc_free(list);
}

/* Puts a newer version of the routes in force. */
static void
take_routes(GatewayFleet *sim, uint32_t index, uint32_t version)
{
    FleetGateway *gateway = &sim->gateways[index];

    if (sim->plant == FLEET_PLANT_OLD_ROUTES && gateway->version > 0) {
        return;
    }
    if (version > gateway->version) {
        gateway->version = version;
        HrServerSet_ApplyTable(gateway->servers,
                               &sim->tables[version - 1].table);
        announce(sim, index);
    }
}

/* Returns true if the newest pause was long enough to be noticed. */
static bool
has_paused(const FleetGateway *gateway)
{
    return gateway->resumed_ns - gateway->paused_at_ns > PAUSE_NS;
}

/* Handles a message of another gateway. */
static void
handle_message(GatewayFleet *sim, uint32_t index, const Message *message)
{
    FleetGateway *gateway = &sim->gateways[index];
    int64_t now_ns = sim->fleet->now_ns;

    if (has_paused(gateway) && message->sent_ns < gateway->resumed_ns) {
        return;
    }
    if (HrVmSet_HandleHello(gateway->vms, &message->sender, &message->claim,
                            now_ns) == NULL) {
        return;
    }
    if (message->wants_reply) {
        send_message(sim, index, message->from);
    }
    if (message->claim.routes_version > gateway->version) {
        uint32_t *version = talloc(sim->fleet, uint32_t);

        *version = (uint32_t)message->claim.routes_version;
        HrFleet_At(sim->fleet, now_ns + 10 * HR_NS_PER_MS, index,
                   GATEWAY_ROUTES, version);
    }
    if (message->claim.servers_age_ns != HR_TIME_NEVER &&
        HrListSync_HandlePeerList(&gateway->share,
                                  now_ns - message->claim.servers_age_ns,
                                  message->claim.servers_digest ==
                                      HrServerSet_GetDigest(gateway->servers),
                                  now_ns) == HR_LIST_SYNC_FETCH) {
        start_fetch(sim, index, message->from);
    }
}

/* Carries out what was decided on a request. */
static void
run_actions(GatewayFleet *sim, uint32_t number)
{
    FleetRequest *request = &sim->requests[number];
    HrForwardAction action;

    while (HrForward_PopAction(request->forward, &action)) {
        switch (action.kind) {
        case HR_FORWARD_ACTION_SEND:
            request->replicas[action.unit][action.attempt] =
                action.u.send.replica;
            FleetWorld_Send(sim, number, &action);
            break;
        case HR_FORWARD_ACTION_ABANDON:
            break;
        case HR_FORWARD_ACTION_FINISH:
            FleetJudge_End(sim, number, &action);
            talloc_free(request->forward);
            request->forward = NULL;
            return;
        }
    }
}

/* Starts a caller's request. */
static void
handle_request(GatewayFleet *sim, uint32_t index, bool once)
{
    FleetGateway *gateway = &sim->gateways[index];
    int64_t now_ns = sim->fleet->now_ns;
    FleetTable *table;
    FleetRequest *request;
    HrForwardConfig config;
    uint32_t number;

    if (gateway->version == 0 || !gateway->knows_servers ||
        HrDrain_GetStep(gateway->drain) >= HR_DRAIN_FINISHING ||
        sim->request_count == FLEET_REQUESTS) {
        return;
    }
    number = sim->request_count++;
    request = &sim->requests[number];
    table = &sim->tables[gateway->version - 1];
    *request = (FleetRequest){.gateway = index,
                              .run = sim->fleet->daemons[index].run,
                              .once = once,
                              .version = gateway->version};
    config = (HrForwardConfig){.route = &table->routes[once ? 1 : 0],
                               .table = &table->table,
                               .servers = gateway->servers,
                               .rng = &gateway->rng,
                               .received_ns = now_ns,
                               .deadline_ns =
                                   now_ns + FLEET_WAIT_MS * HR_NS_PER_MS};
    request->limit_ns = now_ns + FLEET_TIMEOUT_MS * HR_NS_PER_MS;
    FleetJudge_Request(sim, number);
    request->forward = HrForward_Create(gateway->memory, &config, now_ns);
    run_actions(sim, number);
}

/* Gives an event to the request that it is about. */
static void
notify_request(GatewayFleet *sim, uint32_t number, const HrForwardEvent *event)
{
    if (sim->requests[number].forward != NULL) {
        HrForward_HandleEvent(sim->requests[number].forward, event);
        run_actions(sim, number);
    }
}

/* Handles the end of an attempt. */
static void
handle_reply(GatewayFleet *sim, const FleetReply *reply)
{
    HrForwardEvent event = {
        .kind = HR_FORWARD_EVENT_ATTEMPT_ENDED,
        .now_ns = sim->fleet->now_ns,
        .u.reply = {reply->unit, reply->attempt, reply->reply}};

    if (sim->plant == FLEET_PLANT_LOST_IS_DECLINED &&
        reply->reply == HR_ATTEMPT_OUTCOME_LOST) {
        event.u.reply.reply = HR_ATTEMPT_OUTCOME_DECLINED;
    }
    notify_request(sim, reply->request, &event);
}

/* Returns the number of requests of a gateway that are open. */
static uint32_t
count_open(const GatewayFleet *sim, uint32_t index)
{
    uint32_t count = 0, i;

    for (i = sim->gateways[index].first_request; i < sim->request_count; i++) {
        count += sim->requests[i].gateway == index &&
                 sim->requests[i].forward != NULL;
    }
    return count;
}

/* Feeds the shutdown of a gateway and carries out its steps. */
static void
update_drain(GatewayFleet *sim, uint32_t index, HrDrainEventKind kind)
{
    FleetGateway *gateway = &sim->gateways[index];
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_OPEN_COUNT,
                          .now_ns = sim->fleet->now_ns};
    HrDrainAction action;

    event.u.open = count_open(sim, index);
    HrDrain_HandleEvent(gateway->drain, &event);
    event.kind = kind;
    event.u.spread_ns = 0;
    HrDrain_HandleEvent(gateway->drain, &event);
    while (HrDrain_PopAction(gateway->drain, &action)) {
        switch (action.kind) {
        case HR_DRAIN_ACTION_LEAVE:
            gateway->leaving = true;
            announce(sim, index);
            break;
        case HR_DRAIN_ACTION_REFUSE_NEW:
        case HR_DRAIN_ACTION_HAND_OVER:
            break;
        case HR_DRAIN_ACTION_EXIT:
            if (action.u.interrupted > 0) {
                GatewayFleet_Fail(sim, "gateway %u ended with %u requests",
                                  index, action.u.interrupted);
            }
            FleetGateway_Crash(sim, index);
            return;
        }
    }
}

/* Sends the timer to the requests that are due. */
static void
run_request_timers(GatewayFleet *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];
    const HrForwardEvent event = {.kind = HR_FORWARD_EVENT_TIMER,
                                  .now_ns = sim->fleet->now_ns};
    uint32_t i;

    for (i = gateway->first_request; i < sim->request_count; i++) {
        const FleetRequest *request = &sim->requests[i];

        if (request->gateway == index && request->forward != NULL &&
            HrForward_GetNextTimer(request->forward) <= event.now_ns) {
            notify_request(sim, i, &event);
        }
    }
    while (gateway->first_request < sim->request_count &&
           (sim->requests[gateway->first_request].gateway != index ||
            sim->requests[gateway->first_request].forward == NULL)) {
        gateway->first_request++;
    }
}

/* Returns a gateway's place among those that read the store. */
static uint32_t
reader_rank(const FleetGateway *gateway, int64_t now_ns)
{
    return HrVmSet_GetReaderRank(gateway->vms, gateway->reaches_store, now_ns);
}

/* Handles what is due. */
static void
handle_timer(GatewayFleet *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];
    int64_t now_ns = sim->fleet->now_ns;
    uint32_t rank = reader_rank(gateway, now_ns);

    if (now_ns >= gateway->hello_ns) {
        HrServerSet_RemoveMissingServers(
            gateway->servers,
            HrListSync_GetTimeSinceRecoveryNs(&gateway->share, now_ns));
        announce(sim, index);
    }
    if (!gateway->reading &&
        now_ns >= HrListSync_GetNextReadNs(&gateway->share, rank)) {
        gateway->reading = true;
        gateway->read_started_ns = now_ns;
        FleetWorld_ReadStore(sim, index);
    }
    run_request_timers(sim, index);
    if (gateway->leaving) {
        update_drain(sim, index, HR_DRAIN_EVENT_TIMER);
    }
}

/* Handles an event of a gateway. */
void
FleetGateway_Handle(void *context, uint32_t index, int kind, void *payload)
{
    GatewayFleet *sim = context;
    FleetGateway *gateway = &sim->gateways[index];

    if (!gateway->pause_noted && has_paused(gateway)) {
        HrListSync_RecordPause(&gateway->share,
                               gateway->resumed_ns - gateway->paused_at_ns);
        gateway->pause_noted = true;
    }
    switch (kind) {
    case HR_FLEET_TIMER:
        handle_timer(sim, index);
        break;
    case GATEWAY_HELLO:
        handle_message(sim, index, payload);
        break;
    case GATEWAY_READ:
        handle_read(sim, index, payload);
        break;
    case GATEWAY_FETCH:
        handle_fetch(sim, index, payload);
        break;
    case GATEWAY_FETCHED:
        handle_fetched(sim, index, payload);
        break;
    case GATEWAY_ROUTES:
        take_routes(sim, index, *(uint32_t *)payload);
        break;
    case GATEWAY_REQUEST:
        handle_request(sim, index, *(bool *)payload);
        break;
    case GATEWAY_REPLY:
        handle_reply(sim, payload);
        break;
    }
}

/* Returns when a gateway needs a timer event. */
int64_t
FleetGateway_Timer(void *context, uint32_t index)
{
    const GatewayFleet *sim = context;
    const FleetGateway *gateway = &sim->gateways[index];
    int64_t next_ns = gateway->hello_ns, due_ns;
    uint32_t i;

    if (!gateway->reading) {
        due_ns = HrListSync_GetNextReadNs(
            &gateway->share, reader_rank(gateway, sim->fleet->now_ns));
        next_ns = due_ns < next_ns ? due_ns : next_ns;
    }
    if (gateway->leaving) {
        due_ns = sim->fleet->now_ns + 20 * HR_NS_PER_MS;
        next_ns = due_ns < next_ns ? due_ns : next_ns;
    }
    for (i = gateway->first_request; i < sim->request_count; i++) {
        const FleetRequest *request = &sim->requests[i];

        if (request->gateway == index && request->forward != NULL) {
            due_ns = HrForward_GetNextTimer(request->forward);
            next_ns = due_ns < next_ns ? due_ns : next_ns;
        }
    }
    return next_ns;
}

/* Starts the process of a gateway. */
void
FleetGateway_Start(GatewayFleet *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];
    HrServerSetConfig servers = {
        .data_centre = "a",
        .repeat = {FLEET_WINDOW_NS, FLEET_RATIO, FLEET_SLACK, FLEET_GATEWAYS,
                   sim->fleet->now_ns},
        .recovery_grace_ns = HR_LIST_SYNC_RECOVERY_GRACE_NS};
    const HrVmSetConfig vms = {.sharing_timeout_ns = FLEET_WINDOW_NS,
                               .min_sharing = FLEET_GATEWAYS};
    HrDrainConfig drain = {.keep_ns = STOP_KEEP_NS,
                           .finish_limit_ns = STOP_FINISH_NS};
    /* A restart does not end the refusals of the store. */
    const FleetGateway vm = {.trouble_ns =
                                 gateway->store_refuses_ns > sim->fleet->now_ns
                                     ? gateway->store_refuses_ns
                                     : sim->fleet->now_ns,
                             .store_refuses_ns = gateway->store_refuses_ns};

    if (sim->plant == FLEET_PLANT_NO_LIMIT) {
        servers.repeat.ratio = 1;
        servers.repeat.slack = 1000;
    }
    HrFleet_Restart(sim->fleet, index);
    *gateway = vm;
    gateway->memory = talloc_new(sim->fleet);
    gateway->rng = HrRng_FromSeed(HrRng_Next(&sim->rng));
    gateway->servers =
        HrServerSet_Create(gateway->memory, &servers, ignore_drop, NULL);
    snprintf(gateway->self.name, sizeof(gateway->self.name), "g%u", index);
    snprintf(gateway->self.data_centre, sizeof(gateway->self.data_centre),
             "a");
    gateway->self.incarnation =
        (uint64_t)HrFleet_WallMs(sim->fleet, index) * 1000000;
    gateway->self.capacity = 500;
    gateway->vms = HrVmSet_Create(gateway->memory, &vms, &gateway->self);
    gateway->drain = HrDrain_Create(gateway->memory, &drain);
    gateway->first_request = sim->request_count;
    HrListSync_Init(&gateway->share, sim->fleet->now_ns,
                    (int64_t)HrRng_Below(&gateway->rng, 150 * HR_NS_PER_MS));
    gateway->hello_ns = sim->fleet->now_ns;
    HrFleet_Reschedule(sim->fleet, index);
}

/* Ends the process of a gateway at once. */
void
FleetGateway_Crash(GatewayFleet *sim, uint32_t index)
{
    FleetGateway *gateway = &sim->gateways[index];
    uint32_t i;

    if (!sim->fleet->daemons[index].up) {
        return;
    }
    for (i = 0; i < sim->request_count; i++) {
        if (sim->requests[i].gateway == index) {
            sim->requests[i].forward = NULL;
        }
    }
    HrFleet_Crash(sim->fleet, index);
    talloc_free(gateway->memory);
    gateway->memory = NULL;
}

/* Asks a gateway to stop. */
void
FleetGateway_Stop(GatewayFleet *sim, uint32_t index)
{
    update_drain(sim, index, HR_DRAIN_EVENT_START);
    HrFleet_Reschedule(sim->fleet, index);
}
