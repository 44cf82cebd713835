#ifndef HR_COMMON_GATHER_WORLD_H
#define HR_COMMON_GATHER_WORLD_H

#include "base-rng.h"
#include "coord-gather.h"

/* A simulation of the scheduling daemons that the gather talks to. The outcome
 * of each attempt depends only on seed, version, shard and rank. So the
 * reference can compute it without running the gather. */

#define SIMULATION_CANDIDATES 4
#define SIMULATION_MAX_SHARDS 40
#define SIMULATION_MAX_MAPS 3
#define SIMULATION_QUERY_COUNTER 77 /* counter of the query id */

typedef enum SimulationAttemptKind {
    SIMULATION_ANSWER,
    SIMULATION_DECLINED_FAILOVER, /* not the scheduler: try the next one */
    SIMULATION_DECLINED_FINAL,    /* overloaded */
    SIMULATION_UNKNOWN,
    SIMULATION_NO_VERSION,
    SIMULATION_FAILED_BEFORE_SEND, /* the peer link failed before the
                                    * request was sent */
    SIMULATION_FAILED_AFTER_SEND,  /* the peer link failed afterwards */
    SIMULATION_NO_REPLY,
    SIMULATION_WRONG_SHARD,
    SIMULATION_WRONG_VERSION,
    SIMULATION_TRUNCATED,
    SIMULATION_WRONG_QUERY,
    SIMULATION_ATTEMPT_KIND_COUNT
} SimulationAttemptKind;

/* The outcome of one attempt. */
typedef struct SimulationAttempt {
    SimulationAttemptKind kind;
    int64_t delay_ns;
    int64_t late_ns; /* a valid answer follows after this time; 0: none */
} SimulationAttempt;

typedef struct Simulation {
    uint64_t seed;
    double fault_rate;
    double no_version_rate; /* share of attempts on the first version for which
                             * no server holds it */
    HrRoute route;
    HrWantedCoverage want;
    const char *key;
    int64_t start_ns;
    int64_t deadline_ns;
    int64_t pause_from_ns; /* the process is paused: events that fall into the
                            * pause are delivered at its end */
    int64_t pause_to_ns;
    int64_t cancel_ns; /* HR_TIME_NEVER: none */
    int64_t pull_delay_ns;
    HrIndexMapSet *maps;        /* at the start */
    HrIndexMapSet *pulled_maps; /* reply to a request for maps; may be NULL */
    HrGatherConfig config;
} Simulation;

/* What the gather did in one simulation. */
typedef struct SimulationRun {
    const HrGatherAnswer *answer; /* child of the gather */
    HrGather *gather;
    bool may_have_run;   /* a server may have run a sent attempt */
    bool missing_cancel; /* a pending attempt was not cancelled */
    bool acted_after_finish;
    bool sent_twice; /* one sub-request id was sent twice */
    uint32_t send_count;
} SimulationRun;

/* Creates a random simulation as a talloc child of parent. */
Simulation *Simulation_Create(const void *parent, uint64_t seed);

/* Creates an index map that divides the key hashes evenly between its
 * shards. */
HrIndexMap *Simulation_CreateMap(const void *parent, uint64_t version,
                                 uint32_t shard_count);

/* Creates a set of the given maps, which must be sorted newest first. */
HrIndexMapSet *Simulation_CreateMapSet(const void *parent, uint64_t revision,
                                       HrIndexMap **maps, uint32_t map_count);

/* Returns the outcome of an attempt. */
SimulationAttempt Simulation_GetAttempt(const Simulation *simulation,
                                        uint64_t version, uint32_t index,
                                        uint32_t rank);

/* Returns the failure reason that an attempt of this kind reports. */
HrReason Simulation_GetReason(SimulationAttemptKind kind);

/* Returns when an event is delivered: at its scheduled time, or at the end of
 * the pause in which that time falls. */
int64_t Simulation_GetDeliveryTime(const Simulation *simulation,
                                   int64_t scheduled_ns);

/* Writes the payload of a valid answer. */
void Simulation_WritePayload(char *text, size_t size, uint64_t version,
                             const char *shard, uint32_t rank);

/* Runs the gather until all events are delivered. */
SimulationRun Simulation_RunQuery(const void *parent,
                                  const Simulation *simulation);

#endif
