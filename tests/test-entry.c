#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "coord-entry.h"

#define SEED 777
#define DRAWS 20000

/* Fills in four members: two in dc0, one each in dc1 and dc2, all in one
 * region. */
static void
fill_view(HrMemberView *view, HrMember *members)
{
    static const char *const data_centres[] = {"dc0", "dc0", "dc1", "dc2"};
    uint32_t i;

    memset(view, 0, sizeof(*view));
    memset(members, 0, 4 * sizeof(*members));
    for (i = 0; i < 4; i++) {
        members[i].daemon_id = i + 1;
        members[i].spare_percent = 50;
        snprintf(members[i].caller_address, HR_ADDRESS_BYTES, "10.0.0.%u:80",
                 i + 1);
        snprintf(members[i].data_centre, HR_NAME_BYTES, "%s", data_centres[i]);
        snprintf(members[i].region, HR_NAME_BYTES, "north");
    }
    view->members = members;
    view->member_count = 4;
    view->self_id = 1;
}

/* Counts how often each member is first in the list, and how often it is
 * second when member 1 is first. */
static void
count_positions(const HrMemberView *view, const char *data_centre,
                uint32_t *first, uint32_t *second)
{
    HrEntryRequest request = {.data_centre = data_centre};
    HrRng rng = HrRng_FromSeed(SEED);
    HrEntryConfig config;
    HrEntryList list;
    uint32_t i;

    HrEntryConfig_GetDefaults(&config);
    memset(first, 0, 4 * sizeof(*first));
    memset(second, 0, 4 * sizeof(*second));
    for (i = 0; i < DRAWS; i++) {
        HrEntryList_Build(&config, view, &request, &rng, &list);
        first[list.entries[0].address[7] - '1']++;
        if (list.entries[0].address[7] == '1') {
            second[list.entries[1].address[7] - '1']++;
        }
    }
}

/* Guards against callers that all move to the same address when a daemon is
 * lost. */
static void
test_lost_address_spreads_callers(void **state)
{
    HrMember members[4];
    HrMemberView view;
    uint32_t first[4], second[4], i, total = 0;

    fill_view(&view, members);
    count_positions(&view, "dc1", first, second);
    for (i = 1; i < 4; i++) {
        total += second[i];
    }
    for (i = 1; i < 4; i++) {
        /* dc1 has twice the weight of the others: 1/4, 1/2, 1/4. */
        assert_in_range(second[i] * 100 / total, 20, 55);
    }
}

/* Guards against lists that ignore load and data centre. */
static void
test_weights(void **state)
{
    HrMember members[4];
    HrMemberView view;
    uint32_t first[4], second[4];

    fill_view(&view, members);
    members[2].spare_percent = 0;
    count_positions(&view, "dc1", first, second);
    /* Weights 50, 50, 2 * 10 (the minimum), 50. */
    assert_in_range(first[2] * 170 / DRAWS, 18, 22);
    members[2].spare_percent = 100;
    count_positions(&view, "dc1", first, second);
    assert_in_range(first[2] * 350 / DRAWS, 190, 210);
}

/* Guards against sending callers to a leaving or suspect daemon while there
 * are others, and against an empty list when there are none. */
static void
test_suspect_and_leaving_members(void **state)
{
    HrEntryRequest request = {0};
    HrRng rng = HrRng_FromSeed(SEED);
    HrEntryConfig config;
    HrEntryList list;
    HrMember members[4];
    HrMemberView view;
    uint32_t i;

    HrEntryConfig_GetDefaults(&config);
    fill_view(&view, members);
    members[0].state = HR_MEMBER_LEAVING;
    members[1].state = HR_MEMBER_SUSPECT;
    HrEntryList_Build(&config, &view, &request, &rng, &list);
    assert_int_equal(list.entry_count, 2);
    assert_true(list.ttl_ms <= config.ttl_change_ms * 6 / 5);
    for (i = 0; i < 4; i++) {
        members[i].state = HR_MEMBER_LEAVING;
    }
    HrEntryList_Build(&config, &view, &request, &rng, &list);
    assert_true(list.entry_count > 0);
    members[3].state = HR_MEMBER_SUSPECT;
    HrEntryList_Build(&config, &view, &request, &rng, &list);
    assert_int_equal(list.entry_count, 1);
    assert_string_equal(list.entries[0].address, "10.0.0.4:80");
    for (i = 0; i < 4; i++) {
        members[i].state = HR_MEMBER_DEAD;
    }
    HrEntryList_Build(&config, &view, &request, &rng, &list);
    assert_int_equal(list.entry_count, 0);
}

/* Guards against sending callers to another region if theirs has members. */
static void
test_own_region_first(void **state)
{
    HrEntryRequest request = {.region = "south"};
    HrRng rng = HrRng_FromSeed(SEED);
    HrEntryConfig config;
    HrEntryList list;
    HrMember members[4];
    HrMemberView view;
    uint32_t i;

    HrEntryConfig_GetDefaults(&config);
    fill_view(&view, members);
    snprintf(members[3].region, HR_NAME_BYTES, "south");
    for (i = 0; i < 100; i++) {
        HrEntryList_Build(&config, &view, &request, &rng, &list);
        assert_string_equal(list.entries[0].address, "10.0.0.4:80");
        assert_int_equal(list.entry_count, 4);
    }
}

/* Guards against lists that callers may cache for longer than a daemon that
 * shuts down keeps accepting requests. */
static void
test_ttl_is_bounded(void **state)
{
    HrEntryRequest request = {0};
    HrRng rng = HrRng_FromSeed(SEED);
    HrEntryConfig config;
    HrEntryList list;
    HrMember members[4];
    HrMemberView view;
    uint32_t i, least = UINT32_MAX, most = 0;

    HrEntryConfig_GetDefaults(&config);
    fill_view(&view, members);
    for (i = 0; i < 1000; i++) {
        HrEntryList_Build(&config, &view, &request, &rng, &list);
        least = list.ttl_ms < least ? list.ttl_ms : least;
        most = list.ttl_ms > most ? list.ttl_ms : most;
    }
    assert_in_range(least, 8000, 8100);
    assert_in_range(most, 11900, HR_ENTRY_TTL_MAX_MS);
    config.ttl_ms = 1000000;
    HrEntryList_Build(&config, &view, &request, &rng, &list);
    assert_int_equal(list.ttl_ms, HR_ENTRY_TTL_MAX_MS);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lost_address_spreads_callers),
        cmocka_unit_test(test_weights),
        cmocka_unit_test(test_suspect_and_leaving_members),
        cmocka_unit_test(test_own_region_first),
        cmocka_unit_test(test_ttl_is_bounded),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
