#ifndef HR_DAEMON_SCHED_H
#define HR_DAEMON_SCHED_H

#include "daemon-task.h"

/* Prepares a scheduling task, which owns the shard groups that hash to it.
 * Returns 0 or HR_ERR_NO_MEMORY. */
int HrSchedTask_Init(HrTask *task);

#endif
