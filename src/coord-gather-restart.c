#include "coord-gather-state.h"

#include <talloc.h>

/* Returns true if a restart can be expected to finish before the answer is
 * due: the time left is at least restart_min_ns, and at least what the slowest
 * shard that has answered took. */
static bool
has_time_to_restart(const HrGather *gather, int64_t now_ns)
{
    int64_t needed_ns = gather->config.restart_min_ns;
    int64_t slowest_ns =
        gather->answer.last_part_ns - gather->snapshot->started_ns;

    if (gather->answer.last_part_ns != 0 && slowest_ns > needed_ns) {
        needed_ns = slowest_ns;
    }
    return gather->answer_due_ns - now_ns >= needed_ns;
}

/* Marks the shards whose version no server holds as missing. */
static void
fail_shards_without_version(HrGather *gather)
{
    HrGatherSnapshot *snapshot = gather->snapshot;
    uint32_t i;

    for (i = 0; i < snapshot->shard_count; i++) {
        HrGatherShard *shard = &snapshot->shards[i];

        if (shard->state == HR_SHARD_NO_VERSION) {
            HrGatherSnapshot_SetShardState(snapshot, shard, HR_SHARD_MISSING);
        }
    }
}

/* Queues the first attempt for each shard of a new snapshot. */
static int
queue_first_attempts(HrGather *gather)
{
    HrGatherSnapshot *snapshot = gather->snapshot;
    uint32_t i;

    if (HrGatherQueue_ReserveSlots(gather, &gather->queue,
                                   snapshot->shard_count) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < snapshot->shard_count; i++) {
        HrGather_QueueShardAction(gather, HR_GATHER_SEND,
                                  &snapshot->shards[i]);
    }
    return HR_OK;
}

/* Returns true if the query can run on a map. */
static bool
is_usable_map(const HrGather *gather, const HrIndexMap *map)
{
    if (map->shard_count == 0 || map->shard_count > HR_GATHER_MAX_SHARDS) {
        return false;
    }
    if (!gather->single_shard) {
        return true;
    }
    /* Without a key, the shard is known only if the map has just one. */
    return gather->key == NULL
               ? map->shard_count == 1
               : HrIndexMap_FindShard(map, gather->key) != NULL;
}

/* Returns the newest map that the query can use and whose version is not
 * excluded_version (0 excludes none), or NULL. */
const HrIndexMap *
HrGather_FindMap(const HrGather *gather, const HrIndexMapSet *maps,
                 uint64_t excluded_version)
{
    uint32_t i;

    for (i = 0; maps != NULL && i < maps->map_count; i++) {
        const HrIndexMap *map = maps->maps[i];

        if ((excluded_version == 0 || map->version != excluded_version) &&
            is_usable_map(gather, map)) {
            return map;
        }
    }
    return NULL;
}

/* Pins a map and queues a sub-request for each shard of the query. */
int
HrGather_PinMap(HrGather *gather, const HrIndexMap *map, uint32_t epoch,
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
    return queue_first_attempts(gather);
}

/* Cancels the attempts, discards the answers collected so far and starts again
 * on another version. */
static int
restart_query(HrGather *gather, const HrIndexMap *map, int64_t now_ns)
{
    const HrGatherSnapshot *old = gather->snapshot;
    uint32_t i;

    if (HrGather_CancelAttempts(gather) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < old->shard_count; i++) {
        const HrGatherShard *shard = &old->shards[i];

        if (shard->state == HR_SHARD_ANSWERED ||
            (shard->state == HR_SHARD_PENDING && shard->sent)) {
            gather->may_have_run = true;
        }
    }
    gather->answer.first_part_ns = 0;
    gather->answer.last_part_ns = 0;
    gather->answer.restarts++;
    HrCounters_Add(gather->config.counters, HR_COUNTER_gather_restarts, 1);
    return HrGather_PinMap(gather, map, old->epoch + 1, now_ns);
}

/* Handles the report that no server in the group of a shard holds the pinned
 * version. */
void
HrGather_HandleMissingVersion(HrGather *gather, HrGatherShard *shard,
                              int64_t now_ns)
{
    shard->reason = HR_REASON_NO_VERSION;
    /* A query requests maps and restarts only once, because a second restart
     * would seldom finish in time. */
    if (gather->pull_state == HR_PULL_DONE ||
        !has_time_to_restart(gather, now_ns)) {
        HrGatherSnapshot_SetShardState(gather->snapshot, shard,
                                       HR_SHARD_MISSING);
        return;
    }
    HrGatherSnapshot_SetShardState(gather->snapshot, shard,
                                   HR_SHARD_NO_VERSION);
}

/* Handles the reply to a request for index maps: restarts the query if a shard
 * still lacks the pinned version, another version is usable and enough time is
 * left. */
int
HrGather_HandleMaps(HrGather *gather, const HrIndexMapSet *maps,
                    int64_t now_ns)
{
    const HrIndexMap *map;

    if (gather->pull_state != HR_PULL_AWAITED) {
        return HR_OK;
    }
    /* Since the request, a late answer may have arrived for each shard whose
     * version was missing. The next missing version requests maps again. */
    if (gather->snapshot->state_counts[HR_SHARD_NO_VERSION] == 0) {
        gather->pull_state = HR_PULL_NONE;
        return HR_OK;
    }
    gather->pull_state = HR_PULL_DONE;
    map = HrGather_FindMap(gather, maps, gather->snapshot->version);
    if (map != NULL && has_time_to_restart(gather, now_ns)) {
        return restart_query(gather, map, now_ns);
    }
    fail_shards_without_version(gather);
    return HrGather_CheckCompletion(gather, now_ns);
}
