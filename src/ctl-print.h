#ifndef HR_CTL_PRINT_H
#define HR_CTL_PRINT_H

#include <jansson.h>
#include <stdio.h>

#include "ctl-options.h"

/* Prints a JSON object for people: scalars as "key: value", arrays of objects
 * as tables. Control characters are replaced, because the text comes from the
 * network. */
void CtlPrint_Object(FILE *out, json_t *object);

/* Prints an array of objects as a table; columns are in the order in which
 * fields first appear. */
void CtlPrint_Table(FILE *out, json_t *rows);

/* Prints JSON on one line per value. */
void CtlPrint_Json(FILE *out, json_t *value);

/* Asks the named daemons, or with --all every member, and prints the answers
 * and the errors of those that did not answer. Returns the exit status. */
int CtlPrint_Ask(const CtlOptions *options, const char *path);

#endif
