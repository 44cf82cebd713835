#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <string.h>
#include <talloc.h>

#include "coord-claim.h"

/* The interval between two resends doubles until it is at least this long. */
#define MAX_RESEND_NS (8 * HR_NS_PER_S)

/* How long a closed entry is retained, to release the claim if a grant is
 * received late. */
#define CLOSED_RETENTION_NS (30 * HR_NS_PER_S)

typedef enum EntryState {
    ENTRY_REQUESTING, /* waiting for the owner's reply to the claim request */
    ENTRY_DISPATCHED, /* the embedding code runs the request and reports its
                         outcome */
    ENTRY_REPORTING,  /* the outcome is resent until acknowledged */
    ENTRY_CLOSED,     /* not dispatched; retained for CLOSED_RETENTION_NS */
} EntryState;

/* One claim request of this daemon, until its outcome is acknowledged. */
typedef struct Entry {
    RB_ENTRY(Entry) by_sequence;
    RB_ENTRY(Entry) by_due;
    EntryState state;
    uint64_t sequence;
    uint64_t token;
    uint32_t partition;
    char request_id[HR_REQUEST_ID_BYTES];
    int64_t expires_ms;
    int64_t deadline_ns;
    bool first_copy;
    int64_t resend_ns; /* interval to the next resend, before jitter */
    int64_t resend_at_ns;
    int64_t remove_at_ns; /* REPORTING, CLOSED */
    int64_t due_ns;       /* when its next timer is due; key of by_due */
    HrClaimState outcome;
    HrReason reason; /* why the claim was released */
    uint16_t result_bytes;
    uint8_t result[HR_CLAIM_RESULT_BYTES];
} Entry;

typedef struct QueuedAction {
    STAILQ_ENTRY(QueuedAction) link;
    HrClaimHolderAction action;
} QueuedAction;

RB_HEAD(SequenceTree, Entry);
RB_HEAD(DueTree, Entry);

struct HrClaimHolder {
    HrClaimHolderConfig config;
    HrRng rng;
    uint64_t last_sequence;
    uint32_t entry_count;
    uint32_t unfinished_count; /* entries that are not closed */
    uint64_t owners[HR_CLAIM_PARTITIONS];
    struct SequenceTree by_sequence;
    struct DueTree by_due;
    STAILQ_HEAD(ActionQueue, QueuedAction) actions;
    HrClaimHolderAction discarded_action; /* scratch action to fill in when
                                             none could be allocated */
};

static int
compare_sequence(const Entry *left, const Entry *right)
{
    return left->sequence < right->sequence   ? -1
           : left->sequence > right->sequence ? 1
                                              : 0;
}

/* Orders entries by due time, then by sequence. */
static int
compare_due(const Entry *left, const Entry *right)
{
    if (left->due_ns != right->due_ns) {
        return left->due_ns < right->due_ns ? -1 : 1;
    }
    return compare_sequence(left, right);
}

/* RB_GENERATE_STATIC needs a BSD macro that the C library does not have. */
#define UNUSED_STATIC __attribute__((unused)) static
RB_GENERATE_INTERNAL(SequenceTree, Entry, by_sequence, compare_sequence,
                     UNUSED_STATIC)
RB_GENERATE_INTERNAL(DueTree, Entry, by_due, compare_due, UNUSED_STATIC)

/* Queues an action whose fields are zero and returns it for the caller to fill
 * in. When out of memory, returns a scratch action that is never popped. */
static HrClaimHolderAction *
push_action(HrClaimHolder *holder, HrClaimHolderActionKind kind)
{
    QueuedAction *entry = talloc_zero(holder, QueuedAction);

    if (entry == NULL) {
        return &holder->discarded_action;
    }
    entry->action.kind = kind;
    STAILQ_INSERT_TAIL(&holder->actions, entry, link);
    return &entry->action;
}

static bool
is_entry_unfinished(const Entry *entry)
{
    return entry->state != ENTRY_CLOSED;
}

/* Changes the state of an entry and updates unfinished_count. */
static void
set_entry_state(HrClaimHolder *holder, Entry *entry, EntryState state)
{
    holder->unfinished_count -= is_entry_unfinished(entry);
    entry->state = state;
    holder->unfinished_count += is_entry_unfinished(entry);
}

/* Returns the monotonic time of an entry's next timer: its resend, deadline or
 * removal, whichever is first. */
static int64_t
get_due_ns(const Entry *entry)
{
    int64_t limit_ns = entry->remove_at_ns;

    switch (entry->state) {
    case ENTRY_REQUESTING:
        limit_ns = entry->deadline_ns;
        break;
    case ENTRY_DISPATCHED:
        return HR_TIME_NEVER;
    case ENTRY_REPORTING:
        break;
    case ENTRY_CLOSED:
        return limit_ns;
    }
    return entry->resend_at_ns < limit_ns ? entry->resend_at_ns : limit_ns;
}

/* Recomputes the due time of an entry and moves the entry to its position in
 * by_due. */
static void
reschedule_entry(HrClaimHolder *holder, Entry *entry)
{
    RB_REMOVE(DueTree, &holder->by_due, entry);
    entry->due_ns = get_due_ns(entry);
    RB_INSERT(DueTree, &holder->by_due, entry);
}

static void
remove_entry(HrClaimHolder *holder, Entry *entry)
{
    RB_REMOVE(DueTree, &holder->by_due, entry);
    RB_REMOVE(SequenceTree, &holder->by_sequence, entry);
    holder->unfinished_count -= is_entry_unfinished(entry);
    holder->entry_count--;
    talloc_free(entry);
}

/* Queues an ANSWER without a recorded outcome for a copy that does not run
 * here. */
static void
push_answer(HrClaimHolder *holder, uint64_t token, HrClaimVerdict verdict,
            HrReason reason, bool not_run)
{
    HrClaimHolderAction *action =
        push_action(holder, HR_CLAIM_HOLDER_ACTION_ANSWER);

    action->u.answer.token = token;
    action->u.answer.verdict = verdict;
    action->u.answer.reason = reason;
    action->u.answer.not_run = not_run;
}

/* Sends the claim request or the outcome of an entry to the partition's owner
 * and schedules the next resend. If the partition has no owner in the view,
 * only schedules the resend. */
static void
send_entry(HrClaimHolder *holder, Entry *entry, int64_t now_ns)
{
    uint64_t owner_id = holder->owners[entry->partition];
    HrClaimMessage *message;
    HrClaimHolderAction *action;

    entry->resend_at_ns =
        now_ns + entry->resend_ns +
        (int64_t)HrRng_DrawBelow(&holder->rng,
                                 (uint64_t)entry->resend_ns / 4 + 1);
    if (entry->resend_ns < MAX_RESEND_NS) {
        entry->resend_ns *= 2;
    }
    if (owner_id == 0) {
        return;
    }
    action = push_action(holder, HR_CLAIM_HOLDER_ACTION_SEND);
    action->u.send.daemon_id = owner_id;
    message = &action->u.send.message;
    message->kind = entry->state == ENTRY_REQUESTING
                        ? HR_CLAIM_MESSAGE_REQUEST
                        : HR_CLAIM_MESSAGE_OUTCOME;
    message->holder.daemon_id = holder->config.daemon_id;
    message->holder.incarnation = holder->config.incarnation;
    message->holder.sequence = entry->sequence;
    memcpy(message->request_id, entry->request_id,
           sizeof(message->request_id));
    message->expires_ms = entry->expires_ms;
    message->time_left_ns = entry->deadline_ns - now_ns;
    message->first_copy = entry->first_copy;
    message->state = entry->outcome;
    message->reason = entry->reason;
    message->result_bytes = entry->result_bytes;
    memcpy(message->result, entry->result, entry->result_bytes);
}

/* Starts to report the outcome of an entry. It is resent until it is
 * acknowledged or the record is removed from the store: until then, other
 * copies are answered with the recorded outcome. */
static void
start_reporting(HrClaimHolder *holder, Entry *entry, HrClaimState outcome,
                int64_t now_ns, int64_t wall_ms)
{
    int64_t left_ms = entry->expires_ms - wall_ms;

    /* Limits the time, so that a jump of the wall clock cannot retain the
     * entry forever. */
    left_ms = left_ms < 0 ? 0 : left_ms;
    left_ms = left_ms > HR_CLAIM_MAX_EXPIRY_AHEAD_MS
                  ? HR_CLAIM_MAX_EXPIRY_AHEAD_MS
                  : left_ms;
    entry->outcome = outcome;
    entry->remove_at_ns =
        now_ns + (left_ms + HR_CLAIM_RETENTION_MS) * HR_NS_PER_MS;
    entry->resend_ns = holder->config.resend_ns;
    set_entry_state(holder, entry, ENTRY_REPORTING);
    send_entry(holder, entry, now_ns);
    reschedule_entry(holder, entry);
}

/* Releases a claim whose request was not dispatched or was declined. With the
 * reason EXPIRED the owner records the id as expired, so no later copy
 * runs. */
static void
release_entry(HrClaimHolder *holder, Entry *entry, HrReason reason,
              int64_t now_ns, int64_t wall_ms)
{
    entry->reason = reason;
    HrCounters_Add(holder->config.counters, HR_COUNTER_claims_released, 1);
    start_reporting(holder, entry, HR_CLAIM_RELEASED, now_ns, wall_ms);
}

/* Closes an entry that was not dispatched and that has no claim left to
 * release. */
static void
close_entry(HrClaimHolder *holder, Entry *entry, int64_t now_ns)
{
    set_entry_state(holder, entry, ENTRY_CLOSED);
    entry->remove_at_ns = now_ns + CLOSED_RETENTION_NS;
    reschedule_entry(holder, entry);
}

/* Answers a copy whose deadline has passed without a reply. The owner may
 * still grant the claim later, so the claim is released as well. */
static void
expire_request(HrClaimHolder *holder, Entry *entry, int64_t now_ns,
               int64_t wall_ms)
{
    if (entry->first_copy) {
        push_answer(holder, entry->token, HR_CLAIM_VERDICT_REFUSED,
                    HR_REASON_DEADLINE, true);
    }
    else {
        push_answer(holder, entry->token, HR_CLAIM_VERDICT_UNKNOWN,
                    HR_REASON_DEADLINE, false);
    }
    release_entry(holder, entry, HR_REASON_DEADLINE, now_ns, wall_ms);
}

/* Handles the due timer of an entry: expires its request, removes it or
 * resends its message. */
static void
handle_entry_timer(HrClaimHolder *holder, Entry *entry, int64_t now_ns,
                   int64_t wall_ms)
{
    if (entry->state == ENTRY_REQUESTING && now_ns >= entry->deadline_ns) {
        expire_request(holder, entry, now_ns, wall_ms);
    }
    else if (entry->state != ENTRY_REQUESTING &&
             now_ns >= entry->remove_at_ns) {
        remove_entry(holder, entry);
    }
    else {
        send_entry(holder, entry, now_ns);
        reschedule_entry(holder, entry);
    }
}

/* Handles the timers of all entries that are due. */
static void
handle_due_timers(HrClaimHolder *holder, int64_t now_ns, int64_t wall_ms)
{
    Entry *entry;

    while ((entry = RB_MIN(DueTree, &holder->by_due)) != NULL &&
           entry->due_ns <= now_ns) {
        handle_entry_timer(holder, entry, now_ns, wall_ms);
    }
}

/* Handles a grant: dispatches the request, once, or releases the claim if the
 * deadline or expiry has passed. A grant proves that no earlier copy ran. */
static void
handle_grant(HrClaimHolder *holder, Entry *entry, int64_t now_ns,
             int64_t wall_ms)
{
    HrReason late = now_ns >= entry->deadline_ns   ? HR_REASON_DEADLINE
                    : wall_ms >= entry->expires_ms ? HR_REASON_EXPIRED
                                                   : HR_REASON_NONE;
    HrClaimHolderAction *action;

    if (entry->state == ENTRY_CLOSED) {
        release_entry(holder, entry, entry->reason, now_ns, wall_ms);
    }
    if (entry->state != ENTRY_REQUESTING) {
        return;
    }
    if (late != HR_REASON_NONE) {
        push_answer(holder, entry->token, HR_CLAIM_VERDICT_REFUSED, late,
                    true);
        release_entry(holder, entry, late, now_ns, wall_ms);
        return;
    }
    HrCounters_Add(holder->config.counters, HR_COUNTER_claims_granted, 1);
    set_entry_state(holder, entry, ENTRY_DISPATCHED);
    reschedule_entry(holder, entry);
    action = push_action(holder, HR_CLAIM_HOLDER_ACTION_DISPATCH);
    action->u.dispatch.token = entry->token;
    action->u.dispatch.sequence = entry->sequence;
    action->u.dispatch.deadline_ns = entry->deadline_ns;
}

/* Answers the copy with a reply other than a grant, and closes the entry. */
static void
answer_denial(HrClaimHolder *holder, Entry *entry,
              const HrClaimMessage *message, int64_t now_ns)
{
    HrClaimHolderAction *action;

    if (entry->state != ENTRY_REQUESTING) {
        return;
    }
    action = push_action(holder, HR_CLAIM_HOLDER_ACTION_ANSWER);
    action->u.answer.token = entry->token;
    action->u.answer.verdict = message->verdict;
    action->u.answer.reason = message->reason;
    action->u.answer.not_run = message->not_run;
    action->u.answer.state = message->state;
    action->u.answer.result_bytes = message->result_bytes;
    memcpy(action->u.answer.result, message->result, message->result_bytes);
    close_entry(holder, entry, now_ns);
}

/* Handles the acknowledgement of an outcome. The entry of a released claim is
 * closed instead of removed, to release the claim again if a grant is received
 * late. */
static void
handle_ack(HrClaimHolder *holder, Entry *entry, int64_t now_ns)
{
    if (entry->state != ENTRY_REPORTING) {
        return;
    }
    if (entry->outcome == HR_CLAIM_RELEASED) {
        close_entry(holder, entry, now_ns);
    }
    else {
        remove_entry(holder, entry);
    }
}

static Entry *
find_entry(HrClaimHolder *holder, uint64_t sequence)
{
    Entry key = {.sequence = sequence};

    return RB_FIND(SequenceTree, &holder->by_sequence, &key);
}

/* Handles a message from an owner; ignores one for another daemon, an earlier
 * incarnation or an unknown entry. */
static void
handle_message(HrClaimHolder *holder, const HrClaimHolderEvent *event)
{
    const HrClaimMessage *message = event->u.message;
    Entry *entry;

    if (message->holder.daemon_id != holder->config.daemon_id ||
        message->holder.incarnation != holder->config.incarnation) {
        return;
    }
    entry = find_entry(holder, message->holder.sequence);
    if (entry == NULL) {
        return;
    }
    if (message->kind == HR_CLAIM_MESSAGE_OUTCOME_ACK) {
        handle_ack(holder, entry, event->now_ns);
    }
    else if (message->kind == HR_CLAIM_MESSAGE_REPLY &&
             message->verdict == HR_CLAIM_VERDICT_GRANTED) {
        handle_grant(holder, entry, event->now_ns, event->wall_ms);
    }
    else if (message->kind == HR_CLAIM_MESSAGE_REPLY) {
        answer_denial(holder, entry, message, event->now_ns);
    }
}

/* Returns the reason to refuse a copy without sending a claim request;
 * HR_REASON_NONE if it may be claimed. */
static HrReason
get_refusal_reason(const HrClaimHolder *holder, const HrClaimStart *start,
                   int64_t now_ns)
{
    size_t length = strlen(start->request_id);

    if (length == 0 || length >= HR_REQUEST_ID_BYTES) {
        return HR_REASON_NO_ROUTE;
    }
    if (now_ns >= start->deadline_ns) {
        return HR_REASON_DEADLINE;
    }
    if (holder->entry_count >= holder->config.max_entries) {
        return HR_REASON_OVERLOADED;
    }
    return HR_REASON_NONE;
}

/* Creates the entry of a copy and sends its claim request, or answers the copy
 * with a refusal. */
static void
start_claim(HrClaimHolder *holder, const HrClaimStart *start, int64_t now_ns)
{
    HrReason reason = get_refusal_reason(holder, start, now_ns);
    Entry *entry = NULL;

    if (reason == HR_REASON_NONE) {
        entry = talloc_zero(holder, Entry);
        reason = HR_REASON_OVERLOADED;
    }
    if (entry == NULL) {
        push_answer(holder, start->token, HR_CLAIM_VERDICT_REFUSED, reason,
                    start->first_copy);
        return;
    }
    entry->state = ENTRY_REQUESTING;
    entry->sequence = ++holder->last_sequence;
    entry->token = start->token;
    entry->partition = HrOwner_GetClaimPartition(start->request_id);
    memcpy(entry->request_id, start->request_id,
           strlen(start->request_id) + 1);
    entry->expires_ms = start->expires_ms;
    entry->deadline_ns = start->deadline_ns;
    entry->first_copy = start->first_copy;
    entry->resend_ns = holder->config.resend_ns;
    holder->entry_count++;
    holder->unfinished_count++;
    RB_INSERT(SequenceTree, &holder->by_sequence, entry);
    RB_INSERT(DueTree, &holder->by_due, entry);
    send_entry(holder, entry, now_ns);
    reschedule_entry(holder, entry);
}

/* Handles the outcome of a dispatched request. A result of more than
 * HR_CLAIM_RESULT_BYTES is omitted. */
static void
handle_outcome(HrClaimHolder *holder, const HrClaimHolderEvent *event)
{
    const HrBytes *result = &event->u.outcome.result;
    Entry *entry = find_entry(holder, event->u.outcome.sequence);

    if (entry == NULL || entry->state != ENTRY_DISPATCHED) {
        return;
    }
    if (event->u.outcome.state == HR_CLAIM_RELEASED) {
        release_entry(holder, entry, HR_REASON_NONE, event->now_ns,
                      event->wall_ms);
        return;
    }
    if (result->length_bytes > 0 &&
        result->length_bytes <= HR_CLAIM_RESULT_BYTES) {
        entry->result_bytes = (uint16_t)result->length_bytes;
        memcpy(entry->result, result->data, result->length_bytes);
    }
    start_reporting(holder, entry, event->u.outcome.state, event->now_ns,
                    event->wall_ms);
}

/* Determines the partition owners from a new member view. Claim requests and
 * outcomes that wait for a previous owner are made due now, and so are sent to
 * the new one at once. */
static void
handle_view(HrClaimHolder *holder, const HrMemberView *view, int64_t now_ns)
{
    bool changed[HR_CLAIM_PARTITIONS];
    uint32_t i;
    Entry *entry;

    for (i = 0; i < HR_CLAIM_PARTITIONS; i++) {
        uint64_t owner_id = HrOwner_FindPartitionOwner(view, i);

        changed[i] = owner_id != holder->owners[i];
        holder->owners[i] = owner_id;
    }
    for (entry = RB_MIN(SequenceTree, &holder->by_sequence); entry != NULL;
         entry = RB_NEXT(SequenceTree, &holder->by_sequence, entry)) {
        if (changed[entry->partition] && (entry->state == ENTRY_REQUESTING ||
                                          entry->state == ENTRY_REPORTING)) {
            entry->resend_at_ns = now_ns;
            entry->resend_ns = holder->config.resend_ns;
            reschedule_entry(holder, entry);
        }
    }
}

void
HrClaimHolderConfig_GetDefaults(HrClaimHolderConfig *config)
{
    memset(config, 0, sizeof(*config));
    /* Longer than the usual time to a reply: up to one commit interval of 200
     * ms, plus a write to the store. */
    config->resend_ns = 400 * HR_NS_PER_MS;
    config->max_entries = 16384;
}

/* Creates the state machine of one daemon as claim holder. It sends nothing
 * before the first VIEW event. Returns NULL when out of memory. */
HrClaimHolder *
HrClaimHolder_Create(const void *parent, const HrClaimHolderConfig *config,
                     HrRng rng)
{
    HrClaimHolder *holder = talloc_zero(parent, HrClaimHolder);

    if (holder == NULL) {
        return NULL;
    }
    holder->config = *config;
    holder->rng = rng;
    RB_INIT(&holder->by_sequence);
    RB_INIT(&holder->by_due);
    STAILQ_INIT(&holder->actions);
    return holder;
}

void
HrClaimHolder_HandleEvent(HrClaimHolder *holder,
                          const HrClaimHolderEvent *event)
{
    switch (event->kind) {
    case HR_CLAIM_HOLDER_EVENT_TIMER:
        break;
    case HR_CLAIM_HOLDER_EVENT_VIEW:
        handle_view(holder, event->u.view, event->now_ns);
        break;
    case HR_CLAIM_HOLDER_EVENT_START:
        start_claim(holder, &event->u.start, event->now_ns);
        break;
    case HR_CLAIM_HOLDER_EVENT_MESSAGE:
        handle_message(holder, event);
        break;
    case HR_CLAIM_HOLDER_EVENT_OUTCOME:
        handle_outcome(holder, event);
        break;
    }
    handle_due_timers(holder, event->now_ns, event->wall_ms);
}

bool
HrClaimHolder_PopAction(HrClaimHolder *holder, HrClaimHolderAction *action)
{
    QueuedAction *entry = STAILQ_FIRST(&holder->actions);

    if (entry == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&holder->actions, link);
    *action = entry->action;
    talloc_free(entry);
    return true;
}

int64_t
HrClaimHolder_GetNextTimer(const HrClaimHolder *holder)
{
    /* RB_MIN of libbsd needs a pointer to a non-const head. */
    struct DueTree head = holder->by_due;
    Entry *entry = RB_MIN(DueTree, &head);

    return entry != NULL ? entry->due_ns : HR_TIME_NEVER;
}

/* Returns the number of claims that wait for a reply, whose request is
 * running, or whose outcome is not acknowledged yet. */
uint32_t
HrClaimHolder_GetUnfinishedCount(const HrClaimHolder *holder)
{
    return holder->unfinished_count;
}
