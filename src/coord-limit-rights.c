#include <math.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "coord-limit-int.h"
#include "coord-owner-rank.h"

/* Changes of the weight of a group that are kept. The oldest are merged, which
 * only underestimates the content of an unused bucket. */
#define PIECES_MAX 16

/* More senders than any deployment has gateways. */
#define DELEGATIONS_MAX 8192

/* An earlier weight of a group, which ended when its integral was this. */
typedef struct Piece {
    double weight;
    double end_integral;
} Piece;

/* Delegations with identical lists. */
typedef struct Group {
    TAILQ_ENTRY(Group) entry;
    HrLimitLists lists;
    bool early; /* see HrLimitDelegation */
    uint32_t members;
    double weight;     /* sum of the rights of the members */
    double integral;   /* of the weight over time, in seconds */
    double new_weight; /* while weights are recomputed */
    /* Earlier weights with increasing values. A weight that was followed by a
     * lower one does not limit the content of a bucket any more. */
    Piece pieces[PIECES_MAX];
    uint32_t piece_count;
} Group;

TAILQ_HEAD(GroupList, Group);

/* The right of one gateway. */
typedef struct Delegation {
    uint64_t sender;
    Group *group;
    uint32_t gateway_count;
    uint32_t version;
    int64_t until_ns;
    UT_hash_handle hh;
} Delegation;

struct HrLimitRights {
    uint64_t self;
    uint32_t gateway_count;
    int64_t at_ns;          /* integrals are up to this time */
    int64_t next_expiry_ns; /* no delegation ends earlier */
    struct GroupList groups;
    Delegation *delegations;
    HrLimitSettleFn *settle_fn;
    void *arg;
};

uint32_t
HrLimitList_FindOwner(const HrLimitList *list, uint64_t key)
{
    uint64_t best_score = 0;
    uint32_t best = 0, i;

    for (i = 0; i < list->count; i++) {
        uint64_t score =
            HrOwner_MixBits(key ^ HrOwner_MixBits(list->names[i]));

        if (i == 0 || score > best_score) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

bool
HrLimitLists_Cover(const HrLimitLists *lists, uint64_t key, uint64_t gateway)
{
    uint32_t i;

    for (i = 0; i < lists->count; i++) {
        const HrLimitList *list = &lists->lists[i];
        uint32_t slot = HrLimitList_FindOwner(list, key);

        if (list->names[slot] != gateway &&
            (i == 0 || (list->ended & (1u << slot)) == 0)) {
            return false;
        }
    }
    return lists->count > 0;
}

/* Returns true if two lists are identical. */
static bool
is_list_equal(const HrLimitList *left, const HrLimitList *right)
{
    return left->count == right->count && left->ended == right->ended &&
           memcmp(left->names, right->names,
                  left->count * sizeof(left->names[0])) == 0;
}

static bool
are_lists_equal(const HrLimitLists *left, const HrLimitLists *right)
{
    uint32_t i;

    for (i = 0; i < left->count && i < right->count; i++) {
        if (!is_list_equal(&left->lists[i], &right->lists[i])) {
            return false;
        }
    }
    return left->count == right->count;
}

/* Returns the group of these lists, which is created if needed, or NULL when
 * out of memory. */
static Group *
get_or_create_group(HrLimitRights *rights, const HrLimitLists *lists,
                    bool early)
{
    Group *group;

    for (group = TAILQ_FIRST(&rights->groups); group != NULL;
         group = TAILQ_NEXT(group, entry)) {
        if (group->early == early && are_lists_equal(&group->lists, lists)) {
            return group;
        }
    }
    group = talloc_zero(rights, Group);
    if (group != NULL) {
        group->lists = *lists;
        group->early = early;
        group->piece_count = 1; /* weight 0 until now */
        TAILQ_INSERT_TAIL(&rights->groups, group, entry);
    }
    return group;
}

/* Returns true if the rights of a group count for a key. */
static bool
is_counted(const HrLimitRights *rights, const Group *group, uint64_t key,
           bool with_early)
{
    return (with_early || !group->early) &&
           HrLimitLists_Cover(&group->lists, key, rights->self);
}

void
HrLimitRights_Sum(const HrLimitRights *rights, uint64_t key, bool with_early,
                  double *weight, double *integral)
{
    const Group *group;

    *weight = 0;
    *integral = 0;
    for (group = TAILQ_FIRST(&rights->groups); group != NULL;
         group = TAILQ_NEXT(group, entry)) {
        if (is_counted(rights, group, key, with_early)) {
            *weight += group->weight;
            *integral += group->integral;
        }
    }
}

/* Returns the seconds of the full rate in a bucket of this depth that has
 * never been used. The content of a bucket is the least, over all times s, of
 * its capacity at s plus what arose since s. */
double
HrLimitRights_ComputeUnusedContent(const HrLimitRights *rights, uint64_t key,
                                   bool with_early, double depth_s)
{
    const Group *group;
    double sum = 0;

    for (group = TAILQ_FIRST(&rights->groups); group != NULL;
         group = TAILQ_NEXT(group, entry)) {
        double content = group->weight * depth_s;
        uint32_t i;

        if (!is_counted(rights, group, key, with_early)) {
            continue;
        }
        for (i = 0; i < group->piece_count; i++) {
            content = fmin(content, group->pieces[i].weight * depth_s +
                                        group->integral -
                                        group->pieces[i].end_integral);
        }
        sum += content;
    }
    return sum;
}

/* Sets the weight of a group and records the one that ends. */
static void
set_group_weight(Group *group, double weight)
{
    while (group->piece_count > 0 &&
           group->pieces[group->piece_count - 1].weight >= weight) {
        group->piece_count--;
    }
    if (group->weight < weight) {
        if (group->piece_count == PIECES_MAX) {
            group->pieces[1].weight = group->pieces[0].weight;
            memmove(&group->pieces[0], &group->pieces[1],
                    (PIECES_MAX - 1) * sizeof(group->pieces[0]));
            group->piece_count--;
        }
        group->pieces[group->piece_count++] =
            (Piece){group->weight, group->integral};
    }
    group->weight = weight;
}

/* Recomputes the weights of all groups. Before a change all buckets are
 * settled, because their capacity was that of the old weight until now; after
 * a decrease once more, because tokens whose right is used elsewhere must not
 * wait here until the weight grows again. The sum of the weights is at most 1,
 * because each right counts as 1 divided by at least the number of rights. */
static void
recompute_weights(HrLimitRights *rights)
{
    uint32_t least = HASH_COUNT(rights->delegations);
    Delegation *delegation;
    bool changed = false, decreased = false;
    Group *group;

    least = rights->gateway_count > least ? rights->gateway_count : least;
    for (group = TAILQ_FIRST(&rights->groups); group != NULL;
         group = TAILQ_NEXT(group, entry)) {
        group->new_weight = 0;
    }
    for (delegation = rights->delegations; delegation != NULL;
         delegation = delegation->hh.next) {
        uint32_t count = delegation->gateway_count > least
                             ? delegation->gateway_count
                             : least;

        delegation->group->new_weight += 1.0 / count;
    }
    for (group = TAILQ_FIRST(&rights->groups); group != NULL;
         group = TAILQ_NEXT(group, entry)) {
        if (fabs(group->new_weight - group->weight) > 1e-12) {
            changed = true;
            decreased = decreased || group->new_weight < group->weight;
        }
    }
    if (!changed) {
        return;
    }
    rights->settle_fn(rights->arg);
    for (group = TAILQ_FIRST(&rights->groups); group != NULL;
         group = TAILQ_NEXT(group, entry)) {
        set_group_weight(group, group->new_weight);
    }
    if (decreased) {
        rights->settle_fn(rights->arg);
    }
}

/* Advances the integrals to a time before which no weight changes. */
static void
integrate(HrLimitRights *rights, int64_t to_ns)
{
    double elapsed_s = (double)(to_ns - rights->at_ns) / HR_NS_PER_S;
    Group *group;

    if (to_ns <= rights->at_ns) {
        return;
    }
    for (group = TAILQ_FIRST(&rights->groups); group != NULL;
         group = TAILQ_NEXT(group, entry)) {
        group->integral += group->weight * elapsed_s;
    }
    rights->at_ns = to_ns;
}

/* Removes the delegations that have ended. Returns true if there was one. */
static bool
remove_ended_delegations(HrLimitRights *rights, int64_t now_ns)
{
    Delegation *delegation, *next;
    bool removed = false;

    rights->next_expiry_ns = HR_TIME_NEVER;
    for (delegation = rights->delegations; delegation != NULL;
         delegation = next) {
        next = delegation->hh.next;
        if (delegation->until_ns <= now_ns) {
            delegation->group->members--;
            HASH_DEL(rights->delegations, delegation);
            talloc_free(delegation);
            removed = true;
        }
        else if (delegation->until_ns < rights->next_expiry_ns) {
            rights->next_expiry_ns = delegation->until_ns;
        }
    }
    return removed;
}

/* Advances the state to now_ns; delegations end in the order of time. */
void
HrLimitRights_Advance(HrLimitRights *rights, int64_t now_ns)
{
    while (rights->next_expiry_ns <= now_ns) {
        int64_t expiry_ns = rights->next_expiry_ns;

        integrate(rights, expiry_ns);
        if (remove_ended_delegations(rights, expiry_ns)) {
            recompute_weights(rights);
        }
    }
    integrate(rights, now_ns);
}

/* Frees the hash table. */
static int
destroy_rights(HrLimitRights *rights)
{
    HASH_CLEAR(hh, rights->delegations);
    return 0;
}

HrLimitRights *
HrLimitRights_Create(const void *parent, uint64_t self,
                     HrLimitSettleFn *settle_fn, void *arg, int64_t now_ns)
{
    HrLimitRights *rights = talloc_zero(parent, HrLimitRights);

    if (rights != NULL) {
        talloc_set_destructor(rights, destroy_rights);
        rights->self = self;
        rights->at_ns = now_ns;
        rights->next_expiry_ns = HR_TIME_NEVER;
        rights->settle_fn = settle_fn;
        rights->arg = arg;
        TAILQ_INIT(&rights->groups);
    }
    return rights;
}

/* Returns the delegation of a sender, which is created if needed, or NULL when
 * out of memory. */
static Delegation *
get_or_create_delegation(HrLimitRights *rights, uint64_t sender)
{
    Delegation *delegation;

    HASH_FIND(hh, rights->delegations, &sender, sizeof(sender), delegation);
    if (delegation != NULL ||
        HASH_COUNT(rights->delegations) >= DELEGATIONS_MAX) {
        return delegation;
    }
    delegation = talloc_zero(rights, Delegation);
    if (delegation != NULL) {
        delegation->sender = sender;
        HASH_ADD(hh, rights->delegations, sender, sizeof(delegation->sender),
                 delegation);
    }
    return delegation;
}

void
HrLimitRights_SetDelegation(HrLimitRights *rights, uint64_t sender,
                            const HrLimitDelegation *delegation,
                            int64_t until_ns, int64_t now_ns)
{
    Delegation *held;
    Group *group;

    HrLimitRights_Advance(rights, now_ns);
    if (until_ns <= now_ns) {
        return;
    }
    group = get_or_create_group(rights, &delegation->lists, delegation->early);
    held = group != NULL ? get_or_create_delegation(rights, sender) : NULL;
    if (held == NULL || held->version > delegation->version) {
        return;
    }
    if (until_ns < rights->next_expiry_ns) {
        rights->next_expiry_ns = until_ns;
    }
    held->until_ns = until_ns;
    held->version = delegation->version;
    if (held->group == group &&
        held->gateway_count == delegation->gateway_count) {
        return;
    }
    if (held->group != NULL) {
        held->group->members--;
    }
    held->group = group;
    group->members++;
    held->gateway_count = delegation->gateway_count;
    recompute_weights(rights);
}

uint32_t
HrLimitRights_GetVersion(const HrLimitRights *rights, uint64_t sender)
{
    const Delegation *held;

    HASH_FIND(hh, rights->delegations, &sender, sizeof(sender), held);
    return held != NULL ? held->version : 0;
}

void
HrLimitRights_SetGatewayCount(HrLimitRights *rights, uint32_t count,
                              int64_t now_ns)
{
    if (rights->gateway_count != count) {
        HrLimitRights_Advance(rights, now_ns);
        rights->gateway_count = count;
        recompute_weights(rights);
    }
}

void
HrLimitRights_RemoveUnusedGroups(HrLimitRights *rights)
{
    Group *group, *next;

    for (group = TAILQ_FIRST(&rights->groups); group != NULL; group = next) {
        next = TAILQ_NEXT(group, entry);
        if (group->members == 0) {
            TAILQ_REMOVE(&rights->groups, group, entry);
            talloc_free(group);
        }
    }
}

uint32_t
HrLimitRights_Count(const HrLimitRights *rights)
{
    Delegation *own;

    HASH_FIND(hh, rights->delegations, &rights->self, sizeof(rights->self),
              own);
    return HASH_COUNT(rights->delegations) - (own != NULL ? 1 : 0);
}
