#include "coord-server-notice.h"

#include <bsd/sys/queue.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

/* Most notices that are kept: several times the servers that leave within an
 * hour at the planned size. */
#define NOTICES_MAX 16384

typedef struct NoticeNode {
    TAILQ_ENTRY(NoticeNode) entry; /* least recently stored first */
    char *id;
    int64_t started_ms;
    int64_t stored_ns;
    HrServerNotice notice;
    UT_hash_handle hh;
} NoticeNode;

TAILQ_HEAD(NoticeList, NoticeNode);

struct HrNoticeSet {
    NoticeNode *by_id;
    struct NoticeList list;
};

bool
HrServerNotice_AddSignal(HrServerNotice *notice, const HrServerSignal *signal,
                         int64_t now_ns)
{
    const HrServerNotice before = *notice;

    notice->leaving = notice->leaving || signal->leaving;
    if (signal->pause_ns > 0) {
        int64_t pause_ns = signal->pause_ns < HR_SERVER_PAUSE_MAX_NS
                               ? signal->pause_ns
                               : HR_SERVER_PAUSE_MAX_NS;

        if (now_ns + pause_ns > notice->paused_until_ns) {
            notice->paused_until_ns = now_ns + pause_ns;
        }
    }
    return notice->leaving != before.leaving ||
           notice->paused_until_ns != before.paused_until_ns;
}

bool
HrServerNotice_PermitsRequest(const HrServerNotice *notice, int64_t now_ns)
{
    return !notice->leaving && now_ns >= notice->paused_until_ns;
}

/* Destructor of a set: frees its hash table. */
static int
destroy_notices(HrNoticeSet *set)
{
    HASH_CLEAR(hh, set->by_id);
    return 0;
}

HrNoticeSet *
HrNoticeSet_Create(const void *parent)
{
    HrNoticeSet *set = talloc_zero(parent, HrNoticeSet);

    if (set != NULL) {
        TAILQ_INIT(&set->list);
        talloc_set_destructor(set, destroy_notices);
    }
    return set;
}

/* Returns the node of a server, or NULL. */
static NoticeNode *
find_node(const HrNoticeSet *set, const char *id)
{
    NoticeNode *node;

    HASH_FIND_STR(set->by_id, id, node);
    return node;
}

/* Returns the notice of a server. If one of the start times is 0, it is
 * unknown, and taken as the other one. */
HrServerNotice
HrNoticeSet_Get(const HrNoticeSet *set, const char *id, int64_t started_ms)
{
    const NoticeNode *node = find_node(set, id);

    if (node == NULL) {
        return (HrServerNotice){0};
    }
    if (node->started_ms != 0 && started_ms > node->started_ms) {
        return (HrServerNotice){.paused_until_ns =
                                    node->notice.paused_until_ns};
    }
    return node->notice;
}

/* Removes a node and frees it. */
static void
remove_node(HrNoticeSet *set, NoticeNode *node)
{
    HASH_DEL(set->by_id, node);
    TAILQ_REMOVE(&set->list, node, entry);
    talloc_free(node);
}

/* Adds a node for a server, in place of the least recently stored one if the
 * set is full. Returns NULL if there is not enough memory. */
static NoticeNode *
add_node(HrNoticeSet *set, const char *id)
{
    NoticeNode *node = talloc_zero(set, NoticeNode);

    if (node != NULL) {
        node->id = talloc_strdup(node, id);
    }
    if (node == NULL || node->id == NULL) {
        talloc_free(node);
        return NULL;
    }
    if (HASH_COUNT(set->by_id) >= NOTICES_MAX) {
        remove_node(set, TAILQ_FIRST(&set->list));
    }
    HASH_ADD_KEYPTR(hh, set->by_id, node->id, strlen(id), node);
    TAILQ_INSERT_TAIL(&set->list, node, entry);
    return node;
}

void
HrNoticeSet_Store(HrNoticeSet *set, const char *id, int64_t started_ms,
                  const HrServerNotice *notice, int64_t now_ns)
{
    NoticeNode *node = find_node(set, id);

    if (node == NULL) {
        node = add_node(set, id);
    }
    else {
        TAILQ_REMOVE(&set->list, node, entry);
        TAILQ_INSERT_TAIL(&set->list, node, entry);
    }
    if (node == NULL) {
        return;
    }
    if (started_ms >= node->started_ms) {
        node->started_ms = started_ms;
        node->notice.leaving = notice->leaving;
        node->notice.reported_leaving = notice->reported_leaving;
    }
    if (notice->paused_until_ns > node->notice.paused_until_ns) {
        node->notice.paused_until_ns = notice->paused_until_ns;
    }
    node->stored_ns = now_ns;
}

void
HrNoticeSet_ForEachLeaving(const HrNoticeSet *set, bool with_reported,
                           int64_t max_age_ns, int64_t now_ns,
                           HrLeavingServerFn *fn, void *arg)
{
    const NoticeNode *node = TAILQ_LAST(&set->list, NoticeList);

    while (node != NULL && now_ns - node->stored_ns <= max_age_ns) {
        bool leaving = node->notice.leaving ||
                       (with_reported && node->notice.reported_leaving);

        if (leaving && !fn(arg, node->id, node->started_ms)) {
            return;
        }
        node = TAILQ_PREV(node, NoticeList, entry);
    }
}
