#ifndef HR_COORD_BURN_H
#define HR_COORD_BURN_H

#include "coord-burn-report.h"
#include "coord-gather.h"
#include "state-tables.h"

/* Counts the answers of one daemon against the service-level objectives of
 * their routes. Times are wall times since 1970, so that the buckets of all
 * daemons are aligned. */

typedef struct HrBurnConfig {
    uint32_t max_entries; /* route and pool pairs; further ones are refused */
} HrBurnConfig;

typedef struct HrBurn HrBurn;

/* Returns the default configuration. */
HrBurnConfig HrBurnConfig_GetDefaults(void);

/* Creates an empty record; returns NULL when memory runs out. */
HrBurn *HrBurn_Create(const void *parent, const HrBurnConfig *config);

/* Counts one answer. A refused or unknown answer misses the latency
 * objective; shards that were not needed do not count against coverage; a
 * query that its caller cancelled does not count. Returns 0, HR_ERR_FULL or
 * HR_ERR_NO_MEMORY. */
int HrBurn_Record(HrBurn *burn, const HrRoute *route,
                  const HrGatherAnswer *answer, int64_t wall_ns);

/* Drops the entries of routes that the tables no longer hold. */
void HrBurn_Prune(HrBurn *burn, const HrTables *tables);

/* Returns the report at a time as a talloc child of parent; NULL when memory
 * runs out. */
HrBurnReport *HrBurn_Report(const HrBurn *burn, const void *parent,
                            int64_t wall_ns);

#endif
