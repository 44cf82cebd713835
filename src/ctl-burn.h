#ifndef HR_CTL_BURN_H
#define HR_CTL_BURN_H

#include <stdbool.h>
#include <stdio.h>

#include "coord-burn-report.h"
#include "ctl-options.h"

/* Runs "burn": adds up the reports of every daemon and prints burn rates and
 * plots. Returns the exit status. */
int CtlBurn_Run(const CtlOptions *options);

/* Prints the burn rates and plots of a report. */
void CtlBurn_Print(FILE *out, const HrBurnReport *report);

/* Returns true if an objective of the report burns too fast. */
bool CtlBurn_IsFast(const HrBurnReport *report);

#endif
