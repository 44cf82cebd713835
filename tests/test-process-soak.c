#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base-rng.h"
#include "common-gateway-callers.h"
#include "common-process.h"
#include "common-relay.h"

/* Gateways as real processes under external faults: signals, faults of the
 * relays between the gateways and the store or servers, and a store and
 * servers that misbehave. HR_SEED=N runs only seed N; HR_SOAK=1 runs
 * SOAK_SEEDS seeds, from HR_FIRST on. The wall clock cannot be set without
 * privileges, so test-gateway-random covers its jumps and test-clock covers
 * suspended time. */

#define GATEWAYS 3
#define SERVICES 5
#define REPLICAS 3
#define SERVERS (SERVICES * REPLICAS)
#define RELAYED_SERVERS SERVICES /* the first replica of each service */
#define CI_SEED 1
#define SOAK_SEEDS 50
#define CI_FAULTS_MS 10000
#define SOAK_FAULTS_MS 20000
#define FAULT_INTERVAL_MAX_MS 300
/* Time after which a spawned process runs the program of the gateway. */
#define SPAWN_MS 100
/* Time after the last fault in which restarts end and the gateways detect that
 * the store is reachable and which links are silent. */
#define SETTLE_MS 6000
/* Time in which no request may fail, after SETTLE_MS. */
#define RECOVERED_MS 1500
/* Time after which a leaving server gets no new requests. */
#define DRAIN_MS 3000
/* Time after the end of a gateway's fault in which requests may still be late
 * or interrupted. */
#define AFTER_FAULT_MS 4000

typedef enum FaultKind {
    FAULT_KILL,        /* SIGKILL */
    FAULT_PAUSE,       /* SIGSTOP, later SIGCONT */
    FAULT_STOP,        /* SIGTERM */
    FAULT_HANGUP,      /* SIGHUP */
    FAULT_STORE,       /* the store misbehaves */
    FAULT_STORE_LINK,  /* a relay to the store has a fault */
    FAULT_SERVER,      /* a server misbehaves */
    FAULT_SERVER_LINK, /* a relay to a server has a fault */
    FAULT_ROUTES,      /* changes the routes */
    FAULT_LEAVE,       /* drains or removes a server */
    FAULT_KIND_COUNT,
} FaultKind;

/* The scheduled end of a fault; the end of a kill or stop is the restart of
 * the gateway. */
typedef struct FaultEnd {
    FaultKind kind;
    uint32_t index;
    int64_t at_ms; /* wall time; 0: unused entry */
} FaultEnd;

#define FAULT_ENDS_MAX 32

typedef struct Soak {
    HrRng rng;
    HrRng silence_rng; /* of its own, so that seeds keep their faults */
    TestSite site;
    TestRelay *store_relays[GATEWAYS];
    TestRelay *server_relays[RELAYED_SERVERS];
    TestGatewayCallers *callers;
    FaultEnd fault_ends[FAULT_ENDS_MAX];
    bool paused[GATEWAYS];
    int64_t started_ms[GATEWAYS];
    bool has_leaving_replica[SERVICES];
} Soak;

static Soak soak;

/* Sends a control call to the simulated platform. format is that of its path
 * and takes a service, a replica and a mode. Returns an integer field of the
 * answer as TestSite_SendControl does. */
static int64_t
send_control(const char *format, uint32_t service, uint32_t replica,
             const char *mode, const char *field)
{
    char target[96];

    snprintf(target, sizeof(target), format, service, replica, mode);
    return TestSite_SendControl(&soak.site, target, field);
}

/* Schedules the end of a fault. Returns false if too many ends are scheduled;
 * the fault then has no end. */
static bool
schedule_end(FaultKind kind, uint32_t index, int64_t delay_ms)
{
    uint32_t i;

    for (i = 0; i < FAULT_ENDS_MAX; i++) {
        if (soak.fault_ends[i].at_ms == 0) {
            soak.fault_ends[i] =
                (FaultEnd){kind, index, TestClock_GetWallMs() + delay_ms};
            return true;
        }
    }
    return false;
}

/* Makes the callers tolerate late and interrupted requests of a gateway for
 * the duration of a fault and AFTER_FAULT_MS. */
static void
extend_fault(uint32_t gateway, int64_t duration_ms)
{
    TestGatewayCallers_ExtendFault(soak.callers, gateway,
                                   TestClock_GetWallMs() + duration_ms +
                                       AFTER_FAULT_MS);
}

/* Waits for a gateway's process to exit and starts the gateway again. */
static void
restart_gateway(uint32_t index)
{
    if (soak.site.gateways[index].pid != 0) {
        TestProcess_Wait(soak.site.gateways[index].pid);
    }
    TestGatewayCallers_SetStopping(soak.callers, index, 0);
    extend_fault(index, 0);
    TestSite_StartGateway(&soak.site, index);
    soak.started_ms[index] = TestClock_GetWallMs();
}

/* Ends a fault. Kinds without a duration need no action. */
static void
end_fault(const FaultEnd *fault_end)
{
    switch (fault_end->kind) {
    case FAULT_KILL:
    case FAULT_STOP:
        restart_gateway(fault_end->index);
        break;
    case FAULT_PAUSE:
        kill(soak.site.gateways[fault_end->index].pid, SIGCONT);
        soak.paused[fault_end->index] = false;
        extend_fault(fault_end->index, 0);
        break;
    case FAULT_STORE:
        TestSite_SendControl(&soak.site, "/test/store?mode=ok", "");
        break;
    case FAULT_STORE_LINK:
        TestRelay_SetFault(soak.store_relays[fault_end->index],
                           TEST_RELAY_NO_FAULT);
        break;
    case FAULT_SERVER:
        send_control("/test/server?id=i-%u-%u&mode=%s",
                     fault_end->index / REPLICAS, fault_end->index % REPLICAS,
                     "ok", "");
        break;
    case FAULT_SERVER_LINK:
        TestRelay_SetFault(soak.server_relays[fault_end->index],
                           TEST_RELAY_NO_FAULT);
        break;
    case FAULT_HANGUP:
    case FAULT_ROUTES:
    case FAULT_LEAVE:
    case FAULT_KIND_COUNT:
        break;
    }
}

/* Prints the beginning or end of a fault, so that a failure can be traced. */
static void
print_fault(const char *phase, FaultKind kind, uint32_t index)
{
    static const char *const names[] = {
        "kill",       "pause",  "stop",        "hang-up", "store",
        "store-link", "server", "server-link", "routes",  "leave"};

    print_message("%lld %s %s %u\n", (long long)TestClock_GetWallMs(), phase,
                  names[kind], index);
}

/* Ends the faults whose end time has passed, or all scheduled faults if all is
 * set. */
static void
end_due_faults(bool all)
{
    uint32_t i;

    for (i = 0; i < FAULT_ENDS_MAX; i++) {
        FaultEnd fault_end = soak.fault_ends[i];

        if (fault_end.at_ms != 0 &&
            (all || TestClock_GetWallMs() >= fault_end.at_ms)) {
            soak.fault_ends[i].at_ms = 0;
            print_fault("end", fault_end.kind, fault_end.index);
            end_fault(&fault_end);
        }
    }
}

/* Returns true if a gateway is due to be restarted, or was spawned so recently
 * that it may not run its program yet. */
static bool
is_restarting(uint32_t gateway)
{
    uint32_t i;

    if (TestClock_GetWallMs() - soak.started_ms[gateway] < SPAWN_MS) {
        return true;
    }
    for (i = 0; i < FAULT_ENDS_MAX; i++) {
        const FaultEnd *fault_end = &soak.fault_ends[i];

        if (fault_end->at_ms != 0 && fault_end->index == gateway &&
            (fault_end->kind == FAULT_KILL || fault_end->kind == FAULT_STOP)) {
            return true;
        }
    }
    return false;
}

/* Sends the signal of a fault to a gateway and schedules the end of the fault.
 * Does nothing if the gateway is restarting, or if it is paused and the fault
 * is not a kill. */
static void
signal_gateway(FaultKind kind, uint32_t index, int64_t duration_ms)
{
    pid_t pid = soak.site.gateways[index].pid;

    if (is_restarting(index) || (soak.paused[index] && kind != FAULT_KILL)) {
        return;
    }
    switch (kind) {
    case FAULT_KILL:
        extend_fault(index, duration_ms);
        kill(pid, SIGKILL);
        schedule_end(kind, index, duration_ms / 4);
        break;
    case FAULT_PAUSE:
        extend_fault(index, duration_ms);
        kill(pid, SIGSTOP);
        soak.paused[index] = true;
        schedule_end(kind, index, duration_ms);
        break;
    case FAULT_STOP:
        TestGatewayCallers_SetStopping(soak.callers, index,
                                       TestClock_GetWallMs());
        kill(pid, SIGTERM);
        schedule_end(kind, index, 4000 + duration_ms / 4);
        break;
    default:
        kill(pid, SIGHUP);
        break;
    }
}

/* Has the connections of a gateway to the store go silent again at one or more
 * of its next calls of one kind. */
static void
silence_calls(TestRelay *relay)
{
    static const char *const calls[] = {"?prefix=servers", "?prefix=op/",
                                        "/api/kv-watch", "POST /api/"};

    TestRelay_SilenceAtText(relay,
                            calls[HrRng_DrawBelow(&soak.silence_rng, 4)],
                            (uint32_t)HrRng_DrawBelow(&soak.silence_rng, 5));
}

/* Injects one of four random faults into a link: delay, one-way delay, reset
 * or permanent silence of its connections. */
static void
break_link(FaultKind kind, TestRelay *relay, uint32_t index,
           int64_t duration_ms)
{
    switch (HrRng_DrawBelow(&soak.rng, 4)) {
    case 0:
        TestRelay_SetFault(relay, TEST_RELAY_HOLD);
        schedule_end(kind, index, duration_ms / 2);
        break;
    case 1:
        TestRelay_SetFault(relay, TEST_RELAY_ONE_WAY);
        schedule_end(kind, index, duration_ms);
        break;
    case 2:
        TestRelay_ResetConnections(relay);
        break;
    default:
        TestRelay_SilenceConnections(relay);
        if (kind == FAULT_STORE_LINK) {
            silence_calls(relay);
        }
        break;
    }
}

/* Drains the last replica of a service or removes it from the list of servers,
 * unless this was done before. */
static void
remove_last_replica(uint32_t service)
{
    if (!soak.has_leaving_replica[service]) {
        soak.has_leaving_replica[service] = true;
        send_control("/test/server?id=i-%u-%u&mode=%s", service, REPLICAS - 1,
                     HrRng_DrawBool(&soak.rng, 0.5) ? "drain" : "remove", "");
    }
}

/* Begins one random fault or planned change. */
static void
begin_fault(void)
{
    static const char *const store_modes[] = {"busy", "silent", "lose",
                                              "forget", "lapse"};
    static const char *const server_modes[] = {"shed", "silent", "error",
                                               "slow"};
    FaultKind kind = (FaultKind)HrRng_DrawBelow(&soak.rng, FAULT_KIND_COUNT);
    uint32_t gateway = (uint32_t)HrRng_DrawBelow(&soak.rng, GATEWAYS);
    uint32_t service = (uint32_t)HrRng_DrawBelow(&soak.rng, SERVICES);
    uint32_t replica = (uint32_t)HrRng_DrawBelow(&soak.rng, REPLICAS - 1);
    int64_t duration_ms = 200 + (int64_t)HrRng_DrawBelow(&soak.rng, 2500);
    char target[64];

    print_fault("begin", kind,
                kind < FAULT_STORE || kind == FAULT_STORE_LINK ? gateway
                                                               : service);
    switch (kind) {
    case FAULT_KILL:
    case FAULT_PAUSE:
    case FAULT_STOP:
    case FAULT_HANGUP:
        signal_gateway(kind, gateway, duration_ms);
        break;
    case FAULT_STORE:
        snprintf(target, sizeof(target), "/test/store?mode=%s",
                 store_modes[HrRng_DrawBelow(&soak.rng, 5)]);
        TestSite_SendControl(&soak.site, target, "");
        schedule_end(kind, 0, duration_ms);
        break;
    case FAULT_STORE_LINK:
        break_link(kind, soak.store_relays[gateway], gateway, duration_ms);
        break;
    case FAULT_SERVER:
        send_control("/test/server?id=i-%u-%u&mode=%s", service, replica,
                     server_modes[HrRng_DrawBelow(&soak.rng, 4)], "");
        schedule_end(kind, service * REPLICAS + replica, duration_ms);
        break;
    case FAULT_SERVER_LINK:
        break_link(kind, soak.server_relays[service], service, duration_ms);
        break;
    case FAULT_ROUTES:
        TestSite_SendControl(&soak.site,
                             HrRng_DrawBool(&soak.rng, 0.5)
                                 ? "/test/routes?mode=extra"
                                 : "/test/routes?mode=plain",
                             "version");
        break;
    case FAULT_LEAVE:
        remove_last_replica(service);
        break;
    case FAULT_KIND_COUNT:
        break;
    }
}

/* Starts the site with relays to the store and to the first server of each
 * service, then the callers. */
static void
start_soak(uint64_t seed)
{
    TestCallerOptions options;
    uint32_t i;

    memset(&soak, 0, sizeof(soak));
    soak.rng = HrRng_FromSeed(seed);
    soak.silence_rng = HrRng_FromSeed(~seed);
    TestSite_StartPlatform(&soak.site, GATEWAYS, SERVICES, REPLICAS);
    for (i = 0; i < RELAYED_SERVERS; i++) {
        char mode[32];
        int64_t port =
            send_control("/test/runs?id=i-%u-%u%s", i, 0, "", "port");

        soak.server_relays[i] = TestRelay_Start((uint16_t)port);
        snprintf(mode, sizeof(mode), "via&port=%u",
                 TestRelay_GetPort(soak.server_relays[i]));
        send_control("/test/server?id=i-%u-%u&mode=%s", i, 0, mode, "");
    }
    for (i = 0; i < GATEWAYS; i++) {
        soak.store_relays[i] = TestRelay_Start(soak.site.store_port);
        soak.site.gateways[i].store_port =
            TestRelay_GetPort(soak.store_relays[i]);
        TestSite_StartGateway(&soak.site, i);
    }
    for (i = 0; i < GATEWAYS; i++) {
        TestSite_WaitForGateway(&soak.site, i);
    }
    TestCallerOptions_GetDefaults(&options);
    soak.callers =
        TestGatewayCallers_Start(&soak.site, &options, SERVICES, seed);
}

/* Returns the number of requests that the leaving servers have run. */
static int64_t
count_runs_of_leaving_servers(void)
{
    int64_t runs = 0;
    uint32_t i;

    for (i = 0; i < SERVICES; i++) {
        runs += soak.has_leaving_replica[i]
                    ? send_control("/test/runs?id=i-%u-%u%s", i, REPLICAS - 1,
                                   "", "runs")
                    : 0;
    }
    return runs;
}

/* Ends all faults and checks that new routes come into force, that leaving
 * servers get no requests, and that no request fails any more. */
static void
check_recovery(void)
{
    TestCallerCounts before, after;
    int64_t runs_before;
    uint32_t i;

    end_due_faults(true);
    TestSite_SendControl(&soak.site, "/test/store?mode=ok", "");
    for (i = 0; i < GATEWAYS; i++) {
        TestRelay_SilenceAtText(soak.store_relays[i], "", 0);
        TestSite_WaitForGateway(&soak.site, i);
    }
    TestSite_SendControl(&soak.site, "/test/routes?mode=extra", "version");
    remove_last_replica(0);
    TestClock_SleepMs(SETTLE_MS > DRAIN_MS ? SETTLE_MS : DRAIN_MS);
    for (i = 0; i < GATEWAYS; i++) {
        assert_int_equal(TestSite_SendRequest(&soak.site, i, "GET", "/extra/x",
                                              "calm", "", "")
                             .status,
                         200);
    }
    runs_before = count_runs_of_leaving_servers();
    before = TestGatewayCallers_GetCounts(soak.callers);
    TestClock_SleepMs(RECOVERED_MS);
    after = TestGatewayCallers_GetCounts(soak.callers);
    assert_int_equal(count_runs_of_leaving_servers(), runs_before);
    assert_true(after.complete > before.complete + 20);
    assert_int_equal(after.failed, before.failed);
    assert_int_equal(after.refused, before.refused);
    assert_int_equal(after.no_answer, before.no_answer);
}

/* Stops the gateways and relays. */
static void
stop_soak(void)
{
    uint32_t i;

    TestSite_Stop(&soak.site);
    for (i = 0; i < GATEWAYS; i++) {
        TestRelay_Stop(soak.store_relays[i]);
    }
    for (i = 0; i < RELAYED_SERVERS; i++) {
        TestRelay_Stop(soak.server_relays[i]);
    }
}

/* Runs one seed: injects faults for faults_ms, then checks the recovery and
 * the outcomes of the callers. */
static void
run_seed(uint64_t seed, int64_t faults_ms)
{
    int64_t end_ms;
    TestCallerCounts counts;

    start_soak(seed);
    end_ms = TestClock_GetWallMs() + faults_ms;
    while (TestClock_GetWallMs() < end_ms) {
        begin_fault();
        TestClock_SleepMs(
            (int64_t)HrRng_DrawBelow(&soak.rng, FAULT_INTERVAL_MAX_MS));
        end_due_faults(false);
    }
    check_recovery();
    counts = TestGatewayCallers_Stop(soak.callers);
    TestCallerCounts_Print(&counts, seed);
    assert_int_equal(counts.wrong, 0);
    assert_int_equal(counts.cut, 0);
    assert_int_equal(counts.late, 0);
    assert_true(counts.complete > 100);
    stop_soak();
}

/* Guards against answers that are wrong or mixed up, requests that run twice
 * or after a refusal, requests that a graceful stop interrupts, requests to
 * servers that have left, and gateways that do not recover, under overlapping
 * kills, pauses, stops, planned changes, and faults of links, store and
 * servers. */
static void
test_external_faults(void **state)
{
    const char *single_seed = getenv("HR_SEED"),
               *first_seed = getenv("HR_FIRST");
    uint64_t seed =
        first_seed != NULL ? strtoull(first_seed, NULL, 10) : CI_SEED;
    uint64_t end = seed + (getenv("HR_SOAK") != NULL ? SOAK_SEEDS : 1);
    int64_t faults_ms =
        getenv("HR_SOAK") != NULL ? SOAK_FAULTS_MS : CI_FAULTS_MS;

    (void)state;
    if (single_seed != NULL) {
        seed = strtoull(single_seed, NULL, 10);
        end = seed + 1;
    }
    for (; seed < end; seed++) {
        print_message("seed %llu\n", (unsigned long long)seed);
        run_seed(seed, faults_ms);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_external_faults),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
