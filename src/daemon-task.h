#ifndef HR_DAEMON_TASK_H
#define HR_DAEMON_TASK_H

#include <pthread.h>

#include "base-log.h"
#include "base-rng.h"
#include "daemon-message.h"
#include "daemon-snapshot.h"
#include "state-settings.h"
#include "trans-inbox.h"
#include "trans-loop.h"

typedef struct HrTask HrTask;

/* State that all tasks share. Its fields do not change while they run. */
typedef struct HrDaemon {
    const HrSettings *settings;
    const HrClock *clock;
    HrLog *log;
    HrCounters *counters;
    uint64_t daemon_id;
    uint64_t incarnation;
    const char *peer_address; /* announced to other daemons */
    const char *caller_address;
    const char *operator_address;
    HrSnapshots *snapshots;
    HrTask *http;
    HrTask *peer;
    HrTask *control;
    HrTask **query;
    uint32_t query_count;
    HrTask **sched;
    uint32_t sched_count;
} HrDaemon;

/* Handles a message to a task with this state. Owns the message. */
typedef void HrTaskMessageFn(void *state, HrMessage *message);

/* One thread with its inbox and its event loop. */
struct HrTask {
    HrDaemon *daemon;
    const char *name;
    uint32_t index;
    pthread_t thread;
    HrLoop *loop;
    HrInbox *inbox;
    HrLoopFd *inbox_watch;
    HrSnapshotReader *reader;
    HrRng rng;
    /* Handles a message from the inbox and frees it. */
    HrTaskMessageFn *message_fn;
    void *state; /* a talloc child of the task */
    /* Messages for inboxes that were full, oldest first. */
    HrMessage *unsent;
    HrMessage **unsent_end;
    HrLoopTimer *retry_timer;
};

/* Creates a task with its inbox and loop. The caller must set message_fn and
 * state before it starts the task. Returns NULL on failure. */
HrTask *HrTask_Create(HrDaemon *daemon, const char *name, uint32_t index,
                      HrRng rng);

/* Starts the thread of a task. Returns 0, or HR_ERR_UNAVAILABLE if the system
 * cannot create a thread. */
int HrTask_Start(HrTask *task);

/* Waits until the thread of a task has ended; HR_MESSAGE_STOP ends it. */
void HrTask_Join(HrTask *task);

/* Posts a message from one task to another, which then owns it. While the
 * inbox of the receiver is full, the sender queues the message behind earlier
 * ones and retries. A NULL message (out of memory) is only logged. */
void HrTask_PostMessage(HrTask *from, HrTask *to, HrMessage *message);

/* Posts a message from a thread that does not run a task. Returns 0,
 * HR_ERR_FULL, in which case the caller still owns the message, or
 * HR_ERR_NO_MEMORY if message is NULL. */
int HrTask_PostExternalMessage(HrTask *to, HrMessage *message);

/* Returns the scheduling task of this daemon that owns a shard group. */
HrTask *HrDaemon_GetSchedTask(const HrDaemon *daemon, const char *pool,
                              const char *group);

/* Returns the query task that owns a query of this daemon. */
HrTask *HrDaemon_GetQueryTask(const HrDaemon *daemon, const HrQueryId *query);

/* Reports the number of open requests of a task to the control task if it
 * differs from *reported_open, and updates *reported_open. What counts as a
 * request depends on the task. */
void HrTask_ReportOpenCount(HrTask *task, uint32_t open,
                            uint32_t *reported_open);

#endif
