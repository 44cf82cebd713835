#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common-sched-sim.h"

/* Compares coord-sched with a naive router that sends each sub-request to a
 * random replica and waits, over random sizes and speeds. */

#define SEED UINT64_C(440001)
#define SCHEDULES 24
#define SOAK_FACTOR 20
#define SUBS 3000
#define DEADLINE_NS (300 * HR_NS_PER_MS)

typedef enum Trouble {
    TROUBLE_STRAGGLERS,
    TROUBLE_LOST_REPLICA,
    TROUBLE_SLOW_REPLICA,
    TROUBLE_SILENT_CONNECTIONS,
    TROUBLE_COUNT,
} Trouble;

/* What one run shows. */
typedef struct Result {
    uint32_t answered;
    int64_t tail_ns; /* p99.5: above the edge of 1% stragglers */
    uint64_t attempts;
} Result;

/* Orders two durations for qsort. */
static int
compare_ns(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

    return (a > b) - (a < b);
}

/* Returns random sizes and speeds. */
static SimConfig
pick_config(uint64_t seed, Trouble trouble)
{
    HrRng rng = HrRng_FromSeed(seed);
    SimConfig config = {.seed = seed, .scheds = 1, .server_queue = 5000};

    config.servers = 3 + (uint32_t)HrRng_Below(&rng, 4);
    config.slots = 2 + (uint32_t)HrRng_Below(&rng, 4);
    config.connections = 25 + (uint32_t)HrRng_Below(&rng, 30);
    config.network_ns = HR_NS_PER_MS / 2;
    config.connect_ns = HR_NS_PER_MS * (int64_t)HrRng_Below(&rng, 7);
    config.service_ns = (int64_t)(2 + HrRng_Below(&rng, 5)) * HR_NS_PER_MS;
    config.poll_ns = HR_NS_PER_S;
    if (trouble == TROUBLE_STRAGGLERS) {
        config.straggler_share = 0.01;
        config.straggler_factor = 20;
    }
    return config;
}

/* Troubles the first server. */
static void
make_trouble(Sim *sim, uint32_t trouble)
{
    switch ((Trouble)trouble) {
    case TROUBLE_LOST_REPLICA:
        sim_crash(sim, 0);
        break;
    case TROUBLE_SLOW_REPLICA:
        sim->servers[0].slow_factor = 10;
        break;
    case TROUBLE_SILENT_CONNECTIONS:
        sim_silence(sim, 0);
        break;
    case TROUBLE_STRAGGLERS:
    case TROUBLE_COUNT:
        break;
    }
}

/* Sends the next sub-request, to the scheduler or to a random server, and
 * plans the one after it. */
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
        sim_send_direct(sim, sub,
                        (uint32_t)HrRng_Below(&sim->rng, sim->config.servers));
    }
    if (sim->sub_count < SUBS) {
        sim_call_at(sim,
                    sim->now_ns + HrRng_ExponentialNs(&sim->rng,
                                                      (int64_t)(4 / capacity)),
                    send_next, is_naive);
    }
}

/* Collects the result; a request without an answer in time counts with its
 * deadline. */
static Result
collect(const Sim *sim)
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

/* Runs one schedule with one of the two routers. */
static Result
run(uint64_t seed, Trouble trouble, bool is_naive)
{
    SimConfig config = pick_config(seed, trouble);
    Sim *sim = sim_create(&config);
    HrRng rng = HrRng_FromSeed(seed + 1);
    HrPool pool;
    Result result;

    sim_fill_pool(sim, &pool, 0, config.servers);
    sim_add_sched(sim, 0, &pool, &rng);
    sim_start_polls(sim, 0, 0, config.servers);
    sim_call_at(sim, sim->now_ns, send_next, is_naive);
    sim_call_at(sim, sim->now_ns + 300 * HR_NS_PER_MS, make_trouble,
                (uint32_t)trouble);
    while (sim->sub_count < SUBS) {
        sim_run_until(sim, sim->now_ns + HR_NS_PER_S);
    }
    sim_run_until(sim, sim->now_ns + HR_NS_PER_S);
    result = collect(sim);
    talloc_free(sim);
    return result;
}

/* Guards against a policy that is worse than none under any of the troubles:
 * lower coverage, more than its extra load, or a tail that is not shortened
 * to half. Tails are compared over all schedules of a trouble, because a
 * single run may draw hardly any stragglers. */
static void
test_scheduler_beats_the_naive_router(void **state)
{
    int64_t naive_tails[TROUBLE_COUNT] = {0}, tails[TROUBLE_COUNT] = {0};
    uint32_t count = SCHEDULES, i;

    (void)state;
    if (getenv("HR_SOAK") != NULL) {
        count *= SOAK_FACTOR;
    }
    for (i = 0; i < count; i++) {
        Trouble trouble = (Trouble)(i % TROUBLE_COUNT);
        Result naive = run(SEED + i, trouble, true);
        Result sched = run(SEED + i, trouble, false);

        print_message("seed %llu trouble %d: naive %u %.1f ms, sched %u "
                      "%.1f ms, %llu attempts\n",
                      (unsigned long long)(SEED + i), (int)trouble,
                      naive.answered, (double)naive.tail_ns / 1e6,
                      sched.answered, (double)sched.tail_ns / 1e6,
                      (unsigned long long)sched.attempts);
        assert_int_equal(sched.answered, SUBS);
        assert_true(naive.answered <= sched.answered);
        naive_tails[trouble] += naive.tail_ns;
        tails[trouble] += sched.tail_ns;
        assert_true(sched.attempts <= SUBS + SUBS / 20 + 10);
    }
    for (i = 0; i < TROUBLE_COUNT; i++) {
        assert_true(2 * tails[i] <= naive_tails[i]);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_scheduler_beats_the_naive_router),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
