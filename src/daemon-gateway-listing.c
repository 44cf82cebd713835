#include <jansson.h>
#include <stdio.h>
#include <talloc.h>

#include "daemon-gateway-feed-int.h"

/* Where gateways list themselves in the store. */
#define VM_PREFIX "hickoryrouter/vm/"

/* The list of gateways is only where a starting daemon looks: who is there
 * now is told by their messages. So entries may outlive their daemon. */
#define LEASE_TTL_MS 60000

/* The list of gateways is read again after this time, in case messages did
 * not introduce one, by so many gateways, and by those that do not hear one
 * that they know. */
#define VMS_INTERVAL_NS (30 * HR_NS_PER_S)
#define VMS_READERS 2

/* Takes over the record of one gateway. */
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
    return HrGatewayFeed_Rank(feed) < VMS_READERS ||
           HrVmSet_HasSilentVm(feed->gateway->vms, HrGatewayFeed_Now(feed));
}

/* Reads the list of gateways if that is due. */
void
HrGatewayFeed_ReadVms(void *arg)
{
    HrGatewayFeed *feed = arg;

    if (feed->vms.was_read && !must_read_vms(feed)) {
        HrLoop_SetTimer(feed->gateway->loop, feed->vms.list_timer,
                        HrGatewayFeed_Now(feed) + VMS_INTERVAL_NS);
        return;
    }
    HrStoreCall_Range(HrStoreCaller_Call(feed->vms.list_caller), VM_PREFIX,
                      "");
    HrGatewayFeed_StartCall(feed, feed->vms.list_caller, CALL_TIMEOUT_NS);
}

/* Handles the list of gateways. */
void
HrGatewayFeed_HandleVms(void *arg, int status, HrBytes body)
{
    HrGatewayFeed *feed = arg;
    HrStorePage page;
    int64_t delay_ns;

    HrGatewayFeed_NoteCall(feed, "gateways", status);
    HrVmSet_BeginList(feed->gateway->vms);
    if (status == 200 &&
        HrStoreAnswer_Range(body.data, body.length_bytes, handle_vm_item, feed,
                            &page) == HR_OK) {
        HrVmSet_EndList(feed->gateway->vms, HrGatewayFeed_Now(feed));
        HrGatewayPeers_Announce(feed->gateway->peers);
        feed->vms.was_read = true;
        feed->vms.list_retry_ns = 0;
        delay_ns = VMS_INTERVAL_NS;
    }
    else {
        delay_ns =
            HrGatewayFeed_NextRetry(&feed->vms.list_retry_ns, HR_RETRY_VMS);
    }
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.list_timer,
                    HrGatewayFeed_Now(feed) + delay_ns);
}

/* Makes the next call that lists this daemon or keeps it listed. */
void
HrGatewayFeed_RunLease(void *arg)
{
    HrGatewayFeed *feed = arg;
    HrGateway *gateway = feed->gateway;
    HrStoreCall *call = HrStoreCaller_Call(feed->vms.caller);
    uint32_t ttl_ms = gateway->settings->lease_min_ms > LEASE_TTL_MS
                          ? gateway->settings->lease_min_ms
                          : LEASE_TTL_MS;
    char key[512];
    char *value;

    switch (feed->vms.step) {
    case HR_LEASE_NONE:
        HrStoreCall_Lease(call, ttl_ms);
        break;
    case HR_LEASE_PUT:
        snprintf(key, sizeof(key), VM_PREFIX "%s", gateway->self.name);
        value = HrVmRecord_Encode(feed, &gateway->self);
        HrStoreCall_Put(call, key, value != NULL ? value : "{}",
                        feed->vms.lease.lease_id);
        talloc_free(value);
        break;
    case HR_LEASE_HELD:
        HrStoreCall_Keep(call, feed->vms.lease.lease_id);
        break;
    case HR_LEASE_ENDED:
        HrStoreCall_EndLease(call, feed->vms.lease.lease_id);
        break;
    }
    HrGatewayFeed_StartCall(feed, feed->vms.caller, CALL_TIMEOUT_NS);
}

/* Goes to the step that follows an answered call about the lease. Returns the
 * delay until its call. */
static int64_t
advance_lease(HrGatewayFeed *feed, HrBytes body)
{
    HrVmsFeed *vms = &feed->vms;

    switch (vms->step) {
    case HR_LEASE_NONE:
        if (HrStoreAnswer_Lease(body.data, body.length_bytes, &vms->lease) !=
            HR_OK) {
            return HrGatewayFeed_NextRetry(&vms->retry_ns, HR_RETRY_VMS);
        }
        vms->step = HR_LEASE_PUT;
        return 0;
    case HR_LEASE_PUT:
        vms->step = HR_LEASE_HELD;
        vms->retry_ns = 0;
        HrLog_Write(feed->gateway->log, HR_LOG_INFO, "listed", "{s:I}",
                    "lease", (json_int_t)vms->lease.lease_id);
        if (!HrStoreCaller_IsBusy(vms->list_caller)) {
            HrGatewayFeed_ReadVms(feed);
        }
        break;
    case HR_LEASE_HELD:
        vms->retry_ns = 0;
        break;
    case HR_LEASE_ENDED:
        break;
    }
    return (int64_t)vms->lease.ttl_ms * HR_NS_PER_MS / 3;
}

/* Handles the answer to a call about the lease. */
void
HrGatewayFeed_HandleLease(void *arg, int status, HrBytes body)
{
    HrGatewayFeed *feed = arg;
    int64_t delay_ns;

    if (feed->vms.step == HR_LEASE_ENDED) {
        return;
    }
    HrGatewayFeed_NoteCall(feed, "lease", status);
    if (status == 200) {
        delay_ns = advance_lease(feed, body);
    }
    else {
        delay_ns = HrGatewayFeed_NextRetry(&feed->vms.retry_ns, HR_RETRY_VMS);
    }
    if (status == 404) {
        feed->vms.step = HR_LEASE_NONE;
    }
    if (delay_ns == 0) {
        HrGatewayFeed_RunLease(feed);
        return;
    }
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.timer,
                    HrGatewayFeed_Now(feed) + delay_ns);
}

/* Removes this daemon from the list of gateways. */
void
HrGatewayFeed_Withdraw(HrGatewayFeed *feed)
{
    bool listed = feed->vms.step == HR_LEASE_HELD;

    feed->vms.step = HR_LEASE_ENDED;
    HrLoop_SetTimer(feed->gateway->loop, feed->vms.timer, HR_TIME_NEVER);
    if (listed && !HrStoreCaller_IsBusy(feed->vms.caller)) {
        HrGatewayFeed_RunLease(feed);
    }
}
