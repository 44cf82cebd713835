#include "daemon-metrics.h"

#include <inttypes.h>
#include <talloc.h>

/* Formats all counters in the Prometheus text format of GET /metrics. */
char *
HrMetrics_Format(const void *parent, const HrCounters *counters)
{
    char *text = talloc_strdup(parent, "");
    int id;

    for (id = 0; id < HR_COUNTER_COUNT && text != NULL; id++) {
        const HrCounterInfo *info = HrCounters_GetInfo((HrCounterId)id);

        text = talloc_asprintf_append_buffer(
            text,
            "# HELP hickoryrouter_%s %s\n"
            "# TYPE hickoryrouter_%s counter\n"
            "hickoryrouter_%s %" PRIu64 "\n",
            info->name, info->meaning, info->name, info->name,
            HrCounters_GetValue(counters, (HrCounterId)id));
    }
    return text;
}
