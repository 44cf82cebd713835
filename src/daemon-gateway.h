#ifndef HR_DAEMON_GATEWAY_H
#define HR_DAEMON_GATEWAY_H

#include "base-error.h"
#include "state-gateway-settings.h"

/* Runs a gateway, a daemon that forwards HTTP requests, until its graceful
 * shutdown has ended. path is the settings file, which SIGHUP checks again.
 * Returns HR_OK, or an error with a message in *err if the start failed. */
int HrGateway_Run(const HrGatewaySettings *settings, const char *path,
                  HrError *err);

#endif
