#include "trans-loop.h"

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <errno.h>
#include <poll.h>
#include <talloc.h>

#define FIRST_CAPACITY 16

struct HrLoopFd {
    TAILQ_ENTRY(HrLoopFd) entry;
    int fd;
    uint32_t events;
    HrLoopFdFn *fn;
    void *arg;
    bool removed; /* freed after the current round */
};

struct HrLoopTimer {
    RB_ENTRY(HrLoopTimer) entry;
    int64_t at_ns;
    uint64_t order; /* ties fire in the order of arming */
    bool armed;
    HrLoopTimerFn *fn;
    void *arg;
};

TAILQ_HEAD(FdList, HrLoopFd);
RB_HEAD(HrLoopTimers, HrLoopTimer);

struct HrLoop {
    const HrClock *clock;
    struct FdList watches;
    struct HrLoopTimers timers;
    uint64_t timer_order;
    struct pollfd *polled;
    HrLoopFd **polled_watches;
    uint32_t capacity;
    bool stopped;
    bool any_removed;
    HrLoopTimerFn *after_wait;
    HrLoopTimerFn *before_wait;
    void *hook_arg;
};

/* Orders timers by time, then by the order of arming. */
static int
compare_timers(const HrLoopTimer *left, const HrLoopTimer *right)
{
    if (left->at_ns != right->at_ns) {
        return left->at_ns < right->at_ns ? -1 : 1;
    }
    return (left->order > right->order) - (left->order < right->order);
}

RB_PROTOTYPE(HrLoopTimers, HrLoopTimer, entry, compare_timers)
RB_GENERATE(HrLoopTimers, HrLoopTimer, entry, compare_timers)

/* Creates a loop; the clock must outlive it. */
HrLoop *
HrLoop_Create(const void *parent, const HrClock *clock)
{
    HrLoop *loop = talloc_zero(parent, HrLoop);

    if (loop == NULL) {
        return NULL;
    }
    loop->clock = clock;
    TAILQ_INIT(&loop->watches);
    RB_INIT(&loop->timers);
    return loop;
}

/* Returns the current monotonic time. */
int64_t
HrLoop_NowNs(const HrLoop *loop)
{
    return HrClock_NowNs(loop->clock);
}

/* Watches a descriptor. */
HrLoopFd *
HrLoop_AddFd(HrLoop *loop, int fd, uint32_t events, HrLoopFdFn *fn, void *arg)
{
    HrLoopFd *watch = talloc_zero(loop, HrLoopFd);

    if (watch == NULL) {
        return NULL;
    }
    watch->fd = fd;
    watch->events = events;
    watch->fn = fn;
    watch->arg = arg;
    TAILQ_INSERT_TAIL(&loop->watches, watch, entry);
    return watch;
}

/* Changes the events of a watch. */
void
HrLoop_SetEvents(HrLoop *loop, HrLoopFd *watch, uint32_t events)
{
    (void)loop;
    watch->events = events;
}

/* Ends a watch. */
void
HrLoop_RemoveFd(HrLoop *loop, HrLoopFd *watch)
{
    if (watch == NULL) {
        return;
    }
    watch->removed = true;
    loop->any_removed = true;
}

/* Creates a disarmed timer. */
HrLoopTimer *
HrLoop_AddTimer(HrLoop *loop, HrLoopTimerFn *fn, void *arg)
{
    HrLoopTimer *timer = talloc_zero(loop, HrLoopTimer);

    if (timer == NULL) {
        return NULL;
    }
    timer->fn = fn;
    timer->arg = arg;
    return timer;
}

/* Arms a timer; HR_TIME_NEVER disarms it. */
void
HrLoop_SetTimer(HrLoop *loop, HrLoopTimer *timer, int64_t at_ns)
{
    if (timer->armed) {
        if (timer->at_ns == at_ns) {
            return;
        }
        RB_REMOVE(HrLoopTimers, &loop->timers, timer);
        timer->armed = false;
    }
    if (at_ns != HR_TIME_NEVER) {
        timer->at_ns = at_ns;
        timer->order = loop->timer_order++;
        timer->armed = true;
        RB_INSERT(HrLoopTimers, &loop->timers, timer);
    }
}

/* Removes a timer. */
void
HrLoop_RemoveTimer(HrLoop *loop, HrLoopTimer *timer)
{
    if (timer == NULL) {
        return;
    }
    HrLoop_SetTimer(loop, timer, HR_TIME_NEVER);
    talloc_free(timer);
}

/* Frees the watches that were removed. */
static void
free_removed(HrLoop *loop)
{
    HrLoopFd *watch, *next;

    if (!loop->any_removed) {
        return;
    }
    loop->any_removed = false;
    for (watch = TAILQ_FIRST(&loop->watches); watch != NULL; watch = next) {
        next = TAILQ_NEXT(watch, entry);
        if (watch->removed) {
            TAILQ_REMOVE(&loop->watches, watch, entry);
            talloc_free(watch);
        }
    }
}

/* Makes room for one more polled descriptor. */
static int
reserve_polled(HrLoop *loop, uint32_t count)
{
    uint32_t capacity = loop->capacity;

    if (count < capacity) {
        return HR_OK;
    }
    capacity = capacity == 0 ? FIRST_CAPACITY : capacity * 2;
    loop->polled = talloc_realloc(loop, loop->polled, struct pollfd, capacity);
    loop->polled_watches =
        talloc_realloc(loop, loop->polled_watches, HrLoopFd *, capacity);
    if (loop->polled == NULL || loop->polled_watches == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    loop->capacity = capacity;
    return HR_OK;
}

/* Fills the poll array; yields the number of descriptors. */
static int
fill_polled(HrLoop *loop, uint32_t *count)
{
    HrLoopFd *watch;

    *count = 0;
    for (watch = TAILQ_FIRST(&loop->watches); watch != NULL;
         watch = TAILQ_NEXT(watch, entry)) {
        struct pollfd *polled;

        if (reserve_polled(loop, *count) != HR_OK) {
            return HR_ERR_NO_MEMORY;
        }
        polled = &loop->polled[*count];
        polled->fd = watch->fd;
        polled->revents = 0;
        polled->events =
            (short)(((watch->events & HR_LOOP_READ) != 0 ? POLLIN : 0) |
                    ((watch->events & HR_LOOP_WRITE) != 0 ? POLLOUT : 0));
        loop->polled_watches[*count] = watch;
        (*count)++;
    }
    return HR_OK;
}

/* Returns how long the loop may sleep. */
static int64_t
sleep_ns(const HrLoop *loop, int64_t max_wait_ns)
{
    const HrLoopTimer *first =
        RB_MIN(HrLoopTimers, (struct HrLoopTimers *)&loop->timers);
    int64_t wait_ns;

    if (first == NULL) {
        return max_wait_ns;
    }
    wait_ns = first->at_ns - HrLoop_NowNs(loop);
    if (wait_ns < 0) {
        return 0;
    }
    return wait_ns < max_wait_ns ? wait_ns : max_wait_ns;
}

/* Converts poll events to loop events. */
static uint32_t
loop_events(short revents)
{
    uint32_t events = 0;

    if ((revents & (POLLIN | POLLHUP)) != 0) {
        events |= HR_LOOP_READ;
    }
    if ((revents & POLLOUT) != 0) {
        events |= HR_LOOP_WRITE;
    }
    if ((revents & (POLLERR | POLLNVAL)) != 0) {
        events |= HR_LOOP_ERROR;
    }
    return events;
}

/* Calls the handlers of the descriptors that are ready. */
static void
handle_descriptors(HrLoop *loop, uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        HrLoopFd *watch = loop->polled_watches[i];

        if (loop->polled[i].revents != 0 && !watch->removed) {
            watch->fn(watch->arg, watch->fd,
                      loop_events(loop->polled[i].revents));
        }
    }
}

/* Fires the timers that are due now; timers armed by a handler wait for the
 * next round. */
static void
fire_timers(HrLoop *loop)
{
    int64_t now_ns = HrLoop_NowNs(loop);
    uint64_t end_order = loop->timer_order;
    HrLoopTimer *timer;

    while ((timer = RB_MIN(HrLoopTimers, &loop->timers)) != NULL &&
           timer->at_ns <= now_ns && timer->order < end_order) {
        HrLoop_SetTimer(loop, timer, HR_TIME_NEVER);
        timer->fn(timer->arg);
    }
}

/* Sets functions that are called after each wait and before the next one. */
void
HrLoop_SetHooks(HrLoop *loop, HrLoopTimerFn *after_wait,
                HrLoopTimerFn *before_wait, void *arg)
{
    loop->after_wait = after_wait;
    loop->before_wait = before_wait;
    loop->hook_arg = arg;
}

/* Waits for events for at most max_wait_ns and handles them once. */
int
HrLoop_RunOnce(HrLoop *loop, int64_t max_wait_ns)
{
    struct timespec wait;
    uint32_t count;
    int ready;

    free_removed(loop);
    if (fill_polled(loop, &count) != HR_OK) {
        return HR_ERR_NO_MEMORY;
    }
    wait = HrTime_FromNs(sleep_ns(loop, max_wait_ns));
    ready = ppoll(loop->polled, count, &wait, NULL);
    if (ready < 0 && errno != EINTR) {
        return HR_ERR_IO;
    }
    if (loop->after_wait != NULL) {
        loop->after_wait(loop->hook_arg);
    }
    if (ready > 0) {
        handle_descriptors(loop, count);
    }
    fire_timers(loop);
    if (loop->before_wait != NULL) {
        loop->before_wait(loop->hook_arg);
    }
    return HR_OK;
}

/* Runs until HrLoop_Stop is called from a callback. */
void
HrLoop_Run(HrLoop *loop)
{
    loop->stopped = false;
    while (!loop->stopped) {
        if (HrLoop_RunOnce(loop, 60 * HR_NS_PER_S) != HR_OK) {
            return;
        }
    }
}

/* Makes HrLoop_Run return after the current round. */
void
HrLoop_Stop(HrLoop *loop)
{
    loop->stopped = true;
}
