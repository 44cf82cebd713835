#ifndef HR_COORD_ROUTE_REPORTS_H
#define HR_COORD_ROUTE_REPORTS_H

#include <stdint.h>

/* Median latency of the attempts of a route, as one daemon has observed it. */
typedef struct HrRouteReport {
    uint64_t name_hash; /* see HrRouteReports_HashName */
    int64_t median_ns;
} HrRouteReport;

/* The median latencies that other daemons report. A daemon that has just
 * started, or rarely uses a route, hedges by them. */
typedef struct HrRouteReports HrRouteReports;

/* Creates an empty set. Returns NULL if there is not enough memory. */
HrRouteReports *HrRouteReports_Create(const void *parent);

/* Returns the hash that identifies a route in reports. It is the same on all
 * daemons. */
uint64_t HrRouteReports_HashName(const char *name);

/* Records the report of another daemon. The recorded median moves towards it,
 * so that a single wrong one has little effect. One that is not positive, or a
 * further route when there are too many, is ignored. */
void HrRouteReports_Add(HrRouteReports *reports, const HrRouteReport *report);

/* Returns the median latency of a route that other daemons report; 0: none. */
int64_t HrRouteReports_GetMedianNs(const HrRouteReports *reports,
                                   const char *name);

#endif
