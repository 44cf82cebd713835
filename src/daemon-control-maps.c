#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "coord-owner.h"
#include "daemon-control-home.h"
#include "daemon-control-state.h"
#include "state-index-map-copy.h"

/* How long a pull waits for the reply of the pool home. After that the query
 * tasks use the maps that this daemon holds. */
#define PULL_TIMEOUT_NS (300 * HR_NS_PER_MS)

/* The index maps of one pool. */
typedef struct Pool {
    UT_hash_handle hh;
    char *name;
    HrPoolHome *home; /* NULL until this daemon receives a group report as the
                         pool home */
    HrLoopTimer *pull_timer;
    bool is_pulling;          /* a pull has been sent and has no reply yet */
    HrIndexMapSet *held_maps; /* the query tasks read a published copy */
    struct HrControlMaps *owner;
} Pool;

struct HrControlMaps {
    HrControl *control;
    Pool *pools; /* hash by name */
};

/* Orders pools by name, as lookups in the published table require. */
static int
compare_pools(const void *left, const void *right)
{
    return strcmp(((const HrPoolMaps *)left)->pool,
                  ((const HrPoolMaps *)right)->pool);
}

/* Publishes the held maps of all pools. */
static void
publish_maps(HrControlMaps *maps)
{
    HrTask *task = maps->control->task;
    HrMapTable *table = talloc_zero(NULL, HrMapTable);
    const Pool *pool;

    if (table == NULL) {
        return;
    }
    table->pools = talloc_array(table, HrPoolMaps, HASH_COUNT(maps->pools));
    for (pool = maps->pools; table->pools != NULL && pool != NULL;
         pool = pool->hh.next) {
        HrPoolMaps *entry = &table->pools[table->pool_count];

        if (pool->held_maps == NULL) {
            continue;
        }
        entry->pool = talloc_strdup(table, pool->name);
        entry->set = HrIndexMapSet_Copy(table, pool->held_maps);
        if (entry->pool != NULL && entry->set != NULL) {
            table->pool_count++;
        }
    }
    if (table->pool_count > 0) {
        qsort(table->pools, table->pool_count, sizeof(HrPoolMaps),
              compare_pools);
    }
    HrSnapshots_PublishMapTable(task->daemon->snapshots, task->reader, table);
}

/* Notifies the query tasks that the maps of a pool have been checked. */
static void
notify_query_tasks(HrControlMaps *maps, const char *pool)
{
    HrTask *task = maps->control->task;
    uint32_t i;

    for (i = 0; i < task->daemon->query_count; i++) {
        HrMessage *message = HrMessage_Create(HR_MESSAGE_MAPS_CHECKED);

        if (message != NULL) {
            message->u.maps.pool = HrMessage_CopyText(message, pool);
        }
        HrTask_PostMessage(task, task->daemon->query[i], message);
    }
}

/* Ends a pull after the reply of the pool home or its timeout, and notifies
 * the query tasks. */
static void
end_pull(Pool *pool)
{
    HrLoop *loop = pool->owner->control->task->loop;

    pool->is_pulling = false;
    HrLoop_SetTimer(loop, pool->pull_timer, HR_TIME_NEVER);
    notify_query_tasks(pool->owner, pool->name);
}

/* Ends a pull whose pool home has not replied in time. */
static void
handle_pull_timeout(void *arg)
{
    end_pull(arg);
}

/* Returns the entry of a pool, creating it if necessary. Returns NULL when out
 * of memory. */
static Pool *
find_or_create_pool(HrControlMaps *maps, const char *name)
{
    HrLoop *loop = maps->control->task->loop;
    Pool *pool = NULL;

    HASH_FIND_STR(maps->pools, name, pool);
    if (pool != NULL) {
        return pool;
    }
    pool = talloc_zero(maps, Pool);
    if (pool == NULL) {
        return NULL;
    }
    pool->owner = maps;
    pool->name = talloc_strdup(pool, name);
    pool->pull_timer = HrLoop_AddTimer(loop, handle_pull_timeout, pool);
    if (pool->name == NULL || pool->pull_timer == NULL) {
        HrLoop_RemoveTimer(loop, pool->pull_timer);
        talloc_free(pool);
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, maps->pools, pool->name, strlen(pool->name), pool);
    return pool;
}

/* Replaces the held maps of a pool and publishes them. An empty set does not
 * replace existing maps: a new pool home has not received the reports of all
 * groups yet, and a stale map is harmless. */
static void
replace_held_maps(Pool *pool, const HrIndexMapSet *set)
{
    HrIndexMapSet *copy;

    if (set->map_count == 0 && pool->held_maps != NULL &&
        pool->held_maps->map_count > 0) {
        return;
    }
    copy = HrIndexMapSet_Copy(pool, set);
    if (copy == NULL) {
        return;
    }
    talloc_free(pool->held_maps);
    pool->held_maps = copy;
    publish_maps(pool->owner);
}

/* Applies the report of a group as the pool home. A report of a pool that is
 * not in the tables is ignored. */
static void
apply_group_report(HrControlMaps *maps, const HrPeerFrame *frame)
{
    const char *name = frame->u.group_report.pool;
    HrTask *task = maps->control->task;
    const HrTables *tables = HrSnapshots_GetTables(task->daemon->snapshots);
    const HrPool *row =
        tables != NULL ? HrTables_FindPool(tables, name) : NULL;
    Pool *pool = row != NULL ? find_or_create_pool(maps, name) : NULL;

    if (pool != NULL && pool->home == NULL) {
        pool->home = HrPoolHome_Create(pool, name);
    }
    if (pool != NULL && pool->home != NULL) {
        HrPoolHome_ApplyReport(pool->home, row, frame,
                               HrLoop_NowNs(task->loop),
                               HrClock_GetWallMs(task->daemon->clock));
    }
}

/* Returns the id of the pool home, or 0 if the view has only dead members or
 * none. */
static uint64_t
find_pool_home(const HrControlMaps *maps, const char *pool)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(maps->control->task->daemon->snapshots);

    return view != NULL ? HrOwner_FindPoolHome(view, pool) : 0;
}

/* Sends a group report of this daemon's scheduler to the pool home, or applies
 * it if this daemon is the pool home. */
void
HrControlMaps_ForwardReport(HrControlMaps *maps, HrMessage *message)
{
    HrPeerFrame *frame = message->u.peer.frame;
    HrMessage *forward;
    uint64_t home_id;

    if (frame == NULL) {
        return;
    }
    home_id = find_pool_home(maps, frame->u.group_report.pool);
    if (home_id == maps->control->task->daemon->daemon_id) {
        apply_group_report(maps, frame);
        return;
    }
    forward = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    if (forward == NULL || home_id == 0) {
        talloc_free(forward);
        return;
    }
    forward->u.peer.frame = talloc_steal(forward, frame);
    HrControl_SendFrame(maps->control, home_id, forward);
}

/* Returns the maps that this daemon has merged as the home of a pool, or NULL.
 * pool may be NULL. */
static const HrIndexMapSet *
get_home_maps(const Pool *pool)
{
    return pool != NULL && pool->home != NULL ? HrPoolHome_GetMaps(pool->home)
                                              : NULL;
}

/* Replies to a daemon that pulls the maps of a pool. */
static void
send_map_reply(HrControlMaps *maps, const HrMessage *request)
{
    const HrPeerMapPull *pull = &request->u.peer.frame->u.map_pull;
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    HrPeerFrame *frame = talloc_zero(message, HrPeerFrame);
    HrPeerMapReply *reply;
    const HrIndexMapSet *set;
    HrIndexMapSet *copy;
    HrIndexMap *list;
    Pool *pool = NULL;
    uint32_t i;

    HASH_FIND_STR(maps->pools, pull->pool, pool);
    if (message == NULL || frame == NULL) {
        talloc_free(message);
        return;
    }
    frame->kind = HR_PEER_MAP_REPLY;
    reply = &frame->u.map_reply;
    reply->pool = HrMessage_CopyText(message, pull->pool);
    set = get_home_maps(pool);
    if (set != NULL) {
        reply->revision = set->revision;
        reply->unchanged = reply->revision == pull->known_revision;
    }
    if (set != NULL && !reply->unchanged) {
        copy = HrIndexMapSet_Copy(message, set);
        list = copy != NULL
                   ? talloc_array(message, HrIndexMap, copy->map_count)
                   : NULL;
        for (i = 0; list != NULL && i < copy->map_count; i++) {
            list[i] = *copy->maps[i];
            reply->map_count++;
        }
        reply->maps = list;
    }
    message->u.peer.link = request->u.peer.link;
    message->u.peer.frame = frame;
    HrControl_SendFrame(maps->control, request->u.peer.from_id, message);
}

/* Applies the pool home's reply to a pull. Maps whose shards do not cover
 * every hash exactly once are left out. A reply without an open pull is
 * ignored. */
static void
apply_map_reply(HrControlMaps *maps, const HrPeerMapReply *reply)
{
    HrIndexMapSet set = {.revision = reply->revision};
    Pool *pool = NULL;
    HrIndexMap *copies;
    uint32_t i;

    HASH_FIND_STR(maps->pools, reply->pool, pool);
    if (pool == NULL || !pool->is_pulling) {
        return;
    }
    if (!reply->unchanged) {
        copies = talloc_memdup(pool, reply->maps,
                               reply->map_count * sizeof(HrIndexMap));
        set.maps = talloc_array(pool, HrIndexMap *, reply->map_count);
        for (i = 0; copies != NULL && set.maps != NULL && i < reply->map_count;
             i++) {
            if (HrIndexMap_IsUsable(&copies[i])) {
                set.maps[set.map_count++] = &copies[i];
            }
        }
        replace_held_maps(pool, &set);
        talloc_free(set.maps);
        talloc_free(copies);
    }
    end_pull(pool);
}

/* Processes a group report, a map pull or a map reply of another daemon; other
 * frames are ignored. */
void
HrControlMaps_HandleFrame(HrControlMaps *maps, const HrMessage *message)
{
    const HrPeerFrame *frame = message->u.peer.frame;

    switch (frame->kind) {
    case HR_PEER_GROUP_REPORT:
        apply_group_report(maps, frame);
        break;
    case HR_PEER_MAP_PULL:
        send_map_reply(maps, message);
        break;
    case HR_PEER_MAP_REPLY:
        apply_map_reply(maps, &frame->u.map_reply);
        break;
    default:
        break;
    }
}

/* Sends a map pull to the pool home. */
static void
send_map_pull(Pool *pool, uint64_t home_id)
{
    HrControl *control = pool->owner->control;
    HrMessage *message = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    HrPeerFrame *frame = talloc_zero(message, HrPeerFrame);

    if (message == NULL || frame == NULL) {
        talloc_free(message);
        return;
    }
    frame->kind = HR_PEER_MAP_PULL;
    frame->u.map_pull.pool = HrMessage_CopyText(message, pool->name);
    frame->u.map_pull.known_revision =
        pool->held_maps != NULL ? pool->held_maps->revision : 0;
    message->u.peer.frame = frame;
    HrControl_SendFrame(control, home_id, message);
}

/* Updates the maps of a pool from the pool home, as a query task has
 * requested. */
void
HrControlMaps_RefreshPool(HrControlMaps *maps, const HrMessage *message)
{
    HrTask *task = maps->control->task;
    Pool *pool = find_or_create_pool(maps, message->u.maps.pool);
    uint64_t home_id = find_pool_home(maps, message->u.maps.pool);

    if (pool == NULL) {
        return;
    }
    if (home_id == 0 || home_id == task->daemon->daemon_id) {
        const HrIndexMapSet *set = get_home_maps(pool);

        if (set != NULL && (pool->held_maps == NULL ||
                            pool->held_maps->revision != set->revision)) {
            replace_held_maps(pool, set);
        }
        notify_query_tasks(maps, pool->name);
        return;
    }
    if (pool->is_pulling) {
        return;
    }
    pool->is_pulling = true;
    HrLoop_SetTimer(task->loop, pool->pull_timer,
                    HrLoop_NowNs(task->loop) + PULL_TIMEOUT_NS);
    send_map_pull(pool, home_id);
}

/* Clears the hash table before its entries are freed. */
static int
destroy_maps(HrControlMaps *maps)
{
    HASH_CLEAR(hh, maps->pools);
    return 0;
}

/* Creates the index map part. Returns NULL when out of memory. */
HrControlMaps *
HrControlMaps_Create(HrControl *control)
{
    HrControlMaps *maps = talloc_zero(control, HrControlMaps);

    if (maps != NULL) {
        maps->control = control;
        control->maps = maps;
        talloc_set_destructor(maps, destroy_maps);
    }
    return maps;
}

/* Returns the index maps held, by pool, as a JSON array. */
json_t *
HrControlMaps_DescribePools(const HrControlMaps *maps)
{
    json_t *list = json_array();
    const Pool *pool;

    for (pool = maps->pools; pool != NULL; pool = pool->hh.next) {
        json_t *versions = json_array();
        uint32_t i;

        for (i = 0; pool->held_maps != NULL && i < pool->held_maps->map_count;
             i++) {
            json_array_append_new(
                versions,
                json_pack("{s:I,s:i}", "version",
                          (json_int_t)pool->held_maps->maps[i]->version,
                          "shards",
                          (int)pool->held_maps->maps[i]->shard_count));
        }
        json_array_append_new(
            list,
            json_pack("{s:s,s:I,s:b,s:o}", "pool", pool->name, "revision",
                      (json_int_t)(pool->held_maps != NULL
                                       ? pool->held_maps->revision
                                       : 0),
                      "home",
                      find_pool_home(maps, pool->name) ==
                          maps->control->task->daemon->daemon_id,
                      "versions", versions));
    }
    return list;
}
