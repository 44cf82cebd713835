#include "trans-peer-link.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <talloc.h>
#include <unistd.h>

#include "trans-peer-handshake.h"

/* Limit of the frames that one system call writes. */
#define IOVEC_MAX 32
#define READ_CHUNK_BYTES ((size_t)65536)
/* Limit of the bytes that a link reads in one round of the loop, so that a
 * busy link does not delay the others. */
#define READ_ROUND_MAX_BYTES (4 * READ_CHUNK_BYTES)
/* The timer of a link fires this many times within ping_ms, and earlier if a
 * check for a stall is due. */
#define TICKS_PER_PING_TIME 4

/* Frees the frames of a queue. With report_unsent, reports those that have a
 * tag and of which no byte was written. */
static void
free_queue(HrPeerLink *link, struct HrPeerQueue *queue, bool report_unsent)
{
    const HrPeerNodeConfig *config = link->owner->config;
    HrPeerQueuedFrame *queued;

    while ((queued = STAILQ_FIRST(queue)) != NULL) {
        STAILQ_REMOVE_HEAD(queue, entry);
        if (report_unsent && queued->written_bytes == 0 && queued->tag != 0) {
            HrPeerEvent event = {.kind = HR_PEER_EVENT_UNSENT,
                                 .link = link->number,
                                 .tag = queued->tag};

            config->fn(config->arg, &event);
        }
        talloc_free(queued);
    }
}

/* Closes the link, reports its unsent frames and calls the owner's closed
 * callback. Does nothing if the link is already closed. */
void
HrPeerLink_Close(HrPeerLink *link, int error)
{
    if (link->state == HR_PEER_LINK_CLOSED) {
        return;
    }
    link->state = HR_PEER_LINK_CLOSED;
    HrLoop_RemoveFd(link->owner->loop, link->watch);
    HrLoop_RemoveTimer(link->owner->loop, link->timer);
    HrLoop_RemoveTimer(link->owner->loop, link->flush_timer);
    link->watch = NULL;
    link->timer = NULL;
    link->flush_timer = NULL;
    close(link->fd);
    HrCounters_Add(link->owner->config->counters, HR_COUNTER_peer_links_closed,
                   1);
    free_queue(link, &link->control_queue, false);
    free_queue(link, &link->frame_queue, true);
    link->owner->on_closed(link->owner->arg, link, error);
}

/* Frees a closed link. */
void
HrPeerLink_Free(HrPeerLink *link)
{
    talloc_free(link);
}

/* Watches the socket for writability only while it connects or its buffer is
 * full. */
static void
update_watched_events(HrPeerLink *link)
{
    bool write = link->state == HR_PEER_LINK_CONNECTING || link->blocked;

    if (link->state != HR_PEER_LINK_CLOSED) {
        HrLoop_SetEvents(link->owner->loop, link->watch,
                         HR_LOOP_READ | (write ? HR_LOOP_WRITE : 0));
    }
}

/* Schedules one write of the queues in this round of the loop, so that all
 * frames queued in the round share system calls. An earlier event of the
 * socket writes them instead. */
static void
schedule_flush(HrPeerLink *link)
{
    HrLoop *loop = link->owner->loop;

    if (link->flush_armed || link->blocked ||
        link->state == HR_PEER_LINK_CONNECTING ||
        link->state == HR_PEER_LINK_CLOSED) {
        return;
    }
    link->flush_armed = true;
    HrLoop_SetTimer(loop, link->flush_timer, HrLoop_NowNs(loop));
}

/* Appends an encoded frame to a queue, which takes ownership of its bytes on
 * success. */
static int
append_frame(HrPeerLink *link, struct HrPeerQueue *queue, HrBytes bytes,
             uint64_t tag)
{
    HrPeerQueuedFrame *queued = talloc_zero(link, HrPeerQueuedFrame);

    if (queued == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    queued->bytes = bytes;
    queued->tag = tag;
    talloc_steal(queued, bytes.data);
    STAILQ_INSERT_TAIL(queue, queued, entry);
    link->queued_bytes += bytes.length_bytes;
    schedule_flush(link);
    return HR_OK;
}

/* Arms the timer of a link for a monotonic time. */
static void
arm_timer(HrPeerLink *link, int64_t at_ns)
{
    link->timer_at_ns = at_ns;
    HrLoop_SetTimer(link->owner->loop, link->timer, at_ns);
}

/* Makes the timer of a link fire at a time, unless it fires earlier. */
static void
advance_timer(HrPeerLink *link, int64_t at_ns)
{
    if (link->state != HR_PEER_LINK_CLOSED && at_ns < link->timer_at_ns) {
        arm_timer(link, at_ns);
    }
}

/* Queues an encoded frame of the layer above. */
int
HrPeerLink_QueueFrame(HrPeerLink *link, HrBytes bytes, uint64_t tag)
{
    const HrPeerNodeConfig *config = link->owner->config;

    if (link->queued_bytes + bytes.length_bytes > config->queue_bytes) {
        HrCounters_Add(config->counters, HR_COUNTER_peer_queue_full, 1);
        return HR_ERR_FULL;
    }
    link->last_frame_ns = HrLoop_NowNs(link->owner->loop);
    link->sent_since_received = true;
    if (tag != 0 && !link->answer_due) {
        link->answer_due = true;
        link->answer_due_since_ns = link->last_frame_ns;
        link->pong_count = 0;
        advance_timer(link, HrPeerStall_GetNextCheck(link));
    }
    return append_frame(link, &link->frame_queue, bytes, tag);
}

/* Encodes a frame and appends it to the control queue, which is written first.
 */
int
HrPeerLink_QueueControlFrame(HrPeerLink *link, const HrPeerFrame *frame)
{
    HrBytes bytes;
    int rc = HrPeerFrame_Encode(link, frame, 0, &bytes);

    return rc == HR_OK ? append_frame(link, &link->control_queue, bytes, 0)
                       : rc;
}

/* Queues a ping, and starts to wait for its pong. */
void
HrPeerLink_SendPing(HrPeerLink *link, int64_t now_ns)
{
    HrPeerFrame ping = {.kind = HR_PEER_PING, .u.ping = (uint64_t)now_ns};

    link->ping_pending = true;
    link->ping_sent_ns = now_ns;
    HrPeerLink_QueueControlFrame(link, &ping);
}

/* Returns the queue to write from, or NULL if none may be written. A frame
 * that is partly written is completed first; otherwise control frames precede
 * the others, which are written only when the link is ready. */
static struct HrPeerQueue *
choose_queue(HrPeerLink *link)
{
    const HrPeerQueuedFrame *first = STAILQ_FIRST(&link->frame_queue);

    if (first != NULL && first->written_bytes > 0) {
        return &link->frame_queue;
    }
    if (!STAILQ_EMPTY(&link->control_queue)) {
        return &link->control_queue;
    }
    return link->state == HR_PEER_LINK_READY ? &link->frame_queue : NULL;
}

/* Fills the vector with the unwritten bytes of a queue; returns the number of
 * elements, at most IOVEC_MAX. */
static int
fill_vector(const struct HrPeerQueue *queue, struct iovec *vector)
{
    const HrPeerQueuedFrame *queued;
    int count = 0;

    for (queued = STAILQ_FIRST(queue); queued != NULL;
         queued = STAILQ_NEXT(queued, entry)) {
        if (count == IOVEC_MAX) {
            break;
        }
        vector[count].iov_base =
            (void *)(queued->bytes.data + queued->written_bytes);
        vector[count].iov_len =
            queued->bytes.length_bytes - queued->written_bytes;
        count++;
    }
    return count;
}

/* Removes the frames of a queue that are completely written. written is the
 * number of bytes that the socket accepted. */
static void
remove_written(HrPeerLink *link, struct HrPeerQueue *queue, size_t written)
{
    while (written > 0) {
        HrPeerQueuedFrame *queued = STAILQ_FIRST(queue);
        size_t left = queued->bytes.length_bytes - queued->written_bytes;

        if (written < left) {
            queued->written_bytes += written;
            return;
        }
        written -= left;
        link->queued_bytes -= queued->bytes.length_bytes;
        STAILQ_REMOVE_HEAD(queue, entry);
        talloc_free(queued);
    }
}

/* Writes the queues until they are empty or the socket buffer is full. */
static void
write_queues(HrPeerLink *link)
{
    struct HrPeerQueue *queue;
    struct iovec vector[IOVEC_MAX];

    link->blocked = false;
    while ((queue = choose_queue(link)) != NULL && !STAILQ_EMPTY(queue)) {
        struct msghdr message = {.msg_iov = vector};
        ssize_t written;

        message.msg_iovlen = (size_t)fill_vector(queue, vector);
        written = sendmsg(link->fd, &message, MSG_NOSIGNAL);
        if (written < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                HrPeerLink_Close(link, HR_ERR_CLOSED);
            }
            link->blocked = true;
            return;
        }
        remove_written(link, queue, (size_t)written);
    }
}

/* Writes the frames that were queued in this round of the loop. */
static void
flush_queues(void *arg)
{
    HrPeerLink *link = arg;

    link->flush_armed = false;
    write_queues(link);
    update_watched_events(link);
}

/* Cancels the scheduled write, because the queues are written now. */
static void
cancel_flush(HrPeerLink *link)
{
    if (link->flush_armed) {
        link->flush_armed = false;
        HrLoop_SetTimer(link->owner->loop, link->flush_timer, HR_TIME_NEVER);
    }
}

/* Handles a received frame: until the link is ready, passes it to the
 * handshake; then replies to a ping, ignores a hello or proof, counts a pong,
 * and passes any other frame to the owner. */
static void
dispatch_frame(HrPeerLink *link, HrPeerFrame *frame)
{
    int rc;

    if (link->state != HR_PEER_LINK_READY) {
        rc = HrPeerHandshake_HandleFrame(link, frame);
        talloc_free(frame);
        if (rc != HR_OK) {
            HrPeerLink_Close(link, rc);
        }
        return;
    }
    if (frame->kind == HR_PEER_PING) {
        frame->kind = HR_PEER_PONG;
        HrPeerLink_QueueControlFrame(link, frame);
        talloc_free(frame);
        return;
    }
    link->pong_count += frame->kind == HR_PEER_PONG;
    if (frame->kind == HR_PEER_PONG || frame->kind == HR_PEER_HELLO ||
        frame->kind == HR_PEER_PROOF) {
        talloc_free(frame);
        return;
    }
    link->last_frame_ns = HrLoop_NowNs(link->owner->loop);
    link->pong_count = 0;
    link->owner->on_frame(link->owner->arg, link, frame);
}

/* Decodes and handles the frame whose body is complete. Closes the link if the
 * frame is malformed. */
static void
decode_body(HrPeerLink *link)
{
    const HrPeerNodeConfig *config = link->owner->config;
    HrBytes bytes = {link->body, link->body_bytes};
    HrPeerFrame *frame =
        HrPeerFrame_Decode(NULL, bytes, HrLoop_NowNs(link->owner->loop), NULL);

    TALLOC_FREE(link->body);
    link->received_bytes = 0;
    if (frame == NULL) {
        HrCounters_Add(config->counters, HR_COUNTER_peer_bad_frames, 1);
        HrPeerLink_Close(link, HR_ERR_PROTOCOL);
        return;
    }
    dispatch_frame(link, frame);
}

/* Checks the length prefix and allocates the body. Closes the link if the
 * length is not allowed or memory runs out. */
static void
begin_body(HrPeerLink *link)
{
    const HrPeerNodeConfig *config = link->owner->config;
    uint32_t limit = link->state == HR_PEER_LINK_READY
                         ? HR_PEER_FRAME_MAX_BYTES
                         : HR_PEER_HANDSHAKE_MAX_BYTES;

    if (HrPeerFrame_DecodeLength(link->prefix, limit, &link->body_bytes) !=
        HR_OK) {
        HrCounters_Add(config->counters, HR_COUNTER_peer_bad_length, 1);
        HrPeerLink_Close(link, HR_ERR_PROTOCOL);
        return;
    }
    link->body = talloc_array(link, uint8_t, link->body_bytes);
    if (link->body == NULL) {
        HrPeerLink_Close(link, HR_ERR_NO_MEMORY);
    }
}

/* Appends received bytes to the current frame, up to the end of its prefix or
 * body; returns how many. */
static size_t
append_received(HrPeerLink *link, const uint8_t *data, size_t length)
{
    size_t copied, at = link->received_bytes;

    if (at < HR_PEER_PREFIX_BYTES) {
        copied = HR_PEER_PREFIX_BYTES - at;
        copied = length < copied ? length : copied;
        memcpy(link->prefix + at, data, copied);
        link->received_bytes += (uint32_t)copied;
        if (link->received_bytes == HR_PEER_PREFIX_BYTES) {
            begin_body(link);
        }
        return copied;
    }
    at -= HR_PEER_PREFIX_BYTES;
    copied = link->body_bytes - at;
    copied = length < copied ? length : copied;
    memcpy(link->body + at, data, copied);
    link->received_bytes += (uint32_t)copied;
    if (at + copied == link->body_bytes) {
        decode_body(link);
    }
    return copied;
}

/* Records that bytes were received, which shows that the other side is alive.
 */
static void
record_received(HrPeerLink *link)
{
    link->last_received_ns = HrLoop_NowNs(link->owner->loop);
    HrPeerStall_RecordReceived(link, link->last_received_ns);
    link->ping_pending = false;
    link->sent_since_received = false;
}

/* Reads and handles the received bytes, at most about READ_ROUND_MAX_BYTES in
 * one round of the loop. */
static void
read_socket(HrPeerLink *link)
{
    uint8_t chunk[READ_CHUNK_BYTES];
    size_t total = 0;

    while (link->state != HR_PEER_LINK_CLOSED &&
           total < READ_ROUND_MAX_BYTES) {
        ssize_t length = recv(link->fd, chunk, sizeof(chunk), 0);
        size_t at = 0;

        if (length < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (length <= 0) {
            HrPeerLink_Close(link, HR_ERR_CLOSED);
            return;
        }
        record_received(link);
        total += (size_t)length;
        while (at < (size_t)length && link->state != HR_PEER_LINK_CLOSED) {
            at += append_received(link, chunk + at, (size_t)length - at);
        }
        if ((size_t)length < sizeof(chunk)) {
            return; /* The socket is empty; the loop reports later bytes. */
        }
    }
}

/* Completes a connection attempt: sends the hello, or closes the link if the
 * attempt failed. */
static void
finish_connect(HrPeerLink *link)
{
    int error = 0;
    socklen_t length = sizeof(error);

    getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        HrPeerLink_Close(link, HR_ERR_UNAVAILABLE);
        return;
    }
    link->state = HR_PEER_LINK_HELLO;
    if (HrPeerHandshake_SendHello(link) != HR_OK) {
        HrPeerLink_Close(link, HR_ERR_NO_MEMORY);
    }
}

/* Handles events of the socket. */
static void
handle_socket(void *arg, int fd, uint32_t events)
{
    HrPeerLink *link = arg;

    (void)fd;
    if (link->state == HR_PEER_LINK_CONNECTING) {
        finish_connect(link);
    }
    else if ((events & (HR_LOOP_READ | HR_LOOP_ERROR)) != 0) {
        read_socket(link);
    }
    if (link->state != HR_PEER_LINK_CLOSED &&
        link->state != HR_PEER_LINK_CONNECTING) {
        cancel_flush(link);
        write_queues(link);
    }
    update_watched_events(link);
}

/* Sends a ping if frames were sent and nothing was received for ping_ms.
 * Closes the link, and returns false, if a ping is unanswered for silence_ms.
 */
static bool
check_silence(HrPeerLink *link, int64_t now_ns)
{
    const HrPeerNodeConfig *config = link->owner->config;

    if (link->ping_pending &&
        now_ns - link->ping_sent_ns >= config->silence_ms * HR_NS_PER_MS) {
        HrCounters_Add(config->counters, HR_COUNTER_peer_links_silent, 1);
        HrPeerLink_Close(link, HR_ERR_TIMEOUT);
        return false;
    }
    if (!link->ping_pending && link->sent_since_received &&
        now_ns - link->last_received_ns >= config->ping_ms * HR_NS_PER_MS) {
        HrPeerLink_SendPing(link, now_ns);
    }
    return true;
}

/* Closes a link that is silent, idle or too slow in its handshake, checks it
 * for a stall, and arms the timer again. */
static void
handle_timer(void *arg)
{
    HrPeerLink *link = arg;
    const HrPeerNodeConfig *config = link->owner->config;
    int64_t now_ns = HrLoop_NowNs(link->owner->loop);

    if (link->state != HR_PEER_LINK_READY) {
        if (now_ns - link->opened_ns >= config->handshake_ms * HR_NS_PER_MS) {
            HrPeerLink_Close(link, HR_ERR_TIMEOUT);
            return;
        }
    }
    else if (!check_silence(link, now_ns)) {
        return;
    }
    else if (now_ns - link->last_frame_ns >= config->idle_ms * HR_NS_PER_MS &&
             STAILQ_EMPTY(&link->frame_queue)) {
        HrPeerLink_Close(link, HR_OK);
        return;
    }
    if (!HrPeerStall_CheckLink(link, now_ns)) {
        return;
    }
    arm_timer(link,
              now_ns + config->ping_ms * HR_NS_PER_MS / TICKS_PER_PING_TIME);
    advance_timer(link, HrPeerStall_GetNextCheck(link));
}

/* Creates a link on a connecting or accepted socket. The loop makes the first
 * check of its time limits, because the check may close the link, and the
 * owner must have added the link to its tables before. */
HrPeerLink *
HrPeerLink_Create(const void *parent, const HrPeerLinkOwner *owner, int fd,
                  bool outbound)
{
    HrPeerLink *link = talloc_zero(parent, HrPeerLink);
    int64_t now_ns = HrLoop_NowNs(owner->loop);

    if (link == NULL) {
        close(fd);
        return NULL;
    }
    link->owner = owner;
    link->fd = fd;
    link->outbound = outbound;
    link->state = outbound ? HR_PEER_LINK_CONNECTING : HR_PEER_LINK_HELLO;
    link->opened_ns = link->last_frame_ns = link->last_received_ns = now_ns;
    STAILQ_INIT(&link->frame_queue);
    STAILQ_INIT(&link->control_queue);
    randombytes_buf(link->own_nonce, sizeof(link->own_nonce));
    link->watch =
        HrLoop_AddFd(owner->loop, fd, outbound ? HR_LOOP_WRITE : HR_LOOP_READ,
                     handle_socket, link);
    link->timer = HrLoop_AddTimer(owner->loop, handle_timer, link);
    link->flush_timer = HrLoop_AddTimer(owner->loop, flush_queues, link);
    if (link->watch == NULL || link->timer == NULL ||
        link->flush_timer == NULL) {
        HrLoop_RemoveFd(owner->loop, link->watch);
        HrLoop_RemoveTimer(owner->loop, link->timer);
        HrLoop_RemoveTimer(owner->loop, link->flush_timer);
        close(fd);
        talloc_free(link);
        return NULL;
    }
    arm_timer(link, now_ns);
    return link;
}
