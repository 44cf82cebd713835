#ifndef HR_COORD_GATHER_STATE_H
#define HR_COORD_GATHER_STATE_H

#include "coord-gather-queue.h"
#include "coord-gather-snapshot.h"
#include "coord-gather.h"

/* Internal to the gather: the state of one query and the steps that its files
 * share. Each step returns 0 or HR_ERR_NO_MEMORY. */

typedef enum HrGatherPhase {
    HR_PHASE_NEW,
    HR_PHASE_RUNNING,
    HR_PHASE_FINISHED,
} HrGatherPhase;

/* Whether index maps were asked for since a shard lost its version. */
typedef enum HrGatherPull {
    HR_PULL_NONE,
    HR_PULL_AWAITED,
    HR_PULL_USED,
} HrGatherPull;

struct HrGather {
    HrGatherConfig config;
    HrQueryId query;
    HrGatherPhase phase;
    HrGatherPull pull;
    const char *pool;
    const char *caller;
    const char *key; /* of a single-shard query; NULL: none */
    HrBytes payload;
    uint32_t priority;
    uint32_t enough_percent;
    bool single; /* only the shard of the key */
    bool idempotent;
    bool may_have_run; /* an attempt that was given up may have run */
    int64_t answer_at_ns;
    uint64_t map_revision;
    HrGatherSnapshot *snapshot; /* NULL: none pinned */
    HrGatherQueue queue;
    HrGatherAnswer answer;
};

/* Queues an action for the last attempt of a shard; room must have been
 * reserved. */
void HrGather_PushShard(HrGather *gather, HrGatherActionKind kind,
                        const HrGatherShard *shard);

/* Queues the cancellation of every attempt in progress. */
int HrGather_CancelAll(HrGather *gather);

/* Ends the query; open shards are missing for the given reason. */
int HrGather_Finish(HrGather *gather, HrReason open_reason, int64_t now_ns);

/* Ends the query if its rule is met or no shard can still answer; asks for
 * index maps if the rule cannot be met with the pinned version. */
int HrGather_Settle(HrGather *gather, int64_t now_ns);

/* Gives up a shard. */
void HrGather_GiveUp(HrGather *gather, HrGatherShard *shard, HrReason reason);

/* Returns the newest map that the query can use, other than one version; 0
 * excludes none. Returns NULL when there is none. */
const HrIndexMap *HrGather_FindMap(const HrGather *gather,
                                   const HrIndexMapSet *maps,
                                   uint64_t excluded_version);

/* Pins a map and queues its sub-requests. */
int HrGather_Pin(HrGather *gather, const HrIndexMap *map, uint32_t epoch,
                 int64_t now_ns);

/* Handles the loss of the pinned version in the group of a shard. */
void HrGather_LoseVersion(HrGather *gather, HrGatherShard *shard,
                          int64_t now_ns);

/* Handles index maps: restarts if the pinned version is lost and another one
 * is usable. */
int HrGather_HandleMaps(HrGather *gather, const HrIndexMapSet *maps,
                        int64_t now_ns);

/* Handles a sub-answer. */
int HrGather_HandleAnswer(HrGather *gather, const HrSubAnswer *answer,
                          int64_t now_ns);

/* Handles the failure of the link to a scheduling daemon. */
int HrGather_HandlePeerFailure(HrGather *gather,
                               const HrGatherPeerFailure *failure,
                               int64_t now_ns);

#endif
