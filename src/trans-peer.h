#ifndef HR_TRANS_PEER_H
#define HR_TRANS_PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "proto-peer-codec.h"
#include "trans-loop.h"

/* The peer links of one daemon: the listening socket, links opened by others
 * and links opened on demand, one for each address. */
typedef struct HrPeerNode HrPeerNode;

typedef enum HrPeerEventKind {
    HR_PEER_EVENT_FRAME,   /* frame: from an authenticated daemon */
    HR_PEER_EVENT_UNSENT,  /* tag: no byte of the frame left this VM */
    HR_PEER_EVENT_STALLED, /* the link owes an answer and has been quiet for
                              longer than earlier answers took; new frames to
                              the address take another link */
    HR_PEER_EVENT_CLOSED,  /* error: frames that were handed to the link and
                              not answered may or may not have arrived */
} HrPeerEventKind;

typedef struct HrPeerEvent {
    HrPeerEventKind kind;
    uint64_t link;      /* number of the link, never used again */
    uint64_t daemon_id; /* FRAME: the authenticated sender */
    HrPeerFrame *frame; /* FRAME: the receiver frees it */
    uint64_t tag;
    int error;
} HrPeerEvent;

/* Receives events on the loop's thread. All UNSENT events of a link come
 * before its CLOSED event. It may send, but not free the node. */
typedef void HrPeerEventFn(void *arg, const HrPeerEvent *event);

/* Returns true if the layer above awaits an answer on a link. */
typedef bool HrPeerAwaitsFn(void *arg, uint64_t link);

typedef struct HrPeerNodeConfig {
    const char *cluster;
    const uint8_t *key; /* of crypto_auth_KEYBYTES */
    uint64_t daemon_id;
    const char *listen;   /* numeric IP address and port; port 0: any */
    uint32_t queue_bytes; /* that wait for one link; more is refused */
    uint32_t max_links;   /* in each direction */
    int64_t handshake_ms; /* to connect and authenticate */
    int64_t ping_ms;      /* without an answer, until a ping is sent */
    int64_t silence_ms;   /* after a ping, until the link is closed */
    int64_t idle_ms;      /* without frames, until the link is closed */
    HrCounters *counters; /* may be NULL */
    HrPeerEventFn *fn;
    HrPeerAwaitsFn *awaits; /* NULL: an answer is awaited from each frame
                               until the next byte arrives */
    void *arg;
} HrPeerNodeConfig;

/* Sets limits and times; the other fields are zeroed. */
void HrPeerNodeConfig_Default(HrPeerNodeConfig *config);

/* Starts listening; the strings and the key must outlive the node. Returns
 * NULL on failure, with err filled. Freeing the node closes every link
 * without events. */
HrPeerNode *HrPeerNode_Create(const void *parent, HrLoop *loop,
                              const HrPeerNodeConfig *config, HrError *err);

/* Returns the port that the node listens on. */
uint16_t HrPeerNode_Port(const HrPeerNode *node);

/* Queues a frame for the daemon at an address, opening a link when there is
 * none or when fresh is set. *link gets the number of the link; tag, unless
 * it is 0, names the frame in an UNSENT event. Returns 0, or a negative number
 * when nothing was queued: HR_ERR_INVALID (address), HR_ERR_FULL,
 * HR_ERR_UNAVAILABLE, HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY. */
int HrPeerNode_Send(HrPeerNode *node, const char *address, bool fresh,
                    const HrPeerFrame *frame, uint64_t tag, uint64_t *link);

/* Queues a frame on the link with a number. Returns HR_ERR_NOT_FOUND when the
 * link has ended, or as HrPeerNode_Send. */
int HrPeerNode_Reply(HrPeerNode *node, uint64_t link, const HrPeerFrame *frame,
                     uint64_t tag);

/* Returns the number of bytes that wait to be written. */
uint64_t HrPeerNode_QueuedBytes(const HrPeerNode *node);

/* Returns the number of open links. */
uint32_t HrPeerNode_LinkCount(const HrPeerNode *node);

#endif
