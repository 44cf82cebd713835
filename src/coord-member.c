#include "coord-member.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coord-member-table.h"

/* Queues an action and returns it for the caller to fill in; NULL when out of
 * memory. */
HrMemberQueuedAction *
HrMembership_PushAction(HrMembership *membership, HrMemberActionKind kind)
{
    HrMemberQueuedAction *queued =
        talloc_zero(membership, HrMemberQueuedAction);

    if (queued == NULL) {
        return NULL;
    }
    queued->action.kind = kind;
    STAILQ_INSERT_TAIL(&membership->actions, queued, link);
    return queued;
}

/* Frees the action that was popped last. */
static void
free_popped(HrMembership *membership)
{
    talloc_free(membership->popped);
    membership->popped = NULL;
}

/* Returns the minimum time in ns between two requests for a full list if only
 * the view digests differ, which is frequent in a large cluster while updates
 * spread. The time grows with the number of members, plus a random part of up
 * to a quarter. */
static int64_t
draw_list_interval_ns(HrMembership *membership)
{
    int64_t interval_ns = membership->config.list_interval_ns +
                          membership->config.list_per_member_ns *
                              (int64_t)membership->live_count;

    return interval_ns + (int64_t)HrRng_DrawBelow(
                             &membership->rng, (uint64_t)interval_ns / 4 + 1);
}

/* Requests the full list of the sender of a message if the views differ. Full
 * lists deliver lost updates, send a new daemon the other members, and join
 * the parts of a cluster after a partition. The minimum time since the last
 * request is therefore shorter if the sender was no live member in this view,
 * or if its view has over 2 % more members. */
static void
request_list_if_needed(HrMembership *membership,
                       const HrMemberMessage *message, bool was_live)
{
    HrMemberMessage request = {.kind = HR_MEMBER_MESSAGE_LIST_REQUEST};
    uint32_t own_count = membership->live_count + 1;
    bool likely_incomplete =
        !was_live || message->member_count > own_count + own_count / 50;
    int64_t now_ns = membership->now_ns;

    if (message->view_digest == HrMemberTable_GetDigest(membership) ||
        now_ns < membership->next_list_retry_ns ||
        (!likely_incomplete && now_ns < membership->next_list_request_ns)) {
        return;
    }
    membership->next_list_retry_ns = now_ns + membership->config.list_retry_ns;
    membership->next_list_request_ns =
        now_ns + draw_list_interval_ns(membership);
    membership->list_change_count = 0;
    HrMembership_SendMessage(
        membership, HrMemberTable_Find(membership, message->sender.daemon_id),
        message->sender.peer_address, request, false);
}

/* Handles a page of a full list, whose records are merged already. If the list
 * has changed many records, as after a partition, another one may be requested
 * earlier, since its sender's view may have been incomplete as well. */
static void
handle_list_page(HrMembership *membership)
{
    int64_t earliest_ns =
        membership->now_ns + membership->config.list_interval_ns;

    if (membership->list_change_count > membership->live_count / 500 + 1 &&
        earliest_ns < membership->next_list_request_ns) {
        membership->next_list_request_ns = earliest_ns;
    }
}

/* Queues one page of the full list for the sender of a request. */
static void
send_list_page(HrMembership *membership, const HrMemberMessage *request,
               const HrMember *records, uint32_t count)
{
    HrMemberMessage page = {.kind = HR_MEMBER_MESSAGE_LIST};
    HrMemberQueuedAction *queued;

    HrMembership_SendMessage(
        membership, HrMemberTable_Find(membership, request->sender.daemon_id),
        request->sender.peer_address, page, false);
    queued = STAILQ_LAST(&membership->actions, HrMemberQueuedAction, link);
    if (queued == NULL || queued->action.kind != HR_MEMBER_ACTION_SEND ||
        queued->action.u.send.message.kind != HR_MEMBER_MESSAGE_LIST) {
        return;
    }
    queued->action.u.send.message.updates =
        talloc_memdup(queued, records, count * sizeof(*records));
    if (queued->action.u.send.message.updates != NULL) {
        queued->action.u.send.message.update_count = count;
    }
}

/* Sends the full list, dead members included, in pages. Ignores a request too
 * soon after the last list: after a partition all members send requests, and
 * other members can answer them, too. */
static void
handle_list_request(HrMembership *membership, const HrMemberMessage *request)
{
    HrMember records[HR_MEMBER_PAGE_SIZE];
    HrMemberNode *node;
    uint32_t count = 0;

    if (membership->now_ns < membership->next_list_reply_ns) {
        return;
    }
    membership->next_list_reply_ns =
        membership->now_ns + membership->config.list_reply_per_member_ns *
                                 (int64_t)membership->live_count;
    for (node = membership->nodes; node != NULL; node = node->by_id.next) {
        records[count++] = node->record;
        if (count == HR_MEMBER_PAGE_SIZE) {
            send_list_page(membership, request, records, count);
            count = 0;
        }
    }
    if (count > 0) {
        send_list_page(membership, request, records, count);
    }
}

/* Merges the records in a message. Returns true if its sender was a live
 * member before. */
static bool
merge_records(HrMembership *membership, const HrMemberMessage *message)
{
    HrMemberNode *node =
        HrMemberTable_Find(membership, message->sender.daemon_id);
    bool was_live = node != NULL && node->record.state != HR_MEMBER_DEAD;
    HrMemberSource source = message->kind == HR_MEMBER_MESSAGE_LIST
                                ? HR_MEMBER_SOURCE_LIST
                                : HR_MEMBER_SOURCE_UPDATE;
    uint32_t i;

    HrMemberTable_MergeRecord(membership, &message->sender,
                              HR_MEMBER_SOURCE_DIRECT);
    for (i = 0; i < message->update_count && i < HR_MEMBER_PAGE_SIZE; i++) {
        HrMemberTable_MergeRecord(membership, &message->updates[i], source);
    }
    return was_live;
}

/* Handles a message from another daemon. Ignores one whose sender has no id or
 * no address or has this daemon's id. */
static void
handle_message(HrMembership *membership, const HrMemberMessage *message)
{
    bool was_live;

    if (message->sender.daemon_id == membership->self.daemon_id ||
        message->sender.daemon_id == 0 ||
        message->sender.peer_address[0] == '\0') {
        return;
    }
    was_live = merge_records(membership, message);
    switch (message->kind) {
    case HR_MEMBER_MESSAGE_PROBE:
        HrMembership_HandleProbe(membership, message);
        request_list_if_needed(membership, message, was_live);
        break;
    case HR_MEMBER_MESSAGE_ACK:
        HrMembership_HandleAck(membership, message);
        request_list_if_needed(membership, message, was_live);
        break;
    case HR_MEMBER_MESSAGE_PROBE_REQUEST:
        HrMembership_HandleProbeRequest(membership, message);
        break;
    case HR_MEMBER_MESSAGE_LIST_REQUEST:
        handle_list_request(membership, message);
        break;
    case HR_MEMBER_MESSAGE_LIST:
        handle_list_page(membership);
        break;
    }
}

/* On the first event, sets the start time and schedules the first probe. Its
 * time is random within the probe interval, so that daemons that start
 * together do not all probe at the same time. */
static void
schedule_first_probe(HrMembership *membership)
{
    if (membership->started) {
        return;
    }
    membership->started = true;
    membership->started_ns = membership->now_ns;
    membership->next_probe_ns =
        membership->now_ns +
        (int64_t)HrRng_DrawBelow(
            &membership->rng, (uint64_t)membership->config.probe_interval_ns);
}

/* Handles a pause of this process, detected by an event that is processed at
 * least probe_timeout_ns after the timer was due. Answers to probes may then
 * still be unread, so the pending probe is dropped, and all deadlines are
 * postponed by the length of the pause. */
static void
handle_pause(HrMembership *membership)
{
    int64_t late_ns =
        membership->now_ns - HrMembership_GetNextTimer(membership);

    if (late_ns < membership->config.probe_timeout_ns) {
        return;
    }
    HrCounters_Add(membership->config.counters, HR_COUNTER_member_pauses, 1);
    HrMembership_ClearPendingProbe(membership);
    HrMemberTable_PostponeDeadlines(membership, late_ns);
}

/* Fills in the default values; self is zeroed. */
void
HrMemberConfig_GetDefaults(HrMemberConfig *config)
{
    memset(config, 0, sizeof(*config));
    config->probe_interval_ns = HR_NS_PER_S;
    config->probe_timeout_ns = 300 * HR_NS_PER_MS;
    config->indirect_timeout_ns = 600 * HR_NS_PER_MS;
    config->indirect_probes = 3;
    config->suspicion_unit_ns = HR_NS_PER_S;
    config->retransmit_factor = 3;
    config->dead_retention_ns = 60 * HR_NS_PER_S;
    config->rejoin_probe_every = 10;
    /* A full list of 1,900 members is about 170 KB: one in 105 s (10 s and 50
     * ms per member) needs under 2 KB/s. After a partition a daemon sends one
     * in 2 s for a while. */
    config->list_retry_ns = 2 * HR_NS_PER_S;
    config->list_interval_ns = 10 * HR_NS_PER_S;
    config->list_per_member_ns = 50 * HR_NS_PER_MS;
    config->list_reply_per_member_ns = HR_NS_PER_MS;
    config->vm_list_lag_ns = 60 * HR_NS_PER_S;
}

/* Frees the hash tables, which are not allocated with talloc. */
static int
destroy_membership(HrMembership *membership)
{
    HASH_CLEAR(by_address, membership->addresses);
    HASH_CLEAR(by_id, membership->nodes);
    HASH_CLEAR(hh, membership->seeds);
    return 0;
}

/* Creates the membership module of one daemon. Its view has only this daemon
 * at first. */
HrMembership *
HrMembership_Create(const void *parent, const HrMemberConfig *config,
                    HrRng rng)
{
    HrMembership *membership = talloc_zero(parent, HrMembership);

    if (membership == NULL) {
        return NULL;
    }
    membership->config = *config;
    membership->rng = rng;
    membership->self = config->self;
    membership->self.state = HR_MEMBER_ALIVE;
    membership->self.spare_percent = 100;
    membership->view_changed = true;
    membership->next_probe_ns = HR_TIME_NEVER;
    STAILQ_INIT(&membership->actions);
    HrMembership_ClearPendingProbe(membership);
    HrMemberTable_Init(membership);
    talloc_set_destructor(membership, destroy_membership);
    return membership;
}

void
HrMembership_HandleEvent(HrMembership *membership, const HrMemberEvent *event)
{
    free_popped(membership);
    membership->now_ns = event->now_ns;
    schedule_first_probe(membership);
    handle_pause(membership);
    switch (event->kind) {
    case HR_MEMBER_EVENT_TIMER:
        break;
    case HR_MEMBER_EVENT_MESSAGE:
        handle_message(membership, event->u.message);
        break;
    case HR_MEMBER_EVENT_VM_LIST:
        HrMembership_HandleVmList(membership, event->u.vm_list.vms,
                                  event->u.vm_list.vm_count);
        break;
    case HR_MEMBER_EVENT_SEED:
        HrMembership_AddSeed(membership, event->u.seed);
        break;
    case HR_MEMBER_EVENT_LOAD:
        membership->self.spare_percent =
            event->u.spare_percent < 100 ? event->u.spare_percent : 100;
        break;
    case HR_MEMBER_EVENT_LEAVE:
        HrMemberTable_SetSelfLeaving(membership);
        break;
    }
    HrMemberTable_HandleDeadlines(membership);
    HrMembership_HandleProbeTimers(membership);
    if (membership->view_changed) {
        membership->view_changed = false;
        HrMembership_PushAction(membership, HR_MEMBER_ACTION_VIEW_CHANGED);
    }
}

/* Pops the next pending action; returns false when there is none. */
bool
HrMembership_PopAction(HrMembership *membership, HrMemberAction *action)
{
    HrMemberQueuedAction *queued = STAILQ_FIRST(&membership->actions);

    free_popped(membership);
    if (queued == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&membership->actions, link);
    membership->popped = queued;
    *action = queued->action;
    return true;
}

/* Returns the time of the next TIMER event: the earliest deadline of a member,
 * or that of the pending probe or, if none is pending, the time of the next
 * probe. */
int64_t
HrMembership_GetNextTimer(const HrMembership *membership)
{
    int64_t next_ns = HrMemberTable_GetNextDeadline(membership);

    if (membership->probe.target_id != 0) {
        if (membership->probe.deadline_ns < next_ns) {
            next_ns = membership->probe.deadline_ns;
        }
    }
    else if (membership->next_probe_ns < next_ns) {
        next_ns = membership->next_probe_ns;
    }
    return next_ns;
}

static int
compare_members(const void *left, const void *right)
{
    uint64_t left_id = ((const HrMember *)left)->daemon_id;
    uint64_t right_id = ((const HrMember *)right)->daemon_id;

    return left_id < right_id ? -1 : left_id > right_id ? 1 : 0;
}

/* Returns a copy of the current view, without dead members and sorted by id.
 * See the header. */
HrMemberView *
HrMembership_CopyView(HrMembership *membership, const void *parent)
{
    HrMemberView *view = talloc_zero(parent, HrMemberView);
    HrMemberNode *node;

    if (view == NULL) {
        return NULL;
    }
    view->self_id = membership->self.daemon_id;
    view->revision = ++membership->view_revision;
    view->members = talloc_array(view, HrMember, membership->live_count + 1);
    if (view->members == NULL) {
        talloc_free(view);
        return NULL;
    }
    view->members[view->member_count++] = membership->self;
    for (node = membership->nodes; node != NULL; node = node->by_id.next) {
        if (node->record.state != HR_MEMBER_DEAD) {
            view->members[view->member_count++] = node->record;
        }
    }
    qsort(view->members, view->member_count, sizeof(HrMember),
          compare_members);
    return view;
}
