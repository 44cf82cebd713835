#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <talloc.h>

#include "common-claims.h"

#define SCHEDULES 100000
#define FIRST_SEED 1
#define ALL_DAEMONS ((1U << HR_CLAIMS_DAEMONS) - 1)
#define FAULTS_DURATION_NS (6 * HR_NS_PER_S)
#define FAULT_FREE_NS (16 * HR_NS_PER_S)

/* Schedules the copies of a few requests at random times and daemons. */
static void
add_requests(HrClaims *claims, HrRng *rng)
{
    uint32_t requests = 1 + (uint32_t)HrRng_DrawBelow(rng, 4), i, copy;
    /* Copies that arrive close together are claimed at the same time; those
     * that arrive far apart find the records of the earlier ones. */
    int64_t gap_ns = (HrRng_DrawBool(rng, 0.5) ? 20 : 700) * HR_NS_PER_MS;

    for (i = 0; i < requests; i++) {
        int64_t time_ns = (int64_t)HrRng_DrawBelow(rng, 3 * HR_NS_PER_S);
        int64_t expires_ms = HrFleet_GetWallMs(HrClaims_GetFleet(claims), 0) +
                             time_ns / HR_NS_PER_MS + 500 +
                             (int64_t)HrRng_DrawBelow(rng, 8000);
        uint32_t request = HrClaims_AddRequest(claims, expires_ms);
        uint32_t copies = 1 + (uint32_t)HrRng_DrawBelow(rng, HR_CLAIMS_COPIES);

        for (copy = 0; copy < copies; copy++) {
            HrClaims_SendCopy(
                claims, request,
                (uint32_t)HrRng_DrawBelow(rng, HR_CLAIMS_DAEMONS), time_ns,
                time_ns + 200 * HR_NS_PER_MS +
                    (int64_t)HrRng_DrawBelow(rng, 2 * HR_NS_PER_S));
            time_ns += HrRng_DrawExponentialNs(rng, gap_ns);
        }
    }
}

/* Sets random fault rates of the network and of the store. */
static void
set_fault_rates(HrClaims *claims, HrRng *rng)
{
    HrFleet *fleet = HrClaims_GetFleet(claims);
    HrClaimsFaults *faults = HrClaims_GetFaults(claims);

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

/* Sets a random view for each daemon, so that partitions have several owners
 * at once. */
static void
set_random_views(HrClaims *claims, HrRng *rng)
{
    uint32_t i;

    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        HrClaims_SetView(claims, i,
                         1U << i |
                             (uint32_t)HrRng_DrawBelow(rng, ALL_DAEMONS + 1));
    }
}

static void
crash_or_restart_daemon(HrClaims *claims, uint32_t daemon)
{
    if (HrClaims_GetFleet(claims)->daemons[daemon].up) {
        HrClaims_CrashDaemon(claims, daemon);
    }
    else {
        HrClaims_RestartDaemon(claims, daemon);
    }
}

/* Injects one random fault, or ends one that is active. */
static void
inject_fault(HrClaims *claims, HrRng *rng)
{
    HrFleet *fleet = HrClaims_GetFleet(claims);
    uint32_t daemon = (uint32_t)HrRng_DrawBelow(rng, HR_CLAIMS_DAEMONS);
    uint32_t other = (uint32_t)HrRng_DrawBelow(rng, HR_CLAIMS_DAEMONS);

    switch (HrRng_DrawBelow(rng, 6)) {
    case 0:
        crash_or_restart_daemon(claims, daemon);
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
        HrClaims_GetFaults(claims)->store_down =
            !HrClaims_GetFaults(claims)->store_down;
        HrFleet_PrintTrace(fleet, "store %s",
                           HrClaims_GetFaults(claims)->store_down ? "down"
                                                                  : "up");
        break;
    default:
        HrFleet_PrintTrace(fleet, "view of %u changes", daemon);
        HrClaims_SetView(claims, daemon,
                         1U << daemon |
                             (uint32_t)HrRng_DrawBelow(rng, ALL_DAEMONS + 1));
        break;
    }
}

/* Ends every fault and gives all daemons the same view. */
static void
end_all_faults(HrClaims *claims)
{
    HrFleet *fleet = HrClaims_GetFleet(claims);
    HrClaimsFaults none = {0};
    uint32_t i;

    HrFleet_ClearNetworkFaults(fleet);
    *HrClaims_GetFaults(claims) = none;
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        if (fleet->daemons[i].paused_until_ns > fleet->now_ns) {
            HrFleet_RunUntil(fleet, fleet->daemons[i].paused_until_ns);
        }
    }
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        fleet->daemons[i].wall_offset_ms = 0;
        if (!fleet->daemons[i].up) {
            HrClaims_RestartDaemon(claims, i);
        }
    }
    for (i = 0; i < HR_CLAIMS_DAEMONS; i++) {
        HrClaims_SetView(claims, i, ALL_DAEMONS);
    }
    HrFleet_PrintTrace(fleet, "faults end");
}

/* Runs requests under random faults, then a new one without faults. */
static HrClaims *
run_schedule(const void *parent, uint64_t seed, HrClaimsStoreKind store,
             bool trace)
{
    HrClaims *claims = HrClaims_Create(parent, seed, store);
    HrFleet *fleet = HrClaims_GetFleet(claims);
    HrRng rng = HrRng_FromSeed(~seed);
    uint32_t faults = (uint32_t)HrRng_DrawBelow(&rng, 12), i;

    fleet->trace = trace;
    add_requests(claims, &rng);
    set_fault_rates(claims, &rng);
    if (HrRng_DrawBool(&rng, 0.5)) {
        set_random_views(claims, &rng);
    }
    for (i = 0; i < faults; i++) {
        HrFleet_RunUntil(fleet, fleet->now_ns + HrRng_DrawExponentialNs(
                                                    &rng, FAULTS_DURATION_NS /
                                                              (faults + 1)));
        inject_fault(claims, &rng);
    }
    end_all_faults(claims);
    HrFleet_RunUntil(fleet, fleet->now_ns + HR_NS_PER_S);
    /* The new request expires after all others: a daemon whose wall clock was
     * ahead may have dropped their records, and ids that expire before the
     * watermark are refused. */
    HrClaims_SendCopy(
        claims,
        HrClaims_AddRequest(claims, HrFleet_GetWallMs(fleet, 0) + 60000),
        (uint32_t)(seed % HR_CLAIMS_DAEMONS), fleet->now_ns,
        fleet->now_ns + 2 * HR_NS_PER_S);
    HrFleet_RunUntil(fleet, fleet->now_ns + FAULT_FREE_NS);
    return claims;
}

/* Returns true if all checks of a schedule pass. */
static bool
check_schedule(uint64_t seed, bool trace)
{
    void *parent = talloc_new(NULL);
    HrClaims *claims =
        run_schedule(parent, seed, HR_CLAIMS_STORE_SHARED, trace);
    uint32_t last = 0;
    bool ok;

    while (last + 1 < HR_CLAIMS_IDS &&
           HrClaims_GetRequest(claims, last + 1)->id[0] != '\0') {
        last++;
    }
    /* The new request must run: claims still work after the faults. */
    ok = HrClaims_HavePassed(claims) &&
         HrClaims_GetRequest(claims, last)->runs == 1;
    talloc_free(parent);
    return ok;
}

/* Guards against double runs, false "not run" answers, changed outcomes and
 * claims that stay blocked, under crashes, pauses, network partitions, loss,
 * duplication, wall clock jumps, store outages, lost and late store replies,
 * and retries. */
static void
test_no_double_run(void **state)
{
    assert_int_equal(HrFleet_RunSeeds("claims", FIRST_SEED,
                                      HrFleet_GetScheduleCount(SCHEDULES),
                                      check_schedule),
                     0);
}

/* Returns how many of the first schedules run some request twice. */
static uint32_t
count_double_runs(HrClaimsStoreKind store, uint32_t schedules)
{
    uint32_t i, count = 0;

    for (i = 0; i < schedules; i++) {
        void *parent = talloc_new(NULL);

        count += HrClaims_GetDoubleRunCount(
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
    uint32_t count = count_double_runs(HR_CLAIMS_STORE_PRIVATE, 1000);

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
    uint32_t count = count_double_runs(HR_CLAIMS_STORE_NO_CAS, 5000);

    print_message("no compare-and-swap: %u of 5000 schedules run twice\n",
                  count);
    assert_true(count > 3);
}

/* Guards against copies that are refused or run again when there are no
 * faults: every id must run once, and every other copy must get its outcome,
 * as from a single map of ids. */
static bool
check_no_faults(uint64_t seed, bool trace)
{
    void *parent = talloc_new(NULL);
    HrClaims *claims = HrClaims_Create(parent, seed, HR_CLAIMS_STORE_SHARED);
    HrFleet *fleet = HrClaims_GetFleet(claims);
    HrRng rng = HrRng_FromSeed(~seed);
    uint32_t i, copy;
    bool ok = true;

    fleet->trace = trace;
    for (i = 0; i < HR_CLAIMS_IDS; i++) {
        HrClaims_AddRequest(claims, HrFleet_GetWallMs(fleet, 0) + 60000);
        for (copy = 0; copy < HR_CLAIMS_COPIES; copy++) {
            HrClaims_SendCopy(
                claims, i, (uint32_t)HrRng_DrawBelow(&rng, HR_CLAIMS_DAEMONS),
                (int64_t)HrRng_DrawBelow(&rng, 2 * HR_NS_PER_S),
                10 * HR_NS_PER_S);
        }
    }
    HrFleet_RunUntil(fleet, FAULT_FREE_NS);
    for (i = 0; i < HR_CLAIMS_IDS; i++) {
        const HrClaimsRequest *request = HrClaims_GetRequest(claims, i);

        ok = ok && request->runs == 1 &&
             request->recorded == HR_CLAIMS_COPIES - 1;
    }
    ok = ok && HrClaims_HavePassed(claims);
    talloc_free(parent);
    return ok;
}

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
