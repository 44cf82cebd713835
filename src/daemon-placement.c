#include "daemon-placement.h"

#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "base-rng.h"
#include "coord-owner-index.h"

/* A shard group with the data centres of its servers. */
typedef struct GroupEntry {
    /* Must be the first field: HrPlacement_GetNextGroup() casts it to
     * GroupEntry. */
    HrPlacedGroup placed;
    UT_hash_handle hh;
    char *key; /* of the hash table, from make_key() */
    const char **data_centres;
    uint32_t data_centre_count;
} GroupEntry;

struct HrPlacement {
    uint64_t tables_revision;
    uint64_t view_digest; /* from compute_view_digest(); 0: no view */
    uint64_t view_revision;
    GroupEntry *entries; /* hash table by key */
    void *entries_ctx;   /* talloc parent of all entries */
};

/* Clears the hash table before talloc frees the entries. */
static int
destroy_placement(HrPlacement *placement)
{
    HASH_CLEAR(hh, placement->entries);
    return 0;
}

/* Creates a placement without groups. Returns NULL when out of memory. */
HrPlacement *
HrPlacement_Create(const void *parent)
{
    HrPlacement *placement = talloc_zero(parent, HrPlacement);

    if (placement != NULL) {
        talloc_set_destructor(placement, destroy_placement);
    }
    return placement;
}

/* Returns the hash key of a group, or NULL when out of memory. The keys are
 * unique because names contain no line feed. */
static char *
make_key(const void *parent, const char *pool, const char *group)
{
    return talloc_asprintf(parent, "%s\n%s", pool, group);
}

/* Returns the entry of a group, or NULL if there is none or when out of
 * memory. */
static GroupEntry *
find_entry(const HrPlacement *placement, const char *pool, const char *group)
{
    char *key = make_key(NULL, pool, group);
    GroupEntry *entry = NULL;

    if (key != NULL) {
        HASH_FIND_STR(placement->entries, key, entry);
        talloc_free(key);
    }
    return entry;
}

/* Adds an entry without data centres. Returns NULL when out of memory. */
static GroupEntry *
add_entry(HrPlacement *placement, const char *pool, const char *group)
{
    GroupEntry *entry = talloc_zero(placement->entries_ctx, GroupEntry);

    if (entry == NULL) {
        return NULL;
    }
    entry->placed.pool = talloc_strdup(entry, pool);
    entry->placed.group = talloc_strdup(entry, group);
    entry->key = make_key(entry, pool, group);
    if (entry->placed.pool == NULL || entry->placed.group == NULL ||
        entry->key == NULL) {
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, placement->entries, entry->key, strlen(entry->key),
                    entry);
    return entry;
}

/* Adds the data centre of a server unless the entry already contains it. If
 * the array cannot grow, the data centre is not added, so its daemons are not
 * preferred. */
static void
add_data_centre(GroupEntry *entry, const char *data_centre)
{
    const char **grown;
    uint32_t i;

    for (i = 0; i < entry->data_centre_count; i++) {
        if (strcmp(entry->data_centres[i], data_centre) == 0) {
            return;
        }
    }
    grown = talloc_realloc(entry, entry->data_centres, const char *,
                           entry->data_centre_count + 1);
    if (grown == NULL) {
        return;
    }
    entry->data_centres = grown;
    entry->data_centres[entry->data_centre_count++] =
        talloc_strdup(entry, data_centre);
}

/* Replaces the entries by those of the tables, which may be NULL. */
static void
rebuild_entries(HrPlacement *placement, const HrTables *tables)
{
    uint32_t i, j;

    HASH_CLEAR(hh, placement->entries);
    talloc_free(placement->entries_ctx);
    placement->entries_ctx = talloc_new(placement);
    for (i = 0; tables != NULL && i < tables->pool_count; i++) {
        const HrPool *pool = &tables->pools[i];

        for (j = 0; j < pool->server_count; j++) {
            const HrServer *server = &pool->servers[j];
            GroupEntry *entry =
                find_entry(placement, pool->name, server->group);

            if (entry == NULL) {
                entry = add_entry(placement, pool->name, server->group);
            }
            if (entry != NULL) {
                add_data_centre(entry, server->data_centre);
            }
        }
    }
}

/* Ranks the candidates of every group; without a view there are none. */
static void
rank_entries(HrPlacement *placement, const HrMemberView *view)
{
    HrOwnerIndex *index =
        view != NULL ? HrOwnerIndex_Create(NULL, view) : NULL;
    GroupEntry *entry;

    for (entry = placement->entries; entry != NULL; entry = entry->hh.next) {
        HrOwnerPreference prefer = {entry->data_centres,
                                    entry->data_centre_count};

        entry->placed.count = 0;
        if (index != NULL) {
            entry->placed.count = HrOwnerIndex_ListCandidates(
                index, entry->placed.pool, entry->placed.group, &prefer,
                entry->placed.ids, HR_OWNER_CANDIDATES);
        }
    }
    talloc_free(index);
}

/* Returns a digest of the parts of a view that the ranking depends on, or 0 if
 * view is NULL. Load reports and suspicions change a view often but change no
 * rank, and ranking 4,300 groups over 1,900 members takes 25 ms. */
static uint64_t
compute_view_digest(const HrMemberView *view)
{
    uint64_t digest = 1;
    uint32_t i;

    for (i = 0; view != NULL && i < view->member_count; i++) {
        const HrMember *member = &view->members[i];
        HrMemberState state = member->state == HR_MEMBER_SUSPECT
                                  ? HR_MEMBER_ALIVE
                                  : member->state;

        digest = HrHash_Bytes(&member->daemon_id, sizeof(member->daemon_id),
                              digest + (uint64_t)state);
        digest = HrHash_String(member->data_centre, digest);
    }
    return view != NULL ? digest : 0;
}

/* Updates the placement to the tables and the view; either may be NULL.
 * Returns true if a group or its candidates may have changed. */
bool
HrPlacement_Update(HrPlacement *placement, const HrTables *tables,
                   const HrMemberView *view)
{
    uint64_t tables_revision = tables != NULL ? tables->revision : 0;
    uint64_t view_revision = view != NULL ? view->revision : 0;
    bool new_tables = placement->tables_revision != tables_revision;
    uint64_t digest = placement->view_digest;

    if (placement->view_revision != view_revision || digest == 0) {
        digest = compute_view_digest(view);
        placement->view_revision = view_revision;
    }
    if (!new_tables && digest == placement->view_digest) {
        return false;
    }
    if (new_tables) {
        rebuild_entries(placement, tables);
    }
    rank_entries(placement, view);
    placement->tables_revision = tables_revision;
    placement->view_digest = digest;
    return true;
}

/* Returns a group with its candidates, or NULL if the tables do not contain it
 * or when out of memory. */
const HrPlacedGroup *
HrPlacement_FindGroup(HrPlacement *placement, const char *pool,
                      const char *group)
{
    const GroupEntry *entry = find_entry(placement, pool, group);

    return entry != NULL ? &entry->placed : NULL;
}

/* Returns the group after previous, or the first one if previous is NULL; NULL
 * after the last group. */
const HrPlacedGroup *
HrPlacement_GetNextGroup(const HrPlacement *placement,
                         const HrPlacedGroup *previous)
{
    const GroupEntry *entry = placement->entries;

    if (previous != NULL) {
        entry = ((const GroupEntry *)previous)->hh.next;
    }
    return entry != NULL ? &entry->placed : NULL;
}

/* Returns the rank of a daemon among the candidates, or -1 if it is none. */
int
HrPlacedGroup_GetRank(const HrPlacedGroup *group, uint64_t daemon_id)
{
    uint32_t i;

    for (i = 0; i < group->count; i++) {
        if (group->ids[i] == daemon_id) {
            return (int)i;
        }
    }
    return -1;
}
