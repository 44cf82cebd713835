#ifndef HR_CTL_TARGETS_H
#define HR_CTL_TARGETS_H

#include "ctl-options.h"

/* The daemons that a command sends requests to. */
typedef struct CtlTargets {
    const char **addresses; /* of operator listeners, "IP:PORT" */
    uint32_t count;
    /* Text for messages about each member that is not dead but whose operator
     * address no named daemon has. Such members count as daemons that do not
     * answer. */
    const char **unknown;
    uint32_t unknown_count;
} CtlTargets;

/* Returns the named daemons or, if all is true, every member that is not dead
 * according to the named daemons. Returns NULL after printing an error. The
 * result belongs to parent. */
CtlTargets *CtlTargets_Find(const void *parent, const CtlOptions *options,
                            bool all);

/* Prints an error for each member whose operator address is unknown. Returns
 * status, the exit status of the command, but CTL_EXIT_UNREACHABLE instead of
 * success if there is such a member. */
int CtlTargets_ReportUnknown(const CtlTargets *targets, int status);

#endif
