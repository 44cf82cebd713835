#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base-rng.h"
#include "coord-owner.h"

#define SEED 20261

/* Fills a view with members in three data centres. */
static void
fill_view(HrMemberView *view, HrMember *members, uint32_t count)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t i;

    memset(members, 0, count * sizeof(*members));
    for (i = 0; i < count; i++) {
        members[i].daemon_id =
            (i + 1) * UINT64_C(1000) + HrRng_Below(&rng, 1000);
        snprintf(members[i].data_centre, HR_NAME_BYTES, "dc%u", i % 3);
    }
    view->members = members;
    view->member_count = count;
    view->self_id = members[0].daemon_id;
}

/* Guards against views of the same members that rank differently: batches
 * would be declined for ever. */
static void
test_rank_ignores_order(void **state)
{
    HrMember members[40], swapped[40];
    HrMemberView view = {0}, other = {0};
    uint64_t ids[4], other_ids[4];
    char group[16];
    uint32_t i;

    fill_view(&view, members, 40);
    for (i = 0; i < 40; i++) {
        swapped[i] = members[39 - i];
    }
    other.members = swapped;
    other.member_count = 40;
    for (i = 0; i < 100; i++) {
        snprintf(group, sizeof(group), "g%u", i);
        HrOwner_Candidates(&view, "pool", group, NULL, ids, 4);
        HrOwner_Candidates(&other, "pool", group, NULL, other_ids, 4);
        assert_memory_equal(ids, other_ids, sizeof(ids));
    }
}

/* Guards against candidates far from the servers, and against too few when
 * the preferred data centres have too few members. */
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
        HrOwner_Candidates(&view, "pool", "group", &prefer, ids, 4), 4);
    for (i = 0; i < 3; i++) {
        assert_string_equal(HrMemberView_Find(&view, ids[i])->data_centre,
                            "dc1");
    }
    assert_string_not_equal(HrMemberView_Find(&view, ids[3])->data_centre,
                            "dc1");
}

/* Guards against work for dead members, and for leaving ones while others are
 * there. */
static void
test_states(void **state)
{
    HrMember members[4];
    HrMemberView view = {0};
    uint64_t ids[4], first;

    fill_view(&view, members, 4);
    HrOwner_Candidates(&view, "pool", "group", NULL, ids, 4);
    first = ids[0];
    ((HrMember *)HrMemberView_Find(&view, first))->state = HR_MEMBER_SUSPECT;
    HrOwner_Candidates(&view, "pool", "group", NULL, ids, 4);
    assert_int_equal(ids[0], first);
    ((HrMember *)HrMemberView_Find(&view, first))->state = HR_MEMBER_LEAVING;
    assert_int_equal(HrOwner_Candidates(&view, "pool", "group", NULL, ids, 4),
                     4);
    assert_int_equal(ids[3], first);
    assert_true(HrOwner_IsCandidate(&view, "pool", "group", NULL, first));
    ((HrMember *)HrMemberView_Find(&view, first))->state = HR_MEMBER_DEAD;
    assert_int_equal(HrOwner_Candidates(&view, "pool", "group", NULL, ids, 4),
                     3);
    assert_false(HrOwner_IsCandidate(&view, "pool", "group", NULL, first));
    view.member_count = 0;
    assert_int_equal(HrOwner_PoolHome(&view, "pool"), 0);
    assert_int_equal(HrOwner_PartitionOwner(&view, 3), 0);
}

/* Guards against groups that move although their scheduler has stayed:
 * compares with a naive ranking by sorting all scores. */
static void
test_only_groups_of_the_lost_member_move(void **state)
{
    HrMember members[50], fewer[49];
    HrMemberView view = {0}, left = {0};
    uint32_t i, moved = 0;
    char group[16];
    uint64_t before, after;

    fill_view(&view, members, 50);
    memcpy(fewer, members, 20 * sizeof(*members));
    memcpy(&fewer[20], &members[21], 29 * sizeof(*members));
    left.members = fewer;
    left.member_count = 49;
    for (i = 0; i < 2000; i++) {
        snprintf(group, sizeof(group), "g%u", i);
        HrOwner_Candidates(&view, "pool", group, NULL, &before, 1);
        HrOwner_Candidates(&left, "pool", group, NULL, &after, 1);
        if (before == members[20].daemon_id) {
            moved++;
        }
        else {
            assert_int_equal(before, after);
        }
    }
    assert_in_range(moved, 10, 80);
}

/* Guards against store readers outside the data centre. */
static void
test_store_readers(void **state)
{
    HrMember members[9];
    HrMemberView view = {0};
    uint64_t ids[2];

    fill_view(&view, members, 9);
    assert_int_equal(
        HrOwner_StoreReaders(&view, "dc2", ids, HR_OWNER_STORE_READERS), 2);
    assert_string_equal(HrMemberView_Find(&view, ids[0])->data_centre, "dc2");
    assert_string_equal(HrMemberView_Find(&view, ids[1])->data_centre, "dc2");
    assert_int_not_equal(ids[0], ids[1]);
    assert_int_equal(HrOwner_StoreReaders(&view, "elsewhere", ids, 2), 0);
}

/* Guards against a partition number that changes between builds: two daemons
 * would claim one id in two places. The numbers are those of this release. */
static void
test_partitions_are_fixed(void **state)
{
    assert_int_equal(HrOwner_ClaimPartition("booking-1"), 17);
    assert_int_equal(HrOwner_ClaimPartition("booking-2"), 0);
    assert_int_equal(HrOwner_ClaimPartition("a"), 62);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rank_ignores_order),
        cmocka_unit_test(test_preferred_data_centres_first),
        cmocka_unit_test(test_states),
        cmocka_unit_test(test_only_groups_of_the_lost_member_move),
        cmocka_unit_test(test_store_readers),
        cmocka_unit_test(test_partitions_are_fixed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
