#ifndef HR_PROTO_CLAIM_VALUE_H
#define HR_PROTO_CLAIM_VALUE_H

#include "coord-claim-value.h"

/* Encodes the store value of a claim partition; the bytes are a talloc child
 * of parent. Returns 0 or an error: HR_ERR_TOO_LARGE above
 * HR_CLAIM_VALUE_BYTES, HR_ERR_NO_MEMORY. */
int HrClaimValue_Encode(const void *parent, const HrClaimValue *value,
                        HrBytes *bytes, HrError *err);

/* Decodes a store value; it is a talloc child of parent, its records are
 * children of the value. Returns 0 or an error: HR_ERR_TOO_LARGE,
 * HR_ERR_INVALID, HR_ERR_RANGE, HR_ERR_NO_MEMORY. */
int HrClaimValue_Decode(const void *parent, HrBytes bytes,
                        HrClaimValue **value, HrError *err);

#endif
