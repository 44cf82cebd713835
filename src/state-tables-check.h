#ifndef HR_STATE_TABLES_CHECK_H
#define HR_STATE_TABLES_CHECK_H

#include "base-error.h"
#include "state-tables.h"

#define HR_ROUTES_MAX 1024
#define HR_POOLS_MAX 1024
/* Servers of all pools. The design size is 13,000; more than 18,000 would
 * exceed the store's limit of 1 MB per value. */
#define HR_SERVERS_MAX 18000

/* Checks finalized tables: the fields of every row, the limits above,
 * duplicate row names, kinds, server names and addresses, and routes to pools
 * that do not exist. Error messages about a row or limit start with source,
 * the name of the file or sender. Returns 0, or the error kind after filling
 * err. */
int HrTables_Check(const HrTables *tables, const char *source, HrError *err);

/* Checks each row by itself, and the limits on the numbers of rows, but does
 * not compare rows with each other. Used for a delta, whose routes may name
 * pools that it does not include. */
int HrTables_CheckRows(const HrTables *tables, const char *source,
                       HrError *err);

#endif
