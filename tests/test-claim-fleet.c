#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <talloc.h>

#include "common-claims.h"

#define SCHEDULE_COUNT 100000
#define FIRST_SEED 1
#define ALL_DAEMONS ((1U << SIM_CLAIMS_DAEMONS) - 1)
#define FAULTS_DURATION_NS (6 * HR_NS_PER_S)
#define FAULT_FREE_NS (16 * HR_NS_PER_S)

/* Schedules copies of a few requests, at random times and to random
 * daemons. */
static void
add_requests(SimClaims *sim, HrRng *rng)
{
    uint32_t request_count = 1 + (uint32_t)HrRng_DrawBelow(rng, 4), i, copy;
    /* Copies received shortly after each other are claimed concurrently; with
     * long intervals, the later ones find the records of the earlier ones. */
    int64_t copy_interval_ns =
        (HrRng_DrawBool(rng, 0.5) ? 20 : 700) * HR_NS_PER_MS;

    for (i = 0; i < request_count; i++) {
        int64_t time_ns = (int64_t)HrRng_DrawBelow(rng, 3 * HR_NS_PER_S);
        int64_t expires_ms = HrFleet_GetWallMs(SimClaims_GetFleet(sim), 0) +
                             time_ns / HR_NS_PER_MS + 500 +
                             (int64_t)HrRng_DrawBelow(rng, 8000);
        uint32_t request = SimClaims_AddRequest(sim, expires_ms);
        uint32_t copy_count =
            1 + (uint32_t)HrRng_DrawBelow(rng, SIM_CLAIMS_COPIES);

        for (copy = 0; copy < copy_count; copy++) {
            SimClaims_SendCopy(
                sim, request,
                (uint32_t)HrRng_DrawBelow(rng, SIM_CLAIMS_DAEMONS), time_ns,
                time_ns + 200 * HR_NS_PER_MS +
                    (int64_t)HrRng_DrawBelow(rng, 2 * HR_NS_PER_S));
            time_ns += HrRng_DrawExponentialNs(rng, copy_interval_ns);
        }
    }
}

/* Sets random fault rates of the network, the store and the runs. */
static void
set_fault_rates(SimClaims *sim, HrRng *rng)
{
    HrFleet *fleet = SimClaims_GetFleet(sim);
    SimClaimsFaults *faults = SimClaims_GetFaults(sim);

    fleet->loss = HrRng_DrawBool(rng, 0.5) ? 0.2 * HrRng_DrawUnit(rng) : 0;
    fleet->duplication =
        HrRng_DrawBool(rng, 0.5) ? 0.3 * HrRng_DrawUnit(rng) : 0;
    fleet->delay_mean_ns =
        HR_NS_PER_MS * (1 + (int64_t)HrRng_DrawBelow(rng, 100));
    faults->store_reply_loss =
        HrRng_DrawBool(rng, 0.5) ? 0.4 * HrRng_DrawUnit(rng) : 0;
    faults->store_late_apply =
        HrRng_DrawBool(rng, 0.5) ? 0.4 * HrRng_DrawUnit(rng) : 0;
    faults->store_failure =
        HrRng_DrawBool(rng, 0.3) ? 0.3 * HrRng_DrawUnit(rng) : 0;
    faults->decline = 0.1;
    faults->no_outcome = 0.1;
}

/* Sets a random view of each daemon, so that a partition can have several
 * owners at once. */
static void
set_random_views(SimClaims *sim, HrRng *rng)
{
    uint32_t i;

    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        SimClaims_SetView(
            sim, i, 1U << i | (uint32_t)HrRng_DrawBelow(rng, ALL_DAEMONS + 1));
    }
}

/* Crashes a daemon that is up, or restarts one that is down. */
static void
crash_or_restart_daemon(SimClaims *sim, uint32_t daemon)
{
    if (SimClaims_GetFleet(sim)->daemons[daemon].up) {
        SimClaims_CrashDaemon(sim, daemon);
    }
    else {
        SimClaims_RestartDaemon(sim, daemon);
    }
}

/* Injects one random fault, or ends one that is active. */
static void
inject_fault(SimClaims *sim, HrRng *rng)
{
    HrFleet *fleet = SimClaims_GetFleet(sim);
    uint32_t daemon = (uint32_t)HrRng_DrawBelow(rng, SIM_CLAIMS_DAEMONS);
    uint32_t other = (uint32_t)HrRng_DrawBelow(rng, SIM_CLAIMS_DAEMONS);

    switch (HrRng_DrawBelow(rng, 6)) {
    case 0:
        crash_or_restart_daemon(sim, daemon);
        break;
    case 1:
        HrFleet_PrintTrace(fleet, "daemon %u pauses", daemon);
        HrFleet_PauseDaemon(fleet, daemon,
                            fleet->now_ns +
                                HrRng_DrawExponentialNs(rng, 2 * HR_NS_PER_S));
        break;
    case 2:
        HrFleet_PrintTrace(fleet, "network %u-%u toggles", daemon, other);
        HrFleet_SetLinkCut(fleet, daemon, other,
                           !fleet->cut[daemon * fleet->daemon_count + other]);
        break;
    case 3:
        fleet->daemons[daemon].wall_offset_ms =
            (int64_t)HrRng_DrawBelow(rng, 240000) - 120000;
        HrFleet_PrintTrace(fleet, "wall clock of %u jumps", daemon);
        break;
    case 4:
        SimClaims_GetFaults(sim)->store_down =
            !SimClaims_GetFaults(sim)->store_down;
        HrFleet_PrintTrace(fleet, "store %s",
                           SimClaims_GetFaults(sim)->store_down ? "down"
                                                                : "up");
        break;
    default:
        HrFleet_PrintTrace(fleet, "view of %u changes", daemon);
        SimClaims_SetView(sim, daemon,
                          1U << daemon |
                              (uint32_t)HrRng_DrawBelow(rng, ALL_DAEMONS + 1));
        break;
    }
}

/* Ends all faults, restarts the daemons that are down, and sets the same view
 * of all daemons. */
static void
end_all_faults(SimClaims *sim)
{
    HrFleet *fleet = SimClaims_GetFleet(sim);
    SimClaimsFaults none = {0};
    uint32_t i;

    HrFleet_ClearNetworkFaults(fleet);
    *SimClaims_GetFaults(sim) = none;
    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        if (fleet->daemons[i].paused_until_ns > fleet->now_ns) {
            HrFleet_RunUntil(fleet, fleet->daemons[i].paused_until_ns);
        }
    }
    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        fleet->daemons[i].wall_offset_ms = 0;
        if (!fleet->daemons[i].up) {
            SimClaims_RestartDaemon(sim, i);
        }
    }
    for (i = 0; i < SIM_CLAIMS_DAEMONS; i++) {
        SimClaims_SetView(sim, i, ALL_DAEMONS);
    }
    HrFleet_PrintTrace(fleet, "faults end");
}

/* Runs requests under random faults, then a new one without faults. */
static SimClaims *
run_schedule(const void *parent, uint64_t seed, SimClaimsStoreKind store,
             bool trace)
{
    SimClaims *sim = SimClaims_Create(parent, seed, store);
    HrFleet *fleet = SimClaims_GetFleet(sim);
    HrRng rng = HrRng_FromSeed(~seed);
    uint32_t fault_count = (uint32_t)HrRng_DrawBelow(&rng, 12), i;

    fleet->trace = trace;
    add_requests(sim, &rng);
    set_fault_rates(sim, &rng);
    if (HrRng_DrawBool(&rng, 0.5)) {
        set_random_views(sim, &rng);
    }
    for (i = 0; i < fault_count; i++) {
        HrFleet_RunUntil(
            fleet,
            fleet->now_ns + HrRng_DrawExponentialNs(
                                &rng, FAULTS_DURATION_NS / (fault_count + 1)));
        inject_fault(sim, &rng);
    }
    end_all_faults(sim);
    HrFleet_RunUntil(fleet, fleet->now_ns + HR_NS_PER_S);
    /* The new request expires after all others: a daemon whose wall clock was
     * ahead may have dropped their records, and ids that expire before the
     * watermark are refused. */
    SimClaims_SendCopy(
        sim, SimClaims_AddRequest(sim, HrFleet_GetWallMs(fleet, 0) + 60000),
        (uint32_t)(seed % SIM_CLAIMS_DAEMONS), fleet->now_ns,
        fleet->now_ns + 2 * HR_NS_PER_S);
    HrFleet_RunUntil(fleet, fleet->now_ns + FAULT_FREE_NS);
    return sim;
}

/* Runs a schedule; returns true if all of its checks pass. */
static bool
check_schedule(uint64_t seed, bool trace)
{
    void *parent = talloc_new(NULL);
    SimClaims *sim =
        run_schedule(parent, seed, SIM_CLAIMS_STORE_SHARED, trace);
    uint32_t last = 0;
    bool ok;

    while (last + 1 < SIM_CLAIMS_REQUESTS &&
           SimClaims_GetRequest(sim, last + 1)->id[0] != '\0') {
        last++;
    }
    /* The last request, sent after the faults, must run. */
    ok =
        SimClaims_HasPassed(sim) && SimClaims_GetRequest(sim, last)->runs == 1;
    talloc_free(parent);
    return ok;
}

/* Guards against requests that run twice, false "not run" answers, changed
 * outcomes and claims that are refused forever, during crashes, pauses,
 * network partitions, loss, duplication, wall clock jumps, store outages, lost
 * and late store replies, and retries. */
static void
test_no_double_run(void **state)
{
    assert_int_equal(HrFleet_RunSeeds("claims", FIRST_SEED,
                                      HrFleet_GetScheduleCount(SCHEDULE_COUNT),
                                      check_schedule),
                     0);
}

/* Returns the number of schedules, among the first ones, that run a request
 * twice. */
static uint32_t
count_double_runs(SimClaimsStoreKind store, uint32_t schedules)
{
    uint32_t i, count = 0;

    for (i = 0; i < schedules; i++) {
        void *parent = talloc_new(NULL);

        count += SimClaims_GetDoubleRunCount(
                     run_schedule(parent, FIRST_SEED + i, store, false)) > 0;
        talloc_free(parent);
    }
    return count;
}

/* Guards against a check that cannot fail: when claims are only in the owner's
 * memory, the same schedules must run requests twice. */
static void
test_private_stores_run_twice(void **state)
{
    uint32_t count = count_double_runs(SIM_CLAIMS_STORE_PRIVATE, 1000);

    print_message(
        "claims only in owner memory: %u of 1000 schedules run twice\n",
        count);
    assert_true(count > 10);
}

/* Guards against a check that cannot fail: without compare-and-swap, the same
 * schedules must run requests twice. */
static void
test_missing_cas_runs_twice(void **state)
{
    uint32_t count = count_double_runs(SIM_CLAIMS_STORE_NO_CAS, 5000);

    print_message("no compare-and-swap: %u of 5000 schedules run twice\n",
                  count);
    assert_true(count > 3);
}

/* Runs copies without faults. Returns true if every id ran once and every
 * other copy was answered with its outcome, as with a single map of ids. */
static bool
check_no_faults(uint64_t seed, bool trace)
{
    void *parent = talloc_new(NULL);
    SimClaims *sim = SimClaims_Create(parent, seed, SIM_CLAIMS_STORE_SHARED);
    HrFleet *fleet = SimClaims_GetFleet(sim);
    HrRng rng = HrRng_FromSeed(~seed);
    uint32_t i, copy;
    bool ok = true;

    fleet->trace = trace;
    for (i = 0; i < SIM_CLAIMS_REQUESTS; i++) {
        SimClaims_AddRequest(sim, HrFleet_GetWallMs(fleet, 0) + 60000);
        for (copy = 0; copy < SIM_CLAIMS_COPIES; copy++) {
            SimClaims_SendCopy(
                sim, i, (uint32_t)HrRng_DrawBelow(&rng, SIM_CLAIMS_DAEMONS),
                (int64_t)HrRng_DrawBelow(&rng, 2 * HR_NS_PER_S),
                10 * HR_NS_PER_S);
        }
    }
    HrFleet_RunUntil(fleet, FAULT_FREE_NS);
    for (i = 0; i < SIM_CLAIMS_REQUESTS; i++) {
        const SimClaimsRequest *request = SimClaims_GetRequest(sim, i);

        ok = ok && request->runs == 1 &&
             request->recorded == SIM_CLAIMS_COPIES - 1;
    }
    ok = ok && SimClaims_HasPassed(sim);
    talloc_free(parent);
    return ok;
}

/* Guards against copies that are refused or run again although there are no
 * faults. */
static void
test_no_faults(void **state)
{
    assert_int_equal(HrFleet_RunSeeds("claims without faults", FIRST_SEED,
                                      HrFleet_GetScheduleCount(500),
                                      check_no_faults),
                     0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_no_double_run),
        cmocka_unit_test(test_private_stores_run_twice),
        cmocka_unit_test(test_missing_cas_runs_twice),
        cmocka_unit_test(test_no_faults),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
