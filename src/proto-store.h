#ifndef HR_PROTO_STORE_H
#define HR_PROTO_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "coord-store.h"
#include "coord-types.h"

/* Codec of the platform's key-value store and VM list. No other file depends
 * on their HTTP format. */

#define HR_VM_LIST_MAX_VMS 4096
/* A VM occupies about 60 bytes in the reply. */
#define HR_VM_LIST_MAX_BYTES ((size_t)1024 * 1024)

/* An HTTP request to the platform. */
typedef struct HrStoreHttpRequest {
    const char *method; /* "GET", "PUT" or "POST" */
    const char *target; /* path and query string */
    HrBytes body;
    uint32_t timeout_ms;
} HrStoreHttpRequest;

/* How an HTTP exchange ended, as the HTTP client reports it. */
typedef struct HrStoreHttpReply {
    bool sent;       /* false: certainly not sent, e.g. connection refused */
    uint32_t status; /* 0: no complete reply */
    const char *revision; /* value of X-Revision; NULL without one */
    HrBytes body;
} HrStoreHttpReply;

/* How a lease request ended. */
typedef enum HrLeaseResult {
    HR_LEASE_GRANTED,
    HR_LEASE_HELD,     /* by another owner */
    HR_LEASE_NOT_DONE, /* had no effect: never sent, or rate limited */
    HR_LEASE_UNKNOWN,  /* it may or may not have been granted */
} HrLeaseResult;

/* One entry of the platform's VM list. */
typedef struct HrVmListEntry {
    const char *address; /* numeric IP address */
    bool leaving;        /* state "leaving", not "live" */
} HrVmListEntry;

/* The platform's VM list. */
typedef struct HrVmList {
    HrVmListEntry *vms;
    uint32_t vm_count;
} HrVmList;

/* Each of these fills a request whose target is a talloc child of parent; the
 * target of the VM list is static. Returns 0, HR_ERR_INVALID if the target is
 * too long, or HR_ERR_NO_MEMORY. The value of a write is not copied. */
int HrStoreHttp_PrepareRead(const void *parent, const HrStoreRead *read,
                            HrStoreHttpRequest *request);
int HrStoreHttp_PrepareWrite(const void *parent, const HrStoreWrite *write,
                             HrStoreHttpRequest *request);
int HrStoreHttp_PrepareLease(const void *parent, const char *name,
                             const char *owner, uint32_t ttl_ms,
                             uint32_t timeout_ms, HrStoreHttpRequest *request);
int HrStoreHttp_PrepareVmList(uint32_t timeout_ms,
                              HrStoreHttpRequest *request);

/* Returns the result of a read or watch. The value points into http. A read
 * that was not sent is reported as HR_STORE_LOST; one that the rate limit
 * refused, as HR_STORE_NOT_DONE. */
HrStoreReply HrStoreHttp_DecodeReadReply(const HrStoreRead *read,
                                         const HrStoreHttpReply *http);

/* Returns the result of a write. It is HR_STORE_NOT_DONE only if nothing can
 * have been stored: the request was not sent, or refused by the rate limit. */
HrStoreReply HrStoreHttp_DecodeWriteReply(const HrStoreWrite *write,
                                          const HrStoreHttpReply *http);

/* Returns the result of a lease request. */
HrLeaseResult HrStoreHttp_DecodeLeaseReply(const HrStoreHttpReply *http);

/* Returns the VM list as a talloc child of parent. Returns NULL and fills err,
 * which may be NULL: HR_ERR_UNAVAILABLE for a failed exchange or a body above
 * HR_VM_LIST_MAX_BYTES, HR_ERR_PROTOCOL for a malformed list, or
 * HR_ERR_NO_MEMORY. */
HrVmList *HrStoreHttp_DecodeVmList(const void *parent,
                                   const HrStoreHttpReply *http, HrError *err);

#endif
