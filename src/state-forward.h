#ifndef HR_STATE_FORWARD_H
#define HR_STATE_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-error.h"
#include "state-tenants.h"

/* To which services the requests of a route are sent. */
typedef enum HrForwardKind {
    HR_FORWARD_ONE,    /* one service */
    HR_FORWARD_SPLIT,  /* one of several services, by weight */
    HR_FORWARD_SHARDS, /* every service of a list; the answers are merged */
} HrForwardKind;

/* A set of interchangeable servers. */
typedef struct HrForwardService {
    const char *name;
    uint32_t connection_limit; /* of one server, for all daemons together */
    double cold_per_s;         /* requests a second to one cold server, for all
                                  daemons together; 0: no limit */
    double cold_start_s; /* for how long a server is cold after its start */
} HrForwardService;

/* One service of a route, with its weight in a split. */
typedef struct HrForwardTarget {
    uint32_t service; /* index into HrForwardTable.services */
    double weight;
} HrForwardTarget;

/* How the requests for one host and path prefix are forwarded. */
typedef struct HrForwardRoute {
    const char *name;
    const char *host;
    const char *prefix; /* begins and ends with a slash */
    bool idempotent;
    bool is_public;        /* callers need no API key */
    uint32_t timeout_ms;   /* longest time until the answer */
    uint32_t target_ms;    /* a later answer is worth less to the caller */
    uint32_t priority;     /* 0 is the most urgent */
    uint32_t max_attempts; /* servers that one request may be sent to, for
                              each service */
    HrForwardKind kind;
    HrForwardTarget *targets;
    uint32_t target_count;
    uint32_t result_limit;  /* SHARDS: most records in a merged answer */
    double min_shard_ratio; /* SHARDS: least share that must answer */
} HrForwardRoute;

/* Limits of callers' requests; 0: not set by the table. */
typedef struct HrForwardLimits {
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
} HrForwardLimits;

/* One version of the table of routes. Immutable once it is sorted. */
typedef struct HrForwardTable {
    uint64_t version;
    HrForwardRoute *routes;
    uint32_t route_count;
    HrForwardService *services;
    uint32_t service_count;
    HrForwardLimits limits;
    HrTenants *tenants; /* callers with API keys; NULL: no request needs a key
                         */
} HrForwardTable;

/* Validates a table that was filled in, and sorts its routes for
 * HrForwardTable_FindRoute. Returns HR_OK, or HR_ERR_INVALID or HR_ERR_RANGE
 * with err set. */
int HrForwardTable_ValidateAndSort(HrForwardTable *table, HrError *err);

/* Returns the route of a host with the longest prefix of a request target's
 * path, or NULL. A port in host is ignored, and so is the query. */
const HrForwardRoute *HrForwardTable_FindRoute(const HrForwardTable *table,
                                               const char *host,
                                               const char *target);

/* Returns how many shards must answer for a success, at least 1. */
uint32_t HrForwardRoute_GetRequiredShards(const HrForwardRoute *route);

#endif
