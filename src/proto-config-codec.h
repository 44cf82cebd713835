#ifndef HR_PROTO_CONFIG_CODEC_H
#define HR_PROTO_CONFIG_CODEC_H

#include "base-error.h"
#include "coord-config.h"
#include "coord-types.h"

/* Longest encoded message. All rows of the largest tables take less than
 * 2 MB. */
#define HR_CONFIG_MESSAGE_MAX_BYTES ((size_t)4 * 1024 * 1024)

/* Encodes a message into *bytes, whose data is a talloc child of parent.
 * Returns 0, HR_ERR_TOO_LARGE (more than HR_CONFIG_MESSAGE_MAX_BYTES),
 * HR_ERR_NO_MEMORY or HR_ERR_INVALID (an undefined type). */
int HrConfigMessage_Encode(const void *parent, const HrConfigMessage *message,
                           HrBytes *bytes);

/* Decodes a message into a talloc child of parent and checks the fields of
 * every row. The memory used is limited, whatever the input. On an error
 * returns NULL and fills err. */
HrConfigMessage *HrConfigMessage_Decode(const void *parent, HrBytes bytes,
                                        HrError *err);

#endif
