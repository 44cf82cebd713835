#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdlib.h>

#include "common-gateway-fleet.h"

#define SCHEDULE_COUNT 1000
#define PLANTED_SCHEDULES_MAX 200

/* Runs one schedule. The bit mask HR_KINDS selects the kinds of faults, as
 * numbered in FleetSim_InjectFault; the seed chooses them if it is not set. */
static bool
run_schedule(uint64_t seed, bool trace)
{
    const char *fault_kinds = getenv("HR_KINDS");

    return FleetSim_RunSchedule(
        seed, trace,
        fault_kinds != NULL ? (uint32_t)strtoul(fault_kinds, NULL, 0) : 0,
        FLEET_PLANTED_NONE);
}

/* Guards against gateways that send requests to a server that has shut down,
 * run a request twice, at the wrong service or after its refusal, exceed the
 * limit of repeats, leave an old version of the routes in force, drop a
 * request when they stop, or have different sets of servers and gateways after
 * the faults. The faults are servers that leave, crash or are replaced,
 * outages, refusals and lost answers of the store, and gateways that are
 * killed, stopped, paused, disconnected from each other, or restarted with
 * another wall clock. HR_SEED runs one schedule with a trace, HR_SOAK=1 runs
 * 20 times as many. */
static void
test_random_schedules(void **state)
{
    (void)state;
    assert_int_equal(HrFleet_RunSeeds("gateways", 1,
                                      HrFleet_GetScheduleCount(SCHEDULE_COUNT),
                                      run_schedule),
                     0);
}

/* Guards against a checker that misses violations: it must detect each planted
 * fault in some schedule. */
static void
test_planted_faults_are_detected(void **state)
{
    FleetPlantedFault planted_fault;

    (void)state;
    for (planted_fault = FLEET_PLANTED_NONE + 1;
         planted_fault < FLEET_PLANTED_COUNT; planted_fault++) {
        uint64_t seed = 1;

        while (seed <= PLANTED_SCHEDULES_MAX &&
               FleetSim_RunSchedule(seed, false, 0, planted_fault)) {
            seed++;
        }
        print_message("planted fault %d: found by seed %llu\n",
                      (int)planted_fault, (unsigned long long)seed);
        assert_true(seed <= PLANTED_SCHEDULES_MAX);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_random_schedules),
        cmocka_unit_test(test_planted_faults_are_detected),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
