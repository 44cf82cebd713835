#include <talloc.h>

#include "daemon-sched-group.h"

/* The minimum time for which a new scheduler uses only its share of the slots,
 * because the previous one may still send attempts. */
#define TAKEOVER_WAIT_MIN_NS (10 * HR_NS_PER_S)
/* The membership module has a suspicion timeout of max(3, log2(n)) seconds for
 * n members. */
#define SUSPICION_TIMEOUT_MIN_S 3

/* Returns the takeover wait, in which a new scheduler uses only its share of
 * the slots: twice the suspicion timeout, but at least
 * TAKEOVER_WAIT_MIN_NS. */
static int64_t
compute_takeover_wait(const HrMemberView *view)
{
    uint32_t log2n = 0;
    int64_t wait_ns;

    while ((UINT32_C(1) << (log2n + 1)) <= view->member_count) {
        log2n++;
    }
    if (log2n < SUSPICION_TIMEOUT_MIN_S) {
        log2n = SUSPICION_TIMEOUT_MIN_S;
    }
    wait_ns = 2 * (int64_t)log2n * HR_NS_PER_S;
    return wait_ns > TAKEOVER_WAIT_MIN_NS ? wait_ns : TAKEOVER_WAIT_MIN_NS;
}

/* Passes the role that follows from the rank and the takeover wait to the
 * state machine. */
static void
apply_role(HrSchedGroup *group)
{
    HrSchedEvent event = {.kind = HR_SCHED_ROLE};
    int64_t now_ns = HrLoop_NowNs(group->task->loop);

    event.u.role.kind = HR_SCHED_ROLE_CANDIDATE;
    if (group->rank < 0 || !group->placed) {
        event.u.role.kind = HR_SCHED_ROLE_NONE;
    }
    else if (group->rank == 0 && now_ns >= group->takeover_end_ns) {
        event.u.role.kind = HR_SCHED_ROLE_SCHEDULER;
        group->takeover_end_ns = 0;
    }
    HrSchedGroup_HandleEvent(group, &event);
}

/* Sets the end of the takeover wait of this daemon as the new scheduler. There
 * is no wait if the previous scheduler is known and the member view no longer
 * contains it. */
static void
start_takeover_wait(HrSchedGroup *group, const HrMemberView *view)
{
    uint64_t former_id = group->scheduler_id;

    group->takeover_end_ns = 0;
    if (former_id == 0 || HrMemberView_Find(view, former_id) != NULL) {
        group->takeover_end_ns =
            HrLoop_NowNs(group->task->loop) + compute_takeover_wait(view);
    }
}

/* Sets the role from the rank of this daemon among the candidates of the
 * group. */
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
        start_takeover_wait(group, view);
        group->handover_to_id = 0;
    }
    if (rank != 0 && group->rank == 0 && first_id != 0) {
        group->handover_to_id = first_id;
    }
    group->scheduler_id = first_id;
    if (rank == group->rank && is_placed == group->placed) {
        return;
    }
    group->rank = rank;
    group->placed = is_placed;
    apply_role(group);
    if (rank == 0) {
        HrSchedGroup_PollServers(group, true);
    }
}

/* Ends the takeover wait, because another daemon has handed the group over. */
void
HrSchedGroup_AcceptHandover(HrSchedGroup *group, uint64_t from_id)
{
    if (group->rank != 0 || from_id == group->task->daemon->daemon_id) {
        return;
    }
    group->takeover_end_ns = 0;
    apply_role(group);
}

/* Sends the pending handover to the next scheduler, if any. Does nothing while
 * attempts are open, unless force is set. */
void
HrSchedGroup_SendHandover(HrSchedGroup *group, bool force)
{
    HrMessage *message;
    HrPeerFrame *frame;

    if (group->handover_to_id == 0 || (group->attempts != NULL && !force)) {
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
    message->u.peer.to_id = group->handover_to_id;
    message->u.peer.frame = frame;
    group->handover_to_id = 0;
    HrTask_PostMessage(group->task, group->task->daemon->peer, message);
}

/* Applies HR_SCHED_ROLE_SCHEDULER if the takeover wait is over, and returns
 * the end of the wait otherwise. */
int64_t
HrSchedGroup_UpdateRole(HrSchedGroup *group)
{
    if (group->rank != 0 || group->takeover_end_ns == 0) {
        return HR_TIME_NEVER;
    }
    if (HrLoop_NowNs(group->task->loop) < group->takeover_end_ns) {
        return group->takeover_end_ns;
    }
    apply_role(group);
    return HR_TIME_NEVER;
}
