#ifndef HR_DAEMON_STORE_H
#define HR_DAEMON_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"
#include "state-settings.h"
#include "trans-loop.h"

/* Calls to the platform's store and VM list over HTTP. Several modules use it,
 * each with types of its own for the result, so it has neutral ones. */
typedef struct HrStoreClient HrStoreClient;

typedef enum HrStoreEndKind {
    HR_STORE_END_VALUE,    /* read: the value; write: it was stored */
    HR_STORE_END_ABSENT,   /* read: there is no such key */
    HR_STORE_END_SAME,     /* watch: unchanged for the whole wait */
    HR_STORE_END_MISMATCH, /* write: not stored, the revision differs */
    HR_STORE_END_NOT_DONE, /* surely not stored */
    HR_STORE_END_LOST,     /* a write may have been stored */
} HrStoreEndKind;

/* How a call ended. */
typedef struct HrStoreEnd {
    HrStoreEndKind kind;
    uint64_t revision;
    HrBytes value; /* valid during the callback */
} HrStoreEnd;

typedef struct HrStoreGet {
    const char *key;
    bool watch;
    uint64_t watch_revision;
    uint32_t wait_ms;
    uint32_t timeout_ms;
} HrStoreGet;

typedef struct HrStorePut {
    const char *key;
    uint64_t expected_revision;
    HrBytes value;
    uint32_t timeout_ms;
} HrStorePut;

/* One VM of the platform's list. */
typedef struct HrStoreVm {
    const char *address;
    bool leaving;
} HrStoreVm;

/* Receives the end of a call, never before the call returns. */
typedef void HrStoreEndFn(void *arg, uint64_t number, const HrStoreEnd *end);

/* Receives the VM list, valid during the callback; not called on failure. */
typedef void HrStoreVmsFn(void *arg, const HrStoreVm *vms, uint32_t count);

/* Creates a client; without an address every call fails. */
HrStoreClient *HrStoreClient_Create(const void *parent, HrLoop *loop,
                                    const HrSettings *settings);

/* Each of these starts a call; number is repeated in the callback. A write
 * without a value ends as not done. */
void HrStoreClient_Get(HrStoreClient *client, const HrStoreGet *get,
                       uint64_t number, HrStoreEndFn *fn, void *arg);
void HrStoreClient_Put(HrStoreClient *client, const HrStorePut *put,
                       uint64_t number, HrStoreEndFn *fn, void *arg);

/* Reads the VM list. */
void HrStoreClient_ListVms(HrStoreClient *client, HrStoreVmsFn *fn, void *arg);

/* Returns whether the last call that ended was answered, and when one last
 * was (HR_TIME_NEVER: not yet). */
bool HrStoreClient_IsUp(const HrStoreClient *client, int64_t *answered_ns);

#endif
