#include <string.h>
#include <talloc.h>

#include "base-error.h"
#include "coord-sched-int.h"

/* Orders servers by name. */
static int
compare_servers(const HrSchedServer *left, const HrSchedServer *right)
{
    return strcmp(left->name, right->name);
}

HR_RB_GENERATE_STATIC(HrSchedServerTree, HrSchedServer, by_name,
                      compare_servers)

/* Returns the server with a name, or NULL. */
static HrSchedServer *
find_server(HrSched *sched, const char *name)
{
    HrSchedServer key;

    key.name = (char *)name;
    return RB_FIND(HrSchedServerTree, &sched->by_name, &key);
}

/* Counts one more attempt that refers to a server. */
void
HrSchedServer_Hold(HrSchedServer *server)
{
    server->attempt_count++;
}

/* Takes a server out of the names. */
static void
forget_name(HrSched *sched, HrSchedServer *server)
{
    if (server->is_named) {
        RB_REMOVE(HrSchedServerTree, &sched->by_name, server);
        server->is_named = false;
    }
}

/* Forgets a removed server that no attempt refers to. */
static void
bury_unused(HrSched *sched, HrSchedServer *server)
{
    if (server->is_removed && server->attempt_count == 0) {
        forget_name(sched, server);
        HrTimerSet_Clear(&sched->timers, &server->timer);
        SLIST_INSERT_HEAD(&sched->dead_servers, server, in_graveyard);
    }
}

/* Counts one less attempt that refers to a server. */
void
HrSchedServer_Drop(HrSched *sched, HrSchedServer *server)
{
    server->attempt_count--;
    bury_unused(sched, server);
}

/* Returns how many slots of a server this daemon may use now. */
static uint32_t
slot_limit(const HrSched *sched, const HrSchedServer *server, int64_t now_ns)
{
    uint32_t limit =
        HrEject_GetSlotLimit(&server->eject, server->slots, now_ns);
    uint32_t share;

    if (sched->role.kind != HR_SCHED_ROLE_CANDIDATE) {
        return limit;
    }
    share = sched->role.slot_share;
    if (share == 0 && sched->candidates > 0) {
        share = server->slots / sched->candidates;
    }
    if (share == 0) {
        share = 1;
    }
    return share < limit ? share : limit;
}

/* Replaces a server's part of the group's sums. */
static void
count_slots(HrSched *sched, HrSchedServer *server, uint32_t usable,
            uint32_t free_slots, bool is_serving)
{
    sched->usable_slots += usable - server->usable_slots;
    sched->free_slots += free_slots - server->free_slots;
    sched->serving_count +=
        (is_serving ? 1 : 0) - (server->is_serving ? 1 : 0);
    server->usable_slots = usable;
    server->free_slots = free_slots;
    server->is_serving = is_serving;
}

/* Recomputes what a server may get now. */
void
HrSchedServer_Refresh(HrSched *sched, HrSchedServer *server, int64_t now_ns)
{
    uint32_t limit = 0, outstanding = server->select.outstanding, spare = 0;
    bool is_serving;

    if (server->is_removed) {
        return;
    }
    if (HrEject_UpdateServer(&sched->eject, &server->eject, now_ns)) {
        HrLatency_Reset(&server->select.latency);
    }
    is_serving = !HrEject_IsLeaving(&server->eject);
    if (sched->role.kind != HR_SCHED_ROLE_NONE &&
        HrEject_IsUsable(&server->eject, now_ns)) {
        limit = slot_limit(sched, server, now_ns);
    }
    if (limit > outstanding && HrConns_HasRoom(&server->conns)) {
        uint32_t room = server->conns.limit - server->conns.busy;

        spare = limit - outstanding < room ? limit - outstanding : room;
    }
    count_slots(sched, server, limit, spare, is_serving);
    HrFreeServers_SetFree(&sched->select, server->index, spare > 0);
    HrTimerSet_Set(
        &sched->timers, &server->timer,
        HrEject_GetNextChange(&server->eject, server->slots, now_ns));
}

/* Recomputes all servers. */
void
HrSchedServer_RefreshAll(HrSched *sched, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < sched->server_count; i++) {
        HrSchedServer_Refresh(sched, sched->servers[i], now_ns);
    }
}

/* Takes over the settings of the pool. */
static void
apply_policy(HrSched *sched, const HrPool *pool)
{
    HrSchedPolicy *policy = &sched->policy;

    policy->revision = pool->revision;
    policy->slots = pool->slots;
    policy->connections = pool->connections;
    policy->connect_ns = pool->connect_ms * HR_NS_PER_MS;
    policy->hedge = pool->hedge;
    policy->hedge_quantile = pool->hedge_quantile;
    policy->hedge_delay_ns = pool->hedge_delay_ms * HR_NS_PER_MS;
    policy->queue_limit = pool->queue_limit;
    if (!policy->is_known) {
        HrBudget_Init(&sched->budget, pool->extra_load_percent);
        policy->is_known = true;
    }
    HrBudget_SetShare(&sched->budget, pool->extra_load_percent);
}

/* Returns a new server of the group, or NULL. */
static HrSchedServer *
create_server(HrSched *sched, const HrServer *row)
{
    HrSchedServer *server = talloc_zero(sched, HrSchedServer);

    if (server == NULL) {
        return NULL;
    }
    server->name = talloc_strdup(server, row->name);
    server->address = talloc_strdup(server, row->address);
    if (server->name == NULL || server->address == NULL ||
        HrConns_Init(&server->conns, server, sched->policy.connections,
                     sched->candidates) != HR_OK) {
        talloc_free(server);
        return NULL;
    }
    server->serial = ++sched->next_serial;
    server->timer.kind = HR_SCHED_TIMER_SERVER;
    server->timer.owner = server;
    HrServerStats_Init(&server->select);
    HrEject_AddServer(&sched->eject, &server->eject);
    server->is_named = true;
    RB_INSERT(HrSchedServerTree, &sched->by_name, server);
    return server;
}

/* Takes a server out of the group. It keeps its name while attempts at it go
 * on, so that their slots still count if it is listed again. */
static void
remove_server(HrSched *sched, HrSchedServer *server)
{
    count_slots(sched, server, 0, 0, false);
    server->is_removed = true;
    HrTimerSet_Clear(&sched->timers, &server->timer);
    HrEject_RemoveServer(&sched->eject, &server->eject);
    bury_unused(sched, server);
}

/* Takes a removed server back. */
static void
restore_server(HrSched *sched, HrSchedServer *server)
{
    server->is_removed = false;
    HrEject_RestoreServer(&sched->eject);
}

/* Returns the server of a row; a name with a new address is another server.
 * Returns NULL when memory runs out. */
static HrSchedServer *
find_or_create(HrSched *sched, const HrServer *row)
{
    HrSchedServer *server = find_server(sched, row->name);

    if (server == NULL) {
        return create_server(sched, row);
    }
    if (strcmp(server->address, row->address) == 0) {
        if (server->is_removed) {
            restore_server(sched, server);
        }
        return server;
    }
    forget_name(sched, server);
    if (!server->is_removed) {
        remove_server(sched, server);
    }
    return create_server(sched, row);
}

/* Applies one row. Returns 0 or HR_ERR_NO_MEMORY. */
static int
list_server(HrSched *sched, const HrServer *row)
{
    HrSchedServer *server = find_or_create(sched, row);

    if (server == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    server->is_listed = true;
    server->slots = sched->policy.slots;
    server->eject.leaving_by_operator = row->leaving;
    return HrConns_SetCap(&server->conns, server, sched->policy.connections,
                          sched->candidates);
}

/* Removes the servers that the new set does not list. */
static void
remove_unlisted(HrSched *sched)
{
    HrSchedServer *server, *next;

    for (server = RB_MIN(HrSchedServerTree, &sched->by_name); server != NULL;
         server = next) {
        next = RB_NEXT(HrSchedServerTree, &sched->by_name, server);
        if (!server->is_listed && !server->is_removed) {
            remove_server(sched, server);
        }
        server->is_listed = false;
    }
}

/* Replaces the array of servers by one with the present set. */
static void
fill_array(HrSched *sched, HrSchedServer **array)
{
    HrSchedServer *server;
    uint32_t count = 0;

    RB_FOREACH (server, HrSchedServerTree, &sched->by_name) {
        if (!server->is_removed) {
            server->index = count;
            array[count++] = server;
        }
    }
    talloc_free(sched->servers);
    sched->servers = array;
    sched->server_count = count;
}

/* Applies the pool's row. The memory that the new set may need is reserved
 * first, so that a failure leaves the old set in force. */
int
HrSchedServer_ApplySet(HrSched *sched, const HrPool *pool, int64_t now_ns)
{
    uint32_t most = sched->server_count + pool->server_count, i;
    HrSchedServer **array;
    int rc = HR_OK;

    if (sched->policy.is_known && pool->revision < sched->policy.revision) {
        return HR_OK;
    }
    array = talloc_array(sched, HrSchedServer *, most);
    if (array == NULL ||
        HrFreeServers_Resize(&sched->select, sched, most) != HR_OK) {
        talloc_free(array);
        return HR_ERR_NO_MEMORY;
    }
    apply_policy(sched, pool);
    for (i = 0; i < pool->server_count; i++) {
        if (strcmp(pool->servers[i].group, sched->group) == 0 &&
            list_server(sched, &pool->servers[i]) != HR_OK) {
            rc = HR_ERR_NO_MEMORY;
        }
    }
    remove_unlisted(sched);
    fill_array(sched, array);
    HrSchedServer_RefreshAll(sched, now_ns);
    return rc;
}

/* Takes over the versions of a report. */
static int
take_versions(HrSchedServer *server, const HrSchedStatusReport *report)
{
    uint64_t *versions = talloc_array(server, uint64_t, report->version_count);

    if (versions == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    if (report->version_count > 0) {
        memcpy(versions, report->versions,
               report->version_count * sizeof(*versions));
    }
    talloc_free(server->versions);
    server->versions = versions;
    server->version_count = report->version_count;
    server->versions_known = true;
    return HR_OK;
}

/* Takes over the limits of a report where they are lower than the pool's. */
static int
take_limits(HrSched *sched, HrSchedServer *server,
            const HrSchedStatusReport *report)
{
    uint32_t cap = sched->policy.connections;

    server->slots = sched->policy.slots;
    if (report->slots > 0 && report->slots < server->slots) {
        server->slots = report->slots;
    }
    if (report->connections > 0 && report->connections < cap) {
        cap = report->connections;
    }
    return HrConns_SetCap(&server->conns, server, cap, sched->candidates);
}

/* Takes over a report that is not older than what is known. */
static int
take_report(HrSched *sched, HrSchedServer *server,
            const HrSchedStatusReport *report, bool restarted)
{
    int versions_rc = take_versions(server, report);
    int limits_rc = take_limits(sched, server, report);

    if (restarted) {
        HrServerStats_Reset(&server->select);
        HrConns_DropIdle(&server->conns);
    }
    HrServerStats_RecordReport(&server->select, report->load.running,
                               report->load.queued, report->requested_ns);
    return versions_rc != HR_OK ? versions_rc : limits_rc;
}

/* Handles a status report. */
int
HrSchedServer_Report(HrSched *sched, const HrSchedStatusReport *report,
                     int64_t now_ns)
{
    HrSchedServer *server = find_server(sched, report->server);
    bool restarted, is_current;
    int rc = HR_OK;

    if (server == NULL || server->is_removed) {
        return HR_ERR_NOT_FOUND;
    }
    HrEject_RecordPoll(&sched->eject, &server->eject, report->failed,
                       report->requested_ns, now_ns);
    if (!report->failed) {
        restarted =
            HrEject_RecordReport(&server->eject, report->start_id,
                                 report->state == HR_SERVER_DRAINING,
                                 report->state == HR_SERVER_COLD,
                                 report->requested_ns, now_ns, &is_current);
        if (is_current) {
            rc = take_report(sched, server, report, restarted);
        }
    }
    HrSchedServer_Refresh(sched, server, now_ns);
    return rc;
}
