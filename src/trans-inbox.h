#ifndef HR_TRANS_INBOX_H
#define HR_TRANS_INBOX_H

#include <stdint.h>

#include "base-error.h"

/* A bounded queue of message pointers: any thread may put messages into it,
 * one thread (the receiver) removes them. */
typedef struct HrInbox HrInbox;

/* Creates an inbox, as a talloc child of parent. size is a power of two of at
 * least 4; the inbox holds up to size - 1 messages. Returns NULL on failure.
 */
HrInbox *HrInbox_Create(const void *parent, uint32_t size);

/* Adds a message and wakes the receiver, which owns the message from then on.
 * Returns HR_OK; or HR_ERR_FULL when the inbox is full, and the caller still
 * owns the message. */
int HrInbox_PutMessage(HrInbox *inbox, void *message);

/* Removes and returns the oldest message, or returns NULL when there is none.
 * Only the receiver may call it. */
void *HrInbox_PopMessage(HrInbox *inbox);

/* Returns the descriptor that becomes readable when messages may be pending.
 * The inbox owns it. */
int HrInbox_GetFd(const HrInbox *inbox);

/* Makes the descriptor unreadable until the next message is added. Call it
 * before removing the messages: in the other order, a message added in between
 * would not wake the receiver. */
void HrInbox_ClearWakeUp(HrInbox *inbox);

#endif
