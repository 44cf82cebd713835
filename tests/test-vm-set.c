#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "common-parent.h"
#include "coord-share.h"
#include "coord-vm-set.h"
#include "proto-hello.h"

#define START_NS (100 * HR_NS_PER_S)
#define FORGET_NS (10 * HR_NS_PER_S)
#define ROUNDS 20000

static const HrVmClaim serving = {.ready = true, .reaches_store = true};
static const HrVmClaim leaving = {.ready = true, .leaving = true};

/* Returns the record of a gateway. */
static HrVmRecord
vm_record(const char *name, uint64_t incarnation)
{
    HrVmRecord record = {.incarnation = incarnation, .capacity = 250};

    snprintf(record.name, sizeof(record.name), "%s", name);
    snprintf(record.data_centre, sizeof(record.data_centre), "a");
    snprintf(record.region, sizeof(record.region), "r");
    snprintf(record.caller_address, sizeof(record.caller_address),
             "10.0.0.1:80");
    snprintf(record.peer_address, sizeof(record.peer_address), "10.0.0.1:81");
    snprintf(record.control_address, sizeof(record.control_address),
             "10.0.0.1:82");
    return record;
}

/* Creates the set of gateway "m". */
static HrVmSet *
create_set(const void *parent, uint32_t min_sharing)
{
    const HrVmSetConfig config = {.forget_ns = FORGET_NS,
                                  .min_sharing = min_sharing};
    const HrVmRecord self = vm_record("m", 1);

    return HrVmSet_Create(parent, &config, &self);
}

/* Lets a gateway be heard. */
static void
hear(HrVmSet *set, const char *name, uint64_t incarnation,
     const HrVmClaim *claim, int64_t now_ns)
{
    HrVmRecord record = vm_record(name, incarnation);

    HrVmSet_Hear(set, &record, claim, now_ns);
}

/* Returns how many gateways callers are sent to. */
static uint32_t
count_serving(const HrVmSet *set, bool self_serves, int64_t now_ns)
{
    const HrVmRecord *found[16];

    return HrVmSet_Serving(set, self_serves, "", now_ns, found, 16);
}

/* Guards against handing out a gateway that is leaving, not ready or silent,
 * and against an old message of an earlier start. */
static void
test_gateways_that_serve(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    const HrVmClaim unready = {0};

    assert_int_equal(count_serving(set, true, START_NS), 1);
    assert_int_equal(count_serving(set, false, START_NS), 0);
    hear(set, "a", 5, &serving, START_NS);
    hear(set, "b", 1, &leaving, START_NS);
    hear(set, "c", 1, &unready, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    hear(set, "a", 4, &leaving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    hear(set, "a", 6, &leaving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 1);
    hear(set, "a", 7, &serving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    hear(set, "b", 2, &serving, START_NS + 3 * HR_NS_PER_S);
    assert_int_equal(count_serving(set, true, START_NS + 3 * HR_NS_PER_S), 2);
}

/* Guards against a restarted gateway that is not heard for as long as its wall
 * clock has jumped back, because its messages look like those of an earlier
 * start. Found by test-gateway-random, seed 1. */
static void
test_restart_after_the_clock_jumped_back(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmRecord before = vm_record("a", 50);
    int64_t now_ns = START_NS;

    hear(set, "a", 50, &serving, now_ns);
    now_ns += HR_NS_PER_S / 2;
    hear(set, "a", 40, &serving, now_ns);
    assert_int_equal(HrVmSet_At(set, 0)->record.incarnation, 50);
    now_ns += HR_NS_PER_S;
    assert_int_equal(count_serving(set, false, now_ns), 0);
    hear(set, "a", 40, &serving, now_ns);
    assert_int_equal(count_serving(set, false, now_ns), 1);
    /* Others may still know the earlier start. */
    HrVmSet_Introduce(set, &before);
    HrVmSet_BeginList(set);
    HrVmSet_Offer(set, &before);
    HrVmSet_EndList(set, now_ns);
    now_ns += HR_NS_PER_S / 2;
    hear(set, "a", 40, &serving, now_ns);
    assert_int_equal(HrVmSet_At(set, 0)->record.incarnation, 40);
    assert_int_equal(count_serving(set, false, now_ns), 1);
}

/* Guards against handing out only itself when this daemon is the one that is
 * cut off, and against listed gateways that stay after they left. */
static void
test_cut_off_gateway_hands_out_the_listed(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmRecord other = vm_record("a", 1);

    HrVmSet_BeginList(set);
    HrVmSet_Offer(set, &other);
    HrVmSet_EndList(set, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    hear(set, "b", 1, &serving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    /* All are silent. */
    assert_int_equal(count_serving(set, true, START_NS + 5 * HR_NS_PER_S), 2);
    hear(set, "a", 1, &leaving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS + 5 * HR_NS_PER_S), 1);
}

/* Load pattern: as many callers in each data centre, but unlike numbers of
 * gateways. Guards against callers that cross to another data centre while
 * theirs has a gateway, and against none where it has lost its only one. */
static void
test_callers_stay_in_their_data_centre(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmRecord far = vm_record("far", 1);
    const HrVmRecord *found[4];

    snprintf(far.data_centre, sizeof(far.data_centre), "b");
    HrVmSet_Hear(set, &far, &serving, START_NS);
    assert_int_equal(HrVmSet_Serving(set, true, "b", START_NS, found, 4), 1);
    assert_string_equal(found[0]->name, "far");
    assert_int_equal(HrVmSet_Serving(set, true, "a", START_NS, found, 4), 1);
    assert_string_equal(found[0]->name, "m");
    assert_int_equal(HrVmSet_Serving(set, true, "c", START_NS, found, 4), 2);
    HrVmSet_Hear(set, &far, &leaving, START_NS);
    assert_int_equal(HrVmSet_Serving(set, true, "b", START_NS, found, 4), 1);
    assert_string_equal(found[0]->name, "m");
}

/* Guards against a larger share of the limits right after a gateway vanished,
 * while its work may go on, or before the others are known. */
static void
test_lost_gateways_share_for_a_while(void **state)
{
    HrVmSet *set = create_set(*state, 1), *fresh = create_set(*state, 4);
    HrVmRecord other = vm_record("other", 5);

    assert_int_equal(HrVmSet_Sharing(fresh, START_NS), 4);
    HrVmSet_BeginList(set);
    HrVmSet_Offer(set, &other);
    HrVmSet_EndList(set, START_NS);
    assert_int_equal(HrVmSet_Sharing(set, START_NS), 2);
    HrVmSet_BeginList(set);
    HrVmSet_EndList(set, START_NS);
    assert_int_equal(HrVmSet_Sharing(set, START_NS + FORGET_NS - 1), 2);
    assert_int_equal(HrVmSet_Sharing(set, START_NS + FORGET_NS), 1);
    hear(set, "other", 5, &serving, START_NS + FORGET_NS);
    assert_int_equal(HrVmSet_Sharing(set, START_NS + FORGET_NS), 2);
}

/* Guards against messages to gateways that were replaced long ago, which
 * would also slow down the messages to all others. */
static void
test_replaced_gateways_are_forgotten(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    int64_t now_ns = START_NS;
    uint32_t i;

    for (i = 0; i < 200; i++) {
        char name[16];

        now_ns += 30 * HR_NS_PER_S;
        snprintf(name, sizeof(name), "vm%u", i);
        hear(set, name, 1, &serving, now_ns);
        HrVmSet_BeginList(set);
        HrVmSet_EndList(set, now_ns);
    }
    assert_non_null(HrVmSet_At(set, 0));
    assert_null(HrVmSet_At(set, 8));
    assert_true(HrVmSet_HelloPeriodNs(set) <= HR_NS_PER_S);
    assert_int_equal(count_serving(set, true, now_ns), 2);
}

/* Guards against two first readers, and against none when the first one loses
 * the store, falls silent or leaves. */
static void
test_reader_rank(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmClaim cut_off = serving;

    cut_off.reaches_store = false;
    hear(set, "a", 1, &serving, START_NS);
    hear(set, "b", 1, &serving, START_NS);
    hear(set, "z", 1, &serving, START_NS);
    assert_int_equal(HrVmSet_ReaderRank(set, true, START_NS), 2);
    hear(set, "a", 1, &cut_off, START_NS);
    assert_int_equal(HrVmSet_ReaderRank(set, true, START_NS), 1);
    hear(set, "b", 1, &leaving, START_NS);
    assert_int_equal(HrVmSet_ReaderRank(set, true, START_NS), 0);
    hear(set, "a", 1, &serving, START_NS);
    assert_int_equal(HrVmSet_ReaderRank(set, true, START_NS), 1);
    assert_int_equal(HrVmSet_ReaderRank(set, true, START_NS + 3 * HR_NS_PER_S),
                     0);
}

/* Guards against a store that is down and is asked by all daemons again and
 * again, because none of them reaches it and so each takes itself for the
 * first; and against one that is not asked by anyone. */
static void
test_reader_rank_without_store(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmClaim cut_off = serving;

    cut_off.reaches_store = false;
    assert_int_equal(HrVmSet_ReaderRank(set, false, START_NS), 0);
    hear(set, "a", 1, &cut_off, START_NS);
    hear(set, "b", 1, &cut_off, START_NS);
    hear(set, "z", 1, &cut_off, START_NS);
    assert_int_equal(HrVmSet_ReaderRank(set, false, START_NS), 2);
    assert_int_equal(HrVmSet_ReaderRank(set, true, START_NS), 0);
    hear(set, "z", 1, &serving, START_NS);
    assert_int_equal(HrVmSet_ReaderRank(set, false, START_NS), 3);
}

/* Load pattern: all VMs lose power and start again. Guards against callers
 * that wait while no daemon has read the store yet, and against a fleet that
 * reads it all at the same moment. */
static void
test_seeds_read_first(void **state)
{
    HrRng rng = HrRng_FromSeed(1);
    uint32_t early = 0, i;

    (void)state;
    for (i = 0; i < 100; i++) {
        assert_int_equal(HrShare_FirstDelayNs(true, &rng), 0);
        early += HrShare_FirstDelayNs(false, &rng) < 20 * HR_NS_PER_MS;
    }
    assert_true(early < 30);
}

/* Load pattern: a store that is down for 10 s, asked by a fleet. Guards
 * against calls that grow in proportion to the number of daemons. */
static void
test_calls_to_a_store_that_is_down(void **state)
{
    const uint32_t sizes[] = {4, 32, 1900};
    uint32_t calls[3] = {0}, i, rank;

    (void)state;
    for (i = 0; i < 3; i++) {
        for (rank = 0; rank < sizes[i]; rank++) {
            int64_t now_ns = START_NS, end_ns = START_NS + 10 * HR_NS_PER_S;
            HrShare share;

            HrShare_Init(&share, START_NS, 0);
            HrShare_NoteList(&share, START_NS, START_NS);
            while ((now_ns = HrShare_ReadDueNs(&share, rank)) < end_ns) {
                calls[i]++;
                HrShare_NoteFailure(&share, now_ns);
            }
        }
    }
    /* The first reader keeps asking at least once a second. */
    assert_true(calls[0] >= 10);
    /* Beyond the first read of each, eight times as many daemons ask at most
     * three times as often, and any number at most once more each. */
    assert_true(calls[1] - sizes[1] <= 3 * calls[0]);
    assert_true(calls[2] - sizes[2] <= calls[1]);
}

/* Guards against a gateway that takes the share of others when it is cut off
 * from them and from the store: they still serve callers. Only a list without
 * them says that they are gone. */
static void
test_sharing_while_cut_off(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    int64_t now_ns = START_NS;

    hear(set, "a", 1, &serving, now_ns);
    hear(set, "b", 1, &serving, now_ns);
    now_ns += 60 * HR_NS_PER_S;
    assert_int_equal(HrVmSet_Sharing(set, now_ns), 3);
    HrVmSet_BeginList(set);
    HrVmSet_EndList(set, now_ns);
    now_ns += 60 * HR_NS_PER_S;
    assert_int_equal(HrVmSet_Sharing(set, now_ns), 1);
}

/* Guards against a gateway that was taken away and is counted for ever. */
static void
test_silent_gateways_are_noticed(void **state)
{
    HrVmSet *set = create_set(*state, 1);

    assert_false(HrVmSet_AnySilent(set, START_NS));
    hear(set, "a", 1, &serving, START_NS);
    assert_false(HrVmSet_AnySilent(set, START_NS));
    assert_true(HrVmSet_AnySilent(set, START_NS + 3 * HR_NS_PER_S));
}

/* Guards against a list that nobody reads, and against one that everybody
 * reads although it was told. */
static void
test_one_reads_and_tells(void **state)
{
    HrShare share;
    int64_t due_ns;

    (void)state;
    HrShare_Init(&share, START_NS, 100);
    assert_int_equal(HrShare_ReadDueNs(&share, 0), START_NS + 100);
    assert_int_equal(HrShare_Weigh(&share, START_NS, true, START_NS),
                     HR_SHARE_FETCH);
    HrShare_NoteList(&share, START_NS, START_NS);
    due_ns = HrShare_ReadDueNs(&share, 0);
    assert_true(due_ns > START_NS && due_ns <= START_NS + 2 * HR_NS_PER_S);
    assert_true(HrShare_ReadDueNs(&share, 1) > due_ns);
    /* Even the last one reads soon when nothing is told. */
    assert_true(HrShare_ReadDueNs(&share, 1000) <= START_NS + 2 * HR_NS_PER_S);
    assert_int_equal(HrShare_Weigh(&share, START_NS, true, START_NS),
                     HR_SHARE_IGNORE);
    assert_int_equal(HrShare_Weigh(&share, START_NS + 5, true, START_NS),
                     HR_SHARE_CONFIRM);
    assert_int_equal(HrShare_ReadDueNs(&share, 0), due_ns + 5);
    assert_int_equal(HrShare_Weigh(&share, START_NS + 9, false, START_NS),
                     HR_SHARE_FETCH);
    assert_int_equal(HrShare_ReadDueNs(&share, 0), due_ns + 5);
}

/* Guards against waiting for entries to come back when only this daemon had
 * lost the store, and against not waiting when all had lost it. */
static void
test_gap_in_what_is_known(void **state)
{
    const int64_t s = HR_NS_PER_S;
    HrShare share;

    (void)state;
    HrShare_Init(&share, START_NS, 0);
    HrShare_NoteList(&share, START_NS, START_NS);
    assert_true(HrShare_SinceReturnNs(&share, START_NS) == HR_TIME_NEVER);
    HrShare_NoteFailure(&share, START_NS + s);
    HrShare_Weigh(&share, START_NS + 2 * s, true, START_NS + 2 * s);
    HrShare_NoteFailure(&share, START_NS + 3 * s);
    HrShare_NoteList(&share, START_NS + 4 * s, START_NS + 4 * s);
    assert_true(HrShare_SinceReturnNs(&share, START_NS + 4 * s) ==
                HR_TIME_NEVER);
    HrShare_NoteList(&share, START_NS + 9 * s, START_NS + 9 * s);
    assert_true(HrShare_SinceReturnNs(&share, START_NS + 10 * s) == s);
    HrShare_Weigh(&share, START_NS + 20 * s, true, START_NS + 20 * s);
    assert_true(HrShare_SinceReturnNs(&share, START_NS + 20 * s) == 0);
}

/* Guards against taking a pause of this daemon for an outage of the store:
 * servers that left meanwhile then stay in use. Found by test-gateway-random
 * (HR_KINDS=0x13, seed 302). */
static void
test_own_pause_is_no_gap(void **state)
{
    const int64_t later_ns = START_NS + 6 * HR_NS_PER_S;
    HrShare share;

    (void)state;
    HrShare_Init(&share, START_NS, 0);
    HrShare_NoteList(&share, START_NS, START_NS);
    HrShare_NotePause(&share, 5 * HR_NS_PER_S);
    HrShare_NoteList(&share, later_ns, later_ns);
    assert_true(HrShare_SinceReturnNs(&share, later_ns) == HR_TIME_NEVER);
    /* An outage after that is one. */
    HrShare_NoteList(&share, 2 * later_ns, 2 * later_ns);
    assert_int_equal(HrShare_SinceReturnNs(&share, 2 * later_ns), 0);
}

/* Guards against servers that are gone and stay in use for up to a period
 * longer, because no list is read when the time for lapsed entries to return
 * ends. Found by test-gateway-random, as work for a server that had left. */
static void
test_list_is_read_when_the_grace_ends(void **state)
{
    const int64_t return_ns = START_NS + 5 * HR_NS_PER_S;
    const int64_t ends_ns = return_ns + HR_SHARE_RETURN_GRACE_NS;
    HrShare share;

    (void)state;
    HrShare_Init(&share, START_NS, 0);
    HrShare_NoteList(&share, START_NS, START_NS);
    HrShare_NoteList(&share, return_ns, return_ns);
    assert_true(HrShare_ReadDueNs(&share, 0) < ends_ns);
    HrShare_NoteList(&share, ends_ns - HR_NS_PER_S / 2, ends_ns);
    assert_int_equal(HrShare_ReadDueNs(&share, 0), ends_ns);
    /* The others are told. */
    assert_true(HrShare_ReadDueNs(&share, 1) > ends_ns);
    HrShare_NoteList(&share, ends_ns, ends_ns);
    assert_true(HrShare_ReadDueNs(&share, 0) > ends_ns);
}

/* Guards against calls without a pause while the store is down. */
static void
test_failed_reads_are_spaced(void **state)
{
    HrShare share;
    int64_t now_ns = START_NS, last_ns = 0;
    uint32_t i;

    (void)state;
    HrShare_Init(&share, START_NS, 0);
    for (i = 0; i < 20; i++) {
        HrShare_NoteFailure(&share, now_ns);
        last_ns = HrShare_ReadDueNs(&share, 0) - now_ns;
        assert_true(last_ns >= 100 * HR_NS_PER_MS);
        assert_true(last_ns <= HR_NS_PER_S);
        now_ns += last_ns;
    }
    assert_true(last_ns >= 700 * HR_NS_PER_MS);
    HrShare_NoteList(&share, now_ns, now_ns);
    assert_true(HrShare_ReadDueNs(&share, 0) > now_ns);
}

#define SPREAD_VMS 33
#define LINK_BYTES_PER_MS 6250 /* 50 Mbit/s */
#define DOCUMENT_BYTES 600000

/* One gateway that gets a new document. */
typedef struct Receiver {
    bool has;
    uint32_t source; /* SPREAD_VMS: none */
    int64_t left_bytes;
    int64_t since_ms;
} Receiver;

/* Returns how many gateways a source is handing the document to. */
static uint32_t
count_transfers(const Receiver *vms, uint32_t source)
{
    uint32_t count = 0, i;

    for (i = 0; i < SPREAD_VMS; i++) {
        count += vms[i].source == source;
    }
    return count;
}

/* Moves each transfer on by a millisecond: those of one source share its
 * link. */
static void
move_transfers(Receiver *vms, int64_t now_ms)
{
    uint32_t open[SPREAD_VMS], i;

    for (i = 0; i < SPREAD_VMS; i++) {
        open[i] = count_transfers(vms, i);
    }
    for (i = 0; i < SPREAD_VMS; i++) {
        Receiver *vm = &vms[i];

        if (vm->source == SPREAD_VMS) {
            continue;
        }
        vm->left_bytes -= LINK_BYTES_PER_MS / open[vm->source];
        if (vm->left_bytes <= 0) {
            vm->has = true;
        }
        if (vm->has ||
            now_ms - vm->since_ms > HR_SHARE_TRANSFER_NS / HR_NS_PER_MS) {
            vm->source = SPREAD_VMS;
        }
    }
}

/* Load pattern: a version of the routes with 1,400 more of them, seen by one
 * of 33 gateways on links of 50 Mbit/s. Guards against all of them fetching it
 * from that one at once, so that none is through in time: then requests on new
 * routes got 404 for 7 s (tasqyn-search-grown, trouble-1). */
static void
test_large_routes_spread_in_time(void **state)
{
    Receiver vms[SPREAD_VMS];
    HrRng rng = HrRng_FromSeed(9);
    uint32_t have = 1, i;
    int64_t now_ms;

    (void)state;
    for (i = 0; i < SPREAD_VMS; i++) {
        vms[i] = (Receiver){.has = i == 0, .source = SPREAD_VMS};
    }
    for (now_ms = 0; have < SPREAD_VMS; now_ms++) {
        assert_true(now_ms < 3000);
        for (i = 0; i < SPREAD_VMS; i++) {
            uint32_t source = (uint32_t)HrRng_Below(&rng, SPREAD_VMS);

            /* A message of some gateway arrives. */
            if (!vms[i].has && vms[i].source == SPREAD_VMS &&
                vms[source].has &&
                HrShare_MayHandOver(count_transfers(vms, source))) {
                vms[i].source = source;
                vms[i].left_bytes = DOCUMENT_BYTES;
                vms[i].since_ms = now_ms;
            }
        }
        move_transfers(vms, now_ms);
        for (have = 0, i = 0; i < SPREAD_VMS; i++) {
            have += vms[i].has;
        }
    }
}

/* Returns a message with two introduced gateways. */
static HrHello
sample_hello(void)
{
    HrHello hello = {.sender = vm_record("a", 7),
                     .claim = {.ready = true,
                               .watches_routes = true,
                               .routes_version = UINT64_C(1) << 40,
                               .servers_digest = UINT64_MAX,
                               .servers_age_ns = 1500 * HR_NS_PER_MS},
                     .known = {vm_record("b", 8), vm_record("c", 9)},
                     .known_count = 2};

    return hello;
}

/* Guards against a message that does not arrive as it was sent. */
static void
test_hello_round_trip(void **state)
{
    const HrHello hello = sample_hello();
    HrHello decoded;
    HrBytes bytes;

    assert_int_equal(HrHello_Encode(*state, &hello, &bytes), HR_OK);
    assert_int_equal(HrHello_Decode(&decoded, bytes.data, bytes.length_bytes),
                     HR_OK);
    assert_memory_equal(&decoded.sender, &hello.sender, sizeof(HrVmRecord));
    assert_memory_equal(&decoded.known, &hello.known, sizeof(hello.known));
    assert_true(decoded.claim.ready && decoded.claim.watches_routes);
    assert_false(decoded.claim.leaving || decoded.claim.reaches_store);
    assert_true(decoded.claim.routes_version == hello.claim.routes_version);
    assert_true(decoded.claim.servers_digest == hello.claim.servers_digest);
    assert_true(decoded.claim.servers_age_ns == hello.claim.servers_age_ns);
}

/* Guards against reads beyond a damaged datagram, and against one whose
 * addresses are none. */
static void
test_damaged_hello(void **state)
{
    const HrHello hello = sample_hello();
    HrRng rng = HrRng_FromSeed(3);
    HrBytes bytes;
    uint32_t round;

    assert_int_equal(HrHello_Encode(*state, &hello, &bytes), HR_OK);
    for (round = 0; round < ROUNDS; round++) {
        uint8_t *damaged =
            talloc_memdup(*state, bytes.data, bytes.length_bytes);
        size_t length = HrRng_Below(&rng, bytes.length_bytes + 1);
        uint32_t changes = (uint32_t)HrRng_Below(&rng, 4);
        HrHello decoded;

        while (changes-- > 0) {
            damaged[HrRng_Below(&rng, bytes.length_bytes)] =
                (uint8_t)HrRng_Next(&rng);
        }
        if (HrHello_Decode(&decoded, damaged, length) == HR_OK) {
            assert_true(decoded.known_count <= HR_HELLO_KNOWN_MAX);
            assert_true(strlen(decoded.sender.name) > 0);
        }
        talloc_free(damaged);
    }
}

/* Guards against a record in the store that is taken over in part. */
static void
test_vm_record_text(void **state)
{
    const HrVmRecord record = vm_record("a", 7);
    char *text = HrVmRecord_Encode(*state, &record);
    HrVmRecord decoded;
    size_t cut;

    assert_int_equal(HrVmRecord_Decode(&decoded, text, strlen(text)), HR_OK);
    assert_memory_equal(&decoded, &record, sizeof(record));
    for (cut = 0; cut < strlen(text); cut++) {
        assert_int_equal(HrVmRecord_Decode(&decoded, text, cut),
                         HR_ERR_INVALID);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_gateways_that_serve),
        cmocka_unit_test(test_restart_after_the_clock_jumped_back),
        cmocka_unit_test(test_cut_off_gateway_hands_out_the_listed),
        cmocka_unit_test(test_callers_stay_in_their_data_centre),
        cmocka_unit_test(test_lost_gateways_share_for_a_while),
        cmocka_unit_test(test_replaced_gateways_are_forgotten),
        cmocka_unit_test(test_reader_rank),
        cmocka_unit_test(test_reader_rank_without_store),
        cmocka_unit_test(test_seeds_read_first),
        cmocka_unit_test(test_calls_to_a_store_that_is_down),
        cmocka_unit_test(test_sharing_while_cut_off),
        cmocka_unit_test(test_silent_gateways_are_noticed),
        cmocka_unit_test(test_one_reads_and_tells),
        cmocka_unit_test(test_gap_in_what_is_known),
        cmocka_unit_test(test_own_pause_is_no_gap),
        cmocka_unit_test(test_list_is_read_when_the_grace_ends),
        cmocka_unit_test(test_failed_reads_are_spaced),
        cmocka_unit_test(test_large_routes_spread_in_time),
        cmocka_unit_test(test_hello_round_trip),
        cmocka_unit_test(test_damaged_hello),
        cmocka_unit_test(test_vm_record_text),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
