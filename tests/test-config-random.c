#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <talloc.h>

#include <cmocka.h>

#include "common-config-sim.h"

/* Number of schedules. A schedule is one simulation with random edits and
 * faults, which its seed determines. */
#define SCHEDULES 20000
#define SEED UINT64_C(46000000)

/* Returns the number of schedules to run, 20 times as many if HR_SOAK is
 * set. */
static uint64_t
get_schedule_count(void)
{
    return getenv("HR_SOAK") == NULL ? SCHEDULES : 20 * SCHEDULES;
}

/* Returns random faults for a schedule. About one schedule in twelve has
 * none. */
static SimFaults
pick_faults(HrRng *rng)
{
    SimFaults faults = {.message_delay_ns = 5 * HR_NS_PER_MS,
                        .store.delay_ns = 5 * HR_NS_PER_MS};
    bool network = HrRng_DrawBool(rng, 0.5), store = HrRng_DrawBool(rng, 0.7);

    if (network) {
        faults.message_loss = 0.2;
        faults.message_duplication = 0.2;
        faults.message_delay_ns = 400 * HR_NS_PER_MS;
        faults.partitions = true;
    }
    if (store) {
        faults.store.request_loss = 0.1;
        faults.store.reply_loss = 0.25;
        faults.store.write_duplication = 0.2;
        faults.store.delay_ns =
            (int64_t)(1 + HrRng_DrawBelow(rng, 700)) * HR_NS_PER_MS;
        faults.store.outages = true;
    }
    faults.one_data_centre = HrRng_DrawBool(rng, 0.5);
    faults.restarts = HrRng_DrawBool(rng, 0.3);
    /* An accepted edit may be held only by one daemon and the store. If that
     * daemon restarts and the store returns to an older value, the edit is
     * lost, so restarts and rollbacks are not combined. */
    faults.rollbacks = !faults.restarts && HrRng_DrawBool(rng, 0.2);
    return faults;
}

/* Repeats a random edit of unknown outcome on a random daemon, like an
 * operator who received no answer. */
static void
repeat_random_edit(Sim *sim)
{
    uint32_t daemon = (uint32_t)HrRng_DrawBelow(&sim->rng, sim->daemon_count);
    uint32_t index;

    if (sim->edit_count == 0 ||
        HrConfig_CheckEditable(sim->daemons[daemon].config, NULL) != HR_OK) {
        return;
    }
    index = (uint32_t)HrRng_DrawBelow(&sim->rng, sim->edit_count);
    if (sim->edits[index].result == HR_EDIT_UNKNOWN) {
        Sim_RepeatEdit(sim, index, daemon);
    }
}

/* Starts or repeats an edit, toggles an outage or partition, or restarts a
 * daemon, at random. */
static void
start_random_action(Sim *sim)
{
    uint32_t daemon = (uint32_t)HrRng_DrawBelow(&sim->rng, sim->daemon_count);

    switch (HrRng_DrawBelow(&sim->rng, 8)) {
    case 0:
        repeat_random_edit(sim);
        break;
    case 1:
        sim->store->outage = sim->faults.store.outages && !sim->store->outage;
        break;
    case 2:
        if (sim->faults.partitions) {
            sim->daemons[daemon].cut_off = !sim->daemons[daemon].cut_off;
        }
        break;
    case 3:
        if (sim->faults.restarts) {
            Sim_RestartDaemon(sim, daemon);
        }
        break;
    default:
        Sim_StartRandomEdit(sim);
        break;
    }
}

/* Runs random actions, with up to 0.9 s of virtual time before each. */
static void
run_random_actions(Sim *sim, uint32_t action_count)
{
    uint32_t i;

    for (i = 0; i < action_count; i++) {
        Sim_RunUntil(sim,
                     sim->now_ns + (int64_t)HrRng_DrawBelow(&sim->rng, 900) *
                                       HR_NS_PER_MS);
        start_random_action(sim);
    }
}

/* Rolls the store back after every daemon has received its newest values, then
 * runs random edits and a restore. */
static void
run_rollback(Sim *sim)
{
    SimFaults faults = sim->faults;
    int target;

    Sim_StopFaults(sim);
    Sim_RunUntil(sim, sim->now_ns + 10 * HR_NS_PER_S);
    sim->faults = faults;
    if (sim->store->current_commit < 1) {
        return;
    }
    target = (int)HrRng_DrawBelow(&sim->rng,
                                  (uint64_t)sim->store->current_commit + 1) -
             1;
    SimStore_RollBack(sim->store, target);
    run_random_actions(sim, 6);
    Sim_StopFaults(sim);
    Sim_RunUntil(sim, sim->now_ns + 10 * HR_NS_PER_S);
    Sim_StartRestore(sim,
                     (uint32_t)HrRng_DrawBelow(&sim->rng, sim->daemon_count));
    Sim_RunUntil(sim, sim->now_ns + 10 * HR_NS_PER_S);
    SIM_CHECK(sim, sim->edits[sim->edit_count - 1].result == HR_EDIT_ACCEPTED);
    sim->faults = faults;
    run_random_actions(sim, 4);
}

/* Runs one schedule, checks its end and adds the counts of its outcomes to
 * totals. */
static void
run_schedule(uint64_t seed, uint64_t *totals)
{
    HrRng rng = HrRng_FromSeed(seed);
    SimFaults faults = pick_faults(&rng);
    uint32_t daemons = 1 + (uint32_t)HrRng_DrawBelow(&rng, 5), i;
    Sim *sim = Sim_Create(seed, daemons, &faults);

    run_random_actions(sim, 10);
    if (faults.rollbacks) {
        run_rollback(sim);
    }
    Sim_StopFaults(sim);
    Sim_RunUntil(sim, sim->now_ns + 10 * HR_NS_PER_S);
    Sim_CheckConverged(sim);
    Sim_CheckOutcomes(sim);
    for (i = 0; i < 4; i++) {
        totals[i] += sim->outcome_counts[i];
    }
    talloc_free(sim);
}

/* Guards against an accepted edit that is lost, applied twice or reported with
 * a wrong outcome, against a daemon whose revision decreases, and against one
 * that does not converge after the faults have ended. */
static void
test_random_schedules_match_model(void **state)
{
    uint64_t totals[4] = {0}, i, count = get_schedule_count();

    (void)state;
    print_message("seeds %llu to %llu\n", (unsigned long long)SEED,
                  (unsigned long long)(SEED + count - 1));
    for (i = 0; i < count; i++) {
        run_schedule(SEED + i, totals);
    }
    print_message("%llu schedules: %llu accepted, %llu conflicts, %llu "
                  "refused, %llu unknown\n",
                  (unsigned long long)count,
                  (unsigned long long)totals[HR_EDIT_ACCEPTED],
                  (unsigned long long)totals[HR_EDIT_CONFLICT],
                  (unsigned long long)totals[HR_EDIT_REFUSED],
                  (unsigned long long)totals[HR_EDIT_UNKNOWN]);
    for (i = 0; i < 4; i++) {
        assert_true(totals[i] > 0);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_random_schedules_match_model),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
