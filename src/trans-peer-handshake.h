#ifndef HR_TRANS_PEER_HANDSHAKE_H
#define HR_TRANS_PEER_HANDSHAKE_H

#include "trans-peer-link.h"

/* Sends the hello of this side. */
int HrPeerHandshake_SendHello(HrPeerLink *link);

/* Handles a frame that arrives before the link is ready, and moves the state
 * of the link. Returns 0, or why the link must be closed. */
int HrPeerHandshake_Handle(HrPeerLink *link, const HrPeerFrame *frame);

/* Encodes a frame and puts it in the queue that goes first. */
int HrPeerLink_QueueFirst(HrPeerLink *link, const HrPeerFrame *frame);

#endif
