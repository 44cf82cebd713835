#ifndef HR_COORD_GATHER_SNAPSHOT_H
#define HR_COORD_GATHER_SNAPSHOT_H

#include "coord-gather.h"

/* Internal to the gather: the shards of the one index version that a query
 * has pinned, and how far each has got. */

typedef enum HrGatherShardState {
    HR_SHARD_OPEN,
    HR_SHARD_LOST, /* no server holds the version */
    HR_SHARD_ANSWERED,
    HR_SHARD_MISSING,
    HR_SHARD_STATE_COUNT
} HrGatherShardState;

typedef struct HrGatherShard {
    const char *name;
    const char *group;
    const char *server;
    HrBytes payload;
    int64_t latency_ns;
    HrGatherShardState state;
    HrReason reason; /* of the last attempt, when it failed */
    uint8_t rank;    /* of the last attempt */
    bool sent;       /* the last attempt was popped by the driver */
} HrGatherShard;

typedef struct HrGatherSnapshot {
    uint64_t version;
    uint32_t epoch; /* raised by a restart */
    int64_t started_ns;
    HrGatherShard *shards;
    uint32_t shard_count;
    uint32_t state_counts[HR_SHARD_STATE_COUNT];
    uint64_t payload_bytes;
} HrGatherSnapshot;

/* The parts of a sub-request id. */
typedef struct HrGatherSubId {
    uint32_t epoch;
    uint32_t rank;
    uint32_t index;
} HrGatherSubId;

/* Returns the sub-request id of its parts. */
uint32_t HrGatherSubId_Pack(HrGatherSubId id);

/* Returns the parts of a sub-request id. */
HrGatherSubId HrGatherSubId_Unpack(uint32_t sub_id);

/* Copies the shards of a map, or only the shard that holds the key. The names
 * become children of name_parent and outlive the snapshot. Returns NULL when
 * memory runs out or no shard holds the key. */
HrGatherSnapshot *HrGatherSnapshot_Create(const void *parent,
                                          const void *name_parent,
                                          const HrIndexMap *map,
                                          const char *key, uint32_t epoch);

/* Returns the shard of an attempt that was sent under this snapshot, else
 * NULL. */
HrGatherShard *HrGatherSnapshot_Find(HrGatherSnapshot *snapshot,
                                     HrGatherSubId id);

/* Moves a shard to a state. */
void HrGatherSnapshot_SetState(HrGatherSnapshot *snapshot,
                               HrGatherShard *shard, HrGatherShardState state);

/* Copies the payload and the server name of an answer to its shard. Returns 0
 * or HR_ERR_NO_MEMORY. */
int HrGatherSnapshot_Store(HrGatherSnapshot *snapshot, HrGatherShard *shard,
                           const HrSubAnswer *answer, int64_t now_ns);

#endif
