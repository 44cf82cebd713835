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

/* One edit with a store that the test plays by hand. */
typedef struct Fixture {
    HrEdit *edit;
    int64_t now_ns;
    HrEditAction action; /* the last one that was popped */
} Fixture;

/* Hands an event to the edit and pops its action, if there is one. */
static void
tell(Fixture *fixture, HrEditEvent *event)
{
    event->now_ns = fixture->now_ns;
    event->wall_ms = 1700000000000 + fixture->now_ns / MS;
    HrEdit_HandleEvent(fixture->edit, event);
    HrEdit_PopAction(fixture->edit, &fixture->action);
}

/* Returns the request id of the last action. */
static uint64_t
last_request(const Fixture *fixture)
{
    return fixture->action.type == HR_EDIT_ACTION_READ
               ? fixture->action.u.read.request_id
               : fixture->action.u.write.request_id;
}

/* Answers the last store call. */
static void
answer(Fixture *fixture, HrStoreResult result, uint64_t revision,
       const char *text)
{
    HrEditEvent event = {.type = HR_EDIT_EVENT_STORE_REPLY};

    event.u.store_reply.request_id = last_request(fixture);
    event.u.store_reply.result = result;
    event.u.store_reply.revision = revision;
    if (text != NULL) {
        event.u.store_reply.value.data = (const uint8_t *)text;
        event.u.store_reply.value.length_bytes = strlen(text);
    }
    tell(fixture, &event);
}

/* Lets time pass up to the next timer. */
static void
wait_timer(Fixture *fixture)
{
    HrEditEvent event = {.type = HR_EDIT_EVENT_TIMER};

    fixture->now_ns = HrEdit_GetNextTimer(fixture->edit);
    tell(fixture, &event);
}

/* Returns an edit that sets pool and route 0 to a value. */
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

/* Returns the store text after an edit of tables (NULL: none). */
static HrTables *
apply(const void *parent, const HrTables *old, const ModelEdit *edit)
{
    HrTablesEdit *request = ModelEdit_ToTablesEdit(NULL, edit);
    HrError err = {0};
    HrTables *tables = HrTablesEdit_Apply(parent, old, request, 1, &err);

    talloc_free(request);
    assert_non_null(tables);
    return tables;
}

/* Starts an edit. */
static Fixture
start(const ModelEdit *edit, uint64_t known_revision)
{
    Fixture fixture = {.now_ns = HR_NS_PER_S};
    HrEditEvent event = {.type = HR_EDIT_EVENT_START};
    HrTablesEdit *request = ModelEdit_ToTablesEdit(NULL, edit);
    HrEditConfig config;

    HrEditConfig_GetDefaults(&config);
    fixture.edit = HrEdit_Create(NULL, &config, HrRng_FromSeed(SEED));
    event.u.start.edit = request;
    event.u.start.known_revision = known_revision;
    tell(&fixture, &event);
    talloc_free(request);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    assert_string_equal(fixture.action.u.read.key, HR_STORE_TABLES_KEY);
    return fixture;
}

/* Asserts that the edit has ended with a result. */
static void
assert_done(const Fixture *fixture, HrEditResult result)
{
    assert_int_equal(fixture->action.type, HR_EDIT_ACTION_DONE);
    assert_int_equal(fixture->action.u.done.result, result);
    assert_int_equal(HrEdit_GetNextTimer(fixture->edit), HR_TIME_NEVER);
}

/* Tables at revisions 1 to 3; the last one by ben changes row 0. */
typedef struct History {
    void *memory;
    HrTables *tables[4];
    char *texts[4];
} History;

/* Makes the history. */
static History
make_history(void)
{
    History history = {.memory = talloc_new(NULL)};
    ModelEdit edit;
    uint64_t i;

    for (i = 1; i < 4; i++) {
        edit = make_edit("", i - 1, (int)i);
        snprintf(edit.id, sizeof(edit.id), "past-%d", (int)i);
        snprintf(edit.operator_name, sizeof(edit.operator_name), "%s", "ben");
        history.tables[i] = apply(
            history.memory, i == 1 ? NULL : history.tables[i - 1], &edit);
        history.texts[i] =
            HrTables_ToStoreText(history.memory, history.tables[i]);
    }
    return history;
}

/* Guards against an edit that is not written as one compare-and-swap of the
 * value that was read. */
static void
test_accepted(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 17);
    answer(&fixture, HR_STORE_OK, 18, NULL);
    assert_done(&fixture, HR_EDIT_ACCEPTED);
    assert_int_equal(fixture.action.u.done.revision, 4);
    assert_false(fixture.action.u.done.already_made);
    assert_int_equal(fixture.action.u.done.tables->routes[0].priority, 7);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a first edit that would overwrite tables. */
static void
test_first_edit_expects_no_value(void **state)
{
    ModelEdit edit = make_edit("e1", 0, 7);
    Fixture fixture = start(&edit, 0);

    (void)state;
    answer(&fixture, HR_STORE_ABSENT, 0, NULL);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 0);
    answer(&fixture, HR_STORE_OK, 1, NULL);
    assert_done(&fixture, HR_EDIT_ACCEPTED);
    talloc_free(fixture.edit);
}

/* Guards against a write whose reply is lost being reported as failed. */
static void
test_lost_reply_is_read_back(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    HrTables *made = apply(history.memory, history.tables[3], &edit);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    answer(&fixture, HR_STORE_LOST, 0, NULL);
    wait_timer(&fixture);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    answer(&fixture, HR_STORE_OK, 18,
           HrTables_ToStoreText(history.memory, made));
    assert_done(&fixture, HR_EDIT_ACCEPTED);
    assert_int_equal(fixture.action.u.done.revision, 4);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a second write that differs from the one that may still
 * arrive: the same bytes on the same revision can be stored only once. */
static void
test_lost_request_is_sent_again_unchanged(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start(&edit, 3);
    char *first;

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    first = talloc_strndup(history.memory,
                           (const char *)fixture.action.u.write.value.data,
                           fixture.action.u.write.value.length_bytes);
    wait_timer(&fixture); /* the call times out */
    wait_timer(&fixture); /* the pause ends */
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 17);
    assert_memory_equal(fixture.action.u.write.value.data, first,
                        strlen(first));
    answer(&fixture, HR_STORE_OK, 18, NULL);
    assert_done(&fixture, HR_EDIT_ACCEPTED);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a mismatch that is taken for a failure although the first
 * copy of the write was stored. */
static void
test_mismatch_is_read_back(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    HrTables *made = apply(history.memory, history.tables[3], &edit);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    answer(&fixture, HR_STORE_MISMATCH, 18, NULL);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    answer(&fixture, HR_STORE_OK, 18,
           HrTables_ToStoreText(history.memory, made));
    assert_done(&fixture, HR_EDIT_ACCEPTED);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against an edit of other rows that fails only because a second
 * operator was faster. */
static void
test_edit_of_other_rows_is_rebased(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 2, 7);
    Fixture fixture;

    (void)state;
    edit.values[0][0] = edit.values[1][0] = MODEL_UNCHANGED;
    edit.values[0][1] = edit.values[1][1] = 5;
    fixture = start(&edit, 2);
    answer(&fixture, HR_STORE_OK, 16, history.texts[2]);
    answer(&fixture, HR_STORE_MISMATCH, 17, NULL);
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 17);
    answer(&fixture, HR_STORE_OK, 18, NULL);
    assert_done(&fixture, HR_EDIT_ACCEPTED);
    assert_int_equal(fixture.action.u.done.revision, 4);
    assert_int_equal(fixture.action.u.done.tables->route_count, 2);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against the silent overwriting of a row that another operator has
 * changed, and a report that does not say by whom and how to go on. */
static void
test_conflict_names_the_changes(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 1, 7);
    Fixture fixture = start(&edit, 3);
    const HrEditOutcome *outcome = &fixture.action.u.done;

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_done(&fixture, HR_EDIT_CONFLICT);
    assert_int_equal(outcome->revision, 3);
    assert_int_equal(outcome->change_count, 2);
    assert_int_equal(outcome->changes[0].revision, 2);
    assert_string_equal(outcome->changes[1].operator_name, "ben");
    assert_non_null(strstr(outcome->error.message, "based on revision 3"));
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a second application when an operator repeats an edit. */
static void
test_repeated_edit_is_recognized(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("past-2", 1, 2);
    Fixture fixture;

    (void)state;
    snprintf(edit.operator_name, sizeof(edit.operator_name), "%s", "ben");
    fixture = start(&edit, 3);
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_done(&fixture, HR_EDIT_ACCEPTED);
    assert_true(fixture.action.u.done.already_made);
    assert_int_equal(fixture.action.u.done.revision, 2);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against another edit that is reported as made because its id was
 * used before. */
static void
test_reused_edit_id_is_refused(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("past-2", 3, 2);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_done(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_DUPLICATE);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against an edit on top of an older store, which would bring old rows
 * back into force. */
static void
test_older_store_is_refused(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 2, 7);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 20, history.texts[2]);
    assert_done(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_STALE);
    assert_non_null(strstr(fixture.action.u.done.error.message, "not made"));
    assert_non_null(
        strstr(fixture.action.u.done.error.message, "hickoryctl restore"));
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against an edit that starts anew on a store that was emptied. */
static void
test_empty_store_is_refused(void **state)
{
    ModelEdit edit = make_edit("e1", 0, 7);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_ABSENT, 0, NULL);
    assert_done(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_STALE);
    talloc_free(fixture.edit);
}

/* Guards against an edit that is applied to another cluster's tables. */
static void
test_base_above_the_store_is_refused(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 9, 7);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_done(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_STALE);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against "unknown" when nothing was ever written. */
static void
test_outage_before_the_write_is_refused(void **state)
{
    ModelEdit edit = make_edit("e1", 0, 7);
    Fixture fixture = start(&edit, 0);

    (void)state;
    while (fixture.action.type != HR_EDIT_ACTION_DONE) {
        wait_timer(&fixture);
    }
    assert_done(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_UNAVAILABLE);
    assert_int_equal(fixture.now_ns, 6 * HR_NS_PER_S);
    talloc_free(fixture.edit);
}

/* Guards against "refused" when the write may have been stored. */
static void
test_outage_after_the_write_is_unknown(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    while (fixture.action.type != HR_EDIT_ACTION_DONE) {
        wait_timer(&fixture);
    }
    assert_done(&fixture, HR_EDIT_UNKNOWN);
    assert_non_null(strstr(fixture.action.u.done.error.message, "e1"));
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against "unknown" for a write that surely was not stored. */
static void
test_write_over_the_rate_is_refused(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start(&edit, 3);

    (void)state;
    while (fixture.action.type != HR_EDIT_ACTION_DONE) {
        if (fixture.action.type == HR_EDIT_ACTION_WRITE) {
            answer(&fixture, HR_STORE_NOT_DONE, 0, NULL);
        }
        wait_timer(&fixture);
        if (fixture.action.type == HR_EDIT_ACTION_READ) {
            answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
        }
    }
    assert_done(&fixture, HR_EDIT_REFUSED);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a guess when the store has lost the revision in question. */
static void
test_store_lost_during_the_edit_is_unknown(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    answer(&fixture, HR_STORE_LOST, 0, NULL);
    wait_timer(&fixture);
    answer(&fixture, HR_STORE_OK, 19, history.texts[2]);
    assert_done(&fixture, HR_EDIT_UNKNOWN);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against invalid tables in the store. */
static void
test_invalid_edit_is_refused(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture;

    (void)state;
    edit.values[0][0] = MODEL_UNCHANGED;
    edit.values[1][0] = MODEL_ABSENT; /* route 0 still names the pool */
    fixture = start(&edit, 3);
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_done(&fixture, HR_EDIT_REFUSED);
    assert_non_null(strstr(fixture.action.u.done.error.message, "\"p0\""));
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a damaged value that is overwritten by an edit. */
static void
test_damaged_value_is_refused(void **state)
{
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start(&edit, 3);

    (void)state;
    answer(&fixture, HR_STORE_OK, 17, "{\"revision\":3");
    assert_done(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_INVALID);
    talloc_free(fixture.edit);
}

/* Guards against a late reply that is taken for the reply to a later call. */
static void
test_late_reply_is_ignored(void **state)
{
    History history = make_history();
    ModelEdit edit = make_edit("e1", 3, 7);
    Fixture fixture = start(&edit, 3);
    HrEditEvent late = {.type = HR_EDIT_EVENT_STORE_REPLY};

    (void)state;
    late.u.store_reply.request_id = last_request(&fixture);
    late.u.store_reply.result = HR_STORE_ABSENT;
    wait_timer(&fixture);
    wait_timer(&fixture);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    tell(&fixture, &late);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_READ);
    answer(&fixture, HR_STORE_OK, 17, history.texts[3]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Starts a restore. */
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
    tell(&fixture, &event);
    return fixture;
}

/* Guards against a restore that changes rows or makes a revision that some
 * daemon may already hold. */
static void
test_restore_of_an_older_store(void **state)
{
    History history = make_history();
    Fixture fixture = start_restore(history.tables[3], 3);
    const HrTables *made;

    (void)state;
    answer(&fixture, HR_STORE_OK, 20, history.texts[1]);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 20);
    answer(&fixture, HR_STORE_OK, 21, NULL);
    assert_done(&fixture, HR_EDIT_ACCEPTED);
    made = fixture.action.u.done.tables;
    assert_int_equal(made->revision, 3 + HR_RESTORE_REVISION_GAP);
    assert_int_equal(made->routes[0].revision, 3);
    assert_int_equal(made->edit_count, 4);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a restore that cannot repair an empty or damaged store. */
static void
test_restore_of_an_empty_or_damaged_store(void **state)
{
    History history = make_history();
    Fixture fixture = start_restore(history.tables[3], 3);

    (void)state;
    answer(&fixture, HR_STORE_ABSENT, 0, NULL);
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 0);
    talloc_free(fixture.edit);
    fixture = start_restore(history.tables[3], 3);
    answer(&fixture, HR_STORE_OK, 20, "{}}");
    assert_int_equal(fixture.action.type, HR_EDIT_ACTION_WRITE);
    assert_int_equal(fixture.action.u.write.expected_revision, 20);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

/* Guards against a restore that takes back an accepted edit. */
static void
test_restore_that_is_not_needed_is_refused(void **state)
{
    History history = make_history();
    Fixture fixture = start_restore(history.tables[2], 2);

    (void)state;
    answer(&fixture, HR_STORE_OK, 20, history.texts[3]);
    assert_done(&fixture, HR_EDIT_REFUSED);
    talloc_free(fixture.edit);
    fixture = start_restore(history.tables[2], 3);
    answer(&fixture, HR_STORE_ABSENT, 0, NULL);
    assert_done(&fixture, HR_EDIT_REFUSED);
    assert_int_equal(fixture.action.u.done.error.kind, HR_ERR_STALE);
    talloc_free(fixture.edit);
    fixture = start_restore(NULL, 0);
    assert_done(&fixture, HR_EDIT_REFUSED);
    talloc_free(fixture.edit);
    talloc_free(history.memory);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_accepted),
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
        cmocka_unit_test(test_base_above_the_store_is_refused),
        cmocka_unit_test(test_outage_before_the_write_is_refused),
        cmocka_unit_test(test_outage_after_the_write_is_unknown),
        cmocka_unit_test(test_write_over_the_rate_is_refused),
        cmocka_unit_test(test_store_lost_during_the_edit_is_unknown),
        cmocka_unit_test(test_invalid_edit_is_refused),
        cmocka_unit_test(test_damaged_value_is_refused),
        cmocka_unit_test(test_late_reply_is_ignored),
        cmocka_unit_test(test_restore_of_an_older_store),
        cmocka_unit_test(test_restore_of_an_empty_or_damaged_store),
        cmocka_unit_test(test_restore_that_is_not_needed_is_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
