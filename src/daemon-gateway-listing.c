#include <jansson.h>
#include <stdio.h>
#include <talloc.h>

#include "daemon-gateway-feed-int.h"
#include "proto-vm-list.h"

/* Prefix of the keys under which the gateways list themselves in the store.
 * The name of the gateway follows. */
#define VM_PREFIX "hickoryrouter/vm/"

/* Lifetime of the lease, unless the settings require a longer one. It may be
 * long, because an entry may stay in the list after its daemon has ended: the
 * list is needed only to find other gateways, and hellos show which of them
 * are running. */
#define LEASE_TTL_MS 60000

/* A lease is renewed after its lifetime divided by this. The rest is enough
 * for five retries. Each renewal is charged, at every gateway. */
#define RENEWAL_DIVISOR 2

/* After the store was restored, the gateways request their leases again at a
 * random time within this period, so that they do not all call at once. */
#define RENEW_SPREAD_NS ((uint64_t)(2 * HR_NS_PER_S))

/* The list of gateways is read again after this time, in case hellos did not
 * report one of them. The first VMS_READER_COUNT gateways in rank do so, and
 * each gateway in whose set one is silent copies it from one that has read it.
 */
#define VMS_READ_PERIOD_NS (30 * HR_NS_PER_S)
#define VMS_READER_COUNT 2

/* Greatest age of a list of another gateway that a reader takes over instead
 * of reading it, and that other gateways and starting ones take over. A
 * gateway that was removed counts for longer among those that share the
 * limits, which makes the shares smaller. */
#define READER_LIST_AGE_NS (VMS_READ_PERIOD_NS / 2)
#define OTHER_LIST_AGE_NS (2 * VMS_READ_PERIOD_NS)

/* Time that a gateway waits for the list of another one, and that a starting
 * one which is no seed waits for one to report its list. It is also in its
 * first hellos that other gateways offer it routes and servers. */
#define FETCH_WAIT_NS (1 * HR_NS_PER_S)
#define SOURCE_WAIT_NS ((uint64_t)(150 * HR_NS_PER_MS))

/* Returns true if an entry is left over from an earlier era of the store: its
 * lease is gone, so that it does not expire, and its gateway has not written
 * it again although its lease would have expired by now. */
static bool
is_left_over(const HrGatewayFeed *feed, const HrVmRecord *record)
{
    return record->store_era > 0 && record->store_era < feed->era.era &&
           HrGatewayFeed_GetNowNs(feed) - feed->era.known_ns >
               LEASE_TTL_MS * HR_NS_PER_MS;
}

/* Adds one listed gateway to the set of gateways; a malformed record is logged
 * and skipped. */
static void
apply_vm_item(void *arg, const HrStoreItem *item)
{
    HrGatewayFeed *feed = arg;
    HrVmRecord record;

    if (item->value == NULL ||
        HrVmRecord_Decode(&record, item->value, item->value_bytes) != HR_OK) {
        HrLog_Write(feed->gateway->log, HR_LOG_WARN, "gateway_malformed",
                    "{s:s}", "key", item->key);
        return;
    }
    if (is_left_over(feed, &record)) {
        return;
    }
    HrVmSet_ApplyListed(feed->gateway->vms, &record);
}

/* Returns true if this daemon has to have a newer list of gateways. */
static bool
needs_vms(const HrGatewayFeed *feed)
{
    return feed->vms.as_of_ns == 0 ||
           HrGatewayFeed_GetReaderRank(feed) < VMS_READER_COUNT ||
           HrVmSet_HasSilentVm(feed->gateway->vms,
                               HrGatewayFeed_GetNowNs(feed));
}

/* Returns the gateway whose list this daemon takes over, or NULL. */
static const HrVm *
find_vms_source(const HrGatewayFeed *feed)
{
    bool is_reader = feed->vms.as_of_ns > 0 &&
                     HrGatewayFeed_GetReaderRank(feed) < VMS_READER_COUNT;

    return HrVmSet_FindListSource(feed->gateway->vms, feed->vms.as_of_ns,
                                  is_reader ? READER_LIST_AGE_NS
                                            : OTHER_LIST_AGE_NS,
                                  HrGatewayFeed_GetNowNs(feed));
}

/* Sets the timer for the next read of the list of gateways. */
static void
schedule_vms_read(HrGatewayFeed *feed, int64_t delay_ns)
{
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.list_timer,
                    HrGatewayFeed_GetNowNs(feed) + delay_ns);
}

/* Requests the next page of the list of gateways. */
static void
read_vms_page(HrGatewayFeed *feed)
{
    HrStoreCall_PrepareRange(HrStoreChannel_GetCall(feed->vms.list_channel),
                             VM_PREFIX, feed->vms.after_key);
    HrGatewayFeed_StartCall(feed, feed->vms.list_channel,
                            HR_STORE_CALL_TIMEOUTS);
}

/* Requests the list of gateways from another gateway. If it does not arrive in
 * time, the timer has the list read from the store. */
static void
fetch_vms(HrGatewayFeed *feed, const HrVm *source)
{
    feed->vms.is_fetching = true;
    schedule_vms_read(feed, FETCH_WAIT_NS);
    HrGatewayPeers_FetchVms(feed->gateway->peers, &source->record);
}

/* Takes over the list of gateways of another one, or reads it from the store,
 * if this daemon has to have a newer one; otherwise checks again after
 * VMS_READ_PERIOD_NS. A gateway that is no reader reads it only for its first
 * list: among those that it can reach, or if it reaches none, itself, there
 * is a reader. */
void
HrGatewayFeed_StartVmsRead(void *arg)
{
    HrGatewayFeed *feed = arg;
    bool fetch_failed = feed->vms.is_fetching;
    const HrVm *source = fetch_failed ? NULL : find_vms_source(feed);

    feed->vms.is_fetching = false;
    if (HrStoreChannel_IsBusy(feed->vms.list_channel)) {
        return;
    }
    if (needs_vms(feed) && source != NULL) {
        fetch_vms(feed, source);
        return;
    }
    if (feed->vms.as_of_ns > 0 &&
        HrGatewayFeed_GetReaderRank(feed) >= VMS_READER_COUNT) {
        schedule_vms_read(feed, VMS_READ_PERIOD_NS);
        return;
    }
    feed->vms.after_key[0] = '\0';
    feed->vms.read_started_ns = HrGatewayFeed_GetNowNs(feed);
    HrVmSet_BeginList(feed->gateway->vms);
    read_vms_page(feed);
}

void
HrGatewayFeed_UpdateVmsSource(HrGatewayFeed *feed)
{
    const HrVm *source = NULL;

    if (feed->vms.as_of_ns == 0 && !feed->vms.is_fetching &&
        !HrStoreChannel_IsBusy(feed->vms.list_channel)) {
        source = find_vms_source(feed);
    }
    if (source != NULL) {
        fetch_vms(feed, source);
    }
}

/* Ends the update of the list of gateways: announces this daemon to them and
 * schedules the next update. */
static void
finish_vms_update(HrGatewayFeed *feed, int64_t as_of_ns)
{
    feed->vms.as_of_ns = as_of_ns;
    feed->vms.is_fetching = false;
    feed->vms.list_retry_ns = 0;
    HrGatewayFeed_UpdateSharing(feed);
    HrGatewayPeers_AnnounceStatus(feed->gateway->peers);
    schedule_vms_read(feed, VMS_READ_PERIOD_NS);
}

char *
HrGatewayFeed_EncodeVms(const HrGatewayFeed *feed)
{
    int64_t now_ns;

    if (feed == NULL || feed->vms.as_of_ns == 0) {
        return NULL;
    }
    now_ns = HrGatewayFeed_GetNowNs(feed);
    return HrVmList_Encode(feed->gateway->vms, &feed->gateway->self,
                           now_ns - feed->vms.as_of_ns, feed->era.era, now_ns);
}

/* Applies the list unless a newer one is known or is being read. */
void
HrGatewayFeed_ApplyPeerVms(HrGatewayFeed *feed, HrBytes body,
                           const char *source, int64_t requested_ns)
{
    HrGateway *gateway = feed->gateway;
    HrVmList *list = HrVmList_Parse(feed, body.data, body.length_bytes);
    int64_t as_of_ns;

    if (list == NULL) {
        HrLog_Write(gateway->log, HR_LOG_WARN, "gateways_malformed", "{s:s}",
                    "source", source);
        return;
    }
    as_of_ns = requested_ns - HrVmList_GetAgeNs(list);
    if (HrGatewayFeed_ObserveEra(feed, source, HrVmList_GetEra(list), false) !=
            HR_STORE_ERA_OLDER &&
        as_of_ns > feed->vms.as_of_ns &&
        !HrStoreChannel_IsBusy(feed->vms.list_channel)) {
        HrVmList_Apply(list, gateway->vms, HrGatewayFeed_GetNowNs(feed));
        HrLog_Write(gateway->log, HR_LOG_INFO, "gateways_taken_over",
                    "{s:s,s:I,s:i}", "source", source, "age_ms",
                    (json_int_t)(HrVmList_GetAgeNs(list) / HR_NS_PER_MS),
                    "gateways", (int)HrVmSet_GetCount(gateway->vms) + 1);
        HrCounters_Add(&gateway->counters, HR_COUNTER_gateway_lists_copied, 1);
        finish_vms_update(feed, as_of_ns);
    }
    talloc_free(list);
}

/* Applies a page of the list of gateways. After a failure it is read again
 * after a retry delay. */
void
HrGatewayFeed_HandleVmsAnswer(void *arg, int status, HrBytes body,
                              uint64_t era)
{
    HrGatewayFeed *feed = arg;
    HrStorePage page;

    status = HrGatewayFeed_CheckEra(feed, "gateways", status, era);
    HrGatewayFeed_RecordCallResult(feed, "gateways", status);
    if (feed->vms.after_key[0] == '\0') {
        feed->vms.read_era = era;
    }
    else if (status == 200 && feed->vms.read_era != era) {
        /* The store was restored between two pages. */
        HrGatewayFeed_StartVmsRead(feed);
        return;
    }
    if (status == 200 &&
        HrStoreAnswer_DecodeRange(body.data, body.length_bytes, apply_vm_item,
                                  feed, &page) == HR_OK &&
        (!page.more || HrGatewayFeed_AdvanceKey(feed->vms.after_key, &page))) {
        if (page.more) {
            read_vms_page(feed);
            return;
        }
        HrVmSet_EndList(feed->gateway->vms, HrGatewayFeed_GetNowNs(feed));
        finish_vms_update(feed, feed->vms.read_started_ns);
        return;
    }
    schedule_vms_read(feed,
                      HrGatewayFeed_AdvanceRetryDelay(&feed->vms.list_retry_ns,
                                                      HR_VMS_RETRY_DELAYS));
}

/* Starts the call of the current step: request the lease, write the entry,
 * renew the lease or end it. Does nothing while a call is in progress. */
void
HrGatewayFeed_StartLeaseCall(void *arg)
{
    HrGatewayFeed *feed = arg;
    HrGateway *gateway = feed->gateway;
    HrStoreCall *call = HrStoreChannel_GetCall(feed->vms.channel);
    uint32_t ttl_ms = gateway->settings->lease_min_ms > LEASE_TTL_MS
                          ? gateway->settings->lease_min_ms
                          : LEASE_TTL_MS;
    char key[512];
    char *value;

    if (HrStoreChannel_IsBusy(feed->vms.channel)) {
        return; /* the answer starts or schedules the next call */
    }
    switch (feed->vms.listing_step) {
    case HR_LISTING_NO_LEASE:
        HrStoreCall_PrepareLeaseGrant(call, ttl_ms);
        break;
    case HR_LISTING_LEASE_GRANTED:
        snprintf(key, sizeof(key), VM_PREFIX "%s", gateway->self.name);
        gateway->self.store_era = feed->era.era;
        value = HrVmRecord_Encode(feed, &gateway->self);
        HrStoreCall_PreparePut(call, key, value != NULL ? value : "{}",
                               feed->vms.lease.lease_id);
        talloc_free(value);
        break;
    case HR_LISTING_ENTRY_WRITTEN:
        HrStoreCall_PrepareLeaseRenewal(call, feed->vms.lease.lease_id);
        break;
    case HR_LISTING_ENDED:
        HrStoreCall_PrepareLeaseEnd(call, feed->vms.lease.lease_id);
        break;
    }
    HrGatewayFeed_StartCall(feed, feed->vms.channel, HR_STORE_CALL_TIMEOUTS);
}

/* Starts the first read of the list of gateways, now that it contains this
 * daemon. Gateways other than seeds first wait for one that has the list. */
static void
start_first_vms_read(HrGatewayFeed *feed)
{
    HrGateway *gateway = feed->gateway;

    if (feed->vms.as_of_ns > 0 || feed->vms.is_fetching) {
        return;
    }
    if (HrGatewaySettings_IsSeed(gateway->settings)) {
        HrGatewayFeed_StartVmsRead(feed);
        return;
    }
    schedule_vms_read(
        feed, (int64_t)(SOURCE_WAIT_NS +
                        HrRng_DrawBelow(&gateway->rng, SOURCE_WAIT_NS)));
}

/* Advances to the step after a successful call; body is its answer. Returns
 * the delay in nanoseconds until the next call. */
static int64_t
advance_listing(HrGatewayFeed *feed, HrBytes body)
{
    HrVmsFeed *vms = &feed->vms;

    switch (vms->listing_step) {
    case HR_LISTING_NO_LEASE:
        if (HrStoreAnswer_DecodeLease(body.data, body.length_bytes,
                                      &vms->lease) != HR_OK) {
            return HrGatewayFeed_AdvanceRetryDelay(&vms->retry_ns,
                                                   HR_VMS_RETRY_DELAYS);
        }
        vms->listing_step = HR_LISTING_LEASE_GRANTED;
        return 0;
    case HR_LISTING_LEASE_GRANTED:
        vms->listing_step = HR_LISTING_ENTRY_WRITTEN;
        vms->retry_ns = 0;
        HrLog_Write(feed->gateway->log, HR_LOG_INFO, "listed", "{s:I}",
                    "lease", (json_int_t)vms->lease.lease_id);
        start_first_vms_read(feed);
        break;
    case HR_LISTING_ENTRY_WRITTEN:
        vms->retry_ns = 0;
        break;
    case HR_LISTING_ENDED:
        break;
    }
    return (int64_t)vms->lease.ttl_ms * HR_NS_PER_MS / RENEWAL_DIVISOR;
}

/* Advances the listing after a successful call, or schedules a retry. Status
 * 404 means that the lease has expired, so a new one is requested. */
void
HrGatewayFeed_HandleLeaseAnswer(void *arg, int status, HrBytes body,
                                uint64_t era)
{
    HrGatewayFeed *feed = arg;
    int64_t delay_ns;

    if (feed->vms.listing_step == HR_LISTING_ENDED) {
        return;
    }
    status = HrGatewayFeed_CheckEra(feed, "lease", status, era);
    HrGatewayFeed_RecordCallResult(feed, "lease", status);
    if (status == 200) {
        delay_ns = advance_listing(feed, body);
    }
    else {
        delay_ns = HrGatewayFeed_AdvanceRetryDelay(&feed->vms.retry_ns,
                                                   HR_VMS_RETRY_DELAYS);
    }
    if (status == 404) {
        feed->vms.listing_step = HR_LISTING_NO_LEASE;
    }
    if (delay_ns == 0) {
        HrGatewayFeed_StartLeaseCall(feed);
        return;
    }
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.timer,
                    HrGatewayFeed_GetNowNs(feed) + delay_ns);
}

void
HrGatewayFeed_RenewListing(HrGatewayFeed *feed)
{
    HrGateway *gateway = feed->gateway;
    int64_t now_ns = HrGatewayFeed_GetNowNs(feed);

    HrVmSet_KeepListed(gateway->vms, now_ns + LEASE_TTL_MS * HR_NS_PER_MS);
    if (feed->vms.listing_step == HR_LISTING_ENDED) {
        return;
    }
    feed->vms.listing_step = HR_LISTING_NO_LEASE;
    feed->vms.retry_ns = 0;
    HrStoreChannel_CancelCall(feed->vms.channel);
    HrLoop_SetTimer(
        gateway->loop, feed->vms.timer,
        now_ns + (int64_t)HrRng_DrawBelow(&gateway->rng, RENEW_SPREAD_NS));
}

/* If a call about the lease is in progress, the lease is not ended, and the
 * entry stays until the lease expires. */
void
HrGatewayFeed_RemoveOwnEntry(HrGatewayFeed *feed)
{
    bool listed = feed->vms.listing_step == HR_LISTING_ENTRY_WRITTEN;

    feed->vms.listing_step = HR_LISTING_ENDED;
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.timer, HR_TIME_NEVER);
    if (listed && !HrStoreChannel_IsBusy(feed->vms.channel)) {
        HrGatewayFeed_StartLeaseCall(feed);
    }
}
