#include "coord-server-set-int.h"

#include <string.h>
#include <talloc.h>

/* Fewest samples from which the median latency of a route is used. */
#define MEDIAN_SAMPLES_MIN 16

/* Most routes that one list of reports contains. */
#define ROUTE_REPORTS_MAX 8

/* A server is reported to other daemons from this slowness on: above the
 * spread of healthy servers with a queue. */
#define REPORTED_SLOWNESS_MIN 1.8

/* Returns the node of a route, which is created if there is none. Returns NULL
 * when out of memory. */
static RouteNode *
get_or_create_route(HrServerSet *servers, const char *name)
{
    RouteNode *node;

    HASH_FIND_STR(servers->routes, name, node);
    if (node == NULL) {
        node = talloc_zero(servers, RouteNode);
        if (node == NULL) {
            return NULL;
        }
        node->name = talloc_strdup(node, name);
        if (node->name == NULL) {
            talloc_free(node);
            return NULL;
        }
        HASH_ADD_KEYPTR(hh, servers->routes, node->name, strlen(name), node);
    }
    return node;
}

HrRouteStats *
HrServerSet_GetRouteStats(HrServerSet *servers, const char *name)
{
    RouteNode *node = get_or_create_route(servers, name);

    return node != NULL ? &node->stats : NULL;
}

HrRouteStats *
HrServerSet_HoldRouteStats(HrServerSet *servers, const char *name,
                           const void *holder)
{
    RouteNode *node = get_or_create_route(servers, name);

    return node != NULL && talloc_reference(holder, node) != NULL
               ? &node->stats
               : NULL;
}

/* Calls fn with the statistics of each route. */
void
HrServerSet_ForEachRoute(const HrServerSet *servers,
                         void (*fn)(void *arg, const char *name,
                                    const HrRouteStats *stats),
                         void *arg)
{
    RouteNode *node = NULL, *next = NULL;

    HASH_ITER (hh, servers->routes, node, next) {
        fn(arg, node->name, &node->stats);
    }
}

HrRouteReports *
HrServerSet_GetRouteReports(const HrServerSet *servers)
{
    return servers->route_reports;
}

uint32_t
HrServerSet_ListRouteReports(const HrServerSet *servers,
                             HrRouteReport *reports, uint32_t max_reports)
{
    uint64_t counts[ROUTE_REPORTS_MAX];
    RouteNode *node = NULL, *next = NULL;
    uint32_t count = 0, i;

    max_reports =
        max_reports < ROUTE_REPORTS_MAX ? max_reports : ROUTE_REPORTS_MAX;
    HASH_ITER (hh, servers->routes, node, next) {
        const HrLatency *latency = &node->stats.latency;

        if (latency->hist.count < MEDIAN_SAMPLES_MIN ||
            (count == max_reports &&
             (count == 0 || counts[count - 1] >= latency->hist.count))) {
            continue;
        }
        count += count < max_reports ? 1 : 0;
        for (i = count - 1; i > 0 && counts[i - 1] < latency->hist.count;
             i--) {
            counts[i] = counts[i - 1];
            reports[i] = reports[i - 1];
        }
        counts[i] = latency->hist.count;
        reports[i] = (HrRouteReport){HrRouteReports_HashName(node->name),
                                     latency->p50_ns};
    }
    return count;
}

int64_t
HrServerSet_GetRouteMedianNs(const HrServerSet *servers, const char *name,
                             const HrRouteStats *stats)
{
    if (stats->latency.hist.count >= MEDIAN_SAMPLES_MIN) {
        return stats->latency.p50_ns;
    }
    return HrRouteReports_GetMedianNs(servers->route_reports, name);
}

/* Inserts a report into a list that is sorted by falling slowness, unless it
 * is full of slower ones. Returns the new length. */
static uint32_t
insert_report(HrServerReport *reports, uint32_t count, uint32_t max_reports,
              const HrServerReport *report)
{
    uint32_t i;

    if (count == max_reports) {
        if (count == 0 || reports[count - 1].slowness >= report->slowness) {
            return count;
        }
        count--;
    }
    for (i = count; i > 0 && reports[i - 1].slowness < report->slowness; i--) {
        reports[i] = reports[i - 1];
    }
    reports[i] = *report;
    return count + 1;
}

uint32_t
HrServerSet_ListReports(const HrServerSet *servers, HrServerReport *reports,
                        uint32_t max_reports, int64_t now_ns)
{
    ReplicaNode *node = NULL, *next = NULL;
    uint32_t count = 0;

    HASH_ITER (hh, servers->replicas, node, next) {
        HrServerReport report = {.id_hash = node->id_hash};
        int64_t observed_ns;

        report.slowness =
            HrReplica_GetOwnSlowness(&node->replica, now_ns, &observed_ns);
        report.age_ns = now_ns - observed_ns;
        report.failed = HrReplica_HasFailedLately(&node->replica, now_ns);
        if (report.slowness >= REPORTED_SLOWNESS_MIN) {
            count = insert_report(reports, count, max_reports, &report);
        }
    }
    return count;
}

void
HrServerSet_AddReport(HrServerSet *servers, const HrServerReport *report,
                      int64_t now_ns)
{
    ReplicaNode *node = NULL;

    HASH_FIND(hh_by_hash, servers->by_hash, &report->id_hash,
              sizeof(report->id_hash), node);
    if (node != NULL && report->age_ns >= 0) {
        HrReplica_AddReport(&node->replica, report->slowness, report->failed,
                            now_ns - report->age_ns);
    }
}

/* Applies the notice of a server that was removed while an attempt was running
 * to the one with its id that a later list has added. */
static void
update_listed_notice(HrServerSet *servers, const HrReplica *replica)
{
    ReplicaNode *listed;

    HASH_FIND_STR(servers->replicas, replica->id, listed);
    if (listed != NULL && &listed->replica != replica) {
        listed->replica.notice = HrNoticeSet_Get(
            servers->notices, listed->replica.id, listed->replica.started_ms);
    }
}

void
HrServerSet_RecordSignal(HrServerSet *servers, HrReplica *replica,
                         const HrServerSignal *signal, int64_t now_ns)
{
    ReplicaNode *node =
        (ReplicaNode *)((char *)replica - offsetof(ReplicaNode, replica));
    bool was_leaving = replica->notice.leaving;

    if (signal->states_load) {
        /* The attempt that is answered here does not run any more. */
        HrLoadReport_Record(
            &replica->load_report, &signal->load,
            replica->outstanding > 0 ? replica->outstanding - 1 : 0, now_ns);
    }
    if (signal->states_cold &&
        HrReplica_RecordColdStatement(replica, signal->cold_ns, now_ns)) {
        HrServerSet_LogChange(servers, node, "cold");
    }
    if (!HrServerNotice_AddSignal(&replica->notice, signal, now_ns)) {
        return;
    }
    HrNoticeSet_Store(servers->notices, replica->id, replica->started_ms,
                      &replica->notice, now_ns);
    update_listed_notice(servers, replica);
    HrServerSet_LogChange(servers, node,
                          replica->notice.leaving && !was_leaving ? "leaving"
                                                                  : "paused");
}

void
HrServerSet_RecordReportedLeaving(HrServerSet *servers, const char *id,
                                  int64_t started_ms, int64_t now_ns)
{
    ReplicaNode *node;

    HASH_FIND_STR(servers->replicas, id, node);
    if (node == NULL || node->replica.started_ms != started_ms ||
        node->replica.notice.reported_leaving) {
        return;
    }
    node->replica.notice.reported_leaving = true;
    HrNoticeSet_Store(servers->notices, id, started_ms, &node->replica.notice,
                      now_ns);
    HrServerSet_LogChange(servers, node, "reported_leaving");
}

void
HrServerSet_ForEachLeaving(const HrServerSet *servers, bool with_reported,
                           int64_t max_age_ns, int64_t now_ns,
                           HrLeavingServerFn *fn, void *arg)
{
    HrNoticeSet_ForEachLeaving(servers->notices, with_reported, max_age_ns,
                               now_ns, fn, arg);
}
