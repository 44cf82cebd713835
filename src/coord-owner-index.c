#include "coord-owner-index.h"

#include <string.h>
#include <talloc.h>

#include "coord-owner-rank.h"

/* Largest number of data centres that the index distinguishes; a cluster is
 * designed for 8. Members of further ones are ranked as not preferred. */
#define MAX_DATA_CENTRES 64

/* The data of one member that the ranking needs. */
typedef struct IndexedMember {
    uint64_t daemon_id;
    uint64_t mixed_id;          /* HrOwner_MixBits() of daemon_id */
    uint32_t tier;              /* see HrOwnerRank; without the preference */
    uint32_t data_centre_index; /* in data_centre_names; MAX_DATA_CENTRES: not
                                 * in it */
} IndexedMember;

struct HrOwnerIndex {
    IndexedMember *members;
    uint32_t member_count;
    char data_centre_names[MAX_DATA_CENTRES][HR_NAME_BYTES];
    uint32_t data_centre_count;
};

/* Returns the index of a data centre, or MAX_DATA_CENTRES if it is not listed.
 */
static uint32_t
find_data_centre(const HrOwnerIndex *index, const char *data_centre)
{
    uint32_t i;

    for (i = 0; i < index->data_centre_count; i++) {
        if (strcmp(index->data_centre_names[i], data_centre) == 0) {
            return i;
        }
    }
    return MAX_DATA_CENTRES;
}

/* Returns the index of a data centre and adds it if it is not listed;
 * MAX_DATA_CENTRES when the list is full. */
static uint32_t
find_or_add_data_centre(HrOwnerIndex *index, const char *data_centre)
{
    uint32_t data_centre_index = find_data_centre(index, data_centre);

    if (data_centre_index == MAX_DATA_CENTRES &&
        index->data_centre_count < MAX_DATA_CENTRES) {
        data_centre_index = index->data_centre_count++;
        memcpy(index->data_centre_names[data_centre_index], data_centre,
               HR_NAME_BYTES);
    }
    return data_centre_index;
}

/* Returns a mask with a bit for the index of each preferred data centre. */
static uint64_t
get_preferred_mask(const HrOwnerIndex *index, const HrOwnerPreference *prefer)
{
    uint64_t mask = 0;
    uint32_t i, data_centre_index;

    for (i = 0; prefer != NULL && i < prefer->data_centre_count; i++) {
        data_centre_index = find_data_centre(index, prefer->data_centres[i]);
        if (data_centre_index < MAX_DATA_CENTRES) {
            mask |= UINT64_C(1) << data_centre_index;
        }
    }
    return mask;
}

/* Creates the index of a view. The index does not refer to the view, which may
 * be freed. Returns NULL when out of memory. */
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
        indexed->mixed_id = HrOwner_MixBits(member->daemon_id);
        indexed->tier = member->state == HR_MEMBER_LEAVING ? 0 : 2;
        indexed->data_centre_index =
            find_or_add_data_centre(index, member->data_centre);
        index->member_count++;
    }
    return index;
}

/* Fills ids and returns their number like HrOwner_ListCandidates() on the
 * view. */
uint32_t
HrOwnerIndex_ListCandidates(const HrOwnerIndex *index, const char *pool,
                            const char *group, const HrOwnerPreference *prefer,
                            uint64_t *ids, uint32_t limit)
{
    uint64_t key = HrOwner_HashGroup(pool, group);
    uint64_t preferred = get_preferred_mask(index, prefer);
    HrOwnerRank best[HR_OWNER_MAX_RANKED] = {{0}};
    uint32_t i, count = 0;

    limit = limit < HR_OWNER_MAX_RANKED ? limit : HR_OWNER_MAX_RANKED;
    for (i = 0; i < index->member_count; i++) {
        const IndexedMember *member = &index->members[i];
        HrOwnerRank rank = {.daemon_id = member->daemon_id};

        rank.tier = member->tier;
        if (member->data_centre_index < MAX_DATA_CENTRES) {
            rank.tier += (preferred >> member->data_centre_index) & 1;
        }
        if (count == limit && limit > 0 && rank.tier < best[limit - 1].tier) {
            continue;
        }
        rank.score = HrOwner_MixBits(key ^ member->mixed_id);
        count = HrOwnerRank_Insert(best, count, limit, rank);
    }
    for (i = 0; i < count; i++) {
        ids[i] = best[i].daemon_id;
    }
    return count;
}
