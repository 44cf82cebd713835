#include "coord-contention.h"

#include <math.h>
#include <string.h>

#include "base-clock.h"
#include "base-rng.h"

/* Turns are limited after this many declined attempts within the span. A
 * gateway with one request a second reaches 6.3, with 4 attempts that are all
 * declined; it sees too little to estimate a capacity. */
#define MIN_DECLINED 8
#define DECLINED_SPAN_NS HR_NS_PER_S

/* Declines below this share of the attempts do not reduce the limit, because a
 * single server may decline for reasons of its own. Above half of it the limit
 * rises at a quarter of the speed, so that few requests use up their attempts
 * while the capacity is probed. */
#define DECLINED_SHARE 0.1
#define DECLINED_SHARE_WEIGHT (1.0 / 32)
#define CAREFUL_STEP 0.25

/* The limit ends when no request has waited or been declined for this time. */
#define CALM_NS (2 * HR_NS_PER_S)

/* Weight of one answer in the mean time of answers, and of one start in the
 * share of each priority. */
#define SERVICE_WEIGHT (1.0 / 32)
#define START_SHARE_WEIGHT (1.0 / 128)

/* Weight of one interval in the mean interval between the starts of a tenant,
 * and how long that mean is used. */
#define INTERVAL_WEIGHT (1.0 / 8)
#define INTERVAL_KEEP_NS (2 * HR_NS_PER_S)

/* Longest time after which a rejected request is told to return. The capacity
 * may have changed by then. */
#define RETURN_MAX_NS (5 * HR_NS_PER_S)

void
HrContention_Init(HrContention *contention, const void *parent)
{
    memset(contention, 0, sizeof(*contention));
    contention->parent = parent;
    HrAdmitQueue_Init(&contention->queue);
    HrAdmitQueue_Init(&contention->repeats);
}

/* Returns the queue's class of a caller; too low a priority counts as the
 * lowest class. */
static uint32_t
get_class(const HrTurnCaller *caller)
{
    return caller->priority < HR_ADMIT_CLASSES ? caller->priority
                                               : HR_ADMIT_CLASSES - 1;
}

/* Returns the name of a caller's tenant in the queue. */
static const char *
get_name(const HrTurnCaller *caller)
{
    return caller->tenant != NULL ? caller->tenant : "";
}

/* Ends the limit once no request has been under pressure for some time. */
static void
end_limit_if_calm(HrContention *contention, int64_t now_ns)
{
    if (contention->queue.waiting == 0 && contention->blocked == 0 &&
        now_ns - contention->pressed_ns >= CALM_NS) {
        contention->limited = false;
    }
}

/* Returns true if one more turn may be held. */
static bool
has_room(const HrContention *contention)
{
    return !contention->limited || contention->held + 1 <= contention->limit;
}

/* Sets the limit of turns held, which is at least 1. */
static void
set_limit(HrContention *contention, double limit)
{
    contention->logged = contention->limited && contention->logged;
    contention->limited = true;
    contention->limit = limit > 1 ? limit : 1;
}

/* Makes a turn a held one. */
static void
hold_turn(HrTurn *turn, int64_t now_ns)
{
    turn->state = HR_TURN_HELD;
    turn->held_since_ns = now_ns;
    turn->contention->held++;
}

/* Updates the share of each class in the starts. */
static void
count_start(HrContention *contention, uint32_t class)
{
    uint32_t i;

    for (i = 0; i < HR_ADMIT_CLASSES; i++) {
        contention->start_share[i] +=
            START_SHARE_WEIGHT *
            ((i == class ? 1 : 0) - contention->start_share[i]);
    }
}

/* Returns the record of a tenant in a class. */
static HrContentionTenant *
get_record(HrContention *contention, const char *name, uint32_t class)
{
    return &contention
                ->tenants[HrHash_String(name, class) % HR_CONTENTION_TENANTS];
}

/* Records a start of a tenant from the queue. */
static void
record_interval(HrContention *contention, const char *name, uint32_t class,
                int64_t now_ns)
{
    HrContentionTenant *record = get_record(contention, name, class);

    if (record->started_ns != 0) {
        double interval_ns = (double)(now_ns - record->started_ns);

        if (record->interval_ns <= 0 ||
            now_ns - record->interval_at_ns > INTERVAL_KEEP_NS) {
            record->interval_ns = interval_ns;
        }
        record->interval_ns +=
            INTERVAL_WEIGHT * (interval_ns - record->interval_ns);
        record->interval_at_ns = now_ns;
    }
    record->started_ns = now_ns;
}

/* Removes an entry from the queue. granted: its turn is held now. */
static void
leave_queue(HrContention *contention, HrAdmitEntry *entry, bool granted,
            int64_t now_ns)
{
    HrAdmitCaller *caller = entry->caller;
    uint32_t class = entry->priority;

    if (granted) {
        record_interval(contention, caller->name, class, now_ns);
    }
    if (caller->classes[class].waiting == 1) {
        get_record(contention, caller->name, class)->started_ns = 0;
    }
    if (granted) {
        HrAdmitQueue_Serve(&contention->queue, entry);
    }
    else {
        HrAdmitQueue_Remove(&contention->queue, entry);
    }
}

/* Grants turns to waiting requests while there is room. */
static void
grant_turns(HrContention *contention, int64_t now_ns)
{
    HrAdmitEntry *entry;

    while (has_room(contention) &&
           (entry = HrAdmitQueue_FindNext(&contention->queue)) != NULL) {
        HrTurn *turn = (HrTurn *)((char *)entry - offsetof(HrTurn, entry));

        leave_queue(contention, entry, true, now_ns);
        count_start(contention, entry->priority);
        contention->pressed_ns = now_ns;
        hold_turn(turn, now_ns);
        turn->granted_fn(turn->arg);
    }
}

/* Returns true if a request may start at once. After a declined attempt the
 * servers are full until one of the attempts in progress ends; without this,
 * retries use up their attempts while the limit is still too high. */
static bool
may_start_at_once(const HrContention *contention, const HrTurnCaller *caller)
{
    return contention->queue.waiting == 0 && has_room(contention) &&
           !(contention->limited && contention->held > 0 &&
             caller->was_declined);
}

void
HrContention_RequestTurn(HrContention *contention, HrTurn *turn,
                         const HrTurnCaller *caller, int64_t now_ns)
{
    turn->contention = contention;
    turn->blocked = false;
    end_limit_if_calm(contention, now_ns);
    turn->entry.priority = get_class(caller);
    if (may_start_at_once(contention, caller) ||
        HrAdmitQueue_Append(&contention->queue, contention->parent,
                            &turn->entry, get_name(caller)) != HR_OK) {
        hold_turn(turn, now_ns);
        return;
    }
    contention->pressed_ns = now_ns;
    turn->state = HR_TURN_WAITING;
}

/* Counts an attempt that was answered or declined. */
static void
count_end(HrContention *contention, bool declined, int64_t now_ns)
{
    double fade = exp((double)(contention->counted_ns - now_ns) /
                      (double)DECLINED_SPAN_NS);

    contention->counted_ns = now_ns;
    contention->declined = contention->declined * fade + (declined ? 1 : 0);
    contention->declined_share +=
        DECLINED_SHARE_WEIGHT *
        ((declined ? 1 : 0) - contention->declined_share);
}

/* Reduces the limit after a declined attempt to the turns that are still held,
 * if enough of the attempts were declined. */
static void
reduce_limit(HrContention *contention, int64_t now_ns)
{
    if (contention->declined_share <= DECLINED_SHARE ||
        (!contention->limited && contention->declined < MIN_DECLINED)) {
        return;
    }
    contention->pressed_ns = now_ns;
    if (!contention->limited || contention->limit > contention->held) {
        set_limit(contention, contention->held);
    }
}

/* Records an answer, and raises the limit by at most one for each round of
 * answers while requests wait, unless the holder of a turn has found no free
 * connection yet. */
static void
record_answer(HrContention *contention, int64_t service_ns)
{
    if (contention->mean_service_ns <= 0) {
        contention->mean_service_ns = (double)service_ns;
    }
    contention->mean_service_ns +=
        SERVICE_WEIGHT * ((double)service_ns - contention->mean_service_ns);
    if (contention->limited && contention->queue.waiting > 0 &&
        contention->blocked == 0) {
        contention->limit +=
            (contention->declined_share > DECLINED_SHARE / 2 ? CAREFUL_STEP
                                                             : 1) /
            contention->limit;
    }
}

/* Records that the holder of a turn no longer waits for a connection. */
static void
clear_blocked(HrTurn *turn)
{
    if (turn->blocked) {
        turn->blocked = false;
        turn->contention->blocked--;
    }
}

void
HrContention_EndTurn(HrTurn *turn, HrTurnEnd end, int64_t now_ns)
{
    HrContention *contention = turn->contention;

    switch (turn->state) {
    case HR_TURN_NONE:
        return;
    case HR_TURN_WAITING:
        leave_queue(contention, &turn->entry, false, now_ns);
        break;
    case HR_TURN_REPEAT:
        HrAdmitQueue_Remove(&contention->repeats, &turn->entry);
        break;
    case HR_TURN_HELD:
        clear_blocked(turn);
        contention->held--;
        if (end != HR_TURN_ENDED) {
            count_end(contention, end == HR_TURN_DECLINED, now_ns);
        }
        if (end == HR_TURN_DECLINED) {
            reduce_limit(contention, now_ns);
        }
        else if (end == HR_TURN_SERVED) {
            record_answer(contention, now_ns - turn->held_since_ns);
        }
        break;
    }
    turn->state = HR_TURN_NONE;
    grant_turns(contention, now_ns);
}

bool
HrContention_AwaitRepeat(HrContention *contention, HrTurn *turn,
                         const HrTurnCaller *caller)
{
    turn->contention = contention;
    turn->entry.priority = get_class(caller);
    if (HrAdmitQueue_Append(&contention->repeats, contention->parent,
                            &turn->entry, get_name(caller)) != HR_OK) {
        return false;
    }
    turn->state = HR_TURN_REPEAT;
    return true;
}

bool
HrContention_IsNextRepeat(HrTurn *turn)
{
    return HrAdmitQueue_FindNext(&turn->contention->repeats) == &turn->entry;
}

void
HrContention_EndRepeat(HrTurn *turn)
{
    HrAdmitQueue_Serve(&turn->contention->repeats, &turn->entry);
    turn->state = HR_TURN_NONE;
}

void
HrContention_RecordFull(HrTurn *turn, int64_t now_ns)
{
    HrContention *contention = turn->contention;
    uint32_t in_use;

    if (turn->state != HR_TURN_HELD) {
        return;
    }
    if (!turn->blocked) {
        turn->blocked = true;
        contention->blocked++;
    }
    contention->pressed_ns = now_ns;
    in_use = contention->held - contention->blocked;
    if (!contention->limited || contention->limit > in_use) {
        set_limit(contention, in_use);
    }
}

void
HrContention_RecordStart(HrTurn *turn, int64_t now_ns)
{
    if (turn->state == HR_TURN_HELD) {
        clear_blocked(turn);
        turn->held_since_ns = now_ns;
    }
}

/* Returns the time between two starts of a class. */
static double
get_class_interval_ns(const HrContention *contention, uint32_t class)
{
    double share = 1;
    uint32_t i;

    for (i = 0; i < class; i++) {
        share -= contention->start_share[i];
    }
    if (share < 1.0 / HR_ADMIT_STARVATION_STARTS) {
        share = 1.0 / HR_ADMIT_STARVATION_STARTS;
    }
    return contention->mean_service_ns / contention->limit / share;
}

/* Returns the time between two starts of a tenant while more of its requests
 * wait: as observed, or if nothing was observed lately, by the number of
 * tenants that wait. */
static double
get_tenant_interval_ns(HrContention *contention, const char *name,
                       uint32_t class, int64_t now_ns)
{
    const HrContentionTenant *record = get_record(contention, name, class);
    uint32_t tenants = contention->queue.classes[class].callers;

    if (record->interval_ns > 0 &&
        now_ns - record->interval_at_ns <= INTERVAL_KEEP_NS) {
        return record->interval_ns;
    }
    return (tenants > 1 ? tenants : 1) *
           get_class_interval_ns(contention, class);
}

int64_t
HrContention_EstimateNs(HrContention *contention, const HrTurnCaller *caller,
                        int64_t now_ns)
{
    const char *name = get_name(caller);
    uint32_t class = get_class(caller), same_class, ahead, own;
    double wait_ns, own_wait_ns;

    end_limit_if_calm(contention, now_ns);
    if (has_room(contention) && contention->queue.waiting == 0) {
        return 0;
    }
    ahead =
        HrAdmitQueue_CountAhead(&contention->queue, class, name, &same_class);
    wait_ns = (ahead - same_class) * contention->mean_service_ns /
                  contention->limit +
              (same_class + 1) * get_class_interval_ns(contention, class);
    /* The tenants that wait at this moment are fewer than those that get a
     * share, some of which wait for a short time only. */
    own = HrAdmitQueue_CountCallerWaiting(&contention->queue, name, class);
    own_wait_ns =
        own * get_tenant_interval_ns(contention, name, class, now_ns);
    wait_ns = own_wait_ns > wait_ns ? own_wait_ns : wait_ns;
    return (int64_t)(wait_ns + contention->mean_service_ns);
}

int64_t
HrContention_ScheduleReturn(HrContention *contention,
                            const HrTurnCaller *caller, int64_t delay_ns,
                            int64_t now_ns)
{
    const char *name = get_name(caller);
    uint32_t class = get_class(caller);
    HrContentionTenant *record = get_record(contention, name, class);
    int64_t at_ns = now_ns + delay_ns;

    if (!contention->limited) {
        return delay_ns;
    }
    if (at_ns < record->returns_ns) {
        at_ns = record->returns_ns;
    }
    if (at_ns > now_ns + RETURN_MAX_NS) {
        at_ns = now_ns + RETURN_MAX_NS;
    }
    /* The next one returns when the tenant has had one more start. */
    record->returns_ns = at_ns + (int64_t)get_tenant_interval_ns(
                                     contention, name, class, now_ns);
    return at_ns - now_ns;
}

int64_t
HrContention_GetMeanServiceNs(const HrContention *contention)
{
    return (int64_t)contention->mean_service_ns;
}

bool
HrContention_HasWaiting(const HrContention *contention)
{
    return contention->queue.waiting > 0;
}
