#ifndef HR_PROTO_CLAIM_CODEC_H
#define HR_PROTO_CLAIM_CODEC_H

#include "coord-claim.h"

/* Longest encoded message that is accepted. A message takes at most 130 bytes
 * for its ids and numbers, 73 for the request id and 131 for the result. */
#define HR_CLAIM_MESSAGE_MAX_BYTES 512

/* Encodes a message into *bytes, whose data is a talloc child of parent.
 * Returns 0, HR_ERR_INVALID (a negative expiry or a result of more than
 * HR_CLAIM_RESULT_BYTES) or HR_ERR_NO_MEMORY, with err filled. */
int HrClaimMessage_Encode(const void *parent, const HrClaimMessage *message,
                          HrBytes *bytes, HrError *err);

/* Decodes a message and checks every field. Returns 0, HR_ERR_TOO_LARGE,
 * HR_ERR_INVALID or HR_ERR_RANGE, with err filled; on an error the content of
 * message is undefined. */
int HrClaimMessage_Decode(HrBytes bytes, HrClaimMessage *message,
                          HrError *err);

/* Copies a request id to target, which has HR_REQUEST_ID_BYTES. Returns 0,
 * HR_ERR_INVALID (the id is empty or has a byte that is not printable ASCII)
 * or HR_ERR_RANGE (the id is too long), with err filled. */
int HrClaimMessage_CopyRequestId(char *target, const char *text, HrError *err);

#endif
