#ifndef HR_COORD_EVACUATION_H
#define HR_COORD_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

/* The zones whose servers the operator has taken out of use, and those that
 * have come back. Their servers get a share of the attempts that grows in
 * steps, so that a zone does not get all its traffic at once. */
typedef struct HrEvacuation HrEvacuation;

/* One zone that is or was evacuated. */
typedef struct HrEvacuatedZone {
    const char *name;
    bool evacuated;
    int64_t returned_ns; /* first attempt after the evacuation; 0: none yet */
} HrEvacuatedZone;

/* Creates an empty set. Returns NULL if there is not enough memory. */
HrEvacuation *HrEvacuation_Create(const void *parent);

/* Called with each zone whose evacuation has begun or ended. */
typedef void HrEvacuationChangeFn(void *arg, const HrEvacuatedZone *zone);

/* Sets the evacuated zones. Calls fn for each change. A zone for which memory
 * runs out is left as it is; returns false then. */
bool HrEvacuation_SetZones(HrEvacuation *evacuation, const char *const *zones,
                           uint32_t count, HrEvacuationChangeFn *fn,
                           void *arg);

/* Returns a zone, or NULL if it was never evacuated. The pointer is valid as
 * long as the set. */
HrEvacuatedZone *HrEvacuation_FindZone(const HrEvacuation *evacuation,
                                       const char *name);

/* Returns the share of the attempts that may be made at servers of a zone,
 * from 0 to 1. The growth begins at the first call after the evacuation. */
double HrEvacuatedZone_GetShare(HrEvacuatedZone *zone, int64_t now_ns);

#endif
