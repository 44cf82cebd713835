#include "coord-removed-servers.h"

#include <bsd/sys/queue.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

/* Most removed servers that are kept. A copy from which a store is restored is
 * some seconds old; at the planned size a few servers leave in a second. */
#define REMOVED_MAX 2048

typedef struct RemovedNode {
    TAILQ_ENTRY(RemovedNode) entry; /* least recently removed first */
    char *id;
    int64_t started_ms;
    uint64_t sequence;
    uint64_t era;      /* HrRemovedServers.era at the removal */
    uint64_t seen_era; /* the same when a list last contained it; 0: none */
    UT_hash_handle hh;
} RemovedNode;

TAILQ_HEAD(RemovedList, RemovedNode);

struct HrRemovedServers {
    RemovedNode *by_id;
    struct RemovedList list;
    uint64_t era; /* number of restorations since the creation, plus 1 */
};

/* Destructor of a set: frees its hash table. */
static int
destroy_removed(HrRemovedServers *set)
{
    HASH_CLEAR(hh, set->by_id);
    return 0;
}

HrRemovedServers *
HrRemovedServers_Create(const void *parent)
{
    HrRemovedServers *set = talloc_zero(parent, HrRemovedServers);

    if (set != NULL) {
        TAILQ_INIT(&set->list);
        set->era = 1;
        talloc_set_destructor(set, destroy_removed);
    }
    return set;
}

/* Drops the record of a server. */
static void
drop_node(HrRemovedServers *set, RemovedNode *node)
{
    HASH_DEL(set->by_id, node);
    TAILQ_REMOVE(&set->list, node, entry);
    talloc_free(node);
}

/* Adds the record of a server, and returns it; NULL without enough memory. */
static RemovedNode *
add_node(HrRemovedServers *set, const char *id, int64_t started_ms,
         uint64_t sequence)
{
    RemovedNode *node;

    HASH_FIND_STR(set->by_id, id, node);
    if (node != NULL) {
        drop_node(set, node);
    }
    node = talloc_zero(set, RemovedNode);
    if (node == NULL) {
        return NULL;
    }
    node->id = talloc_strdup(node, id);
    if (node->id == NULL) {
        talloc_free(node);
        return NULL;
    }
    node->started_ms = started_ms;
    node->sequence = sequence;
    node->era = set->era;
    HASH_ADD_KEYPTR(hh, set->by_id, node->id, strlen(id), node);
    TAILQ_INSERT_TAIL(&set->list, node, entry);
    if (HASH_COUNT(set->by_id) > REMOVED_MAX) {
        drop_node(set, TAILQ_FIRST(&set->list));
    }
    return node;
}

void
HrRemovedServers_Add(HrRemovedServers *set, const char *id, int64_t started_ms,
                     uint64_t sequence)
{
    add_node(set, id, started_ms, sequence);
}

void
HrRemovedServers_AddEarlier(HrRemovedServers *set, const char *id,
                            int64_t started_ms, uint64_t sequence)
{
    RemovedNode *node;

    HASH_FIND_STR(set->by_id, id, node);
    if (node != NULL) {
        return;
    }
    node = add_node(set, id, started_ms, sequence);
    if (node != NULL) {
        node->era = set->era - 1;
        /* The sequence is that of the first list of this era, which the
         * sender has had. */
        node->seen_era = set->era;
    }
}

void
HrRemovedServers_ForEachEarlier(const HrRemovedServers *set,
                                HrRemovedServerFn *fn, void *arg)
{
    const RemovedNode *node = TAILQ_LAST(&set->list, RemovedList);

    while (node != NULL &&
           (node->era == set->era ||
            fn(arg, node->id, node->started_ms, node->sequence))) {
        node = TAILQ_PREV(node, RemovedList, entry);
    }
}

void
HrRemovedServers_Drop(HrRemovedServers *set, const char *id)
{
    RemovedNode *node;

    HASH_FIND_STR(set->by_id, id, node);
    if (node != NULL) {
        drop_node(set, node);
    }
}

uint32_t
HrRemovedServers_CountEarlier(const HrRemovedServers *set)
{
    const RemovedNode *node = NULL;
    uint32_t count = 0;

    TAILQ_FOREACH (node, &set->list, entry) {
        count += node->era != set->era;
    }
    return count;
}

void
HrRemovedServers_BeginEra(HrRemovedServers *set)
{
    set->era++;
}

bool
HrRemovedServers_IsOutdated(HrRemovedServers *set, const char *id,
                            int64_t started_ms, uint64_t sequence)
{
    RemovedNode *node;

    HASH_FIND_STR(set->by_id, id, node);
    if (node == NULL || node->era == set->era) {
        return false;
    }
    if (started_ms > node->started_ms) {
        drop_node(set, node);
        return false;
    }
    if (started_ms < node->started_ms) {
        return true;
    }
    if (node->seen_era != set->era) {
        /* The copy may contain a last entry that no list had contained before
         * the removal. A server that runs writes a later one. */
        node->seen_era = set->era;
        node->sequence = sequence > node->sequence ? sequence : node->sequence;
        return true;
    }
    if (sequence > node->sequence) {
        drop_node(set, node);
        return false;
    }
    return true;
}
