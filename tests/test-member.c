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
#define MILLI HR_NS_PER_MS
#define SELF_ID 100

/* A membership module that knows members 1 to 4, with a clock set by the
 * test. */
typedef struct Rig {
    HrMembership *module;
    HrCounters counters;
    int64_t now_ns;
    HrMemberAction action; /* the one popped last */
} Rig;

/* Passes an event to the module at the current time. */
static void
handle(Rig *rig, HrMemberEvent event)
{
    event.now_ns = rig->now_ns;
    HrMembership_HandleEvent(rig->module, &event);
}

/* Advances the clock to the next timer and handles it. */
static void
advance(Rig *rig)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_TIMER};

    rig->now_ns = HrMembership_GetNextTimer(rig->module);
    handle(rig, event);
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
receive(Rig *rig, HrMemberMessageKind kind, HrMember sender,
        const HrMember *update)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage message = {.kind = kind, .sender = sender};

    message.sequence = 1234;
    message.updates = update;
    message.update_count = update != NULL;
    event.u.message = &message;
    handle(rig, event);
}

/* Answers the probe that was popped last. */
static void
answer(Rig *rig, HrMember sender, uint64_t subject_id)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_ACK};

    message.sender = sender;
    message.sequence = rig->action.u.send.message.sequence;
    message.subject_id = subject_id;
    event.u.message = &message;
    handle(rig, event);
}

/* Pops all pending actions. */
static void
discard_actions(Rig *rig)
{
    while (HrMembership_PopAction(rig->module, &rig->action)) {
    }
}

/* Pops actions up to a message of a kind; returns false if there is none. */
static bool
find_send(Rig *rig, HrMemberMessageKind kind)
{
    while (HrMembership_PopAction(rig->module, &rig->action)) {
        if (rig->action.kind == HR_MEMBER_ACTION_SEND &&
            rig->action.u.send.message.kind == kind) {
            return true;
        }
    }
    return false;
}

/* Pops actions up to one of a kind; returns false if there is none. */
static bool
find_action(Rig *rig, HrMemberActionKind kind)
{
    while (HrMembership_PopAction(rig->module, &rig->action)) {
        if (rig->action.kind == kind) {
            return true;
        }
    }
    return false;
}

/* Returns a member's record in the view; one in state DEAD when the view has
 * none. */
static HrMember
look_up(Rig *rig, uint64_t id)
{
    HrMemberView *view = HrMembership_CopyView(rig->module, rig);
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

/* Creates a module that has known members 1 to 4 for two minutes. */
static Rig *
create_rig(void **state)
{
    Rig *rig = talloc_zero(*state, Rig);
    HrMemberConfig config;
    uint64_t id;

    HrMemberConfig_GetDefaults(&config);
    config.self = make_member(SELF_ID, HR_MEMBER_ALIVE, 1);
    config.counters = &rig->counters;
    rig->module = HrMembership_Create(rig, &config, HrRng_FromSeed(5));
    for (id = 1; id <= 4; id++) {
        receive(rig, HR_MEMBER_MESSAGE_LIST,
                make_member(id, HR_MEMBER_ALIVE, 1), NULL);
    }
    while (rig->now_ns < 120 * SECOND) {
        advance(rig);
        while (find_send(rig, HR_MEMBER_MESSAGE_PROBE)) {
            uint64_t target_id = rig->action.u.send.daemon_id;

            answer(rig, make_member(target_id, HR_MEMBER_ALIVE, 1), target_id);
        }
    }
    return rig;
}

/* Advances the clock until the next probe is sent; returns its target. */
static uint64_t
next_probe(Rig *rig)
{
    do {
        advance(rig);
    } while (!find_send(rig, HR_MEMBER_MESSAGE_PROBE));
    return rig->action.u.send.daemon_id;
}

/* Passes a VM list of this daemon (bit 0) and members 1 to 4 (bits 1 to 4) to
 * the module. Bits in leaving mark a VM as leaving; bits in missing leave it
 * out. */
static void
list_vms(Rig *rig, uint32_t leaving, uint32_t missing)
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
    handle(rig, event);
}

/* Guards against a wrong suspicion because a pooled connection has stopped
 * responding: the second probe uses a new connection, and three other members
 * are asked to probe the target too. */
static void
test_unresponsive_connection(void **state)
{
    Rig *rig = create_rig(state);
    uint64_t target_id = next_probe(rig);
    uint32_t requests = 0;
    HrMemberAction probe;

    assert_false(rig->action.u.send.new_connection);
    discard_actions(rig);
    advance(rig);
    assert_true(find_send(rig, HR_MEMBER_MESSAGE_PROBE));
    assert_int_equal(rig->action.u.send.daemon_id, target_id);
    assert_true(rig->action.u.send.new_connection);
    probe = rig->action;
    while (find_send(rig, HR_MEMBER_MESSAGE_PROBE_REQUEST)) {
        assert_int_equal(rig->action.u.send.message.target_id, target_id);
        assert_int_not_equal(rig->action.u.send.daemon_id, target_id);
        requests++;
    }
    assert_int_equal(requests, 3);
    rig->action = probe;
    answer(rig, make_member(target_id, HR_MEMBER_ALIVE, 1), target_id);
    advance(rig);
    assert_int_equal(look_up(rig, target_id).state, HR_MEMBER_ALIVE);
}

/* Guards against a wrong suspicion when only the network path from this daemon
 * to the target is broken: the answer to an indirect probe counts. */
static void
test_indirect_answer(void **state)
{
    Rig *rig = create_rig(state);
    uint64_t target_id = next_probe(rig);
    uint64_t relay_id = target_id % 4 + 1;

    discard_actions(rig);
    advance(rig);
    assert_true(find_send(rig, HR_MEMBER_MESSAGE_PROBE_REQUEST));
    answer(rig, make_member(relay_id, HR_MEMBER_ALIVE, 1), target_id);
    advance(rig);
    assert_int_equal(look_up(rig, target_id).state, HR_MEMBER_ALIVE);
}

/* Guards against a daemon that probes for another one and doesn't pass the
 * answer on to it. */
static void
test_relay(void **state)
{
    Rig *rig = create_rig(state);
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage request = {.kind = HR_MEMBER_MESSAGE_PROBE_REQUEST};

    discard_actions(rig);
    request.sender = make_member(1, HR_MEMBER_ALIVE, 1);
    request.sequence = 77;
    request.target_id = 2;
    memcpy(request.target_address,
           make_member(2, HR_MEMBER_ALIVE, 1).peer_address, HR_ADDRESS_BYTES);
    event.u.message = &request;
    handle(rig, event);
    assert_true(find_send(rig, HR_MEMBER_MESSAGE_PROBE));
    assert_int_equal(rig->action.u.send.daemon_id, 2);
    answer(rig, make_member(2, HR_MEMBER_ALIVE, 1), 2);
    assert_true(find_send(rig, HR_MEMBER_MESSAGE_ACK));
    assert_int_equal(rig->action.u.send.daemon_id, 1);
    assert_int_equal(rig->action.u.send.message.sequence, 77);
    assert_int_equal(rig->action.u.send.message.subject_id, 2);
}

/* Guards against dead members that stay in the view, and against members that
 * are removed before they had the time to refute a suspicion. */
static void
test_suspect_then_dead(void **state)
{
    Rig *rig = create_rig(state);
    uint64_t target_id = next_probe(rig);
    int64_t suspected_ns;

    advance(rig);
    advance(rig);
    assert_int_equal(look_up(rig, target_id).state, HR_MEMBER_SUSPECT);
    suspected_ns = rig->now_ns;
    discard_actions(rig);
    while (look_up(rig, target_id).state != HR_MEMBER_DEAD) {
        advance(rig);
    }
    assert_int_equal(rig->now_ns - suspected_ns, 3 * SECOND);
    assert_true(find_action(rig, HR_MEMBER_ACTION_MEMBER_DEAD));
    assert_int_equal(rig->action.u.dead_id, target_id);
}

/* Guards against a suspect that doesn't learn of its suspicion, so that it
 * cannot refute it, and against a refutation that is ignored. */
static void
test_refutation(void **state)
{
    Rig *rig = create_rig(state);
    HrMember suspect = make_member(2, HR_MEMBER_SUSPECT, 1);

    discard_actions(rig);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(1, HR_MEMBER_ALIVE, 1),
            &suspect);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_SUSPECT);
    discard_actions(rig);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(2, HR_MEMBER_ALIVE, 1),
            NULL);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_SUSPECT);
    assert_true(find_send(rig, HR_MEMBER_MESSAGE_ACK));
    assert_int_equal(rig->action.u.send.message.updates[0].daemon_id, 2);
    assert_int_equal(rig->action.u.send.message.updates[0].state,
                     HR_MEMBER_SUSPECT);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(2, HR_MEMBER_ALIVE, 2),
            NULL);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_ALIVE);
}

/* Guards against a live daemon that stays removed from the views of others
 * because it doesn't refute a report that it is suspect or dead. A report with
 * an older incarnation needs no refutation. */
static void
test_refutes_about_itself(void **state)
{
    Rig *rig = create_rig(state);
    HrMember dead = make_member(SELF_ID, HR_MEMBER_DEAD, 6);

    discard_actions(rig);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(1, HR_MEMBER_ALIVE, 1),
            &dead);
    assert_int_equal(look_up(rig, SELF_ID).incarnation, 7);
    assert_true(find_send(rig, HR_MEMBER_MESSAGE_PROBE));
    assert_int_equal(rig->action.u.send.message.sender.incarnation, 7);
    dead.incarnation = 3;
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(1, HR_MEMBER_ALIVE, 1),
            &dead);
    assert_int_equal(look_up(rig, SELF_ID).incarnation, 7);
}

/* Guards against a dead member that becomes alive again by an update with the
 * same incarnation, sent before its death. */
static void
test_dead_stays_dead(void **state)
{
    Rig *rig = create_rig(state);
    HrMember dead = make_member(3, HR_MEMBER_DEAD, 1);
    HrMember alive = make_member(3, HR_MEMBER_ALIVE, 1);

    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(1, HR_MEMBER_ALIVE, 1),
            &dead);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(1, HR_MEMBER_ALIVE, 1),
            &alive);
    assert_int_equal(look_up(rig, 3).state, HR_MEMBER_DEAD);
    alive.incarnation = 2;
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(1, HR_MEMBER_ALIVE, 1),
            &alive);
    assert_int_equal(look_up(rig, 3).state, HR_MEMBER_ALIVE);
}

/* Guards against members that are suspected or declared dead because this
 * process was paused and has not read their answers yet. */
static void
test_pause_of_own_process(void **state)
{
    Rig *rig = create_rig(state);
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_TIMER};
    HrMember suspect = make_member(2, HR_MEMBER_SUSPECT, 1);
    uint64_t target_id = next_probe(rig);
    uint64_t id;

    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(1, HR_MEMBER_ALIVE, 1),
            &suspect);
    rig->now_ns += 20 * SECOND;
    handle(rig, event);
    assert_int_equal(
        HrCounters_GetValue(&rig->counters, HR_COUNTER_member_pauses), 1);
    for (id = 1; id <= 4; id++) {
        assert_int_equal(look_up(rig, id).state,
                         id == 2 ? HR_MEMBER_SUSPECT : HR_MEMBER_ALIVE);
    }
    assert_int_not_equal(target_id, 0);
}

/* Guards against a former daemon that stays a member although another daemon
 * sends messages from its address. */
static void
test_reused_address(void **state)
{
    Rig *rig = create_rig(state);
    HrMember successor = make_member(2, HR_MEMBER_ALIVE, 1);

    successor.daemon_id = 22;
    discard_actions(rig);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, successor, NULL);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_DEAD);
    assert_int_equal(look_up(rig, 22).state, HR_MEMBER_ALIVE);
}

/* Guards against declaring the wrong one of two daemons with the same address
 * dead because of a third daemon's report, which must only cause a
 * suspicion. */
static void
test_reused_address_by_third_party(void **state)
{
    Rig *rig = create_rig(state);
    HrMember other = make_member(2, HR_MEMBER_ALIVE, 1);

    other.daemon_id = 22;
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(1, HR_MEMBER_ALIVE, 1),
            &other);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_SUSPECT);
    assert_int_equal(look_up(rig, 22).state, HR_MEMBER_ALIVE);
}

/* Guards against taking the answer of a successor, a daemon that now uses the
 * target's address, for an answer of the target. */
static void
test_answer_by_successor(void **state)
{
    Rig *rig = create_rig(state);
    uint64_t target_id = next_probe(rig);
    HrMember successor = make_member(target_id, HR_MEMBER_ALIVE, 1);

    successor.daemon_id = 22;
    answer(rig, successor, 22);
    assert_int_equal(look_up(rig, target_id).state, HR_MEMBER_DEAD);
    assert_int_equal(look_up(rig, 22).state, HR_MEMBER_ALIVE);
}

/* Guards against a leaving mark in the platform's VM list that is not applied
 * at once, to a member or to this daemon, or is applied twice. */
static void
test_listed_as_leaving(void **state)
{
    Rig *rig = create_rig(state);

    list_vms(rig, 1U << 3, 0);
    assert_int_equal(look_up(rig, 3).state, HR_MEMBER_LEAVING);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_ALIVE);
    discard_actions(rig);
    list_vms(rig, 1U, 0);
    assert_true(find_action(rig, HR_MEMBER_ACTION_LEAVING));
    assert_int_equal(look_up(rig, SELF_ID).state, HR_MEMBER_LEAVING);
    list_vms(rig, 1U, 0);
    assert_false(find_action(rig, HR_MEMBER_ACTION_LEAVING));
}

/* Guards against a new daemon that is drained because the VM list lags and
 * still shows the former daemon at its address as leaving. */
static void
test_stale_leaving_mark(void **state)
{
    Rig *rig = create_rig(state);
    HrMember successor = make_member(3, HR_MEMBER_ALIVE, 1);

    successor.daemon_id = 33;
    receive(rig, HR_MEMBER_MESSAGE_PROBE, successor, NULL);
    list_vms(rig, 1U << 3, 0);
    assert_int_equal(look_up(rig, 33).state, HR_MEMBER_ALIVE);
}

/* Guards against a member that is suspected because the VM list lags and never
 * had it, one that is suspected again after its refutation, and an empty list
 * that makes all members suspect. */
static void
test_missing_from_list(void **state)
{
    Rig *rig = create_rig(state);
    HrMemberEvent empty = {.kind = HR_MEMBER_EVENT_VM_LIST};

    list_vms(rig, 0, 1U << 4);
    assert_int_equal(look_up(rig, 4).state, HR_MEMBER_ALIVE);
    list_vms(rig, 0, 0);
    handle(rig, empty);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_ALIVE);
    list_vms(rig, 0, 1U << 2);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_SUSPECT);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, make_member(2, HR_MEMBER_ALIVE, 2),
            NULL);
    list_vms(rig, 0, 1U << 2);
    assert_int_equal(look_up(rig, 2).state, HR_MEMBER_ALIVE);
}

/* Guards against a leaving member that is only suspected when it has stopped,
 * which delays the takeover of its work. */
static void
test_leaving_member_stops(void **state)
{
    Rig *rig = create_rig(state);
    HrMember leaving;
    uint64_t target_id = next_probe(rig);

    leaving = make_member(target_id, HR_MEMBER_LEAVING, 2);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, leaving, NULL);
    assert_int_equal(look_up(rig, target_id).state, HR_MEMBER_LEAVING);
    advance(rig);
    advance(rig);
    assert_int_equal(look_up(rig, target_id).state, HR_MEMBER_DEAD);
}

/* Guards against applying malformed records: an incarnation so large that the
 * daemon could not refute the record, no id, or no address. */
static void
test_malformed_records(void **state)
{
    Rig *rig = create_rig(state);
    HrMember bad = make_member(50, HR_MEMBER_ALIVE, UINT64_MAX);
    HrMember sender = make_member(1, HR_MEMBER_ALIVE, 1);

    receive(rig, HR_MEMBER_MESSAGE_PROBE, sender, &bad);
    bad = make_member(0, HR_MEMBER_ALIVE, 1);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, sender, &bad);
    bad = make_member(50, HR_MEMBER_ALIVE, 1);
    bad.peer_address[0] = '\0';
    receive(rig, HR_MEMBER_MESSAGE_PROBE, sender, &bad);
    receive(rig, HR_MEMBER_MESSAGE_PROBE, bad, NULL);
    assert_int_equal(look_up(rig, 50).state, HR_MEMBER_DEAD);
    assert_int_equal(
        HrCounters_GetValue(&rig->counters, HR_COUNTER_members_refused), 3);
}

/* Sends a request for the full list; returns the number of pages that the
 * module sends. */
static uint32_t
request_list_pages(Rig *rig)
{
    uint32_t pages = 0;

    discard_actions(rig);
    receive(rig, HR_MEMBER_MESSAGE_LIST_REQUEST,
            make_member(1, HR_MEMBER_ALIVE, 1), NULL);
    while (find_send(rig, HR_MEMBER_MESSAGE_LIST)) {
        pages++;
    }
    return pages;
}

/* Guards against a daemon that sends its full list to all members at once when
 * they all request it after a partition. */
static void
test_lists_are_limited(void **state)
{
    Rig *rig = create_rig(state);

    assert_int_equal(request_list_pages(rig), 1);
    assert_int_equal(request_list_pages(rig), 0);
    rig->now_ns += 4 * MILLI;
    assert_int_equal(request_list_pages(rig), 1);
}

/* Passes a probe from a member that knows member_count members to the module;
 * returns true if the module then requests that member's full list. */
static bool
asks_for_list(Rig *rig, uint64_t id, uint32_t member_count)
{
    HrMemberEvent event = {.kind = HR_MEMBER_EVENT_MESSAGE};
    HrMemberMessage message = {.kind = HR_MEMBER_MESSAGE_PROBE};

    discard_actions(rig);
    message.sender = make_member(id, HR_MEMBER_ALIVE, 1);
    message.member_count = member_count;
    event.u.message = &message;
    handle(rig, event);
    return find_send(rig, HR_MEMBER_MESSAGE_LIST_REQUEST);
}

/* Guards against parts of a cluster that never join because no full list is
 * requested, and against too many requests while the digests differ because
 * updates are still spreading. */
static void
test_asks_for_lists(void **state)
{
    Rig *rig = create_rig(state);

    /* More than the interval of 10.2 s and its random part of a quarter. */
    rig->now_ns += 20 * SECOND;
    assert_true(asks_for_list(rig, 1, 5));
    assert_false(asks_for_list(rig, 2, 9));
    rig->now_ns += 2 * SECOND;
    assert_false(asks_for_list(rig, 1, 5));
    assert_true(asks_for_list(rig, 2, 9));
    rig->now_ns += 2 * SECOND;
    assert_true(asks_for_list(rig, 77, 1));
}

#define TEST(name)                                                            \
    cmocka_unit_test_setup_teardown(name, TestParent_Create, TestParent_Free)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(test_unresponsive_connection),
        TEST(test_indirect_answer),
        TEST(test_relay),
        TEST(test_suspect_then_dead),
        TEST(test_refutation),
        TEST(test_refutes_about_itself),
        TEST(test_dead_stays_dead),
        TEST(test_pause_of_own_process),
        TEST(test_reused_address),
        TEST(test_reused_address_by_third_party),
        TEST(test_answer_by_successor),
        TEST(test_listed_as_leaving),
        TEST(test_stale_leaving_mark),
        TEST(test_missing_from_list),
        TEST(test_leaving_member_stops),
        TEST(test_malformed_records),
        TEST(test_lists_are_limited),
        TEST(test_asks_for_lists),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
