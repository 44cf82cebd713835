#include "coord-sched-int.h"

/* Whether a server holds an index version; lower values are preferred. */
typedef enum VersionState {
    VERSION_HELD,
    VERSION_UNKNOWN,  /* the server has sent no report yet */
    VERSION_NOT_HELD, /* by its last report, which may be out of date */
} VersionState;

/* Returns whether a server holds a version, as far as is known. */
static VersionState
find_version_state(const HrSchedServer *server, uint64_t version)
{
    uint32_t i;

    if (!server->versions_known) {
        return VERSION_UNKNOWN;
    }
    for (i = 0; i < server->version_count; i++) {
        if (server->versions[i] == version) {
            return VERSION_HELD;
        }
    }
    return VERSION_NOT_HELD;
}

/* Returns the record of the newest attempt that a sub-request made at a
 * server, or NULL. */
static const HrSchedTriedServer *
find_tried_server(const HrSchedSub *sub, const HrSchedServer *server)
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
    VersionState version_state;
    double estimate_ns;
} Choice;

/* Returns the estimated time until a server would answer a new attempt. */
static double
estimate_latency_ns(const HrSched *sched, const HrSchedServer *server,
                    int64_t now_ns)
{
    int64_t connect_ns = HrConns_HasIdle(&server->conns, now_ns)
                             ? 0
                             : sched->settings.connect_ns;

    return HrServerStats_EstimateLatency(&server->stats, server->usable_slots,
                                         sched->latency.mean_ns, connect_ns,
                                         now_ns);
}

/* Replaces the best server by a free one that suits better: with
 * tried_before only among those that were tried, otherwise only among the
 * others. */
static void
update_choice(const HrSched *sched, const HrSchedSub *sub,
              HrSchedServer *server, bool tried_before, int64_t now_ns,
              Choice *best)
{
    const HrSchedTriedServer *tried = find_tried_server(sub, server);
    VersionState version_state =
        find_version_state(server, sub->request.version);
    double estimate;

    if ((tried != NULL) != tried_before ||
        (tried != NULL && tried->no_version)) {
        return;
    }
    estimate = estimate_latency_ns(sched, server, now_ns);
    if (best->server == NULL || version_state < best->version_state ||
        (version_state == best->version_state &&
         estimate < best->estimate_ns)) {
        best->server = server;
        best->version_state = version_state;
        best->estimate_ns = estimate;
    }
}

/* Returns the best of the servers at the given indices; its server is NULL if
 * none suits. */
static Choice
choose_best(const HrSched *sched, const HrSchedSub *sub,
            const uint32_t *indices, uint32_t count, bool tried_before,
            int64_t now_ns)
{
    Choice best = {0};
    uint32_t i;

    for (i = 0; i < count; i++) {
        update_choice(sched, sub, sched->servers[indices[i]], tried_before,
                      now_ns, &best);
    }
    return best;
}

/* Returns true if it is better to wait for a server that was not tried: one
 * that takes new work once it has a free slot and, with must_hold_version, may
 * hold the version. */
static bool
is_worth_waiting(const HrSched *sched, const HrSchedSub *sub,
                 bool must_hold_version, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < sched->server_count; i++) {
        const HrSchedServer *server = sched->servers[i];

        if (HrEject_IsUsable(&server->eject, now_ns) &&
            find_tried_server(sub, server) == NULL &&
            (!must_hold_version ||
             find_version_state(server, sub->request.version) !=
                 VERSION_NOT_HELD)) {
            return true;
        }
    }
    return false;
}

/* Returns the best free server that was not tried, or NULL. A random sample of
 * the free servers is tried first, and all of them if the sample has no
 * server that may hold the version. */
static HrSchedServer *
find_untried_server(HrSched *sched, const HrSchedSub *sub, int64_t now_ns)
{
    uint32_t sample[HR_SELECT_SAMPLE_SIZE], count;
    Choice best;

    count = HrFreeServers_Sample(&sched->free_servers, sched->rng, sample);
    best = choose_best(sched, sub, sample, count, false, now_ns);
    if ((best.server == NULL || best.version_state == VERSION_NOT_HELD) &&
        sched->free_servers.free_count > count) {
        best = choose_best(sched, sub, sched->free_servers.free_list,
                           sched->free_servers.free_count, false, now_ns);
    }
    if (best.server != NULL && best.version_state == VERSION_NOT_HELD &&
        is_worth_waiting(sched, sub, true, now_ns)) {
        return NULL;
    }
    return best.server;
}

/* Returns the best free server for the next attempt, or NULL. A retry goes to
 * a server that was tried before only if no other one is worth waiting for. */
HrSchedServer *
HrSchedChoice_FindServer(HrSched *sched, const HrSchedSub *sub, bool is_hedge,
                         int64_t now_ns)
{
    HrSchedServer *server;

    if (sched->free_servers.free_count == 0) {
        return NULL;
    }
    server = find_untried_server(sched, sub, now_ns);
    if (server != NULL || is_hedge || sub->attempt_count == 0 ||
        is_worth_waiting(sched, sub, false, now_ns)) {
        return server;
    }
    return choose_best(sched, sub, sched->free_servers.free_list,
                       sched->free_servers.free_count, true, now_ns)
        .server;
}

/* Returns true if every server that is not leaving answered this sub-request
 * that it does not hold the version. */
bool
HrSchedChoice_IsVersionUnavailable(const HrSched *sched, const HrSchedSub *sub)
{
    uint32_t i;

    if (sub->no_version_count == 0) {
        return false;
    }
    for (i = 0; i < sched->server_count; i++) {
        const HrSchedServer *server = sched->servers[i];
        const HrSchedTriedServer *tried = find_tried_server(sub, server);

        if (!HrEject_IsLeaving(&server->eject) &&
            (tried == NULL || !tried->no_version)) {
            return false;
        }
    }
    return true;
}
