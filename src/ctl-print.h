#ifndef HR_CTL_PRINT_H
#define HR_CTL_PRINT_H

#include <jansson.h>
#include <stdio.h>

#include "ctl-options.h"

/* Prints a JSON object for people: scalars as "key: value", then arrays of
 * objects as tables. Replaces control characters by "?", because the text
 * comes from the network and could otherwise control the terminal. */
void CtlPrint_Object(FILE *out, json_t *object);

/* Prints an array of objects as a table, "(none)" if no object has a field.
 * Columns are in the order in which the fields first appear, at most 64. */
void CtlPrint_Table(FILE *out, json_t *rows);

/* Prints a JSON value, indented by two spaces, and a newline. */
void CtlPrint_Json(FILE *out, json_t *value);

/* Fetches the report at an HTTP path from the named daemons, or with --all
 * from every member that is not dead, and prints the answers and the errors of
 * daemons that failed. Returns the exit status. */
int CtlPrint_FetchAndPrint(const CtlOptions *options, const char *path);

#endif
