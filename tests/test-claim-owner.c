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
#define MILLI HR_NS_PER_MS

/* One owner module, driven by hand, and the one key that it works on. */
typedef struct Rig {
    HrClaimOwner *owner;
    HrClaimOwnerConfig config;
    int64_t now_ns;
    int64_t wall_ms;
    HrClaimOwnerAction action; /* the one taken last */
} Rig;

static Rig *
create_rig(void **state)
{
    Rig *rig = talloc_zero(*state, Rig);

    HrClaimOwnerConfig_Default(&rig->config);
    rig->owner = HrClaimOwner_Create(rig, &rig->config, HrRng_FromSeed(1));
    rig->now_ns = SECOND;
    rig->wall_ms = WALL_MS;
    return rig;
}

/* Gives the owner an event. */
static void
handle(Rig *rig, HrClaimOwnerEvent event)
{
    event.now_ns = rig->now_ns;
    event.wall_ms = rig->wall_ms;
    HrClaimOwner_Handle(rig->owner, &event);
}

/* Moves time and gives the owner a timer event. */
static void
advance(Rig *rig, int64_t delta_ns)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_TIMER};

    rig->now_ns += delta_ns;
    rig->wall_ms += delta_ns / MILLI;
    handle(rig, event);
}

/* Returns a message of a holder about the id "a". */
static HrClaimMessage
make_message(const Rig *rig, HrClaimMessageKind kind, uint64_t sequence)
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
send(Rig *rig, HrClaimMessage message)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_MESSAGE};

    event.u.message = &message;
    handle(rig, event);
}

/* Sends an ask of a holder for the id "a". */
static void
ask(Rig *rig, uint64_t sequence)
{
    send(rig, make_message(rig, HR_CLAIM_MESSAGE_ASK, sequence));
}

/* Sends the outcome of a holder for the id "a". */
static void
tell(Rig *rig, uint64_t sequence, HrClaimState state)
{
    HrClaimMessage message =
        make_message(rig, HR_CLAIM_MESSAGE_OUTCOME, sequence);

    message.state = state;
    message.result_bytes = 2;
    memcpy(message.result, "ok", 2);
    send(rig, message);
}

/* Takes the next action, which is of a kind. */
static const HrClaimOwnerAction *
expect(Rig *rig, HrClaimOwnerActionKind kind)
{
    assert_true(HrClaimOwner_Next(rig->owner, &rig->action));
    assert_int_equal(rig->action.kind, kind);
    return &rig->action;
}

static void
expect_none(Rig *rig)
{
    assert_false(HrClaimOwner_Next(rig->owner, &rig->action));
}

/* Takes the next action, which is a reply with a verdict. */
static const HrClaimMessage *
expect_reply(Rig *rig, uint64_t sequence, HrClaimVerdict verdict)
{
    const HrClaimMessage *reply =
        &expect(rig, HR_CLAIM_OWNER_ACTION_SEND)->u.send.message;

    assert_int_equal(reply->kind, HR_CLAIM_MESSAGE_REPLY);
    assert_int_equal(reply->holder.sequence, sequence);
    assert_int_equal(reply->verdict, verdict);
    return reply;
}

/* Ends the store call that was taken last. */
static void
finish(Rig *rig, HrClaimStoreResult result, uint64_t revision,
       const HrClaimValue *value)
{
    HrClaimOwnerEvent event = {.kind = HR_CLAIM_OWNER_EVENT_STORE};

    event.u.store.partition = rig->action.u.store.partition;
    event.u.store.call = rig->action.u.store.call;
    event.u.store.result = result;
    event.u.store.revision = revision;
    event.u.store.value = value;
    handle(rig, event);
}

/* Returns a value with one record for the id "a". */
static HrClaimValue *
make_value(Rig *rig, uint64_t sequence, HrClaimState state)
{
    HrClaimValue *value = HrClaimValue_Create(rig);
    HrClaimRecord *record = talloc_zero(value, HrClaimRecord);

    snprintf(record->request_id, sizeof(record->request_id), "a");
    record->holder.daemon_id = 7;
    record->holder.sequence = sequence;
    record->expires_ms = WALL_MS + 30000;
    record->state = state;
    assert_int_equal(HrClaimValue_Put(value, record), HR_OK);
    return value;
}

/* Grants the id "a" to a holder, from an empty store. */
static void
grant(Rig *rig, uint64_t sequence)
{
    ask(rig, sequence);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_ABSENT, 0, NULL);
    assert_int_equal(
        expect(rig, HR_CLAIM_OWNER_ACTION_PUT)->u.store.cas_revision, 0);
    finish(rig, HR_CLAIM_STORE_WRITTEN, 1, NULL);
    expect_reply(rig, sequence, HR_CLAIM_VERDICT_GRANTED);
    expect_none(rig);
}

/* Guards against a grant before the claim is in the store. */
static void
test_grant_follows_commit(void **state)
{
    Rig *rig = create_rig(state);

    ask(rig, 1);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    expect_none(rig);
    finish(rig, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    assert_string_equal(rig->action.u.store.key, "hickory/claims/62");
    expect_none(rig);
    advance(rig, SECOND);
    expect_none(rig);
    finish(rig, HR_CLAIM_STORE_WRITTEN, 1, NULL);
    expect_reply(rig, 1, HR_CLAIM_VERDICT_GRANTED);
}

/* Guards against a second grant for another copy, and against a copy that
 * does not get the outcome. */
static void
test_copy_waits_for_outcome(void **state)
{
    Rig *rig = create_rig(state);
    const HrClaimMessage *reply;

    grant(rig, 1);
    ask(rig, 2);
    expect_none(rig);
    advance(rig, 300 * MILLI);
    tell(rig, 1, HR_CLAIM_DONE);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    finish(rig, HR_CLAIM_STORE_WRITTEN, 2, NULL);
    reply = expect_reply(rig, 2, HR_CLAIM_VERDICT_RECORDED);
    assert_int_equal(reply->state, HR_CLAIM_DONE);
    assert_memory_equal(reply->result, "ok", 2);
    expect(rig, HR_CLAIM_OWNER_ACTION_SEND);
    assert_int_equal(rig->action.u.send.message.kind,
                     HR_CLAIM_MESSAGE_OUTCOME_ACK);
    expect_none(rig);
}

/* Guards against an outcome that a later message changes. */
static void
test_first_outcome_stays(void **state)
{
    Rig *rig = create_rig(state);

    grant(rig, 1);
    advance(rig, 300 * MILLI);
    tell(rig, 1, HR_CLAIM_UNKNOWN);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    finish(rig, HR_CLAIM_STORE_WRITTEN, 2, NULL);
    expect(rig, HR_CLAIM_OWNER_ACTION_SEND);
    tell(rig, 1, HR_CLAIM_DONE);
    expect(rig, HR_CLAIM_OWNER_ACTION_SEND);
    tell(rig, 1, HR_CLAIM_RELEASED);
    expect(rig, HR_CLAIM_OWNER_ACTION_SEND);
    expect_none(rig);
    ask(rig, 2);
    assert_int_equal(expect_reply(rig, 2, HR_CLAIM_VERDICT_RECORDED)->state,
                     HR_CLAIM_UNKNOWN);
}

/* Guards against a released id that stays blocked. */
static void
test_release_lets_copy_run(void **state)
{
    Rig *rig = create_rig(state);

    grant(rig, 1);
    ask(rig, 2);
    advance(rig, 300 * MILLI);
    tell(rig, 1, HR_CLAIM_RELEASED);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    assert_int_equal(rig->action.u.store.value->record_count, 0);
    finish(rig, HR_CLAIM_STORE_WRITTEN, 2, NULL);
    expect(rig, HR_CLAIM_OWNER_ACTION_SEND); /* the confirmation */
    expect_none(rig);
    advance(rig, 200 * MILLI);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    finish(rig, HR_CLAIM_STORE_WRITTEN, 3, NULL);
    expect_reply(rig, 2, HR_CLAIM_VERDICT_GRANTED);
}

/* Guards against more than one write in 200 ms for a partition, and against
 * claims that wait without need. */
static void
test_group_commit(void **state)
{
    Rig *rig = create_rig(state);
    HrClaimMessage message;
    uint32_t i, sent = 0;

    grant(rig, 1);
    for (i = 0; sent < 5; i++) {
        message = make_message(rig, HR_CLAIM_MESSAGE_ASK, 10 + i);
        snprintf(message.request_id, sizeof(message.request_id), "id%u", i);
        if (HrOwner_ClaimPartition(message.request_id) ==
            HrOwner_ClaimPartition("a")) {
            send(rig, message);
            sent++;
        }
    }
    expect_none(rig);
    assert_int_equal(HrClaimOwner_NextTimer(rig->owner) - rig->now_ns,
                     200 * MILLI);
    advance(rig, 200 * MILLI);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    assert_int_equal(rig->action.u.store.value->record_count, 6);
    finish(rig, HR_CLAIM_STORE_WRITTEN, 2, NULL);
    for (i = 0; i < 5; i++) {
        expect(rig, HR_CLAIM_OWNER_ACTION_SEND);
    }
    assert_int_equal(HrClaimOwner_Pending(rig->owner), 0);
}

/* Guards against a refusal or a second run after a write whose reply is lost:
 * the record shows whose claim it is. */
static void
test_lost_reply_is_read_back(void **state)
{
    Rig *rig = create_rig(state);

    ask(rig, 1);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    finish(rig, HR_CLAIM_STORE_UNKNOWN, 0, NULL);
    ask(rig, 2);
    expect_none(rig);
    advance(rig, SECOND);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_FAILED, 0, NULL);
    /* Only the ask that may be written waits on. */
    expect_reply(rig, 2, HR_CLAIM_VERDICT_REFUSED);
    expect_none(rig);
    advance(rig, SECOND);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_FOUND, 1, make_value(rig, 1, HR_CLAIM_HELD));
    expect_reply(rig, 1, HR_CLAIM_VERDICT_GRANTED);
}

/* Guards against a grant by an owner that was paused while another one
 * claimed the id. */
static void
test_mismatch_reads_again(void **state)
{
    Rig *rig = create_rig(state);

    ask(rig, 1);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    finish(rig, HR_CLAIM_STORE_MISMATCH, 0, NULL);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_FOUND, 1, make_value(rig, 9, HR_CLAIM_HELD));
    expect_none(rig);
    /* While it waits it reads again, since another owner may record it. */
    advance(rig, 1100 * MILLI);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_FOUND, 2, make_value(rig, 9, HR_CLAIM_DONE));
    expect_reply(rig, 1, HR_CLAIM_VERDICT_RECORDED);
}

/* Guards against claims without the store, and against "not run" without
 * proof. */
static void
test_store_outage(void **state)
{
    Rig *rig = create_rig(state);
    HrClaimMessage first = make_message(rig, HR_CLAIM_MESSAGE_ASK, 1);
    const HrClaimMessage *reply;

    first.first_copy = true;
    send(rig, first);
    ask(rig, 2);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_FAILED, 0, NULL);
    reply = expect_reply(rig, 1, HR_CLAIM_VERDICT_REFUSED);
    assert_int_equal(reply->reason, HR_REASON_STORE_UNAVAILABLE);
    assert_true(reply->not_run);
    assert_false(expect_reply(rig, 2, HR_CLAIM_VERDICT_REFUSED)->not_run);
    assert_int_equal(HrClaimOwner_Pending(rig->owner), 0);
}

/* Guards against overwriting a value that cannot be read: it may hold claims
 * of requests that ran. */
static void
test_malformed_value(void **state)
{
    Rig *rig = create_rig(state);

    ask(rig, 1);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_FOUND, 4, NULL);
    assert_false(expect_reply(rig, 1, HR_CLAIM_VERDICT_REFUSED)->not_run);
    expect_none(rig);
}

/* Guards against a run after the expiry, and against "not run" while another
 * owner could still grant the id. */
static void
test_expired_id_is_closed(void **state)
{
    Rig *rig = create_rig(state);
    const HrClaimMessage *reply;

    rig->wall_ms = WALL_MS + 30000;
    ask(rig, 1);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    expect_none(rig);
    finish(rig, HR_CLAIM_STORE_WRITTEN, 1, NULL);
    reply = expect_reply(rig, 1, HR_CLAIM_VERDICT_REFUSED);
    assert_int_equal(reply->reason, HR_REASON_EXPIRED);
    assert_true(reply->not_run);
    rig->wall_ms = WALL_MS;
    ask(rig, 2);
    assert_true(expect_reply(rig, 2, HR_CLAIM_VERDICT_REFUSED)->not_run);
}

/* Guards against a second run of an id whose record was dropped, also when
 * the wall clock goes back. */
static void
test_watermark(void **state)
{
    Rig *rig = create_rig(state);
    HrClaimValue *value = make_value(rig, 9, HR_CLAIM_DONE);
    const HrClaimMessage *reply;

    assert_int_equal(
        HrClaimValue_DropExpired(value, WALL_MS + 30000 + HR_CLAIM_KEEP_MS),
        1);
    ask(rig, 1);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_FOUND, 5, value);
    reply = expect_reply(rig, 1, HR_CLAIM_VERDICT_REFUSED);
    assert_int_equal(reply->reason, HR_REASON_EXPIRED);
    assert_false(reply->not_run);
}

/* Guards against records that are held for longer than the page says: expiries
 * far ahead would fill the partition. */
static void
test_expiry_far_ahead(void **state)
{
    Rig *rig = create_rig(state);
    HrClaimMessage message = make_message(rig, HR_CLAIM_MESSAGE_ASK, 1);

    message.expires_ms = WALL_MS + HR_CLAIM_MAX_AHEAD_MS + 1;
    send(rig, message);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_ABSENT, 0, NULL);
    expect_reply(rig, 1, HR_CLAIM_VERDICT_REFUSED);
    expect_none(rig);
}

/* Fills a value with records up to its limit. */
static HrClaimValue *
make_full_value(Rig *rig)
{
    HrClaimValue *value = make_value(rig, 9, HR_CLAIM_HELD);
    uint64_t bytes = HrClaimValue_SizeBound(value);
    uint32_t i;

    for (i = 0; bytes + 80 < HR_CLAIM_VALUE_BYTES; i++) {
        HrClaimRecord *record = talloc_zero(value, HrClaimRecord);

        snprintf(record->request_id, sizeof(record->request_id), "full-%06u",
                 i);
        record->holder.daemon_id = 7;
        record->expires_ms = WALL_MS + 30000;
        assert_int_equal(HrClaimValue_Put(value, record), HR_OK);
        bytes += HrClaimRecord_SizeBound(record);
    }
    return value;
}

/* Guards against a value above 1 MB, which the store refuses, and against an
 * outcome that is lost because its result does not fit. */
static void
test_full_partition(void **state)
{
    Rig *rig = create_rig(state);
    HrClaimMessage message = make_message(rig, HR_CLAIM_MESSAGE_ASK, 1);
    uint32_t i = 0;

    do {
        snprintf(message.request_id, sizeof(message.request_id),
                 "a-long-request-id-that-does-not-fit-any-more-%u", i++);
    } while (HrOwner_ClaimPartition(message.request_id) !=
             HrOwner_ClaimPartition("a"));
    send(rig, message);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    finish(rig, HR_CLAIM_STORE_FOUND, 5, make_full_value(rig));
    assert_int_equal(expect_reply(rig, 1, HR_CLAIM_VERDICT_REFUSED)->reason,
                     HR_REASON_OVERLOADED);
    expect_none(rig);
    message = make_message(rig, HR_CLAIM_MESSAGE_OUTCOME, 9);
    message.state = HR_CLAIM_DONE;
    message.result_bytes = HR_CLAIM_RESULT_BYTES;
    send(rig, message);
    expect(rig, HR_CLAIM_OWNER_ACTION_PUT);
    assert_true(HrClaimValue_SizeBound(rig->action.u.store.value) <=
                HR_CLAIM_VALUE_BYTES);
    assert_int_equal(HrClaimValue_Find(rig->action.u.store.value, "a")->state,
                     HR_CLAIM_DONE);
}

/* Guards against unbounded memory when asks come faster than the store. */
static void
test_pending_limit(void **state)
{
    Rig *rig = create_rig(state);
    uint32_t i;

    rig->config.max_pending = 10;
    rig->owner = HrClaimOwner_Create(rig, &rig->config, HrRng_FromSeed(1));
    for (i = 0; i < 10; i++) {
        ask(rig, i + 1);
    }
    ask(rig, 5); /* a repeated ask is no new one */
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
    expect_none(rig);
    ask(rig, 11);
    assert_int_equal(expect_reply(rig, 11, HR_CLAIM_VERDICT_REFUSED)->reason,
                     HR_REASON_OVERLOADED);
    assert_int_equal(HrClaimOwner_Pending(rig->owner), 10);
}

/* Guards against asks that stay for ever after their holder has given up, and
 * against partitions that stay in memory unused. */
static void
test_deadlines_and_idle(void **state)
{
    Rig *rig = create_rig(state);

    grant(rig, 1);
    ask(rig, 2);
    assert_int_equal(HrClaimOwner_Pending(rig->owner), 1);
    while (HrClaimOwner_Pending(rig->owner) > 0) {
        advance(rig, HrClaimOwner_NextTimer(rig->owner) - rig->now_ns);
        if (HrClaimOwner_Next(rig->owner, &rig->action)) {
            finish(rig, HR_CLAIM_STORE_FOUND, 1,
                   make_value(rig, 1, HR_CLAIM_HELD));
        }
    }
    assert_true(rig->now_ns <= 7 * SECOND);
    advance(rig, 61 * SECOND);
    assert_int_equal(HrClaimOwner_NextTimer(rig->owner), HR_TIME_NEVER);
    ask(rig, 3);
    expect(rig, HR_CLAIM_OWNER_ACTION_GET);
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
        TEST(test_lost_reply_is_read_back),
        TEST(test_mismatch_reads_again),
        TEST(test_store_outage),
        TEST(test_malformed_value),
        TEST(test_expired_id_is_closed),
        TEST(test_watermark),
        TEST(test_expiry_far_ahead),
        TEST(test_full_partition),
        TEST(test_pending_limit),
        TEST(test_deadlines_and_idle),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
