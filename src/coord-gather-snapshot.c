#include "coord-gather-snapshot.h"

#include <string.h>
#include <talloc.h>

/* A sub-request id encodes epoch, candidate rank and shard index. So it needs
 * no lookup table, and each attempt of a query has its own id. */
#define SHARD_INDEX_BITS 20
#define RANK_BITS 8

/* Encodes the fields as a sub-request id. */
uint32_t
HrGatherSubId_Pack(HrGatherSubId id)
{
    return (id.epoch << (SHARD_INDEX_BITS + RANK_BITS)) |
           (id.rank << SHARD_INDEX_BITS) | id.shard_index;
}

/* Decodes the fields of a sub-request id. */
HrGatherSubId
HrGatherSubId_Unpack(uint32_t sub_id)
{
    HrGatherSubId id = {
        .epoch = sub_id >> (SHARD_INDEX_BITS + RANK_BITS),
        .rank = (sub_id >> SHARD_INDEX_BITS) & ((1u << RANK_BITS) - 1),
        .shard_index = sub_id & ((1u << SHARD_INDEX_BITS) - 1),
    };

    return id;
}

/* Copies a string to *cursor, and moves the cursor past the copy. Returns the
 * copy. */
static const char *
append_string(char **cursor, const char *text)
{
    size_t size = strlen(text) + 1;
    char *copy = *cursor;

    memcpy(copy, text, size);
    *cursor += size;
    return copy;
}

/* Copies the names of the shards and their groups into one block. Adjacent
 * shards of one group share the copy of its name. Returns 0 or
 * HR_ERR_NO_MEMORY. */
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

/* Creates a snapshot of all shards of a map, or of the one that holds key if
 * key is not NULL. */
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
    snapshot->state_counts[HR_SHARD_PENDING] = snapshot->shard_count;
    snapshot->shards =
        talloc_zero_array(snapshot, HrGatherShard, snapshot->shard_count);
    if (snapshot->shards == NULL ||
        copy_names(snapshot, name_parent, shards) != HR_OK) {
        talloc_free(snapshot);
        return NULL;
    }
    return snapshot;
}

/* Returns the shard of an attempt, or NULL if no such attempt was sent for
 * this snapshot. */
HrGatherShard *
HrGatherSnapshot_FindShard(HrGatherSnapshot *snapshot, HrGatherSubId id)
{
    HrGatherShard *shard;

    if (id.epoch != snapshot->epoch ||
        id.shard_index >= snapshot->shard_count) {
        return NULL;
    }
    shard = &snapshot->shards[id.shard_index];
    if (id.rank > shard->rank || (id.rank == shard->rank && !shard->sent)) {
        return NULL;
    }
    return shard;
}

/* Sets the state of a shard and updates state_counts. */
void
HrGatherSnapshot_SetShardState(HrGatherSnapshot *snapshot,
                               HrGatherShard *shard, HrGatherShardState state)
{
    snapshot->state_counts[shard->state]--;
    snapshot->state_counts[state]++;
    shard->state = state;
}

/* Copies the payload and the server name of an answer to its shard, and sets
 * the latency of the shard. */
int
HrGatherSnapshot_StoreAnswer(HrGatherSnapshot *snapshot, HrGatherShard *shard,
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
