#ifndef HR_DAEMON_QUERY_H
#define HR_DAEMON_QUERY_H

#include "daemon-task.h"

/* Initializes a query task: the admission of queries, their gathers and their
 * answers. Returns 0 or HR_ERR_NO_MEMORY. */
int HrQueryTask_Init(HrTask *task);

#endif
