#ifndef HR_STATE_TABLES_JSON_H
#define HR_STATE_TABLES_JSON_H

#include <jansson.h>
#include <stddef.h>

#include "base-error.h"
#include "state-tables-edit.h"
#include "state-tables.h"

/* JSON text of the tables. A server is an object, or an array of its values
 * in the order name, address, data_centre, group and, when true, leaving. The
 * store value uses the array, because 13,000 servers as objects would exceed
 * its limit of 1 MB. Readers take both. */
typedef enum HrTablesForm {
    HR_TABLES_FORM_STORE,    /* compact, with tombstones */
    HR_TABLES_FORM_OPERATOR, /* servers as objects, without tombstones */
} HrTablesForm;

/* Reads tables with revision, digest, routes, pools, history and (optional)
 * tombstones, checks every field and the digest. source names the file or
 * sender in the message. Returns NULL and fills err for bad input. */
HrTables *HrTables_FromJson(const void *parent, const char *text,
                            size_t length_bytes, const char *source,
                            HrError *err);

/* Returns the JSON object of the tables, or NULL when memory runs out. */
json_t *HrTables_ToJson(const HrTables *tables, HrTablesForm form);

/* Returns the text of the store value as a talloc child of parent, or NULL
 * when memory runs out. */
char *HrTables_ToStoreText(const void *parent, const HrTables *tables);

/* Returns the JSON object of one row or history entry. */
json_t *HrRoute_ToJson(const HrRoute *route);
/* Returns a pool as JSON; NULL when memory runs out. */
json_t *HrPool_ToJson(const HrPool *pool, HrTablesForm form);
/* Returns a history entry as JSON; NULL when memory runs out. */
json_t *HrEditRecord_ToJson(const HrEditRecord *record);

/* Reads the body of an edit: edit_id, operator, based_on, summary and any of
 * set_routes, set_pools, delete_routes, delete_pools, replace. Rows are
 * checked one by one; the whole is checked when the edit is applied. */
HrTablesEdit *HrTablesEdit_FromJson(const void *parent, const char *text,
                                    size_t length_bytes, const char *source,
                                    HrError *err);

/* Returns the JSON object of an edit, as HrTablesEdit_FromJson() reads it. */
json_t *HrTablesEdit_ToJson(const HrTablesEdit *edit);

#endif
