#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "coord-owner.h"
#include "daemon-control-home.h"
#include "daemon-control-state.h"
#include "state-index-map-copy.h"

/* A pool home that has not replied after this is given up; the asker then
 * gets the maps that it has. */
#define PULL_TIMEOUT_NS (300 * HR_NS_PER_MS)

/* One pool. */
typedef struct Pool {
    UT_hash_handle hh;
    char *name;
    HrPoolHome *home; /* NULL until a group reports to this daemon */
    HrLoopTimer *pull_timer;
    bool pull_open;
    HrIndexMapSet *held; /* what the tasks of this daemon use; a copy */
    struct HrControlMaps *owner;
} Pool;

struct HrControlMaps {
    HrControl *control;
    Pool *pools; /* hash */
};

/* Orders pools by name, for the lookup in the published table. */
static int
compare_pools(const void *left, const void *right)
{
    return strcmp(((const HrPoolMaps *)left)->pool,
                  ((const HrPoolMaps *)right)->pool);
}

/* Publishes the maps of all pools. */
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

        if (pool->held == NULL) {
            continue;
        }
        entry->pool = talloc_strdup(table, pool->name);
        entry->set = HrIndexMapSet_Copy(table, pool->held);
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

/* Tells the query tasks that the maps of a pool have been checked. */
static void
notify_queries(HrControlMaps *maps, const char *pool)
{
    HrTask *task = maps->control->task;
    uint32_t i;

    for (i = 0; i < task->daemon->query_count; i++) {
        HrMessage *message = HrMessage_Create(HR_MESSAGE_MAPS_CHECKED);

        if (message != NULL) {
            message->u.maps.pool = HrMessage_CopyText(message, pool);
        }
        HrTask_Post(task, task->daemon->query[i], message);
    }
}

/* Ends the wait for a pool home. */
static void
end_pull(Pool *pool)
{
    HrLoop *loop = pool->owner->control->task->loop;

    pool->pull_open = false;
    HrLoop_SetTimer(loop, pool->pull_timer, HR_TIME_NEVER);
    notify_queries(pool->owner, pool->name);
}

/* Gives up a pool home that does not reply. */
static void
fire_pull(void *arg)
{
    end_pull(arg);
}

/* Returns a pool's record, creating it when needed. */
static Pool *
obtain_pool(HrControlMaps *maps, const char *name)
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
    pool->pull_timer = HrLoop_AddTimer(loop, fire_pull, pool);
    if (pool->name == NULL || pool->pull_timer == NULL) {
        HrLoop_RemoveTimer(loop, pool->pull_timer);
        talloc_free(pool);
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, maps->pools, pool->name, strlen(pool->name), pool);
    return pool;
}

/* Puts a set in force on this daemon. An empty set does not replace maps: a
 * pool home that has just changed does not know all groups yet, and a stale
 * map is harmless. */
static void
hold_set(Pool *pool, const HrIndexMapSet *set)
{
    HrIndexMapSet *copy;

    if (set->map_count == 0 && pool->held != NULL &&
        pool->held->map_count > 0) {
        return;
    }
    copy = HrIndexMapSet_Copy(pool, set);
    if (copy == NULL) {
        return;
    }
    talloc_free(pool->held);
    pool->held = copy;
    publish_maps(pool->owner);
}

/* Takes the report of a group in, as the pool home. */
static void
take_report(HrControlMaps *maps, const HrPeerFrame *frame)
{
    const char *name = frame->u.group_report.pool;
    HrTask *task = maps->control->task;
    const HrTables *tables = HrSnapshots_GetTables(task->daemon->snapshots);
    const HrPool *row =
        tables != NULL ? HrTables_FindPool(tables, name) : NULL;
    Pool *pool = row != NULL ? obtain_pool(maps, name) : NULL;

    if (pool != NULL && pool->home == NULL) {
        pool->home = HrPoolHome_Create(pool, name);
    }
    if (pool != NULL && pool->home != NULL) {
        HrPoolHome_TakeReport(pool->home, row, frame, HrLoop_NowNs(task->loop),
                              HrClock_WallMs(task->daemon->clock));
    }
}

/* Returns the pool home; 0 when there is no member. */
static uint64_t
find_home(const HrControlMaps *maps, const char *pool)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(maps->control->task->daemon->snapshots);

    return view != NULL ? HrOwner_FindPoolHome(view, pool) : 0;
}

/* Passes the report of this daemon's scheduler to the pool home. */
void
HrControlMaps_LocalReport(HrControlMaps *maps, HrMessage *message)
{
    HrPeerFrame *frame = message->u.peer.frame;
    HrMessage *forward;
    uint64_t home;

    if (frame == NULL) {
        return;
    }
    home = find_home(maps, frame->u.group_report.pool);
    if (home == maps->control->task->daemon->daemon_id) {
        take_report(maps, frame);
        return;
    }
    forward = HrMessage_Create(HR_MESSAGE_SEND_PEER_FRAME);
    if (forward == NULL || home == 0) {
        talloc_free(forward);
        return;
    }
    forward->u.peer.frame = talloc_steal(forward, frame);
    HrControl_SendFrame(maps->control, home, forward);
}

/* Returns the maps that this daemon has merged as the home of a pool, or
 * NULL; pool may be NULL. */
static const HrIndexMapSet *
find_home_maps(const Pool *pool)
{
    return pool != NULL && pool->home != NULL ? HrPoolHome_Maps(pool->home)
                                              : NULL;
}

/* Replies to a daemon that pulls maps. */
static void
reply_to_pull(HrControlMaps *maps, const HrMessage *request)
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
    set = find_home_maps(pool);
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

/* Takes the pool home's reply in; a map that is not usable is left out. */
static void
take_reply(HrControlMaps *maps, const HrPeerMapReply *reply)
{
    HrIndexMapSet set = {.revision = reply->revision};
    Pool *pool = NULL;
    HrIndexMap *copies;
    uint32_t i;

    HASH_FIND_STR(maps->pools, reply->pool, pool);
    if (pool == NULL || !pool->pull_open) {
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
        hold_set(pool, &set);
        talloc_free(set.maps);
        talloc_free(copies);
    }
    end_pull(pool);
}

/* Handles a frame of another daemon. */
void
HrControlMaps_Receive(HrControlMaps *maps, const HrMessage *message)
{
    const HrPeerFrame *frame = message->u.peer.frame;

    switch (frame->kind) {
    case HR_PEER_GROUP_REPORT:
        take_report(maps, frame);
        break;
    case HR_PEER_MAP_PULL:
        reply_to_pull(maps, message);
        break;
    case HR_PEER_MAP_REPLY:
        take_reply(maps, &frame->u.map_reply);
        break;
    default:
        break;
    }
}

/* Asks the pool home for its maps. */
static void
send_pull(Pool *pool, uint64_t home)
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
        pool->held != NULL ? pool->held->revision : 0;
    message->u.peer.frame = frame;
    HrControl_SendFrame(control, home, message);
}

/* Brings the maps of a pool up to date for a query task. */
void
HrControlMaps_Wanted(HrControlMaps *maps, const HrMessage *message)
{
    HrTask *task = maps->control->task;
    Pool *pool = obtain_pool(maps, message->u.maps.pool);
    uint64_t home = find_home(maps, message->u.maps.pool);

    if (pool == NULL) {
        return;
    }
    if (home == 0 || home == task->daemon->daemon_id) {
        const HrIndexMapSet *set = find_home_maps(pool);

        if (set != NULL &&
            (pool->held == NULL || pool->held->revision != set->revision)) {
            hold_set(pool, set);
        }
        notify_queries(maps, pool->name);
        return;
    }
    if (pool->pull_open) {
        return;
    }
    pool->pull_open = true;
    HrLoop_SetTimer(task->loop, pool->pull_timer,
                    HrLoop_NowNs(task->loop) + PULL_TIMEOUT_NS);
    send_pull(pool, home);
}

/* Empties the hash before its entries go. */
static int
destroy_maps(HrControlMaps *maps)
{
    HASH_CLEAR(hh, maps->pools);
    return 0;
}

/* Creates the part. */
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

/* Returns the maps held, by pool. */
json_t *
HrControlMaps_Describe(const HrControlMaps *maps)
{
    json_t *list = json_array();
    const Pool *pool;

    for (pool = maps->pools; pool != NULL; pool = pool->hh.next) {
        json_t *versions = json_array();
        uint32_t i;

        for (i = 0; pool->held != NULL && i < pool->held->map_count; i++) {
            json_array_append_new(
                versions,
                json_pack("{s:I,s:i}", "version",
                          (json_int_t)pool->held->maps[i]->version, "shards",
                          (int)pool->held->maps[i]->shard_count));
        }
        json_array_append_new(
            list,
            json_pack(
                "{s:s,s:I,s:b,s:o}", "pool", pool->name, "revision",
                (json_int_t)(pool->held != NULL ? pool->held->revision : 0),
                "home",
                find_home(maps, pool->name) ==
                    maps->control->task->daemon->daemon_id,
                "versions", versions));
    }
    return list;
}
