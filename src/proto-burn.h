#ifndef HR_PROTO_BURN_H
#define HR_PROTO_BURN_H

#include <stddef.h>

#include "coord-burn-report.h"

/* JSON of service-level objective reports, GET /v1/burn. */

#define HR_BURN_REPORT_MAX_BYTES (64u << 20)
/* An entry takes 42 KB, so a decoded report takes at most 21 MB. */
#define HR_BURN_MAX_ENTRIES 512

/* Encodes a report, with the burn rates and the quantiles of each minute, as a
 * talloc child of parent; NULL when memory runs out. */
char *HrBurnReport_Encode(const void *parent, const HrBurnReport *report);

/* Decodes a report, which becomes a talloc child of parent. Rates and
 * quantiles are derived again from the counts. Returns 0 or a negative
 * HR_ERR_* with a message that names the remedy. */
int HrBurnReport_Decode(const void *parent, const char *text,
                        size_t length_bytes, HrBurnReport **report,
                        HrError *err);

#endif
