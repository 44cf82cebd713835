/* Measures the processor time per sub-request and the memory per server of one
 * scheduler, for groups of 3 to 13,000 servers (all servers in one group). */

#include <time.h>

#include "common-sched-sim.h"
#include "measure.h"

#define SEED UINT64_C(50001)
#define SUBS 200000
#define SLOTS 2
#define MAX_PER_SERVER 4 /* attempts in flight at each server */

typedef struct InFlightAttempt {
    uint64_t attempt_id;
    uint32_t sub_id;
} InFlightAttempt;

typedef struct Run {
    HrSched *sched;
    HrPool pool;
    InFlightAttempt *attempts; /* a ring */
    uint32_t first;
    uint32_t count;
    uint32_t capacity;
    int64_t now_ns;
    uint32_t answered;
} Run;

/* Returns the processor time that this process has used. */
static int64_t
get_cpu_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return HrTime_ToNs(time);
}

/* Pops the actions of the last event: stores the attempts and counts the
 * sub-answers. */
static void
pop_actions(Run *run)
{
    HrSchedAction action;

    while (HrSched_PopAction(run->sched, &action)) {
        if (action.kind == HR_SCHED_SEND_ATTEMPT) {
            InFlightAttempt *attempt =
                &run->attempts[(run->first + run->count++) % run->capacity];

            attempt->attempt_id = action.u.send_attempt.attempt_id;
            attempt->sub_id = action.u.send_attempt.request->sub_id;
        }
        else if (action.kind == HR_SCHED_SUB_ANSWER) {
            run->answered++;
        }
    }
}

/* Passes an event to the scheduler and handles its actions. */
static void
handle_event(Run *run, HrSchedEvent *event)
{
    event->now_ns = run->now_ns;
    HrSched_HandleEvent(run->sched, event);
    pop_actions(run);
}

/* Passes in one sub-request. */
static void
submit_request(Run *run, uint32_t sub_id)
{
    HrSubRequest request = {.shard = "s",
                            .sub_id = sub_id,
                            .version = 1,
                            .idempotent = true,
                            .caller = "c",
                            .deadline_ns = run->now_ns + HR_NS_PER_S};
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST};

    event.u.sub_request = &request;
    handle_event(run, &event);
}

/* Answers the oldest attempt in flight. */
static void
answer_first(Run *run)
{
    HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};

    event.u.backend_answer.attempt_id = run->attempts[run->first].attempt_id;
    event.u.backend_answer.version = 1;
    event.u.backend_answer.shard = "s";
    event.u.backend_answer.start_id = 1;
    run->first = (run->first + 1) % run->capacity;
    run->count--;
    handle_event(run, &event);
}

/* Fills the pool with named servers. */
static void
fill_pool(HrPool *pool, uint32_t servers)
{
    uint32_t i;

    memset(pool, 0, sizeof(*pool));
    pool->slots = SLOTS;
    pool->connections = 25;
    pool->hedge = HR_HEDGE_QUANTILE;
    pool->hedge_quantile = 0.95;
    pool->extra_load_percent = 5;
    pool->queue_limit = 1000;
    pool->server_count = servers;
    pool->servers = talloc_zero_array(NULL, HrServer, servers);
    for (i = 0; i < servers; i++) {
        pool->servers[i].name = talloc_asprintf(pool->servers, "server-%u", i);
        pool->servers[i].address = "127.0.0.1:1";
        pool->servers[i].group = "group";
    }
}

/* Creates a scheduler for a group with a number of servers. */
static void
start_scheduler(Run *run, uint32_t servers, HrRng *rng)
{
    HrSchedConfig config = {.pool = "p", .group = "group", .candidates = 4};
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET};

    memset(run, 0, sizeof(*run));
    run->now_ns = HR_NS_PER_S;
    run->capacity = servers * MAX_PER_SERVER;
    run->attempts = talloc_array(NULL, InFlightAttempt, run->capacity);
    fill_pool(&run->pool, servers);
    run->sched = HrSched_Create(NULL, &config, rng);
    event.u.server_set = &run->pool;
    handle_event(run, &event);
    event.kind = HR_SCHED_ROLE;
    event.u.role.kind = HR_SCHED_ROLE_SCHEDULER;
    handle_event(run, &event);
}

/* Measures a group with a number of servers while about half of its slots are
 * busy. */
static void
measure_group(uint32_t servers)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t in_flight = servers * SLOTS / 2, i;
    HrSchedEvent timer = {.kind = HR_SCHED_TIMER};
    int64_t begin_ns;
    size_t empty;
    char name[64];
    Run run;

    start_scheduler(&run, 0, &rng);
    empty = talloc_total_size(run.sched);
    talloc_free(run.sched);
    start_scheduler(&run, servers, &rng);
    begin_ns = get_cpu_ns();
    for (i = 1; i <= SUBS; i++) {
        run.now_ns += HR_NS_PER_MS / (in_flight + 1);
        submit_request(&run, i);
        if (run.count > in_flight) {
            answer_first(&run);
        }
        if (HrSched_GetNextTimer(run.sched) <= run.now_ns) {
            handle_event(&run, &timer);
        }
    }
    snprintf(name, sizeof(name), "sched/%u-servers/cpu-per-sub-request",
             servers);
    measure_print_result(
        name, "us", (double)(get_cpu_ns() - begin_ns) / SUBS / 1e3, 0, SEED);
    while (run.count > 0) {
        answer_first(&run);
    }
    snprintf(name, sizeof(name), "sched/%u-servers/memory-per-server",
             servers);
    measure_print_result(
        name, "bytes",
        (double)(talloc_total_size(run.sched) - empty) / servers, 0, SEED);
    talloc_free(run.sched);
    talloc_free(run.pool.servers);
    talloc_free(run.attempts);
}

int
main(void)
{
    static const uint32_t sizes[] = {3, 7, 40, 1000, 13000};
    uint32_t i;

    for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        measure_group(sizes[i]);
    }
    return 0;
}
