#ifndef HR_STATE_TABLES_CHECK_H
#define HR_STATE_TABLES_CHECK_H

#include "base-error.h"
#include "state-tables.h"

#define HR_ROUTES_MAX 1024
#define HR_POOLS_MAX 1024
/* 13,000 servers are planned for; more than 18,000 would not fit into the
 * store value of 1 MB. */
#define HR_SERVERS_MAX 18000

/* Checks sealed tables: every field, duplicate names, kinds, server names and
 * addresses, pool names that do not exist, and the caps. source names the
 * file or sender in the message. */
int HrTables_Check(const HrTables *tables, const char *source, HrError *err);

/* Checks each row of a delta, whose routes may name pools that it lacks. */
int HrTables_CheckRows(const HrTables *tables, const char *source,
                       HrError *err);

#endif
