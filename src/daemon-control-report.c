#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coord-burn-report.h"
#include "daemon-control-state.h"
#include "proto-burn.h"

/* How long an operator request waits for the reports of the tasks. Reports
 * that are received later are left out. */
#define COLLECTION_TIMEOUT_NS HR_NS_PER_S
#define COLLECTIONS_MAX 64

/* An operator request that waits for the reports of other tasks. */
typedef struct ReportCollection {
    struct ReportCollection *next;
    HrControlReports *owner;
    uint64_t number; /* in the messages to and from the tasks */
    HrListenerId listener;
    uint64_t http_number; /* of the HTTP exchange */
    const char *path;
    uint32_t expected_count;
    uint32_t received_count;
    json_t *groups;     /* of the scheduling tasks */
    HrBurnReport *burn; /* sum of the query tasks */
    HrLoopTimer *timer;
} ReportCollection;

struct HrControlReports {
    HrControl *control;
    ReportCollection *collections;
    uint32_t count;
    uint64_t last_number;
};

/* Returns the servers of all groups in one list, each with its pool and
 * group. */
static json_t *
flatten_servers(const json_t *groups)
{
    json_t *list = json_array();
    const json_t *group, *server;
    size_t i, j;

    json_array_foreach((json_t *)groups, i, group)
    {
        const json_t *servers = json_object_get(group, "servers");

        json_array_foreach((json_t *)servers, j, server)
        {
            json_t *item = json_copy((json_t *)server);

            json_object_set(item, "pool", json_object_get(group, "pool"));
            json_object_set(item, "group", json_object_get(group, "group"));
            json_array_append_new(list, item);
        }
    }
    return list;
}

/* Returns the connections of every server. */
static json_t *
list_connections(const json_t *groups)
{
    static const char *const names[] = {
        "pool",       "group", "name", "connections", "connection_limit",
        "outstanding"};
    json_t *servers = flatten_servers(groups), *list = json_array();
    const json_t *server;
    size_t i, j;

    json_array_foreach(servers, i, server)
    {
        json_t *item = json_object();

        for (j = 0; j < sizeof(names) / sizeof(names[0]); j++) {
            json_object_set(item, names[j], json_object_get(server, names[j]));
        }
        json_array_append_new(list, item);
    }
    json_decref(servers);
    return list;
}

/* Returns the groups without their servers. */
static json_t *
list_queues(const json_t *groups)
{
    json_t *list = json_array();
    const json_t *group;
    size_t i;

    json_array_foreach((json_t *)groups, i, group)
    {
        json_t *item = json_copy((json_t *)group);

        json_object_del(item, "servers");
        json_array_append_new(list, item);
    }
    return list;
}

/* Returns the report on the burn rates of the objectives as a JSON object. */
static json_t *
encode_burn_report(ReportCollection *collection)
{
    const char *text = HrBurnReport_Encode(collection, collection->burn);
    json_t *value = text != NULL ? json_loads(text, 0, NULL) : NULL;

    return value != NULL ? value : json_object();
}

/* Returns the answer to the request of a collection. */
static json_t *
compose_answer(ReportCollection *collection)
{
    const char *path = collection->path;

    if (strcmp(path, "/v1/servers") == 0) {
        return json_pack("{s:o}", "servers",
                         flatten_servers(collection->groups));
    }
    if (strcmp(path, "/v1/connections") == 0) {
        return json_pack("{s:o}", "connections",
                         list_connections(collection->groups));
    }
    if (strcmp(path, "/v1/queues") == 0) {
        return json_pack("{s:o}", "queues", list_queues(collection->groups));
    }
    return encode_burn_report(collection);
}

/* Answers the operator with the reports received so far, and frees the
 * collection. */
static void
finish_collection(ReportCollection *collection)
{
    HrControlReports *reports = collection->owner;
    ReportCollection **link = &reports->collections;

    while (*link != collection) {
        link = &(*link)->next;
    }
    *link = collection->next;
    reports->count--;
    HrControl_SendJsonAnswer(reports->control, collection->listener,
                             collection->http_number, 200,
                             compose_answer(collection));
    json_decref(collection->groups);
    HrLoop_RemoveTimer(reports->control->task->loop, collection->timer);
    talloc_free(collection);
}

/* Ends a collection whose tasks have not all reported in time. */
static void
handle_collection_timeout(void *arg)
{
    finish_collection(arg);
}

/* Requests the report of one task. */
static void
request_report(ReportCollection *collection, HrTask *to)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_REPORT_REQUEST);

    if (message != NULL) {
        message->u.report.number = collection->number;
        collection->expected_count++;
    }
    HrTask_PostMessage(collection->owner->control->task, to, message);
}

/* Creates a collection, or returns NULL if there are too many or allocation
 * fails. */
static ReportCollection *
create_collection(HrControlReports *reports, const HrMessage *request)
{
    HrTask *task = reports->control->task;
    ReportCollection *collection;

    if (reports->count >= COLLECTIONS_MAX) {
        return NULL;
    }
    collection = talloc_zero(reports, ReportCollection);
    if (collection == NULL) {
        return NULL;
    }
    collection->owner = reports;
    collection->number = ++reports->last_number;
    collection->listener = request->u.request.listener;
    collection->http_number = request->u.request.number;
    collection->path = talloc_strdup(collection, request->u.request.path);
    collection->groups = json_array();
    collection->burn = HrBurnReport_Create(
        collection, HrTime_ToNs(HrClock_GetWall(task->daemon->clock)));
    collection->timer =
        HrLoop_AddTimer(task->loop, handle_collection_timeout, collection);
    if (collection->path == NULL || collection->groups == NULL ||
        collection->burn == NULL || collection->timer == NULL) {
        json_decref(collection->groups);
        HrLoop_RemoveTimer(task->loop, collection->timer);
        talloc_free(collection);
        return NULL;
    }
    collection->next = reports->collections;
    reports->collections = collection;
    reports->count++;
    return collection;
}

/* Creates the report part. Returns NULL when out of memory. */
HrControlReports *
HrControlReports_Create(HrControl *control)
{
    HrControlReports *reports = talloc_zero(control, HrControlReports);

    if (reports != NULL) {
        reports->control = control;
        control->reports = reports;
    }
    return reports;
}

/* Requests the reports that an operator request needs. */
void
HrControlReports_StartCollection(HrControlReports *reports,
                                 const HrMessage *request)
{
    HrTask *task = reports->control->task;
    HrDaemon *daemon = task->daemon;
    ReportCollection *collection = create_collection(reports, request);
    bool wants_burn = strcmp(request->u.request.path, "/v1/burn") == 0;
    uint32_t i;

    if (collection == NULL) {
        HrControl_SendJsonAnswer(reports->control, request->u.request.listener,
                                 request->u.request.number, 503,
                                 json_pack("{s:s}", "error",
                                           "too many requests at "
                                           "once: repeat it later"));
        return;
    }
    for (i = 0; wants_burn && i < daemon->query_count; i++) {
        request_report(collection, daemon->query[i]);
    }
    for (i = 0; !wants_burn && i < daemon->sched_count; i++) {
        request_report(collection, daemon->sched[i]);
    }
    HrLoop_SetTimer(task->loop, collection->timer,
                    HrLoop_NowNs(task->loop) + COLLECTION_TIMEOUT_NS);
}

/* Adds the groups that a scheduling task has reported. */
static void
add_group_reports(ReportCollection *collection, const char *text)
{
    json_t *groups = json_loads(text, 0, NULL);

    if (json_is_array(groups)) {
        json_array_extend(collection->groups, groups);
    }
    json_decref(groups);
}

/* Merges the report of a query task into the sum. The number of daemons stays
 * 1, because all tasks belong to this daemon. */
static void
add_burn_report(ReportCollection *collection, const char *text)
{
    HrBurnReport *part = NULL;

    if (HrBurnReport_Decode(collection, text, strlen(text), &part, NULL) ==
        HR_OK) {
        HrBurnReport_Merge(collection->burn, part);
        collection->burn->daemons = 1;
    }
}

/* Adds the report of one task to its collection. */
void
HrControlReports_AddReport(HrControlReports *reports, const HrMessage *report)
{
    ReportCollection *collection = reports->collections;
    const char *text = report->u.report.text;

    while (collection != NULL &&
           collection->number != report->u.report.number) {
        collection = collection->next;
    }
    if (collection == NULL) {
        return;
    }
    if (text != NULL && strcmp(report->u.report.section, "burn") == 0) {
        add_burn_report(collection, text);
    }
    else if (text != NULL) {
        add_group_reports(collection, text);
    }
    collection->received_count++;
    if (collection->received_count >= collection->expected_count) {
        finish_collection(collection);
    }
}
