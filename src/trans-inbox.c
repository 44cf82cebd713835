#include "trans-inbox.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

#include "trans-sync.h"

struct HrInbox {
    ck_ring_t ring;
    ck_ring_buffer_t *slots;
    int event_fd;
    unsigned int signalled; /* 1 from a wake-up until HrInbox_ClearWakeUp */
};

#ifdef __SANITIZE_THREAD__
const char *__tsan_default_suppressions(void);

/* Names the functions whose reports the thread sanitizer suppresses;
 * trans-sync.h says why. */
const char *
__tsan_default_suppressions(void)
{
    return "race:_ck_ring_\n";
}
#endif

/* Closes the descriptor and frees the slots of an inbox that is being freed.
 */
static int
destroy_inbox(HrInbox *inbox)
{
    if (inbox->event_fd >= 0) {
        close(inbox->event_fd);
    }
    free(inbox->slots);
    return 0;
}

/* Creates an inbox; size is a power of two of at least 4. */
HrInbox *
HrInbox_Create(const void *parent, uint32_t size)
{
    HrInbox *inbox = talloc_zero(parent, HrInbox);

    if (inbox == NULL) {
        return NULL;
    }
    inbox->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    inbox->slots = calloc(size, sizeof(ck_ring_buffer_t));
    talloc_set_destructor(inbox, destroy_inbox);
    if (inbox->event_fd < 0 || inbox->slots == NULL) {
        talloc_free(inbox);
        return NULL;
    }
    ck_ring_init(&inbox->ring, size);
    return inbox;
}

/* Wakes the receiver unless a wake-up is already pending. */
static void
signal_receiver(HrInbox *inbox)
{
    const uint64_t one = 1;

    if (ck_pr_fas_uint(&inbox->signalled, 1) == 0) {
        /* The eventfd counter cannot overflow: it is written at most once
         * between two calls of HrInbox_ClearWakeUp. */
        if (write(inbox->event_fd, &one, sizeof(one)) < 0) {
            return;
        }
    }
}

/* Adds a message and wakes the receiver. */
int
HrInbox_PutMessage(HrInbox *inbox, void *message)
{
    HR_SYNC_RELEASE(inbox);
    if (!ck_ring_enqueue_mpsc(&inbox->ring, inbox->slots, message)) {
        return HR_ERR_FULL;
    }
    signal_receiver(inbox);
    return HR_OK;
}

/* Removes and returns the oldest message, or NULL. */
void *
HrInbox_PopMessage(HrInbox *inbox)
{
    void *message;

    if (!ck_ring_dequeue_mpsc(&inbox->ring, inbox->slots, &message)) {
        return NULL;
    }
    HR_SYNC_ACQUIRE(inbox);
    return message;
}

/* Returns the descriptor that becomes readable when messages may be pending.
 */
int
HrInbox_GetFd(const HrInbox *inbox)
{
    return inbox->event_fd;
}

/* Makes the descriptor unreadable until the next message is added. The flag is
 * cleared after the read: a message added in between causes no wake-up, but
 * the caller removes it right after this call. */
void
HrInbox_ClearWakeUp(HrInbox *inbox)
{
    uint64_t value;

    if (read(inbox->event_fd, &value, sizeof(value)) < 0) {
        value = 0;
    }
    ck_pr_fas_uint(&inbox->signalled, 0);
}
