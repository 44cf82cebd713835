#ifndef HR_DAEMON_PEER_H
#define HR_DAEMON_PEER_H

#include "daemon-task.h"

/* Initializes the peer task: the listening socket and the links to other
 * daemons. Returns 0, or a negative error number with err filled in. */
int HrPeerTask_Init(HrTask *task, HrError *err);

/* Returns the TCP port that the task listens on. */
uint16_t HrPeerTask_GetPort(const HrTask *task);

#endif
