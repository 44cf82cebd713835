#ifndef HR_COORD_DRAIN_H
#define HR_COORD_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"

/* The steps of a graceful shutdown, in order. */
typedef enum HrDrainStep {
    HR_DRAIN_SERVING,   /* no shutdown has begun */
    HR_DRAIN_LEAVING,   /* not in new entry lists; still accepts requests */
    HR_DRAIN_FINISHING, /* refuses new requests, completes the open ones */
    HR_DRAIN_HANDOVER,  /* waits until other daemons have taken over the
                           groups that this one schedules */
    HR_DRAIN_DONE,      /* the process can exit */
} HrDrainStep;

/* Durations of the steps; see HrDrainConfig_GetDefaults(). */
typedef struct HrDrainConfig {
    int64_t keep_ns;           /* how long callers may cache an entry list with
                                  this daemon */
    int64_t finish_limit_ns;   /* longest FINISHING step; above the longest
                                  deadline of a request */
    int64_t handover_limit_ns; /* longest HANDOVER step; the new scheduler of a
                                  group waits for this long in any case */
} HrDrainConfig;

typedef enum HrDrainEventKind {
    HR_DRAIN_EVENT_START,       /* SIGTERM, or the platform marked this VM as
                                   leaving */
    HR_DRAIN_EVENT_OPEN_COUNT,  /* open: number of unfinished requests, batches
                                   and claims; sent whenever it changes */
    HR_DRAIN_EVENT_HANDED_OVER, /* every group has been handed over */
    HR_DRAIN_EVENT_FORCE,       /* a second signal: exit at once */
    HR_DRAIN_EVENT_TIMER,       /* the time that HrDrain_GetNextTimer returned
                                   is reached */
} HrDrainEventKind;

typedef struct HrDrainEvent {
    HrDrainEventKind kind;
    int64_t now_ns;
    union {
        uint32_t open;
        int64_t spread_ns; /* START: time until all other daemons have been
                              notified that this one is leaving */
    } u;
} HrDrainEvent;

typedef enum HrDrainActionKind {
    HR_DRAIN_ACTION_LEAVE, /* announce to the other daemons that this one is
                              leaving */
    HR_DRAIN_ACTION_REFUSE_NEW, /* answer new requests with reason "draining"
                                   and not_run */
    HR_DRAIN_ACTION_HAND_OVER,  /* send the handover messages of the groups */
    HR_DRAIN_ACTION_EXIT,       /* exit the process; interrupted: number of
                                   requests, batches and claims that are
                                   still open */
} HrDrainActionKind;

typedef struct HrDrainAction {
    HrDrainActionKind kind;
    union {
        uint32_t interrupted;
    } u;
} HrDrainAction;

typedef struct HrDrain HrDrain;

/* Sets all fields to their default values. */
void HrDrainConfig_GetDefaults(HrDrainConfig *config);

/* Creates the shutdown state machine of one daemon, in step SERVING, as a
 * talloc child of parent. Returns NULL when out of memory. */
HrDrain *HrDrain_Create(const void *parent, const HrDrainConfig *config);

/* Processes one event. Call HrDrain_PopAction() afterwards until it returns
 * false. Events after DONE are ignored. */
void HrDrain_HandleEvent(HrDrain *drain, const HrDrainEvent *event);

/* Removes the next pending action from the queue; returns false if there is
 * none. */
bool HrDrain_PopAction(HrDrain *drain, HrDrainAction *action);

/* Returns the monotonic time at which a TIMER event is needed, or
 * HR_TIME_NEVER. */
int64_t HrDrain_GetNextTimer(const HrDrain *drain);

/* Returns the current step; steps only ever advance. */
HrDrainStep HrDrain_GetStep(const HrDrain *drain);

#endif
