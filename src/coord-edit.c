#include "coord-edit.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "state-tables-json.h"

typedef enum EditState {
    EDIT_IDLE,
    EDIT_READING,
    EDIT_WRITING,
    EDIT_PAUSED, /* before the next read */
    EDIT_DONE,
} EditState;

/* The last value that was sent to the store. */
typedef struct EditWrite {
    bool in_doubt;     /* it may be stored, now or later */
    bool was_in_doubt; /* the same before the copy that is under way */
    uint64_t expected_revision;
    HrTables *tables;
    char *text;
} EditWrite;

struct HrEdit {
    HrEditConfig config;
    HrRng rng;
    EditState state;
    HrTablesEdit *request; /* NULL for a restore */
    HrTables *restore;     /* tables held; NULL for an edit */
    const char *edit_id;   /* of the request or the restore */
    const char *operator_name;
    uint64_t known_revision;
    int64_t deadline_ns;
    int64_t wake_ns; /* end of the call or of the pause */
    int64_t now_ns;
    int64_t wall_ms;
    uint64_t request_id; /* of the open store call */
    HrTables *current;   /* last read */
    EditWrite write;
    HrEditAction action;
    bool has_action;
};

/* Fills the configuration with the defaults. */
void
HrEditConfig_GetDefaults(HrEditConfig *config)
{
    config->deadline_ns = 5 * HR_NS_PER_S;
    config->call_ns = HR_NS_PER_S;
    config->retry_ns = 100 * HR_NS_PER_MS;
}

/* Returns "accepted", "conflict", "refused" or "unknown". */
const char *
HrEditResult_GetName(HrEditResult result)
{
    static const char *const names[] = {"accepted", "conflict", "refused",
                                        "unknown"};

    return (uint32_t)result < 4 ? names[result] : "unknown";
}

/* Creates an edit that waits for START or RESTORE, or returns NULL when memory
 * runs out. */
HrEdit *
HrEdit_Create(const void *parent, const HrEditConfig *config, HrRng rng)
{
    HrEdit *edit = talloc_zero(parent, HrEdit);

    if (edit == NULL) {
        return NULL;
    }
    edit->config = *config;
    edit->rng = rng;
    edit->wake_ns = HR_TIME_NEVER;
    return edit;
}

/* Queues the action; each step yields at most one. */
static HrEditAction *
queue_action(HrEdit *edit, HrEditActionType type)
{
    memset(&edit->action, 0, sizeof(edit->action));
    edit->action.type = type;
    edit->has_action = true;
    return &edit->action;
}

/* Ends the edit. The caller fills the error unless it is accepted. */
static HrEditOutcome *
finish(HrEdit *edit, HrEditResult result)
{
    HrEditOutcome *outcome = &queue_action(edit, HR_EDIT_ACTION_DONE)->u.done;

    edit->state = EDIT_DONE;
    edit->wake_ns = HR_TIME_NEVER;
    outcome->result = result;
    return outcome;
}

/* Ends the edit as not made. */
static HrError *
refuse(HrEdit *edit)
{
    return &finish(edit, HR_EDIT_REFUSED)->error;
}

/* Ends the edit as one that may or may not have been made. */
static void
finish_unknown(HrEdit *edit, const char *why)
{
    HrEditOutcome *outcome = finish(edit, HR_EDIT_UNKNOWN);

    HrError_Set(&outcome->error, HR_ERR_UNKNOWN_OUTCOME,
                "edit %s may or may not have been made: %s; repeat it with "
                "the same edit id, or look for the id in the history",
                edit->edit_id, why);
}

/* Ends the edit as made. */
static void
accept(HrEdit *edit, HrTables *tables, uint64_t revision, bool already_made)
{
    HrEditOutcome *outcome = finish(edit, HR_EDIT_ACCEPTED);

    outcome->revision = revision;
    outcome->tables = tables;
    outcome->already_made = already_made;
}

/* Starts a store call; its reply must carry the returned id. */
static uint64_t
start_call(HrEdit *edit, EditState state)
{
    edit->state = state;
    edit->wake_ns = edit->now_ns + edit->config.call_ns;
    return ++edit->request_id;
}

/* Reads the store's value. */
static void
start_read(HrEdit *edit)
{
    HrStoreRead *read = &queue_action(edit, HR_EDIT_ACTION_READ)->u.read;

    read->request_id = start_call(edit, EDIT_READING);
    read->key = HR_STORE_TABLES_KEY;
    read->timeout_ms = (uint32_t)(edit->config.call_ns / HR_NS_PER_MS);
}

/* Sends the value of edit->write. From here on it may be stored. */
static void
start_write(HrEdit *edit)
{
    HrStoreWrite *write = &queue_action(edit, HR_EDIT_ACTION_WRITE)->u.write;

    edit->write.was_in_doubt = edit->write.in_doubt;
    edit->write.in_doubt = true;
    write->request_id = start_call(edit, EDIT_WRITING);
    write->key = HR_STORE_TABLES_KEY;
    write->expected_revision = edit->write.expected_revision;
    write->value.data = (const uint8_t *)edit->write.text;
    write->value.length_bytes = strlen(edit->write.text);
    write->timeout_ms = (uint32_t)(edit->config.call_ns / HR_NS_PER_MS);
}

/* Waits before the next read; the pause is jittered so that two operators do
 * not collide again and again. */
static void
pause_before_read(HrEdit *edit)
{
    double factor = 0.5 + HrRng_Unit(&edit->rng);

    edit->state = EDIT_PAUSED;
    edit->wake_ns =
        edit->now_ns + (int64_t)(factor * (double)edit->config.retry_ns);
}

/* Serializes tables and sends them, expecting a revision of the key. */
static void
write_tables(HrEdit *edit, HrTables *tables, uint64_t expected_revision)
{
    talloc_free(edit->write.tables);
    talloc_free(edit->write.text);
    edit->write.tables = tables;
    edit->write.expected_revision = expected_revision;
    edit->write.text = HrTables_ToStoreText(edit, tables);
    if (edit->write.text == NULL) {
        HrError_Set(refuse(edit), HR_ERR_NO_MEMORY, "out of memory");
        return;
    }
    if (strlen(edit->write.text) > HR_STORE_VALUE_MAX_BYTES) {
        HrError_Set(refuse(edit), HR_ERR_TOO_LARGE,
                    "the tables would take %zu bytes; the store takes %zu: "
                    "remove servers or shorten their names",
                    strlen(edit->write.text), HR_STORE_VALUE_MAX_BYTES);
        return;
    }
    start_write(edit);
}

/* Ends the edit with the edits that were made since its base. */
static void
report_conflict(HrEdit *edit)
{
    const HrTables *current = edit->current;
    HrEditOutcome *outcome = finish(edit, HR_EDIT_CONFLICT);
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
                "; look at the changes, then repeat the edit with a new edit "
                "id based on revision %" PRIu64,
                edit->request->based_on, current->revision);
}

/* Makes and sends the edited tables; current is NULL before the first ones. */
static void
apply_edit(HrEdit *edit, HrTables *current, uint64_t store_revision)
{
    HrError err = {0};
    HrTables *tables;

    if (current != NULL && HrTablesEdit_Conflicts(current, edit->request)) {
        report_conflict(edit);
        return;
    }
    tables =
        HrTablesEdit_Apply(edit, current, edit->request, edit->wall_ms, &err);
    if (tables == NULL) {
        *refuse(edit) = err;
        return;
    }
    write_tables(edit, tables, store_revision);
}

/* Makes and sends the restored tables. */
static void
apply_restore(HrEdit *edit, uint64_t store_revision)
{
    HrTables *tables = HrTables_Restored(edit, edit->restore, edit->edit_id,
                                         edit->operator_name, edit->wall_ms);

    if (tables == NULL) {
        HrError_Set(refuse(edit), HR_ERR_NO_MEMORY, "out of memory");
        return;
    }
    write_tables(edit, tables, store_revision);
}

/* Returns the history's entry of a revision, or NULL. */
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

/* Settles a write in doubt whose id is not in the value just read. Returns
 * true if the edit may go on. While the key has the revision that the write
 * expects, the write may still arrive, so the same bytes are sent again: the
 * compare-and-swap takes at most one copy. Once another edit has taken the
 * revision, no copy can arrive any more. */
static bool
settle_write(HrEdit *edit, const HrTables *current, uint64_t store_revision)
{
    if (!edit->write.in_doubt) {
        return true;
    }
    if (store_revision == edit->write.expected_revision) {
        start_write(edit);
        return false;
    }
    if (current != NULL &&
        find_revision(current, edit->write.tables->revision) != NULL) {
        edit->write.in_doubt = false;
        return true;
    }
    finish_unknown(edit, "the store no longer tells which edit made its "
                         "revision");
    return false;
}

/* Goes on with an edit whose id is not in the store. */
static void
continue_edit(HrEdit *edit, HrTables *current, uint64_t store_revision)
{
    uint64_t revision = current == NULL ? 0 : current->revision;

    if (revision < edit->known_revision) {
        HrError_Set(refuse(edit), HR_ERR_STALE,
                    "the edit was not made: the store %s, but revision "
                    "%" PRIu64 " is in force; run \"hickoryctl restore\", "
                    "then repeat the edit",
                    current == NULL ? "is empty" : "holds an older revision",
                    edit->known_revision);
        return;
    }
    if (edit->request->based_on > revision) {
        HrError_Set(refuse(edit), HR_ERR_STALE,
                    "the edit was not made: it is based on revision %" PRIu64
                    ", but the store holds %" PRIu64
                    "; read the tables again and check that this daemon "
                    "belongs to the right cluster",
                    edit->request->based_on, revision);
        return;
    }
    apply_edit(edit, current, store_revision);
}

/* Goes on with a restore whose id is not in the store; current is NULL when
 * the store is empty or its value does not parse. */
static void
continue_restore(HrEdit *edit, HrTables *current, uint64_t store_revision)
{
    if (edit->restore->revision < edit->known_revision) {
        HrError_Set(refuse(edit), HR_ERR_STALE,
                    "nothing was restored: this daemon holds revision %" PRIu64
                    ", but %" PRIu64 " is known; repeat the restore on a "
                    "daemon that holds it",
                    edit->restore->revision, edit->known_revision);
        return;
    }
    if (current != NULL && current->revision >= edit->restore->revision) {
        HrError_Set(refuse(edit), HR_ERR_INVALID,
                    "nothing was restored: the store holds revision %" PRIu64
                    ", which is not older than %" PRIu64 "; no restore is "
                    "needed",
                    current->revision, edit->restore->revision);
        return;
    }
    apply_restore(edit, store_revision);
}

/* Returns true if the id was used for another edit. */
static bool
is_reused_id(const HrEdit *edit, const HrEditRecord *record)
{
    return strcmp(record->operator_name, edit->operator_name) != 0 ||
           (edit->request != NULL &&
            strcmp(record->summary, edit->request->summary) != 0);
}

/* Ends the edit if the value read already contains it. */
static bool
recognize_edit(HrEdit *edit, HrTables *current)
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
        HrError_Set(refuse(edit), HR_ERR_DUPLICATE,
                    "the edit was not made: edit id \"%s\" was used by %s for "
                    "revision %" PRIu64 "; choose a new id",
                    edit->edit_id, record->operator_name, record->revision);
        return true;
    }
    accept(edit, current, record->revision, !edit->write.in_doubt);
    return true;
}

/* Goes on with the value that was read; NULL for none or an invalid one. */
static void
continue_with(HrEdit *edit, HrTables *current, uint64_t store_revision)
{
    if (recognize_edit(edit, current) ||
        !settle_write(edit, current, store_revision)) {
        return;
    }
    if (edit->request != NULL) {
        continue_edit(edit, current, store_revision);
    }
    else {
        continue_restore(edit, current, store_revision);
    }
}

/* Takes the value that was read. */
static void
handle_value(HrEdit *edit, const HrStoreReply *reply)
{
    HrError err = {0};

    talloc_free(edit->current);
    edit->current = HrTables_FromJson(edit, (const char *)reply->value.data,
                                      reply->value.length_bytes,
                                      "store key " HR_STORE_TABLES_KEY, &err);
    if (edit->current == NULL && edit->request != NULL) {
        if (edit->write.in_doubt) {
            finish_unknown(edit, "the store's value is damaged");
            return;
        }
        HrError_Set(refuse(edit), HR_ERR_INVALID,
                    "the edit was not made: %.200s; run \"hickoryctl "
                    "restore\", then repeat the edit",
                    err.message);
        return;
    }
    continue_with(edit, edit->current, reply->revision);
}

/* Takes the reply to a read. */
static void
handle_read_reply(HrEdit *edit, const HrStoreReply *reply)
{
    switch (reply->result) {
    case HR_STORE_OK:
        handle_value(edit, reply);
        break;
    case HR_STORE_ABSENT:
        continue_with(edit, NULL, 0);
        break;
    default:
        pause_before_read(edit);
        break;
    }
}

/* Takes the reply to a write. A mismatch does not prove that the write was
 * not made: a first copy of it may have been, so the id is read back. */
static void
handle_write_reply(HrEdit *edit, const HrStoreReply *reply)
{
    switch (reply->result) {
    case HR_STORE_OK:
        accept(edit, edit->write.tables, edit->write.tables->revision, false);
        break;
    case HR_STORE_NOT_DONE:
        edit->write.in_doubt = edit->write.was_in_doubt;
        pause_before_read(edit);
        break;
    case HR_STORE_MISMATCH:
        start_read(edit);
        break;
    default:
        pause_before_read(edit);
        break;
    }
}

/* Ends the edit at its deadline. */
static void
handle_deadline(HrEdit *edit)
{
    if (edit->write.in_doubt) {
        finish_unknown(edit, "the store did not answer in time");
        return;
    }
    HrError_Set(refuse(edit), HR_ERR_UNAVAILABLE,
                "this request has changed nothing: the store did not answer "
                "in %" PRId64 " ms; repeat it with the same edit id when the "
                "store is available",
                edit->config.deadline_ns / HR_NS_PER_MS);
}

/* Takes a timer event. */
static void
handle_timer(HrEdit *edit)
{
    if (edit->state == EDIT_IDLE || edit->state == EDIT_DONE) {
        return;
    }
    if (edit->now_ns >= edit->deadline_ns) {
        handle_deadline(edit);
    }
    else if (edit->now_ns >= edit->wake_ns) {
        if (edit->state == EDIT_PAUSED) {
            start_read(edit);
        }
        else {
            edit->request_id++; /* a later reply is ignored */
            pause_before_read(edit);
        }
    }
}

/* Copies the request of START. */
static int
take_start(HrEdit *edit, const HrEditEvent *event)
{
    edit->request = HrTablesEdit_Copy(edit, event->u.start.edit);
    if (edit->request == NULL) {
        return HrError_Set(refuse(edit), HR_ERR_NO_MEMORY, "out of memory");
    }
    edit->edit_id = edit->request->edit_id;
    edit->operator_name = edit->request->operator_name;
    edit->known_revision = event->u.start.known_revision;
    return HR_OK;
}

/* Copies the request of RESTORE. */
static int
take_restore(HrEdit *edit, const HrEditEvent *event)
{
    if (event->u.restore.tables == NULL) {
        return HrError_Set(refuse(edit), HR_ERR_NOT_FOUND,
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
        return HrError_Set(refuse(edit), HR_ERR_NO_MEMORY, "out of memory");
    }
    return HR_OK;
}

/* Takes the request and reads the store. */
static void
handle_request(HrEdit *edit, const HrEditEvent *event)
{
    int rc;

    if (edit->state != EDIT_IDLE) {
        return;
    }
    edit->deadline_ns = event->now_ns + edit->config.deadline_ns;
    rc = event->type == HR_EDIT_EVENT_START ? take_start(edit, event)
                                            : take_restore(edit, event);
    if (rc == HR_OK) {
        start_read(edit);
    }
}

/* Takes the reply to the open call; others are ignored. */
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

/* Takes one event. */
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

/* Pops the next action; returns false when there is none. */
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

/* Returns when the edit needs a timer event (INT64_MAX: never). */
int64_t
HrEdit_GetNextTimer(const HrEdit *edit)
{
    if (edit->state == EDIT_IDLE || edit->state == EDIT_DONE) {
        return HR_TIME_NEVER;
    }
    return edit->wake_ns < edit->deadline_ns ? edit->wake_ns
                                             : edit->deadline_ns;
}
