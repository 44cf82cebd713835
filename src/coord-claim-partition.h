#ifndef HR_COORD_CLAIM_PARTITION_H
#define HR_COORD_CLAIM_PARTITION_H

/* Internals of the partition owner, shared by coord-claim-owner.c (store calls
 * and queues) and coord-claim-evaluate.c (decisions about claim requests and
 * outcomes). */

#include <bsd/sys/queue.h>

#include "coord-claim-value.h"

/* The phase of an operation. */
typedef enum HrClaimOpPhase {
    HR_CLAIM_OP_PENDING,  /* not evaluated yet, or to be committed */
    HR_CLAIM_OP_WAITING,  /* another copy holds the claim */
    HR_CLAIM_OP_IN_BATCH, /* its change is in the proposed value of the PUT in
                             flight */
} HrClaimOpPhase;

/* An operation: a claim request or outcome that is not answered yet. */
typedef struct HrClaimOp {
    TAILQ_ENTRY(HrClaimOp) link;
    HrClaimMessage message;
    int64_t received_ns;
    int64_t deadline_ns; /* after this the holder no longer waits for a reply;
                            HR_TIME_NEVER for an outcome */
    HrClaimOpPhase phase;
    bool maybe_written; /* was part of a PUT whose result is unknown */
} HrClaimOp;

/* The next step of an operation. */
typedef enum HrClaimDecision {
    HR_CLAIM_DECISION_ANSWERED,     /* a reply or ACK was queued; the operation
                                       ends */
    HR_CLAIM_DECISION_WAIT,         /* another copy holds the claim */
    HR_CLAIM_DECISION_READ_STORE,   /* a newer read of the store is needed to
                                       decide */
    HR_CLAIM_DECISION_CHANGE_VALUE, /* the value in the store must change */
} HrClaimDecision;

/* This daemon's state as the owner of one partition. */
typedef struct HrClaimPartition {
    uint32_t index;
    HrClaimValue *committed; /* as last read or written; NULL: must be read */
    HrClaimValue *proposed;  /* while a PUT is in flight */
    uint64_t revision;
    int64_t committed_as_of_ns; /* committed includes all writes before this
                                   time */
    uint64_t call;              /* id of the store call in flight; 0: none */
    int64_t call_started_ns;
    int64_t commit_started_ns;
    int64_t retry_at_ns;
    int64_t last_used_ns;
    int64_t next_timer_ns;
    TAILQ_HEAD(HrClaimOpList, HrClaimOp) ops;
} HrClaimPartition;

/* A queued action of the owner. */
typedef struct HrClaimQueuedAction {
    STAILQ_ENTRY(HrClaimQueuedAction) link;
    HrClaimOwnerAction action;
} HrClaimQueuedAction;

struct HrClaimOwner {
    HrClaimOwnerConfig config;
    HrRng rng;
    uint64_t last_call_id;
    uint32_t op_count;
    int64_t next_timer_ns; /* not after the next_timer_ns of any partition */
    HrClaimMessage discarded_message; /* scratch message to fill in when none
                                         could be allocated */
    HrClaimPartition partitions[HR_CLAIM_PARTITIONS];
    STAILQ_HEAD(HrClaimActionQueue, HrClaimQueuedAction) actions;
};

/* Queues an action whose fields are zero and returns it for the caller to fill
 * in; NULL when out of memory. */
HrClaimOwnerAction *HrClaimOwner_PushAction(HrClaimOwner *owner,
                                            HrClaimOwnerActionKind kind);

/* Queues a refusal as the reply to a claim request; not_run states that
 * neither this copy nor an earlier one has run. Returns ANSWERED. */
HrClaimDecision HrClaimOwner_RefuseRequest(HrClaimOwner *owner,
                                           const HrClaimMessage *request,
                                           HrReason reason, bool not_run);

/* Decides what an operation needs, given the committed value; queues the reply
 * if that value already determines it. */
HrClaimDecision HrClaimOwner_EvaluateOp(HrClaimOwner *owner,
                                        const HrClaimPartition *partition,
                                        const HrClaimOp *op, int64_t wall_ms);

/* Applies an operation's change to the proposed value and updates *size_bytes,
 * the upper bound of that value's encoded size. Returns CHANGE_VALUE when the
 * operation is part of the commit, WAIT when another operation on the same id
 * must be committed first or when out of memory, and ANSWERED when it was
 * refused. */
HrClaimDecision HrClaimOwner_ProposeChange(HrClaimOwner *owner,
                                           HrClaimPartition *partition,
                                           const HrClaimOp *op,
                                           int64_t wall_ms,
                                           uint64_t *size_bytes);

#endif
