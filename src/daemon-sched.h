#ifndef HR_DAEMON_SCHED_H
#define HR_DAEMON_SCHED_H

#include "daemon-task.h"

/* Initializes a scheduling task, which owns the shard groups that
 * HrDaemon_GetSchedTask assigns to it by their hash. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrSchedTask_Init(HrTask *task);

#endif
