#include <string.h>
#include <talloc.h>

#include "daemon-query-state.h"

/* Entry daemons check the maps of a pool with its home this often, or this
 * often for each member if that is more: the home then gets at most 50
 * questions a second, however many daemons there are. A map that is out of
 * date costs one pull, when a server does not hold its version any more. */
#define CACHE_NS (2 * HR_NS_PER_S)
#define CACHE_PER_MEMBER_NS (20 * HR_NS_PER_MS)
/* An unanswered question is repeated after this. */
#define ASK_INTERVAL_NS (250 * HR_NS_PER_MS)

/* Returns the record of a pool, creating it when needed. */
static HrQueryPool *
obtain_pool(HrQueryTask *state, const char *name)
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
    pool->asked_ns = INT64_MIN / 2;
    if (pool->name == NULL) {
        talloc_free(pool);
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, state->pools, pool->name, strlen(pool->name), pool);
    return pool;
}

/* Returns how long the maps of a pool are used before they are checked. */
static int64_t
choose_cache_ns(const HrQueryTask *state)
{
    const HrMemberView *view =
        HrSnapshots_Members(state->task->daemon->snapshots);
    int64_t scaled_ns =
        view != NULL ? view->member_count * CACHE_PER_MEMBER_NS : 0;

    return scaled_ns > CACHE_NS ? scaled_ns : CACHE_NS;
}

/* Makes the control task check the maps of a pool with its home. */
void
HrQueryTask_WantMaps(HrQueryTask *state, const char *name,
                     uint64_t known_revision, bool now)
{
    int64_t now_ns = HrLoop_NowNs(state->task->loop);
    HrQueryPool *pool = obtain_pool(state, name);
    HrMessage *message;

    if (pool == NULL ||
        (pool->awaited && now_ns - pool->asked_ns < ASK_INTERVAL_NS)) {
        return;
    }
    if (!now && now_ns - pool->asked_ns < choose_cache_ns(state)) {
        return;
    }
    pool->asked_ns = now_ns;
    pool->awaited = true;
    message = HrMessage_Create(HR_MESSAGE_MAPS_WANTED);
    if (message != NULL) {
        message->u.maps.pool = HrMessage_CopyText(message, name);
        message->u.maps.known_revision = known_revision;
    }
    HrTask_Post(state->task, state->task->daemon->control, message);
}

/* Gives the maps to one query that waits for them. The query may be gone
 * afterwards. */
static void
continue_query(HrQuery *query, const HrPoolMaps *maps)
{
    HrGatherEvent event = {.kind = HR_GATHER_MAPS_RECEIVED};

    if (query->phase == HR_QUERY_MAPS && maps != NULL &&
        maps->set->map_count > 0) {
        HrQuery_StartGather(query);
        return;
    }
    if (query->phase == HR_QUERY_RUNNING && query->pull_awaited) {
        query->pull_awaited = false;
        event.u.maps = maps != NULL ? maps->set : NULL;
        HrQuery_Handle(query, &event);
    }
}

/* Returns true if a query waits for the maps of a pool. */
static bool
waits_for(const HrQuery *query, const char *pool)
{
    return (query->phase == HR_QUERY_MAPS ||
            (query->phase == HR_QUERY_RUNNING && query->pull_awaited)) &&
           strcmp(query->route.pool, pool) == 0;
}

/* Lists the queries that wait for the maps of a pool, by their counters: the
 * end of one query may remove others. */
static uint64_t *
list_waiting(HrQueryTask *state, const char *pool, uint32_t *count)
{
    uint64_t *counters =
        talloc_array(state, uint64_t, HASH_COUNT(state->queries) + 1);
    const HrQuery *query;

    *count = 0;
    for (query = state->queries; counters != NULL && query != NULL;
         query = query->hh.next) {
        if (waits_for(query, pool)) {
            counters[(*count)++] = query->id.counter;
        }
    }
    return counters;
}

/* Starts or continues the queries that wait for the maps of a pool. */
void
HrQueryTask_MapsChecked(HrQueryTask *state, const char *name)
{
    const HrPoolMaps *maps =
        HrSnapshots_PoolMaps(state->task->daemon->snapshots, name);
    HrQueryPool *pool = obtain_pool(state, name);
    uint64_t *counters;
    uint32_t count, i;

    if (pool != NULL) {
        pool->awaited = false;
    }
    counters = list_waiting(state, name, &count);
    for (i = 0; i < count; i++) {
        HrQuery *query = NULL;

        HASH_FIND(hh, state->queries, &counters[i], sizeof(counters[i]),
                  query);
        if (query != NULL) {
            continue_query(query, maps);
        }
    }
    talloc_free(counters);
}
