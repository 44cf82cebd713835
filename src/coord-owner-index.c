#include "coord-owner-index.h"

#include <string.h>
#include <talloc.h>

#include "coord-owner-rank.h"

/* Members of more data centres than this are ranked as if theirs were not
 * preferred; the design has 8. */
#define CENTRES_MAX 64

/* What the ranking needs of one member. */
typedef struct IndexedMember {
    uint64_t daemon_id;
    uint64_t mixed_id;
    uint32_t tier;   /* without the preference */
    uint32_t centre; /* bit number; CENTRES_MAX: none */
} IndexedMember;

struct HrOwnerIndex {
    IndexedMember *members;
    uint32_t member_count;
    char centres[CENTRES_MAX][HR_NAME_BYTES];
    uint32_t centre_count;
};

/* Returns the bit number of a data centre; CENTRES_MAX when it is unknown. */
static uint32_t
find_centre(const HrOwnerIndex *index, const char *data_centre)
{
    uint32_t i;

    for (i = 0; i < index->centre_count; i++) {
        if (strcmp(index->centres[i], data_centre) == 0) {
            return i;
        }
    }
    return CENTRES_MAX;
}

/* Returns the bit number of a data centre, added if need be. */
static uint32_t
obtain_centre(HrOwnerIndex *index, const char *data_centre)
{
    uint32_t centre = find_centre(index, data_centre);

    if (centre == CENTRES_MAX && index->centre_count < CENTRES_MAX) {
        centre = index->centre_count++;
        memcpy(index->centres[centre], data_centre, HR_NAME_BYTES);
    }
    return centre;
}

/* Returns the bits of the preferred data centres. */
static uint64_t
find_preferred(const HrOwnerIndex *index, const HrOwnerPreference *prefer)
{
    uint64_t bits = 0;
    uint32_t i, centre;

    for (i = 0; prefer != NULL && i < prefer->data_centre_count; i++) {
        centre = find_centre(index, prefer->data_centres[i]);
        if (centre < CENTRES_MAX) {
            bits |= UINT64_C(1) << centre;
        }
    }
    return bits;
}

/* Creates the index of a view, which it does not refer to afterwards; NULL
 * when memory is short. */
HrOwnerIndex *
HrOwnerIndex_Create(const void *parent, const HrMemberView *view)
{
    HrOwnerIndex *index = talloc_zero(parent, HrOwnerIndex);
    uint32_t i;

    if (index == NULL) {
        return NULL;
    }
    index->members = talloc_array(index, IndexedMember, view->member_count);
    if (index->members == NULL) {
        talloc_free(index);
        return NULL;
    }
    for (i = 0; i < view->member_count; i++) {
        const HrMember *member = &view->members[i];
        IndexedMember *indexed = &index->members[index->member_count];

        if (member->state == HR_MEMBER_DEAD) {
            continue;
        }
        indexed->daemon_id = member->daemon_id;
        indexed->mixed_id = HrOwner_Mix(member->daemon_id);
        indexed->tier = member->state == HR_MEMBER_LEAVING ? 0 : 2;
        indexed->centre = obtain_centre(index, member->data_centre);
        index->member_count++;
    }
    return index;
}

/* Returns what HrOwner_Candidates() returns for the view. */
uint32_t
HrOwnerIndex_Candidates(const HrOwnerIndex *index, const char *pool,
                        const char *group, const HrOwnerPreference *prefer,
                        uint64_t *ids, uint32_t limit)
{
    uint64_t key = HrOwner_GroupKey(pool, group);
    uint64_t preferred = find_preferred(index, prefer);
    HrOwnerRank best[HR_OWNER_RANK_MAX] = {{0}};
    uint32_t i, count = 0;

    limit = limit < HR_OWNER_RANK_MAX ? limit : HR_OWNER_RANK_MAX;
    for (i = 0; i < index->member_count; i++) {
        const IndexedMember *member = &index->members[i];
        HrOwnerRank rank = {.daemon_id = member->daemon_id};

        rank.tier = member->tier;
        if (member->centre < CENTRES_MAX) {
            rank.tier += (preferred >> member->centre) & 1;
        }
        if (count == limit && limit > 0 && rank.tier < best[limit - 1].tier) {
            continue;
        }
        rank.score = HrOwner_Mix(key ^ member->mixed_id);
        count = HrOwnerRank_Insert(best, count, limit, rank);
    }
    for (i = 0; i < count; i++) {
        ids[i] = best[i].daemon_id;
    }
    return count;
}
