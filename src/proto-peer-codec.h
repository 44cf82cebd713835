#ifndef HR_PROTO_PEER_CODEC_H
#define HR_PROTO_PEER_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"
#include "state-index-map.h"

/* Largest absolute value of the time left to a deadline, which is negative
 * after the deadline. A batch with a larger one is malformed. */
#define HR_PEER_DEADLINE_LEFT_MAX_US (INT64_C(3600) * 1000000)

#define HR_PEER_PROTOCOL_VERSION 1
#define HR_PEER_PREFIX_BYTES 4           /* the length, big-endian */
#define HR_PEER_FRAME_MAX_BYTES 8388608u /* without the prefix */
#define HR_PEER_NONCE_BYTES 32
#define HR_PEER_MAC_BYTES 32

/* The member of HrPeerFrame.u of each kind has the same name, unless noted. */
typedef enum HrPeerFrameKind {
    HR_PEER_HELLO,
    HR_PEER_PROOF, /* mac */
    HR_PEER_SUB_BATCH,
    HR_PEER_SUB_ANSWER,
    HR_PEER_SUB_CANCEL,
    HR_PEER_MAP_PULL,
    HR_PEER_MAP_REPLY,
    HR_PEER_GROUP_REPORT,
    HR_PEER_HANDOVER,
    HR_PEER_PING,
    HR_PEER_PONG,   /* ping */
    HR_PEER_MEMBER, /* opaque: see proto-member-codec.h */
    HR_PEER_CONFIG, /* opaque: see proto-config-codec.h */
    HR_PEER_CLAIM,  /* opaque: see proto-claim-codec.h */
    HR_PEER_CONTACT,
} HrPeerFrameKind;

/* The first frame that each side of a link sends. */
typedef struct HrPeerHello {
    uint32_t protocol; /* HR_PEER_PROTOCOL_VERSION of the sender */
    const char *cluster;
    uint64_t daemon_id;
    HrBytes nonce; /* HR_PEER_NONCE_BYTES */
} HrPeerHello;

/* One or more sub-requests of one query that differ only in sub_id, group and
 * shard. */
typedef struct HrPeerSubBatch {
    const HrSubRequest *requests;
    uint32_t request_count;
} HrPeerSubBatch;

/* Cancels one sub-request. */
typedef struct HrPeerSubCancel {
    HrQueryId query;
    const char *pool;
    const char *group;
    uint32_t sub_id;
    HrReason reason;
} HrPeerSubCancel;

/* Requests the index maps of a pool. */
typedef struct HrPeerMapPull {
    const char *pool;
    uint64_t known_revision; /* of the maps that the sender holds */
} HrPeerMapPull;

/* The answer to a map pull: all index maps of a pool, or none if unchanged. */
typedef struct HrPeerMapReply {
    const char *pool;
    uint64_t revision;
    bool unchanged; /* the sender of the pull already holds this revision */
    const HrIndexMap *maps;
    uint32_t map_count;
} HrPeerMapReply;

/* The index versions that the servers of a group hold. */
typedef struct HrPeerGroupReport {
    const char *pool;
    const char *group;
    const HrGroupVersion *versions;
    uint32_t version_count;
} HrPeerGroupReport;

/* Announces that the sender no longer schedules a group. */
typedef struct HrPeerHandover {
    const char *pool;
    const char *group;
} HrPeerHandover;

/* Announces the address at which operators reach the sender. */
typedef struct HrPeerContact {
    bool ask; /* the receiver must reply with its own contact frame */
    const char *operator_address; /* of the sender */
} HrPeerContact;

/* One message between daemons. Pointers of a decoded frame belong to it. */
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
        uint64_t ping; /* PING: any number; PONG: that of the PING */
        HrBytes opaque;
        HrPeerContact contact;
    } u;
} HrPeerFrame;

/* Encodes a frame with its length prefix into *out, whose data is a talloc
 * child of parent. Deadlines are sent as the time left at now_ns, limited to
 * plus or minus HR_PEER_DEADLINE_LEFT_MAX_US. Returns 0, HR_ERR_NO_MEMORY,
 * HR_ERR_TOO_LARGE (more than HR_PEER_FRAME_MAX_BYTES) or HR_ERR_INVALID (an
 * undefined kind). */
int HrPeerFrame_Encode(const void *parent, const HrPeerFrame *frame,
                       int64_t now_ns, HrBytes *out);

/* Decodes a length prefix. Returns 0, or HR_ERR_PROTOCOL if the length is 0 or
 * more than max_bytes. */
int HrPeerFrame_DecodeLength(const uint8_t prefix[HR_PEER_PREFIX_BYTES],
                             uint32_t max_bytes, uint32_t *length_bytes);

/* Decodes and checks the bytes after the prefix. Returns a frame that is a
 * talloc child of parent, with deadlines that are now_ns plus the time left.
 * If the bytes are malformed, need too much memory or memory runs out, returns
 * NULL and fills err. protobuf-c may allocate a multiple of the length plus a
 * constant, but at most 64 MB. */
HrPeerFrame *HrPeerFrame_Decode(const void *parent, HrBytes bytes,
                                int64_t now_ns, HrError *err);

#endif
