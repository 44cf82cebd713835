#include <bsd/sys/queue.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-claim-value.h"

/* Where an ask or outcome stands. */
typedef enum OpPhase {
    OP_PENDING,  /* to be evaluated against the committed value */
    OP_WAITING,  /* another copy holds the claim */
    OP_IN_BATCH, /* its change is part of the proposed value */
} OpPhase;

/* An ask or outcome that is not answered yet. */
typedef struct Op {
    TAILQ_ENTRY(Op) link;
    HrClaimMessage message;
    int64_t arrived_ns;
    int64_t deadline_ns; /* the holder has given up by then */
    OpPhase phase;
    bool maybe_written; /* part of a write with an unknown outcome */
} Op;

/* What the committed value says about an op. */
typedef enum Finding {
    FINDING_ANSWERED, /* a reply was sent */
    FINDING_WAIT,     /* another copy holds the claim */
    FINDING_READ,     /* only a newer read of the store can tell */
    FINDING_CHANGE,   /* the value must change first */
} Finding;

/* One partition, as far as this daemon has worked on it. */
typedef struct Partition {
    uint32_t index;
    HrClaimValue *committed; /* NULL: must be read */
    HrClaimValue *proposed;  /* while a PUT is in flight */
    uint64_t revision;
    int64_t confirmed_ns; /* committed includes every write before it */
    uint64_t call;        /* in flight; 0: none */
    int64_t call_began_ns;
    int64_t commit_began_ns;
    int64_t retry_at_ns;
    int64_t used_ns;
    int64_t wake_ns;
    TAILQ_HEAD(OpList, Op) ops;
} Partition;

/* A queued action. */
typedef struct OwnerAction {
    STAILQ_ENTRY(OwnerAction) link;
    HrClaimOwnerAction action;
} OwnerAction;

struct HrClaimOwner {
    HrClaimOwnerConfig config;
    HrRng rng;
    uint64_t last_call;
    uint32_t op_count;
    HrClaimMessage unsent; /* written instead of one without memory */
    Partition partitions[HR_CLAIM_PARTITIONS];
    STAILQ_HEAD(, OwnerAction) actions;
};

/* Returns an empty queued action; NULL when memory is short. */
static HrClaimOwnerAction *
push_action(HrClaimOwner *owner, HrClaimOwnerActionKind kind)
{
    OwnerAction *entry = talloc_zero(owner, OwnerAction);

    if (entry == NULL) {
        return NULL;
    }
    entry->action.kind = kind;
    STAILQ_INSERT_TAIL(&owner->actions, entry, link);
    return &entry->action;
}

/* Returns a queued message to the holder of an ask or outcome. A message that
 * cannot be allocated counts as lost: the holder asks again. */
static HrClaimMessage *
push_message(HrClaimOwner *owner, const HrClaimMessage *about,
             HrClaimMessageKind kind)
{
    HrClaimOwnerAction *action =
        push_action(owner, HR_CLAIM_OWNER_ACTION_SEND);
    HrClaimMessage *message;

    if (action == NULL) {
        return &owner->unsent;
    }
    action->u.send.daemon_id = about->holder.daemon_id;
    message = &action->u.send.message;
    message->kind = kind;
    message->holder = about->holder;
    memcpy(message->request_id, about->request_id,
           sizeof(message->request_id));
    message->expires_ms = about->expires_ms;
    return message;
}

/* Answers an ask with a verdict without a result. */
static Finding
reply_verdict(HrClaimOwner *owner, const HrClaimMessage *ask,
              HrClaimVerdict verdict)
{
    push_message(owner, ask, HR_CLAIM_MESSAGE_REPLY)->verdict = verdict;
    return FINDING_ANSWERED;
}

/* Refuses an ask. */
static Finding
reply_refused(HrClaimOwner *owner, const HrClaimMessage *ask, HrReason reason,
              bool not_run)
{
    HrClaimMessage *reply = push_message(owner, ask, HR_CLAIM_MESSAGE_REPLY);

    reply->verdict = HR_CLAIM_VERDICT_REFUSED;
    reply->reason = reason;
    reply->not_run = not_run;
    return FINDING_ANSWERED;
}

/* Answers an ask with the outcome that another copy had. */
static Finding
reply_recorded(HrClaimOwner *owner, const HrClaimMessage *ask,
               const HrClaimRecord *record)
{
    HrClaimMessage *reply = push_message(owner, ask, HR_CLAIM_MESSAGE_REPLY);

    reply->verdict = HR_CLAIM_VERDICT_RECORDED;
    reply->state = record->state;
    reply->result_bytes = record->result_bytes;
    memcpy(reply->result, record->result, record->result_bytes);
    return FINDING_ANSWERED;
}

/* Confirms an outcome. */
static Finding
reply_ack(HrClaimOwner *owner, const HrClaimMessage *outcome)
{
    push_message(owner, outcome, HR_CLAIM_MESSAGE_OUTCOME_ACK)->state =
        outcome->state;
    return FINDING_ANSWERED;
}

/* Removes an op that is answered or abandoned. */
static void
remove_op(HrClaimOwner *owner, Partition *partition, Op *op)
{
    TAILQ_REMOVE(&partition->ops, op, link);
    owner->op_count--;
    talloc_free(op);
}

/* Evaluates an ask whose id has a record. */
static Finding
evaluate_recorded_ask(HrClaimOwner *owner, const HrClaimMessage *ask,
                      const HrClaimRecord *record)
{
    if (record->state != HR_CLAIM_HELD) {
        return reply_recorded(owner, ask, record);
    }
    if (HrClaimHolderId_Equals(&record->holder, &ask->holder)) {
        return reply_verdict(owner, ask, HR_CLAIM_VERDICT_GRANTED);
    }
    return FINDING_WAIT;
}

/* Evaluates an ask against the committed value. An id below the watermark is
 * refused whatever the wall clock says, since its record may be dropped. */
static Finding
evaluate_ask(HrClaimOwner *owner, const Partition *partition, const Op *op,
             int64_t wall_ms)
{
    const HrClaimMessage *ask = &op->message;
    const HrClaimRecord *record =
        HrClaimValue_Find(partition->committed, ask->request_id);

    if (record != NULL) {
        return evaluate_recorded_ask(owner, ask, record);
    }
    if (ask->expires_ms <= partition->committed->watermark_ms) {
        return reply_refused(owner, ask, HR_REASON_EXPIRED, false);
    }
    if (wall_ms < ask->expires_ms &&
        ask->expires_ms - wall_ms <= HR_CLAIM_MAX_AHEAD_MS) {
        return FINDING_CHANGE;
    }
    if (partition->confirmed_ns < op->arrived_ns) {
        return FINDING_READ;
    }
    return reply_refused(owner, ask, HR_REASON_EXPIRED, true);
}

/* Evaluates an outcome against the committed value. The first outcome stays;
 * one without a record is confirmed once a read after its arrival has shown
 * that there is nothing to change. */
static Finding
evaluate_outcome(HrClaimOwner *owner, const Partition *partition, const Op *op)
{
    const HrClaimMessage *outcome = &op->message;
    const HrClaimRecord *record =
        HrClaimValue_Find(partition->committed, outcome->request_id);

    if (record != NULL &&
        HrClaimHolderId_Equals(&record->holder, &outcome->holder)) {
        return record->state == HR_CLAIM_HELD ? FINDING_CHANGE
                                              : reply_ack(owner, outcome);
    }
    if (partition->confirmed_ns < op->arrived_ns) {
        return FINDING_READ;
    }
    return reply_ack(owner, outcome);
}

/* Evaluates an op against the committed value. */
static Finding
evaluate_op(HrClaimOwner *owner, const Partition *partition, const Op *op,
            int64_t wall_ms)
{
    if (op->message.kind == HR_CLAIM_MESSAGE_ASK) {
        return evaluate_ask(owner, partition, op, wall_ms);
    }
    return evaluate_outcome(owner, partition, op);
}

/* Returns a new record for an op. */
static HrClaimRecord *
create_record(const HrClaimOwner *owner, const HrClaimMessage *message,
              HrClaimState state)
{
    HrClaimRecord *record = talloc_zero(owner, HrClaimRecord);

    if (record == NULL) {
        return NULL;
    }
    memcpy(record->request_id, message->request_id,
           sizeof(record->request_id));
    record->expires_ms = message->expires_ms;
    record->holder = message->holder;
    record->state = state;
    return record;
}

/* Adds a claim to the proposed value; one that does not fit is refused. */
static Finding
propose_claim(HrClaimOwner *owner, Partition *partition, const Op *op,
              uint64_t *size_bytes)
{
    HrClaimRecord *record;

    if (HrClaimValue_Find(partition->proposed, op->message.request_id)) {
        return FINDING_WAIT;
    }
    record = create_record(owner, &op->message, HR_CLAIM_HELD);
    if (record == NULL ||
        *size_bytes + HrClaimRecord_SizeBound(record) > HR_CLAIM_VALUE_BYTES ||
        HrClaimValue_Put(partition->proposed, record) != HR_OK) {
        talloc_free(record);
        return reply_refused(owner, &op->message, HR_REASON_OVERLOADED,
                             op->message.first_copy);
    }
    *size_bytes += HrClaimRecord_SizeBound(record);
    return FINDING_CHANGE;
}

/* Adds an outcome to the proposed value. The result is left out when it does
 * not fit; the state always does. */
static Finding
propose_outcome(HrClaimOwner *owner, Partition *partition, const Op *op,
                uint64_t *size_bytes)
{
    const HrClaimMessage *outcome = &op->message;
    const HrClaimRecord *held =
        HrClaimValue_Find(partition->proposed, outcome->request_id);
    HrClaimRecord *record;

    if (held == NULL) {
        return FINDING_CHANGE; /* it has expired: its removal is written */
    }
    if (!HrClaimHolderId_Equals(&held->holder, &outcome->holder) ||
        held->state != HR_CLAIM_HELD) {
        return FINDING_WAIT;
    }
    if (outcome->state == HR_CLAIM_RELEASED) {
        HrClaimValue_Remove(partition->proposed, outcome->request_id);
        return FINDING_CHANGE;
    }
    record = create_record(owner, outcome, outcome->state);
    if (record == NULL) {
        return FINDING_WAIT;
    }
    record->expires_ms = held->expires_ms;
    if (*size_bytes + outcome->result_bytes <= HR_CLAIM_VALUE_BYTES) {
        record->result_bytes = outcome->result_bytes;
        memcpy(record->result, outcome->result, outcome->result_bytes);
        *size_bytes += outcome->result_bytes;
    }
    /* Replacing a record allocates nothing. */
    HrClaimValue_Put(partition->proposed, record);
    return FINDING_CHANGE;
}

/* Applies the pending ops to the proposed value; returns the number of
 * changes. */
static uint32_t
propose_changes(HrClaimOwner *owner, Partition *partition)
{
    uint64_t size_bytes = HrClaimValue_SizeBound(partition->proposed);
    uint32_t changes = 0;
    Op *op, *next;

    TAILQ_FOREACH_SAFE (op, &partition->ops, link, next) {
        Finding finding;

        if (op->phase != OP_PENDING) {
            continue;
        }
        if (op->message.kind == HR_CLAIM_MESSAGE_ASK) {
            finding = propose_claim(owner, partition, op, &size_bytes);
        }
        else {
            finding = propose_outcome(owner, partition, op, &size_bytes);
        }
        if (finding == FINDING_ANSWERED) {
            remove_op(owner, partition, op);
        }
        else if (finding == FINDING_CHANGE) {
            op->phase = OP_IN_BATCH;
            changes++;
        }
    }
    return changes;
}

/* Starts a store call. */
static void
start_call(HrClaimOwner *owner, Partition *partition,
           HrClaimOwnerActionKind kind, int64_t now_ns)
{
    HrClaimOwnerAction *action = push_action(owner, kind);

    if (action == NULL) {
        partition->retry_at_ns = now_ns + owner->config.retry_ns;
        return;
    }
    partition->call = ++owner->last_call;
    partition->call_began_ns = now_ns;
    action->u.store.partition = partition->index;
    action->u.store.call = partition->call;
    action->u.store.cas_revision = partition->revision;
    action->u.store.value = partition->proposed;
    snprintf(action->u.store.key, sizeof(action->u.store.key),
             "hickory/claims/%02u", partition->index);
}

/* Starts the commit of the pending ops. */
static void
start_commit(HrClaimOwner *owner, Partition *partition, int64_t now_ns,
             int64_t wall_ms)
{
    partition->proposed = HrClaimValue_Share(owner, partition->committed);
    if (partition->proposed == NULL) {
        partition->retry_at_ns = now_ns + owner->config.retry_ns;
        return;
    }
    HrClaimValue_DropExpired(partition->proposed, wall_ms);
    if (propose_changes(owner, partition) > 0) {
        partition->commit_began_ns = now_ns;
        start_call(owner, partition, HR_CLAIM_OWNER_ACTION_PUT, now_ns);
    }
    if (partition->call == 0) {
        HrClaimValue_Free(partition->proposed, partition->committed);
        partition->proposed = NULL;
    }
}

/* Makes sure that the partition is run at a time. */
static void
wake_by(Partition *partition, int64_t time_ns)
{
    if (time_ns < partition->wake_ns) {
        partition->wake_ns = time_ns;
    }
}

/* Returns when a failed store call is repeated; jittered, so that two owners
 * of a partition do not collide again and again. */
static int64_t
choose_retry(HrClaimOwner *owner, int64_t now_ns)
{
    int64_t retry_ns = owner->config.retry_ns;

    return now_ns + retry_ns +
           (int64_t)HrRng_Below(&owner->rng, (uint64_t)retry_ns / 2 + 1);
}

/* Drops the asks whose holders have given up; they release on their own. */
static void
drop_late_asks(HrClaimOwner *owner, Partition *partition, int64_t now_ns)
{
    Op *op, *next;

    TAILQ_FOREACH_SAFE (op, &partition->ops, link, next) {
        if (op->deadline_ns <= now_ns) {
            remove_op(owner, partition, op);
        }
        else {
            wake_by(partition, op->deadline_ns);
        }
    }
}

/* Evaluates every op; yields whether a read and a change are needed, and
 * moves wake_ns forward to the next refresh. */
static void
evaluate_ops(HrClaimOwner *owner, Partition *partition, int64_t now_ns,
             int64_t wall_ms, bool *read, bool *change)
{
    Op *op, *next;

    TAILQ_FOREACH_SAFE (op, &partition->ops, link, next) {
        Finding finding = evaluate_op(owner, partition, op, wall_ms);
        int64_t refresh_at_ns =
            partition->confirmed_ns + owner->config.refresh_ns;

        if (finding == FINDING_ANSWERED) {
            remove_op(owner, partition, op);
            continue;
        }
        op->phase = finding == FINDING_WAIT ? OP_WAITING : OP_PENDING;
        if (finding == FINDING_WAIT && now_ns >= refresh_at_ns) {
            *read = true;
        }
        else if (finding == FINDING_WAIT) {
            wake_by(partition, refresh_at_ns);
        }
        *read = *read || finding == FINDING_READ;
        *change = *change || finding == FINDING_CHANGE;
    }
}

/* Forgets a partition that nobody uses. */
static void
forget_idle(const HrClaimOwner *owner, Partition *partition, int64_t now_ns)
{
    if (partition->committed == NULL) {
        return;
    }
    if (now_ns - partition->used_ns < owner->config.idle_ns) {
        partition->wake_ns = partition->used_ns + owner->config.idle_ns;
        return;
    }
    HrClaimValue_Free(partition->committed, NULL);
    partition->committed = NULL;
}

/* Does what a partition without a store call in flight needs next. */
static void
run_partition(HrClaimOwner *owner, Partition *partition, int64_t now_ns,
              int64_t wall_ms)
{
    bool read = partition->committed == NULL, change = false;
    int64_t commit_at_ns =
        partition->commit_began_ns + owner->config.commit_interval_ns;

    partition->wake_ns = HR_TIME_NEVER;
    if (partition->call != 0) {
        return;
    }
    drop_late_asks(owner, partition, now_ns);
    if (TAILQ_EMPTY(&partition->ops)) {
        forget_idle(owner, partition, now_ns);
        return;
    }
    if (!read) {
        evaluate_ops(owner, partition, now_ns, wall_ms, &read, &change);
    }
    if (!read && !change) {
        return;
    }
    if (now_ns < partition->retry_at_ns) {
        wake_by(partition, partition->retry_at_ns);
    }
    else if (read) {
        start_call(owner, partition, HR_CLAIM_OWNER_ACTION_GET, now_ns);
    }
    else if (now_ns >= commit_at_ns) {
        start_commit(owner, partition, now_ns, wall_ms);
    }
    else {
        wake_by(partition, commit_at_ns);
    }
}

/* Returns the op of a holder with a message kind, or NULL. */
static Op *
find_op(Partition *partition, const HrClaimMessage *message,
        HrClaimMessageKind kind)
{
    Op *op;

    TAILQ_FOREACH (op, &partition->ops, link) {
        if (op->message.kind == kind &&
            HrClaimHolderId_Equals(&op->message.holder, &message->holder)) {
            return op;
        }
    }
    return NULL;
}

/* Drops the ask of a holder that has given up, unless it is being written. */
static void
cancel_ask(HrClaimOwner *owner, Partition *partition,
           const HrClaimMessage *outcome)
{
    Op *op = find_op(partition, outcome, HR_CLAIM_MESSAGE_ASK);

    if (op != NULL && op->phase != OP_IN_BATCH) {
        remove_op(owner, partition, op);
    }
}

/* Queues an ask or outcome; a repeated one is dropped. */
static void
accept_message(HrClaimOwner *owner, Partition *partition,
               const HrClaimMessage *message, int64_t now_ns)
{
    Op *op;

    if (message->kind == HR_CLAIM_MESSAGE_OUTCOME) {
        cancel_ask(owner, partition, message);
    }
    if (find_op(partition, message, message->kind) != NULL) {
        return;
    }
    op = owner->op_count < owner->config.max_pending ? talloc_zero(owner, Op)
                                                     : NULL;
    if (op == NULL) {
        if (message->kind == HR_CLAIM_MESSAGE_ASK) {
            reply_refused(owner, message, HR_REASON_OVERLOADED,
                          message->first_copy);
        }
        return;
    }
    op->message = *message;
    op->arrived_ns = now_ns;
    op->deadline_ns = HR_TIME_NEVER;
    if (message->kind == HR_CLAIM_MESSAGE_ASK &&
        message->time_left_ns < HR_TIME_NEVER - now_ns) {
        op->deadline_ns = now_ns + message->time_left_ns;
    }
    op->phase = OP_PENDING;
    owner->op_count++;
    TAILQ_INSERT_TAIL(&partition->ops, op, link);
    HrCounters_Add(owner->config.counters, HR_COUNTER_claim_messages, 1);
}

/* Handles a message from a holder. Kinds that are not for an owner and
 * states that cannot be recorded are ignored. */
static void
handle_message(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
{
    const HrClaimMessage *message = event->u.message;
    Partition *partition;

    switch (message->kind) {
    case HR_CLAIM_MESSAGE_ASK:
        break;
    case HR_CLAIM_MESSAGE_OUTCOME:
        if (message->state == HR_CLAIM_HELD) {
            return;
        }
        break;
    case HR_CLAIM_MESSAGE_REPLY:
    case HR_CLAIM_MESSAGE_OUTCOME_ACK:
        return;
    }
    partition =
        &owner->partitions[HrOwner_ClaimPartition(message->request_id)];
    partition->used_ns = event->now_ns;
    accept_message(owner, partition, message, event->now_ns);
    run_partition(owner, partition, event->now_ns, event->wall_ms);
}

/* Takes over the value that a GET has found. */
static void
accept_value(HrClaimOwner *owner, Partition *partition,
             const HrClaimValue *value, uint64_t revision)
{
    HrClaimValue *copy = value != NULL ? HrClaimValue_Copy(owner, value)
                                       : HrClaimValue_Create(owner);

    HrClaimValue_Free(partition->committed, NULL);
    partition->committed = copy;
    partition->revision = revision;
    partition->confirmed_ns = partition->call_began_ns;
}

/* Ends the attempt to commit the proposed value; its ops are evaluated again
 * against what the store holds. */
static void
abandon_proposed(Partition *partition, bool maybe_written)
{
    Op *op;

    TAILQ_FOREACH (op, &partition->ops, link) {
        if (op->phase == OP_IN_BATCH) {
            op->phase = OP_PENDING;
            op->maybe_written = op->maybe_written || maybe_written;
        }
    }
    HrClaimValue_Free(partition->proposed, partition->committed);
    partition->proposed = NULL;
}

/* Forgets the committed value, so that it is read again. */
static void
forget_committed(Partition *partition)
{
    HrClaimValue_Free(partition->committed, NULL);
    partition->committed = NULL;
}

/* Makes the proposed value the committed one. */
static void
commit_proposed(Partition *partition, uint64_t revision)
{
    HrClaimValue *former = partition->committed;

    partition->committed = partition->proposed;
    partition->proposed = NULL;
    HrClaimValue_Free(former, partition->committed);
    partition->revision = revision;
    partition->confirmed_ns = partition->call_began_ns;
}

/* Refuses what cannot be decided without the store. Asks that a write may
 * have claimed stay until that is settled, waiting ones until their deadline.
 * Outcomes are sent again by their holders. */
static void
refuse_without_store(HrClaimOwner *owner, Partition *partition)
{
    Op *op, *next;

    HrCounters_Add(owner->config.counters, HR_COUNTER_claim_store_failures, 1);
    TAILQ_FOREACH_SAFE (op, &partition->ops, link, next) {
        if (op->phase != OP_PENDING || op->maybe_written) {
            continue;
        }
        if (op->message.kind == HR_CLAIM_MESSAGE_ASK) {
            reply_refused(owner, &op->message, HR_REASON_STORE_UNAVAILABLE,
                          op->message.first_copy);
        }
        remove_op(owner, partition, op);
    }
}

/* Handles the end of a store call. */
static void
handle_store(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
{
    uint32_t index = event->u.store.partition;
    Partition *partition;

    if (index >= HR_CLAIM_PARTITIONS ||
        owner->partitions[index].call != event->u.store.call ||
        event->u.store.call == 0) {
        return;
    }
    partition = &owner->partitions[index];
    partition->call = 0;
    switch (event->u.store.result) {
    case HR_STORE_FOUND:
        if (event->u.store.value != NULL) {
            accept_value(owner, partition, event->u.store.value,
                         event->u.store.revision);
            break;
        }
        /* A malformed value is not overwritten: it may hold claims. */
        partition->retry_at_ns = choose_retry(owner, event->now_ns);
        refuse_without_store(owner, partition);
        break;
    case HR_STORE_ABSENT:
        accept_value(owner, partition, NULL, 0);
        break;
    case HR_STORE_WRITTEN:
        commit_proposed(partition, event->u.store.revision);
        HrCounters_Add(owner->config.counters, HR_COUNTER_claim_commits, 1);
        break;
    case HR_STORE_MISMATCH:
        abandon_proposed(partition, false);
        forget_committed(partition);
        HrCounters_Add(owner->config.counters, HR_COUNTER_claim_conflicts, 1);
        break;
    case HR_STORE_UNKNOWN:
        abandon_proposed(partition, true);
        forget_committed(partition);
        partition->retry_at_ns = choose_retry(owner, event->now_ns);
        break;
    case HR_STORE_FAILED:
        abandon_proposed(partition, false);
        partition->retry_at_ns = choose_retry(owner, event->now_ns);
        refuse_without_store(owner, partition);
        break;
    }
    run_partition(owner, partition, event->now_ns, event->wall_ms);
}

/* Fills in the designed values. */
void
HrClaimOwnerConfig_Default(HrClaimOwnerConfig *config)
{
    memset(config, 0, sizeof(*config));
    /* 64 partitions * 5 commits are 320 writes/s, within the store's several
     * hundred. */
    config->commit_interval_ns = 200 * HR_NS_PER_MS;
    config->retry_ns = 250 * HR_NS_PER_MS;
    config->refresh_ns = HR_NS_PER_S;
    config->idle_ns = 60 * HR_NS_PER_S;
    config->max_pending = 16384;
}

/* Creates the owner side of one daemon, for every partition. */
HrClaimOwner *
HrClaimOwner_Create(const void *parent, const HrClaimOwnerConfig *config,
                    HrRng rng)
{
    HrClaimOwner *owner = talloc_zero(parent, HrClaimOwner);
    uint32_t i;

    if (owner == NULL) {
        return NULL;
    }
    owner->config = *config;
    owner->rng = rng;
    STAILQ_INIT(&owner->actions);
    for (i = 0; i < HR_CLAIM_PARTITIONS; i++) {
        owner->partitions[i].index = i;
        owner->partitions[i].wake_ns = HR_TIME_NEVER;
        owner->partitions[i].commit_began_ns = INT64_MIN / 2;
        TAILQ_INIT(&owner->partitions[i].ops);
    }
    return owner;
}

/* Processes one event. */
void
HrClaimOwner_Handle(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
{
    uint32_t i;

    switch (event->kind) {
    case HR_CLAIM_OWNER_EVENT_TIMER:
        for (i = 0; i < HR_CLAIM_PARTITIONS; i++) {
            if (owner->partitions[i].wake_ns <= event->now_ns) {
                run_partition(owner, &owner->partitions[i], event->now_ns,
                              event->wall_ms);
            }
        }
        break;
    case HR_CLAIM_OWNER_EVENT_MESSAGE:
        handle_message(owner, event);
        break;
    case HR_CLAIM_OWNER_EVENT_STORE:
        handle_store(owner, event);
        break;
    }
}

/* Pops the next pending action; returns false when there is none. */
bool
HrClaimOwner_Next(HrClaimOwner *owner, HrClaimOwnerAction *action)
{
    OwnerAction *entry = STAILQ_FIRST(&owner->actions);

    if (entry == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&owner->actions, link);
    *action = entry->action;
    talloc_free(entry);
    return true;
}

/* Returns when a timer event is needed next. */
int64_t
HrClaimOwner_NextTimer(const HrClaimOwner *owner)
{
    int64_t next_ns = HR_TIME_NEVER;
    uint32_t i;

    for (i = 0; i < HR_CLAIM_PARTITIONS; i++) {
        if (owner->partitions[i].wake_ns < next_ns) {
            next_ns = owner->partitions[i].wake_ns;
        }
    }
    return next_ns;
}

/* Returns the number of asks and outcomes that are not answered yet. */
uint32_t
HrClaimOwner_Pending(const HrClaimOwner *owner)
{
    return owner->op_count;
}
