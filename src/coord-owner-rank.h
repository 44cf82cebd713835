#ifndef HR_COORD_OWNER_RANK_H
#define HR_COORD_OWNER_RANK_H

/* Rendezvous scores and the list of the best members, shared by the ranking
 * of a view and of an index. */

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "coord-owner.h"

/* Each use hashes with another seed, so that the pool home of "a" is not also
 * the owner of every other thing named "a". */
enum {
    HR_OWNER_SEED_GROUP = 1,
    HR_OWNER_SEED_POOL = 2,
    HR_OWNER_SEED_PARTITION = 3,
    HR_OWNER_SEED_READER = 4,
    HR_OWNER_SEED_REQUEST = 5,
};

/* More candidates than this are never ranked. */
#define HR_OWNER_RANK_MAX (2 * HR_OWNER_CANDIDATES)

/* The rank of one member: a higher tier wins, then the higher score, then the
 * lower id. */
typedef struct HrOwnerRank {
    uint32_t tier;
    uint64_t score;
    uint64_t daemon_id;
} HrOwnerRank;

/* Mixes all bits of a value (the finalizer of MurmurHash3). */
static inline uint64_t
HrOwner_Mix(uint64_t value)
{
    value ^= value >> 33;
    value *= UINT64_C(0xff51afd7ed558ccd);
    value ^= value >> 33;
    value *= UINT64_C(0xc4ceb9fe1a85ec53);
    value ^= value >> 33;
    return value;
}

/* Returns the key of a shard group. */
static inline uint64_t
HrOwner_GroupKey(const char *pool, const char *group)
{
    return HrHash_String(group, HrHash_String(pool, HR_OWNER_SEED_GROUP));
}

/* Returns true if left ranks before right. */
static inline bool
HrOwnerRank_Before(const HrOwnerRank *left, const HrOwnerRank *right)
{
    if (left->tier != right->tier) {
        return left->tier > right->tier;
    }
    if (left->score != right->score) {
        return left->score > right->score;
    }
    return left->daemon_id < right->daemon_id;
}

/* Inserts a rank into the sorted best ones; returns the new count. */
static inline uint32_t
HrOwnerRank_Insert(HrOwnerRank *best, uint32_t count, uint32_t limit,
                   HrOwnerRank rank)
{
    uint32_t i;

    if (count == limit) {
        if (limit == 0 || !HrOwnerRank_Before(&rank, &best[count - 1])) {
            return count;
        }
        count--;
    }
    for (i = count; i > 0 && HrOwnerRank_Before(&rank, &best[i - 1]); i--) {
        best[i] = best[i - 1];
    }
    best[i] = rank;
    return count + 1;
}

#endif
