#ifndef HR_COORD_CLAIM_H
#define HR_COORD_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "base-rng.h"
#include "coord-owner.h"
#include "coord-types.h"

#define HR_REQUEST_ID_BYTES 72       /* including the final NUL */
#define HR_CLAIM_RESULT_BYTES 128    /* longer results are not recorded */
#define HR_CLAIM_VALUE_BYTES 1000000 /* the store accepts up to 1 MB */

/* A claim request whose expiry is further in the future is refused. */
#define HR_CLAIM_MAX_EXPIRY_AHEAD_MS (INT64_C(10) * 60 * 1000)

/* How long a record stays in the value after its expiry. */
#define HR_CLAIM_RETENTION_MS (INT64_C(60) * 1000)

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
    int64_t watermark_ms; /* the latest expiry among the removed records; ids
                             that expire at or before it are refused */
    HrClaimRecord **records; /* sorted by request id */
    uint32_t record_count;
} HrClaimValue;

typedef enum HrClaimMessageKind {
    HR_CLAIM_MESSAGE_REQUEST,     /* holder to owner: requests the claim */
    HR_CLAIM_MESSAGE_REPLY,       /* owner to holder */
    HR_CLAIM_MESSAGE_OUTCOME,     /* holder to owner: state and result */
    HR_CLAIM_MESSAGE_OUTCOME_ACK, /* owner to holder */
} HrClaimMessageKind;

typedef enum HrClaimVerdict {
    HR_CLAIM_VERDICT_GRANTED,
    HR_CLAIM_VERDICT_RECORDED, /* another copy was dispatched; see state and
                                  result */
    HR_CLAIM_VERDICT_UNKNOWN,  /* another copy may have run */
    HR_CLAIM_VERDICT_REFUSED,  /* see reason and not_run */
} HrClaimVerdict;

/* A message between the holder and the partition owner of a claim. If one
 * daemon is both, it delivers the message to itself. A "copy" of a request is
 * one transmission of its id by the caller: the first one or a retry. */
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

/* Times and limits of a partition owner. */
typedef struct HrClaimOwnerConfig {
    int64_t commit_interval_ns; /* minimum time between the starts of two
                                   commits of a partition */
    int64_t retry_ns; /* minimum delay before a failed store call is retried */
    int64_t refresh_ns; /* between two reads of a partition while claim
                           requests wait for another copy's outcome */
    int64_t idle_ns; /* the value of an unused partition is freed from memory
                        after this time */
    uint32_t max_pending; /* claim requests and outcomes that are not answered
                             yet, over all partitions */
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
            uint64_t call; /* the call id of the GET or PUT action */
            HrClaimStoreResult result;
            uint64_t revision;
            const HrClaimValue *value; /* FOUND: NULL if malformed */
        } store;
    } u;
} HrClaimOwnerEvent;

typedef enum HrClaimOwnerActionKind {
    HR_CLAIM_OWNER_ACTION_SEND,
    HR_CLAIM_OWNER_ACTION_GET,
    HR_CLAIM_OWNER_ACTION_PUT,
} HrClaimOwnerActionKind;

/* Size of a store key, including the final NUL. */
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
            uint64_t call; /* call id; the result event must have the same */
            char key[HR_CLAIM_KEY_BYTES];
            uint64_t cas_revision; /* PUT: the revision that the key must have;
                                      0: the key must be absent */
            const HrClaimValue *value; /* PUT: valid until the result event */
        } store;
    } u;
} HrClaimOwnerAction;

typedef struct HrClaimOwner HrClaimOwner;

/* Fills in the default values; counters stays NULL. */
void HrClaimOwnerConfig_GetDefaults(HrClaimOwnerConfig *config);

/* Creates the state machine of one daemon as partition owner. It serves every
 * partition: the holders choose the owner by their member views, and
 * compare-and-swap prevents concurrent owners from overwriting each other's
 * claims. Returns NULL when out of memory. */
HrClaimOwner *HrClaimOwner_Create(const void *parent,
                                  const HrClaimOwnerConfig *config, HrRng rng);

/* Processes one event; pop all actions afterwards. The data that the event
 * points to must be valid only during the call. */
void HrClaimOwner_HandleEvent(HrClaimOwner *owner,
                              const HrClaimOwnerEvent *event);

/* Pops the oldest pending action; returns false when there is none. Call it
 * repeatedly after each event until it returns false. */
bool HrClaimOwner_PopAction(HrClaimOwner *owner, HrClaimOwnerAction *action);

/* Returns the monotonic time at which the next TIMER event is due, or
 * HR_TIME_NEVER. */
int64_t HrClaimOwner_GetNextTimer(const HrClaimOwner *owner);

/* Returns the number of claim requests and outcomes, over all partitions, that
 * are not answered yet. */
uint32_t HrClaimOwner_GetPendingCount(const HrClaimOwner *owner);

/* ---- Holder ---- */

/* Identity, times and limits of a claim holder. */
typedef struct HrClaimHolderConfig {
    uint64_t daemon_id;
    uint64_t incarnation;
    int64_t resend_ns; /* delay before the first resend of an unanswered claim
                          request or outcome; doubles with each resend until it
                          is at least 8 s */
    uint32_t max_entries; /* claims in memory at once, including closed ones */
    HrCounters *counters; /* may be NULL */
} HrClaimHolderConfig;

/* A copy of a non-idempotent request that has to be claimed before it may
 * run. */
typedef struct HrClaimStart {
    uint64_t token; /* chosen by the code that embeds the holder; repeated in
                       DISPATCH and ANSWER */
    const char *request_id;
    int64_t expires_ms;  /* wall time, ms since 1970 */
    int64_t deadline_ns; /* monotonic time of this VM */
    bool first_copy; /* the caller states that it has not sent the id before.
                        While the store is unavailable, nothing else proves
                        that no earlier copy ran. */
} HrClaimStart;

typedef enum HrClaimHolderEventKind {
    HR_CLAIM_HOLDER_EVENT_TIMER,
    HR_CLAIM_HOLDER_EVENT_VIEW,  /* view: partition owners may have changed */
    HR_CLAIM_HOLDER_EVENT_START, /* start */
    HR_CLAIM_HOLDER_EVENT_MESSAGE, /* message: REPLY or OUTCOME_ACK */
    HR_CLAIM_HOLDER_EVENT_OUTCOME, /* outcome: how the request ended */
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
            uint64_t sequence; /* the sequence of the DISPATCH action */
            /* DONE, UNKNOWN, or RELEASED if the request was not sent to a
             * backend server or was declined by it. */
            HrClaimState state;
            HrBytes result;
        } outcome;
    } u;
} HrClaimHolderEvent;

typedef enum HrClaimHolderActionKind {
    HR_CLAIM_HOLDER_ACTION_SEND,
    HR_CLAIM_HOLDER_ACTION_DISPATCH, /* run the request. Emitted at most once
                                        for each claim; an OUTCOME event must
                                        follow. */
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
            /* Check it again just before running the request: the process may
             * have been paused. */
            int64_t deadline_ns;
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

/* Processes one event; pop all actions afterwards. The data that the event
 * points to must be valid only during the call. */
void HrClaimHolder_HandleEvent(HrClaimHolder *holder,
                               const HrClaimHolderEvent *event);

/* Pops the oldest pending action; returns false when there is none. Call it
 * repeatedly after each event until it returns false. */
bool HrClaimHolder_PopAction(HrClaimHolder *holder,
                             HrClaimHolderAction *action);

/* Returns the monotonic time at which the next TIMER event is due, or
 * HR_TIME_NEVER. */
int64_t HrClaimHolder_GetNextTimer(const HrClaimHolder *holder);

/* Returns the number of claims that wait for a reply, whose request is
 * running, or whose outcome is not acknowledged yet. */
uint32_t HrClaimHolder_GetUnfinishedCount(const HrClaimHolder *holder);

#endif
