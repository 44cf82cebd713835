#include "daemon-snapshot.h"

#include <ck_epoch.h>
#include <ck_pr.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "trans-sync.h"

typedef enum SnapshotKind {
    SNAPSHOT_TABLES,
    SNAPSHOT_MEMBERS,
    SNAPSHOT_MAPS,
    SNAPSHOT_COUNT,
} SnapshotKind;

struct HrSnapshots {
    ck_epoch_t epoch;
    void *current[SNAPSHOT_COUNT];
    HrSnapshotReader *writer; /* that has replaced snapshots; NULL: none yet */
};

struct HrSnapshotReader {
    ck_epoch_record_t record;
    HrSnapshots *snapshots;
};

/* A replaced snapshot. It is freed when no reading section that may use it is
 * open any more. */
typedef struct Retired {
    ck_epoch_entry_t entry;
    HrSnapshots *snapshots;
    void *object;
} Retired;

/* Frees all snapshots. No reading section may be open. */
static int
destroy_snapshots(HrSnapshots *snapshots)
{
    int kind;

    if (snapshots->writer != NULL) {
        ck_epoch_barrier(&snapshots->writer->record);
    }
    for (kind = 0; kind < SNAPSHOT_COUNT; kind++) {
        talloc_free(snapshots->current[kind]);
    }
    return 0;
}

/* Creates an empty set of snapshots. */
HrSnapshots *
HrSnapshots_Create(const void *parent)
{
    HrSnapshots *snapshots = talloc_zero(parent, HrSnapshots);

    if (snapshots != NULL) {
        ck_epoch_init(&snapshots->epoch);
        talloc_set_destructor(snapshots, destroy_snapshots);
    }
    return snapshots;
}

/* Registers a reading thread. The type of the record requires alignment to a
 * cache line, which talloc does not guarantee, so the reader is placed at the
 * first aligned address of a larger chunk. */
HrSnapshotReader *
HrSnapshots_AddReader(HrSnapshots *snapshots)
{
    const size_t align = _Alignof(HrSnapshotReader);
    char *memory =
        talloc_zero_size(snapshots, sizeof(HrSnapshotReader) + align);
    HrSnapshotReader *reader;

    if (memory == NULL) {
        return NULL;
    }
    reader =
        (HrSnapshotReader *)(((uintptr_t)memory + align - 1) / align * align);
    reader->snapshots = snapshots;
    ck_epoch_register(&snapshots->epoch, &reader->record, NULL);
    return reader;
}

/* Opens a reading section. */
void
HrSnapshotReader_BeginSection(HrSnapshotReader *reader)
{
    ck_epoch_begin(&reader->record, NULL);
}

/* Closes a reading section. */
void
HrSnapshotReader_EndSection(HrSnapshotReader *reader)
{
    HR_SYNC_RELEASE(&reader->snapshots->epoch);
    ck_epoch_end(&reader->record, NULL);
}

/* Returns the current snapshot of a kind, or NULL. */
static const void *
load_snapshot(const HrSnapshots *snapshots, SnapshotKind kind)
{
    const void *object = ck_pr_load_ptr(&snapshots->current[kind]);

    HR_SYNC_ACQUIRE(&snapshots->current[kind]);
    return object;
}

/* Returns the tables in force, or NULL. */
const HrTables *
HrSnapshots_GetTables(const HrSnapshots *snapshots)
{
    return load_snapshot(snapshots, SNAPSHOT_TABLES);
}

/* Returns the member view, or NULL. */
const HrMemberView *
HrSnapshots_GetMemberView(const HrSnapshots *snapshots)
{
    return load_snapshot(snapshots, SNAPSHOT_MEMBERS);
}

/* Returns the index maps of all pools, or NULL. */
const HrMapTable *
HrSnapshots_GetMapTable(const HrSnapshots *snapshots)
{
    return load_snapshot(snapshots, SNAPSHOT_MAPS);
}

/* Compares a pool name with the name in an HrPoolMaps, for bsearch. */
static int
compare_pool(const void *name, const void *entry)
{
    return strcmp(name, ((const HrPoolMaps *)entry)->pool);
}

/* Returns the index maps of a pool, or NULL if there are none. */
const HrPoolMaps *
HrSnapshots_FindPoolMaps(const HrSnapshots *snapshots, const char *pool)
{
    const HrMapTable *maps = HrSnapshots_GetMapTable(snapshots);

    if (maps == NULL || maps->pool_count == 0) {
        return NULL;
    }
    return bsearch(pool, maps->pools, maps->pool_count, sizeof(HrPoolMaps),
                   compare_pool);
}

/* Frees a replaced snapshot. Called when no reading section can use it any
 * more. */
static void
free_retired(ck_epoch_entry_t *entry)
{
    Retired *retired = (Retired *)entry;

    HR_SYNC_ACQUIRE(&retired->snapshots->epoch);
    talloc_free(retired->object);
    talloc_free(retired);
}

/* Replaces a snapshot and schedules the replaced one to be freed. */
static void
publish_snapshot(HrSnapshots *snapshots, HrSnapshotReader *writer,
                 SnapshotKind kind, void *object)
{
    void *replaced = snapshots->current[kind];
    Retired *retired;

    HR_SYNC_RELEASE(&snapshots->current[kind]);
    ck_pr_fence_store();
    ck_pr_store_ptr(&snapshots->current[kind], object);
    if (replaced == NULL) {
        return;
    }
    retired = talloc_zero(NULL, Retired);
    if (retired == NULL) {
        return; /* the replaced snapshot is leaked */
    }
    retired->snapshots = snapshots;
    retired->object = replaced;
    snapshots->writer = writer;
    ck_epoch_call(&writer->record, &retired->entry, free_retired);
}

/* Replaces the tables. */
void
HrSnapshots_PublishTables(HrSnapshots *snapshots, HrSnapshotReader *writer,
                          HrTables *tables)
{
    publish_snapshot(snapshots, writer, SNAPSHOT_TABLES, tables);
}

/* Replaces the member view. */
void
HrSnapshots_PublishMemberView(HrSnapshots *snapshots, HrSnapshotReader *writer,
                              HrMemberView *view)
{
    publish_snapshot(snapshots, writer, SNAPSHOT_MEMBERS, view);
}

/* Replaces the index maps. */
void
HrSnapshots_PublishMapTable(HrSnapshots *snapshots, HrSnapshotReader *writer,
                            HrMapTable *maps)
{
    publish_snapshot(snapshots, writer, SNAPSHOT_MAPS, maps);
}

/* Frees the replaced snapshots that no reader can use any more. */
void
HrSnapshots_ReclaimRetired(HrSnapshotReader *writer)
{
    ck_epoch_poll(&writer->record);
}
