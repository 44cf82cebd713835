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

/* What all tasks share; it does not change while they run. */
typedef struct HrDaemon {
    const HrSettings *settings;
    const HrClock *clock;
    HrLog *log;
    HrCounters *counters;
    uint64_t daemon_id;
    uint64_t incarnation;
    const char *peer_address; /* given to other daemons */
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

typedef void HrTaskMessageFn(void *state, HrMessage *message);

/* One thread with its inbox and its loop. */
struct HrTask {
    HrDaemon *daemon;
    const char *name;
    uint32_t index;
    pthread_t thread;
    HrLoop *loop;
    HrInbox *inbox;
    HrLoopFd *watch;
    HrSnapshotReader *reader;
    HrRng rng;
    /* The receiver owns the message. */
    HrTaskMessageFn *handle;
    void *state; /* talloc child of the task */
    /* Messages for full inboxes, oldest first. */
    HrMessage *waiting;
    HrMessage **waiting_end;
    HrLoopTimer *retry_timer;
};

/* Creates a task with its inbox and loop; the caller sets handle and state
 * before the start. Returns NULL when memory runs out. */
HrTask *HrTask_Create(HrDaemon *daemon, const char *name, uint32_t index,
                      HrRng rng);

/* Starts the thread. Returns 0 or HR_ERR_UNAVAILABLE. */
int HrTask_Start(HrTask *task);

/* Waits for the end of the thread, which HR_MESSAGE_STOP causes. */
void HrTask_Join(HrTask *task);

/* Hands a message over; message may be NULL when memory ran out. from is the
 * sending task. While the inbox of the receiver is full, the message waits
 * with the sender, behind earlier ones. */
void HrTask_Post(HrTask *from, HrTask *to, HrMessage *message);

/* Hands a message over from a thread that is no task. Returns 0 or
 * HR_ERR_FULL. */
int HrTask_PostOutside(HrTask *to, HrMessage *message);

/* Returns the task of a scheduling daemon that owns a shard group. */
HrTask *HrDaemon_SchedTask(const HrDaemon *daemon, const char *pool,
                           const char *group);

/* Returns the query task that owns a query of this daemon. */
HrTask *HrDaemon_QueryTask(const HrDaemon *daemon, const HrQueryId *query);

/* Tells the control task how much a task has open, when that differs from
 * *reported_open, which it then brings up to date. */
void HrTask_ReportOpen(HrTask *task, uint32_t open, uint32_t *reported_open);

#endif
