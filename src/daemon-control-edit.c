#include <string.h>
#include <talloc.h>

#include "coord-edit.h"
#include "daemon-control-state.h"
#include "state-tables-json.h"

/* Limit of edits in memory; further ones are refused. An edit that has ended
 * still counts until it is freed 60 s later. */
#define EDITS_MAX 32
/* How long an edit waits until this daemon has received a message from a peer.
 * A daemon that has just started receives one within a second or two. */
#define PEER_WAIT_NS (5 * HR_NS_PER_S)
#define PEER_POLL_NS (50 * HR_NS_PER_MS)

/* An edit or restore that has not been freed. */
typedef struct Edit {
    HrControlEdits *owner;
    HrEdit *edit;
    HrLoopTimer *timer;
    HrListenerId listener;
    uint64_t number; /* of the HTTP exchange */
    bool has_ended;
    HrTablesEdit *pending_edit; /* NULL once it is started */
    int64_t wait_deadline_ns;
} Edit;

struct HrControlEdits {
    HrControl *control;
    uint32_t count;
};

static void handle_event(Edit *edit, HrEditEvent *event);
static void start_when_editable(Edit *edit);

/* Returns the HTTP status for the result of an edit. */
static int
get_http_status(HrEditResult result)
{
    switch (result) {
    case HR_EDIT_ACCEPTED:
        return 200;
    case HR_EDIT_CONFLICT:
        return 409;
    case HR_EDIT_REFUSED:
        return 422;
    case HR_EDIT_UNKNOWN:
        return 504;
    }
    return 500;
}

/* Answers the operator with the outcome of an edit. */
static void
send_outcome(Edit *edit, const HrEditOutcome *outcome)
{
    json_t *changes = json_array();
    json_t *value;
    uint32_t i;

    for (i = 0; i < outcome->change_count; i++) {
        json_array_append_new(changes,
                              HrEditRecord_ToJson(&outcome->changes[i]));
    }
    value = json_pack("{s:s,s:I,s:b,s:o}", "result",
                      HrEditResult_GetName(outcome->result), "revision",
                      (json_int_t)outcome->revision, "already_made",
                      outcome->already_made, "changes", changes);
    if (outcome->result != HR_EDIT_ACCEPTED) {
        json_object_set_new(value, "error",
                            json_string(outcome->error.message));
        json_object_set_new(value, "kind",
                            json_string(HrError_GetName(outcome->error.kind)));
    }
    HrControl_SendJsonAnswer(edit->owner->control, edit->listener,
                             edit->number, get_http_status(outcome->result),
                             value);
}

/* Ends an edit. The tables of an accepted edit go into force on this daemon at
 * once. */
static void
finish_edit(Edit *edit, const HrEditOutcome *outcome)
{
    edit->has_ended = true;
    if (outcome->result == HR_EDIT_ACCEPTED && outcome->tables != NULL) {
        HrControlConfig_ApplyTables(edit->owner->control->config,
                                    outcome->tables);
    }
    send_outcome(edit, outcome);
}

/* Passes the result of a store call to the edit. */
static void
handle_store_reply(void *arg, const HrStoreReply *reply)
{
    HrEditEvent event = {.type = HR_EDIT_EVENT_STORE_REPLY,
                         .u.store_reply = *reply};

    handle_event(arg, &event);
}

/* Performs one action of an edit. */
static void
perform_action(Edit *edit, const HrEditAction *action)
{
    HrStoreClient *store = edit->owner->control->store;

    switch (action->type) {
    case HR_EDIT_ACTION_READ:
        HrStoreClient_ReadKey(store, &action->u.read, handle_store_reply,
                              edit);
        break;
    case HR_EDIT_ACTION_WRITE:
        HrStoreClient_WriteKey(store, &action->u.write, handle_store_reply,
                               edit);
        break;
    case HR_EDIT_ACTION_DONE:
        finish_edit(edit, &action->u.done);
        break;
    }
}

/* Frees an edit that has ended. An edit that was started is freed 60 s later,
 * because the callbacks of its store calls refer to it; by then all the calls
 * have timed out. */
static void
free_edit(Edit *edit)
{
    HrLoop_RemoveTimer(edit->owner->control->task->loop, edit->timer);
    edit->owner->count--;
    talloc_free(edit);
}

/* Processes one event in the edit and performs the resulting actions. */
static void
handle_event(Edit *edit, HrEditEvent *event)
{
    const HrTask *task = edit->owner->control->task;
    HrEditAction action;

    if (edit->has_ended) {
        return;
    }
    event->now_ns = HrLoop_NowNs(task->loop);
    event->wall_ms = HrClock_GetWallMs(task->daemon->clock);
    HrEdit_HandleEvent(edit->edit, event);
    while (HrEdit_PopAction(edit->edit, &action)) {
        perform_action(edit, &action);
    }
    HrLoop_SetTimer(task->loop, edit->timer,
                    edit->has_ended ? event->now_ns + 60 * HR_NS_PER_S
                                    : HrEdit_GetNextTimer(edit->edit));
}

/* Handles the timer of an edit: frees it if it has ended, tries to start it if
 * it is pending, and otherwise sends it a TIMER event. */
static void
handle_timer(void *arg)
{
    Edit *edit = arg;
    HrEditEvent event = {.type = HR_EDIT_EVENT_TIMER};

    if (edit->has_ended) {
        free_edit(edit);
    }
    else if (edit->pending_edit != NULL) {
        start_when_editable(edit);
    }
    else {
        handle_event(edit, &event);
    }
}

/* Creates the edit part. Returns NULL when out of memory. */
HrControlEdits *
HrControlEdits_Create(HrControl *control)
{
    HrControlEdits *edits = talloc_zero(control, HrControlEdits);

    if (edits != NULL) {
        edits->control = control;
        control->edits = edits;
    }
    return edits;
}

/* Answers the operator that an edit was not started. */
static void
send_refusal(HrControlEdits *edits, HrListenerId listener, uint64_t number,
             int status, const HrError *err)
{
    HrControl_SendJsonAnswer(edits->control, listener, number, status,
                             json_pack("{s:s,s:I,s:s,s:s}", "result",
                                       "refused", "revision", (json_int_t)0,
                                       "error", err->message, "kind",
                                       HrError_GetName(err->kind)));
}

/* Creates an edit, or returns NULL if there are too many or allocation fails.
 */
static Edit *
create_edit(HrControlEdits *edits, const HrMessage *request)
{
    HrTask *task = edits->control->task;
    HrEditConfig config;
    Edit *edit;

    if (edits->count >= EDITS_MAX) {
        return NULL;
    }
    edit = talloc_zero(edits, Edit);
    if (edit == NULL) {
        return NULL;
    }
    HrEditConfig_GetDefaults(&config);
    edit->owner = edits;
    edit->listener = request->u.request.listener;
    edit->number = request->u.request.number;
    edit->edit = HrEdit_Create(edit, &config,
                               HrRng_FromSeed(HrRng_DrawU64(&task->rng)));
    edit->timer = HrLoop_AddTimer(task->loop, handle_timer, edit);
    if (edit->edit == NULL || edit->timer == NULL) {
        HrLoop_RemoveTimer(task->loop, edit->timer);
        talloc_free(edit);
        return NULL;
    }
    edits->count++;
    return edit;
}

/* Starts a pending edit if this daemon has received a message from a peer, or
 * may assume that it is the only daemon. Otherwise sets the timer to check
 * again after PEER_POLL_NS, or refuses the edit once PEER_WAIT_NS have passed.
 */
static void
start_when_editable(Edit *edit)
{
    HrControlConfig *config = edit->owner->control->config;
    HrLoop *loop = edit->owner->control->task->loop;
    HrEditEvent event = {.type = HR_EDIT_EVENT_START};
    int64_t now_ns = HrLoop_NowNs(loop);
    HrError err;

    if (HrControlConfig_CheckEditable(config, &err) == HR_OK) {
        event.u.start.edit = edit->pending_edit;
        event.u.start.known_revision =
            HrControlConfig_GetKnownRevision(config);
        handle_event(edit, &event);
        TALLOC_FREE(edit->pending_edit);
    }
    else if (now_ns < edit->wait_deadline_ns) {
        HrLoop_SetTimer(loop, edit->timer, now_ns + PEER_POLL_NS);
    }
    else {
        send_refusal(edit->owner, edit->listener, edit->number, 503, &err);
        edit->has_ended = true;
        HrLoop_SetTimer(loop, edit->timer, now_ns);
    }
}

/* Parses an edit of the tables and starts it. */
static void
start_edit(HrControlEdits *edits, const HrMessage *request)
{
    HrError err = {HR_ERR_OVERLOADED, "too many edits at once: repeat later"};
    HrTablesEdit *parsed = HrTablesEdit_ParseJson(
        edits, (const char *)request->u.request.body.data,
        request->u.request.body.length_bytes, "request body", &err);
    Edit *edit;

    if (parsed == NULL) {
        send_refusal(edits, request->u.request.listener,
                     request->u.request.number, 400, &err);
        return;
    }
    edit = create_edit(edits, request);
    if (edit == NULL) {
        send_refusal(edits, request->u.request.listener,
                     request->u.request.number, 503, &err);
        talloc_free(parsed);
        return;
    }
    edit->pending_edit = talloc_steal(edit, parsed);
    edit->wait_deadline_ns =
        HrLoop_NowNs(edits->control->task->loop) + PEER_WAIT_NS;
    start_when_editable(edit);
}

/* Starts to write the tables held by this daemon to the store. */
static void
start_restore(HrControlEdits *edits, const HrMessage *request)
{
    HrEditEvent event = {.type = HR_EDIT_EVENT_RESTORE};
    json_t *body = json_loadb((const char *)request->u.request.body.data,
                              request->u.request.body.length_bytes, 0, NULL);
    HrError err = {
        HR_ERR_INVALID,
        "the request body must be {\"edit_id\": ..., \"operator\": ...}"};
    Edit *edit = NULL;

    event.u.restore.tables = HrControlConfig_GetTables(edits->control->config);
    event.u.restore.edit_id =
        json_string_value(json_object_get(body, "edit_id"));
    event.u.restore.operator_name =
        json_string_value(json_object_get(body, "operator"));
    event.u.restore.known_revision =
        HrControlConfig_GetKnownRevision(edits->control->config);
    if (event.u.restore.tables == NULL) {
        HrError_Set(&err, HR_ERR_NOT_FOUND,
                    "this daemon holds no tables: restore through another "
                    "one");
    }
    else if (event.u.restore.edit_id != NULL &&
             event.u.restore.operator_name != NULL) {
        edit = create_edit(edits, request);
    }
    if (edit != NULL) {
        handle_event(edit, &event);
    }
    else {
        send_refusal(edits, request->u.request.listener,
                     request->u.request.number, 400, &err);
    }
    json_decref(body);
}

/* Starts an edit or a restore that an operator has requested. */
void
HrControlEdits_StartEdit(HrControlEdits *edits, const HrMessage *request,
                         bool restore)
{
    if (restore) {
        start_restore(edits, request);
        return;
    }
    start_edit(edits, request);
}
