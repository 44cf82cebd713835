#ifndef HR_DAEMON_GATEWAY_STORE_H
#define HR_DAEMON_GATEWAY_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon-gateway-state.h"
#include "platform-store.h"

/* One caller of the store, with at most one call under way. */
typedef struct HrStoreCaller HrStoreCaller;

/* Receives the end of a call; status 0: no answer, the call may have been
 * executed. */
typedef void HrStoreAnswerFn(void *arg, int status, HrBytes body);

/* Creates a caller. */
HrStoreCaller *HrStoreCaller_Create(HrGateway *gateway, HrH1Target *store,
                                    HrStoreAnswerFn *fn, void *arg);

/* Returns the call to fill in for HrStoreCaller_Start. */
HrStoreCall *HrStoreCaller_Call(HrStoreCaller *caller);

/* Returns true if a call is under way. */
bool HrStoreCaller_IsBusy(const HrStoreCaller *caller);

/* Gives up the call that is under way; fn is not called. */
void HrStoreCaller_Cancel(HrStoreCaller *caller);

/* Makes later calls use new connections: those that are idle now may have gone
 * silent. */
void HrStoreCaller_DoubtIdle(HrStoreCaller *caller);

/* Makes the call that was filled in; fn is called later. */
void HrStoreCaller_Start(HrStoreCaller *caller, int64_t timeout_ns);

#endif
