#ifndef HR_DAEMON_RUN_H
#define HR_DAEMON_RUN_H

#include "base-error.h"
#include "state-settings.h"

/* Runs the daemon until a graceful shutdown has ended. Returns 0 or a negative
 * error number with err filled in. */
int HrDaemon_Run(const HrSettings *settings, HrError *err);

#endif
