#ifndef HR_STATE_TABLES_BUILD_H
#define HR_STATE_TABLES_BUILD_H

#include "base-error.h"
#include "state-strings.h"
#include "state-tables.h"

/* Tables under construction: the arrays have a fixed room, rows are copied
 * in. A failed allocation is remembered and makes Finish return NULL. */
typedef struct HrTablesBuilder {
    HrTables *tables;
    HrStrings *strings;
    uint32_t route_room;
    uint32_t pool_room;
    uint32_t tombstone_room;
    uint32_t edit_room;
    int status; /* 0 or HR_ERR_NO_MEMORY */
} HrTablesBuilder;

/* Starts empty tables with room for so many rows. */
HrTablesBuilder HrTablesBuilder_Start(const void *parent, uint32_t routes,
                                      uint32_t pools, uint32_t tombstones,
                                      uint32_t edits);

/* Each of these copies one row; a row beyond the room is not added and makes
 * Finish return NULL. */
void HrTablesBuilder_AddRoute(HrTablesBuilder *builder, const HrRoute *route,
                              uint64_t revision);
void HrTablesBuilder_AddPool(HrTablesBuilder *builder, const HrPool *pool,
                             uint64_t revision);
void HrTablesBuilder_AddTombstone(HrTablesBuilder *builder,
                                  const HrTombstone *tombstone);
void HrTablesBuilder_AddEdit(HrTablesBuilder *builder,
                             const HrEditRecord *record);

/* Seals the tables at a revision and returns them, or frees them and returns
 * NULL when memory ran out. */
HrTables *HrTablesBuilder_Finish(HrTablesBuilder *builder, uint64_t revision);

#endif
