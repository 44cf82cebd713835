#ifndef HR_COMMON_SCHED_SIM_H
#define HR_COMMON_SCHED_SIM_H

/* Schedulers, backend servers and the network between them in virtual time,
 * for the tests and measurements of coord-sched. The functions are inline
 * because measurements link no file of tests/. */

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
    SIM_SUBMIT,        /* sub */
    SIM_ARRIVE,        /* job reaches its server */
    SIM_FINISH,        /* job ends at its server */
    SIM_ANSWER,        /* job's answer reaches the daemon */
    SIM_LOSE,          /* job's connection fails at the daemon */
    SIM_NOT_SENT,      /* job's connection could not be opened */
    SIM_REFUSED,       /* job's connection was closed right after accept */
    SIM_CANCEL_ARRIVE, /* job's cancel reaches the server */
    SIM_CANCEL_RESULT, /* job's cancel result reaches the daemon */
    SIM_POLL,          /* status poll of server by sched */
    SIM_REPORT,        /* its answer */
    SIM_TIMER,         /* sched */
    SIM_CALL,          /* a function of the test */
} SimEventKind;

struct Sim;
typedef void SimCall(struct Sim *sim, uint32_t argument);

typedef struct SimEvent {
    int64_t time_ns;
    uint64_t sequence;
    SimEventKind kind;
    uint32_t index; /* of the sub, job, sched or server */
    uint32_t other; /* of the server of a poll; bool of a cancel result */
    SimCall *call;
    HrSchedStatusReport report;
    uint64_t versions[SIM_MAX_VERSIONS];
} SimEvent;

typedef enum SimJobState {
    SIM_JOB_TRAVELS,
    SIM_JOB_QUEUED,
    SIM_JOB_RUNNING,
    SIM_JOB_ENDED,
} SimJobState;

/* One attempt, at the server and on its way. */
typedef struct SimJob {
    uint32_t sub;
    uint32_t sched; /* UINT32_MAX: sent by the naive router */
    uint32_t server;
    uint64_t attempt_id;
    uint64_t start_id; /* of the server when it arrived */
    uint64_t connection_epoch;
    int64_t deadline_ns;
    SimJobState state;
    HrBackendOutcome outcome;
    bool is_cancelled;
    bool has_result;      /* the server gave an answer */
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
    bool is_mute; /* accepts connections and never answers */
    bool lies;    /* reports no load */
    bool sheds_always;
    double slow_factor;
    uint64_t versions[SIM_MAX_VERSIONS];
    uint32_t version_count;
    uint64_t connection_epoch; /* older connections are silent */
    uint32_t running;
    uint32_t most_running;
    uint32_t open_connections;
    uint32_t most_connections;
    uint64_t started;
    int64_t busy_ns;
    uint32_t *queue; /* jobs, oldest first */
    uint32_t queue_length;
} SimServer;

/* A scheduler's idle connections to one server, by epoch. */
typedef struct SimIdle {
    uint64_t epochs[SIM_MAX_CONNECTIONS];
    uint32_t count;
    uint32_t busy;
} SimIdle;

typedef struct SimSched {
    HrSched *sched;
    uint64_t first_attempt_id;
    uint32_t *jobs; /* by attempt id, less the first one */
    uint32_t job_count;
    uint32_t job_room;
    int64_t armed_ns;
    SimIdle *idle; /* by server */
} SimSched;

/* What became of a sub-request. */
typedef struct SimSub {
    HrSubRequest request;
    char shard[24];
    uint32_t sched;
    int64_t submitted_ns;
    int64_t answered_ns;
    uint32_t answers;
    uint32_t runs; /* times that a server began to run it */
    uint32_t finished_runs;
    HrOutcome outcome;
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
    double straggler_share; /* of requests that take straggler_factor longer */
    double straggler_factor;
    int64_t poll_ns;    /* 0: no polls */
    double fault_share; /* of answers that are damaged, repeated or lost */
} SimConfig;

typedef struct Sim {
    SimConfig config;
    HrRng rng;
    int64_t now_ns;
    SimEvent *heap;
    uint32_t heap_count;
    uint32_t heap_room;
    uint64_t next_sequence;
    SimServer *servers;
    SimSched *scheds;
    SimJob *jobs;
    uint32_t job_count;
    uint32_t job_room;
    SimSub *subs;
    uint32_t sub_count;
    uint32_t sub_room;
    uint64_t attempts;
    uint64_t false_answers; /* answers that no server gave */
    uint64_t slot_excess;   /* arrivals at a server without a free slot */
    uint64_t share_excess;  /* connections beyond a daemon's share */
    uint64_t reuse_misses;  /* idle connections that did not exist */
    uint64_t sheds;
    uint64_t now_draining_starts; /* arrivals at a draining server */
} Sim;

/* Orders two events by time, then by sequence. */
static inline bool
sim_is_before(const SimEvent *left, const SimEvent *right)
{
    return left->time_ns != right->time_ns ? left->time_ns < right->time_ns
                                           : left->sequence < right->sequence;
}

/* Adds an event to the heap. */
static inline void
sim_push(Sim *sim, SimEvent event)
{
    uint32_t i = sim->heap_count++;

    if (sim->heap_count > sim->heap_room) {
        sim->heap_room = sim->heap_room * 2 + 256;
        sim->heap = talloc_realloc(sim, sim->heap, SimEvent, sim->heap_room);
    }
    event.sequence = sim->next_sequence++;
    while (i > 0 && sim_is_before(&event, &sim->heap[(i - 1) / 2])) {
        sim->heap[i] = sim->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    sim->heap[i] = event;
}

/* Takes the first event out of the heap, which is not empty. */
static inline SimEvent
sim_pop(Sim *sim)
{
    SimEvent first = sim->heap[0], last = sim->heap[--sim->heap_count];
    uint32_t i = 0;

    for (;;) {
        uint32_t child = 2 * i + 1;

        if (child >= sim->heap_count) {
            break;
        }
        if (child + 1 < sim->heap_count &&
            sim_is_before(&sim->heap[child + 1], &sim->heap[child])) {
            child++;
        }
        if (!sim_is_before(&sim->heap[child], &last)) {
            break;
        }
        sim->heap[i] = sim->heap[child];
        i = child;
    }
    sim->heap[i] = last;
    return first;
}

/* Schedules an event about one object. */
static inline void
sim_after(Sim *sim, int64_t delay_ns, SimEventKind kind, uint32_t index)
{
    SimEvent event = {.kind = kind, .index = index};

    event.time_ns = sim->now_ns + delay_ns;
    sim_push(sim, event);
}

/* Schedules a function of the test. */
static inline void
sim_call_at(Sim *sim, int64_t time_ns, SimCall *call, uint32_t argument)
{
    SimEvent event = {.kind = SIM_CALL, .index = argument, .call = call};

    event.time_ns = time_ns;
    sim_push(sim, event);
}

/* Creates a simulation with all servers warm and idle; without servers for
 * the schedulers, which are given by sim_set_pool. */
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

static inline void sim_drain(Sim *sim, uint32_t index);

/* Hands an event to a scheduler and carries out its actions. */
static inline void
sim_handle(Sim *sim, uint32_t index, HrSchedEvent *event)
{
    event->now_ns = sim->now_ns;
    HrSched_Handle(sim->scheds[index].sched, event);
    sim_drain(sim, index);
}

/* Creates a scheduler with some of the servers as its group. */
static inline void
sim_add_sched(Sim *sim, uint32_t index, const HrPool *pool, HrRng *rng)
{
    HrSchedConfig config = {
        .pool = "pool", .group = "group", .candidates = SIM_CANDIDATES};
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET};
    SimSched *sched = &sim->scheds[index];

    sched->sched = HrSched_Create(sim, &config, rng);
    sched->armed_ns = HR_TIME_NEVER;
    sched->idle = talloc_zero_array(sim, SimIdle, sim->config.servers);
    event.u.server_set = pool;
    sim_handle(sim, index, &event);
    event.kind = HR_SCHED_ROLE;
    event.u.role.kind = HR_SCHED_ROLE_SCHEDULER;
    sim_handle(sim, index, &event);
}

/* Fills a pool with the servers from first to first + count - 1. */
static inline void
sim_fill_pool(Sim *sim, HrPool *pool, uint32_t first, uint32_t count)
{
    uint32_t i;

    memset(pool, 0, sizeof(*pool));
    pool->name = "pool";
    pool->slots = sim->config.slots;
    pool->connections = sim->config.connections;
    pool->connect_ms = (uint32_t)(sim->config.connect_ns / HR_NS_PER_MS);
    pool->hedge = HR_HEDGE_QUANTILE;
    pool->hedge_quantile = 0.95;
    pool->hedge_delay_ms = 5;
    pool->extra_load_percent = 5;
    pool->queue_limit = 1000;
    pool->revision = 1;
    pool->server_count = count;
    pool->servers = talloc_zero_array(sim, HrServer, count);
    for (i = 0; i < count; i++) {
        pool->servers[i].name = sim->servers[first + i].name;
        pool->servers[i].address = sim->servers[first + i].address;
        pool->servers[i].data_centre = "dc";
        pool->servers[i].group = "group";
    }
}

/* Starts the polls of some servers by a scheduler, at random phases. */
static inline void
sim_start_polls(Sim *sim, uint32_t sched, uint32_t first, uint32_t count)
{
    uint32_t i;

    for (i = 0; sim->config.poll_ns > 0 && i < count; i++) {
        SimEvent event = {.kind = SIM_POLL, .index = sched};

        event.other = first + i;
        event.time_ns =
            sim->now_ns +
            (int64_t)HrRng_Below(&sim->rng, (uint64_t)sim->config.poll_ns);
        sim_push(sim, event);
    }
}

/* Notes a sub-request that is handed to a scheduler at a time; a scheduler of
 * UINT32_MAX only notes it. Returns its number. */
static inline uint32_t
sim_submit_at(Sim *sim, int64_t time_ns, uint32_t sched,
              const HrSubRequest *request)
{
    SimEvent event = {.kind = SIM_SUBMIT, .time_ns = time_ns};
    SimSub *sub;

    if (sim->sub_count == sim->sub_room) {
        sim->sub_room = sim->sub_room * 2 + 256;
        sim->subs = talloc_realloc(sim, sim->subs, SimSub, sim->sub_room);
    }
    sub = &sim->subs[sim->sub_count];
    memset(sub, 0, sizeof(*sub));
    sub->request = *request;
    sub->request.query.counter = sim->sub_count;
    snprintf(sub->shard, sizeof(sub->shard), "shard-%u", sim->sub_count % 71);
    sub->sched = sched;
    sub->submitted_ns = time_ns;
    event.index = sim->sub_count;
    if (sched != UINT32_MAX) {
        sim_push(sim, event);
    }
    return sim->sub_count++;
}

/* Hands a sub-request to its scheduler. */
static inline void
sim_submit(Sim *sim, uint32_t index)
{
    HrSubRequest request = sim->subs[index].request;
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST};

    request.shard = sim->subs[index].shard;
    event.u.sub_request = &request;
    sim_handle(sim, sim->subs[index].sched, &event);
}

/* Returns a new job, in transit. */
static inline uint32_t
sim_add_job(Sim *sim, uint32_t sub, uint32_t sched, uint32_t server)
{
    SimJob *job;

    if (sim->job_count == sim->job_room) {
        sim->job_room = sim->job_room * 2 + 256;
        sim->jobs = talloc_realloc(sim, sim->jobs, SimJob, sim->job_room);
    }
    job = &sim->jobs[sim->job_count];
    memset(job, 0, sizeof(*job));
    job->sub = sub;
    job->sched = sched;
    job->server = server;
    job->deadline_ns = sim->subs[sub].request.deadline_ns;
    sim->attempts++;
    return sim->job_count++;
}

/* Sends a sub-request to a server without a scheduler. */
static inline void
sim_send_direct(Sim *sim, uint32_t sub, uint32_t server)
{
    uint32_t job = sim_add_job(sim, sub, UINT32_MAX, server);

    sim->jobs[job].connection_epoch = sim->servers[server].connection_epoch;
    sim_after(sim, sim->config.network_ns, SIM_ARRIVE, job);
}

/* Returns the number of a server by its name. */
static inline uint32_t
sim_server_index(const char *name)
{
    return (uint32_t)strtoul(name + 1, NULL, 10);
}

/* Remembers which job an attempt id stands for. */
static inline void
sim_map_attempt(SimSched *sched, Sim *sim, uint64_t attempt_id, uint32_t job)
{
    if (sched->job_count == 0) {
        sched->first_attempt_id = attempt_id;
    }
    if (sched->job_count == sched->job_room) {
        sched->job_room = sched->job_room * 2 + 256;
        sched->jobs =
            talloc_realloc(sim, sched->jobs, uint32_t, sched->job_room);
    }
    sched->jobs[sched->job_count++] = job;
}

/* Takes the connection of an attempt. Returns true if it was opened now; the
 * share includes one connection for cancels and polls. */
static inline bool
sim_take_connection(Sim *sim, SimIdle *idle, SimServer *server,
                    const HrSchedSendAttempt *send, SimJob *job)
{
    uint32_t share = server->connections / SIM_CANDIDATES;
    bool opens = send->fresh_connection || idle->count == 0;

    if (send->close_idle) {
        server->open_connections -= idle->count;
        idle->count = 0;
    }
    if (!send->fresh_connection && idle->count == 0) {
        sim->reuse_misses++;
    }
    if (opens) {
        server->open_connections++;
        job->connection_epoch = server->connection_epoch;
    }
    else {
        job->connection_epoch = idle->epochs[--idle->count];
    }
    idle->busy++;
    if (server->open_connections > server->most_connections) {
        server->most_connections = server->open_connections;
    }
    if (idle->busy + idle->count + (share > 1 ? 1 : 0) >
        (share > 0 ? share : 1)) {
        sim->share_excess++;
    }
    return opens;
}

/* Carries out the sending of an attempt. */
static inline void
sim_send(Sim *sim, uint32_t index, const HrSchedSendAttempt *send)
{
    SimSched *sched = &sim->scheds[index];
    uint32_t target = sim_server_index(send->server);
    SimServer *server = &sim->servers[target];
    uint32_t job = sim_add_job(sim, (uint32_t)send->request->query.counter,
                               index, target);
    int64_t travel_ns = sim->config.network_ns;
    bool opens;

    sim->jobs[job].attempt_id = send->attempt_id;
    sim->jobs[job].deadline_ns = send->deadline_ns;
    sim_map_attempt(sched, sim, send->attempt_id, job);
    opens = sim_take_connection(sim, &sched->idle[target], server, send,
                                &sim->jobs[job]);
    if (opens) {
        travel_ns += sim->config.connect_ns;
    }
    if (opens && !server->is_alive) {
        sim_after(sim, sim->config.network_ns, SIM_NOT_SENT, job);
        return;
    }
    if (opens && server->open_connections > server->connections) {
        sim_after(sim, travel_ns, SIM_REFUSED, job);
        return;
    }
    sim_after(sim, travel_ns, SIM_ARRIVE, job);
    sim_after(sim, send->deadline_ns - sim->now_ns, SIM_LOSE, job);
}

/* Carries out the cancel of an attempt. */
static inline void
sim_cancel(Sim *sim, uint32_t index, const HrSchedCancelAttempt *cancel)
{
    SimSched *sched = &sim->scheds[index];
    uint32_t job = sched->jobs[cancel->attempt_id - sched->first_attempt_id];

    if (cancel->close_connection) {
        sim_after(sim, 0, SIM_LOSE, job);
    }
    sim_after(sim, sim->config.network_ns, SIM_CANCEL_ARRIVE, job);
}

/* Notes a sub-answer. */
static inline void
sim_note_answer(Sim *sim, const HrSubAnswer *answer)
{
    SimSub *sub = &sim->subs[answer->query.counter];

    sub->answers++;
    sub->answered_ns = sim->now_ns;
    sub->outcome = answer->outcome;
    sub->reason = answer->reason;
    if (answer->outcome == HR_OUTCOME_ANSWERED &&
        (sub->finished_runs == 0 || answer->server == NULL ||
         strcmp(answer->shard, sub->shard) != 0 ||
         answer->version != sub->request.version)) {
        sim->false_answers++;
    }
}

/* Carries out the pending actions of a scheduler and sets its timer. */
static inline void
sim_drain(Sim *sim, uint32_t index)
{
    SimSched *sched = &sim->scheds[index];
    HrSchedAction action;
    int64_t next_ns;

    while (HrSched_Next(sched->sched, &action)) {
        switch (action.kind) {
        case HR_SCHED_SEND_ATTEMPT:
            sim_send(sim, index, &action.u.send_attempt);
            break;
        case HR_SCHED_CANCEL_ATTEMPT:
            sim_cancel(sim, index, &action.u.cancel_attempt);
            break;
        case HR_SCHED_SUB_ANSWER:
            sim_note_answer(sim, &action.u.sub_answer);
            break;
        }
    }
    next_ns = HrSched_NextTimer(sched->sched);
    if (next_ns < sched->armed_ns) {
        sched->armed_ns = next_ns;
        sim_after(sim, next_ns > sim->now_ns ? next_ns - sim->now_ns : 0,
                  SIM_TIMER, index);
    }
}

/* Returns a random service time: log-normal around the median, with
 * stragglers. */
static inline int64_t
sim_service_ns(Sim *sim, const SimServer *server)
{
    double sum = 0, factor;
    int i;

    for (i = 0; i < 12; i++) {
        sum += HrRng_Unit(&sim->rng); /* about normal, deviation 1 */
    }
    factor = __builtin_exp(0.35 * (sum - 6)) * server->slow_factor;
    if (HrRng_Chance(&sim->rng, sim->config.straggler_share)) {
        factor *= sim->config.straggler_factor;
    }
    return (int64_t)((double)sim->config.service_ns * factor);
}

/* Begins to run a job. */
static inline void
sim_start_job(Sim *sim, uint32_t index)
{
    SimJob *job = &sim->jobs[index];
    SimServer *server = &sim->servers[job->server];
    int64_t service_ns = sim_service_ns(sim, server);

    job->state = SIM_JOB_RUNNING;
    server->started++;
    if (++server->running > server->most_running) {
        server->most_running = server->running;
    }
    sim->subs[job->sub].runs++;
    job->has_result = sim->now_ns + service_ns <= job->deadline_ns;
    if (!job->has_result) {
        service_ns =
            job->deadline_ns - sim->now_ns; /* stops at its deadline */
    }
    server->busy_ns += service_ns;
    sim_after(sim, service_ns, SIM_FINISH, index);
}

/* Sends the answer of a job on its way. */
static inline void
sim_answer(Sim *sim, uint32_t index, HrBackendOutcome outcome)
{
    SimJob *job = &sim->jobs[index];

    job->state = SIM_JOB_ENDED;
    job->outcome = outcome;
    job->has_result = true;
    sim_after(sim, sim->config.network_ns, SIM_ANSWER, index);
}

/* Returns true if a server holds a version. */
static inline bool
sim_holds(const SimServer *server, uint64_t version)
{
    uint32_t i;

    for (i = 0; i < server->version_count; i++) {
        if (server->versions[i] == version) {
            return true;
        }
    }
    return false;
}

/* Queues or sheds a job for which no slot is free. */
static inline void
sim_queue_job(Sim *sim, uint32_t index)
{
    SimJob *job = &sim->jobs[index];
    SimServer *server = &sim->servers[job->server];

    sim->slot_excess++;
    if (server->queue_length >= server->queue_limit) {
        sim->sheds++;
        sim_answer(sim, index, HR_BACKEND_SHED);
        return;
    }
    job->state = SIM_JOB_QUEUED;
    server->queue[server->queue_length++] = index;
}

/* Handles the arrival of a job at its server. */
static inline void
sim_arrive(Sim *sim, uint32_t index)
{
    SimJob *job = &sim->jobs[index];
    SimServer *server = &sim->servers[job->server];

    if (!server->is_alive) {
        job->state = SIM_JOB_ENDED;
        sim_after(sim, sim->config.network_ns, SIM_LOSE, index);
        return;
    }
    if (server->is_mute || job->connection_epoch < server->connection_epoch) {
        job->state = SIM_JOB_ENDED; /* never answered */
        return;
    }
    job->start_id = server->start_id;
    if (job->is_cancelled || server->is_draining ||
        job->deadline_ns <= sim->now_ns) {
        sim->now_draining_starts += server->is_draining ? 1 : 0;
        sim_answer(sim, index, HR_BACKEND_DECLINED);
    }
    else if (!sim_holds(server, sim->subs[job->sub].request.version)) {
        sim_answer(sim, index, HR_BACKEND_NO_VERSION);
    }
    else if (server->sheds_always) {
        sim->sheds++;
        sim_answer(sim, index, HR_BACKEND_SHED);
    }
    else if (server->running < server->slots) {
        sim_start_job(sim, index);
    }
    else {
        sim_queue_job(sim, index);
    }
}

/* Starts queued jobs of a server while slots are free; those whose deadline
 * has passed are declined. */
static inline void
sim_start_queued(Sim *sim, SimServer *server)
{
    while (server->queue_length > 0 && server->running < server->slots) {
        uint32_t index = server->queue[0];

        server->queue_length--;
        memmove(server->queue, server->queue + 1,
                server->queue_length * sizeof(*server->queue));
        if (sim->jobs[index].deadline_ns <= sim->now_ns) {
            sim_answer(sim, index, HR_BACKEND_DECLINED);
            continue;
        }
        sim_start_job(sim, index);
    }
}

/* Handles the end of a job at its server. */
static inline void
sim_finish(Sim *sim, uint32_t index)
{
    SimJob *job = &sim->jobs[index];
    SimServer *server = &sim->servers[job->server];

    if (job->state != SIM_JOB_RUNNING || job->start_id != server->start_id) {
        return;
    }
    server->running--;
    job->state = SIM_JOB_ENDED;
    if (job->has_result) {
        sim->subs[job->sub].finished_runs++;
        sim_answer(sim, index, HR_BACKEND_ANSWERED);
    }
    sim_start_queued(sim, server);
}

/* Returns the connection of a job at the daemon. */
static inline void
sim_give_connection(Sim *sim, const SimJob *job, bool closed)
{
    SimIdle *idle;

    if (job->sched == UINT32_MAX) {
        return;
    }
    idle = &sim->scheds[job->sched].idle[job->server];
    idle->busy--;
    if (closed || idle->count == SIM_MAX_CONNECTIONS) {
        sim->servers[job->server].open_connections--;
        return;
    }
    idle->epochs[idle->count++] = job->connection_epoch;
}

/* Reports the failure of a job to its scheduler, unless it has ended. */
static inline void
sim_fail(Sim *sim, uint32_t index, HrAttemptFailure failure)
{
    HrSchedEvent event = {.kind = HR_SCHED_ATTEMPT_FAILED};
    SimJob *job = &sim->jobs[index];

    if (job->ended_at_daemon || job->sched == UINT32_MAX) {
        return;
    }
    job->ended_at_daemon = true;
    sim_give_connection(sim, job, true);
    event.u.attempt_failed.attempt_id = job->attempt_id;
    event.u.attempt_failed.failure = failure;
    sim_handle(sim, job->sched, &event);
}

/* Fills the answer of a job as the server gives it. */
static inline void
sim_fill_answer(Sim *sim, const SimJob *job, HrSchedBackendAnswer *answer)
{
    static const uint8_t payload[] = "{\"hits\":[]}";
    const SimServer *server = &sim->servers[job->server];
    const SimSub *sub = &sim->subs[job->sub];

    answer->attempt_id = job->attempt_id;
    answer->query = sub->request.query;
    answer->version = sub->request.version;
    answer->shard = sub->shard;
    answer->outcome = job->outcome;
    answer->payload.data = payload;
    answer->payload.length_bytes = sizeof(payload) - 1;
    answer->draining = server->is_draining;
    answer->start_id = job->start_id;
    answer->load.running = server->lies ? 0 : server->running;
    answer->load.queued = server->lies ? 0 : server->queue_length;
}

/* Damages an answer in one of several ways. */
static inline void
sim_damage(Sim *sim, HrSchedBackendAnswer *answer)
{
    switch (HrRng_Below(&sim->rng, 4)) {
    case 0:
        answer->version++;
        break;
    case 1:
        answer->shard = "other";
        break;
    case 2:
        answer->query.counter++;
        break;
    default:
        answer->load.running = UINT32_MAX;
        answer->load.queued = UINT32_MAX;
        break;
    }
}

/* Gives the answer of a job to the naive router. */
static inline void
sim_answer_direct(Sim *sim, const SimJob *job)
{
    SimSub *sub = &sim->subs[job->sub];

    sub->answers++;
    sub->answered_ns = sim->now_ns;
    sub->outcome = job->outcome == HR_BACKEND_ANSWERED ? HR_OUTCOME_ANSWERED
                                                       : HR_OUTCOME_DECLINED;
}

/* Gives the answer of a job to the daemon, with faults. */
static inline void
sim_deliver(Sim *sim, uint32_t index)
{
    HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};
    SimJob *job = &sim->jobs[index];
    uint32_t sched = job->sched;

    if (sched == UINT32_MAX) {
        sim_answer_direct(sim, job);
        return;
    }
    if (job->ended_at_daemon ||
        job->connection_epoch < sim->servers[job->server].connection_epoch) {
        return;
    }
    if (HrRng_Chance(&sim->rng, sim->config.fault_share)) {
        sim_fail(
            sim, index,
            (HrAttemptFailure)(HR_ATTEMPT_LOST + HrRng_Below(&sim->rng, 3)));
        return;
    }
    job->ended_at_daemon = true;
    sim_give_connection(sim, job, false);
    sim_fill_answer(sim, job, &event.u.backend_answer);
    if (HrRng_Chance(&sim->rng, sim->config.fault_share)) {
        sim_damage(sim, &event.u.backend_answer);
    }
    sim_handle(sim, sched, &event);
    if (HrRng_Chance(&sim->rng, sim->config.fault_share)) {
        sim_handle(sim, sched, &event); /* the same answer again */
    }
}

/* Removes a queued job from its server's queue. */
static inline void
sim_unqueue(SimServer *server, uint32_t index)
{
    uint32_t i;

    for (i = 0; i < server->queue_length; i++) {
        if (server->queue[i] == index) {
            server->queue_length--;
            memmove(server->queue + i, server->queue + i + 1,
                    (server->queue_length - i) * sizeof(*server->queue));
            return;
        }
    }
}

/* Handles a cancel at the server. A job that runs is stopped, and its request
 * ends with a status code that says nothing. */
static inline void
sim_cancel_arrive(Sim *sim, uint32_t index)
{
    SimJob *job = &sim->jobs[index];
    SimServer *server = &sim->servers[job->server];
    SimEvent event = {.kind = SIM_CANCEL_RESULT, .index = index};

    event.time_ns = sim->now_ns + sim->config.network_ns;
    event.other = server->is_alive && !server->is_mute &&
                  !HrRng_Chance(&sim->rng, sim->config.fault_share);
    if (event.other) {
        job->is_cancelled = true;
        if (job->state == SIM_JOB_QUEUED) {
            sim_unqueue(server, index);
            sim_answer(sim, index, HR_BACKEND_DECLINED);
        }
        else if (job->state == SIM_JOB_RUNNING &&
                 job->start_id == server->start_id) {
            server->running--;
            job->state = SIM_JOB_ENDED;
            job->has_result = false;
            sim_after(sim, sim->config.network_ns, SIM_ANSWER, index);
            sim_start_queued(sim, server);
        }
    }
    sim_push(sim, event);
}

/* Gives the result of a cancel to the scheduler. */
static inline void
sim_cancel_result(Sim *sim, const SimEvent *result)
{
    HrSchedEvent event = {.kind = HR_SCHED_CANCEL_RESULT};
    const SimJob *job = &sim->jobs[result->index];

    event.u.cancel_result.attempt_id = job->attempt_id;
    event.u.cancel_result.confirmed = result->other != 0;
    sim_handle(sim, job->sched, &event);
}

/* Polls a server; the answer takes a random time, so that it lags. */
static inline void
sim_poll(Sim *sim, const SimEvent *poll)
{
    const SimServer *server = &sim->servers[poll->other];
    SimEvent event = *poll;

    event.kind = SIM_REPORT;
    event.report.server = server->name;
    event.report.failed = !server->is_alive || server->is_mute;
    event.report.requested_ns = sim->now_ns;
    event.report.start_id = server->start_id;
    event.report.state = server->is_draining ? HR_SERVER_DRAINING
                         : server->is_cold   ? HR_SERVER_COLD
                                             : HR_SERVER_READY;
    event.report.load.running = server->lies ? 0 : server->running;
    event.report.load.queued = server->lies ? 0 : server->queue_length;
    event.report.slots = server->slots;
    event.report.connections = server->connections;
    event.report.version_count = server->version_count;
    memcpy(event.versions, server->versions, sizeof(event.versions));
    event.time_ns = sim->now_ns + sim->config.network_ns +
                    HrRng_ExponentialNs(&sim->rng, sim->config.poll_ns / 4);
    sim_push(sim, event);
    event.kind = SIM_POLL;
    event.time_ns = sim->now_ns + sim->config.poll_ns;
    sim_push(sim, event);
}

/* Gives a report to the scheduler. */
static inline void
sim_report(Sim *sim, SimEvent *report)
{
    HrSchedEvent event = {.kind = HR_SCHED_STATUS_REPORT};

    event.u.status_report = report->report;
    event.u.status_report.versions = report->versions;
    sim_handle(sim, report->index, &event);
}

/* Handles the timer of a scheduler. */
static inline void
sim_timer(Sim *sim, uint32_t index)
{
    HrSchedEvent event = {.kind = HR_SCHED_TIMER};

    sim->scheds[index].armed_ns = HR_TIME_NEVER;
    sim_handle(sim, index, &event);
}

/* Handles one event. */
static inline void
sim_dispatch(Sim *sim, SimEvent *event)
{
    switch (event->kind) {
    case SIM_SUBMIT:
        sim_submit(sim, event->index);
        break;
    case SIM_ARRIVE:
        sim_arrive(sim, event->index);
        break;
    case SIM_FINISH:
        sim_finish(sim, event->index);
        break;
    case SIM_ANSWER:
        if (sim->jobs[event->index].has_result) {
            sim_deliver(sim, event->index);
        }
        else {
            sim_fail(sim, event->index, HR_ATTEMPT_SERVER_ERROR);
        }
        break;
    case SIM_LOSE:
        sim_fail(sim, event->index, HR_ATTEMPT_LOST);
        break;
    case SIM_NOT_SENT:
        sim_fail(sim, event->index, HR_ATTEMPT_NOT_SENT);
        break;
    case SIM_REFUSED:
        sim_fail(sim, event->index, HR_ATTEMPT_REFUSED);
        break;
    case SIM_CANCEL_ARRIVE:
        sim_cancel_arrive(sim, event->index);
        break;
    case SIM_CANCEL_RESULT:
        sim_cancel_result(sim, event);
        break;
    case SIM_POLL:
        sim_poll(sim, event);
        break;
    case SIM_REPORT:
        sim_report(sim, event);
        break;
    case SIM_TIMER:
        sim_timer(sim, event->index);
        break;
    case SIM_CALL:
        event->call(sim, event->index);
        break;
    }
}

/* Runs until a time. */
static inline void
sim_run_until(Sim *sim, int64_t time_ns)
{
    while (sim->heap_count > 0 && sim->heap[0].time_ns <= time_ns) {
        SimEvent event = sim_pop(sim);

        sim->now_ns = event.time_ns;
        sim_dispatch(sim, &event);
    }
    sim->now_ns = time_ns;
}

/* Stops a server: what it runs is lost, and its connections are reset. */
static inline void
sim_crash(Sim *sim, uint32_t index)
{
    SimServer *server = &sim->servers[index];
    uint32_t i;

    server->is_alive = false;
    server->running = 0;
    server->queue_length = 0;
    server->start_id++;
    for (i = 0; i < sim->config.scheds; i++) {
        server->open_connections -= sim->scheds[i].idle[index].count;
        sim->scheds[i].idle[index].count = 0;
    }
    for (i = 0; i < sim->job_count; i++) {
        SimJob *job = &sim->jobs[i];

        if (job->server == index && job->state != SIM_JOB_ENDED &&
            job->state != SIM_JOB_TRAVELS) {
            job->state = SIM_JOB_ENDED;
            sim_after(sim, sim->config.network_ns, SIM_LOSE, i);
        }
    }
}

/* Starts a stopped server again, cold. */
static inline void
sim_restart(Sim *sim, uint32_t index)
{
    sim->servers[index].is_alive = true;
    sim->servers[index].is_draining = false;
    sim->servers[index].is_mute = false;
}

/* Makes all open connections to a server silent; new ones work. */
static inline void
sim_silence(Sim *sim, uint32_t index)
{
    sim->servers[index].connection_epoch++;
}

#endif
