#ifndef HR_DAEMON_PLACEMENT_H
#define HR_DAEMON_PLACEMENT_H

#include "coord-owner.h"
#include "coord-types.h"
#include "state-tables.h"

/* The candidates that may schedule each shard group of the tables. They are
 * computed again when the tables change, or when the member view changes in a
 * way that affects the ranking. Each task has its own placement. */
typedef struct HrPlacement HrPlacement;

/* A shard group and the daemon ids of its candidates, the scheduling daemon
 * first. */
typedef struct HrPlacedGroup {
    const char *pool;
    const char *group;
    uint64_t ids[HR_OWNER_CANDIDATES];
    uint32_t count;
} HrPlacedGroup;

/* Creates a placement without groups. Returns NULL when out of memory. */
HrPlacement *HrPlacement_Create(const void *parent);

/* Updates the placement to the tables and the view; either may be NULL.
 * Returns true if a group or its candidates may have changed. */
bool HrPlacement_Update(HrPlacement *placement, const HrTables *tables,
                        const HrMemberView *view);

/* Returns a group with its candidates, or NULL if the tables do not contain it
 * or when out of memory. The group is valid until the next update. */
const HrPlacedGroup *HrPlacement_FindGroup(HrPlacement *placement,
                                           const char *pool,
                                           const char *group);

/* Returns the group after previous, or the first one if previous is NULL; NULL
 * after the last group. */
const HrPlacedGroup *HrPlacement_GetNextGroup(const HrPlacement *placement,
                                              const HrPlacedGroup *previous);

/* Returns the rank of a daemon among the candidates, 0 for the scheduling
 * daemon, or -1 if it is no candidate. */
int HrPlacedGroup_GetRank(const HrPlacedGroup *group, uint64_t daemon_id);

#endif
