#include "daemon-gateway-store.h"

#include <talloc.h>

/* Most requests that carry one call: the first, and its repetitions on new
 * connections. */
#define ATTEMPTS_MAX 4

/* A request that carries a call. */
typedef struct StoreAttempt {
    HrStoreChannel *channel;
    HrH1ClientConn *conn; /* NULL: it is not in progress */
} StoreAttempt;

struct HrStoreChannel {
    HrGateway *gateway;
    HrH1Target *store;
    HrStoreCall call; /* filled in by the owner of the channel */
    HrBuffer head;    /* of the requests that carry the call */
    StoreAttempt attempts[ATTEMPTS_MAX];
    uint32_t attempt_count;  /* requests sent for the call */
    bool repeats_failed_new; /* a failure on a new connection is repeated */
    bool busy;               /* a call is in progress: fn has to be called */
    int64_t repeat_ns;       /* period of the repetitions; 0: there are none */
    int64_t timeout_ns;      /* from the first repetition */
    int64_t deadline_ns;     /* when the call fails */
    HrLoopTimer *timer;      /* repeats or ends a call */
    HrStoreAnswerFn *fn;
    void *arg;
};

/* Returns the longest idle time with which a connection to the store is
 * reused. A fault of the network that silenced one connection may have
 * silenced all that were open at that time. */
static int64_t
max_idle_ns(const HrGateway *gateway)
{
    return gateway->store_idle_cutoff_ns > 0
               ? HrLoop_NowNs(gateway->loop) - gateway->store_idle_cutoff_ns
               : HR_TIME_NEVER;
}

void
HrStoreChannel_AvoidIdleConnections(HrStoreChannel *channel)
{
    channel->gateway->store_idle_cutoff_ns =
        HrLoop_NowNs(channel->gateway->loop);
}

/* Abandons the requests in progress. */
static void
abandon_attempts(HrStoreChannel *channel)
{
    uint32_t i;

    for (i = 0; i < channel->attempt_count; i++) {
        if (channel->attempts[i].conn != NULL) {
            HrH1ClientConn_AbandonRequest(channel->attempts[i].conn, 0);
            channel->attempts[i].conn = NULL;
        }
    }
    channel->attempt_count = 0;
}

/* Returns true if a request of the call is in progress. */
static bool
has_open_attempt(const HrStoreChannel *channel)
{
    uint32_t i;

    for (i = 0; i < channel->attempt_count; i++) {
        if (channel->attempts[i].conn != NULL) {
            return true;
        }
    }
    return false;
}

/* Ends the call, and passes its result to the owner of the channel. */
static void
finish_call(HrStoreChannel *channel, int status, HrBytes body, uint64_t era)
{
    abandon_attempts(channel);
    channel->busy = false;
    HrLoop_SetTimer(channel->gateway->loop, channel->timer, HR_TIME_NEVER);
    channel->fn(channel->arg, status, body, era);
}

static void handle_result(void *arg, const HrH1Result *result);

/* Sends the call as one more request. Returns false if it cannot be sent. */
static bool
send_attempt(HrStoreChannel *channel, bool fresh)
{
    StoreAttempt *attempt = &channel->attempts[channel->attempt_count];
    const HrH1Request request = {
        .head = {HrBuffer_GetData(&channel->head),
                 HrBuffer_GetLength(&channel->head)},
        .body = {HrBuffer_GetData(&channel->call.body),
                 HrBuffer_GetLength(&channel->call.body)},
        .fresh = fresh,
        .max_idle_ns = max_idle_ns(channel->gateway)};

    attempt->channel = channel;
    attempt->conn = HrH1Target_SendRequest(channel->store, &request,
                                           handle_result, attempt);
    channel->attempt_count += attempt->conn != NULL;
    return attempt->conn != NULL;
}

/* Returns true if the call may be sent once more. */
static bool
may_repeat(const HrStoreChannel *channel)
{
    return channel->repeat_ns > 0 && channel->attempt_count < ATTEMPTS_MAX;
}

/* Sets the timer for the next repetition, or for the failure of the call if
 * that is earlier. */
static void
schedule_repeat(HrStoreChannel *channel)
{
    int64_t repeat_ns =
        may_repeat(channel)
            ? HrLoop_NowNs(channel->gateway->loop) + channel->repeat_ns
            : channel->deadline_ns;

    HrLoop_SetTimer(channel->gateway->loop, channel->timer,
                    repeat_ns < channel->deadline_ns ? repeat_ns
                                                     : channel->deadline_ns);
}

/* Sends the call once more, on a new connection: the ones before have failed
 * or may be silent. Their requests stay in progress, because a slow store may
 * still answer them. The first repetition may be late, after a pause of this
 * process, so the time limit counts from it. Returns false if the call cannot
 * be sent. */
static bool
repeat_call(HrStoreChannel *channel)
{
    if (channel->attempt_count == 1) {
        channel->deadline_ns =
            HrLoop_NowNs(channel->gateway->loop) + channel->timeout_ns;
    }
    HrStoreChannel_AvoidIdleConnections(channel);
    HrCounters_Add(&channel->gateway->counters, HR_COUNTER_config_store_calls,
                   1);
    HrCounters_Add(&channel->gateway->counters,
                   HR_COUNTER_store_calls_repeated, 1);
    if (!send_attempt(channel, true)) {
        return false;
    }
    schedule_repeat(channel);
    return true;
}

/* Repeats a call that is not answered in time on a new connection, or ends it
 * at its deadline. */
static void
handle_timeout(void *arg)
{
    HrStoreChannel *channel = arg;
    bool in_time = channel->attempt_count == 1 ||
                   HrLoop_NowNs(channel->gateway->loop) < channel->deadline_ns;

    if (in_time && may_repeat(channel) && repeat_call(channel)) {
        return;
    }
    HrStoreChannel_AvoidIdleConnections(channel);
    finish_call(channel, 0, (HrBytes){0}, 0);
}

/* Ends the call if it was answered, or if its last request in progress has
 * failed. If that was sent on a connection which had been open before, the
 * failure may be that of the connection only. */
static void
handle_result(void *arg, const HrH1Result *result)
{
    StoreAttempt *attempt = arg;
    HrStoreChannel *channel = attempt->channel;

    attempt->conn = NULL;
    if (result->outcome == HR_H1_ANSWERED) {
        finish_call(channel, result->status, result->body,
                    HrStoreAnswer_ReadEra(result->headers));
        return;
    }
    if (has_open_attempt(channel)) {
        return;
    }
    if ((!result->fresh || channel->repeats_failed_new) &&
        may_repeat(channel)) {
        channel->repeats_failed_new = false;
        if (repeat_call(channel)) {
            return;
        }
    }
    finish_call(channel, 0, (HrBytes){0}, 0);
}

HrStoreChannel *
HrStoreChannel_Create(HrGateway *gateway, HrH1Target *store,
                      HrStoreAnswerFn *fn, void *arg)
{
    HrStoreChannel *channel = talloc_zero(gateway, HrStoreChannel);

    if (channel == NULL) {
        return NULL;
    }
    channel->gateway = gateway;
    channel->store = store;
    channel->fn = fn;
    channel->arg = arg;
    HrBuffer_Init(&channel->call.body, channel);
    HrBuffer_Init(&channel->head, channel);
    channel->timer = HrLoop_AddTimer(gateway->loop, handle_timeout, channel);
    if (channel->timer == NULL) {
        talloc_free(channel);
        return NULL;
    }
    return channel;
}

HrStoreCall *
HrStoreChannel_GetCall(HrStoreChannel *channel)
{
    return &channel->call;
}

bool
HrStoreChannel_IsBusy(const HrStoreChannel *channel)
{
    return channel->busy;
}

void
HrStoreChannel_CancelCall(HrStoreChannel *channel)
{
    abandon_attempts(channel);
    channel->busy = false;
    HrLoop_SetTimer(channel->gateway->loop, channel->timer, HR_TIME_NEVER);
}

void
HrStoreChannel_StartCall(HrStoreChannel *channel,
                         const HrStoreTimeouts *timeouts)
{
    HrGateway *gateway = channel->gateway;
    size_t body_bytes = HrBuffer_GetLength(&channel->call.body);
    bool sent;

    HrBuffer_Truncate(&channel->head, 0);
    HrBuffer_AppendFormat(&channel->head, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                          channel->call.method, channel->call.target,
                          gateway->settings->store_address);
    if (body_bytes > 0) {
        HrBuffer_AppendFormat(&channel->head,
                              "Content-Type: application/json\r\n"
                              "Content-Length: %zu\r\n",
                              body_bytes);
    }
    HrBuffer_AppendFormat(&channel->head, "\r\n");
    channel->busy = true;
    /* Writes are not repeated, because a silent connection may deliver them
     * late. */
    channel->repeat_ns = channel->call.is_repeatable ? timeouts->repeat_ns : 0;
    channel->timeout_ns = timeouts->timeout_ns;
    channel->deadline_ns =
        HrLoop_NowNs(gateway->loop) + channel->repeat_ns + channel->timeout_ns;
    /* If a new connection fails, so does the store, and the call is not
     * repeated. A seed that is not ready repeats it once: after a loss of all
     * VMs during an outage the callers of all gateways wait for the first
     * answer to a seed. */
    channel->repeats_failed_new =
        !gateway->was_ready && HrGatewaySettings_IsSeed(gateway->settings);
    sent = send_attempt(channel, false);
    if (sent) {
        schedule_repeat(channel);
        return;
    }
    /* The timer ends the call at once. */
    channel->deadline_ns = HrLoop_NowNs(gateway->loop);
    HrLoop_SetTimer(gateway->loop, channel->timer, channel->deadline_ns);
}
