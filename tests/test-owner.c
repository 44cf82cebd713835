#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "coord-owner-index.h"

#define SEED 20261

/* Fills a view with members in three data centres, in the order of their ids.
 */
static void
fill_view(HrMemberView *view, HrMember *members, uint32_t count)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t i;

    memset(members, 0, count * sizeof(*members));
    for (i = 0; i < count; i++) {
        members[i].daemon_id =
            (i + 1) * UINT64_C(1000) + HrRng_DrawBelow(&rng, 1000);
        snprintf(members[i].data_centre, HR_NAME_BYTES, "dc%u", i % 3);
    }
    view->members = members;
    view->member_count = count;
    view->self_id = members[0].daemon_id;
}

/* Guards against daemons that rank the same members differently: a daemon
 * would always decline the batches of the shard groups that only others assign
 * to it. */
static void
test_ranking_ignores_order(void **state)
{
    HrMember members[40], reversed[40];
    HrMemberView view = {0}, other = {0};
    uint64_t ids[4], other_ids[4];
    char group[16];
    uint32_t i;

    fill_view(&view, members, 40);
    for (i = 0; i < 40; i++) {
        reversed[i] = members[39 - i];
    }
    other.members = reversed;
    other.member_count = 40;
    for (i = 0; i < 100; i++) {
        snprintf(group, sizeof(group), "g%u", i);
        HrOwner_ListCandidates(&view, "pool", group, NULL, ids, 4);
        HrOwner_ListCandidates(&other, "pool", group, NULL, other_ids, 4);
        assert_memory_equal(ids, other_ids, sizeof(ids));
    }
}

/* Guards against candidates outside the data centres of the servers while
 * these have enough members, and against too few candidates when they have
 * not. */
static void
test_preferred_data_centres_first(void **state)
{
    static const char *const names[] = {"dc1"};
    const HrOwnerPreference prefer = {names, 1};
    HrMember members[9];
    HrMemberView view = {0};
    uint64_t ids[4];
    uint32_t i;

    fill_view(&view, members, 9);
    assert_int_equal(
        HrOwner_ListCandidates(&view, "pool", "group", &prefer, ids, 4), 4);
    for (i = 0; i < 3; i++) {
        assert_string_equal(HrMemberView_Find(&view, ids[i])->data_centre,
                            "dc1");
    }
    assert_string_not_equal(HrMemberView_Find(&view, ids[3])->data_centre,
                            "dc1");
}

/* Guards against a ranking that contains dead members, prefers leaving ones,
 * or changes when a member is suspected. */
static void
test_ranking_by_member_state(void **state)
{
    HrMember members[4];
    HrMemberView view = {0};
    uint64_t ids[4], first;

    fill_view(&view, members, 4);
    HrOwner_ListCandidates(&view, "pool", "group", NULL, ids, 4);
    first = ids[0];
    ((HrMember *)HrMemberView_Find(&view, first))->state = HR_MEMBER_SUSPECT;
    HrOwner_ListCandidates(&view, "pool", "group", NULL, ids, 4);
    assert_int_equal(ids[0], first);
    ((HrMember *)HrMemberView_Find(&view, first))->state = HR_MEMBER_LEAVING;
    assert_int_equal(
        HrOwner_ListCandidates(&view, "pool", "group", NULL, ids, 4), 4);
    assert_int_equal(ids[3], first);
    assert_true(HrOwner_IsCandidate(&view, "pool", "group", NULL, first));
    ((HrMember *)HrMemberView_Find(&view, first))->state = HR_MEMBER_DEAD;
    assert_int_equal(
        HrOwner_ListCandidates(&view, "pool", "group", NULL, ids, 4), 3);
    assert_false(HrOwner_IsCandidate(&view, "pool", "group", NULL, first));
    view.member_count = 0;
    assert_int_equal(HrOwner_FindPoolHome(&view, "pool"), 0);
    assert_int_equal(HrOwner_FindPartitionOwner(&view, 3), 0);
}

/* Guards against groups that move to another scheduling daemon when a
 * different member leaves. About 1 of 50 groups must move. */
static void
test_only_groups_of_the_removed_member_move(void **state)
{
    HrMember members[50], remaining_members[49];
    HrMemberView view = {0}, remaining = {0};
    uint32_t i, moved = 0;
    char group[16];
    uint64_t before, after;

    fill_view(&view, members, 50);
    memcpy(remaining_members, members, 20 * sizeof(*members));
    memcpy(&remaining_members[20], &members[21], 29 * sizeof(*members));
    remaining.members = remaining_members;
    remaining.member_count = 49;
    for (i = 0; i < 2000; i++) {
        snprintf(group, sizeof(group), "g%u", i);
        HrOwner_ListCandidates(&view, "pool", group, NULL, &before, 1);
        HrOwner_ListCandidates(&remaining, "pool", group, NULL, &after, 1);
        if (before == members[20].daemon_id) {
            moved++;
        }
        else {
            assert_int_equal(before, after);
        }
    }
    assert_in_range(moved, 10, 80);
}

/* Guards against an index that ranks differently from the view. The entry
 * daemon and the scheduling daemon may use either, and must agree. */
static void
test_index_and_view_rank_alike(void **state)
{
    static const char *const names[] = {"dc1", "nowhere"};
    const HrOwnerPreference prefer = {names, 2};
    HrRng rng = HrRng_FromSeed(SEED + 1);
    HrMember members[60];
    HrMemberView view = {0};
    char group[16];
    uint32_t round, i;

    for (round = 0; round < 2000; round++) {
        uint64_t ids[4] = {0}, indexed_ids[4] = {0};
        HrOwnerIndex *index;

        fill_view(&view, members, 1 + (uint32_t)HrRng_DrawBelow(&rng, 60));
        for (i = 0; i < view.member_count; i++) {
            members[i].state = (HrMemberState)HrRng_DrawBelow(&rng, 4);
        }
        index = HrOwnerIndex_Create(NULL, &view);
        snprintf(group, sizeof(group), "g%u", round);
        assert_int_equal(
            HrOwner_ListCandidates(&view, "pool", group, &prefer, ids, 4),
            HrOwnerIndex_ListCandidates(index, "pool", group, &prefer,
                                        indexed_ids, 4));
        assert_memory_equal(ids, indexed_ids, sizeof(ids));
        talloc_free(index);
    }
}

/* Guards against store readers outside the data centre, and against fewer than
 * HR_OWNER_STORE_READERS. */
static void
test_store_readers_are_in_the_data_centre(void **state)
{
    HrMember members[9];
    HrMemberView view = {0};
    uint64_t ids[2];

    fill_view(&view, members, 9);
    assert_int_equal(
        HrOwner_ListStoreReaders(&view, "dc2", ids, HR_OWNER_STORE_READERS),
        2);
    assert_string_equal(HrMemberView_Find(&view, ids[0])->data_centre, "dc2");
    assert_string_equal(HrMemberView_Find(&view, ids[1])->data_centre, "dc2");
    assert_int_not_equal(ids[0], ids[1]);
    assert_int_equal(HrOwner_ListStoreReaders(&view, "elsewhere", ids, 2), 0);
}

/* Guards against a partition number that changes between builds: daemons of
 * two builds would claim the same id at two owners. The expected numbers are
 * those of this release. */
static void
test_claim_partitions_are_fixed(void **state)
{
    assert_int_equal(HrOwner_GetClaimPartition("booking-1"), 17);
    assert_int_equal(HrOwner_GetClaimPartition("booking-2"), 0);
    assert_int_equal(HrOwner_GetClaimPartition("a"), 62);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_ranking_ignores_order),
        cmocka_unit_test(test_preferred_data_centres_first),
        cmocka_unit_test(test_ranking_by_member_state),
        cmocka_unit_test(test_only_groups_of_the_removed_member_move),
        cmocka_unit_test(test_index_and_view_rank_alike),
        cmocka_unit_test(test_store_readers_are_in_the_data_centre),
        cmocka_unit_test(test_claim_partitions_are_fixed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
