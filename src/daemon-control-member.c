#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-member.h"
#include "daemon-control-state.h"
#include "proto-member-codec.h"
#include "state-address.h"

/* Time between two reads of the platform's VM list. It need not be shorter,
 * because the list always lags behind the VMs, and each read costs a store
 * call. */
#define VM_LIST_INTERVAL_NS (5 * HR_NS_PER_S)

struct HrControlMember {
    HrControl *control;
    HrMembership *membership;
    HrLoopTimer *timer;
    HrLoopTimer *vm_timer;
};

static void handle_event(HrControlMember *member, HrMemberEvent *event);

/* Sends a membership message to another daemon. */
static void
send_message(HrControlMember *member, const HrMemberAction *action)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    HrPeerFrame *frame = talloc_zero(message, HrPeerFrame);

    if (message == NULL || frame == NULL ||
        HrMemberMessage_Encode(frame, &action->u.send.message,
                               &frame->u.opaque, NULL) != HR_OK) {
        talloc_free(message);
        return;
    }
    frame->kind = HR_PEER_MEMBER;
    message->u.peer.address =
        HrMessage_CopyText(message, action->u.send.address);
    message->u.peer.new_link = action->u.send.new_connection;
    message->u.peer.frame = frame;
    HrControl_SendFrame(member->control, action->u.send.daemon_id, message);
}

/* Publishes the current view of the members. */
static void
publish_view(HrControlMember *member)
{
    HrTask *task = member->control->task;
    HrMemberView *view = HrMembership_CopyView(member->membership, NULL);

    if (view == NULL) {
        return;
    }
    HrSnapshots_PublishMemberView(task->daemon->snapshots, task->reader, view);
    HrControl_NotifyMembersChanged(member->control);
}

/* Performs the pending actions of the membership. */
static void
perform_actions(HrControlMember *member)
{
    char id[17];
    HrLog *log = member->control->task->daemon->log;
    bool changed = false;
    HrMemberAction action;

    while (HrMembership_PopAction(member->membership, &action)) {
        switch (action.kind) {
        case HR_MEMBER_ACTION_SEND:
            send_message(member, &action);
            break;
        case HR_MEMBER_ACTION_VIEW_CHANGED:
            changed = true;
            break;
        case HR_MEMBER_ACTION_MEMBER_DEAD:
            snprintf(id, sizeof(id), "%016" PRIx64, action.u.dead_id);
            HrLog_Write(log, HR_LOG_WARN, "member_gone", "{s:s}", "daemon_id",
                        id);
            break;
        case HR_MEMBER_ACTION_LEAVING:
            HrLog_Write(log, HR_LOG_INFO, "platform_leaving", NULL);
            HrControlDrain_RequestShutdown(member->control->drain);
            break;
        }
    }
    if (changed) {
        publish_view(member);
    }
}

/* Processes one event in the membership and performs the resulting actions. */
static void
handle_event(HrControlMember *member, HrMemberEvent *event)
{
    HrLoop *loop = member->control->task->loop;

    event->now_ns = HrLoop_NowNs(loop);
    HrMembership_HandleEvent(member->membership, event);
    perform_actions(member);
    HrLoop_SetTimer(loop, member->timer,
                    HrMembership_GetNextTimer(member->membership));
}

/* Sends a TIMER event to the membership. */
static void
handle_timer(void *arg)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_TIMER};

    handle_event(arg, &event);
}

/* Returns the port of an address with its leading colon. */
static const char *
find_port(const char *address)
{
    return strrchr(address, ':');
}

/* Converts an entry of the platform's VM list. An entry that is an IP address
 * without a port gets the peer port of this daemon, which all daemons of a
 * cluster share. */
static void
fill_vm(const HrControlMember *member, const HrStoreVm *source, HrListedVm *vm)
{
    const char *own = member->control->task->daemon->peer_address;
    HrSockAddress parsed;

    if (HrSockAddress_Parse(source->address, &parsed) == HR_OK) {
        snprintf(vm->peer_address, sizeof(vm->peer_address), "%s",
                 source->address);
    }
    else {
        bool is_v6 = strchr(source->address, ':') != NULL;

        snprintf(vm->peer_address, sizeof(vm->peer_address),
                 is_v6 ? "[%s]%s" : "%s%s", source->address, find_port(own));
    }
    vm->leaving = source->leaving;
}

/* Passes the platform's VM list to the membership. An empty list is ignored,
 * because it does not prove that there are no VMs. */
static void
handle_vm_list(void *arg, const HrStoreVm *vms, uint32_t count)
{
    HrControlMember *member = arg;
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_VM_LIST};
    HrListedVm *list = talloc_zero_array(member, HrListedVm, count);
    uint32_t i;

    if (count == 0 || list == NULL) {
        talloc_free(list);
        return;
    }
    for (i = 0; i < count; i++) {
        fill_vm(member, &vms[i], &list[i]);
    }
    event.u.vm_list.vms = list;
    event.u.vm_list.vm_count = count;
    handle_event(member, &event);
    talloc_free(list);
}

/* Starts a read of the platform's VM list and schedules the next one. */
static void
read_vm_list(void *arg)
{
    HrControlMember *member = arg;
    HrLoop *loop = member->control->task->loop;

    HrStoreClient_ListVms(member->control->store, handle_vm_list, member);
    HrLoop_SetTimer(loop, member->vm_timer,
                    HrLoop_NowNs(loop) + VM_LIST_INTERVAL_NS);
}

/* Processes a membership message from the daemon from_id. A message that is
 * malformed, or that names another daemon as its sender, is counted as a bad
 * frame and dropped. */
void
HrControlMember_HandleMessage(HrControlMember *member, uint64_t from_id,
                              HrBytes bytes)
{
    void *scratch = talloc_new(member);
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage message;

    if (HrMemberMessage_Decode(scratch, bytes, &message, NULL) == HR_OK &&
        message.sender.daemon_id == from_id) {
        event.u.message = &message;
        handle_event(member, &event);
    }
    else {
        HrCounters_Add(member->control->task->daemon->counters,
                       HR_COUNTER_peer_bad_frames, 1);
    }
    talloc_free(scratch);
}

/* Announces to the other daemons that this one is leaving. */
void
HrControlMember_AnnounceLeaving(HrControlMember *member)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_LEAVE};

    handle_event(member, &event);
}

/* Announces the spare capacity of this daemon to the others. */
void
HrControlMember_SetSparePercent(HrControlMember *member, uint32_t percent)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_LOAD};

    event.u.spare_percent = percent;
    handle_event(member, &event);
}

/* Fills in the member record of this daemon. */
static void
fill_own_record(const HrDaemon *daemon, HrMember *self)
{
    self->daemon_id = daemon->daemon_id;
    self->incarnation = daemon->incarnation;
    self->spare_percent = 100;
    snprintf(self->peer_address, sizeof(self->peer_address), "%s",
             daemon->peer_address);
    snprintf(self->caller_address, sizeof(self->caller_address), "%s",
             daemon->caller_address);
    snprintf(self->data_centre, sizeof(self->data_centre), "%s",
             daemon->settings->data_centre);
    snprintf(self->region, sizeof(self->region), "%s",
             daemon->settings->region);
}

/* Creates the membership part, adds the peer seeds of the settings, publishes
 * the first view and reads the VM list. Returns NULL when out of memory. */
HrControlMember *
HrControlMember_Create(HrControl *control)
{
    const HrDaemon *daemon = control->task->daemon;
    HrControlMember *member = talloc_zero(control, HrControlMember);
    HrMemberConfig config;
    uint32_t i;

    if (member == NULL) {
        return NULL;
    }
    member->control = control;
    control->member = member;
    HrMemberConfig_GetDefaults(&config);
    fill_own_record(daemon, &config.self);
    config.counters = daemon->counters;
    member->membership = HrMembership_Create(
        member, &config, HrRng_FromSeed(HrRng_DrawU64(&control->task->rng)));
    member->timer = HrLoop_AddTimer(control->task->loop, handle_timer, member);
    member->vm_timer =
        HrLoop_AddTimer(control->task->loop, read_vm_list, member);
    if (member->membership == NULL || member->timer == NULL ||
        member->vm_timer == NULL) {
        return NULL;
    }
    for (i = 0; i < daemon->settings->peer_seed_count; i++) {
        HrMemberEvent event = {.kind = HR_MEMBER_EVENT_SEED};

        event.u.seed = daemon->settings->peer_seeds[i];
        handle_event(member, &event);
    }
    handle_timer(member);
    publish_view(member);
    read_vm_list(member);
    return member;
}

/* Returns how long a state change of this daemon takes to reach all the
 * others, in ns; 0 if there are no others. It equals the suspicion timeout,
 * because a refutation has to spread within that time. */
int64_t
HrControlMember_GetSpreadNs(const HrControlMember *member)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(member->control->task->daemon->snapshots);

    return view != NULL && view->member_count > 1
               ? HrMembership_GetSuspicionTimeoutNs(member->membership)
               : 0;
}
