#ifndef HR_DAEMON_CONTROL_H
#define HR_DAEMON_CONTROL_H

#include "daemon-task.h"

/* Sets up the control task, which runs membership, configuration, claims,
 * index maps, entry lists, shutdown and operator requests. exit_fd is an
 * eventfd that the task signals when the process has to exit. Returns 0 or
 * HR_ERR_NO_MEMORY. */
int HrControlTask_Init(HrTask *task, int exit_fd);

#endif
