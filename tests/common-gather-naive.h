#ifndef HR_COMMON_GATHER_NAIVE_H
#define HR_COMMON_GATHER_NAIVE_H

#include "common-gather-world.h"

/* A reference for the gather: it sends to all shards, waits for all of them,
 * and only then works out from the sorted arrival times what the answer had
 * to be. */

typedef struct NaiveShard {
    bool answered;
    uint32_t rank; /* that answered */
    HrReason reason;
} NaiveShard;

typedef struct NaiveAnswer {
    HrStatus status;
    HrReason reason;
    bool not_run;
    uint64_t version;
    uint32_t restarts;
    int64_t finished_ns;
    NaiveShard shards[WORLD_MAX_SHARDS]; /* by number in the map */
    uint32_t first; /* the shards of the query: [first, first + count) */
    uint32_t count;
} NaiveAnswer;

/* Returns the answer that a query in this world must get. */
NaiveAnswer NaiveGather_Answer(const World *world);

#endif
