#ifndef HR_CTL_ROWS_H
#define HR_CTL_ROWS_H

#include <jansson.h>

#include "ctl-options.h"
#include "state-tables.h"

/* The commands of one table: routes or pools. */

/* Runs "routes ..." or "pools ..."; returns the exit status. */
int CtlRows_Run(const CtlOptions *options, HrTableKind table);

/* Applies FIELD=VALUE to the JSON of a row. Servers of a pool are set with
 * server.NAME=ADDRESS,DATA_CENTRE,GROUP, removed with an empty value, and
 * marked with server.NAME.leaving=true. Returns false when an error was
 * printed. */
bool CtlAssign_Apply(json_t *row, HrTableKind table, const char *assignment);

/* Returns the JSON of the rows of a table by name, without revisions. */
json_t *CtlRows_ToMap(const HrTables *tables, HrTableKind table);

/* Prints how the rows of a table change from old to new, which are objects
 * from CtlRows_ToMap. Returns the number of rows that differ. */
uint32_t CtlDiff_Print(json_t *old_rows, json_t *new_rows, const char *name,
                       bool as_json);

#endif
