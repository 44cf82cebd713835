#ifndef HR_COORD_BURN_H
#define HR_COORD_BURN_H

#include "coord-burn-report.h"
#include "coord-gather.h"
#include "state-tables.h"

/* Measures the answers of one daemon against the service-level objectives of
 * their routes. Times are wall times since 1970, which aligns the buckets of
 * all daemons. */

typedef struct HrBurnConfig {
    uint32_t max_entries; /* pairs of route and pool; answers of further pairs
                             are refused with HR_ERR_FULL */
} HrBurnConfig;

/* The counts of all routes over the last hour. */
typedef struct HrBurn HrBurn;

/* Returns the default configuration. */
HrBurnConfig HrBurnConfig_GetDefaults(void);

/* Creates empty counts of all routes. Returns NULL when out of memory. */
HrBurn *HrBurn_Create(const void *parent, const HrBurnConfig *config);

/* Counts one answer. A refused or unknown answer misses the latency objective.
 * Shards that were not needed do not count against coverage. Not counted are
 * queries that the caller cancelled or that were refused because the shard key
 * was missing, and answers before 1970. Returns 0, HR_ERR_FULL or
 * HR_ERR_NO_MEMORY. */
int HrBurn_RecordAnswer(HrBurn *burn, const HrRoute *route,
                        const HrGatherAnswer *answer, int64_t wall_ns);

/* Frees the counts of pairs of route and pool that are not in the tables. */
void HrBurn_PruneRoutes(HrBurn *burn, const HrTables *tables);

/* Creates the report of this daemon at a time, as a talloc child of parent.
 * Returns NULL when out of memory. */
HrBurnReport *HrBurn_CreateReport(const HrBurn *burn, const void *parent,
                                  int64_t wall_ns);

#endif
