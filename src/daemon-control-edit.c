#include <string.h>
#include <talloc.h>

#include "coord-edit.h"
#include "daemon-control-state.h"
#include "state-tables-json.h"

/* Edits at once; further ones are refused. */
#define EDITS_MAX 32
/* How long an edit waits until the daemon has heard from another one, which a
 * daemon that has just started does within a second or two. */
#define PEER_WAIT_NS (5 * HR_NS_PER_S)
#define PEER_POLL_NS (50 * HR_NS_PER_MS)

/* One edit that is under way. */
typedef struct Edit {
    HrControlEdits *owner;
    HrEdit *edit;
    HrLoopTimer *timer;
    HrListenerId listener;
    uint64_t number;
    bool done;
    HrTablesEdit *waiting; /* not started yet; NULL: it was */
    int64_t wait_end_ns;
} Edit;

struct HrControlEdits {
    HrControl *control;
    uint32_t count;
};

static void handle_event(Edit *edit, HrEditEvent *event);
static void begin_edit(Edit *edit);

/* Returns the HTTP status of an outcome. */
static int
http_status(HrEditResult result)
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

/* Answers the operator. */
static void
answer_edit(Edit *edit, const HrEditOutcome *outcome)
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
                            json_string(HrError_Name(outcome->error.kind)));
    }
    HrControl_AnswerJson(edit->owner->control, edit->listener, edit->number,
                         http_status(outcome->result), value);
}

/* Ends an edit: the tables that it made go into force here at once. */
static void
finish_edit(Edit *edit, const HrEditOutcome *outcome)
{
    edit->done = true;
    if (outcome->result == HR_EDIT_ACCEPTED && outcome->tables != NULL) {
        HrControlConfig_TakeTables(edit->owner->control->config,
                                   outcome->tables);
    }
    answer_edit(edit, outcome);
}

/* Hands the end of a store call to the edit. */
static void
handle_store_reply(void *arg, const HrStoreReply *reply)
{
    HrEditEvent event = {.type = HR_EDIT_EVENT_STORE_REPLY,
                         .u.store_reply = *reply};

    handle_event(arg, &event);
}

/* Carries out one action. */
static void
perform_action(Edit *edit, const HrEditAction *action)
{
    HrStoreClient *store = edit->owner->control->store;

    switch (action->type) {
    case HR_EDIT_ACTION_READ:
        HrStoreClient_Read(store, &action->u.read, handle_store_reply, edit);
        break;
    case HR_EDIT_ACTION_WRITE:
        HrStoreClient_Write(store, &action->u.write, handle_store_reply, edit);
        break;
    case HR_EDIT_ACTION_DONE:
        finish_edit(edit, &action->u.done);
        break;
    }
}

/* Frees an edit that has ended. Its store calls have ended too, or their
 * replies must find it: it is freed in a later round. */
static void
free_edit(Edit *edit)
{
    HrLoop_RemoveTimer(edit->owner->control->task->loop, edit->timer);
    edit->owner->count--;
    talloc_free(edit);
}

/* Hands one event to the edit and carries out its actions. */
static void
handle_event(Edit *edit, HrEditEvent *event)
{
    const HrTask *task = edit->owner->control->task;
    HrEditAction action;

    if (edit->done) {
        return;
    }
    event->now_ns = HrLoop_NowNs(task->loop);
    event->wall_ms = HrClock_WallMs(task->daemon->clock);
    HrEdit_HandleEvent(edit->edit, event);
    while (HrEdit_PopAction(edit->edit, &action)) {
        perform_action(edit, &action);
    }
    HrLoop_SetTimer(task->loop, edit->timer,
                    edit->done ? event->now_ns + 60 * HR_NS_PER_S
                               : HrEdit_GetNextTimer(edit->edit));
}

/* Passes the time to the edit; one that ended long ago is freed. */
static void
fire_timer(void *arg)
{
    Edit *edit = arg;
    HrEditEvent event = {.type = HR_EDIT_EVENT_TIMER};

    if (edit->done) {
        free_edit(edit);
    }
    else if (edit->waiting != NULL) {
        begin_edit(edit);
    }
    else {
        handle_event(edit, &event);
    }
}

/* Creates the part. */
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

/* Answers an edit that was not started. */
static void
reject(HrControlEdits *edits, HrListenerId listener, uint64_t number,
       int status, const HrError *err)
{
    HrControl_AnswerJson(edits->control, listener, number, status,
                         json_pack("{s:s,s:I,s:s,s:s}", "result", "refused",
                                   "revision", (json_int_t)0, "error",
                                   err->message, "kind",
                                   HrError_Name(err->kind)));
}

/* Creates the state of an edit; NULL when there is no room. */
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
    edit->edit =
        HrEdit_Create(edit, &config, HrRng_FromSeed(HrRng_Next(&task->rng)));
    edit->timer = HrLoop_AddTimer(task->loop, fire_timer, edit);
    if (edit->edit == NULL || edit->timer == NULL) {
        HrLoop_RemoveTimer(task->loop, edit->timer);
        talloc_free(edit);
        return NULL;
    }
    edits->count++;
    return edit;
}

/* Starts an edit that waits, once this daemon knows from another one which
 * revision is in force; refuses it when its time to wait is over. */
static void
begin_edit(Edit *edit)
{
    HrControlConfig *config = edit->owner->control->config;
    HrLoop *loop = edit->owner->control->task->loop;
    HrEditEvent event = {.type = HR_EDIT_EVENT_START};
    int64_t now_ns = HrLoop_NowNs(loop);
    HrError err;

    if (HrControlConfig_CheckEditable(config, &err) == HR_OK) {
        event.u.start.edit = edit->waiting;
        event.u.start.known_revision = HrControlConfig_KnownRevision(config);
        handle_event(edit, &event);
        TALLOC_FREE(edit->waiting);
    }
    else if (now_ns < edit->wait_end_ns) {
        HrLoop_SetTimer(loop, edit->timer, now_ns + PEER_POLL_NS);
    }
    else {
        reject(edit->owner, edit->listener, edit->number, 503, &err);
        edit->done = true;
        HrLoop_SetTimer(loop, edit->timer, now_ns);
    }
}

/* Starts an edit of the tables. */
static void
start_edit(HrControlEdits *edits, const HrMessage *request)
{
    HrError err = {HR_ERR_OVERLOADED, "too many edits at once: repeat later"};
    HrTablesEdit *parsed = HrTablesEdit_FromJson(
        edits, (const char *)request->u.request.body.data,
        request->u.request.body.length_bytes, "request body", &err);
    Edit *edit;

    if (parsed == NULL) {
        reject(edits, request->u.request.listener, request->u.request.number,
               400, &err);
        return;
    }
    edit = create_edit(edits, request);
    if (edit == NULL) {
        reject(edits, request->u.request.listener, request->u.request.number,
               503, &err);
        talloc_free(parsed);
        return;
    }
    edit->waiting = talloc_steal(edit, parsed);
    edit->wait_end_ns =
        HrLoop_NowNs(edits->control->task->loop) + PEER_WAIT_NS;
    begin_edit(edit);
}

/* Starts to write the tables held by this daemon back to the store. */
static void
start_restore(HrControlEdits *edits, const HrMessage *request)
{
    HrEditEvent event = {.type = HR_EDIT_EVENT_RESTORE};
    json_t *body = json_loadb((const char *)request->u.request.body.data,
                              request->u.request.body.length_bytes, 0, NULL);
    HrError err = {HR_ERR_INVALID,
                   "write {\"edit_id\": ..., \"operator\": ...}"};
    Edit *edit = NULL;

    event.u.restore.tables = HrControlConfig_Tables(edits->control->config);
    event.u.restore.edit_id =
        json_string_value(json_object_get(body, "edit_id"));
    event.u.restore.operator_name =
        json_string_value(json_object_get(body, "operator"));
    event.u.restore.known_revision =
        HrControlConfig_KnownRevision(edits->control->config);
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
        reject(edits, request->u.request.listener, request->u.request.number,
               400, &err);
    }
    json_decref(body);
}

/* Starts an edit or a restore that an operator asks for. */
void
HrControlEdits_Start(HrControlEdits *edits, const HrMessage *request,
                     bool restore)
{
    if (restore) {
        start_restore(edits, request);
        return;
    }
    start_edit(edits, request);
}
