#include <stdint.h>
#include <talloc.h>
#include <unistd.h>

#include "coord-drain.h"
#include "daemon-control-state.h"

/* The last frames and answers are written before the daemon exits. */
#define EXIT_DELAY_NS (200 * HR_NS_PER_MS)

/* Entry lists vary the time to keep them by up to a fifth either way. */
#define KEEP_JITTER_PERCENT 120

struct HrControlDrain {
    HrControl *control;
    HrDrain *drain;
    HrLoopTimer *timer;
    HrLoopTimer *exit_timer;
    uint32_t handed_over; /* scheduling tasks that have */
    bool signalled;
};

/* Ends the daemon. */
static void
fire_exit(void *arg)
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
post_kind(HrControlDrain *drain, HrTask *to, HrMessageKind kind)
{
    HrTask_Post(drain->control->task, to, HrMessage_Create(kind));
}

/* Makes the entry refuse new requests. */
static void
refuse_new(HrControlDrain *drain)
{
    HrDaemon *daemon = drain->control->task->daemon;
    uint32_t i;

    post_kind(drain, daemon->http, HR_MESSAGE_REFUSE_NEW_QUERIES);
    for (i = 0; i < daemon->query_count; i++) {
        post_kind(drain, daemon->query[i], HR_MESSAGE_REFUSE_NEW_QUERIES);
    }
}

/* Makes the scheduling tasks hand their groups over. */
static void
hand_over(HrControlDrain *drain)
{
    HrDaemon *daemon = drain->control->task->daemon;
    uint32_t i;

    for (i = 0; i < daemon->sched_count; i++) {
        post_kind(drain, daemon->sched[i], HR_MESSAGE_HAND_OVER_GROUPS);
    }
}

/* Closes the listeners and exits shortly after. */
static void
begin_exit(HrControlDrain *drain, uint32_t interrupted)
{
    HrTask *task = drain->control->task;

    HrLog_Write(task->daemon->log, interrupted > 0 ? HR_LOG_WARN : HR_LOG_INFO,
                "drained", "{s:i}", "interrupted", (int)interrupted);
    post_kind(drain, task->daemon->http, HR_MESSAGE_CLOSE_LISTENERS);
    HrLoop_SetTimer(task->loop, drain->exit_timer,
                    HrLoop_NowNs(task->loop) + EXIT_DELAY_NS);
}

/* Hands one event to the module and carries out its actions. */
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
            HrControlMember_Leave(drain->control->member);
            break;
        case HR_DRAIN_ACTION_REFUSE_NEW:
            refuse_new(drain);
            break;
        case HR_DRAIN_ACTION_HAND_OVER:
            hand_over(drain);
            break;
        case HR_DRAIN_ACTION_EXIT:
            begin_exit(drain, action.u.interrupted);
            break;
        }
    }
    HrLoop_SetTimer(loop, drain->timer, HrDrain_GetNextTimer(drain->drain));
}

/* Passes the time to the module. */
static void
fire_timer(void *arg)
{
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_TIMER};

    handle_event(arg, &event);
}

/* Creates the part. */
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
                     KEEP_JITTER_PERCENT / 100;
    config.finish_limit_ns =
        (int64_t)settings->drain_timeout_ms * HR_NS_PER_MS;
    drain->drain = HrDrain_Create(drain, &config);
    drain->timer = HrLoop_AddTimer(control->task->loop, fire_timer, drain);
    drain->exit_timer = HrLoop_AddTimer(control->task->loop, fire_exit, drain);
    return drain->drain != NULL && drain->timer != NULL &&
                   drain->exit_timer != NULL
               ? drain
               : NULL;
}

/* Starts the shutdown; a second signal ends it at once. */
void
HrControlDrain_Signal(HrControlDrain *drain)
{
    HrDrainEvent event = {.kind = drain->signalled ? HR_DRAIN_EVENT_FORCE
                                                   : HR_DRAIN_EVENT_START};

    if (event.kind == HR_DRAIN_EVENT_START) {
        event.u.spread_ns = HrControlMember_SpreadNs(drain->control->member);
    }
    drain->signalled = true;
    HrControlDrain_OpenChanged(drain);
    handle_event(drain, &event);
}

/* Counts the scheduling tasks that have handed their groups over. */
void
HrControlDrain_HandedOver(HrControlDrain *drain)
{
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_HANDED_OVER};

    drain->handed_over++;
    if (drain->handed_over == drain->control->task->daemon->sched_count) {
        handle_event(drain, &event);
    }
}

/* Passes the number of open requests to the module. */
void
HrControlDrain_OpenChanged(HrControlDrain *drain)
{
    HrDrainEvent event = {.kind = HR_DRAIN_EVENT_OPEN_COUNT};

    if (drain->signalled) {
        event.u.open = HrControl_OpenCount(drain->control);
        handle_event(drain, &event);
    }
}

/* Returns true once the shutdown has begun. */
bool
HrControlDrain_IsDraining(const HrControlDrain *drain)
{
    return HrDrain_GetStep(drain->drain) != HR_DRAIN_SERVING;
}

/* Returns the stable lower-case name of the present step. */
const char *
HrControlDrain_StepName(const HrControlDrain *drain)
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
