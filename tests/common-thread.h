#ifndef HR_COMMON_THREAD_H
#define HR_COMMON_THREAD_H

#include <pthread.h>

#include "trans-inbox.h"
#include "trans-loop.h"

/* A thread that runs a loop until it is stopped. */
typedef struct TestThread {
    pthread_t thread;
    HrClock clock;
    HrLoop *loop;
    HrInbox *inbox;
    HrLoopFd *watch;
    void (*start)(struct TestThread *thread); /* on the new thread */
    void (*stop)(struct TestThread *thread);  /* on the new thread */
    void *arg;
    pthread_barrier_t started;
} TestThread;

/* Creates a thread, which calls start and then runs its loop; returns when
 * start has returned. Initializes all fields of thread. */
void TestThread_Start(TestThread *thread, void (*start)(TestThread *thread),
                      void (*stop)(TestThread *thread), void *arg);

/* Stops the loop, waits until the thread has called stop, and joins it. */
void TestThread_Stop(TestThread *thread);

/* Runs a loop on the calling thread until *value is at least wanted. Fails the
 * test after 60 s. */
void TestLoop_RunUntilCount(HrLoop *loop, const uint32_t *value,
                            uint32_t wanted);

#endif
