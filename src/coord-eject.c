#include "coord-eject.h"

#include <string.h>

#include "base-clock.h"

#define BACKOFF_BASE_NS (5 * HR_NS_PER_MS)
#define BACKOFF_MAX_STEPS 7 /* 640 ms */
#define BACKOFF_FAILURES 2
#define EJECT_BASE_NS (1 * HR_NS_PER_S)
#define EJECT_MAX_STEPS 5 /* 32 s */

/* Without a successful poll, an unreachable server is tried again after this
 * many times its ejection. */
#define UNREACHABLE_FACTOR 4

/* A server is ejected for failures when at least this share of its attempts
 * fails, and FAILURE_FACTOR times as many as in the whole group. A group of
 * two with one dead server shows a ratio of 2. */
#define FAILURE_RATE 0.4
#define FAILURE_FACTOR 1.4
#define FAILURE_WEIGHT (1.0 / 8)
#define GROUP_WEIGHT (1.0 / 64)
#define MIN_FAILURES_IN_ROW 3
#define MIN_SAMPLES 8

/* A server is ejected for slowness when its median is this many times the
 * group's. Below that, replica choice alone shifts the load. */
#define SLOW_FACTOR 5
#define MIN_SLOW_SAMPLES 32

/* Starts with no servers. */
void
HrEject_Init(HrEject *eject, HrRng *rng)
{
    memset(eject, 0, sizeof(*eject));
    eject->rng = rng;
}

/* Adds a server that is taken to be warm. */
void
HrEject_AddServer(HrEject *eject, HrEjectServer *server)
{
    memset(server, 0, sizeof(*server));
    server->ramp_since_ns = HR_TIME_NEVER;
    eject->server_count++;
}

/* Removes a server. */
void
HrEject_RemoveServer(HrEject *eject, HrEjectServer *server)
{
    eject->server_count--;
    if (server->ejected) {
        server->ejected = false;
        eject->ejected_count--;
    }
}

/* Counts a removed server again. */
void
HrEject_RestoreServer(HrEject *eject)
{
    eject->server_count++;
}

/* Notes that the server takes no new work. */
static void
note_draining(HrEjectServer *server, uint64_t start_id, int64_t now_ns)
{
    if (!server->draining || server->draining_start_id != start_id) {
        server->draining = true;
        server->draining_start_id = start_id;
        server->draining_since_ns = now_ns;
    }
}

/* Starts, holds or ends the slow start as the server says that it is cold. */
static void
note_cold(HrEjectServer *server, bool cold, bool restarted, int64_t now_ns)
{
    if (cold || restarted) {
        server->ramp_since_ns = now_ns;
    }
    server->is_cold = cold;
}

/* Takes over the start id of a report. Returns true if it is a later start
 * than the one known so far. */
static bool
take_start_id(HrEjectServer *server, uint64_t start_id, int64_t requested_ns,
              bool *is_current)
{
    bool known = server->start_id != 0;

    *is_current = true;
    if (server->start_id == start_id) {
        if (requested_ns > server->start_requested_ns) {
            server->start_requested_ns = requested_ns;
        }
        return false;
    }
    if (known && requested_ns <= server->start_requested_ns) {
        *is_current = false;
        return false;
    }
    server->start_id = start_id;
    server->start_requested_ns = requested_ns;
    return known;
}

/* Notes what a server says about itself. */
bool
HrEject_NoteReport(HrEjectServer *server, uint64_t start_id, bool draining,
                   bool cold, int64_t requested_ns, int64_t now_ns,
                   bool *is_current)
{
    bool restarted;

    if (server->draining && server->draining_start_id != start_id &&
        requested_ns <= server->draining_since_ns) {
        *is_current = false;
        return false;
    }
    restarted = take_start_id(server, start_id, requested_ns, is_current);
    if (!*is_current) {
        return false;
    }
    if (draining) {
        note_draining(server, start_id, now_ns);
    }
    else if (server->draining && server->draining_start_id != start_id) {
        server->draining = false;
    }
    if (cold || restarted || server->is_cold) {
        note_cold(server, cold, restarted, now_ns);
    }
    return restarted;
}

/* Returns a time of about step times the base, without exceeding it, doubled
 * for each earlier step. */
static int64_t
jittered_ns(HrEject *eject, int64_t base_ns, uint32_t steps)
{
    int64_t longest = base_ns << steps;

    return longest / 2 + (int64_t)HrRng_Below(eject->rng, longest / 2 + 1);
}

/* Returns true if one more server may be ejected. */
static bool
has_room(const HrEject *eject)
{
    uint32_t most = eject->server_count / HR_EJECT_SHARE;

    if (most == 0 && eject->server_count >= 2) {
        most = 1;
    }
    return eject->ejected_count < most;
}

/* Ejects a server. */
static void
eject_server(HrEject *eject, HrEjectServer *server, bool unreachable,
             int64_t now_ns)
{
    server->ejected = true;
    server->unreachable = unreachable;
    server->ejected_since_ns = now_ns;
    server->ejected_until_ns =
        now_ns + jittered_ns(eject, EJECT_BASE_NS, server->eject_steps);
    if (server->eject_steps < EJECT_MAX_STEPS) {
        server->eject_steps++;
    }
    eject->ejected_count++;
}

/* Takes a server back, with a slow start. */
static void
reinstate_server(HrEject *eject, HrEjectServer *server, int64_t now_ns)
{
    server->ejected = false;
    server->unreachable = false;
    server->samples = 0;
    server->failures_in_row = 0;
    server->failure_rate = 0;
    server->ramp_since_ns = now_ns;
    eject->ejected_count--;
}

/* Notes the result of a status poll. */
void
HrEject_NotePoll(HrEject *eject, HrEjectServer *server, bool failed,
                 int64_t requested_ns, int64_t now_ns)
{
    if (failed) {
        server->failures_in_row++;
        if (server->failures_in_row >= MIN_FAILURES_IN_ROW &&
            !server->ejected && has_room(eject)) {
            eject_server(eject, server, true, now_ns);
        }
        return;
    }
    if (server->ejected && server->unreachable &&
        requested_ns > server->ejected_since_ns) {
        server->unreachable = false;
    }
}

/* Puts off new work after load shedding or repeated failures: longer each
 * time in a row. */
static void
back_off(HrEject *eject, HrEjectServer *server, int64_t now_ns)
{
    if (now_ns < server->backoff_until_ns) {
        return; /* the answer of an attempt that was sent before */
    }
    server->backoff_until_ns =
        now_ns + jittered_ns(eject, BACKOFF_BASE_NS, server->backoff_steps);
    if (server->backoff_steps < BACKOFF_MAX_STEPS) {
        server->backoff_steps++;
    }
}

/* Counts one sample as success or failure. */
static void
count_sample(HrEject *eject, HrEjectServer *server, bool failed)
{
    double value = failed ? 1 : 0;

    server->failure_rate += FAILURE_WEIGHT * (value - server->failure_rate);
    eject->failure_rate += GROUP_WEIGHT * (value - eject->failure_rate);
    server->failures_in_row = failed ? server->failures_in_row + 1 : 0;
    if (server->samples < MIN_SLOW_SAMPLES) {
        server->samples++;
    }
}

/* Returns true if the server fails far more often than its peers. */
static bool
fails_more_than_peers(const HrEject *eject, const HrEjectServer *server)
{
    double floor_rate = FAILURE_FACTOR * eject->failure_rate;

    if (server->failures_in_row >= MIN_FAILURES_IN_ROW) {
        return eject->failure_rate < 1 / FAILURE_FACTOR;
    }
    return server->samples >= MIN_SAMPLES &&
           server->failure_rate >= FAILURE_RATE &&
           server->failure_rate >= floor_rate;
}

/* Returns true if the server is far slower than its peers. */
static bool
is_slower_than_peers(const HrEjectServer *server, const HrLatency *own,
                     const HrLatency *group)
{
    return server->samples >= MIN_SLOW_SAMPLES &&
           own->hist.count >= MIN_SLOW_SAMPLES &&
           own->mean_ns > SLOW_FACTOR * group->mean_ns &&
           own->p50_ns > SLOW_FACTOR * group->p50_ns;
}

/* Notes the end of an attempt. */
void
HrEject_NoteSample(HrEject *eject, HrEjectServer *server, HrEjectSample sample,
                   const HrLatency *own, const HrLatency *group,
                   int64_t now_ns)
{
    if (sample == HR_EJECT_SHED) {
        back_off(eject, server, now_ns);
        return;
    }
    if (sample == HR_EJECT_SUCCESS) {
        server->backoff_steps = 0;
    }
    count_sample(eject, server, sample == HR_EJECT_FAILURE);
    if (server->failures_in_row >= BACKOFF_FAILURES) {
        back_off(eject, server, now_ns);
    }
    if (server->ejected || !has_room(eject)) {
        return;
    }
    if (fails_more_than_peers(eject, server)) {
        eject_server(eject, server, true, now_ns);
    }
    else if (is_slower_than_peers(server, own, group)) {
        eject_server(eject, server, false, now_ns);
    }
    else if (server->samples >= MIN_SLOW_SAMPLES) {
        server->eject_steps = 0;
    }
}

/* Returns when the server is due to be reinstated. */
static int64_t
reinstate_ns(const HrEjectServer *server)
{
    int64_t length_ns = server->ejected_until_ns - server->ejected_since_ns;

    return server->unreachable
               ? server->ejected_since_ns + UNREACHABLE_FACTOR * length_ns
               : server->ejected_until_ns;
}

/* Reinstates the server when its time has come. */
void
HrEject_Advance(HrEject *eject, HrEjectServer *server, int64_t now_ns)
{
    if (server->ejected && now_ns >= reinstate_ns(server)) {
        reinstate_server(eject, server, now_ns);
    }
    if (!server->is_cold && server->ramp_since_ns != HR_TIME_NEVER &&
        now_ns - server->ramp_since_ns >= HR_EJECT_SLOW_START_NS) {
        server->ramp_since_ns = HR_TIME_NEVER;
    }
}

/* Returns true if the server is leaving. */
bool
HrEject_IsLeaving(const HrEjectServer *server)
{
    return server->leaving_by_operator || server->draining;
}

/* Returns true if the server may get new work now. */
bool
HrEject_IsUsable(const HrEjectServer *server, int64_t now_ns)
{
    return !HrEject_IsLeaving(server) && !server->ejected &&
           now_ns >= server->backoff_until_ns;
}

/* Returns how many of its slots the server may use now. */
uint32_t
HrEject_SlotLimit(const HrEjectServer *server, uint32_t slots, int64_t now_ns)
{
    int64_t ramp_ns;
    uint32_t limit;

    if (server->ramp_since_ns == HR_TIME_NEVER) {
        return slots;
    }
    if (server->is_cold) {
        return 1;
    }
    ramp_ns = now_ns - server->ramp_since_ns;
    if (ramp_ns >= HR_EJECT_SLOW_START_NS) {
        return slots;
    }
    limit = (uint32_t)(ramp_ns * slots / HR_EJECT_SLOW_START_NS);
    return limit == 0 ? 1 : limit;
}

/* Returns when the slot limit of a server in slow start rises next. */
static int64_t
next_ramp_step(const HrEjectServer *server, uint32_t slots, int64_t now_ns)
{
    uint32_t limit;

    if (server->ramp_since_ns == HR_TIME_NEVER || server->is_cold) {
        return HR_TIME_NEVER;
    }
    limit = HrEject_SlotLimit(server, slots, now_ns);
    if (limit >= slots) {
        return HR_TIME_NEVER;
    }
    return server->ramp_since_ns +
           (HR_EJECT_SLOW_START_NS * (limit + 1) + slots - 1) / slots;
}

/* Returns when the server's usability or slot limit changes next. */
int64_t
HrEject_NextChange(const HrEjectServer *server, uint32_t slots, int64_t now_ns)
{
    int64_t next_ns = next_ramp_step(server, slots, now_ns);

    if (server->backoff_until_ns > now_ns &&
        server->backoff_until_ns < next_ns) {
        next_ns = server->backoff_until_ns;
    }
    if (server->ejected && reinstate_ns(server) < next_ns) {
        next_ns = reinstate_ns(server);
    }
    return next_ns;
}
