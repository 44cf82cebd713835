#ifndef HR_COMMON_SCHED_SIM_H
#define HR_COMMON_SCHED_SIM_H

/* Simulates schedulers, backend servers and the network between them in
 * virtual time, for the tests and benchmarks of coord-sched. The functions are
 * inline because benchmarks link no file of tests/. */

#include "common-sim-core.h"
#include "common-sim-server.h"

static inline void sim_run_actions(Sim *sim, uint32_t index);

/* Passes an event to a scheduler and carries out the actions that follow. */
static inline void
sim_pass_to_sched(Sim *sim, uint32_t index, HrSchedEvent *event)
{
    event->now_ns = sim->now_ns;
    HrSched_HandleEvent(sim->scheds[index].sched, event);
    sim_run_actions(sim, index);
}

/* Creates a scheduler whose group is the servers of a pool. */
static inline void
sim_add_sched(Sim *sim, uint32_t index, const HrPool *pool, HrRng *rng)
{
    HrSchedConfig config = {
        .pool = "pool", .group = "group", .candidates = SIM_CANDIDATES};
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET};
    SimSched *sched = &sim->scheds[index];

    sched->sched = HrSched_Create(sim, &config, rng);
    sched->armed_ns = HR_TIME_NEVER;
    sched->connections =
        talloc_zero_array(sim, SimConnections, sim->config.servers);
    event.u.server_set = pool;
    sim_pass_to_sched(sim, index, &event);
    event.kind = HR_SCHED_ROLE;
    event.u.role.kind = HR_SCHED_ROLE_SCHEDULER;
    sim_pass_to_sched(sim, index, &event);
}

/* Fills in a pool with the servers from first to first + count - 1. */
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

/* Starts the status polls of some servers by a scheduler. The first poll of
 * each server comes at a random time within the poll interval. */
static inline void
sim_start_polls(Sim *sim, uint32_t sched, uint32_t first, uint32_t count)
{
    uint32_t i;

    for (i = 0; sim->config.poll_ns > 0 && i < count; i++) {
        SimEvent event = {.kind = SIM_POLL, .index = sched};

        event.other = first + i;
        event.time_ns =
            sim->now_ns +
            (int64_t)HrRng_DrawBelow(&sim->rng, (uint64_t)sim->config.poll_ns);
        sim_push_event(sim, event);
    }
}

/* Adds a sub-request, which is passed to a scheduler at a time, or to none if
 * sched is UINT32_MAX. Returns its index. */
static inline uint32_t
sim_submit_at(Sim *sim, int64_t time_ns, uint32_t sched,
              const HrSubRequest *request)
{
    SimEvent event = {.kind = SIM_SUBMIT, .time_ns = time_ns};
    SimSub *sub;

    if (sim->sub_count == sim->sub_capacity) {
        sim->sub_capacity = sim->sub_capacity * 2 + 256;
        sim->subs = talloc_realloc(sim, sim->subs, SimSub, sim->sub_capacity);
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
        sim_push_event(sim, event);
    }
    return sim->sub_count++;
}

/* Passes a sub-request to its scheduler. */
static inline void
sim_deliver_request(Sim *sim, uint32_t index)
{
    HrSubRequest request = sim->subs[index].request;
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST};

    request.shard = sim->subs[index].shard;
    event.u.sub_request = &request;
    sim_pass_to_sched(sim, sim->subs[index].sched, &event);
}

/* Adds a job that is in transit to its server. Returns its index. */
static inline uint32_t
sim_add_job(Sim *sim, uint32_t sub, uint32_t sched, uint32_t server)
{
    SimJob *job;

    if (sim->job_count == sim->job_capacity) {
        sim->job_capacity = sim->job_capacity * 2 + 256;
        sim->jobs = talloc_realloc(sim, sim->jobs, SimJob, sim->job_capacity);
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

/* Sends a sub-request to a server without a scheduler, over a connection that
 * was opened at the start of the simulation and is never replaced. */
static inline void
sim_send_direct(Sim *sim, uint32_t sub, uint32_t server)
{
    uint32_t job = sim_add_job(sim, sub, UINT32_MAX, server);

    sim_schedule_after(sim, sim->config.network_ns, SIM_JOB_ARRIVES, job);
}

/* Returns the index of the server with a name. */
static inline uint32_t
sim_find_server_index(const char *name)
{
    return (uint32_t)strtoul(name + 1, NULL, 10);
}

/* Records the job of an attempt. Attempt ids are consecutive. */
static inline void
sim_map_attempt(SimSched *sched, Sim *sim, uint64_t attempt_id, uint32_t job)
{
    if (sched->job_count == 0) {
        sched->first_attempt_id = attempt_id;
    }
    if (sched->job_count == sched->job_capacity) {
        sched->job_capacity = sched->job_capacity * 2 + 256;
        sched->jobs =
            talloc_realloc(sim, sched->jobs, uint32_t, sched->job_capacity);
    }
    sched->jobs[sched->job_count++] = job;
}

/* Takes an idle connection for an attempt or opens one, and counts it if it
 * exceeds the share of the daemon, which includes one connection for cancels
 * and polls. Returns true if the connection was opened now. */
static inline bool
sim_acquire_connection(Sim *sim, SimConnections *connections,
                       SimServer *server, const HrSchedSendAttempt *send,
                       SimJob *job)
{
    uint32_t share = server->connections / SIM_CANDIDATES;
    bool opens = send->fresh_connection || connections->idle_count == 0;

    if (send->close_idle) {
        server->open_connections -= connections->idle_count;
        connections->idle_count = 0;
    }
    if (!send->fresh_connection && connections->idle_count == 0) {
        sim->reuse_misses++;
    }
    if (opens) {
        server->open_connections++;
        job->connection_epoch = server->connection_epoch;
    }
    else {
        job->connection_epoch = connections->epochs[--connections->idle_count];
    }
    connections->busy++;
    if (server->open_connections > server->most_connections) {
        server->most_connections = server->open_connections;
    }
    if (connections->busy + connections->idle_count + (share > 1 ? 1 : 0) >
        (share > 0 ? share : 1)) {
        sim->share_excess++;
    }
    return opens;
}

/* Sends an attempt to its server. */
static inline void
sim_send_attempt(Sim *sim, uint32_t index, const HrSchedSendAttempt *send)
{
    SimSched *sched = &sim->scheds[index];
    uint32_t target = sim_find_server_index(send->server);
    SimServer *server = &sim->servers[target];
    uint32_t job = sim_add_job(sim, (uint32_t)send->request->query.counter,
                               index, target);
    int64_t travel_ns = sim->config.network_ns;
    bool opens;

    sim->jobs[job].attempt_id = send->attempt_id;
    sim->jobs[job].deadline_ns = send->deadline_ns;
    sim_map_attempt(sched, sim, send->attempt_id, job);
    opens = sim_acquire_connection(sim, &sched->connections[target], server,
                                   send, &sim->jobs[job]);
    if (opens) {
        travel_ns += sim->config.connect_ns;
    }
    if (opens && !server->is_alive) {
        sim_schedule_after(sim, sim->config.network_ns, SIM_NOT_SENT, job);
        return;
    }
    if (opens && server->open_connections > server->connections) {
        sim_schedule_after(sim, travel_ns, SIM_REFUSED, job);
        return;
    }
    sim_schedule_after(sim, travel_ns, SIM_JOB_ARRIVES, job);
    sim_schedule_after(sim, send->deadline_ns - sim->now_ns,
                       SIM_CONNECTION_LOST, job);
}

/* Sends the cancel of an attempt to its server. */
static inline void
sim_send_cancel(Sim *sim, uint32_t index, const HrSchedCancelAttempt *cancel)
{
    SimSched *sched = &sim->scheds[index];
    uint32_t job = sched->jobs[cancel->attempt_id - sched->first_attempt_id];

    if (cancel->close_connection) {
        sim_schedule_after(sim, 0, SIM_CONNECTION_LOST, job);
    }
    sim_schedule_after(sim, sim->config.network_ns, SIM_CANCEL_ARRIVES, job);
}

/* Records a sub-answer, and counts it if no server can have given it. */
static inline void
sim_record_answer(Sim *sim, const HrSubAnswer *answer)
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
sim_run_actions(Sim *sim, uint32_t index)
{
    SimSched *sched = &sim->scheds[index];
    HrSchedAction action;
    int64_t next_ns;

    while (HrSched_PopAction(sched->sched, &action)) {
        switch (action.kind) {
        case HR_SCHED_SEND_ATTEMPT:
            sim_send_attempt(sim, index, &action.u.send_attempt);
            break;
        case HR_SCHED_CANCEL_ATTEMPT:
            sim_send_cancel(sim, index, &action.u.cancel_attempt);
            break;
        case HR_SCHED_SUB_ANSWER:
            sim_record_answer(sim, &action.u.sub_answer);
            break;
        }
    }
    next_ns = HrSched_GetNextTimer(sched->sched);
    if (next_ns < sched->armed_ns) {
        sched->armed_ns = next_ns;
        sim_schedule_after(sim,
                           next_ns > sim->now_ns ? next_ns - sim->now_ns : 0,
                           SIM_TIMER, index);
    }
}

/* Releases the connection of a job at the daemon, which becomes idle unless it
 * was closed. */
static inline void
sim_release_connection(Sim *sim, const SimJob *job, bool closed)
{
    SimConnections *connections;

    if (job->sched == UINT32_MAX) {
        return;
    }
    connections = &sim->scheds[job->sched].connections[job->server];
    connections->busy--;
    if (closed || connections->idle_count == SIM_MAX_CONNECTIONS) {
        sim->servers[job->server].open_connections--;
        return;
    }
    connections->epochs[connections->idle_count++] = job->connection_epoch;
}

/* Passes the failure of a job to its scheduler, unless the daemon already got
 * an answer or a failure. */
static inline void
sim_deliver_failure(Sim *sim, uint32_t index, HrAttemptFailure failure)
{
    HrSchedEvent event = {.kind = HR_SCHED_ATTEMPT_FAILED};
    SimJob *job = &sim->jobs[index];

    if (job->ended_at_daemon || job->sched == UINT32_MAX) {
        return;
    }
    job->ended_at_daemon = true;
    sim_release_connection(sim, job, true);
    event.u.attempt_failed.attempt_id = job->attempt_id;
    event.u.attempt_failed.failure = failure;
    sim_pass_to_sched(sim, job->sched, &event);
}

/* Fills in the answer of a job as its server sends it. */
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
    answer->load.running = server->reports_no_load ? 0 : server->running;
    answer->load.queued = server->reports_no_load ? 0 : server->queue_length;
}

/* Changes a random part of an answer, so that it is wrong. */
static inline void
sim_corrupt_answer(Sim *sim, HrSchedBackendAnswer *answer)
{
    switch (HrRng_DrawBelow(&sim->rng, 4)) {
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

/* Delivers the answer of a job to the naive router. */
static inline void
sim_deliver_direct_answer(Sim *sim, uint32_t index)
{
    const SimJob *job = &sim->jobs[index];
    SimSub *sub = &sim->subs[job->sub];

    sub->answers++;
    sub->answered_ns = sim->now_ns;
    sub->outcome = job->outcome == HR_BACKEND_ANSWERED ? HR_OUTCOME_ANSWERED
                                                       : HR_OUTCOME_DECLINED;
    if (sim->on_direct_answer != NULL) {
        sim->on_direct_answer(sim, index);
    }
}

/* Delivers the answer of a job to its scheduler. With probability fault_share
 * each, the answer is lost, changed or repeated. On a silent connection it
 * never arrives. */
static inline void
sim_deliver_answer(Sim *sim, uint32_t index)
{
    HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};
    SimJob *job = &sim->jobs[index];
    uint32_t sched = job->sched;

    if (sched == UINT32_MAX) {
        sim_deliver_direct_answer(sim, index);
        return;
    }
    if (job->ended_at_daemon ||
        job->connection_epoch < sim->servers[job->server].connection_epoch) {
        return;
    }
    if (HrRng_DrawBool(&sim->rng, sim->config.fault_share)) {
        sim_deliver_failure(sim, index,
                            (HrAttemptFailure)(HR_ATTEMPT_LOST +
                                               HrRng_DrawBelow(&sim->rng, 3)));
        return;
    }
    job->ended_at_daemon = true;
    sim_release_connection(sim, job, false);
    sim_fill_answer(sim, job, &event.u.backend_answer);
    if (HrRng_DrawBool(&sim->rng, sim->config.fault_share)) {
        sim_corrupt_answer(sim, &event.u.backend_answer);
    }
    sim_pass_to_sched(sim, sched, &event);
    if (HrRng_DrawBool(&sim->rng, sim->config.fault_share)) {
        sim_pass_to_sched(sim, sched, &event); /* the same answer again */
    }
}

/* Delivers the result of a cancel to its scheduler. */
static inline void
sim_deliver_cancel_result(Sim *sim, const SimEvent *result)
{
    HrSchedEvent event = {.kind = HR_SCHED_CANCEL_RESULT};
    const SimJob *job = &sim->jobs[result->index];

    event.u.cancel_result.attempt_id = job->attempt_id;
    event.u.cancel_result.confirmed = result->other != 0;
    sim_pass_to_sched(sim, job->sched, &event);
}

/* Polls a server and schedules the next poll. The report arrives after a
 * random delay, so it may be out of date. */
static inline void
sim_poll_server(Sim *sim, const SimEvent *poll)
{
    const SimServer *server = &sim->servers[poll->other];
    SimEvent event = *poll;

    event.kind = SIM_REPORT_ARRIVES;
    event.report.server = server->name;
    event.report.failed = !server->is_alive || server->never_answers;
    event.report.requested_ns = sim->now_ns;
    event.report.start_id = server->start_id;
    event.report.state = server->is_draining ? HR_SERVER_DRAINING
                         : server->is_cold   ? HR_SERVER_COLD
                                             : HR_SERVER_READY;
    event.report.load.running = server->reports_no_load ? 0 : server->running;
    event.report.load.queued =
        server->reports_no_load ? 0 : server->queue_length;
    event.report.slots = server->slots;
    event.report.connections = server->connections;
    event.report.version_count = server->version_count;
    memcpy(event.versions, server->versions, sizeof(event.versions));
    event.time_ns =
        sim->now_ns + sim->config.network_ns +
        HrRng_DrawExponentialNs(&sim->rng, sim->config.poll_ns / 4);
    sim_push_event(sim, event);
    event.kind = SIM_POLL;
    event.time_ns = sim->now_ns + sim->config.poll_ns;
    sim_push_event(sim, event);
}

/* Delivers a status report to the scheduler that sent the poll. */
static inline void
sim_deliver_report(Sim *sim, SimEvent *report)
{
    HrSchedEvent event = {.kind = HR_SCHED_STATUS_REPORT};

    event.u.status_report = report->report;
    event.u.status_report.versions = report->versions;
    sim_pass_to_sched(sim, report->index, &event);
}

/* Passes a timer event to a scheduler. */
static inline void
sim_handle_timer(Sim *sim, uint32_t index)
{
    HrSchedEvent event = {.kind = HR_SCHED_TIMER};

    sim->scheds[index].armed_ns = HR_TIME_NEVER;
    sim_pass_to_sched(sim, index, &event);
}

/* Handles one event of the simulation. */
static inline void
sim_handle_event(Sim *sim, SimEvent *event)
{
    switch (event->kind) {
    case SIM_SUBMIT:
        sim_deliver_request(sim, event->index);
        break;
    case SIM_JOB_ARRIVES:
        sim_handle_arrival(sim, event->index);
        break;
    case SIM_JOB_FINISHES:
        sim_handle_finish(sim, event->index);
        break;
    case SIM_ANSWER_ARRIVES:
        if (sim->jobs[event->index].has_result) {
            sim_deliver_answer(sim, event->index);
        }
        else {
            sim_deliver_failure(sim, event->index, HR_ATTEMPT_SERVER_ERROR);
        }
        break;
    case SIM_CONNECTION_LOST:
        sim_deliver_failure(sim, event->index, HR_ATTEMPT_LOST);
        break;
    case SIM_NOT_SENT:
        sim_deliver_failure(sim, event->index, HR_ATTEMPT_NOT_SENT);
        break;
    case SIM_REFUSED:
        sim_deliver_failure(sim, event->index, HR_ATTEMPT_REFUSED);
        break;
    case SIM_CANCEL_ARRIVES:
        sim_handle_cancel(sim, event->index);
        break;
    case SIM_CANCEL_RESULT_ARRIVES:
        sim_deliver_cancel_result(sim, event);
        break;
    case SIM_POLL:
        sim_poll_server(sim, event);
        break;
    case SIM_REPORT_ARRIVES:
        sim_deliver_report(sim, event);
        break;
    case SIM_TIMER:
        sim_handle_timer(sim, event->index);
        break;
    case SIM_CALL:
        event->call(sim, event->index);
        break;
    }
}

/* Handles the events up to a time, to which the virtual time advances. */
static inline void
sim_run_until(Sim *sim, int64_t time_ns)
{
    while (sim->heap_count > 0 && sim->heap[0].time_ns <= time_ns) {
        SimEvent event = sim_pop_event(sim);

        sim->now_ns = event.time_ns;
        sim_handle_event(sim, &event);
    }
    sim->now_ns = time_ns;
}

#endif
