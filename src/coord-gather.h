#ifndef HR_COORD_GATHER_H
#define HR_COORD_GATHER_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "coord-types.h"
#include "state-index-map.h"
#include "state-tables.h"

/* Candidates are numbered in 8 bits of the sub-request id. */
#define HR_GATHER_MAX_CANDIDATES 255
/* Shards are numbered in 20 bits of the sub-request id. */
#define HR_GATHER_MAX_SHARDS (1u << 20)

/* What the caller asked for. */
typedef enum HrWant {
    HR_WANT_PARTIAL,  /* what the route's completion rule gives */
    HR_WANT_COMPLETE, /* every shard: turns "enough" into "all" */
} HrWant;

/* The status of the answer to one query. */
typedef enum HrStatus {
    HR_STATUS_COMPLETE, /* every shard contributed */
    HR_STATUS_PARTIAL,  /* at least one shard is missing */
    HR_STATUS_REFUSED,
    HR_STATUS_DONE,    /* non-idempotent: it ran, once */
    HR_STATUS_UNKNOWN, /* non-idempotent: it may have run */
} HrStatus;

typedef struct HrGatherConfig {
    /* The answer is given this long before the caller's deadline, but no
     * earlier than three quarters of the time from start to deadline. */
    int64_t margin_ns;
    /* Shortest time to the answer in which a restart is worth while. */
    int64_t restart_min_ns;
    /* Scheduling daemons to try per group: HR_OWNER_CANDIDATES. */
    uint32_t candidate_count;
    /* Payload bytes that one query may hold. */
    uint64_t max_payload_bytes;
    HrCounters *counters; /* may be NULL */
} HrGatherConfig;

typedef enum HrGatherEventKind {
    HR_GATHER_START,
    HR_GATHER_SUB_ANSWER,
    HR_GATHER_PEER_FAILURE,
    HR_GATHER_MAPS,
    HR_GATHER_TIMER,
    HR_GATHER_CANCEL, /* the caller has gone */
} HrGatherEventKind;

/* Starts the query. route, maps and key are read only during the call;
 * payload and caller must stay valid until the gather is freed. A query of one
 * shard (completion rule "single", and every non-idempotent request) needs a
 * key unless the pool has just one shard; else it is refused as NO_ROUTE. */
typedef struct HrGatherStart {
    const HrRoute *route;
    const HrIndexMapSet *maps; /* the newest map is pinned; may be NULL */
    const char *key;           /* NULL: none */
    HrBytes payload;
    const char *caller;
    HrWant want;
    int64_t deadline_ns;
} HrGatherStart;

/* A sub-request could not be delivered, or the link to its scheduling daemon
 * failed before the answer. */
typedef struct HrGatherPeerFailure {
    uint32_t sub_id;
    bool handed_over; /* any byte was given to the peer link */
    HrReason reason;
} HrGatherPeerFailure;

typedef struct HrGatherEvent {
    HrGatherEventKind kind;
    int64_t now_ns;
    union {
        HrGatherStart start;
        const HrSubAnswer *answer; /* read only during the call */
        HrGatherPeerFailure failure;
        const HrIndexMapSet *maps; /* read only during the call; may be NULL */
    } u;
} HrGatherEvent;

/* A shard that contributed. */
typedef struct HrShardPart {
    const char *shard;
    const char *group;
    const char *server; /* NULL: not named */
    HrBytes payload;
    int64_t latency_ns; /* from its first attempt to its answer */
} HrShardPart;

/* A shard that did not contribute. */
typedef struct HrShardGap {
    const char *shard;
    const char *group;
    HrReason reason;
} HrShardGap;

/* The answer to one query. parts and gaps together name each shard of the
 * query exactly once. */
typedef struct HrGatherAnswer {
    HrStatus status;
    HrReason reason;  /* of a refusal or an unknown outcome; else NONE */
    bool not_run;     /* a refusal, and nothing was run */
    uint64_t version; /* the one snapshot; 0 when none was pinned */
    HrShardPart *parts;
    uint32_t part_count;
    HrShardGap *gaps;
    uint32_t gap_count;
    uint32_t restarts;
    uint32_t failovers;
    int64_t started_ns;
    int64_t first_part_ns; /* 0: none */
    int64_t last_part_ns;  /* 0: none */
    int64_t finished_ns;
} HrGatherAnswer;

typedef enum HrGatherActionKind {
    HR_GATHER_SEND,
    HR_GATHER_CANCEL_SUB,
    HR_GATHER_PULL_MAPS,
    HR_GATHER_FINISH,
} HrGatherActionKind;

/* Sends a sub-request to the scheduling daemon of a rank. When the group has
 * no daemon of that rank, the driver reports a peer failure. */
typedef struct HrGatherSend {
    HrSubRequest request; /* strings are valid until the gather is freed */
    uint32_t rank;        /* 0: the first candidate of pool/group */
} HrGatherSend;

/* Tells the scheduling daemon that a sub-answer is no longer needed. */
typedef struct HrGatherCancelSub {
    uint32_t sub_id;
    const char *group;
    uint32_t rank;
} HrGatherCancelSub;

/* Asks for the index maps of the pool, because no server holds the pinned
 * version. The driver always replies with one HR_GATHER_MAPS event: at once
 * when it knows a set with a larger revision, else after it has asked the
 * pool home, with the set that it then has. Maps that the gather did not ask
 * for are ignored. */
typedef struct HrGatherPullMaps {
    const char *pool;
    uint64_t known_revision;
} HrGatherPullMaps;

typedef struct HrGatherAction {
    HrGatherActionKind kind;
    union {
        HrGatherSend send;
        HrGatherCancelSub cancel;
        HrGatherPullMaps pull;
        const HrGatherAnswer *answer; /* valid until the gather is freed */
    } u;
} HrGatherAction;

/* One query, from its start to its answer. */
typedef struct HrGather HrGather;

/* Returns the default configuration. */
HrGatherConfig HrGatherConfig_Default(void);

/* Creates the state of one query; returns NULL when memory runs out. */
HrGather *HrGather_Create(const void *parent, const HrGatherConfig *config,
                          const HrQueryId *query);

/* Handles one event. Events after the finish are ignored. Returns 0,
 * HR_ERR_NO_MEMORY (a gather that has not finished still can), or
 * HR_ERR_INVALID when a start is missing or repeated. */
int HrGather_Handle(HrGather *gather, const HrGatherEvent *event);

/* Pops the next action; returns false when there is none. FINISH is the last
 * action of a gather. Cancellations of sub-requests precede it. */
bool HrGather_Next(HrGather *gather, HrGatherAction *action);

/* Returns when the next timer event is due; HR_TIME_NEVER: none. */
int64_t HrGather_NextTimer(const HrGather *gather);

/* Returns the stable lower-case name of a status. */
const char *HrStatus_Name(HrStatus status);

#endif
