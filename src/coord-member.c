#include "coord-member.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coord-member-table.h"

/* Queues an action and returns it for the caller to fill in; NULL when memory
 * is short. */
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
 * the digests differ. In a large cluster they often do, while updates spread.
 * The time grows with the cluster and has a random part of up to a quarter. */
static int64_t
get_list_interval(HrMembership *membership)
{
    int64_t pause_ns = membership->config.list_interval_ns +
                       membership->config.list_per_member_ns *
                           (int64_t)membership->live_count;

    return pause_ns + (int64_t)HrRng_DrawBelow(&membership->rng,
                                               (uint64_t)pause_ns / 4 + 1);
}

/* Requests the full list of the sender of a message if the views differ.
 * Full lists deliver lost updates, give a new daemon the other members, and
 * join the parts of a cluster after a partition. For these, a sender that was
 * no live member here, or that knows over 2 % more members, is asked with a
 * shorter minimum time since the last request. */
static void
request_list_if_useful(HrMembership *membership,
                       const HrMemberMessage *message, bool known)
{
    HrMemberMessage request = {.kind = HR_MEMBER_MESSAGE_LIST_REQUEST};
    uint32_t own_count = membership->live_count + 1;
    bool likely_useful =
        !known || message->member_count > own_count + own_count / 50;
    int64_t now_ns = membership->now_ns;

    if (message->view_digest == HrMemberTable_GetDigest(membership) ||
        now_ns < membership->next_list_retry_ns ||
        (!likely_useful && now_ns < membership->next_list_request_ns)) {
        return;
    }
    membership->next_list_retry_ns = now_ns + membership->config.list_retry_ns;
    membership->next_list_request_ns = now_ns + get_list_interval(membership);
    membership->list_changes = 0;
    HrMembership_Send(
        membership, HrMemberTable_Find(membership, message->sender.daemon_id),
        message->sender.peer_address, request, false);
}

/* Handles the arrival of a page of a full list. If the list has changed many
 * records, as after a partition, another one may be requested earlier, since
 * its sender may not have known all members either. */
static void
record_list_page(HrMembership *membership)
{
    int64_t soon_ns = membership->now_ns + membership->config.list_interval_ns;

    if (membership->list_changes > membership->live_count / 500 + 1 &&
        soon_ns < membership->next_list_request_ns) {
        membership->next_list_request_ns = soon_ns;
    }
}

/* Queues one page of the full list for the sender of a request. */
static void
send_page(HrMembership *membership, const HrMemberMessage *request,
          const HrMember *records, uint32_t count)
{
    HrMemberMessage page = {.kind = HR_MEMBER_MESSAGE_LIST};
    HrMemberQueuedAction *queued;

    HrMembership_Send(
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

/* Sends the full list, dead members included, in pages. A request too soon
 * after the last one is ignored: after a partition all members send requests,
 * and other members can answer too. */
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
            send_page(membership, request, records, count);
            count = 0;
        }
    }
    if (count > 0) {
        send_page(membership, request, records, count);
    }
}

/* Merges the records that a message carries; returns whether its sender was a
 * live member before. */
static bool
merge_message(HrMembership *membership, const HrMemberMessage *message)
{
    HrMemberNode *node =
        HrMemberTable_Find(membership, message->sender.daemon_id);
    bool known = node != NULL && node->record.state != HR_MEMBER_DEAD;
    HrMemberSource source = message->kind == HR_MEMBER_MESSAGE_LIST
                                ? HR_MEMBER_SOURCE_LIST
                                : HR_MEMBER_SOURCE_UPDATE;
    uint32_t i;

    HrMemberTable_Merge(membership, &message->sender, HR_MEMBER_SOURCE_DIRECT);
    for (i = 0; i < message->update_count && i < HR_MEMBER_PAGE_SIZE; i++) {
        HrMemberTable_Merge(membership, &message->updates[i], source);
    }
    return known;
}

/* Handles a message from another daemon. One without a usable sender, or with
 * this daemon's id, is ignored. */
static void
handle_message(HrMembership *membership, const HrMemberMessage *message)
{
    bool known;

    if (message->sender.daemon_id == membership->self.daemon_id ||
        message->sender.daemon_id == 0 ||
        message->sender.peer_address[0] == '\0') {
        return;
    }
    known = merge_message(membership, message);
    switch (message->kind) {
    case HR_MEMBER_MESSAGE_PROBE:
        HrMembership_HandleProbe(membership, message);
        request_list_if_useful(membership, message, known);
        break;
    case HR_MEMBER_MESSAGE_ACK:
        HrMembership_HandleAck(membership, message);
        request_list_if_useful(membership, message, known);
        break;
    case HR_MEMBER_MESSAGE_PROBE_REQUEST:
        HrMembership_HandleProbeRequest(membership, message);
        break;
    case HR_MEMBER_MESSAGE_LIST_REQUEST:
        handle_list_request(membership, message);
        break;
    case HR_MEMBER_MESSAGE_LIST:
        record_list_page(membership);
        break;
    }
}

/* Sets the start time and the first probe at the first event. The first probe
 * is at a random time within the interval, so that daemons that start together
 * do not all probe at the same time. */
static void
start_timers(HrMembership *membership)
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

/* Detects a pause of this process by an event that comes long after the timer
 * was due. Answers to probes may then still be unread, so the pending probe is
 * dropped, and all deadlines are postponed by the length of the pause. */
static void
detect_pause(HrMembership *membership)
{
    int64_t late_ns =
        membership->now_ns - HrMembership_GetNextTimer(membership);

    if (late_ns < membership->config.probe_timeout_ns) {
        return;
    }
    HrCounters_Add(membership->config.counters, HR_COUNTER_member_pauses, 1);
    HrMembership_ClearProbe(membership);
    HrMemberTable_ShiftDeadlines(membership, late_ns);
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
    config->dead_keep_ns = 60 * HR_NS_PER_S;
    config->rejoin_probe_every = 10;
    /* A full list of 1,900 members is about 170 KB: one in 105 s (10 s and
     * 50 ms per member) takes under 2 KB/s. After a partition a daemon sends
     * one in 2 s for a while. */
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

/* Creates the membership of one daemon, which knows only itself at first. */
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
    HrMembership_ClearProbe(membership);
    HrMemberTable_Init(membership);
    talloc_set_destructor(membership, destroy_membership);
    return membership;
}

void
HrMembership_HandleEvent(HrMembership *membership, const HrMemberEvent *event)
{
    free_popped(membership);
    membership->now_ns = event->now_ns;
    start_timers(membership);
    detect_pause(membership);
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
        HrMemberTable_Leave(membership);
        break;
    }
    HrMemberTable_RunDeadlines(membership);
    HrMembership_RunProbes(membership);
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

/* Returns the time of the next timer event: the earliest deadline of a member,
 * of the pending probe or, when none is pending, the next probe. */
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
