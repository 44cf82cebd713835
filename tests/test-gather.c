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

/* One query with three shards, driven step by step. */
typedef struct Fixture {
    HrCounters counters;
    HrGatherConfig config;
    HrQueryId query;
    HrRoute route;
    HrIndexMapSet *maps;
    HrGather *gather;
    int64_t now_ns;
    HrWant want;
    const char *key;
    HrGatherAction actions[MAX_ACTIONS]; /* of the last step */
    uint32_t action_count;
    const HrGatherAnswer *answer;
} Fixture;

/* Creates the fixture. */
static int
set_up(void **state)
{
    Fixture *fixture = talloc_zero(NULL, Fixture);
    HrIndexMap *map = World_CreateMap(fixture, 5, 3);

    fixture->config = HrGatherConfig_Default();
    fixture->config.counters = &fixture->counters;
    fixture->query = (HrQueryId){1, 2, 3};
    fixture->route.pool = "pool";
    fixture->route.idempotent = true;
    fixture->route.priority = 2;
    fixture->maps = World_CreateSet(fixture, 1, &map, 1);
    fixture->now_ns = START_NS;
    *state = fixture;
    return 0;
}

/* Frees the fixture. */
static int
tear_down(void **state)
{
    talloc_free(*state);
    return 0;
}

/* Hands an event to the gather and collects the actions. */
static void
step(Fixture *fixture, HrGatherEvent event)
{
    event.now_ns = fixture->now_ns;
    assert_int_equal(HrGather_Handle(fixture->gather, &event), HR_OK);
    fixture->action_count = 0;
    while (fixture->action_count < MAX_ACTIONS &&
           HrGather_Next(fixture->gather,
                         &fixture->actions[fixture->action_count])) {
        HrGatherAction *action = &fixture->actions[fixture->action_count++];

        if (action->kind == HR_GATHER_FINISH) {
            fixture->answer = action->u.answer;
        }
    }
    fixture->now_ns += HR_NS_PER_MS;
}

/* Starts the query. */
static void
start(Fixture *fixture)
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
    step(fixture, event);
}

/* Starts a non-idempotent request. */
static void
start_booking(Fixture *fixture)
{
    fixture->route.idempotent = false;
    fixture->route.finish = HR_FINISH_SINGLE;
    fixture->key = "booking";
    start(fixture);
}

/* Returns a send action of the last step. */
static HrGatherSend
sent(const Fixture *fixture, uint32_t position)
{
    assert_true(position < fixture->action_count);
    assert_int_equal(fixture->actions[position].kind, HR_GATHER_SEND);
    return fixture->actions[position].u.send;
}

/* Returns a valid answer to a request. */
static HrSubAnswer
answer_to(HrGatherSend send)
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

/* Hands a sub-answer to the gather. */
static void
give(Fixture *fixture, HrSubAnswer answer)
{
    HrGatherEvent event = {.kind = HR_GATHER_SUB_ANSWER, .u.answer = &answer};

    step(fixture, event);
}

/* Hands a failed sub-answer to the gather. */
static void
give_failure(Fixture *fixture, HrGatherSend send, HrOutcome outcome,
             HrReason reason)
{
    HrSubAnswer answer = answer_to(send);

    answer.outcome = outcome;
    answer.reason = reason;
    answer.payload = (HrBytes){NULL, 0};
    give(fixture, answer);
}

/* Reports a link failure to the gather. */
static void
fail_peer(Fixture *fixture, HrGatherSend send, bool handed_over)
{
    HrGatherEvent event = {
        .kind = HR_GATHER_PEER_FAILURE,
        .u.failure = {send.request.sub_id, handed_over,
                      HR_REASON_PEER_UNREACHABLE},
    };

    step(fixture, event);
}

/* Hands index maps to the gather. */
static void
give_maps(Fixture *fixture, const HrIndexMapSet *maps)
{
    HrGatherEvent event = {.kind = HR_GATHER_MAPS, .u.maps = maps};

    step(fixture, event);
}

/* Lets the answer time arrive. */
static void
expire(Fixture *fixture)
{
    HrGatherEvent event = {.kind = HR_GATHER_TIMER};

    fixture->now_ns = HrGather_NextTimer(fixture->gather);
    assert_true(fixture->now_ns < DEADLINE_NS);
    step(fixture, event);
    assert_non_null(fixture->answer);
}

/* Checks status, reason and not_run of the answer. */
static void
expect_answer(const Fixture *fixture, HrStatus status, HrReason reason,
              bool not_run)
{
    assert_non_null(fixture->answer);
    assert_string_equal(HrStatus_Name(fixture->answer->status),
                        HrStatus_Name(status));
    assert_string_equal(HrReason_Name(fixture->answer->reason),
                        HrReason_Name(reason));
    assert_int_equal(fixture->answer->not_run, not_run);
}

/* Guards against requests that lack a field, and a complete answer that lacks
 * a shard or its timings. */
static void
test_complete_answer(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[3];
    uint32_t i;

    start(fixture);
    assert_int_equal(fixture->action_count, 3);
    for (i = 0; i < 3; i++) {
        sends[i] = sent(fixture, i);
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
        give(fixture, answer_to(sends[i]));
    }
    expect_answer(fixture, HR_STATUS_COMPLETE, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->version, 5);
    assert_int_equal(fixture->answer->part_count, 3);
    assert_string_equal(fixture->answer->parts[0].shard, "s0");
    assert_string_equal(fixture->answer->parts[0].server, "server");
    assert_int_equal(fixture->answer->parts[0].latency_ns, 3 * HR_NS_PER_MS);
    assert_int_equal(fixture->answer->first_part_ns - START_NS, HR_NS_PER_MS);
    assert_int_equal(HrGather_NextTimer(fixture->gather), HR_TIME_NEVER);
}

/* Guards against an answer after the deadline, and stragglers that go on
 * without a cancellation. */
static void
test_straggler_gives_partial_before_deadline(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend first;

    start(fixture);
    first = sent(fixture, 0);
    give(fixture, answer_to(first));
    expire(fixture);
    expect_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->part_count, 1);
    assert_int_equal(fixture->answer->gap_count, 2);
    assert_int_equal(fixture->answer->gaps[0].reason, HR_REASON_DEADLINE);
    assert_int_equal(fixture->action_count, 3);
    assert_int_equal(fixture->actions[0].kind, HR_GATHER_CANCEL_SUB);
    assert_int_equal(fixture->actions[1].kind, HR_GATHER_CANCEL_SUB);
}

/* Guards against an "enough" route that waits for every shard, and a caller's
 * want for a complete answer that is ignored. */
static void
test_enough_and_want_complete(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[2];

    fixture->route.finish = HR_FINISH_ENOUGH;
    fixture->route.enough_percent = 50;
    start(fixture);
    sends[0] = sent(fixture, 0);
    sends[1] = sent(fixture, 1);
    give(fixture, answer_to(sends[0]));
    assert_null(fixture->answer);
    give(fixture, answer_to(sends[1]));
    expect_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->gaps[0].reason, HR_REASON_NOT_NEEDED);
    fixture->answer = NULL;
    fixture->want = HR_WANT_COMPLETE;
    start(fixture);
    give(fixture, answer_to(sends[0]));
    give(fixture, answer_to(sends[1]));
    assert_null(fixture->answer);
}

/* Guards against a lookup that is sent to more than the shard of its key, and
 * one without a key that picks any shard. */
static void
test_single_needs_key(void **state)
{
    Fixture *fixture = *state;

    fixture->route.finish = HR_FINISH_SINGLE;
    fixture->key = "depot";
    start(fixture);
    assert_int_equal(fixture->action_count, 1);
    assert_string_equal(
        sent(fixture, 0).request.shard,
        HrIndexMap_FindShard(fixture->maps->maps[0], "depot")->name);
    fixture->key = NULL;
    start(fixture);
    expect_answer(fixture, HR_STATUS_REFUSED, HR_REASON_NO_KEY, true);
}

/* Guards against sub-answers of another query, attempt, shard or version, or
 * without payload, that count. */
static void
test_mismatched_answers_never_count(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend send;
    HrSubAnswer bad[6];
    uint32_t i;

    fixture->config.candidate_count = 10;
    start(fixture);
    send = sent(fixture, 1);
    for (i = 0; i < 6; i++) {
        bad[i] = answer_to(send);
    }
    bad[0].query.incarnation++;
    bad[1].sub_id += 1u << 28;
    bad[2].sub_id += 1u << 20;
    bad[3].shard = "s0";
    bad[4].version = 6;
    bad[5].payload.length_bytes = 0;
    for (i = 0; i < 6; i++) {
        give(fixture, bad[i]);
        assert_null(fixture->answer);
    }
    assert_int_equal(
        HrCounters_Get(&fixture->counters, HR_COUNTER_sub_answers_dropped), 3);
    assert_int_equal(
        HrCounters_Get(&fixture->counters, HR_COUNTER_gather_bad_answers), 3);
    expire(fixture);
    assert_int_equal(fixture->answer->part_count, 0);
}

/* Guards against a duplicate that replaces or repeats a counted payload. */
static void
test_duplicate_answer_is_dropped(void **state)
{
    Fixture *fixture = *state;
    HrSubAnswer again;

    start(fixture);
    again = answer_to(sent(fixture, 0));
    give(fixture, again);
    again.payload = (HrBytes){(const uint8_t *)"[2,2]", 5};
    give(fixture, again);
    expire(fixture);
    assert_int_equal(fixture->answer->part_count, 1);
    assert_int_equal(fixture->answer->parts[0].payload.length_bytes, 3);
}

/* Guards against a dead scheduling daemon that costs a shard, and against a
 * failover without end. */
static void
test_peer_failure_tries_each_candidate(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend send;
    uint32_t rank;

    start(fixture);
    send = sent(fixture, 0);
    for (rank = 1; rank < 4; rank++) {
        fail_peer(fixture, send, true);
        send = sent(fixture, 0);
        assert_int_equal(send.rank, rank);
        assert_string_equal(send.request.shard, "s0");
    }
    fail_peer(fixture, send, true);
    assert_int_equal(fixture->action_count, 0);
    expire(fixture);
    assert_int_equal(fixture->answer->gaps[0].reason,
                     HR_REASON_PEER_UNREACHABLE);
    assert_int_equal(fixture->answer->failovers, 3);
}

/* Guards against a slow answer of a former candidate that is thrown away, and
 * a later attempt that then goes on. */
static void
test_late_answer_of_former_candidate_counts(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend first, second;

    start(fixture);
    first = sent(fixture, 0);
    fail_peer(fixture, first, true);
    second = sent(fixture, 0);
    give(fixture, answer_to(first));
    assert_int_equal(fixture->actions[0].kind, HR_GATHER_CANCEL_SUB);
    assert_int_equal(fixture->actions[0].u.cancel.sub_id,
                     second.request.sub_id);
    expire(fixture);
    assert_int_equal(fixture->answer->part_count, 1);
}

/* Guards against shards of two versions in one answer after a loss of the
 * version, and against attempts on the old one that go on. */
static void
test_lost_version_restarts_once(void **state)
{
    Fixture *fixture = *state;
    HrIndexMap *newer = World_CreateMap(fixture, 6, 2);
    HrIndexMapSet *maps = World_CreateSet(fixture, 2, &newer, 1);
    HrGatherSend old[3], send;

    start(fixture);
    old[0] = sent(fixture, 0);
    old[1] = sent(fixture, 1);
    old[2] = sent(fixture, 2);
    give(fixture, answer_to(old[0]));
    give_failure(fixture, old[1], HR_OUTCOME_NO_VERSION, HR_REASON_NO_VERSION);
    assert_int_equal(fixture->action_count, 1);
    assert_int_equal(fixture->actions[0].kind, HR_GATHER_PULL_MAPS);
    assert_int_equal(fixture->actions[0].u.pull.known_revision, 1);
    give_maps(fixture, maps);
    assert_int_equal(fixture->action_count, 3);
    assert_int_equal(fixture->actions[0].kind, HR_GATHER_CANCEL_SUB);
    assert_int_equal(fixture->actions[0].u.cancel.sub_id,
                     old[2].request.sub_id);
    send = sent(fixture, 1);
    assert_int_equal(send.request.version, 6);
    give(fixture, answer_to(old[2]));
    give_failure(fixture, send, HR_OUTCOME_NO_VERSION, HR_REASON_NO_VERSION);
    assert_int_equal(fixture->action_count, 0);
    expire(fixture);
    assert_int_equal(fixture->answer->version, 6);
    assert_int_equal(fixture->answer->restarts, 1);
    assert_int_equal(fixture->answer->part_count, 0);
    assert_int_equal(fixture->answer->gaps[0].reason, HR_REASON_NO_VERSION);
}

/* Guards against a restart that throws away a good answer when no other
 * version is usable or the time is short. */
static void
test_lost_version_without_another_one(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[3];
    uint32_t i;

    start(fixture);
    for (i = 0; i < 3; i++) {
        sends[i] = sent(fixture, i);
    }
    give_failure(fixture, sends[1], HR_OUTCOME_NO_VERSION,
                 HR_REASON_NO_VERSION);
    give(fixture, answer_to(sends[0]));
    give_maps(fixture, fixture->maps);
    fixture->now_ns = DEADLINE_NS - 4 * HR_NS_PER_MS;
    give_failure(fixture, sends[2], HR_OUTCOME_NO_VERSION,
                 HR_REASON_NO_VERSION);
    expect_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->part_count, 1);
    assert_int_equal(fixture->answer->version, 5);
    assert_int_equal(fixture->answer->gaps[1].reason, HR_REASON_NO_VERSION);
}

/* Guards against a refusal that claims not_run although a shard ran, or that
 * hides that none did. */
static void
test_declined_by_all_is_not_run(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[3];
    uint32_t i;

    start(fixture);
    for (i = 0; i < 3; i++) {
        sends[i] = sent(fixture, i);
    }
    for (i = 0; i < 3; i++) {
        give_failure(fixture, sends[i], HR_OUTCOME_DECLINED,
                     HR_REASON_OVERLOADED);
    }
    expect_answer(fixture, HR_STATUS_REFUSED, HR_REASON_OVERLOADED, true);
    fixture->answer = NULL;
    start(fixture);
    for (i = 0; i < 3; i++) {
        give_failure(fixture, sends[i],
                     i == 1 ? HR_OUTCOME_UNKNOWN : HR_OUTCOME_DECLINED,
                     HR_REASON_NONE);
    }
    expect_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->gaps[0].reason, HR_REASON_SERVER_ERROR);
}

/* Guards against a query that runs without index maps or after its deadline
 * instead of a refusal. */
static void
test_refused_at_start(void **state)
{
    Fixture *fixture = *state;

    fixture->now_ns = DEADLINE_NS;
    start(fixture);
    expect_answer(fixture, HR_STATUS_REFUSED, HR_REASON_DEADLINE, true);
    fixture->now_ns = START_NS;
    fixture->maps = NULL;
    start(fixture);
    expect_answer(fixture, HR_STATUS_REFUSED, HR_REASON_NO_INDEX, true);
}

/* Guards against work that goes on for a caller that has gone. */
static void
test_cancel_stops_attempts(void **state)
{
    Fixture *fixture = *state;
    HrGatherEvent event = {.kind = HR_GATHER_CANCEL};

    start(fixture);
    step(fixture, event);
    assert_int_equal(fixture->action_count, 4);
    assert_int_equal(fixture->actions[2].kind, HR_GATHER_CANCEL_SUB);
    expect_answer(fixture, HR_STATUS_PARTIAL, HR_REASON_NONE, false);
    assert_int_equal(fixture->answer->gaps[0].reason, HR_REASON_CANCELLED);
    step(fixture, event);
    assert_int_equal(fixture->action_count, 0);
}

/* Guards against payloads without bound in the memory of one query. */
static void
test_payload_limit(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend sends[3];
    uint32_t i;

    fixture->config.max_payload_bytes = 7;
    start(fixture);
    for (i = 0; i < 3; i++) {
        sends[i] = sent(fixture, i);
    }
    for (i = 0; i < 3; i++) {
        give(fixture, answer_to(sends[i]));
    }
    assert_int_equal(fixture->answer->part_count, 2);
    assert_int_equal(fixture->answer->gaps[0].reason, HR_REASON_OVERLOADED);
}

/* Guards against a booking that is sent again although it may have run. */
static void
test_booking_is_unknown_after_handover(void **state)
{
    Fixture *fixture = *state;

    start_booking(fixture);
    assert_int_equal(fixture->action_count, 1);
    assert_false(sent(fixture, 0).request.idempotent);
    fail_peer(fixture, sent(fixture, 0), true);
    assert_int_equal(fixture->action_count, 1);
    expect_answer(fixture, HR_STATUS_UNKNOWN, HR_REASON_PEER_UNREACHABLE,
                  false);
}

/* Guards against a booking that is given up although nothing was handed to
 * the link, and one that is refused without not_run. */
static void
test_booking_fails_over_before_handover(void **state)
{
    Fixture *fixture = *state;
    HrGatherSend send;

    start_booking(fixture);
    fail_peer(fixture, sent(fixture, 0), false);
    give_failure(fixture, sent(fixture, 0), HR_OUTCOME_DECLINED,
                 HR_REASON_NOT_SCHEDULER);
    send = sent(fixture, 0);
    assert_int_equal(send.rank, 2);
    give(fixture, answer_to(send));
    expect_answer(fixture, HR_STATUS_DONE, HR_REASON_NONE, false);
    fixture->answer = NULL;
    start_booking(fixture);
    give_failure(fixture, sent(fixture, 0), HR_OUTCOME_DECLINED,
                 HR_REASON_OVERLOADED);
    expect_answer(fixture, HR_STATUS_REFUSED, HR_REASON_OVERLOADED, true);
}

/* Guards against a booking without an answer that is refused as not run. */
static void
test_booking_is_unknown_at_deadline(void **state)
{
    Fixture *fixture = *state;
    HrSubAnswer answer;

    start_booking(fixture);
    expire(fixture);
    expect_answer(fixture, HR_STATUS_UNKNOWN, HR_REASON_DEADLINE, false);
    fixture->answer = NULL;
    fixture->now_ns = START_NS;
    start_booking(fixture);
    answer = answer_to(sent(fixture, 0));
    answer.version = 4;
    give(fixture, answer);
    assert_int_equal(fixture->action_count, 0);
    expire(fixture);
    expect_answer(fixture, HR_STATUS_UNKNOWN, HR_REASON_BAD_ANSWER, false);
}

/* Guards against a request that the driver never popped but that counts as
 * run, and against one that is popped after the finish. */
static void
test_unsent_requests_are_not_run(void **state)
{
    Fixture *fixture = *state;
    HrGatherEvent cancel = {.kind = HR_GATHER_CANCEL, .now_ns = START_NS + 1};
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
    assert_int_equal(HrGather_Handle(fixture->gather, &cancel),
                     HR_ERR_INVALID);
    assert_int_equal(HrGather_Handle(fixture->gather, &begin), HR_OK);
    assert_int_equal(HrGather_Handle(fixture->gather, &begin), HR_ERR_INVALID);
    assert_int_equal(HrGather_Handle(fixture->gather, &cancel), HR_OK);
    assert_true(HrGather_Next(fixture->gather, &action));
    assert_int_equal(action.kind, HR_GATHER_FINISH);
    fixture->answer = action.u.answer;
    expect_answer(fixture, HR_STATUS_REFUSED, HR_REASON_CANCELLED, true);
    assert_false(HrGather_Next(fixture->gather, &action));
}

#define GATHER_TEST(name)                                                     \
    cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        GATHER_TEST(test_complete_answer),
        GATHER_TEST(test_straggler_gives_partial_before_deadline),
        GATHER_TEST(test_enough_and_want_complete),
        GATHER_TEST(test_single_needs_key),
        GATHER_TEST(test_mismatched_answers_never_count),
        GATHER_TEST(test_duplicate_answer_is_dropped),
        GATHER_TEST(test_peer_failure_tries_each_candidate),
        GATHER_TEST(test_late_answer_of_former_candidate_counts),
        GATHER_TEST(test_lost_version_restarts_once),
        GATHER_TEST(test_lost_version_without_another_one),
        GATHER_TEST(test_declined_by_all_is_not_run),
        GATHER_TEST(test_refused_at_start),
        GATHER_TEST(test_cancel_stops_attempts),
        GATHER_TEST(test_payload_limit),
        GATHER_TEST(test_booking_is_unknown_after_handover),
        GATHER_TEST(test_booking_fails_over_before_handover),
        GATHER_TEST(test_booking_is_unknown_at_deadline),
        GATHER_TEST(test_unsent_requests_are_not_run),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
