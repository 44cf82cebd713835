#ifndef HR_TRANS_INBOX_H
#define HR_TRANS_INBOX_H

#include <stdint.h>

#include "base-error.h"

/* A bounded queue of message pointers: any thread puts, one thread takes. */
typedef struct HrInbox HrInbox;

/* Creates an inbox of the given size, a power of two of at least 4. */
HrInbox *HrInbox_Create(const void *parent, uint32_t size);

/* Hands a message over and wakes the receiver; from then on the receiver owns
 * it. Returns HR_ERR_FULL when there is no room: the message stays the
 * caller's. */
int HrInbox_Put(HrInbox *inbox, void *message);

/* Takes the oldest message, or NULL when there is none. */
void *HrInbox_Take(HrInbox *inbox);

/* Returns the descriptor that is readable while messages may be waiting. */
int HrInbox_Fd(const HrInbox *inbox);

/* Makes the descriptor unreadable until the next message; call it before
 * taking messages, so that none is missed. */
void HrInbox_Clear(HrInbox *inbox);

#endif
