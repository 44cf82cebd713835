#ifndef HR_DAEMON_QUERY_H
#define HR_DAEMON_QUERY_H

#include "daemon-task.h"

/* Prepares a query task: admission, gathers and their answers. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrQueryTask_Init(HrTask *task);

#endif
