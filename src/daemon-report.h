#ifndef HR_DAEMON_REPORT_H
#define HR_DAEMON_REPORT_H

#include "daemon-task.h"

struct HrSchedGroup;

/* Sends the figures of a scheduling task to the control task, as part of the
 * collection with a number. groups is a hash. */
void HrReport_SendSched(HrTask *task, uint64_t number,
                        const struct HrSchedGroup *groups);

/* Sends a JSON text as the part of a task. */
void HrReport_Send(HrTask *task, uint64_t number, const char *section,
                   const char *json_text);

#endif
