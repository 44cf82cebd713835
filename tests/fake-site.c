/* A stand-in for the users' platform on the loopback address: its store, and
 * servers that are listed there. Tests inject faults by calls to paths below
 * /test/. */

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "base-buffer.h"
#include "fake-site.h"
#include "platform-http.h"

#define WIDE_TIMEOUT_MS 2000
#define ONCE_TIMEOUT_MS 1500
#define OVERTAKE_REVISIONS 1000000

Site site;

/* Writes the routes: /wide/ to all shards, /once/ to the last service with at
 * most one run, and optionally /extra/, also to the last service. timeout_ms:
 * timeout of all routes; 0: WIDE_TIMEOUT_MS and ONCE_TIMEOUT_MS. */
static void
write_routes(bool with_extra_route, uint32_t timeout_ms)
{
    uint32_t wide_ms = timeout_ms > 0 ? timeout_ms : WIDE_TIMEOUT_MS;
    uint32_t once_ms = timeout_ms > 0 ? timeout_ms : ONCE_TIMEOUT_MS;
    HrBuffer text;
    uint32_t i;

    HrBuffer_Init(&text, NULL);
    HrBuffer_AppendFormat(&text,
                          "{\"version\":%llu,\"routes\":[{\"name\":\"wide\","
                          "\"host\":\"site.example\",\"prefix\":\"/wide/\","
                          "\"routeKind\":\"safe\",\"timeoutMs\":%u,"
                          "\"targetLatencyMs\":400,\"priority\":1,"
                          "\"maxAttempts\":2,\"resultLimit\":4,"
                          "\"minShardRatio\":0.5,\"fanoutServices\":[",
                          (unsigned long long)++site.version, wide_ms);
    for (i = 0; i + 1 < site.service_count; i++) {
        HrBuffer_AppendFormat(&text, "%s\"shard%u\"", i > 0 ? "," : "", i);
    }
    HrBuffer_AppendFormat(
        &text,
        "]},{\"name\":\"once\",\"host\":\"site.example\","
        "\"prefix\":\"/once/\",\"routeKind\":\"unsafe\","
        "\"timeoutMs\":%u,\"targetLatencyMs\":400,"
        "\"priority\":1,\"maxAttempts\":2,\"service\":\"shard%u\"}",
        once_ms, site.service_count - 1);
    if (with_extra_route) {
        HrBuffer_AppendFormat(&text,
                              ",{\"name\":\"extra\",\"host\":\"site.example\","
                              "\"prefix\":\"/extra/\",\"routeKind\":\"safe\","
                              "\"timeoutMs\":%u,\"targetLatencyMs\":400,"
                              "\"priority\":1,\"maxAttempts\":2,"
                              "\"service\":\"shard%u\"}",
                              once_ms, site.service_count - 1);
    }
    HrBuffer_AppendFormat(&text, "],\"services\":[");
    for (i = 0; i < site.service_count; i++) {
        HrBuffer_AppendFormat(
            &text,
            "%s{\"name\":\"shard%u\",\"healthPath\":\"/health\","
            "\"connectionLimit\":40}",
            i > 0 ? "," : "", i);
    }
    HrBuffer_AppendFormat(
        &text,
        "],\"limits\":{\"maxHeaderBytes\":%u,"
        "\"maxBodyBytes\":%u,\"headerTimeoutMs\":%u,"
        "\"idleTimeoutMs\":%u}}",
        site.limits.max_header_bytes, site.limits.max_body_bytes,
        site.limits.header_timeout_ms, site.limits.idle_timeout_ms);
    HrBuffer_Append(&text, "", 1);
    FakeSite_WriteDocument("op/config", (const char *)HrBuffer_GetData(&text));
    talloc_free(text.data);
}

/* Writes the store entry of a server. */
static void
write_server_entry(Server *server)
{
    uint32_t port =
        server->listed_port != 0 ? server->listed_port : server->port;
    char key[64], text[512];

    snprintf(key, sizeof(key), "servers/%s", server->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"shard%u\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"%c\",\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
             "\"coldRemainingMs\":0,\"sequence\":%llu,\"born\":1000}",
             server->service, port, server->zone,
             server->draining ? "draining" : "ready",
             (unsigned long long)++server->sequence);
    FakeSite_WriteDocument(key, text);
}

/* Replaces the store entry of a server by one of another writer that names the
 * next service and lacks the start. The server does not write its own again.
 */
static void
write_astray_entry(Server *server)
{
    char key[64], text[512];

    snprintf(key, sizeof(key), "servers/%s", server->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"shard%u\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,"
             "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":%llu}",
             server->service + 1, server->port,
             (unsigned long long)++server->sequence);
    server->listed = false;
    FakeSite_WriteDocument(key, text);
}

/* Returns the server with an id, or NULL. */
static Server *
find_server(const char *id)
{
    uint32_t i;

    for (i = 0; i < site.server_count; i++) {
        if (strcmp(site.servers[i].id, id) == 0) {
            return &site.servers[i];
        }
    }
    return NULL;
}

/* Sets the behaviour of the server that a call names; returns the status of
 * the answer. */
static int
set_server_mode(const HrH1Call *call)
{
    char id[32], mode[32];
    Server *server = find_server(
        HrPlatform_ReadQueryField(call->target, "id", id, sizeof(id)));

    HrPlatform_ReadQueryField(call->target, "mode", mode, sizeof(mode));
    if (server == NULL) {
        return 404;
    }
    if (strcmp(mode, "drain") == 0 || strcmp(mode, "remove") == 0) {
        server->draining = true;
        write_server_entry(server);
        if (strcmp(mode, "remove") == 0) {
            char key[64];

            snprintf(key, sizeof(key), "servers/%s", server->id);
            FakeSite_WriteKey(key, NULL, 0);
            server->listed = false;
        }
        return 200;
    }
    if (strncmp(mode, "status-", 7) == 0) {
        server->mode = SERVER_STATUS;
        server->answer_status = (int)strtol(mode + 7, NULL, 10);
        return 200;
    }
    if (strncmp(mode, "lines-", 6) == 0) {
        server->mode = SERVER_LINES;
        server->answer_status = (int)strtol(mode + 6, NULL, 10);
        snprintf(server->answer_lines, sizeof(server->answer_lines), "%.*s",
                 (int)call->body.length_bytes, (const char *)call->body.data);
        return 200;
    }
    if (strcmp(mode, "astray") == 0) {
        write_astray_entry(server);
        return 200;
    }
    if (strcmp(mode, "zone-b") == 0) {
        server->zone = 'b';
        write_server_entry(server);
        return 200;
    }
    if (strcmp(mode, "via") == 0) {
        char port[8];

        HrPlatform_ReadQueryField(call->target, "port", port, sizeof(port));
        server->listed_port = (uint16_t)strtoul(port, NULL, 10);
        write_server_entry(server);
        return 200;
    }
    server->mode = strcmp(mode, "shed") == 0     ? SERVER_SHED
                   : strcmp(mode, "silent") == 0 ? SERVER_SILENT
                   : strcmp(mode, "error") == 0  ? SERVER_ERROR
                   : strcmp(mode, "slow") == 0   ? SERVER_SLOW
                   : strcmp(mode, "busy") == 0   ? SERVER_BUSY
                   : strcmp(mode, "leave") == 0  ? SERVER_LEAVING
                   : strcmp(mode, "load") == 0   ? SERVER_LOADED
                   : strcmp(mode, "garble") == 0 ? SERVER_GARBLED
                   : strcmp(mode, "pause") == 0  ? SERVER_PAUSED
                   : strcmp(mode, "queue") == 0  ? SERVER_QUEUE
                   : strcmp(mode, "large") == 0  ? SERVER_LARGE
                                                 : SERVER_OK;
    return 200;
}

/* Replaces the limits of the routes that a control call states, such as
 * "body=1000000". */
static void
set_limits(const HrH1Call *call)
{
    const struct {
        const char *field;
        uint32_t *limit;
    } limits[] = {
        {"header", &site.limits.max_header_bytes},
        {"body", &site.limits.max_body_bytes},
        {"header_timeout", &site.limits.header_timeout_ms},
        {"idle_timeout", &site.limits.idle_timeout_ms},
    };
    char value[16];
    size_t i;

    for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
        HrPlatform_ReadQueryField(call->target, limits[i].field, value,
                                  sizeof(value));
        if (value[0] != '\0') {
            *limits[i].limit = (uint32_t)strtoul(value, NULL, 10);
        }
    }
}

/* Returns how often requests ran: all requests at the server with the given
 * id, the request with the given id, or the most frequent request whose id has
 * the given prefix. */
static json_t *
build_runs_json(const HrH1Call *call)
{
    char id[40], prefix[40];
    const Server *server;
    uint32_t i, highest_count = 0;

    HrPlatform_ReadQueryField(call->target, "id", id, sizeof(id));
    HrPlatform_ReadQueryField(call->target, "prefix", prefix, sizeof(prefix));
    server = find_server(id);
    for (i = 0; i < site.run_count; i++) {
        if (id[0] == '\0'
                ? strncmp(site.runs[i].id, prefix, strlen(prefix)) == 0
                : strcmp(site.runs[i].id, id) == 0) {
            highest_count = site.runs[i].count > highest_count
                                ? site.runs[i].count
                                : highest_count;
        }
    }
    return json_pack("{s:i,s:i,s:I,s:I,s:I,s:i,s:i}", "runs",
                     server != NULL ? (int)server->runs : (int)highest_count,
                     "declined", server != NULL ? (int)server->declined : 0,
                     "calls", (json_int_t)site.store_call_count,
                     "gateway_reads", (json_int_t)site.gateway_read_count,
                     "lease_calls", (json_int_t)site.lease_call_count, "port",
                     server != NULL ? (int)server->port : 0, "gateways",
                     (int)FakeSite_CountLeased("hickoryrouter/vm/"));
}

/* Records what an attempt of a request states about its caller. */
static void
record_identity(const HrH1Call *call, const char *id)
{
    Identity *identity = &site.identities[site.identity_count];
    uint32_t i;

    if (site.identity_count == IDENTITIES_MAX) {
        return;
    }
    site.identity_count++;
    snprintf(identity->id, sizeof(identity->id), "%s", id);
    for (i = 0; i < call->headers.count; i++) {
        const char *name = HrHeaders_GetName(&call->headers, i);

        if (strcasecmp(name, "hickoryrouter-tenant") == 0) {
            identity->tenant_lines++;
            snprintf(identity->tenant, sizeof(identity->tenant), "%s",
                     HrHeaders_GetValue(&call->headers, i));
        }
        identity->authorization_lines +=
            strcasecmp(name, "authorization") == 0;
    }
}

/* Returns how many attempts the request with an id had, how many of them named
 * the given tenant once and no other, and how many had an Authorization
 * header. */
static json_t *
build_identity_json(const HrH1Call *call)
{
    char id[40], tenant[64];
    uint32_t attempts = 0, matching = 0, authorized = 0, i;

    HrPlatform_ReadQueryField(call->target, "id", id, sizeof(id));
    HrPlatform_ReadQueryField(call->target, "tenant", tenant, sizeof(tenant));
    for (i = 0; i < site.identity_count; i++) {
        const Identity *identity = &site.identities[i];

        if (strcmp(identity->id, id) == 0) {
            attempts++;
            matching += strcmp(identity->tenant, tenant) == 0 &&
                        identity->tenant_lines == (tenant[0] != '\0');
            authorized += identity->authorization_lines > 0;
        }
    }
    return json_pack("{s:i,s:i,s:i}", "attempts", (int)attempts, "matching",
                     (int)matching, "authorized", (int)authorized);
}

/* Writes the routes that the body of a call contains. */
static void
write_posted_routes(const HrH1Call *call)
{
    char *text = talloc_strndup(NULL, (const char *)call->body.data,
                                call->body.length_bytes);

    FakeSite_WriteDocument("op/config", text);
    talloc_free(text);
}

/* Removes the entries of all servers, as when they expire. The next heartbeat
 * writes them again. */
static void
remove_server_entries(void)
{
    uint32_t i;

    for (i = 0; i < site.server_count; i++) {
        char key[64];

        snprintf(key, sizeof(key), "servers/%s", site.servers[i].id);
        FakeSite_WriteKey(key, NULL, 0);
    }
}

/* Sets or removes the key that evacuates the zone which a call names. */
static void
set_evacuation(const HrH1Call *call, bool evacuated)
{
    char zone[160], key[192];

    HrPlatform_ReadQueryField(call->target, "zone", zone, sizeof(zone));
    snprintf(key, sizeof(key), "op/evacuate/%s", zone);
    if (evacuated) {
        FakeSite_WriteDocument(key, "1");
    }
    else {
        FakeSite_WriteKey(key, NULL, 0);
    }
}

/* Handles a control call of a test: /test/runs returns counts of runs,
 * /test/identity what attempts stated about their caller, /test/document
 * writes the routes in its body,
 * /test/server sets the behaviour of a server, and /test/store sets that of
 * the store to the given mode (busy, silent, or lose: see
 * store_drops_answers), or discards its history of changes (forget) or the
 * entries of all servers (lapse), or makes it state its era (era), copies its
 * state (copy), or restores it from the copy (restore, overtake), or sets or
 * removes the key that evacuates a zone (evacuate, return). Any other path
 * writes a new version of the routes, with the limits that the call states
 * (see set_limits). */
void
FakeSite_HandleTestCall(HrH1Call *call)
{
    char mode[32], timeout[16];

    HrPlatform_ReadQueryField(call->target, "mode", mode, sizeof(mode));
    if (strncmp(call->target, "/test/runs", 10) == 0) {
        FakeSite_SendJson(call, 200, build_runs_json(call));
        return;
    }
    if (strncmp(call->target, "/test/identity", 14) == 0) {
        FakeSite_SendJson(call, 200, build_identity_json(call));
        return;
    }
    if (strncmp(call->target, "/test/document", 14) == 0) {
        write_posted_routes(call);
        FakeSite_SendJson(call, 200, json_object());
    }
    else if (strncmp(call->target, "/test/server", 12) == 0) {
        FakeSite_SendJson(call, set_server_mode(call), json_object());
    }
    else if (strncmp(call->target, "/test/store", 11) == 0) {
        site.store_busy = strcmp(mode, "busy") == 0;
        site.store_silent = strcmp(mode, "silent") == 0;
        site.store_drops_answers = strcmp(mode, "lose") == 0;
        if (strcmp(mode, "forget") == 0) {
            site.event_count = 0;
        }
        if (strcmp(mode, "lapse") == 0) {
            remove_server_entries();
        }
        if (strcmp(mode, "era") == 0) {
            site.era = 1;
        }
        if (strcmp(mode, "copy") == 0) {
            FakeSite_CopyStore();
        }
        if (strcmp(mode, "restore") == 0) {
            FakeSite_RestoreStore();
        }
        if (strcmp(mode, "evacuate") == 0 || strcmp(mode, "return") == 0) {
            set_evacuation(call, strcmp(mode, "evacuate") == 0);
        }
        if (strcmp(mode, "overtake") == 0) {
            /* Restores the store, and writes routes and so much else before
             * any call that the revisions exceed those of the era before. */
            FakeSite_RestoreStore();
            write_routes(true, 0);
            site.revision += OVERTAKE_REVISIONS;
        }
        FakeSite_SendJson(call, 200, json_object());
    }
    else {
        HrPlatform_ReadQueryField(call->target, "timeout", timeout,
                                  sizeof(timeout));
        set_limits(call);
        write_routes(strcmp(mode, "extra") == 0,
                     (uint32_t)strtoul(timeout, NULL, 10));
        FakeSite_SendJson(
            call, 200,
            json_pack("{s:I}", "version", (json_int_t)site.version));
    }
    FakeSite_AnswerWatches();
}

/* Counts one run of a request. */
static void
count_run(Server *server, const char *id)
{
    uint32_t i;

    server->runs++;
    for (i = 0; i < site.run_count; i++) {
        if (strcmp(site.runs[i].id, id) == 0) {
            site.runs[i].count++;
            return;
        }
    }
    if (site.run_count < RUNS_MAX) {
        snprintf(site.runs[i].id, sizeof(site.runs[i].id), "%s", id);
        site.runs[site.run_count++].count = 1;
    }
}

/* Returns the header lines in which a server states something about itself. */
static const char *
get_statement(const Server *server)
{
    switch (server->mode) {
    case SERVER_LEAVING:
        return "Server-Leaving: 1\r\n";
    case SERVER_LOADED:
        return "Hickoryrouter-Server-Load: 1, 0, 2, 100\r\n"
               "Hickoryrouter-Cold-Remaining: 200\r\n";
    case SERVER_GARBLED:
        return "Hickoryrouter-Server-Load: 1;0;2\r\n"
               "Hickoryrouter-Cold-Remaining: soon\r\n";
    case SERVER_OK:
    case SERVER_SHED:
    case SERVER_SILENT:
    case SERVER_ERROR:
    case SERVER_SLOW:
    case SERVER_BUSY:
    case SERVER_STATUS:
    case SERVER_LARGE:
    case SERVER_LINES:
    case SERVER_PAUSED:
    case SERVER_QUEUE:
        break;
    }
    return "";
}

/* Writes the header lines of a server, with the id of the request in place of
 * each "$". */
static void
write_answer_lines(const Server *server, const char *id, char *buf,
                   size_t buf_bytes)
{
    const char *at = server->answer_lines;
    size_t used = 0;

    buf[0] = '\0';
    for (; *at != '\0' && used + 1 < buf_bytes; at++) {
        if (*at != '$') {
            buf[used++] = *at;
            buf[used] = '\0';
            continue;
        }
        snprintf(buf + used, buf_bytes - used, "%s", id);
        used += strlen(buf + used);
    }
}

/* Answers a request that has run, with three records that name the service. */
static void
send_run_answer(const Server *server, HrH1Call *call)
{
    const char *id =
        HrHeaders_FindValue(&call->headers, "Hickoryrouter-Request-Id");
    HrH1Answer answer = {.status = server->mode == SERVER_ERROR  ? 500
                                   : server->mode == SERVER_BUSY ? 503
                                   : server->mode == SERVER_STATUS ||
                                           server->mode == SERVER_LINES
                                       ? server->answer_status
                                       : 200};
    char head[1024], body[49];
    uint32_t i;

    for (i = 0; i < 3; i++) {
        snprintf(body + (size_t)i * 16, 17, "record-%02u-%02u-%02u",
                 server->service, i, i);
        body[i * 16 + 15] = '.';
    }
    snprintf(head, sizeof(head),
             "Hickoryrouter-Request-Id: %s\r\n"
             "Hickoryrouter-Response-Seal: seal-%s-%u\r\n"
             "X-Target: %s %s\r\nX-Body-Bytes: %zu\r\n%s",
             id, id, server->service, call->method, call->target,
             call->body.length_bytes, get_statement(server));
    if (server->mode == SERVER_LINES) {
        write_answer_lines(server, id, head, sizeof(head));
    }
    answer.head.data = (const uint8_t *)head;
    answer.head.length_bytes = strlen(head);
    answer.body.data = (const uint8_t *)body;
    answer.body.length_bytes = 48;
    if (server->mode == SERVER_LARGE) {
        static const uint8_t large_body[LARGE_ANSWER_BYTES];

        answer.body.data = large_body;
        answer.body.length_bytes = sizeof(large_body);
    }
    HrH1Call_Answer(call, &answer);
}

/* Schedules the answer to a request. */
static void
delay_call(Server *server, HrH1Call *call, int64_t due_ns)
{
    uint32_t i;

    for (i = 0; i < SLOW_CALLS_MAX; i++) {
        if (site.slow[i].call == NULL) {
            site.slow[i] = (SlowCall){call, server, due_ns};
            return;
        }
    }
}

/* Returns the slot of a server that is free first. */
static int64_t *
find_first_free_slot(Server *server)
{
    int64_t *first = &server->slot_free_ns[0];
    uint32_t i;

    for (i = 1; i < SERVER_SLOTS; i++) {
        first = server->slot_free_ns[i] < *first ? &server->slot_free_ns[i]
                                                 : first;
    }
    return first;
}

/* Returns true if the queue of a server is full. */
static bool
is_queue_full(const Server *server)
{
    uint32_t waiting = 0, i;

    for (i = 0; i < SLOW_CALLS_MAX; i++) {
        waiting += site.slow[i].call != NULL && site.slow[i].server == server;
    }
    return waiting >= SERVER_SLOTS + SERVER_QUEUE_LENGTH;
}

/* Schedules the answer to a request for when a slot has worked on it. */
static void
queue_call(Server *server, HrH1Call *call, const char *id)
{
    int64_t now_ns = HrLoop_NowNs(site.loop);
    int64_t *free_ns = find_first_free_slot(server);
    uint32_t hash = 2166136261u;

    for (; *id != '\0'; id++) {
        hash = (hash ^ (uint8_t)*id) * 16777619u;
    }
    *free_ns = (*free_ns > now_ns ? *free_ns : now_ns) +
               (SERVER_WORK_MIN_MS +
                hash % (SERVER_WORK_MAX_MS - SERVER_WORK_MIN_MS)) *
                   HR_NS_PER_MS;
    delay_call(server, call, *free_ns);
}

/* Answers the delayed requests that are due. */
static void
answer_slow_calls(int64_t now_ns)
{
    uint32_t i;

    for (i = 0; i < SLOW_CALLS_MAX; i++) {
        SlowCall *slow = &site.slow[i];
        HrH1Call *call = slow->call;

        if (call != NULL && now_ns >= slow->due_ns) {
            slow->call = NULL;
            send_run_answer(slow->server, call);
        }
    }
}

/* Handles a request to a server. */
static void
handle_server_call(void *arg, HrH1Call *call)
{
    Server *server = arg;
    const char *id =
        HrHeaders_FindValue(&call->headers, "Hickoryrouter-Request-Id");
    const char *expected =
        HrHeaders_FindValue(&call->headers, "Hickoryrouter-Expected-Instance");
    bool declines = server->mode == SERVER_SHED ||
                    server->mode == SERVER_PAUSED ||
                    (server->mode == SERVER_QUEUE && is_queue_full(server));
    HrH1Answer answer = {0};
    char head[192];

    record_identity(call, id != NULL ? id : "");
    if (id == NULL ||
        (expected != NULL && strcmp(expected, server->id) != 0) || declines) {
        server->declined++;
        snprintf(head, sizeof(head),
                 "Hickoryrouter-Not-Executed: 1\r\n%s%s%s%s",
                 id != NULL ? "Hickoryrouter-Request-Id: " : "",
                 id != NULL ? id : "", id != NULL ? "\r\n" : "",
                 server->mode == SERVER_PAUSED ? "Retry-After: 1.5\r\n" : "");
        answer.status = id == NULL ? 400 : declines ? 503 : 421;
        answer.head.data = (const uint8_t *)head;
        answer.head.length_bytes = strlen(head);
        HrH1Call_Answer(call, &answer);
        return;
    }
    count_run(server, id);
    switch (server->mode) {
    case SERVER_SILENT:
    case SERVER_SHED:
    case SERVER_PAUSED:
        break;
    case SERVER_SLOW:
        delay_call(server, call,
                   HrLoop_NowNs(site.loop) + SLOW_ANSWER_DELAY_NS);
        break;
    case SERVER_QUEUE:
        queue_call(server, call, id);
        break;
    case SERVER_OK:
    case SERVER_ERROR:
    case SERVER_BUSY:
    case SERVER_STATUS:
    case SERVER_LEAVING:
    case SERVER_LOADED:
    case SERVER_GARBLED:
    case SERVER_LARGE:
    case SERVER_LINES:
        send_run_answer(server, call);
        break;
    }
}

/* Removes a delayed request whose caller has disconnected. */
static void
remove_slow_call(void *arg, HrH1Call *call)
{
    uint32_t i;

    (void)arg;
    for (i = 0; i < SLOW_CALLS_MAX; i++) {
        if (site.slow[i].call == call) {
            site.slow[i].call = NULL;
        }
    }
}

/* Ends expired leases, renews the entries of the servers, and answers the
 * watches and delayed requests that are due. */
static void
handle_tick(void *arg)
{
    int64_t now_ns = HrLoop_NowNs(site.loop);
    uint32_t i;

    (void)arg;
    for (i = 0; i < LEASES_MAX; i++) {
        if (site.leases[i].id != 0 && now_ns >= site.leases[i].expires_ns) {
            FakeSite_EndLease(&site.leases[i]);
        }
    }
    if (now_ns >= site.next_heartbeat_ns) {
        site.next_heartbeat_ns = now_ns + HEARTBEAT_PERIOD_NS;
        for (i = 0; i < site.server_count; i++) {
            if (site.servers[i].listed) {
                write_server_entry(&site.servers[i]);
            }
        }
    }
    FakeSite_AnswerWatches();
    answer_slow_calls(now_ns);
    HrLoop_SetTimer(site.loop, site.tick_timer, now_ns + TICK_PERIOD_NS);
}

/* Starts the servers on ports that the kernel chooses. */
static void
start_servers(const HrH1Limits *limits)
{
    uint32_t i;

    site.server_count = site.service_count * site.replica_count;
    for (i = 0; i < site.server_count; i++) {
        Server *server = &site.servers[i];
        HrError err = {0};

        server->service = i / site.replica_count;
        server->replica = i % site.replica_count;
        server->listed = true;
        server->zone = 'a';
        snprintf(server->id, sizeof(server->id), "i-%u-%u", server->service,
                 server->replica);
        server->listener = HrH1Server_Create(
            site.loop, site.loop, "127.0.0.1:0", CONNECTIONS_MAX, limits,
            handle_server_call, remove_slow_call, server, &err);
        if (server->listener == NULL) {
            fprintf(stderr, "fake-site: %s\n", err.message);
            exit(EXIT_FAILURE);
        }
        server->port = HrH1Server_GetPort(server->listener);
        write_server_entry(server);
    }
}

/* Runs the stand-in: fake-site STORE-ADDRESS SERVICES REPLICAS. */
int
main(int argc, char **argv)
{
    const HrH1Limits limits = {8 << 20, 8 << 20, 60000, 60000};
    HrError err = {0};

    if (argc != 4) {
        fprintf(stderr, "usage: fake-site STORE-ADDRESS SERVICES REPLICAS\n");
        return EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    site.clock = HrClock_MakeSystem();
    site.loop = HrLoop_Create(NULL, &site.clock);
    site.service_count = (uint32_t)strtoul(argv[2], NULL, 10);
    site.replica_count = (uint32_t)strtoul(argv[3], NULL, 10);
    if (site.service_count < 2 || site.replica_count < 1 ||
        site.service_count * site.replica_count > SERVERS_MAX) {
        fprintf(stderr,
                "fake-site: use 2 services or more, and at most %u "
                "servers\n",
                SERVERS_MAX);
        return EXIT_FAILURE;
    }
    site.limits = (HrH1Limits){16384, 65536, 3000, 15000};
    start_servers(&limits);
    write_routes(false, 0);
    site.tick_timer = HrLoop_AddTimer(site.loop, handle_tick, NULL);
    site.store = HrH1Server_Create(
        site.loop, site.loop, argv[1], CONNECTIONS_MAX, &limits,
        FakeSite_HandleStoreCall, FakeSite_RemoveWatch, NULL, &err);
    if (site.store == NULL) {
        fprintf(stderr, "fake-site: %s\n", err.message);
        return EXIT_FAILURE;
    }
    handle_tick(NULL);
    HrLoop_Run(site.loop);
    return EXIT_SUCCESS;
}
