#ifndef HR_COMMON_GATHER_WORLD_H
#define HR_COMMON_GATHER_WORLD_H

#include "base-rng.h"
#include "coord-gather.h"

/* A simulated set of scheduling daemons for the gather. What each attempt
 * does follows from the seed, the version, the shard and the rank alone, so
 * that a reference computes the same without running the gather. */

#define WORLD_CANDIDATES 4
#define WORLD_MAX_SHARDS 40
#define WORLD_MAX_MAPS 3
#define WORLD_COUNTER 77 /* counter of the query id */

typedef enum WorldKind {
    WORLD_ANSWER,
    WORLD_DECLINED_NEXT,  /* not the scheduler, or draining */
    WORLD_DECLINED_FINAL, /* overloaded */
    WORLD_UNKNOWN,
    WORLD_NO_VERSION,
    WORLD_NOT_HANDED, /* the link failed before the request was sent */
    WORLD_HANDED,     /* the link failed afterwards */
    WORLD_SILENT,
    WORLD_WRONG_SHARD,
    WORLD_WRONG_VERSION,
    WORLD_TRUNCATED,
    WORLD_WRONG_QUERY,
    WORLD_KIND_COUNT
} WorldKind;

/* What one attempt does. */
typedef struct WorldAttempt {
    WorldKind kind;
    int64_t delay_ns;
    int64_t late_ns; /* a valid answer follows after this time; 0: none */
} WorldAttempt;

typedef struct World {
    uint64_t seed;
    double fault_rate;
    double lost_rate; /* share of shards whose first version is lost */
    HrRoute route;
    HrWant want;
    const char *key;
    int64_t start_ns;
    int64_t deadline_ns;
    int64_t pause_from_ns; /* events in the pause arrive at its end */
    int64_t pause_to_ns;
    int64_t cancel_ns; /* HR_TIME_NEVER: none */
    int64_t pull_delay_ns;
    HrIndexMapSet *maps;  /* at the start */
    HrIndexMapSet *reply; /* to the pull; may be NULL */
    HrGatherConfig config;
} World;

/* What the gather did. */
typedef struct WorldRun {
    const HrGatherAnswer *answer; /* child of the gather */
    HrGather *gather;
    bool may_have_run; /* an attempt that was sent could run */
    bool lost_cancel;  /* an open attempt was not cancelled */
    bool acted_after_finish;
    bool sent_twice; /* one sub-request id was sent twice */
    uint32_t sends;
} WorldRun;

/* Creates a random world as a talloc child of parent. */
World *World_Create(const void *parent, uint64_t seed);

/* Builds a map whose shards divide the hashes evenly. */
HrIndexMap *World_CreateMap(const void *parent, uint64_t version,
                            uint32_t shard_count);

/* Builds a set of the given maps, newest first. */
HrIndexMapSet *World_CreateSet(const void *parent, uint64_t revision,
                               HrIndexMap **maps, uint32_t map_count);

/* Returns what an attempt does. */
WorldAttempt World_Attempt(const World *world, uint64_t version,
                           uint32_t index, uint32_t rank);

/* Returns the reason that an attempt's failure reports. */
HrReason World_Reason(WorldKind kind);

/* Returns when an event that is due at a time is delivered. */
int64_t World_Deliver(const World *world, int64_t raw_ns);

/* Writes the payload of a valid answer. */
void World_Payload(char *text, size_t size, uint64_t version,
                   const char *shard, uint32_t rank);

/* Runs the gather to the end of all events. */
WorldRun World_Run(const void *parent, const World *world);

#endif
