#include "coord-owner.h"

#include <string.h>

#include "base-rng.h"

/* Each use hashes with another seed, so that the pool home of "a" is not also
 * the owner of every other thing named "a". */
enum {
    SEED_GROUP = 1,
    SEED_POOL = 2,
    SEED_PARTITION = 3,
    SEED_READER = 4,
    SEED_REQUEST = 5,
};

/* The rank of one member: a higher tier wins, then the higher score, then the
 * lower id. */
typedef struct Rank {
    uint32_t tier;
    uint64_t score;
    uint64_t daemon_id;
} Rank;

/* Mixes all bits of a value (the finalizer of MurmurHash3). */
static uint64_t
mix_bits(uint64_t value)
{
    value ^= value >> 33;
    value *= UINT64_C(0xff51afd7ed558ccd);
    value ^= value >> 33;
    value *= UINT64_C(0xc4ceb9fe1a85ec53);
    value ^= value >> 33;
    return value;
}

/* Returns the rendezvous score of a member for a key. */
static uint64_t
score_member(uint64_t key, uint64_t daemon_id)
{
    return mix_bits(key ^ mix_bits(daemon_id));
}

/* Returns true if left ranks before right. */
static bool
rank_before(const Rank *left, const Rank *right)
{
    if (left->tier != right->tier) {
        return left->tier > right->tier;
    }
    if (left->score != right->score) {
        return left->score > right->score;
    }
    return left->daemon_id < right->daemon_id;
}

/* Returns true if a data centre is among the preferred ones. */
static bool
is_preferred(const HrOwnerPreference *prefer, const char *data_centre)
{
    uint32_t i;

    if (prefer == NULL) {
        return false;
    }
    for (i = 0; i < prefer->data_centre_count; i++) {
        if (strcmp(prefer->data_centres[i], data_centre) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the tier of a member: 0 leaving, 1 leaving and preferred, 2 in
 * service, 3 in service and preferred. */
static uint32_t
find_tier(const HrMember *member, const HrOwnerPreference *prefer)
{
    uint32_t tier = member->state == HR_MEMBER_LEAVING ? 0 : 2;

    return is_preferred(prefer, member->data_centre) ? tier + 1 : tier;
}

/* Inserts a rank into the sorted best ones; returns the new count. */
static uint32_t
insert_rank(Rank *best, uint32_t count, uint32_t limit, Rank rank)
{
    uint32_t i;

    if (count == limit) {
        if (limit == 0 || !rank_before(&rank, &best[count - 1])) {
            return count;
        }
        count--;
    }
    for (i = count; i > 0 && rank_before(&rank, &best[i - 1]); i--) {
        best[i] = best[i - 1];
    }
    best[i] = rank;
    return count + 1;
}

/* Fills ids with the best members for a key, of one data centre if only is
 * not NULL. */
static uint32_t
rank_members(const HrMemberView *view, uint64_t key,
             const HrOwnerPreference *prefer, const char *only, uint64_t *ids,
             uint32_t limit)
{
    Rank best[HR_OWNER_CANDIDATES * 2] = {{0}};
    uint32_t i, count = 0;

    if (limit > HR_OWNER_CANDIDATES * 2) {
        limit = HR_OWNER_CANDIDATES * 2;
    }
    for (i = 0; i < view->member_count; i++) {
        const HrMember *member = &view->members[i];
        Rank rank = {.daemon_id = member->daemon_id};

        if (member->state == HR_MEMBER_DEAD ||
            (only != NULL && strcmp(only, member->data_centre) != 0)) {
            continue;
        }
        rank.tier = find_tier(member, prefer);
        rank.score = score_member(key, member->daemon_id);
        count = insert_rank(best, count, limit, rank);
    }
    for (i = 0; i < count; i++) {
        ids[i] = best[i].daemon_id;
    }
    return count;
}

/* Returns the best member for a key; 0 when there is none. */
static uint64_t
first_member(const HrMemberView *view, uint64_t key)
{
    uint64_t id = 0;

    rank_members(view, key, NULL, NULL, &id, 1);
    return id;
}

/* Fills ids with at most limit candidates of a shard group, the scheduling
 * daemon first. See the header for the order. */
uint32_t
HrOwner_Candidates(const HrMemberView *view, const char *pool,
                   const char *group, const HrOwnerPreference *prefer,
                   uint64_t *ids, uint32_t limit)
{
    uint64_t key = HrHash_String(group, HrHash_String(pool, SEED_GROUP));

    return rank_members(view, key, prefer, NULL, ids, limit);
}

/* Returns true if the daemon is one of the HR_OWNER_CANDIDATES candidates of
 * a shard group. */
bool
HrOwner_IsCandidate(const HrMemberView *view, const char *pool,
                    const char *group, const HrOwnerPreference *prefer,
                    uint64_t daemon_id)
{
    uint64_t ids[HR_OWNER_CANDIDATES];
    uint32_t i, count;

    count = HrOwner_Candidates(view, pool, group, prefer, ids,
                               HR_OWNER_CANDIDATES);
    for (i = 0; i < count; i++) {
        if (ids[i] == daemon_id) {
            return true;
        }
    }
    return false;
}

/* Returns the daemon that merges the version lists of a pool; 0 when the view
 * has no member. */
uint64_t
HrOwner_PoolHome(const HrMemberView *view, const char *pool)
{
    return first_member(view, HrHash_String(pool, SEED_POOL));
}

/* Returns the claim partition of a request id. */
uint32_t
HrOwner_ClaimPartition(const char *request_id)
{
    return (uint32_t)(HrHash_String(request_id, SEED_REQUEST) %
                      HR_CLAIM_PARTITIONS);
}

/* Returns the daemon that owns a claim partition; 0 when the view has no
 * member. */
uint64_t
HrOwner_PartitionOwner(const HrMemberView *view, uint32_t partition)
{
    return first_member(view,
                        mix_bits((uint64_t)SEED_PARTITION << 32 | partition));
}

/* Fills ids with at most limit daemons of a data centre that read the store.
 * Returns the number filled in. */
uint32_t
HrOwner_StoreReaders(const HrMemberView *view, const char *data_centre,
                     uint64_t *ids, uint32_t limit)
{
    return rank_members(view, HrHash_String(data_centre, SEED_READER), NULL,
                        data_centre, ids, limit);
}

/* Returns the member with an id, or NULL. */
const HrMember *
HrMemberView_Find(const HrMemberView *view, uint64_t daemon_id)
{
    uint32_t low = 0, high = view->member_count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (view->members[middle].daemon_id == daemon_id) {
            return &view->members[middle];
        }
        if (view->members[middle].daemon_id < daemon_id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}
