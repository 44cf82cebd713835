#include <string.h>
#include <talloc.h>

#include "base-error.h"
#include "coord-sched-int.h"

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
HrSchedServer_AddReference(HrSchedServer *server)
{
    server->attempt_count++;
}

/* Removes a server from the tree of names, if it is there. */
static void
remove_name(HrSched *sched, HrSchedServer *server)
{
    if (server->is_in_name_tree) {
        RB_REMOVE(HrSchedServerTree, &sched->by_name, server);
        server->is_in_name_tree = false;
    }
}

/* Marks a removed server to be freed if no attempt refers to it. */
static void
remove_if_unreferenced(HrSched *sched, HrSchedServer *server)
{
    if (server->is_removed && server->attempt_count == 0) {
        remove_name(sched, server);
        HrTimerSet_Clear(&sched->timers, &server->timer);
        SLIST_INSERT_HEAD(&sched->servers_to_free, server, in_to_free);
    }
}

/* Counts one less attempt that refers to a server. A removed server is freed
 * after the last of them. */
void
HrSchedServer_DropReference(HrSched *sched, HrSchedServer *server)
{
    server->attempt_count--;
    remove_if_unreferenced(sched, server);
}

/* Returns how many slots of a server this daemon may use now. A candidate is
 * limited to its share. */
static uint32_t
compute_slot_limit(const HrSched *sched, const HrSchedServer *server,
                   int64_t now_ns)
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

/* Replaces a server's part of the sums over the group. */
static void
update_group_sums(HrSched *sched, HrSchedServer *server, uint32_t usable,
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

/* Recomputes how many attempts a server may get now, and sets the timer for
 * when that changes by itself. */
void
HrSchedServer_UpdateSlots(HrSched *sched, HrSchedServer *server,
                          int64_t now_ns)
{
    uint32_t limit = 0, outstanding = server->stats.outstanding, spare = 0;
    bool is_serving;

    if (server->is_removed) {
        return;
    }
    if (HrEject_UpdateServer(&sched->eject, &server->eject, now_ns)) {
        HrLatency_Reset(&server->stats.latency);
    }
    is_serving = !HrEject_IsLeaving(&server->eject);
    if (sched->role.kind != HR_SCHED_ROLE_NONE &&
        HrEject_IsUsable(&server->eject, now_ns)) {
        limit = compute_slot_limit(sched, server, now_ns);
    }
    if (limit > outstanding && HrConns_HasRoom(&server->conns)) {
        uint32_t room = server->conns.limit - server->conns.busy;

        spare = limit - outstanding < room ? limit - outstanding : room;
    }
    update_group_sums(sched, server, limit, spare, is_serving);
    HrFreeServers_SetFree(&sched->free_servers, server->index, spare > 0);
    HrTimerSet_Set(
        &sched->timers, &server->timer,
        HrEject_GetNextChange(&server->eject, server->slots, now_ns));
}

void
HrSchedServer_UpdateAllSlots(HrSched *sched, int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < sched->server_count; i++) {
        HrSchedServer_UpdateSlots(sched, sched->servers[i], now_ns);
    }
}

/* Copies the settings from the entry of the pool in the tables. */
static void
apply_pool_settings(HrSched *sched, const HrPool *pool)
{
    HrSchedPoolSettings *settings = &sched->settings;

    settings->revision = pool->revision;
    settings->slots = pool->slots;
    settings->connections = pool->connections;
    settings->connect_ns = pool->connect_ms * HR_NS_PER_MS;
    settings->hedge = pool->hedge;
    settings->hedge_quantile = pool->hedge_quantile;
    settings->hedge_delay_ns = pool->hedge_delay_ms * HR_NS_PER_MS;
    settings->queue_limit = pool->queue_limit;
    if (!settings->is_known) {
        HrBudget_Init(&sched->budget, pool->extra_load_percent);
        settings->is_known = true;
    }
    HrBudget_SetShare(&sched->budget, pool->extra_load_percent);
}

/* Creates a server of the group and adds it to the tree of names. Returns NULL
 * when out of memory. */
static HrSchedServer *
create_server(HrSched *sched, const HrServer *entry)
{
    HrSchedServer *server = talloc_zero(sched, HrSchedServer);

    if (server == NULL) {
        return NULL;
    }
    server->name = talloc_strdup(server, entry->name);
    server->address = talloc_strdup(server, entry->address);
    if (server->name == NULL || server->address == NULL ||
        HrConns_Init(&server->conns, server, sched->settings.connections,
                     sched->candidates) != HR_OK) {
        talloc_free(server);
        return NULL;
    }
    server->serial = ++sched->next_serial;
    server->timer.kind = HR_SCHED_TIMER_SERVER;
    server->timer.owner = server;
    HrServerStats_Init(&server->stats);
    HrEject_AddServer(&sched->eject, &server->eject);
    server->is_in_name_tree = true;
    RB_INSERT(HrSchedServerTree, &sched->by_name, server);
    return server;
}

/* Removes a server from the group. It stays in the tree of names while
 * attempts at it go on, so that their slots still count if a later set lists
 * the server again. */
static void
remove_server(HrSched *sched, HrSchedServer *server)
{
    update_group_sums(sched, server, 0, 0, false);
    server->is_removed = true;
    HrTimerSet_Clear(&sched->timers, &server->timer);
    HrEject_RemoveServer(&sched->eject, &server->eject);
    remove_if_unreferenced(sched, server);
}

/* Adds a removed server to the group again. */
static void
restore_server(HrSched *sched, HrSchedServer *server)
{
    server->is_removed = false;
    HrEject_RestoreServer(&sched->eject);
}

/* Returns the server of an entry of the tables, and creates it if it is new. A
 * known name with a new address is a new server, which replaces the old one.
 * Returns NULL when out of memory. */
static HrSchedServer *
find_or_create_server(HrSched *sched, const HrServer *entry)
{
    HrSchedServer *server = find_server(sched, entry->name);

    if (server == NULL) {
        return create_server(sched, entry);
    }
    if (strcmp(server->address, entry->address) == 0) {
        if (server->is_removed) {
            restore_server(sched, server);
        }
        return server;
    }
    remove_name(sched, server);
    if (!server->is_removed) {
        remove_server(sched, server);
    }
    return create_server(sched, entry);
}

/* Applies the entry of one server in the tables. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
apply_server_entry(HrSched *sched, const HrServer *entry)
{
    HrSchedServer *server = find_or_create_server(sched, entry);

    if (server == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    server->is_in_new_set = true;
    server->slots = sched->settings.slots;
    server->eject.leaving_by_operator = entry->leaving;
    return HrConns_SetCap(&server->conns, server, sched->settings.connections,
                          sched->candidates);
}

/* Removes the servers that are not in the new set. */
static void
remove_unlisted(HrSched *sched)
{
    HrSchedServer *server, *next;

    for (server = RB_MIN(HrSchedServerTree, &sched->by_name); server != NULL;
         server = next) {
        next = RB_NEXT(HrSchedServerTree, &sched->by_name, server);
        if (!server->is_in_new_set && !server->is_removed) {
            remove_server(sched, server);
        }
        server->is_in_new_set = false;
    }
}

/* Fills an array with the servers of the group, by name, and replaces the
 * array of servers by it. */
static void
rebuild_server_array(HrSched *sched, HrSchedServer **array)
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

/* Applies the entry of the pool in the tables; an older revision is ignored.
 * The arrays for the new set are allocated first: if that fails, the old set
 * stays in use.
 * Returns 0 or HR_ERR_NO_MEMORY. */
int
HrSchedServer_ApplySet(HrSched *sched, const HrPool *pool, int64_t now_ns)
{
    uint32_t most = sched->server_count + pool->server_count, i;
    HrSchedServer **array;
    int rc = HR_OK;

    if (sched->settings.is_known &&
        pool->revision < sched->settings.revision) {
        return HR_OK;
    }
    array = talloc_array(sched, HrSchedServer *, most);
    if (array == NULL ||
        HrFreeServers_Resize(&sched->free_servers, sched, most) != HR_OK) {
        talloc_free(array);
        return HR_ERR_NO_MEMORY;
    }
    apply_pool_settings(sched, pool);
    for (i = 0; i < pool->server_count; i++) {
        if (strcmp(pool->servers[i].group, sched->group) == 0 &&
            apply_server_entry(sched, &pool->servers[i]) != HR_OK) {
            rc = HR_ERR_NO_MEMORY;
        }
    }
    remove_unlisted(sched);
    rebuild_server_array(sched, array);
    HrSchedServer_UpdateAllSlots(sched, now_ns);
    return rc;
}

/* Copies the versions of a report. Returns 0 or HR_ERR_NO_MEMORY. */
static int
apply_versions(HrSchedServer *server, const HrSchedStatusReport *report)
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

/* Applies the limits of a report where they are lower than those of the pool.
 * Returns 0 or HR_ERR_NO_MEMORY. */
static int
apply_limits(HrSched *sched, HrSchedServer *server,
             const HrSchedStatusReport *report)
{
    uint32_t cap = sched->settings.connections;

    server->slots = sched->settings.slots;
    if (report->slots > 0 && report->slots < server->slots) {
        server->slots = report->slots;
    }
    if (report->connections > 0 && report->connections < cap) {
        cap = report->connections;
    }
    return HrConns_SetCap(&server->conns, server, cap, sched->candidates);
}

/* Applies a report that is not of an earlier start of the server. Returns 0 or
 * HR_ERR_NO_MEMORY. */
static int
apply_report(HrSched *sched, HrSchedServer *server,
             const HrSchedStatusReport *report, bool restarted)
{
    int versions_rc = apply_versions(server, report);
    int limits_rc = apply_limits(sched, server, report);

    if (restarted) {
        HrServerStats_Reset(&server->stats);
        HrConns_DropIdle(&server->conns);
    }
    HrServerStats_RecordReport(&server->stats, report->load.running,
                               report->load.queued, report->requested_ns);
    return versions_rc != HR_OK ? versions_rc : limits_rc;
}

/* Applies a status report. Returns 0, HR_ERR_NO_MEMORY, or HR_ERR_NOT_FOUND
 * if the group has no such server. */
int
HrSchedServer_HandleReport(HrSched *sched, const HrSchedStatusReport *report,
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
            rc = apply_report(sched, server, report, restarted);
        }
    }
    HrSchedServer_UpdateSlots(sched, server, now_ns);
    return rc;
}
