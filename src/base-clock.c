#include "base-clock.h"

#include <string.h>

/* Returns the time of one of the system's clocks. */
static struct timespec
read_system_clock(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return now;
}

/* Converts a timespec to nanoseconds. */
int64_t
HrTime_ToNs(struct timespec time)
{
    return (int64_t)time.tv_sec * HR_NS_PER_S + time.tv_nsec;
}

/* Converts nanoseconds to a timespec whose tv_nsec is in [0, 1 s), also for
 * negative times. */
struct timespec
HrTime_FromNs(int64_t time_ns)
{
    struct timespec time;

    time.tv_sec = time_ns / HR_NS_PER_S;
    time.tv_nsec = time_ns % HR_NS_PER_S;
    if (time.tv_nsec < 0) {
        time.tv_sec--;
        time.tv_nsec += HR_NS_PER_S;
    }
    return time;
}

/* Returns a clock that reads the system's monotonic and wall time. */
HrClock
HrClock_MakeSystem(void)
{
    HrClock clock;

    memset(&clock, 0, sizeof(clock));
    clock.kind = HR_CLOCK_SYSTEM;
    return clock;
}

/* Returns a clock with the given times, which change only by
 * HrClock_Advance. */
HrClock
HrClock_MakeManual(int64_t monotonic_ns, int64_t wall_ns)
{
    HrClock clock;

    memset(&clock, 0, sizeof(clock));
    clock.kind = HR_CLOCK_MANUAL;
    clock.u.manual.monotonic = HrTime_FromNs(monotonic_ns);
    clock.u.manual.wall = HrTime_FromNs(wall_ns);
    return clock;
}

/* Returns the monotonic time, for deadlines and durations. */
struct timespec
HrClock_GetMonotonic(const HrClock *clock)
{
    switch (clock->kind) {
    case HR_CLOCK_MANUAL:
        return clock->u.manual.monotonic;
    case HR_CLOCK_SYSTEM:
        break;
    }
    /* CLOCK_MONOTONIC does not count the time for which the VM is suspended:
     * after a resume, old data would appear fresh and deadlines would be
     * late by that time. */
    return read_system_clock(CLOCK_BOOTTIME);
}

/* Returns the wall time since 1970, for expiry times that VMs share. */
struct timespec
HrClock_GetWall(const HrClock *clock)
{
    switch (clock->kind) {
    case HR_CLOCK_MANUAL:
        return clock->u.manual.wall;
    case HR_CLOCK_SYSTEM:
        break;
    }
    return read_system_clock(CLOCK_REALTIME);
}

/* Returns the monotonic time in nanoseconds. */
int64_t
HrClock_GetMonotonicNs(const HrClock *clock)
{
    return HrTime_ToNs(HrClock_GetMonotonic(clock));
}

/* Returns the wall time in milliseconds since 1970. */
int64_t
HrClock_GetWallMs(const HrClock *clock)
{
    return HrTime_ToNs(HrClock_GetWall(clock)) / HR_NS_PER_MS;
}

/* Advances both times of a manual clock; has no effect on a system clock. */
void
HrClock_Advance(HrClock *clock, int64_t delta_ns)
{
    struct timespec monotonic, wall;

    if (clock->kind != HR_CLOCK_MANUAL) {
        return;
    }
    monotonic = clock->u.manual.monotonic;
    wall = clock->u.manual.wall;
    clock->u.manual.monotonic =
        HrTime_FromNs(HrTime_ToNs(monotonic) + delta_ns);
    clock->u.manual.wall = HrTime_FromNs(HrTime_ToNs(wall) + delta_ns);
}
