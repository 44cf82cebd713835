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

/* Gateways as real processes under faults from outside them: signals, relays
 * between them and the store or servers, a store and servers that misbehave.
 * HR_SEED plays one seed; HR_SOAK=1 plays SOAK_SEEDS from HR_FIRST on. Wall
 * clocks cannot be set without privileges: their jumps are covered by
 * test-gateway-random, suspended time by test-clock. */

#define GATEWAYS 3
#define SERVICES 5
#define REPLICAS 3
#define SERVERS (SERVICES * REPLICAS)
#define RELAYED_SERVERS SERVICES /* the first replica of each service */
#define CI_SEED 1
#define SOAK_SEEDS 50
#define CI_STORM_MS 10000
#define SOAK_STORM_MS 20000
#define STEP_MAX_MS 300
/* A process that was spawned runs its program after this time. */
#define START_MS 100
/* After the faults: restarts end, the store and silent links are found to be
 * back. */
#define SETTLE_MS 6000
#define CALM_MS 1500
/* Servers that leave get nothing new after this time. */
#define DRAIN_MS 3000
/* What a fault on a gateway may disturb after its end. */
#define FAULT_TAIL_MS 4000

typedef enum FaultKind {
    FAULT_KILL,
    FAULT_PAUSE,
    FAULT_STOP,
    FAULT_HANGUP,
    FAULT_STORE,
    FAULT_STORE_LINK,
    FAULT_SERVER,
    FAULT_SERVER_LINK,
    FAULT_ROUTES,
    FAULT_LEAVE,
    FAULT_KINDS,
} FaultKind;

/* Something that ends, or begins again, at a time. */
typedef struct Undo {
    FaultKind kind;
    uint32_t index;
    int64_t at_ms; /* 0: unused */
} Undo;

#define UNDOS_MAX 32

typedef struct Soak {
    HrRng rng;
    TestSite site;
    TestRelay *store_relays[GATEWAYS];
    TestRelay *server_relays[RELAYED_SERVERS];
    TestGatewayCallers *callers;
    Undo undos[UNDOS_MAX];
    bool paused[GATEWAYS];
    int64_t started_ms[GATEWAYS];
    bool left[SERVICES];
} Soak;

static Soak soak;

/* Makes a call of the stand-in's own with one number in it. */
static int64_t
control(const char *format, uint32_t service, uint32_t replica,
        const char *mode, const char *field)
{
    char target[96];

    snprintf(target, sizeof(target), format, service, replica, mode);
    return TestSite_SendControl(&soak.site, target, field);
}

/* Lets something end or begin again later; it is dropped if too much is. */
static bool
undo_later(FaultKind kind, uint32_t index, int64_t delay_ms)
{
    uint32_t i;

    for (i = 0; i < UNDOS_MAX; i++) {
        if (soak.undos[i].at_ms == 0) {
            soak.undos[i] = (Undo){kind, index, TestClock_WallMs() + delay_ms};
            return true;
        }
    }
    return false;
}

/* Notes that a gateway is disturbed. */
static void
note_fault(uint32_t gateway, int64_t duration_ms)
{
    TestGatewayCallers_ExtendFault(soak.callers, gateway,
                                   TestClock_WallMs() + duration_ms +
                                       FAULT_TAIL_MS);
}

/* Starts a gateway again once its process has ended. */
static void
restart_gateway(uint32_t index)
{
    if (soak.site.gateways[index].pid != 0) {
        TestProcess_Wait(soak.site.gateways[index].pid);
    }
    TestGatewayCallers_SetStopping(soak.callers, index, 0);
    note_fault(index, 0);
    TestSite_StartGateway(&soak.site, index);
    soak.started_ms[index] = TestClock_WallMs();
}

/* Ends a fault. */
static void
end_fault(const Undo *undo)
{
    switch (undo->kind) {
    case FAULT_KILL:
    case FAULT_STOP:
        restart_gateway(undo->index);
        break;
    case FAULT_PAUSE:
        kill(soak.site.gateways[undo->index].pid, SIGCONT);
        soak.paused[undo->index] = false;
        note_fault(undo->index, 0);
        break;
    case FAULT_STORE:
        TestSite_SendControl(&soak.site, "/test/store?mode=ok", "");
        break;
    case FAULT_STORE_LINK:
        TestRelay_SetFault(soak.store_relays[undo->index], TEST_RELAY_SOUND);
        break;
    case FAULT_SERVER:
        control("/test/server?id=i-%u-%u&mode=%s", undo->index / REPLICAS,
                undo->index % REPLICAS, "ok", "");
        break;
    case FAULT_SERVER_LINK:
        TestRelay_SetFault(soak.server_relays[undo->index], TEST_RELAY_SOUND);
        break;
    case FAULT_HANGUP:
    case FAULT_ROUTES:
    case FAULT_LEAVE:
    case FAULT_KINDS:
        break;
    }
}

/* Prints what happens, so that a failure can be traced. */
static void
trace(const char *what, FaultKind kind, uint32_t index)
{
    static const char *const names[] = {
        "kill",       "pause",  "stop",        "hang-up", "store",
        "store-link", "server", "server-link", "routes",  "leave"};

    print_message("%lld %s %s %u\n", (long long)TestClock_WallMs(), what,
                  names[kind], index);
}

/* Ends the faults whose time has come; all: every one. */
static void
run_undos(bool all)
{
    uint32_t i;

    for (i = 0; i < UNDOS_MAX; i++) {
        Undo undo = soak.undos[i];

        if (undo.at_ms != 0 && (all || TestClock_WallMs() >= undo.at_ms)) {
            soak.undos[i].at_ms = 0;
            trace("end", undo.kind, undo.index);
            end_fault(&undo);
        }
    }
}

/* Returns true if a gateway's process is about to be started again, or may not
 * run the daemon's program yet. */
static bool
is_restarting(uint32_t gateway)
{
    uint32_t i;

    if (TestClock_WallMs() - soak.started_ms[gateway] < START_MS) {
        return true;
    }
    for (i = 0; i < UNDOS_MAX; i++) {
        const Undo *undo = &soak.undos[i];

        if (undo->at_ms != 0 && undo->index == gateway &&
            (undo->kind == FAULT_KILL || undo->kind == FAULT_STOP)) {
            return true;
        }
    }
    return false;
}

/* Sends a signal to a gateway; its process may be paused, but not ending. */
static void
signal_gateway(FaultKind kind, uint32_t index, int64_t duration_ms)
{
    pid_t pid = soak.site.gateways[index].pid;

    if (is_restarting(index) || (soak.paused[index] && kind != FAULT_KILL)) {
        return;
    }
    switch (kind) {
    case FAULT_KILL:
        note_fault(index, duration_ms);
        kill(pid, SIGKILL);
        undo_later(kind, index, duration_ms / 4);
        break;
    case FAULT_PAUSE:
        note_fault(index, duration_ms);
        kill(pid, SIGSTOP);
        soak.paused[index] = true;
        undo_later(kind, index, duration_ms);
        break;
    case FAULT_STOP:
        TestGatewayCallers_SetStopping(soak.callers, index,
                                       TestClock_WallMs());
        kill(pid, SIGTERM);
        undo_later(kind, index, 4000 + duration_ms / 4);
        break;
    default:
        kill(pid, SIGHUP);
        break;
    }
}

/* Breaks a link in one of three ways. */
static void
break_link(FaultKind kind, TestRelay *relay, uint32_t index,
           int64_t duration_ms)
{
    switch (HrRng_DrawBelow(&soak.rng, 4)) {
    case 0:
        TestRelay_SetFault(relay, TEST_RELAY_HOLD);
        undo_later(kind, index, duration_ms / 2);
        break;
    case 1:
        TestRelay_SetFault(relay, TEST_RELAY_ONE_WAY);
        undo_later(kind, index, duration_ms);
        break;
    case 2:
        TestRelay_Reset(relay);
        break;
    default:
        TestRelay_Silence(relay);
        break;
    }
}

/* Lets the last replica of a service leave. */
static void
leave_service(uint32_t service)
{
    if (!soak.left[service]) {
        soak.left[service] = true;
        control("/test/server?id=i-%u-%u&mode=%s", service, REPLICAS - 1,
                HrRng_DrawBool(&soak.rng, 0.5) ? "drain" : "remove", "");
    }
}

/* Lets one fault or planned change begin. */
static void
begin_fault(void)
{
    static const char *const store_modes[] = {"busy", "silent", "lose",
                                              "forget", "lapse"};
    static const char *const server_modes[] = {"shed", "silent", "error",
                                               "slow"};
    FaultKind kind = (FaultKind)HrRng_DrawBelow(&soak.rng, FAULT_KINDS);
    uint32_t gateway = (uint32_t)HrRng_DrawBelow(&soak.rng, GATEWAYS);
    uint32_t service = (uint32_t)HrRng_DrawBelow(&soak.rng, SERVICES);
    uint32_t replica = (uint32_t)HrRng_DrawBelow(&soak.rng, REPLICAS - 1);
    int64_t duration_ms = 200 + (int64_t)HrRng_DrawBelow(&soak.rng, 2500);
    char target[64];

    trace("begin", kind,
          kind < FAULT_STORE || kind == FAULT_STORE_LINK ? gateway : service);
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
        undo_later(kind, 0, duration_ms);
        break;
    case FAULT_STORE_LINK:
        break_link(kind, soak.store_relays[gateway], gateway, duration_ms);
        break;
    case FAULT_SERVER:
        control("/test/server?id=i-%u-%u&mode=%s", service, replica,
                server_modes[HrRng_DrawBelow(&soak.rng, 4)], "");
        undo_later(kind, service * REPLICAS + replica, duration_ms);
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
        leave_service(service);
        break;
    case FAULT_KINDS:
        break;
    }
}

/* Starts the site with relays in the links, and the callers. */
static void
start_soak(uint64_t seed)
{
    uint32_t i;

    memset(&soak, 0, sizeof(soak));
    soak.rng = HrRng_FromSeed(seed);
    TestSite_StartPlatform(&soak.site, GATEWAYS, SERVICES, REPLICAS);
    for (i = 0; i < RELAYED_SERVERS; i++) {
        char mode[32];
        int64_t port = control("/test/runs?id=i-%u-%u%s", i, 0, "", "port");

        soak.server_relays[i] = TestRelay_Start((uint16_t)port);
        snprintf(mode, sizeof(mode), "via&port=%u",
                 TestRelay_Port(soak.server_relays[i]));
        control("/test/server?id=i-%u-%u&mode=%s", i, 0, mode, "");
    }
    for (i = 0; i < GATEWAYS; i++) {
        soak.store_relays[i] = TestRelay_Start(soak.site.store_port);
        soak.site.gateways[i].store_port =
            TestRelay_Port(soak.store_relays[i]);
        TestSite_StartGateway(&soak.site, i);
    }
    for (i = 0; i < GATEWAYS; i++) {
        TestSite_WaitForGateway(&soak.site, i);
    }
    soak.callers = TestGatewayCallers_Start(&soak.site, SERVICES, seed);
}

/* Returns how often the servers that have left ran requests. */
static int64_t
count_left_runs(void)
{
    int64_t runs = 0;
    uint32_t i;

    for (i = 0; i < SERVICES; i++) {
        runs += soak.left[i] ? control("/test/runs?id=i-%u-%u%s", i,
                                       REPLICAS - 1, "", "runs")
                             : 0;
    }
    return runs;
}

/* Checks that everything works again once the faults are over. */
static void
check_calm(void)
{
    TestCallerCounts before, after;
    int64_t left_runs;
    uint32_t i;

    run_undos(true);
    TestSite_SendControl(&soak.site, "/test/store?mode=ok", "");
    for (i = 0; i < GATEWAYS; i++) {
        TestSite_WaitForGateway(&soak.site, i);
    }
    TestSite_SendControl(&soak.site, "/test/routes?mode=extra", "version");
    leave_service(0);
    TestClock_SleepMs(SETTLE_MS > DRAIN_MS ? SETTLE_MS : DRAIN_MS);
    for (i = 0; i < GATEWAYS; i++) {
        assert_int_equal(TestSite_SendRequest(&soak.site, i, "GET", "/extra/x",
                                              "calm", "", "")
                             .status,
                         200);
    }
    left_runs = count_left_runs();
    before = TestGatewayCallers_GetCounts(soak.callers);
    TestClock_SleepMs(CALM_MS);
    after = TestGatewayCallers_GetCounts(soak.callers);
    assert_int_equal(count_left_runs(), left_runs);
    assert_true(after.complete > before.complete + 20);
    assert_int_equal(after.failed, before.failed);
    assert_int_equal(after.refused, before.refused);
    assert_int_equal(after.no_answer, before.no_answer);
}

/* Stops everything. */
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

/* Plays one seed. */
static void
play_seed(uint64_t seed, int64_t storm_ms)
{
    int64_t end_ms;
    TestCallerCounts seen;

    start_soak(seed);
    end_ms = TestClock_WallMs() + storm_ms;
    while (TestClock_WallMs() < end_ms) {
        begin_fault();
        TestClock_SleepMs((int64_t)HrRng_DrawBelow(&soak.rng, STEP_MAX_MS));
        run_undos(false);
    }
    check_calm();
    seen = TestGatewayCallers_Stop(soak.callers);
    print_message("seed %llu: %u complete, %u partial, %u refused, %u "
                  "failed, %u without answer, %u late, %u cut, %u wrong %s\n",
                  (unsigned long long)seed, seen.complete, seen.partial,
                  seen.refused, seen.failed, seen.no_answer, seen.late,
                  seen.cut, seen.wrong, seen.first_wrong);
    assert_int_equal(seen.wrong, 0);
    assert_int_equal(seen.cut, 0);
    assert_int_equal(seen.late, 0);
    assert_true(seen.complete > 100);
    stop_soak();
}

/* Guards against wrong, mixed or false answers, requests that run twice or
 * after a refusal, requests that a graceful stop cuts, work for servers that
 * left, and gateways that do not recover, under series of overlapping kills,
 * pauses, stops, changes, and faults of links, store and servers. */
static void
test_faults_from_outside(void **state)
{
    const char *one = getenv("HR_SEED"), *first = getenv("HR_FIRST");
    uint64_t seed = first != NULL ? strtoull(first, NULL, 10) : CI_SEED;
    uint64_t end = seed + (getenv("HR_SOAK") != NULL ? SOAK_SEEDS : 1);
    int64_t storm_ms = getenv("HR_SOAK") != NULL ? SOAK_STORM_MS : CI_STORM_MS;

    (void)state;
    if (one != NULL) {
        seed = strtoull(one, NULL, 10);
        end = seed + 1;
    }
    for (; seed < end; seed++) {
        print_message("seed %llu\n", (unsigned long long)seed);
        play_seed(seed, storm_ms);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_faults_from_outside),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
