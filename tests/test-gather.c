#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "common-gather-world.h"

#define START_NS HR_NS_PER_S
#define DEADLINE_NS (START_NS + 100 * HR_NS_PER_MS)
#define MAX_ACTIONS 64

/* One query with three shards, to which a test passes one event at a time. */
typedef struct Fixture {
    HrCounters counters;
    HrGatherConfig config;
    HrQueryId query;
    HrRoute route;
    HrIndexMapSet *maps;
    HrGather *gather;
    int64_t now_ns;
    HrWantedCoverage want;
    const char *key;
    HrGatherAction actions[MAX_ACTIONS]; /* caused by the last event */
    uint32_t action_count;
    const HrGatherAnswer *answer;
} Fixture;

static int
set_up(void **state)
{
    Fixture *fixture = talloc_zero(NULL, Fixture);
    HrIndexMap *map = Simulation_CreateMap(fixture, 5, 3);

    fixture->config = HrGatherConfig_GetDefaults();
    fixture->config.counters = &fixture->counters;
    fixture->query = (HrQueryId){1, 2, 3};
    fixture->route.pool = "pool";
    fixture->route.idempotent = true;
    fixture->route.priority = 2;
    fixture->maps = Simulation_CreateMapSet(fixture, 1, &map, 1);
    fixture->now_ns = START_NS;
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    talloc_free(*state);
    return 0;
}

/* Passes an event to the gather, pops its actions and advances the clock by
 * 1 ms. */
static void
handle_event(Fixture *fixture, HrGatherEvent event)
{
    event.now_ns = fixture->now_ns;
    assert_int_equal(HrGather_HandleEvent(fixture->gather, &event), HR_OK);
    fixture->action_count = 0;
    while (fixture->action_count < MAX_ACTIONS &&
           HrGather_PopAction(fixture->gather,
                              &fixture->actions[fixture->action_count])) {
        HrGatherAction *action = &fixture->actions[fixture->action_count++];

        if (action->kind == HR_GATHER_FINISH) {
            fixture->answer = action->u.answer;
        }
    }
    fixture->now_ns += HR_NS_PER_MS;
}

static void
start_query(Fixture *fixture)
{
    HrGatherEvent event = {
        .kind = HR_GATHER_START,
        .u.start = {.route = &fixture->route,
                    .maps = fixture->maps,
                    .key = fixture->key,
                    .payload = {(const uint8_t *)"{}", 2},
                    .caller = "caller",
                    .want = fixture->want,
                    .deadline_ns = DEADLINE_NS},
    };

    fixture->gather =
        HrGather_Create(fixture, &fixture->config, &fixture->query);
    handle_event(fixture, event);
}

/* Starts a query with a non-idempotent request, which has one shard. */
static void
start_non_idempotent_query(Fixture *fixture)
{
    fixture->route.idempotent = false;
    fixture->route.finish = HR_FINISH_SINGLE;
    fixture->key = "booking";
    start_query(fixture);
}

/* Returns the send action at a position among the last actions. */
static HrGatherSend
get_send(const Fixture *fixture, uint32_t position)
{
    assert_true(position < fixture->action_count);
    assert_int_equal(fixture->actions[position].kind, HR_GATHER_SEND);
    return fixture->actions[position].u.send;
}

/* Returns a valid answer to a request. */
static HrSubAnswer
make_answer(HrGatherSend send)
{
    HrSubAnswer answer = {
        .query = send.request.query,
        .sub_id = send.request.sub_id,
        .shard = send.request.shard,
        .version = send.request.version,
        .server = "server",
        .payload = {(const uint8_t *)"[1]", 3},
    };

    return answer;
}

/* Passes a sub-answer to the gather. */
static void
handle_answer(Fixture *fixture, HrSubAnswer answer)
{
    HrGatherEvent event = {.kind = HR_GATHER_SUB_ANSWER, .u.answer = &answer};

    handle_event(fixture, event);
}

/* Passes a failed sub-answer to the gather. */
static void
handle_failed_answer(Fixture *fixture, HrGatherSend send, HrSubOutcome outcome,
                     HrReason reason)
{
    HrSubAnswer answer = make_answer(send);

    answer.outcome = outcome;
    answer.reason = reason;
    answer.payload = (HrBytes){NULL, 0};
    handle_answer(fixture, answer);
}

/* Reports a failure of the link to the daemon of a request. */
static void
report_peer_failure(Fixture *fixture, HrGatherSend send, bool send_started)
{
    HrGatherEvent event = {
        .kind = HR_GATHER_PEER_FAILURE,
        .u.failure = {send.request.sub_id, send_started,
                      HR_REASON_PEER_UNREACHABLE},
    };

    handle_event(fixture, event);
}

/* Passes index maps to the gather. */
static void
handle_maps(Fixture *fixture, const HrIndexMapSet *maps)
{
    HrGatherEvent event = {.kind = HR_GATHER_MAPS_RECEIVED, .u.maps = maps};

    handle_event(fixture, event);
}

/* Advances the clock to when the answer is due, and checks that there is an
 * answer. */
static void
reach_answer_time(Fixture *fixture)
{
    HrGatherEvent event = {.kind = HR_GATHER_TIMER};

    fixture->now_ns = HrGather_GetNextTimer(fixture->gather);
    assert_true(fixture->now_ns < DEADLINE_NS);
    handle_event(fixture, event);
    assert_non_null(fixture->answer);
}

/* Checks status, reason and not_run of the answer. */
static void
check_answer(const Fixture *fixture, HrQueryStatus status, HrReason reason,
             bool not_run)
{
    assert_non_null(fixture->answer);
    assert_string_equal(HrQueryStatus_GetName(fixture->answer->status),
                        HrQueryStatus_GetName(status));
    assert_string_equal(HrReason_GetName(fixture->answer->reason),
                        HrReason_GetName(reason));
    assert_int_equal(fixture->answer->not_run, not_run);
}

/* Guards against sub-requests with a missing field, and against a complete
 * answer with a missing shard or wrong times. */
static void
test_complete_answer(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[3];
    uint32_t i;

    start_query(fixture);
    assert_int_equal(fixture->action_count, 3);
    for (i = 0; i < 3; i++) {
        sends[i] = get_send(fixture, i);
        assert_int_equal(sends[i].rank, 0);
        assert_true(
            HrQueryId_Equals(&sends[i].request.query, &fixture->query));
        assert_string_equal(sends[i].request.pool, "pool");
        assert_string_equal(sends[i].request.caller, "caller");
        assert_int_equal(sends[i].request.version, 5);
        assert_int_equal(sends[i].request.priority, 2);
        assert_true(sends[i].request.deadline_ns < DEADLINE_NS);
    }
    for (i = 3; i-- > 0;) {
        handle_answer(fixture, make_answer(sends[i]));
    }
    check_answer(fixture, HR_STATUS_COMPLETE, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->version, 5);
    assert_int_equal(fixture->answer->part_count, 3);
    assert_string_equal(fixture->answer->parts[0].shard, "s0");
    assert_string_equal(fixture->answer->parts[0].server, "server");
    assert_int_equal(fixture->answer->parts[0].latency_ns, 3 * HR_NS_PER_MS);
    assert_int_equal(fixture->answer->first_part_ns - START_NS, HR_NS_PER_MS);
    assert_int_equal(HrGather_GetNextTimer(fixture->gather), HR_TIME_NEVER);
}

/* Guards against an answer after the deadline, and against slow sub-requests
 * that are not cancelled. */
static void
test_slow_shards_give_partial_answer_before_deadline(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend first;

    start_query(fixture);
    first = get_send(fixture, 0);
    handle_answer(fixture, make_answer(first));
    reach_answer_time(fixture);
    check_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->part_count, 1);
    assert_int_equal(fixture->answer->missing_count, 2);
    assert_int_equal(fixture->answer->missing[0].reason, HR_REASON_DEADLINE);
    assert_int_equal(fixture->action_count, 3);
    assert_int_equal(fixture->actions[0].kind, HR_GATHER_CANCEL_SUB);
    assert_int_equal(fixture->actions[1].kind, HR_GATHER_CANCEL_SUB);
}

/* Guards against a route with the rule "enough" that waits for every shard,
 * and against ignoring that the caller requires a complete answer. */
static void
test_enough_route_and_complete_coverage(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[2];

    fixture->route.finish = HR_FINISH_ENOUGH;
    fixture->route.enough_percent = 50;
    start_query(fixture);
    sends[0] = get_send(fixture, 0);
    sends[1] = get_send(fixture, 1);
    handle_answer(fixture, make_answer(sends[0]));
    assert_null(fixture->answer);
    handle_answer(fixture, make_answer(sends[1]));
    check_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->missing[0].reason, HR_REASON_NOT_NEEDED);
    fixture->answer = NULL;
    fixture->want = HR_WANT_COMPLETE;
    start_query(fixture);
    handle_answer(fixture, make_answer(sends[0]));
    handle_answer(fixture, make_answer(sends[1]));
    assert_null(fixture->answer);
}

/* Guards against a single-shard query that is sent to more than the shard of
 * its key, or to an arbitrary shard when it has no key. */
static void
test_single_shard_query_needs_key(void **state)
{
    Fixture *fixture = *state;

    fixture->route.finish = HR_FINISH_SINGLE;
    fixture->key = "depot";
    start_query(fixture);
    assert_int_equal(fixture->action_count, 1);
    assert_string_equal(
        get_send(fixture, 0).request.shard,
        HrIndexMap_FindShard(fixture->maps->maps[0], "depot")->name);
    fixture->key = NULL;
    start_query(fixture);
    check_answer(fixture, HR_STATUS_REFUSED, HR_REASON_NO_KEY, true);
}

/* Guards against counting a sub-answer of another query, attempt, shard or
 * version, or one without a payload. */
static void
test_mismatched_answers_never_count(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend send;
    HrSubAnswer bad[6];
    uint32_t i;

    fixture->config.candidate_count = 10;
    start_query(fixture);
    send = get_send(fixture, 1);
    for (i = 0; i < 6; i++) {
        bad[i] = make_answer(send);
    }
    bad[0].query.incarnation++;
    bad[1].sub_id += 1u << 28;
    bad[2].sub_id += 1u << 20;
    bad[3].shard = "s0";
    bad[4].version = 6;
    bad[5].payload.length_bytes = 0;
    for (i = 0; i < 6; i++) {
        handle_answer(fixture, bad[i]);
        assert_null(fixture->answer);
    }
    assert_int_equal(HrCounters_GetValue(&fixture->counters,
                                         HR_COUNTER_sub_answers_dropped),
                     3);
    assert_int_equal(
        HrCounters_GetValue(&fixture->counters, HR_COUNTER_gather_bad_answers),
        3);
    reach_answer_time(fixture);
    assert_int_equal(fixture->answer->part_count, 0);
}

/* Guards against a duplicate answer that replaces the first one or counts
 * twice. */
static void
test_duplicate_answer_is_dropped(void **state)
{
    Fixture *fixture = *state;
    HrSubAnswer duplicate;

    start_query(fixture);
    duplicate = make_answer(get_send(fixture, 0));
    handle_answer(fixture, duplicate);
    duplicate.payload = (HrBytes){(const uint8_t *)"[2,2]", 5};
    handle_answer(fixture, duplicate);
    reach_answer_time(fixture);
    assert_int_equal(fixture->answer->part_count, 1);
    assert_int_equal(fixture->answer->parts[0].payload.length_bytes, 3);
}

/* Guards against a shard that is missing because one scheduling daemon is
 * dead, and against endless failover. */
static void
test_peer_failure_tries_each_candidate(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend send;
    uint32_t rank;

    start_query(fixture);
    send = get_send(fixture, 0);
    for (rank = 1; rank < 4; rank++) {
        report_peer_failure(fixture, send, true);
        send = get_send(fixture, 0);
        assert_int_equal(send.rank, rank);
        assert_string_equal(send.request.shard, "s0");
    }
    report_peer_failure(fixture, send, true);
    assert_int_equal(fixture->action_count, 0);
    reach_answer_time(fixture);
    assert_int_equal(fixture->answer->missing[0].reason,
                     HR_REASON_PEER_UNREACHABLE);
    assert_int_equal(fixture->answer->failovers, 3);
}

/* Guards against dropping a late answer of an earlier candidate, and against
 * not cancelling the later attempt when that answer arrives. */
static void
test_late_answer_of_former_candidate_counts(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend first, second;

    start_query(fixture);
    first = get_send(fixture, 0);
    report_peer_failure(fixture, first, true);
    second = get_send(fixture, 0);
    handle_answer(fixture, make_answer(first));
    assert_int_equal(fixture->actions[0].kind, HR_GATHER_CANCEL_SUB);
    assert_int_equal(fixture->actions[0].u.cancel.sub_id,
                     second.request.sub_id);
    reach_answer_time(fixture);
    assert_int_equal(fixture->answer->part_count, 1);
}

/* Guards against mixing two versions in one answer when the servers no longer
 * hold the pinned one, against attempts on the old version that are not
 * cancelled, and against a second restart. */
static void
test_missing_version_restarts_once(void **state)
{
    Fixture *fixture = *state;
    HrIndexMap *newer = Simulation_CreateMap(fixture, 6, 2);
    HrIndexMapSet *maps = Simulation_CreateMapSet(fixture, 2, &newer, 1);
    HrGatherSend old[3], send;

    start_query(fixture);
    old[0] = get_send(fixture, 0);
    old[1] = get_send(fixture, 1);
    old[2] = get_send(fixture, 2);
    handle_answer(fixture, make_answer(old[0]));
    handle_failed_answer(fixture, old[1], HR_OUTCOME_NO_VERSION,
                         HR_REASON_NO_VERSION);
    assert_int_equal(fixture->action_count, 1);
    assert_int_equal(fixture->actions[0].kind, HR_GATHER_PULL_MAPS);
    assert_int_equal(fixture->actions[0].u.pull.known_revision, 1);
    handle_maps(fixture, maps);
    assert_int_equal(fixture->action_count, 3);
    assert_int_equal(fixture->actions[0].kind, HR_GATHER_CANCEL_SUB);
    assert_int_equal(fixture->actions[0].u.cancel.sub_id,
                     old[2].request.sub_id);
    send = get_send(fixture, 1);
    assert_int_equal(send.request.version, 6);
    handle_answer(fixture, make_answer(old[2]));
    handle_failed_answer(fixture, send, HR_OUTCOME_NO_VERSION,
                         HR_REASON_NO_VERSION);
    assert_int_equal(fixture->action_count, 0);
    reach_answer_time(fixture);
    assert_int_equal(fixture->answer->version, 6);
    assert_int_equal(fixture->answer->restarts, 1);
    assert_int_equal(fixture->answer->part_count, 0);
    assert_int_equal(fixture->answer->missing[0].reason, HR_REASON_NO_VERSION);
}

/* Guards against a restart that discards the answers of other shards although
 * no other version is usable or too little time is left. */
static void
test_missing_version_without_another_one(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[3];
    uint32_t i;

    start_query(fixture);
    for (i = 0; i < 3; i++) {
        sends[i] = get_send(fixture, i);
    }
    handle_failed_answer(fixture, sends[1], HR_OUTCOME_NO_VERSION,
                         HR_REASON_NO_VERSION);
    handle_answer(fixture, make_answer(sends[0]));
    handle_maps(fixture, fixture->maps);
    fixture->now_ns = DEADLINE_NS - 4 * HR_NS_PER_MS;
    handle_failed_answer(fixture, sends[2], HR_OUTCOME_NO_VERSION,
                         HR_REASON_NO_VERSION);
    check_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->part_count, 1);
    assert_int_equal(fixture->answer->version, 5);
    assert_int_equal(fixture->answer->missing[1].reason, HR_REASON_NO_VERSION);
}

/* Guards against a refusal that sets not_run although a shard may have run, or
 * that does not set it although none did. */
static void
test_declined_by_all_is_not_run(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[3];
    uint32_t i;

    start_query(fixture);
    for (i = 0; i < 3; i++) {
        sends[i] = get_send(fixture, i);
    }
    for (i = 0; i < 3; i++) {
        handle_failed_answer(fixture, sends[i], HR_OUTCOME_DECLINED,
                             HR_REASON_OVERLOADED);
    }
    check_answer(fixture, HR_STATUS_REFUSED, HR_REASON_OVERLOADED, true);
    fixture->answer = NULL;
    start_query(fixture);
    for (i = 0; i < 3; i++) {
        handle_failed_answer(fixture, sends[i],
                             i == 1 ? HR_OUTCOME_UNKNOWN : HR_OUTCOME_DECLINED,
                             HR_REASON_NONE);
    }
    check_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->missing[0].reason,
                     HR_REASON_SERVER_ERROR);
}

/* Guards against running a query without index maps or after its deadline
 * instead of refusing it. */
static void
test_refused_at_start(void **state)
{
    Fixture *fixture = *state;

    fixture->now_ns = DEADLINE_NS;
    start_query(fixture);
    check_answer(fixture, HR_STATUS_REFUSED, HR_REASON_DEADLINE, true);
    fixture->now_ns = START_NS;
    fixture->maps = NULL;
    start_query(fixture);
    check_answer(fixture, HR_STATUS_REFUSED, HR_REASON_NO_INDEX, true);
}

/* Guards against sub-requests that are not cancelled when the caller
 * disconnects. */
static void
test_cancel_stops_attempts(void **state)
{
    Fixture *fixture = *state;
    HrGatherEvent event = {.kind = HR_GATHER_CALLER_DISCONNECTED};

    start_query(fixture);
    handle_event(fixture, event);
    assert_int_equal(fixture->action_count, 4);
    assert_int_equal(fixture->actions[2].kind, HR_GATHER_CANCEL_SUB);
    check_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->missing[0].reason, HR_REASON_CANCELLED);
    handle_event(fixture, event);
    assert_int_equal(fixture->action_count, 0);
}

/* Guards against a query that holds more payload bytes than the limit. */
static void
test_payload_limit(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[3];
    uint32_t i;

    fixture->config.max_payload_bytes = 7;
    start_query(fixture);
    for (i = 0; i < 3; i++) {
        sends[i] = get_send(fixture, i);
    }
    for (i = 0; i < 3; i++) {
        handle_answer(fixture, make_answer(sends[i]));
    }
    assert_int_equal(fixture->answer->part_count, 2);
    assert_int_equal(fixture->answer->missing[0].reason, HR_REASON_OVERLOADED);
}

/* Guards against sending a non-idempotent request again although it may have
 * run. */
static void
test_non_idempotent_unknown_after_send(void **state)
{
    Fixture *fixture = *state;

    start_non_idempotent_query(fixture);
    assert_int_equal(fixture->action_count, 1);
    assert_false(get_send(fixture, 0).request.idempotent);
    report_peer_failure(fixture, get_send(fixture, 0), true);
    assert_int_equal(fixture->action_count, 1);
    check_answer(fixture, HR_STATUS_UNKNOWN, HR_REASON_PEER_UNREACHABLE,
                 false);
}

/* Guards against a non-idempotent request that fails although nothing was
 * passed to the peer link, and against a refusal without not_run. */
static void
test_non_idempotent_fails_over_before_send(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend send;

    start_non_idempotent_query(fixture);
    report_peer_failure(fixture, get_send(fixture, 0), false);
    handle_failed_answer(fixture, get_send(fixture, 0), HR_OUTCOME_DECLINED,
                         HR_REASON_NOT_SCHEDULER);
    send = get_send(fixture, 0);
    assert_int_equal(send.rank, 2);
    handle_answer(fixture, make_answer(send));
    check_answer(fixture, HR_STATUS_DONE, HR_REASON_NONE, false);
    fixture->answer = NULL;
    start_non_idempotent_query(fixture);
    handle_failed_answer(fixture, get_send(fixture, 0), HR_OUTCOME_DECLINED,
                         HR_REASON_OVERLOADED);
    check_answer(fixture, HR_STATUS_REFUSED, HR_REASON_OVERLOADED, true);
}

/* Guards against a non-idempotent request that has no valid answer at its
 * deadline and is refused as not run. */
static void
test_non_idempotent_unknown_at_deadline(void **state)
{
    Fixture *fixture = *state;
    HrSubAnswer answer;

    start_non_idempotent_query(fixture);
    reach_answer_time(fixture);
    check_answer(fixture, HR_STATUS_UNKNOWN, HR_REASON_DEADLINE, false);
    fixture->answer = NULL;
    fixture->now_ns = START_NS;
    start_non_idempotent_query(fixture);
    answer = make_answer(get_send(fixture, 0));
    answer.version = 4;
    handle_answer(fixture, answer);
    assert_int_equal(fixture->action_count, 0);
    reach_answer_time(fixture);
    check_answer(fixture, HR_STATUS_UNKNOWN, HR_REASON_BAD_ANSWER, false);
}

/* Guards against a sub-request that counts as run although the driver never
 * popped it, and against one that can be popped after the query finished. */
static void
test_unsent_requests_are_not_run(void **state)
{
    Fixture *fixture = *state;
    HrGatherEvent cancel = {.kind = HR_GATHER_CALLER_DISCONNECTED,
                            .now_ns = START_NS + 1};
    HrGatherEvent begin = {
        .kind = HR_GATHER_START,
        .now_ns = START_NS,
        .u.start = {.route = &fixture->route,
                    .maps = fixture->maps,
                    .deadline_ns = DEADLINE_NS},
    };
    HrGatherAction action;

    fixture->gather =
        HrGather_Create(fixture, &fixture->config, &fixture->query);
    assert_int_equal(HrGather_HandleEvent(fixture->gather, &cancel),
                     HR_ERR_INVALID);
    assert_int_equal(HrGather_HandleEvent(fixture->gather, &begin), HR_OK);
    assert_int_equal(HrGather_HandleEvent(fixture->gather, &begin),
                     HR_ERR_INVALID);
    assert_int_equal(HrGather_HandleEvent(fixture->gather, &cancel), HR_OK);
    assert_true(HrGather_PopAction(fixture->gather, &action));
    assert_int_equal(action.kind, HR_GATHER_FINISH);
    fixture->answer = action.u.answer;
    check_answer(fixture, HR_STATUS_REFUSED, HR_REASON_CANCELLED, true);
    assert_false(HrGather_PopAction(fixture->gather, &action));
}

#define GATHER_TEST(name)                                                     \
    cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        GATHER_TEST(test_complete_answer),
        GATHER_TEST(test_slow_shards_give_partial_answer_before_deadline),
        GATHER_TEST(test_enough_route_and_complete_coverage),
        GATHER_TEST(test_single_shard_query_needs_key),
        GATHER_TEST(test_mismatched_answers_never_count),
        GATHER_TEST(test_duplicate_answer_is_dropped),
        GATHER_TEST(test_peer_failure_tries_each_candidate),
        GATHER_TEST(test_late_answer_of_former_candidate_counts),
        GATHER_TEST(test_missing_version_restarts_once),
        GATHER_TEST(test_missing_version_without_another_one),
        GATHER_TEST(test_declined_by_all_is_not_run),
        GATHER_TEST(test_refused_at_start),
        GATHER_TEST(test_cancel_stops_attempts),
        GATHER_TEST(test_payload_limit),
        GATHER_TEST(test_non_idempotent_unknown_after_send),
        GATHER_TEST(test_non_idempotent_fails_over_before_send),
        GATHER_TEST(test_non_idempotent_unknown_at_deadline),
        GATHER_TEST(test_unsent_requests_are_not_run),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
