#ifndef HR_TRANS_PEER_HANDSHAKE_H
#define HR_TRANS_PEER_HANDSHAKE_H

#include "trans-peer-link.h"

/* Queues the hello of this daemon. Returns HR_OK or a negative error. */
int HrPeerHandshake_SendHello(HrPeerLink *link);

/* Handles a frame that is received before the link is ready, and updates the
 * state of the link. Returns HR_OK; or HR_ERR_PROTOCOL, HR_ERR_AUTH or another
 * negative error, after which the caller closes the link. */
int HrPeerHandshake_HandleFrame(HrPeerLink *link, const HrPeerFrame *frame);

/* Encodes a frame and appends it to the control queue, which is written before
 * the frames of the layer above. Returns HR_OK or a negative error. */
int HrPeerLink_QueueControlFrame(HrPeerLink *link, const HrPeerFrame *frame);

#endif
