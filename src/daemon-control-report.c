#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coord-burn-report.h"
#include "daemon-control-state.h"
#include "proto-burn.h"

/* A task that does not report within this is left out. */
#define COLLECT_NS HR_NS_PER_S
#define COLLECTIONS_MAX 64

/* One operator request that needs reports of other tasks. */
typedef struct Collection {
    struct Collection *next;
    HrControlReports *owner;
    uint64_t number;
    HrListenerId listener;
    uint64_t http_number;
    const char *path;
    uint32_t expected;
    uint32_t received;
    json_t *groups;     /* of the scheduling tasks */
    HrBurnReport *burn; /* sum of the query tasks */
    HrLoopTimer *timer;
} Collection;

struct HrControlReports {
    HrControl *control;
    Collection *collections;
    uint32_t count;
    uint64_t last_number;
};

/* Picks fields of a group's servers, or of the groups, into a flat list. */
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

/* Returns the objectives' report. */
static json_t *
encode_burn(Collection *collection)
{
    const char *text = HrBurnReport_Encode(collection, collection->burn);
    json_t *value = text != NULL ? json_loads(text, 0, NULL) : NULL;

    return value != NULL ? value : json_object();
}

/* Returns the answer of a collection. */
static json_t *
compose_answer(Collection *collection)
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
    return encode_burn(collection);
}

/* Answers the operator and forgets the collection. */
static void
finish_collection(Collection *collection)
{
    HrControlReports *reports = collection->owner;
    Collection **link = &reports->collections;

    while (*link != collection) {
        link = &(*link)->next;
    }
    *link = collection->next;
    reports->count--;
    HrControl_AnswerJson(reports->control, collection->listener,
                         collection->http_number, 200,
                         compose_answer(collection));
    json_decref(collection->groups);
    HrLoop_RemoveTimer(reports->control->task->loop, collection->timer);
    talloc_free(collection);
}

/* Answers with what has arrived. */
static void
fire_timeout(void *arg)
{
    finish_collection(arg);
}

/* Asks one task for its report. */
static void
ask_task(Collection *collection, HrTask *to)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_REPORT_REQUEST);

    if (message != NULL) {
        message->u.report.number = collection->number;
        collection->expected++;
    }
    HrTask_Post(collection->owner->control->task, to, message);
}

/* Creates a collection; NULL when there is no room. */
static Collection *
create_collection(HrControlReports *reports, const HrMessage *request)
{
    HrTask *task = reports->control->task;
    Collection *collection;

    if (reports->count >= COLLECTIONS_MAX) {
        return NULL;
    }
    collection = talloc_zero(reports, Collection);
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
        collection, HrTime_ToNs(HrClock_Wall(task->daemon->clock)));
    collection->timer = HrLoop_AddTimer(task->loop, fire_timeout, collection);
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

/* Creates the part. */
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

/* Starts to collect what a request needs. */
void
HrControlReports_Start(HrControlReports *reports, const HrMessage *request)
{
    HrTask *task = reports->control->task;
    HrDaemon *daemon = task->daemon;
    Collection *collection = create_collection(reports, request);
    bool burn = strcmp(request->u.request.path, "/v1/burn") == 0;
    uint32_t i;

    if (collection == NULL) {
        HrControl_AnswerJson(reports->control, request->u.request.listener,
                             request->u.request.number, 503,
                             json_pack("{s:s}", "error",
                                       "too many requests at "
                                       "once: repeat it later"));
        return;
    }
    for (i = 0; burn && i < daemon->query_count; i++) {
        ask_task(collection, daemon->query[i]);
    }
    for (i = 0; !burn && i < daemon->sched_count; i++) {
        ask_task(collection, daemon->sched[i]);
    }
    HrLoop_SetTimer(task->loop, collection->timer,
                    HrLoop_NowNs(task->loop) + COLLECT_NS);
}

/* Adds the part of a scheduling task. */
static void
add_groups(Collection *collection, const char *text)
{
    json_t *groups = json_loads(text, 0, NULL);

    if (json_is_array(groups)) {
        json_array_extend(collection->groups, groups);
    }
    json_decref(groups);
}

/* Adds the part of a query task. All tasks belong to one daemon. */
static void
add_burn(Collection *collection, const char *text)
{
    HrBurnReport *part = NULL;

    if (HrBurnReport_Decode(collection, text, strlen(text), &part, NULL) ==
        HR_OK) {
        HrBurnReport_Merge(collection->burn, part);
        collection->burn->daemons = 1;
    }
}

/* Adds the report of one task. */
void
HrControlReports_Add(HrControlReports *reports, const HrMessage *report)
{
    Collection *collection = reports->collections;
    const char *text = report->u.report.text;

    while (collection != NULL &&
           collection->number != report->u.report.number) {
        collection = collection->next;
    }
    if (collection == NULL) {
        return;
    }
    if (text != NULL && strcmp(report->u.report.section, "burn") == 0) {
        add_burn(collection, text);
    }
    else if (text != NULL) {
        add_groups(collection, text);
    }
    collection->received++;
    if (collection->received >= collection->expected) {
        finish_collection(collection);
    }
}
