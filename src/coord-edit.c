#include "coord-edit.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "state-tables-json.h"

typedef enum EditState {
    EDIT_IDLE, /* before START or RESTORE */
    EDIT_READING,
    EDIT_WRITING,
    EDIT_DELAYED, /* waits before the next read */
    EDIT_DONE,
} EditState;

/* The last write that was sent to the store. */
typedef struct LastWrite {
    bool may_be_stored; /* the store may have accepted it, or may still receive
                           and accept it */
    bool earlier_copy_may_be_stored; /* the same, before the current copy was
                                        sent */
    uint64_t expected_revision;
    HrTables *tables;
    char *text; /* the serialized tables */
} LastWrite;

struct HrEdit {
    HrEditConfig config;
    HrRng rng;
    EditState state;
    HrTablesEdit *request; /* NULL for a restore */
    HrTables *restore;     /* the tables to restore; NULL for an edit */
    const char *edit_id;   /* of the request or the restore */
    const char *operator_name;
    uint64_t known_revision; /* highest that this daemon has received from the
                                store, a peer or a local edit */
    int64_t deadline_ns;
    int64_t timer_ns; /* when the store call times out or the delay ends;
                         HR_TIME_NEVER: neither */
    int64_t now_ns;
    int64_t wall_ms;
    uint64_t request_id; /* of the last store call */
    HrTables *current;   /* last tables read; NULL: none or damaged */
    LastWrite write;
    HrEditAction action;
    bool has_action;
};

/* Sets all fields to their default values. */
void
HrEditConfig_GetDefaults(HrEditConfig *config)
{
    config->deadline_ns = 5 * HR_NS_PER_S;
    config->call_timeout_ns = HR_NS_PER_S;
    config->retry_delay_ns = 100 * HR_NS_PER_MS;
}

/* Returns "accepted", "conflict", "refused" or "unknown". */
const char *
HrEditResult_GetName(HrEditResult result)
{
    static const char *const names[] = {"accepted", "conflict", "refused",
                                        "unknown"};

    return (uint32_t)result < 4 ? names[result] : "unknown";
}

/* Creates an edit that waits for START or RESTORE. Returns NULL when out of
 * memory. */
HrEdit *
HrEdit_Create(const void *parent, const HrEditConfig *config, HrRng rng)
{
    HrEdit *edit = talloc_zero(parent, HrEdit);

    if (edit == NULL) {
        return NULL;
    }
    edit->config = *config;
    edit->rng = rng;
    edit->timer_ns = HR_TIME_NEVER;
    return edit;
}

/* Queues an action whose fields are zero and returns it for the caller to fill
 * in. There is room for one: an event causes at most one action. */
static HrEditAction *
queue_action(HrEdit *edit, HrEditActionType type)
{
    memset(&edit->action, 0, sizeof(edit->action));
    edit->action.type = type;
    edit->has_action = true;
    return &edit->action;
}

/* Ends the edit and returns the outcome, whose error the caller sets unless
 * the edit is accepted. */
static HrEditOutcome *
finish_edit(HrEdit *edit, HrEditResult result)
{
    HrEditOutcome *outcome = &queue_action(edit, HR_EDIT_ACTION_DONE)->u.done;

    edit->state = EDIT_DONE;
    edit->timer_ns = HR_TIME_NEVER;
    outcome->result = result;
    return outcome;
}

/* Ends the edit as refused; the caller sets the returned error. */
static HrError *
refuse_edit(HrEdit *edit)
{
    return &finish_edit(edit, HR_EDIT_REFUSED)->error;
}

/* Ends the edit as one that may or may not have been stored. reason completes
 * the error message. */
static void
finish_as_unknown(HrEdit *edit, const char *reason)
{
    HrEditOutcome *outcome = finish_edit(edit, HR_EDIT_UNKNOWN);

    HrError_Set(&outcome->error, HR_ERR_UNKNOWN_OUTCOME,
                "edit %s may or may not have been made: %s; repeat it with "
                "the same edit id, or look for the id in the history",
                edit->edit_id, reason);
}

/* Ends the edit as accepted. The outcome refers to tables, which stay a child
 * of the edit. */
static void
accept_edit(HrEdit *edit, HrTables *tables, uint64_t revision,
            bool already_made)
{
    HrEditOutcome *outcome = finish_edit(edit, HR_EDIT_ACCEPTED);

    outcome->revision = revision;
    outcome->tables = tables;
    outcome->already_made = already_made;
}

/* Enters the state of a store call and starts its timeout. Returns the request
 * id that the reply must have. */
static uint64_t
start_store_call(HrEdit *edit, EditState state)
{
    edit->state = state;
    edit->timer_ns = edit->now_ns + edit->config.call_timeout_ns;
    return ++edit->request_id;
}

/* Reads the tables from the store. */
static void
start_read(HrEdit *edit)
{
    HrStoreRead *read = &queue_action(edit, HR_EDIT_ACTION_READ)->u.read;

    read->request_id = start_store_call(edit, EDIT_READING);
    read->key = HR_STORE_TABLES_KEY;
    read->timeout_ms = (uint32_t)(edit->config.call_timeout_ns / HR_NS_PER_MS);
}

/* Sends the value of edit->write to the store, which may accept it from now
 * on. */
static void
start_write(HrEdit *edit)
{
    HrStoreWrite *write = &queue_action(edit, HR_EDIT_ACTION_WRITE)->u.write;

    edit->write.earlier_copy_may_be_stored = edit->write.may_be_stored;
    edit->write.may_be_stored = true;
    write->request_id = start_store_call(edit, EDIT_WRITING);
    write->key = HR_STORE_TABLES_KEY;
    write->expected_revision = edit->write.expected_revision;
    write->value.data = (const uint8_t *)edit->write.text;
    write->value.length_bytes = strlen(edit->write.text);
    write->timeout_ms =
        (uint32_t)(edit->config.call_timeout_ns / HR_NS_PER_MS);
}

/* Delays the next read. The delay is random, from 0.5 to 1.5 times
 * retry_delay_ns, so that the edits of two operators do not collide
 * repeatedly. */
static void
delay_next_read(HrEdit *edit)
{
    double factor = 0.5 + HrRng_DrawUnit(&edit->rng);

    edit->state = EDIT_DELAYED;
    edit->timer_ns =
        edit->now_ns + (int64_t)(factor * (double)edit->config.retry_delay_ns);
}

/* Serializes tables and writes them if the key has the expected revision. Ends
 * the edit when they are too large or memory runs out. */
static void
write_tables(HrEdit *edit, HrTables *tables, uint64_t expected_revision)
{
    talloc_free(edit->write.tables);
    talloc_free(edit->write.text);
    edit->write.tables = tables;
    edit->write.expected_revision = expected_revision;
    edit->write.text = HrTables_ToStoreText(edit, tables);
    if (edit->write.text == NULL) {
        HrError_Set(refuse_edit(edit), HR_ERR_NO_MEMORY, "out of memory");
        return;
    }
    if (strlen(edit->write.text) > HR_STORE_VALUE_MAX_BYTES) {
        HrError_Set(refuse_edit(edit), HR_ERR_TOO_LARGE,
                    "the tables would need %zu bytes; the store accepts %zu: "
                    "remove servers or shorten their names",
                    strlen(edit->write.text), HR_STORE_VALUE_MAX_BYTES);
        return;
    }
    start_write(edit);
}

/* Ends the edit as a conflict and reports the edits since its base revision.
 */
static void
report_conflict(HrEdit *edit)
{
    const HrTables *current = edit->current;
    HrEditOutcome *outcome = finish_edit(edit, HR_EDIT_CONFLICT);
    uint32_t first = 0;

    while (first < current->edit_count &&
           current->edits[first].revision <= edit->request->based_on) {
        first++;
    }
    outcome->revision = current->revision;
    outcome->changes = &current->edits[first];
    outcome->change_count = current->edit_count - first;
    HrError_Set(&outcome->error, HR_ERR_CONFLICT,
                "rows of this edit have changed since revision %" PRIu64
                "; review the changes, then repeat the edit with a new edit "
                "id based on revision %" PRIu64,
                edit->request->based_on, current->revision);
}

/* Applies the edit to the current tables (NULL: the store is empty) and writes
 * the result. Ends the edit on a conflict or an error. */
static void
apply_edit(HrEdit *edit, HrTables *current, uint64_t store_revision)
{
    HrError err = {0};
    HrTables *tables;

    if (current != NULL && HrTablesEdit_HasConflict(current, edit->request)) {
        report_conflict(edit);
        return;
    }
    tables =
        HrTablesEdit_Apply(edit, current, edit->request, edit->wall_ms, &err);
    if (tables == NULL) {
        *refuse_edit(edit) = err;
        return;
    }
    write_tables(edit, tables, store_revision);
}

/* Writes the tables to restore, at a higher revision. */
static void
write_restored_tables(HrEdit *edit, uint64_t store_revision)
{
    HrTables *tables =
        HrTables_BuildRestore(edit, edit->restore, edit->edit_id,
                              edit->operator_name, edit->wall_ms);

    if (tables == NULL) {
        HrError_Set(refuse_edit(edit), HR_ERR_NO_MEMORY, "out of memory");
        return;
    }
    write_tables(edit, tables, store_revision);
}

/* Returns the entry of a revision in the edit history, or NULL. */
static const HrEditRecord *
find_revision(const HrTables *tables, uint64_t revision)
{
    uint32_t i;

    for (i = 0; i < tables->edit_count; i++) {
        if (tables->edits[i].revision == revision) {
            return &tables->edits[i];
        }
    }
    return NULL;
}

/* Resolves a write of unknown outcome after a read that did not find its edit
 * id. Returns true if the edit can continue. While the key still has the
 * revision that the write expects, the store may yet accept it, so the same
 * bytes are sent again: the compare-and-swap accepts at most one copy. Once
 * the history lists another edit under the revision of the write, the store
 * rejects every copy. */
static bool
resolve_write(HrEdit *edit, const HrTables *current, uint64_t store_revision)
{
    if (!edit->write.may_be_stored) {
        return true;
    }
    if (store_revision == edit->write.expected_revision) {
        start_write(edit);
        return false;
    }
    if (current != NULL &&
        find_revision(current, edit->write.tables->revision) != NULL) {
        edit->write.may_be_stored = false;
        return true;
    }
    finish_as_unknown(
        edit, "the history in the store no longer shows which edit made its "
              "revision");
    return false;
}

/* Applies an edit whose id is not in the store, unless the store is older than
 * the revision in force or than the base of the edit. */
static void
continue_edit(HrEdit *edit, HrTables *current, uint64_t store_revision)
{
    uint64_t revision = current == NULL ? 0 : current->revision;

    if (revision < edit->known_revision) {
        HrError_Set(refuse_edit(edit), HR_ERR_STALE,
                    "the edit was not made: the store %s, but revision "
                    "%" PRIu64 " is in force; run \"hickoryctl restore\", "
                    "then repeat the edit",
                    current == NULL ? "is empty" : "holds an older revision",
                    edit->known_revision);
        return;
    }
    if (edit->request->based_on > revision) {
        HrError_Set(refuse_edit(edit), HR_ERR_STALE,
                    "the edit was not made: it is based on revision %" PRIu64
                    ", but the store holds %" PRIu64
                    "; read the tables again and check that this daemon "
                    "belongs to the right cluster",
                    edit->request->based_on, revision);
        return;
    }
    apply_edit(edit, current, store_revision);
}

/* Performs a restore whose id is not in the store, unless this daemon does not
 * have the newest revision or the store has no older one. current is NULL when
 * the store is empty or its value is damaged. */
static void
continue_restore(HrEdit *edit, HrTables *current, uint64_t store_revision)
{
    if (edit->restore->revision < edit->known_revision) {
        HrError_Set(refuse_edit(edit), HR_ERR_STALE,
                    "nothing was restored: this daemon holds revision %" PRIu64
                    ", but %" PRIu64 " is known; repeat the restore on a "
                    "daemon that holds it",
                    edit->restore->revision, edit->known_revision);
        return;
    }
    if (current != NULL && current->revision >= edit->restore->revision) {
        HrError_Set(refuse_edit(edit), HR_ERR_INVALID,
                    "nothing was restored: the store holds revision %" PRIu64
                    ", which is not older than %" PRIu64 "; no restore is "
                    "needed",
                    current->revision, edit->restore->revision);
        return;
    }
    write_restored_tables(edit, store_revision);
}

/* Returns true if the record with the id of this edit belongs to another edit:
 * the operator or the summary differs. */
static bool
is_reused_id(const HrEdit *edit, const HrEditRecord *record)
{
    return strcmp(record->operator_name, edit->operator_name) != 0 ||
           (edit->request != NULL &&
            strcmp(record->summary, edit->request->summary) != 0);
}

/* Ends the edit if the tables read already contain its id: as accepted, or as
 * refused when another edit used the id. Returns true if it has ended. */
static bool
finish_recorded_edit(HrEdit *edit, HrTables *current)
{
    const HrEditRecord *record;

    if (current == NULL) {
        return false;
    }
    record = HrTables_FindEdit(current, edit->edit_id);
    if (record == NULL) {
        return false;
    }
    if (is_reused_id(edit, record)) {
        HrError_Set(refuse_edit(edit), HR_ERR_DUPLICATE,
                    "the edit was not made: edit id \"%s\" was used by %s for "
                    "revision %" PRIu64 "; choose a new id",
                    edit->edit_id, record->operator_name, record->revision);
        return true;
    }
    accept_edit(edit, current, record->revision, !edit->write.may_be_stored);
    return true;
}

/* Continues the edit after a read of the store. current is NULL when the store
 * is empty or, in a restore, when its value is damaged. */
static void
continue_after_read(HrEdit *edit, HrTables *current, uint64_t store_revision)
{
    if (finish_recorded_edit(edit, current) ||
        !resolve_write(edit, current, store_revision)) {
        return;
    }
    if (edit->request != NULL) {
        continue_edit(edit, current, store_revision);
    }
    else {
        continue_restore(edit, current, store_revision);
    }
}

/* Parses the value that was read and continues the edit. A damaged value ends
 * an edit but not a restore, which replaces it. */
static void
handle_read_value(HrEdit *edit, const HrStoreReply *reply)
{
    HrError err = {0};

    talloc_free(edit->current);
    edit->current = HrTables_ParseJson(edit, (const char *)reply->value.data,
                                       reply->value.length_bytes,
                                       "store key " HR_STORE_TABLES_KEY, &err);
    if (edit->current == NULL && edit->request != NULL) {
        if (edit->write.may_be_stored) {
            finish_as_unknown(edit, "the store's value is damaged");
            return;
        }
        HrError_Set(refuse_edit(edit), HR_ERR_INVALID,
                    "the edit was not made: %.200s; run \"hickoryctl "
                    "restore\", then repeat the edit",
                    err.message);
        return;
    }
    continue_after_read(edit, edit->current, reply->revision);
}

/* Processes the reply to a read; a failed read is repeated after a delay. */
static void
handle_read_reply(HrEdit *edit, const HrStoreReply *reply)
{
    switch (reply->result) {
    case HR_STORE_OK:
        handle_read_value(edit, reply);
        break;
    case HR_STORE_ABSENT:
        continue_after_read(edit, NULL, 0);
        break;
    default:
        delay_next_read(edit);
        break;
    }
}

/* Processes the reply to a write. After a mismatch, an earlier copy of the
 * write may have been stored, so the store is read again to search for the
 * edit id. */
static void
handle_write_reply(HrEdit *edit, const HrStoreReply *reply)
{
    switch (reply->result) {
    case HR_STORE_OK:
        accept_edit(edit, edit->write.tables, edit->write.tables->revision,
                    false);
        break;
    case HR_STORE_NOT_DONE:
        edit->write.may_be_stored = edit->write.earlier_copy_may_be_stored;
        delay_next_read(edit);
        break;
    case HR_STORE_MISMATCH:
        start_read(edit);
        break;
    default:
        delay_next_read(edit);
        break;
    }
}

/* Ends the edit at its deadline: as unknown if the store may have accepted a
 * write, otherwise as refused. */
static void
finish_at_deadline(HrEdit *edit)
{
    if (edit->write.may_be_stored) {
        finish_as_unknown(edit, "the store did not answer in time");
        return;
    }
    HrError_Set(refuse_edit(edit), HR_ERR_UNAVAILABLE,
                "this request has changed nothing: the store did not answer "
                "in %" PRId64 " ms; repeat it with the same edit id when the "
                "store is available",
                edit->config.deadline_ns / HR_NS_PER_MS);
}

/* Ends the edit at its deadline, starts a read whose delay is over, or
 * abandons a store call that timed out. */
static void
handle_timer(HrEdit *edit)
{
    if (edit->state == EDIT_IDLE || edit->state == EDIT_DONE) {
        return;
    }
    if (edit->now_ns >= edit->deadline_ns) {
        finish_at_deadline(edit);
    }
    else if (edit->now_ns >= edit->timer_ns) {
        if (edit->state == EDIT_DELAYED) {
            start_read(edit);
        }
        else {
            edit->request_id++; /* a late reply is ignored */
            delay_next_read(edit);
        }
    }
}

/* Copies the request of START. Returns 0, or HR_ERR_NO_MEMORY after ending the
 * edit. */
static int
copy_edit_request(HrEdit *edit, const HrEditEvent *event)
{
    edit->request = HrTablesEdit_Copy(edit, event->u.start.edit);
    if (edit->request == NULL) {
        return HrError_Set(refuse_edit(edit), HR_ERR_NO_MEMORY,
                           "out of memory");
    }
    edit->edit_id = edit->request->edit_id;
    edit->operator_name = edit->request->operator_name;
    edit->known_revision = event->u.start.known_revision;
    return HR_OK;
}

/* Copies the request of RESTORE. Returns 0, or HR_ERR_NOT_FOUND or
 * HR_ERR_NO_MEMORY after ending the edit. */
static int
copy_restore_request(HrEdit *edit, const HrEditEvent *event)
{
    if (event->u.restore.tables == NULL) {
        return HrError_Set(refuse_edit(edit), HR_ERR_NOT_FOUND,
                           "nothing was restored: this daemon holds no "
                           "tables; repeat the restore on a daemon that "
                           "holds them");
    }
    edit->edit_id = talloc_strdup(edit, event->u.restore.edit_id);
    edit->operator_name = talloc_strdup(edit, event->u.restore.operator_name);
    edit->known_revision = event->u.restore.known_revision;
    edit->restore = HrTables_Copy(edit, event->u.restore.tables);
    if (edit->edit_id == NULL || edit->operator_name == NULL ||
        edit->restore == NULL) {
        return HrError_Set(refuse_edit(edit), HR_ERR_NO_MEMORY,
                           "out of memory");
    }
    return HR_OK;
}

/* Copies the request and reads the store. Only the first request has an
 * effect. */
static void
handle_request(HrEdit *edit, const HrEditEvent *event)
{
    int rc;

    if (edit->state != EDIT_IDLE) {
        return;
    }
    edit->deadline_ns = event->now_ns + edit->config.deadline_ns;
    rc = event->type == HR_EDIT_EVENT_START
             ? copy_edit_request(edit, event)
             : copy_restore_request(edit, event);
    if (rc == HR_OK) {
        start_read(edit);
    }
}

/* Processes the reply to the open store call; ignores replies to others. */
static void
handle_reply(HrEdit *edit, const HrStoreReply *reply)
{
    if (reply->request_id != edit->request_id) {
        return;
    }
    if (edit->state == EDIT_READING) {
        handle_read_reply(edit, reply);
    }
    else if (edit->state == EDIT_WRITING) {
        handle_write_reply(edit, reply);
    }
}

/* Processes one event, which may queue one action. */
void
HrEdit_HandleEvent(HrEdit *edit, const HrEditEvent *event)
{
    edit->now_ns = event->now_ns;
    edit->wall_ms = event->wall_ms;
    switch (event->type) {
    case HR_EDIT_EVENT_START:
    case HR_EDIT_EVENT_RESTORE:
        handle_request(edit, event);
        break;
    case HR_EDIT_EVENT_STORE_REPLY:
        handle_reply(edit, &event->u.store_reply);
        break;
    case HR_EDIT_EVENT_TIMER:
        handle_timer(edit);
        break;
    }
}

/* Removes the next action from the queue and stores it in *action. Returns
 * false when there is none. */
bool
HrEdit_PopAction(HrEdit *edit, HrEditAction *action)
{
    if (!edit->has_action) {
        return false;
    }
    *action = edit->action;
    edit->has_action = false;
    return true;
}

/* Returns the time at which the edit needs a TIMER event; HR_TIME_NEVER when
 * it needs none. */
int64_t
HrEdit_GetNextTimer(const HrEdit *edit)
{
    if (edit->state == EDIT_IDLE || edit->state == EDIT_DONE) {
        return HR_TIME_NEVER;
    }
    return edit->timer_ns < edit->deadline_ns ? edit->timer_ns
                                              : edit->deadline_ns;
}
