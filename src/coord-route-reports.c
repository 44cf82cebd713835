#include "coord-route-reports.h"

#include <talloc.h>
#include <uthash.h>

#include "base-rng.h"

/* Most routes whose reports are kept: more than any user has in use. */
#define ROUTES_MAX 1024

/* Weight of a further report in the recorded median. */
#define REPORT_WEIGHT 0.2

#define NAME_HASH_SEED 3

typedef struct RouteNode {
    HrRouteReport report;
    UT_hash_handle hh;
} RouteNode;

struct HrRouteReports {
    RouteNode *by_hash;
};

/* Destructor of a set: frees its hash table. */
static int
destroy_reports(HrRouteReports *reports)
{
    HASH_CLEAR(hh, reports->by_hash);
    return 0;
}

HrRouteReports *
HrRouteReports_Create(const void *parent)
{
    HrRouteReports *reports = talloc_zero(parent, HrRouteReports);

    if (reports != NULL) {
        talloc_set_destructor(reports, destroy_reports);
    }
    return reports;
}

uint64_t
HrRouteReports_HashName(const char *name)
{
    return HrHash_String(name, NAME_HASH_SEED);
}

/* Returns the node of a route, or NULL. */
static RouteNode *
find_node(const HrRouteReports *reports, uint64_t name_hash)
{
    RouteNode *node;

    HASH_FIND(hh, reports->by_hash, &name_hash, sizeof(name_hash), node);
    return node;
}

void
HrRouteReports_Add(HrRouteReports *reports, const HrRouteReport *report)
{
    RouteNode *node = find_node(reports, report->name_hash);

    if (report->median_ns <= 0) {
        return;
    }
    if (node != NULL) {
        node->report.median_ns +=
            (int64_t)(REPORT_WEIGHT *
                      (double)(report->median_ns - node->report.median_ns));
        return;
    }
    node = HASH_COUNT(reports->by_hash) < ROUTES_MAX
               ? talloc_zero(reports, RouteNode)
               : NULL;
    if (node != NULL) {
        node->report = *report;
        HASH_ADD(hh, reports->by_hash, report.name_hash,
                 sizeof(node->report.name_hash), node);
    }
}

int64_t
HrRouteReports_GetMedianNs(const HrRouteReports *reports, const char *name)
{
    const RouteNode *node = find_node(reports, HrRouteReports_HashName(name));

    return node != NULL ? node->report.median_ns : 0;
}
