#ifndef HR_STATE_TABLES_H
#define HR_STATE_TABLES_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"

/* When the answer to a query is final. */
typedef enum HrFinishPolicy {
    HR_FINISH_ALL,    /* all shards; partial at the deadline */
    HR_FINISH_ENOUGH, /* the first enough_percent of the shards */
    HR_FINISH_SINGLE, /* the one shard that holds the key */
} HrFinishPolicy;

/* When a second attempt is sent to another replica. */
typedef enum HrHedgePolicy {
    HR_HEDGE_NONE,
    HR_HEDGE_FIXED,    /* after hedge_delay_ms */
    HR_HEDGE_QUANTILE, /* after the hedge_quantile of recent latencies */
    HR_HEDGE_TIED,     /* at once; the slower attempt is cancelled */
} HrHedgePolicy;

/* One row of the routes table. */
typedef struct HrRoute {
    const char *name;
    const char *kind; /* exact kind, or a prefix followed by '*' */
    const char *pool;
    uint32_t priority; /* class 0 (served first) to 7 */
    HrFinishPolicy finish;
    uint32_t enough_percent; /* for HR_FINISH_ENOUGH */
    bool idempotent;         /* a request may be executed more than once */
    uint32_t default_deadline_ms;
    uint32_t max_deadline_ms;
    uint32_t caller_share_percent; /* largest share of the queue that one
                                    * caller may use */
    uint32_t objective_latency_ms;
    double objective_latency_target;  /* share of answers that take at most
                                       * objective_latency_ms */
    double objective_coverage_target; /* share of shards that contribute */
    uint64_t revision;                /* revision that last changed the row */
} HrRoute;

/* One backend server of a pool. */
typedef struct HrServer {
    const char *name;
    const char *address; /* numeric IP address and port */
    const char *data_centre;
    const char *group; /* all servers of a group hold the same shards */
    bool leaving;      /* set by an operator: gets no new work */
} HrServer;

/* One row of the pools table. */
typedef struct HrPool {
    const char *name;
    uint32_t slots;       /* requests that a server executes at a time */
    uint32_t connections; /* connections that a server accepts */
    uint32_t connect_ms;  /* typical time to open a connection */
    HrHedgePolicy hedge;
    double hedge_quantile;
    uint32_t hedge_delay_ms;
    uint32_t extra_load_percent; /* hedges and retries, as a percentage of the
                                  * first attempts */
    uint32_t queue_limit;        /* waiting sub-requests per group */
    HrServer *servers;
    uint32_t server_count;
    uint64_t revision;
} HrPool;

/* The table that a tombstone belongs to. */
typedef enum HrTableKind {
    HR_TABLE_ROUTES,
    HR_TABLE_POOLS,
} HrTableKind;

/* A deleted row. It is retained for HR_TOMBSTONE_RETENTION_MS, so that a delta
 * for a daemon that was unreachable includes the deletion. */
typedef struct HrTombstone {
    HrTableKind table;
    const char *name;
    uint64_t revision;  /* revision that deleted the row */
    int64_t deleted_ms; /* wall time since 1970 */
} HrTombstone;

/* One accepted edit. */
typedef struct HrEditRecord {
    const char *edit_id;
    uint64_t revision; /* revision that the edit created */
    const char *operator_name;
    int64_t time_ms; /* wall time since 1970 */
    const char *summary;
} HrEditRecord;

#define HR_TOMBSTONE_RETENTION_MS (INT64_C(7) * 24 * 3600 * 1000)
#define HR_EDIT_HISTORY_MAX 64

/* Both tables at one revision. Immutable once published. Routes and pools are
 * sorted by name, tombstones by table and name, edits by revision. */
typedef struct HrTables {
    uint64_t revision; /* 0: no tables yet */
    uint64_t digest;   /* of the revision, routes and pools */
    HrRoute *routes;
    uint32_t route_count;
    HrPool *pools;
    uint32_t pool_count;
    HrTombstone *tombstones;
    uint32_t tombstone_count;
    HrEditRecord *edits; /* the newest HR_EDIT_HISTORY_MAX, oldest first */
    uint32_t edit_count;
} HrTables;

/* Returns the route for a request kind, or NULL. An exact match is preferred
 * to a prefix, and a longer prefix to a shorter one. */
const HrRoute *HrTables_FindRouteByKind(const HrTables *tables,
                                        const char *kind);

/* Returns the pool with a name, or NULL. */
const HrPool *HrTables_FindPool(const HrTables *tables, const char *name);

/* Returns the route with a name, or NULL. */
const HrRoute *HrTables_FindRouteByName(const HrTables *tables,
                                        const char *name);

/* Returns the accepted edit with an id, or NULL if it is not among the last
 * HR_EDIT_HISTORY_MAX edits. */
const HrEditRecord *HrTables_FindEdit(const HrTables *tables,
                                      const char *edit_id);

/* Sorts routes, pools, tombstones and edits, but not the servers of a pool,
 * and computes the digest. Every function that builds tables must call this
 * after it has added the last row. */
void HrTables_Finalize(HrTables *tables);

/* Returns a deep copy as a talloc child of parent, or NULL when memory runs
 * out. */
HrTables *HrTables_Copy(const void *parent, const HrTables *tables);

/* Returns true if two pools and their servers are equal in all fields but the
 * revision. */
bool HrPool_Equals(const HrPool *left, const HrPool *right);

#endif
