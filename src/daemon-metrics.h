#ifndef HR_DAEMON_METRICS_H
#define HR_DAEMON_METRICS_H

#include "base-counter.h"

/* Formats all counters in the Prometheus text format of GET /metrics, as a
 * talloc child of parent. Returns NULL when memory runs out. */
char *HrMetrics_Format(const void *parent, const HrCounters *counters);

#endif
