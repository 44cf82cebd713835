#ifndef HR_DAEMON_SNAPSHOT_H
#define HR_DAEMON_SNAPSHOT_H

#include "coord-types.h"
#include "state-index-map.h"
#include "state-tables.h"

/* The immutable snapshots that all tasks read without a lock. Only the control
 * task publishes snapshots. A replaced snapshot is freed when no reading
 * section that may use it is open any more (epoch-based reclamation). */
typedef struct HrSnapshots HrSnapshots;

/* The registration of one thread that reads snapshots. */
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

/* Creates an empty set of snapshots. Freeing it frees all snapshots; no
 * reading section may be open then. Returns NULL when memory runs out. */
HrSnapshots *HrSnapshots_Create(const void *parent);

/* Registers a reading thread. The reader is freed together with snapshots.
 * Returns NULL when memory runs out. */
HrSnapshotReader *HrSnapshots_AddReader(HrSnapshots *snapshots);

/* Open and close a reading section. Pointers from the getters are valid until
 * the section is closed. A task closes its section only while it waits for
 * events. */
void HrSnapshotReader_BeginSection(HrSnapshotReader *reader);
void HrSnapshotReader_EndSection(HrSnapshotReader *reader);

/* Returns the tables in force, or NULL if none were published yet. */
const HrTables *HrSnapshots_GetTables(const HrSnapshots *snapshots);

/* Returns the member view, or NULL if none was published yet. */
const HrMemberView *HrSnapshots_GetMemberView(const HrSnapshots *snapshots);

/* Returns the index maps of a pool, or NULL if there are none. */
const HrPoolMaps *HrSnapshots_FindPoolMaps(const HrSnapshots *snapshots,
                                           const char *pool);

/* Returns the index maps of all pools, or NULL if none were published yet. */
const HrMapTable *HrSnapshots_GetMapTable(const HrSnapshots *snapshots);

/* Replace one snapshot. The new one must be a talloc chunk without a parent
 * and belongs to snapshots from then on. Only the control task may call these
 * functions; writer is its own reader. */
void HrSnapshots_PublishTables(HrSnapshots *snapshots,
                               HrSnapshotReader *writer, HrTables *tables);
void HrSnapshots_PublishMemberView(HrSnapshots *snapshots,
                                   HrSnapshotReader *writer,
                                   HrMemberView *view);
void HrSnapshots_PublishMapTable(HrSnapshots *snapshots,
                                 HrSnapshotReader *writer, HrMapTable *maps);

/* Frees the replaced snapshots that no reader can use any more. writer is the
 * reader of the control task. */
void HrSnapshots_ReclaimRetired(HrSnapshotReader *writer);

#endif
