#ifndef HR_DAEMON_CONTROL_HOME_H
#define HR_DAEMON_CONTROL_HOME_H

#include "proto-peer-codec.h"
#include "state-index-map.h"
#include "state-tables.h"

/* The state that this daemon has as the home of one pool: the daemon that
 * merges the reports of the shard groups of the pool into its index maps. */
typedef struct HrPoolHome HrPoolHome;

/* Creates a pool home without reports. Returns NULL when out of memory. */
HrPoolHome *HrPoolHome_Create(const void *parent, const char *pool);

/* Stores the report of a group and, if it has changed, merges all recent
 * reports. frame is an HR_PEER_GROUP_REPORT, row the entry of the pool in the
 * tables, wall_ms the wall time in ms since 1970. When out of memory, the
 * previous maps remain. */
void HrPoolHome_ApplyReport(HrPoolHome *home, const HrPool *row,
                            const HrPeerFrame *frame, int64_t now_ns,
                            int64_t wall_ms);

/* Returns the merged maps, valid until the next report; NULL before the first
 * report. */
const HrIndexMapSet *HrPoolHome_GetMaps(const HrPoolHome *home);

#endif
