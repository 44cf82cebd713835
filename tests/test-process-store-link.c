#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common-process.h"
#include "common-relay.h"
#include "common-site.h"

#define GATEWAYS_MAX 3
/* The first two gateways wait for routes. */
#define WATCHERS 2
#define SERVICES 3
#define REPLICAS 2
/* A version of the routes is in force everywhere within this time. */
#define APPLY_MS 3000
#define SETTLE_MS 1500
/* Long enough for each gateway to try in vain. */
#define OUTAGE_MS 4000

/* Starts a site whose gateways reach the store by relays, and waits until they
 * have settled who waits for routes. */
static void
start_site(TestSite *site, uint32_t gateways, TestRelay **relays)
{
    uint32_t i;

    TestSite_StartPlatform(site, gateways, SERVICES, REPLICAS);
    for (i = 0; i < gateways; i++) {
        relays[i] = TestRelay_Start(site->store_port);
        site->gateways[i].store_port = TestRelay_Port(relays[i]);
        TestSite_StartGateway(site, i);
    }
    for (i = 0; i < gateways; i++) {
        TestSite_WaitForGateway(site, i);
    }
    TestClock_SleepMs(SETTLE_MS);
}

/* Adds a route in the store and returns the status that a gateway gives on it
 * at the latest when the version has to be in force. */
static int
add_route(const TestSite *site, uint32_t index)
{
    int64_t end_ms;
    int status = 0;

    TestSite_SendControl(site, "/test/routes?mode=extra", "version");
    end_ms = TestClock_WallMs() + APPLY_MS;
    while (status != 200 && TestClock_WallMs() < end_ms) {
        TestClock_SleepMs(50);
        status = TestSite_SendRequest(site, index, "GET", "/extra/x", "probe",
                                      "", "")
                     .status;
    }
    return status;
}

/* Ends a site and its relays. */
static void
stop_site(TestSite *site, TestRelay **relays)
{
    uint32_t i;

    TestSite_Stop(site);
    for (i = 0; i < site->gateway_count; i++) {
        TestRelay_Stop(relays[i]);
    }
}

/* Guards against routes that do not come into force because the connections
 * on which the gateways wait for them went silent while new ones work: behind
 * a relay that acknowledges, TCP does not notice. Seen with test-process-soak,
 * seed 145: both gateways that wait for routes were cut off so. */
static void
test_routes_despite_silent_links(void **state)
{
    TestRelay *relays[GATEWAYS_MAX] = {NULL};
    TestSite site;
    uint32_t i;
    int status;

    (void)state;
    start_site(&site, WATCHERS, relays);
    for (i = 0; i < WATCHERS; i++) {
        TestRelay_Silence(relays[i]);
    }
    status = add_route(&site, 0);
    stop_site(&site, relays);
    assert_int_equal(status, 200);
}

/* Guards against the same when the gateway that would notice the silence is
 * killed, so that the other one has to take over its short waits. */
static void
test_routes_after_first_watcher_died(void **state)
{
    TestRelay *relays[GATEWAYS_MAX] = {NULL};
    TestSite site;
    int status;

    (void)state;
    start_site(&site, WATCHERS, relays);
    TestRelay_Silence(relays[1]);
    TestSite_EndGateway(&site, 0, SIGKILL);
    status = add_route(&site, 1);
    stop_site(&site, relays);
    assert_int_equal(status, 200);
}

/* Guards against a gateway that never waits for routes again, because it tried
 * to during an outage of the store and another one was first afterwards. Seen
 * on a drawn day of grown Tsukushi: nobody waited after the outage. */
static void
test_routes_after_outage_and_lost_watchers(void **state)
{
    TestRelay *relays[GATEWAYS_MAX] = {NULL};
    TestSite site;
    uint32_t i;
    int status;

    (void)state;
    start_site(&site, GATEWAYS_MAX, relays);
    TestSite_SendControl(&site, "/test/store?mode=busy", "");
    for (i = 0; i < WATCHERS; i++) {
        TestRelay_Reset(relays[i]);
    }
    TestClock_SleepMs(OUTAGE_MS);
    /* The store is back for the others first. */
    TestRelay_SetFault(relays[WATCHERS], TEST_RELAY_HOLD);
    TestSite_SendControl(&site, "/test/store?mode=ok", "");
    TestClock_SleepMs(OUTAGE_MS);
    TestRelay_SetFault(relays[WATCHERS], TEST_RELAY_SOUND);
    TestClock_SleepMs(SETTLE_MS);
    for (i = 0; i < WATCHERS; i++) {
        TestSite_EndGateway(&site, i, SIGKILL);
    }
    status = add_route(&site, WATCHERS);
    stop_site(&site, relays);
    assert_int_equal(status, 200);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_routes_despite_silent_links),
        cmocka_unit_test(test_routes_after_first_watcher_died),
        cmocka_unit_test(test_routes_after_outage_and_lost_watchers),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
