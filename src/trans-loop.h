#ifndef HR_TRANS_LOOP_H
#define HR_TRANS_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"
#include "base-error.h"

/* An event loop for file descriptors and timers, used by one thread. */
typedef struct HrLoop HrLoop;

/* A watch of a file descriptor. */
typedef struct HrLoopFd HrLoopFd;

/* A timer, which fires once each time it is armed. */
typedef struct HrLoopTimer HrLoopTimer;

enum {
    HR_LOOP_READ = 1,
    HR_LOOP_WRITE = 2,
    HR_LOOP_ERROR = 4, /* reported even if it is not watched for */
};

/* Called with the HR_LOOP_* events for which a descriptor is ready. */
typedef void HrLoopFdFn(void *arg, int fd, uint32_t events);

/* Called when a timer fires, or as a hook of the loop. */
typedef void HrLoopTimerFn(void *arg);

/* Creates a loop, as a talloc child of parent. The clock must outlive it.
 * Returns NULL on failure. */
HrLoop *HrLoop_Create(const void *parent, const HrClock *clock);

/* Returns the current monotonic time. */
int64_t HrLoop_NowNs(const HrLoop *loop);

/* Returns the total time that the loop has waited for events. The rest of the
 * time it was busy. */
int64_t HrLoop_GetWaitedNs(const HrLoop *loop);

/* Watches a descriptor for HR_LOOP_READ and HR_LOOP_WRITE. The caller still
 * owns the descriptor. Returns NULL on failure. */
HrLoopFd *HrLoop_AddFd(HrLoop *loop, int fd, uint32_t events, HrLoopFdFn *fn,
                       void *arg);

/* Changes the events that a descriptor is watched for. */
void HrLoop_SetEvents(HrLoop *loop, HrLoopFd *watch, uint32_t events);

/* Ends a watch; fn is not called any more. Must be called before the
 * descriptor is closed. May be called from any callback. NULL is ignored. */
void HrLoop_RemoveFd(HrLoop *loop, HrLoopFd *watch);

/* Creates a disarmed timer. Returns NULL if memory runs out. */
HrLoopTimer *HrLoop_AddTimer(HrLoop *loop, HrLoopTimerFn *fn, void *arg);

/* Arms a timer to fire once at a monotonic time; HR_TIME_NEVER disarms it. */
void HrLoop_SetTimer(HrLoop *loop, HrLoopTimer *timer, int64_t at_ns);

/* Removes and frees a timer; NULL is ignored. */
void HrLoop_RemoveTimer(HrLoop *loop, HrLoopTimer *timer);

/* Sets functions that are called after each wait for events, and before the
 * next one. */
void HrLoop_SetHooks(HrLoop *loop, HrLoopTimerFn *after_wait,
                     HrLoopTimerFn *before_wait, void *arg);

/* Sets a function that is called after the process or its VM was paused,
 * before the events received during the pause are handled. pause_ns is the
 * length of the pause, which is over 500 ms. A callback that runs for longer
 * than that also counts as a pause. */
typedef void HrLoopPauseFn(void *arg, int64_t pause_ns);
void HrLoop_SetPauseFn(HrLoop *loop, HrLoopPauseFn *fn, void *arg);

/* Returns true if the process was paused since the events of the current round
 * were received. */
bool HrLoop_HasPaused(const HrLoop *loop);

/* Runs one round: waits for events for at most max_wait_ns, calls the
 * functions of the ready descriptors, and fires the timers that are due.
 * Returns 0 or HR_ERR_IO. */
int HrLoop_RunOnce(HrLoop *loop, int64_t max_wait_ns);

/* Runs until HrLoop_Stop is called from a callback, or until waiting fails. */
void HrLoop_Run(HrLoop *loop);

/* Makes HrLoop_Run return after the current round. */
void HrLoop_Stop(HrLoop *loop);

#endif
