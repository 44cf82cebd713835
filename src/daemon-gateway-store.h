#ifndef HR_DAEMON_GATEWAY_STORE_H
#define HR_DAEMON_GATEWAY_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon-gateway-state.h"
#include "platform-store.h"

/* Makes calls to the store, at most one at a time. */
typedef struct HrStoreCaller HrStoreCaller;

/* Receives the answer to a call. Status 0 means that there was no answer; the
 * store may have executed the call nevertheless. */
typedef void HrStoreAnswerFn(void *arg, int status, HrBytes body);

/* Creates a caller that is owned by the gateway; fn is called with arg at the
 * end of each call. Returns NULL when memory runs out. */
HrStoreCaller *HrStoreCaller_Create(HrGateway *gateway, HrH1Target *store,
                                    HrStoreAnswerFn *fn, void *arg);

/* Returns the call to fill in for HrStoreCaller_StartCall. */
HrStoreCall *HrStoreCaller_GetCall(HrStoreCaller *caller);

/* Returns true if a call is in progress. */
bool HrStoreCaller_IsBusy(const HrStoreCaller *caller);

/* Cancels the call in progress, if any; fn is not called. */
void HrStoreCaller_CancelCall(HrStoreCaller *caller);

/* Makes all later calls to the store avoid the connections that are idle now,
 * because they may have gone silent. */
void HrStoreCaller_AvoidIdleConnections(HrStoreCaller *caller);

/* Sends the call that was filled in. fn is always called later, never from
 * here, and with status 0 if there is no answer within timeout_ns. */
void HrStoreCaller_StartCall(HrStoreCaller *caller, int64_t timeout_ns);

#endif
