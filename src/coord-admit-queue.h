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
    bool has_action; /* is in the list of actions */
    struct HrAdmitCaller *caller;
} HrAdmitEntry;

TAILQ_HEAD(HrAdmitEntryList, HrAdmitEntry);

/* The waiting entries of one caller, in all classes. Freed with its last
 * entry. */
typedef struct HrAdmitCaller {
    RB_ENTRY(HrAdmitCaller) by_name;
    char *name;
    uint32_t waiting;
    /* By class. The caller is in the round robin of the classes where it has
     * entries. */
    struct {
        struct HrAdmitEntryList entries;
        TAILQ_ENTRY(HrAdmitCaller) in_round_robin;
        uint32_t waiting;
    } classes[HR_ADMIT_CLASSES];
} HrAdmitCaller;

TAILQ_HEAD(HrAdmitRoundRobin, HrAdmitCaller);

/* One priority class. */
typedef struct HrAdmitClass {
    struct HrAdmitRoundRobin round_robin; /* callers with entries, next one
                                             first */
    uint32_t callers; /* number of callers in round_robin */
    uint32_t waiting;
    uint32_t passed_over; /* starts of other classes since its last one, while
                             it had waiting entries */
} HrAdmitClass;

/* The waiting entries. Their order is strict priority between classes up to
 * the bound on starvation, round robin between the callers of a class, and
 * arrival order for each caller. */
typedef struct HrAdmitQueue {
    HrAdmitClass classes[HR_ADMIT_CLASSES];
    RB_HEAD(HrAdmitCallerTree, HrAdmitCaller) callers;
    uint32_t waiting;
} HrAdmitQueue;

/* Initialises an empty queue. */
void HrAdmitQueue_Init(HrAdmitQueue *queue);

/* Returns how many entries of a caller wait in the class of this priority and
 * in higher ones; 0 for an unknown caller. */
uint32_t HrAdmitQueue_CountCallerWaiting(HrAdmitQueue *queue,
                                         const char *caller,
                                         uint32_t priority);

/* Returns how many entries would be served before a new one of this class and
 * caller, if no others arrived later. *same_class is set to how many of them
 * are in its class. */
uint32_t HrAdmitQueue_CountAhead(HrAdmitQueue *queue, uint32_t priority,
                                 const char *caller, uint32_t *same_class);

/* Appends an entry. A new caller is a talloc child of parent. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrAdmitQueue_Append(HrAdmitQueue *queue, const void *parent,
                        HrAdmitEntry *entry, const char *caller);

/* Removes an entry. Its caller is freed with its last entry. */
void HrAdmitQueue_Remove(HrAdmitQueue *queue, HrAdmitEntry *entry);

/* Returns the entry to serve next, or NULL. */
HrAdmitEntry *HrAdmitQueue_FindNext(HrAdmitQueue *queue);

/* Removes the entry that HrAdmitQueue_FindNext returned, which is started now.
 * Its caller goes to the end of the round robin, and the other classes count
 * as passed over. */
void HrAdmitQueue_Serve(HrAdmitQueue *queue, HrAdmitEntry *entry);

/* Returns an entry that may be dropped for one of this priority: the newest
 * entry of the last caller in the lowest class with entries. Returns NULL if
 * no lower class has entries. */
HrAdmitEntry *HrAdmitQueue_FindLowest(HrAdmitQueue *queue, uint32_t priority);

#endif
