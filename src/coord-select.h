#ifndef HR_COORD_SELECT_H
#define HR_COORD_SELECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "coord-latency.h"

/* Number of free servers that are compared for one attempt. A group with no
 * more free servers than this is compared as a whole. */
#define HR_SELECT_SAMPLE_SIZE 4

/* What is known of one server when a replica is chosen. */
typedef struct HrServerStats {
    uint32_t outstanding; /* own attempts that occupy a slot */
    HrLatency latency;    /* of own attempts */
    /* The newest load report, and when it was requested. */
    int64_t report_ns;      /* HR_TIME_NEVER: none */
    uint32_t reported_load; /* running and queued, from all daemons */
    uint32_t outstanding_at_report;
} HrServerStats;

/* The servers of a group that have a free slot, to be sampled in constant
 * time whatever the size of the group. */
typedef struct HrFreeServers {
    uint32_t *free_list; /* indices of free servers, in no order */
    uint32_t *free_pos;  /* position of a server in free_list, or UINT32_MAX */
    uint32_t free_count;
    uint32_t server_count;
} HrFreeServers;

/* Initialises the set for a group without servers; nothing is allocated. */
void HrFreeServers_Init(HrFreeServers *servers);

/* Sets the number of servers and marks all as busy. The arrays are talloc
 * children of parent. Returns 0 or HR_ERR_NO_MEMORY. */
int HrFreeServers_Resize(HrFreeServers *servers, const void *parent,
                         uint32_t count);

/* Marks a server as free or busy; does nothing if it is so already. */
void HrFreeServers_SetFree(HrFreeServers *servers, uint32_t index,
                           bool is_free);

/* Picks up to HR_SELECT_SAMPLE_SIZE distinct free servers at random, and
 * returns their number. */
uint32_t HrFreeServers_Sample(const HrFreeServers *servers, HrRng *rng,
                              uint32_t indices[HR_SELECT_SAMPLE_SIZE]);

/* Initialises the statistics without latencies or a load report. */
void HrServerStats_Init(HrServerStats *stats);

/* Records a load report. It is ignored if it was requested before the newest
 * one. */
void HrServerStats_RecordReport(HrServerStats *stats, uint32_t running,
                                uint32_t queued, int64_t requested_ns);

/* Discards the load report and the latencies. Called when the server has
 * restarted. Attempts that are outstanding still count. */
void HrServerStats_Reset(HrServerStats *stats);

/* Estimates the time in nanoseconds until a new attempt would be answered.
 * The weight of a load report halves with its age, and its effect is bounded,
 * because it may be wrong. group_mean_ns is the mean latency of the group; 0
 * if not known. connect_ns is the time to open a connection; 0 when an idle
 * one can be used. */
double HrServerStats_EstimateLatency(const HrServerStats *stats,
                                     uint32_t slots, double group_mean_ns,
                                     int64_t connect_ns, int64_t now_ns);

#endif
