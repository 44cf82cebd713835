#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-clock.h"
#include "coord-budget.h"
#include "coord-conns.h"
#include "coord-eject.h"
#include "coord-select.h"
#include "coord-timers.h"

#define SEED UINT64_C(660001)
#define MS HR_NS_PER_MS
#define STEPS 20000

/* Guards against a budget that grants more than its share of the first
 * attempts plus one burst, or less than that share. Compares random events
 * with a plain count. */
static void
test_budget_grants_its_share(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    HrBudget budget;
    uint32_t first = 0, taken = 0, i;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    HrBudget_Init(&budget, 5);
    for (i = 0; i < STEPS; i++) {
        if (HrRng_DrawBool(&rng, 0.5)) {
            HrBudget_AddFirstAttempt(&budget);
            first++;
        }
        else {
            taken += HrBudget_TakeForRetry(&budget) ? 1 : 0;
        }
        assert_true(taken <= HR_BUDGET_BURST + 0.05 * first + 1e-6);
    }
    assert_true(taken >= 0.05 * first);
}

/* Guards against hedges that are sent while the group is overloaded, with a
 * share of 0, from the reserve of the retries, or after retries of requests
 * that servers declined have used the tokens up; and against a debt that grows
 * without bound. */
static void
test_budget_refuses_tokens(void **state)
{
    HrBudget budget;
    uint32_t i;

    (void)state;
    HrBudget_Init(&budget, 5);
    HrBudget_SetOverloaded(&budget, true);
    assert_false(HrBudget_TakeForHedge(&budget));
    HrBudget_SetOverloaded(&budget, false);
    assert_true(HrBudget_TakeForHedge(&budget));
    for (i = 0; i < 1000; i++) {
        HrBudget_ChargeRetry(&budget);
    }
    assert_false(HrBudget_TakeForHedge(&budget));
    for (i = 0; i < 221; i++) {
        HrBudget_AddFirstAttempt(&budget);
    }
    assert_false(
        HrBudget_TakeForHedge(&budget)); /* only the reserve is left */
    assert_true(HrBudget_TakeForRetry(&budget));
    for (i = 0; i < 110; i++) {
        HrBudget_AddFirstAttempt(&budget);
    }
    assert_true(HrBudget_TakeForHedge(&budget));
    HrBudget_Init(&budget, 0);
    assert_false(HrBudget_TakeForHedge(&budget));
}

/* Guards against more connections than the share of this daemon, and against
 * using an idle connection that may be dead because another one went silent.
 * Compares random events with plain counts. */
static void
test_connection_counts_match_a_model(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 1);
    HrConns conns;
    uint32_t busy = 0, idle = 0, cap = 40, i;
    int64_t now_ns = 0;
    bool silent = true;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)(SEED + 1));
    assert_int_equal(HrConns_Init(&conns, NULL, cap, 4), 0);
    for (i = 0; i < STEPS; i++) {
        now_ns += (int64_t)HrRng_DrawBelow(&rng, 20) * MS;
        if (HrRng_DrawBool(&rng, 0.5) && HrConns_HasRoom(&conns)) {
            bool must_open = HrRng_DrawBool(&rng, 0.1);
            HrConnsGrant grant = HrConns_Acquire(&conns, now_ns, must_open);

            assert_true(!silent || grant.close_idle);
            assert_true(!must_open || grant.fresh);
            idle = grant.close_idle ? 0 : idle;
            assert_true(grant.fresh || idle > 0);
            idle -= grant.fresh ? 0 : 1;
            busy++;
            silent = false;
        }
        else if (busy > 0) {
            bool closed = HrRng_DrawBool(&rng, 0.1);

            HrConns_Release(&conns, now_ns, closed);
            busy--;
            idle += closed ? 0 : 1;
        }
        if (HrRng_DrawBool(&rng, 0.02)) {
            HrConns_MarkSilent(&conns);
            silent = true;
        }
        assert_true(busy + idle <= cap / 4 - 1);
    }
    talloc_free(conns.idle_since_ns);
}

/* Guards against a share that is rounded up, so that four daemons together
 * exceed the cap. */
static void
test_connection_share_sums_to_the_cap(void **state)
{
    uint32_t cap;

    (void)state;
    for (cap = 4; cap < 200; cap++) {
        assert_true(4 * HrConns_GetShare(cap, 4) <= cap);
    }
    assert_int_equal(HrConns_GetShare(25, 4), 6);
    assert_int_equal(HrConns_GetShare(40, 4), 10);
    assert_int_equal(HrConns_GetShare(3, 4), 1);
}

/* Guards against using an idle connection that is older than HR_CONNS_IDLE_NS:
 * the server may be closing it. */
static void
test_old_idle_connections_are_not_used(void **state)
{
    HrConns conns;

    (void)state;
    assert_int_equal(HrConns_Init(&conns, NULL, 25, 4), 0);
    HrConns_Acquire(&conns, 0, false);
    HrConns_Release(&conns, 0, false);
    assert_true(HrConns_HasIdle(&conns, HR_CONNS_IDLE_NS - 1));
    assert_false(HrConns_HasIdle(&conns, HR_CONNS_IDLE_NS));
    assert_true(HrConns_Acquire(&conns, HR_CONNS_IDLE_NS, false).fresh);
    talloc_free(conns.idle_since_ns);
}

/* Guards against a silence timeout so short that ordinary stragglers are cut
 * off, or so long that no time is left for another attempt. */
static void
test_silence_timeout_follows_the_quantile(void **state)
{
    HrLatency latency;
    uint32_t i;

    (void)state;
    HrLatency_Reset(&latency);
    assert_int_equal(HrConns_GetSilenceTimeout(&latency, 200 * MS), 100 * MS);
    for (i = 0; i < 100; i++) {
        HrLatency_Record(&latency, 8 * MS, i);
    }
    assert_in_range(HrConns_GetSilenceTimeout(&latency, 200 * MS), 24 * MS,
                    26 * MS);
    assert_in_range(HrConns_GetSilenceTimeout(&latency, 30 * MS), 15 * MS,
                    15 * MS);
    assert_in_range(HrConns_GetSilenceTimeout(&latency, 11 * MS), 10 * MS,
                    11 * MS);
}

/* Guards against a free list that loses or repeats servers when they become
 * free or busy. Compares random changes with an array of flags. */
static void
test_free_list_matches_flags(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 2);
    HrFreeServers servers;
    bool flags[37] = {false};
    uint32_t indices[HR_SELECT_SAMPLE_SIZE], count = 0, i, j;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)(SEED + 2));
    HrFreeServers_Init(&servers);
    assert_int_equal(HrFreeServers_Resize(&servers, NULL, 37), 0);
    for (i = 0; i < STEPS; i++) {
        uint32_t index = (uint32_t)HrRng_DrawBelow(&rng, 37);
        bool is_free = HrRng_DrawBool(&rng, 0.4);

        count += (is_free ? 1 : 0) - (flags[index] ? 1 : 0);
        flags[index] = is_free;
        HrFreeServers_SetFree(&servers, index, is_free);
        assert_int_equal(servers.free_count, count);
        j = HrFreeServers_Sample(&servers, &rng, indices);
        assert_int_equal(
            j, count < HR_SELECT_SAMPLE_SIZE ? count : HR_SELECT_SAMPLE_SIZE);
        while (j-- > 0) {
            assert_true(flags[indices[j]]);
            assert_true(j == 0 || indices[j] != indices[j - 1]);
        }
    }
    talloc_free(servers.free_list);
    talloc_free(servers.free_pos);
}

/* Guards against load reports that are out of date, arrive out of order or are
 * absurdly high, and still decide which server is chosen. */
static void
test_old_and_absurd_reports_are_discounted(void **state)
{
    HrServerStats idle, reported;
    double plain, fresh, old, absurd;

    (void)state;
    HrServerStats_Init(&idle);
    HrServerStats_Init(&reported);
    plain = HrServerStats_EstimateLatency(&idle, 2, MS, 0, HR_NS_PER_S);
    HrServerStats_RecordReport(&reported, 2, 0, HR_NS_PER_S);
    HrServerStats_RecordReport(&reported, 90, 9, HR_NS_PER_S - 1); /* older */
    fresh = HrServerStats_EstimateLatency(&reported, 2, MS, 0, HR_NS_PER_S);
    old = HrServerStats_EstimateLatency(&reported, 2, MS, 0, 6 * HR_NS_PER_S);
    HrServerStats_RecordReport(&reported, UINT32_MAX, UINT32_MAX, HR_NS_PER_S);
    absurd = HrServerStats_EstimateLatency(&reported, 2, MS, 0, HR_NS_PER_S);
    assert_true(fresh > plain);
    assert_true(old < plain * 1.001);
    assert_true(absurd <= plain * 2.001);
}

/* Guards against choosing a slow server because it reports no load: the
 * latencies of own attempts must count. Also guards against avoiding it long
 * after it was slow. */
static void
test_own_latency_outweighs_reports_and_ages(void **state)
{
    HrServerStats slow;
    int64_t now_ns = HR_NS_PER_S;
    uint32_t i;

    (void)state;
    HrServerStats_Init(&slow);
    for (i = 0; i < 100; i++) {
        HrLatency_Record(&slow.latency, 50 * MS, now_ns);
        HrServerStats_RecordReport(&slow, 0, 0, now_ns);
    }
    assert_true(HrServerStats_EstimateLatency(&slow, 2, 5 * MS, 0, now_ns) >
                40 * MS);
    now_ns += 20 * HR_NS_PER_S;
    assert_true(HrServerStats_EstimateLatency(&slow, 2, 5 * MS, 0, now_ns) <
                6 * MS);
}

/* A group of three servers with their latencies. */
typedef struct Group {
    HrEject eject;
    HrEjectServer servers[3];
    HrLatency latencies[3];
    HrLatency all; /* latencies of the whole group */
    HrRng rng;
} Group;

static void
start_group(Group *group)
{
    uint32_t i;

    memset(group, 0, sizeof(*group));
    group->rng = HrRng_FromSeed(SEED + 3);
    HrEject_Init(&group->eject, &group->rng);
    for (i = 0; i < 3; i++) {
        HrEject_AddServer(&group->eject, &group->servers[i]);
    }
}

/* Records how an attempt at a server ended, and its latency if it
 * succeeded. */
static void
record_attempt(Group *group, uint32_t index, HrEjectResult result,
               int64_t took_ns, int64_t now_ns)
{
    if (result == HR_EJECT_SUCCESS) {
        HrLatency_Record(&group->latencies[index], took_ns, now_ns);
        HrLatency_Record(&group->all, took_ns, now_ns);
    }
    HrEject_RecordAttempt(&group->eject, &group->servers[index], result,
                          &group->latencies[index], &group->all, now_ns);
}

/* Guards against a failing server that is not ejected, one that is not
 * reinstated after a successful poll, and one that gets all its slots at once
 * after that. */
static void
test_failing_server_is_ejected_and_reinstated(void **state)
{
    Group group;
    int64_t now_ns = HR_NS_PER_S;
    uint32_t i;

    (void)state;
    start_group(&group);
    for (i = 0; i < 30; i++) {
        record_attempt(&group, i % 3,
                       i % 3 == 0 ? HR_EJECT_FAILURE : HR_EJECT_SUCCESS, MS,
                       now_ns += MS);
    }
    assert_true(group.servers[0].ejected);
    assert_false(HrEject_IsUsable(&group.servers[0], now_ns));
    HrEject_RecordPoll(&group.eject, &group.servers[0], false, now_ns,
                       now_ns + MS);
    now_ns += 2 * HR_NS_PER_S;
    HrEject_UpdateServer(&group.eject, &group.servers[0], now_ns);
    assert_true(HrEject_IsUsable(&group.servers[0], now_ns));
    assert_int_equal(HrEject_GetSlotLimit(&group.servers[0], 5, now_ns), 1);
    assert_int_equal(HrEject_GetSlotLimit(&group.servers[0], 5,
                                          now_ns + HR_EJECT_SLOW_START_NS),
                     5);
}

/* Guards against a server that is not ejected although it is far slower than
 * the others. */
static void
test_slow_server_is_ejected(void **state)
{
    Group group;
    uint32_t i;

    (void)state;
    start_group(&group);
    for (i = 0; i < 200; i++) {
        record_attempt(&group, i % 3, HR_EJECT_SUCCESS,
                       i % 3 == 0 ? 30 * MS : 3 * MS, HR_NS_PER_S + i * MS);
    }
    assert_true(group.servers[0].ejected);
    assert_false(group.servers[1].ejected);
}

/* Guards against ejecting more than one of three servers when two of them fail
 * often. */
static void
test_ejection_is_bounded(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 4);
    Group group;
    uint32_t i, j, ejected;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)(SEED + 4));
    start_group(&group);
    for (i = 0; i < STEPS; i++) {
        uint32_t index = (uint32_t)HrRng_DrawBelow(&rng, 3);
        int64_t now_ns = HR_NS_PER_S + i * MS;

        record_attempt(&group, index,
                       HrRng_DrawBool(&rng, index == 2 ? 0.1 : 0.9)
                           ? HR_EJECT_FAILURE
                           : HR_EJECT_SUCCESS,
                       MS, now_ns);
        for (j = 0, ejected = 0; j < 3; j++) {
            HrEject_UpdateServer(&group.eject, &group.servers[j], now_ns);
            ejected += group.servers[j].ejected ? 1 : 0;
        }
        assert_true(ejected <= 1);
        assert_int_equal(ejected, group.eject.ejected_count);
    }
}

/* Guards against a leaving server that gets new work again because of a late
 * report. Only a report of a newer start may end leaving, and late reports of
 * the old start may not restore it. The orders of the reports are random. */
static void
test_leaving_ends_only_with_a_new_start(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 5);
    uint32_t i;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)(SEED + 5));
    for (i = 0; i < 2000; i++) {
        HrEject eject;
        HrEjectServer server;
        bool is_current;
        uint32_t j;

        HrEject_Init(&eject, &rng);
        HrEject_AddServer(&eject, &server);
        HrEject_RecordReport(&server, 7, true, false, 100, 110, &is_current);
        for (j = 0; j < 10; j++) {
            /* Start 7 lasts until time 200. Reports of it and of the earlier
             * start 6 arrive late and in any order. */
            int64_t requested_ns = (int64_t)HrRng_DrawBelow(&rng, 200);
            uint64_t start_id = requested_ns < 50 ? 6 : 7;

            HrEject_RecordReport(&server, start_id,
                                 start_id == 7 && requested_ns >= 100, false,
                                 requested_ns, 210, &is_current);
            assert_true(HrEject_IsLeaving(&server));
        }
        HrEject_RecordReport(&server, 8, false, true, 220, 230, &is_current);
        assert_true(is_current);
        assert_false(HrEject_IsLeaving(&server));
        HrEject_RecordReport(&server, 7, true, false, 190, 240, &is_current);
        assert_false(is_current);
        assert_false(HrEject_IsLeaving(&server));
    }
}

/* Guards against timers that are due out of order, twice or not at all after
 * random changes. */
static void
test_timers_fire_in_order(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED + 6);
    HrTimerSet set;
    HrTimer timers[50] = {0}, *timer;
    int64_t now_ns = 0, next_ns, last_ns;
    uint32_t i, j;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)(SEED + 6));
    HrTimerSet_Init(&set);
    for (i = 0; i < STEPS; i++) {
        HrTimerSet_Set(&set, &timers[HrRng_DrawBelow(&rng, 50)],
                       HrRng_DrawBool(&rng, 0.2)
                           ? HR_TIME_NEVER
                           : now_ns + (int64_t)HrRng_DrawBelow(&rng, 100));
        next_ns = HR_TIME_NEVER;
        for (j = 0; j < 50; j++) {
            if (timers[j].is_set && timers[j].time_ns < next_ns) {
                next_ns = timers[j].time_ns;
            }
        }
        assert_true(HrTimerSet_GetNextTime(&set) == next_ns);
        now_ns += (int64_t)HrRng_DrawBelow(&rng, 5);
        last_ns = 0;
        while ((timer = HrTimerSet_PopDue(&set, now_ns)) != NULL) {
            assert_true(timer->time_ns >= last_ns);
            assert_true(timer->time_ns <= now_ns);
            last_ns = timer->time_ns;
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_budget_grants_its_share),
        cmocka_unit_test(test_budget_refuses_tokens),
        cmocka_unit_test(test_connection_counts_match_a_model),
        cmocka_unit_test(test_connection_share_sums_to_the_cap),
        cmocka_unit_test(test_old_idle_connections_are_not_used),
        cmocka_unit_test(test_silence_timeout_follows_the_quantile),
        cmocka_unit_test(test_free_list_matches_flags),
        cmocka_unit_test(test_old_and_absurd_reports_are_discounted),
        cmocka_unit_test(test_own_latency_outweighs_reports_and_ages),
        cmocka_unit_test(test_failing_server_is_ejected_and_reinstated),
        cmocka_unit_test(test_slow_server_is_ejected),
        cmocka_unit_test(test_ejection_is_bounded),
        cmocka_unit_test(test_leaving_ends_only_with_a_new_start),
        cmocka_unit_test(test_timers_fire_in_order),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
