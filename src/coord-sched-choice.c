#include "coord-sched-int.h"

/* What a server is known to hold. */
typedef enum Holding {
    HOLDS,
    MAY_HOLD, /* no report yet */
    DENIES,   /* by its last report, which may be out of date */
} Holding;

/* Returns whether a server holds the version of a sub-request. */
static Holding
version_holding(const HrSchedServer *server, uint64_t version)
{
    uint32_t i;

    if (!server->versions_known) {
        return MAY_HOLD;
    }
    for (i = 0; i < server->version_count; i++) {
        if (server->versions[i] == version) {
            return HOLDS;
        }
    }
    return DENIES;
}

/* Returns the record of an earlier attempt at a server, or NULL. */
static const HrSchedTried *
find_tried(const HrSchedSub *sub, const HrSchedServer *server)
{
    uint32_t i;

    for (i = sub->attempt_count; i > 0; i--) {
        if (sub->tried[i - 1].server_serial == server->serial) {
            return &sub->tried[i - 1];
        }
    }
    return NULL;
}

/* The best server found so far. */
typedef struct Choice {
    HrSchedServer *server;
    Holding holding;
    double estimate_ns;
} Choice;

/* Returns the estimated time until a server would answer. */
static double
estimate_ns(const HrSched *sched, const HrSchedServer *server, int64_t now_ns)
{
    int64_t connect_ns =
        HrConns_HasIdle(&server->conns, now_ns) ? 0 : sched->policy.connect_ns;

    return HrServerStats_EstimateLatency(&server->select, server->usable_slots,
                                         sched->latency.mean_ns, connect_ns,
                                         now_ns);
}

/* Compares one free server with the best so far. */
static void
consider(const HrSched *sched, const HrSchedSub *sub, HrSchedServer *server,
         bool tried_before, int64_t now_ns, Choice *best)
{
    const HrSchedTried *tried = find_tried(sub, server);
    Holding holding = version_holding(server, sub->request.version);
    double estimate;

    if ((tried != NULL) != tried_before ||
        (tried != NULL && tried->no_version)) {
        return;
    }
    estimate = estimate_ns(sched, server, now_ns);
    if (best->server == NULL || holding < best->holding ||
        (holding == best->holding && estimate < best->estimate_ns)) {
        best->server = server;
        best->holding = holding;
        best->estimate_ns = estimate;
    }
}

/* Returns the best of some servers. */
static Choice
best_of(const HrSched *sched, const HrSchedSub *sub, const uint32_t *indices,
        uint32_t count, bool tried_before, int64_t now_ns)
{
    Choice best = {0};
    uint32_t i;

    for (i = 0; i < count; i++) {
        consider(sched, sub, sched->servers[indices[i]], tried_before, now_ns,
                 &best);
    }
    return best;
}

/* Returns true if a server that was not tried could be waited for: one that
 * is busy and, with must_hold, may hold the version. */
static bool
is_worth_waiting(const HrSched *sched, const HrSchedSub *sub, bool must_hold,
                 int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < sched->server_count; i++) {
        const HrSchedServer *server = sched->servers[i];

        if (HrEject_IsUsable(&server->eject, now_ns) &&
            find_tried(sub, server) == NULL &&
            (!must_hold ||
             version_holding(server, sub->request.version) != DENIES)) {
            return true;
        }
    }
    return false;
}

/* Returns the best free server that was not tried, or NULL. */
static HrSchedServer *
find_untried(HrSched *sched, const HrSchedSub *sub, int64_t now_ns)
{
    uint32_t sample[HR_SELECT_SAMPLE_SIZE], count;
    Choice best;

    count = HrFreeServers_Sample(&sched->select, sched->rng, sample);
    best = best_of(sched, sub, sample, count, false, now_ns);
    if ((best.server == NULL || best.holding == DENIES) &&
        sched->select.free_count > count) {
        best = best_of(sched, sub, sched->select.free_list,
                       sched->select.free_count, false, now_ns);
    }
    if (best.server != NULL && best.holding == DENIES &&
        is_worth_waiting(sched, sub, true, now_ns)) {
        return NULL;
    }
    return best.server;
}

/* Returns the best free server for the next attempt, or NULL. */
HrSchedServer *
HrSchedChoice_Find(HrSched *sched, const HrSchedSub *sub, bool is_hedge,
                   int64_t now_ns)
{
    HrSchedServer *server;

    if (sched->select.free_count == 0) {
        return NULL;
    }
    server = find_untried(sched, sub, now_ns);
    if (server != NULL || is_hedge || sub->attempt_count == 0 ||
        is_worth_waiting(sched, sub, false, now_ns)) {
        return server;
    }
    return best_of(sched, sub, sched->select.free_list,
                   sched->select.free_count, true, now_ns)
        .server;
}

/* Returns true if every server that takes new work denied the version. */
bool
HrSchedChoice_NoneHolds(const HrSched *sched, const HrSchedSub *sub)
{
    uint32_t i;

    if (sub->no_version_count == 0) {
        return false;
    }
    for (i = 0; i < sched->server_count; i++) {
        const HrSchedServer *server = sched->servers[i];
        const HrSchedTried *tried = find_tried(sub, server);

        if (!HrEject_IsLeaving(&server->eject) &&
            (tried == NULL || !tried->no_version)) {
            return false;
        }
    }
    return true;
}
