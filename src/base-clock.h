#ifndef HR_BASE_CLOCK_H
#define HR_BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

#define HR_NS_PER_US INT64_C(1000)
#define HR_NS_PER_MS INT64_C(1000000)
#define HR_NS_PER_S INT64_C(1000000000)
#define HR_TIME_NEVER INT64_MAX

typedef enum HrClockKind {
    HR_CLOCK_SYSTEM,
    HR_CLOCK_MANUAL,
} HrClockKind;

/* A source of time: the clocks of the system, or two times that a test sets
 * and advances. */
typedef struct HrClock {
    HrClockKind kind;
    union {
        struct {
            struct timespec monotonic;
            struct timespec wall;
        } manual;
    } u;
} HrClock;

/* Returns a clock that reads the system's monotonic and wall time. */
HrClock HrClock_MakeSystem(void);

/* Returns a clock with the given times, which change only by
 * HrClock_Advance. */
HrClock HrClock_MakeManual(int64_t monotonic_ns, int64_t wall_ns);

/* Returns the monotonic time, for deadlines and durations. It includes the
 * time for which the VM was suspended. */
struct timespec HrClock_GetMonotonic(const HrClock *clock);

/* Returns the wall time since 1970, for expiry times that VMs share. */
struct timespec HrClock_GetWall(const HrClock *clock);

/* Returns the monotonic time in nanoseconds. */
int64_t HrClock_GetMonotonicNs(const HrClock *clock);

/* Returns the wall time in milliseconds since 1970. */
int64_t HrClock_GetWallMs(const HrClock *clock);

/* Advances both times of a manual clock; has no effect on a system clock. */
void HrClock_Advance(HrClock *clock, int64_t delta_ns);

/* Converts a timespec to nanoseconds. */
int64_t HrTime_ToNs(struct timespec time);

/* Converts nanoseconds, which may be negative, to a timespec whose tv_nsec is
 * in [0, 1 s). */
struct timespec HrTime_FromNs(int64_t time_ns);

#endif
