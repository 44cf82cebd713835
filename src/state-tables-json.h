#ifndef HR_STATE_TABLES_JSON_H
#define HR_STATE_TABLES_JSON_H

#include <jansson.h>
#include <stddef.h>

#include "base-error.h"
#include "state-tables-edit.h"
#include "state-tables.h"

/* Format of the tables as JSON. A server is an object, or an array of the
 * values of name, address, data_centre, group and, if true, leaving. The store
 * value has arrays, because 13,000 servers as objects would exceed the store's
 * limit of 1 MB per value. The parser accepts both. */
typedef enum HrTablesFormat {
    HR_TABLES_FORMAT_STORE,    /* servers as arrays, with tombstones */
    HR_TABLES_FORMAT_OPERATOR, /* servers as objects, without tombstones */
} HrTablesFormat;

/* Parses and checks tables with the keys revision, digest, routes, pools,
 * tombstones and history, all of which are optional; revision and digest must
 * be given together. Messages about the text start with source, the name of
 * the file or sender. Returns the tables as a talloc child of parent, or NULL
 * after filling err for invalid input, a digest that does not match, or lack
 * of memory. */
HrTables *HrTables_ParseJson(const void *parent, const char *text,
                             size_t length_bytes, const char *source,
                             HrError *err);

/* Returns the JSON object of the tables, or NULL when memory runs out. The
 * caller owns the reference, as for all functions below that return a
 * json_t. */
json_t *HrTables_ToJson(const HrTables *tables, HrTablesFormat format);

/* Returns the tables as JSON text for the store, as a talloc child of parent,
 * or NULL when memory runs out. */
char *HrTables_ToStoreText(const void *parent, const HrTables *tables);

/* Returns a route as a JSON object, or NULL when memory runs out. */
json_t *HrRoute_ToJson(const HrRoute *route);
/* Returns a pool with its servers as a JSON object, or NULL when memory runs
 * out. */
json_t *HrPool_ToJson(const HrPool *pool, HrTablesFormat format);
/* Returns a history entry as a JSON object, or NULL when memory runs out. */
json_t *HrEditRecord_ToJson(const HrEditRecord *record);

/* Parses an edit with the keys edit_id, operator, based_on, summary and
 * optionally set_routes, set_pools, delete_routes, delete_pools and replace.
 * Checks the fields of each row; HrTablesEdit_Apply() checks the rest. Returns
 * the edit as a talloc child of parent, or NULL after filling err. */
HrTablesEdit *HrTablesEdit_ParseJson(const void *parent, const char *text,
                                     size_t length_bytes, const char *source,
                                     HrError *err);

/* Returns the JSON object of an edit in the format that
 * HrTablesEdit_ParseJson() parses, or NULL when memory runs out. */
json_t *HrTablesEdit_ToJson(const HrTablesEdit *edit);

#endif
