#include "daemon-gateway-store.h"

#include <talloc.h>

struct HrStoreChannel {
    HrGateway *gateway;
    HrH1Target *store;
    HrStoreCall call;     /* filled in by the owner of the channel */
    HrBuffer head;        /* of the request that carries the call */
    HrH1ClientConn *conn; /* NULL: no request is in progress */
    bool busy;            /* a call is in progress: fn has to be called */
    HrLoopTimer *timer;   /* ends a call that is not answered in time */
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

/* Ends a call that was not answered in time or could not be sent. */
static void
handle_timeout(void *arg)
{
    HrStoreChannel *channel = arg;

    HrStoreChannel_AvoidIdleConnections(channel);
    if (channel->conn != NULL) {
        HrH1ClientConn_AbandonRequest(channel->conn, 0);
        channel->conn = NULL;
    }
    channel->busy = false;
    channel->fn(channel->arg, 0, (HrBytes){0});
}

/* Passes the store's answer to fn, or status 0 if the connection failed. */
static void
handle_result(void *arg, const HrH1Result *result)
{
    HrStoreChannel *channel = arg;

    channel->conn = NULL;
    channel->busy = false;
    HrLoop_SetTimer(channel->gateway->loop, channel->timer, HR_TIME_NEVER);
    channel->fn(channel->arg,
                result->outcome == HR_H1_ANSWERED ? result->status : 0,
                result->body);
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
    if (channel->conn != NULL) {
        HrH1ClientConn_AbandonRequest(channel->conn, 0);
        channel->conn = NULL;
    }
    channel->busy = false;
    HrLoop_SetTimer(channel->gateway->loop, channel->timer, HR_TIME_NEVER);
}

void
HrStoreChannel_StartCall(HrStoreChannel *channel, int64_t timeout_ns)
{
    HrGateway *gateway = channel->gateway;
    size_t body_bytes = HrBuffer_GetLength(&channel->call.body);
    HrH1Request request = {.max_idle_ns = max_idle_ns(gateway)};

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
    request.head.data = HrBuffer_GetData(&channel->head);
    request.head.length_bytes = HrBuffer_GetLength(&channel->head);
    request.body.data = HrBuffer_GetData(&channel->call.body);
    request.body.length_bytes = body_bytes;
    channel->busy = true;
    channel->conn = HrH1Target_SendRequest(channel->store, &request,
                                           handle_result, channel);
    /* If the call could not be sent, the timer ends it at once. */
    HrLoop_SetTimer(gateway->loop, channel->timer,
                    HrLoop_NowNs(gateway->loop) +
                        (channel->conn != NULL ? timeout_ns : 0));
}
