#ifndef HR_CTL_TABLES_H
#define HR_CTL_TABLES_H

#include <jansson.h>

#include "ctl-options.h"
#include "state-tables.h"

/* Reads a daemon's tables and submits edits of them. */

/* Fetches the tables from the first named daemon that answers; they are empty
 * if it has none yet. Returns NULL after printing an error. The tables belong
 * to parent. */
HrTables *CtlTables_Fetch(const void *parent, const CtlOptions *options);

/* Reads a JSON file with one or both tables; "-" is standard input. A table
 * that the file omits is copied from current. Sets *revision to the revision
 * in the file, or to that of current if it has none. Returns NULL after
 * printing an error. The tables belong to parent. */
HrTables *CtlTables_ReadFile(const void *parent, const char *path,
                             const HrTables *current, uint64_t *revision);

/* Creates the JSON body of an edit with its id, operator, base revision and
 * summary. Options override based_on and summary; the id is random unless
 * --edit-id is given. Returns NULL after printing an error if a text is not
 * UTF-8. The caller frees the body. */
json_t *CtlEdit_CreateBody(const CtlOptions *options, uint64_t based_on,
                           const char *summary);

/* Checks the body of an edit, sends it and prints the outcome; with --wait
 * also waits until the edit is in force. Frees the body. Returns the exit
 * status. */
int CtlEdit_SubmitBody(const CtlOptions *options, json_t *body);

/* Runs "restore": requests that a daemon write the tables it holds to a store
 * that is empty, damaged or older. Returns the exit status. */
int CtlEdit_RunRestore(const CtlOptions *options);

/* Waits until a revision is in force on every member that is not dead or
 * --timeout has passed. Prints on how many members it is in force. Returns the
 * exit status. */
int CtlWait_WaitForRevision(const CtlOptions *options, uint64_t revision);

#endif
