#ifndef HR_CTL_BURN_H
#define HR_CTL_BURN_H

#include <stdbool.h>
#include <stdio.h>

#include "coord-burn-report.h"
#include "ctl-options.h"

/* Runs "burn": merges the burn reports of every member that is not dead and
 * prints burn rates and plots. Returns the exit status. */
int CtlBurn_RunCommand(const CtlOptions *options);

/* Prints the burn rates and plots of a report for people. */
void CtlBurn_PrintReport(FILE *out, const HrBurnReport *report);

/* Returns true if the error budget of any objective in the report burns too
 * fast. */
bool CtlBurn_HasFastRate(const HrBurnReport *report);

#endif
