#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "coord-share.h"
#include "daemon-gateway-state.h"
#include "proto-hello.h"
#include "proto-limit.h"
#include "trans-socket.h"

/* Period of the hellos to the seeds while no other gateway is known. */
#define DISCOVERY_PERIOD_NS (200 * HR_NS_PER_MS)

/* Only gateways whose last hello was received within this time are reported to
 * other gateways. */
#define REPORT_WITHIN_NS (10 * HR_NS_PER_S)

/* Servers that stated within this time that they are shutting down are
 * reported to other gateways. */
#define LEAVING_REPORT_NS (15 * HR_NS_PER_S)

/* Where preferred gateways send more hellos than others, only one in this many
 * carries reports; the others show that the sender runs, and its load. */
#define FULL_HELLO_INTERVAL 4

/* One hello in this many reports the median latencies of routes, which change
 * slowly and matter only to a gateway with few requests. */
#define ROUTE_REPORT_INTERVAL 8

/* A connection to another gateway fails if it is not established within this
 * time. */
#define PEER_CONNECT_TIMEOUT_NS (300 * HR_NS_PER_MS)

/* A request for a document is sent again, on a new connection, if nothing is
 * received for this time: its connection may have gone silent. A large
 * document takes 0.2 s on a slow link that it shares with other transfers. */
#define FETCH_SILENT_NS (800 * HR_NS_PER_MS)

/* Most requests for one document, and the limit for the last one, which leaves
 * time for a gateway that is slow. */
#define FETCH_REQUESTS_MAX 3
#define FETCH_LAST_SILENT_NS (1700 * HR_NS_PER_MS)

/* Maximum length of a fetched document. */
#define FETCH_MAX_BYTES ((size_t)32 * 1024 * 1024)

/* Maximum number of datagrams that are read in one turn of the event loop. */
#define DATAGRAMS_PER_TURN 64

typedef struct PeerFetch PeerFetch;

/* Applies a document that was fetched from the gateway named source.
 * requested_ns is the time of the request. */
typedef void ApplyDocumentFn(HrGateway *gateway, HrBytes body,
                             const char *source, int64_t requested_ns);

/* State of fetching one kind of document from other gateways. At most one
 * request is in progress. */
struct PeerFetch {
    HrGatewayPeers *peers;
    const char *path;
    ApplyDocumentFn *fn;
    HrH1Target *target; /* NULL: no request is in progress */
    HrH1ClientConn *conn;
    HrLoopTimer *timer;
    int64_t requested_ns;
    char source[HR_VM_NAME_BYTES];
    char address[HR_VM_ADDRESS_BYTES]; /* control address of the source */
    char query[32];                    /* appended to the path */
    uint32_t request_count;            /* sent for this document */
};

struct HrGatewayPeers {
    HrGateway *gateway;
    int fd;
    HrLoopFd *fd_watch;       /* calls handle_datagrams */
    HrLoopTimer *hello_timer; /* sends the next periodic hello */
    uint32_t next_peer;       /* index of the gateway that gets it */
    HrH1Client *client;
    PeerFetch routes;
    PeerFetch servers;
    PeerFetch vms;
};

/* Ends the request in progress, and closes its connection. */
static void
finish_fetch(PeerFetch *fetch)
{
    HrLoop_SetTimer(fetch->peers->gateway->loop, fetch->timer, HR_TIME_NEVER);
    talloc_free(fetch->target);
    fetch->target = NULL;
    fetch->conn = NULL;
}

/* Returns when the request in progress is given up if nothing more is received
 * until then. */
static int64_t
get_fetch_limit_ns(const PeerFetch *fetch)
{
    int64_t silent_ns = fetch->request_count < FETCH_REQUESTS_MAX
                            ? FETCH_SILENT_NS
                            : FETCH_LAST_SILENT_NS;
    int64_t received_ns = HrH1ClientConn_GetReceivedNs(fetch->conn);
    int64_t end_ns = fetch->requested_ns + HR_LIST_SYNC_TRANSFER_TIMEOUT_NS;
    int64_t limit_ns =
        silent_ns + (received_ns > fetch->requested_ns ? received_ns
                                                       : fetch->requested_ns);

    return limit_ns < end_ns ? limit_ns : end_ns;
}

static void handle_fetch_result(void *arg, const HrH1Result *result);

/* Sends the request for a document on a new connection. Does nothing if the
 * target cannot be created. */
static void
send_fetch(PeerFetch *fetch)
{
    HrGateway *gateway = fetch->peers->gateway;
    HrH1Request request = {.fresh = true};
    char head[256];

    fetch->target =
        HrH1Target_Create(gateway, fetch->peers->client, fetch->address);
    if (fetch->target == NULL) {
        return;
    }
    fetch->requested_ns = HrLoop_NowNs(gateway->loop);
    request.head.data = (const uint8_t *)head;
    request.head.length_bytes =
        (size_t)snprintf(head, sizeof(head),
                         "GET %s%s HTTP/1.1\r\nHost: %s\r\n"
                         "Connection: close\r\n\r\n",
                         fetch->path, fetch->query, fetch->address);
    fetch->conn = HrH1Target_SendRequest(fetch->target, &request,
                                         handle_fetch_result, fetch);
    fetch->request_count++;
    HrLoop_SetTimer(gateway->loop, fetch->timer,
                    fetch->conn != NULL ? get_fetch_limit_ns(fetch) : 0);
}

/* Repeats a request if nothing is received for too long. Logs and ends it if
 * it was repeated often enough or could not be sent. */
static void
handle_fetch_timeout(void *arg)
{
    PeerFetch *fetch = arg;
    HrLoop *loop = fetch->peers->gateway->loop;
    bool was_sent = fetch->conn != NULL;

    if (was_sent && HrLoop_NowNs(loop) < get_fetch_limit_ns(fetch)) {
        HrLoop_SetTimer(loop, fetch->timer, get_fetch_limit_ns(fetch));
        return;
    }
    finish_fetch(fetch);
    if (was_sent && fetch->request_count < FETCH_REQUESTS_MAX) {
        send_fetch(fetch);
        return;
    }
    HrLog_Write(fetch->peers->gateway->log, HR_LOG_WARN, "fetch_failed",
                "{s:s,s:s,s:s}", "path", fetch->path, "source", fetch->source,
                "reason", "timeout");
}

/* Applies the document if the request was answered with it, otherwise logs the
 * failure. */
static void
handle_fetch_result(void *arg, const HrH1Result *result)
{
    PeerFetch *fetch = arg;
    HrGateway *gateway = fetch->peers->gateway;

    if (result->outcome == HR_H1_ANSWERED && result->status == 200) {
        fetch->fn(gateway, result->body, fetch->source, fetch->requested_ns);
    }
    else if (result->status != 503) {
        /* Status 503 is no failure: the gateway is sending the document to
         * others already, and their hellos will offer it as soon as they have
         * it. */
        HrLog_Write(gateway->log, HR_LOG_WARN, "fetch_failed",
                    "{s:s,s:s,s:s,s:i}", "path", fetch->path, "source",
                    fetch->source, "reason", "no answer", "status",
                    result->status);
    }
    finish_fetch(fetch);
}

/* Requests a document from another gateway. Does nothing if a request is in
 * progress or the target cannot be created. query is appended to the path. */
static void
start_fetch(PeerFetch *fetch, const HrVmRecord *source, const char *query)
{
    if (fetch->target != NULL) {
        return;
    }
    snprintf(fetch->source, sizeof(fetch->source), "%s", source->name);
    snprintf(fetch->address, sizeof(fetch->address), "%s",
             source->control_address);
    snprintf(fetch->query, sizeof(fetch->query), "%s", query);
    fetch->request_count = 0;
    send_fetch(fetch);
}

/* Applies routes fetched from another gateway, and announces them if they are
 * new. */
static void
apply_routes(HrGateway *gateway, HrBytes body, const char *source,
             int64_t requested_ns)
{
    (void)requested_ns;
    if (HrGateway_ApplyRoutes(gateway, body, source)) {
        HrGatewayPeers_AnnounceStatus(gateway->peers);
    }
}

/* Applies servers fetched from another gateway. */
static void
apply_servers(HrGateway *gateway, HrBytes body, const char *source,
              int64_t requested_ns)
{
    HrGatewayFeed_ApplyPeerServers(gateway->feed, body, source, requested_ns);
}

/* Returns true if the next hello carries no reports, because this daemon sends
 * more hellos than others. Each round over all gateways starts at another one
 * of the full hellos. */
static bool
is_brief_hello(const HrGatewayPeers *peers)
{
    const HrVmSet *vms = peers->gateway->vms;
    uint32_t count = HrVmSet_GetCount(vms);

    return HrVmSet_HasReserve(vms) &&
           HrVmSet_IsPreferred(vms, &peers->gateway->self) && count > 0 &&
           (peers->next_peer + peers->next_peer / count) %
                   FULL_HELLO_INTERVAL !=
               0;
}

/* Applies a list of gateways fetched from another gateway. */
static void
apply_vms(HrGateway *gateway, HrBytes body, const char *source,
          int64_t requested_ns)
{
    HrGatewayFeed_ApplyPeerVms(gateway->feed, body, source, requested_ns);
}

void
HrGatewayPeers_FetchVms(HrGatewayPeers *peers, const HrVmRecord *source)
{
    start_fetch(&peers->vms, source, "");
}

/* Fills in the sender and the status of this daemon's hello. */
static void
fill_hello(const HrGatewayPeers *peers, HrHello *hello)
{
    const HrGateway *gateway = peers->gateway;

    memset(hello, 0, sizeof(*hello));
    hello->sender = gateway->self;
    hello->status.ready = HrGateway_IsReady(gateway);
    hello->status.leaving = gateway->leaving;
    hello->status.routes_version = HrGateway_GetRoutesVersion(gateway);
    HrGatewayFeed_FillStatus(gateway->feed, &hello->status);
    HrGatewayFeed_FillEvacuation(gateway->feed, &hello->evacuation);
    hello->status.load = HrGateway_GetLoad(peers->gateway);
    if (is_brief_hello(peers)) {
        return;
    }
    HrServerSet_ForEachLeaving(gateway->servers, false, LEAVING_REPORT_NS,
                               HrLoop_NowNs(gateway->loop),
                               HrHello_AddLeavingServer, hello);
    hello->report_count = HrServerSet_ListReports(
        gateway->servers, hello->reports, HR_HELLO_REPORTS_MAX,
        HrLoop_NowNs(gateway->loop));
    if (peers->next_peer % ROUTE_REPORT_INTERVAL == 0) {
        hello->route_count = HrServerSet_ListRouteReports(
            gateway->servers, hello->routes, HR_HELLO_ROUTES_MAX);
    }
}

/* Sends a datagram. Errors are only logged, because a later one replaces a
 * lost one. */
static void
send_datagram(const HrGatewayPeers *peers, HrBytes bytes,
              const HrSockAddress *address)
{
    if (sendto(peers->fd, bytes.data, bytes.length_bytes, MSG_NOSIGNAL,
               (const struct sockaddr *)&address->storage,
               address->length_bytes) < 0 &&
        errno != EAGAIN) {
        HrLog_Write(peers->gateway->log, HR_LOG_DEBUG, "hello_not_sent",
                    "{s:s}", "error", strerror(errno));
    }
}

void
HrGatewayPeers_SendLimitMessage(const HrGatewayPeers *peers, HrBytes bytes,
                                const HrSockAddress *address)
{
    HrCounters_Add(&peers->gateway->counters, HR_COUNTER_limit_messages_sent,
                   1);
    send_datagram(peers, bytes, address);
}

/* Sends an encoded hello to the gateway at an address in text form. Does
 * nothing if the address is invalid. */
static void
send_hello(const HrGatewayPeers *peers, HrBytes bytes,
           const char *address_text)
{
    HrSockAddress address;

    if (HrSockAddress_Parse(address_text, &address) == HR_OK) {
        HrCounters_Add(&peers->gateway->counters, HR_COUNTER_hello_sent, 1);
        send_datagram(peers, bytes, &address);
    }
}

/* Sends an encoded hello to the seeds. The settings list the seeds with the
 * port of their control address; hellos go to the port of this daemon's own
 * peer address, which is the same for all daemons. */
static void
send_hello_to_seeds(const HrGatewayPeers *peers, HrBytes bytes)
{
    const HrGatewaySettings *settings = peers->gateway->settings;
    const char *port = strrchr(settings->peer_address, ':');
    uint32_t i;

    for (i = 0; i < settings->peer_seed_count; i++) {
        const char *seed = settings->peer_seeds[i];
        const char *end = strrchr(seed, ':');
        char address[HR_VM_ADDRESS_BYTES];

        snprintf(address, sizeof(address), "%.*s%s", (int)(end - seed), seed,
                 port);
        if (strcmp(address, settings->peer_address) != 0) {
            send_hello(peers, bytes, address);
        }
    }
}

/* Adds up to max_count known gateways to a hello, starting at a random one.
 * Gateways without a recent hello are left out: they may have ended, and if
 * gateways kept reporting them to each other they would never be removed. */
static void
fill_known_gateways(const HrGatewayPeers *peers, HrHello *hello,
                    uint32_t max_count)
{
    HrGateway *gateway = peers->gateway;
    uint32_t count = HrVmSet_GetCount(gateway->vms);
    uint32_t first = (uint32_t)HrRng_DrawBelow(&gateway->rng, count), i;
    int64_t now_ns = HrLoop_NowNs(gateway->loop);

    for (i = 0; hello->known_count < max_count && i < count; i++) {
        const HrVm *vm = HrVmSet_GetVm(gateway->vms, (first + i) % count);

        if (vm->last_hello_ns > 0 &&
            now_ns - vm->last_hello_ns < REPORT_WITHIN_NS) {
            hello->known[hello->known_count++] = vm->record;
        }
    }
}

/* Encodes a hello. Each reports one other gateway, so that in time each
 * gateway receives the records of all others. A seed's reply reports only a
 * few, because the traffic of replies that report all known gateways would
 * grow with the square of their number. Returns false when out of memory. */
static bool
encode_hello(const HrGatewayPeers *peers, HrBytes *bytes)
{
    HrHello hello;

    fill_hello(peers, &hello);
    if (!is_brief_hello(peers)) {
        fill_known_gateways(peers, &hello, 1);
    }
    hello.wants_reply = HrVmSet_GetCount(peers->gateway->vms) == 0;
    return HrHello_Encode(peers, &hello, bytes) == HR_OK;
}

/* Sends a hello to all known gateways, or to the seeds if none is known. */
static void
send_hello_to_all(const HrGatewayPeers *peers)
{
    const HrGateway *gateway = peers->gateway;
    const HrVm *vm;
    HrBytes bytes;
    uint32_t i;

    if (!encode_hello(peers, &bytes)) {
        return;
    }
    for (i = 0; (vm = HrVmSet_GetVm(gateway->vms, i)) != NULL; i++) {
        send_hello(peers, bytes, vm->record.peer_address);
    }
    if (i == 0) {
        send_hello_to_seeds(peers, bytes);
    }
    talloc_free((void *)bytes.data);
}

/* Sends a hello to the next gateway in turn. Sets the timer so that each one
 * gets a hello in each period, spread evenly over it: what gateways report to
 * each other then arrives without delay and without bursts. */
static void
send_next_hello(HrGatewayPeers *peers)
{
    const HrGateway *gateway = peers->gateway;
    uint32_t count = HrVmSet_GetCount(gateway->vms);
    int64_t delay_ns = DISCOVERY_PERIOD_NS;
    HrBytes bytes;

    if (count == 0) {
        send_hello_to_all(peers);
    }
    else {
        const HrVm *vm = HrVmSet_GetVm(gateway->vms, peers->next_peer % count);

        if (encode_hello(peers, &bytes)) {
            send_hello(peers, bytes, vm->record.peer_address);
            talloc_free((void *)bytes.data);
        }
        peers->next_peer++;
        delay_ns = HrVmSet_GetHelloPeriodNs(gateway->vms) / count;
    }
    HrLoop_SetTimer(gateway->loop, peers->hello_timer,
                    HrLoop_NowNs(gateway->loop) + delay_ns);
}

/* Sends the periodic hello, and updates the schedule of reading the store by
 * the newest status of the other gateways. */
static void
handle_hello_timer(void *arg)
{
    HrGatewayPeers *peers = arg;

    HrGatewayFeed_UpdateSchedule(peers->gateway->feed);
    send_next_hello(peers);
}

void
HrGatewayPeers_AnnounceStatus(HrGatewayPeers *peers)
{
    send_hello_to_all(peers);
}

/* Replies to a hello that requests the known gateways. */
static void
send_known_gateways(const HrGatewayPeers *peers, const char *address)
{
    HrHello hello;
    HrBytes bytes;

    fill_hello(peers, &hello);
    fill_known_gateways(peers, &hello, HR_HELLO_KNOWN_MAX);
    if (HrHello_Encode(peers, &hello, &bytes) == HR_OK) {
        send_hello(peers, bytes, address);
        talloc_free((void *)bytes.data);
    }
}

/* Processes the hello of another gateway: records its status and the gateways
 * that it reports, replies if requested, and fetches its routes or servers if
 * they are newer. */
static void
handle_hello(HrGatewayPeers *peers, const HrHello *hello)
{
    HrGateway *gateway = peers->gateway;
    char digest[20];
    uint32_t i;

    for (i = 0; i < hello->known_count; i++) {
        HrVmSet_AddReported(gateway->vms, &hello->known[i]);
    }
    if (HrVmSet_HandleHello(gateway->vms, &hello->sender, &hello->status,
                            HrLoop_NowNs(gateway->loop)) == NULL) {
        return;
    }
    HrRouteContact_RecordReport(
        &gateway->route_contact, HrGateway_GetRoutesVersion(gateway),
        hello->status.routes_version, hello->status.routes_age_ns,
        HrLoop_NowNs(gateway->loop));
    for (i = 0; i < hello->leaving_count; i++) {
        HrServerSet_RecordReportedLeaving(
            gateway->servers, hello->leaving[i].id,
            hello->leaving[i].started_ms, HrLoop_NowNs(gateway->loop));
    }
    for (i = 0; i < hello->route_count; i++) {
        HrRouteReports_Add(HrServerSet_GetRouteReports(gateway->servers),
                           &hello->routes[i]);
    }
    for (i = 0; i < hello->report_count; i++) {
        HrServerSet_AddReport(gateway->servers, &hello->reports[i],
                              HrLoop_NowNs(gateway->loop));
    }
    if (hello->wants_reply) {
        send_known_gateways(peers, hello->sender.peer_address);
    }
    if (hello->status.routes_version > HrGateway_GetRoutesVersion(gateway)) {
        start_fetch(&peers->routes, &hello->sender, "");
    }
    if (HrGatewayFeed_HandlePeerStatus(gateway->feed, hello->sender.name,
                                       &hello->status)) {
        snprintf(
            digest, sizeof(digest), "%016llx",
            (unsigned long long)HrGatewayFeed_GetServersDigest(gateway->feed));
        start_fetch(&peers->servers, &hello->sender, digest);
    }
    HrGatewayFeed_ApplyPeerEvacuation(gateway->feed, hello->sender.name,
                                      &hello->evacuation);
}

/* The hellos are dropped undecoded: their status was correct when they were
 * sent, but it is unknown how long ago that was. */
void
HrGatewayPeers_DropQueuedHellos(HrGatewayPeers *peers)
{
    uint8_t byte;

    while (recv(peers->fd, &byte, sizeof(byte), 0) >= 0) {
        HrCounters_Add(&peers->gateway->counters, HR_COUNTER_hello_dropped, 1);
    }
}

/* Receives and processes the messages that wait in the socket, or drops them
 * if the daemon has just been paused. */
static void
handle_datagrams(void *arg, int fd, uint32_t events)
{
    HrGatewayPeers *peers = arg;
    uint8_t bytes[HR_HELLO_MAX_BYTES];
    HrHello hello;
    uint32_t i;

    (void)events;
    for (i = 0; i < DATAGRAMS_PER_TURN; i++) {
        HrSockAddress from = {.length_bytes = sizeof(from.storage)};
        ssize_t received_bytes =
            recvfrom(fd, bytes, sizeof(bytes), 0,
                     (struct sockaddr *)&from.storage, &from.length_bytes);

        if (received_bytes < 0) {
            return;
        }
        if (HrLoop_HasPaused(peers->gateway->loop)) {
            HrGatewayPeers_DropQueuedHellos(peers);
            return;
        }
        if (HrLimitMessage_IsLimit(bytes, (size_t)received_bytes)) {
            HrGatewayLimits_HandleDatagram(peers->gateway->limits, bytes,
                                           (size_t)received_bytes, &from);
            continue;
        }
        if (HrHello_Decode(&hello, bytes, (size_t)received_bytes) != HR_OK) {
            HrCounters_Add(&peers->gateway->counters,
                           HR_COUNTER_peer_bad_frames, 1);
            continue;
        }
        HrCounters_Add(&peers->gateway->counters, HR_COUNTER_hello_received,
                       1);
        handle_hello(peers, &hello);
    }
}

/* Prepares fetching one kind of document. Returns false when out of memory. */
static bool
init_fetch(HrGatewayPeers *peers, PeerFetch *fetch, const char *path,
           ApplyDocumentFn *fn)
{
    fetch->peers = peers;
    fetch->path = path;
    fetch->fn = fn;
    fetch->timer =
        HrLoop_AddTimer(peers->gateway->loop, handle_fetch_timeout, fetch);
    return fetch->timer != NULL;
}

/* Closes the socket when the peers object is freed. */
static int
destroy_peers(HrGatewayPeers *peers)
{
    HrLoop_RemoveFd(peers->gateway->loop, peers->fd_watch);
    close(peers->fd);
    return 0;
}

HrGatewayPeers *
HrGatewayPeers_Create(HrGateway *gateway, HrError *err)
{
    const HrH1ClientConfig config = {.connect_timeout_ns =
                                         PEER_CONNECT_TIMEOUT_NS,
                                     .max_answer_bytes = FETCH_MAX_BYTES,
                                     .silent_timeout_s = 1};
    int fd = HrSocket_OpenDatagram(gateway->settings->peer_address, err);
    HrGatewayPeers *peers =
        fd >= 0 ? talloc_zero(gateway, HrGatewayPeers) : NULL;

    if (fd < 0) {
        return NULL;
    }
    if (peers != NULL) {
        peers->gateway = gateway;
        peers->fd = fd;
        peers->client = HrH1Client_Create(gateway, gateway->loop, &config);
        peers->fd_watch = HrLoop_AddFd(gateway->loop, fd, HR_LOOP_READ,
                                       handle_datagrams, peers);
        peers->hello_timer =
            HrLoop_AddTimer(gateway->loop, handle_hello_timer, peers);
    }
    if (peers == NULL || peers->client == NULL || peers->fd_watch == NULL ||
        peers->hello_timer == NULL ||
        !init_fetch(peers, &peers->routes, HR_GATEWAY_ROUTES_PATH,
                    apply_routes) ||
        !init_fetch(peers, &peers->servers, HR_GATEWAY_SERVERS_PATH,
                    apply_servers) ||
        !init_fetch(peers, &peers->vms, HR_GATEWAY_VMS_PATH, apply_vms)) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        close(fd);
        talloc_free(peers);
        return NULL;
    }
    talloc_set_destructor(peers, destroy_peers);
    HrLoop_SetTimer(gateway->loop, peers->hello_timer,
                    HrLoop_NowNs(gateway->loop));
    return peers;
}
