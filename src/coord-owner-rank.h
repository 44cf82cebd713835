#ifndef HR_COORD_OWNER_RANK_H
#define HR_COORD_OWNER_RANK_H

/* Rendezvous scores and the sorted list of the best members. Shared by
 * coord-owner.c, which ranks a member view, and coord-owner-index.c. */

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "coord-owner.h"

/* Seeds of the hashes. Each use has its own, so that the daemon that is the
 * pool home of "a" is not also chosen for the shard group or data centre "a".
 */
enum {
    HR_OWNER_SEED_GROUP = 1,
    HR_OWNER_SEED_POOL = 2,
    HR_OWNER_SEED_PARTITION = 3,
    HR_OWNER_SEED_READER = 4,
    HR_OWNER_SEED_REQUEST = 5,
};

/* Largest number of members that a ranking returns. */
#define HR_OWNER_MAX_RANKED (2 * HR_OWNER_CANDIDATES)

/* The rank of one member. Ranks are ordered by higher tier, then by higher
 * score, then by lower id. */
typedef struct HrOwnerRank {
    uint32_t tier;  /* by member state and preferred data centre, 0 to 3 */
    uint64_t score; /* rendezvous score for the key */
    uint64_t daemon_id;
} HrOwnerRank;

/* Mixes all bits of a value, so that similar ids have unrelated scores (the
 * finalizer of MurmurHash3). */
static inline uint64_t
HrOwner_MixBits(uint64_t value)
{
    value ^= value >> 33;
    value *= UINT64_C(0xff51afd7ed558ccd);
    value ^= value >> 33;
    value *= UINT64_C(0xc4ceb9fe1a85ec53);
    value ^= value >> 33;
    return value;
}

/* Returns the rendezvous key of a shard group. */
static inline uint64_t
HrOwner_HashGroup(const char *pool, const char *group)
{
    return HrHash_String(group, HrHash_String(pool, HR_OWNER_SEED_GROUP));
}

/* Returns true if left is the better rank. */
static inline bool
HrOwnerRank_IsBefore(const HrOwnerRank *left, const HrOwnerRank *right)
{
    if (left->tier != right->tier) {
        return left->tier > right->tier;
    }
    if (left->score != right->score) {
        return left->score > right->score;
    }
    return left->daemon_id < right->daemon_id;
}

/* Inserts a rank into best, which is sorted and has count of at most limit
 * elements; when it is full, the worst one is dropped. Returns the new count.
 */
static inline uint32_t
HrOwnerRank_Insert(HrOwnerRank *best, uint32_t count, uint32_t limit,
                   HrOwnerRank rank)
{
    uint32_t i;

    if (count == limit) {
        if (limit == 0 || !HrOwnerRank_IsBefore(&rank, &best[count - 1])) {
            return count;
        }
        count--;
    }
    for (i = count; i > 0 && HrOwnerRank_IsBefore(&rank, &best[i - 1]); i--) {
        best[i] = best[i - 1];
    }
    best[i] = rank;
    return count + 1;
}

#endif
