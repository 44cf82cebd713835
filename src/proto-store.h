#ifndef HR_PROTO_STORE_H
#define HR_PROTO_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "coord-store.h"
#include "coord-types.h"

/* The adapter of the platform's key-value store and VM list: the only file
 * that knows their HTTP form. */

#define HR_VM_LIST_MAX 4096
/* A VM takes about 60 bytes in the reply. */
#define HR_VM_LIST_MAX_BYTES ((size_t)1024 * 1024)

/* An HTTP request to the platform. */
typedef struct HrStoreHttpRequest {
    const char *method; /* "GET", "PUT" or "POST" */
    const char *target; /* path and query */
    HrBytes body;
    uint32_t timeout_ms;
} HrStoreHttpRequest;

/* How an HTTP exchange ended, as the HTTP client reports it. */
typedef struct HrStoreHttpReply {
    bool sent;            /* false: surely not sent, e.g. connection refused */
    uint32_t status;      /* 0: no complete reply */
    const char *revision; /* value of X-Revision; NULL without one */
    HrBytes body;
} HrStoreHttpReply;

typedef enum HrLeaseResult {
    HR_LEASE_GRANTED,
    HR_LEASE_HELD, /* by another owner */
    HR_LEASE_NOT_DONE,
    HR_LEASE_LOST, /* it may or may not have been granted */
} HrLeaseResult;

/* One entry of the platform's VM list. */
typedef struct HrPlatformVm {
    const char *address; /* numeric IP address */
    bool leaving;
} HrPlatformVm;

typedef struct HrVmList {
    HrPlatformVm *vms;
    uint32_t vm_count;
} HrVmList;

/* Each of these builds a request whose strings belong to parent. The value of
 * a write is not copied. Returns 0, HR_ERR_INVALID or HR_ERR_NO_MEMORY. */
int HrStoreHttp_Read(const void *parent, const HrStoreRead *read,
                     HrStoreHttpRequest *request);
int HrStoreHttp_Write(const void *parent, const HrStoreWrite *write,
                      HrStoreHttpRequest *request);
int HrStoreHttp_Lease(const void *parent, const char *name, const char *owner,
                      uint32_t ttl_ms, uint32_t timeout_ms,
                      HrStoreHttpRequest *request);
int HrStoreHttp_Vms(uint32_t timeout_ms, HrStoreHttpRequest *request);

/* Interprets the end of a read or watch. The value points into http. */
HrStoreReply HrStoreHttp_ReadReply(const HrStoreRead *read,
                                   const HrStoreHttpReply *http);

/* Interprets the end of a write. Only what proves that nothing was stored
 * counts as not done. */
HrStoreReply HrStoreHttp_WriteReply(const HrStoreWrite *write,
                                    const HrStoreHttpReply *http);

/* Interprets the end of a lease request. */
HrLeaseResult HrStoreHttp_LeaseReply(const HrStoreHttpReply *http);

/* Reads the VM list, which belongs to parent. Returns NULL and fills err for
 * a failed exchange or a malformed list. */
HrVmList *HrStoreHttp_VmsReply(const void *parent,
                               const HrStoreHttpReply *http, HrError *err);

#endif
