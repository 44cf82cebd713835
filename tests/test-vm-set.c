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
#define SHARING_TIMEOUT_NS (10 * HR_NS_PER_S)
#define ROUNDS 20000

static const HrVmStatus serving = {.ready = true, .reaches_store = true};
static const HrVmStatus leaving = {.ready = true, .leaving = true};

/* Returns the record of a gateway. */
static HrVmRecord
make_vm_record(const char *name, uint64_t incarnation)
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
    const HrVmSetConfig config = {.sharing_timeout_ns = SHARING_TIMEOUT_NS,
                                  .min_sharing = min_sharing};
    const HrVmRecord self = make_vm_record("m", 1);

    return HrVmSet_Create(parent, &config, &self);
}

/* Delivers a hello of a gateway to the set. */
static void
receive_hello(HrVmSet *set, const char *name, uint64_t incarnation,
              const HrVmStatus *status, int64_t now_ns)
{
    HrVmRecord record = make_vm_record(name, incarnation);

    HrVmSet_HandleHello(set, &record, status, now_ns);
}

/* Returns the number of gateways that callers may use. */
static uint32_t
count_serving(const HrVmSet *set, bool self_serves, int64_t now_ns)
{
    const HrVmRecord *found[16];

    return HrVmSet_FindServing(set, self_serves, "", now_ns, found, 16);
}

/* Guards against sending callers to a gateway that is leaving, not ready or
 * silent, and against applying a late hello of an earlier process. */
static void
test_only_serving_gateways_are_returned(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    const HrVmStatus not_ready = {0};

    assert_int_equal(count_serving(set, true, START_NS), 1);
    assert_int_equal(count_serving(set, false, START_NS), 0);
    receive_hello(set, "a", 5, &serving, START_NS);
    receive_hello(set, "b", 1, &leaving, START_NS);
    receive_hello(set, "c", 1, &not_ready, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    receive_hello(set, "a", 4, &leaving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    receive_hello(set, "a", 6, &leaving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 1);
    receive_hello(set, "a", 7, &serving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    receive_hello(set, "b", 2, &serving, START_NS + 3 * HR_NS_PER_S);
    assert_int_equal(count_serving(set, true, START_NS + 3 * HR_NS_PER_S), 2);
}

/* Guards against ignoring the hellos of a gateway that was restarted after its
 * wall clock had jumped back: they look like those of an earlier process until
 * the clock has caught up. Found by test-gateway-random, seed 1. */
static void
test_restart_after_the_clock_jumped_back(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmRecord before = make_vm_record("a", 50);
    int64_t now_ns = START_NS;

    receive_hello(set, "a", 50, &serving, now_ns);
    now_ns += HR_NS_PER_S / 2;
    receive_hello(set, "a", 40, &serving, now_ns);
    assert_int_equal(HrVmSet_GetVm(set, 0)->record.incarnation, 50);
    now_ns += HR_NS_PER_S;
    assert_int_equal(count_serving(set, false, now_ns), 0);
    receive_hello(set, "a", 40, &serving, now_ns);
    assert_int_equal(count_serving(set, false, now_ns), 1);
    /* Others may still report the earlier process. */
    HrVmSet_AddReported(set, &before);
    HrVmSet_BeginList(set);
    HrVmSet_ApplyListed(set, &before);
    HrVmSet_EndList(set, now_ns);
    now_ns += HR_NS_PER_S / 2;
    receive_hello(set, "a", 40, &serving, now_ns);
    assert_int_equal(HrVmSet_GetVm(set, 0)->record.incarnation, 40);
    assert_int_equal(count_serving(set, false, now_ns), 1);
}

/* Guards against a daemon that returns only itself when it is partitioned from
 * the other gateways, and against returning listed gateways that have left. */
static void
test_partitioned_gateway_returns_listed(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmRecord other = make_vm_record("a", 1);

    HrVmSet_BeginList(set);
    HrVmSet_ApplyListed(set, &other);
    HrVmSet_EndList(set, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    receive_hello(set, "b", 1, &serving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS), 2);
    /* All are silent. */
    assert_int_equal(count_serving(set, true, START_NS + 5 * HR_NS_PER_S), 2);
    receive_hello(set, "a", 1, &leaving, START_NS);
    assert_int_equal(count_serving(set, true, START_NS + 5 * HR_NS_PER_S), 1);
}

/* Load pattern: the same number of callers in each data centre, but different
 * numbers of gateways. Guards against sending callers to another data centre
 * while theirs has a gateway, and to none when it has lost its only one. */
static void
test_callers_stay_in_their_data_centre(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmRecord far = make_vm_record("far", 1);
    const HrVmRecord *found[4];

    snprintf(far.data_centre, sizeof(far.data_centre), "b");
    HrVmSet_HandleHello(set, &far, &serving, START_NS);
    assert_int_equal(HrVmSet_FindServing(set, true, "b", START_NS, found, 4),
                     1);
    assert_string_equal(found[0]->name, "far");
    assert_int_equal(HrVmSet_FindServing(set, true, "a", START_NS, found, 4),
                     1);
    assert_string_equal(found[0]->name, "m");
    assert_int_equal(HrVmSet_FindServing(set, true, "c", START_NS, found, 4),
                     2);
    HrVmSet_HandleHello(set, &far, &leaving, START_NS);
    assert_int_equal(HrVmSet_FindServing(set, true, "b", START_NS, found, 4),
                     1);
    assert_string_equal(found[0]->name, "m");
}

/* Guards against a daemon that takes a larger share of the limits right after
 * another gateway was lost, whose requests may still be running, or before it
 * knows the other gateways. */
static void
test_lost_gateway_counts_until_timeout(void **state)
{
    HrVmSet *set = create_set(*state, 1), *fresh = create_set(*state, 4);
    HrVmRecord other = make_vm_record("other", 5);

    assert_int_equal(HrVmSet_CountSharing(fresh, START_NS), 4);
    HrVmSet_BeginList(set);
    HrVmSet_ApplyListed(set, &other);
    HrVmSet_EndList(set, START_NS);
    assert_int_equal(HrVmSet_CountSharing(set, START_NS), 2);
    HrVmSet_BeginList(set);
    HrVmSet_EndList(set, START_NS);
    assert_int_equal(
        HrVmSet_CountSharing(set, START_NS + SHARING_TIMEOUT_NS - 1), 2);
    assert_int_equal(HrVmSet_CountSharing(set, START_NS + SHARING_TIMEOUT_NS),
                     1);
    receive_hello(set, "other", 5, &serving, START_NS + SHARING_TIMEOUT_NS);
    assert_int_equal(HrVmSet_CountSharing(set, START_NS + SHARING_TIMEOUT_NS),
                     2);
}

/* Guards against hellos to gateways that were replaced long ago. They would
 * also lengthen the period of the hellos to all others. */
static void
test_replaced_gateways_are_removed(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    int64_t now_ns = START_NS;
    uint32_t i;

    for (i = 0; i < 200; i++) {
        char name[16];

        now_ns += 30 * HR_NS_PER_S;
        snprintf(name, sizeof(name), "vm%u", i);
        receive_hello(set, name, 1, &serving, now_ns);
        HrVmSet_BeginList(set);
        HrVmSet_EndList(set, now_ns);
    }
    assert_non_null(HrVmSet_GetVm(set, 0));
    assert_null(HrVmSet_GetVm(set, 8));
    assert_true(HrVmSet_GetHelloPeriodNs(set) <= HR_NS_PER_S);
    assert_int_equal(count_serving(set, true, now_ns), 2);
}

/* Guards against two daemons with reader rank 0, and against none when the
 * first reader cannot reach the store, becomes silent or leaves. */
static void
test_reader_rank(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmStatus without_store = serving;

    without_store.reaches_store = false;
    receive_hello(set, "a", 1, &serving, START_NS);
    receive_hello(set, "b", 1, &serving, START_NS);
    receive_hello(set, "z", 1, &serving, START_NS);
    assert_int_equal(HrVmSet_GetReaderRank(set, true, START_NS), 2);
    receive_hello(set, "a", 1, &without_store, START_NS);
    assert_int_equal(HrVmSet_GetReaderRank(set, true, START_NS), 1);
    receive_hello(set, "b", 1, &leaving, START_NS);
    assert_int_equal(HrVmSet_GetReaderRank(set, true, START_NS), 0);
    receive_hello(set, "a", 1, &serving, START_NS);
    assert_int_equal(HrVmSet_GetReaderRank(set, true, START_NS), 1);
    assert_int_equal(
        HrVmSet_GetReaderRank(set, true, START_NS + 3 * HR_NS_PER_S), 0);
}

/* Guards against all daemons calling a store that is down over and over
 * because none of them reaches it and each ranks itself first, and against no
 * daemon calling it. */
static void
test_reader_rank_without_store(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    HrVmStatus without_store = serving;

    without_store.reaches_store = false;
    assert_int_equal(HrVmSet_GetReaderRank(set, false, START_NS), 0);
    receive_hello(set, "a", 1, &without_store, START_NS);
    receive_hello(set, "b", 1, &without_store, START_NS);
    receive_hello(set, "z", 1, &without_store, START_NS);
    assert_int_equal(HrVmSet_GetReaderRank(set, false, START_NS), 2);
    assert_int_equal(HrVmSet_GetReaderRank(set, true, START_NS), 0);
    receive_hello(set, "z", 1, &serving, START_NS);
    assert_int_equal(HrVmSet_GetReaderRank(set, false, START_NS), 3);
}

/* Load pattern: all VMs lose power and start again. Guards against callers
 * that wait because no daemon has read the store yet, and against all daemons
 * reading it at the same moment. */
static void
test_seeds_read_first(void **state)
{
    HrRng rng = HrRng_FromSeed(1);
    uint32_t early = 0, i;

    (void)state;
    for (i = 0; i < 100; i++) {
        assert_int_equal(HrListSync_GetFirstDelayNs(true, &rng), 0);
        early += HrListSync_GetFirstDelayNs(false, &rng) < 20 * HR_NS_PER_MS;
    }
    assert_true(early < 30);
}

/* Load pattern: a store that is down for 10 s while many daemons call it.
 * Guards against a number of calls that grows in proportion to the daemons. */
static void
test_calls_to_a_store_that_is_down(void **state)
{
    const uint32_t sizes[] = {4, 32, 1900};
    uint32_t calls[3] = {0}, i, rank;

    (void)state;
    for (i = 0; i < 3; i++) {
        for (rank = 0; rank < sizes[i]; rank++) {
            int64_t now_ns = START_NS, end_ns = START_NS + 10 * HR_NS_PER_S;
            HrListSync sync;

            HrListSync_Init(&sync, START_NS, 0);
            HrListSync_RecordList(&sync, START_NS, START_NS);
            while ((now_ns = HrListSync_GetNextReadNs(&sync, rank)) < end_ns) {
                calls[i]++;
                HrListSync_RecordFailure(&sync, now_ns);
            }
        }
    }
    /* The first reader calls at least once a second. */
    assert_true(calls[0] >= 10);
    /* Apart from the first call of each daemon: eight times as many daemons
     * make at most three times as many calls, and a larger number of daemons
     * makes no more calls than that. */
    assert_true(calls[1] - sizes[1] <= 3 * calls[0]);
    assert_true(calls[2] - sizes[2] <= calls[1]);
}

/* Guards against a gateway that takes over the share of the others when it is
 * partitioned from them and from the store: they still serve callers. Only a
 * list that lacks them shows that they were removed. */
static void
test_sharing_count_while_partitioned(void **state)
{
    HrVmSet *set = create_set(*state, 1);
    int64_t now_ns = START_NS;

    receive_hello(set, "a", 1, &serving, now_ns);
    receive_hello(set, "b", 1, &serving, now_ns);
    now_ns += 60 * HR_NS_PER_S;
    assert_int_equal(HrVmSet_CountSharing(set, now_ns), 3);
    HrVmSet_BeginList(set);
    HrVmSet_EndList(set, now_ns);
    now_ns += 60 * HR_NS_PER_S;
    assert_int_equal(HrVmSet_CountSharing(set, now_ns), 1);
}

/* Guards against counting a gateway for ever after its VM was removed: the
 * list is read to find out only if a gateway is silent. */
static void
test_silent_gateways_are_detected(void **state)
{
    HrVmSet *set = create_set(*state, 1);

    assert_false(HrVmSet_HasSilentVm(set, START_NS));
    receive_hello(set, "a", 1, &serving, START_NS);
    assert_false(HrVmSet_HasSilentVm(set, START_NS));
    assert_true(HrVmSet_HasSilentVm(set, START_NS + 3 * HR_NS_PER_S));
}

/* Guards against a list that no daemon reads, and against all daemons reading
 * it from the store although another one has sent it. */
static void
test_one_reader_updates_the_others(void **state)
{
    HrListSync sync;
    int64_t due_ns;

    (void)state;
    HrListSync_Init(&sync, START_NS, 100);
    assert_int_equal(HrListSync_GetNextReadNs(&sync, 0), START_NS + 100);
    assert_int_equal(
        HrListSync_HandlePeerList(&sync, START_NS, true, START_NS),
        HR_LIST_SYNC_FETCH);
    HrListSync_RecordList(&sync, START_NS, START_NS);
    due_ns = HrListSync_GetNextReadNs(&sync, 0);
    assert_true(due_ns > START_NS && due_ns <= START_NS + 2 * HR_NS_PER_S);
    assert_true(HrListSync_GetNextReadNs(&sync, 1) > due_ns);
    /* Even the last reader reads soon if no daemon reports the list. */
    assert_true(HrListSync_GetNextReadNs(&sync, 1000) <=
                START_NS + 2 * HR_NS_PER_S);
    assert_int_equal(
        HrListSync_HandlePeerList(&sync, START_NS, true, START_NS),
        HR_LIST_SYNC_IGNORE);
    assert_int_equal(
        HrListSync_HandlePeerList(&sync, START_NS + 5, true, START_NS),
        HR_LIST_SYNC_CONFIRM);
    assert_int_equal(HrListSync_GetNextReadNs(&sync, 0), due_ns + 5);
    assert_int_equal(
        HrListSync_HandlePeerList(&sync, START_NS + 9, false, START_NS),
        HR_LIST_SYNC_FETCH);
    assert_int_equal(HrListSync_GetNextReadNs(&sync, 0), due_ns + 5);
}

/* Guards against keeping missing entries after only this daemon could not
 * reach the store, and against dropping them at once after no daemon could. */
static void
test_outage_detection(void **state)
{
    const int64_t s = HR_NS_PER_S;
    HrListSync sync;

    (void)state;
    HrListSync_Init(&sync, START_NS, 0);
    HrListSync_RecordList(&sync, START_NS, START_NS);
    assert_true(HrListSync_GetTimeSinceRecoveryNs(&sync, START_NS) ==
                HR_TIME_NEVER);
    HrListSync_RecordFailure(&sync, START_NS + s);
    HrListSync_HandlePeerList(&sync, START_NS + 2 * s, true, START_NS + 2 * s);
    HrListSync_RecordFailure(&sync, START_NS + 3 * s);
    HrListSync_RecordList(&sync, START_NS + 4 * s, START_NS + 4 * s);
    assert_true(HrListSync_GetTimeSinceRecoveryNs(&sync, START_NS + 4 * s) ==
                HR_TIME_NEVER);
    HrListSync_RecordList(&sync, START_NS + 9 * s, START_NS + 9 * s);
    assert_true(HrListSync_GetTimeSinceRecoveryNs(&sync, START_NS + 10 * s) ==
                s);
    HrListSync_HandlePeerList(&sync, START_NS + 20 * s, true,
                              START_NS + 20 * s);
    assert_true(HrListSync_GetTimeSinceRecoveryNs(&sync, START_NS + 20 * s) ==
                0);
}

/* Guards against treating a pause of this process as an outage of the store:
 * servers that left in the meantime would stay in use. Found by
 * test-gateway-random (HR_KINDS=0x13, seed 302). */
static void
test_own_pause_is_no_outage(void **state)
{
    const int64_t later_ns = START_NS + 6 * HR_NS_PER_S;
    HrListSync sync;

    (void)state;
    HrListSync_Init(&sync, START_NS, 0);
    HrListSync_RecordList(&sync, START_NS, START_NS);
    HrListSync_RecordPause(&sync, 5 * HR_NS_PER_S);
    HrListSync_RecordList(&sync, later_ns, later_ns);
    assert_true(HrListSync_GetTimeSinceRecoveryNs(&sync, later_ns) ==
                HR_TIME_NEVER);
    /* A later outage still counts. */
    HrListSync_RecordList(&sync, 2 * later_ns, 2 * later_ns);
    assert_int_equal(HrListSync_GetTimeSinceRecoveryNs(&sync, 2 * later_ns),
                     0);
}

/* Guards against removed servers that stay in use for up to a read period too
 * long, because the list is not read when the grace period for expired entries
 * ends. Found by test-gateway-random, as requests to a server that had left.
 */
static void
test_list_is_read_when_the_grace_ends(void **state)
{
    const int64_t recovered_ns = START_NS + 5 * HR_NS_PER_S;
    const int64_t ends_ns = recovered_ns + HR_LIST_SYNC_RECOVERY_GRACE_NS;
    HrListSync sync;

    (void)state;
    HrListSync_Init(&sync, START_NS, 0);
    HrListSync_RecordList(&sync, START_NS, START_NS);
    HrListSync_RecordList(&sync, recovered_ns, recovered_ns);
    assert_true(HrListSync_GetNextReadNs(&sync, 0) < ends_ns);
    HrListSync_RecordList(&sync, ends_ns - HR_NS_PER_S / 2, ends_ns);
    assert_int_equal(HrListSync_GetNextReadNs(&sync, 0), ends_ns);
    /* The other daemons get the list from the first reader. */
    assert_true(HrListSync_GetNextReadNs(&sync, 1) > ends_ns);
    HrListSync_RecordList(&sync, ends_ns, ends_ns);
    assert_true(HrListSync_GetNextReadNs(&sync, 0) > ends_ns);
}

/* Guards against calls without a delay between them while the store is down.
 */
static void
test_failed_reads_are_spaced(void **state)
{
    HrListSync sync;
    int64_t now_ns = START_NS, last_ns = 0;
    uint32_t i;

    (void)state;
    HrListSync_Init(&sync, START_NS, 0);
    for (i = 0; i < 20; i++) {
        HrListSync_RecordFailure(&sync, now_ns);
        last_ns = HrListSync_GetNextReadNs(&sync, 0) - now_ns;
        assert_true(last_ns >= 100 * HR_NS_PER_MS);
        assert_true(last_ns <= HR_NS_PER_S);
        now_ns += last_ns;
    }
    assert_true(last_ns >= 700 * HR_NS_PER_MS);
    HrListSync_RecordList(&sync, now_ns, now_ns);
    assert_true(HrListSync_GetNextReadNs(&sync, 0) > now_ns);
}

#define TRANSFER_VMS 33
#define LINK_BYTES_PER_MS 6250 /* 50 Mbit/s */
#define DOCUMENT_BYTES 600000

/* A gateway that fetches a new document. */
typedef struct Receiver {
    bool has_document;
    uint32_t source; /* of its transfer; TRANSFER_VMS: none */
    int64_t remaining_bytes;
    int64_t started_ms;
} Receiver;

/* Returns the number of gateways that fetch the document from a source. */
static uint32_t
count_transfers(const Receiver *vms, uint32_t source)
{
    uint32_t count = 0, i;

    for (i = 0; i < TRANSFER_VMS; i++) {
        count += vms[i].source == source;
    }
    return count;
}

/* Advances each transfer by one millisecond. The transfers from one source
 * share its link. */
static void
advance_transfers(Receiver *vms, int64_t now_ms)
{
    uint32_t open[TRANSFER_VMS], i;

    for (i = 0; i < TRANSFER_VMS; i++) {
        open[i] = count_transfers(vms, i);
    }
    for (i = 0; i < TRANSFER_VMS; i++) {
        Receiver *vm = &vms[i];

        if (vm->source == TRANSFER_VMS) {
            continue;
        }
        vm->remaining_bytes -= LINK_BYTES_PER_MS / open[vm->source];
        if (vm->remaining_bytes <= 0) {
            vm->has_document = true;
        }
        if (vm->has_document ||
            now_ms - vm->started_ms >
                HR_LIST_SYNC_TRANSFER_TIMEOUT_NS / HR_NS_PER_MS) {
            vm->source = TRANSFER_VMS;
        }
    }
}

/* Load pattern: a new version of the routes with 1,400 more routes, read by
 * one of 33 gateways on links of 50 Mbit/s. Guards against all others fetching
 * it from that one at once, so that no transfer completes in time: requests on
 * the new routes then got status 404 for 7 s. */
static void
test_large_routes_spread_in_time(void **state)
{
    Receiver vms[TRANSFER_VMS];
    HrRng rng = HrRng_FromSeed(9);
    uint32_t done_count = 1, i;
    int64_t now_ms;

    (void)state;
    for (i = 0; i < TRANSFER_VMS; i++) {
        vms[i] = (Receiver){.has_document = i == 0, .source = TRANSFER_VMS};
    }
    for (now_ms = 0; done_count < TRANSFER_VMS; now_ms++) {
        assert_true(now_ms < 3000);
        for (i = 0; i < TRANSFER_VMS; i++) {
            uint32_t source = (uint32_t)HrRng_DrawBelow(&rng, TRANSFER_VMS);

            /* A hello of a random gateway arrives. */
            if (!vms[i].has_document && vms[i].source == TRANSFER_VMS &&
                vms[source].has_document &&
                HrListSync_MayStartTransfer(count_transfers(vms, source))) {
                vms[i].source = source;
                vms[i].remaining_bytes = DOCUMENT_BYTES;
                vms[i].started_ms = now_ms;
            }
        }
        advance_transfers(vms, now_ms);
        for (done_count = 0, i = 0; i < TRANSFER_VMS; i++) {
            done_count += vms[i].has_document;
        }
    }
}

/* Returns a hello that reports two other gateways. */
static HrHello
make_sample_hello(void)
{
    HrHello hello = {.sender = make_vm_record("a", 7),
                     .status = {.ready = true,
                                .watches_routes = true,
                                .routes_version = UINT64_C(1) << 40,
                                .routes_age_ns = 700 * HR_NS_PER_MS,
                                .servers_digest = UINT64_MAX,
                                .servers_age_ns = 1500 * HR_NS_PER_MS},
                     .known = {make_vm_record("b", 8), make_vm_record("c", 9)},
                     .known_count = 2};

    return hello;
}

/* Guards against fields of a hello that are lost or changed by encoding and
 * decoding it. */
static void
test_hello_round_trip(void **state)
{
    const HrHello hello = make_sample_hello();
    HrHello decoded;
    HrBytes bytes;

    assert_int_equal(HrHello_Encode(*state, &hello, &bytes), HR_OK);
    assert_int_equal(HrHello_Decode(&decoded, bytes.data, bytes.length_bytes),
                     HR_OK);
    assert_memory_equal(&decoded.sender, &hello.sender, sizeof(HrVmRecord));
    assert_memory_equal(&decoded.known, &hello.known, sizeof(hello.known));
    assert_true(decoded.status.ready && decoded.status.watches_routes);
    assert_false(decoded.status.leaving || decoded.status.reaches_store);
    assert_true(decoded.status.routes_version == hello.status.routes_version);
    assert_true(decoded.status.servers_digest == hello.status.servers_digest);
    assert_true(decoded.status.servers_age_ns == hello.status.servers_age_ns);
    assert_true(decoded.status.routes_age_ns == hello.status.routes_age_ns);
}

/* Guards against reading beyond the end of a damaged datagram, and against
 * accepting one with invalid names or addresses. */
static void
test_damaged_hello(void **state)
{
    const HrHello hello = make_sample_hello();
    HrRng rng = HrRng_FromSeed(3);
    HrBytes bytes;
    uint32_t round;

    assert_int_equal(HrHello_Encode(*state, &hello, &bytes), HR_OK);
    for (round = 0; round < ROUNDS; round++) {
        uint8_t *damaged =
            talloc_memdup(*state, bytes.data, bytes.length_bytes);
        size_t length = HrRng_DrawBelow(&rng, bytes.length_bytes + 1);
        uint32_t changes = (uint32_t)HrRng_DrawBelow(&rng, 4);
        HrHello decoded;

        while (changes-- > 0) {
            damaged[HrRng_DrawBelow(&rng, bytes.length_bytes)] =
                (uint8_t)HrRng_DrawU64(&rng);
        }
        if (HrHello_Decode(&decoded, damaged, length) == HR_OK) {
            assert_true(decoded.known_count <= HR_HELLO_KNOWN_MAX);
            assert_true(strlen(decoded.sender.name) > 0);
        }
        talloc_free(damaged);
    }
}

/* Guards against accepting a truncated record from the store. */
static void
test_vm_record_text(void **state)
{
    const HrVmRecord record = make_vm_record("a", 7);
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

/* Guards against servers that have left but are kept because the newest lists
 * did not arrive: the gap was taken for an outage of the store, although other
 * gateways reported that they read it. A gap in which none did is an outage.
 */
static void
test_lost_lists_are_no_outage(void **state)
{
    int64_t now_ns = START_NS;
    HrListSync sync;
    uint32_t i;

    (void)state;
    HrListSync_Init(&sync, START_NS, 0);
    HrListSync_RecordList(&sync, now_ns, now_ns);
    for (i = 0; i < 3; i++) {
        now_ns += HR_NS_PER_S;
        assert_int_equal(
            HrListSync_HandlePeerList(&sync, now_ns, false, now_ns),
            HR_LIST_SYNC_FETCH);
    }
    HrListSync_RecordList(&sync, now_ns, now_ns + HR_NS_PER_S / 2);
    assert_true(HrListSync_GetTimeSinceRecoveryNs(&sync, now_ns) ==
                HR_TIME_NEVER);
    now_ns += 3 * HR_NS_PER_S;
    HrListSync_HandlePeerList(&sync, now_ns, false, now_ns);
    assert_int_equal(HrListSync_GetTimeSinceRecoveryNs(&sync, now_ns), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_only_serving_gateways_are_returned),
        cmocka_unit_test(test_restart_after_the_clock_jumped_back),
        cmocka_unit_test(test_partitioned_gateway_returns_listed),
        cmocka_unit_test(test_callers_stay_in_their_data_centre),
        cmocka_unit_test(test_lost_gateway_counts_until_timeout),
        cmocka_unit_test(test_replaced_gateways_are_removed),
        cmocka_unit_test(test_reader_rank),
        cmocka_unit_test(test_reader_rank_without_store),
        cmocka_unit_test(test_seeds_read_first),
        cmocka_unit_test(test_calls_to_a_store_that_is_down),
        cmocka_unit_test(test_sharing_count_while_partitioned),
        cmocka_unit_test(test_silent_gateways_are_detected),
        cmocka_unit_test(test_one_reader_updates_the_others),
        cmocka_unit_test(test_outage_detection),
        cmocka_unit_test(test_own_pause_is_no_outage),
        cmocka_unit_test(test_list_is_read_when_the_grace_ends),
        cmocka_unit_test(test_failed_reads_are_spaced),
        cmocka_unit_test(test_large_routes_spread_in_time),
        cmocka_unit_test(test_hello_round_trip),
        cmocka_unit_test(test_damaged_hello),
        cmocka_unit_test(test_vm_record_text),
        cmocka_unit_test(test_lost_lists_are_no_outage),
    };

    return cmocka_run_group_tests(tests, TestParent_Create, TestParent_Free);
}
