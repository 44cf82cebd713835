#ifndef HR_COORD_CLAIM_VALUE_H
#define HR_COORD_CLAIM_VALUE_H

#include "coord-claim.h"

/* Creates a value without records. */
HrClaimValue *HrClaimValue_Create(const void *parent);

/* Copies a value and its records. */
HrClaimValue *HrClaimValue_Copy(const void *parent, const HrClaimValue *value);

/* Copies a value that shares its records with the original. */
HrClaimValue *HrClaimValue_Share(const void *parent,
                                 const HrClaimValue *value);

/* Frees a value and those of its records that keep (which may be NULL) does
 * not share. */
void HrClaimValue_Free(HrClaimValue *value, const HrClaimValue *keep);

/* Returns the record of a request id, or NULL. */
const HrClaimRecord *HrClaimValue_Find(const HrClaimValue *value,
                                       const char *request_id);

/* Inserts a record or replaces the one with its id; the record must be
 * allocated with talloc. Returns 0 or HR_ERR_NO_MEMORY. */
int HrClaimValue_Put(HrClaimValue *value, HrClaimRecord *record);

/* Takes the record of a request id out of the value; does not free it. */
void HrClaimValue_Remove(HrClaimValue *value, const char *request_id);

/* Takes out the records that expired HR_CLAIM_KEEP_MS ago and raises the
 * watermark. Returns their number. */
uint32_t HrClaimValue_DropExpired(HrClaimValue *value, int64_t wall_ms);

/* Returns an upper bound of the encoded size of one record. */
uint32_t HrClaimRecord_SizeBound(const HrClaimRecord *record);

/* Returns an upper bound of the encoded size of a value. */
uint64_t HrClaimValue_SizeBound(const HrClaimValue *value);

/* Returns true if two holder ids are the same. */
bool HrClaimHolderId_Equals(const HrClaimHolderId *left,
                            const HrClaimHolderId *right);

#endif
