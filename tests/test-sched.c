#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-clock.h"
#include "coord-conns.h"
#include "coord-eject.h"
#include "coord-sched.h"

#define SEED UINT64_C(880001)
#define MS HR_NS_PER_MS
#define MAX_ACTIONS 64
#define MAX_SERVERS 4

/* A scheduler to which the tests pass one event at a time. */
typedef struct Driver {
    HrSched *sched;
    HrRng rng;
    int64_t now_ns;
    HrServer servers[MAX_SERVERS];
    HrPool pool;
    HrSchedAction actions[MAX_ACTIONS]; /* of the last event */
    uint32_t count;
    uint32_t next_sub;
} Driver;

static Driver driver;

static const char *const names[MAX_SERVERS] = {"a", "b", "c", "d"};

/* Passes an event to the scheduler and collects its actions. */
static int
handle_event(HrSchedEvent *event)
{
    int rc;

    event->now_ns = driver.now_ns;
    rc = HrSched_HandleEvent(driver.sched, event);
    driver.count = 0;
    while (driver.count < MAX_ACTIONS &&
           HrSched_PopAction(driver.sched, &driver.actions[driver.count])) {
        driver.count++;
    }
    return rc;
}

/* Passes the entry of the pool in the tables to the scheduler. */
static void
apply_pool(void)
{
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET};

    event.u.server_set = &driver.pool;
    assert_int_equal(handle_event(&event), 0);
}

static void
set_role(HrSchedRoleKind kind, uint32_t slot_share)
{
    HrSchedEvent event = {.kind = HR_SCHED_ROLE};

    event.u.role.kind = kind;
    event.u.role.slot_share = slot_share;
    handle_event(&event);
}

/* Creates a scheduler with a number of servers that have 2 slots each. */
static void
start_scheduler(uint32_t servers)
{
    HrSchedConfig config = {.pool = "p", .group = "g", .candidates = 4};
    uint32_t i;

    memset(&driver, 0, sizeof(driver));
    driver.rng = HrRng_FromSeed(SEED);
    driver.now_ns = HR_NS_PER_S;
    driver.sched = HrSched_Create(NULL, &config, &driver.rng);
    assert_non_null(driver.sched);
    for (i = 0; i < MAX_SERVERS; i++) {
        driver.servers[i].name = names[i];
        driver.servers[i].address = "127.0.0.1:1";
        driver.servers[i].group = "g";
    }
    driver.pool.slots = 2;
    driver.pool.connections = 25;
    driver.pool.connect_ms = 1;
    driver.pool.hedge = HR_HEDGE_FIXED;
    driver.pool.hedge_delay_ms = 20;
    driver.pool.hedge_quantile = 0.95;
    driver.pool.extra_load_percent = 5;
    driver.pool.queue_limit = 100;
    driver.pool.servers = driver.servers;
    driver.pool.server_count = servers;
    driver.pool.revision = 5;
    apply_pool();
    set_role(HR_SCHED_ROLE_SCHEDULER, 0);
}

/* Frees the scheduler. */
static int
free_scheduler(void **state)
{
    (void)state;
    talloc_free(driver.sched);
    driver.sched = NULL;
    return 0;
}

/* Passes in a sub-request with 200 ms left until its deadline. Returns its sub
 * id. */
static uint32_t
submit_request(bool idempotent, uint64_t version)
{
    HrSubRequest request = {.shard = "s", .caller = "c"};
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST};

    request.query.counter = 1;
    request.sub_id = ++driver.next_sub;
    request.version = version;
    request.idempotent = idempotent;
    request.deadline_ns = driver.now_ns + 200 * MS;
    event.u.sub_request = &request;
    handle_event(&event);
    return driver.next_sub;
}

/* Returns the only action of a kind that the last event caused; NULL if there
 * is none or more than one. */
static const HrSchedAction *
find_only_action(HrSchedActionKind kind)
{
    const HrSchedAction *found = NULL;
    uint32_t i;

    for (i = 0; i < driver.count; i++) {
        if (driver.actions[i].kind == kind) {
            if (found != NULL) {
                return NULL;
            }
            found = &driver.actions[i];
        }
    }
    return found;
}

/* Returns the only attempt that the last event sent. */
static HrSchedSendAttempt
get_sent_attempt(void)
{
    const HrSchedAction *action = find_only_action(HR_SCHED_SEND_ATTEMPT);

    assert_non_null(action);
    return action->u.send_attempt;
}

/* Returns the only sub-answer that the last event gave. */
static HrSubAnswer
get_sub_answer(void)
{
    const HrSchedAction *action = find_only_action(HR_SCHED_SUB_ANSWER);

    assert_non_null(action);
    return action->u.sub_answer;
}

/* Passes in the answer of a server to an attempt. */
static void
send_answer(const HrSchedSendAttempt *attempt, HrBackendOutcome outcome,
            bool draining, uint64_t start_id)
{
    HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};

    event.u.backend_answer.attempt_id = attempt->attempt_id;
    event.u.backend_answer.query.counter = 1;
    event.u.backend_answer.version = attempt->request->version;
    event.u.backend_answer.shard = "s";
    event.u.backend_answer.outcome = outcome;
    event.u.backend_answer.draining = draining;
    event.u.backend_answer.start_id = start_id;
    handle_event(&event);
}

/* Passes in the failure of an attempt. */
static void
send_failure(uint64_t attempt_id, HrAttemptFailure failure)
{
    HrSchedEvent event = {.kind = HR_SCHED_ATTEMPT_FAILED};

    event.u.attempt_failed.attempt_id = attempt_id;
    event.u.attempt_failed.failure = failure;
    handle_event(&event);
}

/* Passes in the result of a cancel. */
static void
send_cancel_result(uint64_t attempt_id, bool confirmed)
{
    HrSchedEvent event = {.kind = HR_SCHED_CANCEL_RESULT};

    event.u.cancel_result.attempt_id = attempt_id;
    event.u.cancel_result.confirmed = confirmed;
    handle_event(&event);
}

/* Passes in a status report that was requested at a time. */
static void
send_report(const char *server, HrServerState server_state, uint64_t start_id,
            int64_t requested_ns, uint64_t version)
{
    HrSchedEvent event = {.kind = HR_SCHED_STATUS_REPORT};

    event.u.status_report.server = server;
    event.u.status_report.requested_ns = requested_ns;
    event.u.status_report.start_id = start_id;
    event.u.status_report.state = server_state;
    event.u.status_report.versions = &version;
    event.u.status_report.version_count = 1;
    handle_event(&event);
}

/* Advances the time to the next timer and handles it. Returns false if the
 * timer is after latest_ns. */
static bool
run_next_timer(int64_t latest_ns)
{
    HrSchedEvent event = {.kind = HR_SCHED_TIMER};
    int64_t next_ns = HrSched_GetNextTimer(driver.sched);

    if (next_ns > latest_ns) {
        return false;
    }
    if (next_ns > driver.now_ns) {
        driver.now_ns = next_ns;
    }
    handle_event(&event);
    return true;
}

/* Handles timers until one sends an attempt, for at most 200 ms. */
static HrSchedSendAttempt
run_timers_until_sent(void)
{
    int64_t latest_ns = driver.now_ns + 200 * MS;

    while (run_next_timer(latest_ns)) {
        if (find_only_action(HR_SCHED_SEND_ATTEMPT) != NULL) {
            return get_sent_attempt();
        }
    }
    fail_msg("no attempt was sent");
    return get_sent_attempt();
}

/* Guards against a hedge that goes to the replica or connection of the first
 * attempt, leaves the slower attempt running, or leads to a second
 * sub-answer. */
static void
test_hedge_goes_elsewhere_and_loser_is_cancelled(void **state)
{
    HrSchedSendAttempt first, hedge;
    int64_t begin_ns;

    (void)state;
    start_scheduler(3);
    submit_request(true, 1);
    first = get_sent_attempt();
    begin_ns = driver.now_ns;
    hedge = run_timers_until_sent();
    assert_int_equal(hedge.kind, HR_ATTEMPT_HEDGE);
    assert_int_equal(driver.now_ns - begin_ns, 20 * MS);
    assert_string_not_equal(hedge.server, first.server);
    assert_int_not_equal(hedge.attempt_id, first.attempt_id);
    driver.now_ns += MS;
    send_answer(&hedge, HR_BACKEND_ANSWERED, false, 1);
    assert_int_equal(get_sub_answer().outcome, HR_OUTCOME_ANSWERED);
    assert_string_equal(get_sub_answer().server, hedge.server);
    assert_non_null(find_only_action(HR_SCHED_CANCEL_ATTEMPT));
    assert_int_equal(
        find_only_action(HR_SCHED_CANCEL_ATTEMPT)->u.cancel_attempt.attempt_id,
        first.attempt_id);
    send_answer(&first, HR_BACKEND_ANSWERED, false, 1);
    assert_null(find_only_action(HR_SCHED_SUB_ANSWER));
}

/* Guards against a non-idempotent request that is hedged, or that is sent
 * again although no server answered that it did not start. */
static void
test_non_idempotent_runs_once(void **state)
{
    static const HrAttemptFailure failures[] = {
        HR_ATTEMPT_NOT_SENT, HR_ATTEMPT_REFUSED, HR_ATTEMPT_LOST,
        HR_ATTEMPT_BAD_ANSWER, HR_ATTEMPT_SERVER_ERROR};
    HrSchedSendAttempt first;
    uint32_t i;

    (void)state;
    for (i = 0; i < sizeof(failures) / sizeof(failures[0]); i++) {
        start_scheduler(3);
        submit_request(false, 1);
        first = get_sent_attempt();
        assert_true(first.fresh_connection);
        while (run_next_timer(driver.now_ns + 50 * MS) &&
               driver.now_ns < first.deadline_ns - 60 * MS) {
            assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
        }
        send_failure(first.attempt_id, failures[i]);
        assert_int_equal(get_sub_answer().outcome,
                         i < 2 ? HR_OUTCOME_DECLINED : HR_OUTCOME_UNKNOWN);
        assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
        free_scheduler(NULL);
    }
    start_scheduler(3);
    submit_request(false, 1);
    first = get_sent_attempt();
    send_answer(&first, HR_BACKEND_DECLINED, false, 1);
    assert_int_equal(get_sent_attempt().kind, HR_ATTEMPT_RETRY);
    assert_string_not_equal(get_sent_attempt().server, first.server);
}

/* Guards against a duplicate message that runs a non-idempotent request again,
 * also after it was answered. */
static void
test_duplicate_request_is_ignored(void **state)
{
    HrSchedSendAttempt first;

    (void)state;
    start_scheduler(2);
    submit_request(false, 1);
    first = get_sent_attempt();
    driver.next_sub--;
    submit_request(false, 1);
    assert_int_equal(driver.count, 0);
    send_answer(&first, HR_BACKEND_ANSWERED, false, 1);
    get_sub_answer();
    driver.next_sub--;
    submit_request(false, 1);
    assert_int_equal(driver.count, 0);
}

/* Guards against waiting until the deadline for an answer on a connection that
 * has become silent, and against a retry on another idle connection to the
 * same server. */
static void
test_silent_connection_is_replaced(void **state)
{
    HrSchedSendAttempt first, retry;
    uint32_t i;

    (void)state;
    start_scheduler(1);
    for (i = 0; i < 60; i++) {
        submit_request(true, 1);
        first = get_sent_attempt();
        driver.now_ns += 2 * MS;
        send_answer(&first, HR_BACKEND_ANSWERED, false, 1);
    }
    submit_request(true, 1);
    first = get_sent_attempt();
    assert_false(first.fresh_connection);
    retry = run_timers_until_sent();
    assert_int_equal(retry.kind, HR_ATTEMPT_RETRY);
    assert_true(retry.fresh_connection);
    assert_true(driver.now_ns < first.deadline_ns - 150 * MS);
    driver.now_ns += 2 * MS;
    send_answer(&retry, HR_BACKEND_ANSWERED, false, 1);
    assert_int_equal(get_sub_answer().outcome, HR_OUTCOME_ANSWERED);
}

/* Guards against new work for a server that is leaving, and against an older
 * report, or one of the same start, that puts it back into use. */
static void
test_leaving_server_gets_no_new_work(void **state)
{
    HrSchedSendAttempt first;
    const char *leaving;
    int64_t before_ns;
    uint32_t i;

    (void)state;
    start_scheduler(2);
    submit_request(true, 1);
    first = get_sent_attempt();
    leaving = strcmp(first.server, "a") == 0 ? "a" : "b";
    before_ns = driver.now_ns;
    driver.now_ns += 5 * MS;
    send_answer(&first, HR_BACKEND_ANSWERED, true, 10);
    driver.now_ns += 5 * MS;
    send_report(leaving, HR_SERVER_READY, 10, before_ns, 1);
    send_report(leaving, HR_SERVER_READY, 9, before_ns - MS, 1);
    send_report(leaving, HR_SERVER_READY, 10, driver.now_ns, 1);
    send_report(leaving, HR_SERVER_READY, 11, before_ns, 1);
    for (i = 0; i < 2; i++) {
        submit_request(true, 1);
        assert_string_not_equal(get_sent_attempt().server, leaving);
    }
    submit_request(true, 1);
    assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
    driver.now_ns += MS;
    send_report(leaving, HR_SERVER_READY, 11, driver.now_ns, 1);
    assert_string_equal(get_sent_attempt().server,
                        leaving); /* a later start */
}

/* Guards against an older revision of the pool's entry in the tables that
 * undoes an operator's edit. */
static void
test_older_pool_entry_is_ignored(void **state)
{
    uint32_t i;

    (void)state;
    start_scheduler(2);
    driver.servers[0].leaving = true;
    driver.pool.revision = 6;
    apply_pool();
    driver.servers[0].leaving = false;
    driver.pool.revision = 5;
    apply_pool();
    for (i = 0; i < 2; i++) {
        submit_request(true, 1);
        assert_string_equal(get_sent_attempt().server, "b");
    }
    submit_request(true, 1);
    assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
}

/* Guards against the outcome HR_OUTCOME_NO_VERSION while another replica may
 * hold the version, and against asking one server twice. */
static void
test_no_version_tries_every_replica(void **state)
{
    HrSchedSendAttempt attempts[3];
    uint32_t i;

    (void)state;
    start_scheduler(3);
    submit_request(true, 9);
    for (i = 0; i < 3; i++) {
        attempts[i] = get_sent_attempt();
        assert_true(i < 1 ||
                    strcmp(attempts[i].server, attempts[i - 1].server) != 0);
        send_answer(&attempts[i], HR_BACKEND_NO_VERSION, false, 1);
    }
    assert_string_not_equal(attempts[2].server, attempts[0].server);
    assert_int_equal(get_sub_answer().outcome, HR_OUTCOME_NO_VERSION);
}

/* Guards against sending to a server that does not hold the version while
 * another one, which may be busy, does. */
static void
test_version_holder_is_preferred(void **state)
{
    uint32_t i;

    (void)state;
    start_scheduler(3);
    for (i = 0; i < 3; i++) {
        send_report(names[i], HR_SERVER_READY, 1, driver.now_ns,
                    i == 1 ? 2 : 1);
    }
    for (i = 0; i < 2; i++) {
        submit_request(true, 2);
        assert_string_equal(get_sent_attempt().server, "b");
    }
    submit_request(true, 2);
    assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT)); /* waits for b */
    submit_request(true, 1);
    assert_string_not_equal(get_sent_attempt().server,
                            "b"); /* not blocked by it */
}

/* Guards against a cold server that gets as much work as a warm one: its slots
 * must rise by slow start after it is ready. */
static void
test_cold_server_gets_few_slots(void **state)
{
    HrSchedServerView view;

    (void)state;
    start_scheduler(1);
    send_report("a", HR_SERVER_COLD, 1, driver.now_ns, 1);
    submit_request(true, 1);
    get_sent_attempt();
    submit_request(true, 1);
    assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
    driver.now_ns += MS;
    send_report("a", HR_SERVER_READY, 1, driver.now_ns, 1);
    HrSched_GetServer(driver.sched, 0, driver.now_ns, &view);
    assert_int_equal(view.slot_limit, 1);
    driver.now_ns += HR_EJECT_SLOW_START_NS;
    run_next_timer(driver.now_ns);
    HrSched_GetServer(driver.sched, 0, driver.now_ns, &view);
    assert_int_equal(view.slot_limit, 2);
}

/* Guards against new work for a server that has just shed a request, and
 * against a back-off that does not grow when it sheds again. */
static void
test_shedding_server_backs_off(void **state)
{
    HrSchedSendAttempt first;
    HrSchedServerView view;
    int64_t begin_ns;

    (void)state;
    start_scheduler(1);
    submit_request(true, 1);
    first = get_sent_attempt();
    begin_ns = driver.now_ns;
    send_answer(&first, HR_BACKEND_SHED, false, 1);
    HrSched_GetServer(driver.sched, 0, driver.now_ns, &view);
    assert_true(view.backing_off);
    first = run_timers_until_sent();
    assert_true(driver.now_ns - begin_ns >= 2 * MS);
    begin_ns = driver.now_ns;
    send_failure(first.attempt_id, HR_ATTEMPT_REFUSED);
    run_timers_until_sent();
    assert_true(driver.now_ns - begin_ns >= 5 * MS); /* longer each time */
}

/* Guards against a slot that is used again while the server may still run the
 * attempt whose connection was lost. */
static void
test_lost_attempt_keeps_its_slot(void **state)
{
    HrSchedSendAttempt first, second;

    (void)state;
    start_scheduler(1);
    submit_request(false, 1);
    first = get_sent_attempt();
    submit_request(false, 1);
    second = get_sent_attempt();
    send_failure(first.attempt_id, HR_ATTEMPT_LOST);
    assert_non_null(find_only_action(HR_SCHED_CANCEL_ATTEMPT));
    submit_request(false, 1);
    assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
    send_cancel_result(first.attempt_id, false);
    assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
    send_failure(second.attempt_id, HR_ATTEMPT_LOST);
    send_cancel_result(second.attempt_id, true);
    run_timers_until_sent(); /* after the back-off for two failures */
}

/* Guards against a candidate that uses more than its share of the slots while
 * the previous scheduler may still send attempts. */
static void
test_candidate_keeps_to_its_share(void **state)
{
    (void)state;
    start_scheduler(1);
    set_role(HR_SCHED_ROLE_CANDIDATE, 0);
    submit_request(true, 1);
    get_sent_attempt();
    submit_request(true, 1);
    assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
    set_role(HR_SCHED_ROLE_SCHEDULER, 0);
    get_sent_attempt();
    submit_request(true, 1);
    assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
    set_role(HR_SCHED_ROLE_NONE, 0);
    assert_int_equal(get_sub_answer().reason, HR_REASON_NOT_SCHEDULER);
    assert_int_equal(get_sub_answer().outcome, HR_OUTCOME_DECLINED);
}

/* Guards against requests that wait until their deadline in a group without
 * servers. */
static void
test_group_without_servers_declines(void **state)
{
    (void)state;
    start_scheduler(0);
    submit_request(true, 1);
    assert_int_equal(get_sub_answer().reason, HR_REASON_NO_SERVER);
    assert_int_equal(get_sub_answer().outcome, HR_OUTCOME_DECLINED);
}

/* Guards against retries that come all at once: requests that fail at the same
 * time must be sent again at different times. */
static void
test_retries_are_spread(void **state)
{
    HrSchedSendAttempt first[4];
    int64_t times[4];
    uint32_t i;

    (void)state;
    start_scheduler(3);
    driver.pool.hedge = HR_HEDGE_NONE;
    apply_pool();
    for (i = 0; i < 4; i++) {
        submit_request(true, 1);
        first[i] = get_sent_attempt();
    }
    for (i = 0; i < 4; i++) {
        send_failure(first[i].attempt_id, HR_ATTEMPT_NOT_SENT);
        assert_null(find_only_action(HR_SCHED_SEND_ATTEMPT));
    }
    for (i = 0; i < 4; i++) {
        assert_int_equal(run_timers_until_sent().kind, HR_ATTEMPT_RETRY);
        times[i] = driver.now_ns;
        assert_true(i == 0 || times[i] > times[i - 1]);
    }
}

/* Guards against a sub-answer made from an answer to another request: the
 * version in the answer differs here. */
static void
test_mismatched_answer_is_rejected(void **state)
{
    HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};
    HrSchedSendAttempt first;

    (void)state;
    start_scheduler(1);
    submit_request(false, 1);
    first = get_sent_attempt();
    event.u.backend_answer.attempt_id = first.attempt_id;
    event.u.backend_answer.query.counter = 1;
    event.u.backend_answer.version = 2;
    event.u.backend_answer.shard = "s";
    handle_event(&event);
    assert_int_equal(get_sub_answer().outcome, HR_OUTCOME_UNKNOWN);
    assert_int_equal(get_sub_answer().reason, HR_REASON_BAD_ANSWER);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(
            test_hedge_goes_elsewhere_and_loser_is_cancelled, free_scheduler),
        cmocka_unit_test_teardown(test_non_idempotent_runs_once,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_duplicate_request_is_ignored,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_silent_connection_is_replaced,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_leaving_server_gets_no_new_work,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_older_pool_entry_is_ignored,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_no_version_tries_every_replica,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_version_holder_is_preferred,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_cold_server_gets_few_slots,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_shedding_server_backs_off,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_lost_attempt_keeps_its_slot,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_candidate_keeps_to_its_share,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_group_without_servers_declines,
                                  free_scheduler),
        cmocka_unit_test_teardown(test_retries_are_spread, free_scheduler),
        cmocka_unit_test_teardown(test_mismatched_answer_is_rejected,
                                  free_scheduler),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
