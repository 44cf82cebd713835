#ifndef HR_CTL_TARGETS_H
#define HR_CTL_TARGETS_H

#include "ctl-options.h"

/* Whom a command asks. */
typedef struct CtlTargets {
    const char **addresses; /* operator listeners */
    uint32_t count;
    /* Members that are not dead but whose operator listener no named daemon
     * knows, as text for messages. They count as daemons that do not answer.
     */
    const char **unknown;
    uint32_t unknown_count;
} CtlTargets;

/* Lists the named daemons, or with all every member that is not dead, as the
 * named daemons know them. Returns NULL when an error was printed. */
CtlTargets *CtlTargets_Find(const void *parent, const CtlOptions *options,
                            bool all);

/* Prints an error for each member that cannot be asked. Returns the exit
 * status that follows from it, given that of the others. */
int CtlTargets_ReportUnknown(const CtlTargets *targets, int status);

#endif
