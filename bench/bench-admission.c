/* Measures the goodput of one group at several loads, with coord-sched and
 * with FIFO queues at the servers, which refuse nothing and ignore deadlines;
 * the share of the answers that the lowest class receives, and its longest
 * interval without one; and the share of the answers that a noisy caller (one
 * that sends most of the load) receives. */

#include "common-sched-sim.h"
#include "measure.h"

#define SEED UINT64_C(40001)
#define SERVERS 3
#define SLOTS 5
#define SERVICE_NS (4 * HR_NS_PER_MS)
#define DEADLINE_NS (60 * HR_NS_PER_MS)
#define LENGTH_NS (20 * HR_NS_PER_S)
#define QUEUE_LIMIT 1000

/* Requests per second of one slot. The slot is also occupied while the request
 * and the answer are on the network, which takes 1 ms for both. 1.063 is the
 * ratio of mean to median of the log-normal service time. */
#define SLOT_RATE (1e9 / (SERVICE_NS * 1.063 + HR_NS_PER_MS))
#define CAPACITY (SERVERS * SLOTS * SLOT_RATE)

/* A caller and the load that it offers. */
typedef struct Source {
    const char *caller;
    uint32_t priority;
    double share; /* of the offered load */
} Source;

typedef struct Scenario {
    double load; /* times capacity */
    bool is_fifo;
    Source sources[2];
} Scenario;

/* The numbers of requests and answers of each source. */
typedef struct Result {
    uint32_t offered[2];
    uint32_t answered[2];
    double compute_longest_gap_ms; /* between answers to the second source */
} Result;

static const Scenario *scenario;

/* Submits one sub-request, and schedules the next one. argument counts them;
 * in the runs with FIFO queues it selects the server. */
static void
submit_next(Sim *sim, uint32_t argument)
{
    uint32_t source =
        HrRng_DrawBool(&sim->rng, scenario->sources[0].share) ? 0 : 1;
    HrSubRequest request = {.version = 1,
                            .idempotent = true,
                            .caller = scenario->sources[source].caller,
                            .priority = scenario->sources[source].priority,
                            .sub_id = source,
                            .deadline_ns = sim->now_ns + DEADLINE_NS};
    int64_t gap_ns = (int64_t)(1e9 / (CAPACITY * scenario->load));
    uint32_t sub;

    if (scenario->is_fifo) {
        request.deadline_ns += 3600 * HR_NS_PER_S;
        sub = sim_submit_at(sim, sim->now_ns, UINT32_MAX, &request);
        sim_send_direct(sim, sub, argument % SERVERS);
    }
    else {
        sim_submit_at(sim, sim->now_ns, 0, &request);
    }
    if (sim->now_ns < HR_NS_PER_S + LENGTH_NS) {
        sim_call_at(sim,
                    sim->now_ns + HrRng_DrawExponentialNs(&sim->rng, gap_ns),
                    submit_next, argument + 1);
    }
}

/* Sorts the times of the answers, and returns the longest time between
 * them. */
static double
compute_longest_gap_ms(int64_t *times, uint32_t count)
{
    int64_t last_ns = HR_NS_PER_S, gap_ns = 0;
    uint32_t i;

    qsort(times, count, sizeof(*times), measure_compare_durations);
    for (i = 0; i < count; i++) {
        gap_ns = times[i] - last_ns > gap_ns ? times[i] - last_ns : gap_ns;
        last_ns = times[i];
    }
    return (double)gap_ns / 1e6;
}

/* Counts the answers that came within the deadline. */
static Result
collect_result(const Sim *sim)
{
    int64_t *times = talloc_array(sim, int64_t, sim->sub_count);
    Result result = {0};
    uint32_t i, count = 0;

    for (i = 0; i < sim->sub_count; i++) {
        const SimSub *sub = &sim->subs[i];
        uint32_t source = sub->request.sub_id;

        result.offered[source]++;
        if (sub->answers == 0 || sub->outcome != HR_OUTCOME_ANSWERED ||
            sub->answered_ns > sub->submitted_ns + DEADLINE_NS) {
            continue;
        }
        result.answered[source]++;
        if (source == 1) {
            times[count++] = sub->answered_ns;
        }
    }
    result.compute_longest_gap_ms = compute_longest_gap_ms(times, count);
    return result;
}

static Result
run_scenario(const Scenario *given)
{
    SimConfig config = {.seed = SEED,
                        .scheds = 1,
                        .servers = SERVERS,
                        .slots = SLOTS,
                        .connections = 40,
                        .server_queue = 100000,
                        .network_ns = HR_NS_PER_MS / 2,
                        .connect_ns = 6 * HR_NS_PER_MS,
                        .service_ns = SERVICE_NS,
                        .poll_ns = HR_NS_PER_S};
    Sim *sim = sim_create(&config);
    HrRng rng = HrRng_FromSeed(SEED + 1);
    HrPool pool;
    Result result;

    scenario = given;
    sim_fill_pool(sim, &pool, 0, SERVERS);
    pool.queue_limit = QUEUE_LIMIT;
    sim_add_sched(sim, 0, &pool, &rng);
    sim_start_polls(sim, 0, 0, SERVERS);
    sim_call_at(sim, sim->now_ns, submit_next, 0);
    sim_run_until(sim, HR_NS_PER_S + LENGTH_NS + HR_NS_PER_S);
    result = collect_result(sim);
    talloc_free(sim);
    return result;
}

/* Measures the goodput at each load for one of the two kinds of queue. The
 * baseline is the highest goodput; at 4 times the capacity the bound is 90
 * percent of it. */
static void
measure_goodput(bool is_fifo, const char *label)
{
    static const double loads[] = {0.5, 1, 2, 4};
    double goodput[4], peak = 0;
    char name[64];
    uint32_t i;

    for (i = 0; i < 4; i++) {
        Scenario given = {.load = loads[i],
                          .is_fifo = is_fifo,
                          .sources = {{"c", 3, 1}, {"c", 3, 0}}};

        goodput[i] = run_scenario(&given).answered[0] /
                     ((double)LENGTH_NS / HR_NS_PER_S);
        peak = goodput[i] > peak ? goodput[i] : peak;
    }
    for (i = 0; i < 4; i++) {
        snprintf(name, sizeof(name), "admission/%s/goodput-at-%gx", label,
                 loads[i]);
        measure_print_result(name, "answers/s", goodput[i], peak, SEED);
    }
    snprintf(name, sizeof(name), "admission/%s/goodput-at-4x-of-peak", label);
    measure_print_result(name, "percent", 100 * goodput[3] / peak, 90, SEED);
}

/* Measures the share of the answers that the lowest class gets at 4 times the
 * capacity, when nine tenths of the load are of the highest class. The bound
 * is one start in HR_ADMIT_STARVATION_STARTS. */
static void
measure_starvation(void)
{
    Scenario given = {.load = 4, .sources = {{"c", 0, 0.9}, {"d", 7, 0.1}}};
    Result result = run_scenario(&given);
    double all = result.answered[0] + result.answered[1];

    measure_print_result("admission/sched/lowest-class-share", "percent",
                         100 * result.answered[1] / all, 100.0 / 48, SEED);
    measure_print_result("admission/sched/lowest-class-longest-gap", "ms",
                         result.compute_longest_gap_ms, 1000 * 48 / CAPACITY,
                         SEED);
}

/* Measures the share of the answers that a noisy caller gets, which offers
 * nine tenths of 2 times the capacity. The baseline of the quiet caller is
 * what it gets from FIFO queues. */
static void
measure_noisy_caller(void)
{
    Scenario given = {.load = 2,
                      .sources = {{"noisy", 3, 0.9}, {"quiet", 3, 0.1}}};
    Result fair = run_scenario(&given), fifo;

    given.is_fifo = true;
    fifo = run_scenario(&given);
    measure_print_result("admission/sched/quiet-caller-answered", "percent",
                         100.0 * fair.answered[1] / fair.offered[1],
                         100.0 * fifo.answered[1] / fifo.offered[1], SEED);
    measure_print_result("admission/sched/noisy-caller-share", "percent",
                         100.0 * fair.answered[0] /
                             (fair.answered[0] + fair.answered[1]),
                         90, SEED);
}

int
main(void)
{
    measure_goodput(true, "fifo");
    measure_goodput(false, "sched");
    measure_starvation();
    measure_noisy_caller();
    return 0;
}
