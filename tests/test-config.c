#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "common-config-sim.h"
#include "state-tables-json.h"

#define SEED UINT64_C(46200)
#define MS HR_NS_PER_MS
#define SECOND HR_NS_PER_S

static const SimFaults no_faults = {.message_delay_ns = 2 * MS,
                                    .store.delay_ns = 2 * MS};

/* Starts a cluster without faults in which every daemon holds revision 1. */
static Sim *
start_cluster(uint32_t daemons)
{
    Sim *sim = Sim_Create(SEED, daemons, &no_faults);
    ModelEdit edit = {.values = {{1, MODEL_UNCHANGED, MODEL_UNCHANGED},
                                 {1, MODEL_UNCHANGED, MODEL_UNCHANGED}}};

    print_message("seed %llu\n", (unsigned long long)SEED);
    Sim_RunUntil(sim, 2 * SECOND);
    Sim_StartEdit(sim, 0, &edit);
    Sim_RunUntil(sim, 4 * SECOND);
    assert_int_equal(sim->edits[0].result, HR_EDIT_ACCEPTED);
    Sim_CheckConverged(sim);
    return sim;
}

/* Makes an edit on a daemon, and checks that it is accepted within 100 ms. */
static void
perform_edit(Sim *sim, uint32_t daemon, int value)
{
    ModelEdit edit = {.values = {{value, MODEL_UNCHANGED, MODEL_UNCHANGED},
                                 {value, MODEL_UNCHANGED, MODEL_UNCHANGED}}};
    uint32_t index;

    edit.based_on = HrConfig_GetTables(sim->daemons[daemon].config)->revision;
    index = Sim_StartEdit(sim, daemon, &edit);
    Sim_RunUntil(sim, sim->now_ns + 100 * MS);
    assert_int_equal(sim->edits[index].result, HR_EDIT_ACCEPTED);
}

/* Returns the present status of a daemon. */
static HrConfigStatus
get_status(const Sim *sim, uint32_t daemon)
{
    return HrConfig_Status(sim->daemons[daemon].config, sim->now_ns);
}

/* Guards against an edit that hints, comparisons and watches of the store do
 * not put in force on every daemon within 6 s. */
static void
test_edit_is_in_force_within_six_seconds(void **state)
{
    Sim *sim = start_cluster(6);
    uint32_t i;

    (void)state;
    perform_edit(sim, 3, 5);
    Sim_RunUntil(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    for (i = 0; i < 6; i++) {
        assert_int_equal(sim->daemons[i].published, 2);
    }
    talloc_free(sim);
}

/* Guards against more or fewer than two store readers in a data centre. */
static void
test_two_readers_per_data_centre(void **state)
{
    Sim *sim = start_cluster(6);
    uint32_t readers[2] = {0}, i;

    (void)state;
    for (i = 0; i < 6; i++) {
        readers[i % 2] += get_status(sim, i).store_reader ? 1 : 0;
    }
    assert_int_equal(readers[0], 2);
    assert_int_equal(readers[1], 2);
    talloc_free(sim);
}

/* Guards against a store reader that calls the store less often than every 2
 * s, or so often that it overloads it, also during an outage. */
static void
test_readers_call_every_two_seconds(void **state)
{
    Sim *sim = start_cluster(6);
    uint64_t before = sim->store->read_count;

    (void)state;
    Sim_RunUntil(sim, sim->now_ns + 20 * SECOND);
    assert_in_range(sim->store->read_count - before, 36, 44);
    sim->store->outage = true;
    Sim_RunUntil(sim, sim->now_ns + 2 * SECOND);
    before = sim->store->read_count;
    Sim_RunUntil(sim, sim->now_ns + 20 * SECOND);
    assert_in_range(sim->store->read_count - before, 36, 100);
    talloc_free(sim);
}

/* Guards against a daemon that is cut off from its peers and does not read the
 * store, because it is not a store reader. */
static void
test_daemon_without_peers_reads_the_store(void **state)
{
    Sim *sim = start_cluster(6);
    uint32_t i, isolated = 0;

    (void)state;
    for (i = 0; i < 6; i++) {
        if (!get_status(sim, i).store_reader) {
            isolated = i;
        }
    }
    sim->daemons[isolated].cut_off = true;
    perform_edit(sim, (isolated + 1) % 6, 5);
    Sim_RunUntil(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    assert_false(get_status(sim, isolated).cut_off);
    talloc_free(sim);
}

/* Guards against a daemon that misses every hint about an edit and does not
 * receive the edit until the next hint. The daemon is cut off for less than
 * the 3 s after which it would read the store, and then the store is down, so
 * only the regular comparison with a peer can transfer the edit. */
static void
test_comparison_replaces_missed_hints(void **state)
{
    SimFaults faults = no_faults;
    ModelEdit edit = {.values = {{1, MODEL_UNCHANGED, MODEL_UNCHANGED},
                                 {1, MODEL_UNCHANGED, MODEL_UNCHANGED}}};
    uint32_t isolated = 0, i;
    Sim *sim;

    (void)state;
    faults.one_data_centre = true;
    sim = Sim_Create(SEED, 6, &faults);
    Sim_RunUntil(sim, 2 * SECOND);
    Sim_StartEdit(sim, 0, &edit);
    Sim_RunUntil(sim, 4 * SECOND);
    for (i = 0; i < 6; i++) {
        isolated = get_status(sim, i).store_reader ? isolated : i;
    }
    sim->daemons[isolated].cut_off = true;
    perform_edit(sim, (isolated + 1) % 6, 5);
    Sim_RunUntil(sim, sim->now_ns + SECOND);
    assert_int_equal(get_status(sim, isolated).revision, 1);
    sim->store->outage = true;
    sim->daemons[isolated].cut_off = false;
    Sim_RunUntil(sim, sim->now_ns + 1500 * MS);
    assert_int_equal(get_status(sim, isolated).revision, 2);
    talloc_free(sim);
}

/* Guards against a daemon that is cut off from the store and all peers and
 * does not report it, discards its tables, or does not catch up afterwards. */
static void
test_cut_off_daemon_reports_it_and_catches_up(void **state)
{
    Sim *sim = start_cluster(4);
    HrConfigStatus status;

    (void)state;
    sim->daemons[1].cut_off = true;
    sim->store->outage = true;
    Sim_RunUntil(sim, sim->now_ns + 60 * SECOND);
    status = get_status(sim, 1);
    assert_true(status.cut_off);
    assert_int_equal(status.revision, 1);
    assert_in_range(status.age_ms, 58000, 64000);
    assert_false(get_status(sim, 0).cut_off);
    assert_in_range(get_status(sim, 0).age_ms, 58000, 64000);
    sim->store->outage = false;
    Sim_RunUntil(sim, sim->now_ns + 3 * SECOND);
    perform_edit(sim, 0, 5);
    Sim_RunUntil(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    assert_in_range(get_status(sim, 1).age_ms, 0, 4000);
    talloc_free(sim);
}

/* Guards against a new daemon that receives no tables during an outage of the
 * store, although its peers hold them. */
static void
test_new_daemon_pulls_tables_from_peers(void **state)
{
    Sim *sim = start_cluster(4);

    (void)state;
    sim->store->outage = true;
    Sim_RestartDaemon(sim, 2);
    assert_null(HrConfig_GetTables(sim->daemons[2].config));
    assert_int_equal(HrConfig_CheckEditable(sim->daemons[2].config, NULL),
                     HR_ERR_UNAVAILABLE);
    Sim_RunUntil(sim, sim->now_ns + 2 * SECOND);
    assert_int_equal(get_status(sim, 2).revision, 1);
    assert_int_equal(HrConfig_CheckEditable(sim->daemons[2].config, NULL),
                     HR_OK);
    talloc_free(sim);
}

/* Guards against a daemon that assumes that it is the only one and edits an
 * empty store, before the other daemons that its settings name have sent a
 * message. */
static void
test_edits_wait_for_expected_peers(void **state)
{
    HrConfigSettings settings;
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_START};
    HrMemberView view = {.member_count = 0};
    HrConfig *config;

    (void)state;
    HrConfigSettings_GetDefaults(&settings, 1);
    settings.expects_peers = true;
    config = HrConfig_Create(NULL, &settings, HrRng_FromSeed(1));
    HrConfig_HandleEvent(config, &event);
    event.type = HR_CONFIG_EVENT_MEMBERS;
    event.u.members = &view;
    HrConfig_HandleEvent(config, &event);
    assert_int_equal(HrConfig_CheckEditable(config, NULL), HR_ERR_UNAVAILABLE);
    event.type = HR_CONFIG_EVENT_TIMER;
    event.now_ns = settings.alone_timeout_ns;
    HrConfig_HandleEvent(config, &event);
    assert_int_equal(HrConfig_CheckEditable(config, NULL), HR_OK);
    talloc_free(config);
}

/* Guards against a store with older tables that are put in force or raise no
 * alarm. */
static void
test_older_store_raises_alarm(void **state)
{
    Sim *sim = start_cluster(2);

    (void)state;
    perform_edit(sim, 0, 5);
    Sim_RunUntil(sim, sim->now_ns + 3 * SECOND);
    SimStore_RollBack(sim->store, 0);
    Sim_RunUntil(sim, sim->now_ns + 6 * SECOND);
    assert_int_equal(get_status(sim, 0).alarm, HR_CONFIG_ALARM_STORE_OLDER);
    assert_int_equal(get_status(sim, 1).alarm, HR_CONFIG_ALARM_STORE_OLDER);
    assert_non_null(strstr(get_status(sim, 0).remedy, "hickoryctl restore"));
    assert_int_equal(get_status(sim, 0).revision, 2);
    Sim_StartRestore(sim, 1);
    Sim_RunUntil(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    talloc_free(sim);
}

/* Guards against a store that has lost its value and raises no alarm. */
static void
test_empty_store_raises_alarm(void **state)
{
    Sim *sim = start_cluster(2);

    (void)state;
    SimStore_RollBack(sim->store, -1);
    Sim_RunUntil(sim, sim->now_ns + 6 * SECOND);
    assert_int_equal(get_status(sim, 0).alarm, HR_CONFIG_ALARM_STORE_EMPTY);
    assert_int_equal(get_status(sim, 0).revision, 1);
    Sim_StartRestore(sim, 0);
    Sim_RunUntil(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    talloc_free(sim);
}

/* One HrConfig. The test acts as its store and its peers. */
typedef struct Fixture {
    HrConfig *config;
    HrCounters counters;
    int64_t now_ns;
    uint64_t read_id;            /* request id of the last store call */
    HrConfigAction last_sent[8]; /* messages sent after the last event; their
                                  * rows are freed */
    uint32_t sent_count;
    uint32_t last_edit_count; /* number of edits in the last delta sent */
    HrConfigAlarm alarm;
    uint64_t published; /* last revision put in force */
} Fixture;

/* Passes an event to the HrConfig and records its actions. */
static void
handle_event(Fixture *fixture, HrConfigEvent *event)
{
    HrConfigAction action;

    event->now_ns = fixture->now_ns;
    HrConfig_HandleEvent(fixture->config, event);
    fixture->sent_count = 0;
    while (HrConfig_PopAction(fixture->config, &action)) {
        switch (action.type) {
        case HR_CONFIG_ACTION_READ:
            fixture->read_id = action.u.read.request_id;
            break;
        case HR_CONFIG_ACTION_SEND:
            assert_true(fixture->sent_count < 8);
            fixture->last_sent[fixture->sent_count++] = action;
            if (action.u.send.message.type == HR_CONFIG_MESSAGE_DELTA) {
                fixture->last_edit_count =
                    action.u.send.message.u.delta.rows->edit_count;
            }
            break;
        case HR_CONFIG_ACTION_PUBLISH:
            fixture->published = action.u.publish.tables->revision;
            break;
        case HR_CONFIG_ACTION_ALARM:
            fixture->alarm = action.u.alarm.alarm;
            break;
        }
    }
}

/* Starts an HrConfig with daemon id 1 and the peers 2 and 3. Daemon 3 is in
 * another data centre, so daemons 1 and 2 are the two store readers of theirs,
 * regardless of their rank. */
static Fixture *
start_fixture(void)
{
    Fixture *fixture = talloc_zero(NULL, Fixture);
    HrMember members[3] = {{.daemon_id = 1, .data_centre = "dc1"},
                           {.daemon_id = 2, .data_centre = "dc1"},
                           {.daemon_id = 3, .data_centre = "dc2"}};
    HrMemberView view = {.members = members, .member_count = 3};
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_START};
    HrConfigSettings settings;

    HrConfigSettings_GetDefaults(&settings, 1);
    settings.counters = &fixture->counters;
    fixture->config =
        HrConfig_Create(fixture, &settings, HrRng_FromSeed(SEED));
    fixture->now_ns = SECOND;
    handle_event(fixture, &event);
    event.type = HR_CONFIG_EVENT_MEMBERS;
    event.u.members = &view;
    handle_event(fixture, &event);
    return fixture;
}

/* Passes a message from a peer to the HrConfig. */
static void
deliver_peer_message(Fixture *fixture, uint64_t from_id,
                     HrConfigMessage message)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_MESSAGE};

    event.u.message.from_id = from_id;
    event.u.message.message = &message;
    handle_event(fixture, &event);
}

/* Returns tables at a revision, built by one edit per revision. Edit i sets
 * the same pool and the same route to the value i modulo 8. */
static HrTables *
make_tables(const void *parent, uint64_t revision)
{
    HrTables *tables = NULL;
    uint64_t i;

    for (i = 1; i <= revision; i++) {
        ModelEdit edit = {
            .operator_name = "ann",
            .values = {{(int)i % 8, MODEL_UNCHANGED, MODEL_UNCHANGED},
                       {(int)i % 8, MODEL_UNCHANGED, MODEL_UNCHANGED}}};
        HrTablesEdit *request;

        snprintf(edit.id, sizeof(edit.id), "e%d", (int)i);
        request = ModelEdit_ToTablesEdit(parent, &edit);
        tables = HrTablesEdit_Apply(parent, tables, request, 1, NULL);
        assert_non_null(tables);
    }
    return tables;
}

/* Returns a delta message with all rows of tables. */
static HrConfigMessage
make_full_delta(const HrTables *tables)
{
    HrConfigMessage message = {.type = HR_CONFIG_MESSAGE_DELTA,
                               .revision = tables->revision,
                               .digest = tables->digest,
                               .age_ms = 10,
                               .u.delta = {.full = true, .rows = tables}};

    return message;
}

/* Passes a reply to the last store call to the HrConfig. */
static void
reply_to_read(Fixture *fixture, HrStoreResult result, uint64_t revision,
              const char *text)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_STORE_REPLY};

    event.u.store_reply.request_id = fixture->read_id;
    event.u.store_reply.result = result;
    event.u.store_reply.revision = revision;
    if (text != NULL) {
        event.u.store_reply.value.data = (const uint8_t *)text;
        event.u.store_reply.value.length_bytes = strlen(text);
    }
    handle_event(fixture, &event);
}

/* Guards against tables that return to an older revision or are put in force
 * again, when a delta is received late or twice. */
static void
test_old_and_repeated_deltas_are_ignored(void **state)
{
    Fixture *fixture = start_fixture();
    HrTables *second = make_tables(fixture, 2);
    HrTables *third = make_tables(fixture, 3);

    (void)state;
    deliver_peer_message(fixture, 2, make_full_delta(third));
    assert_int_equal(fixture->published, 3);
    fixture->published = 0;
    deliver_peer_message(fixture, 2, make_full_delta(second));
    deliver_peer_message(fixture, 2, make_full_delta(third));
    assert_int_equal(fixture->published, 0);
    assert_int_equal(HrConfig_GetTables(fixture->config)->revision, 3);
    talloc_free(fixture);
}

/* Guards against a new revision that is not announced to several peers at
 * once. It would then spread only by the comparison every second. */
static void
test_new_revision_is_announced(void **state)
{
    Fixture *fixture = start_fixture();
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_LOCAL_TABLES};
    uint32_t i;

    (void)state;
    event.u.tables = make_tables(fixture, 2);
    handle_event(fixture, &event);
    assert_int_equal(fixture->published, 2);
    assert_int_equal(fixture->sent_count, 2);
    for (i = 0; i < 2; i++) {
        const HrConfigAction *action = &fixture->last_sent[i];

        assert_int_equal(action->u.send.message.type, HR_CONFIG_MESSAGE_HINT);
        assert_int_equal(action->u.send.message.revision, 2);
    }
    assert_true(fixture->last_sent[0].u.send.to_id !=
                fixture->last_sent[1].u.send.to_id);
    talloc_free(fixture);
}

/* Guards against a pull that is answered with more than the missing rows, or
 * not answered if the tables are equal. */
static void
test_pull_returns_missing_rows(void **state)
{
    Fixture *fixture = start_fixture();
    HrConfigMessage pull = {.type = HR_CONFIG_MESSAGE_PULL, .revision = 2};
    const HrConfigMessage *reply = &fixture->last_sent[0].u.send.message;

    (void)state;
    deliver_peer_message(fixture, 2, make_full_delta(make_tables(fixture, 3)));
    deliver_peer_message(fixture, 3, pull);
    assert_int_equal(fixture->sent_count, 1);
    assert_int_equal(fixture->last_sent[0].u.send.to_id, 3);
    assert_int_equal(reply->type, HR_CONFIG_MESSAGE_DELTA);
    assert_int_equal(reply->revision, 3);
    assert_int_equal(reply->u.delta.from_revision, 2);
    assert_false(reply->u.delta.full);
    assert_int_equal(fixture->last_edit_count, 1);
    pull.u.pull.full = true;
    deliver_peer_message(fixture, 3, pull);
    assert_true(reply->u.delta.full);
    assert_int_equal(fixture->last_edit_count, 3);
    pull.revision = 3;
    pull.digest = HrConfig_GetTables(fixture->config)->digest;
    deliver_peer_message(fixture, 3, pull);
    assert_int_equal(reply->type, HR_CONFIG_MESSAGE_HINT);
    pull.revision = 4;
    deliver_peer_message(fixture, 3, pull);
    assert_int_equal(reply->type, HR_CONFIG_MESSAGE_PULL);
    assert_int_equal(reply->revision, 3);
    talloc_free(fixture);
}

/* Guards against several simultaneous pulls when several peers announce one
 * revision, and against a lost pull that is not followed by one to another
 * peer. */
static void
test_one_pull_at_a_time_with_retry(void **state)
{
    Fixture *fixture = start_fixture();
    HrConfigMessage hint = {.type = HR_CONFIG_MESSAGE_HINT, .revision = 3};
    HrConfigEvent timer = {.type = HR_CONFIG_EVENT_TIMER};

    (void)state;
    deliver_peer_message(fixture, 2, hint);
    assert_int_equal(fixture->sent_count, 1);
    assert_int_equal(fixture->last_sent[0].u.send.message.type,
                     HR_CONFIG_MESSAGE_PULL);
    assert_int_equal(fixture->last_sent[0].u.send.to_id, 2);
    deliver_peer_message(fixture, 3, hint);
    assert_int_equal(fixture->sent_count, 0);
    fixture->now_ns += 501 * MS;
    handle_event(fixture, &timer);
    assert_int_equal(fixture->sent_count, 1);
    assert_int_equal(fixture->last_sent[0].u.send.to_id, 3);
    talloc_free(fixture);
}

/* Guards against a delta that is put in force although the result differs from
 * the sender's tables. It must cause a pull of all rows. */
static void
test_delta_with_wrong_digest_pulls_all_rows(void **state)
{
    Fixture *fixture = start_fixture();
    HrTables *second = make_tables(fixture, 2);
    HrTables *third = make_tables(fixture, 3);
    HrConfigMessage delta = make_full_delta(third);

    (void)state;
    deliver_peer_message(fixture, 2, make_full_delta(second));
    delta.u.delta.full = false;
    delta.u.delta.from_revision = 2;
    delta.digest ^= 1;
    deliver_peer_message(fixture, 2, delta);
    assert_int_equal(HrConfig_GetTables(fixture->config)->revision, 2);
    assert_int_equal(fixture->sent_count, 1);
    assert_true(fixture->last_sent[0].u.send.message.u.pull.full);
    assert_int_equal(
        HrCounters_GetValue(&fixture->counters, HR_COUNTER_config_bad_deltas),
        1);
    talloc_free(fixture);
}

/* Guards against a delta that is put in force although the revisions before it
 * are missing. */
static void
test_delta_from_a_later_revision_is_ignored(void **state)
{
    Fixture *fixture = start_fixture();
    HrConfigMessage delta = make_full_delta(make_tables(fixture, 3));

    (void)state;
    delta.u.delta.full = false;
    delta.u.delta.from_revision = 2;
    deliver_peer_message(fixture, 2, delta);
    assert_null(HrConfig_GetTables(fixture->config));
    talloc_free(fixture);
}

/* Guards against different rows at the same revision that raise no alarm. */
static void
test_fork_raises_alarm(void **state)
{
    Fixture *fixture = start_fixture();
    HrTables *second = make_tables(fixture, 2);
    HrConfigMessage hint = {.type = HR_CONFIG_MESSAGE_HINT,
                            .revision = 2,
                            .digest = second->digest ^ 1};

    (void)state;
    deliver_peer_message(fixture, 2, make_full_delta(second));
    deliver_peer_message(fixture, 3, hint);
    assert_int_equal(fixture->alarm, HR_CONFIG_ALARM_FORK);
    deliver_peer_message(fixture, 2, make_full_delta(make_tables(fixture, 3)));
    assert_int_equal(fixture->alarm, HR_CONFIG_ALARM_NONE);
    talloc_free(fixture);
}

/* Guards against a damaged value in the store that removes the tables held or
 * raises no alarm. */
static void
test_damaged_value_raises_alarm(void **state)
{
    Fixture *fixture = start_fixture();
    HrTables *second = make_tables(fixture, 2);
    HrConfigEvent timer = {.type = HR_CONFIG_EVENT_TIMER};

    (void)state;
    reply_to_read(fixture, HR_STORE_OK, 7,
                  HrTables_ToStoreText(fixture, second));
    assert_int_equal(fixture->published, 2);
    fixture->now_ns += 200 * MS;
    handle_event(fixture, &timer);
    reply_to_read(fixture, HR_STORE_OK, 8, "{\"revision\":");
    assert_int_equal(fixture->alarm, HR_CONFIG_ALARM_STORE_INVALID);
    assert_int_equal(HrConfig_GetTables(fixture->config)->revision, 2);
    talloc_free(fixture);
}

/* Guards against an alarm when a read returns an older revision only because
 * it was started before a newer one was received from a peer. */
static void
test_slow_read_raises_no_alarm(void **state)
{
    Fixture *fixture = start_fixture();
    HrTables *second = make_tables(fixture, 2);

    (void)state;
    deliver_peer_message(fixture, 2, make_full_delta(make_tables(fixture, 3)));
    reply_to_read(fixture, HR_STORE_OK, 7,
                  HrTables_ToStoreText(fixture, second));
    assert_int_equal(fixture->alarm, HR_CONFIG_ALARM_NONE);
    assert_int_equal(HrConfig_GetTables(fixture->config)->revision, 3);
    talloc_free(fixture);
}

/* Guards against a reply to a call that has timed out, which is processed as
 * the reply to a later call. */
static void
test_late_reply_is_ignored(void **state)
{
    Fixture *fixture = start_fixture();
    HrConfigEvent timer = {.type = HR_CONFIG_EVENT_TIMER};
    uint64_t first = fixture->read_id, second;

    (void)state;
    fixture->now_ns += 4 * SECOND;
    handle_event(fixture, &timer);
    fixture->now_ns += 2 * SECOND;
    handle_event(fixture, &timer);
    second = fixture->read_id;
    assert_true(second > first);
    fixture->read_id = first;
    reply_to_read(fixture, HR_STORE_OK, 7,
                  HrTables_ToStoreText(fixture, make_tables(fixture, 2)));
    assert_null(HrConfig_GetTables(fixture->config));
    talloc_free(fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_edit_is_in_force_within_six_seconds),
        cmocka_unit_test(test_two_readers_per_data_centre),
        cmocka_unit_test(test_readers_call_every_two_seconds),
        cmocka_unit_test(test_daemon_without_peers_reads_the_store),
        cmocka_unit_test(test_comparison_replaces_missed_hints),
        cmocka_unit_test(test_cut_off_daemon_reports_it_and_catches_up),
        cmocka_unit_test(test_new_daemon_pulls_tables_from_peers),
        cmocka_unit_test(test_edits_wait_for_expected_peers),
        cmocka_unit_test(test_older_store_raises_alarm),
        cmocka_unit_test(test_empty_store_raises_alarm),
        cmocka_unit_test(test_old_and_repeated_deltas_are_ignored),
        cmocka_unit_test(test_new_revision_is_announced),
        cmocka_unit_test(test_pull_returns_missing_rows),
        cmocka_unit_test(test_one_pull_at_a_time_with_retry),
        cmocka_unit_test(test_delta_with_wrong_digest_pulls_all_rows),
        cmocka_unit_test(test_delta_from_a_later_revision_is_ignored),
        cmocka_unit_test(test_fork_raises_alarm),
        cmocka_unit_test(test_damaged_value_raises_alarm),
        cmocka_unit_test(test_slow_read_raises_no_alarm),
        cmocka_unit_test(test_late_reply_is_ignored),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
