#ifndef HR_DAEMON_QUERY_STATE_H
#define HR_DAEMON_QUERY_STATE_H

/* State of a query task and of its queries. Private to daemon-query*.c. */

#include <uthash.h>

#include "coord-admit.h"
#include "coord-burn.h"
#include "coord-gather.h"
#include "daemon-placement.h"
#include "daemon-query-limit.h"
#include "daemon-task.h"
#include "proto-caller.h"

/* The phases of a query, in their order. */
typedef enum HrQueryPhase {
    HR_QUERY_ADMISSION, /* waits in the admission queue */
    HR_QUERY_CLAIM,     /* waits for the claim of its request id */
    HR_QUERY_MAPS,      /* waits for the first index maps of its pool */
    HR_QUERY_RUNNING,   /* its gather runs */
} HrQueryPhase;

/* The daemon that a sub-request was sent to. */
typedef struct HrQuerySub {
    UT_hash_handle hh;
    uint32_t sub_id;
    uint64_t target_id; /* daemon id; 0: the group has no candidate */
    const char *group;  /* valid until the gather is freed */
} HrQuerySub;

typedef struct HrQueryTask HrQueryTask;

/* One query, from its receipt to its answer. */
typedef struct HrQuery {
    UT_hash_handle hh;
    HrQueryTask *owner;
    HrQueryId id;
    uint64_t http_number;  /* of the HTTP exchange of the caller */
    HrCallerQuery *caller; /* the decoded request */
    HrRoute route; /* a copy; its strings are talloc children of the query */
    HrQueryPhase phase;
    int64_t received_ns;
    int64_t deadline_ns;
    bool admitted;
    bool claimed;
    uint64_t claim_sequence;
    bool awaits_maps; /* the running gather has requested newer index maps */
    HrGather *gather;
    HrQuerySub *subs; /* hash by sub_id */
    HrLoopTimer *timer;
    int64_t maps_wait_end_ns; /* end of the wait in HR_QUERY_MAPS, when the
                                 gather starts even without index maps */
} HrQuery;

/* A pool that queries of the task use, with the last request to the control
 * task for its index maps. */
typedef struct HrQueryPool {
    UT_hash_handle hh;
    char *name;
    int64_t requested_ns;
    bool request_pending; /* no HR_MESSAGE_MAPS_CHECKED since the request */
} HrQueryPool;

struct HrQueryTask {
    HrTask *task;
    HrAdmit *admit;
    HrQueryLimit limit;
    HrLoopTimer *admit_timer;
    HrLoopTimer *open_count_timer;
    HrPlacement *placement;
    HrBurn *burn;
    HrQuery *queries;         /* hash by counter */
    HrQueryPool *pools;       /* hash by name */
    uint64_t last_counter;    /* of the query ids; see HrDaemon_GetQueryTask */
    bool refuses_new_queries; /* the daemon is shutting down */
    bool exiting;             /* all open queries are answered */
    bool performing_admission; /* in perform_admission_actions */
    uint32_t reported_open;
};

/* daemon-query.c */

/* Frees an answered query, and performs the actions of the admission queue
 * that this allows. */
void HrQuery_Remove(HrQuery *query);

/* Continues an admitted query: claims its request id if the route requires a
 * claim and the query has none yet. Otherwise starts the gather, or waits for
 * the first index maps of the pool. */
void HrQuery_StartNextPhase(HrQuery *query);

/* daemon-query-gather.c */

/* Starts the gather with the index maps of the pool, or without any if none
 * are published. */
void HrQuery_StartGather(HrQuery *query);

/* Passes an event to the gather and performs its actions. May free the
 * query. */
void HrQuery_HandleEvent(HrQuery *query, HrGatherEvent *event);

/* daemon-query-maps.c */

/* Requests the control task to bring the index maps of a pool up to date with
 * the pool home. Does nothing if a request of the last 250 ms is unanswered
 * or, unless force is set, if the last request is so recent that the maps are
 * not due for a check. */
void HrQueryTask_RequestMaps(HrQueryTask *state, const char *pool,
                             uint64_t known_revision, bool force);

/* Starts or continues the queries that wait for the index maps of a pool. May
 * free queries. */
void HrQueryTask_HandleMapsChecked(HrQueryTask *state, const char *pool);

/* daemon-query-answer.c */

/* Answers the caller with the result of a gather, and removes the query. */
void HrQuery_SendAnswer(HrQuery *query, const HrGatherAnswer *answer);

/* Answers the caller that the request was refused, and removes the query.
 * not_run: no server ran any part of this copy of the request. */
void HrQuery_Refuse(HrQuery *query, HrReason reason, bool not_run);

/* Answers a caller whose request is invalid. Does not remove the query. */
void HrQueryTask_RejectRequest(HrQueryTask *state, uint64_t http_number,
                               const HrError *err);

/* daemon-query-claim.c */

/* Requests the control task to claim the request id of a query. */
void HrQuery_StartClaim(HrQuery *query);

/* Handles the result of a claim: runs or answers its query. */
void HrQueryTask_HandleClaimResult(HrQueryTask *state,
                                   const HrMessage *message);

/* Reports the outcome of a claimed query to the control task. */
void HrQuery_SendClaimOutcome(HrQuery *query, const HrGatherAnswer *answer);

#endif
