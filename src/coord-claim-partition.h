#ifndef HR_COORD_CLAIM_PARTITION_H
#define HR_COORD_CLAIM_PARTITION_H

/* The inside of the partition owner, shared by coord-claim-owner.c (store
 * calls and queue) and coord-claim-evaluate.c (decisions). */

#include <bsd/sys/queue.h>

#include "coord-claim-value.h"

/* Where an ask or outcome stands. */
typedef enum HrClaimPhase {
    HR_CLAIM_OP_PENDING,  /* to be evaluated against the committed value */
    HR_CLAIM_OP_WAITING,  /* another copy holds the claim */
    HR_CLAIM_OP_IN_BATCH, /* its change is part of the proposed value */
} HrClaimPhase;

/* An ask or outcome that is not answered yet. */
typedef struct HrClaimOp {
    TAILQ_ENTRY(HrClaimOp) link;
    HrClaimMessage message;
    int64_t arrived_ns;
    int64_t deadline_ns; /* the holder has given up by then */
    HrClaimPhase phase;
    bool maybe_written; /* part of a write with an unknown outcome */
} HrClaimOp;

/* What the committed value says about an op. */
typedef enum HrClaimFinding {
    HR_CLAIM_FINDING_ANSWERED, /* a reply was sent */
    HR_CLAIM_FINDING_WAIT,     /* another copy holds the claim */
    HR_CLAIM_FINDING_READ,     /* only a newer read of the store can tell */
    HR_CLAIM_FINDING_CHANGE,   /* the value must change first */
} HrClaimFinding;

/* One partition, as far as this daemon has worked on it. */
typedef struct HrClaimPartition {
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
    TAILQ_HEAD(HrClaimOpList, HrClaimOp) ops;
} HrClaimPartition;

/* A queued action. */
typedef struct HrClaimQueued {
    STAILQ_ENTRY(HrClaimQueued) link;
    HrClaimOwnerAction action;
} HrClaimQueued;

struct HrClaimOwner {
    HrClaimOwnerConfig config;
    HrRng rng;
    uint64_t last_call;
    uint32_t op_count;
    int64_t wake_ns;       /* no partition needs a timer before */
    HrClaimMessage unsent; /* written instead of one without memory */
    HrClaimPartition partitions[HR_CLAIM_PARTITIONS];
    STAILQ_HEAD(HrClaimQueue, HrClaimQueued) actions;
};

/* Returns an empty queued action; NULL when memory is short. */
HrClaimOwnerAction *HrClaimOwner_Push(HrClaimOwner *owner,
                                      HrClaimOwnerActionKind kind);

/* Refuses an ask. */
HrClaimFinding HrClaimOwner_Refuse(HrClaimOwner *owner,
                                   const HrClaimMessage *ask, HrReason reason,
                                   bool not_run);

/* Evaluates an op against the committed value. */
HrClaimFinding HrClaimOwner_Evaluate(HrClaimOwner *owner,
                                     const HrClaimPartition *partition,
                                     const HrClaimOp *op, int64_t wall_ms);

/* Applies an op to the proposed value, whose size bound is size_bytes. */
HrClaimFinding HrClaimOwner_Propose(HrClaimOwner *owner,
                                    HrClaimPartition *partition,
                                    const HrClaimOp *op, int64_t wall_ms,
                                    uint64_t *size_bytes);

#endif
