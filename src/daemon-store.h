#ifndef HR_DAEMON_STORE_H
#define HR_DAEMON_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-store.h"
#include "state-settings.h"
#include "trans-loop.h"

/* Client of the platform's store and VM list, over HTTP. */
typedef struct HrStoreClient HrStoreClient;

/* A VM in the platform's VM list. */
typedef struct HrStoreVm {
    const char *address; /* an IP address, with or without a port */
    bool leaving;        /* the platform is going to remove the VM */
} HrStoreVm;

/* Receives the result of a read or write, never before the function that
 * started it has returned. The reply is valid during the callback. If memory
 * runs out at the start, the function is not called. */
typedef void HrStoreReplyFn(void *arg, const HrStoreReply *reply);

/* Receives the VM list, which is valid during the callback; not called on
 * failure. */
typedef void HrStoreVmsFn(void *arg, const HrStoreVm *vms, uint32_t count);

/* Creates a client, or returns NULL when out of memory. Without a store
 * address in the settings every call fails. */
HrStoreClient *HrStoreClient_Create(const void *parent, HrLoop *loop,
                                    const HrSettings *settings);

/* Starts a read or a watch of a key. fn receives the result. */
void HrStoreClient_ReadKey(HrStoreClient *client, const HrStoreRead *read,
                           HrStoreReplyFn *fn, void *arg);

/* Starts a compare-and-swap of a key. fn receives the result, which is
 * HR_STORE_NOT_DONE if the write has no value. */
void HrStoreClient_WriteKey(HrStoreClient *client, const HrStoreWrite *write,
                            HrStoreReplyFn *fn, void *arg);

/* Starts a read of the VM list. */
void HrStoreClient_ListVms(HrStoreClient *client, HrStoreVmsFn *fn, void *arg);

/* Returns true if the last read or write that ended was answered; one that the
 * rate limit of the store refused counts as not answered. Sets *answered_ns to
 * the time of the last answer, or to HR_TIME_NEVER before the first one. Reads
 * of the VM list do not count. */
bool HrStoreClient_IsUp(const HrStoreClient *client, int64_t *answered_ns);

#endif
