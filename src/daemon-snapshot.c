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
    HrSnapshotReader *writer; /* the one that has retired snapshots */
};

struct HrSnapshotReader {
    ck_epoch_record_t record;
    HrSnapshots *snapshots;
};

/* A replaced snapshot that waits for its last reader. */
typedef struct Retired {
    ck_epoch_entry_t entry;
    HrSnapshots *snapshots;
    void *object;
} Retired;

/* Frees all snapshots; every reading section is closed by then. */
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

/* Creates an empty store of snapshots. */
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

/* Registers a reading thread. The record is aligned to a cache line by its
 * type, which talloc does not promise, so it is kept apart. */
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
HrSnapshotReader_Begin(HrSnapshotReader *reader)
{
    ck_epoch_begin(&reader->record, NULL);
}

/* Closes a reading section. */
void
HrSnapshotReader_End(HrSnapshotReader *reader)
{
    HR_SYNC_RELEASE(&reader->snapshots->epoch);
    ck_epoch_end(&reader->record, NULL);
}

/* Loads a snapshot. */
static const void *
load_snapshot(const HrSnapshots *snapshots, SnapshotKind kind)
{
    const void *object = ck_pr_load_ptr(&snapshots->current[kind]);

    HR_SYNC_ACQUIRE(&snapshots->current[kind]);
    return object;
}

/* Returns the tables in force, or NULL before the first ones. */
const HrTables *
HrSnapshots_Tables(const HrSnapshots *snapshots)
{
    return load_snapshot(snapshots, SNAPSHOT_TABLES);
}

/* Returns the members, or NULL before the first view. */
const HrMemberView *
HrSnapshots_Members(const HrSnapshots *snapshots)
{
    return load_snapshot(snapshots, SNAPSHOT_MEMBERS);
}

/* Returns the index maps of all pools, or NULL. */
const HrMapTable *
HrSnapshots_Maps(const HrSnapshots *snapshots)
{
    return load_snapshot(snapshots, SNAPSHOT_MAPS);
}

/* Compares a pool name with an entry. */
static int
compare_pool(const void *name, const void *entry)
{
    return strcmp(name, ((const HrPoolMaps *)entry)->pool);
}

/* Returns the index maps of a pool, or NULL when none were pulled. */
const HrPoolMaps *
HrSnapshots_PoolMaps(const HrSnapshots *snapshots, const char *pool)
{
    const HrMapTable *maps = HrSnapshots_Maps(snapshots);

    if (maps == NULL || maps->pool_count == 0) {
        return NULL;
    }
    return bsearch(pool, maps->pools, maps->pool_count, sizeof(HrPoolMaps),
                   compare_pool);
}

/* Frees a snapshot that no reader holds. */
static void
free_retired(ck_epoch_entry_t *entry)
{
    Retired *retired = (Retired *)entry;

    HR_SYNC_ACQUIRE(&retired->snapshots->epoch);
    talloc_free(retired->object);
    talloc_free(retired);
}

/* Replaces a snapshot and retires the former one. */
static void
publish(HrSnapshots *snapshots, HrSnapshotReader *writer, SnapshotKind kind,
        void *object)
{
    void *former = snapshots->current[kind];
    Retired *retired;

    HR_SYNC_RELEASE(&snapshots->current[kind]);
    ck_pr_fence_store();
    ck_pr_store_ptr(&snapshots->current[kind], object);
    if (former == NULL) {
        return;
    }
    retired = talloc_zero(NULL, Retired);
    if (retired == NULL) {
        return; /* the former snapshot stays until the process ends */
    }
    retired->snapshots = snapshots;
    retired->object = former;
    snapshots->writer = writer;
    ck_epoch_call(&writer->record, &retired->entry, free_retired);
}

/* Replaces the tables. */
void
HrSnapshots_PublishTables(HrSnapshots *snapshots, HrSnapshotReader *writer,
                          HrTables *tables)
{
    publish(snapshots, writer, SNAPSHOT_TABLES, tables);
}

/* Replaces the member view. */
void
HrSnapshots_PublishMembers(HrSnapshots *snapshots, HrSnapshotReader *writer,
                           HrMemberView *view)
{
    publish(snapshots, writer, SNAPSHOT_MEMBERS, view);
}

/* Replaces the index maps. */
void
HrSnapshots_PublishMaps(HrSnapshots *snapshots, HrSnapshotReader *writer,
                        HrMapTable *maps)
{
    publish(snapshots, writer, SNAPSHOT_MAPS, maps);
}

/* Frees replaced snapshots that no reader can hold any more. */
void
HrSnapshots_Reclaim(HrSnapshotReader *writer)
{
    ck_epoch_poll(&writer->record);
}
