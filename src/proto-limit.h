#ifndef HR_PROTO_LIMIT_H
#define HR_PROTO_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coord-limit.h"
#include "coord-types.h"

/* Maximum length of an encoded message about shared limits: one with all
 * lists, takes and grants takes 1.4 KB. */
#define HR_LIMIT_MAX_BYTES 2048

/* Returns true if a datagram is a message about shared limits, which may be
 * malformed, and not a hello. */
bool HrLimitMessage_IsLimit(const void *data, size_t length);

/* Encodes a message. The bytes are a talloc child of parent. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrLimitMessage_Encode(const void *parent, const HrLimitMessage *message,
                          HrBytes *bytes);

/* Decodes a message. Returns HR_ERR_INVALID if it is malformed or a field is
 * out of range. */
int HrLimitMessage_Decode(HrLimitMessage *message, const void *data,
                          size_t length);

#endif
