/* Measures the goodput of four entry daemons that use the same servers with 5
 * or 2 slots, for four ways to share the slots: static shares, shares that
 * rotate, one scheduling daemon (coord-sched), and optimistic use of all slots
 * with load shedding by the servers. */

#include "common-sched-sim.h"
#include "measure.h"

#define SEED UINT64_C(60001)
#define DAEMONS 4
#define SERVERS 3
#define SERVICE_NS (4 * HR_NS_PER_MS)
#define DEADLINE_NS (100 * HR_NS_PER_MS)
#define LENGTH_NS (20 * HR_NS_PER_S)
#define ROTATION_NS (20 * HR_NS_PER_MS)
#define RETRY_NS (2 * HR_NS_PER_MS)
#define HOP_NS (HR_NS_PER_MS / 2)
#define MAX_SUBS 400000
/* Requests per second of one slot, computed as in bench-admission.c. */
#define SLOT_RATE (1e9 / (SERVICE_NS * 1.063 + HR_NS_PER_MS))

typedef enum Sharing {
    SHARING_STATIC,
    SHARING_ROTATING,
    SHARING_OPTIMISTIC,
    SHARING_SCHEDULER,
} Sharing;

/* The FIFO queue of one daemon, and its outstanding attempts by server. */
typedef struct Daemon {
    uint32_t *waiting;
    uint32_t first;
    uint32_t count;
    uint32_t outstanding[SERVERS];
} Daemon;

typedef struct Run {
    Sharing sharing;
    double load;
    Daemon daemons[DAEMONS];
    uint32_t *daemon_of; /* by sub-request */
    uint64_t sheds;
} Run;

/* The measurements of one run. */
typedef struct Result {
    double goodput;
    double slot_use_percent;
    double sheds_percent;
    double p99_ms;
} Result;

static const char *const sharing_names[] = {"static", "rotating", "optimistic",
                                            "scheduler"};

/* Shares of the load by daemon: callers do not spread over them evenly. */
static const double daemon_shares[DAEMONS] = {0.4, 0.3, 0.2, 0.1};

static Run run;

/* Returns how many slots of a server a daemon may use now. Static shares are
 * rounded down. A share of less than one slot becomes one slot on every second
 * server. */
static uint32_t
get_allowed_slots(const Sim *sim, uint32_t daemon, uint32_t server)
{
    uint32_t slots = sim->config.slots;

    switch (run.sharing) {
    case SHARING_STATIC:
        if (slots >= DAEMONS) {
            return slots / DAEMONS;
        }
        return (daemon + server) % 2;
    case SHARING_ROTATING:
        return (uint32_t)(sim->now_ns / ROTATION_NS + server) % DAEMONS ==
                       daemon
                   ? slots
                   : 0;
    case SHARING_OPTIMISTIC:
    case SHARING_SCHEDULER:
        break;
    }
    return slots;
}

/* Sends the waiting sub-requests of a daemon while it may use a slot, each to
 * the allowed server with the fewest outstanding attempts. */
static void
send_waiting(Sim *sim, uint32_t index)
{
    Daemon *daemon = &run.daemons[index];

    while (daemon->first < daemon->count) {
        uint32_t best = SERVERS, start, i;
        uint32_t sub = daemon->waiting[daemon->first];

        start = (uint32_t)HrRng_DrawBelow(&sim->rng, SERVERS);
        for (i = 0; i < SERVERS; i++) {
            uint32_t server = (start + i) % SERVERS;

            if (daemon->outstanding[server] <
                    get_allowed_slots(sim, index, server) &&
                (best == SERVERS ||
                 daemon->outstanding[server] < daemon->outstanding[best])) {
                best = server;
            }
        }
        if (best == SERVERS) {
            return;
        }
        daemon->first++;
        if (sim->subs[sub].request.deadline_ns <= sim->now_ns) {
            continue;
        }
        daemon->outstanding[best]++;
        sim_send_direct(sim, sub, best);
    }
}

/* Appends a sub-request that was shed to its daemon's queue again. */
static void
retry_sub(Sim *sim, uint32_t sub)
{
    Daemon *daemon = &run.daemons[run.daemon_of[sub]];

    daemon->waiting[daemon->count++] = sub;
    send_waiting(sim, run.daemon_of[sub]);
}

/* Frees the slot of a job that ended, and retries the job if it was shed. */
static void
end_job(Sim *sim, uint32_t index)
{
    const SimJob *job = &sim->jobs[index];
    uint32_t daemon = run.daemon_of[job->sub];

    run.daemons[daemon].outstanding[job->server]--;
    if (job->outcome == HR_BACKEND_SHED) {
        run.sheds++;
        sim->subs[job->sub].answers = 0;
        sim_call_at(sim, sim->now_ns + RETRY_NS, retry_sub, job->sub);
    }
    send_waiting(sim, daemon);
}

/* Picks the daemon where the next request arrives, by daemon_shares. */
static uint32_t
pick_daemon(Sim *sim)
{
    double at = HrRng_DrawUnit(&sim->rng);
    uint32_t i;

    for (i = 0; i + 1 < DAEMONS && at >= daemon_shares[i]; i++) {
        at -= daemon_shares[i];
    }
    return i;
}

/* Submits one request, and schedules the next one. */
static void
submit_next(Sim *sim, uint32_t argument)
{
    HrSubRequest request = {.version = 1,
                            .idempotent = true,
                            .deadline_ns = sim->now_ns + DEADLINE_NS};
    double rate = SERVERS * sim->config.slots * SLOT_RATE * run.load;
    uint32_t daemon = pick_daemon(sim), sub;

    (void)argument;
    if (run.sharing == SHARING_SCHEDULER) {
        /* Daemon 0 schedules; requests of the others take a network hop. */
        sim_submit_at(sim, sim->now_ns + (daemon == 0 ? 0 : HOP_NS), 0,
                      &request);
    }
    else {
        sub = sim_submit_at(sim, sim->now_ns, UINT32_MAX, &request);
        run.daemon_of[sub] = daemon;
        run.daemons[daemon].waiting[run.daemons[daemon].count++] = sub;
        send_waiting(sim, daemon);
    }
    if (sim->now_ns < HR_NS_PER_S + LENGTH_NS &&
        sim->sub_count < MAX_SUBS / 2) {
        sim_call_at(sim,
                    sim->now_ns + HrRng_DrawExponentialNs(
                                      &sim->rng, (int64_t)(1e9 / rate)),
                    submit_next, 0);
    }
}

/* Lets all daemons send when the shares rotate. */
static void
rotate_shares(Sim *sim, uint32_t argument)
{
    uint32_t i;

    for (i = 0; i < DAEMONS; i++) {
        send_waiting(sim, i);
    }
    if (sim->now_ns < HR_NS_PER_S + LENGTH_NS) {
        sim_call_at(sim, sim->now_ns + ROTATION_NS, rotate_shares, argument);
    }
}

/* Counts the answers that came within the deadline, and the slot time that was
 * used. */
static Result
collect_result(const Sim *sim)
{
    int64_t *times = talloc_array(sim, int64_t, sim->sub_count);
    uint32_t good = 0, i;
    int64_t busy_ns = 0;
    Result result;

    for (i = 0; i < sim->sub_count; i++) {
        const SimSub *sub = &sim->subs[i];

        if (sub->answers > 0 && sub->outcome == HR_OUTCOME_ANSWERED &&
            sub->answered_ns <= sub->request.deadline_ns) {
            times[good++] = sub->answered_ns - sub->submitted_ns;
        }
    }
    for (i = 0; i < SERVERS; i++) {
        busy_ns += sim->servers[i].busy_ns;
    }
    qsort(times, good, sizeof(*times), measure_compare_durations);
    result.goodput = good / ((double)LENGTH_NS / HR_NS_PER_S);
    result.slot_use_percent =
        100.0 * (double)busy_ns /
        ((double)LENGTH_NS * SERVERS * sim->config.slots);
    result.sheds_percent = 100.0 * (double)sim->sheds / sim->sub_count;
    result.p99_ms = good == 0 ? 0 : measure_get_quantile_ms(times, good, 0.99);
    return result;
}

/* Simulates one way of sharing at one load, given as a multiple of the
 * capacity. */
static Result
run_simulation(Sharing sharing, uint32_t slots, double load)
{
    SimConfig config = {.seed = SEED,
                        .scheds = 1,
                        .servers = SERVERS,
                        .slots = slots,
                        .connections = slots == 5 ? 40 : 25,
                        .server_queue = 0,
                        .network_ns = HR_NS_PER_MS / 2,
                        .connect_ns = 6 * HR_NS_PER_MS,
                        .service_ns = SERVICE_NS,
                        .poll_ns = HR_NS_PER_S};
    Sim *sim = sim_create(&config);
    HrRng rng = HrRng_FromSeed(SEED + 1);
    HrPool pool;
    Result result;
    uint32_t i;

    memset(&run, 0, sizeof(run));
    run.sharing = sharing;
    run.load = load;
    run.daemon_of = talloc_array(sim, uint32_t, MAX_SUBS);
    for (i = 0; i < DAEMONS; i++) {
        run.daemons[i].waiting = talloc_array(sim, uint32_t, 4 * MAX_SUBS);
    }
    sim->on_direct_answer = end_job;
    sim_fill_pool(sim, &pool, 0, SERVERS);
    sim_add_sched(sim, 0, &pool, &rng);
    sim_start_polls(sim, 0, 0, SERVERS);
    sim_call_at(sim, sim->now_ns, submit_next, 0);
    sim_call_at(sim, sim->now_ns, rotate_shares, 0);
    sim_run_until(sim, HR_NS_PER_S + LENGTH_NS + 2 * DEADLINE_NS);
    result = collect_result(sim);
    talloc_free(sim);
    return result;
}

/* Prints the results of one way of sharing, with those of optimistic use as
 * baselines. */
static void
print_result(Sharing sharing, uint32_t slots, double load,
             const Result *result, const Result *baseline)
{
    static const char *const units[] = {"answers/s", "percent", "percent",
                                        "ms"};
    static const char *const metrics[] = {"goodput", "slot-use", "sheds",
                                          "p99"};
    const double values[] = {result->goodput, result->slot_use_percent,
                             result->sheds_percent, result->p99_ms};
    const double baselines[] = {baseline->goodput, baseline->slot_use_percent,
                                baseline->sheds_percent, baseline->p99_ms};
    char name[64];
    uint32_t i;

    for (i = 0; i < 4; i++) {
        snprintf(name, sizeof(name), "slots/%u-slots/%gx/%s/%s", slots, load,
                 sharing_names[sharing], metrics[i]);
        measure_print_result(name, units[i], values[i], baselines[i], SEED);
    }
}

int
main(void)
{
    static const uint32_t slots[] = {5, 2};
    static const double loads[] = {0.5, 0.9, 1.5};
    uint32_t i, j, sharing;

    for (i = 0; i < 2; i++) {
        for (j = 0; j < 3; j++) {
            Result optimistic =
                run_simulation(SHARING_OPTIMISTIC, slots[i], loads[j]);

            for (sharing = 0; sharing <= SHARING_SCHEDULER; sharing++) {
                Result result =
                    run_simulation((Sharing)sharing, slots[i], loads[j]);

                print_result((Sharing)sharing, slots[i], loads[j], &result,
                             &optimistic);
            }
        }
    }
    return 0;
}
