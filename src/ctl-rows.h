#ifndef HR_CTL_ROWS_H
#define HR_CTL_ROWS_H

#include <jansson.h>

#include "ctl-options.h"
#include "state-tables.h"

/* The commands "routes" and "pools", which show and edit the rows of one
 * table. */

/* Runs "routes" or "pools" with a subcommand such as "get". Returns the exit
 * status. */
int CtlRows_RunCommand(const CtlOptions *options, HrTableKind table);

/* Applies the assignment FIELD=VALUE to the JSON of a row. In a pool,
 * server.NAME=ADDRESS,DATA_CENTRE,GROUP adds or replaces a server, an empty
 * value removes it, and server.NAME.leaving=true or =false marks whether it is
 * leaving. Returns false after printing an error. */
bool CtlAssign_ApplyToRow(json_t *row, HrTableKind table,
                          const char *assignment);

/* Returns a JSON object that maps the name of each row of a table to its JSON
 * without the revision. The caller frees it. */
json_t *CtlRows_ToMap(const HrTables *tables, HrTableKind table);

/* Prints how the rows of a table change from old_rows to new_rows, which are
 * objects from CtlRows_ToMap. name is the word for a row, "route" or "pool".
 * Returns the number of rows that differ. */
uint32_t CtlDiff_PrintChanges(json_t *old_rows, json_t *new_rows,
                              const char *name, bool as_json);

#endif
