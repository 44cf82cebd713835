#ifndef HR_COORD_CLAIM_H
#define HR_COORD_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "base-rng.h"
#include "coord-owner.h"
#include "coord-types.h"

#define HR_REQUEST_ID_BYTES 72       /* with the final NUL */
#define HR_CLAIM_RESULT_BYTES 128    /* longer results are not recorded */
#define HR_CLAIM_VALUE_BYTES 1000000 /* the store takes values up to 1 MB */
#define HR_CLAIM_MAX_AHEAD_MS (INT64_C(10) * 60 * 1000)
#define HR_CLAIM_KEEP_MS (INT64_C(60) * 1000) /* after the expiry */

/* Names one ask for ever; the only one that may dispatch under the claim. */
typedef struct HrClaimHolderId {
    uint64_t daemon_id;
    uint64_t incarnation;
    uint64_t sequence;
} HrClaimHolderId;

typedef enum HrClaimState {
    HR_CLAIM_HELD,     /* claimed; it may be running */
    HR_CLAIM_DONE,     /* it ran */
    HR_CLAIM_UNKNOWN,  /* dispatched; whether it ran will not be known */
    HR_CLAIM_RELEASED, /* in a message: not dispatched, or declined; in a
 record: the id had expired and never runs */
} HrClaimState;

/* The claim of one request id in a partition's store value. */
typedef struct HrClaimRecord {
    char request_id[HR_REQUEST_ID_BYTES];
    int64_t expires_ms;
    HrClaimHolderId holder;
    HrClaimState state;
    uint16_t result_bytes;
    uint8_t result[HR_CLAIM_RESULT_BYTES];
} HrClaimRecord;

/* The store value of one partition. */
typedef struct HrClaimValue {
    int64_t watermark_ms;    /* the largest expiry of a dropped record */
    HrClaimRecord **records; /* sorted by request id */
    uint32_t record_count;
} HrClaimValue;

typedef enum HrClaimMessageKind {
    HR_CLAIM_MESSAGE_ASK,         /* holder to owner */
    HR_CLAIM_MESSAGE_REPLY,       /* owner to holder */
    HR_CLAIM_MESSAGE_OUTCOME,     /* holder to owner: state and result */
    HR_CLAIM_MESSAGE_OUTCOME_ACK, /* owner to holder */
} HrClaimMessageKind;

typedef enum HrClaimVerdict {
    HR_CLAIM_VERDICT_GRANTED,
    HR_CLAIM_VERDICT_RECORDED, /* another copy ran: state and result */
    HR_CLAIM_VERDICT_UNKNOWN,  /* another copy may have run */
    HR_CLAIM_VERDICT_REFUSED,  /* reason and not_run */
} HrClaimVerdict;

/* A message between the holder and the owner of a claim. A daemon that is
 * both delivers it to itself. */
typedef struct HrClaimMessage {
    HrClaimMessageKind kind;
    HrClaimHolderId holder;
    char request_id[HR_REQUEST_ID_BYTES];
    int64_t expires_ms;     /* wall time since 1970 */
    int64_t time_left_ns;   /* ASK: until the caller's deadline */
    bool first_copy;        /* ASK: see HrClaimStart */
    HrClaimVerdict verdict; /* REPLY */
    HrReason reason;        /* REPLY; OUTCOME: EXPIRED closes the id */
    bool not_run;           /* REPLY */
    HrClaimState state;     /* REPLY (recorded), OUTCOME */
    uint16_t result_bytes;  /* REPLY, OUTCOME */
    uint8_t result[HR_CLAIM_RESULT_BYTES];
} HrClaimMessage;

/* ---- Partition owner ---- */

/* How a store call ended. */
typedef enum HrClaimStoreResult {
    HR_CLAIM_STORE_FOUND,    /* GET: value and revision */
    HR_CLAIM_STORE_ABSENT,   /* GET: no such key; its revision is 0 */
    HR_CLAIM_STORE_WRITTEN,  /* PUT: revision */
    HR_CLAIM_STORE_MISMATCH, /* PUT: the key has another revision */
    HR_CLAIM_STORE_FAILED,   /* nothing was or will be written */
    HR_CLAIM_STORE_UNKNOWN,  /* PUT: it may take effect, or may have */
} HrClaimStoreResult;

typedef struct HrClaimOwnerConfig {
    int64_t commit_interval_ns; /* between the starts of two commits */
    int64_t retry_ns;           /* before a failed store call is repeated */
    int64_t refresh_ns;         /* between reads while copies wait */
    int64_t idle_ns;            /* an unused partition is then forgotten */
    uint32_t max_pending;       /* asks and outcomes held, all partitions */
    HrCounters *counters;       /* may be NULL */
} HrClaimOwnerConfig;

typedef enum HrClaimOwnerEventKind {
    HR_CLAIM_OWNER_EVENT_TIMER,
    HR_CLAIM_OWNER_EVENT_MESSAGE, /* ASK or OUTCOME */
    HR_CLAIM_OWNER_EVENT_STORE,   /* the end of a store call */
} HrClaimOwnerEventKind;

typedef struct HrClaimOwnerEvent {
    HrClaimOwnerEventKind kind;
    int64_t now_ns;
    int64_t wall_ms;
    union {
        const HrClaimMessage *message;
        struct {
            uint32_t partition;
            uint64_t call; /* of the action */
            HrClaimStoreResult result;
            uint64_t revision;
            const HrClaimValue *value; /* FOUND; NULL: it is malformed */
        } store;
    } u;
} HrClaimOwnerEvent;

typedef enum HrClaimOwnerActionKind {
    HR_CLAIM_OWNER_ACTION_SEND,
    HR_CLAIM_OWNER_ACTION_GET,
    HR_CLAIM_OWNER_ACTION_PUT,
} HrClaimOwnerActionKind;

#define HR_CLAIM_KEY_BYTES 32

typedef struct HrClaimOwnerAction {
    HrClaimOwnerActionKind kind;
    union {
        struct {
            uint64_t daemon_id;
            HrClaimMessage message;
        } send;
        struct {
            uint32_t partition;
            uint64_t call; /* repeated in the result event */
            char key[HR_CLAIM_KEY_BYTES];
            uint64_t cas_revision;     /* PUT; 0: the key must be absent */
            const HrClaimValue *value; /* PUT; valid until its result event */
        } store;
    } u;
} HrClaimOwnerAction;

typedef struct HrClaimOwner HrClaimOwner;

/* Fills in the designed values. */
void HrClaimOwnerConfig_Default(HrClaimOwnerConfig *config);

/* Creates the owner side of one daemon, for every partition. */
HrClaimOwner *HrClaimOwner_Create(const void *parent,
                                  const HrClaimOwnerConfig *config, HrRng rng);

/* Processes one event. */
void HrClaimOwner_Handle(HrClaimOwner *owner, const HrClaimOwnerEvent *event);

/* Pops the next pending action; returns false when there is none. */
bool HrClaimOwner_Next(HrClaimOwner *owner, HrClaimOwnerAction *action);

/* Returns when a timer event is needed next. */
int64_t HrClaimOwner_NextTimer(const HrClaimOwner *owner);

/* Returns the number of asks and outcomes that are not answered yet. */
uint32_t HrClaimOwner_Pending(const HrClaimOwner *owner);

/* ---- Holder ---- */

typedef struct HrClaimHolderConfig {
    uint64_t daemon_id;
    uint64_t incarnation;
    int64_t resend_ns;    /* an ask or outcome without answer is repeated */
    uint32_t max_entries; /* claims held at once */
    HrCounters *counters; /* may be NULL */
} HrClaimHolderConfig;

/* A non-idempotent request that wants to run. */
typedef struct HrClaimStart {
    uint64_t token; /* of the embedder, repeated in DISPATCH and ANSWER */
    const char *request_id;
    int64_t expires_ms;  /* wall time since 1970 */
    int64_t deadline_ns; /* monotonic time of this VM */
    bool first_copy;     /* the caller states that it has not sent the id
                            before. Without the store nothing else can prove
                            that no earlier copy ran. */
} HrClaimStart;

typedef enum HrClaimHolderEventKind {
    HR_CLAIM_HOLDER_EVENT_TIMER,
    HR_CLAIM_HOLDER_EVENT_VIEW,    /* view: the owners may have changed */
    HR_CLAIM_HOLDER_EVENT_START,   /* start */
    HR_CLAIM_HOLDER_EVENT_MESSAGE, /* REPLY or OUTCOME_ACK */
    HR_CLAIM_HOLDER_EVENT_OUTCOME, /* a dispatched request ended */
} HrClaimHolderEventKind;

typedef struct HrClaimHolderEvent {
    HrClaimHolderEventKind kind;
    int64_t now_ns;
    int64_t wall_ms;
    union {
        const HrMemberView *view;
        HrClaimStart start;
        const HrClaimMessage *message;
        struct {
            uint64_t sequence;  /* of the DISPATCH action */
            HrClaimState state; /* DONE, UNKNOWN, or RELEASED when it was not
                                   dispatched or was declined */
            HrBytes result;
        } outcome;
    } u;
} HrClaimHolderEvent;

typedef enum HrClaimHolderActionKind {
    HR_CLAIM_HOLDER_ACTION_SEND,
    HR_CLAIM_HOLDER_ACTION_DISPATCH, /* run it; sent once for each claim.
                                        Report an outcome for every one. */
    HR_CLAIM_HOLDER_ACTION_ANSWER,   /* it does not run here */
} HrClaimHolderActionKind;

typedef struct HrClaimHolderAction {
    HrClaimHolderActionKind kind;
    union {
        struct {
            uint64_t daemon_id;
            HrClaimMessage message;
        } send;
        struct {
            uint64_t token;
            uint64_t sequence;
            int64_t deadline_ns; /* checked again just before the dispatch:
                                    the process may have been paused */
        } dispatch;
        struct {
            uint64_t token;
            HrClaimVerdict verdict; /* not GRANTED */
            HrReason reason;
            bool not_run;       /* neither this copy nor one sent before it
                                   has run */
            HrClaimState state; /* RECORDED: DONE or UNKNOWN */
            uint16_t result_bytes;
            uint8_t result[HR_CLAIM_RESULT_BYTES];
        } answer;
    } u;
} HrClaimHolderAction;

typedef struct HrClaimHolder HrClaimHolder;

/* Fills in the designed values. */
void HrClaimHolderConfig_Default(HrClaimHolderConfig *config);

/* Creates the holder side of one daemon. */
HrClaimHolder *HrClaimHolder_Create(const void *parent,
                                    const HrClaimHolderConfig *config,
                                    HrRng rng);

/* Processes one event. */
void HrClaimHolder_Handle(HrClaimHolder *holder,
                          const HrClaimHolderEvent *event);

/* Pops the next pending action; returns false when there is none. */
bool HrClaimHolder_Next(HrClaimHolder *holder, HrClaimHolderAction *action);

/* Returns when a timer event is needed next. */
int64_t HrClaimHolder_NextTimer(const HrClaimHolder *holder);

/* Returns the number of claims without a settled outcome. */
uint32_t HrClaimHolder_Open(const HrClaimHolder *holder);

#endif
