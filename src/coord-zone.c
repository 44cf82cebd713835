#include "coord-zone.h"

#include <math.h>

#include "base-clock.h"

/* Weight of the newest sample. A smaller one reacts too late at one request a
 * second, where a change then takes longer than the overload lasts. */
#define SAMPLE_WEIGHT (1.0 / 12)

/* Number of independent samples that the weighted mean is as exact as. */
#define EFFECTIVE_SAMPLES (2 / SAMPLE_WEIGHT - 1)

/* Fewest samples of a side from which its mean is used. */
#define SAMPLES_MIN 4
#define SAMPLES_MAX 1000

/* Longer samples are reduced to this multiple of the unloaded duration, so
 * that one straggler does not look like an overload. */
#define SAMPLE_MAX 12.0

/* A failed attempt costs as much time in addition, as a multiple of the
 * unloaded duration: it has to be repeated, and with several of them the
 * request fails. The same as in the choice among single servers. */
#define FAILURE_COST 6.0

/* Samples that are older than this say nothing about the load any more. Those
 * of other zones are rare, and are kept for longer. */
#define INSIDE_AGE_MAX_NS (15 * HR_NS_PER_S)
#define OUTSIDE_AGE_MAX_NS (60 * HR_NS_PER_S)

/* A sample of the other zones loses half of its effect in this time, so that
 * other zones that were busy are tried again, but not every few seconds. */
#define OUTSIDE_HALF_LIFE_NS (15 * HR_NS_PER_S)

/* Additional duration in another zone until one is measured: two round trips,
 * one of them for a new connection, of at most 2.8 ms. */
#define OUTSIDE_EXTRA_NS (2800.0 * HR_NS_PER_US)

/* The unloaded duration is taken from means of at least this many samples
 * inside the zone, which are many. It
 * follows a lower mean by this share with each decision, and a higher one
 * slowly, so that an overload of some minutes is not taken for the normal
 * state. A faster fall would follow the lowest of many random means. */
#define BASE_SAMPLES_MIN 12
#define BASE_FALL 0.25
#define BASE_RISE 0.005

/* Time between two decisions, of which half is random, so that daemons with
 * the same observations do not act at the same moment. A decision also needs
 * this many samples, because it must see the effect of the one before. */
#define DECISION_NS HR_NS_PER_S
#define DECISION_SAMPLES_MIN 2

/* Without samples a decision is made all the same after this time. */
#define DECISION_MAX_NS (5 * HR_NS_PER_S)

/* The share grows if the time saved exceeds the cost by this factor and this
 * much, and shrinks if it is below the cost by this factor. In between it
 * stays as it is. */
#define GROW_FACTOR 1.25
#define GROW_MARGIN 0.1
#define SHRINK_FACTOR 0.5

/* The share grows only if the time saved exceeds the limit by this many
 * standard errors of the means: from 0 by more, so that chance does not make
 * requests leave a zone in calm. */
#define FIRST_CERTAINTY 3.0
#define FURTHER_CERTAINTY 1.0

/* Steps of the share. It grows in double steps if the time saved is this many
 * times the limit. It shrinks in smaller steps, because the queues of a zone
 * that has got too many requests grow faster than they shrink, unless leaving
 * the zone costs time. */
#define GROW_STEP 0.05
#define GROW_FAST_FACTOR 3.0
#define SHRINK_STEP 0.02
#define SHRINK_FAST_STEP 0.05

/* A daemon that started during an overload takes it for the normal state. If
 * at least this share of its attempts fails, it sends a small share to other
 * zones to learn how long attempts take there. */
#define PROBE_FAILED_RATIO 0.1
#define PROBE_SHARE 0.05

/* The rest shows whether the zone serves again. */
#define SHARE_MAX 0.9

/* The share does not grow while the duration inside the zone is below this
 * part of what it was at the last decision: a queue that drains already still
 * shows long durations. */
#define FALLING 0.95

/* Returns true if there are enough recent samples inside the zone. */
static bool
is_inside_known(const HrZoneTraffic *traffic, int64_t now_ns)
{
    return traffic->inside.count >= SAMPLES_MIN &&
           now_ns - traffic->inside.last_ns < INSIDE_AGE_MAX_NS;
}

/* Returns true if there are enough recent samples of other zones. */
static bool
is_outside_known(const HrZoneTraffic *traffic, int64_t now_ns)
{
    return traffic->outside.count >= SAMPLES_MIN &&
           now_ns - traffic->outside.last_ns < OUTSIDE_AGE_MAX_NS;
}

/* Adds a sample; one after a long gap starts anew. */
static void
add_sample(HrZoneSamples *samples, double sample_ns, bool failed,
           int64_t age_max_ns, int64_t now_ns)
{
    double delta_ns, weight;

    if (now_ns - samples->last_ns >= age_max_ns) {
        *samples = (HrZoneSamples){0};
    }
    samples->count += samples->count < SAMPLES_MAX ? 1 : 0;
    weight = fmax(SAMPLE_WEIGHT, 1.0 / samples->count);
    delta_ns = sample_ns - samples->mean_ns;
    samples->mean_ns += weight * delta_ns;
    samples->variance_ns2 =
        (1 - weight) * (samples->variance_ns2 + weight * delta_ns * delta_ns);
    samples->failed_ratio +=
        weight * ((failed ? 1 : 0) - samples->failed_ratio);
    samples->last_ns = now_ns;
}

void
HrZoneTraffic_RecordAttempt(HrZoneTraffic *traffic, bool outside, bool failed,
                            int64_t duration_ns, int64_t now_ns)
{
    HrZoneSamples *samples = outside ? &traffic->outside : &traffic->inside;
    double sample_ns = (double)duration_ns;

    if (failed) {
        sample_ns += FAILURE_COST * traffic->base_ns;
    }
    if (traffic->base_ns > 0) {
        sample_ns = fmin(sample_ns, SAMPLE_MAX * traffic->base_ns);
    }
    add_sample(samples, sample_ns, failed,
               outside ? OUTSIDE_AGE_MAX_NS : INSIDE_AGE_MAX_NS, now_ns);
    traffic->new_samples++;
}

bool
HrZoneTraffic_IsDecisionDue(const HrZoneTraffic *traffic, int64_t now_ns)
{
    return now_ns >= traffic->next_decision_ns &&
           (traffic->new_samples >= DECISION_SAMPLES_MIN ||
            (traffic->share > 0 &&
             now_ns - traffic->next_decision_ns >= DECISION_MAX_NS));
}

/* Updates the unloaded duration from the lower of the two means. */
static void
update_base(HrZoneTraffic *traffic, int64_t now_ns)
{
    double mean_ns = INFINITY;

    if (is_inside_known(traffic, now_ns) &&
        traffic->inside.count >= BASE_SAMPLES_MIN) {
        mean_ns = traffic->inside.mean_ns;
    }
    if (is_outside_known(traffic, now_ns)) {
        mean_ns = fmin(mean_ns, traffic->outside.mean_ns);
    }
    if (!isfinite(mean_ns)) {
        return;
    }
    if (traffic->base_ns <= 0) {
        traffic->base_ns = mean_ns;
    }
    else {
        double delta_ns = mean_ns - traffic->base_ns;

        traffic->base_ns += (delta_ns < 0 ? BASE_FALL : BASE_RISE) * delta_ns;
    }
}

/* Returns the duration that this daemon's own requests suggest: one more
 * request at servers whose slots they all occupy waits for its turn. */
static double
get_queued_ns(const HrZoneLoad *load, double base_ns)
{
    double per_slot = (load->outstanding + 1.0) / fmax(load->slots, 1);

    return base_ns * fmax(per_slot, 1);
}

/* Returns the estimated duration of an attempt inside the zone. */
static double
estimate_inside_ns(const HrZoneTraffic *traffic, const HrZoneLoad *load,
                   int64_t now_ns)
{
    double mean_ns = is_inside_known(traffic, now_ns) ? traffic->inside.mean_ns
                                                      : traffic->base_ns;

    return fmax(mean_ns, get_queued_ns(load, traffic->base_ns));
}

/* Returns the estimated duration of an attempt outside the zone. */
static double
estimate_outside_ns(const HrZoneTraffic *traffic, const HrZoneLoad *load,
                    int64_t now_ns)
{
    double idle_ns = traffic->base_ns + OUTSIDE_EXTRA_NS, mean_ns = idle_ns;

    if (traffic->outside.count > 0) {
        double age_ns = (double)(now_ns - traffic->outside.last_ns);

        mean_ns += (traffic->outside.mean_ns - idle_ns) *
                   exp2(-age_ns / (double)OUTSIDE_HALF_LIFE_NS);
    }
    return fmax(mean_ns, get_queued_ns(load, traffic->base_ns));
}

double
HrZoneTraffic_EstimateSaving(const HrZoneTraffic *traffic,
                             const HrZoneLoad *inside,
                             const HrZoneLoad *outside, int64_t now_ns)
{
    if (traffic->base_ns <= 0) {
        return 0;
    }
    return (estimate_inside_ns(traffic, inside, now_ns) -
            estimate_outside_ns(traffic, outside, now_ns)) /
           traffic->base_ns;
}

/* Returns the standard error of the time saved. */
static double
estimate_error(const HrZoneTraffic *traffic)
{
    double inside = traffic->inside.variance_ns2 /
                    fmin(fmax(traffic->inside.count, 1), EFFECTIVE_SAMPLES);
    double outside = traffic->outside.variance_ns2 /
                     fmin(fmax(traffic->outside.count, 1), EFFECTIVE_SAMPLES);

    return sqrt(inside + outside) / traffic->base_ns;
}

/* Returns the share after this decision. The first growth is put off by one
 * decision, whose time is random. */
static double
choose_share(HrZoneTraffic *traffic, double saving, double zone_cost,
             int64_t now_ns)
{
    double high = GROW_FACTOR * zone_cost + GROW_MARGIN;
    bool is_falling =
        traffic->inside.mean_ns < FALLING * traffic->previous_inside_ns;
    double certainty =
        traffic->share > 0 ? FURTHER_CERTAINTY : FIRST_CERTAINTY;
    bool is_growth_worth =
        saving - certainty * estimate_error(traffic) > high && !is_falling;

    if (!is_inside_known(traffic, now_ns) && traffic->share > 0) {
        return fmax(traffic->share - SHRINK_FAST_STEP, 0);
    }
    if (traffic->share <= PROBE_SHARE && !is_outside_known(traffic, now_ns) &&
        traffic->inside.failed_ratio >= PROBE_FAILED_RATIO) {
        return PROBE_SHARE;
    }
    if (is_growth_worth && traffic->is_growth_planned) {
        double step = saving > GROW_FAST_FACTOR * high ? 2 : 1;

        return fmin(traffic->share + step * GROW_STEP, SHARE_MAX);
    }
    traffic->is_growth_planned = is_growth_worth;
    if (saving < SHRINK_FACTOR * zone_cost) {
        return fmax(
            traffic->share - (saving < 0 ? SHRINK_FAST_STEP : SHRINK_STEP), 0);
    }
    return traffic->share;
}

/* In calm, with a share of 0 and no growth in sight, rng is not used. */
bool
HrZoneTraffic_Decide(HrZoneTraffic *traffic, const HrZoneLoad *inside,
                     const HrZoneLoad *outside, double zone_cost, HrRng *rng,
                     int64_t now_ns)
{
    double share, saving;

    update_base(traffic, now_ns);
    if (traffic->base_ns <= 0) {
        return false;
    }
    saving = HrZoneTraffic_EstimateSaving(traffic, inside, outside, now_ns);
    if (inside->servers == 0 || outside->servers == 0) {
        /* All attempts go to the side that has servers. */
        share = 0;
        traffic->is_growth_planned = false;
    }
    else {
        share = choose_share(traffic, saving, zone_cost, now_ns);
    }
    traffic->previous_inside_ns = traffic->inside.mean_ns;
    traffic->new_samples = 0;
    traffic->next_decision_ns = now_ns + DECISION_NS;
    if (share > 0 || traffic->share > 0 || traffic->is_growth_planned) {
        traffic->next_decision_ns +=
            (int64_t)HrRng_DrawBelow(rng, DECISION_NS) - DECISION_NS / 2;
    }
    if (share == traffic->share) {
        return false;
    }
    traffic->share = share;
    return true;
}

bool
HrZoneTraffic_DrawLeave(const HrZoneTraffic *traffic, HrRng *rng)
{
    return traffic->share > 0 && HrRng_DrawUnit(rng) < traffic->share;
}
