#ifndef HR_COMMON_SIM_SERVER_H
#define HR_COMMON_SIM_SERVER_H

/* The backend servers of the simulation in common-sched-sim.h. */

#include "common-sim-core.h"

/* Returns a random service time, which is log-normal around the median; a
 * share of the requests are stragglers, which take much longer. */
static inline int64_t
sim_draw_service_ns(Sim *sim, const SimServer *server)
{
    double sum = 0, factor;
    int i;

    for (i = 0; i < 12; i++) {
        sum += HrRng_DrawUnit(&sim->rng); /* nearly normal, with deviation 1 */
    }
    factor = __builtin_exp(0.35 * (sum - 6)) * server->slow_factor;
    if (HrRng_DrawBool(&sim->rng, sim->config.straggler_share)) {
        factor *= sim->config.straggler_factor;
    }
    return (int64_t)((double)sim->config.service_ns * factor);
}

/* Starts to run a job at its server, until it is done or its deadline
 * passes. */
static inline void
sim_start_job(Sim *sim, uint32_t index)
{
    SimJob *job = &sim->jobs[index];
    SimServer *server = &sim->servers[job->server];
    int64_t service_ns = sim_draw_service_ns(sim, server);

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
    sim_schedule_after(sim, service_ns, SIM_JOB_FINISHES, index);
}

/* Sends the answer of a job to its daemon. */
static inline void
sim_send_answer(Sim *sim, uint32_t index, HrBackendOutcome outcome)
{
    SimJob *job = &sim->jobs[index];

    job->state = SIM_JOB_ENDED;
    job->outcome = outcome;
    job->has_result = true;
    sim_schedule_after(sim, sim->config.network_ns, SIM_ANSWER_ARRIVES, index);
}

/* Returns true if a server holds a version. */
static inline bool
sim_holds_version(const SimServer *server, uint64_t version)
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
        sim_send_answer(sim, index, HR_BACKEND_SHED);
        return;
    }
    job->state = SIM_JOB_QUEUED;
    server->queue[server->queue_length++] = index;
}

/* Handles the arrival of a job at its server, which starts, queues, sheds or
 * declines it, or never answers. */
static inline void
sim_handle_arrival(Sim *sim, uint32_t index)
{
    SimJob *job = &sim->jobs[index];
    SimServer *server = &sim->servers[job->server];

    if (!server->is_alive) {
        job->state = SIM_JOB_ENDED;
        sim_schedule_after(sim, sim->config.network_ns, SIM_CONNECTION_LOST,
                           index);
        return;
    }
    if (server->never_answers ||
        job->connection_epoch < server->connection_epoch) {
        job->state = SIM_JOB_ENDED; /* never answered */
        return;
    }
    job->start_id = server->start_id;
    if (job->is_cancelled || server->is_draining ||
        job->deadline_ns <= sim->now_ns) {
        sim->draining_arrivals += server->is_draining ? 1 : 0;
        sim_send_answer(sim, index, HR_BACKEND_DECLINED);
    }
    else if (!sim_holds_version(server, sim->subs[job->sub].request.version)) {
        sim_send_answer(sim, index, HR_BACKEND_NO_VERSION);
    }
    else if (server->always_sheds) {
        sim->sheds++;
        sim_send_answer(sim, index, HR_BACKEND_SHED);
    }
    else if (server->running < server->slots) {
        sim_start_job(sim, index);
    }
    else {
        sim_queue_job(sim, index);
    }
}

/* Starts queued jobs of a server while slots are free, and declines those
 * whose deadline has passed. */
static inline void
sim_start_queued(Sim *sim, SimServer *server)
{
    while (server->queue_length > 0 && server->running < server->slots) {
        uint32_t index = server->queue[0];

        server->queue_length--;
        memmove(server->queue, server->queue + 1,
                server->queue_length * sizeof(*server->queue));
        if (sim->jobs[index].deadline_ns <= sim->now_ns) {
            sim_send_answer(sim, index, HR_BACKEND_DECLINED);
            continue;
        }
        sim_start_job(sim, index);
    }
}

/* Handles the end of a job at its server. */
static inline void
sim_handle_finish(Sim *sim, uint32_t index)
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
        sim_send_answer(sim, index, HR_BACKEND_ANSWERED);
    }
    sim_start_queued(sim, server);
}

static inline void
sim_remove_queued(SimServer *server, uint32_t index)
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

/* Handles a cancel at the server. A running job is stopped, and its request
 * ends with a status code that does not show whether it ran. */
static inline void
sim_handle_cancel(Sim *sim, uint32_t index)
{
    SimJob *job = &sim->jobs[index];
    SimServer *server = &sim->servers[job->server];
    SimEvent event = {.kind = SIM_CANCEL_RESULT_ARRIVES, .index = index};

    event.time_ns = sim->now_ns + sim->config.network_ns;
    event.other = server->is_alive && !server->never_answers &&
                  !HrRng_DrawBool(&sim->rng, sim->config.fault_share);
    if (event.other) {
        job->is_cancelled = true;
        if (job->state == SIM_JOB_QUEUED) {
            sim_remove_queued(server, index);
            sim_send_answer(sim, index, HR_BACKEND_DECLINED);
        }
        else if (job->state == SIM_JOB_RUNNING &&
                 job->start_id == server->start_id) {
            server->running--;
            job->state = SIM_JOB_ENDED;
            job->has_result = false;
            sim_schedule_after(sim, sim->config.network_ns, SIM_ANSWER_ARRIVES,
                               index);
            sim_start_queued(sim, server);
        }
    }
    sim_push_event(sim, event);
}

/* Crashes a server: its running and queued jobs are lost, and its connections
 * are closed. */
static inline void
sim_crash_server(Sim *sim, uint32_t index)
{
    SimServer *server = &sim->servers[index];
    uint32_t i;

    server->is_alive = false;
    server->running = 0;
    server->queue_length = 0;
    server->start_id++;
    for (i = 0; i < sim->config.scheds; i++) {
        server->open_connections -=
            sim->scheds[i].connections[index].idle_count;
        sim->scheds[i].connections[index].idle_count = 0;
    }
    for (i = 0; i < sim->job_count; i++) {
        SimJob *job = &sim->jobs[i];

        if (job->server == index && job->state != SIM_JOB_ENDED &&
            job->state != SIM_JOB_IN_TRANSIT) {
            job->state = SIM_JOB_ENDED;
            sim_schedule_after(sim, sim->config.network_ns,
                               SIM_CONNECTION_LOST, i);
        }
    }
}

/* Starts a crashed or faulty server again. */
static inline void
sim_restart_server(Sim *sim, uint32_t index)
{
    sim->servers[index].is_alive = true;
    sim->servers[index].is_draining = false;
    sim->servers[index].never_answers = false;
}

/* Makes all open connections to a server silent: no answer arrives on them any
 * more. New connections work. */
static inline void
sim_silence_connections(Sim *sim, uint32_t index)
{
    sim->servers[index].connection_epoch++;
}

#endif
