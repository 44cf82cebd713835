#ifndef HR_PROTO_BURN_H
#define HR_PROTO_BURN_H

#include <stddef.h>

#include "coord-burn-report.h"

/* JSON codec of the reports on service-level objectives, GET /v1/burn. */

/* Limit for the length of an encoded report. */
#define HR_BURN_REPORT_MAX_BYTES (64u << 20)
/* Limit for the entries of a report. An entry needs 41 KB of memory, so a
 * decoded report needs at most 21 MB. */
#define HR_BURN_MAX_ENTRIES 512

/* Returns a report as JSON text, which is a talloc child of parent. It
 * includes the burn rates and the quantiles of each minute, which are computed
 * from the counts. Returns NULL when out of memory. */
char *HrBurnReport_Encode(const void *parent, const HrBurnReport *report);

/* Decodes a report into *report, a talloc child of parent. The burn rates,
 * quantiles and coverage in the text are not stored, since they can be
 * computed from the counts. Returns 0, or a negative HR_ERR_* with NULL in
 * *report and a message with the remedy in err. */
int HrBurnReport_Decode(const void *parent, const char *text,
                        size_t length_bytes, HrBurnReport **report,
                        HrError *err);

#endif
