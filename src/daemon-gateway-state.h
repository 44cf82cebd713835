#ifndef HR_DAEMON_GATEWAY_STATE_H
#define HR_DAEMON_GATEWAY_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-counter.h"
#include "base-log.h"
#include "base-rng.h"
#include "coord-drain.h"
#include "coord-server-set.h"
#include "coord-vm-set.h"
#include "state-forward.h"
#include "state-gateway-settings.h"
#include "trans-h1-client.h"
#include "trans-h1-server.h"
#include "trans-loop.h"

/* A version of the routes with the requests that use it. */
typedef struct HrTableHold {
    HrForwardTable *table;
    HrBytes document; /* the table as the store holds it */
    uint32_t users;
} HrTableHold;

typedef struct HrGatewayFeed HrGatewayFeed;
typedef struct HrGatewayPeers HrGatewayPeers;

/* All that the gateway's one thread owns. */
typedef struct HrGateway {
    const HrGatewaySettings *settings;
    const char *settings_path;
    HrClock clock;
    HrCounters counters;
    HrRng rng;
    HrLog *log;
    HrLoop *loop;
    HrTableHold *table; /* NULL: none is known yet */
    HrServerSet *servers;
    HrVmSet *vms;
    HrVmRecord self;
    HrH1Client *server_client;
    HrH1Client *store_client;
    /* Connections to the store that were idle then may be silent; 0: none. */
    int64_t store_doubt_ns;
    HrGatewayFeed *feed;
    HrGatewayPeers *peers;
    HrH1Server *callers;
    HrH1Server *readiness;
    HrH1Server *directory;
    HrH1Server *control;
    HrH1Server *metrics;
    HrDrain *drain;
    HrLoopTimer *drain_timer;
    HrLoopTimer *accept_timer; /* accept callers, ready or not */
    bool was_ready;
    bool servers_known; /* the list of servers was read once */
    bool leaving;
} HrGateway;

/* Puts a newer version of the routes in force, from a document of the store;
 * source says who sent it. Returns true if the version is new here. */
bool HrGateway_ApplyRoutes(HrGateway *gateway, HrBytes document,
                           const char *source);

/* Returns the version of the routes in force; 0: none. */
uint64_t HrGateway_RoutesVersion(const HrGateway *gateway);

/* Returns true if the daemon can serve callers. */
bool HrGateway_IsReady(const HrGateway *gateway);

/* Notes that routes or servers are known: once both are, callers are accepted
 * and the other gateways are told. */
void HrGateway_NoteKnown(HrGateway *gateway);

/* Lets a request use the current version, and gives it back. */
HrTableHold *HrGateway_HoldTable(HrGateway *gateway);
void HrGateway_ReleaseTable(HrGateway *gateway, HrTableHold *hold);

/* daemon-gateway-request.c: callers' requests. */
void HrGatewayRequest_Start(void *arg, HrH1Call *call);
void HrGatewayRequest_Leave(void *arg, HrH1Call *call);

/* Returns the connections to a server that are in use, by abandoned attempts
 * too. */
uint32_t HrGatewayRequest_BusyConnections(const HrReplica *replica);

/* Closes the connections of a server that is being forgotten. */
void HrGatewayRequest_DropReplica(void *arg, HrReplica *replica);

/* What gateways ask each other for on their control addresses. */
#define HR_GATEWAY_ROUTES_PATH "/v1/gateway/routes"
#define HR_GATEWAY_SERVERS_PATH "/v1/gateway/servers?have="

/* daemon-gateway-info.c: readiness, directory, metrics. */
void HrGatewayInfo_Readiness(void *arg, HrH1Call *call);
void HrGatewayInfo_Directory(void *arg, HrH1Call *call);
void HrGatewayInfo_Metrics(void *arg, HrH1Call *call);
void HrGatewayInfo_Control(void *arg, HrH1Call *call);
void HrGatewayInfo_Leave(void *arg, HrH1Call *call);

/* daemon-gateway-feed.c: what the store tells. */
HrGatewayFeed *HrGatewayFeed_Create(HrGateway *gateway);

/* Removes this daemon from the list of gateways. */
void HrGatewayFeed_Withdraw(HrGatewayFeed *feed);

/* Fills in what this daemon says of itself to the others. */
void HrGatewayFeed_FillClaim(const HrGatewayFeed *feed, HrVmStatus *claim);

/* Returns the age of the list of servers; HR_TIME_NEVER: there is none. */
int64_t HrGatewayFeed_ServersAgeNs(const HrGatewayFeed *feed);

/* Weighs what another gateway says of its servers. Returns true if they are
 * to be fetched from it. */
bool HrGatewayFeed_WeighServers(HrGatewayFeed *feed, const HrVmStatus *claim);

/* Takes over another gateway's servers, or what has changed of them;
 * asked_ns: when they were asked for. */
void HrGatewayFeed_TakeServers(HrGatewayFeed *feed, HrBytes list,
                               const char *source, int64_t asked_ns);

/* Returns the digest of the servers to ask for changes of; 0: ask for all. */
uint64_t HrGatewayFeed_KnownServers(const HrGatewayFeed *feed);

/* Returns the servers for another gateway that has a set with the digest, as
 * text for free(). */
char *HrGatewayFeed_EncodeServers(const HrGatewayFeed *feed, uint64_t digest);

/* Notes that this daemon stood still. */
void HrGatewayFeed_NotePause(HrGatewayFeed *feed, int64_t lost_ns);

/* Adapts to which gateways are there and what they say: who reads the store
 * may have changed. */
void HrGatewayFeed_Adapt(HrGatewayFeed *feed);

/* daemon-gateway-peers.c: messages between gateways. */
HrGatewayPeers *HrGatewayPeers_Create(HrGateway *gateway, HrError *err);

/* Tells the others at once what has changed here. */
void HrGatewayPeers_Announce(HrGatewayPeers *peers);

/* Drops the messages that have arrived while this daemon stood still. */
void HrGatewayPeers_DropArrived(HrGatewayPeers *peers);

#endif
