#ifndef HR_COORD_ENTRY_H
#define HR_COORD_ENTRY_H

#include <stdint.h>

#include "base-rng.h"
#include "coord-types.h"

#define HR_ENTRY_MAX 8

/* Callers keep a list at most this long; a drain waits for it. */
#define HR_ENTRY_TTL_MAX_MS 12000

/* How lists are composed; HrEntryConfig_Default() yields the designed one. */
typedef struct HrEntryConfig {
    uint32_t list_length;   /* at most HR_ENTRY_MAX */
    uint32_t ttl_ms;        /* in a quiet cluster */
    uint32_t ttl_change_ms; /* while a member is suspect or leaving */
    uint32_t near_factor;   /* weight of the caller's own data centre */
    uint32_t min_weight;    /* load reports lag, so no weight is lower */
} HrEntryConfig;

/* Where the caller is; NULL or "" means where this daemon is. */
typedef struct HrEntryRequest {
    const char *data_centre;
    const char *region;
} HrEntryRequest;

/* One address for callers. */
typedef struct HrEntry {
    char address[HR_ADDRESS_BYTES];
    char data_centre[HR_NAME_BYTES];
    uint32_t weight;
} HrEntry;

/* The answer to GET /v1/entries: use the first address that works. */
typedef struct HrEntryList {
    HrEntry entries[HR_ENTRY_MAX];
    uint32_t entry_count;
    uint32_t ttl_ms;
} HrEntryList;

/* Fills in the designed values. */
void HrEntryConfig_Default(HrEntryConfig *config);

/* Composes a list for one caller: a weighted random order, drawn for each
 * list, so that the callers of a lost address spread over the others. Members
 * of the caller's region come first; suspect ones and then leaving ones appear
 * only when nothing else is left. */
void HrEntryList_Build(const HrEntryConfig *config, const HrMemberView *view,
                       const HrEntryRequest *request, HrRng *rng,
                       HrEntryList *list);

#endif
