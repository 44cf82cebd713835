#ifndef HR_DAEMON_QUERY_LIMIT_H
#define HR_DAEMON_QUERY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* The number of queries that a query task runs at once, found by additive
 * increase and multiplicative decrease. Without it, each group under overload
 * would pick other queries to serve, and hardly any query would get all of its
 * shards. */
typedef struct HrQueryLimit {
    double limit;
    uint32_t most;
    bool probing;   /* no overload seen yet: grow fast */
    int64_t cut_ns; /* when the limit was last lowered */
} HrQueryLimit;

/* Returns the first limit; it never exceeds most. */
HrQueryLimit HrQueryLimit_Start(uint32_t most);

/* Notes the end of a query. overloaded: a group refused one of its shards for
 * overload. binding: other queries waited for a place. */
void HrQueryLimit_Note(HrQueryLimit *limit, bool overloaded, bool binding,
                       int64_t now_ns);

/* Returns the number of queries that may run. */
uint32_t HrQueryLimit_Places(const HrQueryLimit *limit);

#endif
