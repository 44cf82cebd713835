#ifndef HR_COORD_ENTRY_H
#define HR_COORD_ENTRY_H

#include <stdint.h>

#include "base-rng.h"
#include "coord-types.h"

/* Most addresses in one entry list. */
#define HR_ENTRY_MAX 8

/* Longest time that callers may cache a list. A daemon that shuts down keeps
 * accepting requests for that long. */
#define HR_ENTRY_TTL_MAX_MS 12000

/* How lists are composed; see HrEntryConfig_GetDefaults(). */
typedef struct HrEntryConfig {
    uint32_t list_length;   /* at most HR_ENTRY_MAX */
    uint32_t ttl_ms;        /* while no member is suspect or leaving */
    uint32_t ttl_change_ms; /* while a member is suspect or leaving */
    uint32_t same_data_centre_factor; /* multiplies the weight of members in
                                       the caller's data centre */
    uint32_t min_weight; /* least weight, because load reports lag */
} HrEntryConfig;

/* Location of the caller. NULL or "" in a field stands for the location of
 * this daemon. */
typedef struct HrEntryRequest {
    const char *data_centre;
    const char *region;
} HrEntryRequest;

/* One daemon that callers can send requests to. */
typedef struct HrEntry {
    char address[HR_ADDRESS_BYTES];
    char data_centre[HR_NAME_BYTES];
    uint32_t weight;
} HrEntry;

/* The answer to GET /v1/entries. Callers use the first address that works, and
 * ask for a new list after ttl_ms. */
typedef struct HrEntryList {
    HrEntry entries[HR_ENTRY_MAX];
    uint32_t entry_count;
    uint32_t ttl_ms;
} HrEntryList;

/* Sets all fields to their default values. */
void HrEntryConfig_GetDefaults(HrEntryConfig *config);

/* Composes a list for one caller. Its order is random, with weights, and is
 * drawn anew for each list, so that the callers of a failed daemon spread over
 * the others. Members of the caller's region come first. Suspect members are
 * listed only if there are no healthy ones, and leaving members only if there
 * are no suspect ones either. */
void HrEntryList_Build(const HrEntryConfig *config, const HrMemberView *view,
                       const HrEntryRequest *request, HrRng *rng,
                       HrEntryList *list);

#endif
