#ifndef HR_COORD_ADMIT_H
#define HR_COORD_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "coord-types.h"

#define HR_ADMIT_CLASSES 8

/* A class with waiting entries is served next when other classes were served
 * before it this many times in a row. */
#define HR_ADMIT_PASSED_OVER_LIMIT 40

/* The bound on starvation: a class with a waiting entry that can still finish
 * in time is served at least once in this many starts. This is more than
 * HR_ADMIT_PASSED_OVER_LIMIT because all other classes may reach that limit
 * first. */
#define HR_ADMIT_STARVATION_STARTS                                            \
    (HR_ADMIT_PASSED_OVER_LIMIT + HR_ADMIT_CLASSES)

/* Admission control: limits how many entries (requests) run at once, and
 * queues the others by priority class, with a fair share per caller. Class 0
 * is the highest. Every HR_ADMIT_ARRIVE is answered by exactly one
 * HR_ADMIT_START or HR_ADMIT_REFUSE, unless HR_ADMIT_WITHDRAW comes first. An
 * entry that was started runs until HR_ADMIT_FINISH or HR_ADMIT_WITHDRAW. */
typedef struct HrAdmit HrAdmit;

typedef struct HrAdmitConfig {
    uint32_t max_running;          /* entries that may run at once */
    uint32_t queue_limit;          /* waiting entries, over all classes */
    uint32_t caller_share_percent; /* largest share of the queue that one
                                      caller may take; 0: no limit */
    int64_t expected_service_ns;   /* assumed until service times are known */
} HrAdmitConfig;

typedef enum HrAdmitEventKind {
    HR_ADMIT_ARRIVE,
    HR_ADMIT_WITHDRAW,
    HR_ADMIT_FINISH,
    HR_ADMIT_SET_LIMITS,
    HR_ADMIT_TIMER,
} HrAdmitEventKind;

typedef struct HrAdmitArrive {
    uint64_t id; /* unique among the entries that wait or run */
    uint32_t priority;
    const char *caller; /* all entries with NULL count as one caller's */
    int64_t deadline_ns;
    uint32_t caller_share_percent; /* of the route; 0: as in HrAdmitConfig */
} HrAdmitArrive;

typedef struct HrAdmitFinish {
    uint64_t id;
    int64_t service_ns; /* time from start to finish; negative: not known */
} HrAdmitFinish;

/* New limits; running entries beyond them go on. */
typedef struct HrAdmitLimits {
    uint32_t max_running;
    uint32_t queue_limit;
} HrAdmitLimits;

typedef struct HrAdmitEvent {
    HrAdmitEventKind kind;
    int64_t now_ns;
    union {
        HrAdmitArrive arrive;
        uint64_t withdraw_id;
        HrAdmitFinish finish;
        HrAdmitLimits limits;
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
                        HR_REASON_DEADLINE (no time left, on arrival or after
                        waiting) */
} HrAdmitAction;

/* Statistics for the operator listener. */
typedef struct HrAdmitStats {
    uint32_t running;
    uint32_t waiting;
    uint32_t waiting_by_class[HR_ADMIT_CLASSES];
    uint64_t started_by_class[HR_ADMIT_CLASSES];
    uint64_t refused_by_class[HR_ADMIT_CLASSES];
    int64_t mean_service_ns;
} HrAdmitStats;

/* Creates an empty admission queue as a talloc child of parent. Returns NULL
 * when memory runs out. */
HrAdmit *HrAdmit_Create(const void *parent, const HrAdmitConfig *config);

/* Handles one event; pop its actions with HrAdmit_PopAction afterwards.
 * Returns 0; HR_ERR_NO_MEMORY when memory for an arrival runs out;
 * HR_ERR_DUPLICATE for an arrival with a known id; HR_ERR_NOT_FOUND for an
 * unknown id. No action follows an arrival that failed. */
int HrAdmit_HandleEvent(HrAdmit *admit, const HrAdmitEvent *event);

/* Pops the next action. Returns false if there is none. */
bool HrAdmit_PopAction(HrAdmit *admit, HrAdmitAction *action);

/* Returns when HR_ADMIT_TIMER is next needed; HR_TIME_NEVER if it is not. */
int64_t HrAdmit_GetNextTimer(const HrAdmit *admit);

/* Returns the number of entries that were started and have not finished. */
uint32_t HrAdmit_GetRunningCount(const HrAdmit *admit);

/* Returns the number of entries that wait, in all classes. */
uint32_t HrAdmit_GetWaitingCount(const HrAdmit *admit);

/* Returns true if an entry waits in a higher class than priority, that is, one
 * with a lower number. */
bool HrAdmit_HasWaitingAbove(const HrAdmit *admit, uint32_t priority);

/* Copies the current statistics to *stats. */
void HrAdmit_GetStats(const HrAdmit *admit, HrAdmitStats *stats);

#endif
