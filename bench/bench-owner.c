/* Measures the ranking of members: its cost, how many groups move when a
 * member leaves, and the balance of 13,000 servers in groups of 3. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-rng.h"
#include "coord-owner-index.h"
#include "result-line.h"

#define SEED 2026
#define SERVERS 13000 /* with 3 in a group: 4,333 groups */
#define SERVERS_PER_GROUP 3
#define GROUPS 4333
#define DATA_CENTRES 8

/* The data centres of a group's servers. */
typedef struct Group {
    char name[24];
    const char *data_centres[SERVERS_PER_GROUP];
    HrOwnerPreference prefer;
} Group;

static const char *const centre_names[DATA_CENTRES] = {
    "dc-0", "dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7"};

/* Fills a view with members spread over the data centres. */
static HrMemberView *
create_view(uint32_t count)
{
    HrRng rng = HrRng_FromSeed(SEED);
    HrMemberView *view = talloc_zero(NULL, HrMemberView);
    uint32_t i;

    view->members = talloc_zero_array(view, HrMember, count);
    view->member_count = count;
    for (i = 0; i < count; i++) {
        view->members[i].daemon_id = HrRng_Next(&rng);
        snprintf(view->members[i].data_centre, HR_NAME_BYTES, "%s",
                 centre_names[i % DATA_CENTRES]);
    }
    return view;
}

/* Fills the groups; the servers of one are in two data centres of a region,
 * which has the data centres 2r and 2r + 1. */
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

    HrOwner_Candidates(view, "pool", group->name, &group->prefer, ids,
                       HR_OWNER_CANDIDATES);
    return ids[0];
}

/* Prints a measurement of a number of members. */
static void
print_for(uint32_t members, const char *name, const char *unit, double value,
          double baseline)
{
    char full[96];

    snprintf(full, sizeof(full), "owner/%u/%s", members, name);
    print_result(full, unit, value, baseline, SEED);
}

/* Measures the time to rank the candidates of one group with an index of the
 * view. The baselines are those of the view itself. */
static void
measure_index_cost(const HrMemberView *view, const Group *groups,
                   double view_ns)
{
    uint32_t i, rounds = 20000000 / (view->member_count + 50) + 100;
    HrOwnerIndex *index = HrOwnerIndex_Create(NULL, view);
    uint64_t ids[HR_OWNER_CANDIDATES];
    int64_t start_ns = processor_ns();
    volatile uint64_t sink = 0;
    double each_ns;

    for (i = 0; i < rounds; i++) {
        const Group *group = &groups[i % GROUPS];

        HrOwnerIndex_Candidates(index, "pool", group->name, &group->prefer,
                                ids, HR_OWNER_CANDIDATES);
        sink = sink + ids[0];
    }
    each_ns = (double)(processor_ns() - start_ns) / rounds;
    print_for(view->member_count, "index_rank_one_group", "ns", each_ns,
              view_ns);
    print_for(view->member_count, "index_rank_all_groups", "ms",
              each_ns * GROUPS / 1e6, view_ns * GROUPS / 1e6);
    start_ns = processor_ns();
    talloc_free(HrOwnerIndex_Create(NULL, view));
    print_for(view->member_count, "index_create", "us",
              (double)(processor_ns() - start_ns) / 1e3, NAN);
    talloc_free(index);
}

/* Measures the time to rank the candidates of one group with a view. */
static void
measure_cost(const HrMemberView *view, const Group *groups)
{
    uint32_t i, rounds = 4000000 / (view->member_count + 50) + 100;
    int64_t start_ns = processor_ns();
    volatile uint64_t sink = 0;
    double each_ns;

    for (i = 0; i < rounds; i++) {
        sink = sink + find_scheduler(view, &groups[i % GROUPS]);
    }
    each_ns = (double)(processor_ns() - start_ns) / rounds;
    print_for(view->member_count, "rank_one_group", "ns", each_ns, NAN);
    print_for(view->member_count, "rank_all_groups", "ms",
              each_ns * GROUPS / 1e6, NAN);
    measure_index_cost(view, groups, each_ns);
}

/* Measures the share of groups that move when one member is lost. The
 * baseline is the least possible, that of the lost member's own groups; with
 * "hash modulo count" almost all would move. */
static void
measure_moves(HrMemberView *view, const Group *groups)
{
    uint64_t lost_id = view->members[view->member_count / 2].daemon_id;
    uint32_t i, moved = 0, owned = 0, modulo = 0;
    uint64_t *before = talloc_array(NULL, uint64_t, GROUPS);

    for (i = 0; i < GROUPS; i++) {
        before[i] = find_scheduler(view, &groups[i]);
        owned += before[i] == lost_id;
        modulo += HrHash_String(groups[i].name, 0) % view->member_count !=
                  HrHash_String(groups[i].name, 0) % (view->member_count - 1);
    }
    view->members[view->member_count / 2].state = HR_MEMBER_DEAD;
    for (i = 0; i < GROUPS; i++) {
        moved += find_scheduler(view, &groups[i]) != before[i];
    }
    view->members[view->member_count / 2].state = HR_MEMBER_ALIVE;
    print_for(view->member_count, "groups_moved", "percent",
              100.0 * moved / GROUPS, 100.0 * owned / GROUPS);
    print_for(view->member_count, "groups_moved_by_modulo", "percent",
              100.0 * modulo / GROUPS, NAN);
    talloc_free(before);
}

/* Orders counts. */
static int
compare_counts(const void *left, const void *right)
{
    return *(const int *)left - *(const int *)right;
}

/* Measures how many servers each member schedules. */
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
    print_for(view->member_count, "servers_per_member_median", "servers",
              median, (double)SERVERS / view->member_count);
    print_for(view->member_count, "servers_per_member_p99", "servers", p99,
              (double)SERVERS / view->member_count);
    print_for(view->member_count, "servers_per_member_most", "servers",
              servers[view->member_count - 1],
              (double)SERVERS / view->member_count);
    talloc_free(servers);
}

/* Orders members by id. */
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
        measure_moves(view, groups);
        measure_balance(view, groups);
        talloc_free(view);
    }
    talloc_free(groups);
    return 0;
}
