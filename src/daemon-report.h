#ifndef HR_DAEMON_REPORT_H
#define HR_DAEMON_REPORT_H

#include "daemon-task.h"

struct HrSchedGroup;

/* Sends the statistics of a scheduling task to the control task. groups is the
 * hash of its shard groups. number is that of the HR_MESSAGE_REPORT_REQUEST.
 */
void HrReport_SendGroupStats(HrTask *task, uint64_t number,
                             const struct HrSchedGroup *groups);

/* Sends a JSON text as the report of a task to the control task. section is
 * "groups" or "burn" and must be a static string. number is that of the
 * HR_MESSAGE_REPORT_REQUEST. */
void HrReport_SendSection(HrTask *task, uint64_t number, const char *section,
                          const char *json_text);

#endif
