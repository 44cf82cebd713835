#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "common-parent.h"
#include "coord-member.h"

#define SECOND HR_NS_PER_S
#define MILLISECOND HR_NS_PER_MS
#define SELF_ID 100

/* A membership module with its counters and a clock that the test sets. */
typedef struct Fixture {
    HrMembership *module;
    HrCounters counters;
    int64_t now_ns;
    HrMemberAction action; /* the one popped last */
} Fixture;

/* Passes an event to the module at the current time. */
static void
handle_event(Fixture *fixture, HrMemberEvent event)
{
    event.now_ns = fixture->now_ns;
    HrMembership_HandleEvent(fixture->module, &event);
}

/* Advances the clock to the next timer and passes a timer event to the
 * module. */
static void
advance_to_next_timer(Fixture *fixture)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_TIMER};

    fixture->now_ns = HrMembership_GetNextTimer(fixture->module);
    handle_event(fixture, event);
}

/* Returns the record of a member, with an address made from its id. */
static HrMember
make_member(uint64_t id, HrMemberState state, uint64_t incarnation)
{
    HrMember member = {.daemon_id = id, .state = state};

    member.incarnation = incarnation;
    snprintf(member.peer_address, HR_ADDRESS_BYTES, "10.0.0.%u:7000",
             (unsigned)id);
    return member;
}

/* Passes a message from a member to the module; update may be NULL. */
static void
receive_message(Fixture *fixture, HrMemberMessageKind kind, HrMember sender,
                const HrMember *update)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage message = {.kind = kind, .sender = sender};

    message.sequence = 1234;
    message.updates = update;
    message.update_count = update != NULL;
    event.u.message = &message;
    handle_event(fixture, event);
}

/* Passes an ACK of the probe that was popped last to the module. subject_id is
 * the daemon that answered the probe. */
static void
answer_probe(Fixture *fixture, HrMember sender, uint64_t subject_id)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_ACK};

    message.sender = sender;
    message.sequence = fixture->action.u.send.message.sequence;
    message.subject_id = subject_id;
    event.u.message = &message;
    handle_event(fixture, event);
}

/* Pops all pending actions. */
static void
discard_actions(Fixture *fixture)
{
    while (HrMembership_PopAction(fixture->module, &fixture->action)) {
    }
}

/* Pops actions until a message of a kind is found; returns false if there is
 * none. */
static bool
pop_message(Fixture *fixture, HrMemberMessageKind kind)
{
    while (HrMembership_PopAction(fixture->module, &fixture->action)) {
        if (fixture->action.kind == HR_MEMBER_ACTION_SEND &&
            fixture->action.u.send.message.kind == kind) {
            return true;
        }
    }
    return false;
}

/* Pops actions until one of a kind is found; returns false if there is
 * none. */
static bool
pop_action(Fixture *fixture, HrMemberActionKind kind)
{
    while (HrMembership_PopAction(fixture->module, &fixture->action)) {
        if (fixture->action.kind == kind) {
            return true;
        }
    }
    return false;
}

/* Returns the record of a daemon in the view; one with state DEAD if the view
 * has none. */
static HrMember
find_member(Fixture *fixture, uint64_t id)
{
    HrMemberView *view = HrMembership_CopyView(fixture->module, fixture);
    HrMember found = {.state = HR_MEMBER_DEAD};
    uint32_t i;

    for (i = 0; i < view->member_count; i++) {
        if (view->members[i].daemon_id == id) {
            found = view->members[i];
        }
    }
    talloc_free(view);
    return found;
}

/* Creates a module that has had members 1 to 4 in its view for two minutes,
 * longer than the lag of the VM list. */
static Fixture *
create_fixture(void **state)
{
    Fixture *fixture = talloc_zero(*state, Fixture);
    HrMemberConfig config;
    uint64_t id;

    HrMemberConfig_GetDefaults(&config);
    config.self = make_member(SELF_ID, HR_MEMBER_ALIVE, 1);
    config.counters = &fixture->counters;
    fixture->module = HrMembership_Create(fixture, &config, HrRng_FromSeed(5));
    for (id = 1; id <= 4; id++) {
        receive_message(fixture, HR_MEMBER_MESSAGE_LIST,
                        make_member(id, HR_MEMBER_ALIVE, 1), NULL);
    }
    while (fixture->now_ns < 120 * SECOND) {
        advance_to_next_timer(fixture);
        while (pop_message(fixture, HR_MEMBER_MESSAGE_PROBE)) {
            uint64_t target_id = fixture->action.u.send.daemon_id;

            answer_probe(fixture, make_member(target_id, HR_MEMBER_ALIVE, 1),
                         target_id);
        }
    }
    return fixture;
}

/* Advances the clock until the next probe is sent; returns its target. */
static uint64_t
advance_to_next_probe(Fixture *fixture)
{
    do {
        advance_to_next_timer(fixture);
    } while (!pop_message(fixture, HR_MEMBER_MESSAGE_PROBE));
    return fixture->action.u.send.daemon_id;
}

/* Passes a VM list of this daemon (bit 0) and members 1 to 4 (bits 1 to 4) to
 * the module. Bits in leaving mark a VM as leaving; VMs with bits in missing
 * are not listed. */
static void
receive_vm_list(Fixture *fixture, uint32_t leaving, uint32_t missing)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_VM_LIST};
    HrListedVm vms[5];
    uint32_t i, count = 0;

    for (i = 0; i < 5; i++) {
        HrMember member =
            make_member(i == 0 ? SELF_ID : i, HR_MEMBER_ALIVE, 1);

        if (((missing >> i) & 1) != 0) {
            continue;
        }
        memcpy(vms[count].peer_address, member.peer_address, HR_ADDRESS_BYTES);
        vms[count++].leaving = ((leaving >> i) & 1) != 0;
    }
    event.u.vm_list.vms = vms;
    event.u.vm_list.vm_count = count;
    handle_event(fixture, event);
}

/* Guards against a wrong suspicion because a pooled connection has stopped
 * responding: the second probe must use a new connection, and three other
 * members must be requested to probe the target. */
static void
test_unresponsive_connection(void **state)
{
    Fixture *fixture = create_fixture(state);
    uint64_t target_id = advance_to_next_probe(fixture);
    uint32_t requests = 0;
    HrMemberAction probe;

    assert_false(fixture->action.u.send.new_connection);
    discard_actions(fixture);
    advance_to_next_timer(fixture);
    assert_true(pop_message(fixture, HR_MEMBER_MESSAGE_PROBE));
    assert_int_equal(fixture->action.u.send.daemon_id, target_id);
    assert_true(fixture->action.u.send.new_connection);
    probe = fixture->action;
    while (pop_message(fixture, HR_MEMBER_MESSAGE_PROBE_REQUEST)) {
        assert_int_equal(fixture->action.u.send.message.target_id, target_id);
        assert_int_not_equal(fixture->action.u.send.daemon_id, target_id);
        requests++;
    }
    assert_int_equal(requests, 3);
    fixture->action = probe;
    answer_probe(fixture, make_member(target_id, HR_MEMBER_ALIVE, 1),
                 target_id);
    advance_to_next_timer(fixture);
    assert_int_equal(find_member(fixture, target_id).state, HR_MEMBER_ALIVE);
}

/* Guards against a wrong suspicion when only the network path from this daemon
 * to the target is broken: the answer to an indirect probe must be
 * accepted. */
static void
test_indirect_answer(void **state)
{
    Fixture *fixture = create_fixture(state);
    uint64_t target_id = advance_to_next_probe(fixture);
    uint64_t relay_id = target_id % 4 + 1;

    discard_actions(fixture);
    advance_to_next_timer(fixture);
    assert_true(pop_message(fixture, HR_MEMBER_MESSAGE_PROBE_REQUEST));
    answer_probe(fixture, make_member(relay_id, HR_MEMBER_ALIVE, 1),
                 target_id);
    advance_to_next_timer(fixture);
    assert_int_equal(find_member(fixture, target_id).state, HR_MEMBER_ALIVE);
}

/* Guards against a daemon that probes a target for another daemon and does not
 * forward the answer. */
static void
test_relayed_probe(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage request = {.kind = HR_MEMBER_MESSAGE_PROBE_REQUEST};

    discard_actions(fixture);
    request.sender = make_member(1, HR_MEMBER_ALIVE, 1);
    request.sequence = 77;
    request.target_id = 2;
    memcpy(request.target_address,
           make_member(2, HR_MEMBER_ALIVE, 1).peer_address, HR_ADDRESS_BYTES);
    event.u.message = &request;
    handle_event(fixture, event);
    assert_true(pop_message(fixture, HR_MEMBER_MESSAGE_PROBE));
    assert_int_equal(fixture->action.u.send.daemon_id, 2);
    answer_probe(fixture, make_member(2, HR_MEMBER_ALIVE, 1), 2);
    assert_true(pop_message(fixture, HR_MEMBER_MESSAGE_ACK));
    assert_int_equal(fixture->action.u.send.daemon_id, 1);
    assert_int_equal(fixture->action.u.send.message.sequence, 77);
    assert_int_equal(fixture->action.u.send.message.subject_id, 2);
}

/* Guards against dead members that remain in the view, and against members
 * that are declared dead before the suspicion timeout, in which they can
 * refute the suspicion. */
static void
test_suspect_then_dead(void **state)
{
    Fixture *fixture = create_fixture(state);
    uint64_t target_id = advance_to_next_probe(fixture);
    int64_t suspected_ns;

    advance_to_next_timer(fixture);
    advance_to_next_timer(fixture);
    assert_int_equal(find_member(fixture, target_id).state, HR_MEMBER_SUSPECT);
    suspected_ns = fixture->now_ns;
    discard_actions(fixture);
    while (find_member(fixture, target_id).state != HR_MEMBER_DEAD) {
        advance_to_next_timer(fixture);
    }
    assert_int_equal(fixture->now_ns - suspected_ns, 3 * SECOND);
    assert_true(pop_action(fixture, HR_MEMBER_ACTION_MEMBER_DEAD));
    assert_int_equal(fixture->action.u.dead_id, target_id);
}

/* Guards against a suspect that cannot refute its suspicion because it is not
 * sent to it, and against a refutation that is ignored. */
static void
test_refutation(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMember suspect = make_member(2, HR_MEMBER_SUSPECT, 1);

    discard_actions(fixture);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(1, HR_MEMBER_ALIVE, 1), &suspect);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_SUSPECT);
    discard_actions(fixture);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(2, HR_MEMBER_ALIVE, 1), NULL);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_SUSPECT);
    assert_true(pop_message(fixture, HR_MEMBER_MESSAGE_ACK));
    assert_int_equal(fixture->action.u.send.message.updates[0].daemon_id, 2);
    assert_int_equal(fixture->action.u.send.message.updates[0].state,
                     HR_MEMBER_SUSPECT);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(2, HR_MEMBER_ALIVE, 2), NULL);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_ALIVE);
}

/* Guards against a live daemon that remains removed from the views of others
 * because it does not refute a record of itself as suspect or dead. A record
 * with an older incarnation needs no refutation. */
static void
test_refutes_record_of_itself(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMember dead = make_member(SELF_ID, HR_MEMBER_DEAD, 6);

    discard_actions(fixture);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(1, HR_MEMBER_ALIVE, 1), &dead);
    assert_int_equal(find_member(fixture, SELF_ID).incarnation, 7);
    assert_true(pop_message(fixture, HR_MEMBER_MESSAGE_PROBE));
    assert_int_equal(fixture->action.u.send.message.sender.incarnation, 7);
    dead.incarnation = 3;
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(1, HR_MEMBER_ALIVE, 1), &dead);
    assert_int_equal(find_member(fixture, SELF_ID).incarnation, 7);
}

/* Guards against a dead member that becomes alive again by an older update
 * with the same incarnation, received late. */
static void
test_dead_member_stays_dead(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMember dead = make_member(3, HR_MEMBER_DEAD, 1);
    HrMember alive = make_member(3, HR_MEMBER_ALIVE, 1);

    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(1, HR_MEMBER_ALIVE, 1), &dead);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(1, HR_MEMBER_ALIVE, 1), &alive);
    assert_int_equal(find_member(fixture, 3).state, HR_MEMBER_DEAD);
    alive.incarnation = 2;
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(1, HR_MEMBER_ALIVE, 1), &alive);
    assert_int_equal(find_member(fixture, 3).state, HR_MEMBER_ALIVE);
}

/* Guards against members that are suspected or declared dead because this
 * process was paused and has not yet read their answers. */
static void
test_pause_of_own_process(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_TIMER};
    HrMember suspect = make_member(2, HR_MEMBER_SUSPECT, 1);
    uint64_t target_id = advance_to_next_probe(fixture);
    uint64_t id;

    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(1, HR_MEMBER_ALIVE, 1), &suspect);
    fixture->now_ns += 20 * SECOND;
    handle_event(fixture, event);
    assert_int_equal(
        HrCounters_GetValue(&fixture->counters, HR_COUNTER_member_pauses), 1);
    for (id = 1; id <= 4; id++) {
        assert_int_equal(find_member(fixture, id).state,
                         id == 2 ? HR_MEMBER_SUSPECT : HR_MEMBER_ALIVE);
    }
    assert_int_not_equal(target_id, 0);
}

/* Guards against a former daemon that remains a member although another daemon
 * sends messages from its address. */
static void
test_reused_address(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMember successor = make_member(2, HR_MEMBER_ALIVE, 1);

    successor.daemon_id = 22;
    discard_actions(fixture);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE, successor, NULL);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_DEAD);
    assert_int_equal(find_member(fixture, 22).state, HR_MEMBER_ALIVE);
}

/* Guards against declaring the wrong one of two daemons with the same address
 * dead: a record of one from a third daemon must only cause a suspicion of the
 * other. */
static void
test_reused_address_by_third_party(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMember other = make_member(2, HR_MEMBER_ALIVE, 1);

    other.daemon_id = 22;
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(1, HR_MEMBER_ALIVE, 1), &other);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_SUSPECT);
    assert_int_equal(find_member(fixture, 22).state, HR_MEMBER_ALIVE);
}

/* Guards against accepting the answer of a successor, a daemon that now uses
 * the target's address, as an answer of the target. */
static void
test_answer_by_successor(void **state)
{
    Fixture *fixture = create_fixture(state);
    uint64_t target_id = advance_to_next_probe(fixture);
    HrMember successor = make_member(target_id, HR_MEMBER_ALIVE, 1);

    successor.daemon_id = 22;
    answer_probe(fixture, successor, 22);
    assert_int_equal(find_member(fixture, target_id).state, HR_MEMBER_DEAD);
    assert_int_equal(find_member(fixture, 22).state, HR_MEMBER_ALIVE);
}

/* Guards against a leaving mark in the platform's VM list that is not applied
 * at once, to a member or to this daemon, or is applied twice. */
static void
test_listed_as_leaving(void **state)
{
    Fixture *fixture = create_fixture(state);

    receive_vm_list(fixture, 1U << 3, 0);
    assert_int_equal(find_member(fixture, 3).state, HR_MEMBER_LEAVING);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_ALIVE);
    discard_actions(fixture);
    receive_vm_list(fixture, 1U, 0);
    assert_true(pop_action(fixture, HR_MEMBER_ACTION_LEAVING));
    assert_int_equal(find_member(fixture, SELF_ID).state, HR_MEMBER_LEAVING);
    receive_vm_list(fixture, 1U, 0);
    assert_false(pop_action(fixture, HR_MEMBER_ACTION_LEAVING));
}

/* Guards against a new daemon that is drained because the VM list lags and
 * still lists the former daemon at its address as leaving. */
static void
test_stale_leaving_mark(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMember successor = make_member(3, HR_MEMBER_ALIVE, 1);

    successor.daemon_id = 33;
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE, successor, NULL);
    receive_vm_list(fixture, 1U << 3, 0);
    assert_int_equal(find_member(fixture, 33).state, HR_MEMBER_ALIVE);
}

/* Guards against suspecting a member that no VM list has had yet, since the
 * list lags, suspecting a member again after its refutation, and suspecting
 * all members because of an empty list. */
static void
test_missing_from_list(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMemberEvent empty = {.kind = HR_MEMBER_EVENT_VM_LIST};

    receive_vm_list(fixture, 0, 1U << 4);
    assert_int_equal(find_member(fixture, 4).state, HR_MEMBER_ALIVE);
    receive_vm_list(fixture, 0, 0);
    handle_event(fixture, empty);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_ALIVE);
    receive_vm_list(fixture, 0, 1U << 2);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_SUSPECT);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE,
                    make_member(2, HR_MEMBER_ALIVE, 2), NULL);
    receive_vm_list(fixture, 0, 1U << 2);
    assert_int_equal(find_member(fixture, 2).state, HR_MEMBER_ALIVE);
}

/* Guards against a leaving member that is only suspected when it no longer
 * answers probes, which delays the takeover of its work. */
static void
test_leaving_member_stops(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMember leaving;
    uint64_t target_id = advance_to_next_probe(fixture);

    leaving = make_member(target_id, HR_MEMBER_LEAVING, 2);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE, leaving, NULL);
    assert_int_equal(find_member(fixture, target_id).state, HR_MEMBER_LEAVING);
    advance_to_next_timer(fixture);
    advance_to_next_timer(fixture);
    assert_int_equal(find_member(fixture, target_id).state, HR_MEMBER_DEAD);
}

/* Guards against accepting malformed records: an incarnation so large that the
 * daemon could not refute the record, no id, or no address. */
static void
test_malformed_records(void **state)
{
    Fixture *fixture = create_fixture(state);
    HrMember malformed = make_member(50, HR_MEMBER_ALIVE, UINT64_MAX);
    HrMember sender = make_member(1, HR_MEMBER_ALIVE, 1);

    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE, sender, &malformed);
    malformed = make_member(0, HR_MEMBER_ALIVE, 1);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE, sender, &malformed);
    malformed = make_member(50, HR_MEMBER_ALIVE, 1);
    malformed.peer_address[0] = '\0';
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE, sender, &malformed);
    receive_message(fixture, HR_MEMBER_MESSAGE_PROBE, malformed, NULL);
    assert_int_equal(find_member(fixture, 50).state, HR_MEMBER_DEAD);
    assert_int_equal(
        HrCounters_GetValue(&fixture->counters, HR_COUNTER_members_refused),
        3);
}

/* Sends a request for the full list; returns the number of pages that the
 * module sends. */
static uint32_t
request_list_pages(Fixture *fixture)
{
    uint32_t pages = 0;

    discard_actions(fixture);
    receive_message(fixture, HR_MEMBER_MESSAGE_LIST_REQUEST,
                    make_member(1, HR_MEMBER_ALIVE, 1), NULL);
    while (pop_message(fixture, HR_MEMBER_MESSAGE_LIST)) {
        pages++;
    }
    return pages;
}

/* Guards against a daemon that sends its full list too often when all members
 * request it after a partition. */
static void
test_list_rate_limit(void **state)
{
    Fixture *fixture = create_fixture(state);

    assert_int_equal(request_list_pages(fixture), 1);
    assert_int_equal(request_list_pages(fixture), 0);
    fixture->now_ns += 4 * MILLISECOND;
    assert_int_equal(request_list_pages(fixture), 1);
}

/* Passes a probe of a daemon whose view has member_count members to the
 * module. Returns true if the module then requests that daemon's full list. */
static bool
is_list_requested(Fixture *fixture, uint64_t id, uint32_t member_count)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_PROBE};

    discard_actions(fixture);
    message.sender = make_member(id, HR_MEMBER_ALIVE, 1);
    message.member_count = member_count;
    event.u.message = &message;
    handle_event(fixture, event);
    return pop_message(fixture, HR_MEMBER_MESSAGE_LIST_REQUEST);
}

/* Guards against parts of a cluster that never join because no full list is
 * requested, and against too many requests while the digests differ because
 * updates are still spreading. */
static void
test_list_requests(void **state)
{
    Fixture *fixture = create_fixture(state);

    /* Longer than the interval of 10.2 s plus its random part of up to a
     * quarter. */
    fixture->now_ns += 20 * SECOND;
    assert_true(is_list_requested(fixture, 1, 5));
    assert_false(is_list_requested(fixture, 2, 9));
    fixture->now_ns += 2 * SECOND;
    assert_false(is_list_requested(fixture, 1, 5));
    assert_true(is_list_requested(fixture, 2, 9));
    fixture->now_ns += 2 * SECOND;
    assert_true(is_list_requested(fixture, 77, 1));
}

#define TEST(name)                                                            \
    cmocka_unit_test_setup_teardown(name, TestParent_Create, TestParent_Free)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(test_unresponsive_connection),
        TEST(test_indirect_answer),
        TEST(test_relayed_probe),
        TEST(test_suspect_then_dead),
        TEST(test_refutation),
        TEST(test_refutes_record_of_itself),
        TEST(test_dead_member_stays_dead),
        TEST(test_pause_of_own_process),
        TEST(test_reused_address),
        TEST(test_reused_address_by_third_party),
        TEST(test_answer_by_successor),
        TEST(test_listed_as_leaving),
        TEST(test_stale_leaving_mark),
        TEST(test_missing_from_list),
        TEST(test_leaving_member_stops),
        TEST(test_malformed_records),
        TEST(test_list_rate_limit),
        TEST(test_list_requests),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
