#include "trans-loop.h"

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <errno.h>
#include <sys/epoll.h>
#include <talloc.h>
#include <unistd.h>

/* Maximum number of descriptors handled in one round. Further ready ones are
 * handled in the next rounds. */
#define EVENTS_PER_ROUND 256

/* The process counts as paused if the time since the last check exceeds the
 * intended wait by more than this. A round takes only milliseconds, even on a
 * quarter of a core. */
#define PAUSE_MIN_NS (500 * HR_NS_PER_MS)

struct HrLoopFd {
    TAILQ_ENTRY(HrLoopFd) entry;
    int fd;
    uint32_t events;
    HrLoopFdFn *fn;
    void *arg;
    bool removed; /* fn must not be called any more */
};

struct HrLoopTimer {
    RB_ENTRY(HrLoopTimer) entry;
    int64_t at_ns;
    uint64_t order; /* timers of the same time fire in the order of arming */
    bool armed;
    HrLoopTimerFn *fn;
    void *arg;
};

TAILQ_HEAD(FdList, HrLoopFd);
RB_HEAD(HrLoopTimers, HrLoopTimer);

struct HrLoop {
    const HrClock *clock;
    int epoll_fd;
    struct FdList removed; /* watches to free at the start of the next round */
    struct epoll_event ready[EVENTS_PER_ROUND];
    struct HrLoopTimers timers;
    uint64_t timer_order;
    bool stopped;
    HrLoopTimerFn *after_wait;
    HrLoopTimerFn *before_wait;
    void *hook_arg;
    int64_t last_check_ns; /* time of the last check for a pause */
    int64_t waited_ns;     /* total time spent waiting for events */
    HrLoopPauseFn *pause_fn;
    void *pause_arg;
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

/* Closes the descriptor of a loop that is being freed. */
static int
destroy_loop(HrLoop *loop)
{
    close(loop->epoll_fd);
    return 0;
}

/* Creates a loop; the clock must outlive it. */
HrLoop *
HrLoop_Create(const void *parent, const HrClock *clock)
{
    HrLoop *loop = talloc_zero(parent, HrLoop);

    if (loop == NULL) {
        return NULL;
    }
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (loop->epoll_fd < 0) {
        talloc_free(loop);
        return NULL;
    }
    talloc_set_destructor(loop, destroy_loop);
    loop->clock = clock;
    loop->last_check_ns = HrLoop_NowNs(loop);
    TAILQ_INIT(&loop->removed);
    RB_INIT(&loop->timers);
    return loop;
}

/* Returns the current monotonic time. */
int64_t
HrLoop_NowNs(const HrLoop *loop)
{
    return HrClock_GetMonotonicNs(loop->clock);
}

/* Adds, changes or removes a watch in the kernel. Returns 0, or -1 with errno
 * set. */
static int
update_epoll(const HrLoop *loop, HrLoopFd *watch, int operation)
{
    struct epoll_event event = {.data.ptr = watch};

    event.events |= (watch->events & HR_LOOP_READ) != 0 ? EPOLLIN : 0;
    event.events |= (watch->events & HR_LOOP_WRITE) != 0 ? EPOLLOUT : 0;
    return epoll_ctl(loop->epoll_fd, operation, watch->fd, &event);
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
    if (update_epoll(loop, watch, EPOLL_CTL_ADD) != 0) {
        talloc_free(watch);
        return NULL;
    }
    return watch;
}

/* Changes the events of a watch. */
void
HrLoop_SetEvents(HrLoop *loop, HrLoopFd *watch, uint32_t events)
{
    if (watch->events != events) {
        watch->events = events;
        update_epoll(loop, watch, EPOLL_CTL_MOD);
    }
}

/* Ends a watch. Its descriptor must still be open, because the number of a
 * closed one may already belong to another watch. */
void
HrLoop_RemoveFd(HrLoop *loop, HrLoopFd *watch)
{
    if (watch == NULL || watch->removed) {
        return;
    }
    update_epoll(loop, watch, EPOLL_CTL_DEL);
    watch->removed = true;
    TAILQ_INSERT_TAIL(&loop->removed, watch, entry);
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

/* Frees removed watches. */
static void
free_removed_watches(HrLoop *loop)
{
    HrLoopFd *watch;

    while ((watch = TAILQ_FIRST(&loop->removed)) != NULL) {
        TAILQ_REMOVE(&loop->removed, watch, entry);
        talloc_free(watch);
    }
}

/* Returns the time to the next timer, at most max_wait_ns. */
static int64_t
get_wait_ns(const HrLoop *loop, int64_t max_wait_ns)
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

/* Converts the kernel's events to loop events. */
static uint32_t
convert_events(uint32_t ready)
{
    uint32_t events = 0;

    if ((ready & (EPOLLIN | EPOLLHUP)) != 0) {
        events |= HR_LOOP_READ;
    }
    if ((ready & EPOLLOUT) != 0) {
        events |= HR_LOOP_WRITE;
    }
    if ((ready & EPOLLERR) != 0) {
        events |= HR_LOOP_ERROR;
    }
    return events;
}

/* Calls the functions of the ready descriptors. */
static void
call_fd_handlers(HrLoop *loop, int count)
{
    int i;

    for (i = 0; i < count; i++) {
        HrLoopFd *watch = loop->ready[i].data.ptr;

        if (!watch->removed) {
            watch->fn(watch->arg, watch->fd,
                      convert_events(loop->ready[i].events));
        }
    }
}

/* Fires the timers that are due. Those armed by a callback wait for the next
 * round. */
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

/* Sets functions that are called after each wait for events, and before the
 * next one. */
void
HrLoop_SetHooks(HrLoop *loop, HrLoopTimerFn *after_wait,
                HrLoopTimerFn *before_wait, void *arg)
{
    loop->after_wait = after_wait;
    loop->before_wait = before_wait;
    loop->hook_arg = arg;
}

/* Sets the function that is called after a pause. */
void
HrLoop_SetPauseFn(HrLoop *loop, HrLoopPauseFn *fn, void *arg)
{
    loop->pause_fn = fn;
    loop->pause_arg = arg;
}

/* Returns true if the process was paused since the events of the current round
 * were received. */
bool
HrLoop_HasPaused(const HrLoop *loop)
{
    return HrLoop_NowNs(loop) - loop->last_check_ns > PAUSE_MIN_NS;
}

int64_t
HrLoop_GetWaitedNs(const HrLoop *loop)
{
    return loop->waited_ns;
}

/* Reports a pause if the time since the last check exceeds waited_ns, the
 * intended wait, by more than PAUSE_MIN_NS. */
static void
check_for_pause(HrLoop *loop, int64_t waited_ns)
{
    int64_t now_ns = HrLoop_NowNs(loop);
    int64_t pause_ns = now_ns - loop->last_check_ns - waited_ns;

    loop->last_check_ns = now_ns;
    if (pause_ns > PAUSE_MIN_NS && loop->pause_fn != NULL) {
        loop->pause_fn(loop->pause_arg, pause_ns);
    }
}

/* Runs one round: waits for events, calls the functions of the ready
 * descriptors, and fires the timers that are due. */
int
HrLoop_RunOnce(HrLoop *loop, int64_t max_wait_ns)
{
    struct timespec wait;
    int64_t started_ns, wait_ns;
    int ready;

    free_removed_watches(loop);
    check_for_pause(loop, 0);
    started_ns = loop->last_check_ns;
    wait_ns = get_wait_ns(loop, max_wait_ns);
    wait = HrTime_FromNs(wait_ns);
    ready = epoll_pwait2(loop->epoll_fd, loop->ready, EVENTS_PER_ROUND, &wait,
                         NULL);
    if (ready < 0 && errno != EINTR) {
        return HR_ERR_IO;
    }
    check_for_pause(loop, wait_ns);
    loop->waited_ns += loop->last_check_ns - started_ns;
    if (loop->after_wait != NULL) {
        loop->after_wait(loop->hook_arg);
    }
    call_fd_handlers(loop, ready);
    fire_timers(loop);
    if (loop->before_wait != NULL) {
        loop->before_wait(loop->hook_arg);
    }
    return HR_OK;
}

/* Runs until HrLoop_Stop is called from a callback, or until waiting fails. */
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
