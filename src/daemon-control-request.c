#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coord-entry.h"
#include "daemon-control-state.h"
#include "state-tables-json.h"

/* Returns a daemon id as a JSON string, because JSON numbers cannot hold
 * 64-bit ids. */
static json_t *
encode_daemon_id(uint64_t id)
{
    char text[24];

    snprintf(text, sizeof(text), "%016" PRIx64, id);
    return json_string(text);
}

/* Returns the answer to GET /v1/entries: the daemons that a caller at the
 * location in the request, by default that of this daemon, should use. */
static json_t *
describe_entries(HrControl *control, const HrMessage *request)
{
    const HrDaemon *daemon = control->task->daemon;
    const HrMemberView *view = HrSnapshots_GetMemberView(daemon->snapshots);
    HrEntryRequest location = {request->u.request.data_centre,
                               request->u.request.region};
    json_t *entries = json_array();
    HrEntryConfig config;
    HrEntryList list;
    uint32_t i;

    memset(&list, 0, sizeof(list));
    HrEntryConfig_GetDefaults(&config);
    config.ttl_ms = daemon->settings->entries_keep_ms;
    if (config.ttl_change_ms > config.ttl_ms) {
        config.ttl_change_ms = config.ttl_ms;
    }
    if (location.data_centre == NULL) {
        location.data_centre = daemon->settings->data_centre;
    }
    if (location.region == NULL) {
        location.region = daemon->settings->region;
    }
    if (view != NULL) {
        HrEntryList_Build(&config, view, &location, &control->task->rng,
                          &list);
    }
    for (i = 0; i < list.entry_count; i++) {
        json_array_append_new(entries,
                              json_pack("{s:s,s:s,s:i}", "address",
                                        list.entries[i].address, "data_centre",
                                        list.entries[i].data_centre, "weight",
                                        (int)list.entries[i].weight));
    }
    return json_pack("{s:o,s:i}", "entries", entries, "ttl_ms",
                     (int)list.ttl_ms);
}

/* Returns the state of the store, as observed by this daemon. */
static json_t *
describe_store(const HrControl *control)
{
    int64_t answered_ns;
    bool up = HrStoreClient_IsUp(control->store, &answered_ns);
    int64_t now_ns = HrLoop_NowNs(control->task->loop);

    return json_pack(
        "{s:b,s:o}", "up", up, "answered_age_ms",
        answered_ns == HR_TIME_NEVER
            ? json_null()
            : json_integer((now_ns - answered_ns) / HR_NS_PER_MS));
}

/* Returns the values of all counters by name. */
static json_t *
describe_counters(const HrCounters *counters)
{
    json_t *object = json_object();
    int id;

    for (id = 0; id < HR_COUNTER_COUNT; id++) {
        json_object_set_new(object, HrCounters_GetInfo((HrCounterId)id)->name,
                            json_integer((json_int_t)HrCounters_GetValue(
                                counters, (HrCounterId)id)));
    }
    return object;
}

/* Returns the answer to GET /v1/status. */
static json_t *
describe_status(HrControl *control)
{
    const HrDaemon *daemon = control->task->daemon;
    const HrMemberView *view = HrSnapshots_GetMemberView(daemon->snapshots);
    int64_t up_ns = HrLoop_NowNs(control->task->loop) - control->started_ns;

    return json_pack(
        "{s:o,s:I,s:s,s:s,s:s,s:s,s:I,s:s,s:i,s:i,s:o,s:o,s:o,s:o,s:o}",
        "daemon_id", encode_daemon_id(daemon->daemon_id), "incarnation",
        (json_int_t)daemon->incarnation, "version", HR_VERSION, "cluster",
        daemon->settings->cluster, "data_centre",
        daemon->settings->data_centre, "region", daemon->settings->region,
        "uptime_ms", (json_int_t)(up_ns / HR_NS_PER_MS), "drain",
        HrControlDrain_GetStepName(control->drain), "members",
        (int)(view != NULL ? view->member_count : 0), "open",
        (int)HrControl_GetOpenCount(control), "tables",
        HrControlConfig_DescribeStatus(control->config), "store",
        describe_store(control), "claims",
        HrControlClaims_DescribeStatus(control->claims), "maps",
        HrControlMaps_DescribePools(control->maps), "counters",
        describe_counters(daemon->counters));
}

/* Answers GET /readyz with what this daemon holds and how old it is. The
 * daemon is ready (status 200) if it holds tables and is not shutting down. */
static void
answer_readiness(HrControl *control, const HrMessage *request)
{
    const HrDaemon *daemon = control->task->daemon;
    const HrMemberView *view = HrSnapshots_GetMemberView(daemon->snapshots);
    bool draining = HrControlDrain_IsDraining(control->drain);
    bool ready =
        !draining && HrControlConfig_GetTables(control->config) != NULL;

    HrControl_SendJsonAnswer(
        control, request->u.request.listener, request->u.request.number,
        ready ? 200 : 503,
        json_pack("{s:b,s:b,s:i,s:o,s:o,s:o}", "ready", ready, "draining",
                  draining, "members",
                  (int)(view != NULL ? view->member_count : 0), "tables",
                  HrControlConfig_DescribeStatus(control->config), "store",
                  describe_store(control), "maps",
                  HrControlMaps_DescribePools(control->maps)));
}

/* Returns the answer to GET /v1/tables. */
static json_t *
describe_tables(HrControl *control)
{
    const HrTables *tables = HrControlConfig_GetTables(control->config);

    if (tables == NULL) {
        return json_pack("{s:i,s:s,s:[],s:[],s:[]}", "revision", 0, "digest",
                         "0000000000000000", "routes", "pools", "history");
    }
    return HrTables_ToJson(tables, HR_TABLES_FORMAT_OPERATOR);
}

/* Answers GET /v1/explain. */
static void
answer_explain(HrControl *control, const HrMessage *request)
{
    json_t *value = NULL;

    if (request->u.request.kind != NULL) {
        value = HrControl_ExplainRouting(control, request->u.request.kind,
                                         request->u.request.key);
    }
    if (value != NULL) {
        HrControl_SendJsonAnswer(control, request->u.request.listener,
                                 request->u.request.number, 200, value);
        return;
    }
    HrControl_SendJsonAnswer(
        control, request->u.request.listener, request->u.request.number, 404,
        json_pack("{s:s}", "error",
                  "name a kind that a route serves: ?kind=KIND&key=KEY"));
}

/* Returns the answer to a GET request without parameters, or NULL if the path
 * is not served here. */
static json_t *
describe_path(HrControl *control, const char *path)
{
    if (strcmp(path, "/v1/tables") == 0) {
        return describe_tables(control);
    }
    if (strcmp(path, "/v1/status") == 0) {
        return describe_status(control);
    }
    if (strcmp(path, "/v1/claims") == 0) {
        return HrControlClaims_DescribeStatus(control->claims);
    }
    if (strcmp(path, "/v1/config") == 0) {
        return HrControlConfig_DescribeStatus(control->config);
    }
    return NULL;
}

/* Returns true if the answer for a path needs reports of other tasks. */
static bool
needs_reports(const char *path)
{
    return strcmp(path, "/v1/servers") == 0 ||
           strcmp(path, "/v1/connections") == 0 ||
           strcmp(path, "/v1/queues") == 0 || strcmp(path, "/v1/burn") == 0;
}

/* Serves a GET request. Returns false if the path is not served. */
static bool
serve_get(HrControl *control, const HrMessage *request)
{
    const char *path = request->u.request.path;
    json_t *value;

    if (strcmp(path, "/v1/entries") == 0) {
        value = describe_entries(control, request);
    }
    else if (strcmp(path, "/readyz") == 0) {
        answer_readiness(control, request);
        return true;
    }
    else if (strcmp(path, "/v1/members") == 0) {
        HrControlContacts_AnswerMembers(control->contacts, request);
        return true;
    }
    else if (strcmp(path, "/v1/explain") == 0) {
        answer_explain(control, request);
        return true;
    }
    else if (needs_reports(path)) {
        HrControlReports_StartCollection(control->reports, request);
        return true;
    }
    else {
        value = describe_path(control, path);
    }
    if (value == NULL) {
        return false;
    }
    HrControl_SendJsonAnswer(control, request->u.request.listener,
                             request->u.request.number, 200, value);
    return true;
}

/* Serves a POST request. Returns false if the path is not served. */
static bool
serve_post(HrControl *control, const HrMessage *request)
{
    const char *path = request->u.request.path;

    if (strcmp(path, "/v1/tables") == 0) {
        HrControlEdits_StartEdit(control->edits, request, false);
        return true;
    }
    if (strcmp(path, "/v1/tables/restore") == 0) {
        HrControlEdits_StartEdit(control->edits, request, true);
        return true;
    }
    return false;
}

/* Serves an HTTP request of the caller or the operator listener. */
void
HrControl_ServeRequest(HrControl *control, const HrMessage *message)
{
    const char *method = message->u.request.method;
    bool served = false;

    if (strcmp(method, "GET") == 0) {
        served = serve_get(control, message);
    }
    else if (strcmp(method, "POST") == 0) {
        served = serve_post(control, message);
    }
    if (!served) {
        HrCounters_Add(control->task->daemon->counters,
                       HR_COUNTER_bad_requests, 1);
        HrControl_SendJsonAnswer(
            control, message->u.request.listener, message->u.request.number,
            404,
            json_pack("{s:s}", "error",
                      "this path or method is not served: see "
                      "hickoryrouterd(8)"));
    }
}
