#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-claim-partition.h"

/* Queues an action whose fields are zero and returns it for the caller to fill
 * in; NULL when out of memory. */
HrClaimOwnerAction *
HrClaimOwner_PushAction(HrClaimOwner *owner, HrClaimOwnerActionKind kind)
{
    HrClaimQueuedAction *entry = talloc_zero(owner, HrClaimQueuedAction);

    if (entry == NULL) {
        return NULL;
    }
    entry->action.kind = kind;
    STAILQ_INSERT_TAIL(&owner->actions, entry, link);
    return &entry->action;
}

/* Removes an operation from its partition and frees it. */
static void
remove_op(HrClaimOwner *owner, HrClaimPartition *partition, HrClaimOp *op)
{
    TAILQ_REMOVE(&partition->ops, op, link);
    owner->op_count--;
    talloc_free(op);
}

/* Applies the pending operations to the proposed value. Returns the number of
 * operations that changed it. */
static uint32_t
propose_changes(HrClaimOwner *owner, HrClaimPartition *partition,
                int64_t wall_ms)
{
    uint64_t size_bytes = HrClaimValue_GetMaxEncodedSize(partition->proposed);
    uint32_t changes = 0;
    HrClaimOp *op, *next;

    for (op = TAILQ_FIRST(&partition->ops); op != NULL; op = next) {
        next = TAILQ_NEXT(op, link);
        HrClaimDecision decision;

        if (op->phase != HR_CLAIM_OP_PENDING) {
            continue;
        }
        decision = HrClaimOwner_ProposeChange(owner, partition, op, wall_ms,
                                              &size_bytes);
        if (decision == HR_CLAIM_DECISION_ANSWERED) {
            remove_op(owner, partition, op);
        }
        else if (decision == HR_CLAIM_DECISION_CHANGE_VALUE) {
            op->phase = HR_CLAIM_OP_IN_BATCH;
            changes++;
        }
    }
    return changes;
}

/* Queues a GET or PUT of a partition's key. When out of memory, sets the time
 * of the retry instead. */
static void
start_store_call(HrClaimOwner *owner, HrClaimPartition *partition,
                 HrClaimOwnerActionKind kind, int64_t now_ns)
{
    HrClaimOwnerAction *action = HrClaimOwner_PushAction(owner, kind);

    if (action == NULL) {
        partition->retry_at_ns = now_ns + owner->config.retry_ns;
        return;
    }
    partition->call = ++owner->last_call_id;
    partition->call_started_ns = now_ns;
    action->u.store.partition = partition->index;
    action->u.store.call = partition->call;
    action->u.store.cas_revision = partition->revision;
    action->u.store.value = partition->proposed;
    snprintf(action->u.store.key, sizeof(action->u.store.key),
             "hickory/claims/%02u", partition->index);
}

/* Commits the pending operations with one PUT, if they change the value. Also
 * removes records past their retention from the value. */
static void
start_commit(HrClaimOwner *owner, HrClaimPartition *partition, int64_t now_ns,
             int64_t wall_ms)
{
    partition->proposed =
        HrClaimValue_CopySharingRecords(owner, partition->committed);
    if (partition->proposed == NULL) {
        partition->retry_at_ns = now_ns + owner->config.retry_ns;
        return;
    }
    HrClaimValue_DropExpired(partition->proposed, wall_ms);
    if (propose_changes(owner, partition, wall_ms) > 0) {
        partition->commit_started_ns = now_ns;
        start_store_call(owner, partition, HR_CLAIM_OWNER_ACTION_PUT, now_ns);
    }
    if (partition->call == 0) {
        HrClaimValue_Free(partition->proposed, partition->committed);
        partition->proposed = NULL;
    }
}

/* Sets the timer of a partition to time_ns unless it is due earlier. */
static void
set_timer_by(HrClaimPartition *partition, int64_t time_ns)
{
    if (time_ns < partition->next_timer_ns) {
        partition->next_timer_ns = time_ns;
    }
}

/* Returns the time to retry a failed store call. The delay has random jitter,
 * so that two owners of a partition do not conflict repeatedly. */
static int64_t
choose_retry_ns(HrClaimOwner *owner, int64_t now_ns)
{
    int64_t retry_ns = owner->config.retry_ns;

    return now_ns + retry_ns +
           (int64_t)HrRng_DrawBelow(&owner->rng, (uint64_t)retry_ns / 2 + 1);
}

/* Drops the claim requests whose deadline has passed. Their holders no longer
 * wait for a reply and send a release themselves. */
static void
drop_overdue_requests(HrClaimOwner *owner, HrClaimPartition *partition,
                      int64_t now_ns)
{
    HrClaimOp *op, *next;

    for (op = TAILQ_FIRST(&partition->ops); op != NULL; op = next) {
        next = TAILQ_NEXT(op, link);
        if (op->deadline_ns <= now_ns) {
            remove_op(owner, partition, op);
        }
        else {
            set_timer_by(partition, op->deadline_ns);
        }
    }
}

/* Evaluates every operation, and removes those that are answered. Sets *read
 * if the store must be read and *change if the value must change, and
 * schedules the next read for operations that wait for another copy's
 * outcome. */
static void
evaluate_ops(HrClaimOwner *owner, HrClaimPartition *partition, int64_t now_ns,
             int64_t wall_ms, bool *read, bool *change)
{
    HrClaimOp *op, *next;

    for (op = TAILQ_FIRST(&partition->ops); op != NULL; op = next) {
        next = TAILQ_NEXT(op, link);
        HrClaimDecision decision =
            HrClaimOwner_EvaluateOp(owner, partition, op, wall_ms);
        int64_t refresh_at_ns =
            partition->committed_as_of_ns + owner->config.refresh_ns;

        if (decision == HR_CLAIM_DECISION_ANSWERED) {
            remove_op(owner, partition, op);
            continue;
        }
        op->phase = decision == HR_CLAIM_DECISION_WAIT ? HR_CLAIM_OP_WAITING
                                                       : HR_CLAIM_OP_PENDING;
        if (decision == HR_CLAIM_DECISION_WAIT && now_ns >= refresh_at_ns) {
            *read = true;
        }
        else if (decision == HR_CLAIM_DECISION_WAIT) {
            set_timer_by(partition, refresh_at_ns);
        }
        *read = *read || decision == HR_CLAIM_DECISION_READ_STORE;
        *change = *change || decision == HR_CLAIM_DECISION_CHANGE_VALUE;
    }
}

/* Frees the committed value of a partition that has not been used for
 * idle_ns. */
static void
free_idle_partition(const HrClaimOwner *owner, HrClaimPartition *partition,
                    int64_t now_ns)
{
    if (partition->committed == NULL) {
        return;
    }
    if (now_ns - partition->last_used_ns < owner->config.idle_ns) {
        partition->next_timer_ns =
            partition->last_used_ns + owner->config.idle_ns;
        return;
    }
    HrClaimValue_Free(partition->committed, NULL);
    partition->committed = NULL;
}

/* Evaluates the operations of a partition without a store call in flight, and
 * starts its next call or sets its timer. */
static void
advance_partition(HrClaimOwner *owner, HrClaimPartition *partition,
                  int64_t now_ns, int64_t wall_ms)
{
    bool read = partition->committed == NULL, change = false;
    int64_t commit_at_ns =
        partition->commit_started_ns + owner->config.commit_interval_ns;

    partition->next_timer_ns = HR_TIME_NEVER;
    if (partition->call != 0) {
        return;
    }
    drop_overdue_requests(owner, partition, now_ns);
    if (TAILQ_EMPTY(&partition->ops)) {
        free_idle_partition(owner, partition, now_ns);
        return;
    }
    if (!read) {
        evaluate_ops(owner, partition, now_ns, wall_ms, &read, &change);
    }
    if (!read && !change) {
        return;
    }
    if (now_ns < partition->retry_at_ns) {
        set_timer_by(partition, partition->retry_at_ns);
    }
    else if (read) {
        start_store_call(owner, partition, HR_CLAIM_OWNER_ACTION_GET, now_ns);
    }
    else if (now_ns >= commit_at_ns) {
        start_commit(owner, partition, now_ns, wall_ms);
    }
    else {
        set_timer_by(partition, commit_at_ns);
    }
}

/* Moves the owner's timer forward to the partition's if that is earlier. */
static void
update_next_timer(HrClaimOwner *owner, const HrClaimPartition *partition)
{
    if (partition->next_timer_ns < owner->next_timer_ns) {
        owner->next_timer_ns = partition->next_timer_ns;
    }
}

/* Returns the operation of the given kind with the same holder id as a
 * message, or NULL. */
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

/* Drops the claim request of a holder that has sent an outcome, unless a PUT
 * in flight contains it. */
static void
cancel_request(HrClaimOwner *owner, HrClaimPartition *partition,
               const HrClaimMessage *outcome)
{
    HrClaimOp *op = find_op(partition, outcome, HR_CLAIM_MESSAGE_REQUEST);

    if (op != NULL && op->phase != HR_CLAIM_OP_IN_BATCH) {
        remove_op(owner, partition, op);
    }
}

/* Queues a claim request or outcome, unless it is a resent one that is still
 * queued. Above max_pending or when out of memory a claim request is refused;
 * an outcome is dropped, since its holder resends it. */
static void
queue_op(HrClaimOwner *owner, HrClaimPartition *partition,
         const HrClaimMessage *message, int64_t now_ns)
{
    HrClaimOp *op;

    if (message->kind == HR_CLAIM_MESSAGE_OUTCOME) {
        cancel_request(owner, partition, message);
    }
    if (find_op(partition, message, message->kind) != NULL) {
        return;
    }
    op = owner->op_count < owner->config.max_pending
             ? talloc_zero(owner, HrClaimOp)
             : NULL;
    if (op == NULL) {
        if (message->kind == HR_CLAIM_MESSAGE_REQUEST) {
            HrClaimOwner_RefuseRequest(owner, message, HR_REASON_OVERLOADED,
                                       message->first_copy);
        }
        return;
    }
    op->message = *message;
    op->received_ns = now_ns;
    op->deadline_ns = HR_TIME_NEVER;
    if (message->kind == HR_CLAIM_MESSAGE_REQUEST &&
        message->time_left_ns < HR_TIME_NEVER - now_ns) {
        op->deadline_ns = now_ns + message->time_left_ns;
    }
    op->phase = HR_CLAIM_OP_PENDING;
    owner->op_count++;
    TAILQ_INSERT_TAIL(&partition->ops, op, link);
    HrCounters_Add(owner->config.counters, HR_COUNTER_claim_messages, 1);
}

/* Handles a message from a holder. Ignores kinds that only a holder receives,
 * and outcomes with the invalid state HELD. */
static void
handle_message(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
{
    const HrClaimMessage *message = event->u.message;
    HrClaimPartition *partition;

    switch (message->kind) {
    case HR_CLAIM_MESSAGE_REQUEST:
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
        &owner->partitions[HrOwner_GetClaimPartition(message->request_id)];
    partition->last_used_ns = event->now_ns;
    queue_op(owner, partition, message, event->now_ns);
    advance_partition(owner, partition, event->now_ns, event->wall_ms);
    update_next_timer(owner, partition);
}

/* Stores a copy of the value read by a GET as the committed value; NULL means
 * that the key is absent. */
static void
set_committed(HrClaimOwner *owner, HrClaimPartition *partition,
              const HrClaimValue *value, uint64_t revision)
{
    HrClaimValue *copy = value != NULL ? HrClaimValue_Copy(owner, value)
                                       : HrClaimValue_Create(owner);

    HrClaimValue_Free(partition->committed, NULL);
    partition->committed = copy;
    partition->revision = revision;
    partition->committed_as_of_ns = partition->call_started_ns;
}

/* Discards the proposed value, if there is one, after a store call that did
 * not succeed; its operations become pending and are evaluated again. Set
 * maybe_written if the PUT may have been or may still be applied. */
static void
discard_proposed(HrClaimPartition *partition, bool maybe_written)
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

/* Discards the committed value, so that the next store call is a GET. */
static void
discard_committed(HrClaimPartition *partition)
{
    HrClaimValue_Free(partition->committed, NULL);
    partition->committed = NULL;
}

/* Replaces the committed value by the proposed one after a successful PUT. */
static void
commit_proposed(HrClaimPartition *partition, uint64_t revision)
{
    HrClaimValue *previous = partition->committed;

    partition->committed = partition->proposed;
    partition->proposed = NULL;
    HrClaimValue_Free(previous, partition->committed);
    partition->revision = revision;
    partition->committed_as_of_ns = partition->call_started_ns;
}

/* Refuses the pending claim requests, which cannot be decided without the
 * store. Claim requests that a PUT with an unknown result may have granted
 * remain until a read shows the result, and those that wait for another copy
 * remain until their deadline. Outcomes are dropped, since their holders
 * resend them. */
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
        if (op->message.kind == HR_CLAIM_MESSAGE_REQUEST) {
            HrClaimOwner_RefuseRequest(owner, &op->message,
                                       HR_REASON_STORE_UNAVAILABLE,
                                       op->message.first_copy);
        }
        remove_op(owner, partition, op);
    }
}

/* Handles the result of a store call; ignores one for a call that is not in
 * flight. */
static void
handle_store_result(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
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
            set_committed(owner, partition, event->u.store.value,
                          event->u.store.revision);
            break;
        }
        /* Does not overwrite a malformed value, since it may contain
         * claims. */
        partition->retry_at_ns = choose_retry_ns(owner, event->now_ns);
        refuse_without_store(owner, partition);
        break;
    case HR_CLAIM_STORE_ABSENT:
        set_committed(owner, partition, NULL, 0);
        break;
    case HR_CLAIM_STORE_WRITTEN:
        commit_proposed(partition, event->u.store.revision);
        HrCounters_Add(owner->config.counters, HR_COUNTER_claim_commits, 1);
        break;
    case HR_CLAIM_STORE_MISMATCH:
        discard_proposed(partition, false);
        discard_committed(partition);
        HrCounters_Add(owner->config.counters, HR_COUNTER_claim_conflicts, 1);
        break;
    case HR_CLAIM_STORE_UNKNOWN:
        discard_proposed(partition, true);
        discard_committed(partition);
        partition->retry_at_ns = choose_retry_ns(owner, event->now_ns);
        break;
    case HR_CLAIM_STORE_FAILED:
        discard_proposed(partition, false);
        partition->retry_at_ns = choose_retry_ns(owner, event->now_ns);
        refuse_without_store(owner, partition);
        break;
    }
    advance_partition(owner, partition, event->now_ns, event->wall_ms);
    update_next_timer(owner, partition);
}

void
HrClaimOwnerConfig_GetDefaults(HrClaimOwnerConfig *config)
{
    memset(config, 0, sizeof(*config));
    /* 64 partitions with 5 commits/s each need 320 writes/s; the store serves
     * several hundred. */
    config->commit_interval_ns = 200 * HR_NS_PER_MS;
    config->retry_ns = 250 * HR_NS_PER_MS;
    config->refresh_ns = HR_NS_PER_S;
    config->idle_ns = 60 * HR_NS_PER_S;
    config->max_pending = 16384;
}

/* Creates the state machine of one daemon as partition owner. It serves every
 * partition: the holders choose the owner by their member views, and
 * compare-and-swap prevents concurrent owners from overwriting each other's
 * claims. Returns NULL when out of memory. */
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
    owner->next_timer_ns = HR_TIME_NEVER;
    STAILQ_INIT(&owner->actions);
    for (i = 0; i < HR_CLAIM_PARTITIONS; i++) {
        owner->partitions[i].index = i;
        owner->partitions[i].next_timer_ns = HR_TIME_NEVER;
        owner->partitions[i].commit_started_ns = INT64_MIN / 2;
        TAILQ_INIT(&owner->partitions[i].ops);
    }
    return owner;
}

/* Handles the timers of all partitions that are due. */
static void
handle_due_timers(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
{
    uint32_t i;

    owner->next_timer_ns = HR_TIME_NEVER;
    for (i = 0; i < HR_CLAIM_PARTITIONS; i++) {
        HrClaimPartition *partition = &owner->partitions[i];

        if (partition->next_timer_ns <= event->now_ns) {
            advance_partition(owner, partition, event->now_ns, event->wall_ms);
        }
        update_next_timer(owner, partition);
    }
}

void
HrClaimOwner_HandleEvent(HrClaimOwner *owner, const HrClaimOwnerEvent *event)
{
    switch (event->kind) {
    case HR_CLAIM_OWNER_EVENT_TIMER:
        handle_due_timers(owner, event);
        break;
    case HR_CLAIM_OWNER_EVENT_MESSAGE:
        handle_message(owner, event);
        break;
    case HR_CLAIM_OWNER_EVENT_STORE:
        handle_store_result(owner, event);
        break;
    }
}

bool
HrClaimOwner_PopAction(HrClaimOwner *owner, HrClaimOwnerAction *action)
{
    HrClaimQueuedAction *entry = STAILQ_FIRST(&owner->actions);

    if (entry == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&owner->actions, link);
    *action = entry->action;
    talloc_free(entry);
    return true;
}

int64_t
HrClaimOwner_GetNextTimer(const HrClaimOwner *owner)
{
    return owner->next_timer_ns;
}

/* Returns the number of claim requests and outcomes, over all partitions, that
 * are not answered yet. */
uint32_t
HrClaimOwner_GetPendingCount(const HrClaimOwner *owner)
{
    return owner->op_count;
}
