#ifndef HR_DAEMON_CONTROL_HOME_H
#define HR_DAEMON_CONTROL_HOME_H

#include "proto-peer-codec.h"
#include "state-index-map.h"
#include "state-tables.h"

/* The home of one pool, which merges the reports of its shard groups into
 * index maps. */
typedef struct HrPoolHome HrPoolHome;

/* Creates a home without reports; returns NULL when out of memory. */
HrPoolHome *HrPoolHome_Create(const void *parent, const char *pool);

/* Stores the report of a group and, if it has changed, merges all recent
 * reports. row is the pool's row in the tables, wall_ms the wall time in ms
 * since 1970. */
void HrPoolHome_ApplyReport(HrPoolHome *home, const HrPool *row,
                            const HrPeerFrame *frame, int64_t now_ns,
                            int64_t wall_ms);

/* Returns the merged maps, valid until the next report; NULL before the first
 * report. */
const HrIndexMapSet *HrPoolHome_GetMaps(const HrPoolHome *home);

#endif
