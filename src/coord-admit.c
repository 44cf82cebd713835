#include "coord-admit.h"

#include <math.h>
#include <talloc.h>

#include "base-clock.h"
#include "base-error.h"
#include "coord-admit-queue.h"
#include "coord-timers.h"

/* Weight of one start in the moving average of the share of each class. */
#define START_SHARE_WEIGHT (1.0 / 128)
/* Weight of one service time in the moving averages. */
#define SERVICE_WEIGHT (1.0 / 64)

/* The mean plus this many mean absolute deviations covers 99 in 100 service
 * times of a log-normal distribution with deviation 0.35. */
#define DEVIATION_FACTOR 4

/* Caller name of entries that carry none. */
#define NO_CALLER ""

RB_HEAD(HrAdmitEntryTree, HrAdmitEntry);

struct HrAdmit {
    HrAdmitConfig config;
    HrAdmitQueue queue;
    struct HrAdmitEntryTree entries; /* waiting, running, or with an action */
    struct HrAdmitEntryList actions;
    HrTimerSet timers;
    uint32_t running;
    double mean_service_ns;
    double service_deviation_ns;          /* mean absolute deviation */
    double start_share[HR_ADMIT_CLASSES]; /* of recent starts; sums to 1 */
    uint64_t started[HR_ADMIT_CLASSES];
    uint64_t refused[HR_ADMIT_CLASSES];
};

/* Orders entries by id. */
static int
compare_entries(const HrAdmitEntry *left, const HrAdmitEntry *right)
{
    return (left->id > right->id) - (left->id < right->id);
}

HR_RB_GENERATE_STATIC(HrAdmitEntryTree, HrAdmitEntry, by_id, compare_entries)

HrAdmit *
HrAdmit_Create(const void *parent, const HrAdmitConfig *config)
{
    HrAdmit *admit = talloc_zero(parent, HrAdmit);

    if (admit == NULL) {
        return NULL;
    }
    admit->config = *config;
    admit->mean_service_ns = (double)config->expected_service_ns;
    HrAdmitQueue_Init(&admit->queue);
    RB_INIT(&admit->entries);
    TAILQ_INIT(&admit->actions);
    HrTimerSet_Init(&admit->timers);
    return admit;
}

/* Returns the entry with an id, or NULL. */
static HrAdmitEntry *
find_entry(HrAdmit *admit, uint64_t id)
{
    HrAdmitEntry key;

    key.id = id;
    return RB_FIND(HrAdmitEntryTree, &admit->entries, &key);
}

/* Frees an entry that is not in the queue, and drops its action. */
static void
free_entry(HrAdmit *admit, HrAdmitEntry *entry)
{
    if (entry->has_action) {
        TAILQ_REMOVE(&admit->actions, entry, in_actions);
    }
    HrTimerSet_Clear(&admit->timers, &entry->timer);
    RB_REMOVE(HrAdmitEntryTree, &admit->entries, entry);
    talloc_free(entry);
}

/* Appends the action that reports the new state of an entry. */
static void
append_action(HrAdmit *admit, HrAdmitEntry *entry)
{
    entry->has_action = true;
    TAILQ_INSERT_TAIL(&admit->actions, entry, in_actions);
}

/* Refuses an entry that is not in the queue. */
static void
refuse_entry(HrAdmit *admit, HrAdmitEntry *entry, HrReason reason)
{
    HrTimerSet_Clear(&admit->timers, &entry->timer);
    entry->state = HR_ADMIT_ENTRY_REFUSED;
    entry->reason = reason;
    admit->refused[entry->priority]++;
    append_action(admit, entry);
}

/* Removes an entry from the queue and refuses it. */
static void
refuse_waiting(HrAdmit *admit, HrAdmitEntry *entry, HrReason reason)
{
    HrAdmitQueue_Remove(&admit->queue, entry);
    refuse_entry(admit, entry, reason);
}

/* Counts a start of a class, and updates the share of each class. */
static void
count_start(HrAdmit *admit, uint32_t priority)
{
    uint32_t i;

    admit->started[priority]++;
    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        double value = i == priority ? 1 : 0;

        admit->start_share[i] +=
            START_SHARE_WEIGHT * (value - admit->start_share[i]);
    }
}

/* Returns the time in which an entry finishes almost certainly. Of the entries
 * that start with only the mean left, half miss their deadlines, and the time
 * that they ran is wasted. */
static double
get_needed_service_ns(const HrAdmit *admit)
{
    return admit->mean_service_ns +
           DEVIATION_FACTOR * admit->service_deviation_ns;
}

/* Updates the mean service time and the deviation from it. */
static void
record_service_time(HrAdmit *admit, double service_ns)
{
    double difference_ns = service_ns - admit->mean_service_ns;

    admit->mean_service_ns += SERVICE_WEIGHT * difference_ns;
    admit->service_deviation_ns +=
        SERVICE_WEIGHT * (fabs(difference_ns) - admit->service_deviation_ns);
}

/* Returns true if an entry that could start now would probably miss its
 * deadline. If no other entry waits, it is tried in any case until the
 * deadline, as nothing else could run instead. */
static bool
would_miss_deadline(const HrAdmit *admit, const HrAdmitEntry *entry,
                    int64_t now_ns)
{
    if (admit->queue.waiting <= 1) {
        return now_ns >= entry->deadline_ns;
    }
    return now_ns + (int64_t)get_needed_service_ns(admit) > entry->deadline_ns;
}

/* Starts waiting entries until max_running are running. Entries that cannot
 * finish in time are refused, so that they do not run in place of others. */
static void
start_entries(HrAdmit *admit, int64_t now_ns)
{
    HrAdmitEntry *entry;

    while (admit->running < admit->config.max_running) {
        entry = HrAdmitQueue_FindNext(&admit->queue);
        if (entry == NULL) {
            return;
        }
        if (would_miss_deadline(admit, entry, now_ns)) {
            refuse_waiting(admit, entry, HR_REASON_DEADLINE);
            continue;
        }
        HrAdmitQueue_Serve(&admit->queue, entry);
        HrTimerSet_Clear(&admit->timers, &entry->timer);
        entry->state = HR_ADMIT_ENTRY_RUNNING;
        admit->running++;
        count_start(admit, entry->priority);
        append_action(admit, entry);
    }
}

/* Returns the share of the starts that the higher classes leave to a class. It
 * is at least what the bound on starvation guarantees. */
static double
compute_class_share(const HrAdmit *admit, uint32_t priority)
{
    double share = 1;
    uint32_t i;

    for (i = 0; i < priority; i++) {
        share -= admit->start_share[i];
    }
    return share < 1.0 / HR_ADMIT_STARVATION_STARTS
               ? 1.0 / HR_ADMIT_STARVATION_STARTS
               : share;
}

/* Returns true if an arrival would start at once. */
static bool
can_start_at_once(const HrAdmit *admit)
{
    return admit->running < admit->config.max_running &&
           admit->queue.waiting == 0;
}

/* Estimates how long an arrival would wait before it starts: until the entries
 * before it are served, or, if that is shorter, until its class is served
 * because of the bound on starvation. */
static double
estimate_wait_ns(HrAdmit *admit, const HrAdmitArrive *arrive,
                 const char *caller)
{
    uint32_t same_class, ahead;
    double start_interval_ns, wait_ns, bound_ns;

    if (admit->config.max_running == 0) {
        return 0; /* nothing runs, so the wait is not known */
    }
    ahead = HrAdmitQueue_CountAhead(&admit->queue, arrive->priority, caller,
                                    &same_class);
    start_interval_ns = admit->mean_service_ns / admit->config.max_running;
    wait_ns = start_interval_ns * (ahead - same_class) +
              start_interval_ns * (same_class + 1) /
                  compute_class_share(admit, arrive->priority);
    bound_ns =
        start_interval_ns * (same_class + 1) * HR_ADMIT_STARVATION_STARTS;
    return wait_ns < bound_ns ? wait_ns : bound_ns;
}

/* Returns how many entries of the arrival's caller may wait. */
static uint64_t
get_caller_limit(const HrAdmit *admit, const HrAdmitArrive *arrive)
{
    uint64_t percent = arrive->caller_share_percent != 0
                           ? arrive->caller_share_percent
                           : admit->config.caller_share_percent;
    uint64_t limit = admit->config.queue_limit * percent / 100;

    if (percent == 0) {
        return UINT64_MAX;
    }
    return limit == 0 ? 1 : limit;
}

/* Makes room for an arrival of this priority in a full queue: refuses an entry
 * of a lower class. Returns false if there is no such entry. */
static bool
make_room(HrAdmit *admit, uint32_t priority)
{
    HrAdmitEntry *lowest;

    if (admit->queue.waiting < admit->config.queue_limit) {
        return true;
    }
    lowest = HrAdmitQueue_FindLowest(&admit->queue, priority);
    if (lowest == NULL) {
        return false;
    }
    refuse_waiting(admit, lowest, HR_REASON_OVERLOADED);
    return true;
}

/* Returns HR_REASON_NONE if an arrival may wait. */
static HrReason
check_arrival(HrAdmit *admit, const HrAdmitArrive *arrive, const char *caller,
              int64_t now_ns)
{
    double finish_ns = (double)now_ns + get_needed_service_ns(admit);

    if (arrive->deadline_ns <= now_ns) {
        return HR_REASON_DEADLINE;
    }
    if (can_start_at_once(admit)) {
        return HR_REASON_NONE;
    }
    finish_ns += estimate_wait_ns(admit, arrive, caller);
    if (finish_ns > (double)arrive->deadline_ns) {
        return HR_REASON_OVERLOADED;
    }
    /* Entries of lower classes do not count: they are served later and are
     * refused to make room for this one. */
    if (HrAdmitQueue_CountCallerWaiting(&admit->queue, caller,
                                        arrive->priority) >=
        get_caller_limit(admit, arrive)) {
        return HR_REASON_OVERLOADED;
    }
    if (admit->running >= admit->config.max_running &&
        !make_room(admit, arrive->priority)) {
        return HR_REASON_OVERLOADED;
    }
    return HR_REASON_NONE;
}

/* Adds an entry for an arrival. Returns NULL when memory runs out. */
static HrAdmitEntry *
add_entry(HrAdmit *admit, const HrAdmitArrive *arrive)
{
    HrAdmitEntry *entry = talloc_zero(admit, HrAdmitEntry);

    if (entry == NULL) {
        return NULL;
    }
    entry->id = arrive->id;
    entry->priority = arrive->priority;
    entry->deadline_ns = arrive->deadline_ns;
    entry->timer.owner = entry;
    RB_INSERT(HrAdmitEntryTree, &admit->entries, entry);
    return entry;
}

/* Queues or refuses an arrival. start_entries then starts it if it can run at
 * once. Too low a priority counts as the lowest class. */
static int
handle_arrive(HrAdmit *admit, const HrAdmitArrive *event, int64_t now_ns)
{
    HrAdmitArrive arrive = *event;
    const char *caller = arrive.caller == NULL ? NO_CALLER : arrive.caller;
    HrAdmitEntry *entry;
    HrReason reason;

    if (arrive.priority >= HR_ADMIT_CLASSES) {
        arrive.priority = HR_ADMIT_CLASSES - 1;
    }
    if (find_entry(admit, arrive.id) != NULL) {
        return HR_ERR_DUPLICATE;
    }
    entry = add_entry(admit, &arrive);
    if (entry == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    reason = check_arrival(admit, &arrive, caller, now_ns);
    if (reason != HR_REASON_NONE) {
        refuse_entry(admit, entry, reason);
        return HR_OK;
    }
    if (HrAdmitQueue_Append(&admit->queue, admit, entry, caller) != HR_OK) {
        free_entry(admit, entry);
        return HR_ERR_NO_MEMORY;
    }
    HrTimerSet_Set(&admit->timers, &entry->timer, arrive.deadline_ns);
    return HR_OK;
}

/* Frees an entry in any state; no action follows. */
static int
handle_withdraw(HrAdmit *admit, uint64_t id)
{
    HrAdmitEntry *entry = find_entry(admit, id);

    if (entry == NULL) {
        return HR_ERR_NOT_FOUND;
    }
    if (entry->state == HR_ADMIT_ENTRY_WAITING) {
        HrAdmitQueue_Remove(&admit->queue, entry);
    }
    else if (entry->state == HR_ADMIT_ENTRY_RUNNING) {
        admit->running--;
    }
    free_entry(admit, entry);
    return HR_OK;
}

/* Frees an entry that ran, and records its service time. */
static int
handle_finish(HrAdmit *admit, const HrAdmitFinish *finish)
{
    HrAdmitEntry *entry = find_entry(admit, finish->id);

    if (entry == NULL || entry->state != HR_ADMIT_ENTRY_RUNNING) {
        return HR_ERR_NOT_FOUND;
    }
    if (finish->service_ns >= 0) {
        record_service_time(admit, (double)finish->service_ns);
    }
    admit->running--;
    free_entry(admit, entry);
    return HR_OK;
}

/* Refuses the waiting entries whose deadline has passed. */
static void
expire_entries(HrAdmit *admit, int64_t now_ns)
{
    HrTimer *timer;

    while ((timer = HrTimerSet_PopDue(&admit->timers, now_ns)) != NULL) {
        refuse_waiting(admit, timer->owner, HR_REASON_DEADLINE);
    }
}

int
HrAdmit_HandleEvent(HrAdmit *admit, const HrAdmitEvent *event)
{
    int rc = HR_OK;

    expire_entries(admit, event->now_ns);
    switch (event->kind) {
    case HR_ADMIT_ARRIVE:
        rc = handle_arrive(admit, &event->u.arrive, event->now_ns);
        break;
    case HR_ADMIT_WITHDRAW:
        rc = handle_withdraw(admit, event->u.withdraw_id);
        break;
    case HR_ADMIT_FINISH:
        rc = handle_finish(admit, &event->u.finish);
        break;
    case HR_ADMIT_SET_LIMITS:
        admit->config.max_running = event->u.limits.max_running;
        admit->config.queue_limit = event->u.limits.queue_limit;
        break;
    case HR_ADMIT_TIMER:
        break;
    }
    start_entries(admit, event->now_ns);
    return rc;
}

/* The entry of a refusal is freed with its action. */
bool
HrAdmit_PopAction(HrAdmit *admit, HrAdmitAction *action)
{
    HrAdmitEntry *entry = TAILQ_FIRST(&admit->actions);

    if (entry == NULL) {
        return false;
    }
    TAILQ_REMOVE(&admit->actions, entry, in_actions);
    entry->has_action = false;
    action->id = entry->id;
    if (entry->state == HR_ADMIT_ENTRY_REFUSED) {
        action->kind = HR_ADMIT_REFUSE;
        action->reason = entry->reason;
        free_entry(admit, entry);
        return true;
    }
    action->kind = HR_ADMIT_START;
    action->reason = HR_REASON_NONE;
    return true;
}

int64_t
HrAdmit_GetNextTimer(const HrAdmit *admit)
{
    return HrTimerSet_GetNextTime(&admit->timers);
}

uint32_t
HrAdmit_GetRunningCount(const HrAdmit *admit)
{
    return admit->running;
}

uint32_t
HrAdmit_GetWaitingCount(const HrAdmit *admit)
{
    return admit->queue.waiting;
}

bool
HrAdmit_HasWaitingAbove(const HrAdmit *admit, uint32_t priority)
{
    uint32_t i;

    for (i = 0; i < priority && i < HR_ADMIT_CLASSES; i++) {
        if (admit->queue.classes[i].waiting > 0) {
            return true;
        }
    }
    return false;
}

void
HrAdmit_GetStats(const HrAdmit *admit, HrAdmitStats *stats)
{
    uint32_t i;

    stats->running = admit->running;
    stats->waiting = admit->queue.waiting;
    stats->mean_service_ns = (int64_t)admit->mean_service_ns;
    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        stats->waiting_by_class[i] = admit->queue.classes[i].waiting;
        stats->started_by_class[i] = admit->started[i];
        stats->refused_by_class[i] = admit->refused[i];
    }
}
