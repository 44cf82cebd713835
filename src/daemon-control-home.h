#ifndef HR_DAEMON_CONTROL_HOME_H
#define HR_DAEMON_CONTROL_HOME_H

#include "proto-peer-codec.h"
#include "state-index-map.h"
#include "state-tables.h"

/* The home of one pool: merges what the groups report into index maps. */
typedef struct HrPoolHome HrPoolHome;

/* Creates a home without reports; NULL when memory runs out. */
HrPoolHome *HrPoolHome_Create(const void *parent, const char *pool);

/* Takes in the report of a group. row is the pool's row of the tables. */
void HrPoolHome_TakeReport(HrPoolHome *home, const HrPool *row,
                           const HrPeerFrame *frame, int64_t now_ns,
                           int64_t wall_ms);

/* Returns the merged maps; NULL before the first report. Valid until the next
 * report. */
const HrIndexMapSet *HrPoolHome_Maps(const HrPoolHome *home);

#endif
