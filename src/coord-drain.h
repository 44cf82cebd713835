#ifndef HR_COORD_DRAIN_H
#define HR_COORD_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "base-clock.h"

/* The steps of a graceful shutdown, in order. */
typedef enum HrDrainStep {
    HR_DRAIN_SERVING,
    HR_DRAIN_LEAVING,   /* off the entry list; still accepts requests */
    HR_DRAIN_FINISHING, /* refuses new requests, finishes the open ones */
    HR_DRAIN_HANDOVER,  /* waits until the groups are handed over */
    HR_DRAIN_DONE,
} HrDrainStep;

/* Limits; HrDrainConfig_Default() yields the designed ones. */
typedef struct HrDrainConfig {
    int64_t keep_ns;           /* how long callers keep an entry list */
    int64_t finish_limit_ns;   /* above the longest deadline of a request */
    int64_t handover_limit_ns; /* the new scheduler waits it out anyway */
} HrDrainConfig;

typedef enum HrDrainEventKind {
    HR_DRAIN_EVENT_START,       /* SIGTERM, or the platform's leaving mark */
    HR_DRAIN_EVENT_OPEN,        /* open: requests, batches and claims that are
                                   unfinished; sent whenever it changes */
    HR_DRAIN_EVENT_HANDED_OVER, /* every group has been handed over */
    HR_DRAIN_EVENT_FORCE,       /* exit now: a second signal */
    HR_DRAIN_EVENT_TIMER,
} HrDrainEventKind;

typedef struct HrDrainEvent {
    HrDrainEventKind kind;
    int64_t now_ns;
    union {
        uint32_t open;
        int64_t spread_ns; /* START: until every other daemon knows of it */
    } u;
} HrDrainEvent;

typedef enum HrDrainActionKind {
    HR_DRAIN_ACTION_LEAVE,      /* announce leaving to the membership */
    HR_DRAIN_ACTION_REFUSE_NEW, /* answer new requests with "draining" and
                                   not_run */
    HR_DRAIN_ACTION_HAND_OVER,  /* send the handover messages */
    HR_DRAIN_ACTION_EXIT,       /* interrupted: requests still open */
} HrDrainActionKind;

typedef struct HrDrainAction {
    HrDrainActionKind kind;
    union {
        uint32_t interrupted;
    } u;
} HrDrainAction;

typedef struct HrDrain HrDrain;

/* Fills in the designed values. */
void HrDrainConfig_Default(HrDrainConfig *config);

/* Creates the shutdown state machine of one daemon, in state SERVING. */
HrDrain *HrDrain_Create(const void *parent, const HrDrainConfig *config);

/* Processes one event. */
void HrDrain_Handle(HrDrain *drain, const HrDrainEvent *event);

/* Pops the next pending action; returns false when there is none. */
bool HrDrain_Next(HrDrain *drain, HrDrainAction *action);

/* Returns when a timer event is needed next. */
int64_t HrDrain_NextTimer(const HrDrain *drain);

/* Returns the current step. */
HrDrainStep HrDrain_Step(const HrDrain *drain);

#endif
