#ifndef HR_COORD_OWNER_H
#define HR_COORD_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

/* Selects the daemons that are responsible for a key (a shard group, pool,
 * claim partition or data centre) by rendezvous hashing: each member has a
 * score, a hash of its id and of the key, and the highest scores are selected.
 * Daemons whose views have the same members select the same ones, and when a
 * member fails, only the keys that it owned are reassigned. */

/* Number of candidates of a shard group. The connection cap of a server is
 * divided among them, so a cluster of 4 daemons never exceeds the cap, even if
 * the daemons disagree on which of them schedules the group. */
#define HR_OWNER_CANDIDATES 4

/* Number of claim partitions. It is a constant, because two daemons with
 * different numbers would claim the same request id at two owners. */
#define HR_CLAIM_PARTITIONS 64

/* Number of store readers per data centre. With two, one remains when a VM
 * fails. */
#define HR_OWNER_STORE_READERS 2

/* The data centres of the servers of a shard group; their daemons are
 * preferred as candidates. */
typedef struct HrOwnerPreference {
    const char *const *data_centres;
    uint32_t data_centre_count;
} HrOwnerPreference;

/* Fills ids with the candidates of a shard group, at most limit and never more
 * than 2 * HR_OWNER_CANDIDATES, the scheduling daemon first. The order is:
 * alive and suspect members before leaving ones, then members of a preferred
 * data centre, then by rendezvous score. Dead members are excluded. prefer may
 * be NULL. Returns the number of candidates. */
uint32_t HrOwner_ListCandidates(const HrMemberView *view, const char *pool,
                                const char *group,
                                const HrOwnerPreference *prefer, uint64_t *ids,
                                uint32_t limit);

/* Returns true if the daemon is one of the HR_OWNER_CANDIDATES candidates of a
 * shard group. */
bool HrOwner_IsCandidate(const HrMemberView *view, const char *pool,
                         const char *group, const HrOwnerPreference *prefer,
                         uint64_t daemon_id);

/* Returns the id of the pool home, the daemon that merges the index versions
 * of a pool, or 0 if the view has only dead members or none. */
uint64_t HrOwner_FindPoolHome(const HrMemberView *view, const char *pool);

/* Returns the index of the claim partition of a request id, below
 * HR_CLAIM_PARTITIONS. */
uint32_t HrOwner_GetClaimPartition(const char *request_id);

/* Returns the id of the daemon that owns a claim partition, or 0 if the view
 * has only dead members or none. */
uint64_t HrOwner_FindPartitionOwner(const HrMemberView *view,
                                    uint32_t partition);

/* Fills ids with the daemons of a data centre that read the store, at most
 * limit. Returns their number. */
uint32_t HrOwner_ListStoreReaders(const HrMemberView *view,
                                  const char *data_centre, uint64_t *ids,
                                  uint32_t limit);

/* Returns the member with an id, or NULL if the view does not contain it. The
 * members must be sorted by daemon_id. */
const HrMember *HrMemberView_Find(const HrMemberView *view,
                                  uint64_t daemon_id);

#endif
