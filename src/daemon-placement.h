#ifndef HR_DAEMON_PLACEMENT_H
#define HR_DAEMON_PLACEMENT_H

#include "coord-owner.h"
#include "coord-types.h"
#include "state-tables.h"

/* Which daemons schedule each shard group, computed once for each revision of
 * the tables and of the member view. Each task has its own. */
typedef struct HrPlacement HrPlacement;

/* The candidates of one group, the scheduling daemon first. */
typedef struct HrPlacedGroup {
    const char *pool;
    const char *group;
    uint64_t ids[HR_OWNER_CANDIDATES];
    uint32_t count;
} HrPlacedGroup;

/* Creates an empty placement. */
HrPlacement *HrPlacement_Create(const void *parent);

/* Brings the placement up to date; either argument may be NULL. Returns true
 * if something may have changed. */
bool HrPlacement_Update(HrPlacement *placement, const HrTables *tables,
                        const HrMemberView *view);

/* Returns a group of the tables, or NULL. Valid until the next update. */
const HrPlacedGroup *HrPlacement_Find(HrPlacement *placement, const char *pool,
                                      const char *group);

/* Returns the groups one by one: NULL starts, and NULL ends. */
const HrPlacedGroup *HrPlacement_Next(const HrPlacement *placement,
                                      const HrPlacedGroup *former);

/* Returns the rank of a daemon among the candidates, or -1. */
int HrPlacedGroup_Rank(const HrPlacedGroup *group, uint64_t daemon_id);

#endif
