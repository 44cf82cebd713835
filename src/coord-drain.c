#include "coord-drain.h"

#include <talloc.h>

#include "coord-entry.h"

/* Size of the action queue: a whole shutdown takes four actions. */
#define ACTIONS_MAX 4

struct HrDrain {
    HrDrainConfig config;
    HrDrainStep step;
    int64_t step_ends_ns;
    uint32_t open; /* unfinished requests, batches and claims */
    HrDrainAction actions[ACTIONS_MAX];
    uint32_t action_count;
    uint32_t action_next;
};

/* Queues an action for HrDrain_PopAction. Entering a step queues one action,
 * and four steps can be entered. */
static void
queue_action(HrDrain *drain, HrDrainActionKind kind, uint32_t interrupted)
{
    HrDrainAction *action = &drain->actions[drain->action_count++];

    action->kind = kind;
    action->u.interrupted = interrupted;
}

/* Enters step HANDOVER. */
static void
begin_handover(HrDrain *drain, int64_t now_ns)
{
    drain->step = HR_DRAIN_HANDOVER;
    drain->step_ends_ns = now_ns + drain->config.handover_limit_ns;
    queue_action(drain, HR_DRAIN_ACTION_HAND_OVER, 0);
}

/* Enters step DONE, also from an earlier one. */
static void
finish_drain(HrDrain *drain)
{
    drain->step = HR_DRAIN_DONE;
    drain->step_ends_ns = HR_TIME_NEVER;
    queue_action(drain, HR_DRAIN_ACTION_EXIT, drain->open);
}

/* Enters step LEAVING. Until all other daemons have been notified of the
 * shutdown, they still return entry lists with this daemon, and callers cache
 * these for keep_ns. */
static void
begin_leaving(HrDrain *drain, int64_t spread_ns, int64_t now_ns)
{
    if (drain->step != HR_DRAIN_SERVING) {
        return;
    }
    drain->step = HR_DRAIN_LEAVING;
    drain->step_ends_ns = now_ns + spread_ns + drain->config.keep_ns;
    queue_action(drain, HR_DRAIN_ACTION_LEAVE, 0);
}

/* Enters the next step if the current one is complete or out of time. */
static void
advance_step(HrDrain *drain, int64_t now_ns)
{
    if (drain->step == HR_DRAIN_LEAVING && now_ns >= drain->step_ends_ns) {
        drain->step = HR_DRAIN_FINISHING;
        drain->step_ends_ns = now_ns + drain->config.finish_limit_ns;
        queue_action(drain, HR_DRAIN_ACTION_REFUSE_NEW, 0);
    }
    if (drain->step == HR_DRAIN_FINISHING &&
        (drain->open == 0 || now_ns >= drain->step_ends_ns)) {
        begin_handover(drain, now_ns);
    }
    if (drain->step == HR_DRAIN_HANDOVER && now_ns >= drain->step_ends_ns) {
        finish_drain(drain);
    }
}

void
HrDrainConfig_GetDefaults(HrDrainConfig *config)
{
    /* 3 s more, because other daemons list the address until they have been
     * notified that this daemon is leaving. */
    config->keep_ns = (HR_ENTRY_TTL_MAX_MS + 3000) * HR_NS_PER_MS;
    config->finish_limit_ns = 60 * HR_NS_PER_S;
    config->handover_limit_ns = 2 * HR_NS_PER_S;
}

HrDrain *
HrDrain_Create(const void *parent, const HrDrainConfig *config)
{
    HrDrain *drain = talloc_zero(parent, HrDrain);

    if (drain == NULL) {
        return NULL;
    }
    drain->config = *config;
    drain->step = HR_DRAIN_SERVING;
    drain->step_ends_ns = HR_TIME_NEVER;
    return drain;
}

void
HrDrain_HandleEvent(HrDrain *drain, const HrDrainEvent *event)
{
    if (drain->step == HR_DRAIN_DONE) {
        return;
    }
    switch (event->kind) {
    case HR_DRAIN_EVENT_START:
        begin_leaving(drain, event->u.spread_ns, event->now_ns);
        break;
    case HR_DRAIN_EVENT_OPEN_COUNT:
        drain->open = event->u.open;
        break;
    case HR_DRAIN_EVENT_HANDED_OVER:
        if (drain->step == HR_DRAIN_HANDOVER) {
            finish_drain(drain);
        }
        break;
    case HR_DRAIN_EVENT_FORCE:
        finish_drain(drain);
        break;
    case HR_DRAIN_EVENT_TIMER:
        break;
    }
    advance_step(drain, event->now_ns);
}

bool
HrDrain_PopAction(HrDrain *drain, HrDrainAction *action)
{
    if (drain->action_next == drain->action_count) {
        return false;
    }
    *action = drain->actions[drain->action_next++];
    return true;
}

int64_t
HrDrain_GetNextTimer(const HrDrain *drain)
{
    return drain->step_ends_ns;
}

HrDrainStep
HrDrain_GetStep(const HrDrain *drain)
{
    return drain->step;
}
