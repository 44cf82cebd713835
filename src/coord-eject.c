#include "coord-eject.h"

#include <string.h>

#include "base-clock.h"

#define BACKOFF_BASE_NS (5 * HR_NS_PER_MS)
#define BACKOFF_MAX_STEPS 7 /* 640 ms */
#define BACKOFF_FAILURES 2
#define EJECT_BASE_NS (1 * HR_NS_PER_S)
#define EJECT_MAX_STEPS 5 /* 32 s */

/* A server that was ejected for failures, and of which no status poll has
 * succeeded since, is reinstated after this many times its ejection time. */
#define NO_POLL_FACTOR 4

/* A server is ejected for failures when at least this share of its attempts
 * fails, and the share is at least FAILURE_FACTOR times that of the whole
 * group. In a group of two with one dead server, the ratio is 2. */
#define FAILURE_RATE 0.4
#define FAILURE_FACTOR 1.4
#define FAILURE_WEIGHT (1.0 / 8)
#define GROUP_FAILURE_WEIGHT (1.0 / 64)
#define MIN_CONSECUTIVE_FAILURES 3
#define MIN_SAMPLES 8

/* A server is ejected for slowness when its median latency is more than this
 * many times the group's; one slow server hardly changes the median of the
 * group. With a smaller ratio the replica choice alone shifts enough load to
 * the other servers. */
#define SLOW_FACTOR 5
#define MIN_SLOW_SAMPLES 32

void
HrEject_Init(HrEject *eject, HrRng *rng)
{
    memset(eject, 0, sizeof(*eject));
    eject->rng = rng;
}

void
HrEject_AddServer(HrEject *eject, HrEjectServer *server)
{
    memset(server, 0, sizeof(*server));
    server->slow_start_since_ns = HR_TIME_NEVER;
    eject->server_count++;
}

void
HrEject_RemoveServer(HrEject *eject, HrEjectServer *server)
{
    eject->server_count--;
    if (server->ejected) {
        server->ejected = false;
        eject->ejected_count--;
    }
}

void
HrEject_RestoreServer(HrEject *eject)
{
    eject->server_count++;
}

/* Marks the server as draining. A repeated notice of the same start does not
 * change the time of the first one. */
static void
set_draining(HrEjectServer *server, uint64_t start_id, int64_t now_ns)
{
    if (!server->draining || server->draining_start_id != start_id) {
        server->draining = true;
        server->draining_start_id = start_id;
        server->draining_since_ns = now_ns;
    }
}

/* Begins the slow start at the time of the newest report that says that the
 * server is cold, or at a restart. A server is held at one slot while it says
 * that it is cold. */
static void
update_slow_start(HrEjectServer *server, bool cold, bool restarted,
                  int64_t now_ns)
{
    if (cold || restarted) {
        server->slow_start_since_ns = now_ns;
    }
    server->is_cold = cold;
}

/* Updates the start id from a report. Returns true if the report is from a
 * later start than the known one. *is_current is set to false if it is from an
 * earlier one. */
static bool
update_start_id(HrEjectServer *server, uint64_t start_id, int64_t requested_ns,
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

/* A report without the draining mark from another start means that the server
 * has restarted and serves again. */
bool
HrEject_RecordReport(HrEjectServer *server, uint64_t start_id, bool draining,
                     bool cold, int64_t requested_ns, int64_t now_ns,
                     bool *is_current)
{
    bool restarted;

    if (server->draining && server->draining_start_id != start_id &&
        requested_ns <= server->draining_since_ns) {
        *is_current = false;
        return false;
    }
    restarted = update_start_id(server, start_id, requested_ns, is_current);
    if (!*is_current) {
        return false;
    }
    if (draining) {
        set_draining(server, start_id, now_ns);
    }
    else if (server->draining && server->draining_start_id != start_id) {
        server->draining = false;
    }
    if (cold || restarted || server->is_cold) {
        update_slow_start(server, cold, restarted, now_ns);
    }
    return restarted;
}

/* Returns a random delay between half of base_ns and base_ns, both doubled
 * for each step. */
static int64_t
compute_jittered_delay_ns(HrEject *eject, int64_t base_ns, uint32_t steps)
{
    int64_t longest = base_ns << steps;

    return longest / 2 + (int64_t)HrRng_DrawBelow(eject->rng, longest / 2 + 1);
}

/* Returns true if HR_EJECT_SHARE_DIVISOR allows one more ejection. */
static bool
can_eject_more(const HrEject *eject)
{
    uint32_t most = eject->server_count / HR_EJECT_SHARE_DIVISOR;

    if (most == 0 && eject->server_count >= 2) {
        most = 1;
    }
    return eject->ejected_count < most;
}

/* Ejects a server. Each consecutive ejection lasts longer. */
static void
eject_server(HrEject *eject, HrEjectServer *server, bool needs_poll,
             int64_t now_ns)
{
    server->ejected = true;
    server->needs_poll = needs_poll;
    server->ejected_since_ns = now_ns;
    server->ejected_until_ns =
        now_ns +
        compute_jittered_delay_ns(eject, EJECT_BASE_NS, server->eject_steps);
    if (server->eject_steps < EJECT_MAX_STEPS) {
        server->eject_steps++;
    }
    eject->ejected_count++;
}

/* Ends an ejection. The counts of attempts are reset, and the server begins a
 * slow start. */
static void
reinstate_server(HrEject *eject, HrEjectServer *server, int64_t now_ns)
{
    server->ejected = false;
    server->needs_poll = false;
    server->samples = 0;
    server->consecutive_failures = 0;
    server->failure_rate = 0;
    server->slow_start_since_ns = now_ns;
    eject->ejected_count--;
}

/* A poll that succeeds only counts if it was requested after the ejection. */
void
HrEject_RecordPoll(HrEject *eject, HrEjectServer *server, bool failed,
                   int64_t requested_ns, int64_t now_ns)
{
    if (failed) {
        server->consecutive_failures++;
        if (server->consecutive_failures >= MIN_CONSECUTIVE_FAILURES &&
            !server->ejected && can_eject_more(eject)) {
            eject_server(eject, server, true, now_ns);
        }
        return;
    }
    if (server->ejected && server->needs_poll &&
        requested_ns > server->ejected_since_ns) {
        server->needs_poll = false;
    }
}

/* Sends the server no new work for a while after load shedding or repeated
 * failures. Each consecutive back-off lasts longer. */
static void
begin_backoff(HrEject *eject, HrEjectServer *server, int64_t now_ns)
{
    if (now_ns < server->backoff_until_ns) {
        return; /* answers an attempt from before the back-off */
    }
    server->backoff_until_ns =
        now_ns + compute_jittered_delay_ns(eject, BACKOFF_BASE_NS,
                                           server->backoff_steps);
    if (server->backoff_steps < BACKOFF_MAX_STEPS) {
        server->backoff_steps++;
    }
}

/* Updates the failure rates of the server and of the group. */
static void
count_result(HrEject *eject, HrEjectServer *server, bool failed)
{
    double value = failed ? 1 : 0;

    server->failure_rate += FAILURE_WEIGHT * (value - server->failure_rate);
    eject->failure_rate +=
        GROUP_FAILURE_WEIGHT * (value - eject->failure_rate);
    server->consecutive_failures =
        failed ? server->consecutive_failures + 1 : 0;
    if (server->samples < MIN_SLOW_SAMPLES) {
        server->samples++;
    }
}

/* Returns true if the server fails far more often than its group. */
static bool
fails_more_than_group(const HrEject *eject, const HrEjectServer *server)
{
    double min_rate = FAILURE_FACTOR * eject->failure_rate;

    if (server->consecutive_failures >= MIN_CONSECUTIVE_FAILURES) {
        return eject->failure_rate < 1 / FAILURE_FACTOR;
    }
    return server->samples >= MIN_SAMPLES &&
           server->failure_rate >= FAILURE_RATE &&
           server->failure_rate >= min_rate;
}

/* Returns true if the server is far slower than its group. */
static bool
is_slower_than_group(const HrEjectServer *server, const HrLatency *own,
                     const HrLatency *group)
{
    return server->samples >= MIN_SLOW_SAMPLES &&
           own->hist.count >= MIN_SLOW_SAMPLES &&
           own->p50_ns > SLOW_FACTOR * group->p50_ns;
}

/* A shed attempt only delays new work; it counts neither as success nor as
 * failure. */
void
HrEject_RecordAttempt(HrEject *eject, HrEjectServer *server,
                      HrEjectResult result, const HrLatency *own,
                      const HrLatency *group, int64_t now_ns)
{
    if (result == HR_EJECT_SHED) {
        begin_backoff(eject, server, now_ns);
        return;
    }
    if (result == HR_EJECT_SUCCESS) {
        server->backoff_steps = 0;
    }
    count_result(eject, server, result == HR_EJECT_FAILURE);
    if (server->consecutive_failures >= BACKOFF_FAILURES) {
        begin_backoff(eject, server, now_ns);
    }
    if (server->ejected || !can_eject_more(eject)) {
        return;
    }
    if (fails_more_than_group(eject, server)) {
        eject_server(eject, server, true, now_ns);
    }
    else if (is_slower_than_group(server, own, group)) {
        eject_server(eject, server, false, now_ns);
    }
    else if (server->samples >= MIN_SLOW_SAMPLES) {
        server->eject_steps = 0;
    }
}

/* Returns when the server is due to be reinstated. */
static int64_t
get_reinstate_time_ns(const HrEjectServer *server)
{
    int64_t length_ns = server->ejected_until_ns - server->ejected_since_ns;

    return server->needs_poll
               ? server->ejected_since_ns + NO_POLL_FACTOR * length_ns
               : server->ejected_until_ns;
}

bool
HrEject_UpdateServer(HrEject *eject, HrEjectServer *server, int64_t now_ns)
{
    bool is_due = server->ejected && now_ns >= get_reinstate_time_ns(server);

    if (is_due) {
        reinstate_server(eject, server, now_ns);
    }
    if (!server->is_cold && server->slow_start_since_ns != HR_TIME_NEVER &&
        now_ns - server->slow_start_since_ns >= HR_EJECT_SLOW_START_NS) {
        server->slow_start_since_ns = HR_TIME_NEVER;
    }
    return is_due;
}

bool
HrEject_IsLeaving(const HrEjectServer *server)
{
    return server->leaving_by_operator || server->draining;
}

bool
HrEject_IsUsable(const HrEjectServer *server, int64_t now_ns)
{
    return !HrEject_IsLeaving(server) && !server->ejected &&
           now_ns >= server->backoff_until_ns;
}

/* During a slow start the limit rises linearly from one slot. */
uint32_t
HrEject_GetSlotLimit(const HrEjectServer *server, uint32_t slots,
                     int64_t now_ns)
{
    int64_t elapsed_ns;
    uint32_t limit;

    if (server->slow_start_since_ns == HR_TIME_NEVER) {
        return slots;
    }
    if (server->is_cold) {
        return 1;
    }
    elapsed_ns = now_ns - server->slow_start_since_ns;
    if (elapsed_ns >= HR_EJECT_SLOW_START_NS) {
        return slots;
    }
    limit = (uint32_t)(elapsed_ns * slots / HR_EJECT_SLOW_START_NS);
    return limit == 0 ? 1 : limit;
}

/* Returns when the slot limit of a server in slow start rises next. */
static int64_t
get_next_slot_increase_ns(const HrEjectServer *server, uint32_t slots,
                          int64_t now_ns)
{
    uint32_t limit;

    if (server->slow_start_since_ns == HR_TIME_NEVER || server->is_cold) {
        return HR_TIME_NEVER;
    }
    limit = HrEject_GetSlotLimit(server, slots, now_ns);
    if (limit >= slots) {
        return HR_TIME_NEVER;
    }
    return server->slow_start_since_ns +
           (HR_EJECT_SLOW_START_NS * (limit + 1) + slots - 1) / slots;
}

int64_t
HrEject_GetNextChange(const HrEjectServer *server, uint32_t slots,
                      int64_t now_ns)
{
    int64_t next_ns = get_next_slot_increase_ns(server, slots, now_ns);

    if (server->backoff_until_ns > now_ns &&
        server->backoff_until_ns < next_ns) {
        next_ns = server->backoff_until_ns;
    }
    if (server->ejected && get_reinstate_time_ns(server) < next_ns) {
        next_ns = get_reinstate_time_ns(server);
    }
    return next_ns;
}
