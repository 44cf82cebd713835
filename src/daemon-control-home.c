#include "daemon-control-home.h"

#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "base-clock.h"
#include "base-rng.h"
#include "state-index-map-copy.h"

/* A merge leaves out the groups that have not reported for this long. */
#define REPORT_MAX_AGE_NS (10 * HR_NS_PER_S)

/* The last report of a group: the index versions that its servers hold. */
typedef struct GroupReport {
    UT_hash_handle hh;
    char *group;
    HrGroupVersion *versions;
    uint32_t version_count;
    uint64_t hash; /* of the encoded report */
    int64_t received_ns;
    uint64_t last_merge; /* merge_count of the last merge that included it */
} GroupReport;

struct HrPoolHome {
    char *pool;
    GroupReport *reports; /* hash by group */
    HrIndexMapSet *merged;
    uint64_t merge_count; /* number of the last merge */
};

/* Clears the hash table before its reports are freed. */
static int
destroy_home(HrPoolHome *home)
{
    HASH_CLEAR(hh, home->reports);
    return 0;
}

/* Creates a pool home without reports. Returns NULL when out of memory. */
HrPoolHome *
HrPoolHome_Create(const void *parent, const char *pool)
{
    HrPoolHome *home = talloc_zero(parent, HrPoolHome);

    if (home == NULL) {
        return NULL;
    }
    home->pool = talloc_strdup(home, pool);
    if (home->pool == NULL) {
        talloc_free(home);
        return NULL;
    }
    talloc_set_destructor(home, destroy_home);
    return home;
}

/* Lists the index versions of the groups of the pool that have reported within
 * REPORT_MAX_AGE_NS, each group once. Returns the number of groups. */
static uint32_t
list_recent_versions(HrPoolHome *home, const HrPool *row, int64_t now_ns,
                     const HrGroupVersion **lists, uint32_t *counts)
{
    uint32_t i, count = 0;

    home->merge_count++;
    for (i = 0; i < row->server_count; i++) {
        GroupReport *report = NULL;

        HASH_FIND_STR(home->reports, row->servers[i].group, report);
        if (report == NULL || report->last_merge == home->merge_count ||
            now_ns - report->received_ns >= REPORT_MAX_AGE_NS) {
            continue;
        }
        report->last_merge = home->merge_count;
        lists[count] = report->versions;
        counts[count] = report->version_count;
        count++;
    }
    return count;
}

/* Returns a revision above the previous one. Uses the wall time in ms if that
 * is higher, because the revision must also exceed those of an earlier pool
 * home. The clocks of the two daemons must agree for this. */
static uint64_t
compute_next_revision(const HrPoolHome *home, int64_t wall_ms)
{
    uint64_t former = home->merged != NULL ? home->merged->revision : 0;

    return (uint64_t)wall_ms > former ? (uint64_t)wall_ms : former + 1;
}

/* Merges the recent reports. Retains the previous maps when out of memory. */
static void
merge_reports(HrPoolHome *home, const HrPool *row, int64_t now_ns,
              int64_t wall_ms)
{
    const HrGroupVersion **lists =
        talloc_array(home, const HrGroupVersion *, row->server_count);
    uint32_t *counts = talloc_array(home, uint32_t, row->server_count);
    HrIndexMapSet *merged;
    uint32_t count;

    if (lists != NULL && counts != NULL) {
        count = list_recent_versions(home, row, now_ns, lists, counts);
        merged =
            HrIndexMapSet_MergeVersions(home, home->pool, lists, counts, count,
                                        compute_next_revision(home, wall_ms));
        if (merged != NULL) {
            talloc_free(home->merged);
            home->merged = merged;
        }
    }
    talloc_free(lists);
    talloc_free(counts);
}

/* Copies the versions of a report. Returns NULL when out of memory. */
static HrGroupVersion *
copy_versions(const void *parent, const HrPeerGroupReport *report)
{
    HrGroupVersion *copy =
        talloc_array(parent, HrGroupVersion, report->version_count);
    uint32_t i;

    for (i = 0; copy != NULL && i < report->version_count; i++) {
        copy[i] = report->versions[i];
        copy[i].shards = HrShards_Copy(copy, report->versions[i].shards,
                                       report->versions[i].shard_count);
        if (copy[i].shards == NULL) {
            TALLOC_FREE(copy);
        }
    }
    return copy;
}

/* Returns a hash that shows whether a report differs from the previous one of
 * its group. */
static uint64_t
hash_report(const HrPeerFrame *frame)
{
    HrBytes bytes;
    uint64_t hash = 0;

    if (HrPeerFrame_Encode(NULL, frame, 0, &bytes) == HR_OK) {
        hash = HrHash_Bytes(bytes.data, bytes.length_bytes, 0);
        talloc_free((void *)bytes.data);
    }
    return hash;
}

/* Returns the report entry of a group, creating it if necessary. Returns NULL
 * when out of memory. */
static GroupReport *
find_or_create_report(HrPoolHome *home, const char *group)
{
    GroupReport *report = NULL;

    HASH_FIND_STR(home->reports, group, report);
    if (report != NULL) {
        return report;
    }
    report = talloc_zero(home, GroupReport);
    if (report == NULL) {
        return NULL;
    }
    report->group = talloc_strdup(report, group);
    if (report->group == NULL) {
        talloc_free(report);
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, home->reports, report->group, strlen(report->group),
                    report);
    return report;
}

/* Stores the report of a group. Merges all recent reports if it has changed,
 * or if the last merge left it out because it was not recent. */
void
HrPoolHome_ApplyReport(HrPoolHome *home, const HrPool *row,
                       const HrPeerFrame *frame, int64_t now_ns,
                       int64_t wall_ms)
{
    const HrPeerGroupReport *content = &frame->u.group_report;
    GroupReport *report = find_or_create_report(home, content->group);
    uint64_t hash = hash_report(frame);

    if (report == NULL) {
        return;
    }
    report->received_ns = now_ns;
    if (report->versions == NULL || report->hash != hash) {
        talloc_free(report->versions);
        report->versions = copy_versions(report, content);
        report->version_count =
            report->versions != NULL ? content->version_count : 0;
        report->hash = hash;
    }
    else if (report->last_merge == home->merge_count) {
        return;
    }
    merge_reports(home, row, now_ns, wall_ms);
}

/* Returns the merged maps, or NULL before the first report. */
const HrIndexMapSet *
HrPoolHome_GetMaps(const HrPoolHome *home)
{
    return home->merged;
}
