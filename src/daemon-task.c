#include "daemon-task.h"

#include <talloc.h>

/* A power of two, as HrInbox_Create requires; holds one message less. */
#define INBOX_SIZE 65536
/* Time between two tries to put messages into a full inbox. */
#define RETRY_INTERVAL_NS HR_NS_PER_MS

/* Opens the reading section of a task after its wait for events. */
static void
begin_section(void *arg)
{
    HrSnapshotReader_BeginSection(((HrTask *)arg)->reader);
}

/* Closes the reading section of a task before its next wait for events. */
static void
end_section(void *arg)
{
    HrSnapshotReader_EndSection(((HrTask *)arg)->reader);
}

/* Puts the unsent messages into their inboxes, oldest first, until an inbox is
 * full. The messages behind that one wait too, so that each receiver gets its
 * messages in order. */
static void
post_unsent_messages(void *arg)
{
    HrTask *task = arg;

    while (task->unsent != NULL) {
        HrMessage *message = task->unsent, *next = message->next;
        HrTask *to = message->target;

        if (HrInbox_PutMessage(to->inbox, message) != HR_OK) {
            HrLoop_SetTimer(task->loop, task->retry_timer,
                            HrLoop_NowNs(task->loop) + RETRY_INTERVAL_NS);
            return;
        }
        task->unsent = next;
    }
    task->unsent_end = &task->unsent;
}

/* Handles all messages in the inbox. */
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
        task->message_fn(task->state, message);
    }
}

/* Frees the unsent messages and those left in the inbox. */
static int
destroy_task(HrTask *task)
{
    HrMessage *message;

    while ((message = task->unsent) != NULL) {
        task->unsent = message->next;
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
    task->unsent_end = &task->unsent;
    task->loop = HrLoop_Create(task, daemon->clock);
    task->inbox = HrInbox_Create(task, INBOX_SIZE);
    task->reader = HrSnapshots_AddReader(daemon->snapshots);
    if (task->loop == NULL || task->inbox == NULL || task->reader == NULL) {
        talloc_free(task);
        return NULL;
    }
    HrLoop_SetHooks(task->loop, begin_section, end_section, task);
    task->inbox_watch = HrLoop_AddFd(task->loop, HrInbox_GetFd(task->inbox),
                                     HR_LOOP_READ, handle_inbox, task);
    task->retry_timer =
        HrLoop_AddTimer(task->loop, post_unsent_messages, task);
    if (task->inbox_watch == NULL || task->retry_timer == NULL) {
        talloc_free(task);
        return NULL;
    }
    talloc_set_destructor(task, destroy_task);
    return task;
}

/* Runs the loop of a task; the thread function. */
static void *
run_task(void *arg)
{
    HrLoop_Run(((HrTask *)arg)->loop);
    return NULL;
}

/* Starts the thread of a task. */
int
HrTask_Start(HrTask *task)
{
    return pthread_create(&task->thread, NULL, run_task, task) == 0
               ? HR_OK
               : HR_ERR_UNAVAILABLE;
}

/* Waits until the thread of a task has ended. */
void
HrTask_Join(HrTask *task)
{
    pthread_join(task->thread, NULL);
}

/* Posts a message, or queues it while the inbox of the receiver is full. */
void
HrTask_PostMessage(HrTask *from, HrTask *to, HrMessage *message)
{
    if (message == NULL) {
        HrLog_Write(from->daemon->log, HR_LOG_ERROR, "out_of_memory", "{s:s}",
                    "task", from->name);
        return;
    }
    if (from->unsent == NULL &&
        HrInbox_PutMessage(to->inbox, message) == HR_OK) {
        return;
    }
    message->target = to;
    message->next = NULL;
    *from->unsent_end = message;
    from->unsent_end = &message->next;
    HrLoop_SetTimer(from->loop, from->retry_timer,
                    HrLoop_NowNs(from->loop) + RETRY_INTERVAL_NS);
}

/* Posts a message from a thread that does not run a task. */
int
HrTask_PostExternalMessage(HrTask *to, HrMessage *message)
{
    return message != NULL ? HrInbox_PutMessage(to->inbox, message)
                           : HR_ERR_NO_MEMORY;
}

/* Returns the scheduling task of this daemon that owns a shard group. */
HrTask *
HrDaemon_GetSchedTask(const HrDaemon *daemon, const char *pool,
                      const char *group)
{
    uint64_t hash = HrHash_String(group, HrHash_String(pool, 0));

    return daemon->sched[hash % daemon->sched_count];
}

/* Returns the query task that owns a query of this daemon. Each task starts
 * its query counter at its index and increments it by the number of tasks. */
HrTask *
HrDaemon_GetQueryTask(const HrDaemon *daemon, const HrQueryId *query)
{
    return daemon->query[query->counter % daemon->query_count];
}

/* Reports the number of open requests to the control task if it has
 * changed. */
void
HrTask_ReportOpenCount(HrTask *task, uint32_t open, uint32_t *reported_open)
{
    HrMessage *message;

    if (open == *reported_open) {
        return;
    }
    *reported_open = open;
    message = HrMessage_Create(HR_MESSAGE_OPEN_COUNT);
    if (message != NULL) {
        message->u.open_count.task = task;
        message->u.open_count.open = open;
    }
    HrTask_PostMessage(task, task->daemon->control, message);
}
