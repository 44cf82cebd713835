#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daemon-gateway-feed-int.h"
#include "platform-table.h"
#include "proto-hello.h"

/* This many daemons wait for new routes at the store and tell the others. */
#define ROUTE_WATCHERS 2

/* So many try to while nobody says that it does. */
#define ROUTE_WATCHERS_UNWATCHED 4

/* A watch is answered without a change after this time. One watcher waits for
 * a short time only: behind something that acknowledges for the store, only a
 * missing answer shows that a connection went silent. A change is due in force
 * 3 s after the store has taken it, which leaves time to ask once more. */
#define WATCH_WAIT_SHORT_MS 1300
#define WATCH_WAIT_LONG_MS 25000

/* A watch that is answered this much later than asked for is given up. The
 * store answers in half a second when it is slow. */
#define WATCH_LATE_NS (1000 * HR_NS_PER_MS)

/* A read that takes longer than this and is overtaken by another daemon's
 * list counts as failed. */
#define SLOW_CALL_NS (600 * HR_NS_PER_MS)

/* Returns the current time. */
int64_t
HrGatewayFeed_Now(const HrGatewayFeed *feed)
{
    return HrLoop_NowNs(feed->gateway->loop);
}

/* Returns this daemon's place among those that read the store. */
uint32_t
HrGatewayFeed_Rank(const HrGatewayFeed *feed)
{
    return HrVmSet_GetReaderRank(feed->gateway->vms, feed->reaches_store,
                                 HrGatewayFeed_Now(feed));
}

/* Doubles a delay between repeated calls. */
int64_t
HrGatewayFeed_NextRetry(int64_t *retry_ns, HrRetryDelays delays)
{
    int64_t delay_ns = *retry_ns > 0 ? *retry_ns : delays.first_ns;

    *retry_ns = delay_ns * 2 < delays.max_ns ? delay_ns * 2 : delays.max_ns;
    return delay_ns;
}

/* Notes whether the store answered; status 0 means that it did not. Any
 * answer but a refusal counts. */
void
HrGatewayFeed_NoteCall(HrGatewayFeed *feed, const char *what, int status)
{
    bool reached = status == 200 || status == 404 || status == 410;
    HrGateway *gateway = feed->gateway;

    if (!reached) {
        HrLog_Write(gateway->log, HR_LOG_WARN, "store_call_failed",
                    "{s:s,s:i}", "call", what, "status", status);
        HrCounters_Add(&gateway->counters, HR_COUNTER_config_store_failures,
                       1);
    }
    if (reached != feed->reaches_store) {
        HrLog_Write(gateway->log, HR_LOG_INFO,
                    reached ? "store_regained" : "store_lost", "{s:s,s:i}",
                    "call", what, "status", status);
    }
    feed->reaches_store = reached;
}

/* Starts a call that was filled in. */
void
HrGatewayFeed_StartCall(HrGatewayFeed *feed, HrStoreCaller *caller,
                        int64_t timeout_ns)
{
    HrCounters_Add(&feed->gateway->counters, HR_COUNTER_config_store_calls, 1);
    HrStoreCaller_Start(caller, timeout_ns);
}

/* Returns true if this daemon has to wait for new routes at the store. */
static bool
must_watch_routes(const HrGatewayFeed *feed)
{
    const HrGateway *gateway = feed->gateway;
    uint32_t rank = HrGatewayFeed_Rank(feed);

    return gateway->table == NULL || rank < ROUTE_WATCHERS ||
           (rank < ROUTE_WATCHERS_UNWATCHED &&
            !HrVmSet_HasRouteWatcher(gateway->vms, HrGatewayFeed_Now(feed)));
}

/* Returns how long this daemon lets the store wait for a change. */
static uint32_t
watch_wait_ms(const HrGatewayFeed *feed)
{
    return HrGatewayFeed_Rank(feed) == 0 ? WATCH_WAIT_SHORT_MS
                                         : WATCH_WAIT_LONG_MS;
}

/* Leaves the wait for routes to others, until HrGatewayFeed_Adapt finds that
 * this daemon has to wait again. */
static void
stop_routes(HrGatewayFeed *feed)
{
    HrRoutesFeed *routes = &feed->routes;

    HrStoreCaller_Cancel(routes->caller);
    HrLoop_SetTimer(feed->gateway->loop, routes->timer, HR_TIME_NEVER);
    routes->after_revision = 0;
    routes->retry_ns = 0;
    routes->waiting = false;
}

/* Makes the next call about the routes. */
static void
run_routes(void *arg)
{
    HrGatewayFeed *feed = arg;
    HrRoutesFeed *routes = &feed->routes;
    HrStoreCall *call = HrStoreCaller_Call(routes->caller);

    if (HrStoreCaller_IsBusy(routes->caller)) {
        return;
    }
    if (!must_watch_routes(feed)) {
        stop_routes(feed);
        return;
    }
    routes->waiting = routes->after_revision > 0;
    if (routes->waiting) {
        routes->wait_ms = watch_wait_ms(feed);
        HrStoreCall_Watch(call, HR_PLATFORM_TABLE_PREFIX,
                          routes->after_revision, routes->wait_ms);
        HrGatewayFeed_StartCall(feed, routes->caller,
                                routes->wait_ms * HR_NS_PER_MS +
                                    WATCH_LATE_NS);
        return;
    }
    HrStoreCall_Get(call, HR_PLATFORM_TABLE_KEY);
    HrGatewayFeed_StartCall(feed, routes->caller, CALL_TIMEOUT_NS);
}

/* Takes over new routes. */
static void
handle_route_item(void *arg, const HrStoreItem *item)
{
    HrGatewayFeed *feed = arg;
    const HrBytes document = {item->value, item->value_bytes};

    if (strcmp(item->key, HR_PLATFORM_TABLE_KEY) == 0 && item->value != NULL &&
        HrGateway_ApplyRoutes(feed->gateway, document, "store")) {
        HrGatewayPeers_Announce(feed->gateway->peers);
    }
}

/* Handles the answer to a call about the routes. After any failure they are
 * read again, because changes may have been missed. */
static void
handle_routes(void *arg, int status, HrBytes body)
{
    HrGatewayFeed *feed = arg;
    HrRoutesFeed *routes = &feed->routes;
    HrStorePage page = {0};
    int rc = HR_ERR_UNAVAILABLE;

    HrGatewayFeed_NoteCall(feed, "routes", status);
    if (status == 200) {
        rc = routes->waiting
                 ? HrStoreAnswer_Events(body.data, body.length_bytes,
                                        handle_route_item, feed, &page)
                 : HrStoreAnswer_Item(body.data, body.length_bytes,
                                      handle_route_item, feed, &page);
    }
    if (rc == HR_OK && page.at_revision > 0) {
        routes->after_revision = page.at_revision;
        routes->retry_ns = 0;
        run_routes(feed);
        return;
    }
    routes->after_revision = 0;
    HrLoop_SetTimer(feed->gateway->loop, routes->timer,
                    HrGatewayFeed_Now(feed) +
                        (status == 410
                             ? 0
                             : HrGatewayFeed_NextRetry(&routes->retry_ns,
                                                       HR_RETRY_ROUTES)));
}

/* Arms the next read of the list of servers. */
static void
schedule_servers(HrGatewayFeed *feed)
{
    HrLoop_SetTimer(feed->gateway->loop, feed->servers.timer,
                    HrListSync_GetNextReadNs(&feed->servers.share,
                                             HrGatewayFeed_Rank(feed)));
}

/* Reads a page of the list of servers. */
static void
read_servers_page(HrGatewayFeed *feed)
{
    HrStoreCall_Range(HrStoreCaller_Call(feed->servers.caller),
                      HR_PLATFORM_SERVER_PREFIX, feed->servers.after);
    HrGatewayFeed_StartCall(feed, feed->servers.caller, CALL_TIMEOUT_NS);
}

/* Begins to read the list of servers if that is due. */
static void
run_servers(void *arg)
{
    HrGatewayFeed *feed = arg;

    if (HrStoreCaller_IsBusy(feed->servers.caller)) {
        return;
    }
    feed->servers.after[0] = '\0';
    feed->servers.started_ns = HrGatewayFeed_Now(feed);
    HrServerSet_BeginList(feed->gateway->servers);
    read_servers_page(feed);
}

/* Takes over the entry of one server. */
static void
handle_server_item(void *arg, const HrStoreItem *item)
{
    HrGatewayFeed *feed = arg;
    void *scratch = talloc_new(NULL);
    HrServerEntry entry;

    if (item->value != NULL &&
        HrPlatformServer_Decode(scratch, item->key, item->value,
                                item->value_bytes, &entry) == HR_OK) {
        HrServerSet_ApplyListed(feed->gateway->servers, &entry,
                                HrGatewayFeed_Now(feed));
    }
    else {
        HrLog_Write(feed->gateway->log, HR_LOG_INFO, "server_malformed",
                    "{s:s,s:I}", "key", item->key, "revision",
                    (json_int_t)item->revision);
    }
    talloc_free(scratch);
}

/* Returns the time since the list was known again after a gap. */
static int64_t
since_return(const HrGatewayFeed *feed)
{
    return HrListSync_GetTimeSinceRecoveryNs(&feed->servers.share,
                                             HrGatewayFeed_Now(feed));
}

/* Goes on after a complete list of servers, of the store or of another
 * gateway. */
static void
note_servers(HrGatewayFeed *feed)
{
    HrGateway *gateway = feed->gateway;

    gateway->servers_known = true;
    HrServerSet_SetDaemonCount(
        gateway->servers,
        HrVmSet_CountSharing(gateway->vms, HrGatewayFeed_Now(feed)));
    schedule_servers(feed);
    HrGateway_NoteKnown(gateway);
}

/* Applies a complete list of the store. */
static void
finish_servers(HrGatewayFeed *feed)
{
    HrListSync_RecordList(&feed->servers.share, feed->servers.started_ns,
                          HrGatewayFeed_Now(feed));
    HrServerSet_EndList(feed->gateway->servers, since_return(feed),
                        HrGatewayFeed_Now(feed));
    note_servers(feed);
    HrGatewayPeers_Announce(feed->gateway->peers);
}

/* Handles a page of the list of servers. */
static void
handle_servers(void *arg, int status, HrBytes body)
{
    HrGatewayFeed *feed = arg;
    HrServersFeed *servers = &feed->servers;
    HrStorePage page;

    HrGatewayFeed_NoteCall(feed, "servers", status);
    if (status != 200 ||
        HrStoreAnswer_Range(body.data, body.length_bytes, handle_server_item,
                            feed, &page) != HR_OK) {
        HrListSync_RecordFailure(&servers->share, HrGatewayFeed_Now(feed));
        schedule_servers(feed);
        return;
    }
    if (page.more) {
        snprintf(servers->after, sizeof(servers->after), "%s", page.last_key);
        read_servers_page(feed);
        return;
    }
    finish_servers(feed);
}

/* Weighs what another gateway says of its servers. */
bool
HrGatewayFeed_WeighServers(HrGatewayFeed *feed, const HrVmStatus *claim)
{
    HrGateway *gateway = feed->gateway;
    bool is_same =
        claim->servers_digest == HrServerSet_GetDigest(gateway->servers);

    if (claim->servers_age_ns == HR_TIME_NEVER) {
        return false;
    }
    switch (HrListSync_HandlePeerList(
        &feed->servers.share, HrGatewayFeed_Now(feed) - claim->servers_age_ns,
        is_same, HrGatewayFeed_Now(feed))) {
    case HR_LIST_SYNC_IGNORE:
        return false;
    case HR_LIST_SYNC_CONFIRM:
        schedule_servers(feed);
        return false;
    case HR_LIST_SYNC_FETCH:
        return true;
    }
    return false;
}

/* Gives up a read of the store that another daemon's list has overtaken: the
 * two must not mix. */
static void
stop_reading(HrGatewayFeed *feed)
{
    if (!HrStoreCaller_IsBusy(feed->servers.caller)) {
        return;
    }
    HrStoreCaller_Cancel(feed->servers.caller);
    if (HrGatewayFeed_Now(feed) - feed->servers.started_ns > SLOW_CALL_NS) {
        HrGatewayFeed_NoteCall(feed, "servers", 0);
    }
}

/* Applies another gateway's list. After changes that do not fit, the next list
 * is asked for as a whole. */
static void
take_list(HrGatewayFeed *feed, const HrServerList *list, int64_t as_of_ns)
{
    HrServerSet *servers = feed->gateway->servers;
    int64_t before_ns = feed->servers.share.as_of_ns;

    HrListSync_RecordList(&feed->servers.share, as_of_ns,
                          HrGatewayFeed_Now(feed));
    feed->servers.needs_whole_list = !HrServerList_Apply(
        list, servers, since_return(feed), HrGatewayFeed_Now(feed));
    if (feed->servers.needs_whole_list) {
        feed->servers.share.as_of_ns = before_ns;
    }
}

/* Returns the digest of the servers to ask for changes of. */
uint64_t
HrGatewayFeed_KnownServers(const HrGatewayFeed *feed)
{
    return feed->gateway->servers_known && !feed->servers.needs_whole_list
               ? HrServerSet_GetDigest(feed->gateway->servers)
               : 0;
}

/* Takes over another gateway's servers, unless newer ones are known. */
void
HrGatewayFeed_TakeServers(HrGatewayFeed *feed, HrBytes body,
                          const char *source, int64_t asked_ns)
{
    HrGateway *gateway = feed->gateway;
    HrServerList *list =
        HrServerList_Parse(feed, body.data, body.length_bytes);
    int64_t as_of_ns;

    if (list == NULL) {
        HrLog_Write(gateway->log, HR_LOG_WARN, "servers_malformed", "{s:s}",
                    "source", source);
        return;
    }
    as_of_ns = asked_ns - HrServerList_AgeNs(list);
    if (as_of_ns > feed->servers.share.as_of_ns) {
        stop_reading(feed);
        take_list(feed, list, as_of_ns);
        HrLog_Write(gateway->log, HR_LOG_DEBUG, "servers_taken_over",
                    "{s:s,s:I,s:i}", "source", source, "age_ms",
                    (json_int_t)(HrServerList_AgeNs(list) / HR_NS_PER_MS),
                    "servers",
                    (int)HrServerSet_GetServerCount(gateway->servers));
        if (!feed->servers.needs_whole_list) {
            note_servers(feed);
        }
    }
    talloc_free(list);
}

/* Returns the servers for another gateway as text. */
char *
HrGatewayFeed_EncodeServers(const HrGatewayFeed *feed, uint64_t digest)
{
    return HrServerList_Encode(feed->gateway->servers, digest,
                               HrGatewayFeed_Now(feed) -
                                   feed->servers.share.as_of_ns,
                               HrGatewayFeed_Now(feed));
}

/* Returns the age of the list of servers. */
int64_t
HrGatewayFeed_ServersAgeNs(const HrGatewayFeed *feed)
{
    int64_t as_of_ns = feed != NULL ? feed->servers.share.as_of_ns : 0;

    return as_of_ns > 0 ? HrGatewayFeed_Now(feed) - as_of_ns : HR_TIME_NEVER;
}

/* Fills in what this daemon says of itself to the others. */
void
HrGatewayFeed_FillClaim(const HrGatewayFeed *feed, HrVmStatus *claim)
{
    claim->servers_age_ns = HrGatewayFeed_ServersAgeNs(feed);
    if (feed == NULL) {
        return;
    }
    claim->reaches_store = feed->reaches_store;
    claim->watches_routes =
        feed->routes.waiting && HrStoreCaller_IsBusy(feed->routes.caller);
    claim->servers_digest = HrServerSet_GetDigest(feed->gateway->servers);
}

/* Notes that this daemon stood still. */
void
HrGatewayFeed_NotePause(HrGatewayFeed *feed, int64_t lost_ns)
{
    HrListSync_RecordPause(&feed->servers.share, lost_ns);
}

/* Adapts to which gateways are there and what they say. */
void
HrGatewayFeed_Adapt(HrGatewayFeed *feed)
{
    HrRoutesFeed *routes;

    if (feed == NULL) {
        return;
    }
    routes = &feed->routes;
    HrServerSet_RemoveMissing(feed->gateway->servers, since_return(feed));
    schedule_servers(feed);
    if (!must_watch_routes(feed)) {
        stop_routes(feed);
    }
    else if (HrStoreCaller_IsBusy(routes->caller) && routes->waiting &&
             watch_wait_ms(feed) < routes->wait_ms) {
        /* The one that waited for a short time is gone, and until now nothing
         * showed whether the connections of this daemon are silent. */
        HrLog_Write(feed->gateway->log, HR_LOG_INFO, "routes_watch_taken_over",
                    "{s:I}", "after_revision",
                    (json_int_t)routes->after_revision);
        HrStoreCaller_Cancel(routes->caller);
        HrStoreCaller_DoubtIdle(routes->caller);
        run_routes(feed);
    }
    else if (!HrStoreCaller_IsBusy(routes->caller) && routes->retry_ns == 0 &&
             feed->gateway->table != NULL) {
        run_routes(feed);
    }
}

/* Creates a caller of the store with a timer for its calls. */
static bool
init_caller(HrGatewayFeed *feed, HrStoreCaller **caller, HrStoreAnswerFn *fn,
            HrLoopTimer **timer, HrLoopTimerFn *timer_fn)
{
    *caller = HrStoreCaller_Create(feed->gateway, feed->store, fn, feed);
    *timer = HrLoop_AddTimer(feed->gateway->loop, timer_fn, feed);
    return *caller != NULL && *timer != NULL;
}

/* Creates the feed and starts its calls. */
HrGatewayFeed *
HrGatewayFeed_Create(HrGateway *gateway)
{
    HrGatewayFeed *feed = talloc_zero(gateway, HrGatewayFeed);
    int64_t delay_ns;

    if (feed == NULL) {
        return NULL;
    }
    feed->gateway = gateway;
    feed->store = HrH1Target_Create(gateway, gateway->store_client,
                                    gateway->settings->store_address);
    if (feed->store == NULL ||
        !init_caller(feed, &feed->routes.caller, handle_routes,
                     &feed->routes.timer, run_routes) ||
        !init_caller(feed, &feed->servers.caller, handle_servers,
                     &feed->servers.timer, run_servers) ||
        !init_caller(feed, &feed->vms.caller, HrGatewayFeed_HandleLease,
                     &feed->vms.timer, HrGatewayFeed_RunLease) ||
        !init_caller(feed, &feed->vms.list_caller, HrGatewayFeed_HandleVms,
                     &feed->vms.list_timer, HrGatewayFeed_ReadVms)) {
        return NULL;
    }
    delay_ns = HrListSync_GetFirstDelayNs(
        HrGatewaySettings_IsSeed(gateway->settings), &gateway->rng);
    HrListSync_Init(&feed->servers.share, HrGatewayFeed_Now(feed), delay_ns);
    HrLoop_SetTimer(gateway->loop, feed->routes.timer,
                    HrGatewayFeed_Now(feed) + delay_ns);
    schedule_servers(feed);
    HrGatewayFeed_RunLease(feed);
    return feed;
}
