#ifndef HR_DAEMON_QUERY_LIMIT_H
#define HR_DAEMON_QUERY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* The limit of queries that a query task runs at once, adapted by additive
 * increase and multiplicative decrease. Without the limit, each shard group
 * would serve a different subset of the queries under overload, and hardly any
 * query would receive all of its shards. */
typedef struct HrQueryLimit {
    double limit;
    uint32_t max_limit;
    bool in_slow_start;   /* no overload yet: the limit grows exponentially */
    int64_t decreased_ns; /* time of the last decrease */
} HrQueryLimit;

/* Returns the initial limit. Queries raise it up to max_limit. */
HrQueryLimit HrQueryLimit_GetInitial(uint32_t max_limit);

/* Adjusts the limit at the end of a query. overloaded: a shard of the query is
 * missing as HR_REASON_OVERLOADED. others_waited: other queries waited in the
 * admission queue; otherwise the limit is not raised. */
void HrQueryLimit_RecordQueryEnd(HrQueryLimit *limit, bool overloaded,
                                 bool others_waited, int64_t now_ns);

/* Returns the number of queries that may run at once, at least 1. */
uint32_t HrQueryLimit_GetMaxRunning(const HrQueryLimit *limit);

#endif
