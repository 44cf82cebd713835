#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common-sched-sim.h"

#define SEED UINT64_C(770001)
#define SCHEDULES 400
#define SOAK_FACTOR 20
#define RUN_NS (1 * HR_NS_PER_S)
#define MIN_GAP_NS (500 * HR_NS_PER_US) /* bounds the time of the test */
#define DRAIN_NS (3 * HR_NS_PER_S)
#define MAX_SERVERS 6

/* One randomized run of the simulation. */
typedef struct Schedule {
    Sim *sim;
    HrRng rng;
    HrPool pool;
    uint64_t revision;
} Schedule;

static Schedule schedule;

/* Returns a random number from low to high, both included. */
static uint32_t
pick_between(uint32_t low, uint32_t high)
{
    return low + (uint32_t)HrRng_DrawBelow(&schedule.rng, high - low + 1);
}

/* Creates a simulation with random numbers of servers and slots and random
 * delays. */
static void
create_schedule(uint64_t seed)
{
    SimConfig config = {.seed = seed, .scheds = 1};
    static const HrHedgePolicy hedges[] = {HR_HEDGE_NONE, HR_HEDGE_FIXED,
                                           HR_HEDGE_QUANTILE, HR_HEDGE_TIED};

    schedule.rng = HrRng_FromSeed(seed ^ UINT64_C(0x9e3779b97f4a7c15));
    config.servers = pick_between(1, MAX_SERVERS);
    config.slots = pick_between(1, 5);
    config.connections = pick_between(4, 60);
    config.server_queue = pick_between(0, 3);
    config.network_ns = pick_between(100, 1500) * HR_NS_PER_US;
    config.connect_ns = pick_between(0, 6) * HR_NS_PER_MS;
    config.service_ns = pick_between(500, 8000) * HR_NS_PER_US;
    config.straggler_share = pick_between(0, 5) / 100.0;
    config.straggler_factor = 20;
    config.poll_ns = pick_between(50, 1000) * HR_NS_PER_MS;
    config.fault_share = pick_between(0, 1) * pick_between(0, 5) / 100.0;
    schedule.sim = sim_create(&config);
    sim_fill_pool(schedule.sim, &schedule.pool, 0, config.servers);
    schedule.pool.hedge = hedges[pick_between(0, 3)];
    schedule.pool.queue_limit = pick_between(1, 200);
    schedule.revision = 1;
}

/* Schedules random sub-requests over RUN_NS, from little load to overload. */
static void
submit_load(void)
{
    Sim *sim = schedule.sim;
    double capacity = (double)sim->config.servers * sim->config.slots /
                      (double)sim->config.service_ns;
    double load = pick_between(10, 250) / 100.0;
    int64_t mean_ns = (int64_t)(1 / (capacity * load)), time_ns = sim->now_ns;

    if (mean_ns < MIN_GAP_NS) {
        mean_ns = MIN_GAP_NS;
    }

    for (;;) {
        HrSubRequest request = {.version = pick_between(1, 20) == 1 ? 2 : 1};
        static const char *const callers[] = {"a", "b", "c", NULL};

        time_ns += HrRng_DrawExponentialNs(&schedule.rng, mean_ns);
        if (time_ns >= HR_NS_PER_S + RUN_NS) {
            return;
        }
        request.query.daemon_id = 7;
        request.query.incarnation = 1;
        request.sub_id = pick_between(0, 3);
        request.priority = pick_between(0, 8); /* 8 is out of range */
        request.idempotent = pick_between(1, 10) <= 7;
        request.caller = callers[pick_between(0, 3)];
        request.deadline_ns = time_ns + pick_between(1, 400) * HR_NS_PER_MS;
        sim_submit_at(sim, time_ns, 0, &request);
    }
}

/* Passes in an entry of the pool in which servers are leaving, removed or
 * added, or one of an old revision. */
static void
change_pool(Sim *sim)
{
    HrSchedEvent event = {.kind = HR_SCHED_SERVER_SET};
    HrPool pool = schedule.pool;

    pool.revision = pick_between(1, 4) == 1 ? 0 : ++schedule.revision;
    pool.server_count = pick_between(0, schedule.pool.server_count);
    if (pool.server_count > 0) {
        pool.servers[pick_between(0, pool.server_count - 1)].leaving =
            pick_between(1, 3) == 1;
    }
    event.u.server_set = &pool;
    sim_pass_to_sched(sim, 0, &event);
}

/* Changes the role of the scheduler at random. */
static void
change_role(Sim *sim)
{
    HrSchedEvent event = {.kind = HR_SCHED_ROLE};

    event.u.role.kind = (HrSchedRoleKind)pick_between(0, 2);
    event.u.role.slot_share = pick_between(0, 2);
    sim_pass_to_sched(sim, 0, &event);
}

/* Cancels an earlier sub-request, or passes it in a second time. */
static void
cancel_or_repeat_sub(Sim *sim, bool repeat)
{
    HrSchedEvent event = {.kind = HR_SCHED_CANCEL};
    uint32_t index = pick_between(0, sim->sub_count - 1);
    const SimSub *sub = &sim->subs[index];

    if (sub->submitted_ns >= sim->now_ns) {
        return;
    }
    if (repeat) {
        /* A duplicate is detected only until the sub-request is answered, or,
         * if it must not run twice, until its deadline. */
        if (sub->answers == 0 || (!sub->request.idempotent && sub->runs > 0 &&
                                  sim->now_ns < sub->request.deadline_ns)) {
            sim_deliver_request(sim, index);
        }
        return;
    }
    event.u.cancel.query = sub->request.query;
    event.u.cancel.sub_id = sub->request.sub_id;
    event.u.cancel.reason = HR_REASON_CANCELLED;
    sim_pass_to_sched(sim, 0, &event);
}

/* Applies a random fault or a restart to one server. */
static void
apply_server_fault(Sim *sim)
{
    uint32_t index = pick_between(0, sim->config.servers - 1);
    SimServer *server = &sim->servers[index];

    switch (pick_between(0, 9)) {
    case 0:
        sim_crash_server(sim, index);
        break;
    case 1:
    case 2:
    case 3:
        sim_restart_server(sim, index);
        break;
    case 4:
        sim_silence_connections(sim, index);
        break;
    case 5:
        server->is_draining = true;
        break;
    case 6:
        server->slow_factor = pick_between(1, 20);
        break;
    case 7:
        server->reports_no_load = !server->reports_no_load;
        break;
    case 8:
        server->always_sheds = !server->always_sheds;
        break;
    default:
        server->versions[1] = 2;
        server->version_count = pick_between(0, 2);
        break;
    }
}

/* Applies one random fault. */
static void
apply_fault(Sim *sim, uint32_t argument)
{
    (void)argument;
    switch (pick_between(0, 9)) {
    case 0:
        change_pool(sim);
        break;
    case 1:
        change_role(sim);
        break;
    case 2:
    case 3:
        cancel_or_repeat_sub(sim, false);
        break;
    case 4:
        cancel_or_repeat_sub(sim, true);
        break;
    default:
        apply_server_fault(sim);
        break;
    }
}

/* Checks one sub-request after the end of the run. */
static void
check_sub(const SimSub *sub)
{
    assert_int_equal(sub->answers, 1);
    if (!sub->request.idempotent) {
        assert_true(sub->runs <= 1);
    }
    if (sub->outcome == HR_OUTCOME_DECLINED ||
        sub->outcome == HR_OUTCOME_NO_VERSION) {
        assert_int_equal(sub->runs, 0);
    }
}

/* Checks the sub-requests, the limits and the extra load after the end of the
 * run. */
static void
check_schedule(const Sim *sim)
{
    HrSchedStats stats;
    uint64_t repeated = 0;
    uint32_t i;

    for (i = 0; i < sim->sub_count; i++) {
        check_sub(&sim->subs[i]);
        repeated += sim->subs[i].runs > 1 ? sim->subs[i].runs - 1 : 0;
    }
    HrSched_GetStats(sim->scheds[0].sched, &stats);
    assert_int_equal(stats.open, 0);
    assert_int_equal(stats.queued, 0);
    assert_int_equal(stats.attempts, 0);
    assert_int_equal(sim->false_answers, 0);
    assert_int_equal(sim->slot_excess, 0);
    assert_int_equal(sim->share_excess, 0);
    assert_true((double)repeated <=
                10 + 0.05 * (double)stats.first_attempts + 1e-6);
}

/* Runs one schedule. */
static void
run_schedule(uint64_t seed)
{
    HrRng rng = HrRng_FromSeed(seed + 1);
    Sim *sim;
    uint32_t faults, i;

    create_schedule(seed);
    sim = schedule.sim;
    sim_add_sched(sim, 0, &schedule.pool, &rng);
    sim_start_polls(sim, 0, 0, sim->config.servers);
    submit_load();
    faults = pick_between(0, 40);
    for (i = 0; i < faults; i++) {
        sim_call_at(sim, HR_NS_PER_S + pick_between(0, 1000) * HR_NS_PER_MS,
                    apply_fault, i);
    }
    sim_run_until(sim, HR_NS_PER_S + RUN_NS + DRAIN_NS);
    check_schedule(sim);
    talloc_free(sim);
}

/* Guards against missing, duplicate or wrong sub-answers, non-idempotent
 * requests that run twice, requests that are declined although they ran, and
 * exceeded slots, connection shares or extra load, under random faults. */
static void
test_invariants_hold_under_faults(void **state)
{
    uint32_t count = SCHEDULES, i;

    (void)state;
    if (getenv("HR_SOAK") != NULL) {
        count *= SOAK_FACTOR;
    }
    for (i = 0; i < count; i++) {
        print_message("seed %llu\n", (unsigned long long)(SEED + i));
        run_schedule(SEED + i);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_invariants_hold_under_faults),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
