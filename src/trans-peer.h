#ifndef HR_TRANS_PEER_H
#define HR_TRANS_PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "proto-peer-codec.h"
#include "trans-loop.h"

/* The links of this daemon to other daemons, which authenticate each other: a
 * listening socket, links opened by others, and links opened on demand. Frames
 * to an address share one link unless a new one is requested or the current
 * one is stalled. */
typedef struct HrPeerNode HrPeerNode;

typedef enum HrPeerEventKind {
    HR_PEER_EVENT_FRAME,   /* frame: received from an authenticated daemon */
    HR_PEER_EVENT_UNSENT,  /* tag: the link was closed before any byte of the
                              frame was written */
    HR_PEER_EVENT_STALLED, /* an answer is due on the link, and neither it nor
                              the pong to a ping was received within the limits
                              derived from earlier delays; new frames to the
                              address use another link */
    HR_PEER_EVENT_CLOSED,  /* error: why the link was closed; frames that were
                              sent on it and not answered may or may not have
                              been received */
} HrPeerEventKind;

typedef struct HrPeerEvent {
    HrPeerEventKind kind;
    uint64_t link; /* number of the link, never reused */
    /* FRAME: the authenticated sender; STALLED and CLOSED: the other end,
     * authenticated only if the link became ready. */
    uint64_t daemon_id;
    HrPeerFrame *frame; /* FRAME: the receiver of the event frees it */
    uint64_t tag;
    int error;
} HrPeerEvent;

/* Called for each event on the loop's thread. All UNSENT events of a link
 * precede its CLOSED event. The callee may send frames, but must not free the
 * node. */
typedef void HrPeerEventFn(void *arg, const HrPeerEvent *event);

/* Returns true if the layer above expects an answer on a link. */
typedef bool HrPeerAnswerAwaitedFn(void *arg, uint64_t link);

typedef struct HrPeerNodeConfig {
    const char *cluster;
    const uint8_t *key; /* of the cluster; crypto_auth_KEYBYTES long */
    uint64_t daemon_id;
    const char *listen;   /* numeric IP address and port; port 0: a free one */
    uint32_t queue_bytes; /* limit of the unsent bytes of one link; more are
                             refused */
    uint32_t max_links;   /* limit of the links in each direction */
    int64_t handshake_ms; /* time limit to connect and authenticate */
    /* Time without any received byte, if a frame was sent, until a ping is
     * sent; also the upper bound of the limits that find stalled links. */
    int64_t ping_ms;
    int64_t silence_ms;   /* time without any received byte after a ping until
                             the link is closed */
    int64_t idle_ms;      /* time without frames until the link is closed */
    HrCounters *counters; /* may be NULL */
    HrPeerEventFn *fn;
    /* Queried for links on which no byte is due in answer to a frame with a
     * tag. If it is NULL, an answer is due only from the queuing of such a
     * frame until the next byte is received. */
    HrPeerAnswerAwaitedFn *is_answer_awaited;
    void *arg;
} HrPeerNodeConfig;

/* Sets the limits and times to their defaults, and the other fields to zero.
 */
void HrPeerNodeConfig_GetDefaults(HrPeerNodeConfig *config);

/* Creates a node, as a talloc child of parent, and starts listening. The loop,
 * and the strings and the key of config, must outlive it. Returns NULL on
 * failure, with err filled. Freeing the node closes all links without events.
 */
HrPeerNode *HrPeerNode_Create(const void *parent, HrLoop *loop,
                              const HrPeerNodeConfig *config, HrError *err);

/* Returns the port that the node listens on, or 0 on failure. */
uint16_t HrPeerNode_GetPort(const HrPeerNode *node);

/* Queues a frame for the daemon at an address. Opens a link if there is none,
 * if the current one is stalled, or if new_link is set. *number is set to the
 * number of the link. tag identifies the frame in an UNSENT event and marks it
 * as one that needs an answer; 0: neither. Returns HR_OK, or a negative error
 * if nothing was queued: HR_ERR_INVALID (address), HR_ERR_FULL (queue or
 * number of links), HR_ERR_UNAVAILABLE, HR_ERR_TOO_LARGE or HR_ERR_NO_MEMORY.
 */
int HrPeerNode_SendFrame(HrPeerNode *node, const char *address, bool new_link,
                         const HrPeerFrame *frame, uint64_t tag,
                         uint64_t *number);

/* Queues a frame on the link with a number. Returns HR_ERR_NOT_FOUND if the
 * link is closed; otherwise as HrPeerNode_SendFrame. */
int HrPeerNode_SendReply(HrPeerNode *node, uint64_t number,
                         const HrPeerFrame *frame, uint64_t tag);

/* Returns the number of bytes in the send queues of all links. */
uint64_t HrPeerNode_GetQueuedBytes(const HrPeerNode *node);

/* Returns the number of open links, including those that are still connecting
 * or in their handshake. */
uint32_t HrPeerNode_GetLinkCount(const HrPeerNode *node);

#endif
