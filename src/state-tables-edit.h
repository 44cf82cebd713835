#ifndef HR_STATE_TABLES_EDIT_H
#define HR_STATE_TABLES_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "state-tables.h"

/* One edit of the tables, as an operator asks for it. */
typedef struct HrTablesEdit {
    const char *edit_id; /* chosen by the client, the same when it retries */
    const char *operator_name;
    const char *summary;
    uint64_t based_on; /* revision that the operator has seen */
    bool replace;      /* rows that the edit does not set are deleted */
    HrRoute *set_routes;
    uint32_t set_route_count;
    HrPool *set_pools;
    uint32_t set_pool_count;
    const char **delete_routes;
    uint32_t delete_route_count;
    const char **delete_pools;
    uint32_t delete_pool_count;
} HrTablesEdit;

/* Returns the tables that the edit makes out of old (NULL: none) at revision
 * old + 1, fully checked. The result is a talloc child of parent and shares
 * nothing with old or the edit. Returns NULL and fills err when the result
 * would be invalid. */
HrTables *HrTablesEdit_Apply(const void *parent, const HrTables *old,
                             const HrTablesEdit *edit, int64_t wall_ms,
                             HrError *err);

/* Returns true if a row that the edit touches has changed since
 * edit->based_on, or if that revision is too old to tell. For a replacing
 * edit every row counts. */
bool HrTablesEdit_Conflicts(const HrTables *current, const HrTablesEdit *edit);

/* A restore skips this many revisions, so that it is newer than an edit that
 * the lost store had accepted and that this daemon never heard of. */
#define HR_RESTORE_REVISION_GAP 1024

/* Returns the tables that restore what is held to the store, at a revision
 * HR_RESTORE_REVISION_GAP higher, or NULL when memory runs out. */
HrTables *HrTables_Restored(const void *parent, const HrTables *held,
                            const char *edit_id, const char *operator_name,
                            int64_t wall_ms);

/* Returns a copy of the edit as a talloc child of parent, or NULL when memory
 * runs out. */
HrTablesEdit *HrTablesEdit_Copy(const void *parent, const HrTablesEdit *edit);

#endif
