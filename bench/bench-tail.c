/* Measures the latency of 30-shard queries without faults, with stragglers and
 * with a lost replica, for each hedge policy and for a naive router, which
 * sends each sub-request to a random replica and waits for the answer. */

#include "common-sched-sim.h"
#include "measure.h"

#define SEED UINT64_C(30001)
#define SHARDS 30
#define QUERIES 10000
#define GROUPS 10
#define REPLICAS 3
#define DEADLINE_NS (500 * HR_NS_PER_MS)
#define SERVICE_NS (4 * HR_NS_PER_MS)
#define LOAD 0.3
#define STRAGGLER_SHARE 0.01
#define STRAGGLER_FACTOR 20

/* The slots, connections and network of the servers in one user's pool. */
typedef struct PoolConfig {
    const char *name;
    uint32_t slots;
    uint32_t connections;
    int64_t connect_ns;
    int64_t network_ns;
} PoolConfig;

typedef enum Fault {
    FAULT_NONE,
    FAULT_STRAGGLERS,
    FAULT_LOST_REPLICA,
} Fault;

typedef struct Policy {
    const char *name;
    bool is_naive;
    HrHedgePolicy hedge;
    uint32_t extra_load_percent;
} Policy;

/* The measurements of one run. */
typedef struct Result {
    double p50_ms;
    double p99_ms;
    double p999_ms;
    double coverage_percent;
    double extra_percent; /* attempts beyond one for each sub-request */
} Result;

static const PoolConfig pool_configs[] = {
    {"tasqyn", 5, 40, 6 * HR_NS_PER_MS, HR_NS_PER_MS / 2},
    {"tsukushi", 2, 25, 6 * HR_NS_PER_MS, 3 * HR_NS_PER_MS / 2},
};

static const char *const fault_names[] = {"calm", "stragglers",
                                          "lost-replica"};

static const Policy policies[] = {
    {"naive", true, HR_HEDGE_NONE, 0},
    {"none", false, HR_HEDGE_NONE, 5},
    {"fixed", false, HR_HEDGE_FIXED, 5},
    {"quantile", false, HR_HEDGE_QUANTILE, 5},
    {"tied", false, HR_HEDGE_TIED, 100},
};

/* The run in progress. */
static struct {
    const Policy *policy;
    int64_t mean_gap_ns;
    uint32_t queries_left;
} run;

/* Sends one query of 30 sub-requests, 3 to each group, and schedules the next
 * one. */
static void
send_query(Sim *sim, uint32_t argument)
{
    HrSubRequest request = {.version = 1, .idempotent = true, .caller = "c"};
    uint32_t shard;

    (void)argument;
    request.deadline_ns = sim->now_ns + DEADLINE_NS;
    for (shard = 0; shard < SHARDS; shard++) {
        uint32_t group = shard % GROUPS;
        uint32_t sub =
            sim_submit_at(sim, sim->now_ns,
                          run.policy->is_naive ? UINT32_MAX : group, &request);

        if (run.policy->is_naive) {
            sim_send_direct(sim, sub,
                            group * REPLICAS + (uint32_t)HrRng_DrawBelow(
                                                   &sim->rng, REPLICAS));
        }
    }
    if (--run.queries_left > 0) {
        sim_call_at(sim,
                    sim->now_ns +
                        HrRng_DrawExponentialNs(&sim->rng, run.mean_gap_ns),
                    send_query, 0);
    }
}

/* Crashes the replica whose index is in argument: 0 is in the first group. */
static void
crash_replica(Sim *sim, uint32_t argument)
{
    sim_crash_server(sim, argument);
}

/* Creates the servers and schedulers of a run. */
static Sim *
create_sim(const PoolConfig *pool_config, const Policy *policy, Fault fault,
           HrRng *rng)
{
    SimConfig config = {.seed = SEED,
                        .scheds = GROUPS,
                        .servers = GROUPS * REPLICAS,
                        .slots = pool_config->slots,
                        .connections = pool_config->connections,
                        .server_queue = 10000,
                        .network_ns = pool_config->network_ns,
                        .connect_ns = pool_config->connect_ns,
                        .service_ns = SERVICE_NS,
                        .poll_ns = HR_NS_PER_S};
    Sim *sim;
    HrPool pool;
    uint32_t i;

    if (fault == FAULT_STRAGGLERS) {
        config.straggler_share = STRAGGLER_SHARE;
        config.straggler_factor = STRAGGLER_FACTOR;
    }
    sim = sim_create(&config);
    for (i = 0; i < GROUPS; i++) {
        sim_fill_pool(sim, &pool, i * REPLICAS, REPLICAS);
        pool.hedge = policy->hedge;
        pool.hedge_delay_ms = 15;
        pool.extra_load_percent = policy->extra_load_percent;
        sim_add_sched(sim, i, &pool, rng);
        sim_start_polls(sim, i, i * REPLICAS, REPLICAS);
    }
    return sim;
}

/* Computes the latency of each query from its slowest sub-request. A
 * sub-request without an answer counts as the deadline. */
static Result
collect_result(const Sim *sim)
{
    int64_t *times = talloc_array(sim, int64_t, QUERIES);
    uint64_t answered = 0;
    Result result;
    uint32_t query, shard;

    for (query = 0; query < QUERIES; query++) {
        times[query] = 0;
        for (shard = 0; shard < SHARDS; shard++) {
            const SimSub *sub = &sim->subs[query * SHARDS + shard];
            bool is_answered = sub->answers > 0 &&
                               sub->outcome == HR_OUTCOME_ANSWERED &&
                               sub->answered_ns <= sub->request.deadline_ns;
            int64_t took_ns = is_answered
                                  ? sub->answered_ns - sub->submitted_ns
                                  : DEADLINE_NS;

            answered += is_answered ? 1 : 0;
            times[query] = took_ns > times[query] ? took_ns : times[query];
        }
    }
    qsort(times, QUERIES, sizeof(*times), measure_compare_durations);
    result.p50_ms = measure_get_quantile_ms(times, QUERIES, 0.5);
    result.p99_ms = measure_get_quantile_ms(times, QUERIES, 0.99);
    result.p999_ms = measure_get_quantile_ms(times, QUERIES, 0.999);
    result.coverage_percent = 100.0 * (double)answered / (QUERIES * SHARDS);
    result.extra_percent =
        100.0 * ((double)sim->attempts / (QUERIES * SHARDS) - 1);
    return result;
}

/* Simulates one pool with one policy and one fault. */
static Result
run_simulation(const PoolConfig *pool_config, const Policy *policy,
               Fault fault)
{
    HrRng rng = HrRng_FromSeed(SEED + 1);
    Sim *sim = create_sim(pool_config, policy, fault, &rng);
    double capacity = (double)GROUPS * REPLICAS * pool_config->slots /
                      (double)SERVICE_NS / SHARDS;
    int64_t length_ns;
    Result result;

    run.policy = policy;
    run.mean_gap_ns = (int64_t)(1 / (capacity * LOAD));
    run.queries_left = QUERIES;
    length_ns = run.mean_gap_ns * QUERIES;
    sim_call_at(sim, sim->now_ns, send_query, 0);
    if (fault == FAULT_LOST_REPLICA) {
        sim_call_at(sim, sim->now_ns + length_ns / 2, crash_replica, 0);
    }
    sim_run_until(sim, sim->now_ns + 2 * length_ns + 2 * DEADLINE_NS);
    result = collect_result(sim);
    talloc_free(sim);
    return result;
}

/* Prints one measurement of a run with its baseline. */
static void
print_value(const PoolConfig *pool_config, const Policy *policy, Fault fault,
            const char *metric, const char *unit, double value,
            double baseline)
{
    char name[96];

    snprintf(name, sizeof(name), "tail/%s/%s/%s/%s", pool_config->name,
             fault_names[fault], policy->name, metric);
    measure_print_result(name, unit, value, baseline, SEED);
}

/* Runs all policies with one pool and one fault. The baseline is the same
 * policy without faults; for the coverage it is 100 percent, and for the extra
 * load it is the bound. without_faults holds the results without faults. */
static void
run_policies(const PoolConfig *pool_config, Fault fault,
             Result *without_faults)
{
    uint32_t i;

    for (i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        const Policy *policy = &policies[i];
        Result result = run_simulation(pool_config, policy, fault);

        if (fault == FAULT_NONE) {
            without_faults[i] = result;
        }
        print_value(pool_config, policy, fault, "p50", "ms", result.p50_ms,
                    without_faults[i].p50_ms);
        print_value(pool_config, policy, fault, "p99", "ms", result.p99_ms,
                    without_faults[i].p99_ms);
        print_value(pool_config, policy, fault, "p99.9", "ms", result.p999_ms,
                    without_faults[i].p999_ms);
        print_value(pool_config, policy, fault, "coverage", "percent",
                    result.coverage_percent, 100);
        print_value(pool_config, policy, fault, "extra-load", "percent",
                    result.extra_percent, 5);
    }
}

int
main(void)
{
    Result without_faults[sizeof(policies) / sizeof(policies[0])];
    uint32_t i;

    for (i = 0; i < sizeof(pool_configs) / sizeof(pool_configs[0]); i++) {
        run_policies(&pool_configs[i], FAULT_NONE, without_faults);
        run_policies(&pool_configs[i], FAULT_STRAGGLERS, without_faults);
        run_policies(&pool_configs[i], FAULT_LOST_REPLICA, without_faults);
    }
    return 0;
}
