#ifndef HR_TESTS_COMMON_GATEWAY_FLEET_H
#define HR_TESTS_COMMON_GATEWAY_FLEET_H

/* The decision modules of a few gateways in one process and virtual time:
 * server sets, shared lists, gateways that know each other, limits, requests
 * and shutdown together, among servers, a store and an operator that a seed
 * moves. A naive checker watches what reaches the servers and what callers
 * are told. */

#include "common-fleet.h"
#include "coord-drain.h"
#include "coord-forward.h"
#include "coord-share.h"
#include "coord-vm-set.h"
#include "proto-hello.h"

#define FLEET_GATEWAYS 3
#define FLEET_SERVICES 8 /* two sets of three shards, and two single ones */
#define FLEET_SHARDS 3
#define FLEET_SERVERS 96
#define FLEET_LISTED_MAX 48
#define FLEET_VERSIONS 24
#define FLEET_REQUESTS 8192
#define FLEET_ATTEMPTS 24 /* of one request */

/* The bounds that the checker holds against. */
#define FLEET_DRAIN_NS (3 * HR_NS_PER_S)
#define FLEET_APPLY_NS (3 * HR_NS_PER_S)
#define FLEET_CONTACT_NS (4 * HR_NS_PER_S)
#define FLEET_WINDOW_NS (10 * HR_NS_PER_S)
#define FLEET_RATIO 0.2
#define FLEET_SLACK 52.0
#define FLEET_TIMEOUT_MS 1000
#define FLEET_WAIT_MS 2000 /* of a caller */

/* Faults that are planted in the gateways, each of which the checker has to
 * find. */
typedef enum FleetPlant {
    FLEET_PLANT_NONE,
    FLEET_PLANT_DRAINING_IGNORED,
    FLEET_PLANT_LOST_IS_DECLINED, /* a lost answer is taken for a refusal */
    FLEET_PLANT_NO_LIMIT,         /* of repeats */
    FLEET_PLANT_OLD_ROUTES,       /* newer ones are not taken over */
    FLEET_PLANT_COUNT,
} FleetPlant;

/* Kinds of a gateway's events. */
typedef enum GatewayEventKind {
    GATEWAY_HELLO = 1,
    GATEWAY_READ,    /* the answer of the store, or its absence */
    GATEWAY_FETCH,   /* another gateway asks for servers */
    GATEWAY_FETCHED, /* its answer */
    GATEWAY_ROUTES,  /* a newer version of the routes arrives */
    GATEWAY_REQUEST, /* a caller's request arrives */
    GATEWAY_REPLY,   /* an attempt at a server ends */
} GatewayEventKind;

/* One start of a server. */
typedef struct FleetServer {
    bool alive;
    bool leaving; /* announced, or removed itself */
    bool crashed;
    bool listed;
    bool listed_draining;
    uint32_t service;
    char address[24];
    bool address_reused; /* another server has it now */
    char id[24];
    int64_t started_ms;
    uint64_t sequence;
    int64_t left_ns;  /* the store accepted that it leaves; HR_TIME_NEVER */
    int64_t ends_ns;  /* when it exits; HR_TIME_NEVER */
    int64_t lapse_ns; /* when its entry lapses; HR_TIME_NEVER */
    int64_t back_ns;  /* when its lapsed entry is written again */
} FleetServer;

/* A caller's request, as the checker sees it. */
typedef struct FleetRequest {
    uint32_t gateway;
    uint32_t run; /* of the gateway's process */
    bool once;    /* must run at most once */
    uint32_t version;
    HrForward *forward; /* NULL: ended */
    uint32_t runs;
    uint32_t reached[FLEET_SHARDS]; /* servers that a shard was sent to */
    uint32_t open;                  /* attempts that may still run */
    bool refused;
    int64_t limit_ns;
    HrReplica *replicas[FLEET_SHARDS][HR_FORWARD_ATTEMPTS_MAX];
} FleetRequest;

/* One gateway. The fields that end with its process are below memory. */
typedef struct FleetGateway {
    void *memory;
    HrServerSet *servers;
    HrVmSet *vms;
    HrDrain *drain;
    HrListSync share;
    HrRng rng;
    HrVmRecord self;
    bool knows_servers;
    bool reaches_store;
    bool leaving;
    bool needs_whole_list;
    bool reading;
    int64_t read_started_ns;
    int64_t fetch_until_ns; /* one at a time */
    int64_t hello_ns;
    uint32_t version; /* index + 1; 0: none */
    uint32_t first_request;
    /* Of the VM: */
    int64_t trouble_ns;       /* newest moment with a fault on it */
    int64_t store_refuses_ns; /* until then */
    int64_t paused_at_ns;
    int64_t resumed_ns;
    bool pause_noted;
} FleetGateway;

typedef struct FleetTable {
    HrForwardTable table;
    HrForwardRoute routes[2];
    HrForwardTarget wide[FLEET_SHARDS];
    HrForwardTarget once;
    int64_t acked_ns;
} FleetTable;

typedef struct GatewayFleet {
    HrFleet *fleet;
    HrRng rng; /* of the faults */
    FleetPlant plant;
    bool failed;
    char failure[160];
    FleetGateway gateways[FLEET_GATEWAYS];
    FleetServer servers[FLEET_SERVERS];
    uint32_t server_count;
    HrForwardService services[FLEET_SERVICES];
    char names[FLEET_SERVICES][8];
    FleetTable tables[FLEET_VERSIONS];
    uint32_t version_count;
    int64_t store_down_until_ns;
    int64_t store_slow_until_ns;
    int64_t store_trouble_ns;  /* newest moment with a fault of the store */
    int64_t list_changed_ns;   /* when a server was listed or removed last */
    int64_t shedding_until_ns; /* servers decline half of their requests */
    bool store_lapses;
    double answers_lost;
    FleetRequest requests[FLEET_REQUESTS];
    uint32_t request_count;
    int64_t asked[FLEET_SERVICES][FLEET_REQUESTS];
    uint32_t asked_count[FLEET_SERVICES];
    int64_t repeated[FLEET_SERVICES][FLEET_REQUESTS];
    uint32_t repeated_count[FLEET_SERVICES];
    uint32_t answered_late_phase;
    uint32_t refused_late_phase;
    uint32_t kinds; /* of faults, as bits */
    bool quiet;     /* the faults are over */
} GatewayFleet;

/* Notes a broken promise; the first one is kept. */
void GatewayFleet_Fail(GatewayFleet *sim, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* common-gateway-fleet.c: what a gateway's process does. */
void FleetGateway_Start(GatewayFleet *sim, uint32_t index);
void FleetGateway_Crash(GatewayFleet *sim, uint32_t index);
void FleetGateway_Stop(GatewayFleet *sim, uint32_t index);
void FleetGateway_Handle(void *context, uint32_t index, int kind,
                         void *payload);
int64_t FleetGateway_Timer(void *context, uint32_t index);

/* The answer of the store to a read, with the servers that it lists. */
typedef struct FleetListing {
    bool ok;
    int64_t started_ns;
    uint32_t count;
    struct {
        uint32_t server;
        uint64_t sequence;
        bool draining;
    } rows[FLEET_LISTED_MAX];
} FleetListing;

/* The end of an attempt. */
typedef struct FleetReply {
    uint32_t request;
    uint32_t unit;
    uint32_t attempt;
    HrAttemptOutcome reply;
} FleetReply;

/* common-gateway-faults.c: lets one fault or planned change happen. */
void FleetFaults_Disturb(GatewayFleet *sim);

/* common-gateway-world.c: servers, store and operator. */
void FleetWorld_Init(GatewayFleet *sim);
void FleetWorld_Tick(GatewayFleet *sim);

/* Starts a server; id, address: NULL for a new one. */
FleetServer *FleetWorld_AddServer(GatewayFleet *sim, uint32_t service,
                                  const char *id, const char *address);

/* Returns the server that answers at an address now; NULL: none. */
FleetServer *FleetWorld_FindOccupant(GatewayFleet *sim, const char *address);

/* Returns true if the store serves anyone. */
bool FleetWorld_StoreIsUp(const GatewayFleet *sim);

/* Lets the operator write a new version of the routes. */
void FleetWorld_WriteRoutes(GatewayFleet *sim);

/* Lets the faults end. */
void FleetWorld_Calm(GatewayFleet *sim);

/* Sends a read of a gateway to the store. */
void FleetWorld_ReadStore(GatewayFleet *sim, uint32_t index);

/* Sends an attempt to a server. */
void FleetWorld_Send(GatewayFleet *sim, uint32_t request,
                     const HrForwardAction *action);

/* Fills in the entry of a server. */
HrServerEntry FleetWorld_Entry(const GatewayFleet *sim, uint32_t server,
                               uint64_t sequence, bool draining);

/* common-gateway-judge.c: the checker. */
void FleetJudge_Request(GatewayFleet *sim, uint32_t request);
void FleetJudge_Arrival(GatewayFleet *sim, uint32_t request, uint32_t unit,
                        const FleetServer *server, bool runs);
void FleetJudge_End(GatewayFleet *sim, uint32_t request,
                    const HrForwardAction *action);
void FleetJudge_Final(GatewayFleet *sim);

/* Plays one schedule with faults of some kinds; 0: the seed decides. Returns
 * false when a promise was broken, which is printed unless a fault is
 * planted. */
bool GatewayFleet_Play(uint64_t seed, bool trace, uint32_t kinds,
                       FleetPlant plant);

#endif
