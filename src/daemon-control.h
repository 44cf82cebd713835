#ifndef HR_DAEMON_CONTROL_H
#define HR_DAEMON_CONTROL_H

#include "daemon-task.h"

/* Prepares the control task: membership, configuration, claims, index maps,
 * entry list, shutdown and the operator's requests. exit_fd is an eventfd
 * that the task raises when the daemon shall exit. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrControlTask_Init(HrTask *task, int exit_fd);

#endif
