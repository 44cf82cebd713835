#include "daemon-query-limit.h"

#include "base-clock.h"

/* Limits of running queries. */
#define INITIAL_LIMIT 64
#define MIN_LIMIT 2
/* A decrease multiplies the limit by this factor. */
#define DECREASE_FACTOR 0.85
/* Minimum time between two decreases. Queries that started before a decrease
 * may still be delayed by the queues that caused it, so overload that they
 * report within this time does not lower the limit again. */
#define DECREASE_INTERVAL_NS (50 * HR_NS_PER_MS)

/* Returns the initial limit. Queries raise it up to max_limit. */
HrQueryLimit
HrQueryLimit_GetInitial(uint32_t max_limit)
{
    HrQueryLimit limit = {.limit = max_limit < INITIAL_LIMIT ? max_limit
                                                             : INITIAL_LIMIT,
                          .max_limit = max_limit,
                          .in_slow_start = true,
                          .decreased_ns = INT64_MIN / 2};

    return limit;
}

/* Lowers the limit, at most once per DECREASE_INTERVAL_NS. */
static void
decrease_limit(HrQueryLimit *limit, int64_t now_ns)
{
    if (now_ns - limit->decreased_ns < DECREASE_INTERVAL_NS) {
        return;
    }
    limit->decreased_ns = now_ns;
    limit->in_slow_start = false;
    limit->limit *= DECREASE_FACTOR;
    if (limit->limit < MIN_LIMIT) {
        limit->limit = MIN_LIMIT;
    }
}

/* Adjusts the limit at the end of a query. */
void
HrQueryLimit_RecordQueryEnd(HrQueryLimit *limit, bool overloaded,
                            bool others_waited, int64_t now_ns)
{
    if (overloaded) {
        decrease_limit(limit, now_ns);
        return;
    }
    if (!others_waited) {
        return;
    }
    /* As many queries as the limit allows at once raise it by 1 together, or
     * double it in slow start. */
    limit->limit += limit->in_slow_start ? 1 : 1 / limit->limit;
    if (limit->limit > limit->max_limit) {
        limit->limit = limit->max_limit;
    }
}

/* Returns the number of queries that may run at once. */
uint32_t
HrQueryLimit_GetMaxRunning(const HrQueryLimit *limit)
{
    return limit->limit < 1 ? 1 : (uint32_t)limit->limit;
}
