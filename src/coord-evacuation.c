#include "coord-evacuation.h"

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
    HrEvacuatedZone zone;
    UT_hash_handle hh;
} ZoneNode;

struct HrEvacuation {
    ZoneNode *zones; /* by name; zones are few and are kept */
};

/* Destructor of a set: frees its hash table. */
static int
destroy_evacuation(HrEvacuation *evacuation)
{
    HASH_CLEAR(hh, evacuation->zones);
    return 0;
}

HrEvacuation *
HrEvacuation_Create(const void *parent)
{
    HrEvacuation *evacuation = talloc_zero(parent, HrEvacuation);

    if (evacuation != NULL) {
        talloc_set_destructor(evacuation, destroy_evacuation);
    }
    return evacuation;
}

/* Adds a zone that is not evacuated. Returns NULL without memory. */
static ZoneNode *
add_zone(HrEvacuation *evacuation, const char *name)
{
    ZoneNode *node = talloc_zero(evacuation, ZoneNode);

    if (node == NULL) {
        return NULL;
    }
    node->zone.name = talloc_strdup(node, name);
    if (node->zone.name == NULL) {
        talloc_free(node);
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, evacuation->zones, node->zone.name,
                    strlen(node->zone.name), node);
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
HrEvacuation_SetZones(HrEvacuation *evacuation, const char *const *zones,
                      uint32_t count, HrEvacuationChangeFn *fn, void *arg)
{
    ZoneNode *node = NULL, *next = NULL;
    bool complete = true;
    uint32_t i;

    for (i = 0; i < count; i++) {
        HASH_FIND_STR(evacuation->zones, zones[i], node);
        if (node == NULL && add_zone(evacuation, zones[i]) == NULL) {
            complete = false;
        }
    }
    HASH_ITER (hh, evacuation->zones, node, next) {
        bool evacuated = contains(zones, count, node->zone.name);

        if (evacuated != node->zone.evacuated) {
            node->zone.evacuated = evacuated;
            node->zone.returned_ns = 0;
            fn(arg, &node->zone);
        }
    }
    return complete;
}

HrEvacuatedZone *
HrEvacuation_FindZone(const HrEvacuation *evacuation, const char *name)
{
    ZoneNode *node;

    HASH_FIND_STR(evacuation->zones, name, node);
    return node != NULL ? &node->zone : NULL;
}

double
HrEvacuatedZone_GetShare(HrEvacuatedZone *zone, int64_t now_ns)
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
