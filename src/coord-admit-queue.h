#ifndef HR_COORD_ADMIT_QUEUE_H
#define HR_COORD_ADMIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <bsd/sys/queue.h>

#include "coord-admit.h"
#include "coord-timers.h"

typedef enum HrAdmitEntryState {
    HR_ADMIT_ENTRY_WAITING,
    HR_ADMIT_ENTRY_RUNNING,
    HR_ADMIT_ENTRY_REFUSED,
} HrAdmitEntryState;

struct HrAdmitCaller;

/* One arrival. */
typedef struct HrAdmitEntry {
    RB_ENTRY(HrAdmitEntry) by_id;
    TAILQ_ENTRY(HrAdmitEntry) in_queue; /* while it waits */
    TAILQ_ENTRY(HrAdmitEntry) in_actions;
    HrTimer timer;
    uint64_t id;
    uint32_t priority;
    int64_t deadline_ns;
    HrAdmitEntryState state;
    HrReason reason; /* of a refusal */
    bool has_action;
    struct HrAdmitCaller *caller;
} HrAdmitEntry;

TAILQ_HEAD(HrAdmitEntryList, HrAdmitEntry);

/* The waiting entries of one caller, in all classes. */
typedef struct HrAdmitCaller {
    RB_ENTRY(HrAdmitCaller) by_name;
    char *name;
    uint32_t waiting;
    /* Of one class each; a caller takes its turn in the classes where it has
     * entries. */
    struct {
        struct HrAdmitEntryList entries;
        TAILQ_ENTRY(HrAdmitCaller) in_turn;
        uint32_t waiting;
    } classes[HR_ADMIT_CLASSES];
} HrAdmitCaller;

TAILQ_HEAD(HrAdmitTurns, HrAdmitCaller);

/* One priority class. */
typedef struct HrAdmitClass {
    struct HrAdmitTurns turns; /* callers with entries, next one first */
    uint32_t callers;
    uint32_t waiting;
    uint32_t passed_over; /* starts of other classes while it waited */
} HrAdmitClass;

/* Waiting entries: strict priority between classes up to the bound on
 * starvation, turns between the callers of a class, arrival order within a
 * caller. */
typedef struct HrAdmitQueue {
    HrAdmitClass classes[HR_ADMIT_CLASSES];
    RB_HEAD(HrAdmitCallerTree, HrAdmitCaller) callers;
    uint32_t waiting;
} HrAdmitQueue;

/* Empties the queue. */
void HrAdmitQueue_Init(HrAdmitQueue *queue);

/* Returns the number of entries of a caller in a class and those above it; 0
 * for an unknown caller. */
uint32_t HrAdmitQueue_CallerWaiting(HrAdmitQueue *queue, const char *caller,
                                    uint32_t priority);

/* Returns how many entries would be served before a new one of this class and
 * caller, if none arrived later; *same_class is the part in its class. */
uint32_t HrAdmitQueue_Ahead(HrAdmitQueue *queue, uint32_t priority,
                            const char *caller, uint32_t *same_class);

/* Appends an entry. A new caller is a talloc child of parent. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrAdmitQueue_Append(HrAdmitQueue *queue, const void *parent,
                        HrAdmitEntry *entry, const char *caller);

/* Takes an entry out. */
void HrAdmitQueue_Remove(HrAdmitQueue *queue, HrAdmitEntry *entry);

/* Returns the entry to serve next, or NULL. */
HrAdmitEntry *HrAdmitQueue_First(HrAdmitQueue *queue);

/* Takes the entry out that HrAdmitQueue_First returned, as served: its caller
 * goes to the end of the turns, and other classes count as passed over. */
void HrAdmitQueue_Serve(HrAdmitQueue *queue, HrAdmitEntry *entry);

/* Returns the newest entry of the lowest class below priority, or NULL. */
HrAdmitEntry *HrAdmitQueue_Lowest(HrAdmitQueue *queue, uint32_t priority);

#endif
