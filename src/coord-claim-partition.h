#ifndef HR_COORD_CLAIM_PARTITION_H
#define HR_COORD_CLAIM_PARTITION_H

/* Internals of the partition owner, shared by coord-claim-owner.c (store calls
 * and queues) and coord-claim-evaluate.c (decisions about claim requests and
 * outcomes). */

#include <bsd/sys/queue.h>

#include "coord-claim-value.h"

/* The phase of an operation. */
typedef enum HrClaimOpPhase {
    HR_CLAIM_OP_PENDING,  /* to be evaluated, or to be committed */
    HR_CLAIM_OP_WAITING,  /* another copy holds the claim */
    HR_CLAIM_OP_IN_BATCH, /* its change is part of the proposed value */
} HrClaimOpPhase;

/* An operation: a claim request or outcome that is not answered yet. */
typedef struct HrClaimOp {
    TAILQ_ENTRY(HrClaimOp) link;
    HrClaimMessage message;
    int64_t arrived_ns;
    int64_t deadline_ns; /* the holder has stopped waiting by then */
    HrClaimOpPhase phase;
    bool maybe_written; /* part of a PUT whose result is unknown */
} HrClaimOp;

/* What has to happen to an operation next. */
typedef enum HrClaimDecision {
    HR_CLAIM_DECISION_ANSWERED,     /* a reply was queued */
    HR_CLAIM_DECISION_WAIT,         /* another copy holds the claim */
    HR_CLAIM_DECISION_READ_STORE,   /* only a newer read can decide */
    HR_CLAIM_DECISION_CHANGE_VALUE, /* the value must change */
} HrClaimDecision;

/* This daemon's state of one partition. */
typedef struct HrClaimPartition {
    uint32_t index;
    HrClaimValue *committed; /* as last read or written; NULL: must be read */
    HrClaimValue *proposed;  /* while a PUT is in flight */
    uint64_t revision;
    int64_t current_as_of_ns; /* committed includes all writes before */
    uint64_t call;            /* id of the store call in flight; 0: none */
    int64_t call_began_ns;
    int64_t commit_began_ns;
    int64_t retry_at_ns;
    int64_t last_used_ns;
    int64_t next_timer_ns;
    TAILQ_HEAD(HrClaimOpList, HrClaimOp) ops;
} HrClaimPartition;

typedef struct HrClaimQueuedAction {
    STAILQ_ENTRY(HrClaimQueuedAction) link;
    HrClaimOwnerAction action;
} HrClaimQueuedAction;

struct HrClaimOwner {
    HrClaimOwnerConfig config;
    HrRng rng;
    uint64_t last_call_id;
    uint32_t op_count;
    int64_t next_timer_ns;            /* no partition needs a timer earlier */
    HrClaimMessage discarded_message; /* filled in instead of a message that
                                         could not be allocated */
    HrClaimPartition partitions[HR_CLAIM_PARTITIONS];
    STAILQ_HEAD(HrClaimActionQueue, HrClaimQueuedAction) actions;
};

/* Queues an action whose fields are zero and returns it for the caller to fill
 * in; NULL when out of memory. */
HrClaimOwnerAction *HrClaimOwner_PushAction(HrClaimOwner *owner,
                                            HrClaimOwnerActionKind kind);

/* Queues a refusal as the reply to a claim request; not_run states that
 * neither this copy nor an earlier one has run. Always returns ANSWERED. */
HrClaimDecision HrClaimOwner_RefuseRequest(HrClaimOwner *owner,
                                           const HrClaimMessage *request,
                                           HrReason reason, bool not_run);

/* Decides what an operation needs, given the committed value; queues the reply
 * if that value already determines it. */
HrClaimDecision HrClaimOwner_EvaluateOp(HrClaimOwner *owner,
                                        const HrClaimPartition *partition,
                                        const HrClaimOp *op, int64_t wall_ms);

/* Applies an operation's change to the proposed value. size_bytes is the upper
 * bound of that value's encoded size and is kept up to date. Returns
 * CHANGE_VALUE when the operation is part of the commit, WAIT when another
 * operation on the same id goes first or memory is short, and ANSWERED when it
 * was refused. */
HrClaimDecision HrClaimOwner_ProposeChange(HrClaimOwner *owner,
                                           HrClaimPartition *partition,
                                           const HrClaimOp *op,
                                           int64_t wall_ms,
                                           uint64_t *size_bytes);

#endif
