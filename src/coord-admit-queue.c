#include "coord-admit-queue.h"

#include <string.h>
#include <talloc.h>

#include "base-error.h"

/* Orders callers by name. */
static int
compare_callers(const HrAdmitCaller *left, const HrAdmitCaller *right)
{
    return strcmp(left->name, right->name);
}

HR_RB_GENERATE_STATIC(HrAdmitCallerTree, HrAdmitCaller, by_name,
                      compare_callers)

void
HrAdmitQueue_Init(HrAdmitQueue *queue)
{
    uint32_t i;

    memset(queue, 0, sizeof(*queue));
    RB_INIT(&queue->callers);
    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        TAILQ_INIT(&queue->classes[i].round_robin);
    }
}

/* Returns the caller with a name, or NULL. */
static HrAdmitCaller *
find_caller(HrAdmitQueue *queue, const char *name)
{
    HrAdmitCaller key;

    key.name = (char *)name;
    return RB_FIND(HrAdmitCallerTree, &queue->callers, &key);
}

/* Returns a new caller without entries, or NULL. */
static HrAdmitCaller *
add_caller(HrAdmitQueue *queue, const void *parent, const char *name)
{
    HrAdmitCaller *caller = talloc_zero(parent, HrAdmitCaller);
    uint32_t i;

    if (caller == NULL) {
        return NULL;
    }
    caller->name = talloc_strdup(caller, name);
    if (caller->name == NULL) {
        talloc_free(caller);
        return NULL;
    }
    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        TAILQ_INIT(&caller->classes[i].entries);
    }
    RB_INSERT(HrAdmitCallerTree, &queue->callers, caller);
    return caller;
}

uint32_t
HrAdmitQueue_CountCallerWaiting(HrAdmitQueue *queue, const char *caller,
                                uint32_t priority)
{
    const HrAdmitCaller *found = find_caller(queue, caller);
    uint32_t waiting = 0, i;

    for (i = 0; found != NULL && i <= priority; i++) {
        waiting += found->classes[i].waiting;
    }
    return waiting;
}

uint32_t
HrAdmitQueue_CountAhead(HrAdmitQueue *queue, uint32_t priority,
                        const char *caller, uint32_t *same_class)
{
    const HrAdmitCaller *found = find_caller(queue, caller);
    const HrAdmitClass *class = &queue->classes[priority];
    uint64_t own = found == NULL ? 0 : found->classes[priority].waiting;
    uint64_t callers = class->callers + (own == 0 ? 1 : 0);
    uint32_t higher = 0, i;

    for (i = 0; i < priority; i++) {
        higher += queue->classes[i].waiting;
    }
    /* In the round robin, each other caller is served at most as often as this
     * one until its new entry is served. */
    *same_class = class->waiting;
    if ((own + 1) * callers - 1 < class->waiting) {
        *same_class = (uint32_t)((own + 1) * callers - 1);
    }
    return higher + *same_class;
}

int
HrAdmitQueue_Append(HrAdmitQueue *queue, const void *parent,
                    HrAdmitEntry *entry, const char *caller)
{
    HrAdmitClass *class = &queue->classes[entry->priority];
    HrAdmitCaller *found = find_caller(queue, caller);

    if (found == NULL) {
        found = add_caller(queue, parent, caller);
        if (found == NULL) {
            return HR_ERR_NO_MEMORY;
        }
    }
    entry->caller = found;
    if (found->classes[entry->priority].waiting++ == 0) {
        TAILQ_INSERT_TAIL(&class->round_robin, found,
                          classes[entry->priority].in_round_robin);
        class->callers++;
    }
    TAILQ_INSERT_TAIL(&found->classes[entry->priority].entries, entry,
                      in_queue);
    found->waiting++;
    class->waiting++;
    queue->waiting++;
    return HR_OK;
}

void
HrAdmitQueue_Remove(HrAdmitQueue *queue, HrAdmitEntry *entry)
{
    uint32_t priority = entry->priority;
    HrAdmitClass *class = &queue->classes[priority];
    HrAdmitCaller *caller = entry->caller;

    TAILQ_REMOVE(&caller->classes[priority].entries, entry, in_queue);
    if (--caller->classes[priority].waiting == 0) {
        TAILQ_REMOVE(&class->round_robin, caller,
                     classes[priority].in_round_robin);
        class->callers--;
    }
    entry->caller = NULL;
    if (--class->waiting == 0) {
        class->passed_over = 0;
    }
    queue->waiting--;
    if (--caller->waiting == 0) {
        RB_REMOVE(HrAdmitCallerTree, &queue->callers, caller);
        talloc_free(caller);
    }
}

/* Returns the class to serve next: the one that was passed over most often, if
 * it has reached HR_ADMIT_PASSED_OVER_LIMIT, else the highest one with waiting
 * entries. */
static HrAdmitClass *
find_next_class(HrAdmitQueue *queue)
{
    HrAdmitClass *best = NULL, *starved = NULL;
    uint32_t i;

    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        HrAdmitClass *class = &queue->classes[i];

        if (class->waiting == 0) {
            continue;
        }
        if (best == NULL) {
            best = class;
        }
        if (class->passed_over >= HR_ADMIT_PASSED_OVER_LIMIT &&
            (starved == NULL || class->passed_over > starved->passed_over)) {
            starved = class;
        }
    }
    return starved != NULL ? starved : best;
}

HrAdmitEntry *
HrAdmitQueue_FindNext(HrAdmitQueue *queue)
{
    HrAdmitClass *class = find_next_class(queue);
    HrAdmitCaller *caller;

    if (class == NULL) {
        return NULL;
    }
    caller = TAILQ_FIRST(&class->round_robin);
    return TAILQ_FIRST(&caller->classes[class - queue->classes].entries);
}

/* Counts the classes with waiting entries as passed over, except the served
 * one. */
static void
count_passed_over(HrAdmitQueue *queue, uint32_t served)
{
    uint32_t i;

    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        if (i != served && queue->classes[i].waiting > 0) {
            queue->classes[i].passed_over++;
        }
    }
    queue->classes[served].passed_over = 0;
}

void
HrAdmitQueue_Serve(HrAdmitQueue *queue, HrAdmitEntry *entry)
{
    uint32_t priority = entry->priority;
    HrAdmitClass *class = &queue->classes[priority];
    HrAdmitCaller *caller = entry->caller;

    TAILQ_REMOVE(&class->round_robin, caller,
                 classes[priority].in_round_robin);
    TAILQ_INSERT_TAIL(&class->round_robin, caller,
                      classes[priority].in_round_robin);
    HrAdmitQueue_Remove(queue, entry);
    count_passed_over(queue, priority);
}

HrAdmitEntry *
HrAdmitQueue_FindLowest(HrAdmitQueue *queue, uint32_t priority)
{
    uint32_t i;

    for (i = HR_ADMIT_CLASSES - 1; i > priority; i--) {
        HrAdmitCaller *caller =
            TAILQ_LAST(&queue->classes[i].round_robin, HrAdmitRoundRobin);

        if (caller != NULL) {
            return TAILQ_LAST(&caller->classes[i].entries, HrAdmitEntryList);
        }
    }
    return NULL;
}
