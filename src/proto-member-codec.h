#ifndef HR_PROTO_MEMBER_CODEC_H
#define HR_PROTO_MEMBER_CODEC_H

#include "coord-member.h"

/* Longest encoded message. A page of 64 members and the sender, all of maximum
 * size, take at most 19 KB. */
#define HR_MEMBER_MESSAGE_MAX_BYTES 24576

/* Encodes a message into *bytes, whose data is a talloc child of parent.
 * Returns 0, HR_ERR_TOO_LARGE (more than HR_MEMBER_PAGE_SIZE updates or
 * HR_MEMBER_MESSAGE_MAX_BYTES) or HR_ERR_NO_MEMORY, with err filled. */
int HrMemberMessage_Encode(const void *parent, const HrMemberMessage *message,
                           HrBytes *bytes, HrError *err);

/* Decodes a message and checks every field; its updates are a talloc child of
 * parent. Returns 0, HR_ERR_TOO_LARGE, HR_ERR_INVALID, HR_ERR_RANGE or
 * HR_ERR_NO_MEMORY, with err filled; on an error the content of message is
 * undefined. */
int HrMemberMessage_Decode(const void *parent, HrBytes bytes,
                           HrMemberMessage *message, HrError *err);

#endif
