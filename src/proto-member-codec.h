#ifndef HR_PROTO_MEMBER_CODEC_H
#define HR_PROTO_MEMBER_CODEC_H

#include "coord-member.h"

/* A page of 64 members, and the sender, at their largest take 19 KB. */
#define HR_MEMBER_MESSAGE_BYTES 24576

/* Encodes a message; the bytes are a talloc child of parent. Returns 0 or an
 * error: HR_ERR_TOO_LARGE, HR_ERR_NO_MEMORY. */
int HrMemberCodec_Encode(const void *parent, const HrMemberMessage *message,
                         HrBytes *bytes, HrError *err);

/* Decodes a message; its updates are a talloc child of parent. Returns 0 or
 * an error: HR_ERR_TOO_LARGE, HR_ERR_INVALID, HR_ERR_RANGE,
 * HR_ERR_NO_MEMORY. */
int HrMemberCodec_Decode(const void *parent, HrBytes bytes,
                         HrMemberMessage *message, HrError *err);

#endif
