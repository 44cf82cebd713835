/* Measures the ranking of members: its processor time, the share of shard
 * groups that move to another scheduling daemon when a member dies, and the
 * number of servers per member for 13,000 servers in groups of 3. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "coord-owner-index.h"
#include "result-line.h"

#define SEED 2026
#define SERVERS 13000 /* in groups of 3: 4,333 groups */
#define SERVERS_PER_GROUP 3
#define GROUPS 4333
#define DATA_CENTRES 8

/* A shard group and the data centres of its servers. */
typedef struct Group {
    char name[24];
    const char *data_centres[SERVERS_PER_GROUP];
    HrOwnerPreference prefer;
} Group;

static const char *const centre_names[DATA_CENTRES] = {
    "dc-0", "dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7"};

/* Creates a view of members that are spread over the data centres. */
static HrMemberView *
create_view(uint32_t count)
{
    HrRng rng = HrRng_FromSeed(SEED);
    HrMemberView *view = talloc_zero(NULL, HrMemberView);
    uint32_t i;

    view->members = talloc_zero_array(view, HrMember, count);
    view->member_count = count;
    for (i = 0; i < count; i++) {
        view->members[i].daemon_id = HrRng_DrawU64(&rng);
        snprintf(view->members[i].data_centre, HR_NAME_BYTES, "%s",
                 centre_names[i % DATA_CENTRES]);
    }
    return view;
}

/* Creates the groups. The servers of a group are in the two data centres of
 * one region; region r has the data centres 2r and 2r + 1. */
static Group *
create_groups(void)
{
    Group *groups = talloc_array(NULL, Group, GROUPS);
    uint32_t i, j;

    for (i = 0; i < GROUPS; i++) {
        snprintf(groups[i].name, sizeof(groups[i].name), "group-%u", i);
        for (j = 0; j < SERVERS_PER_GROUP; j++) {
            groups[i].data_centres[j] = centre_names[(i % 4) * 2 + j % 2];
        }
        groups[i].prefer.data_centres = groups[i].data_centres;
        groups[i].prefer.data_centre_count = 2;
    }
    return groups;
}

/* Returns the scheduling daemon of a group. */
static uint64_t
find_scheduler(const HrMemberView *view, const Group *group)
{
    uint64_t ids[HR_OWNER_CANDIDATES] = {0};

    HrOwner_ListCandidates(view, "pool", group->name, &group->prefer, ids,
                           HR_OWNER_CANDIDATES);
    return ids[0];
}

/* Prints a measurement for a view of the given number of members. */
static void
print_measurement(uint32_t members, const char *name, const char *unit,
                  double value, double baseline)
{
    char full_name[96];

    snprintf(full_name, sizeof(full_name), "owner/%u/%s", members, name);
    print_result(full_name, unit, value, baseline, SEED);
}

/* Measures the time to rank the candidates of one group with an index of the
 * view. The baselines are the times without the index; view_ns is the one for
 * one group. */
static void
measure_index_cost(const HrMemberView *view, const Group *groups,
                   double view_ns)
{
    uint32_t i, rounds = 20000000 / (view->member_count + 50) + 100;
    HrOwnerIndex *index = HrOwnerIndex_Create(NULL, view);
    uint64_t ids[HR_OWNER_CANDIDATES];
    int64_t start_ns = processor_ns();
    volatile uint64_t sink = 0;
    double rank_ns;

    for (i = 0; i < rounds; i++) {
        const Group *group = &groups[i % GROUPS];

        HrOwnerIndex_ListCandidates(index, "pool", group->name, &group->prefer,
                                    ids, HR_OWNER_CANDIDATES);
        sink = sink + ids[0];
    }
    rank_ns = (double)(processor_ns() - start_ns) / rounds;
    print_measurement(view->member_count, "index_rank_one_group", "ns",
                      rank_ns, view_ns);
    print_measurement(view->member_count, "index_rank_all_groups", "ms",
                      rank_ns * GROUPS / 1e6, view_ns * GROUPS / 1e6);
    start_ns = processor_ns();
    talloc_free(HrOwnerIndex_Create(NULL, view));
    print_measurement(view->member_count, "index_create", "us",
                      (double)(processor_ns() - start_ns) / 1e3, NAN);
    talloc_free(index);
}

/* Measures the time to rank the candidates of one group with the view, then
 * with an index of it. */
static void
measure_cost(const HrMemberView *view, const Group *groups)
{
    uint32_t i, rounds = 4000000 / (view->member_count + 50) + 100;
    int64_t start_ns = processor_ns();
    volatile uint64_t sink = 0;
    double rank_ns;

    for (i = 0; i < rounds; i++) {
        sink = sink + find_scheduler(view, &groups[i % GROUPS]);
    }
    rank_ns = (double)(processor_ns() - start_ns) / rounds;
    print_measurement(view->member_count, "rank_one_group", "ns", rank_ns,
                      NAN);
    print_measurement(view->member_count, "rank_all_groups", "ms",
                      rank_ns * GROUPS / 1e6, NAN);
    measure_index_cost(view, groups, rank_ns);
}

/* Measures the share of groups that move when one member dies. The baseline is
 * the lowest possible share: the groups that this member schedules. For
 * comparison, prints the share with a hash modulo the member count, where
 * almost all groups move. */
static void
measure_moved_groups(HrMemberView *view, const Group *groups)
{
    uint64_t dead_id = view->members[view->member_count / 2].daemon_id;
    uint32_t i, moved = 0, owned = 0, moved_by_modulo = 0;
    uint64_t *before = talloc_array(NULL, uint64_t, GROUPS);

    for (i = 0; i < GROUPS; i++) {
        before[i] = find_scheduler(view, &groups[i]);
        owned += before[i] == dead_id;
        moved_by_modulo +=
            HrHash_String(groups[i].name, 0) % view->member_count !=
            HrHash_String(groups[i].name, 0) % (view->member_count - 1);
    }
    view->members[view->member_count / 2].state = HR_MEMBER_DEAD;
    for (i = 0; i < GROUPS; i++) {
        moved += find_scheduler(view, &groups[i]) != before[i];
    }
    view->members[view->member_count / 2].state = HR_MEMBER_ALIVE;
    print_measurement(view->member_count, "groups_moved", "percent",
                      100.0 * moved / GROUPS, 100.0 * owned / GROUPS);
    print_measurement(view->member_count, "groups_moved_by_modulo", "percent",
                      100.0 * moved_by_modulo / GROUPS, NAN);
    talloc_free(before);
}

/* Compares two counts for qsort(). */
static int
compare_counts(const void *left, const void *right)
{
    return *(const int *)left - *(const int *)right;
}

/* Measures how many servers each member schedules. The baseline is an equal
 * share. */
static void
measure_balance(const HrMemberView *view, const Group *groups)
{
    int *servers = talloc_zero_array(NULL, int, view->member_count);
    int median, p99;
    uint32_t i;

    for (i = 0; i < GROUPS; i++) {
        const HrMember *member =
            HrMemberView_Find(view, find_scheduler(view, &groups[i]));

        servers[member - view->members] += SERVERS_PER_GROUP;
    }
    qsort(servers, view->member_count, sizeof(int), compare_counts);
    median = servers[view->member_count / 2];
    p99 = servers[view->member_count * 99 / 100];
    print_measurement(view->member_count, "servers_per_member_median",
                      "servers", median, (double)SERVERS / view->member_count);
    print_measurement(view->member_count, "servers_per_member_p99", "servers",
                      p99, (double)SERVERS / view->member_count);
    print_measurement(view->member_count, "servers_per_member_most", "servers",
                      servers[view->member_count - 1],
                      (double)SERVERS / view->member_count);
    talloc_free(servers);
}

/* Compares the ids of two members for qsort(). */
static int
compare_members(const void *left, const void *right)
{
    uint64_t left_id = ((const HrMember *)left)->daemon_id;
    uint64_t right_id = ((const HrMember *)right)->daemon_id;

    return left_id < right_id ? -1 : left_id > right_id;
}

int
main(void)
{
    static const uint32_t sizes[] = {4, 40, 400, 1900};
    Group *groups = create_groups();
    uint32_t i;

    for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        HrMemberView *view = create_view(sizes[i]);

        qsort(view->members, view->member_count, sizeof(HrMember),
              compare_members);
        measure_cost(view, groups);
        measure_moved_groups(view, groups);
        measure_balance(view, groups);
        talloc_free(view);
    }
    talloc_free(groups);
    return 0;
}
