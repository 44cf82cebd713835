#include <stdint.h>
#include <talloc.h>
#include <unistd.h>

#include "coord-drain.h"
#include "daemon-control-state.h"

/* Time for the last frames and answers to be written before the daemon
 * exits. */
#define EXIT_DELAY_NS (200 * HR_NS_PER_MS)

/* Longest lifetime of an entry list in percent of the setting: each list
 * varies it by up to a fifth either way. */
#define ENTRY_TTL_MAX_PERCENT 120

struct HrControlDrain {
    HrControl *control;
    HrDrain *drain;
    HrLoopTimer *timer;
    HrLoopTimer *exit_timer;
    uint32_t handover_count; /* scheduling tasks that have handed over their
                                groups */
    bool shutdown_requested;
};

/* Signals the exit eventfd, which makes the daemon exit. */
static void
signal_exit(void *arg)
{
    const HrControlDrain *drain = arg;
    const uint64_t one = 1;

    if (write(drain->control->exit_fd, &one, sizeof(one)) < 0) {
        HrLog_Write(drain->control->task->daemon->log, HR_LOG_ERROR,
                    "exit_failed", NULL);
    }
}

/* Posts a message without content to a task. */
static void
post_empty_message(HrControlDrain *drain, HrTask *to, HrMessageKind kind)
{
    HrTask_PostMessage(drain->control->task, to, HrMessage_Create(kind));
}

/* Makes the query tasks refuse new queries, and the HTTP task report the
 * number of its open requests. */
static void
start_refusing_queries(HrControlDrain *drain)
{
    HrDaemon *daemon = drain->control->task->daemon;
    uint32_t i;

    post_empty_message(drain, daemon->http, HR_MESSAGE_REFUSE_NEW_QUERIES);
    for (i = 0; i < daemon->query_count; i++) {
        post_empty_message(drain, daemon->query[i],
                           HR_MESSAGE_REFUSE_NEW_QUERIES);
    }
}

/* Makes the scheduling tasks hand over their groups. */
static void
start_handover(HrControlDrain *drain)
{
    HrDaemon *daemon = drain->control->task->daemon;
    uint32_t i;

    for (i = 0; i < daemon->sched_count; i++) {
        post_empty_message(drain, daemon->sched[i],
                           HR_MESSAGE_HAND_OVER_GROUPS);
    }
}

/* Makes the query tasks answer the open queries, closes the listeners and
 * schedules the exit. interrupted is the number of requests that are still
 * open. */
static void
begin_exit(HrControlDrain *drain, uint32_t interrupted)
{
    HrTask *task = drain->control->task;
    uint32_t i;

    HrLog_Write(task->daemon->log, interrupted > 0 ? HR_LOG_WARN : HR_LOG_INFO,
                "drained", "{s:i}", "interrupted", (int)interrupted);
    for (i = 0; i < task->daemon->query_count; i++) {
        post_empty_message(drain, task->daemon->query[i],
                           HR_MESSAGE_END_QUERIES);
    }
    post_empty_message(drain, task->daemon->http, HR_MESSAGE_CLOSE_LISTENERS);
    HrLoop_SetTimer(task->loop, drain->exit_timer,
                    HrLoop_NowNs(task->loop) + EXIT_DELAY_NS);
}

/* Processes one event in the shutdown module and performs the resulting
 * actions. */
static void
handle_event(HrControlDrain *drain, HrDrainEvent *event)
{
    HrLoop *loop = drain->control->task->loop;
    HrDrainAction action;

    event->now_ns = HrLoop_NowNs(loop);
    HrDrain_HandleEvent(drain->drain, event);
    while (HrDrain_PopAction(drain->drain, &action)) {
        switch (action.kind) {
        case HR_DRAIN_ACTION_LEAVE:
            HrControlMember_AnnounceLeaving(drain->control->member);
            break;
        case HR_DRAIN_ACTION_REFUSE_NEW:
            start_refusing_queries(drain);
            break;
        case HR_DRAIN_ACTION_HAND_OVER:
            start_handover(drain);
            break;
        case HR_DRAIN_ACTION_EXIT:
            begin_exit(drain, action.u.interrupted);
            break;
        }
    }
    HrLoop_SetTimer(loop, drain->timer, HrDrain_GetNextTimer(drain->drain));
}

/* Sends a TIMER event to the shutdown module. */
static void
handle_timer(void *arg)
{
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_TIMER};

    handle_event(arg, &event);
}

/* Creates the shutdown part. Returns NULL when out of memory. */
HrControlDrain *
HrControlDrain_Create(HrControl *control)
{
    const HrSettings *settings = control->task->daemon->settings;
    HrControlDrain *drain = talloc_zero(control, HrControlDrain);
    HrDrainConfig config;

    if (drain == NULL) {
        return NULL;
    }
    drain->control = control;
    control->drain = drain;
    HrDrainConfig_GetDefaults(&config);
    config.keep_ns = (int64_t)settings->entries_keep_ms * HR_NS_PER_MS *
                     ENTRY_TTL_MAX_PERCENT / 100;
    config.finish_limit_ns =
        (int64_t)settings->drain_timeout_ms * HR_NS_PER_MS;
    drain->drain = HrDrain_Create(drain, &config);
    drain->timer = HrLoop_AddTimer(control->task->loop, handle_timer, drain);
    drain->exit_timer =
        HrLoop_AddTimer(control->task->loop, signal_exit, drain);
    return drain->drain != NULL && drain->timer != NULL &&
                   drain->exit_timer != NULL
               ? drain
               : NULL;
}

/* Starts the graceful shutdown, after a signal or when the platform has marked
 * this VM as leaving. A second call ends it without waiting for open requests.
 */
void
HrControlDrain_RequestShutdown(HrControlDrain *drain)
{
    HrDrainEvent event = {.kind = drain->shutdown_requested
                                      ? HR_DRAIN_EVENT_FORCE
                                      : HR_DRAIN_EVENT_START};

    if (event.kind == HR_DRAIN_EVENT_START) {
        event.u.spread_ns =
            HrControlMember_GetSpreadNs(drain->control->member);
    }
    drain->shutdown_requested = true;
    HrControlDrain_UpdateOpenCount(drain);
    handle_event(drain, &event);
}

/* Counts a scheduling task that has handed over its groups, and notifies the
 * shutdown module after the last one. */
void
HrControlDrain_CountHandover(HrControlDrain *drain)
{
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_HANDED_OVER};

    drain->handover_count++;
    if (drain->handover_count == drain->control->task->daemon->sched_count) {
        handle_event(drain, &event);
    }
}

/* Passes the result of HrControl_GetOpenCount() to the shutdown module, if a
 * shutdown was requested. */
void
HrControlDrain_UpdateOpenCount(HrControlDrain *drain)
{
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_OPEN_COUNT};

    if (drain->shutdown_requested) {
        event.u.open = HrControl_GetOpenCount(drain->control);
        handle_event(drain, &event);
    }
}

/* Returns true once the shutdown has begun. */
bool
HrControlDrain_IsDraining(const HrControlDrain *drain)
{
    return HrDrain_GetStep(drain->drain) != HR_DRAIN_SERVING;
}

/* Returns the lower-case name of the current step. Names are reported to
 * operators, so they must not change. */
const char *
HrControlDrain_GetStepName(const HrControlDrain *drain)
{
    switch (HrDrain_GetStep(drain->drain)) {
    case HR_DRAIN_SERVING:
        return "serving";
    case HR_DRAIN_LEAVING:
        return "leaving";
    case HR_DRAIN_FINISHING:
        return "finishing";
    case HR_DRAIN_HANDOVER:
        return "handover";
    case HR_DRAIN_DONE:
        return "done";
    }
    return "other";
}
