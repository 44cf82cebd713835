#ifndef HR_COORD_OWNER_H
#define HR_COORD_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

/* Candidates of a shard group: a server's connection cap is divided among
 * them, so 4 lets a cluster of 4 daemons disagree without exceeding it. */
#define HR_OWNER_CANDIDATES 4

/* Two daemons that disagreed on the number of claim partitions would claim
 * one request id in two places, so it is a constant. */
#define HR_CLAIM_PARTITIONS 64

/* Two readers per data centre keep one in place when a VM is lost. */
#define HR_OWNER_STORE_READERS 2

/* The data centres where the servers of a shard group are. */
typedef struct HrOwnerPreference {
    const char *const *data_centres;
    uint32_t data_centre_count;
} HrOwnerPreference;

/* Fills ids with at most limit candidates of a shard group, the scheduling
 * daemon first: alive and suspect members before leaving ones, then members
 * of a preferred data centre, then by rendezvous rank. Dead members are left
 * out. prefer may be NULL. Returns the number filled in. */
uint32_t HrOwner_Candidates(const HrMemberView *view, const char *pool,
                            const char *group, const HrOwnerPreference *prefer,
                            uint64_t *ids, uint32_t limit);

/* Returns true if the daemon is one of the HR_OWNER_CANDIDATES candidates of
 * a shard group. */
bool HrOwner_IsCandidate(const HrMemberView *view, const char *pool,
                         const char *group, const HrOwnerPreference *prefer,
                         uint64_t daemon_id);

/* Returns the daemon that merges the version lists of a pool; 0 when the view
 * has no member. */
uint64_t HrOwner_PoolHome(const HrMemberView *view, const char *pool);

/* Returns the claim partition of a request id. */
uint32_t HrOwner_ClaimPartition(const char *request_id);

/* Returns the daemon that owns a claim partition; 0 when the view has no
 * member. */
uint64_t HrOwner_PartitionOwner(const HrMemberView *view, uint32_t partition);

/* Fills ids with at most limit daemons of a data centre that read the store.
 * Returns the number filled in. */
uint32_t HrOwner_StoreReaders(const HrMemberView *view,
                              const char *data_centre, uint64_t *ids,
                              uint32_t limit);

/* Returns the member with an id, or NULL. */
const HrMember *HrMemberView_Find(const HrMemberView *view,
                                  uint64_t daemon_id);

#endif
