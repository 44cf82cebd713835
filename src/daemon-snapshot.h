#ifndef HR_DAEMON_SNAPSHOT_H
#define HR_DAEMON_SNAPSHOT_H

#include "coord-types.h"
#include "state-index-map.h"
#include "state-tables.h"

/* The immutable snapshots that all tasks read without a lock. The control
 * task publishes; a replaced snapshot is freed once no task can hold it. */
typedef struct HrSnapshots HrSnapshots;

/* The right of one thread to read snapshots. */
typedef struct HrSnapshotReader HrSnapshotReader;

/* The index maps of one pool. */
typedef struct HrPoolMaps {
    const char *pool;
    const HrIndexMapSet *set;
} HrPoolMaps;

/* The index maps of all pools in use, sorted by pool. */
typedef struct HrMapTable {
    HrPoolMaps *pools;
    uint32_t pool_count;
} HrMapTable;

/* Creates an empty store of snapshots. Freeing it frees them all. */
HrSnapshots *HrSnapshots_Create(const void *parent);

/* Registers a reading thread; the result lives as long as snapshots. */
HrSnapshotReader *HrSnapshots_AddReader(HrSnapshots *snapshots);

/* Opens and closes a section within which what the getters return stays
 * valid. A task keeps one open except while it waits. */
void HrSnapshotReader_Begin(HrSnapshotReader *reader);
void HrSnapshotReader_End(HrSnapshotReader *reader);

/* Returns the tables in force, or NULL before the first ones. */
const HrTables *HrSnapshots_Tables(const HrSnapshots *snapshots);

/* Returns the members, or NULL before the first view. */
const HrMemberView *HrSnapshots_Members(const HrSnapshots *snapshots);

/* Returns the index maps of a pool, or NULL when none were pulled. */
const HrPoolMaps *HrSnapshots_PoolMaps(const HrSnapshots *snapshots,
                                       const char *pool);

/* Returns the index maps of all pools, or NULL. */
const HrMapTable *HrSnapshots_Maps(const HrSnapshots *snapshots);

/* Each of these replaces one snapshot, which must be a talloc chunk without a
 * parent; only the control task calls them. */
void HrSnapshots_PublishTables(HrSnapshots *snapshots,
                               HrSnapshotReader *writer, HrTables *tables);
void HrSnapshots_PublishMembers(HrSnapshots *snapshots,
                                HrSnapshotReader *writer, HrMemberView *view);
void HrSnapshots_PublishMaps(HrSnapshots *snapshots, HrSnapshotReader *writer,
                             HrMapTable *maps);

/* Frees replaced snapshots that no reader can hold any more. */
void HrSnapshots_Reclaim(HrSnapshotReader *writer);

#endif
