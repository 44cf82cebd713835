#include "coord-gather-snapshot.h"

#include <string.h>
#include <talloc.h>

/* A sub-request id holds epoch, candidate rank and shard number, so that it
 * needs no table and no two attempts of a query share one. */
#define INDEX_BITS 20
#define RANK_BITS 8

/* Returns the sub-request id of its parts. */
uint32_t
HrGatherSubId_Pack(HrGatherSubId id)
{
    return (id.epoch << (INDEX_BITS + RANK_BITS)) | (id.rank << INDEX_BITS) |
           id.index;
}

/* Returns the parts of a sub-request id. */
HrGatherSubId
HrGatherSubId_Unpack(uint32_t sub_id)
{
    HrGatherSubId id = {
        .epoch = sub_id >> (INDEX_BITS + RANK_BITS),
        .rank = (sub_id >> INDEX_BITS) & ((1u << RANK_BITS) - 1),
        .index = sub_id & ((1u << INDEX_BITS) - 1),
    };

    return id;
}

/* Copies a string to *cursor and moves the cursor past it. */
static const char *
append_string(char **cursor, const char *text)
{
    size_t size = strlen(text) + 1;
    char *copy = *cursor;

    memcpy(copy, text, size);
    *cursor += size;
    return copy;
}

/* Copies the names of the shards as one block. Neighbouring shards of one
 * group share its name. Returns 0 or HR_ERR_NO_MEMORY. */
static int
copy_names(HrGatherSnapshot *snapshot, const void *name_parent,
           const HrShard *shards)
{
    size_t size = 1;
    char *cursor;
    uint32_t i;

    for (i = 0; i < snapshot->shard_count; i++) {
        size += strlen(shards[i].name) + strlen(shards[i].group) + 2;
    }
    cursor = talloc_size(name_parent, size);
    if (cursor == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    for (i = 0; i < snapshot->shard_count; i++) {
        HrGatherShard *shard = &snapshot->shards[i];

        shard->name = append_string(&cursor, shards[i].name);
        if (i > 0 && strcmp(shards[i].group, shard[-1].group) == 0) {
            shard->group = shard[-1].group;
        }
        else {
            shard->group = append_string(&cursor, shards[i].group);
        }
    }
    return HR_OK;
}

/* Copies the shards of a map, or only the shard that holds the key. */
HrGatherSnapshot *
HrGatherSnapshot_Create(const void *parent, const void *name_parent,
                        const HrIndexMap *map, const char *key, uint32_t epoch)
{
    const HrShard *shards =
        key == NULL ? map->shards : HrIndexMap_FindShard(map, key);
    HrGatherSnapshot *snapshot;

    if (shards == NULL) {
        return NULL;
    }
    snapshot = talloc_zero(parent, HrGatherSnapshot);
    if (snapshot == NULL) {
        return NULL;
    }
    snapshot->version = map->version;
    snapshot->epoch = epoch;
    snapshot->shard_count = key == NULL ? map->shard_count : 1;
    snapshot->state_counts[HR_SHARD_OPEN] = snapshot->shard_count;
    snapshot->shards =
        talloc_zero_array(snapshot, HrGatherShard, snapshot->shard_count);
    if (snapshot->shards == NULL ||
        copy_names(snapshot, name_parent, shards) != HR_OK) {
        talloc_free(snapshot);
        return NULL;
    }
    return snapshot;
}

/* Returns the shard of an attempt that was sent under this snapshot, else
 * NULL. */
HrGatherShard *
HrGatherSnapshot_Find(HrGatherSnapshot *snapshot, HrGatherSubId id)
{
    HrGatherShard *shard;

    if (id.epoch != snapshot->epoch || id.index >= snapshot->shard_count) {
        return NULL;
    }
    shard = &snapshot->shards[id.index];
    if (id.rank > shard->rank || (id.rank == shard->rank && !shard->sent)) {
        return NULL;
    }
    return shard;
}

/* Moves a shard to a state. */
void
HrGatherSnapshot_SetState(HrGatherSnapshot *snapshot, HrGatherShard *shard,
                          HrGatherShardState state)
{
    snapshot->state_counts[shard->state]--;
    snapshot->state_counts[state]++;
    shard->state = state;
}

/* Copies the payload and the server name of an answer to its shard. */
int
HrGatherSnapshot_Store(HrGatherSnapshot *snapshot, HrGatherShard *shard,
                       const HrSubAnswer *answer, int64_t now_ns)
{
    size_t length = answer->payload.length_bytes;
    const char *server = answer->server == NULL ? "" : answer->server;
    size_t server_size = strlen(server) + 1;
    uint8_t *data = talloc_size(snapshot->shards, length + server_size);

    if (data == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    memcpy(data, answer->payload.data, length);
    memcpy(data + length, server, server_size);
    shard->payload.data = data;
    shard->payload.length_bytes = length;
    if (answer->server != NULL) {
        shard->server = (const char *)data + length;
    }
    shard->latency_ns = now_ns - snapshot->started_ns;
    snapshot->payload_bytes += length;
    return HR_OK;
}
