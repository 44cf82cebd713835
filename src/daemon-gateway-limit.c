#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "daemon-gateway-state.h"
#include "proto-limit.h"

/* Interval at which the view of the other gateways is updated. */
#define UPDATE_NS HR_LIMIT_PERIOD_NS

/* While requests of a tenant are rejected, none of those that have missed
 * their target time gets a token: it would be taken from one that can still be
 * answered in time. The state is kept for this time after a rejection. */
#define OVER_LIMIT_NS HR_NS_PER_S

/* A tenant that has exceeded its limit. */
typedef struct OverLimit {
    uint64_t key;
    int64_t rejected_ns; /* when a request was rejected last */
    UT_hash_handle hh;
} OverLimit;

/* Where a gateway receives messages. */
typedef struct PeerAddress {
    uint64_t name; /* hash */
    HrSockAddress address;
} PeerAddress;

struct HrGatewayLimits {
    HrGateway *gateway;
    HrLimit *limit;
    HrLoopTimer *update_timer;
    HrLoopTimer *timer; /* of limit */
    int64_t timer_ns;   /* when it is due */
    PeerAddress *peers; /* the known gateways */
    uint32_t peer_count;
    uint64_t *candidates; /* names of the gateways that may be owners */
    HrLimitStats counted; /* numbers that were added to the counters */
    const HrSharedTable *checked_table; /* for tenants_limited */
    bool tenants_limited; /* the routes limit the requests of a tenant */
    bool active;
    OverLimit *over_limit; /* by key */
};

/* Sends a message to a known gateway, or replies to the one whose datagram is
 * being handled: a new gateway may not be known here yet. */
static void
send_message(HrGatewayLimits *limits, const HrLimitMessage *message,
             uint64_t source, const HrSockAddress *from)
{
    const HrSockAddress *address = NULL;
    HrBytes bytes;
    uint32_t i;

    if (from != NULL && message->receiver == source) {
        address = from;
    }
    for (i = 0; address == NULL && i < limits->peer_count; i++) {
        if (limits->peers[i].name == message->receiver) {
            address = &limits->peers[i].address;
        }
    }
    if (address != NULL &&
        HrLimitMessage_Encode(limits, message, &bytes) == HR_OK) {
        HrGatewayPeers_SendLimitMessage(limits->gateway->peers, bytes,
                                        address);
        talloc_free((void *)bytes.data);
    }
}

/* Sends the pending messages and passes on the results of waiters. Returns
 * true if there was any. */
static bool
run_pending(HrGatewayLimits *limits, uint64_t source,
            const HrSockAddress *from)
{
    int64_t now_ns = HrLoop_NowNs(limits->gateway->loop);
    HrLimitMessage message;
    HrLimitWaiter *waiter;
    bool any = false;

    while (HrLimit_PopMessage(limits->limit, &message, now_ns)) {
        send_message(limits, &message, source, from);
        any = true;
    }
    while ((waiter = HrLimit_PopFinished(limits->limit)) != NULL) {
        HrGatewayRequest_HandleLimitResult(waiter);
        any = true;
    }
    return any;
}

/* Called before the loop waits: requests and attempts may have asked for
 * credits since. */
static void
handle_before_wait(void *arg)
{
    HrGatewayLimits *limits = arg;
    int64_t next_ns;

    while (run_pending(limits, 0, NULL)) {
    }
    next_ns = HrLimit_GetNextTimer(limits->limit);
    if (next_ns != limits->timer_ns) {
        limits->timer_ns = next_ns;
        HrLoop_SetTimer(limits->gateway->loop, limits->timer, next_ns);
    }
}

static void
handle_timer(void *arg)
{
    HrGatewayLimits *limits = arg;

    limits->timer_ns = HR_TIME_NEVER;
    HrLimit_HandleTimer(limits->limit, HrLoop_NowNs(limits->gateway->loop));
}

/* Adds the numbers since the last call to the counters, and logs a change of
 * the owners. */
static void
update_counters(HrGatewayLimits *limits)
{
    HrCounters *counters = &limits->gateway->counters;
    HrLimitStats now = *HrLimit_GetStats(limits->limit);
    const HrLimitStats *counted = &limits->counted;

    HrCounters_Add(counters, HR_COUNTER_limit_granted,
                   now.granted - counted->granted);
    HrCounters_Add(counters, HR_COUNTER_limit_denied,
                   now.denied - counted->denied);
    HrCounters_Add(counters, HR_COUNTER_limit_timeouts,
                   now.timeouts - counted->timeouts);
    HrCounters_Add(counters, HR_COUNTER_limit_takes,
                   now.takes - counted->takes);
    HrCounters_Add(counters, HR_COUNTER_limit_credits_expired,
                   now.expired - counted->expired);
    HrCounters_Add(counters, HR_COUNTER_limit_owner_changes,
                   now.owner_changes - counted->owner_changes);
    HrCounters_Add(counters, HR_COUNTER_limit_owners_failed,
                   now.owners_failed - counted->owners_failed);
    if (limits->active && (now.owner_changes != counted->owner_changes ||
                           now.owners_failed != counted->owners_failed)) {
        HrLog_Write(
            limits->gateway->log, HR_LOG_INFO, "limit_owners_changed",
            "{s:I,s:I,s:I}", "failed",
            (json_int_t)(now.owners_failed - counted->owners_failed),
            "delegations",
            (json_int_t)HrLimit_CountDelegations(
                limits->limit, HrLoop_NowNs(limits->gateway->loop)),
            "gateways",
            (json_int_t)HrVmSet_CountSharing(
                limits->gateway->vms, HrLoop_NowNs(limits->gateway->loop)));
    }
    limits->counted = now;
}

/* Returns true if the routes in force limit the requests of a tenant. */
static bool
are_tenants_limited(HrGatewayLimits *limits)
{
    const HrSharedTable *table = limits->gateway->table;
    const HrTenants *tenants = table != NULL ? table->table->tenants : NULL;
    uint32_t i;

    if (table != limits->checked_table) {
        limits->checked_table = table;
        limits->tenants_limited = false;
        for (i = 0; tenants != NULL && i < HrTenants_GetCount(tenants); i++) {
            limits->tenants_limited =
                limits->tenants_limited ||
                HrTenants_Get(tenants, i)->rate_per_s > 0;
        }
    }
    return limits->tenants_limited;
}

/* Updates the addresses of the known gateways. Returns false when out of
 * memory. */
static bool
update_peers(HrGatewayLimits *limits)
{
    const HrVmSet *vms = limits->gateway->vms;
    uint32_t count = HrVmSet_GetCount(vms), i;
    PeerAddress *peers =
        talloc_realloc(limits, limits->peers, PeerAddress, count + 1);
    uint64_t *candidates =
        talloc_realloc(limits, limits->candidates, uint64_t, count + 1);

    limits->peers = peers != NULL ? peers : limits->peers;
    limits->candidates = candidates != NULL ? candidates : limits->candidates;
    limits->peer_count = 0;
    if (peers == NULL || candidates == NULL) {
        return false;
    }
    for (i = 0; i < count; i++) {
        const HrVmRecord *record = &HrVmSet_GetVm(vms, i)->record;
        PeerAddress *peer = &peers[limits->peer_count];

        if (HrSockAddress_Parse(record->peer_address, &peer->address) ==
            HR_OK) {
            peer->name = HrLimit_HashName(record->name);
            limits->peer_count++;
        }
    }
    return true;
}

/* Fills in the gateways that may be owners, and returns their number.
 * Preferred ones suffice if any serves: a twelfth of a core is too little for
 * the messages of 134 gateways. */
static uint32_t
list_candidates(HrGatewayLimits *limits, bool only_preferred, int64_t now_ns)
{
    const HrGateway *gateway = limits->gateway;
    const HrVmSet *vms = gateway->vms;
    const HrVm *vm;
    uint32_t count = 0, i;

    if (HrGateway_IsReady(gateway) &&
        (!only_preferred || HrVmSet_IsPreferred(vms, &gateway->self))) {
        limits->candidates[count++] = HrLimit_HashName(gateway->self.name);
    }
    for (i = 0; (vm = HrVmSet_GetVm(vms, i)) != NULL; i++) {
        if (HrVmSet_IsServing(vms, vm, now_ns) &&
            (!only_preferred || HrVmSet_IsPreferred(vms, &vm->record))) {
            limits->candidates[count++] = HrLimit_HashName(vm->record.name);
        }
    }
    return count;
}

/* Passes the view of the other gateways to the limits, and decides whether the
 * limits are in use. */
static void
handle_update_timer(void *arg)
{
    HrGatewayLimits *limits = arg;
    HrGateway *gateway = limits->gateway;
    int64_t now_ns = HrLoop_NowNs(gateway->loop);
    uint32_t sharing = HrVmSet_CountSharing(gateway->vms, now_ns);

    HrLoop_SetTimer(gateway->loop, limits->update_timer, now_ns + UPDATE_NS);
    limits->active = are_tenants_limited(limits);
    if (HrServerSet_UpdateSharedRepeats(gateway->servers, now_ns)) {
        limits->active = true;
    }
    if (HrServerSet_UsesColdLimits(gateway->servers, now_ns)) {
        limits->active = true;
    }
    HrLimit_SetActive(limits->limit, limits->active, now_ns);
    if (update_peers(limits)) {
        uint32_t count = list_candidates(limits, true, now_ns);

        if (count == 0) {
            count = list_candidates(limits, false, now_ns);
        }
        HrLimit_SetGateways(limits->limit, limits->candidates, count, sharing,
                            now_ns);
    }
    update_counters(limits);
}

/* Frees the hash table. */
static int
destroy_limits(HrGatewayLimits *limits)
{
    HASH_CLEAR(hh, limits->over_limit);
    return 0;
}

HrGatewayLimits *
HrGatewayLimits_Create(HrGateway *gateway)
{
    HrGatewayLimits *limits = talloc_zero(gateway, HrGatewayLimits);
    const HrLimitConfig config = {
        .self = HrLimit_HashName(gateway->self.name),
        .process = 1 + (uint32_t)HrRng_DrawBelow(&gateway->rng, UINT32_MAX),
        .start_ns = HrLoop_NowNs(gateway->loop)};

    if (limits == NULL) {
        return NULL;
    }
    limits->gateway = gateway;
    limits->timer_ns = HR_TIME_NEVER;
    limits->limit = HrLimit_Create(limits, &config);
    limits->update_timer =
        HrLoop_AddTimer(gateway->loop, handle_update_timer, limits);
    limits->timer = HrLoop_AddTimer(gateway->loop, handle_timer, limits);
    if (limits->limit == NULL || limits->update_timer == NULL ||
        limits->timer == NULL) {
        talloc_free(limits);
        return NULL;
    }
    talloc_set_destructor(limits, destroy_limits);
    HrServerSet_SetLimit(gateway->servers, limits->limit);
    HrLoop_SetHooks(gateway->loop, NULL, handle_before_wait, limits);
    HrLoop_SetTimer(gateway->loop, limits->update_timer,
                    HrLoop_NowNs(gateway->loop));
    return limits;
}

void
HrGatewayLimits_HandleDatagram(HrGatewayLimits *limits, const uint8_t *data,
                               size_t length_bytes, const HrSockAddress *from)
{
    HrGateway *gateway = limits->gateway;
    HrLimitMessage message;

    if (HrLimitMessage_Decode(&message, data, length_bytes) != HR_OK) {
        HrCounters_Add(&gateway->counters, HR_COUNTER_peer_bad_frames, 1);
        return;
    }
    HrCounters_Add(&gateway->counters, HR_COUNTER_limit_messages_received, 1);
    HrLimit_HandleMessage(limits->limit, &message,
                          HrLoop_NowNs(gateway->loop));
    run_pending(limits, message.sender, from);
}

void
HrGatewayLimits_HandlePause(HrGatewayLimits *limits)
{
    HrLimit_HandlePause(limits->limit, HrLoop_NowNs(limits->gateway->loop));
}

/* Returns the rule of a tenant's limit. */
static HrLimitRule
get_tenant_rule(const HrGatewaySettings *settings, const HrTenant *tenant)
{
    double bound =
        (tenant->rate_per_s * settings->quota_window_s + tenant->burst) *
            (1 + settings->quota_overshoot) +
        settings->quota_slack;

    return HrLimitRule_FromBucket(tenant->rate_per_s, tenant->burst, bound,
                                  settings->quota_window_s);
}

/* Returns true if requests of a tenant were rejected within OVER_LIMIT_NS. */
static bool
is_over_limit(const HrGatewayLimits *limits, uint64_t key)
{
    OverLimit *over;

    HASH_FIND(hh, limits->over_limit, &key, sizeof(key), over);
    return over != NULL &&
           HrLoop_NowNs(limits->gateway->loop) - over->rejected_ns <
               OVER_LIMIT_NS;
}

void
HrGatewayLimits_RecordRejection(HrGatewayLimits *limits,
                                const HrTenant *tenant)
{
    uint64_t key = HrLimit_MakeKey(HR_LIMIT_TENANT, tenant->name);
    OverLimit *over;

    HASH_FIND(hh, limits->over_limit, &key, sizeof(key), over);
    if (over == NULL) {
        over = talloc_zero(limits, OverLimit);
        if (over == NULL) {
            return;
        }
        over->key = key;
        HASH_ADD(hh, limits->over_limit, key, sizeof(key), over);
    }
    over->rejected_ns = HrLoop_NowNs(limits->gateway->loop);
}

HrLimitResult
HrGatewayLimits_RequestForTenant(HrGatewayLimits *limits,
                                 HrLimitWaiter *waiter, const HrTenant *tenant,
                                 bool missed_target)
{
    HrLimitRule rule = get_tenant_rule(limits->gateway->settings, tenant);
    uint64_t key = HrLimit_MakeKey(HR_LIMIT_TENANT, tenant->name);

    if (missed_target && is_over_limit(limits, key)) {
        /* Spread, so that these callers do not return together. */
        waiter->retry_after_ns =
            OVER_LIMIT_NS +
            (int64_t)HrRng_DrawBelow(&limits->gateway->rng, OVER_LIMIT_NS);
        return HR_LIMIT_DENIED;
    }
    return HrLimit_Request(limits->limit, waiter, key, &rule,
                           HrLoop_NowNs(limits->gateway->loop));
}

void
HrGatewayLimits_CancelWait(HrGatewayLimits *limits, HrLimitWaiter *waiter)
{
    HrLimit_Cancel(limits->limit, waiter);
}

void
HrGatewayLimits_AppendMetrics(const HrGatewayLimits *limits, HrBuffer *text)
{
    HrBuffer_AppendFormat(
        text, "hickory_limit_delegations %u\nhickory_limit_buckets %u\n",
        HrLimit_CountDelegations(limits->limit,
                                 HrLoop_NowNs(limits->gateway->loop)),
        HrLimit_CountBuckets(limits->limit));
}
