#ifndef HR_COORD_SERVER_LOAD_H
#define HR_COORD_SERVER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* What servers state about their load in answers. It changes many times a
 * second, so that it counts for a short time only, and only as far as a server
 * differs from the others of its service. */

/* The load that a server states in one answer. */
typedef struct HrServerLoad {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;        /* at least 1 */
    uint32_t pace_percent; /* how long work takes, relative to the usual time;
                              0: not stated */
} HrServerLoad;

/* The newest statement of one server. All zero: none. */
typedef struct HrLoadReport {
    int64_t at_ns;       /* 0: none */
    double others;       /* requests of other daemons per slot */
    double pace;         /* 1: as usual; 0: not stated */
    double usual_others; /* means of the service, set by the choice */
    double usual_pace;
} HrLoadReport;

/* Means of the recent reports of a service. */
typedef struct HrLoadMeans {
    double weight;
    double others;
    double pace_weight;
    double pace;
} HrLoadMeans;

/* Records a statement. outstanding is the number of this daemon's attempts at
 * the server, which are part of the load. */
void HrLoadReport_Record(HrLoadReport *report, const HrServerLoad *load,
                         uint32_t outstanding, int64_t now_ns);

/* Adds a report to the means; then apply the means to each report. */
void HrLoadMeans_Add(HrLoadMeans *means, const HrLoadReport *report,
                     int64_t now_ns);
void HrLoadMeans_Apply(const HrLoadMeans *means, HrLoadReport *report);

/* Returns how many requests of other daemons the server has per slot beyond
 * the mean of its service, negative if fewer; 0 without a recent report. */
double HrLoadReport_GetExcess(const HrLoadReport *report, int64_t now_ns);

/* Returns the slowness of a server, corrected by the pace that it states. */
double HrLoadReport_CorrectSlowness(const HrLoadReport *report,
                                    double slowness, int64_t now_ns);

/* Returns how many requests of other daemons the server has per slot; less the
 * older the report is. */
double HrLoadReport_GetOthers(const HrLoadReport *report, int64_t now_ns);

#endif
