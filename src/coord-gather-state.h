#ifndef HR_COORD_GATHER_STATE_H
#define HR_COORD_GATHER_STATE_H

#include "coord-gather-queue.h"
#include "coord-gather-snapshot.h"
#include "coord-gather.h"

/* Internal to the gather: the state of one query and the functions that its
 * source files share. Those that return an int return 0 or
 * HR_ERR_NO_MEMORY. */

typedef enum HrGatherPhase {
    HR_PHASE_NEW,
    HR_PHASE_RUNNING,
    HR_PHASE_FINISHED,
} HrGatherPhase;

/* Whether index maps were requested because no server of some group holds the
 * pinned version. */
typedef enum HrGatherPullState {
    HR_PULL_NONE,
    HR_PULL_AWAITED,
    HR_PULL_DONE,
} HrGatherPullState;

struct HrGather {
    HrGatherConfig config;
    HrQueryId query;
    HrGatherPhase phase;
    HrGatherPullState pull_state;
    const char *pool;
    const char *caller;
    const char *key; /* of a single-shard query; NULL: no key */
    HrBytes payload;
    uint32_t priority;
    uint32_t enough_percent; /* of the shards must answer */
    bool single_shard;       /* query only the shard of the key */
    bool idempotent;
    bool may_have_run; /* an attempt that has ended may have run */
    int64_t answer_due_ns;
    uint64_t map_revision;
    HrGatherSnapshot *snapshot; /* NULL: no version is pinned */
    HrGatherQueue queue;
    HrGatherAnswer answer;
};

/* Queues an action for the last attempt of a shard. Room for it must have been
 * reserved. */
void HrGather_QueueShardAction(HrGather *gather, HrGatherActionKind kind,
                               const HrGatherShard *shard);

/* Queues the cancellation of every attempt in progress. */
int HrGather_CancelAttempts(HrGather *gather);

/* Finishes the query: cancels every attempt in progress, builds the answer and
 * queues it. pending_reason is why pending shards are missing. */
int HrGather_FinishQuery(HrGather *gather, HrReason pending_reason,
                         int64_t now_ns);

/* Finishes the query if its completion rule is met or no shard can answer any
 * more. Requests index maps if the rule cannot be met with the pinned
 * version. */
int HrGather_CheckCompletion(HrGather *gather, int64_t now_ns);

/* Marks a shard as missing, with the given reason. */
void HrGather_FailShard(HrGather *gather, HrGatherShard *shard,
                        HrReason reason);

/* Returns the newest map that the query can use and whose version is not
 * excluded_version (0 excludes none), or NULL. */
const HrIndexMap *HrGather_FindMap(const HrGather *gather,
                                   const HrIndexMapSet *maps,
                                   uint64_t excluded_version);

/* Pins a map and queues a sub-request for each shard of the query. */
int HrGather_PinMap(HrGather *gather, const HrIndexMap *map, uint32_t epoch,
                    int64_t now_ns);

/* Handles the report that no server in the group of a shard holds the pinned
 * version. */
void HrGather_HandleMissingVersion(HrGather *gather, HrGatherShard *shard,
                                   int64_t now_ns);

/* Handles the reply to a request for index maps: restarts the query if a shard
 * still lacks the pinned version, another version is usable and enough time is
 * left. */
int HrGather_HandleMaps(HrGather *gather, const HrIndexMapSet *maps,
                        int64_t now_ns);

/* Handles a sub-answer. It counts only if its query, attempt, shard and
 * version match the sub-request. */
int HrGather_HandleAnswer(HrGather *gather, const HrSubAnswer *answer,
                          int64_t now_ns);

/* Handles a failed delivery or a failed link to a scheduling daemon: tries the
 * next candidate, unless the request is non-idempotent and may have run. */
int HrGather_HandlePeerFailure(HrGather *gather,
                               const HrGatherPeerFailure *failure,
                               int64_t now_ns);

#endif
