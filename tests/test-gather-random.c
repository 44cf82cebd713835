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

/* Returns the number of schedules to run. */
static uint32_t
count_schedules(void)
{
    const char *soak = getenv("HR_SOAK");

    return soak != NULL && strcmp(soak, "1") == 0 ? SCHEDULES * SOAK_FACTOR
                                                  : SCHEDULES;
}

/* Returns the part of a shard, or NULL. */
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

/* Returns the gap of a shard, or NULL. */
static const HrShardGap *
find_gap(const HrGatherAnswer *answer, const char *shard)
{
    uint32_t i;

    for (i = 0; i < answer->gap_count; i++) {
        if (strcmp(answer->gaps[i].shard, shard) == 0) {
            return &answer->gaps[i];
        }
    }
    return NULL;
}

/* Checks that a shard contributed exactly when the reference says so, and
 * with the payload of the right query, version, shard and rank. */
static void
check_shard(const HrGatherAnswer *answer, const NaiveAnswer *naive,
            uint32_t index)
{
    const NaiveShard *expected = &naive->shards[index];
    const HrShardPart *part;
    const HrShardGap *gap;
    char name[24], payload[64];

    snprintf(name, sizeof(name), "s%u", index);
    part = find_part(answer, name);
    gap = find_gap(answer, name);
    assert_int_equal(expected->answered, part != NULL);
    assert_int_equal(expected->answered, gap == NULL);
    if (part != NULL) {
        World_Payload(payload, sizeof(payload), naive->version, name,
                      expected->rank);
        assert_int_equal(part->payload.length_bytes, strlen(payload));
        assert_memory_equal(part->payload.data, payload, strlen(payload));
    }
    else if (gap != NULL) {
        assert_int_not_equal(gap->reason, HR_REASON_NONE);
        assert_string_equal(HrReason_Name(gap->reason),
                            HrReason_Name(expected->reason));
    }
}

/* Compares the answer with that of the reference: one version (R1), the exact
 * coverage (R2), each shard's own payload (R3). */
static void
check_against_naive(const HrGatherAnswer *answer, const NaiveAnswer *naive)
{
    uint32_t i;

    assert_string_equal(HrStatus_Name(answer->status),
                        HrStatus_Name(naive->status));
    assert_string_equal(HrReason_Name(answer->reason),
                        HrReason_Name(naive->reason));
    assert_int_equal(answer->version, naive->version);
    assert_int_equal(answer->restarts, naive->restarts);
    assert_int_equal(answer->not_run, naive->not_run);
    assert_int_equal(answer->finished_ns, naive->finished_ns);
    assert_int_equal(answer->part_count + answer->gap_count, naive->count);
    for (i = 0; i < naive->count; i++) {
        check_shard(answer, naive, naive->first + i);
    }
}

/* Checks the requirements against what the simulated daemons did, without the
 * reference. */
static void
check_requirements(const World *world, const WorldRun *run)
{
    const HrGatherAnswer *answer = run->answer;
    bool late = answer->finished_ns >= world->deadline_ns;

    assert_false(run->acted_after_finish);
    assert_false(run->lost_cancel);
    assert_false(run->sent_twice);
    /* R4 */
    assert_false(answer->not_run && run->may_have_run);
    assert_false(answer->not_run && answer->status != HR_STATUS_REFUSED);
    assert_false(answer->status == HR_STATUS_REFUSED && !answer->not_run &&
                 !run->may_have_run);
    /* R9: only a pause of the process makes an answer late. */
    assert_false(late && (answer->status == HR_STATUS_COMPLETE ||
                          answer->status == HR_STATUS_DONE));
    if (world->pause_to_ns == 0 && world->deadline_ns > world->start_ns) {
        assert_false(late);
    }
    assert_int_equal(answer->status == HR_STATUS_COMPLETE,
                     world->route.idempotent && answer->gap_count == 0 &&
                         answer->part_count > 0);
}

/* Runs one schedule. */
static void
run_schedule(uint64_t seed, uint32_t *statuses, uint32_t *restarts,
             uint32_t *failovers)
{
    void *parent = talloc_new(NULL);
    World *world = World_Create(parent, seed);
    WorldRun run = World_Run(parent, world);
    NaiveAnswer naive = NaiveGather_Answer(world);

    assert_non_null(run.answer);
    check_requirements(world, &run);
    check_against_naive(run.answer, &naive);
    statuses[run.answer->status]++;
    *restarts += run.answer->restarts;
    *failovers += run.answer->failovers;
    talloc_free(parent);
}

/* Guards against an answer that differs from that of a reference which waits
 * for every arrival: mixed versions, false coverage, payloads of another
 * shard, query or attempt, a false not_run and answers after the deadline,
 * under late, duplicate, reordered, truncated and mismatched sub-answers, peer
 * failures, pauses, cancellation, repartition and version loss. */
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
        print_message("status %s %u\n", HrStatus_Name((HrStatus)i),
                      statuses[i]);
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
