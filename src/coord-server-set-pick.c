#include "coord-server-set-int.h"

/* Which servers get an attempt: limits of connections and of cold servers, and
 * the share of the attempts that leaves this data centre. */

/* Connections that a daemon may always use to a server, however many daemons
 * share its limit. */
#define CONNECTION_LIMIT_MIN 1

/* Connections that a daemon may use if the table sets no limit. */
#define CONNECTION_LIMIT_DEFAULT 32

/* After this many attempts without an answer the next one goes to another data
 * centre: with three servers in an overloaded one, 1 % of the requests were
 * declined by all of them while others were idle. */
#define LEAVE_ZONE_ATTEMPTS 2

/* Returns how many connections this daemon may use to one server of a service:
 * its share of the limit in the table. */
uint32_t
HrServerSet_GetConnectionLimit(const HrServerSet *servers,
                               const HrService *service)
{
    uint32_t share;

    if (service->connection_limit == 0) {
        return CONNECTION_LIMIT_DEFAULT;
    }
    /* A product such as 70 / 7 may be slightly below the whole number. */
    share = (uint32_t)(service->connection_limit * servers->connection_share +
                       1e-6);
    return share < CONNECTION_LIMIT_MIN ? CONNECTION_LIMIT_MIN : share;
}

void
HrServerSet_SetZoneCost(HrServerSet *servers, double zone_cost)
{
    ReplicaNode *node = NULL, *next = NULL;

    servers->zone_cost = zone_cost;
    HASH_ITER (hh, servers->replicas, node, next) {
        node->replica.zone_cost =
            node->replica.same_data_centre ? 0 : zone_cost;
    }
}

/* Decides on the share of a service's attempts that leave this data centre if
 * that is due, and logs a change. */
static void
update_zone_traffic(const HrServerSet *servers, HrService *service, HrRng *rng,
                    int64_t now_ns)
{
    HrZoneTraffic *traffic = &service->zone_traffic;
    HrZoneLoad inside, outside;

    if (!HrZoneTraffic_IsDecisionDue(traffic, now_ns)) {
        return;
    }
    HrReplica_SumLoads(&service->replicas, now_ns, &inside, &outside);
    if (HrZoneTraffic_Decide(traffic, &inside, &outside, servers->zone_cost,
                             rng, now_ns)) {
        HrLog_Write(servers->config.log, HR_LOG_INFO, "zone_share",
                    "{s:s,s:f,s:f,s:f,s:f,s:i,s:i}", "service", service->name,
                    "share", traffic->share, "inside_ms",
                    traffic->inside.mean_ns / HR_NS_PER_MS, "outside_ms",
                    traffic->outside.mean_ns / HR_NS_PER_MS, "unloaded_ms",
                    traffic->base_ns / HR_NS_PER_MS, "inside_servers",
                    (int)inside.servers, "outside_servers",
                    (int)outside.servers);
    }
}

/* Picks a server of a service for one more attempt; see HrReplica_Pick. */
HrReplica *
HrServerSet_PickServer(const HrServerSet *servers, HrService *service,
                       HrReplica *const *avoid, uint32_t avoid_count,
                       HrRng *rng, int64_t now_ns, bool *any_usable)
{
    HrReplicaCriteria criteria = {
        .avoid = avoid,
        .avoid_count = avoid_count,
        .limit = HrServerSet_GetConnectionLimit(servers, service),
        .connection_count_fn = servers->config.connection_count_fn,
        .cold_limit = &service->cold_limit};

    update_zone_traffic(servers, service, rng, now_ns);
    criteria.leave_zone = avoid_count >= LEAVE_ZONE_ATTEMPTS ||
                          HrZoneTraffic_DrawLeave(&service->zone_traffic, rng);
    return HrReplica_Pick(&service->replicas, &criteria, rng, now_ns,
                          any_usable);
}

void
HrServerSet_SetColdLimits(HrServerSet *servers, double overshoot, double slack)
{
    ServiceNode *node = NULL, *next = NULL;

    servers->cold_overshoot = overshoot;
    servers->cold_slack = slack;
    HASH_ITER (hh, servers->services, node, next) {
        node->service.cold_limit.overshoot = overshoot;
        node->service.cold_limit.slack = slack;
    }
}

int64_t
HrServerSet_GetColdFreeNs(const HrService *service, HrReplica *const *avoid,
                          uint32_t avoid_count, int64_t now_ns)
{
    const HrReplicaCriteria criteria = {.avoid = avoid,
                                        .avoid_count = avoid_count,
                                        .cold_limit = &service->cold_limit};

    return HrReplica_FindColdFreeNs(&service->replicas, &criteria, now_ns);
}

/* Promises follow each other at the rate of all cold servers together. No
 * caller has to wait for longer than until one of the servers is warm. */
int64_t
HrServerSet_PromiseColdNs(HrService *service, int64_t now_ns)
{
    int64_t free_ns = HrServerSet_GetResumeNs(service, now_ns);
    int64_t warm_ns = HR_TIME_NEVER, promised_ns = service->cold_promised_ns;
    HrReplica *replica;
    uint32_t rate = 0;

    for (replica = TAILQ_FIRST(&service->replicas); replica != NULL;
         replica = TAILQ_NEXT(replica, entry)) {
        int64_t until_ns = HrReplica_GetColdUntilNs(replica);

        if (HrReplica_IsUsable(replica, now_ns)) {
            rate += HrColdLimit_GetShare(&service->cold_limit,
                                         &replica->cold_window, now_ns);
            warm_ns = until_ns < warm_ns ? until_ns : warm_ns;
        }
    }
    if (rate > 0 && free_ns != HR_TIME_NEVER) {
        promised_ns += HR_NS_PER_S / rate;
    }
    promised_ns = promised_ns > free_ns ? promised_ns : free_ns;
    if (promised_ns < warm_ns) {
        service->cold_promised_ns = promised_ns;
        return promised_ns;
    }
    return warm_ns > free_ns ? warm_ns : free_ns;
}

int64_t
HrServerSet_GetResumeNs(const HrService *service, int64_t now_ns)
{
    HrReplica *replica;
    int64_t resume_ns = HR_TIME_NEVER;

    for (replica = TAILQ_FIRST(&service->replicas); replica != NULL;
         replica = TAILQ_NEXT(replica, entry)) {
        int64_t from_ns =
            HrReplica_GetColdFreeNs(replica, &service->cold_limit, now_ns);

        if (replica->notice.paused_until_ns > from_ns) {
            from_ns = replica->notice.paused_until_ns;
        }
        if (replica->unreachable_until_ns > from_ns) {
            from_ns = replica->unreachable_until_ns;
        }
        if (from_ns < resume_ns && HrReplica_IsUsable(replica, from_ns)) {
            resume_ns = from_ns;
        }
    }
    return resume_ns;
}

/* Records an attempt for the share of the traffic that leaves this data
 * centre. An abandoned one counts if it has taken longer than the others. */
void
HrServerSet_RecordZoneAttempt(HrService *service, const HrAttempt *attempt,
                              HrAttemptOutcome outcome, int64_t now_ns)
{
    HrZoneTraffic *traffic = &service->zone_traffic;
    bool outside = !attempt->replica->same_data_centre;
    int64_t duration_ns = now_ns - attempt->started_ns;
    const HrZoneSamples *samples =
        outside ? &traffic->outside : &traffic->inside;

    if (outcome == HR_ATTEMPT_OUTCOME_MISDIRECTED ||
        (outcome == HR_ATTEMPT_OUTCOME_ABANDONED &&
         (double)duration_ns <= samples->mean_ns)) {
        return;
    }
    HrZoneTraffic_RecordAttempt(traffic, outside,
                                outcome != HR_ATTEMPT_OUTCOME_OK &&
                                    outcome !=
                                        HR_ATTEMPT_OUTCOME_CLIENT_ERROR &&
                                    outcome != HR_ATTEMPT_OUTCOME_ABANDONED,
                                duration_ns, now_ns);
}
