#ifndef HR_COORD_ZONE_H
#define HR_COORD_ZONE_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"

/* Decides for one service which share of its attempts this daemon sends to
 * servers in other zones although its own zone has servers. It compares the
 * time that an attempt takes inside and outside the zone, as this daemon
 * observes them, with the cost of leaving the zone. No network, no clock. */

/* Cost of a server in another zone unless a setting states it, relative to a
 * request at an idle server. Less than that of one more request at a server
 * with two slots, so that requests go elsewhere when the servers of this zone
 * are busy. */
#define HR_ZONE_COST_DEFAULT 0.35

/* Recent durations of attempts; failed ones count as longer. */
typedef struct HrZoneSamples {
    uint32_t count; /* since the last gap; saturates */
    double mean_ns; /* exponentially weighted */
    double variance_ns2;
    double failed_ratio; /* exponentially weighted */
    int64_t last_ns;     /* time of the newest sample */
} HrZoneSamples;

/* The state of one service. All zero: no observation. */
typedef struct HrZoneTraffic {
    HrZoneSamples inside;
    HrZoneSamples outside;
    double base_ns; /* duration of an attempt without load; 0: not known */
    double share;   /* of the attempts that leave the zone, from 0 to below 1;
                       in addition to those that leave by the cost of single
                       servers */
    int64_t next_decision_ns;
    uint32_t new_samples;      /* since the last decision */
    bool is_growth_planned;    /* the last decision found a growth worth it */
    double previous_inside_ns; /* mean at the last decision */
} HrZoneTraffic;

/* The load of one side, inside or outside the zone. */
typedef struct HrZoneLoad {
    uint32_t servers; /* usable ones */
    uint32_t slots;
    uint32_t outstanding; /* attempts of this daemon */
} HrZoneLoad;

/* Records the end of an attempt inside or outside the zone. */
void HrZoneTraffic_RecordAttempt(HrZoneTraffic *traffic, bool outside,
                                 bool failed, int64_t duration_ns,
                                 int64_t now_ns);

/* Returns true if a decision on the share is due; the caller then determines
 * the loads and calls HrZoneTraffic_Decide. */
bool HrZoneTraffic_IsDecisionDue(const HrZoneTraffic *traffic, int64_t now_ns);

/* Decides on the share. zone_cost is the cost of leaving the zone beyond the
 * time, as a multiple of the duration of an attempt without load. Returns true
 * if the share has changed. */
bool HrZoneTraffic_Decide(HrZoneTraffic *traffic, const HrZoneLoad *inside,
                          const HrZoneLoad *outside, double zone_cost,
                          HrRng *rng, int64_t now_ns);

/* Returns true if the next attempt leaves the zone. rng is used only while the
 * share is above 0. */
bool HrZoneTraffic_DrawLeave(const HrZoneTraffic *traffic, HrRng *rng);

/* Returns the time that leaving the zone saves, as a multiple of the duration
 * of an attempt without load; negative if it costs time. */
double HrZoneTraffic_EstimateSaving(const HrZoneTraffic *traffic,
                                    const HrZoneLoad *inside,
                                    const HrZoneLoad *outside, int64_t now_ns);

#endif
