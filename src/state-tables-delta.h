#ifndef HR_STATE_TABLES_DELTA_H
#define HR_STATE_TABLES_DELTA_H

#include <stdbool.h>
#include <stdint.h>

#include "base-error.h"
#include "state-tables.h"

/* Returns the rows, tombstones and edits that are newer than from_revision, as
 * a talloc child of parent, or NULL when memory runs out. The delta has the
 * revision of tables; its digest covers only its own rows and must not be
 * compared. */
HrTables *HrTables_BuildDelta(const void *parent, const HrTables *tables,
                              uint64_t from_revision);

/* Returns the current tables (NULL: none) with a delta applied, as a talloc
 * child of parent. If full is set, the delta contains all rows and current is
 * ignored. On failure returns NULL and fills err: HR_ERR_STALE if the digest
 * of the result differs from digest, in which case the caller needs the full
 * tables; HR_ERR_NO_MEMORY; or an error of HrTables_Check(). */
HrTables *HrTables_ApplyDelta(const void *parent, const HrTables *current,
                              const HrTables *delta, bool full,
                              uint64_t digest, HrError *err);

#endif
