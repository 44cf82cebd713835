#ifndef HR_TRANS_PEER_LINK_H
#define HR_TRANS_PEER_LINK_H

/* A link to another daemon. Used by trans-peer only. */

#include <bsd/sys/queue.h>
#include <uthash.h>

#include "proto-peer-codec.h"
#include "trans-peer-stall.h"
#include "trans-peer.h"

/* Limit of the length of a frame until the handshake is complete. */
#define HR_PEER_HANDSHAKE_MAX_BYTES 1024

typedef enum HrPeerLinkState {
    HR_PEER_LINK_CONNECTING,
    HR_PEER_LINK_HELLO, /* waits for the hello of the other side */
    HR_PEER_LINK_PROOF, /* waits for the proof of the other side */
    HR_PEER_LINK_READY,
    HR_PEER_LINK_CLOSED,
} HrPeerLinkState;

/* An encoded frame in a send queue. */
typedef struct HrPeerQueuedFrame {
    STAILQ_ENTRY(HrPeerQueuedFrame) entry;
    HrBytes bytes;
    size_t written_bytes;
    uint64_t tag; /* identifies the frame in an UNSENT event; 0: no event */
} HrPeerQueuedFrame;

STAILQ_HEAD(HrPeerQueue, HrPeerQueuedFrame);

typedef struct HrPeerLink HrPeerLink;

/* The network path to an address: the delay measured on all links to it, and
 * the number of open ones. It remains after the links are closed. */
typedef struct HrPeerPath {
    UT_hash_handle hh;
    char address[HR_ADDRESS_BYTES];
    uint32_t link_count; /* number of open links to the address */
    HrPeerDelay delay;
} HrPeerPath;

/* What a link uses of the node that owns it: the loop, the configuration and
 * two callbacks. */
typedef struct HrPeerLinkOwner {
    HrLoop *loop;
    const HrPeerNodeConfig *config;
    /* Called with each frame for the layer above; the owner frees it. */
    void (*on_frame)(void *arg, HrPeerLink *link, HrPeerFrame *frame);
    /* Called when the link is closed. The owner must free it, but not during
     * the call. */
    void (*on_closed)(void *arg, HrPeerLink *link, int error);
    void *arg;
} HrPeerLinkOwner;

struct HrPeerLink {
    UT_hash_handle by_number;
    UT_hash_handle by_address;
    TAILQ_ENTRY(HrPeerLink) closed_entry;
    const HrPeerLinkOwner *owner;
    uint64_t number;
    bool outbound;
    bool current; /* new frames to the address use this link */
    bool stalled;
    HrPeerPath *path; /* NULL: the link was accepted, or memory ran out */
    char address[HR_ADDRESS_BYTES];
    HrPeerLinkState state;
    int fd;
    HrLoopFd *watch;
    HrLoopTimer *timer;
    HrLoopTimer *flush_timer;
    bool flush_armed; /* a write of the queues is scheduled */
    bool blocked;     /* the socket buffer was full at the last write */
    int64_t opened_ns;
    int64_t last_frame_ns; /* when the last frame of the layer above was queued
                              or received */
    int64_t last_received_ns; /* when the last byte was received */
    int64_t ping_sent_ns;
    bool ping_pending; /* no byte was received since the ping was sent */
    bool sent_since_received;
    bool answer_due; /* a frame with a tag, which needs an answer, was queued
                        since the last byte was received */
    int64_t answer_due_since_ns; /* when the first such frame was queued */
    uint32_t pong_count; /* pongs received since the last frame of the layer
                            above was received, or since answer_due was set */
    int64_t timer_at_ns;
    uint64_t peer_id; /* authenticated once the link is ready */
    uint8_t own_nonce[HR_PEER_NONCE_BYTES];
    uint8_t peer_nonce[HR_PEER_NONCE_BYTES];
    struct HrPeerQueue frame_queue;   /* frames of the layer above */
    struct HrPeerQueue control_queue; /* hello, proof, ping and pong */
    size_t queued_bytes;
    uint8_t prefix[HR_PEER_PREFIX_BYTES];
    uint8_t *body;
    uint32_t body_bytes;
    uint32_t received_bytes; /* of the current frame, with its prefix */
};

/* Creates a link on a connecting (outbound) or accepted socket, and takes
 * ownership of the socket. Returns NULL if memory runs out; the socket is then
 * closed. */
HrPeerLink *HrPeerLink_Create(const void *parent, const HrPeerLinkOwner *owner,
                              int fd, bool outbound);

/* Queues an encoded frame, and takes ownership of its bytes on success. If tag
 * is not 0, the other side must answer the frame, and an UNSENT event with the
 * tag is reported if the link is closed before a byte of the frame is written.
 * Returns HR_OK, HR_ERR_FULL or HR_ERR_NO_MEMORY. */
int HrPeerLink_QueueFrame(HrPeerLink *link, HrBytes bytes, uint64_t tag);

/* Queues a ping, and starts to wait for its pong. */
void HrPeerLink_SendPing(HrPeerLink *link, int64_t now_ns);

/* Closes the link, reports its unsent frames and calls the owner's closed
 * callback. Does nothing if the link is already closed. */
void HrPeerLink_Close(HrPeerLink *link, int error);

/* Frees a closed link; must not be called from a callback of the link. */
void HrPeerLink_Free(HrPeerLink *link);

#endif
