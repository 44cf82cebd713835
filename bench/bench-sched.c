/* Processor time per sub-request and memory per server of one scheduler, from
 * a group of 3 servers to all 13,000 in one group. */

#include <time.h>

#include "common-sched-sim.h"
#include "measure.h"

#define SEED UINT64_C(50001)
#define SUBS 200000
#define SLOTS 2
#define BATCH 4 /* attempts in flight for each server, at most */

/* An attempt in flight. */
typedef struct Flight {
    uint64_t attempt_id;
    uint32_t sub_id;
} Flight;

typedef struct Run {
    HrSched *sched;
    HrPool pool;
    Flight *flights; /* a ring */
    uint32_t first;
    uint32_t count;
    uint32_t room;
    int64_t now_ns;
    uint32_t answered;
} Run;

/* Returns the processor time of this process. */
static int64_t
cpu_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return HrTime_ToNs(time);
}

/* Pops the actions of the last event. */
static void
drain(Run *run)
{
    HrSchedAction action;

    while (HrSched_Next(run->sched, &action)) {
        if (action.kind == HR_SCHED_SEND_ATTEMPT) {
            Flight *flight =
                &run->flights[(run->first + run->count++) % run->room];

            flight->attempt_id = action.u.send_attempt.attempt_id;
            flight->sub_id = action.u.send_attempt.request->sub_id;
        }
        else if (action.kind == HR_SCHED_SUB_ANSWER) {
            run->answered++;
        }
    }
}

/* Handles an event and its actions. */
static void
handle(Run *run, HrSchedEvent *event)
{
    event->now_ns = run->now_ns;
    HrSched_Handle(run->sched, event);
    drain(run);
}

/* Hands over one sub-request. */
static void
submit(Run *run, uint32_t sub_id)
{
    HrSubRequest request = {.shard = "s",
                            .sub_id = sub_id,
                            .version = 1,
                            .idempotent = true,
                            .caller = "c",
                            .deadline_ns = run->now_ns + HR_NS_PER_S};
    HrSchedEvent event = {.kind = HR_SCHED_SUB_REQUEST};

    event.u.sub_request = &request;
    handle(run, &event);
}

/* Answers the attempt that is longest in flight. */
static void
answer_first(Run *run)
{
    HrSchedEvent event = {.kind = HR_SCHED_BACKEND_ANSWER};

    event.u.backend_answer.attempt_id = run->flights[run->first].attempt_id;
    event.u.backend_answer.version = 1;
    event.u.backend_answer.shard = "s";
    event.u.backend_answer.start_id = 1;
    run->first = (run->first + 1) % run->room;
    run->count--;
    handle(run, &event);
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

/* Starts a scheduler for a group of some size. */
static void
start(Run *run, uint32_t servers, HrRng *rng)
{
    HrSchedConfig config = {.pool = "p", .group = "group", .candidates = 4};
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET};

    memset(run, 0, sizeof(*run));
    run->now_ns = HR_NS_PER_S;
    run->room = servers * BATCH;
    run->flights = talloc_array(NULL, Flight, run->room);
    fill_pool(&run->pool, servers);
    run->sched = HrSched_Create(NULL, &config, rng);
    event.u.server_set = &run->pool;
    handle(run, &event);
    event.kind = HR_SCHED_ROLE;
    event.u.role.kind = HR_SCHED_ROLE_SCHEDULER;
    handle(run, &event);
}

/* Measures a group of some size at half of its slots. */
static void
measure_size(uint32_t servers)
{
    HrRng rng = HrRng_FromSeed(SEED);
    uint32_t in_flight = servers * SLOTS / 2, i;
    HrSchedEvent timer = {.kind = HR_SCHED_TIMER};
    int64_t begin_ns;
    size_t empty;
    char name[64];
    Run run;

    start(&run, 0, &rng);
    empty = talloc_total_size(run.sched);
    talloc_free(run.sched);
    start(&run, servers, &rng);
    begin_ns = cpu_ns();
    for (i = 1; i <= SUBS; i++) {
        run.now_ns += HR_NS_PER_MS / (in_flight + 1);
        submit(&run, i);
        if (run.count > in_flight) {
            answer_first(&run);
        }
        if (HrSched_NextTimer(run.sched) <= run.now_ns) {
            handle(&run, &timer);
        }
    }
    snprintf(name, sizeof(name), "sched/%u-servers/cpu-per-sub-request",
             servers);
    measure_print(name, "us", (double)(cpu_ns() - begin_ns) / SUBS / 1e3, 0,
                  SEED);
    while (run.count > 0) {
        answer_first(&run);
    }
    snprintf(name, sizeof(name), "sched/%u-servers/memory-per-server",
             servers);
    measure_print(name, "bytes",
                  (double)(talloc_total_size(run.sched) - empty) / servers, 0,
                  SEED);
    talloc_free(run.sched);
    talloc_free(run.pool.servers);
    talloc_free(run.flights);
}

int
main(void)
{
    static const uint32_t sizes[] = {3, 7, 40, 1000, 13000};
    uint32_t i;

    for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        measure_size(sizes[i]);
    }
    return 0;
}
