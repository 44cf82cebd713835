#ifndef HR_CTL_TABLES_H
#define HR_CTL_TABLES_H

#include <jansson.h>

#include "ctl-options.h"
#include "state-tables.h"

/* The tables as a daemon holds them, and edits of them. */

/* Reads the tables from the first daemon that answers. Returns NULL when an
 * error was printed. */
HrTables *CtlTables_Fetch(const void *parent, const CtlOptions *options);

/* Reads a file with one or both tables; a table that is left out is taken from
 * current. *revision is the one that the file names, or that of current.
 * Returns NULL when an error was printed. */
HrTables *CtlTables_ReadFile(const void *parent, const char *path,
                             const HrTables *current, uint64_t *revision);

/* Starts the body of an edit with its id, operator, base and summary. */
json_t *CtlEdit_Start(const CtlOptions *options, uint64_t based_on,
                      const char *summary);

/* Checks the body, sends it, prints the outcome and, with --wait, waits.
 * Frees the body and returns the exit status. */
int CtlEdit_Submit(const CtlOptions *options, json_t *body);

/* Asks a daemon to restore the tables it holds to the store. */
int CtlEdit_Restore(const CtlOptions *options);

/* Waits until a revision is in force on every member and prints on how many
 * it is. Returns the exit status. */
int CtlWait_Run(const CtlOptions *options, uint64_t revision);

#endif
