#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>
#include <talloc.h>

#include "common-parent.h"
#include "coord-claim.h"

#define WALL_MS INT64_C(1700000000000)
#define SECOND HR_NS_PER_S
#define OWNER_ID 42
#define SELF_ID 7

/* One claim holder whose messages and time are set by the test. */
typedef struct Fixture {
    HrClaimHolder *holder;
    int64_t now_ns;
    int64_t wall_ms;
    HrClaimHolderAction action; /* the one popped last */
} Fixture;

/* Passes an event to the holder, with the current times. */
static void
handle_event(Fixture *fixture, HrClaimHolderEvent event)
{
    event.now_ns = fixture->now_ns;
    event.wall_ms = fixture->wall_ms;
    HrClaimHolder_HandleEvent(fixture->holder, &event);
}

/* Passes a view with one member, which owns every partition, to the holder. */
static void
set_owner(Fixture *fixture, uint64_t daemon_id)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW};
    HrMember member = {.daemon_id = daemon_id};
    HrMemberView view = {.members = &member, .member_count = 1};

    event.u.view = &view;
    handle_event(fixture, event);
}

/* Creates a holder whose view has OWNER_ID as the owner of every partition. */
static Fixture *
create_fixture(void **state, uint32_t max_entries)
{
    Fixture *fixture = talloc_zero(*state, Fixture);
    HrClaimHolderConfig config;

    HrClaimHolderConfig_GetDefaults(&config);
    config.daemon_id = SELF_ID;
    config.incarnation = 3;
    config.max_entries = max_entries;
    fixture->holder =
        HrClaimHolder_Create(fixture, &config, HrRng_FromSeed(1));
    fixture->now_ns = SECOND;
    fixture->wall_ms = WALL_MS;
    set_owner(fixture, OWNER_ID);
    return fixture;
}

/* Advances both clocks and passes a timer event to the holder. */
static void
advance(Fixture *fixture, int64_t delta_ns)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER};

    fixture->now_ns += delta_ns;
    fixture->wall_ms += delta_ns / HR_NS_PER_MS;
    handle_event(fixture, event);
}

/* Starts a claim whose id expires in 30 s and whose deadline is in 2 s. */
static void
start_claim(Fixture *fixture, const char *request_id, bool first_copy)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_START};

    event.u.start.token = 99;
    event.u.start.request_id = request_id;
    event.u.start.expires_ms = WALL_MS + 30000;
    event.u.start.deadline_ns = fixture->now_ns + 2 * SECOND;
    event.u.start.first_copy = first_copy;
    handle_event(fixture, event);
}

/* Passes a message for the claim request with sequence 1 to the holder. */
static void
deliver_message(Fixture *fixture, HrClaimMessageKind kind,
                HrClaimVerdict verdict)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE};
    HrClaimMessage message = {.kind = kind, .verdict = verdict};

    message.holder.daemon_id = SELF_ID;
    message.holder.incarnation = 3;
    message.holder.sequence = 1;
    event.u.message = &message;
    handle_event(fixture, event);
}

/* Reports how the request with sequence 1 ended. */
static void
report_outcome(Fixture *fixture, HrClaimState state)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME};

    event.u.outcome.sequence = 1;
    event.u.outcome.state = state;
    event.u.outcome.result.data = (const uint8_t *)"ok";
    event.u.outcome.result.length_bytes = 2;
    handle_event(fixture, event);
}

/* Pops the next action, which must be of the given kind. */
static const HrClaimHolderAction *
expect_action(Fixture *fixture, HrClaimHolderActionKind kind)
{
    assert_true(HrClaimHolder_PopAction(fixture->holder, &fixture->action));
    assert_int_equal(fixture->action.kind, kind);
    return &fixture->action;
}

static void
expect_no_action(Fixture *fixture)
{
    assert_false(HrClaimHolder_PopAction(fixture->holder, &fixture->action));
}

/* Pops the next action, which must be a message of the given kind. */
static const HrClaimMessage *
expect_send(Fixture *fixture, HrClaimMessageKind kind)
{
    expect_action(fixture, HR_CLAIM_HOLDER_ACTION_SEND);
    assert_int_equal(fixture->action.u.send.message.kind, kind);
    return &fixture->action.u.send.message;
}

/* Pops the next action, which must be a refusal with the given reason. */
static void
expect_refusal(Fixture *fixture, HrReason reason, bool not_run)
{
    expect_action(fixture, HR_CLAIM_HOLDER_ACTION_ANSWER);
    assert_int_equal(fixture->action.u.answer.token, 99);
    assert_int_equal(fixture->action.u.answer.verdict,
                     HR_CLAIM_VERDICT_REFUSED);
    assert_int_equal(fixture->action.u.answer.reason, reason);
    assert_int_equal(fixture->action.u.answer.not_run, not_run);
}

/* Guards against a second dispatch when a grant is received again, in any
 * state of the claim. */
static void
test_dispatches_once(void **state)
{
    Fixture *fixture = create_fixture(state, 10);

    start_claim(fixture, "a", true);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_action(fixture, HR_CLAIM_HOLDER_ACTION_DISPATCH);
    assert_int_equal(fixture->action.u.dispatch.token, 99);
    expect_no_action(fixture);
    report_outcome(fixture, HR_CLAIM_DONE);
    assert_int_equal(expect_send(fixture, HR_CLAIM_MESSAGE_OUTCOME)->state,
                     HR_CLAIM_DONE);
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_no_action(fixture);
    deliver_message(fixture, HR_CLAIM_MESSAGE_OUTCOME_ACK,
                    HR_CLAIM_VERDICT_GRANTED);
    assert_int_equal(HrClaimHolder_GetUnfinishedCount(fixture->holder), 0);
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_no_action(fixture);
}

/* Guards against a dispatch after the deadline, when the process was paused
 * while it waited for the grant. */
static void
test_late_grant_is_released(void **state)
{
    Fixture *fixture = create_fixture(state, 10);

    start_claim(fixture, "a", false);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    fixture->now_ns += 2 * SECOND;
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_refusal(fixture, HR_REASON_DEADLINE, true);
    assert_int_equal(expect_send(fixture, HR_CLAIM_MESSAGE_OUTCOME)->state,
                     HR_CLAIM_RELEASED);
    expect_no_action(fixture);
}

/* Guards against a dispatch after the expiry, when the grant is received
 * late. */
static void
test_expired_grant_is_released(void **state)
{
    Fixture *fixture = create_fixture(state, 10);

    start_claim(fixture, "a", false);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    fixture->wall_ms += 30000;
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_refusal(fixture, HR_REASON_EXPIRED, true);
    assert_int_equal(expect_send(fixture, HR_CLAIM_MESSAGE_OUTCOME)->reason,
                     HR_REASON_EXPIRED);
}

/* Guards against a caller that waits beyond its deadline when no owner
 * replies, and then against a "not run" answer to a copy that may not be the
 * first. */
static void
test_no_reply(void **state)
{
    Fixture *fixture = create_fixture(state, 10);
    uint32_t requests = 0;

    start_claim(fixture, "a", false);
    while (HrClaimHolder_PopAction(fixture->holder, &fixture->action) &&
           fixture->action.kind == HR_CLAIM_HOLDER_ACTION_SEND) {
        requests++;
        advance(fixture,
                HrClaimHolder_GetNextTimer(fixture->holder) - fixture->now_ns);
    }
    assert_int_equal(fixture->now_ns, 3 * SECOND);
    assert_in_range(requests, 2, 4);
    assert_int_equal(fixture->action.kind, HR_CLAIM_HOLDER_ACTION_ANSWER);
    assert_int_equal(fixture->action.u.answer.verdict,
                     HR_CLAIM_VERDICT_UNKNOWN);
    expect_send(fixture, HR_CLAIM_MESSAGE_OUTCOME);
    start_claim(fixture, "b", true);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    fixture->now_ns += 2 * SECOND;
    advance(fixture, 0);
    while (HrClaimHolder_PopAction(fixture->holder, &fixture->action) &&
           fixture->action.kind == HR_CLAIM_HOLDER_ACTION_SEND) {
    }
    assert_int_equal(fixture->action.u.answer.verdict,
                     HR_CLAIM_VERDICT_REFUSED);
    assert_true(fixture->action.u.answer.not_run);
}

/* Guards against a claim that is never released because its grant is received
 * after the copy was refused. */
static void
test_grant_after_refusal_is_released(void **state)
{
    Fixture *fixture = create_fixture(state, 10);

    start_claim(fixture, "a", true);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_REFUSED);
    expect_action(fixture, HR_CLAIM_HOLDER_ACTION_ANSWER);
    expect_no_action(fixture);
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    assert_int_equal(expect_send(fixture, HR_CLAIM_MESSAGE_OUTCOME)->state,
                     HR_CLAIM_RELEASED);
    deliver_message(fixture, HR_CLAIM_MESSAGE_OUTCOME_ACK,
                    HR_CLAIM_VERDICT_GRANTED);
    advance(fixture, 60 * SECOND);
    assert_int_equal(HrClaimHolder_GetNextTimer(fixture->holder),
                     HR_TIME_NEVER);
}

/* Guards against claim requests that are resent late, or to the previous
 * owner, after the owner of their partition has changed. */
static void
test_request_is_sent_to_new_owner(void **state)
{
    Fixture *fixture = create_fixture(state, 10);

    start_claim(fixture, "a", true);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    assert_int_equal(fixture->action.u.send.daemon_id, OWNER_ID);
    set_owner(fixture, 43);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    assert_int_equal(fixture->action.u.send.daemon_id, 43);
    set_owner(fixture, 43);
    expect_no_action(fixture);
}

/* Guards against an outcome that is lost because it is not resent, and against
 * one that is resent forever when no owner acknowledges it. */
static void
test_outcome_is_resent(void **state)
{
    Fixture *fixture = create_fixture(state, 10);
    uint32_t sends = 0;

    start_claim(fixture, "a", true);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    deliver_message(fixture, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_action(fixture, HR_CLAIM_HOLDER_ACTION_DISPATCH);
    report_outcome(fixture, HR_CLAIM_DONE);
    while (HrClaimHolder_PopAction(fixture->holder, &fixture->action)) {
        sends++;
        advance(fixture,
                HrClaimHolder_GetNextTimer(fixture->holder) - fixture->now_ns);
    }
    assert_in_range(sends, 8, 20);
    assert_int_equal(HrClaimHolder_GetNextTimer(fixture->holder),
                     HR_TIME_NEVER);
    assert_in_range(fixture->now_ns, 85 * SECOND, 100 * SECOND);
}

/* Guards against unbounded memory, and against request ids that are too long
 * or empty. */
static void
test_refused_starts(void **state)
{
    Fixture *fixture = create_fixture(state, 1);
    char id[HR_REQUEST_ID_BYTES + 1];

    memset(id, 'x', HR_REQUEST_ID_BYTES);
    id[HR_REQUEST_ID_BYTES] = '\0';
    start_claim(fixture, id, true);
    expect_refusal(fixture, HR_REASON_NO_ROUTE, true);
    start_claim(fixture, "", true);
    expect_refusal(fixture, HR_REASON_NO_ROUTE, true);
    start_claim(fixture, "a", true);
    expect_send(fixture, HR_CLAIM_MESSAGE_REQUEST);
    start_claim(fixture, "b", false);
    expect_refusal(fixture, HR_REASON_OVERLOADED, false);
}

#define TEST(name)                                                            \
    cmocka_unit_test_setup_teardown(name, TestParent_Create, TestParent_Free)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(test_dispatches_once),
        TEST(test_late_grant_is_released),
        TEST(test_expired_grant_is_released),
        TEST(test_no_reply),
        TEST(test_grant_after_refusal_is_released),
        TEST(test_request_is_sent_to_new_owner),
        TEST(test_outcome_is_resent),
        TEST(test_refused_starts),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
