#ifndef HR_DAEMON_STORE_H
#define HR_DAEMON_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-store.h"
#include "state-settings.h"
#include "trans-loop.h"

/* Calls to the platform's store and VM list over HTTP. */
typedef struct HrStoreClient HrStoreClient;

/* One VM of the platform's list. */
typedef struct HrStoreVm {
    const char *address;
    bool leaving;
} HrStoreVm;

/* Receives the end of a call, never before the call returns. The reply is
 * valid during the callback. */
typedef void HrStoreReplyFn(void *arg, const HrStoreReply *reply);

/* Receives the VM list, valid during the callback; not called on failure. */
typedef void HrStoreVmsFn(void *arg, const HrStoreVm *vms, uint32_t count);

/* Creates a client; without an address every call fails. */
HrStoreClient *HrStoreClient_Create(const void *parent, HrLoop *loop,
                                    const HrSettings *settings);

/* Starts a read or a watch. */
void HrStoreClient_Read(HrStoreClient *client, const HrStoreRead *read,
                        HrStoreReplyFn *fn, void *arg);

/* Starts a compare-and-swap; one without a value ends as not done. */
void HrStoreClient_Write(HrStoreClient *client, const HrStoreWrite *write,
                         HrStoreReplyFn *fn, void *arg);

/* Reads the VM list. */
void HrStoreClient_ListVms(HrStoreClient *client, HrStoreVmsFn *fn, void *arg);

/* Returns whether the last call that ended was answered, and when one last
 * was (HR_TIME_NEVER: not yet). */
bool HrStoreClient_IsUp(const HrStoreClient *client, int64_t *answered_ns);

#endif
