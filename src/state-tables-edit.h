#ifndef HR_STATE_TABLES_EDIT_H
#define HR_STATE_TABLES_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "state-tables.h"

/* An edit of the tables that an operator requests. */
typedef struct HrTablesEdit {
    const char *edit_id; /* chosen by the client; a retry has the same id */
    const char *operator_name;
    const char *summary;
    uint64_t based_on; /* revision that the operator has read */
    bool replace;      /* delete all rows that the edit does not set */
    HrRoute *set_routes;
    uint32_t set_route_count;
    HrPool *set_pools;
    uint32_t set_pool_count;
    const char **delete_routes;
    uint32_t delete_route_count;
    const char **delete_pools;
    uint32_t delete_pool_count;
} HrTablesEdit;

/* Returns the old tables (NULL: none) with the edit applied, at the next
 * revision. The result has passed HrTables_Check(); it is a talloc child of
 * parent and shares no memory with old or edit. wall_ms is the wall time since
 * 1970. Returns NULL and fills err for an invalid edit or when memory runs
 * out. */
HrTables *HrTablesEdit_Apply(const void *parent, const HrTables *old,
                             const HrTablesEdit *edit, int64_t wall_ms,
                             HrError *err);

/* Returns true if a row that the edit sets or deletes has changed since
 * edit->based_on, or if that revision is older than the history. An edit with
 * replace set affects every row, so it conflicts with any later revision. */
bool HrTablesEdit_HasConflict(const HrTables *current,
                              const HrTablesEdit *edit);

/* Number of revisions that a restore adds. Before the value in the store was
 * lost, the store may have accepted edits that this daemon never received; the
 * restored tables must be newer than those. */
#define HR_RESTORE_REVISION_GAP 1024

/* Returns the tables that restore the value of the store: a copy of the
 * current tables without expired tombstones and with a history entry for the
 * restore, at a revision that is HR_RESTORE_REVISION_GAP higher. wall_ms is
 * the wall time since 1970. Returns NULL when memory runs out. */
HrTables *HrTables_BuildRestore(const void *parent, const HrTables *current,
                                const char *edit_id, const char *operator_name,
                                int64_t wall_ms);

/* Returns a deep copy of the edit as a talloc child of parent, or NULL when
 * memory runs out for its rows. If it runs out later, other strings or arrays
 * of names are NULL in the copy. */
HrTablesEdit *HrTablesEdit_Copy(const void *parent, const HrTablesEdit *edit);

#endif
