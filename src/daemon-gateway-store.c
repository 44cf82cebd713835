#include "daemon-gateway-store.h"

#include <talloc.h>

struct HrStoreCaller {
    HrGateway *gateway;
    HrH1Target *store;
    HrStoreCall call;
    HrBuffer head;
    HrH1ClientConn *send; /* NULL: no request is in progress */
    bool busy;            /* fn is still to be called */
    HrLoopTimer *timer;
    HrStoreAnswerFn *fn;
    void *arg;
};

/* Returns how long a connection to the store may have been idle to be reused.
 * A failure that silently cut off one connection may have cut off all that
 * were open at that time. */
static int64_t
max_idle_ns(const HrGateway *gateway)
{
    return gateway->store_avoid_idle_ns > 0
               ? HrLoop_NowNs(gateway->loop) - gateway->store_avoid_idle_ns
               : HR_TIME_NEVER;
}

void
HrStoreCaller_AvoidIdleConnections(HrStoreCaller *caller)
{
    caller->gateway->store_avoid_idle_ns = HrLoop_NowNs(caller->gateway->loop);
}

/* Ends a call that was not answered in time. */
static void
handle_timeout(void *arg)
{
    HrStoreCaller *caller = arg;

    HrStoreCaller_AvoidIdleConnections(caller);
    if (caller->send != NULL) {
        HrH1ClientConn_AbandonRequest(caller->send, 0);
        caller->send = NULL;
    }
    caller->busy = false;
    caller->fn(caller->arg, 0, (HrBytes){0});
}

/* Passes on the store's answer, or status 0 if the connection failed. */
static void
handle_result(void *arg, const HrH1Result *result)
{
    HrStoreCaller *caller = arg;

    caller->send = NULL;
    caller->busy = false;
    HrLoop_SetTimer(caller->gateway->loop, caller->timer, HR_TIME_NEVER);
    caller->fn(caller->arg,
               result->outcome == HR_H1_ANSWERED ? result->status : 0,
               result->body);
}

HrStoreCaller *
HrStoreCaller_Create(HrGateway *gateway, HrH1Target *store,
                     HrStoreAnswerFn *fn, void *arg)
{
    HrStoreCaller *caller = talloc_zero(gateway, HrStoreCaller);

    if (caller == NULL) {
        return NULL;
    }
    caller->gateway = gateway;
    caller->store = store;
    caller->fn = fn;
    caller->arg = arg;
    HrBuffer_Init(&caller->call.body, caller);
    HrBuffer_Init(&caller->head, caller);
    caller->timer = HrLoop_AddTimer(gateway->loop, handle_timeout, caller);
    if (caller->timer == NULL) {
        talloc_free(caller);
        return NULL;
    }
    return caller;
}

HrStoreCall *
HrStoreCaller_GetCall(HrStoreCaller *caller)
{
    return &caller->call;
}

bool
HrStoreCaller_IsBusy(const HrStoreCaller *caller)
{
    return caller->busy;
}

void
HrStoreCaller_CancelCall(HrStoreCaller *caller)
{
    if (caller->send != NULL) {
        HrH1ClientConn_AbandonRequest(caller->send, 0);
        caller->send = NULL;
    }
    caller->busy = false;
    HrLoop_SetTimer(caller->gateway->loop, caller->timer, HR_TIME_NEVER);
}

void
HrStoreCaller_StartCall(HrStoreCaller *caller, int64_t timeout_ns)
{
    HrGateway *gateway = caller->gateway;
    size_t body_bytes = HrBuffer_GetLength(&caller->call.body);
    HrH1Request request = {.max_idle_ns = max_idle_ns(gateway)};

    HrBuffer_Truncate(&caller->head, 0);
    HrBuffer_AppendFormat(&caller->head, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                          caller->call.method, caller->call.target,
                          gateway->settings->store_address);
    if (body_bytes > 0) {
        HrBuffer_AppendFormat(&caller->head,
                              "Content-Type: application/json\r\n"
                              "Content-Length: %zu\r\n",
                              body_bytes);
    }
    HrBuffer_AppendFormat(&caller->head, "\r\n");
    request.head.data = HrBuffer_GetData(&caller->head);
    request.head.length_bytes = HrBuffer_GetLength(&caller->head);
    request.body.data = HrBuffer_GetData(&caller->call.body);
    request.body.length_bytes = body_bytes;
    caller->busy = true;
    caller->send =
        HrH1Target_SendRequest(caller->store, &request, handle_result, caller);
    /* If the call could not be sent, the timer ends it at once. */
    HrLoop_SetTimer(gateway->loop, caller->timer,
                    HrLoop_NowNs(gateway->loop) +
                        (caller->send != NULL ? timeout_ns : 0));
}
