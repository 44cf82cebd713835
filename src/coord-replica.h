#ifndef HR_COORD_REPLICA_H
#define HR_COORD_REPLICA_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "coord-cold.h"
#include "coord-zone-return.h"
#include "coord-server-notice.h"
#include "coord-zone.h"

#define HR_REPLICA_ID_BYTES HR_SERVER_ID_BYTES
#define HR_REPLICA_ADDRESS_BYTES 56

/* How an attempt at a server ended. */
typedef enum HrAttemptOutcome {
    HR_ATTEMPT_OUTCOME_OK,
    HR_ATTEMPT_OUTCOME_DECLINED,     /* the server says that it did not run the
                                        request */
    HR_ATTEMPT_OUTCOME_MISDIRECTED,  /* another server has the address now; the
                                        request did not run */
    HR_ATTEMPT_OUTCOME_NOT_SENT,     /* no byte of it was sent */
    HR_ATTEMPT_OUTCOME_SERVER_ERROR, /* a complete answer that reports a
                                        failure; the request has run */
    HR_ATTEMPT_OUTCOME_CLIENT_ERROR, /* a complete answer (3xx, 4xx) that
                                        another server would give as well */
    HR_ATTEMPT_OUTCOME_LOST,         /* no answer; it may have run */
    HR_ATTEMPT_OUTCOME_MALFORMED,    /* an invalid answer; it may have run */
    HR_ATTEMPT_OUTCOME_ABANDONED,    /* its answer is no longer needed */
} HrAttemptOutcome;

/* Returns the name of an outcome for logs. */
const char *HrAttemptOutcome_GetName(HrAttemptOutcome outcome);

typedef struct HrReplica HrReplica;

/* One attempt to get a request answered by a server. Embedded in its owner. */
typedef struct HrAttempt {
    TAILQ_ENTRY(HrAttempt) entry; /* in HrReplica.attempts, oldest first */
    HrReplica *replica;
    int64_t started_ns;
    int64_t median_ns; /* median latency of the route; 0: not known */
} HrAttempt;

TAILQ_HEAD(HrAttemptList, HrAttempt);

/* One server of a service, and what this daemon knows of it. */
struct HrReplica {
    TAILQ_ENTRY(HrReplica) entry;
    char id[HR_REPLICA_ID_BYTES];
    char address[HR_REPLICA_ADDRESS_BYTES];
    char data_centre[HR_REPLICA_ID_BYTES];
    bool same_data_centre; /* as this daemon */
    bool draining;
    bool evacuated;            /* its zone is */
    bool misdirected;          /* another server has its address now */
    uint32_t slots;            /* requests that it can run at once */
    double zone_cost;          /* added to the cost of an attempt; 0 if
                                  same_data_centre */
    HrZoneReturn *zone_return; /* NULL: its zone never was evacuated */
    HrServerNotice notice;     /* what its answers have stated */
    /* Slow until then, while its caches fill, according to its entry in the
     * list, and to its answers. */
    int64_t cold_until_ns;
    int64_t stated_cold_until_ns;
    HrColdWindow cold_window;
    HrLoadReport load_report;
    uint64_t sequence;        /* see HrServerEntry */
    int64_t started_ms;       /* see HrServerEntry */
    uint64_t list_number;     /* newest list that contained it */
    uint32_t older_lists;     /* lists in a row with an older entry */
    int64_t missing_since_ns; /* HR_TIME_NEVER: the list contains it */
    bool removed;             /* is freed when its last attempt ends */
    struct HrAttemptList attempts;
    uint32_t outstanding;
    /* Exponentially weighted latency of its answers relative to the median,
     * and the time of the last sample. */
    double slowness;
    int64_t slowness_at_ns;
    /* Exponentially weighted share of failed attempts, and the time of the
     * last sample. */
    double failure_ratio;
    /* The same without the requests that it declined, which shows its load
     * rather than its health. */
    double fault_ratio;
    int64_t failure_at_ns;
    /* What other daemons report: the slowness that they have observed last,
     * and the times of the first and the last observation in a row. */
    double reported_slowness;
    int64_t reported_first_ns; /* 0: never reported */
    int64_t reported_last_ns;
    int64_t unreachable_until_ns; /* avoided after failed connections */
    uint32_t connection_failures; /* in a row */
    void *transport;              /* connections, owned by the daemon */
};

TAILQ_HEAD(HrReplicaList, HrReplica);

/* Initialises the attempts and the statistics as those of a healthy server. */
void HrReplica_Init(HrReplica *replica, int64_t now_ns);

/* Records the start of an attempt. The attempt must stay valid until
 * HrReplica_EndAttempt. */
void HrReplica_BeginAttempt(HrReplica *replica, HrAttempt *attempt,
                            int64_t median_ns, int64_t now_ns);

/* Records the end of an attempt in the statistics of its server. */
void HrReplica_EndAttempt(HrAttempt *attempt, HrAttemptOutcome outcome,
                          int64_t now_ns);

/* Returns how slow the server is by this daemon's own observations, including
 * attempts that fail but not those that it declined, relative to a healthy
 * one; 1 if there is none of the last few seconds. Sets *observed_ns to the
 * time of the newest observation.
 */
double HrReplica_GetOwnSlowness(const HrReplica *replica, int64_t now_ns,
                                int64_t *observed_ns);

/* Returns true if attempts of this daemon at the server have failed within the
 * last few seconds, other than by being declined. */
bool HrReplica_HasFailedLately(const HrReplica *replica, int64_t now_ns);

/* Records that another daemon has observed a slowness at observed_ns. failed
 * states that attempts of that daemon have failed. */
void HrReplica_AddReport(HrReplica *replica, double slowness, bool failed,
                         int64_t observed_ns);

/* Returns the estimated cost of one more attempt, relative to the cost at an
 * idle and healthy server in the same data centre. */
double HrReplica_EstimateCost(const HrReplica *replica, int64_t now_ns);

/* Returns how many of this daemon's connections to a server are in use. */
typedef uint32_t HrReplicaConnectionCountFn(const HrReplica *replica);

/* Which servers may be picked. */
typedef struct HrReplicaCriteria {
    HrReplica *const *avoid; /* already tried */
    uint32_t avoid_count;
    uint32_t limit; /* of connections to one server */
    /* NULL: each attempt uses one connection. */
    HrReplicaConnectionCountFn *connection_count_fn;
    bool leave_zone; /* a server of this data centre is picked only if no
                        healthy one of another can be */
    const HrColdLimit *cold_limit; /* NULL: none */
} HrReplicaCriteria;

/* Returns until when the server is cold; not later than now_ns if it is not.
 */
int64_t HrReplica_GetColdUntilNs(const HrReplica *replica);

/* Records that the server stated in an answer for how much longer it is cold;
 * 0: it is not. Returns true if it has become cold. */
bool HrReplica_RecordColdStatement(HrReplica *replica, int64_t cold_ns,
                                   int64_t now_ns);

/* Returns when the server may get one more request as far as it is cold:
 * now_ns if it may now. This is the only place that decides on the limit of
 * cold servers. */
int64_t HrReplica_GetColdFreeNs(HrReplica *replica, const HrColdLimit *limit,
                                int64_t now_ns);

/* Returns when a usable server that is not in criteria->avoid may get a
 * request as far as it is cold; HR_TIME_NEVER if there is none. */
int64_t HrReplica_FindColdFreeNs(const struct HrReplicaList *list,
                                 const HrReplicaCriteria *criteria,
                                 int64_t now_ns);

/* Adds up the load of the usable servers inside this data centre and of those
 * outside. */
void HrReplica_SumLoads(const struct HrReplicaList *list, int64_t now_ns,
                        HrZoneLoad *inside, HrZoneLoad *outside);

/* Returns true if the server may get a request at this moment. */
bool HrReplica_IsUsable(const HrReplica *replica, int64_t now_ns);

/* Returns true if the server is used only while no other one is usable. */
bool HrReplica_IsLastResort(const HrReplica *replica, int64_t now_ns);

/* Picks the usable server with the lowest cost that is not in criteria->avoid
 * and is below the connection limit. Returns NULL if there is none. Sets
 * *any_usable to whether there is a usable server that is not in
 * criteria->avoid, be it at the limit or not. */
HrReplica *HrReplica_Pick(const struct HrReplicaList *list,
                          const HrReplicaCriteria *criteria, HrRng *rng,
                          int64_t now_ns, bool *any_usable);

#endif
