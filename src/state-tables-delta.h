#ifndef HR_STATE_TABLES_DELTA_H
#define HR_STATE_TABLES_DELTA_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "state-tables.h"

/* Returns the rows, tombstones and edits newer than a revision, at the
 * revision of tables, or NULL when memory runs out. The digest of a delta
 * means nothing. */
HrTables *HrTables_Delta(const void *parent, const HrTables *tables,
                         uint64_t from_revision);

/* Returns the tables that a delta makes out of those held (NULL: none). With
 * full the delta holds everything and what is held does not matter. Returns
 * NULL with HR_ERR_STALE when the result differs from digest: then only the
 * full tables help; NULL with another error when the rows are invalid. */
HrTables *HrTables_Merge(const void *parent, const HrTables *held,
                         const HrTables *delta, bool full, uint64_t digest,
                         HrError *err);

#endif
