#include "coord-server-load.h"

#include <math.h>

#include "base-clock.h"

/* A report loses half of its effect in this time: requests take tens of
 * milliseconds, so the load of half a second ago says little. */
#define REPORT_HALF_LIFE_NS (150 * HR_NS_PER_MS)

/* The means of a service change more slowly, and a daemon with one request a
 * second has few recent reports. */
#define MEAN_HALF_LIFE_NS (3 * HR_NS_PER_S)

/* Limits of the effect of one report, since it may be wrong: on the load per
 * slot, and on the pace relative to the mean. The pace has at most this weight
 * against the slowness that this daemon has observed itself. */
#define EXCESS_MIN (-1.0)
#define EXCESS_MAX 2.0
#define PACE_MIN 0.25
#define PACE_MAX 4.0
#define PACE_WEIGHT_MAX 0.5

/* Smaller differences from the mean do not count. Otherwise one idle server
 * would lower the mean so that all others look worse than it, and would get
 * the next request of nearly every daemon. */
#define EXCESS_TOLERANCE 0.2
#define PACE_TOLERANCE 0.1

/* Larger statements are reduced to this, so that one does not spoil the means.
 */
#define OTHERS_MAX 20.0

/* Returns the weight of a report with a half-life. */
static double
get_weight(const HrLoadReport *report, int64_t half_life_ns, int64_t now_ns)
{
    if (report->at_ns == 0) {
        return 0;
    }
    return exp2(-(double)(now_ns - report->at_ns) / (double)half_life_ns);
}

void
HrLoadReport_Record(HrLoadReport *report, const HrServerLoad *load,
                    uint32_t outstanding, int64_t now_ns)
{
    double requests = (double)load->running + load->waiting - outstanding;

    report->at_ns = now_ns;
    report->others =
        fmin(fmax(requests, 0) / fmax(load->slots, 1), OTHERS_MAX);
    report->pace = load->pace_percent / 100.0;
}

void
HrLoadMeans_Add(HrLoadMeans *means, const HrLoadReport *report, int64_t now_ns)
{
    double weight = get_weight(report, MEAN_HALF_LIFE_NS, now_ns);

    if (weight <= 0) {
        return;
    }
    means->weight += weight;
    means->others += weight * (report->others - means->others) / means->weight;
    if (report->pace > 0) {
        means->pace_weight += weight;
        means->pace +=
            weight * (report->pace - means->pace) / means->pace_weight;
    }
}

void
HrLoadMeans_Apply(const HrLoadMeans *means, HrLoadReport *report)
{
    report->usual_others = means->others;
    report->usual_pace = means->pace;
}

double
HrLoadReport_GetExcess(const HrLoadReport *report, int64_t now_ns)
{
    double difference = report->others - report->usual_others;
    double excess =
        copysign(fmax(fabs(difference) - EXCESS_TOLERANCE, 0), difference) *
        get_weight(report, REPORT_HALF_LIFE_NS, now_ns);

    return fmin(fmax(excess, EXCESS_MIN), EXCESS_MAX);
}

double
HrLoadReport_CorrectSlowness(const HrLoadReport *report, double slowness,
                             int64_t now_ns)
{
    double pace;

    if (report->pace <= 0 || report->usual_pace <= 0) {
        return slowness;
    }
    pace = fmin(fmax(report->pace / report->usual_pace, PACE_MIN), PACE_MAX);
    if (fabs(pace - 1) <= PACE_TOLERANCE) {
        pace = 1;
    }
    return slowness + (pace - slowness) * PACE_WEIGHT_MAX *
                          get_weight(report, REPORT_HALF_LIFE_NS, now_ns);
}

double
HrLoadReport_GetOthers(const HrLoadReport *report, int64_t now_ns)
{
    return report->others * get_weight(report, MEAN_HALF_LIFE_NS, now_ns);
}
