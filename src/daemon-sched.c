#include "daemon-sched.h"

#include <string.h>
#include <talloc.h>

#include "daemon-report.h"
#include "daemon-sched-group.h"

/* Idle groups are freed, and open requests reported, at this interval. */
#define SWEEP_INTERVAL_NS HR_NS_PER_S

/* The state of a scheduling task. */
typedef struct SchedTask {
    HrTask *task;
    HrPlacement *placement;
    HrSchedGroup *groups; /* hash by key */
    uint64_t tables_revision;
    HrLoopTimer *sweep_timer;
    bool draining;
    uint32_t reported_open;
} SchedTask;

/* Returns a group, or NULL if it does not exist or when out of memory. */
static HrSchedGroup *
find_group(SchedTask *state, const char *pool, const char *name)
{
    char *key = talloc_asprintf(NULL, "%s\n%s", pool, name);
    HrSchedGroup *group = NULL;

    if (key != NULL) {
        HASH_FIND_STR(state->groups, key, group);
        talloc_free(key);
    }
    return group;
}

/* Returns a group, which is created if it does not exist. Returns NULL when
 * out of memory. */
static HrSchedGroup *
find_or_create_group(SchedTask *state, const char *pool, const char *name)
{
    HrSchedGroup *group = find_group(state, pool, name);

    if (group == NULL) {
        group = HrSchedGroup_Create(state->task, pool, name);
        if (group != NULL) {
            HASH_ADD_KEYPTR(hh, state->groups, group->key, strlen(group->key),
                            group);
        }
    }
    return group;
}

/* Applies the current tables and member view to a group, if it belongs to this
 * task. A group is created only if this daemon is one of its candidates. */
static void
update_group(SchedTask *state, const HrPlacedGroup *placed,
             const HrTables *tables, const HrMemberView *view, bool new_tables)
{
    HrDaemon *daemon = state->task->daemon;
    HrSchedGroup *group;
    const HrPool *pool;
    bool is_new;

    if (HrDaemon_GetSchedTask(daemon, placed->pool, placed->group) !=
        state->task) {
        return;
    }
    group = find_group(state, placed->pool, placed->group);
    is_new = group == NULL;
    if (is_new && HrPlacedGroup_GetRank(placed, daemon->daemon_id) < 0) {
        return;
    }
    group = find_or_create_group(state, placed->pool, placed->group);
    pool = HrTables_FindPool(tables, placed->pool);
    if (group == NULL || pool == NULL) {
        return;
    }
    HrSchedGroup_SetRank(group, placed, view);
    if (is_new || new_tables) {
        HrSchedGroup_SetPool(group, pool);
    }
}

/* Ends the role of this daemon in the groups that are no longer in the tables.
 */
static void
release_removed_groups(SchedTask *state, const HrMemberView *view)
{
    HrSchedGroup *group, *next;

    for (group = state->groups; group != NULL; group = next) {
        next = group->hh.next;
        if (HrPlacement_FindGroup(state->placement, group->pool,
                                  group->name) == NULL) {
            HrSchedGroup_SetRank(group, NULL, view);
        }
    }
}

/* Frees the groups that have no role, no pending sub-request, no open attempt
 * and no handover to send. */
static void
free_idle_groups(SchedTask *state)
{
    HrSchedGroup *group, *next;

    for (group = state->groups; group != NULL; group = next) {
        next = group->hh.next;
        if (HrSchedGroup_IsIdle(group)) {
            HASH_DELETE(hh, state->groups, group);
            talloc_free(group);
        }
    }
}

/* Updates all groups if the tables or the members have changed. */
static void
update_groups(SchedTask *state)
{
    HrSnapshots *snapshots = state->task->daemon->snapshots;
    const HrTables *tables = HrSnapshots_GetTables(snapshots);
    const HrMemberView *view = HrSnapshots_GetMemberView(snapshots);
    const HrPlacedGroup *placed = NULL;
    bool new_tables;

    if (tables == NULL || view == NULL ||
        !HrPlacement_Update(state->placement, tables, view)) {
        return;
    }
    new_tables = tables->revision != state->tables_revision;
    state->tables_revision = tables->revision;
    while ((placed = HrPlacement_GetNextGroup(state->placement, placed)) !=
           NULL) {
        update_group(state, placed, tables, view, new_tables);
    }
    release_removed_groups(state, view);
}

/* Declines a sub-request for a group that this daemon does not schedule. */
static void
decline_request(SchedTask *state, const HrOrigin *origin,
                const HrSubRequest *request)
{
    HrSubAnswer answer = {.query = request->query,
                          .sub_id = request->sub_id,
                          .shard = request->shard,
                          .version = request->version,
                          .outcome = HR_OUTCOME_DECLINED,
                          .reason = HR_REASON_NOT_SCHEDULER};

    HrSchedGroup_PostAnswer(state->task, origin, &answer);
}

/* Adds sub-requests to their groups; those of unknown groups are declined. */
static void
add_requests(SchedTask *state, const HrMessage *message)
{
    const HrSubRequest *requests = message->u.requests.requests;
    uint32_t i;

    for (i = 0; i < message->u.requests.request_count; i++) {
        HrSchedGroup *group =
            find_group(state, requests[i].pool, requests[i].group);

        if (group == NULL) {
            decline_request(state, &message->u.requests.origin, &requests[i]);
            continue;
        }
        HrSchedGroup_AddRequest(group, &message->u.requests.origin,
                                &requests[i]);
    }
}

/* Cancels a sub-request. */
static void
cancel_request(SchedTask *state, const HrPeerSubCancel *cancel)
{
    HrSchedGroup *group = find_group(state, cancel->pool, cancel->group);

    if (group != NULL) {
        HrSchedGroup_CancelRequest(group, &cancel->query, cancel->sub_id,
                                   cancel->reason);
    }
}

/* Cancels the sub-requests that were received over a peer link that is
 * closed. */
static void
cancel_link(SchedTask *state, uint64_t link)
{
    HrSchedGroup *group, *next;

    for (group = state->groups; group != NULL; group = next) {
        next = group->hh.next;
        HrSchedGroup_CancelLinkRequests(group, link);
    }
}

/* Handles a message that another daemon has handed a group over to this one.
 */
static void
accept_handover(SchedTask *state, const HrMessage *message)
{
    const HrPeerHandover *handover = &message->u.peer.frame->u.handover;
    HrSchedGroup *group = find_group(state, handover->pool, handover->group);

    if (group != NULL) {
        HrSchedGroup_AcceptHandover(group, message->u.peer.from_id);
    }
}

/* Sends all pending handovers despite open attempts, and notifies the control
 * task. */
static void
hand_over_groups(SchedTask *state)
{
    HrSchedGroup *group, *next;

    for (group = state->groups; group != NULL; group = next) {
        next = group->hh.next;
        HrSchedGroup_SendHandover(group, true);
    }
    HrTask_PostMessage(state->task, state->task->daemon->control,
                       HrMessage_Create(HR_MESSAGE_GROUPS_HANDED_OVER));
}

/* Returns the number of pending sub-requests and open attempts. */
static uint32_t
count_open(const SchedTask *state)
{
    const HrSchedGroup *group;
    uint32_t open = 0;

    for (group = state->groups; group != NULL; group = group->hh.next) {
        open += HASH_COUNT(group->pending) + HASH_COUNT(group->attempts);
    }
    return open;
}

/* Updates the groups, frees idle ones and reports the number of pending
 * sub-requests and open attempts; runs every SWEEP_INTERVAL_NS. */
static void
handle_sweep_timer(void *arg)
{
    SchedTask *state = arg;

    update_groups(state);
    free_idle_groups(state);
    HrTask_ReportOpenCount(state->task, count_open(state),
                           &state->reported_open);
    HrLoop_SetTimer(state->task->loop, state->sweep_timer,
                    HrLoop_NowNs(state->task->loop) + SWEEP_INTERVAL_NS);
}

/* Handles and frees a message from another task. */
static void
handle_message(void *arg, HrMessage *message)
{
    SchedTask *state = arg;

    switch (message->kind) {
    case HR_MESSAGE_SUB_REQUESTS:
        update_groups(state);
        add_requests(state, message);
        break;
    case HR_MESSAGE_SUB_CANCEL:
        cancel_request(state, &message->u.cancel.cancel);
        break;
    case HR_MESSAGE_LINK_CLOSED:
        cancel_link(state, message->u.link);
        break;
    case HR_MESSAGE_SNAPSHOT_CHANGED:
        update_groups(state);
        break;
    case HR_MESSAGE_HANDOVER_FRAME:
        accept_handover(state, message);
        break;
    case HR_MESSAGE_HAND_OVER_GROUPS:
        hand_over_groups(state);
        break;
    case HR_MESSAGE_REPORT_REQUEST:
        HrReport_SendGroupStats(state->task, message->u.report.number,
                                state->groups);
        break;
    default:
        break;
    }
    talloc_free(message);
}

/* Clears the hash, whose groups talloc frees next. */
static int
destroy_state(SchedTask *state)
{
    HASH_CLEAR(hh, state->groups);
    return 0;
}

/* Initializes a scheduling task. */
int
HrSchedTask_Init(HrTask *task)
{
    SchedTask *state = talloc_zero(task, SchedTask);

    if (state == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    state->task = task;
    state->placement = HrPlacement_Create(state);
    state->sweep_timer =
        HrLoop_AddTimer(task->loop, handle_sweep_timer, state);
    if (state->placement == NULL || state->sweep_timer == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    talloc_set_destructor(state, destroy_state);
    task->state = state;
    task->message_fn = handle_message;
    HrLoop_SetTimer(task->loop, state->sweep_timer,
                    HrLoop_NowNs(task->loop) + SWEEP_INTERVAL_NS);
    return HR_OK;
}
