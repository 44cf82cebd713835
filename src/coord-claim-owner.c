#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-claim-partition.h"

/* Returns an empty queued action; NULL when memory is short. */
HrClaimOwnerAction *
HrClaimOwner_Push(HrClaimOwner *owner, HrClaimOwnerActionKind kind)
{
    HrClaimQueued *entry = talloc_zero(owner, HrClaimQueued);

    if (entry == NULL) {
        return NULL;
    }
    entry->action.kind = kind;
    STAILQ_INSERT_TAIL(&owner->actions, entry, link);
    return &entry->action;
}

/* Removes an op that is answered or abandoned. */
static void
remove_op(HrClaimOwner *owner, HrClaimPartition *partition, HrClaimOp *op)
{
    TAILQ_REMOVE(&partition->ops, op, link);
    owner->op_count--;
    talloc_free(op);
}

/* Applies the pending ops to the proposed value; returns the number of
 * changes. */
static uint32_t
propose_changes(HrClaimOwner *owner, HrClaimPartition *partition,
                int64_t wall_ms)
{
    uint64_t size_bytes = HrClaimValue_SizeBound(partition->proposed);
    uint32_t changes = 0;
    HrClaimOp *op, *next;

    for (op = TAILQ_FIRST(&partition->ops); op != NULL; op = next) {
        next = TAILQ_NEXT(op, link);
        HrClaimFinding finding;

        if (op->phase != HR_CLAIM_OP_PENDING) {
            continue;
        }
        finding =
            HrClaimOwner_Propose(owner, partition, op, wall_ms, &size_bytes);
        if (finding == HR_CLAIM_FINDING_ANSWERED) {
            remove_op(owner, partition, op);
        }
        else if (finding == HR_CLAIM_FINDING_CHANGE) {
            op->phase = HR_CLAIM_OP_IN_BATCH;
            changes++;
        }
    }
    return changes;
}

/* Starts a store call. */
static void
start_call(HrClaimOwner *owner, HrClaimPartition *partition,
           HrClaimOwnerActionKind kind, int64_t now_ns)
{
    HrClaimOwnerAction *action = HrClaimOwner_Push(owner, kind);

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
start_commit(HrClaimOwner *owner, HrClaimPartition *partition, int64_t now_ns,
             int64_t wall_ms)
{
    partition->proposed = HrClaimValue_Share(owner, partition->committed);
    if (partition->proposed == NULL) {
        partition->retry_at_ns = now_ns + owner->config.retry_ns;
        return;
    }
    HrClaimValue_DropExpired(partition->proposed, wall_ms);
    if (propose_changes(owner, partition, wall_ms) > 0) {
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
wake_by(HrClaimPartition *partition, int64_t time_ns)
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
drop_late_asks(HrClaimOwner *owner, HrClaimPartition *partition,
               int64_t now_ns)
{
    HrClaimOp *op, *next;

    for (op = TAILQ_FIRST(&partition->ops); op != NULL; op = next) {
        next = TAILQ_NEXT(op, link);
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
evaluate_ops(HrClaimOwner *owner, HrClaimPartition *partition, int64_t now_ns,
             int64_t wall_ms, bool *read, bool *change)
{
    HrClaimOp *op, *next;

    for (op = TAILQ_FIRST(&partition->ops); op != NULL; op = next) {
        next = TAILQ_NEXT(op, link);
        HrClaimFinding finding =
            HrClaimOwner_Evaluate(owner, partition, op, wall_ms);
        int64_t refresh_at_ns =
            partition->confirmed_ns + owner->config.refresh_ns;

        if (finding == HR_CLAIM_FINDING_ANSWERED) {
            remove_op(owner, partition, op);
            continue;
        }
        op->phase = finding == HR_CLAIM_FINDING_WAIT ? HR_CLAIM_OP_WAITING
                                                     : HR_CLAIM_OP_PENDING;
        if (finding == HR_CLAIM_FINDING_WAIT && now_ns >= refresh_at_ns) {
            *read = true;
        }
        else if (finding == HR_CLAIM_FINDING_WAIT) {
            wake_by(partition, refresh_at_ns);
        }
        *read = *read || finding == HR_CLAIM_FINDING_READ;
        *change = *change || finding == HR_CLAIM_FINDING_CHANGE;
    }
}

/* Forgets a partition that nobody uses. */
static void
forget_idle(const HrClaimOwner *owner, HrClaimPartition *partition,
            int64_t now_ns)
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
run_partition(HrClaimOwner *owner, HrClaimPartition *partition, int64_t now_ns,
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

/* Keeps the earliest time at which a partition needs a timer. */
static void
note_wake(HrClaimOwner *owner, const HrClaimPartition *partition)
{
    if (partition->wake_ns < owner->wake_ns) {
        owner->wake_ns = partition->wake_ns;
    }
}

/* Returns the op of a holder with a message kind, or NULL. */
static HrClaimOp *
find_op(HrClaimPartition *partition, const HrClaimMessage *message,
        HrClaimMessageKind kind)
{
    HrClaimOp *op;

    for (op = TAILQ_FIRST(&partition->ops); op != NULL;
         op = TAILQ_NEXT(op, link)) {
        if (op->message.kind == kind &&
            HrClaimHolderId_Equals(&op->message.holder, &message->holder)) {
            return op;
        }
    }
    return NULL;
}

/* Drops the ask of a holder that has given up, unless it is being written. */
static void
cancel_ask(HrClaimOwner *owner, HrClaimPartition *partition,
           const HrClaimMessage *outcome)
{
    HrClaimOp *op = find_op(partition, outcome, HR_CLAIM_MESSAGE_ASK);

    if (op != NULL && op->phase != HR_CLAIM_OP_IN_BATCH) {
        remove_op(owner, partition, op);
    }
}

/* Queues an ask or outcome; a repeated one is dropped. */
static void
accept_message(HrClaimOwner *owner, HrClaimPartition *partition,
               const HrClaimMessage *message, int64_t now_ns)
{
    HrClaimOp *op;

    if (message->kind == HR_CLAIM_MESSAGE_OUTCOME) {
        cancel_ask(owner, partition, message);
    }
    if (find_op(partition, message, message->kind) != NULL) {
        return;
    }
    op = owner->op_count < owner->config.max_pending
             ? talloc_zero(owner, HrClaimOp)
             : NULL;
    if (op == NULL) {
        if (message->kind == HR_CLAIM_MESSAGE_ASK) {
            HrClaimOwner_Refuse(owner, message, HR_REASON_OVERLOADED,
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
    op->phase = HR_CLAIM_OP_PENDING;
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
    HrClaimPartition *partition;

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
    note_wake(owner, partition);
}

/* Takes over the value that a GET has found. */
static void
accept_value(HrClaimOwner *owner, HrClaimPartition *partition,
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
abandon_proposed(HrClaimPartition *partition, bool maybe_written)
{
    HrClaimOp *op;

    for (op = TAILQ_FIRST(&partition->ops); op != NULL;
         op = TAILQ_NEXT(op, link)) {
        if (op->phase == HR_CLAIM_OP_IN_BATCH) {
            op->phase = HR_CLAIM_OP_PENDING;
            op->maybe_written = op->maybe_written || maybe_written;
        }
    }
    HrClaimValue_Free(partition->proposed, partition->committed);
    partition->proposed = NULL;
}

/* Forgets the committed value, so that it is read again. */
static void
forget_committed(HrClaimPartition *partition)
{
    HrClaimValue_Free(partition->committed, NULL);
    partition->committed = NULL;
}

/* Makes the proposed value the committed one. */
static void
commit_proposed(HrClaimPartition *partition, uint64_t revision)
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
refuse_without_store(HrClaimOwner *owner, HrClaimPartition *partition)
{
    HrClaimOp *op, *next;

    HrCounters_Add(owner->config.counters, HR_COUNTER_claim_store_failures, 1);
    for (op = TAILQ_FIRST(&partition->ops); op != NULL; op = next) {
        next = TAILQ_NEXT(op, link);
        if (op->phase != HR_CLAIM_OP_PENDING || op->maybe_written) {
            continue;
        }
        if (op->message.kind == HR_CLAIM_MESSAGE_ASK) {
            HrClaimOwner_Refuse(owner, &op->message,
                                HR_REASON_STORE_UNAVAILABLE,
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
    HrClaimPartition *partition;

    if (index >= HR_CLAIM_PARTITIONS ||
        owner->partitions[index].call != event->u.store.call ||
        event->u.store.call == 0) {
        return;
    }
    partition = &owner->partitions[index];
    partition->call = 0;
    switch (event->u.store.result) {
    case HR_CLAIM_STORE_FOUND:
        if (event->u.store.value != NULL) {
            accept_value(owner, partition, event->u.store.value,
                         event->u.store.revision);
            break;
        }
        /* A malformed value is not overwritten: it may hold claims. */
        partition->retry_at_ns = choose_retry(owner, event->now_ns);
        refuse_without_store(owner, partition);
        break;
    case HR_CLAIM_STORE_ABSENT:
        accept_value(owner, partition, NULL, 0);
        break;
    case HR_CLAIM_STORE_WRITTEN:
        commit_proposed(partition, event->u.store.revision);
        HrCounters_Add(owner->config.counters, HR_COUNTER_claim_commits, 1);
        break;
    case HR_CLAIM_STORE_MISMATCH:
        abandon_proposed(partition, false);
        forget_committed(partition);
        HrCounters_Add(owner->config.counters, HR_COUNTER_claim_conflicts, 1);
        break;
    case HR_CLAIM_STORE_UNKNOWN:
        abandon_proposed(partition, true);
        forget_committed(partition);
        partition->retry_at_ns = choose_retry(owner, event->now_ns);
        break;
    case HR_CLAIM_STORE_FAILED:
        abandon_proposed(partition, false);
        partition->retry_at_ns = choose_retry(owner, event->now_ns);
        refuse_without_store(owner, partition);
        break;
    }
    run_partition(owner, partition, event->now_ns, event->wall_ms);
    note_wake(owner, partition);
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
    owner->wake_ns = HR_TIME_NEVER;
    STAILQ_INIT(&owner->actions);
    for (i = 0; i < HR_CLAIM_PARTITIONS; i++) {
        owner->partitions[i].index = i;
        owner->partitions[i].wake_ns = HR_TIME_NEVER;
        owner->partitions[i].commit_began_ns = INT64_MIN / 2;
        TAILQ_INIT(&owner->partitions[i].ops);
    }
    return owner;
}

/* Runs the partitions whose time has come. */
static void
run_due(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
{
    uint32_t i;

    owner->wake_ns = HR_TIME_NEVER;
    for (i = 0; i < HR_CLAIM_PARTITIONS; i++) {
        HrClaimPartition *partition = &owner->partitions[i];

        if (partition->wake_ns <= event->now_ns) {
            run_partition(owner, partition, event->now_ns, event->wall_ms);
        }
        note_wake(owner, partition);
    }
}

/* Processes one event. */
void
HrClaimOwner_Handle(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
{
    switch (event->kind) {
    case HR_CLAIM_OWNER_EVENT_TIMER:
        run_due(owner, event);
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
    HrClaimQueued *entry = STAILQ_FIRST(&owner->actions);

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
    return owner->wake_ns;
}

/* Returns the number of asks and outcomes that are not answered yet. */
uint32_t
HrClaimOwner_Pending(const HrClaimOwner *owner)
{
    return owner->op_count;
}
