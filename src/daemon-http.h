#ifndef HR_DAEMON_HTTP_H
#define HR_DAEMON_HTTP_H

#include "daemon-task.h"

/* Prepares the HTTP task: the caller listener and the operator listener.
 * Returns 0 or a negative number with err filled. */
int HrHttpTask_Init(HrTask *task, HrError *err);

/* Returns the port of a listener. */
uint16_t HrHttpTask_Port(const HrTask *task, HrListenerId listener);

#endif
