#ifndef HR_COORD_SELECT_H
#define HR_COORD_SELECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base-rng.h"
#include "coord-latency.h"

/* Candidates that are compared for one attempt. Groups of up to this many
 * free servers are compared as a whole. */
#define HR_SELECT_SAMPLE 4

/* What the choice knows about one server. */
typedef struct HrSelectServer {
    uint32_t outstanding; /* own attempts that occupy a slot */
    HrLatency latency;    /* of own attempts */
    /* The newest load report, and when it was requested. */
    int64_t report_ns; /* HR_TIME_NEVER: none */
    uint32_t reported; /* running and queued, from all daemons */
    uint32_t own_at_report;
} HrSelectServer;

/* The servers of a group that have a free slot, to be sampled in constant
 * time whatever the size of the group. */
typedef struct HrSelect {
    uint32_t *free_list; /* indices of free servers, in no order */
    uint32_t *free_pos;  /* place of a server in free_list, or UINT32_MAX */
    uint32_t free_count;
    uint32_t server_count;
} HrSelect;

/* Starts with no servers. */
void HrSelect_Init(HrSelect *select);

/* Sets the number of servers and marks all as busy; the arrays are talloc
 * children of parent. Returns 0 or HR_ERR_NO_MEMORY. */
int HrSelect_Resize(HrSelect *select, const void *parent, uint32_t count);

/* Marks a server as free or busy. */
void HrSelect_SetFree(HrSelect *select, uint32_t index, bool is_free);

/* Picks up to HR_SELECT_SAMPLE distinct free servers at random; returns how
 * many. */
uint32_t HrSelect_Sample(const HrSelect *select, HrRng *rng,
                         uint32_t indices[HR_SELECT_SAMPLE]);

/* Starts without latencies and reports. */
void HrSelectServer_Init(HrSelectServer *server);

/* Notes a load report; one that was requested before the newest is ignored. */
void HrSelectServer_NoteLoad(HrSelectServer *server, uint32_t running,
                             uint32_t queued, int64_t requested_ns);

/* Forgets the reports and latencies: the server was restarted. */
void HrSelectServer_Restart(HrSelectServer *server);

/* Estimates the time until a new attempt would be answered. The weight of a
 * report halves with its age, and its effect is bounded, because it may be
 * wrong. connect_ns is the time to open a connection; 0 when one is idle. */
double HrSelectServer_Estimate(const HrSelectServer *server, uint32_t slots,
                               double group_mean_ns, int64_t connect_ns,
                               int64_t now_ns);

#endif
