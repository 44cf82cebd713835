#include "daemon-control.h"

#include <stdlib.h>
#include <talloc.h>

#include "daemon-control-state.h"

#define RECLAIM_NS HR_NS_PER_S
#define PERCENT 100

/* Answers an HTTP request with a JSON value, which is released. */
void
HrControl_AnswerJson(HrControl *control, HrListenerId listener,
                     uint64_t number, int status, json_t *value)
{
    char *text = value != NULL ? json_dumps(value, JSON_COMPACT) : NULL;

    HrTask_Post(control->task, control->task->daemon->http,
                HrMessage_CreateHttpAnswer(listener, number,
                                           text != NULL ? status : 500,
                                           text != NULL ? text : "{}"));
    free(text);
    json_decref(value);
}

/* Sends a frame to a daemon. */
void
HrControl_SendFrame(HrControl *control, uint64_t to_id, HrMessage *message)
{
    message->u.peer.to_id = to_id;
    HrTask_Post(control->task, control->task->daemon->peer, message);
}

/* Tells the scheduling tasks that tables or members have changed. */
static void
notify_sched(HrControl *control)
{
    HrDaemon *daemon = control->task->daemon;
    uint32_t i;

    for (i = 0; i < daemon->sched_count; i++) {
        HrTask_Post(control->task, daemon->sched[i],
                    HrMessage_Create(HR_MESSAGE_SNAPSHOT_CHANGED));
    }
}

/* Tells all parts and tasks that the tables have changed. */
void
HrControl_TablesChanged(HrControl *control)
{
    notify_sched(control);
}

/* Tells all parts and tasks that the members have changed. */
void
HrControl_MembersChanged(HrControl *control)
{
    HrControlConfig_MembersChanged(control->config);
    HrControlClaims_MembersChanged(control->claims);
    HrControlContacts_MembersChanged(control->contacts);
    notify_sched(control);
}

/* Returns the number of open queries, batches and claims. */
uint32_t
HrControl_OpenCount(const HrControl *control)
{
    uint32_t i, open = HrControlClaims_Open(control->claims);

    for (i = 0; i < control->load_count; i++) {
        open += control->loads[i].open;
    }
    return open;
}

/* Announces the spare capacity of the query tasks. */
static void
update_spare(HrControl *control)
{
    const HrDaemon *daemon = control->task->daemon;
    uint64_t capacity =
        (uint64_t)daemon->settings->max_queries * daemon->query_count;
    uint64_t open = 0;
    uint32_t i, j;

    for (i = 0; i < control->load_count; i++) {
        for (j = 0; j < daemon->query_count; j++) {
            if (control->loads[i].task == daemon->query[j]) {
                open += control->loads[i].open;
            }
        }
    }
    HrControlMember_SetSpare(
        control->member,
        open >= capacity ? 0
                         : (uint32_t)(PERCENT - open * PERCENT / capacity));
}

/* Notes the open requests of one task. */
static void
note_load(HrControl *control, const HrMessage *message)
{
    HrControlLoad *grown;
    uint32_t i;

    for (i = 0; i < control->load_count; i++) {
        if (control->loads[i].task == message->u.load.task) {
            break;
        }
    }
    if (i == control->load_count) {
        grown = talloc_realloc(control, control->loads, HrControlLoad, i + 1);
        if (grown == NULL) {
            return;
        }
        control->loads = grown;
        control->loads[i].task = message->u.load.task;
        control->load_count++;
    }
    control->loads[i].open = message->u.load.open;
    update_spare(control);
    HrControlDrain_OpenChanged(control->drain);
}

/* Hands a frame of another daemon to the part that it is for. */
static void
receive_frame(HrControl *control, const HrMessage *message)
{
    const HrPeerFrame *frame = message->u.peer.frame;

    switch (frame->kind) {
    case HR_PEER_MEMBER:
        HrControlMember_Receive(control->member, message->u.peer.from_id,
                                frame->u.opaque);
        break;
    case HR_PEER_CONFIG:
        HrControlConfig_Receive(control->config, message->u.peer.from_id,
                                frame->u.opaque);
        break;
    case HR_PEER_CLAIM:
        HrControlClaims_Receive(control->claims, frame->u.opaque);
        break;
    case HR_PEER_CONTACT:
        HrControlContacts_Receive(control->contacts, message);
        break;
    default:
        HrControlMaps_Receive(control->maps, message);
        break;
    }
}

/* Handles a message of another task. */
static void
handle_message(void *state, HrMessage *message)
{
    HrControl *control = state;

    switch (message->kind) {
    case HR_MESSAGE_PEER_FRAME:
        receive_frame(control, message);
        break;
    case HR_MESSAGE_HTTP_REQUEST:
        HrControl_ServeRequest(control, message);
        break;
    case HR_MESSAGE_MAPS_REQUEST:
        HrControlMaps_Wanted(control->maps, message);
        break;
    case HR_MESSAGE_GROUP_REPORT:
        HrControlMaps_LocalReport(control->maps, message);
        break;
    case HR_MESSAGE_CLAIM_START:
        HrControlClaims_Start(control->claims, message);
        break;
    case HR_MESSAGE_CLAIM_OUTCOME:
        HrControlClaims_Outcome(control->claims, message);
        break;
    case HR_MESSAGE_REPORT:
        HrControlReports_Add(control->reports, message);
        break;
    case HR_MESSAGE_SIGNAL:
        HrControlDrain_Signal(control->drain);
        break;
    case HR_MESSAGE_LOAD:
        note_load(control, message);
        break;
    case HR_MESSAGE_GROUPS_HANDED_OVER:
        HrControlDrain_HandedOver(control->drain);
        break;
    default:
        break;
    }
    talloc_free(message);
}

/* Frees replaced snapshots, once a second. */
static void
fire_reclaim(void *arg)
{
    HrControl *control = arg;
    HrTask *task = control->task;

    HrSnapshots_ReclaimRetired(task->reader);
    HrLoop_SetTimer(task->loop, control->reclaim_timer,
                    HrLoop_NowNs(task->loop) + RECLAIM_NS);
}

/* Creates the parts. The membership comes last, because its first view is
 * passed to the others. */
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

/* Prepares the control task. */
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
        HrLoop_AddTimer(task->loop, fire_reclaim, control);
    if (control->reclaim_timer == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    task->state = control;
    task->handle = handle_message;
    fire_reclaim(control);
    return create_parts(control);
}
