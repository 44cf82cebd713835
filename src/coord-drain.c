#include "coord-drain.h"

#include <talloc.h>

#include "coord-entry.h"

/* The most actions that one event can cause. */
#define ACTIONS_MAX 4

struct HrDrain {
    HrDrainConfig config;
    HrDrainStep step;
    int64_t step_ends_ns;
    uint32_t open;
    HrDrainAction actions[ACTIONS_MAX];
    uint32_t action_count;
    uint32_t action_next;
};

/* Queues an action; each step queues one, and there are four. */
static void
push_action(HrDrain *drain, HrDrainActionKind kind, uint32_t interrupted)
{
    HrDrainAction *action = &drain->actions[drain->action_count++];

    action->kind = kind;
    action->u.interrupted = interrupted;
}

/* Enters the step that follows FINISHING. */
static void
begin_handover(HrDrain *drain, int64_t now_ns)
{
    drain->step = HR_DRAIN_HANDOVER;
    drain->step_ends_ns = now_ns + drain->config.handover_limit_ns;
    push_action(drain, HR_DRAIN_ACTION_HAND_OVER, 0);
}

/* Ends the shutdown. */
static void
finish_drain(HrDrain *drain)
{
    drain->step = HR_DRAIN_DONE;
    drain->step_ends_ns = HR_TIME_NEVER;
    push_action(drain, HR_DRAIN_ACTION_EXIT, drain->open);
}

/* Enters the step that follows SERVING. Until all others know of the shutdown
 * they hand out lists with this daemon, and callers keep the last of these. */
static void
begin_leaving(HrDrain *drain, int64_t spread_ns, int64_t now_ns)
{
    if (drain->step != HR_DRAIN_SERVING) {
        return;
    }
    drain->step = HR_DRAIN_LEAVING;
    drain->step_ends_ns = now_ns + spread_ns + drain->config.keep_ns;
    push_action(drain, HR_DRAIN_ACTION_LEAVE, 0);
}

/* Moves on when the current step is complete or has reached its limit. */
static void
advance_step(HrDrain *drain, int64_t now_ns)
{
    if (drain->step == HR_DRAIN_LEAVING && now_ns >= drain->step_ends_ns) {
        drain->step = HR_DRAIN_FINISHING;
        drain->step_ends_ns = now_ns + drain->config.finish_limit_ns;
        push_action(drain, HR_DRAIN_ACTION_REFUSE_NEW, 0);
    }
    if (drain->step == HR_DRAIN_FINISHING &&
        (drain->open == 0 || now_ns >= drain->step_ends_ns)) {
        begin_handover(drain, now_ns);
    }
    if (drain->step == HR_DRAIN_HANDOVER && now_ns >= drain->step_ends_ns) {
        finish_drain(drain);
    }
}

/* Fills in the designed values. */
void
HrDrainConfig_Default(HrDrainConfig *config)
{
    /* 3 s more: other daemons hand out the address until they have heard. */
    config->keep_ns = (HR_ENTRY_TTL_MAX_MS + 3000) * HR_NS_PER_MS;
    config->finish_limit_ns = 60 * HR_NS_PER_S;
    config->handover_limit_ns = 2 * HR_NS_PER_S;
}

/* Creates the shutdown state machine of one daemon, in state SERVING. */
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

/* Processes one event. */
void
HrDrain_Handle(HrDrain *drain, const HrDrainEvent *event)
{
    if (drain->step == HR_DRAIN_DONE) {
        return;
    }
    switch (event->kind) {
    case HR_DRAIN_EVENT_START:
        begin_leaving(drain, event->u.spread_ns, event->now_ns);
        break;
    case HR_DRAIN_EVENT_OPEN:
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

/* Pops the next pending action; returns false when there is none. */
bool
HrDrain_Next(HrDrain *drain, HrDrainAction *action)
{
    if (drain->action_next == drain->action_count) {
        return false;
    }
    *action = drain->actions[drain->action_next++];
    return true;
}

/* Returns when a timer event is needed next. */
int64_t
HrDrain_NextTimer(const HrDrain *drain)
{
    return drain->step_ends_ns;
}

/* Returns the current step. */
HrDrainStep
HrDrain_Step(const HrDrain *drain)
{
    return drain->step;
}
