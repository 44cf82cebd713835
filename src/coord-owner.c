#include "coord-owner.h"

#include <string.h>

#include "coord-owner-rank.h"

/* Returns the rendezvous score of a member for a key. */
static uint64_t
compute_score(uint64_t key, uint64_t daemon_id)
{
    return HrOwner_MixBits(key ^ HrOwner_MixBits(daemon_id));
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

/* Returns the tier of a member: 0 leaving, 1 leaving and preferred, 2 alive or
 * suspect, 3 alive or suspect and preferred. */
static uint32_t
get_tier(const HrMember *member, const HrOwnerPreference *prefer)
{
    uint32_t tier = member->state == HR_MEMBER_LEAVING ? 0 : 2;

    return is_preferred(prefer, member->data_centre) ? tier + 1 : tier;
}

/* Fills ids with the best members for a key, in order, at most limit and at
 * most HR_OWNER_MAX_RANKED. Unless only_data_centre is NULL, the members of
 * other data centres are excluded. Returns the number of ids. */
static uint32_t
rank_members(const HrMemberView *view, uint64_t key,
             const HrOwnerPreference *prefer, const char *only_data_centre,
             uint64_t *ids, uint32_t limit)
{
    HrOwnerRank best[HR_OWNER_MAX_RANKED] = {{0}};
    uint32_t i, count = 0;

    if (limit > HR_OWNER_MAX_RANKED) {
        limit = HR_OWNER_MAX_RANKED;
    }
    for (i = 0; i < view->member_count; i++) {
        const HrMember *member = &view->members[i];
        HrOwnerRank rank = {.daemon_id = member->daemon_id};

        if (member->state == HR_MEMBER_DEAD ||
            (only_data_centre != NULL &&
             strcmp(only_data_centre, member->data_centre) != 0)) {
            continue;
        }
        rank.tier = get_tier(member, prefer);
        rank.score = compute_score(key, member->daemon_id);
        count = HrOwnerRank_Insert(best, count, limit, rank);
    }
    for (i = 0; i < count; i++) {
        ids[i] = best[i].daemon_id;
    }
    return count;
}

/* Returns the id of the best member for a key, or 0 if there is none. */
static uint64_t
find_best_member(const HrMemberView *view, uint64_t key)
{
    uint64_t id = 0;

    rank_members(view, key, NULL, NULL, &id, 1);
    return id;
}

/* Fills ids with the candidates of a shard group, at most limit, the
 * scheduling daemon first. See the header for the order. */
uint32_t
HrOwner_ListCandidates(const HrMemberView *view, const char *pool,
                       const char *group, const HrOwnerPreference *prefer,
                       uint64_t *ids, uint32_t limit)
{
    uint64_t key = HrOwner_HashGroup(pool, group);

    return rank_members(view, key, prefer, NULL, ids, limit);
}

/* Returns true if the daemon is one of the HR_OWNER_CANDIDATES candidates of a
 * shard group. */
bool
HrOwner_IsCandidate(const HrMemberView *view, const char *pool,
                    const char *group, const HrOwnerPreference *prefer,
                    uint64_t daemon_id)
{
    uint64_t ids[HR_OWNER_CANDIDATES];
    uint32_t i, count;

    count = HrOwner_ListCandidates(view, pool, group, prefer, ids,
                                   HR_OWNER_CANDIDATES);
    for (i = 0; i < count; i++) {
        if (ids[i] == daemon_id) {
            return true;
        }
    }
    return false;
}

/* Returns the id of the pool home, the daemon that merges the index versions
 * of a pool, or 0 if the view has only dead members or none. */
uint64_t
HrOwner_FindPoolHome(const HrMemberView *view, const char *pool)
{
    return find_best_member(view, HrHash_String(pool, HR_OWNER_SEED_POOL));
}

/* Returns the index of the claim partition of a request id, below
 * HR_CLAIM_PARTITIONS. */
uint32_t
HrOwner_GetClaimPartition(const char *request_id)
{
    return (uint32_t)(HrHash_String(request_id, HR_OWNER_SEED_REQUEST) %
                      HR_CLAIM_PARTITIONS);
}

/* Returns the id of the daemon that owns a claim partition, or 0 if the view
 * has only dead members or none. */
uint64_t
HrOwner_FindPartitionOwner(const HrMemberView *view, uint32_t partition)
{
    return find_best_member(
        view,
        HrOwner_MixBits((uint64_t)HR_OWNER_SEED_PARTITION << 32 | partition));
}

/* Fills ids with the daemons of a data centre that read the store, at most
 * limit. Returns their number. */
uint32_t
HrOwner_ListStoreReaders(const HrMemberView *view, const char *data_centre,
                         uint64_t *ids, uint32_t limit)
{
    return rank_members(view, HrHash_String(data_centre, HR_OWNER_SEED_READER),
                        NULL, data_centre, ids, limit);
}

/* Returns the member with an id, or NULL if the view does not contain it. The
 * members must be sorted by daemon_id. */
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
