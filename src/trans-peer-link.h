#ifndef HR_TRANS_PEER_LINK_H
#define HR_TRANS_PEER_LINK_H

/* One peer link: used by trans-peer only. */

#include <bsd/sys/queue.h>
#include <uthash.h>

#include "proto-peer-codec.h"
#include "trans-peer-stall.h"
#include "trans-peer.h"

/* Before the handshake a frame is at most this long. */
#define HR_PEER_HANDSHAKE_MAX_BYTES 1024

typedef enum HrPeerLinkState {
    HR_PEER_LINK_CONNECTING,
    HR_PEER_LINK_HELLO, /* waits for the hello of the other side */
    HR_PEER_LINK_PROOF, /* waits for its proof */
    HR_PEER_LINK_READY,
    HR_PEER_LINK_CLOSED,
} HrPeerLinkState;

/* A frame in the send queue. */
typedef struct HrPeerQueued {
    STAILQ_ENTRY(HrPeerQueued) entry;
    HrBytes bytes;
    size_t written_bytes;
    uint64_t tag;
} HrPeerQueued;

STAILQ_HEAD(HrPeerQueue, HrPeerQueued);

typedef struct HrPeerLink HrPeerLink;

/* What is known of an address beyond the end of its links. */
typedef struct HrPeerPath {
    UT_hash_handle hh;
    char address[HR_ADDRESS_BYTES];
    uint32_t links;
    HrPeerDelay delay;
} HrPeerPath;

/* What a link tells its node. */
typedef struct HrPeerLinkOwner {
    HrLoop *loop;
    const HrPeerNodeConfig *config;
    void (*frame)(void *arg, HrPeerLink *link, HrPeerFrame *frame);
    /* The link has ended; it must be freed, but not during the call. */
    void (*closed)(void *arg, HrPeerLink *link, int error);
    void *arg;
} HrPeerLinkOwner;

struct HrPeerLink {
    UT_hash_handle by_number;
    UT_hash_handle by_address;
    TAILQ_ENTRY(HrPeerLink) closed_entry;
    const HrPeerLinkOwner *owner;
    uint64_t number;
    bool outbound;
    bool current; /* the link that new frames to the address take */
    bool stalled;
    HrPeerPath *path; /* NULL: the link was accepted */
    char address[HR_ADDRESS_BYTES];
    HrPeerLinkState state;
    int fd;
    HrLoopFd *watch;
    HrLoopTimer *timer;
    HrLoopTimer *flush_timer;
    bool flush_armed; /* the queues are written in this round of the loop */
    bool blocked;     /* the socket took no more bytes */
    int64_t opened_ns;
    int64_t used_ns;     /* last frame of the layer above, either way */
    int64_t received_ns; /* last byte received */
    int64_t ping_sent_ns;
    bool ping_open; /* no byte has arrived since the ping was sent */
    bool sent_since_received;
    bool waiting; /* a frame with a tag was sent since the last byte */
    int64_t waiting_since_ns; /* when the first of these was */
    uint32_t pongs;           /* since the last frame of the layer above */
    int64_t timer_at_ns;
    uint64_t peer_id; /* authenticated once the link is ready */
    uint8_t own_nonce[HR_PEER_NONCE_BYTES];
    uint8_t peer_nonce[HR_PEER_NONCE_BYTES];
    struct HrPeerQueue queue;     /* frames of the layer above */
    struct HrPeerQueue handshake; /* hello, proof, ping and pong */
    size_t queued_bytes;
    uint8_t prefix[HR_PEER_PREFIX_BYTES];
    uint8_t *body;
    uint32_t body_bytes;
    uint32_t received_bytes; /* of the prefix and the body together */
};

/* Creates a link on a connecting (outbound) or accepted socket, which it
 * owns from then on. Returns NULL when memory runs out; the socket is then
 * closed. */
HrPeerLink *HrPeerLink_Create(const void *parent, const HrPeerLinkOwner *owner,
                              int fd, bool outbound);

/* Queues an encoded frame; the link takes bytes over on success. Returns 0,
 * HR_ERR_FULL or HR_ERR_NO_MEMORY. */
int HrPeerLink_Queue(HrPeerLink *link, HrBytes bytes, uint64_t tag);

/* Sends a ping. */
void HrPeerLink_SendPing(HrPeerLink *link, int64_t now_ns);

/* Closes the link and tells the owner; a second call does nothing. */
void HrPeerLink_Close(HrPeerLink *link, int error);

/* Frees a closed link. */
void HrPeerLink_Free(HrPeerLink *link);

#endif
