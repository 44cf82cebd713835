#ifndef HR_STATE_TABLES_BUILD_H
#define HR_STATE_TABLES_BUILD_H

#include "base-error.h"
#include "state-strings.h"
#include "state-tables.h"

/* Tables under construction. The arrays have a fixed capacity and hold copies
 * of the rows. The first failure is stored in status, so only the result of
 * HrTablesBuilder_Finish() has to be checked. */
typedef struct HrTablesBuilder {
    HrTables *tables;
    HrStringArena *strings;
    uint32_t route_capacity;
    uint32_t pool_capacity;
    uint32_t tombstone_capacity;
    uint32_t edit_capacity;
    int status; /* 0 or HR_ERR_NO_MEMORY */
} HrTablesBuilder;

/* Creates empty tables as a talloc child of parent, with a fixed capacity per
 * array. A failed allocation makes HrTablesBuilder_Finish() return NULL. */
HrTablesBuilder HrTablesBuilder_Start(const void *parent, uint32_t routes,
                                      uint32_t pools, uint32_t tombstones,
                                      uint32_t edits);

/* Each of these functions adds a copy of one row. A row beyond the capacity is
 * not added and makes HrTablesBuilder_Finish() return NULL. */
void HrTablesBuilder_AddRoute(HrTablesBuilder *builder, const HrRoute *route,
                              uint64_t revision);
void HrTablesBuilder_AddPool(HrTablesBuilder *builder, const HrPool *pool,
                             uint64_t revision);
void HrTablesBuilder_AddTombstone(HrTablesBuilder *builder,
                                  const HrTombstone *tombstone);
void HrTablesBuilder_AddEdit(HrTablesBuilder *builder,
                             const HrEditRecord *record);

/* Sets the revision, finalizes the tables and returns them. If memory ran out
 * or a row exceeded the capacity, frees them and returns NULL. */
HrTables *HrTablesBuilder_Finish(HrTablesBuilder *builder, uint64_t revision);

#endif
