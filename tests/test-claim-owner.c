#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "common-parent.h"
#include "coord-claim-value.h"

#define WALL_MS INT64_C(1700000000000)
#define SECOND HR_NS_PER_S
#define MILLISECOND HR_NS_PER_MS

/* One partition owner whose messages, store results and time are set by the
 * test. All messages concern one partition, and so one key of the store. */
typedef struct Fixture {
    HrClaimOwner *owner;
    HrClaimOwnerConfig config;
    int64_t now_ns;
    int64_t wall_ms;
    HrClaimOwnerAction action; /* the one popped last */
} Fixture;

static Fixture *
create_fixture(void **state)
{
    Fixture *fixture = talloc_zero(*state, Fixture);

    HrClaimOwnerConfig_GetDefaults(&fixture->config);
    fixture->owner =
        HrClaimOwner_Create(fixture, &fixture->config, HrRng_FromSeed(1));
    fixture->now_ns = SECOND;
    fixture->wall_ms = WALL_MS;
    return fixture;
}

/* Passes an event to the owner, with the current times. */
static void
handle_event(Fixture *fixture, HrClaimOwnerEvent event)
{
    event.now_ns = fixture->now_ns;
    event.wall_ms = fixture->wall_ms;
    HrClaimOwner_HandleEvent(fixture->owner, &event);
}

/* Advances both clocks and passes a timer event to the owner. */
static void
advance(Fixture *fixture, int64_t delta_ns)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_TIMER};

    fixture->now_ns += delta_ns;
    fixture->wall_ms += delta_ns / MILLISECOND;
    handle_event(fixture, event);
}

/* Returns a message of a holder about the request id "a", which expires in 30
 * s. */
static HrClaimMessage
make_message(const Fixture *fixture, HrClaimMessageKind kind,
             uint64_t sequence)
{
    HrClaimMessage message = {.kind = kind};

    message.holder.daemon_id = 7;
    message.holder.sequence = sequence;
    snprintf(message.request_id, sizeof(message.request_id), "a");
    message.expires_ms = WALL_MS + 30000;
    message.time_left_ns = 5 * SECOND;
    return message;
}

static void
send_message(Fixture *fixture, HrClaimMessage message)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_MESSAGE};

    event.u.message = &message;
    handle_event(fixture, event);
}

/* Sends a holder's claim request for the request id "a". */
static void
request_claim(Fixture *fixture, uint64_t sequence)
{
    send_message(fixture,
                 make_message(fixture, HR_CLAIM_MESSAGE_REQUEST, sequence));
}

/* Sends a holder's outcome for the request id "a". */
static void
send_outcome(Fixture *fixture, uint64_t sequence, HrClaimState state)
{
    HrClaimMessage message =
        make_message(fixture, HR_CLAIM_MESSAGE_OUTCOME, sequence);

    message.state = state;
    message.result_bytes = 2;
    memcpy(message.result, "ok", 2);
    send_message(fixture, message);
}

/* Pops the next action, which must be of the given kind. */
static const HrClaimOwnerAction *
expect_action(Fixture *fixture, HrClaimOwnerActionKind kind)
{
    assert_true(HrClaimOwner_PopAction(fixture->owner, &fixture->action));
    assert_int_equal(fixture->action.kind, kind);
    return &fixture->action;
}

static void
expect_no_action(Fixture *fixture)
{
    assert_false(HrClaimOwner_PopAction(fixture->owner, &fixture->action));
}

/* Pops the next action, which must be a reply to a holder with the given
 * verdict. */
static const HrClaimMessage *
expect_reply(Fixture *fixture, uint64_t sequence, HrClaimVerdict verdict)
{
    const HrClaimMessage *reply =
        &expect_action(fixture, HR_CLAIM_OWNER_ACTION_SEND)->u.send.message;

    assert_int_equal(reply->kind, HR_CLAIM_MESSAGE_REPLY);
    assert_int_equal(reply->holder.sequence, sequence);
    assert_int_equal(reply->verdict, verdict);
    return reply;
}

/* Passes the result of the store call that was popped last to the owner. */
static void
pass_store_result(Fixture *fixture, HrClaimStoreResult result,
                  uint64_t revision, const HrClaimValue *value)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE};

    event.u.store.partition = fixture->action.u.store.partition;
    event.u.store.call = fixture->action.u.store.call;
    event.u.store.result = result;
    event.u.store.revision = revision;
    event.u.store.value = value;
    handle_event(fixture, event);
}

/* Returns a value with one record, for the request id "a". */
static HrClaimValue *
make_value(Fixture *fixture, uint64_t sequence, HrClaimState state)
{
    HrClaimValue *value = HrClaimValue_Create(fixture);
    HrClaimRecord *record = talloc_zero(value, HrClaimRecord);

    snprintf(record->request_id, sizeof(record->request_id), "a");
    record->holder.daemon_id = 7;
    record->holder.sequence = sequence;
    record->expires_ms = WALL_MS + 30000;
    record->state = state;
    assert_int_equal(HrClaimValue_Put(value, record), HR_OK);
    return value;
}

/* Grants a holder the request id "a", starting with an empty store. */
static void
grant_claim(Fixture *fixture, uint64_t sequence)
{
    request_claim(fixture, sequence);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_ABSENT, 0, NULL);
    assert_int_equal(expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT)
                         ->u.store.cas_revision,
                     0);
    pass_store_result(fixture, HR_CLAIM_STORE_WRITTEN, 1, NULL);
    expect_reply(fixture, sequence, HR_CLAIM_VERDICT_GRANTED);
    expect_no_action(fixture);
}

/* Guards against a grant before the claim is in the store: another owner could
 * grant the id as well. */
static void
test_grant_follows_commit(void **state)
{
    Fixture *fixture = create_fixture(state);

    request_claim(fixture, 1);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    expect_no_action(fixture);
    pass_store_result(fixture, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    assert_string_equal(fixture->action.u.store.key, "hickory/claims/62");
    expect_no_action(fixture);
    advance(fixture, SECOND);
    expect_no_action(fixture);
    pass_store_result(fixture, HR_CLAIM_STORE_WRITTEN, 1, NULL);
    expect_reply(fixture, 1, HR_CLAIM_VERDICT_GRANTED);
}

/* Guards against a grant to another copy while the id is claimed, and against
 * a waiting copy that is never answered with the outcome of the first one. */
static void
test_copy_waits_for_outcome(void **state)
{
    Fixture *fixture = create_fixture(state);
    const HrClaimMessage *reply;

    grant_claim(fixture, 1);
    request_claim(fixture, 2);
    expect_no_action(fixture);
    advance(fixture, 300 * MILLISECOND);
    send_outcome(fixture, 1, HR_CLAIM_DONE);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    pass_store_result(fixture, HR_CLAIM_STORE_WRITTEN, 2, NULL);
    reply = expect_reply(fixture, 2, HR_CLAIM_VERDICT_RECORDED);
    assert_int_equal(reply->state, HR_CLAIM_DONE);
    assert_memory_equal(reply->result, "ok", 2);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_SEND);
    assert_int_equal(fixture->action.u.send.message.kind,
                     HR_CLAIM_MESSAGE_OUTCOME_ACK);
    expect_no_action(fixture);
}

/* Guards against a change of a recorded outcome by a later message of the
 * holder with another one. */
static void
test_first_outcome_stays(void **state)
{
    Fixture *fixture = create_fixture(state);

    grant_claim(fixture, 1);
    advance(fixture, 300 * MILLISECOND);
    send_outcome(fixture, 1, HR_CLAIM_UNKNOWN);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    pass_store_result(fixture, HR_CLAIM_STORE_WRITTEN, 2, NULL);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_SEND);
    send_outcome(fixture, 1, HR_CLAIM_DONE);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_SEND);
    send_outcome(fixture, 1, HR_CLAIM_RELEASED);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_SEND);
    expect_no_action(fixture);
    request_claim(fixture, 2);
    assert_int_equal(
        expect_reply(fixture, 2, HR_CLAIM_VERDICT_RECORDED)->state,
        HR_CLAIM_UNKNOWN);
}

/* Guards against an id that stays claimed after its holder has released it, so
 * that a waiting copy never runs. */
static void
test_release_lets_copy_run(void **state)
{
    Fixture *fixture = create_fixture(state);

    grant_claim(fixture, 1);
    request_claim(fixture, 2);
    advance(fixture, 300 * MILLISECOND);
    send_outcome(fixture, 1, HR_CLAIM_RELEASED);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    assert_int_equal(fixture->action.u.store.value->record_count, 0);
    pass_store_result(fixture, HR_CLAIM_STORE_WRITTEN, 2, NULL);
    expect_action(fixture,
                  HR_CLAIM_OWNER_ACTION_SEND); /* the ACK of the outcome */
    expect_no_action(fixture);
    advance(fixture, 200 * MILLISECOND);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    pass_store_result(fixture, HR_CLAIM_STORE_WRITTEN, 3, NULL);
    expect_reply(fixture, 2, HR_CLAIM_VERDICT_GRANTED);
}

/* Guards against more than one write per partition in 200 ms, and against
 * claims that are not committed with the next write. */
static void
test_group_commit(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrClaimMessage message;
    uint32_t i, sent = 0;

    grant_claim(fixture, 1);
    for (i = 0; sent < 5; i++) {
        message = make_message(fixture, HR_CLAIM_MESSAGE_REQUEST, 10 + i);
        snprintf(message.request_id, sizeof(message.request_id), "id%u", i);
        if (HrOwner_GetClaimPartition(message.request_id) ==
            HrOwner_GetClaimPartition("a")) {
            send_message(fixture, message);
            sent++;
        }
    }
    expect_no_action(fixture);
    assert_int_equal(HrClaimOwner_GetNextTimer(fixture->owner) -
                         fixture->now_ns,
                     200 * MILLISECOND);
    advance(fixture, 200 * MILLISECOND);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    assert_int_equal(fixture->action.u.store.value->record_count, 6);
    pass_store_result(fixture, HR_CLAIM_STORE_WRITTEN, 2, NULL);
    for (i = 0; i < 5; i++) {
        expect_action(fixture, HR_CLAIM_OWNER_ACTION_SEND);
    }
    assert_int_equal(HrClaimOwner_GetPendingCount(fixture->owner), 0);
}

/* Guards against a refusal or a second run when a write was applied but its
 * reply was lost: the owner must read the record again, whose holder id shows
 * which claim request was granted. */
static void
test_lost_reply_is_read_again(void **state)
{
    Fixture *fixture = create_fixture(state);

    request_claim(fixture, 1);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    pass_store_result(fixture, HR_CLAIM_STORE_UNKNOWN, 0, NULL);
    request_claim(fixture, 2);
    expect_no_action(fixture);
    advance(fixture, SECOND);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_FAILED, 0, NULL);
    /* Only the claim request that the PUT may have written remains pending. */
    expect_reply(fixture, 2, HR_CLAIM_VERDICT_REFUSED);
    expect_no_action(fixture);
    advance(fixture, SECOND);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_FOUND, 1,
                      make_value(fixture, 1, HR_CLAIM_HELD));
    expect_reply(fixture, 1, HR_CLAIM_VERDICT_GRANTED);
}

/* Guards against a grant by an owner with an outdated value, for example after
 * a pause in which another owner granted the id. */
static void
test_mismatch_reads_again(void **state)
{
    Fixture *fixture = create_fixture(state);

    request_claim(fixture, 1);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    pass_store_result(fixture, HR_CLAIM_STORE_MISMATCH, 0, NULL);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_FOUND, 1,
                      make_value(fixture, 9, HR_CLAIM_HELD));
    expect_no_action(fixture);
    /* The owner reads again while the request waits, since another owner may
     * record the outcome. */
    advance(fixture, 1100 * MILLISECOND);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_FOUND, 2,
                      make_value(fixture, 9, HR_CLAIM_DONE));
    expect_reply(fixture, 1, HR_CLAIM_VERDICT_RECORDED);
}

/* Guards against grants during an outage of the store, and against a "not run"
 * reply to a copy that may not be the first. */
static void
test_store_outage(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrClaimMessage first = make_message(fixture, HR_CLAIM_MESSAGE_REQUEST, 1);
    const HrClaimMessage *reply;

    first.first_copy = true;
    send_message(fixture, first);
    request_claim(fixture, 2);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_FAILED, 0, NULL);
    reply = expect_reply(fixture, 1, HR_CLAIM_VERDICT_REFUSED);
    assert_int_equal(reply->reason, HR_REASON_STORE_UNAVAILABLE);
    assert_true(reply->not_run);
    assert_false(expect_reply(fixture, 2, HR_CLAIM_VERDICT_REFUSED)->not_run);
    assert_int_equal(HrClaimOwner_GetPendingCount(fixture->owner), 0);
}

/* Guards against overwriting a value that cannot be decoded: it may contain
 * the claims of requests that ran. */
static void
test_malformed_value(void **state)
{
    Fixture *fixture = create_fixture(state);

    request_claim(fixture, 1);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_FOUND, 4, NULL);
    assert_false(expect_reply(fixture, 1, HR_CLAIM_VERDICT_REFUSED)->not_run);
    expect_no_action(fixture);
}

/* Guards against a run after the expiry, and against a "not run" reply while
 * an owner whose wall clock is behind could still grant the id. */
static void
test_expired_id_is_closed(void **state)
{
    Fixture *fixture = create_fixture(state);
    const HrClaimMessage *reply;

    fixture->wall_ms = WALL_MS + 30000;
    request_claim(fixture, 1);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    expect_no_action(fixture);
    pass_store_result(fixture, HR_CLAIM_STORE_WRITTEN, 1, NULL);
    reply = expect_reply(fixture, 1, HR_CLAIM_VERDICT_REFUSED);
    assert_int_equal(reply->reason, HR_REASON_EXPIRED);
    assert_true(reply->not_run);
    fixture->wall_ms = WALL_MS;
    request_claim(fixture, 2);
    assert_true(expect_reply(fixture, 2, HR_CLAIM_VERDICT_REFUSED)->not_run);
}

/* Guards against a second run of an id whose record was removed after its
 * expiry, when the wall clock has been set back to a time before the
 * expiry. */
static void
test_expiry_before_watermark(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrClaimValue *value = make_value(fixture, 9, HR_CLAIM_DONE);
    const HrClaimMessage *reply;

    assert_int_equal(HrClaimValue_DropExpired(
                         value, WALL_MS + 30000 + HR_CLAIM_RETENTION_MS),
                     1);
    request_claim(fixture, 1);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_FOUND, 5, value);
    reply = expect_reply(fixture, 1, HR_CLAIM_VERDICT_REFUSED);
    assert_int_equal(reply->reason, HR_REASON_EXPIRED);
    assert_false(reply->not_run);
}

/* Guards against records that are retained for longer than documented: ids
 * with an expiry far in the future would fill the partition. */
static void
test_expiry_far_ahead(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrClaimMessage message =
        make_message(fixture, HR_CLAIM_MESSAGE_REQUEST, 1);

    message.expires_ms = WALL_MS + HR_CLAIM_MAX_EXPIRY_AHEAD_MS + 1;
    send_message(fixture, message);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect_reply(fixture, 1, HR_CLAIM_VERDICT_REFUSED);
    expect_no_action(fixture);
}

/* Returns a value filled with records up to the size limit. The record of "a"
 * belongs to the holder with sequence 9. */
static HrClaimValue *
make_full_value(Fixture *fixture)
{
    HrClaimValue *value = make_value(fixture, 9, HR_CLAIM_HELD);
    uint64_t bytes = HrClaimValue_GetMaxEncodedSize(value);
    uint32_t i;

    for (i = 0; bytes + 80 < HR_CLAIM_VALUE_BYTES; i++) {
        HrClaimRecord *record = talloc_zero(value, HrClaimRecord);

        snprintf(record->request_id, sizeof(record->request_id), "full-%06u",
                 i);
        record->holder.daemon_id = 7;
        record->expires_ms = WALL_MS + 30000;
        assert_int_equal(HrClaimValue_Put(value, record), HR_OK);
        bytes += HrClaimRecord_GetMaxEncodedSize(record);
    }
    return value;
}

/* Guards against a value above 1 MB, which the store would refuse, and against
 * an outcome that is not recorded because its result does not fit. */
static void
test_full_partition(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrClaimMessage message =
        make_message(fixture, HR_CLAIM_MESSAGE_REQUEST, 1);
    uint32_t i = 0;

    do {
        snprintf(message.request_id, sizeof(message.request_id),
                 "a-long-request-id-that-does-not-fit-any-more-%u", i++);
    } while (HrOwner_GetClaimPartition(message.request_id) !=
             HrOwner_GetClaimPartition("a"));
    send_message(fixture, message);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    pass_store_result(fixture, HR_CLAIM_STORE_FOUND, 5,
                      make_full_value(fixture));
    assert_int_equal(
        expect_reply(fixture, 1, HR_CLAIM_VERDICT_REFUSED)->reason,
        HR_REASON_OVERLOADED);
    expect_no_action(fixture);
    message = make_message(fixture, HR_CLAIM_MESSAGE_OUTCOME, 9);
    message.state = HR_CLAIM_DONE;
    message.result_bytes = HR_CLAIM_RESULT_BYTES;
    send_message(fixture, message);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_PUT);
    assert_true(HrClaimValue_GetMaxEncodedSize(
                    fixture->action.u.store.value) <= HR_CLAIM_VALUE_BYTES);
    assert_int_equal(
        HrClaimValue_Find(fixture->action.u.store.value, "a")->state,
        HR_CLAIM_DONE);
}

/* Guards against unbounded memory when claim requests are received faster than
 * the store responds. */
static void
test_pending_limit(void **state)
{
    Fixture *fixture = create_fixture(state);
    uint32_t i;

    fixture->config.max_pending = 10;
    fixture->owner =
        HrClaimOwner_Create(fixture, &fixture->config, HrRng_FromSeed(1));
    for (i = 0; i < 10; i++) {
        request_claim(fixture, i + 1);
    }
    request_claim(fixture, 5); /* a resent request is not counted again */
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
    expect_no_action(fixture);
    request_claim(fixture, 11);
    assert_int_equal(
        expect_reply(fixture, 11, HR_CLAIM_VERDICT_REFUSED)->reason,
        HR_REASON_OVERLOADED);
    assert_int_equal(HrClaimOwner_GetPendingCount(fixture->owner), 10);
}

/* Guards against claim requests that remain pending after their deadline, and
 * against values of unused partitions that remain in memory. */
static void
test_overdue_requests_and_idle_partitions(void **state)
{
    Fixture *fixture = create_fixture(state);

    grant_claim(fixture, 1);
    request_claim(fixture, 2);
    assert_int_equal(HrClaimOwner_GetPendingCount(fixture->owner), 1);
    while (HrClaimOwner_GetPendingCount(fixture->owner) > 0) {
        advance(fixture,
                HrClaimOwner_GetNextTimer(fixture->owner) - fixture->now_ns);
        if (HrClaimOwner_PopAction(fixture->owner, &fixture->action)) {
            pass_store_result(fixture, HR_CLAIM_STORE_FOUND, 1,
                              make_value(fixture, 1, HR_CLAIM_HELD));
        }
    }
    assert_true(fixture->now_ns <= 7 * SECOND);
    advance(fixture, 61 * SECOND);
    assert_int_equal(HrClaimOwner_GetNextTimer(fixture->owner), HR_TIME_NEVER);
    request_claim(fixture, 3);
    expect_action(fixture, HR_CLAIM_OWNER_ACTION_GET);
}

#define TEST(name)                                                            \
    cmocka_unit_test_setup_teardown(name, TestParent_Create, TestParent_Free)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(test_grant_follows_commit),
        TEST(test_copy_waits_for_outcome),
        TEST(test_first_outcome_stays),
        TEST(test_release_lets_copy_run),
        TEST(test_group_commit),
        TEST(test_lost_reply_is_read_again),
        TEST(test_mismatch_reads_again),
        TEST(test_store_outage),
        TEST(test_malformed_value),
        TEST(test_expired_id_is_closed),
        TEST(test_expiry_before_watermark),
        TEST(test_expiry_far_ahead),
        TEST(test_full_partition),
        TEST(test_pending_limit),
        TEST(test_overdue_requests_and_idle_partitions),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
