#ifndef HR_COORD_CLAIM_VALUE_H
#define HR_COORD_CLAIM_VALUE_H

#include "coord-claim.h"

/* Creates a value without records as a talloc child of parent. Returns NULL
 * when out of memory. */
HrClaimValue *HrClaimValue_Create(const void *parent);

/* Copies a value and its records, all as talloc children of parent. Returns
 * NULL when out of memory. */
HrClaimValue *HrClaimValue_Copy(const void *parent, const HrClaimValue *value);

/* Copies a value but not its records: the copy points to those of the
 * original. Returns NULL when out of memory. */
HrClaimValue *HrClaimValue_CopySharingRecords(const void *parent,
                                              const HrClaimValue *value);

/* Frees a value, and its records except those that kept_value (may be NULL)
 * shares with it. */
void HrClaimValue_Free(HrClaimValue *value, const HrClaimValue *kept_value);

/* Returns the record of a request id, or NULL. It belongs to the value. */
const HrClaimRecord *HrClaimValue_Find(const HrClaimValue *value,
                                       const char *request_id);

/* Inserts a record, or replaces the one with the same request id without
 * freeing that one. The record must be allocated with talloc. Returns 0 or
 * HR_ERR_NO_MEMORY; replacing never fails. */
int HrClaimValue_Put(HrClaimValue *value, HrClaimRecord *record);

/* Removes the record of a request id from the value, if there is one, without
 * freeing it. */
void HrClaimValue_Remove(HrClaimValue *value, const char *request_id);

/* Removes the records that expired at least HR_CLAIM_RETENTION_MS ago, without
 * freeing them, and raises the watermark to the latest expiry among them.
 * Returns the number of removed records. */
uint32_t HrClaimValue_DropExpired(HrClaimValue *value, int64_t wall_ms);

/* Returns an upper bound of a record's encoded size in bytes. */
uint32_t HrClaimRecord_GetMaxEncodedSize(const HrClaimRecord *record);

/* Returns an upper bound of a value's encoded size in bytes, to compare with
 * HR_CLAIM_VALUE_BYTES. */
uint64_t HrClaimValue_GetMaxEncodedSize(const HrClaimValue *value);

/* Returns true if both ids name the same claim request of the same daemon and
 * incarnation. */
bool HrClaimHolderId_Equals(const HrClaimHolderId *left,
                            const HrClaimHolderId *right);

#endif
