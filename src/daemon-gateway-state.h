#ifndef HR_DAEMON_GATEWAY_STATE_H
#define HR_DAEMON_GATEWAY_STATE_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "base-buffer.h"
#include "base-clock.h"
#include "base-counter.h"
#include "base-log.h"
#include "base-rng.h"
#include "coord-directory.h"
#include "coord-drain.h"
#include "coord-evacuation.h"
#include "coord-limit.h"
#include "coord-route-contact.h"
#include "coord-server-set.h"
#include "coord-vm-set.h"
#include "state-address.h"
#include "state-forward.h"
#include "state-gateway-settings.h"
#include "trans-h1-client.h"
#include "trans-h1-server.h"
#include "trans-loop.h"

/* One version of the routes. It is freed when a newer version is in force and
 * no request uses it any more. */
typedef struct HrSharedTable {
    HrForwardTable *table; /* the decoded routes */
    HrBytes document;      /* the encoded routes, as stored */
    uint32_t user_count;   /* requests that use this version */
} HrSharedTable;

/* The feed: reads routes, servers and the list of gateways from the platform's
 * store, and lists this daemon there. */
typedef struct HrGatewayFeed HrGatewayFeed;

/* Exchanges hellos with the other gateways (the peers) and fetches documents
 * from them. */
typedef struct HrGatewayPeers HrGatewayPeers;

/* The limits that all gateways share: passes on the messages, the timer and
 * the waiters of an HrLimit. */
typedef struct HrGatewayLimits HrGatewayLimits;

/* A caller's request that is being forwarded. */
typedef struct HrGatewayRequest HrGatewayRequest;
TAILQ_HEAD(HrGatewayRequestList, HrGatewayRequest);

/* The state of the gateway, used by its only thread. */
typedef struct HrGateway {
    const HrGatewaySettings *settings;
    const char *settings_path;
    HrClock clock;
    HrCounters counters;
    HrRng rng;
    HrLog *log;
    HrLoop *loop;
    HrSharedTable *table;         /* routes in force; NULL: not known yet */
    HrRouteContact route_contact; /* when they were the newest in the store */
    HrServerSet *servers;
    HrVmSet *vms;     /* the other gateways, one for each VM */
    HrVmRecord self;  /* record of this daemon, sent to the others */
    HrMemory *memory; /* budget of what is used on behalf of callers */
    HrDirectory *directory;
    double load;        /* share of its processor time that this daemon uses */
    int64_t load_at_ns; /* when it was measured */
    int64_t load_waited_ns; /* HrLoop_GetWaitedNs at that time */
    HrH1Client *server_client;
    HrH1Client *store_client;
    /* Connections to the store that became idle before this time may be silent
     * and are not reused; 0: all may be reused. */
    int64_t store_idle_cutoff_ns;
    HrGatewayFeed *feed;
    HrGatewayPeers *peers;
    HrGatewayLimits *limits;
    HrH1Server *caller_listener;    /* requests to forward */
    HrH1Server *readiness_listener; /* the platform's readiness checks */
    HrH1Server *directory_listener; /* callers' requests for the addresses of
                                       gateways */
    HrH1Server *control_listener;   /* requests from other gateways */
    HrH1Server *metrics_listener;   /* NULL: not configured */
    HrDrain *drain; /* state machine of the graceful shutdown */
    HrLoopTimer *drain_timer;
    HrLoopTimer *accept_timer; /* accepts callers even if not ready */
    struct HrGatewayRequestList requests; /* unanswered ones of callers */
    int64_t answer_by_ns; /* all requests are answered by then, because the
                             process is stopping; 0: it is not */
    bool was_ready;       /* has been ready at least once */
    bool servers_known;   /* a complete list was received once */
    bool leaving;         /* the graceful shutdown has begun */
} HrGateway;

/* Puts a newer version of the routes in force. document is the encoded routes
 * as stored; source names the sender for the log. Returns false if the
 * document is malformed, its version is not newer, or allocation fails. */
bool HrGateway_ApplyRoutes(HrGateway *gateway, HrBytes document,
                           const char *source);

/* Returns the version of the routes in force; 0: none. */
uint64_t HrGateway_GetRoutesVersion(const HrGateway *gateway);

/* Returns for how long callers may use the addresses from an answer of the
 * directory, in seconds. */
double HrGateway_GetDirectoryTtlS(const HrGatewaySettings *settings);

/* Returns true if routes and servers are known and the shutdown has not begun,
 * so that the daemon can serve callers. */
bool HrGateway_IsReady(const HrGateway *gateway);

/* Called after each update of routes or servers. When the daemon is ready for
 * the first time, starts to accept callers and announces it to the other
 * gateways. */
void HrGateway_UpdateReadiness(HrGateway *gateway);

/* Returns the share of its processor time that this daemon has used in the
 * last seconds, 0 to 1. */
double HrGateway_GetLoad(HrGateway *gateway);

/* Acquire and release a reference to the routes in force. The last release of
 * a version that is no longer in force frees it. */
HrSharedTable *HrGateway_AcquireTable(HrGateway *gateway);
void HrGateway_ReleaseTable(HrGateway *gateway, HrSharedTable *shared);

/* daemon-gateway-request.c: forwards callers' requests. Called with each
 * request, with the head of each one that has a body (see HrH1HeadFn), and
 * when the caller of an unanswered one has disconnected. */
void HrGatewayRequest_Start(void *arg, HrH1Call *call);
int HrGatewayRequest_HandleHead(void *arg, HrH1Call *call);
void HrGatewayRequest_HandleDisconnect(void *arg, HrH1Call *call);

/* Continues a request whose wait for its tenant's limit has ended. */
void HrGatewayRequest_HandleLimitResult(HrLimitWaiter *waiter);

/* Tells the open requests that the process is stopping; see answer_by_ns. */
void HrGatewayRequest_LimitAllToStop(HrGateway *gateway);

/* Returns the number of connections to a server that are in use, including
 * those of abandoned attempts. */
uint32_t HrGatewayRequest_CountBusyConnections(const HrReplica *replica);

/* Closes the connections to a server that is about to be freed. */
void HrGatewayRequest_CloseConnections(void *arg, HrReplica *replica);

/* Paths of the documents that gateways fetch from each other's control
 * addresses. The digest of the requester's set of servers is appended to the
 * path of the servers, in hexadecimal; 0 requests the whole list. */
#define HR_GATEWAY_ROUTES_PATH "/v1/gateway/routes"
#define HR_GATEWAY_SERVERS_PATH "/v1/gateway/servers?have="

#define HR_GATEWAY_VMS_PATH "/v1/gateway/gateways"

/* daemon-gateway-info.c: answers requests for readiness, the addresses of
 * gateways (the directory), metrics and the documents for other gateways. */
void HrGatewayInfo_AnswerReadiness(void *arg, HrH1Call *call);
void HrGatewayInfo_AnswerDirectory(void *arg, HrH1Call *call);
void HrGatewayInfo_AnswerMetrics(void *arg, HrH1Call *call);
void HrGatewayInfo_AnswerControl(void *arg, HrH1Call *call);
void HrGatewayInfo_IgnoreDisconnect(void *arg, HrH1Call *call);

/* daemon-gateway-feed.c and daemon-gateway-listing.c: the feed.
 * HrGatewayFeed_Create schedules its first calls and returns NULL when out of
 * memory. */
HrGatewayFeed *HrGatewayFeed_Create(HrGateway *gateway);

/* Removes this daemon from the list of gateways, by ending its lease. */
void HrGatewayFeed_RemoveOwnEntry(HrGatewayFeed *feed);

/* Fills in the fields of the daemon's status that concern the store and the
 * servers. feed may be NULL. */
void HrGatewayFeed_FillStatus(const HrGatewayFeed *feed, HrVmStatus *status);

/* Fills in what this daemon's hellos report of the evacuated zones, and
 * applies what the hello of the gateway named source reports. feed may be
 * NULL. */
void HrGatewayFeed_FillEvacuation(const HrGatewayFeed *feed,
                                  HrEvacuationReport *report);
void HrGatewayFeed_ApplyPeerEvacuation(HrGatewayFeed *feed, const char *source,
                                       const HrEvacuationReport *report);

/* Returns the number of zones that are evacuated now. feed may be NULL. */
uint32_t HrGatewayFeed_CountEvacuated(const HrGatewayFeed *feed);

/* Returns the time since the list of servers was known to match the store;
 * HR_TIME_NEVER: no list is known. feed may be NULL. */
int64_t HrGatewayFeed_GetServersAgeNs(const HrGatewayFeed *feed);

/* Takes note of the era of the store that a peer named source reports in its
 * status, and compares its list of servers with the list known here. Returns
 * true if the list has to be fetched from the peer. If the peer's list is
 * newer and equal, its age applies to the list here, and the next read is
 * rescheduled. */
bool HrGatewayFeed_HandlePeerStatus(HrGatewayFeed *feed, const char *source,
                                    const HrVmStatus *status);

/* Applies a list of servers, or changes of the list, received from a peer.
 * body is the encoded list, source names the peer for the log, and
 * requested_ns is the time when the list was requested. */
void HrGatewayFeed_ApplyPeerServers(HrGatewayFeed *feed, HrBytes body,
                                    const char *source, int64_t requested_ns);

/* Returns the digest to send with a request for servers, so that the peer
 * answers only with the changes since; 0: request the whole list. */
uint64_t HrGatewayFeed_GetServersDigest(const HrGatewayFeed *feed);

/* Encodes the servers as text for a peer whose set has the given digest; 0
 * encodes the whole list. Release the text with free(). */
char *HrGatewayFeed_EncodeServers(const HrGatewayFeed *feed, uint64_t digest);

/* Encodes the list of gateways as text for a peer; NULL if there is none yet.
 * Release the text with free(). */
char *HrGatewayFeed_EncodeVms(const HrGatewayFeed *feed);

/* Applies a list of gateways received from a peer, unless a newer one is
 * known; see HrGatewayFeed_ApplyPeerServers. */
void HrGatewayFeed_ApplyPeerVms(HrGatewayFeed *feed, HrBytes body,
                                const char *source, int64_t requested_ns);

/* Records that this daemon was paused for pause_ns, so that the pause does not
 * count as an outage of the store. */
void HrGatewayFeed_RecordPause(HrGatewayFeed *feed, int64_t pause_ns);

/* Recomputes when this daemon reads the servers, and starts or stops its watch
 * of the routes, because other gateways may have started or stopped reading
 * the store. Also removes the servers that are missing from the list. feed may
 * be NULL. */
void HrGatewayFeed_UpdateSchedule(HrGatewayFeed *feed);

/* daemon-gateway-peers.c: opens the datagram socket and schedules the first
 * hello. Returns NULL on failure, with err filled. */
HrGatewayPeers *HrGatewayPeers_Create(HrGateway *gateway, HrError *err);

/* Sends a hello to all other gateways now, after a change of this daemon's
 * status. */
void HrGatewayPeers_AnnounceStatus(HrGatewayPeers *peers);

/* Sends an encoded message about shared limits. */
void HrGatewayPeers_SendLimitMessage(const HrGatewayPeers *peers,
                                     HrBytes bytes,
                                     const HrSockAddress *address);

/* daemon-gateway-limit.c: the shared limits. Returns NULL when out of memory.
 */
HrGatewayLimits *HrGatewayLimits_Create(HrGateway *gateway);

/* Handles a datagram of another gateway about shared limits. */
void HrGatewayLimits_HandleDatagram(HrGatewayLimits *limits,
                                    const uint8_t *data, size_t length_bytes,
                                    const HrSockAddress *from);

/* Must be called after a pause of this daemon. */
void HrGatewayLimits_HandlePause(HrGatewayLimits *limits);

/* Requests a token for a request of a tenant; see HrLimit_Request. The end of
 * a wait is passed to HrGatewayRequest_HandleLimitResult. missed_target states
 * that the answer would come after the target time of its route: while the
 * tenant is over its limit, such a request is rejected at once. */
HrLimitResult HrGatewayLimits_RequestForTenant(HrGatewayLimits *limits,
                                               HrLimitWaiter *waiter,
                                               const HrTenant *tenant,
                                               bool missed_target);

/* Records that a request of a tenant was rejected because of its limit. */
void HrGatewayLimits_RecordRejection(HrGatewayLimits *limits,
                                     const HrTenant *tenant);
void HrGatewayLimits_CancelWait(HrGatewayLimits *limits,
                                HrLimitWaiter *waiter);

/* Appends metrics as text. */
void HrGatewayLimits_AppendMetrics(const HrGatewayLimits *limits,
                                   HrBuffer *text);

/* Requests the list of gateways from another gateway, unless such a request is
 * in progress. */
void HrGatewayPeers_FetchVms(HrGatewayPeers *peers, const HrVmRecord *source);

/* Drops the hellos that wait in the socket. Called after a pause of this
 * daemon, because the age of these hellos is unknown. */
void HrGatewayPeers_DropQueuedHellos(HrGatewayPeers *peers);

#endif
