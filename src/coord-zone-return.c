#include "coord-zone-return.h"

#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "base-clock.h"

/* Steps in which the share of a zone grows after its evacuation, and the time
 * of each: long enough for a server to connect and for its first answers to
 * show whether it is cold or slow. */
#define RETURN_STEPS 8
#define RETURN_STEP_NS HR_NS_PER_S

typedef struct ZoneNode {
    HrZoneReturn zone;
    UT_hash_handle hh;
} ZoneNode;

struct HrZoneReturnSet {
    ZoneNode *zones; /* by name; zones are few and are kept */
};

/* Destructor of a set: frees its hash table. */
static int
destroy_set_of_zones(HrZoneReturnSet *set)
{
    HASH_CLEAR(hh, set->zones);
    return 0;
}

HrZoneReturnSet *
HrZoneReturnSet_Create(const void *parent)
{
    HrZoneReturnSet *set = talloc_zero(parent, HrZoneReturnSet);

    if (set != NULL) {
        talloc_set_destructor(set, destroy_set_of_zones);
    }
    return set;
}

/* Adds a zone that is not evacuated. Returns NULL without memory. */
static ZoneNode *
add_zone(HrZoneReturnSet *set, const char *name)
{
    ZoneNode *node = talloc_zero(set, ZoneNode);

    if (node == NULL) {
        return NULL;
    }
    node->zone.name = talloc_strdup(node, name);
    if (node->zone.name == NULL) {
        talloc_free(node);
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, set->zones, node->zone.name, strlen(node->zone.name),
                    node);
    return node;
}

/* Returns true if a name is in the list. */
static bool
contains(const char *const *zones, uint32_t count, const char *name)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (strcmp(zones[i], name) == 0) {
            return true;
        }
    }
    return false;
}

bool
HrZoneReturnSet_SetEvacuated(HrZoneReturnSet *set, const char *const *zones,
                             uint32_t count)
{
    ZoneNode *node = NULL, *next = NULL;
    bool complete = true;
    uint32_t i;

    for (i = 0; i < count; i++) {
        HASH_FIND_STR(set->zones, zones[i], node);
        if (node == NULL && add_zone(set, zones[i]) == NULL) {
            complete = false;
        }
    }
    HASH_ITER (hh, set->zones, node, next) {
        bool evacuated = contains(zones, count, node->zone.name);

        if (evacuated != node->zone.evacuated) {
            node->zone.evacuated = evacuated;
            node->zone.returned_ns = 0;
        }
    }
    return complete;
}

HrZoneReturn *
HrZoneReturnSet_FindZone(const HrZoneReturnSet *set, const char *name)
{
    ZoneNode *node;

    HASH_FIND_STR(set->zones, name, node);
    return node != NULL ? &node->zone : NULL;
}

double
HrZoneReturn_GetShare(HrZoneReturn *zone, int64_t now_ns)
{
    int64_t step;

    if (zone->evacuated) {
        return 0;
    }
    if (zone->returned_ns == 0) {
        zone->returned_ns = now_ns;
    }
    step = (now_ns - zone->returned_ns) / RETURN_STEP_NS + 1;
    return step < RETURN_STEPS ? (double)step / RETURN_STEPS : 1;
}
