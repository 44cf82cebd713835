#ifndef HR_PROTO_VM_LIST_H
#define HR_PROTO_VM_LIST_H

#include <stddef.h>
#include <stdint.h>

#include "coord-vm-set.h"

/* The list of gateways as one gateway sends it to another. It names those in
 * the sender's list of the store and those from which it has had a hello of
 * late, which may have started since. */
typedef struct HrVmList HrVmList;

/* Encodes the gateways of a set and self, the record of this daemon, as JSON
 * text; release it with free(). age_ns is the time since the list of the store
 * was read, and era that of the store. Returns NULL when out of memory. */
char *HrVmList_Encode(const HrVmSet *set, const HrVmRecord *self,
                      int64_t age_ns, uint64_t era, int64_t now_ns);

/* Parses a list. Rows that are malformed are left out. Returns a talloc child
 * of parent, or NULL if the list itself is malformed or memory runs out. */
HrVmList *HrVmList_Parse(const void *parent, const void *data, size_t length);

/* Return the age of the list at the time it was sent, and the era of the store
 * from which it is, 0 if not known. */
int64_t HrVmList_GetAgeNs(const HrVmList *list);
uint64_t HrVmList_GetEra(const HrVmList *list);

/* Applies a list to a set of gateways, as a complete list of the store. */
void HrVmList_Apply(const HrVmList *list, HrVmSet *set, int64_t now_ns);

#endif
