#include "daemon-control.h"

#include <stdlib.h>
#include <talloc.h>

#include "daemon-control-state.h"

#define RECLAIM_INTERVAL_NS HR_NS_PER_S
#define FULL_PERCENT 100

/* Answers an HTTP request with a JSON value and releases the value. If it is
 * NULL or allocation fails, the status is 500 and the body is an empty object.
 */
void
HrControl_SendJsonAnswer(HrControl *control, HrListenerId listener,
                         uint64_t number, int status, json_t *value)
{
    char *text = value != NULL ? json_dumps(value, JSON_COMPACT) : NULL;

    HrTask_PostMessage(control->task, control->task->daemon->http,
                       HrMessage_CreateHttpAnswer(listener, number,
                                                  text != NULL ? status : 500,
                                                  text != NULL ? text : "{}"));
    free(text);
    json_decref(value);
}

/* Sends a frame to the daemon to_id; 0 means any daemon at the address in
 * the message. The message, created with HR_MESSAGE_SEND_PEER_FRAME, owns the
 * frame, and the receiving task frees the message. */
void
HrControl_SendFrame(HrControl *control, uint64_t to_id, HrMessage *message)
{
    message->u.peer.to_id = to_id;
    HrTask_PostMessage(control->task, control->task->daemon->peer, message);
}

/* Notifies the scheduling tasks that tables or members have changed. */
static void
notify_sched_tasks(HrControl *control)
{
    HrDaemon *daemon = control->task->daemon;
    uint32_t i;

    for (i = 0; i < daemon->sched_count; i++) {
        HrTask_PostMessage(control->task, daemon->sched[i],
                           HrMessage_Create(HR_MESSAGE_SNAPSHOT_CHANGED));
    }
}

/* Notifies the scheduling tasks that the tables have changed. */
void
HrControl_NotifyTablesChanged(HrControl *control)
{
    notify_sched_tasks(control);
}

/* Notifies the configuration, claim and contact parts and the scheduling tasks
 * that the members have changed. */
void
HrControl_NotifyMembersChanged(HrControl *control)
{
    HrControlConfig_UpdateMembers(control->config);
    HrControlClaims_UpdateMembers(control->claims);
    HrControlContacts_UpdateMembers(control->contacts);
    notify_sched_tasks(control);
}

/* Returns the sum of the open requests that the HTTP, query and scheduling
 * tasks have last reported, plus the open claims. */
uint32_t
HrControl_GetOpenCount(const HrControl *control)
{
    uint32_t i, open = HrControlClaims_GetOpenCount(control->claims);

    for (i = 0; i < control->reporting_count; i++) {
        open += control->open_counts[i].open;
    }
    return open;
}

/* Announces the spare capacity of the query tasks to the other daemons, in
 * percent of their maximum number of queries. */
static void
announce_spare_capacity(HrControl *control)
{
    const HrDaemon *daemon = control->task->daemon;
    uint64_t capacity =
        (uint64_t)daemon->settings->max_queries * daemon->query_count;
    uint64_t open = 0;
    uint32_t i, j;

    for (i = 0; i < control->reporting_count; i++) {
        for (j = 0; j < daemon->query_count; j++) {
            if (control->open_counts[i].task == daemon->query[j]) {
                open += control->open_counts[i].open;
            }
        }
    }
    HrControlMember_SetSparePercent(
        control->member,
        open >= capacity
            ? 0
            : (uint32_t)(FULL_PERCENT - open * FULL_PERCENT / capacity));
}

/* Stores the number of open requests that a task has reported. */
static void
update_open_count(HrControl *control, const HrMessage *message)
{
    HrTaskOpenCount *grown;
    uint32_t i;

    for (i = 0; i < control->reporting_count; i++) {
        if (control->open_counts[i].task == message->u.open_count.task) {
            break;
        }
    }
    if (i == control->reporting_count) {
        grown = talloc_realloc(control, control->open_counts, HrTaskOpenCount,
                               i + 1);
        if (grown == NULL) {
            return;
        }
        control->open_counts = grown;
        control->open_counts[i].task = message->u.open_count.task;
        control->reporting_count++;
    }
    control->open_counts[i].open = message->u.open_count.open;
    announce_spare_capacity(control);
    HrControlDrain_UpdateOpenCount(control->drain);
}

/* Passes a frame of another daemon to the part that processes its kind. */
static void
dispatch_frame(HrControl *control, const HrMessage *message)
{
    const HrPeerFrame *frame = message->u.peer.frame;

    switch (frame->kind) {
    case HR_PEER_MEMBER:
        HrControlMember_HandleMessage(control->member, message->u.peer.from_id,
                                      frame->u.opaque);
        break;
    case HR_PEER_CONFIG:
        HrControlConfig_HandleMessage(control->config, message->u.peer.from_id,
                                      frame->u.opaque);
        break;
    case HR_PEER_CLAIM:
        HrControlClaims_HandleMessage(control->claims, frame->u.opaque);
        break;
    case HR_PEER_CONTACT:
        HrControlContacts_HandleFrame(control->contacts, message);
        break;
    default:
        HrControlMaps_HandleFrame(control->maps, message);
        break;
    }
}

/* Processes a message of another task and frees it. */
static void
handle_message(void *state, HrMessage *message)
{
    HrControl *control = state;

    switch (message->kind) {
    case HR_MESSAGE_PEER_FRAME:
        dispatch_frame(control, message);
        break;
    case HR_MESSAGE_HTTP_REQUEST:
        HrControl_ServeRequest(control, message);
        break;
    case HR_MESSAGE_MAPS_REQUEST:
        HrControlMaps_RefreshPool(control->maps, message);
        break;
    case HR_MESSAGE_GROUP_REPORT:
        HrControlMaps_ForwardReport(control->maps, message);
        break;
    case HR_MESSAGE_CLAIM_START:
        HrControlClaims_RequestClaim(control->claims, message);
        break;
    case HR_MESSAGE_CLAIM_OUTCOME:
        HrControlClaims_RecordOutcome(control->claims, message);
        break;
    case HR_MESSAGE_REPORT:
        HrControlReports_AddReport(control->reports, message);
        break;
    case HR_MESSAGE_SIGNAL:
        HrControlDrain_RequestShutdown(control->drain);
        break;
    case HR_MESSAGE_OPEN_COUNT:
        update_open_count(control, message);
        break;
    case HR_MESSAGE_GROUPS_HANDED_OVER:
        HrControlDrain_CountHandover(control->drain);
        break;
    default:
        break;
    }
    talloc_free(message);
}

/* Frees the replaced snapshots that no task reads any more; runs once a
 * second. */
static void
reclaim_snapshots(void *arg)
{
    HrControl *control = arg;
    HrTask *task = control->task;

    HrSnapshots_ReclaimRetired(task->reader);
    HrLoop_SetTimer(task->loop, control->reclaim_timer,
                    HrLoop_NowNs(task->loop) + RECLAIM_INTERVAL_NS);
}

/* Creates the parts of the control task. The membership must be the last one,
 * because it passes its first view to the others. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
create_parts(HrControl *control)
{
    control->store = HrStoreClient_Create(control, control->task->loop,
                                          control->task->daemon->settings);
    return control->store != NULL && HrControlDrain_Create(control) != NULL &&
                   HrControlReports_Create(control) != NULL &&
                   HrControlContacts_Create(control) != NULL &&
                   HrControlMaps_Create(control) != NULL &&
                   HrControlConfig_Create(control) != NULL &&
                   HrControlEdits_Create(control) != NULL &&
                   HrControlClaims_Create(control) != NULL &&
                   HrControlMember_Create(control) != NULL
               ? HR_OK
               : HR_ERR_NO_MEMORY;
}

/* Sets up the control task. exit_fd is an eventfd that the task signals when
 * the process has to exit. Returns 0 or HR_ERR_NO_MEMORY. */
int
HrControlTask_Init(HrTask *task, int exit_fd)
{
    HrControl *control = talloc_zero(task, HrControl);

    if (control == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    control->task = task;
    control->exit_fd = exit_fd;
    control->started_ns = HrLoop_NowNs(task->loop);
    control->reclaim_timer =
        HrLoop_AddTimer(task->loop, reclaim_snapshots, control);
    if (control->reclaim_timer == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    task->state = control;
    task->message_fn = handle_message;
    reclaim_snapshots(control);
    return create_parts(control);
}
