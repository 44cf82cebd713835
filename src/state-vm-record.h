#ifndef HR_STATE_VM_RECORD_H
#define HR_STATE_VM_RECORD_H

#include <stddef.h>
#include <stdint.h>

#include "base-error.h"

#define HR_VM_NAME_BYTES 96
#define HR_VM_ADDRESS_BYTES 56

/* The identity and addresses of a gateway, as it publishes them in the store
 * and in its messages to the other gateways. */
typedef struct HrVmRecord {
    char name[HR_VM_NAME_BYTES];
    char caller_address[HR_VM_ADDRESS_BYTES]; /* where callers connect */
    char peer_address[HR_VM_ADDRESS_BYTES]; /* for datagrams between daemons */
    char control_address[HR_VM_ADDRESS_BYTES]; /* for HTTP requests between
                                                  daemons */
    char data_centre[HR_VM_NAME_BYTES];
    char region[HR_VM_NAME_BYTES];
    uint64_t incarnation; /* wall clock time of the process start, in ns */
    uint32_t capacity;    /* CPU, in thousandths of a core */
    uint64_t store_era;   /* era of the store in which the record was written;
                             0: not stated */
} HrVmRecord;

/* Returns a record as JSON text, a talloc child of parent; NULL if memory runs
 * out. */
char *HrVmRecord_Encode(const void *parent, const HrVmRecord *record);

/* Parses JSON text of HrVmRecord_Encode; returns 0 or HR_ERR_INVALID. All
 * fields are required, and the addresses have to be numeric with a port. */
int HrVmRecord_Decode(HrVmRecord *record, const void *data, size_t length);

#endif
