#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <cmocka.h>

#include "base-clock.h"

/* The clocks of a VM that was suspended for 30 s since its boot. */
#define MONOTONIC_S 100
#define BOOT_S 130
#define WALL_S 1000000

/* Replaces the C library's function with the clocks of a VM that was
 * suspended. */
int
clock_gettime(clockid_t id, struct timespec *time)
{
    time->tv_nsec = 0;
    switch (id) {
    case CLOCK_MONOTONIC:
        time->tv_sec = MONOTONIC_S;
        return 0;
    case CLOCK_BOOTTIME:
        time->tv_sec = BOOT_S;
        return 0;
    default:
        time->tv_sec = WALL_S;
        return 0;
    }
}

/* Guards against a monotonic clock that omits the time for which the VM was
 * suspended: a list read before the suspension would appear fresh, and
 * deadlines would be late. */
static void
test_monotonic_time_includes_suspension(void **state)
{
    HrClock clock = HrClock_MakeSystem();

    (void)state;
    assert_int_equal(HrClock_GetMonotonicNs(&clock), BOOT_S * HR_NS_PER_S);
    assert_int_equal(HrClock_GetWallMs(&clock), WALL_S * INT64_C(1000));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_monotonic_time_includes_suspension),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
