#include "daemon-peer.h"

#include <string.h>
#include <talloc.h>

#include "coord-owner.h"
#include "daemon-pending.h"
#include "trans-peer.h"

/* State of the peer task. */
typedef struct PeerTask {
    HrTask *task;
    HrPeerNode *node;
    HrPendingTable *pending;
    uint64_t last_tag; /* of the last batch sent; see HrPendingSub */
} PeerTask;

/* Reports the failure of a sub-request to its query task. send_started: it may
 * have been passed to a peer link, so it may have run. */
static void
post_sub_failure(PeerTask *peer, const HrQueryId *query, uint32_t sub_id,
                 bool send_started)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SUB_FAILURE);

    if (message != NULL) {
        message->u.failure.query = *query;
        message->u.failure.sub_id = sub_id;
        message->u.failure.send_started = send_started;
        message->u.failure.reason = HR_REASON_PEER_UNREACHABLE;
    }
    HrTask_PostMessage(
        peer->task, HrDaemon_GetQueryTask(peer->task->daemon, query), message);
}

/* Returns the peer address of a daemon from the member view, or NULL if it is
 * not a member. */
static const char *
find_peer_address(const PeerTask *peer, uint64_t daemon_id)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(peer->task->daemon->snapshots);
    const HrMember *member =
        view != NULL ? HrMemberView_Find(view, daemon_id) : NULL;

    return member != NULL ? member->peer_address : NULL;
}

/* Sends a batch of sub-requests to the scheduling daemon and adds them to the
 * pending ones. Reports those that could not be queued or added as failed. */
static void
send_batch(PeerTask *peer, const HrMessage *message)
{
    const HrSubRequest *requests = message->u.requests.requests;
    uint32_t count = message->u.requests.request_count, i;
    const char *address = find_peer_address(peer, message->u.requests.to_id);
    HrPeerFrame frame = {.kind = HR_PEER_SUB_BATCH};
    HrPendingSub sub = {.tag = ++peer->last_tag};
    int rc = HR_ERR_UNAVAILABLE;

    frame.u.sub_batch.requests = requests;
    frame.u.sub_batch.request_count = count;
    if (address != NULL) {
        rc = HrPeerNode_SendFrame(peer->node, address, false, &frame, sub.tag,
                                  &sub.link);
    }
    for (i = 0; i < count; i++) {
        if (rc != HR_OK) {
            post_sub_failure(peer, &requests[i].query, requests[i].sub_id,
                             false);
            continue;
        }
        sub.query = requests[i].query;
        sub.sub_id = requests[i].sub_id;
        sub.idempotent = requests[i].idempotent;
        if (HrPendingTable_AddSub(peer->pending, &sub) != HR_OK) {
            post_sub_failure(peer, &sub.query, sub.sub_id, true);
        }
    }
}

/* Sends a cancellation on the link on which the sub-request was sent. */
static void
send_cancel(PeerTask *peer, const HrMessage *message)
{
    const HrPeerSubCancel *cancel = &message->u.cancel.cancel;
    HrPeerFrame frame = {.kind = HR_PEER_SUB_CANCEL, .u.sub_cancel = *cancel};
    HrPendingSub sub;

    if (HrPendingTable_RemoveSub(peer->pending, &cancel->query, cancel->sub_id,
                                 &sub)) {
        HrPeerNode_SendReply(peer->node, sub.link, &frame, 0);
    }
}

/* Sends a sub-answer on the link on which its request was received. An answer
 * that exceeds the frame limit is replaced by one with HR_OUTCOME_UNKNOWN. */
static void
send_answer(PeerTask *peer, const HrMessage *message)
{
    HrPeerFrame frame = {.kind = HR_PEER_SUB_ANSWER,
                         .u.sub_answer = message->u.answer.answer};

    if (HrPeerNode_SendReply(peer->node, message->u.answer.origin.link, &frame,
                             0) == HR_ERR_TOO_LARGE) {
        frame.u.sub_answer.outcome = HR_OUTCOME_UNKNOWN;
        frame.u.sub_answer.reason = HR_REASON_BAD_ANSWER;
        frame.u.sub_answer.payload.length_bytes = 0;
        HrPeerNode_SendReply(peer->node, message->u.answer.origin.link, &frame,
                             0);
    }
}

/* Sends a frame for another task. Errors are ignored, because the other task
 * sends a frame again if it is lost. */
static void
send_frame(PeerTask *peer, const HrMessage *message)
{
    const char *address = message->u.peer.address;
    uint64_t link;

    if (message->u.peer.link != 0) {
        HrPeerNode_SendReply(peer->node, message->u.peer.link,
                             message->u.peer.frame, 0);
        return;
    }
    if (address == NULL || address[0] == '\0') {
        address = find_peer_address(peer, message->u.peer.to_id);
    }
    if (address != NULL) {
        HrPeerNode_SendFrame(peer->node, address, message->u.peer.new_link,
                             message->u.peer.frame, 0, &link);
    }
}

/* Handles a message from another task. */
static void
handle_message(void *state, HrMessage *message)
{
    PeerTask *peer = state;

    switch (message->kind) {
    case HR_MESSAGE_SUB_REQUESTS:
        send_batch(peer, message);
        break;
    case HR_MESSAGE_SUB_CANCEL:
        send_cancel(peer, message);
        break;
    case HR_MESSAGE_SUB_ANSWER:
        send_answer(peer, message);
        break;
    case HR_MESSAGE_SEND_PEER_FRAME:
        send_frame(peer, message);
        break;
    default:
        break;
    }
    talloc_free(message);
}

/* Returns true if the scheduling task owns the shard group of a request. */
static bool
is_owned_by_task(const HrDaemon *daemon, const HrSubRequest *request,
                 const HrTask *task)
{
    return HrDaemon_GetSchedTask(daemon, request->pool, request->group) ==
           task;
}

/* Forwards copies of the requests in a batch that a scheduling task owns. */
static void
forward_requests(PeerTask *peer, HrTask *to, const HrPeerEvent *event)
{
    const HrDaemon *daemon = peer->task->daemon;
    const HrPeerSubBatch *batch = &event->frame->u.sub_batch;
    HrMessage *message;
    HrSubRequest *requests;
    uint32_t i, count = 0;

    for (i = 0; i < batch->request_count; i++) {
        count += is_owned_by_task(daemon, &batch->requests[i], to);
    }
    if (count == 0) {
        return;
    }
    message = HrMessage_Create(HR_MESSAGE_SUB_REQUESTS);
    requests = talloc_array(message, HrSubRequest, count);
    if (message == NULL || requests == NULL) {
        talloc_free(message);
        return;
    }
    for (i = 0, count = 0; i < batch->request_count; i++) {
        if (is_owned_by_task(daemon, &batch->requests[i], to)) {
            HrSubRequest *request = &requests[count++];

            *request = batch->requests[i];
            request->group = HrMessage_CopyText(message, request->group);
            request->shard = HrMessage_CopyText(message, request->shard);
            request->pool = HrMessage_CopyText(message, request->pool);
            request->caller = HrMessage_CopyText(message, request->caller);
            request->payload = HrMessage_CopyBytes(message, request->payload);
        }
    }
    message->u.requests.origin.link = event->link;
    message->u.requests.requests = requests;
    message->u.requests.request_count = count;
    HrTask_PostMessage(peer->task, to, message);
}

/* Forwards a whole batch to a scheduling task without copying its requests. */
static void
forward_batch(PeerTask *peer, HrTask *to, const HrPeerEvent *event)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SUB_REQUESTS);

    if (message != NULL) {
        message->u.requests.origin.link = event->link;
        message->u.requests.requests = event->frame->u.sub_batch.requests;
        message->u.requests.request_count =
            event->frame->u.sub_batch.request_count;
        talloc_steal(message, event->frame);
    }
    HrTask_PostMessage(peer->task, to, message);
}

/* Distributes a received batch among the scheduling tasks. */
static void
receive_batch(PeerTask *peer, const HrPeerEvent *event)
{
    const HrDaemon *daemon = peer->task->daemon;
    uint32_t i;

    if (daemon->sched_count == 1) {
        forward_batch(peer, daemon->sched[0], event);
        return;
    }
    for (i = 0; i < daemon->sched_count; i++) {
        forward_requests(peer, daemon->sched[i], event);
    }
    talloc_free(event->frame);
}

/* Forwards a sub-answer to its query task. Drops and counts an answer if its
 * request is not pending or was sent on another link. */
static void
receive_answer(PeerTask *peer, const HrPeerEvent *event)
{
    const HrDaemon *daemon = peer->task->daemon;
    const HrSubAnswer *answer = &event->frame->u.sub_answer;
    HrMessage *message;
    HrPendingSub sub;

    if (answer->query.daemon_id != daemon->daemon_id ||
        !HrPendingTable_RemoveSub(peer->pending, &answer->query,
                                  answer->sub_id, &sub)) {
        HrCounters_Add(daemon->counters, HR_COUNTER_sub_answers_dropped, 1);
    }
    else if (sub.link != event->link) {
        HrCounters_Add(daemon->counters, HR_COUNTER_sub_answers_dropped, 1);
        HrPendingTable_AddSub(peer->pending, &sub);
    }
    else {
        message = HrMessage_Create(HR_MESSAGE_SUB_ANSWER);
        if (message != NULL) {
            message->u.answer.answer = *answer;
            message->u.answer.remote = true;
            talloc_steal(message, event->frame);
        }
        HrTask_PostMessage(peer->task,
                           HrDaemon_GetQueryTask(daemon, &answer->query),
                           message);
        return;
    }
    talloc_free(event->frame);
}

/* Forwards a cancellation to the scheduling task that owns the shard group. */
static void
receive_cancel(PeerTask *peer, const HrPeerEvent *event)
{
    const HrPeerSubCancel *cancel = &event->frame->u.sub_cancel;
    HrTask *to =
        HrDaemon_GetSchedTask(peer->task->daemon, cancel->pool, cancel->group);
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SUB_CANCEL);

    if (message != NULL) {
        message->u.cancel.origin.link = event->link;
        message->u.cancel.cancel = *cancel;
        talloc_steal(message, event->frame);
    }
    HrTask_PostMessage(peer->task, to, message);
}

/* Forwards an unchanged frame to a task. */
static void
forward_frame(PeerTask *peer, HrTask *to, HrMessageKind kind,
              const HrPeerEvent *event)
{
    HrMessage *message = HrMessage_Create(kind);

    if (message != NULL) {
        message->u.peer.link = event->link;
        message->u.peer.from_id = event->daemon_id;
        message->u.peer.frame = talloc_steal(message, event->frame);
    }
    HrTask_PostMessage(peer->task, to, message);
}

/* Forwards a frame from another daemon to the task that handles its kind. */
static void
receive_frame(PeerTask *peer, const HrPeerEvent *event)
{
    const HrDaemon *daemon = peer->task->daemon;

    switch (event->frame->kind) {
    case HR_PEER_SUB_BATCH:
        receive_batch(peer, event);
        break;
    case HR_PEER_SUB_ANSWER:
        receive_answer(peer, event);
        break;
    case HR_PEER_SUB_CANCEL:
        receive_cancel(peer, event);
        break;
    case HR_PEER_HANDOVER:
        forward_frame(peer,
                      HrDaemon_GetSchedTask(daemon,
                                            event->frame->u.handover.pool,
                                            event->frame->u.handover.group),
                      HR_MESSAGE_HANDOVER_FRAME, event);
        break;
    default:
        forward_frame(peer, daemon->control, HR_MESSAGE_PEER_FRAME, event);
        break;
    }
}

/* Reports the pending sub-requests of a link as failed: those of the batch
 * with this tag, or all if tag is 0. */
static void
fail_pending_subs(PeerTask *peer, uint64_t link, uint64_t tag,
                  bool send_started)
{
    HrPendingSub sub;

    while (HrPendingTable_RemoveOldestSub(peer->pending, link, tag, &sub)) {
        post_sub_failure(peer, &sub.query, sub.sub_id, send_started);
    }
}

/* Reports the idempotent sub-requests of a stalled link as failed, so that
 * their gathers send them to other daemons. The others stay pending until they
 * are answered or the link is closed. */
static void
move_pending_subs(PeerTask *peer, uint64_t link)
{
    HrPendingSub sub;

    while (HrPendingTable_MarkSubMoved(peer->pending, link, &sub)) {
        post_sub_failure(peer, &sub.query, sub.sub_id, true);
    }
}

/* Returns true if a sub-request that was sent on the link is pending. */
static bool
has_pending_subs(void *arg, uint64_t link)
{
    const PeerTask *peer = arg;

    return HrPendingTable_HasSubOnLink(peer->pending, link);
}

/* Notifies the scheduling tasks that a link is closed, so that they cancel the
 * sub-requests received over it. */
static void
post_link_closed(PeerTask *peer, uint64_t link)
{
    const HrDaemon *daemon = peer->task->daemon;
    uint32_t i;

    for (i = 0; i < daemon->sched_count; i++) {
        HrMessage *message = HrMessage_Create(HR_MESSAGE_LINK_CLOSED);

        if (message != NULL) {
            message->u.link = link;
        }
        HrTask_PostMessage(peer->task, daemon->sched[i], message);
    }
}

/* Handles an event of the peer links. */
static void
handle_link_event(void *arg, const HrPeerEvent *event)
{
    PeerTask *peer = arg;

    switch (event->kind) {
    case HR_PEER_EVENT_FRAME:
        receive_frame(peer, event);
        break;
    case HR_PEER_EVENT_UNSENT:
        fail_pending_subs(peer, event->link, event->tag, false);
        break;
    case HR_PEER_EVENT_STALLED:
        move_pending_subs(peer, event->link);
        break;
    case HR_PEER_EVENT_CLOSED:
        fail_pending_subs(peer, event->link, 0, true);
        post_link_closed(peer, event->link);
        break;
    }
}

/* Initializes the peer task. */
int
HrPeerTask_Init(HrTask *task, HrError *err)
{
    const HrDaemon *daemon = task->daemon;
    const HrSettings *settings = daemon->settings;
    PeerTask *peer = talloc_zero(task, PeerTask);
    HrPeerNodeConfig config;

    if (peer == NULL) {
        return HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
    }
    peer->task = task;
    peer->pending = HrPendingTable_Create(peer);
    HrPeerNodeConfig_GetDefaults(&config);
    config.cluster = settings->cluster;
    config.key = settings->peer_key;
    config.daemon_id = daemon->daemon_id;
    config.listen = settings->peer_listen;
    config.queue_bytes = settings->peer_queue_bytes;
    config.max_links = settings->peer_max_links;
    config.idle_ms = settings->peer_idle_ms;
    config.counters = daemon->counters;
    config.fn = handle_link_event;
    config.is_answer_awaited = has_pending_subs;
    config.arg = peer;
    peer->node = HrPeerNode_Create(peer, task->loop, &config, err);
    if (peer->node == NULL || peer->pending == NULL) {
        return HR_ERR_IO;
    }
    task->state = peer;
    task->message_fn = handle_message;
    return HR_OK;
}

/* Returns the TCP port that the task listens on. */
uint16_t
HrPeerTask_GetPort(const HrTask *task)
{
    return HrPeerNode_GetPort(((const PeerTask *)task->state)->node);
}
