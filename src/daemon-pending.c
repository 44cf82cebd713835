#include "daemon-pending.h"

#include <bsd/sys/queue.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

/* The hash key of a sub-request. sub_id has 64 bits, so that the key has no
 * padding: uthash compares all its bytes. */
typedef struct Key {
    HrQueryId query;
    uint64_t sub_id;
} Key;

/* A sub-request in the table. */
typedef struct Entry {
    UT_hash_handle hh;
    TAILQ_ENTRY(Entry) link_entry;
    Key key;
    HrPendingSub sub;
} Entry;

TAILQ_HEAD(EntryList, Entry);

/* The sub-requests of one peer link, oldest first. */
typedef struct Link {
    UT_hash_handle hh;
    uint64_t link_number;
    struct EntryList entries;
} Link;

struct HrPendingTable {
    Entry *entries; /* hash by key */
    Link *links;    /* hash by link_number */
};

/* Clears the hashes before talloc frees their entries. */
static int
destroy_pending(HrPendingTable *pending)
{
    HASH_CLEAR(hh, pending->entries);
    HASH_CLEAR(hh, pending->links);
    return 0;
}

/* Creates an empty table. */
HrPendingTable *
HrPendingTable_Create(const void *parent)
{
    HrPendingTable *pending = talloc_zero(parent, HrPendingTable);

    if (pending != NULL) {
        talloc_set_destructor(pending, destroy_pending);
    }
    return pending;
}

/* Returns the hash key of a sub-request. */
static Key
make_key(const HrQueryId *query, uint32_t sub_id)
{
    Key key = {*query, sub_id};

    return key;
}

/* Returns the entry of a sub-request, or NULL. */
static Entry *
find_entry(const HrPendingTable *pending, const HrQueryId *query,
           uint32_t sub_id)
{
    Key key = make_key(query, sub_id);
    Entry *entry = NULL;

    HASH_FIND(hh, pending->entries, &key, sizeof(key), entry);
    return entry;
}

/* Returns the link with a number, or NULL if it has no sub-requests. */
static Link *
find_link(const HrPendingTable *pending, uint64_t link_number)
{
    Link *link = NULL;

    HASH_FIND(hh, pending->links, &link_number, sizeof(link_number), link);
    return link;
}

/* Returns the link with a number, adding it if necessary. Returns NULL when
 * memory runs out. */
static Link *
find_or_add_link(HrPendingTable *pending, uint64_t link_number)
{
    Link *link = find_link(pending, link_number);

    if (link == NULL) {
        link = talloc_zero(pending, Link);
        if (link == NULL) {
            return NULL;
        }
        link->link_number = link_number;
        TAILQ_INIT(&link->entries);
        HASH_ADD(hh, pending->links, link_number, sizeof(link->link_number),
                 link);
    }
    return link;
}

/* Adds a copy of a sub-request. */
int
HrPendingTable_AddSub(HrPendingTable *pending, const HrPendingSub *sub)
{
    Entry *entry;
    Link *link;

    if (find_entry(pending, &sub->query, sub->sub_id) != NULL) {
        return HR_ERR_DUPLICATE;
    }
    link = find_or_add_link(pending, sub->link);
    entry = talloc_zero(pending, Entry);
    if (link == NULL || entry == NULL) {
        talloc_free(entry);
        return HR_ERR_NO_MEMORY;
    }
    entry->sub = *sub;
    entry->key = make_key(&sub->query, sub->sub_id);
    HASH_ADD(hh, pending->entries, key, sizeof(entry->key), entry);
    TAILQ_INSERT_TAIL(&link->entries, entry, link_entry);
    return HR_OK;
}

/* Removes an entry and copies its sub-request to *sub. Removes the link too if
 * it has no other entries. */
static void
remove_entry(HrPendingTable *pending, Entry *entry, HrPendingSub *sub)
{
    Link *link = find_link(pending, entry->sub.link);

    *sub = entry->sub;
    TAILQ_REMOVE(&link->entries, entry, link_entry);
    HASH_DELETE(hh, pending->entries, entry);
    talloc_free(entry);
    if (TAILQ_EMPTY(&link->entries)) {
        HASH_DELETE(hh, pending->links, link);
        talloc_free(link);
    }
}

/* Removes a sub-request and copies it to *sub. */
bool
HrPendingTable_RemoveSub(HrPendingTable *pending, const HrQueryId *query,
                         uint32_t sub_id, HrPendingSub *sub)
{
    Entry *entry = find_entry(pending, query, sub_id);

    if (entry == NULL) {
        return false;
    }
    remove_entry(pending, entry, sub);
    return true;
}

/* Removes the oldest sub-request of a link, of one batch or of any, and copies
 * it to *sub. */
bool
HrPendingTable_RemoveOldestSub(HrPendingTable *pending, uint64_t link_number,
                               uint64_t tag, HrPendingSub *sub)
{
    Link *link = find_link(pending, link_number);
    Entry *entry;

    if (link == NULL) {
        return false;
    }
    for (entry = TAILQ_FIRST(&link->entries); entry != NULL;
         entry = TAILQ_NEXT(entry, link_entry)) {
        if (tag == 0 || entry->sub.tag == tag) {
            remove_entry(pending, entry, sub);
            return true;
        }
    }
    return false;
}

/* Marks the oldest idempotent sub-request of a link that is not marked yet as
 * moved, and copies it to *sub. */
bool
HrPendingTable_MarkSubMoved(HrPendingTable *pending, uint64_t link_number,
                            HrPendingSub *sub)
{
    const Link *link = find_link(pending, link_number);
    Entry *entry = link != NULL ? TAILQ_FIRST(&link->entries) : NULL;

    while (entry != NULL && (!entry->sub.idempotent || entry->sub.moved)) {
        entry = TAILQ_NEXT(entry, link_entry);
    }
    if (entry == NULL) {
        return false;
    }
    entry->sub.moved = true;
    *sub = entry->sub;
    return true;
}

/* Returns true if the table contains a sub-request of a link. */
bool
HrPendingTable_HasSubOnLink(const HrPendingTable *pending,
                            uint64_t link_number)
{
    return find_link(pending, link_number) != NULL;
}

/* Returns the number of sub-requests in the table. */
uint32_t
HrPendingTable_GetCount(const HrPendingTable *pending)
{
    return HASH_COUNT(pending->entries);
}
