#include <talloc.h>

#include "daemon-sched-group.h"

/* The least time for which a new scheduler uses only its share of the slots,
 * because the former one may still be at work. */
#define HANDOVER_MIN_NS (10 * HR_NS_PER_S)
/* The suspicion timeout is max(3, log2(n)) seconds. */
#define SUSPICION_MIN 3

/* Returns how long a new scheduler waits for the former one. */
static int64_t
handover_ns(const HrMemberView *view)
{
    uint32_t log2n = 0;
    int64_t wait_ns;

    while ((UINT32_C(1) << (log2n + 1)) <= view->member_count) {
        log2n++;
    }
    if (log2n < SUSPICION_MIN) {
        log2n = SUSPICION_MIN;
    }
    wait_ns = 2 * (int64_t)log2n * HR_NS_PER_S;
    return wait_ns > HANDOVER_MIN_NS ? wait_ns : HANDOVER_MIN_NS;
}

/* Tells the state machine its role. */
static void
apply_role(HrSchedGroup *group)
{
    HrSchedEvent event = {.kind = HR_SCHED_ROLE};
    int64_t now_ns = HrLoop_NowNs(group->task->loop);

    event.u.role.kind = HR_SCHED_ROLE_CANDIDATE;
    if (group->rank < 0 || !group->placed) {
        event.u.role.kind = HR_SCHED_ROLE_NONE;
    }
    else if (group->rank == 0 && now_ns >= group->full_from_ns) {
        event.u.role.kind = HR_SCHED_ROLE_SCHEDULER;
        group->full_from_ns = 0;
    }
    HrSchedGroup_Handle(group, &event);
}

/* Notes that this daemon is the scheduler now. The wait is left out when the
 * former one is known to be gone: it is in no view any more. */
static void
become_scheduler(HrSchedGroup *group, const HrMemberView *view)
{
    uint64_t former_id = group->scheduler_id;

    group->full_from_ns = 0;
    if (former_id == 0 || HrMemberView_Find(view, former_id) != NULL) {
        group->full_from_ns =
            HrLoop_NowNs(group->task->loop) + handover_ns(view);
    }
}

/* Applies the rank of this daemon in a member view. */
void
HrSchedGroup_SetRank(HrSchedGroup *group, const HrPlacedGroup *placed,
                     const HrMemberView *view)
{
    uint64_t self_id = group->task->daemon->daemon_id;
    uint64_t first_id =
        placed != NULL && placed->count > 0 ? placed->ids[0] : 0;
    int rank = placed != NULL ? HrPlacedGroup_GetRank(placed, self_id) : -1;
    bool is_placed = rank >= 0;

    if (rank == 0 && group->rank != 0) {
        become_scheduler(group, view);
        group->handover_to = 0;
    }
    if (rank != 0 && group->rank == 0 && first_id != 0) {
        group->handover_to = first_id;
    }
    group->scheduler_id = first_id;
    if (rank == group->rank && is_placed == group->placed) {
        return;
    }
    group->rank = rank;
    group->placed = is_placed;
    apply_role(group);
    if (rank == 0) {
        HrSchedGroup_PollSoon(group, true);
    }
}

/* Notes that a daemon has handed the group over. */
void
HrSchedGroup_HandedOver(HrSchedGroup *group, uint64_t from_id)
{
    if (group->rank != 0 || from_id == group->task->daemon->daemon_id) {
        return;
    }
    group->full_from_ns = 0;
    apply_role(group);
}

/* Tells the next scheduler that this daemon has stopped, once it has. */
void
HrSchedGroup_SendHandover(HrSchedGroup *group, bool force)
{
    HrMessage *message;
    HrPeerFrame *frame;

    if (group->handover_to == 0 || (group->attempts != NULL && !force)) {
        return;
    }
    message = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    frame = talloc_zero(message, HrPeerFrame);
    if (message == NULL || frame == NULL) {
        talloc_free(message);
        return;
    }
    frame->kind = HR_PEER_HANDOVER;
    frame->u.handover.pool = HrMessage_CopyText(message, group->pool);
    frame->u.handover.group = HrMessage_CopyText(message, group->name);
    message->u.peer.to_id = group->handover_to;
    message->u.peer.frame = frame;
    group->handover_to = 0;
    HrTask_Post(group->task, group->task->daemon->peer, message);
}

/* Raises the role when the waiting time of a new scheduler is over. */
int64_t
HrSchedGroup_CheckRole(HrSchedGroup *group)
{
    if (group->rank != 0 || group->full_from_ns == 0) {
        return HR_TIME_NEVER;
    }
    if (HrLoop_NowNs(group->task->loop) < group->full_from_ns) {
        return group->full_from_ns;
    }
    apply_role(group);
    return HR_TIME_NEVER;
}
