#include "common-thread.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#include <cmocka.h>

#define RUN_LIMIT_NS (60 * HR_NS_PER_S)

/* Stops the loop when a message is received. */
static void
handle_stop_message(void *arg, int fd, uint32_t events)
{
    TestThread *thread = arg;

    (void)fd;
    (void)events;
    HrInbox_ClearWakeUp(thread->inbox);
    if (HrInbox_PopMessage(thread->inbox) != NULL) {
        HrLoop_Stop(thread->loop);
    }
}

/* The function of the thread: creates its loop, calls start, runs the loop
 * until it is stopped, and calls stop. */
static void *
run_thread(void *arg)
{
    TestThread *thread = arg;

    thread->loop = HrLoop_Create(NULL, &thread->clock);
    thread->watch = HrLoop_AddFd(thread->loop, HrInbox_GetFd(thread->inbox),
                                 HR_LOOP_READ, handle_stop_message, thread);
    thread->start(thread);
    pthread_barrier_wait(&thread->started);
    HrLoop_Run(thread->loop);
    thread->stop(thread);
    talloc_free(thread->loop);
    return NULL;
}

/* Creates a thread, which calls start and then runs a loop. */
void
TestThread_Start(TestThread *thread, void (*start)(TestThread *thread),
                 void (*stop)(TestThread *thread), void *arg)
{
    thread->clock = HrClock_MakeSystem();
    thread->inbox = HrInbox_Create(NULL, 8);
    thread->start = start;
    thread->stop = stop;
    thread->arg = arg;
    pthread_barrier_init(&thread->started, NULL, 2);
    assert_int_equal(pthread_create(&thread->thread, NULL, run_thread, thread),
                     0);
    pthread_barrier_wait(&thread->started);
}

/* Stops the loop, waits until the thread has called stop, and joins it. */
void
TestThread_Stop(TestThread *thread)
{
    assert_int_equal(HrInbox_PutMessage(thread->inbox, thread), HR_OK);
    pthread_join(thread->thread, NULL);
    pthread_barrier_destroy(&thread->started);
    talloc_free(thread->inbox);
}

/* Runs a loop on the calling thread until *value is at least wanted. */
void
TestLoop_RunUntilCount(HrLoop *loop, const uint32_t *value, uint32_t wanted)
{
    int64_t end_ns = HrLoop_NowNs(loop) + RUN_LIMIT_NS;

    while (*value < wanted) {
        assert_true(HrLoop_NowNs(loop) < end_ns);
        assert_int_equal(HrLoop_RunOnce(loop, HR_NS_PER_S), HR_OK);
    }
}
