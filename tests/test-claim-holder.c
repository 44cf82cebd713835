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

/* One holder module, driven by hand. */
typedef struct Rig {
    HrClaimHolder *holder;
    int64_t now_ns;
    int64_t wall_ms;
    HrClaimHolderAction action; /* the one taken last */
} Rig;

/* Gives the holder an event. */
static void
handle(Rig *rig, HrClaimHolderEvent event)
{
    event.now_ns = rig->now_ns;
    event.wall_ms = rig->wall_ms;
    HrClaimHolder_Handle(rig->holder, &event);
}

/* Gives the holder a view with one member, which owns every partition. */
static void
set_owner(Rig *rig, uint64_t daemon_id)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_VIEW};
    HrMember member = {.daemon_id = daemon_id};
    HrMemberView view = {.members = &member, .member_count = 1};

    event.u.view = &view;
    handle(rig, event);
}

static Rig *
create_rig(void **state, uint32_t max_entries)
{
    Rig *rig = talloc_zero(*state, Rig);
    HrClaimHolderConfig config;

    HrClaimHolderConfig_Default(&config);
    config.daemon_id = SELF_ID;
    config.incarnation = 3;
    config.max_entries = max_entries;
    rig->holder = HrClaimHolder_Create(rig, &config, HrRng_FromSeed(1));
    rig->now_ns = SECOND;
    rig->wall_ms = WALL_MS;
    set_owner(rig, OWNER_ID);
    return rig;
}

/* Moves time and gives the holder a timer event. */
static void
advance(Rig *rig, int64_t delta_ns)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_TIMER};

    rig->now_ns += delta_ns;
    rig->wall_ms += delta_ns / HR_NS_PER_MS;
    handle(rig, event);
}

/* Starts a claim that expires in 30 s and whose deadline is in 2 s. */
static void
start(Rig *rig, const char *request_id, bool first_copy)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_START};

    event.u.start.token = 99;
    event.u.start.request_id = request_id;
    event.u.start.expires_ms = WALL_MS + 30000;
    event.u.start.deadline_ns = rig->now_ns + 2 * SECOND;
    event.u.start.first_copy = first_copy;
    handle(rig, event);
}

/* Gives the holder a message about sequence 1. */
static void
reply(Rig *rig, HrClaimMessageKind kind, HrClaimVerdict verdict)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_MESSAGE};
    HrClaimMessage message = {.kind = kind, .verdict = verdict};

    message.holder.daemon_id = SELF_ID;
    message.holder.incarnation = 3;
    message.holder.sequence = 1;
    event.u.message = &message;
    handle(rig, event);
}

/* Reports how the request with sequence 1 ended. */
static void
report(Rig *rig, HrClaimState state)
{
    HrClaimHolderEvent event = {.kind = HR_CLAIM_HOLDER_EVENT_OUTCOME};

    event.u.outcome.sequence = 1;
    event.u.outcome.state = state;
    event.u.outcome.result.data = (const uint8_t *)"ok";
    event.u.outcome.result.length_bytes = 2;
    handle(rig, event);
}

/* Takes the next action, which is of a kind. */
static const HrClaimHolderAction *
expect(Rig *rig, HrClaimHolderActionKind kind)
{
    assert_true(HrClaimHolder_Next(rig->holder, &rig->action));
    assert_int_equal(rig->action.kind, kind);
    return &rig->action;
}

static void
expect_none(Rig *rig)
{
    assert_false(HrClaimHolder_Next(rig->holder, &rig->action));
}

/* Takes the next action, which is a message of a kind. */
static const HrClaimMessage *
expect_send(Rig *rig, HrClaimMessageKind kind)
{
    expect(rig, HR_CLAIM_HOLDER_ACTION_SEND);
    assert_int_equal(rig->action.u.send.message.kind, kind);
    return &rig->action.u.send.message;
}

/* Takes the next action, which is a refusal. */
static void
expect_refusal(Rig *rig, HrReason reason, bool not_run)
{
    expect(rig, HR_CLAIM_HOLDER_ACTION_ANSWER);
    assert_int_equal(rig->action.u.answer.token, 99);
    assert_int_equal(rig->action.u.answer.verdict, HR_CLAIM_VERDICT_REFUSED);
    assert_int_equal(rig->action.u.answer.reason, reason);
    assert_int_equal(rig->action.u.answer.not_run, not_run);
}

/* Guards against a second dispatch for a repeated grant. */
static void
test_dispatches_once(void **state)
{
    Rig *rig = create_rig(state, 10);

    start(rig, "a", true);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect(rig, HR_CLAIM_HOLDER_ACTION_DISPATCH);
    assert_int_equal(rig->action.u.dispatch.token, 99);
    expect_none(rig);
    report(rig, HR_CLAIM_DONE);
    assert_int_equal(expect_send(rig, HR_CLAIM_MESSAGE_OUTCOME)->state,
                     HR_CLAIM_DONE);
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_none(rig);
    reply(rig, HR_CLAIM_MESSAGE_OUTCOME_ACK, HR_CLAIM_VERDICT_GRANTED);
    assert_int_equal(HrClaimHolder_Open(rig->holder), 0);
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_none(rig);
}

/* Guards against a dispatch by a process that was paused until after the
 * deadline. */
static void
test_late_grant_is_released(void **state)
{
    Rig *rig = create_rig(state, 10);

    start(rig, "a", false);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    rig->now_ns += 2 * SECOND;
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_refusal(rig, HR_REASON_DEADLINE, true);
    assert_int_equal(expect_send(rig, HR_CLAIM_MESSAGE_OUTCOME)->state,
                     HR_CLAIM_RELEASED);
    expect_none(rig);
}

/* Guards against a dispatch after the expiry. */
static void
test_expired_grant_is_closed(void **state)
{
    Rig *rig = create_rig(state, 10);

    start(rig, "a", false);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    rig->wall_ms += 30000;
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect_refusal(rig, HR_REASON_EXPIRED, true);
    assert_int_equal(expect_send(rig, HR_CLAIM_MESSAGE_OUTCOME)->reason,
                     HR_REASON_EXPIRED);
}

/* Guards against a caller that waits beyond its deadline, and against "not
 * run" without proof when no owner answers. */
static void
test_no_reply(void **state)
{
    Rig *rig = create_rig(state, 10);
    uint32_t asks = 0;

    start(rig, "a", false);
    while (HrClaimHolder_Next(rig->holder, &rig->action) &&
           rig->action.kind == HR_CLAIM_HOLDER_ACTION_SEND) {
        asks++;
        advance(rig, HrClaimHolder_NextTimer(rig->holder) - rig->now_ns);
    }
    assert_int_equal(rig->now_ns, 3 * SECOND);
    assert_in_range(asks, 2, 4);
    assert_int_equal(rig->action.kind, HR_CLAIM_HOLDER_ACTION_ANSWER);
    assert_int_equal(rig->action.u.answer.verdict, HR_CLAIM_VERDICT_UNKNOWN);
    expect_send(rig, HR_CLAIM_MESSAGE_OUTCOME);
    start(rig, "b", true);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    rig->now_ns += 2 * SECOND;
    advance(rig, 0);
    while (HrClaimHolder_Next(rig->holder, &rig->action) &&
           rig->action.kind == HR_CLAIM_HOLDER_ACTION_SEND) {
    }
    assert_int_equal(rig->action.u.answer.verdict, HR_CLAIM_VERDICT_REFUSED);
    assert_true(rig->action.u.answer.not_run);
}

/* Guards against a claim that stays held after its ask was given up: a late
 * grant is released again. */
static void
test_grant_after_refusal_is_released(void **state)
{
    Rig *rig = create_rig(state, 10);

    start(rig, "a", true);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_REFUSED);
    expect(rig, HR_CLAIM_HOLDER_ACTION_ANSWER);
    expect_none(rig);
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    assert_int_equal(expect_send(rig, HR_CLAIM_MESSAGE_OUTCOME)->state,
                     HR_CLAIM_RELEASED);
    reply(rig, HR_CLAIM_MESSAGE_OUTCOME_ACK, HR_CLAIM_VERDICT_GRANTED);
    advance(rig, 60 * SECOND);
    assert_int_equal(HrClaimHolder_NextTimer(rig->holder), HR_TIME_NEVER);
}

/* Guards against asks that wait for a former owner. */
static void
test_new_owner_is_asked(void **state)
{
    Rig *rig = create_rig(state, 10);

    start(rig, "a", true);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    assert_int_equal(rig->action.u.send.daemon_id, OWNER_ID);
    set_owner(rig, 43);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    assert_int_equal(rig->action.u.send.daemon_id, 43);
    set_owner(rig, 43);
    expect_none(rig);
}

/* Guards against an outcome that is lost, and against one that is sent for
 * ever. */
static void
test_outcome_is_repeated(void **state)
{
    Rig *rig = create_rig(state, 10);
    uint32_t sends = 0;

    start(rig, "a", true);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    reply(rig, HR_CLAIM_MESSAGE_REPLY, HR_CLAIM_VERDICT_GRANTED);
    expect(rig, HR_CLAIM_HOLDER_ACTION_DISPATCH);
    report(rig, HR_CLAIM_DONE);
    while (HrClaimHolder_Next(rig->holder, &rig->action)) {
        sends++;
        advance(rig, HrClaimHolder_NextTimer(rig->holder) - rig->now_ns);
    }
    assert_in_range(sends, 8, 20);
    assert_int_equal(HrClaimHolder_NextTimer(rig->holder), HR_TIME_NEVER);
    assert_in_range(rig->now_ns, 85 * SECOND, 100 * SECOND);
}

/* Guards against unbounded memory, and against ids that cannot be stored. */
static void
test_bad_starts(void **state)
{
    Rig *rig = create_rig(state, 1);
    char id[HR_REQUEST_ID_BYTES + 1];

    memset(id, 'x', HR_REQUEST_ID_BYTES);
    id[HR_REQUEST_ID_BYTES] = '\0';
    start(rig, id, true);
    expect_refusal(rig, HR_REASON_NO_ROUTE, true);
    start(rig, "", true);
    expect_refusal(rig, HR_REASON_NO_ROUTE, true);
    start(rig, "a", true);
    expect_send(rig, HR_CLAIM_MESSAGE_ASK);
    start(rig, "b", false);
    expect_refusal(rig, HR_REASON_OVERLOADED, false);
}

#define TEST(name)                                                            \
    cmocka_unit_test_setup_teardown(name, TestParent_Create, TestParent_Free)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(test_dispatches_once),
        TEST(test_late_grant_is_released),
        TEST(test_expired_grant_is_closed),
        TEST(test_no_reply),
        TEST(test_grant_after_refusal_is_released),
        TEST(test_new_owner_is_asked),
        TEST(test_outcome_is_repeated),
        TEST(test_bad_starts),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
