#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daemon-sched-group.h"

#define POLL_TIMEOUT_NS HR_NS_PER_S
/* A candidate that does not schedule the group multiplies its poll interval by
 * this factor, so that its polls use few connections of a server. */
#define STANDBY_POLL_FACTOR 8
/* Time between two reports. Unchanged reports are repeated, because another
 * daemon may have become the pool home. */
#define REPORT_INTERVAL_NS HR_NS_PER_S
/* If a poll fails more than this many poll timeouts after it was sent, the
 * last status is discarded: it no longer shows which versions the server
 * holds. */
#define STATUS_MAX_POLL_TIMEOUTS 5

/* Returns the time until the next poll: the interval with a random jitter of
 * up to a quarter either way. */
static int64_t
compute_poll_interval(HrSchedGroup *group)
{
    int64_t interval_ns =
        (int64_t)group->task->daemon->settings->status_poll_ms * HR_NS_PER_MS;

    if (group->rank != 0) {
        interval_ns *= STANDBY_POLL_FACTOR;
    }
    return interval_ns * 3 / 4 +
           (int64_t)HrRng_DrawBelow(&group->task->rng,
                                    (uint64_t)interval_ns / 2 + 1);
}

/* Schedules the next poll of a server. */
static void
schedule_poll(HrPolledServer *server)
{
    HrSchedGroup *group = server->group;

    HrLoop_SetTimer(group->task->loop, server->timer,
                    HrLoop_NowNs(group->task->loop) +
                        compute_poll_interval(group));
}

/* Reports the result of a poll to the state machine; status is NULL if the
 * poll failed. */
static void
report_server_status(HrPolledServer *server, const HrBackendStatus *status)
{
    HrSchedEvent event = {.kind = HR_SCHED_STATUS_REPORT};
    HrSchedStatusReport *report = &event.u.status_report;
    uint64_t versions[HR_BACKEND_MAX_VERSIONS];
    uint32_t i;

    report->server = server->name;
    report->requested_ns = server->requested_ns;
    report->failed = status == NULL;
    if (status != NULL) {
        for (i = 0; i < status->version_count; i++) {
            versions[i] = status->versions[i].version;
        }
        report->start_id = status->start_id;
        report->state = status->state;
        report->load = status->load;
        report->slots = status->slots;
        report->connections = status->connections;
        report->versions = versions;
        report->version_count = status->version_count;
    }
    HrSchedGroup_HandleEvent(server->group, &event);
}

/* Returns the decoded status. Returns NULL if it is not valid, or if it is
 * from a server with a different name, which now uses the address. */
static HrBackendStatus *
decode_status(HrPolledServer *server, const HrHttpAnswer *http)
{
    HrBackendStatus *status = talloc_zero(server, HrBackendStatus);

    if (status == NULL || http->error != HR_OK ||
        HrBackend_DecodeStatus(status, http->status, http->body, status,
                               NULL) != HR_OK ||
        strcmp(status->server, server->name) != 0) {
        talloc_free(status);
        return NULL;
    }
    return status;
}

/* Handles the end of a poll. A server's first status is reported at once. */
static void
handle_poll_end(void *arg, const HrHttpAnswer *http)
{
    HrPolledServer *server = arg;
    HrBackendStatus *status = decode_status(server, http);
    bool first = server->status == NULL && status != NULL;

    server->poll = NULL;
    if (status != NULL) {
        talloc_free(server->status);
        server->status = status;
    }
    else if (HrLoop_NowNs(server->group->task->loop) - server->requested_ns >
             STATUS_MAX_POLL_TIMEOUTS * POLL_TIMEOUT_NS) {
        TALLOC_FREE(server->status);
    }
    schedule_poll(server);
    report_server_status(server, status);
    if (first) {
        HrSchedGroup_SendReport(server->group);
    }
}

/* Polls a server when its timer expires, unless a poll is already open. Does
 * nothing if this daemon is not a candidate. */
static void
poll_server(void *arg)
{
    HrPolledServer *server = arg;
    HrSchedGroup *group = server->group;
    char url[160];
    HrHttpRequest http = {.method = "GET",
                          .url = url,
                          .timeout_ns = POLL_TIMEOUT_NS,
                          .connect_timeout_ns = POLL_TIMEOUT_NS};

    if (!server->in_tables || !group->placed || server->poll != NULL) {
        return;
    }
    snprintf(url, sizeof(url), "http://%s%s", server->address,
             HR_BACKEND_STATUS_PATH);
    server->requested_ns = HrLoop_NowNs(group->task->loop);
    server->poll =
        HrHttpClient_StartCall(group->client, &http, handle_poll_end, server);
    if (server->poll == NULL) {
        schedule_poll(server);
    }
}

/* Returns the server with a name and address, or NULL. */
static HrPolledServer *
find_server(HrSchedGroup *group, const char *name, const char *address)
{
    HrPolledServer *server;

    for (server = group->servers; server != NULL; server = server->next) {
        if (strcmp(server->name, name) == 0 &&
            strcmp(server->address, address) == 0) {
            return server;
        }
    }
    return NULL;
}

/* Adds a server; does nothing when out of memory. */
static void
add_server(HrSchedGroup *group, const HrServer *row)
{
    HrPolledServer *server = talloc_zero(group, HrPolledServer);

    if (server == NULL) {
        return;
    }
    server->group = group;
    server->name = talloc_strdup(server, row->name);
    server->address = talloc_strdup(server, row->address);
    server->timer = HrLoop_AddTimer(group->task->loop, poll_server, server);
    if (server->name == NULL || server->address == NULL ||
        server->timer == NULL) {
        HrLoop_RemoveTimer(group->task->loop, server->timer);
        talloc_free(server);
        return;
    }
    server->in_tables = true;
    server->next = group->servers;
    group->servers = server;
}

/* Removes the servers that the tables no longer list, and cancels their
 * polls. */
static void
remove_unlisted_servers(HrSchedGroup *group)
{
    HrPolledServer **link = &group->servers;

    while (*link != NULL) {
        HrPolledServer *server = *link;

        if (server->in_tables) {
            link = &server->next;
            continue;
        }
        *link = server->next;
        if (server->poll != NULL) {
            HrHttpCall_Cancel(server->poll);
        }
        HrLoop_RemoveTimer(group->task->loop, server->timer);
        talloc_free(server);
    }
}

/* Polls all servers now, or only those without a status. */
void
HrSchedGroup_PollServers(HrSchedGroup *group, bool all)
{
    HrPolledServer *server;

    for (server = group->servers; server != NULL; server = server->next) {
        if (server->poll == NULL && (all || server->status == NULL)) {
            HrLoop_SetTimer(group->task->loop, server->timer,
                            HrLoop_NowNs(group->task->loop));
        }
    }
}

/* Sets the servers to poll to those of this group in the entry of the pool in
 * the tables. Servers with an unchanged name and address remain. */
void
HrSchedGroup_SetServers(HrSchedGroup *group, const HrPool *pool)
{
    HrPolledServer *server;
    uint32_t i;

    for (server = group->servers; server != NULL; server = server->next) {
        server->in_tables = false;
    }
    for (i = 0; i < pool->server_count; i++) {
        const HrServer *row = &pool->servers[i];

        if (strcmp(row->group, group->name) != 0) {
            continue;
        }
        server = find_server(group, row->name, row->address);
        if (server != NULL) {
            server->in_tables = true;
        }
        else {
            add_server(group, row);
        }
    }
    remove_unlisted_servers(group);
    HrSchedGroup_PollServers(group, false);
    HrLoop_SetTimer(group->task->loop, group->report_timer,
                    HrLoop_NowNs(group->task->loop) + REPORT_INTERVAL_NS);
}

/* Copies the shards of a version for a report. Returns NULL when out of
 * memory. */
static HrShard *
copy_shards(const void *parent, const HrSchedGroup *group,
            const HrBackendVersion *server_version)
{
    HrShard *shards =
        talloc_memdup(parent, server_version->shards,
                      server_version->shard_count * sizeof(HrShard));
    uint32_t i;

    for (i = 0; shards != NULL && i < server_version->shard_count; i++) {
        shards[i].name = talloc_strdup(shards, server_version->shards[i].name);
        shards[i].group = talloc_strdup(shards, group->name);
        if (shards[i].name == NULL || shards[i].group == NULL) {
            TALLOC_FREE(shards);
        }
    }
    return shards;
}

/* Adds the versions of one server to those of the group. The copied shards are
 * talloc children of versions; a version that cannot be copied is left out. */
static void
merge_server_versions(const HrSchedGroup *group, const HrBackendStatus *status,
                      HrGroupVersion *versions, uint32_t *count)
{
    uint32_t i, j;

    for (i = 0; i < status->version_count; i++) {
        const HrBackendVersion *server_version = &status->versions[i];

        for (j = 0;
             j < *count && versions[j].version != server_version->version;
             j++) {
        }
        if (j == HR_BACKEND_MAX_VERSIONS) {
            continue;
        }
        if (j == *count) {
            versions[j].version = server_version->version;
            versions[j].live_servers = 0;
            versions[j].shard_count = server_version->shard_count;
            versions[j].shards = copy_shards(versions, group, server_version);
            if (versions[j].shards == NULL) {
                continue;
            }
            (*count)++;
        }
        versions[j].live_servers++;
    }
}

/* Fills in a frame that reports the versions of all servers that are not
 * draining. Its data are talloc children of the frame. Returns false when out
 * of memory. */
static bool
fill_report(const HrSchedGroup *group, HrPeerFrame *frame)
{
    HrPeerGroupReport *report = &frame->u.group_report;
    HrGroupVersion *versions =
        talloc_zero_array(frame, HrGroupVersion, HR_BACKEND_MAX_VERSIONS);
    const HrPolledServer *server;

    frame->kind = HR_PEER_GROUP_REPORT;
    report->pool = talloc_strdup(frame, group->pool);
    report->group = talloc_strdup(frame, group->name);
    report->versions = versions;
    if (versions == NULL || report->pool == NULL || report->group == NULL) {
        return false;
    }
    for (server = group->servers; server != NULL; server = server->next) {
        if (server->status != NULL &&
            server->status->state != HR_SERVER_DRAINING) {
            merge_server_versions(group, server->status, versions,
                                  &report->version_count);
        }
    }
    return true;
}

/* Sends the index versions of the servers to the control task if this daemon
 * schedules the group, and sets the timer of the next report if it is a
 * candidate. */
void
HrSchedGroup_SendReport(HrSchedGroup *group)
{
    HrMessage *message;
    HrPeerFrame *frame;

    if (!group->placed) {
        return;
    }
    HrLoop_SetTimer(group->task->loop, group->report_timer,
                    HrLoop_NowNs(group->task->loop) + REPORT_INTERVAL_NS);
    if (group->rank != 0) {
        return;
    }
    message = HrMessage_Create(HR_MESSAGE_GROUP_REPORT);
    frame = talloc_zero(message, HrPeerFrame);
    if (message == NULL || frame == NULL || !fill_report(group, frame)) {
        talloc_free(message);
        return;
    }
    message->u.peer.frame = frame;
    HrTask_PostMessage(group->task, group->task->daemon->control, message);
}
