#ifndef HR_PROTO_PEER_CODEC_H
#define HR_PROTO_PEER_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"
#include "state-index-map.h"

/* A time to the deadline outside of plus or minus this is malformed. */
#define HR_PEER_DEADLINE_LEFT_MAX_US (INT64_C(3600) * 1000000)

#define HR_PEER_PROTOCOL 1
#define HR_PEER_PREFIX_BYTES 4
#define HR_PEER_FRAME_MAX_BYTES 8388608u
#define HR_PEER_NONCE_BYTES 32
#define HR_PEER_MAC_BYTES 32

typedef enum HrPeerFrameKind {
    HR_PEER_HELLO,
    HR_PEER_PROOF,
    HR_PEER_SUB_BATCH,
    HR_PEER_SUB_ANSWER,
    HR_PEER_SUB_CANCEL,
    HR_PEER_MAP_PULL,
    HR_PEER_MAP_REPLY,
    HR_PEER_GROUP_REPORT,
    HR_PEER_HANDOVER,
    HR_PEER_PING,
    HR_PEER_PONG,
    HR_PEER_MEMBER, /* opaque: proto-member-codec */
    HR_PEER_CONFIG, /* opaque: proto-config-codec */
    HR_PEER_CLAIM,  /* opaque: proto-claim-codec */
    HR_PEER_CONTACT,
} HrPeerFrameKind;

typedef struct HrPeerHello {
    uint32_t protocol;
    const char *cluster;
    uint64_t daemon_id;
    HrBytes nonce;
} HrPeerHello;

/* Sub-requests that differ only in sub_id, group and shard. */
typedef struct HrPeerSubBatch {
    const HrSubRequest *requests;
    uint32_t request_count;
} HrPeerSubBatch;

typedef struct HrPeerSubCancel {
    HrQueryId query;
    const char *pool;
    const char *group;
    uint32_t sub_id;
    HrReason reason;
} HrPeerSubCancel;

typedef struct HrPeerMapPull {
    const char *pool;
    uint64_t known_revision;
} HrPeerMapPull;

typedef struct HrPeerMapReply {
    const char *pool;
    uint64_t revision;
    bool unchanged; /* the puller already holds this revision */
    const HrIndexMap *maps;
    uint32_t map_count;
} HrPeerMapReply;

typedef struct HrPeerGroupReport {
    const char *pool;
    const char *group;
    const HrGroupVersion *versions;
    uint32_t version_count;
} HrPeerGroupReport;

typedef struct HrPeerHandover {
    const char *pool;
    const char *group;
} HrPeerHandover;

/* Where operators reach a daemon. */
typedef struct HrPeerContact {
    bool ask; /* for the receiver's address; else it is the sender's */
    const char *operator_address;
} HrPeerContact;

/* One message between daemons. */
typedef struct HrPeerFrame {
    HrPeerFrameKind kind;
    union {
        HrPeerHello hello;
        HrBytes mac;
        HrPeerSubBatch sub_batch;
        HrSubAnswer sub_answer;
        HrPeerSubCancel sub_cancel;
        HrPeerMapPull map_pull;
        HrPeerMapReply map_reply;
        HrPeerGroupReport group_report;
        HrPeerHandover handover;
        uint64_t ping; /* of PING and PONG */
        HrBytes opaque;
        HrPeerContact contact;
    } u;
} HrPeerFrame;

/* Encodes a frame with its length prefix; *out is a talloc child of parent.
 * Deadlines are sent as the time left at now_ns. Returns 0, HR_ERR_NO_MEMORY
 * or HR_ERR_TOO_LARGE. */
int HrPeerFrame_Encode(const void *parent, const HrPeerFrame *frame,
                       int64_t now_ns, HrBytes *out);

/* Reads a length prefix. Returns 0, or HR_ERR_PROTOCOL when the length is 0
 * or above max_bytes. */
int HrPeerFrame_DecodeLength(const uint8_t prefix[HR_PEER_PREFIX_BYTES],
                             uint32_t max_bytes, uint32_t *length_bytes);

/* Decodes the bytes after the prefix into a talloc child of parent; NULL on
 * failure, with err filled. Memory is bounded by a multiple of the length. */
HrPeerFrame *HrPeerFrame_Decode(const void *parent, HrBytes bytes,
                                int64_t now_ns, HrError *err);

#endif
