#include "daemon-query-limit.h"

#include "base-clock.h"

#define FIRST_LIMIT 64
#define LEAST_LIMIT 2
#define CUT_FACTOR 0.85
/* Queries that started before a cut still meet the old queues; their failures
 * within this time do not lower the limit again. */
#define CUT_INTERVAL_NS (50 * HR_NS_PER_MS)

/* Returns the first limit; it never exceeds most. */
HrQueryLimit
HrQueryLimit_Start(uint32_t most)
{
    HrQueryLimit limit = {.limit = most < FIRST_LIMIT ? most : FIRST_LIMIT,
                          .most = most,
                          .probing = true,
                          .cut_ns = INT64_MIN / 2};

    return limit;
}

/* Lowers the limit, at most once in each interval. */
static void
cut_limit(HrQueryLimit *limit, int64_t now_ns)
{
    if (now_ns - limit->cut_ns < CUT_INTERVAL_NS) {
        return;
    }
    limit->cut_ns = now_ns;
    limit->probing = false;
    limit->limit *= CUT_FACTOR;
    if (limit->limit < LEAST_LIMIT) {
        limit->limit = LEAST_LIMIT;
    }
}

/* Notes the end of a query. */
void
HrQueryLimit_Note(HrQueryLimit *limit, bool overloaded, bool binding,
                  int64_t now_ns)
{
    if (overloaded) {
        cut_limit(limit, now_ns);
        return;
    }
    if (!binding) {
        return;
    }
    /* One more place for each round of queries, or twice as many. */
    limit->limit += limit->probing ? 1 : 1 / limit->limit;
    if (limit->limit > limit->most) {
        limit->limit = limit->most;
    }
}

/* Returns the number of queries that may run. */
uint32_t
HrQueryLimit_Places(const HrQueryLimit *limit)
{
    return limit->limit < 1 ? 1 : (uint32_t)limit->limit;
}
