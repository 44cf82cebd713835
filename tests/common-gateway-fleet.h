#ifndef HR_TESTS_COMMON_GATEWAY_FLEET_H
#define HR_TESTS_COMMON_GATEWAY_FLEET_H

/* Simulates a few gateways in one process and virtual time. Runs their modules
 * that do no I/O together: server sets, list sync, VM sets, repeat budgets,
 * requests and shutdown. The seed determines the behaviour of the servers, the
 * store and the operator. A checker verifies what is sent to the servers and
 * what callers receive. */

#include "common-fleet.h"
#include "coord-drain.h"
#include "coord-forward.h"
#include "coord-share.h"
#include "coord-vm-set.h"
#include "proto-hello.h"

#define FLEET_GATEWAY_COUNT 3
#define FLEET_SERVICE_COUNT 8 /* two sets of 3 shards, two single services */
#define FLEET_SHARD_COUNT 3
#define FLEET_SERVERS_MAX 96
#define FLEET_LISTED_MAX 48
#define FLEET_VERSIONS_MAX 24
#define FLEET_REQUESTS_MAX 8192
#define FLEET_ATTEMPTS_MAX 24 /* of one request */

/* The bounds that the checker verifies, and the settings of the gateways that
 * they follow from. */
#define FLEET_DRAIN_MAX_NS (3 * HR_NS_PER_S)
#define FLEET_ROUTES_APPLY_MAX_NS (3 * HR_NS_PER_S)
#define FLEET_RECOVERY_NS (4 * HR_NS_PER_S)
#define FLEET_PAUSE_SETTLE_NS (500 * HR_NS_PER_MS)
#define FLEET_PAUSE_ARRIVALS_MAX 2
#define FLEET_REPEAT_WINDOW_NS (10 * HR_NS_PER_S)
#define FLEET_REPEAT_RATIO 0.2
#define FLEET_REPEAT_SLACK 52.0
#define FLEET_ROUTE_TIMEOUT_MS 1000
#define FLEET_CALLER_WAIT_MS 2000 /* deadline of callers' requests */

/* Faults that a test plants in the gateways to verify the checker, which must
 * detect each of them. */
typedef enum FleetPlantedFault {
    FLEET_PLANTED_NONE,
    FLEET_PLANTED_DRAINING_IGNORED,
    FLEET_PLANTED_LOST_AS_DECLINED, /* a lost answer is treated as a refusal */
    FLEET_PLANTED_NO_REPEAT_LIMIT,
    FLEET_PLANTED_ROUTES_NOT_UPDATED, /* newer versions are ignored */
    FLEET_PLANTED_LEAVING_IGNORED,    /* in answers of servers */
    FLEET_PLANTED_PAUSE_IGNORED,
    FLEET_PLANTED_COUNT,
} FleetPlantedFault;

/* The kinds of events of a gateway. */
typedef enum GatewayEventKind {
    GATEWAY_EVENT_HELLO = 1,
    GATEWAY_EVENT_STORE_READ, /* a read of the store ended, with or without an
                                 answer */
    GATEWAY_EVENT_FETCH_REQUEST, /* another gateway requests the list of
                                    servers */
    GATEWAY_EVENT_FETCH_REPLY,   /* the answer to this gateway's request */
    GATEWAY_EVENT_ROUTES,  /* a newer version of the routes is received */
    GATEWAY_EVENT_REQUEST, /* a caller's request is received */
    GATEWAY_EVENT_ATTEMPT_ENDED, /* an attempt at a server ended */
} GatewayEventKind;

/* What a gateway has received in the answers of a server. */
typedef struct FleetServerNotice {
    uint32_t run;            /* the process of the gateway */
    int64_t told_leaving_ns; /* HR_TIME_NEVER: not told */
    int64_t paused_from_ns;  /* when it has to comply with the pause */
    int64_t paused_until_ns;
    uint32_t pause_arrivals; /* requests of the gateway during the pause */
} FleetServerNotice;

/* One process of a server. */
typedef struct FleetServer {
    bool alive;
    bool leaving; /* shutting down: its entry is marked as draining, or is
                     removed */
    bool crashed;
    bool listed;
    bool listed_draining;
    uint32_t service;
    char address[24];
    bool address_reused; /* another server has been started at it */
    char id[24];
    int64_t started_ms;
    uint64_t sequence;
    int64_t leaving_since_ns; /* when the store accepted that it is leaving, or
                                 HR_TIME_NEVER */
    int64_t exits_ns;         /* when it exits or crashed, or HR_TIME_NEVER */
    int64_t entry_expires_ns; /* when the entry of a crashed server expires, or
                                 HR_TIME_NEVER */
    int64_t relist_ns;        /* when its expired entry is written again, or
                                 HR_TIME_NEVER */
    FleetServerNotice notices[FLEET_GATEWAY_COUNT];
} FleetServer;

/* A caller's request. */
typedef struct FleetRequest {
    uint32_t gateway;
    uint32_t run; /* number of the gateway's process, as in HrFleetDaemon */
    bool once;    /* must run at most once (its route is not idempotent) */
    uint32_t version;   /* of the routes when it was received */
    HrForward *forward; /* NULL: the request has ended */
    uint32_t runs;      /* how often servers ran it */
    uint32_t reached_counts[FLEET_SHARD_COUNT]; /* attempts that reached a
                                                   server, by shard */
    uint32_t open;                              /* unused */
    bool refused;
    int64_t received_ns;
    int64_t timeout_ns; /* end of the timeout of its route */
    /* The server of each attempt, by shard and attempt. */
    HrReplica *replicas[FLEET_SHARD_COUNT][HR_FORWARD_ATTEMPTS_MAX];
} FleetRequest;

/* One gateway. A start of its process counts as a fault, and resets all fields
 * but last_fault_ns and store_refuses_until_ns. */
typedef struct FleetGateway {
    void *memory;
    HrServerSet *servers;
    HrVmSet *vms;
    HrDrain *drain;
    int64_t answer_by_ns; /* end of the answers of a stopping gateway; 0: it
                             is not stopping */
    HrListSync list_sync;
    HrRng rng;
    HrVmRecord self;
    bool has_server_list;
    bool reaches_store;
    bool leaving;
    bool needs_full_list; /* changes could not be applied */
    bool read_pending;
    int64_t read_started_ns;
    int64_t fetch_deadline_ns; /* only one fetch is open at a time */
    int64_t next_hello_ns;
    uint32_t version; /* version of the routes in force: index in tables + 1;
                         0: none */
    uint32_t first_open_request; /* all earlier requests of this gateway have
                                    ended */
    /* Faults of its VM. */
    int64_t last_fault_ns; /* end of the latest fault of the VM, which may be
                              in the future */
    int64_t store_refuses_until_ns;
    int64_t paused_at_ns;
    int64_t resumed_ns;
    bool pause_recorded; /* list_sync was notified of the pause */
} FleetGateway;

/* One version of the routes. */
typedef struct FleetTable {
    HrForwardTable table;
    HrForwardRoute routes[2];
    HrForwardTarget wide[FLEET_SHARD_COUNT]; /* targets of the route to
                                                 shards */
    HrForwardTarget once; /* target of the route whose requests run at most
                             once */
    int64_t accepted_ns;  /* when the store accepted this version */
} FleetTable;

/* The state of one schedule. */
typedef struct FleetSim {
    HrFleet *fleet;
    HrRng rng; /* for the servers, the store, the callers and the faults */
    FleetPlantedFault planted_fault;
    bool failed;
    char failure[160];
    FleetGateway gateways[FLEET_GATEWAY_COUNT];
    FleetServer servers[FLEET_SERVERS_MAX];
    uint32_t server_count;
    HrForwardService services[FLEET_SERVICE_COUNT];
    char service_names[FLEET_SERVICE_COUNT][8];
    FleetTable tables[FLEET_VERSIONS_MAX];
    uint32_t version_count;
    int64_t store_down_until_ns;
    int64_t store_slow_until_ns;
    int64_t store_last_fault_ns; /* end of the latest fault, which may be in
                                    the future */
    int64_t list_changed_ns;     /* when a server was last listed or removed */
    int64_t shedding_until_ns;   /* until then servers decline half of their
                                    requests */
    bool outage_expires_entries; /* at random while the store is down */
    double answer_loss_rate;     /* share of lost answers of the store */
    FleetRequest requests[FLEET_REQUESTS_MAX];
    uint32_t request_count;
    int64_t request_times_ns[FLEET_SERVICE_COUNT][FLEET_REQUESTS_MAX];
    uint32_t request_time_count[FLEET_SERVICE_COUNT];
    int64_t repeat_times_ns[FLEET_SERVICE_COUNT][FLEET_REQUESTS_MAX];
    uint32_t repeat_time_count[FLEET_SERVICE_COUNT];
    uint32_t answered_after_faults;
    uint32_t refused_after_faults;
    uint32_t fault_kinds; /* bit mask of the enabled kinds */
    bool faults_ended;    /* no more faults are injected */
} FleetSim;

/* Records that a checked rule was violated. Only the first violation is
 * retained. */
void FleetSim_RecordViolation(FleetSim *sim, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* common-gateway-fleet.c: the process of a gateway. */

/* Starts the process of a gateway. */
void FleetGateway_Start(FleetSim *sim, uint32_t index);

/* Ends the process of a gateway at once, with all its requests. */
void FleetGateway_Crash(FleetSim *sim, uint32_t index);

/* Starts the graceful shutdown of a gateway. */
void FleetGateway_StartShutdown(FleetSim *sim, uint32_t index);

/* Handles an event of a gateway, for HrFleetEventFn; context is a FleetSim. */
void FleetGateway_HandleEvent(void *context, uint32_t index, int kind,
                              void *payload);

/* Returns when a gateway next needs a timer event, for HrFleetGetTimerFn. */
int64_t FleetGateway_GetNextTimer(void *context, uint32_t index);

/* The result of a read of the store: whether it succeeded, and the listed
 * servers. */
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

/* The end of an attempt, as the payload of GATEWAY_EVENT_ATTEMPT_ENDED. */
typedef struct FleetAttemptEnd {
    uint32_t request;
    uint32_t unit;
    uint32_t attempt;
    HrAttemptOutcome outcome;
    HrServerSignal signal;
    uint32_t server; /* index of the server that sent the signal */
} FleetAttemptEnd;

/* common-gateway-faults.c: injects one fault or planned change of a random
 * kind, if fault_kinds includes that kind. */
void FleetSim_InjectFault(FleetSim *sim);

/* common-gateway-world.c: the servers, the store, the operator and the
 * callers. */

/* Creates the servers, the first version of the routes, and the gateways. */
void FleetSim_Init(FleetSim *sim);

/* Advances the simulation by one step: updates the servers, injects faults,
 * starts gateways that are down, and sends routes and callers' requests to the
 * gateways. */
void FleetSim_AdvanceStep(FleetSim *sim);

/* Starts a server. A NULL id or address means a new one. Returns NULL if
 * FLEET_SERVERS_MAX servers have been started. */
FleetServer *FleetSim_AddServer(FleetSim *sim, uint32_t service,
                                const char *id, const char *address);

/* Returns the running server at an address, or NULL. */
FleetServer *FleetSim_FindServerAt(FleetSim *sim, const char *address);

/* Returns true if the store is up; it may still refuse single gateways. */
bool FleetSim_IsStoreUp(const FleetSim *sim);

/* Writes a new version of the routes, as an operator does. Does nothing while
 * the store is down, or if there are FLEET_VERSIONS_MAX versions. */
void FleetSim_WriteRoutes(FleetSim *sim);

/* Ends all faults except pauses of gateways, and stops injecting new ones. */
void FleetSim_EndFaults(FleetSim *sim);

/* Sends a gateway's read to the store, whose answer is an event of the
 * gateway. */
void FleetSim_SendStoreRead(FleetSim *sim, uint32_t index);

/* Sends an attempt to the server at its address, and queues its end. */
void FleetSim_SendAttempt(FleetSim *sim, uint32_t request,
                          const HrForwardAction *action);

/* Returns the store entry of a server. Its strings belong to sim. */
HrServerEntry FleetSim_GetServerEntry(const FleetSim *sim, uint32_t server,
                                      uint64_t sequence, bool draining);

/* common-gateway-judge.c: the checker. */

/* Records the time of a caller's request for each of its services, and checks
 * that the version of its routes was not replaced too long ago. */
void FleetChecker_CheckRequest(FleetSim *sim, uint32_t request);

/* Checks an attempt that reaches a server. misdirected: it is meant for the
 * server that had the address before. runs: the server runs it. */
void FleetChecker_CheckAttempt(FleetSim *sim, uint32_t request, uint32_t unit,
                               const FleetServer *server, bool misdirected,
                               bool runs);

/* Records that a gateway has received the statements of a server. */
void FleetChecker_RecordSignal(FleetSim *sim, const FleetAttemptEnd *end);

/* Checks the end of a request. */
void FleetChecker_CheckFinish(FleetSim *sim, uint32_t request,
                              const HrForwardAction *action);

/* Checks what can only be checked at the end of a schedule. */
void FleetChecker_CheckFinalState(FleetSim *sim);

/* Runs one schedule with the kinds of faults in a bit mask; 0: the seed
 * chooses them. Returns false if a rule was violated. Prints the violation
 * unless a fault is planted. */
bool FleetSim_RunSchedule(uint64_t seed, bool trace, uint32_t fault_kinds,
                          FleetPlantedFault planted_fault);

#endif
