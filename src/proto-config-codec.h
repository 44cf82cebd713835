#ifndef HR_PROTO_CONFIG_CODEC_H
#define HR_PROTO_CONFIG_CODEC_H

#include "base-error.h"
#include "coord-config.h"
#include "coord-types.h"

/* All rows of the largest tables take less than 2 MB. */
#define HR_CONFIG_MESSAGE_MAX_BYTES ((size_t)4 * 1024 * 1024)

/* Turns a message into bytes that belong to parent. Returns 0,
 * HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
int HrConfigMessage_Encode(const void *parent, const HrConfigMessage *message,
                           HrBytes *bytes);

/* Reads a message that belongs to parent and checks every row. Memory is
 * bounded whatever the bytes are. Returns NULL and fills err for bad input. */
HrConfigMessage *HrConfigMessage_Decode(const void *parent, HrBytes bytes,
                                        HrError *err);

#endif
