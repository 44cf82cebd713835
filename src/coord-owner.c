#include "coord-owner.h"

#include <string.h>

#include "coord-owner-rank.h"

/* Returns the rendezvous score of a member for a key. */
static uint64_t
score_member(uint64_t key, uint64_t daemon_id)
{
    return HrOwner_Mix(key ^ HrOwner_Mix(daemon_id));
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

/* Fills ids with the best members for a key, of one data centre if only is
 * not NULL. */
static uint32_t
rank_members(const HrMemberView *view, uint64_t key,
             const HrOwnerPreference *prefer, const char *only, uint64_t *ids,
             uint32_t limit)
{
    HrOwnerRank best[HR_OWNER_RANK_MAX] = {{0}};
    uint32_t i, count = 0;

    if (limit > HR_OWNER_RANK_MAX) {
        limit = HR_OWNER_RANK_MAX;
    }
    for (i = 0; i < view->member_count; i++) {
        const HrMember *member = &view->members[i];
        HrOwnerRank rank = {.daemon_id = member->daemon_id};

        if (member->state == HR_MEMBER_DEAD ||
            (only != NULL && strcmp(only, member->data_centre) != 0)) {
            continue;
        }
        rank.tier = find_tier(member, prefer);
        rank.score = score_member(key, member->daemon_id);
        count = HrOwnerRank_Insert(best, count, limit, rank);
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
    uint64_t key = HrOwner_GroupKey(pool, group);

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
    return first_member(view, HrHash_String(pool, HR_OWNER_SEED_POOL));
}

/* Returns the claim partition of a request id. */
uint32_t
HrOwner_ClaimPartition(const char *request_id)
{
    return (uint32_t)(HrHash_String(request_id, HR_OWNER_SEED_REQUEST) %
                      HR_CLAIM_PARTITIONS);
}

/* Returns the daemon that owns a claim partition; 0 when the view has no
 * member. */
uint64_t
HrOwner_PartitionOwner(const HrMemberView *view, uint32_t partition)
{
    return first_member(
        view,
        HrOwner_Mix((uint64_t)HR_OWNER_SEED_PARTITION << 32 | partition));
}

/* Fills ids with at most limit daemons of a data centre that read the store.
 * Returns the number filled in. */
uint32_t
HrOwner_StoreReaders(const HrMemberView *view, const char *data_centre,
                     uint64_t *ids, uint32_t limit)
{
    return rank_members(view, HrHash_String(data_centre, HR_OWNER_SEED_READER),
                        NULL, data_centre, ids, limit);
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
