#ifndef HR_DAEMON_HTTP_H
#define HR_DAEMON_HTTP_H

#include "daemon-task.h"

/* Initializes the HTTP task: the listeners for callers and for operators.
 * Returns 0, or a negative error number with err filled in. */
int HrHttpTask_Init(HrTask *task, HrError *err);

/* Returns the TCP port that a listener is bound to. */
uint16_t HrHttpTask_GetPort(const HrTask *task, HrListenerId listener);

#endif
