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

/* A version of the routes, kept until no request uses it and a newer version
 * is in force. */
typedef struct HrSharedTable {
    HrForwardTable *table;
    HrBytes document;    /* the encoded routes, as stored */
    uint32_t user_count; /* requests that use this version */
} HrSharedTable;

typedef struct HrGatewayFeed HrGatewayFeed;
typedef struct HrGatewayPeers HrGatewayPeers;

/* The state of the gateway, used by its only thread. */
typedef struct HrGateway {
    const HrGatewaySettings *settings;
    const char *settings_path;
    HrClock clock;
    HrCounters counters;
    HrRng rng;
    HrLog *log;
    HrLoop *loop;
    HrSharedTable *table; /* routes in force; NULL: not known yet */
    HrServerSet *servers;
    HrVmSet *vms;
    HrVmRecord self;
    HrH1Client *server_client;
    HrH1Client *store_client;
    /* Connections to the store that have been idle since before this time may
     * be silent and are not reused; 0: all may be reused. */
    int64_t store_avoid_idle_ns;
    HrGatewayFeed *feed;
    HrGatewayPeers *peers;
    HrH1Server *callers;
    HrH1Server *readiness;
    HrH1Server *directory;
    HrH1Server *control;
    HrH1Server *metrics;
    HrDrain *drain;
    HrLoopTimer *drain_timer;
    HrLoopTimer *accept_timer; /* accepts callers even if not ready */
    bool was_ready;
    bool servers_known; /* a complete list was received once */
    bool leaving;       /* the graceful shutdown has begun */
} HrGateway;

/* Puts a newer version of the routes in force. document is the encoded routes
 * as stored; source names the sender for the log. Returns false if the
 * document is malformed or its version is not newer. */
bool HrGateway_ApplyRoutes(HrGateway *gateway, HrBytes document,
                           const char *source);

/* Returns the version of the routes in force; 0: none. */
uint64_t HrGateway_GetRoutesVersion(const HrGateway *gateway);

/* Returns true if routes and servers are known and the shutdown has not begun,
 * so that the daemon can serve callers. */
bool HrGateway_IsReady(const HrGateway *gateway);

/* Called when routes or servers become known. When the daemon becomes ready
 * for the first time, starts to accept callers and announces it to the other
 * gateways. */
void HrGateway_UpdateReadiness(HrGateway *gateway);

/* Take and release a reference to the routes in force. The last release of a
 * replaced version frees it. */
HrSharedTable *HrGateway_AcquireTable(HrGateway *gateway);
void HrGateway_ReleaseTable(HrGateway *gateway, HrSharedTable *shared);

/* daemon-gateway-request.c: forwards callers' requests. */
void HrGatewayRequest_Start(void *arg, HrH1Call *call);
void HrGatewayRequest_HandleDisconnect(void *arg, HrH1Call *call);

/* Returns the number of connections to a server that are in use, including
 * those of abandoned attempts. */
uint32_t HrGatewayRequest_CountBusyConnections(const HrReplica *replica);

/* Closes the connections to a server that is being removed. */
void HrGatewayRequest_CloseConnections(void *arg, HrReplica *replica);

/* Paths of the documents that gateways fetch from each other's control
 * addresses. The path of the servers is followed by the digest of the set that
 * the requester has, in hexadecimal; 0: none. */
#define HR_GATEWAY_ROUTES_PATH "/v1/gateway/routes"
#define HR_GATEWAY_SERVERS_PATH "/v1/gateway/servers?have="

/* daemon-gateway-info.c: readiness, directory, metrics and the documents for
 * other gateways. */
void HrGatewayInfo_AnswerReadiness(void *arg, HrH1Call *call);
void HrGatewayInfo_AnswerDirectory(void *arg, HrH1Call *call);
void HrGatewayInfo_AnswerMetrics(void *arg, HrH1Call *call);
void HrGatewayInfo_AnswerControl(void *arg, HrH1Call *call);
void HrGatewayInfo_IgnoreDisconnect(void *arg, HrH1Call *call);

/* daemon-gateway-feed.c: reads routes, servers and the list of gateways from
 * the store. */
HrGatewayFeed *HrGatewayFeed_Create(HrGateway *gateway);

/* Removes this daemon from the list of gateways, by ending its lease. */
void HrGatewayFeed_RemoveOwnEntry(HrGatewayFeed *feed);

/* Fills in the fields of the daemon's status that concern the store and the
 * servers. feed may be NULL. */
void HrGatewayFeed_FillStatus(const HrGatewayFeed *feed, HrVmStatus *status);

/* Returns the age of the list of servers; HR_TIME_NEVER: no list is known. */
int64_t HrGatewayFeed_GetServersAgeNs(const HrGatewayFeed *feed);

/* Compares the list of servers that a peer reports in its status with the list
 * known here. Returns true if the list has to be fetched from the peer. */
bool HrGatewayFeed_HandlePeerStatus(HrGatewayFeed *feed,
                                    const HrVmStatus *status);

/* Applies a list of servers received from a peer, or the changes of it.
 * requested_ns is the time when the list was requested. */
void HrGatewayFeed_ApplyPeerServers(HrGatewayFeed *feed, HrBytes list,
                                    const char *source, int64_t requested_ns);

/* Returns the digest of the servers known here, so that a peer sends only the
 * changes since; 0: request the whole list. */
uint64_t HrGatewayFeed_GetServersDigest(const HrGatewayFeed *feed);

/* Encodes the servers as text for a peer whose set has the given digest. The
 * caller releases the text with free(). */
char *HrGatewayFeed_EncodeServers(const HrGatewayFeed *feed, uint64_t digest);

/* Records that this daemon was paused for lost_ns. */
void HrGatewayFeed_RecordPause(HrGatewayFeed *feed, int64_t lost_ns);

/* Recomputes when and what this daemon reads from the store, because the set
 * of gateways that read it may have changed. feed may be NULL. */
void HrGatewayFeed_UpdateSchedule(HrGatewayFeed *feed);

/* daemon-gateway-peers.c: hellos between gateways, and fetching documents from
 * them. */
HrGatewayPeers *HrGatewayPeers_Create(HrGateway *gateway, HrError *err);

/* Sends a hello to all other gateways now, after a change of this daemon's
 * status. */
void HrGatewayPeers_Announce(HrGatewayPeers *peers);

/* Drops the hellos that arrived while this daemon was paused. */
void HrGatewayPeers_DropArrived(HrGatewayPeers *peers);

#endif
