#include "coord-gather-state.h"

#include <talloc.h>

/* Returns true if a restart now would have the time to end: at least the
 * configured time, and the time that this query's shards needed. */
static bool
has_time_to_restart(const HrGather *gather, int64_t now_ns)
{
    int64_t needed_ns = gather->config.restart_min_ns;
    int64_t slowest_ns =
        gather->answer.last_part_ns - gather->snapshot->started_ns;

    if (gather->answer.last_part_ns != 0 && slowest_ns > needed_ns) {
        needed_ns = slowest_ns;
    }
    return gather->answer_at_ns - now_ns >= needed_ns;
}

/* Gives up the shards whose version is lost. */
static void
give_up_lost(HrGather *gather)
{
    HrGatherSnapshot *snapshot = gather->snapshot;
    uint32_t i;

    for (i = 0; i < snapshot->shard_count; i++) {
        HrGatherShard *shard = &snapshot->shards[i];

        if (shard->state == HR_SHARD_LOST) {
            HrGatherSnapshot_SetState(snapshot, shard, HR_SHARD_MISSING);
        }
    }
}

/* Queues a first attempt for every shard of a new snapshot. */
static int
send_all(HrGather *gather)
{
    HrGatherSnapshot *snapshot = gather->snapshot;
    uint32_t i;

    if (HrGatherQueue_Reserve(gather, &gather->queue, snapshot->shard_count) !=
        HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < snapshot->shard_count; i++) {
        HrGather_PushShard(gather, HR_GATHER_SEND, &snapshot->shards[i]);
    }
    return HR_OK;
}

/* Returns true if the query can run on a map. */
static bool
is_map_fit(const HrGather *gather, const HrIndexMap *map)
{
    if (map->shard_count == 0 || map->shard_count > HR_GATHER_MAX_SHARDS) {
        return false;
    }
    if (!gather->single) {
        return true;
    }
    /* Without a key the one shard is known only if there is just one. */
    return gather->key == NULL
               ? map->shard_count == 1
               : HrIndexMap_FindShard(map, gather->key) != NULL;
}

/* Returns the newest map that the query can use, other than one version; 0
 * excludes none. Returns NULL when there is none. */
const HrIndexMap *
HrGather_FindMap(const HrGather *gather, const HrIndexMapSet *maps,
                 uint64_t excluded_version)
{
    uint32_t i;

    for (i = 0; maps != NULL && i < maps->map_count; i++) {
        const HrIndexMap *map = maps->maps[i];

        if ((excluded_version == 0 || map->version != excluded_version) &&
            is_map_fit(gather, map)) {
            return map;
        }
    }
    return NULL;
}

/* Pins a map and queues its sub-requests. */
int
HrGather_Pin(HrGather *gather, const HrIndexMap *map, uint32_t epoch,
             int64_t now_ns)
{
    HrGatherSnapshot *snapshot =
        HrGatherSnapshot_Create(gather, gather, map, gather->key, epoch);

    if (snapshot == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    snapshot->started_ns = now_ns;
    talloc_free(gather->snapshot);
    gather->snapshot = snapshot;
    return send_all(gather);
}

/* Discards what was gathered and starts again on another version. */
static int
restart_query(HrGather *gather, const HrIndexMap *map, int64_t now_ns)
{
    const HrGatherSnapshot *old = gather->snapshot;
    uint32_t i;

    if (HrGather_CancelAll(gather) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < old->shard_count; i++) {
        const HrGatherShard *shard = &old->shards[i];

        if (shard->state == HR_SHARD_ANSWERED ||
            (shard->state == HR_SHARD_OPEN && shard->sent)) {
            gather->may_have_run = true;
        }
    }
    gather->answer.first_part_ns = 0;
    gather->answer.last_part_ns = 0;
    gather->answer.restarts++;
    HrCounters_Add(gather->config.counters, HR_COUNTER_gather_restarts, 1);
    return HrGather_Pin(gather, map, old->epoch + 1, now_ns);
}

/* Handles the loss of the pinned version in the group of a shard. */
void
HrGather_LoseVersion(HrGather *gather, HrGatherShard *shard, int64_t now_ns)
{
    shard->reason = HR_REASON_NO_VERSION;
    /* Maps are used once: a second restart would seldom end in time. */
    if (gather->pull == HR_PULL_USED || !has_time_to_restart(gather, now_ns)) {
        HrGatherSnapshot_SetState(gather->snapshot, shard, HR_SHARD_MISSING);
        return;
    }
    HrGatherSnapshot_SetState(gather->snapshot, shard, HR_SHARD_LOST);
}

/* Handles index maps: restarts if the pinned version is lost and another one
 * is usable. */
int
HrGather_HandleMaps(HrGather *gather, const HrIndexMapSet *maps,
                    int64_t now_ns)
{
    const HrIndexMap *map;

    if (gather->pull != HR_PULL_AWAITED) {
        return HR_OK;
    }
    /* A late answer may have made up for the loss since maps were asked for;
     * the next loss asks again. */
    if (gather->snapshot->state_counts[HR_SHARD_LOST] == 0) {
        gather->pull = HR_PULL_NONE;
        return HR_OK;
    }
    gather->pull = HR_PULL_USED;
    map = HrGather_FindMap(gather, maps, gather->snapshot->version);
    if (map != NULL && has_time_to_restart(gather, now_ns)) {
        return restart_query(gather, map, now_ns);
    }
    give_up_lost(gather);
    return HrGather_Settle(gather, now_ns);
}
