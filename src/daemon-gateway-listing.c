#include <jansson.h>
#include <stdio.h>
#include <talloc.h>

#include "daemon-gateway-feed-int.h"

/* Prefix of the keys under which the gateways list themselves in the store. */
#define VM_PREFIX "hickoryrouter/vm/"

/* The list of gateways only serves daemons that start, to find the others;
 * hellos show which gateways are alive. So an entry may stay in the list after
 * its daemon has ended. */
#define LEASE_TTL_MS 60000

/* Period in which the list of gateways is read again, in case hellos did not
 * report one of them. VMS_READERS gateways do so, and each gateway that knows
 * a silent one. */
#define VMS_INTERVAL_NS (30 * HR_NS_PER_S)
#define VMS_READERS 2

/* Adds one listed gateway to the set of gateways; a malformed record is logged
 * and skipped. */
static void
handle_vm_item(void *arg, const HrStoreItem *item)
{
    HrGatewayFeed *feed = arg;
    HrVmRecord record;

    if (item->value == NULL ||
        HrVmRecord_Decode(&record, item->value, item->value_bytes) != HR_OK) {
        HrLog_Write(feed->gateway->log, HR_LOG_WARN, "gateway_malformed",
                    "{s:s}", "key", item->key);
        return;
    }
    HrVmSet_ApplyListed(feed->gateway->vms, &record);
}

/* Returns true if this daemon has to read the list of gateways again. */
static bool
must_read_vms(const HrGatewayFeed *feed)
{
    return HrGatewayFeed_GetReaderRank(feed) < VMS_READERS ||
           HrVmSet_HasSilentVm(feed->gateway->vms,
                               HrGatewayFeed_GetNowNs(feed));
}

/* Reads the list of gateways if it was never read or this daemon has to read
 * it again; otherwise checks again after VMS_INTERVAL_NS. */
void
HrGatewayFeed_ReadVms(void *arg)
{
    HrGatewayFeed *feed = arg;

    if (feed->vms.was_read && !must_read_vms(feed)) {
        HrLoop_SetTimer(feed->gateway->loop, feed->vms.list_timer,
                        HrGatewayFeed_GetNowNs(feed) + VMS_INTERVAL_NS);
        return;
    }
    HrStoreCall_PrepareRange(HrStoreCaller_GetCall(feed->vms.list_caller),
                             VM_PREFIX, "");
    HrGatewayFeed_StartCall(feed, feed->vms.list_caller, CALL_TIMEOUT_NS);
}

/* Handles the answer with the list of gateways, and schedules the next read.
 */
void
HrGatewayFeed_HandleVms(void *arg, int status, HrBytes body)
{
    HrGatewayFeed *feed = arg;
    HrStorePage page;
    int64_t delay_ns;

    HrGatewayFeed_RecordCall(feed, "gateways", status);
    HrVmSet_BeginList(feed->gateway->vms);
    if (status == 200 &&
        HrStoreAnswer_DecodeRange(body.data, body.length_bytes, handle_vm_item,
                                  feed, &page) == HR_OK) {
        HrVmSet_EndList(feed->gateway->vms, HrGatewayFeed_GetNowNs(feed));
        HrGatewayPeers_Announce(feed->gateway->peers);
        feed->vms.was_read = true;
        feed->vms.list_retry_ns = 0;
        delay_ns = VMS_INTERVAL_NS;
    }
    else {
        delay_ns = HrGatewayFeed_AdvanceRetryDelay(&feed->vms.list_retry_ns,
                                                   HR_RETRY_VMS);
    }
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.list_timer,
                    HrGatewayFeed_GetNowNs(feed) + delay_ns);
}

/* Starts the call for the present step: request the lease, write the entry,
 * renew the lease or end it. */
void
HrGatewayFeed_StartLeaseCall(void *arg)
{
    HrGatewayFeed *feed = arg;
    HrGateway *gateway = feed->gateway;
    HrStoreCall *call = HrStoreCaller_GetCall(feed->vms.caller);
    uint32_t ttl_ms = gateway->settings->lease_min_ms > LEASE_TTL_MS
                          ? gateway->settings->lease_min_ms
                          : LEASE_TTL_MS;
    char key[512];
    char *value;

    switch (feed->vms.step) {
    case HR_LEASE_NONE:
        HrStoreCall_PrepareLeaseGrant(call, ttl_ms);
        break;
    case HR_LEASE_GRANTED:
        snprintf(key, sizeof(key), VM_PREFIX "%s", gateway->self.name);
        value = HrVmRecord_Encode(feed, &gateway->self);
        HrStoreCall_PreparePut(call, key, value != NULL ? value : "{}",
                               feed->vms.lease.lease_id);
        talloc_free(value);
        break;
    case HR_LEASE_LISTED:
        HrStoreCall_PrepareLeaseRenewal(call, feed->vms.lease.lease_id);
        break;
    case HR_LEASE_ENDED:
        HrStoreCall_PrepareLeaseEnd(call, feed->vms.lease.lease_id);
        break;
    }
    HrGatewayFeed_StartCall(feed, feed->vms.caller, CALL_TIMEOUT_NS);
}

/* Advances to the step that follows a successful call about the lease. Returns
 * the delay in nanoseconds until the next call; a lease is renewed after a
 * third of its lifetime. */
static int64_t
advance_lease(HrGatewayFeed *feed, HrBytes body)
{
    HrVmsFeed *vms = &feed->vms;

    switch (vms->step) {
    case HR_LEASE_NONE:
        if (HrStoreAnswer_DecodeLease(body.data, body.length_bytes,
                                      &vms->lease) != HR_OK) {
            return HrGatewayFeed_AdvanceRetryDelay(&vms->retry_ns,
                                                   HR_RETRY_VMS);
        }
        vms->step = HR_LEASE_GRANTED;
        return 0;
    case HR_LEASE_GRANTED:
        vms->step = HR_LEASE_LISTED;
        vms->retry_ns = 0;
        HrLog_Write(feed->gateway->log, HR_LOG_INFO, "listed", "{s:I}",
                    "lease", (json_int_t)vms->lease.lease_id);
        if (!HrStoreCaller_IsBusy(vms->list_caller)) {
            HrGatewayFeed_ReadVms(feed);
        }
        break;
    case HR_LEASE_LISTED:
        vms->retry_ns = 0;
        break;
    case HR_LEASE_ENDED:
        break;
    }
    return (int64_t)vms->lease.ttl_ms * HR_NS_PER_MS / 3;
}

/* Handles the answer to a call about the lease. Status 404 means that the
 * lease has expired, so that a new one is requested. */
void
HrGatewayFeed_HandleLease(void *arg, int status, HrBytes body)
{
    HrGatewayFeed *feed = arg;
    int64_t delay_ns;

    if (feed->vms.step == HR_LEASE_ENDED) {
        return;
    }
    HrGatewayFeed_RecordCall(feed, "lease", status);
    if (status == 200) {
        delay_ns = advance_lease(feed, body);
    }
    else {
        delay_ns =
            HrGatewayFeed_AdvanceRetryDelay(&feed->vms.retry_ns, HR_RETRY_VMS);
    }
    if (status == 404) {
        feed->vms.step = HR_LEASE_NONE;
    }
    if (delay_ns == 0) {
        HrGatewayFeed_StartLeaseCall(feed);
        return;
    }
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.timer,
                    HrGatewayFeed_GetNowNs(feed) + delay_ns);
}

/* Removes this daemon from the list of gateways by ending its lease. If a call
 * about the lease is in progress, the entry stays until the lease expires. */
void
HrGatewayFeed_RemoveOwnEntry(HrGatewayFeed *feed)
{
    bool listed = feed->vms.step == HR_LEASE_LISTED;

    feed->vms.step = HR_LEASE_ENDED;
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.timer, HR_TIME_NEVER);
    if (listed && !HrStoreCaller_IsBusy(feed->vms.caller)) {
        HrGatewayFeed_StartLeaseCall(feed);
    }
}
