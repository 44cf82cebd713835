#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include <cmocka.h>

#include "base-rng.h"
#include "state-index-map.h"

#define SEED UINT64_C(20261204)
#define MERGE_COUNT 20000
#define MAX_GROUPS 4
#define MAX_VERSIONS 3
#define RANGE_COUNT 4 /* the hashes are divided into this many ranges */

#define RANGE_STEP (UINT64_C(1) << 62)

/* Returns a shard that covers one range. */
static HrShard
make_shard(const char *name, const char *group, uint32_t range)
{
    HrShard shard = {
        .name = name,
        .group = group,
        .key_from = range * RANGE_STEP,
        .key_to = range * RANGE_STEP + (RANGE_STEP - 1),
    };

    return shard;
}

/* Guards against queries that use a map whose ranges overlap, or leave hashes
 * uncovered between two shards or at the end. Such queries would search keys
 * twice or omit them. */
static void
test_usable_only_if_covered_once(void **state)
{
    HrShard shards[3] = {
        {"a", "g", 0, 99}, {"b", "g", 100, 199}, {"c", "g", 200, UINT64_MAX}};
    HrIndexMap map = {"pool", 1, shards, 3};

    (void)state;
    assert_true(HrIndexMap_IsUsable(&map));
    shards[1].key_from = 101;
    assert_false(HrIndexMap_IsUsable(&map));
    shards[1].key_from = 99;
    assert_false(HrIndexMap_IsUsable(&map));
    shards[1].key_from = 100;
    shards[2].key_to = UINT64_MAX - 1;
    assert_false(HrIndexMap_IsUsable(&map));
    shards[2].key_to = UINT64_MAX;
    shards[1].key_to = UINT64_MAX;
    assert_false(HrIndexMap_IsUsable(&map));
    map.shard_count = 0;
    assert_false(HrIndexMap_IsUsable(&map));
}

/* Guards against a binary search that does not find the shard of a key, also
 * where a range ends at the largest hash. */
static void
test_find_shard_matches_linear_search(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    HrShard shards[RANGE_COUNT];
    HrIndexMap map = {"pool", 1, shards, RANGE_COUNT};
    uint32_t i, j;

    (void)state;
    for (i = 0; i < RANGE_COUNT; i++) {
        shards[i] = make_shard("s", "g", i);
    }
    assert_true(HrIndexMap_IsUsable(&map));
    for (i = 0; i < 2000; i++) {
        char key[32];
        uint64_t hash;

        snprintf(key, sizeof(key), "key-%llu",
                 (unsigned long long)HrRng_DrawU64(&rng));
        hash = HrIndexMap_HashKey(key);
        for (j = 0; hash > shards[j].key_to; j++) {
            continue;
        }
        assert_ptr_equal(HrIndexMap_FindShard(&map, key), &shards[j]);
    }
}

/* Random reports of up to MAX_GROUPS groups. */
typedef struct Report {
    HrShard shards[MAX_GROUPS][MAX_VERSIONS][RANGE_COUNT];
    HrGroupVersion versions[MAX_GROUPS][MAX_VERSIONS];
    const HrGroupVersion *groups[MAX_GROUPS];
    uint32_t counts[MAX_GROUPS];
    uint32_t group_count;
} Report;

/* Fills a random report. In every version, group r % group_count holds range
 * r, and each other group also holds it with a probability of 10%. A group has
 * no live servers for a version with a probability of 20%. */
static void
fill_report(Report *report, HrRng *rng)
{
    static const char *const names[] = {"s0", "s1", "s2", "s3", "s0"};
    static const char *const groups[] = {"g0", "g1", "g2", "g3"};
    uint32_t g, v, r;

    report->group_count = (uint32_t)HrRng_DrawBelow(rng, MAX_GROUPS + 1);
    for (g = 0; g < report->group_count; g++) {
        report->groups[g] = report->versions[g];
        report->counts[g] = MAX_VERSIONS;
        for (v = 0; v < MAX_VERSIONS; v++) {
            HrGroupVersion *group_version = &report->versions[g][v];

            group_version->version = v + 1;
            group_version->shards = report->shards[g][v];
            group_version->shard_count = 0;
            group_version->live_servers =
                HrRng_DrawBool(rng, 0.8)
                    ? 1 + (uint32_t)HrRng_DrawBelow(rng, 3)
                    : 0;
            for (r = 0; r < RANGE_COUNT; r++) {
                /* 2% of the shards have the name of range 0. */
                uint32_t name = HrRng_DrawBool(rng, 0.02) ? RANGE_COUNT : r;

                if (r % report->group_count == g || HrRng_DrawBool(rng, 0.1)) {
                    group_version->shards[group_version->shard_count++] =
                        make_shard(names[name], groups[g], r);
                }
            }
        }
    }
}

/* Reference implementation: returns true if the groups report one shard name
 * for each range of a version and no name for two ranges. Sets live to whether
 * every shard has a live server. */
static bool
is_usable_by_reference(const Report *report, uint64_t version, bool *live)
{
    const char *names[RANGE_COUNT] = {NULL};
    uint32_t most_live_servers[RANGE_COUNT] = {0}, g, i, j;

    *live = true;
    for (g = 0; g < report->group_count; g++) {
        const HrGroupVersion *group_version =
            &report->versions[g][version - 1];

        for (i = 0; i < group_version->shard_count; i++) {
            uint32_t r =
                (uint32_t)(group_version->shards[i].key_from / RANGE_STEP);

            if (names[r] != NULL &&
                strcmp(names[r], group_version->shards[i].name) != 0) {
                return false;
            }
            names[r] = group_version->shards[i].name;
            most_live_servers[r] =
                most_live_servers[r] > group_version->live_servers
                    ? most_live_servers[r]
                    : group_version->live_servers;
        }
    }
    for (i = 0; i < RANGE_COUNT; i++) {
        if (names[i] == NULL) {
            return false;
        }
        *live = *live && most_live_servers[i] > 0;
        for (j = 0; j < i; j++) {
            if (strcmp(names[i], names[j]) == 0) {
                return false;
            }
        }
    }
    return true;
}

/* Compares one merge with the reference and adds the number of its maps to
 * usable_count. */
static void
check_merge(const Report *report, uint32_t *usable_count)
{
    HrIndexMapSet *set = HrIndexMapSet_MergeVersions(
        NULL, "pool", report->groups, report->counts, report->group_count, 9);
    bool usable[MAX_VERSIONS], live[MAX_VERSIONS], any_live = false;
    uint32_t v, next = 0;

    assert_non_null(set);
    assert_int_equal(set->revision, 9);
    for (v = 0; v < MAX_VERSIONS; v++) {
        usable[v] = is_usable_by_reference(report, v + 1, &live[v]);
        any_live = any_live || (usable[v] && live[v]);
    }
    for (v = MAX_VERSIONS; v-- > 0;) {
        if (!usable[v] || (any_live && !live[v])) {
            continue;
        }
        assert_true(next < set->map_count);
        assert_int_equal(set->maps[next]->version, v + 1);
        assert_int_equal(set->maps[next]->shard_count, RANGE_COUNT);
        assert_true(HrIndexMap_IsUsable(set->maps[next]));
        next++;
    }
    assert_int_equal(next, set->map_count);
    *usable_count += set->map_count;
    talloc_free(set);
}

/* Guards against a merge that includes a version which does not cover every
 * hash exactly once, omits one that does, or returns versions out of order. */
static void
test_merge_matches_reference(void **state)
{
    HrRng rng = HrRng_FromSeed(SEED);
    static Report report;
    uint32_t i, usable = 0;

    (void)state;
    print_message("seed %llu\n", (unsigned long long)SEED);
    for (i = 0; i < MERGE_COUNT; i++) {
        fill_report(&report, &rng);
        check_merge(&report, &usable);
    }
    assert_in_range(usable, MERGE_COUNT / 2, MERGE_COUNT * MAX_VERSIONS);
}

/* Guards against a pool that becomes unusable as a whole when one group has no
 * live servers, and against a shard that is assigned to such a group although
 * another group has live servers for it. */
static void
test_merge_prefers_live_servers(void **state)
{
    HrShard low[] = {{"a", "g0", 0, 9}},
            high[] = {{"b", "g1", 10, UINT64_MAX}};
    HrShard moved[] = {{"b", "g2", 10, UINT64_MAX}};
    HrGroupVersion first[] = {{7, low, 1, 3}}, second[] = {{7, high, 1, 0}};
    HrGroupVersion third[] = {{7, moved, 1, 2}};
    const HrGroupVersion *groups[] = {first, second, third};
    const uint32_t counts[] = {1, 1, 1};
    HrIndexMapSet *set =
        HrIndexMapSet_MergeVersions(NULL, "p", groups, counts, 2, 1);

    (void)state;
    assert_int_equal(set->map_count, 1);
    assert_string_equal(set->maps[0]->shards[1].group, "g1");
    talloc_free(set);
    set = HrIndexMapSet_MergeVersions(NULL, "p", groups, counts, 3, 1);
    assert_int_equal(set->map_count, 1);
    assert_string_equal(set->maps[0]->shards[1].group, "g2");
    talloc_free(set);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_usable_only_if_covered_once),
        cmocka_unit_test(test_find_shard_matches_linear_search),
        cmocka_unit_test(test_merge_matches_reference),
        cmocka_unit_test(test_merge_prefers_live_servers),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
