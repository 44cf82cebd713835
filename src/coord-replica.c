#include "coord-replica.h"

#include <math.h>
#include <string.h>

#include "base-clock.h"

/* Weights of the newest sample in slowness and in failure_ratio. One answer
 * that took ten times the median latency makes a server look almost three
 * times as slow, so that the next choice falls on others. */
#define SLOWNESS_WEIGHT 0.2
#define FAILURE_WEIGHT 0.25

/* Upper limit of a single sample of slowness. */
#define SLOWNESS_MAX 12.0

/* Half-life of the statistics while there are no new samples, so that a server
 * that was slow or failing is tried again. */
#define HALF_LIFE_NS (2 * HR_NS_PER_S)

/* An attempt that has run for this many median latencies shows that its server
 * is now paused, slow or silent. */
#define STUCK_FACTOR 1.7

/* Weight of the failure ratio in the cost: a server that fails one attempt in
 * two costs as much as one that takes four times as long. */
#define FAILURE_COST 6.0

/* Least factor of the load, when a server reports less load than the others.
 */
#define LOAD_FACTOR_MIN 0.5

/* A report that makes a server look better than the others is used for this
 * many of them at a time, at random, so that not all daemons that learn of a
 * fast server at once send their next requests to it. */
#define BETTER_SERVERS_USED 4.0

/* A cold server, whose caches are not filled yet, is slower by this factor. */
#define COLD_COST 1.6

/* A random share of up to this much is added to a cost, so that the daemons do
 * not all choose the same server. */
#define JITTER_MAX 0.1

/* After a failed connection a server is avoided for this time. The time
 * doubles with each further failure, up to the given number of times. */
#define UNREACHABLE_FIRST_NS (250 * HR_NS_PER_MS)
#define UNREACHABLE_DOUBLINGS_MAX 3

/* Added to the cost of a server that is picked only if there is no other: one
 * that leaves according to another daemon, and one whose connections fail. */
#define REPORTED_LEAVING_COST 1e5
#define UNREACHABLE_COST 1e6

/* Most that a server of another data centre costs a repeated attempt. The
 * first attempt has shown that this data centre does not serve the request
 * soon; with a higher cost, up to 5 % of the requests to an overloaded data
 * centre failed because all their attempts stayed in it. */
#define REPEAT_ZONE_COST_MAX HR_ZONE_COST_DEFAULT

/* Added to the cost of a server of this data centre if the attempt is to leave
 * it: more than a slow and failing server of another one costs, less than one
 * that is picked only if there is no other. */
#define STAY_COST 1e4

/* Added to the cost of a server whose zone returns from an evacuation, for the
 * attempts beyond the zone's growing share. */
#define RETURNING_COST 2e4

/* Own observations that are older are not reported to other daemons. */
#define REPORT_AGE_MAX_NS (3 * HR_NS_PER_S)

/* Reports of other daemons count once they span this time: longer than a
 * server usually stands still for a moment, which is over before a report of
 * it arrives. Reports with a longer gap between them do not belong together.
 */
#define REPORTS_SPAN_MIN_NS (400 * HR_NS_PER_MS)
#define REPORTS_GAP_MAX_NS (4 * HR_NS_PER_S)

/* Share of failed attempts from which a server is reported as failing: that
 * after one failure, until it has halved. */
#define FAILED_RATIO_MIN (FAILURE_WEIGHT / 2)

static const char *const outcome_names[] = {
    "ok",    "declined", "misdirected", "not_sent",  "error",
    "final", "lost",     "malformed",   "abandoned",
};

/* Returns the name of an outcome for logs. */
const char *
HrAttemptOutcome_GetName(HrAttemptOutcome outcome)
{
    return outcome_names[outcome];
}

/* Initialises the attempts and the statistics as those of a healthy server. */
void
HrReplica_Init(HrReplica *replica, int64_t now_ns)
{
    TAILQ_INIT(&replica->attempts);
    replica->slowness = 1;
    /* No observation yet: reports of other daemons count in full. */
    replica->slowness_at_ns = now_ns - 16 * HALF_LIFE_NS;
    replica->failure_ratio = 0;
    replica->failure_at_ns = now_ns;
    replica->missing_since_ns = HR_TIME_NEVER;
}

/* Returns a value that was set at since_ns, after its exponential decay
 * towards rest. */
static double
decay_value(double value, double rest, int64_t since_ns, int64_t now_ns)
{
    if (value == rest) {
        return rest;
    }
    return rest +
           (value - rest) * exp2(-(double)(now_ns - since_ns) / HALF_LIFE_NS);
}

/* Returns the slowness that other daemons report, after its decay; 1 if they
 * do not, or not for long enough. */
static double
get_reported_slowness(const HrReplica *replica, int64_t now_ns)
{
    if (replica->reported_last_ns - replica->reported_first_ns <
        REPORTS_SPAN_MIN_NS) {
        return 1;
    }
    return decay_value(replica->reported_slowness, 1,
                       replica->reported_last_ns, now_ns);
}

bool
HrReplica_HasFailedLately(const HrReplica *replica, int64_t now_ns)
{
    return now_ns - replica->failure_at_ns < REPORT_AGE_MAX_NS &&
           decay_value(replica->fault_ratio, 0, replica->failure_at_ns,
                       now_ns) >= FAILED_RATIO_MIN;
}

/* A failure is no moment's standstill, so the report of one counts at once. */
void
HrReplica_AddReport(HrReplica *replica, double slowness, bool failed,
                    int64_t observed_ns)
{
    if (slowness < 1 || observed_ns <= replica->reported_last_ns) {
        return;
    }
    if (replica->reported_first_ns == 0 ||
        observed_ns - replica->reported_last_ns > REPORTS_GAP_MAX_NS) {
        replica->reported_first_ns = observed_ns;
    }
    if (failed &&
        observed_ns - replica->reported_first_ns < REPORTS_SPAN_MIN_NS) {
        replica->reported_first_ns = observed_ns - REPORTS_SPAN_MIN_NS;
    }
    replica->reported_last_ns = observed_ns;
    replica->reported_slowness =
        slowness < SLOWNESS_MAX ? slowness : SLOWNESS_MAX;
}

/* Records one latency, relative to the median. */
static void
record_slowness(HrReplica *replica, double sample, int64_t now_ns)
{
    double aged =
        decay_value(replica->slowness, 1, replica->slowness_at_ns, now_ns);

    sample = sample > SLOWNESS_MAX ? SLOWNESS_MAX : sample;
    replica->slowness = aged + SLOWNESS_WEIGHT * (sample - aged);
    replica->slowness_at_ns = now_ns;
}

/* Records a success (failed is 0) or a failure (failed is 1). fault is 1 if
 * the failure is not a request that the server declined. */
static void
record_result(HrReplica *replica, double failed, double fault, int64_t now_ns)
{
    double aged =
        decay_value(replica->failure_ratio, 0, replica->failure_at_ns, now_ns);
    double aged_fault =
        decay_value(replica->fault_ratio, 0, replica->failure_at_ns, now_ns);

    replica->failure_ratio = aged + FAILURE_WEIGHT * (failed - aged);
    replica->fault_ratio = aged_fault + FAILURE_WEIGHT * (fault - aged_fault);
    replica->failure_at_ns = now_ns;
}

/* Records that a connection could not be opened. */
static void
record_connection_failure(HrReplica *replica, int64_t now_ns)
{
    uint32_t doublings =
        replica->connection_failures < UNREACHABLE_DOUBLINGS_MAX
            ? replica->connection_failures
            : UNREACHABLE_DOUBLINGS_MAX;

    replica->unreachable_until_ns =
        now_ns + (UNREACHABLE_FIRST_NS << doublings);
    replica->connection_failures++;
}

void
HrReplica_BeginAttempt(HrReplica *replica, HrAttempt *attempt,
                       int64_t median_ns, int64_t now_ns)
{
    attempt->replica = replica;
    attempt->started_ns = now_ns;
    attempt->median_ns = median_ns;
    TAILQ_INSERT_TAIL(&replica->attempts, attempt, entry);
    replica->outstanding++;
    HrColdWindow_RecordRequest(&replica->cold_window, now_ns);
}

/* Returns how long an attempt has run, in median latencies, or 0 if the median
 * is not known. */
static double
get_relative_duration(const HrAttempt *attempt, int64_t now_ns)
{
    if (attempt->median_ns <= 0) {
        return 0;
    }
    return (double)(now_ns - attempt->started_ns) / (double)attempt->median_ns;
}

/* Records the end of an attempt in the statistics of its server. */
void
HrReplica_EndAttempt(HrAttempt *attempt, HrAttemptOutcome outcome,
                     int64_t now_ns)
{
    HrReplica *replica = attempt->replica;
    double took = get_relative_duration(attempt, now_ns);

    TAILQ_REMOVE(&replica->attempts, attempt, entry);
    replica->outstanding--;
    attempt->replica = NULL;
    switch (outcome) {
    case HR_ATTEMPT_OUTCOME_OK:
    case HR_ATTEMPT_OUTCOME_CLIENT_ERROR:
        replica->connection_failures = 0;
        if (took > 0) {
            record_slowness(replica, took, now_ns);
        }
        record_result(replica, 0, 0, now_ns);
        break;
    case HR_ATTEMPT_OUTCOME_ABANDONED:
        /* It would have taken at least this long. */
        if (took > decay_value(replica->slowness, 1, replica->slowness_at_ns,
                               now_ns)) {
            record_slowness(replica, took, now_ns);
        }
        break;
    case HR_ATTEMPT_OUTCOME_MISDIRECTED:
        replica->misdirected = true;
        break;
    case HR_ATTEMPT_OUTCOME_NOT_SENT:
        record_connection_failure(replica, now_ns);
        record_result(replica, 1, 1, now_ns);
        break;
    case HR_ATTEMPT_OUTCOME_DECLINED:
        record_result(replica, 1, 0, now_ns);
        break;
    case HR_ATTEMPT_OUTCOME_SERVER_ERROR:
    case HR_ATTEMPT_OUTCOME_LOST:
    case HR_ATTEMPT_OUTCOME_MALFORMED:
        record_result(replica, 1, 1, now_ns);
        break;
    }
}

/* Returns how long the oldest unanswered attempt at a server has run, in
 * median latencies; 0 if that is not conspicuous. */
static double
get_stuck_duration(const HrReplica *replica, int64_t now_ns)
{
    const HrAttempt *oldest = TAILQ_FIRST(&replica->attempts);
    double waited = oldest != NULL ? get_relative_duration(oldest, now_ns) : 0;

    return waited > STUCK_FACTOR ? waited : 0;
}

/* Returns the current slowness of a server: that of its answers, or that of
 * its oldest unanswered attempt if this has run for longer. Own observations
 * give way to the reports of other daemons as they age. */
static double
get_current_slowness(const HrReplica *replica, int64_t now_ns)
{
    double slowness =
        decay_value(replica->slowness, get_reported_slowness(replica, now_ns),
                    replica->slowness_at_ns, now_ns);
    double waited = get_stuck_duration(replica, now_ns);

    slowness = waited > slowness ? waited : slowness;
    return slowness < 0.2 ? 0.2 : slowness;
}

double
HrReplica_GetOwnSlowness(const HrReplica *replica, int64_t now_ns,
                         int64_t *observed_ns)
{
    double slowness = 1, fault = 0;
    double waited = get_stuck_duration(replica, now_ns);

    *observed_ns = 0;
    if (now_ns - replica->slowness_at_ns < REPORT_AGE_MAX_NS) {
        *observed_ns = replica->slowness_at_ns;
        slowness =
            decay_value(replica->slowness, 1, replica->slowness_at_ns, now_ns);
    }
    if (now_ns - replica->failure_at_ns < REPORT_AGE_MAX_NS) {
        *observed_ns = replica->failure_at_ns > *observed_ns
                           ? replica->failure_at_ns
                           : *observed_ns;
        fault = decay_value(replica->fault_ratio, 0, replica->failure_at_ns,
                            now_ns);
    }
    if (waited > slowness) {
        /* What its answer would record if it came now. */
        waited = waited < SLOWNESS_MAX ? waited : SLOWNESS_MAX;
        *observed_ns = now_ns;
        slowness += SLOWNESS_WEIGHT * (waited - slowness);
    }
    return slowness * (1 + FAILURE_COST * fault);
}

/* Returns the estimated cost of one more attempt, with or without what the
 * server has reported of its load. */
static double
estimate_cost(const HrReplica *replica, bool with_report, int64_t now_ns)
{
    double slots = replica->slots > 0 ? replica->slots : 1;
    double failure =
        decay_value(replica->failure_ratio, 0, replica->failure_at_ns, now_ns);
    double cost = get_current_slowness(replica, now_ns);
    double load = 1 + replica->outstanding / slots;

    if (with_report && replica->load_report.at_ns != 0) {
        cost =
            HrLoadReport_CorrectSlowness(&replica->load_report, cost, now_ns);
        load += HrLoadReport_GetExcess(&replica->load_report, now_ns);
        load = load > LOAD_FACTOR_MIN ? load : LOAD_FACTOR_MIN;
    }
    cost *= load;
    cost *= 1 + FAILURE_COST * failure;
    if (now_ns < HrReplica_GetColdUntilNs(replica)) {
        cost *= COLD_COST;
    }
    return cost + replica->zone_cost;
}

/* Returns the estimated cost of one more attempt, relative to the cost at an
 * idle and healthy server in the same data centre. */
double
HrReplica_EstimateCost(const HrReplica *replica, int64_t now_ns)
{
    return estimate_cost(replica, true, now_ns);
}

void
HrReplica_SumLoads(const struct HrReplicaList *list, int64_t now_ns,
                   HrZoneLoad *inside, HrZoneLoad *outside)
{
    const HrReplica *replica;

    *inside = (HrZoneLoad){0};
    *outside = (HrZoneLoad){0};
    for (replica = TAILQ_FIRST(list); replica != NULL;
         replica = TAILQ_NEXT(replica, entry)) {
        HrZoneLoad *load = replica->same_data_centre ? inside : outside;

        if (HrReplica_IsUsable(replica, now_ns) &&
            !HrReplica_IsLastResort(replica, now_ns)) {
            load->servers++;
            load->slots += replica->slots;
            load->outstanding +=
                replica->outstanding +
                (uint32_t)(replica->slots *
                           HrLoadReport_GetOthers(&replica->load_report,
                                                  now_ns));
        }
    }
}

/* Returns true if the server may get a request at this moment. */
bool
HrReplica_IsUsable(const HrReplica *replica, int64_t now_ns)
{
    return !replica->removed && !replica->draining && !replica->evacuated &&
           !replica->misdirected &&
           HrServerNotice_PermitsRequest(&replica->notice, now_ns);
}

/* Returns true if the server is used only while no other one is usable. */
bool
HrReplica_IsLastResort(const HrReplica *replica, int64_t now_ns)
{
    return replica->notice.reported_leaving ||
           now_ns < replica->unreachable_until_ns;
}

/* Returns true if a server is in criteria->avoid. */
static bool
is_avoided(const HrReplica *replica, const HrReplicaCriteria *criteria)
{
    uint32_t i;

    for (i = 0; i < criteria->avoid_count; i++) {
        if (criteria->avoid[i] == replica) {
            return true;
        }
    }
    return false;
}

/* Returns true if a server is at its connection limit. An abandoned attempt
 * may still use a connection, so the connections are counted as well. */
static bool
is_full(const HrReplica *replica, const HrReplicaCriteria *criteria)
{
    uint32_t busy = criteria->connection_count_fn != NULL
                        ? criteria->connection_count_fn(replica)
                        : 0;

    busy = busy > replica->outstanding ? busy : replica->outstanding;
    return busy >= criteria->limit;
}

int64_t
HrReplica_GetColdUntilNs(const HrReplica *replica)
{
    return replica->cold_until_ns > replica->stated_cold_until_ns
               ? replica->cold_until_ns
               : replica->stated_cold_until_ns;
}

bool
HrReplica_RecordColdStatement(HrReplica *replica, int64_t cold_ns,
                              int64_t now_ns)
{
    bool was_cold = now_ns < HrReplica_GetColdUntilNs(replica);

    if (cold_ns <= 0) {
        replica->cold_until_ns = 0;
    }
    replica->stated_cold_until_ns = cold_ns > 0 ? now_ns + cold_ns : 0;
    return cold_ns > 0 && !was_cold;
}

int64_t
HrReplica_GetColdFreeNs(HrReplica *replica, const HrColdLimit *limit,
                        int64_t now_ns)
{
    int64_t until_ns = HrReplica_GetColdUntilNs(replica), free_ns;

    if (limit == NULL || limit->per_s <= 0 || now_ns >= until_ns) {
        return now_ns;
    }
    free_ns = HrColdLimit_GetFreeNs(limit, &replica->cold_window, now_ns);
    return free_ns < until_ns ? free_ns : until_ns;
}

int64_t
HrReplica_FindColdFreeNs(const struct HrReplicaList *list,
                         const HrReplicaCriteria *criteria, int64_t now_ns)
{
    int64_t first_ns = HR_TIME_NEVER;
    HrReplica *replica;

    for (replica = TAILQ_FIRST(list); replica != NULL && first_ns > now_ns;
         replica = TAILQ_NEXT(replica, entry)) {
        if (HrReplica_IsUsable(replica, now_ns) &&
            !is_avoided(replica, criteria)) {
            int64_t free_ns =
                HrReplica_GetColdFreeNs(replica, criteria->cold_limit, now_ns);

            first_ns = free_ns < first_ns ? free_ns : first_ns;
        }
    }
    return first_ns;
}

/* Updates the means of the load reports of a service's servers. Returns how
 * many servers have sent one. */
static uint32_t
update_load_means(const struct HrReplicaList *list, int64_t now_ns)
{
    HrLoadMeans means = {0};
    HrReplica *replica;
    uint32_t count = 0;

    for (replica = TAILQ_FIRST(list); replica != NULL;
         replica = TAILQ_NEXT(replica, entry)) {
        count += replica->load_report.at_ns != 0;
        HrLoadMeans_Add(&means, &replica->load_report, now_ns);
    }
    for (replica = TAILQ_FIRST(list); replica != NULL && count > 0;
         replica = TAILQ_NEXT(replica, entry)) {
        HrLoadMeans_Apply(&means, &replica->load_report);
    }
    return count;
}

/* Returns the cost of a server for a choice. A cost that a load report lowers
 * is used only for some of the servers, at random; see BETTER_SERVERS_USED. */
static double
draw_cost(const HrReplica *replica, uint32_t reports, HrRng *rng,
          int64_t now_ns)
{
    double cost = estimate_cost(replica, true, now_ns);

    if (replica->load_report.at_ns != 0) {
        double usual_cost = estimate_cost(replica, false, now_ns);

        if (cost < usual_cost &&
            HrRng_DrawUnit(rng) * reports >= BETTER_SERVERS_USED) {
            cost = usual_cost;
        }
    }
    return cost * (1 + JITTER_MAX * HrRng_DrawUnit(rng));
}

/* Returns true if an attempt is beyond the share of a zone that returns from
 * an evacuation. *draw is the random number of the attempt, which is drawn at
 * the first use; negative: not drawn yet. */
static bool
is_beyond_return_share(const HrReplica *replica, HrRng *rng, double *draw,
                       int64_t now_ns)
{
    double share;

    if (replica->zone_return == NULL) {
        return false;
    }
    share = HrZoneReturn_GetShare(replica->zone_return, now_ns);
    if (share >= 1) {
        return false;
    }
    *draw = *draw < 0 ? HrRng_DrawUnit(rng) : *draw;
    return *draw >= share;
}

/* Picks the usable server with the lowest cost. Servers that leave according
 * to another daemon, or whose connections fail, are picked only if there is no
 * other. */
HrReplica *
HrReplica_Pick(const struct HrReplicaList *list,
               const HrReplicaCriteria *criteria, HrRng *rng, int64_t now_ns,
               bool *any_usable)
{
    HrReplica *replica, *best = NULL;
    double best_cost = INFINITY, draw = -1;
    uint32_t reports = update_load_means(list, now_ns);

    *any_usable = false;
    for (replica = TAILQ_FIRST(list); replica != NULL;
         replica = TAILQ_NEXT(replica, entry)) {
        double cost;

        if (!HrReplica_IsUsable(replica, now_ns) ||
            is_avoided(replica, criteria)) {
            continue;
        }
        *any_usable = true;
        if (is_full(replica, criteria) ||
            HrReplica_GetColdFreeNs(replica, criteria->cold_limit, now_ns) >
                now_ns) {
            continue;
        }
        cost = draw_cost(replica, reports, rng, now_ns);
        if (criteria->avoid_count > 0) {
            cost -= fmax(replica->zone_cost - REPEAT_ZONE_COST_MAX, 0);
        }
        if (criteria->leave_zone && replica->same_data_centre) {
            cost += STAY_COST;
        }
        if (is_beyond_return_share(replica, rng, &draw, now_ns)) {
            cost += RETURNING_COST;
        }
        if (replica->notice.reported_leaving) {
            cost += REPORTED_LEAVING_COST;
        }
        if (now_ns < replica->unreachable_until_ns) {
            cost += UNREACHABLE_COST;
        }
        if (cost < best_cost) {
            best_cost = cost;
            best = replica;
        }
    }
    return best;
}
