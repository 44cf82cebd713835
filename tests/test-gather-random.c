#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "common-gather-naive.h"
#include "common-gather-world.h"

#define SEED UINT64_C(20261204)
#define SCHEDULES 120000
#define SOAK_FACTOR 20

static uint64_t last_seed;

/* Prints the seed of the last schedule, which is the one that failed. */
static int
print_last_seed(void **state)
{
    (void)state;
    print_message("last seed %llu\n", (unsigned long long)last_seed);
    return 0;
}

/* Returns the number of schedules to run; HR_SOAK=1 runs more. */
static uint32_t
count_schedules(void)
{
    const char *soak = getenv("HR_SOAK");

    return soak != NULL && strcmp(soak, "1") == 0 ? SCHEDULES * SOAK_FACTOR
                                                  : SCHEDULES;
}

/* Returns the shard among the parts of the answer, or NULL. */
static const HrShardPart *
find_part(const HrGatherAnswer *answer, const char *shard)
{
    uint32_t i;

    for (i = 0; i < answer->part_count; i++) {
        if (strcmp(answer->parts[i].shard, shard) == 0) {
            return &answer->parts[i];
        }
    }
    return NULL;
}

/* Returns the shard among the missing shards of the answer, or NULL. */
static const HrMissingShard *
find_missing_shard(const HrGatherAnswer *answer, const char *shard)
{
    uint32_t i;

    for (i = 0; i < answer->missing_count; i++) {
        if (strcmp(answer->missing[i].shard, shard) == 0) {
            return &answer->missing[i];
        }
    }
    return NULL;
}

/* Checks that a shard contributed if and only if it did in the reference, and
 * with the payload of the right query, version, shard and rank. */
static void
check_shard(const HrGatherAnswer *answer, const NaiveAnswer *naive,
            uint32_t index)
{
    const NaiveShard *expected = &naive->shards[index];
    const HrShardPart *part;
    const HrMissingShard *missing_shard;
    char name[24], payload[64];

    snprintf(name, sizeof(name), "s%u", index);
    part = find_part(answer, name);
    missing_shard = find_missing_shard(answer, name);
    assert_int_equal(expected->answered, part != NULL);
    assert_int_equal(expected->answered, missing_shard == NULL);
    if (part != NULL) {
        Simulation_WritePayload(payload, sizeof(payload), naive->version, name,
                                expected->rank);
        assert_int_equal(part->payload.length_bytes, strlen(payload));
        assert_memory_equal(part->payload.data, payload, strlen(payload));
    }
    else if (missing_shard != NULL) {
        assert_int_not_equal(missing_shard->reason, HR_REASON_NONE);
        assert_string_equal(HrReason_GetName(missing_shard->reason),
                            HrReason_GetName(expected->reason));
    }
}

/* Checks that the answer equals that of the reference: a single version, the
 * exact coverage and the payload of each shard. */
static void
check_against_reference(const HrGatherAnswer *answer, const NaiveAnswer *naive)
{
    uint32_t i;

    assert_string_equal(HrQueryStatus_GetName(answer->status),
                        HrQueryStatus_GetName(naive->status));
    assert_string_equal(HrReason_GetName(answer->reason),
                        HrReason_GetName(naive->reason));
    assert_int_equal(answer->version, naive->version);
    assert_int_equal(answer->restarts, naive->restarts);
    assert_int_equal(answer->not_run, naive->not_run);
    assert_int_equal(answer->finished_ns, naive->finished_ns);
    assert_int_equal(answer->part_count + answer->missing_count, naive->count);
    for (i = 0; i < naive->count; i++) {
        check_shard(answer, naive, naive->first + i);
    }
}

/* Checks what holds for every answer, against what the simulated daemons did
 * and without the reference. */
static void
check_requirements(const Simulation *simulation, const SimulationRun *run)
{
    const HrGatherAnswer *answer = run->answer;
    bool late = answer->finished_ns >= simulation->deadline_ns;

    assert_false(run->acted_after_finish);
    assert_false(run->missing_cancel);
    assert_false(run->sent_twice);
    /* not_run is set only for a refusal, if and only if nothing can have
     * run. */
    assert_false(answer->not_run && run->may_have_run);
    assert_false(answer->not_run && answer->status != HR_STATUS_REFUSED);
    assert_false(answer->status == HR_STATUS_REFUSED && !answer->not_run &&
                 !run->may_have_run);
    /* Only a pause of the process may make an answer late. */
    assert_false(late && (answer->status == HR_STATUS_COMPLETE ||
                          answer->status == HR_STATUS_DONE));
    if (simulation->pause_to_ns == 0 &&
        simulation->deadline_ns > simulation->start_ns) {
        assert_false(late);
    }
    assert_int_equal(answer->status == HR_STATUS_COMPLETE,
                     simulation->route.idempotent &&
                         answer->missing_count == 0 && answer->part_count > 0);
}

/* Runs one schedule, and adds its results to the counts. */
static void
run_schedule(uint64_t seed, uint32_t *statuses, uint32_t *restarts,
             uint32_t *failovers)
{
    void *parent = talloc_new(NULL);
    Simulation *simulation = Simulation_Create(parent, seed);
    SimulationRun run = Simulation_RunQuery(parent, simulation);
    NaiveAnswer naive = NaiveGather_ComputeAnswer(simulation);

    assert_non_null(run.answer);
    check_requirements(simulation, &run);
    check_against_reference(run.answer, &naive);
    statuses[run.answer->status]++;
    *restarts += run.answer->restarts;
    *failovers += run.answer->failovers;
    talloc_free(parent);
}

/* Guards against an answer that differs from the reference: mixed versions,
 * wrong coverage, payloads of another shard, query or attempt, a wrong
 * not_run, or an answer after the deadline. Sub-answers are late, duplicated,
 * reordered, truncated or mismatched, peers fail, the process is paused, the
 * caller cancels, and servers lose versions or repartition their shards. */
static void
test_gather_matches_naive(void **state)
{
    uint32_t statuses[HR_STATUS_UNKNOWN + 1] = {0};
    uint32_t i, restarts = 0, failovers = 0, count = count_schedules();

    (void)state;
    print_message("schedules %u, seeds from %llu\n", count,
                  (unsigned long long)SEED);
    for (i = 0; i < count; i++) {
        last_seed = SEED + i;
        run_schedule(last_seed, statuses, &restarts, &failovers);
    }
    print_message("restarts %u, failovers %u\n", restarts, failovers);
    for (i = 0; i <= HR_STATUS_UNKNOWN; i++) {
        print_message("status %s %u\n",
                      HrQueryStatus_GetName((HrQueryStatus)i), statuses[i]);
        assert_true(statuses[i] > count / 1000);
    }
    assert_true(restarts > count / 1000);
    assert_true(failovers > count / 1000);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_gather_matches_naive, print_last_seed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
