#ifndef HR_STATE_TABLES_H
#define HR_STATE_TABLES_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"

/* When a gathered answer is finished. */
typedef enum HrFinish {
    HR_FINISH_ALL,    /* every shard, or partial at the deadline */
    HR_FINISH_ENOUGH, /* the first enough_percent of the shards */
    HR_FINISH_SINGLE, /* the one shard that holds the key */
} HrFinish;

/* When a second attempt is sent to another replica. */
typedef enum HrHedge {
    HR_HEDGE_NONE,
    HR_HEDGE_FIXED,    /* after hedge_delay_ms */
    HR_HEDGE_QUANTILE, /* after the hedge_quantile of recent latencies */
    HR_HEDGE_TIED,     /* at once; the loser is cancelled */
} HrHedge;

/* One row of the routes table. */
typedef struct HrRoute {
    const char *name;
    const char *kind; /* exact kind, or a prefix followed by '*' */
    const char *pool;
    uint32_t priority; /* class: 0 is served first, at most 7 */
    HrFinish finish;
    uint32_t enough_percent; /* for HR_FINISH_ENOUGH */
    bool idempotent;
    uint32_t default_deadline_ms;
    uint32_t max_deadline_ms;
    uint32_t
        caller_share_percent; /* most of the queue that one caller takes */
    uint32_t objective_latency_ms;
    double objective_latency_target;  /* share of answers within it */
    double objective_coverage_target; /* share of shards that contribute */
    uint64_t revision;                /* revision that last changed the row */
} HrRoute;

/* One backend server of a pool. */
typedef struct HrServer {
    const char *name;
    const char *address; /* numeric IP address and port */
    const char *data_centre;
    const char *group; /* servers of one group are replicas of its shards */
    bool leaving;      /* set by an operator edit: no new work */
} HrServer;

/* One row of the pools table. */
typedef struct HrPool {
    const char *name;
    uint32_t slots;       /* requests that a server runs at once */
    uint32_t connections; /* connections that a server accepts */
    uint32_t connect_ms;  /* typical time to open a connection */
    HrHedge hedge;
    double hedge_quantile;
    uint32_t hedge_delay_ms;
    uint32_t extra_load_percent; /* hedges and retries per first attempt */
    uint32_t queue_limit;        /* waiting sub-requests per group */
    HrServer *servers;
    uint32_t server_count;
    uint64_t revision;
} HrPool;

typedef enum HrTableKind {
    HR_TABLE_ROUTES,
    HR_TABLE_POOLS,
} HrTableKind;

/* A deleted row. It is kept for HR_TOMBSTONE_KEEP_MS, so that a delta tells
 * a daemon that was away to drop the row. */
typedef struct HrTombstone {
    HrTableKind table;
    const char *name;
    uint64_t revision;  /* revision that deleted the row */
    int64_t deleted_ms; /* wall time since 1970 */
} HrTombstone;

/* One accepted edit. */
typedef struct HrEditRecord {
    const char *edit_id;
    uint64_t revision; /* revision that the edit made */
    const char *operator_name;
    int64_t time_ms; /* wall time since 1970 */
    const char *summary;
} HrEditRecord;

#define HR_TOMBSTONE_KEEP_MS (INT64_C(7) * 24 * 3600 * 1000)
#define HR_EDIT_HISTORY 64

/* Both tables at one revision. Immutable once published. Routes and pools are
 * sorted by name, tombstones by table and name, edits by revision. */
typedef struct HrTables {
    uint64_t revision; /* 0: no tables yet */
    uint64_t digest;   /* of the revision and all rows */
    HrRoute *routes;
    uint32_t route_count;
    HrPool *pools;
    uint32_t pool_count;
    HrTombstone *tombstones;
    uint32_t tombstone_count;
    HrEditRecord *edits; /* the newest HR_EDIT_HISTORY, oldest first */
    uint32_t edit_count;
} HrTables;

/* Returns the route of a request kind (an exact kind wins over prefixes, a
 * longer prefix over a shorter one), or NULL. */
const HrRoute *HrTables_FindRoute(const HrTables *tables, const char *kind);

/* Returns the pool with a name, or NULL. */
const HrPool *HrTables_FindPool(const HrTables *tables, const char *name);

/* Returns the route with a name, or NULL. */
const HrRoute *HrTables_FindRouteByName(const HrTables *tables,
                                        const char *name);

/* Returns the edit with an id, or NULL when it is not among the last
 * HR_EDIT_HISTORY edits. */
const HrEditRecord *HrTables_FindEdit(const HrTables *tables,
                                      const char *edit_id);

/* Sorts all rows and fills the digest. Every function that builds tables ends
 * with it. */
void HrTables_Seal(HrTables *tables);

/* Returns a deep copy, or NULL when memory runs out. */
HrTables *HrTables_Copy(const void *parent, const HrTables *tables);

/* Returns true if two pools differ at most in the revision. */
bool HrPool_Equals(const HrPool *left, const HrPool *right);

#endif
