#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common-sched-sim.h"

/* Compares coord-sched with a naive router, which sends each sub-request to a
 * random replica and waits for its answer, over random numbers of servers and
 * slots and random delays. */

#define SEED UINT64_C(440001)
#define SCHEDULES 24
#define SOAK_FACTOR 20
#define SUBS 3000
#define DEADLINE_NS (300 * HR_NS_PER_MS)

typedef enum Fault {
    FAULT_STRAGGLERS,
    FAULT_LOST_REPLICA,
    FAULT_SLOW_REPLICA,
    FAULT_SILENT_CONNECTIONS,
    FAULT_COUNT,
} Fault;

/* The result of one run. */
typedef struct Result {
    uint32_t answered;
    int64_t tail_ns; /* p99.5, which lies within the 1% of stragglers */
    uint64_t attempts;
} Result;

/* Compares two durations for qsort. */
static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

/* Returns a random number of servers and slots and random delays. */
static SimConfig
pick_config(uint64_t seed, Fault fault)
{
    HrRng rng = HrRng_FromSeed(seed);
    SimConfig config = {.seed = seed, .scheds = 1, .server_queue = 5000};

    config.servers = 3 + (uint32_t)HrRng_DrawBelow(&rng, 4);
    config.slots = 2 + (uint32_t)HrRng_DrawBelow(&rng, 4);
    config.connections = 25 + (uint32_t)HrRng_DrawBelow(&rng, 30);
    config.network_ns = HR_NS_PER_MS / 2;
    config.connect_ns = HR_NS_PER_MS * (int64_t)HrRng_DrawBelow(&rng, 7);
    config.service_ns = (int64_t)(2 + HrRng_DrawBelow(&rng, 5)) * HR_NS_PER_MS;
    config.poll_ns = HR_NS_PER_S;
    if (fault == FAULT_STRAGGLERS) {
        config.straggler_share = 0.01;
        config.straggler_factor = 20;
    }
    return config;
}

/* Applies a fault to the first server; stragglers come from the configuration
 * instead. */
static void
inject_fault(Sim *sim, uint32_t fault)
{
    switch ((Fault)fault) {
    case FAULT_LOST_REPLICA:
        sim_crash_server(sim, 0);
        break;
    case FAULT_SLOW_REPLICA:
        sim->servers[0].slow_factor = 10;
        break;
    case FAULT_SILENT_CONNECTIONS:
        sim_silence_connections(sim, 0);
        break;
    case FAULT_STRAGGLERS:
    case FAULT_COUNT:
        break;
    }
}

/* Sends the next sub-request, to the scheduler or, as the naive router, to a
 * random server, and schedules the one after it. */
static void
send_next(Sim *sim, uint32_t is_naive)
{
    HrSubRequest request = {.version = 1, .idempotent = true, .caller = "c"};
    double capacity = (double)sim->config.servers * sim->config.slots /
                      (double)sim->config.service_ns;
    uint32_t sub;

    request.deadline_ns = sim->now_ns + DEADLINE_NS;
    sub = sim_submit_at(sim, sim->now_ns, is_naive ? UINT32_MAX : 0, &request);
    if (is_naive) {
        sim_send_direct(
            sim, sub,
            (uint32_t)HrRng_DrawBelow(&sim->rng, sim->config.servers));
    }
    if (sim->sub_count < SUBS) {
        sim_call_at(sim,
                    sim->now_ns + HrRng_DrawExponentialNs(
                                      &sim->rng, (int64_t)(4 / capacity)),
                    send_next, is_naive);
    }
}

/* Computes the result. A request without an answer in time counts as one that
 * took until its deadline. */
static Result
collect_result(const Sim *sim)
{
    int64_t *times = talloc_array(sim, int64_t, SUBS);
    Result result = {.attempts = sim->attempts};
    uint32_t i;

    for (i = 0; i < SUBS; i++) {
        const SimSub *sub = &sim->subs[i];
        bool is_answered = sub->answers > 0 &&
                           sub->outcome == HR_OUTCOME_ANSWERED &&
                           sub->answered_ns <= sub->request.deadline_ns;

        result.answered += is_answered ? 1 : 0;
        times[i] =
            is_answered ? sub->answered_ns - sub->submitted_ns : DEADLINE_NS;
    }
    qsort(times, SUBS, sizeof(*times), compare_ns);
    result.tail_ns = times[SUBS * 995 / 1000];
    return result;
}

/* Runs the simulation once with one of the two routers. */
static Result
run_schedule(uint64_t seed, Fault fault, bool is_naive)
{
    SimConfig config = pick_config(seed, fault);
    Sim *sim = sim_create(&config);
    HrRng rng = HrRng_FromSeed(seed + 1);
    HrPool pool;
    Result result;

    sim_fill_pool(sim, &pool, 0, config.servers);
    sim_add_sched(sim, 0, &pool, &rng);
    sim_start_polls(sim, 0, 0, config.servers);
    sim_call_at(sim, sim->now_ns, send_next, is_naive);
    sim_call_at(sim, sim->now_ns + 300 * HR_NS_PER_MS, inject_fault,
                (uint32_t)fault);
    while (sim->sub_count < SUBS) {
        sim_run_until(sim, sim->now_ns + HR_NS_PER_S);
    }
    sim_run_until(sim, sim->now_ns + HR_NS_PER_S);
    result = collect_result(sim);
    talloc_free(sim);
    return result;
}

/* Guards against a scheduler that is worse than the naive router under any
 * fault: it answers fewer requests, exceeds its extra load, or doesn't halve
 * the tail latency. Tails are summed over all runs with one fault, because a
 * single run may have hardly any stragglers. */
static void
test_scheduler_beats_naive_router(void **state)
{
    int64_t naive_tails[FAULT_COUNT] = {0}, tails[FAULT_COUNT] = {0};
    uint32_t count = SCHEDULES, i;

    (void)state;
    if (getenv("HR_SOAK") != NULL) {
        count *= SOAK_FACTOR;
    }
    for (i = 0; i < count; i++) {
        Fault fault = (Fault)(i % FAULT_COUNT);
        Result naive = run_schedule(SEED + i, fault, true);
        Result sched = run_schedule(SEED + i, fault, false);

        print_message("seed %llu fault %d: naive %u %.1f ms, sched %u "
                      "%.1f ms, %llu attempts\n",
                      (unsigned long long)(SEED + i), (int)fault,
                      naive.answered, (double)naive.tail_ns / 1e6,
                      sched.answered, (double)sched.tail_ns / 1e6,
                      (unsigned long long)sched.attempts);
        assert_int_equal(sched.answered, SUBS);
        assert_true(naive.answered <= sched.answered);
        naive_tails[fault] += naive.tail_ns;
        tails[fault] += sched.tail_ns;
        assert_true(sched.attempts <= SUBS + SUBS / 20 + 10);
    }
    for (i = 0; i < FAULT_COUNT; i++) {
        assert_true(2 * tails[i] <= naive_tails[i]);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_scheduler_beats_naive_router),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
