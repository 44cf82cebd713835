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

/* A scheduler that is driven event by event. */
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

/* Handles an event and collects its actions. */
static int
handle(HrSchedEvent *event)
{
    int rc;

    event->now_ns = driver.now_ns;
    rc = HrSched_Handle(driver.sched, event);
    driver.count = 0;
    while (driver.count < MAX_ACTIONS &&
           HrSched_Next(driver.sched, &driver.actions[driver.count])) {
        driver.count++;
    }
    return rc;
}

/* Hands over the pool. */
static void
apply_pool(void)
{
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET};

    event.u.server_set = &driver.pool;
    assert_int_equal(handle(&event), 0);
}

/* Sets the role. */
static void
set_role(HrSchedRoleKind kind, uint32_t slot_share)
{
    HrSchedEvent event = {.kind = HR_SCHED_ROLE};

    event.u.role.kind = kind;
    event.u.role.slot_share = slot_share;
    handle(&event);
}

/* Starts a scheduler with a number of servers of 2 slots. */
static void
start(uint32_t servers)
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
stop(void **state)
{
    (void)state;
    talloc_free(driver.sched);
    driver.sched = NULL;
    return 0;
}

/* Hands over a sub-request with 200 ms left. Returns its sub id. */
static uint32_t
submit(bool idempotent, uint64_t version)
{
    HrSubRequest request = {.shard = "s", .caller = "c"};
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST};

    request.query.counter = 1;
    request.sub_id = ++driver.next_sub;
    request.version = version;
    request.idempotent = idempotent;
    request.deadline_ns = driver.now_ns + 200 * MS;
    event.u.sub_request = &request;
    handle(&event);
    return driver.next_sub;
}

/* Returns the only action of a kind of the last event; NULL if there is none
 * or more than one. */
static const HrSchedAction *
only(HrSchedActionKind kind)
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
sent(void)
{
    const HrSchedAction *action = only(HR_SCHED_SEND_ATTEMPT);

    assert_non_null(action);
    return action->u.send_attempt;
}

/* Returns the only sub-answer that the last event gave. */
static HrSubAnswer
answered(void)
{
    const HrSchedAction *action = only(HR_SCHED_SUB_ANSWER);

    assert_non_null(action);
    return action->u.sub_answer;
}

/* Gives the answer of a server to an attempt. */
static void
answer(const HrSchedSendAttempt *attempt, HrBackendOutcome outcome,
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
    handle(&event);
}

/* Reports the failure of an attempt. */
static void
fail_attempt(uint64_t attempt_id, HrAttemptFailure failure)
{
    HrSchedEvent event = {.kind = HR_SCHED_ATTEMPT_FAILED};

    event.u.attempt_failed.attempt_id = attempt_id;
    event.u.attempt_failed.failure = failure;
    handle(&event);
}

/* Reports the result of a cancel. */
static void
cancel_result(uint64_t attempt_id, bool confirmed)
{
    HrSchedEvent event = {.kind = HR_SCHED_CANCEL_RESULT};

    event.u.cancel_result.attempt_id = attempt_id;
    event.u.cancel_result.confirmed = confirmed;
    handle(&event);
}

/* Gives a status report that was requested at a time. */
static void
report(const char *server, HrServerState server_state, uint64_t start_id,
       int64_t requested_ns, uint64_t version)
{
    HrSchedEvent event = {.kind = HR_SCHED_STATUS_REPORT};

    event.u.status_report.server = server;
    event.u.status_report.requested_ns = requested_ns;
    event.u.status_report.start_id = start_id;
    event.u.status_report.state = server_state;
    event.u.status_report.versions = &version;
    event.u.status_report.version_count = 1;
    handle(&event);
}

/* Moves to the next timer and handles it; false when it is after a time. */
static bool
tick(int64_t latest_ns)
{
    HrSchedEvent event = {.kind = HR_SCHED_TIMER};
    int64_t next_ns = HrSched_NextTimer(driver.sched);

    if (next_ns > latest_ns) {
        return false;
    }
    if (next_ns > driver.now_ns) {
        driver.now_ns = next_ns;
    }
    handle(&event);
    return true;
}

/* Moves on until a timer sends an attempt. */
static HrSchedSendAttempt
tick_until_sent(void)
{
    int64_t latest_ns = driver.now_ns + 200 * MS;

    while (tick(latest_ns)) {
        if (only(HR_SCHED_SEND_ATTEMPT) != NULL) {
            return sent();
        }
    }
    fail_msg("no attempt was sent");
    return sent();
}

/* Guards against a hedge that goes to the same replica or connection, that
 * leaves the loser running, or that comes twice. */
static void
test_hedge_goes_elsewhere_and_loser_is_cancelled(void **state)
{
    HrSchedSendAttempt first, hedge;
    int64_t begin_ns;

    (void)state;
    start(3);
    submit(true, 1);
    first = sent();
    begin_ns = driver.now_ns;
    hedge = tick_until_sent();
    assert_int_equal(hedge.kind, HR_ATTEMPT_HEDGE);
    assert_int_equal(driver.now_ns - begin_ns, 20 * MS);
    assert_string_not_equal(hedge.server, first.server);
    assert_int_not_equal(hedge.attempt_id, first.attempt_id);
    driver.now_ns += MS;
    answer(&hedge, HR_BACKEND_ANSWERED, false, 1);
    assert_int_equal(answered().outcome, HR_OUTCOME_ANSWERED);
    assert_string_equal(answered().server, hedge.server);
    assert_non_null(only(HR_SCHED_CANCEL_ATTEMPT));
    assert_int_equal(
        only(HR_SCHED_CANCEL_ATTEMPT)->u.cancel_attempt.attempt_id,
        first.attempt_id);
    answer(&first, HR_BACKEND_ANSWERED, false, 1);
    assert_null(only(HR_SCHED_SUB_ANSWER));
}

/* Guards against a non-idempotent request that is hedged, or sent again
 * after anything but an explicit decline. */
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
        start(3);
        submit(false, 1);
        first = sent();
        assert_true(first.fresh_connection);
        while (tick(driver.now_ns + 50 * MS) &&
               driver.now_ns < first.deadline_ns - 60 * MS) {
            assert_null(only(HR_SCHED_SEND_ATTEMPT));
        }
        fail_attempt(first.attempt_id, failures[i]);
        assert_int_equal(answered().outcome,
                         i < 2 ? HR_OUTCOME_DECLINED : HR_OUTCOME_UNKNOWN);
        assert_null(only(HR_SCHED_SEND_ATTEMPT));
        stop(NULL);
    }
    start(3);
    submit(false, 1);
    first = sent();
    answer(&first, HR_BACKEND_DECLINED, false, 1);
    assert_int_equal(sent().kind, HR_ATTEMPT_RETRY);
    assert_string_not_equal(sent().server, first.server);
}

/* Guards against a second copy of a message that runs a non-idempotent
 * request again after it was answered. */
static void
test_second_copy_is_ignored(void **state)
{
    HrSchedSendAttempt first;

    (void)state;
    start(2);
    submit(false, 1);
    first = sent();
    driver.next_sub--;
    submit(false, 1);
    assert_int_equal(driver.count, 0);
    answer(&first, HR_BACKEND_ANSWERED, false, 1);
    answered();
    driver.next_sub--;
    submit(false, 1);
    assert_int_equal(driver.count, 0);
}

/* Guards against waiting to the deadline for a connection that went silent,
 * and against using another idle connection to the same server. */
static void
test_silent_connection_is_replaced(void **state)
{
    HrSchedSendAttempt first, retry;
    uint32_t i;

    (void)state;
    start(1);
    for (i = 0; i < 60; i++) {
        submit(true, 1);
        first = sent();
        driver.now_ns += 2 * MS;
        answer(&first, HR_BACKEND_ANSWERED, false, 1);
    }
    submit(true, 1);
    first = sent();
    assert_false(first.fresh_connection);
    retry = tick_until_sent();
    assert_int_equal(retry.kind, HR_ATTEMPT_RETRY);
    assert_true(retry.fresh_connection);
    assert_true(driver.now_ns < first.deadline_ns - 150 * MS);
    driver.now_ns += 2 * MS;
    answer(&retry, HR_BACKEND_ANSWERED, false, 1);
    assert_int_equal(answered().outcome, HR_OUTCOME_ANSWERED);
}

/* Guards against new work for a server that is leaving, and against an older
 * report, or one of the same start, that brings it back. */
static void
test_leaving_server_never_comes_back(void **state)
{
    HrSchedSendAttempt first;
    const char *leaving;
    int64_t before_ns;
    uint32_t i;

    (void)state;
    start(2);
    submit(true, 1);
    first = sent();
    leaving = strcmp(first.server, "a") == 0 ? "a" : "b";
    before_ns = driver.now_ns;
    driver.now_ns += 5 * MS;
    answer(&first, HR_BACKEND_ANSWERED, true, 10);
    driver.now_ns += 5 * MS;
    report(leaving, HR_SERVER_READY, 10, before_ns, 1);
    report(leaving, HR_SERVER_READY, 9, before_ns - MS, 1);
    report(leaving, HR_SERVER_READY, 10, driver.now_ns, 1);
    report(leaving, HR_SERVER_READY, 11, before_ns, 1);
    for (i = 0; i < 2; i++) {
        submit(true, 1);
        assert_string_not_equal(sent().server, leaving);
    }
    submit(true, 1);
    assert_null(only(HR_SCHED_SEND_ATTEMPT));
    driver.now_ns += MS;
    report(leaving, HR_SERVER_READY, 11, driver.now_ns, 1);
    assert_string_equal(sent().server, leaving); /* a later start */
}

/* Guards against an older pool row that undoes an operator's edit. */
static void
test_older_pool_row_is_ignored(void **state)
{
    uint32_t i;

    (void)state;
    start(2);
    driver.servers[0].leaving = true;
    driver.pool.revision = 6;
    apply_pool();
    driver.servers[0].leaving = false;
    driver.pool.revision = 5;
    apply_pool();
    for (i = 0; i < 2; i++) {
        submit(true, 1);
        assert_string_equal(sent().server, "b");
    }
    submit(true, 1);
    assert_null(only(HR_SCHED_SEND_ATTEMPT));
}

/* Guards against giving up on a version while a replica may hold it, and
 * against asking one server twice. */
static void
test_no_version_tries_every_replica(void **state)
{
    HrSchedSendAttempt attempts[3];
    uint32_t i;

    (void)state;
    start(3);
    submit(true, 9);
    for (i = 0; i < 3; i++) {
        attempts[i] = sent();
        assert_true(i < 1 ||
                    strcmp(attempts[i].server, attempts[i - 1].server) != 0);
        answer(&attempts[i], HR_BACKEND_NO_VERSION, false, 1);
    }
    assert_string_not_equal(attempts[2].server, attempts[0].server);
    assert_int_equal(answered().outcome, HR_OUTCOME_NO_VERSION);
}

/* Guards against sending to a server that does not hold the version while
 * another one does. */
static void
test_version_holder_is_preferred(void **state)
{
    uint32_t i;

    (void)state;
    start(3);
    for (i = 0; i < 3; i++) {
        report(names[i], HR_SERVER_READY, 1, driver.now_ns, i == 1 ? 2 : 1);
    }
    for (i = 0; i < 2; i++) {
        submit(true, 2);
        assert_string_equal(sent().server, "b");
    }
    submit(true, 2);
    assert_null(only(HR_SCHED_SEND_ATTEMPT)); /* waits for b */
    submit(true, 1);
    assert_string_not_equal(sent().server, "b"); /* not blocked by it */
}

/* Guards against filling a cold server at once. */
static void
test_cold_server_starts_slowly(void **state)
{
    HrSchedServerView view;

    (void)state;
    start(1);
    report("a", HR_SERVER_COLD, 1, driver.now_ns, 1);
    submit(true, 1);
    sent();
    submit(true, 1);
    assert_null(only(HR_SCHED_SEND_ATTEMPT));
    driver.now_ns += MS;
    report("a", HR_SERVER_READY, 1, driver.now_ns, 1);
    HrSched_GetServer(driver.sched, 0, driver.now_ns, &view);
    assert_int_equal(view.slot_limit, 1);
    driver.now_ns += HR_EJECT_SLOW_START_NS;
    tick(driver.now_ns);
    HrSched_GetServer(driver.sched, 0, driver.now_ns, &view);
    assert_int_equal(view.slot_limit, 2);
}

/* Guards against new work for a server that has just shed some. */
static void
test_shedding_server_is_left_alone(void **state)
{
    HrSchedSendAttempt first;
    HrSchedServerView view;
    int64_t begin_ns;

    (void)state;
    start(1);
    submit(true, 1);
    first = sent();
    begin_ns = driver.now_ns;
    answer(&first, HR_BACKEND_SHED, false, 1);
    HrSched_GetServer(driver.sched, 0, driver.now_ns, &view);
    assert_true(view.backing_off);
    first = tick_until_sent();
    assert_true(driver.now_ns - begin_ns >= 2 * MS);
    begin_ns = driver.now_ns;
    fail_attempt(first.attempt_id, HR_ATTEMPT_REFUSED);
    tick_until_sent();
    assert_true(driver.now_ns - begin_ns >= 5 * MS); /* longer each time */
}

/* Guards against slots that are given out again while the server may still
 * run what was lost. */
static void
test_lost_attempt_keeps_its_slot(void **state)
{
    HrSchedSendAttempt first, second;

    (void)state;
    start(1);
    submit(false, 1);
    first = sent();
    submit(false, 1);
    second = sent();
    fail_attempt(first.attempt_id, HR_ATTEMPT_LOST);
    assert_non_null(only(HR_SCHED_CANCEL_ATTEMPT));
    submit(false, 1);
    assert_null(only(HR_SCHED_SEND_ATTEMPT));
    cancel_result(first.attempt_id, false);
    assert_null(only(HR_SCHED_SEND_ATTEMPT));
    fail_attempt(second.attempt_id, HR_ATTEMPT_LOST);
    cancel_result(second.attempt_id, true);
    tick_until_sent(); /* after the back-off for two failures */
}

/* Guards against a candidate that uses more than its share of the slots
 * before the former scheduler is gone. */
static void
test_candidate_keeps_to_its_share(void **state)
{
    (void)state;
    start(1);
    set_role(HR_SCHED_ROLE_CANDIDATE, 0);
    submit(true, 1);
    sent();
    submit(true, 1);
    assert_null(only(HR_SCHED_SEND_ATTEMPT));
    set_role(HR_SCHED_ROLE_SCHEDULER, 0);
    sent();
    submit(true, 1);
    assert_null(only(HR_SCHED_SEND_ATTEMPT));
    set_role(HR_SCHED_ROLE_NONE, 0);
    assert_int_equal(answered().reason, HR_REASON_NOT_SCHEDULER);
    assert_int_equal(answered().outcome, HR_OUTCOME_DECLINED);
}

/* Guards against a group without servers that lets requests wait. */
static void
test_no_server_is_told_at_once(void **state)
{
    (void)state;
    start(0);
    submit(true, 1);
    assert_int_equal(answered().reason, HR_REASON_NO_SERVER);
    assert_int_equal(answered().outcome, HR_OUTCOME_DECLINED);
}

/* Guards against retries in step: many requests that fail together are sent
 * again at different times. */
static void
test_retries_are_spread(void **state)
{
    HrSchedSendAttempt first[4];
    int64_t times[4];
    uint32_t i;

    (void)state;
    start(3);
    driver.pool.hedge = HR_HEDGE_NONE;
    apply_pool();
    for (i = 0; i < 4; i++) {
        submit(true, 1);
        first[i] = sent();
    }
    for (i = 0; i < 4; i++) {
        fail_attempt(first[i].attempt_id, HR_ATTEMPT_NOT_SENT);
        assert_null(only(HR_SCHED_SEND_ATTEMPT));
    }
    for (i = 0; i < 4; i++) {
        assert_int_equal(tick_until_sent().kind, HR_ATTEMPT_RETRY);
        times[i] = driver.now_ns;
        assert_true(i == 0 || times[i] > times[i - 1]);
    }
}

/* Guards against an answer to another request that is passed on. */
static void
test_mismatched_answer_does_not_count(void **state)
{
    HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};
    HrSchedSendAttempt first;

    (void)state;
    start(1);
    submit(false, 1);
    first = sent();
    event.u.backend_answer.attempt_id = first.attempt_id;
    event.u.backend_answer.query.counter = 1;
    event.u.backend_answer.version = 2;
    event.u.backend_answer.shard = "s";
    handle(&event);
    assert_int_equal(answered().outcome, HR_OUTCOME_UNKNOWN);
    assert_int_equal(answered().reason, HR_REASON_BAD_ANSWER);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(
            test_hedge_goes_elsewhere_and_loser_is_cancelled, stop),
        cmocka_unit_test_teardown(test_non_idempotent_runs_once, stop),
        cmocka_unit_test_teardown(test_second_copy_is_ignored, stop),
        cmocka_unit_test_teardown(test_silent_connection_is_replaced, stop),
        cmocka_unit_test_teardown(test_leaving_server_never_comes_back, stop),
        cmocka_unit_test_teardown(test_older_pool_row_is_ignored, stop),
        cmocka_unit_test_teardown(test_no_version_tries_every_replica, stop),
        cmocka_unit_test_teardown(test_version_holder_is_preferred, stop),
        cmocka_unit_test_teardown(test_cold_server_starts_slowly, stop),
        cmocka_unit_test_teardown(test_shedding_server_is_left_alone, stop),
        cmocka_unit_test_teardown(test_lost_attempt_keeps_its_slot, stop),
        cmocka_unit_test_teardown(test_candidate_keeps_to_its_share, stop),
        cmocka_unit_test_teardown(test_no_server_is_told_at_once, stop),
        cmocka_unit_test_teardown(test_retries_are_spread, stop),
        cmocka_unit_test_teardown(test_mismatched_answer_does_not_count, stop),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
