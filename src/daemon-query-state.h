#ifndef HR_DAEMON_QUERY_STATE_H
#define HR_DAEMON_QUERY_STATE_H

/* State of a query task and of its queries. Used by daemon-query*.c only. */

#include <uthash.h>

#include "coord-admit.h"
#include "coord-burn.h"
#include "coord-gather.h"
#include "daemon-placement.h"
#include "daemon-query-limit.h"
#include "daemon-task.h"
#include "proto-caller.h"

/* What a query waits for. */
typedef enum HrQueryPhase {
    HR_QUERY_ADMISSION,
    HR_QUERY_CLAIM,
    HR_QUERY_MAPS,
    HR_QUERY_RUNNING,
} HrQueryPhase;

/* Where an open sub-request was sent. */
typedef struct HrQuerySub {
    UT_hash_handle hh;
    uint32_t sub_id;
    uint64_t target_id;
    const char *group; /* owned by the gather */
} HrQuerySub;

typedef struct HrQueryTask HrQueryTask;

/* One query from its arrival to its answer. */
typedef struct HrQuery {
    UT_hash_handle hh;
    HrQueryTask *owner;
    HrQueryId id;
    uint64_t http_number;
    HrCallerQuery *caller;
    HrRoute route; /* a copy; its strings belong to the query */
    HrQueryPhase phase;
    int64_t received_ns;
    int64_t deadline_ns;
    bool admitted;
    bool claimed;
    uint64_t claim_sequence;
    bool pull_awaited; /* the gather waits for maps */
    HrGather *gather;
    HrQuerySub *subs; /* hash */
    HrLoopTimer *timer;
    int64_t maps_until_ns; /* the start does not wait for maps longer */
} HrQuery;

/* When the maps of a pool were last asked for. */
typedef struct HrQueryPool {
    UT_hash_handle hh;
    char *name;
    int64_t asked_ns;
    bool awaited;
} HrQueryPool;

struct HrQueryTask {
    HrTask *task;
    HrAdmit *admit;
    HrQueryLimit limit;
    HrLoopTimer *admit_timer;
    HrLoopTimer *load_timer;
    HrPlacement *placement;
    HrBurn *burn;
    HrQuery *queries; /* hash by counter */
    HrQueryPool *pools;
    uint64_t last_counter;
    bool refusing;
    bool in_admission; /* the admission queue's decisions are carried out */
    uint32_t reported_open;
};

/* daemon-query.c */

/* Removes a query whose answer was given. */
void HrQuery_Remove(HrQuery *query);

/* Continues a query that was admitted, and claimed if it must be. */
void HrQuery_Proceed(HrQuery *query);

/* daemon-query-gather.c */

/* Starts the gather with the maps that are known. */
void HrQuery_StartGather(HrQuery *query);

/* Hands one event to the gather and carries out its actions. The query may be
 * gone afterwards. */
void HrQuery_Handle(HrQuery *query, HrGatherEvent *event);

/* daemon-query-maps.c */

/* Makes the control task check the maps of a pool with its home, unless that
 * was done lately. */
void HrQueryTask_WantMaps(HrQueryTask *state, const char *pool,
                          uint64_t known_revision, bool now);

/* Starts or continues the queries that wait for the maps of a pool. */
void HrQueryTask_MapsChecked(HrQueryTask *state, const char *pool);

/* daemon-query-answer.c */

/* Answers a caller with the result of a gather, and removes the query. */
void HrQuery_Answer(HrQuery *query, const HrGatherAnswer *answer);

/* Answers a caller that nothing was run, and removes the query. */
void HrQuery_Refuse(HrQuery *query, HrReason reason, bool not_run);

/* Answers a caller whose request is malformed. */
void HrQueryTask_RejectText(HrQueryTask *state, uint64_t http_number,
                            const HrError *err);

/* daemon-query-claim.c */

/* Asks the control task to claim the request id. */
void HrQuery_StartClaim(HrQuery *query);

/* Handles the end of a claim. */
void HrQueryTask_ClaimResult(HrQueryTask *state, const HrMessage *message);

/* Tells the control task how a claimed query ended. */
void HrQuery_EndClaim(HrQuery *query, const HrGatherAnswer *answer);

#endif
