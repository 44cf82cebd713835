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
#define HR_CLAIM_MAX_EXPIRY_AHEAD_MS (INT64_C(10) * 60 * 1000)
#define HR_CLAIM_RETENTION_MS (INT64_C(60) * 1000) /* after the expiry */

/* Identifies one claim request and is never reused. Only the claim request
 * that was granted the claim may dispatch the request. */
typedef struct HrClaimHolderId {
    uint64_t daemon_id;
    uint64_t incarnation;
    uint64_t sequence;
} HrClaimHolderId;

typedef enum HrClaimState {
    HR_CLAIM_HELD,     /* claimed; the request may be running */
    HR_CLAIM_DONE,     /* the request ran */
    HR_CLAIM_UNKNOWN,  /* dispatched; whether it ran cannot be determined */
    HR_CLAIM_RELEASED, /* in a message: not dispatched, or declined; in a
                          record: the id expired and must never run */
} HrClaimState;

/* The claim of one request id, as stored in its partition's value. */
typedef struct HrClaimRecord {
    char request_id[HR_REQUEST_ID_BYTES];
    int64_t expires_ms;
    HrClaimHolderId holder;
    HrClaimState state;
    uint16_t result_bytes;
    uint8_t result[HR_CLAIM_RESULT_BYTES];
} HrClaimRecord;

/* The value of one partition's key in the store. */
typedef struct HrClaimValue {
    int64_t watermark_ms;    /* the latest expiry of the dropped records */
    HrClaimRecord **records; /* sorted by request id */
    uint32_t record_count;
} HrClaimValue;

typedef enum HrClaimMessageKind {
    HR_CLAIM_MESSAGE_REQUEST,     /* holder to owner: asks for the claim */
    HR_CLAIM_MESSAGE_REPLY,       /* owner to holder */
    HR_CLAIM_MESSAGE_OUTCOME,     /* holder to owner: state and result */
    HR_CLAIM_MESSAGE_OUTCOME_ACK, /* owner to holder */
} HrClaimMessageKind;

typedef enum HrClaimVerdict {
    HR_CLAIM_VERDICT_GRANTED,
    HR_CLAIM_VERDICT_RECORDED, /* another copy ran; see state and result */
    HR_CLAIM_VERDICT_UNKNOWN,  /* another copy may have run */
    HR_CLAIM_VERDICT_REFUSED,  /* see reason and not_run */
} HrClaimVerdict;

/* A message between the holder and the partition owner of a claim. A daemon
 * that is both delivers it to itself. A "copy" of a request is one
 * transmission of its id by the caller: the first one or a retry. */
typedef struct HrClaimMessage {
    HrClaimMessageKind kind;
    HrClaimHolderId holder;
    char request_id[HR_REQUEST_ID_BYTES];
    int64_t expires_ms;     /* wall time, ms since 1970 */
    int64_t time_left_ns;   /* REQUEST: until the caller's deadline */
    bool first_copy;        /* REQUEST: see HrClaimStart */
    HrClaimVerdict verdict; /* REPLY */
    HrReason reason;        /* REPLY; OUTCOME: EXPIRED: the id never runs */
    bool not_run;           /* REPLY */
    HrClaimState state;     /* REPLY with RECORDED, OUTCOME */
    uint16_t result_bytes;  /* REPLY, OUTCOME */
    uint8_t result[HR_CLAIM_RESULT_BYTES];
} HrClaimMessage;

/* ---- Partition owner ---- */

/* The result of a store call. */
typedef enum HrClaimStoreResult {
    HR_CLAIM_STORE_FOUND,    /* GET: value and revision */
    HR_CLAIM_STORE_ABSENT,   /* GET: there is no such key; revision is 0 */
    HR_CLAIM_STORE_WRITTEN,  /* PUT: revision */
    HR_CLAIM_STORE_MISMATCH, /* PUT: the key has another revision */
    HR_CLAIM_STORE_FAILED,   /* nothing was or will be written */
    HR_CLAIM_STORE_UNKNOWN,  /* PUT: may have been or may yet be applied */
} HrClaimStoreResult;

typedef struct HrClaimOwnerConfig {
    int64_t commit_interval_ns; /* between the starts of two commits of a
                                   partition */
    int64_t retry_ns;           /* before a failed store call is retried */
    int64_t refresh_ns;   /* between reads while copies wait for another copy's
                             outcome */
    int64_t idle_ns;      /* an unused partition is freed after this */
    uint32_t max_pending; /* claim requests and outcomes held, over all
                             partitions */
    HrCounters *counters; /* may be NULL */
} HrClaimOwnerConfig;

typedef enum HrClaimOwnerEventKind {
    HR_CLAIM_OWNER_EVENT_TIMER,
    HR_CLAIM_OWNER_EVENT_MESSAGE, /* REQUEST or OUTCOME */
    HR_CLAIM_OWNER_EVENT_STORE,   /* result of a store call */
} HrClaimOwnerEventKind;

typedef struct HrClaimOwnerEvent {
    HrClaimOwnerEventKind kind;
    int64_t now_ns;
    int64_t wall_ms;
    union {
        const HrClaimMessage *message;
        struct {
            uint32_t partition;
            uint64_t call; /* as in the action */
            HrClaimStoreResult result;
            uint64_t revision;
            const HrClaimValue *value; /* FOUND; NULL: malformed */
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
            uint64_t call; /* the result event must repeat it */
            char key[HR_CLAIM_KEY_BYTES];
            uint64_t cas_revision;     /* PUT; 0: the key must be absent */
            const HrClaimValue *value; /* PUT; valid until the result event */
        } store;
    } u;
} HrClaimOwnerAction;

typedef struct HrClaimOwner HrClaimOwner;

/* Fills in the default values; counters stays NULL. */
void HrClaimOwnerConfig_GetDefaults(HrClaimOwnerConfig *config);

/* Creates the state machine of one daemon as partition owner. It serves every
 * partition: owners are decided by the holders' member views, and
 * compare-and-swap keeps concurrent owners safe. Returns NULL when out of
 * memory. */
HrClaimOwner *HrClaimOwner_Create(const void *parent,
                                  const HrClaimOwnerConfig *config, HrRng rng);

/* Processes one event; pop all actions afterwards. Data that the event points
 * to is copied where it is kept. */
void HrClaimOwner_HandleEvent(HrClaimOwner *owner,
                              const HrClaimOwnerEvent *event);

/* Pops the oldest pending action; returns false when there is none. Call it
 * until then after each event. */
bool HrClaimOwner_PopAction(HrClaimOwner *owner, HrClaimOwnerAction *action);

/* Returns the monotonic time at which the next TIMER event is due, or
 * HR_TIME_NEVER. */
int64_t HrClaimOwner_GetNextTimer(const HrClaimOwner *owner);

/* Returns the number of claim requests and outcomes, over all partitions, that
 * are not answered yet. */
uint32_t HrClaimOwner_GetPendingCount(const HrClaimOwner *owner);

/* ---- Holder ---- */

typedef struct HrClaimHolderConfig {
    uint64_t daemon_id;
    uint64_t incarnation;
    int64_t resend_ns;    /* before an unanswered claim request or outcome is
                             resent */
    uint32_t max_entries; /* claims held in memory at once */
    HrCounters *counters; /* may be NULL */
} HrClaimHolderConfig;

/* A copy of a non-idempotent request that has to be claimed before it may
 * run. */
typedef struct HrClaimStart {
    uint64_t token; /* of the embedder; repeated in DISPATCH and ANSWER */
    const char *request_id;
    int64_t expires_ms;  /* wall time, ms since 1970 */
    int64_t deadline_ns; /* monotonic time of this VM */
    bool first_copy; /* the caller states that it has not sent the id before.
                        Without the store nothing else can prove that no
                        earlier copy ran. */
} HrClaimStart;

typedef enum HrClaimHolderEventKind {
    HR_CLAIM_HOLDER_EVENT_TIMER,
    HR_CLAIM_HOLDER_EVENT_VIEW,    /* view: owners may have changed */
    HR_CLAIM_HOLDER_EVENT_START,   /* start */
    HR_CLAIM_HOLDER_EVENT_MESSAGE, /* REPLY or OUTCOME_ACK */
    HR_CLAIM_HOLDER_EVENT_OUTCOME, /* how a dispatched request ended */
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
            uint64_t sequence;  /* as in the DISPATCH action */
            HrClaimState state; /* DONE, UNKNOWN, or RELEASED when it was not
                                   dispatched or was declined */
            HrBytes result;
        } outcome;
    } u;
} HrClaimHolderEvent;

typedef enum HrClaimHolderActionKind {
    HR_CLAIM_HOLDER_ACTION_SEND,
    HR_CLAIM_HOLDER_ACTION_DISPATCH, /* run the request; emitted at most once
                                        for each claim. An OUTCOME event must
                                        follow each one. */
    HR_CLAIM_HOLDER_ACTION_ANSWER,   /* the request does not run here */
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
            int64_t deadline_ns; /* check it again just before running: the
                                    process may have been paused */
        } dispatch;
        struct {
            uint64_t token;
            HrClaimVerdict verdict; /* not GRANTED */
            HrReason reason;
            bool not_run; /* neither this copy nor an earlier one has run */
            HrClaimState state; /* RECORDED: DONE or UNKNOWN */
            uint16_t result_bytes;
            uint8_t result[HR_CLAIM_RESULT_BYTES];
        } answer;
    } u;
} HrClaimHolderAction;

typedef struct HrClaimHolder HrClaimHolder;

/* Fills in the default values; the caller sets daemon_id and incarnation. */
void HrClaimHolderConfig_GetDefaults(HrClaimHolderConfig *config);

/* Creates the state machine of one daemon as claim holder. It sends nothing
 * before the first VIEW event. Returns NULL when out of memory. */
HrClaimHolder *HrClaimHolder_Create(const void *parent,
                                    const HrClaimHolderConfig *config,
                                    HrRng rng);

/* Processes one event; pop all actions afterwards. Data that the event points
 * to is copied where it is kept. */
void HrClaimHolder_HandleEvent(HrClaimHolder *holder,
                               const HrClaimHolderEvent *event);

/* Pops the oldest pending action; returns false when there is none. Call it
 * until then after each event. */
bool HrClaimHolder_PopAction(HrClaimHolder *holder,
                             HrClaimHolderAction *action);

/* Returns the monotonic time at which the next TIMER event is due, or
 * HR_TIME_NEVER. */
int64_t HrClaimHolder_GetNextTimer(const HrClaimHolder *holder);

/* Returns the number of claims that still wait for a reply, are running, or
 * report an outcome that is not acknowledged yet. */
uint32_t HrClaimHolder_GetUnfinishedCount(const HrClaimHolder *holder);

#endif
