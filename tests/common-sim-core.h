#ifndef HR_COMMON_SIM_CORE_H
#define HR_COMMON_SIM_CORE_H

/* The state and the event queue of the simulation in common-sched-sim.h. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base-clock.h"
#include "base-rng.h"
#include "coord-sched.h"

#define SIM_CANDIDATES 4
#define SIM_MAX_VERSIONS 4
#define SIM_MAX_CONNECTIONS 64

typedef enum SimEventKind {
    SIM_SUBMIT,          /* sub is passed to its scheduler */
    SIM_JOB_ARRIVES,     /* job reaches its server */
    SIM_JOB_FINISHES,    /* job ends at its server */
    SIM_ANSWER_ARRIVES,  /* job's answer reaches the daemon */
    SIM_CONNECTION_LOST, /* job's connection fails at the daemon */
    SIM_NOT_SENT,        /* job's connection could not be opened */
    SIM_REFUSED,         /* job's connection was closed right after accept */
    SIM_CANCEL_ARRIVES,  /* job's cancel reaches the server */
    SIM_CANCEL_RESULT_ARRIVES, /* job's cancel result reaches the daemon */
    SIM_POLL,                  /* sched sends a status poll to a server */
    SIM_REPORT_ARRIVES,        /* the report reaches sched */
    SIM_TIMER,                 /* the timer of sched is due */
    SIM_CALL,                  /* a function of the test is called */
} SimEventKind;

struct Sim;
typedef void SimCall(struct Sim *sim, uint32_t argument);

typedef struct SimEvent {
    int64_t time_ns;
    uint64_t sequence;
    SimEventKind kind;
    uint32_t index; /* of the sub, job or sched; argument of a SIM_CALL */
    uint32_t other; /* index of the server of a poll or report; 1 for a
                       confirmed cancel, otherwise 0 */
    SimCall *call;
    HrSchedStatusReport report;
    uint64_t versions[SIM_MAX_VERSIONS];
} SimEvent;

typedef enum SimJobState {
    SIM_JOB_IN_TRANSIT,
    SIM_JOB_QUEUED,
    SIM_JOB_RUNNING,
    SIM_JOB_ENDED,
} SimJobState;

/* One attempt, from when it is sent until the daemon has its answer. */
typedef struct SimJob {
    uint32_t sub;
    uint32_t sched; /* UINT32_MAX: sent by the naive router */
    uint32_t server;
    uint64_t attempt_id;
    uint64_t start_id; /* of the server when the job arrived there */
    uint64_t connection_epoch;
    int64_t deadline_ns;
    SimJobState state;
    HrBackendOutcome outcome;
    bool is_cancelled;
    bool has_result;      /* the server sends an answer */
    bool ended_at_daemon; /* the daemon got an answer or a failure */
} SimJob;

typedef struct SimServer {
    char name[HR_NAME_BYTES];
    char address[HR_ADDRESS_BYTES];
    uint32_t slots;
    uint32_t connections;
    uint32_t queue_limit;
    uint64_t start_id;
    bool is_alive;
    bool is_draining;
    bool is_cold;
    bool never_answers;   /* but accepts connections */
    bool reports_no_load; /* whatever its load is */
    bool always_sheds;
    double slow_factor;
    uint64_t versions[SIM_MAX_VERSIONS];
    uint32_t version_count;
    uint64_t connection_epoch; /* connections of an earlier one are silent */
    uint32_t running;
    uint32_t most_running;
    uint32_t open_connections;
    uint32_t most_connections;
    uint64_t started;
    int64_t busy_ns;
    uint32_t *queue; /* jobs, oldest first */
    uint32_t queue_length;
} SimServer;

/* A daemon's connections to one server. */
typedef struct SimConnections {
    uint64_t epochs[SIM_MAX_CONNECTIONS]; /* of the idle connections */
    uint32_t idle_count;
    uint32_t busy;
} SimConnections;

typedef struct SimSched {
    HrSched *sched;
    uint64_t first_attempt_id;
    uint32_t *jobs; /* indexed by attempt id - first_attempt_id */
    uint32_t job_count;
    uint32_t job_capacity;
    int64_t armed_ns; /* time of the pending SIM_TIMER; HR_TIME_NEVER: none */
    SimConnections *connections; /* by server */
} SimSched;

/* A sub-request, its sub-answer and how often servers ran it. */
typedef struct SimSub {
    HrSubRequest request;
    char shard[24];
    uint32_t sched;
    int64_t submitted_ns;
    int64_t answered_ns;
    uint32_t answers;
    uint32_t runs; /* times that a server started to run it */
    uint32_t finished_runs;
    HrSubOutcome outcome;
    HrReason reason;
} SimSub;

typedef struct SimConfig {
    uint64_t seed;
    uint32_t scheds;
    uint32_t servers;
    uint32_t slots;
    uint32_t connections;
    uint32_t server_queue;
    int64_t network_ns;
    int64_t connect_ns;
    int64_t service_ns;     /* median */
    double straggler_share; /* of requests that take straggler_factor times as
                               long */
    double straggler_factor;
    int64_t poll_ns;    /* 0: no polls */
    double fault_share; /* of answers that are changed, repeated or lost */
} SimConfig;

typedef struct Sim {
    SimConfig config;
    HrRng rng;
    int64_t now_ns;
    SimEvent *heap;
    uint32_t heap_count;
    uint32_t heap_capacity;
    uint64_t next_sequence;
    SimServer *servers;
    SimSched *scheds;
    SimJob *jobs;
    uint32_t job_count;
    uint32_t job_capacity;
    SimSub *subs;
    uint32_t sub_count;
    uint32_t sub_capacity;
    SimCall *on_direct_answer; /* gets the index of the job; may be NULL */
    uint64_t attempts;
    uint64_t false_answers; /* answers that no server gave */
    uint64_t slot_excess;   /* arrivals at a server without a free slot */
    uint64_t share_excess;  /* connections beyond a daemon's share */
    uint64_t reuse_misses;  /* attempts that found no idle connection although
                               the scheduler counted on one */
    uint64_t sheds;
    uint64_t draining_arrivals; /* arrivals at a draining server */
} Sim;

/* Returns true if an event comes before another one: by time, then by
 * sequence number. */
static inline bool
sim_comes_before(const SimEvent *left, const SimEvent *right)
{
    return left->time_ns != right->time_ns ? left->time_ns < right->time_ns
                                           : left->sequence < right->sequence;
}

/* Adds an event to the heap. */
static inline void
sim_push_event(Sim *sim, SimEvent event)
{
    uint32_t i = sim->heap_count++;

    if (sim->heap_count > sim->heap_capacity) {
        sim->heap_capacity = sim->heap_capacity * 2 + 256;
        sim->heap =
            talloc_realloc(sim, sim->heap, SimEvent, sim->heap_capacity);
    }
    event.sequence = sim->next_sequence++;
    while (i > 0 && sim_comes_before(&event, &sim->heap[(i - 1) / 2])) {
        sim->heap[i] = sim->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    sim->heap[i] = event;
}

/* Removes and returns the first event of the heap, which must not be empty. */
static inline SimEvent
sim_pop_event(Sim *sim)
{
    SimEvent first = sim->heap[0], last = sim->heap[--sim->heap_count];
    uint32_t i = 0;

    for (;;) {
        uint32_t child = 2 * i + 1;

        if (child >= sim->heap_count) {
            break;
        }
        if (child + 1 < sim->heap_count &&
            sim_comes_before(&sim->heap[child + 1], &sim->heap[child])) {
            child++;
        }
        if (!sim_comes_before(&sim->heap[child], &last)) {
            break;
        }
        sim->heap[i] = sim->heap[child];
        i = child;
    }
    sim->heap[i] = last;
    return first;
}

/* Schedules an event about one object after a delay. */
static inline void
sim_schedule_after(Sim *sim, int64_t delay_ns, SimEventKind kind,
                   uint32_t index)
{
    SimEvent event = {.kind = kind, .index = index};

    event.time_ns = sim->now_ns + delay_ns;
    sim_push_event(sim, event);
}

/* Schedules a call of a function of the test. */
static inline void
sim_call_at(Sim *sim, int64_t time_ns, SimCall *call, uint32_t argument)
{
    SimEvent event = {.kind = SIM_CALL, .index = argument, .call = call};

    event.time_ns = time_ns;
    sim_push_event(sim, event);
}

/* Creates a simulation in which all servers are warm and idle. The schedulers
 * are created by sim_add_sched. */
static inline Sim *
sim_create(const SimConfig *config)
{
    Sim *sim = talloc_zero(NULL, Sim);
    uint32_t i;

    sim->config = *config;
    sim->rng = HrRng_FromSeed(config->seed);
    sim->now_ns = HR_NS_PER_S;
    sim->servers = talloc_zero_array(sim, SimServer, config->servers);
    sim->scheds = talloc_zero_array(sim, SimSched, config->scheds);
    for (i = 0; i < config->servers; i++) {
        SimServer *server = &sim->servers[i];

        snprintf(server->name, sizeof(server->name), "s%u", i);
        snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
                 10000 + i);
        server->slots = config->slots;
        server->connections = config->connections;
        server->queue_limit = config->server_queue;
        server->start_id = 1;
        server->is_alive = true;
        server->slow_factor = 1;
        server->versions[0] = 1;
        server->version_count = 1;
        server->queue = talloc_array(sim, uint32_t, config->server_queue + 1);
    }
    return sim;
}

#endif
