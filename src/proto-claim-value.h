#ifndef HR_PROTO_CLAIM_VALUE_H
#define HR_PROTO_CLAIM_VALUE_H

#include "coord-claim-value.h"

/* Encodes the store value of a claim partition into *bytes, whose data is a
 * talloc child of parent. Returns 0, HR_ERR_TOO_LARGE (more than
 * HR_CLAIM_VALUE_BYTES) or HR_ERR_NO_MEMORY, with err filled. */
int HrClaimValue_Encode(const void *parent, const HrClaimValue *value,
                        HrBytes *bytes, HrError *err);

/* Decodes a store value and checks every field. *value is a talloc child of
 * parent, and its records are children of *value. Returns 0, HR_ERR_TOO_LARGE,
 * HR_ERR_INVALID, HR_ERR_RANGE or HR_ERR_NO_MEMORY, with err filled; on an
 * error *value is NULL. */
int HrClaimValue_Decode(const void *parent, HrBytes bytes,
                        HrClaimValue **value, HrError *err);

#endif
