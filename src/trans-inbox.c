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
    unsigned int signalled; /* 1 from a wake-up until HrInbox_Clear */
};

#ifdef __SANITIZE_THREAD__
const char *__tsan_default_suppressions(void);

/* Names the functions whose reports the sanitizer leaves out; see
 * trans-sync.h. */
const char *
__tsan_default_suppressions(void)
{
    return "race:_ck_ring_\n";
}
#endif

/* Closes the descriptor of an inbox that is being freed. */
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
        /* The counter cannot overflow: one write per Clear. */
        if (write(inbox->event_fd, &one, sizeof(one)) < 0) {
            return;
        }
    }
}

/* Hands a message over and wakes the receiver. */
int
HrInbox_Put(HrInbox *inbox, void *message)
{
    HR_SYNC_RELEASE(inbox);
    if (!ck_ring_enqueue_mpsc(&inbox->ring, inbox->slots, message)) {
        return HR_ERR_FULL;
    }
    signal_receiver(inbox);
    return HR_OK;
}

/* Takes the oldest message, or NULL when there is none. */
void *
HrInbox_Take(HrInbox *inbox)
{
    void *message;

    if (!ck_ring_dequeue_mpsc(&inbox->ring, inbox->slots, &message)) {
        return NULL;
    }
    HR_SYNC_ACQUIRE(inbox);
    return message;
}

/* Returns the descriptor that is readable while messages may be waiting. */
int
HrInbox_Fd(const HrInbox *inbox)
{
    return inbox->event_fd;
}

/* Makes the descriptor unreadable until the next message. The flag is cleared
 * after the read: a message put in between is taken by the caller's drain. */
void
HrInbox_Clear(HrInbox *inbox)
{
    uint64_t value;

    if (read(inbox->event_fd, &value, sizeof(value)) < 0) {
        value = 0;
    }
    ck_pr_fas_uint(&inbox->signalled, 0);
}
