#ifndef HR_DAEMON_GATEWAY_STORE_H
#define HR_DAEMON_GATEWAY_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon-gateway-state.h"
#include "platform-store.h"

/* A channel for calls to the store. At most one call is in progress on it. */
typedef struct HrStoreChannel HrStoreChannel;

/* Called with the HTTP status, the body and the era (see coord-store-era.h) of
 * the answer to a call. Status 0 means that there was no answer; the store may
 * have executed the call nevertheless. */
typedef void HrStoreAnswerFn(void *arg, int status, HrBytes body,
                             uint64_t era);

/* Creates a channel, as a talloc child of the gateway. fn is called with arg
 * at the end of each call. Returns NULL when out of memory. */
HrStoreChannel *HrStoreChannel_Create(HrGateway *gateway, HrH1Target *store,
                                      HrStoreAnswerFn *fn, void *arg);

/* Returns the call that HrStoreChannel_StartCall sends; fill it in with one of
 * the HrStoreCall_Prepare functions. */
HrStoreCall *HrStoreChannel_GetCall(HrStoreChannel *channel);

/* Returns true if a call is in progress. */
bool HrStoreChannel_IsBusy(const HrStoreChannel *channel);

/* Cancels the call in progress, if any; fn is not called. */
void HrStoreChannel_CancelCall(HrStoreChannel *channel);

/* Makes all later calls to the store, on any channel, avoid the connections
 * that are idle now, because their other end may be silent. */
void HrStoreChannel_AvoidIdleConnections(HrStoreChannel *channel);

/* Time limits of a call. */
typedef struct HrStoreTimeouts {
    /* While a repeatable call is not answered, it is repeated on a new
     * connection after each such time, a few times; or at once if a connection
     * fails that had been open before. Connections may go silent while new
     * ones work, also a connection that is new itself. 0: never. */
    int64_t repeat_ns;
    /* The call fails if it is not answered within this time after it is first
     * repeated, or sent if it is never repeated. */
    int64_t timeout_ns;
} HrStoreTimeouts;

/* Sends the call that was filled in. fn is called after this function has
 * returned, with status 0 if the call cannot be sent or is not answered in
 * time. It is not called if the call is cancelled before. */
void HrStoreChannel_StartCall(HrStoreChannel *channel,
                              const HrStoreTimeouts *timeouts);

#endif
