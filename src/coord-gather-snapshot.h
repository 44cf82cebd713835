#ifndef HR_COORD_GATHER_SNAPSHOT_H
#define HR_COORD_GATHER_SNAPSHOT_H

#include "coord-gather.h"

/* Internal to the gather: the shards of the one index version that a query
 * has pinned, and the progress of each. */

typedef enum HrGatherShardState {
    HR_SHARD_PENDING,
    HR_SHARD_NO_VERSION, /* no server holds the version; a restart may
                          * follow */
    HR_SHARD_ANSWERED,
    HR_SHARD_MISSING, /* failed; only a late answer changes that */
    HR_SHARD_STATE_COUNT
} HrGatherShardState;

typedef struct HrGatherShard {
    const char *name;
    const char *group;
    const char *server;
    HrBytes payload;
    int64_t latency_ns;
    HrGatherShardState state;
    HrReason reason; /* why the last attempt failed */
    uint8_t rank;    /* candidate of the last attempt */
    bool sent;       /* the driver popped the last attempt */
} HrGatherShard;

typedef struct HrGatherSnapshot {
    uint64_t version;
    uint32_t epoch;     /* number of restarts before this snapshot */
    int64_t started_ns; /* when the query started on this version */
    HrGatherShard *shards;
    uint32_t shard_count;
    uint32_t state_counts[HR_SHARD_STATE_COUNT];
    uint64_t payload_bytes;
} HrGatherSnapshot;

/* The fields of a sub-request id. */
typedef struct HrGatherSubId {
    uint32_t epoch;
    uint32_t rank;
    uint32_t shard_index;
} HrGatherSubId;

/* Encodes the fields as a sub-request id. */
uint32_t HrGatherSubId_Pack(HrGatherSubId id);

/* Decodes the fields of a sub-request id. */
HrGatherSubId HrGatherSubId_Unpack(uint32_t sub_id);

/* Creates a snapshot of all shards of a map, or of the one that holds key if
 * key is not NULL. The names become talloc children of name_parent, so that
 * they can outlive the snapshot. Returns NULL when out of memory or if no
 * shard holds the key. */
HrGatherSnapshot *HrGatherSnapshot_Create(const void *parent,
                                          const void *name_parent,
                                          const HrIndexMap *map,
                                          const char *key, uint32_t epoch);

/* Returns the shard of an attempt, or NULL if no such attempt was sent for
 * this snapshot. */
HrGatherShard *HrGatherSnapshot_FindShard(HrGatherSnapshot *snapshot,
                                          HrGatherSubId id);

/* Sets the state of a shard and updates state_counts. */
void HrGatherSnapshot_SetShardState(HrGatherSnapshot *snapshot,
                                    HrGatherShard *shard,
                                    HrGatherShardState state);

/* Copies the payload and the server name of an answer to its shard, and sets
 * the latency of the shard. Returns 0 or HR_ERR_NO_MEMORY. */
int HrGatherSnapshot_StoreAnswer(HrGatherSnapshot *snapshot,
                                 HrGatherShard *shard,
                                 const HrSubAnswer *answer, int64_t now_ns);

#endif
