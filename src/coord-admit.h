#ifndef HR_COORD_ADMIT_H
#define HR_COORD_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

#define HR_ADMIT_CLASSES 8

/* A class that is passed over this often while it waits is served next. */
#define HR_ADMIT_PASSED_OVER_LIMIT 40

/* The bound on starvation: a class with a waiting entry that can still finish
 * in time is served at least once in this many starts. All other classes may
 * reach the limit first. */
#define HR_ADMIT_STARVATION_STARTS                                            \
    (HR_ADMIT_PASSED_OVER_LIMIT + HR_ADMIT_CLASSES)

/* Admission to a bounded number of places: queues by class, with a fair share
 * per caller. Every HR_ADMIT_ARRIVE is answered by exactly one HR_ADMIT_START
 * or HR_ADMIT_REFUSE, unless HR_ADMIT_WITHDRAW comes first. An entry that was
 * started occupies a place until HR_ADMIT_FINISH. */
typedef struct HrAdmit HrAdmit;

typedef struct HrAdmitConfig {
    uint32_t places;               /* entries that may run at once */
    uint32_t queue_limit;          /* waiting entries, over all classes */
    uint32_t caller_share_percent; /* most of the queue that one caller may
                                      takes; 0: no limit */
    int64_t expected_service_ns;   /* until service times are known */
} HrAdmitConfig;

typedef enum HrAdmitEventKind {
    HR_ADMIT_ARRIVE,
    HR_ADMIT_WITHDRAW,
    HR_ADMIT_FINISH,
    HR_ADMIT_PLACES,
    HR_ADMIT_TIMER,
} HrAdmitEventKind;

typedef struct HrAdmitArrive {
    uint64_t id; /* unique among the entries that wait or run */
    uint32_t priority;
    const char *caller; /* NULL counts as one caller */
    int64_t deadline_ns;
    uint32_t caller_share_percent; /* of the route; 0: as configured */
} HrAdmitArrive;

typedef struct HrAdmitFinish {
    uint64_t id;
    int64_t service_ns; /* time from start to finish; negative: not known */
} HrAdmitFinish;

/* Changed limits. */
typedef struct HrAdmitPlaces {
    uint32_t places;
    uint32_t queue_limit;
} HrAdmitPlaces;

typedef struct HrAdmitEvent {
    HrAdmitEventKind kind;
    int64_t now_ns;
    union {
        HrAdmitArrive arrive;
        uint64_t withdraw_id;
        HrAdmitFinish finish;
        HrAdmitPlaces places;
    } u;
} HrAdmitEvent;

typedef enum HrAdmitActionKind {
    HR_ADMIT_START,
    HR_ADMIT_REFUSE,
} HrAdmitActionKind;

typedef struct HrAdmitAction {
    HrAdmitActionKind kind;
    uint64_t id;
    HrReason reason; /* of a refusal: HR_REASON_OVERLOADED (cannot finish in
                        time, queue or caller share full) or
                        HR_REASON_DEADLINE (waited in vain) */
} HrAdmitAction;

/* Figures for the operator listener. */
typedef struct HrAdmitStats {
    uint32_t running;
    uint32_t waiting;
    uint32_t waiting_by_class[HR_ADMIT_CLASSES];
    uint64_t started_by_class[HR_ADMIT_CLASSES];
    uint64_t refused_by_class[HR_ADMIT_CLASSES];
    int64_t mean_service_ns;
} HrAdmitStats;

/* Creates an empty admission queue; NULL when memory runs out. */
HrAdmit *HrAdmit_Create(const void *parent, const HrAdmitConfig *config);

/* Handles one event. Returns 0; HR_ERR_NO_MEMORY when an arrival could not be
 * held, HR_ERR_DUPLICATE for an arrival with a known id (no action follows
 * either of them); HR_ERR_NOT_FOUND for an unknown id. */
int HrAdmit_Handle(HrAdmit *admit, const HrAdmitEvent *event);

/* Pops the next action; returns false when there is none. */
bool HrAdmit_Next(HrAdmit *admit, HrAdmitAction *action);

/* Returns when a timer event is next needed; HR_TIME_NEVER: not at all. */
int64_t HrAdmit_NextTimer(const HrAdmit *admit);

/* Returns the number of entries that occupy a place. */
uint32_t HrAdmit_Running(const HrAdmit *admit);

/* Returns the number of entries that wait. */
uint32_t HrAdmit_Waiting(const HrAdmit *admit);

/* Returns true if an entry of a higher class than priority waits. */
bool HrAdmit_HasWaitingAbove(const HrAdmit *admit, uint32_t priority);

/* Fills the figures. */
void HrAdmit_GetStats(const HrAdmit *admit, HrAdmitStats *stats);

#endif
