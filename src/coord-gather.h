#ifndef HR_COORD_GATHER_H
#define HR_COORD_GATHER_H

#include <stdbool.h>
#include <stdint.h>

#include "base-counter.h"
#include "coord-types.h"
#include "state-index-map.h"
#include "state-tables.h"

/* The sub-request id holds the rank of the candidate in 8 bits. */
#define HR_GATHER_MAX_CANDIDATES 255
/* The sub-request id holds the index of the shard in 20 bits. */
#define HR_GATHER_MAX_SHARDS (1u << 20)

/* The coverage that the caller requested. */
typedef enum HrWantedCoverage {
    HR_WANT_PARTIAL,  /* the completion rule of the route decides */
    HR_WANT_COMPLETE, /* every shard, also if the rule is "enough" */
} HrWantedCoverage;

/* The status of the answer to one query. */
typedef enum HrQueryStatus {
    HR_STATUS_COMPLETE, /* every shard contributed */
    HR_STATUS_PARTIAL,  /* at least one shard is missing */
    HR_STATUS_REFUSED,
    HR_STATUS_DONE,    /* non-idempotent request that ran exactly once */
    HR_STATUS_UNKNOWN, /* non-idempotent request that may have run */
} HrQueryStatus;

typedef struct HrGatherConfig {
    /* The answer is due this long before the caller's deadline, but not
     * before three quarters of the time from start to deadline are over. */
    int64_t answer_margin_ns;
    /* A query restarts on another index version only if at least this much
     * time is left until its answer is due. */
    int64_t restart_min_ns;
    /* Number of scheduling daemons to try per group, at most
     * HR_GATHER_MAX_CANDIDATES. Daemons set HR_OWNER_CANDIDATES. */
    uint32_t candidate_count;
    /* Limit for the sum of the payloads that one query holds. A shard whose
     * payload would exceed it is missing as HR_REASON_OVERLOADED. */
    uint64_t max_payload_bytes;
    HrCounters *counters; /* may be NULL */
} HrGatherConfig;

typedef enum HrGatherEventKind {
    HR_GATHER_START,
    HR_GATHER_SUB_ANSWER,
    HR_GATHER_PEER_FAILURE,
    HR_GATHER_MAPS_RECEIVED,
    HR_GATHER_TIMER,
    HR_GATHER_CALLER_DISCONNECTED,
    HR_GATHER_STOPPING, /* the daemon exits: finish with the parts so far */
} HrGatherEventKind;

/* Starts the query. route, maps and key are read only during the call;
 * payload and caller must stay valid until the gather is freed. A query of one
 * shard (completion rule "single", and every non-idempotent request) needs a
 * key unless the pool has just one shard. Without a key it is refused as
 * HR_REASON_NO_KEY. */
typedef struct HrGatherStart {
    const HrRoute *route;
    const HrIndexMapSet *maps; /* the newest usable map is pinned; may be
                                * NULL */
    const char *key;           /* selects the shard; NULL: none */
    HrBytes payload;
    const char *caller;
    HrWantedCoverage want;
    int64_t deadline_ns;
} HrGatherStart;

/* Reports that a sub-request could not be delivered, or that the link to its
 * scheduling daemon failed before the answer arrived. */
typedef struct HrGatherPeerFailure {
    uint32_t sub_id;
    bool send_started; /* a byte of the request may have been passed to the
                        * peer link, so the request may have run */
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

/* A shard that contributed to the answer. */
typedef struct HrShardPart {
    const char *shard;
    const char *group;
    const char *server; /* the server that answered; NULL: unknown */
    HrBytes payload;
    int64_t latency_ns; /* from the start on this version to the answer */
} HrShardPart;

/* A shard that did not contribute to the answer. */
typedef struct HrMissingShard {
    const char *shard;
    const char *group;
    HrReason reason;
} HrMissingShard;

/* The answer to one query. Each shard of the query is either in parts or in
 * missing, exactly once. */
typedef struct HrGatherAnswer {
    HrQueryStatus status;
    HrReason reason;  /* HR_REASON_NONE unless refused or unknown */
    bool not_run;     /* refused, and no server ran any part of it */
    uint64_t version; /* index version of all parts; 0: none was pinned */
    HrShardPart *parts;
    uint32_t part_count;
    HrMissingShard *missing;
    uint32_t missing_count;
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

/* Sends a sub-request to the scheduling daemon with the given rank. The driver
 * reports a peer failure if the group has no daemon with that rank. */
typedef struct HrGatherSend {
    HrSubRequest request; /* strings are valid until the gather is freed */
    uint32_t rank;        /* 0: the first candidate of the group */
} HrGatherSend;

/* Notifies the scheduling daemon that the answer to a sub-request is no longer
 * needed. */
typedef struct HrGatherCancelSub {
    uint32_t sub_id;
    const char *group;
    uint32_t rank;
} HrGatherCancelSub;

/* Requests the index maps of the pool, because no server of some group holds
 * the pinned version. The driver must reply with one HR_GATHER_MAPS_RECEIVED
 * event: immediately if it has a set with a larger revision, else with the set
 * that it has after a request to the home daemon of the pool. Maps that the
 * gather did not request are ignored. */
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

/* The scatter-gather state machine of one query: it sends a sub-request to
 * each shard, collects the answers for one index version, restarts on another
 * version if no server of some group holds that one, and finishes with a
 * complete or partial answer. It does no I/O: a driver passes events in and
 * carries out the actions that it pops. */
typedef struct HrGather HrGather;

/* Returns the default limits, without counters. */
HrGatherConfig HrGatherConfig_GetDefaults(void);

/* Creates the gather of one query as a talloc child of parent. The query
 * starts with the HR_GATHER_START event. Returns NULL when out of memory. */
HrGather *HrGather_Create(const void *parent, const HrGatherConfig *config,
                          const HrQueryId *query);

/* Handles one event; pop the resulting actions afterwards. Events are ignored
 * once the query has finished. Returns 0, HR_ERR_NO_MEMORY (a gather that has
 * not finished can still handle later events), or HR_ERR_INVALID if the first
 * event is not a start or a later one is. */
int HrGather_HandleEvent(HrGather *gather, const HrGatherEvent *event);

/* Pops the next action; returns false if there is none. HR_GATHER_FINISH is
 * the last action of a gather and follows all cancellations. */
bool HrGather_PopAction(HrGather *gather, HrGatherAction *action);

/* Returns the time in nanoseconds at which the driver must pass the next
 * HR_GATHER_TIMER event, or HR_TIME_NEVER. */
int64_t HrGather_GetNextTimer(const HrGather *gather);

/* Returns the lower-case name of a status, or "other" for an unknown value.
 * Names are sent in messages, so they must not change. The returned string is
 * static. */
const char *HrQueryStatus_GetName(HrQueryStatus status);

#endif
