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

static const SimFaults calm = {.message_delay_ns = 2 * MS,
                               .store.delay_ns = 2 * MS};

/* Starts a calm cluster that holds revision 1. */
static Sim *
start_cluster(uint32_t daemons)
{
    Sim *sim = Sim_Create(SEED, daemons, &calm);
    ModelEdit edit = {
        .values = {{1, MODEL_KEEP, MODEL_KEEP}, {1, MODEL_KEEP, MODEL_KEEP}}};

    print_message("seed %llu\n", (unsigned long long)SEED);
    Sim_Run(sim, 2 * SECOND);
    Sim_StartEdit(sim, 0, &edit);
    Sim_Run(sim, 4 * SECOND);
    assert_int_equal(sim->edits[0].result, HR_EDIT_ACCEPTED);
    Sim_CheckConverged(sim);
    return sim;
}

/* Makes an accepted edit on a daemon. */
static void
make_edit(Sim *sim, uint32_t daemon, int value)
{
    ModelEdit edit = {.values = {{value, MODEL_KEEP, MODEL_KEEP},
                                 {value, MODEL_KEEP, MODEL_KEEP}}};
    uint32_t index;

    edit.based_on = HrConfig_Tables(sim->daemons[daemon].config)->revision;
    index = Sim_StartEdit(sim, daemon, &edit);
    Sim_Run(sim, sim->now_ns + 100 * MS);
    assert_int_equal(sim->edits[index].result, HR_EDIT_ACCEPTED);
}

/* Returns the status of a daemon. */
static HrConfigStatus
status_of(const Sim *sim, uint32_t daemon)
{
    return HrConfig_Status(sim->daemons[daemon].config, sim->now_ns);
}

/* Guards against an edit that takes longer than 6 s to be in force. */
static void
test_edit_is_in_force_within_the_limit(void **state)
{
    Sim *sim = start_cluster(6);
    uint32_t i;

    (void)state;
    make_edit(sim, 3, 5);
    Sim_Run(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    for (i = 0; i < 6; i++) {
        assert_int_equal(sim->daemons[i].published, 2);
    }
    talloc_free(sim);
}

/* Guards against more than two store readers in a data centre, and none. */
static void
test_two_readers_per_data_centre(void **state)
{
    Sim *sim = start_cluster(6);
    uint32_t readers[2] = {0}, i;

    (void)state;
    for (i = 0; i < 6; i++) {
        readers[i % 2] += status_of(sim, i).store_reader ? 1 : 0;
    }
    assert_int_equal(readers[0], 2);
    assert_int_equal(readers[1], 2);
    talloc_free(sim);
}

/* Guards against a reader that hammers the store, or reads less often than
 * every 2 s. */
static void
test_readers_call_every_two_seconds(void **state)
{
    Sim *sim = start_cluster(6);
    uint64_t before = sim->store->calls;

    (void)state;
    Sim_Run(sim, sim->now_ns + 20 * SECOND);
    assert_in_range(sim->store->calls - before, 36, 44);
    sim->store->outage = true;
    Sim_Run(sim, sim->now_ns + 2 * SECOND);
    before = sim->store->calls;
    Sim_Run(sim, sim->now_ns + 20 * SECOND);
    assert_in_range(sim->store->calls - before, 36, 100);
    talloc_free(sim);
}

/* Guards against a daemon that is cut off from its peers and never looks at
 * the store. */
static void
test_daemon_without_peers_reads_the_store(void **state)
{
    Sim *sim = start_cluster(6);
    uint32_t i, cut = 0;

    (void)state;
    for (i = 0; i < 6; i++) {
        if (!status_of(sim, i).store_reader) {
            cut = i;
        }
    }
    sim->daemons[cut].cut_off = true;
    make_edit(sim, (cut + 1) % 6, 5);
    Sim_Run(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    assert_false(status_of(sim, cut).cut_off);
    talloc_free(sim);
}

/* Guards against a daemon that misses every hint about an edit and then waits
 * for the next one. The store is down and the daemon away for less than the
 * time after which it would read the store, so only the regular comparison
 * with a peer can help. */
static void
test_missed_hints_are_made_up_for(void **state)
{
    SimFaults faults = calm;
    ModelEdit edit = {
        .values = {{1, MODEL_KEEP, MODEL_KEEP}, {1, MODEL_KEEP, MODEL_KEEP}}};
    uint32_t away = 0, i;
    Sim *sim;

    (void)state;
    faults.one_data_centre = true;
    sim = Sim_Create(SEED, 6, &faults);
    Sim_Run(sim, 2 * SECOND);
    Sim_StartEdit(sim, 0, &edit);
    Sim_Run(sim, 4 * SECOND);
    for (i = 0; i < 6; i++) {
        away = status_of(sim, i).store_reader ? away : i;
    }
    sim->daemons[away].cut_off = true;
    make_edit(sim, (away + 1) % 6, 5);
    Sim_Run(sim, sim->now_ns + SECOND);
    assert_int_equal(status_of(sim, away).revision, 1);
    sim->store->outage = true;
    sim->daemons[away].cut_off = false;
    Sim_Run(sim, sim->now_ns + 1500 * MS);
    assert_int_equal(status_of(sim, away).revision, 2);
    talloc_free(sim);
}

/* Guards against a daemon that does not say that it is cut off from the store
 * and all peers, drops its tables, or stays behind afterwards. */
static void
test_cut_off_daemon_says_so_and_catches_up(void **state)
{
    Sim *sim = start_cluster(4);
    HrConfigStatus status;

    (void)state;
    sim->daemons[1].cut_off = true;
    sim->store->outage = true;
    Sim_Run(sim, sim->now_ns + 60 * SECOND);
    status = status_of(sim, 1);
    assert_true(status.cut_off);
    assert_int_equal(status.revision, 1);
    assert_in_range(status.age_ms, 58000, 64000);
    assert_false(status_of(sim, 0).cut_off);
    assert_in_range(status_of(sim, 0).age_ms, 58000, 64000);
    sim->store->outage = false;
    Sim_Run(sim, sim->now_ns + 3 * SECOND);
    make_edit(sim, 0, 5);
    Sim_Run(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    assert_in_range(status_of(sim, 1).age_ms, 0, 4000);
    talloc_free(sim);
}

/* Guards against a new VM that waits for the store. */
static void
test_new_daemon_takes_tables_from_peers(void **state)
{
    Sim *sim = start_cluster(4);

    (void)state;
    sim->store->outage = true;
    Sim_RestartDaemon(sim, 2);
    assert_null(HrConfig_Tables(sim->daemons[2].config));
    assert_int_equal(HrConfig_CheckEditable(sim->daemons[2].config, NULL),
                     HR_ERR_UNAVAILABLE);
    Sim_Run(sim, sim->now_ns + 2 * SECOND);
    assert_int_equal(status_of(sim, 2).revision, 1);
    assert_int_equal(HrConfig_CheckEditable(sim->daemons[2].config, NULL),
                     HR_OK);
    talloc_free(sim);
}

/* Guards against a daemon that takes itself for the only one, and edits an
 * empty store, before the others that its settings name have answered. */
static void
test_not_alone_at_once(void **state)
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
    event.now_ns = settings.alone_after_ns;
    HrConfig_HandleEvent(config, &event);
    assert_int_equal(HrConfig_CheckEditable(config, NULL), HR_OK);
    talloc_free(config);
}

/* Guards against an older store whose tables are put in force or that goes
 * unnoticed. */
static void
test_older_store_raises_alarm(void **state)
{
    Sim *sim = start_cluster(2);

    (void)state;
    make_edit(sim, 0, 5);
    Sim_Run(sim, sim->now_ns + 3 * SECOND);
    SimStore_Rollback(sim->store, 0);
    Sim_Run(sim, sim->now_ns + 6 * SECOND);
    assert_int_equal(status_of(sim, 0).alarm, HR_CONFIG_ALARM_STORE_OLDER);
    assert_int_equal(status_of(sim, 1).alarm, HR_CONFIG_ALARM_STORE_OLDER);
    assert_non_null(strstr(status_of(sim, 0).remedy, "hickoryctl restore"));
    assert_int_equal(status_of(sim, 0).revision, 2);
    Sim_StartRestore(sim, 1);
    Sim_Run(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    talloc_free(sim);
}

/* Guards against an emptied store that goes unnoticed. */
static void
test_empty_store_raises_alarm(void **state)
{
    Sim *sim = start_cluster(2);

    (void)state;
    SimStore_Rollback(sim->store, -1);
    Sim_Run(sim, sim->now_ns + 6 * SECOND);
    assert_int_equal(status_of(sim, 0).alarm, HR_CONFIG_ALARM_STORE_EMPTY);
    assert_int_equal(status_of(sim, 0).revision, 1);
    Sim_StartRestore(sim, 0);
    Sim_Run(sim, sim->now_ns + 6 * SECOND);
    Sim_CheckConverged(sim);
    talloc_free(sim);
}

/* One module that the test plays the store and the peers for. */
typedef struct Fixture {
    HrConfig *config;
    HrCounters counters;
    int64_t now_ns;
    uint64_t read_id;       /* of the last store call */
    HrConfigAction last[8]; /* sent messages, without rows */
    uint32_t sent;
    uint32_t last_edits; /* history entries in the last delta sent */
    HrConfigAlarm alarm;
    uint64_t published;
} Fixture;

/* Hands an event to the module and notes its actions. */
static void
tell(Fixture *fixture, HrConfigEvent *event)
{
    HrConfigAction action;

    event->now_ns = fixture->now_ns;
    HrConfig_HandleEvent(fixture->config, event);
    fixture->sent = 0;
    while (HrConfig_PopAction(fixture->config, &action)) {
        switch (action.type) {
        case HR_CONFIG_ACTION_READ:
            fixture->read_id = action.u.read.request_id;
            break;
        case HR_CONFIG_ACTION_SEND:
            assert_true(fixture->sent < 8);
            fixture->last[fixture->sent++] = action;
            if (action.u.send.message.type == HR_CONFIG_MESSAGE_DELTA) {
                fixture->last_edits =
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

/* Starts a module, id 1, with the peers 2 and 3. Daemon 3 is in another data
 * centre, so that daemon 1 is a store reader whatever its rank. */
static Fixture *
start_module(void)
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
    tell(fixture, &event);
    event.type = HR_CONFIG_EVENT_MEMBERS;
    event.u.members = &view;
    tell(fixture, &event);
    return fixture;
}

/* Sends a message of a peer. */
static void
send(Fixture *fixture, uint64_t from_id, HrConfigMessage message)
{
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_MESSAGE};

    event.u.message.from_id = from_id;
    event.u.message.message = &message;
    tell(fixture, &event);
}

/* Returns tables at a revision, with a pool and a route of value i for each
 * revision. */
static HrTables *
make_tables(const void *parent, uint64_t revision)
{
    HrTables *tables = NULL;
    uint64_t i;

    for (i = 1; i <= revision; i++) {
        ModelEdit edit = {.operator_name = "ann",
                          .values = {{(int)i % 8, MODEL_KEEP, MODEL_KEEP},
                                     {(int)i % 8, MODEL_KEEP, MODEL_KEEP}}};
        HrTablesEdit *request;

        snprintf(edit.id, sizeof(edit.id), "e%d", (int)i);
        request = ModelEdit_ToTables(parent, &edit);
        tables = HrTablesEdit_Apply(parent, tables, request, 1, NULL);
        assert_non_null(tables);
    }
    return tables;
}

/* Returns a message that carries all rows. */
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

/* Answers the open store call. */
static void
answer(Fixture *fixture, HrStoreResult result, uint64_t revision,
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
    tell(fixture, &event);
}

/* Guards against tables that go back when messages come late or twice. */
static void
test_old_and_repeated_deltas_are_ignored(void **state)
{
    Fixture *fixture = start_module();
    HrTables *second = make_tables(fixture, 2);
    HrTables *third = make_tables(fixture, 3);

    (void)state;
    send(fixture, 2, make_full_delta(third));
    assert_int_equal(fixture->published, 3);
    fixture->published = 0;
    send(fixture, 2, make_full_delta(second));
    send(fixture, 2, make_full_delta(third));
    assert_int_equal(fixture->published, 0);
    assert_int_equal(HrConfig_Tables(fixture->config)->revision, 3);
    talloc_free(fixture);
}

/* Guards against a new revision that is not announced to several peers at
 * once, which would leave the spreading to the comparison every second. */
static void
test_new_revision_is_announced(void **state)
{
    Fixture *fixture = start_module();
    HrConfigEvent event = {.type = HR_CONFIG_EVENT_LOCAL_TABLES};
    uint32_t i;

    (void)state;
    event.u.tables = make_tables(fixture, 2);
    tell(fixture, &event);
    assert_int_equal(fixture->published, 2);
    assert_int_equal(fixture->sent, 2);
    for (i = 0; i < 2; i++) {
        const HrConfigAction *action = &fixture->last[i];

        assert_int_equal(action->u.send.message.type, HR_CONFIG_MESSAGE_HINT);
        assert_int_equal(action->u.send.message.revision, 2);
    }
    assert_true(fixture->last[0].u.send.to_id !=
                fixture->last[1].u.send.to_id);
    talloc_free(fixture);
}

/* Guards against a pull that gets more than the rows that are lacking, or no
 * answer when the tables are the same. */
static void
test_pull_gets_what_is_lacking(void **state)
{
    Fixture *fixture = start_module();
    HrConfigMessage pull = {.type = HR_CONFIG_MESSAGE_PULL, .revision = 2};
    const HrConfigMessage *reply = &fixture->last[0].u.send.message;

    (void)state;
    send(fixture, 2, make_full_delta(make_tables(fixture, 3)));
    send(fixture, 3, pull);
    assert_int_equal(fixture->sent, 1);
    assert_int_equal(fixture->last[0].u.send.to_id, 3);
    assert_int_equal(reply->type, HR_CONFIG_MESSAGE_DELTA);
    assert_int_equal(reply->revision, 3);
    assert_int_equal(reply->u.delta.from_revision, 2);
    assert_false(reply->u.delta.full);
    assert_int_equal(fixture->last_edits, 1);
    pull.u.pull.full = true;
    send(fixture, 3, pull);
    assert_true(reply->u.delta.full);
    assert_int_equal(fixture->last_edits, 3);
    pull.revision = 3;
    pull.digest = HrConfig_Tables(fixture->config)->digest;
    send(fixture, 3, pull);
    assert_int_equal(reply->type, HR_CONFIG_MESSAGE_HINT);
    pull.revision = 4;
    send(fixture, 3, pull);
    assert_int_equal(reply->type, HR_CONFIG_MESSAGE_PULL);
    assert_int_equal(reply->revision, 3);
    talloc_free(fixture);
}

/* Guards against a flood of pulls when several peers name one revision, and
 * against a lost pull that is never repeated. */
static void
test_one_pull_at_a_time_and_repeated(void **state)
{
    Fixture *fixture = start_module();
    HrConfigMessage hint = {.type = HR_CONFIG_MESSAGE_HINT, .revision = 3};
    HrConfigEvent timer = {.type = HR_CONFIG_EVENT_TIMER};

    (void)state;
    send(fixture, 2, hint);
    assert_int_equal(fixture->sent, 1);
    assert_int_equal(fixture->last[0].u.send.message.type,
                     HR_CONFIG_MESSAGE_PULL);
    assert_int_equal(fixture->last[0].u.send.to_id, 2);
    send(fixture, 3, hint);
    assert_int_equal(fixture->sent, 0);
    fixture->now_ns += 501 * MS;
    tell(fixture, &timer);
    assert_int_equal(fixture->sent, 1);
    assert_int_equal(fixture->last[0].u.send.to_id, 3);
    talloc_free(fixture);
}

/* Guards against a delta on tables that differ from the sender's, which must
 * end in a pull of everything. */
static void
test_delta_with_wrong_digest_pulls_all(void **state)
{
    Fixture *fixture = start_module();
    HrTables *second = make_tables(fixture, 2);
    HrTables *third = make_tables(fixture, 3);
    HrConfigMessage delta = make_full_delta(third);

    (void)state;
    send(fixture, 2, make_full_delta(second));
    delta.u.delta.full = false;
    delta.u.delta.from_revision = 2;
    delta.digest ^= 1;
    send(fixture, 2, delta);
    assert_int_equal(HrConfig_Tables(fixture->config)->revision, 2);
    assert_int_equal(fixture->sent, 1);
    assert_true(fixture->last[0].u.send.message.u.pull.full);
    assert_int_equal(
        HrCounters_Get(&fixture->counters, HR_COUNTER_config_bad_deltas), 1);
    talloc_free(fixture);
}

/* Guards against a delta that leaves a gap. */
static void
test_delta_from_a_later_revision_is_ignored(void **state)
{
    Fixture *fixture = start_module();
    HrConfigMessage delta = make_full_delta(make_tables(fixture, 3));

    (void)state;
    delta.u.delta.full = false;
    delta.u.delta.from_revision = 2;
    send(fixture, 2, delta);
    assert_null(HrConfig_Tables(fixture->config));
    talloc_free(fixture);
}

/* Guards against two contents of one revision that go unnoticed. */
static void
test_fork_raises_alarm(void **state)
{
    Fixture *fixture = start_module();
    HrTables *second = make_tables(fixture, 2);
    HrConfigMessage hint = {.type = HR_CONFIG_MESSAGE_HINT,
                            .revision = 2,
                            .digest = second->digest ^ 1};

    (void)state;
    send(fixture, 2, make_full_delta(second));
    send(fixture, 3, hint);
    assert_int_equal(fixture->alarm, HR_CONFIG_ALARM_FORK);
    send(fixture, 2, make_full_delta(make_tables(fixture, 3)));
    assert_int_equal(fixture->alarm, HR_CONFIG_ALARM_NONE);
    talloc_free(fixture);
}

/* Guards against a damaged value that removes the tables held. */
static void
test_damaged_value_raises_alarm(void **state)
{
    Fixture *fixture = start_module();
    HrTables *second = make_tables(fixture, 2);
    HrConfigEvent timer = {.type = HR_CONFIG_EVENT_TIMER};

    (void)state;
    answer(fixture, HR_STORE_OK, 7, HrTables_ToStoreText(fixture, second));
    assert_int_equal(fixture->published, 2);
    fixture->now_ns += 200 * MS;
    tell(fixture, &timer);
    answer(fixture, HR_STORE_OK, 8, "{\"revision\":");
    assert_int_equal(fixture->alarm, HR_CONFIG_ALARM_STORE_INVALID);
    assert_int_equal(HrConfig_Tables(fixture->config)->revision, 2);
    talloc_free(fixture);
}

/* Guards against an alarm for a read that began before a newer revision came
 * from a peer. */
static void
test_slow_read_raises_no_alarm(void **state)
{
    Fixture *fixture = start_module();
    HrTables *second = make_tables(fixture, 2);

    (void)state;
    send(fixture, 2, make_full_delta(make_tables(fixture, 3)));
    answer(fixture, HR_STORE_OK, 7, HrTables_ToStoreText(fixture, second));
    assert_int_equal(fixture->alarm, HR_CONFIG_ALARM_NONE);
    assert_int_equal(HrConfig_Tables(fixture->config)->revision, 3);
    talloc_free(fixture);
}

/* Guards against a late reply that is taken for a later call's. */
static void
test_reply_to_a_call_given_up_is_ignored(void **state)
{
    Fixture *fixture = start_module();
    HrConfigEvent timer = {.type = HR_CONFIG_EVENT_TIMER};
    uint64_t first = fixture->read_id, second;

    (void)state;
    fixture->now_ns += 4 * SECOND;
    tell(fixture, &timer);
    fixture->now_ns += 2 * SECOND;
    tell(fixture, &timer);
    second = fixture->read_id;
    assert_true(second > first);
    fixture->read_id = first;
    answer(fixture, HR_STORE_OK, 7,
           HrTables_ToStoreText(fixture, make_tables(fixture, 2)));
    assert_null(HrConfig_Tables(fixture->config));
    talloc_free(fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_edit_is_in_force_within_the_limit),
        cmocka_unit_test(test_two_readers_per_data_centre),
        cmocka_unit_test(test_readers_call_every_two_seconds),
        cmocka_unit_test(test_daemon_without_peers_reads_the_store),
        cmocka_unit_test(test_missed_hints_are_made_up_for),
        cmocka_unit_test(test_cut_off_daemon_says_so_and_catches_up),
        cmocka_unit_test(test_new_daemon_takes_tables_from_peers),
        cmocka_unit_test(test_not_alone_at_once),
        cmocka_unit_test(test_older_store_raises_alarm),
        cmocka_unit_test(test_empty_store_raises_alarm),
        cmocka_unit_test(test_old_and_repeated_deltas_are_ignored),
        cmocka_unit_test(test_new_revision_is_announced),
        cmocka_unit_test(test_pull_gets_what_is_lacking),
        cmocka_unit_test(test_one_pull_at_a_time_and_repeated),
        cmocka_unit_test(test_delta_with_wrong_digest_pulls_all),
        cmocka_unit_test(test_delta_from_a_later_revision_is_ignored),
        cmocka_unit_test(test_fork_raises_alarm),
        cmocka_unit_test(test_damaged_value_raises_alarm),
        cmocka_unit_test(test_slow_read_raises_no_alarm),
        cmocka_unit_test(test_reply_to_a_call_given_up_is_ignored),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
