#ifndef HR_CTL_QUERY_H
#define HR_CTL_QUERY_H

#include "ctl-options.h"

/* Runs "query": sends one query to a caller listener and prints the answer.
 * Returns the exit status. */
int CtlQuery_RunCommand(const CtlOptions *options);

/* Runs "explain": prints how daemons would route a request, without sending
 * it. Returns the exit status. */
int CtlQuery_RunExplain(const CtlOptions *options);

#endif
