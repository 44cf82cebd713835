#include <string.h>
#include <talloc.h>

#include "daemon-query-state.h"

/* A query task uses the index maps of a pool for MAPS_CACHE_NS, or for
 * MAPS_CACHE_PER_MEMBER_NS times the number of members if that is longer,
 * before it checks them with the pool home. Thus the pool home receives at
 * most 50 of these checks a second per query task of a daemon, however many
 * daemons there are. An outdated map costs one pull, when no server of a group
 * holds its version any more. */
#define MAPS_CACHE_NS (2 * HR_NS_PER_S)
#define MAPS_CACHE_PER_MEMBER_NS (20 * HR_NS_PER_MS)
/* While a request is unanswered, the next one for the pool is sent only after
 * this time. */
#define REQUEST_INTERVAL_NS (250 * HR_NS_PER_MS)

/* Returns the entry of a pool, adding it if necessary. Returns NULL when out
 * of memory. */
static HrQueryPool *
find_or_add_pool(HrQueryTask *state, const char *name)
{
    HrQueryPool *pool = NULL;

    HASH_FIND_STR(state->pools, name, pool);
    if (pool != NULL) {
        return pool;
    }
    pool = talloc_zero(state, HrQueryPool);
    if (pool == NULL) {
        return NULL;
    }
    pool->name = talloc_strdup(pool, name);
    pool->requested_ns = INT64_MIN / 2;
    if (pool->name == NULL) {
        talloc_free(pool);
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, state->pools, pool->name, strlen(pool->name), pool);
    return pool;
}

/* Returns how long index maps are used before they are checked again. */
static int64_t
get_cache_ns(const HrQueryTask *state)
{
    const HrMemberView *view =
        HrSnapshots_GetMemberView(state->task->daemon->snapshots);
    int64_t scaled_ns =
        view != NULL ? view->member_count * MAPS_CACHE_PER_MEMBER_NS : 0;

    return scaled_ns > MAPS_CACHE_NS ? scaled_ns : MAPS_CACHE_NS;
}

/* Requests the control task to check the index maps of a pool with the pool
 * home. */
void
HrQueryTask_RequestMaps(HrQueryTask *state, const char *name,
                        uint64_t known_revision, bool force)
{
    int64_t now_ns = HrLoop_NowNs(state->task->loop);
    HrQueryPool *pool = find_or_add_pool(state, name);
    HrMessage *message;

    if (pool == NULL || (pool->request_pending &&
                         now_ns - pool->requested_ns < REQUEST_INTERVAL_NS)) {
        return;
    }
    if (!force && now_ns - pool->requested_ns < get_cache_ns(state)) {
        return;
    }
    pool->requested_ns = now_ns;
    pool->request_pending = true;
    message = HrMessage_Create(HR_MESSAGE_MAPS_REQUEST);
    if (message != NULL) {
        message->u.maps.pool = HrMessage_CopyText(message, name);
        message->u.maps.known_revision = known_revision;
    }
    HrTask_PostMessage(state->task, state->task->daemon->control, message);
}

/* Passes the index maps to a query that waits for them. May free the query. */
static void
deliver_maps(HrQuery *query, const HrPoolMaps *maps)
{
    HrGatherEvent event = {.kind = HR_GATHER_MAPS_RECEIVED};

    if (query->phase == HR_QUERY_MAPS && maps != NULL &&
        maps->set->map_count > 0) {
        HrQuery_StartGather(query);
        return;
    }
    if (query->phase == HR_QUERY_RUNNING && query->awaits_maps) {
        query->awaits_maps = false;
        event.u.maps = maps != NULL ? maps->set : NULL;
        HrQuery_HandleEvent(query, &event);
    }
}

/* Returns true if the query waits for the index maps of a pool. */
static bool
is_waiting_for_maps(const HrQuery *query, const char *pool)
{
    return (query->phase == HR_QUERY_MAPS ||
            (query->phase == HR_QUERY_RUNNING && query->awaits_maps)) &&
           strcmp(query->route.pool, pool) == 0;
}

/* Returns the counters of the queries that wait for the index maps of a pool,
 * or NULL when out of memory. Lists counters instead of pointers, because the
 * end of one query may free others. */
static uint64_t *
list_waiting_queries(HrQueryTask *state, const char *pool, uint32_t *count)
{
    uint64_t *counters =
        talloc_array(state, uint64_t, HASH_COUNT(state->queries) + 1);
    const HrQuery *query;

    *count = 0;
    for (query = state->queries; counters != NULL && query != NULL;
         query = query->hh.next) {
        if (is_waiting_for_maps(query, pool)) {
            counters[(*count)++] = query->id.counter;
        }
    }
    return counters;
}

/* Starts or continues the queries that wait for the index maps of a pool. */
void
HrQueryTask_HandleMapsChecked(HrQueryTask *state, const char *name)
{
    const HrPoolMaps *maps =
        HrSnapshots_FindPoolMaps(state->task->daemon->snapshots, name);
    HrQueryPool *pool = find_or_add_pool(state, name);
    uint64_t *counters;
    uint32_t count, i;

    if (pool != NULL) {
        pool->request_pending = false;
    }
    counters = list_waiting_queries(state, name, &count);
    for (i = 0; i < count; i++) {
        HrQuery *query = NULL;

        HASH_FIND(hh, state->queries, &counters[i], sizeof(counters[i]),
                  query);
        if (query != NULL) {
            deliver_maps(query, maps);
        }
    }
    talloc_free(counters);
}
