#include "daemon-report.h"

#include <jansson.h>
#include <stdlib.h>

#include "daemon-sched-group.h"

/* Sends a JSON text as the report of a task to the control task. */
void
HrReport_SendSection(HrTask *task, uint64_t number, const char *section,
                     const char *json_text)
{
    HrMessage *message = HrMessage_Create(HR_MESSAGE_REPORT);

    if (message != NULL) {
        message->u.report.number = number;
        message->u.report.section = section;
        message->u.report.text = HrMessage_CopyText(message, json_text);
    }
    HrTask_PostMessage(task, task->daemon->control, message);
}

/* Returns the role of this daemon for a group, as shown to operators. */
static const char *
get_role_name(const HrSchedGroup *group)
{
    if (group->rank == 0) {
        return group->takeover_end_ns == 0 ? "scheduler" : "taking_over";
    }
    return group->rank > 0 ? "candidate" : "none";
}

/* Returns the statistics of the servers of a group as a JSON array. */
static json_t *
create_servers_json(const HrSchedGroup *group)
{
    int64_t now_ns = HrLoop_NowNs(group->task->loop);
    json_t *list = json_array();
    uint32_t i;

    for (i = 0; i < HrSched_GetServerCount(group->sched); i++) {
        HrSchedServerView view;

        HrSched_GetServer(group->sched, i, now_ns, &view);
        json_array_append_new(
            list,
            json_pack(
                "{s:s,s:s,s:b,s:b,s:b,s:i,s:i,s:i,s:i,s:I,s:I,s:I}", "name",
                view.name, "address", view.address, "leaving", view.leaving,
                "ejected", view.ejected, "backing_off", view.backing_off,
                "outstanding", (int)view.outstanding, "slot_limit",
                (int)view.slot_limit, "connections", (int)view.connections,
                "connection_limit", (int)view.connection_limit, "p50_us",
                (json_int_t)(view.p50_ns / HR_NS_PER_US), "p99_us",
                (json_int_t)(view.p99_ns / HR_NS_PER_US), "report_age_ms",
                (json_int_t)(view.report_age_ns == HR_TIME_NEVER
                                 ? -1
                                 : view.report_age_ns / HR_NS_PER_MS)));
    }
    return list;
}

/* Returns the statistics of a group as a JSON object. */
static json_t *
create_group_json(const HrSchedGroup *group)
{
    HrSchedStats stats;

    HrSched_GetStats(group->sched, &stats);
    return json_pack(
        "{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:f,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}",
        "pool", group->pool, "group", group->name, "role",
        get_role_name(group), "queued", (int)stats.queued, "open",
        (int)stats.open, "attempts", (int)stats.attempts, "slots",
        (int)stats.slots, "budget_tokens", stats.budget_tokens,
        "first_attempts", (json_int_t)stats.first_attempts, "hedges",
        (json_int_t)stats.hedges, "retries", (json_int_t)stats.retries,
        "sheds", (json_int_t)stats.sheds, "p50_us",
        (json_int_t)(stats.p50_ns / HR_NS_PER_US), "p95_us",
        (json_int_t)(stats.p95_ns / HR_NS_PER_US), "p99_us",
        (json_int_t)(stats.p99_ns / HR_NS_PER_US), "servers",
        create_servers_json(group));
}

/* Sends the statistics of the groups of a scheduling task to the control task.
 */
void
HrReport_SendGroupStats(HrTask *task, uint64_t number,
                        const HrSchedGroup *groups)
{
    json_t *list = json_array();
    const HrSchedGroup *group;
    char *text;

    for (group = groups; group != NULL; group = group->hh.next) {
        json_array_append_new(list, create_group_json(group));
    }
    text = json_dumps(list, JSON_COMPACT);
    json_decref(list);
    HrReport_SendSection(task, number, "groups", text);
    free(text);
}
