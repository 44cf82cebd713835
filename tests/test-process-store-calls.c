#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "common-process.h"
#include "common-site.h"

#define GATEWAYS 24
#define SERVICES 3
#define REPLICAS 2
#define SETTLE_MS 5000
/* Starts and crashes of single gateways. */
#define RESTARTS 8

/* Asserts that every gateway counts all of them among those that share the
 * limits. */
static void
assert_sharing(const TestSite *site)
{
    uint32_t i;

    for (i = 0; i < GATEWAYS; i++) {
        assert_int_equal(
            TestSite_ReadMetric(site, i, "\nhickory_gateways_sharing_limits "),
            GATEWAYS);
    }
}

/* Starts all gateways. Prints the calls that the store gets until they have
 * settled. */
static void
start_all(TestSite *site, const char *what)
{
    int64_t calls = TestSite_SendControl(site, "/test/runs", "calls");
    int64_t reads = TestSite_SendControl(site, "/test/runs", "gateway_reads");
    int64_t leases = TestSite_SendControl(site, "/test/runs", "lease_calls");
    int64_t least = GATEWAYS;
    uint32_t i;

    for (i = 0; i < GATEWAYS; i++) {
        TestSite_StartGateway(site, i);
    }
    for (i = 0; i < GATEWAYS; i++) {
        int64_t sharing;

        TestSite_WaitForGateway(site, i);
        sharing =
            TestSite_ReadMetric(site, i, "\nhickory_gateways_sharing_limits ");
        least = sharing < least ? sharing : least;
    }
    TestClock_SleepMs(SETTLE_MS);
    print_message("%s: a gateway that has just become ready counts at least "
                  "%lld among those that share the limits\n",
                  what, (long long)least);
    print_message(
        "%s of %u gateways: %lld calls in %u s, %lld of them reads of "
        "the list of gateways, %lld about leases\n",
        what, GATEWAYS,
        (long long)(TestSite_SendControl(site, "/test/runs", "calls") - calls),
        SETTLE_MS / 1000,
        (long long)(TestSite_SendControl(site, "/test/runs", "gateway_reads") -
                    reads),
        (long long)(TestSite_SendControl(site, "/test/runs", "lease_calls") -
                    leases));
}

/* Guards against calls to the store, which are charged, that grow with the
 * number of gateways which start: one that gets the list of gateways from
 * another one does not read it. Guards as well against a wrong number of
 * gateways that share the limits, after starts one by one, after all have
 * restarted at once, and after a start while the store is down. */
static void
test_starts_copy_the_list_of_gateways(void **state)
{
    int64_t reads;
    TestSite site;
    uint32_t i;

    (void)state;
    TestSite_StartPlatform(&site, GATEWAYS, SERVICES, REPLICAS);
    start_all(&site, "first start");
    assert_sharing(&site);
    reads = TestSite_SendControl(&site, "/test/runs", "gateway_reads");
    for (i = 0; i < RESTARTS; i++) {
        TestSite_EndGateway(&site, GATEWAYS - 1 - i, SIGKILL);
        TestSite_StartGateway(&site, GATEWAYS - 1 - i);
        TestSite_WaitForGateway(&site, GATEWAYS - 1 - i);
    }
    TestClock_SleepMs(SETTLE_MS);
    reads = TestSite_SendControl(&site, "/test/runs", "gateway_reads") - reads;
    print_message(
        "%u restarts one by one: %lld reads of the list of gateways\n",
        RESTARTS, (long long)reads);
    assert_sharing(&site);
    for (i = 0; i < GATEWAYS; i++) {
        TestSite_EndGateway(&site, i, SIGKILL);
    }
    start_all(&site, "restart");
    assert_sharing(&site);
    TestSite_SendControl(&site, "/test/store?mode=busy", "");
    TestSite_EndGateway(&site, 5, SIGKILL);
    TestSite_StartGateway(&site, 5);
    TestSite_WaitForGateway(&site, 5);
    TestClock_SleepMs(SETTLE_MS);
    assert_sharing(&site);
    TestSite_SendControl(&site, "/test/store?mode=ok", "");
    TestSite_Stop(&site);
    /* Only the periodic read of a reader may fall into this time. */
    assert_true(reads <= 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_starts_copy_the_list_of_gateways),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
