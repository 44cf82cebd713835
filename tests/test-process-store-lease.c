#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "common-process.h"
#include "common-relay.h"
#include "common-site.h"

#define SERVICES 2
#define REPLICAS 1
/* Begin of a call that renews a lease, how often in a row the connections go
 * silent at it, and when it is due. */
#define RENEWAL "POST /api/kv-keep"
#define SILENCES 3
#define RENEWAL_DUE_MS ((int64_t)30000)
/* Connections that went silent count as a disruption for this time
 * (contactWindowMs). */
#define CONTACT_MS 4000
#define POLL_MS 50

/* Guards against a gateway that renews its lease late, or loses it, because
 * the connections to the store go silent several times as it is renewed: each
 * renewal was waited for until it failed, and the delay of the next one
 * doubled. */
static void
test_renewal_despite_silences(void **state)
{
    TestSite site;
    TestRelay *relay;
    int64_t granted, calls, renewed_ms, silenced_ms;
    int64_t end_ms;

    (void)state;
    TestSite_StartPlatform(&site, 1, SERVICES, REPLICAS);
    relay = TestRelay_Start(site.store_port);
    site.gateways[0].store_port = TestRelay_GetPort(relay);
    TestSite_StartGateway(&site, 0);
    TestSite_WaitForGateway(&site, 0);
    TestRelay_SilenceAtText(relay, RENEWAL, SILENCES);
    granted = calls = TestSite_SendControl(&site, "/test/runs", "lease_calls");
    end_ms = TestClock_GetWallMs() + 2 * RENEWAL_DUE_MS;
    while (calls == granted && TestClock_GetWallMs() < end_ms) {
        TestClock_SleepMs(POLL_MS);
        calls = TestSite_SendControl(&site, "/test/runs", "lease_calls");
    }
    renewed_ms = TestClock_GetWallMs();
    silenced_ms = TestRelay_GetSilencedMs(relay);
    print_message("renewed %lld ms after the last silence\n",
                  (long long)(renewed_ms - silenced_ms));
    TestSite_Stop(&site);
    TestRelay_Stop(relay);
    assert_true(granted > 0);
    assert_true(silenced_ms > 0);
    assert_true(calls > granted);
    assert_true(renewed_ms - silenced_ms <= CONTACT_MS);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_renewal_despite_silences),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
