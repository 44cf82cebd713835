#ifndef HR_PROTO_CLAIM_CODEC_H
#define HR_PROTO_CLAIM_CODEC_H

#include "coord-claim.h"

/* Ids and numbers take 130 bytes, the request id 73, the result 131. */
#define HR_CLAIM_MESSAGE_BYTES 512

/* Encodes a message; the bytes are a talloc child of parent. Returns 0 or an
 * error: HR_ERR_INVALID, HR_ERR_NO_MEMORY. */
int HrClaimCodec_Encode(const void *parent, const HrClaimMessage *message,
                        HrBytes *bytes, HrError *err);

/* Decodes a message. Returns 0 or an error: HR_ERR_TOO_LARGE, HR_ERR_INVALID,
 * HR_ERR_RANGE. */
int HrClaimCodec_Decode(HrBytes bytes, HrClaimMessage *message, HrError *err);

/* Copies a request id; returns 0, HR_ERR_INVALID (empty, or a byte that is
 * not printable ASCII) or HR_ERR_RANGE (too long). */
int HrClaimCodec_CopyRequestId(char *target, const char *text, HrError *err);

#endif
