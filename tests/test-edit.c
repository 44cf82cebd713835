#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "common-config-model.h"
#include "coord-edit.h"
#include "state-tables-json.h"

#define SEED UINT64_C(46100)
#define MS HR_NS_PER_MS

/* One edit; the test itself replies to its store calls. */
typedef struct Fixture {
    HrEdit *edit;
    int64_t now_ns;
    HrEditAction action; /* last action of the edit */
} Fixture;

/* Sends an event to the edit and pops its action, if there is one. */
static void
send_event(Fixture *fixture, HrEditEvent *event)
{
    event->now_ns = fixture->now_ns;
    event->wall_ms = 1700000000000 + fixture->now_ns / MS;
    HrEdit_HandleEvent(fixture->edit, event);
    HrEdit_PopAction(fixture->edit, &fixture->action);
}

/* Returns the request id of the last action, which is a store call. */
static uint64_t
get_last_request_id(const Fixture *fixture)
{
    return fixture->action.type == HR_EDIT_ACTION_READ
               ? fixture->action.u.read.request_id
               : fixture->action.u.write.request_id;
}

/* Replies to the last store call; text is the value, or NULL for none. */
static void
reply_to_call(Fixture *fixture, HrStoreResult result, uint64_t revision,
              const char *text)
{
    HrEditEvent event = {.type = HR_EDIT_EVENT_STORE_REPLY};

    event.u.store_reply.request_id = get_last_request_id(fixture);
    event.u.store_reply.result = result;
    event.u.store_reply.revision = revision;
    if (text != NULL) {
        event.u.store_reply.value.data = (const uint8_t *)text;
        event.u.store_reply.value.length_bytes = strlen(text);
    }
    send_event(fixture, &event);
}

/* Advances the time to the next timer of the edit and sends the timer event.
 */
static void
advance_to_timer(Fixture *fixture)
{
    HrEditEvent event = {.type = HR_EDIT_EVENT_TIMER};

    fixture->now_ns = HrEdit_GetNextTimer(fixture->edit);
    send_event(fixture, &event);
}

/* Returns an edit by "ann" that sets route 0 and pool 0 to a value. */
static ModelEdit
make_edit(const char *id, uint64_t based_on, int value)
{
    ModelEdit edit = {.based_on = based_on,
                      .values = {{value, MODEL_UNCHANGED, MODEL_UNCHANGED},
                                 {value, MODEL_UNCHANGED, MODEL_UNCHANGED}}};

    snprintf(edit.id, sizeof(edit.id), "%s", id);
    snprintf(edit.operator_name, sizeof(edit.operator_name), "%s", "ann");
    return edit;
}

/* Returns the tables that an edit makes out of old (NULL: none). */
static HrTables *
apply_edit(const void *parent, const HrTables *old, const ModelEdit *edit)
{
    HrTablesEdit *request = ModelEdit_ToTablesEdit(NULL, edit);
    HrError err = {0};
    HrTables *tables = HrTablesEdit_Apply(parent, old, request, 1, &err);

    talloc_free(request);
    assert_non_null(tables);
    return tables;
}

/* Starts an edit and asserts that it reads the store. */
static Fixture
start_edit(const ModelEdit *edit, uint64_t known_revision)
{
    Fixture fixture = {.now_ns = HR_NS_PER_S};
    HrEditEvent event = {.type = HR_EDIT_EVENT_START};
    HrTablesEdit *request = ModelEdit_ToTablesEdit(NULL, edit);
    HrEditConfig config;

    HrEditConfig_GetDefaults(&config);
    fixture.edit = HrEdit_Create(NULL, &config, HrRng_FromSeed(SEED));
    event.u.start.edit = request;
    event.u.start.known_revision = known_revision;
    send_event(&fixture, &event);
    talloc_free(request);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    assert_string_equal(fixture.action.u.read.key, HR_STORE_TABLES_KEY);
    return fixture;
}

/* Asserts that the edit has ended with a result and needs no timer. */
static void
assert_ended(const Fixture *fixture, HrEditResult result)
{
    assert_int_equal(fixture->action.type, HR_EDIT_ACTION_DONE);
    assert_int_equal(fixture->action.u.done.result, result);
    assert_int_equal(HrEdit_GetNextTimer(fixture->edit), HR_TIME_NEVER);
}

/* Tables at revisions 1 to 3, with their store text. Each revision is an edit
 * of row 0 by "ben"; index 0 is not used. */
typedef struct History {
    void *memory;
    HrTables *tables[4];
    char *texts[4];
} History;

/* Creates the tables of the history; free them with talloc_free(memory). */
static History
create_history(void)
{
    History history = {.memory = talloc_new(NULL)};
    ModelEdit edit;
    uint64_t i;

    for (i = 1; i < 4; i++) {
        edit = make_edit("", i - 1, (int)i);
        snprintf(edit.id, sizeof(edit.id), "past-%d", (int)i);
        snprintf(edit.operator_name, sizeof(edit.operator_name), "%s", "ben");
        history.tables[i] = apply_edit(
            history.memory, i == 1 ? NULL : history.tables[i - 1], &edit);
        history.texts[i] =
            HrTables_ToStoreText(history.memory, history.tables[i]);
    }
    return history;
}

/* Guards against an edit that is not written by one compare-and-swap on the
 * revision that was read. */
static void
test_edit_is_accepted(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 17);
    reply_to_call(&fixture, HR_STORE_OK, 18, NULL);
    assert_ended(&fixture, HR_EDIT_ACCEPTED);
    assert_int_equal(fixture.action.u.done.revision, 4);
    assert_false(fixture.action.u.done.already_made);
    assert_int_equal(fixture.action.u.done.tables->routes[0].priority, 7);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a first edit that overwrites tables: it must expect that the
 * key is absent. */
static void
test_first_edit_expects_no_value(void **state)
{
    ModelEdit edit = make_edit("e1", 0, 7);
    Fixture fixture = start_edit(&edit, 0);

    (void)state;
    reply_to_call(&fixture, HR_STORE_ABSENT, 0, NULL);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 0);
    reply_to_call(&fixture, HR_STORE_OK, 1, NULL);
    assert_ended(&fixture, HR_EDIT_ACCEPTED);
    talloc_free(fixture.edit);
}

/* Guards against reporting a stored write as failed because its reply was
 * lost. */
static void
test_lost_reply_is_read_back(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    HrTables *new_tables =
        apply_edit(history.memory, history.tables[3], &edit);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    reply_to_call(&fixture, HR_STORE_LOST, 0, NULL);
    advance_to_timer(&fixture);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    reply_to_call(&fixture, HR_STORE_OK, 18,
                  HrTables_ToStoreText(history.memory, new_tables));
    assert_ended(&fixture, HR_EDIT_ACCEPTED);
    assert_int_equal(fixture.action.u.done.revision, 4);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against storing an edit twice: a repeated write must have the same
 * bytes and expected revision as the first one, which the store may still
 * receive. Then it accepts only one of them. */
static void
test_lost_request_is_sent_again_unchanged(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start_edit(&edit, 3);
    char *first;

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    first = talloc_strndup(history.memory,
                           (const char *)fixture.action.u.write.value.data,
                           fixture.action.u.write.value.length_bytes);
    advance_to_timer(&fixture); /* the call times out */
    advance_to_timer(&fixture); /* the delay ends */
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 17);
    assert_memory_equal(fixture.action.u.write.value.data, first,
                        strlen(first));
    reply_to_call(&fixture, HR_STORE_OK, 18, NULL);
    assert_ended(&fixture, HR_EDIT_ACCEPTED);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against reporting a mismatch as a failure although the store accepted
 * an earlier copy of the write. */
static void
test_mismatch_is_read_back(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    HrTables *new_tables =
        apply_edit(history.memory, history.tables[3], &edit);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    reply_to_call(&fixture, HR_STORE_MISMATCH, 18, NULL);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    reply_to_call(&fixture, HR_STORE_OK, 18,
                  HrTables_ToStoreText(history.memory, new_tables));
    assert_ended(&fixture, HR_EDIT_ACCEPTED);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against an edit that fails because another operator changed other
 * rows first. */
static void
test_edit_of_other_rows_is_rebased(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 2, 7);
    Fixture fixture;

    (void)state;
    edit.values[0][0] = edit.values[1][0] = MODEL_UNCHANGED;
    edit.values[0][1] = edit.values[1][1] = 5;
    fixture = start_edit(&edit, 2);
    reply_to_call(&fixture, HR_STORE_OK, 16, history.texts[2]);
    reply_to_call(&fixture, HR_STORE_MISMATCH, 17, NULL);
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 17);
    reply_to_call(&fixture, HR_STORE_OK, 18, NULL);
    assert_ended(&fixture, HR_EDIT_ACCEPTED);
    assert_int_equal(fixture.action.u.done.revision, 4);
    assert_int_equal(fixture.action.u.done.tables->route_count, 2);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against silently overwriting a row that another operator has changed,
 * and against an error that does not name the other edits and the revision to
 * base the next edit on. */
static void
test_conflict_names_the_changes(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 1, 7);
    Fixture fixture = start_edit(&edit, 3);
    const HrEditOutcome *outcome = &fixture.action.u.done;

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_ended(&fixture, HR_EDIT_CONFLICT);
    assert_int_equal(outcome->revision, 3);
    assert_int_equal(outcome->change_count, 2);
    assert_int_equal(outcome->changes[0].revision, 2);
    assert_string_equal(outcome->changes[1].operator_name, "ben");
    assert_non_null(strstr(outcome->error.message, "based on revision 3"));
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against applying an edit twice when an operator repeats it. */
static void
test_repeated_edit_is_recognized(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("past-2", 1, 2);
    Fixture fixture;

    (void)state;
    snprintf(edit.operator_name, sizeof(edit.operator_name), "%s", "ben");
    fixture = start_edit(&edit, 3);
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_ended(&fixture, HR_EDIT_ACCEPTED);
    assert_true(fixture.action.u.done.already_made);
    assert_int_equal(fixture.action.u.done.revision, 2);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against reporting an edit as made because its id was used before by
 * another edit. */
static void
test_reused_edit_id_is_refused(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("past-2", 3, 2);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_ended(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_DUPLICATE);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against an edit of a store that holds an older revision than the one
 * in force, which would put old rows in force again. */
static void
test_older_store_is_refused(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 2, 7);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 20, history.texts[2]);
    assert_ended(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_STALE);
    assert_non_null(strstr(fixture.action.u.done.error.message, "not made"));
    assert_non_null(
        strstr(fixture.action.u.done.error.message, "hickoryctl restore"));
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against an edit that creates new tables in a store that has lost its
 * tables. */
static void
test_empty_store_is_refused(void **state)
{
    ModelEdit edit = make_edit("e1", 0, 7);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_ABSENT, 0, NULL);
    assert_ended(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_STALE);
    talloc_free(fixture.edit);
}

/* Guards against an edit that is applied to another cluster's tables. */
static void
test_base_newer_than_the_store_is_refused(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 9, 7);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_ended(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_STALE);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against the result "unknown" when no write was sent before the
 * deadline. */
static void
test_outage_before_the_write_is_refused(void **state)
{
    ModelEdit edit = make_edit("e1", 0, 7);
    Fixture fixture = start_edit(&edit, 0);

    (void)state;
    while (fixture.action.type != HR_EDIT_ACTION_DONE) {
        advance_to_timer(&fixture);
    }
    assert_ended(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_UNAVAILABLE);
    assert_int_equal(fixture.now_ns, 6 * HR_NS_PER_S);
    talloc_free(fixture.edit);
}

/* Guards against the result "refused" when the store may have accepted the
 * write. */
static void
test_outage_after_the_write_is_unknown(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    while (fixture.action.type != HR_EDIT_ACTION_DONE) {
        advance_to_timer(&fixture);
    }
    assert_ended(&fixture, HR_EDIT_UNKNOWN);
    assert_non_null(strstr(fixture.action.u.done.error.message, "e1"));
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against the result "unknown" when every write was refused by the rate
 * limit of the store, so that none can have been stored. */
static void
test_rate_limited_write_is_refused(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    while (fixture.action.type != HR_EDIT_ACTION_DONE) {
        if (fixture.action.type == HR_EDIT_ACTION_WRITE) {
            reply_to_call(&fixture, HR_STORE_NOT_DONE, 0, NULL);
        }
        advance_to_timer(&fixture);
        if (fixture.action.type == HR_EDIT_ACTION_READ) {
            reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
        }
    }
    assert_ended(&fixture, HR_EDIT_REFUSED);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against any result but "unknown" when the store returns to an older
 * revision, so that its history does not show whether the write was stored. */
static void
test_store_lost_during_the_edit_is_unknown(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    reply_to_call(&fixture, HR_STORE_LOST, 0, NULL);
    advance_to_timer(&fixture);
    reply_to_call(&fixture, HR_STORE_OK, 19, history.texts[2]);
    assert_ended(&fixture, HR_EDIT_UNKNOWN);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against an edit that writes invalid tables to the store. */
static void
test_invalid_edit_is_refused(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture;

    (void)state;
    edit.values[0][0] = MODEL_UNCHANGED;
    edit.values[1][0] = MODEL_ABSENT; /* route 0 still refers to pool 0 */
    fixture = start_edit(&edit, 3);
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_ended(&fixture, HR_EDIT_REFUSED);
    assert_non_null(strstr(fixture.action.u.done.error.message, "\"p0\""));
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against an edit that overwrites a damaged value in the store. */
static void
test_damaged_value_is_refused(void **state)
{
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start_edit(&edit, 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 17, "{\"revision\":3");
    assert_ended(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_INVALID);
    talloc_free(fixture.edit);
}

/* Guards against processing the late reply to a call that has timed out as the
 * reply to the next call. */
static void
test_late_reply_is_ignored(void **state)
{
    History history = create_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start_edit(&edit, 3);
    HrEditEvent late = {.type = HR_EDIT_EVENT_STORE_REPLY};

    (void)state;
    late.u.store_reply.request_id = get_last_request_id(&fixture);
    late.u.store_reply.result = HR_STORE_ABSENT;
    advance_to_timer(&fixture);
    advance_to_timer(&fixture);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    send_event(&fixture, &late);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    reply_to_call(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Starts a restore of the given tables; NULL: the daemon has none. */
static Fixture
start_restore(const HrTables *held, uint64_t known_revision)
{
    Fixture fixture = {.now_ns = HR_NS_PER_S};
    HrEditEvent event = {.type = HR_EDIT_EVENT_RESTORE};
    HrEditConfig config;

    HrEditConfig_GetDefaults(&config);
    fixture.edit = HrEdit_Create(NULL, &config, HrRng_FromSeed(SEED));
    event.u.restore.tables = held;
    event.u.restore.edit_id = "restore-1";
    event.u.restore.operator_name = "ann";
    event.u.restore.known_revision = known_revision;
    send_event(&fixture, &event);
    return fixture;
}

/* Guards against a restore that changes rows, or that creates a revision which
 * some daemon may already have with other contents. */
static void
test_restore_of_an_older_store(void **state)
{
    History history = create_history();
    Fixture fixture = start_restore(history.tables[3], 3);
    const HrTables *new_tables;

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 20, history.texts[1]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 20);
    reply_to_call(&fixture, HR_STORE_OK, 21, NULL);
    assert_ended(&fixture, HR_EDIT_ACCEPTED);
    new_tables = fixture.action.u.done.tables;
    assert_int_equal(new_tables->revision, 3 + HR_RESTORE_REVISION_GAP);
    assert_int_equal(new_tables->routes[0].revision, 3);
    assert_int_equal(new_tables->edit_count, 4);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a restore that fails because the store is empty or its value
 * is damaged. */
static void
test_restore_of_an_empty_or_damaged_store(void **state)
{
    History history = create_history();
    Fixture fixture = start_restore(history.tables[3], 3);

    (void)state;
    reply_to_call(&fixture, HR_STORE_ABSENT, 0, NULL);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 0);
    talloc_free(fixture.edit);
    fixture = start_restore(history.tables[3], 3);
    reply_to_call(&fixture, HR_STORE_OK, 20, "{}}");
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 20);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a restore that undoes an accepted edit: the store has a newer
 * revision, a newer one is known elsewhere, or the daemon has no tables. */
static void
test_unneeded_restore_is_refused(void **state)
{
    History history = create_history();
    Fixture fixture = start_restore(history.tables[2], 2);

    (void)state;
    reply_to_call(&fixture, HR_STORE_OK, 20, history.texts[3]);
    assert_ended(&fixture, HR_EDIT_REFUSED);
    talloc_free(fixture.edit);
    fixture = start_restore(history.tables[2], 3);
    reply_to_call(&fixture, HR_STORE_ABSENT, 0, NULL);
    assert_ended(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_STALE);
    talloc_free(fixture.edit);
    fixture = start_restore(NULL, 0);
    assert_ended(&fixture, HR_EDIT_REFUSED);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_edit_is_accepted),
        cmocka_unit_test(test_first_edit_expects_no_value),
        cmocka_unit_test(test_lost_reply_is_read_back),
        cmocka_unit_test(test_lost_request_is_sent_again_unchanged),
        cmocka_unit_test(test_mismatch_is_read_back),
        cmocka_unit_test(test_edit_of_other_rows_is_rebased),
        cmocka_unit_test(test_conflict_names_the_changes),
        cmocka_unit_test(test_repeated_edit_is_recognized),
        cmocka_unit_test(test_reused_edit_id_is_refused),
        cmocka_unit_test(test_older_store_is_refused),
        cmocka_unit_test(test_empty_store_is_refused),
        cmocka_unit_test(test_base_newer_than_the_store_is_refused),
        cmocka_unit_test(test_outage_before_the_write_is_refused),
        cmocka_unit_test(test_outage_after_the_write_is_unknown),
        cmocka_unit_test(test_rate_limited_write_is_refused),
        cmocka_unit_test(test_store_lost_during_the_edit_is_unknown),
        cmocka_unit_test(test_invalid_edit_is_refused),
        cmocka_unit_test(test_damaged_value_is_refused),
        cmocka_unit_test(test_late_reply_is_ignored),
        cmocka_unit_test(test_restore_of_an_older_store),
        cmocka_unit_test(test_restore_of_an_empty_or_damaged_store),
        cmocka_unit_test(test_unneeded_restore_is_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
