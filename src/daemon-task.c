#include "daemon-task.h"

#include <talloc.h>

#define INBOX_SIZE 65536
#define RETRY_NS HR_NS_PER_MS

/* Opens the reading section of a task that wakes up. */
static void
after_wait(void *arg)
{
    HrSnapshotReader_BeginSection(((HrTask *)arg)->reader);
}

/* Closes the reading section of a task that goes to sleep. */
static void
before_wait(void *arg)
{
    HrSnapshotReader_EndSection(((HrTask *)arg)->reader);
}

/* Puts the waiting messages into their inboxes, as far as these have room. A
 * receiver that is full holds up the ones behind it, so that the order of the
 * messages to each receiver stays. */
static void
retry_waiting(void *arg)
{
    HrTask *task = arg;

    while (task->waiting != NULL) {
        HrMessage *message = task->waiting, *next = message->next;
        HrTask *to = message->target;

        if (HrInbox_PutMessage(to->inbox, message) != HR_OK) {
            HrLoop_SetTimer(task->loop, task->retry_timer,
                            HrLoop_NowNs(task->loop) + RETRY_NS);
            return;
        }
        task->waiting = next;
    }
    task->waiting_end = &task->waiting;
}

/* Handles the messages that wait in the inbox. */
static void
handle_inbox(void *arg, int fd, uint32_t events)
{
    HrTask *task = arg;
    HrMessage *message;

    (void)fd;
    (void)events;
    HrInbox_ClearWakeUp(task->inbox);
    while ((message = HrInbox_PopMessage(task->inbox)) != NULL) {
        if (message->kind == HR_MESSAGE_STOP) {
            talloc_free(message);
            HrLoop_Stop(task->loop);
            continue;
        }
        task->handle(task->state, message);
    }
}

/* Frees the messages that nobody has taken. */
static int
destroy_task(HrTask *task)
{
    HrMessage *message;

    while ((message = task->waiting) != NULL) {
        task->waiting = message->next;
        talloc_free(message);
    }
    while ((message = HrInbox_PopMessage(task->inbox)) != NULL) {
        talloc_free(message);
    }
    return 0;
}

/* Creates a task with its inbox and loop. */
HrTask *
HrTask_Create(HrDaemon *daemon, const char *name, uint32_t index, HrRng rng)
{
    HrTask *task = talloc_zero(NULL, HrTask);

    if (task == NULL) {
        return NULL;
    }
    task->daemon = daemon;
    task->name = name;
    task->index = index;
    task->rng = rng;
    task->waiting_end = &task->waiting;
    task->loop = HrLoop_Create(task, daemon->clock);
    task->inbox = HrInbox_Create(task, INBOX_SIZE);
    task->reader = HrSnapshots_AddReader(daemon->snapshots);
    if (task->loop == NULL || task->inbox == NULL || task->reader == NULL) {
        talloc_free(task);
        return NULL;
    }
    HrLoop_SetHooks(task->loop, after_wait, before_wait, task);
    task->watch = HrLoop_AddFd(task->loop, HrInbox_GetFd(task->inbox),
                               HR_LOOP_READ, handle_inbox, task);
    task->retry_timer = HrLoop_AddTimer(task->loop, retry_waiting, task);
    if (task->watch == NULL || task->retry_timer == NULL) {
        talloc_free(task);
        return NULL;
    }
    talloc_set_destructor(task, destroy_task);
    return task;
}

/* Body of the thread. */
static void *
run_task(void *arg)
{
    HrLoop_Run(((HrTask *)arg)->loop);
    return NULL;
}

/* Starts the thread. */
int
HrTask_Start(HrTask *task)
{
    return pthread_create(&task->thread, NULL, run_task, task) == 0
               ? HR_OK
               : HR_ERR_UNAVAILABLE;
}

/* Waits for the end of the thread. */
void
HrTask_Join(HrTask *task)
{
    pthread_join(task->thread, NULL);
}

/* Hands a message over. */
void
HrTask_Post(HrTask *from, HrTask *to, HrMessage *message)
{
    if (message == NULL) {
        HrLog_Write(from->daemon->log, HR_LOG_ERROR, "out_of_memory", "{s:s}",
                    "task", from->name);
        return;
    }
    if (from->waiting == NULL &&
        HrInbox_PutMessage(to->inbox, message) == HR_OK) {
        return;
    }
    message->target = to;
    message->next = NULL;
    *from->waiting_end = message;
    from->waiting_end = &message->next;
    HrLoop_SetTimer(from->loop, from->retry_timer,
                    HrLoop_NowNs(from->loop) + RETRY_NS);
}

/* Hands a message over from a thread that is no task. */
int
HrTask_PostOutside(HrTask *to, HrMessage *message)
{
    return message != NULL ? HrInbox_PutMessage(to->inbox, message)
                           : HR_ERR_NO_MEMORY;
}

/* Returns the task of a scheduling daemon that owns a shard group. */
HrTask *
HrDaemon_SchedTask(const HrDaemon *daemon, const char *pool, const char *group)
{
    uint64_t hash = HrHash_String(group, HrHash_String(pool, 0));

    return daemon->sched[hash % daemon->sched_count];
}

/* Returns the query task that owns a query of this daemon. Each task counts
 * in steps of the number of tasks, starting at its index. */
HrTask *
HrDaemon_QueryTask(const HrDaemon *daemon, const HrQueryId *query)
{
    return daemon->query[query->counter % daemon->query_count];
}

/* Tells the control task how much a task has open, when that has changed. */
void
HrTask_ReportOpen(HrTask *task, uint32_t open, uint32_t *reported_open)
{
    HrMessage *message;

    if (open == *reported_open) {
        return;
    }
    *reported_open = open;
    message = HrMessage_Create(HR_MESSAGE_LOAD);
    if (message != NULL) {
        message->u.load.task = task;
        message->u.load.open = open;
    }
    HrTask_Post(task, task->daemon->control, message);
}
