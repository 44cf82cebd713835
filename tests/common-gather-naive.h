#ifndef HR_COMMON_GATHER_NAIVE_H
#define HR_COMMON_GATHER_NAIVE_H

#include "common-gather-world.h"

/* A naive reference for the gather: it lists everything that the simulated
 * daemons will send, sorts it by arrival time, and derives from that the
 * answer that the gather must give. */

typedef struct NaiveShard {
    bool answered;
    uint32_t rank; /* candidate that answered */
    HrReason reason;
} NaiveShard;

typedef struct NaiveAnswer {
    HrQueryStatus status;
    HrReason reason;
    bool not_run;
    uint64_t version;
    uint32_t restarts;
    int64_t finished_ns;
    NaiveShard shards[SIMULATION_MAX_SHARDS]; /* by index in the map */
    uint32_t first; /* the query covers the shards [first, first + count) */
    uint32_t count;
} NaiveAnswer;

/* Returns the answer that the gather must give in this simulation. */
NaiveAnswer NaiveGather_ComputeAnswer(const Simulation *simulation);

#endif
