#ifndef HR_COORD_ZONE_RETURN_H
#define HR_COORD_ZONE_RETURN_H

#include <stdbool.h>
#include <stdint.h>

/* The zones whose servers the operator has taken out of use, and those that
 * have come back. Their servers get a share of the attempts that grows in
 * steps, so that a zone does not get all its traffic at once. */
typedef struct HrZoneReturnSet HrZoneReturnSet;

/* One zone that is or was evacuated. */
typedef struct HrZoneReturn {
    const char *name;
    bool evacuated;
    int64_t returned_ns; /* first attempt after the evacuation; 0: none yet */
} HrZoneReturn;

/* Creates an empty set. Returns NULL if there is not enough memory. */
HrZoneReturnSet *HrZoneReturnSet_Create(const void *parent);

/* Sets the evacuated zones. Returns false if memory ran out for some of them,
 * which are left as they are. */
bool HrZoneReturnSet_SetEvacuated(HrZoneReturnSet *set,
                                  const char *const *zones, uint32_t count);

/* Returns a zone, or NULL if it was never evacuated. The pointer is valid as
 * long as the set. */
HrZoneReturn *HrZoneReturnSet_FindZone(const HrZoneReturnSet *set,
                                       const char *name);

/* Returns the share of the attempts that may be made at servers of a zone,
 * from 0 to 1. The growth begins at the first call after the evacuation. */
double HrZoneReturn_GetShare(HrZoneReturn *zone, int64_t now_ns);

#endif
