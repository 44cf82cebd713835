#include "daemon-pending.h"

#include <bsd/sys/queue.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

/* Key of the hash; without padding, so that it compares by its bytes. */
typedef struct Key {
    HrQueryId query;
    uint64_t sub_id;
} Key;

typedef struct Entry {
    UT_hash_handle hh;
    TAILQ_ENTRY(Entry) of_link;
    Key key;
    HrPendingSub sub;
} Entry;

TAILQ_HEAD(EntryList, Entry);

/* The sub-requests of one link, oldest first. */
typedef struct Link {
    UT_hash_handle hh;
    uint64_t number;
    struct EntryList entries;
} Link;

struct HrPending {
    Entry *entries;
    Link *links;
};

/* Empties the hashes before their entries go. */
static int
destroy_pending(HrPending *pending)
{
    HASH_CLEAR(hh, pending->entries);
    HASH_CLEAR(hh, pending->links);
    return 0;
}

/* Creates an empty table. */
HrPending *
HrPending_Create(const void *parent)
{
    HrPending *pending = talloc_zero(parent, HrPending);

    if (pending != NULL) {
        talloc_set_destructor(pending, destroy_pending);
    }
    return pending;
}

/* Returns the key of a sub-request. */
static Key
make_key(const HrQueryId *query, uint32_t sub_id)
{
    Key key = {*query, sub_id};

    return key;
}

/* Returns the entry of a sub-request, or NULL. */
static Entry *
find_entry(const HrPending *pending, const HrQueryId *query, uint32_t sub_id)
{
    Key key = make_key(query, sub_id);
    Entry *entry = NULL;

    HASH_FIND(hh, pending->entries, &key, sizeof(key), entry);
    return entry;
}

/* Returns the record of a link, or NULL. */
static Link *
find_link(const HrPending *pending, uint64_t number)
{
    Link *link = NULL;

    HASH_FIND(hh, pending->links, &number, sizeof(number), link);
    return link;
}

/* Returns the record of a link, creating it when needed. */
static Link *
obtain_link(HrPending *pending, uint64_t number)
{
    Link *link = find_link(pending, number);

    if (link == NULL) {
        link = talloc_zero(pending, Link);
        if (link == NULL) {
            return NULL;
        }
        link->number = number;
        TAILQ_INIT(&link->entries);
        HASH_ADD(hh, pending->links, number, sizeof(link->number), link);
    }
    return link;
}

/* Adds a sub-request. */
int
HrPending_Add(HrPending *pending, const HrPendingSub *sub)
{
    Entry *entry;
    Link *link;

    if (find_entry(pending, &sub->query, sub->sub_id) != NULL) {
        return HR_ERR_DUPLICATE;
    }
    link = obtain_link(pending, sub->link);
    entry = talloc_zero(pending, Entry);
    if (link == NULL || entry == NULL) {
        talloc_free(entry);
        return HR_ERR_NO_MEMORY;
    }
    entry->sub = *sub;
    entry->key = make_key(&sub->query, sub->sub_id);
    HASH_ADD(hh, pending->entries, key, sizeof(entry->key), entry);
    TAILQ_INSERT_TAIL(&link->entries, entry, of_link);
    return HR_OK;
}

/* Removes an entry, and the record of its link with the last one. */
static void
remove_entry(HrPending *pending, Entry *entry, HrPendingSub *sub)
{
    Link *link = find_link(pending, entry->sub.link);

    *sub = entry->sub;
    TAILQ_REMOVE(&link->entries, entry, of_link);
    HASH_DELETE(hh, pending->entries, entry);
    talloc_free(entry);
    if (TAILQ_EMPTY(&link->entries)) {
        HASH_DELETE(hh, pending->links, link);
        talloc_free(link);
    }
}

/* Removes a sub-request and yields it. */
bool
HrPending_Take(HrPending *pending, const HrQueryId *query, uint32_t sub_id,
               HrPendingSub *sub)
{
    Entry *entry = find_entry(pending, query, sub_id);

    if (entry == NULL) {
        return false;
    }
    remove_entry(pending, entry, sub);
    return true;
}

/* Removes one sub-request of a link and yields it. */
bool
HrPending_TakeOfLink(HrPending *pending, uint64_t number, uint64_t tag,
                     HrPendingSub *sub)
{
    Link *link = find_link(pending, number);
    Entry *entry;

    if (link == NULL) {
        return false;
    }
    for (entry = TAILQ_FIRST(&link->entries); entry != NULL;
         entry = TAILQ_NEXT(entry, of_link)) {
        if (tag == 0 || entry->sub.tag == tag) {
            remove_entry(pending, entry, sub);
            return true;
        }
    }
    return false;
}

/* Marks one idempotent sub-request of a link as moved and yields it. */
bool
HrPending_MoveOfLink(HrPending *pending, uint64_t number, HrPendingSub *sub)
{
    Link *link = find_link(pending, number);
    Entry *entry;

    if (link == NULL) {
        return false;
    }
    TAILQ_FOREACH (entry, &link->entries, of_link) {
        if (entry->sub.idempotent && !entry->sub.moved) {
            entry->sub.moved = true;
            *sub = entry->sub;
            return true;
        }
    }
    return false;
}

/* Returns true if a sub-request of a link waits. */
bool
HrPending_HasLink(const HrPending *pending, uint64_t number)
{
    return find_link(pending, number) != NULL;
}

/* Returns the number of sub-requests that wait. */
uint32_t
HrPending_Count(const HrPending *pending)
{
    return HASH_COUNT(pending->entries);
}
